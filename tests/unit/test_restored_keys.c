/*
 * Bare keys across a store that comes back from an older copy: decision cores
 * of several VMs, a store that loses claims, virtual time. Guards against a key
 * that runs twice, and against refusals where no restore is known.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/base/base.h"
#include "../../lib/decide/decide.h"

#define MS 1000
#define SECOND (1000 * MS)
#define MINUTE (60LL * SECOND)
#define VMS_MAX 4
#define KEYS 64
#define MESSAGES_MAX 256
#define ROUTE 21

enum answer {
	ANSWER_NONE, /* the call is open */
	ANSWER_RAN,
	ANSWER_NOT_RUN,
	ANSWER_UNKNOWN,
};

struct message {
	int from, to;
	struct dc_message message;
};

struct vm {
	struct dc_core *core;
	uint64_t epoch;
	bool silent; /* reads no messages */
	bool old_build;
	struct dc_actions actions;
};

struct fixture {
	int64_t now_us;
	int count;
	struct vm vms[VMS_MAX];
	uint64_t era;
	bool claimed[KEYS];
	uint32_t runs[KEYS];
	bool hold_claims; /* responses of the store are late */
	uint64_t held_call;
	uint64_t calls;
	int call_key[KEYS * 4];
	int call_vm[KEYS * 4];
	enum answer answers[KEYS * 4];
	uint64_t reasons[KEYS * 4];
	struct message messages[MESSAGES_MAX];
	uint32_t message_count;
};

static void step(struct fixture *f, int vm, const struct dc_event *event);

static uint64_t
vm_id(int vm)
{
	return 1 + (uint64_t)vm;
}

static void
complete_claim(struct fixture *f, uint64_t call, uint64_t result, uint64_t era)
{
	step(f, f->call_vm[call],
	    &(struct dc_event){.type = DC_EV_STORE_CLAIMED,
		.store_claimed = {call, result, era}});
}

static void
claim(struct fixture *f, uint64_t call)
{
	int key = f->call_key[call];
	bool conflict = f->claimed[key];

	f->claimed[key] = true;
	if (f->hold_claims)
		f->held_call = call;
	else
		complete_claim(f, call,
		    conflict ? DC_STORE_CONFLICT : DC_STORE_CLAIMED, f->era);
}

static void
run(struct fixture *f, const struct dc_send *send)
{
	int vm = f->call_vm[send->call];

	f->runs[f->call_key[send->call]]++;
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_SENT,
		.sent = {send->call, send->attempt, 0}});
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_HEAD,
		.head = {send->call, send->attempt, 200}});
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_ENDED,
		.ended = {send->call, send->attempt, DC_RESULT_COMPLETE}});
}

static void
apply(struct fixture *f, int vm, const struct dc_action *action)
{
	switch (action->type) {
	case DC_ACT_STORE_CLAIM:
		claim(f, action->store_claim.call);
		return;
	case DC_ACT_SEND:
		run(f, &action->send);
		return;
	case DC_ACT_DONE:
		f->answers[action->done.call] = ANSWER_RAN;
		return;
	case DC_ACT_REFUSE:
		f->answers[action->refuse.call] =
		    action->refuse.outcome == DC_OUTCOME_NOT_RUN
			? ANSWER_NOT_RUN
			: ANSWER_UNKNOWN;
		f->reasons[action->refuse.call] = action->refuse.reason;
		return;
	case DC_ACT_MESSAGE:
		if (action->message.message.type < DC_MSG_KEY_CLAIM ||
		    action->message.peer == 0)
			return;
		assert_true(f->message_count < MESSAGES_MAX);
		f->messages[f->message_count++] = (struct message){
		    vm, (int)action->message.peer - 1, action->message.message};
		return;
	default:
		return;
	}
}

static void
step(struct fixture *f, int vm, const struct dc_event *event)
{
	struct dc_actions *actions = calloc(1, sizeof(*actions));
	uint32_t i;

	dc_step(f->vms[vm].core, event, f->now_us, actions);
	for (i = 0; i < actions->count; i++)
		apply(f, vm, &actions->items[i]);
	free(actions);
}

