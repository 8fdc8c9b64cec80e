/*
 * libFuzzer target: everything that decodes the platform's JSON. The first byte
 * selects the decoder.
 */
#include "platform/decode.h"
#include "platform/runner.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void decode_announcement(const uint8_t *data, size_t size)
{
	bh_announcement_t announcement;

	if (bh_decode_announcement("w", data, size, &announcement))
		bh_worker_info_clear(&announcement.info);
}

static void decode_lists(const uint8_t *data, size_t size)
{
	bh_worker_lists_t lists;

	bh_runner_decode_lists(data, size, &lists);
	bh_worker_lists_clear(&lists);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *error;

	if (size == 0)
		return 0;
	switch (data[0] % 4) {
	case 0:
		bh_job_free(bh_decode_job(data + 1, size - 1, &error));
		break;
	case 1:
		bh_config_free(bh_decode_config(data + 1, size - 1));
		break;
	case 2:
		decode_announcement(data + 1, size - 1);
		break;
	default:
		decode_lists(data + 1, size - 1);
		break;
	}
	return 0;
}
