#include "sched/pairs.h"

#include <math.h>

/* Prior of a pair that has not been observed. Most pairs hardly interfere, but
 * about one in four costs ten times as much, hence the wide deviation. Unit:
 * headroom lost if the filler used all processors of the host. */
#define INTERFERENCE_PRIOR	  2.0
#define INTERFERENCE_PRIOR_STDDEV 4.0
#define INTERFERENCE_MAX	  100.0

/* Process noise: variance that an estimate gains per second, constant and in
 * proportion to its square. A pair changes little within a minute. */
#define DRIFT_BASE_PER_S     0.1
#define DRIFT_RELATIVE_PER_S 0.005

/* A measurement further off than this many standard deviations, beside fillers
 * that are all well known, suggests that an image has changed: they gain this
 * variance. */
#define SURPRISE_STDDEVS  2.5
#define SURPRISE_VARIANCE 1.0

/* Lower bound that keeps the filter gain above zero, so that it still adapts to
 * a change of a pair that it knows well. */
#define VARIANCE_MIN 0.04

/* Bounds on memory: fillers per serving image, serving images, and image names.
 * The least recently used entry is evicted. */
#define FILLERS_MAX 48
#define FILTERS_MAX 128
#define IMAGES_MAX  1024

typedef struct image {
	char *name;
	bh_image_id_t id;
	uint64_t last_used;
} image_t;

/**
 * struct filter - Kalman filter of one serving image
 * @image: the serving image
 * @last_used: value of bh_pairs.uses at the last access
 * @last_seen: the same at the last access of each filler
 * @interference: state estimate, one value per filler
 * @covariance: of @interference
 */
typedef struct filter {
	bh_image_id_t image;
	uint64_t last_used;
	uint32_t n_fillers;
	bh_image_id_t fillers[FILLERS_MAX];
	uint64_t last_seen[FILLERS_MAX];
	double interference[FILLERS_MAX];
	double covariance[FILLERS_MAX][FILLERS_MAX];
} filter_t;

/**
 * struct bh_pairs - interference model of all pairs of images
 * @filters: by id of the serving image
 * @uses: access counter, a logical clock for least-recently-used eviction
 */
struct bh_pairs {
	GHashTable *by_name;
	GHashTable *by_id;
	GHashTable *filters;
	bh_image_id_t next_id;
	uint64_t uses;
};

static void image_free(gpointer data)
{
	image_t *image = data;

	g_free(image->name);
	g_free(image);
}

static void evict_image(bh_pairs_t *pairs)
{
	GHashTableIter it;
	gpointer value;
	image_t *oldest = NULL;

	g_hash_table_iter_init(&it, pairs->by_name);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		image_t *image = value;

		if (!oldest || image->last_used < oldest->last_used)
			oldest = image;
	}
	if (!oldest)
		return;
	g_hash_table_remove(pairs->by_id, GUINT_TO_POINTER(oldest->id));
	g_hash_table_remove(pairs->by_name, oldest->name);
}

static const char *image_name(const bh_pairs_t *pairs, bh_image_id_t id)
{
	const image_t *image =
		g_hash_table_lookup(pairs->by_id, GUINT_TO_POINTER(id));

	return image ? image->name : NULL;
}

static filter_t *filter_find(const bh_pairs_t *pairs, bh_image_id_t serving)
{
	return g_hash_table_lookup(pairs->filters, GUINT_TO_POINTER(serving));
}

static void evict_filter(bh_pairs_t *pairs)
{
	GHashTableIter it;
	gpointer value;
	const filter_t *oldest = NULL;

	g_hash_table_iter_init(&it, pairs->filters);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const filter_t *f = value;

		if (!oldest || f->last_used < oldest->last_used)
			oldest = f;
	}
	if (oldest)
		g_hash_table_remove(pairs->filters,
				    GUINT_TO_POINTER(oldest->image));
}

static filter_t *filter_get_or_add(bh_pairs_t *pairs, bh_image_id_t serving)
{
	filter_t *f = filter_find(pairs, serving);

	if (!f) {
		if (g_hash_table_size(pairs->filters) >= FILTERS_MAX)
			evict_filter(pairs);
		f = g_new0(filter_t, 1);
		f->image = serving;
		g_hash_table_insert(pairs->filters, GUINT_TO_POINTER(serving),
				    f);
	}
	f->last_used = ++pairs->uses;
	return f;
}

