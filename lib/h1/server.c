/* The listener: its connections, their timeouts, and its end. */
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1_internal.h"

#define BACKLOG_MAX 1024 /* all clients may reconnect at once */
#define LINGER_MS 1000	 /* for the client to close, from the last byte on */

/*
 * The kernel takes no more than this beyond what it may send. Otherwise it
 * holds up to 4 MB for each client that reads slowly, which counts nowhere
 * here.
 */
#define KERNEL_UNSENT_BYTES (32 * 1024)

static void
set_socket_options(struct h1_conn *conn)
{
	int unsent_bytes = KERNEL_UNSENT_BYTES;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) == 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes,
		    sizeof(unsent_bytes));
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
	conn->progress_us = conn->mark_us = conn->opened_us;
	conn->next = server->conns;
	if (conn->next != NULL)
		conn->next->previous = conn;
	server->conns = conn;
	server->connection_count++;
	conn->busy++;
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0 ||
	    !h1_make_room(server, conn) || !h1_conn_account(conn) ||
	    h1_conn_start_reading(conn) != 0) {
		h1_conn_close(conn);
		return;
	}
	conn->busy--;
	set_socket_options(conn);
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
	h1_memory_attach(server);
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
	struct h1_conn *conn;

	if (server->draining)
		return;
	server->draining = true;
	for (conn = server->conns; conn != NULL; conn = conn->next)
		h1_conn_note_input(conn);
}

void
h1_server_close_idle(struct h1_server *server)
{
	struct h1_conn *conn, *next;

	server->closing_idle = true;
	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		if (conn->state == CONN_READING && !conn->reader.started &&
		    conn->owed_bytes == 0)
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

/*
 * Returns true if the client still has to read a response. What the kernel
 * holds is only looked at where the connection would be idle otherwise.
 */
static bool
has_output(const struct h1_conn *conn, int64_t age_ms)
{
	if (h1_conn_unsent(conn) > 0)
		return true;
	return conn->state == CONN_READING && !conn->reader.started &&
	       age_ms > conn->server->params.idle_timeout_ms &&
	       h1_conn_unacked(conn) > 0;
}

static bool
has_timed_out(const struct h1_conn *conn, int64_t age_ms)
{
	const struct h1_server_params *params = &conn->server->params;

	switch (conn->state) {
	case CONN_READING:
		if (conn->reader.started && !conn->reader.head_complete)
			return age_ms > params->head_timeout_ms;
		return age_ms > params->idle_timeout_ms;
	case CONN_RESPONDING:
	case CONN_FLUSHING:
		return false;
	case CONN_LINGERING:
		return age_ms > LINGER_MS;
	}
	return false;
}

static bool
is_stalled(const struct h1_conn *conn, int64_t now_us)
{
	return (now_us - conn->progress_us) / 1000 >
	       conn->server->params.idle_timeout_ms;
}

static void
sweep_conn(struct h1_conn *conn, int64_t now_us)
{
	int64_t age_ms = (now_us - conn->timeout_start_us) / 1000;
	bool started = conn->state == CONN_READING && conn->reader.started;

	if (has_output(conn, age_ms)) {
		h1_conn_progress(conn, now_us);
		if (is_stalled(conn, now_us)) {
			h1_conn_evict(conn, H1_CLOSED_STALLED);
			return;
		}
		if (!started)
			return; /* a client that reads a response is not idle */
	}
	if (!has_timed_out(conn, age_ms))
		return;
	if (started)
		h1_conn_reject(conn, 408);
	else
		h1_conn_close(conn);
}

void
h1_server_sweep(struct h1_server *server, int64_t now_us)
{
	struct h1_conn *conn, *next;

	for (conn = server->conns; conn != NULL; conn = next) {
		next = conn->next;
		if (!conn->closing) /* by the one before, for its memory */
			sweep_conn(conn, now_us);
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

uint32_t
h1_conn_client(const struct h1_conn *conn)
{
	return conn->address.s_addr;
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
