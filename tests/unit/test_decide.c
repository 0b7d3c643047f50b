/* Contract of the decision core: single VM, virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/base/base.h"
#include "../../lib/decide/decide.h"

#define MS 1000
#define SELF 1
#define POOL 10
#define BROWSE 20 /* idempotent, weight 1 */
#define LETTER 21 /* non-idempotent, weight 5 */
#define TARGET 100

struct bench {
	struct dc_core *core;
	int64_t now_us;
	struct dc_actions actions;
};

static int
feed(struct bench *b, const struct dc_event *event)
{
	return dc_step(b->core, event, b->now_us, &b->actions);
}

static void
pass(struct bench *b, int64_t us)
{
	b->now_us += us;
	feed(b, &(struct dc_event){.type = DC_EV_TIMER});
}

static void
add_route(struct bench *b, uint64_t route, uint64_t weight, uint64_t idempotent)
{
	feed(b, &(struct dc_event){.type = DC_EV_TABLE_ROUTE,

		    .table_route = {route, POOL, weight, idempotent, 0}});
}

static void
load(struct bench *b, uint64_t version, uint32_t targets, uint32_t slots)
{
	uint32_t i;

	feed(b, &(struct dc_event){
		    .type = DC_EV_TABLE_BEGIN, .table_begin = {version}});
	feed(b,
	    &(struct dc_event){.type = DC_EV_TABLE_POOL, .table_pool = {POOL}});
	for (i = 0; i < targets; i++)
		feed(b, &(struct dc_event){.type = DC_EV_TABLE_TARGET,
			    .table_target = {TARGET + i, 1, slots, 0}});
	feed(b, &(struct dc_event){.type = DC_EV_TABLE_SHARE,
		    .table_share = {.member = 7, .weight = 3}});
	add_route(b, BROWSE, 1, 1);
	add_route(b, LETTER, 5, 0);
	feed(b, &(struct dc_event){.type = DC_EV_TABLE_END});
}

static void
start(struct bench *b, uint32_t targets, uint32_t slots)
{
	*b = (struct bench){.core = dc_core_create(1), .now_us = 1000 * MS};
	dc_parameter_set(b->core, "lease_over_commit", 0);
	feed(b, &(struct dc_event){.type = DC_EV_SELF, .self = {SELF, 1, 1}});
	load(b, 1, targets, slots);
	pass(b, 100 * MS); /* a new owner's grace is over */
}

static void
stop(struct bench *b)
{
	assert_null(dc_check(b->core));
	dc_core_free(b->core);
}

static void
arrive_from(struct bench *b, uint64_t call, uint64_t route, uint64_t member,
    int64_t left_us)
{
	assert_int_equal(feed(b, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
				     .arrived =
					 {
					     .call = call,
					     .route = route,
					     .member = member,
					     .fingerprint = call,
					     .deadline_us = b->now_us + left_us,
					 }}),
	    CS_OK);
}

static void
arrive(struct bench *b, uint64_t call, uint64_t route, int64_t left_us)
{
	arrive_from(b, call, route, 1, left_us);
}

static const struct dc_action *
action(const struct bench *b, enum dc_action_type type)
{
	uint32_t i;

	for (i = 0; i < b->actions.count; i++) {
		if (b->actions.items[i].type == type)
			return &b->actions.items[i];
	}
	return NULL;
}

static void
sent(struct bench *b, uint64_t call, uint64_t attempt)
{
	assert_int_equal(feed(b, &(struct dc_event){.type = DC_EV_ATTEMPT_SENT,
				     .sent = {call, attempt, 0}}),
	    CS_OK);
}

static void
head(struct bench *b, uint64_t call, uint64_t attempt, uint64_t status)
{
	assert_int_equal(feed(b, &(struct dc_event){.type = DC_EV_ATTEMPT_HEAD,
				     .head = {call, attempt, status}}),
	    CS_OK);
}

