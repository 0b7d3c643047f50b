/*
 * Tests the mesh of one VM over real links to peers that the test controls. A
 * test ends on an event on a link, never after a period of time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "../../lib/peer/peer_internal.h"

#define LINKS_MAX 8
#define STRANGERS_MAX 8

/* Another VM, simulated: accepts links and counts the frames on them. */
struct fake_peer {
	uv_tcp_t listener;
	struct pr_node self;
	struct pr_link *links[LINKS_MAX];
	uint32_t accepted;
	bool silent; /* sends nothing after its hello */
	uint32_t pongs_received;
	uint32_t death_notices; /* gossip that it is dead itself */
};

struct fixture {
	uv_loop_t loop;
	struct pr_mesh *mesh;
	struct pr_link_owner owner;
	struct pr_mesh_counters counters;
	struct fake_peer fake_peers[2];
	uv_prepare_t flush;
	uv_timer_t watchdog;
	bool timed_out;
};

static struct fake_peer *
find_fake_peer(struct fixture *fixture, const struct pr_link *link)
{
	uint32_t i, k;

	for (i = 0; i < 2; i++) {
		for (k = 0; k < fixture->fake_peers[i].accepted; k++) {
			if (fixture->fake_peers[i].links[k] == link)
				return &fixture->fake_peers[i];
		}
	}
	return NULL;
}

static void
send_hello(const struct fake_peer *fake_peer, struct pr_link *link)
{
	pr_link_send(link, &(struct pr_frame){.type = PR_FRAME_HELLO,
			       .hello = fake_peer->self});
}

/* Refutes a suspicion, and only counts the gossip that it is dead. */
static void
on_gossip_about_self(struct fake_peer *fake_peer, struct pr_link *link,
    const struct pr_node *record)
{
	if (record->id != fake_peer->self.id)
		return;
	if (record->state == PR_DEAD)
		fake_peer->death_notices++;
	if (record->state != PR_SUSPECT || fake_peer->silent)
		return;
	fake_peer->self.incarnation = record->incarnation + 1;
	send_hello(fake_peer, link);
}

static void
on_frame(struct pr_link *link, const struct pr_frame *frame)
{
	struct fake_peer *fake_peer = find_fake_peer(link->owner->user, link);

	if (fake_peer == NULL)
		return;
	switch (frame->type) {
	case PR_FRAME_HELLO:
		link->id = frame->hello.id;
		if (!link->hello_received)
			send_hello(fake_peer, link);
		link->hello_received = true;
		break;
	case PR_FRAME_PING:
		if (!fake_peer->silent)
			pr_link_send(
			    link, &(struct pr_frame){.type = PR_FRAME_PONG});
		break;
	case PR_FRAME_PONG:
		fake_peer->pongs_received++;
		break;
	case PR_FRAME_GOSSIP:
		on_gossip_about_self(fake_peer, link, &frame->gossip);
		break;
	case PR_FRAME_CONFIG_REQUEST:
	case PR_FRAME_CONFIG:
	case PR_FRAME_CORE_MESSAGE:
		break;
	}
}

static void
on_disconnect(struct pr_link *link)
{
	(void)link;
}

/* The link is freed. Its entry stays, so that accepted still counts it. */
static void
on_closed(struct pr_link *link)
{
	struct fake_peer *fake_peer = find_fake_peer(link->owner->user, link);
	uint32_t k;

	for (k = 0; fake_peer != NULL && k < fake_peer->accepted; k++) {
		if (fake_peer->links[k] == link)
			fake_peer->links[k] = NULL;
	}
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct fixture *fixture = listener->loop->data;
	struct fake_peer *fake_peer = listener->data;
	struct pr_link *link = pr_link_new(&fixture->loop, &fixture->owner);

	assert_int_equal(status, 0);
	assert_in_range(fake_peer->accepted, 0, LINKS_MAX - 1);
	fake_peer->links[fake_peer->accepted++] = link;
	assert_int_equal(pr_link_accept(link, listener), CS_OK);
}

