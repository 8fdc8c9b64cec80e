/*
 * Stands between one process and the stand-in for the store. It answers as late
 * as a store in another availability zone does, and disrupts what it passes on:
 * POST /gate?PARAMETERS, until it is called again:
 *   late=MS     transactions in the leader's part get no answer and are carried
 *               out MS later; 0: not
 *   refused=P   calls on the parts that P names, one character each, and feeds
 *               of tables that have parts, are answered with 503
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#define REPLY_MAX_BYTES (8u << 20)

/* Longer than the store holds a feed. */
#define TIMEOUT_US ((int64_t)40 * 1000000)

typedef struct gate {
	struct event_base *base;
	bh_http_pool_t *store;
	int64_t answer_ms;
	int64_t late_ms;
	char *refused;
	uint64_t writes;
	uint64_t unanswered;
} gate_t;

/**
 * struct passed - a call that is passed on
 * @req: NULL if it gets no answer, or its caller has gone
 */
typedef struct passed {
	gate_t *gate;
	struct evhttp_request *req;
	char *path;
	GBytes *body;
	int status;
	struct evbuffer *answer;
} passed_t;

static void passed_free(passed_t *p)
{
	g_free(p->path);
	if (p->body)
		g_bytes_unref(p->body);
	if (p->answer)
		evbuffer_free(p->answer);
	g_free(p);
}

static void call_later(gate_t *g, int64_t ms, event_callback_fn cb, void *arg)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_base_once(g->base, -1, EV_TIMEOUT, cb, arg, &tv);
}

static void on_gone(struct evhttp_connection *conn, void *arg)
{
	passed_t *p = arg;

	(void)conn;
	p->req = NULL;
}

static void on_answer_due(evutil_socket_t fd, short what, void *arg)
{
	passed_t *p = arg;

	(void)fd;
	(void)what;
	if (p->req) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(p->req), NULL, NULL);
		evhttp_send_reply(p->req, p->status, "Passed on", p->answer);
	}
	passed_free(p);
}

static void on_answer(void *user, const bh_http_reply_t *answer)
{
	passed_t *p = user;

	p->status = answer->status ? (int)answer->status : 503;
	p->answer = evbuffer_new();
	if (answer->body)
		evbuffer_add(p->answer, g_bytes_get_data(answer->body, NULL),
			     g_bytes_get_size(answer->body));
	call_later(p->gate, p->gate->answer_ms, on_answer_due, p);
}

static void pass_on(passed_t *p, enum evhttp_cmd_type method)
{
	bh_http_call_t call = {
		.method = method,
		.path = p->path,
		.headers = {{"Content-Type", "application/json"}},
		.body = p->body,
		.timeout_us = TIMEOUT_US,
	};

	bh_http_send(p->gate->store, &call, on_answer, p);
}

static void on_late_due(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pass_on(arg, EVHTTP_REQ_POST);
}

/* The part of a transaction's rows, which is one for all of them. */
static char *transaction_part(GBytes *body)
{
	static const char *const lists[] = {"expected-rev", "puts", "remove"};
	JsonNode *root = bh_json_parse_bytes(body);
	char *part = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(lists) && !part; i++) {
		JsonNode *list = bh_json_get(root, lists[i]);

		part = g_strdup(
			bh_json_text(bh_json_get(bh_json_at(list, 0), "part")));
	}
	bh_json_free(root);
	return part;
}

static bool is_refused(const gate_t *g, const char *path, const char *part)
{
	if (!*g->refused)
		return false;
	if (g_str_has_prefix(path, "/rows-feed?table=jobs"))
		return true;
	return part && *part && strchr(g->refused, *part);
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	gate_t *g = ctx;
	const char *path = evhttp_request_get_uri(req);
	bool is_write = strcmp(path, "/rows-tx") == 0;
	passed_t *p = g_new0(passed_t, 1);
	g_autofree char *part = NULL;

	p->gate = g;
	p->path = g_strdup(path);
	p->body = bh_http_take_body(req);
	part = is_write ? transaction_part(p->body)
			: standin_param(req, "part", NULL);
	g->writes += is_write;
	if (is_refused(g, path, part)) {
		standin_reply(req, 503, json_object_new());
		passed_free(p);
		return;
	}
	if (is_write && g->late_ms && part && !*part) {
		g->unanswered++;
		call_later(g, g->late_ms, on_late_due, p);
		return;
	}
	p->req = req;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_gone, p);
	pass_on(p, evhttp_request_get_command(req));
}

static void on_gate(struct evhttp_request *req, void *ctx)
{
	gate_t *g = ctx;
	JsonObject *out = json_object_new();

	g->late_ms = standin_param_int(req, "late", 0);
	g_free(g->refused);
	g->refused = standin_param(req, "refused", "");
	json_object_set_int_member(out, "writes", (gint64)g->writes);
	json_object_set_int_member(out, "unanswered", (gint64)g->unanswered);
	standin_reply(req, 200, out);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/gate", on_gate},
		{EVHTTP_REQ_POST, "/*", on_call},
		{EVHTTP_REQ_GET, "/*", on_call},
	};
	gate_t g = {.base = standin_precise_base(), .refused = g_strdup("")};

	if (argc == 4)
		g.store = bh_http_pool_new(g.base, argv[2], REPLY_MAX_BYTES);
	if (!g.store) {
		fprintf(stderr, "usage: gate IP:PORT STORE-IP:PORT "
				"ANSWER-MS\n");
		return 2;
	}
	g.answer_ms = strtoll(argv[3], NULL, 10);
	if (!standin_serve(g.base, argv[1], routes, G_N_ELEMENTS(routes), &g))
		return 1;
	return event_base_dispatch(g.base) < 0;
}
