/*
 * Which target a request goes to, or that it waits, or is refused. Answers
 * loads in which mean use is far below the slots, yet single targets take
 * several times as long for a moment: what is fast now matters more than what
 * is idle. Each target has a value: the chance of an answer within the
 * objective, less its failures, less transfer to other data centres and
 * regions. At the crest what would be late, and would make others late, is
 * refused at once.
 */
#include <math.h>

#include "balance_internal.h"

/* News older than this may be about another phase of the neighbours. */
#define FRESH_US 30000
/* A fresh target this close to the calm time needs no comparison. */
#define FAST_ENOUGH 1.25
/* From this share of the slots on, many targets slow down, by about so much. */
#define KNEE_SHARE 0.8
#define KNEE_X 1.6
/* What is known of others' requests fades; a part of one does not count. */
#define BUSY_SLACK 0.3

/* Below it targets of the region's other data centres are asked as well. */
#define GOOD_VALUE 0.75
/* Targets whose values differ by less are alike. */
#define ALIKE 0.01

/*
 * How likely an answer is in time when it is expected after this share of the
 * objective: times scatter by about a third, and neighbours change meanwhile.
 */
#define EVEN_CHANCE_AT 0.9
#define CHANCE_WIDTH 0.15
/* What an answer after the objective is still worth. */
#define LATE_VALUE 0.1
/*
 * Below this value a request would be late, and would make others late where
 * its target is not nearly idle: it is refused while it can still come back.
 */
#define LATE_MOST 0.2
#define IDLE_SHARE 0.5
/* Prefers the faster of two that would both be in time. */
#define HASTE 0.1
/*
 * What transfer takes from the value of a call: between data centres of a
 * region, and between regions, where it is billed by volume.
 */
#define NEARBY_COST 0.1
#define FAR_COST 0.3

#define RETRY_AFTER_LEAST_US 50000
#define RETRY_AFTER_MOST_US 2000000

struct candidate {
	struct bl_target *target;
	int64_t expected_us;
	double value; /* of sending there, 1 at best */
	bool full;
	bool idle; /* holds so little that one more harms nobody */
	bool fresh;
};

struct stale_list {
	struct candidate entries[BL_PROBES_MAX];
	uint32_t count;
};

struct choice {
	struct candidate best;	  /* of those with room */
	struct candidate nearest; /* best of the region, room or not */
	/* Not heard of lately, best first: own data centre, others nearby. */
	struct stale_list own, nearby;
	uint32_t known; /* targets that may be used at all */
	int64_t free_in_us;
};

int64_t
bl_expect(const struct bl_topology *topology, const struct bl_target *target,
    int64_t now_us)
{
	double busy = bl_busy(target, now_us);
	double slots = target->slots > 0 ? target->slots : 1;
	double work_us =
	    target->pool == NULL ? BL_FIRST_WORK_US : target->pool->work_us;
	double time_us = work_us * bl_slowness(target, now_us);

	if ((busy + 1) / slots > KNEE_SHARE)
		time_us *= KNEE_X;
	if (busy + 1 > slots)
		time_us += time_us * (busy + 1 - slots) / slots;
	return topology->places[target->place].rtt_us + (int64_t)time_us;
}

/*
 * How many requests a target gets at one time: as many as it finishes most
 * work with, given that it slows down when it is nearly full.
 */
