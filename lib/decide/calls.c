/* The table of calls: a hash table by id, a free list, a timer per call. */
#include "decide_internal.h"

void
dc_calls_init(struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_CALL_HASH_SIZE; i++)
		core->call_hash[i] = DC_NONE;
	for (i = 0; i < DC_CALLS_MAX; i++)
		core->calls[i].next_free = i + 1;
	core->calls[DC_CALLS_MAX - 1].next_free = DC_NONE;
	core->first_free = 0;
	dc_heap_init(&core->timers, DC_NODE_TIMER);
}

static uint32_t
first_slot(uint64_t id)
{
	return (uint32_t)(cs_hash_pair(id, 0) % DC_CALL_HASH_SIZE);
}

/* Returns the hash slot that holds the id, or the free one for it. */
static uint32_t
find_slot(const struct dc_core *core, uint64_t id)
{
	uint32_t slot = first_slot(id);

	while (core->call_hash[slot] != DC_NONE &&
	       core->calls[core->call_hash[slot]].id != id)
		slot = (slot + 1) % DC_CALL_HASH_SIZE;
	return slot;
}

struct dc_call *
dc_call_find(struct dc_core *core, uint64_t id)
{
	uint32_t index = core->call_hash[find_slot(core, id)];

	return index == DC_NONE ? NULL : &core->calls[index];
}

struct dc_call *
dc_call_new(struct dc_core *core, uint64_t id)
{
	uint32_t index = core->first_free;
	struct dc_call *call;

	if (index == DC_NONE)
		return NULL;
	call = &core->calls[index];
	core->first_free = call->next_free;
	*call = (struct dc_call){.id = id, .avoid_target = DC_NONE};
	core->call_hash[find_slot(core, id)] = index;
	return call;
}

/*
 * Closes the gap that an emptied hash slot leaves in probe sequences: moves
 * back those entries that the gap would hide.
 */
static void
close_gap(struct dc_core *core, uint32_t gap)
{
	uint32_t slot = gap, first, distance;

	for (;;) {
		slot = (slot + 1) % DC_CALL_HASH_SIZE;
		if (core->call_hash[slot] == DC_NONE)
			return;
		first = first_slot(core->calls[core->call_hash[slot]].id);
		distance =
		    (slot - first + DC_CALL_HASH_SIZE) % DC_CALL_HASH_SIZE;
		if (distance <
		    (slot - gap + DC_CALL_HASH_SIZE) % DC_CALL_HASH_SIZE)
			continue;
		core->call_hash[gap] = core->call_hash[slot];
		core->call_hash[slot] = DC_NONE;
		gap = slot;
	}
}

void
dc_call_free(struct dc_core *core, struct dc_call *call)
{
	uint32_t slot = find_slot(core, call->id);

	if (call->nodes[DC_NODE_TIMER].linked)
		dc_heap_remove(core, &core->timers, dc_call_index(core, call));
	core->call_hash[slot] = DC_NONE;
	close_gap(core, slot);
	call->state = DC_CALL_FREE;
	call->next_free = core->first_free;
	core->first_free = dc_call_index(core, call);
}

uint32_t
dc_call_index(const struct dc_core *core, const struct dc_call *call)
{
	return (uint32_t)(call - core->calls);
}

void
dc_call_clear_timer(struct dc_core *core, struct dc_call *call)
{
	if (call->nodes[DC_NODE_TIMER].linked)
		dc_heap_remove(core, &core->timers, dc_call_index(core, call));
}

void
dc_call_set_timer(struct dc_core *core, struct dc_call *call, int64_t at_us)
{
	dc_call_clear_timer(core, call);
	dc_heap_push(core, &core->timers, dc_call_index(core, call), at_us);
}
