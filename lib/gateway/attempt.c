/* One attempt of a call at a target: its start, and the account of its end. */
#include <string.h>

#include "gateway_internal.h"

/* Far over a round trip between regions. */
#define CONNECT_WAIT_MS 150

void
gw_attempt_drop(struct gw_call *call, enum bl_outcome outcome)
{
	int64_t now_us = cs_now_us();

	if (call->target == NULL)
		return;
	bl_ended(call->target, outcome, now_us - call->started_us, now_us);
	bl_target_drop(call->target);
	call->target = NULL;
}

static void
log_attempt(const struct gw_call *call, const struct bl_placement *placement)
{
	const struct bl_target *target = placement->target;
	int64_t now_us = cs_now_us();

	cs_log(CS_LOG_CALL_SENT,
	    "request=%s attempt=%u target=%s data_centre=%s why=%s "
	    "expected_us=%lld "
	    "load=%u/%u/%u slow_pct=%u load_age_us=%lld in_flight=%u "
	    "failing=%.2f",
	    call->id, call->attempts, target->id,
	    call->gw->params.topology->places[target->place].name,
	    placement->reason, (long long)placement->expected_us,
	    target->load.running, target->load.waiting, target->slots,
	    target->load.slowness_pct,
	    target->load_us == 0 ? -1LL : (long long)(now_us - target->load_us),
	    target->in_flight, target->failing);
}

static void
on_connect_late(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;

	if (call->channel == NULL || h1_channel_connected(call->channel->line))
		return;
	gw_cancel(call);
	call->gw->flow->attempt_ended(call, BL_UNREACHED, NULL);
}

int
gw_attempt_start(struct gw_call *call, const struct bl_placement *placement)
{
	struct bl_target *target = placement->target;
	int64_t now_us = cs_now_us();

	if (call->attempts == 0) {
		call->waited_us = now_us - call->received_us;
		cs_histogram_add(&call->gw->counters.waited, call->waited_us);
	}
	call->attempts++;
	call->gw->counters.attempts++;
	call->started_us = now_us;
	call->expected_us = placement->expected_us;
	call->target = target;
	cs_ref_take(&target->ref);
	if (call->tried_count < BL_TRIED_MAX) {
		cs_ref_take(&target->ref);
		call->tried[call->tried_count++] = target;
	}
	log_attempt(call, placement);
	bl_started(target, now_us);
	call->state = GW_CALL_SENT;
	if (gw_send(call, target) != CS_OK)
		return CS_E_SYSTEM;
	if (!h1_channel_connected(call->channel->line))
		uv_timer_start(
		    &call->step, on_connect_late, CONNECT_WAIT_MS, 0);
	return CS_OK;
}

static bool
attempts_left(const struct gw_call *call)
{
	return call->arrivals < call->route->attempts_max &&
	       call->tried_count < BL_TRIED_MAX &&
	       cs_now_us() < call->due_us - GW_TIMEOUT_MARGIN_US;
}

static enum bl_step
next_step(struct gw_call *call, enum bl_outcome outcome)
{
	enum bl_step step =
	    bl_next_step(outcome, call->route->kind, attempts_left(call));

	if (step != BL_AGAIN || !bl_arrived(outcome))
		return step;
	if (bl_is_poison(&call->gw->poison, call->fingerprint, cs_now_us()) ||
	    !bl_may_retry(
		call->pool->decide, &call->gw->params.budget, cs_now_us()))
		return bl_without_retry(outcome);
	call->gw->counters.retries++;
	return step;
}

enum bl_step
gw_attempt_finish(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *answer)
{
	int64_t took_us = cs_now_us() - call->started_us;
	const struct bl_target *target = call->target;

	uv_timer_stop(&call->step);
	cs_histogram_add(&call->gw->counters.at_target, took_us);
	if (outcome == BL_SERVED)
		bl_ran_well(&call->gw->poison, call->fingerprint);
	else
		cs_log(CS_LOG_ATTEMPT_FAILED,
		    "request=%s attempt=%u target=%s outcome=%s status=%d "
		    "took_us=%lld expected_us=%lld",
		    call->id, call->attempts, target == NULL ? "-" : target->id,
		    bl_outcome_text(outcome),
		    answer == NULL ? 0 : answer->status, (long long)took_us,
		    (long long)call->expected_us);
	gw_attempt_drop(call, outcome);
	call->state = GW_CALL_PLACING;
	call->outcome = outcome;
	call->arrivals += bl_arrived(outcome);
	call->may_have_run |= bl_may_have_run(outcome);
	return next_step(call, outcome);
}
