/* Executes the actions of the decision core. */
#include <string.h>

#include "serve_internal.h"

static struct sv_call *
find_call(struct sv_server *server, uint64_t id)
{
	return g_hash_table_lookup(server->calls, &id);
}

static void
forget_call(struct sv_server *server, struct sv_call *call)
{
	call->known_to_core = false;
	g_hash_table_remove(server->calls, &call->id);
}

static void
refuse(struct sv_server *server, const struct dc_refuse *refuse)
{
	struct sv_call *call = find_call(server, refuse->call);

	if (call == NULL)
		return;
	forget_call(server, call);
	cs_ref_take(&call->ref);
	sv_attempts_cancel(call);
	sv_refuse_call(call, (enum dc_reason)refuse->reason,
	    (enum dc_outcome)refuse->outcome);
	sv_call_unref(call);
}

/* Answers a retry with the response kept for its key; refuses without one. */
static void
replay_response(struct sv_call *call)
{
	const struct sv_cached_response *response =
	    sv_response_cache_find(call->server, &call->key);
	struct h1_conn *conn = call->conn;

	if (conn == NULL)
		return;
	if (response == NULL) {
		sv_refuse_call(call, DC_REASON_KEY_RAN, DC_OUTCOME_UNKNOWN);
		return;
	}
	sv_call_detach(call);
	h1_conn_send_response(
	    conn, &(struct h1_response){
		      .status = response->status,
		      .headers = response->headers.data,
		      .headers_length = response->headers.length,
		      .body = response->body.data,
		      .body_length = response->body.length,
		  });
}

static void
replay(struct sv_server *server, uint64_t id)
{
	struct sv_call *call = find_call(server, id);

	if (call == NULL)
		return;
	forget_call(server, call);
	cs_ref_take(&call->ref);
	sv_attempts_cancel(call);
	replay_response(call);
	sv_record_call_ended(call, RP_SERVED, DC_REASON_NONE);
	sv_call_unref(call);
}

static void
finish(struct sv_server *server, uint64_t id, bool complete)
{
	struct sv_call *call = find_call(server, id);

	if (call == NULL)
		return;
	forget_call(server, call);
	sv_record_call_ended(
	    call, complete ? call->outcome : RP_CUT, DC_REASON_NONE);
	sv_relay_end(call, complete);
}

static void
retire_connections(struct sv_server *server, uint64_t id)
{
	struct sv_target *target = g_hash_table_lookup(server->targets, &id);

	if (target != NULL)
		sv_target_replace_pool(target);
}

void
sv_execute_action(struct sv_server *server, const struct dc_action *action)
{
	struct sv_call *call;

	switch (action->type) {
	case DC_ACT_SEND:
		call = find_call(server, action->send.call);
		if (call != NULL)
			sv_attempt_start(call, &action->send);
		break;
	case DC_ACT_FORWARD:
		call = find_call(server, action->forward.call);
		if (call != NULL)
			sv_forward_start(call, &action->forward);
		break;
	case DC_ACT_CANCEL:
		call = find_call(server, action->cancel.call);
		if (call != NULL)
			sv_attempt_cancel(call, action->cancel.attempt);
		break;
	case DC_ACT_RELAY:
		call = find_call(server, action->relay.call);
		if (call != NULL)
			sv_relay_start(call, action->relay.attempt);
		break;
	case DC_ACT_REPLAY:
		replay(server, action->replay.call);
		break;
	case DC_ACT_STORE_CLAIM:
		call = find_call(server, action->store_claim.call);
		if (call != NULL)
			server->params.callbacks.claim_key(call->id,
			    call->key.a, call->key.b,
			    server->params.callbacks.user);
		break;
	case DC_ACT_RETIRE_CONNECTIONS:
		retire_connections(server, action->retire.target);
		break;
	case DC_ACT_MESSAGE:
		server->params.callbacks.send(action->message.peer,
		    &action->message.message, server->params.callbacks.user);
		break;
	case DC_ACT_TYPES:
		break;
	case DC_ACT_REFUSE:
		refuse(server, &action->refuse);
		break;
	case DC_ACT_ABORT:
		finish(server, action->abort.call, false);
		break;
	case DC_ACT_DONE:
		finish(server, action->done.call, true);
		break;
	}
}
