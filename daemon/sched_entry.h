/*
 * An entry: takes jobs from callers, stores them before it says so, answers
 * for their state, and leads when its turn comes.
 */
#ifndef BH_DAEMON_SCHED_ENTRY_H
#define BH_DAEMON_SCHED_ENTRY_H

#include "daemon/runtime.h"

typedef struct bh_sched_entry bh_sched_entry_t;

bh_sched_entry_t *bh_sched_entry_start(bh_runtime_t *rt);
void bh_sched_entry_free(bh_sched_entry_t *e);

/**
 * bh_sched_entry_drain() - leave the balancer, hand the lead on, answer what is
 * under way and end
 */
void bh_sched_entry_drain(bh_sched_entry_t *e);

#endif
