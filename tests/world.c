#include "tests/world.h"

#include <math.h>
#include <stdlib.h>

#define LOAD_HISTORY_LEN	    2048
#define TICK_INTERVAL_US	    (2 * BH_USEC_PER_MS)
#define ANNOUNCE_INTERVAL_US	    (1000 * BH_USEC_PER_MS)
#define RUNNER_ANNOUNCE_INTERVAL_US (500 * BH_USEC_PER_MS)
#define RESTART_DELAY_US	    (1500 * BH_USEC_PER_MS)
#define STALL_DELAY_US		    (2500 * BH_USEC_PER_MS)
#define FREEZE_DURATION_US	    (5 * BH_USEC_PER_SEC)
#define STORE_FAULT_DURATION_US	    (3 * BH_USEC_PER_SEC)
#define FRAME_FAULT_DURATION_US	    (1 * BH_USEC_PER_SEC)
#define EXTRA_DELAY_US		    (300 * BH_USEC_PER_MS)
#define STORE_DELAY_US		    (2 * BH_USEC_PER_MS)
#define STORE_SLOW_DELAY_US	    (400 * BH_USEC_PER_MS)
#define STORE_TIMEOUT_US	    (2 * BH_USEC_PER_SEC)
#define ANSWER_TOLERANCE_US	    (100 * BH_USEC_PER_MS)

const char *const world_step_names[STEP_COUNT] = {
	"entry-accepts", "frame-sent",	  "agent-admits",  "runner-called",
	"runner-done",	 "agent-answers", "entry-answers", "acknowledged",
	"heartbeat",	 "announcement",  "drain",
};

const char *const world_fault_names[FAULT_COUNT] = {
	"none",
	"kill-entry",
	"kill-agent",
	"kill-runner",
	"freeze-entry",
	"freeze-agent",
	"freeze-runner",
	"cut",
	"silent-to-agent",
	"silent-to-entry",
	"silent-both",
	"stall-to-agent",
	"delay",
	"reorder",
	"duplicate",
	"drop-announcements",
	"store-down",
	"store-slow",
	"store-loses-answers",
};

typedef enum event_kind {
	EVENT_TICK,
	EVENT_TO_AGENT,
	EVENT_TO_ENTRY,
	EVENT_OPENED,
	EVENT_REFUSED,
	EVENT_CLOSED_AT_AGENT,
	EVENT_CLOSED_AT_ENTRY,
	EVENT_RUNNER_CALL,
	EVENT_RUN_DONE,
	EVENT_RUN_ANSWER,
	EVENT_ANNOUNCE_TIMER,
	EVENT_ANNOUNCE,
	EVENT_RUNNER_TIMER,
	EVENT_RESTART_ENTRY,
	EVENT_RESTART_AGENT,
	EVENT_RESTART_RUNNER,
	EVENT_STORE_COMMIT,
	EVENT_STORE_REPLY,
	EVENT_STORE_READ,
	EVENT_STORE_READ_REPLY,
	EVENT_ARRIVAL,
} event_kind_t;

/* A connection of one generation. */
typedef struct world_conn {
	int entry;
	uint64_t entry_incarnation;
	int agent;
	uint64_t agent_incarnation;
	uint64_t generation;
	char *peer_name;
	bool is_open;
	bool is_closed_at_agent;
	bool is_silent_to_agent;
	bool is_silent_to_entry;
	bool is_stalled_to_agent; /* frames arrive STALL_DELAY_US late */
	bh_usec_t last_to_agent;
	bh_usec_t last_to_entry;
} world_conn_t;

typedef struct run {
	int runner;
	uint64_t runner_incarnation;
	int agent;
	uint64_t agent_incarnation;
	bh_work_t *work;
	GBytes *body;
	uint64_t id_entry;
	uint64_t id_seq;
	bool is_ok;
	bool is_sent;
} run_t;

typedef struct store_call {
	int entry;
	uint64_t entry_incarnation;
	size_t n;
	bh_claim_write_t *writes;
	char *key;
	bh_claims_status_t status;
	uint64_t version;
	GArray *rows;
} store_call_t;

typedef struct event {
	bh_usec_t at;
	uint64_t order;
	event_kind_t kind;
	int entry;
	int agent;
	uint64_t generation;
	world_conn_t *conn;
	bh_msg_t msg;
	run_t *run;
	store_call_t *store;
} event_t;

typedef struct world_entry {
	world_t *world;
	int index;
	bh_entry_t *core;
	bh_claims_t *claims;
	uint64_t incarnation;
	bool is_alive;
	bool is_draining;
	bh_usec_t frozen_until;
} world_entry_t;

typedef struct world_agent {
	world_t *world;
	int index;
	bh_agent_t *core;
	uint64_t incarnation;
	uint64_t announce_seq;
	bool is_alive;
	bool is_draining;
	bh_usec_t frozen_until;
	bh_load_t loads[LOAD_HISTORY_LEN]; /* sampled each tick */
} world_agent_t;

typedef struct world_runner {
	bool is_alive;
	uint64_t incarnation;
	uint64_t seq;
	uint64_t agent_incarnation;
	bh_usec_t frozen_until;
	bh_usec_t service_us;
	GPtrArray *runs;
} world_runner_t;

struct world {
	world_config_t config;
	GRand *rand;
	bh_usec_t now;
	uint64_t order;
	uint64_t next_incarnation;
	GSequence *events;
	world_entry_t entries[WORLD_ENTRIES];
	world_agent_t agents[WORLD_AGENTS_MAX];
	world_runner_t runners[WORLD_AGENTS_MAX];
	GPtrArray *conns;
	GPtrArray *calls;
	GHashTable *rows; /* the table service: key to bh_claim_row_t */
	uint64_t version;
	world_step_t armed_step;
	world_fault_t armed_fault;
	int armed_nth;
	bool is_injected;
	bh_usec_t delay_until;
	bh_usec_t reorder_until;
	bh_usec_t duplicate_until;
	bh_usec_t drop_announcements_until;
	world_fault_t store_fault;
	bh_usec_t store_fault_until;
	int slots_exceeded;
	double load_rate;
	bh_usec_t load_budget;
	uint64_t load_generation;
	void (*on_answer)(void *ctx, const world_call_t *call);
	void *on_answer_ctx;
};

static const bh_entry_ops_t entry_ops;
static const bh_agent_ops_t agent_ops;
static const bh_claims_ops_t claims_ops;

