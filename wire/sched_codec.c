#include "wire/sched_codec.h"

#include <math.h>

#define FLAG_GANG	   (1u << 0)
#define FLAG_SAME_RACK	   (1u << 1)
#define FLAG_SPECULATIVE   (1u << 2)
#define FLAG_CHECKPOINTING (1u << 3)
#define FLAG_LASTING	   (1u << 4)
#define FLAG_FILLER	   (1u << 5)

/* protobuf-c requires strings that are not NULL, and packing doesn't change
 * them. */
static char *text_or_empty(const char *text)
{
	return (char *)(text ? text : "");
}

static char *text_from_wire(const char *text)
{
	return text && *text ? g_strdup(text) : NULL;
}

static GBytes *pack(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(len + 1);

	protobuf_c_message_pack(message, data);
	return g_bytes_new_take(data, len);
}

static uint32_t step_flags(const bh_step_t *step)
{
	return (step->is_gang ? FLAG_GANG : 0) |
	       (step->is_same_rack ? FLAG_SAME_RACK : 0) |
	       (step->is_speculative ? FLAG_SPECULATIVE : 0) |
	       (step->is_checkpointing ? FLAG_CHECKPOINTING : 0) |
	       (step->is_long_running ? FLAG_LASTING : 0) |
	       (step->is_filler ? FLAG_FILLER : 0);
}

static void step_to_wire(const bh_step_t *step, Bh__Sched__Step *out)
{
	bh__sched__step__init(out);
	out->count = step->count;
	out->cpu_milli = step->cpu_milli;
	out->memory_mb = step->memory_mb;
	out->accelerators = step->accelerators;
	out->estimate_ms = step->estimate_ms;
	out->n_after = step->n_after;
	out->after = step->after;
	out->flags = step_flags(step);
	out->label = text_or_empty(step->label);
	out->rack = text_or_empty(step->rack);
	out->image = text_or_empty(step->image);
	out->max_per_host = step->max_per_host;
	out->target_ms = step->target_ms;
	out->max_unavailable = step->max_unavailable;
}

static void step_from_wire(const Bh__Sched__Step *from, bh_step_t *out)
{
	out->count = from->count;
	out->cpu_milli = from->cpu_milli;
	out->memory_mb = from->memory_mb;
	out->accelerators = from->accelerators;
	out->estimate_ms = from->estimate_ms;
	out->n_after = (uint32_t)from->n_after;
	out->after = g_new0(uint32_t, MAX(from->n_after, 1));
	for (size_t i = 0; i < from->n_after; i++)
		out->after[i] = from->after[i];
	out->label = text_from_wire(from->label);
	out->rack = text_from_wire(from->rack);
	out->image = text_from_wire(from->image);
	out->max_per_host = from->max_per_host;
	out->target_ms = from->target_ms;
	out->max_unavailable = from->max_unavailable;
	out->is_gang = from->flags & FLAG_GANG;
	out->is_same_rack = from->flags & FLAG_SAME_RACK;
	out->is_speculative = from->flags & FLAG_SPECULATIVE;
	out->is_checkpointing = from->flags & FLAG_CHECKPOINTING;
	out->is_long_running = from->flags & FLAG_LASTING;
	out->is_filler = from->flags & FLAG_FILLER;
}

static bh_job_t *job_from_wire(const Bh__Sched__Job *from)
{
	bh_job_t *job;

	if (!bh_job_id_is_valid(from->id))
		return NULL;
	job = g_new0(bh_job_t, 1);
	g_strlcpy(job->id, from->id, sizeof(job->id));
	job->queue = g_strdup(from->queue);
	job->spec = g_strdup(from->spec);
	job->accepted_ms = from->accepted_ms;
	job->first_due_ms = from->first_due_ms;
	job->interval_ms = from->interval_ms;
	job->repeat = from->repeat;
	job->is_cancelled = from->is_cancelled;
	job->terms.service = g_strdup(from->service);
	job->terms.priority = from->priority;
	job->terms.max_attempts = from->max_attempts;
	job->terms.slack_percent = from->slack_percent;
	job->terms.target_ms = from->target_ms;
	job->n_steps = (uint32_t)from->n_steps;
	job->steps = g_new0(bh_step_t, MAX(from->n_steps, 1));
	for (size_t i = 0; i < from->n_steps; i++)
		step_from_wire(from->steps[i], &job->steps[i]);
	if (!bh_job_check(job))
		return job;
	bh_job_free(job);
	return NULL;
}

