/* Attempts: upstream requests of a call. */
#include <string.h>

#include "serve_internal.h"

#define STATUS_MISDIRECTED 421

static void
release_attempt(struct sv_attempt *attempt)
{
	struct sv_target *target = attempt->target;
	struct sv_call *call = attempt->call;

	attempt->connection = NULL;
	attempt->target = NULL;
	attempt->response = NULL;
	h1_bytes_free(&attempt->buffered);
	sv_target_unref(target);
	sv_call_unref(call);
}

static const char *
result_text(enum dc_result result)
{
	switch (result) {
	case DC_RESULT_COMPLETE:
		return "whole";
	case DC_RESULT_NOT_SENT:
		return "not sent";
	case DC_RESULT_CONNECTION_LOST:
		return "broken";
	case DC_RESULT_TRUNCATED:
		return "truncated";
	case DC_RESULT_NO_LENGTH:
		return "unframed";
	case DC_RESULT_NOT_HOME:
		return "not home";
	}
	return "unlisted";
}

/*
 * Reports the end of an attempt to the core and releases the attempt. Its
 * connection must be closed or idle already.
 */
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

	sv_record_attempt_ended(attempt->call, attempt->number,
	    result_text(result), attempt->status);
	release_attempt(attempt);
	sv_post_event(server, &event);
}

/* Ends an attempt that failed or whose response cannot be used. */
static void
abort_attempt(struct sv_attempt *attempt, enum dc_result result)
{
	sv_connection_close(attempt->connection);
	report_end(attempt, result);
}

static void
report_sent(struct sv_attempt *attempt, bool reused)
{
	sv_post_event(
	    attempt->call->server, &(struct dc_event){
				       .type = DC_EV_ATTEMPT_SENT,
				       .sent =
					   {
					       .call = attempt->call->id,
					       .attempt = attempt->number,
					       .reused = reused,
					   },
				   });
}

static void
report_head(struct sv_attempt *attempt)
{
	sv_post_event(attempt->call->server,
	    &(struct dc_event){
		.type = DC_EV_ATTEMPT_HEAD,
		.head =
		    {
			.call = attempt->call->id,
			.attempt = attempt->number,
			.status = (uint32_t)attempt->status,
		    },
	    });
}

static void
on_connect(struct h1_client_conn *conn)
{
	struct sv_connection *connection = h1_client_conn_owner(conn);

	report_sent(connection->attempt, false);
}

static bool
on_head(struct h1_client_conn *conn, const struct h1_message *response)
{
	struct sv_connection *connection = h1_client_conn_owner(conn);
	struct sv_attempt *attempt = connection->attempt;

	attempt->status = response->status;
	attempt->response = response;
	if (attempt->forwarded && response->status == STATUS_MISDIRECTED)
		abort_attempt(attempt, DC_RESULT_NOT_HOME);
	else if (!response->framed) /* a crash would look like its end */
		abort_attempt(attempt, DC_RESULT_NO_LENGTH);
	else
		report_head(attempt);
	return true;
}

static void
on_body(struct h1_client_conn *conn, const char *data, size_t length)
{
	struct sv_connection *connection = h1_client_conn_owner(conn);

	sv_relay_body(connection->attempt, data, length);
}

static enum h1_keep
on_response(struct h1_client_conn *conn, const struct h1_message *response)
{
	struct sv_connection *connection = h1_client_conn_owner(conn);
	struct sv_attempt *attempt = connection->attempt;
	bool kept = response->keep_alive && sv_connection_release(connection);

	if (!kept) {
		connection->conn = NULL; /* closed when this returns */
		sv_connection_close(connection);
	}
	report_end(attempt, DC_RESULT_COMPLETE);
	return kept ? H1_KEEP : H1_CLOSE;
}

