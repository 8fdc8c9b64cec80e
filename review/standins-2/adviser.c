/*
 * Stand-in for the platform's adviser. It handles one call at a time for each
 * calling machine, in the order of their arrival, and each takes decision-ms
 * and per-worker-ms for each worker named. With 32 calls waiting it answers
 * 429. All workers may run all steps. Options are NAME=VALUE: listen,
 * decision-ms, per-worker-ms, valid-ms, log, skips-closed (1: a call whose
 * connection was closed while it waited is dropped).
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <stdlib.h>
#include <string.h>

#define WAITING_MAX 32

typedef struct adviser adviser_t;

/**
 * struct call - a call that waits or is being handled
 * @req: NULL once its caller has closed the connection
 */
typedef struct call {
	adviser_t *adviser;
	struct evhttp_request *req;
	JsonNode *body;
	int64_t arrived_us;
} call_t;

struct adviser {
	struct event_base *base;
	struct event *done;
	GQueue calls;
	bool is_busy;
	bool skips_closed;
	int64_t decision_ms;
	int64_t per_worker_ms;
	int64_t valid_ms;
	FILE *log;
};

static const char *phase_of(const call_t *c)
{
	const char *phase = bh_json_text(bh_json_get(c->body, "phase"));

	return phase ? phase : "-";
}

static void record(const call_t *c, const char *what)
{
	fprintf(c->adviser->log,
		"%" G_GINT64_FORMAT " advise-%s %s %" G_GINT64_FORMAT
		" adviser\n",
		standin_unix_ms(), what, phase_of(c),
		(standin_now_us() - c->arrived_us) / 1000);
	fflush(c->adviser->log);
}

static void call_free(call_t *c)
{
	bh_json_free(c->body);
	g_free(c);
}

static void begin_next(adviser_t *a)
{
	call_t *c;
	size_t n;
	int64_t ms;
	struct timeval tv;

	if (a->is_busy)
		return;
	while ((c = g_queue_peek_head(&a->calls)) != NULL && !c->req &&
	       a->skips_closed) {
		record(c, "skipped");
		call_free(g_queue_pop_head(&a->calls));
	}
	if (!c)
		return;
	n = bh_json_size(bh_json_get(c->body, "workers"));
	ms = a->decision_ms + a->per_worker_ms * (int64_t)n;
	tv = (struct timeval){ms / 1000, (ms % 1000) * 1000};
	a->is_busy = true;
	event_add(a->done, &tv);
}

static void answer(const call_t *c)
{
	const adviser_t *a = c->adviser;
	JsonNode *workers = bh_json_get(c->body, "workers");
	JsonObject *out = json_object_new();
	JsonArray *approved = json_array_new();

	for (size_t i = 0; i < bh_json_size(workers); i++) {
		const char *id = bh_json_text(bh_json_at(workers, i));
		g_autofree char *ticket = g_strdup_printf(
			"%s/%s/%" G_GINT64_FORMAT, phase_of(c), id ? id : "",
			standin_unix_ms() + a->valid_ms);
		JsonArray *row = json_array_new();

		json_array_add_string_element(row, id ? id : "");
		json_array_add_string_element(row, ticket);
		json_array_add_array_element(approved, row);
	}
	json_object_set_array_member(out, "approved", approved);
	json_object_set_int_member(out, "valid-ms", a->valid_ms);
	standin_reply(c->req, 200, out);
}

static void on_done(evutil_socket_t fd, short what, void *arg)
{
	adviser_t *a = arg;
	call_t *c = g_queue_pop_head(&a->calls);

	(void)fd;
	(void)what;
	a->is_busy = false;
	if (c->req) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(c->req), NULL, NULL);
		answer(c);
	}
	record(c, c->req ? "answered" : "unheard");
	call_free(c);
	begin_next(a);
}

static void on_gone(struct evhttp_connection *conn, void *arg)
{
	call_t *c = arg;

	(void)conn;
	c->req = NULL;
}

static void on_advise(struct evhttp_request *req, void *ctx)
{
	adviser_t *a = ctx;
	GBytes *bytes = bh_http_take_body(req);
	call_t *c = g_new0(call_t, 1);

	c->adviser = a;
	c->req = req;
	c->body = bh_json_parse_bytes(bytes);
	c->arrived_us = standin_now_us();
	g_bytes_unref(bytes);
	if (g_queue_get_length(&a->calls) > WAITING_MAX) {
		record(c, "refused");
		standin_reply(req, 429, json_object_new());
		call_free(c);
		return;
	}
	record(c, "called");
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_gone, c);
	g_queue_push_tail(&a->calls, c);
	begin_next(a);
}

/* Return: the value of the option, or @fallback. */
static const char *option(int argc, char **argv, const char *name,
			  const char *fallback)
{
	size_t len = strlen(name);

	for (int i = 1; i < argc; i++) {
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	}
	return fallback;
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/advise", on_advise},
	};
	adviser_t a = {
		.base = standin_precise_base(),
		.decision_ms = atoll(option(argc, argv, "decision-ms", "100")),
		.per_worker_ms =
			atoll(option(argc, argv, "per-worker-ms", "10")),
		.valid_ms = atoll(option(argc, argv, "valid-ms", "3000")),
		.skips_closed =
			atoi(option(argc, argv, "skips-closed", "0")) != 0,
		.log = fopen(option(argc, argv, "log", "/dev/null"), "ae"),
	};

	g_queue_init(&a.calls);
	a.done = event_new(a.base, -1, 0, on_done, &a);
	if (!a.log || !standin_serve(a.base, option(argc, argv, "listen", ""),
				     routes, G_N_ELEMENTS(routes), &a)) {
		fprintf(stderr, "adviser: cannot use its options\n");
		return 2;
	}
	return event_base_dispatch(a.base) < 0;
}
