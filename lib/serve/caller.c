/* Callers' requests: read, matched to a route, fed to the core, refused. */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

#define DIRECTORY_PATH "/.chervilshelf/entries"
#define HEAD_BYTES_MAX 65536
/* Calls that wait longer are checked for callers that are gone. */
#define PATIENT_CALL_US 50000
#define POLL_MAX 1024
#define STATUS_HEAD_TOO_LARGE 431

/* What ties a call to its request: cleared with the request's pool. */
struct anchor {
	struct sv_call *call;
};

static void
link_unanswered(struct sv_call *call)
{
	struct sv_server *server = call->server;

	call->next = server->unanswered;
	call->link = &server->unanswered;
	if (call->next != NULL)
		call->next->link = &call->next;
	server->unanswered = call;
}

void
sv_call_answered(struct sv_call *call)
{
	if (call->link == NULL)
		return;
	*call->link = call->next;
	if (call->next != NULL)
		call->next->link = call->link;
	call->link = NULL;
}

void
sv_call_unref(struct sv_call *call)
{
	if (!cs_ref_drop(&call->ref))
		return;
	if (call->sending.buf != NULL)
		h2o_doublebuffer_dispose(&call->sending);
	if (call->tail != NULL)
		h2o_buffer_dispose(&call->tail);
	sv_answer_discard(call);
	cf_unref(call->config);
	g_free(call);
}

static void
cancel_attempts(struct sv_call *call)
{
	uint32_t i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].target != NULL)
			sv_attempt_cancel(call, call->attempts[i].number);
	}
}

/* Tells the core that the caller is gone. */
static void
leave(struct sv_call *call)
{
	struct sv_server *server = call->server;

	call->known_to_core = false;
	g_hash_table_remove(server->calls, &call->id);
	cancel_attempts(call);
	sv_feed(server, &(struct dc_event){
			    .type = DC_EV_CALL_LEFT,
			    .left = {.call = call->id},
			});
}

/* The request is over: answered, or its caller is gone. */
static void
on_request_gone(void *memory)
{
	struct sv_call *call = ((struct anchor *)memory)->call;

	call->req = NULL;
	sv_call_answered(call);
	call->server->open_calls--;
	if (call->known_to_core) {
		sv_story_ended(call, RP_LEFT, DC_REASON_CALLER_LEFT);
		leave(call);
	}
	sv_call_unref(call);
}

void
sv_format_request_id(
    const struct sv_server *server, uint64_t call, char id[SV_ID_BYTES_MAX])
{
	snprintf(id, SV_ID_BYTES_MAX, "%.60s-%llx-%llx", server->params.name,
	    (unsigned long long)server->params.epoch, (unsigned long long)call);
}

static void
read_member(struct sv_call *call)
{
	h2o_iovec_t member = ht_header(call->req, "chervilshelf-member");
	size_t bytes = member.len;

	if (bytes >= sizeof(call->member))
		bytes = sizeof(call->member) - 1;
	if (bytes > 0)
		memcpy(call->member, member.base, bytes);
	call->forwarded =
	    ht_header(call->req, "chervilshelf-forwarded").base != NULL;
}

static struct sv_call *
new_call(struct sv_server *server, h2o_req_t *req)
{
	struct sv_call *call = g_new0(struct sv_call, 1);
	struct anchor *anchor;

	anchor =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*anchor), on_request_gone);
	anchor->call = call;
	cs_ref_init(&call->ref);
	call->server = server;
	call->req = req;
	call->id = ++server->next_call;
	call->arrived_us = cs_now_us();
	if (server->config != NULL) {
		call->config = server->config;
		cf_ref(call->config);
	}
	sv_format_request_id(server, call->id, call->request_id);
	read_member(call);
	server->open_calls++;
	link_unanswered(call);
	return call;
}

static int
status_of(enum dc_reason reason, enum dc_outcome outcome)
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

static void
reply_refusal(struct sv_call *call, int status, enum dc_reason reason,
    enum dc_outcome outcome)
{
	const char *text =
	    outcome == DC_OUTCOME_NOT_RUN ? "not-run" : "unknown";
	char body[256];
	int length;

	sv_call_answered(call);
	sv_story_ended(call,
	    outcome == DC_OUTCOME_NOT_RUN ? RP_NOT_RUN : RP_UNKNOWN, reason);
	length = snprintf(body, sizeof(body),
	    "{\"reason\":\"%s\",\"code\":%d,\"outcome\":\"%s\","
	    "\"request_id\":\"%s\"}\n",
	    dc_reason_text(reason), (int)reason, text, call->request_id);
	cs_log(CS_LOG_CALL_REFUSED, "request=%s reason=%s outcome=%s",
	    call->request_id, dc_reason_text(reason), text);
	ht_add_header(call->req, "chervilshelf-outcome", text);
	ht_add_header(call->req, "chervilshelf-request-id", call->request_id);
	if (status == 503)
		ht_add_header(call->req, "retry-after", "1");
	ht_reply(call->req, status, SV_JSON, body, (size_t)length);
}

void
sv_refuse(struct sv_call *call, enum dc_reason reason, enum dc_outcome outcome)
{
	if (call->req == NULL)
		return;
	reply_refusal(call, status_of(reason, outcome), reason, outcome);
}

