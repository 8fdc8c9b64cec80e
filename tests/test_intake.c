/*
 * Admission of bytes: groups of clients, replayed without a network.
 */
#include "sched/intake.h"
#include "tests/test.h"

#include <glib.h>

#define CLIENTS	 400
#define MEMORY	 (160ULL << 20)
#define BODY	 (1ULL << 20)
#define PIECE	 16384
#define ROUND_US MS(10)

static void setup(bh_intake_t *in, uint64_t fds)
{
	bh_intake_limits_t limits = {
		.head_us = MS(10000),
		.total_us = MS(60000),
		.stall_us = MS(10000),
		.min_rate = 1024,
	};

	bh_intake_limits_init(&limits, MEMORY, fds, BODY);
	bh_intake_init(in, &limits);
}

static void connect_all(bh_intake_t *in, bh_intake_conn_t *conns, int n,
			bh_conn_state_t state)
{
	for (int i = 0; i < n; i++) {
		conns[i] = (bh_intake_conn_t){.address = 1};
		bh_intake_add(in, &conns[i], 0, MS(1) + i);
		bh_intake_set_state(&conns[i], state, MS(1) + i);
	}
}

static void receive(bh_intake_t *in, bh_intake_conn_t *conn, uint64_t n,
		    bh_usec_t now)
{
	bh_intake_progress(conn, n, now);
	bh_intake_set_bytes(in, conn, conn->bytes + n);
}

/* Return: connections closed. */
static int close_victims(bh_intake_t *in, bh_usec_t now)
{
	bh_intake_conn_t *victim;
	bh_intake_cause_t cause;
	int n = 0;

	while ((victim = bh_intake_next_victim(in, now, &cause))) {
		assert_true(victim->state == BH_CONN_CLOSING);
		n++;
	}
	return n;
}

/* 400 clients send 1 MiB each and stop a byte short of it: 400 MB were held. An
 * ordinary request of 2 KB, in four pieces beside them, is not closed, although
 * it comes from the same address, nor is a complete one of legal size. */
static void test_bodies_that_stop_short(void **state)
{
	g_autofree bh_intake_conn_t *conns = g_new0(bh_intake_conn_t, CLIENTS);
	bh_intake_conn_t ordinary = {.address = 1};
	bh_intake_conn_t complete = {.address = 1};
	bh_intake_t in;
	bh_usec_t now = MS(1000);

	(void)state;
	setup(&in, 4100);
	connect_all(&in, conns, CLIENTS, BH_CONN_BODY);
	bh_intake_add(&in, &complete, 0, now);
	bh_intake_set_bytes(&in, &complete, BODY);
	bh_intake_set_state(&complete, BH_CONN_PASSED, now);
	bh_intake_add(&in, &ordinary, 0, now);
	bh_intake_set_state(&ordinary, BH_CONN_BODY, now);
	for (int round = 0; round < 64; round++, now += ROUND_US) {
		for (int i = 0; i < CLIENTS; i++) {
			if (conns[i].state == BH_CONN_BODY)
				receive(&in, &conns[i], PIECE, now);
		}
		if (round % 16 == 0)
			receive(&in, &ordinary, 512, now);
		close_victims(&in, now);
		assert_true(in.bytes <= in.limits.budget_bytes);
	}
	assert_int_equal(ordinary.state, BH_CONN_BODY);
	assert_int_equal(complete.state, BH_CONN_PASSED);
}

/* Clients of another address keep their half of the budget: one that fills more
 * than its share loses its own requests. */
static void test_address_keeps_to_its_share(void **state)
{
	g_autofree bh_intake_conn_t *conns = g_new0(bh_intake_conn_t, CLIENTS);
	bh_intake_conn_t other = {.address = 2};
	bh_intake_t in;

	(void)state;
	setup(&in, 4100);
	connect_all(&in, conns, CLIENTS, BH_CONN_BODY);
	bh_intake_add(&in, &other, 0, MS(1000));
	bh_intake_set_state(&other, BH_CONN_BODY, MS(1000));
	receive(&in, &other, BODY - 1, MS(1000));
	for (int i = 0; i < CLIENTS; i++)
		receive(&in, &conns[i], BODY / 16, MS(1001));
	assert_true(close_victims(&in, MS(1001)) > 0);
	assert_true(in.bytes <= in.limits.address_bytes + BODY);
	assert_true(in.causes[BH_INTAKE_SHARE] > 0);
	/* It is the heaviest of all. */
	assert_int_equal(other.state, BH_CONN_BODY);
}

/* All callers may share the address of a load balancer: half of the concurrent
 * uploads that the budget has room for were refused. */
static void test_single_address_may_fill_the_budget(void **state)
{
	g_autofree bh_intake_conn_t *conns = g_new0(bh_intake_conn_t, CLIENTS);
	bh_intake_conn_t other = {.address = 2};
	bh_intake_t in;
	int n;

	(void)state;
	setup(&in, 4100);
	connect_all(&in, conns, CLIENTS, BH_CONN_BODY);
	/* Neither an idle connection nor a complete request is an upload. */
	bh_intake_add(&in, &other, 0, MS(1000));
	n = (int)(in.limits.budget_bytes / BODY);
	for (int i = 0; i < n; i++)
		receive(&in, &conns[i], BODY, MS(1000));
	assert_int_equal(close_victims(&in, MS(1000)), 0);
	receive(&in, &conns[n], BODY, MS(1000));
	assert_int_equal(close_victims(&in, MS(1000)), 1);
	bh_intake_set_state(&other, BH_CONN_HEAD, MS(1000));
	receive(&in, &other, 1, MS(1000));
	assert_true(close_victims(&in, MS(1000)) > 0);
	assert_true(in.bytes <= in.limits.address_bytes + 1);
	assert_int_equal(other.state, BH_CONN_HEAD);
}

