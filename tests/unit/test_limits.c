/*
 * Limits that targets name for all VMs together, on virtual time: fleets of 2,
 * 16 and 473 VMs in three regions, whose VMs come, go, freeze and are cut off
 * while limits change. In any 4 s a target gets at most one and a half times
 * what its limit allows and 5 requests more, of VMs that have known it for half
 * a second.
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
#include "../../lib/fleet/fleet.h"

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define VMS_MAX 473
#define REGIONS 3
#define TARGETS 3
#define WAITING_MAX 64
#define ARRIVALS_MAX 20000

/* The rule. */
#define WINDOW (4 * SECOND)
#define NOTICE (500 * MS)
#define STABLE_WINDOW (3 * SECOND)
#define FACTOR 1.5
#define SLACK 5

#define WORK (50 * MS)
#define IN_REGION (1 * MS)
#define BETWEEN_REGIONS (13 * MS)
#define HEARTBEAT (800 * MS)
#define DISPATCH (10 * MS)
#define DEADLINE (1000 * MS)
#define DATAGRAM_LOSS 0.01
#define NO_LIMIT (-1.0)

struct vm {
	bool alive;
	int64_t frozen_until_us;
	int64_t cut_until_us;	  /* from the VMs on the other side */
	int64_t excused_since_us; /* last restart, freeze or cut; -1: never */
	uint32_t region, index;	  /* in the region */
	struct fl_membership membership;
	struct bl_topology topology;
	struct bl_pool *pool;
	struct bl_target *targets[TARGETS];
	int64_t told_us[TARGETS];     /* -1: not told */
	int64_t waiting[WAITING_MAX]; /* arrival times */
	uint32_t waiting_count;
};

enum event_type {
	CALL,
	REACH,
	RESPOND,
	ASK,
	PERMIT,
	TELL,
	PROBED,
	BEAT,
	DISPATCH_DUE,
	TROUBLE
};

struct event {
	int64_t at_us;
	enum event_type type;
	uint32_t vm, target;
	uint32_t asker; /* of permits */
	struct bl_limit_report report;
	struct bl_ask ask;
	struct bl_permit permit;
	bool passed_on;
	int64_t arrived_us; /* of a call whose probes are answered */
};

struct world;

struct limit_case {
	const char *name;
	double calls_per_s;
	uint32_t limited_targets;
	double (*limit_at)(int64_t now_us);
	void (*trouble)(struct world *world, uint32_t step);
	int64_t trouble_every_us;
	double stale_share; /* of the responses that name the value before */
	/* All VMs and targets are in one region, and targets are probed. */
	bool one_region;
	int64_t duration_us; /* 0: DURATION */
};

struct arrival {
	int64_t at_us;
	uint32_t vm, target;
	bool counts;
};

struct world {
	const struct limit_case *c;
	struct cs_random random;
	int64_t now_us;
	uint32_t vm_count;
	int64_t duration_us;
	struct vm vms[VMS_MAX];
	struct event *heap;
	uint32_t heap_count, heap_capacity;
	struct arrival arrivals[ARRIVALS_MAX];
	uint32_t arrival_count;
	uint32_t served, refused;
	int64_t last_refused_us;
};

#define PROBE_TIME (4 * MS) /* until all are answered */
#define DURATION (24 * SECOND)
#define LIMIT_FROM (2 * SECOND)
/* Virtual time begins late enough for a time of 0 to mean never. */
#define START (100 * SECOND)

static void
push(struct world *world, const struct event *event)
{
	uint32_t at = world->heap_count++;

	if (world->heap_count > world->heap_capacity) {
		world->heap_capacity = world->heap_capacity * 2 + 1024;
		world->heap = realloc(
		    world->heap, world->heap_capacity * sizeof(*world->heap));
		assert_non_null(world->heap);
	}
	for (; at > 0 && world->heap[(at - 1) / 2].at_us > event->at_us;
	     at = (at - 1) / 2)
		world->heap[at] = world->heap[(at - 1) / 2];
	world->heap[at] = *event;
}

static struct event
pop(struct world *world)
{
	struct event first = world->heap[0];
	struct event last = world->heap[--world->heap_count];
	uint32_t at = 0, child;

	while ((child = 2 * at + 1) < world->heap_count) {
		if (child + 1 < world->heap_count &&
		    world->heap[child + 1].at_us < world->heap[child].at_us)
			child++;
		if (world->heap[child].at_us >= last.at_us)
			break;
		world->heap[at] = world->heap[child];
		at = child;
	}
	world->heap[at] = last;
	return first;
}

