/*
 * Routing policies: which endpoint of a service gets the next request.
 */
#ifndef BH_CORE_ROUTE_H
#define BH_CORE_ROUTE_H

#include "core/peer.h"

/* At most this share of a service's endpoints is ejected at a time. */
#define BH_EJECT_MAX_SHARE   0.3
#define BH_EJECT_FAILURES    5
#define BH_EJECT_DURATION_US (5 * BH_USEC_PER_SEC)
#define BH_EJECT_MAX_FACTOR  6

typedef struct bh_route bh_route_t;

/**
 * struct bh_route_ops - a routing policy
 * @name: as in the settings
 * @pick: choose an endpoint; @avoid may be NULL; NULL when none is usable
 */
typedef struct bh_route_ops {
	const char *name;
	bh_endpoint_t *(*pick)(bh_route_t *route, bh_service_t *service,
			       const bh_endpoint_t *avoid, bh_usec_t now);
} bh_route_ops_t;

struct bh_route {
	const bh_route_ops_t *ops;
	GRand *rand;
};

/**
 * bh_route_new() - make a policy by its name
 * @name: "expected-wait", "round-robin" or "least-outstanding"
 * @rand: source of random numbers; not owned
 *
 * Return: NULL when no policy has that name.
 */
bh_route_t *bh_route_new(const char *name, GRand *rand);
void bh_route_free(bh_route_t *route);

/**
 * bh_route_pick() - choose the endpoint of the next attempt
 * @avoid: endpoint of the former attempt, taken only if there is no other
 *
 * Return: NULL when no endpoint is usable.
 */
bh_endpoint_t *bh_route_pick(bh_route_t *route, bh_service_t *service,
			     const bh_endpoint_t *avoid, bh_usec_t now);

/**
 * bh_route_expected_us() - expected time to an answer from an endpoint
 */
double bh_route_expected_us(const bh_endpoint_t *ep, bh_usec_t now);

/**
 * bh_route_result() - an attempt at an endpoint ended
 * @is_ok: whether there was a usable answer
 *
 * Ejects an endpoint that fails again and again, unless too many are ejected
 * already: then the fault is more likely everywhere.
 */
void bh_route_result(bh_endpoint_t *ep, bool is_ok, bh_usec_t now);

#endif
