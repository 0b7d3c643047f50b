/* Outgoing connections, each with at most one request at a time. */
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1.h"

/*
 * TCP keep-alive probes detect a server that lost power before it sent its
 * response.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1

/* A larger buffer is not kept for the next request. */
#define OUT_BYTES_KEPT_MAX (16 * 1024)

#define READ_BYTES_MAX (64 * 1024) /* the size that libuv suggests */
/* Read at a time of a response that is passed on while memory is short. */
#define READ_BYTES_SHORT (8 * 1024)

struct h1_client_conn {
	uv_tcp_t tcp; /* first field: handles are cast to connections */
	uv_connect_t connect_request;
	uv_write_t write_request;
	struct h1_reader reader;
	struct h1_bytes out;
	struct h1_bytes borrowed; /* body that the owner holds; not freed */
	const struct cs_memory *relay_memory;
	const struct h1_client_conn_events *events;
	void *owner;

	uint32_t unacked_timeout_ms;
	uint32_t keepalive_probes_max;
	bool borrows_body;
	bool connected;
	bool awaiting_response;
	bool head_delivered;
	bool streaming; /* the body goes to on_body() as it arrives */
	bool write_pending;
	bool sent;
	bool closing;
};

const char *
h1_end_text(enum h1_end end)
{
	switch (end) {
	case H1_END_CONNECT_FAILED:
		return "unreached";
	case H1_END_TIMED_OUT:
		return "timed_out";
	case H1_END_RESET:
		return "reset";
	case H1_END_EOF:
		return "closed";
	case H1_END_TRUNCATED:
		return "broken_off";
	case H1_END_PROTOCOL_ERROR:
		return "not_an_answer";
	case H1_END_NO_MEMORY:
		return "no_memory";
	}
	return "unknown";
}

static void
on_closed(uv_handle_t *handle)
{
	struct h1_client_conn *conn = (struct h1_client_conn *)handle;

	h1_reader_free(&conn->reader);
	h1_bytes_free(&conn->out);
	free(conn);
}

