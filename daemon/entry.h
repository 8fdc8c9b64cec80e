/*
 * The entry role: serves HTTP to callers and operators and exchanges frames
 * with agents.
 */
#ifndef BH_DAEMON_ENTRY_H
#define BH_DAEMON_ENTRY_H

#include "daemon/runtime.h"

typedef struct bh_entry_role bh_entry_role_t;

/**
 * bh_entry_role_start() - open the sockets and start the timers
 *
 * Return: NULL if that fails; the error is logged.
 */
bh_entry_role_t *bh_entry_role_start(bh_runtime_t *rt);

/**
 * bh_entry_role_drain() - start a graceful shutdown
 *
 * The event loop exits when it is complete.
 */
void bh_entry_role_drain(bh_entry_role_t *role);
void bh_entry_role_free(bh_entry_role_t *role);

#endif
