/*
 * A target's answer on its way to the caller: streamed with back-pressure,
 * never held whole, and never ended cleanly when the target broke off.
 */
#include <string.h>

#include "serve_internal.h"

/* Reading from the target pauses while more than this waits to be sent. */
#define AHEAD_BYTES_MAX (256 * 1024)

static bool
is_dropped(const h2o_header_t *header)
{
	static const char *const names[] = {"connection", "keep-alive",
	    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	    "content-length", "chervilshelf-request-id", NULL};
	const char *const *name;

	for (name = names; *name != NULL; name++) {
		if (h2o_lcstris(header->name->base, header->name->len, *name,
			strlen(*name)))
			return true;
	}
	return false;
}

/* The outcome is for an entry VM to say, not for a target. */
static bool
is_outcome(const h2o_header_t *header)
{
	return h2o_lcstris(header->name->base, header->name->len,
	    H2O_STRLIT("chervilshelf-outcome"));
}

/* What the home said of a call that was forwarded to it. */
static enum rp_result
forwarded_outcome(const struct sv_attempt *attempt)
{
	size_t i;

	for (i = 0; i < attempt->header_count; i++) {
		const h2o_header_t *h = &attempt->headers[i];

		if (!is_outcome(h))
			continue;
		if (h2o_memis(
			h->value.base, h->value.len, H2O_STRLIT("not-run")))
			return RP_NOT_RUN;
		if (h2o_memis(
			h->value.base, h->value.len, H2O_STRLIT("unknown")))
			return RP_UNKNOWN;
	}
	return RP_SERVED;
}

/* Whether the target's Connection header names this header. */
static bool
is_named_by_connection(
    const struct sv_attempt *attempt, const h2o_header_t *header)
{
	size_t i;

	for (i = 0; i < attempt->header_count; i++) {
		const h2o_header_t *h = &attempt->headers[i];

		if (h->name == &H2O_TOKEN_CONNECTION->buf &&
		    h2o_contains_token(h->value.base, h->value.len,
			header->name->base, header->name->len, ','))
			return true;
	}
	return false;
}

static void
copy_headers(struct sv_call *call, const struct sv_attempt *attempt)
{
	h2o_req_t *req = call->req;
	size_t i;

	for (i = 0; i < attempt->header_count; i++) {
		const h2o_header_t *h = &attempt->headers[i];
		h2o_iovec_t name, value;

		if (is_dropped(h) || is_named_by_connection(attempt, h) ||
		    (!attempt->forwarded && is_outcome(h)))
			continue;
		name = h2o_strdup(&req->pool, h->name->base, h->name->len);
		value = h2o_strdup(&req->pool, h->value.base, h->value.len);
		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
		    name.len, 1, NULL, value.base, value.len);
	}
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct sv_call *call = (struct sv_call *)generator;

	(void)req;
	h2o_doublebuffer_consume(&call->sending);
	sv_relay_more(call);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	/* The request's pool is about to be cleared: see sv_on_request(). */
	(void)generator;
	(void)req;
}

void
sv_relay_start(struct sv_call *call, uint32_t number)
{
	h2o_req_t *req = call->req;
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].target != NULL &&
		    call->attempts[i].number == number)
			call->relayed = &call->attempts[i];
	}
	call->relayed->relayed = true;
	sv_call_answered(call);
	req->res.status = call->relayed->status;
	req->res.reason = "Relayed";
	req->res.content_length = call->relayed->content_length;
	copy_headers(call, call->relayed);
	if (call->relayed->forwarded)
		call->outcome = forwarded_outcome(call->relayed);
	else
		ht_add_header(req, "chervilshelf-outcome", "ran");
	ht_add_header(req, "chervilshelf-request-id", call->request_id);
	call->generator = (h2o_generator_t){on_proceed, on_stop};
	sv_answer_begin(call);
	h2o_doublebuffer_init(&call->sending, &h2o_socket_buffer_prototype);
	h2o_start_response(req, &call->generator);
}

/* Pauses or resumes reading from the target. */
static void
regulate(struct sv_call *call)
{
	struct sv_attempt *attempt = call->relayed;
	h2o_socket_t *sock;

	if (attempt->target == NULL)
		return;
	sock = attempt->client->sock;
	if (sock->input->size > AHEAD_BYTES_MAX) {
		if (attempt->paused != NULL)
			return;
		attempt->paused = sock->_cb.read;
		h2o_socket_read_stop(sock);
	} else if (attempt->paused != NULL) {
		h2o_socket_cb resume = attempt->paused;

		attempt->paused = NULL;
		h2o_socket_read_start(sock, resume);
	}
}

static h2o_buffer_t **
source(struct sv_call *call)
{
	if (call->relayed->target != NULL)
		return &call->relayed->client->sock->input;
	return &call->tail;
}

void
sv_relay_more(struct sv_call *call)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_buffer_t **from;
	h2o_iovec_t chunk;
	bool last;

	if (call->req == NULL || call->relayed == NULL || call->sent_last ||
	    call->sending.bytes_inflight != 0)
		return;
	from = source(call);
	chunk = h2o_doublebuffer_prepare(
	    &call->sending, from, call->req->preferred_chunk_size);
	last = (call->whole || call->cut) && (*from)->size == 0 &&
	       chunk.len == call->sending.buf->size;
	if (last)
		state =
		    call->whole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
	else if (chunk.len == 0)
		return;
	call->sent_last = last;
	sv_answer_add(call, chunk);
	if (last && call->whole)
		sv_answer_keep(call);
	h2o_send(call->req, &chunk, chunk.len != 0 ? 1 : 0, state);
	if (!last)
		regulate(call);
}
