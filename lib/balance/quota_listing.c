/*
 * Which regions have VMs, as the store lists them. The settings may name data
 * centres of regions that have none; their part of each quota is divided among
 * the others. A VM that runs there all the same, unknown to the others, must
 * not spend that part at the same time:
 *
 * - An owner leaves a region out while it has a list, requested since it became
 *   the owner and at most BL_QUOTA_LISTING_US ago, that has a VM of its own
 *   region and none of the other, and has not heard from there.
 * - The owner in a region has no share before the store lists a VM of its
 *   region. It has one then once the owner in each other region has heard it,
 *   or has no VM listed either, or BL_QUOTA_SETTLE_US have passed.
 *
 * Of two regions that list each other, the list that was read later has both,
 * so they never leave out each other. An owner that leaves out a region and was
 * not the one that heard it before would have a list from after its
 * registration, which has it. In a store that came back from an older copy
 * registrations may be missing: its lists leave out no region.
 */
#include <stddef.h>

#include "quota.h"

/* A list is requested again after these, doubled without an answer. */
#define REQUEST_AGAIN_US 200000
#define REQUEST_DOUBLINGS_MAX 4
/* While a region has no VM; twice within BL_QUOTA_LISTING_US. */
#define RENEW_US 2000000

bool
bl_quota_is_list_due(struct bl_quota_listing *listing, bool some_unheard,
    int64_t owner_since_us, int64_t now_us)
{
	bool is_late = listing->own_since_us == INT64_MAX ||
		       owner_since_us > listing->at_us;
	uint32_t doublings = listing->unanswered < REQUEST_DOUBLINGS_MAX
				 ? listing->unanswered
				 : REQUEST_DOUBLINGS_MAX;
	int64_t wait_us = (int64_t)REQUEST_AGAIN_US << doublings;

	if (listing->own_since_us != INT64_MAX &&
	    (!some_unheard || owner_since_us == 0))
		return false;
	if (!is_late && wait_us < RENEW_US)
		wait_us = RENEW_US;
	if (listing->requested_us != 0 &&
	    now_us - listing->requested_us < wait_us)
		return false;
	listing->requested_us = now_us;
	listing->unanswered++;
	return true;
}

void
bl_quota_listed(struct bl_quota_listing *listing,
    const struct bl_quota_params *params, const struct bl_quota_list *list,
    int64_t now_us)
{
	uint32_t all = (UINT32_C(1) << params->region_count) - 1;
	bool has_own = (list->regions & UINT32_C(1) << params->own_region) != 0;

	listing->unanswered = 0;
	if (has_own && listing->own_since_us == INT64_MAX)
		listing->own_since_us = now_us;
	if (list->requested_us < listing->at_us)
		return;
	if (has_own && !list->may_lack) {
		listing->empty = all & ~list->regions;
		listing->at_us = list->requested_us;
	} else {
		listing->empty = 0;
	}
}

void
bl_quota_told_listed(
    struct bl_quota_listing *listing, bool settled, int64_t now_us)
{
	if (settled)
		listing->own_since_us = 0;
	else if (listing->own_since_us == INT64_MAX)
		listing->own_since_us = now_us;
}

bool
bl_quota_is_settled(const struct bl_quota_listing *listing, int64_t now_us)
{
	return listing->own_since_us != INT64_MAX &&
	       (listing->own_since_us == 0 ||
		   now_us - listing->own_since_us >= BL_QUOTA_SETTLE_US);
}
