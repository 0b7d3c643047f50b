/* State shared by the modules of the decision core. */
#ifndef DC_DECIDE_INTERNAL_H
#define DC_DECIDE_INTERNAL_H

#include "../base/base.h"
#include "decide.h"

#define DC_NONE UINT32_MAX
#define DC_SELF 0 /* index of this VM in the table of peers */
#define DC_CALL_HASH_SIZE (2 * DC_CALLS_MAX) /* open addressing, half full */
#define DC_SUSPECTS_MAX 1024
#define DC_KNOWN_GOOD_MAX 8192
#define DC_CLASSES_MAX 4       /* distinct route weights per pool */
#define DC_MILLI_PER_CALL 1000 /* unit of budgets: 1/1000 call */
/* Limit of saved-up retries or hedges, per route. */
#define DC_BUDGET_MAX (10 * DC_MILLI_PER_CALL)
#define DC_WITNESSED_MAX 131072
#define DC_POOL_GROUPS_MAX 16 /* regions per pool */
/* Unit of the age of tokens, and how many of it a token is valid. */
#define DC_KEY_WINDOW_US 60000000
#define DC_KEY_LIFE_WINDOWS 6
/* How long the home of a key remembers it. */
#define DC_KEY_LIFE_US (DC_KEY_LIFE_WINDOWS * (int64_t)DC_KEY_WINDOW_US)

/* Node of a pairing heap, stored inside the call that it orders. */
struct dc_node {
	int64_t key;
	uint32_t child;
	uint32_t next;
	uint32_t previous; /* sibling; the parent for a first child */
	bool linked;
};

/* Which of the nodes of a call a heap uses. */
enum dc_node_kind {
	DC_NODE_QUEUE,
	DC_NODE_TIMER,
	DC_NODE_KINDS,
};

struct dc_heap {
	enum dc_node_kind kind;
	uint32_t root;
	uint32_t count;
};

enum dc_attempt_state {
	DC_ATTEMPT_NONE,
	DC_ATTEMPT_CONNECTING,
	DC_ATTEMPT_SENT,
	DC_ATTEMPT_RELAYED,
};

struct dc_attempt {
	enum dc_attempt_state state;
	uint32_t number; /* of the call, from 1; as in actions and events */
	uint32_t target; /* DC_NONE: forwarded to another entry VM */
	int64_t started_us;
	bool reused;
	bool leased; /* uses a leased slot */
};

enum dc_call_state {
	DC_CALL_FREE,
	DC_CALL_CLAIMING,   /* for a claim of its key */
	DC_CALL_WAITING,    /* in the queue, for a target */
	DC_CALL_RUNNING,    /* attempts are in progress */
	DC_CALL_FORWARDING, /* to its key's home, or asks its witness */
	DC_CALL_RELAYING,   /* a response is relayed to the caller */
};

struct dc_call {
	enum dc_call_state state;
	uint64_t id;
	uint64_t fingerprint;
	uint64_t member_id;
	uint32_t pool;
	uint32_t route;
	uint32_t member; /* index of its queue in the pool */
	uint32_t class;	 /* index of its heap in the queue */
	uint32_t weight;
	bool idempotent;
	bool may_have_run; /* an attempt was sent, here or maybe elsewhere */
	bool suspect;	   /* in flight when a target crashed */
	bool avoid_reused; /* lost or slow on a reused connection */
	bool kill_requested;
	bool resend;	      /* its attempt was on a stale connection */
	uint32_t hedge_tries; /* searches for a free slot so far */
	int64_t arrived_us;
	int64_t deadline_us;
	uint32_t sends;
	/* Of the last attempt that was shed, else of the last; or DC_NONE. */
	uint32_t avoid_target;
	bool was_shed; /* avoid_target answered that it has no room */
	struct dc_key key;
	uint64_t claim_era;    /* of the store, in which its key was claimed */
	uint32_t answers_left; /* of VMs that were asked about its key */
	bool unsure_if_restored; /* a VM was not asked, or could not tell */
	struct dc_attempt attempts[DC_ATTEMPTS_MAX];
	struct dc_node nodes[DC_NODE_KINDS];
	uint32_t next_free;
};

