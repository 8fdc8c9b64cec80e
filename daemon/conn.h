/*
 * A framed TCP connection. It owns its socket and buffers, and hands whole
 * messages to its owner; a garbage frame closes it.
 */
#ifndef BH_DAEMON_CONN_H
#define BH_DAEMON_CONN_H

#include "core/msg.h"

#include <event2/event.h>

/* A reader this far behind is cut off rather than buffered for. */
#define BH_CONN_SEND_BUFFER_MAX_BYTES (16u << 20)

typedef struct bh_conn bh_conn_t;

/**
 * struct bh_conn_ops - what the owner hears
 * @msg: one message; the connection clears it afterwards
 * @opened: an outgoing connection is made
 * @closed: it broke; the connection is freed after the call
 *	(@is_refused: nobody listens at the other end; @error: the fact)
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
 * Return: NULL when the address cannot be used.
 */
bh_conn_t *bh_conn_dial(struct event_base *base, const char *address,
			const bh_conn_ops_t *ops, void *ctx);

/**
 * bh_conn_accept() - take over an accepted socket
 */
bh_conn_t *bh_conn_accept(struct event_base *base, evutil_socket_t fd,
			  const bh_conn_ops_t *ops, void *ctx);

/**
 * bh_conn_free() - close without a call to @closed
 *
 * Safe inside a callback of the same connection. Bytes that the socket has not
 * taken yet are lost.
 */
void bh_conn_free(bh_conn_t *conn);
void bh_conn_send(bh_conn_t *conn, const bh_msg_t *msg);

/**
 * bh_conn_is_garbage() - whether a frame that could not be read closed it
 */
bool bh_conn_is_garbage(const bh_conn_t *conn);
void bh_conn_set_user(bh_conn_t *conn, void *user);
void *bh_conn_user(const bh_conn_t *conn);

#endif
