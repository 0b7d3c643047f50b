/*
 * fleet: the entry VMs of one region. A node is the process of one entry VM.
 * Nodes learn of each other by heartbeats. Without a vote they settle on one
 * node that watches the store, the leader; the others are its followers and
 * get the store's updates from it over TCP. Each region has its own leader, so
 * a network partition between regions leaves both up to date.
 */
#ifndef FL_FLEET_H
#define FL_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/base.h"
#include "../base/memory.h"
#include "../store/cache.h"
#include "proof.h"
#include "voters.h"

#define FL_NAME_BYTES_MAX 128 /* as the settings may have */
#define FL_NODES_MAX 1024
/* How long a silent node counts among those that share budgets. */
#define FL_SHARING_RETENTION_US INT64_C(600000000)
#define FL_CAPACITY_MAX 10 /* larger nodes count as equal */

/* What a node tells in its hello that its build can do. */
#define FL_FEATURE_RELAYS 1U  /* relays updates and follows relays */
#define FL_FEATURE_REPORTS 2U /* takes and sends reports, see reports.c */
#define FL_FEATURE_VOTERS 4U  /* knows lists of voters, see voters.h */
/* Lists of voters: only where VMs have something to give out. */
#define FL_FEATURES (FL_FEATURE_RELAYS | FL_FEATURE_REPORTS)

struct fl_frame;

/* The lists of nodes that a reporter tells of, see reports.c. */
enum fl_roster_name {
	FL_ROSTER_OWN,	  /* its data centre, for those of others */
	FL_ROSTER_OTHERS, /* the other data centres, for its own */
	FL_ROSTERS
};

/* Whether the store's list of VMs has one of the region. */
enum fl_listed {
	FL_LISTED_UNKNOWN, /* not that the node knows, or it is not told */
	FL_LISTED,
	FL_LISTED_SETTLED, /* for long, see BL_QUOTA_SETTLE_US */
};

struct fl_node {
	char name[FL_NAME_BYTES_MAX];
	char data_centre[FL_NAME_BYTES_MAX];
	struct sockaddr_in fleet; /* heartbeats (UDP) and updates (TCP) */
	struct sockaddr_in listen_address; /* where callers connect */
	uint64_t boot;			   /* random; identifies the process */
	uint64_t region;		   /* hash of the region's name */
	bool same_region;		   /* in the region of this node */
	bool ready; /* has a configuration, accepts requests */
	bool stopping;
	bool current; /* watches the store and is up to date */
	/* Of its region in the store, as it knows; see enum fl_listed. */
	uint8_t listed;
	uint32_t capacity;     /* of its link and CPU, as a power of two */
	uint64_t revision_sum; /* of the store revisions that it has */
	bool tells_era;	       /* of the store; earlier builds do not */
	uint32_t features;     /* FL_FEATURE_*; earlier builds have none */
	uint64_t voters_id; /* of the list that it votes by; 0: it does not */
	bool knows_settled; /* that the list is settled */
	uint8_t lists;	    /* FL_VOTER_*, by the list known here */
	int64_t listed_us;  /* since when it is in lists; 0: it is not */
	int64_t heard_us;   /* last heartbeat or hello; 0: none yet */
	/*
	 * The same as the reports of this node may tell it: as it heard itself,
	 * and for its own data centre also as reporters of others have told.
	 */
	int64_t proven_us[FL_ROSTERS];
	int64_t returned_us; /* was heard after a silence; 0: at no time */
	/* It was silent for late_us; its clock may have stood still. */
	int64_t late_us, late_until_us;
	/* Its updates did not arrive: it is not followed until then. */
	int64_t avoid_until_us;
	/* It asked for heartbeats of this node, since no report told of it. */
	int64_t heartbeats_until_us;
	/*
	 * Connections to it are refused, see ended.c: the first one of a row
	 * and the last one, when they were opened; 0: none since it was heard.
	 */
	int64_t refused_since_us, refused_us;
	int64_t checked_us; /* the last connection that was opened for that */
};

