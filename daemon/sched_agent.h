/*
 * The agent beside a worker: the only process that calls it. It takes the
 * worker's announcements, holds its lease as the leader grants it, carries the
 * leader's orders out and reports what the worker says.
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
 * bh_sched_agent_drain() - end once orders under way are settled
 */
void bh_sched_agent_drain(bh_sched_agent_t *a);

#endif
