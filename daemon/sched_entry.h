/*
 * An entry: accepts jobs over HTTP and confirms them once they are stored,
 * answers queries of their state, and leads while it is elected.
 */
#ifndef BH_DAEMON_SCHED_ENTRY_H
#define BH_DAEMON_SCHED_ENTRY_H

#include "daemon/runtime.h"

typedef struct bh_sched_entry bh_sched_entry_t;

/**
 * bh_sched_entry_start() - open the sockets and begin
 *
 * Return: NULL, after a log line, when an address cannot be used.
 */
bh_sched_entry_t *bh_sched_entry_start(bh_runtime_t *rt);
void bh_sched_entry_free(bh_sched_entry_t *e);

/**
 * bh_sched_entry_drain() - fail readiness checks, resign as leader, answer the
 * requests in flight and exit
 */
void bh_sched_entry_drain(bh_sched_entry_t *e);

#endif
