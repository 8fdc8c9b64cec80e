#include "sched/run_times.h"

#include <math.h>

/* Time in which the weight of what was learned halves. */
#define HALF_LIFE_S 60

/* A longer gap between two ends ages the data no more than this: a queue with
 * one end in 20 s would never reach BH_RUN_TIMES_ENDS_MIN otherwise. */
#define GAP_MAX_S 5

/* Weight of a run time that was added from progress. */
#define PROGRESS_WEIGHT 0.5

/* Ends from which on deviations are recorded; before, they are those of the
 * prediction rather than of the runs. */
#define DEVIATIONS_ENDS_MIN 4

/* Width of a class of deviations, as a difference of logarithms. The classes
 * reach from a twenty-fourth to 24 times the prediction. */
#define CLASS_WIDTH 0.2

/* Weight of deviations below which they count as unknown. */
#define DEVIATIONS_WEIGHT_MIN 1e-3

/* The declared estimates are used while their mean squared error is below
 * ESTIMATE_ERROR_GOOD, which is 20 %, or is not this much larger than that of
 * the better model. Two limits keep a key from alternating. The first ends are
 * those of the shortest runs, which makes good estimates seem too long: with
 * ESTIMATE_ERROR_ENDS ends both limits are twice as high, with fewer still
 * higher. */
#define ESTIMATE_ERROR_GOOD   0.04
#define ESTIMATE_ERROR_ENDS   24.0
#define ESTIMATE_LEAVE_RATIO  1.6
#define ESTIMATE_RETURN_RATIO 1.25

/* Added to mean squared errors, so that a model that happened to be exact does
 * not get all the weight. */
#define ERROR_MIN 0.0025

/* Largest logarithm of a run time or a ratio, and largest squared error, that
 * is taken from a stored row. */
#define LOG_MAX	  21.0
#define ERROR_MAX (LOG_MAX * LOG_MAX)

/* Progress at which its extrapolation counts as much as the distribution. It is
 * reported in whole percent, and up to a report interval late, so that the
 * variance of the extrapolation falls with the square of the progress. */
#define PROGRESS_EQUAL_PERCENT 10

/**
 * struct model - what is known of a key
 * @weights: deviations from the learned prediction, by class
 * @at: time of the last end; 0: it was not in this term
 */
typedef struct model {
	TAILQ_ENTRY(model) link;
	char *name;
	char *queue;
	char *image;
	uint32_t step;
	double ends;
	double log_duration;
	double log_ratio;
	double errors[BH_PREDICTORS];
	double weights[BH_RUN_TIMES_CLASSES];
	bool is_learned;
	bh_usec_t at;
} model_t;

typedef TAILQ_HEAD(models, model) models_t;

/**
 * struct bh_run_times - all models
 * @recent: by last use, the most recent one first
 */
struct bh_run_times {
	GHashTable *by_name;
	models_t recent;
	uint64_t version;
	bh_run_times_stats_t stats;
};

static char *name_of(const bh_run_key_t *key)
{
	return g_strdup_printf("%u\x1f%s\x1f%s", key->step, key->queue,
			       key->image ? key->image : "");
}

static model_t *find(const bh_run_times_t *rt, const bh_run_key_t *key)
{
	g_autofree char *name = name_of(key);

	return g_hash_table_lookup(rt->by_name, name);
}

static void touch(bh_run_times_t *rt, model_t *m)
{
	if (m == TAILQ_FIRST(&rt->recent))
		return;
	TAILQ_REMOVE(&rt->recent, m, link);
	TAILQ_INSERT_HEAD(&rt->recent, m, link);
}

static model_t *find_learned(bh_run_times_t *rt, const bh_run_key_t *key)
{
	model_t *m = find(rt, key);

	if (!m)
		return NULL;
	touch(rt, m);
	return m->is_learned ? m : NULL;
}

static void drop(bh_run_times_t *rt, model_t *m)
{
	g_hash_table_remove(rt->by_name, m->name);
	TAILQ_REMOVE(&rt->recent, m, link);
	g_free(m->name);
	g_free(m->queue);
	g_free(m->image);
	g_free(m);
}

