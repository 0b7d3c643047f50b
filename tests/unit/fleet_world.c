#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/fleet/fleet_internal.h"
#include "../../lib/fleet/frames_internal.h"
#include "fleet_world.h"

#define SAME_LATENCY (300)
#define OTHER_LATENCY (1 * FW_MS)
#define REGION_LATENCY (13 * FW_MS)
#define SEGMENT_BYTES 1448
/* A lost segment arrives this much later. */
#define RETRANSMISSION (220 * FW_MS)
/* As the options that lib/fleet/link.c sets on its sockets. */
#define KEEPALIVE (1000 * FW_MS)
#define UNACKED_MAX (1200 * FW_MS)
#define STORE_LIST (60 * FW_MS)
#define STORE_CHANGE (5 * FW_MS)
#define TARGETS 990
#define TARGET_BYTES 300

enum event_type {
	EVENT_TIMER,
	EVENT_DATAGRAM,
	EVENT_CONNECT,	 /* a connection reaches the listener */
	EVENT_CONNECTED, /* the answer reaches the one that connects */
	EVENT_DATA,
	EVENT_WRITTEN,
	EVENT_CLOSED,
	EVENT_BROKEN, /* the other end has closed the connection */
	EVENT_KEEPALIVE,
	EVENT_LISTED, /* the store answers */
	EVENT_CHANGED,
};

struct fw_connection {
	/* 0 is the end that connected. NULL: closed or not yet open. */
	uv_tcp_t *ends[2];
	uint32_t vms[2], processes[2];
	bool reading[2], closed[2];
	int64_t arrives_us[2]; /* the last data at this end */
	int64_t silent_since_us;
	int64_t used_us;
	uv_connect_t *request;
	uv_connect_cb connected;
	struct fw_connection *next;
};

struct fw_event {
	int64_t at_us;
	uint64_t order;
	enum event_type type;
	uint32_t vm, process;
	uint64_t number; /* of a timer's start */
	void *object;
	uint32_t end; /* of a connection */
	char *data;
	size_t length;
	struct sockaddr_in from;
	void *callback;
};

/* What a handle is, kept where libuv keeps its own. */
struct handle_state {
	uint64_t number; /* of a timer: changes with each start and stop */
	uint64_t repeat_us;
	uv_timer_cb on_timer;
	uv_udp_recv_cb on_datagram;
	uv_alloc_cb alloc;
	uv_read_cb on_read;
	uv_connection_cb on_connection;
	struct fw_connection *connection, *pending;
	uint32_t end;
	bool active, closing;
};

static struct fw_world *the_world;
static uint32_t running = UINT32_MAX; /* the VM whose code runs */

int64_t __wrap_cs_now_us(void);

int64_t
fw_clock(const struct fw_world *world, uint32_t vm)
{
	return world->now_us - world->vms[vm].stopped_us;
}

int64_t
__wrap_cs_now_us(void)
{
	return running == UINT32_MAX ? the_world->now_us
				     : fw_clock(the_world, running);
}

bool
fw_runs(const struct fw_world *world, uint32_t vm)
{
	return world->vms[vm].alive &&
	       world->now_us >= world->vms[vm].frozen_until_us;
}

static bool
is_before(const struct fw_event *a, const struct fw_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push(struct fw_event event)
{
	struct fw_world *world = the_world;
	uint32_t at = world->heap_count++;

	if (world->heap_count > world->heap_capacity) {
		world->heap_capacity = world->heap_capacity * 2 + 1024;
		world->heap = realloc(
		    world->heap, world->heap_capacity * sizeof(*world->heap));
		if (world->heap == NULL)
			abort();
	}
	event.order = world->pushed++;
	for (; at > 0 && is_before(&event, &world->heap[(at - 1) / 2]);
	     at = (at - 1) / 2)
		world->heap[at] = world->heap[(at - 1) / 2];
	world->heap[at] = event;
}

static struct fw_event
pop(void)
{
	struct fw_world *world = the_world;
	struct fw_event first = world->heap[0];
	struct fw_event last = world->heap[--world->heap_count];
	uint32_t at = 0, child;

	while ((child = 2 * at + 1) < world->heap_count) {
		if (child + 1 < world->heap_count &&
		    is_before(&world->heap[child + 1], &world->heap[child]))
			child++;
		if (!is_before(&world->heap[child], &last))
			break;
		world->heap[at] = world->heap[child];
		at = child;
	}
	world->heap[at] = last;
	return first;
}

static uint32_t
vm_of(const uv_loop_t *loop)
{
	return (uint32_t)((const struct fw_vm *)loop->data - the_world->vms);
}

static struct sockaddr_in
address_of(uint32_t vm)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(7000),
	    .sin_addr.s_addr = htonl(0x0a000000 + vm + 1)};
}

