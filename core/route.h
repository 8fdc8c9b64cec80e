/*
 * Routing policies: select the endpoint of a service for the next attempt.
 */
#ifndef BH_CORE_ROUTE_H
#define BH_CORE_ROUTE_H

#include "core/peer.h"

/* Largest share of a service's endpoints that may be ejected at a time. */
#define BH_EJECT_MAX_SHARE   0.3
#define BH_EJECT_FAILURES    5
#define BH_EJECT_DURATION_US (5 * BH_USEC_PER_SEC)
#define BH_EJECT_MAX_FACTOR  6

typedef struct bh_route bh_route_t;

/**
 * struct bh_route_ops - a routing policy
 * @name: name in the settings
 * @pick: select an endpoint other than @avoid, which may be NULL; returns NULL
 *	if there is none
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
 * bh_route_new() - create a policy by name
 * @name: "expected-wait", "round-robin" or "least-outstanding"
 * @rand: source of random numbers; not owned
 *
 * Return: NULL when no policy has that name.
 */
bh_route_t *bh_route_new(const char *name, GRand *rand);
void bh_route_free(bh_route_t *route);

/**
 * bh_route_pick() - select the endpoint of the next attempt
 * @avoid: endpoint of the previous attempt, used only if there is no other
 *
 * Return: NULL when no endpoint is usable.
 */
bh_endpoint_t *bh_route_pick(bh_route_t *route, bh_service_t *service,
			     const bh_endpoint_t *avoid, bh_usec_t now);

/**
 * bh_route_expected_us() - expected time until an endpoint's answer
 */
double bh_route_expected_us(const bh_endpoint_t *ep, bh_usec_t now);

/**
 * bh_route_result() - record the end of an attempt
 * @is_ok: whether there was a usable answer
 *
 * Ejects an endpoint after BH_EJECT_FAILURES consecutive failures, for longer
 * each time, unless too many are ejected already: then the endpoints are
 * probably not the cause.
 */
void bh_route_result(bh_endpoint_t *ep, bool is_ok, bh_usec_t now);

#endif
