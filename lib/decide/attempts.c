/* Attempts at targets, with retries and hedges within budgets. */
#include "decide_internal.h"

#define STATUS_UNAVAILABLE 503
/* The estimated 95th percentile moves by 1/16 of its value at most. */
#define P95_SHIFT 4
#define P95_PERCENT 95
/* Searches for a free slot for a hedge, and the time between them. */
#define HEDGE_TRIES_MAX 4
#define HEDGE_RETRY_US 5000
/*
 * An attempt on a reused connection that takes this multiple of the 95th
 * percentile is likely on a stale connection.
 */
#define STALE_FACTOR 4
#define PROBE_INTERVAL_US 500000 /* per target */

static struct dc_route *
route_of(struct dc_core *core, const struct dc_call *call)
{
	return &core->routes[call->route];
}

struct dc_attempt *
dc_attempt_find_free(struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].state == DC_ATTEMPT_NONE)
			return &call->attempts[i];
	}
	return NULL;
}

struct dc_attempt *
dc_attempt_find_active(struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].state != DC_ATTEMPT_NONE)
			return &call->attempts[i];
	}
	return NULL;
}

/*
 * Frees the attempt's slot; the next attempt avoids its target. A target that
 * shed the call stays the one to avoid: an attempt that ends later says less
 * of its own target.
 */
static void
release_attempt(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	dc_target_release(core, call, attempt);
	if (!call->was_shed)
		call->avoid_target = attempt->target;
	attempt->state = DC_ATTEMPT_NONE;
}

void
dc_attempt_cancel(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	dc_action_add(core, DC_ACT_CANCEL)->cancel = (struct dc_attempt_ref){
	    .call = call->id,
	    .attempt = attempt->number,
	};
	release_attempt(core, call, attempt);
}

void
dc_attempts_cancel_all(struct dc_core *core, struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].state != DC_ATTEMPT_NONE)
			dc_attempt_cancel(core, call, &call->attempts[i]);
	}
}

static int64_t
next_hedge_check_us(const struct dc_core *core, const struct dc_call *call,
    const struct dc_attempt *attempt, const struct dc_route *route)
{
	int64_t p95_at_us = attempt->started_us + route->p95_us;

	if (p95_at_us > core->now_us)
		return p95_at_us;
	if (dc_stale_has_attempt(core, attempt))
		return core->now_us + 1;
	if (call->hedge_tries > 0 && call->hedge_tries < HEDGE_TRIES_MAX)
		return core->now_us + HEDGE_RETRY_US;
	if (attempt->reused)
		return core->now_us + STALE_FACTOR * route->p95_us;
	return INT64_MAX;
}

/*
 * Returns when the attempt is checked next: at its connect timeout, for a
 * hedge, or never (INT64_MAX).
 */
static int64_t
next_check_us(struct dc_core *core, const struct dc_call *call,
    const struct dc_attempt *attempt)
{
	const struct dc_route *route = route_of(core, call);

	if (attempt->state == DC_ATTEMPT_CONNECTING)
		return attempt->started_us +
		       core->parameters[DC_P_CONNECT_TIMEOUT_US];
	if (attempt->state == DC_ATTEMPT_SENT && call->idempotent &&
	    (call->sends == 1 || dc_stale_has_attempt(core, attempt)) &&
	    route->p95_us > 0)
		return next_hedge_check_us(core, call, attempt, route);
	return INT64_MAX;
}

void
dc_attempt_arm_timer(struct dc_core *core, struct dc_call *call)
{
	int64_t at_us = call->deadline_us;
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		int64_t check_at_us =
		    next_check_us(core, call, &call->attempts[i]);

		if (check_at_us > core->now_us && check_at_us < at_us)
			at_us = check_at_us;
	}
	dc_call_set_timer(core, call, at_us);
}

void
dc_attempt_send(
    struct dc_core *core, struct dc_call *call, struct dc_choice choice)
{
	struct dc_attempt *attempt = dc_attempt_find_free(call);

