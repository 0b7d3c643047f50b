/*
 * Loads replayed on virtual time: targets whose neighbours press now and then,
 * callers in waves, several VMs that see only their own part. Each case states
 * what share of the calls must be answered within their objective, against the
 * share that random placement reaches under the same load.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"

#define MS INT64_C(1000)
#define STEP_US (1 * MS)
#define CALLS_MAX 4096
#define TARGETS_MAX 32
#define VMS_MAX 8
#define PROBE_US (4 * MS)

struct load_case {
	const char *name;
	uint32_t targets, slots, vms;
	double calls_per_s;
	double crest; /* times that, for a third of the time */
	double work_ms;
	int64_t objective_ms;
	double slow_share; /* of the time of each target */
	double slow_x;
	uint32_t down;	  /* targets that refuse connections */
	uint32_t failing; /* targets that fail each request at once */
	double at_least;  /* share in time, with lib/balance */
	double gain;	  /* over random placement, at least */
};

static const struct load_case cases[] = {
    {"calm", 6, 4, 2, 100, 1, 50, 200, 0.0, 1, 0, 0, 0.97, -0.01},
    {"pressing neighbours", 6, 4, 2, 150, 1, 50, 200, 0.25, 4, 0, 0, 0.90,
	0.10},
    {"pressing neighbours, two slots", 6, 2, 3, 25, 1, 140, 400, 0.35, 4, 0, 0,
	0.75, 0.10},
    {"a crest over what targets finish", 6, 4, 5, 150, 3, 50, 200, 0.25, 4, 0,
	0, 0.50, 0.10},
    {"a target that is down", 6, 4, 3, 120, 1, 50, 200, 0.25, 4, 1, 0, 0.85,
	0.15},
    {"a target that fails all", 6, 4, 3, 120, 1, 50, 200, 0.25, 4, 0, 1, 0.85,
	0.15},
};

struct call {
	bool active;
	bool waiting;
	int64_t received_us;
	int64_t place_us; /* when it is placed: probes are answered by then */
	int64_t started_us;
	double work_left_us;
	uint32_t vm, target;
	bool asked;
};

struct machine {
	bool slow;
	int64_t changes_us;
	uint32_t running, queued;
};

struct world {
	const struct load_case *load;
	struct cs_random random;
	struct bl_topology topology;
	struct bl_pool *pools[VMS_MAX];
	struct bl_target *targets[VMS_MAX][TARGETS_MAX];
	struct machine machines[TARGETS_MAX];
	struct call calls[CALLS_MAX];
	bool at_random;
	int64_t now_us;
	uint32_t asked, in_time;
};

static double
exponential(struct cs_random *random, double mean)
{
	return -mean * log(1.0 - cs_random_unit(random));
}

static void
set_up(struct world *world, const struct load_case *load, bool at_random)
{
	uint32_t vm, i;

	memset(world, 0, sizeof(*world));
	world->load = load;
	world->at_random = at_random;
	world->now_us = 1000 * MS;
	cs_random_seed(&world->random, 1);
	world->topology.count = 1;
	world->topology.data_centres[0].same_region = true;
	world->topology.data_centres[0].rtt_us = 1 * MS;
	for (vm = 0; vm < load->vms; vm++) {
		world->pools[vm] = bl_pool_create("p");
		for (i = 0; i < load->targets; i++) {
			char id[16];

			snprintf(id, sizeof(id), "t%u", i);
			world->targets[vm][i] = bl_target_create(id);
			world->targets[vm][i]->slots = load->slots;
			bl_pool_add(world->pools[vm], world->targets[vm][i]);
		}
	}
}

static void
tear_down(struct world *world)
{
	uint32_t vm;

	for (vm = 0; vm < world->load->vms; vm++)
		bl_pool_free(world->pools[vm]);
}

static struct bl_load
say(const struct world *world, uint32_t target)
{
	const struct machine *machine = &world->machines[target];

	return (struct bl_load){
	    .running = machine->running,
	    .waiting = machine->queued,
	    .slots = world->load->slots,
	    .slowness_pct =
		machine->slow ? (uint32_t)(100 * world->load->slow_x) : 100,
	};
}

/* How fast work goes on: neighbours, and the knee near the last slot. */
static double
speed(const struct world *world, uint32_t target)
{
	const struct machine *machine = &world->machines[target];
	double slow = machine->slow ? world->load->slow_x : 1.0;

	if (machine->running > 0.8 * world->load->slots)
		slow *= 1.7;
	return 1.0 / slow;
}

static void
change_neighbours(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->load->targets; i++) {
		struct machine *machine = &world->machines[i];

		if (world->now_us < machine->changes_us)
			continue;
		machine->slow =
		    cs_random_unit(&world->random) < world->load->slow_share;
		machine->changes_us =
		    world->now_us +
		    (int64_t)exponential(&world->random, 300.0 * MS);
	}
}

static uint32_t
number_of(
    const struct world *world, uint32_t vm, const struct bl_target *target)
{
	uint32_t i;

	for (i = 0; i < world->load->targets; i++) {
		if (world->targets[vm][i] == target)
			break;
	}
	return i;
}

