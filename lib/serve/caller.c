/*
 * Handles callers' requests: reads their headers, matches them to a route, and
 * passes them to the core or refuses them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

#define DIRECTORY_PATH "/.chervilshelf/entries"

/* Cancels the call's attempts and tells the core that its caller has left. */
static void
report_caller_left(struct sv_call *call)
{
	struct sv_server *server = call->server;

	call->known_to_core = false;
	g_hash_table_remove(server->calls, &call->id);
	sv_attempts_cancel(call);
	sv_post_event(server, &(struct dc_event){
				  .type = DC_EV_CALLER_DISCONNECTED,
				  .disconnected = {.call = call->id},
			      });
}

void
sv_on_caller_left(struct h1_conn *conn)
{
	struct sv_call *call = h1_conn_call(conn);

	if (call == NULL)
		return;
	cs_ref_take(&call->ref);
	sv_call_detach(call);
	if (call->known_to_core) {
		sv_record_call_ended(call, RP_LEFT, DC_REASON_CALLER_LEFT);
		report_caller_left(call);
	}
	sv_call_unref(call);
}

const struct h1_response *
sv_refusal_response(void *user, int status)
{
	struct sv_server *server = user;
	enum dc_reason reason = DC_REASON_BAD_REQUEST;

	if (status == 503)
		reason = DC_REASON_UPLOAD_MEMORY;
	else if (status == 413)
		reason = DC_REASON_BODY_TOO_LARGE;
	server->scratch.length = 0;
	h1_bytes_print(&server->scratch,
	    "Content-Type: " SV_CONTENT_TYPE_JSON
	    "\r\nChervilshelf-Outcome: not-run\r\n%s",
	    status == 503 ? "Retry-After: 1\r\n" : "");
	snprintf(server->refusal_body, sizeof(server->refusal_body),
	    "{\"reason\":\"%s\",\"code\":%d,\"outcome\":\"not-run\"}\n",
	    dc_reason_text(reason), (int)reason);
	server->error_response = (struct h1_response){
	    .status = status,
	    .headers = server->scratch.data,
	    .headers_length = server->scratch.length,
	    .body = server->refusal_body,
	    .body_length = strlen(server->refusal_body),
	};
	return &server->error_response;
}

/*
 * Reads a whole number from a header, or the fallback when the header is
 * absent.
 */
static int
read_number_header(const struct h1_message *request, const char *name,
    uint32_t fallback, uint32_t *out)
{
	const char *text = h1_find_header(request, name);
	char *end;
	unsigned long long number;

	*out = fallback;
	if (text == NULL)
		return CS_OK;
	number = strtoull(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end != '\0' ||
	    number > UINT32_MAX)
		return CS_E_INVALID;
	*out = (uint32_t)number;
	return CS_OK;
}

static uint64_t
fingerprint(const struct h1_message *request)
{
	const char *uri = h1_target(request);
	uint64_t head = cs_hash(uri, strlen(uri));
	uint64_t body = cs_hash(request->body.data, request->body.length);
	uint64_t method = cs_hash(request->method, strlen(request->method));

	return cs_hash_pair(cs_hash_pair(head, body), method);
}

static enum dc_reason
read_request(struct sv_call *call)
{
	const struct h1_message *request = call->request;
	const char *uri = h1_target(request);
	uint32_t deadline_ms;
	int route;

	if (call->config == NULL)
		return DC_REASON_NO_CONFIG;
	route = cf_find_route(call->config, request->method,
	    strlen(request->method), uri, strlen(uri));
	if (route < 0)
		return DC_REASON_NO_ROUTE;
	call->route = cf_route(call->config, (uint32_t)route);
	if (read_number_header(request, "chervilshelf-deadline-ms",
		call->route->deadline_ms, &deadline_ms) != CS_OK ||
	    read_number_header(
		request, "chervilshelf-depth", 0, &call->depth) != CS_OK ||
	    sv_parse_key(h1_find_header(request, "idempotency-key"),
		&call->key) != CS_OK)
		return DC_REASON_BAD_REQUEST;
	if (call->depth >= call->server->params.depth_max)
		return DC_REASON_TOO_DEEP;
	if (deadline_ms > call->route->deadline_ms)
		deadline_ms = call->route->deadline_ms;
	call->deadline_us = call->arrived_us + (int64_t)deadline_ms * 1000;
	return DC_REASON_NONE;
}

static void
submit_to_core(struct sv_call *call)
{
	struct sv_server *server = call->server;

	call->known_to_core = true;
	g_hash_table_insert(server->calls, &call->id, call);
	sv_post_event(server,
	    &(struct dc_event){
		.type = DC_EV_CALL_ARRIVED,
		.arrived =
		    {
			.call = call->id,
			.route = cs_hash(
			    call->route->name, strlen(call->route->name)),
			.member = cs_hash(call->member, strlen(call->member)),
			.fingerprint = fingerprint(call->request),
			.deadline_us = call->deadline_us,
			.forwarded = call->forwarded,
			.key = call->key,
		    },
	    });
}

void
sv_on_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct sv_server *server = h1_conn_user(conn);
	enum dc_reason reason;
	struct sv_call *call;

	if (h1_path_is(request, DIRECTORY_PATH)) {
		sv_respond_directory(server, conn, request);
		return;
	}
	call = sv_call_new(server, conn, request);
	reason = read_request(call);
	sv_record_call_started(call);
	if (reason != DC_REASON_NONE)
		sv_refuse_call(call, reason, DC_OUTCOME_NOT_RUN);
	else
		submit_to_core(call);
}
