/*
 * Tests of the decision how long a task waits for its rack (locality.c), and
 * replays of loads in which it matters. `test_locality NAME on|off [SEED]`
 * prints the results of a replay.
 */
#include "sched/locality.h"
#include "sched/sched_impl.h"
#include "tests/loadworld.h"
#include "tests/test.h"

#include <stdlib.h>

#define SEEDS 3

/* Interval of the runs of the scheduler in a replay. */
#define STEP_MS 5

/* 60 % of the quick jobs request one of five racks for 5.5 s, twice as much
 * work as its hosts can run in that time, while the others are half idle. */
static const lw_pattern_t hot_rack = {.hosts = 40,
				      .cpu_milli = 8000,
				      .memory_mb = 32000,
				      .seconds = 16,
				      .rack_hosts = 8,
				      .remote_slowdown = 2.5,
				      .locality_wait = true,
				      .n_kinds = 2,
				      .kinds = {{.name = "hot",
						 .interval_ms = 90,
						 .from_ms = 2000,
						 .until_ms = 7500,
						 .steps = 2,
						 .count = 10,
						 .cpu_milli = 900,
						 .memory_mb = 200,
						 .ms = 650,
						 .estimate_percent = 100,
						 .spread_percent = 30,
						 .target_ms = 300,
						 .flags = "",
						 .rack = "r1-0"},
						{.name = "other",
						 .interval_ms = 135,
						 .until_ms = 12000,
						 .steps = 2,
						 .count = 10,
						 .cpu_milli = 900,
						 .memory_mb = 200,
						 .ms = 650,
						 .estimate_percent = 100,
						 .spread_percent = 30,
						 .target_ms = 300,
						 .flags = ""}}};

/* Groups of twelve tasks that are slow on more than one rack, among tasks that
 * leave each rack about half used. */
static lw_pattern_t groups(void)
{
	lw_pattern_t p = hot_rack;
	lw_kind_t *group = &p.kinds[0];

	p.hosts = 24;
	group->name = "group";
	group->rack = NULL;
	group->flags = "t";
	group->interval_ms = 400;
	group->until_ms = 11000;
	group->steps = 1;
	group->count = 12;
	group->cpu_milli = 2500;
	group->ms = 1000;
	p.kinds[1].interval_ms = 100;
	p.kinds[1].steps = 1;
	p.kinds[1].count = 8;
	return p;
}

/* Short tasks whose rack is full of long ones. */
static lw_pattern_t short_among_long(void)
{
	lw_pattern_t p = hot_rack;
	lw_kind_t *long_ones = &p.kinds[1];

	p.hosts = 64;
	p.kinds[0].interval_ms = 200;
	p.kinds[0].ms = 300;
	p.kinds[0].count = 6;
	p.kinds[0].target_ms = 1000;
	long_ones->name = "long";
	long_ones->rack = "r1-0";
	long_ones->from_ms = 100;
	long_ones->until_ms = 1000;
	long_ones->interval_ms = 20000;
	long_ones->steps = 1;
	long_ones->count = 64;
	long_ones->cpu_milli = 1000;
	long_ones->ms = 12000;
	long_ones->spread_percent = 0;
	return p;
}

/* Adds up the results of a kind over all seeds. */
typedef struct sums {
	uint32_t in_time;
	uint32_t open;
	uint32_t local;
	uint32_t first_wait_ms;
	uint32_t waits;
	uint32_t placed;
	uint32_t lost;
	int64_t longest_ms;
	int64_t over_limit_ms;
} sums_t;

