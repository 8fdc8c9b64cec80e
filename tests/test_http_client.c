/*
 * HTTP connection pool against a server in the same process.
 */
#include "core/types.h"
#include "platform/http_client.h"
#include "tests/test.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>

#define TIMEOUT_US     (150 * BH_USEC_PER_MS)
#define REQUEST_GAP_US (400 * BH_USEC_PER_MS)

/**
 * struct server - test server, and the responses that the client received
 * @accepted: connections accepted so far
 * @is_silent: requests get no response
 * @answers: callbacks of the client so far
 * @requests: requests received so far
 */
typedef struct server {
	struct event_base *base;
	struct evhttp *http;
	char address[32];
	int accepted;
	bool is_silent;
	unsigned last_status;
	int answers;
	int requests;
} server_t;

static struct bufferevent *on_connection(struct event_base *base, void *arg)
{
	server_t *s = arg;

	s->accepted++;
	return bufferevent_socket_new(base, -1, 0);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	server_t *s = arg;

	s->requests++;
	if (!s->is_silent)
		evhttp_send_reply(req, 200, NULL, NULL);
}

static void server_open(server_t *s)
{
	struct evhttp_bound_socket *socket;
	struct sockaddr_in at;
	socklen_t len = sizeof(at);

	memset(s, 0, sizeof(*s));
	s->base = event_base_new();
	s->http = evhttp_new(s->base);
	evhttp_set_gencb(s->http, on_request, s);
	evhttp_set_bevcb(s->http, on_connection, s);
	socket = evhttp_bind_socket_with_handle(s->http, "127.0.0.1", 0);
	assert_non_null(socket);
	getsockname(evhttp_bound_socket_get_fd(socket), (struct sockaddr *)&at,
		    &len);
	g_snprintf(s->address, sizeof(s->address), "127.0.0.1:%d",
		   ntohs(at.sin_port));
}

static void server_close(server_t *s)
{
	evhttp_free(s->http);
	event_base_free(s->base);
}

static void run_loop_for(server_t *s, bh_usec_t us)
{
	struct timeval delay = {us / 1000000, us % 1000000};

	event_base_loopexit(s->base, &delay);
	event_base_dispatch(s->base);
}

static void on_answer(void *user, const bh_http_reply_t *reply)
{
	server_t *s = user;

	s->last_status = reply->status;
	s->answers++;
}

static void send_request(server_t *s, bh_http_pool_t *pool)
{
	bh_http_call_t call = {.method = EVHTTP_REQ_GET,
			       .path = "/",
			       .timeout_us = TIMEOUT_US};

	bh_http_send(pool, &call, on_answer, s);
}

/* Guards against a new connection for each request: libevent closes an idle
 * connection after the time-out of its last request, so that requests further
 * apart than that each opened another. */
static void test_spaced_requests_share_a_connection(void **state)
{
	bh_http_pool_t *pool;
	server_t s;

	(void)state;
	server_open(&s);
	pool = bh_http_pool_new(s.base, s.address, 1000);
	bh_http_pool_set_idle_timeout(pool, 10 * BH_USEC_PER_SEC);
	for (int i = 0; i < 4; i++) {
		send_request(&s, pool);
		run_loop_for(&s, REQUEST_GAP_US);
		assert_int_equal(s.last_status, 200);
	}
	assert_int_equal(s.answers, 4);
	assert_int_equal(s.accepted, 1);
	bh_http_pool_free(pool);
	server_close(&s);
}

/* When the server stops responding on an idle connection, one request times
 * out and the next one gets a new connection. */
static void test_silent_connection_is_replaced(void **state)
{
	bh_http_pool_t *pool;
	server_t s;

	(void)state;
	server_open(&s);
	pool = bh_http_pool_new(s.base, s.address, 1000);
	bh_http_pool_set_idle_timeout(pool, 10 * BH_USEC_PER_SEC);
	send_request(&s, pool);
	run_loop_for(&s, REQUEST_GAP_US);
	s.is_silent = true;
	send_request(&s, pool);
	run_loop_for(&s, REQUEST_GAP_US);
	assert_int_equal(s.answers, 2);
	assert_int_equal(s.last_status, 0);
	s.is_silent = false;
	send_request(&s, pool);
	run_loop_for(&s, REQUEST_GAP_US);
	assert_int_equal(s.last_status, 200);
	assert_int_equal(s.accepted, 2);
	bh_http_pool_free(pool);
	server_close(&s);
}

/* A pool for an address without a colon crashed, and a port beyond 65535 was
 * cut to 16 bits, so that requests went to another server. */
static void test_port_out_of_range_reaches_another_server(void **state)
{
	static const char *const bad[] = {
		"",
		":",
		"127.0.0.1",
		"127.0.0.1:",
		"127.0.0.1:0",
		"127.0.0.1:65536",
		":80",
		"127.0.0.1:70000",
		"127.0.0.1:-1",
		"host:80",
		"127.0.0.1:+80",
		"127.0.0.1: 80",
		"127.0.0.1",
		"127.0.0.1:80x",
		"127.0.0.1:18446744073709551697",
		"127.0.0:80",
		"[::1]:80",
		"127.0.0.1:80,127.0.0.1:81",
	};
	g_autofree char *long_ip = g_strnfill(5000, '1');
	g_autofree char *long_address = g_strconcat(long_ip, ":80", NULL);
	g_autofree char *long_port = g_strconcat("127.0.0.1:", long_ip, NULL);
	g_autofree char *cut = NULL;
	server_t s;

	(void)state;
	server_open(&s);
	cut = g_strdup_printf("127.0.0.1:%d",
			      atoi(strchr(s.address, ':') + 1) + 65536);
	assert_null(bh_http_pool_new(s.base, cut, 1000));
	assert_null(bh_http_pool_new(s.base, long_address, 1000));
	assert_null(bh_http_pool_new(s.base, long_port, 1000));
	assert_null(bh_http_pool_new(s.base, NULL, 1000));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		assert_null(bh_http_pool_new(s.base, bad[i], 1000));
	server_close(&s);
}

static bool is_never_wanted(void *user)
{
	(void)user;
	return false;
}

/* An order that had been withdrawn was sent once a connection was free. */
static void test_queued_request_that_is_not_wanted_is_not_sent(void **state)
{
	bh_http_call_t call = {.method = EVHTTP_REQ_GET,
			       .path = "/",
			       .timeout_us = TIMEOUT_US,
			       .is_wanted = is_never_wanted};
	bh_http_pool_t *pool;
	server_t s;

	(void)state;
	server_open(&s);
	pool = bh_http_pool_new(s.base, s.address, 1000);
	bh_http_pool_set_max_connections(pool, 1);
	s.is_silent = true;
	send_request(&s, pool);
	bh_http_send(pool, &call, on_answer, &s);
	bh_http_send(pool, &call, on_answer, &s);
	send_request(&s, pool);
	run_loop_for(&s, REQUEST_GAP_US);
	assert_int_equal(s.requests, 2);
	assert_int_equal(s.answers, 4);
	bh_http_pool_free(pool);
	server_close(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_spaced_requests_share_a_connection),
		cmocka_unit_test(test_silent_connection_is_replaced),
		cmocka_unit_test(test_port_out_of_range_reaches_another_server),
		cmocka_unit_test(
			test_queued_request_that_is_not_wanted_is_not_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