void
h1_client_conn_close(struct h1_client_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void
end_connection(struct h1_client_conn *conn, enum h1_end why)
{
	if (conn->closing)
		return;
	h1_client_conn_close(conn);
	conn->events->on_end(conn, why);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/* Shared by all connections: one loop reads one at a time. */
	static char bytes[READ_BYTES_MAX];
	const struct h1_client_conn *conn =
	    (const struct h1_client_conn *)handle;

	(void)suggested;
	*buffer = uv_buf_init(bytes, cs_memory_is_short(conn->relay_memory)
					 ? READ_BYTES_SHORT
					 : sizeof(bytes));
}

/*
 * Passes a complete response to the owner; returns false when the connection is
 * closed afterwards. A connection is not reused after a response that is
 * followed by further bytes: these belong to no request.
 */
static bool
deliver_response(struct h1_client_conn *conn, bool has_trailing_bytes)
{
	struct h1_message *response = &conn->reader.message;
	bool reusable =
	    response->keep_alive && response->framed && !conn->write_pending;
	bool skip_body = conn->reader.skip_body;

	response->keep_alive = reusable && !has_trailing_bytes;
	conn->awaiting_response = false;
	switch (conn->events->on_response(conn, response)) {
	case H1_AWAIT_NEXT:
		conn->awaiting_response = true;
		if (!reusable) {
			end_connection(conn, H1_END_TRUNCATED);
			return false;
		}
		h1_reader_next(&conn->reader);
		conn->reader.skip_body = skip_body;
		return true;
	case H1_KEEP: /* the callback may have sent the next request */
		break;
	case H1_CLOSE:
		h1_client_conn_close(conn);
		return false;
	}
	if (conn->closing)
		return false;
	if (!conn->awaiting_response)
		h1_reader_next(&conn->reader);
	return true;
}

/*
 * Passes on the head, once, and the body received so far; returns false when
 * the connection is closed.
 */
static bool
deliver_partial_response(struct h1_client_conn *conn)
{
	struct h1_message *response = &conn->reader.message;

	if (conn->events->on_head == NULL || !conn->reader.head_complete)
		return true;
	if (!conn->head_delivered) {
		conn->head_delivered = true;
		conn->streaming = conn->events->on_head(conn, response);
	}
	if (!conn->closing && conn->streaming && response->body.length > 0)
		conn->events->on_body(
		    conn, response->body.data, response->body.length);
	if (conn->streaming)
		response->body.length = 0;
	return !conn->closing;
}

static void
process_input(struct h1_client_conn *conn, const char *data, size_t length)
{
	enum h1_read read;
	size_t used;

	while (length > 0) {
		if (!conn->awaiting_response) {
			end_connection(conn, H1_END_PROTOCOL_ERROR);
			return;
		}
		read = h1_reader_feed(&conn->reader, data, length, &used);
		if (read >= 0 && !deliver_partial_response(conn))
			return;
		switch (read) {
		case H1_READ_MORE:
			return;
		case H1_READ_COMPLETE:
			if (!deliver_response(conn, used < length))
				return;
			break;
		case H1_READ_MALFORMED:
		case H1_READ_HEAD_TOO_LARGE:
		case H1_READ_BODY_TOO_LARGE:
			end_connection(conn, H1_END_PROTOCOL_ERROR);
			return;
		case H1_READ_NO_MEMORY:
			end_connection(conn, H1_END_NO_MEMORY);
			return;
		}
		data += used;
		length -= used;
	}
}

static void
on_end_of_stream(struct h1_client_conn *conn, enum h1_end end)
{
	struct h1_reader *reader = &conn->reader;
	size_t used;

	if (!conn->awaiting_response || !reader->started) {
		end_connection(conn, end);
		return;
	}
	if (end == H1_END_EOF && reader->head_complete &&
	    !reader->message.framed &&
	    h1_reader_feed(reader, NULL, 0, &used) == H1_READ_COMPLETE) {
		if (deliver_response(conn, false))
			end_connection(conn, H1_END_EOF);
		return;
	}
	end_connection(conn, H1_END_TRUNCATED);
}

/*
 * libuv reports an end of stream also when a reset follows directly after the
 * last bytes. The socket's error state distinguishes the two.
 */
static bool
was_reset(const struct h1_client_conn *conn)
{
	int error = 0;
	socklen_t length = sizeof(error);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		return true;
	return error != 0;
}

static enum h1_end
end_of_error(const struct h1_client_conn *conn, int error)
{
	if (error == UV_EOF)
		return was_reset(conn) ? H1_END_RESET : H1_END_EOF;
	return error == UV_ETIMEDOUT || error == UV_EHOSTUNREACH
		   ? H1_END_TIMED_OUT
		   : H1_END_RESET;
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct h1_client_conn *conn = (struct h1_client_conn *)stream;

	if (length > 0)
		process_input(conn, buffer->base, (size_t)length);
	else if (length < 0)
		on_end_of_stream(conn, end_of_error(conn, (int)length));
}

/* Frees the written request where an idle connection would hold much memory. */
static void
release_out(struct h1_client_conn *conn)
{
	if (conn->out.capacity > OUT_BYTES_KEPT_MAX)
		h1_bytes_free(&conn->out);
	conn->out.length = 0;
	conn->borrowed = (struct h1_bytes){.data = NULL};
}

static void
on_written(uv_write_t *request, int status)
{
	struct h1_client_conn *conn = request->data;

	conn->write_pending = false;
	release_out(conn);
	if (status < 0 && status != UV_ECANCELED)
		end_connection(conn, end_of_error(conn, status));
}

static void
flush(struct h1_client_conn *conn)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
	uv_buf_t buffers[2] = {
	    uv_buf_init(conn->out.data, (unsigned)conn->out.length),
	    uv_buf_init(conn->borrowed.data, (unsigned)conn->borrowed.length)};
	unsigned count = conn->borrowed.length > 0 ? 2 : 1, i;
	int written;

	if (conn->out.length == 0)
		return;
	written = uv_try_write(stream, buffers, count);
	conn->sent = written > 0;
	if (written >= 0 &&
	    (size_t)written == conn->out.length + conn->borrowed.length) {
		release_out(conn);
		return;
	}
	if (written < 0 && written != UV_EAGAIN)
		return; /* nothing sent; the read callback reports the end */
	for (i = 0; i < count && written > 0; i++) {
		size_t part = (size_t)written < buffers[i].len ? (size_t)written
							       : buffers[i].len;

		buffers[i].base += part;
		buffers[i].len -= part;
		written -= (int)part;
	}
	conn->sent = true;
	conn->write_request.data = conn;
	conn->write_pending = uv_write(&conn->write_request, stream, buffers,
				  count, on_written) == 0;
}

