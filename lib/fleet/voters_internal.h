/* How votes are counted, shared by voters.c and voters_next.c. */
#ifndef FL_VOTERS_INTERNAL_H
#define FL_VOTERS_INTERNAL_H

#include "fleet.h"

/* Of one of the two lists, without those that stop: they never vote again. */
struct fl_vote_count {
	uint32_t all;
	uint32_t alive;	 /* and know the list with a given id */
	uint32_t gone;	 /* silent for as long as nodes are remembered */
	uint32_t ended;	 /* their process does not run */
	uint32_t silent; /* all that are not live */
};

/* fl_voter_is_gone(...): silent for FL_SHARING_RETENTION_US. */
bool fl_voter_is_gone(const struct fl_membership *membership,
    const struct fl_node *node, int64_t now_us);
/* fl_voter_has_ended(node, now_us): its address refuses connections. */
bool fl_voter_has_ended(const struct fl_node *node, int64_t now_us);
/* fl_counting_id(membership): by which list a node must vote to count. */
uint64_t fl_counting_id(const struct fl_membership *membership);
/*
 * fl_count_voters(membership, list, known_id, now_us): counts FL_VOTER_NOW or
 * FL_VOTER_BEFORE; nodes are alive that vote by the list known_id or later.
 */
struct fl_vote_count fl_count_voters(const struct fl_membership *membership,
    uint8_t list, uint64_t known_id, int64_t now_us);
bool fl_is_most(const struct fl_vote_count *count);
/* fl_voters_are_settled(membership): see fl_membership_settle_voters(). */
bool fl_voters_are_settled(const struct fl_membership *membership);
/* fl_voters_drop(voters, fleet, lists): takes a node out of lists. */
void fl_voters_drop(
    struct fl_voters *voters, const struct sockaddr_in *fleet, uint8_t lists);

#endif
