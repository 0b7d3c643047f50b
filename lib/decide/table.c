/*
 * The configuration in force: pools, targets and routes by id. Loading a new
 * one keeps the state of those that it lists again.
 */
#include "decide_internal.h"

uint32_t
dc_route_find(const struct dc_core *core, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < DC_ROUTES_MAX; i++) {
		if (core->routes[i].used && core->routes[i].id == id)
			return i;
	}
	return DC_NONE;
}

static uint32_t
pool_find(const struct dc_core *core, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < DC_POOLS_MAX; i++) {
		if (core->pools[i].used && core->pools[i].id == id)
			return i;
	}
	return DC_NONE;
}

uint32_t
dc_target_find(const struct dc_core *core, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < DC_TARGETS_MAX; i++) {
		if (core->targets[i].used && core->targets[i].id == id)
			return i;
	}
	return DC_NONE;
}

static int
begin_load(struct dc_core *core, const struct dc_table_begin *event)
{
	uint32_t i;

	if (core->loading || event->version < core->version)
		return CS_E_INVALID;
	core->loading = true;
	core->loading_pool = DC_NONE;
	core->version = event->version;
	for (i = 0; i < DC_GROUPS_MAX; i++)
		core->groups[i].listed = false;
	for (i = 0; i < DC_POOLS_MAX; i++)
		core->pools[i].listed = false;
	for (i = 0; i < DC_TARGETS_MAX; i++) {
		core->targets[i].was_listed = core->targets[i].listed;
		core->targets[i].listed = false;
	}
	for (i = 0; i < DC_ROUTES_MAX; i++)
		core->routes[i].listed = false;
	return CS_OK;
}

static uint32_t
free_pool(const struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_POOLS_MAX; i++) {
		if (!core->pools[i].used)
			return i;
	}
	return DC_NONE;
}

static int
add_pool(struct dc_core *core, const struct dc_table_pool *event)
{
	uint32_t index = pool_find(core, event->pool);
	struct dc_pool *pool;
	uint32_t i;

	if (index == DC_NONE) {
		index = free_pool(core);
		if (index == DC_NONE)
			return CS_E_FULL;
		core->pools[index] =
		    (struct dc_pool){.used = true, .id = event->pool};
	}
	pool = &core->pools[index];
	pool->listed = true;
	pool->target_count = 0;
	pool->group_count = 0;
	for (i = 0; i < pool->queue_count; i++)
		pool->queues[i].weight = 1;
	pool->class_count = 0;
	core->loading_pool = index;
	return CS_OK;
}

static uint32_t
free_target(const struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_TARGETS_MAX; i++) {
		if (!core->targets[i].used)
			return i;
	}
	return DC_NONE;
}

static uint32_t
find_group(struct dc_core *core, uint32_t pool, uint64_t region)
{
	uint64_t id = cs_hash_pair(core->pools[pool].id, region);
	uint32_t i, unused = DC_NONE;

	for (i = 0; i < DC_GROUPS_MAX; i++) {
		if (core->groups[i].used && core->groups[i].id == id)
			return i;
		if (!core->groups[i].used && unused == DC_NONE)
			unused = i;
	}
	if (unused == DC_NONE)
		return DC_NONE;
	core->groups[unused] = (struct dc_group){
	    .used = true,
	    .id = id,
	    .region = region,
	    .pool = pool,
	    .owner = DC_NONE,
	};
	return unused;
}

/* Adds a target to the group of its pool and region. */
static int
add_to_group(struct dc_core *core, struct dc_target *target)
{
	struct dc_pool *pool = &core->pools[target->pool];
	uint32_t i, group = find_group(core, target->pool, target->region);

	if (group == DC_NONE)
		return CS_E_FULL;
	core->groups[group].listed = true;
	if (!target->was_listed || target->group != group) {
		dc_owner_clear_target(core, target);
		core->groups[group].needs_sync = true;
	}
	target->group = group;
	for (i = 0; i < pool->group_count; i++) {
		if (pool->groups[i] == group)
			return CS_OK;
	}
	if (pool->group_count == DC_POOL_GROUPS_MAX)
		return CS_E_FULL;
	pool->groups[pool->group_count++] = group;
	return CS_OK;
}

static int
add_target(struct dc_core *core, const struct dc_table_target *event)
{
	uint32_t index = dc_target_find(core, event->target);
	struct dc_target *target;
	struct dc_pool *pool;

	if (core->loading_pool == DC_NONE)
		return CS_E_INVALID;
	if (index == DC_NONE) {
		index = free_target(core);
		if (index == DC_NONE)
			return CS_E_FULL;
		core->targets[index] =
		    (struct dc_target){.used = true, .id = event->target};
	}
	pool = &core->pools[core->loading_pool];
	target = &core->targets[index];
	target->listed = true;
	target->region = event->region;
	target->slots = (uint32_t)event->slots;
	target->drain = event->drain != 0;
	target->pool = core->loading_pool;
	pool->targets[pool->target_count++] = index;
	return add_to_group(core, target);
}

