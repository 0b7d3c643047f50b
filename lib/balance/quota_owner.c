/*
 * The owner of a tenant's quota in one region. It gives credit out of a bucket
 * that fills at the region's share of the rate.
 *
 * Each region has an even share of its own, and lends parts of it to the owners
 * in other regions in proportion to demand. What it lends it does not use, and
 * what is lent less than before counts as lent until the borrower has confirmed
 * the lower value. A loan ends LOAN_US after the borrower sent the
 * datagram that the lender's echoes, so old datagrams cannot prolong it. So the
 * shares never exceed the whole, whatever gets lost or delayed; a share falls
 * at once and rises one exchange later. A lender that does not hear the
 * borrower takes nothing back until it hears from it.
 */
#include <math.h>
#include <stddef.h>

#include "quota.h"

/*
 * The bucket holds the region's share of the burst and, in all regions
 * together, so many requests more: those of a tenant with few come in groups.
 * It is a little less than half of the slack of the bound, 20; the other half
 * is for VMs without an owner.
 */
#define DEPTH_FURTHER 9.0
/*
 * A tenant's requests may come in one region while the buckets of the others
 * are full: their owners answer for an empty one, each time so long apart.
 */
#define PASS_ON_US 20000
/* What a new owner starts with. */
#define TOKENS_INITIAL 1.0
/*
 * Once in its life a process gives further credit, since the buckets of the
 * owners before it are lost: one a second, from an age on that processes do not
 * reach which restart again and again. Twice as much for new owners at once,
 * with all VMs restarting every 0.5 s, admitted 1.7 times the bound.
 */
#define HEAD_START_FROM_US 500000
#define HEAD_START_PER_S 1.0
#define HEAD_START_MAX_S 1.5

/* A VM that got no credit asks again after between these. */
#define ASK_AGAIN_MIN_US 50000
#define ASK_AGAIN_MAX_US 400000

/*
 * Time constant of the average of demand: that of so many requests at the full
 * rate, within these bounds. Few requests say little of where demand is.
 */
#define DEMAND_REQUESTS 16.0
#define DEMAND_TIME_MIN_S 1.0
#define DEMAND_TIME_MAX_S 8.0
/*
 * Demand that each region counts with beyond what it has, so that the first
 * request in a region finds a share: so many per second, and of the rate.
 */
#define DEMAND_FLOOR_PER_S 0.5
#define DEMAND_FLOOR_SHARE 0.005

/*
 * A loan counts from a stamp of the borrower, which is up to a second old when
 * the loan arrives: at least 2 s after that, unless one of two datagrams in a
 * row is lost.
 */
#define LOAN_US 3000000
/* A region counts as silent then: it gets no more, and demands nothing. */
#define SILENT_US 2000000
/* A new owner that has not heard a region assumes all loans to it have ended.
 */
#define LOANS_ENDED_US 3500000
/* Owners tell each other so often; the more often while shares change. */
#define TELL_US 500000
#define TELL_STEADY_US 900000
#define TELL_AT_ONCE_US 200000
/* Two owners that start at once tell each other, then echo the other's stamp.
 */
#define TELL_ECHO_US 10000
/* Changes of a share below one of these do not count. */
#define STEADY_CHANGE 200 /* of BL_QUOTA_WHOLE */
#define STEADY_CHANGE_PER_S 1.0
/* A tenant without questions for so long is not in use. */
#define IN_USE_US 2000000
/* An older stamp by at most this comes from a datagram that was overtaken. */
#define OVERTAKEN_MS 4000
/* An older echo is that of a stamp of another owner. */
#define ECHO_MAX_MS 10000

static uint32_t
stamp_at(const struct bl_quota *quota, int64_t now_us)
{
	return quota->nonce + (uint32_t)(now_us / 1000);
}

/*
 * The region has no VM, see quota_listing.c. Before this VM was the owner
 * another one may have lent to it.
 */
static bool
is_empty(const struct bl_quota *quota, uint32_t region,
    const struct bl_quota_params *params, int64_t now_us)
{
	const struct bl_quota_listing *listing = &params->listing;

	return (listing->empty & UINT32_C(1) << region) != 0 &&
	       listing->at_us >= quota->owns_since_us &&
	       now_us - listing->at_us < BL_QUOTA_LISTING_US &&
	       !quota->regions[region].heard;
}

