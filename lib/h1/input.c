/*
 * What a connection of the listener receives. It is read even while its request
 * is being processed, so that a disconnected client is detected; bytes of
 * further requests are buffered.
 */
#include <string.h>
#include <sys/ioctl.h>

#include "../base/base.h"
#include "h1_internal.h"

#define READ_BYTES_MAX (64 * 1024)	/* the size that libuv suggests */
#define PIPELINED_BYTES_MAX (64 * 1024) /* buffered input of a connection */
/* Read at a time into such a buffer while memory is short. */
#define READ_BYTES_SHORT 2048

static size_t process_input(
    struct h1_conn *conn, const char *data, size_t length);
static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_read(
    uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer);

/*
 * A client that sends so many requests ahead is not read until they are
 * processed; meanwhile its disconnect is not noticed.
 */
static void
pause_reading(struct h1_conn *conn)
{
	conn->paused = true;
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

void
h1_conn_resume_reading(struct h1_conn *conn)
{
	if (!conn->paused || conn->closing)
		return;
	conn->paused = false;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

void
h1_conn_note_input(struct h1_conn *conn)
{
	uv_os_fd_t fd;
	int unread = 0;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0 ||
	    ioctl(fd, FIONREAD, &unread) != 0)
		unread = 0;
	conn->owed_bytes = conn->pipelined.length + (uint64_t)unread;
}

static void
note_processed(struct h1_conn *conn, size_t length)
{
	conn->owed_bytes -=
	    length < conn->owed_bytes ? length : conn->owed_bytes;
}

/*
 * Processes requests until the data ends or one of them is not answered yet;
 * returns the number of bytes processed. A request that is answered at once
 * does not recurse: h1_conn_start_next() returns to this loop.
 */
static size_t
process_requests(struct h1_conn *conn, const char *data, size_t length)
{
	size_t at = 0;

	conn->processing = true;
	conn->busy++;
	while (at < length && conn->state == CONN_READING && !conn->closing)
		at += process_input(conn, data + at, length - at);
	conn->busy--;
	conn->processing = false;
	return at;
}

static void
process_pipelined(struct h1_conn *conn)
{
	struct h1_bytes *buffered = &conn->pipelined;
	size_t used = process_requests(conn, buffered->data, buffered->length);

	/* Lingering frees the buffer. */
	if (buffered->length <= used) {
		h1_bytes_free(buffered);
		return;
	}
	memmove(buffered->data, buffered->data + used, buffered->length - used);
	buffered->length -= used;
}

/* Resets the request's state and processes input that is buffered. */
void
h1_conn_start_next(struct h1_conn *conn)
{
	h1_conn_release_body(conn);
	h1_reader_next(&conn->reader);
	conn->state = CONN_READING;
	conn->timeout_start_us = conn->mark_us = cs_now_us();
	conn->received_since_mark_bytes = 0;
	conn->continue_sent = false;
	if (conn->processing)
		return;
	if (conn->pipelined.length > 0)
		process_pipelined(conn);
	else if (conn->server->closing_idle && conn->owed_bytes == 0)
		h1_conn_linger(conn);
	if (conn->closing)
		return;
	if (!h1_conn_account(conn))
		h1_conn_evict(conn, H1_CLOSED_MEMORY);
	else if (conn->pipelined.length <= PIPELINED_BYTES_MAX)
		h1_conn_resume_reading(conn);
}

void
h1_conn_reject(struct h1_conn *conn, int status)
{
	const struct h1_server_params *params = &conn->server->params;
	struct h1_response response = {.status = status};
	const struct h1_response *custom = NULL;

	if (params->events->error_response != NULL)
		custom = params->events->error_response(params->user, status);
	if (custom != NULL)
		response = *custom;
	response.close = true;
	h1_conn_send_response(conn, &response);
}

/*
 * Reserves memory for the body as soon as its length is known. Returns false
 * when the limit for all bodies is exceeded or memory runs out.
 */
static bool
reserve_body(struct h1_conn *conn)
{
	struct h1_server *server = conn->server;
	const struct http_parser *parser = &conn->reader.parser;
	struct h1_bytes *body = &conn->reader.message.body;
	uint64_t needed_bytes = body->length, more_bytes;

	if (!conn->reader.head_complete)
		return true;
	if ((parser->flags & F_CHUNKED) != 0)
		needed_bytes = body->capacity;
	else if (!conn->reader.complete && parser->content_length != UINT64_MAX)
		needed_bytes += parser->content_length;
	if (needed_bytes <= conn->reserved_bytes)
		return true;
	more_bytes = needed_bytes - conn->reserved_bytes;
	if (server->reserved_body_bytes + more_bytes >
	    server->params.bodies_bytes_max)
		h1_evict_bodies(server, more_bytes,
		    more_bytes > CS_MEMORY_SMALL_BYTES ? CS_MEMORY_STALLED_US
						       : 0);
	if (server->reserved_body_bytes + more_bytes >
		server->params.bodies_bytes_max ||
	    !cs_memory_take(
		server->params.memory, CS_MEMORY_REQUESTS, more_bytes))
		return false;
	server->reserved_body_bytes += more_bytes;
	conn->reserved_bytes = needed_bytes;
	return h1_bytes_reserve(body, needed_bytes) == CS_OK;
}

static bool
is_valid_request(const struct h1_message *request)
{
	const char *target = h1_target(request);

	return h1_count_headers(request, "host") == 1 && target[0] == '/' &&
	       h1_count_headers(request, "transfer-encoding") <= 1;
}

static void
on_request_complete(struct h1_conn *conn)
{
	const struct h1_message *request = &conn->reader.message;

	if (!is_valid_request(request)) {
		h1_conn_reject(conn, 400);
		return;
	}
	/* Once it is passed on, a close would abandon it. */
	if (!h1_conn_account(conn)) {
		h1_conn_reject(conn, 503);
		return;
	}
	conn->state = CONN_RESPONDING;
	conn->server->active_requests++;
	conn->server->params.events->on_request(conn, request);
}

static void
send_continue(struct h1_conn *conn)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

	conn->continue_sent = true;
	h1_conn_write(conn, text, sizeof(text) - 1);
}

