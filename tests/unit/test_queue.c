/*
 * Tests of the order of waiting calls and of what is derived from the calls and
 * load reports of one VM.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/queue.h"

#define MS INT64_C(1000)
#define START_US (1000000 * MS)

struct fixture {
	struct bl_queue queue;
	struct bl_pool *pool;
	struct bl_topology topology;
	struct bl_target *target;
	int64_t now_us;
};

static void
set_up(struct fixture *fixture)
{
	*fixture = (struct fixture){.now_us = START_US};
	bl_queue_init(&fixture->queue, true);
	fixture->pool = bl_pool_create("p");
	fixture->topology.count = 1;
	fixture->topology.data_centres[0].same_region = true;
	fixture->target = bl_target_create("t");
	fixture->target->slots = 2;
	bl_pool_add(fixture->pool, fixture->target);
}

static void
report(struct fixture *fixture, uint32_t running, uint32_t count)
{
	struct bl_load load = {
	    .running = running, .slots = 2, .slowness_pct = 100};

	while (count-- > 0)
		bl_queue_heard(&fixture->queue, &load, fixture->now_us);
	bl_load_reported(fixture->target, &load, fixture->now_us);
}

static struct bl_queue_entry
entry_of(const struct fixture *fixture, uint32_t priority, int64_t left_ms)
{
	return (struct bl_queue_entry){
	    .kind = priority + 1,
	    .priority = priority,
	    .received_us = fixture->now_us,
	    .objective_us = fixture->now_us + left_ms * MS,
	    .deadline_us = fixture->now_us + 1500 * MS,
	};
}

static void
place(struct fixture *fixture, const struct bl_queue_entry *entry,
    uint64_t tie_breaker, struct bl_placement *out)
{
	struct bl_request request = {
	    .now_us = fixture->now_us,
	    .objective_us = entry->objective_us,
	    .deadline_us = entry->deadline_us,
	    .may_wait = true,
	    .tie_breaker = tie_breaker,
	};

	bl_queue_fill_request(
	    &fixture->queue, entry, fixture->pool, 1.0, &request);
	bl_place(&fixture->topology, fixture->pool, &request, out);
}

struct order_case {
	const char *name;
	uint32_t priority[2];
	int64_t left_ms[2];
	uint32_t full_reports;
	uint32_t first;
};

static const struct order_case order_cases[] = {
    {"priority", {1, 0}, {400, 400}, 0, 1},
    {"one that is late goes last", {1, 0}, {400, 10}, 0, 0},
    {"least time left", {0, 0}, {400, 300}, 0, 1},
    {"most time left while most targets are full", {0, 0}, {400, 300}, 30, 0},
};

/* Guards against late calls that take the place of those in time. */
static void
test_order(void **state)
{
	struct bl_queue_entry entries[2], *first;
	struct bl_queue_scan scan;
	struct fixture fixture;
	size_t i, k;

	(void)state;
	for (i = 0; i < sizeof(order_cases) / sizeof(order_cases[0]); i++) {
		const struct order_case *row = &order_cases[i];

		set_up(&fixture);
		report(&fixture, 2, row->full_reports);
		for (k = 0; k < 2; k++) {
			entries[k] = entry_of(
			    &fixture, row->priority[k], row->left_ms[k]);
			bl_queue_add(&fixture.queue, &entries[k]);
		}
		bl_queue_begin(&fixture.queue, &scan);
		first = bl_queue_next(
		    &fixture.queue, fixture.pool, &scan, fixture.now_us);
		if (first != &entries[row->first])
			fail_msg("%s", row->name);
		bl_pool_free(fixture.pool);
	}
}

/*
 * Guards against a call that waits for its few allowed data centres and blocks
 * those that may use others, and against late calls that are never refused.
 */
static void
test_blocked_calls(void **state)
{
	struct bl_queue_entry narrow, same, wide, late;
	struct bl_queue_scan scan;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	narrow = same = entry_of(&fixture, 0, 300);
	narrow.excluded_data_centres = same.excluded_data_centres = 6;
	same.objective_us += 1;
	wide = entry_of(&fixture, 1, 300);
	wide.excluded_data_centres = 2;
	late = entry_of(&fixture, 0, 1);
	late.excluded_data_centres = 6;
	bl_queue_add(&fixture.queue, &late);
	bl_queue_add(&fixture.queue, &narrow);
	bl_queue_add(&fixture.queue, &same);
	bl_queue_add(&fixture.queue, &wide);
	bl_queue_begin(&fixture.queue, &scan);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &narrow);
	bl_queue_block(&fixture.queue, &scan, &narrow);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &wide);
	bl_queue_block(&fixture.queue, &scan, &wide);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &late);
	bl_queue_block(&fixture.queue, &scan, &late);
	assert_null(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us));
	bl_queue_remove(&fixture.queue, &wide);
	bl_queue_remove(&fixture.queue, &late);
	assert_int_equal(fixture.queue.count, 2);
	assert_ptr_equal(fixture.queue.last, &same);
	bl_pool_free(fixture.pool);
}

