#include "sched/blame.h"

#include <glib.h>
#include <math.h>

/* Suspicion of a task or a worker of which nothing is known. */
#define SUSPICION_UNKNOWN 0.01

/* Uncertainty of an age, from the delays of an order and its answer, in
 * seconds; and the spread of the ages at which a task crashes its workers. */
#define AGE_ERROR_S 0.05
#define AGE_SPREAD  0.1

/* Probability that an order had started its task on a worker that crashed
 * before it answered. */
#define UNCONFIRMED_STARTED 0.3

/* A worker that crashes by itself does so at any time: as likely as a task of
 * which nothing is known at this age, in seconds. */
#define WORKER_AGE_S 1.0

/* A task is cleared once it has run for this multiple of its age at the crash,
 * and CLEAR_US more. */
#define CLEAR_FACTOR 2
#define CLEAR_US     (500 * BH_USEC_PER_MS)

/* Least number of crashes, inferred ones aside, from which a task may be given
 * up. */
#define WITNESSED_MIN 2

/* Suspicion from which a task is given up, by the number of crashes; 2: never.
 * A task at fault may be started only twice more after three crashes. */
static const double guilty_suspicion[] = {2, 2, 0.9, 0.75, 0.6, 0.15};

static double seconds(bh_usec_t us)
{
	return (double)MAX(us, 0) / BH_USEC_PER_SEC;
}

/* Likelihood that the task has crashed the worker at this age: the higher the
 * younger the task is, or the closer to the age at its last crash. */
static double likelihood(const bh_suspect_t *suspect)
{
	const bh_blame_t *blame = suspect->blame;
	double age = seconds(suspect->age);
	double last = seconds(blame->age);
	double spread = AGE_ERROR_S + AGE_SPREAD * last;
	double any_age = 1 / (age + AGE_ERROR_S);
	double same_age = exp(-fabs(age - last) / spread) / (2 * spread);
	double started = suspect->is_confirmed ? 1 : UNCONFIRMED_STARTED;

	if (!blame->crashes)
		return SUSPICION_UNKNOWN * any_age * started;
	return MAX(blame->suspicion, SUSPICION_UNKNOWN) *
	       MAX(any_age, same_age) * started;
}

static double worker_likelihood(const bh_blame_t *worker, double others)
{
	double suspicion = MAX(worker->suspicion, others);

	return MAX(suspicion, SUSPICION_UNKNOWN) / (WORKER_AGE_S + AGE_ERROR_S);
}

static bool has_counted(const bh_blame_t *task, uint64_t id)
{
	for (int i = 0; i < BH_BLAME_IDS; i++) {
		if (task->ids[i] == id)
			return true;
	}
	return false;
}

void bh_blame_crash(bh_blame_t *worker, uint64_t id, double others,
		    const bh_suspect_t *suspects, uint32_t n)
{
	double own = worker_likelihood(worker, others);
	double sum = own;

	for (uint32_t i = 0; i < n; i++)
		sum += likelihood(&suspects[i]);
	for (uint32_t i = 0; i < n; i++) {
		bh_blame_t *task = suspects[i].blame;

		if (has_counted(task, id))
			continue;
		task->suspicion = likelihood(&suspects[i]) / sum;
		task->age = suspects[i].age;
		task->inferred += suspects[i].is_inferred;
		task->ids[task->crashes++ % BH_BLAME_IDS] = id;
	}
	worker->suspicion = own / sum;
	worker->crashes++;
}

bool bh_blame_is_cleared(const bh_blame_t *task, bh_usec_t age)
{
	return age > CLEAR_FACTOR * task->age + CLEAR_US;
}

bool bh_blame_is_guilty(const bh_blame_t *task)
{
	uint32_t last = G_N_ELEMENTS(guilty_suspicion) - 1;

	if (task->crashes < last &&
	    task->crashes - task->inferred < WITNESSED_MIN)
		return false;
	return task->suspicion >= guilty_suspicion[MIN(task->crashes, last)];
}