struct dc_target {
	bool used;
	bool listed;	 /* in the configuration in force */
	bool was_listed; /* in the previous configuration */
	uint64_t id;
	uint64_t region;
	uint32_t pool;
	uint32_t group;
	uint32_t slots;
	uint32_t in_flight;
	bool drain;	   /* set in the configuration */
	bool drain_signal; /* reported by the target or the VM list */
	bool exclusive;	   /* reserved for one suspect call */
	uint32_t failures; /* consecutive */
	uint32_t eject_level;
	int64_t ejected_until_us;
	int64_t service_us;	    /* moving average, 0: none yet */
	int64_t stale_suspected_us; /* older connections may be stale, 0: no */
	int64_t stale_before_us;    /* older connections are stale */
	int64_t probed_us;	    /* last probe for stale connections */
	int64_t connections_retired_us; /* last DC_ACT_RETIRE_CONNECTIONS */
	/* As a holder of leases. */
	uint32_t leased;	/* slots that this VM may use */
	uint32_t leases_in_use; /* of these, in use */
	uint32_t unleased;	/* attempts in flight without a lease */
	uint32_t recalled;	/* leases to return once they are idle */
	/* As the owner of its group: slots granted to each peer. */
	uint32_t granted;
	uint8_t granted_to[DC_PEERS_MAX];
};

/* Waiting calls of one member: one heap per weight class, by deadline. */
struct dc_queue {
	uint64_t member;
	uint32_t weight; /* share of the member */
	uint32_t waiting;
	uint64_t pass;
	struct dc_heap classes[DC_CLASSES_MAX];
};

struct dc_pool {
	bool used;
	bool listed;
	bool ready; /* dispatch at the end of the step */
	uint64_t id;
	uint32_t targets[DC_TARGETS_MAX];
	uint32_t target_count;
	uint32_t groups[DC_POOL_GROUPS_MAX];
	uint32_t group_count;
	struct dc_queue queues[DC_MEMBERS_MAX];
	uint32_t queue_count;
	uint32_t class_weights[DC_CLASSES_MAX]; /* of its routes, ascending */
	uint32_t class_count;
	uint64_t pass;
	uint32_t waiting;
	uint32_t calls; /* in any state */
	int64_t last_send_us;
	bool backlog_after_send;  /* calls were waiting after the last send */
	int64_t send_interval_us; /* moving average while calls are waiting */
	int64_t service_us;	  /* moving average of the time of an attempt */
};

/*
 * The targets of one pool in one region. One of the entry VMs is the owner of
 * the group and leases out its slots; every entry VM can hold leases.
 */
struct dc_group {
	bool used;
	bool listed;
	bool needs_sync; /* a target was added: holders have to sync */
	uint64_t id;
	uint64_t region;
	uint32_t pool;
	uint32_t owner; /* peer, DC_NONE: unknown */
	/* As a holder. */
	uint64_t sync;		     /* number of the last SYNC to the owner */
	bool scarce;		     /* idle leases have to be returned */
	uint32_t demand_sent;	     /* last demand sent, less grants since */
	int64_t demand_sent_us;	     /* time of that message */
	int64_t unanswered_since_us; /* first unanswered DEMAND, 0: none */
	/* As the owner. */
	bool announced_scarce;
	int64_t owned_since_us;
	int64_t spare_since_us;
	uint32_t next_peer; /* round robin over the peers */
	uint32_t demand_total;
	uint32_t demand[DC_PEERS_MAX];
	uint32_t held[DC_PEERS_MAX];
	uint64_t peer_sync[DC_PEERS_MAX]; /* number of its last SYNC, 0: none */
	bool notified_scarce[DC_PEERS_MAX]; /* told that slots are scarce */
};

struct dc_route {
	bool used;
	bool listed;
	uint64_t id;
	uint32_t pool;
	uint32_t weight;
	bool idempotent;
	int64_t objective_us;
	int64_t retry_budget; /* in 1/DC_MILLI_PER_CALL of a call */
	int64_t hedge_budget;
	int64_t p95_us; /* running estimate of the 95th percentile */
};

struct dc_suspect {
	uint64_t fingerprint;
	uint64_t target; /* of the last crash */
	uint32_t crashes;
	uint32_t new_connection_crashes; /* of these, on a new connection */
	int64_t crashed_us;
	int64_t expires_us;
};

/* Fingerprint of a request that received a complete response. */
struct dc_known_good {
	uint64_t fingerprint;
	int64_t expires_us;
};

struct dc_peer {
	uint64_t id;
	uint64_t epoch;
	uint64_t region;
	enum dc_peer_state state;
	uint64_t clear_era;    /* its keys are all of this era of the store */
	int64_t dead_until_us; /* if DC_PEER_DEAD: may be cut off until then */
	int64_t replaced_until_us; /* keys of an ended process may be resent */
};

