#include "sched/pairs.h"

#include <math.h>

/* Of a pair that was never seen: most pairs do next to nothing, about one in
 * four costs ten times as much. Units of headroom for a whole host's share. */
#define HARM_PRIOR  2.0
#define DOUBT_PRIOR 4.0
#define HARM_MAX    100.0

/* Variance gained in a second: images change within tens of seconds. */
#define DRIFT_BASE 0.5
#define DRIFT_HARM 0.05

/* Least variance, so that a change is ever noticed. */
#define VARIANCE_MIN 0.04

/* Bounds on memory: fillers beside one serving image, serving images, and
 * names; those that were not used for longest go first. */
#define FILLERS_MAX 48
#define SERVING_MAX 128
#define IMAGES_MAX  1024

typedef struct image {
	char *name;
	bh_image_id_t number;
	uint64_t used;
} image_t;

/**
 * struct serving - the filter of one serving image
 * @used: when it was last needed, and when each filler was last seen, by count
 *	of the uses
 */
typedef struct serving {
	bh_image_id_t image;
	uint64_t used;
	uint32_t n;
	bh_image_id_t fillers[FILLERS_MAX];
	uint64_t seen[FILLERS_MAX];
	double harm[FILLERS_MAX];
	double variance[FILLERS_MAX][FILLERS_MAX];
} serving_t;

struct bh_pairs {
	GHashTable *by_name;
	GHashTable *by_number;
	GHashTable *serving;
	bh_image_id_t next;
	uint64_t uses;
};

static void image_free(gpointer data)
{
	image_t *image = data;

	g_free(image->name);
	g_free(image);
}

static void forget_an_image(bh_pairs_t *pairs)
{
	GHashTableIter it;
	gpointer value;
	image_t *oldest = NULL;

	g_hash_table_iter_init(&it, pairs->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		image_t *image = value;

		if (!oldest || image->used < oldest->used)
			oldest = image;
	}
	if (!oldest)
		return;
	g_hash_table_remove(pairs->by_number, GUINT_TO_POINTER(oldest->number));
	g_hash_table_remove(pairs->by_name, oldest->name);
}

static const char *name_of(const bh_pairs_t *pairs, bh_image_id_t number)
{
	const image_t *image =
		g_hash_table_lookup(pairs->by_number, GUINT_TO_POINTER(number));

	return image ? image->name : NULL;
}

static serving_t *serving_find(const bh_pairs_t *pairs, bh_image_id_t lasting)
{
	return g_hash_table_lookup(pairs->serving, GUINT_TO_POINTER(lasting));
}

static void forget_a_serving(bh_pairs_t *pairs)
{
	GHashTableIter it;
	gpointer value;
	const serving_t *oldest = NULL;

	g_hash_table_iter_init(&it, pairs->serving);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const serving_t *s = value;

		if (!oldest || s->used < oldest->used)
			oldest = s;
	}
	if (oldest)
		g_hash_table_remove(pairs->serving,
				    GUINT_TO_POINTER(oldest->image));
}

static serving_t *serving_get(bh_pairs_t *pairs, bh_image_id_t lasting)
{
	serving_t *s = serving_find(pairs, lasting);

	if (!s) {
		if (g_hash_table_size(pairs->serving) >= SERVING_MAX)
			forget_a_serving(pairs);
		s = g_new0(serving_t, 1);
		s->image = lasting;
		g_hash_table_insert(pairs->serving, GUINT_TO_POINTER(lasting),
				    s);
	}
	s->used = ++pairs->uses;
	return s;
}

static int filler_find(const serving_t *s, bh_image_id_t filler)
{
	for (uint32_t i = 0; i < s->n; i++) {
		if (s->fillers[i] == filler)
			return (int)i;
	}
	return -1;
}

static uint32_t longest_unseen(const serving_t *s)
{
	uint32_t oldest = 0;

	for (uint32_t i = 1; i < s->n; i++) {
		if (s->seen[i] < s->seen[oldest])
			oldest = i;
	}
	return oldest;
}

static uint32_t filler_get(serving_t *s, bh_image_id_t filler)
{
	int found = filler_find(s, filler);
	uint32_t i = (uint32_t)found;

	if (found < 0) {
		i = s->n < FILLERS_MAX ? s->n++ : longest_unseen(s);
		s->fillers[i] = filler;
		s->harm[i] = HARM_PRIOR;
		for (uint32_t k = 0; k < FILLERS_MAX; k++)
			s->variance[i][k] = s->variance[k][i] = 0;
		s->variance[i][i] = DOUBT_PRIOR * DOUBT_PRIOR;
	}
	s->seen[i] = s->used;
	return i;
}

bh_pairs_t *bh_pairs_new(void)
{
	bh_pairs_t *pairs = g_new0(bh_pairs_t, 1);

	pairs->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       image_free);
	pairs->by_number = g_hash_table_new(NULL, NULL);
	pairs->serving = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return pairs;
}

