/*
 * Selects the step that follows the end of one attempt at a target. After some
 * failures it is unknown whether the request ran, so only a request that
 * certainly did not run, or that is idempotent, is sent again.
 */
#include "balance_internal.h"

/* The fractional part of the golden ratio times 2^32. */
#define GOLDEN_RATIO_32 UINT64_C(2654435769)

/*
 * Noisy neighbours slow a target down by four to five times for 300 ms, which
 * the placement did not know if it began later.
 */
#define OVERDUE_FACTOR 4

int64_t
bl_overdue_us(int64_t expected_us)
{
	return OVERDUE_FACTOR * expected_us;
}

bool
bl_may_have_dropped(const struct bl_target *target, int64_t sent_us)
{
	uint32_t busy = target->load.running + target->load.waiting;

	return target->load_at_us != 0 &&
	       (busy >= target->slots ||
		   (target->load_at_us > sent_us && busy < target->in_flight));
}

const char *
bl_outcome_text(enum bl_outcome outcome)
{
	switch (outcome) {
	case BL_SERVED:
		return "served";
	case BL_FAILED:
		return "failed";
	case BL_SHED:
		return "shed";
	case BL_MISPLACED:
		return "misplaced";
	case BL_UNREACHED:
		return "unreached";
	case BL_LOST:
		return "lost";
	case BL_GARBLED:
		return "garbled";
	case BL_CANCELLED:
		return "cancelled";
	}
	return "unknown";
}

bool
bl_was_delivered(enum bl_outcome outcome)
{
	return outcome != BL_UNREACHED;
}

bool
bl_may_have_run(enum bl_outcome outcome)
{
	switch (outcome) {
	case BL_SERVED:
	case BL_FAILED:
	case BL_LOST:
	case BL_GARBLED:
	case BL_CANCELLED:
		return true;
	case BL_SHED:
	case BL_MISPLACED:
	case BL_UNREACHED:
		return false;
	}
	return true;
}

enum bl_step
bl_next_step(enum bl_outcome outcome, enum rt_kind kind, bool attempts_left)
{
	bool idempotent = kind == RT_IDEMPOTENT;

	switch (outcome) {
	case BL_SERVED:
		return BL_RELAY;
	case BL_FAILED:
		return idempotent && attempts_left ? BL_RETRY : BL_RELAY;
	case BL_SHED:
	case BL_MISPLACED:
	case BL_UNREACHED:
		return attempts_left ? BL_RETRY : BL_FAIL_NOT_RUN;
	case BL_LOST:
	case BL_GARBLED:
		return idempotent && attempts_left ? BL_RETRY : BL_FAIL_UNKNOWN;
	case BL_CANCELLED:
		return BL_FAIL_UNKNOWN;
	}
	return BL_FAIL_UNKNOWN;
}

enum bl_step
bl_step_without_retry(enum bl_outcome outcome)
{
	return bl_next_step(outcome, RT_NON_IDEMPOTENT, false);
}

uint32_t
bl_pick_backend(const struct rt_route *route, uint64_t count)
{
	uint64_t total = 0, at;
	uint32_t i;

	for (i = 0; i < route->backend_count; i++)
		total += route->backends[i].weight;
	/*
	 * The fractional parts of successive multiples of the golden ratio are
	 * evenly distributed over any run of consecutive requests.
	 */
	at = ((count * GOLDEN_RATIO_32 & UINT32_MAX) * total) >> 32;
	for (i = 0; i + 1 < route->backend_count; i++) {
		if (at < route->backends[i].weight)
			return i;
		at -= route->backends[i].weight;
	}
	return i;
}
