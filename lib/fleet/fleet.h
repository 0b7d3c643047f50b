/*
 * fleet: the entry VMs of one region. They know one another by heartbeats,
 * agree without votes on which of them follows the store, and the others get
 * its news from that one over TCP. Regions do not depend on each other: each
 * has its own follower, so a cut between regions leaves both informed.
 */
#ifndef FL_FLEET_H
#define FL_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/base.h"
#include "../store/cache.h"

#define FL_NAME_BYTES_MAX 64
#define FL_NODES_MAX 1024

struct fl_frame;

struct fl_member {
	char name[FL_NAME_BYTES_MAX];
	char data_centre[FL_NAME_BYTES_MAX];
	struct sockaddr_in fleet; /* heartbeats (UDP) and news (TCP) */
	struct sockaddr_in front; /* where callers connect */
	uint64_t boot;		  /* random number of its process */
	uint64_t region;	  /* hash of the region's name */
	bool near;		  /* in this VM's region */
	bool ready;		  /* has a configuration, takes calls */
	bool stopping;
	bool current;	       /* follows the store and is up to date */
	uint32_t capacity;     /* of its link and processor, in powers of two */
	uint64_t revision_sum; /* sum of the revisions that it knows */
	int64_t heard_us;      /* 0: never */
};

/* What this VM is to do about the store. */
enum fl_role {
	FL_IDLE,   /* too early to tell */
	FL_WATCH,  /* follow the store, pass the news on */
	FL_LISTEN, /* get the news from another VM */
};

/*
 * Membership and the choice of the follower: no input or output, time is
 * passed in.
 */
struct fl_membership {
	struct fl_member self;
	struct fl_member *nodes;
	uint32_t count, capacity;
	int64_t started_us;
	int64_t first_contact_us; /* first VM of the region was heard, 0: none
				     yet */

	int64_t
	    no_leader_since_us; /* since when no VM is known to be current */
	int64_t last_tick_us;
	int64_t attempt_us; /* began to follow, or was last current */
	uint64_t attempt_turn;
	bool watching;
	bool status_changed; /* by the last heartbeat: roles are to be judged */
	int64_t outranked_since_us; /* a better placed VM is current since */
};

void fl_membership_init(struct fl_membership *membership,
    const struct fl_member *self, int64_t now_us);
void fl_membership_free(struct fl_membership *membership);
/*
 * fl_membership_add(members, news): a VM that exists, not a sign of life.
 * Returns it, or NULL for this VM itself and when the list is full.
 */
struct fl_member *fl_membership_add(
    struct fl_membership *membership, const struct fl_member *record);
/* fl_membership_on_hello(members, news, now): a heartbeat; true: a new process.
 */
bool fl_membership_on_hello(struct fl_membership *membership,
    const struct fl_member *record, int64_t now_us);
/*
 * fl_membership_on_heartbeat(members, from, pulse, now): a short heartbeat.
 * False when its sender is not known with this boot and has to introduce
 * itself.
 */
bool fl_membership_on_heartbeat(struct fl_membership *membership,
    const struct sockaddr_in *from, const struct fl_frame *heartbeat,
    int64_t now_us);
bool fl_node_is_alive(const struct fl_member *node, int64_t now_us);
/*
 * fl_membership_tick(members, now): judges the role; *leader is the VM to
 * listen to with FL_LISTEN. A late tick forgives silence: this VM was paused.
 */
enum fl_role fl_membership_tick(struct fl_membership *membership,
    int64_t now_us, const struct fl_member **leader);
/* fl_membership_is_same_region(members, fleet): that address is of a VM of the
 * region. */
bool fl_membership_is_same_region(
    const struct fl_membership *membership, const struct sockaddr_in *fleet);