/* State of a key, at its home or at its witness. */
enum dc_key_state {
	DC_KEY_FREE,	/* the slot is empty */
	DC_KEY_ACTIVE,	/* home: a call with it is in progress */
	DC_KEY_NOT_RUN, /* home: its last call never ran */
	DC_KEY_DONE,	/* home: it ran and its response was relayed */
	DC_KEY_UNSURE,	/* home: it may have run */
	DC_KEY_CLAIMED, /* witness: its home may run it */
	DC_KEY_KILLED,	/* it never ran and must never run */
};

struct dc_key_record {
	uint64_t a;
	uint64_t b;
	uint64_t serial; /* of the last claim */
	int64_t expires_us;
	enum dc_key_state state;
};

/* Open addressing. Records expire; each insertion sweeps a few slots. */
struct dc_key_table {
	uint32_t size; /* slots */
	uint32_t count;
	uint32_t sweep_slot;
	struct dc_key_record *records;
};

enum dc_parameter {
	DC_P_QUEUE_MAX,
	DC_P_CONNECTIONS_PER_TARGET,
	DC_P_CONNECT_TIMEOUT_US,
	DC_P_SENDS_MAX,
	DC_P_RETRY_BUDGET_MILLI,
	DC_P_HEDGE_BUDGET_MILLI,
	DC_P_EJECT_FAILURES,
	DC_P_EJECT_US,
	DC_P_QUARANTINE_US,
	DC_P_DISPATCH,
	DC_P_LEASE_OVER_COMMIT,
	DC_P_LEASE_FALLBACK_US,
	DC_P_SPILL_US,
	DC_P_COUNT,
};

struct dc_core {
	struct cs_random random;
	int64_t parameters[DC_P_COUNT];
	int64_t now_us; /* time of the present step */
	int64_t started_us;
	struct dc_actions *actions;
	struct dc_counters counters;
	uint64_t version;
	bool loading; /* between DC_EV_TABLE_BEGIN and DC_EV_TABLE_END */
	bool stopping;
	uint32_t loading_pool;
	uint32_t first_free;
	struct dc_heap timers;
	int64_t suspects_expire_us;	/* when the last suspect expires */
	int64_t next_pool_check_us;	/* when to check waiting calls again */
	int64_t next_window_request_us; /* to the witness */
	uint64_t lease_syncs;		/* number of the last SYNC sent */
	uint32_t peer_count;
	struct dc_peer peers[DC_PEERS_MAX];
	uint32_t witness; /* peer for tokens issued now, DC_NONE: none */
	uint64_t witness_window;
	int64_t witness_updated_us; /* 0: its window is unknown */
	bool store_era_known;
	bool store_restored; /* an earlier era is known, here or to a peer */
	uint64_t store_era;
	int64_t store_era_since_us; /* first known to this VM */
	struct dc_key_table home_keys;
	struct dc_key_table witnessed;
	struct dc_suspect suspects[DC_SUSPECTS_MAX];
	struct dc_known_good known_good[DC_KNOWN_GOOD_MAX];
	struct dc_route routes[DC_ROUTES_MAX];
	struct dc_pool pools[DC_POOLS_MAX];
	struct dc_group groups[DC_GROUPS_MAX];
	struct dc_target targets[DC_TARGETS_MAX];
	uint32_t call_hash[DC_CALL_HASH_SIZE];
	struct dc_call calls[DC_CALLS_MAX];
};

/* heap.c: pairing heaps over calls, smallest key first. */
void dc_heap_init(struct dc_heap *heap, enum dc_node_kind kind);
void dc_heap_push(
    struct dc_core *core, struct dc_heap *heap, uint32_t call, int64_t key);
void dc_heap_remove(struct dc_core *core, struct dc_heap *heap, uint32_t call);
uint32_t dc_heap_pop(struct dc_core *core, struct dc_heap *heap);

/* calls.c: the table of calls and their timers. */
void dc_calls_init(struct dc_core *core);
struct dc_call *dc_call_find(struct dc_core *core, uint64_t id);
struct dc_call *dc_call_new(struct dc_core *core, uint64_t id);
void dc_call_free(struct dc_core *core, struct dc_call *call);
uint32_t dc_call_index(const struct dc_core *core, const struct dc_call *call);
void dc_call_set_timer(
    struct dc_core *core, struct dc_call *call, int64_t at_us);
void dc_call_clear_timer(struct dc_core *core, struct dc_call *call);

/* table.c: the configuration in force. */
int dc_table_event(struct dc_core *core, const struct dc_event *event);
uint32_t dc_route_find(const struct dc_core *core, uint64_t id);
uint32_t dc_target_find(const struct dc_core *core, uint64_t id);

