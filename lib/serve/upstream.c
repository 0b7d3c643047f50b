/* Attempts: one upstream request of a call, on h2o's HTTP client. */
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "serve_internal.h"

#define SILENCE_TIMEOUT_MS 2000
#define STATUS_MISDIRECTED 421

static void
release(struct sv_attempt *attempt)
{
	struct sv_target *target = attempt->target;
	struct sv_call *call = attempt->call;

	attempt->client = NULL;
	attempt->target = NULL;
	sv_pool_unref(attempt->pool);
	attempt->pool = NULL;
	sv_target_unref(target);
	sv_call_unref(call);
}

static const char *
result_text(enum dc_result result)
{
	switch (result) {
	case DC_RESULT_WHOLE:
		return "whole";
	case DC_RESULT_NOT_SENT:
		return "not sent";
	case DC_RESULT_BROKEN:
		return "broken";
	case DC_RESULT_TRUNCATED:
		return "truncated";
	case DC_RESULT_UNFRAMED:
		return "unframed";
	case DC_RESULT_NOT_HOME:
		return "not home";
	}
	return "unlisted";
}

static void
report_end(struct sv_attempt *attempt, enum dc_result result)
{
	struct sv_server *server = attempt->call->server;
	struct dc_event event = {
	    .type = DC_EV_ATTEMPT_ENDED,
	    .ended =
		{
		    .call = attempt->call->id,
		    .attempt = attempt->number,
		    .result = result,
		},
	};

	sv_story_attempt_ended(attempt->call, attempt->number,
	    result_text(result), attempt->status);
	release(attempt);
	sv_feed(server, &event);
}

/* Moves what was received but not yet relayed off the client's socket. */
static void
keep_tail(struct sv_attempt *attempt)
{
	struct sv_call *call = attempt->call;
	h2o_socket_t *sock = attempt->client->sock;

	if (call->tail != NULL)
		return;
	call->tail = sock->input;
	h2o_buffer_init(&sock->input, &h2o_socket_buffer_prototype);
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
	struct sv_attempt *attempt = client->data;
	struct sv_call *call = attempt->call;
	bool cancelled;

	if (error != NULL) {
		keep_tail(attempt);
		report_end(attempt, error == h2o_http1client_error_is_eos
					? DC_RESULT_WHOLE
					: DC_RESULT_TRUNCATED);
		return 0;
	}
	attempt->in_callback = true;
	sv_relay_more(call);
	attempt->in_callback = false;
	cancelled = attempt->cancelled;
	if (cancelled)
		release(attempt);
	return cancelled ? -1 : 0;
}

static bool
has_token(h2o_iovec_t value, const char *token)
{
	return h2o_contains_token(
	    value.base, value.len, token, strlen(token), ',');
}

/*
 * Finds how the answer's end is marked. False when it would be marked by the
 * close of the connection only, which a crash looks like too.
 */
static bool
read_framing(struct sv_attempt *attempt, bool no_body)
{
	bool framed = no_body;
	size_t i;

	attempt->content_length = no_body ? 0 : SIZE_MAX;
	for (i = 0; i < attempt->header_count; i++) {
		const h2o_header_t *h = &attempt->headers[i];

		if (h->name == &H2O_TOKEN_CONTENT_LENGTH->buf) {
			attempt->content_length =
			    h2o_strtosize(h->value.base, h->value.len);
			framed = true;
		} else if (h->name == &H2O_TOKEN_TRANSFER_ENCODING->buf) {
			framed = framed || has_token(h->value, "chunked");
		}
	}
	return framed;
}

static bool
answer_has_no_body(const struct sv_call *call, int status)
{
	if (h2o_memis(call->req->method.base, call->req->method.len,
		H2O_STRLIT("HEAD")))
		return true;
	return status == 204 || status == 304;
}

static void
report_head(struct sv_attempt *attempt, int status)
{
	struct sv_call *call = attempt->call;

	sv_feed(call->server, &(struct dc_event){
				  .type = DC_EV_ATTEMPT_HEAD,
				  .head =
				      {
					  .call = call->id,
					  .attempt = attempt->number,
					  .status = (uint32_t)status,
				      },
			      });
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
    int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
    int head_bytes)
{
	struct sv_attempt *attempt = client->data;
	bool is_end = error == h2o_http1client_error_is_eos;

	(void)minor_version;
	(void)message;
	(void)head_bytes;
	if (error != NULL && !is_end) {
		report_end(attempt, DC_RESULT_BROKEN);
		return NULL;
	}
	attempt->status = status;
	attempt->headers = headers;
	attempt->header_count = count;
	if (attempt->forwarded && status == STATUS_MISDIRECTED) {
		report_end(attempt, DC_RESULT_NOT_HOME);
		return NULL;
	}
	if (!read_framing(attempt, answer_has_no_body(attempt->call, status))) {
		report_end(attempt, DC_RESULT_UNFRAMED);
		return NULL;
	}
	attempt->in_callback = true;
	report_head(attempt, status);
	attempt->in_callback = false;
	if (attempt->cancelled) {
		release(attempt);
		return NULL;
	}
	if (is_end) {
		/* The socket's buffer still holds the head. */
		h2o_buffer_init(
		    &attempt->call->tail, &h2o_socket_buffer_prototype);
		report_end(attempt, DC_RESULT_WHOLE);
		return NULL;
	}
	return on_body;
}