/* Guards against changed decisions while no target is full. */
static void
test_calm_changes_nothing(void **state)
{
	struct bl_queue_entry entry;
	struct bl_placement out;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	report(&fixture, 1, 30);
	entry = entry_of(&fixture, 3, 1000);
	place(&fixture, &entry, 1, &out);
	assert_int_equal(out.verdict, BL_SEND);
	bl_pool_free(fixture.pool);
}

/* Guards against low priorities that take the last slots of a full pool. */
static void
test_low_priority_leaves_the_last_slot(void **state)
{
	struct bl_queue_entry high, low;
	struct bl_placement out;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	report(&fixture, 2, 30);
	report(&fixture, 1, 1);
	high = entry_of(&fixture, 0, 1000);
	low = entry_of(&fixture, 3, 1000);
	place(&fixture, &high, 1, &out);
	assert_int_equal(out.verdict, BL_SEND);
	place(&fixture, &low, 1, &out);
	assert_int_equal(out.verdict, BL_WAIT);
	bl_pool_free(fixture.pool);
}

/* Guards against a service that uses one low priority and is held back. */
static void
test_worth_is_relative_to_the_highest_priority_in_use(void **state)
{
	struct bl_queue_entry low;
	struct bl_placement out;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	report(&fixture, 2, 30);
	report(&fixture, 1, 1);
	low = entry_of(&fixture, 3, 1000);
	bl_queue_arrived(&fixture.queue, &low, fixture.now_us);
	place(&fixture, &low, 1, &out);
	assert_int_equal(out.verdict, BL_SEND);
	bl_pool_free(fixture.pool);
}

/*
 * Guards against calls that are held although they cannot be in time, and
 * against refused callers that all return at once, or too early.
 */
static void
test_late_call_is_refused_with_a_spread_estimate(void **state)
{
	int64_t min_us = INT64_MAX, max_us = 0;
	struct bl_queue_entry entry;
	struct bl_placement out;
	struct fixture fixture;
	uint64_t i;

	(void)state;
	set_up(&fixture);
	report(&fixture, 2, 30);
	fixture.now_us += 1000 * MS;
	report(&fixture, 2, 30);
	entry = entry_of(&fixture, 0, 10);
	for (i = 0; i < 1000; i++) {
		place(&fixture, &entry, i, &out);
		assert_int_equal(out.verdict, BL_REFUSE);
		if (out.retry_after_us < min_us)
			min_us = out.retry_after_us;
		if (out.retry_after_us > max_us)
			max_us = out.retry_after_us;
	}
	/* Half of the second that the overload has lasted, and up to half. */
	assert_in_range(min_us, 490 * MS, 510 * MS);
	assert_in_range(max_us, 700 * MS, 760 * MS);
	bl_pool_free(fixture.pool);
}

/* Guards against repeated calls that are taken for new ones. */
static void
test_time_spent_elsewhere_counts(void **state)
{
	struct bl_queue_entry entry;
	struct fixture fixture;
	uint32_t i;

	(void)state;
	set_up(&fixture);
	for (i = 0; i < 60; i++) {
		entry = entry_of(&fixture, 0, 250);
		bl_queue_arrived(&fixture.queue, &entry, fixture.now_us);
		assert_int_equal(entry.objective_us, fixture.now_us + 250 * MS);
		fixture.now_us += 100 * MS;
	}
	entry = entry_of(&fixture, 0, 250);
	entry.deadline_us -= 120 * MS;
	bl_queue_arrived(&fixture.queue, &entry, fixture.now_us);
	assert_int_equal(entry.objective_us, fixture.now_us + 130 * MS);
	bl_pool_free(fixture.pool);
}

/* Guards against tenants that crowd out others, and against false blame. */
static void
test_surplus_of_a_tenant(void **state)
{
	uint32_t rises[] = {1, 8}, surplus[2], i, k, n;
	struct bl_queue_entry entry;
	struct fixture fixture;

	(void)state;
	for (i = 0; i < 2; i++) {
		set_up(&fixture);
		surplus[i] = 0;
		for (k = 0; k < 40; k++) {
			/* Tenant 1, of four alike, sends more from 30 s on. */
			for (n = 0; n < 4 + (k < 30 ? 0 : rises[i] - 1); n++) {
				entry = entry_of(&fixture, 0, 250);
				entry.tenant = n < 4 ? n + 1 : 1;
				bl_queue_arrived(
				    &fixture.queue, &entry, fixture.now_us);
				surplus[i] += entry.surplus;
				assert_true(
				    !entry.surplus || entry.tenant == 1);
			}
			fixture.now_us += 1000 * MS;
		}
		bl_pool_free(fixture.pool);
	}
	assert_int_equal(surplus[0], 0);
	assert_true(surplus[1] >= 40);
}

