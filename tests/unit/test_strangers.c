/*
 * Connections to the address for other VMs that never subscribe: they must take
 * neither all descriptors nor the place of a VM that follows this one.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "../../lib/fleet/fleet.h"

#define CHECKED 32 /* from so many on, those older than SUBSCRIBE_US end */
#define SUBSCRIBE_US 2000000
#define STRANGERS_MAX 160
#define MANY 250

struct vm {
	struct fleet *fleet;
	struct sockaddr_in address;
	uint32_t updates;
};

struct fixture {
	uv_loop_t loop;
	uv_timer_t watchdog;
	struct vm leader, follower;
	int fds[CHECKED + 1 + MANY];
	uint32_t count;
	bool timed_out;
};

static void
on_role(void *user, enum fl_role role, const struct fl_node *leader)
{
	(void)user;
	(void)role;
	(void)leader;
}

static void
on_update(void *user, const struct fl_update *update)
{
	struct vm *vm = user;

	(void)update;
	vm->updates++;
}

static void
on_node(void *user, const struct fl_node *node, bool returned)
{
	(void)user;
	(void)node;
	(void)returned;
}

static void
on_timeout(uv_timer_t *timer)
{
	((struct fixture *)timer->data)->timed_out = true;
}

static void
choose_address(struct vm *vm)
{
	socklen_t length = sizeof(vm->address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	vm->address.sin_family = AF_INET;
	vm->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
	    bind(fd, (struct sockaddr *)&vm->address, sizeof(vm->address)), 0);
	getsockname(fd, (struct sockaddr *)&vm->address, &length);
	close(fd);
}

static void
start_vm(struct fixture *fixture, struct vm *vm, const char *name,
    const struct vm *seed)
{
	static const struct fl_events events = {
	    .on_role = on_role, .on_update = on_update, .on_node = on_node};
	struct fl_params params = {
	    .loop = &fixture->loop,
	    .self = {.fleet = vm->address, .boot = 1, .ready = true},
	    .seed_count = 1,
	    .cache = os_cache_create(),
	    .kind_count = 1,
	    .events = &events,
	    .user = vm,
	};

	cs_copy_text(params.self.name, sizeof(params.self.name), name);
	cs_copy_text(params.region, sizeof(params.region), "here");
	params.seeds[0] = seed->address;
	assert_int_equal(fl_create(&params, &vm->fleet), CS_OK);
}

/* Runs until the follower has got an update that is sent from now on. */
static void
wait_for_update(struct fixture *fixture)
{
	struct fl_update update = {.snapshot = false};
	uint32_t before = fixture->follower.updates;

	uv_timer_start(&fixture->watchdog, on_timeout, 20000, 0);
	while (fixture->follower.updates == before) {
		update.batch.revision++;
		fl_send_update(fixture->leader.fleet, &update);
		uv_run(&fixture->loop, UV_RUN_ONCE);
		assert_false(fixture->timed_out);
	}
}

static void
connect_strangers(struct fixture *fixture, uint32_t count)
{
	const struct sockaddr_in *address = &fixture->leader.address;
	int fd;

	for (; count > 0; count--) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		assert_int_equal(connect(fd, (const struct sockaddr *)address,
				     sizeof(*address)),
		    0);
		fcntl(fd, F_SETFL, O_NONBLOCK);
		fixture->fds[fixture->count++] = fd;
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
	}
}

static bool
is_open(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK) < 0 && errno == EAGAIN;
}

static uint32_t
count_open(struct fixture *fixture, uint32_t from)
{
	uint32_t i, open = 0;

	for (i = from; i < fixture->count; i++)
		open += is_open(fixture->fds[i]);
	return open;
}

static void
test_strangers_are_closed_and_followers_kept(void **state)
{
	static struct fixture fixture;
	uint32_t i, first, updates;

	(void)state;
	uv_loop_init(&fixture.loop);
	uv_timer_init(&fixture.loop, &fixture.watchdog);
	fixture.watchdog.data = &fixture;
	choose_address(&fixture.leader);
	choose_address(&fixture.follower);
	start_vm(&fixture, &fixture.leader, "vm-0", &fixture.follower);
	start_vm(&fixture, &fixture.follower, "vm-1", &fixture.leader);
	fl_set_current(fixture.leader.fleet, true);
	wait_for_update(&fixture);

	/* A few are not looked at, such as probes of operators. */
	connect_strangers(&fixture, CHECKED - 1);
	usleep(SUBSCRIBE_US + 100000);
	connect_strangers(&fixture, 1);
	assert_int_equal(count_open(&fixture, 0), CHECKED);
	/* One more: those that had their time are closed, the others not. */
	connect_strangers(&fixture, 1);
	assert_int_equal(count_open(&fixture, 0), 2);

	/* Many at once: the oldest gives way, so that any VM is accepted. */
	first = fixture.count;
	connect_strangers(&fixture, MANY);
	assert_in_range(
	    count_open(&fixture, 0), STRANGERS_MAX - 1, STRANGERS_MAX);
	assert_false(is_open(fixture.fds[first]));
	assert_true(is_open(fixture.fds[fixture.count - 1]));

	updates = fixture.follower.updates;
	wait_for_update(&fixture);
	assert_true(fixture.follower.updates > updates);
	for (i = 0; i < fixture.count; i++)
		close(fixture.fds[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_strangers_are_closed_and_followers_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
