/*
 * Messages between processes, independent of their encoding in wire/. A message
 * owns its strings, bytes and arrays.
 */
#ifndef BH_CORE_MSG_H
#define BH_CORE_MSG_H

#include "core/reason.h"
#include "core/types.h"

typedef enum bh_msg_type {
	BH_MSG_NONE,
	BH_MSG_HELLO,	 /* first frame of a connection, in both directions */
	BH_MSG_REQUEST,	 /* entry to agent */
	BH_MSG_ANSWER,	 /* agent to entry: a result or a refusal */
	BH_MSG_ASK,	 /* entry to agent: query for the state of a request */
	BH_MSG_RUNNING,	 /* agent to entry: request is queued or running */
	BH_MSG_PING,	 /* heartbeat, entry to agent */
	BH_MSG_PONG,	 /* heartbeat reply with the load */
	BH_MSG_ANNOUNCE, /* agent to entries, by datagram */
	BH_MSG_REPORT,	 /* agent to cell leader */
	BH_MSG_ORDERS,	 /* cell leader to agent, in reply to a report */
	BH_MSG_CHANGED,	 /* entry to cell leaders: configuration changed */
	BH_MSG_TYPE_COUNT,
} bh_msg_type_t;

/**
 * struct bh_load - load of an endpoint
 * @slots: number of requests that can run concurrently
 * @running: number of slots in use
 * @queued: number of requests waiting for a slot
 * @service_us: moving average of the time a request occupies a slot
 * @yours: requests in @running and @queued that the receiving entry sent
 * @draining: accepts no new requests
 */
typedef struct bh_load {
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	uint32_t service_us;
	uint32_t yours;
	bool draining;
} bh_load_t;

typedef struct bh_endpoint_info {
	char *service;
	bh_load_t load;
} bh_endpoint_info_t;

/**
 * struct bh_resources - amount of processors, memory and accelerators
 */
typedef struct bh_resources {
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t accel;
} bh_resources_t;

typedef enum bh_task_state {
	BH_TASK_PENDING,
	BH_TASK_STARTING,
	BH_TASK_RUNNING,
	BH_TASK_FROZEN,
	BH_TASK_DONE,
	BH_TASK_FAILED,
	BH_TASK_STOPPED,
} bh_task_state_t;

/**
 * struct bh_task_info - one task in a report
 * @id: "JOB/INDEX"
 * @epoch: number of placements of the task; orders with a lower one are refused
 * @progress_ms: work saved by the last checkpoint
 * @done_unix_ms: end time by the worker's wall clock
 */
typedef struct bh_task_info {
	char *id;
	uint32_t epoch;
	bh_task_state_t state;
	uint64_t progress_ms;
	uint64_t done_unix_ms;
	uint32_t used_cpu_milli;
	uint32_t used_mem_mb;
} bh_task_info_t;

typedef enum bh_order_kind {
	BH_ORDER_START,
	BH_ORDER_STOP,
	BH_ORDER_FORGET,
	BH_ORDER_THROTTLE,
} bh_order_kind_t;

typedef struct bh_order {
	bh_order_kind_t kind;
	char *id;
	uint32_t epoch;
	bh_resources_t need;
	uint64_t run_ms;
	uint64_t progress_ms;
	uint32_t permille;
} bh_order_t;

/**
 * struct bh_msg - one message; the fields in use depend on @type
 * @incarnation: identifies one run of the sending process; its start time, so
 *	that a later run has a higher one
 * @entry: incarnation of the entry that sent the request
 * @generation: of a connection, an agent serves only the highest; of orders,
 *	their number in the leader's term; of a report, the number of the last
 *	orders received
 * @seq: sequence of the request, announcement or report
 * @floor: the entry has acknowledged all requests with a lower sequence
 * @budget_us: time left until the deadline; relative, so that the clocks of two
 *	hosts need not agree
 * @checksum: XXH64 of @body
 * @entries: frame addresses of the entries, NULL-terminated; only in orders,
 *	and only if @entries_hash differs from that in the member's report
 */
typedef struct bh_msg {
	bh_msg_type_t type;
	uint64_t incarnation;
	uint64_t entry;
	uint64_t generation;
	uint64_t seq;
	uint64_t floor;
	char *name;
	char *zone;
	char *address;
	char *service;
	char *tenant;
	bh_class_t cls;
	uint64_t budget_us;
	bool idempotent;
	bh_verdict_t verdict;
	uint32_t status;
	bh_reason_t reason;
	GBytes *body;
	uint64_t checksum;
	uint32_t run_us;
	bh_load_t load;
	uint64_t term;
	uint64_t lease_ms;
	bh_resources_t capacity;
	size_t n_endpoints;
	bh_endpoint_info_t *endpoints;
	size_t n_tasks;
	bh_task_info_t *tasks;
	size_t n_orders;
	bh_order_t *orders;
	char **entries;
	uint64_t entries_hash;
} bh_msg_t;

/**
 * bh_msg_clear() - free the contents of a message and zero it
 */
void bh_msg_clear(bh_msg_t *msg);

/**
 * bh_msg_copy() - deep copy; the body is shared by reference
 */
void bh_msg_copy(bh_msg_t *dst, const bh_msg_t *src);

const char *bh_msg_type_name(bh_msg_type_t type);
const char *bh_task_state_name(bh_task_state_t state);

/**
 * bh_body_checksum() - end-to-end checksum of a body, 0 for NULL
 */
uint64_t bh_body_checksum(GBytes *body);

#endif
