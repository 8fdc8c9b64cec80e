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
 * bh_learned_pack() - encode the interference estimates for the next leader, as
 * many as fit
 */
GBytes *bh_learned_pack(const bh_sched_t *sched, size_t max_bytes);
void bh_learned_unpack(const void *data, size_t len, bh_sched_t *sched);

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
 * struct bh_evacuation_frame - an evacuation state to send
 * @state: refers to @zones
 */
typedef struct bh_evacuation_frame {
	Bh__Sched__EvacuationState state;
	const char *zones[BH_EVACUATION_ZONES_MAX];
} bh_evacuation_frame_t;

/**
 * bh_evacuation_to_wire() - describe a set of evacuated zones for a frame
 * @out: refers to the names in @e
 *
 * Its age is that of this process's own last read, so that no other process
 * gets back what it told.
 *
 * Return: the state, which is part of @out.
 */
Bh__Sched__EvacuationState *bh_evacuation_to_wire(const bh_evacuation_t *e,
						  bh_usec_t now,
						  bh_evacuation_frame_t *out);

/**
 * bh_evacuation_from_wire() - use the set of another process if it is newer
 * @from: may be NULL
 * @is_read: the sender's read counts as one of @e, as that of an entry does for
 *	the leader
 */
void bh_evacuation_from_wire(const Bh__Sched__EvacuationState *from,
			     bool is_read, bh_usec_t now, bh_evacuation_t *e);

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
 * bh_late_starts_append() - append, as a frame for an agent, the starts that
 * its earlier processes may have left
 */
void bh_late_starts_append(const bh_late_starts_t *starts, GByteArray *out);

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
