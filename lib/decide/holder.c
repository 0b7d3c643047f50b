/*
 * The holder's side of slot leases. A lease is kept and reused for this VM's
 * calls. Idle leases are returned while slots of their group are scarce, while
 * this VM leaves, and in groups other than the preferred one. When an owner
 * does not respond for lease_fallback_us, calls are sent without a lease, at
 * most one at a time to each target.
 */
#include "decide_internal.h"

#define DEMAND_MAX 200		/* slots in one message */
#define DEMAND_INTERVAL_US 5000 /* between updates of a changing demand */
#define DEMAND_REPEAT_US 50000	/* of an unchanged one, as a heartbeat */
#define UNLEASED_MAX 1		/* per target */

static struct dc_group *
group_of(struct dc_core *core, const struct dc_target *target)
{
	return &core->groups[target->group];
}

/*
 * Returns the group that this VM uses first: that of its own region or, where
 * there is none, one of the others by rendezvous hashing.
 */
static uint32_t
preferred_group(const struct dc_core *core, const struct dc_pool *pool)
{
	const struct dc_peer *self = &core->peers[DC_SELF];
	uint64_t best_rank = 0;
	uint32_t i, best = DC_NONE;

	for (i = 0; i < pool->group_count; i++) {
		const struct dc_group *group = &core->groups[pool->groups[i]];
		uint64_t rank = cs_hash_pair(self->id, group->id);

		if (group->region == self->region)
			return pool->groups[i];
		if (best == DC_NONE || rank > best_rank) {
			best = pool->groups[i];
			best_rank = rank;
		}
	}
	return best;
}

static bool
is_preferred(const struct dc_core *core, const struct dc_group *group)
{
	return preferred_group(core, &core->pools[group->pool]) ==
	       dc_group_index(core, group);
}

static void
return_leases(struct dc_core *core, struct dc_target *target, uint32_t count)
{
	struct dc_group *group = group_of(core, target);
	struct dc_lease_target_count returned;

	target->leased -= count;
	target->recalled -= count < target->recalled ? count : target->recalled;
	if (!target->listed || group->owner == DC_NONE)
		return;
	returned = (struct dc_lease_target_count){
	    .target = target->id,
	    .count = count,
	    .sync = group->sync,
	};
	if (group->owner == DC_SELF) {
		dc_owner_on_return(core, target, DC_SELF, &returned);
		return;
	}
	dc_peer_send(core, group->owner,
	    &(struct dc_message){
		.type = DC_MSG_LEASE_RETURN,
		.returned = returned,
	    });
}

void
dc_lease_return_idle(struct dc_core *core, struct dc_target *target)
{
	if (target->leased > target->leases_in_use)
		return_leases(
		    core, target, target->leased - target->leases_in_use);
}

/* Returns whether this VM may keep an idle lease on the target. */
static bool
may_keep(struct dc_core *core, const struct dc_target *target)
{
	const struct dc_group *group = group_of(core, target);
	const struct dc_pool *pool = &core->pools[target->pool];

	if (!dc_target_accepts_calls(target) || target->recalled > 0)
		return false;
	if (pool->waiting > 0)
		return true;
	if (core->peers[DC_SELF].state == DC_PEER_LEAVING)
		return false;
	return !group->scarce && is_preferred(core, group);
}

void
dc_lease_release(struct dc_core *core, struct dc_target *target)
{
	target->leases_in_use--;
	if (!may_keep(core, target))
		return_leases(core, target, 1);
}

/* Returns a slot of a target that this VM's configuration does not list. */
static void
refuse_grant(struct dc_core *core, uint32_t peer,
    const struct dc_lease_target_count *grant)
{
	dc_peer_send(core, peer,
	    &(struct dc_message){
		.type = DC_MSG_LEASE_RETURN,
		.returned = *grant,
	    });
}

void
dc_lease_on_grant(struct dc_core *core, uint32_t peer,
    const struct dc_lease_target_count *grant)
{
	uint32_t count = (uint32_t)grant->count;
	uint32_t index = dc_target_find(core, grant->target);
	struct dc_target *target;
	struct dc_group *group;

	if (index == DC_NONE || !core->targets[index].listed) {
		refuse_grant(core, peer, grant);
		return;
	}
	target = &core->targets[index];
	group = group_of(core, target);
	/* The owner has cleared grants from before the last SYNC. */
	if (group->owner != peer || group->sync != grant->sync)
		return;
	target->leased += count;
	group->demand_sent -=
	    count < group->demand_sent ? count : group->demand_sent;
	group->unanswered_since_us = 0;
	dc_pool_mark_ready(&core->pools[target->pool]);
}

