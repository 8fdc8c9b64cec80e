/*
 * Simulation of entries and agents with fake connections, runners and table
 * service and a simulated clock. A test generates load, injects faults at named
 * steps, and checks invariants of the calls afterwards.
 */
#ifndef BH_TESTS_WORLD_H
#define BH_TESTS_WORLD_H

#include "core/agent.h"
#include "core/claims.h"
#include "core/entry.h"

#include <stdio.h>

#define WORLD_ENTRIES	 2
#define WORLD_AGENTS	 3
#define WORLD_AGENTS_MAX 16
#define WORLD_SERVICE	 "roster"
#define WORLD_SLOTS	 4
#define WORLD_DELAY_US	 1000
#define WORLD_ZONES_MAX	 8

typedef struct world world_t;

/* Steps at which a fault can be injected. */
typedef enum world_step {
	STEP_ENTRY_ACCEPTS,
	STEP_FRAME_SENT,
	STEP_AGENT_ADMITS,
	STEP_RUNNER_CALLED,
	STEP_RUNNER_DONE,
	STEP_AGENT_ANSWERS,
	STEP_ENTRY_ANSWERS,
	STEP_ACKNOWLEDGED,
	STEP_HEARTBEAT,
	STEP_ANNOUNCEMENT,
	STEP_DRAIN,
	STEP_COUNT,
} world_step_t;

typedef enum world_fault {
	FAULT_NONE,
	FAULT_KILL_ENTRY,
	FAULT_KILL_AGENT,
	FAULT_KILL_RUNNER,
	FAULT_FREEZE_ENTRY,
	FAULT_FREEZE_AGENT,
	FAULT_FREEZE_RUNNER,
	FAULT_CUT,
	FAULT_SILENT_TO_AGENT,
	FAULT_SILENT_TO_ENTRY,
	FAULT_SILENT_BOTH,
	FAULT_STALL_TO_AGENT,
	FAULT_DELAY,
	FAULT_REORDER,
	FAULT_DUPLICATE,
	FAULT_DROP_ANNOUNCEMENTS,
	FAULT_STORE_DOWN,
	FAULT_STORE_SLOW,
	FAULT_STORE_LOSES_ANSWERS,
	FAULT_COUNT,
} world_fault_t;

extern const char *const world_step_names[STEP_COUNT];
extern const char *const world_fault_names[FAULT_COUNT];

/**
 * struct world_call - a caller's request and its outcome
 * @id: index of the call; that of the first call for calls with the same key
 * @answers: number of answers to the caller
 * @is_cut: its entry was down or frozen when it was sent, or was killed before
 *	the answer
 * @has_own_answer: the answer's body belongs to this call
 * @runs: number of runs by runners
 */
typedef struct world_call {
	int id;
	int entry;
	bool idempotent;
	char *key;
	bh_class_t cls;
	bh_usec_t sent_at;
	bh_usec_t deadline;
	bh_usec_t answered_at;
	int answers;
	bool is_cut;
	bool has_own_answer;
	bh_verdict_t verdict;
	bh_reason_t reason;
	uint32_t status;
	int runs;
} world_call_t;

/**
 * struct world_config - parameters of a simulation
 * @service_us: service time of each runner
 * @trace: file that events are written to, or NULL
 * @n_agents: number of agents, each with a runner; 0 for WORLD_AGENTS
 * @n_zones: number of availability zones, assigned in turn; 0 for two
 * @local_delay_us: one-way delay inside a zone; 0 for WORLD_DELAY_US everywhere
 * @remote_delay_us: one-way delay between zones, if @local_delay_us is set
 * @report_lag_us: age of the loads that entries receive
 * @is_exponential: service times are exponentially distributed around their
 *	mean
 */
typedef struct world_config {
	uint32_t seed;
	bh_usec_t service_us;
	const char *policy;
	double hedge_quantile;
	FILE *trace;
	int n_agents;
	int n_zones;
	uint32_t slots;
	bh_usec_t local_delay_us;
	bh_usec_t remote_delay_us;
	bh_usec_t report_lag_us;
	bool is_exponential;
} world_config_t;

world_t *world_new(const world_config_t *config);
void world_free(world_t *world);
bh_usec_t world_now(const world_t *world);

/**
 * world_run() - advance the clock and process all events due
 */
void world_run(world_t *world, bh_usec_t duration);

/**
 * world_call() - send a caller's request now
 * @key: idempotency key or NULL
 */
world_call_t *world_call(world_t *world, int entry, bool idempotent,
			 const char *key, bh_class_t cls, bh_usec_t budget);

/**
 * world_arm() - inject a fault when a step happens for the n-th time
 */
void world_arm(world_t *world, world_step_t step, int nth, world_fault_t fault);
bool world_is_injected(const world_t *world);

/**
 * world_inject() - inject a fault now, at the given agent and entry
 */
void world_inject(world_t *world, world_fault_t fault, int entry, int agent);
void world_drain_agent(world_t *world, int agent);
void world_drain_entry(world_t *world, int entry);
void world_set_service_us(world_t *world, int runner, bh_usec_t service_us);

/**
 * world_set_load() - send calls as a Poisson process from now on
 * @rate: calls per second over all entries; 0 stops them
 * @budget: time from each call to its deadline
 */
void world_set_load(world_t *world, double rate, bh_usec_t budget);

/**
 * world_on_answer() - set the callback for answered calls
 */
void world_on_answer(world_t *world,
		     void (*cb)(void *ctx, const world_call_t *call),
		     void *ctx);

bh_entry_t *world_entry(world_t *world, int entry);
bh_agent_t *world_agent(world_t *world, int agent);
GPtrArray *world_calls(world_t *world);
int world_slots_exceeded(const world_t *world);

/**
 * world_check() - check the invariants of all calls
 *
 * Return: NULL, or a newly allocated description of a violation.
 */
char *world_check(world_t *world);

#endif
