/*
 * Admission control. During a burst of large jobs, those that cannot end while
 * their result still counts are refused at once, and the caller is told when
 * capacity is predicted to be available.
 */
#ifndef BH_SCHED_ADMIT_H
#define BH_SCHED_ADMIT_H

#include "sched/forecast.h"
#include "sched/holds.h"
#include "sched/sched.h"

/**
 * bh_admit() - decide whether to accept a job, by the leader's predicted waits
 * @loads: predictions by bh_sched_load(), in ascending order of the priority
 *	number
 * @age_ms: age of @loads
 * @retry_after_ms: set to a delay when the job is refused, to 0 otherwise
 *
 * Return: whether the job is accepted.
 */
bool bh_admit(const bh_job_t *job, const bh_backlog_t *loads, uint32_t n,
	      int64_t age_ms, uint64_t *retry_after_ms);

/**
 * struct bh_admission - a decision on a job, with its inputs
 * @held_ms: time since its caller was first refused, if it has kept its
 * position
 * @is_hopeless: it would end too late to have any value for its caller
 * @ahead_ms: core milliseconds of work that is placed before it
 * @end_ms: predicted time until its end
 * @limit_ms: latest end for which it is accepted
 * @retry_after_ms: set if it is refused, 0 otherwise
 */
typedef struct bh_admission {
	bool is_accepted;
	bool is_hopeless;
	uint64_t ahead_ms;
	uint64_t end_ms;
	uint64_t limit_ms;
	uint64_t retry_after_ms;
	uint64_t held_ms;
} bh_admission_t;

/**
 * struct bh_outlook - what an entry knows when it decides on a job
 * @forecast: the leader's forecast, or NULL
 * @age_ms: age of @forecast; all jobs are accepted if it is too old
 * @holds: positions of refused callers
 * @random: evenly distributed, spreads the times of retries
 */
typedef struct bh_outlook {
	const bh_forecast_t *forecast;
	int64_t age_ms;
	const bh_holds_t *holds;
	uint32_t random;
} bh_outlook_t;

/**
 * bh_admit_by_forecast() - decide whether to accept a job
 *
 * One of a group with less than its minimum share is accepted in any case.
 *
 * Return: whether the job is accepted.
 */
bool bh_admit_by_forecast(const bh_job_t *job, const bh_outlook_t *outlook,
			  bh_usec_t now, bh_admission_t *out);

#endif
