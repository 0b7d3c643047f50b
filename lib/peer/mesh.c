/*
 * Links between entry VMs. Frames queue on a link and go out together once
 * per turn of the loop, so that what is decided together travels together.
 */
#include <stdlib.h>
#include <string.h>

#include "../http/http.h"
#include "peer_internal.h"

#define BACKLOG 128
#define TICK_MS 100
#define PING_TICKS 2   /* a ping every 200 ms */
#define TABLE_TICKS 10 /* a differing digest is mended once a second */
#define LINK_BYTES_MAX (4 * 1024 * 1024)
#define READ_BYTES 65536
#define IDLE_US 60000000 /* links not needed are closed after this */
#define CHANGES_MAX 64

struct link {
	uv_tcp_t tcp; /* first: libuv hands it back */
	struct pr_mesh *mesh;
	struct link *next;
	uint64_t id; /* of the member at the other end, 0: not known yet */
	bool connected;
	bool dialed;
	bool greeted; /* the other end has said who it is */
	bool closing;
	bool writing;
	int64_t used_us;
	uv_connect_t connect;
	uv_write_t write;
	msgpack_sbuffer queued;
	msgpack_sbuffer flight;
	char *in;
	size_t in_bytes;
	size_t in_capacity;
};

struct pr_mesh {
	struct pr_mesh_params params;
	struct pr_members *members;
	struct link *links;
	uv_tcp_t listener;
	uv_timer_t timer;
	uv_prepare_t flush;
	uint64_t config_version;
	uint64_t pulled_version; /* asked a peer for this one */
	uint64_t ticks;
	uint64_t table_sent_tick;
	struct pr_mesh_counters counters;
	char read_buffer[READ_BYTES];
};

static void send_frame(struct link *link, const struct pr_frame *frame);
static void forward_news(struct pr_mesh *mesh, const struct pr_member *member,
    const struct link *except);

static void
on_link_closed(uv_handle_t *handle)
{
	struct link *link = (struct link *)handle;
	struct link **at = &link->mesh->links;

	while (*at != link)
		at = &(*at)->next;
	*at = link->next;
	link->mesh->counters.links--;
	msgpack_sbuffer_destroy(&link->queued);
	msgpack_sbuffer_destroy(&link->flight);
	free(link->in);
	free(link);
}

static void
close_link(struct link *link)
{
	if (link->closing)
		return;
	link->closing = true;
	uv_close((uv_handle_t *)&link->tcp, on_link_closed);
}

static void
members_changed(struct pr_mesh *mesh)
{
	mesh->params.callbacks.on_members(mesh->params.callbacks.user);
}

/* A break makes a suspect of a member that this VM watches. */
static void
link_broke(struct link *link)
{
	struct pr_mesh *mesh = link->mesh;
	uint64_t id = link->id;
	int number;

	if (link->closing)
		return;
	close_link(link);
	number = pr_members_find(mesh->members, id);
	if (number <= 0 ||
	    !pr_members_at(mesh->members, (uint32_t)number)->watched ||
	    !pr_members_suspect(mesh->members, id, cs_now_us()))
		return;
	forward_news(
	    mesh, pr_members_at(mesh->members, (uint32_t)number), NULL);
	members_changed(mesh);
}

static struct link *
new_link(struct pr_mesh *mesh)
{
	struct link *link = calloc(1, sizeof(*link));

	if (link == NULL)
		return NULL;
	uv_tcp_init(mesh->params.loop, &link->tcp);
	link->mesh = mesh;
	link->used_us = cs_now_us();
	msgpack_sbuffer_init(&link->queued);
	msgpack_sbuffer_init(&link->flight);
	link->next = mesh->links;
	mesh->links = link;
	mesh->counters.links++;
	return link;
}

static struct link *
find_link(struct pr_mesh *mesh, uint64_t id)
{
	struct link *link, *found = NULL;

	for (link = mesh->links; link != NULL; link = link->next) {
		if (link->closing || link->id != id)
			continue;
		if (found == NULL || link->connected)
			found = link;
	}
	return found;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct link *link = (struct link *)handle;

	(void)suggested;
	*buffer = uv_buf_init(link->mesh->read_buffer, READ_BYTES);
}

static void
send_table(struct link *link)
{
	struct pr_members *members = link->mesh->members;
	uint32_t i;

	for (i = 1; i < pr_members_count(members); i++)
		send_frame(link, &(struct pr_frame){
				     .type = PR_FRAME_NEWS,
				     .news = *pr_members_at(members, i),
				 });
}

static void
send_hello(struct link *link)
{
	send_frame(link, &(struct pr_frame){
			     .type = PR_FRAME_HELLO,
			     .hello = *pr_members_self(link->mesh->members),
			 });
	send_table(link);
}

