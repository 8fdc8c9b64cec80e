/*
 * Tests of learned run times (run_times.c, stragglers.c, predict.c): the models
 * alone, and loads with wrong estimates replayed against the scheduler.
 * `test_run_times wrong-estimates|slow-tasks [off|on [SEED]]` prints a replay.
 */
#include "sched/admit.h"
#include "sched/sched_impl.h"
#include "tests/loadworld.h"
#include "tests/test.h"
#include "wire/sched_codec.h"

#include <math.h>
#include <stdio.h>

#define SEEDS 5

/* Quick and large jobs of which each has an estimate that is off by up to nine
 * tenths either way, on hosts that are nearly full. */
static const lw_pattern_t wrong_estimates = {
	.hosts = 11,
	.cpu_milli = 32000,
	.memory_mb = 125000,
	.seconds = 40,
	.learns = true,
	.n_kinds = 3,
	.kinds =
		{
			{.name = "quick",
			 .interval_ms = 100,
			 .until_ms = 30000,
			 .steps = 2,
			 .count = 10,
			 .cpu_milli = 900,
			 .memory_mb = 500,
			 .ms = 650,
			 .estimate_percent = 100,
			 .estimate_off_percent = 90,
			 .spread_percent = 40,
			 .target_ms = 300,
			 .flags = ""},
			{.name = "short",
			 .interval_ms = 500,
			 .until_ms = 30000,
			 .priority = 2,
			 .steps = 2,
			 .count = 10,
			 .cpu_milli = 5000,
			 .memory_mb = 2000,
			 .ms = 800,
			 .estimate_percent = 190,
			 .estimate_off_percent = 90,
			 .spread_percent = 40,
			 .target_ms = 1000,
			 .flags = "fc"},
			{.name = "long",
			 .interval_ms = 4000,
			 .until_ms = 30000,
			 .priority = 2,
			 .steps = 2,
			 .count = 10,
			 .cpu_milli = 5000,
			 .memory_mb = 2000,
			 .ms = 4000,
			 .estimate_percent = 30,
			 .estimate_off_percent = 90,
			 .spread_percent = 40,
			 .target_ms = 1000,
			 .flags = "fc"},
		},
};

/* The same with 3 % of tasks that take 7 times as long. */
static const lw_pattern_t slow_tasks = {
	.hosts = 11,
	.cpu_milli = 32000,
	.memory_mb = 125000,
	.seconds = 40,
	.learns = true,
	.n_kinds = 2,
	.kinds =
		{
			{.name = "quick",
			 .interval_ms = 80,
			 .until_ms = 30000,
			 .steps = 2,
			 .count = 10,
			 .cpu_milli = 900,
			 .memory_mb = 500,
			 .ms = 650,
			 .estimate_percent = 100,
			 .estimate_off_percent = 90,
			 .slow_permille = 30,
			 .spread_percent = 40,
			 .target_ms = 300,
			 .flags = "sa"},
			{.name = "large",
			 .interval_ms = 2500,
			 .until_ms = 30000,
			 .priority = 2,
			 .steps = 2,
			 .count = 20,
			 .cpu_milli = 5000,
			 .memory_mb = 2000,
			 .ms = 2500,
			 .estimate_percent = 100,
			 .estimate_off_percent = 90,
			 .slow_permille = 30,
			 .spread_percent = 40,
			 .target_ms = 1000,
			 .flags = "fca"},
		},
};

static const bh_run_key_t key = {"q", "i", 0};

/* A number from -1 to 1. */
static double draw(uint32_t *state)
{
	*state = *state * 1664525u + 1013904223u;
	return (*state >> 8) % 2001 / 1000.0 - 1;
}

/**
 * struct source - run times to learn from
 * @ms: mean run time
 * @estimate_off: greatest part by which the estimate differs, without regard to
 *	the run time
 * @ratio: run time divided by the estimate, if @estimate_off is 0
 * @slow_permille: runs that take 7 times as long
 */
typedef struct source {
	double ms;
	double estimate_off;
	double ratio;
	uint32_t slow_permille;
} source_t;

