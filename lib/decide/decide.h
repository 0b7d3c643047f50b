/*
 * decide: the decision core of an entry VM. A pure state machine: it is fed
 * events and the time, and returns actions. It does no input or output, reads
 * no clock and draws random numbers from its seed only, so the same events
 * give the same actions.
 *
 * Pools, targets, routes, members and entry VMs are named by 64-bit hashes of
 * their names (cs_hash()), which are the same on every VM and in every
 * version of the configuration.
 */
#ifndef DC_DECIDE_H
#define DC_DECIDE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DC_CALLS_MAX 16384 /* calls known at one time, waiting or running */
#define DC_ROUTES_MAX 256
#define DC_POOLS_MAX 64
#define DC_TARGETS_MAX 1024 /* over all pools */
#define DC_MEMBERS_MAX 32   /* with a queue of their own, per pool */
#define DC_ATTEMPTS_MAX 2   /* of one call at the same time */
#define DC_ACTIONS_MAX 256  /* of one step */

/* Why a call was refused or ended. The numbers never change. */
enum dc_reason {
	DC_REASON_NONE = 0,
	DC_REASON_NO_ROUTE = 1001,	  /* no route matches */
	DC_REASON_NO_TARGET = 1002,	  /* the pool has no usable target */
	DC_REASON_QUEUE_FULL = 1003,	  /* too many calls wait */
	DC_REASON_WOULD_BE_LATE = 1004,	  /* could not finish in time */
	DC_REASON_DEADLINE = 1005,	  /* the time ran out */
	DC_REASON_CONNECT_FAILED = 1006,  /* no target could be reached */
	DC_REASON_TARGET_BROKE = 1007,	  /* sent, then the target broke off */
	DC_REASON_QUARANTINED = 1008,	  /* requests like it killed targets */
	DC_REASON_CALLS_FULL = 1009,	  /* DC_CALLS_MAX calls are known */
	DC_REASON_STOPPING = 1010,	  /* this VM is about to stop */
	DC_REASON_NO_CONFIG = 1011,	  /* no configuration is in force yet */
	DC_REASON_TOO_DEEP = 1012,	  /* the chain of calls is too deep */
	DC_REASON_UPLOAD_MEMORY = 1013,	  /* uploads fill their memory */
	DC_REASON_BAD_REQUEST = 1014,	  /* a request header is not valid */
	DC_REASON_BODY_TOO_LARGE = 1015,  /* over the limit of one request */
	DC_REASON_ANSWER_UNFRAMED = 1016, /* a target's answer has no length */
	DC_REASON_DISPLACED = 1017,   /* work of more weight took its place */
	DC_REASON_CALLER_LEFT = 1018, /* nobody reads this answer */
};

/* What is certain about a refused call. */
enum dc_outcome {
	DC_OUTCOME_NOT_RUN, /* no byte of it ever went to a target */
	DC_OUTCOME_UNKNOWN, /* it may have run */
};

enum dc_event_type {
	DC_EV_TABLE_BEGIN, /* a new configuration follows */
	DC_EV_TABLE_POOL,
	DC_EV_TABLE_TARGET, /* of the pool before it */
	DC_EV_TABLE_SHARE,  /* of the pool before it */
	DC_EV_TABLE_ROUTE,
	DC_EV_TABLE_END, /* the new configuration is complete: in force */
	DC_EV_CALL_ARRIVED,
	DC_EV_CALL_LEFT,    /* its caller is gone */
	DC_EV_ATTEMPT_SENT, /* connected; from now on it may run */
	DC_EV_ATTEMPT_HEAD, /* the head of the answer is here */
	DC_EV_ATTEMPT_ENDED,
	DC_EV_TARGET_DRAINS, /* said by the target or by the VM list */
	DC_EV_STOPPING,	     /* no further calls are taken */
	DC_EV_TIMER,
};

/* How an attempt ended. */
enum dc_result {
	DC_RESULT_WHOLE,     /* the whole answer was received */
	DC_RESULT_NOT_SENT,  /* no connection: no byte went out */
	DC_RESULT_BROKEN,    /* after bytes went out, before a head */
	DC_RESULT_TRUNCATED, /* after the head */
	DC_RESULT_UNFRAMED,  /* a head without a length for its body */
};

struct dc_table_begin {
	uint64_t version;
};

struct dc_table_pool {
	uint64_t pool;
};

struct dc_table_target {
	uint64_t target;
	uint64_t region;
	uint32_t slots;
	uint8_t drain;
};

struct dc_table_share {
	uint64_t member;
	uint32_t weight;
};

struct dc_table_route {
	uint64_t route;
	uint64_t pool;
	uint32_t weight;
	uint8_t idempotent;
};

