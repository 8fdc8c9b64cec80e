#include "core/peer.h"

/* Weights of a new sample in the moving averages. */
#define SERVICE_EWMA_WEIGHT 0.05
#define FOREIGN_EWMA_WEIGHT 0.001

struct bh_peers {
	char *zone;
	bh_peer_list_t list;
	GHashTable *by_name;
	GHashTable *services;
};

static void service_free(void *data)
{
	bh_service_t *s = data;

	g_ptr_array_free(s->by_index, TRUE);
	g_free(s->name);
	g_free(s);
}

static bh_service_t *service_get(bh_peers_t *peers, const char *name)
{
	bh_service_t *s = g_hash_table_lookup(peers->services, name);

	if (s)
		return s;
	s = g_new0(bh_service_t, 1);
	s->name = g_strdup(name);
	s->by_index = g_ptr_array_new();
	TAILQ_INIT(&s->endpoints);
	g_hash_table_insert(peers->services, s->name, s);
	return s;
}

static bh_endpoint_t *endpoint_find(bh_peer_t *peer, const char *service)
{
	bh_endpoint_t *ep;

	TAILQ_FOREACH(ep, &peer->endpoints, in_peer) {
		if (strcmp(ep->service->name, service) == 0)
			return ep;
	}
	return NULL;
}

static bh_endpoint_t *endpoint_add(bh_peers_t *peers, bh_peer_t *peer,
				   const char *service, bh_usec_t now)
{
	bh_endpoint_t *ep = g_new0(bh_endpoint_t, 1);

	ep->peer = peer;
	ep->service = service_get(peers, service);
	ep->joined_at = now;
	ep->observed_at = now;
	ep->service_us = BH_ENDPOINT_DEFAULT_SERVICE_US;
	TAILQ_INIT(&ep->attempts);
	TAILQ_INSERT_TAIL(&peer->endpoints, ep, in_peer);
	TAILQ_INSERT_TAIL(&ep->service->endpoints, ep, in_service);
	g_ptr_array_add(ep->service->by_index, ep);
	return ep;
}

static void endpoint_free(bh_endpoint_t *ep)
{
	TAILQ_REMOVE(&ep->peer->endpoints, ep, in_peer);
	TAILQ_REMOVE(&ep->service->endpoints, ep, in_service);
	g_ptr_array_remove(ep->service->by_index, ep);
	g_free(ep);
}

static void peer_free(bh_peer_t *peer)
{
	while (!TAILQ_EMPTY(&peer->endpoints))
		endpoint_free(TAILQ_FIRST(&peer->endpoints));
	g_free(peer->name);
	g_free(peer->zone);
	g_free(peer->address);
	g_free(peer);
}

static bh_peer_t *peer_add(bh_peers_t *peers, const char *name)
{
	bh_peer_t *peer = g_new0(bh_peer_t, 1);

	peer->name = g_strdup(name);
	TAILQ_INIT(&peer->endpoints);
	TAILQ_INIT(&peer->attempts);
	TAILQ_INSERT_TAIL(&peers->list, peer, link);
	g_hash_table_insert(peers->by_name, peer->name, peer);
	return peer;
}

static void replace_string(char **dst, const char *src)
{
	if (g_strcmp0(*dst, src) == 0)
		return;
	g_free(*dst);
	*dst = g_strdup(src);
}

/* Endpoints missing from an announcement are marked as draining. */
static void update_endpoints(bh_peers_t *peers, bh_peer_t *peer,
			     const bh_msg_t *msg, bh_usec_t now)
{
	bh_endpoint_t *ep;

	TAILQ_FOREACH(ep, &peer->endpoints, in_peer)
		ep->report.draining = true;
	for (size_t i = 0; i < msg->n_endpoints; i++) {
		const bh_endpoint_info_t *info = &msg->endpoints[i];

		ep = endpoint_find(peer, info->service);
		if (!ep)
			ep = endpoint_add(peers, peer, info->service, now);
		bh_endpoint_report(ep, &info->load, false, now);
	}
}

static void reset_endpoints(bh_peer_t *peer, bh_usec_t now)
{
	bh_endpoint_t *ep;

	TAILQ_FOREACH(ep, &peer->endpoints, in_peer) {
		ep->joined_at = now;
		ep->failures = 0;
		ep->ejected_until = 0;
	}
}