static void
ended(struct bench *b, uint64_t call, uint64_t attempt, enum dc_result result)
{
	assert_int_equal(feed(b, &(struct dc_event){.type = DC_EV_ATTEMPT_ENDED,
				     .ended = {call, attempt, result}}),
	    CS_OK);
}

/* A first attempt from connect to the end of its answer. */
static void
serve(struct bench *b, uint64_t call, int64_t us)
{
	sent(b, call, 1);
	b->now_us += us;
	head(b, call, 1, 200);
	ended(b, call, 1, DC_RESULT_COMPLETE);
}

static void
assert_refused(
    const struct bench *b, enum dc_reason reason, enum dc_outcome outcome)
{
	const struct dc_action *refuse = action(b, DC_ACT_REFUSE);

	assert_non_null(refuse);
	assert_string_equal(
	    dc_reason_text((enum dc_reason)refuse->refuse.reason),
	    dc_reason_text(reason));
	assert_int_equal(refuse->refuse.outcome, outcome);
}

static void
test_call_is_sent_relayed_and_done(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 1, 1);
	arrive(&b, 1, BROWSE, 500 * MS);
	assert_non_null(action(&b, DC_ACT_SEND));
	sent(&b, 1, 1);
	head(&b, 1, 1, 200);
	assert_non_null(action(&b, DC_ACT_RELAY));
	ended(&b, 1, 1, DC_RESULT_COMPLETE);
	assert_non_null(action(&b, DC_ACT_DONE));
	stop(&b);
}

static void
test_call_waits_for_a_slot_and_never_at_the_target(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 1, 1);
	arrive(&b, 1, BROWSE, 500 * MS);
	arrive(&b, 2, BROWSE, 500 * MS);
	assert_null(action(&b, DC_ACT_SEND));
	serve(&b, 1, 20 * MS);
	assert_non_null(action(&b, DC_ACT_SEND));
	assert_int_equal(action(&b, DC_ACT_SEND)->send.call, 2);
	stop(&b);
}

static void
test_waiting_call_is_refused_not_run_at_its_deadline(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 1, 1);
	arrive(&b, 1, LETTER, 5000 * MS);
	sent(&b, 1, 1);
	arrive(&b, 2, LETTER, 50 * MS);
	pass(&b, 60 * MS);
	assert_refused(&b, DC_REASON_DEADLINE, DC_OUTCOME_NOT_RUN);
	stop(&b);
}

static void
test_sent_call_is_unknown_at_its_deadline(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 1, 1);
	arrive(&b, 1, LETTER, 50 * MS);
	sent(&b, 1, 1);
	pass(&b, 60 * MS);
	assert_non_null(action(&b, DC_ACT_CANCEL));
	assert_refused(&b, DC_REASON_DEADLINE, DC_OUTCOME_UNKNOWN);
	stop(&b);
}

/* What each end of a first attempt leads to. */
struct end_case {
	uint64_t route;
	bool was_sent;
	enum dc_result result;
	bool sent_again;
	enum dc_reason reason;
	enum dc_outcome outcome;
};

static const struct end_case end_cases[] = {
    {BROWSE, false, DC_RESULT_NOT_SENT, true, 0, 0},
    {LETTER, false, DC_RESULT_NOT_SENT, true, 0, 0},
    {BROWSE, true, DC_RESULT_CONNECTION_LOST, true, 0, 0},
    {LETTER, true, DC_RESULT_CONNECTION_LOST, false, DC_REASON_TARGET_BROKE,
	DC_OUTCOME_UNKNOWN},
    {BROWSE, true, DC_RESULT_NO_LENGTH, false, DC_REASON_ANSWER_UNFRAMED,
	DC_OUTCOME_UNKNOWN},
    {LETTER, true, DC_RESULT_NO_LENGTH, false, DC_REASON_ANSWER_UNFRAMED,
	DC_OUTCOME_UNKNOWN},
};

