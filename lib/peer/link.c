/*
 * A TCP link to another node. Frames are queued and written together when the
 * mesh flushes the link, once per loop iteration.
 */
#include <stdlib.h>
#include <string.h>

#include "peer_internal.h"

#define QUEUED_BYTES_MAX (4 * 1024 * 1024)
/* The limit for a link once the budget of the process is used up. */
#define QUEUED_BYTES_SHORT (256 * 1024)
/* The first frame names the node: no node has a longer one. */
#define HELLO_BYTES_MAX (64 * 1024)
/* A larger buffer is freed when it is empty. */
#define KEPT_BYTES_MAX (64 * 1024)

static void
on_closed(uv_handle_t *handle)
{
	struct pr_link *link = (struct pr_link *)handle;

	link->owner->on_closed(link);
	msgpack_sbuffer_destroy(&link->queued);
	msgpack_sbuffer_destroy(&link->in_flight);
	free(link->in);
	free(link);
}

struct pr_link *
pr_link_new(uv_loop_t *loop, struct pr_link_owner *owner)
{
	struct pr_link *link = calloc(1, sizeof(*link));

	if (link == NULL)
		return NULL;
	uv_tcp_init(loop, &link->tcp);
	link->owner = owner;
	link->used_us = link->opened_us = cs_now_us();
	msgpack_sbuffer_init(&link->queued);
	msgpack_sbuffer_init(&link->in_flight);
	return link;
}

void
pr_link_close(struct pr_link *link)
{
	if (link->closing)
		return;
	link->closing = true;
	/* The buffers are freed when libuv has closed the link. */
	cs_memory_return(
	    link->owner->memory, CS_MEMORY_LINKS, link->accounted_bytes);
	link->accounted_bytes = 0;
	uv_close((uv_handle_t *)&link->tcp, on_closed);
}

static void
disconnect(struct pr_link *link)
{
	if (link->closing)
		return;
	pr_link_close(link);
	link->owner->on_disconnect(link);
}

/* Accounts for the buffers; a link that lags is closed without room for them.
 */
static void
account(struct pr_link *link)
{
	uint64_t bytes = sizeof(*link) + link->queued.alloc +
			 link->in_flight.alloc + link->in_capacity;

	if (link->closing || bytes == link->accounted_bytes)
		return;
	if (!cs_memory_change(link->owner->memory, CS_MEMORY_LINKS,
		&link->accounted_bytes, bytes) &&
	    link->queued.size + link->in_flight.size > QUEUED_BYTES_SHORT)
		disconnect(link);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	struct pr_link *link = (struct pr_link *)handle;

	(void)suggested;
	*buffer = uv_buf_init(link->owner->read_buffer, PR_READ_BYTES);
}

static size_t
frame_length(const char *header)
{
	const unsigned char *h = (const unsigned char *)header;

	return (size_t)h[0] << 24 | (size_t)h[1] << 16 | (size_t)h[2] << 8 |
	       h[3];
}

/* Decodes and delivers a frame. The first frame of a peer must be HELLO. */
static void
handle_payload(struct pr_link *link, const char *bytes, size_t length)
{
	msgpack_unpacked unpacked;
	struct pr_frame frame;

	msgpack_unpacked_init(&unpacked);
	if (pr_decode(bytes, length, &unpacked, &frame) != CS_OK ||
	    (link->id == 0 && frame.type != PR_FRAME_HELLO))
		disconnect(link);
	else
		link->owner->on_frame(link, &frame);
	msgpack_unpacked_destroy(&unpacked);
}

/*
 * Parses the frame at *at and moves *at past it. Returns false if the frame is
 * incomplete or the link was closed.
 */
static bool
parse_frame(struct pr_link *link, size_t *at)
{
	size_t left = link->in_bytes - *at, length;

	if (left < PR_FRAME_HEADER_BYTES)
		return false;
	length = frame_length(link->in + *at);
	if (length > PR_FRAME_BYTES_MAX ||
	    (link->id == 0 && length > HELLO_BYTES_MAX)) {
		disconnect(link);
		return false;
	}
	if (left < PR_FRAME_HEADER_BYTES + length)
		return false;
	handle_payload(link, link->in + *at + PR_FRAME_HEADER_BYTES, length);
	*at += PR_FRAME_HEADER_BYTES + length;
	return !link->closing;
}

static int
append_input(struct pr_link *link, const char *bytes, size_t count)
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
	struct pr_link *link = (struct pr_link *)stream;
	size_t at = 0;

	if (count < 0 ||
	    append_input(link, buffer->base, (size_t)count) != CS_OK) {
		disconnect(link);
		return;
	}
	link->owner->counters->bytes_received += (uint64_t)count;
	while (parse_frame(link, &at))
		;
	if (link->closing)
		return;
	memmove(link->in, link->in + at, link->in_bytes - at);
	link->in_bytes -= at;
	if (link->in_bytes == 0 && link->in_capacity > KEPT_BYTES_MAX) {
		free(link->in);
		link->in = NULL;
		link->in_capacity = 0;
	}
	account(link);
}

static void
start_reading(struct pr_link *link)
{
	link->connected = true;
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

int
pr_link_accept(struct pr_link *link, uv_stream_t *listener)
{
	if (uv_accept(listener, (uv_stream_t *)&link->tcp) != 0)
		return CS_E_SYSTEM;
	start_reading(link);
	return CS_OK;
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct pr_link *link = request->data;

	if (status != 0)
		disconnect(link);
	else
		start_reading(link);
}

int
pr_link_dial(struct pr_link *link, const struct sockaddr_in *address)
{
	link->dialed = true;
	link->connect.data = link;
	if (uv_tcp_connect(&link->connect, &link->tcp,
		(const struct sockaddr *)address, on_connected) != 0) {
		disconnect(link);
		return CS_E_UNAVAILABLE;
	}
	return CS_OK;
}

void
pr_link_send(struct pr_link *link, const struct pr_frame *frame)
{
	if (link->closing)
		return;
	if (link->queued.size > QUEUED_BYTES_MAX) {
		disconnect(link);
		return;
	}
	pr_encode(frame, &link->queued);
	link->owner->counters->messages_sent++;
	account(link);
}

static void
on_written(uv_write_t *request, int status)
{
	struct pr_link *link = request->data;

	link->writing = false;
	if (link->in_flight.alloc > KEPT_BYTES_MAX) {
		msgpack_sbuffer_destroy(&link->in_flight);
		msgpack_sbuffer_init(&link->in_flight);
	}
	if (status != 0)
		disconnect(link);
	else
		account(link);
}

void
pr_link_flush(struct pr_link *link)
{
	msgpack_sbuffer swap;
	uv_buf_t buffer;

	if (link->closing || link->writing || !link->connected ||
	    link->queued.size == 0)
		return;
	swap = link->in_flight;
	link->in_flight = link->queued;
	link->queued = swap;
	link->queued.size = 0;
	link->writing = true;
	link->write.data = link;
	link->owner->counters->bytes_sent += link->in_flight.size;
	buffer = uv_buf_init(
	    link->in_flight.data, (unsigned int)link->in_flight.size);
	if (uv_write(&link->write, (uv_stream_t *)&link->tcp, &buffer, 1,
		on_written) != 0)
		disconnect(link);
}