static double
unit(struct world *world)
{
	return cs_random_unit(&world->random);
}

static bool
runs(const struct world *world, const struct vm *vm)
{
	return vm->alive && world->now_us >= vm->frozen_until_us;
}

/* Cut VMs reach targets and callers, and only each other. */
static bool
is_reached(const struct world *world, const struct vm *a, const struct vm *b)
{
	return (world->now_us < a->cut_until_us) ==
	       (world->now_us < b->cut_until_us);
}

static int64_t
delay_between(const struct vm *a, const struct vm *b)
{
	return a->region == b->region ? IN_REGION : BETWEEN_REGIONS;
}

/* Sends a datagram from one VM to another; some get lost. */
static void
send_datagram(
    struct world *world, uint32_t from, uint32_t to, struct event *event)
{
	const struct vm *a = &world->vms[from], *b = &world->vms[to];

	if (!is_reached(world, a, b) || unit(world) < DATAGRAM_LOSS)
		return;
	event->at_us = world->now_us + delay_between(a, b);
	event->vm = to;
	push(world, event);
}

static double
limit_of(const struct world *world, uint32_t target, int64_t now_us)
{
	return target < world->c->limited_targets
		   ? world->c->limit_at(now_us - START)
		   : NO_LIMIT;
}

static void
create_targets(struct world *world, struct vm *vm)
{
	uint32_t i;

	if (vm->pool != NULL)
		bl_pool_free(vm->pool);
	vm->pool = bl_pool_create("p");
	for (i = 0; i < TARGETS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "t-%u", i);
		vm->targets[i] = bl_target_create(id);
		vm->targets[i]->slots = 100;
		vm->targets[i]->data_centre =
		    world->c->one_region ? 0 : i % REGIONS;
		bl_target_set_process(vm->targets[i], 1);
		assert_int_equal(bl_pool_add(vm->pool, vm->targets[i]), CS_OK);
		vm->told_us[i] = -1;
	}
	vm->waiting_count = 0;
}

static uint32_t
vm_number(const struct world *world, uint32_t region, uint32_t index)
{
	return world->c->one_region ? index : index * REGIONS + region;
}

static uint32_t
region_size(const struct world *world, uint32_t region)
{
	if (world->c->one_region)
		return region == 0 ? world->vm_count : 0;
	return (world->vm_count + REGIONS - 1 - region) / REGIONS;
}

static void
start_vm(struct world *world, uint32_t number)
{
	struct vm *vm = &world->vms[number];
	struct fl_node self = {.boot = number + 1};
	uint32_t i;

	vm->alive = true;
	vm->frozen_until_us = 0;
	vm->region = world->c->one_region ? 0 : number % REGIONS;
	vm->index = world->c->one_region ? number : number / REGIONS;
	snprintf(self.name, sizeof(self.name), "vm-%u", number);
	self.fleet.sin_port = (in_port_t)(number + 1);
	fl_membership_free(&vm->membership);
	fl_membership_init(&vm->membership, &self, world->now_us);
	for (i = 0; i < region_size(world, vm->region); i++) {
		struct fl_node other = {.same_region = true};
		uint32_t other_number = vm_number(world, vm->region, i);

		if (other_number == number)
			continue;
		snprintf(other.name, sizeof(other.name), "vm-%u", other_number);
		other.fleet.sin_port = (in_port_t)(other_number + 1);
		fl_membership_add(&vm->membership, &other);
	}
	vm->topology.count = REGIONS;
	vm->topology.own = vm->region;
	for (i = 0; i < REGIONS; i++) {
		vm->topology.data_centres[i].same_region = i == vm->region;
		vm->topology.data_centres[i].rtt_us =
		    i == vm->region ? 2 * IN_REGION : 2 * BETWEEN_REGIONS;
	}
	create_targets(world, vm);
	push(world, &(struct event){
			.at_us = world->now_us, .type = BEAT, .vm = number});
}

/* The entry of another VM of the region in a membership. */
static struct fl_node *
entry_of(struct vm *vm, const struct vm *other)
{
	return &vm->membership.nodes[other->index - (other->index > vm->index)];
}

