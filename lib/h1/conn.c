/* One connection of the listener: closing it and writing to it. */
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1_internal.h"

static void
unlink_conn(struct h1_conn *conn)
{
	struct h1_server *server = conn->server;

	if (conn->previous != NULL)
		conn->previous->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next != NULL)
		conn->next->previous = conn->previous;
	server->connection_count--;
}

/* The owner has not ended its call: tells it once that the client is gone. */
static void
report_disconnect(struct h1_conn *conn)
{
	if (conn->state != CONN_RESPONDING)
		return;
	conn->state = CONN_LINGERING;
	conn->server->active_requests--;
	conn->server->params.events->on_disconnect(conn);
}

static void
on_closed(uv_handle_t *handle)
{
	struct h1_conn *conn = (struct h1_conn *)handle;

	report_disconnect(conn);
	h1_reader_free(&conn->reader);
	h1_bytes_free(&conn->pipelined);
	free(conn);
}

void
h1_conn_release_body(struct h1_conn *conn)
{
	conn->server->reserved_body_bytes -= conn->reserved_bytes;
	cs_memory_return(conn->server->params.memory, CS_MEMORY_REQUESTS,
	    conn->reserved_bytes);
	conn->reserved_bytes = 0;
}

void
h1_conn_drop(struct h1_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	h1_conn_release_body(conn);
	cs_memory_return(conn->server->params.memory, CS_MEMORY_CONNECTIONS,
	    conn->accounted_bytes);
	conn->accounted_bytes = 0;
	/* The buffers are freed when libuv has cancelled the writes. */
	cs_memory_return(
	    conn->server->params.memory, CS_MEMORY_OUTPUT, conn->output_bytes);
	conn->output_bytes = 0;
	unlink_conn(conn);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

void
h1_conn_close(struct h1_conn *conn)
{
	if (conn->closing)
		return;
	h1_conn_drop(conn);
	report_disconnect(conn);
}

void
h1_conn_reset_on_close(struct h1_conn *conn, bool on)
{
	struct linger linger = {.l_onoff = on, .l_linger = 0};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
	struct h1_conn *conn = (struct h1_conn *)request->handle;

	/* The time for the client to close begins; see h1_server_sweep(). */
	if (status != 0)
		return;
	conn->timeout_start_us = cs_now_us();
	h1_conn_reset_on_close(conn, false);
}

void
h1_conn_linger(struct h1_conn *conn)
{
	conn->state = CONN_LINGERING;
	h1_conn_resume_reading(conn);
	/* The time in which the request was processed is not the client's. */
	conn->timeout_start_us = conn->mark_us = cs_now_us();
	h1_conn_release_body(conn);
	h1_bytes_free(&conn->reader.message.body);
	h1_bytes_free(&conn->pipelined);
	if (uv_shutdown(&conn->shutdown_request, (uv_stream_t *)&conn->tcp,
		on_shutdown) != 0)
		h1_conn_close(conn);
}

size_t
h1_conn_unsent(const struct h1_conn *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

struct write_request {
	uv_write_t request;
	uint64_t accounted_bytes; /* of CS_MEMORY_OUTPUT */
	struct h1_bytes body;	  /* owned; may be empty */
	char data[];
};

static void
release_write(struct h1_conn *conn, struct write_request *write)
{
	if (!conn->closing) {
		cs_memory_return(conn->server->params.memory, CS_MEMORY_OUTPUT,
		    write->accounted_bytes);
		conn->output_bytes -= write->accounted_bytes;
	}
	h1_bytes_free(&write->body);
	free(write);
}

static void
on_written(uv_write_t *request, int status)
{
	struct h1_conn *conn = (struct h1_conn *)request->handle;

	release_write(conn, (struct write_request *)request);
	if (status < 0 && status != UV_ECANCELED) {
		h1_conn_close(conn);
		return;
	}
	if (conn->closing)
		return;
	if (conn->state == CONN_FLUSHING &&
	    h1_conn_unsent(conn) <= FLUSHING_BYTES_MAX)
		h1_conn_start_next(conn);
	else if (conn->streaming &&
		 conn->server->params.events->on_flushed != NULL &&
		 h1_conn_unsent(conn) == 0)
		conn->server->params.events->on_flushed(conn);
}

/*
 * Queues the rest of what was not written, a copy of the head and the body
 * itself. The memory of a body was taken when it was received.
 */
static void
queue_rest(struct h1_conn *conn, const uv_buf_t *head, const uv_buf_t *rest,
    struct h1_bytes *body, uint64_t taken_bytes)
{
	struct cs_memory *memory = conn->server->params.memory;
	uint64_t copied_bytes = sizeof(struct write_request) + head->len;
	struct write_request *write;
	uv_buf_t buffers[2];

	if (!cs_memory_take(memory, CS_MEMORY_OUTPUT, copied_bytes)) {
		conn->server->closed[H1_CLOSED_MEMORY]++;
		cs_memory_return(memory, CS_MEMORY_RESPONSES, taken_bytes);
		h1_bytes_free(body);
		h1_conn_reset_on_close(conn, true);
		h1_conn_drop(conn); /* the response would have a gap */
		return;
	}
	write = malloc(copied_bytes);
	if (write == NULL) {
		cs_memory_return(memory, CS_MEMORY_OUTPUT, copied_bytes);
		cs_memory_return(memory, CS_MEMORY_RESPONSES, taken_bytes);
		h1_bytes_free(body);
		h1_conn_drop(conn);
		return;
	}
	if (memory != NULL) {
		memory->kind_bytes[CS_MEMORY_RESPONSES] -= taken_bytes;
		memory->kind_bytes[CS_MEMORY_OUTPUT] += taken_bytes;
	}
	write->accounted_bytes = copied_bytes + taken_bytes;
	write->body = *body;
	*body = (struct h1_bytes){.data = NULL};
	memcpy(write->data, head->base, head->len);
	buffers[0] = uv_buf_init(write->data, (unsigned)head->len);
	buffers[1] = *rest;
	if (h1_conn_unsent(conn) == 0)
		conn->progress_us = conn->mark_us = cs_now_us();
	conn->output_bytes += write->accounted_bytes;
	if (uv_write(&write->request, (uv_stream_t *)&conn->tcp, buffers,
		rest->len > 0 ? 2 : 1, on_written) != 0) {
		release_write(conn, write);
		h1_conn_drop(conn);
	}
}

void
h1_conn_write_body(struct h1_conn *conn, const struct h1_bytes *head,
    struct h1_bytes *body, uint64_t taken_bytes)
{
	uv_buf_t buffers[2] = {uv_buf_init(head->data, (unsigned)head->length),
	    uv_buf_init(body->data, (unsigned)body->length)};
	size_t left = head->length + body->length, part;
	int written = uv_try_write(
	    (uv_stream_t *)&conn->tcp, buffers, body->length > 0 ? 2 : 1);

	conn->written_bytes += left;
	/* On other errors the read callback reports the lost client. */
	if ((written >= 0 && (size_t)written == left) ||
	    (written < 0 && written != UV_EAGAIN)) {
		cs_memory_return(conn->server->params.memory,
		    CS_MEMORY_RESPONSES, taken_bytes);
		h1_bytes_free(body);
		return;
	}
	part = written < 0 ? 0 : (size_t)written;
	if (part > buffers[0].len)
		part = buffers[0].len;
	buffers[0].base += part;
	buffers[0].len -= part;
	if (written > 0) {
		buffers[1].base += (size_t)written - part;
		buffers[1].len -= (size_t)written - part;
	}
	queue_rest(conn, &buffers[0], &buffers[1], body, taken_bytes);
}

void
h1_conn_write(struct h1_conn *conn, const char *data, size_t length)
{
	struct h1_bytes head = {
	    .data = (char *)(uintptr_t)data, /* only read from */
	    .length = length};
	struct h1_bytes body = {.data = NULL};

	h1_conn_write_body(conn, &head, &body, 0);
}
