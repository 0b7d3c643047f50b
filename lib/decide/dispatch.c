/*
 * The life of a call: admitted or refused, waiting, sent, perhaps sent again,
 * relayed, ended. Every call ends with exactly one of refuse, cut, done, or
 * its caller leaving.
 */
#include "decide_internal.h"

#define STATUS_UNAVAILABLE 503
#define BUDGET_MAX (10 * DC_MILLI)
#define RECHECK_US 10000
/* The running 95th percentile moves by 1/16 of itself at most. */
#define SLOW_SHIFT 4
#define SLOW_PERCENT 95

static struct dc_pool *
pool_of(struct dc_core *core, const struct dc_call *call)
{
	return &core->pools[call->pool];
}

static struct dc_route *
route_of(struct dc_core *core, const struct dc_call *call)
{
	return &core->routes[call->route];
}

static void
end_call(struct dc_core *core, struct dc_call *call)
{
	if (call->state != DC_CALL_WAITING)
		core->counters.running--;
	pool_of(core, call)->calls--;
	dc_call_free(core, call);
}

static void
refuse_unknown_call(struct dc_core *core, uint64_t id, enum dc_reason reason)
{
	dc_act(core, DC_ACT_REFUSE)->refuse = (struct dc_refuse){
	    .call = id,
	    .reason = reason,
	    .outcome = DC_OUTCOME_NOT_RUN,
	};
	core->counters.refused_not_run++;
}

static void
cancel_attempts(struct dc_core *core, struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *attempt = &call->attempts[i];

		if (attempt->state == DC_ATTEMPT_NONE)
			continue;
		dc_act(core, DC_ACT_CANCEL)->cancel = (struct dc_attempt_ref){
		    .call = call->id,
		    .attempt = attempt->number,
		};
		dc_target_release(core, call, attempt);
		attempt->state = DC_ATTEMPT_NONE;
	}
}

void
dc_call_refuse(
    struct dc_core *core, struct dc_call *call, enum dc_reason reason)
{
	enum dc_outcome outcome = DC_OUTCOME_NOT_RUN;

	if (call->state == DC_CALL_WAITING)
		dc_queue_remove(core, call);
	cancel_attempts(core, call);
	if (call->maybe_ran) {
		outcome = DC_OUTCOME_UNKNOWN;
		core->counters.refused_unknown++;
	} else {
		core->counters.refused_not_run++;
	}
	dc_act(core, DC_ACT_REFUSE)->refuse = (struct dc_refuse){
	    .call = call->id,
	    .reason = reason,
	    .outcome = outcome,
	};
	end_call(core, call);
}

void
dc_call_leave(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = pool_of(core, call);

	if (call->state == DC_CALL_WAITING)
		dc_queue_remove(core, call);
	cancel_attempts(core, call);
	core->counters.left++;
	end_call(core, call);
	dc_pool_dispatch(core, pool);
}

/* Earns the route's budgets a share of each call. */
static void
earn_budgets(struct dc_core *core, struct dc_route *route)
{
	route->retry_budget += core->parameters[DC_P_RETRY_BUDGET_MILLI];
	if (route->retry_budget > BUDGET_MAX)
		route->retry_budget = BUDGET_MAX;
	route->hedge_budget += core->parameters[DC_P_HEDGE_BUDGET_MILLI];
	if (route->hedge_budget > BUDGET_MAX)
		route->hedge_budget = BUDGET_MAX;
}

/* Whether the queue before a call would take the time it has left. */
static bool
would_be_late(
    const struct dc_core *core, const struct dc_pool *pool, int64_t deadline_us)
{
	int64_t wait_us;

	if (pool->waiting == 0)
		return false;
	wait_us = (int64_t)pool->waiting * pool->interval_us;
	return core->now_us + wait_us + pool->service_us > deadline_us;
}

/* Makes room by refusing lighter waiting work; false when there is none. */
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
admission_fault(struct dc_core *core, struct dc_pool *pool,
    const struct dc_route *route, int64_t deadline_us)
{
	if (!dc_pool_has_target(core, pool))
		return DC_REASON_NO_TARGET;
	if (deadline_us <= core->now_us)
		return DC_REASON_DEADLINE;
	if (pool->waiting >= core->parameters[DC_P_QUEUE_MAX] &&
	    !displace(core, pool, route->weight))
		return DC_REASON_QUEUE_FULL;
	if (would_be_late(core, pool, deadline_us) &&
	    !displace(core, pool, route->weight))
		return DC_REASON_WOULD_BE_LATE;
	return DC_REASON_NONE;
}

