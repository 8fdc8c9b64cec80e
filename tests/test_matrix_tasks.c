/*
 * The fault matrix of tasks: every fault at every step, then random faults
 * over many seeds, on the cores of one cell with a paused clock. Usage:
 *   test_matrix_tasks [STEP FAULT SEED]   replays one cell with a trace
 *   test_matrix_tasks random SEED         replays one random run
 * BH_SEEDS sets the number of random runs.
 */
#include "tests/cellworld.h"
#include "tests/test.h"

#include <stdlib.h>

#define SEEDS	     3
#define RANDOM_SEEDS 300
#define AGENTS	     5
#define LEASE	     MS(3000)
#define TERM	     MS(2000)

typedef struct cell {
	cell_step_t step;
	cell_fault_t fault;
	uint32_t seed;
} cell_t;

static cellworld_t *build(uint32_t seed, FILE *trace)
{
	cellworld_config_t config = {
		.seed = seed,
		.n_agents = AGENTS,
		.capacity = {.cpu_milli = 4000, .mem_mb = 8000, .accel = 1},
		.lease_us = LEASE,
		.term_us = TERM,
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
		cellworld_job(w, &jobs[i]);
}

static char *finish(cellworld_t *w)
{
	char *broken;

	for (int i = 0; i < 60; i++) {
		g_autofree char *unfinished = NULL;

		cellworld_run(w, MS(1000));
		unfinished = cellworld_check(w);
		if (!unfinished)
			break;
	}
	broken = cellworld_check(w);
	cellworld_free(w);
	return broken;
}

static int most_nth(cell_step_t step)
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

static char *run_cell(const cell_t *cell, FILE *trace, bool *has_struck)
{
	cellworld_t *w = build(cell->seed, trace);
	GRand *rand = g_rand_new_with_seed(cell->seed);
	int nth = 1 + g_rand_int_range(rand, 0, most_nth(cell->step));

	g_rand_free(rand);
	if (cell->step != CELL_STEP_JOB_ACCEPTED)
		cellworld_run(w, MS(1000));
	cellworld_arm(w, cell->step, nth, cell->fault, LEASE + MS(1500));
	add_jobs(w);
	cellworld_run(w, MS(2500));
	cellworld_cancel(w, "cancelled");
	cellworld_run(w, MS(12000));
	*has_struck = cellworld_has_struck(w);
	return finish(w);
}

static void test_step(void **state)
{
	cell_step_t step = (cell_step_t)(intptr_t)*state;
	int broken_cells = 0;
	int struck = 0;

	for (int fault = 1; fault < CELL_FAULT_COUNT; fault++) {
		for (uint32_t seed = 1; seed <= SEEDS; seed++) {
			cell_t cell = {step, (cell_fault_t)fault, seed};
			bool has_struck;
			g_autofree char *broken =
				run_cell(&cell, NULL, &has_struck);

			struck += has_struck;
			if (!broken)
				continue;
			broken_cells++;
			print_error("%s at %s, seed %u: %s\n",
				    cell_fault_names[fault],
				    cell_step_names[step], seed, broken);
		}
	}
	assert_int_equal(broken_cells, 0);
	/* A cell whose fault never struck proves nothing. */
	assert_true(struck > (CELL_FAULT_COUNT - 1) * SEEDS * 3 / 4);
}

static char *run_random(uint32_t seed, FILE *trace)
{
	cellworld_t *w = build(seed, trace);
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
	return finish(w);
}

static void test_random(void **state)
{
	const char *text = getenv("BH_SEEDS");
	uint32_t seeds = text ? (uint32_t)atoi(text) : RANDOM_SEEDS;
	int broken_runs = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= seeds; seed++) {
		g_autofree char *broken = run_random(seed, NULL);

		if (!broken)
			continue;
		broken_runs++;
		print_error("random, seed %u: %s\n", seed, broken);
	}
	assert_int_equal(broken_runs, 0);
}

static int replay(char **argv)
{
	g_autofree char *broken = NULL;
	bool has_struck;

	if (strcmp(argv[1], "random") == 0) {
		broken = run_random((uint32_t)atoi(argv[2]), stdout);
	} else {
		cell_t cell = {
			.step = (cell_step_t)find_name(
				cell_step_names, CELL_STEP_COUNT, argv[1]),
			.fault = (cell_fault_t)find_name(
				cell_fault_names, CELL_FAULT_COUNT, argv[2]),
			.seed = (uint32_t)atoi(argv[3]),
		};

		broken = run_cell(&cell, stdout, &has_struck);
	}
	printf("%s\n", broken ? broken : "all invariants hold");
	return broken != NULL;
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
