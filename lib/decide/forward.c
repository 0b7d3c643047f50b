/*
 * Calls whose key's home is another entry VM: forwarded there, and when the
 * home is gone or silent, decided by the key's witness. Nothing is ever sent
 * to a target from here.
 */
#include "decide_internal.h"

#define PATIENCE_US 500000 /* without a head: the witness is asked as well */
#define KILL_TIMEOUT_US 500000

static void
arm(struct dc_core *core, struct dc_call *call, int64_t after_us)
{
	int64_t at_us = core->now_us + after_us;

	if (at_us > call->deadline_us)
		at_us = call->deadline_us;
	dc_call_set_timer(core, call, at_us);
}

static void
settle_kill(
    struct dc_core *core, struct dc_call *call, enum dc_kill_result result)
{
	if (result == DC_KILL_DONE) {
		call->maybe_ran = false;
		dc_call_refuse(core, call, DC_REASON_KEY_KILLED);
		return;
	}
	call->maybe_ran = true;
	if (dc_attempt_live(call) == NULL)
		dc_call_refuse(core, call, DC_REASON_KEY_HOME_GONE);
	else
		dc_call_set_timer(core, call, call->deadline_us);
}

static void
ask_witness(struct dc_core *core, struct dc_call *call)
{
	struct dc_key_kill kill = {
	    .a = call->key.a,
	    .b = call->key.b,
	    .witness_epoch = call->key.witness_epoch,
	    .window = call->key.window,
	    .ticket = call->id,
	};
	uint32_t witness = dc_peer_find(core, call->key.witness);

	call->kill_asked = true;
	if (witness == DC_SELF) {
		settle_kill(core, call, dc_witness_kill(core, &kill));
		return;
	}
	if (witness == DC_NONE || core->peers[witness].state == DC_PEER_DEAD) {
		settle_kill(core, call, DC_KILL_UNKNOWN);
		return;
	}
	dc_peer_send(core, witness,
	    &(struct dc_message){.type = DC_MSG_KEY_KILL, .kill = kill});
	arm(core, call, KILL_TIMEOUT_US);
}

void
dc_forward_begin(struct dc_core *core, struct dc_call *call)
{
	uint32_t home = dc_peer_find(core, call->key.home);
	struct dc_attempt *attempt = dc_attempt_free(call);

	call->state = DC_CALL_FORWARDING;
	if (home == DC_NONE || core->peers[home].state == DC_PEER_DEAD ||
	    core->peers[home].epoch != call->key.home_epoch) {
		ask_witness(core, call);
		return;
	}
	*attempt = (struct dc_attempt){
	    .state = DC_ATTEMPT_CONNECTING,
	    .number = ++call->sends,
	    .target = DC_NONE,
	    .started_us = core->now_us,
	};
	dc_act(core, DC_ACT_FORWARD)->forward = (struct dc_send){
	    .call = call->id,
	    .attempt = attempt->number,
	    .target = call->key.home,
	    .deadline_us = call->deadline_us,
	    .fresh = true,
	};
	arm(core, call, PATIENCE_US);
}

void
dc_forward_on_sent(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt)
{
	(void)core;
	attempt->state = DC_ATTEMPT_SENT;
	call->maybe_ran = true;
}

void
dc_forward_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result)
{
	(void)result;
	attempt->state = DC_ATTEMPT_NONE;
	if (call->kill_asked)
		return; /* the witness's answer or the timer settles it */
	ask_witness(core, call);
}

void
dc_forward_on_kill_result(
    struct dc_core *core, const struct dc_key_kill_result *result)
{
	struct dc_call *call = dc_call_find(core, result->ticket);

	if (call == NULL || call->state != DC_CALL_FORWARDING ||
	    !call->kill_asked)
		return;
	settle_kill(core, call, (enum dc_kill_result)result->result);
}

void
dc_forward_on_timer(struct dc_core *core, struct dc_call *call)
{
	if (!call->kill_asked && core->now_us < call->deadline_us) {
		ask_witness(core, call);
		return;
	}
	call->maybe_ran = true;
	if (core->now_us >= call->deadline_us || dc_attempt_live(call) == NULL)
		dc_call_refuse(core, call, DC_REASON_KEY_HOME_GONE);
	else
		dc_call_set_timer(core, call, call->deadline_us);
}
