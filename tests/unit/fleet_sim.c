#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_sim.h"

#define HEARTBEAT (800 * SIM_MS)
#define CHECKS (250 * SIM_MS)

static bool
is_before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push_event(struct sim *sim, const struct sim_event *event)
{
	uint32_t at = sim->heap_count++;

	if (sim->heap_count > sim->heap_capacity) {
		sim->heap_capacity = sim->heap_capacity * 2 + 1024;
		sim->heap =
		    realloc(sim->heap, sim->heap_capacity * sizeof(*sim->heap));
		if (sim->heap == NULL)
			abort();
	}
	for (; at > 0 && is_before(event, &sim->heap[(at - 1) / 2]);
	     at = (at - 1) / 2)
		sim->heap[at] = sim->heap[(at - 1) / 2];
	sim->heap[at] = *event;
}

static struct sim_event
pop_event(struct sim *sim)
{
	struct sim_event first = sim->heap[0];
	struct sim_event last = sim->heap[--sim->heap_count];
	uint32_t at = 0, child;

	while ((child = 2 * at + 1) < sim->heap_count) {
		if (child + 1 < sim->heap_count &&
		    is_before(&sim->heap[child + 1], &sim->heap[child]))
			child++;
		if (!is_before(&sim->heap[child], &last))
			break;
		sim->heap[at] = sim->heap[child];
		at = child;
	}
	sim->heap[at] = last;
	return first;
}

bool
sim_runs(const struct sim *sim, uint32_t vm)
{
	return sim->vms[vm].alive &&
	       sim->now_us >= sim->vms[vm].frozen_until_us;
}

int64_t
sim_clock(const struct sim *sim, uint32_t vm)
{
	return sim->now_us - sim->vms[vm].stopped_us;
}

uint32_t
sim_number(const struct sim *sim, uint32_t region, uint32_t index)
{
	return index * sim->region_count + region;
}

uint32_t
sim_region_size(const struct sim *sim, uint32_t region)
{
	return (sim->vm_count + sim->region_count - 1 - region) /
	       sim->region_count;
}

bool
sim_reaches(const struct sim *sim, uint32_t from, uint32_t to)
{
	const struct sim_vm *a = &sim->vms[from], *b = &sim->vms[to];

	return a->side == b->side &&
	       (a->region == b->region || !sim->regions_are_cut);
}

void
sim_push(struct sim *sim, int64_t at_us, int type, uint32_t vm,
    const void *payload, size_t length)
{
	struct sim_event event = {.at_us = at_us,
	    .type = type,
	    .vm = vm,
	    .process = vm == SIM_NO_VM ? 0 : sim->vms[vm].process,
	    .order = sim->pushed++};

	if (length > sizeof(event.payload))
		abort();
	if (length > 0)
		memcpy(event.payload, payload, length);
	push_event(sim, &event);
}

void
sim_send(struct sim *sim, uint32_t from, uint32_t to, int type,
    const void *payload, size_t length)
{
	struct sim_event event = {.type = type,
	    .vm = to,
	    .from = from,
	    .is_datagram = true,
	    .order = sim->pushed++};

	sim->datagrams++;
	if (length > sizeof(event.payload))
		abort();
	if (!sim_reaches(sim, from, to) ||
	    cs_random_unit(&sim->random) < sim->loss)
		return;
	event.at_us =
	    sim->now_us + (sim->vms[from].region == sim->vms[to].region
				  ? SIM_IN_REGION
				  : SIM_BETWEEN_REGIONS);
	memcpy(event.payload, payload, length);
	push_event(sim, &event);
}

static struct fl_node *
entry_of(const struct sim_vm *vm, const struct sim_vm *other)
{
	return &vm->membership.nodes[other->index - (other->index > vm->index)];
}

const struct fl_node *
sim_node(const struct sim *sim, uint32_t vm, uint32_t other)
{
	return entry_of(&sim->vms[vm], &sim->vms[other]);
}

static void
beat(struct sim *sim, uint32_t number)
{
	struct sim_vm *vm = &sim->vms[number];
	uint32_t i, to;

	for (i = 0; i < sim_region_size(sim, vm->region); i++) {
		struct sim_vm *other;

		to = sim_number(sim, vm->region, i);
		other = &sim->vms[to];
		if (other == vm || !sim_runs(sim, to) ||
		    !sim_reaches(sim, number, to) ||
		    cs_random_unit(&sim->random) < sim->loss)
			continue;
		fl_node_set_heard(entry_of(other, vm), sim_clock(sim, to));
		if (entry_of(vm, other)->heard_us == 0)
			entry_of(vm, other)->heard_us = sim_clock(sim, number);
	}
	sim_push(sim, sim->now_us + HEARTBEAT, SIM_BEAT, number, NULL, 0);
}

/*
 * The VM checks silent ones: the address of one that was killed refuses, unless
 * its machine is off; a frozen one accepts, and one that is cut off is silent.
 */
