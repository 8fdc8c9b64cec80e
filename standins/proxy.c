/*
 * TCP proxy that injects faults at the byte level.
 * POST /fault?mode=MODE at the control address:
 *   pass       forward everything (the state of each new connection)
 *   cut        close every open connection
 *   silent     drop bytes both ways on open connections; new ones work
 *   silent-to  drop bytes sent to the upstream, on open connections
 *   silent-from drop bytes received from it, on open connections
 *   delay      forward after delay_ms
 *   duplicate  forward every chunk of bytes twice
 */
#include "standins/common.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <string.h>

typedef struct proxy {
	struct event_base *base;
	struct sockaddr_in to;
	GList *pairs;
	int64_t delay_ms;
	bool duplicates;
} proxy_t;

typedef struct pair {
	proxy_t *proxy;
	struct bufferevent *client;
	struct bufferevent *upstream;
	bool is_silent_to;
	bool is_silent_from;
	int n_delayed_chunks;
	bool is_closed;
} pair_t;

typedef struct chunk {
	pair_t *pair;
	struct bufferevent *to;
	struct evbuffer *bytes;
} chunk_t;

static void pair_release(pair_t *pair)
{
	if (pair->is_closed && pair->n_delayed_chunks == 0)
		g_free(pair);
}

static void pair_close(pair_t *pair)
{
	if (pair->is_closed)
		return;
	pair->is_closed = true;
	pair->proxy->pairs = g_list_remove(pair->proxy->pairs, pair);
	bufferevent_free(pair->client);
	bufferevent_free(pair->upstream);
	pair_release(pair);
}

static void on_delay_elapsed(evutil_socket_t fd, short what, void *arg)
{
	chunk_t *chunk = arg;

	(void)fd;
	(void)what;
	if (!chunk->pair->is_closed)
		bufferevent_write_buffer(chunk->to, chunk->bytes);
	chunk->pair->n_delayed_chunks--;
	pair_release(chunk->pair);
	evbuffer_free(chunk->bytes);
	g_free(chunk);
}

static void forward_delayed(pair_t *pair, struct bufferevent *to,
			    struct evbuffer *in)
{
	chunk_t *chunk = g_new0(chunk_t, 1);
	struct timeval delay = {pair->proxy->delay_ms / 1000,
				pair->proxy->delay_ms % 1000 * 1000};

	chunk->pair = pair;
	chunk->to = to;
	chunk->bytes = evbuffer_new();
	evbuffer_add_buffer(chunk->bytes, in);
	pair->n_delayed_chunks++;
	event_base_once(pair->proxy->base, -1, EV_TIMEOUT, on_delay_elapsed,
			chunk, &delay);
}

static void forward(pair_t *pair, struct bufferevent *from,
		    struct bufferevent *to, bool is_silent)
{
	struct evbuffer *in = bufferevent_get_input(from);
	size_t len = evbuffer_get_length(in);

	if (is_silent) {
		evbuffer_drain(in, len);
		return;
	}
	if (pair->proxy->delay_ms > 0) {
		forward_delayed(pair, to, in);
		return;
	}
	if (pair->proxy->duplicates)
		bufferevent_write(to, evbuffer_pullup(in, -1), len);
	bufferevent_write_buffer(to, in);
}

static void on_client_data(struct bufferevent *bev, void *arg)
{
	pair_t *pair = arg;

	forward(pair, bev, pair->upstream, pair->is_silent_to);
}

static void on_upstream_data(struct bufferevent *bev, void *arg)
{
	pair_t *pair = arg;

	forward(pair, bev, pair->client, pair->is_silent_from);
}

/* A silent connection does not propagate a close, either. */
static void on_event(struct bufferevent *bev, short what, void *arg)
{
	pair_t *pair = arg;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	if (pair->is_silent_to || pair->is_silent_from)
		bufferevent_disable(bev, EV_READ | EV_WRITE);
	else
		pair_close(pair);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int len, void *arg)
{
	proxy_t *p = arg;
	pair_t *pair = g_new0(pair_t, 1);

	(void)listener;
	(void)from;
	(void)len;
	pair->proxy = p;
	pair->client =
		bufferevent_socket_new(p->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->upstream =
		bufferevent_socket_new(p->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(pair->client, on_client_data, NULL, on_event, pair);
	bufferevent_setcb(pair->upstream, on_upstream_data, NULL, on_event,
			  pair);
	bufferevent_enable(pair->client, EV_READ | EV_WRITE);
	bufferevent_enable(pair->upstream, EV_READ | EV_WRITE);
	p->pairs = g_list_prepend(p->pairs, pair);
	bufferevent_socket_connect(pair->upstream, (struct sockaddr *)&p->to,
				   sizeof(p->to));
}

static void silence_pairs(proxy_t *p, bool to, bool from)
{
	for (GList *l = p->pairs; l; l = l->next) {
		pair_t *pair = l->data;

		pair->is_silent_to |= to;
		pair->is_silent_from |= from;
	}
}

static void on_fault(struct evhttp_request *req, void *ctx)
{
	proxy_t *p = ctx;
	g_autofree char *mode = standin_param(req, "mode", "pass");

	p->delay_ms = standin_param_int(req, "delay_ms", 0);
	p->duplicates = strcmp(mode, "duplicate") == 0;
	if (strcmp(mode, "silent") == 0)
		silence_pairs(p, true, true);
	else if (strcmp(mode, "silent-to") == 0)
		silence_pairs(p, true, false);
	else if (strcmp(mode, "silent-from") == 0)
		silence_pairs(p, false, true);
	else if (strcmp(mode, "cut") == 0)
		while (p->pairs)
			pair_close(p->pairs->data);
	standin_reply(req, 200, json_object_new());
}

static const standin_route_t routes[] = {
	{EVHTTP_REQ_POST, "/fault", on_fault},
};

int main(int argc, char **argv)
{
	char *listen_at = NULL;
	char *control = NULL;
	char *to = NULL;
	GOptionEntry entries[] = {
		{"listen", 0, 0, G_OPTION_ARG_STRING, &listen_at, "near end",
		 "IP:PORT"},
		{"to", 0, 0, G_OPTION_ARG_STRING, &to, "far end", "IP:PORT"},
		{"control", 0, 0, G_OPTION_ARG_STRING, &control,
		 "HTTP control address", "IP:PORT"},
		{0},
	};
	g_autoptr(GOptionContext) options = g_option_context_new(NULL);
	struct sockaddr_storage at;
	int at_len = sizeof(at);
	int upstream_len = sizeof(struct sockaddr_in);
	proxy_t p = {0};

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, NULL) ||
	    !listen_at || !to || !control)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	p.base = standin_precise_base();
	evutil_parse_sockaddr_port(to, (struct sockaddr *)&p.to, &upstream_len);
	evutil_parse_sockaddr_port(listen_at, (struct sockaddr *)&at, &at_len);
	if (!evconnlistener_new_bind(p.base, on_accept, &p,
				     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
				     -1, (struct sockaddr *)&at, at_len) ||
	    !standin_serve(p.base, control, routes, G_N_ELEMENTS(routes), &p))
		return 1;
	event_base_dispatch(p.base);
	return 0;
}
