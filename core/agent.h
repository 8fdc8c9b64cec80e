/*
 * The agent's decisions about requests: admit into a slot, queue by class and
 * deadline, or refuse; keep each answer until the entry acknowledges it; say
 * truthfully what became of any request id.
 *
 * An id that an entry asks after and that was never seen gets a tombstone: a
 * frame with that id that arrives later is refused, so "not run" stays true.
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
/* Entries send heartbeats four times a second. */
#define BH_CLIENT_TIMEOUT_US (10 * BH_USEC_PER_SEC)
#define BH_CLIENT_EXPIRY_US  (60 * BH_USEC_PER_SEC)
#define BH_QUEUE_PER_SLOT    16
#define BH_UNACKED_MAX_BYTES (4u << 20)
#define BH_AGENT_RUNNERS_MAX 64
#define BH_AGENT_CLIENTS_MAX 1024

/**
 * struct bh_agent_ops - what the agent wants done
 * @call: run the work at its runner
 * @send: give a message to a connection
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
 * struct bh_runner_info - what a runner announces to its agent
 * @agent: incarnation of the agent that answered its last announcement
 * @orphans: runs begun by other incarnations; they still hold slots
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
 * bh_agent_runner_announce() - take in a runner's announcement
 *
 * Return: false when it is stale, out of range or one too many.
 */
bool bh_agent_runner_announce(bh_agent_t *agent, const bh_runner_info_t *info,
			      bh_usec_t now);

/**
 * bh_agent_msg() - a message of an entry
 * @conn: the connection that it came on, the owner's handle
 */
void bh_agent_msg(bh_agent_t *agent, void *conn, const bh_msg_t *msg,
		  bh_usec_t now);
void bh_agent_conn_closed(bh_agent_t *agent, void *conn, bh_usec_t now);

/**
 * bh_agent_done() - a runner answered
 * @status: HTTP status
 * @body: the answer; referenced
 */
void bh_agent_done(bh_agent_t *agent, bh_work_t *work, uint32_t status,
		   GBytes *body, bh_usec_t now);

/**
 * bh_agent_failed() - a runner gave no answer
 * @is_sent: whether any byte of the request may have reached it
 */
void bh_agent_failed(bh_agent_t *agent, bh_work_t *work, bool is_sent);

void bh_agent_tick(bh_agent_t *agent, bh_usec_t now);

/**
 * bh_agent_drain() - refuse new work; what was admitted goes on
 */
void bh_agent_drain(bh_agent_t *agent);

/**
 * bh_agent_is_idle() - nothing runs, waits, or is still to be acknowledged
 */
bool bh_agent_is_idle(const bh_agent_t *agent);

/**
 * bh_agent_announcement() - fill the endpoints of an announcement
 *
 * It goes to all entries alike, so it does not say what is whose.
 */
void bh_agent_announcement(const bh_agent_t *agent, bh_msg_t *msg);
const bh_agent_counters_t *bh_agent_counters(const bh_agent_t *agent);

uint64_t bh_work_entry(const bh_work_t *work);
uint64_t bh_work_seq(const bh_work_t *work);
const char *bh_work_address(const bh_work_t *work);
GBytes *bh_work_body(const bh_work_t *work);

#endif