static int
add_share(struct dc_core *core, const struct dc_table_share *event)
{
	struct dc_pool *pool;
	uint32_t i;

	if (core->loading_pool == DC_NONE || event->weight == 0)
		return CS_E_INVALID;
	pool = &core->pools[core->loading_pool];
	for (i = 0; i < pool->queue_count; i++) {
		if (pool->queues[i].member == event->member) {
			pool->queues[i].weight = (uint32_t)event->weight;
			return CS_OK;
		}
	}
	if (pool->queue_count == DC_MEMBERS_MAX)
		return CS_E_FULL;
	dc_queue_add(pool, event->member, (uint32_t)event->weight);
	return CS_OK;
}

static uint32_t
free_route(const struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_ROUTES_MAX; i++) {
		if (!core->routes[i].used)
			return i;
	}
	return DC_NONE;
}

static int
add_route(struct dc_core *core, const struct dc_table_route *event)
{
	uint32_t index = dc_route_find(core, event->route);
	uint32_t pool = pool_find(core, event->pool);
	struct dc_route *route;

	if (pool == DC_NONE || !core->pools[pool].listed)
		return CS_E_INVALID;
	if (index == DC_NONE) {
		index = free_route(core);
		if (index == DC_NONE)
			return CS_E_FULL;
		core->routes[index] = (struct dc_route){
		    .used = true,
		    .id = event->route,
		    .retry_budget = DC_BUDGET_MAX,
		    .hedge_budget = DC_BUDGET_MAX,
		};
	}
	route = &core->routes[index];
	route->listed = true;
	route->pool = pool;
	route->weight = (uint32_t)event->weight;
	route->idempotent = event->idempotent != 0;
	route->objective_us = event->objective_us;
	dc_queue_add_class(&core->pools[pool], route->weight);
	return CS_OK;
}

static void
release_unlisted(struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_ROUTES_MAX; i++) {
		if (!core->routes[i].listed)
			core->routes[i].used = false;
	}
	for (i = 0; i < DC_GROUPS_MAX; i++) {
		if (!core->groups[i].listed)
			core->groups[i].used = false;
	}
	for (i = 0; i < DC_TARGETS_MAX; i++) {
		struct dc_target *target = &core->targets[i];

		if (!target->listed)
			target->leased = target->leases_in_use;
		if (!target->listed && target->in_flight == 0)
			target->used = false;
	}
	for (i = 0; i < DC_POOLS_MAX; i++) {
		struct dc_pool *pool = &core->pools[i];

		if (!pool->listed)
			pool->target_count = 0;
		if (!pool->listed && pool->calls == 0)
			pool->used = false;
	}
}

/*
 * When a target was added to a group, earlier leases on it count for neither
 * side: holders report again what they hold.
 */
static void
sync_changed_groups(struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_GROUPS_MAX; i++) {
		struct dc_group *group = &core->groups[i];

		if (!group->used || !group->needs_sync)
			continue;
		group->needs_sync = false;
		dc_lease_report_held(core, group);
		if (group->owner == DC_SELF)
			dc_owner_request_sync(core, group);
	}
}

static int
finish_load(struct dc_core *core)
{
	uint32_t i;

	core->loading = false;
	core->loading_pool = DC_NONE;
	release_unlisted(core);
	dc_groups_choose_owners(core);
	sync_changed_groups(core);
	for (i = 0; i < DC_TARGETS_MAX; i++) {
		struct dc_target *target = &core->targets[i];

		if (target->used && target->listed &&
		    !dc_target_accepts_calls(target))
			dc_lease_return_idle(core, target);
	}
	for (i = 0; i < DC_POOLS_MAX; i++)
		dc_pool_mark_ready(&core->pools[i]);
	return CS_OK;
}

int
dc_table_event(struct dc_core *core, const struct dc_event *event)
{
	if (event->type != DC_EV_TABLE_BEGIN && !core->loading)
		return CS_E_INVALID;
	switch (event->type) {
	case DC_EV_TABLE_BEGIN:
		return begin_load(core, &event->table_begin);
	case DC_EV_TABLE_POOL:
		return add_pool(core, &event->table_pool);
	case DC_EV_TABLE_TARGET:
		return add_target(core, &event->table_target);
	case DC_EV_TABLE_SHARE:
		return add_share(core, &event->table_share);
	case DC_EV_TABLE_ROUTE:
		return add_route(core, &event->table_route);
	case DC_EV_TABLE_END:
		return finish_load(core);
	default:
		return CS_E_INVALID;
	}
}
