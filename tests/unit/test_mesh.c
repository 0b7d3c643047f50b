/*
 * The mesh over real links: one VM, and others played by hand. What ends a
 * test is always an event on a link, never a span of time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/peer/peer_internal.h"

#define LINKS_MAX 8

/* Another VM, played by hand: takes links and notes what comes on them. */
struct other {
	uv_tcp_t listener;
	struct pr_node self;
	struct pr_link *links[LINKS_MAX];
	uint32_t accepted;
	bool silent; /* says nothing after its hello */
	uint32_t pongs;
	uint32_t deaths_told; /* news that it is itself dead */
};

struct rig {
	uv_loop_t loop;
	struct pr_mesh *mesh;
	struct pr_link_owner owner;
	struct pr_mesh_counters counters;
	struct other others[2];
	uv_prepare_t flush;
	uv_timer_t guard;
	bool hung;
};

static struct other *
other_of(struct rig *rig, const struct pr_link *link)
{
	uint32_t i, k;

	for (i = 0; i < 2; i++) {
		for (k = 0; k < rig->others[i].accepted; k++) {
			if (rig->others[i].links[k] == link)
				return &rig->others[i];
		}
	}
	return NULL;
}

static void
say_hello(const struct other *other, struct pr_link *link)
{
	pr_link_send(link,
	    &(struct pr_frame){.type = PR_FRAME_HELLO, .hello = other->self});
}

/* It contradicts a suspicion, and only counts the news that it is dead. */
static void
hear_of_self(
    struct other *other, struct pr_link *link, const struct pr_node *record)
{
	if (record->id != other->self.id)
		return;
	if (record->state == PR_DEAD)
		other->deaths_told++;
	if (record->state != PR_SUSPECT || other->silent)
		return;
	other->self.incarnation = record->incarnation + 1;
	say_hello(other, link);
}

static void
on_frame(struct pr_link *link, const struct pr_frame *frame)
{
	struct other *other = other_of(link->owner->user, link);

	if (other == NULL)
		return;
	switch (frame->type) {
	case PR_FRAME_HELLO:
		link->id = frame->hello.id;
		if (!link->hello_received)
			say_hello(other, link);
		link->hello_received = true;
		break;
	case PR_FRAME_PING:
		if (!other->silent)
			pr_link_send(
			    link, &(struct pr_frame){.type = PR_FRAME_PONG});
		break;
	case PR_FRAME_PONG:
		other->pongs++;
		break;
	case PR_FRAME_GOSSIP:
		hear_of_self(other, link, &frame->gossip);
		break;
	case PR_FRAME_CONFIG_REQUEST:
	case PR_FRAME_CONFIG:
	case PR_FRAME_CORE_MESSAGE:
		break;
	}
}

static void
on_broken(struct pr_link *link)
{
	(void)link;
}

/* Its memory goes: it keeps its place, so that links stay counted. */
static void
on_closed(struct pr_link *link)
{
	struct other *other = other_of(link->owner->user, link);
	uint32_t k;

	for (k = 0; other != NULL && k < other->accepted; k++) {
		if (other->links[k] == link)
			other->links[k] = NULL;
	}
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct rig *rig = listener->loop->data;
	struct other *other = listener->data;
	struct pr_link *link = pr_link_new(&rig->loop, &rig->owner);

	assert_int_equal(status, 0);
	assert_in_range(other->accepted, 0, LINKS_MAX - 1);
	other->links[other->accepted++] = link;
	assert_int_equal(pr_link_accept(link, listener), CS_OK);
}

static void
start_other(struct rig *rig, uint32_t number)
{
	struct other *other = &rig->others[number];
	struct sockaddr_in address = {.sin_family = AF_INET};
	int length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	uv_tcp_init(&rig->loop, &other->listener);
	other->listener.data = other;
	assert_int_equal(
	    uv_tcp_bind(&other->listener, (const struct sockaddr *)&address, 0),
	    0);
	assert_int_equal(
	    uv_listen((uv_stream_t *)&other->listener, LINKS_MAX, on_accept),
	    0);
	uv_tcp_getsockname(
	    &other->listener, (struct sockaddr *)&address, &length);
	snprintf(other->self.name, sizeof(other->self.name), "other%u", number);
	snprintf(other->self.peer, sizeof(other->self.peer), "127.0.0.1:%u",
	    ntohs(address.sin_port));
	other->self.id = cs_hash(other->self.name, strlen(other->self.name));
	other->self.epoch = 1;
	other->self.ready = true;
}