/* Of equal ones the longest without progress is closed; requests that have been
 * passed on never are, even where nothing else is left. */
static void test_victim_is_the_one_that_stalls(void **state)
{
	bh_intake_conn_t conns[3];
	bh_intake_cause_t cause;
	bh_intake_t in;

	(void)state;
	setup(&in, 4100);
	connect_all(&in, conns, 3, BH_CONN_BODY);
	for (int i = 0; i < 3; i++)
		receive(&in, &conns[i], 10 * BODY, MS(i == 1 ? 100 : 3000));
	assert_ptr_equal(bh_intake_next_victim(&in, MS(3000), &cause),
			 &conns[1]);
	assert_int_equal(cause, BH_INTAKE_MEMORY);
	bh_intake_set_state(&conns[0], BH_CONN_PASSED, MS(3000));
	bh_intake_set_state(&conns[2], BH_CONN_PASSED, MS(3000));
	bh_intake_set_bytes(&in, &conns[0], 100 * BODY);
	assert_null(bh_intake_next_victim(&in, MS(9000), &cause));
}

/* Silent connections of 400 clients used up the descriptors, so that the store
 * could not be reached; the newest is kept, as it may be an ordinary client's.
 */
static void test_connections_stay_below_descriptors(void **state)
{
	g_autofree bh_intake_conn_t *conns = g_new0(bh_intake_conn_t, CLIENTS);
	uint32_t open = 0;
	bh_intake_t in;

	(void)state;
	setup(&in, 256);
	for (int i = 0; i < CLIENTS; i++) {
		bh_intake_add(&in, &conns[i], 0, MS(i));
		while (bh_intake_is_crowded(&in))
			close_victims(&in, MS(i));
		assert_int_equal(conns[i].state, BH_CONN_IDLE);
	}
	for (int i = 0; i < CLIENTS; i++)
		open += conns[i].state == BH_CONN_IDLE;
	assert_int_equal(open, in.limits.connections);
	assert_true(open + 2 * in.limits.small_connections + 40 < 256);
}

/* Slow and stalled clients, each beyond and within its limit. */
static void test_time_limits(void **state)
{
	static const struct {
		bh_conn_state_t state;
		uint64_t rate; /* bytes a second */
		int alive_s;
		int overdue_s;
		bh_intake_cause_t cause;
	} cases[] = {
		{BH_CONN_HEAD, 1, 9, 11, BH_INTAKE_HEAD_TIMEOUT},
		{BH_CONN_BODY, 0, 9, 11, BH_INTAKE_STALLED},
		{BH_CONN_BODY, 10, 9, 13, BH_INTAKE_RATE},
		{BH_CONN_BODY, 20000, 59, 61, BH_INTAKE_TOTAL_TIMEOUT},
		{BH_CONN_WRITING, 0, 9, 11, BH_INTAKE_STALLED},
		{BH_CONN_WRITING, 1, 300, 0, BH_INTAKE_NONE},
		{BH_CONN_REFUSED, 0, 1, 3, BH_INTAKE_LINGER},
		{BH_CONN_PASSED, 0, 300, 0, BH_INTAKE_NONE},
		{BH_CONN_IDLE, 0, 300, 0, BH_INTAKE_NONE},
	};
	bh_intake_conn_t conn;
	bh_intake_t in;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup(&in, 4100);
		connect_all(&in, &conn, 1, cases[i].state);
		for (int s = 0; s <= 300; s++) {
			bh_usec_t now = MS(1000LL * s + 10);
			bh_intake_cause_t cause;

			if (cases[i].rate)
				bh_intake_progress(&conn, cases[i].rate, now);
			cause = bh_intake_overdue(&in, &conn, now);
			if (s <= cases[i].alive_s)
				assert_int_equal(cause, BH_INTAKE_NONE);
			if (s == cases[i].overdue_s && s)
				assert_int_equal(cause, cases[i].cause);
		}
	}
}

/* A process that was paused for longer than a limit refuses no client for it:
 * what it has sent meanwhile waits in the socket. */
static void test_pause_of_the_process_is_no_stall(void **state)
{
	bh_intake_conn_t conn;
	bh_intake_t in;

	(void)state;
	setup(&in, 4100);
	connect_all(&in, &conn, 1, BH_CONN_BODY);
	assert_int_equal(bh_intake_overdue(&in, &conn, MS(13000)),
			 BH_INTAKE_STALLED);
	bh_intake_skip_pause(&in, MS(12000));
	assert_int_equal(bh_intake_overdue(&in, &conn, MS(13000)),
			 BH_INTAKE_NONE);
}

/* Defaults leave room for legal bodies, however small the host is. */
static void test_limits_leave_room_for_legal_bodies(void **state)
{
	bh_intake_limits_t limits = {0};

	(void)state;
	bh_intake_limits_init(&limits, 16ULL << 20, 64, BODY);
	assert_true(limits.budget_bytes >= 4 * BODY);
	assert_true(limits.address_bytes >= 2 * BODY);
	assert_true(limits.connections >= 16);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bodies_that_stop_short),
		cmocka_unit_test(test_address_keeps_to_its_share),
		cmocka_unit_test(test_single_address_may_fill_the_budget),
		cmocka_unit_test(test_victim_is_the_one_that_stalls),
		cmocka_unit_test(test_connections_stay_below_descriptors),
		cmocka_unit_test(test_time_limits),
		cmocka_unit_test(test_pause_of_the_process_is_no_stall),
		cmocka_unit_test(test_limits_leave_room_for_legal_bodies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
