#include "daemon/agent.h"
#include "core/agent.h"
#include "daemon/conn.h"
#include "daemon/leader.h"
#include "daemon/http_guard.h"
#include "daemon/metrics.h"
#include "daemon/udp.h"
#include "platform/address.h"
#include "platform/json.h"
#include "platform/worker.h"

#include <event2/listener.h>

#define TICK_MS		      5
#define IDLE_REPORTS_PER_TERM 3
#define DRAIN_CHECK_MS	      20
#define ENTRY_STALE_US	      (60 * BH_USEC_PER_SEC)
#define LEADER_TIMEOUT_MIN_US (3 * BH_USEC_PER_SEC)
#define RUNNER_BODY_MAX_BYTES (1u << 20)
#define RUNNER_SLOTS_MAX      1024

typedef struct bh_known_entry {
	char *address;
	uint64_t version;
	bh_usec_t changed_at;
} bh_known_entry_t;

struct bh_agent_role {
	bh_runtime_t *rt;
	bh_agent_t *core;
	bh_taskhost_t *taskhost;
	bh_leader_t *leader;
	struct evhttp *http;
	struct evconnlistener *listener;
	bh_udp_t *udp;
	bh_table_t *table;
	bh_worker_t *worker;
	struct event *timers[5];
	struct event *drain_timer;
	GHashTable *conns;   /* accepted connections */
	GHashTable *members; /* member name to its connection, while leading */
	GHashTable *pools;   /* runner address to its HTTP pool */
	GHashTable *entries; /* entry name to bh_known_entry_t */
	char **leader_entries; /* addresses that the cell's leader sent */
	uint64_t leader_entries_hash;
	bh_usec_t leader_entries_at; /* when the leader last confirmed them */
	bh_usec_t entries_read_at;   /* from the table service */
	GHashTable *member_hashes;   /* member name to its reported hash */
	char **configured_entries;
	bh_conn_t *leader_conn;
	char *leader_address;
	bh_usec_t leader_heard_at;
	bh_usec_t reported_at;
	uint64_t reported_changes;
	uint64_t announce_seq;
	uint64_t garbage_conns;
	bool is_draining;
	bh_usec_t drain_started_at;
};

typedef struct runner_call {
	bh_agent_role_t *role;
	bh_work_t *work;
} runner_call_t;

/* Requests to runners. */

static void on_run(void *user, const bh_http_reply_t *reply)
{
	runner_call_t *call = user;
	bh_agent_t *core = call->role->core;
	bh_usec_t now = bh_runtime_now();

	if (reply->status)
		bh_agent_done(core, call->work, reply->status, reply->body,
			      now);
	else
		bh_agent_failed(core, call->work, reply->is_sent);
	g_free(call);
}

static bh_http_pool_t *pool_for(bh_agent_role_t *role, const char *address)
{
	bh_http_pool_t *pool = g_hash_table_lookup(role->pools, address);

	if (!pool) {
		pool = bh_http_pool_new(role->rt->base, address,
					RUNNER_BODY_MAX_BYTES);
		g_hash_table_insert(role->pools, g_strdup(address), pool);
	}
	return pool;
}

static void op_call(void *ctx, bh_work_t *work)
{
	bh_agent_role_t *role = ctx;
	runner_call_t *call = g_new0(runner_call_t, 1);
	g_autofree char *agent =
		g_strdup_printf("%" G_GUINT64_FORMAT, role->rt->incarnation);
	g_autofree char *id =
		g_strdup_printf("%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
				bh_work_entry(work), bh_work_seq(work));
	bh_http_call_t http = {
		.method = EVHTTP_REQ_POST,
		.path = "/run",
		.headers = {{"Boragehold-Request-Id", id},
			    {"Boragehold-Agent", agent}},
		.body = bh_work_body(work),
		.timeout_us =
			role->rt->settings->http_timeout_ms * BH_USEC_PER_MS,
	};

	call->role = role;
	call->work = work;
	bh_http_send(pool_for(role, bh_work_address(work)), &http, on_run,
		     call);
}