static void
on_beat(struct world *world, uint32_t number)
{
	struct vm *vm = &world->vms[number];
	uint32_t i;

	for (i = 0; i < region_size(world, vm->region); i++) {
		struct vm *other = &world->vms[vm_number(world, vm->region, i)];

		if (other != vm && runs(world, vm) && runs(world, other) &&
		    is_reached(world, vm, other) &&
		    unit(world) >= DATAGRAM_LOSS) {
			entry_of(other, vm)->heard_us = world->now_us;
			if (entry_of(vm, other)->heard_us == 0)
				entry_of(vm, other)->heard_us = world->now_us;
		}
	}
	push(world, &(struct event){.at_us = world->now_us + HEARTBEAT,
			.type = BEAT,
			.vm = number});
}

static void
tell(struct world *world, uint32_t from, uint32_t target,
    const struct bl_limit_report *report)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		struct event event = {
		    .type = TELL, .target = target, .report = *report};

		if (i != from)
			send_datagram(world, from, i, &event);
	}
}

static void
on_ask(struct world *world, const struct event *event)
{
	struct vm *vm = &world->vms[event->vm];
	const struct fl_node *owner = fl_membership_find_owner(
	    &vm->membership, event->ask.target_process, world->now_us);
	struct event answer = {.type = PERMIT, .target = event->target};

	if (owner != NULL && !event->passed_on) {
		struct event passed_on = *event;
		passed_on.passed_on = true;
		send_datagram(
		    world, event->vm, owner->fleet.sin_port - 1U, &passed_on);
		return;
	}
	bl_limit_grant(vm->targets[event->target], &event->ask, world->now_us,
	    &answer.permit);
	if (event->asker == event->vm)
		bl_limit_granted(
		    vm->targets[event->target], &answer.permit, world->now_us);
	else
		send_datagram(world, event->vm, event->asker, &answer);
}

static void
ask_owner(
    struct world *world, uint32_t number, const struct bl_placement *placement)
{
	struct vm *vm = &world->vms[number];
	struct bl_target *target = placement->ask;
	uint32_t region = target->data_centre, index, to;
	const struct fl_node *owner;
	struct event event = {.type = ASK,
	    .target = (uint32_t)atoi(target->id + 2),
	    .vm = number,
	    .asker = number};

	bl_limit_ask(
	    target, placement->ask_wait_max_us, world->now_us, &event.ask);
	if (region != vm->region) {
		if (region_size(world, region) == 0)
			return;
		index =
		    cs_random_below(&world->random, region_size(world, region));
		to = vm_number(world, region, index);
		send_datagram(world, number, to, &event);
		return;
	}
	owner = fl_membership_find_owner(
	    &vm->membership, event.ask.target_process, world->now_us);
	if (owner == NULL)
		on_ask(world, &event);
	else
		send_datagram(
		    world, number, owner->fleet.sin_port - 1U, &event);
}

static void
send_probes(struct world *world, uint32_t number, int64_t arrived_us,
    const struct bl_placement *placement)
{
	uint32_t i;

	for (i = 0; i < placement->probe_count; i++) {
		placement->probes[i]->probing = true;
		placement->probes[i]->probe_sent_us = world->now_us;
	}
	push(world, &(struct event){.at_us = world->now_us + PROBE_TIME,
			.type = PROBED,
			.vm = number,
			.arrived_us = arrived_us});
}

/* Places one call. Returns false if it waits. */
static bool
place(struct world *world, uint32_t number, int64_t arrived_us, bool is_first)
{
	struct vm *vm = &world->vms[number];
	struct bl_request request = {
	    .now_us = world->now_us,
	    .objective_us = arrived_us + DEADLINE,
	    .deadline_us = arrived_us + DEADLINE,
	    .may_probe = world->c->one_region && !is_first &&
			 arrived_us == world->now_us,
	    .may_wait = is_first || vm->waiting_count < WAITING_MAX,
	    .waiting_calls = vm->waiting_count,
	    .calls_ahead = is_first ? 0 : vm->waiting_count,
	    .tie_breaker = cs_random_next(&world->random),
	};
	struct bl_placement placement;

	bl_place(&vm->topology, vm->pool, &request, &placement);
	if (placement.ask != NULL)
		ask_owner(world, number, &placement);
	switch (placement.verdict) {
	case BL_SEND:
		bl_request_started(placement.target, world->now_us);
		push(world,
		    &(struct event){.at_us = world->now_us + IN_REGION,
			.type = REACH,
			.vm = number,
			.target = (uint32_t)atoi(placement.target->id + 2)});
		world->served++;
		return true;
	case BL_WAIT:
		return false;
	case BL_PROBE:
		send_probes(world, number, arrived_us, &placement);
		return true;
	case BL_REFUSE:
		assert_true(placement.retry_after_us > 0);
		world->refused++;
		world->last_refused_us = world->now_us;
		return true;
	}
	return true;
}

