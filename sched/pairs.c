#include "sched/pairs.h"

/* Harm of a pair that was never seen: a tenth of a host's processors makes the
 * tail a tenth longer. Most pairs do less; some are a hundred times worse, so
 * that trying is cheaper than keeping away. */
#define HARM_PRIOR 1.0
#define HARM_MAX   300.0

/* Part of the error that one look corrects; gauges are rough. */
#define LEARN_RATE 0.5

/* Keeps small shares from large corrections. */
#define SHARE_FLOOR 0.02

struct bh_pairs {
	GHashTable *harm;
};

static char *key_of(const char *filler, const char *lasting)
{
	return g_strconcat(filler ? filler : "", "|", lasting ? lasting : "",
			   NULL);
}

bh_pairs_t *bh_pairs_new(void)
{
	bh_pairs_t *pairs = g_new0(bh_pairs_t, 1);

	pairs->harm =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pairs;
}

void bh_pairs_free(bh_pairs_t *pairs)
{
	g_hash_table_destroy(pairs->harm);
	g_free(pairs);
}

double bh_pairs_harm(const bh_pairs_t *pairs, const char *filler,
		     const char *lasting)
{
	g_autofree char *key = key_of(filler, lasting);
	const double *harm = g_hash_table_lookup(pairs->harm, key);

	return harm ? *harm : HARM_PRIOR;
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

void bh_pairs_learn(bh_pairs_t *pairs, const char *lasting,
		    const bh_press_t *press, uint32_t n, double excess)
{
	double error = excess - bh_pairs_excess(pairs, lasting, press, n);
	double norm = SHARE_FLOOR * SHARE_FLOOR;

	for (uint32_t i = 0; i < n; i++)
		norm += press[i].share * press[i].share;
	for (uint32_t i = 0; i < n; i++) {
		double harm = bh_pairs_harm(pairs, press[i].image, lasting);
		double *value = g_new(double, 1);

		harm += LEARN_RATE * error * press[i].share / norm;
		*value = CLAMP(harm, 0, HARM_MAX);
		g_hash_table_insert(pairs->harm,
				    key_of(press[i].image, lasting), value);
	}
}
