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
#define IDEMPOTENT_ROUTE 20	/* idempotent, weight 1 */
#define NON_IDEMPOTENT_ROUTE 21 /* non-idempotent, weight 5 */
#define TARGET 100

struct fixture {
	struct dc_core *core;
	int64_t now_us;
	struct dc_actions actions;
};

static int
step(struct fixture *f, const struct dc_event *event)
{
	return dc_step(f->core, event, f->now_us, &f->actions);
}

static void
advance_time(struct fixture *f, int64_t us)
{
	f->now_us += us;
	step(f, &(struct dc_event){.type = DC_EV_TIMER});
}

static void
add_route(
    struct fixture *f, uint64_t route, uint64_t weight, uint64_t idempotent)
{
	step(f, &(struct dc_event){.type = DC_EV_TABLE_ROUTE,

		    .table_route = {route, POOL, weight, idempotent, 0}});
}

static void
load_table(
    struct fixture *f, uint64_t version, uint32_t targets, uint32_t slots)
{
	uint32_t i;

	step(f, &(struct dc_event){
		    .type = DC_EV_TABLE_BEGIN, .table_begin = {version}});
	step(f,
	    &(struct dc_event){.type = DC_EV_TABLE_POOL, .table_pool = {POOL}});
	for (i = 0; i < targets; i++)
		step(f, &(struct dc_event){.type = DC_EV_TABLE_TARGET,
			    .table_target = {TARGET + i, 1, slots, 0}});
	step(f, &(struct dc_event){.type = DC_EV_TABLE_SHARE,
		    .table_share = {.member = 7, .weight = 3}});
	add_route(f, IDEMPOTENT_ROUTE, 1, 1);
	add_route(f, NON_IDEMPOTENT_ROUTE, 5, 0);
	step(f, &(struct dc_event){.type = DC_EV_TABLE_END});
}

static void
set_up(struct fixture *f, uint32_t targets, uint32_t slots)
{
	*f = (struct fixture){.core = dc_core_create(1), .now_us = 1000 * MS};
	dc_parameter_set(f->core, "lease_over_commit", 0);
	step(f, &(struct dc_event){.type = DC_EV_SELF, .self = {SELF, 1, 1}});
	load_table(f, 1, targets, slots);
	advance_time(f, 100 * MS); /* a new owner's grace is over */
}

static void
tear_down(struct fixture *f)
{
	assert_null(dc_check(f->core));
	dc_core_free(f->core);
}

static void
add_call_of(struct fixture *f, uint64_t call, uint64_t route, uint64_t member,
    int64_t timeout_us)
{
	assert_int_equal(
	    step(f, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
			.arrived =
			    {
				.call = call,
				.route = route,
				.member = member,
				.fingerprint = call,
				.deadline_us = f->now_us + timeout_us,
			    }}),
	    CS_OK);
}

static void
add_call(struct fixture *f, uint64_t call, uint64_t route, int64_t timeout_us)
{
	add_call_of(f, call, route, 1, timeout_us);
}

static const struct dc_action *
find_action(const struct fixture *f, enum dc_action_type type)
{
	uint32_t i;

	for (i = 0; i < f->actions.count; i++) {
		if (f->actions.items[i].type == type)
			return &f->actions.items[i];
	}
	return NULL;
}

static void
report_sent(struct fixture *f, uint64_t call, uint64_t attempt)
{
	assert_int_equal(step(f, &(struct dc_event){.type = DC_EV_ATTEMPT_SENT,
				     .sent = {call, attempt, 0}}),
	    CS_OK);
}

static void
report_head(struct fixture *f, uint64_t call, uint64_t attempt, uint64_t status)
{
	assert_int_equal(step(f, &(struct dc_event){.type = DC_EV_ATTEMPT_HEAD,
				     .head = {call, attempt, status}}),
	    CS_OK);
}

