/*
 * Which list of voters follows the present one, and when it is to be written.
 */
#include <stdlib.h>
#include <string.h>

#include "voters_internal.h"

/* For the first list: the nodes of a region start within this time. */
#define FIRST_LIST_AFTER_US 1500000
/* Several nodes that join at a time cost one list. */
#define JOINING_US 500000
/*
 * A node that has just started, or has a new list, greets the voters that it
 * does not know. A greeting that got lost is repeated within 800 ms.
 */
#define UNHEARD_SILENT_US 2500000
#define UNHEARD_THIN_US 1200000
/* Another part, which wrote a list, may have lost its leader by that. */
#define FORCED_AFTER_NEWS_US 3000000
/*
 * A silent node leaves the list after SILENT_US, so that lost heartbeats do not
 * cost it its place: sooner if two more would take the majority, as soon as it
 * counts as silent if one more would, and whenever a list is written anyway.
 */
#define SILENT_US 3000000
#define SILENT_THIN_US 2400000

const char *
fl_voters_change_text(enum fl_voters_change change)
{
	switch (change) {
	case FL_VOTERS_NO_CHANGE:
		return "none";
	case FL_VOTERS_FIRST:
		return "first";
	case FL_VOTERS_CHANGED:
		return "changed";
	case FL_VOTERS_FORCED:
		return "forced";
	case FL_VOTERS_KEPT:
		return "kept";
	case FL_VOTERS_NONE:
		return "all_stop";
	}
	return "unknown";
}

/* Copies the present list, also as the one before. */
static void
begin_list(
    const struct fl_membership *membership, uint64_t era, struct fl_voters *out)
{
	const struct fl_voters *voters = &membership->voters;
	uint32_t i;

	*out = (struct fl_voters){
	    .before_id = voters->id, .id = fl_voters_next_id(voters, era)};
	for (i = 0; i < voters->count; i++) {
		if ((voters->voters[i].lists & FL_VOTER_NOW) == 0)
			continue;
		out->voters[out->count] = voters->voters[i];
		out->voters[out->count++].lists |= FL_VOTER_BEFORE;
	}
}

/* How many more nodes may fall silent without the majority getting lost. */
static int64_t
spare_nodes(const struct fl_membership *membership, int64_t now_us)
{
	struct fl_vote_count count = fl_count_voters(
	    membership, FL_VOTER_NOW, fl_counting_id(membership), now_us);

	return ((int64_t)2 * count.alive - count.all - 1) / 2;
}

/* For how long a silent node stays in the list. */
static int64_t
silent_max_us(int64_t spare)
{
	return spare < 1 ? 0 : spare < 2 ? SILENT_THIN_US : SILENT_US;
}

static int64_t
unheard_max_us(int64_t spare)
{
	return spare < 1 ? UNHEARD_THIN_US : UNHEARD_SILENT_US;
}

/* A voter that is to leave the list, as far as this node knows. */
static bool
is_leaving(const struct fl_node *node, int64_t spare, int64_t now_us)
{
	if ((node->lists & FL_VOTER_NOW) == 0)
		return false;
	if (node->stopping || fl_node_is_alive(node, now_us))
		return node->stopping;
	if (node->heard_us == 0)
		return now_us - node->listed_us >= unheard_max_us(spare);
	return now_us - node->heard_us >= silent_max_us(spare);
}

static uint32_t
count_leaving(
    const struct fl_membership *membership, int64_t spare, int64_t now_us)
{
	uint32_t i, count = 0;

	for (i = 0; i < membership->count; i++)
		count += is_leaving(&membership->nodes[i], spare, now_us);
	return count;
}

/* Whether some voters run is not known yet: others know the list better. */
static bool
awaits_unheard(const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if ((node->lists & FL_VOTER_NOW) != 0 && !node->stopping &&
		    node->heard_us == 0 && !is_leaving(node, 0, now_us))
			return true;
	}
	return false;
}

