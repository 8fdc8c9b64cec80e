/*
 * Predicted run times in the form in which the leader sends them to the
 * entries, which admit jobs by them.
 *
 * Load pattern: jobs whose estimates are wrong by up to nine tenths. Admission
 * by the declared estimates refuses jobs that would end in time, and accepts
 * others that end too late to count.
 */
#ifndef BH_SCHED_PREDICTIONS_H
#define BH_SCHED_PREDICTIONS_H

#include "sched/job.h"

/* Most predictions; 64 of them take some 3 KB of each ping. */
#define BH_PREDICTIONS_MAX 64

/**
 * struct bh_prediction - how to predict the run time of a step's tasks
 * @queue: name of the job's queue
 * @image: the step's program image, or NULL
 * @step: index of the step in its job
 * @log_scale: logarithm of the run time in ms for an estimate of 1 ms
 * @exponent: power of the estimate that the run time is proportional to
 */
typedef struct bh_prediction {
	char *queue;
	char *image;
	uint32_t step;
	double log_scale;
	double exponent;
} bh_prediction_t;

typedef struct bh_predictions {
	uint32_t n;
	bh_prediction_t rows[BH_PREDICTIONS_MAX];
} bh_predictions_t;

void bh_predictions_clear(bh_predictions_t *p);

/**
 * bh_predictions_add() - add a prediction; the texts are copied
 *
 * Return: false if there are BH_PREDICTIONS_MAX already, or a number is out of
 * range.
 */
bool bh_predictions_add(bh_predictions_t *p, const bh_prediction_t *row);

/**
 * bh_predictions_apply() - predict the run times of a job
 *
 * Return: a copy of its steps with predicted run times as estimates, where they
 * are predicted. It refers to the job's texts; the caller frees it with
 * g_free().
 */
bh_step_t *bh_predictions_apply(const bh_predictions_t *p, const bh_job_t *job);

#endif