static void
for_each_target(struct dc_core *core, struct dc_group *group,
    void (*apply)(struct dc_core *, struct dc_target *))
{
	const struct dc_pool *pool = &core->pools[group->pool];
	uint32_t i;

	for (i = 0; i < pool->target_count; i++) {
		struct dc_target *target = &core->targets[pool->targets[i]];

		if (target->listed && group_of(core, target) == group)
			apply(core, target);
	}
}

static void
return_unless_kept(struct dc_core *core, struct dc_target *target)
{
	if (!may_keep(core, target))
		dc_lease_return_idle(core, target);
}

void
dc_lease_on_scarce(struct dc_core *core, struct dc_group *group, bool scarce)
{
	group->scarce = scarce;
	group->unanswered_since_us = 0;
	if (scarce)
		for_each_target(core, group, return_unless_kept);
}

void
dc_lease_on_recall(
    struct dc_core *core, struct dc_target *target, uint32_t count)
{
	uint32_t idle = target->leased - target->leases_in_use;

	target->recalled += count;
	if (target->recalled > target->leased)
		target->recalled = target->leased;
	if (idle > target->recalled)
		idle = target->recalled;
	if (idle > 0)
		return_leases(core, target, idle);
}

static void
report_target(struct dc_core *core, struct dc_target *target)
{
	struct dc_group *group = group_of(core, target);
	struct dc_lease_target_count held = {
	    .target = target->id,
	    .count = target->leased,
	    .sync = group->sync,
	};

	target->recalled = 0;
	if (target->leased == 0)
		return;
	if (group->owner == DC_SELF)
		dc_owner_on_held(core, target, DC_SELF, &held);
	else
		dc_peer_send(core, group->owner,
		    &(struct dc_message){
			.type = DC_MSG_LEASE_HELD,
			.held = held,
		    });
}

/* Reports all leases on the group; they replace the owner's records. */
void
dc_lease_report_held(struct dc_core *core, struct dc_group *group)
{
	group->sync = ++core->lease_syncs;
	group->demand_sent = 0;
	group->unanswered_since_us = 0;
	if (group->owner == DC_NONE)
		return;
	if (group->owner == DC_SELF)
		dc_owner_on_sync(core, group, DC_SELF, group->sync);
	else
		dc_peer_send(core, group->owner,
		    &(struct dc_message){
			.type = DC_MSG_LEASE_SYNC,
			.sync = {.group = group->id, .count = group->sync},
		    });
	for_each_target(core, group, report_target);
}

/* Returns idle leases that this VM may not keep, if no calls are waiting. */
void
dc_lease_return_unused(struct dc_core *core, struct dc_pool *pool)
{
	uint32_t i;

	if (pool->waiting > 0)
		return;
	for (i = 0; i < pool->group_count; i++) {
		struct dc_group *group = &core->groups[pool->groups[i]];

		if (group->scarce || !is_preferred(core, group) ||
		    core->peers[DC_SELF].state == DC_PEER_LEAVING)
			for_each_target(core, group, return_unless_kept);
	}
}

static void
send_demand(struct dc_core *core, struct dc_group *group, uint32_t count)
{
	group->demand_sent = count;
	group->demand_sent_us = core->now_us;
	if (count > 0 && group->unanswered_since_us == 0)
		group->unanswered_since_us = core->now_us;
	if (group->owner == DC_SELF) {
		dc_owner_on_demand(core, group, DC_SELF, count);
		return;
	}
	dc_peer_send(core, group->owner,
	    &(struct dc_message){
		.type = DC_MSG_LEASE_DEMAND,
		.demand = {.group = group->id, .count = count},
	    });
}

/*
 * Sends a demand to the owner if it is new, has changed, or has not been sent
 * for DEMAND_REPEAT_US.
 */