static void
test_ends_of_a_first_attempt(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(end_cases) / sizeof(end_cases[0]); i++) {
		const struct end_case *c = &end_cases[i];
		struct bench b;
		uint64_t call;

		start(&b, 2, 2);
		for (call = 1; call <= 12; call++) { /* earns a retry */
			arrive(&b, call, BROWSE, 500 * MS);
			serve(&b, call, 20 * MS);
		}
		arrive(&b, 50, c->route, 500 * MS);
		if (c->was_sent)
			sent(&b, 50, 1);
		ended(&b, 50, 1, c->result);
		if (c->sent_again)
			assert_non_null(action(&b, DC_ACT_SEND));
		else
			assert_refused(&b, c->reason, c->outcome);
		stop(&b);
	}
}

static void
test_no_retry_when_retries_are_off(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 2, 2);
	dc_parameter_set(b.core, "retry_budget_milli", 0);
	arrive(&b, 1, BROWSE, 500 * MS);
	sent(&b, 1, 1);
	ended(&b, 1, 1, DC_RESULT_CONNECTION_LOST);
	assert_refused(&b, DC_REASON_TARGET_BROKE, DC_OUTCOME_UNKNOWN);
	stop(&b);
}

/* Ten retries to begin with, and one for every ten calls. */
static void
test_retries_end_with_their_budget(void **state)
{
	struct bench b;
	uint64_t call, retries = 0;

	(void)state;
	start(&b, 2, 2);
	dc_parameter_set(b.core, "eject_failures", 1000);
	for (call = 1; call <= 40; call++) {
		arrive(&b, call, BROWSE, 500 * MS);
		sent(&b, call, 1);
		head(&b, call, 1, 503);
		if (action(&b, DC_ACT_SEND) == NULL) {
			ended(&b, call, 1, DC_RESULT_COMPLETE);
			continue;
		}
		retries++;
		sent(&b, call, 2);
		head(&b, call, 2, 200);
		ended(&b, call, 2, DC_RESULT_COMPLETE);
	}
	assert_int_equal(retries, 10 + 39 / 10); /* the first earns none */
	stop(&b);
}

static void
test_request_that_kills_two_targets_is_quarantined(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 3, 2);
	for (call = 1; call <= 30; call++) {
		arrive(&b, call, BROWSE, 500 * MS);
		serve(&b, call, 20 * MS);
	}
	arrive(&b, 99, BROWSE, 500 * MS);
	sent(&b, 99, 1);
	ended(&b, 99, 1, DC_RESULT_CONNECTION_LOST);
	assert_non_null(action(&b, DC_ACT_SEND)); /* alone, once */
	sent(&b, 99, 2);
	ended(&b, 99, 2, DC_RESULT_CONNECTION_LOST);
	assert_refused(&b, DC_REASON_QUARANTINED, DC_OUTCOME_UNKNOWN);
	feed(&b, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		     .arrived = {.call = 100,
			 .route = BROWSE,
			 .fingerprint = 99,
			 .deadline_us = b.now_us + 500 * MS}});
	assert_refused(&b, DC_REASON_QUARANTINED, DC_OUTCOME_NOT_RUN);
	pass(&b, 1200LL * 1000 * MS);
	feed(&b, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		     .arrived = {.call = 101,
			 .route = BROWSE,
			 .fingerprint = 99,
			 .deadline_us = b.now_us + 500 * MS}});
	assert_non_null(action(&b, DC_ACT_SEND)); /* it has lapsed */
	stop(&b);
}

