/* One attempt of a call at a target: starts it and records its end. */
#include <string.h>

#include "gateway_internal.h"

/* Far longer than a round trip between regions. */
#define CONNECT_TIMEOUT_MS 150

void
gw_attempt_drop(struct gw_call *call, enum bl_outcome outcome)
{
	int64_t now_us = cs_now_us();

	if (call->target == NULL)
		return;
	bl_request_ended(
	    call->target, outcome, now_us - call->started_us, now_us);
	bl_target_unref(call->target);
	call->target = NULL;
}

static void
log_attempt(const struct gw_call *call, const struct bl_placement *placement)
{
	const struct bl_target *target = placement->target;
	int64_t now_us = cs_now_us();

	cs_log(CS_LOG_CALL_SENT,
	    "request=%s attempt=%u target=%s data_centre=%s why=%s "
	    "fingerprint=%llx version=%llu expected_us=%lld "
	    "load=%u/%u/%u slow_pct=%u load_age_us=%lld in_flight=%u "
	    "failing=%.2f",
	    call->id, call->attempts, target->id,
	    call->gw->params.topology->data_centres[target->data_centre].name,
	    placement->reason, (unsigned long long)call->fingerprint,
	    (unsigned long long)call->table->version,
	    (long long)placement->expected_us, target->load.running,
	    target->load.waiting, target->slots, target->load.slowness_pct,
	    target->load_at_us == 0 ? -1LL
				    : (long long)(now_us - target->load_at_us),
	    target->in_flight, target->failure_rate);
}

static void
on_connect_timeout(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;

	if (call->connection == NULL)
		return;
	if (h1_client_conn_connected(call->connection->h1)) {
		gw_watch_attempt(call);
		return;
	}
	gw_cancel(call);
	call->gw->callbacks->attempt_ended(call, BL_UNREACHED, NULL);
}

int
gw_attempt_start(struct gw_call *call, const struct bl_placement *placement)
{
	struct bl_target *target = placement->target;
	int64_t now_us = cs_now_us();

	if (call->attempts == 0) {
		cs_histogram_add(
		    &call->gw->counters.waited, now_us - call->received_us);
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
	bl_request_started(target, now_us);
	call->state = GW_CALL_SENT;
	if (gw_send(call, target) != CS_OK)
		return CS_E_SYSTEM;
	if (!h1_client_conn_connected(call->connection->h1))
		uv_timer_start(&call->step_timer, on_connect_timeout,
		    CONNECT_TIMEOUT_MS, 0);
	else
		gw_watch_attempt(call);
	return CS_OK;
}

static bool
may_attempt_again(const struct gw_call *call)
{
	return call->delivered_attempts < call->route->attempts_max &&
	       call->tried_count < BL_TRIED_MAX && gw_may_send(call) &&
	       cs_now_us() < call->deadline_us - GW_TIMEOUT_MARGIN_US;
}

static bool
take_retry(struct gw_call *call)
{
	const struct bl_budget_params *params = &call->gw->params.budget;
	struct bl_pool *pool = call->pool->balance;
	int64_t now_us = cs_now_us();
	struct bl_budget_view view;
	bool granted;

	bl_view_budget(pool, params, now_us, &view);
	granted = bl_take_retry(pool, params, now_us);
	cs_log(CS_LOG_RETRY_DECIDED,
	    "request=%s granted=%d requests=%.0f retries=%.0f allowed=%.1f "
	    "nodes=%u",
	    call->id, granted, view.requests, view.retries, view.allowed,
	    params->node_count);
	return granted;
}

static enum bl_step
next_step(struct gw_call *call, enum bl_outcome outcome)
{
	enum bl_step step =
	    bl_next_step(outcome, call->route->kind, may_attempt_again(call));

	if (step != BL_RETRY || !bl_was_delivered(outcome))
		return step;
	if (bl_is_poison(&call->gw->poison, call->fingerprint) ||
	    !take_retry(call))
		return bl_step_without_retry(outcome);
	call->gw->counters.retries++;
	return step;
}

enum bl_step
gw_attempt_finish(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *response)
{
	int64_t took_us = cs_now_us() - call->started_us;
	const struct bl_target *target = call->target;

	uv_timer_stop(&call->step_timer);
	cs_histogram_add(&call->gw->counters.at_target, took_us);
	if (response != NULL && (outcome == BL_SERVED || outcome == BL_FAILED))
		gw_excuse(call);
	if (outcome != BL_SERVED)
		cs_log(CS_LOG_ATTEMPT_FAILED,
		    "request=%s attempt=%u target=%s outcome=%s status=%d "
		    "took_us=%lld expected_us=%lld",
		    call->id, call->attempts, target == NULL ? "-" : target->id,
		    bl_outcome_text(outcome),
		    response == NULL ? 0 : response->status, (long long)took_us,
		    (long long)call->expected_us);
	gw_attempt_drop(call, outcome);
	call->state = GW_CALL_PLACING;
	call->last_outcome = outcome;
	call->delivered_attempts += bl_was_delivered(outcome);
	call->may_have_run |= bl_may_have_run(outcome);
	return next_step(call, outcome);
}
