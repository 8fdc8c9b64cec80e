/*
 * The guard of HTTP servers, with real sockets in one process.
 */
#include "daemon/http_guard.h"
#include "platform/http_client.h"
#include "tests/test.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <fcntl.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_US (10 * BH_USEC_PER_SEC)

/* More than the buffers of both sockets take, so that it is sent in parts. */
#define LONG_RESPONSE ((size_t)16 << 20)

/**
 * struct server - a guarded server
 * @held: a request that has no response yet
 * @requests: paths that the handler was called with, each after a space
 */
typedef struct server {
	bh_runtime_t rt;
	struct evhttp *http;
	struct sockaddr_in at;
	struct evhttp_request *held;
	GString *requests;
} server_t;

static const bh_settings_t settings = {
	.max_body_bytes = 1 << 20,
	.max_header_bytes = 16384,
	.max_header_fields = 100,
	.header_timeout_ms = 10000,
	.http_timeout_ms = 60000,
	.stall_timeout_ms = 10000,
	.min_body_rate = 1,
	.memory_mb = 1024,
	.max_fds = 1024,
};

static void on_request(struct evhttp_request *req, void *arg)
{
	server_t *s = arg;
	const char *path = evhttp_request_get_uri(req);

	g_string_append_printf(s->requests, " %s", path);
	if (strcmp(path, "/long") == 0) {
		struct evbuffer *body = evbuffer_new();
		g_autofree char *text = g_strnfill(LONG_RESPONSE, 'x');

		evbuffer_add(body, text, LONG_RESPONSE);
		evhttp_send_reply(req, 200, "OK", body);
		evbuffer_free(body);
		return;
	}
	if (strcmp(path, "/held") == 0) {
		g_bytes_unref(bh_http_take_body(req));
		bh_http_guard_set_held(&s->rt, req, 1000);
		s->held = req;
		return;
	}
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void server_open(server_t *s)
{
	struct evhttp_bound_socket *socket;
	socklen_t len = sizeof(s->at);

	memset(s, 0, sizeof(*s));
	s->rt.base = event_base_new();
	s->rt.settings = &settings;
	s->rt.log.level = BH_LOG_ERROR;
	s->rt.log.out = stderr;
	s->requests = g_string_new(NULL);
	/* Port 0: any free one. */
	s->http = evhttp_new(s->rt.base);
	evhttp_set_max_body_size(s->http, settings.max_body_bytes);
	evhttp_set_gencb(s->http, on_request, s);
	socket = evhttp_bind_socket_with_handle(s->http, "127.0.0.1", 0);
	assert_non_null(socket);
	bh_http_guard_attach(&s->rt, s->http, socket, false, NULL, s);
	getsockname(evhttp_bound_socket_get_fd(socket),
		    (struct sockaddr *)&s->at, &len);
}

static void server_close(server_t *s)
{
	evhttp_free(s->http);
	bh_http_guard_free(&s->rt);
	event_base_free(s->rt.base);
	g_string_free(s->requests, TRUE);
}

static void client_connect(const server_t *s, int fd)
{
	assert_int_equal(
		connect(fd, (const struct sockaddr *)&s->at, sizeof(s->at)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
}

static int client_open(const server_t *s)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	client_connect(s, fd);
	return fd;
}

static void client_send(server_t *s, int fd, const char *text)
{
	size_t len = strlen(text);
	bh_usec_t until = bh_runtime_now() + DEADLINE_US;

	while (len > 0 && bh_runtime_now() < until) {
		ssize_t sent = send(fd, text, len, MSG_NOSIGNAL);

		event_base_loop(s->rt.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		if (sent < 0) {
			assert_int_equal(errno, EAGAIN);
			continue;
		}
		text += sent;
		len -= (size_t)sent;
	}
	assert_int_equal(len, 0);
}

/* Reads until @n responses have begun or the server closes the connection.
 * Return: responses with status 200. */
static int client_read(server_t *s, int fd, int n)
{
	g_autofree char *piece = g_malloc(1 << 16);
	g_autoptr(GString) all = g_string_new(NULL);
	bh_usec_t until = bh_runtime_now() + DEADLINE_US;
	int found = 0;
	size_t at = 0;
	const char *next;

	while (found < n && bh_runtime_now() < until) {
		ssize_t got;

		event_base_loop(s->rt.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		got = recv(fd, piece, 1 << 16, 0);
		if (got == 0)
			break;
		if (got < 0) {
			assert_int_equal(errno, EAGAIN);
			continue;
		}
		g_string_append_len(all, piece, got);
		while ((next = strstr(all->str + at, "HTTP/1.1 ")) &&
		       strlen(next) >= 12) {
			assert_int_equal(strncmp(next, "HTTP/1.1 200", 12), 0);
			at = (size_t)(next - all->str) + 12;
			found++;
		}
		at = MAX(at, all->len > 11 ? all->len - 11 : 0);
	}
	return found;
}

/* Reads until the long response has arrived. */
static void client_read_long(server_t *s, int fd)
{
	g_autofree char *piece = g_malloc(1 << 16);
	bh_usec_t until = bh_runtime_now() + DEADLINE_US;
	size_t read = 0;

	while (read < LONG_RESPONSE && bh_runtime_now() < until) {
		ssize_t got;

		event_base_loop(s->rt.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		got = recv(fd, piece, 1 << 16, 0);
		assert_int_not_equal(got, 0);
		read += got > 0 ? (size_t)got : 0;
	}
	assert_true(read >= LONG_RESPONSE);
}

static void run_for(server_t *s, bh_usec_t time)
{
	bh_usec_t until = bh_runtime_now() + time;

	while (bh_runtime_now() < until)
		event_base_loop(s->rt.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

/* libevent closed the socket while the guard's reference kept its events, so
 * that part of what the next connection with the same descriptor received was
 * read into the buffer of the former one. */
static void test_descriptor_is_reused_after_close(void **state)
{
	g_autofree char *body = g_strnfill(500000, 'x');
	g_autofree char *text = g_strconcat(
		"POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		"Content-Length: 500000\r\n\r\n",
		body, NULL);
	int fds[20];
	server_t s;

	(void)state;
	server_open(&s);
	/* All first, so that the server's sockets get the numbers that it has
	 * closed. */
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		client_connect(&s, fds[i]);
		client_send(&s, fds[i], text);
		/* Until the server closes. */
		assert_int_equal(client_read(&s, fds[i], 2), 1);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	server_close(&s);
}

/* A descriptor that is closed twice takes away what was opened with its number
 * in between. */
static void test_descriptor_is_closed_once(void **state)
{
	int opened[8];
	server_t s;
	int fd;

	(void)state;
	server_open(&s);
	fd = client_open(&s);
	client_send(&s, fd,
		    "GET /a HTTP/1.1\r\nHost: h\r\n"
		    "Connection: close\r\n\r\n");
	/* Until the server closes. */
	assert_int_equal(client_read(&s, fd, 2), 1);
	for (size_t i = 0; i < G_N_ELEMENTS(opened); i++)
		opened[i] = dup(fd);
	run_for(&s, MS(300));
	for (size_t i = 0; i < G_N_ELEMENTS(opened); i++)
		assert_int_equal(close(opened[i]), 0);
	close(fd);
	server_close(&s);
}

/* libevent reads while it writes a response, and got what had arrived until
 * then past the guard: the rest of the request was refused as malformed. */
static void test_request_in_parts_during_a_response(void **state)
{
	server_t s;
	int fd;

	(void)state;
	server_open(&s);
	fd = client_open(&s);
	client_send(&s, fd, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
	run_for(&s, MS(50));
	client_send(&s, fd, "POST /b HTTP/1.1\r\nHost: h\r\nContent-Le");
	run_for(&s, MS(50));
	client_read_long(&s, fd);
	run_for(&s, MS(50));
	client_send(&s, fd, "ngth: 3\r\n\r\nab");
	run_for(&s, MS(50));
	client_send(&s, fd, "cGET /c HTTP/1.1\r\nHost: h\r\n\r\n");
	assert_int_equal(client_read(&s, fd, 2), 2);
	assert_string_equal(s.requests->str, " /long /b /c");
	close(fd);
	server_close(&s);
}

/* Requests beyond what is read ahead are handled in order, each once. */
static void test_pipelined_requests_keep_their_order(void **state)
{
	g_autoptr(GString) text =
		g_string_new("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
	g_autoptr(GString) expected = g_string_new(" /long");
	server_t s;
	int fd;

	(void)state;
	server_open(&s);
	fd = client_open(&s);
	for (int i = 0; i < 2000; i++) {
		g_string_append_printf(
			text, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i);
		g_string_append_printf(expected, " /%d", i);
	}
	client_send(&s, fd, text->str);
	run_for(&s, MS(50));
	assert_int_equal(client_read(&s, fd, 2001), 2001);
	assert_string_equal(s.requests->str, expected->str);
	close(fd);
	server_close(&s);
}

static double bytes_held(const server_t *s)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const char *line;

	bh_http_guard_metrics(&s->rt, text);
	line = strstr(text->str, "boragehold_http_bytes_held ");
	assert_non_null(line);
	return g_ascii_strtod(strchr(line, ' '), NULL);
}

/* A body counted until the response, also where the handler waits for the store
 * and holds less, so that other requests were refused for it. */
static void test_body_that_was_taken_does_not_count(void **state)
{
	g_autofree char *body = g_strnfill(500000, 'x');
	g_autofree char *text = g_strconcat("POST /held HTTP/1.1\r\nHost: h\r\n"
					    "Content-Length: 500000\r\n\r\n",
					    body, NULL);
	server_t s;
	int fd;

	(void)state;
	server_open(&s);
	fd = client_open(&s);
	client_send(&s, fd, text);
	run_for(&s, MS(100));
	assert_non_null(s.held);
	assert_true(bytes_held(&s) > 1000);
	assert_true(bytes_held(&s) < 2000);
	evhttp_send_reply(s.held, 200, "OK", NULL);
	assert_int_equal(client_read(&s, fd, 1), 1);
	assert_true(bytes_held(&s) == 0);
	close(fd);
	server_close(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_descriptor_is_reused_after_close),
		cmocka_unit_test(test_descriptor_is_closed_once),
		cmocka_unit_test(test_request_in_parts_during_a_response),
		cmocka_unit_test(test_pipelined_requests_keep_their_order),
		cmocka_unit_test(test_body_that_was_taken_does_not_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
