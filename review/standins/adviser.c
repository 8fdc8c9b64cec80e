/*
 * Stand-in for the adviser: approves the workers whose ids are named at its
 * start, one call at a time. Tickets are PHASE/WORKER/END, see worker.c.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <string.h>

#define DECISION_MS   50
#define PER_WORKER_MS 2
#define VALID_MS      3000

typedef struct adviser {
	struct event_base *base;
	const char *const *approved;
	FILE *log;
	int64_t busy_until_us;
} adviser_t;

typedef struct call {
	adviser_t *adviser;
	struct evhttp_request *req;
	JsonObject *answer;
} call_t;

static void on_due(evutil_socket_t fd, short what, void *arg)
{
	call_t *c = arg;

	(void)fd;
	(void)what;
	if (c->req) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(c->req), NULL, NULL);
		standin_reply(c->req, 200, c->answer);
	} else {
		json_object_unref(c->answer);
	}
	g_free(c);
}

static void on_gone(struct evhttp_connection *conn, void *arg)
{
	call_t *c = arg;

	(void)conn;
	c->req = NULL;
}

static JsonObject *decide(const adviser_t *a, JsonNode *body, size_t *n)
{
	const char *phase = bh_json_text(bh_json_get(body, "phase"));
	JsonNode *workers = bh_json_get(body, "workers");
	JsonArray *rows = json_array_new();
	JsonObject *out = json_object_new();
	int64_t end = standin_unix_ms() + VALID_MS;

	*n = bh_json_size(workers);
	for (size_t i = 0; i < *n; i++) {
		const char *id = bh_json_text(bh_json_at(workers, i));
		g_autofree char *ticket = NULL;
		JsonArray *row;

		if (!id || !g_strv_contains(a->approved, id))
			continue;
		ticket = g_strdup_printf("%s/%s/%" G_GINT64_FORMAT, phase, id,
					 end);
		row = json_array_new();
		json_array_add_string_element(row, id);
		json_array_add_string_element(row, ticket);
		json_array_add_array_element(rows, row);
	}
	fprintf(a->log,
		"%" G_GINT64_FORMAT " advised %s %u of %" G_GSIZE_FORMAT
		" workers\n",
		standin_unix_ms(), phase, json_array_get_length(rows), *n);
	fflush(a->log);
	json_object_set_array_member(out, "approved", rows);
	json_object_set_int_member(out, "valid-ms", VALID_MS);
	return out;
}

static void on_advise(struct evhttp_request *req, void *ctx)
{
	adviser_t *a = ctx;
	GBytes *bytes = bh_http_take_body(req);
	JsonNode *body = bh_json_parse_bytes(bytes);
	call_t *c = g_new0(call_t, 1);
	int64_t now = standin_now_us();
	struct timeval delay;
	size_t n;

	if (bytes)
		g_bytes_unref(bytes);
	c->adviser = a;
	c->req = req;
	c->answer = decide(a, body, &n);
	bh_json_free(body);
	a->busy_until_us = MAX(a->busy_until_us, now) +
			   (DECISION_MS + PER_WORKER_MS * (int64_t)n) * 1000;
	delay.tv_sec = (a->busy_until_us - now) / G_USEC_PER_SEC;
	delay.tv_usec = (a->busy_until_us - now) % G_USEC_PER_SEC;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_gone, c);
	event_base_once(a->base, -1, EV_TIMEOUT, on_due, c, &delay);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/advise", on_advise},
	};
	adviser_t a = {.base = standin_precise_base()};

	if (argc < 4) {
		fprintf(stderr, "usage: adviser IP:PORT LOG WORKER...\n");
		return 2;
	}
	a.log = fopen(argv[2], "ae");
	a.approved = (const char *const *)argv + 3;
	if (!a.log ||
	    !standin_serve(a.base, argv[1], routes, G_N_ELEMENTS(routes), &a))
		return 1;
	return event_base_dispatch(a.base) < 0;
}
