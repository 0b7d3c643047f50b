/* The table of calls: lookup by id, a free list, and one timer each. */
#include "decide_internal.h"

void
dc_calls_init(struct dc_core *core)
{
	uint32_t i;

	for (i = 0; i < DC_CALL_INDEX_SIZE; i++)
		core->call_index[i] = DC_NONE;
	for (i = 0; i < DC_CALLS_MAX; i++)
		core->calls[i].next_free = i + 1;
	core->calls[DC_CALLS_MAX - 1].next_free = DC_NONE;
	core->first_free = 0;
	dc_heap_init(&core->timers, DC_NODE_TIMER);
}

static uint32_t
home_slot(uint64_t id)
{
	return (uint32_t)(cs_hash_pair(id, 0) % DC_CALL_INDEX_SIZE);
}

/* The index slot that holds the id, or the free one where it belongs. */
static uint32_t
find_slot(const struct dc_core *core, uint64_t id)
{
	uint32_t slot = home_slot(id);

	while (core->call_index[slot] != DC_NONE &&
	       core->calls[core->call_index[slot]].id != id)
		slot = (slot + 1) % DC_CALL_INDEX_SIZE;
	return slot;
}

struct dc_call *
dc_call_find(struct dc_core *core, uint64_t id)
{
	uint32_t number = core->call_index[find_slot(core, id)];

	return number == DC_NONE ? NULL : &core->calls[number];
}

struct dc_call *
dc_call_new(struct dc_core *core, uint64_t id)
{
	uint32_t number = core->first_free;
	struct dc_call *call;

	if (number == DC_NONE)
		return NULL;
	call = &core->calls[number];
	core->first_free = call->next_free;
	*call = (struct dc_call){.id = id, .avoid = DC_NONE};
	core->call_index[find_slot(core, id)] = number;
	return call;
}

/* Closes the gap that an emptied index slot leaves in its probe sequence. */
static void
close_gap(struct dc_core *core, uint32_t gap)
{
	uint32_t slot = gap, home, distance;

	for (;;) {
		slot = (slot + 1) % DC_CALL_INDEX_SIZE;
		if (core->call_index[slot] == DC_NONE)
			return;
		home = home_slot(core->calls[core->call_index[slot]].id);
		distance =
		    (slot - home + DC_CALL_INDEX_SIZE) % DC_CALL_INDEX_SIZE;
		if (distance <
		    (slot - gap + DC_CALL_INDEX_SIZE) % DC_CALL_INDEX_SIZE)
			continue;
		core->call_index[gap] = core->call_index[slot];
		core->call_index[slot] = DC_NONE;
		gap = slot;
	}
}

void
dc_call_free(struct dc_core *core, struct dc_call *call)
{
	uint32_t slot = find_slot(core, call->id);

	if (call->nodes[DC_NODE_TIMER].linked)
		dc_heap_remove(core, &core->timers, dc_call_number(core, call));
	core->call_index[slot] = DC_NONE;
	close_gap(core, slot);
	call->state = DC_CALL_FREE;
	call->next_free = core->first_free;
	core->first_free = dc_call_number(core, call);
}

uint32_t
dc_call_number(const struct dc_core *core, const struct dc_call *call)
{
	return (uint32_t)(call - core->calls);
}

void
dc_call_clear_timer(struct dc_core *core, struct dc_call *call)
{
	if (call->nodes[DC_NODE_TIMER].linked)
		dc_heap_remove(core, &core->timers, dc_call_number(core, call));
}

void
dc_call_set_timer(struct dc_core *core, struct dc_call *call, int64_t at_us)
{
	dc_call_clear_timer(core, call);
	dc_heap_push(core, &core->timers, dc_call_number(core, call), at_us);
}