static Bh__Sched__StepNote *step_note_to_wire(const bh_step_progress_t *note)
{
	Bh__Sched__StepNote *out = g_new0(Bh__Sched__StepNote, 1);

	bh__sched__step_note__init(out);
	out->occurrence = note->occurrence;
	out->step = note->step;
	out->first = note->first;
	out->done.len = note->n_done_bytes;
	out->done.data = note->done;
	out->n_tasks = note->n_tasks;
	out->tasks = g_new0(Bh__Sched__TaskNote *, MAX(note->n_tasks, 1));
	for (uint32_t i = 0; i < note->n_tasks; i++) {
		Bh__Sched__TaskNote *t = g_new0(Bh__Sched__TaskNote, 1);

		bh__sched__task_note__init(t);
		t->index = note->tasks[i].index;
		t->n_failed = note->tasks[i].n_failed;
		t->failed = note->tasks[i].failed;
		t->checkpoint = text_or_empty(note->tasks[i].checkpoint);
		t->crashes = note->tasks[i].blame.crashes;
		t->crashes_inferred = note->tasks[i].blame.inferred;
		t->suspicion_permille =
			(uint32_t)(note->tasks[i].blame.suspicion * 1000);
		t->crash_age_ms =
			(uint32_t)(note->tasks[i].blame.age / BH_USEC_PER_MS);
		t->n_crash_ids = MIN(t->crashes, BH_BLAME_IDS);
		t->crash_ids = (uint64_t *)note->tasks[i].blame.ids;
		out->tasks[i] = t;
	}
	return out;
}

static void step_note_free(Bh__Sched__StepNote *note)
{
	for (size_t i = 0; i < note->n_tasks; i++)
		g_free(note->tasks[i]);
	g_free(note->tasks);
	g_free(note);
}

static void step_note_from_wire(const Bh__Sched__StepNote *from,
				bh_step_progress_t *out)
{
	out->occurrence = from->occurrence;
	out->step = from->step;
	out->first = from->first;
	out->n_done_bytes = (uint32_t)from->done.len;
	out->done = g_memdup2(from->done.data, from->done.len);
	out->n_tasks = (uint32_t)from->n_tasks;
	out->tasks = g_new0(bh_task_progress_t, MAX(from->n_tasks, 1));
	for (size_t i = 0; i < from->n_tasks; i++) {
		out->tasks[i].index = from->tasks[i]->index;
		out->tasks[i].n_failed = (uint32_t)from->tasks[i]->n_failed;
		out->tasks[i].failed =
			g_memdup2(from->tasks[i]->failed,
				  from->tasks[i]->n_failed * sizeof(uint32_t));
		out->tasks[i].checkpoint =
			text_from_wire(from->tasks[i]->checkpoint);
		out->tasks[i].blame.crashes = from->tasks[i]->crashes;
		out->tasks[i].blame.inferred = from->tasks[i]->crashes_inferred;
		out->tasks[i].blame.suspicion =
			MIN(from->tasks[i]->suspicion_permille, 1000) / 1000.0;
		out->tasks[i].blame.age =
			from->tasks[i]->crash_age_ms * BH_USEC_PER_MS;
		for (size_t b = 0;
		     b < MIN(from->tasks[i]->n_crash_ids, BH_BLAME_IDS); b++)
			out->tasks[i].blame.ids[b] =
				from->tasks[i]->crash_ids[b];
	}
}

static void info_to_wire(const bh_worker_info_t *info, Bh__Sched__Report *out)
{
	out->worker = text_or_empty(info->id);
	out->boot = info->boot;
	out->service = text_or_empty(info->service);
	out->zone = text_or_empty(info->zone);
	out->state = info->state;
	out->cpu_milli = info->cpu_milli;
	out->memory_mb = info->memory_mb;
	out->accelerators = info->accelerators;
	out->n_labels = info->n_labels;
	out->labels = (char **)info->labels;
	out->leaves_ms = info->leaves_ms;
	out->cold_ms = info->cold_ms;
	out->lease_left_ms = info->lease_left_ms;
	out->lost_call_ms = info->lost_call_ms;
	out->is_idle = info->is_idle;
	out->is_term_unknown = info->is_term_unknown;
	out->lease_expires_ms = info->lease_expires_ms;
	out->agent_process = info->agent_process;
	out->agent_age_ms = info->agent_age_ms;
}

