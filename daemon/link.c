#include "daemon/link.h"
#include "platform/address.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

#define LISTEN_BACKLOG 512

struct bh_link {
	struct bufferevent *bev;
	const bh_link_ops_t *ops;
	void *ctx;
	void *user;
	bh_usec_t heard_at;
	GByteArray *scratch;
	bool is_open;
	bool has_overflown;
	bool is_in_callback;
	bool is_closed;
};

struct bh_acceptor {
	struct evconnlistener *listener;
	bh_runtime_t *rt;
	const bh_link_ops_t *ops;
	void *ctx;
	void (*accepted)(void *ctx, bh_link_t *link);
};

static void link_destroy(bh_link_t *link)
{
	bufferevent_free(link->bev);
	g_byte_array_free(link->scratch, TRUE);
	g_free(link);
}

static void link_closed(bh_link_t *link, bool is_refused)
{
	if (!link->is_closed) {
		link->is_closed = true;
		link->ops->closed(link->ctx, link, is_refused);
	}
	link_destroy(link);
}

/* Return: 1 after a frame, 0 if none is complete, -1 if it is malformed. */
static int read_frame(bh_link_t *link, struct evbuffer *in)
{
	uint32_t header;
	size_t len;
	const uint8_t *data;
	bh_frame_t *frame;

	if (evbuffer_copyout(in, &header, sizeof(header)) !=
	    (ev_ssize_t)sizeof(header))
		return 0;
	len = GUINT32_FROM_BE(header);
	if (len > BH_SCHED_FRAME_MAX_BYTES)
		return -1;
	if (evbuffer_get_length(in) < sizeof(header) + len)
		return 0;
	data = evbuffer_pullup(in, (ev_ssize_t)(sizeof(header) + len));
	frame = bh__sched__frame__unpack(NULL, len, data + sizeof(header));
	evbuffer_drain(in, sizeof(header) + len);
	if (!frame)
		return -1;
	link->heard_at = bh_runtime_now();
	link->ops->frame(link->ctx, link, frame);
	bh__sched__frame__free_unpacked(frame, NULL);
	return 1;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	bh_link_t *link = arg;
	int got = 1;

	link->is_in_callback = true;
	while (got > 0 && !link->is_closed)
		got = read_frame(link, bufferevent_get_input(bev));
	link->is_in_callback = false;
	if (link->is_closed || got < 0)
		link_closed(link, false);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	bh_link_t *link = arg;
	bool is_refused;

	if (what & BEV_EVENT_CONNECTED) {
		int one = 1;

		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY,
			   &one, sizeof(one));
		link->is_open = true;
		link->heard_at = bh_runtime_now();
		link->is_in_callback = true;
		link->ops->opened(link->ctx, link);
		link->is_in_callback = false;
		if (link->is_closed)
			link_destroy(link);
		return;
	}
	is_refused = !link->is_open && (what & BEV_EVENT_ERROR) &&
		     EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
	link_closed(link, is_refused);
}

static bh_link_t *link_new(struct event_base *base, evutil_socket_t fd,
			   const bh_link_ops_t *ops, void *ctx)
{
	bh_link_t *link = g_new0(bh_link_t, 1);

	link->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	link->ops = ops;
	link->ctx = ctx;
	link->heard_at = bh_runtime_now();
	link->scratch = g_byte_array_new();
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	return link;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	bh_acceptor_t *a = arg;

	(void)listener;
	(void)address;
	(void)len;
	a->accepted(a->ctx, bh_link_accept(a->rt->base, fd, a->ops, a->ctx));
}

bh_link_t *bh_link_dial(struct event_base *base, const char *address,
			const bh_link_ops_t *ops, void *ctx)
{
	struct sockaddr_in in;
	bh_link_t *link;

	if (!bh_address_sockaddr(address, &in))
		return NULL;
	link = link_new(base, -1, ops, ctx);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(link->bev, (struct sockaddr *)&in,
				       sizeof(in)) == 0)
		return link;
	link_destroy(link);
	return NULL;
}

bh_link_t *bh_link_accept(struct event_base *base, evutil_socket_t fd,
			  const bh_link_ops_t *ops, void *ctx)
{
	bh_link_t *link = link_new(base, fd, ops, ctx);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	link->is_open = true;
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	return link;
}

void bh_link_free(bh_link_t *link)
{
	if (!link)
		return;
	link->is_closed = true;
	if (!link->is_in_callback)
		link_destroy(link);
}

void bh_link_send(bh_link_t *link, const bh_frame_t *frame)
{
	g_byte_array_set_size(link->scratch, 0);
	bh_frame_append(frame, link->scratch);
	bh_link_send_bytes(link, link->scratch->data, link->scratch->len);
}

void bh_link_send_bytes(bh_link_t *link, const void *data, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(link->bev);

	if (link->is_closed || link->has_overflown)
		return;
	/* Neither side may take what is not sent for sent: both have to notice,
	 * and compare what they know. */
	if (evbuffer_get_length(out) > BH_LINK_SEND_BUFFER_MAX_BYTES) {
		link->has_overflown = true;
		bufferevent_trigger_event(link->bev, BEV_EVENT_ERROR,
					  BEV_TRIG_DEFER_CALLBACKS);
		return;
	}
	evbuffer_add(out, data, len);
}

bool bh_link_is_open(const bh_link_t *link)
{
	return link->is_open && !link->is_closed;
}

bh_usec_t bh_link_heard_at(const bh_link_t *link)
{
	return link->heard_at;
}

void bh_link_set_user(bh_link_t *link, void *user)
{
	link->user = user;
}

void *bh_link_user(const bh_link_t *link)
{
	return link->user;
}

bh_acceptor_t *bh_link_listen(bh_runtime_t *rt, const char *address,
			      const bh_link_ops_t *ops, void *ctx,
			      void (*accepted)(void *ctx, bh_link_t *link))
{
	bh_acceptor_t *acceptor = g_new0(bh_acceptor_t, 1);
	struct sockaddr_in in;

	acceptor->rt = rt;
	acceptor->ops = ops;
	acceptor->ctx = ctx;
	acceptor->accepted = accepted;
	if (bh_address_sockaddr(address, &in))
		acceptor->listener = evconnlistener_new_bind(
			rt->base, on_accept, acceptor,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
			LISTEN_BACKLOG, (struct sockaddr *)&in, sizeof(in));
	if (acceptor->listener)
		return acceptor;
	bh_log_event(&rt->log, BH_LOG_ERROR, "cannot listen", "address",
		     address, NULL);
	g_free(acceptor);
	return NULL;
}

void bh_acceptor_free(bh_acceptor_t *acceptor)
{
	if (!acceptor)
		return;
	evconnlistener_free(acceptor->listener);
	g_free(acceptor);
}
