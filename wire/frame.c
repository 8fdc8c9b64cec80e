#include "wire/frame.h"
#include "wire/frame.pb-c.h"

#include <arpa/inet.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

G_DEFINE_QUARK(bh - frame - error - quark, bh_frame_error)

#define TEXT_OR_EMPTY(s) ((s) ? (s) : (char *)protobuf_c_empty_string)

/* A frame while it is packed, and the messages that its fields point to. */
typedef struct frame_storage {
	Wire__Frame frame;
	Wire__Load load;
	Wire__Resources capacity;
	Wire__Load *loads;
	Wire__Endpoint *endpoints;
	Wire__Task *tasks;
	Wire__Order *orders;
	Wire__Resources *needs;
	void **pointers;
} frame_storage_t;

static bool is_zero_load(const bh_load_t *l)
{
	return !l->slots && !l->running && !l->queued && !l->service_us &&
	       !l->draining;
}

static void load_to_wire(const bh_load_t *l, Wire__Load *w)
{
	wire__load__init(w);
	w->slots = l->slots;
	w->running = l->running;
	w->queued = l->queued;
	w->service_us = l->service_us;
	w->draining = l->draining;
	w->yours = l->yours;
}

static void load_from_wire(const Wire__Load *w, bh_load_t *l)
{
	if (!w)
		return;
	l->slots = w->slots;
	l->running = w->running;
	l->queued = w->queued;
	l->service_us = w->service_us;
	l->draining = w->draining;
	l->yours = w->yours;
}

static void resources_to_wire(const bh_resources_t *r, Wire__Resources *w)
{
	wire__resources__init(w);
	w->cpu_milli = r->cpu_milli;
	w->mem_mb = r->mem_mb;
	w->accel = r->accel;
}

static void resources_from_wire(const Wire__Resources *w, bh_resources_t *r)
{
	if (!w)
		return;
	r->cpu_milli = w->cpu_milli;
	r->mem_mb = w->mem_mb;
	r->accel = w->accel;
}

static void pack_scalars(const bh_msg_t *msg, Wire__Frame *f)
{
	f->type = msg->type;
	f->incarnation = msg->incarnation;
	f->entry = msg->entry;
	f->generation = msg->generation;
	f->seq = msg->seq;
	f->floor = msg->floor;
	f->name = TEXT_OR_EMPTY(msg->name);
	f->zone = TEXT_OR_EMPTY(msg->zone);
	f->address = TEXT_OR_EMPTY(msg->address);
	f->service = TEXT_OR_EMPTY(msg->service);
	f->tenant = TEXT_OR_EMPTY(msg->tenant);
	f->cls = msg->cls;
	f->budget_us = msg->budget_us;
	f->idempotent = msg->idempotent;
	f->verdict = msg->verdict;
	f->status = msg->status;
	f->reason = msg->reason;
	f->checksum = msg->checksum;
	f->run_us = msg->run_us;
	f->term = msg->term;
	f->lease_ms = msg->lease_ms;
	f->entries_hash = msg->entries_hash;
	f->entries = msg->entries;
	f->n_entries = msg->entries ? g_strv_length(msg->entries) : 0;
}

static void pack_endpoints(const bh_msg_t *msg, frame_storage_t *p, void **ptr)
{
	p->endpoints = g_new(Wire__Endpoint, msg->n_endpoints);
	p->loads = g_new(Wire__Load, msg->n_endpoints);
	for (size_t i = 0; i < msg->n_endpoints; i++) {
		wire__endpoint__init(&p->endpoints[i]);
		load_to_wire(&msg->endpoints[i].load, &p->loads[i]);
		p->endpoints[i].service =
			TEXT_OR_EMPTY(msg->endpoints[i].service);
		p->endpoints[i].load = &p->loads[i];
		ptr[i] = &p->endpoints[i];
	}
	p->frame.n_endpoints = msg->n_endpoints;
	p->frame.endpoints = (Wire__Endpoint **)ptr;
}

static void pack_tasks(const bh_msg_t *msg, frame_storage_t *p, void **ptr)
{
	p->tasks = g_new(Wire__Task, msg->n_tasks);
	for (size_t i = 0; i < msg->n_tasks; i++) {
		const bh_task_info_t *t = &msg->tasks[i];
		Wire__Task *w = &p->tasks[i];

		wire__task__init(w);
		w->id = TEXT_OR_EMPTY(t->id);
		w->epoch = t->epoch;
		w->state = t->state;
		w->progress_ms = t->progress_ms;
		w->done_unix_ms = t->done_unix_ms;
		w->used_cpu_milli = t->used_cpu_milli;
		w->used_mem_mb = t->used_mem_mb;
		ptr[i] = w;
	}
	p->frame.n_tasks = msg->n_tasks;
	p->frame.tasks = (Wire__Task **)ptr;
}