static sums_t replay(const lw_pattern_t *pattern, bool is_on, uint32_t kind)
{
	lw_pattern_t p = *pattern;
	sums_t sum = {0};

	p.locality_wait = is_on;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		lw_report_t r;

		lw_replay(&p, seed, &r);
		sum.in_time += r.kinds[kind].in_time;
		sum.open += r.kinds[kind].open;
		sum.local += r.kinds[kind].local;
		sum.first_wait_ms =
			MAX(sum.first_wait_ms, r.kinds[kind].first_wait_ms);
		sum.waits += r.waits;
		sum.placed += r.waits_placed;
		sum.lost += r.waits_abandoned[BH_LOCALITY_LOST];
		sum.longest_ms = MAX(sum.longest_ms, r.longest_wait_ms);
		sum.over_limit_ms = MAX(sum.over_limit_ms, r.over_limit_ms);
	}
	return sum;
}

/* No wait is longer than its limit, jobs without a run start early enough, and
 * all end. */
static void assert_bounded(const sums_t *sum)
{
	assert_true(sum->waits > 0);
	assert_true(sum->over_limit_ms <= STEP_MS);
	assert_true(sum->longest_ms <= BH_LOCALITY_WAIT_MAX_MS);
	assert_true(sum->first_wait_ms < 2000);
	assert_int_equal(sum->open, 0);
}

/* Guards against tasks that run two and a half times as long elsewhere although
 * their rack has capacity a moment later, and against waits beyond what the
 * longer run costs. */
static void test_hot_rack(void **state)
{
	sums_t on = replay(&hot_rack, true, 0);
	sums_t off = replay(&hot_rack, false, 0);

	(void)state;
	assert_true(on.placed > 0);
	assert_true(on.local * 2 > off.local * 3);
	assert_true(on.in_time * 2 > off.in_time * 3);
	assert_bounded(&on);
}

/* Guards against tasks that wait for their rack and keep others from idle
 * hosts, or take their turn. */
static void test_waiting_tasks_keep_nothing_from_others(void **state)
{
	sums_t on = replay(&hot_rack, true, 1);
	sums_t off = replay(&hot_rack, false, 1);

	(void)state;
	assert_true(on.waits > 0);
	assert_true(on.first_wait_ms <= off.first_wait_ms);
	assert_true(on.in_time >= off.in_time);
}

/* Guards against waits that rely on predictions: run times are ten times as
 * long, or a tenth of it, as estimated. A job without a run has to get capacity
 * within 3 s. */
static void test_estimates_wrong_by_ten(void **state)
{
	static const uint32_t percents[] = {10, 1000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(percents); i++) {
		lw_pattern_t pattern = hot_rack;
		sums_t on;
		sums_t off;

		pattern.kinds[0].estimate_percent = percents[i];
		pattern.kinds[1].estimate_percent = percents[i];
		on = replay(&pattern, true, 0);
		off = replay(&pattern, false, 0);
		assert_bounded(&on);
		assert_true(on.local > off.local);
	}
}

/* Guards against tasks that go on waiting for a rack whose workers have all
 * exited. The others have enough capacity for the tasks at their slower speed.
 */
static void test_rack_lost_while_tasks_wait(void **state)
{
	lw_pattern_t pattern = hot_rack;
	sums_t on;

	(void)state;
	pattern.rack_lost_ms = 5000;
	pattern.seconds = 25;
	pattern.kinds[1].interval_ms = 1000;
	on = replay(&pattern, true, 0);
	assert_true(on.lost > 0);
	assert_bounded(&on);
}

/* Guards against waits that are never worthwhile: tasks start at once, as they
 * do without the decision. */
static void test_wait_is_never_worthwhile(void **state)
{
	lw_pattern_t pattern = short_among_long();
	sums_t on = replay(&pattern, true, 0);
	sums_t off = replay(&pattern, false, 0);

	(void)state;
	assert_int_equal(on.local, 0);
	assert_int_equal(on.waits, 0);
	assert_int_equal(on.first_wait_ms, off.first_wait_ms);
	assert_int_equal(on.in_time, off.in_time);
	assert_true(on.in_time > 0);
}

/* Guards against groups that are spread over racks while one has capacity for
 * all of their tasks, or soon will, and against groups that block each other.
 */