/*
 * Guards against blame of a tenant whose calls have waited for its quota: they
 * are counted after calls that arrived later.
 */
static void
test_calls_counted_late_are_no_surplus(void **state)
{
	struct bl_queue_entry entry;
	struct fixture fixture;
	uint32_t i;

	(void)state;
	set_up(&fixture);
	for (i = 0; i < 1200; i++) {
		entry = entry_of(&fixture, 0, 250);
		entry.tenant = 1;
		bl_queue_arrived(&fixture.queue, &entry,
		    fixture.now_us - (i % 2 == 0 ? 0 : 100 * MS));
		assert_false(entry.surplus);
		fixture.now_us += 25 * MS;
	}
	bl_pool_free(fixture.pool);
}

/* Guards against reports without a number of slots that count as full. */
static void
test_report_without_slots_is_no_congestion(void **state)
{
	struct bl_load load = {.slots = 0, .slowness_pct = 100};
	struct fixture fixture;
	uint32_t i;

	(void)state;
	set_up(&fixture);
	for (i = 0; i < 30; i++)
		bl_queue_heard(&fixture.queue, &load, fixture.now_us);
	assert_true(bl_queue_congestion(&fixture.queue, fixture.now_us) == 0.0);
	bl_pool_free(fixture.pool);
}

/*
 * Guards against service times that grow without end, and calls that are all
 * late by them, where targets do not report their slowness.
 */
static void
test_unknown_slowness_changes_no_estimate(void **state)
{
	struct bl_load load = {.slots = 2, .slowness_pct = 0};
	struct fixture fixture;
	uint32_t i;

	(void)state;
	set_up(&fixture);
	for (i = 0; i < 500; i++) {
		fixture.now_us += 50 * MS;
		bl_request_started(fixture.target, fixture.now_us);
		bl_load_reported(fixture.target, &load, fixture.now_us);
		bl_request_ended(
		    fixture.target, BL_SERVED, 50 * MS, fixture.now_us);
	}
	assert_in_range(
	    (int64_t)fixture.pool->service_time_us, 30 * MS, 70 * MS);
	bl_pool_free(fixture.pool);
}

/*
 * Guards against calls of little work that leave all slots to others, and then
 * keep these waiting behind them.
 */
static void
test_call_that_leaves_slots_blocks_no_other(void **state)
{
	struct bl_queue_entry high, low;
	struct bl_queue_scan scan;
	struct bl_placement out;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	high = entry_of(&fixture, 0, 1000);
	low = entry_of(&fixture, 2, 1000);
	bl_queue_arrived(&fixture.queue, &high, fixture.now_us);
	bl_queue_arrived(&fixture.queue, &low, fixture.now_us);
	bl_queue_ended(&fixture.queue, &low, true, 15 * MS, fixture.now_us);
	report(&fixture, 2, 30);
	report(&fixture, 1, 1);
	bl_queue_add(&fixture.queue, &low);
	assert_false(bl_queue_must_wait(
	    &fixture.queue, &high, fixture.pool, fixture.now_us));
	bl_queue_add(&fixture.queue, &high);
	bl_queue_begin(&fixture.queue, &scan);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &low);
	place(&fixture, &low, 1, &out);
	assert_int_equal(out.verdict, BL_WAIT);
	bl_queue_block(&fixture.queue, &scan, &low);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &high);
	place(&fixture, &high, 1, &out);
	assert_int_equal(out.verdict, BL_SEND);
	bl_pool_free(fixture.pool);
}

/*
 * Guards against a call that has been at the only targets with room, and keeps
 * all others waiting until another target has room.
 */
static void
test_repeated_call_blocks_no_other(void **state)
{
	struct bl_queue_entry repeated, other;
	struct bl_queue_scan scan;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	repeated = entry_of(&fixture, 0, 300);
	repeated.was_tried = true;
	other = entry_of(&fixture, 1, 300);
	bl_queue_add(&fixture.queue, &repeated);
	bl_queue_add(&fixture.queue, &other);
	bl_queue_begin(&fixture.queue, &scan);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &repeated);
	bl_queue_block(&fixture.queue, &scan, &repeated);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &other);
	bl_pool_free(fixture.pool);
}

