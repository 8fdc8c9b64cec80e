/*
 * The configuration in use, and its exchange between entries. Each entry
 * reports its version with its pings; one that is behind and cannot read the
 * store asks for a copy.
 */
#ifndef BH_DAEMON_CONFIGS_H
#define BH_DAEMON_CONFIGS_H

#include "daemon/link.h"
#include "daemon/runtime.h"
#include "sched/sched.h"

typedef struct bh_configs bh_configs_t;

/**
 * bh_configs_new() - start without a configuration
 * @applied: a newer configuration is in use; the previous one is freed after
 *	this call
 */
bh_configs_t *bh_configs_new(bh_runtime_t *rt, void (*applied)(void *ctx),
			     void *ctx);
void bh_configs_free(bh_configs_t *c);

/**
 * bh_configs_current() - the newest configuration, NULL before the first
 */
const bh_config_t *bh_configs_current(const bh_configs_t *c);

/**
 * bh_configs_version() - version of the newest configuration, 0 before the
 * first
 */
uint64_t bh_configs_version(const bh_configs_t *c);

/**
 * bh_configs_apply() - use a configuration, unless it is older than the one in
 * use
 * @source: who delivered it, for the log
 */
void bh_configs_apply(bh_configs_t *c, const void *text, size_t len,
		      const char *source);

/**
 * bh_configs_on_report() - the other end of a link has this version
 * @is_store_lost: the last read from the store failed
 */
void bh_configs_on_report(bh_configs_t *c, bh_link_t *link, uint64_t version,
			  bool is_store_lost);

/**
 * bh_configs_on_request() - the other end of a link asks for a copy
 */
void bh_configs_on_request(bh_configs_t *c, bh_link_t *link,
			   const Bh__Sched__ConfigRequest *request);

/**
 * bh_configs_on_copy() - the other end of a link has sent its configuration
 */
void bh_configs_on_copy(bh_configs_t *c, const Bh__Sched__ConfigPush *copy,
			const char *source);
void bh_configs_metrics(const bh_configs_t *c, GString *out);

#endif