/* A request that many make was in flight at two deaths, but it is answered. */
static void
test_request_that_is_answered_is_no_suspect(void **state)
{
	struct bench b;
	uint64_t call;
	int death;

	(void)state;
	start(&b, 3, 4);
	for (death = 0; death < 4; death++) {
		feed(&b, &(struct dc_event){.type = DC_EV_MESSAGE,
			     .message = {.peer = 9,
				 .message = {.type = DC_MSG_SUSPECT,
				     .suspect = {77, TARGET + 1, 1}}}});
		feed(&b, &(struct dc_event){.type = DC_EV_PEER,
			     .peer = {9, 1, 2, DC_PEER_ALIVE}});
		call = 200 + (uint64_t)death;
		feed(&b, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
			     .arrived = {.call = call,
				 .route = BROWSE,
				 .fingerprint = 77,
				 .deadline_us = b.now_us + 500 * MS}});
		assert_null(action(&b, DC_ACT_REFUSE));
		serve(&b, call, 20 * MS);
		pass(&b, 2000 * MS);
	}
	stop(&b);
}

static void
test_suspect_is_not_retried_beside_other_work(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 1, 2);
	for (call = 1; call <= 12; call++) {
		arrive(&b, call, BROWSE, 500 * MS);
		serve(&b, call, 20 * MS);
	}
	arrive(&b, 50, BROWSE, 500 * MS);
	sent(&b, 50, 1);
	arrive(&b, 51, BROWSE, 500 * MS);
	sent(&b, 51, 1);
	ended(&b, 50, 1, DC_RESULT_CONNECTION_LOST);
	assert_null(action(&b, DC_ACT_SEND));
	assert_refused(&b, DC_REASON_TARGET_BROKE, DC_OUTCOME_UNKNOWN);
	stop(&b);
}

/* An entry VM that rendezvous hashing makes the owner in place of SELF. */
static uint64_t
peer_that_owns(void)
{
	uint64_t peer = SELF + 1, group = cs_hash_pair(POOL, 1);

	while (cs_hash_pair(group, peer) < cs_hash_pair(group, SELF))
		peer++;
	return peer;
}

/* A gap before a burst says nothing of how fast a queue moves. */
static void
test_idle_time_does_not_count_as_waiting_time(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 1, 1);
	b.now_us += 20000 * MS;
	feed(&b, /* another VM owns the slots, and is slow to answer */
	    &(struct dc_event){.type = DC_EV_PEER,
		.peer = {peer_that_owns(), 1, 1, DC_PEER_ALIVE}});
	for (call = 2; call <= 5; call++)
		arrive(&b, call, BROWSE, 500 * MS);
	pass(&b, 30 * MS); /* the first goes without a lease */
	assert_non_null(action(&b, DC_ACT_SEND));
	arrive(&b, 6, BROWSE, 500 * MS);
	assert_null(action(&b, DC_ACT_REFUSE));
	stop(&b);
}

static void
test_what_cannot_finish_in_time_is_refused_early(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 1, 1);
	for (call = 1; call <= 30; call++)
		arrive(&b, call, BROWSE, 5000 * MS);
	for (call = 1; call <= 10; call++)
		serve(&b, call, 20 * MS);
	arrive(&b, 40, BROWSE, 100 * MS); /* 20 wait before it, 20 ms each */
	assert_refused(&b, DC_REASON_WOULD_BE_LATE, DC_OUTCOME_NOT_RUN);
	stop(&b);
}

static void
test_heavier_work_displaces_lighter(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 1, 1);
	dc_parameter_set(b.core, "queue_max", 3);
	for (call = 1; call <= 4; call++)
		arrive(&b, call, BROWSE, 5000 * MS);
	arrive(&b, 5, BROWSE, 5000 * MS);
	assert_refused(&b, DC_REASON_QUEUE_FULL, DC_OUTCOME_NOT_RUN);
	arrive(&b, 6, LETTER, 5000 * MS);
	assert_refused(&b, DC_REASON_DISPLACED, DC_OUTCOME_NOT_RUN);
	assert_int_not_equal(action(&b, DC_ACT_REFUSE)->refuse.call, 6);
	stop(&b);
}

