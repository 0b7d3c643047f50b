#ifndef FL_FLEET_INTERNAL_H
#define FL_FLEET_INTERNAL_H

#include "link.h"

struct fleet {
	struct fl_params params;
	struct fl_members members;
	uv_udp_t udp;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct fl_link *listeners; /* VMs that get news here */
	struct fl_link *source;	   /* the VM that gives news */
	struct sockaddr_in source_address;
	enum fl_role role;
	uv_timer_t early;
	uint32_t early_ticks;
	uint64_t greetings;
	uint64_t ticks;
	uint64_t rounds; /* of heartbeats */

	struct fl_counters counters;
	uint32_t behind; /* ticks for which the leader knew more */
};

/* heartbeat.c */
void fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to);
/* fl_greet(fleet, to): introduces this VM and asks the other to do so. */
void fl_greet(struct fleet *fleet, const struct sockaddr_in *to);
/*
 * fl_answer_greeting(fleet, member, known): introduces this VM to one that
 * asked, and names others of its region if it knows fewer than there are.
 */
void fl_answer_greeting(
    struct fleet *fleet, const struct fl_member *member, uint32_t known);
void fl_greet_seeds(struct fleet *fleet);
void fl_send_heartbeats(struct fleet *fleet);
/* fl_greet_peers(fleet, frame): those that another VM named. */
void fl_greet_peers(struct fleet *fleet, const struct fl_frame *frame);

/* news.c */
/* fl_known_news(fleet): the sum of the revisions known here. */
uint64_t fl_known_news(const struct fleet *fleet);
void fl_listen_to(struct fleet *fleet, const struct fl_member *leader);
/* fl_check_source(fleet, leader): a link that no longer brings its news. */
void fl_check_source(struct fleet *fleet, const struct fl_member *leader);
void fl_on_accept(uv_stream_t *listener, int status);

#endif
