/*
 * Whether a run that takes much longer than others is worth a second attempt.
 *
 * Load pattern: a few tasks take several times as long as the others. A second
 * attempt helps where its host or chance was the reason, and not where the task
 * itself is long: that is learned from the outcome of earlier ones. What second
 * attempts cost is limited to a part of the work that was done.
 */
#ifndef BH_SCHED_STRAGGLERS_H
#define BH_SCHED_STRAGGLERS_H

#include "core/types.h"

/**
 * struct bh_stragglers - evidence and budget
 * @tried: second attempts whose outcome is known, less with their age
 * @helped: those of them that ended well before the first one was predicted to
 * @budget_ms: core milliseconds that second attempts may cost
 */
typedef struct bh_stragglers {
	double tried;
	double helped;
	double budget_ms;
} bh_stragglers_t;

/**
 * bh_stragglers_earn() - add the share of a finished run to the budget
 * @work_ms: its work in core milliseconds
 */
void bh_stragglers_earn(bh_stragglers_t *st, double work_ms);

/**
 * bh_stragglers_take() - take the cost of a second attempt from the budget,
 * more than that if the chance is below a half
 *
 * Return: false if the budget is too small; nothing is taken then.
 */
bool bh_stragglers_take(bh_stragglers_t *st, double cost_ms);

/**
 * bh_stragglers_note() - learn from the end of a task that had a second attempt
 * @took_ms: time from its start to the end of the task
 * @predicted_ms: predicted remaining time of the first attempt then
 */
void bh_stragglers_note(bh_stragglers_t *st, int64_t took_ms,
			int64_t predicted_ms);

/**
 * bh_stragglers_chance() - probability that a second attempt takes the usual
 * time
 */
double bh_stragglers_chance(const bh_stragglers_t *st);

/**
 * bh_stragglers_gains() - whether a second attempt is predicted to end clearly
 * sooner
 * @elapsed_ms: run time of the first one so far
 * @here_ms: its predicted remaining time
 * @there_ms: predicted time of a second one, its start included
 * @is_copy: the first one goes on; otherwise it is stopped
 */
bool bh_stragglers_gains(const bh_stragglers_t *st, int64_t elapsed_ms,
			 int64_t here_ms, int64_t there_ms, bool is_copy);

#endif
