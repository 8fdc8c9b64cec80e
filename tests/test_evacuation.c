/*
 * Evacuation of availability zones: the set of zones (evacuation.c), and
 * placement and moves of a load while zones are evacuated (vacate.c, place.c).
 * Time is simulated, and hosts carry out orders at once.
 */
#include "sched/evacuation.h"
#include "sched/sched.h"
#include "tests/test.h"
#include "wire/sched_codec.h"

#define EVACUATE_MS 5000
#define JOB	    "00000000000000aa"
#define LEASE_MS    5000
#define HOSTS	    4
#define RUNS_MAX    64
#define REPORT_MS   200

static char *zone_a[] = {(char *)"a"};
static char *zones_ab[] = {(char *)"a", (char *)"b"};

/* Guards against a set that an older copy of another process undoes: a zone
 * would get tasks again although its evacuation was acknowledged. */
static void test_version_never_decreases(void **state)
{
	bh_evacuation_t *e = bh_evacuation_new();

	(void)state;
	bh_evacuation_adopt(e, 7, zone_a, 1, MS(1), MS(1));
	assert_true(bh_evacuation_has(e, "a"));
	bh_evacuation_adopt(e, 6, NULL, 0, MS(2), MS(2));
	assert_true(bh_evacuation_has(e, "a"));
	assert_int_equal(bh_evacuation_version(e), 7);
	/* A listing that was under way when the copy came. */
	bh_evacuation_begin_listing(e);
	bh_evacuation_read(e, 5, MS(1), MS(3));
	assert_true(bh_evacuation_has(e, "a"));
	bh_evacuation_adopt(e, 8, NULL, 0, MS(4), MS(4));
	assert_false(bh_evacuation_has(e, "a"));
	bh_evacuation_free(e);
}

/* Guards against replies of the feed that overtake each other: an old removal
 * would cancel an evacuation that was written since. */
static void test_late_reply_of_feed_is_ignored(void **state)
{
	bh_evacuation_t *e = bh_evacuation_new();

	(void)state;
	bh_evacuation_begin_listing(e);
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_VALID, 3);
	bh_evacuation_read(e, 8, MS(1), MS(1));
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_REMOVED, 9);
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_VALID, 11);
	bh_evacuation_read(e, 12, MS(2), MS(2));
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_REMOVED, 9);
	bh_evacuation_read(e, 9, MS(1), MS(3));
	assert_true(bh_evacuation_has(e, "a"));
	bh_evacuation_free(e);
}

/* Guards against rows that are lost after a listing at a lower version than an
 * earlier read, as another replica of the store may answer it: the listing
 * forgets what the earlier read had. */
static void test_rows_after_older_listing_count(void **state)
{
	bh_evacuation_t *e = bh_evacuation_new();

	(void)state;
	bh_evacuation_begin_listing(e);
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_VALID, 8);
	bh_evacuation_read(e, 8, MS(1), MS(1));
	bh_evacuation_begin_listing(e);
	bh_evacuation_read(e, 5, MS(2), MS(2));
	assert_true(bh_evacuation_has(e, "a"));
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_VALID, 8);
	bh_evacuation_row(e, "evacuate/b", BH_EVACUATION_ROW_VALID, 9);
	bh_evacuation_read(e, 9, MS(3), MS(3));
	assert_true(bh_evacuation_has(e, "a"));
	assert_true(bh_evacuation_has(e, "b"));
	bh_evacuation_free(e);
}

/* Guards against rows of another writer that end the process or evacuate what
 * nobody named. */