static void lists_to_wire(const bh_worker_lists_t *lists,
			  Bh__Sched__Report *out)
{
	out->has_lists = true;
	out->clock_ms = lists->clock_ms;
	out->n_active = lists->n_active;
	out->active = g_new0(Bh__Sched__Active *, lists->n_active + 1);
	for (uint32_t i = 0; i < lists->n_active; i++) {
		const bh_active_t *a = &lists->active[i];
		Bh__Sched__Active *m = g_new0(Bh__Sched__Active, 1);

		bh__sched__active__init(m);
		m->task = a->task;
		m->attempt = a->attempt;
		m->checkpoint = text_or_empty(a->checkpoint);
		m->percent = a->percent;
		m->gauge = a->gauge;
		out->active[i] = m;
	}
	out->has_more_ended = lists->has_more_ended;
	out->n_ended = lists->n_ended;
	out->ended = g_new0(Bh__Sched__Ended *, lists->n_ended + 1);
	for (uint32_t i = 0; i < lists->n_ended; i++) {
		const bh_ended_t *e = &lists->ended[i];
		Bh__Sched__Ended *m = g_new0(Bh__Sched__Ended, 1);

		bh__sched__ended__init(m);
		m->number = e->number;
		m->task = e->task;
		m->attempt = e->attempt;
		m->how = e->how;
		m->checkpoint = text_or_empty(e->checkpoint);
		out->ended[i] = m;
	}
}

static void lists_free(Bh__Sched__Report *report)
{
	for (size_t i = 0; i < report->n_active; i++)
		g_free(report->active[i]);
	for (size_t i = 0; i < report->n_ended; i++)
		g_free(report->ended[i]);
	g_free(report->active);
	g_free(report->ended);
}

GBytes *bh_job_pack(const bh_job_t *job)
{
	Bh__Sched__Job m = BH__SCHED__JOB__INIT;
	g_autofree Bh__Sched__Step *steps =
		g_new0(Bh__Sched__Step, job->n_steps);
	g_autofree Bh__Sched__Step **refs =
		g_new0(Bh__Sched__Step *, job->n_steps);

	for (uint32_t i = 0; i < job->n_steps; i++) {
		step_to_wire(&job->steps[i], &steps[i]);
		refs[i] = &steps[i];
	}
	m.id = (char *)job->id;
	m.queue = text_or_empty(job->queue);
	m.spec = text_or_empty(job->spec);
	m.n_steps = job->n_steps;
	m.steps = refs;
	m.accepted_ms = job->accepted_ms;
	m.first_due_ms = job->first_due_ms;
	m.interval_ms = job->interval_ms;
	m.repeat = job->repeat;
	m.is_cancelled = job->is_cancelled;
	m.service = text_or_empty(job->terms.service);
	m.priority = job->terms.priority;
	m.max_attempts = job->terms.max_attempts;
	m.slack_percent = job->terms.slack_percent;
	m.target_ms = job->terms.target_ms;
	return pack(&m.base);
}

bh_job_t *bh_job_unpack(const void *data, size_t len)
{
	Bh__Sched__Job *m = bh__sched__job__unpack(NULL, len, data);
	bh_job_t *job = m ? job_from_wire(m) : NULL;

	if (m)
		bh__sched__job__free_unpacked(m, NULL);
	return job;
}

GBytes *bh_progress_pack(const bh_progress_t *progress)
{
	Bh__Sched__Progress m = BH__SCHED__PROGRESS__INIT;
	GBytes *bytes;

	m.state = progress->state;
	m.ended_ms = progress->ended_ms;
	m.n_steps = progress->n_steps;
	m.steps = g_new0(Bh__Sched__StepNote *, MAX(progress->n_steps, 1));
	for (uint32_t i = 0; i < progress->n_steps; i++)
		m.steps[i] = step_note_to_wire(&progress->steps[i]);
	bytes = pack(&m.base);
	for (uint32_t i = 0; i < progress->n_steps; i++)
		step_note_free(m.steps[i]);
	g_free(m.steps);
	return bytes;
}

