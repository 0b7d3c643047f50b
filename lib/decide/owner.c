/*
 * The owner's side of slot leases. The owner of a group grants the slots of its
 * targets to the entry VMs that report a demand. When no slot is free it
 * overcommits each target by lease_over_commit slots. It notifies holders when
 * slots become scarce and when they are spare again.
 */
#include "decide_internal.h"

/* A new owner grants nothing while holders report what they hold. */
#define OWNER_GRACE_US 30000
/* Slots have to be spare for so long before holders may keep idle leases. */
#define SPARE_STABLE_US 20000
#define SPARE_DIVISOR 8 /* slots are spare when more than 1/8 are free */
#define GRANTED_MAX 255 /* per target and peer: granted_to has 8 bits */

struct dc_group *
dc_group_find(struct dc_core *core, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < DC_GROUPS_MAX; i++) {
		if (core->groups[i].used && core->groups[i].id == id)
			return &core->groups[i];
	}
	return NULL;
}

uint32_t
dc_group_index(const struct dc_core *core, const struct dc_group *group)
{
	return (uint32_t)(group - core->groups);
}

static struct dc_group *
group_of(struct dc_core *core, const struct dc_target *target)
{
	return &core->groups[target->group];
}

static bool
is_in_group(const struct dc_core *core, const struct dc_group *group,
    const struct dc_target *target)
{
	return target->used && target->listed &&
	       &core->groups[target->group] == group;
}

static void
set_demand(struct dc_group *group, uint32_t peer, uint32_t count)
{
	group->demand_total -= group->demand[peer];
	group->demand[peer] = count;
	group->demand_total += count;
}

static void
set_granted(struct dc_core *core, struct dc_target *target, uint32_t peer,
    uint32_t count)
{
	struct dc_group *group = group_of(core, target);

	target->granted -= target->granted_to[peer];
	group->held[peer] -= target->granted_to[peer];
	target->granted_to[peer] = (uint8_t)count;
	target->granted += count;
	group->held[peer] += count;
}

static void
clear_grants(struct dc_core *core, struct dc_group *group)
{
	const struct dc_pool *pool = &core->pools[group->pool];
	uint32_t i, j;

	for (i = 0; i < pool->target_count; i++) {
		struct dc_target *target = &core->targets[pool->targets[i]];

		if (!is_in_group(core, group, target))
			continue;
		target->granted = 0;
		for (j = 0; j < DC_PEERS_MAX; j++)
			target->granted_to[j] = 0;
	}
	for (j = 0; j < DC_PEERS_MAX; j++) {
		group->demand[j] = 0;
		group->held[j] = 0;
		group->notified_scarce[j] = false;
		group->peer_sync[j] = 0;
	}
	group->demand_total = 0;
	group->announced_scarce = false;
}

/*
 * Clears all grants of a target that was not in the previous configuration or
 * was in another group.
 */
void
dc_owner_clear_target(struct dc_core *core, struct dc_target *target)
{
	uint32_t peer;

	for (peer = 0; peer < core->peer_count; peer++) {
		if (target->granted_to[peer] > 0)
			set_granted(core, target, peer, 0);
	}
}

/* Holders that saw no change of owner have to report their leases as well. */
void
dc_owner_request_sync(struct dc_core *core, const struct dc_group *group)
{
	uint32_t peer;

	for (peer = 1; peer < core->peer_count; peer++) {
		if (core->peers[peer].state == DC_PEER_DEAD)
			continue;
		dc_peer_send(core, peer,
		    &(struct dc_message){
			.type = DC_MSG_LEASE_SYNC_REQUEST,
			.sync_request = {.group = group->id},
		    });
	}
}

static bool
has_no_live_peers(const struct dc_core *core)
{
	uint32_t peer;

	for (peer = 1; peer < core->peer_count; peer++) {
		if (core->peers[peer].state != DC_PEER_DEAD)
			return false;
	}
	return true;
}

void
dc_owner_begin(struct dc_core *core, struct dc_group *group)
{
	clear_grants(core, group);
	group->owned_since_us = core->now_us;
	if (has_no_live_peers(core)) /* no other VM can hold a lease */
		group->owned_since_us -= OWNER_GRACE_US;
	group->spare_since_us = 0;
	dc_owner_request_sync(core, group);
}

void
dc_owner_end(struct dc_core *core, struct dc_group *group)
{
	clear_grants(core, group);
}

/* Compares grants per slot, without division. */
static bool
has_higher_load(const struct dc_target *a, const struct dc_target *b)
{
	return (uint64_t)a->granted * b->slots >
	       (uint64_t)b->granted * a->slots;
}

static struct dc_target *
least_loaded(struct dc_core *core, struct dc_group *group, uint32_t over_commit)
{
	const struct dc_pool *pool = &core->pools[group->pool];
	struct dc_target *best = NULL;
	uint32_t i;

	for (i = 0; i < pool->target_count; i++) {
		struct dc_target *target = &core->targets[pool->targets[i]];

		if (!is_in_group(core, group, target) ||
		    !dc_target_accepts_calls(target) ||
		    target->granted >= target->slots + over_commit)
			continue;
		if (best == NULL || has_higher_load(best, target))
			best = target;
	}
	return best;
}

