#include "daemon/lookup.h"
#include "platform/address.h"

/* Addresses kept; with more entries the oldest ones are dropped. */
#define ADDRESSES_MAX 64

/* Least interval between two links, and their number at a time. */
#define DIAL_INTERVAL_US (300 * BH_USEC_PER_MS)
#define LINKS_MAX	 4

/* Time for which a link stays open, enough for a large configuration. */
#define LINK_KEEP_US (1500 * BH_USEC_PER_MS)

/**
 * struct inquiry - a link to another entry
 * @link: NULL if it is not in use
 */
typedef struct inquiry {
	bh_link_t *link;
	bh_usec_t dialled_at;
} inquiry_t;

/**
 * struct bh_lookup - addresses of other entries, and links to some of them
 * @next: index in @addresses of the next one to be asked
 */
struct bh_lookup {
	bh_runtime_t *rt;
	const bh_lookup_ops_t *ops;
	void *ctx;
	GPtrArray *addresses;
	guint next;
	bh_usec_t dialled_at;
	inquiry_t inquiries[LINKS_MAX];
};

static void on_opened(void *ctx, bh_link_t *link)
{
	bh_lookup_t *l = ctx;

	l->ops->opened(l->ctx, link);
}

static void on_frame(void *ctx, bh_link_t *link, const bh_frame_t *frame)
{
	bh_lookup_t *l = ctx;

	l->ops->frame(l->ctx, link, frame);
}

static void on_closed(void *ctx, bh_link_t *link, bool is_refused)
{
	bh_lookup_t *l = ctx;

	(void)is_refused;
	for (int i = 0; i < LINKS_MAX; i++) {
		if (l->inquiries[i].link == link)
			l->inquiries[i].link = NULL;
	}
}

static const bh_link_ops_t link_ops = {
	.frame = on_frame,
	.opened = on_opened,
	.closed = on_closed,
};

static void dial(bh_lookup_t *l, inquiry_t *inquiry, bh_usec_t now)
{
	const char *address;

	l->next = l->next % l->addresses->len;
	address = g_ptr_array_index(l->addresses, l->next++);
	l->dialled_at = now;
	inquiry->dialled_at = now;
	inquiry->link = bh_link_dial(l->rt->base, address, &link_ops, l);
}

bh_lookup_t *bh_lookup_new(bh_runtime_t *rt, const bh_lookup_ops_t *ops,
			   void *ctx)
{
	bh_lookup_t *l = g_new0(bh_lookup_t, 1);

	l->rt = rt;
	l->ops = ops;
	l->ctx = ctx;
	l->addresses = g_ptr_array_new_with_free_func(g_free);
	return l;
}

void bh_lookup_free(bh_lookup_t *l)
{
	if (!l)
		return;
	for (int i = 0; i < LINKS_MAX; i++)
		bh_link_free(l->inquiries[i].link);
	g_ptr_array_free(l->addresses, TRUE);
	g_free(l);
}

void bh_lookup_add(bh_lookup_t *l, const char *address)
{
	if (!bh_address_is_valid(address) ||
	    strcmp(address, l->rt->settings->listen_frames) == 0 ||
	    g_ptr_array_find_with_equal_func(l->addresses, address, g_str_equal,
					     NULL))
		return;
	if (l->addresses->len == ADDRESSES_MAX)
		g_ptr_array_remove_index(l->addresses, 0);
	g_ptr_array_add(l->addresses, g_strdup(address));
}

void bh_lookup_clear(bh_lookup_t *l)
{
	g_ptr_array_set_size(l->addresses, 0);
}

void bh_lookup_tick(bh_lookup_t *l, bool is_needed, bh_usec_t now)
{
	for (int i = 0; i < LINKS_MAX; i++) {
		inquiry_t *inquiry = &l->inquiries[i];

		if (inquiry->link && now - inquiry->dialled_at > LINK_KEEP_US) {
			bh_link_free(inquiry->link);
			inquiry->link = NULL;
		}
		if (!inquiry->link && is_needed && l->addresses->len > 0 &&
		    now - l->dialled_at >= DIAL_INTERVAL_US)
			dial(l, inquiry, now);
	}
}