bh_progress_t *bh_progress_unpack(const void *data, size_t len)
{
	Bh__Sched__Progress *m = bh__sched__progress__unpack(NULL, len, data);
	bh_progress_t *out;

	if (!m || m->state > BH_JOB_CANCELLED) {
		if (m)
			bh__sched__progress__free_unpacked(m, NULL);
		return NULL;
	}
	out = g_new0(bh_progress_t, 1);
	out->state = (bh_job_state_t)m->state;
	out->ended_ms = MIN(m->ended_ms, BH_JOB_TIME_MAX_MS);
	out->n_steps = (uint32_t)m->n_steps;
	out->steps = g_new0(bh_step_progress_t, MAX(m->n_steps, 1));
	for (size_t i = 0; i < m->n_steps; i++)
		step_note_from_wire(m->steps[i], &out->steps[i]);
	bh__sched__progress__free_unpacked(m, NULL);
	return out;
}

/* Bytes of a pair's tag and length in a message: names are shorter than 2 MB.
 */
#define PAIR_HEADER_BYTES 5

/**
 * struct pair_list - pairs to encode
 * @bytes: size of these
 */
typedef struct pair_list {
	GPtrArray *pairs;
	size_t bytes;
	size_t max_bytes;
} pair_list_t;

static void free_pair(gpointer data);

static void add_pair(void *ctx, const char *filler, const char *lasting,
		     double harm, double doubt)
{
	pair_list_t *list = ctx;
	size_t bytes;
	Bh__Sched__Pair *m = g_new0(Bh__Sched__Pair, 1);

	bh__sched__pair__init(m);
	m->filler = g_strdup(filler);
	m->lasting = g_strdup(lasting);
	m->harm = (float)harm;
	m->doubt = (float)doubt;
	bytes = bh__sched__pair__get_packed_size(m) + PAIR_HEADER_BYTES;
	if (list->bytes + bytes > list->max_bytes) {
		free_pair(m);
		return;
	}
	list->bytes += bytes;
	g_ptr_array_add(list->pairs, m);
}

static void free_pair(gpointer data)
{
	Bh__Sched__Pair *m = data;

	g_free(m->filler);
	g_free(m->lasting);
	g_free(m);
}

GBytes *bh_learned_pack(const bh_sched_t *sched, size_t max_bytes)
{
	Bh__Sched__Learned m = BH__SCHED__LEARNED__INIT;
	g_autoptr(GPtrArray) pairs = g_ptr_array_new_with_free_func(free_pair);

	pair_list_t list = {.pairs = pairs, .max_bytes = max_bytes};

	bh_sched_each_pair(sched, add_pair, &list);
	m.n_pairs = pairs->len;
	m.pairs = (Bh__Sched__Pair **)pairs->pdata;
	return pack(&m.base);
}

void bh_learned_unpack(const void *data, size_t len, bh_sched_t *sched)
{
	Bh__Sched__Learned *m = bh__sched__learned__unpack(NULL, len, data);

	if (!m)
		return;
	for (size_t i = 0; i < m->n_pairs; i++) {
		const Bh__Sched__Pair *pair = m->pairs[i];

		if (isfinite(pair->harm) && isfinite(pair->doubt))
			bh_sched_set_pair(sched, pair->filler, pair->lasting,
					  pair->harm, pair->doubt);
	}
	bh__sched__learned__free_unpacked(m, NULL);
}

GBytes *bh_leader_row_pack(const bh_leader_row_t *row)
{
	Bh__Sched__Leader m = BH__SCHED__LEADER__INIT;

	m.term = row->term;
	m.address = text_or_empty(row->address);
	m.name = text_or_empty(row->name);
	return pack(&m.base);
}

bool bh_leader_row_unpack(const void *data, size_t len, bh_leader_row_t *out)
{
	Bh__Sched__Leader *m = bh__sched__leader__unpack(NULL, len, data);

	memset(out, 0, sizeof(*out));
	if (!m)
		return false;
	out->term = m->term;
	out->address = g_strdup(m->address);
	out->name = g_strdup(m->name);
	bh__sched__leader__free_unpacked(m, NULL);
	return true;
}

void bh_leader_row_clear(bh_leader_row_t *row)
{
	g_free(row->address);
	g_free(row->name);
	memset(row, 0, sizeof(*row));
}