static void op_send(void *ctx, void *conn, const bh_msg_t *msg)
{
	(void)ctx;
	bh_conn_send(conn, msg);
}

static void op_close(void *ctx, void *conn)
{
	bh_agent_role_t *role = ctx;

	g_hash_table_remove(role->conns, conn);
	bh_conn_free(conn);
}

static const bh_agent_ops_t core_ops = {
	.call = op_call,
	.send = op_send,
	.close = op_close,
};

/* Sets @out to 0 for a missing member. Return: false for a member that is not
 * an integer from 0 to @max. */
static bool read_number(JsonObject *o, const char *name, int64_t max,
			uint64_t *out)
{
	int64_t value = bh_json_member_int(o, name, -1);

	*out = 0;
	if (!json_object_has_member(o, name))
		return true;
	if (value < 0 || value > max)
		return false;
	*out = (uint64_t)value;
	return true;
}

static const char *parse_runner(JsonObject *o, bh_runner_info_t *info)
{
	uint64_t slots;
	uint64_t connections;
	uint64_t orphans;

	info->service = bh_json_member_text(o, "service", "");
	info->address = bh_json_member_text(o, "address", "");
	if (!read_number(o, "incarnation", INT64_MAX, &info->incarnation) ||
	    !read_number(o, "seq", INT64_MAX, &info->seq) ||
	    !read_number(o, "agent", INT64_MAX, &info->agent))
		return "incarnation, seq, agent: expected 0 to 2^63-1";
	if (!read_number(o, "slots", RUNNER_SLOTS_MAX, &slots) || slots < 1)
		return "slots: expected 1 to 1024";
	if (!read_number(o, "connections", UINT32_MAX, &connections) ||
	    connections < 1)
		return "connections: expected 1 to 2^32-1";
	if (!read_number(o, "orphans", RUNNER_SLOTS_MAX, &orphans))
		return "orphans: expected 0 to 1024";
	info->slots = (uint32_t)slots;
	info->connections = (uint32_t)connections;
	info->orphans = (uint32_t)orphans;
	info->draining = bh_json_is_true(json_object_get_member(o, "draining"));
	if (*info->service == 0 || strlen(info->service) > 63)
		return "service: expected 1 to 63 bytes";
	if (!bh_address_is_valid(info->address))
		return "address: expected IP:PORT";
	return NULL;
}

static void announce(bh_agent_role_t *role);

static void handle_announce(bh_agent_role_t *role, struct evhttp_request *req)
{
	GBytes *body = bh_http_take_body(req);
	bh_runner_info_t info = {0};
	const char *parse_error = "expected a JSON object";
	JsonNode *node = bh_json_parse_bytes(body);

	if (body)
		g_bytes_unref(body);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		parse_error = parse_runner(json_node_get_object(node), &info);
	if (parse_error) {
		bh_http_reply_error(req, 400, parse_error);
	} else if (bh_agent_runner_announce(role->core, &info,
					    bh_runtime_now())) {
		JsonObject *o = json_object_new();

		if (info.draining)
			announce(role);
		json_object_set_int_member(o, "agent",
					   (gint64)role->rt->incarnation);
		bh_http_reply_json(req, 200, o);
	} else {
		bh_http_reply_error(req, 409, "the announcement is stale");
	}
	g_clear_pointer(&node, json_node_unref);
}

static void handle_metrics(bh_agent_role_t *role, struct evhttp_request *req)
{
	GString *out = g_string_new(NULL);

	bh_metrics_agent(out, role->core);
	bh_metrics_taskhost(out, role->taskhost);
	bh_metrics_cell(out, bh_leader_cell(role->leader));
	bh_metrics_value(out, "boragehold_garbage_connections_total", NULL,
			 (double)role->garbage_conns);
	bh_metrics_value(out, "boragehold_table_writes_total", NULL,
			 (double)bh_table_writes(role->table));
	bh_metrics_value(out, "boragehold_table_reads_total", NULL,
			 (double)bh_table_reads(role->table));
	bh_http_guard_metrics(role->rt, out);
	bh_metrics_reply(req, out);
}

