/* Frames for rates that VMs share, and who may give them out. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/fleet/fleet.h"

#define SECOND INT64_C(1000000)

/* Encodes and decodes a frame; returns its length. */
static size_t
code_frame(const struct fl_frame *frame, struct fl_frame *out)
{
	struct fl_buffer buffer;

	assert_int_equal(fl_encode(frame, &buffer), CS_OK);
	assert_int_equal(fl_decode(buffer.data, buffer.length, out), CS_OK);
	free(buffer.data);
	return buffer.length;
}

static void
test_cold_frames_round_trip(void **state)
{
	struct fl_frame cold = {
	    .type = FL_FRAME_COLD, .as.cold = {UINT64_MAX, 2500000}};
	struct fl_frame ask = {.type = FL_FRAME_ASK,
	    .as.ask = {.count = 1, .limit = {.age_us = INT64_MAX}}};
	struct fl_frame got;
	size_t length;

	(void)state;
	code_frame(&cold, &got);
	assert_true(got.as.cold.target_process == UINT64_MAX);
	assert_int_equal(got.as.cold.left_us, 2500000);
	length = code_frame(&ask, &got);
	assert_int_equal(got.as.ask.cold_left_us, 0);
	ask.as.ask.cold_left_us = 2500000;
	/* A target that is not cold costs no further bytes. */
	assert_true(code_frame(&ask, &got) > length);
	assert_int_equal(got.as.ask.cold_left_us, 2500000);
}

#define FRAME_BYTES_MAX 100

/* The largest values fit, and no part of a frame passes for a whole one. */
static void
test_quota_frames_round_trip(void **state)
{
	struct fl_frame ask = {.type = FL_FRAME_QUOTA_ASK,
	    .as.quota_ask = {UINT64_MAX, 255, UINT32_MAX, UINT32_MAX,
		UINT32_MAX, true,
		{.sin_family = AF_INET,
		    .sin_addr.s_addr = UINT32_MAX,
		    .sin_port = 7}}};
	struct fl_frame grant = {.type = FL_FRAME_QUOTA_GRANT,
	    .as.quota_grant = {UINT64_MAX, 255, UINT32_MAX, 1000000}};
	struct fl_frame share = {.type = FL_FRAME_QUOTA_SHARE,
	    .as.quota_share = {UINT64_MAX, 1, 2, 3, 4, UINT32_MAX, 6, true,
		true, {.sin_family = AF_INET, .sin_port = 7}}};
	const struct fl_frame *frames[] = {&ask, &grant, &share};
	struct fl_buffer buffer;
	struct fl_frame got;
	size_t i, length;

	(void)state;
	assert_true(code_frame(&ask, &got) <= FRAME_BYTES_MAX);
	assert_memory_equal(
	    &got.as.quota_ask, &ask.as.quota_ask, sizeof(ask.as.quota_ask));
	assert_true(code_frame(&grant, &got) <= FRAME_BYTES_MAX);
	assert_true(got.as.quota_grant.tenant == UINT64_MAX);
	assert_int_equal(got.as.quota_grant.number, 255);
	assert_true(got.as.quota_grant.count == UINT32_MAX);
	assert_int_equal(got.as.quota_grant.wait_us, 1000000);
	assert_true(code_frame(&share, &got) <= FRAME_BYTES_MAX);
	assert_int_equal(got.as.quota_share.region, 1);
	assert_int_equal(got.as.quota_share.demand_milli, 2);
	assert_int_equal(got.as.quota_share.lent, 3);
	assert_int_equal(got.as.quota_share.held, 4);
	assert_true(got.as.quota_share.stamp == UINT32_MAX);
	assert_int_equal(got.as.quota_share.echo, 6);
	assert_true(got.as.quota_share.has_echo);
	assert_true(got.as.quota_share.passed_on);
	assert_int_equal(got.as.quota_share.sender.sin_port, 7);
	for (i = 0; i < 3; i++) {
		assert_int_equal(fl_encode(frames[i], &buffer), CS_OK);
		for (length = 0; length < buffer.length; length++)
			assert_int_equal(
			    fl_decode(buffer.data, length, &got), CS_E_INVALID);
		free(buffer.data);
	}
}

/*
 * Two parts of a region must not both give out permits, and a VM that starts
 * while it is cut off must not take itself for the whole region.
 */
static void
test_at_most_one_part_of_a_region_has_a_majority(void **state)
{
	struct fl_node self = {.name = "a", .same_region = true};
	struct fl_membership m;
	uint32_t i;

	(void)state;
	fl_membership_init(&m, &self, SECOND);
	/* It cannot know that it is alone before the store lists the nodes. */
	assert_false(fl_membership_has_majority(&m, SECOND));
	assert_int_equal(fl_membership_count_spending(&m, SECOND), 0);
	m.has_list = true;
	assert_true(fl_membership_has_majority(&m, SECOND)); /* it is alone */
	assert_int_equal(fl_membership_count_spending(&m, SECOND), 1);
	for (i = 1; i <= 4; i++) {
		struct fl_node node = {.same_region = true, .boot = i};

		node.fleet.sin_port = (in_port_t)i;
		snprintf(node.name, sizeof(node.name), "b%u", i);
		fl_membership_add(&m, &node);
	}
	assert_false(fl_membership_has_majority(&m, SECOND));
	m.nodes[0].heard_us = 2 * SECOND;
	assert_false(fl_membership_has_majority(&m, 2 * SECOND));
	m.nodes[1].heard_us = 2 * SECOND;
	assert_true(fl_membership_has_majority(&m, 2 * SECOND));
	/* All are silent: they may be in touch with each other. */
	m.nodes[2].heard_us = m.nodes[3].heard_us = 2 * SECOND;
	assert_false(fl_membership_has_majority(&m, 9 * SECOND));
	assert_true(fl_membership_has_majority(&m, 700 * SECOND));
	fl_membership_free(&m);
}