/*
 * Guards against repeated calls that are placed as if they had all their time,
 * and against other decisions than before while few targets are full.
 */
static void
test_time_spent_elsewhere_counts_while_congested(void **state)
{
	struct bl_request request;
	struct bl_queue_entry entry;
	struct fixture fixture;
	int i;

	(void)state;
	set_up(&fixture);
	entry = entry_of(&fixture, 0, 130);
	for (i = 0; i < 2; i++) {
		request = (struct bl_request){.now_us = fixture.now_us,
		    .objective_us = fixture.now_us + 250 * MS};
		bl_queue_fill_request(
		    &fixture.queue, &entry, fixture.pool, 1.0, &request);
		assert_int_equal(request.objective_us - fixture.now_us,
		    (i == 0 ? 250 : 130) * MS);
		report(&fixture, 2, 30);
	}
	bl_pool_free(fixture.pool);
}

/*
 * Guards against failures that end quickly and make calls of their route look
 * short, so that they go before all others.
 */
static void
test_failed_call_tells_nothing_of_its_work(void **state)
{
	struct bl_queue_entry failing, other;
	struct bl_queue_scan scan;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	other = entry_of(&fixture, 0, 300);
	failing = entry_of(&fixture, 2, 300);
	bl_queue_arrived(&fixture.queue, &other, fixture.now_us);
	bl_queue_arrived(&fixture.queue, &failing, fixture.now_us);
	bl_queue_ended(&fixture.queue, &failing, true, 0, fixture.now_us);
	bl_queue_add(&fixture.queue, &failing);
	bl_queue_add(&fixture.queue, &other);
	bl_queue_begin(&fixture.queue, &scan);
	assert_ptr_equal(
	    bl_queue_next(&fixture.queue, fixture.pool, &scan, fixture.now_us),
	    &other);
	bl_pool_free(fixture.pool);
}

/*
 * Guards against a full queue from which the first call is refused, and in
 * which calls of little worth keep out those worth more.
 */
static void
test_full_queue(void **state)
{
	static struct bl_queue_entry entries[BL_QUEUE_WAITING_MAX];
	struct bl_queue_entry high, low;
	struct fixture fixture;
	uint32_t i;

	(void)state;
	set_up(&fixture);
	for (i = 0; i < BL_QUEUE_WAITING_MAX; i++) {
		entries[i] = entry_of(&fixture, 1 + (i == 7), 300);
		assert_true(bl_queue_has_room(
		    &fixture.queue, &entries[i], fixture.pool, fixture.now_us));
		bl_queue_add(&fixture.queue, &entries[i]);
	}
	high = entry_of(&fixture, 0, 300);
	low = entry_of(&fixture, 2, 300);
	assert_true(bl_queue_has_room(
	    &fixture.queue, &entries[0], fixture.pool, fixture.now_us));
	assert_true(bl_queue_has_room(
	    &fixture.queue, &high, fixture.pool, fixture.now_us));
	assert_false(bl_queue_has_room(
	    &fixture.queue, &low, fixture.pool, fixture.now_us));
	assert_ptr_equal(
	    bl_queue_last(&fixture.queue, fixture.pool, fixture.now_us),
	    &entries[7]);
	fixture.queue.by_cost = false;
	assert_false(bl_queue_has_room(
	    &fixture.queue, &high, fixture.pool, fixture.now_us));
	bl_pool_free(fixture.pool);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_order),
	    cmocka_unit_test(test_blocked_calls),
	    cmocka_unit_test(test_calm_changes_nothing),
	    cmocka_unit_test(test_low_priority_leaves_the_last_slot),
	    cmocka_unit_test(
		test_worth_is_relative_to_the_highest_priority_in_use),
	    cmocka_unit_test(test_late_call_is_refused_with_a_spread_estimate),
	    cmocka_unit_test(test_time_spent_elsewhere_counts),
	    cmocka_unit_test(test_surplus_of_a_tenant),
	    cmocka_unit_test(test_calls_counted_late_are_no_surplus),
	    cmocka_unit_test(test_report_without_slots_is_no_congestion),
	    cmocka_unit_test(test_unknown_slowness_changes_no_estimate),
	    cmocka_unit_test(test_call_that_leaves_slots_blocks_no_other),
	    cmocka_unit_test(test_repeated_call_blocks_no_other),
	    cmocka_unit_test(test_time_spent_elsewhere_counts_while_congested),
	    cmocka_unit_test(test_failed_call_tells_nothing_of_its_work),
	    cmocka_unit_test(test_full_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
