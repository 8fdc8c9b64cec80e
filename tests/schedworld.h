/*
 * Simulation of a cluster around the job scheduler: workers with leases,
 * fencing and lists of tasks, agents that relay orders and reports, a store for
 * jobs and progress, and a succession of leaders. Time is simulated. The
 * scheduler's guarantees are checked on the side of the workers.
 */
#ifndef BH_TESTS_SCHEDWORLD_H
#define BH_TESTS_SCHEDWORLD_H

#include "sched/sched.h"

#define SW_WORKERS 6

typedef struct sw_world sw_world_t;

/**
 * enum sw_fault - faults that can be injected; those of a leader or the store
 * concern all workers, the others one worker
 * @SW_LEADER_KILL: the leader exits, and no other is elected meanwhile
 * @SW_LEADER_PARTITIONED: the leader does not reach the store, until another is
 *	elected
 * @SW_WORKER_CRASH: the worker is down, and restarts afterwards
 * @SW_WORKER_UNREACHABLE: the worker runs, but does not answer its agent
 * @SW_AGENT_DISCONNECTED: the agent has no connection to the leader
 * @SW_AGENT_RESTART: the same, and the agent forgets what it knew
 * @SW_STORE_DOWN: the store takes no writes
 * @SW_STORE_LOSES_ANSWERS: a third of the writes is stored, but not answered
 * @SW_ORDERS_LOST: half of the orders has an unknown outcome; half of these are
 *	carried out
 * @SW_ORDERS_LATE: a third of the orders has an unknown outcome at first, and
 *	arrives seconds later, also at a later process of the worker; a third of
 *	the starts does so and is repeated at once
 * @SW_ORDERS_SLOW: orders are carried out when the agent tries again
 * @SW_ANSWERS_LOST: a start's answer is lost; the agent's next try is answered
 * @SW_WORKER_FAILS_ALL: all tasks that start on the worker fail
 * @SW_TASKS_STALL: the worker's tasks make no progress
 * @SW_WORKER_DRAINS: the worker is draining, and restarts afterwards
 * @SW_ROOM_SHRINKS: the worker has a quarter of its processors and memory
 * @SW_POLLS_LATE: half of the agents' polls get no answer and are carried out 2
 *	to 12 s later, also by a later process of the worker; in the one that
 *was polled the time of the lease that they grant counts from then on
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
	SW_ROOM_SHRINKS,
	SW_POLLS_LATE,
	SW_FAULTS,
} sw_fault_t;

extern const char *const sw_fault_names[SW_FAULTS];

/**
 * enum sw_disabled - a safety mechanism that a test may disable
 * @SW_ALL_ON: none is disabled
 * @SW_NO_RECOVERY_WAIT: a new leader does not wait for leases that an earlier
 *	one granted
 * @SW_EARLY_ACK: ends are acknowledged before their results are stored
 * @SW_NO_LATE_STARTS: agents do not report starts that got no answer
 * @SW_NO_PROCESS_TOKENS: fencing tokens are those of the term alone
 * @SW_NO_INHERITED_LEASE: agents take a process to hold no longer lease than a
 *	leader grants
 */
typedef enum sw_disabled {
	SW_ALL_ON,
	SW_NO_RECOVERY_WAIT,
	SW_EARLY_ACK,
	SW_NO_LATE_STARTS,
	SW_NO_PROCESS_TOKENS,
	SW_NO_INHERITED_LEASE,
} sw_disabled_t;

sw_world_t *sw_new(uint32_t seed, sw_disabled_t disabled);
void sw_free(sw_world_t *w);

/**
 * sw_submit() - store a job and pass it to the leader
 * @steps: number of steps, each of which depends on the one before
 * @count: tasks of each step
 * @ms: run time of a task
 * @flags: letters: c checkpointing, s speculative, l long-running, f filler,
 *	g gang, m much memory; fillers have a lower priority
 */
void sw_submit(sw_world_t *w, const char *id, uint32_t steps, uint32_t count,
	       uint32_t cpu_milli, uint32_t ms, const char *flags);
void sw_cancel(sw_world_t *w, const char *id);

/**
 * sw_poison() - let all tasks of a job fail
 */
void sw_poison(sw_world_t *w, const char *id);

/**
 * sw_deadly() - let a task crash each worker on which it starts
 * @task: its full name
 * @after_ms: time from its start to the crash
 */
void sw_deadly(sw_world_t *w, const char *task, int after_ms);

/**
 * sw_cut_off_crashed() - let agents lose their connection to the leader when a
 * task crashes their workers, for longer than a lease
 */
void sw_cut_off_crashed(sw_world_t *w);

/**
 * sw_restart_agent_of_crashed() - let agents restart with the workers that a
 * task crashes
 */
void sw_restart_agent_of_crashed(sw_world_t *w);

/**
 * sw_kill_agents_with_late_orders() - let agents be killed 20 ms to 1.5 s after
 * they have passed on an order that is late
 */
void sw_kill_agents_with_late_orders(sw_world_t *w);

/**
 * sw_crashes() - number of workers that tasks have crashed
 */
uint32_t sw_crashes(const sw_world_t *w);

/**
 * sw_fault() - inject a fault for a time
 * @worker: index of the worker concerned; ignored for faults that concern all
 */
void sw_fault(sw_world_t *w, sw_fault_t fault, int worker, bh_usec_t for_us);

/**
 * sw_extend_lease() - a delayed grant reaches the worker, which counts its time
 * from then on
 */
void sw_extend_lease(sw_world_t *w, int worker, bh_usec_t us);

/**
 * sw_advance() - advance the simulated time
 */
void sw_advance(sw_world_t *w, bh_usec_t us);
bh_job_state_t sw_state(sw_world_t *w, const char *id);

/**
 * sw_may_fail() - whether two workers have ended under a task of the job, so
 * that it may be given up
 */
bool sw_may_fail(sw_world_t *w, const char *id);

/**
 * sw_running() - number of running attempts at tasks of a job
 */
uint32_t sw_running(sw_world_t *w, const char *id);

/**
 * sw_serve() - set the tail latency of all long-running tasks
 * @base_ms: tail latency without fillers
 * @filler_interference: increase relative to @base_ms if fillers use a whole
 *	host
 */
void sw_serve(sw_world_t *w, const char *id, uint32_t base_ms,
	      double filler_interference);

/**
 * sw_pace_of() - pace of the first running task of a job that is found; 100 if
 * none runs
 */
uint32_t sw_pace_of(sw_world_t *w, const char *id);
bh_sched_t *sw_sched(sw_world_t *w);

/**
 * sw_violation() - the first guarantee that was violated, or NULL
 */
const char *sw_violation(const sw_world_t *w);

#endif