static void test_groups(void **state)
{
	static const char *const flags[] = {"t", "gt"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
		lw_pattern_t pattern = groups();
		sums_t on;
		sums_t off;

		pattern.kinds[0].flags = flags[i];
		on = replay(&pattern, true, 0);
		off = replay(&pattern, false, 0);
		assert_true(on.placed > 0);
		assert_true(on.in_time > off.in_time);
		assert_bounded(&on);
	}
}

/* A single task that waits for its rack: host 0 in its rack runs a job whose
 * progress stays at 97 %, host 1 in another rack is idle. */
#define RACK_CPU     4000
#define BUSY_JOB     "b000000000000000"
#define JOB	     "a000000000000000"
#define WIDE_JOB     "c000000000000000"
#define BUSY_MS	     800
#define WIDE_MS	     1200
#define BUSY_PERCENT 97
#define RUN_MS	     1000
#define SLOWDOWN     2.0
#define UNIX_MS	     1000000
#define STARTED_NONE (-1)

typedef struct small {
	bh_sched_t *sched;
	bh_config_t *config;
	int64_t ms;
	int64_t job_at_ms;
	int64_t started_ms[2];
	bool is_draining;
} small_t;

static void on_start(void *ctx, const char *key, const bh_start_t *start)
{
	small_t *w = ctx;

	if (start->task[0] == JOB[0])
		w->started_ms[key[0] - '0'] = w->ms;
}

static void on_stop(void *ctx, const char *key, uint64_t boot, const char *task,
		    uint32_t attempt)
{
	(void)ctx;
	(void)key;
	(void)boot;
	(void)task;
	(void)attempt;
}

static void on_grant(void *ctx, const char *key, uint64_t boot,
		     uint64_t expires_ms, uint64_t ack)
{
	(void)ctx;
	(void)key;
	(void)boot;
	(void)expires_ms;
	(void)ack;
}

static const bh_sched_ops_t ops = {
	.start = on_start, .stop = on_stop, .grant = on_grant};

/* @like: step of the job; a processor request of 0 stands for a whole host */
static void add_step(small_t *w, const char *id, const bh_step_t *like)
{
	bh_job_t *job = g_new0(bh_job_t, 1);
	bh_step_t *step = g_new0(bh_step_t, 1);

	*step = *like;
	step->rack = g_strdup(like->rack);
	step->label = g_strdup(like->label);
	if (!step->cpu_milli)
		step->cpu_milli = RACK_CPU;
	step->memory_mb = 100;
	g_strlcpy(job->id, id, sizeof(job->id));
	job->queue = g_strdup("q");
	job->spec = g_strdup("s");
	job->accepted_ms = UNIX_MS + (uint64_t)w->job_at_ms;
	job->terms.service = g_strdup("svc");
	job->terms.slack_percent = 300;
	job->terms.target_ms = 2000;
	job->n_steps = 1;
	job->steps = step;
	bh_sched_add_job(w->sched, job, NULL, w->ms * BH_USEC_PER_MS);
}

static void add_job(small_t *w, const char *id, uint32_t ms)
{
	bh_step_t step = {
		.count = 1, .estimate_ms = ms, .rack = (char *)"r1-0"};

	add_step(w, id, &step);
}

static void small_report(small_t *w, uint32_t host)
{
	char key[] = {(char)('0' + host), 0};
	char rack[] = {'r', '1', '-', (char)('0' + host), 0};
	bh_active_t active = {.task = (char *)BUSY_JOB ".0.0.0",
			      .attempt = 1,
			      .percent = BUSY_PERCENT};
	bh_worker_info_t info = {
		.id = key,
		.boot = 7,
		.service = (char *)"svc",
		.zone = (char *)"z",
		.state = w->is_draining && host == 0 ? BH_WORKER_DRAINING
						     : BH_WORKER_READY,
		.cpu_milli = RACK_CPU,
		.memory_mb = 1000,
		.n_labels = 1,
		.labels = {rack},
	};
	bh_worker_lists_t lists = {.clock_ms = (uint64_t)w->ms, .boot = 7};

	if (host == 0 && w->ms > 50) {
		lists.n_active = 1;
		lists.active = &active;
	}
	bh_sched_report(w->sched, key, &info, &lists, true,
			w->ms * BH_USEC_PER_MS);
}