static void learn(bh_run_times_t *rt, const source_t *from, int n)
{
	static bh_usec_t now = 1;
	uint32_t state = 7;

	for (int i = 0; i < n; i++) {
		double size = from->estimate_off > 0 ? 1 : 2 + draw(&state);
		double ms = from->ms * size * (1 + 0.4 * draw(&state));
		double estimate =
			from->estimate_off > 0
				? from->ms * (1 +
					      from->estimate_off * draw(&state))
				: from->ms * size / from->ratio;

		if ((draw(&state) + 1) * 500 < from->slow_permille)
			ms *= 7;
		now += 100 * BH_USEC_PER_MS;
		bh_run_times_add(rt, &key, (uint32_t)estimate, (uint32_t)ms,
				 now);
	}
}

static void assert_about(uint32_t value, double expected)
{
	if (fabs(value - expected) > 0.15 * expected)
		fail_msg("%u is not about %.0f", value, expected);
}

/* A prediction by a handful of runs may be far off. */
static void test_few_ends_change_nothing(void **state)
{
	bh_run_times_t *rt = bh_run_times_new();

	(void)state;
	for (int i = 0; i < BH_RUN_TIMES_ENDS_MIN; i++) {
		assert_int_equal(bh_run_times_predict(rt, &key, 500), 500);
		bh_run_times_add(rt, &key, 500, 5000, 1);
	}
	assert_true(bh_run_times_predict(rt, &key, 500) > 4000);
	bh_run_times_free(rt);
}

/* Estimates that have nothing to do with the run times must not scale the
 * prediction. */
static void test_independent_estimates_are_ignored(void **state)
{
	const source_t from = {.ms = 1000, .estimate_off = 0.9};
	bh_run_times_t *rt = bh_run_times_new();

	(void)state;
	learn(rt, &from, 200);
	assert_about(bh_run_times_predict(rt, &key, 100), 1000);
	assert_about(bh_run_times_predict(rt, &key, 1900), 1000);
	bh_run_times_free(rt);
}

/* Estimates that are wrong by the same factor tell small jobs from large ones,
 * which their mean does not. */
static void test_biased_estimates_are_scaled(void **state)
{
	const source_t from = {.ms = 1000, .ratio = 5};
	bh_run_times_t *rt = bh_run_times_new();

	(void)state;
	learn(rt, &from, 200);
	assert_about(bh_run_times_predict(rt, &key, 200), 1000);
	assert_about(bh_run_times_predict(rt, &key, 600), 3000);
	bh_run_times_free(rt);
}

/* A queue whose estimates are good is served as without the models, even if
 * some tasks take far longer than estimated. */
static void test_good_estimates_are_kept(void **state)
{
	static const uint32_t slow[] = {0, 30};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(slow); i++) {
		const source_t from = {
			.ms = 1000, .ratio = 1, .slow_permille = slow[i]};
		bh_run_times_t *rt = bh_run_times_new();

		for (int n = 0; n < 60; n++) {
			learn(rt, &from, 10);
			assert_int_equal(bh_run_times_predict(rt, &key, 777),
					 777);
			assert_int_equal(
				bh_run_times_quantile(rt, &key, 777, 0.9), 777);
			assert_int_equal(
				bh_run_times_left(rt, &key, 800, 5000, 25),
				600);
		}
		bh_run_times_free(rt);
	}
}

/* Reservations go by the long runs, and stragglers by what is left of a run
 * that has outlived most. */
static void test_tail_is_known(void **state)
{
	const source_t from = {
		.ms = 1000, .estimate_off = 0.9, .slow_permille = 30};
	bh_run_times_t *rt = bh_run_times_new();
	uint32_t fresh;

	(void)state;
	learn(rt, &from, 400);
	assert_about(bh_run_times_quantile(rt, &key, 500, 0.5), 1000);
	assert_true(bh_run_times_quantile(rt, &key, 500, 0.9) < 1700);
	assert_true(bh_run_times_quantile(rt, &key, 500, 0.99) > 4000);
	fresh = bh_run_times_left(rt, &key, 500, 0, 0);
	assert_about(fresh, bh_run_times_predict(rt, &key, 500));
	assert_true(bh_run_times_left(rt, &key, 500, 600, 0) < fresh);
	assert_true(bh_run_times_left(rt, &key, 500, 2000, 0) > 2 * fresh);
	/* What a run reports tells more than what other runs did. */
	assert_true(bh_run_times_left(rt, &key, 500, 2000, 90) < 600);
	assert_about(bh_run_times_left(rt, &key, 500, 3500, 50), 3500);
	bh_run_times_free(rt);
}