static void
finish(struct world *world, struct call *call, enum bl_outcome outcome)
{
	struct bl_target *target = world->targets[call->vm][call->target];
	int64_t took_us = world->now_us - call->received_us;

	bl_request_ended(
	    target, outcome, world->now_us - call->started_us, world->now_us);
	call->active = false;
	world->in_time +=
	    outcome == BL_SERVED && took_us <= world->load->objective_ms * MS;
}

static void
start(struct world *world, struct call *call, uint32_t target)
{
	const struct load_case *load = world->load;
	struct bl_target *known = world->targets[call->vm][target];

	call->waiting = false;
	call->target = target;
	call->started_us = world->now_us;
	call->work_left_us =
	    load->work_ms * MS * (0.7 + 0.6 * cs_random_unit(&world->random));
	bl_request_started(known, world->now_us);
	if (target < load->down) {
		finish(world, call, BL_UNREACHED);
	} else if (target < load->down + load->failing) {
		finish(world, call, BL_FAILED);
	} else if (world->machines[target].running < load->slots) {
		world->machines[target].running++;
	} else {
		world->machines[target].queued++;
		call->work_left_us = -call->work_left_us; /* in its queue */
	}
}

static void
answer_probes(
    struct world *world, struct call *call, const struct bl_placement *asked)
{
	uint32_t i;

	for (i = 0; i < asked->probe_count; i++) {
		uint32_t number = number_of(world, call->vm, asked->probes[i]);
		struct bl_load load = say(world, number);

		asked->probes[i]->probe_sent_us = world->now_us;
		if (number >= world->load->down)
			bl_load_reported(
			    asked->probes[i], &load, world->now_us);
	}
	call->asked = true;
	call->place_us = world->now_us + PROBE_US;
}

static void
place(struct world *world, struct call *call)
{
	const struct load_case *load = world->load;
	struct bl_request request = {
	    .now_us = world->now_us,
	    .objective_us = call->received_us + load->objective_ms * MS,
	    .deadline_us = call->received_us + 5 * load->objective_ms * MS,
	    .may_probe = !call->asked,
	    .may_wait = true,
	    .tie_breaker = cs_random_next(&world->random),
	};
	struct bl_placement out;

	if (world->at_random) {
		start(world, call,
		    cs_random_below(&world->random, load->targets));
		return;
	}
	bl_place(&world->topology, world->pools[call->vm], &request, &out);
	switch (out.verdict) {
	case BL_SEND:
		start(world, call, number_of(world, call->vm, out.target));
		break;
	case BL_PROBE:
		answer_probes(world, call, &out);
		break;
	case BL_WAIT:
		call->place_us = world->now_us + 10 * MS;
		break;
	case BL_REFUSE:
		call->active = false;
		break;
	}
}

static void
arrive(struct world *world)
{
	double rate = world->load->calls_per_s;
	uint32_t i;

	if (world->now_us / (1000 * MS) % 3 == 2)
		rate *= world->load->crest;
	if (cs_random_unit(&world->random) > rate * (double)STEP_US / 1e6)
		return;
	for (i = 0; i < CALLS_MAX && world->calls[i].active; i++)
		;
	assert_true(i < CALLS_MAX);
	world->calls[i] = (struct call){.active = true,
	    .waiting = true,
	    .received_us = world->now_us,
	    .place_us = world->now_us,
	    .vm = cs_random_below(&world->random, world->load->vms)};
	world->asked++;
}

static void
work(struct world *world, struct call *call)
{
	struct machine *machine = &world->machines[call->target];
	struct bl_load load;

	if (call->work_left_us < 0) { /* queued: a slot may be free now */
		if (machine->running >= world->load->slots)
			return;
		machine->queued--;
		machine->running++;
		call->work_left_us = -call->work_left_us;
	}
	call->work_left_us -= (double)STEP_US * speed(world, call->target);
	if (call->work_left_us > 0)
		return;
	machine->running--;
	load = say(world, call->target);
	bl_load_reported(
	    world->targets[call->vm][call->target], &load, world->now_us);
	finish(world, call, BL_SERVED);
}

static double
play(const struct load_case *load, bool at_random)
{
	static struct world world;
	int64_t end_us;
	uint32_t i;

	set_up(&world, load, at_random);
	end_us = world.now_us + 30000 * MS;
	for (; world.now_us < end_us; world.now_us += STEP_US) {
		change_neighbours(&world);
		arrive(&world);
		for (i = 0; i < CALLS_MAX; i++) {
			struct call *call = &world.calls[i];

			if (call->active && call->waiting &&
			    call->place_us <= world.now_us)
				place(&world, call);
			else if (call->active && !call->waiting)
				work(&world, call);
		}
	}
	tear_down(&world);
	return (double)world.in_time / world.asked;
}

static void
test_loads(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct load_case *load = &cases[i];
		double placed = play(load, false);
		double random = play(load, true);

		print_message("%s: in time %.3f, at random %.3f\n", load->name,
		    placed, random);
		if (placed < load->at_least || placed < random + load->gain)
			fail_msg("%s: %.3f in time, %.3f at random", load->name,
			    placed, random);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_loads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
