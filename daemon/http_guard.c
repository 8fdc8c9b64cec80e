#include "daemon/http_guard.h"
#include "daemon/metrics.h"
#include "sched/intake.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <malloc.h>
#include <netinet/in.h>
#include <stdint.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define SWEEP_MS	 100
#define LOG_INTERVAL_US	 BH_USEC_PER_SEC
#define PAUSE_MIN_US	 BH_USEC_PER_SEC
#define MEGABYTE	 ((uint64_t)1 << 20)
#define RESPONSE_SIZE	 256
#define TRIM_INTERVAL_US (2 * BH_USEC_PER_SEC)

/* Memory is returned to the operating system after this much was held, and once
 * less than the second is left. Bodies of normal load stay far below. */
#define TRIM_HELD_BYTES (8 * MEGABYTE)
#define TRIM_LEFT_BYTES (4 * MEGABYTE)

/* Largest sum of the size lines and line ends of a body's chunks, in multiples
 * of the largest body. They are held in memory with the body; chunks of 6 bytes
 * or more without extensions stay within it. */
#define FRAMING_SHARE 1

/* A check of the limits on memory looks at every connection. Above half of the
 * budget, one is due after this part of an address's share has been added, and
 * with each sweep. */
#define CHECK_DIVISOR 64

/* Input of a connection beyond the request that is being handled; reading stops
 * there until the response has been sent. */
#define REST_MAX 16384

/* Passed to libevent as the least number of bytes that it is told of, so that
 * it sees none of an incomplete request. */
#define NEVER_READ SIZE_MAX

typedef struct bh_http_guard guard_t;

/**
 * struct server - a listener
 * @listener: NULL once it is closed
 * @is_paused: it accepts nothing until connections have been closed
 */
typedef struct server {
	SLIST_ENTRY(server) link;
	guard_t *guard;
	struct evconnlistener *listener;
	uint32_t group;
	bool is_paused;
	bh_http_check_t check;
	void *arg;
} server_t;

/**
 * struct conn - a connection
 * @base: must be the first member
 * @bev: a reference of our own; libevent may have freed it, see is_gone()
 * @rest: what arrived after the request that is being handled
 * @scanned: bytes of the input that belong to the current request; once it has
 *           been passed on, bytes held for it
 * @is_feeding: our own change of the input
 * @is_due: @rest is to be scanned
 */
typedef struct conn {
	bh_intake_conn_t base;
	server_t *server;
	struct bufferevent *bev;
	struct evbuffer *rest;
	bh_http_scan_t scan;
	size_t scanned;
	bool has_address;
	bool is_feeding;
	bool is_due;
} conn_t;

/**
 * struct bh_http_guard - the guard of a process
 * @work: runs after the callbacks of connections, in the same round of the
 * event loop: connections are closed there only
 * @swept_at: later by PAUSE_MIN_US: the process was paused, and what clients
 *            have sent meanwhile may be unread yet
 * @by_bev: connections by bufferevent
 * @checked: bytes held when the limits on memory were last checked, or fewer
 * @peak: most bytes held since memory was last returned
 * @passed: bytes passed on since then
 * @logged: refusals by cause that have been logged
 */
struct bh_http_guard {
	bh_runtime_t *rt;
	bh_intake_t in;
	bh_http_limits_t limits;
	SLIST_HEAD(, server) servers;
	GHashTable *by_bev;
	uint32_t n_groups;
	struct event *work;
	struct event *sweep;
	bh_usec_t swept_at;
	uint64_t checked;
	uint64_t peak;
	uint64_t passed;
	bh_usec_t trimmed_at;
	bh_usec_t logged_at;
	uint64_t logged[BH_INTAKE_CAUSES];
};

/* libevent clears the callbacks of a bufferevent that it frees. */
static bool is_gone(const conn_t *conn)
{
	bufferevent_data_cb read_cb = NULL;
	bufferevent_event_cb event_cb = NULL;

	bufferevent_getcb(conn->bev, &read_cb, NULL, &event_cb, NULL);
	return !read_cb && !event_cb;
}

