/*
 * The membership and the choice of the leader. The leader is the live current
 * node that ranks first. While no node is current, the nodes attempt to watch
 * the store one after another, in the order of their ranks. This handles many
 * nodes that start at once, paused and cut-off nodes, and a store that serves
 * only some of the nodes.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/* At least two heartbeats, due every 800 ms, are missing. */
#define SILENCE_TIMEOUT_US 2000000
/* Heartbeats are due every 800 ms: it was paused, or one was lost. */
#define LATE_US 1000000
/* Ages that are too small by a pause do no harm after the longest silence. */
#define LATE_LASTS_US (SILENCE_TIMEOUT_US + 100000)
/* The same for a node that is current; its are due every 400 ms. */
#define CURRENT_SILENCE_TIMEOUT_US 1300000
/* Far longer than the interval of ticks: this process was paused. */
#define LATE_TICK_US 1000000
/*
 * At the start nodes learn of each other before one watches the store: for
 * DISCOVERY_US after the first contact, or for DISCOVERY_ALONE_US after the
 * start if there is no contact.
 */
#define DISCOVERY_US 250000
#define DISCOVERY_ALONE_US 500000
/* A seed waits only for the answers of nodes that run already. */
#define DISCOVERY_SEED_US 40000

/*
 * The time between the attempts of nodes of consecutive ranks; listing the
 * store takes half of it. After QUICK_TURNS failed attempts the store is
 * probably down for all nodes, so turns become longer and a long outage costs
 * few requests.
 */
#define TURN_US 120000
#define QUICK_TURNS 8
#define SLOW_TURN_US 300000
/*
 * A node that is not current after this time, enough for three slow answers,
 * lets others try.
 */
#define ATTEMPT_TIMEOUT_US 900000
/* Two nodes may watch the store this long before the later in rank stops. */
#define LEADER_OVERLAP_US 2000000

void
fl_membership_init(struct fl_membership *membership, const struct fl_node *self,
    int64_t now_us)
{
	*membership = (struct fl_membership){.self = *self};
	membership->self.same_region = true;
	membership->started_us = membership->last_tick_us = now_us;
	membership->no_leader_since_us = now_us;
}

void
fl_membership_free(struct fl_membership *membership)
{
	free(membership->nodes);
	membership->nodes = NULL;
	membership->count = membership->capacity = 0;
}

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

struct fl_node *
fl_membership_find(
    struct fl_membership *membership, const struct sockaddr_in *fleet)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		if (same_address(&membership->nodes[i].fleet, fleet))
			return &membership->nodes[i];
	}
	return NULL;
}

/*
 * The store lists all nodes that there ever were. One that was never heard and
 * does not vote makes room for one that is.
 */
static struct fl_node *
replace_unheard(struct fl_membership *membership, const struct fl_node *record)
{
	uint32_t i;

	if (membership->count < FL_NODES_MAX ||
	    same_address(&membership->self.fleet, &record->fleet))
		return NULL;
	for (i = 0; i < membership->count; i++) {
		struct fl_node *node = &membership->nodes[i];

		if (node->heard_us != 0 || node->lists != 0)
			continue;
		*node = *record;
		node->heard_us = 0;
		node->lists =
		    fl_voters_find(&membership->voters, &record->fleet);
		return node;
	}
	return NULL;
}

struct fl_node *
fl_membership_add(
    struct fl_membership *membership, const struct fl_node *record)
{
	struct fl_node *node = fl_membership_find(membership, &record->fleet),
		       *grown;
	uint32_t capacity;

	if (node != NULL ||
	    same_address(&membership->self.fleet, &record->fleet))
		return node;
	if (membership->count == FL_NODES_MAX)
		return fl_voters_find(&membership->voters, &record->fleet) != 0
			   ? replace_unheard(membership, record)
			   : NULL;
	if (membership->count == membership->capacity) {
		capacity =
		    membership->capacity == 0 ? 16 : membership->capacity * 2;
		grown = realloc(membership->nodes, capacity * sizeof(*grown));
		if (grown == NULL)
			return NULL;
		membership->nodes = grown;
		membership->capacity = capacity;
	}
	node = &membership->nodes[membership->count++];
	*node = *record;
	node->heard_us = 0;
	node->lists = fl_voters_find(&membership->voters, &node->fleet);
	return node;
}