static model_t *find_or_add(bh_run_times_t *rt, const bh_run_key_t *key)
{
	model_t *m = find(rt, key);

	if (m) {
		touch(rt, m);
		return m;
	}
	if (g_hash_table_size(rt->by_name) >= BH_RUN_TIMES_KEYS_MAX) {
		drop(rt, TAILQ_LAST(&rt->recent, models));
		rt->stats.evicted++;
	}
	m = g_new0(model_t, 1);
	m->name = name_of(key);
	m->queue = g_strdup(key->queue);
	m->image = g_strdup(key->image);
	m->step = key->step;
	g_hash_table_insert(rt->by_name, m->name, m);
	TAILQ_INSERT_HEAD(&rt->recent, m, link);
	return m;
}

static double log_ms(uint32_t ms)
{
	return log(MAX(ms, 1));
}

/* The logarithm of the run time that a predictor expects. */
static double expected_log(const model_t *m, bh_run_predictor_t predictor,
			   uint32_t estimate_ms)
{
	if (predictor == BH_PREDICT_DURATION)
		return m->log_duration;
	if (predictor == BH_PREDICT_RATIO)
		return log_ms(estimate_ms) + m->log_ratio;
	return log_ms(estimate_ms);
}

/* Weight of the duration, by the recent squared errors of both models. */
static double duration_part(const model_t *m)
{
	double duration = m->errors[BH_PREDICT_DURATION] + ERROR_MIN;
	double ratio = m->errors[BH_PREDICT_RATIO] + ERROR_MIN;

	return ratio * ratio / (ratio * ratio + duration * duration);
}

/* The logarithm of the run time that both models expect. */
static double learned_log(const model_t *m, uint32_t estimate_ms)
{
	double part = duration_part(m);

	return part * expected_log(m, BH_PREDICT_DURATION, estimate_ms) +
	       (1 - part) * expected_log(m, BH_PREDICT_RATIO, estimate_ms);
}

static bool are_estimates_good(const model_t *m)
{
	double best = MIN(m->errors[BH_PREDICT_DURATION],
			  m->errors[BH_PREDICT_RATIO]);
	double ratio =
		m->is_learned ? ESTIMATE_RETURN_RATIO : ESTIMATE_LEAVE_RATIO;
	double margin = 1 + ESTIMATE_ERROR_ENDS / m->ends;

	return m->errors[BH_PREDICT_ESTIMATE] <=
	       margin * MAX(ESTIMATE_ERROR_GOOD, ratio * best);
}

static void set_learned(bh_run_times_t *rt, model_t *m)
{
	m->is_learned =
		m->ends >= BH_RUN_TIMES_ENDS_MIN && !are_estimates_good(m);
	rt->version++;
}

static double class_middle(uint32_t i)
{
	return ((double)i + 0.5 - BH_RUN_TIMES_CLASSES / 2.0) * CLASS_WIDTH;
}

static uint32_t class_of(double deviation)
{
	double i = deviation / CLASS_WIDTH + BH_RUN_TIMES_CLASSES / 2.0;

	return (uint32_t)CLAMP(i, 0, BH_RUN_TIMES_CLASSES - 1);
}

static double total_weight(const model_t *m)
{
	double sum = 0;

	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++)
		sum += m->weights[i];
	return sum;
}

/* Mean deviation of run times from the prediction, as a factor. */
static double mean_factor(const model_t *m)
{
	double total = total_weight(m);
	double sum = 0;

	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++)
		sum += m->weights[i] * exp(class_middle(i));
	return total < DEVIATIONS_WEIGHT_MIN ? 1 : sum / total;
}

static uint32_t to_ms(double ms)
{
	return (uint32_t)CLAMP(ms, 1, BH_JOB_AMOUNT_MAX);
}

static void age(model_t *m, bh_usec_t now)
{
	double gap = m->at ? (double)(now - m->at) / BH_USEC_PER_SEC : 0;
	double factor = exp2(-CLAMP(gap, 0, GAP_MAX_S) / HALF_LIFE_S);

	m->at = now;
	m->ends *= factor;
	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++)
		m->weights[i] *= factor;
}