static void
report_end(
    struct fixture *f, uint64_t call, uint64_t attempt, enum dc_result result)
{
	assert_int_equal(step(f, &(struct dc_event){.type = DC_EV_ATTEMPT_ENDED,
				     .ended = {call, attempt, result}}),
	    CS_OK);
}

/* A first attempt from connect to the end of its answer. */
static void
complete_call(struct fixture *f, uint64_t call, int64_t us)
{
	report_sent(f, call, 1);
	f->now_us += us;
	report_head(f, call, 1, 200);
	report_end(f, call, 1, DC_RESULT_COMPLETE);
}

static void
assert_refused(
    const struct fixture *f, enum dc_reason reason, enum dc_outcome outcome)
{
	const struct dc_action *refuse = find_action(f, DC_ACT_REFUSE);

	assert_non_null(refuse);
	assert_string_equal(
	    dc_reason_text((enum dc_reason)refuse->refuse.reason),
	    dc_reason_text(reason));
	assert_int_equal(refuse->refuse.outcome, outcome);
}

static void
test_call_is_sent_relayed_and_done(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 1, 1);
	add_call(&f, 1, IDEMPOTENT_ROUTE, 500 * MS);
	assert_non_null(find_action(&f, DC_ACT_SEND));
	report_sent(&f, 1, 1);
	report_head(&f, 1, 1, 200);
	assert_non_null(find_action(&f, DC_ACT_RELAY));
	report_end(&f, 1, 1, DC_RESULT_COMPLETE);
	assert_non_null(find_action(&f, DC_ACT_DONE));
	tear_down(&f);
}

static void
test_call_without_a_slot_waits_in_the_queue(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 1, 1);
	add_call(&f, 1, IDEMPOTENT_ROUTE, 500 * MS);
	add_call(&f, 2, IDEMPOTENT_ROUTE, 500 * MS);
	assert_null(find_action(&f, DC_ACT_SEND));
	complete_call(&f, 1, 20 * MS);
	assert_non_null(find_action(&f, DC_ACT_SEND));
	assert_int_equal(find_action(&f, DC_ACT_SEND)->send.call, 2);
	tear_down(&f);
}

static void
test_queued_call_is_refused_as_not_run_at_its_deadline(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 1, 1);
	add_call(&f, 1, NON_IDEMPOTENT_ROUTE, 5000 * MS);
	report_sent(&f, 1, 1);
	add_call(&f, 2, NON_IDEMPOTENT_ROUTE, 50 * MS);
	advance_time(&f, 60 * MS);
	assert_refused(&f, DC_REASON_DEADLINE, DC_OUTCOME_NOT_RUN);
	tear_down(&f);
}

static void
test_sent_call_has_unknown_outcome_at_its_deadline(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 1, 1);
	add_call(&f, 1, NON_IDEMPOTENT_ROUTE, 50 * MS);
	report_sent(&f, 1, 1);
	advance_time(&f, 60 * MS);
	assert_non_null(find_action(&f, DC_ACT_CANCEL));
	assert_refused(&f, DC_REASON_DEADLINE, DC_OUTCOME_UNKNOWN);
	tear_down(&f);
}

/* What each end of a first attempt leads to. */
struct attempt_end_case {
	uint64_t route;
	bool was_sent;
	enum dc_result result;
	bool retried;
	enum dc_reason reason;
	enum dc_outcome outcome;
};

static const struct attempt_end_case attempt_end_cases[] = {
    {IDEMPOTENT_ROUTE, false, DC_RESULT_NOT_SENT, true, 0, 0},
    {NON_IDEMPOTENT_ROUTE, false, DC_RESULT_NOT_SENT, true, 0, 0},
    {IDEMPOTENT_ROUTE, true, DC_RESULT_CONNECTION_LOST, true, 0, 0},
    {NON_IDEMPOTENT_ROUTE, true, DC_RESULT_CONNECTION_LOST, false,
	DC_REASON_TARGET_BROKE, DC_OUTCOME_UNKNOWN},
    {IDEMPOTENT_ROUTE, true, DC_RESULT_NO_LENGTH, false,
	DC_REASON_ANSWER_UNFRAMED, DC_OUTCOME_UNKNOWN},
    {NON_IDEMPOTENT_ROUTE, true, DC_RESULT_NO_LENGTH, false,
	DC_REASON_ANSWER_UNFRAMED, DC_OUTCOME_UNKNOWN},
};