static uint32_t
count_regions(const struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us)
{
	uint32_t i, count = 0;

	for (i = 0; i < params->region_count; i++)
		count += !is_empty(quota, i, params, now_us);
	return count > 0 ? count : 1;
}

static uint32_t
even_share(const struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us)
{
	return BL_QUOTA_WHOLE / count_regions(quota, params, now_us);
}

/*
 * Returns true if this region has an even share of its own: no owner leaves it
 * out.
 */
static bool
has_own_share(const struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us)
{
	uint32_t i;

	if (bl_quota_is_settled(&params->listing, now_us))
		return true;
	if (params->listing.own_since_us == INT64_MAX)
		return false;
	for (i = 0; i < params->region_count; i++) {
		if (i != params->own_region && !quota->regions[i].knows_own &&
		    !is_empty(quota, i, params, now_us))
			return false;
	}
	return true;
}

static bool
is_heard(const struct bl_quota_region *region, int64_t now_us)
{
	return region->heard && now_us - region->heard_us < SILENT_US;
}

/* Returns what the other regions may hold of this region's even share. */
static uint32_t
lent_to(const struct bl_quota *quota, uint32_t region,
    const struct bl_quota_params *params, int64_t now_us)
{
	const struct bl_quota_region *other = &quota->regions[region];

	if (other->heard)
		return other->lent_max;
	return now_us - quota->owns_since_us < LOANS_ENDED_US &&
		       !is_empty(quota, region, params, now_us)
		   ? even_share(quota, params, now_us)
		   : 0;
}

uint32_t
bl_quota_own_share(const struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us)
{
	uint32_t even = even_share(quota, params, now_us);
	uint32_t lent = 0, held = 0, i;

	if (params->listing.own_since_us == INT64_MAX)
		return 0;
	for (i = 0; i < params->region_count; i++) {
		const struct bl_quota_region *region = &quota->regions[i];

		if (i == params->own_region)
			continue;
		lent += lent_to(quota, i, params, now_us);
		if (now_us < region->held_until_us)
			held += region->held;
	}
	if (lent < even && has_own_share(quota, params, now_us))
		held += even - lent;
	return held < BL_QUOTA_WHOLE ? held : BL_QUOTA_WHOLE;
}

/*
 * Returns the further credit that is due by now, no more than the whole quota
 * is worth in that time.
 */
static double
head_start(const struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us)
{
	double age_s =
	    (double)(now_us - params->started_us - HEAD_START_FROM_US) / 1e6;
	double per_s = quota->rate_per_s < HEAD_START_PER_S ? quota->rate_per_s
							    : HEAD_START_PER_S;

	if (age_s <= 0.0)
		return 0.0;
	return per_s * (age_s < HEAD_START_MAX_S ? age_s : HEAD_START_MAX_S);
}

/*
 * Fills the bucket at the share of the time before now_us. A share may have
 * risen or fallen meanwhile: the lower one counts.
 */
static void
refill(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us)
{
	uint32_t share_now = bl_quota_own_share(quota, params, now_us);
	double share = (double)share_now / BL_QUOTA_WHOLE;
	double depth = share * quota->burst;
	double rate = quota->rate_per_s *
		      (share_now < quota->filled_share ? share_now
						       : quota->filled_share) /
		      BL_QUOTA_WHOLE;
	double elapsed_s = (double)(now_us - quota->tokens_at_us) / 1e6;
	double further = head_start(quota, params, now_us);

	depth += DEPTH_FURTHER / count_regions(quota, params, now_us);
	if (elapsed_s > 0.0)
		quota->tokens += rate * elapsed_s;
	if (share_now > 0 && further > quota->head_start) {
		quota->tokens += further - quota->head_start;
		quota->head_start = further;
	}
	if (quota->tokens > depth)
		quota->tokens = depth;
	quota->tokens_at_us = now_us;
	quota->filled_share = share_now;
}

static double
demand_time_us(const struct bl_quota *quota)
{
	double time_s = quota->rate_per_s * DEMAND_TIME_MAX_S > DEMAND_REQUESTS
			    ? DEMAND_REQUESTS / quota->rate_per_s
			    : DEMAND_TIME_MAX_S;

	return 1e6 * (time_s > DEMAND_TIME_MIN_S ? time_s : DEMAND_TIME_MIN_S);
}