static void
start_fake_peer(struct fixture *fixture, uint32_t number)
{
	struct fake_peer *fake_peer = &fixture->fake_peers[number];
	struct sockaddr_in address = {.sin_family = AF_INET};
	int length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	uv_tcp_init(&fixture->loop, &fake_peer->listener);
	fake_peer->listener.data = fake_peer;
	assert_int_equal(uv_tcp_bind(&fake_peer->listener,
			     (const struct sockaddr *)&address, 0),
	    0);
	assert_int_equal(uv_listen((uv_stream_t *)&fake_peer->listener,
			     LINKS_MAX, on_accept),
	    0);
	uv_tcp_getsockname(
	    &fake_peer->listener, (struct sockaddr *)&address, &length);
	snprintf(fake_peer->self.name, sizeof(fake_peer->self.name), "other%u",
	    number);
	snprintf(fake_peer->self.peer, sizeof(fake_peer->self.peer),
	    "127.0.0.1:%u", ntohs(address.sin_port));
	fake_peer->self.id =
	    cs_hash(fake_peer->self.name, strlen(fake_peer->self.name));
	fake_peer->self.epoch = 1;
	fake_peer->self.ready = true;
}

static void
on_flush(uv_prepare_t *handle)
{
	struct fixture *fixture = handle->data;
	uint32_t i, k;

	for (i = 0; i < 2; i++) {
		for (k = 0; k < fixture->fake_peers[i].accepted; k++) {
			if (fixture->fake_peers[i].links[k] != NULL)
				pr_link_flush(fixture->fake_peers[i].links[k]);
		}
	}
}

static void
on_watchdog(uv_timer_t *timer)
{
	struct fixture *fixture = timer->data;

	fixture->timed_out = true;
}

static void
ignore(void *user)
{
	(void)user;
}

static void
ignore_message(uint64_t from, const struct dc_message *message, void *user)
{
	(void)from;
	(void)message;
	(void)user;
}

static void
ignore_link(uint64_t id, void *user)
{
	(void)id;
	(void)user;
}

static void
ignore_config(const char *text, size_t bytes, void *user)
{
	(void)text;
	(void)bytes;
	(void)user;
}

static char *
no_config(void *user)
{
	(void)user;
	return NULL;
}

static struct fixture *
set_up(void)
{
	struct fixture *fixture = calloc(1, sizeof(*fixture));
	struct pr_mesh_params params = {
	    .listen = {.sin_family = AF_INET},
	    .self = {.name = "self", .epoch = 1, .ready = true},
	    .strangers_max = STRANGERS_MAX,
	    .callbacks =
		{
		    .on_membership_change = ignore,
		    .on_message = ignore_message,
		    .on_link_up = ignore_link,
		    .on_config = ignore_config,
		    .get_config_text = no_config,
		},
	};

	assert_non_null(fixture);
	uv_loop_init(&fixture->loop);
	fixture->loop.data = fixture;
	fixture->owner = (struct pr_link_owner){.on_frame = on_frame,
	    .on_disconnect = on_disconnect,
	    .on_closed = on_closed,
	    .counters = &fixture->counters,
	    .user = fixture};
	start_fake_peer(fixture, 0);
	start_fake_peer(fixture, 1);
	uv_prepare_init(&fixture->loop, &fixture->flush);
	fixture->flush.data = fixture;
	uv_prepare_start(&fixture->flush, on_flush);
	/* Only fails a test that hangs. */
	uv_timer_init(&fixture->loop, &fixture->watchdog);
	fixture->watchdog.data = fixture;
	uv_timer_start(&fixture->watchdog, on_watchdog, 60000, 0);

	params.loop = &fixture->loop;
	params.listen.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(pr_mesh_create(&params, &fixture->mesh), CS_OK);
	return fixture;
}

static enum pr_state
state_of(const struct fixture *fixture, const struct fake_peer *fake_peer)
{
	const struct pr_membership *membership =
	    pr_mesh_membership(fixture->mesh);
	int number = pr_membership_find(membership, fake_peer->self.id);

	return number < 0
		   ? PR_LEFT
		   : pr_membership_at(membership, (uint32_t)number)->state;
}

static void
run_loop_once(struct fixture *fixture)
{
	uv_run(&fixture->loop, UV_RUN_ONCE);
	assert_false(fixture->timed_out);
}

