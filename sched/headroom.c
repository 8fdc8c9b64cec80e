#include "sched/headroom.h"

/* More headroom carries no information. */
#define LEVEL_MAX 20.0

/* Random walks: standard deviation after one second of the level, relative to
 * the level, and of the slope. */
#define LEVEL_DRIFT_PER_S 0.05
#define SLOPE_DRIFT_PER_S 0.25

/* Standard deviation of the slope before it was observed, and its bound. */
#define SLOPE_STDDEV 0.3
#define SLOPE_MAX    2.0

/* Load can have changed in any way after a gap of several reports. */
#define GAP_MAX_US (1500 * BH_USEC_PER_MS)

bool bh_headroom_is_known(const bh_headroom_t *h)
{
	return h->level_variance > 0;
}

void bh_headroom_advance(bh_headroom_t *h, bh_usec_t now)
{
	double dt = (double)(now - h->updated_at) / BH_USEC_PER_SEC;
	double drift = LEVEL_DRIFT_PER_S * h->level;

	if (!bh_headroom_is_known(h))
		return;
	if (now - h->updated_at > GAP_MAX_US) {
		h->level_variance = 0;
		return;
	}
	h->level += h->slope * dt;
	h->level_variance += 2 * dt * h->covariance +
			     dt * dt * h->slope_variance + drift * drift * dt;
	h->covariance += dt * h->slope_variance;
	h->slope_variance += SLOPE_DRIFT_PER_S * SLOPE_DRIFT_PER_S * dt;
	h->updated_at = now;
}

void bh_headroom_correct(bh_headroom_t *h, double measured, double variance,
			 bh_usec_t now)
{
	double innovation = measured - h->level;
	double innovation_variance = h->level_variance + variance;
	double level_gain;
	double slope_gain;

	if (!bh_headroom_is_known(h)) {
		*h = (bh_headroom_t){
			.level = CLAMP(measured, 0, LEVEL_MAX),
			.level_variance = variance,
			.slope_variance = SLOPE_STDDEV * SLOPE_STDDEV,
			.updated_at = now,
		};
		return;
	}
	level_gain = h->level_variance / innovation_variance;
	slope_gain = h->covariance / innovation_variance;
	h->level = CLAMP(h->level + level_gain * innovation, 0, LEVEL_MAX);
	h->slope = CLAMP(h->slope + slope_gain * innovation, -SLOPE_MAX,
			 SLOPE_MAX);
	h->slope_variance -= slope_gain * h->covariance;
	h->covariance *= 1 - level_gain;
	h->level_variance *= 1 - level_gain;
}

double bh_headroom_after(const bh_headroom_t *h, double seconds)
{
	return h->level + h->slope * seconds;
}
