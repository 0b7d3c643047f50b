/*
 * peer: the mesh of entry VMs. Membership with suspicion before death, links
 * over TCP with framed msgpack, relay of the configuration, and delivery of
 * the decision cores' messages. docs/PROTOCOL.md describes the frames.
 */
#ifndef PR_PEER_H
#define PR_PEER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../decide/decide.h"

#define PR_TEXT_BYTES_MAX 64
#define PR_NODES_MAX 512

enum pr_state {
	PR_ALIVE,
	PR_SUSPECT, /* silent for a while, not yet given up */
	PR_DEAD,
	PR_LEFT, /* said itself that it stops */
};

/*
 * What is known of one entry VM. The epoch is that of its process; a higher
 * one is a later process of the same name. The incarnation rises each time
 * the VM contradicts news of its own death.
 */
struct pr_member {
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
	int64_t heard_us;	  /* local time of its last sign of life */
	bool monitored;		  /* one of those that this VM pings */
};

/*
 * Membership as a pure state machine: time is passed in, nothing is sent.
 */
struct pr_members;

struct pr_members *pr_membership_create(
    const struct pr_member *self, int64_t now_us);
void pr_membership_free(struct pr_members *membership);
/* pr_members_self(members): this VM's own record. */
const struct pr_member *pr_members_self(const struct pr_members *membership);
/*
 * pr_membership_merge(members, news, now): takes news of one VM. True when it
 * changed what is known, so that it has to be passed on. News of this VM's
 * own death, however old, is answered by passing on pr_members_self() in its
 * place, with a higher incarnation than the news has.
 */
bool pr_membership_merge(struct pr_members *membership,
    const struct pr_member *record, int64_t now_us);
/* pr_membership_heard(members, id, now): notes a sign of life. */
void pr_membership_heard(
    struct pr_members *membership, uint64_t id, int64_t now_us);
/* pr_membership_suspect(members, id, now): its link broke; true when changed.
 */
bool pr_membership_suspect(
    struct pr_members *membership, uint64_t id, int64_t now_us);
/* pr_membership_set_ready(members): this VM can serve; true when that is new.
 */
bool pr_membership_set_ready(struct pr_members *membership);
/* pr_membership_leave(members, now): this VM stops; its record is then LEFT. */
void pr_membership_leave(struct pr_members *membership, int64_t now_us);
/*
 * pr_membership_tick(members, now, changed, max): judges silence. Fills changed
 * with the numbers of members whose state changed; returns how many. A tick
 * that comes late judges nobody, since then it is this VM that was paused.
 */
uint32_t pr_membership_tick(struct pr_members *membership, int64_t now_us,
    uint32_t *changed, uint32_t max);
/*
 * pr_membership_monitored(...) and pr_membership_neighbours(...): the numbers
 * of the members that this VM pings, and of those it keeps links to for news.
 * Both sets are bounded by the logarithm of the size of the mesh.
 */
#define PR_MONITORED 3
#define PR_NEIGHBOURS_MAX 16
uint32_t pr_membership_monitored(
    const struct pr_members *membership, uint32_t indexes[PR_MONITORED]);
uint32_t pr_membership_neighbours(
    const struct pr_members *membership, uint32_t indexes[PR_NEIGHBOURS_MAX]);
uint32_t pr_members_count(const struct pr_members *membership);
const struct pr_member *pr_members_at(
    const struct pr_members *membership, uint32_t index);
/* pr_members_find(members, id): its number, or CS_E_MISSING. */
int pr_members_find(const struct pr_members *membership, uint64_t id);
/* pr_membership_digest(members): equal for two VMs that know the same. */
uint64_t pr_membership_digest(const struct pr_members *membership);
const char *pr_state_text(enum pr_state state);

/* The mesh: membership and messages over real links. */
struct pr_mesh;

struct pr_callbacks {
	/* The set of members or a state changed. */
	void (*on_members)(void *user);
	/* A core's message arrived. */
	void (*on_message)(
	    uint64_t from, const struct dc_message *message, void *user);
	/* A link to this member is up, perhaps again: state is to be resent. */
	void (*on_link)(uint64_t id, void *user);
	/* A peer sent a stored configuration that is newer than ours. */
	void (*on_config)(const char *text, size_t bytes, void *user);
	/* The stored text of the configuration in force; freed by the mesh. */
	char *(*config_text)(void *user);
	void *user;
};

struct pr_mesh_params {
	uv_loop_t *loop;
	struct sockaddr_in listen;
	struct pr_member self; /* peer is filled in once bound */
	struct pr_callbacks callbacks;
};

struct pr_mesh_counters {
	uint64_t messages_sent;
	uint64_t messages_received;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	uint32_t links;
};

/* pr_mesh_create(params, out): binds the listener. CS_E_SYSTEM if it can't. */
int pr_mesh_create(const struct pr_mesh_params *params, struct pr_mesh **out);
const struct pr_members *pr_mesh_members(const struct pr_mesh *mesh);
/* pr_mesh_seed(mesh, address): makes contact with a VM not known yet. */
void pr_mesh_seed(struct pr_mesh *mesh, const char *address);
/*
 * pr_mesh_send(mesh, id, message): queues a core's message, opening a link if
 * there is none. CS_E_MISSING for an unknown member, CS_E_UNAVAILABLE when
 * the link is full. Delivery is not certain: a link that breaks loses what it
 * held, and on_link() follows when it is up again.
 */
int pr_mesh_send(
    struct pr_mesh *mesh, uint64_t id, const struct dc_message *message);
/* pr_mesh_broadcast(mesh, message): sends to every live member. */
void pr_mesh_broadcast(struct pr_mesh *mesh, const struct dc_message *message);
/* pr_mesh_config(mesh, version): tells peers what is in force here. */
void pr_mesh_config(struct pr_mesh *mesh, uint64_t version);
/* pr_mesh_ready(mesh): tells the mesh that this VM can serve. */
void pr_mesh_ready(struct pr_mesh *mesh);
/* pr_mesh_leave(mesh): tells the mesh that this VM stops. */
void pr_mesh_leave(struct pr_mesh *mesh);
void pr_mesh_counters(const struct pr_mesh *mesh, struct pr_mesh_counters *out);

#endif
