/*
 * Stands before the stand-in for the store and keeps to the limits of the
 * platform: a transaction with a value of more than ROW_BYTES, with more than
 * TX_ENTRIES entries or of more than TX_BYTES is answered with 400. All other
 * calls are passed on.
 */
#include "platform/http_client.h"
#include "platform/json.h"
#include "standins/common.h"

#include <event2/buffer.h>
#include <string.h>

#define ROW_BYTES	65536
#define TX_ENTRIES	100
#define TX_BYTES	1000000
#define REPLY_MAX_BYTES (8u << 20)

/* Longer than the store holds a feed. */
#define TIMEOUT_US ((int64_t)40 * 1000000)

typedef struct limits {
	bh_http_pool_t *store;
} limits_t;

typedef struct passed {
	struct evhttp_request *req;
} passed_t;

static size_t largest_value(JsonNode *puts)
{
	size_t largest = 0;

	for (size_t i = 0; i < bh_json_size(puts); i++) {
		const char *text =
			bh_json_text(bh_json_get(bh_json_at(puts, i), "value"));
		gsize len = 0;

		g_free(text && *text ? g_base64_decode(text, &len) : NULL);
		largest = MAX(largest, len);
	}
	return largest;
}

static bool is_allowed(GBytes *bytes)
{
	JsonNode *root = bh_json_parse_bytes(bytes);
	size_t entries = bh_json_size(bh_json_get(root, "expected-rev")) +
			 bh_json_size(bh_json_get(root, "puts")) +
			 bh_json_size(bh_json_get(root, "remove"));
	size_t largest = largest_value(bh_json_get(root, "puts"));
	bool is_ok = bytes && g_bytes_get_size(bytes) <= TX_BYTES &&
		     entries <= TX_ENTRIES && largest <= ROW_BYTES;

	if (!is_ok)
		printf("%" G_GINT64_FORMAT
		       " refused-transaction bytes=%" G_GSIZE_FORMAT
		       " entries=%" G_GSIZE_FORMAT
		       " largest-value=%" G_GSIZE_FORMAT "\n",
		       standin_unix_ms(), bytes ? g_bytes_get_size(bytes) : 0,
		       entries, largest);
	fflush(stdout);
	bh_json_free(root);
	return is_ok;
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

	if (answer->body)
		evbuffer_add(buf, g_bytes_get_data(answer->body, NULL),
			     g_bytes_get_size(answer->body));
	if (p->req) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(p->req), NULL, NULL);
		evhttp_send_reply(p->req,
				  answer->status ? (int)answer->status : 503,
				  "Passed on", buf);
	}
	evbuffer_free(buf);
	g_free(p);
}

static void on_call(struct evhttp_request *req, void *ctx)
{
	limits_t *l = ctx;
	GBytes *bytes = bh_http_take_body(req);
	bh_http_call_t call = {
		.method = evhttp_request_get_command(req),
		.path = evhttp_request_get_uri(req),
		.headers = {{"Content-Type", "application/json"}},
		.body = bytes,
		.timeout_us = TIMEOUT_US,
	};
	passed_t *p;

	if (strcmp(call.path, "/rows-tx") == 0 && !is_allowed(bytes)) {
		standin_reply(req, 400, json_object_new());
	} else {
		p = g_new0(passed_t, 1);
		p->req = req;
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(req), on_gone, p);
		bh_http_send(l->store, &call, on_answer, p);
	}
	if (bytes)
		g_bytes_unref(bytes);
}

int main(int argc, char **argv)
{
	static const standin_route_t routes[] = {
		{EVHTTP_REQ_POST, "/*", on_call},
		{EVHTTP_REQ_GET, "/*", on_call},
	};
	struct event_base *base = standin_precise_base();
	limits_t l = {0};

	if (argc == 3)
		l.store = bh_http_pool_new(base, argv[2], REPLY_MAX_BYTES);
	if (!l.store) {
		fprintf(stderr, "usage: limits IP:PORT STORE-IP:PORT\n");
		return 2;
	}
	if (!standin_serve(base, argv[1], routes, G_N_ELEMENTS(routes), &l))
		return 1;
	return event_base_dispatch(base) < 0;
}
