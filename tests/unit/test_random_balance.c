/*
 * Random orders of what happens to a pool and to a cache of the store's
 *objects, checked after each step for what must always hold. A seed alone:
 *	test_random_balance SEED
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"
#include "../../lib/store/cache.h"

#define STEPS 200000
#define SEEDS 5
#define TARGETS_MAX 12
#define FLIGHTS_MAX 64
#define NAMES 20

static uint64_t only_seed;

struct flight {
	struct bl_target *target; /* holds a reference */
	int64_t started_us;
};

struct world {
	struct cs_random random;
	struct bl_topology topology;
	struct bl_pool *pool;
	struct flight flights[FLIGHTS_MAX];
	uint32_t flying;
	uint32_t born; /* targets so far */
	int64_t now_us;
};

static struct bl_target *
any_target(struct world *world)
{
	struct bl_pool *pool = world->pool;

	return pool->count == 0 ? NULL
				: pool->targets[cs_random_below(
				      &world->random, pool->count)];
}

static void
add_target(struct world *world)
{
	struct bl_target *target;
	char id[16];

	if (world->pool->count == TARGETS_MAX)
		return;
	snprintf(id, sizeof(id), "t%u", world->born++);
	target = bl_target_create(id);
	target->slots = 1 + cs_random_below(&world->random, 8);
	target->data_centre = cs_random_below(&world->random, 3);
	bl_pool_add(world->pool, target);
}

static void
change_target(struct world *world)
{
	struct bl_target *target = any_target(world);
	struct bl_load load = {
	    .running = cs_random_below(&world->random, 10),
	    .waiting = cs_random_below(&world->random, 5),
	    .slots = cs_random_below(&world->random, 9),
	    .slowness_pct = cs_random_below(&world->random, 900),
	};

	if (target == NULL)
		return;
	switch (cs_random_below(&world->random, 5)) {
	case 0:
		target->draining = !target->draining;
		break;
	case 1:
		bl_pool_remove(world->pool, target);
		break;
	case 2:
		target->probing = !target->probing;
		target->probe_sent_us = world->now_us;
		break;
	default:
		bl_load_reported(target, &load, world->now_us);
		break;
	}
}

static void
check_placement(const struct world *world, const struct bl_request *request,
    const struct bl_placement *out)
{
	uint32_t i;

	switch (out->verdict) {
	case BL_SEND:
		assert_non_null(out->target);
		assert_ptr_equal(out->target->pool, world->pool);
		assert_false(out->target->draining);
		for (i = 0; i < request->tried_count; i++)
			assert_ptr_not_equal(request->tried[i], out->target);
		assert_true(
		    request->now_us + out->expected_us <= request->deadline_us);
		break;
	case BL_PROBE:
		assert_true(request->may_probe || request->probes_pending);
		assert_true(out->probe_count <= BL_PROBES_MAX);
		for (i = 0; i < out->probe_count; i++)
			assert_false(out->probes[i]->draining);
		break;
	case BL_WAIT:
		assert_true(request->may_wait);
		break;
	case BL_REFUSE:
		assert_true(out->retry_after_us > 0);
		assert_true(out->retry_after_us <= 3000000);
		break;
	}
}

static void
place(struct world *world)
{
	struct bl_request request = {
	    .now_us = world->now_us,
	    .objective_us =
		world->now_us + cs_random_below(&world->random, 500000),
	    .deadline_us =
		world->now_us + cs_random_below(&world->random, 2000000),
	    .may_probe = cs_random_below(&world->random, 2) == 0,
	    .probes_pending = cs_random_below(&world->random, 8) == 0,
	    .may_wait = cs_random_below(&world->random, 2) == 0,
	    .tie_breaker = cs_random_next(&world->random),
	};
	struct bl_placement out;

	if (cs_random_below(&world->random, 3) == 0)
		request.tried[request.tried_count++] = any_target(world);
	bl_place(&world->topology, world->pool, &request, &out);
	check_placement(world, &request, &out);
	if (out.verdict != BL_SEND || world->flying == FLIGHTS_MAX)
		return;
	cs_ref_take(&out.target->ref);
	bl_request_started(out.target, world->now_us);
	world->flights[world->flying++] =
	    (struct flight){.target = out.target, .started_us = world->now_us};
}

static void
end_flight(struct world *world)
{
	uint32_t number;
	struct flight flight;

	if (world->flying == 0)
		return;
	number = cs_random_below(&world->random, world->flying);
	flight = world->flights[number];
	world->flights[number] = world->flights[--world->flying];
	bl_request_ended(flight.target,
	    (enum bl_outcome)cs_random_below(&world->random, BL_CANCELLED + 1),
	    world->now_us - flight.started_us, world->now_us);
	bl_target_unref(flight.target);
}

static void
check_pool(const struct world *world)
{
	uint32_t in_flight = 0, i;

	for (i = 0; i < world->pool->count; i++) {
		const struct bl_target *target = world->pool->targets[i];

		in_flight += target->in_flight;
		assert_true(
		    target->failure_rate >= 0 && target->failure_rate <= 1);
		assert_true(target->slowness > 0);
		assert_true(isfinite(target->slowness));
		assert_true(target->slots > 0);
	}
	assert_true(in_flight <= world->flying);
	assert_true(world->pool->service_time_us > 0);
	assert_true(isfinite(world->pool->service_time_us));
	assert_true(isfinite(world->pool->mean_slowness));
	assert_true(isfinite(world->pool->mean_other_per_slot));
}

