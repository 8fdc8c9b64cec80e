/*
 * Interference of fillers with serving tasks, estimated per pair of images.
 *
 * The headroom of a serving task is its latency objective divided by its tail
 * latency. Near saturation the tail latency grows without bound, while the
 * headroom falls linearly with the load of the fillers beside it:
 *
 *	headroom = headroom without fillers - sum over fillers of interference *
 *share
 *
 * where share is the fraction of the host's processors that a filler uses, and
 * interference is a coefficient of the pair. Each serving image has a Kalman
 * filter over the coefficients of all fillers that ran beside it, so that an
 * unexpected drop is attributed mostly to the fillers that are least known.
 */
#ifndef BH_SCHED_PAIRS_H
#define BH_SCHED_PAIRS_H

#include "core/types.h"

typedef struct bh_pairs bh_pairs_t;

/* Identifies an image; ids are not reused. */
typedef uint32_t bh_image_id_t;

/**
 * struct bh_filler_load - load of all fillers of one image on a host
 * @share: fraction of the host's processors that they use, low-pass filtered
 * @residual: share in the last report minus @share
 */
typedef struct bh_filler_load {
	bh_image_id_t image;
	double share;
	double residual;
} bh_filler_load_t;

bh_pairs_t *bh_pairs_new(void);
void bh_pairs_free(bh_pairs_t *pairs);

/**
 * bh_pairs_image_id() - id of an image, allocated on first use
 * @name: NULL and "" both stand for tasks without an image name
 */
bh_image_id_t bh_pairs_image_id(bh_pairs_t *pairs, const char *name);

/**
 * bh_pairs_interference() - estimated interference of a pair
 *
 * Return: headroom lost per share of the host that the filler uses; the prior
 * for a pair that has not been observed.
 */
double bh_pairs_interference(const bh_pairs_t *pairs, bh_image_id_t filler,
			     bh_image_id_t serving);

/**
 * bh_pairs_interference_bound() - estimate plus @stddevs standard deviations
 */
double bh_pairs_interference_bound(const bh_pairs_t *pairs,
				   bh_image_id_t filler, bh_image_id_t serving,
				   double stddevs);

/**
 * bh_pairs_predict_drop() - headroom that a serving task is predicted to lose
 * @variance: set to the variance of the prediction
 */
double bh_pairs_predict_drop(const bh_pairs_t *pairs, bh_image_id_t serving,
			     const bh_filler_load_t *loads, uint32_t n,
			     double *variance);

/**
 * bh_pairs_learn() - update the filter of a serving image with a measurement
 * @innovation: measured drop of headroom minus the predicted one
 * @noise: variance of @innovation from causes other than wrong estimates
 */
void bh_pairs_learn(bh_pairs_t *pairs, bh_image_id_t serving,
		    const bh_filler_load_t *loads, uint32_t n,
		    double innovation, double noise);

/**
 * bh_pairs_age() - raise the variances for the time in which images may have
 * changed
 */
void bh_pairs_age(bh_pairs_t *pairs, double seconds);

/**
 * bh_pair_cb_t - receives a known pair; @stddev is the standard deviation of
 * @interference
 */
typedef void (*bh_pair_cb_t)(void *ctx, const char *filler, const char *serving,
			     double interference, double stddev);

/**
 * bh_pairs_each() - call @cb for every known pair
 *
 * A new leader restores the pairs with bh_pairs_set().
 */
void bh_pairs_each(const bh_pairs_t *pairs, bh_pair_cb_t cb, void *ctx);
void bh_pairs_set(bh_pairs_t *pairs, const char *filler, const char *serving,
		  double interference, double stddev);

#endif
