/*
 * Allowed regions and evacuations: no path sends a request to a target outside
 * of what its route allows, or in an evacuated data centre. Guards against
 * retries, probes, permits and fallbacks that forget the restriction, and
 * against a restriction that cannot be met being taken for none.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "gateway_rig.h"

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define SEEDS 20
#define STEPS 2000
#define DATA_CENTRES 5
#define TARGETS 12

#define ATTEMPT_ID "Chervilshelf-Attempt-Id: %I\r\n"
#define COMPLETE_RESPONSE                \
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID \
	"Chervilshelf-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwhole"
#define NOT_RUN_RESPONSE                                                      \
	"HTTP/1.1 503 Busy\r\n" ATTEMPT_ID "Chervilshelf-Not-Executed: 1\r\n" \
	"Content-Length: 4\r\n\r\nbusy"
#define REQUEST_OF(key, path)                                        \
	"GET " path " HTTP/1.1\r\nHost: h\r\nX-Api-Key: " key "\r\n" \
	"Chervilshelf-Attempt-Id: a1\r\n\r\n"
#define REQUEST_TO(path) REQUEST_OF("k3", path)

struct world {
	struct cs_random random;
	struct bl_topology topology;
	struct bl_pool *pool;
	int64_t now_us;
};

static void
create_world(struct world *world, uint64_t seed)
{
	uint32_t i;

	*world = (struct world){.topology.count = DATA_CENTRES,
	    .pool = bl_pool_create("p"),
	    .now_us = 10000 * MS};
	cs_random_seed(&world->random, seed);
	for (i = 0; i < DATA_CENTRES; i++) {
		world->topology.data_centres[i].same_region = i < 3;
		world->topology.data_centres[i].rtt_us =
		    i < 3 ? 2 * MS : 24 * MS;
	}
	for (i = 0; i < TARGETS; i++) {
		struct bl_target *target;
		char id[16];

		snprintf(id, sizeof(id), "t%u", i);
		target = bl_target_create(id);
		target->slots = 1 + cs_random_below(&world->random, 6);
		target->data_centre =
		    cs_random_below(&world->random, DATA_CENTRES);
		bl_target_set_process(target, i + 1);
		bl_pool_add(world->pool, target);
	}
}

/* Load, backoff, pauses, limits and permits of a random target. */
static void
change_target(struct world *world)
{
	struct bl_target *target =
	    world->pool->targets[cs_random_below(&world->random, TARGETS)];
	struct bl_load load = {.running = cs_random_below(&world->random, 9),
	    .slots = target->slots,
	    .slowness_pct = 100 + cs_random_below(&world->random, 500)};
	struct bl_limit_report limit = {
	    .has_limit = cs_random_below(&world->random, 2) == 0,
	    .per_s = 1 + cs_random_below(&world->random, 20),
	    .heard_us = world->now_us};

	switch (cs_random_below(&world->random, 6)) {
	case 0:
		target->backoff_until_us = world->now_us + 300 * MS;
		break;
	case 1:
		bl_pause(target, 200 * MS, world->now_us);
		break;
	case 2:
		bl_limit_heard(target, &limit);
		break;
	case 3:
		target->limit.permits = cs_random_below(&world->random, 3);
		target->limit.permits_from_us = world->now_us;
		break;
	default:
		bl_load_reported(target, &load, world->now_us);
		break;
	}
}

static void
check_allowed(const struct bl_target *target, uint64_t blocked)
{
	if (target != NULL && (blocked >> target->data_centre & 1) != 0)
		fail_msg("%s in data centre %u is not allowed", target->id,
		    target->data_centre);
}

static void
test_placements_never_name_a_blocked_target(void **state)
{
	uint32_t sent = 0, refused = 0;
	uint64_t seed;
	uint32_t i, k;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct world world;

		create_world(&world, seed);
		for (i = 0; i < STEPS; i++) {
			struct bl_request request = {
			    .excluded_data_centres = cs_random_below(
				&world.random, 1 << DATA_CENTRES),
			    .may_wait = cs_random_below(&world.random, 2) == 0,
			    .may_probe = cs_random_below(&world.random, 2) == 0,
			    .tie_breaker = cs_random_next(&world.random),
			};
			struct bl_placement out;
			uint64_t blocked;

			world.now_us += 10 * MS;
			change_target(&world);
			world.topology.evacuated =
			    cs_random_below(&world.random, 1 << DATA_CENTRES);
			if (cs_random_below(&world.random, 4) != 0)
				world.topology.evacuated &= 1;
			request.now_us = world.now_us;
			request.objective_us = world.now_us + 200 * MS;
			request.deadline_us = world.now_us + 1000 * MS;
			blocked = world.topology.evacuated |
				  request.excluded_data_centres;
			bl_place(&world.topology, world.pool, &request, &out);
			check_allowed(out.target, blocked);
			check_allowed(out.ask, blocked);
			for (k = 0; k < out.probe_count; k++)
				check_allowed(out.probes[k], blocked);
			sent += out.verdict == BL_SEND;
			refused += out.verdict == BL_REFUSE;
			/* Waiting cannot help where nothing is allowed. */
			if (blocked == (1 << DATA_CENTRES) - 1)
				assert_int_equal(out.verdict, BL_REFUSE);
		}
		bl_pool_free(world.pool);
	}
	assert_true(sent > 0 && refused > 0);
}

