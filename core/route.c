#include "core/route.h"
#include "core/attempt.h"

#include <math.h>

#define OVERDUE_FACTOR 5
/* Share of the traffic that a new endpoint is eligible for at first. */
#define RAMP_MIN_SHARE 0.1
/* A queued request also delays the requests that arrive after it. */
#define QUEUE_WEIGHT 2

static bool is_candidate(const bh_endpoint_t *ep, const bh_endpoint_t *avoid,
			 bh_usec_t now)
{
	return ep != avoid && ep->ejected_until <= now &&
	       bh_endpoint_is_usable(ep, now);
}

static bh_endpoint_t *find_any_usable(bh_service_t *service, bh_usec_t now)
{
	bh_endpoint_t *ep;

	TAILQ_FOREACH(ep, &service->endpoints, in_service) {
		if (bh_endpoint_is_usable(ep, now))
			return ep;
	}
	return NULL;
}

static double oldest_age_us(const bh_endpoint_t *ep, bh_usec_t now)
{
	const bh_attempt_t *oldest = TAILQ_FIRST(&ep->attempts);

	return oldest ? (double)(now - oldest->sent_at) : 0;
}

/*
 * Moves from the observed service time to the reported one as the observation
 * ages, so that an endpoint that was slow gets traffic again although no
 * request has observed its recovery.
 */
static double decayed_service_us(const bh_endpoint_t *ep, bh_usec_t now)
{
	double age_s = (double)(now - ep->observed_at) / BH_USEC_PER_SEC;
	double weight = exp2(-age_s / BH_ENDPOINT_HALF_LIFE_S);
	double reported = ep->report.service_us;

	if (reported <= 0)
		reported = BH_ENDPOINT_DEFAULT_SERVICE_US;
	return weight * ep->service_us + (1 - weight) * reported;
}

double bh_route_expected_us(const bh_endpoint_t *ep, bh_usec_t now)
{
	double service_us = decayed_service_us(ep, now);
	double slots = MAX(ep->report.slots, 1);
	double ahead =
		(double)ep->outstanding + ep->foreign_in_flight + 1 - slots;
	double wait_us = ahead > 0 ? ahead * service_us / slots : 0;
	double expected =
		ep->peer->rtt_us + QUEUE_WEIGHT * wait_us + service_us;
	double oldest = oldest_age_us(ep, now);

	/* A long overdue attempt is a better estimate than the averages. */
	return oldest > OVERDUE_FACTOR * expected ? oldest : expected;
}

/* The share of a new endpoint grows linearly during BH_ENDPOINT_RAMP_US. */
static bool passes_ramp(bh_route_t *route, const bh_endpoint_t *ep,
			bh_usec_t now)
{
	bh_usec_t age = now - ep->joined_at;

	if (age >= BH_ENDPOINT_RAMP_US)
		return true;
	return g_rand_double(route->rand) <
	       RAMP_MIN_SHARE +
		       (1 - RAMP_MIN_SHARE) * (double)age / BH_ENDPOINT_RAMP_US;
}

static bh_endpoint_t *find_cheapest(bh_route_t *route, bh_service_t *service,
				    bool is_local, const bh_endpoint_t *avoid,
				    bh_usec_t now)
{
	bh_endpoint_t *best = NULL;
	bh_endpoint_t *ramping = NULL;
	double best_us = 0;
	guint n = service->by_index->len;
	guint start = (guint)g_rand_int_range(route->rand, 0, (gint32)n);

	for (guint i = 0; i < n; i++) {
		bh_endpoint_t *ep =
			g_ptr_array_index(service->by_index, (start + i) % n);
		double cost_us;

		if (ep->peer->is_local_zone != is_local ||
		    !is_candidate(ep, avoid, now))
			continue;
		if (!passes_ramp(route, ep, now)) {
			ramping = ep;
			continue;
		}
		cost_us = bh_route_expected_us(ep, now);
		if (!best || cost_us < best_us) {
			best = ep;
			best_us = cost_us;
		}
	}
	return best ? best : ramping;
}

