/* Creation of the core, its parameters, and the handling of events. */
#include <stdlib.h>
#include <string.h>

#include "decide_internal.h"

/* A step stops early when no more free actions than this are left. */
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
    [DC_P_DISPATCH] = {"dispatch", DC_DISPATCH_TWO_CHOICES, DC_DISPATCH_LEASES,
	DC_DISPATCH_LEASES},
    [DC_P_LEASE_OVER_COMMIT] = {"lease_over_commit", 0, 16, 1},
    [DC_P_LEASE_FALLBACK_US] = {"lease_fallback_us", 1000, 1000000, 25000},
    [DC_P_SPILL_US] = {"spill_us", 1000, 10000000, 30000},
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
	core->witness = DC_NONE;
	core->next_pool_check_us = INT64_MAX;
	core->next_window_request_us = INT64_MAX;
	dc_calls_init(core);
	if (dc_key_table_init(&core->home_keys, DC_KEYS_MAX) != CS_OK ||
	    dc_key_table_init(&core->witnessed, DC_WITNESSED_MAX) != CS_OK) {
		dc_core_free(core);
		return NULL;
	}
	return core;
}

void
dc_core_free(struct dc_core *core)
{
	dc_key_table_free(&core->home_keys);
	dc_key_table_free(&core->witnessed);
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
dc_action_add(struct dc_core *core, enum dc_action_type type)
{
	struct dc_action *action;

	action = &core->actions->items[core->actions->count++];
	action->type = type;
	return action;
}

bool
dc_actions_have_room(const struct dc_core *core)
{
	return core->actions->count + ACTIONS_RESERVE < DC_ACTIONS_MAX;
}

static struct dc_attempt *
find_attempt(
    struct dc_core *core, uint64_t id, uint64_t number, struct dc_call **call)
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

static bool
is_forwarded(const struct dc_attempt *attempt)
{
	return attempt->target == DC_NONE;
}

static int
on_self(struct dc_core *core, const struct dc_self *event)
{
	if (core->peer_count != 0)
		return CS_E_INVALID;
	core->started_us = core->now_us;
	core->peers[DC_SELF] = (struct dc_peer){
	    .id = event->peer,
	    .epoch = event->epoch,
	    .region = event->region,
	    .state = DC_PEER_ALIVE,
	};
	core->peer_count = 1;
	return CS_OK;
}

static int
on_sent(struct dc_core *core, const struct dc_attempt_sent *event)
{
	struct dc_call *call;
	struct dc_attempt *attempt;

	attempt = find_attempt(core, event->call, event->attempt, &call);
	if (attempt == NULL || attempt->state != DC_ATTEMPT_CONNECTING)
		return CS_E_INVALID;
	if (is_forwarded(attempt))
		dc_forward_on_sent(core, call, attempt);
	else
		dc_attempt_on_sent(core, call, attempt, event->reused != 0);
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
	if (is_forwarded(attempt))
		dc_attempt_relay(core, call, attempt);
	else
		dc_attempt_on_head(
		    core, call, attempt, (uint32_t)event->status);
	return CS_OK;
}

/* Returns whether an attempt in its present state can end in this way. */
static bool
result_fits(const struct dc_attempt *attempt, uint64_t result)
{
	switch (attempt->state) {
	case DC_ATTEMPT_CONNECTING:
		return result == DC_RESULT_NOT_SENT;
	case DC_ATTEMPT_SENT:
		return result == DC_RESULT_CONNECTION_LOST ||
		       result == DC_RESULT_NO_LENGTH ||
		       (result == DC_RESULT_NOT_HOME && is_forwarded(attempt));
	case DC_ATTEMPT_RELAYED:
		return result == DC_RESULT_COMPLETE ||
		       result == DC_RESULT_TRUNCATED;
	case DC_ATTEMPT_NONE:
		break;
	}
	return false;
}

static int
on_ended(struct dc_core *core, const struct dc_attempt_ended *event)
{
	enum dc_result result = (enum dc_result)event->result;
	struct dc_call *call;
	struct dc_attempt *attempt;

	attempt = find_attempt(core, event->call, event->attempt, &call);
	if (attempt == NULL || !result_fits(attempt, event->result))
		return CS_E_INVALID;
	if (attempt->state == DC_ATTEMPT_RELAYED)
		dc_attempt_finish_relayed(core, call, attempt, result);
	else if (is_forwarded(attempt))
		dc_forward_on_end(core, call, attempt, result);
	else
		dc_attempt_on_end(core, call, attempt, result);
	return CS_OK;
}

static int
on_caller_disconnected(
    struct dc_core *core, const struct dc_caller_disconnected *event)
{
	struct dc_call *call = dc_call_find(core, event->call);

	if (call == NULL)
		return CS_E_INVALID;
	dc_call_on_disconnect(core, call);
	return CS_OK;
}

static int
on_store_claimed(struct dc_core *core, const struct dc_store_claimed *event)
{
	struct dc_call *call = dc_call_find(core, event->call);

	if (call == NULL || call->state != DC_CALL_CLAIMING ||
	    call->key.scope != DC_KEY_STORE || call->answers_left != 0 ||
	    event->result > DC_STORE_UNAVAILABLE)
		return CS_E_INVALID;
	dc_bare_on_store_result(core, call, event);
	return CS_OK;
}

/* This VM learnt it first and notifies every other entry VM. */
static int
on_target_draining(struct dc_core *core, const struct dc_target_draining *event)
{
	uint32_t index = dc_target_find(core, event->target);
	struct dc_target *target;

	if (index == DC_NONE)
		return CS_E_INVALID;
	target = &core->targets[index];
	if (target->drain_signal == (event->drain != 0))
		return CS_OK;
	target->drain_signal = event->drain != 0;
	dc_lease_return_idle(core, target);
	dc_pool_mark_ready(&core->pools[target->pool]);
	dc_action_add(core, DC_ACT_MESSAGE)->message = (struct dc_envelope){
	    .message = {.type = DC_MSG_TARGET_DRAINING, .draining = *event},
	};
	return CS_OK;
}

static void
call_on_timer(struct dc_core *core, struct dc_call *call)
{
	switch (call->state) {
	case DC_CALL_CLAIMING:
		dc_key_on_timer(core, call);
		return;
	case DC_CALL_FORWARDING:
		dc_forward_on_timer(core, call);
		return;
	case DC_CALL_WAITING:
		dc_call_refuse(core, call, DC_REASON_DEADLINE);
		return;
	case DC_CALL_RUNNING:
		if (core->now_us >= call->deadline_us)
			dc_call_refuse(core, call, DC_REASON_DEADLINE);
		else
			dc_attempts_on_timer(core, call);
		return;
	case DC_CALL_RELAYING:
	case DC_CALL_FREE:
		return;
	}
}

static void
check_waiting_pools(struct dc_core *core)
{
	uint32_t i;

	core->next_pool_check_us = INT64_MAX;
	dc_owner_on_timer(core);
	for (i = 0; i < DC_POOLS_MAX; i++) {
		if (core->pools[i].waiting > 0)
			dc_pool_mark_ready(&core->pools[i]);
	}
}

static int
on_timer(struct dc_core *core)
{
	while (core->timers.root != DC_NONE && dc_actions_have_room(core)) {
		struct dc_call *call = &core->calls[core->timers.root];

		if (call->nodes[DC_NODE_TIMER].key > core->now_us)
			break;
		dc_heap_pop(core, &core->timers);
		call_on_timer(core, call);
	}
	if (core->next_pool_check_us <= core->now_us)
		check_waiting_pools(core);
	if (core->next_window_request_us <= core->now_us)
		dc_key_request_window(core);
	return CS_OK;
}

static int
handle(struct dc_core *core, const struct dc_event *event)
{
	switch (event->type) {
	case DC_EV_SELF:
		return on_self(core, &event->self);
	case DC_EV_TABLE_BEGIN:
	case DC_EV_TABLE_POOL:
	case DC_EV_TABLE_TARGET:
	case DC_EV_TABLE_SHARE:
	case DC_EV_TABLE_ROUTE:
	case DC_EV_TABLE_END:
		return dc_table_event(core, event);
	case DC_EV_CALL_ARRIVED:
		return dc_call_arrive(core, &event->arrived);
	case DC_EV_CALLER_DISCONNECTED:
		return on_caller_disconnected(core, &event->disconnected);
	case DC_EV_ATTEMPT_SENT:
		return on_sent(core, &event->sent);
	case DC_EV_ATTEMPT_HEAD:
		return on_head(core, &event->head);
	case DC_EV_ATTEMPT_ENDED:
		return on_ended(core, &event->ended);
	case DC_EV_STORE_CLAIMED:
		return on_store_claimed(core, &event->store_claimed);
	case DC_EV_STORE_ERA:
		dc_bare_on_era(core, event->store_era.era);
		return CS_OK;
	case DC_EV_TARGET_DRAINING:
		return on_target_draining(core, &event->draining);
	case DC_EV_PEER:
		return dc_peer_changed(core, &event->peer);
	case DC_EV_LINK:
		dc_peer_link_up(core, event->link.peer);
		return CS_OK;
	case DC_EV_MESSAGE:
		return dc_peer_message(core, &event->message);
	case DC_EV_STOPPING:
		core->stopping = true;
		return CS_OK;
	case DC_EV_TIMER:
		return on_timer(core);
	case DC_EV_TYPES:
		break;
	}
	return CS_E_INVALID;
}

/*
 * Dispatching one pool can make another one ready, or the same one again.
 */
static void
dispatch_ready(struct dc_core *core)
{
	bool again = true;
	uint32_t i;

	while (again && dc_actions_have_room(core)) {
		again = false;
		for (i = 0; i < DC_POOLS_MAX; i++) {
			struct dc_pool *pool = &core->pools[i];

			if (!pool->used || !pool->ready)
				continue;
			dc_pool_dispatch(core, pool);
			again = true;
		}
	}
	if (again)
		core->next_pool_check_us = core->now_us;
}

int
dc_step(struct dc_core *core, const struct dc_event *event, int64_t now_us,
    struct dc_actions *actions)
{
	int error;

	actions->count = 0;
	core->actions = actions;
	core->now_us = now_us;
	if (core->peer_count == 0 && event->type != DC_EV_SELF)
		return CS_E_INVALID;
	error = handle(core, event);
	if (error == CS_OK && !core->loading)
		dispatch_ready(core);
	return error;
}

int64_t
dc_next_timer_us(const struct dc_core *core)
{
	int64_t at_us = core->next_pool_check_us;

	if (core->next_window_request_us < at_us)
		at_us = core->next_window_request_us;
	if (core->timers.root != DC_NONE) {
		const struct dc_call *call = &core->calls[core->timers.root];

		if (call->nodes[DC_NODE_TIMER].key < at_us)
			at_us = call->nodes[DC_NODE_TIMER].key;
	}
	return at_us;
}