/* Where this node gets the store's updates from. */
enum fl_role {
	FL_ROLE_UNDECIDED,     /* not decided yet */
	FL_ROLE_WATCH_STORE,   /* watches the store, updates followers */
	FL_ROLE_FOLLOW_LEADER, /* gets updates from the leader */
};

/*
 * The membership of the region and the choice of the leader, without I/O: the
 * time is passed in.
 */
struct fl_membership {
	struct fl_node self;
	struct fl_node *nodes;
	uint32_t count, capacity;
	bool has_list; /* the store has listed the nodes since the start */
	/* When a process of the region last joined. */
	int64_t joined_us;
	struct fl_voters voters; /* see voters.h */
	/* The system has never run before: there may be no list yet. */
	bool may_lack_voters;
	bool may_vote;
	bool forgot_votes;	/* this node was paused, see voters.h */
	int64_t voters_news_us; /* when other nodes told of it; 0: at no time */
	uint64_t settled_id;	/* the last list of which that is known */
	/* The newest list that others have told of, and since when it lacks. */
	uint64_t told_voters_id;
	int64_t told_voters_us;
	int64_t started_us;
	/* Most live nodes of the region that another one has told of. */
	uint32_t told_nodes;
	/* When a node of the region was first heard; 0: none yet. */
	int64_t first_contact_us;

	/* Since when no node is known to be current. */
	int64_t no_leader_since_us;
	int64_t last_tick_us;
	/* When this node began to watch, or a node was last current. */
	int64_t attempt_us;
	uint64_t attempt_turn;
	bool watching;
	/* The last heartbeat may have changed the role of this node. */
	bool status_changed;
	/* The last hello or heartbeat is of a node that had fallen silent. */
	bool node_returned;
	/* Since when it watches while another one should lead; 0: not so. */
	int64_t outranked_since_us;
	/*
	 * Every node contacts the seeds first, so a seed that starts watches
	 * the store at once instead of waiting for its turn.
	 */
	bool is_seed;
	int64_t next_discovery_us;
	int64_t discovery_interval_us;
};

void fl_membership_init(struct fl_membership *membership,
    const struct fl_node *self, int64_t now_us);
void fl_membership_free(struct fl_membership *membership);
/*
 * fl_membership_add(membership, record): adds a node that is known to exist,
 * without marking it as heard. Returns its entry, or NULL for this node itself
 * and when the list is full.
 */
struct fl_node *fl_membership_add(
    struct fl_membership *membership, const struct fl_node *record);
/* fl_membership_find(membership, fleet): the other node there, or NULL. */
struct fl_node *fl_membership_find(
    struct fl_membership *membership, const struct sockaddr_in *fleet);
/*
 * fl_membership_on_hello(membership, record, now_us): takes a node's hello.
 * Returns true if its process was not known before.
 */
bool fl_membership_on_hello(struct fl_membership *membership,
    const struct fl_node *record, int64_t now_us);
/*
 * fl_membership_on_heartbeat(membership, from, heartbeat, now_us): takes a
 * heartbeat. Returns false if no hello of the sender's current process has
 * arrived, so that one has to be requested.
 */
bool fl_membership_on_heartbeat(struct fl_membership *membership,
    const struct sockaddr_in *from, const struct fl_frame *heartbeat,
    int64_t now_us);
/*
 * fl_node_set_heard(node, heard_us): it was heard at that time, which is not
 * before the last one.
 */
void fl_node_set_heard(struct fl_node *node, int64_t heard_us);
bool fl_node_is_alive(const struct fl_node *node, int64_t now_us);
/*
 * fl_membership_tick(membership, now_us, leader): returns the role of this
 * node. *leader is the node to get updates from, or NULL if there is none. A
 * late tick means that this process was paused, so it restarts the silence
 * timeout of every node.
 */
enum fl_role fl_membership_tick(struct fl_membership *membership,
    int64_t now_us, const struct fl_node **leader);
/*
 * fl_membership_is_same_region(membership, fleet): returns true if the node
 * with this fleet address is in this region.
 */
bool fl_membership_is_same_region(
    const struct fl_membership *membership, const struct sockaddr_in *fleet);
/*
 * fl_membership_count_alive(membership, now_us): returns the number of live
 * nodes of the region, this one included.
 */