/* A change of a queue's jobs shows within a few half-lives. */
static void test_old_runs_are_forgotten(void **state)
{
	bh_run_times_t *rt = bh_run_times_new();
	bh_usec_t now = 1;

	(void)state;
	for (int i = 0; i < 6000; i++) {
		now += 100 * BH_USEC_PER_MS;
		bh_run_times_add(rt, &key, 500, i < 3000 ? 4000 : 1000, now);
	}
	assert_about(bh_run_times_predict(rt, &key, 500), 1000);
	bh_run_times_free(rt);
}

/* A stored value that is not a number would spoil every later prediction. */
static void test_odd_states_are_refused(void **state)
{
	static const double odd[] = {NAN, INFINITY, -INFINITY, 1e30, -1e30};
	const bh_run_time_state_t good = {
		.key = {"q", "i", 0}, .ends = 9, .log_duration = 7};
	bh_run_times_t *rt = bh_run_times_new();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		bh_run_time_state_t bad[5] = {good, good, good, good, good};

		bad[0].ends = odd[i];
		bad[1].log_duration = odd[i];
		bad[2].log_ratio = odd[i];
		bad[3].errors[BH_PREDICT_RATIO] = odd[i];
		bad[4].key.queue = NULL;
		for (size_t k = 0; k < G_N_ELEMENTS(bad); k++)
			assert_false(bh_run_times_set(rt, &bad[k]));
	}
	assert_true(bh_run_times_set(rt, &good));
	bh_run_times_free(rt);
}

/* Callers name the images: their number must not grow the leader's memory. */
static void test_keys_are_bounded(void **state)
{
	bh_run_times_t *rt = bh_run_times_new();
	bh_run_times_stats_t stats;
	char image[16];

	(void)state;
	for (uint32_t i = 0; i < 3 * BH_RUN_TIMES_KEYS_MAX; i++) {
		const bh_run_key_t other = {"q", image, 0};

		g_snprintf(image, sizeof(image), "%u", i);
		bh_run_times_add(rt, &other, 1, 1000, 1);
		bh_run_times_add(rt, &key, 1, 1000, 1);
	}
	bh_run_times_stats(rt, &stats);
	assert_int_equal(stats.keys, BH_RUN_TIMES_KEYS_MAX);
	assert_about(bh_run_times_predict(rt, &key, 1), 1000);
	bh_run_times_free(rt);
}

/* Second attempts cost no more than their share of the work, and are given up
 * where tasks are long by nature. */
static void test_second_attempts_are_limited(void **state)
{
	bh_stragglers_t st = {0};
	int taken = 0;

	(void)state;
	assert_false(bh_stragglers_take(&st, 1));
	for (int i = 0; i < 1000; i++) {
		bh_stragglers_earn(&st, 100);
		taken += bh_stragglers_take(&st, 100);
	}
	assert_in_range(taken, 45, 50);
	assert_true(bh_stragglers_gains(&st, 1000, 6000, 1000, true));
	assert_true(bh_stragglers_gains(&st, 1000, 6000, 1000, false));
	assert_false(bh_stragglers_gains(&st, 1000, 1500, 1000, true));
	for (int i = 0; i < 20; i++)
		bh_stragglers_note(&st, 6000, 6000);
	assert_false(bh_stragglers_gains(&st, 1000, 6000, 1000, false));
	st.budget_ms = 1000;
	assert_false(bh_stragglers_take(&st, 500));
}

/**
 * struct total - results of replays of all seeds
 */
typedef struct total {
	uint32_t late;
	uint32_t open;
	double part_wasted;
	uint64_t trace;
} total_t;

static total_t replay(const lw_pattern_t *pattern, bool learns)
{
	lw_pattern_t p = *pattern;
	total_t total = {0};

	p.learns = learns;
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		lw_report_t r;

		lw_replay(&p, seed, &r);
		for (uint32_t k = 0; k < p.n_kinds; k++) {
			total.late += r.kinds[k].late + r.kinds[k].refused;
			total.open += r.kinds[k].open;
		}
		total.part_wasted += r.wasted / r.worked / SEEDS;
		total.trace = total.trace * 31 + r.trace;
		lw_report_clear(&r);
	}
	return total;
}

/* Estimates that make long jobs look short let them go first, and have jobs
 * refused that would end in time. */