static void small_lead(small_t *w, uint64_t term)
{
	bh_sched_bounds_t bounds = {.term = term,
				    .lease_ms = 5000,
				    .remote_slowdown = SLOWDOWN,
				    .locality_wait = true};

	w->sched = bh_sched_new(&bounds, &ops, w, w->ms * BH_USEC_PER_MS,
				UNIX_MS + (uint64_t)w->ms);
	bh_sched_set_config(w->sched, w->config);
	for (uint32_t i = 0; i < 2; i++) {
		char key[] = {(char)('0' + i), 0};

		bh_sched_add_host(w->sched, key, false, w->ms * BH_USEC_PER_MS);
		bh_sched_host_linked(w->sched, key, true,
				     w->ms * BH_USEC_PER_MS);
		small_report(w, i);
	}
}

static void small_advance(small_t *w, int64_t until_ms)
{
	for (; w->ms < until_ms; w->ms += 5) {
		if (w->ms % 200 == 0) {
			small_report(w, 0);
			small_report(w, 1);
		}
		bh_sched_note_leading(w->sched, w->ms * BH_USEC_PER_MS);
		bh_sched_run(w->sched, w->ms * BH_USEC_PER_MS,
			     UNIX_MS + (uint64_t)w->ms);
	}
}

static void small_init_busy(small_t *w)
{
	*w = (small_t){.ms = 5,
		       .started_ms = {STARTED_NONE, STARTED_NONE},
		       .config = bh_config_new(0, 0)};
	small_lead(w, 1);
	add_job(w, BUSY_JOB, BUSY_MS);
	small_advance(w, 405);
	w->job_at_ms = w->ms;
}

static void small_init(small_t *w)
{
	small_init_busy(w);
	add_job(w, JOB, RUN_MS);
}

static void small_free(small_t *w)
{
	bh_sched_free(w->sched);
	bh_config_free(w->config);
}

/* Longest wait of the task, and by how much it may end earlier, as the
 * predicted rest of the other job is longer than what is left of it, or later.
 */
#define LIMIT_MS ((int64_t)(RUN_MS * (SLOWDOWN - 1)))
#define SLACK_MS 30

/* Guards against a wait without a deadline, as the prediction says for the
 * whole time that the rack has capacity soon, and against a wait that starts
 * again with each leader. */
static void test_deadline_counts_from_acceptance(void **state)
{
	(void)state;
	for (int has_new_leader = 0; has_new_leader <= 1; has_new_leader++) {
		small_t w;

		small_init(&w);
		small_advance(&w, w.job_at_ms + 600);
		assert_int_equal(w.started_ms[1], STARTED_NONE);
		if (has_new_leader) {
			bh_sched_free(w.sched);
			small_lead(&w, 2);
			add_job(&w, JOB, RUN_MS);
			add_job(&w, BUSY_JOB, BUSY_MS);
			small_report(&w, 0);
		}
		small_advance(&w, w.job_at_ms + LIMIT_MS + 500);
		assert_true(w.started_ms[1] >=
			    w.job_at_ms + LIMIT_MS - SLACK_MS);
		assert_true(w.started_ms[1] <=
			    w.job_at_ms + LIMIT_MS + SLACK_MS);
		small_free(&w);
	}
}

/* Guards against a task that waits for a rack whose only host is draining: it
 * notices that with the next decision, at most 200 ms later. */
static void test_wait_ends_when_rack_drains(void **state)
{
	small_t w;

	(void)state;
	small_init(&w);
	small_advance(&w, w.job_at_ms + 100);
	assert_int_equal(w.started_ms[1], STARTED_NONE);
	w.is_draining = true;
	small_report(&w, 0);
	small_advance(&w, w.ms + 250);
	assert_true(w.started_ms[1] > w.job_at_ms);
	assert_true(w.started_ms[1] <= w.job_at_ms + 300 + SLACK_MS);
	small_free(&w);
}

