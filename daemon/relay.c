#include "daemon/relay.h"
#include "daemon/tables.h"

/* Timeout of a call through the leader: a round trip between hosts on top of
 * the leader's own call to the store. */
#define LEADER_TIMEOUT_US (1000 * BH_USEC_PER_MS)
#define SERVE_TIMEOUT_MS  800

/* For this long after a direct call failed, calls go to the leader first, since
 * an unresponsive store would cost every caller a timeout. */
#define STORE_AVOID_US (2000 * BH_USEC_PER_MS)

/**
 * struct call - a call of this entry
 * @is_store_tried: it was sent to the store directly
 * @is_unclear: an attempt may have done the write
 * @is_awaiting_leader: it was sent to the leader, which has not answered
 * @is_leader_tried: it was sent to the leader
 */
typedef struct call {
	TAILQ_ENTRY(call) link;
	bh_relay_t *relay;
	uint64_t number;
	char *table;
	char *key;
	bool is_put;
	bool is_store_tried;
	bool is_unclear;
	bool is_awaiting_leader;
	bool is_leader_tried;
	uint64_t version;
	GBytes *value;
	int64_t timeout_ms;
	bh_usec_t sent_at;
	bh_store_cb_t cb;
	void *user;
} call_t;

typedef TAILQ_HEAD(calls, call) calls_t;

/* A call made on behalf of another entry. */
typedef struct served {
	TAILQ_ENTRY(served) link;
	bh_relay_t *relay;
	bh_link_t *peer;
	uint64_t number;
	char *table;
	char *key;
} served_call_t;

typedef TAILQ_HEAD(served_calls, served) served_calls_t;

struct bh_relay {
	bh_store_t *store;
	bh_link_t *leader;
	calls_t calls;
	served_calls_t served;
	uint64_t last_number;
	bh_usec_t store_failed_at;
};

static void call_free(call_t *c)
{
	TAILQ_REMOVE(&c->relay->calls, c, link);
	if (c->value)
		g_bytes_unref(c->value);
	g_free(c->table);
	g_free(c->key);
	g_free(c);
}

static void finish(call_t *c, const bh_store_reply_t *reply)
{
	bh_store_reply_t out = *reply;
	bh_store_cb_t cb = c->cb;
	void *user = c->user;

	/* One path refused the write, but the other may have done it. */
	if (c->is_unclear && out.status == BH_STORE_REFUSED)
		out.status = BH_STORE_UNKNOWN;
	call_free(c);
	cb(user, &out);
}

static void send_to_leader(call_t *c)
{
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__StoreCall m = BH__SCHED__STORE_CALL__INIT;

	c->is_awaiting_leader = true;
	c->is_leader_tried = true;
	c->sent_at = bh_runtime_now();
	m.number = c->number;
	m.table = c->table;
	m.key = c->key;
	m.is_put = c->is_put;
	m.version = c->version;
	if (c->value) {
		gsize len;

		m.value.data = (uint8_t *)g_bytes_get_data(c->value, &len);
		m.value.len = len;
	}
	frame.body_case = BH__SCHED__FRAME__BODY_STORE_CALL;
	frame.store_call = &m;
	bh_link_send(c->relay->leader, &frame);
}

static bool is_leader_reachable(const bh_relay_t *relay)
{
	return relay->leader && bh_link_is_open(relay->leader);
}

static void on_store_reply(void *user, const bh_store_reply_t *reply)
{
	call_t *c = user;

	if (reply->status != BH_STORE_REFUSED &&
	    reply->status != BH_STORE_UNKNOWN) {
		c->relay->store_failed_at = 0;
		finish(c, reply);
		return;
	}
	c->relay->store_failed_at = bh_runtime_now();
	if (reply->status == BH_STORE_UNKNOWN && c->is_put)
		c->is_unclear = true;
	if (!c->is_leader_tried && is_leader_reachable(c->relay))
		send_to_leader(c);
	else
		finish(c, reply);
}

static void send_to_store(call_t *c)
{
	const char *part = bh_table_part(c->table, c->key);
	gsize len;
	const void *data;

	c->is_store_tried = true;
	if (!c->is_put) {
		bh_store_list(c->relay->store, c->table, part, c->key, 1,
			      c->timeout_ms, on_store_reply, c);
		return;
	}
	data = g_bytes_get_data(c->value, &len);
	bh_store_put(c->relay->store, c->table, part, c->key, c->version, data,
		     len, c->timeout_ms, on_store_reply, c);
}

static call_t *call_new(bh_relay_t *relay, const char *table, const char *key,
			int64_t timeout_ms, bh_store_cb_t cb, void *user)
{
	call_t *c = g_new0(call_t, 1);

	c->relay = relay;
	c->number = ++relay->last_number;
	c->table = g_strdup(table);
	c->key = g_strdup(key);
	c->timeout_ms = timeout_ms;
	c->cb = cb;
	c->user = user;
	TAILQ_INSERT_TAIL(&relay->calls, c, link);
	return c;
}

static void start_call(call_t *c)
{
	const bh_relay_t *relay = c->relay;

	if (relay->store_failed_at && is_leader_reachable(relay) &&
	    bh_runtime_now() - relay->store_failed_at < STORE_AVOID_US)
		send_to_leader(c);
	else
		send_to_store(c);
}