static void
on_dispatch(struct world *world, uint32_t number)
{
	struct vm *vm = &world->vms[number];

	if (!runs(world, vm))
		return;
	while (vm->waiting_count > 0) {
		int64_t arrived_us = vm->waiting[0];

		if (world->now_us > arrived_us + DEADLINE)
			world->refused++;
		else if (!place(world, number, arrived_us, true))
			break;
		memmove(vm->waiting, vm->waiting + 1,
		    --vm->waiting_count * sizeof(vm->waiting[0]));
	}
	if (vm->waiting_count > 0)
		push(world, &(struct event){.at_us = world->now_us + DISPATCH,
				.type = DISPATCH_DUE,
				.vm = number});
}

static void
enqueue(struct world *world, uint32_t number, int64_t arrived_us)
{
	struct vm *vm = &world->vms[number];

	vm->waiting[vm->waiting_count++] = arrived_us;
	if (vm->waiting_count == 1)
		push(world, &(struct event){.at_us = world->now_us + DISPATCH,
				.type = DISPATCH_DUE,
				.vm = number});
}

static void
on_call(struct world *world)
{
	uint32_t number = cs_random_below(&world->random, world->vm_count);
	struct vm *vm = &world->vms[number];

	push(world,
	    &(struct event){.at_us = world->now_us -
				     (int64_t)(log(1.0 - unit(world)) * SECOND /
					       world->c->calls_per_s),
		.type = CALL});
	if (runs(world, vm) && !place(world, number, world->now_us, false))
		enqueue(world, number, world->now_us);
}

/* Idle targets answer the probes of a call, which is placed again. */
static void
on_probed(struct world *world, const struct event *event)
{
	struct vm *vm = &world->vms[event->vm];
	uint32_t i;

	if (!runs(world, vm))
		return;
	for (i = 0; i < TARGETS; i++) {
		struct bl_target *target = vm->targets[i];

		if (!target->probing)
			continue;
		target->probing = false;
		bl_load_reported(target,
		    &(struct bl_load){
			.slots = target->slots, .slowness_pct = 100},
		    world->now_us);
	}
	if (!place(world, event->vm, event->arrived_us, false))
		enqueue(world, event->vm, event->arrived_us);
}

static void
on_reach(struct world *world, const struct event *event)
{
	const struct vm *vm = &world->vms[event->vm];
	struct event response = *event;
	int64_t told_us = vm->told_us[event->target];
	int64_t said_us = world->now_us;
	double per_s;

	assert_true(world->arrival_count < ARRIVALS_MAX);
	world->arrivals[world->arrival_count++] = (struct arrival){
	    .at_us = world->now_us,
	    .vm = event->vm,
	    .target = event->target,
	    .counts = told_us >= 0 && world->now_us >= told_us + NOTICE,
	};
	if (unit(world) < world->c->stale_share)
		said_us -= SECOND / 2;
	per_s = limit_of(world, event->target, said_us);
	response.type = RESPOND;
	response.report = (struct bl_limit_report){
	    .has_limit = per_s >= 0, .per_s = per_s >= 0 ? per_s : 0};
	response.at_us =
	    world->now_us + WORK + (int64_t)(unit(world) * (double)WORK);
	push(world, &response);
}

static void
on_respond(struct world *world, const struct event *event)
{
	struct vm *vm = &world->vms[event->vm];
	struct bl_target *target = vm->targets[event->target];
	struct bl_limit_report report = event->report;

	if (!runs(world, vm) || target->in_flight == 0)
		return;
	bl_request_ended(target, BL_SERVED, WORK, world->now_us);
	report.heard_us = world->now_us;
	if (report.has_limit && vm->told_us[event->target] < 0)
		vm->told_us[event->target] = world->now_us;
	if (bl_limit_heard(target, &report))
		tell(world, event->vm, event->target, &report);
}

