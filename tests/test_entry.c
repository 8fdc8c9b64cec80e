/*
 * Tests of the entry's admission, retries, ejection and membership.
 */
#include "core/entry.h"
#include "tests/test.h"

#define ENTRY_INCARNATION 5

typedef struct fake {
	bh_entry_t *entry;
	GPtrArray *sent; /* bh_msg_t of type REQUEST */
	GPtrArray *sent_to;
	int answers;
	int connects;
	bh_result_t last;
} fake_t;

static void msg_free(void *data)
{
	bh_msg_clear(data);
	g_free(data);
}

static void op_send(void *ctx, bh_peer_t *peer, const bh_msg_t *msg)
{
	fake_t *f = ctx;
	bh_msg_t *copy;

	if (msg->type != BH_MSG_REQUEST)
		return;
	copy = g_new0(bh_msg_t, 1);
	bh_msg_copy(copy, msg);
	g_ptr_array_add(f->sent, copy);
	g_ptr_array_add(f->sent_to, peer);
}

static void op_connect(void *ctx, bh_peer_t *peer)
{
	(void)peer;
	((fake_t *)ctx)->connects++;
}

static void op_disconnect(void *ctx, bh_peer_t *peer)
{
	(void)ctx;
	(void)peer;
}

static void op_respond(void *ctx, void *user, const bh_result_t *result)
{
	fake_t *f = ctx;

	(void)user;
	f->answers++;
	f->last = *result;
}

static const bh_entry_ops_t ops = {.send = op_send,
				   .connect = op_connect,
				   .disconnect = op_disconnect,
				   .respond = op_respond};

static bh_peer_t *announce(fake_t *f, const char *name, uint64_t incarnation,
			   uint64_t seq, bh_usec_t now)
{
	bh_endpoint_info_t info = {.service = "s",
				   .load = {.slots = 2, .service_us = 5000}};
	bh_msg_t msg = {.type = BH_MSG_ANNOUNCE,
			.name = (char *)name,
			.zone = "z",
			.address = "127.0.0.1:1",
			.incarnation = incarnation,
			.seq = seq,
			.n_endpoints = 1,
			.endpoints = &info};

	bh_entry_announce(f->entry, &msg, now);
	return bh_peers_find(bh_entry_peers(f->entry), name);
}

static void link_up(fake_t *f, bh_peer_t *peer, bh_usec_t now)
{
	bh_msg_t hello = {.type = BH_MSG_HELLO,
			  .incarnation = peer->incarnation};

	bh_entry_link_up(f->entry, peer, &hello, now);
}

static int setup(void **state)
{
	fake_t *f = g_new0(fake_t, 1);
	bh_entry_config_t config = {.zone = "z",
				    .policy = "expected-wait",
				    .incarnation = ENTRY_INCARNATION,
				    .seed = 1,
				    .max_attempts = 3,
				    .max_in_flight = 5000,
				    .retry_share = 0.1,
				    .tenant_defaults = {1e6, 1e6, 4000}};

	f->sent = g_ptr_array_new_with_free_func(msg_free);
	f->sent_to = g_ptr_array_new();
	f->entry = bh_entry_new(&config, &ops, f, 0);
	link_up(f, announce(f, "a", 1, 1, 0), 0);
	link_up(f, announce(f, "b", 1, 1, 0), 0);
	*state = f;
	return 0;
}

static int teardown(void **state)
{
	fake_t *f = *state;

	bh_entry_free(f->entry);
	g_ptr_array_free(f->sent, TRUE);
	g_ptr_array_free(f->sent_to, TRUE);
	g_free(f);
	return 0;
}

static void submit(fake_t *f, bool idempotent, bh_usec_t now)
{
	bh_request_params_t p = {.service = "s",
				 .tenant = "t",
				 .cls = BH_CLASS_NORMAL,
				 .deadline = now + MS(1000),
				 .idempotent = idempotent};

	bh_entry_submit(f->entry, &p, now);
}

static const bh_msg_t *sent(const fake_t *f, guint i)
{
	assert_true(i < f->sent->len);
	return f->sent->pdata[i];
}

static void answer(fake_t *f, guint i, bh_verdict_t verdict, bh_reason_t reason,
		   bh_usec_t now)
{
	bh_msg_t msg = {.type = BH_MSG_ANSWER,
			.entry = ENTRY_INCARNATION,
			.seq = sent(f, i)->seq,
			.verdict = verdict,
			.reason = reason,
			.status = 200,
			.run_us = 5000};

	bh_entry_msg(f->entry, f->sent_to->pdata[i], &msg, now);
}