static int filler_find(const filter_t *f, bh_image_id_t filler)
{
	for (uint32_t i = 0; i < f->n_fillers; i++) {
		if (f->fillers[i] == filler)
			return (int)i;
	}
	return -1;
}

static uint32_t least_recently_seen(const filter_t *f)
{
	uint32_t oldest = 0;

	for (uint32_t i = 1; i < f->n_fillers; i++) {
		if (f->last_seen[i] < f->last_seen[oldest])
			oldest = i;
	}
	return oldest;
}

static void raise_variance(filter_t *f, uint32_t i, double variance)
{
	if (f->covariance[i][i] <
	    INTERFERENCE_PRIOR_STDDEV * INTERFERENCE_PRIOR_STDDEV)
		f->covariance[i][i] += variance;
}

static uint32_t filler_get_or_add(filter_t *f, bh_image_id_t filler)
{
	int found = filler_find(f, filler);
	uint32_t i = (uint32_t)found;

	if (found < 0) {
		i = f->n_fillers < FILLERS_MAX ? f->n_fillers++
					       : least_recently_seen(f);
		f->fillers[i] = filler;
		f->interference[i] = INTERFERENCE_PRIOR;
		for (uint32_t k = 0; k < FILLERS_MAX; k++)
			f->covariance[i][k] = f->covariance[k][i] = 0;
		f->covariance[i][i] =
			INTERFERENCE_PRIOR_STDDEV * INTERFERENCE_PRIOR_STDDEV;
	}
	f->last_seen[i] = f->last_used;
	return i;
}

bh_pairs_t *bh_pairs_new(void)
{
	bh_pairs_t *pairs = g_new0(bh_pairs_t, 1);

	pairs->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       image_free);
	pairs->by_id = g_hash_table_new(NULL, NULL);
	pairs->filters = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return pairs;
}

void bh_pairs_free(bh_pairs_t *pairs)
{
	g_hash_table_destroy(pairs->filters);
	g_hash_table_destroy(pairs->by_id);
	g_hash_table_destroy(pairs->by_name);
	g_free(pairs);
}

bh_image_id_t bh_pairs_image_id(bh_pairs_t *pairs, const char *name)
{
	image_t *image = g_hash_table_lookup(pairs->by_name, name ? name : "");

	if (!image) {
		if (g_hash_table_size(pairs->by_name) >= IMAGES_MAX)
			evict_image(pairs);
		image = g_new0(image_t, 1);
		image->name = g_strdup(name ? name : "");
		image->id = ++pairs->next_id;
		g_hash_table_insert(pairs->by_name, image->name, image);
		g_hash_table_insert(pairs->by_id, GUINT_TO_POINTER(image->id),
				    image);
	}
	image->last_used = ++pairs->uses;
	return image->id;
}

double bh_pairs_interference(const bh_pairs_t *pairs, bh_image_id_t filler,
			     bh_image_id_t serving)
{
	const filter_t *f = filter_find(pairs, serving);
	int i = f ? filler_find(f, filler) : -1;

	return i < 0 ? INTERFERENCE_PRIOR : f->interference[i];
}

double bh_pairs_interference_bound(const bh_pairs_t *pairs,
				   bh_image_id_t filler, bh_image_id_t serving,
				   double stddevs)
{
	const filter_t *f = filter_find(pairs, serving);
	int i = f ? filler_find(f, filler) : -1;

	if (i < 0)
		return INTERFERENCE_PRIOR + stddevs * INTERFERENCE_PRIOR_STDDEV;
	return f->interference[i] + stddevs * sqrt(f->covariance[i][i]);
}

