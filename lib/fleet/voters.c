#include <stdlib.h>
#include <string.h>

#include "voters_internal.h"

/*
 * A list that others have told of arrives within a few round trips. Without it
 * this node gives out nothing after that.
 */
#define LACKING_MAX_US 1000000
#define UNHEARD_ENDED_US 1000000

struct sockaddr_in
fl_voter_address(const struct fl_voter *voter)
{
	return (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(voter->host),
	    .sin_port = htons(voter->port),
	};
}

static struct fl_voter
make_voter(const struct sockaddr_in *fleet, uint8_t lists)
{
	return (struct fl_voter){.host = ntohl(fleet->sin_addr.s_addr),
	    .port = ntohs(fleet->sin_port),
	    .lists = lists};
}

static bool
is_before(const struct fl_voter *a, const struct fl_voter *b)
{
	return a->host != b->host ? a->host < b->host : a->port < b->port;
}

/* Returns the index of the first one that is not before the voter. */
static uint32_t
find_place(const struct fl_voters *voters, const struct fl_voter *voter)
{
	uint32_t low = 0, high = voters->count, middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (is_before(&voters->voters[middle], voter))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool
is_at(const struct fl_voters *voters, uint32_t at, const struct fl_voter *voter)
{
	return at < voters->count && !is_before(voter, &voters->voters[at]);
}

uint8_t
fl_voters_find(const struct fl_voters *voters, const struct sockaddr_in *fleet)
{
	struct fl_voter voter = make_voter(fleet, 0);
	uint32_t at = find_place(voters, &voter);

	return is_at(voters, at, &voter) ? voters->voters[at].lists : 0;
}

int
fl_voters_add(
    struct fl_voters *voters, const struct sockaddr_in *fleet, uint8_t lists)
{
	struct fl_voter voter = make_voter(fleet, lists);
	uint32_t at = find_place(voters, &voter);

	if (is_at(voters, at, &voter)) {
		voters->voters[at].lists |= lists;
		return CS_OK;
	}
	if (voters->count == FL_VOTERS_MAX)
		return CS_E_FULL;
	memmove(&voters->voters[at + 1], &voters->voters[at],
	    (voters->count - at) * sizeof(voters->voters[0]));
	voters->voters[at] = voter;
	voters->count++;
	return CS_OK;
}

void
fl_voters_drop(
    struct fl_voters *voters, const struct sockaddr_in *fleet, uint8_t lists)
{
	struct fl_voter voter = make_voter(fleet, 0);
	uint32_t at = find_place(voters, &voter);

	if (!is_at(voters, at, &voter))
		return;
	voters->voters[at].lists &= (uint8_t)~lists;
	if (voters->voters[at].lists != 0)
		return;
	voters->count--;
	memmove(&voters->voters[at], &voters->voters[at + 1],
	    (voters->count - at) * sizeof(voters->voters[0]));
}

uint64_t
fl_voters_next_id(const struct fl_voters *voters, uint64_t era)
{
	uint64_t id = os_revision(era, os_revision_number(voters->id) + 1);

	/* A store may cease to name its era. */
	return id > voters->id ? id : voters->id + 1;
}

static uint64_t
own_vote(const struct fl_membership *membership)
{
	return membership->may_vote ? membership->voters.id : 0;
}

/* Sets what is known of each node by the list. */
static void
apply_list(struct fl_membership *membership, int64_t now_us)
{
	const struct fl_voters *voters = &membership->voters;
	struct fl_node unheard = {
	    .region = membership->self.region, .same_region = true};
	uint32_t i;

	membership->self.lists =
	    fl_voters_find(voters, &membership->self.fleet);
	membership->self.voters_id = own_vote(membership);
	for (i = 0; i < voters->count; i++) {
		unheard.fleet = fl_voter_address(&voters->voters[i]);
		fl_membership_add(membership, &unheard);
	}
	for (i = 0; i < membership->count; i++) {
		struct fl_node *node = &membership->nodes[i];

		node->lists = fl_voters_find(voters, &node->fleet);
		if (node->lists == 0)
			node->listed_us = 0;
		else if (node->listed_us == 0)
			node->listed_us = now_us;
	}
}

bool
fl_membership_take_voters(struct fl_membership *membership,
    const struct fl_voters *voters, bool is_fresh, int64_t now_us)
{
	bool is_news = voters->id > membership->voters.id;

	if (voters->id == 0 || voters->id < membership->voters.id)
		return false;
	if (is_news && (membership->voters.id != 0 || !is_fresh))
		membership->voters_news_us = now_us;
	if (is_news)
		membership->voters = *voters;
	membership->may_vote |= is_fresh;
	apply_list(membership, now_us);
	if (is_news)
		cs_log(CS_LOG_VOTERS_KNOWN,
		    "list=%llx before=%llx voters=%u in=%d votes=%d",
		    (unsigned long long)voters->id,
		    (unsigned long long)voters->before_id,
		    fl_voters_count(voters),
		    fl_membership_is_voter(membership, &membership->self),
		    membership->may_vote);
	return is_news;
}

void
fl_membership_told_voters(
    struct fl_membership *membership, uint64_t id, int64_t now_us)
{
	if (id <= membership->voters.id)
		return;
	if (membership->told_voters_id <= membership->voters.id)
		membership->told_voters_us = now_us;
	if (id > membership->told_voters_id)
		membership->told_voters_id = id;
}

void
fl_membership_read_voters(struct fl_membership *membership, int64_t asked_us)
{
	if (membership->told_voters_us < asked_us)
		membership->told_voters_id = 0;
}

bool
fl_membership_all_have_voters(
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i;

	if ((membership->self.features & FL_FEATURE_VOTERS) == 0)
		return false;
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (node->same_region && !node->stopping &&
		    fl_node_is_alive(node, now_us) &&
		    (node->features & FL_FEATURE_VOTERS) == 0)
			return false;
	}
	return true;
}

