#include "core/hist.h"

static unsigned bucket_of(uint64_t us)
{
	unsigned shift;
	unsigned bucket;

	if (us < BH_HIST_STEPS)
		return (unsigned)us;
	shift = 63 - (unsigned)__builtin_clzll(us) - 4;
	bucket = (shift + 1) * BH_HIST_STEPS +
		 (unsigned)(us >> shift) % BH_HIST_STEPS;
	return MIN(bucket, BH_HIST_BUCKETS - 1);
}

static bh_usec_t upper_edge(unsigned bucket)
{
	unsigned shift;

	if (bucket < BH_HIST_STEPS)
		return bucket;
	shift = bucket / BH_HIST_STEPS - 1;
	return ((bh_usec_t)(BH_HIST_STEPS + bucket % BH_HIST_STEPS + 1)
		<< shift) -
	       1;
}

void bh_hist_add(bh_hist_t *hist, bh_usec_t us)
{
	if (us < 0)
		us = 0;
	hist->count++;
	hist->sum_us += (uint64_t)us;
	hist->max_us = MAX(hist->max_us, us);
	hist->buckets[bucket_of((uint64_t)us)]++;
}

bh_usec_t bh_hist_quantile(const bh_hist_t *hist, double q)
{
	uint64_t rank = (uint64_t)(q * (double)hist->count);
	uint64_t seen = 0;

	for (unsigned i = 0; i < BH_HIST_BUCKETS; i++) {
		seen += hist->buckets[i];
		if (seen > rank)
			return MIN(upper_edge(i), hist->max_us);
	}
	return hist->max_us;
}
