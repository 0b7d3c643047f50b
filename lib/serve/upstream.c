/* Attempts: one upstream request of a call. */
#include <string.h>

#include "serve_internal.h"

#define STATUS_MISDIRECTED 421

static void
release(struct sv_attempt *attempt)
{
	struct sv_target *target = attempt->target;
	struct sv_call *call = attempt->call;

	attempt->line = NULL;
	attempt->target = NULL;
	attempt->answer = NULL;
	h1_bytes_free(&attempt->held);
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

/* The attempt's line is dropped or idle by now. */
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

/* Ends an attempt whose answer cannot be used. */
static void
give_up(struct sv_attempt *attempt, enum dc_result result)
{
	sv_line_drop(attempt->line);
	report_end(attempt, result);
}

static void
report_sent(struct sv_attempt *attempt, bool reused)
{
	sv_feed(attempt->call->server, &(struct dc_event){
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
	sv_feed(attempt->call->server,
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
on_connect(struct h1_channel *channel)
{
	struct sv_line *line = h1_channel_owner(channel);

	report_sent(line->attempt, false);
}

static bool
on_head(struct h1_channel *channel, const struct h1_message *answer)
{
	struct sv_line *line = h1_channel_owner(channel);
	struct sv_attempt *attempt = line->attempt;

	attempt->status = answer->status;
	attempt->answer = answer;
	if (attempt->forwarded && answer->status == STATUS_MISDIRECTED)
		give_up(attempt, DC_RESULT_NOT_HOME);
	else if (!answer->framed) /* a crash would look like its end */
		give_up(attempt, DC_RESULT_UNFRAMED);
	else
		report_head(attempt);
	return true;
}

static void
on_body(struct h1_channel *channel, const char *data, size_t length)
{
	struct sv_line *line = h1_channel_owner(channel);

	sv_relay_piece(line->attempt, data, length);
}

static enum h1_keep
on_answer(struct h1_channel *channel, const struct h1_message *answer)
{
	struct sv_line *line = h1_channel_owner(channel);
	struct sv_attempt *attempt = line->attempt;
	bool kept = answer->keep_alive && sv_line_keep(line);

	if (!kept) {
		line->channel = NULL; /* closed when this returns */
		sv_line_drop(line);
	}
	report_end(attempt, DC_RESULT_WHOLE);
	return kept ? H1_KEEP : H1_CLOSE;
}

static void
on_end(struct h1_channel *channel, enum h1_end end)
{
	struct sv_line *line = h1_channel_owner(channel);
	struct sv_attempt *attempt = line->attempt;
	enum dc_result result = DC_RESULT_BROKEN;

	line->channel = NULL;
	sv_line_drop(line);
	if (attempt == NULL)
		return;
	if (end == H1_END_UNREACHED)
		result = DC_RESULT_NOT_SENT;
	else if (attempt->answer != NULL)
		result = DC_RESULT_TRUNCATED;
	report_end(attempt, result);
}

const struct h1_channel_events sv_channel_events = {
    .on_connect = on_connect,
    .on_head = on_head,
    .on_body = on_body,
    .on_answer = on_answer,
    .on_end = on_end,
};

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

static int
send_request(struct sv_attempt *attempt)
{
	struct sv_call *call = attempt->call;
	struct h1_bytes *head = &call->server->head;

	if (sv_write_head(call, attempt, head) != CS_OK)
		return CS_E_SYSTEM;
	return h1_channel_send(attempt->line->channel, head,
	    &call->request->body, strcmp(call->request->method, "HEAD") == 0);
}

static void
report_not_sent(struct sv_call *call, uint32_t number)
{
	sv_feed(call->server, &(struct dc_event){
				  .type = DC_EV_ATTEMPT_ENDED,
				  .ended =
				      {
					  .call = call->id,
					  .attempt = number,
					  .result = DC_RESULT_NOT_SENT,
				      },
			      });
}

/* Starts an attempt; takes over the reference to the target. */
static void
start(struct sv_call *call, const struct dc_send *send,
    struct sv_target *target, bool forwarded)
{
	struct sv_attempt *attempt = unused_attempt(call);

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
	    .fresh = send->fresh != 0,
	};
	sv_story_sent(attempt);
	attempt->line = sv_line_take(attempt);
	if (attempt->line == NULL) {
		report_end(attempt, DC_RESULT_NOT_SENT);
		return;
	}
	if (h1_channel_connected(attempt->line->channel))
		report_sent(attempt, true);
	if (send_request(attempt) != CS_OK)
		give_up(attempt, DC_RESULT_BROKEN);
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
		sv_line_drop(attempt->line);
		release(attempt);
		return;
	}
}
