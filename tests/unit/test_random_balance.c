/*
 * Applies random events to a pool and to a cache of store objects, and checks
 * their invariants after each step. To run one seed:
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
#define SENT_REQUESTS_MAX 64
#define OBJECT_COUNT 20

static uint64_t only_seed;

struct sent_request {
	struct bl_target *target; /* holds a reference */
	int64_t started_us;
};

struct simulation {
	struct cs_random random;
	struct bl_topology topology;
	struct bl_pool *pool;
	struct sent_request sent_requests[SENT_REQUESTS_MAX];
	uint32_t sent_count;
	uint32_t targets_created; /* used to number their ids */
	int64_t now_us;
};

static struct bl_target *
random_target(struct simulation *simulation)
{
	struct bl_pool *pool = simulation->pool;

	return pool->count == 0 ? NULL
				: pool->targets[cs_random_below(
				      &simulation->random, pool->count)];
}

static void
add_target(struct simulation *simulation)
{
	struct bl_target *target;
	char id[16];

	if (simulation->pool->count == TARGETS_MAX)
		return;
	snprintf(id, sizeof(id), "t%u", simulation->targets_created++);
	target = bl_target_create(id);
	target->slots = 1 + cs_random_below(&simulation->random, 8);
	target->data_centre = cs_random_below(&simulation->random, 3);
	bl_pool_add(simulation->pool, target);
}

static void
change_target(struct simulation *simulation)
{
	struct bl_target *target = random_target(simulation);
	struct bl_load load = {
	    .running = cs_random_below(&simulation->random, 10),
	    .waiting = cs_random_below(&simulation->random, 5),
	    .slots = cs_random_below(&simulation->random, 9),
	    .slowness_pct = cs_random_below(&simulation->random, 900),
	};

	if (target == NULL)
		return;
	switch (cs_random_below(&simulation->random, 5)) {
	case 0:
		target->draining = !target->draining;
		break;
	case 1:
		bl_pool_remove(simulation->pool, target);
		break;
	case 2:
		target->probing = !target->probing;
		target->probe_sent_us = simulation->now_us;
		break;
	default:
		bl_load_reported(target, &load, simulation->now_us);
		break;
	}
}