static void
handle(struct world *world, const struct event *event)
{
	struct vm *vm = &world->vms[event->vm];

	switch (event->type) {
	case CALL:
		on_call(world);
		break;
	case REACH:
		on_reach(world, event);
		break;
	case RESPOND:
		on_respond(world, event);
		break;
	case PROBED:
		on_probed(world, event);
		break;
	case BEAT:
		on_beat(world, event->vm);
		break;
	case DISPATCH_DUE:
		on_dispatch(world, event->vm);
		break;
	case TELL:
		if (runs(world, vm))
			bl_limit_heard(
			    vm->targets[event->target], &event->report);
		break;
	case ASK:
		if (runs(world, vm))
			on_ask(world, event);
		break;
	case PERMIT:
		if (runs(world, vm))
			bl_limit_granted(vm->targets[event->target],
			    &event->permit, world->now_us);
		break;
	case TROUBLE:
		world->c->trouble(world, event->target);
		push(world, &(struct event){.at_us = world->now_us +
						     world->c->trouble_every_us,
				.type = TROUBLE,
				.target = event->target + 1});
		break;
	}
}

static uint32_t
owner_of(struct world *world, uint32_t target)
{
	uint32_t region = target % REGIONS;
	struct vm *vm = &world->vms[region % world->vm_count];
	const struct fl_node *owner;

	if (region >= world->vm_count)
		return 0;
	owner = fl_membership_find_owner(&vm->membership,
	    bl_target_process(vm->targets[target]), world->now_us);
	return owner == NULL ? region : owner->fleet.sin_port - 1U;
}

static void
kill_vm(struct world *world, uint32_t number)
{
	world->vms[number].alive = false;
	world->vms[number].excused_since_us = world->now_us;
}

/* Restarts the VMs that are down. */
static void
restart_vms(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		if (!world->vms[i].alive)
			start_vm(world, i);
	}
}

static void
no_trouble(struct world *world, uint32_t step)
{
	(void)world;
	(void)step;
}

static void
owners_die(struct world *world, uint32_t step)
{
	if (step % 2 == 0)
		kill_vm(world, owner_of(world, 0));
	else
		restart_vms(world);
}

static void
owners_freeze(struct world *world, uint32_t step)
{
	struct vm *vm = &world->vms[owner_of(world, step % TARGETS)];

	vm->frozen_until_us = world->now_us + 3 * SECOND;
	vm->excused_since_us = vm->frozen_until_us;
}

static void
owners_are_cut_off(struct world *world, uint32_t step)
{
	struct vm *vm = &world->vms[owner_of(world, step % TARGETS)];

	vm->cut_until_us = world->now_us + 3 * SECOND;
	vm->excused_since_us = vm->cut_until_us;
}

static void
vms_restart_in_turn(struct world *world, uint32_t step)
{
	restart_vms(world);
	kill_vm(world, step % world->vm_count);
}

static void
all_restart(struct world *world, uint32_t step)
{
	uint32_t i;

	(void)step;
	for (i = 0; i < world->vm_count; i++)
		kill_vm(world, i);
	restart_vms(world);
}

static double
constant_limit(int64_t at_us)
{
	return at_us < LIMIT_FROM ? NO_LIMIT : 3.0;
}

static double
low_limit(int64_t at_us)
{
	return at_us < LIMIT_FROM ? NO_LIMIT : 0.0;
}

static double
high_limit(int64_t at_us)
{
	return at_us < LIMIT_FROM ? NO_LIMIT : 15.0;
}

static double
falling_limit(int64_t at_us)
{
	return at_us < LIMIT_FROM ? NO_LIMIT : at_us < 12 * SECOND ? 12.0 : 2.0;
}

static double
rising_limit(int64_t at_us)
{
	return at_us < LIMIT_FROM ? NO_LIMIT : at_us < 12 * SECOND ? 2.0 : 12.0;
}

static double
limit_that_ends(int64_t at_us)
{
	return at_us < LIMIT_FROM || at_us >= 14 * SECOND ? NO_LIMIT : 2.6;
}

static double
limit_in_waves(int64_t at_us)
{
	return at_us < LIMIT_FROM ? NO_LIMIT
				  : 4.0 + 3.0 * sin((double)at_us / 1e6);
}

