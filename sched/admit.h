/*
 * Whether a job is worth taking. Answers a burst of large jobs: what cannot
 * end while its result still counts is turned away at once, with the time at
 * which room is predicted.
 */
#ifndef BH_SCHED_ADMIT_H
#define BH_SCHED_ADMIT_H

#include "sched/sched.h"

/**
 * bh_admit() - judge a job against the leader's predicted waits
 * @loads: by priority, lowest number first, as bh_sched_load() gives them
 * @age_ms: age of @loads
 * @retry_after_ms: set when the job is refused
 *
 * Return: whether to take it.
 */
bool bh_admit(const bh_job_t *job, const bh_backlog_t *loads, uint32_t n,
	      int64_t age_ms, uint64_t *retry_after_ms);

#endif
