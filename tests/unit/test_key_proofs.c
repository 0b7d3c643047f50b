/*
 * Proofs that keys are complete, on virtual time: fleets of 2, 16 and 141 VMs
 * in three regions, whose leaders are killed, frozen and cut off, with
 * datagrams that are late, lost and repeated, a store that is down or comes
 * back from an older copy, and boot clocks that have nothing in common. Guards
 * against a VM that serves a key later than the bound after its removal was
 * acknowledged, and against VMs that refuse keys while nothing is wrong.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/base/base.h"
#include "../../lib/fleet/proof.h"
#include "../../lib/store/store.h"

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define REVOKE (5 * SECOND)
#define STEP (10 * MS)
#define TICK (250 * MS)
#define DURATION (60 * SECOND)
#define START_UP (3 * SECOND) /* nothing is expected of the VMs before */
#define VMS_MAX 141
#define REGIONS 3
#define VERSIONS_MAX 400
#define REMOVAL_EVERY (900 * MS)
#define IN_REGION (1 * MS)
#define BETWEEN_REGIONS (13 * MS)
#define STORE_DELAY (15 * MS) /* one way */
#define WATCH_DELAY (150 * MS)
/* The other VMs of a region take this long to follow another leader. */
#define ELECTION (1500 * MS)

struct vm {
	bool alive;
	bool no_store, no_vms; /* cut off from them */
	int64_t frozen_until_us;
	int64_t boot_offset_us; /* of its boot clock */
	int64_t next_tick_us;
	uint32_t region;
	uint64_t process;
	struct fl_proof proof;
	struct fl_config_state config;
};

struct message {
	int64_t at_us;
	enum { QUERY, REPLY, STORE_QUERY, STORE_REPLY } type;
	uint32_t to, from;
	uint64_t process; /* of the VM that queries the store */
	struct fl_proof_query query;
	struct fl_proof_reply reply;
	uint64_t revision; /* of a query to the store */
	int64_t sent_us;   /* by the clock of the VM */
	uint64_t era;
	bool unchanged;
};

struct world;

struct proof_case {
	const char *name;
	void (*trouble)(struct world *world); /* every second; NULL: calm */
	double lost, repeated, late;	      /* shares of the datagrams */
	/* VMs that restart do not know what a restored store has lost. */
	bool all_fresh;
	uint32_t fresh_at_end_pct;
};

struct world {
	const struct proof_case *c;
	struct cs_random random;
	int64_t now_us;
	uint32_t vm_count;
	struct vm vms[VMS_MAX];
	uint32_t leaders[REGIONS];
	int64_t leader_bad_since_us[REGIONS]; /* 0: it is not */
	struct message *messages;
	uint32_t message_count, message_capacity;
	bool store_down;
	uint64_t era, number, version;	      /* of the store */
	uint64_t seen_revision, seen_version; /* by a watch */
	int64_t changed_us;
	uint64_t last_version;
	int64_t acked_us[VERSIONS_MAX]; /* by version */
	uint32_t turn;
	uint64_t stale_steps, steps;
};

static double
chance(struct world *world)
{
	return (double)cs_random_below(&world->random, 1000000) / 1e6;
}

static int64_t
boot_us(const struct world *world, const struct vm *vm)
{
	return world->now_us + vm->boot_offset_us;
}

static bool
runs(const struct world *world, const struct vm *vm)
{
	return vm->alive && world->now_us >= vm->frozen_until_us;
}

static void
start_vm(struct world *world, struct vm *vm)
{
	vm->alive = true;
	vm->process = cs_random_next(&world->random);
	vm->config = (struct fl_config_state){.revision = 0};
	vm->next_tick_us =
	    world->now_us + cs_random_below(&world->random, TICK);
	fl_proof_init(&vm->proof, REVOKE, vm->process, boot_us(world, vm));
}

static void
write_version(struct world *world)
{
	if (world->store_down || world->last_version + 1 == VERSIONS_MAX)
		return;
	world->number += 1 + cs_random_below(&world->random, 5);
	world->version = ++world->last_version;
	world->acked_us[world->version] = world->now_us;
	world->changed_us = world->now_us;
}

