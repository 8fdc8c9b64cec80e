/*
 * Frames between boragehold's own processes: the length of the payload
 * (4 bytes, big-endian), its checksum (4 bytes, XXH32), and the payload in
 * protobuf. Does no input or output.
 */
#ifndef BH_WIRE_FRAME_H
#define BH_WIRE_FRAME_H

#include "core/msg.h"

#define BH_FRAME_HEADER_BYTES 8
#define BH_FRAME_MAX_BYTES    (2u << 20)

#define BH_FRAME_ERROR (bh_frame_error_quark())

typedef enum bh_frame_error {
	BH_FRAME_ERROR_SIZE,
	BH_FRAME_ERROR_CHECKSUM,
	BH_FRAME_ERROR_PAYLOAD,
	BH_FRAME_ERROR_RANGE,
} bh_frame_error_t;

GQuark bh_frame_error_quark(void);

/**
 * bh_frame_pack() - append a message as a frame
 * @out: header and payload are appended here
 */
void bh_frame_pack(const bh_msg_t *msg, GByteArray *out);

/**
 * bh_frame_unpack() - decode the first frame of a buffer
 * @data: received bytes
 * @len: length of @data
 * @out: filled on success, zeroed otherwise; free with bh_msg_clear()
 * @err: set on failure
 *
 * Return: bytes consumed, 0 when the frame is not complete yet, -1 on error
 * (the connection must then be closed).
 */
gssize bh_frame_unpack(const uint8_t *data, size_t len, bh_msg_t *out,
		       GError **err);

#endif
