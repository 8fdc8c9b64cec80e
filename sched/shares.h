/*
 * Allocation of capacity when demand exceeds it.
 *
 * Load pattern: after a loss of all processes, or in a burst, everything waits
 * at the same time. What a caller loses per further second of delay, relative
 * to the processor time that ends its wait, decides who goes first.
 */
#ifndef BH_SCHED_SHARES_H
#define BH_SCHED_SHARES_H

#include "core/types.h"

/* A serving task has to run within 6 s if twice the capacity that it needs is
 * free. The rest of this time is for its start, which takes up to 2 s, and for
 * one start that is refused or gets no answer. */
#define BH_SERVING_DEFERRED_MS 2000

/**
 * bh_shares_defers_serving() - whether the serving tasks of a step rank after
 * other tasks of the same priority
 * @waited_ms: time for which one of them has waited
 *
 * They request the most processor time and lose least per second and core.
 */
bool bh_shares_defers_serving(int64_t waited_ms);

#endif