static double
demand(const struct bl_quota *quota, int64_t now_us)
{
	return quota->demand_per_s *
	       exp(-(double)(now_us - quota->demand_at_us) /
		   demand_time_us(quota));
}

void
bl_quota_own(struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t nonce, int64_t now_us)
{
	uint32_t i;

	if (quota->owns)
		return;
	quota->owns = true;
	quota->owns_since_us = quota->tokens_at_us = now_us;
	quota->demand_at_us = quota->refused_at_us = now_us;
	quota->nonce = nonce;
	quota->tokens = TOKENS_INITIAL;
	quota->demand_per_s = quota->refused = 0.0;
	quota->used_us = 0;
	for (i = 0; i < params->region_count; i++)
		quota->regions[i] = (struct bl_quota_region){.heard = false};
	quota->filled_share = bl_quota_own_share(quota, params, now_us);
}

void
bl_quota_disown(struct bl_quota *quota)
{
	quota->owns = false;
}

/* When a VM that got too little is to ask again: in turn with the others. */
static int64_t
ask_again_after_us(struct bl_quota *quota, double rate, int64_t now_us)
{
	double kept =
	    quota->refused *
	    exp(-(double)(now_us - quota->refused_at_us) / ASK_AGAIN_MAX_US);
	double wait_us;

	quota->refused = kept + 1.0;
	quota->refused_at_us = now_us;
	wait_us = quota->refused * 1e6 / (rate > 1e-3 ? rate : 1e-3);
	return wait_us < ASK_AGAIN_MIN_US   ? ASK_AGAIN_MIN_US
	       : wait_us > ASK_AGAIN_MAX_US ? ASK_AGAIN_MAX_US
					    : (int64_t)wait_us;
}

/* The tenant is over its quota in all regions together: all are empty. */
static bool
is_over_quota(const struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us)
{
	double sum = demand(quota, now_us);
	uint32_t i;

	for (i = 0; i < params->region_count; i++) {
		if (i != params->own_region &&
		    is_heard(&quota->regions[i], now_us))
			sum += quota->regions[i].demand_per_s;
	}
	return sum >= quota->rate_per_s;
}

/* Returns the next region that is heard, in turn, or -1. */
static int32_t
next_region(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us)
{
	uint32_t i, region;

	if (now_us - quota->passed_on_us < PASS_ON_US ||
	    is_over_quota(quota, params, now_us))
		return -1;
	for (i = 1; i <= params->region_count; i++) {
		region = (quota->passed_on_to + i) % params->region_count;
		if (region == params->own_region ||
		    !is_heard(&quota->regions[region], now_us))
			continue;
		quota->passed_on_to = region;
		quota->passed_on_us = now_us;
		return (int32_t)region;
	}
	return -1;
}

void
bl_quota_pass_on(struct bl_quota_ask *ask)
{
	ask->arrived = ask->unspent = 0;
	ask->may_pass_on = false;
}

void
bl_quota_grant(struct bl_quota *quota, const struct bl_quota_params *params,
    const struct bl_quota_ask *ask, int64_t now_us, struct bl_quota_grant *out)
{
	uint32_t share = bl_quota_own_share(quota, params, now_us);

	*out = (struct bl_quota_grant){
	    .tenant = quota->tenant, .number = ask->number, .region = -1};
	quota->used_us = now_us;
	quota->demand_per_s =
	    demand(quota, now_us) + ask->arrived * 1e6 / demand_time_us(quota);
	quota->demand_at_us = now_us;
	quota->tokens += ask->unspent;
	refill(quota, params, now_us);
	if (quota->tokens >= 1.0)
		out->count = ask->count < quota->tokens
				 ? ask->count
				 : (uint32_t)quota->tokens;
	quota->tokens -= out->count;
	if (out->count == 0 && ask->may_pass_on && share > 0)
		out->region = next_region(quota, params, now_us);
	if (out->region >= 0)
		return;
	/* Without a share it is not known whether the tenant is over it. */
	if (out->count == ask->count || share == 0)
		return;
	/* The owner in the asker's region may have credit before this one. */
	if (ask->arrived == 0 && !ask->may_pass_on)
		out->wait_us = ASK_AGAIN_MIN_US;
	else
		out->wait_us = ask_again_after_us(
		    quota, quota->rate_per_s * share / BL_QUOTA_WHOLE, now_us);
}