static void test_not_run_is_retried_at_another_endpoint(void **state)
{
	fake_t *f = *state;

	submit(f, false, 0);
	answer(f, 0, BH_NOT_RUN, BH_REASON_OVERLOADED, MS(1));
	assert_int_equal(f->sent->len, 2);
	assert_ptr_not_equal(f->sent_to->pdata[0], f->sent_to->pdata[1]);
	answer(f, 1, BH_RAN, BH_REASON_NONE, MS(2));
	assert_int_equal(f->answers, 1);
	assert_int_equal(f->last.verdict, BH_RAN);
}

static void test_maybe_run_is_not_retried(void **state)
{
	fake_t *f = *state;

	submit(f, false, 0);
	answer(f, 0, BH_MAYBE_RUN, BH_REASON_RUNNER_LOST, MS(1));
	assert_int_equal(f->sent->len, 1);
	assert_int_equal(f->last.verdict, BH_MAYBE_RUN);
	assert_int_equal(f->last.status, 502);
}

static void test_lost_runner_gets_no_requests(void **state)
{
	fake_t *f = *state;
	void *lost;

	submit(f, true, 0);
	lost = f->sent_to->pdata[0];
	answer(f, 0, BH_NOT_RUN, BH_REASON_RUNNER_LOST, MS(1));
	for (int i = 0; i < 50; i++)
		submit(f, true, MS(2));
	for (guint i = 1; i < f->sent->len; i++)
		assert_ptr_not_equal(f->sent_to->pdata[i], lost);
}

static void test_retries_stay_within_budget(void **state)
{
	fake_t *f = *state;
	guint n = 1000;
	guint retries;

	for (guint i = 0; i < n; i++)
		submit(f, true, 0);
	for (guint i = 0; i < f->sent->len; i++)
		answer(f, i, BH_NOT_RUN, BH_REASON_OVERLOADED, MS(1));
	retries = f->sent->len - n;
	assert_true(retries > 0);
	assert_true(retries <= n / 10 + (guint)BH_RETRY_BURST + 1);
	assert_int_equal(f->answers, n);
}

static void test_older_incarnation_never_replaces(void **state)
{
	fake_t *f = *state;
	bh_peer_t *peer = announce(f, "a", 7, 3, MS(10));

	assert_int_equal(peer->incarnation, 7);
	announce(f, "a", 6, 99, MS(20));
	assert_int_equal(peer->incarnation, 7);
	announce(f, "a", 7, 2, MS(30));
	assert_int_equal(peer->announce_seq, 3);
	assert_int_equal(bh_entry_counters(f->entry)->stale_announcements, 2);
}

static void test_restarted_agent_means_maybe_run(void **state)
{
	fake_t *f = *state;
	bh_peer_t *peer;

	submit(f, false, 0);
	peer = f->sent_to->pdata[0];
	announce(f, peer->name, 2, 1, MS(10));
	assert_int_equal(f->answers, 1);
	assert_int_equal(f->last.verdict, BH_MAYBE_RUN);
	assert_int_equal(f->last.reason, BH_REASON_AGENT_LOST);
}

static void test_silent_peer_gets_no_requests(void **state)
{
	fake_t *f = *state;

	bh_entry_tick(f->entry, BH_PEER_TIMEOUT_US / 2);
	announce(f, "b", 1, 2, BH_PEER_TIMEOUT_US / 2);
	bh_entry_tick(f->entry, BH_PEER_TIMEOUT_US / 2 + MS(400));
	for (int t = 0; t < 4; t++)
		bh_entry_tick(f->entry, BH_PEER_TIMEOUT_US + MS(400) * t);
	submit(f, true, BH_PEER_TIMEOUT_US + MS(1600));
	for (guint i = 0; i < f->sent->len; i++)
		assert_string_equal(((bh_peer_t *)f->sent_to->pdata[i])->name,
				    "b");
}

static void test_entry_pause_is_not_link_silence(void **state)
{
	fake_t *f = *state;

	bh_entry_tick(f->entry, MS(2));
	submit(f, false, MS(3));
	bh_entry_tick(f->entry, MS(900));
	assert_int_equal(f->answers, 0);
	assert_int_equal(bh_entry_counters(f->entry)->pauses, 1);
	assert_int_equal(bh_entry_counters(f->entry)->silent_links, 0);
}