static uint32_t
vm_at(const struct sockaddr_in *address)
{
	return ntohl(address->sin_addr.s_addr) - 0x0a000000 - 1;
}

static enum fw_where
where_is(uint32_t from, uint32_t to)
{
	const struct fw_vm *a = &the_world->vms[from], *b = &the_world->vms[to];

	return a->region != b->region		  ? FW_REGION
	       : a->data_centre != b->data_centre ? FW_OTHER
						  : FW_SAME;
}

static int64_t
latency(uint32_t from, uint32_t to)
{
	static const int64_t by_where[] = {
	    SAME_LATENCY, OTHER_LATENCY, REGION_LATENCY};

	return by_where[where_is(from, to)];
}

static bool
is_lost(void)
{
	return cs_random_unit(&the_world->random) < the_world->loss;
}

static struct handle_state *
state_of(const void *handle)
{
	return ((const uv_handle_t *)handle)->u.reserved[3];
}

static void
init_handle(uv_loop_t *loop, uv_handle_t *handle)
{
	handle->loop = loop;
	handle->u.reserved[3] = calloc(1, sizeof(struct handle_state));
}

/* Timers. */
int
uv_timer_init(uv_loop_t *loop, uv_timer_t *timer)
{
	init_handle(loop, (uv_handle_t *)timer);
	return 0;
}

static void
push_timer(uv_timer_t *timer, uint64_t after_us)
{
	uint32_t vm = vm_of(timer->loop);

	push((struct fw_event){.at_us = the_world->now_us + (int64_t)after_us,
	    .type = EVENT_TIMER,
	    .vm = vm,
	    .process = the_world->vms[vm].process,
	    .object = timer,
	    .number = state_of(timer)->number});
}

int
uv_timer_start(
    uv_timer_t *timer, uv_timer_cb callback, uint64_t after, uint64_t repeat)
{
	struct handle_state *state = state_of(timer);

	state->on_timer = callback;
	state->repeat_us = repeat * 1000;
	state->active = true;
	state->number++;
	push_timer(timer, after * 1000);
	return 0;
}

int
uv_timer_stop(uv_timer_t *timer)
{
	state_of(timer)->active = false;
	state_of(timer)->number++;
	return 0;
}

int
uv_is_active(const uv_handle_t *handle)
{
	return state_of(handle)->active;
}

/* UDP. */
int
uv_udp_init(uv_loop_t *loop, uv_udp_t *udp)
{
	init_handle(loop, (uv_handle_t *)udp);
	return 0;
}

int
uv_udp_bind(uv_udp_t *udp, const struct sockaddr *address, unsigned flags)
{
	(void)udp;
	(void)address;
	(void)flags;
	return 0;
}

int
uv_udp_recv_start(uv_udp_t *udp, uv_alloc_cb alloc, uv_udp_recv_cb callback)
{
	state_of(udp)->alloc = alloc;
	state_of(udp)->on_datagram = callback;
	return 0;
}

/*
 * The type of an encoded frame, which is the first item of its array; that of a
 * compressed one is given.
 */
static uint32_t
frame_type(const char *data, size_t length, enum fl_frame_type compressed)
{
	const unsigned char *bytes = (const unsigned char *)data;
	size_t at = bytes[0] == 0xdc ? 3 : bytes[0] == 0xdd ? 5 : 1;

	if (at >= length || bytes[at] >= FL_FRAME_TYPES)
		return 0;
	return bytes[at] == FL_COMPRESSED_TYPE ? compressed : bytes[at];
}

