/*
 * Injects random faults into the VMs of a region on virtual time: processes
 * that are suspended, die and start again, network partitions between VMs, lost
 * datagrams, a store that refuses some VMs or all. Checks the directory at each
 * tick, and the roles of the VMs after each recovery.
 *
 * Usage: test_random_fleet [SEED]
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/fleet/fleet.h"

#define VMS 7
#define SEEDS 1000
#define ITERATIONS 6 /* of faults, each followed by recovery */
#define TICK_US 100000
#define LEADER_HEARTBEAT_TICKS \
	4 /* between heartbeats of a VM that watches the store */
#define FOLLOWER_HEARTBEAT_TICKS 8 /* of the other VMs */
#define FAULT_TICKS 60
#define RECOVERY_TICKS 120
/* A silent VM leaves the directory within 2 s and one tick. */
#define UNLISTED_AFTER_US (2000000 + TICK_US)

enum process { RUNNING, SUSPENDED, DOWN };

struct vm {
	struct fl_membership membership;
	enum process process;
	enum fl_role role;
	const struct fl_node *leader;
	bool refused;		    /* by the store */
	int64_t last_heard_us[VMS]; /* as the test delivered it */
	uint64_t boots;
};

struct region {
	struct vm vms[VMS];
	bool partitioned[VMS][VMS];
	uint32_t loss_pct;
	struct cs_random random;
	int64_t now_us;
	uint32_t ticks;
	uint64_t seed;
};

static uint64_t only_seed;

static struct fl_node
make_node(uint32_t number, uint64_t boot)
{
	struct fl_node node = {.boot = boot,
	    .same_region = true,
	    .ready = true,
	    .tells_era = true};

	snprintf(node.name, sizeof(node.name), "vm-%u", number);
	node.fleet.sin_family = AF_INET;
	node.fleet.sin_port = htons((uint16_t)(7000 + number));
	node.listen_address = node.fleet;
	return node;
}

static void
start_vm(struct region *region, uint32_t number)
{
	struct vm *vm = &region->vms[number];
	uint64_t boots = vm->boots + 1;
	struct fl_node self = make_node(number, boots * VMS + number);
	bool refused = vm->refused;

	fl_membership_free(&vm->membership);
	*vm = (struct vm){.boots = boots, .refused = refused};
	fl_membership_init(&vm->membership, &self, region->now_us);
	vm->membership.self.ready = true;
}

/* A heartbeat arrives as a hello with the whole record here. */
static void
send_heartbeat(struct region *region, uint32_t from, uint32_t to)
{
	struct vm *receiver = &region->vms[to];

	if (from == to || region->partitioned[from][to] ||
	    receiver->process != RUNNING ||
	    cs_random_below(&region->random, 100) < region->loss_pct)
		return;
	fl_membership_on_hello(&receiver->membership,
	    &region->vms[from].membership.self, region->now_us);
	receiver->last_heard_us[from] = region->now_us;
}

static void
send_heartbeats(struct region *region, uint32_t from)
{
	uint32_t to;

	for (to = 0; to < VMS; to++)
		send_heartbeat(region, from, to);
}

static void
fail_with(const struct region *region, const char *what, uint32_t vm)
{
	fail_msg("seed %llu, tick %u, vm-%u: %s",
	    (unsigned long long)region->seed, region->ticks, vm, what);
}

/* The directory lists no VM that was silent too long, unless all others are. */
static void
check_listing(const struct region *region, uint32_t number)
{
	static const struct fl_directory_query default_query = {.hash = 0};
	const struct vm *vm = &region->vms[number];
	struct sockaddr_in out[VMS];
	uint32_t i, count, other;

	if (fl_membership_count_alive(&vm->membership, region->now_us) == 1)
		return;
	count = fl_membership_list_addresses(
	    &vm->membership, region->now_us, &default_query, out, VMS);
	for (i = 0; i < count; i++) {
		other = ntohs(out[i].sin_port) - 7000U;
		if (other != number &&
		    region->now_us - vm->last_heard_us[other] >
			UNLISTED_AFTER_US)
			fail_with(region, "lists a silent VM", number);
	}
}

static void
tick_vm(struct region *region, uint32_t number)
{
	struct vm *vm = &region->vms[number];
	struct fl_node *self = &vm->membership.self;

	if (vm->process != RUNNING)
		return;
	vm->role =
	    fl_membership_tick(&vm->membership, region->now_us, &vm->leader);
	self->current = vm->role == FL_ROLE_WATCH_STORE && !vm->refused;
	if (region->ticks % (self->current ? LEADER_HEARTBEAT_TICKS
					   : FOLLOWER_HEARTBEAT_TICKS) ==
	    0)
		send_heartbeats(region, number);
	check_listing(region, number);
}

