/*
 * Datagrams between processes: announcements and hints that configuration
 * changed. One frame a datagram; a lost one is made good by the next.
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
 * Return: NULL when the address is taken.
 */
bh_udp_t *bh_udp_open(struct event_base *base, const char *address,
		      bh_udp_cb_t cb, void *ctx);
void bh_udp_close(bh_udp_t *udp);
void bh_udp_send(bh_udp_t *udp, const char *address, const bh_msg_t *msg);
uint64_t bh_udp_garbage(const bh_udp_t *udp);

#endif