static void
restore_store(struct world *world, uint64_t versions_lost)
{
	world->era++;
	world->number -= world->number > 5 ? 5 : 0;
	world->version -=
	    world->version > versions_lost ? versions_lost : world->version - 1;
	world->changed_us = world->now_us;
}

static struct message *
add_message(struct world *world, const struct message *message)
{
	if (world->message_count == world->message_capacity) {
		world->message_capacity = 2 * world->message_capacity + 1024;
		world->messages = realloc(world->messages,
		    world->message_capacity * sizeof(*message));
		assert_non_null(world->messages);
	}
	world->messages[world->message_count] = *message;
	return &world->messages[world->message_count++];
}

static void
send_datagram(struct world *world, struct message message)
{
	const struct vm *from = &world->vms[message.from];
	const struct vm *to = &world->vms[message.to];
	int64_t delay_us =
	    from->region == to->region ? IN_REGION : BETWEEN_REGIONS;

	if (from->no_vms || to->no_vms || chance(world) < world->c->lost)
		return;
	if (chance(world) < world->c->late)
		delay_us += cs_random_below(&world->random, 7 * SECOND);
	message.at_us = world->now_us + delay_us;
	add_message(world, &message);
	if (chance(world) >= world->c->repeated)
		return;
	message.at_us += cs_random_below(&world->random, 9 * SECOND);
	add_message(world, &message);
}

static bool
is_watching(const struct world *world, uint32_t number)
{
	const struct vm *vm = &world->vms[number];

	return world->leaders[vm->region] == number || vm->no_vms;
}

static uint32_t
pick(struct world *world, uint32_t number, bool same_region)
{
	uint32_t i, other;

	for (i = 0; i < world->vm_count; i++) {
		other = ++world->turn % world->vm_count;
		if (other != number &&
		    (world->vms[other].region == world->vms[number].region) ==
			same_region)
			return other;
	}
	return number;
}

/* As ga_renew_proof() of programs/gateway_proof.c. */
static void
tick(struct world *world, uint32_t number)
{
	struct vm *vm = &world->vms[number];
	int64_t now_us = boot_us(world, vm);
	bool watches = is_watching(world, number);
	bool others = fl_proof_needs_others(&vm->proof, now_us);
	struct message query = {.type = QUERY, .from = number};

	if (vm->config.revision == 0)
		return;
	if (watches && fl_proof_is_store_due(&vm->proof, now_us) &&
	    !vm->no_store && !world->store_down)
		add_message(world, &(struct message){.type = STORE_QUERY,
				       .at_us = world->now_us + STORE_DELAY,
				       .from = number,
				       .to = number,
				       .process = vm->process,
				       .revision = vm->config.revision,
				       .sent_us = now_us});
	if ((watches && !others) || !fl_proof_is_query_due(&vm->proof, now_us))
		return;
	fl_proof_ask(&vm->proof, &vm->config, now_us, &query.query);
	if (!watches) {
		query.to = world->leaders[vm->region];
		send_datagram(world, query);
	}
	if (!others)
		return;
	query.to = pick(world, number, true);
	send_datagram(world, query);
	query.to = pick(world, number, false);
	send_datagram(world, query);
}

static void
handle(struct world *world, const struct message *message)
{
	struct vm *vm = &world->vms[message->to];
	struct message reply = {
	    .type = REPLY, .from = message->to, .to = message->from};

	switch (message->type) {
	case QUERY:
		if (vm->config.revision == 0)
			break;
		fl_proof_answer(&vm->proof, &vm->config, &message->query,
		    boot_us(world, vm), &reply.reply);
		send_datagram(world, reply);
		break;
	case REPLY:
		if (vm->config.revision != 0)
			fl_proof_take(&vm->proof, &vm->config, &message->reply,
			    boot_us(world, vm));
		break;
	case STORE_QUERY:
		break;
	case STORE_REPLY:
		if (message->process == vm->process && message->unchanged &&
		    os_revision_era(message->revision) == message->era)
			fl_proof_by_store(&vm->proof, &vm->config, message->era,
			    message->sent_us);
		break;
	}
}

