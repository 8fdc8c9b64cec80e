/*
 * Role agent: frames to entries and to the cell's leader, HTTP to the runners
 * and the worker runtime beside it.
 */
#ifndef BH_DAEMON_AGENT_H
#define BH_DAEMON_AGENT_H

#include "daemon/runtime.h"

typedef struct bh_agent_role bh_agent_role_t;

/**
 * bh_agent_role_start() - open the sockets and begin
 *
 * Return: NULL, after a log line, when that is not possible.
 */
bh_agent_role_t *bh_agent_role_start(bh_runtime_t *rt);

/**
 * bh_agent_role_drain() - begin a graceful shutdown; the event loop ends with
 * it
 */
void bh_agent_role_drain(bh_agent_role_t *role);
void bh_agent_role_free(bh_agent_role_t *role);

#endif
