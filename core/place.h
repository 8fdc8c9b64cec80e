/*
 * Placement policies: which worker gets a task. The leader filters by what
 * fits; a policy only ranks.
 */
#ifndef BH_CORE_PLACE_H
#define BH_CORE_PLACE_H

#include "core/ledger.h"

/**
 * struct bh_place_worker - a worker as placement sees it
 * @reserved: declared sizes of what is placed there
 * @used: as last reported
 * @rank: order in which workers joined
 * @slowdown: expected of the worst-off service beside the task; 1 is none
 */
typedef struct bh_place_worker {
	bh_resources_t capacity;
	bh_resources_t reserved;
	bh_resources_t used;
	uint32_t n_tasks;
	uint32_t n_same_job;
	uint32_t rank;
	double slowdown;
} bh_place_worker_t;

/**
 * struct bh_place_ops - a placement policy
 * @mitigates_interference: whether the leader throttles and moves against
 * interference
 * @cost: of putting @need on the worker; the lowest cost wins
 */
typedef struct bh_place_ops {
	const char *name;
	bool mitigates_interference;
	double (*cost)(const bh_place_worker_t *worker,
		       const bh_resources_t *need);
} bh_place_ops_t;

/**
 * bh_place_find() - a policy by its name
 * @name: "interference", "first-fit" or "least-loaded"
 */
const bh_place_ops_t *bh_place_find(const char *name);

#endif