static void test_wrong_estimates_make_fewer_jobs_late(void **state)
{
	total_t off = replay(&wrong_estimates, false);
	total_t on = replay(&wrong_estimates, true);

	(void)state;
	assert_true(2 * (on.late + on.open) < off.late + off.open);
}

/* Deployments whose estimates are good are served as before. */
static void test_good_estimates_change_no_decision(void **state)
{
	lw_pattern_t p = wrong_estimates;

	(void)state;
	for (uint32_t k = 0; k < p.n_kinds; k++) {
		p.kinds[k].estimate_percent = 100;
		p.kinds[k].estimate_off_percent = 0;
		p.kinds[k].slow_permille = 20;
	}
	assert_int_equal(replay(&p, true).trace, replay(&p, false).trace);
}

/* Jobs wait for their slowest task. */
static void test_slow_tasks_make_fewer_jobs_late(void **state)
{
	total_t off = replay(&slow_tasks, false);
	total_t on = replay(&slow_tasks, true);

	(void)state;
	assert_true(on.open < off.open);
	assert_true(4 * (on.late + on.open) < 3 * (off.late + off.open));
}

/* Where tasks are long by nature, copies and moves only take capacity. */
static void test_second_attempts_that_do_not_help_are_few(void **state)
{
	lw_pattern_t p = slow_tasks;
	total_t on;

	(void)state;
	p.kinds[0].flags = "s";
	p.kinds[1].flags = "fc";
	on = replay(&p, true);
	assert_true(on.part_wasted < 0.05);
}

/* A wrong prediction costs time, but no job waits for ever. */
static void test_jobs_end_despite_wrong_predictions(void **state)
{
	static const double factors[] = {0.1, 10};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(factors); i++) {
		lw_pattern_t p = wrong_estimates;

		p.wrong_factor = factors[i];
		p.seconds = 90;
		assert_int_equal(replay(&p, true).open, 0);
	}
}

/* Tasks that are estimated too short would take resources that are reserved for
 * a wide task, and keep them for long. */
static void test_long_tasks_leave_reservations(void **state)
{
	const source_t from = {.ms = 4000, .estimate_off = 0.9};
	bh_step_t step = {.count = 1,
			  .cpu_milli = 1000,
			  .estimate_ms = 400,
			  .image = (char *)"i"};
	bh_job_t job = {.queue = (char *)"q", .n_steps = 1, .steps = &step};
	bh_rec_t rec = {.job = &job};
	bh_phase_t phase = {.rec = &rec, .step = &step};
	bh_host_t host = {.info = {.cpu_milli = 2000},
			  .used_cpu = 1000,
			  .reserved = {.cpu = 2000},
			  .reserved_free_in_ms = 2000};

	(void)state;
	rec.phases = &phase;
	assert_true(bh_reserve_allows(&host, &phase));
	rec.times = bh_run_times_new();
	learn(rec.times, &from, 200);
	assert_false(bh_reserve_allows(&host, &phase));
	bh_run_times_free(rec.times);
}

/* A job whose estimate is far too short has so early an objective that it would
 * be refused, although it would end in time. */
static void test_admission_goes_by_predictions(void **state)
{
	const source_t from = {.ms = 4000, .estimate_off = 0.9};
	const bh_backlog_t load = {.wait_ms = 5000, .wait_filler_ms = 5000};
	bh_step_t step = {.count = 1,
			  .cpu_milli = 1000,
			  .estimate_ms = 400,
			  .image = (char *)"i"};
	bh_job_t job = {.queue = (char *)"q",
			.n_steps = 1,
			.steps = &step,
			.terms = {.slack_percent = 200}};
	bh_run_times_t *rt = bh_run_times_new();
	bh_predictions_t predictions = {0};
	bh_job_t predicted = job;
	uint64_t retry_ms;

	(void)state;
	learn(rt, &from, 200);
	bh_run_times_predictions(rt, &predictions);
	predicted.steps = bh_predictions_apply(&predictions, &job);
	assert_int_equal(predicted.steps[0].estimate_ms,
			 bh_run_times_predict(rt, &key, 400));
	assert_false(bh_admit(&job, &load, 1, 0, &retry_ms));
	assert_true(bh_admit(&predicted, &load, 1, 0, &retry_ms));
	g_free(predicted.steps);
	bh_predictions_clear(&predictions);
	bh_run_times_free(rt);
}

