/*
 * Callers that read slowly. A response that waits for its caller holds a slot
 * of its target, so a few such callers could keep all others from a pool.
 */
#include "serve_internal.h"

/*
 * So many bytes count as progress. While other calls wait for the pool, as many
 * callers that take longer than the first time for them are closed, which is
 * half a Mbit/s, the slowest first; otherwise each after the second time, as
 * other VMs may wait for the slot.
 */
#define PROGRESS_BYTES (64 * 1024)
#define SLOW_WAITING_US CS_MEMORY_STALLED_US
#define SLOW_MAX_US 15000000

struct search {
	int64_t now_us;
	uint32_t waiting[CF_POOLS_MAX]; /* calls that wait for a slot */
	GPtrArray *slow;		/* calls that may be closed for them */
};

/*
 * What was written to the caller. The target may have sent up to M/16 more, and
 * sends nothing until all of that is written.
 */
static uint64_t
taken_bytes(const struct sv_call *call)
{
	size_t unsent_bytes = h1_conn_unsent(call->conn);

	return call->relayed_bytes > unsent_bytes
		   ? call->relayed_bytes - unsent_bytes
		   : 0;
}

static void
note_progress(struct sv_call *call, int64_t now_us)
{
	uint64_t bytes = taken_bytes(call);

	if (call->relay_paused &&
	    bytes < call->relay_mark_bytes + PROGRESS_BYTES)
		return;
	call->relay_mark_bytes = bytes;
	call->relay_mark_us = now_us;
}

static void
examine(struct search *search, struct sv_call *call)
{
	if (call->relayed == NULL) {
		search->waiting[call->route->pool] +=
		    dc_call_waits(call->server->core, call->id);
		return;
	}
	if (call->conn == NULL)
		return;
	note_progress(call, search->now_us);
	if (!call->relay_paused)
		return;
	if (search->now_us - call->relay_mark_us > SLOW_MAX_US)
		h1_conn_evict(call->conn, H1_CLOSED_STALLED);
	else if (search->now_us - call->relay_mark_us > SLOW_WAITING_US)
		g_ptr_array_add(search->slow, call);
}

static gint
compare_marks(gconstpointer a, gconstpointer b)
{
	const struct sv_call *call = *(struct sv_call *const *)a;
	const struct sv_call *other = *(struct sv_call *const *)b;

	return (call->relay_mark_us > other->relay_mark_us) -
	       (call->relay_mark_us < other->relay_mark_us);
}

void
sv_sweep_relays(struct sv_server *server, int64_t now_us)
{
	struct search search = {.now_us = now_us, .slow = g_ptr_array_new()};
	GHashTableIter iter;
	gpointer call;
	guint i;

	g_hash_table_iter_init(&iter, server->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call))
		examine(&search, call);
	g_ptr_array_sort(search.slow, compare_marks);
	for (i = 0; i < search.slow->len; i++) {
		struct sv_call *slow = g_ptr_array_index(search.slow, i);

		if (search.waiting[slow->route->pool] == 0)
			continue;
		search.waiting[slow->route->pool]--;
		h1_conn_evict(slow->conn, H1_CLOSED_STALLED);
	}
	g_ptr_array_free(search.slow, TRUE);
}
