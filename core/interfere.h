/*
 * Model of how much batch jobs slow the services on the same worker, learned
 * from reports, which lag: for each pair of a service and a family of jobs, the
 * slowdown per processor that the family uses.
 */
#ifndef BH_CORE_INTERFERE_H
#define BH_CORE_INTERFERE_H

#include "core/types.h"

/* Slowdown per processor of a pair without measurements. */
#define BH_INTERFERE_PRIOR     0.02
#define BH_INTERFERE_PAIRS_MAX 65536

typedef struct bh_interfere bh_interfere_t;

/**
 * struct bh_neighbour - a family of jobs on a worker
 * @cpus: processors that its tasks there have, after throttling
 */
typedef struct bh_neighbour {
	const char *family;
	double cpus;
} bh_neighbour_t;

bh_interfere_t *bh_interfere_new(void);
void bh_interfere_free(bh_interfere_t *x);

/**
 * bh_interfere_slowdown() - service time relative to the service's baseline
 * @service_us: smoothed time that a request holds a slot, on one worker
 *
 * Updates the baseline, which tracks the fastest workers: it falls quickly and
 * rises slowly.
 */
double bh_interfere_slowdown(bh_interfere_t *x, const char *service,
			     double service_us);

/**
 * bh_interfere_learn() - update the model with a measured slowdown
 * @jobs: families that ran on the worker
 */
void bh_interfere_learn(bh_interfere_t *x, const char *service,
			const bh_neighbour_t *jobs, size_t n, double slowdown);

/**
 * bh_interfere_expect() - slowdown that a family adds per processor
 */
double bh_interfere_expect(const bh_interfere_t *x, const char *service,
			   const char *family);

#endif