/* Returns the number of bytes that belong to the request. */
static size_t
process_input(struct h1_conn *conn, const char *data, size_t length)
{
	struct h1_reader *reader = &conn->reader;
	enum h1_read read;
	size_t used;

	if (!reader->started || reader->head_complete)
		conn->timeout_start_us = cs_now_us();
	if (!reader->started) {
		/* The time between requests does not count. */
		conn->mark_us = conn->timeout_start_us;
		reader->limits = conn->server->params.limits;
	}
	read = h1_reader_feed(reader, data, length, &used);
	note_processed(conn, read == H1_READ_COMPLETE ? used : length);
	if (read >= 0 && !reserve_body(conn)) {
		h1_conn_reject(conn, 503);
		return length;
	}
	switch (read) {
	case H1_READ_MORE:
		if (reader->head_complete && reader->message.expects_continue &&
		    !conn->continue_sent)
			send_continue(conn);
		return length;
	case H1_READ_COMPLETE:
		on_request_complete(conn);
		return used;
	case H1_READ_MALFORMED:
		h1_conn_reject(conn, 400);
		break;
	case H1_READ_HEAD_TOO_LARGE:
		h1_conn_reject(conn, 431);
		break;
	case H1_READ_BODY_TOO_LARGE:
		h1_conn_reject(conn, 413);
		break;
	case H1_READ_NO_MEMORY: /* requests are limited in reserve_body() */
		h1_conn_reject(conn, 503);
		break;
	}
	return length;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/* Shared by all connections: one loop reads one of them at a time. */
	static char bytes[READ_BYTES_MAX];
	const struct h1_conn *conn = (const struct h1_conn *)handle;
	bool buffers =
	    conn->state == CONN_RESPONDING || conn->state == CONN_FLUSHING;

	(void)suggested;
	*buffer = uv_buf_init(
	    bytes, buffers && cs_memory_is_short(conn->server->params.memory)
		       ? READ_BYTES_SHORT
		       : sizeof(bytes));
}

/* Keeps input until the requests before it are answered. */
static void
buffer_input(struct h1_conn *conn, const char *data, size_t length)
{
	if (length == 0)
		return;
	if (h1_bytes_add(&conn->pipelined, data, length) != 0)
		h1_conn_close(conn);
	else if (conn->pipelined.length > PIPELINED_BYTES_MAX ||
		 cs_memory_is_short(conn->server->params.memory))
		pause_reading(conn);
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct h1_conn *conn = (struct h1_conn *)stream;
	size_t used = 0;

	if (length < 0) {
		h1_conn_close(conn);
		return;
	}
	if (length == 0)
		return;
	h1_conn_received(conn, (size_t)length, cs_now_us());
	if (conn->state == CONN_READING)
		used = process_requests(conn, buffer->base, (size_t)length);
	if (conn->closing || conn->state == CONN_LINGERING)
		return; /* discarded: unread input would cause a reset */
	buffer_input(conn, buffer->base + used, (size_t)length - used);
	if (!conn->closing && !h1_conn_account(conn))
		h1_conn_evict(conn, H1_CLOSED_MEMORY);
}

int
h1_conn_start_reading(struct h1_conn *conn)
{
	return uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}