int
uv_udp_try_send(uv_udp_t *udp, const uv_buf_t buffers[], unsigned count,
    const struct sockaddr *address)
{
	uint32_t from = vm_of(udp->loop),
		 to = vm_at((const struct sockaddr_in *)address);
	struct fw_vm *vm = &the_world->vms[from];
	struct fw_event event = {.type = EVENT_DATAGRAM,
	    .vm = to,
	    .from = address_of(from),
	    .length = buffers[0].len};

	(void)count;
	if (to >= the_world->vm_count)
		abort();
	vm->datagrams++;
	vm->sent_bytes[frame_type(buffers[0].base, buffers[0].len,
	    FL_FRAME_HELLO)][where_is(from, to)] +=
	    buffers[0].len + FW_UDP_HEADER_BYTES;
	if (the_world->cut[from][to] || is_lost())
		return (int)buffers[0].len;
	event.at_us = the_world->now_us + latency(from, to);
	event.data = malloc(buffers[0].len);
	memcpy(event.data, buffers[0].base, buffers[0].len);
	push(event);
	return (int)buffers[0].len;
}

/* TCP. */
int
uv_tcp_init(uv_loop_t *loop, uv_tcp_t *tcp)
{
	init_handle(loop, (uv_handle_t *)tcp);
	return 0;
}

int
uv_tcp_init_ex(uv_loop_t *loop, uv_tcp_t *tcp, unsigned flags)
{
	(void)flags;
	return uv_tcp_init(loop, tcp);
}

int
uv_tcp_bind(uv_tcp_t *tcp, const struct sockaddr *address, unsigned flags)
{
	(void)tcp;
	(void)address;
	(void)flags;
	return 0;
}

int
uv_tcp_nodelay(uv_tcp_t *tcp, int enable)
{
	(void)tcp;
	(void)enable;
	return 0;
}

int
uv_fileno(const uv_handle_t *handle, uv_os_fd_t *fd)
{
	(void)handle;
	(void)fd;
	return UV_EBADF;
}

size_t
uv_stream_get_write_queue_size(const uv_stream_t *stream)
{
	(void)stream;
	return 0;
}

int
uv_listen(uv_stream_t *stream, int backlog, uv_connection_cb callback)
{
	(void)backlog;
	state_of(stream)->on_connection = callback;
	return 0;
}

int
uv_read_start(uv_stream_t *stream, uv_alloc_cb alloc, uv_read_cb callback)
{
	state_of(stream)->alloc = alloc;
	state_of(stream)->on_read = callback;
	return 0;
}

static void
count_acks(uint32_t from, uint32_t to, uint64_t segments)
{
	the_world->vms[from].ack_bytes[where_is(from, to)] +=
	    segments * FW_TCP_HEADER_BYTES;
	the_world->vms[to].received_bytes += segments * FW_TCP_HEADER_BYTES;
}

int
uv_tcp_connect(uv_connect_t *request, uv_tcp_t *tcp,
    const struct sockaddr *address, uv_connect_cb callback)
{
	uint32_t from = vm_of(tcp->loop),
		 to = vm_at((const struct sockaddr_in *)address);
	struct fw_connection *connection = calloc(1, sizeof(*connection));

	*connection = (struct fw_connection){.ends = {tcp},
	    .vms = {from, to},
	    .processes = {the_world->vms[from].process,
		the_world->vms[to].process},
	    .request = request,
	    .connected = callback,
	    .used_us = the_world->now_us,
	    .next = the_world->connections};
	the_world->connections = connection;
	request->handle = (uv_stream_t *)tcp;
	state_of(tcp)->connection = connection;
	count_acks(from, to, 2); /* SYN and the last ACK */
	push((struct fw_event){.at_us = the_world->now_us + latency(from, to),
	    .type = EVENT_CONNECT,
	    .vm = to,
	    .object = connection});
	push((struct fw_event){.at_us = the_world->now_us + KEEPALIVE,
	    .type = EVENT_KEEPALIVE,
	    .vm = UINT32_MAX,
	    .object = connection});
	return 0;
}

