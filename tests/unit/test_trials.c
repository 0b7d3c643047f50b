/*
 * Trials of a request that crashed targets, by a whole fleet in virtual time:
 * few more targets end, and a request that was blamed by mistake is served
 * again soon.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"

#define MS INT64_C(1000)
#define STEP_US (10 * MS)
#define REPORT_DELAY_US (60 * MS) /* to a VM in another region */
#define CRASH_SEEN_US (180 * MS)  /* from the start of the run */
#define WORK_US (300 * MS)
#define FINGERPRINT 7
#define VMS_MAX 473
#define PENDING_MAX 64

enum event_type {
	CLAIM_HEARD,
	CLAIM_SETTLED,
	CRASH_SEEN,
	CRASH_REPORTED,
	SERVED,
	EXCUSE_REPORTED,
};

struct event {
	enum event_type type;
	int64_t at_us;
	uint32_t vm;
	struct bl_crash crash;
	uint64_t ticket;
	bool crashes;
};

struct fleet {
	struct bl_poison *vms;
	uint32_t count;
	uint32_t ranks[VMS_MAX];
	struct event pending[PENDING_MAX];
	uint32_t pending_count;
	struct cs_random random;
	int64_t now_us;
	uint64_t next_process;
	uint32_t sent;
};

static void
create(struct fleet *fleet, uint32_t count, uint64_t seed)
{
	uint32_t i;

	*fleet = (struct fleet){.count = count, .now_us = 1000 * MS};
	fleet->vms = calloc(count, sizeof(*fleet->vms));
	assert_non_null(fleet->vms);
	cs_random_seed(&fleet->random, seed);
	for (i = 0; i < count; i++) {
		uint32_t other = cs_random_below(&fleet->random, i + 1);

		fleet->ranks[i] = fleet->ranks[other];
		fleet->ranks[other] = i;
	}
}

static void
schedule(struct fleet *fleet, enum event_type type, int64_t delay_us,
    struct event event)
{
	assert_true(fleet->pending_count < PENDING_MAX);
	event.type = type;
	event.at_us = fleet->now_us + delay_us;
	fleet->pending[fleet->pending_count++] = event;
}

static void
report_excuse(void *arg, const struct bl_crash *crash)
{
	schedule(arg, EXCUSE_REPORTED, REPORT_DELAY_US,
	    (struct event){.crash = *crash});
}

static void
send_to_target(struct fleet *fleet, const struct event *event)
{
	fleet->sent++;
	if (event->crashes)
		schedule(fleet, CRASH_SEEN, CRASH_SEEN_US, *event);
	else
		schedule(fleet, SERVED, WORK_US, *event);
}

static void
handle(struct fleet *fleet, const struct event *event)
{
	struct bl_poison *vm = &fleet->vms[event->vm];
	struct event trial = *event;
	uint32_t i;

	switch (event->type) {
	case CLAIM_HEARD:
		for (i = 0; i < fleet->count; i++) {
			if (i != event->vm)
				bl_poison_hear_claim(&fleet->vms[i],
				    FINGERPRINT, event->ticket, fleet->now_us);
		}
		break;
	case CLAIM_SETTLED:
		if (bl_poison_try(vm, FINGERPRINT, &trial.crash.trials))
			send_to_target(fleet, &trial);
		break;
	case CRASH_SEEN:
		bl_poison_tried(vm, FINGERPRINT, fleet->now_us);
		bl_poison_crashed(vm, &event->crash, fleet->now_us);
		schedule(fleet, CRASH_REPORTED, REPORT_DELAY_US, *event);
		break;
	case CRASH_REPORTED:
		for (i = 0; i < fleet->count; i++)
			bl_poison_crashed(
			    &fleet->vms[i], &event->crash, fleet->now_us);
		break;
	case SERVED:
		bl_poison_tried(vm, FINGERPRINT, fleet->now_us);
		if (bl_poison_served(vm, FINGERPRINT))
			bl_poison_tell(vm, report_excuse, fleet);
		break;
	case EXCUSE_REPORTED:
		for (i = 0; i < fleet->count; i++)
			bl_poison_excuse(&fleet->vms[i], &event->crash);
		break;
	}
}

