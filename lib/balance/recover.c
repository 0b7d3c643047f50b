/*
 * Whether a call waits at a VM that has just started and does not know its
 * configuration and targets yet. Load pattern: all VMs have lost power and
 * start again, and all callers return at once; each of them repeats a refused
 * call only once or twice, so a refusal in the first second is final for many.
 * Where all other VMs of the region are ready, the call is refused at once and
 * one of them serves it; while others start as well, its repeat could meet one
 * of these. Replayed by test_restart.
 */
#include "balance_internal.h"

/* The objects arrive within this time unless the store is unreachable. */
#define START_EXPECTED_US 3000000
/* A held call leaves its caller this share of the time for another VM. */
#define TIME_LEFT_DIVISOR 2
#define RETRY_AFTER_OTHERS_READY_US 20000
#define RETRY_AFTER_HELD_US 100000
/* Without the store and without other VMs nothing is expected soon. */
#define RETRY_AFTER_UNREACHABLE_US 1000000

void
bl_hold_at_start(const struct bl_start *start, struct bl_hold *out)
{
	int64_t limit_us = start->process_start_us + START_EXPECTED_US;
	int64_t until_us =
	    start->received_us +
	    (start->deadline_us - start->received_us) / TIME_LEFT_DIVISOR;

	*out = (struct bl_hold){.hold = false};
	if (start->live_nodes > 0 && start->ready_nodes == start->live_nodes) {
		out->retry_after_us = RETRY_AFTER_OTHERS_READY_US;
	} else if (start->now_us >= limit_us) {
		out->retry_after_us = RETRY_AFTER_UNREACHABLE_US;
	} else if (start->now_us >= until_us) {
		out->retry_after_us = RETRY_AFTER_HELD_US;
	} else {
		out->hold = true;
		out->until_us = until_us < limit_us ? until_us : limit_us;
	}
}