static bool add(bh_run_times_t *rt, const bh_run_key_t *key,
		uint32_t estimate_ms, uint32_t actual_ms, double weight,
		bh_usec_t now)
{
	model_t *m = find_or_add(rt, key);
	bool was_learned = m->is_learned;
	double actual = log_ms(actual_ms);
	double part;

	age(m, now);
	part = weight / (m->ends + weight);
	for (int i = 0; m->ends > 0 && i < BH_PREDICTORS; i++) {
		double error = actual - expected_log(m, (bh_run_predictor_t)i,
						     estimate_ms);

		m->errors[i] += (error * error - m->errors[i]) * part;
	}
	if (m->ends >= DEVIATIONS_ENDS_MIN)
		m->weights[class_of(actual - learned_log(m, estimate_ms))] +=
			weight;
	m->log_duration += (actual - m->log_duration) * part;
	m->log_ratio += (actual - log_ms(estimate_ms) - m->log_ratio) * part;
	m->ends += weight;
	set_learned(rt, m);
	return m->is_learned != was_learned;
}

bh_run_times_t *bh_run_times_new(void)
{
	bh_run_times_t *rt = g_new0(bh_run_times_t, 1);

	rt->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&rt->recent);
	rt->version = 1;
	return rt;
}

void bh_run_times_free(bh_run_times_t *rt)
{
	if (!rt)
		return;
	while (!TAILQ_EMPTY(&rt->recent))
		drop(rt, TAILQ_FIRST(&rt->recent));
	g_hash_table_destroy(rt->by_name);
	g_free(rt);
}

bool bh_run_times_add(bh_run_times_t *rt, const bh_run_key_t *key,
		      uint32_t estimate_ms, uint32_t actual_ms, bh_usec_t now)
{
	rt->stats.ends++;
	return add(rt, key, estimate_ms, actual_ms, 1, now);
}

bool bh_run_times_add_progress(bh_run_times_t *rt, const bh_run_key_t *key,
			       uint32_t estimate_ms, uint32_t implied_ms,
			       bh_usec_t now)
{
	rt->stats.progress++;
	return add(rt, key, estimate_ms, implied_ms, PROGRESS_WEIGHT, now);
}

bool bh_run_times_is_learned(bh_run_times_t *rt, const bh_run_key_t *key)
{
	return find_learned(rt, key) != NULL;
}

uint32_t bh_run_times_predict(bh_run_times_t *rt, const bh_run_key_t *key,
			      uint32_t estimate_ms)
{
	const model_t *m = find_learned(rt, key);

	return m ? to_ms(exp(learned_log(m, estimate_ms)) * mean_factor(m))
		 : estimate_ms;
}

uint32_t bh_run_times_quantile(bh_run_times_t *rt, const bh_run_key_t *key,
			       uint32_t estimate_ms, double q)
{
	const model_t *m = find_learned(rt, key);
	double rest;

	if (!m)
		return estimate_ms;
	rest = total_weight(m) * CLAMP(q, 0, 1);
	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES && rest > 0; i++) {
		if (rest <= m->weights[i]) {
			double within = rest / m->weights[i] - 0.5;

			return to_ms(exp(learned_log(m, estimate_ms) +
					 class_middle(i) +
					 within * CLASS_WIDTH));
		}
		rest -= m->weights[i];
	}
	return to_ms(exp(learned_log(m, estimate_ms)));
}

/* Mean of what is left of those runs of the distribution that take longer than
 * @elapsed. A run that has outlived all of them is expected to take as long
 * again. */
static double left_by_distribution(const model_t *m, uint32_t estimate_ms,
				   double elapsed)
{
	double middle = exp(learned_log(m, estimate_ms));
	double weight = 0;
	double sum = 0;

	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++) {
		double ms = middle * exp(class_middle(i));

		if (ms <= elapsed)
			continue;
		weight += m->weights[i];
		sum += m->weights[i] * (ms - elapsed);
	}
	if (weight >= DEVIATIONS_WEIGHT_MIN)
		return sum / weight;
	return elapsed < middle ? middle - elapsed : elapsed;
}

/* Weight of the extrapolation of a run's progress. */
static double progress_part(uint32_t percent)
{
	double square = (double)percent * percent;

	return square /
	       (square + PROGRESS_EQUAL_PERCENT * PROGRESS_EQUAL_PERCENT);
}