/* Returns the part of the even share that demand gives to a region. */
static uint32_t
part_by_demand(const struct bl_quota *quota,
    const struct bl_quota_params *params, uint32_t region, int64_t now_us)
{
	double floor_per_s =
	    DEMAND_FLOOR_PER_S + DEMAND_FLOOR_SHARE * quota->rate_per_s;
	double sum = 0.0, own = 0.0, weight;
	uint32_t i;

	for (i = 0; i < params->region_count; i++) {
		if (i != params->own_region &&
		    !is_heard(&quota->regions[i], now_us))
			continue;
		weight =
		    floor_per_s + (i == params->own_region
					  ? demand(quota, now_us)
					  : quota->regions[i].demand_per_s);
		sum += weight;
		own = i == region ? weight : own;
	}
	return sum > 0.0
		   ? (uint32_t)(even_share(quota, params, now_us) * own / sum)
		   : 0;
}

/* Sets what is lent to a region, which gets no more than is left. */
static void
update_loan(struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t region, int64_t now_us)
{
	struct bl_quota_region *to = &quota->regions[region];
	uint32_t part = part_by_demand(quota, params, region, now_us);
	uint32_t even = even_share(quota, params, now_us);
	uint32_t others = 0, i;

	/* A region that is not heard keeps what it has, and gets no more. */
	if (!is_heard(to, now_us))
		return;
	for (i = 0; i < params->region_count; i++) {
		if (i != region && i != params->own_region)
			others += lent_to(quota, i, params, now_us);
	}
	if (others + part > even)
		part = others < even ? even - others : 0;
	if (part == to->lent)
		return;
	/* The bucket fills at the share of before until now. */
	refill(quota, params, now_us);
	to->lent = part;
	to->lent_stamp = stamp_at(quota, now_us);
	if (part > to->lent_max)
		to->lent_max = part;
}

static bool
is_in_use(const struct bl_quota *quota, int64_t now_us)
{
	return quota->used_us != 0 && now_us - quota->used_us < IN_USE_US;
}

/* The other region has demand, and needs this one's answers for its loans. */
static bool
is_needed(const struct bl_quota_region *region, int64_t now_us)
{
	return region->demand_per_s > 0.0 && is_heard(region, now_us);
}

static bool
is_any_needed(const struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < params->region_count; i++) {
		if (i != params->own_region &&
		    is_needed(&quota->regions[i], now_us))
			return true;
	}
	return false;
}

/*
 * Of two regions without demand one has lent to the other: what is lent is
 * called back once a third one needs it, and the borrower confirms that.
 */
static bool
is_idle_loan(const struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t region, bool answers, int64_t now_us)
{
	const struct bl_quota_region *other = &quota->regions[region];

	if (answers && (other->held > STEADY_CHANGE || other->lends_less))
		return true;
	return other->heard && other->lent_max > STEADY_CHANGE &&
	       is_any_needed(quota, params, now_us);
}

static int64_t
tell_interval_us(const struct bl_quota *quota,
    const struct bl_quota_params *params, uint32_t region, int64_t now_us)
{
	const struct bl_quota_region *to = &quota->regions[region];
	uint32_t part = part_by_demand(quota, params, region, now_us);
	uint32_t change = part > to->lent ? part - to->lent : to->lent - part;

	if (to->wants_echo)
		return TELL_ECHO_US;
	if (!to->heard && now_us - quota->owns_since_us < LOANS_ENDED_US)
		return TELL_AT_ONCE_US;
	if (change * quota->rate_per_s < STEADY_CHANGE_PER_S * BL_QUOTA_WHOLE)
		return TELL_STEADY_US;
	return change < STEADY_CHANGE && to->lent == to->lent_max
		   ? TELL_STEADY_US
		   : TELL_US;
}

/*
 * While more is lent than this region's share is, since one was left out
 * before, a region that has just shown up must not use its own yet: an echo
 * would tell it that this owner knows of it.
 */
