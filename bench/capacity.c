/*
 * Cost per agent, task, member and request for docs/CAPACITY.md: frame bytes,
 * memory and CPU time, measured on the production cores and frames.
 */
#include "core/cell.h"
#include "core/entry.h"
#include "wire/frame.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static size_t heap_bytes(void)
{
	return mallinfo2().uordblks;
}

static size_t frame_bytes(const bh_msg_t *msg)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	bh_frame_pack(msg, bytes);
	return bytes->len;
}

/* Entry. */

static void ignore_send(void *ctx, bh_peer_t *peer, const bh_msg_t *msg)
{
	(void)ctx;
	(void)peer;
	(void)msg;
}

static void ignore_peer(void *ctx, bh_peer_t *peer)
{
	(void)ctx;
	(void)peer;
}

static void ignore_result(void *ctx, void *user, const bh_result_t *result)
{
	(void)ctx;
	(void)user;
	(void)result;
}

static const bh_entry_ops_t entry_ops = {.send = ignore_send,
					 .connect = ignore_peer,
					 .disconnect = ignore_peer,
					 .respond = ignore_result};

static void announce(bh_entry_t *e, int agent, uint64_t seq, bh_usec_t now)
{
	g_autofree char *name = g_strdup_printf("agent-%04d", agent);
	bh_endpoint_info_t info = {.service = "roster",
				   .load = {.slots = 8, .service_us = 5000}};
	bh_msg_t msg = {.type = BH_MSG_ANNOUNCE,
			.name = name,
			.zone = "armidale",
			.address = "10.0.0.1:7000",
			.incarnation = 1,
			.seq = seq,
			.n_endpoints = 1,
			.endpoints = &info};
	bh_msg_t hello = {.type = BH_MSG_HELLO, .incarnation = 1};
	bh_peer_t *peer;

	bh_entry_announce(e, &msg, now);
	peer = bh_peers_find(bh_entry_peers(e), name);
	if (peer->link_state != BH_LINK_UP)
		bh_entry_link_up(e, peer, &hello, now);
}

static void bench_entry(int agents)
{
	bh_entry_config_t config = {.zone = "armidale",
				    .policy = "expected-wait",
				    .incarnation = 1,
				    .max_attempts = 3,
				    .max_in_flight = 1000000,
				    .tenant_defaults = {1e9, 1e9, 1000000}};
	size_t before = heap_bytes();
	bh_entry_t *e = bh_entry_new(&config, &entry_ops, NULL, 0);
	double announce_us;
	double tick_us;
	double submit_us;
	double start_us;

	for (int i = 0; i < agents; i++)
		announce(e, i, 1, 0);
	start_us = cpu_us();
	for (uint64_t seq = 2; seq < 12; seq++) {
		for (int i = 0; i < agents; i++)
			announce(e, i, seq, 1000);
	}
	announce_us = (cpu_us() - start_us) / (10.0 * agents);
	start_us = cpu_us();
	for (int i = 0; i < 500; i++)
		bh_entry_tick(e, 2000 + i);
	tick_us = (cpu_us() - start_us) / 500;
	start_us = cpu_us();
	for (int i = 0; i < 2000; i++) {
		bh_request_params_t p = {.service = "roster",
					 .tenant = "t",
					 .deadline = BH_USEC_PER_SEC};

		bh_entry_submit(e, &p, 3000);
	}
	submit_us = (cpu_us() - start_us) / 2000;
	printf("entry, %4d agents of one service: %6.1f KB an agent, "
	       "%6.1f MB; announcement %5.2f us, tick %7.1f us, request "
	       "%6.1f us\n",
	       agents, (double)(heap_bytes() - before) / 1024 / agents,
	       (double)(heap_bytes() - before) / 1048576, announce_us, tick_us,
	       submit_us);
	bh_entry_free(e);
}

/* Cell leader. */

typedef struct fake {
	bh_cell_t *cell;
	uint64_t nonce;
	uint64_t version;
	size_t order_bytes;
	uint64_t orders;
} fake_t;

static void cell_read(void *ctx)
{
	(void)ctx;
}

static void cell_commit(void *ctx, const bh_cell_commit_t *commit)
{
	((fake_t *)ctx)->nonce = commit->nonce;
}

static void cell_load(void *ctx)
{
	(void)ctx;
}

static void cell_send(void *ctx, const char *member, const bh_msg_t *orders)
{
	fake_t *f = ctx;

	(void)member;
	f->order_bytes += frame_bytes(orders);
	f->orders++;
}

static const bh_cell_ops_t cell_ops = {cell_read, cell_commit, cell_load,
				       cell_send};

static void commit_ok(fake_t *f, bh_usec_t now)
{
	bh_cell_committed(f->cell, f->nonce, BH_COMMIT_OK, ++f->version, now);
}