static void
play_pool(uint64_t seed)
{
	static struct world world;
	uint32_t step;

	world = (struct world){.now_us = 1000000};
	cs_random_seed(&world.random, seed);
	world.topology.count = 3;
	world.topology.data_centres[0].same_region =
	    world.topology.data_centres[1].same_region = true;
	world.topology.data_centres[2].rtt_us = 26000;
	world.pool = bl_pool_create("p");
	for (step = 0; step < STEPS; step++) {
		world.now_us += cs_random_below(&world.random, 20000);
		switch (cs_random_below(&world.random, 6)) {
		case 0:
			add_target(&world);
			break;
		case 1:
			change_target(&world);
			break;
		case 2:
		case 3:
			place(&world);
			break;
		default:
			end_flight(&world);
			break;
		}
		check_pool(&world);
	}
	while (world.flying > 0)
		end_flight(&world);
	bl_pool_free(world.pool);
}

static void
test_pool(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		uint64_t played = only_seed != 0 ? only_seed : seed;

		print_message("seed %llu\n", (unsigned long long)played);
		play_pool(played);
	}
}

/* The store itself: the newest revision of each name, 0 when it is gone. */
struct truth {
	uint64_t revisions[NAMES];
	uint64_t changed[NAMES]; /* of the last change, removals too */
	uint64_t revision;
};

static struct os_change
object(uint32_t name, uint64_t revision, bool deleted)
{
	struct os_change change = {.revision = revision,
	    .deleted = deleted,
	    .text = "{}",
	    .text_length = 2};

	snprintf(change.name, sizeof(change.name), "o%u", name);
	return change;
}

static uint32_t
count_objects(const struct os_cache *cache)
{
	struct os_batch out;
	bool snapshot;
	uint32_t count;

	os_cache_changes_since(cache, 0, 0, &out, &snapshot);
	assert_true(snapshot);
	count = out.count;
	free(out.changes);
	return count;
}

/* Brings another VM's cache up to date, as news does. */
static void
catch_up(struct os_cache *behind, const struct os_cache *cache)
{
	struct os_batch changes, out;
	bool snapshot;

	os_cache_changes_since(
	    cache, 0, os_cache_revision(behind, 0), &changes, &snapshot);
	if (snapshot)
		os_cache_apply_snapshot(behind, 0, &changes, &out);
	else
		os_cache_apply_changes(behind, 0, &changes, &out);
	free(out.changes);
	free(changes.changes);
}

/* Late, doubled and stale news: what is known is never behind what was. */
static void
play_cache(uint64_t seed)
{
	struct os_cache *cache = os_cache_create();
	struct os_cache *behind = os_cache_create(); /* hears less often */
	struct truth truth = {.revision = 1};
	struct cs_random random;
	uint64_t known = 0;
	uint32_t step;

	cs_random_seed(&random, seed);
	for (step = 0; step < STEPS / 10; step++) {
		uint32_t name = cs_random_below(&random, NAMES), i, count = 0;
		struct os_change changes[NAMES];
		struct os_batch batch = {.changes = changes}, out;
		bool snapshot = cs_random_below(&random, 4) == 0;

		truth.revision++;
		truth.changed[name] = truth.revision;
		truth.revisions[name] =
		    cs_random_below(&random, 3) == 0 ? 0 : truth.revision;
		for (i = 0; i < NAMES; i++) {
			if (snapshot && truth.revisions[i] != 0)
				changes[count++] =
				    object(i, truth.revisions[i], false);
			else if (!snapshot && truth.changed[i] > known)
				changes[count++] = object(i, truth.changed[i],
				    truth.revisions[i] == 0);
		}
		batch.count = count;
		batch.revision = truth.revision;
		if (known == 0 || snapshot) {
			if (!snapshot)
				continue; /* the first news is a snapshot */
			assert_int_equal(
			    os_cache_apply_snapshot(cache, 0, &batch, &out),
			    CS_OK);
		} else {
			assert_int_equal(
			    os_cache_apply_changes(cache, 0, &batch, &out),
			    CS_OK);
		}
		free(out.changes);
		assert_true(os_cache_revision(cache, 0) >= known);
		known = os_cache_revision(cache, 0);
		/* The same again is no news. */
		if (!snapshot) {
			os_cache_apply_changes(cache, 0, &batch, &out);
			assert_int_equal(out.count, 0);
			free(out.changes);
		}
		/* One who knows nothing gets what there is. */
		for (i = 0, count = 0; i < NAMES; i++)
			count += truth.revisions[i] != 0;
		assert_int_equal(count_objects(cache), count);
		if (cs_random_below(&random, 3) != 0)
			continue;
		catch_up(behind, cache);
		assert_int_equal(count_objects(behind), count);
	}
	os_cache_free(behind);
	os_cache_free(cache);
}

static void
test_cache(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		play_cache(only_seed != 0 ? only_seed : seed);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_pool),
	    cmocka_unit_test(test_cache),
	};

	only_seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 0;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
