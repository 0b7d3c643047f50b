/* The targets that may serve a request, with what place.c decides by. */
#ifndef BL_SELECT_H
#define BL_SELECT_H

#include "balance_internal.h"

/*
 * From this share of busy slots on, many targets slow down, by about this
 * factor.
 */
#define BL_KNEE_SHARE 0.8
#define BL_KNEE_SLOWDOWN 1.6
/* Targets whose scores differ by at most this much are equal. */
#define BL_SCORE_TIE_GAP 0.01
#define BL_RETRY_AFTER_MAX_US 2000000

struct bl_candidate {
	struct bl_target *target;
	int64_t expected_us;
	double score; /* 1 at best */
	bool full;
	/* So few requests that one more does not delay the others. */
	bool idle;
	bool fresh;
};

struct bl_stale_list {
	struct bl_candidate entries[BL_PROBES_MAX];
	uint32_t count;
};

struct bl_selection {
	/* Best of the targets with room. */
	struct bl_candidate best;
	/*
	 * Best of the region, with or without room. Best of all if the request
	 * must not reach any data centre of the region.
	 */
	struct bl_candidate best_nearby;
	/*
	 * Targets without a fresh load report, best first: those of the
	 * nearest allowed data centre, and the others of the region.
	 */
	struct bl_stale_list nearest, region;
	int64_t nearest_rtt_us; /* of those in other data centres */
	/*
	 * Targets that are not draining, not tried before and not in backoff.
	 */
	uint32_t usable_count;
	int64_t min_expected_us;
	/*
	 * Targets to which this VM must not send now, since they paused it or
	 * named a limit for which there is no permit: the best of those whose
	 * permits may be asked for, the permits that are expected, and the time
	 * until one of the targets may be used.
	 */
	struct bl_candidate best_to_ask;
	/* Best of the targets with a limit for which there is a permit. */
	struct bl_candidate best_permitted;
	uint32_t held_back_count;
	uint32_t limited_count;
	uint32_t expected_permits;
	int64_t min_wait_us;
	int64_t min_limited_expected_us;
};

/*
 * bl_select_targets(topology, pool, request, include_backoff, selection): looks
 * at all targets of the pool that may serve the request.
 */
void bl_select_targets(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, bool include_backoff,
    struct bl_selection *selection);
/* bl_is_better(a, b, tie_breaker): a is preferred to b. */
bool bl_is_better(const struct bl_candidate *a, const struct bl_candidate *b,
    uint64_t tie_breaker);
/* bl_blocked_data_centres(): the set whose targets must not get the request. */
uint64_t bl_blocked_data_centres(
    const struct bl_topology *topology, const struct bl_request *request);

#endif