static void
test_result_of_first_attempt_decides_on_retry(void **state)
{
	size_t i;

	(void)state;
	for (i = 0;
	     i < sizeof(attempt_end_cases) / sizeof(attempt_end_cases[0]);
	     i++) {
		const struct attempt_end_case *c = &attempt_end_cases[i];
		struct fixture f;
		uint64_t call;

		set_up(&f, 2, 2);
		for (call = 1; call <= 12; call++) { /* earns a retry */
			add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
			complete_call(&f, call, 20 * MS);
		}
		add_call(&f, 50, c->route, 500 * MS);
		if (c->was_sent)
			report_sent(&f, 50, 1);
		report_end(&f, 50, 1, c->result);
		if (c->retried)
			assert_non_null(find_action(&f, DC_ACT_SEND));
		else
			assert_refused(&f, c->reason, c->outcome);
		tear_down(&f);
	}
}

static void
test_no_retry_with_a_retry_budget_of_zero(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 2, 2);
	dc_parameter_set(f.core, "retry_budget_milli", 0);
	add_call(&f, 1, IDEMPOTENT_ROUTE, 500 * MS);
	report_sent(&f, 1, 1);
	report_end(&f, 1, 1, DC_RESULT_CONNECTION_LOST);
	assert_refused(&f, DC_REASON_TARGET_BROKE, DC_OUTCOME_UNKNOWN);
	tear_down(&f);
}

/* Ten retries to begin with, and one for every ten calls. */
static void
test_retries_are_limited_by_the_budget(void **state)
{
	struct fixture f;
	uint64_t call, retries = 0;

	(void)state;
	set_up(&f, 2, 2);
	dc_parameter_set(f.core, "eject_failures", 1000);
	for (call = 1; call <= 40; call++) {
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
		report_sent(&f, call, 1);
		report_head(&f, call, 1, 503);
		if (find_action(&f, DC_ACT_SEND) == NULL) {
			report_end(&f, call, 1, DC_RESULT_COMPLETE);
			continue;
		}
		retries++;
		report_sent(&f, call, 2);
		report_head(&f, call, 2, 200);
		report_end(&f, call, 2, DC_RESULT_COMPLETE);
	}
	assert_int_equal(retries, 10 + 39 / 10); /* the first earns none */
	tear_down(&f);
}

static void
test_request_that_kills_two_targets_is_quarantined(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 3, 2);
	for (call = 1; call <= 30; call++) {
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
		complete_call(&f, call, 20 * MS);
	}
	add_call(&f, 99, IDEMPOTENT_ROUTE, 500 * MS);
	report_sent(&f, 99, 1);
	report_end(&f, 99, 1, DC_RESULT_CONNECTION_LOST);
	assert_non_null(find_action(&f, DC_ACT_SEND)); /* alone, once */
	report_sent(&f, 99, 2);
	report_end(&f, 99, 2, DC_RESULT_CONNECTION_LOST);
	assert_refused(&f, DC_REASON_QUARANTINED, DC_OUTCOME_UNKNOWN);
	step(&f, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		     .arrived = {.call = 100,
			 .route = IDEMPOTENT_ROUTE,
			 .fingerprint = 99,
			 .deadline_us = f.now_us + 500 * MS}});
	assert_refused(&f, DC_REASON_QUARANTINED, DC_OUTCOME_NOT_RUN);
	advance_time(&f, 1200LL * 1000 * MS);
	step(&f, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		     .arrived = {.call = 101,
			 .route = IDEMPOTENT_ROUTE,
			 .fingerprint = 99,
			 .deadline_us = f.now_us + 500 * MS}});
	assert_non_null(find_action(&f, DC_ACT_SEND)); /* it has lapsed */
	tear_down(&f);
}