static bh_task_t *small_task(const small_t *w)
{
	return &bh_rec_find(w->sched, JOB)->phases[0].tasks[0];
}

/* Guards against a task that waits for ever: no capacity is reserved for it as
 * long as it counts as waiting for a rack, and it has no rack any more, since
 * the group it belongs to has none or since it has become a suspect. */
static void test_wait_ends_without_a_rack(void **state)
{
	bh_rack_plan_t none = {0};
	bh_task_t *task;
	small_t w;

	(void)state;
	small_init(&w);
	small_advance(&w, w.job_at_ms + 100);
	task = small_task(&w);
	assert_true(task->waits_for_rack);
	assert_false(bh_racks_defer_task(w.sched, &none, task,
					 w.ms * BH_USEC_PER_MS));
	assert_false(task->waits_for_rack);
	assert_int_equal(task->phase->rack_waits, 0);
	assert_int_equal(w.sched->stats.rack_abandoned[BH_LOCALITY_LOST], 1);
	small_free(&w);
}

/* Guards against a gang that uses up the attempt numbers of a term while it has
 * no room for one of its tasks: those of the next leader would not be higher.
 */
static void test_gang_without_room_keeps_attempts(void **state)
{
	const bh_step_t step = {
		.count = 2, .estimate_ms = RUN_MS, .is_gang = true};
	small_t w;

	(void)state;
	small_init_busy(&w);
	add_step(&w, JOB, &step);
	small_advance(&w, w.job_at_ms + 100);
	assert_int_equal(w.started_ms[1], STARTED_NONE);
	assert_int_equal(small_task(&w)->attempt, 0);
	small_free(&w);
}

/* Guards against waits for capacity that is reserved for a wide task which
 * comes later in the pass than the first task that asks for the rack. */
static void test_forecast_counts_reservations(void **state)
{
	const bh_step_t wide = {
		.count = 1, .estimate_ms = WIDE_MS, .label = (char *)"r1-0"};
	int64_t wait_ms;
	small_t w;

	(void)state;
	small_init(&w);
	add_step(&w, WIDE_JOB, &wide);
	small_advance(&w, w.job_at_ms + 500);
	assert_true(small_task(&w)->waits_for_rack);
	assert_int_equal(w.sched->n_reservations, 1);
	/* It is free after both, later than any wait may last. */
	assert_null(bh_racks_find_for_group(w.sched, small_task(&w)->phase,
					    &wait_ms, w.ms * BH_USEC_PER_MS));
	small_free(&w);
}

/* Guards against a group that waits for a rack, and reserves its capacity, as
 * the rack has room for all of its tasks but not for two of them on a host. */
static void test_group_counts_tasks_per_host(void **state)
{
	const bh_step_t step = {.count = 2,
				.cpu_milli = RACK_CPU / 2,
				.estimate_ms = RUN_MS,
				.max_per_host = 1,
				.is_same_rack = true};
	small_t w;

	(void)state;
	small_init_busy(&w);
	add_step(&w, JOB, &step);
	small_advance(&w, w.job_at_ms + 20);
	assert_true(w.started_ms[1] >= w.job_at_ms);
	assert_int_equal(small_task(&w)->phase->rack_waits, 0);
	small_free(&w);
}

/* Guards against a group whose tasks wait again one by one, for the rack that
 * their step names, when the group has waited until its deadline. */
