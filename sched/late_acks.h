/*
 * Acknowledgements that got no answer. The worker may carry them out seconds
 * later, and so may its next process if it has the same id: that one numbers
 * its ends anew and would forget some that nobody has seen. Load pattern: a
 * worker that does not answer, crashes, and is back at once with work.
 */
#ifndef BH_SCHED_LATE_ACKS_H
#define BH_SCHED_LATE_ACKS_H

#include "sched/worker.h"

/**
 * struct bh_late_acks - the last acknowledgement without an answer
 * @worker: id of the worker that it names, or NULL if there was none
 * @boot: of the process that it was meant for
 * @sent_at: when it was sent
 */
typedef struct bh_late_acks {
	char *worker;
	uint64_t boot;
	bh_usec_t sent_at;
} bh_late_acks_t;

void bh_late_acks_clear(bh_late_acks_t *acks);

/**
 * bh_late_acks_add() - an acknowledgement got no answer
 */
void bh_late_acks_add(bh_late_acks_t *acks, const char *worker, uint64_t boot,
		      bh_usec_t sent_at);

/**
 * bh_late_acks_may_reach() - whether one that was meant for another process may
 * still be carried out by this one, so that no task may end there
 * @worker: its id, or NULL if it has not announced itself
 */
bool bh_late_acks_may_reach(const bh_late_acks_t *acks, const char *worker,
			    uint64_t boot, bh_usec_t now);

#endif
