/*
 * Token bucket: limits a rate with a bounded burst.
 */
#ifndef BH_CORE_BUCKET_H
#define BH_CORE_BUCKET_H

#include "core/types.h"

typedef struct bh_bucket {
	double rate;  /* tokens per second */
	double burst; /* capacity in tokens */
	double tokens;
	bh_usec_t updated;
} bh_bucket_t;

void bh_bucket_init(bh_bucket_t *b, double rate, double burst, bh_usec_t now);

/**
 * bh_bucket_take() - take @n tokens if there are enough
 *
 * Return: false, without taking any, when there are fewer than @n tokens.
 */
bool bh_bucket_take(bh_bucket_t *b, double n, bh_usec_t now);

/**
 * bh_bucket_put() - add tokens, up to the capacity
 */
void bh_bucket_put(bh_bucket_t *b, double n);

/**
 * bh_bucket_wait() - time until a token is available, 0 if the rate is 0
 */
bh_usec_t bh_bucket_wait(const bh_bucket_t *b);

#endif