static void
handle_due(struct fleet *fleet)
{
	uint32_t i = 0;

	while (i < fleet->pending_count) {
		struct event event = fleet->pending[i];

		if (event.at_us > fleet->now_us) {
			i++;
			continue;
		}
		fleet->pending[i] = fleet->pending[--fleet->pending_count];
		handle(fleet, &event);
	}
}

/* A caller sends the request to any VM. */
static void
call(struct fleet *fleet, bool crashes)
{
	uint32_t number = cs_random_below(&fleet->random, fleet->count);
	struct bl_poison *vm = &fleet->vms[number];
	struct event event = {
	    .vm = number,
	    .crash = {FINGERPRINT, ++fleet->next_process, 0},
	    .ticket = cs_random_next(&fleet->random) | 1,
	    .crashes = crashes,
	};

	if (!bl_is_poison(vm, FINGERPRINT)) {
		send_to_target(fleet, &event);
		return;
	}
	if (bl_poison_wait_us(
		vm, FINGERPRINT, fleet->ranks[number], fleet->now_us) > 0)
		return;
	bl_poison_claim(vm, FINGERPRINT, event.ticket, fleet->now_us);
	schedule(fleet, CLAIM_HEARD, REPORT_DELAY_US, event);
	schedule(fleet, CLAIM_SETTLED, BL_POISON_CLAIM_US, event);
}

static void
run(struct fleet *fleet, int64_t until_us, int64_t interval_us, bool crashes)
{
	int64_t next_us = fleet->now_us;

	for (; fleet->now_us < until_us; fleet->now_us += STEP_US) {
		handle_due(fleet);
		if (fleet->now_us < next_us)
			continue;
		next_us += interval_us;
		call(fleet, crashes);
	}
}

struct fleet_case {
	uint32_t vms;
	int64_t interval_us; /* between two calls */
};

static const struct fleet_case cases[] = {{1, 100 * MS}, {2, 50 * MS},
    {2, 8000 * MS}, {16, 20 * MS}, {16, 100 * MS}, {16, 2000 * MS},
    {473, 10 * MS}, {473, 1000 * MS}};

/* The users allow three sends later than 3 s after the third crash. */
static void
test_fleet_tries_a_crashing_request_three_times_at_most(void **state)
{
	static struct fleet fleet;
	uint64_t seed;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		for (seed = 1; seed <= 10; seed++) {
			uint32_t sent_before;

			create(&fleet, cases[c].vms, seed);
			while (fleet.sent < 3)
				run(&fleet, fleet.now_us + STEP_US,
				    cases[c].interval_us, true);
			run(&fleet, fleet.now_us + 3000 * MS,
			    cases[c].interval_us, true);
			sent_before = fleet.sent;
			run(&fleet, fleet.now_us + 3600000 * MS,
			    cases[c].interval_us, true);
			assert_true(fleet.sent - sent_before <= 3);
			free(fleet.vms);
		}
	}
}

/*
 * It was lost twice beside the request that crashed the targets, and nothing
 * tells the two apart. Its callers ask once a second, or more often; it is
 * served by all VMs within 15 s, the time that a fleet has to recover.
 */
static void
test_request_that_is_blamed_by_mistake_is_served_again(void **state)
{
	static struct fleet fleet;
	uint64_t seed;
	uint32_t i;
	size_t c;

	(void)state;
	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		if (cases[c].interval_us > 1000 * MS)
			continue;
		for (seed = 1; seed <= 10; seed++) {
			create(&fleet, cases[c].vms, seed);
			for (i = 0; i < fleet.count; i++) {
				bl_poison_crashed(&fleet.vms[i],
				    &(struct bl_crash){FINGERPRINT, 1, 0},
				    fleet.now_us);
				bl_poison_crashed(&fleet.vms[i],
				    &(struct bl_crash){FINGERPRINT, 2, 0},
				    fleet.now_us);
			}
			run(&fleet, fleet.now_us + 15000 * MS,
			    cases[c].interval_us, false);
			for (i = 0; i < fleet.count; i++)
				assert_false(
				    bl_is_poison(&fleet.vms[i], FINGERPRINT));
			free(fleet.vms);
		}
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_fleet_tries_a_crashing_request_three_times_at_most),
	    cmocka_unit_test(
		test_request_that_is_blamed_by_mistake_is_served_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
