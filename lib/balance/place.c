/*
 * Which target a request goes to. Answers loads in which mean use is far below
 * the slots, yet single targets take several times as long for a moment: what
 * is fast now matters more than what is idle. Targets in this VM's region come
 * first; others serve when all of these would be late.
 */
#include <string.h>

#include "balance_internal.h"

/* News older than this may be about another phase of the neighbours. */
#define FRESH_US 30000
/* A fresh target this close to the calm time needs no comparison. */
#define FAST_ENOUGH 1.25
/* From this share of the slots on, many targets slow down, by about so much. */
#define KNEE_SHARE 0.8
#define KNEE_X 1.6
/* Requests queued at a target beyond its slots, which hide from choice. */
#define QUEUED_MAX 1.0
/* Targets whose expected times differ by less are alike. */
#define ALIKE 0.05
/* Requests in another region cost transfer; they must save this much. */
#define FAR_GAIN_US 20000

#define RETRY_AFTER_LEAST_US 50000
#define RETRY_AFTER_MOST_US 2000000

struct candidate {
	struct bl_target *target;
	int64_t expected_us;
	double cost_us;
	bool full;
	bool fresh;
};

struct choice {
	struct candidate near, far;
	struct candidate stale[BL_PROBES_MAX]; /* cheapest first */
	uint32_t stale_count;
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

static struct candidate
look_at(const struct bl_topology *topology, struct bl_target *target,
    const struct bl_request *request)
{
	int64_t expected_us = bl_expect(topology, target, request->now_us);
	double left_us = (double)(request->deadline_us - request->now_us);

	return (struct candidate){
	    .target = target,
	    .expected_us = expected_us,
	    .cost_us = (double)expected_us +
		       bl_failing(target, request->now_us) * left_us,
	    .full = bl_busy(target, request->now_us) + 1 >
		    target->slots + QUEUED_MAX,
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
	gap = (a->cost_us - b->cost_us) / (b->cost_us + 1.0);
		if (gap > ALIKE || gap < -ALIKE)
		return gap < 0;
	if (a->fresh != b->fresh)
		return a->fresh;

	return cs_hash_pair(tie, (uint64_t)(uintptr_t)a->target) <
	       cs_hash_pair(tie, (uint64_t)(uintptr_t)b->target);
}

static void
add_stale(struct choice *choice, const struct candidate *candidate,
    const struct bl_request *request)
{
	uint32_t at = choice->stale_count;

	if (candidate->fresh ||
	    (!candidate->target->probing &&
		request->now_us - candidate->target->probed_us < FRESH_US))
		return;
	while (at > 0 &&
	       is_better(candidate, &choice->stale[at - 1], request->tie)) {
		if (at < BL_PROBES_MAX)
			choice->stale[at] = choice->stale[at - 1];
		at--;
	}
	if (at < BL_PROBES_MAX)
		choice->stale[at] = *candidate;
	if (choice->stale_count < BL_PROBES_MAX)
		choice->stale_count++;
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
		if (near && is_better(&candidate, &choice->near, request->tie))
			choice->near = candidate;
		if (!near && is_better(&candidate, &choice->far, request->tie))
			choice->far = candidate;
		if (near)
			add_stale(choice, &candidate, request);
	}
}

static bool
is_fast(const struct candidate *candidate, int64_t now_us)
{
	const struct bl_target *target = candidate->target;

	return target != NULL && candidate->fresh && !candidate->full &&
	       bl_slowness(target, now_us) <= FAST_ENOUGH &&
	       (bl_busy(target, now_us) + 1) / target->slots <= KNEE_SHARE;
}

static void
ask(const struct choice *choice, struct bl_placement *out)
{
	uint32_t i;

	out->verdict = BL_ASK;
	out->reason = "probing";
	for (i = 0; i < choice->stale_count; i++)
		out->probes[out->probe_count++] = choice->stale[i].target;
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
	out->retry_after_us = wait_us;
	out->reason = reason;
}

/* Picks among near and far once nothing is left to ask. */
static void
decide(const struct choice *choice, const struct bl_request *request,
    struct bl_placement *out)
{
	const struct candidate *near = &choice->near, *far = &choice->far;
	int64_t aim_us = request->objective_us - request->now_us;
	int64_t left_us = request->deadline_us - request->now_us;
	bool near_open = near->target != NULL && !near->full;
	bool far_open = far->target != NULL && !far->full;

	if (near_open && near->expected_us <= aim_us) {
		pick(near, "near", out);
	} else if (far_open && far->expected_us <= aim_us &&
		   (!near_open || far->cost_us + FAR_GAIN_US < near->cost_us)) {
		pick(far, "far_in_time", out);
	} else if (near_open && near->expected_us <= left_us) {
		pick(near, "near_late", out);
	} else if (near->target != NULL && request->may_wait &&
		   near->expected_us <= left_us) {
		out->verdict = BL_WAIT;
		out->reason = "full";
	} else if (far_open && far->expected_us <= left_us) {
		pick(far, "far_late", out);
	} else {
		refuse(choice, request, "no_room", out);
	}
}

void
bl_place(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, struct bl_placement *out)
{
	struct choice choice;

	*out = (struct bl_placement){.verdict = BL_REFUSE};
	survey(topology, pool, request, false, &choice);
	if (choice.known == 0) /* rather one that was refused than none */
		survey(topology, pool, request, true, &choice);
	if (choice.known == 0) {
		refuse(&choice, request, "no_target", out);
		return;
	}
	if (!is_fast(&choice.near, request->now_us)) {
		if (request->asking) {
			out->verdict = BL_ASK;
			return;
		}
		if (request->may_probe && choice.stale_count > 0) {
			ask(&choice, out);
			return;
		}
	}
	decide(&choice, request, out);
}
