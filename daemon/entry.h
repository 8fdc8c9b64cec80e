/*
 * Role entry: HTTP to callers and operators, frames to agents.
 */
#ifndef BH_DAEMON_ENTRY_H
#define BH_DAEMON_ENTRY_H

#include "daemon/runtime.h"

typedef struct bh_entry_role bh_entry_role_t;

/**
 * bh_entry_role_start() - open the sockets and begin
 *
 * Return: NULL, after a log line, when that is not possible.
 */
bh_entry_role_t *bh_entry_role_start(bh_runtime_t *rt);

/**
 * bh_entry_role_drain() - begin a graceful shutdown; the event loop ends with
 * it
 */
void bh_entry_role_drain(bh_entry_role_t *role);
void bh_entry_role_free(bh_entry_role_t *role);

#endif