/* A request that many make was in flight at two deaths, but it is answered. */
static void
test_completed_request_is_not_quarantined(void **state)
{
	struct fixture f;
	uint64_t call;
	int round;

	(void)state;
	set_up(&f, 3, 4);
	for (round = 0; round < 4; round++) {
		step(&f, &(struct dc_event){.type = DC_EV_MESSAGE,
			     .message = {.peer = 9,
				 .message = {.type = DC_MSG_SUSPECT,
				     .suspect = {77, TARGET + 1, 1}}}});
		step(&f, &(struct dc_event){.type = DC_EV_PEER,
			     .peer = {9, 1, 2, DC_PEER_ALIVE}});
		call = 200 + (uint64_t)round;
		step(&f, &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
			     .arrived = {.call = call,
				 .route = IDEMPOTENT_ROUTE,
				 .fingerprint = 77,
				 .deadline_us = f.now_us + 500 * MS}});
		assert_null(find_action(&f, DC_ACT_REFUSE));
		complete_call(&f, call, 20 * MS);
		advance_time(&f, 2000 * MS);
	}
	tear_down(&f);
}

static void
test_suspect_request_is_not_retried_on_a_busy_target(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 1, 2);
	for (call = 1; call <= 12; call++) {
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
		complete_call(&f, call, 20 * MS);
	}
	add_call(&f, 50, IDEMPOTENT_ROUTE, 500 * MS);
	report_sent(&f, 50, 1);
	add_call(&f, 51, IDEMPOTENT_ROUTE, 500 * MS);
	report_sent(&f, 51, 1);
	report_end(&f, 50, 1, DC_RESULT_CONNECTION_LOST);
	assert_null(find_action(&f, DC_ACT_SEND));
	assert_refused(&f, DC_REASON_TARGET_BROKE, DC_OUTCOME_UNKNOWN);
	tear_down(&f);
}

/* An entry VM that rendezvous hashing makes the owner in place of SELF. */
static uint64_t
find_owning_peer(void)
{
	uint64_t peer = SELF + 1, group = cs_hash_pair(POOL, 1);

	while (cs_hash_pair(group, peer) < cs_hash_pair(group, SELF))
		peer++;
	return peer;
}

/* A gap before a burst says nothing of how fast a queue moves. */
static void
test_idle_time_is_not_counted_as_queue_wait(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 1, 1);
	f.now_us += 20000 * MS;
	step(&f, /* another VM owns the slots, and is slow to answer */
	    &(struct dc_event){.type = DC_EV_PEER,
		.peer = {find_owning_peer(), 1, 1, DC_PEER_ALIVE}});
	for (call = 2; call <= 5; call++)
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
	advance_time(&f, 30 * MS); /* the first goes without a lease */
	assert_non_null(find_action(&f, DC_ACT_SEND));
	add_call(&f, 6, IDEMPOTENT_ROUTE, 500 * MS);
	assert_null(find_action(&f, DC_ACT_REFUSE));
	tear_down(&f);
}

static void
test_call_that_would_miss_its_deadline_is_refused_early(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 1, 1);
	for (call = 1; call <= 30; call++)
		add_call(&f, call, IDEMPOTENT_ROUTE, 5000 * MS);
	for (call = 1; call <= 10; call++)
		complete_call(&f, call, 20 * MS);
	add_call(&f, 40, IDEMPOTENT_ROUTE,
	    100 * MS); /* 20 wait before it, 20 ms each */
	assert_refused(&f, DC_REASON_WOULD_BE_LATE, DC_OUTCOME_NOT_RUN);
	tear_down(&f);
}

