/*
 * Control traffic of large fleets on virtual time. Without arguments it runs
 * the tests; "table" prints the bytes by type of frame and place of receiver,
 * "table before" those of a fleet without relays and reports.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fleet_world.h"

/* Bytes of a phase, with headers. */
struct traffic {
	double by_type[FL_FRAME_TYPES][FW_WHERES];
	double acks[FW_WHERES];
	double total[FW_WHERES];
	double busiest, median, busiest_received;
	double datagrams;
	uint32_t busiest_vm;
};

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void
measure(const struct fw_world *world, double seconds, struct traffic *out)
{
	double sent[FW_VMS_MAX] = {0};
	uint32_t vm, type, where;

	memset(out, 0, sizeof(*out));
	for (vm = 0; vm < world->vm_count; vm++) {
		const struct fw_vm *one = &world->vms[vm];
		double received = (double)one->received_bytes / seconds;

		for (where = 0; where < FW_WHERES; where++) {
			double bytes = (double)one->ack_bytes[where];

			out->acks[where] += bytes / seconds;
			for (type = 0; type < FL_FRAME_TYPES; type++) {
				bytes += (double)one->sent_bytes[type][where];
				out->by_type[type][where] +=
				    (double)one->sent_bytes[type][where] /
				    seconds;
			}
			out->total[where] += bytes / seconds;
			sent[vm] += bytes / seconds;
		}
		out->datagrams += (double)one->datagrams / seconds;
		if (sent[vm] > out->busiest) {
			out->busiest = sent[vm];
			out->busiest_vm = vm;
		}
		if (received > out->busiest_received)
			out->busiest_received = received;
	}
	qsort(sent, world->vm_count, sizeof(sent[0]), compare_doubles);
	out->median = sent[world->vm_count / 2];
}

/* KB a second of a type of frame, to all places. */
static double
sum_of(const struct traffic *traffic, enum fl_frame_type type)
{
	const double *row = traffic->by_type[type];

	return (row[FW_SAME] + row[FW_OTHER] + row[FW_REGION]) / 1e3;
}

static void
print_traffic(const char *phase, uint32_t vms, const struct traffic *traffic)
{
	uint32_t where;
	double acks = 0;

	for (where = 0; where < FW_WHERES; where++)
		acks += traffic->acks[where];
	printf("| %u | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | "
	       "%.1f | "
	       "%.1f / %.1f | %.1f |\n",
	    vms, phase, traffic->total[FW_SAME] / 1e3,
	    traffic->total[FW_OTHER] / 1e3, traffic->total[FW_REGION] / 1e3,
	    sum_of(traffic, FL_FRAME_HEARTBEAT),
	    sum_of(traffic, FL_FRAME_REPORT) +
		sum_of(traffic, FL_FRAME_ROSTER_REQUEST),
	    sum_of(traffic, FL_FRAME_HELLO), sum_of(traffic, FL_FRAME_UPDATE),
	    acks / 1e3, traffic->busiest / 1e3, traffic->busiest_received / 1e3,
	    traffic->median / 1e3);
	fflush(stdout);
}

static void
clear_all_features(uint32_t vm, struct fl_params *params)
{
	(void)vm;
	params->self.features = 0;
}

/* The share of VMs that have objects, and of pairs that hear each other. */
static void
look_at_start(const struct fw_world *world, double *ready, double *heard)
{
	uint32_t a, b, pairs = 0, hears = 0, has = 0;

	for (a = 0; a < world->vm_count; a++) {
		has += os_cache_revision(world->vms[a].cache, 0) != 0;
		for (b = a % FW_REGIONS; b < world->vm_count; b += FW_REGIONS) {
			if (a == b)
				continue;
			pairs++;
			hears += fw_hears(world, a, b);
		}
	}
	*ready = (double)has / world->vm_count;
	*heard = (double)hears / pairs;
}

/* Prints when after the start of the last VM 95 % and all are there. */
static void
print_start(struct fw_world *world)
{
	double ready_s[2] = {-1, -1}, heard_s[2] = {-1, -1}, ready, heard;
	double limits[2] = {.95, 1};
	uint32_t step, i;

	for (step = 0; step < 47; step++) {
		look_at_start(world, &ready, &heard);
		for (i = 0; i < 2; i++) {
			if (ready >= limits[i] && ready_s[i] < 0)
				ready_s[i] = step * .1;
			if (heard >= limits[i] && heard_s[i] < 0)
				heard_s[i] = step * .1;
		}
		fw_run(world, 100 * FW_MS);
	}
	fprintf(stderr,
	    "%u VMs: 95 %% and all have objects after %.1f, %.1f s, hear each "
	    "other after %.1f, %.1f s\n",
	    world->vm_count, ready_s[0], ready_s[1], heard_s[0], heard_s[1]);
}

