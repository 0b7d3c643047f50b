/* A call, from its arrival until it is answered or its caller has left. */
#include <stdio.h>
#include <string.h>

#include "serve_internal.h"

static void
read_caller_headers(struct sv_call *call)
{
	const char *member =
	    h1_find_header(call->request, "chervilshelf-member");

	if (member != NULL)
		g_strlcpy(call->member, member, sizeof(call->member));
	call->forwarded =
	    h1_find_header(call->request, "chervilshelf-forwarded") != NULL;
}

struct sv_call *
sv_call_new(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request)
{
	struct sv_call *call = g_new0(struct sv_call, 1);

	cs_ref_init(&call->ref);
	call->server = server;
	call->conn = conn;
	call->request = request;
	call->id = ++server->next_call;
	call->arrived_us = cs_now_us();
	if (server->config != NULL) {
		call->config = server->config;
		cf_ref(call->config);
	}
	sv_format_request_id(server, call->id, call->request_id);
	read_caller_headers(call);
	server->open_calls++;
	h1_conn_set_call(conn, call);
	return call;
}

void
sv_call_unref(struct sv_call *call)
{
	if (!cs_ref_drop(&call->ref))
		return;
	sv_response_cache_discard(call);
	cf_unref(call->config);
	g_free(call);
}

void
sv_call_detach(struct sv_call *call)
{
	if (call->conn == NULL)
		return;
	h1_conn_set_call(call->conn, NULL);
	call->conn = NULL;
	call->request = NULL;
	call->server->open_calls--;
	sv_call_unref(call);
}

static int
refusal_status(enum dc_reason reason, enum dc_outcome outcome)
{
	switch (reason) {
	case DC_REASON_NO_ROUTE:
		return 404;
	case DC_REASON_BAD_REQUEST:
		return 400;
	case DC_REASON_TOO_DEEP:
		return 508;
	case DC_REASON_DEADLINE:
		return 504;
	case DC_REASON_BODY_TOO_LARGE:
		return 413;
	case DC_REASON_KEY_NOT_HOME:
		return 421;
	case DC_REASON_KEY_IN_PROGRESS:
	case DC_REASON_KEY_RAN:
	case DC_REASON_KEY_UNSURE:
	case DC_REASON_KEY_KILLED:
	case DC_REASON_KEY_HOME_GONE:
		return 409;
	default:
		return outcome == DC_OUTCOME_NOT_RUN ? 503 : 502;
	}
}

void
sv_refuse_call(
    struct sv_call *call, enum dc_reason reason, enum dc_outcome outcome)
{
	const char *text =
	    outcome == DC_OUTCOME_NOT_RUN ? "not-run" : "unknown";
	int status = refusal_status(reason, outcome);
	struct h1_conn *conn = call->conn;
	char headers[256], body[256];

	if (conn == NULL)
		return;
	sv_record_call_ended(call,
	    outcome == DC_OUTCOME_NOT_RUN ? RP_NOT_RUN : RP_UNKNOWN, reason);
	snprintf(headers, sizeof(headers),
	    "Content-Type: " SV_CONTENT_TYPE_JSON
	    "\r\nChervilshelf-Outcome: %s\r\n"
	    "Chervilshelf-Request-Id: %s\r\n%s",
	    text, call->request_id, status == 503 ? "Retry-After: 1\r\n" : "");
	snprintf(body, sizeof(body),
	    "{\"reason\":\"%s\",\"code\":%d,\"outcome\":\"%s\","
	    "\"request_id\":\"%s\"}\n",
	    dc_reason_text(reason), (int)reason, text, call->request_id);
	cs_log(CS_LOG_CALL_REFUSED, "request=%s reason=%s outcome=%s",
	    call->request_id, dc_reason_text(reason), text);
	sv_call_detach(call);
	h1_conn_send_response(conn, &(struct h1_response){
					.status = status,
					.headers = headers,
					.headers_length = strlen(headers),
					.body = body,
					.body_length = strlen(body),
				    });
}
