/*
 * Compares traces of whole sessions (all frames but pings, all runs and
 * answers) to golden files. BH_GOLDEN=write rewrites the files; review the
 * difference.
 */
#include "tests/cellworld.h"
#include "tests/test.h"
#include "tests/world.h"

#include <stdlib.h>

static void compare(const char *name, const char *text)
{
	g_autofree char *path =
		g_strdup_printf("%s/tests/golden/%s.txt", SOURCE_DIR, name);
	g_autofree char *golden = NULL;

	if (g_strcmp0(getenv("BH_GOLDEN"), "write") == 0)
		assert_true(g_file_set_contents(path, text, -1, NULL));
	assert_true(g_file_get_contents(path, &golden, NULL, NULL));
	assert_string_equal(text, golden);
}

/* An idempotent call, a retry with a key, silent connections, a drain. */
static void test_request_session(void **state)
{
	char *text = NULL;
	size_t len = 0;
	FILE *trace = open_memstream(&text, &len);
	world_config_t config = {
		.seed = 1, .service_us = MS(5), .trace = trace};
	world_t *w = world_new(&config);

	(void)state;
	world_run(w, MS(1200));
	world_call(w, 0, true, NULL, BH_CLASS_HIGH, MS(500));
	world_run(w, MS(20));
	world_call(w, 1, false, "booking", BH_CLASS_NORMAL, MS(500));
	world_run(w, MS(50));
	world_call(w, 0, false, "booking", BH_CLASS_NORMAL, MS(500));
	world_run(w, MS(100));
	world_call(w, 0, false, NULL, BH_CLASS_NORMAL, MS(3000));
	for (int agent = 0; agent < WORLD_AGENTS; agent++)
		world_inject(w, FAULT_SILENT_TO_ENTRY, 0, agent);
	world_run(w, MS(1500));
	world_drain_agent(w, 0);
	world_run(w, MS(200));
	world_free(w);
	fclose(trace);
	compare("request-session", text);
	free(text);
}

/* A job during the loss of the leader and of a host. */
static void test_task_session(void **state)
{
	char *text = NULL;
	size_t len = 0;
	FILE *trace = open_memstream(&text, &len);
	cellworld_config_t config = {.seed = 1,
				     .n_agents = 3,
				     .capacity = {2000, 2000, 0},
				     .lease_us = MS(3000),
				     .term_us = MS(2000),
				     .journal_us = MS(100),
				     .report_us = MS(200),
				     .trace = trace};
	cellworld_t *w = cellworld_new(&config);
	bh_job_spec_t spec = {.name = "job",
			      .n_tasks = 5,
			      .need = {1000, 100, 0},
			      .run_ms = 1500,
			      .is_idempotent = true};

	(void)state;
	cellworld_run(w, MS(1000));
	cellworld_add_job(w, &spec);
	cellworld_run(w, MS(1000));
	cellworld_inject(w, CELL_FAULT_KILL_LEADER, 0, 0);
	cellworld_run(w, MS(3000));
	cellworld_inject(w, CELL_FAULT_LOSE_HOST, 1, 0);
	cellworld_run(w, MS(12000));
	assert_int_equal(cellworld_count(w, BH_OUTCOME_DELIVERED), 5);
	cellworld_free(w);
	fclose(trace);
	compare("task-session", text);
	free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_session),
		cmocka_unit_test(test_task_session),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
