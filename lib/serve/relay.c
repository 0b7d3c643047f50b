/*
 * Relays a target's response to the caller. The response is streamed with
 * back-pressure, as it holds a slot of its target until all of it has arrived;
 * see slow.c for callers that read slowly. If the target's response is
 * truncated, the caller's connection is aborted, so that the response cannot
 * pass for a complete one.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "serve_internal.h"

#define OUTCOME_HEADER "chervilshelf-outcome"

/* Returns the outcome that the home reported for a forwarded call. */
static enum rp_result
forwarded_outcome(const struct sv_attempt *attempt)
{
	const char *outcome = h1_find_header(attempt->response, OUTCOME_HEADER);

	if (outcome != NULL && strcmp(outcome, "not-run") == 0)
		return RP_NOT_RUN;
	if (outcome != NULL && strcmp(outcome, "unknown") == 0)
		return RP_UNKNOWN;
	return RP_SERVED;
}

static int
write_headers(
    struct sv_call *call, const struct sv_attempt *attempt, struct h1_bytes *to)
{
	const struct h1_message *response = attempt->response;
	int error = CS_OK;
	uint32_t i;

	to->length = 0;
	for (i = 0; i < response->header_count; i++) {
		const char *name = h1_header_name(response, i);

		/* Only an entry VM may set the outcome, not a target. */
		if (h1_is_hop_by_hop(response, i) ||
		    strcasecmp(name, "chervilshelf-request-id") == 0 ||
		    (!attempt->forwarded &&
			strcasecmp(name, OUTCOME_HEADER) == 0))
			continue;
		error |=
		    h1_bytes_add_header(to, name, h1_header_value(response, i));
	}
	if (!attempt->forwarded)
		error |= h1_bytes_add_header(to, OUTCOME_HEADER, "ran");
	error |= h1_bytes_add_header(
	    to, "chervilshelf-request-id", call->request_id);
	return error;
}

static struct sv_attempt *
find_attempt(struct sv_call *call, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].target != NULL &&
		    call->attempts[i].number == number)
			return &call->attempts[i];
	}
	return NULL;
}

/*
 * Pauses or resumes reading from the target. While memory is short, it pauses
 * until everything is sent.
 */
static void
apply_backpressure(struct sv_attempt *attempt, size_t unsent_bytes)
{
	struct sv_call *call = attempt->call;
	const struct sv_server *server = call->server;
	size_t unsent_bytes_max = cs_memory_is_short(server->params.memory)
				      ? 0
				      : server->unsent_bytes_max;

	if (attempt->target == NULL)
		return;
	call->relay_paused = unsent_bytes > unsent_bytes_max;
	h1_client_conn_pause(attempt->connection->conn, call->relay_paused);
}

void
sv_relay_start(struct sv_call *call, uint32_t number)
{
	struct h1_bytes *headers = &call->server->scratch;
	struct sv_attempt *attempt = find_attempt(call, number);
	const char *length =
	    h1_find_header(attempt->response, "content-length");
	struct h1_bytes buffered = attempt->buffered;

	call->relayed = attempt;
	call->relay_mark_us = cs_now_us();
	if (call->conn == NULL)
		return;
	if (attempt->forwarded)
		call->outcome = forwarded_outcome(attempt);
	if (write_headers(call, attempt, headers) != CS_OK) {
		h1_conn_evict(call->conn, H1_CLOSED_MEMORY);
		return;
	}
	sv_response_cache_begin(call, headers);
	h1_conn_begin_response(call->conn,
	    &(struct h1_response_head){
		.status = attempt->status,
		.headers = headers->data,
		.headers_length = headers->length,
		.sized = length != NULL,
		.length = length == NULL ? 0 : strtoull(length, NULL, 10),
	    });
	attempt->buffered = (struct h1_bytes){.data = NULL};
	sv_relay_body(attempt, buffered.data, buffered.length);
	h1_bytes_free(&buffered);
}

void
sv_relay_body(struct sv_attempt *attempt, const char *data, size_t length)
{
	struct sv_call *call = attempt->call;

	if (length == 0)
		return;
	if (call->relayed == NULL) { /* the core has not decided yet */
		if (h1_bytes_add(&attempt->buffered, data, length) == CS_OK)
			apply_backpressure(attempt, attempt->buffered.length);
		return;
	}
	if (call->relayed != attempt || call->conn == NULL)
		return;
	sv_response_cache_append(call, data, length);
	call->relayed_bytes += length;
	h1_conn_send_body(call->conn, data, length);
	if (call->conn != NULL)
		apply_backpressure(attempt, h1_conn_unsent(call->conn));
}

void
sv_on_output_sent(struct h1_conn *conn)
{
	struct sv_call *call = h1_conn_call(conn);

	if (call != NULL && call->relayed != NULL)
		apply_backpressure(call->relayed, 0);
}

void
sv_relay_end(struct sv_call *call, bool complete)
{
	struct h1_conn *conn = call->conn;

	if (conn == NULL || call->relayed == NULL)
		return;
	if (complete)
		sv_response_cache_commit(call);
	sv_call_detach(call);
	if (complete)
		h1_conn_end_response(conn);
	else
		h1_conn_abort_response(conn);
}
