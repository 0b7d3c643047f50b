/* Tests membership on virtual time: several VMs, which can be stopped. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/base/base.h"
#include "../../lib/peer/peer.h"

#define VMS 15
#define MS 1000
#define TICK_US (100 * MS)
/* A silent VM must leave the directory within two seconds. */
#define DETECTION_MAX_US (2000 * MS)

struct fleet {
	struct pr_membership *vms[VMS];
	bool running[VMS];
	int64_t now_us;
};

static struct pr_node
make_node(int vm, uint64_t epoch)
{
	struct pr_node node = {.epoch = epoch, .ready = true};

	snprintf(node.name, sizeof(node.name), "vm%d", vm);
	snprintf(node.peer, sizeof(node.peer), "10.0.0.%d:1", vm + 1);
	node.id = cs_hash(node.name, strlen(node.name));
	return node;
}

static int
vm_number(const struct pr_node *node)
{
	int vm;

	sscanf(node->name, "vm%d", &vm);
	return vm;
}

/* Delivers a record to each running VM; the mesh floods it in milliseconds. */
static void
broadcast(struct fleet *f, int from, const struct pr_node *record)
{
	int vm;

	for (vm = 0; vm < VMS; vm++) {
		bool about_self;

		if (vm == from || !f->running[vm])
			continue;
		about_self = vm_number(record) == vm;
		if (pr_membership_merge(f->vms[vm], record, f->now_us) &&
		    about_self)
			broadcast(f, vm, pr_membership_self(f->vms[vm]));
	}
}

static void
tick_vm(struct fleet *f, int vm)
{
	uint32_t changed[PR_NODES_MAX], i, count;
	uint32_t monitored[PR_MONITORED];

	count = pr_membership_monitored(f->vms[vm], monitored);
	for (i = 0; i < count; i++) {
		const struct pr_node *node =
		    pr_membership_at(f->vms[vm], monitored[i]);

		if (f->running[vm_number(node)])
			pr_membership_heard(f->vms[vm], node->id, f->now_us);
	}
	count =
	    pr_membership_tick(f->vms[vm], f->now_us, changed, PR_NODES_MAX);
	for (i = 0; i < count; i++) {
		struct pr_node record =
		    *pr_membership_at(f->vms[vm], changed[i]);

		broadcast(f, vm, &record);
	}
}

static void
run_for(struct fleet *f, int64_t us)
{
	int64_t until_us = f->now_us + us;
	int vm;

	while (f->now_us < until_us) {
		f->now_us += TICK_US;
		for (vm = 0; vm < VMS; vm++) {
			if (f->running[vm])
				tick_vm(f, vm);
		}
	}
}

static void
start(struct fleet *f)
{
	int vm;

	*f = (struct fleet){.now_us = 1000 * MS};
	for (vm = 0; vm < VMS; vm++) {
		struct pr_node self = make_node(vm, 1);

		f->vms[vm] = pr_membership_create(&self, f->now_us);
		f->running[vm] = true;
	}
	for (vm = 0; vm < VMS; vm++)
		broadcast(f, vm, pr_membership_self(f->vms[vm]));
	run_for(f, 1000 * MS);
}

static void
stop(struct fleet *f)
{
	int vm;

	for (vm = 0; vm < VMS; vm++)
		pr_membership_free(f->vms[vm]);
}

static enum pr_state
state_seen_by(const struct fleet *f, int observer, int vm)
{
	struct pr_node node = make_node(vm, 1);
	int number = pr_membership_find(f->vms[observer], node.id);

	assert_true(number >= 0);
	return pr_membership_at(f->vms[observer], (uint32_t)number)->state;
}

static void
assert_all_see(const struct fleet *f, int vm, enum pr_state expected)
{
	int observer;

	for (observer = 0; observer < VMS; observer++) {
		if (observer != vm && f->running[observer])
			assert_string_equal(
			    pr_state_text(state_seen_by(f, observer, vm)),
			    pr_state_text(expected));
	}
}

static void
test_running_vms_are_never_suspected(void **unused)
{
	struct fleet f;
	int vm;

	(void)unused;
	start(&f);
	run_for(&f, 600000LL * MS);
	for (vm = 0; vm < VMS; vm++)
		assert_all_see(&f, vm, PR_ALIVE);
	stop(&f);
}

static void
test_silent_vm_is_suspected_then_declared_dead_in_time(void **unused)
{
	struct fleet f;

	(void)unused;
	start(&f);
	f.running[4] = false;
	run_for(&f, 700 * MS);
	assert_all_see(&f, 4, PR_SUSPECT);
	run_for(&f, DETECTION_MAX_US - 700 * MS);
	assert_all_see(&f, 4, PR_DEAD);
	stop(&f);
}

