/*
 * The lists in which calls wait, and when those that wait for a pool are placed
 * again. Counts the calls of a pool.
 */
#include "gateway_internal.h"

/* Waiting calls are placed again at least at this interval. */
#define DISPATCH_INTERVAL_MS 10

static void
remove_from_list(struct gw_call **at, const struct gw_call *call)
{
	while (*at != NULL && *at != call)
		at = &(*at)->next;
	if (*at == call)
		*at = call->next;
}

void
gw_count_call(struct gw_call *call)
{
	call->queued = (struct bl_queue_entry){
	    .kind = call->route->hash,
	    .tenant = call->tenant == NULL ? 0 : call->tenant->hash,
	    .priority = call->priority,
	    .received_us = call->received_us,
	    .objective_us = call->received_us + call->objective_us,
	    .deadline_us = call->deadline_us,
	    .excluded_data_centres = call->excluded_data_centres,
	};
	/* Callers compete for capacity where they are tenants. */
	call->pool->queue.by_cost = call->table->has_tenants;
	bl_queue_arrived(&call->pool->queue, &call->queued, cs_now_us());
}

void
gw_count_end(struct gw_call *call, enum gw_reason reason)
{
	bool answered = reason == GW_ANSWERED;
	int64_t now_us = cs_now_us();

	if (call->pool != NULL && call->queued.received_us != 0)
		bl_queue_ended(&call->pool->queue, &call->queued,
		    answered || reason == GW_TARGET_FAILED,
		    answered ? now_us - call->started_us : 0, now_us);
}

void
gw_dequeue(struct gw_call *call)
{
	uv_timer_stop(&call->step_timer);
	switch (call->state) {
	case GW_CALL_WAITING:
		bl_queue_remove(&call->pool->queue, &call->queued);
		break;
	case GW_CALL_PROBING:
		remove_from_list(&call->pool->awaiting_probes, call);
		break;
	case GW_CALL_HELD:
		remove_from_list(&call->gw->held, call);
		call->gw->held_count--;
		break;
	case GW_CALL_AWAITING_QUOTA:
		gw_dequeue_from_quota(call);
		break;
	case GW_CALL_FREE:
	case GW_CALL_PLACING:
	case GW_CALL_SENT:
		call->state = GW_CALL_PLACING;
		return;
	}
	call->waited_us += cs_now_us() - call->wait_from_us;
	call->state = GW_CALL_PLACING;
}

static void
on_dispatch_due(uv_timer_t *timer)
{
	struct gw_pool *pool = timer->data;

	pool->gw->callbacks->dispatch_waiting(pool);
}

void
gw_dispatch_after(struct gw_pool *pool, uint64_t ms)
{
	if (!uv_is_active((uv_handle_t *)&pool->dispatch_timer) ||
	    uv_timer_get_due_in(&pool->dispatch_timer) > ms)
		uv_timer_start(&pool->dispatch_timer, on_dispatch_due, ms, 0);
}

void
gw_schedule_dispatch(struct gw_pool *pool)
{
	if (pool->queue.first != NULL)
		gw_dispatch_after(pool, DISPATCH_INTERVAL_MS);
}
