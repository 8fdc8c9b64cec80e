/*
 * Random series of faults under several leaders at once. BH_SEEDS sets how many
 * of each mode.
 */
#include "tests/leadersworld.h"
#include "tests/test.h"

#define SEEDS_DEFAULT  25
#define SEEDS_DISABLED 400

static uint32_t seeds(void)
{
	const char *text = getenv("BH_SEEDS");

	return text ? (uint32_t)strtoul(text, NULL, 10) : SEEDS_DEFAULT;
}

static uint32_t count_failures(lw_mode_t mode, lw_disabled_t disabled,
			       uint32_t n)
{
	uint32_t failures = 0;

	for (uint32_t seed = 1; seed <= n; seed++) {
		g_autofree char *violation = lw_run(seed, mode, disabled);

		if (!violation)
			continue;
		failures++;
		if (disabled == LW_ALL_ON)
			fprintf(stderr, "%s seed %u: %s\n", lw_mode_names[mode],
				seed, violation);
	}
	return failures;
}

static void test_random_faults(void **state)
{
	uint32_t failures = 0;

	(void)state;
	for (lw_mode_t mode = LW_ANY; mode < LW_MODES; mode++)
		failures += count_failures(mode, LW_ALL_ON, seeds());
	assert_int_equal(failures, 0);
}

static void assert_detected(lw_mode_t mode, lw_disabled_t disabled)
{
	for (uint32_t seed = 1; seed <= SEEDS_DISABLED; seed++) {
		g_autofree char *violation = lw_run(seed, mode, disabled);

		if (violation)
			return;
	}
	fail_msg("disabling mechanism %d was not detected", disabled);
}

static void test_disabled_mechanisms_are_detected(void **state)
{
	(void)state;
	assert_detected(LW_ANY, LW_EARLY_CONFIRMATION);
	assert_detected(LW_ANY, LW_NO_FENCING);
	assert_detected(LW_NEW_HOST, LW_NO_TERM_READ);
	assert_detected(LW_RESTART, LW_NO_TERM_READ);
	assert_detected(LW_ANSWER, LW_ONE_PREDECESSOR);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_faults),
		cmocka_unit_test(test_disabled_mechanisms_are_detected),
	};

	/* MODE SEED [DISABLED] replays a series; count MODE DISABLED N counts
	 * the series that fail. */
	if (argc == 5 && strcmp(argv[1], "count") == 0) {
		uint32_t n = (uint32_t)strtoul(argv[4], NULL, 10);
		int mode = find_name(lw_mode_names, LW_MODES, argv[2]);

		printf("%u of %u\n",
		       count_failures((lw_mode_t)mode,
				      (lw_disabled_t)atoi(argv[3]), n),
		       n);
		return 0;
	}
	if (argc >= 3) {
		int mode = find_name(lw_mode_names, LW_MODES, argv[1]);
		g_autofree char *violation = lw_run(
			(uint32_t)strtoul(argv[2], NULL, 10), (lw_mode_t)mode,
			argc > 3 ? (lw_disabled_t)atoi(argv[3]) : LW_ALL_ON);

		puts(violation ? violation : "all guarantees held");
		return violation != NULL;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