Bh__Sched__EvacuationState *bh_evacuation_to_wire(const bh_evacuation_t *e,
						  bh_usec_t now,
						  bh_evacuation_frame_t *out)
{
	Bh__Sched__EvacuationState *state = &out->state;
	bh_usec_t read_at = bh_evacuation_own_read_at(e);

	bh__sched__evacuation_state__init(state);
	state->version = bh_evacuation_version(e);
	state->n_zones = bh_evacuation_zones(e, out->zones);
	state->zones = (char **)out->zones;
	state->age_ms = BH_JOB_TIME_MAX_MS;
	/* Rounded up: rows may have been acknowledged in between. */
	if (read_at)
		state->age_ms =
			(uint64_t)MAX((now - read_at) / BH_USEC_PER_MS + 1, 1);
	return state;
}

void bh_evacuation_from_wire(const Bh__Sched__EvacuationState *from,
			     bool is_read, bh_usec_t now, bh_evacuation_t *e)
{
	bh_usec_t age;

	if (!from)
		return;
	age = (bh_usec_t)MIN(from->age_ms, BH_JOB_TIME_MAX_MS) * BH_USEC_PER_MS;
	bh_evacuation_adopt(e, from->version, from->zones, from->n_zones,
			    is_read ? MAX(now - age, 0) : 0, now);
}

void bh_frame_append(const bh_frame_t *frame, GByteArray *out)
{
	guint start = out->len;
	size_t len = bh__sched__frame__get_packed_size(frame);
	uint32_t header = GUINT32_TO_BE((uint32_t)len);

	g_byte_array_set_size(out,
			      start + BH_SCHED_FRAME_HEADER_BYTES + (guint)len);
	memcpy(out->data + start, &header, sizeof(header));
	bh__sched__frame__pack(frame, out->data + start + sizeof(header));
}

static Bh__Sched__LateStart **
late_starts_to_wire(const bh_late_starts_t *starts)
{
	Bh__Sched__LateStart **out =
		g_new0(Bh__Sched__LateStart *, starts->n + 1);

	for (uint32_t i = 0; i < starts->n; i++) {
		Bh__Sched__LateStart *to = g_new0(Bh__Sched__LateStart, 1);

		bh__sched__late_start__init(to);
		to->task = starts->entries[i].task;
		to->attempt = starts->entries[i].attempt;
		to->left_ms = starts->entries[i].left_ms;
		to->worker = text_or_empty(starts->entries[i].worker);
		out[i] = to;
	}
	return out;
}

static void late_starts_free(Bh__Sched__LateStart **starts, size_t n)
{
	for (size_t i = 0; i < n; i++)
		g_free(starts[i]);
	g_free(starts);
}

void bh_late_starts_append(const bh_late_starts_t *starts, GByteArray *out)
{
	Bh__Sched__LateStarts m = BH__SCHED__LATE_STARTS__INIT;
	bh_frame_t frame = BH__SCHED__FRAME__INIT;

	m.n_starts = starts->n;
	m.starts = late_starts_to_wire(starts);
	frame.body_case = BH__SCHED__FRAME__BODY_LATE_STARTS;
	frame.late_starts = &m;
	bh_frame_append(&frame, out);
	late_starts_free(m.starts, m.n_starts);
}

void bh_report_append(const bh_worker_info_t *info,
		      const bh_worker_lists_t *lists, uint64_t term,
		      GByteArray *out)
{
	Bh__Sched__Report m = BH__SCHED__REPORT__INIT;
	bh_frame_t frame = BH__SCHED__FRAME__INIT;

	info_to_wire(info, &m);
	m.term = term;
	m.n_late_starts = info->late_starts.n;
	m.late_starts = late_starts_to_wire(&info->late_starts);
	if (lists)
		lists_to_wire(lists, &m);
	frame.body_case = BH__SCHED__FRAME__BODY_REPORT;
	frame.report = &m;
	bh_frame_append(&frame, out);
	late_starts_free(m.late_starts, m.n_late_starts);
	if (lists)
		lists_free(&m);
}

void bh_crash_append(const bh_crash_t *crash, uint64_t term, GByteArray *out)
{
	Bh__Sched__Crash m = BH__SCHED__CRASH__INIT;
	bh_frame_t frame = BH__SCHED__FRAME__INIT;
	g_autofree Bh__Sched__CrashedRun *runs =
		g_new0(Bh__Sched__CrashedRun, crash->n_runs + 1);
	g_autofree Bh__Sched__CrashedRun **refs =
		g_new0(Bh__Sched__CrashedRun *, crash->n_runs + 1);

	for (uint32_t i = 0; i < crash->n_runs; i++) {
		bh__sched__crashed_run__init(&runs[i]);
		runs[i].task = crash->runs[i].task;
		runs[i].age_ms = crash->runs[i].age_ms;
		runs[i].is_confirmed = crash->runs[i].is_confirmed;
		refs[i] = &runs[i];
	}
	m.term = term;
	m.boot = crash->boot;
	m.ago_ms = crash->ago_ms;
	m.n_runs = crash->n_runs;
	m.runs = refs;
	frame.body_case = BH__SCHED__FRAME__BODY_CRASH;
	frame.crash = &m;
	bh_frame_append(&frame, out);
}

