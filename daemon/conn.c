#include "daemon/conn.h"
#include "platform/address.h"
#include "wire/frame.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>

struct bh_conn {
	struct bufferevent *bev;
	const bh_conn_ops_t *ops;
	void *ctx;
	void *user;
	GByteArray *scratch;
	bool is_in_callback;
	bool is_closed;
	bool is_garbage;
};

static void conn_destroy(bh_conn_t *conn)
{
	bufferevent_free(conn->bev);
	g_byte_array_free(conn->scratch, TRUE);
	g_free(conn);
}

static void conn_closed(bh_conn_t *conn, bool is_refused, const char *error)
{
	if (!conn->is_closed) {
		conn->is_closed = true;
		conn->ops->closed(conn->ctx, conn, is_refused, error);
	}
	conn_destroy(conn);
}

/*
 * Return: false if no whole frame is buffered, the frame is malformed or the
 * callback freed the connection.
 */
static bool read_frame(bh_conn_t *conn, struct evbuffer *in, GError **err)
{
	uint8_t header[4];
	size_t have = evbuffer_get_length(in);
	size_t want = BH_FRAME_HEADER_BYTES;
	const uint8_t *data;
	bh_msg_t msg;
	gssize used;

	if (have < BH_FRAME_HEADER_BYTES)
		return false;
	evbuffer_copyout(in, header, sizeof(header));
	want += (size_t)header[0] << 24 | (size_t)header[1] << 16 |
		(size_t)header[2] << 8 | header[3];
	data = evbuffer_pullup(in, (ev_ssize_t)MIN(want, have));
	used = bh_frame_unpack(data, MIN(want, have), &msg, err);
	if (used <= 0)
		return false;
	evbuffer_drain(in, (size_t)used);
	conn->ops->msg(conn->ctx, conn, &msg);
	bh_msg_clear(&msg);
	return !conn->is_closed;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	bh_conn_t *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	g_autoptr(GError) err = NULL;

	conn->is_in_callback = true;
	while (read_frame(conn, in, &err))
		;
	conn->is_in_callback = false;
	conn->is_garbage = err != NULL;
	if (conn->is_closed)
		conn_destroy(conn);
	else if (err)
		conn_closed(conn, false, err->message);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	bh_conn_t *conn = arg;
	int error = EVUTIL_SOCKET_ERROR();
	int on = 1;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		setsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP,
			   TCP_NODELAY, &on, sizeof(on));
		conn->is_in_callback = true;
		conn->ops->opened(conn->ctx, conn);
		conn->is_in_callback = false;
		if (conn->is_closed)
			conn_destroy(conn);
		return;
	}
	conn_closed(conn, (what & BEV_EVENT_ERROR) && error == ECONNREFUSED,
		    what & BEV_EVENT_EOF
			    ? "closed by the peer"
			    : evutil_socket_error_to_string(error));
}

static bh_conn_t *conn_new(struct event_base *base, evutil_socket_t fd,
			   const bh_conn_ops_t *ops, void *ctx)
{
	bh_conn_t *conn = g_new0(bh_conn_t, 1);

	conn->ops = ops;
	conn->ctx = ctx;
	conn->scratch = g_byte_array_new();
	conn->bev = bufferevent_socket_new(
		base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	return conn;
}

bh_conn_t *bh_conn_dial(struct event_base *base, const char *address,
			const bh_conn_ops_t *ops, void *ctx)
{
	struct sockaddr_in to;
	bh_conn_t *conn;

	if (!address || !bh_address_sockaddr(address, &to))
		return NULL;
	conn = conn_new(base, -1, ops, ctx);
	if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&to,
				       sizeof(to)) == 0)
		return conn;
	conn_destroy(conn);
	return NULL;
}

bh_conn_t *bh_conn_accept(struct event_base *base, evutil_socket_t fd,
			  const bh_conn_ops_t *ops, void *ctx)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return conn_new(base, fd, ops, ctx);
}

void bh_conn_free(bh_conn_t *conn)
{
	if (conn->is_closed)
		return;
	conn->is_closed = true;
	if (!conn->is_in_callback)
		conn_destroy(conn);
}

void bh_conn_send(bh_conn_t *conn, const bh_msg_t *msg)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (conn->is_closed)
		return;
	if (evbuffer_get_length(out) > BH_CONN_SEND_BUFFER_MAX_BYTES) {
		bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
					  BEV_TRIG_DEFER_CALLBACKS);
		return;
	}
	g_byte_array_set_size(conn->scratch, 0);
	bh_frame_pack(msg, conn->scratch);
	evbuffer_add(out, conn->scratch->data, conn->scratch->len);
}

bool bh_conn_is_garbage(const bh_conn_t *conn)
{
	return conn->is_garbage;
}

void bh_conn_set_user(bh_conn_t *conn, void *user)
{
	conn->user = user;
}

void *bh_conn_user(const bh_conn_t *conn)
{
	return conn->user;
}
