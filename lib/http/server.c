/* HTTP listener on h2o: connections, the handler, and answers. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../base/base.h"
#include "http_internal.h"

#define BACKLOG 1024
#define BODY_CHECK_INTERVAL_MS 10
/* Bounds what one turn of the loop can read from one connection. */
#define RECEIVE_BUFFER_BYTES 262144

struct connection {
	uv_tcp_t tcp; /* first: h2o hands the stream back on close */
	struct ht_server *server;
	h2o_socket_t *sock;
	struct connection *next;
	struct connection **link;
	struct ht_upload upload;
};

struct handler {
	h2o_handler_t super;
	struct ht_server *server;
};

struct ht_server {
	struct ht_server_params params;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	uv_timer_t body_timer;
	struct connection *connections;
	uint32_t connection_count;
};

static void
on_connection_closed(uv_handle_t *handle)
{
	struct connection *c = (struct connection *)handle;

	*c->link = c->next;
	if (c->next != NULL)
		c->next->link = c->link;
	c->server->connection_count--;
	free(c);
}

static void
link_connection(struct ht_server *server, struct connection *c)
{
	c->server = server;
	c->next = server->connections;
	c->link = &server->connections;
	if (c->next != NULL)
		c->next->link = &c->next;
	server->connections = c;
	server->connection_count++;
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct ht_server *server = listener->data;
	int receive_bytes = RECEIVE_BUFFER_BYTES;
	struct connection *c;

	if (status != 0)
		return;
	c = calloc(1, sizeof(*c));
	if (c == NULL)
		return;
	uv_tcp_init(server->params.loop, &c->tcp);
	link_connection(server, c);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    server->connection_count > server->params.connections_max) {
		uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_recv_buffer_size((uv_handle_t *)&c->tcp, &receive_bytes);
	c->sock =
	    h2o_uv_socket_create((uv_stream_t *)&c->tcp, on_connection_closed);
	h2o_accept(&server->accept, c->sock);
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct ht_server *server = ((struct handler *)self)->server;

	server->params.on_request(req, server->params.user);
	return 0;
}

static bool
is_open(const struct connection *c)
{
	return c->sock != NULL && !uv_is_closing((const uv_handle_t *)&c->tcp);
}

static void
on_body_check(uv_timer_t *timer)
{
	struct ht_server *server = timer->data;
	struct connection *c;
	struct ht_uploads uploads;

	ht_uploads_begin(&uploads, server->params.bodies_bytes_max,
	    server->params.body_bytes_max);
	for (c = server->connections; c != NULL; c = c->next) {
		if (is_open(c))
			ht_uploads_count(&uploads, &c->upload, c->sock);
	}
	for (c = server->connections; c != NULL; c = c->next) {
		if (is_open(c))
			ht_uploads_check(&uploads, &c->upload, c->sock);
	}
}

static int
bind_listener(struct ht_server *server)
{
	const struct sockaddr *address;

	address = (const struct sockaddr *)&server->params.listen;
	uv_tcp_init(server->params.loop, &server->listener);
	server->listener.data = server;
	if (uv_tcp_bind(&server->listener, address, 0) != 0)
		return CS_E_SYSTEM;
	if (uv_listen((uv_stream_t *)&server->listener, BACKLOG, on_accept) !=
	    0)
		return CS_E_SYSTEM;
	return CS_OK;
}

static void
init_h2o(struct ht_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;

	/* The VMs have no disks: input buffers must never move to a file. */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	h2o_config_init(&server->config);
	server->config.server_name = h2o_iovec_init(NULL, 0);
	server->config.max_request_entity_size = server->params.body_bytes_max;
	server->config.http1.req_timeout = server->params.head_timeout_ms;
	server->config.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(
	    &server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = server;
	h2o_context_init(
	    &server->context, server->params.loop, &server->config);
	server->accept = (h2o_accept_ctx_t){
	    .ctx = &server->context,
	    .hosts = server->config.hosts,
	};
}

int
ht_server_create(const struct ht_server_params *params, struct ht_server **out)
{
	struct ht_server *server;

	if (params->loop == NULL || params->on_request == NULL ||
	    params->connections_max == 0)
		return CS_E_INVALID;
	server = calloc(1, sizeof(*server));
	if (server == NULL)
		return CS_E_SYSTEM;
	server->params = *params;
	if (bind_listener(server) != CS_OK) {
		/* The handle stays with the loop, so the struct must too. */
		uv_close((uv_handle_t *)&server->listener, (uv_close_cb)free);
		return CS_E_SYSTEM;
	}
	init_h2o(server);
	uv_timer_init(params->loop, &server->body_timer);
	server->body_timer.data = server;
	if (params->bodies_bytes_max != 0)
		uv_timer_start(&server->body_timer, on_body_check,
		    BODY_CHECK_INTERVAL_MS, BODY_CHECK_INTERVAL_MS);
	*out = server;
	return CS_OK;
}

void
ht_server_address(
    const struct ht_server *server, char text[CS_ADDRESS_BYTES_MAX])
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int length = sizeof(address);

	uv_tcp_getsockname(
	    &server->listener, (struct sockaddr *)&address, &length);
	cs_format_address(&address, text);
}

void
ht_server_drain(struct ht_server *server)
{
	h2o_context_request_shutdown(&server->context);
}

void
ht_server_close(struct ht_server *server)
{
	if (!uv_is_closing((uv_handle_t *)&server->listener))
		uv_close((uv_handle_t *)&server->listener, NULL);
	uv_timer_stop(&server->body_timer);
}

void
ht_server_cut(struct ht_server *server)
{
	struct connection *c;
	int fd;

	for (c = server->connections; c != NULL; c = c->next) {
		if (!uv_is_closing((uv_handle_t *)&c->tcp) &&
		    uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
			shutdown(fd, SHUT_RDWR);
	}
}

uint32_t
ht_server_connections(const struct ht_server *server)
{
	return server->connection_count;
}

h2o_context_t *
ht_server_context(struct ht_server *server)
{
	return &server->context;
}

h2o_iovec_t
ht_header(const h2o_req_t *req, const char *name)
{
	ssize_t at;

	at = h2o_find_header_by_str(&req->headers, name, strlen(name), -1);
	if (at == -1)
		return h2o_iovec_init(NULL, 0);
	return req->headers.entries[at].value;
}

void
ht_add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t kept = h2o_strdup(&req->pool, value, SIZE_MAX);
	h2o_iovec_t kept_name = h2o_strdup(&req->pool, name, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, kept_name.base,
	    kept_name.len, 1, NULL, kept.base, kept.len);
}

void
ht_reply_body(h2o_req_t *req, int status, const char *body, size_t length_bytes)
{
	static h2o_generator_t generator = {NULL, NULL};
	h2o_iovec_t copy = h2o_strdup(&req->pool, body, length_bytes);

	req->res.status = status;
	req->res.reason = status >= 300 ? "Refused" : "OK";
	req->res.content_length = length_bytes;
	h2o_start_response(req, &generator);
	h2o_send(req, &copy, length_bytes != 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

void
ht_reply(h2o_req_t *req, int status, const char *content_type, const char *body,
    size_t length_bytes)
{
	ht_add_header(req, "content-type", content_type);
	ht_reply_body(req, status, body, length_bytes);
}
