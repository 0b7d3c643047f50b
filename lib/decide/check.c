/* Invariants of the whole state, and the names of reasons. */
#include "decide_internal.h"

static uint32_t
live_attempts(const struct dc_call *call)
{
	uint32_t i, live = 0;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++)
		live += call->attempts[i].state != DC_ATTEMPT_NONE;
	return live;
}

static const char *
check_call(const struct dc_call *call)
{
	bool has_timer = call->nodes[DC_NODE_TIMER].linked;
	uint32_t live = live_attempts(call);

	switch (call->state) {
	case DC_CALL_FREE:
		return NULL;
	case DC_CALL_CLAIMING:
		if (live != 0)
			return "a call that claims its key has an attempt";
		return has_timer ? NULL
				 : "a call that claims its key has no timer";
	case DC_CALL_WAITING:
		if (live != 0)
			return "a waiting call has an attempt";
		if (!call->nodes[DC_NODE_QUEUE].linked)
			return "a waiting call is in no queue";
		return has_timer ? NULL : "a waiting call has no timer";
	case DC_CALL_RUNNING:
		if (live == 0)
			return "a running call has no attempt";
		if (!call->idempotent && live > 1)
			return "a non-idempotent call has two attempts";
		return has_timer ? NULL : "a running call has no timer";
	case DC_CALL_FORWARDING:
		return has_timer ? NULL : "a forwarded call has no timer";
	case DC_CALL_RELAYING:
		return live == 1
			   ? NULL
			   : "a relayed call does not have exactly one attempt";
	}
	return "a call has an invalid state";
}

/* Attempts at one target, counted from the calls. */
struct load {
	uint32_t in_flight;
	uint32_t leases_in_use;
};

static void
add_load(const struct dc_call *call, struct load *loads)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		const struct dc_attempt *attempt = &call->attempts[i];

		if (attempt->state == DC_ATTEMPT_NONE ||
		    attempt->target == DC_NONE)
			continue;
		loads[attempt->target].in_flight++;
		loads[attempt->target].leases_in_use += attempt->leased;
	}
}

static const char *
check_target(const struct dc_target *target, const struct load *load)
{
	uint32_t i, granted = 0;

	if (load->in_flight != target->in_flight)
		return "a target's count of attempts is wrong";
	if (load->leases_in_use != target->leases_in_use)
		return "a target's count of leased attempts is wrong";
	if (target->in_flight != target->leases_in_use + target->unleased)
		return "a target's attempts are not the sum of leased and "
		       "unleased";
	if (target->leases_in_use > target->leased)
		return "a target has more leases in use than leased";
	for (i = 0; i < DC_PEERS_MAX; i++)
		granted += target->granted_to[i];
	if (granted != target->granted)
		return "a target's grants are not the sum over the peers";
	return NULL;
}

static const char *
check_calls(const struct dc_core *core, struct load *loads)
{
	uint32_t i, waiting = 0, running = 0;

	for (i = 0; i < DC_CALLS_MAX; i++) {
		const struct dc_call *call = &core->calls[i];
		const char *violation = check_call(call);

		if (violation != NULL)
			return violation;
		if (call->state == DC_CALL_FREE)
			continue;
		waiting += call->state == DC_CALL_WAITING;
		running += call->state != DC_CALL_WAITING;
		add_load(call, loads);
	}
	if (waiting != core->counters.waiting)
		return "the count of waiting calls is wrong";
	if (running != core->counters.running)
		return "the count of running calls is wrong";
	return NULL;
}

const char *
dc_check(const struct dc_core *core)
{
	struct load loads[DC_TARGETS_MAX] = {0};
	const char *violation = check_calls(core, loads);
	uint32_t i;

	for (i = 0; i < DC_TARGETS_MAX && violation == NULL; i++) {
		if (core->targets[i].used)
			violation = check_target(&core->targets[i], &loads[i]);
	}
	for (i = 0; i < DC_POOLS_MAX && violation == NULL; i++) {
		if (core->pools[i].waiting > DC_CALLS_MAX)
			violation = "a queue is longer than DC_CALLS_MAX";
	}
	return violation;
}

const char *
dc_reason_text(enum dc_reason reason)
{
	switch (reason) {
	case DC_REASON_NONE:
		return "none";
	case DC_REASON_NO_ROUTE:
		return "no_route";
	case DC_REASON_NO_TARGET:
		return "no_target";
	case DC_REASON_QUEUE_FULL:
		return "queue_full";
	case DC_REASON_WOULD_BE_LATE:
		return "would_be_late";
	case DC_REASON_DEADLINE:
		return "deadline";
	case DC_REASON_CONNECT_FAILED:
		return "connect_failed";
	case DC_REASON_TARGET_BROKE:
		return "target_broke";
	case DC_REASON_QUARANTINED:
		return "quarantined";
	case DC_REASON_CALLS_FULL:
		return "calls_full";
	case DC_REASON_STOPPING:
		return "stopping";
	case DC_REASON_NO_CONFIG:
		return "no_config";
	case DC_REASON_TOO_DEEP:
		return "too_deep";
	case DC_REASON_UPLOAD_MEMORY:
		return "upload_memory";
	case DC_REASON_BAD_REQUEST:
		return "bad_request";
	case DC_REASON_BODY_TOO_LARGE:
		return "body_too_large";
	case DC_REASON_ANSWER_UNFRAMED:
		return "answer_unframed";
	case DC_REASON_DISPLACED:
		return "displaced";
	case DC_REASON_CALLER_LEFT:
		return "caller_left";
	case DC_REASON_KEY_IN_PROGRESS:
		return "key_in_progress";
	case DC_REASON_KEY_RAN:
		return "key_ran";
	case DC_REASON_KEY_UNSURE:
		return "key_unsure";
	case DC_REASON_KEY_KILLED:
		return "key_killed";
	case DC_REASON_KEY_NO_WITNESS:
		return "key_no_witness";
	case DC_REASON_KEY_STORE:
		return "key_store";
	case DC_REASON_KEY_HOME_GONE:
		return "key_home_gone";
	case DC_REASON_KEY_NOT_HOME:
		return "key_not_home";
	case DC_REASON_KEYS_FULL:
		return "keys_full";
	}
	return "unlisted";
}