/* The build before has no record of any claim with this epoch. */
static void
answer_as_old_build(struct fixture *f, const struct message *m)
{
	if (m->message.type != DC_MSG_KEY_CLAIM)
		return;
	f->messages[f->message_count++] = (struct message){m->to, m->from,
	    {.type = DC_MSG_KEY_CLAIM_RESULT,
		.claim_result = {m->message.claim.a, m->message.claim.b,
		    m->message.claim.serial, DC_CLAIM_EXPIRED}}};
}

static void
deliver(struct fixture *f)
{
	while (f->message_count > 0) {
		struct message m = f->messages[0];

		f->message_count--;
		memmove(&f->messages[0], &f->messages[1],
		    f->message_count * sizeof(m));
		if (f->vms[m.to].silent || f->vms[m.from].silent)
			continue;
		if (f->vms[m.to].old_build)
			answer_as_old_build(f, &m);
		else
			step(f, m.to,
			    &(struct dc_event){.type = DC_EV_MESSAGE,
				.message = {vm_id(m.from), m.message}});
	}
}

static void
set_peer(struct fixture *f, int vm, int peer, enum dc_peer_state state)
{
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_PEER,
		.peer = {vm_id(peer), f->vms[peer].epoch, 1, state}});
}

static void
load_table(struct fixture *f, int vm)
{
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_TABLE_BEGIN, .table_begin = {1}});
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_TABLE_POOL, .table_pool = {10}});
	step(f, vm,
	    &(struct dc_event){
		.type = DC_EV_TABLE_TARGET, .table_target = {100, 1, 64, 0}});
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_TABLE_ROUTE,
		.table_route = {ROUTE, 10, 1, 0, 0}});
	step(f, vm, &(struct dc_event){.type = DC_EV_TABLE_END});
}

static void
start_vm(struct fixture *f, int vm)
{
	int peer;

	dc_core_free(f->vms[vm].core);
	f->vms[vm].core = dc_core_create(1);
	f->vms[vm].epoch++;
	dc_parameter_set(f->vms[vm].core, "dispatch", 0);
	step(f, vm,
	    &(struct dc_event){
		.type = DC_EV_SELF, .self = {vm_id(vm), f->vms[vm].epoch, 1}});
	load_table(f, vm);
	for (peer = 0; peer < f->count; peer++) {
		if (peer == vm || f->vms[peer].core == NULL)
			continue;
		set_peer(f, vm, peer, DC_PEER_ALIVE);
		set_peer(f, peer, vm, DC_PEER_ALIVE);
	}
}

static struct fixture *
set_up(int count)
{
	struct fixture *f = calloc(1, sizeof(*f));
	int vm;

	f->now_us = SECOND;
	f->count = count;
	f->era = 1;
	for (vm = 0; vm < count; vm++) {
		f->vms[vm].core = dc_core_create(1);
		start_vm(f, vm);
	}
	return f;
}

static void
tear_down(struct fixture *f)
{
	int vm, key;

	for (key = 0; key < KEYS; key++)
		assert_true(f->runs[key] <= 1);
	for (vm = 0; vm < f->count; vm++) {
		assert_null(dc_check(f->vms[vm].core));
		dc_core_free(f->vms[vm].core);
	}
	free(f);
}

/* Every VM reads something of the store, as a VM does at its start. */
static void
all_read_the_store(struct fixture *f)
{
	int vm;

	for (vm = 0; vm < f->count; vm++)
		step(f, vm,
		    &(struct dc_event){
			.type = DC_EV_STORE_ERA, .store_era = {f->era}});
}

static void
restore(struct fixture *f)
{
	f->era++;
	memset(f->claimed, 0, sizeof(f->claimed));
}

static void
advance(struct fixture *f, int64_t us)
{
	int vm;

	f->now_us += us;
	for (vm = 0; vm < f->count; vm++) {
		if (!f->vms[vm].silent)
			step(f, vm, &(struct dc_event){.type = DC_EV_TIMER});
	}
}

