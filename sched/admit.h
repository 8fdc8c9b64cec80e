/*
 * Admission control. During a burst of large jobs, those that cannot end while
 * their result still counts are refused at once, and the caller is told when
 * capacity is predicted to be available.
 */
#ifndef BH_SCHED_ADMIT_H
#define BH_SCHED_ADMIT_H

#include "sched/forecast.h"
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
} bh_admission_t;

/**
 * bh_admit_by_forecast() - decide whether to accept a job
 * @f: the leader's forecast, or NULL
 * @age_ms: age of @f; all jobs are accepted if it is too old
 * @random: evenly distributed, spreads the times of retries
 *
 * Return: whether the job is accepted.
 */
bool bh_admit_by_forecast(const bh_job_t *job, const bh_forecast_t *f,
			  int64_t age_ms, uint32_t random, bh_admission_t *out);

#endif
