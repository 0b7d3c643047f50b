/*
 * http: a listener and a whole-answer client over h2o and libuv.
 *
 * Everything runs on the one loop it is given. Listener callbacks receive the
 * h2o request itself, so that callers who stream may use h2o's generators.
 */
#ifndef HT_HTTP_H
#define HT_HTTP_H

#include <h2o.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/base.h"

struct ht_server;

/*
 * Called once for each whole request. The callback must answer it, now or
 * later; the request lives until its answer is complete or its caller leaves.
 */
typedef void (*ht_request_cb)(h2o_req_t *req, void *user);

struct ht_server_params {
	uv_loop_t *loop;
	struct sockaddr_in listen;
	size_t body_bytes_max;	  /* one request's body; beyond it 413 */
	size_t bodies_bytes_max;  /* unread bodies together; 0: no limit */
	uint32_t head_timeout_ms; /* from first byte to the whole request */
	uint32_t connections_max; /* beyond it accepted ones are closed */
	ht_request_cb on_request;
	void *user;
};

/*
 * ht_server_create(params, out): binds and listens. Returns CS_E_INVALID for
 * bad parameters and CS_E_SYSTEM when the address cannot be bound.
 * The server is freed by ht_server_close() once its loop has run on.
 */
int ht_server_create(
    const struct ht_server_params *params, struct ht_server **out);
/* ht_server_address(server, text): the bound address. */
void ht_server_address(
    const struct ht_server *server, char text[CS_ADDRESS_BYTES_MAX]);
/*
 * ht_server_drain(server): every further answer closes its connection, so
 * that callers move on. The listener keeps accepting.
 */
void ht_server_drain(struct ht_server *server);
/* ht_server_close(server): stops accepting and closes the listener. */
void ht_server_close(struct ht_server *server);
/* ht_server_cut(server): breaks every open connection off. */
void ht_server_cut(struct ht_server *server);
/* ht_server_connections(server): connections that are open now. */
uint32_t ht_server_connections(const struct ht_server *server);
/* ht_server_context(server): h2o's context, for timers and clients. */
h2o_context_t *ht_server_context(struct ht_server *server);

/* ht_header(req, name): a request header's value, base NULL when absent. */
h2o_iovec_t ht_header(const h2o_req_t *req, const char *name);
/* ht_add_header(req, name, value): adds an answer header; value is copied. */
void ht_add_header(h2o_req_t *req, const char *name, const char *value);
/* ht_reply_body(req, status, body, length): the same without a type. */
void ht_reply_body(
    h2o_req_t *req, int status, const char *body, size_t length_bytes);
/* ht_reply(req, status, type, body, length): answers; body is copied. */
void ht_reply(h2o_req_t *req, int status, const char *content_type,
    const char *body, size_t length_bytes);

struct ht_client;

struct ht_response {
	int error; /* CS_OK, CS_E_UNAVAILABLE (not sent) or CS_E_UNKNOWN */
	int status;
	uint64_t version; /* of the Object-Version header, 0 when absent */
	char outcome[16]; /* of the Chervilshelf-Outcome header, or empty */
	const char *body; /* NUL terminated, valid during the callback */
	size_t body_bytes;
};

typedef void (*ht_response_cb)(const struct ht_response *response, void *user);

struct ht_request {
	struct sockaddr_in address;
	const char *method;
	const char *path;
	const char *headers; /* further header lines, each ending in \r\n */
	const char *body;    /* copied */
	size_t body_bytes;
	size_t answer_bytes_max;
	uint32_t timeout_ms;
	bool reuse; /* may use a connection that is open already */
	ht_response_cb on_response;
	void *user;
};

/*
 * ht_client_create(loop): a client for whole answers. ht_client_close() cancels
 * what is under way without callbacks.
 */
struct ht_client *ht_client_create(uv_loop_t *loop);
void ht_client_close(struct ht_client *client);
/*
 * ht_client_send(client, request): starts one request; on_response is called
 * exactly once, later. Returns CS_E_INVALID when it cannot be formed.
 */
int ht_client_send(struct ht_client *client, const struct ht_request *request);

#endif