static void
deliver(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->message_count;) {
		struct message message = world->messages[i];
		const struct vm *to = &world->vms[message.to];

		if (message.at_us > world->now_us ||
		    (to->alive && !runs(world, to) &&
			message.type != STORE_QUERY)) {
			i++;
			continue;
		}
		world->messages[i] = world->messages[--world->message_count];
		if (message.type == STORE_QUERY) {
			message.type = STORE_REPLY;
			message.at_us = world->now_us + STORE_DELAY;
			message.era = world->era;
			message.unchanged =
			    message.revision >=
			    os_revision(world->era, world->number);
			if (!world->store_down)
				add_message(world, &message);
		} else if (to->alive) {
			handle(world, &message);
		}
	}
}

static void
take_config(struct vm *vm, uint64_t revision, uint64_t version)
{
	if (revision <= vm->config.revision)
		return;
	vm->config.revision = revision;
	if (version > vm->config.version) /* it never goes back */
		vm->config.version = version;
}

/* What the watch of the store and the links between VMs bring. */
static void
replicate(struct world *world)
{
	uint32_t i;

	if (!world->store_down &&
	    world->now_us - world->changed_us >= WATCH_DELAY) {
		world->seen_revision = os_revision(world->era, world->number);
		world->seen_version = world->version;
	}
	for (i = 0; i < world->vm_count; i++) {
		struct vm *vm = &world->vms[i];
		const struct vm *leader =
		    &world->vms[world->leaders[vm->region]];

		if (!runs(world, vm))
			continue;
		if (is_watching(world, i)) {
			if (!vm->no_store && !world->store_down)
				take_config(vm, world->seen_revision,
				    world->seen_version);
		} else if (runs(world, leader) && !vm->no_vms &&
			   !leader->no_vms) {
			take_config(vm, leader->config.revision,
			    leader->config.version);
		}
	}
}

static void
elect(struct world *world)
{
	uint32_t region, i;

	for (region = 0; region < REGIONS; region++) {
		const struct vm *leader = &world->vms[world->leaders[region]];
		bool bad =
		    !runs(world, leader) || leader->no_vms || leader->no_store;

		if (!bad) {
			world->leader_bad_since_us[region] = 0;
			continue;
		}
		if (world->leader_bad_since_us[region] == 0)
			world->leader_bad_since_us[region] = world->now_us;
		if (world->now_us - world->leader_bad_since_us[region] <
		    ELECTION)
			continue;
		for (i = 0; i < world->vm_count; i++) {
			const struct vm *vm = &world->vms[i];

			if (vm->region != region || !runs(world, vm) ||
			    vm->no_vms || vm->no_store)
				continue;
			world->leaders[region] = i;
			world->leader_bad_since_us[region] = 0;
			break;
		}
	}
}

/* The rule: whoever serves keys knows every removal older than the bound. */
static void
check(struct world *world)
{
	uint64_t due = 0, version;
	uint32_t i;

	for (version = world->last_version; version > 0 && due == 0;
	     version--) {
		if (world->acked_us[version] < world->now_us - REVOKE)
			due = version;
	}
	for (i = 0; i < world->vm_count; i++) {
		const struct vm *vm = &world->vms[i];
		bool fresh = fl_proof_is_fresh(&vm->proof, boot_us(world, vm));

		if (!runs(world, vm) || vm->config.revision == 0)
			continue;
		if (fresh && vm->config.version < due)
			fail_msg("%s, %u VMs, %lld ms: vm %u serves version "
				 "%llu, %llu was in force %lld ms ago",
			    world->c->name, world->vm_count,
			    (long long)(world->now_us / MS), i,
			    (unsigned long long)vm->config.version,
			    (unsigned long long)due,
			    (long long)((world->now_us - world->acked_us[due]) /
					MS));
		if (world->now_us < START_UP)
			continue;
		world->steps++;
		world->stale_steps += !fresh;
		if (!fresh && world->c->all_fresh)
			fail_msg("%s, %u VMs, %lld ms: vm %u is stale: %s",
			    world->c->name, world->vm_count,
			    (long long)(world->now_us / MS), i,
			    fl_proof_why_stale(&vm->proof));
	}
}

