/*
 * The retry budget of all VMs together, on virtual time, while VMs do not hear
 * each other or forget what they have spent. Every request fails at its targets
 * and would be repeated. Guards against more retries than the fleet may send
 * (BUDGET): each VM took a larger share of the slack the fewer others it heard,
 * and each restart brought a new one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"
#include "../../lib/fleet/fleet.h"

#define VMS_MAX 114
#define STEP_US INT64_C(100000)
#define STEPS 600
#define STEPS_PER_S 10
#define WINDOW_STEPS 100
#define RETRIES_PER_REQUEST 2
#define START_US INT64_C(1000000000)

/* The users' bounds. */
#define RATIO 0.2
#define SLACK 60

enum event {
	NONE,
	HALVES,	  /* from 20 to 50 s the halves do not hear each other */
	ALONE,	  /* no VM hears another */
	FROZEN,	  /* all but two stop for 3 s, again and again */
	RESTARTS, /* all restart each 1.5 s */
};

struct row {
	const char *name;
	enum event event;
	uint32_t vms;
	double per_s; /* of all VMs */
};

struct vm {
	struct fl_membership membership;
	struct bl_pool *pool;
	struct bl_budget_params budget;
	double due; /* requests */
};

struct fleet_run {
	const struct row *row;
	struct vm vms[VMS_MAX];
	uint32_t requests[STEPS], retries[STEPS];
};

static struct fl_node
node_of(uint32_t number)
{
	struct fl_node node = {.same_region = true, .ready = true, .boot = 1};

	snprintf(node.name, sizeof(node.name), "vm-%u", number);
	node.fleet.sin_family = AF_INET;
	node.fleet.sin_addr.s_addr = htonl(0x0a000000 + number);
	return node;
}

static void
start_vm(struct vm *vm, uint32_t number, int64_t now_us)
{
	const struct fl_node self = node_of(number);

	fl_membership_init(&vm->membership, &self, now_us);
	vm->pool = bl_pool_create("p");
	vm->budget = (struct bl_budget_params){
	    .ratio = RATIO,
	    .slack = SLACK,
	    .window_us = WINDOW_STEPS * STEP_US,
	    .slack_from_us = now_us + WINDOW_STEPS * STEP_US,
	};
}

static void
end_vm(struct vm *vm)
{
	fl_membership_free(&vm->membership);
	bl_pool_free(vm->pool);
}

static bool
is_disturbed(int step)
{
	return step >= 20 * STEPS_PER_S && step < 50 * STEPS_PER_S;
}

static bool
runs(const struct row *row, uint32_t vm, int step)
{
	return row->event != FROZEN || vm < 2 || !is_disturbed(step) ||
	       step % (5 * STEPS_PER_S) >= 3 * STEPS_PER_S;
}

static bool
hears(const struct row *row, uint32_t a, uint32_t b, int step)
{
	if (!runs(row, a, step) || !runs(row, b, step))
		return false;
	if (!is_disturbed(step))
		return true;
	return row->event != ALONE && (row->event != HALVES || a % 2 == b % 2);
}

static void
exchange_heartbeats(struct fleet_run *run, int step, int64_t now_us)
{
	uint32_t a, b;

	for (a = 0; a < run->row->vms; a++) {
		for (b = 0; b < run->row->vms; b++) {
			const struct fl_node node = node_of(b);

			if (a != b && hears(run->row, a, b, step))
				fl_membership_on_hello(
				    &run->vms[a].membership, &node, now_us);
		}
	}
}

static void
handle_requests(struct fleet_run *run, int step, int64_t now_us)
{
	uint32_t number, i;

	for (number = 0; number < run->row->vms; number++) {
		struct vm *vm = &run->vms[number];

		if (!runs(run->row, number, step))
			continue;
		vm->budget.node_count =
		    fl_membership_count_sharing(&vm->membership, now_us);
		vm->due += run->row->per_s / STEPS_PER_S / run->row->vms;
		for (; vm->due >= 1; vm->due--) {
			bl_count_request(vm->pool, &vm->budget, now_us);
			run->requests[step]++;
			for (i = 0; i < RETRIES_PER_REQUEST; i++)
				run->retries[step] += bl_take_retry(
				    vm->pool, &vm->budget, now_us);
		}
	}
}

static void
restart_all(struct fleet_run *run, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < run->row->vms; i++) {
		end_vm(&run->vms[i]);
		start_vm(&run->vms[i], i, now_us);
	}
}

static double
sum_window(const uint32_t *counts, int end)
{
	double sum = 0;
	int i;

	for (i = end - WINDOW_STEPS; i < end; i++)
		sum += i < 0 ? 0 : counts[i];
	return sum;
}

static double
larger(double a, double b)
{
	return a > b ? a : b;
}

/* Returns the worst window's retries in relation to what is allowed. */
static double
worst_window(const struct fleet_run *run)
{
	double worst = 0;
	int end;

	for (end = WINDOW_STEPS; end <= STEPS; end++) {
		double requests = larger(sum_window(run->requests, end),
		    larger(sum_window(run->requests, end - WINDOW_STEPS / 2),
			sum_window(run->requests, end - WINDOW_STEPS)));

		worst = larger(worst,
		    sum_window(run->retries, end) / (RATIO * requests + SLACK));
	}
	return worst;
}

static const struct row rows[] = {
    {"calm", NONE, 16, 20},
    {"calm", NONE, 114, 200},
    {"two halves", HALVES, 2, 20},
    {"two halves", HALVES, 16, 20},
    {"two halves", HALVES, 114, 200},
    {"each alone", ALONE, 2, 20},
    {"each alone", ALONE, 16, 20},
    {"each alone", ALONE, 114, 200},
    {"most are frozen", FROZEN, 16, 60},
    {"most are frozen", FROZEN, 114, 60},
    {"all restart", RESTARTS, 2, 20},
    {"all restart", RESTARTS, 16, 20},
    {"all restart", RESTARTS, 114, 200},
};

static void
test_all_vms_together_keep_the_budget(void **state)
{
	static struct fleet_run run;
	uint32_t failed = 0;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		int64_t now_us = START_US;
		double worst;
		uint32_t vm;
		int step;

		memset(&run, 0, sizeof(run));
		run.row = &rows[i];
		for (vm = 0; vm < rows[i].vms; vm++)
			start_vm(&run.vms[vm], vm, now_us);
		for (step = 0; step < STEPS; step++) {
			if (rows[i].event == RESTARTS && is_disturbed(step) &&
			    step % (STEPS_PER_S * 3 / 2) == 0)
				restart_all(&run, now_us);
			if (step % 8 == 0)
				exchange_heartbeats(&run, step, now_us);
			handle_requests(&run, step, now_us);
			now_us += STEP_US;
		}
		worst = worst_window(&run);
		if (worst > 1) {
			print_error("%s, %u VMs, %.0f a second: %.2f of what "
				    "is allowed\n",
			    rows[i].name, rows[i].vms, rows[i].per_s, worst);
			failed++;
		}
		for (vm = 0; vm < rows[i].vms; vm++)
			end_vm(&run.vms[vm]);
	}
	assert_int_equal(failed, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_vms_together_keep_the_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
