/*
 * The mesh: which links are open, and the handling of received frames. Links
 * are flushed once per loop iteration, so that the frames of one iteration are
 * written together.
 */
#include <stdlib.h>
#include <string.h>

#include "peer_internal.h"

/* All VMs of present deployments may connect at once. */
#define LISTEN_BACKLOG 128
#define TICK_MS 100
#define PING_TICKS 2	      /* a ping every 200 ms */
#define RESYNC_TICKS 10	      /* records are resent once a second at most */
#define LINK_IDLE_US 60000000 /* unused links are closed after this time */
/* A node sends its record as soon as it is connected. */
#define HELLO_MAX_US 2000000
#define STRANGERS_CHECKED_DIVISOR 4
#define CHANGES_MAX 64 /* in one tick; the rest follow in the next */

struct pr_mesh {
	struct pr_mesh_params params;
	struct pr_membership *membership;
	struct pr_link *links;
	uv_tcp_t listener;
	uv_timer_t timer;
	uv_prepare_t flush;
	uint64_t config_version;
	uint64_t requested_version; /* last asked of a peer */
	uint64_t ticks;
	uint64_t resync_tick;
	struct pr_mesh_counters counters;
	struct pr_link_owner link_owner;
};

static void gossip_record(struct pr_mesh *mesh, const struct pr_node *node,
    const struct pr_link *except);

static struct pr_mesh *
mesh_of(const struct pr_link *link)
{
	return link->owner->user;
}

static void
notify_membership_change(struct pr_mesh *mesh)
{
	mesh->params.callbacks.on_membership_change(
	    mesh->params.callbacks.user);
}

/* A node that is monitored here becomes suspect when its link fails. */
static void
on_disconnect(struct pr_link *link)
{
	struct pr_mesh *mesh = link->owner->user;
	int index = pr_membership_find(mesh->membership, link->id);

	if (index <= 0 ||
	    !pr_membership_at(mesh->membership, (uint32_t)index)->monitored ||
	    !pr_membership_suspect(mesh->membership, link->id, cs_now_us()))
		return;
	gossip_record(
	    mesh, pr_membership_at(mesh->membership, (uint32_t)index), NULL);
	notify_membership_change(mesh);
}

static struct pr_link *
find_link(struct pr_mesh *mesh, uint64_t id)
{
	struct pr_link *link, *found = NULL;

	for (link = mesh->links; link != NULL; link = link->next) {
		if (link->closing || link->id != id)
			continue;
		if (found == NULL || link->connected)
			found = link;
	}
	return found;
}

static void
send_records(struct pr_link *link)
{
	struct pr_membership *membership = mesh_of(link)->membership;
	uint32_t i;

	for (i = 1; i < pr_membership_count(membership); i++)
		pr_link_send(
		    link, &(struct pr_frame){
			      .type = PR_FRAME_GOSSIP,
			      .gossip = *pr_membership_at(membership, i),
			  });
}

static void
send_hello(struct pr_link *link)
{
	pr_link_send(
	    link, &(struct pr_frame){
		      .type = PR_FRAME_HELLO,
		      .hello = *pr_membership_self(mesh_of(link)->membership),
		  });
	send_records(link);
}

static void
gossip_record(struct pr_mesh *mesh, const struct pr_node *node,
    const struct pr_link *except)
{
	struct pr_frame frame = {.type = PR_FRAME_GOSSIP, .gossip = *node};
	struct pr_link *link;

	for (link = mesh->links; link != NULL; link = link->next) {
		if (link != except && link->connected && link->id != 0)
			pr_link_send(link, &frame);
	}
}

static void
on_gossip(struct pr_link *link, const struct pr_node *record)
{
	struct pr_mesh *mesh = mesh_of(link);
	uint64_t self = pr_membership_self(mesh->membership)->id;

	if (!pr_membership_merge(mesh->membership, record, cs_now_us()))
		return;
	if (record->id == self)
		gossip_record(mesh, pr_membership_self(mesh->membership), NULL);
	else
		gossip_record(mesh, record, link);
	notify_membership_change(mesh);
}

/* Tells a node that it is not alive here, so that it can refute that. */
static void
send_state_unless_alive(struct pr_link *link)
{
	const struct pr_membership *membership = mesh_of(link)->membership;
	int index = pr_membership_find(membership, link->id);
	const struct pr_node *known;

	if (index <= 0)
		return;
	known = pr_membership_at(membership, (uint32_t)index);
	if (known->state != PR_ALIVE)
		pr_link_send(link, &(struct pr_frame){.type = PR_FRAME_GOSSIP,
				       .gossip = *known});
}