static void schedule(guard_t *g)
{
	event_active(g->work, EV_TIMEOUT, 0);
}

static void account(conn_t *conn)
{
	guard_t *g = conn->server->guard;
	size_t bytes = evbuffer_get_length(bufferevent_get_output(conn->bev)) +
		       evbuffer_get_length(conn->rest);

	/* Its bytes are in libevent's request until the response is sent. */
	if (conn->base.state == BH_CONN_PASSED ||
	    conn->base.state == BH_CONN_WRITING)
		bytes += conn->scanned;
	if (conn->base.state != BH_CONN_PASSED)
		bytes += evbuffer_get_length(bufferevent_get_input(conn->bev));
	if (conn->base.state != BH_CONN_CLOSING)
		bh_intake_set_bytes(&g->in, &conn->base, bytes);
	g->peak = MAX(g->peak, g->in.bytes);
	g->checked = MIN(g->checked, g->in.bytes);
	if (bh_intake_is_over(&g->in) &&
	    g->in.bytes - g->checked >
		    g->in.limits.address_bytes / CHECK_DIVISOR)
		schedule(g);
}

static const char *reason(int status)
{
	switch (status) {
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 411:
		return "Length Required";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 503:
		return "Service Unavailable";
	default:
		return "Bad Request";
	}
}

/* Best effort: nothing else is being written, and the socket has room for it
 * unless the client reads nothing. */
static void send_now(conn_t *conn, const char *text)
{
	evutil_socket_t fd = bufferevent_getfd(conn->bev);

	if (fd < 0 ||
	    send(fd, text, strlen(text), MSG_DONTWAIT | MSG_NOSIGNAL) < 0)
		return;
}

static void send_refusal(conn_t *conn, int status)
{
	char text[RESPONSE_SIZE];
	char body[64];

	g_snprintf(body, sizeof(body), "{\"error\":\"%s\"}", reason(status));
	g_snprintf(text, sizeof(text),
		   "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		   "Content-Length: %zu\r\n%sConnection: close\r\n\r\n%s",
		   status, reason(status), strlen(body),
		   status == 429 || status == 503 ? "Retry-After: 1\r\n" : "",
		   body);
	send_now(conn, text);
}

/* What arrives from now on is discarded: closing at once would reset the
 * connection and could destroy the response before the client has read it. */
static void refuse(conn_t *conn, int status, bh_usec_t now)
{
	guard_t *g = conn->server->guard;
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	bh_intake_cause_t cause = status == 431	  ? BH_INTAKE_HEAD_LIMIT
				  : status == 400 ? BH_INTAKE_MALFORMED
						  : BH_INTAKE_BODY_LIMIT;

	g->in.causes[cause]++;
	send_refusal(conn, status);
	if (bufferevent_getfd(conn->bev) >= 0)
		shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
	bh_intake_set_state(&conn->base, BH_CONN_REFUSED, now);
	evbuffer_drain(in, evbuffer_get_length(in));
}

