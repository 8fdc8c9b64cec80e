#include "daemon/entry.h"
#include "core/entry.h"
#include "daemon/conn.h"
#include "daemon/http_guard.h"
#include "daemon/keys.h"
#include "daemon/metrics.h"
#include "daemon/records.h"
#include "daemon/udp.h"

#include <event2/buffer.h>

#define TICK_MS			2
#define REGISTER_INTERVAL_MS	10000
#define DRAIN_CHECK_MS		20
#define DRAIN_IDLE_US		(500 * BH_USEC_PER_MS)
#define KEY_MAX_BYTES		255
#define DEADLINE_MAX_MS		3600000
#define CHANGED_VALUE_MAX_BYTES 7168
#define CHANGED_SEND_COUNT	2

struct bh_entry_role {
	bh_runtime_t *rt;
	bh_entry_t *core;
	struct evhttp *http;
	struct evhttp_bound_socket *socket;
	struct evhttp *operator_http;
	bh_udp_t *udp;
	bh_table_t *table;
	bh_records_t *records;
	bh_keys_t *keys;
	struct event *tick_timer;
	struct event *poll_timer;
	struct event *register_timer;
	struct event *drain_timer;
	bh_usec_t drain_started_at;
	bh_usec_t last_request_at;
	bool is_draining;
	bool is_registering;
	uint64_t garbage_conns;
	char *token;
	GHashTable *other_entries; /* frame addresses, from the table service */
};

/**
 * struct bh_caller - a caller waiting for a response
 * @req: NULL once the caller closed its connection
 */
typedef struct bh_caller {
	struct evhttp_request *req;
	struct evhttp_connection *conn;
} bh_caller_t;

static void on_caller_closed(struct evhttp_connection *conn, void *arg)
{
	bh_caller_t *caller = arg;

	(void)conn;
	caller->req = NULL;
}

static void reply_failure(struct evhttp_request *req, const bh_result_t *res)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	JsonObject *o = json_object_new();

	if (res->status == 429) {
		g_autofree char *seconds = g_strdup_printf(
			"%" G_GINT64_FORMAT,
			MAX(1, (res->retry_after + BH_USEC_PER_SEC - 1) /
				       BH_USEC_PER_SEC));

		evhttp_add_header(headers, "Retry-After", seconds);
	}
	json_object_set_string_member(o, "verdict",
				      bh_verdict_name(res->verdict));
	json_object_set_string_member(o, "reason", bh_reason_name(res->reason));
	json_object_set_string_member(o, "error", bh_reason_text(res->reason));
	bh_http_reply_json(req, (int)res->status, o);
}

static void reply_body(struct evhttp_request *req, const bh_result_t *res)
{
	struct evbuffer *buf = evbuffer_new();

	if (res->body) {
		gsize len;
		const void *data = g_bytes_get_data(res->body, &len);

		evbuffer_add(buf, data, len);
	}
	evhttp_send_reply(req, (int)res->status, NULL, buf);
	evbuffer_free(buf);
}

static void op_respond(void *ctx, void *user, const bh_result_t *res)
{
	bh_entry_role_t *role = ctx;
	bh_caller_t *caller = user;
	struct evhttp_request *req = caller->req;

	if (req) {
		struct evkeyvalq *headers =
			evhttp_request_get_output_headers(req);

		evhttp_connection_set_closecb(caller->conn, NULL, NULL);
		evhttp_add_header(headers, "Boragehold-Verdict",
				  bh_verdict_name(res->verdict));
		/* While draining, makes callers reconnect to another entry. */
		if (role->is_draining)
			evhttp_add_header(headers, "Connection", "close");
		if (res->reason)
			reply_failure(req, res);
		else
			reply_body(req, res);
	}
	g_free(caller);
}

static void op_send(void *ctx, bh_peer_t *peer, const bh_msg_t *msg)
{
	(void)ctx;
	if (peer->user)
		bh_conn_send(peer->user, msg);
}

static void op_disconnect(void *ctx, bh_peer_t *peer)
{
	(void)ctx;
	if (peer->user)
		bh_conn_free(peer->user);
	peer->user = NULL;
}

static bh_peer_t *find_peer(bh_entry_role_t *role, bh_conn_t *conn)
{
	bh_peer_t *peer;

	TAILQ_FOREACH(peer, bh_peers_list(bh_entry_peers(role->core)), link) {
		if (peer->user == conn)
			return peer;
	}
	return NULL;
}

