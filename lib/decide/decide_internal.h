/* State shared by the modules of the decision core. */
#ifndef DC_DECIDE_INTERNAL_H
#define DC_DECIDE_INTERNAL_H

#include "../base/base.h"
#include "decide.h"

#define DC_NONE UINT32_MAX
#define DC_CALL_INDEX_SIZE (2 * DC_CALLS_MAX) /* open addressing, half full */
#define DC_SUSPECTS_MAX 1024
#define DC_CLASSES_MAX 4 /* route weights told apart within one pool */
#define DC_MILLI 1000	 /* budgets count in thousandths of a call */

/* One node of a pairing heap, kept inside the call it orders. */
struct dc_node {
	int64_t key;
	uint32_t child;
	uint32_t next;
	uint32_t previous; /* parent for a first child */
	bool linked;
};

/* Which of a call's nodes a heap uses. */
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
	uint32_t number; /* as in actions and events */
	uint32_t target;
	int64_t started_us;
	bool reused;
	bool hedge;
};

enum dc_call_state {
	DC_CALL_FREE,
	DC_CALL_WAITING,
	DC_CALL_RUNNING,
	DC_CALL_RELAYING,
};

struct dc_call {
	enum dc_call_state state;
	uint64_t id;
	uint64_t fingerprint;
	uint32_t pool;
	uint32_t route;
	uint32_t member; /* queue within the pool */
	uint32_t class;	 /* heap within the queue */
	uint32_t weight;
	bool idempotent;
	bool maybe_ran; /* an attempt was sent */
	bool suspect;	/* in flight when a target died */
	int64_t arrived_us;
	int64_t deadline_us;
	uint32_t sends;
	uint32_t avoid; /* target of the failed attempt */
	struct dc_attempt attempts[DC_ATTEMPTS_MAX];
	struct dc_node nodes[DC_NODE_KINDS];
	uint32_t next_free;
};

struct dc_target {
	bool used;
	bool listed; /* in the configuration in force */
	uint64_t id;
	uint64_t region;
	uint32_t pool;
	uint32_t slots;
	uint32_t in_flight;
	bool drain;	   /* by configuration */
	bool drain_signal; /* by itself or by the VM list */
	bool exclusive;	   /* runs a suspect alone */
	uint32_t failures; /* in a row */
	uint32_t eject_level;
	int64_t ejected_until_us;
	int64_t service_us; /* moving average, 0: none yet */
	int64_t died_us;    /* last time it broke a call off */
};

/* The waiting calls of one member: a heap by deadline for each class. */
struct dc_queue {
	uint64_t member;
	uint32_t weight; /* of the member's share */
	uint32_t waiting;
	uint64_t pass;
	struct dc_heap classes[DC_CLASSES_MAX];
};

struct dc_pool {
	bool used;
	bool listed;
	uint64_t id;
	uint32_t targets[DC_TARGETS_MAX];
	uint32_t target_count;
	struct dc_queue queues[DC_MEMBERS_MAX];
	uint32_t queue_count;
	uint32_t class_weights[DC_CLASSES_MAX]; /* of its routes, rising */
	uint32_t class_count;
	uint64_t pass;
	uint32_t waiting;
	uint32_t calls; /* waiting or running */
	int64_t last_send_us;
	int64_t interval_us; /* moving average between sends while some wait */
	int64_t service_us;  /* moving average of an attempt */
};

struct dc_route {
	bool used;
	bool listed;
	uint64_t id;
	uint32_t pool;
	uint32_t weight;
	bool idempotent;
	int64_t retry_budget; /* thousandths of a call */
	int64_t hedge_budget;
	int64_t slow_us; /* running estimate of the 95th percentile */
};

struct dc_suspect {
	uint64_t fingerprint;
	uint32_t deaths;
	int64_t until_us;
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
	DC_P_COUNT,
};

struct dc_core {
	struct cs_random random;
	int64_t parameters[DC_P_COUNT];
	int64_t now_us; /* of the step under way */
	struct dc_actions *actions;
	struct dc_counters counters;
	uint64_t version;
	bool loading; /* between DC_EV_TABLE_BEGIN and DC_EV_TABLE_END */
	bool stopping;
	uint32_t loading_pool;
	uint32_t first_free;
	struct dc_heap timers;
	int64_t suspects_until_us; /* the last of them lapses */
	int64_t pools_wake_us;	   /* look at waiting calls again */
	struct dc_suspect suspects[DC_SUSPECTS_MAX];
	struct dc_route routes[DC_ROUTES_MAX];
	struct dc_pool pools[DC_POOLS_MAX];
	struct dc_target targets[DC_TARGETS_MAX];
	uint32_t call_index[DC_CALL_INDEX_SIZE];
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
uint32_t dc_call_number(const struct dc_core *core, const struct dc_call *call);
void dc_call_set_timer(
    struct dc_core *core, struct dc_call *call, int64_t at_us);

/* table.c: the configuration in force. */
int dc_table_event(struct dc_core *core, const struct dc_event *event);
uint32_t dc_route_find(const struct dc_core *core, uint64_t id);
uint32_t dc_target_find(const struct dc_core *core, uint64_t id);

/* queue.c: waiting calls, shared between members. */
uint32_t dc_queue_add(struct dc_pool *pool, uint64_t member, uint32_t weight);
void dc_queue_add_class(struct dc_pool *pool, uint32_t weight);
void dc_queue_push(struct dc_core *core, struct dc_call *call, uint64_t member);
void dc_queue_remove(struct dc_core *core, struct dc_call *call);
struct dc_call *dc_queue_head(struct dc_core *core, struct dc_pool *pool);
void dc_queue_take(struct dc_core *core, struct dc_call *call);
struct dc_call *dc_queue_lightest(
    struct dc_core *core, struct dc_pool *pool, uint32_t below_weight);

/* targets.c: which target is usable, and what is learnt of each. */
bool dc_pool_has_target(const struct dc_core *core, const struct dc_pool *pool);
uint32_t dc_target_pick(
    struct dc_core *core, struct dc_pool *pool, const struct dc_call *call);
void dc_target_begin(struct dc_core *core, uint32_t target, bool exclusive);
void dc_target_release(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt);
void dc_target_succeeded(struct dc_core *core, struct dc_call *call,
    const struct dc_attempt *attempt);
void dc_target_failed(struct dc_core *core, const struct dc_attempt *attempt);

/* suspects.c: requests that kill targets. */
void dc_suspect_add(struct dc_core *core, uint64_t fingerprint);
bool dc_suspect_quarantined(const struct dc_core *core, uint64_t fingerprint);

/* dispatch.c: the life of a call. */
int dc_call_arrive(struct dc_core *core, const struct dc_call_arrived *event);
void dc_call_leave(struct dc_core *core, struct dc_call *call);
void dc_call_refuse(
    struct dc_core *core, struct dc_call *call, enum dc_reason reason);
void dc_attempt_on_sent(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, bool reused);
void dc_attempt_on_head(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, uint32_t status);
void dc_attempt_on_end(struct dc_core *core, struct dc_call *call,
    struct dc_attempt *attempt, enum dc_result result);
void dc_call_on_timer(struct dc_core *core, struct dc_call *call);
void dc_pool_dispatch(struct dc_core *core, struct dc_pool *pool);

/* core.c */
struct dc_action *dc_act(struct dc_core *core, enum dc_action_type type);
bool dc_room_for_actions(const struct dc_core *core);

#endif
