/*
 * Open connections that went silent for good, because something between the
 * two ends has lost track of them. A call that is slower than most on a
 * connection used before is a first sign: further calls open new connections.
 * When one of these answers, the target is well and its old connections are
 * not; the calls that are stuck on them are sent again. Their number is bounded
 * by the slots, so they need no budget.
 */
#include "decide_internal.h"

/* A suspicion that nothing has confirmed by then is dropped. */
#define SUSPICION_LIFE_US 5000000
/* New connections cost: stragglers must not ask for them all the time. */
#define FLUSH_INTERVAL_US 100000

static bool
is_suspected(const struct dc_core *core, const struct dc_target *target)
{
	return target->stale_suspected_us != 0 &&
	       core->now_us - target->stale_suspected_us < SUSPICION_LIFE_US;
}

void
dc_stale_suspect(struct dc_core *core, const struct dc_attempt *attempt)
{
	struct dc_target *target = &core->targets[attempt->target];

	if (!attempt->reused || is_suspected(core, target) ||
	    core->now_us - target->flushed_us < FLUSH_INTERVAL_US)
		return;
	target->flushed_us = core->now_us;
	target->stale_suspected_us = core->now_us;
	dc_action_add(core, DC_ACT_FLUSH)->flush =
	    (struct dc_flush){.target = target->id};
}

/* Whether the attempt is on a connection that is known to be silent. */
bool
dc_stale_has_attempt(
    const struct dc_core *core, const struct dc_attempt *attempt)
{
	return attempt->state == DC_ATTEMPT_SENT && attempt->reused &&
	       attempt->target != DC_NONE &&
	       attempt->started_us <
		   core->targets[attempt->target].stale_before_us;
}

/* Has the calls looked at that are stuck on the target's old connections. */
static void
check_stale_attempts(struct dc_core *core, uint32_t target)
{
	uint32_t i, j;

	for (i = 0; i < DC_CALLS_MAX; i++) {
		struct dc_call *call = &core->calls[i];

		if (call->state != DC_CALL_RUNNING || !call->idempotent)
			continue;
		for (j = 0; j < DC_ATTEMPTS_MAX; j++) {
			if (call->attempts[j].target == target &&
			    dc_stale_has_attempt(core, &call->attempts[j]))
				dc_attempt_arm_timer(core, call);
		}
	}
}

/* An answer on a new connection settles a suspicion. */
void
dc_stale_confirm(struct dc_core *core, const struct dc_attempt *attempt)
{
	struct dc_target *target = &core->targets[attempt->target];

	if (attempt->reused || !is_suspected(core, target) ||
	    attempt->started_us < target->stale_suspected_us)
		return;
	core->counters.silences++;
	target->stale_before_us = target->stale_suspected_us;
	target->stale_suspected_us = 0;
	check_stale_attempts(core, attempt->target);
}