void bh_crash_decode(const Bh__Sched__Crash *from, bh_crash_t *out)
{
	*out = (bh_crash_t){.boot = from->boot,
			    .ago_ms = from->ago_ms,
			    .n_runs = (uint32_t)from->n_runs};
	out->runs = g_new0(bh_crashed_run_t, from->n_runs + 1);
	for (uint32_t i = 0; i < out->n_runs; i++) {
		out->runs[i].task = g_strdup(from->runs[i]->task);
		out->runs[i].age_ms = from->runs[i]->age_ms;
		out->runs[i].is_confirmed = from->runs[i]->is_confirmed;
	}
}

static void late_starts_from_wire(const Bh__Sched__Report *from,
				  bh_late_starts_t *out)
{
	out->n = (uint32_t)from->n_late_starts;
	out->entries = g_new0(bh_late_start_t, from->n_late_starts);
	for (size_t i = 0; i < from->n_late_starts; i++) {
		out->entries[i].task = g_strdup(from->late_starts[i]->task);
		out->entries[i].attempt = from->late_starts[i]->attempt;
		out->entries[i].left_ms = from->late_starts[i]->left_ms;
	}
}

void bh_report_decode(const Bh__Sched__Report *from, bh_report_t *out)
{
	bh_worker_info_t *info = &out->info;

	memset(out, 0, sizeof(*out));
	info->id = text_from_wire(from->worker);
	info->boot = from->boot;
	info->service = text_from_wire(from->service);
	info->zone = text_from_wire(from->zone);
	info->state = MIN(from->state, BH_WORKER_DOWN);
	info->cpu_milli = from->cpu_milli;
	info->memory_mb = from->memory_mb;
	info->accelerators = from->accelerators;
	info->n_labels = (uint32_t)MIN(from->n_labels, BH_WORKER_LABELS_MAX);
	for (uint32_t i = 0; i < info->n_labels; i++)
		info->labels[i] = g_strdup(from->labels[i]);
	info->leaves_ms = from->leaves_ms;
	info->cold_ms = from->cold_ms;
	info->lease_left_ms = from->lease_left_ms;
	info->lost_call_ms = from->lost_call_ms;
	info->is_idle = from->is_idle;
	info->is_term_unknown = from->is_term_unknown;
	info->lease_expires_ms = from->lease_expires_ms;
	info->agent_process = from->agent_process;
	info->agent_age_ms = from->agent_age_ms;
	late_starts_from_wire(from, &info->late_starts);
	out->term = from->term;
	out->has_lists = from->has_lists;
	out->lists.clock_ms = from->clock_ms;
	out->lists.boot = from->boot;
	out->lists.has_more_ended = from->has_more_ended;
	out->lists.active = g_new0(bh_active_t, from->n_active + 1);
	for (size_t i = 0; i < from->n_active; i++) {
		bh_active_t *a = &out->lists.active[out->lists.n_active++];

		a->task = g_strdup(from->active[i]->task);
		a->attempt = from->active[i]->attempt;
		a->checkpoint = text_from_wire(from->active[i]->checkpoint);
		a->percent = from->active[i]->percent;
		a->gauge = from->active[i]->gauge;
	}
	out->lists.ended = g_new0(bh_ended_t, from->n_ended + 1);
	for (size_t i = 0; i < from->n_ended; i++) {
		bh_ended_t *e = &out->lists.ended[out->lists.n_ended++];

		e->number = from->ended[i]->number;
		e->task = g_strdup(from->ended[i]->task);
		e->attempt = from->ended[i]->attempt;
		e->how = MIN(from->ended[i]->how, BH_END_ALONE);
		e->checkpoint = text_from_wire(from->ended[i]->checkpoint);
	}
}

void bh_report_clear(bh_report_t *report)
{
	bh_worker_info_clear(&report->info);
	bh_worker_lists_clear(&report->lists);
}
