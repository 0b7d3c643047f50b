/*
 * Calls whose key has its home at another entry VM. They are forwarded to the
 * home. When the home is lost or does not respond, the key's witness is asked
 * to kill the key. These calls are never sent to a target by this VM.
 */
#include "decide_internal.h"

/* Time for the home to send a response head, until the witness is asked too. */
#define HOME_RESPONSE_TIMEOUT_US 500000
#define KILL_TIMEOUT_US 500000

static void
set_timer(struct dc_core *core, struct dc_call *call, int64_t after_us)
{
	int64_t at_us = core->now_us + after_us;

	if (at_us > call->deadline_us)
		at_us = call->deadline_us;
	dc_call_set_timer(core, call, at_us);
}

static void
handle_kill_result(
    struct dc_core *core, struct dc_call *call, enum dc_kill_result result)
{
	if (result == DC_KILL_DONE) {
		call->may_have_run = false;
		dc_call_refuse(core, call, DC_REASON_KEY_KILLED);
		return;
	}
	call->may_have_run = true;
	if (dc_attempt_find_active(call) == NULL)
		dc_call_refuse(core, call, DC_REASON_KEY_HOME_GONE);
	else
		dc_call_set_timer(core, call, call->deadline_us);
}

static void
request_kill(struct dc_core *core, struct dc_call *call)
{
	struct dc_key_kill kill = {
	    .a = call->key.a,
	    .b = call->key.b,
	    .witness_epoch = call->key.witness_epoch,
	    .window = call->key.window,
	    .ticket = call->id,
	};
	uint32_t witness = dc_peer_find(core, call->key.witness);

	call->kill_requested = true;
	if (witness == DC_SELF) {
		handle_kill_result(core, call, dc_witness_kill(core, &kill));
		return;
	}
	if (witness == DC_NONE || core->peers[witness].state == DC_PEER_DEAD) {
		handle_kill_result(core, call, DC_KILL_UNKNOWN);
		return;
	}
	dc_peer_send(core, witness,
	    &(struct dc_message){.type = DC_MSG_KEY_KILL, .kill = kill});
	set_timer(core, call, KILL_TIMEOUT_US);
}

void
dc_forward_begin(struct dc_core *core, struct dc_call *call)
{
	uint32_t home = dc_peer_find(core, call->key.home);
	struct dc_attempt *attempt = dc_attempt_find_free(call);

	call->state = DC_CALL_FORWARDING;
	if (home == DC_NONE || core->peers[home].state == DC_PEER_DEAD ||
	    core->peers[home].epoch != call->key.home_epoch) {
		request_kill(core, call);
		return;
	}
	*attempt = (struct dc_attempt){
	    .state = DC_ATTEMPT_CONNECTING,
	    .number = ++call->sends,
	    .target = DC_NONE,
	    .started_us = core->now_us,
	};
	dc_action_add(core, DC_ACT_FORWARD)->forward = (struct dc_send){
	    .call = call->id,
	    .attempt = attempt->number,
	    .target = call->key.home,
	    .deadline_us = call->deadline_us,
	    .new_connection = true,
	};
	set_timer(core, call, HOME_RESPONSE_TIMEOUT_US);
}

void
dc_forward_on_sent(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	(void)core;
	attempt->state = DC_ATTEMPT_SENT;
	call->may_have_run = true;
}

void
dc_forward_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result)
{
	(void)result;
	attempt->state = DC_ATTEMPT_NONE;
	if (call->kill_requested)
		return; /* the witness's result or the timer ends the call */
	request_kill(core, call);
}

void
dc_forward_on_kill_result(
    struct dc_core *core, const struct dc_key_kill_result *result)
{
	struct dc_call *call = dc_call_find(core, result->ticket);

	if (call == NULL || call->state != DC_CALL_FORWARDING ||
	    !call->kill_requested)
		return;
	handle_kill_result(core, call, (enum dc_kill_result)result->result);
}

void
dc_forward_on_timer(struct dc_core *core, struct dc_call *call)
{
	if (!call->kill_requested && core->now_us < call->deadline_us) {
		request_kill(core, call);
		return;
	}
	call->may_have_run = true;
	if (core->now_us >= call->deadline_us ||
	    dc_attempt_find_active(call) == NULL)
		dc_call_refuse(core, call, DC_REASON_KEY_HOME_GONE);
	else
		dc_call_set_timer(core, call, call->deadline_us);
}
