#include "daemon/runtime.h"
#include "daemon/http_guard.h"
#include "platform/address.h"

#include <event2/buffer.h>
#include <time.h>

static const char *status_text(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 404:
		return "Not Found";
	case 409:
		return "Conflict";
	case 429:
		return "Too Many Requests";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return status < 400 ? "OK" : "Error";
	}
}

bh_usec_t bh_runtime_now(void)
{
	struct timespec ts;

	/* Includes suspend of the host, during which leases go on. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (bh_usec_t)ts.tv_sec * BH_USEC_PER_SEC + ts.tv_nsec / 1000;
}

uint64_t bh_runtime_unix_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}

struct event *bh_runtime_every(bh_runtime_t *rt, int64_t interval_ms,
			       event_callback_fn cb, void *arg)
{
	struct timeval interval = {interval_ms / 1000,
				   (interval_ms % 1000) * 1000};
	struct event *ev = event_new(rt->base, -1, EV_PERSIST, cb, arg);

	event_add(ev, &interval);
	return ev;
}

int bh_http_refuse_body(void *arg, const struct bh_http_scan *head)
{
	(void)arg;
	(void)head;
	return 413;
}

struct evhttp *bh_http_listen(bh_runtime_t *rt, const char *address,
			      void (*cb)(struct evhttp_request *, void *),
			      void *arg, struct evhttp_bound_socket **socket)
{
	return bh_http_listen_guarded(rt, address, cb, arg, false, NULL,
				      socket);
}

struct evhttp *
bh_http_listen_guarded(bh_runtime_t *rt, const char *address,
		       void (*cb)(struct evhttp_request *, void *), void *arg,
		       bool is_small,
		       int (*check)(void *arg, const struct bh_http_scan *head),
		       struct evhttp_bound_socket **socket)
{
	struct evhttp *http = evhttp_new(rt->base);
	struct evhttp_bound_socket *bound = NULL;
	g_autofree char *ip = NULL;
	uint16_t port = 0;
	struct timeval timeout = {rt->settings->http_timeout_ms / 1000,
				  (rt->settings->http_timeout_ms % 1000) *
					  1000};

	evhttp_set_max_body_size(http, rt->settings->max_body_bytes);
	evhttp_set_max_headers_size(http, rt->settings->max_header_bytes);
	evhttp_set_timeout_tv(http, &timeout);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_PUT |
						 EVHTTP_REQ_DELETE);
	evhttp_set_gencb(http, cb, arg);
	if (bh_address_parse(address, &ip, &port))
		bound = evhttp_bind_socket_with_handle(http, ip, port);
	if (socket)
		*socket = bound;
	if (bound) {
		bh_http_guard_attach(rt, http, bound, is_small, check, arg);
		return http;
	}
	bh_log_event(&rt->log, BH_LOG_ERROR, "cannot listen", "address",
		     address, NULL);
	evhttp_free(http);
	return NULL;
}

void bh_http_reply_text(struct evhttp_request *req, int status,
			const char *type, const char *text)
{
	struct evbuffer *buf = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", type);
	evbuffer_add(buf, text, strlen(text));
	evhttp_send_reply(req, status, status_text(status), buf);
	evbuffer_free(buf);
}

void bh_http_reply_json(struct evhttp_request *req, int status,
			JsonObject *body)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	g_autofree char *text = NULL;

	json_node_take_object(root, body);
	text = json_to_string(root, FALSE);
	bh_http_reply_text(req, status, "application/json", text);
	json_node_unref(root);
}

void bh_http_reply_error(struct evhttp_request *req, int status,
			 const char *reason)
{
	JsonObject *body = json_object_new();

	json_object_set_string_member(body, "error", reason);
	bh_http_reply_json(req, status, body);
}