uint32_t bh_run_times_left(bh_run_times_t *rt, const bh_run_key_t *key,
			   uint32_t estimate_ms, uint32_t elapsed_ms,
			   uint32_t percent)
{
	const model_t *m = find_learned(rt, key);
	uint32_t done = MIN(percent, 100);
	double left;

	if (!m)
		return (uint32_t)((uint64_t)estimate_ms * (100 - done) / 100);
	if (done == 100)
		return 0;
	left = left_by_distribution(m, estimate_ms, elapsed_ms);
	if (done > 0 && elapsed_ms > 0) {
		double part = progress_part(done);

		left = left * (1 - part) +
		       part * elapsed_ms * (100 - done) / done;
	}
	return to_ms(left);
}

void bh_run_times_predictions(const bh_run_times_t *rt, bh_predictions_t *out)
{
	const model_t *m;

	TAILQ_FOREACH(m, &rt->recent, link) {
		double part = duration_part(m);
		bh_prediction_t row = {
			.queue = m->queue,
			.image = m->image,
			.step = m->step,
			.log_scale = part * m->log_duration +
				     (1 - part) * m->log_ratio +
				     log(mean_factor(m)),
			.exponent = 1 - part,
		};

		if (m->is_learned)
			bh_predictions_add(out, &row);
	}
}

uint64_t bh_run_times_version(const bh_run_times_t *rt)
{
	return rt->version;
}

static void describe(const model_t *m, bh_run_time_state_t *out)
{
	double most = 0;

	*out = (bh_run_time_state_t){
		.key = {m->queue, m->image, m->step},
		.ends = m->ends,
		.log_duration = m->log_duration,
		.log_ratio = m->log_ratio,
	};
	memcpy(out->errors, m->errors, sizeof(out->errors));
	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++)
		most = MAX(most, m->weights[i]);
	for (uint32_t i = 0; most > 0 && i < BH_RUN_TIMES_CLASSES; i++)
		out->deviations[i] = (uint8_t)ceil(m->weights[i] / most * 255);
}

bool bh_run_times_get(const bh_run_times_t *rt, const bh_run_key_t *key,
		      bh_run_time_state_t *out)
{
	const model_t *m = find(rt, key);

	if (!m)
		return false;
	describe(m, out);
	return true;
}

void bh_run_times_each(const bh_run_times_t *rt, bh_run_times_cb_t cb,
		       void *ctx)
{
	const model_t *m;

	TAILQ_FOREACH(m, &rt->recent, link) {
		bh_run_time_state_t state;

		describe(m, &state);
		cb(ctx, &state);
	}
}

/* Comparisons with a value that is not a number are false. */
static bool is_within(double value, double min, double max)
{
	return value >= min && value <= max;
}

static bool is_state_valid(const bh_run_time_state_t *state)
{
	if (!state->key.queue || !is_within(state->ends, 0, 1e9) ||
	    !is_within(state->log_duration, 0, LOG_MAX) ||
	    !is_within(state->log_ratio, -LOG_MAX, LOG_MAX))
		return false;
	for (int i = 0; i < BH_PREDICTORS; i++) {
		if (!is_within(state->errors[i], 0, ERROR_MAX))
			return false;
	}
	return true;
}

bool bh_run_times_set(bh_run_times_t *rt, const bh_run_time_state_t *state)
{
	double sum = 0;
	model_t *m;

	if (!is_state_valid(state))
		return false;
	m = find_or_add(rt, &state->key);
	m->at = 0;
	m->is_learned = false;
	m->ends = state->ends;
	m->log_duration = state->log_duration;
	m->log_ratio = state->log_ratio;
	memcpy(m->errors, state->errors, sizeof(m->errors));
	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++)
		sum += state->deviations[i];
	for (uint32_t i = 0; i < BH_RUN_TIMES_CLASSES; i++)
		m->weights[i] =
			sum > 0 ? state->ends * state->deviations[i] / sum : 0;
	set_learned(rt, m);
	return true;
}

void bh_run_times_stats(const bh_run_times_t *rt, bh_run_times_stats_t *out)
{
	const model_t *m;

	*out = rt->stats;
	TAILQ_FOREACH(m, &rt->recent, link) {
		out->keys++;
		out->learned += m->is_learned;
	}
}