static void test_malformed_rows_are_ignored(void **state)
{
	static const char *const keys[] = {
		"",	     "evacuate",    "evacuate/", "evacuat/a",
		"evacuatea", "/evacuate/a", "config",	 "evacuate/\xff\xfe"};
	const char *zones[BH_EVACUATION_ZONES_MAX];
	bh_evacuation_t *e = bh_evacuation_new();
	char key[512];

	(void)state;
	assert_null(bh_evacuation_zone_of(NULL));
	bh_evacuation_begin_listing(e);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		bh_evacuation_row(e, keys[i], BH_EVACUATION_ROW_VALID, 2);
	bh_evacuation_row(e, "evacuate/invalid", BH_EVACUATION_ROW_MALFORMED,
			  2);
	memset(key, 'z', sizeof(key));
	memcpy(key, "evacuate/", strlen("evacuate/"));
	key[sizeof(key) - 1] = '\0';
	bh_evacuation_row(e, key, BH_EVACUATION_ROW_VALID, 2);
	bh_evacuation_read(e, 2, MS(1), MS(1));
	assert_int_equal(bh_evacuation_zones(e, zones), 0);
	assert_false(bh_evacuation_has(e, NULL));
	for (int i = 0; i < BH_EVACUATION_ZONES_MAX + 9; i++) {
		g_snprintf(key, sizeof(key), "evacuate/%d", i);
		bh_evacuation_row(e, key, BH_EVACUATION_ROW_VALID, 3);
	}
	bh_evacuation_read(e, 3, MS(2), MS(2));
	assert_int_equal(bh_evacuation_zones(e, zones),
			 BH_EVACUATION_ZONES_MAX);
	bh_evacuation_free(e);
}

/* Guards against a zone that gets tasks as its row was overwritten with a value
 * that is no JSON object: only the row's removal ends the request. */
static void test_malformed_value_keeps_zone_evacuated(void **state)
{
	bh_evacuation_t *e = bh_evacuation_new();

	(void)state;
	bh_evacuation_begin_listing(e);
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_VALID, 2);
	bh_evacuation_read(e, 2, MS(1), MS(1));
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_MALFORMED, 3);
	bh_evacuation_row(e, "evacuate/b", BH_EVACUATION_ROW_MALFORMED, 4);
	bh_evacuation_read(e, 4, MS(2), MS(2));
	assert_true(bh_evacuation_has(e, "a"));
	assert_false(bh_evacuation_has(e, "b"));
	bh_evacuation_begin_listing(e);
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_MALFORMED, 3);
	bh_evacuation_read(e, 5, MS(3), MS(3));
	assert_true(bh_evacuation_has(e, "a"));
	bh_evacuation_row(e, "evacuate/a", BH_EVACUATION_ROW_REMOVED, 6);
	bh_evacuation_read(e, 6, MS(4), MS(4));
	assert_false(bh_evacuation_has(e, "a"));
	bh_evacuation_free(e);
}

/* Guards against a zone that is forgotten as its row came when the set was
 * full: it would get tasks after other rows were removed. */
static void test_zones_beyond_the_limit_count_later(void **state)
{
	bh_evacuation_t *e = bh_evacuation_new();
	char key[32];

	(void)state;
	bh_evacuation_begin_listing(e);
	for (int i = BH_EVACUATION_ZONES_MAX; i >= 0; i--) {
		g_snprintf(key, sizeof(key), "evacuate/%03d", i);
		bh_evacuation_row(e, key, BH_EVACUATION_ROW_VALID, 2);
	}
	bh_evacuation_read(e, 2, MS(1), MS(1));
	assert_true(bh_evacuation_has(e, "000"));
	assert_false(bh_evacuation_has(e, "064"));
	bh_evacuation_row(e, "evacuate/007", BH_EVACUATION_ROW_REMOVED, 3);
	bh_evacuation_read(e, 3, MS(2), MS(2));
	assert_true(bh_evacuation_has(e, "064"));
	bh_evacuation_free(e);
}

/* Two zones at once, one of them named twice, cancelled and evacuated again: a
 * listing replaces the set, and a zone that stays keeps its time. */
