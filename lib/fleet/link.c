/*
 * Frames over TCP. A connection that exceeds one of the limits on bytes is
 * closed.
 */
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "link.h"

#define FRAME_BYTES_MAX (8 * 1024 * 1024)   /* a snapshot of one kind */
#define QUEUED_BYTES_MAX (16 * 1024 * 1024) /* snapshots of two kinds */
#define IN_BYTES_KEPT_MAX                                   \
	(128 * 1024) /* a larger buffer is freed when empty \
		      */
/* Followers only send short frames to their leader. */
#define ACCEPTED_IN_BYTES_MAX (256 * 1024)
/* A peer that acknowledges no bytes for this long is disconnected. */
#define UNACKED_TIMEOUT_MS 1200

struct write_request {
	uv_write_t request;
	struct fl_shared_frame *frame;
};

static void
on_closed(uv_handle_t *handle)
{
	struct fl_link *link = (struct fl_link *)handle;

	free(link->in);
	free(link);
}

void
fl_link_close(struct fl_link *link)
{
	if (link->closing)
		return;
	link->closing = true;
	cs_memory_return(
	    link->memory, CS_MEMORY_LINKS, link->in_accounted_bytes);
	link->in_accounted_bytes = 0;
	uv_close((uv_handle_t *)&link->tcp, on_closed);
}

static void
disconnect(struct fl_link *link)
{
	if (link->closing)
		return;
	fl_link_close(link);
	link->events->on_disconnect(link);
}

static uint32_t
frame_length(const char *data)
{
	uint32_t length;

	memcpy(&length, data, FL_LENGTH_BYTES);
	return ntohl(length);
}

/* Decodes and delivers each complete frame in the input buffer. */
static void
parse_frames(struct fl_link *link)
{
	size_t at = 0;

	while (!link->closing && link->in_length - at >= FL_LENGTH_BYTES) {
		uint32_t length = frame_length(link->in + at);
		struct fl_frame frame;

		if (length > FRAME_BYTES_MAX) {
			disconnect(link);
			return;
		}
		if (link->in_length - at - FL_LENGTH_BYTES < length)
			break;
		if (fl_decode(link->in + at + FL_LENGTH_BYTES, length,
			&frame) != CS_OK) {
			disconnect(link);
			return;
		}
		at += FL_LENGTH_BYTES + length;
		link->events->on_frame(link, &frame);
		if (frame.type == FL_FRAME_UPDATE)
			os_batch_free(&frame.as.update.batch);
	}
	memmove(link->in, link->in + at, link->in_length - at);
	link->in_length -= at;
	if (link->in_length == 0 && link->in_capacity > IN_BYTES_KEPT_MAX) {
		free(link->in);
		link->in = NULL;
		link->in_capacity = 0;
		cs_memory_change(link->memory, CS_MEMORY_LINKS,
		    &link->in_accounted_bytes, 0);
	}
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[64 * 1024]; /* shared: one read at a time */

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct fl_link *link = (struct fl_link *)stream;
	size_t wanted = link->in_length + (size_t)(length > 0 ? length : 0);
	char *grown;

	if (length < 0) {
		disconnect(link);
		return;
	}
	if (wanted > link->in_capacity) {
		if (link->accepted_us != 0 && wanted > ACCEPTED_IN_BYTES_MAX) {
			disconnect(link);
			return;
		}
		grown = realloc(link->in, wanted * 2);
		if (grown == NULL) {
			disconnect(link);
			return;
		}
		link->in = grown;
		link->in_capacity = wanted * 2;
		/* Counts in any case: updates must come in. */
		cs_memory_change(link->memory, CS_MEMORY_LINKS,
		    &link->in_accounted_bytes, link->in_capacity);
	}
	memcpy(link->in + link->in_length, buffer->base, (size_t)length);
	link->in_length = wanted;
	parse_frames(link);
}

static void
set_options(struct fl_link *link)
{
	unsigned unacked_timeout_ms = UNACKED_TIMEOUT_MS;
	int one = 1;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&link->tcp, 1);
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) != 0)
		return;
	/* If an option cannot be set, a dead peer is noticed later. */
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
	    sizeof(unacked_timeout_ms));
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct fl_link *link = request->data;

	if (link->closing)
		return;
	if (status < 0 ||
	    uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read) != 0) {
		disconnect(link);
		return;
	}
	link->events->on_open(link);
}

