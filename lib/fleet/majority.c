/*
 * Whether this node hears most nodes of its region: at most one of two parts
 * that cannot reach each other does, and gives out what all have in common.
 */
#include <string.h>

#include "fleet.h"

/* Another process has the name of this silent node. */
static bool
is_replaced(const struct fl_membership *membership, const struct fl_node *node,
    int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *other = &membership->nodes[i];

		if (other != node && other->same_region &&
		    fl_node_is_alive(other, now_us) &&
		    strcmp(other->name, node->name) == 0)
			return true;
	}
	return strcmp(membership->self.name, node->name) == 0;
}

/*
 * The node may be running, and out of touch with this one. One that has just
 * started may not have heard the others yet. The store also lists nodes that
 * are long gone, which count for no longer than silent ones.
 */
static bool
may_be_in_use(const struct fl_membership *membership,
    const struct fl_node *node, int64_t now_us)
{
	int64_t since_us =
	    node->heard_us == 0 ? membership->started_us : node->heard_us;

	return now_us - since_us < FL_SHARING_RETENTION_US && !node->stopping &&
	       !is_replaced(membership, node, now_us);
}

/*
 * Sets *alive to the live nodes of the region, this one included, and returns
 * the number of those that may be in use.
 */
static uint32_t
count_in_use(
    const struct fl_membership *membership, int64_t now_us, uint32_t *alive)
{
	uint32_t i, in_use = 1, told;

	*alive = 1;
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (!node->same_region)
			continue;
		if (fl_node_is_alive(node, now_us)) {
			(*alive)++;
			in_use++;
		} else {
			in_use += may_be_in_use(membership, node, now_us);
		}
	}
	/* It has just started and does not hear the rest of them yet. */
	told = fl_membership_told_nodes(membership, now_us);
	return in_use > told ? in_use : told;
}

/*
 * This node knows no other of its region, and the store has not told it yet
 * whether there are any: it may have started while it was cut off.
 */
static bool
is_unaware(const struct fl_membership *membership)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		if (membership->nodes[i].same_region)
			return false;
	}
	return !membership->has_list;
}

uint32_t
fl_membership_count_spending(
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t alive, in_use = count_in_use(membership, now_us, &alive);
	uint32_t sharing = fl_membership_count_sharing(membership, now_us);

	if (is_unaware(membership))
		return 0;
	return in_use > sharing ? in_use : sharing;
}

bool
fl_membership_has_majority(
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t alive, in_use = count_in_use(membership, now_us, &alive);

	return !is_unaware(membership) && 2 * alive > in_use;
}