static void
on_hello(struct pr_link *link, const struct pr_node *hello)
{
	struct pr_mesh *mesh = mesh_of(link);
	bool first_hello = !link->hello_received;

	if (hello->id == pr_membership_self(mesh->membership)->id) {
		pr_link_close(link);
		return;
	}
	link->id = hello->id;
	link->hello_received = true;
	on_gossip(link, hello);
	pr_membership_heard(mesh->membership, hello->id, cs_now_us());
	if (!link->dialed && first_hello)
		send_hello(link);
	else
		send_state_unless_alive(link);
	if (first_hello)
		mesh->params.callbacks.on_link_up(
		    hello->id, mesh->params.callbacks.user);
}

/* Requests a newer configuration, once for each version and round of pings. */
static void
request_newer_config(struct pr_link *link, uint64_t version)
{
	struct pr_mesh *mesh = mesh_of(link);

	if (version <= mesh->config_version ||
	    version <= mesh->requested_version)
		return;
	mesh->requested_version = version;
	pr_link_send(link, &(struct pr_frame){.type = PR_FRAME_CONFIG_REQUEST});
}

static struct pr_frame
ping_frame(struct pr_mesh *mesh, enum pr_frame_type type)
{
	return (struct pr_frame){
	    .type = type,
	    .ping =
		{
		    .config_version = mesh->config_version,
		    .digest = pr_membership_digest(mesh->membership),
		},
	};
}

static void
on_ping(struct pr_link *link, const struct pr_frame *frame)
{
	struct pr_mesh *mesh = mesh_of(link);
	struct pr_frame pong;

	request_newer_config(link, frame->ping.config_version);
	if (frame->type == PR_FRAME_PING) {
		pong = ping_frame(mesh, PR_FRAME_PONG);
		pr_link_send(link, &pong);
		return;
	}
	if (frame->ping.digest != pr_membership_digest(mesh->membership) &&
	    mesh->ticks >= mesh->resync_tick + RESYNC_TICKS) {
		mesh->resync_tick = mesh->ticks;
		send_hello(link);
	}
}

static void
on_config_request(struct pr_link *link)
{
	struct pr_callbacks *callbacks = &mesh_of(link)->params.callbacks;
	char *text = callbacks->get_config_text(callbacks->user);

	if (text == NULL)
		return;
	pr_link_send(link, &(struct pr_frame){
			       .type = PR_FRAME_CONFIG,
			       .config = {.text = text, .bytes = strlen(text)},
			   });
	free(text);
}

static void
on_frame(struct pr_link *link, const struct pr_frame *frame)
{
	struct pr_mesh *mesh = mesh_of(link);
	struct pr_callbacks *callbacks = &mesh->params.callbacks;

	mesh->counters.messages_received++;
	link->used_us = cs_now_us();
	pr_membership_heard(mesh->membership, link->id, link->used_us);
	switch (frame->type) {
	case PR_FRAME_HELLO:
		on_hello(link, &frame->hello);
		break;
	case PR_FRAME_PING:
	case PR_FRAME_PONG:
		on_ping(link, frame);
		break;
	case PR_FRAME_GOSSIP:
		on_gossip(link, &frame->gossip);
		break;
	case PR_FRAME_CONFIG_REQUEST:
		on_config_request(link);
		break;
	case PR_FRAME_CONFIG:
		mesh->requested_version = 0;
		callbacks->on_config(
		    frame->config.text, frame->config.bytes, callbacks->user);
		break;
	case PR_FRAME_CORE_MESSAGE:
		callbacks->on_message(
		    link->id, &frame->core_message, callbacks->user);
		break;
	}
}

static struct pr_link *
new_link(struct pr_mesh *mesh)
{
	struct pr_link *link =
	    pr_link_new(mesh->params.loop, &mesh->link_owner);

	if (link == NULL)
		return NULL;
	link->next = mesh->links;
	mesh->links = link;
	mesh->counters.links++;
	return link;
}

static void
on_closed(struct pr_link *link)
{
	struct pr_mesh *mesh = link->owner->user;
	struct pr_link **at = &mesh->links;

	while (*at != link)
		at = &(*at)->next;
	*at = link->next;
	mesh->counters.links--;
}

static bool
is_stranger(const struct pr_link *link)
{
	return !link->dialed && !link->closing && link->id == 0;
}

/*
 * Closes accepted connections that have not said which node they are, if there
 * are many of them; at the limit the oldest one in any case.
 */
