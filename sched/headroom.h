/*
 * Headroom of a step's serving tasks without fillers: its level and its trend.
 *
 * Load pattern: the users' load of a serving task swings by half within ten
 * seconds, while gauges cover the last 500 ms and an order takes effect some
 * 100 ms later. An estimate of the level alone lags a rising load, so that
 * fillers are paced down only once tail latencies are above their objective.
 */
#ifndef BH_SCHED_HEADROOM_H
#define BH_SCHED_HEADROOM_H

#include "core/types.h"

/**
 * struct bh_headroom - Kalman filter of a level and its slope
 * @level: estimated headroom at @updated_at
 * @slope: its change per second
 * @level_variance: variance of @level; 0: nothing was measured yet
 * @slope_variance: variance of @slope
 * @covariance: of @level and @slope
 */
typedef struct bh_headroom {
	double level;
	double slope;
	double level_variance;
	double slope_variance;
	double covariance;
	bh_usec_t updated_at;
} bh_headroom_t;

bool bh_headroom_is_known(const bh_headroom_t *h);

/**
 * bh_headroom_advance() - advance the estimate to @now
 *
 * After a gap without measurements the estimate is unknown again.
 */
void bh_headroom_advance(bh_headroom_t *h, bh_usec_t now);

/**
 * bh_headroom_correct() - apply a measurement
 * @measured: headroom measured, plus the part that fillers take
 * @variance: of @measured
 *
 * The first measurement sets the level.
 */
void bh_headroom_correct(bh_headroom_t *h, double measured, double variance,
			 bh_usec_t now);

/**
 * bh_headroom_after() - predicted headroom @seconds after the last measurement
 */
double bh_headroom_after(const bh_headroom_t *h, double seconds);

#endif
