/*
 * Selects the target of a call: passes the state to lib/balance, probes
 * targets, and queues calls that wait for room. lib/balance/queue.c tells which
 * of them comes first.
 */
#include <stddef.h>
#include <string.h>

#include "gateway_internal.h"

/*
 * Probes are usually answered within a few ms after the round trip to another
 * region; a call waits no longer.
 */
#define PROBE_WAIT_MS 12
/* First in this VM's data centre, then in the others of the region. */
#define PROBE_ROUNDS_MAX 2

struct gw_call *
gw_queued_call(struct bl_queue_entry *entry)
{
	return entry == NULL
		   ? NULL
		   : (struct gw_call *)((char *)entry -
					offsetof(struct gw_call, queued));
}

static void
begin_wait(struct gw_call *call, enum gw_call_state state)
{
	call->state = state;
	call->wait_from_us = cs_now_us();
}

/*
 * Adds the probes of this VM's share of the rate allowed for the pool, of one
 * second at most. Returns the share of that second that is left.
 */
static double
refill_probes(struct gw_pool *pool)
{
	const struct gw_params *params = &pool->gw->params;
	uint32_t node_count = params->budget.node_count;
	int64_t now_us = cs_now_us();
	double rate = params->probes_per_s * pool->balance->count /
		      (node_count > 0 ? node_count : 1);

	pool->probe_tokens +=
	    rate * (double)(now_us - pool->probe_tokens_at_us) / 1e6;
	pool->probe_tokens_at_us = now_us;
	if (pool->probe_tokens > rate)
		pool->probe_tokens = rate;
	return rate > 0.0 ? pool->probe_tokens / rate : 0.0;
}

static bool
may_probe(struct gw_pool *pool)
{
	refill_probes(pool);
	if (pool->probe_tokens < 1.0)
		return false;
	pool->probe_tokens -= 1.0;
	return true;
}

static void
on_probe_wait_over(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;

	gw_dequeue(call);
	call->probes_pending = 0;
	call->gw->callbacks->place(call);
}

/* Returns how long to wait for a probe, if that is longer than wait_ms. */
static uint64_t
probe_wait_ms(
    const struct bl_topology *topology, uint32_t data_centre, uint64_t wait_ms)
{
	uint64_t needed_ms = PROBE_WAIT_MS;

	if (!topology->data_centres[data_centre].same_region)
		needed_ms +=
		    (uint64_t)topology->data_centres[data_centre].rtt_us / 1000;
	return needed_ms > wait_ms ? needed_ms : wait_ms;
}

bool
gw_probe_for_call(struct gw_call *call, const struct bl_placement *placement)
{
	const struct bl_topology *topology = call->gw->params.topology;
	uint64_t wait_ms = PROBE_WAIT_MS;
	uint32_t i;

	call->probe_rounds++;
	call->queued.probed_us = cs_now_us();
	call->probes_pending = 0;
	for (i = 0; i < placement->probe_count; i++) {
		if (!placement->probes[i]->probing &&
		    (!may_probe(call->pool) ||
			gw_probe(call->gw, placement->probes[i]) != CS_OK))
			continue;
		call->probed_targets[call->probes_pending++] =
		    placement->probes[i];
		wait_ms = probe_wait_ms(
		    topology, placement->probes[i]->data_centre, wait_ms);
	}
	if (call->probes_pending == 0)
		return false;
	begin_wait(call, GW_CALL_PROBING);
	call->next = call->pool->awaiting_probes;
	call->pool->awaiting_probes = call;
	uv_timer_start(&call->step_timer, on_probe_wait_over, wait_ms, 0);
	return true;
}

void
gw_enqueue(struct gw_call *call)
{
	bl_queue_add(&call->pool->queue, &call->queued);
	begin_wait(call, GW_CALL_WAITING);
	gw_schedule_dispatch(call->pool);
}

