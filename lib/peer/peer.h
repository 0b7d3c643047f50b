/*
 * peer: the mesh of the processes of the entry command. A node is one such
 * process. The mesh has membership, in which a node is suspect before it is
 * dead; links over TCP with framed msgpack; replication of the configuration;
 * and delivery of the messages between decision cores. docs/PROTOCOL.md
 * describes the frames.
 */
#ifndef PR_PEER_H
#define PR_PEER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/memory.h"
#include "../decide/decide.h"

#define PR_TEXT_BYTES_MAX 64
#define PR_NODES_MAX 512

enum pr_state {
	PR_ALIVE,
	PR_SUSPECT, /* silent or its link failed; dead unless it refutes this */
	PR_DEAD,
	PR_LEFT, /* announced that it stops */
};

/*
 * The record of a node. The epoch is that of its process; a higher one belongs
 * to a later process of the same name. The incarnation rises when the node
 * becomes ready, and when it refutes that it is suspect or dead.
 */
struct pr_node {
	char name[PR_TEXT_BYTES_MAX];
	char data_centre[PR_TEXT_BYTES_MAX];
	char region[PR_TEXT_BYTES_MAX];
	char listen[PR_TEXT_BYTES_MAX];
	char admin[PR_TEXT_BYTES_MAX];
	char peer[PR_TEXT_BYTES_MAX];
	uint64_t id; /* hash of the name */
	uint64_t epoch;
	uint64_t incarnation;
	enum pr_state state;
	bool ready;		  /* has a configuration in force */
	int64_t state_changed_us; /* local time of the last change of state */
	int64_t heard_us;	  /* local time of its last frame */
	bool monitored;		  /* this node pings it */
};

/*
 * The membership as a state machine without I/O: the time is passed in, and
 * the caller sends what has to be sent.
 */
struct pr_membership;

struct pr_membership *pr_membership_create(
    const struct pr_node *self, int64_t now_us);
void pr_membership_free(struct pr_membership *membership);
/* pr_membership_self(membership): returns this node's own record. */
const struct pr_node *pr_membership_self(
    const struct pr_membership *membership);
/*
 * pr_membership_merge(membership, record, now_us): merges the record of a node.
 * Returns true if the membership changed, so that the record has to be passed
 * on. A record that says that this node is not alive, however old, also returns
 * true: the caller then sends pr_membership_self() in its place, which has a
 * higher incarnation.
 */
bool pr_membership_merge(struct pr_membership *membership,
    const struct pr_node *record, int64_t now_us);
/*
 * pr_membership_heard(membership, id, now_us): notes that a frame of this node
 * has arrived.
 */
void pr_membership_heard(
    struct pr_membership *membership, uint64_t id, int64_t now_us);
/*
 * pr_membership_suspect(membership, id, now_us): marks a node as suspect.
 * Returns true if it was alive.
 */
bool pr_membership_suspect(
    struct pr_membership *membership, uint64_t id, int64_t now_us);
/*
 * pr_membership_set_ready(membership): marks this node as ready. Returns false
 * if it was already.
 */
bool pr_membership_set_ready(struct pr_membership *membership);
/*
 * pr_membership_leave(membership, now_us): sets the state of this node to
 * PR_LEFT.
 */
void pr_membership_leave(struct pr_membership *membership, int64_t now_us);
/*
 * pr_membership_tick(membership, now_us, changed, max): applies the timeouts of
 * silent nodes. Fills changed with the indexes of the nodes whose state changed
 * and returns their number. A late tick means that this process was paused; it
 * marks no node as suspect or dead.
 */
uint32_t pr_membership_tick(struct pr_membership *membership, int64_t now_us,
    uint32_t *changed, uint32_t max);
/*
 * These fill indexes with the nodes that this node pings, and with those that
 * it keeps links to for gossip. Each returns the number of nodes, which grows
 * at most with the logarithm of the size of the mesh.
 */