static enum dc_reason
arrival_fault(
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
	return admission_fault(core, &core->pools[core->routes[route].pool],
	    &core->routes[route], event->deadline_us);
}

static struct dc_call *
admit(struct dc_core *core, const struct dc_call_arrived *event,
    uint32_t route_number)
{
	struct dc_route *route = &core->routes[route_number];
	struct dc_call *call = dc_call_new(core, event->call);

	call->fingerprint = event->fingerprint;
	call->pool = route->pool;
	call->route = route_number;
	call->weight = route->weight;
	call->idempotent = route->idempotent;
	call->arrived_us = core->now_us;
	call->deadline_us = event->deadline_us;
	core->pools[route->pool].calls++;
	earn_budgets(core, route);
	return call;
}

int
dc_call_arrive(struct dc_core *core, const struct dc_call_arrived *event)
{
	uint32_t route = dc_route_find(core, event->route);
	enum dc_reason fault;
	struct dc_call *call;

	if (dc_call_find(core, event->call) != NULL)
		return CS_E_INVALID;
	core->counters.arrived++;
	fault = arrival_fault(core, event, route);
	if (fault != DC_REASON_NONE) {
		refuse_unknown_call(core, event->call, fault);
		return CS_OK;
	}
	call = admit(core, event, route);
	dc_queue_push(core, call, event->member);
	dc_call_set_timer(core, call, call->deadline_us);
	dc_pool_dispatch(core, pool_of(core, call));
	return CS_OK;
}

static struct dc_attempt *
free_attempt(struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].state == DC_ATTEMPT_NONE)
			return &call->attempts[i];
	}
	return NULL;
}

static struct dc_attempt *
live_attempt(struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].state != DC_ATTEMPT_NONE)
			return &call->attempts[i];
	}
	return NULL;
}

/* Sets the timer to whatever comes next: connect limit, hedge, deadline. */
static void
arm_timer(struct dc_core *core, struct dc_call *call)
{
	const struct dc_route *route = route_of(core, call);
	int64_t at_us = call->deadline_us;
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		const struct dc_attempt *a = &call->attempts[i];
		int64_t next_us = INT64_MAX;

		if (a->state == DC_ATTEMPT_CONNECTING)
			next_us = a->started_us +
				  core->parameters[DC_P_CONNECT_TIMEOUT_US];
		else if (a->state == DC_ATTEMPT_SENT && call->idempotent &&
			 call->sends == 1 && route->slow_us > 0)
			next_us = a->started_us + route->slow_us;
		if (next_us > core->now_us && next_us < at_us)
			at_us = next_us;
	}
	dc_call_set_timer(core, call, at_us);
}

static void
send_attempt(
    struct dc_core *core, struct dc_call *call, uint32_t target, bool hedge)
{
	struct dc_attempt *attempt = free_attempt(call);

	*attempt = (struct dc_attempt){
	    .state = DC_ATTEMPT_CONNECTING,
	    .number = ++call->sends,
	    .target = target,
	    .started_us = core->now_us,
	    .hedge = hedge,
	};
	dc_target_begin(core, target, call->suspect);
	dc_act(core, DC_ACT_SEND)->send = (struct dc_send){
	    .call = call->id,
	    .target = core->targets[target].id,
	    .deadline_us = call->deadline_us,
	    .attempt = attempt->number,
	    .fresh = !call->idempotent || call->suspect,
	};
	core->counters.sent++;
	if (call->state != DC_CALL_RUNNING)
		core->counters.running++;
	call->state = DC_CALL_RUNNING;
	arm_timer(core, call);
}

/* Learns how fast the queue moves while calls wait in it. */
static void
note_send(struct dc_core *core, struct dc_pool *pool)
{
	int64_t gap_us = core->now_us - pool->last_send_us;

	pool->last_send_us = core->now_us;
	if (pool->waiting > 0)
		pool->interval_us += (gap_us - pool->interval_us) >> 3;
}

static bool
is_hopeless(const struct dc_core *core, const struct dc_pool *pool,
    const struct dc_call *call)
{
	if (call->arrived_us == core->now_us)
		return false;
	return core->now_us + pool->service_us / 2 > call->deadline_us;
}

