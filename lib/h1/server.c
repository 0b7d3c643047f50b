/*
 * The listener. A connection goes on being read while its request is answered,
 * so that a caller that leaves is noticed; bytes of further requests wait.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1.h"

#define BACKLOG_MAX 1024
#define READ_BYTES_MAX (64 * 1024)
#define PIPELINED_BYTES_MAX (64 * 1024) /* unread requests of a connection */
#define LINGER_MS 1000 /* lets the last answer arrive before the close */

enum conn_state {
	CONN_READING,	/* waits for a request, or is in one */
	CONN_ANSWERING, /* its request is with the owner */
	CONN_LINGERING, /* answered for the last time */
};

struct h1_conn {
	uv_tcp_t tcp; /* first: handles are cast to connections */
	uv_shutdown_t shutting;
	struct h1_server *server;
	struct h1_conn *next, *previous;
	struct h1_reader reader;
	struct h1_bytes pipelined;
	struct h1_bytes out;
	void *call;
	enum conn_state state;
	int64_t since_us; /* when the state, or the request, began */
	bool continue_sent;
	bool closing;
};

struct h1_server {
	uv_tcp_t tcp; /* first: handles are cast to servers */
	struct h1_server_params params;
	struct h1_conn *conns;
	uint32_t count;
	uint32_t busy;
	uint64_t bodies_bytes;
	bool draining;
	bool stopped;
};

struct write_request {
	uv_write_t request;
	char data[];
};

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
	server->count--;
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

static void
close_conn(struct h1_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	conn->server->bodies_bytes -= conn->reader.message.body.length;
	unlink_conn(conn);
	if (conn->state == CONN_ANSWERING) {
		conn->server->busy--;
		conn->server->params.events->on_gone(conn);
	}
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void
on_written(uv_write_t *request, int status)
{
	struct h1_conn *conn = (struct h1_conn *)request->handle;

	free(request);
	if (status < 0 && status != UV_ECANCELED)
		close_conn(conn);
}

/* Writes what it can at once and queues a copy of the rest. */
static void
write_out(struct h1_conn *conn, const char *data, size_t length)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
	uv_buf_t buffer =
	    uv_buf_init((char *)(uintptr_t)data, (unsigned)length);
	struct write_request *rest;
	int written = uv_try_write(stream, &buffer, 1);

	if (written == (int)length)
		return;
	if (written < 0 && written != UV_EAGAIN)
		return; /* reading tells that the caller is gone */
	if (written < 0)
		written = 0;
	rest = malloc(sizeof(*rest) + length - (size_t)written);
	if (rest == NULL) {
		close_conn(conn); /* a partial answer must not go on */
		return;
	}
	memcpy(rest->data, data + written, length - (size_t)written);
	buffer = uv_buf_init(rest->data, (unsigned)(length - (size_t)written));
	if (uv_write(&rest->request, stream, &buffer, 1, on_written) != 0) {
		free(rest);
		close_conn(conn);
	}
}

static void
on_shut(uv_shutdown_t *request, int status)
{
	(void)request;
	(void)status; /* the sweep closes what lingers */
}

static void
linger(struct h1_conn *conn)
{
	conn->state = CONN_LINGERING;
	conn->since_us = cs_now_us();
	if (uv_shutdown(&conn->shutting, (uv_stream_t *)&conn->tcp, on_shut) !=
	    0)
		close_conn(conn);
}

static void process(struct h1_conn *conn, const char *data, size_t length);

/* Makes the connection ready for its next request. */
static void
read_next(struct h1_conn *conn)
{
	struct h1_bytes waiting = conn->pipelined;

	conn->server->bodies_bytes -= conn->reader.message.body.length;
	h1_reader_next(&conn->reader);
	conn->reader.limits = conn->server->params.limits;
	conn->state = CONN_READING;
	conn->since_us = cs_now_us();
	conn->continue_sent = false;
	conn->pipelined = (struct h1_bytes){.data = NULL};
	if (waiting.length > 0)
		process(conn, waiting.data, waiting.length);
	h1_bytes_free(&waiting);
}

void
h1_conn_answer(struct h1_conn *conn, const struct h1_answer *answer)
{
	struct h1_bytes *out = &conn->out;
	bool close = answer->close || answer->unframed ||
		     conn->server->draining || !conn->reader.message.keep_alive;
	bool bodiless = conn->reader.message.method != NULL &&
			strcmp(conn->reader.message.method, "HEAD") == 0;

	conn->call = NULL;
	if (conn->state == CONN_ANSWERING)
		conn->server->busy--;
	conn->state = CONN_READING;
	out->length = 0;
	if (h1_bytes_print(out, "HTTP/1.1 %d %s\r\n", answer->status,
		h1_status_text(answer->status)) != 0 ||
	    h1_bytes_add(out, answer->headers, answer->headers_length) != 0 ||
	    (!answer->unframed && answer->status != 204 &&
		answer->status != 304 &&
		h1_bytes_print(out, "Content-Length: %zu\r\n",
		    answer->body_length) != 0) ||
	    h1_bytes_print(
		out, "%s\r\n", close ? "Connection: close\r\n" : "") != 0 ||
	    (!bodiless &&
		h1_bytes_add(out, answer->body, answer->body_length) != 0)) {
		close_conn(conn);
		return;
	}
	write_out(conn, out->data, out->length);
	if (conn->closing)
		return;
	if (close)
		linger(conn);
	else
		read_next(conn);
}

