/* The stand-in for libuv: timers, datagrams and connections of a world. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/fleet/frames_internal.h"
#include "fleet_world_internal.h"

#define SEGMENT_BYTES 1448
/* A lost segment arrives this much later. */
#define RETRANSMISSION (220 * FW_MS)
/* As the options that lib/fleet/link.c sets on its sockets. */
#define KEEPALIVE (1000 * FW_MS)
#define UNACKED_MAX (1200 * FW_MS)

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

static uint32_t
vm_of(const uv_loop_t *loop)
{
	return (uint32_t)((const struct fw_vm *)loop->data - fw_world->vms);
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

	fw_push((struct fw_event){.at_us = fw_world->now_us + (int64_t)after_us,
	    .type = EVENT_TIMER,
	    .vm = vm,
	    .process = fw_world->vms[vm].process,
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

/* The type of an encoded frame. */
static uint32_t
frame_type(const char *data, size_t length)
{
	const unsigned char *bytes = (const unsigned char *)data;
	size_t at = bytes[0] == 0xdc ? 3 : bytes[0] == 0xdd ? 5 : 1;
	struct fl_frame frame;

	if (at >= length || bytes[at] >= FL_FRAME_TYPES)
		return 0;
	if (bytes[at] != FL_COMPRESSED_TYPE)
		return bytes[at];
	if (fl_decode(data, length, &frame) != CS_OK)
		return 0;
	if (frame.type == FL_FRAME_UPDATE)
		os_batch_free(&frame.as.update.batch);
	return frame.type;
}

int
uv_udp_try_send(uv_udp_t *udp, const uv_buf_t buffers[], unsigned count,
    const struct sockaddr *address)
{
	uint32_t from = vm_of(udp->loop),
		 to = fw_vm_at((const struct sockaddr_in *)address);
	struct fw_vm *vm = &fw_world->vms[from];
	struct fw_event event = {.type = EVENT_DATAGRAM,
	    .vm = to,
	    .from = fw_address(from),
	    .length = buffers[0].len};

	(void)count;
	if (to >= fw_world->vm_count)
		abort();
	vm->datagrams++;
	vm->sent_bytes[frame_type(buffers[0].base, buffers[0].len)][fw_where(
	    from, to)] += buffers[0].len + FW_UDP_HEADER_BYTES;
	if (fw_world->cut[from][to] || fw_is_lost())
		return (int)buffers[0].len;
	event.at_us = fw_world->now_us + fw_latency(from, to);
	event.data = malloc(buffers[0].len);
	memcpy(event.data, buffers[0].base, buffers[0].len);
	fw_push(event);
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
	fw_world->vms[from].ack_bytes[fw_where(from, to)] +=
	    segments * FW_TCP_HEADER_BYTES;
	fw_world->vms[to].received_bytes += segments * FW_TCP_HEADER_BYTES;
}

int
uv_tcp_connect(uv_connect_t *request, uv_tcp_t *tcp,
    const struct sockaddr *address, uv_connect_cb callback)
{
	uint32_t from = vm_of(tcp->loop),
		 to = fw_vm_at((const struct sockaddr_in *)address);
	struct fw_connection *connection = calloc(1, sizeof(*connection));

	*connection = (struct fw_connection){.ends = {tcp},
	    .vms = {from, to},
	    .processes = {fw_world->vms[from].process,
		fw_world->vms[to].process},
	    .request = request,
	    .connected = callback,
	    .used_us = fw_world->now_us,
	    .next = fw_world->connections};
	fw_world->connections = connection;
	request->handle = (uv_stream_t *)tcp;
	state_of(tcp)->connection = connection;
	count_acks(from, to, 2); /* SYN and the last ACK */
	fw_push(
	    (struct fw_event){.at_us = fw_world->now_us + fw_latency(from, to),
		.type = EVENT_CONNECT,
		.vm = to,
		.object = connection});
	fw_push((struct fw_event){.at_us = fw_world->now_us + KEEPALIVE,
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

	return !fw_world->cut[a][b] && !fw_world->cut[b][a] &&
	       fw_runs(fw_world, a) && fw_runs(fw_world, b) &&
	       fw_world->vms[a].process == connection->processes[0] &&
	       fw_world->vms[b].process == connection->processes[1];
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
	fw_push((struct fw_event){.at_us = fw_world->now_us,
	    .type = EVENT_WRITTEN,
	    .vm = vm_of(stream->loop),
	    .process = fw_world->vms[vm_of(stream->loop)].process,
	    .object = request,
	    .callback = (void *)callback});
	from = connection->vms[own];
	to = connection->vms[other];
	fw_world->vms[from]
	    .sent_bytes[frame_type(buffers[0].base + FL_LENGTH_BYTES,
		buffers[0].len - FL_LENGTH_BYTES)][fw_where(from, to)] +=
	    buffers[0].len + segments * FW_TCP_HEADER_BYTES;
	connection->used_us = fw_world->now_us;
	at_us = fw_world->now_us + fw_latency(from, to) +
		(fw_is_lost() ? RETRANSMISSION : 0);
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
	fw_push(event);
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
	fw_push((struct fw_event){.at_us = fw_world->now_us,
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
	if (fw_world->vms[connection->vms[state->end]].alive &&
	    !fw_world->cut[connection->vms[state->end]]
			  [connection->vms[1 - state->end]])
		fw_push((struct fw_event){
		    .at_us = fw_world->now_us +
			     fw_latency(connection->vms[0], connection->vms[1]),
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
	    fw_world->vms[connection->vms[end]].process !=
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
	struct fw_vm *vm = &fw_world->vms[connection->vms[1]];
	struct handle_state *listener = state_of(&vm->fleet->listener);

	if (connection->closed[0])
		return;
	connection->processes[1] = vm->process;
	listener->pending = connection;
	listener->on_connection((uv_stream_t *)&vm->fleet->listener, 0);
	fw_push((struct fw_event){
	    .at_us = fw_world->now_us +
		     fw_latency(connection->vms[0], connection->vms[1]),
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
	    fw_world->vms[connection->vms[0]].process ==
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
	    fw_world->vms[event->vm].process !=
		connection->processes[event->end])
		return;
	fw_world->vms[event->vm].received_bytes +=
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
		if (fw_world->now_us - connection->used_us >= KEEPALIVE) {
			count_acks(connection->vms[0], connection->vms[1], 1);
			count_acks(connection->vms[1], connection->vms[0], 1);
		}
	} else if (connection->silent_since_us == 0) {
		connection->silent_since_us = fw_world->now_us;
	} else if (fw_world->now_us - connection->silent_since_us >=
		   UNACKED_MAX) {
		for (end = 0; end < 2; end++) {
			if (!fw_runs(fw_world, connection->vms[end]))
				continue;
			fw_running = connection->vms[end];
			break_end(connection, end);
			fw_running = UINT32_MAX;
		}
	}
	fw_push((struct fw_event){.at_us = fw_world->now_us + KEEPALIVE / 4,
	    .type = EVENT_KEEPALIVE,
	    .vm = UINT32_MAX,
	    .object = connection});
}

static void
on_datagram(const struct fw_event *event)
{
	struct fw_vm *vm = &fw_world->vms[event->vm];
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

void
fw_handle_uv(struct fw_event *event)
{
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
	case EVENT_CLOSED:
		free(state_of(event->object));
		if (event->callback != NULL)
			((uv_close_cb)event->callback)(event->object);
		break;
	case EVENT_BROKEN:
		break_end(event->object, event->end);
		break;
	case EVENT_KEEPALIVE:
		on_keepalive(event->object);
		break;
	case EVENT_LISTED:
	case EVENT_CHANGED:
		break;
	}
}

void
fw_free_connections(void)
{
	struct fw_connection *connection;

	while ((connection = fw_world->connections) != NULL) {
		fw_world->connections = connection->next;
		free(connection);
	}
}
