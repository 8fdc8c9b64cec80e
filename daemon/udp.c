#include "daemon/udp.h"
#include "platform/address.h"
#include "wire/frame.h"

#include <sys/socket.h>

#define MAX_DATAGRAMS_PER_EVENT 64

struct bh_udp {
	evutil_socket_t fd;
	struct event *readable;
	bh_udp_cb_t cb;
	void *ctx;
	GByteArray *scratch;
	uint64_t garbage;
};

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	bh_udp_t *udp = arg;
	uint8_t buf[BH_UDP_MAX_BYTES];

	(void)what;
	for (int i = 0; i < MAX_DATAGRAMS_PER_EVENT; i++) {
		ssize_t len = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		bh_msg_t msg;

		if (len < 0)
			return;
		if (bh_frame_unpack(buf, (size_t)len, &msg, NULL) != len) {
			udp->garbage++;
			bh_msg_clear(&msg);
			continue;
		}
		udp->cb(udp->ctx, &msg);
		bh_msg_clear(&msg);
	}
}

bh_udp_t *bh_udp_open(struct event_base *base, const char *address,
		      bh_udp_cb_t cb, void *ctx)
{
	struct sockaddr_in addr;
	bh_udp_t *udp;
	int fd;

	if (!bh_address_sockaddr(address, &addr))
		return NULL;
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
		evutil_closesocket(fd);
		return NULL;
	}
	udp = g_new0(bh_udp_t, 1);
	udp->fd = fd;
	udp->cb = cb;
	udp->ctx = ctx;
	udp->scratch = g_byte_array_new();
	udp->readable =
		event_new(base, fd, EV_READ | EV_PERSIST, on_readable, udp);
	event_add(udp->readable, NULL);
	return udp;
}

void bh_udp_close(bh_udp_t *udp)
{
	if (!udp)
		return;
	event_free(udp->readable);
	evutil_closesocket(udp->fd);
	g_byte_array_free(udp->scratch, TRUE);
	g_free(udp);
}

void bh_udp_send(bh_udp_t *udp, const char *address, const bh_msg_t *msg)
{
	struct sockaddr_in to;

	if (!bh_address_sockaddr(address, &to))
		return;
	g_byte_array_set_size(udp->scratch, 0);
	bh_frame_pack(msg, udp->scratch);
	(void)sendto(udp->fd, udp->scratch->data, udp->scratch->len,
		     MSG_DONTWAIT, (struct sockaddr *)&to, sizeof(to));
}

uint64_t bh_udp_garbage(const bh_udp_t *udp)
{
	return udp->garbage;
}
