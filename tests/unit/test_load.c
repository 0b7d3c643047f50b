/*
 * Simulates load on virtual time: targets that noisy neighbours slow down at
 * times, peaks of calls, and several VMs that each see only their own calls.
 * Each case states what share of the calls must be served within their
 * objective, and how far that must exceed the share that random placement
 * reaches under the same load.
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
	double peak_factor; /* factor on calls_per_s, for a third of the time */
	double work_ms;
	int64_t objective_ms;
	double slow_share; /* of the time, for each target */
	double slow_x;
	uint32_t down;	    /* targets that refuse connections */
	uint32_t failing;   /* targets that fail each request immediately */
	double min_in_time; /* share within the objective, with lib/balance */
	double min_gain;    /* over the share of random placement */
};

static const struct load_case cases[] = {
    {"no slow targets", 6, 4, 2, 100, 1, 50, 200, 0.0, 1, 0, 0, 0.97, -0.01},
    {"noisy neighbours", 6, 4, 2, 150, 1, 50, 200, 0.25, 4, 0, 0, 0.90, 0.10},
    {"noisy neighbours, two slots", 6, 2, 3, 25, 1, 140, 400, 0.35, 4, 0, 0,
	0.75, 0.10},
    {"peaks above the capacity of the targets", 6, 4, 5, 150, 3, 50, 200, 0.25,
	4, 0, 0, 0.50, 0.10},
    {"a target that is down", 6, 4, 3, 120, 1, 50, 200, 0.25, 4, 1, 0, 0.85,
	0.15},
    {"a target that fails all requests", 6, 4, 3, 120, 1, 50, 200, 0.25, 4, 0,
	1, 0.85, 0.15},
    /* Nothing states a share for these: only the gain is required. */
    {"peaks of twice the calls on half of the targets", 6, 4, 3, 150, 2, 50,
	200, 0.25, 4, 3, 0, 0.0, 0.10},
    {"a third of the targets slow by 5", 6, 4, 3, 150, 1, 50, 200, 0.33, 5, 0,
	0, 0.0, 0.10},
};

struct call {
	bool active;
	bool waiting;
	int64_t received_us;
	int64_t
	    place_us; /* time of placement: the probes are answered by then */
	int64_t started_us;
	double work_left_us;
	uint32_t vm, target;
	bool probed;
};

struct target_state {
	bool slow;
	int64_t changes_us;
	uint32_t running, queued;
};

struct simulation {
	const struct load_case *load;
	struct cs_random random;
	struct bl_topology topology;
	struct bl_pool *pools[VMS_MAX];
	struct bl_target *targets[VMS_MAX][TARGETS_MAX];
	struct target_state target_states[TARGETS_MAX];
	struct call calls[CALLS_MAX];
	bool place_randomly;
	int64_t now_us;
	uint32_t received, in_time;
};

static double
exponential(struct cs_random *random, double mean)
{
	return -mean * log(1.0 - cs_random_unit(random));
}

static void
set_up(struct simulation *simulation, const struct load_case *load,
    bool place_randomly)
{
	uint32_t vm, i;

	memset(simulation, 0, sizeof(*simulation));
	simulation->load = load;
	simulation->place_randomly = place_randomly;
	simulation->now_us = 1000 * MS;
	cs_random_seed(&simulation->random, 1);
	simulation->topology.count = 1;
	simulation->topology.data_centres[0].same_region = true;
	simulation->topology.data_centres[0].rtt_us = 1 * MS;
	for (vm = 0; vm < load->vms; vm++) {
		simulation->pools[vm] = bl_pool_create("p");
		for (i = 0; i < load->targets; i++) {
			char id[16];

			snprintf(id, sizeof(id), "t%u", i);
			simulation->targets[vm][i] = bl_target_create(id);
			simulation->targets[vm][i]->slots = load->slots;
			bl_pool_add(
			    simulation->pools[vm], simulation->targets[vm][i]);
		}
	}
}