bool
fl_membership_uses_voters(const struct fl_membership *membership)
{
	return membership->voters.id != 0 || membership->told_voters_id != 0;
}

bool
fl_membership_lacks_voters(const struct fl_membership *membership)
{
	return membership->told_voters_id > membership->voters.id;
}

bool
fl_membership_may_vote(const struct fl_membership *membership)
{
	return membership->may_vote;
}

void
fl_membership_forget_votes(struct fl_membership *membership)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++)
		membership->nodes[i].voters_id = 0;
	membership->forgot_votes = true;
}

bool
fl_membership_is_voter(
    const struct fl_membership *membership, const struct fl_node *node)
{
	return membership->voters.id == 0 || (node->lists & FL_VOTER_NOW) != 0;
}

/* Since when a node that is not live is silent, as this one knows. */
static int64_t
silent_since_us(
    const struct fl_membership *membership, const struct fl_node *node)
{
	return node->heard_us != 0 ? node->heard_us : membership->started_us;
}

bool
fl_voter_is_gone(const struct fl_membership *membership,
    const struct fl_node *node, int64_t now_us)
{
	return now_us - silent_since_us(membership, node) >=
	       FL_SHARING_RETENTION_US;
}

/*
 * A node that was heard may only be cut off by something that refuses: then the
 * others write their list before. After a restart that has been so for long.
 */
bool
fl_voter_has_ended(const struct fl_node *node, int64_t now_us)
{
	return node->heard_us == 0
		   ? fl_node_refuses(node, UNHEARD_ENDED_US, now_us)
		   : fl_node_has_ended(node, now_us);
}

/* The table of nodes may have no room for all voters: they count as silent. */
static uint32_t
count_listed(const struct fl_voters *voters, uint8_t list)
{
	uint32_t i, count = 0;

	for (i = 0; i < voters->count; i++)
		count += (voters->voters[i].lists & list) != 0;
	return count;
}

uint32_t
fl_voters_count(const struct fl_voters *voters)
{
	return count_listed(voters, FL_VOTER_NOW);
}

/* By the list with this id or a later one; 0: it need not vote. */
static bool
votes_by(const struct fl_node *node, uint64_t known_id)
{
	return node->voters_id >= known_id;
}

/*
 * By which list, at least, nodes must vote to count. While the first list of a
 * region is new no other can follow it, and nothing is known of votes.
 */