static bool is_body_refused(conn_t *conn, bh_usec_t now)
{
	server_t *server = conn->server;
	int status;

	if (!bh_http_scan_has_body(&conn->scan))
		return false;
	status = server->check ? server->check(server->arg, &conn->scan) : 0;
	if (status) {
		refuse(conn, status, now);
		return true;
	}
	/* libevent sends it only where no byte of the body has arrived. */
	if (conn->scan.expects_continue && conn->scan.part != BH_HTTP_DONE)
		send_now(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	return false;
}

/* Bounds what is read until @rest is scanned. libevent reads while it writes a
 * response. At the bound one more byte is read for each response, which is less
 * than the request that it answers, so that @rest does not grow further. */
static void limit_rest(conn_t *conn, size_t low)
{
	size_t n = evbuffer_get_length(conn->rest);

	bufferevent_setwatermark(conn->bev, EV_READ, low,
				 n < REST_MAX ? REST_MAX - n : 1);
}

/* Copies what arrived, since each read has a buffer of its own, however small.
 */
static void keep_rest(conn_t *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	size_t n = evbuffer_get_length(in);

	if (n > 0)
		evbuffer_add(conn->rest, evbuffer_pullup(in, -1), n);
	evbuffer_drain(in, n);
}

/* Leaves the complete request in the input for libevent and takes off what
 * follows. */
static void pass_on(conn_t *conn, bh_usec_t now)
{
	guard_t *g = conn->server->guard;
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	if (evbuffer_get_length(in) > conn->scanned) {
		struct evbuffer *request = evbuffer_new();

		evbuffer_remove_buffer(in, request, conn->scanned);
		evbuffer_add_buffer(conn->rest, in);
		evbuffer_add_buffer(in, request);
		evbuffer_free(request);
	}
	g->passed += conn->scanned;
	bh_intake_set_state(&conn->base, BH_CONN_PASSED, now);
	limit_rest(conn, 0);
}

/* Scans the bytes of the input after the first @scanned ones. */
static void scan_input(conn_t *conn, bh_usec_t now)
{
	guard_t *g = conn->server->guard;
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	struct evbuffer_ptr at;
	struct evbuffer_iovec piece;
	bool was_head_done;

	while (conn->scan.part < BH_HTTP_DONE &&
	       evbuffer_get_length(in) > conn->scanned) {
		was_head_done = conn->scan.is_head_done;
		evbuffer_ptr_set(in, &at, conn->scanned, EVBUFFER_PTR_SET);
		evbuffer_peek(in, -1, &at, &piece, 1);
		conn->scanned += bh_http_scan_feed(
			&conn->scan, &g->limits, piece.iov_base, piece.iov_len);
		if (conn->scan.is_head_done && !was_head_done &&
		    conn->scan.part != BH_HTTP_REFUSED &&
		    is_body_refused(conn, now))
			return;
	}
	if (conn->scan.part == BH_HTTP_REFUSED)
		refuse(conn, conn->scan.status, now);
	else if (conn->scan.part == BH_HTTP_DONE)
		pass_on(conn, now);
	else
		bh_intake_set_state(&conn->base,
				    conn->scan.is_head_done ? BH_CONN_BODY
							    : BH_CONN_HEAD,
				    now);
}

static void read_address(conn_t *conn)
{
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);

	conn->has_address = true;
	if (getpeername(bufferevent_getfd(conn->bev), (struct sockaddr *)&from,
			&len) == 0)
		conn->base.address = ntohl(from.sin_addr.s_addr);
}

static void take_input(conn_t *conn, size_t added)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	bh_usec_t now = bh_runtime_now();

	conn->is_feeding = true;
	if (!conn->has_address)
		read_address(conn);
	switch (conn->base.state) {
	case BH_CONN_CLOSING:
	case BH_CONN_REFUSED:
		evbuffer_drain(in, evbuffer_get_length(in));
		break;
	case BH_CONN_PASSED:
	case BH_CONN_WRITING:
		/* Left in the input until end_response(). */
		break;
	default:
		if (conn->is_due) {
			/* It follows what is to be scanned first. */
			keep_rest(conn);
			limit_rest(conn, NEVER_READ);
			break;
		}
		scan_input(conn, now);
		bh_intake_progress(&conn->base, added, now);
		break;
	}
	account(conn);
	conn->is_feeding = false;
}

static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info,
		     void *arg)
{
	conn_t *conn = arg;

	(void)in;
	if (conn->is_feeding || info->n_added == 0 || is_gone(conn))
		return;
	take_input(conn, info->n_added);
}

/* The response is sent: libevent reads the next request from now on, and parses
 * what is in the input regardless of the watermark. */
static void end_response(conn_t *conn, bh_usec_t now)
{
	conn->is_feeding = true;
	keep_rest(conn);
	conn->is_feeding = false;
	bh_intake_set_state(&conn->base, BH_CONN_IDLE, now);
	bh_http_scan_reset(&conn->scan);
	conn->scanned = 0;
	conn->is_due = evbuffer_get_length(conn->rest) > 0;
	if (conn->is_due)
		limit_rest(conn, NEVER_READ);
	else
		bufferevent_setwatermark(conn->bev, EV_READ, NEVER_READ, 0);
	/* Also releases the connection if libevent is about to free it. */
	schedule(conn->server->guard);
}