static void
test_call_of_higher_weight_displaces_one_of_lower(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 1, 1);
	dc_parameter_set(f.core, "queue_max", 3);
	for (call = 1; call <= 4; call++)
		add_call(&f, call, IDEMPOTENT_ROUTE, 5000 * MS);
	add_call(&f, 5, IDEMPOTENT_ROUTE, 5000 * MS);
	assert_refused(&f, DC_REASON_QUEUE_FULL, DC_OUTCOME_NOT_RUN);
	add_call(&f, 6, NON_IDEMPOTENT_ROUTE, 5000 * MS);
	assert_refused(&f, DC_REASON_DISPLACED, DC_OUTCOME_NOT_RUN);
	assert_int_not_equal(find_action(&f, DC_ACT_REFUSE)->refuse.call, 6);
	tear_down(&f);
}

/* Member 7 has a share of 3 to the other's 1. */
static void
test_members_are_served_by_weighted_shares(void **state)
{
	struct fixture f;
	uint64_t call, heavy_member_calls = 0, last = 1;

	(void)state;
	set_up(&f, 1, 1);
	add_call(&f, 1, IDEMPOTENT_ROUTE, 5000 * MS);
	for (call = 100; call < 140; call++) /* a burst of one member */
		add_call_of(&f, call, IDEMPOTENT_ROUTE, 1, 5000 * MS);
	for (call = 200; call < 240; call++)
		add_call_of(&f, call, IDEMPOTENT_ROUTE, 7, 5000 * MS);
	for (call = 0; call < 20; call++) {
		complete_call(&f, last, 1 * MS);
		last = find_action(&f, DC_ACT_SEND)->send.call;
		heavy_member_calls += last >= 200;
	}
	assert_in_range(heavy_member_calls, 14, 16);
	tear_down(&f);
}

static void
test_earliest_deadline_first_within_a_member(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 1, 1);
	add_call(&f, 1, IDEMPOTENT_ROUTE, 900 * MS);
	add_call(&f, 2, IDEMPOTENT_ROUTE, 800 * MS);
	add_call(&f, 3, IDEMPOTENT_ROUTE, 300 * MS);
	complete_call(&f, 1, 20 * MS);
	assert_int_equal(find_action(&f, DC_ACT_SEND)->send.call, 3);
	tear_down(&f);
}

static void
test_draining_target_gets_no_new_calls(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 2, 4);
	step(&f, &(struct dc_event){
		     .type = DC_EV_TARGET_DRAINING, .draining = {TARGET, 1}});
	assert_non_null(
	    find_action(&f, DC_ACT_MESSAGE)); /* the others are told */
	for (call = 1; call <= 4; call++) {
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
		assert_int_equal(
		    find_action(&f, DC_ACT_SEND)->send.target, TARGET + 1);
	}
	step(&f, &(struct dc_event){.type = DC_EV_TARGET_DRAINING,
		     .draining = {TARGET + 1, 1}});
	add_call(&f, 9, IDEMPOTENT_ROUTE, 500 * MS);
	assert_refused(&f, DC_REASON_NO_TARGET, DC_OUTCOME_NOT_RUN);
	tear_down(&f);
}

static void
test_target_is_ejected_after_three_failures(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 3, 1);
	for (call = 1; call <= 40; call++) {
		const struct dc_action *send;

		add_call(&f, call, NON_IDEMPOTENT_ROUTE, 500 * MS);
		send = find_action(&f, DC_ACT_SEND);
		if (send->send.target == TARGET) {
			report_end(&f, call, 1, DC_RESULT_NOT_SENT);
			assert_int_not_equal(
			    find_action(&f, DC_ACT_SEND)->send.target, TARGET);
			report_sent(&f, call, 2);
			report_head(&f, call, 2, 200);
			report_end(&f, call, 2, DC_RESULT_COMPLETE);
		} else {
			complete_call(&f, call, 0);
		}
	}
	/* Ejected after three failures: the last calls never tried it. */
	struct dc_counters counters;

	dc_counters(f.core, &counters);
	assert_int_equal(counters.ejections, 1);
	assert_int_equal(counters.retries, 3);
	tear_down(&f);
}

