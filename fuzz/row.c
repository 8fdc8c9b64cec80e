/*
 * libFuzzer target: rows and frames of the job scheduler. The first byte
 * selects the decoder.
 */
#include "wire/sched_codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void decode_leader(const uint8_t *data, size_t size)
{
	bh_leader_row_t row;

	bh_leader_row_unpack(data, size, &row);
	bh_leader_row_clear(&row);
}

static void decode_frame(const uint8_t *data, size_t size)
{
	bh_frame_t *frame = bh__sched__frame__unpack(NULL, size, data);
	bh_report_t report;
	bh_crash_t crash;

	if (!frame)
		return;
	if (frame->body_case == BH__SCHED__FRAME__BODY_REPORT) {
		bh_report_decode(frame->report, &report);
		bh_report_clear(&report);
	} else if (frame->body_case == BH__SCHED__FRAME__BODY_CRASH) {
		bh_crash_decode(frame->crash, &crash);
		bh_crash_clear(&crash);
	}
	bh__sched__frame__free_unpacked(frame, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size == 0)
		return 0;
	switch (data[0] % 4) {
	case 0:
		bh_job_free(bh_job_unpack(data + 1, size - 1));
		break;
	case 1:
		bh_progress_free(bh_progress_unpack(data + 1, size - 1));
		break;
	case 2:
		decode_leader(data + 1, size - 1);
		break;
	default:
		decode_frame(data + 1, size - 1);
		break;
	}
	return 0;
}