/* queue.c: queues of waiting calls, with fair sharing between members. */
uint32_t dc_queue_add(struct dc_pool *pool, uint64_t member, uint32_t weight);
void dc_queue_add_class(struct dc_pool *pool, uint32_t weight);
void dc_queue_push(struct dc_core *core, struct dc_call *call);
void dc_queue_remove(struct dc_core *core, struct dc_call *call);
struct dc_call *dc_queue_head(struct dc_core *core, struct dc_pool *pool);
void dc_queue_take(struct dc_core *core, struct dc_call *call);
struct dc_call *dc_queue_lightest(
    struct dc_core *core, struct dc_pool *pool, uint32_t below_weight);

/* targets.c: choice of targets, their load, failures and ejection. */
struct dc_choice {
	uint32_t target; /* DC_NONE: none is available now */
	bool leased;
};
bool dc_target_is_usable(const struct dc_core *core,
    const struct dc_target *target, const struct dc_call *call, bool panic);
bool dc_target_accepts_calls(const struct dc_target *target);
bool dc_pool_has_target(const struct dc_core *core, const struct dc_pool *pool);
struct dc_choice dc_target_pick(
    struct dc_core *core, struct dc_pool *pool, const struct dc_call *call);
void dc_target_acquire(
    struct dc_core *core, struct dc_choice choice, bool exclusive);
void dc_target_release(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt);
void dc_target_succeeded(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt);
void dc_target_failed(struct dc_core *core, const struct dc_attempt *attempt);

/* stale_connections.c: open connections that deliver no data any more. */
void dc_stale_suspect(struct dc_core *core, const struct dc_attempt *attempt);
void dc_stale_confirm(struct dc_core *core, const struct dc_attempt *attempt);
bool dc_stale_has_attempt(
    const struct dc_core *core, const struct dc_attempt *attempt);

/* suspects.c: quarantine of requests that crash targets. */
void dc_suspect_add(
    struct dc_core *core, const struct dc_suspect_report *report);
void dc_suspect_clear(struct dc_core *core, uint64_t fingerprint);
bool dc_suspect_quarantined(const struct dc_core *core, uint64_t fingerprint);

/* dispatch.c: calls from arrival to their first attempt, and their end. */
int dc_call_arrive(struct dc_core *core, const struct dc_call_arrived *event);
void dc_call_on_disconnect(struct dc_core *core, struct dc_call *call);
void dc_call_enqueue(struct dc_core *core, struct dc_call *call);
void dc_call_refuse(
    struct dc_core *core, struct dc_call *call, enum dc_reason reason);
void dc_refuse_id(struct dc_core *core, uint64_t id, enum dc_reason reason,
    enum dc_outcome outcome);
void dc_call_end(struct dc_core *core, struct dc_call *call);
void dc_pool_mark_ready(struct dc_pool *pool);
void dc_pool_dispatch(struct dc_core *core, struct dc_pool *pool);

/* attempts.c: attempts, retries and hedges. */
struct dc_attempt *dc_attempt_find_active(struct dc_call *call);
struct dc_attempt *dc_attempt_find_free(struct dc_call *call);
void dc_attempt_send(
    struct dc_core *core, struct dc_call *call, struct dc_choice choice);
void dc_attempt_cancel(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt);
void dc_attempts_cancel_all(struct dc_core *core, struct dc_call *call);
void dc_attempt_relay(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt);
void dc_attempt_finish_relayed(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result);
void dc_attempt_on_sent(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, bool reused);
void dc_attempt_on_head(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, uint32_t status);
void dc_attempt_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result);
void dc_attempt_arm_timer(struct dc_core *core, struct dc_call *call);
void dc_attempts_on_timer(struct dc_core *core, struct dc_call *call);

/* peers.c: the entry VMs, the owners of groups, messages between cores. */
uint32_t dc_peer_find(const struct dc_core *core, uint64_t id);
int dc_peer_changed(struct dc_core *core, const struct dc_peer_changed *event);
void dc_peer_link_up(struct dc_core *core, uint64_t id);
void dc_groups_choose_owners(struct dc_core *core);
void dc_peer_send(
    struct dc_core *core, uint32_t peer, const struct dc_message *message);
int dc_peer_message(struct dc_core *core, const struct dc_envelope *envelope);

/* holder.c: leases that this VM holds. */
struct dc_choice dc_lease_pick(struct dc_core *core, struct dc_pool *pool,
    const struct dc_call *call, bool panic);
void dc_lease_update_demand(struct dc_core *core, struct dc_pool *pool);
bool dc_lease_request_spare(
    struct dc_core *core, struct dc_pool *pool, bool urgent);
void dc_lease_release(struct dc_core *core, struct dc_target *target);
void dc_lease_report_held(struct dc_core *core, struct dc_group *group);
void dc_lease_on_grant(struct dc_core *core, uint32_t peer,
    const struct dc_lease_target_count *grant);
