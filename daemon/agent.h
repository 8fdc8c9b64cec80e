/*
 * The agent role: exchanges frames with entries and the cell's leader, and
 * HTTP with the runners and the worker runtime on its host.
 */
#ifndef BH_DAEMON_AGENT_H
#define BH_DAEMON_AGENT_H

#include "daemon/runtime.h"

typedef struct bh_agent_role bh_agent_role_t;

/**
 * bh_agent_role_start() - open the sockets and start the timers
 *
 * Return: NULL if that fails; the error is logged.
 */
bh_agent_role_t *bh_agent_role_start(bh_runtime_t *rt);

/**
 * bh_agent_role_drain() - start a graceful shutdown
 *
 * The event loop exits when it is complete.
 */
void bh_agent_role_drain(bh_agent_role_t *role);
void bh_agent_role_free(bh_agent_role_t *role);

#endif
