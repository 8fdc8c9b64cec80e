/*
 * The cell's leadership in one agent: carries the decisions of core/cell.h
 * to the table service.
 */
#ifndef BH_DAEMON_LEADER_H
#define BH_DAEMON_LEADER_H

#include "core/cell.h"
#include "daemon/runtime.h"
#include "platform/table.h"

typedef struct bh_leader bh_leader_t;

/**
 * struct bh_leader_ops - what the owner does
 * @send: orders to a member
 * @leader_found: frame address of the cell's leader, as the row says
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
 * bh_leader_poll() - look for changed records, while leading
 */
void bh_leader_poll(bh_leader_t *leader);
void bh_leader_tick(bh_leader_t *leader, bh_usec_t now);

#endif