static void
check_placement(const struct simulation *simulation,
    const struct bl_request *request, const struct bl_placement *out)
{
	uint32_t i;

	switch (out->verdict) {
	case BL_SEND:
		assert_non_null(out->target);
		assert_ptr_equal(out->target->pool, simulation->pool);
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
place_request(struct simulation *simulation)
{
	struct bl_request request = {
	    .now_us = simulation->now_us,
	    .objective_us = simulation->now_us +
			    cs_random_below(&simulation->random, 500000),
	    .deadline_us = simulation->now_us +
			   cs_random_below(&simulation->random, 2000000),
	    .may_probe = cs_random_below(&simulation->random, 2) == 0,
	    .probes_pending = cs_random_below(&simulation->random, 8) == 0,
	    .may_wait = cs_random_below(&simulation->random, 2) == 0,
	    .tie_breaker = cs_random_next(&simulation->random),
	};
	struct bl_placement out;

	if (cs_random_below(&simulation->random, 3) == 0)
		request.tried[request.tried_count++] =
		    random_target(simulation);
	bl_place(&simulation->topology, simulation->pool, &request, &out);
	check_placement(simulation, &request, &out);
	if (out.verdict != BL_SEND ||
	    simulation->sent_count == SENT_REQUESTS_MAX)
		return;
	cs_ref_take(&out.target->ref);
	bl_request_started(out.target, simulation->now_us);
	simulation->sent_requests[simulation->sent_count++] =
	    (struct sent_request){
		.target = out.target, .started_us = simulation->now_us};
}

static void
end_request(struct simulation *simulation)
{
	uint32_t position;
	struct sent_request sent_request;

	if (simulation->sent_count == 0)
		return;
	position = cs_random_below(&simulation->random, simulation->sent_count);
	sent_request = simulation->sent_requests[position];
	simulation->sent_requests[position] =
	    simulation->sent_requests[--simulation->sent_count];
	bl_request_ended(sent_request.target,
	    (enum bl_outcome)cs_random_below(
		&simulation->random, BL_CANCELLED + 1),
	    simulation->now_us - sent_request.started_us, simulation->now_us);
	bl_target_unref(sent_request.target);
}

static void
check_pool(const struct simulation *simulation)
{
	uint32_t in_flight = 0, i;

	for (i = 0; i < simulation->pool->count; i++) {
		const struct bl_target *target = simulation->pool->targets[i];

		in_flight += target->in_flight;
		assert_true(
		    target->failure_rate >= 0 && target->failure_rate <= 1);
		assert_true(target->slowness > 0);
		assert_true(isfinite(target->slowness));
		assert_true(target->slots > 0);
	}
	assert_true(in_flight <= simulation->sent_count);
	assert_true(simulation->pool->service_time_us > 0);
	assert_true(isfinite(simulation->pool->service_time_us));
	assert_true(isfinite(simulation->pool->mean_slowness));
	assert_true(isfinite(simulation->pool->mean_other_per_slot));
}

static void
run_pool_steps(uint64_t seed)
{
	static struct simulation simulation;
	uint32_t step;

	simulation = (struct simulation){.now_us = 1000000};
	cs_random_seed(&simulation.random, seed);
	simulation.topology.count = 3;
	simulation.topology.data_centres[0].same_region =
	    simulation.topology.data_centres[1].same_region = true;
	simulation.topology.data_centres[2].rtt_us = 26000;
	simulation.pool = bl_pool_create("p");
	for (step = 0; step < STEPS; step++) {
		simulation.now_us += cs_random_below(&simulation.random, 20000);
		switch (cs_random_below(&simulation.random, 6)) {
		case 0:
			add_target(&simulation);
			break;
		case 1:
			change_target(&simulation);
			break;
		case 2:
		case 3:
			place_request(&simulation);
			break;
		default:
			end_request(&simulation);
			break;
		}
		check_pool(&simulation);
	}
	while (simulation.sent_count > 0)
		end_request(&simulation);
	bl_pool_free(simulation.pool);
}

static void
test_pool_invariants_hold_in_random_order(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		uint64_t used_seed = only_seed != 0 ? only_seed : seed;

		print_message("seed %llu\n", (unsigned long long)used_seed);
		run_pool_steps(used_seed);
	}
}

/* State of the store: the last revision of each object, 0 when deleted. */
struct store_state {
	uint64_t revisions[OBJECT_COUNT];
	uint64_t
	    changed[OBJECT_COUNT]; /* revision of the last change or deletion */
	uint64_t revision;
};

static struct os_change
make_change(uint32_t name, uint64_t revision, bool deleted)
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

/* Brings another VM's cache up to date, as updates between VMs do. */
static void
apply_missing_changes(struct os_cache *follower, const struct os_cache *cache)
{
	struct os_batch changes, out;
	bool snapshot;

	os_cache_changes_since(
	    cache, 0, os_cache_revision(follower, 0), &changes, &snapshot);
	if (snapshot)
		os_cache_apply_snapshot(follower, 0, &changes, &out);
	else
		os_cache_apply_changes(follower, 0, &changes, &out);
	free(out.changes);
	free(changes.changes);
}

/*
 * Applies late, duplicate and stale updates: the revision of the cache never
 * decreases.
 */
static void
run_cache_steps(uint64_t seed)
{
	struct os_cache *cache = os_cache_create();
	struct os_cache *follower = os_cache_create(); /* updated less often */
	struct store_state store_state = {.revision = 1};
	struct cs_random random;
	uint64_t known_revision = 0;
	uint32_t step;

	cs_random_seed(&random, seed);
	for (step = 0; step < STEPS / 10; step++) {
		uint32_t name = cs_random_below(&random, OBJECT_COUNT), i,
			 count = 0;
		struct os_change changes[OBJECT_COUNT];
		struct os_batch batch = {.changes = changes}, out;
		bool snapshot = cs_random_below(&random, 4) == 0;

		store_state.revision++;
		store_state.changed[name] = store_state.revision;
		store_state.revisions[name] =
		    cs_random_below(&random, 3) == 0 ? 0 : store_state.revision;
		for (i = 0; i < OBJECT_COUNT; i++) {
			if (snapshot && store_state.revisions[i] != 0)
				changes[count++] = make_change(
				    i, store_state.revisions[i], false);
			else if (!snapshot &&
				 store_state.changed[i] > known_revision)
				changes[count++] =
				    make_change(i, store_state.changed[i],
					store_state.revisions[i] == 0);
		}
		batch.count = count;
		batch.revision = store_state.revision;
		if (known_revision == 0 || snapshot) {
			if (!snapshot)
				continue; /* the first update is a snapshot */
			assert_int_equal(
			    os_cache_apply_snapshot(cache, 0, &batch, &out),
			    CS_OK);
		} else {
			assert_int_equal(
			    os_cache_apply_changes(cache, 0, &batch, &out),
			    CS_OK);
		}
		free(out.changes);
		assert_true(os_cache_revision(cache, 0) >= known_revision);
		known_revision = os_cache_revision(cache, 0);
		/* The same changes again have no effect. */
		if (!snapshot) {
			os_cache_apply_changes(cache, 0, &batch, &out);
			assert_int_equal(out.count, 0);
			free(out.changes);
		}
		/* A receiver without data gets all existing objects. */
		for (i = 0, count = 0; i < OBJECT_COUNT; i++)
			count += store_state.revisions[i] != 0;
		assert_int_equal(count_objects(cache), count);
		if (cs_random_below(&random, 3) != 0)
			continue;
		apply_missing_changes(follower, cache);
		assert_int_equal(count_objects(follower), count);
	}
	os_cache_free(follower);
	os_cache_free(cache);
}

static void
test_cache_matches_store_after_random_changes(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++)
		run_cache_steps(only_seed != 0 ? only_seed : seed);
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_pool_invariants_hold_in_random_order),
	    cmocka_unit_test(test_cache_matches_store_after_random_changes),
	};

	only_seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 0;
	return cmocka_run_group_tests(tests, NULL, NULL);
}