static void
print_table(uint32_t vms, bool before)
{
	struct fw_world *world = fw_create(vms, 1);
	struct traffic traffic;

	if (before)
		world->on_params = clear_all_features;
	fw_start_all(world);
	print_start(world);
	measure(world, 5, &traffic);
	print_traffic("all start, 5 s", vms, &traffic);
	fw_run(world, 5 * FW_SECOND);
	fw_reset_counters(world);
	fw_run(world, 20 * FW_SECOND);
	measure(world, 20, &traffic);
	print_traffic("idle", vms, &traffic);
	fw_reset_counters(world);
	fw_run_updates(world, 10 * FW_SECOND);
	measure(world, 10, &traffic);
	print_traffic("20 updates/s", vms, &traffic);
	fw_free(world);
}

/* A fleet that starts at once finds together, and updates reach all VMs. */
static void
test_all_start(void **state)
{
	struct fw_world *world = fw_create(100, 2);

	(void)state;
	fw_start_all(world);
	fw_run(world, 5 * FW_SECOND);
	fw_expect_whole(world);
	fw_run_updates(world, 2 * FW_SECOND);
	fw_run(world, FW_SECOND);
	fw_expect_whole(world);
	fw_free(world);
}

/* The counters in the metrics miss no byte, and place the receivers rightly. */
static void
test_counters(void **state)
{
	struct fw_world *world = fw_create(60, 3);
	uint64_t counted[FL_PLACES] = {0}, sent[FW_WHERES] = {0};
	uint32_t vm, type, place;

	(void)state;
	fw_start_all(world);
	fw_run_updates(world, 2 * FW_SECOND);
	for (vm = 0; vm < world->vm_count; vm++) {
		const struct fl_counters *counters =
		    fl_get_counters(world->vms[vm].fleet);

		for (type = 0; type < FL_FRAME_TYPES; type++) {
			bool is_tcp = type == FL_FRAME_UPDATE ||
				      type == FL_FRAME_SUBSCRIBE;

			for (place = 0; place < FL_PLACES; place++)
				counted[place] +=
				    is_tcp ? 0
					   : counters->sent[type][place].bytes +
						 FW_UDP_HEADER_BYTES *
						     counters->sent[type][place]
							 .frames;
			for (place = 0; place < FW_WHERES; place++)
				sent[place] +=
				    is_tcp ? 0
					   : world->vms[vm]
						 .sent_bytes[type][place];
		}
		assert_int_equal(
		    counters->sent[FL_FRAME_UPDATE][FL_PLACE_UNKNOWN].frames,
		    0);
	}
	assert_int_equal(
	    counted[FL_PLACE_DATA_CENTRE] + counted[FL_PLACE_REGION] +
		counted[FL_PLACE_OTHER_REGION] + counted[FL_PLACE_UNKNOWN],
	    sent[FW_SAME] + sent[FW_OTHER] + sent[FW_REGION]);
	/* Only the first hellos go to nodes whose place is not known. */
	assert_true(counted[FL_PLACE_REGION] > sent[FW_OTHER] * 8 / 10);
	assert_true(counted[FL_PLACE_REGION] <= sent[FW_OTHER]);
	assert_true(counted[FL_PLACE_DATA_CENTRE] <= sent[FW_SAME]);
	fw_free(world);
}

/*
 * Returns the longest time that a VM which runs lacked an update, but for the
 * given VMs.
 */
static int64_t
find_longest_lag(struct fw_world *world, int64_t for_us, const uint32_t *except,
    uint32_t except_count)
{
	int64_t end_us = world->now_us + for_us, longest_us = 0;
	uint32_t vm, i;

	while (world->now_us < end_us) {
		fw_change_target(world);
		fw_run(world, FW_SECOND / FW_UPDATES_PER_S);
		for (vm = 0; vm < world->vm_count; vm++) {
			int64_t lag_us;

			for (i = 0; i < except_count && except[i] != vm; i++)
				;
			if (i < except_count || !fw_runs(world, vm))
				continue;
			lag_us = fw_lag(world, vm);
			if (lag_us > longest_us)
				longest_us = lag_us;
		}
	}
	return longest_us;
}

#define FEW_MS (100 * FW_MS)
/* Silence of a relay, the next tick, and reading what was missed. */
#define RELAY_LOST_MAX (2500 * FW_MS)
/* 1.3 s of silence, turns, and a list. */
#define LEADER_LOST_MAX (3 * FW_SECOND)
#define RELAYS 4 /* at the top of the tree of a data centre */

/* No update waits when nothing fails, also where datagrams get lost. */
static void
test_relays_forward(void **state)
{
	struct fw_world *world = fw_run_large_fleet(150, 4);

	(void)state;
	assert_in_range(
	    find_longest_lag(world, 5 * FW_SECOND, NULL, 0), 0, FEW_MS);
	world->loss = 0.05;
	assert_in_range(find_longest_lag(world, 10 * FW_SECOND, NULL, 0), 0,
	    RELAY_LOST_MAX);
	world->loss = 0;
	fw_run(world, 3 * FW_SECOND);
	fw_expect_whole(world);
	fw_free(world);
}