void
fl_node_set_heard(struct fl_node *node, int64_t heard_us)
{
	if (node->heard_us != 0 && heard_us - node->heard_us > LATE_US) {
		node->late_us = heard_us - node->heard_us;
		node->late_until_us = heard_us + LATE_LASTS_US;
	}
	if (node->heard_us != 0 &&
	    heard_us - node->heard_us > SILENCE_TIMEOUT_US)
		node->returned_us = heard_us;
	node->heard_us = heard_us;
	node->refused_since_us = node->refused_us = 0;
}

/* Takes what a node itself sent. */
static void
set_proven(struct fl_node *node, int64_t now_us)
{
	uint32_t i;

	fl_node_set_heard(node, now_us);
	for (i = 0; i < FL_ROSTERS; i++)
		node->proven_us[i] = now_us;
}

bool
fl_membership_on_hello(struct fl_membership *membership,
    const struct fl_node *record, int64_t now_us)
{
	struct fl_node *node = fl_membership_add(membership, record);
	struct fl_node known;
	bool is_new;

	if (node == NULL)
		node = replace_unheard(membership, record);
	if (node == NULL)
		return false;
	is_new = node->boot != record->boot || node->heard_us == 0;
	membership->node_returned = !is_new && !fl_node_is_alive(node, now_us);
	if (membership->first_contact_us == 0 && record->same_region)
		membership->first_contact_us = now_us;

	known = *node;
	*node = *record;
	node->lists = known.lists;
	node->listed_us = known.listed_us;
	node->avoid_until_us = known.avoid_until_us;
	node->heartbeats_until_us = known.heartbeats_until_us;
	node->heard_us = 0;
	if (is_new && record->same_region)
		membership->joined_us = now_us;
	if (!is_new) {
		node->heard_us = known.heard_us;
		node->late_us = known.late_us;
		node->late_until_us = known.late_until_us;
	}
	set_proven(node, now_us);
	return is_new;
}

bool
fl_membership_on_heartbeat(struct fl_membership *membership,
    const struct sockaddr_in *from, const struct fl_frame *heartbeat,
    int64_t now_us)
{
	struct fl_node *node = fl_membership_find(membership, from);

	if (node == NULL || node->boot != heartbeat->as.heartbeat.boot ||
	    node->heard_us == 0)
		return false;
	membership->status_changed =
	    node->current != heartbeat->as.heartbeat.current ||
	    node->stopping != heartbeat->as.heartbeat.stopping;
	membership->node_returned = !fl_node_is_alive(node, now_us);
	node->ready = heartbeat->as.heartbeat.ready;

	node->stopping = heartbeat->as.heartbeat.stopping;
	node->current = heartbeat->as.heartbeat.current;
	node->revision_sum = heartbeat->as.heartbeat.revision_sum;
	node->tells_era = heartbeat->as.heartbeat.tells_era;
	node->listed = heartbeat->as.heartbeat.listed;
	node->voters_id = heartbeat->as.heartbeat.voters_id;
	set_proven(node, now_us);
	return true;
}

bool
fl_node_is_alive(const struct fl_node *node, int64_t now_us)
{
	int64_t timeout_us =
	    node->current ? CURRENT_SILENCE_TIMEOUT_US : SILENCE_TIMEOUT_US;

	return node->heard_us != 0 && now_us - node->heard_us < timeout_us;
}

bool
fl_node_ranks_before(const struct fl_node *a, const struct fl_node *b)
{
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	return cs_hash(a->name, strlen(a->name)) <
	       cs_hash(b->name, strlen(b->name));
}

/*
 * Returns the first in rank of the other nodes of the region that are live and
 * current, or NULL if there is none. A node that does not tell the store's era
 * may have missed that revisions went back: it is not followed.
 */
