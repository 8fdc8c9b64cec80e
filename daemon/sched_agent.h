/*
 * The agent of a worker, on the same host, and the only process that calls it.
 * It receives the worker's announcements, extends its lease as the leader
 * grants it, passes on the leader's orders and reports the worker's lists.
 */
#ifndef BH_DAEMON_SCHED_AGENT_H
#define BH_DAEMON_SCHED_AGENT_H

#include "daemon/runtime.h"

typedef struct bh_sched_agent bh_sched_agent_t;

/**
 * bh_sched_agent_start() - listen and register
 *
 * Return: NULL, after a log line, when an address cannot be used.
 */
bh_sched_agent_t *bh_sched_agent_start(bh_runtime_t *rt);
void bh_sched_agent_free(bh_sched_agent_t *a);

/**
 * bh_sched_agent_drain() - exit once orders in flight have finished
 */
void bh_sched_agent_drain(bh_sched_agent_t *a);

#endif