void dc_lease_on_scarce(
    struct dc_core *core, struct dc_group *group, bool scarce);
void dc_lease_on_recall(
    struct dc_core *core, struct dc_target *target, uint32_t count);
void dc_lease_return_unused(struct dc_core *core, struct dc_pool *pool);
void dc_lease_return_idle(struct dc_core *core, struct dc_target *target);

/* owner.c: slots that this VM leases out as the owner of a group. */
struct dc_group *dc_group_find(struct dc_core *core, uint64_t id);
uint32_t dc_group_index(
    const struct dc_core *core, const struct dc_group *group);
void dc_owner_request_sync(struct dc_core *core, const struct dc_group *group);
void dc_owner_clear_target(struct dc_core *core, struct dc_target *target);
void dc_owner_begin(struct dc_core *core, struct dc_group *group);
void dc_owner_end(struct dc_core *core, struct dc_group *group);
void dc_owner_on_timer(struct dc_core *core);
void dc_owner_drop_peer(struct dc_core *core, uint32_t peer);
void dc_owner_on_demand(struct dc_core *core, struct dc_group *group,
    uint32_t peer, uint32_t count);
void dc_owner_on_return(struct dc_core *core, struct dc_target *target,
    uint32_t peer, const struct dc_lease_target_count *returned);
void dc_owner_on_sync(
    struct dc_core *core, struct dc_group *group, uint32_t peer, uint64_t sync);
void dc_owner_on_held(struct dc_core *core, struct dc_target *target,
    uint32_t peer, const struct dc_lease_target_count *held);

/* key_table.c: hash tables of keys. */
int dc_key_table_init(struct dc_key_table *table, uint32_t size);
void dc_key_table_free(struct dc_key_table *table);
struct dc_key_record *dc_key_find(
    struct dc_key_table *table, uint64_t a, uint64_t b, int64_t now_us);
struct dc_key_record *dc_key_insert(struct dc_key_table *table, uint64_t a,
    uint64_t b, int64_t expires_us, int64_t now_us);

/* keys.c: keys whose home is this VM, or that the store claims. */
bool dc_key_is_home(const struct dc_core *core, const struct dc_key *key);
bool dc_key_try_answer(
    struct dc_core *core, const struct dc_call_arrived *event);
void dc_key_begin(struct dc_core *core, struct dc_call *call);
void dc_key_record_end(
    struct dc_core *core, struct dc_call *call, enum dc_key_state state);
void dc_key_on_claim_result(struct dc_core *core, uint32_t peer,
    const struct dc_key_claim_result *result);
void dc_key_on_timer(struct dc_core *core, struct dc_call *call);
void dc_key_choose_witness(struct dc_core *core);
void dc_key_request_window(struct dc_core *core);
uint64_t dc_key_own_window(const struct dc_core *core);
bool dc_key_window_expired(const struct dc_core *core, uint64_t window);

/* bare_keys.c: keys that are claimed in the store, also after a restore. */
void dc_bare_on_era(struct dc_core *core, uint64_t era);
void dc_bare_on_peer(
    struct dc_core *core, uint32_t index, const struct dc_peer_changed *event);
enum dc_claim_result dc_bare_answer(
    struct dc_core *core, const struct dc_key_claim *claim);
void dc_bare_claim(struct dc_core *core, struct dc_call *call);
void dc_bare_on_store_result(struct dc_core *core, struct dc_call *call,
    const struct dc_store_claimed *event);
void dc_bare_on_answer(struct dc_core *core, struct dc_call *call,
    uint32_t peer, enum dc_claim_result result);
void dc_bare_on_timer(struct dc_core *core, struct dc_call *call);

/* witness.c: claims on keys whose home is another VM. */
enum dc_claim_result dc_witness_claim(
    struct dc_core *core, const struct dc_key_claim *claim);
enum dc_kill_result dc_witness_kill(
    struct dc_core *core, const struct dc_key_kill *kill);

/* forward.c: calls whose key's home is another VM. */
void dc_forward_begin(struct dc_core *core, struct dc_call *call);
void dc_forward_on_sent(
    struct dc_core *core, struct dc_call *call, struct dc_attempt *attempt);
void dc_forward_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result);
void dc_forward_on_kill_result(
    struct dc_core *core, const struct dc_key_kill_result *result);
void dc_forward_on_timer(struct dc_core *core, struct dc_call *call);

/* core.c */
struct dc_action *dc_action_add(struct dc_core *core, enum dc_action_type type);
bool dc_actions_have_room(const struct dc_core *core);

#endif