/* Member 7 has a share of 3 to the other's 1. */
static void
test_members_take_turns_by_their_shares(void **state)
{
	struct bench b;
	uint64_t call, seven = 0, last = 1;

	(void)state;
	start(&b, 1, 1);
	arrive(&b, 1, BROWSE, 5000 * MS);
	for (call = 100; call < 140; call++) /* a burst of one member */
		arrive_from(&b, call, BROWSE, 1, 5000 * MS);
	for (call = 200; call < 240; call++)
		arrive_from(&b, call, BROWSE, 7, 5000 * MS);
	for (call = 0; call < 20; call++) {
		serve(&b, last, 1 * MS);
		last = action(&b, DC_ACT_SEND)->send.call;
		seven += last >= 200;
	}
	assert_in_range(seven, 14, 16);
	stop(&b);
}

static void
test_earliest_deadline_first_within_a_member(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 1, 1);
	arrive(&b, 1, BROWSE, 900 * MS);
	arrive(&b, 2, BROWSE, 800 * MS);
	arrive(&b, 3, BROWSE, 300 * MS);
	serve(&b, 1, 20 * MS);
	assert_int_equal(action(&b, DC_ACT_SEND)->send.call, 3);
	stop(&b);
}

static void
test_drained_target_gets_no_new_work(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 2, 4);
	feed(&b, &(struct dc_event){
		     .type = DC_EV_TARGET_DRAINING, .draining = {TARGET, 1}});
	assert_non_null(action(&b, DC_ACT_MESSAGE)); /* the others are told */
	for (call = 1; call <= 4; call++) {
		arrive(&b, call, BROWSE, 500 * MS);
		assert_int_equal(
		    action(&b, DC_ACT_SEND)->send.target, TARGET + 1);
	}
	feed(&b, &(struct dc_event){.type = DC_EV_TARGET_DRAINING,
		     .draining = {TARGET + 1, 1}});
	arrive(&b, 9, BROWSE, 500 * MS);
	assert_refused(&b, DC_REASON_NO_TARGET, DC_OUTCOME_NOT_RUN);
	stop(&b);
}

static void
test_failing_target_is_ejected_unless_most_are(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 3, 1);
	for (call = 1; call <= 40; call++) {
		const struct dc_action *send;

		arrive(&b, call, LETTER, 500 * MS);
		send = action(&b, DC_ACT_SEND);
		if (send->send.target == TARGET) {
			ended(&b, call, 1, DC_RESULT_NOT_SENT);
			assert_int_not_equal(
			    action(&b, DC_ACT_SEND)->send.target, TARGET);
			sent(&b, call, 2);
			head(&b, call, 2, 200);
			ended(&b, call, 2, DC_RESULT_COMPLETE);
		} else {
			serve(&b, call, 0);
		}
	}
	/* Ejected after three failures: the last calls never tried it. */
	struct dc_counters counters;

	dc_counters(b.core, &counters);
	assert_int_equal(counters.ejections, 1);
	assert_int_equal(counters.retries, 3);
	stop(&b);
}

/* After its time out, one more failure is enough. */
static void
test_target_that_fails_when_it_is_back_is_out_again(void **state)
{
	struct dc_counters counters;
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 4, 1);
	for (call = 1; call <= 60; call++) {
		arrive(&b, call, LETTER, 500 * MS);
		if (action(&b, DC_ACT_SEND)->send.target == TARGET) {
			ended(&b, call, 1, DC_RESULT_NOT_SENT);
			sent(&b, call, 2);
			head(&b, call, 2, 200);
			ended(&b, call, 2, DC_RESULT_COMPLETE);
		} else {
			serve(&b, call, 0);
		}
		pass(&b, 300 * MS);
		dc_counters(b.core, &counters);
		if (counters.ejections == 2)
			break;
	}
	assert_int_equal(counters.ejections, 2);
	assert_int_equal(counters.retries, 4); /* three, then one */
	stop(&b);
}

