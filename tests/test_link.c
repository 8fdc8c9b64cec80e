/*
 * Connections between processes: what happens to frames that no longer fit.
 */
#include "daemon/link.h"
#include "tests/test.h"

#include <event2/util.h>
#include <sys/socket.h>

typedef struct owner {
	int closed;
} owner_t;

static void on_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	(void)ctx;
	(void)link;
	(void)frame;
}

static void on_opened(void *ctx, bh_link_t *link)
{
	(void)ctx;
	(void)link;
}

static void on_closed(void *ctx, bh_link_t *link, bool is_refused)
{
	owner_t *owner = ctx;

	(void)link;
	assert_false(is_refused);
	owner->closed++;
}

static const bh_link_ops_t ops = {on_frame, on_opened, on_closed};

/* A frame that no longer fitted was dropped without a trace: the sender took an
 * order for sent that its peer never got. */
static void test_link_that_overflows_is_closed(void **state)
{
	static const char block[1 << 16];
	struct event_base *base = event_base_new();
	owner_t owner = {0};
	evutil_socket_t fds[2];
	bh_link_t *link;

	(void)state;
	assert_int_equal(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	evutil_make_socket_nonblocking(fds[0]);
	link = bh_link_accept(base, fds[0], &ops, &owner);
	for (size_t sent = 0; sent <= BH_LINK_SEND_BUFFER_MAX_BYTES;
	     sent += sizeof(block))
		bh_link_send_bytes(link, block, sizeof(block));
	event_base_loop(base, EVLOOP_NONBLOCK);
	assert_int_equal(owner.closed, 0);
	for (int i = 0; i < 8; i++)
		bh_link_send_bytes(link, block, sizeof(block));
	assert_int_equal(owner.closed, 0);
	event_base_loop(base, EVLOOP_NONBLOCK);
	assert_int_equal(owner.closed, 1);
	evutil_closesocket(fds[1]);
	event_base_free(base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_link_that_overflows_is_closed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