	*attempt = (struct dc_attempt){
	    .state = DC_ATTEMPT_CONNECTING,
	    .number = ++call->sends,
	    .target = choice.target,
	    .started_us = core->now_us,
	    .leased = choice.leased,
	};
	dc_target_acquire(core, choice, call->suspect);
	dc_action_add(core, DC_ACT_SEND)->send = (struct dc_send){
	    .call = call->id,
	    .attempt = attempt->number,
	    .target = core->targets[choice.target].id,
	    .deadline_us = call->deadline_us,
	    .new_connection =
		!call->idempotent || call->suspect || call->avoid_reused,
	};
	core->counters.sent++;
	if (!choice.leased &&
	    core->parameters[DC_P_DISPATCH] == DC_DISPATCH_LEASES)
		core->counters.unleased++;
	dc_attempt_arm_timer(core, call);
}

static bool
spend_budget(int64_t *budget)
{
	if (*budget < DC_MILLI_PER_CALL)
		return false;
	*budget -= DC_MILLI_PER_CALL;
	return true;
}

static bool
may_send_again(
    struct dc_core *core, struct dc_call *call, enum dc_result result)
{
	if (call->sends >= core->parameters[DC_P_SENDS_MAX])
		return false;
	if (result == DC_RESULT_NOT_SENT && !call->may_have_run)
		return true;
	if (!call->idempotent || core->parameters[DC_P_RETRY_BUDGET_MILLI] == 0)
		return false;
	return spend_budget(&route_of(core, call)->retry_budget);
}

/*
 * Sends a suspect to a target without other attempts. Without such a target it
 * is refused, unless its attempt was on a reused connection: then it is queued
 * like any other call.
 */
static void
retry_on_idle_target(struct dc_core *core, struct dc_call *call)
{
	struct dc_choice choice;

	choice = dc_target_pick(core, &core->pools[call->pool], call);
	if (choice.target == DC_NONE && call->avoid_reused) {
		/* Most likely only the reused connection failed. */
		call->suspect = false;
		core->counters.retries++;
		dc_call_enqueue(core, call);
		return;
	}
	if (choice.target == DC_NONE) {
		dc_call_refuse(core, call, DC_REASON_TARGET_BROKE);
		return;
	}
	core->counters.retries++;
	dc_attempt_send(core, call, choice);
}

static void
send_again(struct dc_core *core, struct dc_call *call)
{
	if (call->suspect) {
		retry_on_idle_target(core, call);
		return;
	}
	core->counters.retries++;
	dc_call_enqueue(core, call);
}

static void
retry_or_refuse(
    struct dc_core *core, struct dc_call *call, enum dc_result result)
{
	enum dc_reason reason = DC_REASON_CONNECT_FAILED;

	if (result == DC_RESULT_CONNECTION_LOST)
		reason = DC_REASON_TARGET_BROKE;
	if (call->suspect && dc_suspect_quarantined(core, call->fingerprint))
		dc_call_refuse(core, call, DC_REASON_QUARANTINED);
	else if (core->now_us >= call->deadline_us)
		dc_call_refuse(core, call, DC_REASON_DEADLINE);
	else if (!may_send_again(core, call, result))
		dc_call_refuse(core, call, reason);
	else
		send_again(core, call);
}

void
dc_attempt_on_sent(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, bool reused)
{
	attempt->state = DC_ATTEMPT_SENT;
	attempt->reused = reused;
	call->may_have_run = true;
	dc_attempt_arm_timer(core, call);
}

/*
 * Moves the estimate up by 95 parts or down by 5, so that it converges to the
 * 95th percentile: the time that 5 of 100 responses exceed.
 */
