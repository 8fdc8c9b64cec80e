/*
 * Rules of the cell, one per test; without faults unless the test injects one.
 */
#include "tests/cellworld.h"
#include "tests/test.h"

static cellworld_t *new_world(int agents)
{
	cellworld_config_t config = {
		.seed = 1,
		.n_agents = agents,
		.capacity = {.cpu_milli = 4000, .mem_mb = 4000},
		.lease_us = MS(3000),
		.term_us = MS(2000),
		.journal_us = MS(100),
		.report_us = MS(200),
	};
	cellworld_t *w = cellworld_new(&config);

	cellworld_run(w, MS(1000));
	return w;
}

static void add_job(cellworld_t *w, const char *name, uint32_t n,
		    uint64_t run_ms, int priority)
{
	bh_job_spec_t spec = {.name = name,
			      .tenant = name,
			      .n_tasks = n,
			      .need = {1000, 100, 0},
			      .run_ms = run_ms,
			      .is_idempotent = true,
			      .priority = priority};

	cellworld_add_job(w, &spec);
}

static void test_watcher_is_restarted(void **state)
{
	cellworld_t *w = new_world(2);
	bh_job_spec_t spec = {.name = "board",
			      .n_tasks = 1,
			      .need = {1000, 100, 0},
			      .run_ms = 300,
			      .is_idempotent = true,
			      .restarts_on_end = true};
	int starts;

	(void)state;
	cellworld_add_job(w, &spec);
	cellworld_run(w, MS(10000));
	assert_true(cellworld_starts(w, "board/0") >= 5);
	assert_int_equal(cellworld_count(w, BH_OUTCOME_DELIVERED), 0);
	cellworld_cancel(w, "board");
	cellworld_run(w, MS(3000));
	starts = cellworld_starts(w, "board/0");
	cellworld_run(w, MS(5000));
	assert_int_equal(cellworld_starts(w, "board/0"), starts);
	/* The last run may have ended just before the stop. */
	assert_int_equal(cellworld_count(w, BH_OUTCOME_CANCELLED) +
				 cellworld_count(w, BH_OUTCOME_DELIVERED),
			 1);
	cellworld_free(w);
}

static void test_higher_priority_runs_first(void **state)
{
	cellworld_t *w = new_world(1);

	(void)state;
	add_job(w, "bulk", 40, 1000, 1);
	cellworld_run(w, MS(2000));
	add_job(w, "urgent", 1, 100, 3);
	cellworld_run(w, MS(4000));
	assert_int_equal(cellworld_starts(w, "urgent/0"), 1);
	assert_int_equal(cellworld_starts(w, "bulk/39"), 0);
	cellworld_free(w);
}

static void test_quota_limits_each_tenant(void **state)
{
	cellworld_t *w = new_world(2);
	bh_cell_t *cell = cellworld_cell(w, cellworld_leader(w));

	(void)state;
	bh_cell_set_quota(cell, "greedy", 2000);
	add_job(w, "greedy", 20, 100000, 1);
	cellworld_run(w, MS(3000));
	assert_int_equal(cellworld_running(w), 2);
	bh_cell_set_quota(cell, "modest", 2000);
	add_job(w, "modest", 20, 100000, 1);
	cellworld_run(w, MS(3000));
	assert_int_equal(cellworld_running(w), 4);
	cellworld_free(w);
}

static void test_failing_worker_is_quarantined(void **state)
{
	cellworld_t *w = new_world(2);
	int failing_agent = cellworld_leader(w) == 0 ? 1 : 0;

	(void)state;
	cellworld_inject(w, CELL_FAULT_FAIL_STARTS, failing_agent, 0);
	add_job(w, "job", 16, 500, 1);
	cellworld_run(w, MS(12000));
	assert_int_equal(cellworld_count(w, BH_OUTCOME_DELIVERED), 16);
	assert_true(bh_cell_counters(cellworld_cell(w, cellworld_leader(w)))
			    ->quarantines > 0);
	cellworld_free(w);
}

static void test_oversized_job_is_not_run(void **state)
{
	cellworld_t *w = new_world(2);
	bh_job_spec_t spec = {.name = "giant",
			      .n_tasks = 3,
			      .need = {5000, 100, 0},
			      .run_ms = 100};

	(void)state;
	cellworld_add_job(w, &spec);
	cellworld_run(w, MS(4000));
	assert_int_equal(cellworld_count(w, BH_OUTCOME_NOT_RUN), 0);
	cellworld_run(w, MS(4000));
	assert_int_equal(cellworld_count(w, BH_OUTCOME_NOT_RUN), 3);
	cellworld_free(w);
}

static void test_task_that_would_miss_deadline_is_not_started(void **state)
{
	cellworld_t *w = new_world(2);
	bh_job_spec_t spec = {.name = "tight",
			      .n_tasks = 4,
			      .need = {1000, 100, 0},
			      .run_ms = 5000,
			      .is_idempotent = true,
			      .deadline_unix_ms = cellworld_unix_ms(w) + 3000};

	(void)state;
	cellworld_add_job(w, &spec);
	cellworld_run(w, MS(2000));
	assert_int_equal(cellworld_count(w, BH_OUTCOME_EXPIRED), 4);
	assert_int_equal(cellworld_starts(w, "tight/0"), 0);
	cellworld_free(w);
}

static void test_tasks_freeze_in_store_outage_and_resume(void **state)
{
	cellworld_t *w = new_world(2);

	(void)state;
	add_job(w, "job", 6, 8000, 1);
	cellworld_run(w, MS(2000));
	assert_int_equal(cellworld_running(w), 6);
	cellworld_inject(w, CELL_FAULT_STORE_DOWN, 0, MS(20000));
	cellworld_run(w, MS(15000));
	assert_int_equal(cellworld_frozen(w), 6);
	cellworld_run(w, MS(30000));
	assert_int_equal(cellworld_count(w, BH_OUTCOME_DELIVERED), 6);
	for (int i = 0; i < 6; i++) {
		g_autofree char *id = g_strdup_printf("job/%d", i);

		assert_int_equal(cellworld_starts(w, id), 1);
	}
	cellworld_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_watcher_is_restarted),
		cmocka_unit_test(test_higher_priority_runs_first),
		cmocka_unit_test(test_quota_limits_each_tenant),
		cmocka_unit_test(test_failing_worker_is_quarantined),
		cmocka_unit_test(test_oversized_job_is_not_run),
		cmocka_unit_test(
			test_task_that_would_miss_deadline_is_not_started),
		cmocka_unit_test(test_tasks_freeze_in_store_outage_and_resume),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
