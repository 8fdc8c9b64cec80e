/*
 * libFuzzer target: bh_frame_unpack().
 */
#include "wire/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	bh_msg_t msg;

	bh_frame_unpack(data, size, &msg, NULL);
	bh_msg_clear(&msg);
	return 0;
}