static void on_http(struct evhttp_request *req, void *arg)
{
	bh_agent_role_t *role = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (g_strcmp0(path, "/announce") == 0 &&
	    evhttp_request_get_command(req) == EVHTTP_REQ_POST)
		handle_announce(role, req);
	else if (g_strcmp0(path, "/metrics") == 0)
		handle_metrics(role, req);
	else if (g_strcmp0(path, "/healthz") == 0)
		bh_http_reply_text(req, 200, "text/plain", "ok\n");
	else
		bh_http_reply_error(req, 404, "no such path");
}

static bool is_leading(const bh_agent_role_t *role)
{
	return bh_cell_role(bh_leader_cell(role->leader)) == BH_CELL_LEADING;
}

/*
 * Several reports per term: the leader's replies show it to be alive, so that
 * members need not read the cell's row.
 */
static bh_usec_t idle_report_us(const bh_agent_role_t *role)
{
	const bh_settings_t *s = role->rt->settings;

	return MAX(s->report_ms, s->term_ms / IDLE_REPORTS_PER_TERM) *
	       BH_USEC_PER_MS;
}

static bh_usec_t leader_timeout_us(const bh_agent_role_t *role)
{
	return MAX(LEADER_TIMEOUT_MIN_US, 2 * idle_report_us(role));
}

/* Announcements to the entries. */

static bool has_live_leader(const bh_agent_role_t *role, bh_usec_t now)
{
	return !is_leading(role) && role->leader_heard_at != 0 &&
	       now - role->leader_heard_at <= leader_timeout_us(role);
}

static void known_entry_free(void *data)
{
	bh_known_entry_t *known = data;

	g_free(known->address);
	g_free(known);
}

static void refresh_known_entries(bh_agent_role_t *role, bh_usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, role->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((bh_known_entry_t *)value)->changed_at = now;
}

static void on_entries(void *user, const bh_table_reply_t *reply)
{
	bh_agent_role_t *role = user;
	bh_usec_t now = bh_runtime_now();

	if (reply->status != BH_TABLE_OK)
		return;
	/* In an outage of the table service no entry could rewrite its row. */
	if (now - role->entries_read_at >= ENTRY_STALE_US / 2)
		refresh_known_entries(role, now);
	role->entries_read_at = now;
	for (size_t i = 0; i < reply->n_rows; i++) {
		const bh_row_t *row = &reply->rows[i];
		bh_known_entry_t *known =
			g_hash_table_lookup(role->entries, row->key);

		if (known && known->version == row->version)
			continue;
		known = g_new0(bh_known_entry_t, 1);
		known->address = g_strdup(row->value);
		known->version = row->version;
		known->changed_at = now;
		g_hash_table_replace(role->entries, g_strdup(row->key), known);
	}
}

static void on_poll_entries(evutil_socket_t fd, short what, void *arg)
{
	bh_agent_role_t *role = arg;

	(void)fd;
	(void)what;
	/* The same reads by thousands of agents would overload the table. */
	if (role->leader_entries && has_live_leader(role, bh_runtime_now()))
		return;
	bh_table_list(role->table, "entry/", NULL, on_entries, role);
}

static bool is_configured_entry(const bh_agent_role_t *role,
				const char *address)
{
	return g_strv_contains((const char *const *)role->configured_entries,
			       address);
}

static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorted, so that the same entries always have the same hash. */
static char **table_entry_addresses(bh_agent_role_t *role)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, role->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const bh_known_entry_t *known = value;

		if (known->address &&
		    role->entries_read_at - known->changed_at < ENTRY_STALE_US)
			g_ptr_array_add(out, g_strdup(known->address));
	}
	g_ptr_array_sort(out, compare_strings);
	g_ptr_array_add(out, NULL);
	return (char **)g_ptr_array_free(out, FALSE);
}

/*
 * The more recent of the leader's list and the table service's; it is used
 * even while both are unreachable.
 */
