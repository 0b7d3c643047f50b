/*
 * Refuses requests that crash targets, except for trials, and shares with the
 * other VMs what is known of them: crashes, excuses and claims of trials.
 */
#include "gateway_internal.h"

/* While VMs take turns at trying a request, a caller may meet one that may. */
#define RETRY_AFTER_SUSPECT_MIN_US 1000000

static void
visit_crashes(const struct bl_suspect *suspect,
    void (*visit)(void *arg, const struct bl_crash *crash), void *arg)
{
	uint32_t i;

	for (i = 0; i < suspect->crashes; i++)
		visit(arg, &(struct bl_crash){
			       .fingerprint = suspect->fingerprint,
			       .target_process = suspect->crashed[i],
			       .trials = suspect->trials,
			   });
}

static void
announce_poison(void *arg, const struct bl_crash *crash)
{
	struct gw *gw = arg;

	gw->params.events->on_crash(gw->params.user, crash, true);
}

void
gw_announce_crash(struct gw *gw, const struct bl_crash *crash)
{
	const struct bl_suspect *suspect =
	    bl_poison_find(&gw->poison, crash->fingerprint);

	if (suspect == NULL || !suspect->seen_here)
		return;
	if (suspect->crashes == BL_POISON_CRASHES_MIN)
		visit_crashes(suspect, announce_poison, gw);
	else
		gw->params.events->on_crash(gw->params.user, crash,
		    suspect->crashes > BL_POISON_CRASHES_MIN);
}

bool
gw_add_crash(struct gw *gw, const struct bl_crash *crash)
{
	uint32_t crashes;

	if (bl_poison_knows(&gw->poison, crash))
		return false;
	crashes = bl_poison_crashed(&gw->poison, crash, cs_now_us());
	cs_log(CS_LOG_CRASH_REPORTED, "fingerprint=%llx crashes=%u",
	    (unsigned long long)crash->fingerprint, crashes);
	if (crashes == BL_POISON_CRASHES_MIN)
		gw_announce_crash(gw, crash);
	return true;
}

static void
refuse_suspect(struct gw_call *call)
{
	int64_t wait_us = bl_poison_wait_us(
	    &call->gw->poison, call->fingerprint, 0, cs_now_us());

	if (wait_us < RETRY_AFTER_SUSPECT_MIN_US)
		wait_us = RETRY_AFTER_SUSPECT_MIN_US;
	gw_respond_error(call, 503, GW_SUSPECT, wait_us);
}

static void
on_claim_settled(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;
	struct gw *gw = call->gw;

	if (!bl_poison_try(&gw->poison, call->fingerprint, &call->trial)) {
		refuse_suspect(call);
		return;
	}
	cs_log(CS_LOG_SUSPECT_TRIED, "request=%s fingerprint=%llx trial=%u",
	    call->id, (unsigned long long)call->fingerprint, call->trial);
	gw->callbacks->place(call);
}

/* The call waits until the claim to try it is settled between the VMs. */
static void
claim_trial(struct gw_call *call)
{
	struct gw *gw = call->gw;
	uint64_t ticket = cs_random_next(&gw->random) | 1;

	bl_poison_claim(&gw->poison, call->fingerprint, ticket, cs_now_us());
	gw->params.events->on_claim(gw->params.user, call->fingerprint, ticket);
	call->is_claiming = true;
	uv_timer_start(
	    &call->step_timer, on_claim_settled, BL_POISON_CLAIM_US / 1000, 0);
}

bool
gw_is_refused_suspect(struct gw_call *call)
{
	struct gw *gw = call->gw;

	if (call->is_claiming || !bl_is_poison(&gw->poison, call->fingerprint))
		return false;
	return bl_poison_wait_us(&gw->poison, call->fingerprint,
		   gw->params.events->on_rank(
		       gw->params.user, call->fingerprint),
		   cs_now_us()) > 0;
}

bool
gw_stop_suspect(struct gw_call *call)
{
	if (call->is_claiming ||
	    !bl_is_poison(&call->gw->poison, call->fingerprint))
		return false;
	if (gw_is_refused_suspect(call))
		refuse_suspect(call);
	else
		claim_trial(call);
	return true;
}

bool
gw_add_claim(struct gw *gw, uint64_t fingerprint, uint64_t ticket)
{
	return bl_poison_hear_claim(
	    &gw->poison, fingerprint, ticket, cs_now_us());
}

static void
tell_excuse(void *arg, const struct bl_crash *crash)
{
	struct gw *gw = arg;

	cs_log(CS_LOG_CRASH_EXCUSED, "fingerprint=%llx from=here",
	    (unsigned long long)crash->fingerprint);
	gw->params.events->on_excused(gw->params.user, crash);
}

void
gw_tell_excuses(struct gw *gw)
{
	bl_poison_tell(&gw->poison, tell_excuse, gw);
}

void
gw_excuse(struct gw_call *call)
{
	if (bl_poison_served(&call->gw->poison, call->fingerprint))
		gw_tell_excuses(call->gw);
}

bool
gw_add_excuse(struct gw *gw, const struct bl_crash *crash)
{
	bool is_news = bl_poison_excuse(&gw->poison, crash);

	if (is_news)
		cs_log(CS_LOG_CRASH_EXCUSED, "fingerprint=%llx from=vm",
		    (unsigned long long)crash->fingerprint);
	return is_news;
}

void
gw_for_each_poison(const struct gw *gw,
    void (*visit)(void *arg, const struct bl_crash *crash), void *arg)
{
	uint32_t i;

	for (i = 0; i < gw->poison.suspect_count; i++) {
		const struct bl_suspect *suspect = &gw->poison.suspects[i];

		if (suspect->crashes > 0 &&
		    bl_is_poison(&gw->poison, suspect->fingerprint))
			visit_crashes(suspect, visit, arg);
	}
}