static struct fl_link *
new_link(uv_loop_t *loop, const struct fl_link_events *events, void *owner)
{
	struct fl_link *link = calloc(1, sizeof(*link));

	if (link == NULL)
		return NULL;
	link->events = events;
	link->owner = owner;
	if (uv_tcp_init_ex(loop, &link->tcp, AF_INET) != 0) {
		free(link);
		return NULL;
	}
	return link;
}

struct fl_link *
fl_link_connect(uv_loop_t *loop, const struct sockaddr_in *address,
    const struct fl_link_events *events, void *owner)
{
	struct fl_link *link = new_link(loop, events, owner);

	if (link == NULL)
		return NULL;
	set_options(link);
	link->connect_request.data = link;
	if (uv_tcp_connect(&link->connect_request, &link->tcp,
		(const struct sockaddr *)address, on_connect) != 0) {
		fl_link_close(link);
		return NULL;
	}
	return link;
}

struct fl_link *
fl_link_accept(
    uv_stream_t *listener, const struct fl_link_events *events, void *owner)
{
	struct fl_link *link = calloc(1, sizeof(*link));

	if (link == NULL)
		return NULL;
	link->events = events;
	link->accepted_us = cs_now_us();
	link->owner = owner;
	uv_tcp_init(listener->loop, &link->tcp);
	if (uv_accept(listener, (uv_stream_t *)&link->tcp) != 0 ||
	    uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read) != 0) {
		fl_link_close(link);
		return NULL;
	}
	set_options(link);
	return link;
}

struct fl_shared_frame *
fl_share_frame(struct cs_memory *memory, const struct fl_buffer *frame)
{
	struct fl_shared_frame *shared =
	    malloc(sizeof(*shared) + FL_LENGTH_BYTES + frame->length);
	uint32_t length = htonl((uint32_t)frame->length);

	if (shared == NULL)
		return NULL;
	*shared = (struct fl_shared_frame){.refs = 1,
	    .memory = memory,
	    .length = FL_LENGTH_BYTES + frame->length};
	memcpy(shared->data, &length, FL_LENGTH_BYTES);
	memcpy(shared->data + FL_LENGTH_BYTES, frame->data, frame->length);
	/* Counts in any case: updates must go out. See fl_link_send_shared().
	 */
	if (memory != NULL &&
	    cs_memory_take(memory, CS_MEMORY_LINKS, shared->length))
		shared->accounted_bytes = shared->length;
	else
		cs_memory_change(memory, CS_MEMORY_LINKS,
		    &shared->accounted_bytes, shared->length);
	return shared;
}

void
fl_unref_frame(struct fl_shared_frame *shared)
{
	if (shared == NULL || --shared->refs > 0)
		return;
	cs_memory_return(
	    shared->memory, CS_MEMORY_LINKS, shared->accounted_bytes);
	free(shared);
}

static void
on_written(uv_write_t *request, int status)
{
	struct fl_link *link = (struct fl_link *)request->handle;
	struct write_request *write = (struct write_request *)request;

	link->queued_bytes -= write->frame->length;
	fl_unref_frame(write->frame);
	free(write);
	if (status < 0 && status != UV_ECANCELED)
		disconnect(link);
}

void
fl_link_send_shared(struct fl_link *link, struct fl_shared_frame *frame)
{
	const struct cs_memory *memory = link->memory;
	struct write_request *write;
	uv_buf_t buffer;

	if (link->closing)
		return;
	/* A peer that lags is the first to go while memory is exhausted. */
	if (link->queued_bytes + frame->length > QUEUED_BYTES_MAX ||
	    (memory != NULL && memory->used_bytes > memory->bytes_max &&
		uv_stream_get_write_queue_size((uv_stream_t *)&link->tcp) >
		    0)) {
		disconnect(link);
		return;
	}
	write = malloc(sizeof(*write));
	if (write == NULL) {
		disconnect(link);
		return;
	}
	write->frame = frame;
	frame->refs++;
	link->queued_bytes += frame->length;
	buffer = uv_buf_init(frame->data, (unsigned)frame->length);
	if (uv_write(&write->request, (uv_stream_t *)&link->tcp, &buffer, 1,
		on_written) != 0) {
		link->queued_bytes -= frame->length;
		fl_unref_frame(frame);
		free(write);
		disconnect(link);
	}
}

void
fl_link_send(struct fl_link *link, const struct fl_buffer *frame)
{
	struct fl_shared_frame *shared = fl_share_frame(link->memory, frame);

	if (shared == NULL) {
		disconnect(link);
		return;
	}
	fl_link_send_shared(link, shared);
	fl_unref_frame(shared);
}
