/*
 * Fault injection tests of one simulated cell: every fault at every step, then
 * random faults over many seeds. Usage:
 *   test_matrix_tasks [STEP FAULT SEED]   replays one case with a trace
 *   test_matrix_tasks random SEED         replays one random run
 * BH_SEEDS sets the number of random runs.
 */
#include "tests/cellworld.h"
#include "tests/test.h"

#include <stdlib.h>

#define SEEDS_PER_FAULT	     3
#define DEFAULT_RANDOM_SEEDS 300
#define AGENTS		     5
#define LEASE_US	     MS(3000)
#define TERM_US		     MS(2000)

typedef struct fault_case {
	cell_step_t step;
	cell_fault_t fault;
	uint32_t seed;
} fault_case_t;

static cellworld_t *new_world(uint32_t seed, FILE *trace)
{
	cellworld_config_t config = {
		.seed = seed,
		.n_agents = AGENTS,
		.capacity = {.cpu_milli = 4000, .mem_mb = 8000, .accel = 1},
		.lease_us = LEASE_US,
		.term_us = TERM_US,
		.journal_us = MS(100),
		.report_us = MS(200),
		.trace = trace,
	};

	return cellworld_new(&config);
}

static void add_jobs(cellworld_t *w)
{
	uint64_t now = cellworld_unix_ms(w);
	const bh_job_spec_t jobs[] = {
		{.name = "idempotent",
		 .n_tasks = 24,
		 .need = {1000, 1000, 0},
		 .run_ms = 1200,
		 .is_idempotent = true},
		{.name = "once",
		 .n_tasks = 12,
		 .need = {1000, 2000, 0},
		 .run_ms = 900},
		{.name = "accelerated",
		 .n_tasks = 6,
		 .need = {500, 500, 1},
		 .run_ms = 700,
		 .is_idempotent = true},
		{.name = "cancelled",
		 .n_tasks = 10,
		 .need = {1000, 1000, 0},
		 .run_ms = 4000,
		 .is_idempotent = true,
		 .priority = 2},
		{.name = "timely",
		 .n_tasks = 8,
		 .need = {1000, 1000, 0},
		 .run_ms = 1000,
		 .is_idempotent = true,
		 .deadline_unix_ms = now + 9000,
		 .priority = 1},
		{.name = "too-large",
		 .n_tasks = 2,
		 .need = {5000, 1000, 0},
		 .run_ms = 100,
		 .is_idempotent = true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(jobs); i++)
		cellworld_add_job(w, &jobs[i]);
}

static char *finish_run(cellworld_t *w)
{
	char *violation;

	for (int i = 0; i < 60; i++) {
		g_autofree char *unfinished = NULL;

		cellworld_run(w, MS(1000));
		unfinished = cellworld_check(w);
		if (!unfinished)
			break;
	}
	violation = cellworld_check(w);
	cellworld_free(w);
	return violation;
}

static int max_occurrence(cell_step_t step)
{
	switch (step) {
	case CELL_STEP_JOB_ACCEPTED:
		return 6;
	case CELL_STEP_CANCELLED:
		return 1;
	case CELL_STEP_TERM_RENEWED:
	case CELL_STEP_STOP_ORDERED:
		return 2;
	default:
		return 12;
	}
}

static char *run_case(const fault_case_t *fault_case, FILE *trace,
		      bool *is_injected)
{
	cellworld_t *w = new_world(fault_case->seed, trace);
	GRand *rand = g_rand_new_with_seed(fault_case->seed);
	int nth =
		1 + g_rand_int_range(rand, 0, max_occurrence(fault_case->step));

	g_rand_free(rand);
	if (fault_case->step != CELL_STEP_JOB_ACCEPTED)
		cellworld_run(w, MS(1000));
	cellworld_arm(w, fault_case->step, nth, fault_case->fault,
		      LEASE_US + MS(1500));
	add_jobs(w);
	cellworld_run(w, MS(2500));
	cellworld_cancel(w, "cancelled");
	cellworld_run(w, MS(12000));
	*is_injected = cellworld_is_injected(w);
	return finish_run(w);
}

static void test_step(void **state)
{
	cell_step_t step = (cell_step_t)(intptr_t)*state;
	int failed_cases = 0;
	int injected = 0;

	for (int fault = 1; fault < CELL_FAULT_COUNT; fault++) {
		for (uint32_t seed = 1; seed <= SEEDS_PER_FAULT; seed++) {
			fault_case_t fault_case = {step, (cell_fault_t)fault,
						   seed};
			bool is_injected;
			g_autofree char *violation =
				run_case(&fault_case, NULL, &is_injected);

			injected += is_injected;
			if (!violation)
				continue;
			failed_cases++;
			print_error("%s at %s, seed %u: %s\n",
				    cell_fault_names[fault],
				    cell_step_names[step], seed, violation);
		}
	}
	assert_int_equal(failed_cases, 0);
	/* A case whose fault was not injected tests nothing. */
	assert_true(injected >
		    (CELL_FAULT_COUNT - 1) * SEEDS_PER_FAULT * 3 / 4);
}

static char *run_random(uint32_t seed, FILE *trace)
{
	cellworld_t *w = new_world(seed, trace);
	GRand *rand = g_rand_new_with_seed(seed);

	cellworld_run(w, MS(g_rand_int_range(rand, 0, 3000)));
	add_jobs(w);
	for (int i = 0; i < 8; i++) {
		cell_fault_t fault = (cell_fault_t)g_rand_int_range(
			rand, 1, CELL_FAULT_FAIL_STARTS);
		int agent = g_rand_int_range(rand, 0, AGENTS);
		bh_usec_t duration = MS(g_rand_int_range(rand, 50, 6000));

		if (trace)
			fprintf(trace, "FAULT %s agent-%d for %lld ms\n",
				cell_fault_names[fault], agent,
				(long long)duration / 1000);
		cellworld_inject(w, fault, agent, duration);
		cellworld_run(w, MS(g_rand_int_range(rand, 10, 2500)));
		if (i == 3)
			cellworld_cancel(w, "cancelled");
	}
	g_rand_free(rand);
	cellworld_run(w, MS(7000));
	return finish_run(w);
}

static void test_random(void **state)
{
	const char *text = getenv("BH_SEEDS");
	uint32_t seeds = text ? (uint32_t)atoi(text) : DEFAULT_RANDOM_SEEDS;
	int failed_runs = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= seeds; seed++) {
		g_autofree char *violation = run_random(seed, NULL);

		if (!violation)
			continue;
		failed_runs++;
		print_error("random, seed %u: %s\n", seed, violation);
	}
	assert_int_equal(failed_runs, 0);
}