static bool
may_echo(const struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t region, int64_t now_us)
{
	bool is_new = (params->listing.empty & UINT32_C(1) << region) != 0 &&
		      now_us - quota->owns_since_us < LOANS_ENDED_US;
	uint32_t lent = 0, i;

	for (i = 0; i < params->region_count; i++) {
		if (i == region || i == params->own_region)
			continue;
		if (is_new && !quota->regions[i].heard &&
		    !is_empty(quota, i, params, now_us))
			return false; /* what is lent to it is not known */
		lent += lent_to(quota, i, params, now_us);
	}
	return lent <= even_share(quota, params, now_us);
}

bool
bl_quota_tell(struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t region, bool answers, int64_t now_us, struct bl_quota_share *out)
{
	struct bl_quota_region *to = &quota->regions[region];
	double milli = demand(quota, now_us) * 1000.0;
	int64_t interval_us;

	/* An echo of a stamp from before the region is listed is of no use. */
	if (!quota->owns || params->listing.own_since_us == INT64_MAX)
		return false;
	/* While loans hold: the bucket fills at the share of now. */
	refill(quota, params, now_us);
	if (region == params->own_region ||
	    (!is_in_use(quota, now_us) && !is_needed(to, now_us) &&
		!is_idle_loan(quota, params, region, answers, now_us)))
		return false;
	/*
	 * Two owners that answer each other echo fresh stamps, so that a loan
	 * outlasts the loss of one datagram.
	 */
	interval_us = tell_interval_us(quota, params, region, now_us);
	if (answers)
		interval_us /= 2;
	if (to->told_us != 0 && now_us - to->told_us < interval_us)
		return false;
	update_loan(quota, params, region, now_us);
	to->told_us = now_us;
	to->wants_echo = to->lends_less = false;
	*out = (struct bl_quota_share){
	    .tenant = quota->tenant,
	    .region = params->own_region,
	    .demand_milli = milli < 4e9 ? (uint32_t)milli : UINT32_MAX,
	    .lent = to->lent,
	    .held = now_us < to->held_until_us ? to->held : 0,
	    .stamp = stamp_at(quota, now_us),
	    .echo = to->stamp,
	    .has_echo =
		to->has_stamp && may_echo(quota, params, region, now_us),
	};
	return true;
}

/* Takes what the borrower holds: it confirms a lower loan. */
static void
take_confirmation(const struct bl_quota *quota, struct bl_quota_region *from,
    const struct bl_quota_share *share, int64_t now_us)
{
	uint32_t now_stamp = stamp_at(quota, now_us);

	if (!from->heard) {
		/* This owner is new: the one before may have lent this. */
		from->lent = from->lent_max = share->held;
		from->lent_stamp = now_stamp;
	} else if (share->has_echo && now_stamp - share->echo < ECHO_MAX_MS &&
		   now_stamp - share->echo <= now_stamp - from->lent_stamp) {
		from->lent_max = from->lent;
	}
}

void
bl_quota_hear(struct bl_quota *quota, const struct bl_quota_params *params,
    const struct bl_quota_share *share, int64_t now_us)
{
	struct bl_quota_region *from;
	int64_t age_us;

	if (!quota->owns || share->region >= params->region_count ||
	    share->region == params->own_region)
		return;
	from = &quota->regions[share->region];
	if (from->has_stamp && from->stamp != share->stamp &&
	    from->stamp - share->stamp < OVERTAKEN_MS)
		return;
	refill(quota, params, now_us);
	age_us = (int64_t)(stamp_at(quota, now_us) - share->echo) * 1000;
	take_confirmation(quota, from, share, now_us);
	from->wants_echo |= !from->heard || !share->has_echo;
	from->lends_less |= share->lent < from->held;
	from->heard = true;
	from->heard_us = now_us;
	from->demand_per_s = share->demand_milli / 1000.0;
	from->stamp = share->stamp;
	from->has_stamp = true;
	/* Echoes from before the store listed this region do not count. */
	if (share->has_echo && age_us < LOAN_US &&
	    now_us - age_us >= params->listing.own_since_us) {
		from->held =
		    share->lent < BL_QUOTA_WHOLE ? share->lent : BL_QUOTA_WHOLE;
		from->held_until_us = now_us - age_us + LOAN_US;
		from->knows_own = true;
	}
	quota->filled_share = bl_quota_own_share(quota, params, now_us);
}