static const struct limit_case cases[] = {
    {"one target of three", 60, 1, constant_limit, no_trouble, DURATION, 0,
	false, 0},
    {"the whole service", 60, 3, constant_limit, no_trouble, DURATION, 0, false,
	0},
    {"all are told in the same second", 400, 3, constant_limit, no_trouble,
	DURATION, 0, false, 0},
    {"takes nothing", 60, 3, low_limit, no_trouble, DURATION, 0, false, 0},
    {"high", 120, 3, high_limit, no_trouble, DURATION, 0, false, 0},
    {"falls", 60, 3, falling_limit, no_trouble, DURATION, 0, false, 0},
    {"rises", 60, 3, rising_limit, no_trouble, DURATION, 0, false, 0},
    {"ends", 60, 3, limit_that_ends, no_trouble, DURATION, 0, false, 0},
    {"one VM still hears the old value", 60, 3, falling_limit, no_trouble,
	DURATION, 0.3, false, 0},
    {"changes all the time", 60, 3, limit_in_waves, no_trouble, DURATION, 0.1,
	false, 0},
    {"owners die and restart", 60, 3, constant_limit, owners_die, 3 * SECOND, 0,
	false, 0},
    {"owners freeze", 60, 3, constant_limit, owners_freeze, 4 * SECOND, 0,
	false, 0},
    {"owners are cut off", 60, 3, constant_limit, owners_are_cut_off,
	4 * SECOND, 0, false, 0},
    {"VMs restart in turn", 60, 3, constant_limit, vms_restart_in_turn,
	300 * MS, 0, false, 0},
    {"all restart", 60, 3, constant_limit, all_restart, 9 * SECOND, 0, false,
	0},
};

/* The highest number that the rule allows in the window from a time on. */
static double
allowed_from(const struct world *world, uint32_t target, int64_t from_us)
{
	double sum = 0;
	int64_t at_us;

	for (at_us = from_us; at_us < from_us + WINDOW; at_us += 10 * MS) {
		double per_s = limit_of(world, target, at_us);

		if (per_s < 0)
			return INFINITY;
		sum += per_s * 0.01;
	}
	return FACTOR * sum + SLACK;
}

static bool
is_excused(const struct vm *vm, int64_t from_us)
{
	return vm->excused_since_us >= 0 &&
	       vm->excused_since_us > from_us - STABLE_WINDOW;
}

static void
check_windows(const struct world *world, uint32_t target)
{
	uint32_t i, k;

	for (i = 0; i < world->arrival_count; i++) {
		int64_t from_us = world->arrivals[i].at_us;
		uint32_t count = 0;
		double allowed;

		if (world->arrivals[i].target != target ||
		    from_us < START + LIMIT_FROM + STABLE_WINDOW ||
		    from_us + WINDOW > START + world->duration_us)
			continue;
		for (k = i; k < world->arrival_count &&
			    world->arrivals[k].at_us < from_us + WINDOW;
		     k++) {
			const struct arrival *arrival = &world->arrivals[k];

			count += arrival->target == target && arrival->counts &&
				 !is_excused(&world->vms[arrival->vm], from_us);
		}
		allowed = allowed_from(world, target, from_us);
		if (count > allowed)
			fail_msg("%s, %u VMs: %u requests in 4 s from %.2f s "
				 "on, allowed %.1f",
			    world->c->name, world->vm_count, count,
			    (double)(from_us - START) / 1e6, allowed);
	}
}

static void
play(struct world *world, const struct limit_case *c, uint32_t vm_count,
    uint32_t seed)
{
	uint32_t i;

	world->c = c;
	world->now_us = START;
	world->duration_us = c->duration_us > 0 ? c->duration_us : DURATION;
	world->vm_count = vm_count;
	world->heap_count = world->arrival_count = 0;
	world->served = world->refused = 0;
	world->last_refused_us = 0;
	cs_random_seed(&world->random, vm_count * 1000 + seed);
	for (i = 0; i < vm_count; i++) {
		world->vms[i].cut_until_us = 0;
		world->vms[i].excused_since_us = -1;
		start_vm(world, i);
	}
	push(world, &(struct event){.at_us = START + SECOND, .type = CALL});
	push(world, &(struct event){
			.at_us = START + LIMIT_FROM + STABLE_WINDOW + 100 * MS,
			.type = TROUBLE});
	while (world->heap[0].at_us < START + world->duration_us) {
		struct event event = pop(world);

		world->now_us = event.at_us;
		handle(world, &event);
	}
}

static struct world world;

