/*
 * Datagrams between processes, one frame each: announcements and changes of
 * configuration. They may be lost: announcements repeat, changes are also
 * polled.
 */
#ifndef BH_DAEMON_UDP_H
#define BH_DAEMON_UDP_H

#include "core/msg.h"

#include <event2/event.h>

#define BH_UDP_MAX_BYTES 8192

typedef struct bh_udp bh_udp_t;
typedef void (*bh_udp_cb_t)(void *ctx, const bh_msg_t *msg);

/**
 * bh_udp_open() - bind to "IP:PORT"
 *
 * Return: NULL if the address is invalid or cannot be bound.
 */
bh_udp_t *bh_udp_open(struct event_base *base, const char *address,
		      bh_udp_cb_t cb, void *ctx);
void bh_udp_close(bh_udp_t *udp);
void bh_udp_send(bh_udp_t *udp, const char *address, const bh_msg_t *msg);

/**
 * bh_udp_garbage() - number of malformed datagrams received
 */
uint64_t bh_udp_garbage(const bh_udp_t *udp);

#endif
