/*
 * Small fakes round the cores of one cell: agents that may each lead, their
 * workers, and the table service, on a paused clock. The workers' log shows
 * what ran where; the invariants are checked while it is written.
 */
#ifndef BH_TESTS_CELLWORLD_H
#define BH_TESTS_CELLWORLD_H

#include "core/cell.h"
#include "core/taskhost.h"

#include "core/hist.h"

#include <stdio.h>

#define CELL_AGENTS_MAX 32
#define CELL_SERVICE_US 1000

typedef struct cellworld cellworld_t;

/* Where a fault can strike. */
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
	CELL_FAULT_LOSE_HOST, /* agent and worker; replaced, empty */
	CELL_FAULT_FREEZE_LEADER,
	CELL_FAULT_FREEZE_AGENT,
	CELL_FAULT_CUT_AGENT,  /* from the leader, both ways */
	CELL_FAULT_CUT_LEADER, /* from all members */
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
 * struct cellworld_config - what to build
 * @placement: policy, NULL for "interference"
 * @usage_lag_us: age of what a report says of the services
 * @run_spread: real run times are the declared ones times a random factor
 *	between 1/spread and spread; 0 or 1 for exact
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
 * cellworld_add_job() - accept a job record; the spec's name is copied
 */
void cellworld_add_job(cellworld_t *world, const bh_job_spec_t *spec);
void cellworld_cancel(cellworld_t *world, const char *name);

void cellworld_arm(cellworld_t *world, cell_step_t step, int nth,
		   cell_fault_t fault, bh_usec_t duration);
/**
 * cellworld_inject() - strike now
 * @duration: of what passes; below 0 a lost host is not replaced
 */
void cellworld_inject(cellworld_t *world, cell_fault_t fault, int agent,
		      bh_usec_t duration);
bool cellworld_is_injected(const cellworld_t *world);

/* Index of the leader, -1 without one. */
int cellworld_leader(cellworld_t *world);
bh_cell_t *cellworld_cell(cellworld_t *world, int agent);
int cellworld_count(cellworld_t *world, bh_outcome_t outcome);
int cellworld_running(cellworld_t *world);
int cellworld_frozen(cellworld_t *world);
uint64_t cellworld_commits(const cellworld_t *world);
int cellworld_starts(const cellworld_t *world, const char *id);
bh_usec_t cellworld_first_start(const cellworld_t *world, const char *id);

/**
 * cellworld_interfere() - let a job's tasks slow the services beside them
 * @per_cpu: slowdown per processor
 */
void cellworld_interfere(cellworld_t *world, const char *job, double per_cpu);

/**
 * cellworld_slowdown() - slowdown of all services over time, in thousandths
 */
const bh_hist_t *cellworld_slowdown(const cellworld_t *world);

/* Work that was done again after an eviction or a loss. */
bh_usec_t cellworld_wasted(const cellworld_t *world);
void cellworld_reset_stats(cellworld_t *world);

/**
 * cellworld_check() - what must always hold, and that every task has ended
 *
 * Return: NULL, or newly allocated text that says what is broken.
 */
char *cellworld_check(cellworld_t *world);

#endif
