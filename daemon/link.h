/*
 * A TCP connection for the scheduler's frames. It owns its socket and buffers;
 * a malformed frame closes it.
 */
#ifndef BH_DAEMON_LINK_H
#define BH_DAEMON_LINK_H

#include "daemon/runtime.h"
#include "wire/sched_codec.h"

/* A connection on which more data than this is unsent is closed when the next
 * frame is sent. */
#define BH_LINK_SEND_BUFFER_MAX_BYTES (4u << 20)

typedef struct bh_link bh_link_t;
typedef struct bh_acceptor bh_acceptor_t;

/**
 * struct bh_link_ops - callbacks to the owner
 * @frame: a frame was received; it belongs to the link
 * @opened: an outgoing connection was established
 * @closed: the connection failed; the link is freed after the call
 *	(@is_refused: the address refused the connection; its process may live
 *	behind a partition)
 */
typedef struct bh_link_ops {
	void (*frame)(void *ctx, bh_link_t *link, const bh_frame_t *frame);
	void (*opened)(void *ctx, bh_link_t *link);
	void (*closed)(void *ctx, bh_link_t *link, bool is_refused);
} bh_link_ops_t;

/**
 * bh_link_dial() - connect to "IP:PORT"
 *
 * Return: NULL if the address is invalid or connecting fails at once.
 */
bh_link_t *bh_link_dial(struct event_base *base, const char *address,
			const bh_link_ops_t *ops, void *ctx);
bh_link_t *bh_link_accept(struct event_base *base, evutil_socket_t fd,
			  const bh_link_ops_t *ops, void *ctx);

/**
 * bh_link_free() - close without calling @closed; safe inside a callback
 */
void bh_link_free(bh_link_t *link);
void bh_link_send(bh_link_t *link, const bh_frame_t *frame);
void bh_link_send_bytes(bh_link_t *link, const void *data, size_t len);
bool bh_link_is_open(const bh_link_t *link);

/**
 * bh_link_heard_at() - time of the last received frame, or of connecting
 */
bh_usec_t bh_link_heard_at(const bh_link_t *link);
void bh_link_set_user(bh_link_t *link, void *user);
void *bh_link_user(const bh_link_t *link);

/**
 * bh_link_listen() - accept links at "IP:PORT"
 *
 * Return: NULL if the address cannot be bound; the error is logged.
 */
bh_acceptor_t *bh_link_listen(bh_runtime_t *rt, const char *address,
			      const bh_link_ops_t *ops, void *ctx,
			      void (*accepted)(void *ctx, bh_link_t *link));
void bh_acceptor_free(bh_acceptor_t *acceptor);

#endif