static void test_listing_replaces_set(void **state)
{
	const char *zones[BH_EVACUATION_ZONES_MAX];
	bh_evacuation_t *e = bh_evacuation_new();

	(void)state;
	bh_evacuation_adopt(e, 2, zones_ab, 2, MS(1), MS(1));
	bh_evacuation_begin_listing(e);
	bh_evacuation_row(e, "evacuate/b", BH_EVACUATION_ROW_VALID, 2);
	assert_true(bh_evacuation_has(e, "a"));
	bh_evacuation_read(e, 4, MS(3), MS(3));
	assert_int_equal(bh_evacuation_zones(e, zones), 1);
	assert_string_equal(zones[0], "b");
	assert_int_equal(bh_evacuation_since(e, "b"), MS(1));
	assert_int_equal(bh_evacuation_changes(e), 2);
	bh_evacuation_row(e, "evacuate/b", BH_EVACUATION_ROW_VALID, 5);
	bh_evacuation_read(e, 5, MS(4), MS(4));
	assert_int_equal(bh_evacuation_changes(e), 2);
	bh_evacuation_row(e, "evacuate/b", BH_EVACUATION_ROW_REMOVED, 6);
	bh_evacuation_read(e, 6, MS(5), MS(5));
	assert_int_equal(bh_evacuation_since(e, "b"), 0);
	bh_evacuation_row(e, "evacuate/b", BH_EVACUATION_ROW_VALID, 7);
	bh_evacuation_read(e, 7, MS(6), MS(6));
	assert_int_equal(bh_evacuation_since(e, "b"), MS(6));
	bh_evacuation_free(e);
}

/* Guards against a leader that starts tasks by a copy of the set from before an
 * evacuation: one that the store rejects, one that is cut off, one that was
 * paused. While the store answers nobody, tasks start. */
static void test_leader_with_old_copy_holds_starts(void **state)
{
	bh_evacuation_evidence_t known = {
		.evacuate_ms = EVACUATE_MS,
		.read_ago_ms = 1400,
		.others_answered_ago_ms = 100,
	};

	(void)state;
	assert_true(bh_evacuation_may_start(&known));
	known.read_ago_ms = 1900;
	assert_false(bh_evacuation_may_start(&known));
	known.others_answered_ago_ms = 1900;
	assert_true(bh_evacuation_may_start(&known));
	/* An entry that was lost before the leader was cut off, however long
	 * ago: the store may answer it. */
	known.is_other_lost = true;
	assert_false(bh_evacuation_may_start(&known));
	known.read_ago_ms = 10000;
	assert_false(bh_evacuation_may_start(&known));
	known.read_ago_ms = 10001;
	assert_true(bh_evacuation_may_start(&known));
	known.read_ago_ms = 0;
	assert_true(bh_evacuation_may_start(&known));
	known.has_resumed = true;
	assert_false(bh_evacuation_may_start(&known));
	known.evacuate_ms = 0;
	assert_true(bh_evacuation_may_start(&known));
}

/* Guards against a leader that is cut off from the store and takes its own
 * copy, which an entry sends back later, for a newer one: with delays of pings
 * it would stay new for ever. */
static void test_copy_sent_back_is_no_read(void **state)
{
	bh_evacuation_t *leader = bh_evacuation_new();
	bh_evacuation_t *entry = bh_evacuation_new();
	bh_evacuation_frame_t frame;

	(void)state;
	bh_evacuation_read(leader, 3, MS(1000), MS(1000));
	bh_evacuation_to_wire(leader, MS(1000), &frame);
	bh_evacuation_from_wire(&frame.state, false, MS(1400), entry);
	assert_int_equal(bh_evacuation_version(entry), 3);
	assert_int_equal(bh_evacuation_read_at(entry), 0);
	bh_evacuation_to_wire(entry, MS(1400), &frame);
	bh_evacuation_from_wire(&frame.state, true, MS(1800), leader);
	assert_int_equal(bh_evacuation_read_at(leader), MS(1000));
	/* The entry's own read counts, and is not passed on as the leader's. */
	bh_evacuation_read(entry, 3, MS(1900), MS(2000));
	bh_evacuation_to_wire(entry, MS(2000), &frame);
	bh_evacuation_from_wire(&frame.state, true, MS(2000), leader);
	assert_int_equal(bh_evacuation_read_at(leader), MS(1899));
	bh_evacuation_to_wire(leader, MS(2000), &frame);
	assert_int_equal(frame.state.age_ms, 1001);
	bh_evacuation_free(leader);
	bh_evacuation_free(entry);
}

/* The oldest copy that is used and the longest life of an order stay within the
 * bound together. */
