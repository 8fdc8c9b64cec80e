/*
 * Decoding of a worker's lists: rows of another form among valid ones.
 */
#include "platform/runner.h"
#include "tests/test.h"

/* An attempt beyond 32 bits was cut to that of another run, and an end without
 * a number or with one that is too large moved the acknowledgement. */
static void test_row_out_of_range_names_another_run(void **state)
{
	static const char text[] =
		"{\"clock-ms\":5,\"born\":7,\"active\":["
		"[\"a\",1,\"\",41,12],[\"b\",4294967297,\"\",41],"
		"[\"c\",-1,\"\",41],[\"d\",\"1\",\"\",41],[5,1,\"\",41],7,[],"
		"null,[\"e\",1e999,\"\",1],[\"f\",2,7,99999999999,-5],"
		"[\"g\",3,\"\",1e308,1e12]],\"finished\":["
		"[1,\"a\",1,\"done\",\"\"],[2,\"b\",4294967297,\"done\",\"\"],"
		"[1e999,\"c\",1,\"done\",\"\"],[-3,\"d\",1,\"done\",\"\"],"
		"[\"4\",\"e\",1,\"done\",\"\"],[5,\"f\",2,\"odd\",7],"
		"[6.5,\"g\",1,\"done\",\"\"],{},[0,\"h\",1,\"done\",\"\"]]}";
	bh_worker_lists_t lists;

	(void)state;
	assert_true(bh_runner_decode_lists(text, strlen(text), &lists));
	assert_int_equal(lists.n_active, 3);
	assert_string_equal(lists.active[0].task, "a");
	assert_int_equal(lists.active[0].gauge, 12);
	assert_string_equal(lists.active[1].task, "f");
	assert_int_equal(lists.active[1].percent, 0);
	assert_int_equal(lists.active[1].gauge, 0);
	assert_string_equal(lists.active[2].task, "g");
	assert_int_equal(lists.active[2].percent, 0);
	assert_int_equal(lists.active[2].gauge, 0);
	assert_int_equal(lists.n_ended, 2);
	assert_int_equal(lists.ended[0].number, 1);
	assert_string_equal(lists.ended[1].task, "f");
	assert_int_equal(lists.ended[1].how, BH_END_UNKNOWN);
	bh_worker_lists_clear(&lists);
}

/* Return: the lists of a worker with @n ends. */
static char *lists_with_ends(int n)
{
	GString *text = g_string_new("{\"active\":[],\"finished\":[");

	for (int i = 1; i <= n; i++)
		g_string_append_printf(text, "%s[%d,\"t\",1,\"done\",\"\"]",
				       i > 1 ? "," : "", i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

/* A worker lists 500 ends at a time. A full list was taken for all ends, and
 * tasks whose ends it left out were started again. */
static void test_full_list_of_ends_may_not_be_all(void **state)
{
	static const struct {
		int ends;
		bool has_more;
	} cases[] = {{0, false}, {499, false}, {500, true}};
	bh_worker_lists_t lists;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = lists_with_ends(cases[i].ends);

		assert_true(bh_runner_decode_lists(text, strlen(text), &lists));
		assert_int_equal(lists.n_ended, cases[i].ends);
		assert_int_equal(lists.has_more_ended, cases[i].has_more);
		bh_worker_lists_clear(&lists);
	}
}

static void test_lists_of_another_type(void **state)
{
	static const char *const odd[] = {
		"",
		"[]",
		"{}",
		"{\"active\":[]}",
		"{\"active\":{},\"finished\":[]}",
	};
	bh_worker_lists_t lists;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		assert_false(
			bh_runner_decode_lists(odd[i], strlen(odd[i]), &lists));
		bh_worker_lists_clear(&lists);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_row_out_of_range_names_another_run),
		cmocka_unit_test(test_full_list_of_ends_may_not_be_all),
		cmocka_unit_test(test_lists_of_another_type),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
