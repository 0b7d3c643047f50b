/*
 * Control traffic of large fleets on virtual time. Without arguments it runs
 * the tests; "table" prints the bytes by type of frame and place of receiver.
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

#define UPDATES_PER_S 20

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
	       "%.1f / %.1f | %.1f |\n",
	    vms, phase, traffic->total[FW_SAME] / 1e3,
	    traffic->total[FW_OTHER] / 1e3, traffic->total[FW_REGION] / 1e3,
	    sum_of(traffic, FL_FRAME_HEARTBEAT),
	    sum_of(traffic, FL_FRAME_HELLO), sum_of(traffic, FL_FRAME_UPDATE),
	    acks / 1e3, traffic->busiest / 1e3, traffic->busiest_received / 1e3,
	    traffic->median / 1e3);
	fflush(stdout);
}

static void
run_updates(struct fw_world *world, int64_t for_us)
{
	int64_t end_us = world->now_us + for_us;

	while (world->now_us < end_us) {
		fw_change_target(world);
		fw_run(world, FW_SECOND / UPDATES_PER_S);
	}
}

static void
start_all(struct fw_world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		fw_start(world, i);
		fw_run(world, 300 * FW_MS / world->vm_count);
	}
}

static void
print_table(uint32_t vms)
{
	struct fw_world *world = fw_create(vms, 1);
	struct traffic traffic;

	start_all(world);
	fw_run(world, 5 * FW_SECOND - 300 * FW_MS);
	measure(world, 5, &traffic);
	print_traffic("all start, 5 s", vms, &traffic);
	fw_run(world, 5 * FW_SECOND);
	fw_reset_counters(world);
	fw_run(world, 20 * FW_SECOND);
	measure(world, 20, &traffic);
	print_traffic("idle", vms, &traffic);
	fw_reset_counters(world);
	run_updates(world, 10 * FW_SECOND);
	measure(world, 10, &traffic);
	print_traffic("20 updates/s", vms, &traffic);
	fw_free(world);
}

/* Every VM of a region hears every other one and has all objects. */
static void
expect_whole(const struct fw_world *world)
{
	uint32_t i, j;

	for (i = 0; i < world->vm_count; i++) {
		assert_int_equal(
		    os_cache_revision(world->vms[i].cache, 0), world->revision);
		for (j = 0; j < world->vm_count; j++) {
			if (i != j &&
			    world->vms[i].region == world->vms[j].region)
				assert_true(fw_lists(world, i, j));
		}
	}
}

/* A fleet that starts at once finds together, and updates reach all VMs. */
static void
test_all_start(void **state)
{
	struct fw_world *world = fw_create(100, 2);

	(void)state;
	start_all(world);
	fw_run(world, 5 * FW_SECOND);
	expect_whole(world);
	run_updates(world, 2 * FW_SECOND);
	fw_run(world, FW_SECOND);
	expect_whole(world);
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
	start_all(world);
	run_updates(world, 2 * FW_SECOND);
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

int
main(int argc, char **argv)
{
	static const uint32_t sizes[] = {30, 100, 300, 473};
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_all_start),
	    cmocka_unit_test(test_counters),
	};
	size_t i;

	if (argc > 1 && strcmp(argv[1], "table") == 0) {
		printf(
		    "KB a second, with headers.\n\n"
		    "| VMs | phase | same data centre | other | other region "
		    "| heartbeats | hellos | updates | TCP control "
		    "| busiest sends / receives | median sends |\n"
		    "| --- | --- | --- | --- | --- | --- | --- | --- | --- "
		    "| --- | --- |\n");
		for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
			print_table(sizes[i]);
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