static void
tear_down(struct simulation *simulation)
{
	uint32_t vm;

	for (vm = 0; vm < simulation->load->vms; vm++)
		bl_pool_free(simulation->pools[vm]);
}

static struct bl_load
get_load(const struct simulation *simulation, uint32_t target)
{
	const struct target_state *target_state =
	    &simulation->target_states[target];

	return (struct bl_load){
	    .running = target_state->running,
	    .waiting = target_state->queued,
	    .slots = simulation->load->slots,
	    .slowness_pct = target_state->slow
				? (uint32_t)(100 * simulation->load->slow_x)
				: 100,
	};
}

/*
 * Returns the speed of a target, 1 when it is neither slow nor nearly full.
 * Noisy neighbours slow it down, and so do the last slots in use.
 */
static double
speed(const struct simulation *simulation, uint32_t target)
{
	const struct target_state *target_state =
	    &simulation->target_states[target];
	double slow = target_state->slow ? simulation->load->slow_x : 1.0;

	if (target_state->running > 0.8 * simulation->load->slots)
		slow *= 1.7;
	return 1.0 / slow;
}

static void
update_slow_targets(struct simulation *simulation)
{
	uint32_t i;

	for (i = 0; i < simulation->load->targets; i++) {
		struct target_state *target_state =
		    &simulation->target_states[i];

		if (simulation->now_us < target_state->changes_us)
			continue;
		target_state->slow = cs_random_unit(&simulation->random) <
				     simulation->load->slow_share;
		target_state->changes_us =
		    simulation->now_us +
		    (int64_t)exponential(&simulation->random, 300.0 * MS);
	}
}

static uint32_t
find_target_index(const struct simulation *simulation, uint32_t vm,
    const struct bl_target *target)
{
	uint32_t i;

	for (i = 0; i < simulation->load->targets; i++) {
		if (simulation->targets[vm][i] == target)
			break;
	}
	return i;
}

static void
end_call(
    struct simulation *simulation, struct call *call, enum bl_outcome outcome)
{
	struct bl_target *target = simulation->targets[call->vm][call->target];
	int64_t latency_us = simulation->now_us - call->received_us;

	bl_request_ended(target, outcome, simulation->now_us - call->started_us,
	    simulation->now_us);
	call->active = false;
	simulation->in_time +=
	    outcome == BL_SERVED &&
	    latency_us <= simulation->load->objective_ms * MS;
}

static void
start_call(struct simulation *simulation, struct call *call, uint32_t target)
{
	const struct load_case *load = simulation->load;
	struct bl_target *bl_target = simulation->targets[call->vm][target];

	call->waiting = false;
	call->target = target;
	call->started_us = simulation->now_us;
	call->work_left_us = load->work_ms * MS *
			     (0.7 + 0.6 * cs_random_unit(&simulation->random));
	bl_request_started(bl_target, simulation->now_us);
	if (target < load->down) {
		end_call(simulation, call, BL_UNREACHED);
	} else if (target < load->down + load->failing) {
		end_call(simulation, call, BL_FAILED);
	} else if (simulation->target_states[target].running < load->slots) {
		simulation->target_states[target].running++;
	} else {
		simulation->target_states[target].queued++;
		call->work_left_us = -call->work_left_us; /* negative: queued */
	}
}

static void
answer_probes(struct simulation *simulation, struct call *call,
    const struct bl_placement *placement)
{
	uint32_t i;

	for (i = 0; i < placement->probe_count; i++) {
		uint32_t target_index = find_target_index(
		    simulation, call->vm, placement->probes[i]);
		struct bl_load load = get_load(simulation, target_index);

		placement->probes[i]->probe_sent_us = simulation->now_us;
		if (target_index >= simulation->load->down)
			bl_load_reported(
			    placement->probes[i], &load, simulation->now_us);
	}
	call->probed = true;
	call->place_us = simulation->now_us + PROBE_US;
}

