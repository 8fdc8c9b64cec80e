/*
 * Whether a leader may go on granting leases. Answers an outage of the store
 * under load, in which nothing should lapse, and a partition, in which an entry
 * that this leader does not hear may have taken its place.
 */
#ifndef BH_SCHED_GRANTS_H
#define BH_SCHED_GRANTS_H

#include "core/types.h"

/* A leader grants leases for so long after it last renewed its row, whatever it
 * hears, and a successor counts on that. */
#define BH_GRANT_AFTER_RENEWAL_MS ((int64_t)4000)

/* No longer than this once another entry says that it reaches the store. */
#define BH_GRANT_IN_DOUBT_MS ((int64_t)1500)

/* Clocks of two hosts may differ in rate by so many parts in a hundred. */
#define BH_GRANT_DRIFT_PERCENT 2

/**
 * struct bh_grant_view - what a leader knows of its post
 * @is_confirmed: it has renewed since its last pause, and does not resign
 * @renewed_ago_ms: since it sent the last renewal that was stored
 * @others_reached_ago_ms: since another entry last said that it reaches the
 *	store
 */
typedef struct bh_grant_view {
	bool is_confirmed;
	int64_t renewed_ago_ms;
	int64_t others_reached_ago_ms;
} bh_grant_view_t;

bool bh_grant_is_allowed(const bh_grant_view_t *view);

/**
 * bh_grant_remaining_ms() - how long an earlier leader may still grant leases
 * @unchanged_ms: for how long its row is known to be as it is
 */
int64_t bh_grant_remaining_ms(int64_t unchanged_ms);

#endif