static void
on_flush(uv_prepare_t *handle)
{
	struct rig *rig = handle->data;
	uint32_t i, k;

	for (i = 0; i < 2; i++) {
		for (k = 0; k < rig->others[i].accepted; k++) {
			if (rig->others[i].links[k] != NULL)
				pr_link_flush(rig->others[i].links[k]);
		}
	}
}

static void
on_guard(uv_timer_t *timer)
{
	struct rig *rig = timer->data;

	rig->hung = true;
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

static struct rig *
start(void)
{
	struct rig *rig = calloc(1, sizeof(*rig));
	struct pr_mesh_params params = {
	    .listen = {.sin_family = AF_INET},
	    .self = {.name = "self", .epoch = 1, .ready = true},
	    .callbacks =
		{
		    .on_membership_change = ignore,
		    .on_message = ignore_message,
		    .on_link_up = ignore_link,
		    .on_config = ignore_config,
		    .get_config_text = no_config,
		},
	};

	assert_non_null(rig);
	uv_loop_init(&rig->loop);
	rig->loop.data = rig;
	rig->owner = (struct pr_link_owner){.on_frame = on_frame,
	    .on_disconnect = on_broken,
	    .on_closed = on_closed,
	    .counters = &rig->counters,
	    .user = rig};
	start_other(rig, 0);
	start_other(rig, 1);
	uv_prepare_init(&rig->loop, &rig->flush);
	rig->flush.data = rig;
	uv_prepare_start(&rig->flush, on_flush);
	/* Ends a test that hangs; no test is judged by it otherwise. */
	uv_timer_init(&rig->loop, &rig->guard);
	rig->guard.data = rig;
	uv_timer_start(&rig->guard, on_guard, 60000, 0);

	params.loop = &rig->loop;
	params.listen.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(pr_mesh_create(&params, &rig->mesh), CS_OK);
	return rig;
}

static enum pr_state
state_of(const struct rig *rig, const struct other *other)
{
	const struct pr_membership *membership = pr_mesh_membership(rig->mesh);
	int number = pr_membership_find(membership, other->self.id);

	return number < 0
		   ? PR_LEFT
		   : pr_membership_at(membership, (uint32_t)number)->state;
}

static void
turn(struct rig *rig)
{
	uv_run(&rig->loop, UV_RUN_ONCE);
	assert_false(rig->hung);
}

/* The rig is left to the end of the process: its links are not drained. */
static void
meet(struct rig *rig, struct other *other)
{
	pr_mesh_join(rig->mesh, other->self.peer);
	while (state_of(rig, other) != PR_ALIVE)
		turn(rig);
}

/* Connections can go silent for good while new ones work. */
static void
test_a_silent_link_is_replaced_before_its_member_is_dead(void **unused)
{
	struct rig *rig = start();
	struct other *other = &rig->others[0];

	(void)unused;
	meet(rig, other);
	other->silent = true;
	while (other->accepted < 2 && state_of(rig, other) != PR_DEAD)
		turn(rig);
	assert_int_equal(other->accepted, 2);
	other->silent = false; /* the new link works */
	while (state_of(rig, other) == PR_SUSPECT)
		turn(rig);
	assert_int_equal(state_of(rig, other), PR_ALIVE);
}

/*
 * A VM that thawed says hello on a link of before, without knowing that it
 * counts as dead. It has to be told, else it never contradicts.
 */
static void
test_a_vm_that_counts_as_dead_is_told_so(void **unused)
{
	struct rig *rig = start();
	struct other *frozen = &rig->others[0], *witness = &rig->others[1];
	struct pr_frame death = {.type = PR_FRAME_GOSSIP};
	uint32_t told;

	(void)unused;
	meet(rig, frozen);
	meet(rig, witness);
	death.gossip = frozen->self;
	death.gossip.state = PR_DEAD;
	pr_link_send(witness->links[0], &death);
	while (state_of(rig, frozen) != PR_DEAD || frozen->deaths_told == 0)
		turn(rig);
	told = frozen->deaths_told;
	say_hello(frozen, frozen->links[0]);
	pr_link_send(
	    frozen->links[0], &(struct pr_frame){.type = PR_FRAME_PING});
	while (frozen->pongs == 0)
		turn(rig);
	assert_int_equal(frozen->deaths_told, told + 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(
		test_a_silent_link_is_replaced_before_its_member_is_dead),
	    cmocka_unit_test(test_a_vm_that_counts_as_dead_is_told_so),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