static void on_output(struct evbuffer *out, const struct evbuffer_cb_info *info,
		      void *arg)
{
	conn_t *conn = arg;
	bh_usec_t now = bh_runtime_now();

	if (is_gone(conn))
		return;
	if (conn->base.state == BH_CONN_PASSED && info->n_added)
		bh_intake_set_state(&conn->base, BH_CONN_WRITING, now);
	if (conn->base.state == BH_CONN_WRITING && info->n_deleted) {
		bh_intake_progress(&conn->base, 0, now);
		if (evbuffer_get_length(out) == 0)
			end_response(conn, now);
	}
	account(conn);
}

/* Gives libevent's input what has arrived during the last request. */
static void feed_rest(conn_t *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	size_t n = evbuffer_get_length(conn->rest);

	conn->is_due = false;
	if (conn->base.state != BH_CONN_IDLE)
		return;
	conn->is_feeding = true;
	bufferevent_setwatermark(conn->bev, EV_READ, NEVER_READ, 0);
	evbuffer_unfreeze(in, 0);
	evbuffer_add_buffer(in, conn->rest);
	take_input(conn, n);
	evbuffer_freeze(in, 0);
	if (conn->base.state == BH_CONN_PASSED)
		bufferevent_trigger(conn->bev, EV_READ, 0);
}

static void conn_free(conn_t *conn)
{
	bh_intake_remove(&conn->server->guard->in, &conn->base);
	evbuffer_remove_cb(bufferevent_get_input(conn->bev), on_input, conn);
	evbuffer_remove_cb(bufferevent_get_output(conn->bev), on_output, conn);
	g_hash_table_remove(conn->server->guard->by_bev, conn->bev);
	bufferevent_decref(conn->bev);
	evbuffer_free(conn->rest);
	g_free(conn);
}

/* libevent closes the connection of a request that it has not passed on,
 * without a call of the handler. */