static void
test_only_target_left_is_tried_again(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 2, 2);
	feed(&b, &(struct dc_event){.type = DC_EV_TARGET_DRAINING,
		     .draining = {TARGET + 1, 1}});
	arrive(&b, 1, LETTER, 500 * MS);
	ended(&b, 1, 1, DC_RESULT_NOT_SENT);
	assert_non_null(action(&b, DC_ACT_SEND));
	assert_int_equal(action(&b, DC_ACT_SEND)->send.target, TARGET);
	stop(&b);
}

/* With most targets out, it is the measurement that is wrong. */
static void
test_ejections_are_not_heeded_when_most_are_out(void **state)
{
	struct dc_counters counters;
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 3, 4);
	dc_parameter_set(b.core, "eject_us", 60000000);
	for (call = 1; call <= 30; call++) { /* none can be reached */
		arrive(&b, call, LETTER, 500 * MS);
		ended(&b, call, 1, DC_RESULT_NOT_SENT);
		ended(&b, call, 2, DC_RESULT_NOT_SENT);
		ended(&b, call, 3, DC_RESULT_NOT_SENT);
		assert_refused(
		    &b, DC_REASON_CONNECT_FAILED, DC_OUTCOME_NOT_RUN);
	}
	dc_counters(b.core, &counters);
	assert_true(counters.ejections >= 2);
	arrive(&b, 90, LETTER, 500 * MS); /* they are back */
	serve(&b, 90, 20 * MS);
	assert_non_null(action(&b, DC_ACT_DONE));
	stop(&b);
}

/* One VM may use every slot that it holds. */
static void
test_leases_are_the_only_bound_of_a_target(void **state)
{
	struct dc_counters counters;
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 1, 64);
	for (call = 1; call <= 64; call++)
		arrive(&b, call, LETTER, 500 * MS);
	dc_counters(b.core, &counters);
	assert_int_equal(counters.sent, 64);
	stop(&b);
}

static void
test_slow_idempotent_call_is_hedged_and_the_loser_cancelled(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 2, 2);
	for (call = 1; call <= 40; call++) {
		arrive(&b, call, BROWSE, 500 * MS);
		serve(&b, call, 20 * MS);
	}
	arrive(&b, 90, BROWSE, 5000 * MS);
	sent(&b, 90, 1);
	pass(&b, 200 * MS); /* asks for a slot */
	pass(&b, 5 * MS);
	assert_non_null(action(&b, DC_ACT_SEND));
	sent(&b, 90, 2);
	head(&b, 90, 2, 200);
	assert_non_null(action(&b, DC_ACT_CANCEL));
	assert_int_equal(action(&b, DC_ACT_CANCEL)->cancel.attempt, 1);
	ended(&b, 90, 2, DC_RESULT_COMPLETE);
	stop(&b);
}

/* A call that takes longer than most on an old connection. */
static bool
slow_call_flushes(struct bench *b, uint64_t call)
{
	bool flushed;

	arrive(b, call, BROWSE, 5000 * MS);
	feed(b, &(struct dc_event){
		    .type = DC_EV_ATTEMPT_SENT, .sent = {call, 1, 1}});
	pass(b, 45 * MS);
	flushed = action(b, DC_ACT_RETIRE_CONNECTIONS) != NULL;
	head(b, call, 1, 200);
	ended(b, call, 1, DC_RESULT_COMPLETE);
	return flushed;
}

/* One call in twenty is slow: it must not cost open connections each time. */
static void
test_slow_calls_flush_at_most_ten_times_a_second(void **state)
{
	struct bench b;
	uint64_t call;

	(void)state;
	start(&b, 1, 2);
	for (call = 1; call <= 40; call++) {
		arrive(&b, call, BROWSE, 500 * MS);
		serve(&b, call, 20 * MS);
	}
	assert_true(slow_call_flushes(&b, 90));
	arrive(&b, 91, BROWSE, 500 * MS); /* answered on a new connection */
	serve(&b, 91, 20 * MS);
	assert_false(slow_call_flushes(&b, 92));
	pass(&b, 100 * MS);
	assert_true(slow_call_flushes(&b, 93));
	stop(&b);
}