static void on_opened(void *ctx, bh_conn_t *conn)
{
	bh_entry_role_t *role = ctx;
	bh_peer_t *peer = bh_conn_user(conn);
	bh_msg_t hello = {
		.type = BH_MSG_HELLO,
		.entry = role->rt->incarnation,
		.generation = peer->generation,
	};

	bh_conn_send(conn, &hello);
}

static void on_msg(void *ctx, bh_conn_t *conn, const bh_msg_t *msg)
{
	bh_entry_role_t *role = ctx;
	bh_peer_t *peer = bh_conn_user(conn);
	bh_usec_t now = bh_runtime_now();

	if (peer->user != conn)
		return;
	if (msg->type == BH_MSG_HELLO)
		bh_entry_link_up(role->core, peer, msg, now);
	else if (peer->link_state == BH_LINK_UP)
		bh_entry_msg(role->core, peer, msg, now);
}

static void on_closed(void *ctx, bh_conn_t *conn, bool is_refused,
		      const char *error)
{
	bh_entry_role_t *role = ctx;
	bh_peer_t *peer = find_peer(role, conn);

	role->garbage_conns += bh_conn_is_garbage(conn);
	if (!peer)
		return;
	peer->user = NULL;
	if (peer->link_state == BH_LINK_UP)
		bh_log_event(&role->rt->log, BH_LOG_WARN, "agent link closed",
			     "agent", peer->name, "reason", error, NULL);
	bh_entry_link_down(role->core, peer, is_refused, bh_runtime_now());
}

static const bh_conn_ops_t conn_ops = {
	.msg = on_msg,
	.opened = on_opened,
	.closed = on_closed,
};

static void op_connect(void *ctx, bh_peer_t *peer)
{
	bh_entry_role_t *role = ctx;

	peer->user =
		bh_conn_dial(role->rt->base, peer->address, &conn_ops, role);
	if (peer->user)
		bh_conn_set_user(peer->user, peer);
}

static void op_claim(void *ctx, bh_request_t *request)
{
	bh_entry_role_t *role = ctx;
	bh_claims_t *claims = bh_keys_claims(role->keys);
	bh_usec_t now = bh_runtime_now();

	bh_claims_claim(claims, request, now);
	bh_claims_tick(claims, now);
}

static void op_settle(void *ctx, bh_request_t *request, const bh_result_t *res)
{
	bh_entry_role_t *role = ctx;

	bh_claims_settle(bh_keys_claims(role->keys), request, res);
}

static const bh_entry_ops_t core_ops = {
	.send = op_send,
	.connect = op_connect,
	.disconnect = op_disconnect,
	.respond = op_respond,
	.claim = op_claim,
	.settle = op_settle,
};

static void on_claimed(void *ctx, bh_request_t *request, const bh_result_t *res)
{
	bh_entry_role_t *role = ctx;

	bh_entry_claimed(role->core, request, res, bh_runtime_now());
}

static void on_settled(void *ctx, bh_request_t *request)
{
	bh_entry_role_t *role = ctx;

	bh_entry_settled(role->core, request);
}

static const bh_keys_ops_t keys_ops = {
	.claimed = on_claimed,
	.settled = on_settled,
};

static const char *header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

/* Return: NULL, or an error message. */
static const char *parse_headers(bh_entry_role_t *role,
				 struct evhttp_request *req,
				 bh_request_params_t *p)
{
	const char *cls = header(req, "Boragehold-Class");
	const char *idempotent = header(req, "Boragehold-Idempotent");
	const char *deadline = header(req, "Boragehold-Deadline-Ms");
	guint64 ms = (guint64)role->rt->settings->default_deadline_ms;

	p->tenant = header(req, "Boragehold-Tenant");
	p->key = header(req, "Idempotency-Key");
	p->cls = BH_CLASS_NORMAL;
	if (!p->tenant || !bh_record_name_is_valid(p->tenant))
		return "Boragehold-Tenant: required, 1 to 63 of a-z, 0-9, "
		       "'-', '_' and '.'";
	if (cls && !bh_class_parse(cls, &p->cls))
		return "Boragehold-Class: expected high, normal or low";
	if (idempotent && strcmp(idempotent, "true") != 0 &&
	    strcmp(idempotent, "false") != 0)
		return "Boragehold-Idempotent: expected true or false";
	if (deadline && !g_ascii_string_to_unsigned(deadline, 10, 1,
						    DEADLINE_MAX_MS, &ms, NULL))
		return "Boragehold-Deadline-Ms: expected 1 to 3600000";
	if (p->key && (*p->key == 0 || strlen(p->key) > KEY_MAX_BYTES))
		return "Idempotency-Key: expected 1 to 255 bytes";
	p->idempotent = idempotent && strcmp(idempotent, "true") == 0;
	p->deadline = (bh_usec_t)ms * BH_USEC_PER_MS;
	return NULL;
}