static void
place_call(struct simulation *simulation, struct call *call)
{
	const struct load_case *load = simulation->load;
	struct bl_request request = {
	    .now_us = simulation->now_us,
	    .objective_us = call->received_us + load->objective_ms * MS,
	    .deadline_us = call->received_us + 5 * load->objective_ms * MS,
	    .may_probe = !call->probed,
	    .may_wait = true,
	    .tie_breaker = cs_random_next(&simulation->random),
	};
	struct bl_placement out;

	if (simulation->place_randomly) {
		start_call(simulation, call,
		    cs_random_below(&simulation->random, load->targets));
		return;
	}
	bl_place(
	    &simulation->topology, simulation->pools[call->vm], &request, &out);
	switch (out.verdict) {
	case BL_SEND:
		start_call(simulation, call,
		    find_target_index(simulation, call->vm, out.target));
		break;
	case BL_PROBE:
		answer_probes(simulation, call, &out);
		break;
	case BL_WAIT:
		call->place_us = simulation->now_us + 10 * MS;
		break;
	case BL_REFUSE:
		call->active = false;
		break;
	}
}

static void
receive_call(struct simulation *simulation)
{
	double rate = simulation->load->calls_per_s;
	uint32_t i;

	if (simulation->now_us / (1000 * MS) % 3 == 2)
		rate *= simulation->load->peak_factor;
	if (cs_random_unit(&simulation->random) > rate * (double)STEP_US / 1e6)
		return;
	for (i = 0; i < CALLS_MAX && simulation->calls[i].active; i++)
		;
	assert_true(i < CALLS_MAX);
	simulation->calls[i] = (struct call){.active = true,
	    .waiting = true,
	    .received_us = simulation->now_us,
	    .place_us = simulation->now_us,
	    .vm = cs_random_below(&simulation->random, simulation->load->vms)};
	simulation->received++;
}

static void
advance_call(struct simulation *simulation, struct call *call)
{
	struct target_state *target_state =
	    &simulation->target_states[call->target];
	struct bl_load load;

	if (call->work_left_us < 0) { /* queued: a slot may be free now */
		if (target_state->running >= simulation->load->slots)
			return;
		target_state->queued--;
		target_state->running++;
		call->work_left_us = -call->work_left_us;
	}
	call->work_left_us -= (double)STEP_US * speed(simulation, call->target);
	if (call->work_left_us > 0)
		return;
	target_state->running--;
	load = get_load(simulation, call->target);
	bl_load_reported(simulation->targets[call->vm][call->target], &load,
	    simulation->now_us);
	end_call(simulation, call, BL_SERVED);
}

static double
simulate(const struct load_case *load, bool place_randomly)
{
	static struct simulation simulation;
	int64_t end_us;
	uint32_t i;

	set_up(&simulation, load, place_randomly);
	end_us = simulation.now_us + 30000 * MS;
	for (; simulation.now_us < end_us; simulation.now_us += STEP_US) {
		update_slow_targets(&simulation);
		receive_call(&simulation);
		for (i = 0; i < CALLS_MAX; i++) {
			struct call *call = &simulation.calls[i];

			if (call->active && call->waiting &&
			    call->place_us <= simulation.now_us)
				place_call(&simulation, call);
			else if (call->active && !call->waiting)
				advance_call(&simulation, call);
		}
	}
	tear_down(&simulation);
	return (double)simulation.in_time / simulation.received;
}

static void
test_share_within_objective_under_load(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct load_case *load = &cases[i];
		double placed = simulate(load, false);
		double random = simulate(load, true);

		print_message(
		    "%s: %.3f in time, %.3f in time with random placement\n",
		    load->name, placed, random);
		if (placed < load->min_in_time ||
		    placed < random + load->min_gain)
			fail_msg("%s: %.3f in time, %.3f in time with random "
				 "placement",
			    load->name, placed, random);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_share_within_objective_under_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