static bh_sched_t *open_sched(const void *row, gsize len)
{
	static const bh_sched_ops_t ops = {0};
	const bh_sched_bounds_t bounds = {
		.term = 1, .lease_ms = 5000, .learn_run_times = true};
	bh_sched_t *s = bh_sched_new(&bounds, &ops, NULL, 1, 1);

	bh_learned_unpack(row, len, s);
	return s;
}

/* The elapsed time of fillers that are paced down overstates their work. */
static void test_paced_fillers_are_learned_at_full_pace(void **state)
{
	bh_step_t step = {.count = 1,
			  .cpu_milli = 1000,
			  .estimate_ms = 400,
			  .is_filler = true,
			  .image = (char *)"i"};
	bh_job_t job = {.queue = (char *)"q", .n_steps = 1, .steps = &step};
	bh_rec_t rec = {.job = &job};
	bh_phase_t phase = {.rec = &rec, .step = &step};
	bh_task_t task = {.phase = &phase};
	bh_host_t host = {.speed = 1};
	bh_sched_t s = {.times = bh_run_times_new()};
	static const bh_sched_ops_t ops = {0};
	bh_usec_t now = BH_USEC_PER_SEC;

	(void)state;
	s.ops = &ops;
	rec.phases = &phase;
	rec.times = s.times;
	for (int i = 0; i < 2 * BH_RUN_TIMES_ENDS_MIN; i++) {
		bh_run_t run = {.task = &task,
				.host = &host,
				.state = BH_RUN_ACTIVE,
				.counted_at = now};

		/* Half of the work is done at half of the pace. */
		for (run.percent = 0; run.percent < 100; run.percent += 10) {
			run.pace = run.percent < 50 ? 50 : 100;
			now += (run.percent < 50 ? 800 : 400) * BH_USEC_PER_MS;
			run.percent += 10;
			bh_run_observe(&s, &run, run.percent == 10, now);
			run.percent -= 10;
		}
		bh_run_learn_end(&s, &run, now);
	}
	assert_about(bh_phase_expected_ms(&phase), 4000);
	bh_run_times_free(s.times);
}

/* Predictions reach the entries with a ping. Odd ones, of another build, must
 * not become estimates. */
static void test_predictions_travel_in_pings(void **state)
{
	bh_predictions_t sent = {
		.n = 3,
		.rows = {{.queue = (char *)"q", .step = 1, .log_scale = 3},
			 {.queue = (char *)"q", .log_scale = NAN},
			 {.queue = (char *)"q", .exponent = -1}}};
	bh_predictions_t read = {0};
	Bh__Sched__Ping ping = BH__SCHED__PING__INIT;

	(void)state;
	bh_predictions_to_ping(&sent, &ping);
	bh_predictions_from_ping(&read, &ping);
	bh_predictions_release(&ping);
	assert_int_equal(read.n, 1);
	assert_int_equal(read.rows[0].step, 1);
	assert_null(read.rows[0].image);
	bh_predictions_clear(&read);
}

static void count_learned(void *ctx, const bh_run_time_state_t *state)
{
	(void)state;
	++*(uint32_t *)ctx;
}

/* A new leader would plan with wrong estimates again until eight runs of each
 * step have ended. */
static void test_next_leader_knows_run_times(void **state)
{
	lw_pattern_t p = wrong_estimates;
	lw_report_t first;
	lw_report_t next;

	(void)state;
	lw_replay(&p, 1, &first);
	p.row = first.row;
	p.seconds = 1;
	lw_replay(&p, 2, &next);
	assert_int_equal(next.stats.run_times.learned, 6);
	lw_report_clear(&next);
	p.row = NULL;
	lw_replay(&p, 2, &next);
	assert_int_equal(next.stats.run_times.learned, 1);
	lw_report_clear(&next);
	lw_report_clear(&first);
}

/* A row may be cut, or of another build. Whatever it holds, predictions stay in
 * range. */