struct dc_call_arrived {
	uint64_t call; /* unique, chosen by the shell */
	uint64_t route;
	uint64_t member;
	uint64_t fingerprint; /* equal for requests that are the same */
	int64_t deadline_us;
};

struct dc_call_left {
	uint64_t call;
};

struct dc_attempt_sent {
	uint64_t call;
	uint32_t attempt;
	uint8_t reused; /* on a connection that carried calls before */
};

struct dc_attempt_head {
	uint64_t call;
	uint32_t attempt;
	uint32_t status;
};

struct dc_attempt_ended {
	uint64_t call;
	uint32_t attempt;
	uint8_t result; /* enum dc_result */
};

struct dc_target_drains {
	uint64_t target;
	uint8_t drain;
};

struct dc_event {
	enum dc_event_type type;
	union {
		struct dc_table_begin table_begin;
		struct dc_table_pool table_pool;
		struct dc_table_target table_target;
		struct dc_table_share table_share;
		struct dc_table_route table_route;
		struct dc_call_arrived arrived;
		struct dc_call_left left;
		struct dc_attempt_sent sent;
		struct dc_attempt_head head;
		struct dc_attempt_ended ended;
		struct dc_target_drains drains;
	};
};

enum dc_action_type {
	DC_ACT_SEND,   /* start an attempt */
	DC_ACT_CANCEL, /* give an attempt up; no event of it may follow */
	DC_ACT_RELAY,  /* pass this attempt's answer on to the caller */
	DC_ACT_REFUSE, /* answer the caller ourselves; the call is forgotten */
	DC_ACT_CUT,    /* the relayed answer broke: close on the caller */
	DC_ACT_DONE,   /* the whole answer was relayed; the call is forgotten */
};

struct dc_send {
	uint64_t call;
	uint64_t target;
	int64_t deadline_us;
	uint32_t attempt;
	uint8_t fresh; /* must not reuse a connection */
};

struct dc_attempt_ref {
	uint64_t call;
	uint32_t attempt;
};

struct dc_refuse {
	uint64_t call;
	uint32_t reason; /* enum dc_reason */
	uint8_t outcome; /* enum dc_outcome */
};

struct dc_action {
	enum dc_action_type type;
	union {
		struct dc_send send;
		struct dc_attempt_ref cancel;
		struct dc_attempt_ref relay;
		struct dc_refuse refuse;
		struct dc_attempt_ref cut;
		struct dc_attempt_ref done;
	};
};

struct dc_actions {
	uint32_t count;
	struct dc_action items[DC_ACTIONS_MAX];
};

/* How a waiting call finds its target. */
enum dc_dispatch {
	DC_DISPATCH_TWO_CHOICES, /* the less busy of two, local counts only */
};

struct dc_core;

/*
 * dc_core_create(seed): a core without a configuration, or NULL when memory
 * is short. All memory it will ever use is allocated here.
 */
struct dc_core *dc_core_create(uint64_t seed);
void dc_core_free(struct dc_core *core);

/*
 * dc_parameter_set(core, name, value): sets a parameter by its name.
 * CS_E_MISSING for an unknown name, CS_E_INVALID out of its bounds.
 * dc_parameter_info() gives name and bounds by index, or CS_E_MISSING.
 */
struct dc_parameter_info {
	const char *name;
	int64_t min;
	int64_t max;
	int64_t initial;
};
int dc_parameter_set(struct dc_core *core, const char *name, int64_t value);
int dc_parameter_info(uint32_t index, struct dc_parameter_info *out);

/*
 * dc_step(core, event, now_us, actions): takes one event. Overwrites actions
 * with what is to be done, in order. Returns CS_E_INVALID for an event that
 * makes no sense, such as an attempt that is not under way; the state is then
 * unchanged and there are no actions.
 */
int dc_step(struct dc_core *core, const struct dc_event *event, int64_t now_us,
    struct dc_actions *actions);
/* dc_wake_us(core): when the next DC_EV_TIMER is due, INT64_MAX for never. */
int64_t dc_wake_us(const struct dc_core *core);

/* What the core counts, for metrics and status. */
struct dc_counters {
	uint64_t arrived;
	uint64_t sent;
	uint64_t done;
	uint64_t refused_not_run;
	uint64_t refused_unknown;
	uint64_t cut;
	uint64_t left;
	uint64_t retries;
	uint64_t hedges;
	uint64_t ejections;
	uint64_t quarantines;
	uint32_t waiting;
	uint32_t running;
};
void dc_counters(const struct dc_core *core, struct dc_counters *out);

/*
 * dc_check(core): walks the whole state and returns NULL, or the text of the
 * first invariant that does not hold. For tests and the fuzzer.
 */
const char *dc_check(const struct dc_core *core);

/* dc_reason_text(reason): its fixed name, such as "queue_full". */
const char *dc_reason_text(enum dc_reason reason);

#endif