/* Posts a request with a bare key; returns the number of its call. */
static uint64_t
post_until(struct fixture *f, int vm, int key, int64_t deadline_us)
{
	uint64_t call = ++f->calls;

	f->call_vm[call] = vm;
	f->call_key[call] = key;
	step(f, vm,
	    &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		.arrived = {.call = call,
		    .route = ROUTE,
		    .fingerprint = call,
		    .deadline_us = f->now_us + deadline_us,
		    .key = {.a = 1000 + (uint64_t)key,
			.b = 7,
			.scope = DC_KEY_STORE}}});
	deliver(f);
	return call;
}

static uint64_t
post(struct fixture *f, int vm, int key)
{
	return post_until(f, vm, key, 5 * SECOND);
}

static void
expect_ran(struct fixture *f, int vm, int key)
{
	assert_int_equal(f->answers[post(f, vm, key)], ANSWER_RAN);
	assert_int_equal(f->runs[key], 1);
}

static void
expect_unsure(struct fixture *f, uint64_t call)
{
	assert_int_equal(f->answers[call], ANSWER_UNKNOWN);
	assert_int_equal(f->reasons[call], DC_REASON_KEY_UNSURE);
}

static uint64_t
questions(struct fixture *f, int vm)
{
	struct dc_counters counters;

	dc_counters(f->vms[vm].core, &counters);
	return counters.key_questions;
}

/* No VM but the claiming one knows of the store, which names its era there. */
static void
test_key_is_not_run_again_after_a_restore(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	expect_ran(f, 0, 1);
	restore(f);
	expect_unsure(f, post(f, 1, 1));
	expect_unsure(f, post(f, 2, 1));
	expect_ran(f, 1, 2); /* others run */
	tear_down(f);
}

static void
test_keys_of_several_vms_are_not_run_again(void **state)
{
	struct fixture *f = set_up(4);
	int vm, other;

	(void)state;
	for (vm = 0; vm < 4; vm++)
		expect_ran(f, vm, vm);
	restore(f);
	for (vm = 0; vm < 4; vm++) {
		for (other = 0; other < 4; other++) {
			if (other != vm)
				expect_unsure(f, post(f, other, vm));
		}
		expect_ran(f, vm, 10 + vm);
	}
	tear_down(f);
}

/* The store loses a claim whose response has not arrived yet. */
static void
test_restore_while_a_claim_is_in_progress(void **state)
{
	struct fixture *f = set_up(3);
	uint64_t first;

	(void)state;
	f->hold_claims = true;
	first = post(f, 0, 1);
	f->hold_claims = false;
	restore(f);
	expect_unsure(f, post(f, 1, 1));
	/* The question of the other VM has told the era: its claim is lost. */
	complete_claim(f, first, DC_STORE_CLAIMED, 1);
	deliver(f);
	assert_int_equal(f->answers[first], ANSWER_NOT_RUN);
	assert_int_equal(f->reasons[first], DC_REASON_KEY_STORE);
	assert_int_equal(f->runs[1], 0);
	tear_down(f);
}

/* Both hold a claim of the key, each of another era, before either asks. */
static void
test_claims_of_one_key_in_two_eras_run_at_most_once(void **state)
{
	struct fixture *f = set_up(2);
	uint64_t first, second;

	(void)state;
	all_read_the_store(f);
	f->hold_claims = true;
	first = post(f, 0, 1);
	restore(f);
	second = post(f, 1, 1);
	complete_claim(f, first, DC_STORE_CLAIMED, 1);
	complete_claim(f, second, DC_STORE_CLAIMED, 2);
	deliver(f);
	assert_int_not_equal(f->answers[first], ANSWER_NONE);
	assert_int_not_equal(f->answers[second], ANSWER_NONE);
	assert_true(f->runs[1] <= 1);
	tear_down(f);
}

static void
test_two_restores_in_a_row(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	expect_ran(f, 0, 1);
	restore(f);
	expect_ran(f, 1, 2); /* in the era that is lost next */
	restore(f);
	expect_unsure(f, post(f, 2, 1));
	expect_unsure(f, post(f, 2, 2));
	expect_unsure(f, post(f, 1, 1));
	expect_unsure(f, post(f, 0, 2));
	expect_ran(f, 0, 3);
	tear_down(f);
}

