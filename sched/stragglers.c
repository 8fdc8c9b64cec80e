#include "sched/stragglers.h"

/* Part of the finished work that second attempts may cost in addition. With 3 %
 * of tasks that take 7 times as long, a copy of each costs 3 %. */
#define BUDGET_SHARE 0.05

/* Most that is saved up, in core milliseconds: 60 core seconds are the copies
 * of some ten wide tasks. */
#define BUDGET_MAX_MS 60000

/* Second attempts assumed to have been tried before the first one, half of them
 * with success. */
#define PRIOR_TRIED 2.0

/* Factor on the evidence with each outcome, so that the last 20 count. */
#define EVIDENCE_KEPT 0.95

/* A second attempt helped if it ended the task within this part of the
 * remaining time that the first one was predicted to take. */
#define HELPED_PART 0.75

/* A copy has to be predicted to end in half of the time, as the first attempt's
 * prediction is wrong by up to a factor of two; a move, by the expectation over
 * both causes, a fifth earlier. */
#define COPY_GAIN_MIN 2.0
#define MOVE_GAIN_MIN 1.2

/* Chance below which a second attempt is charged more, in proportion, so that
 * those that hardly ever help become rare and yet show when they help again. */
#define CHANCE_FULL_PRICE 0.5

void bh_stragglers_earn(bh_stragglers_t *st, double work_ms)
{
	st->budget_ms =
		MIN(st->budget_ms + work_ms * BUDGET_SHARE, BUDGET_MAX_MS);
}

double bh_stragglers_chance(const bh_stragglers_t *st)
{
	return (st->helped + PRIOR_TRIED / 2) / (st->tried + PRIOR_TRIED);
}

bool bh_stragglers_take(bh_stragglers_t *st, double cost_ms)
{
	double price =
		cost_ms * MAX(CHANCE_FULL_PRICE / bh_stragglers_chance(st), 1);

	if (price > st->budget_ms)
		return false;
	st->budget_ms -= price;
	return true;
}

void bh_stragglers_note(bh_stragglers_t *st, int64_t took_ms,
			int64_t predicted_ms)
{
	st->tried = st->tried * EVIDENCE_KEPT + 1;
	st->helped = st->helped * EVIDENCE_KEPT;
	if ((double)took_ms < HELPED_PART * (double)predicted_ms)
		st->helped++;
}

bool bh_stragglers_gains(const bh_stragglers_t *st, int64_t elapsed_ms,
			 int64_t here_ms, int64_t there_ms, bool is_copy)
{
	double chance = bh_stragglers_chance(st);
	double here = (double)here_ms;
	double there = (double)there_ms;
	double again = (double)(elapsed_ms + here_ms);

	if (is_copy)
		return here > there * COPY_GAIN_MIN;
	return here > MOVE_GAIN_MIN * (chance * there +
				       (1 - chance) * MAX(again, there));
}
