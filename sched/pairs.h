/*
 * How much fillers disturb serving tasks, learned by pairs of images. A serving
 * task's headroom is its objective over its tail latency. Near saturation tails
 * grow without bound, but headroom falls in proportion to what presses:
 *
 *	headroom = headroom alone - sum over fillers of harm * share
 *
 * where share is the part of the host's processors that a filler uses. Each
 * serving image has a Kalman filter over the harm of all fillers seen beside
 * it, so that blame goes to those of whom least is known.
 */
#ifndef BH_SCHED_PAIRS_H
#define BH_SCHED_PAIRS_H

#include "core/types.h"

typedef struct bh_pairs bh_pairs_t;

/* An image's number; numbers are never given twice. */
typedef uint32_t bh_image_id_t;

/**
 * struct bh_filler_load - fillers of one image on a host
 * @share: part of the host's processors that they use
 * @residual: how far the last report was from @share
 */
typedef struct bh_filler_load {
	bh_image_id_t image;
	double share;
	double residual;
} bh_filler_load_t;

bh_pairs_t *bh_pairs_new(void);
void bh_pairs_free(bh_pairs_t *pairs);

/**
 * bh_pairs_image_id() - the number of an image
 * @name: NULL and "" are the image of tasks that name none
 */
bh_image_id_t bh_pairs_image_id(bh_pairs_t *pairs, const char *name);

/**
 * bh_pairs_harm() - headroom lost for each host's worth of a filler
 */
double bh_pairs_harm(const bh_pairs_t *pairs, bh_image_id_t filler,
		     bh_image_id_t serving);

/**
 * bh_pairs_predict_drop() - predicted loss of headroom
 * @variance: set to the prediction's variance
 */
double bh_pairs_predict_drop(const bh_pairs_t *pairs, bh_image_id_t serving,
			     const bh_filler_load_t *loads, uint32_t n,
			     double *variance);

/**
 * bh_pairs_learn() - headroom was seen beside fillers
 * @innovation: the drop that was seen, less the one predicted
 * @noise: variance of what else may explain @innovation
 */
void bh_pairs_learn(bh_pairs_t *pairs, bh_image_id_t serving,
		    const bh_filler_load_t *loads, uint32_t n,
		    double innovation, double noise);

/**
 * bh_pairs_age() - time has passed, in which images may have changed
 */
void bh_pairs_age(bh_pairs_t *pairs, double seconds);

/**
 * bh_pair_cb_t - a pair that is known; @stddev is the harm's standard deviation
 */
typedef void (*bh_pair_cb_t)(void *ctx, const char *filler, const char *serving,
			     double harm, double stddev);

/**
 * bh_pairs_each() - all that is known; a new leader takes it over by
 * bh_pairs_set()
 */
void bh_pairs_each(const bh_pairs_t *pairs, bh_pair_cb_t cb, void *ctx);
void bh_pairs_set(bh_pairs_t *pairs, const char *filler, const char *serving,
		  double harm, double stddev);

#endif
