/*
 * Copies of the configuration that entries ask each other for.
 */
#include "sched/config_sync.h"
#include "tests/test.h"

#define PING_US		(300 * BH_USEC_PER_MS)
#define CHANGE_US	(100 * BH_USEC_PER_MS)
#define STORE_READ_US	(400 * BH_USEC_PER_MS)
#define STORM_US	(10 * BH_USEC_PER_SEC)
#define CONFIG_APPLY_US (2 * BH_USEC_PER_SEC)

/**
 * struct storm - a series of changes, one every CHANGE_US, as one entry sees it
 * @copy_us: time that a copy takes to arrive
 * @is_store_lost: the entry gets changes from copies only
 * @copies: copies asked for
 * @most_in_flight: most copies under way at a time
 * @most_behind_us: longest time for which a version was not in use
 */
typedef struct storm {
	bh_usec_t copy_us;
	bool is_store_lost;
	unsigned copies;
	unsigned most_in_flight;
	bh_usec_t most_behind_us;
} storm_t;

static uint64_t version_at(bh_usec_t now)
{
	return (uint64_t)(MIN(now, STORM_US) / CHANGE_US) + 1;
}

static void play(storm_t *storm)
{
	bh_config_sync_t sync = {0};
	uint64_t own = 1;
	uint64_t copied = 0;
	bh_usec_t arrives = 0;
	unsigned in_flight = 0;

	for (bh_usec_t now = BH_USEC_PER_SEC; now < STORM_US + CONFIG_APPLY_US;
	     now += 10 * BH_USEC_PER_MS) {
		uint64_t next = own;

		if (!storm->is_store_lost)
			next = MAX(next, version_at(now - STORE_READ_US));
		if (in_flight && now >= arrives) {
			in_flight--;
			next = MAX(next, copied);
		}
		if (next > own) {
			own = next;
			bh_config_sync_applied(&sync);
		}
		storm->most_behind_us = MAX(storm->most_behind_us,
					    now - (bh_usec_t)own * CHANGE_US);
		if (now % PING_US != 0 ||
		    !bh_config_sync_must_ask(&sync, own, version_at(now),
					     storm->is_store_lost, now))
			continue;
		storm->copies++;
		in_flight++;
		storm->most_in_flight = MAX(storm->most_in_flight, in_flight);
		copied = version_at(now);
		arrives = now + storm->copy_us;
	}
	assert_int_equal(own, version_at(STORM_US));
}

/* A leader sent each change to all entries, and again with each ping until the
 * entry reported it: 16 MB for a change of 300 kB at 55 entries. */
static void test_served_entry_asks_for_no_copy(void **state)
{
	storm_t storm = {.copy_us = 200 * BH_USEC_PER_MS};

	(void)state;
	play(&storm);
	assert_int_equal(storm.copies, 0);
}

/* On a link on which a copy takes longer than a ping interval copies queued up
 * until the link was closed. */
static void test_copies_do_not_queue_on_a_slow_link(void **state)
{
	storm_t storm = {.copy_us = 900 * BH_USEC_PER_MS,
			 .is_store_lost = true};

	(void)state;
	play(&storm);
	assert_int_equal(storm.most_in_flight, 1);
	assert_true(storm.most_behind_us <= CONFIG_APPLY_US);
}

static void test_lost_copy_is_asked_for_again(void **state)
{
	bh_config_sync_t sync = {0};
	bh_usec_t now = BH_USEC_PER_SEC;

	(void)state;
	assert_true(bh_config_sync_must_ask(&sync, 1, 2, true, now));
	now += (BH_CONFIG_COPY_MS - 1) * BH_USEC_PER_MS;
	assert_false(bh_config_sync_must_ask(&sync, 1, 2, true, now));
	now += BH_USEC_PER_MS;
	assert_true(bh_config_sync_must_ask(&sync, 1, 2, true, now));
}

/* The store answers some reads and not others: without a failed call the entry
 * still asks in time. */
static void test_entry_left_behind_asks(void **state)
{
	bh_config_sync_t sync = {0};
	bh_usec_t began = BH_USEC_PER_SEC;
	bh_usec_t now = began;

	(void)state;
	while (!bh_config_sync_must_ask(&sync, 1, 2, false, now))
		now += PING_US;
	assert_true(now - began <= CONFIG_APPLY_US / 2);
}

static void test_older_report_is_ignored(void **state)
{
	bh_config_sync_t sync = {0};

	(void)state;
	assert_false(bh_config_sync_must_ask(&sync, 2, 2, true, 1));
	assert_false(bh_config_sync_must_ask(&sync, 2, 1, true, 1));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_served_entry_asks_for_no_copy),
		cmocka_unit_test(test_copies_do_not_queue_on_a_slow_link),
		cmocka_unit_test(test_lost_copy_is_asked_for_again),
		cmocka_unit_test(test_entry_left_behind_asks),
		cmocka_unit_test(test_older_report_is_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
