/*
 * Selects the target of a request, or decides that it waits or is refused.
 *
 * The mean use is far below the number of slots, but single targets take
 * several times as long for short periods. Current speed therefore matters more
 * than the number of free slots. Each target has a score: the probability of a
 * response within the objective, reduced by the probability of failure and by
 * the cost of transfer to other data centres and regions. Under overload, a
 * request that would be late, and would make others late, is refused at once.
 */
#include "select.h"

/*
 * A target with a fresh report and at most this slowness is used without
 * probing others.
 */
#define FAST_SLOWNESS_MAX 1.25
/*
 * If the best target with room has a lower score, targets in the other data
 * centres of the region are probed as well.
 */
#define GOOD_SCORE 0.75
/*
 * Below this score a request would be late, and would make others late unless
 * its target is nearly idle. It is refused while the caller still has time to
 * retry.
 */
#define SCORE_MIN 0.2
/*
 * A permit is asked for so that the call that waits for it still has this much
 * time to spare: the answer takes a round trip, and calls wait in steps.
 */
#define PERMIT_MARGIN_US 50000
/*
 * A probe of another data centre takes two round trips, the first one to
 * connect, and a call waits for it at most this part of its time.
 */
#define PROBE_ROUND_TRIPS 2
#define PROBE_PART 10
/*
 * Shares of full targets from which on calls of less worth leave the last slots
 * of targets, and all slots, to those that are worth more: a range from that
 * for calls of no worth to that for calls of nearly full worth, which use every
 * slot.
 */
#define LAST_SLOT_CONGESTION 0.2
#define LAST_SLOT_RANGE 0.4
#define ANY_SLOT_CONGESTION 0.5
#define ANY_SLOT_RANGE 0.4
/* From this share on, calls that are late already are refused. */
#define LATE_CONGESTION 0.5
/* Part of the time that an overload has lasted, see refuse(). */
#define RETRY_AFTER_SHARE 0.5
#define RETRY_AFTER_MIN_US 50000

static bool
is_fast(const struct bl_topology *topology,
    const struct bl_candidate *candidate, bool own_blocked, int64_t now_us)
{
	const struct bl_target *target = candidate->target;

	return target != NULL && candidate->fresh &&
	       (target->data_centre == topology->own || own_blocked) &&
	       bl_slowness(target, now_us) <= FAST_SLOWNESS_MAX &&
	       (bl_estimated_requests(target, now_us) + 1) / target->slots <=
		   BL_KNEE_SHARE;
}

static void
request_probes(const struct bl_stale_list *list, struct bl_placement *out)
{
	uint32_t i;

	out->verdict = BL_PROBE;
	out->reason = "probing";
	for (i = 0; i < list->count; i++)
		out->probes[out->probe_count++] = list->entries[i].target;
}

static bool
is_congested(const struct bl_request *request)
{
	return request->worth > 0.0 && request->congestion >= BL_CONGESTED_MIN;
}

/*
 * Targets of the other data centres that this VM does not use look as full to
 * it as those that it knows, and stay idle while its callers are refused. Where
 * none has room, every other round of probes asks them.
 */
static bool
probes_region_first(
    const struct bl_selection *selection, const struct bl_request *request)
{
	return is_congested(request) && selection->best.target == NULL &&
	       selection->region.count > 0 && request->tie_breaker % 2 == 0;
}

/* Returns the targets to probe before deciding, or NULL. */
static const struct bl_stale_list *
list_to_probe(
    const struct bl_selection *selection, const struct bl_request *request)
{
	if (!request->may_probe)
		return NULL;
	if (probes_region_first(selection, request))
		return &selection->region;
	if (selection->nearest.count > 0 &&
	    selection->nearest_rtt_us * PROBE_ROUND_TRIPS <=
		(request->objective_us - request->now_us) / PROBE_PART)
		return &selection->nearest;
	if (selection->region.count > 0 && selection->best.score < GOOD_SCORE)
		return &selection->region;
	return NULL;
}

static void
send_to(const struct bl_candidate *candidate, const char *reason,
    struct bl_placement *out)
{
	out->verdict = BL_SEND;
	out->target = candidate->target;
	out->expected_us = candidate->expected_us;
	out->reason = reason;
}

static void
refuse_for(
    int64_t wait_us, const struct bl_request *request, struct bl_placement *out)
{
	if (wait_us < RETRY_AFTER_MIN_US)
		wait_us = RETRY_AFTER_MIN_US;
	/* Adds jitter so that refused callers do not all return at once. */
	wait_us += (int64_t)(request->tie_breaker % 1000) * wait_us / 2000;
	out->verdict = BL_REFUSE;
	out->retry_after_us = wait_us;
}

