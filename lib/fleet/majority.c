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
	       !fl_node_has_ended(node, now_us) &&
	       !is_replaced(membership, node, now_us);
}

/* Without a list of voters. */
static struct fl_census
count_in_use(const struct fl_membership *membership, int64_t now_us)
{
	struct fl_census census = {.alive = 1, .in_use = 1};
	uint32_t i, told;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (!node->same_region)
			continue;
		if (fl_node_is_alive(node, now_us))
			census.alive++;
		else if (!may_be_in_use(membership, node, now_us))
			continue;
		else if (node->heard_us == 0)
			census.unheard++;
		else
			census.silent++;
		census.in_use++;
	}
	/* It has just started and does not hear the rest of them yet. */
	told = fl_membership_told_nodes(membership, now_us);
	if (told > census.in_use)
		census.in_use = told;
	return census;
}

struct fl_census
fl_membership_census(const struct fl_membership *membership, int64_t now_us)
{
	return membership->voters.id == 0
		   ? count_in_use(membership, now_us)
		   : fl_membership_count_voters(membership, now_us);
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
	uint32_t sharing = fl_membership_count_sharing(membership, now_us);
	uint32_t in_use;

	if (is_unaware(membership))
		return 0;
	if (membership->voters.id != 0)
		return sharing +
		       fl_membership_count_voters(membership, now_us).unheard;
	in_use = count_in_use(membership, now_us).in_use;
	return in_use > sharing ? in_use : sharing;
}

bool
fl_membership_hears_most(const struct fl_membership *membership, int64_t now_us)
{
	struct fl_census census = count_in_use(membership, now_us);

	return !is_unaware(membership) && 2 * census.alive > census.in_use;
}

bool
fl_membership_has_majority(
    const struct fl_membership *membership, int64_t now_us)
{
	if (fl_membership_uses_voters(membership))
		return fl_membership_is_voter(membership, &membership->self) &&
		       fl_membership_may_decide(membership, now_us);
	/* After a restart there may be a list that it does not know yet. */
	return (membership->may_lack_voters ||
		   !fl_membership_all_have_voters(membership, now_us)) &&
	       fl_membership_hears_most(membership, now_us);
}

/* Checks begin while so many more nodes may fall silent. */
#define SPARE_NODES 2
#define CHECK_INTERVAL_US 1000000
#define CHECK_REFUSED_INTERVAL_US 200000 /* of a node that refuses */

/* Returns true if a is the better one to check; b may be NULL. */
static bool
is_checked_before(const struct fl_node *a, const struct fl_node *b)
{
	/* What is known to be refused must be confirmed again and again. */
	if (b == NULL || (a->refused_us != 0) != (b->refused_us != 0))
		return b == NULL || a->refused_us != 0;
	return a->checked_us < b->checked_us;
}

static bool
is_check_due(const struct fl_node *node, int64_t now_us)
{
	return now_us - node->checked_us >= (node->refused_us != 0
						    ? CHECK_REFUSED_INTERVAL_US
						    : CHECK_INTERVAL_US);
}

static bool
is_checked(const struct fl_membership *membership, const struct fl_node *node,
    int64_t now_us)
{
	if (!node->same_region || fl_node_is_alive(node, now_us) ||
	    !is_check_due(node, now_us))
		return false;
	if (membership->voters.id != 0)
		return node->lists != 0 && !node->stopping;
	return fl_node_has_ended(node, now_us) ||
	       may_be_in_use(membership, node, now_us);
}

static struct fl_node *
next_to_check(struct fl_membership *membership, int64_t now_us)
{
	struct fl_node *best = NULL;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		struct fl_node *node = &membership->nodes[i];

		if (is_checked(membership, node, now_us) &&
		    is_checked_before(node, best))
			best = node;
	}
	return best;
}

uint32_t
fl_membership_pick_checks(struct fl_membership *membership, int64_t now_us,
    struct sockaddr_in out[FL_CHECKS_MAX])
{
	struct fl_census census = fl_membership_census(membership, now_us);
	uint32_t i, ended = 0, needed, count;
	struct fl_node *node;

	/* Those that have ended are not in use, unless they are voters. */
	for (i = 0; membership->voters.id == 0 && i < membership->count; i++)
		ended += membership->nodes[i].same_region &&
			 fl_node_has_ended(&membership->nodes[i], now_us);
	/* Nodes that have to count as ended for a majority with spare nodes. */
	needed = census.in_use + ended + 2 * SPARE_NODES;
	if (needed < 2 * census.alive)
		return 0;
	needed -= 2 * census.alive - 1;
	if (needed > FL_CHECKS_MAX)
		needed = FL_CHECKS_MAX;
	for (count = 0; count < needed; count++) {
		node = next_to_check(membership, now_us);
		if (node == NULL)
			break;
		node->checked_us = now_us;
		out[count] = node->fleet;
	}
	return count;
}