static void
update_p95(struct dc_route *route, int64_t took_us)
{
	int64_t step = (route->p95_us >> P95_SHIFT) + 1;

	if (route->p95_us == 0)
		route->p95_us = took_us * 2 + 1;
	else if (took_us > route->p95_us)
		route->p95_us += step * P95_PERCENT / 100;
	else
		route->p95_us -= step * (100 - P95_PERCENT) / 100 + 1;
	if (route->p95_us < 1)
		route->p95_us = 1;
}

void
dc_attempt_relay(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *other = &call->attempts[i];

		if (other != attempt && other->state != DC_ATTEMPT_NONE)
			dc_attempt_cancel(core, call, other);
	}
	attempt->state = DC_ATTEMPT_RELAYED;
	call->state = DC_CALL_RELAYING;
	dc_call_clear_timer(core, call);
	dc_action_add(core, DC_ACT_RELAY)->relay = (struct dc_attempt_ref){
	    .call = call->id,
	    .attempt = attempt->number,
	};
}

void
dc_attempt_on_head(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, uint32_t status)
{
	if (status == STATUS_UNAVAILABLE) {
		dc_target_failed(core, attempt);
		if (call->idempotent &&
		    may_send_again(core, call, DC_RESULT_CONNECTION_LOST)) {
			dc_attempt_cancel(core, call, attempt);
			call->avoid_target = attempt->target;
			call->was_shed = true;
			if (dc_attempt_find_active(call) == NULL)
				send_again(core, call);
			return;
		}
	}
	dc_stale_confirm(core, attempt);
	update_p95(route_of(core, call), core->now_us - attempt->started_us);
	dc_attempt_relay(core, call, attempt);
}

void
dc_attempt_finish_relayed(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result)
{
	struct dc_attempt_ref ref = {
	    .call = call->id,
	    .attempt = attempt->number,
	};

	if (attempt->target != DC_NONE && result == DC_RESULT_COMPLETE)
		dc_target_succeeded(core, call, attempt);
	else if (attempt->target != DC_NONE)
		dc_target_failed(core, attempt);
	if (result == DC_RESULT_COMPLETE) {
		dc_suspect_clear(core, call->fingerprint);
		dc_action_add(core, DC_ACT_DONE)->done = ref;
		core->counters.done++;
	} else {
		dc_action_add(core, DC_ACT_ABORT)->abort = ref;
		core->counters.aborted++;
	}
	dc_key_record_end(core, call, DC_KEY_DONE);
	release_attempt(core, call, attempt);
	dc_call_end(core, call);
}

/* Marks a request whose attempt lost its connection; notifies every VM. */
static void
report_suspect(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt)
{
	struct dc_suspect_report report = {
	    .fingerprint = call->fingerprint,
	    .target = core->targets[attempt->target].id,
	    .new_connection = !attempt->reused,
	};

	call->avoid_reused = attempt->reused;
	call->suspect = dc_attempt_find_active(call) == NULL;
	dc_suspect_add(core, &report);
	dc_action_add(core, DC_ACT_MESSAGE)->message = (struct dc_envelope){
	    .message = {.type = DC_MSG_SUSPECT, .suspect = report},
	};
}

void
dc_attempt_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result)
{
	/* A stale or closed reused connection says nothing about the target. */
	if (!attempt->reused)
		dc_target_failed(core, attempt);
	release_attempt(core, call, attempt);
	if (result == DC_RESULT_CONNECTION_LOST)
		report_suspect(core, call, attempt);
	if (result == DC_RESULT_NO_LENGTH)
		dc_call_refuse(core, call, DC_REASON_ANSWER_UNFRAMED);
	else if (dc_attempt_find_active(call) == NULL)
		retry_or_refuse(core, call, result);
}

static int64_t
elapsed_us(const struct dc_core *core, const struct dc_attempt *attempt)
{
	return core->now_us - attempt->started_us;
}

/* Cancels slow attempts on stale connections; the call is sent again. */
static void
cancel_stale(struct dc_core *core, struct dc_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *a = &call->attempts[i];

		if (dc_stale_has_attempt(core, a) && call->idempotent &&
		    elapsed_us(core, a) >= route_of(core, call)->p95_us) {
			dc_attempt_cancel(core, call, a);
			call->resend = true;
			call->avoid_reused = true;
		}
	}
}

