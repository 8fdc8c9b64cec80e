/*
 * Stands between an agent and the stand-in for its worker, and passes calls on.
 * POST /late?PARAMETERS: the next calls that match get no answer and are passed
 * on late, to whichever process of the worker then has the address:
 *   count=N     how many
 *   ms=MS       how much later
 *   acking=1    only polls that acknowledge ends; else any poll
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <event2/buffer.h>
#include <string.h>

#define REPLY_MAX_BYTES (8u << 20)
#define TIMEOUT_US	((int64_t)5 * 1000000)
#define POLL_PATH	"/hold"
#define TARGET_HEADER	"X-Target-Instance"

typedef struct late {
	struct event_base *base;
	bh_http_pool_t *worker;
	FILE *log;
	int64_t count;
	int64_t ms;
	bool is_acking;
} late_t;

/**
 * struct passed - a call that is passed on
 * @req: NULL if it gets no answer, or its caller has gone
 */
typedef struct passed {
	late_t *late;
	struct evhttp_request *req;
	char *path;
	char *target;
	GBytes *body;
	int64_t ack;
} passed_t;

static void log_event(const late_t *l, const char *what, const passed_t *p)
{
	fprintf(l->log,
		"%" G_GINT64_FORMAT " %s %s ack-seq=%" G_GINT64_FORMAT " %s\n",
		standin_unix_ms(), what, p->path, p->ack,
		p->target ? p->target : "-");
	fflush(l->log);
}

static void on_gone(struct evhttp_connection *conn, void *arg)
{
	passed_t *p = arg;

	(void)conn;
	p->req = NULL;
}

static void on_answer(void *user, const bh_http_reply_t *answer)
{
	passed_t *p = user;
	struct evbuffer *buf = evbuffer_new();
	struct evhttp_connection *conn =
		p->req ? evhttp_request_get_connection(p->req) : NULL;

	if (answer->body)
		evbuffer_add(buf, g_bytes_get_data(answer->body, NULL),
			     g_bytes_get_size(answer->body));
	if (conn) {
		evhttp_connection_set_closecb(conn, NULL, NULL);
		/* A worker that is down breaks the connection. */
		if (answer->status)
			evhttp_send_reply(p->req, (int)answer->status,
					  "Passed on", buf);
		else
			evhttp_connection_free(conn);
	}
	evbuffer_free(buf);
	g_free(p->path);
	g_free(p->target);
	if (p->body)
		g_bytes_unref(p->body);
	g_free(p);
}

static void pass_on(passed_t *p)
{
	bh_http_call_t call = {
		.method = EVHTTP_REQ_POST,
		.path = p->path,
		.headers = {{"Content-Type", "application/json"}},
		.body = p->body,
		.timeout_us = TIMEOUT_US,
	};

	if (p->target) {
		call.headers[1].name = TARGET_HEADER;
		call.headers[1].value = p->target;
	}
	bh_http_send(p->late->worker, &call, on_answer, p);
}

static void on_due(evutil_socket_t fd, short what, void *arg)
{
	passed_t *p = arg;

	(void)fd;
	(void)what;
	log_event(p->late, "carried-out-late", p);
	pass_on(p);
}

static bool is_late(const late_t *l, const passed_t *p)
{
	return l->count > 0 && strcmp(p->path, POLL_PATH) == 0 &&
	       (!l->is_acking || p->ack > 0);
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	late_t *l = ctx;
	passed_t *p = g_new0(passed_t, 1);
	struct timeval delay = {l->ms / 1000, (l->ms % 1000) * 1000};
	JsonNode *root;

	p->late = l;
	p->path = g_strdup(evhttp_request_get_uri(req));
	p->target = g_strdup(evhttp_find_header(
		evhttp_request_get_input_headers(req), TARGET_HEADER));
	p->body = bh_http_take_body(req);
	root = bh_json_parse_bytes(p->body);
	p->ack = (int64_t)bh_json_number(bh_json_get(root, "ack-seq"));
	bh_json_free(root);
	if (is_late(l, p)) {
		l->count--;
		log_event(l, "unanswered", p);
		event_base_once(l->base, -1, EV_TIMEOUT, on_due, p, &delay);
		return;
	}
	p->req = req;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_gone, p);
	pass_on(p);
}

static void on_rule(struct evhttp_request *req, void *ctx)
{
	late_t *l = ctx;

	l->count = standin_param_int(req, "count", 0);
	l->ms = standin_param_int(req, "ms", 2000);
	l->is_acking = standin_param_int(req, "acking", 0);
	standin_reply(req, 200, json_object_new());
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/late*", on_rule},
		{EVHTTP_REQ_POST, "/*", on_call},
	};
	late_t l = {.base = standin_precise_base()};

	if (argc == 4)
		l.worker = bh_http_pool_new(l.base, argv[2], REPLY_MAX_BYTES);
	if (!l.worker) {
		fprintf(stderr, "usage: late IP:PORT WORKER-IP:PORT LOG\n");
		return 2;
	}
	l.log = fopen(argv[3], "ae");
	if (!l.log ||
	    !standin_serve(l.base, argv[1], routes, G_N_ELEMENTS(routes), &l))
		return 1;
	return event_base_dispatch(l.base) < 0;
}