static struct vm *
any_vm(struct world *world)
{
	return &world->vms[cs_random_below(&world->random, world->vm_count)];
}

static struct vm *
any_leader(struct world *world)
{
	return &world->vms[world->leaders[cs_random_below(
	    &world->random, REGIONS)]];
}

static void
kill_leaders(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		if (!world->vms[i].alive && chance(world) < 0.3)
			start_vm(world, &world->vms[i]);
	}
	if (chance(world) < 0.3)
		any_leader(world)->alive = false;
}

static void
freeze_vms(struct world *world)
{
	int64_t until_us =
	    world->now_us + cs_random_below(&world->random, 12 * SECOND);

	if (chance(world) < 0.4)
		any_leader(world)->frozen_until_us = until_us;
	if (chance(world) < 0.4)
		any_vm(world)->frozen_until_us = until_us;
}

static void
cut_off_vms(struct world *world)
{
	struct vm *vm = chance(world) < 0.5 ? any_leader(world) : any_vm(world);

	vm->no_store = chance(world) < 0.5;
	vm->no_vms = chance(world) < 0.5;
	vm = any_vm(world);
	vm->no_store = vm->no_vms = false;
}

static void
stop_store(struct world *world)
{
	world->store_down = world->now_us % (20 * SECOND) > 8 * SECOND;
}

/* The VMs that run keep what was in force; the operator writes it later. */
static void
restore_store_sometimes(struct world *world)
{
	if (chance(world) < 0.15)
		restore_store(world, 1 + cs_random_below(&world->random, 3));
}

/* Twice within the time in which other VMs are asked, from older copies. */
static void
restore_store_twice(struct world *world)
{
	int64_t second = world->now_us / SECOND % 10;

	if (second == 4 || second == 5)
		restore_store(world, second == 4 ? 1 : 3);
}

static void
restore_and_cut_off(struct world *world)
{
	cut_off_vms(world);
	restore_store_sometimes(world);
}

static void
everything(struct world *world)
{
	kill_leaders(world);
	freeze_vms(world);
	cut_off_vms(world);
	world->store_down = chance(world) < 0.1;
}

static const struct proof_case proof_cases[] = {
    {"calm", NULL, 0.0, 0.0, 0.0, true, 100},
    {"datagrams lost", NULL, 0.05, 0.0, 0.0, true, 100},
    {"datagrams late and repeated", NULL, 0.1, 0.3, 0.3, false, 90},
    {"leaders killed", kill_leaders, 0.01, 0.0, 0.0, false, 50},
    {"VMs frozen", freeze_vms, 0.01, 0.1, 0.1, false, 30},
    {"VMs cut off", cut_off_vms, 0.01, 0.1, 0.1, false, 20},
    {"store down", stop_store, 0.01, 0.0, 0.0, false, 30},
    {"store restored", restore_store_sometimes, 0.01, 0.0, 0.0, false, 30},
    {"store restored twice", restore_store_twice, 0.01, 0.0, 0.0, false, 20},
    {"store restored, VMs cut off", restore_and_cut_off, 0.01, 0.1, 0.1, false,
	0},
    {"everything", everything, 0.05, 0.2, 0.2, false, 0},
};