int
uv_accept(uv_stream_t *listener, uv_stream_t *stream)
{
	struct fw_connection *connection = state_of(listener)->pending;

	state_of(listener)->pending = NULL;
	connection->ends[1] = (uv_tcp_t *)stream;
	state_of(stream)->connection = connection;
	state_of(stream)->end = 1;
	return 0;
}

static bool
is_path_open(const struct fw_connection *connection)
{
	uint32_t a = connection->vms[0], b = connection->vms[1];

	return !the_world->cut[a][b] && !the_world->cut[b][a] &&
	       fw_runs(the_world, a) && fw_runs(the_world, b) &&
	       the_world->vms[a].process == connection->processes[0] &&
	       the_world->vms[b].process == connection->processes[1];
}

int
uv_write(uv_write_t *request, uv_stream_t *stream, const uv_buf_t buffers[],
    unsigned count, uv_write_cb callback)
{
	struct handle_state *state = state_of(stream);
	struct fw_connection *connection = state->connection;
	uint32_t own = state->end, other = 1 - own, from, to;
	uint64_t segments =
	    (buffers[0].len + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
	int64_t at_us;

	(void)count;
	request->handle = stream;
	push((struct fw_event){.at_us = the_world->now_us,
	    .type = EVENT_WRITTEN,
	    .vm = vm_of(stream->loop),
	    .process = the_world->vms[vm_of(stream->loop)].process,
	    .object = request,
	    .callback = (void *)callback});
	from = connection->vms[own];
	to = connection->vms[other];
	the_world->vms[from].sent_bytes[frame_type(
	    buffers[0].base + FL_LENGTH_BYTES, buffers[0].len - FL_LENGTH_BYTES,
	    FL_FRAME_UPDATE)][where_is(from, to)] +=
	    buffers[0].len + segments * FW_TCP_HEADER_BYTES;
	connection->used_us = the_world->now_us;
	at_us = the_world->now_us + latency(from, to) +
		(is_lost() ? RETRANSMISSION : 0);
	if (at_us <= connection->arrives_us[other])
		at_us = connection->arrives_us[other];
	connection->arrives_us[other] = at_us;
	struct fw_event event = {.at_us = at_us,
	    .type = EVENT_DATA,
	    .vm = to,
	    .object = connection,
	    .end = other,
	    .number = segments,
	    .data = malloc(buffers[0].len),
	    .length = buffers[0].len};

	memcpy(event.data, buffers[0].base, buffers[0].len);
	push(event);
	return 0;
}

void
uv_close(uv_handle_t *handle, uv_close_cb callback)
{
	struct handle_state *state = state_of(handle);
	struct fw_connection *connection = state->connection;

	state->closing = true;
	state->active = false;
	state->number++;
	push((struct fw_event){.at_us = the_world->now_us,
	    .type = EVENT_CLOSED,
	    .vm = UINT32_MAX,
	    .object = handle,
	    .callback = (void *)callback});
	if (connection == NULL)
		return;
	connection->ends[state->end] = NULL;
	connection->closed[state->end] = true;
	if (connection->closed[1 - state->end])
		return;
	/* A VM without power does not tell the other end. */
	if (the_world->vms[connection->vms[state->end]].alive &&
	    !the_world->cut[connection->vms[state->end]]
			   [connection->vms[1 - state->end]])
		push((struct fw_event){
		    .at_us = the_world->now_us +
			     latency(connection->vms[0], connection->vms[1]),
		    .type = EVENT_BROKEN,
		    .vm = connection->vms[1 - state->end],
		    .object = connection,
		    .end = 1 - state->end});
}

/* Handling of events. */
static void
break_end(struct fw_connection *connection, uint32_t end)
{
	uv_tcp_t *tcp = connection->ends[end];
	uv_buf_t none = uv_buf_init(NULL, 0);

	if (tcp == NULL || connection->closed[end] ||
	    the_world->vms[connection->vms[end]].process !=
		connection->processes[end])
		return;
	if (end == 0 && connection->request != NULL) {
		uv_connect_t *request = connection->request;

		connection->request = NULL;
		connection->connected(request, UV_ECONNREFUSED);
	} else if (state_of(tcp)->on_read != NULL) {
		state_of(tcp)->on_read(
		    (uv_stream_t *)tcp, UV_ECONNRESET, &none);
	}
}

static void
on_connect(struct fw_connection *connection)
{
	struct fw_vm *vm = &the_world->vms[connection->vms[1]];
	struct handle_state *listener = state_of(&vm->fleet->listener);

	if (connection->closed[0])
		return;
	connection->processes[1] = vm->process;
	listener->pending = connection;
	listener->on_connection((uv_stream_t *)&vm->fleet->listener, 0);
	push((struct fw_event){
	    .at_us = the_world->now_us +
		     latency(connection->vms[0], connection->vms[1]),
	    .type = EVENT_CONNECTED,
	    .vm = connection->vms[0],
	    .object = connection});
}

static void
on_connected(struct fw_connection *connection)
{
	uv_connect_t *request = connection->request;

	connection->request = NULL;
	if (!connection->closed[0] && request != NULL &&
	    the_world->vms[connection->vms[0]].process ==
		connection->processes[0])
		connection->connected(request, 0);
}

static void
on_data(struct fw_event *event)
{
	struct fw_connection *connection = event->object;
	uv_tcp_t *tcp = connection->ends[event->end];
	size_t at = 0;

	if (tcp == NULL || connection->closed[event->end] ||
	    the_world->vms[event->vm].process !=
		connection->processes[event->end])
		return;
	the_world->vms[event->vm].received_bytes +=
	    event->length + event->number * FW_TCP_HEADER_BYTES;
	count_acks(event->vm, connection->vms[1 - event->end],
	    (event->number + 1) / 2);
	while (at < event->length && !connection->closed[event->end]) {
		uv_buf_t buffer;
		size_t length = event->length - at;

		state_of(tcp)->alloc((uv_handle_t *)tcp, length, &buffer);
		if (length > buffer.len)
			length = buffer.len;
		memcpy(buffer.base, event->data + at, length);
		at += length;
		state_of(tcp)->on_read(
		    (uv_stream_t *)tcp, (ssize_t)length, &buffer);
	}
}

/*
 * A connection without use is probed each second; one whose path does not work
 * for UNACKED_MAX ends at each VM that runs.
 */
static void
on_keepalive(struct fw_connection *connection)
{
	uint32_t end;

	if (connection->closed[0] &&
	    (connection->closed[1] || connection->ends[1] == NULL))
		return;
	if (is_path_open(connection)) {
		connection->silent_since_us = 0;
		if (the_world->now_us - connection->used_us >= KEEPALIVE) {
			count_acks(connection->vms[0], connection->vms[1], 1);
			count_acks(connection->vms[1], connection->vms[0], 1);
		}
	} else if (connection->silent_since_us == 0) {
		connection->silent_since_us = the_world->now_us;
	} else if (the_world->now_us - connection->silent_since_us >=
		   UNACKED_MAX) {
		for (end = 0; end < 2; end++) {
			if (!fw_runs(the_world, connection->vms[end]))
				continue;
			running = connection->vms[end];
			break_end(connection, end);
			running = UINT32_MAX;
		}
	}
	push((struct fw_event){.at_us = the_world->now_us + KEEPALIVE / 4,
	    .type = EVENT_KEEPALIVE,
	    .vm = UINT32_MAX,
	    .object = connection});
}

static void
on_datagram(const struct fw_event *event)
{
	struct fw_vm *vm = &the_world->vms[event->vm];
	uv_udp_t *udp = &vm->fleet->udp;
	uv_buf_t buffer;

	vm->received_bytes += event->length + FW_UDP_HEADER_BYTES;
	state_of(udp)->alloc((uv_handle_t *)udp, event->length, &buffer);
	memcpy(buffer.base, event->data, event->length);
	state_of(udp)->on_datagram(udp, (ssize_t)event->length, &buffer,
	    (const struct sockaddr *)&event->from, 0);
}

static void
on_timer(const struct fw_event *event)
{
	uv_timer_t *timer = event->object;
	struct handle_state *state = state_of(timer);

	if (state->closing || state->number != event->number)
		return;
	if (state->repeat_us > 0)
		push_timer(timer, state->repeat_us);
	else
		state->active = false;
	state->on_timer(timer);
}

/* The VM and the store. */
static void
apply(struct fw_vm *vm, const struct fl_update *update)
{
	struct os_batch changed;
	int error = update->snapshot
			? os_cache_apply_snapshot(
			      vm->cache, update->kind, &update->batch, &changed)
			: os_cache_apply_changes(vm->cache, update->kind,
			      &update->batch, &changed);

	if (error != CS_OK)
		return;
	if (changed.count > 0)
		fl_send_update(vm->fleet, update);
	free(changed.changes);
	fl_set_ready(vm->fleet, true);
	if (os_cache_revision(vm->cache, 0) == the_world->revision)
		vm->current_us = the_world->now_us;
}

/* Brings the VM up to date with the store. */
static void
read_store(struct fw_vm *vm)
{
	struct fl_update update = {.kind = 0};

	if (os_cache_changes_since(the_world->store, 0,
		os_cache_revision(vm->cache, 0), &update.batch,
		&update.snapshot) != CS_OK)
		return;
	apply(vm, &update);
	free(update.batch.changes);
}

static void
list_nodes(uint32_t number)
{
	struct fw_vm *vm = &the_world->vms[number];
	uint32_t i;

	the_world->registered[number] = true;
	for (i = 0; i < the_world->vm_count; i++) {
		struct fl_node node = {.fleet = address_of(i)};

		if (!the_world->registered[i] || i == number)
			continue;
		node.region =
		    the_world->vms[i].fleet == NULL
			? 1
			: the_world->vms[i].fleet->membership.self.region;
		node.same_region = the_world->vms[i].region == vm->region;
		snprintf(node.name, sizeof(node.name), "entry-%03u", i);
		snprintf(node.data_centre, sizeof(node.data_centre),
		    "region%u-dc%u", the_world->vms[i].region,
		    the_world->vms[i].data_centre);
		fl_add_node(vm->fleet, &node);
	}
	fl_nodes_listed(vm->fleet);
}

static void
on_listed(uint32_t number)
{
	struct fw_vm *vm = &the_world->vms[number];

	vm->lists = false;
	if (vm->role != FL_ROLE_WATCH_STORE)
		return;
	vm->watches = true;
	read_store(vm);
	fl_set_current(vm->fleet, true);
	list_nodes(number);
}

static void
on_role(void *user, enum fl_role role, const struct fl_node *leader)
{
	struct fw_vm *vm = user;
	uint32_t number = (uint32_t)(vm - the_world->vms);

	(void)leader;
	vm->role = role;
	if (role != FL_ROLE_WATCH_STORE) {
		vm->watches = false;
		fl_set_current(vm->fleet, false);
	} else if (!vm->watches && !vm->lists) {
		vm->lists = true;
		push((struct fw_event){.at_us = the_world->now_us + STORE_LIST,
		    .type = EVENT_LISTED,
		    .vm = number,
		    .process = vm->process});
	}
}

static void
on_update(void *user, const struct fl_update *update)
{
	apply(user, update);
}

static void
on_node(void *user, const struct fl_node *node, bool returned)
{
	(void)user;
	(void)node;
	(void)returned;
}

static const struct fl_events events = {
    .on_role = on_role, .on_update = on_update, .on_node = on_node};

static void
put_target(uint32_t number)
{
	char name[32], text[TARGET_BYTES + 1];
	struct os_change change = {
	    .name = "", .revision = ++the_world->revision};
	struct os_batch batch = {.revision = the_world->revision,
			    .count = 1,
			    .changes = &change},
			changed;
	size_t i;

	snprintf(name, sizeof(name), "target-%u", number);
	cs_copy_text(change.name, sizeof(change.name), name);
	/* As registrations are: field names that repeat, and some values. */
	for (i = 0; i < TARGET_BYTES; i++)
		text[i] = i % 6 == 0 ? "0123456789abcdef"[cs_random_below(
					   &the_world->random, 16)]
				     : (char)('a' + i % 26);
	text[i] = '\0';
	change.text = text;
	change.text_length = strlen(text);
	if (os_cache_apply_changes(the_world->store, 0, &batch, &changed) ==
	    CS_OK)
		free(changed.changes);
}

void
fw_change_target(struct fw_world *world)
{
	uint32_t i;

	put_target(cs_random_below(&world->random, TARGETS));
	for (i = 0; i < world->vm_count; i++) {
		if (world->vms[i].watches)
			push((struct fw_event){
			    .at_us = world->now_us + STORE_CHANGE,
			    .type = EVENT_CHANGED,
			    .vm = i,
			    .process = world->vms[i].process});
	}
}

static void
handle(struct fw_event *event)
{
	struct fw_vm *vm = &the_world->vms[event->vm];

	switch (event->type) {
	case EVENT_TIMER:
		on_timer(event);
		break;
	case EVENT_DATAGRAM:
		on_datagram(event);
		break;
	case EVENT_CONNECT:
		on_connect(event->object);
		break;
	case EVENT_CONNECTED:
		on_connected(event->object);
		break;
	case EVENT_DATA:
		on_data(event);
		break;
	case EVENT_WRITTEN:
		((uv_write_cb)event->callback)(event->object, 0);
		break;
	case EVENT_BROKEN:
		break_end(event->object, event->end);
		break;
	case EVENT_LISTED:
		on_listed(event->vm);
		break;
	case EVENT_CHANGED:
		if (vm->watches)
			read_store(vm);
		break;
	case EVENT_CLOSED:
	case EVENT_KEEPALIVE:
		break;
	}
}

static void
dispatch(struct fw_event *event)
{
	struct fw_vm *vm;

	if (event->type == EVENT_KEEPALIVE) {
		on_keepalive(event->object);
		return;
	}
	if (event->type == EVENT_CLOSED) {
		free(state_of(event->object));
		if (event->callback != NULL)
			((uv_close_cb)event->callback)(event->object);
		return;
	}
	vm = &the_world->vms[event->vm];
	if (event->type == EVENT_WRITTEN) { /* frees memory in any case */
		running = event->vm;
		handle(event);
		running = UINT32_MAX;
		return;
	}
	if (!vm->alive ||
	    (event->process != 0 && event->process != vm->process))
		return;
	if (!fw_runs(the_world, event->vm)) {
		event->at_us = vm->frozen_until_us;
		push(*event);
		event->data = NULL;
		return;
	}
	running = event->vm;
	handle(event);
	running = UINT32_MAX;
}

void
fw_run(struct fw_world *world, int64_t for_us)
{
	int64_t until_us = world->now_us + for_us;

	while (world->heap_count > 0 && world->heap[0].at_us < until_us) {
		struct fw_event event = pop();

		world->now_us = event.at_us;
		dispatch(&event);
		free(event.data);
	}
	world->now_us = until_us;
}

/* The first two VMs of each region are seeds of all VMs. */
static void
set_seeds(struct fl_params *params)
{
	uint32_t i;

	for (i = 0; i < 2 * FW_REGIONS && i < the_world->vm_count; i++)
		params->seeds[params->seed_count++] = address_of(i);
}

void
fw_start(struct fw_world *world, uint32_t number)
{
	struct fw_vm *vm = &world->vms[number];
	struct fl_params params = {.loop = &vm->loop,
	    .cache = vm->cache = os_cache_create(),
	    .kind_count = 1,
	    .events = &events,
	    .user = vm};

	vm->alive = true;
	vm->process++;
	vm->role = FL_ROLE_UNDECIDED;
	vm->lists = vm->watches = false;
	vm->frozen_until_us = 0;
	vm->loop.data = vm;
	snprintf(params.region, sizeof(params.region), "region%u", vm->region);
	snprintf(
	    params.self.name, sizeof(params.self.name), "entry-%03u", number);
	snprintf(params.self.data_centre, sizeof(params.self.data_centre),
	    "region%u-dc%u", vm->region, vm->data_centre);
	params.self.fleet = params.self.listen_address = address_of(number);
	params.self.listen_address.sin_port = htons(8000);
	params.self.boot = cs_random_next(&world->random);
	params.self.capacity = number / 9 % 7;
	params.self.tells_era = true;
	set_seeds(&params);
	if (world->on_params != NULL)
		world->on_params(number, &params);
	running = number;
	if (fl_create(&params, &vm->fleet) != CS_OK)
		abort();
	running = UINT32_MAX;
}

void
fw_kill(struct fw_world *world, uint32_t number)
{
	struct fw_vm *vm = &world->vms[number];

	if (!vm->alive)
		return;
	vm->alive = vm->watches = false;
	vm->process++;
	fl_close(vm->fleet);
	/* Its handles are freed once their close callbacks have run. */
	os_cache_free(vm->cache);
	vm->cache = NULL;
}

void
fw_freeze(struct fw_world *world, uint32_t vm, int64_t for_us)
{
	world->vms[vm].frozen_until_us = world->now_us + for_us;
	world->vms[vm].stopped_us += for_us;
}

struct fl_node *
fw_entry(const struct fw_world *world, uint32_t vm, uint32_t other)
{
	struct sockaddr_in address = address_of(other);

	return fl_membership_find(&world->vms[vm].fleet->membership, &address);
}

bool
fw_hears(const struct fw_world *world, uint32_t vm, uint32_t other)
{
	const struct fl_node *node = fw_entry(world, vm, other);

	return node != NULL && fl_node_is_alive(node, fw_clock(world, vm));
}

bool
fw_lists(const struct fw_world *world, uint32_t vm, uint32_t other)
{
	struct sockaddr_in addresses[FL_NODES_MAX];
	struct fl_directory_query query = {.hash = 1};
	uint32_t count =
	    fl_membership_list_addresses(&world->vms[vm].fleet->membership,
		fw_clock(world, vm), &query, addresses, FL_NODES_MAX);

	while (count > 0 && vm_at(&addresses[count - 1]) != other)
		count--;
	return count > 0;
}

void
fw_reset_counters(struct fw_world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		struct fw_vm *vm = &world->vms[i];

		memset(vm->sent_bytes, 0, sizeof(vm->sent_bytes));
		memset(vm->ack_bytes, 0, sizeof(vm->ack_bytes));
		vm->received_bytes = vm->datagrams = 0;
	}
}

struct fw_world *
fw_create(uint32_t vm_count, uint64_t seed)
{
	uint32_t i;

	the_world = calloc(1, sizeof(*the_world));
	if (the_world == NULL)
		abort();
	the_world->now_us = FW_START;
	the_world->vm_count = vm_count;
	the_world->store = os_cache_create();
	cs_random_seed(&the_world->random, seed);
	for (i = 0; i < vm_count; i++) {
		the_world->vms[i].region = i % FW_REGIONS;
		the_world->vms[i].data_centre =
		    i / FW_REGIONS % FW_DATA_CENTRES;
	}
	for (i = 0; i < TARGETS; i++)
		put_target(i);
	return the_world;
}

void
fw_free(struct fw_world *world)
{
	struct fw_connection *connection;
	uint32_t i;

	for (i = 0; i < world->vm_count; i++)
		fw_kill(world, i);
	fw_run(world, FW_SECOND);
	while (world->heap_count > 0)
		free(pop().data);
	while ((connection = world->connections) != NULL) {
		world->connections = connection->next;
		free(connection);
	}
	os_cache_free(world->store);
	free(world->heap);
	free(world);
	the_world = NULL;
}
