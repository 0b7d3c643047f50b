/*
 * Which node of a large region sends the store's updates to this one. In each
 * data centre the nodes form a tree in the order of their ranks: the first one
 * follows the leader, each other one a node that ranks before it. So an update
 * crosses to each data centre once, and no node sends it to more than a few.
 * Since a node only follows one that ranks before it, there are no circles,
 * whatever the nodes know of each other.
 */
#include <stdlib.h>
#include <string.h>

#include "roster.h"

/* By then a node that has started hears the others of its region. */
#define TOLD_US 4000000

uint32_t
fl_membership_told_nodes(const struct fl_membership *membership, int64_t now_us)
{
	return membership->told_nodes >= FL_LARGE_REGION_NODES &&
		       now_us - membership->started_us < TOLD_US
		   ? membership->told_nodes
		   : 0;
}

bool
fl_membership_is_large(const struct fl_membership *membership, int64_t now_us)
{
	return fl_membership_count_alive(membership, now_us) >=
		   FL_LARGE_REGION_NODES ||
	       fl_membership_told_nodes(membership, now_us) > 0;
}

bool
fl_membership_may_relay(const struct fl_membership *membership,
    const struct fl_node *node, int64_t now_us)
{
	return fl_node_is_near(membership, node) &&
	       (node->features & FL_FEATURE_RELAYS) != 0 && !node->stopping &&
	       !node->current && now_us >= node->avoid_until_us &&
	       fl_node_is_alive(node, now_us) &&
	       fl_node_ranks_before(node, &membership->self);
}

static int
compare_ranks(const void *a, const void *b)
{
	const struct fl_node *const *x = a, *const *y = b;

	return fl_node_ranks_before(*x, *y) ? -1 : 1;
}

const struct fl_node *
fl_membership_find_source(const struct fl_membership *membership,
    const struct fl_node *leader, int64_t now_us)
{
	const struct fl_node *before[FL_NODES_MAX];
	uint32_t i, count = 0;

	if (membership->watching ||
	    (membership->self.features & FL_FEATURE_RELAYS) == 0 ||
	    !fl_membership_is_large(membership, now_us))
		return leader;
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (fl_membership_may_relay(membership, node, now_us))
			before[count++] = node;
	}
	if (count == 0)
		return leader;
	qsort(before, count, sizeof(before[0]), compare_ranks);
	return before[(count - 1) / FL_RELAY_FOLLOWERS];
}