static void
set_socket_options(struct h1_client_conn *conn)
{
	unsigned unacked_timeout_ms = conn->unacked_timeout_ms;
	int one = 1, idle_s = KEEPALIVE_IDLE_S,
	    interval_s = KEEPALIVE_INTERVAL_S;
	int probes_max = (int)conn->keepalive_probes_max;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	/* If an option fails, a dead server is only detected later. */
	uv_tcp_nodelay(&conn->tcp, 1);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPCNT, &probes_max, sizeof(probes_max));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
	    sizeof(unacked_timeout_ms));
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct h1_client_conn *conn = request->data;

	if (conn->closing)
		return;
	if (status < 0) {
		end_connection(conn, H1_END_CONNECT_FAILED);
		return;
	}
	conn->connected = true;
	if (conn->events->on_connect != NULL)
		conn->events->on_connect(conn);
	if (conn->closing)
		return;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	flush(conn);
}

int
h1_client_conn_open(
    const struct h1_client_conn_params *params, struct h1_client_conn **out)
{
	struct h1_client_conn *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return CS_E_SYSTEM;
	conn->events = params->events;
	conn->owner = params->owner;
	conn->unacked_timeout_ms = params->unacked_timeout_ms;
	conn->keepalive_probes_max = params->keepalive_probes_max;

	h1_reader_init(&conn->reader, HTTP_RESPONSE, params->limits);
	conn->reader.memory = params->memory;
	conn->relay_memory = params->relay_memory;
	conn->borrows_body = params->borrows_body;
	if (uv_tcp_init_ex(params->loop, &conn->tcp, AF_INET) != 0) {
		free(conn);
		return CS_E_SYSTEM;
	}
	set_socket_options(conn);
	conn->connect_request.data = conn;
	if (uv_tcp_connect(&conn->connect_request, &conn->tcp,
		(const struct sockaddr *)&params->address, on_connect) != 0) {
		h1_client_conn_close(conn);
		return CS_E_SYSTEM;
	}
	*out = conn;
	return CS_OK;
}

int
h1_client_conn_send(struct h1_client_conn *conn, const struct h1_bytes *head,
    const struct h1_bytes *body, bool skip_body)
{
	if (conn->awaiting_response || conn->write_pending || conn->closing)
		return CS_E_CONFLICT;
	conn->out.length = 0;
	if (body != NULL && conn->borrows_body) {
		conn->borrowed = *body;
		body = NULL;
	}
	if (h1_bytes_reserve(&conn->out,
		head->length + (body == NULL ? 0 : body->length)) != 0 ||
	    h1_bytes_add(&conn->out, head->data, head->length) != 0 ||
	    (body != NULL &&
		h1_bytes_add(&conn->out, body->data, body->length) != 0))
		return CS_E_SYSTEM;
	h1_reader_next(&conn->reader);
	conn->awaiting_response = true;
	conn->sent = conn->head_delivered = conn->streaming = false;
	conn->reader.skip_body = skip_body;
	if (conn->connected)
		flush(conn);
	return CS_OK;
}

void
h1_client_conn_pause(struct h1_client_conn *conn, bool on)
{
	if (conn->closing || !conn->connected)
		return;
	if (on)
		uv_read_stop((uv_stream_t *)&conn->tcp);
	else
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

bool
h1_client_conn_sent(const struct h1_client_conn *conn)
{
	return conn->sent;
}

bool
h1_client_conn_connected(const struct h1_client_conn *conn)
{
	return conn->connected;
}

void *
h1_client_conn_owner(const struct h1_client_conn *conn)
{
	return conn->owner;
}

void
h1_client_conn_set_owner(struct h1_client_conn *conn, void *owner)
{
	conn->owner = owner;
}
