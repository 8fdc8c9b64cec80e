/*
 * Latency histogram in microseconds with 16 linear buckets per power of two.
 */
#ifndef BH_CORE_HIST_H
#define BH_CORE_HIST_H

#include "core/types.h"

#define BH_HIST_STEPS	16
#define BH_HIST_BUCKETS (BH_HIST_STEPS * 28)

typedef struct bh_hist {
	uint64_t count;
	uint64_t sum_us;
	bh_usec_t max_us;
	uint32_t buckets[BH_HIST_BUCKETS];
} bh_hist_t;

void bh_hist_add(bh_hist_t *hist, bh_usec_t us);

/**
 * bh_hist_quantile() - upper bound of the bucket that contains a quantile
 * @q: 0.0 to 1.0
 *
 * Return: microseconds, at most 1/16 above the true value; 0 when empty.
 */
bh_usec_t bh_hist_quantile(const bh_hist_t *hist, double q);

#endif
