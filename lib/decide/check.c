/* Invariants of the whole state, and the names of the reasons. */
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
	uint32_t live = live_attempts(call);

	switch (call->state) {
	case DC_CALL_FREE:
		return NULL;
	case DC_CALL_WAITING:
		if (live != 0)
			return "a waiting call has an attempt";
		if (!call->nodes[DC_NODE_QUEUE].linked)
			return "a waiting call is in no queue";
		if (!call->nodes[DC_NODE_TIMER].linked)
			return "a waiting call has no timer";
		return NULL;
	case DC_CALL_RUNNING:
		if (live == 0)
			return "a running call has no attempt";
		if (!call->nodes[DC_NODE_TIMER].linked)
			return "a running call has no timer";
		if (!call->idempotent && live > 1)
			return "non-idempotent work runs twice";
		return NULL;
	case DC_CALL_RELAYING:
		return live == 1 ? NULL : "a relayed call has other attempts";
	}
	return "a call is in no known state";
}

const char *
dc_check(const struct dc_core *core)
{
	static uint32_t in_flight[DC_TARGETS_MAX];
	uint32_t i, j, waiting = 0, running = 0;

	for (i = 0; i < DC_TARGETS_MAX; i++)
		in_flight[i] = 0;
	for (i = 0; i < DC_CALLS_MAX; i++) {
		const struct dc_call *call = &core->calls[i];
		const char *fault = check_call(call);

		if (fault != NULL)
			return fault;
		if (call->state == DC_CALL_FREE)
			continue;
		waiting += call->state == DC_CALL_WAITING;
		running += call->state != DC_CALL_WAITING;
		for (j = 0; j < DC_ATTEMPTS_MAX; j++) {
			if (call->attempts[j].state != DC_ATTEMPT_NONE)
				in_flight[call->attempts[j].target]++;
		}
	}
	if (waiting != core->counters.waiting)
		return "the count of waiting calls is wrong";
	if (running != core->counters.running)
		return "the count of running calls is wrong";
	for (i = 0; i < DC_TARGETS_MAX; i++) {
		if (in_flight[i] != core->targets[i].in_flight)
			return "a target's count of calls is wrong";
	}
	return NULL;
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
	}
	return "unlisted";
}
