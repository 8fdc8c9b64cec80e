/*
 * Request handling of an entry: admits a request, routes it, retries it
 * depending on its verdict, queries the agent for its state after a
 * reconnect, and answers the caller exactly once.
 *
 * Not thread-safe; the owner passes the current time to each call. The
 * callbacks of struct bh_entry_ops must not call back into the entry.
 */
#ifndef BH_CORE_ENTRY_H
#define BH_CORE_ENTRY_H

#include "core/attempt.h"
#include "core/route.h"
#include "core/tenant.h"
#include "core/wheel.h"

typedef struct bh_entry bh_entry_t;

/**
 * struct bh_result - answer to a caller
 * @status: HTTP status; from the runner when the verdict is BH_RAN and there
 *	is no reason
 * @retry_after: suggested delay before the next try, with status 429
 */
typedef struct bh_result {
	bh_verdict_t verdict;
	bh_reason_t reason;
	uint32_t status;
	GBytes *body;
	bh_usec_t retry_after;
} bh_result_t;

/**
 * struct bh_request_params - a caller's request
 * @deadline: absolute, on the entry's clock
 * @key: idempotency key or NULL
 * @user: owner's data, passed to @respond
 */
typedef struct bh_request_params {
	const char *service;
	const char *tenant;
	bh_class_t cls;
	bh_usec_t deadline;
	bool idempotent;
	const char *key;
	GBytes *body;
	void *user;
} bh_request_params_t;

/**
 * struct bh_entry_ops - callbacks implemented by the owner
 * @send: send a message on the peer's connection
 * @connect: open a connection with the peer's current generation
 * @disconnect: close the peer's connection
 * @respond: answer the caller; called exactly once for each request
 * @claim: claim the request's idempotency key before dispatch, answered by
 *	bh_entry_claimed(); NULL if keys are not supported
 * @settle: write the outcome of a claimed request, answered by
 *	bh_entry_settled()
 */
typedef struct bh_entry_ops {
	void (*send)(void *ctx, bh_peer_t *peer, const bh_msg_t *msg);
	void (*connect)(void *ctx, bh_peer_t *peer);
	void (*disconnect)(void *ctx, bh_peer_t *peer);
	void (*respond)(void *ctx, void *user, const bh_result_t *result);
	void (*claim)(void *ctx, bh_request_t *request);
	void (*settle)(void *ctx, bh_request_t *request,
		       const bh_result_t *result);
} bh_entry_ops_t;

/**
 * struct bh_entry_config - settings of an entry
 * @policy: name of the routing policy, see bh_route_new()
 * @retry_share: retries and hedges allowed per first attempt
 * @hedge_quantile: an idempotent request without an answer is sent a second
 *	time after this quantile of the service's latency; 0 disables hedging
 */
typedef struct bh_entry_config {
	const char *zone;
	const char *policy;
	uint64_t incarnation;
	uint32_t seed;
	uint32_t max_attempts;
	uint32_t max_in_flight;
	double retry_share;
	double hedge_quantile;
	bh_tenant_limits_t tenant_defaults;
} bh_entry_config_t;

/*
 * Pings on a connection with and without outstanding requests. A connection is
 * replaced when a ping has been unanswered for BH_PING_TIMEOUT_US and nothing
 * was received for BH_LINK_TIMEOUT_US.
 */
#define BH_PING_IDLE_INTERVAL_US (1000 * BH_USEC_PER_MS)
#define BH_PING_TIMEOUT_US	 (750 * BH_USEC_PER_MS)
#define BH_PING_INTERVAL_US	 (250 * BH_USEC_PER_MS)
#define BH_LINK_TIMEOUT_US	 (1000 * BH_USEC_PER_MS)
#define BH_CONNECT_TIMEOUT_US	 (1000 * BH_USEC_PER_MS)
#define BH_RECONNECT_MIN_US	 (100 * BH_USEC_PER_MS)
#define BH_RECONNECT_MAX_US	 (2000 * BH_USEC_PER_MS)
#define BH_PAUSE_THRESHOLD_US	 (500 * BH_USEC_PER_MS)
#define BH_RETRY_BURST		 20.0
#define BH_RETRY_MIN_RATE	 2.0
#define BH_HEDGE_MIN_SAMPLES	 100
#define BH_HEDGE_MIN_DELAY_US	 (2 * BH_USEC_PER_MS)

typedef struct bh_entry_counters {
	uint64_t requests;
	uint64_t attempts;
	uint64_t retries;
	uint64_t hedges;
	uint64_t hedges_won;
	uint64_t retries_denied;
	uint64_t asks;
	uint64_t silent_links;
	uint64_t stale_announcements;
	uint64_t late_answers;
	uint64_t corrupt_answers;
	uint64_t pauses;
	uint64_t refusals[BH_REASON_COUNT];
	uint64_t verdicts[BH_RAN + 1];
} bh_entry_counters_t;

bh_entry_t *bh_entry_new(const bh_entry_config_t *config,
			 const bh_entry_ops_t *ops, void *ctx, bh_usec_t now);

/**
 * bh_entry_free() - free an entry; pending requests are not answered
 */
void bh_entry_free(bh_entry_t *entry);

bh_peers_t *bh_entry_peers(bh_entry_t *entry);
bh_tenants_t *bh_entry_tenants(bh_entry_t *entry);
const bh_entry_counters_t *bh_entry_counters(const bh_entry_t *entry);

/**
 * bh_entry_submit() - handle a caller's request
 *
 * @respond may be called before this returns.
 */
void bh_entry_submit(bh_entry_t *entry, const bh_request_params_t *params,
		     bh_usec_t now);

/**
 * bh_entry_claimed() - handle the outcome of a claim
 * @result: NULL when the request holds the key; otherwise the answer to it
 */
void bh_entry_claimed(bh_entry_t *entry, bh_request_t *request,
		      const bh_result_t *result, bh_usec_t now);

/**
 * bh_entry_settled() - handle the end of writing a claimed request's outcome
 */
void bh_entry_settled(bh_entry_t *entry, bh_request_t *request);

const char *bh_request_key(const bh_request_t *request);
const char *bh_request_tenant(const bh_request_t *request);
const char *bh_request_service(const bh_request_t *request);
GBytes *bh_request_body(const bh_request_t *request);
bh_usec_t bh_request_deadline(const bh_request_t *request);
uint64_t bh_request_number(const bh_request_t *request);

void bh_entry_announce(bh_entry_t *entry, const bh_msg_t *msg, bh_usec_t now);

/**
 * bh_entry_link_up() - handle the agent's HELLO on the newest connection
 */
void bh_entry_link_up(bh_entry_t *entry, bh_peer_t *peer, const bh_msg_t *hello,
		      bh_usec_t now);

/**
 * bh_entry_link_down() - handle a lost connection or a failed connect
 * @is_refused: connection refused, so the agent's process has ended
 */
void bh_entry_link_down(bh_entry_t *entry, bh_peer_t *peer, bool is_refused,
			bh_usec_t now);

void bh_entry_msg(bh_entry_t *entry, bh_peer_t *peer, const bh_msg_t *msg,
		  bh_usec_t now);

/**
 * bh_entry_tick() - run expired timers and check all peers; to be called every
 * few milliseconds
 */
void bh_entry_tick(bh_entry_t *entry, bh_usec_t now);

/**
 * bh_entry_drain() - refuse new requests; admitted ones continue
 */
void bh_entry_drain(bh_entry_t *entry);
size_t bh_entry_in_flight(const bh_entry_t *entry);

#endif
