/*
 * The fault matrix of requests: every fault at every step, on the cores of
 * entries and agents with a paused clock. Usage:
 *   test_matrix_requests [STEP FAULT SEED]   replays one cell with a trace
 */
#include "tests/test.h"
#include "tests/world.h"

#include <stdlib.h>

#define SEEDS	  4
#define CALLS	  90
#define KEY_RETRY MS(2500)
#define PROBES	  40
#define SETTLE	  MS(9000)

typedef struct cell {
	world_step_t step;
	world_fault_t fault;
	world_fault_t second; /* strikes shortly after the first */
	uint32_t seed;
} cell_t;

/* Pairs of faults that hide each other's traces. */
static const world_fault_t pairs[][2] = {
	{FAULT_KILL_AGENT, FAULT_KILL_RUNNER},
	{FAULT_KILL_AGENT, FAULT_KILL_ENTRY},
	{FAULT_KILL_AGENT, FAULT_STORE_DOWN},
	{FAULT_KILL_ENTRY, FAULT_STORE_LOSES_ANSWERS},
	{FAULT_SILENT_BOTH, FAULT_KILL_AGENT},
	{FAULT_SILENT_TO_ENTRY, FAULT_DUPLICATE},
	{FAULT_SILENT_TO_AGENT, FAULT_REORDER},
	{FAULT_STALL_TO_AGENT, FAULT_CUT},
	{FAULT_STALL_TO_AGENT, FAULT_KILL_ENTRY},
	{FAULT_CUT, FAULT_CUT},
	{FAULT_CUT, FAULT_KILL_RUNNER},
	{FAULT_FREEZE_AGENT, FAULT_CUT},
	{FAULT_FREEZE_ENTRY, FAULT_KILL_AGENT},
	{FAULT_DELAY, FAULT_CUT},
	{FAULT_STORE_DOWN, FAULT_STORE_LOSES_ANSWERS},
	{FAULT_STORE_SLOW, FAULT_KILL_ENTRY},
};

static void send_calls(world_t *w, GRand *rand)
{
	for (int i = 0; i < CALLS; i++) {
		g_autofree char *key =
			i % 3 == 2 ? g_strdup_printf("key-%d", i) : NULL;
		bh_usec_t budget = MS(g_rand_int_range(rand, 150, 2500));

		world_call(w, i % 2, i % 3 == 0, key,
			   (bh_class_t)(i % BH_CLASS_COUNT), budget);
		/* The same key through both entries at the same moment. */
		if (key && i % 2)
			world_call(w, 1 - i % 2, false, key, BH_CLASS_NORMAL,
				   budget);
		world_run(w, MS(g_rand_int_range(rand, 1, 10)));
		if (i == CALLS / 2)
			world_drain_agent(w, 2);
	}
}

/* Callers whose entry died try again with their key, through the other. */
static void retry_cut_calls(world_t *w)
{
	guint n = world_calls(w)->len;

	for (guint i = 0; i < n; i++) {
		world_call_t *call = g_ptr_array_index(world_calls(w), i);

		if (call->is_cut && call->key)
			world_call(w, 1 - call->entry, call->idempotent,
				   call->key, call->cls, KEY_RETRY);
	}
}

/* Long after the fault, quick checks are answered again. */
static char *check_recovery(world_t *w)
{
	char *broken = NULL;
	world_call_t *probes[PROBES];

	for (int i = 0; i < PROBES; i++) {
		probes[i] = world_call(w, i % 2, true, NULL, BH_CLASS_HIGH,
				       MS(1000));
		world_run(w, MS(20));
	}
	world_run(w, MS(1500));
	for (int i = 0; i < PROBES && !broken; i++) {
		if (probes[i]->verdict != BH_RAN || probes[i]->is_cut)
			broken = g_strdup_printf(
				"call %d after the recovery: %s, %s",
				probes[i]->id,
				bh_verdict_name(probes[i]->verdict),
				bh_reason_name(probes[i]->reason));
	}
	return broken;
}

