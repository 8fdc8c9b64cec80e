/*
 * A group of clients that overload an HTTP listener. All of them connect, send
 * what their kind says and stay connected until this process is ended.
 *
 * Usage: standin-crowd KIND IP:PORT HOST PATH COUNT
 *
 * Prints "settled" once no client has made progress for a second, or all were
 * closed by the server; slow clients count as settled when all have connected.
 */
#include "platform/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Legal size of a body, see max_body_bytes. */
#define BODY_BYTES	1048576
#define OVERSIZE_BYTES	(8 * BODY_BYTES)
#define PIECE_BYTES	65536
#define SMALL_BYTES	512
#define CHUNK_BYTES	64
#define FIELDS		8000
#define PIPELINED	2000
#define RCVBUF_BYTES	4096
#define SETTLED_MS	1000
#define SLOW_ROUND_MS	100
#define READ_BYTES	65536
#define SLOW_READ_BYTES 1

/**
 * struct script - what each client of a kind does
 * @text: the bytes to send
 * @piece: bytes of one write
 * @round_ms: pause between rounds over all clients
 * @read: bytes read in a round; 0: nothing is read
 */
typedef struct script {
	GString *text;
	size_t piece;
	int round_ms;
	size_t read;
} script_t;

typedef struct client {
	int fd;
	size_t sent;
} client_t;

static void add_head(GString *s, const char *method, const char *host,
		     const char *path, const char *length)
{
	g_string_append_printf(s, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n",
			       method, path, host, length);
}

static void add_fill(GString *s, size_t n)
{
	size_t at = s->len;

	g_string_set_size(s, at + n);
	memset(s->str + at, ' ', n);
}

static void add_body(GString *s, const char *host, const char *path,
		     size_t declared, size_t sent)
{
	g_autofree char *length =
		g_strdup_printf("Content-Length: %zu\r\n", declared);

	add_head(s, "POST", host, path, length);
	add_fill(s, sent);
}

/* Without the last chunk. */
static void add_chunks(GString *s, const char *host, const char *path,
		       size_t total, size_t chunk)
{
	add_head(s, "POST", host, path, "Transfer-Encoding: chunked\r\n");
	for (size_t done = 0; done < total; done += chunk) {
		g_string_append_printf(s, "%zx\r\n", chunk);
		add_fill(s, chunk);
		g_string_append(s, "\r\n");
	}
}

/* A complete body: one object of short members. */
static void add_members(GString *s, const char *host, const char *path)
{
	g_autoptr(GString) body = g_string_new("{\"0\":1");

	for (unsigned i = 1; body->len < BODY_BYTES - 16; i++)
		g_string_append_printf(body, ",\"%x\":1", i);
	g_string_append_c(body, '}');
	add_fill(body, BODY_BYTES - body->len);
	add_body(s, host, path, body->len, 0);
	g_string_append_len(s, body->str, (gssize)body->len);
}

static void add_fields(GString *s, const char *host, const char *path)
{
	add_head(s, "GET", host, path, "");
	g_string_truncate(s, s->len - 2);
	for (int i = 0; i < FIELDS; i++)
		g_string_append(s, "a:\r\n");
}

static void add_pipelined(GString *s, const char *host, const char *path)
{
	for (int i = 0; i < PIPELINED; i++)
		add_head(s, "GET", host, path, "");
}

