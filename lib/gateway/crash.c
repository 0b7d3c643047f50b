/*
 * Finds requests that crash targets. A target is taken to have ended when it
 * closed the connection of a request without a response and then refuses a new
 * connection, or does not answer it; when another process is in its place; or
 * when its registration ends and nothing was heard of it since. An idle
 * connection shows nothing: the crash has ended it as well, and a reset of
 * single connections looks the same. Silence alone shows nothing either, since
 * the target may be cut off. Which of the lost requests is to blame shows in
 * the next crash: the others are rarely lost twice.
 */
#include "gateway_internal.h"

/* The new process of a target registers within this time after a crash. */
#define REGISTRATION_DELAY_MAX_US 10000000

static void
record_crash(
    struct gw_target_connections *connections, const struct bl_crash *crash)
{
	struct gw *gw = connections->gw;
	uint32_t crashes = bl_poison_crashed(&gw->poison, crash, cs_now_us());

	cs_log(CS_LOG_TARGET_CRASHED, "target=%s fingerprint=%llx crashes=%u",
	    connections->target->id, (unsigned long long)crash->fingerprint,
	    crashes);
	bl_poison_seen_here(&gw->poison, crash->fingerprint);
	gw_announce_crash(gw, crash);
}

/* Records the crash for the lost requests that are chosen. */
static void
record_crashes(struct gw_target_connections *connections,
    bool (*is_chosen)(const struct gw_lost_request *lost))
{
	uint64_t process = bl_target_process(connections->target);
	uint32_t i = 0;

	while (i < connections->suspect_count) {
		struct gw_lost_request lost = connections->suspects[i];

		if (!is_chosen(&lost)) {
			i++;
			continue;
		}
		connections->suspects[i] =
		    connections->suspects[--connections->suspect_count];
		record_crash(connections, &(struct bl_crash){
					      .fingerprint = lost.fingerprint,
					      .target_process = process,
					      .trials = lost.trials,
					  });
	}
}

static bool
is_any(const struct gw_lost_request *lost)
{
	(void)lost;
	return true;
}

static bool
is_ended(const struct gw_lost_request *lost)
{
	return lost->ended;
}

static bool
is_not_dismissed(const struct gw_lost_request *lost)
{
	return !lost->dismissed;
}

static void
forget_suspects(struct gw_target_connections *connections, int64_t before_us)
{
	uint32_t i = 0;

	while (i < connections->suspect_count) {
		if (connections->suspects[i].lost_us < before_us)
			connections->suspects[i] =
			    connections->suspects[--connections->suspect_count];
		else
			i++;
	}
}

void
gw_target_replaced(struct gw_target_connections *connections)
{
	forget_suspects(connections, cs_now_us() - REGISTRATION_DELAY_MAX_US);
	record_crashes(connections, is_any);
}

void
gw_target_gone(struct gw_target_connections *connections)
{
	forget_suspects(connections, cs_now_us() - REGISTRATION_DELAY_MAX_US);
	record_crashes(connections, is_not_dismissed);
}

static const char *
check_text(enum gw_check result)
{
	switch (result) {
	case GW_CHECK_ACCEPTED:
		return "accepted";
	case GW_CHECK_REFUSED:
		return "refused";
	case GW_CHECK_SILENT:
		return "silent";
	}
	return "unknown";
}

void
gw_crash_check_ended(
    struct gw_target_connections *connections, enum gw_check result)
{
	struct bl_target *target = connections->target;
	int64_t now_us = cs_now_us();
	uint32_t i;

	connections->check->checking = false;
	connections->check = NULL;
	if (result != GW_CHECK_ACCEPTED) {
		bl_request_started(target, now_us);
		bl_request_ended(target, BL_UNREACHED, 0, now_us);
		record_crashes(connections,
		    result == GW_CHECK_REFUSED ? is_any : is_ended);
	}
	for (i = 0; i < connections->suspect_count; i++)
		connections->suspects[i].dismissed |=
		    result == GW_CHECK_ACCEPTED;
	if (connections->suspect_count > 0)
		cs_log(CS_LOG_CRASH_DISMISSED, "target=%s suspects=%u end=%s",
		    target->id, connections->suspect_count, check_text(result));
}

static void
add_suspect(struct gw_target_connections *connections,
    const struct gw_call *call, bool ended)
{
	int64_t now_us = cs_now_us();
	uint32_t i;

	forget_suspects(connections, now_us - REGISTRATION_DELAY_MAX_US);
	for (i = 0; i < connections->suspect_count; i++) {
		if (connections->suspects[i].fingerprint == call->fingerprint)
			break;
	}
	if (i == GW_SUSPECTS_MAX)
		return;
	if (i == connections->suspect_count)
		connections->suspect_count++;
	connections->suspects[i] = (struct gw_lost_request){
	    .fingerprint = call->fingerprint,
	    .lost_us = now_us,
	    .trials = call->trial,
	    .ended = ended,
	};
}

static void
suspect(struct gw_target_connections *connections, const struct gw_call *call,
    bool ended, const char *end_text)
{
	bool pending = connections->check != NULL;
	bool started;

	add_suspect(connections, call, ended);
	started = !pending && gw_open_check(connections);
	cs_log(CS_LOG_CRASH_SUSPECTED,
	    "request=%s target=%s fingerprint=%llx end=%s check=%s", call->id,
	    connections->target->id, (unsigned long long)call->fingerprint,
	    end_text,
	    pending   ? "pending"
	    : started ? "started"
		      : "failed");
}

void
gw_suspect_crash(struct gw_target_connections *connections,
    const struct gw_call *call, enum h1_end end)
{
	suspect(connections, call, end != H1_END_TIMED_OUT, h1_end_text(end));
}

void
gw_suspect_silence(const struct gw_call *call)
{
	struct gw_target_connections *connections =
	    call->target == NULL ? NULL : call->target->connections;

	if (call->state != GW_CALL_SENT || connections == NULL ||
	    connections->heard_us >= call->started_us ||
	    call->target->draining || call->target->leaving ||
	    call->target->pool == NULL)
		return;
	suspect(connections, call, false, "no_response");
}