static void
test_limits_hold_for_all_vms_together(void **state)
{
	static const uint32_t sizes[] = {2, 16, VMS_MAX};
	size_t i, size;
	uint32_t target;

	(void)state;
	for (size = 0; size < 3; size++) {
		for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
			play(&world, &cases[i], sizes[size], (uint32_t)i);
			for (target = 0; target < cases[i].limited_targets;
			     target++)
				check_windows(&world, target);
		}
	}
}

/*
 * Where nothing fails, the calls that wait use what the limits allow, but for
 * the tenth that owners keep back and for lost datagrams.
 */
#define USED_SHARE_MIN 0.85

static void
test_limits_are_used(void **state)
{
	static const uint32_t sizes[] = {16, VMS_MAX};
	size_t size;

	(void)state;
	for (size = 0; size < 2; size++) {
		uint32_t i, count = 0;
		double seconds =
		    (double)(DURATION - LIMIT_FROM - STABLE_WINDOW) / 1e6;

		play(&world, &cases[1], sizes[size], 1);
		for (i = 0; i < world.arrival_count; i++)
			count += world.arrivals[i].at_us >
				 START + LIMIT_FROM + STABLE_WINDOW;
		if (count < USED_SHARE_MIN * 3.0 * TARGETS * seconds)
			fail_msg("%u VMs: %u requests, allowed %.0f",
			    sizes[size], count, 3.0 * TARGETS * seconds);
	}
}

static double
takes_one_in_ten_seconds(int64_t at_us)
{
	return at_us < LIMIT_FROM || at_us >= 30 * SECOND ? NO_LIMIT : 0.1;
}

static double
takes_three(int64_t at_us)
{
	return at_us < LIMIT_FROM || at_us >= 30 * SECOND ? NO_LIMIT : 3.0;
}

static double
takes_a_hundred(int64_t at_us)
{
	return at_us < LIMIT_FROM || at_us >= 30 * SECOND ? NO_LIMIT : 100.0;
}

#define LIMIT_ENDS (30 * SECOND)
#define TRIAL_DURATION (60 * SECOND)
#define QUIET_DURATION (160 * SECOND)
#define BUSY 60
#define QUIET 0.5

/* One target of three names a limit; the others are idle. */
static const struct limit_case trial_cases[] = {
    {"busy, 0.1 a second", BUSY, 1, takes_one_in_ten_seconds, no_trouble,
	TRIAL_DURATION, 0, true, TRIAL_DURATION},
    {"busy, 3 a second", BUSY, 1, takes_three, no_trouble, TRIAL_DURATION, 0,
	true, TRIAL_DURATION},
    {"busy, 100 a second", BUSY, 1, takes_a_hundred, no_trouble, TRIAL_DURATION,
	0, true, TRIAL_DURATION},
    {"owners die and restart", BUSY, 1, takes_three, owners_die, 3 * SECOND, 0,
	true, TRIAL_DURATION},
    {"owners freeze", BUSY, 1, takes_three, owners_freeze, 4 * SECOND, 0, true,
	TRIAL_DURATION},
    {"owners are cut off", BUSY, 1, takes_three, owners_are_cut_off, 4 * SECOND,
	0, true, TRIAL_DURATION},
    {"quiet, 0.1 a second", QUIET, 1, takes_one_in_ten_seconds, no_trouble,
	QUIET_DURATION, 0, true, QUIET_DURATION},
    {"quiet, 3 a second", QUIET, 1, takes_three, no_trouble, QUIET_DURATION, 0,
	true, QUIET_DURATION},
    {"quiet, 100 a second", QUIET, 1, takes_a_hundred, no_trouble,
	QUIET_DURATION, 0, true, QUIET_DURATION},
};
#define TRIAL_CASES (sizeof(trial_cases) / sizeof(trial_cases[0]))

/*
 * A target with a limit is tried every few seconds, or every few calls where
 * these are rarer, and is used like the others soon after the limit has ended.
 */
#define TRIED_WITHIN (6 * SECOND)
#define TRIED_WITHIN_CALLS 5
#define BACK_WITHIN (10 * SECOND)
#define BACK_WITHIN_CALLS 10

/*
 * Returns the longest time without a request at the limited target, from the
 * first one on that hears of the limit, leaving out times with few calls.
 */
