/*
 * The limit of requests per second that a target names for all VMs together.
 * Load pattern: a target in need, known to many VMs, of which each sees only
 * its own requests. A share of the limit for each VM would need their number to
 * be right, and with hundreds of VMs leaves each a fraction of a request.
 *
 * One VM of the target's region, its owner, gives out permits: each is for one
 * request, for a short time. The owner is the same in the view of all VMs of
 * the region but for moments; a new one starts without any permits to give. A
 * VM that cannot reach the owner sends nothing to the target. Replayed by
 * test_limits.
 *
 * A cold target has the limit of its pool for cold targets, if that is lower.
 * That limit holds for all VMs, also those that are out of touch with the
 * others: replayed by test_cold_targets.
 */
#include <math.h>

#include "balance_internal.h"

/*
 * Share of the limit that is given out. The rest covers permits that arrive
 * late and two owners at the same time.
 */
#define GIVEN_SHARE 0.9
/*
 * Permits that may be given at once after a lull: one, and this part of the
 * limit, up to BURST_MAX.
 */
#define BURST_SHARE 0.25
#define BURST_MAX 3.0
/*
 * A target that names a lower limit, even 0, is tried this often, since only
 * its responses tell of the end of the limit.
 */
#define TRIALS_PER_S 0.4
/* It is tried whatever else has room when it was not heard for so long. */
#define TRIAL_DUE_US 2000000
/*
 * A cold target is slower than the others, and would get no requests while
 * these have room. Each VM sends it one this often.
 */
#define COLD_TRIAL_US 1000000
/*
 * Registrations and responses tell how long a target is still cold. The end
 * that follows varies with their delay; this much is no news.
 */
#define COLD_TOLERANCE_US 500000

/* A permit is void if it is not used within this time. */
#define PERMIT_LIFE_US 500000
/*
 * Permits are given out ahead, first come first served: several, so that the
 * VMs that ask take turns, within these bounds.
 */
#define PERMITS_AHEAD 4
#define PERMIT_WAIT_MIN_US 400000
#define PERMIT_WAIT_MAX_US 1500000
/* A question without an answer within this time was lost. */
#define ASK_TIMEOUT_US 250000
/* How long a VM that got no permit waits before it asks again. */
#define ASK_AGAIN_MIN_US 100000
#define ASK_AGAIN_MAX_US 2000000
/* The same where the owner sees too few VMs, which lasts some seconds. */
#define ASK_AGAIN_APART_US 500000
/* Permits for about so much time are asked for at once. */
#define ASK_AHEAD_S 0.05
#define ASK_COUNT_MAX 16.0

/*
 * Responses arrive out of order, and several VMs hear different values while a
 * limit changes: a higher value counts only when the lower one has not been
 * heard for this long.
 */
#define RISE_DELAY_US 1000000

bool
bl_limit_heard(struct bl_target *target, const struct bl_limit_report *report)
{
	struct bl_limit *limit = &target->limit;
	bool is_lower = report->has_limit &&
			(!limit->in_force || report->per_s <= limit->per_s);
	bool changed;

	if (report->heard_us < limit->heard_us)
		return false;
	if (limit->in_force && !is_lower &&
	    report->heard_us - limit->heard_us < RISE_DELAY_US)
		return false;
	changed = report->has_limit != limit->in_force ||
		  (report->has_limit && report->per_s != limit->per_s);
	/* Permits of the old limit may be too many for the new one. */
	if (changed)
		limit->permits = 0;
	limit->in_force = report->has_limit;
	limit->per_s = report->has_limit ? report->per_s : 0.0;
	limit->heard_us = report->heard_us;
	return changed;
}

void
bl_limit_reset(struct bl_target *target)
{
	target->limit = (struct bl_limit){.in_force = false};
}

bool
bl_limit_is_cold(const struct bl_target *target, int64_t now_us)
{
	return now_us < target->warm_up_until_us && target->pool != NULL &&
	       target->pool->cold_per_s > 0.0;
}

bool
bl_limit_set_cold(struct bl_target *target, int64_t left_us, int64_t now_us)
{
	int64_t until_us = now_us + left_us;
	bool is_news = !(now_us < target->warm_up_until_us) ||
		       until_us > target->warm_up_until_us + COLD_TOLERANCE_US;

	if (left_us <= 0 || until_us <= target->warm_up_until_us)
		return false;
	target->warm_up_until_us = until_us;
	return is_news;
}

