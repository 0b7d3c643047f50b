/* Members and roles on virtual time; frames with good and bad bytes. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/fleet/fleet.h"

#define VMS 5
#define TICK_US 100000
#define HEARTBEAT_TICKS 4

/* A region of VMs whose heartbeats arrive unless a test cuts them. */
struct region {
	struct fl_members vms[VMS];
	enum fl_role roles[VMS];
	bool dead[VMS]; /* process is gone or frozen */
	bool away[VMS]; /* the store refuses this VM */
	int64_t now_us;
	uint32_t ticks;
};

static struct fl_member
member(uint32_t number)
{
	struct fl_member one = {
	    .boot = number + 1, .near = true, .ready = true};

	snprintf(one.name, sizeof(one.name), "vm-%u", number);
	one.fleet.sin_family = AF_INET;
	one.fleet.sin_port = htons((uint16_t)(7000 + number));
	one.front = one.fleet;
	return one;
}

static void
send_heartbeats(struct region *region, uint32_t from)
{
	uint32_t to;

	for (to = 0; to < VMS; to++) {
		if (to != from && !region->dead[to])
			fl_members_heard(&region->vms[to],
			    &region->vms[from].self, region->now_us);
	}
}

static void
tick(struct region *region)
{
	const struct fl_member *leader;
	uint32_t i;

	region->now_us += TICK_US;
	region->ticks++;
	for (i = 0; i < VMS; i++) {
		if (region->dead[i])
			continue;
		if (region->ticks % HEARTBEAT_TICKS == 0)
			send_heartbeats(region, i);
		region->roles[i] =
		    fl_members_tick(&region->vms[i], region->now_us, &leader);
		region->vms[i].self.current =
		    region->roles[i] == FL_WATCH && !region->away[i];
	}
}

static void
run(struct region *region, int64_t for_us)
{
	int64_t end_us = region->now_us + for_us;

	while (region->now_us < end_us)
		tick(region);
}

static void
set_up(struct region *region)
{
	uint32_t i;

	*region = (struct region){.now_us = 1000000};
	for (i = 0; i < VMS; i++) {
		struct fl_member self = member(i);

		fl_members_init(&region->vms[i], &self, region->now_us);
	}
}

static void
tear_down(struct region *region)
{
	uint32_t i;

	for (i = 0; i < VMS; i++)
		fl_members_free(&region->vms[i]);
}

static uint32_t
watchers(const struct region *region)
{
	uint32_t i, count = 0;

	for (i = 0; i < VMS; i++)
		count += !region->dead[i] && region->roles[i] == FL_WATCH;
	return count;
}

static int
current(const struct region *region)
{
	uint32_t i;

	for (i = 0; i < VMS; i++) {
		if (!region->dead[i] && region->vms[i].self.current)
			return (int)i;
	}
	return -1;
}

/* All start at once: one follows the store, the others listen. */
static void
test_one_watcher(void **state)
{
	struct region region;

	(void)state;
	set_up(&region);
	run(&region, 6000000);
	assert_int_equal(watchers(&region), 1);
	assert_true(current(&region) >= 0);
	tear_down(&region);
}

/* The follower dies, freezes or loses the store: another one is current soon.
 */
static void
test_takeover(void **state)
{
	int round;

	(void)state;
	for (round = 0; round < 2; round++) {
		struct region region;
		int first;

		set_up(&region);
		run(&region, 6000000);
		first = current(&region);
		if (round == 0)
			region.dead[first] = true;
		else
			region.away[first] = true;
		run(&region, 1900000);
		assert_true(current(&region) >= 0);
		assert_int_not_equal(current(&region), first);
		region.dead[first] = region.away[first] = false;
		run(&region, 8000000);
		assert_int_equal(watchers(&region), 1);
		tear_down(&region);
	}
}

/* The follower lists anew for a moment: nobody else begins to follow. */
static void
test_short_gap(void **state)
{
	struct region region;
	struct fl_member self;
	int first, second;

	uint32_t i;

	(void)state;
	set_up(&region);
	run(&region, 6000000);
	first = current(&region);
	region.dead[first] = true;
	run(&region, 4000000);
	second = current(&region);
	/* Restarted, it ranks before the one that follows now. */
	self = member((uint32_t)first);
	fl_members_free(&region.vms[first]);
	fl_members_init(&region.vms[first], &self, region.now_us);
	region.dead[first] = false;

	run(&region, 4000000);
	assert_int_equal(current(&region), second);
	region.away[second] = true;
	tick(&region);
	send_heartbeats(&region, (uint32_t)second);
	region.away[second] = false;
	tick(&region);
	send_heartbeats(&region, (uint32_t)second);
	for (i = 0; i < 20; i++) {
		tick(&region);
		assert_int_equal(watchers(&region), 1);
	}
	tear_down(&region);
}

/* The store refuses all but one: that one is found. */
static void
test_store_refuses_most(void **state)
{
	uint32_t served, i;

	(void)state;
	for (served = 0; served < VMS; served++) {
		struct region region;

		set_up(&region);
		for (i = 0; i < VMS; i++)
			region.away[i] = i != served;
		run(&region, 6000000);
		assert_int_equal(current(&region), (int)served);
		tear_down(&region);
	}
}