/* Reads a whole number from a header; absent gives the fallback. */
static int
read_number(const h2o_req_t *req, const char *name, uint32_t max,
    uint32_t fallback, uint32_t *out)
{
	h2o_iovec_t value = ht_header(req, name);
	size_t number;

	*out = fallback;
	if (value.base == NULL)
		return CS_OK;
	number = h2o_strtosize(value.base, value.len);
	if (value.len == 0 || number == SIZE_MAX || number > max)
		return CS_E_INVALID;
	*out = (uint32_t)number;
	return CS_OK;
}

static size_t
head_bytes(const h2o_req_t *req)
{
	size_t i, bytes = req->path.len;

	for (i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len;
	return bytes;
}

static uint64_t
fingerprint(const h2o_req_t *req)
{
	uint64_t head = cs_hash(req->path.base, req->path.len);
	uint64_t body = cs_hash(req->entity.base, req->entity.len);
	uint64_t method = cs_hash(req->method.base, req->method.len);

	return cs_hash_pair(cs_hash_pair(head, body), method);
}

static enum dc_reason
read_request(struct sv_call *call)
{
	const h2o_req_t *req = call->req;
	uint32_t deadline_ms;
	int route;

	if (call->config == NULL)
		return DC_REASON_NO_CONFIG;
	route = cf_match(call->config, req->method.base, req->method.len,
	    req->path.base, req->path.len);
	if (route < 0)
		return DC_REASON_NO_ROUTE;
	call->route = cf_route(call->config, (uint32_t)route);
	if (read_number(req, "chervilshelf-deadline-ms", UINT32_MAX,
		call->route->deadline_ms, &deadline_ms) != CS_OK ||
	    read_number(req, "chervilshelf-depth", UINT32_MAX, 0,
		&call->depth) != CS_OK)
		return DC_REASON_BAD_REQUEST;
	if (sv_read_key(ht_header(req, "idempotency-key"), &call->key) != CS_OK)
		return DC_REASON_BAD_REQUEST;
	if (call->depth >= call->server->params.depth_max)
		return DC_REASON_TOO_DEEP;
	if (deadline_ms > call->route->deadline_ms)
		deadline_ms = call->route->deadline_ms;
	call->deadline_us = call->arrived_us + (int64_t)deadline_ms * 1000;
	return DC_REASON_NONE;
}

static void
hand_to_core(struct sv_call *call)
{
	struct sv_server *server = call->server;
	h2o_iovec_t member = h2o_iovec_init(call->member, strlen(call->member));

	call->known_to_core = true;
	g_hash_table_insert(server->calls, &call->id, call);
	sv_feed(server, &(struct dc_event){
			    .type = DC_EV_CALL_ARRIVED,
			    .arrived =
				{
				    .call = call->id,
				    .route = cs_hash(call->route->name,
					strlen(call->route->name)),
				    .member = cs_hash(member.base, member.len),
				    .fingerprint = fingerprint(call->req),
				    .deadline_us = call->deadline_us,
				    .forwarded = ht_header(call->req,
						     "chervilshelf-forwarded")
						     .base != NULL,
				    .key = call->key,
				},
			});
}

void
sv_on_request(h2o_req_t *req, void *user)
{
	struct sv_server *server = user;
	enum dc_reason fault;
	struct sv_call *call;

	if (h2o_memis(req->path_normalized.base, req->path_normalized.len,
		H2O_STRLIT(DIRECTORY_PATH))) {
		sv_directory(server, req);
		return;
	}
	call = new_call(server, req);
	if (head_bytes(req) > HEAD_BYTES_MAX) {
		reply_refusal(call, STATUS_HEAD_TOO_LARGE,
		    DC_REASON_BAD_REQUEST, DC_OUTCOME_NOT_RUN);
		return;
	}
	fault = read_request(call);
	sv_story_begin(call);
	if (fault != DC_REASON_NONE)
		sv_refuse(call, fault, DC_OUTCOME_NOT_RUN);
	else
		hand_to_core(call);
}

/* Collects the sockets of calls that have waited for a while. */
static nfds_t
collect_patient(struct sv_server *server, struct pollfd *polled, uint64_t *ids)
{
	int64_t before_us = cs_now_us() - PATIENT_CALL_US;
	struct sv_call *call;
	nfds_t count = 0;

	for (call = server->unanswered; call != NULL; call = call->next) {
		h2o_conn_t *conn = call->req->conn;

		if (count == POLL_MAX)
			break;
		if (call->arrived_us > before_us)
			continue;
		ids[count] = call->id;
		polled[count] = (struct pollfd){
		    .fd = h2o_socket_get_fd(conn->callbacks->get_socket(conn)),
		    .events = POLLRDHUP,
		};
		count++;
	}
	return count;
}

/* Gives up the calls of callers that have closed their side: h2o does not
 * read, and so does not notice, until it writes the answer. */
void
sv_watch_callers(struct sv_server *server)
{
	struct pollfd polled[POLL_MAX];
	uint64_t ids[POLL_MAX];
	nfds_t i, count = collect_patient(server, polled, ids);

	if (count == 0 || poll(polled, count, 0) <= 0)
		return;
	for (i = 0; i < count; i++) {
		struct sv_call *call;

		if ((polled[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
			continue;
		call = g_hash_table_lookup(server->calls, &ids[i]);
		if (call == NULL)
			continue;
		sv_story_ended(call, RP_LEFT, DC_REASON_CALLER_LEFT);
		leave(call);
		sv_refuse(call, DC_REASON_CALLER_LEFT, DC_OUTCOME_UNKNOWN);
	}
}