static void
run_ticks(struct region *region, uint32_t ticks)
{
	uint32_t i;

	for (; ticks > 0; ticks--) {
		region->now_us += TICK_US;
		region->ticks++;
		for (i = 0; i < VMS; i++)
			tick_vm(region, i);
	}
}

/*
 * After a pause the silence of the others does not count: the VM could not
 * receive their heartbeats.
 */
static void
resume_vm(struct region *region, uint32_t number)
{
	struct vm *vm = &region->vms[number];
	uint32_t i;

	vm->process = RUNNING;
	for (i = 0; i < VMS; i++)
		vm->last_heard_us[i] = region->now_us;
}

static void
inject_fault(struct region *region)
{
	struct cs_random *random = &region->random;
	uint32_t number = cs_random_below(random, VMS);
	uint32_t other = cs_random_below(random, VMS);
	struct vm *vm = &region->vms[number];

	switch (cs_random_below(random, 7)) {
	case 0:
		vm->process = SUSPENDED;
		break;
	case 1:
		vm->process = DOWN;
		break;
	case 2:
		if (vm->process == SUSPENDED)
			resume_vm(region, number);
		else
			start_vm(region, number);
		break;
	case 3:
		region->partitioned[number][other] =
		    true; /* in one direction */
		break;
	case 4:
		region->partitioned[number][other] =
		    region->partitioned[other][number] = false;
		break;
	case 5:
		vm->refused = !vm->refused;
		break;
	case 6:
		region->loss_pct = cs_random_below(random, 20);
		break;
	}
}

static void
clear_faults(struct region *region)
{
	uint32_t i;

	memset(region->partitioned, 0, sizeof(region->partitioned));
	region->loss_pct = 0;
	for (i = 0; i < VMS; i++) {
		region->vms[i].refused = false;
		if (region->vms[i].process == SUSPENDED)
			resume_vm(region, i);
		if (region->vms[i].process == DOWN)
			start_vm(region, i);
	}
}

/* One VM watches the store, all others follow it, and each lists all VMs. */
static void
check_recovered(const struct region *region)
{
	static const struct fl_directory_query default_query = {.hash = 0};
	struct sockaddr_in out[VMS];
	uint32_t i, watching = 0, leader = VMS;

	for (i = 0; i < VMS; i++) {
		watching += region->vms[i].role == FL_ROLE_WATCH_STORE;
		if (region->vms[i].membership.self.current)
			leader = i;
	}
	if (watching != 1 || leader == VMS)
		fail_with(
		    region, "not exactly one VM watches the store", watching);
	for (i = 0; i < VMS; i++) {
		const struct vm *vm = &region->vms[i];

		if (i != leader &&
		    (vm->role != FL_ROLE_FOLLOW_LEADER ||
			ntohs(vm->leader->fleet.sin_port) != 7000 + leader))
			fail_with(region, "does not follow the leader", i);
		if (fl_membership_list_addresses(&vm->membership,
			region->now_us, &default_query, out, VMS) != VMS)
			fail_with(region, "does not list all VMs", i);
	}
}

/* When the store serves only one VM, that VM becomes the leader. */
static void
check_only_one_served(struct region *region)
{
	uint32_t served = cs_random_below(&region->random, VMS), i;

	for (i = 0; i < VMS; i++)
		region->vms[i].refused = i != served;
	run_ticks(region, RECOVERY_TICKS);
	if (!region->vms[served].membership.self.current)
		fail_with(region,
		    "is the only VM that the store serves, but not current",
		    served);
}

static void
run_seed(uint64_t seed)
{
	static struct region region;
	uint32_t i, iteration;

	memset(&region, 0, sizeof(region));
	region.now_us = 1000000;
	region.seed = seed;
	cs_random_seed(&region.random, seed);
	for (i = 0; i < VMS; i++)
		start_vm(&region, i);
	for (iteration = 0; iteration < ITERATIONS; iteration++) {
		for (i = 0; i < FAULT_TICKS; i++) {
			if (cs_random_below(&region.random, 4) == 0)
				inject_fault(&region);
			run_ticks(&region, 1);
		}
		clear_faults(&region);
		run_ticks(&region, RECOVERY_TICKS);
		check_recovered(&region);
		check_only_one_served(&region);
		clear_faults(&region);
		run_ticks(&region, RECOVERY_TICKS);
	}
	for (i = 0; i < VMS; i++)
		fl_membership_free(&region.vms[i].membership);
}

static void
test_fleet_recovers_from_random_faults(void **state)
{
	uint64_t seed;

	(void)state;
	if (only_seed != 0) {
		run_seed(only_seed);
		return;
	}
	for (seed = 1; seed <= SEEDS; seed++)
		run_seed(seed);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fleet_recovers_from_random_faults),
	};

	only_seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 0;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
