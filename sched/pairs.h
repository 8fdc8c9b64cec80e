/*
 * How much fillers disturb lasting tasks, learned by pairs of images from tail
 * latencies. A lasting task's tail is taken to be
 *
 *	base * (1 + sum over fillers of harm(filler, lasting) * share)
 *
 * where share is the part of the host's processors that a filler uses. Harm is
 * never negative, so that each look bounds it from above: what a tail has not
 * grown by, no filler beside it has added.
 */
#ifndef BH_SCHED_PAIRS_H
#define BH_SCHED_PAIRS_H

#include "core/types.h"

typedef struct bh_pairs bh_pairs_t;

/**
 * struct bh_press - fillers of one image on a host
 * @share: part of the host's processors that they use
 */
typedef struct bh_press {
	const char *image;
	double share;
} bh_press_t;

bh_pairs_t *bh_pairs_new(void);
void bh_pairs_free(bh_pairs_t *pairs);

/**
 * bh_pairs_harm() - what is known of a pair, or the prior
 */
double bh_pairs_harm(const bh_pairs_t *pairs, const char *filler,
		     const char *lasting);

typedef void (*bh_pair_cb_t)(void *ctx, const char *filler, const char *lasting,
			     double harm, double upper);

/**
 * bh_pairs_each() - all that is known; a new leader takes it over by
 * bh_pairs_set()
 */
void bh_pairs_each(const bh_pairs_t *pairs, bh_pair_cb_t cb, void *ctx);
void bh_pairs_set(bh_pairs_t *pairs, const char *filler, const char *lasting,
		  double harm, double upper);

/**
 * bh_pairs_excess() - predicted growth of a lasting task's tail
 */
double bh_pairs_excess(const bh_pairs_t *pairs, const char *lasting,
		       const bh_press_t *press, uint32_t n);

/**
 * bh_pairs_bound() - a tail was seen beside fillers that had been there a while
 * @press: the least share of each over that while
 * @excess: seen tail over its base, minus 1
 */
void bh_pairs_bound(bh_pairs_t *pairs, const char *lasting,
		    const bh_press_t *press, uint32_t n, double excess);

/**
 * bh_pairs_learn() - a tail was seen beside fillers
 * @press: their shares with the lag of a gauge
 */
void bh_pairs_learn(bh_pairs_t *pairs, const char *lasting,
		    const bh_press_t *press, uint32_t n, double excess);

#endif