static void test_group_waits_once(void **state)
{
	const bh_step_t step = {.count = 2,
				.cpu_milli = RACK_CPU / 2,
				.estimate_ms = RUN_MS,
				.rack = (char *)"r1-0",
				.is_same_rack = true};
	small_t w;

	(void)state;
	small_init_busy(&w);
	add_step(&w, JOB, &step);
	small_advance(&w, w.job_at_ms + LIMIT_MS - SLACK_MS);
	assert_true(small_task(&w)->waits_for_rack);
	small_advance(&w, w.job_at_ms + LIMIT_MS + SLACK_MS);
	assert_int_equal(small_task(&w)->phase->waiting, 0);
	small_free(&w);
}

/* Guards against passes whose cost grows with the number of phases that wait
 * for a rack. */
static void test_waiting_phases_are_bounded(void **state)
{
	bh_rack_plan_t plan;
	bh_task_t *task;
	bh_usec_t now;
	small_t w;

	(void)state;
	small_init(&w);
	small_advance(&w, w.job_at_ms + 100);
	task = small_task(&w);
	now = w.ms * BH_USEC_PER_MS;
	assert_int_equal(w.sched->n_deferred_phases, 1);
	for (uint32_t n = BH_DEFERRED_PHASES_MAX - 1;
	     n <= BH_DEFERRED_PHASES_MAX; n++) {
		bh_racks_begin_pass(w.sched, now);
		w.sched->n_deferred_phases = n;
		bh_racks_plan(w.sched, task->phase, &plan, now);
		assert_int_equal(bh_racks_defer_task(w.sched, &plan, task, now),
				 n < BH_DEFERRED_PHASES_MAX);
	}
	assert_false(task->waits_for_rack);
	small_free(&w);
}

/* Guards against tasks of a group that wait for a rack although others of it
 * run elsewhere, so that it is slow in any case. */
static void test_group_on_two_racks_has_none(void **state)
{
	const bh_step_t step = {.count = 3,
				.cpu_milli = RACK_CPU / 4,
				.estimate_ms = RUN_MS,
				.is_same_rack = true};
	bh_phase_t *phase;
	bh_host_t *host;
	bh_rack_plan_t plan;
	bh_usec_t now;
	small_t w;

	(void)state;
	small_init_busy(&w);
	add_step(&w, JOB, &step);
	phase = small_task(&w)->phase;
	now = w.ms * BH_USEC_PER_MS;
	host = TAILQ_FIRST(&w.sched->hosts);
	bh_run_new(&phase->tasks[0], host, 1, BH_RUN_ORDERED, now);
	bh_racks_begin_pass(w.sched, now);
	bh_racks_plan(w.sched, phase, &plan, now);
	assert_string_equal(plan.name, host->rack);
	bh_run_new(&phase->tasks[1], TAILQ_NEXT(host, link), 1, BH_RUN_ORDERED,
		   now);
	bh_racks_plan(w.sched, phase, &plan, now);
	assert_null(plan.name);
	small_free(&w);
}

/* Guards against a forecast that is kept for each rack name in a job, which
 * callers choose. */
static void test_unknown_racks_share_a_forecast(void **state)
{
	static const char *const racks[] = {"x", "y", "z", "r1-0"};
	small_t w;

	(void)state;
	small_init_busy(&w);
	bh_racks_begin_pass(w.sched, w.ms * BH_USEC_PER_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(racks); i++) {
		const char id[] = {(char)('c' + i), '0', 0};
		const bh_step_t step = {.count = 1,
					.estimate_ms = RUN_MS,
					.rack = (char *)racks[i]};
		bh_rack_plan_t plan;

		add_step(&w, id, &step);
		bh_racks_plan(w.sched, &bh_rec_find(w.sched, id)->phases[0],
			      &plan, w.ms * BH_USEC_PER_MS);
		assert_string_equal(plan.name, racks[i]);
		assert_int_equal(plan.is_lost, racks[i][0] != 'r');
	}
	assert_int_equal(w.sched->n_racks, 2);
	small_free(&w);
}

/* Guards against a rack that counts as lost while its host takes no tasks for
 * 150 ms, since it refused one or one is on trial there. */
