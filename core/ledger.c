#include "core/ledger.h"

typedef struct bh_reservation {
	uint32_t epoch;
	bool is_held;
	bh_resources_t need;
} bh_reservation_t;

struct bh_ledger {
	bool is_ready;
	bh_resources_t capacity;
	bh_resources_t reserved;
	GHashTable *reservations;
};

static uint32_t saturating_sub(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

static bool has_capacity(uint32_t need, uint32_t used, uint32_t capacity)
{
	return (uint64_t)need + used <= capacity;
}

static void add_reservation(bh_ledger_t *l, const char *id, uint32_t epoch,
			    const bh_resources_t *need)
{
	bh_reservation_t *res = g_hash_table_lookup(l->reservations, id);

	if (!res) {
		res = g_new0(bh_reservation_t, 1);
		g_hash_table_insert(l->reservations, g_strdup(id), res);
	}
	if (res->is_held)
		bh_resources_sub(&l->reserved, &res->need);
	res->epoch = epoch;
	res->need = *need;
	res->is_held = true;
	bh_resources_add(&l->reserved, need);
}

bh_ledger_t *bh_ledger_new(void)
{
	bh_ledger_t *l = g_new0(bh_ledger_t, 1);

	l->reservations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void bh_ledger_free(bh_ledger_t *l)
{
	g_hash_table_destroy(l->reservations);
	g_free(l);
}

void bh_ledger_set_capacity(bh_ledger_t *l, const bh_resources_t *capacity)
{
	l->capacity = *capacity;
	l->is_ready = true;
}

bool bh_ledger_is_ready(const bh_ledger_t *l)
{
	return l->is_ready;
}

const bh_resources_t *bh_ledger_capacity(const bh_ledger_t *l)
{
	return &l->capacity;
}

const bh_resources_t *bh_ledger_reserved(const bh_ledger_t *l)
{
	return &l->reserved;
}

bh_reserve_result_t bh_ledger_reserve(bh_ledger_t *l, const char *id,
				      uint32_t epoch,
				      const bh_resources_t *need)
{
	const bh_reservation_t *res = g_hash_table_lookup(l->reservations, id);

	if (!l->is_ready)
		return BH_RESERVE_NOT_READY;
	if (res && (epoch <= res->epoch || res->is_held))
		return BH_RESERVE_STALE;
	if (!bh_resources_fit(need, &l->reserved, &l->capacity))
		return BH_RESERVE_FULL;
	add_reservation(l, id, epoch, need);
	return BH_RESERVE_OK;
}

void bh_ledger_adopt(bh_ledger_t *l, const char *id, uint32_t epoch,
		     const bh_resources_t *need)
{
	const bh_reservation_t *res = g_hash_table_lookup(l->reservations, id);

	if (res && res->is_held && res->epoch >= epoch)
		return;
	add_reservation(l, id, epoch, need);
}

void bh_ledger_release(bh_ledger_t *l, const char *id, uint32_t epoch)
{
	bh_reservation_t *res = g_hash_table_lookup(l->reservations, id);

	if (!res || !res->is_held || res->epoch != epoch)
		return;
	res->is_held = false;
	bh_resources_sub(&l->reserved, &res->need);
}

bool bh_resources_fit(const bh_resources_t *need, const bh_resources_t *used,
		      const bh_resources_t *capacity)
{
	return has_capacity(need->cpu_milli, used->cpu_milli,
			    capacity->cpu_milli) &&
	       has_capacity(need->mem_mb, used->mem_mb, capacity->mem_mb) &&
	       has_capacity(need->accel, used->accel, capacity->accel);
}

void bh_resources_add(bh_resources_t *sum, const bh_resources_t *r)
{
	sum->cpu_milli += r->cpu_milli;
	sum->mem_mb += r->mem_mb;
	sum->accel += r->accel;
}

void bh_resources_sub(bh_resources_t *sum, const bh_resources_t *r)
{
	sum->cpu_milli = saturating_sub(sum->cpu_milli, r->cpu_milli);
	sum->mem_mb = saturating_sub(sum->mem_mb, r->mem_mb);
	sum->accel = saturating_sub(sum->accel, r->accel);
}
