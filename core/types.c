#include "core/types.h"

static const char *const verdict_names[] = {
	[BH_NOT_RUN] = "not-run",
	[BH_MAYBE_RUN] = "may-have-run",
	[BH_RAN] = "ran",
};

static const char *const class_names[BH_CLASS_COUNT] = {
	[BH_CLASS_HIGH] = "high",
	[BH_CLASS_NORMAL] = "normal",
	[BH_CLASS_LOW] = "low",
};

const char *bh_verdict_name(bh_verdict_t verdict)
{
	return verdict_names[verdict];
}

const char *bh_class_name(bh_class_t cls)
{
	return class_names[cls];
}

bool bh_class_parse(const char *name, bh_class_t *out)
{
	for (int i = 0; i < BH_CLASS_COUNT; i++) {
		if (strcmp(name, class_names[i]) == 0) {
			*out = (bh_class_t)i;
			return true;
		}
	}
	return false;
}