static void handle_request(bh_entry_role_t *role, struct evhttp_request *req,
			   const char *service)
{
	bh_request_params_t p = {.service = service};
	const char *parse_error = parse_headers(role, req, &p);
	bh_usec_t now = bh_runtime_now();
	bh_caller_t *caller;

	if (parse_error) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Boragehold-Verdict", "not-run");
		bh_http_reply_error(req, 400, parse_error);
		return;
	}
	role->last_request_at = now;
	caller = g_new0(bh_caller_t, 1);
	caller->req = req;
	caller->conn = evhttp_request_get_connection(req);
	evhttp_connection_set_closecb(caller->conn, on_caller_closed, caller);
	p.deadline += now;
	p.body = bh_http_take_body(req);
	p.user = caller;
	bh_entry_submit(role->core, &p, now);
	if (p.body)
		g_bytes_unref(p.body);
}

static void handle_metrics(bh_entry_role_t *role, struct evhttp_request *req)
{
	GString *out = g_string_new(NULL);

	bh_metrics_entry(out, role->core);
	bh_metrics_claims(out, bh_keys_claims(role->keys));
	bh_metrics_value(out, "boragehold_table_writes_total", NULL,
			 (double)bh_table_writes(role->table));
	bh_metrics_value(out, "boragehold_table_reads_total", NULL,
			 (double)bh_table_reads(role->table));
	bh_metrics_value(out, "boragehold_config_revision", NULL,
			 (double)bh_records_revision(role->records));
	bh_metrics_value(out, "boragehold_garbage_connections_total", NULL,
			 (double)role->garbage_conns);
	bh_metrics_value(out, "boragehold_garbage_datagrams_total", NULL,
			 (double)bh_udp_garbage(role->udp));
	bh_http_guard_metrics(role->rt, out);
	bh_metrics_reply(req, out);
}

static JsonObject *endpoint_object(const bh_endpoint_t *ep, bh_usec_t now)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "service", ep->service->name);
	json_object_set_string_member(o, "agent", ep->peer->name);
	json_object_set_string_member(o, "zone", ep->peer->zone);
	json_object_set_int_member(o, "slots", ep->report.slots);
	json_object_set_int_member(o, "running", ep->report.running);
	json_object_set_int_member(o, "queued", ep->report.queued);
	json_object_set_int_member(o, "outstanding", ep->outstanding);
	json_object_set_int_member(o, "service_us", (gint64)ep->service_us);
	json_object_set_boolean_member(o, "usable",
				       bh_endpoint_is_usable(ep, now));
	json_object_set_boolean_member(o, "draining", ep->report.draining);
	json_object_set_boolean_member(o, "ejected", ep->ejected_until > now);
	return o;
}

static void handle_status(bh_entry_role_t *role, struct evhttp_request *req)
{
	JsonObject *o = json_object_new();
	JsonArray *endpoints = json_array_new();
	bh_usec_t now = bh_runtime_now();
	bh_peer_t *peer;
	bh_endpoint_t *ep;

	TAILQ_FOREACH(peer, bh_peers_list(bh_entry_peers(role->core)), link) {
		TAILQ_FOREACH(ep, &peer->endpoints, in_peer)
			json_array_add_object_element(endpoints,
						      endpoint_object(ep, now));
	}
	json_object_set_string_member(o, "entry", role->rt->settings->name);
	json_object_set_string_member(o, "zone", role->rt->settings->zone);
	json_object_set_boolean_member(o, "draining", role->is_draining);
	json_object_set_int_member(o, "in_flight",
				   (gint64)bh_entry_in_flight(role->core));
	json_object_set_int_member(o, "config_revision",
				   (gint64)bh_records_revision(role->records));
	json_object_set_array_member(o, "endpoints", endpoints);
	bh_http_reply_json(req, 200, o);
}

static bool is_authorized(const bh_entry_role_t *role,
			  struct evhttp_request *req)
{
	const char *text = header(req, "Authorization");

	if (!role->token)
		return true;
	return text && g_str_has_prefix(text, "Bearer ") &&
	       strcmp(text + 7, role->token) == 0;
}

