#include "core/interfere.h"

#define LEARNING_RATE	     0.2
#define BASELINE_FALL_WEIGHT 0.2
#define BASELINE_RISE_WEIGHT 0.002
#define SCORE_MAX	     10.0

struct bh_interfere {
	GHashTable *baselines; /* service to service time, microseconds */
	GHashTable *scores;    /* service to (family to slowdown) */
	size_t n_pairs;
};

static GHashTable *scores_get(bh_interfere_t *x, const char *service)
{
	GHashTable *scores = g_hash_table_lookup(x->scores, service);

	if (!scores) {
		scores = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       g_free);
		g_hash_table_insert(x->scores, g_strdup(service), scores);
	}
	return scores;
}

static double *score_get(bh_interfere_t *x, const char *service,
			 const char *family)
{
	GHashTable *scores = scores_get(x, service);
	double *score = g_hash_table_lookup(scores, family);

	if (score || x->n_pairs >= BH_INTERFERE_PAIRS_MAX)
		return score;
	score = g_new(double, 1);
	*score = BH_INTERFERE_PRIOR;
	g_hash_table_insert(scores, g_strdup(family), score);
	x->n_pairs++;
	return score;
}

static void scores_free(void *scores)
{
	g_hash_table_destroy(scores);
}

bh_interfere_t *bh_interfere_new(void)
{
	bh_interfere_t *x = g_new0(bh_interfere_t, 1);

	x->baselines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	x->scores = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  scores_free);
	return x;
}

void bh_interfere_free(bh_interfere_t *x)
{
	g_hash_table_destroy(x->baselines);
	g_hash_table_destroy(x->scores);
	g_free(x);
}

double bh_interfere_slowdown(bh_interfere_t *x, const char *service,
			     double service_us)
{
	double *baseline = g_hash_table_lookup(x->baselines, service);

	if (!baseline) {
		baseline = g_new(double, 1);
		*baseline = service_us;
		g_hash_table_insert(x->baselines, g_strdup(service), baseline);
	}
	*baseline += (service_us < *baseline ? BASELINE_FALL_WEIGHT
					     : BASELINE_RISE_WEIGHT) *
		     (service_us - *baseline);
	return *baseline > 0 ? service_us / *baseline : 1;
}

/*
 * Normalised least mean squares: distributes the prediction error over the
 * families in proportion to their processors.
 */
void bh_interfere_learn(bh_interfere_t *x, const char *service,
			const bh_neighbour_t *jobs, size_t n, double slowdown)
{
	double error = slowdown - 1;
	double norm = 0;

	for (size_t i = 0; i < n; i++) {
		error -= bh_interfere_expect(x, service, jobs[i].family) *
			 jobs[i].cpus;
		norm += jobs[i].cpus * jobs[i].cpus;
	}
	if (norm <= 0)
		return;
	for (size_t i = 0; i < n; i++) {
		double *score = score_get(x, service, jobs[i].family);

		if (!score)
			continue;
		*score += LEARNING_RATE * error * jobs[i].cpus / norm;
		*score = CLAMP(*score, 0, SCORE_MAX);
	}
}

double bh_interfere_expect(const bh_interfere_t *x, const char *service,
			   const char *family)
{
	GHashTable *scores = g_hash_table_lookup(x->scores, service);
	const double *score =
		scores ? g_hash_table_lookup(scores, family) : NULL;

	return score ? *score : BH_INTERFERE_PRIOR;
}
