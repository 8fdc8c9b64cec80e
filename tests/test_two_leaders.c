/*
 * A leader that is cut off from the store and from most hosts, but not from
 * all, while another one has been elected: both act for some seconds.
 */
#include "sched/sched.h"
#include "tests/test.h"

#define NEAR_HOST "10.0.0.1:1"
#define FAR_HOST  "10.0.0.2:1"
#define JOB	  "00000000000000aa"
#define TASK	  JOB ".0.0.0"
#define NEW_JOB	  "00000000000000bb"
#define LEASE_MS  5000

/* A leader grants leases for this long after its last renewal. */
#define GRANTS_MS 4000

typedef struct leader {
	bh_sched_t *sched;
	int starts;
	char host[32];
	char task[BH_TASK_NAME_BYTES];
	uint32_t attempt;
} leader_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	leader_t *l = ctx;

	l->starts++;
	l->attempt = start->attempt;
	g_strlcpy(l->host, host, sizeof(l->host));
	g_strlcpy(l->task, start->task, sizeof(l->task));
}

static void on_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
}

static void on_grant(void *ctx, const char *host, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)expires_ms;
	(void)ack;
}

static const bh_sched_ops_t ops = {
	.start = on_start, .stop = on_stop, .grant = on_grant};

static bh_job_t *make_job(const char *id)
{
	bh_job_t *job = g_new0(bh_job_t, 1);

	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->n_steps = 1;
	job->steps = g_new0(bh_step_t, 1);
	job->steps[0].count = 1;
	job->steps[0].cpu_milli = 500;
	job->steps[0].memory_mb = 100;
	job->steps[0].estimate_ms = 60000;
	job->accepted_ms = 1000;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	return job;
}

static void begin_term(leader_t *l, uint64_t term, const bh_config_t *config,
		       bh_usec_t now)
{
	bh_sched_bounds_t bounds = {
		.term = term,
		.lease_ms = LEASE_MS,
		.predecessor_grant_ms = term > 1 ? GRANTS_MS : 0,
		.status_ms = 120000,
	};

	l->sched = bh_sched_new(&bounds, &ops, l, now, 1000);
	bh_sched_set_config(l->sched, config);
	bh_sched_note_leading(l->sched, now);
	bh_sched_add_host(l->sched, NEAR_HOST, term > 1, now);
	bh_sched_add_host(l->sched, FAR_HOST, term > 1, now);
	bh_sched_host_linked(l->sched, NEAR_HOST, true, now);
	bh_sched_host_linked(l->sched, FAR_HOST, true, now);
	bh_sched_add_job(l->sched, make_job(JOB), NULL, now);
}

static void report(leader_t *l, const char *host, bh_active_t *active,
		   bool may_grant, bh_usec_t now)
{
	bool is_far = strcmp(host, FAR_HOST) == 0;
	bh_worker_info_t info = {.id = (char *)(is_far ? "far" : "near"),
				 .boot = is_far ? 7 : 8,
				 .service = (char *)"svc",
				 .zone = (char *)"z",
				 .state = BH_WORKER_READY,
				 .cpu_milli = 8000,
				 .memory_mb = 8000};
	bh_worker_lists_t lists = {.clock_ms = (uint64_t)now / 1000,
				   .boot = info.boot,
				   .n_active = active ? 1 : 0,
				   .active = active};

	bh_sched_report(l->sched, host, &info, &lists, may_grant, now);
}

static void run(leader_t *l, bh_usec_t now)
{
	bh_sched_run(l->sched, now, 1000 + (uint64_t)now / 1000);
}

#define CUT_MS	   2000
#define ELECTED_MS 3500

/* The old leader sees the leases of the hosts that it is cut off from expire,
 * but the new one prolongs them. It started their tasks on the host that it
 * still reached, while they ran under the new leader. */
