#include "sched/pairs.h"

/* Harm of a pair that was never seen: a tenth of a host's processors makes the
 * tail a tenth longer. Most pairs do less; some are a hundred times worse, so
 * that trying is cheaper than keeping away. */
#define HARM_PRIOR 1.0
#define HARM_MAX   300.0

/* Part of the error that one look corrects. */
#define LEARN_RATE 0.5

/* Keeps small shares from large corrections. */
#define SHARE_FLOOR 0.02

/* Shares below this bound nothing: gauges err by more. */
#define SHARE_BOUND 0.02

/* Gauges are off by some percent either way. */
#define EXCESS_NOISE 0.05

/* Bounds widen by this factor with each look, since images change. */
#define BOUND_WIDEN 1.005

typedef struct pair {
	double harm;
	double upper;
} pair_t;

struct bh_pairs {
	GHashTable *pairs;
};

static char *key_of(const char *filler, const char *lasting)
{
	return g_strconcat(filler ? filler : "", "|", lasting ? lasting : "",
			   NULL);
}

static pair_t *pair_find(const bh_pairs_t *pairs, const char *filler,
			 const char *lasting)
{
	g_autofree char *key = key_of(filler, lasting);

	return g_hash_table_lookup(pairs->pairs, key);
}

static pair_t *pair_get(bh_pairs_t *pairs, const char *filler,
			const char *lasting)
{
	pair_t *pair = pair_find(pairs, filler, lasting);

	if (pair)
		return pair;
	pair = g_new0(pair_t, 1);
	pair->harm = HARM_PRIOR;
	pair->upper = HARM_MAX;
	g_hash_table_insert(pairs->pairs, key_of(filler, lasting), pair);
	return pair;
}

bh_pairs_t *bh_pairs_new(void)
{
	bh_pairs_t *pairs = g_new0(bh_pairs_t, 1);

	pairs->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pairs;
}

void bh_pairs_free(bh_pairs_t *pairs)
{
	g_hash_table_destroy(pairs->pairs);
	g_free(pairs);
}

double bh_pairs_harm(const bh_pairs_t *pairs, const char *filler,
		     const char *lasting)
{
	const pair_t *pair = pair_find(pairs, filler, lasting);

	return pair ? MIN(pair->harm, pair->upper) : HARM_PRIOR;
}

void bh_pairs_each(const bh_pairs_t *pairs, bh_pair_cb_t cb, void *ctx)
{
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, pairs->pairs);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		g_auto(GStrv) images = g_strsplit(key, "|", 2);
		const pair_t *pair = value;

		cb(ctx, images[0], images[1], pair->harm, pair->upper);
	}
}

void bh_pairs_set(bh_pairs_t *pairs, const char *filler, const char *lasting,
		  double harm, double upper)
{
	pair_t *pair = pair_get(pairs, filler, lasting);

	pair->harm = CLAMP(harm, 0, HARM_MAX);
	pair->upper = CLAMP(upper, 0, HARM_MAX);
}

double bh_pairs_excess(const bh_pairs_t *pairs, const char *lasting,
		       const bh_press_t *press, uint32_t n)
{
	double excess = 0;

	for (uint32_t i = 0; i < n; i++)
		excess += bh_pairs_harm(pairs, press[i].image, lasting) *
			  press[i].share;
	return excess;
}

void bh_pairs_bound(bh_pairs_t *pairs, const char *lasting,
		    const bh_press_t *press, uint32_t n, double excess)
{
	for (uint32_t i = 0; i < n; i++) {
		pair_t *pair;
		double bound;

		if (press[i].share < SHARE_BOUND)
			continue;
		pair = pair_get(pairs, press[i].image, lasting);
		bound = (MAX(excess, 0) + EXCESS_NOISE) / press[i].share;
		pair->upper = MIN(pair->upper * BOUND_WIDEN, HARM_MAX);
		pair->upper = MIN(pair->upper, bound);
	}
}

void bh_pairs_learn(bh_pairs_t *pairs, const char *lasting,
		    const bh_press_t *press, uint32_t n, double excess)
{
	double error = excess - bh_pairs_excess(pairs, lasting, press, n);
	double norm = SHARE_FLOOR * SHARE_FLOOR;

	/* Bounds lower what is overrated. A tail that falls behind fillers
	 * that were just paced down says nothing against them. */
	if (error <= 0)
		return;

	/* Only those that may be the cause share in the correction. */
	for (uint32_t i = 0; i < n; i++) {
		pair_t *pair = pair_get(pairs, press[i].image, lasting);

		if (pair->harm < pair->upper)
			norm += press[i].share * press[i].share;
	}
	for (uint32_t i = 0; i < n; i++) {
		pair_t *pair = pair_get(pairs, press[i].image, lasting);
		double step = LEARN_RATE * error * press[i].share / norm;

		pair->harm = CLAMP(pair->harm + step, 0, pair->upper);
	}
}