static void test_tenant_over_rate_gets_retry_after(void **state)
{
	fake_t *f = *state;
	bh_tenant_limits_t limits = {.rate = 2, .burst = 1, .max_in_flight = 9};

	bh_tenants_configure(bh_entry_tenants(f->entry), "t", &limits, 0);
	submit(f, true, 0);
	submit(f, true, 0);
	assert_int_equal(f->last.status, 429);
	assert_int_equal(f->last.retry_after, MS(500));
	submit(f, true, MS(501));
	assert_int_equal(f->sent->len, 2);
}

static void test_tenant_over_concurrency_is_refused(void **state)
{
	fake_t *f = *state;
	bh_tenant_limits_t limits = {
		.rate = 1e6, .burst = 1e6, .max_in_flight = 1};

	bh_tenants_configure(bh_entry_tenants(f->entry), "t", &limits, 0);
	submit(f, true, 0);
	submit(f, true, 0);
	assert_int_equal(f->last.reason, BH_REASON_TENANT_CONCURRENCY);
	answer(f, 0, BH_RAN, BH_REASON_NONE, MS(1));
	submit(f, true, MS(2));
	assert_int_equal(f->sent->len, 2);
}

static void test_key_without_a_store_is_refused(void **state)
{
	fake_t *f = *state;
	bh_request_params_t p = {.service = "s",
				 .tenant = "t",
				 .deadline = MS(1000),
				 .key = "k"};

	bh_entry_submit(f->entry, &p, 0);
	assert_int_equal(f->last.verdict, BH_NOT_RUN);
	assert_int_equal(f->last.reason, BH_REASON_STORE_UNAVAILABLE);
	assert_int_equal(f->sent->len, 0);
}

static void test_unknown_service_and_drain_are_refused(void **state)
{
	fake_t *f = *state;
	bh_request_params_t p = {
		.service = "x", .tenant = "t", .deadline = MS(1000)};

	bh_entry_submit(f->entry, &p, 0);
	assert_int_equal(f->last.status, 404);
	bh_entry_drain(f->entry);
	submit(f, true, 0);
	assert_int_equal(f->last.reason, BH_REASON_DRAINING);
}

static void test_ejection_is_capped(void **state)
{
	fake_t *f = *state;
	bh_service_t *s = bh_peers_service(bh_entry_peers(f->entry), "s");
	bh_endpoint_t *ep;

	TAILQ_FOREACH(ep, &s->endpoints, in_service) {
		for (int i = 0; i < 2 * BH_EJECT_FAILURES; i++)
			bh_route_result(ep, false, 0);
		/* One of two endpoints exceeds BH_EJECT_MAX_SHARE. */
		assert_int_equal(ep->ejected_until, 0);
	}
	for (char name = 'c'; name <= 'h'; name++) {
		char text[2] = {name, 0};

		link_up(f, announce(f, text, 1, 1, 0), 0);
	}
	ep = TAILQ_FIRST(&s->endpoints);
	for (int i = 0; i < BH_EJECT_FAILURES; i++)
		bh_route_result(ep, false, 0);
	assert_int_equal(ep->ejected_until, BH_EJECT_DURATION_US);
}

static void test_new_endpoint_ramps_up(void **state)
{
	fake_t *f = *state;
	bh_usec_t now = BH_ENDPOINT_RAMP_US + MS(1);
	bh_peer_t *new_peer;
	int to_new = 0;

	announce(f, "a", 1, 2, now);
	announce(f, "b", 1, 2, now);
	new_peer = announce(f, "c", 1, 1, now);
	link_up(f, new_peer, now);
	for (int i = 0; i < 100; i++) {
		submit(f, true, now);
		to_new += f->sent_to->pdata[i] == new_peer;
		answer(f, (guint)i, BH_RAN, BH_REASON_NONE, now);
	}
	assert_true(to_new > 0);
	assert_true(to_new < 25);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TEST(test_not_run_is_retried_at_another_endpoint),
		TEST(test_maybe_run_is_not_retried),
		TEST(test_lost_runner_gets_no_requests),
		TEST(test_retries_stay_within_budget),
		TEST(test_older_incarnation_never_replaces),
		TEST(test_restarted_agent_means_maybe_run),
		TEST(test_silent_peer_gets_no_requests),
		TEST(test_entry_pause_is_not_link_silence),
		TEST(test_tenant_over_rate_gets_retry_after),
		TEST(test_tenant_over_concurrency_is_refused),
		TEST(test_key_without_a_store_is_refused),
		TEST(test_unknown_service_and_drain_are_refused),
		TEST(test_ejection_is_capped),
		TEST(test_new_endpoint_ramps_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