static void
on_end(struct h1_client_conn *conn, enum h1_end end)
{
	struct sv_connection *connection = h1_client_conn_owner(conn);
	struct sv_attempt *attempt = connection->attempt;
	enum dc_result result = DC_RESULT_CONNECTION_LOST;

	connection->conn = NULL;
	sv_connection_close(connection);
	if (attempt == NULL)
		return;
	if (end == H1_END_CONNECT_FAILED)
		result = DC_RESULT_NOT_SENT;
	else if (attempt->response != NULL)
		result = DC_RESULT_TRUNCATED;
	report_end(attempt, result);
}

const struct h1_client_conn_events sv_connection_events = {
    .on_connect = on_connect,
    .on_head = on_head,
    .on_body = on_body,
    .on_response = on_response,
    .on_end = on_end,
};

static struct sv_attempt *
find_free_attempt(struct sv_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].target == NULL)
			return &call->attempts[i];
	}
	return NULL;
}

static int
send_request(struct sv_attempt *attempt)
{
	struct sv_call *call = attempt->call;
	struct h1_bytes *head = &call->server->scratch;

	if (sv_write_request_head(call, attempt, head) != CS_OK)
		return CS_E_SYSTEM;
	return h1_client_conn_send(attempt->connection->conn, head,
	    &call->request->body, strcmp(call->request->method, "HEAD") == 0);
}

static void
report_not_sent(struct sv_call *call, uint32_t number)
{
	sv_post_event(call->server, &(struct dc_event){
					.type = DC_EV_ATTEMPT_ENDED,
					.ended =
					    {
						.call = call->id,
						.attempt = number,
						.result = DC_RESULT_NOT_SENT,
					    },
				    });
}

/* Starts an attempt; takes ownership of the reference to the target. */
static void
start_attempt(struct sv_call *call, const struct dc_send *send,
    struct sv_target *target, bool forwarded)
{
	struct sv_attempt *attempt = find_free_attempt(call);

	if (target == NULL || call->conn == NULL) {
		if (target != NULL)
			sv_target_unref(target);
		report_not_sent(call, (uint32_t)send->attempt);
		return;
	}
	cs_ref_take(&call->ref);
	*attempt = (struct sv_attempt){
	    .call = call,
	    .target = target,
	    .number = (uint32_t)send->attempt,
	    .forwarded = forwarded,
	    .new_connection = send->new_connection != 0,
	};
	sv_record_attempt_started(attempt);
	attempt->connection = sv_connection_acquire(attempt);
	if (attempt->connection == NULL) {
		report_end(attempt, DC_RESULT_NOT_SENT);
		return;
	}
	if (h1_client_conn_connected(attempt->connection->conn))
		report_sent(attempt, true);
	if (send_request(attempt) != CS_OK)
		abort_attempt(attempt, DC_RESULT_CONNECTION_LOST);
}

void
sv_attempt_start(struct sv_call *call, const struct dc_send *send)
{
	struct sv_target *target =
	    g_hash_table_lookup(call->server->targets, &send->target);

	if (target != NULL)
		cs_ref_take(&target->ref);
	start_attempt(call, send, target, false);
}

void
sv_forward_start(struct sv_call *call, const struct dc_send *send)
{
	struct sv_server *server = call->server;
	struct sv_target *target = NULL;
	uint32_t i;

	for (i = 0; i < server->entry_vm_count; i++) {
		if (server->entry_vms[i].id == send->target)
			target = sv_target_new(
			    server, server->entry_vms[i].address, false);
	}
	start_attempt(call, send, target, true);
}

void
sv_attempt_cancel(struct sv_call *call, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		struct sv_attempt *attempt = &call->attempts[i];

		if (attempt->target == NULL || attempt->number != number)
			continue;
		sv_record_attempt_ended(
		    call, number, "cancelled", attempt->status);
		sv_connection_close(attempt->connection);
		release_attempt(attempt);
		return;
	}
}

void
sv_attempts_cancel(struct sv_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].target != NULL)
			sv_attempt_cancel(call, call->attempts[i].number);
	}
}