/* An answer about an earlier era must not count in a later one. */
static void
test_vm_that_held_nothing_is_asked_again_after_a_restore(void **state)
{
	struct fixture *f = set_up(2);

	(void)state;
	expect_ran(f, 0, 1); /* the other holds none, and says so */
	expect_ran(f, 1, 2);
	restore(f);
	expect_unsure(f, post(f, 0, 2));
	tear_down(f);
}

static void
test_vm_that_does_not_answer_leaves_the_key_unsure(void **state)
{
	struct fixture *f = set_up(3);
	uint64_t call;

	(void)state;
	expect_ran(f, 0, 1);
	restore(f);
	f->vms[0].silent = true;
	call = post(f, 1, 1);
	assert_int_equal(f->answers[call], ANSWER_NONE);
	advance(f, 500 * MS);
	expect_unsure(f, call);
	tear_down(f);
}

/* The time limit of a claim holds for the questions too. */
static void
test_slow_store_and_silent_vm_stay_within_the_time_limit(void **state)
{
	struct fixture *f = set_up(2);
	uint64_t call;

	(void)state;
	f->vms[1].silent = true;
	f->hold_claims = true;
	call = post(f, 0, 1);
	f->now_us += 2900 * MS;
	complete_claim(f, call, DC_STORE_CLAIMED, 1);
	deliver(f);
	assert_int_equal(f->answers[call], ANSWER_NONE);
	advance(f, 100 * MS);
	expect_unsure(f, call);
	tear_down(f);
}

/* Nobody can tell which keys it had claimed: none runs until all are old. */
static void
test_keys_of_a_dead_vm_are_unsure_until_they_expire(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	all_read_the_store(f);
	expect_ran(f, 0, 1);
	f->vms[0].silent = true;
	set_peer(f, 1, 0, DC_PEER_DEAD);
	set_peer(f, 2, 0, DC_PEER_DEAD);
	restore(f);
	expect_unsure(f, post(f, 1, 1));
	expect_unsure(f, post(f, 2, 2));
	advance(f, 11 * MINUTE);
	expect_ran(f, 2, 3);
	tear_down(f);
}

/* The new process of a VM has no memory of the keys of the old one. */
static void
test_keys_of_a_restarted_vm_are_unsure(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	all_read_the_store(f);
	expect_ran(f, 0, 1);
	start_vm(f, 0);
	restore(f);
	expect_unsure(f, post(f, 0, 1)); /* the others know */
	expect_unsure(f, post(f, 1, 1));
	tear_down(f);
}

/* A VM that started after the restore learns of it from those that saw it. */
static void
test_vm_that_starts_after_the_restore_learns_of_it(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	all_read_the_store(f);
	expect_ran(f, 0, 1);
	restore(f);
	all_read_the_store(f);
	start_vm(f, 2);
	set_peer(f, 2, 0, DC_PEER_DEAD); /* a link between these two is cut */
	expect_unsure(f, post(f, 2, 1));
	tear_down(f);
}

/* A restore long ago must cost nothing. */
static void
test_vm_that_starts_long_after_the_restore_runs_keys(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	restore(f);
	all_read_the_store(f);
	advance(f, 11 * MINUTE);
	start_vm(f, 2);
	f->vms[0].silent = true; /* the answer of any other is enough */
	set_peer(f, 1, 0, DC_PEER_DEAD);
	set_peer(f, 2, 0, DC_PEER_DEAD);
	expect_ran(f, 2, 1);
	expect_ran(f, 2, 2);
	assert_int_equal(questions(f, 2), 1);
	expect_ran(f, 1, 3);
	assert_int_equal(questions(f, 1), 0);
	tear_down(f);
}

/* Where no VM has seen a restore, bare keys cost one question for each VM. */
static void
test_without_a_restore_each_vm_is_asked_once(void **state)
{
	struct fixture *f = set_up(4);
	int key;

	(void)state;
	all_read_the_store(f);
	for (key = 0; key < 10; key++)
		expect_ran(f, 0, key);
	assert_int_equal(questions(f, 0), 3);
	set_peer(f, 0, 3, DC_PEER_DEAD);
	f->vms[3].silent = true;
	expect_ran(f, 0, 20);
	set_peer(f, 1, 3, DC_PEER_DEAD); /* it was never asked by this one */
	expect_ran(f, 1, 21);
	set_peer(f, 1, 2, DC_PEER_LEAVING);
	f->vms[2].silent = true;
	expect_ran(f, 1, 22);
	tear_down(f);
}