static char **entry_addresses(bh_agent_role_t *role)
{
	if (role->leader_entries &&
	    role->leader_entries_at >= role->entries_read_at)
		return g_strdupv(role->leader_entries);
	return table_entry_addresses(role);
}

static void announce(bh_agent_role_t *role)
{
	const bh_settings_t *s = role->rt->settings;
	bh_msg_t msg = {.type = BH_MSG_ANNOUNCE};
	g_auto(GStrv) addresses = NULL;

	msg.name = g_strdup(s->name);
	msg.zone = g_strdup(s->zone);
	msg.address = g_strdup(*s->advertise_frames ? s->advertise_frames
						    : s->listen_frames);
	msg.incarnation = role->rt->incarnation;
	msg.seq = ++role->announce_seq;
	bh_agent_announcement(role->core, &msg);
	for (char **configured = role->configured_entries; *configured;
	     configured++)
		bh_udp_send(role->udp, *configured, &msg);
	addresses = entry_addresses(role);
	for (char **at = addresses; *at; at++) {
		if (!is_configured_entry(role, *at))
			bh_udp_send(role->udp, *at, &msg);
	}
	bh_msg_clear(&msg);
}

static void on_announce(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	announce(arg);
}

static void on_datagram(void *ctx, const bh_msg_t *msg)
{
	bh_agent_role_t *role = ctx;

	if (msg->type == BH_MSG_CHANGED)
		bh_leader_poll(role->leader);
}

/* Accepted connections: from entries, and from members while leading. */

static void handle_report(bh_agent_role_t *role, bh_conn_t *conn,
			  const bh_msg_t *msg)
{
	if (!msg->name)
		return;
	g_hash_table_replace(role->members, g_strdup(msg->name), conn);
	g_hash_table_replace(
		role->member_hashes, g_strdup(msg->name),
		g_memdup2(&msg->entries_hash, sizeof(msg->entries_hash)));
	bh_cell_handle_report(bh_leader_cell(role->leader), msg,
			      bh_runtime_now());
}

static void on_msg(void *ctx, bh_conn_t *conn, const bh_msg_t *msg)
{
	bh_agent_role_t *role = ctx;

	if (msg->type == BH_MSG_REPORT)
		handle_report(role, conn, msg);
	else
		bh_agent_msg(role->core, conn, msg, bh_runtime_now());
}

static gboolean is_member_conn(void *key, void *value, void *conn)
{
	(void)key;
	return value == conn;
}

static void on_conn_closed(void *ctx, bh_conn_t *conn, bool is_refused,
			   const char *error)
{
	bh_agent_role_t *role = ctx;

	(void)is_refused;
	(void)error;
	role->garbage_conns += bh_conn_is_garbage(conn);
	g_hash_table_remove(role->conns, conn);
	g_hash_table_foreach_remove(role->members, is_member_conn, conn);
	bh_agent_conn_closed(role->core, conn, bh_runtime_now());
}

static void on_opened(void *ctx, bh_conn_t *conn)
{
	(void)ctx;
	(void)conn;
}

static const bh_conn_ops_t accepted_ops = {
	.msg = on_msg,
	.opened = on_opened,
	.closed = on_conn_closed,
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *arg)
{
	bh_agent_role_t *role = arg;

	(void)listener;
	(void)from;
	(void)len;
	if (g_hash_table_size(role->conns) >= BH_AGENT_CLIENTS_MAX) {
		evutil_closesocket(fd);
		return;
	}
	g_hash_table_add(role->conns, bh_conn_accept(role->rt->base, fd,
						     &accepted_ops, role));
}

/* Tasks: calls to the worker runtime. */

static void op_start(void *ctx, const bh_host_task_t *task)
{
	bh_agent_role_t *role = ctx;

	bh_worker_start(role->worker, task);
}

static void op_stop(void *ctx, const bh_host_task_t *task)
{
	bh_agent_role_t *role = ctx;

	bh_worker_stop(role->worker, task);
}

static void op_forget(void *ctx, const bh_host_task_t *task)
{
	bh_agent_role_t *role = ctx;

	bh_worker_forget(role->worker, task);
}