/* After its time out, one more failure is enough. */
static void
test_readmitted_target_is_ejected_after_one_failure(void **state)
{
	struct dc_counters counters;
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 4, 1);
	for (call = 1; call <= 60; call++) {
		add_call(&f, call, NON_IDEMPOTENT_ROUTE, 500 * MS);
		if (find_action(&f, DC_ACT_SEND)->send.target == TARGET) {
			report_end(&f, call, 1, DC_RESULT_NOT_SENT);
			report_sent(&f, call, 2);
			report_head(&f, call, 2, 200);
			report_end(&f, call, 2, DC_RESULT_COMPLETE);
		} else {
			complete_call(&f, call, 0);
		}
		advance_time(&f, 300 * MS);
		dc_counters(f.core, &counters);
		if (counters.ejections == 2)
			break;
	}
	assert_int_equal(counters.ejections, 2);
	assert_int_equal(counters.retries, 4); /* three, then one */
	tear_down(&f);
}

static void
test_only_available_target_is_retried(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 2, 2);
	step(&f, &(struct dc_event){.type = DC_EV_TARGET_DRAINING,
		     .draining = {TARGET + 1, 1}});
	add_call(&f, 1, NON_IDEMPOTENT_ROUTE, 500 * MS);
	report_end(&f, 1, 1, DC_RESULT_NOT_SENT);
	assert_non_null(find_action(&f, DC_ACT_SEND));
	assert_int_equal(find_action(&f, DC_ACT_SEND)->send.target, TARGET);
	tear_down(&f);
}

/* With most targets out, it is the measurement that is wrong. */
static void
test_ejections_are_ignored_when_most_targets_are_ejected(void **state)
{
	struct dc_counters counters;
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 3, 4);
	dc_parameter_set(f.core, "eject_us", 60000000);
	for (call = 1; call <= 30; call++) { /* none can be reached */
		add_call(&f, call, NON_IDEMPOTENT_ROUTE, 500 * MS);
		report_end(&f, call, 1, DC_RESULT_NOT_SENT);
		report_end(&f, call, 2, DC_RESULT_NOT_SENT);
		report_end(&f, call, 3, DC_RESULT_NOT_SENT);
		assert_refused(
		    &f, DC_REASON_CONNECT_FAILED, DC_OUTCOME_NOT_RUN);
	}
	dc_counters(f.core, &counters);
	assert_true(counters.ejections >= 2);
	add_call(&f, 90, NON_IDEMPOTENT_ROUTE, 500 * MS); /* they are back */
	complete_call(&f, 90, 20 * MS);
	assert_non_null(find_action(&f, DC_ACT_DONE));
	tear_down(&f);
}

/* One VM may use every slot that it holds. */
static void
test_one_vm_may_use_all_slots_that_it_holds(void **state)
{
	struct dc_counters counters;
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 1, 64);
	for (call = 1; call <= 64; call++)
		add_call(&f, call, NON_IDEMPOTENT_ROUTE, 500 * MS);
	dc_counters(f.core, &counters);
	assert_int_equal(counters.sent, 64);
	tear_down(&f);
}

static void
test_slow_idempotent_call_is_hedged_and_slower_attempt_cancelled(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 2, 2);
	for (call = 1; call <= 40; call++) {
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
		complete_call(&f, call, 20 * MS);
	}
	add_call(&f, 90, IDEMPOTENT_ROUTE, 5000 * MS);
	report_sent(&f, 90, 1);
	advance_time(&f, 200 * MS); /* asks for a slot */
	advance_time(&f, 5 * MS);
	assert_non_null(find_action(&f, DC_ACT_SEND));
	report_sent(&f, 90, 2);
	report_head(&f, 90, 2, 200);
	assert_non_null(find_action(&f, DC_ACT_CANCEL));
	assert_int_equal(find_action(&f, DC_ACT_CANCEL)->cancel.attempt, 1);
	report_end(&f, 90, 2, DC_RESULT_COMPLETE);
	tear_down(&f);
}

/*
 * Replays journal/findings/20261204-shed-after-stale.trace: the hedge is shed
 * while the first attempt hangs on a stale connection. Returns the target of
 * the third attempt and sets *shedding to that of the hedge.
 */