/* The relays of a data centre lose power, or freeze, all at the same moment. */
static void
test_relays_fail(void **state)
{
	uint32_t relays[RELAYS], round, i;

	(void)state;
	for (round = 0; round < 2; round++) {
		struct fw_world *world = fw_run_large_fleet(150, 5 + round);

		assert_int_equal(
		    fw_find_first(world, 1, 2, relays, RELAYS), RELAYS);
		for (i = 0; i < RELAYS; i++) {
			if (round == 0)
				fw_kill(world, relays[i]);
			else
				fw_freeze(world, relays[i], 6 * FW_SECOND);
		}
		/* Those that freeze are behind when they wake. */
		assert_in_range(
		    find_longest_lag(world, 9 * FW_SECOND, relays, RELAYS), 0,
		    RELAY_LOST_MAX);
		assert_in_range(find_longest_lag(world, 2 * FW_SECOND, NULL, 0),
		    0, round == 0 ? FEW_MS : RELAY_LOST_MAX);
		fw_free(world);
	}
}

/* The first relay gets nothing from the leader, or its followers from it. */
static void
test_relay_is_cut_off_in_one_direction(void **state)
{
	uint32_t relay, round, vm;

	(void)state;
	for (round = 0; round < 2; round++) {
		struct fw_world *world = fw_run_large_fleet(150, 7 + round);
		uint32_t leader = fw_find_leader(world, 1),
			 data_centre = (world->vms[leader].data_centre + 1) %
				       FW_DATA_CENTRES;

		fw_find_first(world, 1, data_centre, &relay, 1);
		for (vm = 1; vm < world->vm_count; vm += FW_REGIONS) {
			if (round == 0 && vm == leader)
				world->cut[vm][relay] = true;
			if (round == 1 && vm != leader && vm != relay)
				world->cut[relay][vm] = true;
		}
		assert_in_range(
		    find_longest_lag(world, 10 * FW_SECOND, &relay, 1), 0,
		    RELAY_LOST_MAX);
		fw_free(world);
	}
}

/* The leader loses power: the next one and its relays lack no update. */
static void
test_leader_fails(void **state)
{
	struct fw_world *world = fw_run_large_fleet(150, 9);

	(void)state;
	fw_kill(world, fw_find_leader(world, 2));
	/* As in small regions: 1.3 s of silence, turns, and a list. */
	assert_in_range(
	    find_longest_lag(world, 8 * FW_SECOND, NULL, 0), 0, 3 * FW_SECOND);
	fw_free(world);
}

/*
 * The leader, alone or with its data centre, is cut off from one of the other
 * data centres, in both directions or in one. The third one hears both, but
 * what it tells of the leader brings no updates: the data centre finds a leader
 * that reaches it.
 */
static void
test_leader_is_cut_off_from_a_data_centre(void **state)
{
	uint32_t round, a, b;

	(void)state;
	for (round = 0; round < 4; round++) {
		struct fw_world *world = fw_run_large_fleet(150, 20 + round);
		uint32_t leader = fw_find_leader(world, 1),
			 near = world->vms[leader].data_centre,
			 far = (near + 1) % FW_DATA_CENTRES;

		for (a = 1; a < world->vm_count; a += FW_REGIONS) {
			if (round % 2 == 0 ? a != leader
					   : !fw_is_in(world, a, 1, near))
				continue;
			for (b = 1; b < world->vm_count; b += FW_REGIONS) {
				if (!fw_is_in(world, b, 1, far))
					continue;
				world->cut[a][b] = true;
				world->cut[b][a] = round < 2;
			}
		}
		assert_in_range(
		    find_longest_lag(world, 12 * FW_SECOND, NULL, 0), 0,
		    LEADER_LOST_MAX);
		fw_free(world);
	}
}

/* Every second VM is of a build that follows the leader only. */
static void
test_relays_in_a_mixed_fleet(void **state)
{
	struct fw_world *world = fw_create(150, 10);

	(void)state;
	world->on_params = fw_clear_features;
	fw_start_all(world);
	fw_run(world, 10 * FW_SECOND);
	assert_in_range(
	    find_longest_lag(world, 5 * FW_SECOND, NULL, 0), 0, FEW_MS);
	fw_expect_whole(world);
	fw_free(world);
}

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = {30, 100, 300, 473};
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_start),
	    cmocka_unit_test(test_counters),
	    cmocka_unit_test(test_relays_forward),
	    cmocka_unit_test(test_relays_fail),
	    cmocka_unit_test(test_relay_is_cut_off_in_one_direction),
	    cmocka_unit_test(test_leader_fails),
	    cmocka_unit_test(test_leader_is_cut_off_from_a_data_centre),
	    cmocka_unit_test(test_relays_in_a_mixed_fleet),
	};
	size_t i;

	if (argc > 1 && strcmp(argv[1], "table") == 0) {
		printf(
		    "KB a second, with headers.\n\n"
		    "| VMs | phase | same data centre | other | other region "
		    "| heartbeats | reports | hellos | updates | TCP control "
		    "| busiest sends / receives | median sends |\n"
		    "| --- | --- | --- | --- | --- | --- | --- | --- | --- "
		    "| --- | --- | --- |\n");
		for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
			print_table(sizes[i],
			    argc > 2 && strcmp(argv[2], "before") == 0);
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