/* A connection that acknowledges nothing for a while is given up. */
static void
limit_silence(h2o_socket_t *sock)
{
	int timeout_ms = SILENCE_TIMEOUT_MS;
	int on = 1, fd = h2o_socket_get_fd(sock);

	if (fd < 0)
		return;
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error, h2o_iovec_t **buffers,
    size_t *buffer_count, int *method_is_head)
{
	struct sv_attempt *attempt = client->data;
	struct sv_call *call = attempt->call;
	bool reused = attempt->in_connect;

	if (error != NULL) {
		report_end(attempt, DC_RESULT_NOT_SENT);
		return NULL;
	}
	if (!reused)
		limit_silence(client->sock);
	attempt->in_callback = true;
	sv_feed(call->server, &(struct dc_event){
				  .type = DC_EV_ATTEMPT_SENT,
				  .sent =
				      {
					  .call = call->id,
					  .attempt = attempt->number,
					  .reused = reused,
				      },
			      });
	attempt->in_callback = false;
	if (attempt->cancelled) {
		release(attempt);
		return NULL;
	}
	*buffers = attempt->buffers;
	*buffer_count = attempt->buffers[1].len != 0 ? 2 : 1;
	*method_is_head = h2o_memis(
	    call->req->method.base, call->req->method.len, H2O_STRLIT("HEAD"));
	return on_head;
}

static struct sv_attempt *
unused_attempt(struct sv_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].target == NULL)
			return &call->attempts[i];
	}
	return NULL;
}

static void
connect_target(struct sv_attempt *attempt)
{
	struct sv_server *server = attempt->call->server;
	struct sv_target *target = attempt->target;
	char host[INET_ADDRSTRLEN];

	if (!attempt->fresh) {
		attempt->pool = target->pool;
		cs_ref_take(&attempt->pool->ref);
		attempt->in_connect = true;
		h2o_http1client_connect_with_pool(&attempt->client, attempt,
		    &server->client, &attempt->pool->sockets, on_connect);
		attempt->in_connect = false;
		return;
	}
	uv_ip4_name(&target->sockaddr, host, sizeof(host));
	h2o_http1client_connect(&attempt->client, attempt, &server->client,
	    h2o_iovec_init(host, strlen(host)),
	    ntohs(target->sockaddr.sin_port), 0, on_connect);
}

/* Starts an attempt; takes over the reference to the target. */
static void
start(struct sv_call *call, const struct dc_send *send,
    struct sv_target *target, bool forwarded)
{
	struct sv_attempt *attempt = unused_attempt(call);

	if (target == NULL) {
		sv_feed(call->server, &(struct dc_event){
					  .type = DC_EV_ATTEMPT_ENDED,
					  .ended =
					      {
						  .call = call->id,
						  .attempt = send->attempt,
						  .result = DC_RESULT_NOT_SENT,
					      },
				      });
		return;
	}
	cs_ref_take(&call->ref);
	*attempt = (struct sv_attempt){
	    .call = call,
	    .target = target,
	    .number = (uint32_t)send->attempt,
	    .forwarded = forwarded,
	    .fresh = send->fresh != 0,
	};
	attempt->buffers[0] = sv_format_head(call, attempt);
	attempt->buffers[1] = call->req->entity;
	sv_story_sent(attempt);
	connect_target(attempt);
}

void
sv_attempt_start(struct sv_call *call, const struct dc_send *send)
{
	struct sv_target *target =
	    g_hash_table_lookup(call->server->targets, &send->target);

	if (target != NULL)
		cs_ref_take(&target->ref);
	start(call, send, target, false);
}

void
sv_forward_start(struct sv_call *call, const struct dc_send *send)
{
	struct sv_server *server = call->server;
	struct sv_target *target = NULL;
	uint32_t i;

	for (i = 0; i < server->entry_count; i++) {
		if (server->entries[i].id == send->target)
			target = sv_target_new(
			    server, server->entries[i].address, false);
	}
	start(call, send, target, true);
}

void
sv_attempt_cancel(struct sv_call *call, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct sv_attempt *attempt = &call->attempts[i];

		if (attempt->target == NULL || attempt->number != number)
			continue;
		sv_story_attempt_ended(
		    call, number, "cancelled", attempt->status);
		if (attempt->in_callback) {
			attempt->cancelled = true;
			return;
		}
		h2o_http1client_cancel(attempt->client);
		release(attempt);
		return;
	}
}