static int replay(char **argv)
{
	g_autofree char *violation = NULL;
	bool is_injected;

	if (strcmp(argv[1], "random") == 0) {
		violation = run_random((uint32_t)atoi(argv[2]), stdout);
	} else {
		fault_case_t fault_case = {
			.step = (cell_step_t)find_name(
				cell_step_names, CELL_STEP_COUNT, argv[1]),
			.fault = (cell_fault_t)find_name(
				cell_fault_names, CELL_FAULT_COUNT, argv[2]),
			.seed = (uint32_t)atoi(argv[3]),
		};

		violation = run_case(&fault_case, stdout, &is_injected);
	}
	printf("%s\n", violation ? violation : "all invariants hold");
	return violation != NULL;
}

int main(int argc, char **argv)
{
	struct CMUnitTest tests[CELL_STEP_COUNT + 1];

	if (argc >= 3)
		return replay(argv);
	for (int i = 0; i < CELL_STEP_COUNT; i++) {
		struct CMUnitTest test = {
			.name = cell_step_names[i],
			.test_func = test_step,
			.initial_state = (void *)(intptr_t)i,
		};

		tests[i] = test;
	}
	tests[CELL_STEP_COUNT] = (struct CMUnitTest){.name = "random faults",
						     .test_func = test_random};
	return cmocka_run_group_tests(tests, NULL, NULL);
}