double bh_pairs_predict_drop(const bh_pairs_t *pairs, bh_image_id_t serving,
			     const bh_filler_load_t *loads, uint32_t n,
			     double *variance)
{
	const filter_t *f = filter_find(pairs, serving);
	double drop = 0;

	*variance = 0;
	for (uint32_t i = 0; i < n; i++) {
		int a = f ? filler_find(f, loads[i].image) : -1;

		if (a < 0) {
			drop += INTERFERENCE_PRIOR * loads[i].share;
			*variance += INTERFERENCE_PRIOR_STDDEV *
				     INTERFERENCE_PRIOR_STDDEV *
				     loads[i].share * loads[i].share;
			continue;
		}
		drop += f->interference[a] * loads[i].share;
		for (uint32_t k = 0; k < n; k++) {
			int b = filler_find(f, loads[k].image);

			if (b >= 0)
				*variance += f->covariance[a][b] *
					     loads[i].share * loads[k].share;
		}
	}
	return drop;
}

void bh_pairs_learn(bh_pairs_t *pairs, bh_image_id_t serving,
		    const bh_filler_load_t *loads, uint32_t n,
		    double innovation, double noise)
{
	filter_t *f = filter_get_or_add(pairs, serving);
	/* Covariance of each estimate with the predicted drop. */
	double drop_cov[FILLERS_MAX] = {0};
	double innovation_variance = noise;

	/* Adds all first, since each may evict one that is not among them. */
	for (uint32_t k = 0; k < n; k++)
		filler_get_or_add(f, loads[k].image);
	for (uint32_t k = 0; k < n; k++) {
		uint32_t j = filler_get_or_add(f, loads[k].image);

		for (uint32_t i = 0; i < f->n_fillers; i++)
			drop_cov[i] += f->covariance[i][j] * loads[k].share;
	}
	for (uint32_t k = 0; k < n; k++)
		innovation_variance +=
			drop_cov[filler_get_or_add(f, loads[k].image)] *
			loads[k].share;
	if (innovation_variance <= 0)
		return;
	for (uint32_t i = 0; i < f->n_fillers; i++) {
		f->interference[i] = CLAMP(
			f->interference[i] +
				drop_cov[i] / innovation_variance * innovation,
			0, INTERFERENCE_MAX);
		for (uint32_t j = 0; j < f->n_fillers; j++)
			f->covariance[i][j] -=
				drop_cov[i] * drop_cov[j] / innovation_variance;
		f->covariance[i][i] = MAX(f->covariance[i][i], VARIANCE_MIN);
	}
	/* A filler that is hardly known explains the difference. */
	if (innovation_variance > 2 * noise ||
	    innovation * innovation <=
		    SURPRISE_STDDEVS * SURPRISE_STDDEVS * innovation_variance)
		return;
	for (uint32_t k = 0; k < n; k++)
		raise_variance(f, filler_get_or_add(f, loads[k].image),
			       SURPRISE_VARIANCE);
}

void bh_pairs_age(bh_pairs_t *pairs, double seconds)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, pairs->filters);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		filter_t *f = value;

		for (uint32_t i = 0; i < f->n_fillers; i++) {
			double drift =
				DRIFT_BASE_PER_S + DRIFT_RELATIVE_PER_S *
							   f->interference[i] *
							   f->interference[i];

			raise_variance(f, i, drift * seconds);
		}
	}
}

void bh_pairs_each(const bh_pairs_t *pairs, bh_pair_cb_t cb, void *ctx)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, pairs->filters);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const filter_t *f = value;
		const char *serving = image_name(pairs, f->image);

		for (uint32_t i = 0; i < f->n_fillers && serving; i++) {
			const char *filler = image_name(pairs, f->fillers[i]);

			if (filler)
				cb(ctx, filler, serving, f->interference[i],
				   sqrt(f->covariance[i][i]));
		}
	}
}

void bh_pairs_set(bh_pairs_t *pairs, const char *filler, const char *serving,
		  double interference, double stddev)
{
	filter_t *f =
		filter_get_or_add(pairs, bh_pairs_image_id(pairs, serving));
	uint32_t i = filler_get_or_add(f, bh_pairs_image_id(pairs, filler));
	double bounded = CLAMP(stddev, 0, INTERFERENCE_PRIOR_STDDEV);

	f->interference[i] = CLAMP(interference, 0, INTERFERENCE_MAX);
	f->covariance[i][i] = MAX(bounded * bounded, VARIANCE_MIN);
}