/* The store is down for all: few try at a time, and its return is seen. */
static void
test_store_down(void **state)
{
	struct region region;
	uint32_t tries = 0, i;
	int64_t end_us;

	(void)state;
	set_up(&region);
	run(&region, 6000000);
	for (i = 0; i < VMS; i++)
		region.away[i] = true;
	end_us = region.now_us + 20000000;
	while (region.now_us < end_us) {
		enum fl_role before[VMS];

		memcpy(before, region.roles, sizeof(before));
		tick(&region);
		for (i = 0; i < VMS; i++)
			tries += region.roles[i] == FL_WATCH &&
				 before[i] != FL_WATCH;
	}
	assert_in_range(tries, 10, 80);
	for (i = 0; i < VMS; i++)
		region.away[i] = false;
	run(&region, 1000000);
	assert_true(current(&region) >= 0);
	tear_down(&region);
}

/* Who is named to callers: not the silent, not those that stop. */
static void
test_listed(void **state)
{
	struct region region;
	struct sockaddr_in out[VMS];

	(void)state;
	set_up(&region);
	region.vms[0].self.ready = true;
	run(&region, 3000000);
	assert_int_equal(
	    fl_members_listed(&region.vms[0], region.now_us, out, VMS), VMS);
	region.dead[1] = true;
	region.vms[2].self.stopping = true;
	run(&region, 2000000);
	assert_int_equal(
	    fl_members_listed(&region.vms[0], region.now_us, out, VMS),
	    VMS - 2);
	assert_int_equal(
	    fl_members_listed(&region.vms[0], region.now_us, out, 1), 1);
	/* One that hears nobody is cut off itself: it names all it knew. */
	region.dead[3] = region.dead[4] = region.dead[2] = true;
	run(&region, 2000000);
	assert_true(
	    fl_members_listed(&region.vms[0], region.now_us, out, VMS) >= 3);
	tear_down(&region);
}

/* A VM that was paused itself does not take the others for dead. */
static void
test_paused(void **state)
{
	struct region region;
	const struct fl_member *leader;

	(void)state;
	set_up(&region);
	run(&region, 6000000);
	region.now_us += 5000000;
	fl_members_tick(&region.vms[0], region.now_us, &leader);
	assert_true(fl_is_alive(&region.vms[0].list[0], region.now_us));
	tear_down(&region);
}

static void
test_frames(void **state)
{
	struct os_change changes[] = {
	    {.name = "a", .revision = 5, .text = "{\"x\":1}", .text_length = 7},
	    {.name = "b", .revision = 6, .gone = true}};
	struct fl_frame news = {.type = FL_FRAME_NEWS,
	    .as.news = {.kind = 1,
		.whole = true,
		.batch = {.changes = changes, .count = 2, .revision = 9}}};
	struct fl_frame beat = {.type = FL_FRAME_HEARTBEAT,
	    .as.heartbeat = {.member = member(3),
		.peer_count = 1,
		.peers = {member(4).fleet},
		.region = "r"}};
	struct fl_buffer buffer;
	struct fl_frame out;
	size_t length;

	(void)state;
	assert_int_equal(fl_encode(&news, &buffer), CS_OK);
	for (length = 0; length < buffer.length; length++)
		assert_int_equal(
		    fl_decode(buffer.data, length, &out), CS_E_INVALID);
	assert_int_equal(fl_decode(buffer.data, buffer.length, &out), CS_OK);
	assert_int_equal(out.as.news.batch.count, 2);
	assert_string_equal(out.as.news.batch.changes[0].text, "{\"x\":1}");
	assert_true(out.as.news.batch.changes[1].gone);
	os_batch_free(&out.as.news.batch);
	free(buffer.data);

	assert_int_equal(fl_encode(&beat, &buffer), CS_OK);
	assert_int_equal(fl_decode(buffer.data, buffer.length, &out), CS_OK);
	assert_string_equal(out.as.heartbeat.member.name, "vm-3");
	assert_int_equal(out.as.heartbeat.peers[0].sin_port, htons(7004));
	assert_true(out.as.heartbeat.member.ready);
	free(buffer.data);
}

static void
test_frames_random(void **state)
{
	struct cs_random random;
	char bytes[64];
	int i;
	size_t k;

	(void)state;
	cs_random_seed(&random, 7);
	for (i = 0; i < 100000; i++) {
		struct fl_frame out;
		size_t length = cs_random_below(&random, sizeof(bytes));

		for (k = 0; k < length; k++)
			bytes[k] = (char)cs_random_below(&random, 256);
		bytes[0] = (char)0x95; /* an array, so that items are read */
		if (fl_decode(bytes, length, &out) == CS_OK &&
		    out.type == FL_FRAME_NEWS)
			os_batch_free(&out.as.news.batch);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_one_watcher),
	    cmocka_unit_test(test_takeover),
	    cmocka_unit_test(test_short_gap),
	    cmocka_unit_test(test_store_refuses_most),
	    cmocka_unit_test(test_store_down),
	    cmocka_unit_test(test_listed),
	    cmocka_unit_test(test_paused),
	    cmocka_unit_test(test_frames),
	    cmocka_unit_test(test_frames_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
