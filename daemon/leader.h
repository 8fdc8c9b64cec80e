/*
 * An agent's part in its cell's leadership: performs the reads and commits of
 * core/cell.h at the table service.
 */
#ifndef BH_DAEMON_LEADER_H
#define BH_DAEMON_LEADER_H

#include "core/cell.h"
#include "daemon/runtime.h"
#include "platform/table.h"

typedef struct bh_leader bh_leader_t;

/**
 * struct bh_leader_ops - callbacks to the owner
 * @send: send orders to a member
 * @leader_found: the cell's row was read; @address is the frame address of
 *	the leader that it names
 */
typedef struct bh_leader_ops {
	void (*send)(void *ctx, const char *member, const bh_msg_t *orders);
	void (*leader_found)(void *ctx, const char *address);
} bh_leader_ops_t;

bh_leader_t *bh_leader_new(bh_runtime_t *rt, bh_table_t *table,
			   const bh_leader_ops_t *ops, void *ctx);
void bh_leader_free(bh_leader_t *leader);
bh_cell_t *bh_leader_cell(bh_leader_t *leader);

/**
 * bh_leader_poll() - poll for changed records; no-op unless leading
 */
void bh_leader_poll(bh_leader_t *leader);
void bh_leader_tick(bh_leader_t *leader, bh_usec_t now);

#endif