static void close_conn(conn_t *conn)
{
	bufferevent_trigger_event(conn->bev,
				  BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

static void close_victims(guard_t *g, bh_usec_t now)
{
	bh_intake_cause_t cause;
	bh_intake_conn_t *victim;

	while ((victim = bh_intake_next_victim(&g->in, now, &cause))) {
		conn_t *conn = (conn_t *)victim;
		bool has_output =
			evbuffer_get_length(bufferevent_get_output(conn->bev));

		if (is_gone(conn)) {
			conn_free(conn);
			continue;
		}
		if (bh_intake_status(cause) && !has_output)
			send_refusal(conn, bh_intake_status(cause));
		close_conn(conn);
		conn_free(conn);
	}
}

static void resume_servers(guard_t *g)
{
	server_t *server;

	SLIST_FOREACH(server, &g->servers, link)
	{
		if (server->is_paused && server->listener)
			evconnlistener_enable(server->listener);
		server->is_paused = false;
	}
}

static void on_work(evutil_socket_t fd, short what, void *arg)
{
	guard_t *g = arg;
	bh_intake_conn_t *base;
	bh_intake_conn_t *next;

	(void)fd;
	(void)what;
	for (base = TAILQ_FIRST(&g->in.conns); base; base = next) {
		conn_t *conn = (conn_t *)base;

		next = TAILQ_NEXT(base, link);
		if (is_gone(conn))
			conn_free(conn);
		else if (conn->is_due)
			feed_rest(conn);
	}
	close_victims(g, bh_runtime_now());
	g->checked = g->in.bytes;
	resume_servers(g);
}

static void close_overdue(guard_t *g, bh_usec_t now)
{
	bh_intake_conn_t *base;
	bh_intake_conn_t *next;

	for (base = TAILQ_FIRST(&g->in.conns); base; base = next) {
		conn_t *conn = (conn_t *)base;
		bh_intake_cause_t cause = bh_intake_overdue(&g->in, base, now);

		next = TAILQ_NEXT(base, link);
		if (is_gone(conn)) {
			conn_free(conn);
		} else if (cause) {
			g->in.causes[cause]++;
			if (base->state != BH_CONN_WRITING &&
			    bh_intake_status(cause))
				send_refusal(conn, bh_intake_status(cause));
			close_conn(conn);
			conn_free(conn);
		}
	}
}

static void log_refusals(guard_t *g, bh_usec_t now)
{
	g_autoptr(GString) text = NULL;

	if (now - g->logged_at < LOG_INTERVAL_US ||
	    memcmp(g->logged, g->in.causes, sizeof(g->logged)) == 0)
		return;
	text = g_string_new(NULL);
	for (int i = 0; i < BH_INTAKE_CAUSES; i++) {
		uint64_t n = g->in.causes[i] - g->logged[i];

		if (n)
			g_string_append_printf(
				text, "%s%s=%" G_GUINT64_FORMAT,
				text->len ? " " : "",
				bh_intake_cause_name((bh_intake_cause_t)i), n);
	}
	memcpy(g->logged, g->in.causes, sizeof(g->logged));
	g->logged_at = now;
	bh_log_event(&g->rt->log, BH_LOG_WARN, "clients refused", "causes",
		     text->str, NULL);
}

/* The allocator keeps freed blocks, which the next process on this host lacks.
 */
static void return_memory(guard_t *g, bh_usec_t now)
{
	if (MAX(g->peak, g->passed) < TRIM_HELD_BYTES ||
	    g->in.bytes > TRIM_LEFT_BYTES ||
	    now - g->trimmed_at < TRIM_INTERVAL_US)
		return;
	malloc_trim(0);
	g->trimmed_at = now;
	g->peak = g->in.bytes;
	g->passed = 0;
}

static void on_sweep(evutil_socket_t fd, short what, void *arg)
{
	guard_t *g = arg;
	bh_usec_t now = bh_runtime_now();

	(void)fd;
	(void)what;
	if (now - g->swept_at >= PAUSE_MIN_US)
		bh_intake_skip_pause(&g->in, now - g->swept_at);
	g->swept_at = now;
	close_overdue(g, now);
	if (bh_intake_is_over(&g->in))
		schedule(g);
	log_refusals(g, now);
	return_memory(g, now);
}

static struct bufferevent *on_accept(struct event_base *base, void *arg)
{
	server_t *server = arg;
	guard_t *g = server->guard;
	/* Otherwise libevent would close the socket while our reference keeps
	 * its events: the next connection with the same descriptor would miss
	 * some of its own. */
	struct bufferevent *bev =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	conn_t *conn = g_new0(conn_t, 1);

	conn->server = server;
	conn->bev = bev;
	conn->rest = evbuffer_new();
	bh_http_scan_reset(&conn->scan);
	bufferevent_incref(bev);
	g_hash_table_insert(g->by_bev, bev, conn);
	bufferevent_setwatermark(bev, EV_READ, NEVER_READ, 0);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, conn);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
	bh_intake_add(&g->in, &conn->base, server->group, bh_runtime_now());
	if (bh_intake_is_crowded(&g->in)) {
		/* The others that wait are accepted after some are closed. */
		server->is_paused = true;
		evconnlistener_disable(server->listener);
		schedule(g);
	}
	return bev;
}

/* Descriptors that the process may open. */
static uint64_t fd_limit(const bh_settings_t *set)
{
	struct rlimit limit;
	uint64_t n = (uint64_t)set->max_fds;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
		n = MIN(n, limit.rlim_cur);
	return n;
}

static guard_t *guard_new(bh_runtime_t *rt)
{
	const bh_settings_t *set = rt->settings;
	guard_t *g = g_new0(guard_t, 1);
	bh_intake_limits_t limits = {
		.head_us = set->header_timeout_ms * BH_USEC_PER_MS,
		.total_us = set->http_timeout_ms * BH_USEC_PER_MS,
		.stall_us = set->stall_timeout_ms * BH_USEC_PER_MS,
		.min_rate = (uint64_t)set->min_body_rate,
	};

	g->rt = rt;
	g->limits.head_bytes = (size_t)set->max_header_bytes;
	g->limits.fields = (uint32_t)set->max_header_fields;
	g->limits.body_bytes = (uint64_t)set->max_body_bytes;
	g->limits.framing_bytes = (uint64_t)set->max_body_bytes * FRAMING_SHARE;
	bh_intake_limits_init(&limits, (uint64_t)set->memory_mb * MEGABYTE,
			      fd_limit(set), g->limits.body_bytes);
	bh_intake_init(&g->in, &limits);
	SLIST_INIT(&g->servers);
	g->by_bev = g_hash_table_new(g_direct_hash, g_direct_equal);
	g->swept_at = bh_runtime_now();
	g->work = event_new(rt->base, -1, 0, on_work, g);
	g->sweep = bh_runtime_every(rt, SWEEP_MS, on_sweep, g);
	return g;
}

void bh_http_guard_attach(bh_runtime_t *rt, struct evhttp *http,
			  struct evhttp_bound_socket *socket, bool is_small,
			  bh_http_check_t check, void *arg)
{
	server_t *server = g_new0(server_t, 1);

	if (!rt->guard)
		rt->guard = guard_new(rt);
	server->guard = rt->guard;
	server->listener = evhttp_bound_socket_get_listener(socket);
	server->group = is_small ? ++rt->guard->n_groups : 0;
	server->check = check;
	server->arg = arg;
	SLIST_INSERT_HEAD(&rt->guard->servers, server, link);
	evhttp_set_bevcb(http, on_accept, server);
}

void bh_http_guard_detach(bh_runtime_t *rt, struct evhttp_bound_socket *socket)
{
	server_t *server;

	SLIST_FOREACH(server, &rt->guard->servers, link)
	{
		if (server->listener ==
		    evhttp_bound_socket_get_listener(socket))
			server->listener = NULL;
	}
}

void bh_http_guard_set_held(bh_runtime_t *rt, struct evhttp_request *req,
			    size_t bytes)
{
	struct evhttp_connection *from = evhttp_request_get_connection(req);
	conn_t *conn = from ? g_hash_table_lookup(
				      rt->guard->by_bev,
				      evhttp_connection_get_bufferevent(from))
			    : NULL;

	if (!conn || conn->base.state != BH_CONN_PASSED)
		return;
	conn->scanned = conn->scan.head + bytes;
	account(conn);
}

void bh_http_guard_metrics(const bh_runtime_t *rt, GString *out)
{
	const guard_t *g = rt->guard;
	const bh_intake_conn_t *conn;
	uint32_t states[BH_CONN_STATES] = {0};

	if (!g)
		return;
	TAILQ_FOREACH(conn, &g->in.conns, link)
		states[conn->state]++;
	bh_metrics_value(out, "boragehold_http_bytes_held", NULL,
			 (double)g->in.bytes);
	bh_metrics_value(out, "boragehold_http_budget_bytes", NULL,
			 (double)g->in.limits.budget_bytes);
	for (int i = BH_INTAKE_NONE + 1; i < BH_INTAKE_CAUSES; i++) {
		g_autofree char *label = g_strdup_printf(
			"cause=\"%s\"",
			bh_intake_cause_name((bh_intake_cause_t)i));

		bh_metrics_value(out, "boragehold_http_refusals_total", label,
				 (double)g->in.causes[i]);
	}
	for (int i = 0; i < BH_CONN_CLOSING; i++) {
		g_autofree char *label = g_strdup_printf(
			"state=\"%s\"", bh_conn_state_name((bh_conn_state_t)i));

		bh_metrics_value(out, "boragehold_http_connections", label,
				 states[i]);
	}
}

void bh_http_guard_free(bh_runtime_t *rt)
{
	guard_t *g = rt->guard;
	server_t *server;
	bh_intake_conn_t *base;

	if (!g)
		return;
	while ((base = TAILQ_FIRST(&g->in.conns)))
		conn_free((conn_t *)base);
	while ((server = SLIST_FIRST(&g->servers))) {
		SLIST_REMOVE_HEAD(&g->servers, link);
		g_free(server);
	}
	g_hash_table_unref(g->by_bev);
	event_free(g->work);
	event_free(g->sweep);
	g_free(g);
	rt->guard = NULL;
}
