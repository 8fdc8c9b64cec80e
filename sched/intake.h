/*
 * Admission of bytes from HTTP clients: which connection is closed, and when,
 * so that a process stays within its memory and its descriptors.
 *
 * Load addressed: large groups of clients that send bodies and stop just short
 * of their end, send or read slowly, or only connect.
 */
#ifndef BH_SCHED_INTAKE_H
#define BH_SCHED_INTAKE_H

#include "core/types.h"

#include <sys/queue.h>

/**
 * enum bh_conn_state - state of a connection
 * @BH_CONN_IDLE: no byte of a request has arrived
 * @BH_CONN_HEAD: the head is incomplete
 * @BH_CONN_BODY: the body is incomplete
 * @BH_CONN_PASSED: the request is complete and being handled
 * @BH_CONN_WRITING: the response is being sent
 * @BH_CONN_REFUSED: a refusal was sent, what arrives is discarded
 * @BH_CONN_CLOSING: chosen to be closed
 */
typedef enum bh_conn_state {
	BH_CONN_IDLE,
	BH_CONN_HEAD,
	BH_CONN_BODY,
	BH_CONN_PASSED,
	BH_CONN_WRITING,
	BH_CONN_REFUSED,
	BH_CONN_CLOSING,
	BH_CONN_STATES,
} bh_conn_state_t;

/**
 * enum bh_intake_cause - why a connection is closed or a request refused
 * @BH_INTAKE_MEMORY: the memory budget is exhausted
 * @BH_INTAKE_SHARE: an address exceeds its share of the budget
 * @BH_INTAKE_CONNECTIONS: too many connections
 * @BH_INTAKE_HEAD_TIMEOUT: the head took too long
 * @BH_INTAKE_TOTAL_TIMEOUT: the request took too long
 * @BH_INTAKE_STALLED: no progress of a request or of reading a response
 * @BH_INTAKE_RATE: the body arrives more slowly than the minimum rate
 * @BH_INTAKE_LINGER: the client of a refused request does not close
 * @BH_INTAKE_HEAD_LIMIT: head too large, or too many fields
 * @BH_INTAKE_BODY_LIMIT: body too large, or none is accepted there
 * @BH_INTAKE_MALFORMED: not an HTTP request
 */
typedef enum bh_intake_cause {
	BH_INTAKE_NONE,
	BH_INTAKE_MEMORY,
	BH_INTAKE_SHARE,
	BH_INTAKE_CONNECTIONS,
	BH_INTAKE_HEAD_TIMEOUT,
	BH_INTAKE_TOTAL_TIMEOUT,
	BH_INTAKE_STALLED,
	BH_INTAKE_RATE,
	BH_INTAKE_LINGER,
	BH_INTAKE_HEAD_LIMIT,
	BH_INTAKE_BODY_LIMIT,
	BH_INTAKE_MALFORMED,
	BH_INTAKE_CAUSES,
} bh_intake_cause_t;

/* Main listeners, and one for each of readiness and metrics; more small ones
 * share the last. */
#define BH_INTAKE_GROUPS 4

/**
 * struct bh_intake_limits - limits of a process; bh_intake_limits_init()
 * @budget_bytes: incomplete and complete requests and unsent responses
 * @address_bytes: the incomplete requests of one client address
 * @connections: connections of the main listeners
 * @small_connections: connections of each other listener (readiness, metrics)
 * @head_us: from the first byte of a request to the end of its head
 * @total_us: from the first byte of a request to its end
 * @stall_us: without progress
 * @min_rate: bytes of a request per second, after @stall_us
 */
typedef struct bh_intake_limits {
	uint64_t budget_bytes;
	uint64_t address_bytes;
	uint32_t connections;
	uint32_t small_connections;
	bh_usec_t head_us;
	bh_usec_t total_us;
	bh_usec_t stall_us;
	uint64_t min_rate;
} bh_intake_limits_t;

/**
 * struct bh_intake_conn - a connection
 * @group: listener; 0 for the main ones, which share a limit
 * @bytes: memory held for it
 * @received: bytes of the current request
 * @began_at: when the current request began
 * @moved_at: when it last made progress
 */
typedef struct bh_intake_conn {
	TAILQ_ENTRY(bh_intake_conn) link;
	bh_conn_state_t state;
	uint32_t address;
	uint32_t group;
	uint64_t bytes;
	uint64_t received;
	bh_usec_t began_at;
	bh_usec_t moved_at;
} bh_intake_conn_t;

TAILQ_HEAD(bh_intake_conns, bh_intake_conn);

/**
 * struct bh_intake - all connections of a process
 * @bytes: sum over all connections
 * @n_by_group: connections of each group, without those being closed
 */
typedef struct bh_intake {
	bh_intake_limits_t limits;
	struct bh_intake_conns conns;
	uint64_t bytes;
	uint32_t n_by_group[BH_INTAKE_GROUPS];
	uint64_t causes[BH_INTAKE_CAUSES];
} bh_intake_t;

/**
 * bh_intake_limits_init() - derive limits from those of the host
 * @memory_bytes: memory of the host
 * @fds: descriptors that the process may open
 * @body_bytes: largest legal body
 */
void bh_intake_limits_init(bh_intake_limits_t *limits, uint64_t memory_bytes,
			   uint64_t fds, uint64_t body_bytes);

void bh_intake_init(bh_intake_t *in, const bh_intake_limits_t *limits);
void bh_intake_add(bh_intake_t *in, bh_intake_conn_t *conn, uint32_t group,
		   bh_usec_t now);
void bh_intake_remove(bh_intake_t *in, bh_intake_conn_t *conn);

/**
 * bh_intake_set_state() - change the state; a request begins where the state
 * leaves BH_CONN_IDLE
 */
void bh_intake_set_state(bh_intake_conn_t *conn, bh_conn_state_t state,
			 bh_usec_t now);
void bh_intake_set_bytes(bh_intake_t *in, bh_intake_conn_t *conn,
			 uint64_t bytes);

/**
 * bh_intake_progress() - bytes of a request have arrived, or of a response been
 * sent
 */
void bh_intake_progress(bh_intake_conn_t *conn, uint64_t n, bh_usec_t now);

/**
 * bh_intake_is_over() - a limit on memory may be exceeded
 */
bool bh_intake_is_over(const bh_intake_t *in);

/**
 * bh_intake_is_crowded() - the listener of the newest connection has too many
 */
bool bh_intake_is_crowded(const bh_intake_t *in);

/**
 * bh_intake_next_victim() - choose a connection to close for a limit on memory
 * or connections
 *
 * Never one whose request is being handled. Its state becomes BH_CONN_CLOSING,
 * and it counts for no limit from then on.
 *
 * Return: NULL if no limit is exceeded, or nothing may be closed.
 */
bh_intake_conn_t *bh_intake_next_victim(bh_intake_t *in, bh_usec_t now,
					bh_intake_cause_t *cause);

/**
 * bh_intake_skip_pause() - leave a time in which the process did not run out of
 * all time limits
 */
void bh_intake_skip_pause(bh_intake_t *in, bh_usec_t pause);

/**
 * bh_intake_overdue() - whether and why a connection exceeds a time limit
 */
bh_intake_cause_t bh_intake_overdue(const bh_intake_t *in,
				    const bh_intake_conn_t *conn,
				    bh_usec_t now);

/**
 * bh_intake_status() - status of the response to a request refused for @cause;
 * 0: the connection is closed without one
 */
int bh_intake_status(bh_intake_cause_t cause);
const char *bh_intake_cause_name(bh_intake_cause_t cause);
const char *bh_conn_state_name(bh_conn_state_t state);

#endif
