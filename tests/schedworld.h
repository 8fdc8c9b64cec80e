/*
 * A small world for the job scheduler: workers with leases, fences and lists,
 * agents that relay, a store that keeps jobs and progress, and leaders that
 * come and go. The clock is the test's. Promises are checked from what the
 * workers see.
 */
#ifndef BH_TESTS_SCHEDWORLD_H
#define BH_TESTS_SCHEDWORLD_H

#include "sched/sched.h"

#define SW_WORKERS 6

typedef struct sw_world sw_world_t;

/**
 * enum sw_fault - what may go wrong
 */
typedef enum sw_fault {
	SW_NONE,
	SW_LEADER_KILL,
	SW_LEADER_PARTITIONED,
	SW_WORKER_CRASH,
	SW_WORKER_UNREACHABLE,
	SW_AGENT_DISCONNECTED,
	SW_AGENT_RESTART,
	SW_STORE_DOWN,
	SW_STORE_LOSES_ANSWERS,
	SW_ORDERS_LOST,
	SW_ORDERS_LATE,
	SW_ORDERS_SLOW,
	SW_ANSWERS_LOST,
	SW_WORKER_FAILS_ALL,
	SW_TASKS_STALL,
	SW_WORKER_DRAINS,
	SW_FAULTS,
} sw_fault_t;

extern const char *const sw_fault_names[SW_FAULTS];

/**
 * enum sw_disabled - a safety mechanism that a test may switch off
 * @SW_NO_RECOVERY_WAIT: a new leader does not wait for old leases
 * @SW_EARLY_ACK: ends are acknowledged before they are stored
 */
typedef enum sw_disabled {
	SW_ALL_ON,
	SW_NO_RECOVERY_WAIT,
	SW_EARLY_ACK,
} sw_disabled_t;

sw_world_t *sw_new(uint32_t seed, sw_disabled_t disabled);
void sw_free(sw_world_t *w);

/**
 * sw_submit() - store a job and tell the leader
 * @flags: letters: c checkpointing, s speculative, l lasting, f filler, g gang,
 *	m much memory; fillers have a lower priority
 */
void sw_submit(sw_world_t *w, const char *id, uint32_t steps, uint32_t count,
	       uint32_t cpu_milli, uint32_t ms, const char *flags);
void sw_cancel(sw_world_t *w, const char *id);
void sw_poison(sw_world_t *w, const char *id);
void sw_fault(sw_world_t *w, sw_fault_t fault, int worker, bh_usec_t for_us);

/**
 * sw_advance() - let time pass
 */
void sw_advance(sw_world_t *w, bh_usec_t us);
bh_job_state_t sw_state(sw_world_t *w, const char *id);
uint32_t sw_running(sw_world_t *w, const char *id);

/**
 * sw_serve() - let lasting tasks of a job show this tail
 */
void sw_serve(sw_world_t *w, const char *id, uint32_t base_ms,
	      double filler_interference);
uint32_t sw_pace_of(sw_world_t *w, const char *id);
bh_sched_t *sw_sched(sw_world_t *w);

/**
 * sw_violation() - the first promise that was broken, or NULL
 */
const char *sw_violation(const sw_world_t *w);

#endif
