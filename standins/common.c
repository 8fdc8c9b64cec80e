#include "standins/common.h"

#include "platform/json.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <time.h>

typedef struct standin_server {
	const standin_route_t *routes;
	size_t n;
	void *ctx;
} standin_server_t;

static bool is_match(const char *pattern, const char *path)
{
	size_t len = strlen(pattern);

	if (len > 0 && pattern[len - 1] == '*')
		return strncmp(pattern, path, len - 1) == 0;
	return strcmp(pattern, path) == 0;
}

static void on_request(struct evhttp_request *req, void *arg)
{
	standin_server_t *server = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	for (size_t i = 0; i < server->n; i++) {
		const standin_route_t *r = &server->routes[i];

		if (r->method == evhttp_request_get_command(req) &&
		    is_match(r->path, path)) {
			r->handler(req, server->ctx);
			return;
		}
	}
	evhttp_send_error(req, HTTP_NOTFOUND, NULL);
}

struct event_base *standin_precise_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

int64_t standin_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t standin_unix_ms(void)
{
	return g_get_real_time() / 1000;
}

struct evhttp *standin_serve(struct event_base *base, const char *address,
			     const standin_route_t *routes, size_t n, void *ctx)
{
	standin_server_t *server = g_new0(standin_server_t, 1);
	struct evhttp *http = evhttp_new(base);
	g_auto(GStrv) parts = g_strsplit(address, ":", 2);

	server->routes = routes;
	server->n = n;
	server->ctx = ctx;
	evhttp_set_gencb(http, on_request, server);
	if (evhttp_bind_socket(http, parts[0],
			       (uint16_t)atoi(parts[1] ? parts[1] : "0")) == 0)
		return http;
	fprintf(stderr, "cannot listen on %s\n", address);
	evhttp_free(http);
	g_free(server);
	return NULL;
}

void standin_reply(struct evhttp_request *req, int status, JsonObject *body)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	struct evbuffer *buf = evbuffer_new();
	g_autofree char *text = NULL;

	json_node_take_object(root, body);
	text = json_to_string(root, FALSE);
	evbuffer_add(buf, text, strlen(text));
	evhttp_send_reply(req, status, status < 300 ? "OK" : "Error", buf);
	evbuffer_free(buf);
	json_node_unref(root);
}

JsonObject *standin_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	JsonNode *root = bh_json_parse(evbuffer_pullup(in, -1), len);
	JsonObject *body = NULL;

	if (bh_json_is_object(root))
		body = json_object_ref(json_node_get_object(root));
	bh_json_free(root);
	return body;
}

char *standin_param(struct evhttp_request *req, const char *name,
		    const char *fallback)
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	const char *value;
	char *out;

	if (evhttp_parse_query_str(query ? query : "", &params) != 0)
		return g_strdup(fallback);
	value = evhttp_find_header(&params, name);
	out = g_strdup(value ? value : fallback);
	evhttp_clear_headers(&params);
	return out;
}

int64_t standin_param_int(struct evhttp_request *req, const char *name,
			  int64_t fallback)
{
	g_autofree char *text = standin_param(req, name, NULL);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}