static void fill_report(bh_msg_t *msg, int member, int tasks, uint64_t seq)
{
	msg->type = BH_MSG_REPORT;
	msg->name = g_strdup_printf("agent-%04d", member);
	msg->incarnation = 1;
	msg->seq = seq;
	msg->term = 1;
	msg->generation = seq;
	msg->capacity = (bh_resources_t){1000000, 10000000, 0};
	msg->tasks = g_new0(bh_task_info_t, tasks);
	msg->n_tasks = (size_t)tasks;
	for (int i = 0; i < tasks; i++) {
		msg->tasks[i].id = g_strdup_printf("job-%04d/%d", member, i);
		msg->tasks[i].epoch = 1;
		msg->tasks[i].state = BH_TASK_RUNNING;
		msg->tasks[i].used_cpu_milli = 500;
		msg->tasks[i].used_mem_mb = 500;
		msg->tasks[i].progress_ms = 100000;
	}
}

static void load_rows(fake_t *f, int members, int tasks)
{
	for (int m = 0; m < members; m++) {
		g_autofree char *name = g_strdup_printf("job-%04d", m);
		g_autofree char *worker = g_strdup_printf("agent-%04d", m);
		bh_job_spec_t spec = {.name = name,
				      .tenant = "t",
				      .n_tasks = (uint32_t)tasks,
				      .need = {100, 100, 0},
				      .run_ms = 1000000,
				      .is_idempotent = true};

		bh_cell_set_job(f->cell, &spec, 3);
		for (int i = 0; i < tasks; i++) {
			g_autofree char *id = g_strdup_printf("%s/%d", name, i);
			bh_task_row_t row = {.id = id,
					     .state = BH_TASK_RUNNING,
					     .epoch = 1,
					     .worker = worker};

			bh_cell_load_task(f->cell, &row);
		}
	}
}

static void bench_cell(int members, int tasks)
{
	fake_t f = {0};
	bh_cell_config_t config = {.holder = "a",
				   .placement = "interference",
				   .lease_us = 30 * BH_USEC_PER_SEC,
				   .term_us = 3600 * BH_USEC_PER_SEC,
				   .journal_us = 200000};
	bh_cell_row_t none = {0};
	size_t before = heap_bytes();
	size_t report_bytes = 0;
	double report_us = 0;
	double tick_us;
	double start_us;
	int rounds = 5;

	f.cell = bh_cell_new(&config, &cell_ops, &f, 0);
	bh_cell_tick(f.cell, 1);
	bh_cell_row_read(f.cell, &none, 2);
	commit_ok(&f, 3);
	load_rows(&f, members, tasks);
	bh_cell_loaded(f.cell, true, 4);
	for (int r = 1; r <= rounds; r++) {
		for (int m = 0; m < members; m++) {
			bh_msg_t msg = {0};

			fill_report(&msg, m, tasks, (uint64_t)r);
			report_bytes += frame_bytes(&msg);
			start_us = cpu_us();
			bh_cell_handle_report(f.cell, &msg, r * 1000000);
			report_us += cpu_us() - start_us;
			bh_msg_clear(&msg);
		}
	}
	start_us = cpu_us();
	for (int i = 0; i < 200; i++)
		bh_cell_tick(f.cell, rounds * 1000000 + i);
	tick_us = (cpu_us() - start_us) / 200;
	printf("leader, %3d members of %3d tasks: %6.2f MB; report %6zu B, "
	       "%6.1f us; orders %4zu B; tick %6.1f us\n",
	       members, tasks, (double)(heap_bytes() - before) / 1048576,
	       report_bytes / (size_t)(rounds * members),
	       report_us / (rounds * members),
	       f.order_bytes / (size_t)MAX(f.orders, 1), tick_us);
	bh_cell_free(f.cell);
}

static void bench_frames(void)
{
	bh_endpoint_info_t info = {
		.service = "roster",
		.load = {.slots = 8, .running = 5, .service_us = 5000}};
	bh_msg_t announcement = {.type = BH_MSG_ANNOUNCE,
				 .name = "agent-0001",
				 .zone = "armidale",
				 .address = "10.0.0.1:7000",
				 .incarnation = 1700000000000000,
				 .seq = 100000,
				 .n_endpoints = 1,
				 .endpoints = &info};
	bh_msg_t ping = {.type = BH_MSG_PING,
			 .entry = 1700000000000000,
			 .generation = 1,
			 .floor = 100000};
	bh_msg_t pong = {.type = BH_MSG_PONG,
			 .incarnation = 1700000000000000,
			 .n_endpoints = 1,
			 .endpoints = &info};

	printf("frames: announcement %zu B, ping %zu B, pong %zu B\n",
	       frame_bytes(&announcement), frame_bytes(&ping),
	       frame_bytes(&pong));
}

int main(void)
{
	bench_frames();
	bench_entry(10);
	bench_entry(400);
	bench_entry(2400);
	bench_cell(10, 5);
	bench_cell(24, 19);
	bench_cell(24, 200);
	bench_cell(240, 19);
	return 0;
}
