/*
 * What a leader may still do while it cannot renew its leader row: grant leases
 * to workers, and start tasks of jobs that it has not read before. In an outage
 * of the store no lease should expire, but in a network partition an entry that
 * this leader cannot hear may have been elected.
 */
#ifndef BH_SCHED_GRANTS_H
#define BH_SCHED_GRANTS_H

#include "core/types.h"

/* Longest time after its last renewal for which a leader grants leases,
 * whatever it hears from others. A successor relies on this bound. */
#define BH_GRANT_AFTER_RENEWAL_MS ((int64_t)4000)

/* The same once another entry has said that it reaches the store, and so may
 * have been elected. */
#define BH_GRANT_IN_DOUBT_MS ((int64_t)1500)

/* A leader starts tasks of a job only if the store has confirmed that it led at
 * most this long before it read the job. Longer than a renewal interval and a
 * slow answer, so that a leader that renews its row does not wait. A successor
 * relies on this bound. */
#define BH_JOB_AFTER_RENEWAL_MS ((int64_t)700)

/* Greatest difference between the clock rates of two hosts. */
#define BH_GRANT_DRIFT_PERCENT 2

/**
 * struct bh_grant_view - what a leader knows about its leadership
 * @is_confirmed: it has renewed since its process was last paused, and is not
 *	resigning
 * @renewed_ago_ms: time since it sent the last renewal that was stored
 * @others_reached_ago_ms: time since another entry last said that it reaches
 *	the store
 */
typedef struct bh_grant_view {
	bool is_confirmed;
	int64_t renewed_ago_ms;
	int64_t others_reached_ago_ms;
} bh_grant_view_t;

/**
 * bh_grant_is_allowed() - whether the leader may grant leases now
 */
bool bh_grant_is_allowed(const bh_grant_view_t *view);

/**
 * bh_grant_remaining_ms() - how long a previous leader may still grant leases
 * @unchanged_ms: for how long its row is known not to have changed, on the
 *	caller's clock
 *
 * Return: a bound on the caller's clock; clock drift is allowed for.
 */
int64_t bh_grant_remaining_ms(int64_t unchanged_ms);

/**
 * bh_grants_over_at() - when a leader that has been replaced can grant no more
 * leases, on the caller's clock
 * @replaced_at: a time by which its row had been replaced
 */
bh_usec_t bh_grants_over_at(bh_usec_t replaced_at);

/**
 * bh_job_is_covered() - whether a leader may start tasks of a job
 * @read_at: when it had read the job
 * @led_at: a time at which the store has confirmed that it led
 */
bool bh_job_is_covered(bh_usec_t read_at, bh_usec_t led_at);

/**
 * bh_jobs_over_at() - from when on the jobs that are stored are not started by
 * leaders that have been replaced, on the caller's clock
 * @replaced_at: a time by which their row had been replaced
 */
bh_usec_t bh_jobs_over_at(bh_usec_t replaced_at);

#endif
