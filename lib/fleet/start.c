/*
 * What a node that has just started asks of the store before it hears of other
 * nodes. Load pattern: all nodes of a fleet start again at the same moment,
 * while callers return to them at once. If each node lists the store, the lists
 * share its link and arrive late everywhere, and each call is charged.
 * Replayed by test_fleet: restart of a large region.
 */
#include "fleet.h"

/*
 * A node of this capacity or more lists the store at once: the list takes its
 * link and CPU only a few milliseconds. The others leave that to the leader.
 */
#define QUICK_CAPACITY 5
#define QUICK_READ_SPREAD_US 120000
/* Some round trips, the list of a seed and its transfer to the followers. */
#define FIRST_READ_MIN_US 150000
/* For each step of capacity below QUICK_CAPACITY. */
#define FIRST_READ_CAPACITY_STEP_US 120000
#define FIRST_READ_SPREAD_US 300000

/* Contact takes several round trips on a slow node. */
#define DISCOVERY_FIRST_US 1000000
#define DISCOVERY_INTERVAL_MIN_US 500000
#define DISCOVERY_INTERVAL_MAX_US 60000000

int64_t
fl_first_read_delay_us(uint32_t capacity, uint64_t random)
{
	if (capacity >= QUICK_CAPACITY)
		return (int64_t)(random % QUICK_READ_SPREAD_US);
	return FIRST_READ_MIN_US +
	       (QUICK_CAPACITY - capacity) * FIRST_READ_CAPACITY_STEP_US +
	       (int64_t)(random % FIRST_READ_SPREAD_US);
}

bool
fl_membership_is_discovery_due(struct fl_membership *membership, int64_t now_us)
{
	if (membership->next_discovery_us == 0)
		membership->next_discovery_us =
		    membership->started_us + DISCOVERY_FIRST_US;
	if (fl_membership_count_alive(membership, now_us) > 1) {
		membership->discovery_interval_us = DISCOVERY_INTERVAL_MIN_US;
		membership->next_discovery_us =
		    now_us + DISCOVERY_INTERVAL_MIN_US;
		return false;
	}
	if (now_us < membership->next_discovery_us)
		return false;
	if (membership->discovery_interval_us < DISCOVERY_INTERVAL_MIN_US)
		membership->discovery_interval_us = DISCOVERY_INTERVAL_MIN_US;
	membership->next_discovery_us =
	    now_us + membership->discovery_interval_us;
	if (membership->discovery_interval_us < DISCOVERY_INTERVAL_MAX_US)
		membership->discovery_interval_us *= 2;
	return true;
}
