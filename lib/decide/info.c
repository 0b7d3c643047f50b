/* Counters and state of the core, for operators and tests. */
#include "decide_internal.h"

void
dc_counters(const struct dc_core *core, struct dc_counters *out)
{
	*out = core->counters;
}

int
dc_target_info(
    const struct dc_core *core, uint32_t index, struct dc_target_info *out)
{
	const struct dc_target *target;
	const struct dc_group *group;

	if (index >= DC_TARGETS_MAX)
		return CS_E_MISSING;
	target = &core->targets[index];
	*out = (struct dc_target_info){0};
	if (!target->used || !target->listed)
		return CS_OK;
	group = &core->groups[target->group];
	*out = (struct dc_target_info){
	    .id = target->id,
	    .slots = target->slots,
	    .in_flight = target->in_flight,
	    .leased = target->leased,
	    .granted = target->granted,
	    .service_us = target->service_us,
	    .ejected = target->ejected_until_us > core->now_us,
	    .draining = !dc_target_accepts_calls(target),
	};
	if (group->owner != DC_NONE)
		out->owner = core->peers[group->owner].id;
	return CS_OK;
}

bool
dc_call_waits(struct dc_core *core, uint64_t call)
{
	const struct dc_call *found = dc_call_find(core, call);

	return found != NULL && found->state == DC_CALL_WAITING;
}

int
dc_quarantined(
    const struct dc_core *core, uint32_t index, uint64_t *fingerprint)
{
	if (index >= DC_SUSPECTS_MAX)
		return CS_E_MISSING;
	*fingerprint = 0;
	if (dc_suspect_quarantined(core, core->suspects[index].fingerprint))
		*fingerprint = core->suspects[index].fingerprint;
	return CS_OK;
}