uint64_t
fl_counting_id(const struct fl_membership *membership)
{
	if (membership->voters.before_id != 0)
		return membership->voters.before_id;
	return membership->settled_id == membership->voters.id ||
		       membership->forgot_votes
		   ? 1
		   : 0;
}

struct fl_vote_count
fl_count_voters(const struct fl_membership *membership, uint8_t list,
    uint64_t known_id, int64_t now_us)
{
	const struct fl_node *self = &membership->self;
	struct fl_vote_count count = {
	    .all = count_listed(&membership->voters, list)};
	uint32_t i, heard = 0;

	if ((self->lists & list) != 0) {
		heard++;
		count.all -= self->stopping;
		count.alive += !self->stopping && votes_by(self, known_id);
	}
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if ((node->lists & list) == 0)
			continue;
		if (node->stopping) {
			heard++;
			count.all--;
		} else if (fl_node_is_alive(node, now_us)) {
			heard++;
			count.alive += votes_by(node, known_id);
		} else if (fl_voter_is_gone(membership, node, now_us)) {
			count.gone++;
		} else if (fl_voter_has_ended(node, now_us)) {
			count.ended++;
		}
	}
	count.silent = count_listed(&membership->voters, list) - heard;
	return count;
}

bool
fl_is_most(const struct fl_vote_count *count)
{
	return 2 * count->alive > count->all;
}

bool
fl_voters_are_settled(const struct fl_membership *membership)
{
	return membership->settled_id == membership->voters.id;
}

bool
fl_membership_settle_voters(struct fl_membership *membership, int64_t now_us)
{
	uint64_t id = membership->voters.id;
	struct fl_vote_count before, now;

	if (fl_voters_are_settled(membership))
		return false;
	before = fl_count_voters(membership, FL_VOTER_BEFORE, id, now_us);
	now = fl_count_voters(membership, FL_VOTER_NOW, id, now_us);
	if (!fl_is_most(&before) || !fl_is_most(&now))
		return false;
	membership->settled_id = id;
	return true;
}

void
fl_membership_told_settled(struct fl_membership *membership, uint64_t id)
{
	if (id != 0 && id == membership->voters.id)
		membership->settled_id = id;
}

bool
fl_membership_hears_voters(
    const struct fl_membership *membership, int64_t now_us)
{
	uint64_t id = fl_counting_id(membership);
	struct fl_vote_count now =
	    fl_count_voters(membership, FL_VOTER_NOW, id, now_us);
	struct fl_vote_count before;

	if (fl_voters_are_settled(membership) || !fl_is_most(&now))
		return fl_is_most(&now);
	before = fl_count_voters(membership, FL_VOTER_BEFORE, id, now_us);
	return fl_is_most(&before);
}

bool
fl_membership_may_decide(const struct fl_membership *membership, int64_t now_us)
{
	if (fl_membership_lacks_voters(membership) &&
	    now_us - membership->told_voters_us > LACKING_MAX_US)
		return false;
	return membership->may_vote &&
	       fl_membership_hears_voters(membership, now_us);
}

struct fl_census
fl_membership_count_voters(
    const struct fl_membership *membership, int64_t now_us)
{
	struct fl_vote_count count = fl_count_voters(
	    membership, FL_VOTER_NOW, fl_counting_id(membership), now_us);
	struct fl_census census = {.alive = count.alive, .in_use = count.all};
	uint32_t i;

	for (i = 0; i < membership->count; i++)
		census.unheard +=
		    (membership->nodes[i].lists & FL_VOTER_NOW) != 0 &&
		    membership->nodes[i].heard_us == 0;
	census.silent = count.silent - census.unheard;
	return census;
}

void
fl_membership_check_vote(struct fl_membership *membership, int64_t now_us)
{
	const struct fl_voters *voters = &membership->voters;
	struct fl_vote_count others;

	if (membership->may_vote || voters->id == 0 ||
	    fl_membership_lacks_voters(membership))
		return;
	/* All others are here, so there is no other part of the region. */
	others = fl_count_voters(membership, FL_VOTER_NOW, voters->id, now_us);
	others.alive += (membership->self.lists & FL_VOTER_NOW) != 0;
	if (others.alive < others.all || others.all < 2)
		return;
	membership->may_vote = true;
	membership->self.voters_id = own_vote(membership);
}