static void
run_case(const struct proof_case *c, uint32_t vm_count, uint64_t seed)
{
	struct world *world = calloc(1, sizeof(*world));
	uint32_t i;

	assert_non_null(world);
	*world = (struct world){.c = c,
	    .vm_count = vm_count,
	    .era = 1,
	    .number = 10,
	    .now_us = SECOND};
	cs_random_seed(&world->random, seed);
	write_version(world);
	for (i = 0; i < vm_count; i++) {
		struct vm *vm = &world->vms[i];

		vm->region = i % REGIONS;
		vm->boot_offset_us =
		    1 + cs_random_below(&world->random, 100000) * SECOND;
		start_vm(world, vm);
	}
	for (i = 0; i < REGIONS && i < vm_count; i++)
		world->leaders[i] = i;
	for (; world->now_us < DURATION; world->now_us += STEP) {
		if (world->now_us % REMOVAL_EVERY == 0)
			write_version(world);
		if (c->trouble != NULL && world->now_us % SECOND == 0)
			c->trouble(world);
		elect(world);
		replicate(world);
		deliver(world);
		for (i = 0; i < vm_count; i++) {
			struct vm *vm = &world->vms[i];

			if (!runs(world, vm) ||
			    world->now_us < vm->next_tick_us)
				continue;
			vm->next_tick_us = world->now_us + TICK;
			tick(world, i);
		}
		check(world);
	}
	if (getenv("VERBOSE") != NULL)
		printf("%s, %u VMs: fresh %.4f\n", c->name, vm_count,
		    1.0 - (double)world->stale_steps / (double)world->steps);
	if (world->stale_steps * 100 >
	    world->steps * (100 - c->fresh_at_end_pct))
		fail_msg("%s, %u VMs: stale for %llu of %llu steps", c->name,
		    vm_count, (unsigned long long)world->stale_steps,
		    (unsigned long long)world->steps);
	free(world->messages);
	free(world);
}

static void
test_no_vm_serves_a_key_that_was_taken_away(void **state)
{
	static const uint32_t sizes[] = {2, 16, 141};
	size_t i, k;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(proof_cases) / sizeof(proof_cases[0]); i++) {
		for (k = 0; k < 3; k++) {
			for (seed = 1; seed <= (k < 2 ? 10 : 2); seed++)
				run_case(&proof_cases[i], sizes[k], seed);
		}
	}
}

#define PROCESS 77
#define NOW (1000 * SECOND)

struct reply_case {
	const char *name;
	struct fl_proof_reply reply;
	bool counts;
	int64_t proven_us;
};

/* Of a VM at revision 9, version 4, that asked at NOW - 2 s and NOW. */
static const struct reply_case reply_cases[] = {
    {"same configuration", {PROCESS, NOW, true, SECOND, {9, 4}}, true,
	NOW - SECOND},
    {"older there", {PROCESS, NOW, true, 0, {8, 3}}, true, NOW},
    {"answer to an earlier query", {PROCESS, NOW - 2 * SECOND, true, 0, {9, 4}},
	true, NOW - 2 * SECOND},
    {"later there", {PROCESS, NOW, true, 0, {10, 5}}, false, 0},
    {"of a later era", {PROCESS, NOW, true, 0, {(UINT64_C(1) << 44) + 1, 4}},
	false, 0},
    {"no proof there", {PROCESS, NOW, false, 0, {9, 4}}, false, 0},
    {"to another process", {PROCESS + 1, NOW, true, 0, {9, 4}}, false, 0},
    {"to no query", {PROCESS, NOW + 1, true, 0, {9, 4}}, false, 0},
    {"a proof of the future", {PROCESS, NOW, true, -SECOND, {9, 4}}, false, 0},
    {"a version that the store has lost", {PROCESS, NOW, true, 0, {9, 5}},
	false, 0},
};

static void
test_only_true_answers_are_proofs(void **state)
{
	const struct fl_config_state config = {9, 4};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(reply_cases) / sizeof(reply_cases[0]); i++) {
		const struct reply_case *row = &reply_cases[i];
		struct fl_proof_query query;
		struct fl_proof proof;

		fl_proof_init(&proof, REVOKE, PROCESS, NOW - 3 * SECOND);
		fl_proof_ask(&proof, &config, NOW - 2 * SECOND, &query);
		fl_proof_ask(&proof, &config, NOW, &query);
		if (fl_proof_take(&proof, &config, &row->reply, NOW) !=
			row->counts ||
		    proof.proven_us != row->proven_us)
			fail_msg(
			    "%s: %lld", row->name, (long long)proof.proven_us);
	}
}