static bool script_init(script_t *sc, const char *kind, const char *host,
			const char *path)
{
	GString *s = g_string_new(NULL);

	*sc = (script_t){s, PIECE_BYTES, 0, READ_BYTES};
	if (strcmp(kind, "stop-short") == 0) {
		add_body(s, host, path, BODY_BYTES, BODY_BYTES - 1);
	} else if (strcmp(kind, "small-pieces") == 0) {
		add_body(s, host, path, BODY_BYTES, BODY_BYTES - 1);
		sc->piece = SMALL_BYTES;
	} else if (strcmp(kind, "chunked") == 0) {
		add_chunks(s, host, path, BODY_BYTES - CHUNK_BYTES,
			   CHUNK_BYTES);
	} else if (strcmp(kind, "oversize") == 0) {
		add_body(s, host, path, (size_t)1 << 30, OVERSIZE_BYTES);
	} else if (strcmp(kind, "oversize-chunked") == 0) {
		add_chunks(s, host, path, OVERSIZE_BYTES, PIECE_BYTES);
	} else if (strcmp(kind, "members") == 0) {
		add_members(s, host, path);
	} else if (strcmp(kind, "fields") == 0) {
		add_fields(s, host, path);
	} else if (strcmp(kind, "pipelined") == 0) {
		add_pipelined(s, host, path);
		sc->read = 0;
	} else if (strcmp(kind, "slow-send") == 0) {
		add_body(s, host, path, BODY_BYTES, BODY_BYTES - 1);
		sc->piece = 1;
		sc->round_ms = SLOW_ROUND_MS;
	} else if (strcmp(kind, "slow-read") == 0) {
		add_pipelined(s, host, path);
		sc->read = SLOW_READ_BYTES;
		sc->round_ms = SLOW_ROUND_MS;
	} else if (strcmp(kind, "halfway") == 0) {
		add_head(s, "GET", host, path, "");
		g_string_truncate(s, s->len / 2);
	} else if (strcmp(kind, "silent") != 0) {
		return false;
	}
	return true;
}

static int connect_to(const struct sockaddr_in *to, bool is_reading)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	int on = 1;
	int size = RCVBUF_BYTES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!is_reading)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (fd >= 0 &&
	    connect(fd, (const struct sockaddr *)to, sizeof(*to)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void client_close(client_t *c)
{
	close(c->fd);
	c->fd = -1;
}

/* Return: whether the client made progress. */
static bool client_step(client_t *c, const script_t *sc, char *buf)
{
	size_t left = sc->text->len - c->sent;
	bool is_progress = false;
	ssize_t n;

	if (c->fd < 0)
		return false;
	if (left) {
		n = send(c->fd, sc->text->str + c->sent, MIN(left, sc->piece),
			 MSG_NOSIGNAL);
		if (n > 0) {
			c->sent += (size_t)n;
			is_progress = true;
		} else if (n < 0 && errno != EAGAIN && errno != ENOTCONN) {
			client_close(c);
			return true;
		}
	}
	if (sc->read) {
		n = recv(c->fd, buf, sc->read, 0);
		if (n > 0)
			return true;
		if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN)) {
			client_close(c);
			return true;
		}
	}
	return is_progress;
}

int main(int argc, char **argv)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	g_autofree char *buf = g_malloc(READ_BYTES);
	g_autofree char *ip = NULL;
	uint16_t port;
	script_t sc;
	client_t *clients;
	int n;
	gint64 moved_at;
	bool is_settled = false;

	if (argc != 6 || !bh_address_parse(argv[2], &ip, &port) ||
	    !script_init(&sc, argv[1], argv[3], argv[4])) {
		fprintf(stderr,
			"usage: standin-crowd KIND IP:PORT HOST PATH COUNT\n");
		return 2;
	}
	to.sin_port = htons(port);
	inet_pton(AF_INET, ip, &to.sin_addr);
	n = (int)g_ascii_strtoll(argv[5], NULL, 10);
	clients = g_new0(client_t, (gsize)n);
	for (int i = 0; i < n; i++)
		clients[i].fd = connect_to(&to, sc.read > SLOW_READ_BYTES);
	moved_at = g_get_monotonic_time();
	for (;;) {
		bool is_moving = false;

		for (int i = 0; i < n; i++)
			is_moving |= client_step(&clients[i], &sc, buf);
		if (is_moving && !sc.round_ms)
			moved_at = g_get_monotonic_time();
		if (!is_settled &&
		    g_get_monotonic_time() - moved_at >
			    SETTLED_MS * G_TIME_SPAN_MILLISECOND) {
			is_settled = true;
			puts("settled");
			fflush(stdout);
		}
		if (!is_moving || sc.round_ms)
			g_usleep((gulong)(sc.round_ms ? sc.round_ms : 20) *
				 1000);
	}
}