static uint32_t
next_peer_with_demand(struct dc_core *core, struct dc_group *group)
{
	uint32_t i, peer;

	for (i = 0; i < core->peer_count; i++) {
		peer = (group->next_peer + i) % core->peer_count;
		if (group->demand[peer] == 0)
			continue;
		group->next_peer = peer + 1;
		return peer;
	}
	return DC_NONE;
}

static void
grant(struct dc_core *core, struct dc_target *target, uint32_t peer)
{
	struct dc_group *group = group_of(core, target);
	struct dc_lease_target_count granted = {
	    .target = target->id,
	    .count = 1,
	    .sync = group->peer_sync[peer],
	};

	set_granted(core, target, peer, target->granted_to[peer] + 1u);
	set_demand(group, peer, group->demand[peer] - 1);
	if (peer == DC_SELF)
		dc_lease_on_grant(core, DC_SELF, &granted);
	else
		dc_peer_send(core, peer,
		    &(struct dc_message){
			.type = DC_MSG_LEASE_GRANT,
			.grant = granted,
		    });
}

static bool
in_grace_period(const struct dc_core *core, const struct dc_group *group)
{
	return core->now_us - group->owned_since_us < OWNER_GRACE_US;
}

static void
schedule_after_grace(struct dc_core *core, const struct dc_group *group)
{
	int64_t at_us = group->owned_since_us + OWNER_GRACE_US;

	if (group->demand_total > 0 && at_us < core->next_pool_check_us)
		core->next_pool_check_us = at_us;
}

static void
distribute(struct dc_core *core, struct dc_group *group)
{
	uint32_t over = (uint32_t)core->parameters[DC_P_LEASE_OVER_COMMIT];
	struct dc_target *target;
	uint32_t peer;

	if (in_grace_period(core, group)) {
		schedule_after_grace(core, group);
		return;
	}
	while (group->demand_total > 0 && dc_actions_have_room(core)) {
		target = least_loaded(core, group, 0);
		if (target == NULL)
			target = least_loaded(core, group, over);
		if (target == NULL)
			return;
		peer = next_peer_with_demand(core, group);
		if (target->granted_to[peer] == GRANTED_MAX)
			return;
		grant(core, target, peer);
	}
}

static void
notify_scarce(
    struct dc_core *core, struct dc_group *group, uint32_t peer, bool scarce)
{
	group->notified_scarce[peer] = scarce;
	if (peer == DC_SELF) {
		dc_lease_on_scarce(core, group, scarce);
		return;
	}
	dc_peer_send(core, peer,
	    &(struct dc_message){
		.type = DC_MSG_LEASE_SCARCE,
		.scarce = {.group = group->id, .count = scarce},
	    });
}

/* Notifies once, when slots become scarce, the peers that hold leases. */
static void
announce_scarce(struct dc_core *core, struct dc_group *group)
{
	uint32_t peer;

	group->announced_scarce = true;
	group->spare_since_us = 0;
	for (peer = 0; peer < core->peer_count; peer++) {
		if (group->held[peer] > 0 && !group->notified_scarce[peer])
			notify_scarce(core, group, peer, true);
	}
}

static void
announce_spare(struct dc_core *core, struct dc_group *group)
{
	uint32_t peer;

	group->announced_scarce = false;
	for (peer = 0; peer < core->peer_count; peer++) {
		if (group->notified_scarce[peer])
			notify_scarce(core, group, peer, false);
	}
}

static bool
has_spare(struct dc_core *core, const struct dc_group *group)
{
	const struct dc_pool *pool = &core->pools[group->pool];
	uint32_t i, slots = 0, granted = 0;

	for (i = 0; i < pool->target_count; i++) {
		const struct dc_target *t = &core->targets[pool->targets[i]];

		if (!is_in_group(core, group, t) || !dc_target_accepts_calls(t))
			continue;
		slots += t->slots;
		granted += t->granted;
	}
	return granted + slots / SPARE_DIVISOR < slots;
}

static void
check_spare(struct dc_core *core, struct dc_group *group)
{
	if (!group->announced_scarce)
		return;
	if (group->demand_total > 0 || !has_spare(core, group)) {
		group->spare_since_us = 0;
		return;
	}
	if (group->spare_since_us == 0)
		group->spare_since_us = core->now_us;
	if (core->now_us - group->spare_since_us >= SPARE_STABLE_US)
		announce_spare(core, group);
	else if (group->spare_since_us + SPARE_STABLE_US <
		 core->next_pool_check_us)
		core->next_pool_check_us =
		    group->spare_since_us + SPARE_STABLE_US;
}

/*
 * Returns the holder with the largest fraction of its need (leases held plus
 * unmet demand), compared by cross product. Holders of one lease do not count.
 */
static uint32_t
best_served(struct dc_core *core, const struct dc_group *group)
{
	uint64_t best_held = 0, best_need = 1;
	uint32_t peer, best = DC_NONE;

	for (peer = 0; peer < core->peer_count; peer++) {
		uint64_t held = group->held[peer];
		uint64_t need = held + group->demand[peer];

		if (held < 2 || held * best_need <= best_held * need)
			continue;
		best = peer;
		best_held = held;
		best_need = need;
	}
	return best;
}

