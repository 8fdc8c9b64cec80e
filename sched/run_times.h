/*
 * Distributions of run times, learned per queue, image and step from ends of
 * runs and from their progress.
 *
 * Load pattern: estimates of a queue's jobs that are wrong by up to nine tenths
 * either way, or independent of the true run times, and a few tasks that take
 * several times as long as the others. Order, admission and reservations by the
 * declared estimates alone then let the wrong jobs go first.
 *
 * There are two models for each key: the duration itself, and its ratio to the
 * declared estimate. They are combined by their recent errors. Where the
 * declared estimates are about as accurate as these, they are used unchanged.
 */
#ifndef BH_SCHED_RUN_TIMES_H
#define BH_SCHED_RUN_TIMES_H

#include "sched/predictions.h"

/* Most keys that are kept; the one unused for longest is dropped. */
#define BH_RUN_TIMES_KEYS_MAX 512u

/* Classes of the deviation of run times from the prediction. */
#define BH_RUN_TIMES_CLASSES 32u

/* Ends from which on a key's models are used. */
#define BH_RUN_TIMES_ENDS_MIN 8

typedef struct bh_run_times bh_run_times_t;

/**
 * struct bh_run_key - what runs with similar run times have in common
 * @queue: name of the job's queue
 * @image: the step's program image, or NULL
 * @step: index of the step in its job
 */
typedef struct bh_run_key {
	const char *queue;
	const char *image;
	uint32_t step;
} bh_run_key_t;

/**
 * enum bh_run_predictor - ways to predict a run time
 */
typedef enum bh_run_predictor {
	BH_PREDICT_ESTIMATE,
	BH_PREDICT_DURATION,
	BH_PREDICT_RATIO,
	BH_PREDICTORS,
} bh_run_predictor_t;

/**
 * struct bh_run_time_state - what is known of a key, as stored for the next
 * leader
 * @ends: number of ends, less with their age
 * @log_duration: mean logarithm of the run time in ms
 * @log_ratio: mean logarithm of the run time divided by the estimate
 * @errors: mean squared error of the logarithm, by predictor
 * @deviations: relative frequency of each class of deviation, the most frequent
 *	one being 255
 */
typedef struct bh_run_time_state {
	bh_run_key_t key;
	double ends;
	double log_duration;
	double log_ratio;
	double errors[BH_PREDICTORS];
	uint8_t deviations[BH_RUN_TIMES_CLASSES];
} bh_run_time_state_t;

/**
 * struct bh_run_times_stats - counters and gauges
 * @ends: ends that were added
 * @progress: run times that were added from progress before the end
 * @evicted: keys that were dropped for others
 * @keys: keys that are known
 * @learned: keys whose predictions differ from the declared estimates
 */
typedef struct bh_run_times_stats {
	uint64_t ends;
	uint64_t progress;
	uint64_t evicted;
	uint32_t keys;
	uint32_t learned;
} bh_run_times_stats_t;

bh_run_times_t *bh_run_times_new(void);
void bh_run_times_free(bh_run_times_t *rt);

/**
 * bh_run_times_add() - learn from the end of a run
 * @actual_ms: its run time at full pace
 *
 * Return: whether the key's predictions changed between the declared estimate
 * and the learned one.
 */
bool bh_run_times_add(bh_run_times_t *rt, const bh_run_key_t *key,
		      uint32_t estimate_ms, uint32_t actual_ms, bh_usec_t now);

/**
 * bh_run_times_add_progress() - learn from a run that is half done
 * @implied_ms: its run time at full pace if it goes on like this
 *
 * Counts as half an end. The first ends are those of the shortest runs, so that
 * ends alone would lead to predictions that are too short at first.
 */
bool bh_run_times_add_progress(bh_run_times_t *rt, const bh_run_key_t *key,
			       uint32_t estimate_ms, uint32_t implied_ms,
			       bh_usec_t now);

/**
 * bh_run_times_is_learned() - whether predictions for the key differ from the
 * declared estimates
 */
bool bh_run_times_is_learned(bh_run_times_t *rt, const bh_run_key_t *key);

/**
 * bh_run_times_predict() - predicted mean run time in ms; the estimate itself
 * unless the key is learned
 */
uint32_t bh_run_times_predict(bh_run_times_t *rt, const bh_run_key_t *key,
			      uint32_t estimate_ms);

/**
 * bh_run_times_quantile() - run time in ms that a part @q of the runs does not
 * exceed; the estimate itself unless the key is learned
 */
uint32_t bh_run_times_quantile(bh_run_times_t *rt, const bh_run_key_t *key,
			       uint32_t estimate_ms, double q);

/**
 * bh_run_times_left() - predicted remaining run time of an unfinished run, in
 * ms at full pace
 * @elapsed_ms: its run time so far, as if it had run at full pace
 * @percent: its progress
 *
 * The estimate less the part of @percent unless the key is learned.
 */
uint32_t bh_run_times_left(bh_run_times_t *rt, const bh_run_key_t *key,
			   uint32_t estimate_ms, uint32_t elapsed_ms,
			   uint32_t percent);

/**
 * bh_run_times_predictions() - list the learned predictions, those of the most
 * recently used keys if there are too many
 * @out: has to be clear
 */
void bh_run_times_predictions(const bh_run_times_t *rt, bh_predictions_t *out);

/**
 * bh_run_times_version() - changes whenever a prediction may have changed
 */
uint64_t bh_run_times_version(const bh_run_times_t *rt);

/**
 * bh_run_times_get() - state of a key
 *
 * Return: false if the key is not known.
 */
bool bh_run_times_get(const bh_run_times_t *rt, const bh_run_key_t *key,
		      bh_run_time_state_t *out);

/**
 * bh_run_times_each() - iterate over the keys, the most recently used first
 */
typedef void (*bh_run_times_cb_t)(void *ctx, const bh_run_time_state_t *state);
void bh_run_times_each(const bh_run_times_t *rt, bh_run_times_cb_t cb,
		       void *ctx);

/**
 * bh_run_times_set() - set the state of a key, as an earlier leader stored it
 *
 * Return: false if a value is not a number or out of range; the state is then
 * ignored.
 */
bool bh_run_times_set(bh_run_times_t *rt, const bh_run_time_state_t *state);
void bh_run_times_stats(const bh_run_times_t *rt, bh_run_times_stats_t *out);

#endif
