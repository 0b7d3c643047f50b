/*
 * voters: the nodes of a region of which most must be heard by a node that
 * gives out what the region has in common. The store holds the list; each list
 * replaces the one before it, and is written by a node that heard most of that
 * one. A list takes over in two steps, as in joint consensus (Raft, section 6):
 * until most of the list before know it, a majority of both lists is needed. So
 * two parts of a region that cannot reach each other never both have one.
 *
 * A node that has lost its memory must not vote by an older list than before:
 * after its start it votes only once it has the list from the store, from a
 * node that watches the store, or from all others of the list.
 *
 * Pure logic: the time is an argument.
 */
#ifndef FL_VOTERS_H
#define FL_VOTERS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define FL_VOTERS_MAX 1024

/* In which of the two lists a node is. */
#define FL_VOTER_NOW 1U
#define FL_VOTER_BEFORE 2U

/* A node, by its fleet address: a later process there is the same voter. */
struct fl_voter {
	uint32_t host; /* in host byte order, as the port */
	uint16_t port;
	uint8_t lists; /* FL_VOTER_* */
};

struct sockaddr_in fl_voter_address(const struct fl_voter *voter);

/*
 * Identifiers are ordered. They count lists, with the store's era above, as
 * os_revision() does: a store that comes back from an older copy may give out
 * the same count again.
 */
struct fl_voters {
	uint64_t id;	    /* 0: there is no list */
	uint64_t before_id; /* of the list that this one replaces */
	uint32_t count;
	struct fl_voter voters[FL_VOTERS_MAX]; /* by address */
};

/* fl_voters_count(voters): those of the present list. */
uint32_t fl_voters_count(const struct fl_voters *voters);

struct fl_census;
struct fl_membership;
struct fl_node;

/* fl_voters_find(voters, fleet): returns the node's lists; 0: it is in none. */
uint8_t fl_voters_find(
    const struct fl_voters *voters, const struct sockaddr_in *fleet);
/*
 * fl_voters_add(voters, fleet, lists): adds a node, or to its lists. Returns
 * CS_E_FULL if there are FL_VOTERS_MAX.
 */
int fl_voters_add(
    struct fl_voters *voters, const struct sockaddr_in *fleet, uint8_t lists);

/*
 * fl_membership_take_voters(membership, voters, is_fresh, now_us): takes a list
 * unless it is older than the known one. is_fresh: it comes from the store, or
 * from a node that watches it. Returns true if it is news.
 */
bool fl_membership_take_voters(struct fl_membership *membership,
    const struct fl_voters *voters, bool is_fresh, int64_t now_us);
/* fl_membership_told_voters(...): another node knows the list with this id. */
void fl_membership_told_voters(
    struct fl_membership *membership, uint64_t id, int64_t now_us);
/*
 * fl_membership_read_voters(membership, asked_us): the store, asked at that
 * time, has no newer list than the known one: what was told before is void.
 */
void fl_membership_read_voters(
    struct fl_membership *membership, int64_t asked_us);
/*
 * fl_membership_uses_voters(membership): a list is known here or elsewhere.
 * Before there is one, nodes are counted as they were in earlier builds.
 */
bool fl_membership_uses_voters(const struct fl_membership *membership);
/*
 * fl_membership_all_have_voters(membership, now_us): this node and all live
 * ones of the region use such lists; earlier builds do not.
 */
bool fl_membership_all_have_voters(
    const struct fl_membership *membership, int64_t now_us);
/* fl_membership_lacks_voters(membership): a newer list is known elsewhere. */
bool fl_membership_lacks_voters(const struct fl_membership *membership);
/* fl_membership_may_vote(membership): what it votes by is no older list. */
bool fl_membership_may_vote(const struct fl_membership *membership);
/*
 * fl_membership_forget_votes(membership): after a pause of this node, until
 * others tell by which list they vote now.
 */
void fl_membership_forget_votes(struct fl_membership *membership);
/* fl_membership_check_vote(membership, now_us): to be called on every tick. */
void fl_membership_check_vote(struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_settle_voters(membership, now_us): returns true when most of
 * both lists have come to know the present one: from then on only that counts.
 */
bool fl_membership_settle_voters(
    struct fl_membership *membership, int64_t now_us);
/* fl_membership_told_settled(membership, id): another node found it so. */
void fl_membership_told_settled(struct fl_membership *membership, uint64_t id);
/*
 * fl_membership_hears_voters(membership, now_us): this node hears most of the
 * list, and of the one before while that still counts. Whether it is in the
 * list itself does not matter.
 */
bool fl_membership_hears_voters(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_may_decide(membership, now_us): the same, and this node votes
 * and lacks no newer list.
 */
bool fl_membership_may_decide(
    const struct fl_membership *membership, int64_t now_us);
/* fl_membership_count_voters(membership, now_us): for the present list. */
struct fl_census fl_membership_count_voters(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_is_voter(membership, node): of the present list; true without
 * one.
 */
bool fl_membership_is_voter(
    const struct fl_membership *membership, const struct fl_node *node);

/*
 * fl_voters_next_id(voters, era): of the list that replaces this one, which is
 * written in this era of the store.
 */
uint64_t fl_voters_next_id(const struct fl_voters *voters, uint64_t era);

/* Why a list is to be written. */
enum fl_voters_change {
	FL_VOTERS_NO_CHANGE,
	FL_VOTERS_FIRST,   /* the region has none, or none of it is left */
	FL_VOTERS_CHANGED, /* nodes have joined, stopped or fallen silent */
	FL_VOTERS_FORCED,  /* most of the list before have ended */
	FL_VOTERS_KEPT, /* as it is: a store from an older copy lacks it, or it
			   is settled and the one before need not count */
	FL_VOTERS_NONE, /* all of them stop */
};
const char *fl_voters_change_text(enum fl_voters_change change);

/*
 * fl_membership_propose_voters(membership, stored_id, era, now_us, out): for
 * the node that watches the store: returns whether a list is to be written
 * there, and which. stored_id: of the latest list in the store; 0: it has none.
 * It must be created under its id, so that of two writers one fails.
 */
enum fl_voters_change fl_membership_propose_voters(
    const struct fl_membership *membership, uint64_t stored_id, uint64_t era,
    int64_t now_us, struct fl_voters *out);
/*
 * fl_membership_misses_voters(membership, now_us): a node of the list is
 * silent: another part of the region may write the next one.
 */
bool fl_membership_misses_voters(
    const struct fl_membership *membership, int64_t now_us);

#endif