void
dc_pool_dispatch(struct dc_core *core, struct dc_pool *pool)
{
	struct dc_call *call;
	uint32_t target;

	while (pool->waiting > 0 && dc_room_for_actions(core)) {
		call = dc_queue_head(core, pool);
		if (!dc_pool_has_target(core, pool)) {
			dc_call_refuse(core, call, DC_REASON_NO_TARGET);
			continue;
		}
		if (is_hopeless(core, pool, call)) {
			dc_call_refuse(core, call, DC_REASON_WOULD_BE_LATE);
			continue;
		}
		target = dc_target_pick(core, pool, call);
		if (target == DC_NONE)
			break;
		dc_queue_take(core, call);
		note_send(core, pool);
		send_attempt(core, call, target, false);
	}
	if (pool->waiting > 0 &&
	    core->now_us + RECHECK_US < core->pools_wake_us)
		core->pools_wake_us = core->now_us + RECHECK_US;
}

static bool
take_budget(int64_t *budget)
{
	if (*budget < DC_MILLI)
		return false;
	*budget -= DC_MILLI;
	return true;
}

static bool
may_send_again(
    struct dc_core *core, struct dc_call *call, enum dc_result result)
{
	if (call->sends >= core->parameters[DC_P_SENDS_MAX])
		return false;
	if (result == DC_RESULT_NOT_SENT && !call->maybe_ran)
		return true;
	if (!call->idempotent)
		return false;
	return take_budget(&route_of(core, call)->retry_budget);
}

static void
wait_again(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = pool_of(core, call);

	core->counters.retries++;
	core->counters.running--;
	dc_queue_push(core, call, pool->queues[call->member].member);
	dc_call_set_timer(core, call, call->deadline_us);
}

/* A suspect runs alone on a target, or not at all. */
static void
retry_alone(struct dc_core *core, struct dc_call *call)
{
	uint32_t target = dc_target_pick(core, pool_of(core, call), call);

	if (target == DC_NONE) {
		dc_call_refuse(core, call, DC_REASON_TARGET_BROKE);
		return;
	}
	core->counters.retries++;
	send_attempt(core, call, target, false);
}

static void
retry_or_refuse(
    struct dc_core *core, struct dc_call *call, enum dc_result result)
{
	enum dc_reason reason = DC_REASON_CONNECT_FAILED;

	if (result == DC_RESULT_BROKEN)
		reason = DC_REASON_TARGET_BROKE;
	if (call->suspect && dc_suspect_quarantined(core, call->fingerprint))
		dc_call_refuse(core, call, DC_REASON_QUARANTINED);
	else if (core->now_us >= call->deadline_us)
		dc_call_refuse(core, call, DC_REASON_DEADLINE);
	else if (!may_send_again(core, call, result))
		dc_call_refuse(core, call, reason);
	else if (call->suspect)
		retry_alone(core, call);
	else
		wait_again(core, call);
}

void
dc_attempt_on_sent(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, bool reused)
{
	attempt->state = DC_ATTEMPT_SENT;
	attempt->reused = reused;
	call->maybe_ran = true;
	arm_timer(core, call);
}

/* Moves the estimate up by 95 parts or down by 5, so that it settles where
 * 5 of 100 answers take longer. */
static void
learn_slow(struct dc_route *route, int64_t took_us)
{
	int64_t step = (route->slow_us >> SLOW_SHIFT) + 1;

	if (route->slow_us == 0)
		route->slow_us = took_us * 2 + 1;
	else if (took_us > route->slow_us)
		route->slow_us += step * SLOW_PERCENT / 100;
	else
		route->slow_us -= step * (100 - SLOW_PERCENT) / 100 + 1;
	if (route->slow_us < 1)
		route->slow_us = 1;
}

static void
relay(struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *other = &call->attempts[i];

		if (other == attempt || other->state == DC_ATTEMPT_NONE)
			continue;
		dc_act(core, DC_ACT_CANCEL)->cancel = (struct dc_attempt_ref){
		    .call = call->id,
		    .attempt = other->number,
		};
		dc_target_release(core, call, other);
		other->state = DC_ATTEMPT_NONE;
	}
	attempt->state = DC_ATTEMPT_RELAYED;
	call->state = DC_CALL_RELAYING;
	if (call->nodes[DC_NODE_TIMER].linked)
		dc_heap_remove(core, &core->timers, dc_call_number(core, call));
	dc_act(core, DC_ACT_RELAY)->relay = (struct dc_attempt_ref){
	    .call = call->id,
	    .attempt = attempt->number,
	};
}