bool
bl_limit_applies(const struct bl_target *target, int64_t now_us)
{
	return target->limit.in_force || bl_limit_is_cold(target, now_us);
}

void
bl_limit_void(struct bl_target *target)
{
	target->limit.permits = 0;
	target->limit.asked_us = 0;
	target->limit.next_permit_us = 0;
}

/* Returns the limit that applies now: the lower one of a cold target. */
static double
limit_per_s(const struct bl_target *target, int64_t now_us)
{
	const struct bl_limit *limit = &target->limit;
	double cold_per_s;

	if (!bl_limit_is_cold(target, now_us))
		return limit->per_s;
	cold_per_s = target->pool->cold_per_s;
	return limit->in_force && limit->per_s < cold_per_s ? limit->per_s
							    : cold_per_s;
}

static bool
is_asking(const struct bl_limit *limit, int64_t now_us)
{
	return limit->asked_us != 0 &&
	       now_us - limit->asked_us < ASK_TIMEOUT_US;
}

static uint32_t
valid_permits(const struct bl_limit *limit, int64_t now_us)
{
	return now_us < limit->permits_from_us + PERMIT_LIFE_US ? limit->permits
								: 0;
}

bool
bl_limit_may_send(const struct bl_target *target, int64_t now_us)
{
	const struct bl_limit *limit = &target->limit;

	return !bl_limit_applies(target, now_us) ||
	       (valid_permits(limit, now_us) > 0 &&
		   now_us >= limit->permits_from_us);
}

uint32_t
bl_limit_expected_permits(const struct bl_target *target, int64_t now_us)
{
	const struct bl_limit *limit = &target->limit;

	if (!bl_limit_applies(target, now_us))
		return 0;
	return valid_permits(limit, now_us) + is_asking(limit, now_us);
}

bool
bl_limit_may_ask(const struct bl_target *target, int64_t now_us)
{
	const struct bl_limit *limit = &target->limit;

	return bl_limit_applies(target, now_us) &&
	       now_us >= limit->ask_again_us &&
	       bl_limit_expected_permits(target, now_us) == 0;
}

bool
bl_limit_is_trial_due(const struct bl_target *target, int64_t now_us)
{
	if (bl_limit_is_cold(target, now_us))
		return now_us - target->limit.cold_sent_us > COLD_TRIAL_US;
	return target->limit.in_force &&
	       now_us - target->limit.heard_us > TRIAL_DUE_US;
}

int64_t
bl_limit_wait_us(const struct bl_target *target, int64_t now_us)
{
	const struct bl_limit *limit = &target->limit;

	if (bl_limit_may_send(target, now_us))
		return 0;
	if (valid_permits(limit, now_us) > 0)
		return limit->permits_from_us - now_us;
	return limit->ask_again_us > now_us ? limit->ask_again_us - now_us : 0;
}

void
bl_limit_ask(struct bl_target *target, int64_t wait_max_us, int64_t now_us,
    struct bl_ask *out)
{
	struct bl_limit *limit = &target->limit;
	double count = limit_per_s(target, now_us) * ASK_AHEAD_S;

	limit->asked_us = now_us;
	*out = (struct bl_ask){
	    .target_process = bl_target_process(target),
	    .limit = {.has_limit = limit->in_force,
		.per_s = limit->per_s,
		.heard_us = limit->heard_us},
	    .cold_left_us = bl_limit_is_cold(target, now_us)
				? target->warm_up_until_us - now_us
				: 0,
	    .count = count < 1.0	     ? 1
		     : count > ASK_COUNT_MAX ? (uint32_t)ASK_COUNT_MAX
					     : (uint32_t)count,
	    .wait_max_us = wait_max_us,
	};
}

/* Returns the time between two permits, in microseconds. */
static double
interval_us(double limit_per_s)
{
	double per_s = GIVEN_SHARE * limit_per_s;

	return 1e6 / (per_s < TRIALS_PER_S ? TRIALS_PER_S : per_s);
}

/* Returns how long ahead permits are given out. */
static int64_t
ahead_us(double permit_us)
{
	double time_us = PERMITS_AHEAD * permit_us;

	return time_us < PERMIT_WAIT_MIN_US   ? PERMIT_WAIT_MIN_US
	       : time_us > PERMIT_WAIT_MAX_US ? PERMIT_WAIT_MAX_US
					      : (int64_t)time_us;
}

