/* The core's entry points: creation, parameters, the step, the self-check. */
#include <stdlib.h>
#include <string.h>

#include "decide_internal.h"

/* A step stops early when fewer actions than this are left. */
#define ACTIONS_RESERVE 16

static const struct dc_parameter_info parameters[DC_P_COUNT] = {
    [DC_P_QUEUE_MAX] = {"queue_max", 1, DC_CALLS_MAX, 2048},
    [DC_P_CONNECTIONS_PER_TARGET] = {"connections_per_target", 1, 1024, 13},
    [DC_P_CONNECT_TIMEOUT_US] = {"connect_timeout_us", 1000, 10000000, 250000},
    [DC_P_SENDS_MAX] = {"sends_max", 1, 8, 3},
    [DC_P_RETRY_BUDGET_MILLI] = {"retry_budget_milli", 0, 1000, 100},
    [DC_P_HEDGE_BUDGET_MILLI] = {"hedge_budget_milli", 0, 1000, 50},
    [DC_P_EJECT_FAILURES] = {"eject_failures", 1, 1000, 3},
    [DC_P_EJECT_US] = {"eject_us", 1000, 60000000, 100000},
    [DC_P_QUARANTINE_US] = {"quarantine_us", 1000000, 3600000000LL, 600000000},
    [DC_P_DISPATCH] = {"dispatch", 0, 0, DC_DISPATCH_TWO_CHOICES},
};

struct dc_core *
dc_core_create(uint64_t seed)
{
	struct dc_core *core = calloc(1, sizeof(*core));
	uint32_t i;

	if (core == NULL)
		return NULL;
	cs_random_seed(&core->random, seed);
	for (i = 0; i < DC_P_COUNT; i++)
		core->parameters[i] = parameters[i].initial;
	core->loading_pool = DC_NONE;
	core->pools_wake_us = INT64_MAX;
	dc_calls_init(core);
	return core;
}

void
dc_core_free(struct dc_core *core)
{
	free(core);
}

int
dc_parameter_info(uint32_t index, struct dc_parameter_info *out)
{
	if (index >= DC_P_COUNT)
		return CS_E_MISSING;
	*out = parameters[index];
	return CS_OK;
}

int
dc_parameter_set(struct dc_core *core, const char *name, int64_t value)
{
	uint32_t i;

	for (i = 0; i < DC_P_COUNT; i++) {
		if (strcmp(parameters[i].name, name) != 0)
			continue;
		if (value < parameters[i].min || value > parameters[i].max)
			return CS_E_INVALID;
		core->parameters[i] = value;
		return CS_OK;
	}
	return CS_E_MISSING;
}

struct dc_action *
dc_act(struct dc_core *core, enum dc_action_type type)
{
	struct dc_action *action;

	action = &core->actions->items[core->actions->count++];
	action->type = type;
	return action;
}

bool
dc_room_for_actions(const struct dc_core *core)
{
	return core->actions->count + ACTIONS_RESERVE < DC_ACTIONS_MAX;
}

static struct dc_attempt *
find_attempt(
    struct dc_core *core, uint64_t id, uint32_t number, struct dc_call **call)
{
	uint32_t i;

	*call = dc_call_find(core, id);
	if (*call == NULL)
		return NULL;
	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct dc_attempt *attempt = &(*call)->attempts[i];

		if (attempt->state != DC_ATTEMPT_NONE &&
		    attempt->number == number)
			return attempt;
	}
	return NULL;
}

static int
on_sent(struct dc_core *core, const struct dc_attempt_sent *event)
{
	struct dc_call *call;
	struct dc_attempt *attempt;

	attempt = find_attempt(core, event->call, event->attempt, &call);
	if (attempt == NULL || attempt->state != DC_ATTEMPT_CONNECTING)
		return CS_E_INVALID;
	dc_attempt_on_sent(core, call, attempt, event->reused);
	return CS_OK;
}

static int
on_head(struct dc_core *core, const struct dc_attempt_head *event)
{
	struct dc_call *call;
	struct dc_attempt *attempt;

	attempt = find_attempt(core, event->call, event->attempt, &call);
	if (attempt == NULL || attempt->state != DC_ATTEMPT_SENT)
		return CS_E_INVALID;
	dc_attempt_on_head(core, call, attempt, event->status);
	return CS_OK;
}