static void test_bound_is_kept_for_any_setting(void **state)
{
	(void)state;
	for (int64_t ms = 1; ms <= 60000; ms += 7)
		assert_true(bh_evacuation_copy_max_ms(ms) +
				    bh_evacuation_order_max_ms(ms) <=
			    ms);
	/* The last try of a start is sent 1,050 ms after the first. */
	assert_true(bh_evacuation_order_max_ms(EVACUATE_MS) >= 2 * 1050);
}

/**
 * struct world - hosts "0" to "3", the first half in zone a, the others in b
 * @runs: running tasks of each host
 * @ended: of each host, its ends
 * @stops: orders to stop a task
 * @are_stops_slow: runs that are stopped do not end
 * @silent: bits of hosts that send no report
 * @unlisted: bits of hosts whose reports list no runs
 */
typedef struct world {
	bh_sched_t *s;
	bh_config_t *config;
	bh_evacuation_t *evacuation;
	bh_usec_t now;
	uint64_t version;
	uint32_t cpu_milli;
	uint32_t cold_ms;
	bh_active_t runs[HOSTS][RUNS_MAX];
	uint32_t n_runs[HOSTS];
	bh_ended_t ended[HOSTS][RUNS_MAX];
	uint32_t n_ended[HOSTS];
	int starts;
	int stops;
	bool are_stops_slow;
	uint32_t silent;
	uint32_t unlisted;
	uint64_t starts_by_ms;
} world_t;

static void on_start(void *ctx, const char *host, const bh_start_t *start)
{
	world_t *w = ctx;
	int h = atoi(host);
	bh_active_t *run = &w->runs[h][w->n_runs[h]++];

	*run = (bh_active_t){.task = g_strdup(start->task),
			     .attempt = start->attempt,
			     .percent = 100};
	w->starts++;
	w->starts_by_ms = start->starts_by_ms;
}