uint32_t fl_membership_count_alive(
    const struct fl_membership *membership, int64_t now_us);

/*
 * fl_membership_find_listed(membership, now_us): returns the most that a live
 * node of the region knows of the region in the store's list.
 */
enum fl_listed fl_membership_find_listed(
    const struct fl_membership *membership, int64_t now_us);

/*
 * fl_membership_count_sharing(membership, now_us): returns the number of nodes
 * of the region that may spend a share of what the VMs have in common, this one
 * included. A node that fell silent may only be cut off and counts for 10 min.
 */
uint32_t fl_membership_count_sharing(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_count_spending(membership, now_us): the same with the nodes
 * that the store lists and that this one has not heard since its start: after a
 * restart it may be cut off from all of them. 0: it knows no other node, and
 * the store has not listed any yet.
 */
uint32_t fl_membership_count_spending(
    const struct fl_membership *membership, int64_t now_us);
/*
 * What the majority is counted from: the voters, or without a list the nodes of
 * the region that may be in use; this one included. Those that are not live are
 * silent, or were never heard since this node started.
 */
struct fl_census {
	uint32_t alive;
	uint32_t in_use; /* all of them */
	uint32_t silent, unheard;
};

struct fl_census fl_membership_census(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_has_majority(membership, now_us): returns true if this node is
 * a voter and hears most of them, see voters.h. Without a list: more than half
 * of the nodes of the region that may be in use are alive; those that have
 * ended are not in use. Of two parts of a region that cannot reach each other,
 * at most one has it.
 */
bool fl_membership_has_majority(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_hears_most(membership, now_us): the same as without a list.
 */
bool fl_membership_hears_most(
    const struct fl_membership *membership, int64_t now_us);
/*
 * What the address of a silent node does with a connection. Without a result in
 * time it is not told: the node may be cut off.
 */
enum fl_check_result {
	FL_CHECK_REFUSED, /* no process listens there */
	FL_CHECK_ACCEPTED,
};

#define FL_CHECKS_MAX 64 /* at a time */
/*
 * fl_membership_pick_checks(membership, now_us, out): picks the silent nodes of
 * the region whose addresses are to be checked now, because the majority is
 * lost or close to it. They count as checked. Returns their number. To be
 * called every 250 ms.
 */
uint32_t fl_membership_pick_checks(struct fl_membership *membership,
    int64_t now_us, struct sockaddr_in out[FL_CHECKS_MAX]);
/* fl_membership_on_check(membership, fleet, sent_us, result): takes a result.
 */
void fl_membership_on_check(struct fl_membership *membership,
    const struct sockaddr_in *fleet, int64_t sent_us,
    enum fl_check_result result);
/* fl_node_refuses(node, for_us, now_us): connections, for so long. */
bool fl_node_refuses(
    const struct fl_node *node, int64_t for_us, int64_t now_us);
/* fl_node_has_ended(node, now_us): its process does not run any more. */
bool fl_node_has_ended(const struct fl_node *node, int64_t now_us);

/*
 * fl_membership_count_ready(membership, now_us): returns the number of other
 * live nodes of the region that accept requests.
 */
uint32_t fl_membership_count_ready(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_is_discovery_due(membership, now_us): returns true if this node
 * is to look for others in the store, because it hears none of its region: at
 * doubling intervals, and not before others had time to answer.
 */
bool fl_membership_is_discovery_due(
    struct fl_membership *membership, int64_t now_us);
/*
 * fl_first_read_delay_us(capacity, random): how long a node that has started
 * again waits for the objects from its leader before it lists the store itself.
 * Nodes of small capacity wait, so that only some list it when all start again
 * at once; the others list it at once. random spreads nodes of equal capacity.
 */
int64_t fl_first_read_delay_us(uint32_t capacity, uint64_t random);

/* fl_node_ranks_before(a, b): by capacity, the largest first, then by name. */
bool fl_node_ranks_before(const struct fl_node *a, const struct fl_node *b);

/*
 * Below this many live nodes all follow the leader, as in earlier builds: 23
 * followers cost it 9 KB a second for 1 KB of updates and heartbeats, a third
 * of the budget of a node, and no update waits for a relay.
 */
#define FL_LARGE_REGION_NODES 24
/* How many nodes of its data centre follow a node, see relay.c. */
#define FL_RELAY_FOLLOWERS 3
/*
 * fl_membership_is_large(membership, now_us): returns true if the region has so
 * many live nodes that updates are relayed.
 */
bool fl_membership_is_large(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_told_nodes(membership, now_us): the size of a large region as
 * others told it, for a node that has just started and does not hear all of
 * them yet; otherwise 0.
 */
uint32_t fl_membership_told_nodes(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_membership_find_source(membership, leader, now_us): returns the node to
 * get the store's updates from: the leader, or a relay in this data centre.
 */
const struct fl_node *fl_membership_find_source(
    const struct fl_membership *membership, const struct fl_node *leader,
    int64_t now_us);
/*
 * fl_membership_may_relay(membership, node, now_us): returns true if this node
 * may follow the other one while that is not the leader.
 */
bool fl_membership_may_relay(const struct fl_membership *membership,
    const struct fl_node *node, int64_t now_us);

/* A request to the directory. */
struct fl_directory_query {
	char data_centre[FL_NAME_BYTES_MAX];
	uint64_t hash;	 /* spreads requests over the nodes */
	uint64_t caller; /* hash of the caller's address */
};
/*
 * fl_membership_list_addresses(membership, now_us, query, out, max): writes the
 * listen addresses of the live, ready nodes of this region to out and returns
 * their number. A node that hears no other is presumably cut off itself; it
 * lists those that it heard within the last 30 s. If there are more than max,
 * equal queries get the same addresses from every node, and nodes in the data
 * centre of the query come first. If their capacities are very different and
 * there are more than 16, half of them are listed, and nodes of more capacity
 * to more callers; the same caller gets the same from every node.
 */
uint32_t fl_membership_list_addresses(const struct fl_membership *membership,
    int64_t now_us, const struct fl_directory_query *query,
    struct sockaddr_in *out, uint32_t max);

/*
 * fl_membership_find_owner(membership, key, now_us): returns the node of the
 * region that owns the key, by rendezvous hashing over the live nodes, or NULL
 * for this node itself.
 */
const struct fl_node *fl_membership_find_owner(
    const struct fl_membership *membership, uint64_t key, int64_t now_us);
/*
 * fl_membership_rank(membership, key, now_us): returns the rank of this node,
 * from 0, among the live nodes of the region, in an order that differs by key.
 */
uint32_t fl_membership_rank(
    const struct fl_membership *membership, uint64_t key, int64_t now_us);
/*
 * fl_membership_find_relay(membership, region, turn): returns a known node of
 * another region, or NULL. Whether it is alive is not known: successive turns
 * return different ones.
 */
const struct fl_node *fl_membership_find_relay(
    const struct fl_membership *membership, uint64_t region, uint64_t turn);

/* Frames between nodes, encoded with msgpack. */
enum fl_frame_type {
	FL_FRAME_HELLO = 1,	      /* the sender's whole record */
	FL_FRAME_SUSPECT_REQUEST = 2, /* a request that crashed a target */
	FL_FRAME_SUBSCRIBE = 3,	      /* the revisions that a follower has */
	FL_FRAME_UPDATE = 4,	      /* objects of the store */
	FL_FRAME_HEARTBEAT = 5,	      /* the part of the record that changes */
	/* 6: a compressed frame, see frames.c */
	FL_FRAME_LIMIT = 7,	 /* the limit that a target names */
	FL_FRAME_ASK = 8,	 /* a question for permits */
	FL_FRAME_PERMIT = 9,	 /* the owner's answer */
	FL_FRAME_LEAVING = 10,	 /* a target says that it leaves */
	FL_FRAME_EXCUSE = 11,	 /* a crash that a request did not cause */
	FL_FRAME_CLAIM = 12,	 /* a trial of a request that crashed targets */
	FL_FRAME_COLD = 20,	 /* a target is cold */
	FL_FRAME_QUOTA_ASK = 21, /* a question for a tenant's credit */
	FL_FRAME_QUOTA_GRANT = 22,    /* the owner's answer */
	FL_FRAME_QUOTA_SHARE = 23,    /* of the owner in another region */
	FL_FRAME_PROOF_QUERY = 24,    /* how old is the receiver's proof */
	FL_FRAME_PROOF = 25,	      /* the answer, see proof.h */
	FL_FRAME_REPORT = 30,	      /* what the sender hears of others */
	FL_FRAME_ROSTER_REQUEST = 31, /* for a whole roster, see reports.c */
	FL_FRAME_VOTERS = 32,	      /* the list that the sender knows */
	FL_FRAME_VOTERS_REQUEST = 33,
};
#define FL_FRAME_TYPES 40 /* more than the largest type */

/* A node claims a trial of a request that crashed targets. */
struct fl_claim {
	uint64_t fingerprint;
	uint64_t ticket;
};

/* Changed objects of one kind, or a snapshot of the kind. */
struct fl_update {
	uint32_t kind;
	bool snapshot;
	struct os_batch batch;
};

/* A request that crashed the process of a target. */
struct fl_suspect_request {
	uint64_t fingerprint;
	uint64_t target_process;
	uint32_t trials; /* of the request that crashed targets, so far */
};

/* The limit that the process of a target names, or that it names none. */
struct fl_limit {
	uint64_t target_process;
	bool has_limit;
	double per_s;
	int64_t age_us; /* since it was heard */
};

/* The process of a target is cold for some time. */
struct fl_cold {
	uint64_t target_process;
	int64_t left_us;
};

/* A question to the owner of a target for permits to send requests to it. */
struct fl_ask {
	struct fl_limit limit; /* as the asker knows it */
	uint32_t count;
	int64_t wait_max_us; /* later permits are of no use */
	bool passed_on;
	struct sockaddr_in asker; /* where the answer goes */
	int64_t cold_left_us;	  /* the target is cold; 0: it is not */
};

struct fl_permit {
	struct fl_limit limit; /* as the owner knows it */
	uint32_t count;
	int64_t wait_us;
	int64_t ask_again_us;
};

/* A question to the owner of a tenant in the region, see struct bl_quota_ask.
 */
struct fl_quota_ask {
	uint64_t tenant;
	uint8_t number;
	uint32_t count, arrived, unspent;
	bool passed_on;
	struct sockaddr_in asker; /* where the answer goes */
};

struct fl_quota_grant {
	uint64_t tenant;
	uint8_t number;
	uint32_t count;
	int64_t wait_us;
};

/* Between owners of a tenant in two regions, see struct bl_quota_share. */
struct fl_quota_share {
	uint64_t tenant;
	uint32_t region; /* low half of the hash of the sender's region */
	uint32_t demand_milli, lent, held, stamp, echo;
	bool has_echo;
	bool passed_on;
	struct sockaddr_in sender; /* the owner, where the answer goes */
};

#define FL_ROSTER_SLOTS_MAX 1024
#define FL_REPORT_ENTRIES_MAX 24
#define FL_REPORT_AGES_MAX 192
#define FL_REPORT_LEADERS_MAX 4
#define FL_AGE_UNIT_US 10000 /* ages are sent in this unit, rounded up */
#define FL_AGE_MAX 255

enum fl_entry_kind { FL_ENTRY_GONE, FL_ENTRY_STATUS, FL_ENTRY_RECORD };

/* What a slot of a roster has held since a version of it. */
struct fl_roster_entry {
	enum fl_entry_kind kind;
	uint32_t slot, version;
	uint32_t status; /* FL_STATUS_* */
	uint32_t age;
	struct fl_node node; /* of a record */
};

#define FL_STATUS_READY 1U
#define FL_STATUS_STOPPING 2U
#define FL_STATUS_CURRENT 4U
#define FL_STATUS_VOTES 8U    /* by the reporter's list */
#define FL_STATUS_VOTED 16U   /* or by the one before */
#define FL_STATUS_SETTLED 32U /* knows that the list is settled */

struct fl_report {
	/* As in a heartbeat; half of a boot is enough to tell processes. */
	uint32_t boot, status;
	uint64_t revision_sum;
	enum fl_roster_name roster;
	/* Entries hold all changes of the roster from base to version. */
	uint32_t version, base, slot_count;
	bool is_part; /* of the whole roster: its slots from first on */
	uint32_t first;
	uint32_t entry_count;
	struct fl_roster_entry entries[FL_REPORT_ENTRIES_MAX];
	/* Of all nodes of the roster, but for those listed. */
	uint32_t age;
	uint32_t age_count;
	struct {
		uint16_t slot;
		uint8_t age;
	} ages[FL_REPORT_AGES_MAX];
	/* Of the sender's list; nodes vote by it as their status says. */
	uint64_t voters_id, voters_before_id;
	/* Current nodes of the region. */
	uint32_t leader_count;
	struct {
		struct sockaddr_in fleet;
		uint32_t boot, age;
		uint64_t revision_sum;
		uint64_t voters_id;
	} leaders[FL_REPORT_LEADERS_MAX];
};

#define FL_PEERS_MAX 32 /* addresses of other nodes in one hello */

struct fl_frame {
	enum fl_frame_type type;
	union {
		struct {
			struct fl_node node;
			uint32_t peer_count;
			struct sockaddr_in peers[FL_PEERS_MAX];
			char region[FL_NAME_BYTES_MAX];
			bool wants_reply; /* asks for a hello in return */
			bool wants_heartbeats;
			/* Nodes of its region that the sender has heard. */
			uint32_t known_nodes;
			uint32_t live_nodes; /* of those, and itself */
		} hello;
		struct {
			uint64_t boot;
			bool ready, stopping, current;
			bool tells_era;
			uint8_t listed;
			uint64_t revision_sum;
			uint64_t voters_id;
			bool knows_settled;
		} heartbeat;
		struct fl_suspect_request suspect_request; /* and excuse */
		struct {
			uint64_t target_process;
		} leaving;
		struct fl_claim claim;
		struct fl_cold cold;
		struct fl_limit limit;
		struct fl_ask ask;
		struct fl_permit permit;
		struct fl_proof_query proof_query;
		struct fl_proof_reply proof;
		struct fl_quota_ask quota_ask;
		struct fl_quota_grant quota_grant;
		struct fl_quota_share quota_share;
		struct {
			uint64_t revisions[OS_KINDS_MAX];
			/* Port 0: an earlier build, which does not tell. */
			struct sockaddr_in follower;
		} subscribe;
		struct fl_update update;
		struct fl_report report;
		struct {
			uint32_t roster;
		} roster_request;
		struct {
			bool is_fresh; /* the sender watches the store */
			struct fl_voters list;
		} voters;
	} as;
};

struct fl_buffer {
	char *data;
	size_t length;
};

/*
 * fl_encode(frame, out): encodes a frame. The caller frees out->data with
 * free().
 */
int fl_encode(const struct fl_frame *frame, struct fl_buffer *out);
/*
 * fl_decode(data, length, out): decodes a frame. The caller frees the batch of
 * an update with os_batch_free(). Returns CS_E_INVALID if the bytes are not a
 * valid frame.
 */
int fl_decode(const char *data, size_t length, struct fl_frame *out);

struct fl_events {
	void (*on_role)(
	    void *user, enum fl_role role, const struct fl_node *leader);
	/* The leader sent an update; it is valid during the call only. */
	void (*on_update)(void *user, const struct fl_update *update);
	/* Returns true if this node did not know of the crash. */
	bool (*on_suspect_request)(
	    void *user, const struct fl_suspect_request *suspect);
	/* These five return true if it is news to this node. */
	bool (*on_claim)(void *user, const struct fl_claim *claim);
	bool (*on_excuse)(void *user, const struct fl_suspect_request *excuse);
	bool (*on_leaving)(void *user, uint64_t target_process);
	bool (*on_cold)(void *user, const struct fl_cold *cold);
	bool (*on_limit)(void *user, const struct fl_limit *limit);
	void (*on_ask)(void *user, const struct fl_ask *ask);
	void (*on_permit)(void *user, const struct fl_permit *permit);
	/* Both may be NULL. A query is answered with fl_send_proof(). */
	void (*on_proof_query)(void *user, const struct fl_proof_query *query,
	    const struct sockaddr_in *from);
	void (*on_proof)(void *user, const struct fl_proof_reply *reply);
	void (*on_quota_ask)(void *user, const struct fl_quota_ask *ask);
	void (*on_quota_grant)(void *user, const struct fl_quota_grant *grant);
	void (*on_quota_share)(void *user, const struct fl_quota_share *share);
	/*
	 * A process that is new here has joined, or a node has returned after
	 * a silence: it may have missed reports.
	 */
	void (*on_node)(void *user, const struct fl_node *node, bool returned);
};

struct fl_params {
	uv_loop_t *loop;
	struct fl_node self;
	char region[FL_NAME_BYTES_MAX];
	uint32_t seed_count;
	struct sockaddr_in seeds[8];
	const struct os_cache *cache; /* source of followers' missed updates */
	uint32_t kind_count;
	bool first_start;	  /* of the whole system */
	struct cs_memory *memory; /* for links; NULL: no limit */
	const struct fl_events *events;
	void *user;
};

struct fleet;

/* Where the receiver of a frame is; bytes between data centres are charged. */
enum fl_place {
	FL_PLACE_DATA_CENTRE,  /* in the data centre of this node */
	FL_PLACE_REGION,       /* in another one of the region */
	FL_PLACE_OTHER_REGION, /* in another region */
	FL_PLACE_UNKNOWN,      /* no hello of it has arrived yet */
	FL_PLACES
};

struct fl_sent {
	uint64_t frames, bytes;
};

/*
 * What this node has sent, without the headers: 28 bytes for a datagram (UDP
 * and IP), at least 40 for an update (TCP and IP).
 */
struct fl_counters {
	struct fl_sent sent[FL_FRAME_TYPES][FL_PLACES];
	uint64_t datagrams;
	uint64_t datagram_bytes;
	uint64_t updates; /* update frames, counted once for each follower */
	uint64_t update_bytes;
	uint64_t snapshots; /* update frames that hold a snapshot */
};

int fl_create(const struct fl_params *params, struct fleet **out);
/* fl_add_node(fleet, node): adds a node that the store lists. */
void fl_add_node(struct fleet *fleet, const struct fl_node *node);
/*
 * fl_take_voters(fleet, voters): takes a list that was read from the store or
 * written there, and tells the region of it if it is news.
 */
void fl_take_voters(struct fleet *fleet, const struct fl_voters *voters);
/*
 * fl_voters_read(fleet, asked_us): the list known here is as new as that in the
 * store at that time, or newer. Nodes that have just started vote by it.
 * fl_voters_not_read(fleet): others may have written a newer one since.
 */
void fl_voters_read(struct fleet *fleet, int64_t asked_us);
void fl_voters_not_read(struct fleet *fleet);
/* fl_nodes_listed(fleet): the store has listed nodes, this one included. */
void fl_nodes_listed(struct fleet *fleet);
/*
 * fl_send_update(fleet, update): sends an update to all followers of this node.
 */
void fl_send_update(struct fleet *fleet, const struct fl_update *update);
/*
 * fl_broadcast_suspect_request(fleet, suspect): tells all known nodes of a
 * request that crashed a target. Few nodes know nodes of other regions: the
 * leader passes reports on to those, and they to their own region.
 */
void fl_broadcast_suspect_request(
    struct fleet *fleet, const struct fl_suspect_request *suspect);
/*
 * fl_broadcast_excuse(fleet, excuse): the same with a crash that the request
 * did not cause.
 */
void fl_broadcast_excuse(
    struct fleet *fleet, const struct fl_suspect_request *excuse);
/* fl_broadcast_claim(fleet, claim): the same with a claim. */
void fl_broadcast_claim(struct fleet *fleet, const struct fl_claim *claim);
/*
 * fl_remind_regions(fleet, suspect, turn): tells one node of each other region,
 * which passes on what is news to it. Successive turns tell different ones.
 */
void fl_remind_regions(struct fleet *fleet,
    const struct fl_suspect_request *suspect, uint64_t turn);
/* fl_send_suspect_request(fleet, node, suspect): tells one node. */
void fl_send_suspect_request(struct fleet *fleet, const struct fl_node *node,
    const struct fl_suspect_request *suspect);
/*
 * fl_broadcast_leaving(fleet, process): as fl_broadcast_suspect_request(), with
 * a target that says that it leaves.
 */
void fl_broadcast_leaving(struct fleet *fleet, uint64_t target_process);
void fl_send_leaving(
    struct fleet *fleet, const struct fl_node *node, uint64_t target_process);
/* fl_broadcast_cold(fleet, cold): the same with a target that is cold. */
void fl_broadcast_cold(struct fleet *fleet, const struct fl_cold *cold);
/*
 * fl_broadcast_limit(fleet, limit): as fl_broadcast_suspect_request(), with the
 * limit of a target.
 */
void fl_broadcast_limit(struct fleet *fleet, const struct fl_limit *limit);
void fl_send_limit(struct fleet *fleet, const struct fl_node *node,
    const struct fl_limit *limit);
/* fl_send_ask(fleet, node, ask): sends a question of this node. */
void fl_send_ask(
    struct fleet *fleet, const struct fl_node *node, const struct fl_ask *ask);
/* fl_pass_on_ask(fleet, owner, ask): passes on that of another node. */
void fl_pass_on_ask(
    struct fleet *fleet, const struct fl_node *owner, const struct fl_ask *ask);
void fl_send_permit(struct fleet *fleet, const struct sockaddr_in *asker,
    const struct fl_permit *permit);
/*
 * fl_ask_for_proof(fleet, query, others): asks the leader, and with others also
 * a node of the region and one of another region, in turn.
 */
void fl_ask_for_proof(
    struct fleet *fleet, const struct fl_proof_query *query, bool others);
void fl_send_proof(struct fleet *fleet, const struct sockaddr_in *asker,
    const struct fl_proof_reply *reply);
/*
 * fl_contact_seeds(fleet): sends them a hello; those that answer are known
 * then, also in other regions.
 */
void fl_contact_seeds(struct fleet *fleet);
/* fl_send_quota_ask(fleet, owner, ask): sends or passes on a question. */
void fl_send_quota_ask(struct fleet *fleet, const struct sockaddr_in *owner,
    const struct fl_quota_ask *ask);
void fl_send_quota_grant(struct fleet *fleet, const struct sockaddr_in *asker,
    const struct fl_quota_grant *grant);
void fl_send_quota_share(struct fleet *fleet, const struct sockaddr_in *to,
    const struct fl_quota_share *share);
/*
 * fl_confirmed_us(fleet): when the leader last told that this VM has all of its
 * revisions; 0: never.
 */
int64_t fl_confirmed_us(const struct fleet *fleet);
/* fl_is_discovery_due(fleet): see fl_membership_is_discovery_due(). */
bool fl_is_discovery_due(struct fleet *fleet);
void fl_set_ready(struct fleet *fleet, bool ready);
void fl_set_current(struct fleet *fleet, bool current);
/*
 * fl_note_pause(fleet): this process did not run for a while, of which its
 * clock may tell nothing.
 */
void fl_note_pause(struct fleet *fleet);
/* fl_set_listed(fleet, listed): tells the region, see enum fl_listed. */
void fl_set_listed(struct fleet *fleet, enum fl_listed listed);
/*
 * fl_check_silent_nodes(fleet): finds out which silent nodes have ended, if
 * that matters. To be called every 250 ms.
 */
void fl_check_silent_nodes(struct fleet *fleet);
/* fl_leave(fleet): tells the other nodes at once that this one stops. */
void fl_leave(struct fleet *fleet);
const struct fl_membership *fl_get_membership(const struct fleet *fleet);
const struct fl_counters *fl_get_counters(const struct fleet *fleet);
/* fl_frame_name(type): the name in metrics, or NULL if there is no such type.
 */
const char *fl_frame_name(uint32_t type);
const char *fl_place_name(enum fl_place place);
void fl_close(struct fleet *fleet);

#endif
