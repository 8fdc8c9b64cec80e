#include "core/tenant.h"

struct bh_tenants {
	bh_tenant_limits_t defaults;
	GHashTable *by_name;
};

static void tenant_free(void *data)
{
	bh_tenant_t *t = data;

	for (int i = 0; i < BH_CLASS_COUNT; i++)
		g_free(t->latency[i]);
	g_free(t->name);
	g_free(t);
}

static void set_limits(bh_tenant_t *t, const bh_tenant_limits_t *limits,
		       bh_usec_t now)
{
	t->limits = *limits;
	bh_bucket_init(&t->bucket, limits->rate, limits->burst, now);
}

static bool limits_equal(const bh_tenant_limits_t *a,
			 const bh_tenant_limits_t *b)
{
	return a->rate == b->rate && a->burst == b->burst &&
	       a->max_in_flight == b->max_in_flight;
}

static bh_tenant_t *tenant_add(bh_tenants_t *tenants, const char *name,
			       bh_usec_t now)
{
	bh_tenant_t *t = g_new0(bh_tenant_t, 1);

	t->name = g_strdup(name);
	set_limits(t, &tenants->defaults, now);
	g_hash_table_insert(tenants->by_name, t->name, t);
	return t;
}

bh_tenants_t *bh_tenants_new(const bh_tenant_limits_t *defaults)
{
	bh_tenants_t *tenants = g_new0(bh_tenants_t, 1);

	tenants->defaults = *defaults;
	tenants->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 tenant_free);
	return tenants;
}

void bh_tenants_free(bh_tenants_t *tenants)
{
	g_hash_table_destroy(tenants->by_name);
	g_free(tenants);
}

GHashTable *bh_tenants_table(bh_tenants_t *tenants)
{
	return tenants->by_name;
}

bh_tenant_t *bh_tenants_get(bh_tenants_t *tenants, const char *name,
			    bh_usec_t now)
{
	bh_tenant_t *t = g_hash_table_lookup(tenants->by_name, name);

	if (t)
		return t;
	if (g_hash_table_size(tenants->by_name) < BH_TENANTS_MAX)
		return tenant_add(tenants, name, now);
	t = g_hash_table_lookup(tenants->by_name, BH_TENANTS_OTHER);
	return t ? t : tenant_add(tenants, BH_TENANTS_OTHER, now);
}

void bh_tenants_configure(bh_tenants_t *tenants, const char *name,
			  const bh_tenant_limits_t *limits, bh_usec_t now)
{
	bh_tenant_t *t = g_hash_table_lookup(tenants->by_name, name);

	if (!t)
		t = tenant_add(tenants, name, now);
	t->is_configured = limits != NULL;
	if (!limits)
		limits = &tenants->defaults;
	if (!limits_equal(limits, &t->limits))
		set_limits(t, limits, now);
}

bh_reason_t bh_tenant_admit(bh_tenant_t *t, bh_usec_t now,
			    bh_usec_t *retry_after)
{
	*retry_after = 0;
	if (t->in_flight >= t->limits.max_in_flight) {
		t->refused++;
		*retry_after = BH_USEC_PER_SEC;
		return BH_REASON_TENANT_CONCURRENCY;
	}
	if (!bh_bucket_take(&t->bucket, 1, now)) {
		t->refused++;
		*retry_after = bh_bucket_wait(&t->bucket);
		return BH_REASON_TENANT_RATE;
	}
	t->in_flight++;
	t->admitted++;
	return BH_REASON_NONE;
}

void bh_tenant_release(bh_tenant_t *t, bh_class_t cls, bh_verdict_t verdict,
		       bh_usec_t latency)
{
	t->in_flight--;
	t->verdicts[verdict]++;
	if (!t->latency[cls])
		t->latency[cls] = g_new0(bh_hist_t, 1);
	bh_hist_add(t->latency[cls], latency);
}
