/*
 * Tests of lib/gateway/placement.c on a call that is not connected to anything:
 * what it does with probes that have ended, and with a full queue.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/gateway/gateway_internal.h"

#define MS INT64_C(1000)

struct fixture {
	struct gw gw;
	struct gw_pool pool;
	struct gw_call call;
	struct bl_topology topology;
	struct bl_target *targets[2];
};

/* One target in this VM's data centre, one in another of the region. */
static void
set_up(struct fixture *fixture)
{
	int64_t now_us = cs_now_us();
	uint32_t i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->topology.count = 2;
	for (i = 0; i < 2; i++)
		fixture->topology.data_centres[i].same_region = true;
	fixture->gw.params.topology = &fixture->topology;
	fixture->pool.gw = &fixture->gw;
	fixture->pool.balance = bl_pool_create("p");
	bl_queue_init(&fixture->pool.queue, true);
	for (i = 0; i < 2; i++) {
		fixture->targets[i] = bl_target_create(i == 0 ? "t0" : "t1");
		fixture->targets[i]->slots = 4;
		fixture->targets[i]->data_centre = i;
		bl_pool_add(fixture->pool.balance, fixture->targets[i]);
	}
	fixture->call = (struct gw_call){
	    .gw = &fixture->gw,
	    .pool = &fixture->pool,
	    .received_us = now_us,
	    .objective_us = 400 * MS,
	    .deadline_us = now_us + 1500 * MS,
	};
	fixture->call.queued.objective_us = now_us + 400 * MS;
}

static void
report(struct fixture *fixture, uint32_t target, uint32_t running,
    uint32_t slowness_pct)
{
	struct bl_load load = {
	    .running = running, .slots = 4, .slowness_pct = slowness_pct};

	bl_load_reported(fixture->targets[target], &load, cs_now_us());
}

/* Guards against a second round of probes that waits for the first one's end.
 */
static void
test_second_round_of_probes_begins_at_once(void **state)
{
	struct bl_placement placement;
	struct fixture fixture;

	(void)state;
	set_up(&fixture);
	/* Slow, so that the others are probed. */
	fixture.pool.balance->service_time_us = 240.0 * MS;
	report(&fixture, 0, 0, 200);
	fixture.call.state = GW_CALL_PROBING;
	fixture.call.probe_rounds = 1;
	fixture.call.probes_pending = 1;
	fixture.call.probed_targets[0] = fixture.targets[0];
	assert_true(
	    gw_probe_settled(&fixture.call, fixture.targets[0], &placement));
	assert_int_equal(placement.verdict, BL_PROBE);
	assert_ptr_equal(placement.probes[0], fixture.targets[1]);
	bl_pool_free(fixture.pool.balance);
}

/* Guards against calls that are refused since the queue that they are in is
 * full. */
static void
test_call_in_a_full_queue_waits_on(void **state)
{
	static struct bl_queue_entry others[BL_QUEUE_WAITING_MAX];
	struct bl_placement placement;
	struct fixture fixture;
	uint32_t i;

	(void)state;
	set_up(&fixture);
	report(&fixture, 0, 4, 100);
	report(&fixture, 1, 4, 100);
	fixture.call.state = GW_CALL_WAITING;
	fixture.call.probe_rounds = 2;
	bl_queue_add(&fixture.pool.queue, &fixture.call.queued);
	for (i = 1; i < BL_QUEUE_WAITING_MAX; i++)
		bl_queue_add(&fixture.pool.queue, &others[i]);
	gw_place(&fixture.call, &placement);
	assert_int_equal(placement.verdict, BL_WAIT);
	bl_pool_free(fixture.pool.balance);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_call_in_a_full_queue_waits_on),
	    cmocka_unit_test(test_second_round_of_probes_begins_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
