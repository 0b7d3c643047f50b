/*
 * Tells nodes of the region the list of voters. Heartbeats name the list that
 * their sender votes by; a node that lacks it asks for it.
 */
#include "fleet_internal.h"

static bool
is_used(const struct fleet *fleet)
{
	return (fleet->membership.self.features & FL_FEATURE_VOTERS) != 0;
}

static struct fl_frame
voters_frame(const struct fleet *fleet)
{
	const struct fl_membership *membership = &fleet->membership;

	return (struct fl_frame){
	    .type = FL_FRAME_VOTERS,
	    .as.voters = {.is_fresh = fleet->voters_read,
		.list = membership->voters},
	};
}

static void
send_request(struct fleet *fleet, const struct sockaddr_in *to)
{
	struct fl_frame frame = {.type = FL_FRAME_VOTERS_REQUEST};

	fl_send_datagram(fleet, &frame, to);
}

/* Voters that are new here; the others get heartbeats. */
static void
greet_unheard(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->membership.count; i++) {
		const struct fl_node *node = &fleet->membership.nodes[i];

		if (node->lists != 0 && node->heard_us == 0)
			fl_send_hello(fleet, &node->fleet);
	}
}

/* The node that wrote the list learns it first, and tells the others. */
static void
settle(struct fleet *fleet)
{
	struct fl_membership *membership = &fleet->membership;

	if (!fl_membership_settle_voters(membership, cs_now_us()))
		return;
	membership->self.knows_settled = true;
	if (fleet->voters_read)
		fl_send_heartbeats(fleet);
}

void
fl_hear_voters(struct fleet *fleet, uint64_t id, bool knows_settled,
    const struct sockaddr_in *from)
{
	struct fl_membership *membership = &fleet->membership;

	if (!is_used(fleet) || id < membership->voters.id || id == 0)
		return;
	if (id > membership->voters.id) {
		fl_membership_told_voters(membership, id, cs_now_us());
		send_request(fleet, from);
		return;
	}
	if (knows_settled) {
		fl_membership_told_settled(membership, id);
		membership->self.knows_settled = true;
	}
	settle(fleet);
}

void
fl_voters_read(struct fleet *fleet, int64_t asked_us)
{
	fleet->voters_read = true;
	fl_membership_read_voters(&fleet->membership, asked_us);
}

void
fl_voters_not_read(struct fleet *fleet)
{
	fleet->voters_read = false;
}

void
fl_take_voters(struct fleet *fleet, const struct fl_voters *voters)
{
	struct fl_membership *membership = &fleet->membership;
	bool voted = membership->self.voters_id != 0;
	struct fl_frame frame;
	bool is_news;

	fleet->voters_read = true;
	is_news =
	    fl_membership_take_voters(membership, voters, true, cs_now_us());
	if (!voted)
		fl_send_heartbeats(fleet);
	if (!is_news)
		return;
	membership->self.knows_settled = false;
	settle(fleet); /* this node may be the only one */
	greet_unheard(fleet);
	frame = voters_frame(fleet);
	fl_send_to_nodes(fleet, &frame, true);
}

void
fl_request_voters(struct fleet *fleet)
{
	const struct fl_membership *membership = &fleet->membership;

	if (is_used(fleet) && fl_membership_uses_voters(membership) &&
	    !fl_membership_may_vote(membership) && fleet->has_leader)
		send_request(fleet, &fleet->leader_address);
}

static void
take_list(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	struct fl_membership *membership = &fleet->membership;
	uint64_t vote = membership->self.voters_id;

	if (fl_membership_take_voters(membership, &frame->as.voters.list,
		frame->as.voters.is_fresh, cs_now_us()))
		membership->self.knows_settled = false;
	/* The writer of the next list waits until most know this one. */
	if (vote == 0 && membership->self.voters_id != 0)
		fl_send_heartbeats(fleet); /* to all: it counts from now on */
	else if (membership->self.voters_id != vote)
		fl_send_heartbeat(fleet, from);
}

void
fl_on_voters_frame(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	struct fl_frame reply;

	if (!is_used(fleet) ||
	    !fl_membership_is_same_region(&fleet->membership, from))
		return;
	if (frame->type == FL_FRAME_VOTERS) {
		take_list(fleet, frame, from);
	} else if (fleet->membership.voters.id != 0) {
		reply = voters_frame(fleet);
		fl_send_datagram(fleet, &reply, from);
	}
}