static void
forward_news(struct pr_mesh *mesh, const struct pr_member *member,
    const struct link *except)
{
	struct pr_frame frame = {.type = PR_FRAME_NEWS, .news = *member};
	struct link *link;

	for (link = mesh->links; link != NULL; link = link->next) {
		if (link != except && link->connected && link->id != 0)
			send_frame(link, &frame);
	}
}

static void
on_news(struct link *link, const struct pr_member *news)
{
	struct pr_mesh *mesh = link->mesh;
	uint64_t self = pr_members_self(mesh->members)->id;

	if (!pr_members_news(mesh->members, news, cs_now_us()))
		return;
	if (news->id == self)
		forward_news(mesh, pr_members_self(mesh->members), NULL);
	else
		forward_news(mesh, news, link);
	members_changed(mesh);
}

static void
on_hello(struct link *link, const struct pr_member *hello)
{
	struct pr_mesh *mesh = link->mesh;
	bool first = !link->greeted;

	if (hello->id == pr_members_self(mesh->members)->id) {
		close_link(link);
		return;
	}
	link->id = hello->id;
	link->greeted = true;
	on_news(link, hello);
	pr_members_heard(mesh->members, hello->id, cs_now_us());
	if (!link->dialed && first)
		send_hello(link);
	if (first)
		mesh->params.callbacks.on_link(
		    hello->id, mesh->params.callbacks.user);
}

/* Pulls a newer configuration, once for each version. */
static void
compare_config(struct link *link, uint64_t version)
{
	struct pr_mesh *mesh = link->mesh;

	if (version <= mesh->config_version || version <= mesh->pulled_version)
		return;
	mesh->pulled_version = version;
	send_frame(link, &(struct pr_frame){.type = PR_FRAME_PULL});
}

static struct pr_frame
ping_frame(struct pr_mesh *mesh, enum pr_frame_type type)
{
	return (struct pr_frame){
	    .type = type,
	    .ping =
		{
		    .config_version = mesh->config_version,
		    .digest = pr_members_digest(mesh->members),
		},
	};
}

static void
on_ping(struct link *link, const struct pr_frame *frame)
{
	struct pr_mesh *mesh = link->mesh;
	struct pr_frame pong;

	compare_config(link, frame->ping.config_version);
	if (frame->type == PR_FRAME_PING) {
		pong = ping_frame(mesh, PR_FRAME_PONG);
		send_frame(link, &pong);
		return;
	}
	if (frame->ping.digest != pr_members_digest(mesh->members) &&
	    mesh->ticks >= mesh->table_sent_tick + TABLE_TICKS) {
		mesh->table_sent_tick = mesh->ticks;
		send_hello(link);
	}
}

static void
on_pull(struct link *link)
{
	struct pr_callbacks *callbacks = &link->mesh->params.callbacks;
	char *text = callbacks->config_text(callbacks->user);

	if (text == NULL)
		return;
	send_frame(link, &(struct pr_frame){
			     .type = PR_FRAME_CONFIG,
			     .config = {.text = text, .bytes = strlen(text)},
			 });
	free(text);
}

static void
on_frame(struct link *link, const struct pr_frame *frame)
{
	struct pr_mesh *mesh = link->mesh;
	struct pr_callbacks *callbacks = &mesh->params.callbacks;

	mesh->counters.messages_received++;
	link->used_us = cs_now_us();
	pr_members_heard(mesh->members, link->id, link->used_us);
	switch (frame->type) {
	case PR_FRAME_HELLO:
		on_hello(link, &frame->hello);
		break;
	case PR_FRAME_PING:
	case PR_FRAME_PONG:
		on_ping(link, frame);
		break;
	case PR_FRAME_NEWS:
		on_news(link, &frame->news);
		break;
	case PR_FRAME_PULL:
		on_pull(link);
		break;
	case PR_FRAME_CONFIG:
		mesh->pulled_version = 0;
		callbacks->on_config(
		    frame->config.text, frame->config.bytes, callbacks->user);
		break;
	case PR_FRAME_CORE:
		callbacks->on_message(link->id, &frame->core, callbacks->user);
		break;
	}
}

static size_t
frame_length(const char *header)
{
	const unsigned char *h = (const unsigned char *)header;

	return (size_t)h[0] << 24 | (size_t)h[1] << 16 | (size_t)h[2] << 8 |
	       h[3];
}

/* Takes one frame off the front; false when it is not complete or wrong. */
static bool
take_frame(struct link *link, size_t *at)
{
	msgpack_unpacked unpacked;
	struct pr_frame frame;
	size_t left = link->in_bytes - *at, length;
	int error;

	if (left < PR_FRAME_HEADER_BYTES)
		return false;
	length = frame_length(link->in + *at);
	if (length > PR_FRAME_BYTES_MAX) {
		link_broke(link);
		return false;
	}
	if (left < PR_FRAME_HEADER_BYTES + length)
		return false;
	msgpack_unpacked_init(&unpacked);
	error = pr_decode(
	    link->in + *at + PR_FRAME_HEADER_BYTES, length, &unpacked, &frame);
	if (error != CS_OK || (link->id == 0 && frame.type != PR_FRAME_HELLO))
		link_broke(link);
	else
		on_frame(link, &frame);
	msgpack_unpacked_destroy(&unpacked);
	*at += PR_FRAME_HEADER_BYTES + length;
	return !link->closing;
}

