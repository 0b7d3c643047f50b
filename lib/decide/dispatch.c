/*
 * Admission, queueing and dispatch of calls, and their end. Every call ends
 * with exactly one of the actions refuse, replay, abort and done, or when its
 * caller disconnects.
 */
#include "decide_internal.h"

#define RECHECK_INTERVAL_US 10000 /* of pools with waiting calls */
#define AVERAGE_SHIFT 3		  /* a new sample has a weight of 1/8 */

void
dc_pool_mark_ready(struct dc_pool *pool)
{
	pool->ready = true;
}

void
dc_call_end(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = &core->pools[call->pool];

	if (call->state == DC_CALL_WAITING)
		dc_queue_remove(core, call);
	else
		core->counters.running--;
	pool->calls--;
	dc_pool_mark_ready(pool);
	dc_call_free(core, call);
}

void
dc_refuse_id(struct dc_core *core, uint64_t id, enum dc_reason reason,
    enum dc_outcome outcome)
{
	dc_action_add(core, DC_ACT_REFUSE)->refuse = (struct dc_refuse){
	    .call = id,
	    .reason = reason,
	    .outcome = outcome,
	};
	if (outcome == DC_OUTCOME_NOT_RUN)
		core->counters.refused_not_run++;
	else
		core->counters.refused_unknown++;
}

void
dc_call_refuse(
    struct dc_core *core, struct dc_call *call, enum dc_reason reason)
{
	dc_attempts_cancel_all(core, call);
	dc_key_record_end(
	    core, call, call->may_have_run ? DC_KEY_UNSURE : DC_KEY_NOT_RUN);
	dc_refuse_id(core, call->id, reason,
	    call->may_have_run ? DC_OUTCOME_UNKNOWN : DC_OUTCOME_NOT_RUN);
	dc_call_end(core, call);
}

void
dc_call_on_disconnect(struct dc_core *core, struct dc_call *call)
{
	dc_attempts_cancel_all(core, call);
	dc_key_record_end(
	    core, call, call->may_have_run ? DC_KEY_UNSURE : DC_KEY_NOT_RUN);
	core->counters.callers_disconnected++;
	dc_call_end(core, call);
}

/* Each call adds a fraction of a retry and of a hedge to the budgets. */
static void
add_to_budgets(struct dc_core *core, struct dc_route *route)
{
	route->retry_budget += core->parameters[DC_P_RETRY_BUDGET_MILLI];
	if (route->retry_budget > DC_BUDGET_MAX)
		route->retry_budget = DC_BUDGET_MAX;
	route->hedge_budget += core->parameters[DC_P_HEDGE_BUDGET_MILLI];
	if (route->hedge_budget > DC_BUDGET_MAX)
		route->hedge_budget = DC_BUDGET_MAX;
}

/*
 * Returns whether the estimated queueing time and the route's 95th percentile
 * of response times exceed the time left to a new call: until its deadline or
 * the route's latency objective, whichever is first. Always false for an empty
 * queue.
 */
static bool
would_be_late(const struct dc_core *core, const struct dc_pool *pool,
    const struct dc_route *route, int64_t deadline_us)
{
	int64_t limit_us = deadline_us, wait_us;

	if (pool->waiting == 0)
		return false;
	if (route->objective_us > 0 &&
	    core->now_us + route->objective_us < limit_us)
		limit_us = core->now_us + route->objective_us;
	wait_us = (int64_t)pool->waiting * pool->send_interval_us;
	return core->now_us + wait_us + route->p95_us > limit_us;
}

/* Refuses a waiting call of less weight; false when there is none. */
static bool
displace(struct dc_core *core, struct dc_pool *pool, uint32_t weight)
{
	struct dc_call *lightest = dc_queue_lightest(core, pool, weight);

	if (lightest == NULL)
		return false;
	dc_call_refuse(core, lightest, DC_REASON_DISPLACED);
	return true;
}

static enum dc_reason
check_admission(struct dc_core *core, struct dc_pool *pool,
    const struct dc_route *route, int64_t deadline_us)
{
	if (!dc_pool_has_target(core, pool))
		return DC_REASON_NO_TARGET;
	if (deadline_us <= core->now_us)
		return DC_REASON_DEADLINE;
	if (pool->waiting >= core->parameters[DC_P_QUEUE_MAX] &&
	    !displace(core, pool, route->weight))
		return DC_REASON_QUEUE_FULL;
	if (would_be_late(core, pool, route, deadline_us) &&
	    !displace(core, pool, route->weight))
		return DC_REASON_WOULD_BE_LATE;
	return DC_REASON_NONE;
}

static enum dc_reason
check_arrival(
    struct dc_core *core, const struct dc_call_arrived *event, uint32_t route)
{
	if (core->version == 0 || core->loading)
		return DC_REASON_NO_CONFIG;
	if (core->stopping)
		return DC_REASON_STOPPING;
	if (route == DC_NONE || !core->routes[route].listed)
		return DC_REASON_NO_ROUTE;
	if (dc_suspect_quarantined(core, event->fingerprint))
		return DC_REASON_QUARANTINED;
	if (core->first_free == DC_NONE)
		return DC_REASON_CALLS_FULL;
	return check_admission(core, &core->pools[core->routes[route].pool],
	    &core->routes[route], event->deadline_us);
}

