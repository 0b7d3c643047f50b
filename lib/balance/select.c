/*
 * Assesses the targets of a pool for a request, each by a score: the
 * probability of a response within the objective, reduced by the probability of
 * failure and by the cost of transfer to other data centres and regions. Load
 * pattern: targets whose speed changes several times a second, known by reports
 * of some age.
 */
#include <math.h>

#include "select.h"

/*
 * An older load report may be from before the last change of the load from
 * noisy neighbours of the target.
 */
#define LOAD_FRESH_US 30000
/*
 * The estimate of other VMs' requests decays to fractions; a fraction of a
 * request up to this much does not count.
 */
#define ESTIMATE_SLACK 0.3
/*
 * The probability that a response is in time, as a logistic function of the
 * expected latency relative to the objective. Latencies vary by about a third,
 * and the load from noisy neighbours changes in the meantime.
 */
#define IN_TIME_MIDPOINT 0.9
#define IN_TIME_WIDTH 0.15
/* Score of a response after the objective. */
#define LATE_SCORE 0.1
/* Up to this share of the slots that are used a target is nearly idle. */
#define IDLE_SHARE 0.5
/* Prefers the faster of two targets that would both be in time. */
#define LATENCY_WEIGHT 0.1
/*
 * Cost of transfer, subtracted from the score: between data centres of a
 * region, and between regions, where transfer is billed by volume.
 */
#define SAME_REGION_COST 0.1
#define CROSS_REGION_COST 0.3

int64_t
bl_expected_latency_us(const struct bl_topology *topology,
    const struct bl_target *target, int64_t now_us)
{
	double estimate = bl_estimated_requests(target, now_us);
	double slots = target->slots > 0 ? target->slots : 1;
	double service_time_us = target->pool == NULL
				     ? BL_SERVICE_TIME_INITIAL_US
				     : target->pool->service_time_us;
	double time_us = service_time_us * bl_slowness(target, now_us);

	if ((estimate + 1) / slots > BL_KNEE_SHARE)
		time_us *= BL_KNEE_SLOWDOWN;
	if (estimate + 1 > slots)
		time_us += time_us * (estimate + 1 - slots) / slots;
	return topology->data_centres[target->data_centre].rtt_us +
	       (int64_t)time_us;
}

double
bl_concurrency_limit(uint32_t slots)
{
	double below = floor(BL_KNEE_SHARE * slots);

	return slots / BL_KNEE_SLOWDOWN > below ? slots : below;
}

static bool
was_tried(const struct bl_request *request, const struct bl_target *target)
{
	uint32_t i;

	for (i = 0; i < request->tried_count; i++) {
		if (request->tried[i] == target)
			return true;
	}
	return false;
}

static double
transfer_cost(const struct bl_topology *topology, uint32_t data_centre)
{
	if (data_centre == topology->own)
		return 0.0;
	return topology->data_centres[data_centre].same_region
		   ? SAME_REGION_COST
		   : CROSS_REGION_COST;
}

/* Returns the score of a response after expected_us, at most 1. */
static double
score_of(const struct bl_request *request, int64_t expected_us,
    double failure_probability)
{
	double objective_left_us =
	    (double)(request->objective_us - request->now_us);
	double share, in_time;

	if (request->now_us + expected_us > request->deadline_us)
		return 0.0;
	if (objective_left_us < 1.0)
		objective_left_us = 1.0;
	share = (double)expected_us / objective_left_us;
	in_time = 1.0 / (1.0 + exp((share - IN_TIME_MIDPOINT) / IN_TIME_WIDTH));
	return (1.0 - failure_probability) *
		   (in_time + LATE_SCORE * (1.0 - in_time)) -
	       LATENCY_WEIGHT * (share < 1.0 ? share : 1.0);
}

static struct bl_candidate
assess(const struct bl_topology *topology, struct bl_target *target,
    const struct bl_request *request)
{
	int64_t expected_us =
	    bl_expected_latency_us(topology, target, request->now_us);

	return (struct bl_candidate){
	    .target = target,
	    .expected_us = expected_us,
	    .score = score_of(request, expected_us,
			 bl_failure_probability(target, request->now_us)) -
		     transfer_cost(topology, target->data_centre),
	    .full = bl_estimated_requests(target, request->now_us) + 1 >
		    bl_concurrency_limit(target->slots) + ESTIMATE_SLACK,
	    .idle = bl_estimated_requests(target, request->now_us) + 1 <=
		    IDLE_SHARE * bl_concurrency_limit(target->slots) +
			ESTIMATE_SLACK,
	    .fresh = target->load_at_us != 0 &&
		     request->now_us - target->load_at_us <= LOAD_FRESH_US,
	};
}

/*
 * Returns true if a is preferred to b. Equal candidates are ordered by a hash
 * of the request's tie breaker and the target.
 */
bool
bl_is_better(const struct bl_candidate *a, const struct bl_candidate *b,
    uint64_t tie_breaker)
{
	double gap;

	if (b->target == NULL)
		return true;
	if (a->full != b->full)
		return b->full;
	gap = a->score - b->score;
	if (gap > BL_SCORE_TIE_GAP || gap < -BL_SCORE_TIE_GAP)
		return gap > 0;
	if (a->fresh != b->fresh)
		return a->fresh;
	return cs_hash_pair(tie_breaker, a->target->process) <
	       cs_hash_pair(tie_breaker, b->target->process);
}

