/*
 * Targets: which are usable, which one a call is sent to, and their ejection
 * and averages by the results of attempts.
 */
#include "decide_internal.h"

#define AVERAGE_SHIFT 3	  /* a new sample has a weight of 1/8 */
#define EJECT_LEVEL_MAX 5 /* the backoff doubles up to this level */
#define PICK_TRIES 4	  /* random pairs before all targets are checked */

bool
dc_target_accepts_calls(const struct dc_target *target)
{
	return target->listed && !target->drain && !target->drain_signal;
}

bool
dc_pool_has_target(const struct dc_core *core, const struct dc_pool *pool)
{
	uint32_t i;

	for (i = 0; i < pool->target_count; i++) {
		if (dc_target_accepts_calls(&core->targets[pool->targets[i]]))
			return true;
	}
	return false;
}

/*
 * Returns whether more than half of the targets are ejected. Then the failure
 * detection is more likely wrong than the targets, and ejections are ignored.
 */
static bool
in_panic(const struct dc_core *core, const struct dc_pool *pool)
{
	uint32_t i, listed = 0, ejected = 0;

	for (i = 0; i < pool->target_count; i++) {
		const struct dc_target *t = &core->targets[pool->targets[i]];

		if (!dc_target_accepts_calls(t))
			continue;
		listed++;
		if (t->ejected_until_us > core->now_us)
			ejected++;
	}
	return 2 * ejected > listed;
}

bool
dc_target_is_usable(const struct dc_core *core, const struct dc_target *target,
    const struct dc_call *call, bool panic)
{
	if (!dc_target_accepts_calls(target) || target->exclusive)
		return false;
	if (target->ejected_until_us > core->now_us && !panic)
		return false;
	if (call->suspect)
		return target->in_flight == 0;
	return true;
}

/* Without leases, the load of a target is limited per entry VM. */
static bool
has_room(const struct dc_core *core, const struct dc_target *target)
{
	return target->in_flight <
	       core->parameters[DC_P_CONNECTIONS_PER_TARGET];
}

/* Compares attempts per slot, without division. */
static bool
is_busier(const struct dc_target *a, const struct dc_target *b)
{
	return (uint64_t)a->in_flight * b->slots >
	       (uint64_t)b->in_flight * a->slots;
}

static uint32_t
less_busy(const struct dc_core *core, uint32_t a, uint32_t b)
{
	if (a == DC_NONE)
		return b;
	if (b == DC_NONE)
		return a;
	return is_busier(&core->targets[a], &core->targets[b]) ? b : a;
}

static uint32_t
random_usable(struct dc_core *core, struct dc_pool *pool,
    const struct dc_call *call, bool panic)
{
	uint32_t index;

	index =
	    pool->targets[cs_random_below(&core->random, pool->target_count)];
	if (index == call->avoid_target ||
	    !has_room(core, &core->targets[index]) ||
	    !dc_target_is_usable(core, &core->targets[index], call, panic))
		return DC_NONE;
	return index;
}

/* The least busy of all usable targets; avoid_target if it is the only one. */
static uint32_t
least_busy(struct dc_core *core, struct dc_pool *pool,
    const struct dc_call *call, bool panic)
{
	uint32_t i, offset, best = DC_NONE;

	offset = cs_random_below(&core->random, pool->target_count);
	for (i = 0; i < pool->target_count; i++) {
		uint32_t index =
		    pool->targets[(i + offset) % pool->target_count];

		if (index != call->avoid_target &&
		    has_room(core, &core->targets[index]) &&
		    dc_target_is_usable(
			core, &core->targets[index], call, panic))
			best = less_busy(core, best, index);
	}
	if (best == DC_NONE && call->avoid_target != DC_NONE &&
	    core->targets[call->avoid_target].listed &&
	    dc_target_is_usable(
		core, &core->targets[call->avoid_target], call, panic))
		best = call->avoid_target;
	return best;
}

static uint32_t
two_choices(struct dc_core *core, struct dc_pool *pool,
    const struct dc_call *call, bool panic)
{
	uint32_t i, a, b;

	for (i = 0; i < PICK_TRIES; i++) {
		a = random_usable(core, pool, call, panic);
		b = random_usable(core, pool, call, panic);
		if (a != DC_NONE || b != DC_NONE)
			return less_busy(core, a, b);
	}
	return least_busy(core, pool, call, panic);
}

struct dc_choice
dc_target_pick(
    struct dc_core *core, struct dc_pool *pool, const struct dc_call *call)
{
	struct dc_choice none = {.target = DC_NONE};
	bool panic;

	if (pool->target_count == 0)
		return none;
	panic = in_panic(core, pool);
	switch ((enum dc_dispatch)core->parameters[DC_P_DISPATCH]) {
	case DC_DISPATCH_TWO_CHOICES:
		return (struct dc_choice){
		    .target = two_choices(core, pool, call, panic),
		};
	case DC_DISPATCH_LEASES:
		return dc_lease_pick(core, pool, call, panic);
	}
	return none;
}

void
dc_target_acquire(struct dc_core *core, struct dc_choice choice, bool exclusive)
{
	struct dc_target *target = &core->targets[choice.target];

	target->in_flight++;
	if (choice.leased)
		target->leases_in_use++;
	else
		target->unleased++;
	if (exclusive)
		target->exclusive = true;
}

void
dc_target_release(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt)
{
	struct dc_target *target;

	if (attempt->target == DC_NONE)
		return;
	target = &core->targets[attempt->target];
	target->in_flight--;
	if (call->suspect)
		target->exclusive = false;
	if (attempt->leased)
		dc_lease_release(core, target);
	else
		target->unleased--;
	if (!target->listed && target->in_flight == 0)
		target->used = false;
	dc_pool_mark_ready(&core->pools[call->pool]);
}

static void
update_average(int64_t *value, int64_t sample)
{
	if (*value == 0)
		*value = sample;
	else
		*value += (sample - *value) >> AVERAGE_SHIFT;
}

void
dc_target_succeeded(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt)
{
	struct dc_target *target = &core->targets[attempt->target];
	int64_t took_us = core->now_us - attempt->started_us;

	target->failures = 0;
	target->eject_level = 0;
	update_average(&target->service_us, took_us);
	update_average(&core->pools[call->pool].service_us, took_us);
}

/*
 * Ejects the target after eject_failures consecutive failures, with an
 * exponential backoff and up to 25 % of jitter.
 */
void
dc_target_failed(struct dc_core *core, const struct dc_attempt *attempt)
{
	struct dc_target *target = &core->targets[attempt->target];
	int64_t limit = core->parameters[DC_P_EJECT_FAILURES];
	int64_t back_off_us;

	target->failures++;
	if (target->eject_level > 0)
		limit = 1; /* it failed right after an ejection */
	if (target->failures < limit)
		return;
	back_off_us = core->parameters[DC_P_EJECT_US] << target->eject_level;
	back_off_us +=
	    cs_random_below(&core->random, (uint32_t)(back_off_us / 4) + 1);
	target->ejected_until_us = core->now_us + back_off_us;
	target->failures = 0;
	if (target->eject_level < EJECT_LEVEL_MAX)
		target->eject_level++;
	core->counters.ejections++;
}