static void op_throttle(void *ctx, const bh_host_task_t *task,
			uint32_t permille)
{
	bh_agent_role_t *role = ctx;

	bh_worker_throttle(role->worker, task, permille);
}

static void op_renew(void *ctx, GPtrArray *tasks, bh_usec_t until)
{
	bh_agent_role_t *role = ctx;

	bh_worker_renew(role->worker, tasks, until);
}

static const bh_taskhost_ops_t host_ops = {
	.start = op_start,
	.stop = op_stop,
	.forget = op_forget,
	.throttle = op_throttle,
	.renew = op_renew,
};

static void on_started(void *ctx, const char *id, uint32_t epoch, bool is_ok)
{
	bh_agent_role_t *role = ctx;

	bh_taskhost_started(role->taskhost, id, epoch, is_ok, bh_runtime_now());
}

static void on_listed(void *ctx, const bh_resources_t *capacity,
		      const bh_host_task_t *tasks, size_t n, bh_usec_t asked_at)
{
	bh_agent_role_t *role = ctx;

	bh_taskhost_handle_listing(role->taskhost, capacity, tasks, n,
				   asked_at);
}

static const bh_worker_ops_t worker_ops = {
	.started = on_started,
	.listed = on_listed,
};

/* Tasks: orders from the cell's leader and reports to it. */

static void handle_orders(bh_agent_role_t *role, const bh_msg_t *msg)
{
	bh_usec_t now = bh_runtime_now();

	role->leader_heard_at = now;
	role->leader_entries_at = now;
	if (msg->entries) {
		g_strfreev(role->leader_entries);
		role->leader_entries = g_strdupv(msg->entries);
		role->leader_entries_hash = msg->entries_hash;
	}
	bh_cell_note_leader_orders(bh_leader_cell(role->leader), now);
	bh_taskhost_handle_orders(role->taskhost, msg, now);
}

static void on_leader_msg(void *ctx, bh_conn_t *conn, const bh_msg_t *msg)
{
	bh_agent_role_t *role = ctx;

	if (conn == role->leader_conn && msg->type == BH_MSG_ORDERS)
		handle_orders(role, msg);
}

static void on_leader_closed(void *ctx, bh_conn_t *conn, bool is_refused,
			     const char *error)
{
	bh_agent_role_t *role = ctx;

	(void)is_refused;
	(void)error;
	if (conn == role->leader_conn)
		role->leader_conn = NULL;
}

static const bh_conn_ops_t leader_conn_ops = {
	.msg = on_leader_msg,
	.opened = on_opened,
	.closed = on_leader_closed,
};

static void close_leader_conn(bh_agent_role_t *role)
{
	if (role->leader_conn)
		bh_conn_free(role->leader_conn);
	role->leader_conn = NULL;
}

static uint64_t hash_addresses(char **addresses)
{
	g_autofree char *text = g_strjoinv(",", addresses);
	g_autoptr(GBytes) bytes = g_bytes_new(text, strlen(text));

	return bh_body_checksum(bytes);
}

/* Adds the list of entries unless the member reported its hash. */
static void send_to_member(bh_agent_role_t *role, bh_conn_t *conn,
			   const char *member, const bh_msg_t *orders)
{
	g_auto(GStrv) entries = table_entry_addresses(role);
	const uint64_t *known =
		g_hash_table_lookup(role->member_hashes, member);
	bh_msg_t msg = *orders;

	msg.entries_hash = hash_addresses(entries);
	if (*entries && (!known || *known != msg.entries_hash))
		msg.entries = entries;
	bh_conn_send(conn, &msg);
}

static void leader_send(void *ctx, const char *member, const bh_msg_t *orders)
{
	bh_agent_role_t *role = ctx;
	bh_conn_t *conn;

	if (strcmp(member, role->rt->settings->name) == 0) {
		handle_orders(role, orders);
		return;
	}
	conn = g_hash_table_lookup(role->members, member);
	if (conn)
		send_to_member(role, conn, member, orders);
}