static void pack_orders(const bh_msg_t *msg, frame_storage_t *p, void **ptr)
{
	p->orders = g_new(Wire__Order, msg->n_orders);
	p->needs = g_new(Wire__Resources, msg->n_orders);
	for (size_t i = 0; i < msg->n_orders; i++) {
		const bh_order_t *o = &msg->orders[i];
		Wire__Order *w = &p->orders[i];

		wire__order__init(w);
		resources_to_wire(&o->need, &p->needs[i]);
		w->kind = o->kind;
		w->id = TEXT_OR_EMPTY(o->id);
		w->epoch = o->epoch;
		w->need = &p->needs[i];
		w->run_ms = o->run_ms;
		w->progress_ms = o->progress_ms;
		w->permille = o->permille;
		ptr[i] = w;
	}
	p->frame.n_orders = msg->n_orders;
	p->frame.orders = (Wire__Order **)ptr;
}

static void pack_arrays(const bh_msg_t *msg, frame_storage_t *p)
{
	void **ptr;

	if (!msg->n_endpoints && !msg->n_tasks && !msg->n_orders)
		return;
	p->pointers =
		g_new(void *, msg->n_endpoints + msg->n_tasks + msg->n_orders);
	ptr = p->pointers;
	pack_endpoints(msg, p, ptr);
	ptr += msg->n_endpoints;
	pack_tasks(msg, p, ptr);
	ptr += msg->n_tasks;
	pack_orders(msg, p, ptr);
}

static void storage_free(frame_storage_t *p)
{
	g_free(p->loads);
	g_free(p->endpoints);
	g_free(p->tasks);
	g_free(p->orders);
	g_free(p->needs);
	g_free(p->pointers);
}

static void put_u32(uint8_t *p, uint32_t v)
{
	v = htonl(v);
	memcpy(p, &v, sizeof(v));
}

static uint32_t get_u32(const uint8_t *p)
{
	uint32_t v;

	memcpy(&v, p, sizeof(v));
	return ntohl(v);
}

static char *text_from_wire(const char *s)
{
	return s && *s ? g_strdup(s) : NULL;
}

static void unpack_scalars(const Wire__Frame *f, bh_msg_t *msg)
{
	msg->type = (bh_msg_type_t)f->type;
	msg->incarnation = f->incarnation;
	msg->entry = f->entry;
	msg->generation = f->generation;
	msg->seq = f->seq;
	msg->floor = f->floor;
	msg->name = text_from_wire(f->name);
	msg->zone = text_from_wire(f->zone);
	msg->address = text_from_wire(f->address);
	msg->service = text_from_wire(f->service);
	msg->tenant = text_from_wire(f->tenant);
	msg->cls = (bh_class_t)f->cls;
	msg->budget_us = f->budget_us;
	msg->idempotent = f->idempotent;
	msg->verdict = (bh_verdict_t)f->verdict;
	msg->status = f->status;
	msg->reason = (bh_reason_t)f->reason;
	msg->checksum = f->checksum;
	msg->run_us = f->run_us;
	msg->term = f->term;
	msg->lease_ms = f->lease_ms;
	msg->entries_hash = f->entries_hash;
	if (f->body.len)
		msg->body = g_bytes_new(f->body.data, f->body.len);
	load_from_wire(f->load, &msg->load);
	resources_from_wire(f->capacity, &msg->capacity);
}

static void unpack_entries(const Wire__Frame *f, bh_msg_t *msg)
{
	if (f->n_entries == 0)
		return;
	msg->entries = g_new0(char *, f->n_entries + 1);
	for (size_t i = 0; i < f->n_entries; i++)
		msg->entries[i] = g_strdup(f->entries[i]);
}

static void unpack_endpoints(const Wire__Frame *f, bh_msg_t *msg)
{
	msg->n_endpoints = f->n_endpoints;
	msg->endpoints = g_new0(bh_endpoint_info_t, f->n_endpoints);
	for (size_t i = 0; i < f->n_endpoints; i++) {
		const Wire__Endpoint *w = f->endpoints[i];

		msg->endpoints[i].service = g_strdup(w->service);
		load_from_wire(w->load, &msg->endpoints[i].load);
	}
}

static void unpack_tasks(const Wire__Frame *f, bh_msg_t *msg)
{
	msg->n_tasks = f->n_tasks;
	msg->tasks = g_new0(bh_task_info_t, f->n_tasks);
	for (size_t i = 0; i < f->n_tasks; i++) {
		const Wire__Task *w = f->tasks[i];
		bh_task_info_t *t = &msg->tasks[i];

		t->id = g_strdup(w->id);
		t->epoch = w->epoch;
		t->state = (bh_task_state_t)w->state;
		t->progress_ms = w->progress_ms;
		t->done_unix_ms = w->done_unix_ms;
		t->used_cpu_milli = w->used_cpu_milli;
		t->used_mem_mb = w->used_mem_mb;
	}
}