static void test_pause_of_a_host_is_predicted(void **state)
{
	bh_host_t *host;
	bh_usec_t now;
	small_t w;

	(void)state;
	small_init_busy(&w);
	now = w.ms * BH_USEC_PER_MS;
	host = TAILQ_FIRST(&w.sched->hosts);
	assert_int_equal(bh_host_usable_in_ms(host, now), 0);
	host->full_until = now + 150 * BH_USEC_PER_MS;
	assert_int_equal(bh_host_usable_in_ms(host, now), 150);
	assert_false(bh_host_is_usable(host, now));
	host->full_until = 0;
	host->trial_until = now + 100 * BH_USEC_PER_MS;
	assert_int_equal(bh_host_usable_in_ms(host, now), 100);
	assert_false(bh_host_is_usable(host, now));
	small_free(&w);
}

/* Guards against a task that waits for its full limit again after a start that
 * its host refused. */
static void test_only_a_confirmed_start_allows_a_wait(void **state)
{
	bh_task_t *task;
	small_t w;

	(void)state;
	small_init(&w);
	small_advance(&w, w.job_at_ms + LIMIT_MS + SLACK_MS);
	task = small_task(&w);
	assert_non_null(task->runs[0]);
	assert_false(task->runs[0]->is_confirmed);
	assert_true(task->rack_wait_until > 0);
	bh_run_confirm(w.sched, task->runs[0]);
	assert_int_equal(task->rack_wait_until, 0);
	small_free(&w);
}

/* Guards against waiting tasks that are all promised the same capacity. */
static void test_forecast_counts_tasks_before(void **state)
{
	bh_rack_forecast_t *f = bh_rack_forecast_new();
	const bh_capacity_t none = {0};
	const bh_capacity_t one = {1000, 100, 0};
	const uint32_t any[BH_RACK_HOSTS_MAX] = {9, 9};
	const uint32_t second[BH_RACK_HOSTS_MAX] = {0, 9};
	const uint32_t one_each[BH_RACK_HOSTS_MAX] = {1, 1};
	const bh_capacity_t two = {2000, 100, 0};

	(void)state;
	bh_rack_forecast_reset(f);
	assert_int_equal(bh_rack_forecast_add_host(f, &none), 0);
	assert_int_equal(bh_rack_forecast_add_host(f, &none), 1);
	bh_rack_forecast_add_release(f, 1, 500, &one);
	bh_rack_forecast_add_release(f, 0, 200, &one);
	bh_rack_forecast_add_release(f, 0, 900, &one);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 1, any, 1000), 200);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 2, any, 1000), 500);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &two, 1, any, 1000), 900);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 1, second, 1000),
			 500);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 1, second, 499), -1);
	/* Two fit on host 0, which may get one. */
	bh_rack_forecast_add_release(f, 0, 300, &one);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 2, any, 1000), 300);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 2, one_each, 1000),
			 500);
	bh_rack_forecast_take(f, &one, 1, any, 1000, 100, NULL);
	assert_int_equal(bh_rack_forecast_wait_ms(f, &one, 1, any, 1000), 300);
	bh_rack_forecast_free(f);
}

static void assert_verdict(bh_locality_choice_t c,
			   bh_locality_verdict_t verdict)
{
	assert_int_equal(bh_locality_decide(&c), verdict);
}

