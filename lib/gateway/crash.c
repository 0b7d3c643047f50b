/*
 * Finds requests that crash targets. A target is taken to have crashed when it
 * refuses a new connection right after it lost a request. An idle connection
 * shows nothing: the crash has ended it as well, and a reset of single
 * connections looks the same. Which of the lost requests is to blame shows in
 * the next crash: the others are rarely lost twice.
 */
#include "gateway_internal.h"

static void
record_crash(struct gw_target_connections *connections, uint64_t fingerprint)
{
	struct gw *gw = connections->gw;
	uint32_t crashes =
	    bl_poison_crashed(&gw->poison, fingerprint, cs_now_us());

	cs_log(CS_LOG_TARGET_CRASHED, "target=%s fingerprint=%llx crashes=%u",
	    connections->target->id, (unsigned long long)fingerprint, crashes);
	if (crashes > 0)
		gw->params.events->on_crash(gw->params.user, fingerprint);
}

static void
record_crashes(struct gw_target_connections *connections)
{
	struct bl_target *target = connections->target;
	int64_t now_us = cs_now_us();
	uint32_t i;

	bl_request_started(target, now_us);
	bl_request_ended(target, BL_UNREACHED, 0, now_us);
	for (i = 0; i < connections->suspect_count; i++)
		record_crash(connections, connections->suspects[i]);
}

void
gw_crash_check_ended(struct gw_target_connections *connections, enum h1_end end)
{
	connections->check->checking = false;
	connections->check = NULL;
	if (end == H1_END_CONNECT_FAILED)
		record_crashes(connections);
	else
		cs_log(CS_LOG_CRASH_DISMISSED, "target=%s suspects=%u end=%s",
		    connections->target->id, connections->suspect_count,
		    h1_end_text(end));
	connections->suspect_count = 0;
}

static void
add_suspect(struct gw_target_connections *connections, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < connections->suspect_count; i++) {
		if (connections->suspects[i] == fingerprint)
			return;
	}
	if (connections->suspect_count < GW_SUSPECTS_MAX)
		connections->suspects[connections->suspect_count++] =
		    fingerprint;
}

void
gw_suspect_crash(struct gw_target_connections *connections,
    const struct gw_call *call, enum h1_end end)
{
	bool pending = connections->check != NULL;

	add_suspect(connections, call->fingerprint);
	if (!pending) {
		connections->check = gw_open_check(connections);
		connections->check_started_us = cs_now_us();
	}
	cs_log(CS_LOG_CRASH_SUSPECTED,
	    "request=%s target=%s fingerprint=%llx end=%s check=%s", call->id,
	    connections->target->id, (unsigned long long)call->fingerprint,
	    h1_end_text(end),
	    pending			 ? "pending"
	    : connections->check == NULL ? "failed"
					 : "started");
}
