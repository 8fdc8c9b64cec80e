/*
 * Allocation of capacity when demand exceeds it.
 *
 * Load pattern: after a loss of all processes, or in a burst, everything waits
 * at the same time. What a caller loses per further second of delay, relative
 * to the processor time that ends its wait, decides who goes first.
 */
#ifndef BH_SCHED_SHARES_H
#define BH_SCHED_SHARES_H

#include "sched/job.h"

/* A serving task has to run within 6 s if twice the capacity that it needs is
 * free. The rest of this time is for its start, which takes up to 2 s, and for
 * one start that is refused or gets no answer. */
#define BH_SERVING_DEFERRED_MS 2000

/**
 * bh_shares_defers_serving() - whether the serving tasks of a step rank after
 * other tasks of the same priority
 * @waited_ms: time for which one of them has waited
 *
 * They request the most processor time and lose least per second and core.
 */
bool bh_shares_defers_serving(int64_t waited_ms);

/* Groups of jobs that are tracked; jobs of further ones have no minimum share.
 */
#define BH_SHARES_MAX 64

/**
 * struct bh_share - a group of jobs with a minimum share
 * @key: hash of its dimension (queue, size within a queue, zone of the caller)
 *	and name
 * @running_milli: processor time that its running tasks request
 * @waiting_milli: the same of those that wait
 * @waited_ms: time that one of its tasks has waited, the longest; -1: none does
 */
typedef struct bh_share {
	uint32_t key;
	uint64_t running_milli;
	uint64_t waiting_milli;
	int64_t waited_ms;
} bh_share_t;

/**
 * struct bh_shares - use of capacity by groups of jobs
 * @min_milli: processor time that each group may have before all others
 */
typedef struct bh_shares {
	uint64_t min_milli;
	uint32_t n;
	bh_share_t groups[BH_SHARES_MAX];
} bh_shares_t;

/**
 * bh_shares_init() - start anew
 * @capacity_milli: processor time of all usable hosts
 */
void bh_shares_init(bh_shares_t *shares, uint64_t capacity_milli);

/**
 * bh_shares_add() - count a job with its groups
 * @waited_ms: time that one of its tasks has waited, the longest; -1: none does
 */
void bh_shares_add(bh_shares_t *shares, const bh_job_t *job,
		   uint64_t running_milli, uint64_t waiting_milli,
		   int64_t waited_ms);

/**
 * bh_shares_has_room() - whether a group of a job would not have more than its
 * minimum share if the job was accepted, so that it must be
 */
bool bh_shares_has_room(const bh_shares_t *shares, const bh_job_t *job);

/**
 * bh_shares_is_short() - whether a job is of a group that waits and has less
 * than its minimum share
 */
bool bh_shares_is_short(const bh_shares_t *shares, const bh_job_t *job);

/**
 * bh_shares_is_above() - whether all groups of a job keep their minimum share
 * without some of its running tasks
 */
bool bh_shares_is_above(const bh_shares_t *shares, const bh_job_t *job,
			uint64_t running_milli);

#endif
