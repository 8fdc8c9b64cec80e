/*
 * libFuzzer target: bh_settings_parse().
 */
#include "daemon/settings.h"

#include <stddef.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	bh_settings_free(
		bh_settings_parse((const char *)data, (gssize)size, NULL));
	return 0;
}