static void
test_non_idempotent_call_is_never_hedged(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 2, 2);
	arrive(&b, 1, LETTER, 5000 * MS);
	sent(&b, 1, 1);
	pass(&b, 1000 * MS);
	assert_null(action(&b, DC_ACT_SEND));
	stop(&b);
}

static void
test_new_table_keeps_running_calls(void **state)
{
	struct bench b;

	(void)state;
	start(&b, 2, 2);
	arrive(&b, 1, LETTER, 5000 * MS);
	sent(&b, 1, 1);
	load(&b, 2, 1, 2);
	head(&b, 1, 1, 200);
	ended(&b, 1, 1, DC_RESULT_COMPLETE);
	assert_non_null(action(&b, DC_ACT_DONE));
	stop(&b);
}

static void
test_parameters_have_bounds(void **state)
{
	struct dc_parameter_info info;
	struct bench b;
	uint32_t i;

	(void)state;
	start(&b, 1, 1);
	assert_int_equal(
	    dc_parameter_set(b.core, "no_such_name", 1), CS_E_MISSING);
	for (i = 0; dc_parameter_info(i, &info) == CS_OK; i++) {
		assert_int_equal(
		    dc_parameter_set(b.core, info.name, info.min - 1),
		    CS_E_INVALID);
		assert_int_equal(
		    dc_parameter_set(b.core, info.name, info.max + 1),
		    CS_E_INVALID);
		assert_int_equal(
		    dc_parameter_set(b.core, info.name, info.initial), CS_OK);
	}
	stop(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_call_is_sent_relayed_and_done),
	    cmocka_unit_test(
		test_call_waits_for_a_slot_and_never_at_the_target),
	    cmocka_unit_test(
		test_waiting_call_is_refused_not_run_at_its_deadline),
	    cmocka_unit_test(test_sent_call_is_unknown_at_its_deadline),
	    cmocka_unit_test(test_ends_of_a_first_attempt),
	    cmocka_unit_test(test_no_retry_when_retries_are_off),
	    cmocka_unit_test(test_retries_end_with_their_budget),
	    cmocka_unit_test(
		test_request_that_kills_two_targets_is_quarantined),
	    cmocka_unit_test(test_request_that_is_answered_is_no_suspect),
	    cmocka_unit_test(test_suspect_is_not_retried_beside_other_work),
	    cmocka_unit_test(test_idle_time_does_not_count_as_waiting_time),
	    cmocka_unit_test(test_what_cannot_finish_in_time_is_refused_early),
	    cmocka_unit_test(test_heavier_work_displaces_lighter),
	    cmocka_unit_test(test_members_take_turns_by_their_shares),
	    cmocka_unit_test(test_earliest_deadline_first_within_a_member),
	    cmocka_unit_test(test_drained_target_gets_no_new_work),
	    cmocka_unit_test(test_failing_target_is_ejected_unless_most_are),
	    cmocka_unit_test(
		test_target_that_fails_when_it_is_back_is_out_again),
	    cmocka_unit_test(test_only_target_left_is_tried_again),
	    cmocka_unit_test(test_ejections_are_not_heeded_when_most_are_out),
	    cmocka_unit_test(test_leases_are_the_only_bound_of_a_target),
	    cmocka_unit_test(
		test_slow_idempotent_call_is_hedged_and_the_loser_cancelled),
	    cmocka_unit_test(test_slow_calls_flush_at_most_ten_times_a_second),
	    cmocka_unit_test(test_non_idempotent_call_is_never_hedged),
	    cmocka_unit_test(test_new_table_keeps_running_calls),
	    cmocka_unit_test(test_parameters_have_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