static void
test_refusal_waits_for_allowed_targets_only(void **state)
{
	struct world world;
	uint32_t i;

	(void)state;
	create_world(&world, 1);
	for (i = 0; i < TARGETS; i++) {
		world.pool->targets[i]->data_centre = i % 2;
		if (i % 2 == 1)
			bl_pause(
			    world.pool->targets[i], 700 * MS, world.now_us);
	}
	assert_int_equal(bl_pool_wait_us(world.pool, 0, world.now_us), 0);
	assert_int_equal(
	    bl_pool_wait_us(world.pool, 1, world.now_us), 700 * MS);
	assert_true(bl_pool_wait_us(world.pool, 3, world.now_us) == INT64_MAX);
	bl_pool_free(world.pool);
}

/*
 * A request that only another region may serve is sent there, or waits for room
 * there, in the same state of the targets in which one of the own region is.
 * Guards against the cost of a transfer without an alternative as a reason to
 * refuse.
 */
static void
test_only_allowed_region_is_used_as_the_own_one(void **state)
{
	static const uint32_t slowness_pct[] = {100, 200, 300, 320, 340, 360};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(slowness_pct) / sizeof(slowness_pct[0]); i++) {
		enum bl_verdict verdicts[2];
		uint32_t far, full;

		for (full = 0; full < 2; full++) {
			for (far = 0; far < 2; far++) {
				struct bl_topology topology = {.count = 2};
				struct bl_pool *pool = bl_pool_create("p");
				struct bl_target *target =
				    bl_target_create("t");
				struct bl_load load = {.running = full ? 4 : 1,
				    .slots = 4,
				    .slowness_pct = slowness_pct[i]};
				struct bl_request request = {
				    .now_us = SECOND,
				    .objective_us = SECOND + 200 * MS,
				    .deadline_us = SECOND + 1000 * MS,
				    .may_wait = true,
				    .excluded_data_centres = far,
				};
				struct bl_placement out;

				topology.data_centres[0].same_region = true;
				target->slots = 4;
				target->data_centre = far;
				bl_pool_add(pool, target);
				bl_load_reported(target, &load, SECOND);
				bl_place(&topology, pool, &request, &out);
				verdicts[far] = out.verdict;
				bl_pool_free(pool);
			}
			if (verdicts[0] != verdicts[1])
				fail_msg("slowness %u, full %u: %d here, %d in "
					 "the other region",
				    slowness_pct[i], full, verdicts[0],
				    verdicts[1]);
		}
	}
}

/* The key of tenant i is "ki"; tenant 3 may be served anywhere. */
static void
add_tenants(struct rt_table *table)
{
	static const char *const regions[] = {"r0", "r2", "nowhere", NULL};
	uint32_t i;

	table->has_tenants = true;
	for (i = 0; i < 4; i++) {
		struct rt_tenant tenant = {
		    .homes.restricted = regions[i] != NULL};
		char key[] = {'k', (char)('0' + i), '\0'};

		memcpy(tenant.name, key, sizeof(key));
		if (regions[i] != NULL)
			tenant.homes.regions =
			    UINT64_C(1)
			    << rt_table_add_region(table, regions[i]);
		assert_int_equal(rt_table_add_tenant(table, &tenant), CS_OK);
		assert_int_equal(rt_table_add_key(table, i, key), CS_OK);
	}
}

