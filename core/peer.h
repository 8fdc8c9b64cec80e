/*
 * An entry's view of the membership: agents (peers) that announce themselves,
 * and the endpoints on their hosts. An announcement with an older sequence
 * never replaces a newer one, nor does one with an older incarnation while the
 * peer is alive. A peer that is silent for BH_PEER_TIMEOUT_US gets no requests;
 * it is removed after BH_PEER_EXPIRY_US.
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
 * struct bh_endpoint - a service's runner on the host of an agent
 * @report: latest load report of the agent
 * @foreign_in_flight: moving average of the requests of other entries; reports
 *	lag, so this is their long-term share, not the current number
 * @outstanding: number of @attempts
 * @service_us: moving average of the time that this entry's requests occupied a
 *	slot; starts at the first reported value
 * @observed_at: last update of @service_us
 * @attempts: this entry's unanswered attempts, oldest first
 * @failures: consecutive attempts without a usable answer
 * @ejections: consecutive ejections; lengthens the next one
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
 * @by_index: the same endpoints as an array
 * @next: index of the next endpoint in round-robin order
 */
struct bh_service {
	char *name;
	bh_endpoint_list_t endpoints;
	GPtrArray *by_index;
	uint32_t next;
};

/**
 * struct bh_peer - an agent
 * @announce_seq: sequence of the latest announcement
 * @heard_at: time of the last announcement or frame
 * @generation: generation of the connection; incremented on each connect
 * @link_heard_at: time of the last frame on the current connection
 * @connect_at: time of the last connect, or of the next while the link is down
 * @connect_failures: lost or failed connections since the last one was up
 * @rtt_us: moving average of the round-trip time of pings
 * @attempts: unanswered attempts at all endpoints, oldest first
 * @user: owner's data
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
 * bh_peers_announce() - handle an announcement
 * @msg: message of type BH_MSG_ANNOUNCE
 * @out: set to the peer, also when the announcement is stale
 *
 * On BH_ANNOUNCE_RESTARTED the peer still has the attempts sent to the previous
 * incarnation; the caller has to end them.
 */
bh_announce_result_t bh_peers_announce(bh_peers_t *peers, const bh_msg_t *msg,
				       bh_usec_t now, bh_peer_t **out);

/**
 * bh_peers_remove() - remove a peer, which must have no attempts left
 */
void bh_peers_remove(bh_peers_t *peers, bh_peer_t *peer);

bool bh_peer_is_alive(const bh_peer_t *peer, bh_usec_t now);

/**
 * bh_endpoint_report() - handle a load report
 * @has_own_count: whether @load->yours counts this entry's requests
 */
void bh_endpoint_report(bh_endpoint_t *ep, const bh_load_t *load,
			bool has_own_count, bh_usec_t now);

/**
 * bh_endpoint_observe() - record the time a request occupied a slot
 */
void bh_endpoint_observe(bh_endpoint_t *ep, uint32_t run_us, bh_usec_t now);

/**
 * bh_endpoint_has_free_slot() - whether a request is expected to run at once
 */
bool bh_endpoint_has_free_slot(const bh_endpoint_t *ep);
bool bh_endpoint_is_usable(const bh_endpoint_t *ep, bh_usec_t now);

#endif