static void leader_found(void *ctx, const char *address)
{
	bh_agent_role_t *role = ctx;

	if (g_strcmp0(role->leader_address, address) == 0)
		return;
	role->reported_at = 0;
	close_leader_conn(role);
	g_free(role->leader_address);
	role->leader_address = g_strdup(address);
}

static const bh_leader_ops_t leader_ops = {
	.send = leader_send,
	.leader_found = leader_found,
};

static bool has_remote_leader(const bh_agent_role_t *role)
{
	return role->leader_address &&
	       strcmp(role->leader_address,
		      role->rt->settings->listen_frames) != 0;
}

/*
 * The leader processes every report in full, so one without changes is sent at
 * a longer interval.
 */
static bool is_report_due(const bh_agent_role_t *role, bh_usec_t now)
{
	return bh_taskhost_changes(role->taskhost) != role->reported_changes ||
	       now - role->reported_at >= idle_report_us(role);
}

static void report_to_leader(bh_agent_role_t *role, const bh_msg_t *msg,
			     bh_usec_t now)
{
	if (now - role->leader_heard_at > leader_timeout_us(role)) {
		close_leader_conn(role);
		role->leader_heard_at = now;
	}
	if (!role->leader_conn)
		role->leader_conn =
			bh_conn_dial(role->rt->base, role->leader_address,
				     &leader_conn_ops, role);
	if (role->leader_conn)
		bh_conn_send(role->leader_conn, msg);
}

static void on_report(evutil_socket_t fd, short what, void *arg)
{
	bh_agent_role_t *role = arg;
	bh_usec_t now = bh_runtime_now();
	bh_msg_t msg = {0};

	(void)fd;
	(void)what;
	if (!role->worker)
		return;
	bh_worker_list(role->worker, now);
	if (!is_leading(role) && !has_remote_leader(role))
		return;
	if (!is_report_due(role, now))
		return;
	role->reported_at = now;
	role->reported_changes = bh_taskhost_changes(role->taskhost);
	if (!bh_taskhost_fill_report(role->taskhost, &msg, now))
		return;
	bh_agent_announcement(role->core, &msg);
	msg.entries_hash = role->leader_entries_hash;
	if (is_leading(role))
		bh_cell_handle_report(bh_leader_cell(role->leader), &msg, now);
	else
		report_to_leader(role, &msg, now);
	bh_msg_clear(&msg);
}

static void on_poll_records(evutil_socket_t fd, short what, void *arg)
{
	bh_agent_role_t *role = arg;

	(void)fd;
	(void)what;
	bh_leader_poll(role->leader);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	bh_agent_role_t *role = arg;
	bh_usec_t now = bh_runtime_now();

	(void)fd;
	(void)what;
	bh_agent_tick(role->core, now);
	if (role->worker)
		bh_leader_tick(role->leader, now);
}

static bool is_drained(const bh_agent_role_t *role)
{
	return bh_agent_is_idle(role->core) &&
	       bh_cell_role(bh_leader_cell(role->leader)) == BH_CELL_FOLLOWER;
}

static void on_drain(evutil_socket_t fd, short what, void *arg)
{
	bh_agent_role_t *role = arg;
	const bh_settings_t *s = role->rt->settings;
	bh_usec_t elapsed = bh_runtime_now() - role->drain_started_at;

	(void)fd;
	(void)what;
	if (elapsed < s->drain_grace_ms * BH_USEC_PER_MS)
		return;
	if (is_drained(role) || elapsed >= s->drain_limit_ms * BH_USEC_PER_MS)
		event_base_loopexit(role->rt->base, NULL);
}

static void pool_free(void *pool)
{
	bh_http_pool_free(pool);
}

