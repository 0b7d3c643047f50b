#ifndef FL_FLEET_INTERNAL_H
#define FL_FLEET_INTERNAL_H

#include "link.h"

struct fleet {
	struct fl_params params;
	struct fl_membership membership;
	uv_udp_t udp;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct fl_link *followers;   /* VMs that get news here */
	struct fl_link *leader_link; /* the VM that gives news */
	struct sockaddr_in leader_address;
	enum fl_role role;
	uv_timer_t fast_timer;
	uint32_t fast_ticks;
	uint64_t peer_rotation;
	uint64_t ticks;
	uint64_t heartbeat_rounds; /* of heartbeats */

	struct fl_counters counters;
	uint32_t ticks_behind; /* ticks for which the leader knew more */
};

/* heartbeat.c */
void fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to);
/* fl_send_hello(fleet, to): introduces this VM and asks the other to do so. */
void fl_send_hello(struct fleet *fleet, const struct sockaddr_in *to);
/*
 * fl_reply_hello(fleet, member, known): introduces this VM to one that
 * asked, and names others of its region if it knows fewer than there are.
 */
void fl_reply_hello(
    struct fleet *fleet, const struct fl_member *node, uint32_t known_nodes);
void fl_send_hello_to_seeds(struct fleet *fleet);
void fl_send_heartbeats(struct fleet *fleet);
/* fl_contact_peers(fleet, frame): those that another VM named. */
void fl_contact_peers(struct fleet *fleet, const struct fl_frame *frame);

/* news.c */
/* fl_revision_sum(fleet): the sum of the revisions known here. */
uint64_t fl_revision_sum(const struct fleet *fleet);
void fl_follow_leader(struct fleet *fleet, const struct fl_member *leader);
/* fl_check_leader_link(fleet, leader): a link that no longer brings its news.
 */
void fl_check_leader_link(struct fleet *fleet, const struct fl_member *leader);
void fl_on_accept(uv_stream_t *listener, int status);

#endif