/* No answer from the leader: tries the store, unless that was done before. */
static void leader_failed(call_t *c)
{
	bh_store_reply_t none = {.status = c->is_put ? BH_STORE_UNKNOWN
						     : BH_STORE_REFUSED};

	if (c->is_put)
		c->is_unclear = true;
	if (c->is_store_tried)
		finish(c, &none);
	else
		send_to_store(c);
}

static void served_call_free(served_call_t *s)
{
	TAILQ_REMOVE(&s->relay->served, s, link);
	g_free(s->table);
	g_free(s->key);
	g_free(s);
}

static void on_served_call_reply(void *user, const bh_store_reply_t *reply)
{
	served_call_t *s = user;
	const bh_store_row_t *row = bh_store_row(reply, s->table, s->key);
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	Bh__Sched__StoreAnswer m = BH__SCHED__STORE_ANSWER__INIT;

	m.number = s->number;
	m.status = reply->status;
	if (row) {
		m.has_row = true;
		m.version = row->version;
		m.value.data = row->value;
		m.value.len = row->len;
	}
	frame.body_case = BH__SCHED__FRAME__BODY_STORE_ANSWER;
	frame.store_answer = &m;
	if (s->peer && bh_link_is_open(s->peer))
		bh_link_send(s->peer, &frame);
	served_call_free(s);
}

bh_relay_t *bh_relay_new(bh_store_t *store)
{
	bh_relay_t *relay = g_new0(bh_relay_t, 1);

	relay->store = store;
	TAILQ_INIT(&relay->calls);
	TAILQ_INIT(&relay->served);
	return relay;
}

void bh_relay_free(bh_relay_t *relay)
{
	call_t *c;
	served_call_t *s;

	while ((c = TAILQ_FIRST(&relay->calls)) != NULL)
		call_free(c);
	while ((s = TAILQ_FIRST(&relay->served)) != NULL)
		served_call_free(s);
	g_free(relay);
}

void bh_relay_set_leader(bh_relay_t *relay, bh_link_t *leader)
{
	call_t *c;
	call_t *next;

	relay->leader = leader;
	TAILQ_FOREACH_SAFE(c, &relay->calls, link, next) {
		if (c->is_awaiting_leader)
			c->sent_at = 0;
	}
}

void bh_relay_get(bh_relay_t *relay, const char *table, const char *key,
		  int64_t timeout_ms, bh_store_cb_t cb, void *user)
{
	start_call(call_new(relay, table, key, timeout_ms, cb, user));
}

void bh_relay_put(bh_relay_t *relay, const char *table, const char *key,
		  uint64_t version, GBytes *value, int64_t timeout_ms,
		  bh_store_cb_t cb, void *user)
{
	call_t *c = call_new(relay, table, key, timeout_ms, cb, user);

	c->is_put = true;
	c->version = version;
	c->value = g_bytes_ref(value);
	start_call(c);
}

void bh_relay_on_answer(bh_relay_t *relay, const Bh__Sched__StoreAnswer *answer)
{
	call_t *c;
	bh_store_row_t row = {
		.value = answer->value.data,
		.len = answer->value.len,
		.version = answer->version,
	};
	bh_store_reply_t reply = {
		.status = MIN(answer->status, BH_STORE_UNKNOWN),
		.rows = &row,
		.n_rows = answer->has_row ? 1 : 0,
	};

	TAILQ_FOREACH(c, &relay->calls, link) {
		if (c->number == answer->number && c->is_awaiting_leader)
			break;
	}
	if (!c)
		return;
	c->is_awaiting_leader = false;
	if (reply.status == BH_STORE_UNKNOWN && c->is_put)
		c->is_unclear = true;
	if (reply.status >= BH_STORE_REFUSED && !c->is_store_tried) {
		send_to_store(c);
		return;
	}
	/* The call's own strings are freed before its callback runs. */
	row.table = (char *)g_intern_string(c->table);
	row.key = g_strdup(c->key);
	finish(c, &reply);
	g_free(row.key);
}

void bh_relay_serve(bh_relay_t *relay, bh_link_t *peer,
		    const Bh__Sched__StoreCall *call)
{
	const char *part = bh_table_part(call->table, call->key);
	served_call_t *s = g_new0(served_call_t, 1);

	s->relay = relay;
	s->peer = peer;
	s->number = call->number;
	s->table = g_strdup(call->table);
	s->key = g_strdup(call->key);
	TAILQ_INSERT_TAIL(&relay->served, s, link);
	if (call->is_put)
		bh_store_put(relay->store, call->table, part, call->key,
			     call->version, call->value.data, call->value.len,
			     SERVE_TIMEOUT_MS, on_served_call_reply, s);
	else
		bh_store_list(relay->store, call->table, part, call->key, 1,
			      SERVE_TIMEOUT_MS, on_served_call_reply, s);
}

void bh_relay_drop_peer(bh_relay_t *relay, const bh_link_t *peer)
{
	served_call_t *s;

	TAILQ_FOREACH(s, &relay->served, link) {
		if (s->peer == peer)
			s->peer = NULL;
	}
}

void bh_relay_tick(bh_relay_t *relay, bh_usec_t now)
{
	call_t *c;
	bool is_found = true;

	/* A callback may add or remove calls: start over after each. */
	while (is_found) {
		is_found = false;
		TAILQ_FOREACH(c, &relay->calls, link) {
			if (!c->is_awaiting_leader ||
			    now - c->sent_at < LEADER_TIMEOUT_US)
				continue;
			c->is_awaiting_leader = false;
			leader_failed(c);
			is_found = true;
			break;
		}
	}
}