/* Rare steps must still happen while there is load. */
static int most_nth(world_step_t step)
{
	switch (step) {
	case STEP_DRAIN:
		return 1;
	case STEP_ANNOUNCEMENT:
		return 5;
	default:
		return 30;
	}
}

static char *run_cell(const cell_t *cell, FILE *trace, bool *has_struck)
{
	world_config_t config = {
		.seed = cell->seed,
		.service_us = MS(5),
		.hedge_quantile = 0.9,
		.trace = trace,
	};
	world_t *w = world_new(&config);
	GRand *rand = g_rand_new_with_seed(cell->seed);
	char *broken;

	world_run(w, MS(1200));
	world_arm(w, cell->step,
		  1 + g_rand_int_range(rand, 0, most_nth(cell->step)),
		  cell->fault);
	send_calls(w, rand);
	if (cell->second) {
		world_run(w, MS(100));
		world_inject(w, cell->second, (int)cell->seed % WORLD_ENTRIES,
			     (int)cell->seed % WORLD_AGENTS);
	}
	world_run(w, MS(2000));
	retry_cut_calls(w);
	world_run(w, SETTLE);
	broken = check_recovery(w);
	if (!broken)
		broken = world_check(w);
	*has_struck = world_has_struck(w);
	g_rand_free(rand);
	world_free(w);
	return broken;
}

static int run_and_print(const cell_t *cell, bool *has_struck)
{
	g_autofree char *broken = run_cell(cell, NULL, has_struck);

	if (!broken)
		return 0;
	print_error("%s at %s, then %s, seed %u: %s\n",
		    world_fault_names[cell->fault],
		    world_step_names[cell->step],
		    world_fault_names[cell->second], cell->seed, broken);
	return 1;
}

static void test_step(void **state)
{
	world_step_t step = (world_step_t)(intptr_t)*state;
	int broken = 0;
	int struck = 0;

	for (int fault = 1; fault < FAULT_COUNT; fault++) {
		for (uint32_t seed = 1; seed <= SEEDS; seed++) {
			cell_t cell = {step, (world_fault_t)fault, FAULT_NONE,
				       seed};
			bool has_struck;

			broken += run_and_print(&cell, &has_struck);
			struck += has_struck;
		}
	}
	assert_int_equal(broken, 0);
	/* A cell whose fault never struck proves nothing. */
	assert_true(struck > (FAULT_COUNT - 1) * SEEDS * 3 / 4);
}

static void test_pairs(void **state)
{
	int broken = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pairs); i++) {
		for (uint32_t seed = 1; seed <= 2 * SEEDS; seed++) {
			cell_t cell = {(world_step_t)(seed % STEP_ANNOUNCEMENT),
				       pairs[i][0], pairs[i][1], seed};
			bool has_struck;

			broken += run_and_print(&cell, &has_struck);
		}
	}
	assert_int_equal(broken, 0);
}

static int replay(char **argv)
{
	cell_t cell = {
		.step = (world_step_t)find_name(world_step_names, STEP_COUNT,
						argv[1]),
		.fault = (world_fault_t)find_name(world_fault_names,
						  FAULT_COUNT, argv[2]),
		.second =
			argv[4] ? (world_fault_t)find_name(world_fault_names,
							   FAULT_COUNT, argv[4])
				: FAULT_NONE,
		.seed = (uint32_t)atoi(argv[3]),
	};
	bool has_struck;
	g_autofree char *broken = run_cell(&cell, stdout, &has_struck);

	printf("%s\n", broken ? broken : "all invariants hold");
	return broken != NULL;
}

int main(int argc, char **argv)
{
	struct CMUnitTest tests[STEP_COUNT + 1];

	if (argc >= 4)
		return replay(argv);
	for (int i = 0; i < STEP_COUNT; i++) {
		struct CMUnitTest test = {
			.name = world_step_names[i],
			.test_func = test_step,
			.initial_state = (void *)(intptr_t)i,
		};

		tests[i] = test;
	}
	tests[STEP_COUNT] = (struct CMUnitTest){.name = "pairs of faults",
						.test_func = test_pairs};
	return cmocka_run_group_tests(tests, NULL, NULL);
}