static void
close_strangers(struct pr_mesh *mesh)
{
	uint32_t max = mesh->params.strangers_max, count = 0;
	int64_t opened_max_us = cs_now_us() - HELLO_MAX_US;
	struct pr_link *link, *oldest = NULL;

	for (link = mesh->links; link != NULL; link = link->next) {
		if (!is_stranger(link))
			continue;
		count++;
		oldest = link; /* new links come first */
	}
	if (max == 0 || count < max / STRANGERS_CHECKED_DIVISOR)
		return;
	if (count >= max)
		pr_link_close(oldest);
	for (link = mesh->links; link != NULL; link = link->next) {
		if (is_stranger(link) && link->opened_us < opened_max_us)
			pr_link_close(link);
	}
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct pr_mesh *mesh = listener->data;
	struct pr_link *link;

	if (status != 0)
		return;
	close_strangers(mesh);
	link = new_link(mesh);
	if (link != NULL && pr_link_accept(link, listener) != CS_OK)
		pr_link_close(link);
}

static struct pr_link *
dial(struct pr_mesh *mesh, const char *address, uint64_t id)
{
	struct sockaddr_in parsed;
	struct pr_link *link;

	if (cs_parse_address(address, &parsed) != CS_OK)
		return NULL;
	link = new_link(mesh);
	if (link == NULL)
		return NULL;
	link->id = id;
	send_hello(link);
	return pr_link_dial(link, &parsed) == CS_OK ? link : NULL;
}

static void
on_flush(uv_prepare_t *handle)
{
	struct pr_mesh *mesh = handle->data;
	struct pr_link *link, *next;

	for (link = mesh->links; link != NULL; link = next) {
		next = link->next;
		pr_link_flush(link);
	}
}

static struct pr_link *
get_link(struct pr_mesh *mesh, uint32_t index)
{
	const struct pr_node *node = pr_membership_at(mesh->membership, index);
	struct pr_link *link = find_link(mesh, node->id);

	if (link != NULL)
		return link;
	return dial(mesh, node->peer, node->id);
}

static void
ping_monitored(struct pr_mesh *mesh)
{
	uint32_t indexes[PR_MONITORED], i, count;
	struct pr_frame frame = ping_frame(mesh, PR_FRAME_PING);
	struct pr_link *link;

	count = pr_membership_monitored(mesh->membership, indexes);
	for (i = 0; i < count; i++) {
		link = get_link(mesh, indexes[i]);
		if (link != NULL && link->queued.size < PR_READ_BYTES) {
			link->used_us = cs_now_us();
			pr_link_send(link, &frame);
		}
	}
}

static void
maintain_neighbours(struct pr_mesh *mesh)
{
	uint32_t indexes[PR_NEIGHBOURS_MAX], i, count;
	struct pr_link *link;

	count = pr_membership_neighbours(mesh->membership, indexes);
	for (i = 0; i < count; i++) {
		link = get_link(mesh, indexes[i]);
		if (link != NULL)
			link->used_us = cs_now_us();
	}
	for (link = mesh->links; link != NULL; link = link->next) {
		if (link->dialed && cs_now_us() - link->used_us > LINK_IDLE_US)
			pr_link_close(link);
	}
}

static bool
contains(uint32_t index, const uint32_t *indexes, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (indexes[i] == index)
			return true;
	}
	return false;
}

/*
 * Closes the links to dead nodes, since a frozen process keeps them open, and
 * to nodes whose state has just changed because they were silent: the link
 * itself may be at fault, and the next ping uses a new one.
 */
static void
close_unresponsive_links(
    struct pr_mesh *mesh, const uint32_t *changed, uint32_t changed_count)
{
	struct pr_link *link;

	for (link = mesh->links; link != NULL; link = link->next) {
		int index = pr_membership_find(mesh->membership, link->id);

		if (index <= 0)
			continue;
		if (pr_membership_at(mesh->membership, (uint32_t)index)
			    ->state == PR_DEAD ||
		    contains((uint32_t)index, changed, changed_count))
			pr_link_close(link);
	}
}

static void
on_tick(uv_timer_t *timer)
{
	struct pr_mesh *mesh = timer->data;
	uint32_t changed[CHANGES_MAX], i, count;

	mesh->ticks++;
	count = pr_membership_tick(
	    mesh->membership, cs_now_us(), changed, CHANGES_MAX);
	for (i = 0; i < count; i++)
		gossip_record(
		    mesh, pr_membership_at(mesh->membership, changed[i]), NULL);
	if (count > 0) {
		close_unresponsive_links(mesh, changed, count);
		notify_membership_change(mesh);
	}
	if (mesh->ticks % PING_TICKS == 0) {
		mesh->requested_version = 0;
		ping_monitored(mesh);
		maintain_neighbours(mesh);
	}
}

