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

static void
on_closed(uv_handle_t *handle)
{
	struct h1_conn *conn = (struct h1_conn *)handle;

	h1_reader_free(&conn->reader);
	h1_bytes_free(&conn->pipelined);
	h1_bytes_free(&conn->out);
	free(conn);
}

void
h1_conn_release_body(struct h1_conn *conn)
{
	conn->server->reserved_body_bytes -= conn->reserved_bytes;
	conn->reserved_bytes = 0;
}

void
h1_conn_close(struct h1_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	h1_conn_release_body(conn);
	unlink_conn(conn);
	if (conn->state == CONN_RESPONDING) {
		conn->server->active_requests--;
		conn->server->params.events->on_disconnect(conn);
	}
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
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
	conn->server->resume_reading(conn);
	conn->timeout_start_us = cs_now_us();
	h1_conn_release_body(conn);
	h1_bytes_free(&conn->reader.message.body);
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
	char data[];
};

static void
on_written(uv_write_t *request, int status)
{
	struct h1_conn *conn = (struct h1_conn *)request->handle;

	free(request);
	if (status < 0 && status != UV_ECANCELED)
		h1_conn_close(conn);
	else if (conn->streaming && !conn->closing &&
		 conn->server->params.events->on_flushed != NULL &&
		 h1_conn_unsent(conn) == 0)
		conn->server->params.events->on_flushed(conn);
}

void
h1_conn_write(struct h1_conn *conn, const char *data, size_t length)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
	uv_buf_t buffer =
	    uv_buf_init((char *)(uintptr_t)data, (unsigned)length);
	struct write_request *rest;
	int written = uv_try_write(stream, &buffer, 1);

	if (written == (int)length)
		return;
	if (written < 0 && written != UV_EAGAIN)
		return; /* the read callback reports the lost client */
	if (written < 0)
		written = 0;
	rest = malloc(sizeof(*rest) + length - (size_t)written);
	if (rest == NULL) {
		h1_conn_close(conn); /* the response would have a gap */
		return;
	}
	memcpy(rest->data, data + written, length - (size_t)written);
	buffer = uv_buf_init(rest->data, (unsigned)(length - (size_t)written));
	if (uv_write(&rest->request, stream, &buffer, 1, on_written) != 0) {
		free(rest);
		h1_conn_close(conn);
	}
}
