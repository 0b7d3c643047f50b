/*
 * The listener. A connection is read even while its request is being processed,
 * so that a disconnected client is detected; bytes of further requests are
 * buffered.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1_internal.h"

#define BACKLOG_MAX 1024		/* all clients may reconnect at once */
#define READ_BYTES_MAX (64 * 1024)	/* the size that libuv suggests */
#define PIPELINED_BYTES_MAX (64 * 1024) /* buffered input of a connection */
#define LINGER_MS 1000 /* for the client to close, from the last byte on */

static void process_input(
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

static void
resume_reading(struct h1_conn *conn)
{
	if (!conn->paused || conn->closing)
		return;
	conn->paused = false;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/* Resets the request's state and processes input that is buffered. */
static void
start_next_request(struct h1_conn *conn)
{
	struct h1_bytes buffered = conn->pipelined;

	h1_conn_release_body(conn);
	h1_reader_next(&conn->reader);
	conn->reader.limits = conn->server->params.limits;
	conn->state = CONN_READING;
	conn->timeout_start_us = cs_now_us();
	conn->continue_sent = false;
	conn->pipelined = (struct h1_bytes){.data = NULL};
	if (buffered.length > 0)
		process_input(conn, buffered.data, buffered.length);
	h1_bytes_free(&buffered);
	if (conn->pipelined.length <= PIPELINED_BYTES_MAX)
		resume_reading(conn);
}

static void
reject(struct h1_conn *conn, int status)
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
	uint64_t needed_bytes = body->length;

	if (!conn->reader.head_complete)
		return true;
	if ((parser->flags & F_CHUNKED) != 0)
		needed_bytes = body->capacity;
	else if (!conn->reader.complete && parser->content_length != UINT64_MAX)
		needed_bytes += parser->content_length;
	if (needed_bytes <= conn->reserved_bytes)
		return true;
	if (server->reserved_body_bytes + needed_bytes - conn->reserved_bytes >
	    server->params.bodies_bytes_max)
		return false;
	server->reserved_body_bytes += needed_bytes - conn->reserved_bytes;
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
on_request_complete(struct h1_conn *conn, const char *rest, size_t length)
{
	const struct h1_message *request = &conn->reader.message;

	if (!is_valid_request(request)) {
		reject(conn, 400);
		return;
	}
	if (h1_bytes_add(&conn->pipelined, rest, length) != 0) {
		h1_conn_close(conn);
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

static void
process_input(struct h1_conn *conn, const char *data, size_t length)
{
	struct h1_reader *reader = &conn->reader;
	enum h1_read read;
	size_t used;

	if (!reader->started || reader->head_complete)
		conn->timeout_start_us = cs_now_us();
	read = h1_reader_feed(reader, data, length, &used);
	if (read >= 0 && !reserve_body(conn)) {
		reject(conn, 503);
		return;
	}
	switch (read) {
	case H1_READ_MORE:
		if (reader->head_complete && reader->message.expects_continue &&
		    !conn->continue_sent)
			send_continue(conn);
		return;
	case H1_READ_COMPLETE:
		on_request_complete(conn, data + used, length - used);
		return;
	case H1_READ_MALFORMED:
		reject(conn, 400);
		return;
	case H1_READ_HEAD_TOO_LARGE:
		reject(conn, 431);
		return;
	case H1_READ_BODY_TOO_LARGE:
		reject(conn, 413);
		return;
	}
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/* Shared by all connections: one loop reads one of them at a time. */
	static char bytes[READ_BYTES_MAX];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct h1_conn *conn = (struct h1_conn *)stream;

	if (length < 0) {
		h1_conn_close(conn);
		return;
	}
	switch (conn->state) {
	case CONN_READING:
		if (length > 0)
			process_input(conn, buffer->base, (size_t)length);
		return;
	case CONN_RESPONDING:
		if (h1_bytes_add(
			&conn->pipelined, buffer->base, (size_t)length) != 0)
			h1_conn_close(conn);
		else if (conn->pipelined.length > PIPELINED_BYTES_MAX)
			pause_reading(conn);
		return;
	case CONN_LINGERING:
		return; /* discarded: unread input would cause a reset */
	}
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct h1_server *server = (struct h1_server *)listener;
	struct h1_conn *conn;

	if (status < 0)
		return;
	conn = calloc(1, sizeof(*conn));
	if (conn == NULL)
		return;
	conn->server = server;
	uv_tcp_init(server->params.loop, &conn->tcp);
	h1_reader_init(&conn->reader, HTTP_REQUEST, server->params.limits);
	conn->reader.message.method = "";
	conn->opened_us = conn->timeout_start_us = cs_now_us();
	conn->next = server->conns;
	if (conn->next != NULL)
		conn->next->previous = conn;
	server->conns = conn;
	server->connection_count++;
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0 ||
	    server->connection_count > server->params.connections_max ||
	    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0) {
		h1_conn_close(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
}

static void
on_server_closed(uv_handle_t *handle)
{
	(void)handle; /* not freed: connections may outlive the listener */
}

int
h1_server_create(const struct h1_server_params *params, struct h1_server **out)
{
	struct h1_server *server = calloc(1, sizeof(*server));

	if (server == NULL)
		return CS_E_SYSTEM;
	server->params = *params;
	server->start_next_request = start_next_request;
	server->resume_reading = resume_reading;
	if (uv_tcp_init(params->loop, &server->tcp) != 0) {
		free(server);
		return CS_E_SYSTEM;
	}
	if (uv_tcp_bind(&server->tcp, (const struct sockaddr *)&params->address,
		0) != 0 ||
	    uv_listen((uv_stream_t *)&server->tcp, BACKLOG_MAX, on_accept) !=
		0) {
		h1_server_stop(server);
		return CS_E_SYSTEM;
	}
	*out = server;
	return CS_OK;
}

void
h1_server_set_limits(struct h1_server *server, struct h1_limits limits,
    uint32_t head_timeout_ms, uint32_t idle_timeout_ms)
{
	server->params.limits = limits;
	server->params.head_timeout_ms = head_timeout_ms;
	server->params.idle_timeout_ms = idle_timeout_ms;
}

void
h1_server_drain(struct h1_server *server)
{
	server->draining = true;
}

void
h1_server_close_idle(struct h1_server *server)
{
	struct h1_conn *conn, *next;

	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		if (conn->state == CONN_READING && !conn->reader.started)
			h1_conn_linger(conn);
	}
}

void
h1_server_stop(struct h1_server *server)
{
	if (server->stopped)
		return;
	server->stopped = true;
	uv_close((uv_handle_t *)&server->tcp, on_server_closed);
}

static bool
has_timed_out(const struct h1_conn *conn, int64_t now_us)
{
	const struct h1_server_params *params = &conn->server->params;
	int64_t age_ms = (now_us - conn->timeout_start_us) / 1000;

	switch (conn->state) {
	case CONN_READING:
		if (conn->reader.started && !conn->reader.head_complete)
			return age_ms > params->head_timeout_ms;
		return age_ms > params->idle_timeout_ms;
	case CONN_RESPONDING:
		return false;
	case CONN_LINGERING:
		return age_ms > (h1_conn_unsent(conn) > 0
					? params->idle_timeout_ms
					: LINGER_MS);
	}
	return false;
}

/* A client that reads its last response slowly gets all of it. */
static void
restart_timeout_on_progress(struct h1_conn *conn, int64_t now_us)
{
	size_t unsent_bytes = h1_conn_unsent(conn);

	if (conn->state != CONN_LINGERING)
		return;
	if (unsent_bytes > 0 && unsent_bytes != conn->unsent_bytes)
		conn->timeout_start_us = now_us;
	conn->unsent_bytes = unsent_bytes;
}

void
h1_server_sweep(struct h1_server *server, int64_t now_us)
{
	struct h1_conn *conn, *next;

	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		restart_timeout_on_progress(conn, now_us);
		if (!has_timed_out(conn, now_us))
			continue;
		if (conn->state == CONN_READING && conn->reader.started)
			reject(conn, 408);
		else
			h1_conn_close(conn);
	}
}

uint32_t
h1_server_connections(const struct h1_server *server)
{
	return server->connection_count;
}

uint32_t
h1_server_active_requests(const struct h1_server *server)
{
	return server->active_requests;
}

void
h1_server_for_each_call(
    struct h1_server *server, void (*visit)(void *call, void *arg), void *arg)
{
	struct h1_conn *conn, *next;

	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		if (conn->state == CONN_RESPONDING && conn->call != NULL)
			visit(conn->call, arg);
	}
}

uint32_t
h1_server_unsent(const struct h1_server *server)
{
	const struct h1_conn *conn;
	uint32_t count = 0;

	for (conn = server->conns; conn != NULL; conn = conn->next)
		count += h1_conn_unsent(conn) > 0;
	return count;
}

void
h1_server_close_connections(struct h1_server *server)
{
	struct h1_conn *conn, *next;

	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		h1_conn_close(conn);
	}
}

static struct sockaddr_in
bound_address(const struct h1_server *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int length = sizeof(address);

	/* A closed listener has port 0. */
	uv_tcp_getsockname(&server->tcp, (struct sockaddr *)&address, &length);
	return address;
}

void
h1_server_address(
    const struct h1_server *server, char text[CS_ADDRESS_BYTES_MAX])
{
	struct sockaddr_in address = bound_address(server);

	cs_format_address(&address, text);
}

uint16_t
h1_server_port(const struct h1_server *server)
{
	return ntohs(bound_address(server).sin_port);
}

void *
h1_conn_user(const struct h1_conn *conn)
{
	return conn->server->params.user;
}

void
h1_conn_set_call(struct h1_conn *conn, void *call)
{
	conn->call = call;
}

void *
h1_conn_call(const struct h1_conn *conn)
{
	return conn->call;
}