/*
 * Recalls a slot from the best served holder for a requester that holds at
 * least two fewer.
 */
static void
recall_for(struct dc_core *core, struct dc_group *group, uint32_t requester)
{
	const struct dc_pool *pool = &core->pools[group->pool];
	uint32_t i, donor = best_served(core, group);
	struct dc_target *most = NULL;

	if (donor == DC_NONE || donor == requester ||
	    group->held[donor] < group->held[requester] + 2)
		return;
	for (i = 0; i < pool->target_count; i++) {
		struct dc_target *target = &core->targets[pool->targets[i]];

		if (is_in_group(core, group, target) &&
		    (most == NULL ||
			target->granted_to[donor] > most->granted_to[donor]))
			most = target;
	}
	if (most == NULL)
		return;
	if (donor == DC_SELF) {
		dc_lease_on_recall(core, most, 1);
		return;
	}
	dc_peer_send(core, donor,
	    &(struct dc_message){
		.type = DC_MSG_LEASE_RECALL,
		.recall = {.target = most->id, .count = 1},
	    });
}

void
dc_owner_on_demand(
    struct dc_core *core, struct dc_group *group, uint32_t peer, uint32_t count)
{
	bool had_demand = group->demand[peer] > 0;

	if (group->peer_sync[peer] == 0)
		return; /* SYNC lost; it sends one when the link is up */
	set_demand(group, peer, count);
	distribute(core, group);
	if (group->demand[peer] == 0)
		return;
	if (!group->announced_scarce)
		announce_scarce(core, group);
	/* Also shows the requesting holder that its owner is alive. */
	notify_scarce(core, group, peer, true);
	if (had_demand)
		recall_for(core, group, peer);
}

static bool
is_current_sync(const struct dc_core *core, const struct dc_target *target,
    uint32_t peer, uint64_t sync)
{
	const struct dc_group *group = &core->groups[target->group];

	return target->listed && group->owner == DC_SELF &&
	       group->peer_sync[peer] == sync;
}

void
dc_owner_on_return(struct dc_core *core, struct dc_target *target,
    uint32_t peer, const struct dc_lease_target_count *returned)
{
	struct dc_group *group = group_of(core, target);
	uint64_t granted = target->granted_to[peer];
	uint64_t remaining =
	    returned->count < granted ? granted - returned->count : 0;

	if (!is_current_sync(core, target, peer, returned->sync))
		return;
	set_granted(core, target, peer, (uint32_t)remaining);
	distribute(core, group);
	check_spare(core, group);
}

/* Clears the grants of a holder: it reports its leases in HELD messages. */
void
dc_owner_on_sync(
    struct dc_core *core, struct dc_group *group, uint32_t peer, uint64_t sync)
{
	const struct dc_pool *pool = &core->pools[group->pool];
	uint32_t i;

	for (i = 0; i < pool->target_count; i++) {
		struct dc_target *target = &core->targets[pool->targets[i]];

		if (is_in_group(core, group, target))
			set_granted(core, target, peer, 0);
	}
	set_demand(group, peer, 0);
	group->notified_scarce[peer] = false;
	group->peer_sync[peer] = sync;
}

void
dc_owner_on_held(struct dc_core *core, struct dc_target *target, uint32_t peer,
    const struct dc_lease_target_count *held)
{
	uint32_t limit =
	    target->slots + (uint32_t)core->parameters[DC_P_LEASE_OVER_COMMIT];

	if (!is_current_sync(core, target, peer, held->sync))
		return;
	set_granted(core, target, peer,
	    held->count > GRANTED_MAX ? GRANTED_MAX : (uint32_t)held->count);
	if (target->granted > limit && peer != DC_SELF)
		dc_peer_send(core, peer,
		    &(struct dc_message){
			.type = DC_MSG_LEASE_RECALL,
			.recall = {.target = target->id,
			    .count = target->granted - limit},
		    });
}

void
dc_owner_drop_peer(struct dc_core *core, uint32_t peer)
{
	uint32_t i;

	for (i = 0; i < DC_TARGETS_MAX; i++) {
		struct dc_target *target = &core->targets[i];

		if (target->used && target->listed &&
		    target->granted_to[peer] > 0)
			set_granted(core, target, peer, 0);
	}
	for (i = 0; i < DC_GROUPS_MAX; i++) {
		struct dc_group *group = &core->groups[i];

		if (!group->used || group->owner != DC_SELF)
			continue;
		set_demand(group, peer, 0);
		group->notified_scarce[peer] = false;
		group->peer_sync[peer] = 0;
		distribute(core, group);
	}
}

void
dc_owner_on_timer(struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_GROUPS_MAX; i++) {
		struct dc_group *group = &core->groups[i];

		if (!group->used || group->owner != DC_SELF)
			continue;
		if (group->demand_total > 0)
			distribute(core, group);
		check_spare(core, group);
	}
}
