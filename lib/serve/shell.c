/*
 * Feeds events to the core and carries out its actions. Actions can raise
 * events at once (a pooled connection is ready immediately); those wait until
 * the actions of the step under way are done.
 */
#include <stdio.h>
#include <string.h>

#include "serve_internal.h"

#define US_PER_MS 1000

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
	sv_refuse(call, (enum dc_reason)refuse->reason,
	    (enum dc_outcome)refuse->outcome);
}

static void
replay(struct sv_server *server, uint64_t id)
{
	struct sv_call *call = find_call(server, id);

	if (call == NULL)
		return;
	forget_call(server, call);
	cs_ref_take(&call->ref);
	sv_replay(call);
	sv_story_ended(call, RP_SERVED, DC_REASON_NONE);
	sv_call_unref(call);
}

static void
finish(struct sv_server *server, uint64_t id, bool whole)
{
	struct sv_call *call = find_call(server, id);

	if (call == NULL)
		return;
	forget_call(server, call);
	sv_story_ended(call, whole ? call->outcome : RP_CUT, DC_REASON_NONE);
	sv_relay_end(call, whole);
}

static void
flush(struct sv_server *server, uint64_t id)
{
	struct sv_target *target = g_hash_table_lookup(server->targets, &id);

	if (target != NULL)
		sv_target_flush(target);
}

static void
perform(struct sv_server *server, const struct dc_action *action)
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
			server->params.callbacks.claim(call->id, call->key.a,
			    call->key.b, server->params.callbacks.user);
		break;
	case DC_ACT_FLUSH:
		flush(server, action->flush.target);
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
	case DC_ACT_CUT:
		finish(server, action->cut.call, false);
		break;
	case DC_ACT_DONE:
		finish(server, action->done.call, true);
		break;
	}
}

static void
write_trace(
    struct sv_server *server, const struct dc_event *event, int64_t now_us)
{
	char line[DC_TRACE_LINE_BYTES_MAX];
	uint32_t i;

	dc_trace_event(event, now_us, line);
	fprintf(server->params.trace, "%s\n", line);
	for (i = 0; i < server->actions.count; i++) {
		dc_trace_action(&server->actions.items[i], line);
		fprintf(server->params.trace, "%s\n", line);
	}
}

static void
step(struct sv_server *server, const struct dc_event *event)
{
	uint32_t i;
	int error;

	int64_t now_us = cs_now_us();

	error = dc_step(server->core, event, now_us, &server->actions);
	if (server->params.trace != NULL)
		write_trace(server, event, now_us);
	if (error != CS_OK)
		return;
	for (i = 0; i < server->actions.count; i++)
		perform(server, &server->actions.items[i]);
}

void
sv_feed(struct sv_server *server, const struct dc_event *event)
{
	struct dc_event next;
	guint done = 0;

	if (server->stepping) {
		g_array_append_val(server->pending, *event);
		return;
	}
	server->stepping = true;
	step(server, event);
	while (done < server->pending->len) {
		next = g_array_index(server->pending, struct dc_event, done);
		done++;
		step(server, &next);
	}
	g_array_set_size(server->pending, 0);
	server->stepping = false;
	sv_arm_wake(server);
}

static void
on_wake(uv_timer_t *timer)
{
	sv_feed(timer->data, &(struct dc_event){.type = DC_EV_TIMER});
}

void
sv_arm_wake(struct sv_server *server)
{
	int64_t at_us = dc_wake_us(server->core);
	int64_t left_us;

	if (at_us == INT64_MAX) {
		uv_timer_stop(&server->wake);
		return;
	}
	left_us = at_us - cs_now_us();
	if (left_us < 0)
		left_us = 0;
	uv_update_time(server->params.loop);
	uv_timer_start(&server->wake, on_wake,
	    (uint64_t)(left_us + US_PER_MS - 1) / US_PER_MS, 0);
}