static void
check_silent(struct sim *sim, uint32_t number)
{
	struct fl_membership *membership = &sim->vms[number].membership;
	struct sockaddr_in addresses[FL_CHECKS_MAX];
	int64_t now_us = sim_clock(sim, number);
	uint32_t i, count;

	count = sim->checks_are_off
		    ? 0
		    : fl_membership_pick_checks(membership, now_us, addresses);
	for (i = 0; i < count; i++) {
		uint32_t to = addresses[i].sin_port - 1U;

		if (sim_reaches(sim, number, to) && !sim->vms[to].is_off)
			fl_membership_on_check(membership, &addresses[i],
			    now_us,
			    sim->vms[to].alive ? FL_CHECK_ACCEPTED
					       : FL_CHECK_REFUSED);
	}
	sim_push(sim, sim->now_us + CHECKS, SIM_CHECK, number, NULL, 0);
}

static void
start_vm(struct sim *sim, uint32_t number)
{
	struct sim_vm *vm = &sim->vms[number];
	struct fl_node self = {.boot = number + 1};
	uint32_t i;

	vm->alive = true;
	vm->is_off = false;
	vm->process++;
	vm->frozen_until_us = 0;
	vm->region = number % sim->region_count;
	vm->index = number / sim->region_count;
	snprintf(self.name, sizeof(self.name), "vm-%u", number);
	self.fleet.sin_port = (in_port_t)(number + 1);
	fl_membership_free(&vm->membership);
	fl_membership_init(&vm->membership, &self, sim_clock(sim, number));
	vm->membership.has_list = true;
	for (i = 0; i < sim_region_size(sim, vm->region); i++) {
		struct fl_node other = {.same_region = true};
		uint32_t other_number = sim_number(sim, vm->region, i);

		if (other_number == number)
			continue;
		snprintf(other.name, sizeof(other.name), "vm-%u", other_number);
		other.fleet.sin_port = (in_port_t)(other_number + 1);
		fl_membership_add(&vm->membership, &other);
	}
	sim->on_start(sim, number);
	sim_push(sim, sim->now_us, SIM_BEAT, number, NULL, 0);
	sim_push(sim, sim->now_us + CHECKS, SIM_CHECK, number, NULL, 0);
}

void
sim_kill(struct sim *sim, uint32_t vm)
{
	sim->vms[vm].alive = false;
	sim->vms[vm].process++;
}

void
sim_switch_off(struct sim *sim, uint32_t vm)
{
	sim_kill(sim, vm);
	sim->vms[vm].is_off = true;
}

void
sim_restart(struct sim *sim, uint32_t vm)
{
	if (!sim->vms[vm].alive)
		start_vm(sim, vm);
}

#define RESUME -2

void
sim_freeze(struct sim *sim, uint32_t vm, int64_t for_us)
{
	if (!sim_runs(sim, vm))
		return;
	sim->vms[vm].frozen_until_us = sim->now_us + for_us;
	sim_push(
	    sim, sim->now_us + for_us, RESUME, vm, &for_us, sizeof(for_us));
}

uint32_t
sim_owner(const struct sim *sim, uint32_t vm, uint64_t key)
{
	const struct fl_node *owner = fl_membership_find_owner(
	    &sim->vms[vm].membership, key, sim_clock(sim, vm));

	return owner == NULL ? vm : owner->fleet.sin_port - 1U;
}

void
sim_init(
    struct sim *sim, uint32_t vm_count, uint32_t region_count, uint64_t seed)
{
	uint32_t i;

	sim->now_us = SIM_START;
	sim->vm_count = vm_count;
	sim->region_count = region_count;
	sim->loss = 0.01;
	cs_random_seed(&sim->random, seed);
	for (i = 0; i < vm_count; i++)
		start_vm(sim, i);
}

void
sim_free(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->vm_count; i++)
		fl_membership_free(&sim->vms[i].membership);
	free(sim->heap);
	memset(sim, 0, sizeof(*sim));
}

static void
handle(struct sim *sim, struct sim_event *event)
{
	struct sim_vm *vm;
	int64_t stopped_us;

	if (event->vm == SIM_NO_VM) {
		sim->on_event(sim, event);
		return;
	}
	vm = &sim->vms[event->vm];
	if (!vm->alive ||
	    (!event->is_datagram && event->process != vm->process))
		return;
	if (event->type == RESUME) {
		memcpy(&stopped_us, event->payload, sizeof(stopped_us));
		vm->stopped_us += stopped_us;
		sim->on_resume(sim, event->vm);
		return;
	}
	if (!sim_runs(sim, event->vm)) {
		/* Timers fire and datagrams are read once it runs again. */
		event->at_us = vm->frozen_until_us;
		event->order = sim->pushed++;
		push_event(sim, event);
		return;
	}
	if (event->type == SIM_BEAT)
		beat(sim, event->vm);
	else if (event->type == SIM_CHECK)
		check_silent(sim, event->vm);
	else
		sim->on_event(sim, event);
}

void
sim_run(struct sim *sim, int64_t until_us)
{
	while (sim->heap_count > 0 && sim->heap[0].at_us < until_us) {
		struct sim_event event = pop_event(sim);

		sim->now_us = event.at_us;
		handle(sim, &event);
	}
	sim->now_us = until_us;
}
