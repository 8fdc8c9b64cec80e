/*
 * Leases that a leader grants while it cannot renew its leader row.
 */
#include "sched/grants.h"
#include "tests/test.h"

static bool allowed(int64_t renewed_ago_ms, int64_t others_reached_ago_ms)
{
	bh_grant_view_t view = {
		.is_confirmed = true,
		.renewed_ago_ms = renewed_ago_ms,
		.others_reached_ago_ms = others_reached_ago_ms,
	};

	return bh_grant_is_allowed(&view);
}

/* A network partition separates a leader and some agents from the store and all
 * other entries. Hearing from no other entry must not let the leader grant
 * leases for ever, while its successor starts the same tasks elsewhere. */
static void test_grants_end_without_renewal(void **state)
{
	(void)state;
	for (int64_t ms = BH_GRANT_AFTER_RENEWAL_MS; ms < 60000; ms += 100)
		assert_false(allowed(ms, INT32_MAX));
}

/* For however long a successor saw the row unchanged before its election, no
 * lease is granted after the time that it waits, with the clocks differing in
 * rate. */
static void test_successor_waits_for_last_grant(void **state)
{
	(void)state;
	for (int64_t unchanged = 0; unchanged < 6000; unchanged += 50) {
		int64_t ends = unchanged + bh_grant_remaining_ms(unchanged);

		/* The leader sent its renewal before the row was seen. */
		assert_false(allowed(ends * 98 / 100 + 1, INT32_MAX));
	}
}

/* In an outage of the store for all entries grants continue for almost 4 s, so
 * that leases of 5 s last for almost 9 s of it. */
static void test_grants_continue_in_outage(void **state)
{
	(void)state;
	assert_true(allowed(3900, 60000));
}

/* Another entry reaches the store and may have been elected. */
static void test_grants_end_sooner_if_others_reach_store(void **state)
{
	bh_grant_view_t paused = {.renewed_ago_ms = 10,
				  .others_reached_ago_ms = 10};

	(void)state;
	assert_true(allowed(1400, 100));
	assert_false(allowed(1600, 100));
	assert_false(bh_grant_is_allowed(&paused));
}

/* A successor starts a job without waiting if it was stored after a certain
 * time. No leader before may start such a job, however its clock runs. */
static void test_successor_starts_what_others_may_not(void **state)
{
	bh_usec_t over_at = bh_jobs_over_at(0);

	(void)state;
	for (int64_t rate = 98; rate <= 100; rate++)
		assert_false(bh_job_is_covered(over_at * rate / 100 + 1, 0));
	assert_true(bh_job_is_covered(MS(600), 0));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_grants_end_without_renewal),
		cmocka_unit_test(test_successor_waits_for_last_grant),
		cmocka_unit_test(test_grants_continue_in_outage),
		cmocka_unit_test(test_grants_end_sooner_if_others_reach_store),
		cmocka_unit_test(test_successor_starts_what_others_may_not),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