static void
drop_attempt(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	dc_act(core, DC_ACT_CANCEL)->cancel = (struct dc_attempt_ref){
	    .call = call->id,
	    .attempt = attempt->number,
	};
	dc_target_release(core, call, attempt);
	call->avoid = attempt->target;
	attempt->state = DC_ATTEMPT_NONE;
}

void
dc_attempt_on_head(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, uint32_t status)
{
	struct dc_pool *pool = pool_of(core, call);

	if (status == STATUS_UNAVAILABLE)
		dc_target_failed(core, attempt);
	if (status != STATUS_UNAVAILABLE || !call->idempotent ||
	    !may_send_again(core, call, DC_RESULT_BROKEN)) {
		learn_slow(
		    route_of(core, call), core->now_us - attempt->started_us);
		relay(core, call, attempt);
		dc_pool_dispatch(core, pool);
		return;
	}
	drop_attempt(core, call, attempt);
	if (live_attempt(call) == NULL && call->suspect)
		retry_alone(core, call);
	else if (live_attempt(call) == NULL)
		wait_again(core, call);
	dc_pool_dispatch(core, pool);
}

static void
finish_relayed(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result)
{
	struct dc_attempt_ref ref = {
	    .call = call->id,
	    .attempt = attempt->number,
	};

	if (result == DC_RESULT_WHOLE) {
		dc_target_succeeded(core, call, attempt);
		dc_act(core, DC_ACT_DONE)->done = ref;
		core->counters.done++;
	} else {
		dc_target_failed(core, attempt);
		dc_act(core, DC_ACT_CUT)->cut = ref;
		core->counters.cut++;
	}
	dc_target_release(core, call, attempt);
	attempt->state = DC_ATTEMPT_NONE;
	end_call(core, call);
}

void
dc_attempt_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result)
{
	struct dc_pool *pool = pool_of(core, call);

	if (attempt->state == DC_ATTEMPT_RELAYED) {
		finish_relayed(core, call, attempt, result);
		dc_pool_dispatch(core, pool);
		return;
	}
	/* A silent or closed old connection says nothing of the target. */
	if (!attempt->reused)
		dc_target_failed(core, attempt);
	dc_target_release(core, call, attempt);
	call->avoid = attempt->target;
	attempt->state = DC_ATTEMPT_NONE;
	if (result == DC_RESULT_BROKEN && !attempt->reused) {
		call->suspect = live_attempt(call) == NULL;
		dc_suspect_add(core, call->fingerprint);
	}
	if (result == DC_RESULT_UNFRAMED)
		dc_call_refuse(core, call, DC_REASON_ANSWER_UNFRAMED);
	else if (live_attempt(call) == NULL)
		retry_or_refuse(core, call, result);
	dc_pool_dispatch(core, pool);
}

/* Sends a second copy of slow idempotent work while nothing else waits. */
static void
hedge(struct dc_core *core, struct dc_call *call)
{
	struct dc_route *route = route_of(core, call);
	struct dc_pool *pool = pool_of(core, call);
	struct dc_attempt *first = live_attempt(call);
	uint32_t target;

	if (!call->idempotent || call->suspect || call->sends != 1 ||
	    first == NULL || first->state != DC_ATTEMPT_SENT)
		return;
	if (core->now_us - first->started_us < route->slow_us)
		return;
	if (pool->waiting > 0 || !take_budget(&route->hedge_budget))
		return;
	call->avoid = first->target;
	target = dc_target_pick(core, pool, call);
	if (target == DC_NONE || target == first->target)
		return;
	core->counters.hedges++;
	send_attempt(core, call, target, true);
}

/* Gives up attempts that did not connect in time. */
static void
expire_connects(struct dc_core *core, struct dc_call *call)
{
	int64_t limit_us = core->parameters[DC_P_CONNECT_TIMEOUT_US];
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *a = &call->attempts[i];

		if (a->state != DC_ATTEMPT_CONNECTING ||
		    core->now_us < a->started_us + limit_us)
			continue;
		dc_target_failed(core, a);
		drop_attempt(core, call, a);
	}
}

void
dc_call_on_timer(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = pool_of(core, call);

	if (core->now_us >= call->deadline_us) {
		dc_call_refuse(core, call, DC_REASON_DEADLINE);
		dc_pool_dispatch(core, pool);
		return;
	}
	expire_connects(core, call);
	if (call->state == DC_CALL_RUNNING && live_attempt(call) == NULL) {
		retry_or_refuse(core, call, DC_RESULT_NOT_SENT);
		dc_pool_dispatch(core, pool);
		return;
	}
	hedge(core, call);
	arm_timer(core, call);
}