static void test_cut_off_leader_does_not_start_what_others_run(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	leader_t old = {0};
	leader_t next = {0};
	bh_active_t active = {.task = (char *)TASK, .percent = 1};

	(void)state;
	begin_term(&old, 1, config, MS(1));
	report(&old, FAR_HOST, NULL, true, MS(10));
	run(&old, MS(11));
	assert_int_equal(old.starts, 1);
	assert_string_equal(old.host, FAR_HOST);
	active.attempt = old.attempt;
	bh_sched_start_result(old.sched, FAR_HOST, TASK, old.attempt,
			      BH_ORDER_OK, MS(20));
	for (int ms = 200; ms < 15000; ms += 100) {
		bool is_cut = ms >= CUT_MS;

		report(&old, NEAR_HOST, NULL, ms < CUT_MS + GRANTS_MS, MS(ms));
		if (!is_cut) {
			bh_sched_note_leading(old.sched, MS(ms));
			report(&old, FAR_HOST, &active, true, MS(ms));
		}
		if (ms == ELECTED_MS)
			begin_term(&next, 2, config, MS(ms));
		if (ms >= ELECTED_MS) {
			bh_sched_note_leading(next.sched, MS(ms));
			report(&next, FAR_HOST, &active, true, MS(ms));
			run(&next, MS(ms));
		}
		run(&old, MS(ms));
		assert_int_equal(old.starts, 1);
	}
	assert_int_equal(next.starts, 0);
	assert_int_equal(bh_sched_state(next.sched, JOB), BH_JOB_RUNNING);
	bh_sched_free(old.sched);
	bh_sched_free(next.sched);
	bh_config_free(config);
}

/* Hosts that a new leader did not hear held up all work on the others for a
 * lease, and longer where an earlier leader may still grant some. Jobs that no
 * earlier leader can have started do not wait. */
static void test_new_leader_starts_new_jobs_while_it_waits(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	leader_t next = {0};
	int waited_ms = 0;

	(void)state;
	begin_term(&next, 2, config, MS(1));
	for (int ms = 100; ms < 15000 && next.starts < 2; ms += 100) {
		bh_sched_note_leading(next.sched, MS(ms));
		report(&next, NEAR_HOST, NULL, true, MS(ms));
		bh_sched_note_jobs_read(next.sched, MS(ms - 50));
		if (ms == 1000)
			bh_sched_add_job(next.sched, make_job(NEW_JOB), NULL,
					 MS(ms));
		run(&next, MS(ms));
		if (ms < 1000)
			assert_int_equal(next.starts, 0);
		else if (next.starts < 2)
			assert_string_equal(next.task, NEW_JOB ".0.0.0");
		waited_ms = ms;
	}
	assert_string_equal(next.task, TASK);
	assert_true(waited_ms > LEASE_MS + GRANTS_MS);
	bh_sched_free(next.sched);
	bh_config_free(config);
}

/* The predecessor was killed and has started again: hosts that died with it
 * are waited for no longer than a lease. */
static void test_silent_hosts_are_waited_for_until_grants_are_over(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	leader_t next = {0};
	int waited_ms = 0;

	(void)state;
	begin_term(&next, 2, config, MS(1));
	for (int ms = 100; ms < 15000 && !next.starts; ms += 100) {
		bh_sched_note_leading(next.sched, MS(ms));
		report(&next, NEAR_HOST, NULL, true, MS(ms));
		if (ms == 1000)
			bh_sched_limit_grants(next.sched, 0, MS(ms));
		run(&next, MS(ms));
		waited_ms = ms;
	}
	assert_in_range(waited_ms, 1000 + LEASE_MS, 1300 + LEASE_MS);
	bh_sched_free(next.sched);
	bh_config_free(config);
}

/* A leader that cannot renew its row reads a job that was stored after the
 * election of another one, which starts the job without asking. */
static void test_leader_in_doubt_starts_no_new_job(void **state)
{
	bh_config_t *config = bh_config_new(0, 0);
	leader_t old = {0};

	(void)state;
	begin_term(&old, 1, config, MS(1));
	report(&old, NEAR_HOST, NULL, true, MS(10));
	run(&old, MS(11));
	assert_int_equal(old.starts, 1);
	assert_false(bh_sched_awaits_confirmation(old.sched));
	bh_sched_add_job(old.sched, make_job(NEW_JOB), NULL, MS(800));
	for (int ms = 800; ms < 3000; ms += 100) {
		report(&old, NEAR_HOST, NULL, true, MS(ms));
		run(&old, MS(ms));
		assert_int_equal(old.starts, 1);
		assert_true(bh_sched_awaits_confirmation(old.sched));
	}
	bh_sched_note_leading(old.sched, MS(3000));
	run(&old, MS(3001));
	assert_int_equal(old.starts, 2);
	assert_false(bh_sched_awaits_confirmation(old.sched));
	bh_sched_free(old.sched);
	bh_config_free(config);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_cut_off_leader_does_not_start_what_others_run),
		cmocka_unit_test(
			test_new_leader_starts_new_jobs_while_it_waits),
		cmocka_unit_test(
			test_silent_hosts_are_waited_for_until_grants_are_over),
		cmocka_unit_test(test_leader_in_doubt_starts_no_new_job),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
