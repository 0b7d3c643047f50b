/*
 * Finds requests that crash targets. A target is taken to have crashed when it
 * refuses a new connection right after it lost a request. An idle connection
 * shows nothing: the crash has ended it as well, and a reset of single
 * connections looks the same.
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

void
gw_crash_check_ended(struct gw_target_connections *connections, enum h1_end end)
{
	struct bl_target *target = connections->target;
	uint64_t fingerprint = connections->suspect_fingerprint;
	int64_t now_us = cs_now_us();

	connections->check->checking = false;
	connections->check = NULL;
	connections->suspect_fingerprint = 0;
	if (end == H1_END_CONNECT_FAILED) {
		bl_request_started(target, now_us);
		bl_request_ended(target, BL_UNREACHED, 0, now_us);
		record_crash(connections, fingerprint);
	} else {
		cs_log(CS_LOG_CRASH_DISMISSED,
		    "target=%s fingerprint=%llx end=%s", target->id,
		    (unsigned long long)fingerprint, h1_end_text(end));
	}
}

void
gw_suspect_crash(struct gw_target_connections *connections,
    const struct gw_call *call, enum h1_end end)
{
	bool pending = connections->check != NULL;

	connections->suspect_fingerprint = call->fingerprint;
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