static void
add_stale(struct bl_stale_list *list, const struct bl_candidate *candidate,
    const struct bl_request *request)
{
	uint32_t at = list->count;

	/* A probe would count as a request. */
	if (bl_limit_applies(candidate->target, request->now_us))
		return;
	if (candidate->fresh ||
	    (!candidate->target->probing &&
		request->now_us - candidate->target->probe_sent_us <
		    LOAD_FRESH_US))
		return;
	while (at > 0 && bl_is_better(candidate, &list->entries[at - 1],
			     request->tie_breaker)) {
		if (at < BL_PROBES_MAX)
			list->entries[at] = list->entries[at - 1];
		at--;
	}
	if (at < BL_PROBES_MAX)
		list->entries[at] = *candidate;
	if (list->count < BL_PROBES_MAX)
		list->count++;
}

static void
add_held_back(struct bl_selection *selection,
    const struct bl_candidate *candidate, const struct bl_request *request)
{
	const struct bl_target *target = candidate->target;
	int64_t wait_us = bl_wait_us(target, request->now_us);

	selection->held_back_count++;
	if (wait_us < selection->min_wait_us)
		selection->min_wait_us = wait_us;
	if (request->now_us < target->paused_until_us)
		return;
	selection->limited_count++;
	selection->expected_permits +=
	    bl_limit_expected_permits(target, request->now_us);
	if (candidate->expected_us < selection->min_limited_expected_us)
		selection->min_limited_expected_us = candidate->expected_us;
	if (bl_limit_may_ask(target, request->now_us) && !candidate->full &&
	    bl_is_better(
		candidate, &selection->best_to_ask, request->tie_breaker))
		selection->best_to_ask = *candidate;
}

/* Returns the set of data centres whose targets must not get the request. */
uint64_t
bl_blocked_data_centres(
    const struct bl_topology *topology, const struct bl_request *request)
{
	return topology->evacuated | request->excluded_data_centres;
}

/*
 * Returns true if the request must not reach any target of the region. The
 * allowed targets of the other regions then take the place of those of the
 * region: they are probed, waited for, and cost the same among themselves.
 */
static bool
is_region_blocked(const struct bl_topology *topology, uint64_t blocked)
{
	uint32_t i;

	if (blocked == 0)
		return false;
	for (i = 0; i < topology->count; i++) {
		if (topology->data_centres[i].same_region &&
		    (blocked >> i & 1) == 0)
			return false;
	}
	return true;
}

/* Notes how far the targets are that are probed in place of those nearby. */
static void
note_rtt(const struct bl_topology *topology, const struct bl_target *target,
    struct bl_selection *selection)
{
	int64_t rtt_us = topology->data_centres[target->data_centre].rtt_us;

	if (target->data_centre != topology->own &&
	    rtt_us > selection->nearest_rtt_us)
		selection->nearest_rtt_us = rtt_us;
}

/*
 * Returns what each target costs at least that the request may reach. A choice
 * that there is not must not make it look worth less than refusing it.
 */
static double
unavoidable_cost(const struct bl_topology *topology, uint64_t blocked)
{
	double cost, min = CROSS_REGION_COST;
	uint32_t i;

	if (blocked == 0)
		return 0.0;
	for (i = 0; i < topology->count; i++) {
		cost = transfer_cost(topology, i);
		if ((blocked >> i & 1) == 0 && cost < min)
			min = cost;
	}
	return min;
}

void
bl_select_targets(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, bool include_backoff,
    struct bl_selection *selection)
{
	uint64_t blocked = bl_blocked_data_centres(topology, request);
	bool region_blocked = is_region_blocked(topology, blocked);
	bool own_blocked = (blocked >> topology->own & 1) != 0;
	double cost = unavoidable_cost(topology, blocked);
	uint32_t i;

	*selection = (struct bl_selection){
	    .min_expected_us = BL_RETRY_AFTER_MAX_US,
	    .min_wait_us = INT64_MAX / 2,
	    .min_limited_expected_us = INT64_MAX / 2,
	};
	for (i = 0; i < pool->count; i++) {
		struct bl_target *target = pool->targets[i];
		struct bl_candidate candidate;
		bool near;

		if ((blocked >> target->data_centre & 1) != 0 ||
		    target->draining || was_tried(request, target) ||
		    (!include_backoff &&
			request->now_us < target->backoff_until_us))
			continue;
		candidate = assess(topology, target, request);
		candidate.score += cost;
		if (bl_wait_us(target, request->now_us) > 0) {
			add_held_back(selection, &candidate, request);
			continue;
		}
		selection->usable_count++;
		near = region_blocked ||
		       topology->data_centres[target->data_centre].same_region;
		if (candidate.expected_us < selection->min_expected_us)
			selection->min_expected_us = candidate.expected_us;
		if (near && bl_is_better(&candidate, &selection->best_nearby,
				request->tie_breaker))
			selection->best_nearby = candidate;
		if (!candidate.full &&
		    bl_is_better(
			&candidate, &selection->best, request->tie_breaker))
			selection->best = candidate;
		if (bl_limit_applies(target, request->now_us) &&
		    !candidate.full &&
		    bl_is_better(&candidate, &selection->best_permitted,
			request->tie_breaker))
			selection->best_permitted = candidate;
		if (target->data_centre == topology->own ||
		    (near && own_blocked)) {
			add_stale(&selection->nearest, &candidate, request);
			note_rtt(topology, target, selection);
		} else if (near)
			add_stale(&selection->region, &candidate, request);
	}
}