static bool is_stale(const bh_peer_t *peer, const bh_msg_t *msg, bh_usec_t now)
{
	if (msg->incarnation > peer->incarnation)
		return false;
	if (msg->incarnation < peer->incarnation)
		return bh_peer_is_alive(peer, now);
	return msg->seq <= peer->announce_seq;
}

bh_peers_t *bh_peers_new(const char *zone)
{
	bh_peers_t *peers = g_new0(bh_peers_t, 1);

	peers->zone = g_strdup(zone);
	TAILQ_INIT(&peers->list);
	peers->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	peers->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_free);
	return peers;
}

void bh_peers_free(bh_peers_t *peers)
{
	while (!TAILQ_EMPTY(&peers->list))
		bh_peers_remove(peers, TAILQ_FIRST(&peers->list));
	g_hash_table_destroy(peers->by_name);
	g_hash_table_destroy(peers->services);
	g_free(peers->zone);
	g_free(peers);
}

bh_peer_list_t *bh_peers_list(bh_peers_t *peers)
{
	return &peers->list;
}

bh_peer_t *bh_peers_find(bh_peers_t *peers, const char *name)
{
	return g_hash_table_lookup(peers->by_name, name);
}

bh_service_t *bh_peers_service(bh_peers_t *peers, const char *name)
{
	return g_hash_table_lookup(peers->services, name);
}

bool bh_peer_is_alive(const bh_peer_t *peer, bh_usec_t now)
{
	return now - peer->heard_at < BH_PEER_TIMEOUT_US;
}

bh_announce_result_t bh_peers_announce(bh_peers_t *peers, const bh_msg_t *msg,
				       bh_usec_t now, bh_peer_t **out)
{
	bh_announce_result_t result = BH_ANNOUNCE_KNOWN;
	bh_peer_t *peer = bh_peers_find(peers, msg->name);

	if (!peer) {
		peer = peer_add(peers, msg->name);
		result = BH_ANNOUNCE_NEW;
	} else if (is_stale(peer, msg, now)) {
		*out = peer;
		return BH_ANNOUNCE_STALE;
	} else if (msg->incarnation != peer->incarnation) {
		result = BH_ANNOUNCE_RESTARTED;
		reset_endpoints(peer, now);
	}
	replace_string(&peer->zone, msg->zone);
	replace_string(&peer->address, msg->address);
	peer->is_local_zone = g_strcmp0(peer->zone, peers->zone) == 0;
	peer->incarnation = msg->incarnation;
	peer->announce_seq = msg->seq;
	peer->heard_at = now;
	update_endpoints(peers, peer, msg, now);
	*out = peer;
	return result;
}

void bh_peers_remove(bh_peers_t *peers, bh_peer_t *peer)
{
	TAILQ_REMOVE(&peers->list, peer, link);
	g_hash_table_remove(peers->by_name, peer->name);
	peer_free(peer);
}

void bh_endpoint_report(bh_endpoint_t *ep, const bh_load_t *load,
			bool has_own_count, bh_usec_t now)
{
	uint32_t in_flight = load->running + load->queued;

	ep->report = *load;
	if (has_own_count && in_flight >= load->yours) {
		double foreign_in_flight_now = in_flight - load->yours;

		/* Reports lag by seconds, so the queue length is outdated. */
		foreign_in_flight_now = MIN(foreign_in_flight_now, load->slots);
		ep->foreign_in_flight +=
			FOREIGN_EWMA_WEIGHT *
			(foreign_in_flight_now - ep->foreign_in_flight);
	}
	if (load->service_us && ep->observed_at == ep->joined_at) {
		ep->service_us = load->service_us;
		ep->observed_at = now;
	}
}

void bh_endpoint_observe(bh_endpoint_t *ep, uint32_t run_us, bh_usec_t now)
{
	ep->service_us += SERVICE_EWMA_WEIGHT * (run_us - ep->service_us);
	ep->observed_at = now;
}

bool bh_endpoint_has_free_slot(const bh_endpoint_t *ep)
{
	return ep->outstanding + ep->foreign_in_flight < ep->report.slots;
}

bool bh_endpoint_is_usable(const bh_endpoint_t *ep, bh_usec_t now)
{
	return ep->peer->link_state == BH_LINK_UP && !ep->report.draining &&
	       bh_peer_is_alive(ep->peer, now) && ep->report.slots > 0;
}