void
h1_conn_reply(
    struct h1_conn *conn, int status, const char *type, const char *text)
{
	char headers[128];
	int length =
	    snprintf(headers, sizeof(headers), "Content-Type: %s\r\n", type);

	h1_conn_answer(conn, &(struct h1_answer){
				 .status = status,
				 .headers = headers,
				 .headers_length = (size_t)length,
				 .body = text,
				 .body_length = strlen(text),
			     });
}

static void
refuse(struct h1_conn *conn, int status)
{
	h1_conn_answer(
	    conn, &(struct h1_answer){.status = status, .close = true});
}

static bool
is_proper(const struct h1_message *request)
{
	const char *target = h1_target(request);

	return h1_count(request, "host") == 1 && target[0] == '/' &&
	       h1_count(request, "transfer-encoding") <= 1;
}

static void
on_whole(struct h1_conn *conn, const char *rest, size_t length)
{
	const struct h1_message *request = &conn->reader.message;

	if (!is_proper(request)) {
		refuse(conn, 400);
		return;
	}
	if (h1_bytes_add(&conn->pipelined, rest, length) != 0) {
		close_conn(conn);
		return;
	}
	conn->state = CONN_ANSWERING;
	conn->server->busy++;
	conn->server->params.events->on_request(conn, request);
}

static void
send_continue(struct h1_conn *conn)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";

	conn->continue_sent = true;
	write_out(conn, text, sizeof(text) - 1);
}

static void
process(struct h1_conn *conn, const char *data, size_t length)
{
	struct h1_reader *reader = &conn->reader;
	struct h1_server *server = conn->server;
	size_t before = reader->message.body.length, used;
	enum h1_read read;

	if (!reader->started || reader->head_done)
		conn->since_us = cs_now_us();
	read = h1_reader_feed(reader, data, length, &used);
	server->bodies_bytes += reader->message.body.length - before;
	if (server->bodies_bytes > server->params.bodies_bytes_max &&
	    reader->message.body.length > 0) {
		refuse(conn, 503);
		return;
	}
	switch (read) {
	case H1_READ_MORE:
		if (reader->head_done && reader->message.expects_continue &&
		    !conn->continue_sent)
			send_continue(conn);
		return;
	case H1_READ_WHOLE:
		on_whole(conn, data + used, length - used);
		return;
	case H1_READ_BAD:
		refuse(conn, 400);
		return;
	case H1_READ_HEAD_LARGE:
		refuse(conn, 431);
		return;
	case H1_READ_BODY_LARGE:
		refuse(conn, 413);
		return;
	}
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[READ_BYTES_MAX]; /* one loop, one read at a time */

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct h1_conn *conn = (struct h1_conn *)stream;

	if (length < 0) {
		close_conn(conn);
		return;
	}
	switch (conn->state) {
	case CONN_READING:
		if (length > 0)
			process(conn, buffer->base, (size_t)length);
		return;
	case CONN_ANSWERING:
		if (conn->pipelined.length + (size_t)length >
			PIPELINED_BYTES_MAX ||
		    h1_bytes_add(
			&conn->pipelined, buffer->base, (size_t)length) != 0)
			close_conn(conn);
		return;
	case CONN_LINGERING:
		return; /* discarded, so that the close is no reset */
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
	conn->since_us = cs_now_us();
	conn->next = server->conns;
	if (conn->next != NULL)
		conn->next->previous = conn;
	server->conns = conn;
	server->count++;
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0 ||
	    server->count > server->params.connections_max ||
	    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0) {
		close_conn(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
}

static void
on_server_closed(uv_handle_t *handle)
{
	(void)handle; /* connections may outlive the listener */
}

int
h1_server_create(const struct h1_server_params *params, struct h1_server **out)
{
	struct h1_server *server = calloc(1, sizeof(*server));

	if (server == NULL)
		return CS_E_SYSTEM;
	server->params = *params;
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
			linger(conn);
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
is_over_time(const struct h1_conn *conn, int64_t now_us)
{
	const struct h1_server_params *params = &conn->server->params;
	int64_t age_ms = (now_us - conn->since_us) / 1000;

	switch (conn->state) {
	case CONN_READING:
		if (conn->reader.started && !conn->reader.head_done)
			return age_ms > params->head_timeout_ms;
		return age_ms > params->idle_timeout_ms;
	case CONN_ANSWERING:
		return false;
	case CONN_LINGERING:
		return age_ms > LINGER_MS;
	}
	return false;
}

void
h1_server_sweep(struct h1_server *server, int64_t now_us)
{
	struct h1_conn *conn, *next;

	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		if (!is_over_time(conn, now_us))
			continue;
		if (conn->state == CONN_READING && conn->reader.started)
			refuse(conn, 408);
		else
			close_conn(conn);
	}
}

uint32_t
h1_server_connections(const struct h1_server *server)
{
	return server->count;
}

uint32_t
h1_server_busy(const struct h1_server *server)
{
	return server->busy;
}

uint16_t
h1_server_port(const struct h1_server *server)
{
	struct sockaddr_in address;
	int length = sizeof(address);

	if (uv_tcp_getsockname(
		&server->tcp, (struct sockaddr *)&address, &length) != 0)
		return 0;
	return ntohs(address.sin_port);
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

uint32_t
h1_conn_peer(const struct h1_conn *conn)
{
	struct sockaddr_in address = {.sin_port = 0};
	int length = sizeof(address);

	if (uv_tcp_getpeername(
		&conn->tcp, (struct sockaddr *)&address, &length) != 0)
		return 0;
	return ntohl(address.sin_addr.s_addr);
}
