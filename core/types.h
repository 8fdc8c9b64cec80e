/*
 * Types shared by all packages: time, verdicts, classes. core/ reads no clock;
 * callers pass the current time to each function that needs it.
 */
#ifndef BH_CORE_TYPES_H
#define BH_CORE_TYPES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/queue.h>

/* Microseconds of a monotonic clock; of the wall clock in names with unix. */
typedef int64_t bh_usec_t;

#define BH_USEC_PER_MS	((bh_usec_t)1000)
#define BH_USEC_PER_SEC ((bh_usec_t)1000000)
#define BH_NEVER	INT64_MAX

/* glibc's <sys/queue.h> lacks the safe iteration that the BSDs have. */
#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, tvar)                             \
	for ((var) = TAILQ_FIRST((head));                                      \
	     (var) && ((tvar) = TAILQ_NEXT((var), field), 1); (var) = (tvar))
#endif

/**
 * enum bh_verdict - whether a request may have run
 * @BH_NOT_RUN: it did not run and will not; safe to retry
 * @BH_MAYBE_RUN: unknown; safe to retry only if idempotent
 * @BH_RAN: it ran and was answered
 */
typedef enum bh_verdict {
	BH_NOT_RUN,
	BH_MAYBE_RUN,
	BH_RAN,
} bh_verdict_t;

/**
 * enum bh_class - priority class, most urgent first
 */
typedef enum bh_class {
	BH_CLASS_HIGH,
	BH_CLASS_NORMAL,
	BH_CLASS_LOW,
	BH_CLASS_COUNT,
} bh_class_t;

const char *bh_verdict_name(bh_verdict_t verdict);
const char *bh_class_name(bh_class_t cls);

/**
 * bh_class_parse() - look up a class by name
 * @name: "high", "normal" or "low"
 * @out: set to the class
 *
 * Return: false when no class has that name.
 */
bool bh_class_parse(const char *name, bh_class_t *out);

#endif