static uint64_t
resend_after_shed_hedge(
    struct fixture *f, uint64_t warm_up_calls, uint64_t *shedding)
{
	const struct dc_action *send;
	uint64_t call, other, stale;

	for (call = 1; call <= warm_up_calls; call++) {
		add_call(f, call, IDEMPOTENT_ROUTE, 500 * MS);
		complete_call(f, call, 20 * MS);
	}
	add_call(f, 90, IDEMPOTENT_ROUTE, 5000 * MS);
	stale = find_action(f, DC_ACT_SEND)->send.target;
	step(f,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_SENT, .sent = {90, 1, 1}});
	advance_time(f, 200 * MS); /* asks for a slot */
	advance_time(f, 5 * MS);
	*shedding = find_action(f, DC_ACT_SEND)->send.target;
	report_sent(f, 90, 2);
	report_head(f, 90, 2, 503);
	/* Holds the other slots until a call is sent to the stale target. */
	for (call = 91; call < 96; call++) {
		add_call(f, call, IDEMPOTENT_ROUTE, 500 * MS);
		if (find_action(f, DC_ACT_SEND)->send.target == stale)
			break;
		report_sent(f, call, 1);
	}
	for (other = 91; other < call; other++) {
		report_head(f, other, 1, 200);
		report_end(f, other, 1, DC_RESULT_COMPLETE);
	}
	report_sent(f, call, 1);
	report_head(f, call, 1, 200);
	advance_time(f, 1 * MS);
	send = find_action(f, DC_ACT_SEND);
	assert_non_null(send);
	assert_int_equal(send->send.call, 90);
	return send->send.target;
}

static void
test_stale_attempt_does_not_lift_the_avoidance_of_a_shedding_target(
    void **state)
{
	uint64_t warm_up_calls, shedding;

	(void)state;
	for (warm_up_calls = 40; warm_up_calls < 56; warm_up_calls++) {
		struct fixture f;

		set_up(&f, 3, 2);
		assert_int_not_equal(
		    resend_after_shed_hedge(&f, warm_up_calls, &shedding),
		    shedding);
		report_sent(&f, 90, 3);
		report_head(&f, 90, 3, 200);
		report_end(&f, 90, 3, DC_RESULT_COMPLETE);
		tear_down(&f);
	}
}

/* A call that takes longer than most on an old connection. */
static bool
slow_call_retires_connections(struct fixture *f, uint64_t call)
{
	bool retired;

	add_call(f, call, IDEMPOTENT_ROUTE, 5000 * MS);
	step(f, &(struct dc_event){
		    .type = DC_EV_ATTEMPT_SENT, .sent = {call, 1, 1}});
	advance_time(f, 45 * MS);
	retired = find_action(f, DC_ACT_RETIRE_CONNECTIONS) != NULL;
	report_head(f, call, 1, 200);
	report_end(f, call, 1, DC_RESULT_COMPLETE);
	return retired;
}

/* One call in twenty is slow: it must not cost open connections each time. */
static void
test_slow_calls_retire_connections_at_most_once_per_100_ms(void **state)
{
	struct fixture f;
	uint64_t call;

	(void)state;
	set_up(&f, 1, 2);
	for (call = 1; call <= 40; call++) {
		add_call(&f, call, IDEMPOTENT_ROUTE, 500 * MS);
		complete_call(&f, call, 20 * MS);
	}
	assert_true(slow_call_retires_connections(&f, 90));
	add_call(&f, 91, IDEMPOTENT_ROUTE,
	    500 * MS); /* answered on a new connection */
	complete_call(&f, 91, 20 * MS);
	assert_false(slow_call_retires_connections(&f, 92));
	advance_time(&f, 100 * MS);
	assert_true(slow_call_retires_connections(&f, 93));
	tear_down(&f);
}