static void
update_demand(struct dc_core *core, struct dc_group *group, uint32_t count)
{
	int64_t since_us = core->now_us - group->demand_sent_us;

	if (group->owner == DC_NONE)
		return;
	if (count > DEMAND_MAX)
		count = DEMAND_MAX;
	if (count == 0 && group->demand_sent <= 1)
		return; /* a spare slot may be useful soon */
	if (group->demand_sent == 0 || count == 0 ||
	    count >= 2 * group->demand_sent ||
	    (count != group->demand_sent && since_us >= DEMAND_INTERVAL_US) ||
	    since_us >= DEMAND_REPEAT_US)
		send_demand(core, group, count);
}

/* Other regions are used when the first call has waited for spill_us. */
static bool
may_spill(struct dc_core *core, struct dc_pool *pool)
{
	const struct dc_call *head = dc_queue_head(core, pool);

	if (head == NULL)
		return false;
	return core->now_us - head->arrived_us >=
	       core->parameters[DC_P_SPILL_US];
}

void
dc_lease_update_demand(struct dc_core *core, struct dc_pool *pool)
{
	uint32_t preferred = preferred_group(core, pool);
	bool spill = may_spill(core, pool);
	uint32_t i;

	for (i = 0; i < pool->group_count; i++) {
		struct dc_group *group = &core->groups[pool->groups[i]];

		if (pool->groups[i] == preferred)
			update_demand(core, group, pool->waiting);
		else
			update_demand(core, group, spill && pool->waiting > 0);
	}
}

/*
 * Requests one slot more than the waiting calls need. Returns false while slots
 * are scarce, unless the request is urgent.
 */
bool
dc_lease_request_spare(struct dc_core *core, struct dc_pool *pool, bool urgent)
{
	uint32_t preferred = preferred_group(core, pool);
	struct dc_group *group;

	if (core->parameters[DC_P_DISPATCH] != DC_DISPATCH_LEASES ||
	    preferred == DC_NONE)
		return false;
	group = &core->groups[preferred];
	if ((group->scarce && !urgent) || group->owner == DC_NONE)
		return false;
	if (group->demand_sent == 0)
		send_demand(core, group, 1);
	return true;
}

static bool
owner_timed_out(const struct dc_core *core, const struct dc_group *group)
{
	if (group->owner == DC_NONE)
		return true;
	return group->unanswered_since_us != 0 &&
	       core->now_us - group->unanswered_since_us >=
		   core->parameters[DC_P_LEASE_FALLBACK_US];
}

static bool
is_better(const struct dc_core *core, const struct dc_target *a,
    const struct dc_target *b)
{
	bool a_local = a->region == core->peers[DC_SELF].region;
	bool b_local = b->region == core->peers[DC_SELF].region;

	if (a_local != b_local)
		return a_local;
	return a->service_us < b->service_us;
}

/* Returns whether a target other than that of the last attempt is usable. */
static bool
has_other_target(const struct dc_core *core, const struct dc_pool *pool,
    const struct dc_call *call, bool panic)
{
	uint32_t i;

	if (call->avoid_target == DC_NONE)
		return false;
	for (i = 0; i < pool->target_count; i++) {
		if (pool->targets[i] != call->avoid_target &&
		    dc_target_is_usable(
			core, &core->targets[pool->targets[i]], call, panic))
			return true;
	}
	return false;
}

struct dc_choice
dc_lease_pick(struct dc_core *core, struct dc_pool *pool,
    const struct dc_call *call, bool panic)
{
	bool has_other = has_other_target(core, pool, call, panic);
	struct dc_choice best = {.target = DC_NONE};
	uint32_t i, offset;

	offset = cs_random_below(&core->random, pool->target_count);
	for (i = 0; i < pool->target_count; i++) {
		uint32_t index =
		    pool->targets[(i + offset) % pool->target_count];
		const struct dc_target *target = &core->targets[index];
		bool leased = target->leased > target->leases_in_use;

		if (index == call->avoid_target && has_other)
			continue;
		if (!leased && !call->suspect &&
		    (target->unleased >= UNLEASED_MAX ||
			!owner_timed_out(core, group_of(core, target))))
			continue;
		if (!dc_target_is_usable(core, target, call, panic))
			continue;
		if (best.target != DC_NONE && best.leased && !leased)
			continue;
		if (best.target == DC_NONE || leased != best.leased ||
		    is_better(core, target, &core->targets[best.target]))
			best = (struct dc_choice){index, leased};
	}
	return best;
}