void bh_pairs_free(bh_pairs_t *pairs)
{
	g_hash_table_destroy(pairs->serving);
	g_hash_table_destroy(pairs->by_number);
	g_hash_table_destroy(pairs->by_name);
	g_free(pairs);
}

bh_image_id_t bh_pairs_image_id(bh_pairs_t *pairs, const char *name)
{
	image_t *image = g_hash_table_lookup(pairs->by_name, name ? name : "");

	if (!image) {
		if (g_hash_table_size(pairs->by_name) >= IMAGES_MAX)
			forget_an_image(pairs);
		image = g_new0(image_t, 1);
		image->name = g_strdup(name ? name : "");
		image->number = ++pairs->next;
		g_hash_table_insert(pairs->by_name, image->name, image);
		g_hash_table_insert(pairs->by_number,
				    GUINT_TO_POINTER(image->number), image);
	}
	image->used = ++pairs->uses;
	return image->number;
}

double bh_pairs_harm(const bh_pairs_t *pairs, bh_image_id_t filler,
		     bh_image_id_t lasting)
{
	const serving_t *s = serving_find(pairs, lasting);
	int i = s ? filler_find(s, filler) : -1;

	return i < 0 ? HARM_PRIOR : s->harm[i];
}

double bh_pairs_predict_drop(const bh_pairs_t *pairs, bh_image_id_t lasting,
			     const bh_filler_load_t *press, uint32_t n,
			     double *variance)
{
	const serving_t *s = serving_find(pairs, lasting);
	double drop = 0;

	*variance = 0;
	for (uint32_t i = 0; i < n; i++) {
		int a = s ? filler_find(s, press[i].image) : -1;

		if (a < 0) {
			drop += HARM_PRIOR * press[i].share;
			*variance += DOUBT_PRIOR * DOUBT_PRIOR *
				     press[i].share * press[i].share;
			continue;
		}
		drop += s->harm[a] * press[i].share;
		for (uint32_t k = 0; k < n; k++) {
			int b = filler_find(s, press[k].image);

			if (b >= 0)
				*variance += s->variance[a][b] *
					     press[i].share * press[k].share;
		}
	}
	return drop;
}

void bh_pairs_learn(bh_pairs_t *pairs, bh_image_id_t lasting,
		    const bh_filler_load_t *press, uint32_t n, double excess,
		    double noise)
{
	serving_t *s = serving_get(pairs, lasting);
	double gain[FILLERS_MAX] = {0};
	double total = noise;

	for (uint32_t k = 0; k < n; k++)
		filler_get(s, press[k].image);
	for (uint32_t k = 0; k < n; k++) {
		uint32_t j = filler_get(s, press[k].image);

		for (uint32_t i = 0; i < s->n; i++)
			gain[i] += s->variance[i][j] * press[k].share;
	}
	for (uint32_t k = 0; k < n; k++)
		total += gain[filler_get(s, press[k].image)] * press[k].share;
	if (total <= 0)
		return;
	for (uint32_t i = 0; i < s->n; i++) {
		s->harm[i] = CLAMP(s->harm[i] + gain[i] / total * excess, 0,
				   HARM_MAX);
		for (uint32_t j = 0; j < s->n; j++)
			s->variance[i][j] -= gain[i] * gain[j] / total;
		s->variance[i][i] = MAX(s->variance[i][i], VARIANCE_MIN);
	}
}

void bh_pairs_age(bh_pairs_t *pairs, double seconds)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, pairs->serving);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		serving_t *s = value;

		for (uint32_t i = 0; i < s->n; i++) {
			double drift = DRIFT_BASE +
				       DRIFT_HARM * s->harm[i] * s->harm[i];

			if (s->variance[i][i] < DOUBT_PRIOR * DOUBT_PRIOR)
				s->variance[i][i] += drift * seconds;
		}
	}
}

void bh_pairs_each(const bh_pairs_t *pairs, bh_pair_cb_t cb, void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, pairs->serving);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const serving_t *s = value;
		const char *lasting = name_of(pairs, s->image);

		for (uint32_t i = 0; i < s->n && lasting; i++) {
			const char *filler = name_of(pairs, s->fillers[i]);

			if (filler)
				cb(ctx, filler, lasting, s->harm[i],
				   sqrt(s->variance[i][i]));
		}
	}
}

void bh_pairs_set(bh_pairs_t *pairs, const char *filler, const char *lasting,
		  double harm, double doubt)
{
	serving_t *s = serving_get(pairs, bh_pairs_image_id(pairs, lasting));
	uint32_t i = filler_get(s, bh_pairs_image_id(pairs, filler));
	double bounded = CLAMP(doubt, 0, DOUBT_PRIOR);

	s->harm[i] = CLAMP(harm, 0, HARM_MAX);
	s->variance[i][i] = MAX(bounded * bounded, VARIANCE_MIN);
}