/* A machine that has just started takes a proof from before its start. */
static void
test_proof_may_be_older_than_the_machine(void **state)
{
	const struct fl_config_state config = {9, 4};
	const struct fl_proof_reply reply = {
	    PROCESS, SECOND, true, 3 * SECOND, {9, 4}};
	struct fl_proof_query query;
	struct fl_proof proof;

	(void)state;
	fl_proof_init(&proof, REVOKE, PROCESS, SECOND);
	fl_proof_ask(&proof, &config, SECOND, &query);
	assert_true(fl_proof_take(&proof, &config, &reply, SECOND));
	assert_true(fl_proof_is_fresh(&proof, 3 * SECOND));
	assert_false(fl_proof_is_fresh(&proof, 3 * SECOND + 1));
}

/* A leader that took the store's older copy learns of it from a follower. */
static void
test_lost_version_ends_the_proofs_of_the_store(void **state)
{
	const uint64_t restored = os_revision(2, 3);
	struct fl_config_state config = {restored, 4};
	struct fl_proof_query query = {
	    PROCESS + 1, NOW, {os_revision(1, 90), 5}};
	struct fl_proof_reply reply;
	struct fl_proof proof;

	(void)state;
	fl_proof_init(&proof, REVOKE, PROCESS, NOW);
	assert_true(fl_proof_by_store(&proof, &config, 2, NOW));
	assert_true(fl_proof_is_fresh(&proof, NOW));
	fl_proof_answer(&proof, &config, &query, NOW, &reply);
	assert_false(reply.proven);
	assert_false(fl_proof_is_fresh(&proof, NOW));
	assert_false(fl_proof_by_store(&proof, &config, 2, NOW + SECOND));
	/* The operator writes the configuration again. */
	config = (struct fl_config_state){os_revision(2, 4), 5};
	assert_true(fl_proof_by_store(&proof, &config, 2, NOW + 2 * SECOND));
	/* Nor is the store's word a proof before its list is in force here. */
	assert_false(fl_proof_by_store(&proof, &config, 4, NOW + 2 * SECOND));
	fl_proof_init(&proof, REVOKE, PROCESS, NOW);
	assert_true(fl_proof_by_store(&proof, &config, 2, NOW + 2 * SECOND));
	/* In a new era, other VMs are asked before the store is believed. */
	config.revision = os_revision(3, 4);
	assert_false(fl_proof_by_store(&proof, &config, 3, NOW + 3 * SECOND));
	assert_true(fl_proof_needs_others(&proof, NOW + 3 * SECOND));
	assert_true(fl_proof_by_store(&proof, &config, 3, NOW + 5 * SECOND));
}

/* A configuration that could not be read may have taken keys away. */
static void
test_refused_configuration_ends_proofs(void **state)
{
	const struct fl_proof_reply reply = {PROCESS, NOW, true, 0, {9, 4}};
	const struct fl_config_state config = {9, 4};
	struct fl_proof_query query;
	struct fl_proof proof;

	(void)state;
	fl_proof_init(&proof, REVOKE, PROCESS, NOW);
	fl_proof_set_refused(&proof, true);
	fl_proof_ask(&proof, &config, NOW, &query);
	assert_false(fl_proof_take(&proof, &config, &reply, NOW));
	assert_false(fl_proof_by_store(&proof, &config, 0, NOW));
	assert_false(fl_proof_is_fresh(&proof, NOW));
	assert_string_equal(fl_proof_why_stale(&proof), "refused");
	fl_proof_set_refused(&proof, false);
	assert_true(fl_proof_take(&proof, &config, &reply, NOW));
	assert_true(fl_proof_by_store(&proof, &config, 0, NOW));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_refused_configuration_ends_proofs),
	    cmocka_unit_test(test_only_true_answers_are_proofs),
	    cmocka_unit_test(test_proof_may_be_older_than_the_machine),
	    cmocka_unit_test(test_lost_version_ends_the_proofs_of_the_store),
	    cmocka_unit_test(test_no_vm_serves_a_key_that_was_taken_away),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