static void
test_non_idempotent_call_is_never_hedged(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 2, 2);
	add_call(&f, 1, NON_IDEMPOTENT_ROUTE, 5000 * MS);
	report_sent(&f, 1, 1);
	advance_time(&f, 1000 * MS);
	assert_null(find_action(&f, DC_ACT_SEND));
	tear_down(&f);
}

static void
test_calls_in_flight_survive_a_new_table(void **state)
{
	struct fixture f;

	(void)state;
	set_up(&f, 2, 2);
	add_call(&f, 1, NON_IDEMPOTENT_ROUTE, 5000 * MS);
	report_sent(&f, 1, 1);
	load_table(&f, 2, 1, 2);
	report_head(&f, 1, 1, 200);
	report_end(&f, 1, 1, DC_RESULT_COMPLETE);
	assert_non_null(find_action(&f, DC_ACT_DONE));
	tear_down(&f);
}

static void
test_parameters_out_of_bounds_are_refused(void **state)
{
	struct dc_parameter_info info;
	struct fixture f;
	uint32_t i;

	(void)state;
	set_up(&f, 1, 1);
	assert_int_equal(
	    dc_parameter_set(f.core, "no_such_name", 1), CS_E_MISSING);
	for (i = 0; dc_parameter_info(i, &info) == CS_OK; i++) {
		assert_int_equal(
		    dc_parameter_set(f.core, info.name, info.min - 1),
		    CS_E_INVALID);
		assert_int_equal(
		    dc_parameter_set(f.core, info.name, info.max + 1),
		    CS_E_INVALID);
		assert_int_equal(
		    dc_parameter_set(f.core, info.name, info.initial), CS_OK);
	}
	tear_down(&f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_call_is_sent_relayed_and_done),
	    cmocka_unit_test(test_call_without_a_slot_waits_in_the_queue),
	    cmocka_unit_test(
		test_queued_call_is_refused_as_not_run_at_its_deadline),
	    cmocka_unit_test(
		test_sent_call_has_unknown_outcome_at_its_deadline),
	    cmocka_unit_test(test_result_of_first_attempt_decides_on_retry),
	    cmocka_unit_test(test_no_retry_with_a_retry_budget_of_zero),
	    cmocka_unit_test(test_retries_are_limited_by_the_budget),
	    cmocka_unit_test(
		test_request_that_kills_two_targets_is_quarantined),
	    cmocka_unit_test(test_completed_request_is_not_quarantined),
	    cmocka_unit_test(
		test_suspect_request_is_not_retried_on_a_busy_target),
	    cmocka_unit_test(test_idle_time_is_not_counted_as_queue_wait),
	    cmocka_unit_test(
		test_call_that_would_miss_its_deadline_is_refused_early),
	    cmocka_unit_test(test_call_of_higher_weight_displaces_one_of_lower),
	    cmocka_unit_test(test_members_are_served_by_weighted_shares),
	    cmocka_unit_test(test_earliest_deadline_first_within_a_member),
	    cmocka_unit_test(test_draining_target_gets_no_new_calls),
	    cmocka_unit_test(test_target_is_ejected_after_three_failures),
	    cmocka_unit_test(
		test_readmitted_target_is_ejected_after_one_failure),
	    cmocka_unit_test(test_only_available_target_is_retried),
	    cmocka_unit_test(
		test_ejections_are_ignored_when_most_targets_are_ejected),
	    cmocka_unit_test(test_one_vm_may_use_all_slots_that_it_holds),
	    cmocka_unit_test(
		test_slow_idempotent_call_is_hedged_and_slower_attempt_cancelled),
	    cmocka_unit_test(
		test_stale_attempt_does_not_lift_the_avoidance_of_a_shedding_target),
	    cmocka_unit_test(
		test_slow_calls_retire_connections_at_most_once_per_100_ms),
	    cmocka_unit_test(test_non_idempotent_call_is_never_hedged),
	    cmocka_unit_test(test_calls_in_flight_survive_a_new_table),
	    cmocka_unit_test(test_parameters_out_of_bounds_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