static void trace(world_t *w, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void trace(world_t *w, const char *format, ...)
{
	va_list args;

	if (!w->config.trace)
		return;
	fprintf(w->config.trace, "%8lld ", (long long)w->now);
	va_start(args, format);
	vfprintf(w->config.trace, format, args);
	va_end(args);
	fputc('\n', w->config.trace);
}

static void trace_msg(world_t *w, const char *from, int from_index,
		      const char *to, int to_index, const bh_msg_t *msg)
{
	if (msg->type == BH_MSG_PING || msg->type == BH_MSG_PONG)
		return;
	trace(w, "%s-%d -> %s-%d %s seq=%llu floor=%llu verdict=%s reason=%s",
	      from, from_index, to, to_index, bh_msg_type_name(msg->type),
	      (unsigned long long)msg->seq, (unsigned long long)msg->floor,
	      bh_verdict_name(msg->verdict), bh_reason_name(msg->reason));
}

static int compare_events(const void *a, const void *b, void *unused)
{
	const event_t *x = a;
	const event_t *y = b;

	(void)unused;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void store_call_free(store_call_t *call)
{
	for (size_t i = 0; i < call->n; i++) {
		g_free(call->writes[i].row.key);
		g_clear_pointer(&call->writes[i].row.answer, g_bytes_unref);
	}
	g_free(call->writes);
	g_free(call->key);
	for (guint i = 0; call->rows && i < call->rows->len; i++)
		g_clear_pointer(
			&g_array_index(call->rows, bh_claim_row_t, i).answer,
			g_bytes_unref);
	if (call->rows)
		g_array_free(call->rows, TRUE);
	g_free(call);
}

static void run_free(run_t *run)
{
	if (run->body)
		g_bytes_unref(run->body);
	g_free(run);
}

static void event_free(void *data)
{
	event_t *ev = data;

	bh_msg_clear(&ev->msg);
	g_free(ev);
}

static event_t *schedule_event(world_t *w, event_kind_t kind, bh_usec_t at)
{
	event_t *ev = g_new0(event_t, 1);

	ev->kind = kind;
	ev->at = at;
	ev->order = w->order++;
	g_sequence_insert_sorted(w->events, ev, compare_events, NULL);
	return ev;
}

static void inject_if_due(world_t *w, world_step_t step, int entry, int agent)
{
	if (w->armed_fault == FAULT_NONE || w->armed_step != step ||
	    --w->armed_nth > 0)
		return;
	world_fault_t fault = w->armed_fault;

	w->armed_fault = FAULT_NONE;
	w->is_injected = true;
	trace(w, "FAULT %s at %s entry-%d agent-%d", world_fault_names[fault],
	      world_step_names[step], entry, agent);
	world_inject(w, fault, entry, agent);
}

/* Connections. */

static world_conn_t *conn_of_peer(world_t *w, int entry, const bh_peer_t *peer)
{
	for (guint i = w->conns->len; i > 0; i--) {
		world_conn_t *c = g_ptr_array_index(w->conns, i - 1);

		if (c->entry == entry &&
		    c->entry_incarnation == w->entries[entry].incarnation &&
		    strcmp(c->peer_name, peer->name) == 0)
			return c->generation == peer->generation ? c : NULL;
	}
	return NULL;
}

static char *zone_name(const world_t *w, int index)
{
	return g_strdup_printf("zone-%d", index % w->config.n_zones);
}

static bh_usec_t transit_us(world_t *w, int entry, int agent)
{
	bool is_local = entry % w->config.n_zones == agent % w->config.n_zones;
	bh_usec_t us =
		is_local ? w->config.local_delay_us : w->config.remote_delay_us;

	if (w->now < w->delay_until)
		us += EXTRA_DELAY_US;
	if (w->now < w->reorder_until)
		us += g_rand_int_range(w->rand, 0, 20000);
	return us;
}

/* Frames of a connection stay in order unless reordering is injected. */
static bh_usec_t arrival_time(world_t *w, const world_conn_t *c,
			      bh_usec_t *last)
{
	bh_usec_t at = w->now + transit_us(w, c->entry, c->agent);

	if (w->now >= w->reorder_until)
		at = MAX(at, *last);
	*last = MAX(*last, at);
	return at;
}

static void sample_load(world_t *w, world_agent_t *a)
{
	bh_load_t *slot =
		&a->loads[w->now / TICK_INTERVAL_US % LOAD_HISTORY_LEN];
	bh_msg_t msg = {0};

	bh_agent_announcement(a->core, &msg);
	if (msg.n_endpoints)
		*slot = msg.endpoints[0].load;
	bh_msg_clear(&msg);
}

/* The counts lag, but the draining flag is current. */
static void replace_load_counts(bh_load_t *load, const bh_load_t *old)
{
	bool draining = load->draining;

	*load = *old;
	load->draining = draining;
}

/* Replaces the loads in a message to an entry by those before the lag. */
static void substitute_old_load(const world_t *w, int agent, bh_msg_t *msg)
{
	bh_usec_t at = MAX(w->now - w->config.report_lag_us, 0);
	const bh_load_t *old =
		&w->agents[agent]
			 .loads[at / TICK_INTERVAL_US % LOAD_HISTORY_LEN];

	if (!w->config.report_lag_us || !old->slots)
		return;
	if (msg->load.slots)
		replace_load_counts(&msg->load, old);
	for (size_t i = 0; i < msg->n_endpoints; i++)
		replace_load_counts(&msg->endpoints[i].load, old);
}

static void schedule_delivery(world_t *w, world_conn_t *c, event_kind_t kind,
			      const bh_msg_t *msg)
{
	int copies = w->now < w->duplicate_until ? 2 : 1;

	for (int i = 0; i < copies; i++) {
		bh_usec_t at = arrival_time(w, c,
					    kind == EVENT_TO_AGENT
						    ? &c->last_to_agent
						    : &c->last_to_entry);
		event_t *ev;

		if (kind == EVENT_TO_AGENT && c->is_stalled_to_agent)
			at += STALL_DELAY_US;
		ev = schedule_event(w, kind, at);
		ev->conn = c;
		bh_msg_copy(&ev->msg, msg);
		if (kind == EVENT_TO_ENTRY)
			substitute_old_load(w, c->agent, &ev->msg);
	}
}

static void conn_close(world_t *w, world_conn_t *c)
{
	if (!c->is_open)
		return;
	c->is_open = false;
	schedule_event(w, EVENT_CLOSED_AT_AGENT, w->now + WORLD_DELAY_US)
		->conn = c;
	schedule_event(w, EVENT_CLOSED_AT_ENTRY, w->now + WORLD_DELAY_US)
		->conn = c;
}

/* Callbacks of entries. */

static void op_send(void *ctx, bh_peer_t *peer, const bh_msg_t *msg)
{
	world_entry_t *e = ctx;
	world_t *w = e->world;
	world_conn_t *c = conn_of_peer(w, e->index, peer);

	if (msg->type == BH_MSG_REQUEST)
		inject_if_due(w, STEP_FRAME_SENT, e->index,
			      peer->name[0] - 'a');
	if (msg->type == BH_MSG_PING)
		inject_if_due(w, STEP_HEARTBEAT, e->index, peer->name[0] - 'a');
	if (!c || !c->is_open || c->is_silent_to_agent)
		return;
	schedule_delivery(w, c, EVENT_TO_AGENT, msg);
}

static void op_connect(void *ctx, bh_peer_t *peer)
{
	world_entry_t *e = ctx;
	world_t *w = e->world;
	world_conn_t *c = g_new0(world_conn_t, 1);
	int agent = peer->name[0] - 'a';
	bool is_up = w->agents[agent].is_alive;

	c->entry = e->index;
	c->entry_incarnation = e->incarnation;
	c->agent = agent;
	c->agent_incarnation = w->agents[agent].incarnation;
	c->generation = peer->generation;
	c->peer_name = g_strdup(peer->name);
	c->is_open = is_up;
	g_ptr_array_add(w->conns, c);
	schedule_event(w, is_up ? EVENT_OPENED : EVENT_REFUSED,
		       w->now + 2 * WORLD_DELAY_US)
		->conn = c;
}

static void op_disconnect(void *ctx, bh_peer_t *peer)
{
	world_entry_t *e = ctx;
	world_conn_t *c = conn_of_peer(e->world, e->index, peer);

	if (!c || !c->is_open)
		return;
	c->is_open = false;
	/* A silent or stalled connection does not deliver the close either. */
	if (!c->is_silent_to_agent && !c->is_stalled_to_agent)
		schedule_event(e->world, EVENT_CLOSED_AT_AGENT,
			       e->world->now + WORLD_DELAY_US)
			->conn = c;
}

static bool is_answer_to(const world_call_t *call, GBytes *body)
{
	g_autofree char *expected = g_strdup_printf("done:%d", call->id);
	gsize len;
	const char *data = body ? g_bytes_get_data(body, &len) : NULL;

	return data && len == strlen(expected) &&
	       memcmp(data, expected, len) == 0;
}

static void op_respond(void *ctx, void *user, const bh_result_t *res)
{
	world_entry_t *e = ctx;
	world_t *w = e->world;
	world_call_t *call = user;

	/* The core of a killed entry may still run; its answers are lost. */
	if (!e->is_alive)
		return;
	call->answers++;
	call->verdict = res->verdict;
	call->reason = res->reason;
	call->status = res->status;
	call->answered_at = w->now;
	call->has_own_answer = is_answer_to(call, res->body);
	trace(w, "entry-%d answers %d verdict=%s reason=%s", e->index, call->id,
	      bh_verdict_name(res->verdict), bh_reason_name(res->reason));
	if (w->on_answer)
		w->on_answer(w->on_answer_ctx, call);
	inject_if_due(w, STEP_ENTRY_ANSWERS, e->index,
		      call->id % w->config.n_agents);
}

static void op_claim(void *ctx, bh_request_t *request)
{
	world_entry_t *e = ctx;

	bh_claims_claim(e->claims, request, e->world->now);
}

static void op_settle(void *ctx, bh_request_t *request, const bh_result_t *res)
{
	world_entry_t *e = ctx;

	bh_claims_settle(e->claims, request, res);
}

static const bh_entry_ops_t entry_ops = {
	.send = op_send,
	.connect = op_connect,
	.disconnect = op_disconnect,
	.respond = op_respond,
	.claim = op_claim,
	.settle = op_settle,
};

/* The table service, limited to what claims need. */

static void op_commit(void *ctx, const bh_claim_write_t *writes, size_t n)
{
	world_entry_t *e = ctx;
	store_call_t *call = g_new0(store_call_t, 1);

	call->entry = e->index;
	call->entry_incarnation = e->incarnation;
	call->n = n;
	call->writes = g_memdup2(writes, n * sizeof(*writes));
	for (size_t i = 0; i < n; i++) {
		call->writes[i].row.key = g_strdup(writes[i].row.key);
		if (writes[i].row.answer)
			g_bytes_ref(writes[i].row.answer);
	}
	schedule_event(e->world, EVENT_STORE_COMMIT,
		       e->world->now + STORE_DELAY_US)
		->store = call;
}

static void op_read(void *ctx, const char *key)
{
	world_entry_t *e = ctx;
	store_call_t *call = g_new0(store_call_t, 1);

	call->entry = e->index;
	call->entry_incarnation = e->incarnation;
	call->key = g_strdup(key);
	schedule_event(e->world, EVENT_STORE_READ,
		       e->world->now + STORE_DELAY_US)
		->store = call;
}

static void op_claimed(void *ctx, bh_request_t *request, const bh_result_t *res)
{
	world_entry_t *e = ctx;

	bh_entry_claimed(e->core, request, res, e->world->now);
}

static void op_settled(void *ctx, bh_request_t *request)
{
	world_entry_t *e = ctx;

	bh_entry_settled(e->core, request);
}

static const bh_claims_ops_t claims_ops = {
	.commit = op_commit,
	.read = op_read,
	.claimed = op_claimed,
	.settled = op_settled,
};

static world_fault_t store_fault(const world_t *w)
{
	return w->now < w->store_fault_until ? w->store_fault : FAULT_NONE;
}

static uint64_t version_of(world_t *w, const char *key)
{
	const bh_claim_row_t *row = g_hash_table_lookup(w->rows, key);

	return row ? row->version : 0;
}

static void collect_conflicts(world_t *w, store_call_t *call)
{
	call->rows = g_array_new(FALSE, TRUE, sizeof(bh_claim_row_t));
	for (size_t i = 0; i < call->n; i++) {
		const bh_claim_row_t *want = &call->writes[i].row;
		const bh_claim_row_t *row;
		bh_claim_row_t found = {.key = want->key};

		if (version_of(w, want->key) == want->version)
			continue;
		row = g_hash_table_lookup(w->rows, want->key);
		if (row)
			found = *row;
		found.key = want->key;
		if (found.answer)
			g_bytes_ref(found.answer);
		g_array_append_val(call->rows, found);
	}
}

static void apply_writes(world_t *w, store_call_t *call)
{
	call->version = ++w->version;
	for (size_t i = 0; i < call->n; i++) {
		const bh_claim_write_t *write = &call->writes[i];
		bh_claim_row_t *row;

		if (write->is_delete) {
			g_hash_table_remove(w->rows, write->row.key);
			continue;
		}
		row = g_memdup2(&write->row, sizeof(write->row));
		row->key = g_strdup(row->key);
		row->version = w->version;
		if (row->answer)
			g_bytes_ref(row->answer);
		g_hash_table_replace(w->rows, row->key, row);
	}
}

static bh_usec_t store_reply_us(const world_t *w)
{
	return store_fault(w) == FAULT_STORE_SLOW ? STORE_SLOW_DELAY_US
						  : STORE_DELAY_US;
}

static void store_commit(world_t *w, store_call_t *call)
{
	bh_usec_t reply_us = store_reply_us(w);

	if (store_fault(w) == FAULT_STORE_DOWN) {
		call->status = BH_CLAIMS_REFUSED;
	} else {
		collect_conflicts(w, call);
		call->status =
			call->rows->len ? BH_CLAIMS_CONFLICT : BH_CLAIMS_OK;
		if (call->status == BH_CLAIMS_OK)
			apply_writes(w, call);
	}
	if (store_fault(w) == FAULT_STORE_LOSES_ANSWERS) {
		call->status = BH_CLAIMS_NO_ANSWER;
		reply_us = STORE_TIMEOUT_US;
	}
	schedule_event(w, EVENT_STORE_REPLY, w->now + reply_us)->store = call;
}

static void store_reply(world_t *w, store_call_t *call)
{
	world_entry_t *e = &w->entries[call->entry];

	if (e->is_alive && e->incarnation == call->entry_incarnation)
		bh_claims_committed(
			e->claims, call->status,
			call->rows ? (bh_claim_row_t *)(void *)call->rows->data
				   : NULL,
			call->rows ? call->rows->len : 0, call->version,
			w->now);
	store_call_free(call);
}

static void store_read_reply(world_t *w, store_call_t *call)
{
	world_entry_t *e = &w->entries[call->entry];
	bh_claim_row_t none = {.key = call->key};
	const bh_claim_row_t *row = g_hash_table_lookup(w->rows, call->key);

	if (store_fault(w) == FAULT_STORE_DOWN)
		row = NULL;
	else if (!row)
		row = &none;
	if (e->is_alive && e->incarnation == call->entry_incarnation)
		bh_claims_read(e->claims, call->key, row, w->now);
	store_call_free(call);
}

/* Callbacks of agents. */

static void agent_send(void *ctx, void *conn, const bh_msg_t *msg)
{
	world_agent_t *a = ctx;
	world_conn_t *c = conn;

	if (msg->type == BH_MSG_ANSWER)
		inject_if_due(a->world, STEP_AGENT_ANSWERS, c->entry, a->index);
	if (!c->is_open || c->is_silent_to_entry)
		return;
	schedule_delivery(a->world, c, EVENT_TO_ENTRY, msg);
}

static void agent_close(void *ctx, void *conn)
{
	world_agent_t *a = ctx;
	world_conn_t *c = conn;

	c->is_closed_at_agent = true;
	if (!c->is_open)
		return;
	c->is_open = false;
	if (!c->is_silent_to_entry)
		schedule_event(a->world, EVENT_CLOSED_AT_ENTRY,
			       a->world->now + WORLD_DELAY_US)
			->conn = c;
}

static void agent_call(void *ctx, bh_work_t *work)
{
	world_agent_t *a = ctx;
	run_t *run;

	inject_if_due(a->world, STEP_AGENT_ADMITS, 0, a->index);
	if (!a->is_alive)
		return;
	run = g_new0(run_t, 1);
	run->runner = a->index;
	run->agent = a->index;
	run->agent_incarnation = a->incarnation;
	run->work = work;
	run->body = g_bytes_ref(bh_work_body(work));
	run->id_entry = bh_work_entry(work);
	run->id_seq = bh_work_seq(work);
	schedule_event(a->world, EVENT_RUNNER_CALL, a->world->now + 10)->run =
		run;
}

static const bh_agent_ops_t agent_ops = {
	.call = agent_call,
	.send = agent_send,
	.close = agent_close,
};

/* Runners. */

static void answer_agent(world_t *w, run_t *run, bool is_ok, bool is_sent)
{
	run->is_ok = is_ok;
	run->is_sent = is_sent;
	schedule_event(w, EVENT_RUN_ANSWER, w->now + 10)->run = run;
}

static world_call_t *call_from_body(world_t *w, GBytes *body)
{
	int id = atoi(g_bytes_get_data(body, NULL));

	return g_ptr_array_index(w->calls, (guint)id);
}

static bh_usec_t draw_service_us(world_t *w, const world_runner_t *r)
{
	double us = (double)r->service_us;

	if (w->config.is_exponential)
		us *= -log(1 - g_rand_double(w->rand));
	return (bh_usec_t)us;
}

static void runner_call(world_t *w, run_t *run)
{
	world_runner_t *r = &w->runners[run->runner];
	world_call_t *call = call_from_body(w, run->body);

	if (!r->is_alive) {
		answer_agent(w, run, false, false);
		return;
	}
	call->runs++;
	run->runner_incarnation = r->incarnation;
	g_ptr_array_add(r->runs, run);
	if (r->runs->len > w->config.slots)
		w->slots_exceeded++;
	trace(w, "runner-%d runs %d", run->runner, call->id);
	schedule_event(w, EVENT_RUN_DONE, w->now + draw_service_us(w, r))->run =
		run;
	inject_if_due(w, STEP_RUNNER_CALLED, call->entry, run->agent);
}

static void run_done(world_t *w, run_t *run)
{
	world_runner_t *r = &w->runners[run->runner];
	bool is_ok = r->is_alive && r->incarnation == run->runner_incarnation;

	if (is_ok)
		g_ptr_array_remove(r->runs, run);
	answer_agent(w, run, is_ok, true);
	inject_if_due(w, STEP_RUNNER_DONE, 0, run->agent);
}

static void run_answer(world_t *w, run_t *run)
{
	world_agent_t *a = &w->agents[run->agent];

	if (a->is_alive && a->incarnation == run->agent_incarnation) {
		if (run->is_ok) {
			int id = call_from_body(w, run->body)->id;
			char *text = g_strdup_printf("done:%d", id);
			GBytes *body = g_bytes_new_take(text, strlen(text));

			bh_agent_done(a->core, run->work, 200, body, w->now);
			g_bytes_unref(body);
		} else {
			bh_agent_failed(a->core, run->work, run->is_sent);
		}
	}
	run_free(run);
}

static uint32_t count_orphans(const world_runner_t *r)
{
	uint32_t n = 0;

	for (guint i = 0; i < r->runs->len; i++) {
		const run_t *run = g_ptr_array_index(r->runs, i);

		n += run->agent_incarnation != r->agent_incarnation;
	}
	return n;
}

static void runner_announce(world_t *w, int index)
{
	world_runner_t *r = &w->runners[index];
	world_agent_t *a = &w->agents[index];
	bh_runner_info_t info = {
		.service = WORLD_SERVICE,
		.address = "runner",
		.incarnation = r->incarnation,
		.slots = w->config.slots,
		.connections = 64,
	};

	if (!r->is_alive || !a->is_alive || w->now < a->frozen_until ||
	    w->now < r->frozen_until)
		return;
	r->agent_incarnation = a->incarnation;
	info.seq = ++r->seq;
	info.agent = r->agent_incarnation;
	info.orphans = count_orphans(r);
	bh_agent_runner_announce(a->core, &info, w->now);
}

static void agent_announce(world_t *w, int index)
{
	world_agent_t *a = &w->agents[index];
	bh_msg_t msg = {.type = BH_MSG_ANNOUNCE};

	inject_if_due(w, STEP_ANNOUNCEMENT, 0, index);
	if (!a->is_alive)
		return;
	msg.name = g_strdup_printf("%c", 'a' + index);
	msg.zone = zone_name(w, index);
	msg.address = g_strdup("address");
	msg.incarnation = a->incarnation;
	msg.seq = ++a->announce_seq;
	bh_agent_announcement(a->core, &msg);
	for (int i = 0; i < WORLD_ENTRIES; i++) {
		event_t *ev;

		if (w->now < w->drop_announcements_until)
			continue;
		ev = schedule_event(w, EVENT_ANNOUNCE,
				    w->now + transit_us(w, i, index));
		ev->entry = i;
		bh_msg_copy(&ev->msg, &msg);
		substitute_old_load(w, index, &ev->msg);
	}
	bh_msg_clear(&msg);
}

/* Start and end of processes. */

static void entry_start(world_t *w, int index)
{
	world_entry_t *e = &w->entries[index];
	g_autofree char *zone = zone_name(w, index);
	bh_entry_config_t config = {
		.zone = zone,
		.policy = w->config.policy ? w->config.policy : "expected-wait",
		.seed = w->config.seed + (uint32_t)index,
		.max_attempts = 3,
		.max_in_flight = 100000,
		.retry_share = 0.1,
		.hedge_quantile = w->config.hedge_quantile,
		.tenant_defaults = {1000000, 100000, 100000},
	};

	e->world = w;
	e->index = index;
	e->incarnation = w->next_incarnation++;
	e->is_alive = true;
	e->is_draining = false;
	e->frozen_until = 0;
	config.incarnation = e->incarnation;
	e->core = bh_entry_new(&config, &entry_ops, e, w->now);
	e->claims = bh_claims_new(e->incarnation, 0, &claims_ops, e);
}

static void agent_start(world_t *w, int index)
{
	world_agent_t *a = &w->agents[index];

	a->world = w;
	a->index = index;
	a->incarnation = w->next_incarnation++;
	a->is_alive = true;
	a->is_draining = false;
	a->frozen_until = 0;
	a->announce_seq = 0;
	a->core = bh_agent_new(a->incarnation, &agent_ops, a);
}

static void runner_start(world_t *w, int index)
{
	world_runner_t *r = &w->runners[index];

	r->is_alive = true;
	r->incarnation = w->next_incarnation++;
	r->frozen_until = 0;
	if (!r->service_us)
		r->service_us = w->config.service_us;
}

static void close_conns(world_t *w, int entry, int agent)
{
	for (guint i = 0; i < w->conns->len; i++) {
		world_conn_t *c = g_ptr_array_index(w->conns, i);

		if ((entry < 0 || c->entry == entry) &&
		    (agent < 0 || c->agent == agent))
			conn_close(w, c);
	}
}

/*
 * The core is freed at the restart, because the fault may have been injected in
 * a callback of it.
 */
static void entry_kill(world_t *w, int index)
{
	world_entry_t *e = &w->entries[index];

	if (!e->is_alive)
		return;
	e->is_alive = false;
	close_conns(w, index, -1);
	for (guint i = 0; i < w->calls->len; i++) {
		world_call_t *call = g_ptr_array_index(w->calls, i);

		if (call->entry == index && call->answers == 0)
			call->is_cut = true;
	}
	schedule_event(w, EVENT_RESTART_ENTRY, w->now + RESTART_DELAY_US)
		->entry = index;
}

static void agent_kill(world_t *w, int index)
{
	world_agent_t *a = &w->agents[index];

	if (!a->is_alive)
		return;
	a->is_alive = false;
	close_conns(w, -1, index);
	schedule_event(w, EVENT_RESTART_AGENT, w->now + RESTART_DELAY_US)
		->agent = index;
}

static void runner_kill(world_t *w, int index)
{
	world_runner_t *r = &w->runners[index];

	if (!r->is_alive)
		return;
	r->is_alive = false;
	g_ptr_array_set_size(r->runs, 0);
	schedule_event(w, EVENT_RESTART_RUNNER, w->now + RESTART_DELAY_US)
		->agent = index;
}

static void restart_entry(world_t *w, int index)
{
	world_entry_t *e = &w->entries[index];

	bh_entry_free(e->core);
	bh_claims_free(e->claims);
	entry_start(w, index);
}

static void restart_agent(world_t *w, int index)
{
	bh_agent_free(w->agents[index].core);
	agent_start(w, index);
}

static void silence_conns(world_t *w, int entry, int agent, bool to_agent,
			  bool to_entry)
{
	for (guint i = 0; i < w->conns->len; i++) {
		world_conn_t *c = g_ptr_array_index(w->conns, i);

		if (c->entry != entry || c->agent != agent)
			continue;
		c->is_silent_to_agent |= to_agent;
		c->is_silent_to_entry |= to_entry;
	}
}

static void stall_conns(world_t *w, int entry, int agent)
{
	for (guint i = 0; i < w->conns->len; i++) {
		world_conn_t *c = g_ptr_array_index(w->conns, i);

		if (c->entry == entry && c->agent == agent && c->is_open)
			c->is_stalled_to_agent = true;
	}
}

/* Events. */

static bh_usec_t frozen_until(const world_t *w, const event_t *ev)
{
	switch (ev->kind) {
	case EVENT_TO_AGENT:
	case EVENT_CLOSED_AT_AGENT:
		return w->agents[ev->conn->agent].frozen_until;
	case EVENT_TO_ENTRY:
	case EVENT_OPENED:
	case EVENT_REFUSED:
	case EVENT_CLOSED_AT_ENTRY:
		return w->entries[ev->conn->entry].frozen_until;
	case EVENT_ANNOUNCE:
		return w->entries[ev->entry].frozen_until;
	case EVENT_ANNOUNCE_TIMER:
		return w->agents[ev->agent].frozen_until;
	case EVENT_RUN_ANSWER:
		return w->agents[ev->run->agent].frozen_until;
	case EVENT_RUNNER_CALL:
	case EVENT_RUN_DONE:
		return w->runners[ev->run->runner].frozen_until;
	case EVENT_STORE_REPLY:
	case EVENT_STORE_READ_REPLY:
		return w->entries[ev->store->entry].frozen_until;
	default:
		return 0;
	}
}

static void tick_all(world_t *w)
{
	for (int i = 0; i < WORLD_ENTRIES; i++) {
		world_entry_t *e = &w->entries[i];

		if (!e->is_alive || w->now < e->frozen_until)
			continue;
		bh_entry_tick(e->core, w->now);
		bh_claims_tick(e->claims, w->now);
	}
	for (int i = 0; i < w->config.n_agents; i++) {
		world_agent_t *a = &w->agents[i];

		if (!a->is_alive || w->now < a->frozen_until)
			continue;
		bh_agent_tick(a->core, w->now);
		if (w->config.report_lag_us)
			sample_load(w, a);
	}
	schedule_event(w, EVENT_TICK, w->now + TICK_INTERVAL_US);
}

static bool is_conn_at_agent(const world_t *w, const world_conn_t *c)
{
	const world_agent_t *a = &w->agents[c->agent];

	return a->is_alive && a->incarnation == c->agent_incarnation;
}

static bool is_conn_at_entry(const world_t *w, const world_conn_t *c)
{
	const world_entry_t *e = &w->entries[c->entry];

	return e->is_alive && e->incarnation == c->entry_incarnation;
}

static bh_peer_t *peer_of_conn(world_t *w, const world_conn_t *c)
{
	bh_peer_t *peer = bh_peers_find(
		bh_entry_peers(w->entries[c->entry].core), c->peer_name);

	return peer && peer->generation == c->generation ? peer : NULL;
}

static void deliver_to_agent(world_t *w, event_t *ev)
{
	world_conn_t *c = ev->conn;

	if (!is_conn_at_agent(w, c) || c->is_closed_at_agent)
		return;
	trace_msg(w, "entry", c->entry, "agent", c->agent, &ev->msg);
	if (ev->msg.floor > 1)
		inject_if_due(w, STEP_ACKNOWLEDGED, c->entry, c->agent);
	if (is_conn_at_agent(w, c))
		bh_agent_msg(w->agents[c->agent].core, c, &ev->msg, w->now);
}

static void deliver_to_entry(world_t *w, event_t *ev)
{
	world_conn_t *c = ev->conn;
	bh_peer_t *peer = is_conn_at_entry(w, c) ? peer_of_conn(w, c) : NULL;

	if (!peer || !c->is_open)
		return;
	trace_msg(w, "agent", c->agent, "entry", c->entry, &ev->msg);
	if (ev->msg.type == BH_MSG_HELLO)
		bh_entry_link_up(w->entries[c->entry].core, peer, &ev->msg,
				 w->now);
	else if (peer->link_state == BH_LINK_UP)
		bh_entry_msg(w->entries[c->entry].core, peer, &ev->msg, w->now);
}

static void conn_opened(world_t *w, world_conn_t *c)
{
	bh_msg_t hello = {
		.type = BH_MSG_HELLO,
		.entry = c->entry_incarnation,
		.generation = c->generation,
	};

	if (c->is_open && is_conn_at_entry(w, c))
		schedule_delivery(w, c, EVENT_TO_AGENT, &hello);
}

static void conn_down(world_t *w, world_conn_t *c, bool is_refused)
{
	bh_peer_t *peer = is_conn_at_entry(w, c) ? peer_of_conn(w, c) : NULL;

	if (peer && peer->link_state != BH_LINK_DOWN)
		bh_entry_link_down(w->entries[c->entry].core, peer, is_refused,
				   w->now);
}

static void deliver_announcement(world_t *w, event_t *ev)
{
	world_entry_t *e = &w->entries[ev->entry];

	if (e->is_alive)
		bh_entry_announce(e->core, &ev->msg, w->now);
}

static void closed_at_agent(world_t *w, world_conn_t *c)
{
	if (!is_conn_at_agent(w, c) || c->is_closed_at_agent)
		return;
	c->is_closed_at_agent = true;
	bh_agent_conn_closed(w->agents[c->agent].core, c, w->now);
}

static void announce_timer(world_t *w, int agent)
{
	agent_announce(w, agent);
	schedule_event(w, EVENT_ANNOUNCE_TIMER, w->now + ANNOUNCE_INTERVAL_US)
		->agent = agent;
}

static void runner_timer(world_t *w, int agent)
{
	runner_announce(w, agent);
	schedule_event(w, EVENT_RUNNER_TIMER,
		       w->now + RUNNER_ANNOUNCE_INTERVAL_US)
		->agent = agent;
}

static void on_arrival(world_t *w)
{
	double gap_us = -log(1 - g_rand_double(w->rand)) / w->load_rate * 1e6;
	int n = (int)w->calls->len;

	schedule_event(w, EVENT_ARRIVAL, w->now + (bh_usec_t)gap_us)
		->generation = w->load_generation;
	world_call(w, n % WORLD_ENTRIES, true, NULL,
		   (bh_class_t)(n % BH_CLASS_COUNT), w->load_budget);
}

static void handle(world_t *w, event_t *ev)
{
	switch (ev->kind) {
	case EVENT_TICK:
		tick_all(w);
		break;
	case EVENT_TO_AGENT:
		deliver_to_agent(w, ev);
		break;
	case EVENT_TO_ENTRY:
		deliver_to_entry(w, ev);
		break;
	case EVENT_OPENED:
		conn_opened(w, ev->conn);
		break;
	case EVENT_REFUSED:
		conn_down(w, ev->conn, true);
		break;
	case EVENT_CLOSED_AT_AGENT:
		closed_at_agent(w, ev->conn);
		break;
	case EVENT_CLOSED_AT_ENTRY:
		conn_down(w, ev->conn, false);
		break;
	case EVENT_RUNNER_CALL:
		runner_call(w, ev->run);
		break;
	case EVENT_RUN_DONE:
		run_done(w, ev->run);
		break;
	case EVENT_RUN_ANSWER:
		run_answer(w, ev->run);
		break;
	case EVENT_ANNOUNCE_TIMER:
		announce_timer(w, ev->agent);
		break;
	case EVENT_ANNOUNCE:
		deliver_announcement(w, ev);
		break;
	case EVENT_RUNNER_TIMER:
		runner_timer(w, ev->agent);
		break;
	case EVENT_RESTART_ENTRY:
		restart_entry(w, ev->entry);
		break;
	case EVENT_RESTART_AGENT:
		restart_agent(w, ev->agent);
		break;
	case EVENT_RESTART_RUNNER:
		runner_start(w, ev->agent);
		break;
	case EVENT_STORE_COMMIT:
		store_commit(w, ev->store);
		break;
	case EVENT_STORE_REPLY:
		store_reply(w, ev->store);
		break;
	case EVENT_STORE_READ:
		schedule_event(w, EVENT_STORE_READ_REPLY,
			       w->now + store_reply_us(w))
			->store = ev->store;
		break;
	case EVENT_STORE_READ_REPLY:
		store_read_reply(w, ev->store);
		break;
	case EVENT_ARRIVAL:
		if (ev->generation == w->load_generation)
			on_arrival(w);
		break;
	}
}

static void row_free(void *data)
{
	bh_claim_row_t *row = data;

	g_free(row->key);
	g_clear_pointer(&row->answer, g_bytes_unref);
	g_free(row);
}

static void conn_free(void *data)
{
	world_conn_t *c = data;

	g_free(c->peer_name);
	g_free(c);
}

static void call_free(void *data)
{
	world_call_t *call = data;

	g_free(call->key);
	g_free(call);
}

static void event_discard(event_t *ev)
{
	if (ev->run)
		run_free(ev->run);
	if (ev->store)
		store_call_free(ev->store);
	event_free(ev);
}

static void set_defaults(world_config_t *config)
{
	if (!config->n_agents)
		config->n_agents = WORLD_AGENTS;
	if (!config->n_zones)
		config->n_zones = 2;
	if (!config->slots)
		config->slots = WORLD_SLOTS;
	if (!config->local_delay_us) {
		config->local_delay_us = WORLD_DELAY_US;
		config->remote_delay_us = WORLD_DELAY_US;
	}
}

world_t *world_new(const world_config_t *config)
{
	world_t *w = g_new0(world_t, 1);

	w->config = *config;
	set_defaults(&w->config);
	w->rand = g_rand_new_with_seed(config->seed);
	w->now = BH_USEC_PER_SEC;
	w->next_incarnation = 1;
	w->events = g_sequence_new(NULL);
	w->conns = g_ptr_array_new_with_free_func(conn_free);
	w->calls = g_ptr_array_new_with_free_func(call_free);
	w->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	for (int i = 0; i < w->config.n_agents; i++) {
		w->runners[i].runs = g_ptr_array_new();
		runner_start(w, i);
		agent_start(w, i);
		schedule_event(w, EVENT_RUNNER_TIMER, w->now + i)->agent = i;
		schedule_event(w, EVENT_ANNOUNCE_TIMER, w->now + 1000 + i)
			->agent = i;
	}
	for (int i = 0; i < WORLD_ENTRIES; i++)
		entry_start(w, i);
	schedule_event(w, EVENT_TICK, w->now);
	return w;
}

void world_free(world_t *w)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(w->events);

	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
		event_discard(g_sequence_get(iter));
	g_sequence_free(w->events);
	for (int i = 0; i < WORLD_ENTRIES; i++) {
		bh_entry_free(w->entries[i].core);
		bh_claims_free(w->entries[i].claims);
	}
	for (int i = 0; i < w->config.n_agents; i++) {
		bh_agent_free(w->agents[i].core);
		g_ptr_array_free(w->runners[i].runs, TRUE);
	}
	g_ptr_array_free(w->conns, TRUE);
	g_ptr_array_free(w->calls, TRUE);
	g_hash_table_destroy(w->rows);
	g_rand_free(w->rand);
	g_free(w);
}

bh_usec_t world_now(const world_t *w)
{
	return w->now;
}

void world_run(world_t *w, bh_usec_t duration)
{
	bh_usec_t until = w->now + duration;

	for (;;) {
		GSequenceIter *iter = g_sequence_get_begin_iter(w->events);
		event_t *ev = g_sequence_get(iter);

		if (ev->at > until)
			break;
		g_sequence_remove(iter);
		w->now = MAX(w->now, ev->at);
		if (frozen_until(w, ev) > w->now) {
			ev->at = frozen_until(w, ev);
			g_sequence_insert_sorted(w->events, ev, compare_events,
						 NULL);
			continue;
		}
		handle(w, ev);
		event_free(ev);
	}
	w->now = until;
}

world_call_t *world_call(world_t *w, int entry, bool idempotent,
			 const char *key, bh_class_t cls, bh_usec_t budget)
{
	world_entry_t *e = &w->entries[entry];
	world_call_t *call = g_new0(world_call_t, 1);
	g_autofree char *text = NULL;
	bh_request_params_t p = {
		.service = WORLD_SERVICE,
		.tenant = "tenant",
		.cls = cls,
		.deadline = w->now + budget,
		.idempotent = idempotent,
		.key = key,
	};

	call->id = (int)w->calls->len;
	call->entry = entry;
	call->idempotent = idempotent;
	call->key = g_strdup(key);
	call->cls = cls;
	call->sent_at = w->now;
	call->deadline = p.deadline;
	g_ptr_array_add(w->calls, call);
	/* A caller's retry with the same key sends the same body. */
	for (int i = 0; key && i < call->id; i++) {
		world_call_t *other = g_ptr_array_index(w->calls, (guint)i);

		if (g_strcmp0(other->key, key) == 0) {
			call->id = other->id;
			break;
		}
	}
	text = g_strdup_printf("%d", call->id);
	p.body = g_bytes_new(text, strlen(text) + 1);
	p.user = call;
	if (!e->is_alive || w->now < e->frozen_until) {
		call->is_cut = true;
		g_bytes_unref(p.body);
		return call;
	}
	bh_entry_submit(e->core, &p, w->now);
	g_bytes_unref(p.body);
	inject_if_due(w, STEP_ENTRY_ACCEPTS, entry,
		      call->id % w->config.n_agents);
	return call;
}

void world_arm(world_t *w, world_step_t step, int nth, world_fault_t fault)
{
	w->armed_step = step;
	w->armed_nth = nth;
	w->armed_fault = fault;
}

bool world_is_injected(const world_t *w)
{
	return w->is_injected;
}

void world_inject(world_t *w, world_fault_t fault, int entry, int agent)
{
	switch (fault) {
	case FAULT_KILL_ENTRY:
		entry_kill(w, entry);
		break;
	case FAULT_KILL_AGENT:
		agent_kill(w, agent);
		break;
	case FAULT_KILL_RUNNER:
		runner_kill(w, agent);
		break;
	case FAULT_FREEZE_ENTRY:
		w->entries[entry].frozen_until = w->now + FREEZE_DURATION_US;
		break;
	case FAULT_FREEZE_AGENT:
		w->agents[agent].frozen_until = w->now + FREEZE_DURATION_US;
		break;
	case FAULT_FREEZE_RUNNER:
		w->runners[agent].frozen_until = w->now + FREEZE_DURATION_US;
		break;
	case FAULT_CUT:
		close_conns(w, entry, agent);
		break;
	case FAULT_SILENT_TO_AGENT:
		silence_conns(w, entry, agent, true, false);
		break;
	case FAULT_SILENT_TO_ENTRY:
		silence_conns(w, entry, agent, false, true);
		break;
	case FAULT_SILENT_BOTH:
		silence_conns(w, entry, agent, true, true);
		break;
	case FAULT_STALL_TO_AGENT:
		stall_conns(w, entry, agent);
		break;
	case FAULT_DELAY:
		w->delay_until = w->now + FRAME_FAULT_DURATION_US;
		break;
	case FAULT_REORDER:
		w->reorder_until = w->now + FRAME_FAULT_DURATION_US;
		break;
	case FAULT_DUPLICATE:
		w->duplicate_until = w->now + FRAME_FAULT_DURATION_US;
		break;
	case FAULT_DROP_ANNOUNCEMENTS:
		w->drop_announcements_until = w->now + FREEZE_DURATION_US;
		break;
	case FAULT_STORE_DOWN:
	case FAULT_STORE_SLOW:
	case FAULT_STORE_LOSES_ANSWERS:
		w->store_fault = fault;
		w->store_fault_until = w->now + STORE_FAULT_DURATION_US;
		break;
	default:
		break;
	}
}

void world_drain_agent(world_t *w, int agent)
{
	inject_if_due(w, STEP_DRAIN, 0, agent);
	if (!w->agents[agent].is_alive)
		return;
	w->agents[agent].is_draining = true;
	bh_agent_drain(w->agents[agent].core);
	agent_announce(w, agent);
}

void world_drain_entry(world_t *w, int entry)
{
	bh_entry_drain(w->entries[entry].core);
}

void world_set_service_us(world_t *w, int runner, bh_usec_t service_us)
{
	w->runners[runner].service_us = service_us;
}

void world_set_load(world_t *w, double rate, bh_usec_t budget)
{
	w->load_rate = rate;
	w->load_budget = budget;
	w->load_generation++;
	if (rate > 0)
		schedule_event(w, EVENT_ARRIVAL, w->now)->generation =
			w->load_generation;
}

void world_on_answer(world_t *w, void (*cb)(void *, const world_call_t *),
		     void *ctx)
{
	w->on_answer = cb;
	w->on_answer_ctx = ctx;
}

bh_entry_t *world_entry(world_t *w, int entry)
{
	return w->entries[entry].core;
}

bh_agent_t *world_agent(world_t *w, int agent)
{
	return w->agents[agent].core;
}

GPtrArray *world_calls(world_t *w)
{
	return w->calls;
}

int world_slots_exceeded(const world_t *w)
{
	return w->slots_exceeded;
}

static int count_runs(world_t *w, const world_call_t *call)
{
	return ((world_call_t *)g_ptr_array_index(w->calls, (guint)call->id))
		->runs;
}

/* Calls with the same key share their id and their runs. */
static bool is_repeated(const world_t *w, const world_call_t *call)
{
	int n = 0;

	for (guint i = 0; i < w->calls->len; i++) {
		const world_call_t *other = g_ptr_array_index(w->calls, i);

		n += other->id == call->id;
	}
	return n > 1;
}

static char *check_call(world_t *w, const world_call_t *call)
{
	int runs = count_runs(w, call);

	if (call->answers > 1)
		return g_strdup_printf("call %d was answered %d times",
				       call->id, call->answers);
	if (!call->idempotent && runs > 1)
		return g_strdup_printf("call %d is not idempotent and ran %d "
				       "times",
				       call->id, runs);
	if (call->is_cut)
		return NULL;
	if (call->answers == 0)
		return g_strdup_printf("call %d was never answered", call->id);
	if (call->verdict == BH_NOT_RUN && runs > 0 && !is_repeated(w, call))
		return g_strdup_printf("call %d ran %d times after \"not run\"",
				       call->id, runs);
	if (call->verdict == BH_RAN && !call->has_own_answer)
		return g_strdup_printf("call %d got no answer of its own",
				       call->id);
	if (call->verdict == BH_RAN && runs == 0)
		return g_strdup_printf("call %d was answered without a run",
				       call->id);
	return NULL;
}

static char *check_deadline(world_t *w, const world_call_t *call)
{
	bh_usec_t frozen = w->entries[call->entry].frozen_until;

	if (call->is_cut || call->answers == 0 ||
	    call->answered_at <=
		    MAX(call->deadline, frozen) + ANSWER_TOLERANCE_US)
		return NULL;
	return g_strdup_printf("call %d was answered %lld us after its "
			       "deadline",
			       call->id,
			       (long long)(call->answered_at - call->deadline));
}

char *world_check(world_t *w)
{
	if (w->slots_exceeded)
		return g_strdup_printf("a runner's slots were exceeded %d "
				       "times",
				       w->slots_exceeded);
	for (guint i = 0; i < w->calls->len; i++) {
		const world_call_t *call = g_ptr_array_index(w->calls, i);
		char *violation = check_call(w, call);

		if (!violation)
			violation = check_deadline(w, call);
		if (violation)
			return violation;
	}
	return NULL;
}
