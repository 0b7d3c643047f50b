/*
 * Replays the return of callers to a fleet whose VMs have all just started, on
 * virtual time. Each VM learns its configuration and targets some time after
 * its start; a caller repeats a refused call once, at another VM.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"

#define MS INT64_C(1000)
#define VMS_MAX 64
#define CALLS 2000
#define WORK_US (400 * MS)
#define OBJECTIVE_US (1200 * MS)
#define DEADLINE_US (4000 * MS)
#define ATTEMPTS_MAX 2 /* of a caller */
#define STEP_US (5 * MS)
/* How old a VM's knowledge of the other VMs is. */
#define HEARSAY_US (250 * MS)
/* Refusals by the rule before: at once, with this Retry-After. */
#define FORMER_RETRY_AFTER_US (100 * MS)

struct restart_case {
	const char *name;
	uint32_t vms;
	int64_t start_spread_us;
	int64_t load_min_us, load_max_us; /* from start to known objects */
	uint32_t unharmed;		  /* VMs that did not restart */
	double failed_max;		  /* share of the calls */
	double in_time_min;		  /* share of the calls */
};

/*
 * Every call could be served in its time, so none may fail. In time are at
 * least those that arrive once all VMs know their objects.
 */
static const struct restart_case cases[] = {
    {"all restart, objects within 1 s", 40, 300 * MS, 200 * MS, 1000 * MS, 0,
	0.0, 0.50},
    {"all restart, objects within .3 s", 40, 300 * MS, 100 * MS, 300 * MS, 0,
	0.0, 0.75},
    {"one VM in ten restarts", 40, 0, 200 * MS, 1000 * MS, 36, 0.0, 0.95},
    {"half of the VMs restart", 40, 0, 200 * MS, 1000 * MS, 20, 0.0, 0.75},
    {"one VM restarts", 40, 0, 200 * MS, 1000 * MS, 39, 0.0, 0.95},
};

enum call_state { CALL_ARRIVING, CALL_HELD, CALL_DONE };

struct call {
	enum call_state state;
	uint32_t vm, attempts;
	int64_t first_us, received_us; /* first and current attempt */
	int64_t decide_us;
};

struct simulation {
	const struct restart_case *restart;
	struct cs_random random;
	int64_t start_us[VMS_MAX], loaded_us[VMS_MAX];
	struct call calls[CALLS];
	bool refuse_at_once;
	uint32_t failed, in_time;
};

static void
set_up(struct simulation *simulation, const struct restart_case *restart,
    bool refuse_at_once)
{
	uint32_t i;

	memset(simulation, 0, sizeof(*simulation));
	simulation->restart = restart;
	simulation->refuse_at_once = refuse_at_once;
	cs_random_seed(&simulation->random, 3);
	for (i = 0; i < restart->vms; i++) {
		if (i < restart->unharmed) {
			simulation->loaded_us[i] = -10000 * MS;
			continue;
		}
		simulation->start_us[i] =
		    (int64_t)(cs_random_unit(&simulation->random) *
			      (double)restart->start_spread_us);
		simulation->loaded_us[i] =
		    simulation->start_us[i] + restart->load_min_us +
		    (int64_t)(cs_random_unit(&simulation->random) *
			      (double)(restart->load_max_us -
				       restart->load_min_us));
	}
	for (i = 0; i < CALLS; i++) {
		struct call *call = &simulation->calls[i];

		/* Callers reach VMs that have started. */
		call->first_us = call->received_us = call->decide_us =
		    restart->start_spread_us + (int64_t)i * 2000 * MS / CALLS;
		call->vm = cs_random_below(&simulation->random, restart->vms);
	}
}

static uint32_t
count_ready(const struct simulation *simulation, uint32_t own, int64_t at_us)
{
	uint32_t i, count = 0;

	for (i = 0; i < simulation->restart->vms; i++)
		count += i != own && simulation->loaded_us[i] <= at_us;
	return count;
}

static void
refuse(struct simulation *simulation, struct call *call, int64_t now_us,
    int64_t retry_after_us)
{
	if (++call->attempts == ATTEMPTS_MAX) {
		call->state = CALL_DONE;
		simulation->failed++;
		return;
	}
	call->state = CALL_ARRIVING;
	call->received_us = call->decide_us = now_us + retry_after_us;
	call->vm = (call->vm + 1 +
		       cs_random_below(
			   &simulation->random, simulation->restart->vms - 1)) %
		   simulation->restart->vms;
}

static void
serve(struct simulation *simulation, struct call *call, int64_t now_us)
{
	int64_t took_us = now_us + WORK_US - call->first_us;

	call->state = CALL_DONE;
	simulation->failed += took_us > DEADLINE_US;
	simulation->in_time += took_us <= OBJECTIVE_US;
}

static void
decide(struct simulation *simulation, struct call *call, int64_t now_us)
{
	struct bl_start start = {
	    .now_us = now_us,
	    .process_start_us = simulation->start_us[call->vm],
	    .received_us = call->received_us,
	    .deadline_us = call->first_us + DEADLINE_US,
	    .live_nodes = simulation->restart->vms - 1,
	    .ready_nodes =
		count_ready(simulation, call->vm, now_us - HEARSAY_US),
	};
	struct bl_hold hold;

	if (simulation->loaded_us[call->vm] <= now_us) {
		serve(simulation, call, now_us);
		return;
	}
	if (call->state == CALL_HELD && now_us < call->decide_us)
		return;
	bl_hold_at_start(&start, &hold);
	if (simulation->refuse_at_once) {
		refuse(simulation, call, now_us, FORMER_RETRY_AFTER_US);
	} else if (hold.hold) {
		call->state = CALL_HELD;
		call->decide_us = hold.until_us;
	} else {
		refuse(simulation, call, now_us, hold.retry_after_us);
	}
}

static void
simulate(struct simulation *simulation)
{
	int64_t now_us;
	uint32_t i;

	for (now_us = 0; now_us < 10000 * MS; now_us += STEP_US) {
		for (i = 0; i < CALLS; i++) {
			struct call *call = &simulation->calls[i];

			if (call->state == CALL_HELD ||
			    (call->state == CALL_ARRIVING &&
				call->decide_us <= now_us))
				decide(simulation, call, now_us);
		}
	}
}

static void
test_callers_are_served_while_all_vms_start(void **state)
{
	static struct simulation held, refused;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct restart_case *c = &cases[i];

		set_up(&held, c, false);
		simulate(&held);
		set_up(&refused, c, true);
		simulate(&refused);
		print_message("%s: %.3f in time, %.3f failed; refused at once: "
			      "%.3f in time, %.3f failed\n",
		    c->name, (double)held.in_time / CALLS,
		    (double)held.failed / CALLS,
		    (double)refused.in_time / CALLS,
		    (double)refused.failed / CALLS);
		assert_true(held.failed <= c->failed_max * CALLS);
		assert_true(held.in_time >= c->in_time_min * CALLS);
		assert_true(held.failed <= refused.failed);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_callers_are_served_while_all_vms_start),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