static bool
looks_stale(const struct dc_core *core, const struct dc_attempt *attempt,
    const struct dc_route *route)
{
	return attempt->reused &&
	       elapsed_us(core, attempt) >= STALE_FACTOR * route->p95_us;
}

static void
send_hedge(struct dc_core *core, struct dc_call *call, bool new_connection,
    struct dc_choice choice)
{
	core->counters.hedges++;
	call->avoid_reused = new_connection;
	dc_attempt_send(core, call, choice);
}

/*
 * Without a budget or another target, a target whose connections look stale
 * gets one call per PROBE_INTERVAL_US on a new connection: a response to it
 * lets all calls that are stuck on stale connections be sent again.
 */
static void
probe_stale(
    struct dc_core *core, struct dc_call *call, const struct dc_attempt *first)
{
	struct dc_target *target = &core->targets[first->target];

	if (!looks_stale(core, first, route_of(core, call)) ||
	    core->now_us - target->probed_us < PROBE_INTERVAL_US)
		return;
	target->probed_us = core->now_us;
	send_hedge(
	    core, call, true, (struct dc_choice){.target = first->target});
}

static bool
may_hedge(const struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *first)
{
	if (!call->idempotent || call->suspect || call->sends != 1 ||
	    first == NULL || first->state != DC_ATTEMPT_SENT)
		return false;
	return elapsed_us(core, first) >= core->routes[call->route].p95_us;
}

/*
 * Sends a second attempt of a slow idempotent call to another target, if no
 * calls are waiting or the first attempt's connection looks stale.
 */
static void
hedge(struct dc_core *core, struct dc_call *call)
{
	struct dc_route *route = route_of(core, call);
	struct dc_pool *pool = &core->pools[call->pool];
	struct dc_attempt *first = dc_attempt_find_active(call);
	struct dc_choice choice;
	bool stale;

	if (!may_hedge(core, call, first))
		return;
	dc_stale_suspect(core, first);
	stale = looks_stale(core, first, route);
	if (pool->waiting > 0 && !stale)
		return;
	if (!call->was_shed)
		call->avoid_target = first->target;
	choice = dc_target_pick(core, pool, call);
	if (choice.target == DC_NONE || choice.target == first->target) {
		if (call->hedge_tries < HEDGE_TRIES_MAX &&
		    dc_lease_request_spare(core, pool, stale))
			call->hedge_tries++;
		else
			probe_stale(core, call, first);
		return;
	}
	if (spend_budget(&route->hedge_budget) ||
	    (stale && spend_budget(&route->retry_budget)))
		send_hedge(core, call, first->reused, choice);
	else
		probe_stale(core, call, first);
}

/* Cancels attempts that did not connect in time. */
static void
cancel_slow_connects(struct dc_core *core, struct dc_call *call)
{
	int64_t limit_us = core->parameters[DC_P_CONNECT_TIMEOUT_US];
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *a = &call->attempts[i];

		if (a->state != DC_ATTEMPT_CONNECTING ||
		    core->now_us < a->started_us + limit_us)
			continue;
		dc_target_failed(core, a);
		dc_attempt_cancel(core, call, a);
	}
}

void
dc_attempts_on_timer(struct dc_core *core, struct dc_call *call)
{
	cancel_slow_connects(core, call);
	cancel_stale(core, call);
	if (dc_attempt_find_active(call) != NULL) {
		hedge(core, call);
		dc_attempt_arm_timer(core, call);
	} else if (call->resend &&
		   call->sends < core->parameters[DC_P_SENDS_MAX]) {
		call->resend = false;
		send_again(core, call);
	} else {
		retry_or_refuse(core, call, DC_RESULT_NOT_SENT);
	}
}