#define PR_MONITORED 3
#define PR_NEIGHBOURS_MAX 16
uint32_t pr_membership_monitored(
    const struct pr_membership *membership, uint32_t indexes[PR_MONITORED]);
uint32_t pr_membership_neighbours(const struct pr_membership *membership,
    uint32_t indexes[PR_NEIGHBOURS_MAX]);
uint32_t pr_membership_count(const struct pr_membership *membership);
const struct pr_node *pr_membership_at(
    const struct pr_membership *membership, uint32_t index);
/*
 * pr_membership_find(membership, id): returns the index of a node, 0 for this
 * one, or CS_E_MISSING.
 */
int pr_membership_find(const struct pr_membership *membership, uint64_t id);
/*
 * pr_membership_digest(membership): returns a hash that is equal for two nodes
 * with the same membership.
 */
uint64_t pr_membership_digest(const struct pr_membership *membership);
const char *pr_state_text(enum pr_state state);

/* The mesh: membership and messages over TCP links. */
struct pr_mesh;

struct pr_callbacks {
	/* A node was added, or a record changed. */
	void (*on_membership_change)(void *user);
	/* A message of another node's decision core arrived. */
	void (*on_message)(
	    uint64_t from, const struct dc_message *message, void *user);
	/* A link to this node is up, perhaps again: state has to be resent. */
	void (*on_link_up)(uint64_t id, void *user);
	/* A peer sent a configuration, presumably newer than the one here. */
	void (*on_config)(const char *text, size_t bytes, void *user);
	/* Returns the text of the configuration in force; the mesh frees it. */
	char *(*get_config_text)(void *user);
	void *user;
};

struct pr_mesh_params {
	uv_loop_t *loop;
	struct sockaddr_in listen;
	struct pr_node self;	  /* self.peer is set by pr_mesh_create() */
	struct cs_memory *memory; /* for links; NULL: no limit */
	/*
	 * Accepted connections that have not said which node they are; 0: any
	 * number. From a quarter of it on, those older than 2 s are closed.
	 */
	uint32_t strangers_max;
	struct pr_callbacks callbacks;
};

struct pr_mesh_counters {
	uint64_t messages_sent;
	uint64_t messages_received;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint32_t links;
};

/*
 * pr_mesh_create(params, out): binds the listener. Returns CS_E_SYSTEM if that
 * fails.
 */
int pr_mesh_create(const struct pr_mesh_params *params, struct pr_mesh **out);
const struct pr_membership *pr_mesh_membership(const struct pr_mesh *mesh);
/*
 * pr_mesh_join(mesh, address): connects to an address unless it is that of a
 * node not dead or left.
 */
void pr_mesh_join(struct pr_mesh *mesh, const char *address);
/*
 * pr_mesh_send(mesh, id, message): queues a message for another node's decision
 * core and opens a link if there is none. Returns CS_E_MISSING for an unknown
 * node, and CS_E_UNAVAILABLE if the link cannot be opened, or is closed because
 * its queue is full. Delivery is not guaranteed: a link that fails loses its
 * queue, and on_link_up() is called once it is up again.
 */
int pr_mesh_send(
    struct pr_mesh *mesh, uint64_t id, const struct dc_message *message);
/*
 * pr_mesh_broadcast(mesh, message): sends a message to every node that is
 * alive.
 */
void pr_mesh_broadcast(struct pr_mesh *mesh, const struct dc_message *message);
/*
 * pr_mesh_announce_config(mesh, version): tells peers which version of the
 * configuration is in force here.
 */
void pr_mesh_announce_config(struct pr_mesh *mesh, uint64_t version);
/* pr_mesh_set_ready(mesh): tells the mesh that this node is ready. */
void pr_mesh_set_ready(struct pr_mesh *mesh);
/* pr_mesh_leave(mesh): tells the mesh that this node stops. */
void pr_mesh_leave(struct pr_mesh *mesh);
void pr_mesh_counters(const struct pr_mesh *mesh, struct pr_mesh_counters *out);

#endif
