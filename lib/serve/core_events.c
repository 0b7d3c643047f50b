/*
 * Posts events to the decision core. The resulting actions are executed at
 * once, which can post further events: an idle connection, for example, is
 * ready immediately. These events are queued until all actions of the current
 * step are executed.
 */
#include <stdio.h>

#include "serve_internal.h"

#define US_PER_MS 1000

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
		server->execute_action(server, &server->actions.items[i]);
}

static void on_core_timer(uv_timer_t *timer);

static void
arm_core_timer(struct sv_server *server)
{
	int64_t at_us = dc_next_timer_us(server->core);
	int64_t left_us;

	if (at_us == INT64_MAX) {
		uv_timer_stop(&server->core_timer);
		return;
	}
	left_us = at_us - cs_now_us();
	if (left_us < 0)
		left_us = 0;
	uv_update_time(server->params.loop);
	uv_timer_start(&server->core_timer, on_core_timer,
	    (uint64_t)(left_us + US_PER_MS - 1) / US_PER_MS, 0);
}

void
sv_post_event(struct sv_server *server, const struct dc_event *event)
{
	struct dc_event next;
	guint done = 0;

	if (server->stepping) {
		g_array_append_val(server->pending_events, *event);
		return;
	}
	server->stepping = true;
	step(server, event);
	while (done < server->pending_events->len) {
		next = g_array_index(
		    server->pending_events, struct dc_event, done);
		done++;
		step(server, &next);
	}
	g_array_set_size(server->pending_events, 0);
	server->stepping = false;
	arm_core_timer(server);
}

static void
on_core_timer(uv_timer_t *timer)
{
	sv_post_event(timer->data, &(struct dc_event){.type = DC_EV_TIMER});
}