/* A table whose routes are of pool "p", with one allowed set each. */
static struct rt_table *
make_table(void)
{
	static const struct {
		const char *prefix;
		const char *regions[2];
		bool restricted;
	} routes[] = {
	    {"/any/", {NULL}, false},
	    {"/r1/", {"r1"}, true},
	    {"/r1-r2/", {"r1", "r2"}, true},
	    {"/nowhere/", {"atlantis"}, true},
	    {"/none/", {NULL}, true},
	};
	struct rt_table *table = rt_table_create(2);
	struct rt_pool pool = {.name = "p"};
	size_t i, k;

	table->limits = (struct rt_limits){4096, 4096, 60000, 60000};
	rt_table_add_pool(table, &pool);
	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		struct rt_route route = {
		    .host = "h",
		    .prefix = routes[i].prefix,
		    .timeout_ms = 30000,
		    .attempts_max = 3,
		    .homes.restricted = routes[i].restricted,
		    .backend_count = 1,
		    .backends = {{.pool_name = "p", .weight = 1}},
		};

		for (k = 0; k < 2 && routes[i].regions[k] != NULL; k++)
			route.homes.regions |=
			    UINT64_C(1)
			    << rt_table_add_region(table, routes[i].regions[k]);
		assert_int_equal(rt_table_add_route(table, &route), CS_OK);
	}
	add_tenants(table);
	assert_int_equal(rt_table_finalise(table), CS_OK);
	return table;
}

struct home_case {
	const char *request;
	const char *status;
	const char *target; /* of the only or last attempt; NULL: none */
	uint32_t attempts;
	uint64_t evacuated;
	bool first_is_busy;
};

static const struct home_case home_cases[] = {
    {REQUEST_TO("/any/x"), "200", "t-0", 1, 0, false},
    {REQUEST_TO("/any/x"), "200", "t-1", 1, 5, false},
    {REQUEST_TO("/any/x"), "no_target", NULL, 0, 7, false},
    {REQUEST_TO("/r1/x"), "200", "t-1", 1, 0, false},
    {REQUEST_TO("/r1/x"), "no_target", NULL, 0, 2, false},
    /* The retry of a refused attempt has no other target. */
    {REQUEST_TO("/r1/x"), "no_target", "t-1", 1, 0, true},
    {REQUEST_TO("/r1-r2/x"), "200", NULL, 2, 0, true},
    {REQUEST_TO("/r1-r2/x"), "200", "t-2", 1, 2, false},
    {REQUEST_TO("/nowhere/x"), "no_region", NULL, 0, 0, false},
    {REQUEST_TO("/none/x"), "no_region", NULL, 0, 0, false},
    /* The tenant's restriction, and that of both. */
    {REQUEST_OF("k0", "/any/x"), "200", "t-0", 1, 0, false},
    {REQUEST_OF("k1", "/any/x"), "200", "t-2", 1, 0, false},
    {REQUEST_OF("k1", "/any/x"), "no_target", "t-2", 1, 0, true},
    {REQUEST_OF("k1", "/any/x"), "no_target", NULL, 0, 4, false},
    {REQUEST_OF("k1", "/r1-r2/x"), "200", "t-2", 1, 0, false},
    {REQUEST_OF("k0", "/r1/x"), "no_region", NULL, 0, 0, false},
    {REQUEST_OF("k2", "/any/x"), "no_region", NULL, 0, 0, false},
};

static void
test_attempts_keep_to_the_allowed_regions(void **state)
{
	static const struct rig_script scripts[] = {
	    {NOT_RUN_RESPONSE, RIG_KEEP, NULL, false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(home_cases) / sizeof(home_cases[0]); i++) {
		const struct home_case *row = &home_cases[i];
		struct rig_params params = {
		    .scripts = row->first_is_busy ? scripts : scripts + 1,
		    .script_count = row->first_is_busy ? 2 : 1,
		    .target_count = 3,
		    .with_table = true,
		    .timeout_ms = 30000,
		    .attempts_max = 3,
		    .many_regions = true,
		};
		struct rig *rig = rig_create(&params);
		struct rt_table *table = make_table();
		const char *response;

		gw_set_table(rig_gateway(rig), table);
		rt_table_unref(table);
		rig_topology(rig)->evacuated = row->evacuated;
		response = rig_ask(rig, row->request, strlen(row->request));
		if (strstr(response, row->status) == NULL)
			fail_msg("case %zu: %.300s", i, response);
		if (rig_requests(rig) != row->attempts)
			fail_msg("case %zu: %u attempts", i, rig_requests(rig));
		if (row->target != NULL &&
		    strstr(rig_last(rig), row->target) == NULL)
			fail_msg("case %zu: %.300s", i, rig_last(rig));
		rig_free(rig);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_placements_never_name_a_blocked_target),
	    cmocka_unit_test(test_refusal_waits_for_allowed_targets_only),
	    cmocka_unit_test(test_only_allowed_region_is_used_as_the_own_one),
	    cmocka_unit_test(test_attempts_keep_to_the_allowed_regions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