/*
 * If a list is written, all that are silent leave it. Those that stop never
 * vote again: they do not count in the list before either, also for nodes that
 * do not know that.
 */
static void
drop_leaving(const struct fl_membership *membership, int64_t now_us,
    struct fl_voters *out)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (!is_leaving(node, 0, now_us))
			continue;
		fl_voters_drop(out, &node->fleet,
		    node->stopping ? FL_VOTER_NOW | FL_VOTER_BEFORE
				   : FL_VOTER_NOW);
	}
}

static bool
may_join(const struct fl_node *node, int64_t now_us)
{
	return node->same_region && !node->stopping &&
	       (node->features & FL_FEATURE_VOTERS) != 0 &&
	       fl_node_is_alive(node, now_us);
}

/* Adds the live nodes to the list. Returns how many are new. */
static uint32_t
add_live(const struct fl_membership *membership, int64_t now_us,
    struct fl_voters *out)
{
	uint32_t i, added = 0;

	if (!membership->self.stopping) {
		added += (membership->self.lists & FL_VOTER_NOW) == 0;
		fl_voters_add(out, &membership->self.fleet, FL_VOTER_NOW);
	}
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (!may_join(node, now_us))
			continue;
		added += (node->lists & FL_VOTER_NOW) == 0;
		fl_voters_add(out, &node->fleet, FL_VOTER_NOW);
	}
	return added;
}

static bool
joined_lately(const struct fl_membership *membership, int64_t now_us)
{
	return now_us - membership->joined_us < JOINING_US;
}

/* The list of live nodes, alone: there are none before. */
static void
begin_anew(const struct fl_membership *membership, uint64_t era, int64_t now_us,
    struct fl_voters *out)
{
	const struct fl_voters *voters = &membership->voters;
	uint32_t i;

	*out = (struct fl_voters){
	    .before_id = voters->id, .id = fl_voters_next_id(voters, era)};
	add_live(membership, now_us, out);
	for (i = 0; i < out->count; i++)
		out->voters[i].lists = FL_VOTER_NOW | FL_VOTER_BEFORE;
}

static enum fl_voters_change
propose_first(const struct fl_membership *membership, uint64_t era,
    int64_t now_us, struct fl_voters *out)
{
	if (now_us - membership->started_us < FIRST_LIST_AFTER_US ||
	    joined_lately(membership, now_us) ||
	    !fl_membership_all_have_voters(membership, now_us) ||
	    !fl_membership_hears_most(membership, now_us))
		return FL_VOTERS_NO_CHANGE;
	begin_anew(membership, era, now_us, out);
	return FL_VOTERS_FIRST;
}

/* This node hears most of those that are left. */
static bool
hears_the_rest(
    const struct fl_membership *membership, uint8_t list, int64_t now_us)
{
	struct fl_vote_count count = fl_count_voters(
	    membership, list, fl_counting_id(membership), now_us);

	count.all -= count.ended + count.gone;
	return fl_is_most(&count);
}

/* All have said that they stop, or are silent for ten minutes. */
static bool
nobody_is_left(
    const struct fl_membership *membership, uint8_t list, int64_t now_us)
{
	struct fl_vote_count count =
	    fl_count_voters(membership, list, 0, now_us);

	return count.all == count.gone;
}

static bool
is_news(int64_t at_us, int64_t now_us)
{
	return at_us != 0 && now_us - at_us < FORCED_AFTER_NEWS_US;
}

/* A list, or a voter, came from another part of the region. */
static bool
has_news(const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		if (membership->nodes[i].lists != 0 &&
		    is_news(membership->nodes[i].returned_us, now_us))
			return true;
	}
	return is_news(membership->voters_news_us, now_us);
}

/*
 * Most of the list have ended, or have been silent for as long as nodes are
 * remembered. If a firewall answers for nodes that are cut off, most of them
 * hear each other, and one of them has written the next list before.
 */
/*
 * All voters stop at a time: the first of them in rank says that there are none
 * any more, so that those that replace them need not wait.
 */