static int64_t
longest_gap(int64_t from_us, int64_t until_us)
{
	int64_t last_us = 0, longest_us = 0;
	uint32_t i, calls = 0;

	for (i = 0; i < world.arrival_count; i++) {
		const struct arrival *arrival = &world.arrivals[i];

		if (arrival->at_us < from_us || arrival->at_us > until_us)
			continue;
		calls++;
		if (last_us > 0 && calls > TRIED_WITHIN_CALLS &&
		    arrival->at_us - last_us > longest_us)
			longest_us = arrival->at_us - last_us;
		if (arrival->target == 0) {
			last_us = arrival->at_us;
			calls = 0;
		}
	}
	return longest_us;
}

/* When the limited target is to be used like the others again. */
static int64_t
back_at(const struct limit_case *c)
{
	int64_t calls_us = (int64_t)(BACK_WITHIN_CALLS / c->calls_per_s * 1e6);

	return START + LIMIT_ENDS +
	       (calls_us > BACK_WITHIN ? calls_us : BACK_WITHIN);
}

static uint32_t
arrivals_after(int64_t from_us, bool of_limited)
{
	uint32_t i, count = 0;

	for (i = 0; i < world.arrival_count; i++)
		count += world.arrivals[i].at_us >= from_us &&
			 (world.arrivals[i].target == 0 || !of_limited);
	return count;
}

static void
test_limited_target_is_tried_while_others_are_idle(void **state)
{
	static const uint32_t sizes[] = {2, 16, VMS_MAX};
	uint32_t failed = 0;
	size_t i, size;

	(void)state;
	for (i = 0; i < TRIAL_CASES; i++) {
		const struct limit_case *c = &trial_cases[i];

		for (size = 0; size < 3; size++) {
			int64_t gap_us;
			uint32_t limited, all;

			play(&world, c, sizes[size], 100 + (uint32_t)i);
			check_windows(&world, 0);
			gap_us =
			    longest_gap(START + LIMIT_FROM, START + LIMIT_ENDS);
			limited = arrivals_after(back_at(c), true);
			all = arrivals_after(back_at(c), false);
			if (gap_us <= TRIED_WITHIN && limited * 10 >= all)
				continue;
			print_error("%s, %u VMs: not tried for %.1f s, allowed "
				    "%.1f; %u of %u requests later\n",
			    c->name, sizes[size], (double)gap_us / 1e6,
			    (double)TRIED_WITHIN / 1e6, limited, all);
			failed++;
		}
	}
	assert_int_equal(failed, 0);
}

/* From 5 s after its end on a limit binds nobody: no call is refused. */
static void
test_end_of_a_limit_is_learned(void **state)
{
	uint32_t i, count = 0;

	(void)state;
	play(&world, &cases[7], 16, 7);
	for (i = 0; i < world.arrival_count; i++)
		count += world.arrivals[i].at_us > START + 19 * SECOND;
	assert_true(count > 0);
	assert_true(world.last_refused_us < START + 19 * SECOND);
}

/*
 * The owner has learned of the end less than a second after the asker heard the
 * limit for the last time. Its answer ends the limit there as well: the asker
 * has no other way to learn of it.
 */
static void
test_owner_that_knows_the_end_tells_the_asker(void **state)
{
	struct bl_target *owner = bl_target_create("t");
	struct bl_target *asker = bl_target_create("t");
	struct bl_limit_report limit = {
	    .has_limit = true, .per_s = 2, .heard_us = START};
	struct bl_limit_report none = {
	    .has_limit = false, .heard_us = START + 1100 * MS};
	struct bl_permit permit;
	struct bl_ask ask;

	(void)state;
	bl_limit_heard(owner, &limit);
	assert_true(bl_limit_heard(owner, &none));
	limit.heard_us = START + 500 * MS;
	bl_limit_heard(asker, &limit);

	bl_limit_ask(asker, SECOND, START + 1200 * MS, &ask);
	bl_limit_grant(owner, &ask, START + 1200 * MS, &permit);
	bl_limit_granted(asker, &permit, START + 1200 * MS);
	assert_true(bl_limit_may_send(asker, START + 1200 * MS));
	bl_target_unref(owner);
	bl_target_unref(asker);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_limits_hold_for_all_vms_together),
	    cmocka_unit_test(test_limits_are_used),
	    cmocka_unit_test(
		test_limited_target_is_tried_while_others_are_idle),
	    cmocka_unit_test(test_end_of_a_limit_is_learned),
	    cmocka_unit_test(test_owner_that_knows_the_end_tells_the_asker),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
