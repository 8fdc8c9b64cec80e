/*
 * Finds the end of an HTTP/1 request in bytes that arrive in any pieces, and
 * refuses one that exceeds a limit as soon as that shows.
 *
 * Load addressed: clients that send head fields without end, bodies over the
 * limit, or bodies that nobody reads. The request itself is parsed by libevent,
 * once it is complete.
 */
#ifndef BH_SCHED_HTTP_SCAN_H
#define BH_SCHED_HTTP_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longer request targets and hosts are cut: no route is longer. */
#define BH_HTTP_LINE_MAX 512
#define BH_HTTP_HOST_MAX 256

typedef enum bh_http_part {
	BH_HTTP_START_LINE,
	BH_HTTP_FIELDS,
	BH_HTTP_BODY,
	BH_HTTP_CHUNK_SIZE,
	BH_HTTP_CHUNK_DATA,
	BH_HTTP_CHUNK_END,
	BH_HTTP_TRAILER,
	BH_HTTP_DONE,
	BH_HTTP_REFUSED,
} bh_http_part_t;

/**
 * struct bh_http_limits - limits of one request
 * @head_bytes: request line and fields, with line ends
 * @fields: fields of the head, and of a trailer
 * @body_bytes: decoded body
 * @framing_bytes: line ends and sizes of a chunked body
 */
typedef struct bh_http_limits {
	size_t head_bytes;
	uint32_t fields;
	uint64_t body_bytes;
	uint64_t framing_bytes;
} bh_http_limits_t;

/**
 * struct bh_http_scan - progress within one request
 * @status: response to a refused request, 0 while it is not refused
 * @body: bytes of the body so far
 * @left: bytes of the body, or of the current chunk, that are missing
 * @is_head_done: the head is complete: @method, @path, @host are set
 */
typedef struct bh_http_scan {
	bh_http_part_t part;
	int status;
	size_t head;
	uint32_t fields;
	uint64_t body;
	uint64_t framing;
	uint64_t left;
	bool has_length;
	bool is_chunked;
	bool is_head_done;
	bool expects_continue;
	uint16_t line_len;
	char line[BH_HTTP_LINE_MAX];
	char method[16];
	char path[BH_HTTP_LINE_MAX];
	char host[BH_HTTP_HOST_MAX];
} bh_http_scan_t;

void bh_http_scan_reset(bh_http_scan_t *scan);

/**
 * bh_http_scan_feed() - scan the next bytes
 *
 * Stops after the head, at the end of the request, or where it is refused.
 *
 * Return: bytes scanned.
 */
size_t bh_http_scan_feed(bh_http_scan_t *scan, const bh_http_limits_t *limits,
			 const char *data, size_t len);

/**
 * bh_http_scan_has_body() - the head announces a body
 */
bool bh_http_scan_has_body(const bh_http_scan_t *scan);

#endif