static enum fl_voters_change
propose_none(const struct fl_membership *membership, uint64_t era,
    int64_t now_us, struct fl_voters *out)
{
	const struct fl_voters *voters = &membership->voters;
	uint32_t i;

	if (fl_voters_count(voters) == 0 ||
	    !nobody_is_left(membership, FL_VOTER_NOW, now_us))
		return FL_VOTERS_NO_CHANGE;
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (node->same_region && fl_node_is_alive(node, now_us) &&
		    (!node->stopping ||
			fl_node_ranks_before(node, &membership->self)))
			return FL_VOTERS_NO_CHANGE;
	}
	*out = (struct fl_voters){
	    .before_id = voters->id, .id = fl_voters_next_id(voters, era)};
	return FL_VOTERS_NONE;
}

static enum fl_voters_change
propose_forced(const struct fl_membership *membership, uint64_t era,
    int64_t now_us, struct fl_voters *out)
{
	uint32_t i;

	if (has_news(membership, now_us))
		return FL_VOTERS_NO_CHANGE;
	if (nobody_is_left(membership, FL_VOTER_NOW, now_us) &&
	    nobody_is_left(membership, FL_VOTER_BEFORE, now_us)) {
		begin_anew(membership, era, now_us, out);
		return FL_VOTERS_FIRST;
	}
	if (!hears_the_rest(membership, FL_VOTER_NOW, now_us) ||
	    !hears_the_rest(membership, FL_VOTER_BEFORE, now_us))
		return FL_VOTERS_NO_CHANGE;
	begin_list(membership, era, out);
	drop_leaving(membership, now_us, out);
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (!fl_node_is_alive(node, now_us) &&
		    (fl_voter_has_ended(node, now_us) ||
			fl_voter_is_gone(membership, node, now_us)))
			fl_voters_drop(
			    out, &node->fleet, FL_VOTER_NOW | FL_VOTER_BEFORE);
	}
	add_live(membership, now_us, out);
	return FL_VOTERS_FORCED;
}

/*
 * Some are only in the list before. That the list is settled is known to nobody
 * after all nodes have started again, and then those would count.
 */
static bool
has_left_before(const struct fl_voters *voters)
{
	uint32_t i;

	for (i = 0; i < voters->count; i++) {
		if (voters->voters[i].lists == FL_VOTER_BEFORE)
			return true;
	}
	return false;
}

enum fl_voters_change
fl_membership_propose_voters(const struct fl_membership *membership,
    uint64_t stored_id, uint64_t era, int64_t now_us, struct fl_voters *out)
{
	const struct fl_voters *voters = &membership->voters;
	int64_t spare = spare_nodes(membership, now_us);
	uint32_t leaving, added;

	if (fl_membership_lacks_voters(membership))
		return FL_VOTERS_NO_CHANGE;
	if (membership->self.stopping)
		return propose_none(membership, era, now_us, out);
	if (voters->id == 0)
		return propose_first(membership, era, now_us, out);
	if (!fl_membership_hears_voters(membership, now_us))
		return propose_forced(membership, era, now_us, out);
	if (!fl_voters_are_settled(membership))
		return FL_VOTERS_NO_CHANGE;
	begin_list(membership, era, out);
	leaving = count_leaving(membership, spare, now_us);
	drop_leaving(membership, now_us, out);
	added = add_live(membership, now_us, out);
	if (leaving > 0 ||
	    (added > 0 && !awaits_unheard(membership, now_us) &&
		(spare < 2 || !joined_lately(membership, now_us))))
		return FL_VOTERS_CHANGED;
	if (stored_id >= voters->id && !has_left_before(voters))
		return FL_VOTERS_NO_CHANGE;
	return FL_VOTERS_KEPT;
}

bool
fl_membership_misses_voters(
    const struct fl_membership *membership, int64_t now_us)
{
	return membership->voters.id != 0 &&
	       (fl_count_voters(membership, FL_VOTER_NOW, 0, now_us).silent >
		       0 ||
		   !fl_membership_hears_voters(membership, now_us));
}
