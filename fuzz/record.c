/*
 * libFuzzer target: bh_record_parse(), for every kind of record.
 */
#include "wire/record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	for (int kind = 0; kind < BH_RECORD_KINDS; kind++)
		bh_record_free(bh_record_parse((bh_record_kind_t)kind,
					       (const char *)data, (gssize)size,
					       NULL));
	return 0;
}