/* Whether a result fits the state that the attempt is in. */
static bool
result_fits(const struct dc_attempt *attempt, uint8_t result)
{
	switch (attempt->state) {
	case DC_ATTEMPT_CONNECTING:
		return result == DC_RESULT_NOT_SENT;
	case DC_ATTEMPT_SENT:
		return result == DC_RESULT_BROKEN ||
		       result == DC_RESULT_UNFRAMED;
	case DC_ATTEMPT_RELAYED:
		return result == DC_RESULT_WHOLE ||
		       result == DC_RESULT_TRUNCATED;
	case DC_ATTEMPT_NONE:
		break;
	}
	return false;
}

static int
on_ended(struct dc_core *core, const struct dc_attempt_ended *event)
{
	struct dc_call *call;
	struct dc_attempt *attempt;

	attempt = find_attempt(core, event->call, event->attempt, &call);
	if (attempt == NULL || !result_fits(attempt, event->result))
		return CS_E_INVALID;
	dc_attempt_on_end(core, call, attempt, (enum dc_result)event->result);
	return CS_OK;
}

static int
on_left(struct dc_core *core, const struct dc_call_left *event)
{
	struct dc_call *call = dc_call_find(core, event->call);

	if (call == NULL)
		return CS_E_INVALID;
	dc_call_leave(core, call);
	return CS_OK;
}

static int
on_drains(struct dc_core *core, const struct dc_target_drains *event)
{
	uint32_t target = dc_target_find(core, event->target);

	if (target == DC_NONE)
		return CS_E_INVALID;
	core->targets[target].drain_signal = event->drain;
	dc_pool_dispatch(core, &core->pools[core->targets[target].pool]);
	return CS_OK;
}

static void
dispatch_waiting(struct dc_core *core)
{
	uint32_t i;

	core->pools_wake_us = INT64_MAX;
	for (i = 0; i < DC_POOLS_MAX; i++) {
		if (core->pools[i].waiting > 0)
			dc_pool_dispatch(core, &core->pools[i]);
	}
}

static int
on_timer(struct dc_core *core)
{
	while (core->timers.root != DC_NONE && dc_room_for_actions(core)) {
		struct dc_call *call = &core->calls[core->timers.root];

		if (call->nodes[DC_NODE_TIMER].key > core->now_us)
			break;
		dc_heap_pop(core, &core->timers);
		dc_call_on_timer(core, call);
	}
	if (core->pools_wake_us <= core->now_us)
		dispatch_waiting(core);
	return CS_OK;
}

int
dc_step(struct dc_core *core, const struct dc_event *event, int64_t now_us,
    struct dc_actions *actions)
{
	actions->count = 0;
	core->actions = actions;
	core->now_us = now_us;
	switch (event->type) {
	case DC_EV_TABLE_BEGIN:
	case DC_EV_TABLE_POOL:
	case DC_EV_TABLE_TARGET:
	case DC_EV_TABLE_SHARE:
	case DC_EV_TABLE_ROUTE:
	case DC_EV_TABLE_END:
		return dc_table_event(core, event);
	case DC_EV_CALL_ARRIVED:
		return dc_call_arrive(core, &event->arrived);
	case DC_EV_CALL_LEFT:
		return on_left(core, &event->left);
	case DC_EV_ATTEMPT_SENT:
		return on_sent(core, &event->sent);
	case DC_EV_ATTEMPT_HEAD:
		return on_head(core, &event->head);
	case DC_EV_ATTEMPT_ENDED:
		return on_ended(core, &event->ended);
	case DC_EV_TARGET_DRAINS:
		return on_drains(core, &event->drains);
	case DC_EV_STOPPING:
		core->stopping = true;
		return CS_OK;
	case DC_EV_TIMER:
		return on_timer(core);
	}
	return CS_E_INVALID;
}

int64_t
dc_wake_us(const struct dc_core *core)
{
	int64_t at_us = core->pools_wake_us;

	if (core->timers.root != DC_NONE) {
		const struct dc_call *call = &core->calls[core->timers.root];

		if (call->nodes[DC_NODE_TIMER].key < at_us)
			at_us = call->nodes[DC_NODE_TIMER].key;
	}
	return at_us;
}

void
dc_counters(const struct dc_core *core, struct dc_counters *out)
{
	*out = core->counters;
}
