/*
 * Client for whole answers, used towards the platform and for operators'
 * commands. The time limit covers the connect, the request and the whole
 * answer.
 */
#include <h2o/http1client.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "http.h"

#define IO_TIMEOUT_MS 600000
#define HEAD_BYTES_MAX 2048
#define POOLS_MAX 64
#define IDLE_CONNECTION_MS 5000
#define IDLE_CONNECTIONS_MAX 256

struct exchange {
	struct ht_client *owner;
	struct exchange *next;
	struct exchange **link;
	uv_timer_t timer;
	h2o_http1client_t *client;
	struct ht_request request;
	struct ht_response response;
	char head[HEAD_BYTES_MAX];
	char *body;
	h2o_iovec_t buffers[2];
	char *answer;
	size_t answer_bytes;
	bool sent;
};

/* Idle connections to one address. */
struct pool {
	struct sockaddr_in address;
	h2o_socketpool_t sockets;
};

struct ht_client {
	uv_loop_t *loop;
	struct pool pools[POOLS_MAX];
	uint32_t pool_count;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t context;
	struct exchange *exchanges;
};

static void
on_timer_closed(uv_handle_t *handle)
{
	struct exchange *x = handle->data;

	free(x->body);
	free(x->answer);
	free(x);
}

static void
discard(struct exchange *x)
{
	*x->link = x->next;
	if (x->next != NULL)
		x->next->link = x->link;
	uv_close((uv_handle_t *)&x->timer, on_timer_closed);
}

static void
finish(struct exchange *x, int error)
{
	x->response.error = error;
	x->response.body = x->answer != NULL ? x->answer : "";
	x->response.body_bytes = x->answer_bytes;
	x->request.on_response(&x->response, x->request.user);
	discard(x);
}

static void
finish_failed(struct exchange *x)
{
	finish(x, x->sent ? CS_E_UNKNOWN : CS_E_UNAVAILABLE);
}

static void
on_timeout(uv_timer_t *timer)
{
	struct exchange *x = timer->data;

	h2o_http1client_cancel(x->client);
	finish_failed(x);
}

static int
take_answer(struct exchange *x, h2o_buffer_t **input)
{
	size_t more = (*input)->size;
	char *grown;

	if (x->answer_bytes + more > x->request.answer_bytes_max)
		return CS_E_FULL;
	grown = realloc(x->answer, x->answer_bytes + more + 1);
	if (grown == NULL)
		return CS_E_SYSTEM;
	memcpy(grown + x->answer_bytes, (*input)->bytes, more);
	x->answer = grown;
	x->answer_bytes += more;
	x->answer[x->answer_bytes] = '\0';
	h2o_buffer_consume(input, more);
	return CS_OK;
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
	struct exchange *x = client->data;

	if (error != NULL && error != h2o_http1client_error_is_eos) {
		finish_failed(x);
		return 0;
	}
	if (take_answer(x, &client->sock->input) != CS_OK) {
		finish_failed(x);
		return -1;
	}
	if (error == h2o_http1client_error_is_eos)
		finish(x, CS_OK);
	return 0;
}

static bool
copy_header(
    const h2o_header_t *header, const char *name, char *out, size_t out_bytes)
{
	if (!h2o_lcstris(
		header->name->base, header->name->len, name, strlen(name)) ||
	    header->value.len >= out_bytes)
		return false;
	memcpy(out, header->value.base, header->value.len);
	out[header->value.len] = '\0';
	return true;
}

