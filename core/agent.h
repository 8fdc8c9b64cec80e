/*
 * Request handling of an agent: runs a request in a free slot, queues it by
 * class and deadline, or refuses it; keeps each answer until the entry
 * acknowledges it; reports the state of any request id on demand.
 *
 * A query for an unknown id is answered with BH_NOT_RUN and leaves a tombstone:
 * a request frame with that id that arrives later is refused, so the answer
 * stays true.
 *
 * Not thread-safe; the callbacks must not call back into the agent.
 */
#ifndef BH_CORE_AGENT_H
#define BH_CORE_AGENT_H

#include "core/msg.h"

typedef struct bh_agent bh_agent_t;
typedef struct bh_runner bh_runner_t;
typedef struct bh_work bh_work_t;
typedef struct bh_client bh_client_t;

#define BH_RUNNER_TIMEOUT_US (3 * BH_USEC_PER_SEC)
/* Entries ping every 250 ms, or every second on an idle connection. */
#define BH_CLIENT_TIMEOUT_US (10 * BH_USEC_PER_SEC)
#define BH_CLIENT_EXPIRY_US  (60 * BH_USEC_PER_SEC)
#define BH_QUEUE_PER_SLOT    16
#define BH_UNACKED_MAX_BYTES (4u << 20)
#define BH_AGENT_RUNNERS_MAX 64
#define BH_AGENT_CLIENTS_MAX 1024

/**
 * struct bh_agent_ops - callbacks implemented by the owner
 * @call: send the request to its runner; the owner reports the result with
 *	bh_agent_done() or bh_agent_failed()
 * @send: send a message on a connection
 * @close: close a connection
 */
typedef struct bh_agent_ops {
	void (*call)(void *ctx, bh_work_t *work);
	void (*send)(void *ctx, void *conn, const bh_msg_t *msg);
	void (*close)(void *ctx, void *conn);
} bh_agent_ops_t;

typedef struct bh_agent_counters {
	uint64_t admitted;
	uint64_t queued;
	uint64_t displaced;
	uint64_t expired;
	uint64_t duplicates;
	uint64_t tombstones;
	uint64_t stale_connections;
	uint64_t refusals[BH_REASON_COUNT];
} bh_agent_counters_t;

/**
 * struct bh_runner_info - announcement of a runner to its agent
 * @agent: incarnation of the agent that answered its last announcement
 * @orphans: runs started by other incarnations of the agent; they still occupy
 *	slots
 */
typedef struct bh_runner_info {
	const char *service;
	const char *address;
	uint64_t incarnation;
	uint64_t seq;
	uint32_t slots;
	uint32_t connections;
	uint64_t agent;
	uint32_t orphans;
	bool draining;
} bh_runner_info_t;

bh_agent_t *bh_agent_new(uint64_t incarnation, const bh_agent_ops_t *ops,
			 void *ctx);
void bh_agent_free(bh_agent_t *agent);

/**
 * bh_agent_runner_announce() - handle a runner's announcement
 *
 * Return: false when it is stale, or when there are BH_AGENT_RUNNERS_MAX
 * runners already.
 */
bool bh_agent_runner_announce(bh_agent_t *agent, const bh_runner_info_t *info,
			      bh_usec_t now);

/**
 * bh_agent_msg() - handle a message from an entry
 * @conn: the owner's handle of the connection it was received on
 */
void bh_agent_msg(bh_agent_t *agent, void *conn, const bh_msg_t *msg,
		  bh_usec_t now);
void bh_agent_conn_closed(bh_agent_t *agent, void *conn, bh_usec_t now);

/**
 * bh_agent_done() - handle a runner's answer
 * @status: HTTP status
 * @body: the answer; the agent takes a reference
 */
void bh_agent_done(bh_agent_t *agent, bh_work_t *work, uint32_t status,
		   GBytes *body, bh_usec_t now);

/**
 * bh_agent_failed() - handle a call that ended without an answer
 * @is_sent: whether any byte of the request may have reached the runner
 */
void bh_agent_failed(bh_agent_t *agent, bh_work_t *work, bool is_sent);

void bh_agent_tick(bh_agent_t *agent, bh_usec_t now);

/**
 * bh_agent_drain() - refuse new requests; admitted ones continue
 */
void bh_agent_drain(bh_agent_t *agent);

/**
 * bh_agent_is_idle() - whether no request is running or queued, and no
 * connected entry has answers left to acknowledge
 */
bool bh_agent_is_idle(const bh_agent_t *agent);

/**
 * bh_agent_announcement() - fill in the endpoints of an announcement
 *
 * All entries receive the same announcement, so its loads leave @yours at 0.
 */
void bh_agent_announcement(const bh_agent_t *agent, bh_msg_t *msg);
const bh_agent_counters_t *bh_agent_counters(const bh_agent_t *agent);

uint64_t bh_work_entry(const bh_work_t *work);
uint64_t bh_work_seq(const bh_work_t *work);
const char *bh_work_address(const bh_work_t *work);
GBytes *bh_work_body(const bh_work_t *work);

#endif
