/*
 * A target's answer on its way to the caller: streamed with back-pressure,
 * never held whole, and never ended cleanly when the target broke off.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "serve_internal.h"

/* Reading from the target pauses while more than this waits to be sent. */
#define AHEAD_BYTES_MAX (256 * 1024)
#define OUTCOME "chervilshelf-outcome"

/* What the home said of a call that was forwarded to it. */
static enum rp_result
forwarded_outcome(const struct sv_attempt *attempt)
{
	const char *outcome = h1_find(attempt->answer, OUTCOME);

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
	const struct h1_message *answer = attempt->answer;
	int error = CS_OK;
	uint32_t i;

	to->length = 0;
	for (i = 0; i < answer->header_count; i++) {
		const char *name = h1_name(answer, i);

		/* The outcome is for an entry VM to say, not for a target. */
		if (h1_concerns_channel(answer, i) ||
		    strcasecmp(name, "chervilshelf-request-id") == 0 ||
		    (!attempt->forwarded && strcasecmp(name, OUTCOME) == 0))
			continue;
		error |= h1_bytes_add_header(to, name, h1_value(answer, i));
	}
	if (!attempt->forwarded)
		error |= h1_bytes_add_header(to, OUTCOME, "ran");
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

/* Pauses or resumes reading from the target. */
static void
regulate(struct sv_attempt *attempt, size_t ahead_bytes)
{
	if (attempt->target != NULL)
		h1_channel_pause(
		    attempt->line->channel, ahead_bytes > AHEAD_BYTES_MAX);
}

void
sv_relay_start(struct sv_call *call, uint32_t number)
{
	struct h1_bytes *headers = &call->server->head;
	struct sv_attempt *attempt = find_attempt(call, number);
	const char *length = h1_find(attempt->answer, "content-length");
	struct h1_bytes held = attempt->held;

	call->relayed = attempt;
	if (call->conn == NULL)
		return;
	if (attempt->forwarded)
		call->outcome = forwarded_outcome(attempt);
	if (write_headers(call, attempt, headers) != CS_OK) {
		h1_conn_abort(call->conn);
		sv_call_answered(call);
		return;
	}
	sv_answer_begin(call, headers);
	h1_conn_begin(call->conn,
	    &(struct h1_answer_head){
		.status = attempt->status,
		.headers = headers->data,
		.headers_length = headers->length,
		.sized = length != NULL,
		.length = length == NULL ? 0 : strtoull(length, NULL, 10),
	    });
	attempt->held = (struct h1_bytes){.data = NULL};
	sv_relay_piece(attempt, held.data, held.length);
	h1_bytes_free(&held);
}

void
sv_relay_piece(struct sv_attempt *attempt, const char *data, size_t length)
{
	struct sv_call *call = attempt->call;

	if (length == 0)
		return;
	if (call->relayed == NULL) { /* it is not decided yet */
		if (h1_bytes_add(&attempt->held, data, length) == CS_OK)
			regulate(attempt, attempt->held.length);
		return;
	}
	if (call->relayed != attempt || call->conn == NULL)
		return;
	sv_answer_add(call, data, length);
	h1_conn_piece(call->conn, data, length);
	if (call->conn != NULL)
		regulate(attempt, h1_conn_unsent(call->conn));
}

void
sv_on_drained(struct h1_conn *conn)
{
	struct sv_call *call = h1_conn_call(conn);

	if (call != NULL && call->relayed != NULL)
		regulate(call->relayed, 0);
}

void
sv_relay_end(struct sv_call *call, bool whole)
{
	struct h1_conn *conn = call->conn;

	if (conn == NULL || call->relayed == NULL)
		return;
	if (whole)
		sv_answer_keep(call);
	sv_call_answered(call);
	if (whole)
		h1_conn_finish(conn);
	else
		h1_conn_abort(conn);
}