static void handle_v1(bh_entry_role_t *role, struct evhttp_request *req,
		      char **path)
{
	if (!is_authorized(role, req)) {
		bh_http_reply_error(req, 401,
				    "Authorization: expected the operators' "
				    "bearer token");
		return;
	}
	if (path[0] && strcmp(path[0], "status") == 0 && !path[1])
		handle_status(role, req);
	else if (!bh_records_handle(role->records, req, path))
		bh_http_reply_error(req, 404, "no such path");
}

static bool is_caller_path(char **path, struct evhttp_request *req)
{
	return g_strv_length(path) == 4 && strcmp(path[0], "v1") == 0 &&
	       strcmp(path[1], "services") == 0 &&
	       strcmp(path[3], "requests") == 0 &&
	       evhttp_request_get_command(req) == EVHTTP_REQ_POST;
}

static bool handle_health(bh_entry_role_t *role, struct evhttp_request *req,
			  const char *path)
{
	if (strcmp(path, "healthz") == 0) {
		bh_http_reply_text(req, 200, "text/plain", "ok\n");
	} else if (strcmp(path, "readyz") == 0) {
		bh_http_reply_text(req, role->is_draining ? 503 : 200,
				   "text/plain",
				   role->is_draining ? "draining\n" : "ok\n");
	} else if (strcmp(path, "metrics") == 0) {
		handle_metrics(role, req);
	} else {
		return false;
	}
	return true;
}

static void dispatch_http(bh_entry_role_t *role, struct evhttp_request *req,
			  bool is_for_callers, bool is_for_operators)
{
	const char *raw =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	g_auto(GStrv) path = g_strsplit(raw && *raw ? raw + 1 : "", "/", 6);

	if (is_for_callers && is_caller_path(path, req))
		handle_request(role, req, path[2]);
	else if (path[0] && !path[1] && handle_health(role, req, path[0]))
		return;
	else if (is_for_operators && path[0] && strcmp(path[0], "v1") == 0)
		handle_v1(role, req, path + 1);
	else
		bh_http_reply_error(req, 404, "no such path");
}

static void on_http(struct evhttp_request *req, void *arg)
{
	bh_entry_role_t *role = arg;

	dispatch_http(role, req, true, role->operator_http == NULL);
}

static void on_operator_http(struct evhttp_request *req, void *arg)
{
	dispatch_http(arg, req, false, true);
}

/* A deletion or a large record is pushed without a body: it is only polled. */
static void on_changed(bh_entry_role_t *role, const bh_msg_t *msg)
{
	g_autofree char *value = NULL;
	bh_row_t row = {.key = msg->name, .version = msg->seq};

	bh_records_poll(role->records);
	if (!msg->name || !msg->body)
		return;
	value = g_strndup(g_bytes_get_data(msg->body, NULL),
			  g_bytes_get_size(msg->body));
	row.value = value;
	bh_records_pushed(role->records, &row);
}

static void on_datagram(void *ctx, const bh_msg_t *msg)
{
	bh_entry_role_t *role = ctx;

	if (msg->type == BH_MSG_ANNOUNCE && msg->name && msg->address)
		bh_entry_announce(role->core, msg, bh_runtime_now());
	else if (msg->type == BH_MSG_CHANGED)
		on_changed(role, msg);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	bh_entry_role_t *role = arg;

	(void)fd;
	(void)what;
	bh_entry_tick(role->core, bh_runtime_now());
	bh_claims_tick(bh_keys_claims(role->keys), bh_runtime_now());
}

static void on_entries(void *user, const bh_table_reply_t *reply)
{
	bh_entry_role_t *role = user;

	if (reply->status != BH_TABLE_OK)
		return;
	g_hash_table_remove_all(role->other_entries);
	for (size_t i = 0; i < reply->n_rows; i++) {
		if (reply->rows[i].value &&
		    strcmp(reply->rows[i].value,
			   role->rt->settings->listen_frames) != 0)
			g_hash_table_add(role->other_entries,
					 g_strdup(reply->rows[i].value));
	}
}

static void on_poll(evutil_socket_t fd, short what, void *arg)
{
	bh_entry_role_t *role = arg;

	(void)fd;
	(void)what;
	bh_records_poll(role->records);
	bh_table_list(role->table, "entry/", NULL, on_entries, role);
}

static void on_registered(void *user, const bh_table_reply_t *reply)
{
	bh_entry_role_t *role = user;

	(void)reply;
	role->is_registering = false;
}

/*
 * Rewrites the row even if it is unchanged: agents ignore entries whose row
 * keeps its version for too long.
 */
