/* The state of a fleet, shared by fleet.c, heartbeat.c and replication.c. */
#ifndef FL_FLEET_INTERNAL_H
#define FL_FLEET_INTERNAL_H

#include "link.h"
#include "roster.h"

/*
 * The encoded snapshot of a kind: many followers need it at once when a region
 * starts again, and encoding it takes far longer than sending it.
 */
struct fl_snapshot {
	uint64_t revision; /* 0: none */
	struct fl_shared_frame *frame;
};

#define FL_REPORTERS 3 /* of a data centre */
#define FL_FAR_REPORTERS_MAX 64

/* Who reports, as of the last tick; see reports.c. */
struct fl_reporters {
	bool is_reporter;
	uint32_t near_count, far_count;
	const struct fl_node *near[FL_REPORTERS]; /* in this data centre */
	const struct fl_node *far[FL_FAR_REPORTERS_MAX];
};

struct fleet {
	struct fl_params params;
	struct fl_membership membership;
	uv_udp_t udp;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct fl_link *followers;   /* nodes that get updates from this one */
	struct fl_link *source_link; /* to the node that sends updates */
	struct sockaddr_in source_address; /* the leader or a relay */
	/* The source should be this one, since then; port 0: it is right. */
	struct sockaddr_in next_source;
	int64_t next_source_us;
	int64_t direct_until_us; /* follows the leader, not a relay */
	bool has_leader;
	struct sockaddr_in leader_address;
	enum fl_role role;
	uv_timer_t fast_timer;
	uint32_t fast_ticks;
	struct fl_check *checks; /* pending, see ended.c */
	uint64_t peer_rotation;
	uint64_t ticks;
	uint64_t heartbeat_rounds;

	/* Nodes asked for proofs, in other regions and in this one. */
	uint32_t proof_turns[2];

	struct fl_reporters reporters;	       /* valid during a tick only */
	struct fl_roster *rosters[FL_ROSTERS]; /* NULL: never a reporter */
	struct fl_views *views;		       /* NULL: no report yet */

	struct fl_counters counters;
	bool voters_read;      /* see fl_voters_read() */
	int64_t confirmed_us;  /* see fl_confirmed_us() */
	uint32_t ticks_behind; /* in a row, in which the leader knew more */
	struct fl_snapshot snapshots[OS_KINDS_MAX];
};

/* fleet.c */
/*
 * fl_send_to_nodes(fleet, frame, same_region): sends a frame to the known nodes
 * of this region, or to those of others.
 */
void fl_send_to_nodes(
    struct fleet *fleet, const struct fl_frame *frame, bool same_region);
/*
 * fl_on_heartbeat(fleet, frame, from): returns false if no hello of the
 * sender's process has arrived; it gets one.
 */
bool fl_on_heartbeat(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from);

/* ended.c */
/* fl_close_checks(fleet): ends those that are pending. */
void fl_close_checks(struct fleet *fleet);

/* counters.c */
/* fl_count_sent(fleet, type, node, bytes): node is NULL if it is not known. */
void fl_count_sent(struct fleet *fleet, enum fl_frame_type type,
    const struct fl_node *node, size_t bytes);

/* heartbeat.c */
void fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to);
/* fl_send_heartbeat(fleet, to): sends one out of turn. */
void fl_send_heartbeat(struct fleet *fleet, const struct sockaddr_in *to);
/*
 * fl_send_hello(fleet, to): sends this node's record and asks for the other's.
 */
void fl_send_hello(struct fleet *fleet, const struct sockaddr_in *to);
/*
 * fl_reply_hello(fleet, node, known_nodes): answers a hello with this node's
 * record, and with the addresses of other nodes of the sender's region if this
 * node has heard more of them than it.
 */
void fl_reply_hello(
    struct fleet *fleet, const struct fl_node *node, uint32_t known_nodes);
void fl_send_hello_to_seeds(struct fleet *fleet);
/* fl_name_reporters(fleet, to): a hello that names those of this data centre.
 */
void fl_name_reporters(struct fleet *fleet, const struct sockaddr_in *to);
/* fl_send_encoded(fleet, type, buffer, node): sends an encoded frame. */
void fl_send_encoded(struct fleet *fleet, enum fl_frame_type type,
    const struct fl_buffer *buffer, const struct fl_node *node);
/* fl_send_heartbeats(fleet): to all live nodes, hellos to the others. */
void fl_send_heartbeats(struct fleet *fleet);
/*
 * fl_beat(fleet, is_round): what is due on a tick. Nodes that are not current
 * send to most others in rounds only.
 */
void fl_beat(struct fleet *fleet, bool is_round);
/*
 * fl_contact_peers(fleet, frame): sends a hello to each node that another one
 * named and that is new here.
 */
void fl_contact_peers(struct fleet *fleet, const struct fl_frame *frame);

/* reports.c */
/*
 * fl_reports_are_used(fleet): the region is so large that nodes rely on reports
 * about the other data centres.
 */
bool fl_reports_are_used(const struct fleet *fleet);
void fl_update_reporters(struct fleet *fleet);
/* fl_pick_reporters(membership, now_us, out): of this data centre. */
uint32_t fl_pick_reporters(const struct fl_membership *membership,
    int64_t now_us, const struct fl_node *out[FL_REPORTERS]);
/*
 * fl_pick_far_reporters(membership, data_centre, now_us, out): of all data
 * centres of the region but the given one.
 */
uint32_t fl_pick_far_reporters(const struct fl_membership *membership,
    const char *data_centre, int64_t now_us,
    const struct fl_node *out[FL_FAR_REPORTERS_MAX]);
/* fl_gets_report(fleet, node): this node sends it reports, not heartbeats. */
bool fl_gets_report(const struct fleet *fleet, const struct fl_node *node);
void fl_send_reports(struct fleet *fleet);
/* fl_on_report(fleet, report, from): true if the leader may have changed. */
bool fl_on_report(struct fleet *fleet, const struct fl_report *report,
    const struct sockaddr_in *from);
void fl_free_reports(struct fleet *fleet);
void fl_on_roster_request(
    struct fleet *fleet, uint32_t name, const struct sockaddr_in *from);

/* voters_exchange.c */
/*
 * fl_hear_voters(fleet, id, knows_settled, from): a node of the region votes by
 * the list, and knows whether it is settled.
 */
void fl_hear_voters(struct fleet *fleet, uint64_t id, bool knows_settled,
    const struct sockaddr_in *from);
/* fl_request_voters(fleet): asks the leader, if this node does not vote. */
void fl_request_voters(struct fleet *fleet);
/* fl_on_voters_frame(fleet, frame, from): handles a frame of these types. */
void fl_on_voters_frame(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from);

/* rates.c */
/* fl_on_quota_frame(fleet, frame, from): handles a frame of these types. */
void fl_on_quota_frame(struct fleet *fleet, struct fl_frame *frame,
    const struct sockaddr_in *from);

/* replication.c */
/* fl_revision_sum(fleet): returns the sum of the store revisions known here. */
uint64_t fl_revision_sum(const struct fleet *fleet);
/*
 * fl_follow_leader(fleet, leader): connects to the node that sends this one the
 * leader's updates. NULL: there is no leader.
 */
void fl_follow_leader(struct fleet *fleet, const struct fl_node *leader);
/*
 * fl_check_source_link(fleet, leader): closes the link to the source if the
 * leader's updates no longer arrive.
 */
void fl_check_source_link(struct fleet *fleet, const struct fl_node *leader);
void fl_on_accept(uv_stream_t *listener, int status);
void fl_free_snapshots(struct fleet *fleet);

#endif
