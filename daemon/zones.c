#include "daemon/zones.h"
#include "daemon/metrics.h"

void bh_metrics_evacuation(GString *out, const bh_evacuation_t *evacuation)
{
	const char *zones[BH_EVACUATION_ZONES_MAX];

	bh_metrics_value(out, "boragehold_zones_evacuated", NULL,
			 bh_evacuation_zones(evacuation, zones));
	bh_metrics_value(out, "boragehold_evacuation_version", NULL,
			 (double)bh_evacuation_version(evacuation));
}

void bh_log_evacuation(bh_log_t *log, const bh_evacuation_t *evacuation,
		       const char *source)
{
	const char *zones[BH_EVACUATION_ZONES_MAX + 1] = {NULL};
	uint32_t n = bh_evacuation_zones(evacuation, zones);
	g_autofree char *list = NULL;
	g_autofree char *version = g_strdup_printf(
		"%" G_GUINT64_FORMAT, bh_evacuation_version(evacuation));

	zones[n] = NULL;
	list = g_strjoinv(",", (char **)zones);
	bh_log_event(log, BH_LOG_WARN, "zones evacuated", "zones", list,
		     "version", version, "source", source, NULL);
}