static void on_register(evutil_socket_t fd, short what, void *arg)
{
	bh_entry_role_t *role = arg;
	g_autofree char *key =
		g_strdup_printf("entry/%s", role->rt->settings->name);
	bh_txn_t *txn;

	(void)fd;
	(void)what;
	if (role->is_registering || role->is_draining)
		return;
	role->is_registering = true;
	txn = bh_txn_new();
	bh_txn_put(txn, key, role->rt->settings->listen_frames);
	bh_table_commit(role->table, txn, on_registered, role);
}

static void apply_tenant(bh_entry_role_t *role, const char *name,
			 const bh_record_t *record)
{
	const bh_settings_t *s = role->rt->settings;
	bh_tenant_limits_t limits = {
		.rate = s->tenant_rate,
		.burst = s->tenant_burst,
		.max_in_flight = (uint32_t)s->tenant_max_in_flight,
	};

	if (record && record->rate > 0) {
		limits.rate = record->rate;
		limits.burst = MAX(record->rate, 1);
	}
	if (record && record->burst > 0)
		limits.burst = record->burst;
	if (record && record->max_in_flight > 0)
		limits.max_in_flight = (uint32_t)record->max_in_flight;
	bh_tenants_configure(bh_entry_tenants(role->core), name,
			     record ? &limits : NULL, bh_runtime_now());
}

static void on_record(void *ctx, bh_record_kind_t kind, const char *name,
		      const bh_record_t *record)
{
	if (kind == BH_RECORD_TENANT)
		apply_tenant(ctx, name, record);
}

/*
 * The push carries the record, so that it takes effect even if the table
 * service fails right afterwards. Datagrams may be lost; receivers also poll.
 */
static void on_committed(void *ctx, const char *key, const char *value,
			 uint64_t revision)
{
	bh_entry_role_t *role = ctx;
	bh_msg_t msg = {
		.type = BH_MSG_CHANGED, .name = (char *)key, .seq = revision};
	GHashTableIter iter;
	bh_peer_t *peer;
	void *address;

	if (value && strlen(value) < CHANGED_VALUE_MAX_BYTES)
		msg.body = g_bytes_new(value, strlen(value));
	for (int i = 0; i < CHANGED_SEND_COUNT; i++) {
		g_hash_table_iter_init(&iter, role->other_entries);
		while (g_hash_table_iter_next(&iter, &address, NULL))
			bh_udp_send(role->udp, address, &msg);
		TAILQ_FOREACH(peer, bh_peers_list(bh_entry_peers(role->core)),
			      link)
			bh_udp_send(role->udp, peer->address, &msg);
	}
	g_clear_pointer(&msg.body, g_bytes_unref);
}

static const bh_records_ops_t records_ops = {
	.updated = on_record,
	.committed = on_committed,
};

static bool is_idle(bh_entry_role_t *role, bh_usec_t now)
{
	return bh_entry_in_flight(role->core) == 0 &&
	       bh_claims_pending(bh_keys_claims(role->keys)) == 0 &&
	       now - role->last_request_at >= DRAIN_IDLE_US;
}

/*
 * After the grace period no new connection is accepted. Requests on open
 * connections are still served, and each response closes its connection, so
 * that no request is cut off.
 */
static void on_drain(evutil_socket_t fd, short what, void *arg)
{
	bh_entry_role_t *role = arg;
	const bh_settings_t *s = role->rt->settings;
	bh_usec_t now = bh_runtime_now();
	bh_usec_t elapsed = now - role->drain_started_at;

	(void)fd;
	(void)what;
	if (elapsed < s->drain_grace_ms * BH_USEC_PER_MS)
		return;
	if (role->socket) {
		bh_http_guard_detach(role->rt, role->socket);
		evhttp_del_accept_socket(role->http, role->socket);
	}
	role->socket = NULL;
	if (elapsed >= s->drain_limit_ms * BH_USEC_PER_MS)
		bh_entry_drain(role->core);
	else if (!is_idle(role, now))
		return;
	event_del(role->drain_timer);
	event_base_loopexit(role->rt->base, NULL);
}