static void test_odd_rows_are_harmless(void **state)
{
	lw_pattern_t p = wrong_estimates;
	lw_report_t r;
	gsize len;
	const uint8_t *data;
	uint32_t whole = 0;

	(void)state;
	p.seconds = 5;
	lw_replay(&p, 1, &r);
	data = g_bytes_get_data(r.row, &len);
	for (gsize i = 0; i <= 2 * len; i++) {
		g_autofree uint8_t *odd = g_memdup2(data, len);
		bh_predictions_t predictions = {0};
		uint32_t n = 0;
		bh_sched_t *s;

		if (i > len)
			odd[i - len - 1] ^= 0x5a;
		s = open_sched(odd, MIN(i, len));
		bh_sched_each_run_time(s, count_learned, &n);
		bh_sched_predictions(s, &predictions);
		for (uint32_t k = 0; k < predictions.n; k++)
			assert_true(isfinite(predictions.rows[k].log_scale));
		assert_true(predictions.n <= n && n <= 6);
		whole = i == len ? n : whole;
		bh_predictions_clear(&predictions);
		bh_sched_free(s);
	}
	assert_in_range(whole, 4, 6);
	lw_report_clear(&r);
}

static void count_pairs(void *ctx, const char *filler, const char *lasting,
			double interference, double stddev)
{
	(void)filler;
	(void)lasting;
	(void)interference;
	(void)stddev;
	++*(uint32_t *)ctx;
}

/* Many keys must not keep the learned interference out of the row, nor make the
 * row larger than the store takes. */
static void test_row_is_bounded(void **state)
{
	bh_sched_t *s = open_sched(NULL, 0);
	char image[256];
	GBytes *row;
	gsize len;
	const void *data;
	bh_sched_t *next;
	uint32_t n = 0;

	(void)state;
	memset(image, 'x', sizeof(image) - 1);
	image[255] = 0;
	bh_sched_set_pair(s, image, image, 0.5, 0.1);
	for (uint32_t i = 0; i < BH_RUN_TIMES_KEYS_MAX; i++) {
		const bh_run_time_state_t one = {.key = {"q", image, i},
						 .ends = 9};

		g_snprintf(image + 240, 16, "%u", i);
		bh_sched_set_run_time(s, &one);
	}
	row = bh_learned_pack(s, 65536);
	data = g_bytes_get_data(row, &len);
	assert_in_range(len, 30000, 65536);
	next = open_sched(data, len);
	bh_sched_each_run_time(next, count_learned, &n);
	assert_in_range(n, 90, BH_RUN_TIMES_KEYS_MAX);
	n = 0;
	bh_sched_each_pair(next, count_pairs, &n);
	assert_int_equal(n, 1);
	bh_sched_free(next);
	bh_sched_free(s);
	g_bytes_unref(row);
}

static int print_replay(int argc, char **argv)
{
	lw_pattern_t p = strcmp(argv[1], "slow-tasks") == 0 ? slow_tasks
							    : wrong_estimates;
	lw_report_t r;

	p.learns = argc > 2 && strcmp(argv[2], "on") == 0;
	lw_replay(&p, argc > 3 ? (uint32_t)strtoul(argv[3], NULL, 10) : 1, &r);
	lw_print(&p, &r);
	lw_report_clear(&r);
	return 0;
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_ends_change_nothing),
		cmocka_unit_test(test_independent_estimates_are_ignored),
		cmocka_unit_test(test_biased_estimates_are_scaled),
		cmocka_unit_test(test_good_estimates_are_kept),
		cmocka_unit_test(test_tail_is_known),
		cmocka_unit_test(test_old_runs_are_forgotten),
		cmocka_unit_test(test_odd_states_are_refused),
		cmocka_unit_test(test_keys_are_bounded),
		cmocka_unit_test(test_second_attempts_are_limited),
		cmocka_unit_test(test_wrong_estimates_make_fewer_jobs_late),
		cmocka_unit_test(test_good_estimates_change_no_decision),
		cmocka_unit_test(test_slow_tasks_make_fewer_jobs_late),
		cmocka_unit_test(test_second_attempts_that_do_not_help_are_few),
		cmocka_unit_test(test_jobs_end_despite_wrong_predictions),
		cmocka_unit_test(test_long_tasks_leave_reservations),
		cmocka_unit_test(test_admission_goes_by_predictions),
		cmocka_unit_test(test_paced_fillers_are_learned_at_full_pace),
		cmocka_unit_test(test_predictions_travel_in_pings),
		cmocka_unit_test(test_next_leader_knows_run_times),
		cmocka_unit_test(test_odd_rows_are_harmless),
		cmocka_unit_test(test_row_is_bounded),
	};

	if (argc > 1)
		return print_replay(argc, argv);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