static void on_stop(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt)
{
	world_t *w = ctx;
	int h = atoi(host);

	(void)boot;
	(void)attempt;
	w->stops++;
	if (w->are_stops_slow)
		return;
	for (uint32_t i = 0; i < w->n_runs[h]; i++) {
		bh_active_t *run = &w->runs[h][i];

		if (strcmp(run->task, task) != 0)
			continue;
		w->ended[h][w->n_ended[h]] =
			(bh_ended_t){.number = w->n_ended[h] + 1,
				     .task = run->task,
				     .attempt = run->attempt,
				     .how = BH_END_STOPPED};
		w->n_ended[h]++;
		g_free(run->checkpoint);
		*run = w->runs[h][--w->n_runs[h]];
		return;
	}
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

static void on_pace(void *ctx, const char *host, uint64_t boot,
		    const char *task, uint32_t attempt, uint32_t percent)
{
	(void)ctx;
	(void)host;
	(void)boot;
	(void)task;
	(void)attempt;
	(void)percent;
}

static const bh_sched_ops_t ops = {
	.start = on_start,
	.stop = on_stop,
	.pace = on_pace,
	.grant = on_grant,
};

static void report(world_t *w, int h)
{
	char key[2] = {(char)('0' + h), 0};
	char id[3] = {'w', key[0], 0};
	bh_worker_info_t info = {.id = id,
				 .boot = 7,
				 .service = (char *)"svc",
				 .zone = (char *)(h < HOSTS / 2 ? "a" : "b"),
				 .state = BH_WORKER_READY,
				 .cpu_milli = w->cpu_milli,
				 .memory_mb = 64000};
	bh_worker_lists_t lists = {.clock_ms = (uint64_t)w->now / 1000,
				   .boot = 7,
				   .n_active = w->n_runs[h],
				   .active = w->runs[h],
				   .n_ended = w->n_ended[h],
				   .ended = w->ended[h]};

	if (w->silent >> h & 1)
		return;
	if (w->unlisted >> h & 1)
		lists.n_active = 0;
	info.cold_ms = h < HOSTS / 2 ? w->cold_ms : 0;
	bh_sched_report(w->s, key, &info, &lists, true, w->now);
}

static void advance(world_t *w, int ms)
{
	const char *id;
	uint32_t segment;

	for (; ms > 0; ms -= REPORT_MS) {
		w->now += MS(REPORT_MS);
		for (int h = 0; h < HOSTS; h++)
			report(w, h);
		bh_sched_note_leading(w->s, w->now);
		bh_sched_run(w->s, w->now, (uint64_t)w->now / 1000);
		while (bh_sched_commit_next(w->s, &id, &segment))
			bh_sched_end_commit(w->s, true);
	}
}

static void world_init(world_t *w, uint32_t cpu_milli)
{
	static const bh_sched_bounds_t bounds = {
		.term = 1,
		.lease_ms = LEASE_MS,
		.lease_max_ms = LEASE_MS,
		.restore_ms = 100,
		.impact_ms = 4000,
		.order_max_ms = 2800,
		.status_ms = 120000,
	};

	memset(w, 0, sizeof(*w));
	w->now = MS(1000);
	w->cpu_milli = cpu_milli;
	w->config = bh_config_new(0, 0);
	w->evacuation = bh_evacuation_new();
	w->s = bh_sched_new(&bounds, &ops, w, w->now, 1000);
	bh_sched_set_config(w->s, w->config);
	bh_sched_set_evacuation(w->s, w->evacuation);
	for (int h = 0; h < HOSTS; h++) {
		char key[2] = {(char)('0' + h), 0};

		bh_sched_add_host(w->s, key, false, w->now);
		bh_sched_host_linked(w->s, key, true, w->now);
	}
	advance(w, 400);
}

static void world_clear(world_t *w)
{
	bh_sched_free(w->s);
	bh_evacuation_free(w->evacuation);
	bh_config_free(w->config);
	for (int h = 0; h < HOSTS; h++) {
		for (uint32_t i = 0; i < w->n_runs[h]; i++) {
			g_free(w->runs[h][i].task);
			g_free(w->runs[h][i].checkpoint);
		}
		for (uint32_t i = 0; i < w->n_ended[h]; i++)
			g_free(w->ended[h][i].task);
	}
}

static bh_step_t *submit(world_t *w, uint32_t count, uint32_t cpu_milli)
{
	bh_job_t *job = g_new0(bh_job_t, 1);
	bh_step_t *step = g_new0(bh_step_t, 1);

	g_strlcpy(job->id, JOB, sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->n_steps = 1;
	job->steps = step;
	step->count = count;
	step->cpu_milli = cpu_milli;
	step->memory_mb = 100;
	step->estimate_ms = 4000;
	job->accepted_ms = (uint64_t)w->now / 1000;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 200;
	bh_sched_add_job(w->s, job, NULL, w->now);
	return step;
}

static void evacuate(world_t *w, char **zones, size_t n)
{
	w->version++;
	bh_evacuation_adopt(w->evacuation, w->version, zones, n, w->now,
			    w->now);
}

static uint32_t runs_in_a(const world_t *w)
{
	return w->n_runs[0] + w->n_runs[1];
}

static uint32_t runs_in_b(const world_t *w)
{
	return w->n_runs[2] + w->n_runs[3];
}

/* A zone that is evacuated while jobs arrive gets no more tasks; cancelled, it
 * gets them at once. Fails if accepts_work() does not look at the zone. */
static void test_evacuated_zone_gets_no_tasks(void **state)
{
	world_t w;

	(void)state;
	world_init(&w, 4000);
	evacuate(&w, zone_a, 1);
	submit(&w, 16, 1000);
	advance(&w, 2000);
	assert_int_equal(runs_in_a(&w), 0);
	assert_int_equal(runs_in_b(&w), 8);
	evacuate(&w, NULL, 0);
	advance(&w, REPORT_MS);
	assert_int_equal(runs_in_a(&w), 8);
	world_clear(&w);
}

/* Workers of the zone that started shortly before are used last. */
static void test_cold_hosts_are_used_last(void **state)
{
	world_t w;

	(void)state;
	world_init(&w, 4000);
	w.cold_ms = 5000;
	evacuate(&w, zone_a, 1);
	advance(&w, 400);
	evacuate(&w, NULL, 0);
	submit(&w, 8, 1000);
	advance(&w, 400);
	assert_int_equal(runs_in_a(&w), 0);
	assert_int_equal(runs_in_b(&w), 8);
	world_clear(&w);
}

/* A leader that holds starts starts nothing anywhere, and goes on at once. */
static void test_held_starts_wait(void **state)
{
	world_t w;

	(void)state;
	world_init(&w, 4000);
	bh_sched_hold_starts(w.s, true);
	submit(&w, 4, 1000);
	advance(&w, 1000);
	assert_int_equal(w.starts, 0);
	bh_sched_hold_starts(w.s, false);
	bh_sched_run(w.s, w.now, (uint64_t)w.now / 1000);
	assert_int_equal(w.starts, 4);
	/* An order that waits in a connection is not passed on later. */
	assert_int_equal(w.starts_by_ms, (uint64_t)w.now / 1000 + 2800);
	world_clear(&w);
}

/* Submissions to a service without an open zone are refused. */
static void test_service_without_open_zone_is_closed(void **state)
{
	const char *closed[4];
	world_t w;

	(void)state;
	world_init(&w, 4000);
	assert_int_equal(bh_sched_evacuated_services(w.s, closed, 4), 0);
	evacuate(&w, zone_a, 1);
	advance(&w, REPORT_MS);
	assert_int_equal(bh_sched_evacuated_services(w.s, closed, 4), 0);
	evacuate(&w, zones_ab, 2);
	advance(&w, REPORT_MS);
	assert_int_equal(bh_sched_evacuated_services(w.s, closed, 4), 1);
	assert_string_equal(closed[0], "svc");
	submit(&w, 4, 1000);
	advance(&w, 2000);
	assert_int_equal(w.starts, 0);
	world_clear(&w);
}

/* Guards against submissions that are refused while a host which may serve them
 * has not reported, and against those that are accepted although the only hosts
 * outside of the zone are gone. */
static void test_gone_hosts_keep_no_service_open(void **state)
{
	const char *closed[4];
	world_t w;

	(void)state;
	world_init(&w, 4000);
	evacuate(&w, zone_a, 1);
	advance(&w, REPORT_MS);
	w.silent = 1 << 2 | 1 << 3;
	bh_sched_host_linked(w.s, "2", false, w.now);
	bh_sched_host_linked(w.s, "3", false, w.now);
	advance(&w, 1200);
	assert_int_equal(bh_sched_evacuated_services(w.s, closed, 4), 0);
	advance(&w, 600);
	assert_int_equal(bh_sched_evacuated_services(w.s, closed, 4), 1);
	bh_sched_add_host(w.s, "4", false, w.now);
	assert_int_equal(bh_sched_evacuated_services(w.s, closed, 4), 0);
	world_clear(&w);
}

/* Serving tasks leave the zone one after another, the next one 5.5 s after the
 * former was stopped, although the step may lack two. */
static void test_serving_tasks_move_one_at_a_time(void **state)
{
	bh_step_t *step;
	uint32_t before;
	int moved = 0;
	world_t w;

	(void)state;
	world_init(&w, 4000);
	step = submit(&w, 8, 1000);
	step->is_long_running = true;
	step->max_unavailable = 2;
	step->max_per_host = 2;
	advance(&w, 8000);
	step->max_per_host = 4;
	before = runs_in_a(&w);
	assert_int_equal(before, 4);
	evacuate(&w, zone_a, 1);
	for (int i = 0; i < 200 && runs_in_a(&w); i++) {
		bh_usec_t at = w.now;
		int stops = w.stops;

		while (w.stops == stops && w.now < at + MS(8000))
			advance(&w, REPORT_MS);
		if (w.stops == stops)
			break;
		assert_int_equal(w.stops, stops + 1);
		assert_true(moved == 0 || w.now - at >= MS(5500));
		moved++;
	}
	advance(&w, 400);
	assert_int_equal(moved, 4);
	assert_int_equal(runs_in_a(&w), 0);
	assert_int_equal(runs_in_b(&w), 8);
	world_clear(&w);
}

/* Without another host that has room serving tasks stay, with a limit on
 * unavailable tasks and without one. */
static void test_serving_tasks_stay_without_room(void **state)
{
	(void)state;
	for (uint32_t max_unavailable = 0; max_unavailable <= 1;
	     max_unavailable++) {
		bh_step_t *step;
		world_t w;

		world_init(&w, 4000);
		step = submit(&w, 16, 1000);
		step->is_long_running = true;
		step->max_unavailable = max_unavailable;
		step->max_per_host = 4;
		advance(&w, 8000);
		evacuate(&w, zone_a, 1);
		advance(&w, 20000);
		assert_int_equal(w.stops, 0);
		assert_int_equal(runs_in_a(&w), 8);
		world_clear(&w);
	}
}

/* Guards against tasks that never leave the zone as their step sets no limit on
 * unavailable tasks, which is max_unavailable 0. */
static void test_serving_tasks_move_without_limit(void **state)
{
	bh_step_t *step;
	world_t w;

	(void)state;
	world_init(&w, 4000);
	step = submit(&w, 8, 1000);
	step->is_long_running = true;
	step->max_per_host = 2;
	advance(&w, 8000);
	step->max_per_host = 4;
	evacuate(&w, zone_a, 1);
	advance(&w, 4 * 6000);
	assert_int_equal(w.stops, 4);
	assert_int_equal(runs_in_a(&w), 0);
	assert_int_equal(runs_in_b(&w), 8);
	world_clear(&w);
}

/* Guards against a move while other tasks of the step may not serve: those on a
 * host that is silent or cut off, or that its worker does not list, count as
 * unavailable, and for 5.5 s afterwards. */
static void test_unseen_tasks_count_as_unavailable(void **state)
{
	enum { SILENT, CUT_OFF, UNLISTED, KINDS };

	(void)state;
	for (int kind = 0; kind < KINDS; kind++) {
		bh_step_t *step;
		world_t w;

		world_init(&w, 4000);
		step = submit(&w, 8, 1000);
		step->is_long_running = true;
		step->max_unavailable = 1;
		step->max_per_host = 2;
		advance(&w, 8000);
		step->max_per_host = 4;
		if (kind == SILENT)
			w.silent = 1 << 2;
		else if (kind == CUT_OFF)
			bh_sched_host_linked(w.s, "2", false, w.now);
		else
			w.unlisted = 1 << 2;
		if (kind == SILENT)
			advance(&w, 1600);
		evacuate(&w, zone_a, 1);
		advance(&w, REPORT_MS);
		assert_int_equal(w.stops, 0);
		w.silent = w.unlisted = 0;
		if (kind == CUT_OFF)
			bh_sched_host_linked(w.s, "2", true, w.now);
		advance(&w, 5400);
		assert_int_equal(w.stops, 0);
		advance(&w, 600);
		assert_int_equal(w.stops, 1);
		world_clear(&w);
	}
}

/* Without progress a run counts as stalled. */
static void advance_with_progress(world_t *w, int ms)
{
	for (; ms > 0; ms -= REPORT_MS) {
		w->runs[0][0].percent++;
		w->runs[1][0].percent++;
		advance(w, REPORT_MS);
	}
}

/* A checkpointing run moves right after a checkpoint, once the zone has been
 * evacuated for longer than the run has left; a run without checkpoints ends
 * where it is. */
static void test_run_moves_after_checkpoint(void **state)
{
	static char *zone_b[] = {(char *)"b"};

	(void)state;
	for (int is_checkpointing = 0; is_checkpointing <= 1;
	     is_checkpointing++) {
		bh_step_t *step;
		world_t w;

		world_init(&w, 4000);
		evacuate(&w, zone_b, 1);
		step = submit(&w, 2, 4000);
		step->is_checkpointing = is_checkpointing;
		advance(&w, 400);
		assert_int_equal(runs_in_a(&w), 2);
		w.runs[0][0].percent = w.runs[1][0].percent = 50;
		evacuate(&w, zone_a, 1);
		w.runs[0][0].checkpoint = g_strdup("first");
		advance_with_progress(&w, REPORT_MS);
		g_free(w.runs[0][0].checkpoint);
		w.runs[0][0].checkpoint = g_strdup("early");
		advance_with_progress(&w, 2200);
		assert_int_equal(w.stops, 0);
		if (is_checkpointing) {
			g_free(w.runs[0][0].checkpoint);
			w.runs[0][0].checkpoint = g_strdup("later");
		}
		advance_with_progress(&w, REPORT_MS);
		assert_int_equal(w.stops, is_checkpointing);
		advance(&w, REPORT_MS);
		assert_int_equal(runs_in_b(&w), is_checkpointing);
		world_clear(&w);
	}
}

/* Guards against a run that loses much work, as the checkpoint that a leader
 * first hears of may be old. */
static void test_first_checkpoint_is_not_new(void **state)
{
	static char *zone_b[] = {(char *)"b"};
	bh_step_t *step;
	world_t w;

	(void)state;
	world_init(&w, 4000);
	evacuate(&w, zone_b, 1);
	step = submit(&w, 2, 4000);
	step->is_checkpointing = true;
	advance(&w, 400);
	assert_int_equal(runs_in_a(&w), 2);
	w.runs[0][0].percent = w.runs[1][0].percent = 50;
	evacuate(&w, zone_a, 1);
	advance_with_progress(&w, 2400);
	w.runs[0][0].checkpoint = g_strdup("old");
	advance_with_progress(&w, REPORT_MS);
	assert_int_equal(w.stops, 0);
	world_clear(&w);
}

/* Guards against several checkpointing runs that are stopped for the same room,
 * of which all but one would wait without a host. */
static void test_one_checkpointing_run_moves_at_a_time(void **state)
{
	static char *zone_b[] = {(char *)"b"};
	bh_step_t *step;
	world_t w;

	(void)state;
	world_init(&w, 4000);
	evacuate(&w, zone_b, 1);
	step = submit(&w, 2, 4000);
	step->is_checkpointing = true;
	advance(&w, 400);
	assert_int_equal(runs_in_a(&w), 2);
	w.runs[0][0].percent = w.runs[1][0].percent = 50;
	evacuate(&w, zone_a, 1);
	w.runs[0][0].checkpoint = g_strdup("early");
	w.runs[1][0].checkpoint = g_strdup("early");
	advance_with_progress(&w, 2400);
	w.are_stops_slow = true;
	for (int h = 0; h < 2; h++) {
		g_free(w.runs[h][0].checkpoint);
		w.runs[h][0].checkpoint = g_strdup("later");
	}
	advance_with_progress(&w, 2 * REPORT_MS);
	assert_int_equal(w.stops, 1);
	world_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_version_never_decreases),
		cmocka_unit_test(test_late_reply_of_feed_is_ignored),
		cmocka_unit_test(test_rows_after_older_listing_count),
		cmocka_unit_test(test_malformed_rows_are_ignored),
		cmocka_unit_test(test_malformed_value_keeps_zone_evacuated),
		cmocka_unit_test(test_zones_beyond_the_limit_count_later),
		cmocka_unit_test(test_listing_replaces_set),
		cmocka_unit_test(test_leader_with_old_copy_holds_starts),
		cmocka_unit_test(test_copy_sent_back_is_no_read),
		cmocka_unit_test(test_bound_is_kept_for_any_setting),
		cmocka_unit_test(test_evacuated_zone_gets_no_tasks),
		cmocka_unit_test(test_cold_hosts_are_used_last),
		cmocka_unit_test(test_held_starts_wait),
		cmocka_unit_test(test_service_without_open_zone_is_closed),
		cmocka_unit_test(test_gone_hosts_keep_no_service_open),
		cmocka_unit_test(test_serving_tasks_move_one_at_a_time),
		cmocka_unit_test(test_serving_tasks_stay_without_room),
		cmocka_unit_test(test_serving_tasks_move_without_limit),
		cmocka_unit_test(test_unseen_tasks_count_as_unavailable),
		cmocka_unit_test(test_run_moves_after_checkpoint),
		cmocka_unit_test(test_first_checkpoint_is_not_new),
		cmocka_unit_test(test_one_checkpointing_run_moves_at_a_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