static void unpack_orders(const Wire__Frame *f, bh_msg_t *msg)
{
	msg->n_orders = f->n_orders;
	msg->orders = g_new0(bh_order_t, f->n_orders);
	for (size_t i = 0; i < f->n_orders; i++) {
		const Wire__Order *w = f->orders[i];
		bh_order_t *o = &msg->orders[i];

		o->kind = (bh_order_kind_t)w->kind;
		o->id = g_strdup(w->id);
		o->epoch = w->epoch;
		resources_from_wire(w->need, &o->need);
		o->run_ms = w->run_ms;
		o->progress_ms = w->progress_ms;
		o->permille = w->permille;
	}
}

static bool is_in_range(const Wire__Frame *f)
{
	if (f->type == BH_MSG_NONE || f->type >= BH_MSG_TYPE_COUNT)
		return false;
	if (f->cls >= BH_CLASS_COUNT || f->verdict > BH_RAN ||
	    f->reason >= BH_REASON_COUNT)
		return false;
	for (size_t i = 0; i < f->n_tasks; i++) {
		if (f->tasks[i]->state > BH_TASK_STOPPED)
			return false;
	}
	for (size_t i = 0; i < f->n_orders; i++) {
		if (f->orders[i]->kind > BH_ORDER_THROTTLE)
			return false;
	}
	return true;
}

static bool unpack_payload(const uint8_t *data, size_t len, bh_msg_t *out,
			   GError **err)
{
	Wire__Frame *f = wire__frame__unpack(NULL, len, data);

	if (!f) {
		g_set_error(err, BH_FRAME_ERROR, BH_FRAME_ERROR_PAYLOAD,
			    "payload of %zu bytes is not a frame", len);
		return false;
	}
	if (!is_in_range(f)) {
		g_set_error(err, BH_FRAME_ERROR, BH_FRAME_ERROR_RANGE,
			    "frame of type %u has a value out of range",
			    f->type);
		wire__frame__free_unpacked(f, NULL);
		return false;
	}
	unpack_scalars(f, out);
	unpack_endpoints(f, out);
	unpack_tasks(f, out);
	unpack_orders(f, out);
	unpack_entries(f, out);
	wire__frame__free_unpacked(f, NULL);
	return true;
}

void bh_frame_pack(const bh_msg_t *msg, GByteArray *out)
{
	frame_storage_t p = {.frame = WIRE__FRAME__INIT};
	guint start = out->len;
	size_t len;

	pack_scalars(msg, &p.frame);
	if (msg->body) {
		gsize body_len;
		const void *data = g_bytes_get_data(msg->body, &body_len);

		p.frame.body.data = (uint8_t *)data;
		p.frame.body.len = body_len;
	}
	if (!is_zero_load(&msg->load)) {
		load_to_wire(&msg->load, &p.load);
		p.frame.load = &p.load;
	}
	if (msg->type == BH_MSG_REPORT) {
		resources_to_wire(&msg->capacity, &p.capacity);
		p.frame.capacity = &p.capacity;
	}
	pack_arrays(msg, &p);
	len = wire__frame__get_packed_size(&p.frame);
	g_byte_array_set_size(out, start + BH_FRAME_HEADER_BYTES + (guint)len);
	wire__frame__pack(&p.frame, out->data + start + BH_FRAME_HEADER_BYTES);
	put_u32(out->data + start, (uint32_t)len);
	put_u32(out->data + start + 4,
		XXH32(out->data + start + BH_FRAME_HEADER_BYTES, len, 0));
	storage_free(&p);
}

gssize bh_frame_unpack(const uint8_t *data, size_t len, bh_msg_t *out,
		       GError **err)
{
	uint32_t size;

	memset(out, 0, sizeof(*out));
	if (len < BH_FRAME_HEADER_BYTES)
		return 0;
	size = get_u32(data);
	if (size > BH_FRAME_MAX_BYTES) {
		g_set_error(err, BH_FRAME_ERROR, BH_FRAME_ERROR_SIZE,
			    "frame of %u bytes exceeds %u", size,
			    BH_FRAME_MAX_BYTES);
		return -1;
	}
	if (len - BH_FRAME_HEADER_BYTES < size)
		return 0;
	data += BH_FRAME_HEADER_BYTES;
	if (get_u32(data - 4) != XXH32(data, size, 0)) {
		g_set_error(err, BH_FRAME_ERROR, BH_FRAME_ERROR_CHECKSUM,
			    "checksum of a frame of %u bytes does not match",
			    size);
		return -1;
	}
	if (!unpack_payload(data, size, out, err))
		return -1;
	return BH_FRAME_HEADER_BYTES + (gssize)size;
}