static void
refuse(const struct bl_selection *selection, const struct bl_request *request,
    const char *reason, struct bl_placement *out)
{
	int64_t wait_us = selection->min_expected_us, overload_us;

	/*
	 * Nothing tells when an overload ends. It has lasted for half of its
	 * time on average; capacity that others give up is free before its end.
	 */
	if (is_congested(request)) {
		overload_us = (int64_t)((double)request->congested_us *
					RETRY_AFTER_SHARE);
		if (overload_us > BL_RETRY_AFTER_MAX_US)
			overload_us = BL_RETRY_AFTER_MAX_US;
		if (overload_us > wait_us)
			wait_us = overload_us;
	}
	refuse_for(wait_us, request, out);
	out->target = selection->best.target != NULL
			  ? selection->best.target
			  : selection->best_nearby.target;
	out->expected_us = selection->best.target != NULL
			       ? selection->best.expected_us
			       : selection->best_nearby.expected_us;
	out->reason = reason;
}

bool
bl_leaves_all_slots(double worth, double congestion)
{
	return worth < 1.0 &&
	       congestion > ANY_SLOT_CONGESTION + ANY_SLOT_RANGE * worth;
}

/*
 * Returns true if the call leaves the slot to calls of other VMs that are worth
 * more.
 */
static bool
leaves_slot(
    const struct bl_candidate *candidate, const struct bl_request *request)
{
	if (request->worth >= 1.0)
		return false;
	if (!candidate->idle &&
	    bl_concurrency_limit(candidate->target->slots) > 1.0 &&
	    request->congestion >
		LAST_SLOT_CONGESTION + LAST_SLOT_RANGE * request->worth)
		return true;
	return bl_leaves_all_slots(request->worth, request->congestion);
}

/* The call would be in time if a target were free for it now. */
static bool
can_be_in_time(const struct bl_pool *pool, const struct bl_request *request)
{
	return request->now_us +
		   (int64_t)(pool->service_time_us * request->work_factor) <=
	       request->objective_us;
}

/*
 * Decides for a call that is late: it may only use what others leave, unless
 * its kind is hardly served. Its objective may be one that is never met.
 */
static void
decide_late(const struct bl_selection *selection,
    const struct bl_request *request, struct bl_placement *out)
{
	const struct bl_candidate *best = &selection->best;
	bool may_use = request->is_starved ||
		       (best->idle && request->congestion <= LATE_CONGESTION);

	if (best->target != NULL && may_use &&
	    request->now_us + best->expected_us <= request->deadline_us)
		send_to(best, "late", out);
	else
		refuse(selection, request, "no_room", out);
}

/*
 * Decides while many targets are full: a call waits while it can still be in
 * time, and is refused then, so that it takes no room from calls that can.
 */
static void
decide_congested(const struct bl_pool *pool,
    const struct bl_selection *selection, const struct bl_request *request,
    struct bl_placement *out)
{
	const struct bl_candidate *best = &selection->best;

	if (best->target != NULL && best->score > SCORE_MIN &&
	    !leaves_slot(best, request))
		send_to(best, "in_time", out);
	else if (request->may_wait && can_be_in_time(pool, request)) {
		out->verdict = BL_WAIT;
		out->reason = "full";
	} else {
		decide_late(selection, request, out);
	}
}

/* Decides when there is nothing left to probe. */
static void
decide_without_probes(const struct bl_selection *selection,
    const struct bl_request *request, struct bl_placement *out)
{
	const struct bl_candidate *best = &selection->best;
	const struct bl_candidate *best_nearby = &selection->best_nearby;
	int64_t left_us = request->deadline_us - request->now_us;

	if (best->target != NULL && best->expected_us <= left_us &&
	    (best->score > SCORE_MIN || best->idle)) {
		send_to(best,
		    best->expected_us <= request->objective_us - request->now_us
			? "in_time"
			: "late",
		    out);
	} else if (best_nearby->target != NULL && best_nearby->full &&
		   request->may_wait && best_nearby->expected_us <= left_us) {
		out->verdict = BL_WAIT;
		out->reason = "full";
	} else {
		refuse(selection, request, "no_room", out);
	}
}

/*
 * A target with a limit is not probed, so its report is older than those of the
 * others: both count as equally well known.
 */
static bool
is_better_on_equal_terms(const struct bl_candidate *limited,
    const struct bl_candidate *best, const struct bl_request *request)
{
	struct bl_candidate candidate = *limited;

	candidate.fresh = best->fresh;
	return bl_is_better(&candidate, best, request->tie_breaker);
}

/* It would be in time, and nobody may have heard it for a while. */
static bool
is_trial_due(
    const struct bl_candidate *limited, const struct bl_request *request)
{
	return limited->score > SCORE_MIN &&
	       bl_limit_is_trial_due(limited->target, request->now_us);
}

/*
 * Sends to a target with a limit for which there is a permit, which is void if
 * it is not used soon.
 */