static void
test_store_without_eras_asks_nobody(void **state)
{
	struct fixture *f = set_up(2);

	(void)state;
	f->era = 0;
	f->vms[1].silent = true;
	expect_ran(f, 0, 1);
	assert_int_equal(questions(f, 0), 0);
	tear_down(f);
}

/* A fleet that is upgraded VM by VM serves bare keys until a restore. */
static void
test_previous_build_counts_as_unknown_after_a_restore(void **state)
{
	struct fixture *f = set_up(3);

	(void)state;
	f->vms[2].old_build = true;
	expect_ran(f, 0, 1);
	expect_ran(f, 1, 2);
	restore(f);
	expect_unsure(f, post(f, 0, 3));
	tear_down(f);
}

/* A call with a long deadline is remembered for as long as it may run. */
static void
test_key_of_a_long_call_is_held_until_its_deadline(void **state)
{
	struct fixture *f = set_up(2);

	(void)state;
	all_read_the_store(f);
	post_until(f, 0, 1, 10 * MINUTE);
	post_until(f, 0, 2, 10 * MINUTE);
	restore(f);
	all_read_the_store(f);
	advance(f, 9 * MINUTE);
	expect_unsure(f, post(f, 1, 1)); /* the era is not settled yet */
	restore(f);
	expect_unsure(f, post(f, 1, 2)); /* nor forgotten on the way */
	tear_down(f);
}

/* Answers about bare keys must not stand for the grant of a witness. */
static void
test_token_with_witness_epoch_zero_gets_no_grant(void **state)
{
	struct fixture *f = set_up(2);
	uint64_t call = ++f->calls;

	(void)state;
	f->call_vm[call] = 0;
	f->call_key[call] = 1;
	step(f, 0,
	    &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		.arrived = {.call = call,
		    .route = ROUTE,
		    .deadline_us = f->now_us + SECOND,
		    .key = {.a = 1,
			.b = 2,
			.scope = DC_KEY_HOME,
			.home = vm_id(0),
			.home_epoch = f->vms[0].epoch,
			.witness = vm_id(1)}}});
	deliver(f);
	assert_int_equal(f->answers[call], ANSWER_NOT_RUN);
	assert_int_equal(f->reasons[call], DC_REASON_KEY_NO_WITNESS);
	assert_int_equal(f->runs[1], 0);
	tear_down(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_key_is_not_run_again_after_a_restore),
	    cmocka_unit_test(test_keys_of_several_vms_are_not_run_again),
	    cmocka_unit_test(test_restore_while_a_claim_is_in_progress),
	    cmocka_unit_test(
		test_claims_of_one_key_in_two_eras_run_at_most_once),
	    cmocka_unit_test(test_two_restores_in_a_row),
	    cmocka_unit_test(
		test_vm_that_held_nothing_is_asked_again_after_a_restore),
	    cmocka_unit_test(
		test_vm_that_does_not_answer_leaves_the_key_unsure),
	    cmocka_unit_test(
		test_slow_store_and_silent_vm_stay_within_the_time_limit),
	    cmocka_unit_test(
		test_keys_of_a_dead_vm_are_unsure_until_they_expire),
	    cmocka_unit_test(test_keys_of_a_restarted_vm_are_unsure),
	    cmocka_unit_test(
		test_vm_that_starts_after_the_restore_learns_of_it),
	    cmocka_unit_test(
		test_vm_that_starts_long_after_the_restore_runs_keys),
	    cmocka_unit_test(test_without_a_restore_each_vm_is_asked_once),
	    cmocka_unit_test(test_store_without_eras_asks_nobody),
	    cmocka_unit_test(
		test_previous_build_counts_as_unknown_after_a_restore),
	    cmocka_unit_test(
		test_key_of_a_long_call_is_held_until_its_deadline),
	    cmocka_unit_test(test_token_with_witness_epoch_zero_gets_no_grant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
