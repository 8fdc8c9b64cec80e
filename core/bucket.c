#include "core/bucket.h"

static void refill(bh_bucket_t *b, bh_usec_t now)
{
	double elapsed_s;

	if (now <= b->updated)
		return;
	elapsed_s = (double)(now - b->updated) / (double)BH_USEC_PER_SEC;
	b->updated = now;
	bh_bucket_put(b, elapsed_s * b->rate);
}

void bh_bucket_init(bh_bucket_t *b, double rate, double burst, bh_usec_t now)
{
	b->rate = rate;
	b->burst = burst;
	b->tokens = burst;
	b->updated = now;
}

bool bh_bucket_take(bh_bucket_t *b, double n, bh_usec_t now)
{
	refill(b, now);
	if (b->tokens < n)
		return false;
	b->tokens -= n;
	return true;
}

void bh_bucket_put(bh_bucket_t *b, double n)
{
	b->tokens = MIN(b->burst, b->tokens + n);
}

bh_usec_t bh_bucket_wait(const bh_bucket_t *b)
{
	if (b->tokens >= 1 || b->rate <= 0)
		return 0;
	return (bh_usec_t)((1 - b->tokens) / b->rate * (double)BH_USEC_PER_SEC);
}