static bh_endpoint_t *choose_cheaper(bh_endpoint_t *a, bh_endpoint_t *b,
				     bh_usec_t now)
{
	if (!a || !b)
		return a ? a : b;
	return bh_route_expected_us(b, now) < bh_route_expected_us(a, now) ? b
									   : a;
}

static bh_endpoint_t *pick_expected_wait(bh_route_t *route,
					 bh_service_t *service,
					 const bh_endpoint_t *avoid,
					 bh_usec_t now)
{
	bh_endpoint_t *local = find_cheapest(route, service, true, avoid, now);
	bh_endpoint_t *remote;

	/* Stay in the zone while the request need not queue there. */
	if (local && bh_endpoint_has_free_slot(local) &&
	    oldest_age_us(local, now) <= 2 * local->service_us)
		return local;
	remote = find_cheapest(route, service, false, avoid, now);
	return choose_cheaper(local, remote, now);
}

static bh_endpoint_t *pick_round_robin(bh_route_t *route, bh_service_t *service,
				       const bh_endpoint_t *avoid,
				       bh_usec_t now)
{
	guint n = service->by_index->len;

	(void)route;
	for (guint i = 0; i < n; i++) {
		bh_endpoint_t *ep = g_ptr_array_index(service->by_index,
						      service->next++ % n);

		if (is_candidate(ep, avoid, now))
			return ep;
	}
	return NULL;
}

static bh_endpoint_t *pick_least_outstanding(bh_route_t *route,
					     bh_service_t *service,
					     const bh_endpoint_t *avoid,
					     bh_usec_t now)
{
	bh_endpoint_t *best = NULL;
	bh_endpoint_t *ep;
	int ties = 0;

	TAILQ_FOREACH(ep, &service->endpoints, in_service) {
		if (!is_candidate(ep, avoid, now))
			continue;
		if (!best || ep->outstanding < best->outstanding) {
			best = ep;
			ties = 1;
		} else if (ep->outstanding == best->outstanding &&
			   g_rand_int_range(route->rand, 0, ++ties) == 0) {
			best = ep;
		}
	}
	return best;
}

static const bh_route_ops_t policies[] = {
	{"expected-wait", pick_expected_wait},
	{"round-robin", pick_round_robin},
	{"least-outstanding", pick_least_outstanding},
};

static unsigned count_ejected(const bh_service_t *service, bh_usec_t now)
{
	const bh_endpoint_t *ep;
	unsigned n = 0;

	TAILQ_FOREACH(ep, &service->endpoints, in_service)
		n += ep->ejected_until > now;
	return n;
}

static bool may_eject(const bh_endpoint_t *ep, bh_usec_t now)
{
	double max_ejected = BH_EJECT_MAX_SHARE * ep->service->by_index->len;

	return ep->ejected_until <= now &&
	       count_ejected(ep->service, now) + 1 <= max_ejected;
}

bh_route_t *bh_route_new(const char *name, GRand *rand)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i].name, name) == 0) {
			bh_route_t *route = g_new0(bh_route_t, 1);

			route->ops = &policies[i];
			route->rand = rand;
			return route;
		}
	}
	return NULL;
}

void bh_route_free(bh_route_t *route)
{
	g_free(route);
}

void bh_route_result(bh_endpoint_t *ep, bool is_ok, bh_usec_t now)
{
	if (is_ok) {
		ep->failures = 0;
		if (ep->ejected_until <= now)
			ep->ejections = 0;
		return;
	}
	ep->failures++;
	if (ep->failures < BH_EJECT_FAILURES || !may_eject(ep, now))
		return;
	ep->ejections = MIN(ep->ejections + 1, BH_EJECT_MAX_FACTOR);
	ep->ejected_until = now + ep->ejections * BH_EJECT_DURATION_US;
	ep->failures = 0;
}

bh_endpoint_t *bh_route_pick(bh_route_t *route, bh_service_t *service,
			     const bh_endpoint_t *avoid, bh_usec_t now)
{
	bh_endpoint_t *ep;

	if (service->by_index->len == 0)
		return NULL;
	ep = route->ops->pick(route, service, avoid, now);
	/* Fall back to an ejected endpoint or the one to avoid. */
	return ep ? ep : find_any_usable(service, now);
}