static void
read_headers(struct exchange *x, const h2o_header_t *headers, size_t count)
{
	struct ht_response *response = &x->response;
	char digits[32];
	size_t i;

	for (i = 0; i < count; i++) {
		if (copy_header(
			&headers[i], "object-version", digits, sizeof(digits)))
			response->version = strtoull(digits, NULL, 10);
		copy_header(&headers[i], "chervilshelf-outcome",
		    response->outcome, sizeof(response->outcome));
	}
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
    int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
    int head_bytes)
{
	struct exchange *x = client->data;

	(void)minor_version;
	(void)message;
	(void)head_bytes;
	if (error != NULL && error != h2o_http1client_error_is_eos) {
		finish_failed(x);
		return NULL;
	}
	x->response.status = status;
	read_headers(x, headers, count);
	if (error == h2o_http1client_error_is_eos) {
		finish(x, CS_OK);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error, h2o_iovec_t **buffers,
    size_t *buffer_count, int *method_is_head)
{
	struct exchange *x = client->data;

	if (error != NULL) {
		finish_failed(x);
		return NULL;
	}
	x->sent = true;
	*buffers = x->buffers;
	*buffer_count = x->request.body_bytes != 0 ? 2 : 1;
	*method_is_head = 0;
	return on_head;
}

static int
format_head(struct exchange *x, const char *host)
{
	const struct ht_request *r = &x->request;
	int length;

	length = snprintf(x->head, sizeof(x->head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    r->method, r->path, host, r->reuse ? "keep-alive" : "close",
	    r->body_bytes, r->headers != NULL ? r->headers : "");
	if (length < 0 || (size_t)length >= sizeof(x->head))
		return CS_E_INVALID;
	x->buffers[0] = h2o_iovec_init(x->head, (size_t)length);
	return CS_OK;
}

static int
copy_body(struct exchange *x)
{
	if (x->request.body_bytes == 0)
		return CS_OK;
	x->body = malloc(x->request.body_bytes);
	if (x->body == NULL)
		return CS_E_SYSTEM;
	memcpy(x->body, x->request.body, x->request.body_bytes);
	x->buffers[1] = h2o_iovec_init(x->body, x->request.body_bytes);
	return CS_OK;
}

static void
link_exchange(struct ht_client *client, struct exchange *x)
{
	x->owner = client;
	x->next = client->exchanges;
	x->link = &client->exchanges;
	if (x->next != NULL)
		x->next->link = &x->next;
	client->exchanges = x;
}

static h2o_socketpool_t *
find_pool(struct ht_client *client, const struct sockaddr_in *address)
{
	struct pool *pool;
	uint32_t i;

	for (i = 0; i < client->pool_count; i++) {
		pool = &client->pools[i];
		if (pool->address.sin_addr.s_addr == address->sin_addr.s_addr &&
		    pool->address.sin_port == address->sin_port)
			return &pool->sockets;
	}
	if (client->pool_count == POOLS_MAX)
		return NULL;
	pool = &client->pools[client->pool_count++];
	pool->address = *address;
	h2o_socketpool_init_by_address(&pool->sockets,
	    (struct sockaddr *)&pool->address, sizeof(pool->address), 0,
	    IDLE_CONNECTIONS_MAX);
	h2o_socketpool_set_timeout(
	    &pool->sockets, client->loop, IDLE_CONNECTION_MS);
	return &pool->sockets;
}

static void
connect_exchange(struct ht_client *client, struct exchange *x)
{
	struct sockaddr_in *address = &x->request.address;
	h2o_socketpool_t *pool = NULL;
	char host[INET_ADDRSTRLEN];

	if (x->request.reuse)
		pool = find_pool(client, address);
	if (pool != NULL) {
		h2o_http1client_connect_with_pool(
		    &x->client, x, &client->context, pool, on_connect);
		return;
	}
	uv_ip4_name(address, host, sizeof(host));
	h2o_http1client_connect(&x->client, x, &client->context,
	    h2o_iovec_init(host, strlen(host)), ntohs(address->sin_port), 0,
	    on_connect);
}

int
ht_client_send(struct ht_client *client, const struct ht_request *request)
{
	char authority[CS_ADDRESS_BYTES_MAX];
	struct exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return CS_E_SYSTEM;
	x->request = *request;
	cs_format_address(&request->address, authority);
	if (format_head(x, authority) != CS_OK || copy_body(x) != CS_OK) {
		free(x);
		return CS_E_INVALID;
	}
	link_exchange(client, x);
	uv_timer_init(client->loop, &x->timer);
	x->timer.data = x;
	uv_timer_start(&x->timer, on_timeout, request->timeout_ms, 0);
	connect_exchange(client, x);
	return CS_OK;
}

struct ht_client *
ht_client_create(uv_loop_t *loop)
{
	struct ht_client *client = calloc(1, sizeof(*client));

	if (client == NULL)
		return NULL;
	client->loop = loop;
	h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
	client->context = (h2o_http1client_ctx_t){
	    .loop = loop,
	    .io_timeout = &client->io_timeout,
	};
	return client;
}

void
ht_client_close(struct ht_client *client)
{
	while (client->exchanges != NULL) {
		struct exchange *x = client->exchanges;

		h2o_http1client_cancel(x->client);
		discard(x);
	}
}
