/*
 * Small fakes round the cores of entries and agents: connections, runners and
 * the table service, on a paused clock. A test schedules load, injects faults
 * at named steps, and checks the runners' log afterwards.
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

/* Where a fault can strike. */
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
 * struct world_call - a caller's request and what became of it
 * @answers: how often the caller was answered
 * @is_cut: its entry died before the answer
 * @runs: how often a runner ran it
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
 * struct world_config - what to build
 * @service_us: slot time of every runner
 * @trace: where the session is written, or NULL
 * @n_agents: agents, each with a runner; 0 for WORLD_AGENTS
 * @n_zones: availability zones, dealt out in turn; 0 for two
 * @local_delay_us: one way inside a zone; 0 for WORLD_DELAY_US everywhere
 * @report_lag_us: by this much the loads are older that an entry is told
 * @is_exponential: slot times are drawn, with service_us as their mean
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
 * world_run() - let time pass
 */
void world_run(world_t *world, bh_usec_t duration);

/**
 * world_call() - a caller sends a request now
 * @key: idempotency key or NULL
 */
world_call_t *world_call(world_t *world, int entry, bool idempotent,
			 const char *key, bh_class_t cls, bh_usec_t budget);

/**
 * world_arm() - strike with a fault when a step happens for the n-th time
 */
void world_arm(world_t *world, world_step_t step, int nth, world_fault_t fault);
bool world_is_injected(const world_t *world);

/**
 * world_inject() - strike now, at the given agent and entry
 */
void world_inject(world_t *world, world_fault_t fault, int entry, int agent);
void world_drain_agent(world_t *world, int agent);
void world_drain_entry(world_t *world, int entry);
void world_set_service_us(world_t *world, int runner, bh_usec_t service_us);

/**
 * world_set_load() - begin a stream of calls at random times
 * @rate: calls a second over all entries; 0 ends it
 * @budget: deadline of each call
 */
void world_set_load(world_t *world, double rate, bh_usec_t budget);

/**
 * world_on_answer() - hear of each answered call
 */
void world_on_answer(world_t *world,
		     void (*cb)(void *ctx, const world_call_t *call),
		     void *ctx);

bh_entry_t *world_entry(world_t *world, int entry);
bh_agent_t *world_agent(world_t *world, int agent);
GPtrArray *world_calls(world_t *world);
int world_slots_exceeded(const world_t *world);

/**
 * world_check() - the invariants that must always hold
 *
 * Return: NULL, or newly allocated text that says what is broken.
 */
char *world_check(world_t *world);

#endif
