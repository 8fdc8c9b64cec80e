/*
 * Simulation of several entries that may hold at the same time that they lead:
 * a store with versions, links that partitions cut, agents and workers that
 * restart. The rule that what must run once does not run twice is checked on
 * the side of the workers. Time is simulated.
 */
#ifndef BH_TESTS_LEADERSWORLD_H
#define BH_TESTS_LEADERSWORLD_H

#include "sched/sched.h"

/**
 * enum lw_mode - which faults are likely
 * @LW_ANY: all alike
 * @LW_NEW_HOST: hosts appear beside a leader whose writes the store refuses,
 *	cut off from the other entries
 * @LW_RESTART: agent and worker restart together there
 * @LW_ANSWER: the store's answer to a campaign is lost
 */
typedef enum lw_mode {
	LW_ANY,
	LW_NEW_HOST,
	LW_RESTART,
	LW_ANSWER,
	LW_MODES,
} lw_mode_t;

extern const char *const lw_mode_names[LW_MODES];

/**
 * enum lw_disabled - a safety mechanism that a test may disable
 * @LW_EARLY_CONFIRMATION: the scheduler is told at once that it leads, whether
 *	the store has confirmed it or not
 * @LW_NO_FENCING: agents accept leaders of lower terms
 * @LW_NO_TERM_READ: agents that have started do not read the term in the store
 * @LW_ONE_PREDECESSOR: a leader whose predecessor has ended does not wait for
 *	the leases of those before
 */
typedef enum lw_disabled {
	LW_ALL_ON,
	LW_EARLY_CONFIRMATION,
	LW_NO_FENCING,
	LW_NO_TERM_READ,
	LW_ONE_PREDECESSOR,
} lw_disabled_t;

/**
 * lw_run() - run a random series of faults
 *
 * Return: the first guarantee that was violated, owned by the caller, or NULL.
 */
char *lw_run(uint32_t seed, lw_mode_t mode, lw_disabled_t disabled);

#endif
