/*
 * Tenants: rate and concurrency limits, counters and latency histograms.
 */
#ifndef BH_CORE_TENANT_H
#define BH_CORE_TENANT_H

#include "core/bucket.h"
#include "core/hist.h"
#include "core/reason.h"

/*
 * Callers choose the tenant names, so their number is limited; all further
 * names share one entry of the table.
 */
#define BH_TENANTS_MAX	 1024
#define BH_TENANTS_OTHER "other"

/**
 * struct bh_tenant_limits - limits at one entry
 * @rate: requests per second
 * @burst: requests that may exceed the rate at once
 * @max_in_flight: maximum number of unanswered requests
 */
typedef struct bh_tenant_limits {
	double rate;
	double burst;
	uint32_t max_in_flight;
} bh_tenant_limits_t;

typedef struct bh_tenant {
	char *name;
	bh_tenant_limits_t limits;
	bool is_configured;
	bh_bucket_t bucket;
	uint32_t in_flight;
	uint64_t admitted;
	uint64_t refused;
	uint64_t verdicts[BH_RAN + 1];
	bh_hist_t *latency[BH_CLASS_COUNT];
} bh_tenant_t;

typedef struct bh_tenants bh_tenants_t;

bh_tenants_t *bh_tenants_new(const bh_tenant_limits_t *defaults);
void bh_tenants_free(bh_tenants_t *tenants);
GHashTable *bh_tenants_table(bh_tenants_t *tenants);

/**
 * bh_tenants_get() - get a tenant, created with the default limits if new
 */
bh_tenant_t *bh_tenants_get(bh_tenants_t *tenants, const char *name,
			    bh_usec_t now);

/**
 * bh_tenants_configure() - set a tenant's limits
 * @limits: NULL restores the defaults
 */
void bh_tenants_configure(bh_tenants_t *tenants, const char *name,
			  const bh_tenant_limits_t *limits, bh_usec_t now);

/**
 * bh_tenant_admit() - admit or refuse one request
 * @retry_after: when refused, time until a retry may succeed
 *
 * Return: BH_REASON_NONE when admitted; bh_tenant_release() must follow.
 */
bh_reason_t bh_tenant_admit(bh_tenant_t *tenant, bh_usec_t now,
			    bh_usec_t *retry_after);
void bh_tenant_release(bh_tenant_t *tenant, bh_class_t cls,
		       bh_verdict_t verdict, bh_usec_t latency);

#endif
