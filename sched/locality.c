#include "sched/locality.h"

#include <math.h>
#include <stdlib.h>

/* Remaining run times are wrong by a factor of up to 2. With idle hosts
 * elsewhere a wait has to be worthwhile even if it takes that much longer. */
#define WAIT_MARGIN 2.0

/* Observed runs on either side that count as much as the configured slowdown:
 * with fewer, single run times dominate, which differ by a third. */
#define SLOWDOWN_PRIOR_RUNS 16

/* Weight of a further run in a mean of SLOWDOWN_WINDOW_RUNS or more. */
#define SLOWDOWN_WINDOW_RUNS 64

/* The observed slowdown is limited to this factor above or below the configured
 * one, since estimates of local and remote tasks may be wrong by different
 * factors. */
#define SLOWDOWN_FACTOR_MAX 2.0

/**
 * struct release - capacity of a host that becomes free
 */
typedef struct release {
	int64_t in_ms;
	int host;
	bh_capacity_t capacity;
} release_t;

/**
 * struct bh_rack_forecast
 * @free: of each host, at the start
 * @releases: ascending by time once @is_sorted
 */
struct bh_rack_forecast {
	uint32_t n_hosts;
	bh_capacity_t free[BH_RACK_HOSTS_MAX];
	uint32_t n_releases;
	bool is_sorted;
	release_t releases[BH_RACK_RELEASES_MAX];
};

bh_rack_forecast_t *bh_rack_forecast_new(void)
{
	return g_new0(bh_rack_forecast_t, 1);
}

void bh_rack_forecast_free(bh_rack_forecast_t *f)
{
	g_free(f);
}

void bh_rack_forecast_reset(bh_rack_forecast_t *f)
{
	f->n_hosts = 0;
	f->n_releases = 0;
	f->is_sorted = true;
}

int bh_rack_forecast_add_host(bh_rack_forecast_t *f, const bh_capacity_t *free)
{
	if (f->n_hosts == BH_RACK_HOSTS_MAX)
		return -1;
	f->free[f->n_hosts] = *free;
	return (int)f->n_hosts++;
}

static int by_time(const void *a, const void *b)
{
	const release_t *x = a;
	const release_t *y = b;

	if (x->in_ms != y->in_ms)
		return x->in_ms < y->in_ms ? -1 : 1;
	return 0;
}

void bh_rack_forecast_add_release(bh_rack_forecast_t *f, int host,
				  int64_t in_ms, const bh_capacity_t *released)
{
	if (f->n_releases == BH_RACK_RELEASES_MAX || host < 0 ||
	    (uint32_t)host >= f->n_hosts)
		return;
	f->releases[f->n_releases++] =
		(release_t){MAX(in_ms, 0), host, *released};
	f->is_sorted = false;
}

static void sort_releases(bh_rack_forecast_t *f)
{
	if (!f->is_sorted && f->n_releases > 1)
		qsort(f->releases, f->n_releases, sizeof(f->releases[0]),
		      by_time);
	f->is_sorted = true;
}

/* Adds a release to sorted ones. Sorting all of them again for each task that
 * waits would take most of the time of a pass. */
static void insert_release(bh_rack_forecast_t *f, int host, int64_t in_ms,
			   const bh_capacity_t *released)
{
	uint32_t i = f->n_releases;

	if (i == BH_RACK_RELEASES_MAX)
		return;
	for (; i > 0 && f->releases[i - 1].in_ms > in_ms; i--)
		f->releases[i] = f->releases[i - 1];
	f->releases[i] = (release_t){in_ms, host, *released};
	f->n_releases++;
}

static void add(bh_capacity_t *to, const bh_capacity_t *c, int64_t times)
{
	to->cpu += c->cpu * times;
	to->memory += c->memory * times;
	to->accelerators += c->accelerators * times;
}

static bool fits(const bh_capacity_t *free, const bh_capacity_t *need)
{
	return free->cpu >= need->cpu && free->memory >= need->memory &&
	       free->accelerators >= need->accelerators;
}

/* Puts tasks on a host until none fits.
 * Return: how many. */
static uint32_t fill_host(bh_capacity_t *free, const bh_capacity_t *need,
			  uint32_t count)
{
	uint32_t n = 0;

	while (n < count && fits(free, need)) {
		add(free, need, -1);
		n++;
	}
	return n;
}

/* Finds the time at which the last of the tasks fits, where each one keeps the
 * capacity from when it fits.
 * Return: -1 if that is after @limit_ms. */