static const struct fl_node *
find_leader(const struct fl_membership *membership, int64_t now_us)
{
	const struct fl_node *best = NULL;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (node->same_region && node->current && node->tells_era &&
		    !node->stopping && fl_node_is_alive(node, now_us) &&
		    (best == NULL || fl_node_ranks_before(node, best)))
			best = node;
	}
	return best;
}

/*
 * Returns the rank of this node among the live ones of the region, from 0, and
 * sets *live to their number.
 */
static uint32_t
own_rank(const struct fl_membership *membership, int64_t now_us, uint32_t *live)
{
	uint32_t i, before = 0;

	*live = 1;
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (!node->same_region || node->stopping ||
		    !fl_node_is_alive(node, now_us))
			continue;
		(*live)++;
		before += fl_node_ranks_before(node, &membership->self);
	}
	return before;
}

/*
 * Returns the number of the turn after so long without a current node. In turn
 * 0 no node attempts to watch: the last leader may only be listing the store
 * again.
 */
static uint64_t
turn_number(int64_t no_leader_us)
{
	if (no_leader_us < QUICK_TURNS * TURN_US)
		return (uint64_t)(no_leader_us / TURN_US);
	return QUICK_TURNS + (uint64_t)((no_leader_us - QUICK_TURNS * TURN_US) /
					SLOW_TURN_US);
}

/*
 * No node is current: the live nodes attempt to watch the store in turn, until
 * one succeeds.
 */
static enum fl_role
take_turns(struct fl_membership *membership, int64_t now_us)
{
	uint32_t live, own = own_rank(membership, now_us, &live);
	uint64_t turn = turn_number(now_us - membership->no_leader_since_us);

	if (membership->watching && live > 1 &&
	    now_us - membership->attempt_us > ATTEMPT_TIMEOUT_US)
		membership->watching = false;
	if (!membership->watching && turn > 0 && (turn - 1) % live == own &&
	    (turn != membership->attempt_turn || membership->attempt_us == 0)) {
		membership->watching = true;
		membership->attempt_us = now_us;
		membership->attempt_turn = turn;
	}
	return membership->watching ? FL_ROLE_WATCH_STORE : FL_ROLE_UNDECIDED;
}

static void
reset_silence(struct fl_membership *membership, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		if (membership->nodes[i].heard_us != 0)
			membership->nodes[i].heard_us = now_us;
	}
	fl_membership_forget_votes(membership);
}

/*
 * Another node is current: this one stops watching after LEADER_OVERLAP_US,
 * unless it is current as well and ranks before the other.
 */
static enum fl_role
defer_to_leader(struct fl_membership *membership, const struct fl_node *leader,
    int64_t now_us)
{
	membership->no_leader_since_us = membership->attempt_us = now_us;
	membership->attempt_turn = UINT64_MAX;
	if (!membership->watching)
		return FL_ROLE_FOLLOW_LEADER;
	if (membership->self.current &&
	    fl_node_ranks_before(&membership->self, leader)) {
		membership->outranked_since_us = 0;
		return FL_ROLE_WATCH_STORE;
	}
	if (membership->outranked_since_us == 0)
		membership->outranked_since_us = now_us;
	if (now_us - membership->outranked_since_us < LEADER_OVERLAP_US)
		return FL_ROLE_WATCH_STORE;
	membership->outranked_since_us = 0;
	membership->watching = false;
	return FL_ROLE_FOLLOW_LEADER;
}

static bool
is_discovery_over(const struct fl_membership *membership, int64_t now_us)
{
	if (membership->first_contact_us != 0 &&
	    now_us - membership->first_contact_us >= DISCOVERY_US)
		return true;
	return now_us - membership->started_us >= DISCOVERY_ALONE_US;
}

/* Returns true once, for a seed that has heard of no leader since its start. */
static bool
is_seed_starting(const struct fl_membership *membership, int64_t now_us)
{
	return membership->is_seed && membership->attempt_us == 0 &&
	       now_us - membership->started_us >= DISCOVERY_SEED_US;
}

