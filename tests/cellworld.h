/*
 * Simulation of one cell on a virtual clock: the real cell and task host code
 * with fake agents, each of which may lead, workers and table service. Starts
 * and ends of tasks are recorded, and invariants are checked at each.
 */
#ifndef BH_TESTS_CELLWORLD_H
#define BH_TESTS_CELLWORLD_H

#include "core/cell.h"
#include "core/taskhost.h"

#include "core/hist.h"

#include <stdio.h>

#define CELL_AGENTS_MAX 32
/* Service time of the simulated service without interference. */
#define CELL_SERVICE_US 1000

typedef struct cellworld cellworld_t;

/* Steps at which a fault can be injected. */
typedef enum cell_step {
	CELL_STEP_JOB_ACCEPTED,
	CELL_STEP_COMMIT_SENT,
	CELL_STEP_COMMIT_APPLIED,
	CELL_STEP_COMMIT_ANSWERED,
	CELL_STEP_START_ORDERED,
	CELL_STEP_STARTED,
	CELL_STEP_REPORTED,
	CELL_STEP_LEASE_RENEWED,
	CELL_STEP_TERM_RENEWED,
	CELL_STEP_DONE,
	CELL_STEP_STOP_ORDERED,
	CELL_STEP_OUTCOME_RECORDED,
	CELL_STEP_CANCELLED,
	CELL_STEP_COUNT,
} cell_step_t;

typedef enum cell_fault {
	CELL_FAULT_NONE,
	CELL_FAULT_KILL_LEADER,
	CELL_FAULT_KILL_AGENT,
	CELL_FAULT_LOSE_HOST, /* agent and worker; replaced by an empty one */
	CELL_FAULT_FREEZE_LEADER,
	CELL_FAULT_FREEZE_AGENT,
	CELL_FAULT_CUT_AGENT,  /* no messages to or from the leader */
	CELL_FAULT_CUT_LEADER, /* no messages to or from other members */
	CELL_FAULT_STORE_DOWN,
	CELL_FAULT_STORE_SLOW,
	CELL_FAULT_STORE_LOSES_ANSWERS,
	CELL_FAULT_DELAY_ORDERS,
	CELL_FAULT_FAIL_STARTS,
	CELL_FAULT_COUNT,
} cell_fault_t;

extern const char *const cell_step_names[CELL_STEP_COUNT];
extern const char *const cell_fault_names[CELL_FAULT_COUNT];

/**
 * struct cellworld_config - settings of the simulation
 * @placement: placement policy, NULL for "interference"
 * @usage_lag_us: age of the service times in a report
 * @run_spread: actual run times are the declared ones times a random factor
 *	between 1/spread and spread; 0 or 1 for the declared ones
 * @trace: receives a line per event, or NULL
 */
typedef struct cellworld_config {
	uint32_t seed;
	int n_agents;
	bh_resources_t capacity;
	bh_usec_t lease_us;
	bh_usec_t term_us;
	bh_usec_t journal_us;
	bh_usec_t report_us;
	const char *placement;
	bh_usec_t usage_lag_us;
	double run_spread;
	FILE *trace;
} cellworld_config_t;

cellworld_t *cellworld_new(const cellworld_config_t *config);
void cellworld_free(cellworld_t *world);
void cellworld_run(cellworld_t *world, bh_usec_t duration);
bh_usec_t cellworld_now(const cellworld_t *world);
uint64_t cellworld_unix_ms(const cellworld_t *world);

/**
 * cellworld_add_job() - store a job record; the spec's name is copied
 */
void cellworld_add_job(cellworld_t *world, const bh_job_spec_t *spec);
void cellworld_cancel(cellworld_t *world, const char *name);

/**
 * cellworld_arm() - inject a fault at the @nth occurrence of a step
 * @duration: as for cellworld_inject()
 */
void cellworld_arm(cellworld_t *world, cell_step_t step, int nth,
		   cell_fault_t fault, bh_usec_t duration);

/**
 * cellworld_inject() - inject a fault now
 * @agent: index of the affected agent; ignored by faults of leader or store
 * @duration: of a temporary fault; if below 0, a lost host is not replaced
 */
void cellworld_inject(cellworld_t *world, cell_fault_t fault, int agent,
		      bh_usec_t duration);

/**
 * cellworld_is_injected() - whether the armed fault was injected
 */
bool cellworld_is_injected(const cellworld_t *world);

/**
 * cellworld_leader() - index of the leading agent, or -1
 */
int cellworld_leader(cellworld_t *world);
bh_cell_t *cellworld_cell(cellworld_t *world, int agent);
int cellworld_count(cellworld_t *world, bh_outcome_t outcome);
int cellworld_running(cellworld_t *world);
int cellworld_frozen(cellworld_t *world);
uint64_t cellworld_commits(const cellworld_t *world);
int cellworld_starts(const cellworld_t *world, const char *id);
bh_usec_t cellworld_first_start(const cellworld_t *world, const char *id);

/**
 * cellworld_interfere() - let a job's tasks slow the services of their workers
 * @per_cpu: slowdown per processor
 */
void cellworld_interfere(cellworld_t *world, const char *job, double per_cpu);

/**
 * cellworld_slowdown() - sampled slowdowns of all workers, in thousandths
 */
const bh_hist_t *cellworld_slowdown(const cellworld_t *world);

/**
 * cellworld_wasted() - run time lost in evictions and failures
 */
bh_usec_t cellworld_wasted(const cellworld_t *world);
void cellworld_reset_stats(cellworld_t *world);

/**
 * cellworld_check() - check the invariants and that every task has an outcome
 *
 * Return: NULL, or the first violation as newly allocated text.
 */
char *cellworld_check(cellworld_t *world);

#endif
