/* What tests of large fleets have in common. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fleet_world.h"

void
fw_run_updates(struct fw_world *world, int64_t for_us)
{
	int64_t end_us = world->now_us + for_us;

	while (world->now_us < end_us) {
		fw_change_target(world);
		fw_run(world, FW_SECOND / FW_UPDATES_PER_S);
	}
}

void
fw_start_all(struct fw_world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		fw_start(world, i);
		fw_run(world, 300 * FW_MS / world->vm_count);
	}
}

/* Every VM of a region hears every other one and has all objects. */
void
fw_expect_whole(const struct fw_world *world)
{
	uint32_t i, j;

	for (i = 0; i < world->vm_count; i++) {
		assert_int_equal(
		    os_cache_revision(world->vms[i].cache, 0), world->revision);
		for (j = 0; j < world->vm_count; j++) {
			if (i != j &&
			    world->vms[i].region == world->vms[j].region)
				assert_true(fw_may_name(world, i, j));
		}
	}
}

uint32_t
fw_find_leader(const struct fw_world *world, uint32_t region)
{
	uint32_t vm;

	for (vm = region; vm < world->vm_count; vm += FW_REGIONS) {
		if (fw_runs(world, vm) && world->vms[vm].watches)
			return vm;
	}
	abort();
}

const struct fl_node *
fw_record_of(const struct fw_world *world, uint32_t vm)
{
	return &fl_get_membership(world->vms[vm].fleet)->self;
}

bool
fw_is_in(const struct fw_world *world, uint32_t vm, uint32_t region,
    uint32_t data_centre)
{
	return world->vms[vm].region == region &&
	       world->vms[vm].data_centre == data_centre;
}

/*
 * Sets out to the VMs of the data centre that rank first, without the leader:
 * one of them relays the updates for all others.
 */
uint32_t
fw_find_first(const struct fw_world *world, uint32_t region,
    uint32_t data_centre, uint32_t *out, uint32_t max)
{
	uint32_t count = 0, vm, other, before;

	for (vm = 0; vm < world->vm_count; vm++) {
		if (!fw_is_in(world, vm, region, data_centre) ||
		    !fw_runs(world, vm) || world->vms[vm].watches)
			continue;
		before = 0;
		for (other = 0; other < world->vm_count; other++)
			before +=
			    fw_is_in(world, other, region, data_centre) &&
			    fw_runs(world, other) &&
			    !world->vms[other].watches &&
			    fl_node_ranks_before(fw_record_of(world, other),
				fw_record_of(world, vm));
		if (before < max)
			out[count++] = vm;
	}
	return count;
}

struct fw_world *
fw_run_large_fleet(uint32_t vms, uint64_t seed)
{
	struct fw_world *world = fw_create(vms, seed);

	fw_start_all(world);
	fw_run(world, 10 * FW_SECOND);
	return world;
}

void
fw_clear_features(uint32_t vm, struct fl_params *params)
{
	if (vm % 2 == 0)
		params->self.features = 0;
}
