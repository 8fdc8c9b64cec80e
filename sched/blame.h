/*
 * Which task is at fault when a worker crashes. Load pattern: among many tasks
 * a few crash each worker on which they start, and take its other tasks with
 * them; some workers crash by themselves.
 *
 * Each task that ran on the worker, and the worker itself, gets a share of the
 * suspicion: by its suspicion so far, and by how likely a task at fault would
 * have crashed the worker at the age that the run had. A task that outlives the
 * age at which its last worker crashed is cleared.
 */
#ifndef BH_SCHED_BLAME_H
#define BH_SCHED_BLAME_H

#include "core/types.h"

/* Suspicion below which a task is treated as any other. */
#define BH_SUSPICION_MIN 0.05

/* Most suspicion that the suspects on one host have in sum, unless one has
 * more: the next crash clears those of the other hosts. */
#define BH_SUSPICION_TOGETHER 0.5

/* Crashes that a task remembers. */
#define BH_BLAME_IDS 6

/**
 * struct bh_blame - what is known of a task or of a worker
 * @crashes: crashes since it was last cleared
 * @inferred: those of @crashes of which it is not certain that the task had not
 *	ended before
 * @ids: of the last crashes, by which one that is reported again is known; the
 *	rest is 0
 * @suspicion: probability that it is at fault
 * @age: of a task, how long it had run when its last worker crashed
 */
typedef struct bh_blame {
	uint32_t crashes;
	uint32_t inferred;
	uint64_t ids[BH_BLAME_IDS];
	double suspicion;
	bh_usec_t age;
} bh_blame_t;

/**
 * struct bh_suspect - a task that ran on a worker when it crashed
 * @blame: updated
 * @age: how long it had run
 * @is_confirmed: it had started for certain
 * @is_inferred: it may have ended before the crash
 */
typedef struct bh_suspect {
	bh_blame_t *blame;
	bh_usec_t age;
	bool is_confirmed;
	bool is_inferred;
} bh_suspect_t;

/**
 * bh_blame_crash() - share out the suspicion after a crash; a task that has
 * counted it already keeps its share
 * @worker: updated as well
 * @id: of the crash, not 0
 * @others: mean suspicion of all workers, from 0 to 1: where many crash by
 *	themselves, this one may too
 */
void bh_blame_crash(bh_blame_t *worker, uint64_t id, double others,
		    const bh_suspect_t *suspects, uint32_t n);

/**
 * bh_blame_is_cleared() - whether a task that has run this long is innocent of
 * the crashes under it
 */
bool bh_blame_is_cleared(const bh_blame_t *task, bh_usec_t age);

/**
 * bh_blame_is_guilty() - whether to give up a task, which takes two crashes
 * that are not inferred, or five in all
 */
bool bh_blame_is_guilty(const bh_blame_t *task);

#endif
