/*
 * Membership as an entry sees it: agents (peers) that announce themselves,
 * and the endpoints beside them. An announcement with an older incarnation or
 * sequence never replaces a newer one; silence removes a peer.
 */
#ifndef BH_CORE_PEER_H
#define BH_CORE_PEER_H

#include "core/msg.h"

#define BH_PEER_TIMEOUT_US	       (3 * BH_USEC_PER_SEC)
#define BH_PEER_EXPIRY_US	       (60 * BH_USEC_PER_SEC)
#define BH_ENDPOINT_RAMP_US	       (5 * BH_USEC_PER_SEC)
#define BH_ENDPOINT_DEFAULT_SERVICE_US 1000.0
#define BH_ENDPOINT_HALF_LIFE_S	       2.0

typedef struct bh_peers bh_peers_t;
typedef struct bh_peer bh_peer_t;
typedef struct bh_service bh_service_t;
typedef struct bh_endpoint bh_endpoint_t;
typedef struct bh_attempt bh_attempt_t;

typedef TAILQ_HEAD(bh_attempt_list, bh_attempt) bh_attempt_list_t;
typedef TAILQ_HEAD(bh_endpoint_list, bh_endpoint) bh_endpoint_list_t;

typedef enum bh_link_state {
	BH_LINK_DOWN,
	BH_LINK_CONNECTING,
	BH_LINK_UP,
} bh_link_state_t;

/**
 * struct bh_endpoint - one back end: a service's runner beside an agent
 * @foreign_in_flight: smoothed count of other entries' requests there; reports
 *	lag, so it stands for their usual share and not for this moment
 * @outstanding: our own requests without an answer
 * @service_us: smoothed slot time, our own observation or the report
 * @attempts: our unanswered attempts, the oldest first
 * @failures: consecutive attempts without a usable answer
 */
struct bh_endpoint {
	TAILQ_ENTRY(bh_endpoint) in_service;
	TAILQ_ENTRY(bh_endpoint) in_peer;
	bh_peer_t *peer;
	bh_service_t *service;
	bh_load_t report;
	double foreign_in_flight;
	uint32_t outstanding;
	double service_us;
	bh_usec_t observed_at;
	bh_usec_t joined_at;
	uint32_t failures;
	uint32_t ejections;
	bh_usec_t ejected_until;
	bh_attempt_list_t attempts;
};

/**
 * struct bh_service - the endpoints of one service
 * @by_index: the same endpoints as an array, for random choice
 */
struct bh_service {
	char *name;
	bh_endpoint_list_t endpoints;
	GPtrArray *by_index;
	uint32_t next;
};

/**
 * struct bh_peer - an agent
 * @generation: of our connection to it; grows with each dial
 * @heard_at: last announcement or frame
 * @link_heard_at: last frame on the current connection
 * @rtt_us: smoothed round trip of heartbeats
 */
struct bh_peer {
	TAILQ_ENTRY(bh_peer) link;
	char *name;
	char *zone;
	char *address;
	bool is_local_zone;
	uint64_t incarnation;
	uint64_t announce_seq;
	bh_usec_t heard_at;
	bh_link_state_t link_state;
	uint64_t generation;
	bh_usec_t link_heard_at;
	bh_usec_t ping_sent_at;
	bool is_ping_unanswered;
	bh_usec_t connect_at;
	uint32_t connect_failures;
	double rtt_us;
	bh_endpoint_list_t endpoints;
	bh_attempt_list_t attempts;
	void *user;
};

typedef TAILQ_HEAD(bh_peer_list, bh_peer) bh_peer_list_t;

/**
 * enum bh_announce_result - what an announcement changed
 */
typedef enum bh_announce_result {
	BH_ANNOUNCE_STALE,
	BH_ANNOUNCE_KNOWN,
	BH_ANNOUNCE_NEW,
	BH_ANNOUNCE_RESTARTED,
} bh_announce_result_t;

bh_peers_t *bh_peers_new(const char *zone);
void bh_peers_free(bh_peers_t *peers);
bh_peer_list_t *bh_peers_list(bh_peers_t *peers);
bh_peer_t *bh_peers_find(bh_peers_t *peers, const char *name);
bh_service_t *bh_peers_service(bh_peers_t *peers, const char *name);

/**
 * bh_peers_announce() - take in an announcement
 * @peers: the table
 * @msg: of type BH_MSG_ANNOUNCE
 * @now: the time
 * @out: the peer, also when nothing changed
 *
 * On BH_ANNOUNCE_RESTARTED the attempts of the former incarnation are still
 * on the peer; the caller settles them.
 */
bh_announce_result_t bh_peers_announce(bh_peers_t *peers, const bh_msg_t *msg,
				       bh_usec_t now, bh_peer_t **out);

/**
 * bh_peers_remove() - forget a peer that has no attempts left
 */
void bh_peers_remove(bh_peers_t *peers, bh_peer_t *peer);

bool bh_peer_is_alive(const bh_peer_t *peer, bh_usec_t now);

/**
 * bh_endpoint_report() - take in a load report
 * @has_own_count: whether it says how many of the requests are ours
 */
void bh_endpoint_report(bh_endpoint_t *ep, const bh_load_t *load,
			bool has_own_count, bh_usec_t now);

/**
 * bh_endpoint_observe() - take in the slot time of one of our own requests
 */
void bh_endpoint_observe(bh_endpoint_t *ep, uint32_t run_us, bh_usec_t now);

/**
 * bh_endpoint_has_free_slot() - whether a request would probably not wait
 */
bool bh_endpoint_has_free_slot(const bh_endpoint_t *ep);
bool bh_endpoint_is_usable(const bh_endpoint_t *ep, bh_usec_t now);

#endif
