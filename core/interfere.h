/*
 * What batch jobs do to the services beside them, learned from lagging
 * reports: for each pair of a service and a family of jobs, the slowdown that
 * a processor's worth of the family adds to the service.
 */
#ifndef BH_CORE_INTERFERE_H
#define BH_CORE_INTERFERE_H

#include "core/types.h"

/* Assumed of a family of which nothing is known yet. */
#define BH_INTERFERE_PRIOR     0.02
#define BH_INTERFERE_PAIRS_MAX 65536

typedef struct bh_interfere bh_interfere_t;

/**
 * struct bh_neighbour - a family's presence on a worker
 * @cpus: processors that its tasks use there
 */
typedef struct bh_neighbour {
	const char *family;
	double cpus;
} bh_neighbour_t;

bh_interfere_t *bh_interfere_new(void);
void bh_interfere_free(bh_interfere_t *x);

/**
 * bh_interfere_slowdown() - how slow a service runs against its usual
 * @service_us: its slot time on one worker
 *
 * The usual slot time follows the fast workers: it falls at once and rises
 * slowly.
 */
double bh_interfere_slowdown(bh_interfere_t *x, const char *service,
			     double service_us);

/**
 * bh_interfere_learn() - take in a slowdown seen beside some families
 */
void bh_interfere_learn(bh_interfere_t *x, const char *service,
			const bh_neighbour_t *jobs, size_t n, double slowdown);

/**
 * bh_interfere_expect() - slowdown that a family adds, per processor
 */
double bh_interfere_expect(const bh_interfere_t *x, const char *service,
			   const char *family);

#endif
