/*
 * Fault matrix of requests: injects every fault at every step of a simulation
 * of entries and agents. To replay one case with a trace:
 *   test_matrix_requests STEP FAULT SEED [SECOND-FAULT]
 */
#include "tests/test.h"
#include "tests/world.h"

#include <stdlib.h>

#define SEEDS		    4
#define N_CALLS		    90
#define KEY_RETRY_BUDGET_US MS(2500)
#define N_PROBES	    40
#define RECOVERY_US	    MS(9000)

typedef struct fault_case {
	world_step_t step;
	world_fault_t fault;
	world_fault_t second; /* injected shortly after the first */
	uint32_t seed;
} fault_case_t;

/* Pairs of faults that can hide each other's effects. */
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
	for (int i = 0; i < N_CALLS; i++) {
		g_autofree char *key =
			i % 3 == 2 ? g_strdup_printf("key-%d", i) : NULL;
		bh_usec_t budget = MS(g_rand_int_range(rand, 150, 2500));

		world_call(w, i % 2, i % 3 == 0, key,
			   (bh_class_t)(i % BH_CLASS_COUNT), budget);
		/* Send the same key through both entries at the same time. */
		if (key && i % 2)
			world_call(w, 1 - i % 2, false, key, BH_CLASS_NORMAL,
				   budget);
		world_run(w, MS(g_rand_int_range(rand, 1, 10)));
		if (i == N_CALLS / 2)
			world_drain_agent(w, 2);
	}
}

/* Retries calls whose entry was killed, with their key, at the other entry. */
static void retry_cut_calls(world_t *w)
{
	guint n = world_calls(w)->len;

	for (guint i = 0; i < n; i++) {
		world_call_t *call = g_ptr_array_index(world_calls(w), i);

		if (call->is_cut && call->key)
			world_call(w, 1 - call->entry, call->idempotent,
				   call->key, call->cls, KEY_RETRY_BUDGET_US);
	}
}

/* Checks that calls are answered again long after the fault. */
static char *check_recovery(world_t *w)
{
	char *violation = NULL;
	world_call_t *probes[N_PROBES];

	for (int i = 0; i < N_PROBES; i++) {
		probes[i] = world_call(w, i % 2, true, NULL, BH_CLASS_HIGH,
				       MS(1000));
		world_run(w, MS(20));
	}
	world_run(w, MS(1500));
	for (int i = 0; i < N_PROBES && !violation; i++) {
		if (probes[i]->verdict != BH_RAN || probes[i]->is_cut)
			violation = g_strdup_printf(
				"call %d after the recovery: %s, %s",
				probes[i]->id,
				bh_verdict_name(probes[i]->verdict),
				bh_reason_name(probes[i]->reason));
	}
	return violation;
}

/* Limits the occurrence of rare steps, so that it is reached under load. */
static int max_occurrence(world_step_t step)
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

static char *run_case(const fault_case_t *fault_case, FILE *trace,
		      bool *is_injected)
{
	world_config_t config = {
		.seed = fault_case->seed,
		.service_us = MS(5),
		.hedge_quantile = 0.9,
		.trace = trace,
	};
	world_t *w = world_new(&config);
	GRand *rand = g_rand_new_with_seed(fault_case->seed);
	char *violation;

	world_run(w, MS(1200));
	world_arm(
		w, fault_case->step,
		1 + g_rand_int_range(rand, 0, max_occurrence(fault_case->step)),
		fault_case->fault);
	send_calls(w, rand);
	if (fault_case->second) {
		world_run(w, MS(100));
		world_inject(w, fault_case->second,
			     (int)fault_case->seed % WORLD_ENTRIES,
			     (int)fault_case->seed % WORLD_AGENTS);
	}
	world_run(w, MS(2000));
	retry_cut_calls(w);
	world_run(w, RECOVERY_US);
	violation = check_recovery(w);
	if (!violation)
		violation = world_check(w);
	*is_injected = world_is_injected(w);
	g_rand_free(rand);
	world_free(w);
	return violation;
}

static int run_and_print(const fault_case_t *fault_case, bool *is_injected)
{
	g_autofree char *violation = run_case(fault_case, NULL, is_injected);

	if (!violation)
		return 0;
	print_error("%s at %s, then %s, seed %u: %s\n",
		    world_fault_names[fault_case->fault],
		    world_step_names[fault_case->step],
		    world_fault_names[fault_case->second], fault_case->seed,
		    violation);
	return 1;
}

static void test_step(void **state)
{
	world_step_t step = (world_step_t)(intptr_t)*state;
	int violation = 0;
	int injected = 0;

	for (int fault = 1; fault < FAULT_COUNT; fault++) {
		for (uint32_t seed = 1; seed <= SEEDS; seed++) {
			fault_case_t fault_case = {step, (world_fault_t)fault,
						   FAULT_NONE, seed};
			bool is_injected;

			violation += run_and_print(&fault_case, &is_injected);
			injected += is_injected;
		}
	}
	assert_int_equal(violation, 0);
	/* A case without its fault tests nothing; most must have had it. */
	assert_true(injected > (FAULT_COUNT - 1) * SEEDS * 3 / 4);
}

static void test_pairs(void **state)
{
	int violation = 0;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pairs); i++) {
		for (uint32_t seed = 1; seed <= 2 * SEEDS; seed++) {
			fault_case_t fault_case = {
				(world_step_t)(seed % STEP_ANNOUNCEMENT),
				pairs[i][0], pairs[i][1], seed};
			bool is_injected;

			violation += run_and_print(&fault_case, &is_injected);
		}
	}
	assert_int_equal(violation, 0);
}

static int replay(char **argv)
{
	fault_case_t fault_case = {
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
	bool is_injected;
	g_autofree char *violation =
		run_case(&fault_case, stdout, &is_injected);

	printf("%s\n", violation ? violation : "all invariants hold");
	return violation != NULL;
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
