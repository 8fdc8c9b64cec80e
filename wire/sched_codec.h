/*
 * Converts the job scheduler's types to and from protobuf: rows of the store,
 * and frames between entries, the leader and agents. These frames are the
 * length of the payload (4 bytes, big-endian) and the payload; unlike those of
 * wire/frame.h they have no checksum.
 */
#ifndef BH_WIRE_SCHED_CODEC_H
#define BH_WIRE_SCHED_CODEC_H

#include "sched/sched.h"
#include "wire/sched.pb-c.h"

typedef Bh__Sched__Frame bh_frame_t;

#define BH_SCHED_FRAME_HEADER_BYTES 4
#define BH_SCHED_FRAME_MAX_BYTES    (4u << 20)

GBytes *bh_job_pack(const bh_job_t *job);

/**
 * bh_job_unpack() - decode a stored job
 *
 * Return: NULL when the bytes are not a valid job.
 */
bh_job_t *bh_job_unpack(const void *data, size_t len);
GBytes *bh_progress_pack(const bh_progress_t *progress);
bh_progress_t *bh_progress_unpack(const void *data, size_t len);

/**
 * bh_learned_pack() - encode the interference estimates and the learned run
 * times for the next leader, as many as fit; the run times take up to half of
 * @max_bytes
 */
GBytes *bh_learned_pack(const bh_sched_t *sched, size_t max_bytes);
void bh_learned_unpack(const void *data, size_t len, bh_sched_t *sched);

/**
 * bh_predictions_to_ping() - add predictions to a ping; the ping refers to the
 * texts of @p and is released by bh_predictions_release()
 */
void bh_predictions_to_ping(const bh_predictions_t *p, Bh__Sched__Ping *ping);
void bh_predictions_release(Bh__Sched__Ping *ping);

/**
 * bh_predictions_from_ping() - replace predictions by those of a ping; odd ones
 * are left out
 */
void bh_predictions_from_ping(bh_predictions_t *p, const Bh__Sched__Ping *ping);

/**
 * struct bh_leader_row - the current leader
 * @address: its address for frames; empty when there is no leader
 */
typedef struct bh_leader_row {
	uint64_t term;
	char *address;
	char *name;
} bh_leader_row_t;

GBytes *bh_leader_row_pack(const bh_leader_row_t *row);
bool bh_leader_row_unpack(const void *data, size_t len, bh_leader_row_t *out);
void bh_leader_row_clear(bh_leader_row_t *row);

/**
 * bh_frame_append() - append a frame with its header
 */
void bh_frame_append(const bh_frame_t *frame, GByteArray *out);

/**
 * struct bh_report - an agent's report; free with bh_report_clear()
 * @lists: set when @has_lists is true
 */
typedef struct bh_report {
	bh_worker_info_t info;
	bool has_lists;
	bh_worker_lists_t lists;
	uint64_t term;
} bh_report_t;

/**
 * bh_report_append() - append a report as a frame
 * @lists: NULL for a report without lists
 */
void bh_report_append(const bh_worker_info_t *info,
		      const bh_worker_lists_t *lists, uint64_t term,
		      GByteArray *out);
/**
 * bh_crash_append() - append the report of a crash as a frame
 */
void bh_crash_append(const bh_crash_t *crash, uint64_t term, GByteArray *out);

/**
 * bh_crash_decode() - decode the report of a crash
 * @out: to be freed with bh_crash_clear()
 */
void bh_crash_decode(const Bh__Sched__Crash *from, bh_crash_t *out);

void bh_report_decode(const Bh__Sched__Report *from, bh_report_t *out);
void bh_report_clear(bh_report_t *report);

#endif
