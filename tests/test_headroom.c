/*
 * Tests of the estimate of headroom without fillers (headroom.c), with the load
 * pattern of a serving task whose users' load swings.
 */
#include "sched/headroom.h"
#include "tests/test.h"

#include <glib.h>
#include <math.h>

/* Tasks of the phase, whose reports come one after another. */
#define TASKS	       6
#define REPORT_US      (MS(200) / TASKS)
#define PERIOD_S       14.0
#define NOISE_STDDEV   0.15
#define GAUGE_LAG_S    0.25
#define PACING_DELAY_S 0.15
#define SETTLE_S       3.0
#define MEASUREMENTS   2400
#define MEAN_HEADROOM  2.5
#define SWING_OF_MEAN  0.5

/* Headroom of a serving task at a time, in seconds. */
static double true_headroom(double seconds)
{
	return MEAN_HEADROOM *
	       (1 + SWING_OF_MEAN * sin(2 * G_PI * seconds / PERIOD_S));
}

/* Root mean square error of the headroom that was predicted for the moment at
 * which an order takes effect. */
static double prediction_error(double horizon, uint32_t seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	bh_headroom_t h = {0};
	double sum = 0;
	int n = 0;

	for (int i = 1; i <= MEASUREMENTS; i++) {
		bh_usec_t now = i * REPORT_US;
		double seconds = (double)now / BH_USEC_PER_SEC;
		double noise =
			g_rand_double_range(rand, -1.7, 1.7) * NOISE_STDDEV;
		double error;

		bh_headroom_advance(&h, now);
		bh_headroom_correct(
			&h, true_headroom(seconds - GAUGE_LAG_S) + noise,
			NOISE_STDDEV * NOISE_STDDEV, now);
		if (seconds < SETTLE_S)
			continue;
		error = bh_headroom_after(&h, horizon) -
			true_headroom(seconds + PACING_DELAY_S);
		sum += error * error;
		n++;
	}
	return sqrt(sum / n);
}

/* Without the trend, the estimate lags by the age of the gauges and the delay
 * of orders, and is wrong by most when the load rises fastest. */
static void test_trend_makes_up_for_the_lag(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 5; seed++) {
		double ahead =
			prediction_error(GAUGE_LAG_S + PACING_DELAY_S, seed);

		assert_true(ahead < prediction_error(0, seed) * 0.7);
	}
}

/* A constant load must not be predicted to change because of noise. */
static void test_constant_load_has_no_trend(void **state)
{
	bh_headroom_t h = {0};

	(void)state;
	for (int i = 1; i <= MEASUREMENTS; i++) {
		bh_headroom_advance(&h, i * REPORT_US);
		bh_headroom_correct(
			&h, MEAN_HEADROOM + (i % 2 ? 1 : -1) * NOISE_STDDEV,
			NOISE_STDDEV * NOISE_STDDEV, i * REPORT_US);
	}
	assert_true(fabs(h.slope) < 0.1);
	assert_true(fabs(h.level - MEAN_HEADROOM) < NOISE_STDDEV);
}

/* A phase whose tasks did not serve for seconds, for example after a loss of
 * power, starts with the first measurement again; its old trend would predict
 * any value. */
static void test_estimate_is_unknown_after_a_gap(void **state)
{
	bh_headroom_t h = {0};

	(void)state;
	for (int i = 1; i <= 20; i++) {
		bh_headroom_advance(&h, i * REPORT_US);
		bh_headroom_correct(&h, 4.0 - 0.1 * i, 0.02, i * REPORT_US);
	}
	assert_true(h.slope < 0);
	bh_headroom_advance(&h, 20 * REPORT_US + MS(10000));
	assert_false(bh_headroom_is_known(&h));
	bh_headroom_correct(&h, 3.0, 0.02, 20 * REPORT_US + MS(10000));
	assert_true(bh_headroom_is_known(&h));
	assert_true(fabs(bh_headroom_after(&h, 1.0) - 3.0) < 0.01);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_trend_makes_up_for_the_lag),
		cmocka_unit_test(test_constant_load_has_no_trend),
		cmocka_unit_test(test_estimate_is_unknown_after_a_gap),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