static bool
use_permit(const struct bl_selection *selection,
    const struct bl_request *request, struct bl_placement *out)
{
	const struct bl_candidate *limited = &selection->best_permitted;
	const struct bl_candidate *best = &selection->best;

	if (limited->target == NULL ||
	    limited->expected_us > request->deadline_us - request->now_us)
		return false;
	if (is_trial_due(limited, request)) {
		send_to(limited, "trial", out);
		return true;
	}
	if (limited->score <= SCORE_MIN ||
	    limited->score < best->score - BL_SCORE_TIE_GAP)
		return false;
	send_to(limited, "permit", out);
	return true;
}

/*
 * The permits that are expected are enough for the calls that wait. Cold
 * targets have so few that none is asked for in reserve.
 */
static bool
expects_enough(const struct bl_selection *selection,
    const struct bl_request *request, const struct bl_target *wanted)
{
	uint32_t calls = request->calls_ahead + 1; /* with this one */

	if (!bl_limit_is_cold(wanted, request->now_us))
		return selection->expected_permits > request->waiting_calls;
	if (calls < request->waiting_calls)
		calls = request->waiting_calls;
	return selection->expected_permits >= calls;
}

/*
 * Asks for a permit where the target would be the best choice, where it is to
 * be tried, or where calls wait for more permits than are expected.
 */
static void
ask_for_permit(const struct bl_selection *selection,
    const struct bl_request *request, struct bl_placement *out)
{
	const struct bl_candidate *wanted = &selection->best_to_ask;

	if (wanted->target == NULL)
		return;
	if (selection->best.target == NULL) {
		if (expects_enough(selection, request, wanted->target))
			return;
		out->ask_wait_max_us = request->deadline_us - request->now_us -
				       wanted->expected_us - PERMIT_MARGIN_US;
	} else {
		if (!is_trial_due(wanted, request) &&
		    !is_better_on_equal_terms(
			wanted, &selection->best, request))
			return;
		/* The call does not wait, and there may be no other soon. */
		out->ask_wait_max_us = 0;
	}
	out->ask = wanted->target;
}

/*
 * A call that no target can take now waits for a permit that is expected, or is
 * refused until one of the targets may be used.
 */
static void
wait_or_refuse(const struct bl_selection *selection,
    const struct bl_request *request, struct bl_placement *out)
{
	if (out->verdict != BL_REFUSE || selection->held_back_count == 0)
		return;
	if (request->may_wait &&
	    request->now_us + selection->min_wait_us +
		    selection->min_limited_expected_us <=
		request->deadline_us &&
	    (out->ask != NULL ||
		selection->expected_permits > request->calls_ahead)) {
		out->verdict = BL_WAIT;
		out->reason = "limited";
	} else if (selection->usable_count == 0) {
		refuse_for(selection->min_wait_us, request, out);
		out->reason =
		    selection->limited_count > 0 ? "limited" : "paused";
	}
}

/* Returns when a caller that is refused for want of a target may come back. */
static int64_t
wait_for_target_us(const struct bl_pool *pool, uint64_t blocked, int64_t now_us)
{
	int64_t wait_us = bl_pool_wait_us(pool, blocked, now_us);

	return wait_us == INT64_MAX ? BL_RETRY_AFTER_MAX_US : wait_us;
}

static void
place(const struct bl_topology *topology, const struct bl_pool *pool,
    const struct bl_selection *selection, const struct bl_request *request,
    struct bl_placement *out)
{
	const struct bl_stale_list *list;

	if (selection->usable_count == 0) {
		refuse_for(wait_for_target_us(pool,
			       bl_blocked_data_centres(topology, request),
			       request->now_us),
		    request, out);
		out->reason = "no_target";
		return;
	}
	if (use_permit(selection, request, out))
		return;
	if (is_congested(request) && !can_be_in_time(pool, request)) {
		decide_late(selection, request, out);
		return;
	}
	if (!is_fast(topology, &selection->best,
		(bl_blocked_data_centres(topology, request) >> topology->own &
		    1) != 0,
		request->now_us)) {
		if (request->probes_pending) {
			out->verdict = BL_PROBE;
			return;
		}
		list = list_to_probe(selection, request);
		if (list != NULL) {
			request_probes(list, out);
			return;
		}
	}
	if (is_congested(request))
		decide_congested(pool, selection, request, out);
	else
		decide_without_probes(selection, request, out);
}

void
bl_place(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, struct bl_placement *out)
{
	struct bl_selection selection;

	*out = (struct bl_placement){.verdict = BL_REFUSE};
	bl_select_targets(topology, pool, request, false, &selection);
	/* Without any other target, those in backoff are used as well. */
	if (selection.usable_count == 0)
		bl_select_targets(topology, pool, request, true, &selection);
	place(topology, pool, &selection, request, out);
	ask_for_permit(&selection, request, out);
	wait_or_refuse(&selection, request, out);
}
