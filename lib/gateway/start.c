/*
 * Holds calls that arrive before this VM knows its configuration and targets,
 * until it does or bl_hold_at_start() refuses them.
 */
#include "gateway_internal.h"

#define HELD_MAX 512 /* per VM */

static void
on_hold_over(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;

	gw_dequeue(call);
	call->gw->callbacks->resume_held(call);
}

bool
gw_hold(struct gw_call *call, int64_t *retry_after_us)
{
	struct gw *gw = call->gw;
	struct gw_call **at = &gw->held;
	struct bl_start start = {
	    .now_us = cs_now_us(),
	    .process_start_us = gw->start_us,
	    .received_us = call->received_us,
	    .deadline_us =
		call->received_us + gw_deadline_ms(gw, call->request) * 1000,
	    .live_nodes = gw->live_nodes,
	    .ready_nodes = gw->ready_nodes,
	};
	struct bl_hold decision;

	bl_hold_at_start(&start, &decision);
	if (gw->stopping || gw->held_count == HELD_MAX)
		decision.hold = false;
	cs_log(CS_LOG_CALL_HELD,
	    "request=%s hold=%d for_us=%lld since_start_us=%lld live=%u "
	    "ready=%u table=%d",
	    call->id, decision.hold,
	    decision.hold ? (long long)(decision.until_us - start.now_us) : 0LL,
	    (long long)(start.now_us - start.process_start_us),
	    start.live_nodes, start.ready_nodes, gw->table != NULL);
	*retry_after_us = decision.retry_after_us;
	if (!decision.hold)
		return false;
	while (*at != NULL)
		at = &(*at)->next;
	call->next = NULL;
	*at = call;
	gw->held_count++;
	call->state = GW_CALL_HELD;
	call->wait_from_us = start.now_us;
	uv_timer_start(&call->step_timer, on_hold_over,
	    (uint64_t)(decision.until_us - start.now_us) / 1000 + 1, 0);
	return true;
}