static struct dc_call *
admit(struct dc_core *core, const struct dc_call_arrived *event,
    uint32_t route_index)
{
	struct dc_route *route = &core->routes[route_index];
	struct dc_call *call = dc_call_new(core, event->call);

	call->fingerprint = event->fingerprint;
	call->member_id = event->member;
	call->pool = route->pool;
	call->route = route_index;
	call->weight = route->weight;
	call->idempotent = route->idempotent;
	call->arrived_us = core->now_us;
	call->deadline_us = event->deadline_us;
	call->key = event->key;
	if (route->idempotent)
		call->key.scope = DC_KEY_NONE;
	core->pools[route->pool].calls++;
	add_to_budgets(core, route);
	return call;
}

/* Puts a call that is not waiting into its pool's queue. */
void
dc_call_enqueue(struct dc_core *core, struct dc_call *call)
{
	if (call->state != DC_CALL_FREE)
		core->counters.running--;
	dc_queue_push(core, call);
	dc_call_set_timer(core, call, call->deadline_us);
	dc_pool_mark_ready(&core->pools[call->pool]);
}

static bool
is_keyed(const struct dc_core *core, const struct dc_call_arrived *event,
    uint32_t route)
{
	return event->key.scope != DC_KEY_NONE && route != DC_NONE &&
	       !core->routes[route].idempotent;
}

int
dc_call_arrive(struct dc_core *core, const struct dc_call_arrived *event)
{
	uint32_t route = dc_route_find(core, event->route);
	enum dc_reason reason;
	struct dc_call *call;

	if (dc_call_find(core, event->call) != NULL)
		return CS_E_INVALID;
	core->counters.arrived++;
	if (is_keyed(core, event, route) && dc_key_try_answer(core, event))
		return CS_OK;
	reason = check_arrival(core, event, route);
	if (reason != DC_REASON_NONE) {
		dc_refuse_id(core, event->call, reason, DC_OUTCOME_NOT_RUN);
		return CS_OK;
	}
	call = admit(core, event, route);
	if (call->key.scope == DC_KEY_NONE)
		dc_call_enqueue(core, call);
	else
		dc_key_begin(core, call);
	return CS_OK;
}

/*
 * Updates the average interval between sends. An interval counts only if calls
 * were waiting all the time: others include idle time.
 */
static void
update_send_interval(struct dc_core *core, struct dc_pool *pool)
{
	int64_t gap_us = core->now_us - pool->last_send_us;

	if (pool->backlog_after_send)
		pool->send_interval_us +=
		    (gap_us - pool->send_interval_us) >> AVERAGE_SHIFT;
	pool->last_send_us = core->now_us;
	pool->backlog_after_send = pool->waiting > 0;
}

/*
 * Returns whether a call that has waited has less time left than the route's
 * 95th percentile of response times. A call that has not waited is tried.
 */
static bool
would_miss_deadline(const struct dc_core *core, const struct dc_call *call)
{
	if (call->arrived_us == core->now_us)
		return false;
	return core->now_us + core->routes[call->route].p95_us >
	       call->deadline_us;
}

/* Sends or refuses the first waiting call; false when it keeps waiting. */
static bool
dispatch_head(struct dc_core *core, struct dc_pool *pool)
{
	struct dc_call *call = dc_queue_head(core, pool);
	struct dc_choice choice;

	if (!dc_pool_has_target(core, pool)) {
		dc_call_refuse(core, call, DC_REASON_NO_TARGET);
		return true;
	}
	if (would_miss_deadline(core, call)) {
		dc_call_refuse(core, call, DC_REASON_WOULD_BE_LATE);
		return true;
	}
	choice = dc_target_pick(core, pool, call);
	if (choice.target == DC_NONE)
		return false;
	dc_queue_take(core, call);
	call->state = DC_CALL_RUNNING;
	core->counters.running++;
	update_send_interval(core, pool);
	dc_attempt_send(core, call, choice);
	return true;
}

void
dc_pool_dispatch(struct dc_core *core, struct dc_pool *pool)
{
	pool->ready = false;
	while (pool->waiting > 0 && dc_actions_have_room(core)) {
		if (!dispatch_head(core, pool))
			break;
	}
	if (core->parameters[DC_P_DISPATCH] == DC_DISPATCH_LEASES &&
	    dc_actions_have_room(core)) {
		dc_lease_update_demand(core, pool);
		dc_lease_return_unused(core, pool);
	}
	if (pool->waiting > 0 &&
	    core->now_us + RECHECK_INTERVAL_US < core->next_pool_check_us)
		core->next_pool_check_us = core->now_us + RECHECK_INTERVAL_US;
}