static bh_entry_t *core_new(bh_entry_role_t *role)
{
	const bh_settings_t *s = role->rt->settings;
	bh_entry_config_t config = {
		.zone = s->zone,
		.policy = s->policy,
		.incarnation = role->rt->incarnation,
		.seed = (uint32_t)role->rt->incarnation,
		.max_attempts = (uint32_t)s->max_attempts,
		.max_in_flight = (uint32_t)s->max_in_flight,
		.retry_share = s->retry_share,
		.hedge_quantile = s->hedge_quantile,
		.tenant_defaults = {s->tenant_rate, s->tenant_burst,
				    (uint32_t)s->tenant_max_in_flight},
	};

	return bh_entry_new(&config, &core_ops, role, bh_runtime_now());
}

static bool load_token(bh_entry_role_t *role)
{
	const char *path = role->rt->settings->token_file;
	g_autoptr(GError) err = NULL;

	if (!*path)
		return true;
	if (!g_file_get_contents(path, &role->token, NULL, &err)) {
		bh_log_event(&role->rt->log, BH_LOG_ERROR,
			     "cannot read the token file", "reason",
			     err->message, NULL);
		return false;
	}
	g_strstrip(role->token);
	return true;
}

static bool open_sockets(bh_entry_role_t *role)
{
	const bh_settings_t *s = role->rt->settings;

	role->udp = bh_udp_open(role->rt->base, s->listen_frames, on_datagram,
				role);
	if (!role->udp) {
		bh_log_event(&role->rt->log, BH_LOG_ERROR, "cannot listen",
			     "address", s->listen_frames, NULL);
		return false;
	}
	if (*s->listen_operators) {
		role->operator_http =
			bh_http_listen(role->rt, s->listen_operators,
				       on_operator_http, role, NULL);
		if (!role->operator_http)
			return false;
	}
	role->http = bh_http_listen(role->rt, s->listen_http, on_http, role,
				    &role->socket);
	return role->http != NULL;
}

bh_entry_role_t *bh_entry_role_start(bh_runtime_t *rt)
{
	bh_entry_role_t *role = g_new0(bh_entry_role_t, 1);

	role->rt = rt;
	role->core = core_new(role);
	role->table = bh_table_new(rt->base, rt->settings->table);
	role->keys = bh_keys_new(rt, role->table, &keys_ops, role);
	role->records = bh_records_new(rt, role->table, &records_ops, role);
	role->other_entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!load_token(role) || !open_sockets(role)) {
		bh_entry_role_free(role);
		return NULL;
	}
	role->tick_timer = bh_runtime_every(rt, TICK_MS, on_tick, role);
	role->poll_timer =
		bh_runtime_every(rt, rt->settings->poll_ms, on_poll, role);
	role->register_timer =
		bh_runtime_every(rt, REGISTER_INTERVAL_MS, on_register, role);
	event_active(role->register_timer, EV_TIMEOUT, 1);
	event_active(role->poll_timer, EV_TIMEOUT, 1);
	bh_log_event(&rt->log, BH_LOG_INFO, "entry started", "http",
		     rt->settings->listen_http, "zone", rt->settings->zone,
		     NULL);
	return role;
}

static void on_unregistered(void *user, const bh_table_reply_t *reply)
{
	(void)user;
	(void)reply;
}

void bh_entry_role_drain(bh_entry_role_t *role)
{
	g_autofree char *key =
		g_strdup_printf("entry/%s", role->rt->settings->name);
	bh_txn_t *txn;

	if (role->is_draining)
		return;
	role->is_draining = true;
	role->drain_started_at = bh_runtime_now();
	role->drain_timer =
		bh_runtime_every(role->rt, DRAIN_CHECK_MS, on_drain, role);
	txn = bh_txn_new();
	bh_txn_delete(txn, key);
	bh_table_commit(role->table, txn, on_unregistered, NULL);
	bh_log_event(&role->rt->log, BH_LOG_INFO, "entry draining", NULL);
}

static void free_event(struct event **ev)
{
	if (*ev)
		event_free(*ev);
	*ev = NULL;
}

void bh_entry_role_free(bh_entry_role_t *role)
{
	bh_peer_t *peer;

	free_event(&role->tick_timer);
	free_event(&role->poll_timer);
	free_event(&role->register_timer);
	free_event(&role->drain_timer);
	TAILQ_FOREACH(peer, bh_peers_list(bh_entry_peers(role->core)), link)
		op_disconnect(role, peer);
	if (role->http)
		evhttp_free(role->http);
	if (role->operator_http)
		evhttp_free(role->operator_http);
	bh_udp_close(role->udp);
	bh_records_free(role->records);
	bh_table_free(role->table);
	bh_keys_free(role->keys);
	bh_entry_free(role->core);
	g_hash_table_destroy(role->other_entries);
	g_free(role->token);
	g_free(role);
}
