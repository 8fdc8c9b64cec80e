/*
 * A framed TCP connection. It owns its socket and buffers and passes whole
 * messages to its owner; a malformed frame closes it.
 */
#ifndef BH_DAEMON_CONN_H
#define BH_DAEMON_CONN_H

#include "core/msg.h"

#include <event2/event.h>

/* A connection with more unsent data is closed. */
#define BH_CONN_SEND_BUFFER_MAX_BYTES (16u << 20)

typedef struct bh_conn bh_conn_t;

/**
 * struct bh_conn_ops - callbacks to the owner
 * @msg: a message was received; the connection clears it after the call
 * @opened: an outgoing connection was established
 * @closed: the connection failed; it is freed after the call
 *	(@is_refused: no process listens at the address; @error: description)
 */
typedef struct bh_conn_ops {
	void (*msg)(void *ctx, bh_conn_t *conn, const bh_msg_t *msg);
	void (*opened)(void *ctx, bh_conn_t *conn);
	void (*closed)(void *ctx, bh_conn_t *conn, bool is_refused,
		       const char *error);
} bh_conn_ops_t;

/**
 * bh_conn_dial() - connect to "IP:PORT"
 *
 * Return: NULL if the address is invalid or connecting fails at once.
 */
bh_conn_t *bh_conn_dial(struct event_base *base, const char *address,
			const bh_conn_ops_t *ops, void *ctx);

/**
 * bh_conn_accept() - take over an accepted socket
 */
bh_conn_t *bh_conn_accept(struct event_base *base, evutil_socket_t fd,
			  const bh_conn_ops_t *ops, void *ctx);

/**
 * bh_conn_free() - close without calling @closed
 *
 * Safe inside a callback of the same connection. Unsent data is discarded.
 */
void bh_conn_free(bh_conn_t *conn);
void bh_conn_send(bh_conn_t *conn, const bh_msg_t *msg);

/**
 * bh_conn_is_garbage() - whether a malformed frame closed it
 */
bool bh_conn_is_garbage(const bh_conn_t *conn);
void bh_conn_set_user(bh_conn_t *conn, void *user);
void *bh_conn_user(const bh_conn_t *conn);

#endif