static int
bind_listener(struct pr_mesh *mesh)
{
	struct sockaddr_in bound = {.sin_family = AF_INET};
	int length = sizeof(bound);

	uv_tcp_init(mesh->params.loop, &mesh->listener);
	mesh->listener.data = mesh;
	if (uv_tcp_bind(&mesh->listener,
		(const struct sockaddr *)&mesh->params.listen, 0) != 0 ||
	    uv_listen(
		(uv_stream_t *)&mesh->listener, LISTEN_BACKLOG, on_accept) != 0)
		return CS_E_SYSTEM;
	uv_tcp_getsockname(&mesh->listener, (struct sockaddr *)&bound, &length);
	cs_format_address(&bound, mesh->params.self.peer);
	return CS_OK;
}

int
pr_mesh_create(const struct pr_mesh_params *params, struct pr_mesh **out)
{
	struct pr_mesh *mesh = calloc(1, sizeof(*mesh));

	if (mesh == NULL)
		return CS_E_SYSTEM;
	mesh->params = *params;
	if (bind_listener(mesh) != CS_OK)
		return CS_E_SYSTEM;
	mesh->link_owner.on_frame = on_frame;
	mesh->link_owner.on_disconnect = on_disconnect;
	mesh->link_owner.on_closed = on_closed;
	mesh->link_owner.counters = &mesh->counters;
	mesh->link_owner.memory = params->memory;
	mesh->link_owner.user = mesh;
	mesh->membership =
	    pr_membership_create(&mesh->params.self, cs_now_us());
	uv_timer_init(params->loop, &mesh->timer);
	mesh->timer.data = mesh;
	uv_timer_start(&mesh->timer, on_tick, TICK_MS, TICK_MS);
	uv_prepare_init(params->loop, &mesh->flush);
	mesh->flush.data = mesh;
	uv_prepare_start(&mesh->flush, on_flush);
	*out = mesh;
	return CS_OK;
}

const struct pr_membership *
pr_mesh_membership(const struct pr_mesh *mesh)
{
	return mesh->membership;
}

void
pr_mesh_join(struct pr_mesh *mesh, const char *address)
{
	uint32_t i;

	for (i = 0; i < pr_membership_count(mesh->membership); i++) {
		const struct pr_node *m = pr_membership_at(mesh->membership, i);

		if (strcmp(m->peer, address) == 0 && m->state <= PR_SUSPECT)
			return;
	}
	dial(mesh, address, 0);
}

int
pr_mesh_send(
    struct pr_mesh *mesh, uint64_t id, const struct dc_message *message)
{
	int index = pr_membership_find(mesh->membership, id);
	struct pr_link *link;

	if (index <= 0)
		return CS_E_MISSING;
	link = get_link(mesh, (uint32_t)index);
	if (link == NULL)
		return CS_E_UNAVAILABLE;
	link->used_us = cs_now_us();
	pr_link_send(link, &(struct pr_frame){.type = PR_FRAME_CORE_MESSAGE,
			       .core_message = *message});
	return link->closing ? CS_E_UNAVAILABLE : CS_OK;
}

void
pr_mesh_broadcast(struct pr_mesh *mesh, const struct dc_message *message)
{
	uint32_t i;

	for (i = 1; i < pr_membership_count(mesh->membership); i++) {
		const struct pr_node *m = pr_membership_at(mesh->membership, i);

		if (m->state == PR_ALIVE)
			pr_mesh_send(mesh, m->id, message);
	}
}

void
pr_mesh_announce_config(struct pr_mesh *mesh, uint64_t version)
{
	struct pr_frame frame;
	struct pr_link *link;

	mesh->config_version = version;
	frame = ping_frame(mesh, PR_FRAME_PING);
	for (link = mesh->links; link != NULL; link = link->next) {
		if (link->connected && link->id != 0)
			pr_link_send(link, &frame);
	}
}

void
pr_mesh_set_ready(struct pr_mesh *mesh)
{
	if (!pr_membership_set_ready(mesh->membership))
		return;
	gossip_record(mesh, pr_membership_self(mesh->membership), NULL);
	notify_membership_change(mesh);
}

void
pr_mesh_leave(struct pr_mesh *mesh)
{
	pr_membership_leave(mesh->membership, cs_now_us());
	gossip_record(mesh, pr_membership_self(mesh->membership), NULL);
}

void
pr_mesh_counters(const struct pr_mesh *mesh, struct pr_mesh_counters *out)
{
	*out = mesh->counters;
}