/* A run takes 600 ms in the rack and 1,500 ms elsewhere. */
static void test_decision(void **state)
{
	const bh_locality_choice_t base = {.run_ms = 600,
					   .slowdown = 2.5,
					   .wait_ms = 300,
					   .left_ms = 900,
					   .slack_ms = 5000,
					   .utilization = 0};
	bh_locality_choice_t c = base;

	(void)state;
	assert_verdict(c, BH_LOCALITY_WAIT);
	/* The prediction may be wrong by two while hosts elsewhere are idle. */
	c.wait_ms = 500;
	assert_verdict(c, BH_LOCALITY_TOO_LONG);
	/* The longer run would take their capacity from others. */
	c.utilization = 0.8;
	assert_verdict(c, BH_LOCALITY_WAIT);
	c.wait_ms = 900;
	c.utilization = 1;
	assert_verdict(c, BH_LOCALITY_TOO_LONG);
	c = base;
	c.wait_ms = -1;
	assert_verdict(c, BH_LOCALITY_TOO_LONG);
	c = base;
	c.left_ms = 0;
	assert_verdict(c, BH_LOCALITY_EXPIRED);
	c = base;
	c.is_lost = true;
	assert_verdict(c, BH_LOCALITY_LOST);
	/* Another task of the step ends as late in any case. */
	c = base;
	c.elsewhere_ms = 1500;
	assert_verdict(c, BH_LOCALITY_TOO_LONG);
	/* Only with a wait is the job in time. */
	c = base;
	c.wait_ms = 600;
	c.slack_ms = 700;
	assert_verdict(c, BH_LOCALITY_WAIT);
	/* It is in time elsewhere, but not if the wait takes twice as long. */
	c = base;
	c.elsewhere_ms = 1100;
	c.slack_ms = 500;
	assert_verdict(c, BH_LOCALITY_WOULD_BE_LATE);
}

/* Guards against a setting that does not match the deployment, and against
 * single runs that count as much. */
static void test_slowdown_follows_runs(void **state)
{
	bh_slowdown_t s = {0};

	(void)state;
	assert_true(bh_slowdown_get(&s, 2) > 1.99);
	bh_slowdown_add(&s, 1, true);
	bh_slowdown_add(&s, 3, false);
	assert_true(bh_slowdown_get(&s, 2) < 2.1);
	for (int i = 0; i < 100; i++) {
		bh_slowdown_add(&s, 1, true);
		bh_slowdown_add(&s, 3, false);
	}
	assert_true(bh_slowdown_get(&s, 2) > 2.6);
	assert_true(bh_slowdown_get(&s, 1.2) <= 2.4);
	assert_true(bh_slowdown_get(&s, 1) >= 1);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_forecast_counts_tasks_before),
		cmocka_unit_test(test_decision),
		cmocka_unit_test(test_slowdown_follows_runs),
		cmocka_unit_test(test_hot_rack),
		cmocka_unit_test(test_waiting_tasks_keep_nothing_from_others),
		cmocka_unit_test(test_estimates_wrong_by_ten),
		cmocka_unit_test(test_rack_lost_while_tasks_wait),
		cmocka_unit_test(test_wait_is_never_worthwhile),
		cmocka_unit_test(test_groups),
		cmocka_unit_test(test_deadline_counts_from_acceptance),
		cmocka_unit_test(test_wait_ends_when_rack_drains),
		cmocka_unit_test(test_wait_ends_without_a_rack),
		cmocka_unit_test(test_gang_without_room_keeps_attempts),
		cmocka_unit_test(test_forecast_counts_reservations),
		cmocka_unit_test(test_group_counts_tasks_per_host),
		cmocka_unit_test(test_group_waits_once),
		cmocka_unit_test(test_waiting_phases_are_bounded),
		cmocka_unit_test(test_group_on_two_racks_has_none),
		cmocka_unit_test(test_unknown_racks_share_a_forecast),
		cmocka_unit_test(test_pause_of_a_host_is_predicted),
		cmocka_unit_test(test_only_a_confirmed_start_allows_a_wait),
	};
	struct {
		const char *name;
		lw_pattern_t pattern;
	} patterns[] = {{"hot-rack", hot_rack},
			{"groups", groups()},
			{"short-among-long", short_among_long()}};

	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(patterns); i++) {
		lw_report_t r;

		if (strcmp(argv[1], patterns[i].name) != 0)
			continue;
		patterns[i].pattern.locality_wait =
			argc < 3 || strcmp(argv[2], "on") == 0;
		lw_replay(&patterns[i].pattern,
			  argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 1,
			  &r);
		lw_print(&patterns[i].pattern, &r);
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
