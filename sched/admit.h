/*
 * Admission control. During a burst of large jobs, those that cannot end while
 * their result still counts are refused at once, and the caller is told when
 * capacity is predicted to be available.
 */
#ifndef BH_SCHED_ADMIT_H
#define BH_SCHED_ADMIT_H

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

#endif