/* The fixture lives until the process exits: its links are not closed. */
static void
join_peer(struct fixture *fixture, struct fake_peer *fake_peer)
{
	pr_mesh_join(fixture->mesh, fake_peer->self.peer);
	while (state_of(fixture, fake_peer) != PR_ALIVE)
		run_loop_once(fixture);
}

/* A connection can stay silent for ever while new connections work. */
static void
test_silent_link_is_replaced_before_peer_is_dead(void **unused)
{
	struct fixture *fixture = set_up();
	struct fake_peer *fake_peer = &fixture->fake_peers[0];

	(void)unused;
	join_peer(fixture, fake_peer);
	fake_peer->silent = true;
	while (
	    fake_peer->accepted < 2 && state_of(fixture, fake_peer) != PR_DEAD)
		run_loop_once(fixture);
	assert_int_equal(fake_peer->accepted, 2);
	fake_peer->silent = false; /* the new link works */
	while (state_of(fixture, fake_peer) == PR_SUSPECT)
		run_loop_once(fixture);
	assert_int_equal(state_of(fixture, fake_peer), PR_ALIVE);
}

/*
 * A VM that resumes after a pause sends hello on an old link without knowing
 * that it is marked dead. Unless it is notified, it never refutes that.
 */
static void
test_vm_marked_dead_is_notified_on_hello(void **unused)
{
	struct fixture *fixture = set_up();
	struct fake_peer *suspended = &fixture->fake_peers[0],
			 *observer = &fixture->fake_peers[1];
	struct pr_frame dead_record = {.type = PR_FRAME_GOSSIP};
	uint32_t notices_before;

	(void)unused;
	join_peer(fixture, suspended);
	join_peer(fixture, observer);
	dead_record.gossip = suspended->self;
	dead_record.gossip.state = PR_DEAD;
	pr_link_send(observer->links[0], &dead_record);
	while (state_of(fixture, suspended) != PR_DEAD ||
	       suspended->death_notices == 0)
		run_loop_once(fixture);
	notices_before = suspended->death_notices;
	send_hello(suspended, suspended->links[0]);
	pr_link_send(
	    suspended->links[0], &(struct pr_frame){.type = PR_FRAME_PING});
	while (suspended->pongs_received == 0)
		run_loop_once(fixture);
	assert_int_equal(suspended->death_notices, notices_before + 1);
}

static int
connect_stranger(struct fixture *fixture)
{
	const char *text =
	    pr_membership_self(pr_mesh_membership(fixture->mesh))->peer;
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(cs_parse_address(text, &address), CS_OK);
	assert_int_equal(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	run_loop_once(fixture);
	return fd;
}

static bool
is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_DONTWAIT) == 0;
}

/*
 * Connections that never say which node they are took all descriptors. A node
 * among them still joins.
 */
static void
test_strangers_are_closed(void **unused)
{
	struct fixture *fixture = set_up();
	int fds[3 * STRANGERS_MAX], i, closed = 0;

	(void)unused;
	for (i = 0; i < 3 * STRANGERS_MAX; i++)
		fds[i] = connect_stranger(fixture);
	join_peer(fixture, &fixture->fake_peers[0]);
	for (i = 0; i < 3 * STRANGERS_MAX; i++) {
		closed += is_closed(fds[i]);
		close(fds[i]);
	}
	assert_in_range(closed, 2 * STRANGERS_MAX, 3 * STRANGERS_MAX);
}

/* Each stranger could have the process hold a frame of 2 MB. */
static void
test_first_frame_is_short(void **unused)
{
	static const char header[] = {0, 16, 0, 0};
	struct fixture *fixture = set_up();
	int fd = connect_stranger(fixture);

	(void)unused;
	assert_int_equal(write(fd, header, sizeof(header)), sizeof(header));
	while (!is_closed(fd))
		run_loop_once(fixture);
	close(fd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_silent_link_is_replaced_before_peer_is_dead),
	    cmocka_unit_test(test_vm_marked_dead_is_notified_on_hello),
	    cmocka_unit_test(test_strangers_are_closed),
	    cmocka_unit_test(test_first_frame_is_short),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
