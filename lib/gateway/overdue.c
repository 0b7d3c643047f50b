/*
 * Requests at targets that do not respond. Some targets never respond to a
 * request that they cannot queue, nor to any later one on that connection. The
 * connection is closed then, and the request tried elsewhere, if it is
 * idempotent, the budget allows a retry and another target can serve it in
 * time. Otherwise the call keeps waiting, since its response may only be late.
 */
#include "gateway_internal.h"

/* By then a probe is answered, also between regions. */
#define REPORT_WAIT_MS 40

static bool
has_retry(const struct gw_call *call)
{
	struct bl_budget_view view;

	bl_view_budget(
	    call->pool->balance, &call->gw->params.budget, cs_now_us(), &view);
	return view.retries + 1 <= view.allowed;
}

static bool
may_try_elsewhere(const struct gw_call *call)
{
	return call->route->kind == RT_IDEMPOTENT &&
	       call->delivered_attempts + 1 < call->route->attempts_max &&
	       call->tried_count < BL_TRIED_MAX && gw_may_send(call) &&
	       cs_now_us() < call->deadline_us - GW_TIMEOUT_MARGIN_US &&
	       !bl_is_poison(&call->gw->poison, call->fingerprint) &&
	       has_retry(call);
}

static bool
can_be_placed(struct gw_call *call)
{
	struct bl_placement placement;

	gw_place_without_probes(call, &placement);
	return placement.verdict == BL_SEND;
}

static void
abandon_attempt(struct gw_call *call)
{
	const struct bl_target *target = call->target;

	cs_log(CS_LOG_ATTEMPT_OVERDUE,
	    "request=%s attempt=%u target=%s after_us=%lld expected_us=%lld "
	    "load=%u/%u/%u in_flight=%u",
	    call->id, call->attempts, target->id,
	    (long long)(cs_now_us() - call->started_us),
	    (long long)call->expected_us, target->load.running,
	    target->load.waiting, target->slots, target->in_flight);
	call->gw->counters.overdue++;
	gw_cancel(call);
	call->gw->callbacks->attempt_ended(call, BL_LOST, NULL);
}

/* A probe counts as a request to a target with a limit. */
static bool
may_be_probed(const struct bl_target *target, int64_t now_us)
{
	return !bl_limit_applies(target, now_us) &&
	       bl_wait_us(target, now_us) == 0;
}

static void
on_overdue(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;
	struct bl_target *target = call->target;
	int64_t now_us = cs_now_us();

	if (!may_try_elsewhere(call))
		return;
	uv_timer_start(&call->step_timer, on_overdue, REPORT_WAIT_MS, 0);
	/* Without an answer to the probe the last report counts. */
	if (!call->overdue_probed && may_be_probed(target, now_us) &&
	    now_us - target->load_at_us > REPORT_WAIT_MS * 1000) {
		call->overdue_probed = true;
		if (gw_probe_for_pool(
			call->pool, &(struct bl_placement){
					.probe_count = 1, .probes = {target}}))
			return;
	}
	if (bl_may_have_dropped(target, call->started_us) &&
	    can_be_placed(call))
		abandon_attempt(call);
}

void
gw_watch_attempt(struct gw_call *call)
{
	int64_t expected_us = bl_queue_expected_us(&call->pool->queue,
	    &call->queued, call->pool->balance, call->expected_us);
	int64_t left_us =
	    call->started_us + bl_overdue_us(expected_us) - cs_now_us();

	call->overdue_probed = false;
	if (call->route->kind != RT_IDEMPOTENT || !call->table->has_tenants)
		return;
	uv_timer_start(&call->step_timer, on_overdue,
	    left_us > 0 ? (uint64_t)left_us / 1000 + 1 : 0, 0);
}