static int
keep_bytes(struct link *link, const char *bytes, size_t count)
{
	size_t wanted = link->in_bytes + count;
	char *grown;

	if (wanted > link->in_capacity) {
		grown = realloc(link->in, 2 * wanted);
		if (grown == NULL)
			return CS_E_SYSTEM;
		link->in = grown;
		link->in_capacity = 2 * wanted;
	}
	memcpy(link->in + link->in_bytes, bytes, count);
	link->in_bytes = wanted;
	return CS_OK;
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct link *link = (struct link *)stream;
	size_t at = 0;

	if (count < 0) {
		link_broke(link);
		return;
	}
	link->mesh->counters.bytes_received += (uint64_t)count;
	if (keep_bytes(link, buffer->base, (size_t)count) != CS_OK) {
		link_broke(link);
		return;
	}
	while (take_frame(link, &at))
		;
	if (link->closing)
		return;
	memmove(link->in, link->in + at, link->in_bytes - at);
	link->in_bytes -= at;
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct pr_mesh *mesh = listener->data;
	struct link *link;

	if (status != 0)
		return;
	link = new_link(mesh);
	if (link == NULL)
		return;
	if (uv_accept(listener, (uv_stream_t *)&link->tcp) != 0) {
		close_link(link);
		return;
	}
	link->connected = true;
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct link *link = request->data;

	if (status != 0) {
		link_broke(link);
		return;
	}
	link->connected = true;
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

static struct link *
dial(struct pr_mesh *mesh, const char *address, uint64_t id)
{
	struct sockaddr_in parsed;
	struct link *link;

	if (ht_parse_address(address, &parsed) != CS_OK)
		return NULL;
	link = new_link(mesh);
	if (link == NULL)
		return NULL;
	link->id = id;
	link->dialed = true;
	link->connect.data = link;
	send_hello(link);
	if (uv_tcp_connect(&link->connect, &link->tcp,
		(const struct sockaddr *)&parsed, on_connected) != 0) {
		link_broke(link);
		return NULL;
	}
	return link;
}

static void
send_frame(struct link *link, const struct pr_frame *frame)
{
	if (link->closing)
		return;
	if (link->queued.size > LINK_BYTES_MAX) {
		link_broke(link);
		return;
	}
	pr_encode(frame, &link->queued);
	link->mesh->counters.messages_sent++;
}

static void
on_written(uv_write_t *request, int status)
{
	struct link *link = request->data;

	link->writing = false;
	if (status != 0)
		link_broke(link);
}

static void
flush_link(struct link *link)
{
	msgpack_sbuffer swap;
	uv_buf_t buffer;

	if (link->closing || link->writing || !link->connected ||
	    link->queued.size == 0)
		return;
	swap = link->flight;
	link->flight = link->queued;
	link->queued = swap;
	link->queued.size = 0;
	link->writing = true;
	link->write.data = link;
	link->mesh->counters.bytes_sent += link->flight.size;
	buffer =
	    uv_buf_init(link->flight.data, (unsigned int)link->flight.size);
	if (uv_write(&link->write, (uv_stream_t *)&link->tcp, &buffer, 1,
		on_written) != 0)
		link_broke(link);
}

static void
on_flush(uv_prepare_t *handle)
{
	struct pr_mesh *mesh = handle->data;
	struct link *link, *next;

	for (link = mesh->links; link != NULL; link = next) {
		next = link->next;
		flush_link(link);
	}
}

static struct link *
link_to(struct pr_mesh *mesh, uint32_t number)
{
	const struct pr_member *member = pr_members_at(mesh->members, number);
	struct link *link = find_link(mesh, member->id);

	if (link != NULL)
		return link;
	return dial(mesh, member->peer, member->id);
}

static void
ping_monitored(struct pr_mesh *mesh)
{
	uint32_t numbers[PR_MONITORED], i, count;
	struct pr_frame frame = ping_frame(mesh, PR_FRAME_PING);
	struct link *link;

	count = pr_members_monitored(mesh->members, numbers);
	for (i = 0; i < count; i++) {
		link = link_to(mesh, numbers[i]);
		if (link != NULL && link->queued.size < READ_BYTES) {
			link->used_us = cs_now_us();
			send_frame(link, &frame);
		}
	}
}

static void
keep_neighbours(struct pr_mesh *mesh)
{
	uint32_t numbers[PR_NEIGHBOURS_MAX], i, count;
	struct link *link;

	count = pr_members_neighbours(mesh->members, numbers);
	for (i = 0; i < count; i++) {
		link = link_to(mesh, numbers[i]);
		if (link != NULL)
			link->used_us = cs_now_us();
	}
	for (link = mesh->links; link != NULL; link = link->next) {
		if (link->dialed && cs_now_us() - link->used_us > IDLE_US)
			close_link(link);
	}
}

/* Links to members that are dead lead nowhere: a frozen process keeps them
 * open. */
static void
close_dead_links(struct pr_mesh *mesh)
{
	struct link *link;

	for (link = mesh->links; link != NULL; link = link->next) {
		int number = pr_members_find(mesh->members, link->id);

		if (number > 0 &&
		    pr_members_at(mesh->members, (uint32_t)number)->state ==
			PR_DEAD)
			close_link(link);
	}
}

static void
on_tick(uv_timer_t *timer)
{
	struct pr_mesh *mesh = timer->data;
	uint32_t changed[CHANGES_MAX], i, count;

	mesh->ticks++;
	count =
	    pr_members_tick(mesh->members, cs_now_us(), changed, CHANGES_MAX);
	for (i = 0; i < count; i++)
		forward_news(
		    mesh, pr_members_at(mesh->members, changed[i]), NULL);
	if (count > 0) {
		close_dead_links(mesh);
		members_changed(mesh);
	}
	if (mesh->ticks % PING_TICKS == 0) {
		mesh->pulled_version = 0;
		ping_monitored(mesh);
		keep_neighbours(mesh);
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
	    uv_listen((uv_stream_t *)&mesh->listener, BACKLOG, on_accept) != 0)
		return CS_E_SYSTEM;
	uv_tcp_getsockname(&mesh->listener, (struct sockaddr *)&bound, &length);
	ht_format_address(&bound, mesh->params.self.peer);
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
	mesh->members = pr_members_create(&mesh->params.self, cs_now_us());
	uv_timer_init(params->loop, &mesh->timer);
	mesh->timer.data = mesh;
	uv_timer_start(&mesh->timer, on_tick, TICK_MS, TICK_MS);
	uv_prepare_init(params->loop, &mesh->flush);
	mesh->flush.data = mesh;
	uv_prepare_start(&mesh->flush, on_flush);
	*out = mesh;
	return CS_OK;
}

const struct pr_members *
pr_mesh_members(const struct pr_mesh *mesh)
{
	return mesh->members;
}

void
pr_mesh_seed(struct pr_mesh *mesh, const char *address)
{
	uint32_t i;

	for (i = 0; i < pr_members_count(mesh->members); i++) {
		const struct pr_member *m = pr_members_at(mesh->members, i);

		if (strcmp(m->peer, address) == 0 && m->state <= PR_SUSPECT)
			return;
	}
	dial(mesh, address, 0);
}

int
pr_mesh_send(
    struct pr_mesh *mesh, uint64_t id, const struct dc_message *message)
{
	int number = pr_members_find(mesh->members, id);
	struct link *link;

	if (number <= 0)
		return CS_E_MISSING;
	link = link_to(mesh, (uint32_t)number);
	if (link == NULL)
		return CS_E_UNAVAILABLE;
	link->used_us = cs_now_us();
	send_frame(
	    link, &(struct pr_frame){.type = PR_FRAME_CORE, .core = *message});
	return link->closing ? CS_E_UNAVAILABLE : CS_OK;
}

void
pr_mesh_broadcast(struct pr_mesh *mesh, const struct dc_message *message)
{
	uint32_t i;

	for (i = 1; i < pr_members_count(mesh->members); i++) {
		const struct pr_member *m = pr_members_at(mesh->members, i);

		if (m->state == PR_ALIVE)
			pr_mesh_send(mesh, m->id, message);
	}
}

void
pr_mesh_config(struct pr_mesh *mesh, uint64_t version)
{
	struct pr_frame frame;
	struct link *link;

	mesh->config_version = version;
	frame = ping_frame(mesh, PR_FRAME_PING);
	for (link = mesh->links; link != NULL; link = link->next) {
		if (link->connected && link->id != 0)
			send_frame(link, &frame);
	}
}

void
pr_mesh_ready(struct pr_mesh *mesh)
{
	if (!pr_members_ready(mesh->members))
		return;
	forward_news(mesh, pr_members_self(mesh->members), NULL);
	members_changed(mesh);
}

void
pr_mesh_leave(struct pr_mesh *mesh)
{
	pr_members_leave(mesh->members, cs_now_us());
	forward_news(mesh, pr_members_self(mesh->members), NULL);
}

void
pr_mesh_counters(const struct pr_mesh *mesh, struct pr_mesh_counters *out)
{
	*out = mesh->counters;
}