/* VMs that were stopped or replaced do not take the majority from the others.
 */
static void
test_vms_that_are_gone_do_not_count(void **state)
{
	struct fl_node self = {.name = "a", .same_region = true};
	struct fl_node gone = {.same_region = true, .boot = 1};
	struct fl_node heir = {.same_region = true, .boot = 2};
	struct fl_membership m;

	(void)state;
	strcpy(gone.name, "b");
	gone.fleet.sin_port = 1;
	heir.fleet.sin_port = 2;
	fl_membership_init(&m, &self, SECOND);
	fl_membership_on_hello(&m, &gone, SECOND);
	assert_true(fl_membership_has_majority(&m, 2 * SECOND));
	assert_false(fl_membership_has_majority(&m, 9 * SECOND));
	/* Another VM comes: two of three are alive. */
	strcpy(heir.name, "c");
	fl_membership_on_hello(&m, &heir, 9 * SECOND);
	assert_true(fl_membership_has_majority(&m, 9 * SECOND));
	assert_false(fl_membership_has_majority(&m, 20 * SECOND));
	/* It said that it stops. */
	m.nodes[1].stopping = true;
	assert_false(fl_membership_has_majority(&m, 20 * SECOND));
	/* A VM of the other's name is there. */
	strcpy(m.nodes[1].name, "b");
	m.nodes[1].stopping = false;
	m.nodes[1].heard_us = 20 * SECOND;
	assert_true(fl_membership_has_majority(&m, 20 * SECOND));
	m.nodes[0].stopping = m.nodes[1].stopping = true;
	assert_true(fl_membership_has_majority(&m, 40 * SECOND));
	fl_membership_free(&m);
}

#define CHECKED_EVERY (SECOND / 4)

/* Checks node 0 from from_us until until_us, with this result. */
static void
check_until(struct fl_membership *m, int64_t from_us, int64_t until_us,
    enum fl_check_result result)
{
	for (; from_us <= until_us; from_us += CHECKED_EVERY)
		fl_membership_on_check(m, &m->nodes[0].fleet, from_us, result);
}

/*
 * Guards against VMs that count as ended though they may run: one that only
 * starts again, that was refused a while ago, that accepts, or that was heard.
 */
static void
test_only_lasting_refusals_tell_of_an_end(void **state)
{
	struct fl_node self = {.name = "a", .same_region = true};
	struct fl_node other = {.same_region = true, .boot = 1};
	struct sockaddr_in picked[FL_CHECKS_MAX];
	struct fl_membership m;
	struct fl_node *node;

	(void)state;
	strcpy(other.name, "b");
	other.fleet.sin_port = 1;
	fl_membership_init(&m, &self, SECOND);
	fl_membership_on_hello(&m, &other, SECOND);
	node = &m.nodes[0];
	assert_int_equal(fl_membership_pick_checks(&m, SECOND, picked), 0);
	assert_int_equal(fl_membership_pick_checks(&m, 4 * SECOND, picked), 1);
	assert_int_equal(picked[0].sin_port, 1);
	/* It is checked once a second until it refuses. */
	assert_int_equal(
	    fl_membership_pick_checks(&m, 4 * SECOND + CHECKED_EVERY, picked),
	    0);

	check_until(&m, 4 * SECOND, 5 * SECOND, FL_CHECK_REFUSED);
	assert_false(fl_membership_has_majority(&m, 5 * SECOND));
	check_until(&m, 5 * SECOND, 6 * SECOND, FL_CHECK_REFUSED);
	assert_true(fl_membership_has_majority(&m, 6 * SECOND));
	assert_int_equal(
	    fl_membership_pick_checks(&m, 6 * SECOND + CHECKED_EVERY, picked),
	    1);
	assert_false(fl_membership_has_majority(&m, 7 * SECOND));
	/* Without refusals for a while it is as if there had been none. */
	check_until(&m, 8 * SECOND, 9 * SECOND, FL_CHECK_REFUSED);
	assert_false(fl_membership_has_majority(&m, 9 * SECOND));
	check_until(&m, 9 * SECOND, 10 * SECOND, FL_CHECK_REFUSED);
	assert_true(fl_membership_has_majority(&m, 10 * SECOND));
	check_until(&m, 10 * SECOND, 10 * SECOND, FL_CHECK_ACCEPTED);
	assert_false(fl_membership_has_majority(&m, 10 * SECOND));

	check_until(&m, 11 * SECOND, 13 * SECOND, FL_CHECK_REFUSED);
	assert_true(fl_node_has_ended(node, 13 * SECOND));
	other.boot = 2;
	fl_membership_on_hello(&m, &other, 13 * SECOND);
	assert_false(fl_node_has_ended(node, 13 * SECOND));
	/* A connection from before it was heard tells nothing. */
	check_until(&m, 12 * SECOND, 13 * SECOND, FL_CHECK_REFUSED);
	assert_int_equal(node->refused_us, 0);
	fl_membership_free(&m);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cold_frames_round_trip),
	    cmocka_unit_test(test_quota_frames_round_trip),
	    cmocka_unit_test(test_at_most_one_part_of_a_region_has_a_majority),
	    cmocka_unit_test(test_vms_that_are_gone_do_not_count),
	    cmocka_unit_test(test_only_lasting_refusals_tell_of_an_end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