static void
test_four_adjacent_vms_are_declared_dead_in_time(void **unused)
{
	struct fleet f;
	uint32_t monitored[PR_MONITORED], i, count;

	(void)unused;
	start(&f);
	count = pr_membership_monitored(f.vms[0], monitored);
	f.running[0] = false;
	for (i = 0; i < count; i++)
		f.running[vm_number(pr_membership_at(f.vms[0], monitored[i]))] =
		    false;
	run_for(&f,
	    2 * DETECTION_MAX_US); /* two rounds: the ring has to close first */
	for (i = 0; i < count; i++)
		assert_all_see(&f,
		    vm_number(pr_membership_at(f.vms[0], monitored[i])),
		    PR_DEAD);
	assert_all_see(&f, 0, PR_DEAD);
	stop(&f);
}

static void
test_resumed_vm_refutes_its_death(void **unused)
{
	struct fleet f;
	struct pr_node record;

	(void)unused;
	start(&f);
	f.running[4] = false;
	run_for(&f, 5000 * MS);
	assert_all_see(&f, 4, PR_DEAD);
	f.running[4] = true;
	/* It suspects no other VM because of its own pause... */
	run_for(&f, 200 * MS);
	assert_all_see(&f, 7, PR_ALIVE);
	/* ...and learns that it is marked dead from the first VM it contacts.
	 */
	record = make_node(4, 1);
	record.state = PR_DEAD;
	assert_true(pr_membership_merge(f.vms[4], &record, f.now_us));
	broadcast(&f, 4, pr_membership_self(f.vms[4]));
	assert_all_see(&f, 4, PR_ALIVE);
	stop(&f);
}

/*
 * A hello that was queued before the VM learned that it is marked dead is sent
 * afterwards; the response carries the old dead record once more.
 */
static void
test_stale_death_of_self_is_refuted_again(void **unused)
{
	struct pr_node self = make_node(0, 1), record = make_node(0, 1);
	struct pr_membership *membership = pr_membership_create(&self, 0);

	(void)unused;
	record.state = PR_SUSPECT;
	assert_true(pr_membership_merge(membership, &record, 1));
	assert_int_equal(pr_membership_self(membership)->incarnation, 1);
	record.state = PR_DEAD;
	assert_true(pr_membership_merge(membership, &record, 2));
	assert_int_equal(pr_membership_self(membership)->incarnation, 1);
	record.state = PR_ALIVE;
	assert_false(pr_membership_merge(membership, &record, 3));
	pr_membership_free(membership);
}

/* A stale record must not win, in whatever order records arrive. */
struct merge_case {
	uint64_t epoch, incarnation;
	enum pr_state state;
	bool applied; /* over epoch 5, incarnation 3, suspect */
};

static const struct merge_case merge_cases[] = {
    {5, 3, PR_ALIVE, false},
    {5, 3, PR_SUSPECT, false},
    {5, 3, PR_DEAD, true},
    {5, 2, PR_DEAD, false},
    {5, 4, PR_ALIVE, true},
    {5, 1, PR_LEFT, true},
    {4, 9, PR_ALIVE, false},
    {4, 9, PR_LEFT, false},
    {6, 0, PR_ALIVE, true},
};

static void
test_stale_records_never_win(void **unused)
{
	size_t i;

	(void)unused;
	for (i = 0; i < sizeof(merge_cases) / sizeof(merge_cases[0]); i++) {
		struct pr_node self = make_node(0, 1);
		struct pr_node known = make_node(1, 5);
		struct pr_node record = make_node(1, merge_cases[i].epoch);
		struct pr_membership *membership =
		    pr_membership_create(&self, 0);

		known.incarnation = 3;
		known.state = PR_SUSPECT;
		assert_true(pr_membership_merge(membership, &known, 1));
		record.incarnation = merge_cases[i].incarnation;
		record.state = merge_cases[i].state;
		assert_int_equal(pr_membership_merge(membership, &record, 2),
		    merge_cases[i].applied);
		pr_membership_free(membership);
	}
}

static void
test_fan_out_grows_logarithmically(void **unused)
{
	struct pr_node self = make_node(0, 1);
	struct pr_membership *membership = pr_membership_create(&self, 0);
	uint32_t numbers[PR_NEIGHBOURS_MAX];
	int vm;

	(void)unused;
	for (vm = 1; vm < 300; vm++) {
		struct pr_node record = make_node(vm, 1);

		pr_membership_merge(membership, &record, 1);
	}
	assert_int_equal(
	    pr_membership_monitored(membership, numbers), PR_MONITORED);
	assert_in_range(pr_membership_neighbours(membership, numbers), 8, 11);
	pr_membership_free(membership);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_running_vms_are_never_suspected),
	    cmocka_unit_test(
		test_silent_vm_is_suspected_then_declared_dead_in_time),
	    cmocka_unit_test(test_four_adjacent_vms_are_declared_dead_in_time),
	    cmocka_unit_test(test_resumed_vm_refutes_its_death),
	    cmocka_unit_test(test_stale_death_of_self_is_refuted_again),
	    cmocka_unit_test(test_stale_records_never_win),
	    cmocka_unit_test(test_fan_out_grows_logarithmically),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
