/*
 * Stale connections: open, but no data arrives any more, because a device
 * between the two ends has dropped their state. An attempt on a reused
 * connection that takes longer than the 95th percentile raises the suspicion;
 * further calls to the target then open new connections. A response on one of
 * these shows that the target works and its older connections are stale; the
 * calls that are stuck on them are sent again. Their number is bounded by the
 * slots, so they need no budget.
 */
#include "decide_internal.h"

/* A suspicion that is not confirmed in this time is dropped. */
#define SUSPICION_LIFE_US 5000000
/* Limits the cost of new connections that slow calls cause, per target. */
#define RETIRE_INTERVAL_US 100000

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
	    core->now_us - target->connections_retired_us < RETIRE_INTERVAL_US)
		return;
	target->connections_retired_us = core->now_us;
	target->stale_suspected_us = core->now_us;
	dc_action_add(core, DC_ACT_RETIRE_CONNECTIONS)->retire =
	    (struct dc_retire_connections){.target = target->id};
}

/* Returns whether the attempt is on a connection known to be stale. */
bool
dc_stale_has_attempt(
    const struct dc_core *core, const struct dc_attempt *attempt)
{
	return attempt->state == DC_ATTEMPT_SENT && attempt->reused &&
	       attempt->target != DC_NONE &&
	       attempt->started_us <
		   core->targets[attempt->target].stale_before_us;
}

/* Sets the timers of calls that are stuck on the target's stale connections. */
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

/* A response on a new connection confirms a suspicion. */
void
dc_stale_confirm(struct dc_core *core, const struct dc_attempt *attempt)
{
	struct dc_target *target = &core->targets[attempt->target];

	if (attempt->reused || !is_suspected(core, target) ||
	    attempt->started_us < target->stale_suspected_us)
		return;
	core->counters.stale_detections++;
	target->stale_before_us = target->stale_suspected_us;
	target->stale_suspected_us = 0;
	check_stale_attempts(core, attempt->target);
}