static int64_t find(const bh_rack_forecast_t *f, const bh_capacity_t *need,
		    uint32_t count, const uint32_t most[BH_RACK_HOSTS_MAX],
		    int64_t limit_ms, uint32_t taken[BH_RACK_HOSTS_MAX])
{
	bh_capacity_t free[BH_RACK_HOSTS_MAX];

	for (uint32_t i = 0; i < f->n_hosts; i++) {
		free[i] = f->free[i];
		taken[i] = fill_host(&free[i], need, MIN(count, most[i]));
		count -= taken[i];
	}
	if (count == 0)
		return 0;
	for (uint32_t k = 0; k < f->n_releases; k++) {
		const release_t *r = &f->releases[k];
		uint32_t n;

		if (r->in_ms > limit_ms)
			return -1;
		add(&free[r->host], &r->capacity, 1);
		n = fill_host(&free[r->host], need,
			      MIN(count, most[r->host] - taken[r->host]));
		taken[r->host] += n;
		count -= n;
		if (count == 0)
			return r->in_ms;
	}
	return -1;
}

int64_t bh_rack_forecast_wait_ms(bh_rack_forecast_t *f,
				 const bh_capacity_t *need, uint32_t count,
				 const uint32_t most[BH_RACK_HOSTS_MAX],
				 int64_t limit_ms)
{
	uint32_t taken[BH_RACK_HOSTS_MAX];

	sort_releases(f);
	return find(f, need, count, most, limit_ms, taken);
}

void bh_rack_forecast_take(bh_rack_forecast_t *f, const bh_capacity_t *need,
			   uint32_t count,
			   const uint32_t most[BH_RACK_HOSTS_MAX],
			   int64_t limit_ms, int64_t run_ms,
			   uint32_t out[BH_RACK_HOSTS_MAX])
{
	uint32_t taken[BH_RACK_HOSTS_MAX] = {0};
	int64_t wait_ms;

	sort_releases(f);
	wait_ms = find(f, need, count, most, limit_ms, taken);
	for (uint32_t i = 0; i < f->n_hosts; i++) {
		bh_capacity_t sum = {0};

		if (out)
			out[i] = wait_ms < 0 ? 0 : taken[i];
		if (wait_ms < 0 || !taken[i])
			continue;
		add(&sum, need, taken[i]);
		add(&f->free[i], &sum, -1);
		insert_release(f, (int)i, wait_ms + run_ms, &sum);
	}
}

const char *bh_locality_verdict_name(bh_locality_verdict_t verdict)
{
	static const char *const names[] = {"wait", "lost", "expired",
					    "too-long", "would-be-late"};

	return verdict < G_N_ELEMENTS(names) ? names[verdict] : "?";
}

static int64_t slowdown_cost_ms(int64_t run_ms, double slowdown)
{
	return (int64_t)((double)run_ms * (slowdown - 1));
}

int64_t bh_locality_limit_ms(int64_t run_ms, double slowdown)
{
	return CLAMP(slowdown_cost_ms(run_ms, slowdown), 0,
		     BH_LOCALITY_WAIT_MAX_MS);
}

/* A longer run elsewhere costs the caller the time by which the step ends
 * later, which is none if another task of it runs elsewhere for as long, and it
 * costs others the capacity in the longer time as far as hosts are in use. A
 * wait costs the caller twice the predicted time, which may be that wrong. The
 * objective decides first: a job that ends after it has 15 % of its value. */
bh_locality_verdict_t bh_locality_decide(const bh_locality_choice_t *c)
{
	int64_t cost_ms = slowdown_cost_ms(c->run_ms, c->slowdown);
	int64_t later_ms =
		CLAMP(c->run_ms + cost_ms - c->elsewhere_ms, 0, cost_ms);
	double elsewhere = (double)later_ms +
			   (double)cost_ms * CLAMP(c->utilization, 0, 1);
	double wait = (double)c->wait_ms * WAIT_MARGIN;

	if (c->is_lost)
		return BH_LOCALITY_LOST;
	if (c->left_ms <= 0)
		return BH_LOCALITY_EXPIRED;
	if (c->wait_ms < 0 || c->wait_ms >= MIN(cost_ms, c->left_ms))
		return BH_LOCALITY_TOO_LONG;
	if (c->slack_ms >= c->wait_ms && c->slack_ms < later_ms)
		return BH_LOCALITY_WAIT;
	if (c->slack_ms >= later_ms && (double)c->slack_ms < wait)
		return BH_LOCALITY_WOULD_BE_LATE;
	return wait < elsewhere ? BH_LOCALITY_WAIT : BH_LOCALITY_TOO_LONG;
}

void bh_slowdown_add(bh_slowdown_t *s, double ratio, bool is_local)
{
	double *mean = is_local ? &s->local : &s->remote;
	uint32_t *n = is_local ? &s->n_local : &s->n_remote;

	if (!(ratio > 0))
		return;
	*n = MIN(*n + 1, SLOWDOWN_WINDOW_RUNS);
	*mean += (log(ratio) - *mean) / *n;
}

double bh_slowdown_get(const bh_slowdown_t *s, double configured)
{
	double n = MIN(s->n_local, s->n_remote);
	double weight = n / (n + SLOWDOWN_PRIOR_RUNS);
	double prior = log(MAX(configured, 1));
	double bound = log(SLOWDOWN_FACTOR_MAX);
	double seen = CLAMP(s->remote - s->local, prior - bound, prior + bound);

	return MAX(exp(prior + weight * (seen - prior)), 1);
}
