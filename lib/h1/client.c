/*
 * A client that receives whole responses: one request and one response at a
 * time on a connection, which is kept for later requests. The timeout covers
 * connect, request and response.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1.h"

/* Shorter than the time for which servers usually keep idle connections. */
#define IDLE_MAX_US 5000000
/*
 * When sent data stays unacknowledged for longer, the network path is broken.
 */
#define UNACKED_TIMEOUT_MS 2000
#define KEEPALIVE_PROBES_MAX 2

/* A connection, idle or in use by one exchange. */
struct connection {
	struct h1_client *client;
	struct connection *next;
	struct h1_client_conn *conn;
	struct sockaddr_in address;
	struct h1_exchange *exchange; /* NULL: idle */
	int64_t idle_since_us;
};

struct h1_exchange {
	struct h1_client *client;
	struct h1_exchange *next;
	struct connection *connection; /* NULL: the request was not sent */
	uv_timer_t timer;
	bool reuse;
	void (*on_response)(
	    const struct h1_client_response *response, void *user);
	void *user;
};

struct h1_client {
	uv_loop_t *loop;
	struct connection *connections;
	struct h1_exchange *exchanges;
	struct h1_bytes request_head;
};

static void
close_connection(struct connection *connection)
{
	struct connection **at = &connection->client->connections;

	while (*at != connection)
		at = &(*at)->next;
	*at = connection->next;
	if (connection->conn != NULL)
		h1_client_conn_close(connection->conn);
	free(connection);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void
remove_exchange(struct h1_exchange *x)
{
	struct h1_exchange **at = &x->client->exchanges;

	while (*at != x)
		at = &(*at)->next;
	*at = x->next;
	uv_close((uv_handle_t *)&x->timer, on_timer_closed);
}

static void
complete(struct h1_exchange *x, const struct h1_client_response *response)
{
	void (*on_response)(const struct h1_client_response *, void *) =
	    x->on_response;
	void *user = x->user;

	remove_exchange(x);
	on_response(response, user);
}

void
h1_client_cancel(struct h1_exchange *x)
{
	if (x->connection != NULL)
		close_connection(x->connection);
	remove_exchange(x);
}

static void
complete_failed(struct h1_exchange *x, bool sent)
{
	complete(x,
	    &(struct h1_client_response){
		.error = sent ? CS_E_UNKNOWN : CS_E_UNAVAILABLE, .body = ""});
}

static enum h1_keep
on_response(struct h1_client_conn *conn, const struct h1_message *response)
{
	struct connection *connection = h1_client_conn_owner(conn);
	struct h1_exchange *x = connection->exchange;
	enum h1_keep keep =
	    response->keep_alive && x->reuse ? H1_KEEP : H1_CLOSE;
	struct h1_bytes body = {.data = NULL};
	struct h1_client_response result = {
	    .status = response->status, .message = response};

	connection->exchange = NULL;
	connection->idle_since_us = cs_now_us();
	if (keep == H1_CLOSE) {
		connection->conn = NULL; /* H1_CLOSE closes it on return */
		close_connection(connection);
	}
	/* Copied: the callback may send the next request on this connection. */
	if (h1_bytes_add(&body, response->body.data, response->body.length) !=
		0 ||
	    h1_bytes_add(&body, "", 1) != 0)
		result.error = CS_E_UNKNOWN;
	result.body = body.data == NULL ? "" : body.data;
	result.body_length = response->body.length;
	complete(x, &result);
	h1_bytes_free(&body);
	return keep;
}

static void
on_end(struct h1_client_conn *conn, enum h1_end end)
{
	struct connection *connection = h1_client_conn_owner(conn);
	struct h1_exchange *x = connection->exchange;
	bool sent = end != H1_END_CONNECT_FAILED && h1_client_conn_sent(conn);

	connection->conn = NULL;
	close_connection(connection);
	if (x != NULL) {
		x->connection = NULL;
		complete_failed(x, sent);
	}
}

static const struct h1_client_conn_events events = {
    .on_response = on_response,
    .on_end = on_end,
};

static void
on_timeout(uv_timer_t *timer)
{
	struct h1_exchange *x = timer->data;
	bool sent =
	    x->connection != NULL && h1_client_conn_sent(x->connection->conn);

	if (x->connection != NULL)
		close_connection(x->connection);
	complete_failed(x, sent);
}

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static struct connection *
find_idle_connection(
    struct h1_client *client, const struct sockaddr_in *address)
{
	int64_t now_us = cs_now_us();
	struct connection *connection, *next;

	for (connection = client->connections; connection != NULL;
	     connection = next) {
		next = connection->next;
		if (connection->exchange != NULL)
			continue;
		if (now_us - connection->idle_since_us > IDLE_MAX_US)
			close_connection(connection);
		else if (same_address(&connection->address, address))
			return connection;
	}
	return NULL;
}

static struct connection *
open_connection(struct h1_client *client, const struct h1_request *request)
{
	struct connection *connection = calloc(1, sizeof(*connection));
	struct h1_client_conn_params params = {
	    .loop = client->loop,
	    .address = request->address,
	    .limits = {H1_HEAD_BYTES_MAX, request->response_bytes_max},
	    .unacked_timeout_ms = request->unacked_timeout_ms > 0
				      ? request->unacked_timeout_ms
				      : UNACKED_TIMEOUT_MS,
	    .keepalive_probes_max = request->keepalive_probes_max > 0
					? request->keepalive_probes_max
					: KEEPALIVE_PROBES_MAX,
	    .events = &events,
	    .owner = connection,
	};

	if (connection == NULL)
		return NULL;
	if (h1_client_conn_open(&params, &connection->conn) != CS_OK) {
		free(connection);
		return NULL;
	}
	connection->client = client;
	connection->address = request->address;
	connection->next = client->connections;
	client->connections = connection;
	return connection;
}

static int
write_head(struct h1_bytes *out, const struct h1_request *request)
{
	char authority[CS_ADDRESS_BYTES_MAX];
	int error;

	out->length = 0;
	cs_format_address(&request->address, authority);
	error = h1_bytes_add_text(out, request->method);
	error |= h1_bytes_add_text(out, " ");
	error |= h1_bytes_add_text(out, request->path);
	return error | h1_bytes_print(out,
			   " HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\n"
			   "Content-Length: %zu\r\n%s\r\n",
			   authority, request->reuse ? "keep-alive" : "close",
			   request->body_length,
			   request->headers != NULL ? request->headers : "");
}

static void
send_request(struct h1_exchange *x, const struct h1_request *request)
{
	struct h1_client *client = x->client;
	struct h1_bytes body = {
	    .data = (char *)(uintptr_t)request->body, /* only read from */
	    .length = request->body_length};
	struct connection *connection = NULL;

	if (request->reuse)
		connection = find_idle_connection(client, &request->address);
	if (connection == NULL)
		connection = open_connection(client, request);
	if (connection == NULL)
		return;
	if (write_head(&client->request_head, request) != CS_OK ||
	    h1_client_conn_send(connection->conn, &client->request_head, &body,
		false) != CS_OK) {
		close_connection(connection);
		return;
	}
	connection->exchange = x;
	x->connection = connection;
}

struct h1_exchange *
h1_client_send(struct h1_client *client, const struct h1_request *request)
{
	struct h1_exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	x->client = client;
	x->reuse = request->reuse;
	x->on_response = request->on_response;
	x->user = request->user;
	x->next = client->exchanges;
	client->exchanges = x;
	uv_timer_init(client->loop, &x->timer);
	x->timer.data = x;
	send_request(x, request);
	/* A failure to send is reported from the loop, never from this call. */
	uv_timer_start(&x->timer, on_timeout,
	    x->connection == NULL ? 0 : request->timeout_ms, 0);
	return x;
}

struct h1_client *
h1_client_create(uv_loop_t *loop)
{
	struct h1_client *client = calloc(1, sizeof(*client));

	if (client != NULL)
		client->loop = loop;
	return client;
}

void
h1_client_close(struct h1_client *client)
{
	while (client->exchanges != NULL)
		h1_client_cancel(client->exchanges);
	while (client->connections != NULL)
		close_connection(client->connections);
	h1_bytes_free(&client->request_head);
	free(client);
}