/* How long a VM waits that came when all permits of the next time are given. */
static int64_t
ask_again_after_us(struct bl_limit *limit, double permit_us, int64_t now_us)
{
	double kept =
	    limit->refused *
	    exp(-(double)(now_us - limit->refused_at_us) / ASK_AGAIN_MAX_US);
	double wait_us;

	limit->refused = kept + 1.0;
	limit->refused_at_us = now_us;
	wait_us = limit->refused * permit_us;
	return wait_us < ASK_AGAIN_MIN_US   ? ASK_AGAIN_MIN_US
	       : wait_us > ASK_AGAIN_MAX_US ? ASK_AGAIN_MAX_US
					    : (int64_t)wait_us;
}

void
bl_limit_grant(struct bl_target *target, const struct bl_ask *ask,
    int64_t now_us, struct bl_permit *out)
{
	struct bl_limit *limit = &target->limit;
	double per_s, permit_us, burst;
	int64_t earliest_us;

	bl_limit_heard(target, &ask->limit);
	bl_limit_set_cold(target, ask->cold_left_us, now_us);
	*out = (struct bl_permit){
	    .target_process = ask->target_process,
	    .limit = {.has_limit = limit->in_force,
		.per_s = limit->per_s,
		.heard_us = limit->heard_us},
	};
	if (!bl_limit_applies(target, now_us))
		return;
	per_s = limit_per_s(target, now_us);
	permit_us = interval_us(per_s);
	burst = BURST_SHARE * per_s;
	earliest_us =
	    now_us -
	    (int64_t)((burst < BURST_MAX ? burst : BURST_MAX) * permit_us);
	/* A new owner starts without permits. */
	if (limit->next_permit_us == 0)
		limit->next_permit_us = now_us + (int64_t)permit_us;
	if (limit->next_permit_us < earliest_us)
		limit->next_permit_us = earliest_us;
	if (limit->next_permit_us > now_us + ahead_us(permit_us) ||
	    limit->next_permit_us > now_us + ask->wait_max_us) {
		out->ask_again_us =
		    ask_again_after_us(limit, permit_us, now_us);
		return;
	}
	if (limit->next_permit_us > now_us)
		out->wait_us = limit->next_permit_us - now_us;
	do {
		out->count++;
		limit->next_permit_us += (int64_t)permit_us;
	} while (out->count < ask->count && limit->next_permit_us <= now_us);
}

void
bl_limit_grant_apart(struct bl_target *target, const struct bl_ask *ask,
    int64_t now_us, struct bl_permit *out)
{
	const struct bl_limit *limit = &target->limit;

	bl_limit_set_cold(target, ask->cold_left_us, now_us);
	if (!bl_limit_is_cold(target, now_us)) {
		bl_limit_grant(target, ask, now_us, out);
		return;
	}
	bl_limit_heard(target, &ask->limit);
	*out = (struct bl_permit){
	    .target_process = ask->target_process,
	    .limit = {.has_limit = limit->in_force,
		.per_s = limit->per_s,
		.heard_us = limit->heard_us},
	    .ask_again_us = ASK_AGAIN_APART_US,
	};
}

bool
bl_limit_granted(
    struct bl_target *target, const struct bl_permit *permit, int64_t now_us)
{
	struct bl_limit *limit = &target->limit;
	bool is_cold = bl_limit_is_cold(target, now_us);
	bool changed;

	/* It was under way for too long, while others may have got more. */
	if (is_cold && !is_asking(limit, now_us))
		return false;
	/* The owner has waited for RISE_DELAY_US before it believed the end. */
	if (limit->in_force && !permit->limit.has_limit &&
	    permit->limit.heard_us >= limit->heard_us) {
		bl_limit_reset(target);
		limit->heard_us = permit->limit.heard_us;
		return true;
	}
	changed = bl_limit_heard(target, &permit->limit);
	limit->asked_us = 0;
	limit->ask_again_us = now_us + permit->ask_again_us;
	limit->permits = permit->count;
	limit->permits_from_us = now_us + permit->wait_us;
	return changed;
}

void
bl_limit_sent(struct bl_target *target, int64_t now_us)
{
	if (bl_limit_is_cold(target, now_us))
		target->limit.cold_sent_us = now_us;
	if (target->limit.permits > 0)
		target->limit.permits--;
}