void
gw_log_refusal(const struct gw_call *call, const struct bl_placement *placement)
{
	const struct bl_target *best = placement->target;
	int64_t now_us = cs_now_us();

	cs_log(CS_LOG_PLACE_REFUSED,
	    "request=%s why=%s best=%s expected_us=%lld objective_left_us=%lld "
	    "left_us=%lld load=%u/%u/%u slow_pct=%u load_age_us=%lld "
	    "waiting=%u congestion=%.2f waited_us=%lld retry_after_us=%lld",
	    call->id, placement->reason, best == NULL ? "-" : best->id,
	    (long long)placement->expected_us,
	    (long long)(call->queued.objective_us - now_us),
	    (long long)(call->deadline_us - now_us),
	    best == NULL ? 0 : best->load.running,
	    best == NULL ? 0 : best->load.waiting,
	    best == NULL ? 0 : best->slots,
	    best == NULL ? 0 : best->load.slowness_pct,
	    best == NULL || best->load_at_us == 0
		? -1LL
		: (long long)(now_us - best->load_at_us),
	    call->pool->queue.count,
	    bl_queue_congestion(&call->pool->queue, now_us),
	    (long long)call->waited_us, (long long)placement->retry_after_us);
}

static void
place(struct gw_call *call, bool may_wait, struct bl_placement *out)
{
	struct gw_pool *pool = call->pool;
	struct bl_request request = {
	    .now_us = cs_now_us(),
	    .objective_us = call->received_us + call->objective_us,
	    .deadline_us = call->deadline_us,
	    .may_probe = call->probe_rounds<PROBE_ROUNDS_MAX,
		.probes_pending = call->probes_pending> 0,
	    .may_wait =
		may_wait && bl_queue_has_room(&pool->queue, &call->queued,
				pool->balance, cs_now_us()),
	    .waiting_calls = pool->queue.count,
	    .calls_ahead = call->state == GW_CALL_WAITING
			       ? 0 /* only the first is placed */
			       : pool->queue.count,
	    .excluded_data_centres = call->excluded_data_centres,
	    .tie_breaker = cs_hash_pair(call->number, call->attempts),
	};
	uint32_t i;

	for (i = 0; i < call->tried_count; i++)
		request.tried[i] = call->tried[i];
	request.tried_count = call->tried_count;
	if (call->gw->params.limit_cold_targets)
		gw_void_after_pause(call->gw);
	call->queued.excluded_data_centres = call->excluded_data_centres;
	call->queued.was_tried = call->tried_count > 0;
	bl_queue_fill_request(&pool->queue, &call->queued, pool->balance,
	    refill_probes(pool), &request);
	bl_place(call->gw->params.topology, pool->balance, &request, out);
	if (out->ask != NULL)
		gw_ask_permit(call->gw, out->ask, out->ask_wait_max_us);
}

void
gw_place(struct gw_call *call, struct bl_placement *out)
{
	place(call, true, out);
}

bool
gw_must_queue(const struct gw_call *call)
{
	const struct gw_pool *pool = call->pool;

	return pool->queue.first != NULL && call->attempts == 0 &&
	       bl_queue_must_wait(
		   &pool->queue, &call->queued, pool->balance, cs_now_us());
}

bool
gw_probe_for_pool(struct gw_pool *pool, const struct bl_placement *placement)
{
	bool pending = false;
	uint32_t i;

	for (i = 0; i < placement->probe_count; i++) {
		if (placement->probes[i]->probing ||
		    (may_probe(pool) &&
			gw_probe(pool->gw, placement->probes[i]) == CS_OK))
			pending = true;
	}
	return pending;
}

void
gw_place_without_probes(struct gw_call *call, struct bl_placement *out)
{
	call->probe_rounds = PROBE_ROUNDS_MAX;
	call->queued.probed_us = cs_now_us();
	gw_place(call, out);
}

void
gw_place_displaced(struct gw_call *call, struct bl_placement *out)
{
	gw_dequeue(call);
	call->probe_rounds = PROBE_ROUNDS_MAX;
	call->queued.probed_us = cs_now_us();
	place(call, false, out);
}

bool
gw_probe_settled(struct gw_call *call, const struct bl_target *target,
    struct bl_placement *placement)
{
	uint32_t i;

	for (i = 0; i < call->probes_pending; i++) {
		if (call->probed_targets[i] == target) {
			call->probed_targets[i] =
			    call->probed_targets[--call->probes_pending];
			gw_place(call, placement);
			return placement->verdict != BL_PROBE ||
			       call->probes_pending == 0;
		}
	}
	return false;
}