enum fl_role
fl_membership_tick(struct fl_membership *membership, int64_t now_us,
    const struct fl_node **leader)
{
	if (now_us - membership->last_tick_us > LATE_TICK_US)
		reset_silence(membership, now_us);
	membership->last_tick_us = now_us;
	fl_membership_check_vote(membership, now_us);
	*leader = find_leader(membership, now_us);
	if (*leader != NULL)
		return defer_to_leader(membership, *leader, now_us);
	membership->outranked_since_us = 0;
	if (is_seed_starting(membership, now_us)) {
		membership->watching = true;
		membership->attempt_us = now_us;
		membership->attempt_turn = 0;
	}
	if (!is_discovery_over(membership, now_us)) {
		/* Turns are counted from here. */
		membership->no_leader_since_us = now_us;
		return membership->watching ? FL_ROLE_WATCH_STORE
					    : FL_ROLE_UNDECIDED;
	}
	if (membership->watching && membership->self.current) {
		membership->no_leader_since_us = membership->attempt_us =
		    now_us;
		return FL_ROLE_WATCH_STORE;
	}
	return take_turns(membership, now_us);
}

uint32_t
fl_membership_count_alive(
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i, count = 1;

	for (i = 0; i < membership->count; i++)
		count += membership->nodes[i].same_region &&
			 fl_node_is_alive(&membership->nodes[i], now_us);
	return count;
}

enum fl_listed
fl_membership_find_listed(
    const struct fl_membership *membership, int64_t now_us)
{
	enum fl_listed best = FL_LISTED_UNKNOWN;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (node->same_region && fl_node_is_alive(node, now_us) &&
		    node->listed > best)
			best = (enum fl_listed)node->listed;
	}
	return best;
}

uint32_t
fl_membership_count_sharing(
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i, count = 1;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		count += node->same_region && node->heard_us != 0 &&
			 now_us - node->heard_us < FL_SHARING_RETENTION_US;
	}
	return count;
}

uint32_t
fl_membership_count_ready(
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i, count = 0;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		count += node->same_region && node->ready && !node->stopping &&
			 fl_node_is_alive(node, now_us);
	}
	return count;
}

bool
fl_membership_is_same_region(
    const struct fl_membership *membership, const struct sockaddr_in *fleet)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		if (same_address(&membership->nodes[i].fleet, fleet))
			return membership->nodes[i].same_region;
	}
	return false;
}

static uint64_t
rendezvous_weight(uint64_t key, const struct fl_node *node)
{
	return cs_hash_pair(key, cs_hash(node->name, strlen(node->name)));
}

const struct fl_node *
fl_membership_find_owner(
    const struct fl_membership *membership, uint64_t key, int64_t now_us)
{
	const struct fl_node *self = &membership->self;
	uint64_t best_weight =
	    self->stopping || !fl_membership_is_voter(membership, self)
		? 0
		: rendezvous_weight(key, self);
	const struct fl_node *best = NULL;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];
		uint64_t weight;

		if (!node->same_region || node->stopping ||
		    !fl_membership_is_voter(membership, node) ||
		    !fl_node_is_alive(node, now_us))
			continue;
		weight = rendezvous_weight(key, node);
		if (weight > best_weight) {
			best = node;
			best_weight = weight;
		}
	}
	return best;
}

uint32_t
fl_membership_rank(
    const struct fl_membership *membership, uint64_t key, int64_t now_us)
{
	uint64_t own_weight = rendezvous_weight(key, &membership->self);
	uint32_t i, before = 0;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		before += node->same_region && !node->stopping &&
			  fl_node_is_alive(node, now_us) &&
			  rendezvous_weight(key, node) > own_weight;
	}
	return before;
}

const struct fl_node *
fl_membership_find_relay(
    const struct fl_membership *membership, uint64_t region, uint64_t turn)
{
	uint32_t i, first;

	if (membership->count == 0)
		return NULL;
	first = (uint32_t)(turn % membership->count);
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node =
		    &membership->nodes[(first + i) % membership->count];

		if (node->region == region && node->heard_us != 0)
			return node;
	}
	return NULL;
}
