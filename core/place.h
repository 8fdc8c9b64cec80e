/*
 * Placement policies, which rank the workers for a task. The leader has already
 * excluded the workers without enough free resources.
 */
#ifndef BH_CORE_PLACE_H
#define BH_CORE_PLACE_H

#include "core/ledger.h"

/**
 * struct bh_place_worker - state of a worker, input of a policy
 * @reserved: declared resources of the tasks placed there
 * @used: usage of these tasks as last reported
 * @n_same_job: tasks of the same job placed there
 * @rank: order in which workers became known
 * @slowdown: expected slowdown of the most affected service if the task is
 *	placed there; 1 for none
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
 * @mitigates_interference: whether the leader throttles, moves and defers tasks
 *	that slow services
 * @cost: cost of placing a task that needs @need; the lowest cost wins
 */
typedef struct bh_place_ops {
	const char *name;
	bool mitigates_interference;
	double (*cost)(const bh_place_worker_t *worker,
		       const bh_resources_t *need);
} bh_place_ops_t;

/**
 * bh_place_find() - look up a policy by its name
 * @name: "interference", "first-fit" or "least-loaded"
 *
 * Return: NULL when no policy has that name.
 */
const bh_place_ops_t *bh_place_find(const char *name);

#endif