/* fl_members_near(members, now): live VMs of the region, this one too. */
uint32_t fl_members_near(
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_members_listed(members, now, asker, out, max): front addresses for
 * callers: live, ready VMs of this region; one that hears nobody names all it
 * knew. Where there are more than max, equal askers get the same ones from
 * whichever VM, those of their own data centre first.
 */
struct fl_asker {
	char data_centre[FL_NAME_BYTES_MAX];
	uint64_t number; /* spreads askers of one data centre */
};
uint32_t fl_members_listed(const struct fl_membership *membership,
    int64_t now_us, const struct fl_asker *query, struct sockaddr_in *out,
    uint32_t max);

/* Frames between VMs, encoded with msgpack. */
enum fl_frame_type {
	FL_FRAME_HELLO = 1,
	FL_FRAME_SUSPECT_REQUEST = 2, /* a request that crashed a target */
	FL_FRAME_SUBSCRIBE = 3,	      /* what the listener knows of each kind */
	FL_FRAME_UPDATE = 4,
	FL_FRAME_HEARTBEAT =
	    5, /* a heartbeat between VMs that know each other */
};

struct fl_news {
	uint32_t kind;
	bool whole;
	struct os_batch batch;
};

#define FL_PEERS_MAX 32 /* addresses of others in one heartbeat */

struct fl_frame {
	enum fl_frame_type type;
	union {
		struct {
			struct fl_member node;
			uint32_t peer_count;
			struct sockaddr_in peers[FL_PEERS_MAX];
			char region[FL_NAME_BYTES_MAX];
			bool wants_reply; /* to be answered with one */
			uint32_t
			    known_nodes; /* VMs of its region that it knows */
		} hello;
		struct {
			uint64_t boot;
			bool ready, stopping, current;
			uint64_t revision_sum;
		} heartbeat;
		struct {
			uint64_t fingerprint;
		} suspect_request;
		struct {
			uint64_t revisions[OS_KINDS_MAX];
		} subscribe;
		struct fl_news update;
	} as;
};

struct fl_buffer {
	char *data;
	size_t length;
};

/* fl_encode(frame, out): out->data is freed with free(). */
int fl_encode(const struct fl_frame *frame, struct fl_buffer *out);
/*
 * fl_decode(data, length, out): the batch of news is freed by the caller with
 * os_batch_free(). Returns CS_E_INVALID for anything else than a frame.
 */
int fl_decode(const char *data, size_t length, struct fl_frame *out);

struct fl_events {
	void (*on_role)(
	    void *user, enum fl_role role, const struct fl_member *leader);
	/* Another VM's news; returns whether it was taken. */
	void (*on_news)(void *user, const struct fl_news *update);
	void (*on_suspect)(void *user, uint64_t fingerprint);
	void (*on_member)(
	    void *user, const struct fl_member *node, const char *what);
};

struct fl_params {
	uv_loop_t *loop;
	struct fl_member self;
	char region[FL_NAME_BYTES_MAX];
	uint32_t seed_count;
	struct sockaddr_in seeds[8];
	const struct os_cache *cache; /* what listeners are brought up to */
	uint32_t kind_count;
	const struct fl_events *events;
	void *user;
};

struct fleet;

/* What this VM has sent to others, without the headers of UDP and TCP. */
struct fl_counters {
	uint64_t datagrams;
	uint64_t datagram_bytes;
	uint64_t news; /* frames of news, each once for each listener */
	uint64_t news_bytes;
	uint64_t snapshots; /* those of them that hold a whole kind */
};

int fl_create(const struct fl_params *params, struct fleet **out);
/* fl_know(fleet, member): the store lists this VM. */
void fl_know(struct fleet *fleet, const struct fl_member *node);
/* fl_pass_on(fleet, news): to all that listen here. */
void fl_pass_on(struct fleet *fleet, const struct fl_news *update);
/*
 * fl_suspect(fleet, fingerprint): tells the VMs of the region, and those known
 * in other regions, which tell theirs.
 */
void fl_suspect(struct fleet *fleet, uint64_t fingerprint);
void fl_set_ready(struct fleet *fleet, bool ready);
void fl_set_current(struct fleet *fleet, bool current);
/* fl_leave(fleet): tells the others at once that this VM stops. */
void fl_leave(struct fleet *fleet);
const struct fl_membership *fl_get_members(const struct fleet *fleet);
const struct fl_counters *fl_get_counters(const struct fleet *fleet);
void fl_close(struct fleet *fleet);

#endif