static bool open_sockets(bh_agent_role_t *role)
{
	const bh_settings_t *s = role->rt->settings;
	struct sockaddr_storage at;
	int len = sizeof(at);

	role->http =
		bh_http_listen(role->rt, s->listen_http, on_http, role, NULL);
	if (!role->http)
		return false;
	evutil_parse_sockaddr_port(s->listen_frames, (struct sockaddr *)&at,
				   &len);
	role->listener = evconnlistener_new_bind(
		role->rt->base, on_accept, role,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE,
		-1, (struct sockaddr *)&at, len);
	role->udp = bh_udp_open(role->rt->base, s->listen_frames, on_datagram,
				role);
	if (role->listener && role->udp)
		return true;
	bh_log_event(&role->rt->log, BH_LOG_ERROR, "cannot listen", "address",
		     s->listen_frames, NULL);
	return false;
}

static void start_timers(bh_agent_role_t *role)
{
	const bh_settings_t *s = role->rt->settings;

	role->timers[0] = bh_runtime_every(role->rt, TICK_MS, on_tick, role);
	role->timers[1] =
		bh_runtime_every(role->rt, s->announce_ms, on_announce, role);
	role->timers[2] =
		bh_runtime_every(role->rt, s->poll_ms, on_poll_entries, role);
	role->timers[3] =
		bh_runtime_every(role->rt, s->report_ms, on_report, role);
	role->timers[4] =
		bh_runtime_every(role->rt, s->poll_ms, on_poll_records, role);
	event_active(role->timers[2], EV_TIMEOUT, 1);
}

bh_agent_role_t *bh_agent_role_start(bh_runtime_t *rt)
{
	bh_agent_role_t *role = g_new0(bh_agent_role_t, 1);
	const bh_settings_t *s = rt->settings;

	role->rt = rt;
	role->core = bh_agent_new(rt->incarnation, &core_ops, role);
	role->taskhost =
		bh_taskhost_new(s->name, rt->incarnation, &host_ops, role);
	role->table = bh_table_new(rt->base, s->table);
	role->leader = bh_leader_new(rt, role->table, &leader_ops, role);
	if (*s->worker)
		role->worker =
			bh_worker_new(rt->base, s->worker, &worker_ops, role);
	role->conns = g_hash_table_new(NULL, NULL);
	role->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	role->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    pool_free);
	role->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      known_entry_free);
	role->member_hashes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	role->configured_entries = g_strsplit(s->entries, ",", -1);
	if (!open_sockets(role)) {
		bh_agent_role_free(role);
		return NULL;
	}
	start_timers(role);
	bh_log_event(&rt->log, BH_LOG_INFO, "agent started", "frames",
		     s->listen_frames, "zone", s->zone, "cell", s->cell, NULL);
	return role;
}

void bh_agent_role_drain(bh_agent_role_t *role)
{
	if (role->is_draining)
		return;
	role->is_draining = true;
	role->drain_started_at = bh_runtime_now();
	bh_agent_drain(role->core);
	bh_cell_resign(bh_leader_cell(role->leader));
	announce(role);
	role->drain_timer =
		bh_runtime_every(role->rt, DRAIN_CHECK_MS, on_drain, role);
	bh_log_event(&role->rt->log, BH_LOG_INFO, "agent draining", NULL);
}

void bh_agent_role_free(bh_agent_role_t *role)
{
	GHashTableIter iter;
	void *conn;

	for (size_t i = 0; i < G_N_ELEMENTS(role->timers); i++) {
		if (role->timers[i])
			event_free(role->timers[i]);
	}
	if (role->drain_timer)
		event_free(role->drain_timer);
	close_leader_conn(role);
	g_hash_table_iter_init(&iter, role->conns);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		bh_conn_free(conn);
	if (role->http)
		evhttp_free(role->http);
	if (role->listener)
		evconnlistener_free(role->listener);
	bh_udp_close(role->udp);
	g_hash_table_destroy(role->pools);
	bh_worker_free(role->worker);
	bh_leader_free(role->leader);
	bh_table_free(role->table);
	bh_taskhost_free(role->taskhost);
	bh_agent_free(role->core);
	g_hash_table_destroy(role->conns);
	g_hash_table_destroy(role->members);
	g_hash_table_destroy(role->entries);
	g_hash_table_destroy(role->member_hashes);
	g_strfreev(role->leader_entries);
	g_strfreev(role->configured_entries);
	g_free(role->leader_address);
	g_free(role);
}