static double
ceiling(uint32_t slots)
{
	double below = floor(KNEE_SHARE * slots);

	return slots / KNEE_X > below ? slots : below;
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
transfer_cost(const struct bl_topology *topology, uint32_t place)
{
	if (place == topology->own)
		return 0.0;
	return topology->places[place].near ? NEARBY_COST : FAR_COST;
}

/* What an answer after expected_us is worth to the caller, 0 to 1. */
static double
value_of(const struct bl_request *request, int64_t expected_us, double failing)
{
	double aim_us = (double)(request->objective_us - request->now_us);
	double share, in_time;

	if (request->now_us + expected_us > request->deadline_us)
		return 0.0;
	if (aim_us < 1.0)
		aim_us = 1.0;
	share = (double)expected_us / aim_us;
	in_time = 1.0 / (1.0 + exp((share - EVEN_CHANCE_AT) / CHANCE_WIDTH));
	return (1.0 - failing) * (in_time + LATE_VALUE * (1.0 - in_time)) -
	       HASTE * (share < 1.0 ? share : 1.0);
}

static struct candidate
look_at(const struct bl_topology *topology, struct bl_target *target,
    const struct bl_request *request)
{
	int64_t expected_us = bl_expect(topology, target, request->now_us);

	return (struct candidate){
	    .target = target,
	    .expected_us = expected_us,
	    .value = value_of(request, expected_us,
			 bl_failing(target, request->now_us)) -
		     transfer_cost(topology, target->place),
	    .full = bl_busy(target, request->now_us) + 1 >
		    ceiling(target->slots) + BUSY_SLACK,
	    .idle = bl_busy(target, request->now_us) + 1 <=
		    IDLE_SHARE * ceiling(target->slots) + BUSY_SLACK,
	    .fresh = target->load_us != 0 &&
		     request->now_us - target->load_us <= FRESH_US,
	};
}

/* True when a is to be preferred; ties are broken by the request's number. */
static bool
is_better(const struct candidate *a, const struct candidate *b, uint64_t tie)
{
	double gap;

	if (b->target == NULL)
		return true;
	if (a->full != b->full)
		return b->full;
	gap = a->value - b->value;
	if (gap > ALIKE || gap < -ALIKE)
		return gap > 0;
	if (a->fresh != b->fresh)
		return a->fresh;
	return cs_hash_pair(tie, (uint64_t)(uintptr_t)a->target) <
	       cs_hash_pair(tie, (uint64_t)(uintptr_t)b->target);
}

static void
add_stale(struct stale_list *list, const struct candidate *candidate,
    const struct bl_request *request)
{
	uint32_t at = list->count;

	if (candidate->fresh ||
	    (!candidate->target->probing &&
		request->now_us - candidate->target->probed_us < FRESH_US))
		return;
	while (at > 0 &&
	       is_better(candidate, &list->entries[at - 1], request->tie)) {
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
survey(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, bool shut_too, struct choice *choice)
{
	uint32_t i;

	*choice = (struct choice){.free_in_us = RETRY_AFTER_MOST_US};
	for (i = 0; i < pool->count; i++) {
		struct bl_target *target = pool->targets[i];
		struct candidate candidate;
		bool near;

		if (target->leaving || was_tried(request, target) ||
		    (!shut_too && request->now_us < target->shut_until_us))
			continue;
		choice->known++;
		near = topology->places[target->place].near;
		candidate = look_at(topology, target, request);
		if (candidate.expected_us < choice->free_in_us)
			choice->free_in_us = candidate.expected_us;
		if (near &&
		    is_better(&candidate, &choice->nearest, request->tie))
			choice->nearest = candidate;
		if (!candidate.full &&
		    is_better(&candidate, &choice->best, request->tie))
			choice->best = candidate;
		if (target->place == topology->own)
			add_stale(&choice->own, &candidate, request);
		else if (near)
			add_stale(&choice->nearby, &candidate, request);
	}
}

static bool
is_fast(const struct bl_topology *topology, const struct candidate *candidate,
    int64_t now_us)
{
	const struct bl_target *target = candidate->target;

	return target != NULL && candidate->fresh &&
	       target->place == topology->own &&
	       bl_slowness(target, now_us) <= FAST_ENOUGH &&
	       (bl_busy(target, now_us) + 1) / target->slots <= KNEE_SHARE;
}

static void
ask(const struct stale_list *list, struct bl_placement *out)
{
	uint32_t i;

	out->verdict = BL_ASK;
	out->reason = "probing";
	for (i = 0; i < list->count; i++)
		out->probes[out->probe_count++] = list->entries[i].target;
}

/* Which targets to ask before deciding; NULL: none. */
static const struct stale_list *
worth_asking(const struct choice *choice, const struct bl_request *request)
{
	if (!request->may_probe)
		return NULL;
	if (choice->own.count > 0)
		return &choice->own;
	if (choice->nearby.count > 0 && choice->best.value < GOOD_VALUE)
		return &choice->nearby;
	return NULL;
}

static void
pick(const struct candidate *candidate, const char *reason,
    struct bl_placement *out)
{
	out->verdict = BL_SEND;
	out->target = candidate->target;
	out->expected_us = candidate->expected_us;
	out->reason = reason;
}

static void
refuse(const struct choice *choice, const struct bl_request *request,
    const char *reason, struct bl_placement *out)
{
	int64_t wait_us = choice->free_in_us;

	if (wait_us < RETRY_AFTER_LEAST_US)
		wait_us = RETRY_AFTER_LEAST_US;
	/* Spread, so that those who return do not come all at once. */
	wait_us += (int64_t)(request->tie % 1000) * wait_us / 2000;
	out->verdict = BL_REFUSE;
	out->target = choice->best.target != NULL ? choice->best.target
						  : choice->nearest.target;
	out->expected_us = choice->best.target != NULL
			       ? choice->best.expected_us
			       : choice->nearest.expected_us;
	out->retry_after_us = wait_us;
	out->reason = reason;
}

/* Picks once nothing is left to ask. */
static void
decide(const struct choice *choice, const struct bl_request *request,
    struct bl_placement *out)
{
	const struct candidate *best = &choice->best;
	const struct candidate *nearest = &choice->nearest;
	int64_t left_us = request->deadline_us - request->now_us;

	if (best->target != NULL && best->expected_us <= left_us &&
	    (best->value > LATE_MOST || best->idle)) {
		pick(best,
		    best->expected_us <= request->objective_us - request->now_us
			? "in_time"
			: "late",
		    out);
	} else if (nearest->target != NULL && nearest->full &&
		   request->may_wait && nearest->expected_us <= left_us) {
		out->verdict = BL_WAIT;
		out->reason = "full";
	} else {
		refuse(choice, request, "no_room", out);
	}
}

void
bl_place(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, struct bl_placement *out)
{
	const struct stale_list *list;
	struct choice choice;

	*out = (struct bl_placement){.verdict = BL_REFUSE};
	survey(topology, pool, request, false, &choice);
	if (choice.known == 0) /* rather one that was refused than none */
		survey(topology, pool, request, true, &choice);
	if (choice.known == 0) {
		refuse(&choice, request, "no_target", out);
		return;
	}
	if (!is_fast(topology, &choice.best, request->now_us)) {
		if (request->asking) {
			out->verdict = BL_ASK;
			return;
		}
		list = worth_asking(&choice, request);
		if (list != NULL) {
			ask(list, out);
			return;
		}
	}
	decide(&choice, request, out);
}
