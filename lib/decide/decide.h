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
#define DC_ACTIONS_MAX 1024 /* of one step */
#define DC_PEERS_MAX 512    /* entry VMs */
#define DC_GROUPS_MAX 256   /* pairs of pool and region */
#define DC_KEYS_MAX 32768   /* whose home is this VM */

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
	DC_REASON_KEY_IN_PROGRESS = 1019, /* its first request is under way */
	DC_REASON_KEY_RAN = 1020,	  /* it ran, its answer is not kept */
	DC_REASON_KEY_UNSURE = 1021,	  /* an earlier request may have run */
	DC_REASON_KEY_KILLED = 1022,	  /* never ran and never will */
	DC_REASON_KEY_NO_WITNESS = 1023,  /* its witness gave no claim */
	DC_REASON_KEY_STORE = 1024,	  /* the store gave no claim */
	DC_REASON_KEY_HOME_GONE = 1025,	  /* its home may have run it */
	DC_REASON_KEY_NOT_HOME = 1026,	  /* forwarded to the wrong process */
	DC_REASON_KEYS_FULL = 1027,	  /* DC_KEYS_MAX keys are known */
};

/* What is certain about a refused call. */
enum dc_outcome {
	DC_OUTCOME_NOT_RUN, /* no byte of it ever went to a target */
	DC_OUTCOME_UNKNOWN, /* it may have run */
};

enum dc_event_type {
	DC_EV_SELF,	   /* who this entry VM is; the first event */
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
	DC_EV_STORE_CLAIMED, /* the store answered DC_ACT_STORE_CLAIM */
	DC_EV_TARGET_DRAINS, /* said by the target or by the VM list */
	DC_EV_PEER,	     /* an entry VM appeared, changed or went */
	DC_EV_LINK,	     /* the link to an entry VM is up, perhaps again */
	DC_EV_MESSAGE,	     /* from the core of another entry VM */
	DC_EV_STOPPING,	     /* no further calls are taken */
	DC_EV_TIMER,
	DC_EV_TYPES,
};

/* How an attempt ended. */
enum dc_result {
	DC_RESULT_WHOLE,     /* the whole answer was received */
	DC_RESULT_NOT_SENT,  /* no connection: no byte went out */
	DC_RESULT_BROKEN,    /* after bytes went out, before a head */
	DC_RESULT_TRUNCATED, /* after the head */
	DC_RESULT_UNFRAMED,  /* a head without a length for its body */
	DC_RESULT_NOT_HOME,  /* forwarded, and that VM is another process now */
};

/* Where a key says that its call may run. */
enum dc_key_scope {
	DC_KEY_NONE,  /* no key: each request is work of its own */
	DC_KEY_HOME,  /* at the entry VM whose token begins the key */
	DC_KEY_STORE, /* where the store gave the claim */
};

enum dc_store_result {
	DC_STORE_CLAIMED,     /* the key is this call's */
	DC_STORE_TAKEN,	      /* another request has it */
	DC_STORE_UNAVAILABLE, /* no claim was made, or none is certain */
};

/*
 * The fields of events, actions and messages are all of 64 bits, so that a
 * trace and the links between VMs can carry any of them as a row of numbers.
 */
#define DC_FIELDS_MAX 16

struct dc_self {
	uint64_t peer;
	uint64_t epoch;
	uint64_t region;
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
	uint64_t slots;
	uint64_t drain;
};

struct dc_table_share {
	uint64_t member;
	uint64_t weight;
};

struct dc_table_route {
	uint64_t route;
	uint64_t pool;
	uint64_t weight;
	uint64_t idempotent;
	int64_t objective_us; /* an answer is late after this, 0: none */
};

/* The key's hash, and what its token says when its scope is DC_KEY_HOME. */
struct dc_key {
	uint64_t a;
	uint64_t b;
	uint64_t scope; /* enum dc_key_scope */
	uint64_t home;	/* entry VM */
	uint64_t home_epoch;
	uint64_t witness; /* entry VM, 0: none */
	uint64_t witness_epoch;
	uint64_t window; /* of the witness's clock, when it was issued */
};

struct dc_call_arrived {
	uint64_t call; /* unique and rising, chosen by the shell */
	uint64_t route;
	uint64_t member;
	uint64_t fingerprint; /* equal for requests that are the same */
	int64_t deadline_us;
	uint64_t forwarded; /* by another entry VM, to the key's home */
	struct dc_key key;
};

struct dc_call_left {
	uint64_t call;
};

struct dc_attempt_sent {
	uint64_t call;
	uint64_t attempt;
	uint64_t reused; /* on a connection that carried calls before */
};

struct dc_attempt_head {
	uint64_t call;
	uint64_t attempt;
	uint64_t status;
};

struct dc_attempt_ended {
	uint64_t call;
	uint64_t attempt;
	uint64_t result; /* enum dc_result */
};

struct dc_store_claimed {
	uint64_t call;
	uint64_t result; /* enum dc_store_result */
};

struct dc_target_drains {
	uint64_t target;
	uint64_t drain;
};

enum dc_peer_state {
	DC_PEER_DEAD,
	DC_PEER_ALIVE,
	DC_PEER_LEAVING, /* finishes what it has; owns and witnesses nothing */
};

struct dc_peer_changed {
	uint64_t peer; /* may be this VM itself, to say that it leaves */
	uint64_t epoch;
	uint64_t region;
	uint64_t state; /* enum dc_peer_state */
};

struct dc_link_up {
	uint64_t peer;
};

/* Messages between cores. The numbers never change. */
enum dc_message_type {
	DC_MSG_LEASE_DEMAND = 1, /* a holder's unmet demand, to the owner */
	DC_MSG_LEASE_GRANT = 2,	 /* slots of a target, to a holder */
	DC_MSG_LEASE_RETURN = 3, /* given back, to the owner */
	DC_MSG_LEASE_SCARCE = 4, /* the group turned scarce, or idle again */
	DC_MSG_LEASE_RECALL = 5, /* give back what ends next on a target */
	DC_MSG_LEASE_HELD = 6,	 /* what a holder holds, after a SYNC */
	DC_MSG_LEASE_SYNC = 7, /* forget what this holder holds; HELD follow */
	DC_MSG_LEASE_SYNC_REQUEST = 8, /* by a new owner, to every VM */
	DC_MSG_KEY_WINDOW_REQUEST = 16,
	DC_MSG_KEY_WINDOW = 17, /* the witness's clock */
	DC_MSG_KEY_CLAIM = 18,	/* by the home, before it sends */
	DC_MSG_KEY_CLAIM_RESULT = 19,
	DC_MSG_KEY_KILL = 20, /* by another VM, when the home is gone */
	DC_MSG_KEY_KILL_RESULT = 21,
	DC_MSG_SUSPECT = 32, /* a request was in flight when a target died */
	DC_MSG_TARGET_DRAINING = 33, /* a target said that it drains */
};

struct dc_lease_group_count {
	uint64_t group;
	uint64_t count;
};

/*
 * The sync is the number of the holder's last SYNC. What was under way when it
 * said anew what it holds carries an older number and does not count.
 */
struct dc_lease_target_count {
	uint64_t target;
	uint64_t count;
	uint64_t sync;
};

struct dc_key_window {
	uint64_t window;
};

struct dc_key_claim {
	uint64_t a;
	uint64_t b;
	uint64_t witness_epoch;
	uint64_t window;
	uint64_t serial;     /* of this claim, unlike any other of the home */
	uint64_t supersedes; /* an earlier claim that never ran, or 0 */
};

enum dc_claim_result {
	DC_CLAIM_GRANTED,
	DC_CLAIM_KILLED,   /* another VM was told that it never ran */
	DC_CLAIM_CONFLICT, /* an earlier claim of the same key stands */
	DC_CLAIM_EXPIRED,  /* issued too long ago, or by another process */
	DC_CLAIM_FULL,	   /* no room to remember it */
};

struct dc_key_claim_result {
	uint64_t a;
	uint64_t b;
	uint64_t serial;
	uint64_t result; /* enum dc_claim_result */
};

struct dc_key_kill {
	uint64_t a;
	uint64_t b;
	uint64_t witness_epoch;
	uint64_t window;
	uint64_t ticket; /* of the asking VM, comes back */
};

enum dc_kill_result {
	DC_KILL_DONE,	 /* the key can never run from now on */
	DC_KILL_CLAIMED, /* it may have run */
	DC_KILL_UNKNOWN, /* expired, or no room */
};

struct dc_key_kill_result {
	uint64_t ticket;
	uint64_t result; /* enum dc_kill_result */
};

struct dc_suspect_report {
	uint64_t fingerprint;
	uint64_t target;	 /* that died */
	uint64_t new_connection; /* not on a connection that was used before */
};

struct dc_message {
	uint64_t type; /* enum dc_message_type */
	union {
		struct dc_lease_group_count demand;
		struct dc_lease_target_count grant;
		struct dc_lease_target_count returned;
		struct dc_lease_group_count scarce;
		struct dc_lease_target_count recall;
		struct dc_lease_target_count held;
		struct dc_lease_group_count sync; /* count: its number */
		struct dc_lease_group_count sync_request;
		struct dc_key_window window;
		struct dc_key_claim claim;
		struct dc_key_claim_result claim_result;
		struct dc_key_kill kill;
		struct dc_key_kill_result kill_result;
		struct dc_suspect_report suspect;
		struct dc_target_drains drains;
		uint64_t fields[DC_FIELDS_MAX - 2];
	};
};

/* A message with the entry VM it comes from or goes to. */
struct dc_envelope {
	uint64_t peer; /* 0 in an action: to every live entry VM */
	struct dc_message message;
};

struct dc_event {
	enum dc_event_type type;
	union {
		struct dc_self self;
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
		struct dc_store_claimed store_claimed;
		struct dc_target_drains drains;
		struct dc_peer_changed peer;
		struct dc_link_up link;
		struct dc_envelope message;
		uint64_t fields[DC_FIELDS_MAX];
	};
};

enum dc_action_type {
	DC_ACT_SEND,	/* start an attempt */
	DC_ACT_FORWARD, /* start an attempt at another entry VM */
	DC_ACT_CANCEL,	/* give an attempt up; no event of it may follow */
	DC_ACT_RELAY,	/* pass this attempt's answer on to the caller */
	DC_ACT_REPLAY,	/* answer with what the key's first call got */
	DC_ACT_REFUSE,	/* answer the caller ourselves; the call is forgotten */
	DC_ACT_CUT,	/* the relayed answer broke: close on the caller */
	DC_ACT_DONE,	/* the whole answer was relayed; call forgotten */
	DC_ACT_FLUSH,	/* open new connections to a target only */
	DC_ACT_STORE_CLAIM, /* claim the call's key in the store */
	DC_ACT_MESSAGE,	    /* to the core of another entry VM */
	DC_ACT_TYPES,
};

struct dc_send {
	uint64_t call;
	uint64_t attempt;
	uint64_t target; /* for DC_ACT_FORWARD: the entry VM */
	int64_t deadline_us;
	uint64_t fresh; /* must not reuse a connection */
};

struct dc_attempt_ref {
	uint64_t call;
	uint64_t attempt;
};

struct dc_call_ref {
	uint64_t call;
};

struct dc_flush {
	uint64_t target;
};

struct dc_refuse {
	uint64_t call;
	uint64_t reason;  /* enum dc_reason */
	uint64_t outcome; /* enum dc_outcome */
};

struct dc_action {
	enum dc_action_type type;
	union {
		struct dc_send send;
		struct dc_send forward;
		struct dc_attempt_ref cancel;
		struct dc_attempt_ref relay;
		struct dc_call_ref replay;
		struct dc_refuse refuse;
		struct dc_attempt_ref cut;
		struct dc_attempt_ref done;
		struct dc_flush flush;
		struct dc_call_ref store_claim;
		struct dc_envelope message;
		uint64_t fields[DC_FIELDS_MAX];
	};
};

struct dc_actions {
	uint32_t count;
	struct dc_action items[DC_ACTIONS_MAX];
};

/* How a waiting call finds its target. */
enum dc_dispatch {
	DC_DISPATCH_TWO_CHOICES, /* the less busy of two, local counts only */
	DC_DISPATCH_LEASES,	 /* only on a slot leased from its owner */
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
	uint64_t silences; /* of targets whose old connections went silent */
	uint64_t quarantines;
	uint64_t unleased; /* attempts beyond the leases */
	uint64_t lease_messages;
	uint64_t key_claims;
	uint64_t key_kills;
	uint32_t waiting;
	uint32_t running;
};
void dc_counters(const struct dc_core *core, struct dc_counters *out);

/*
 * dc_target_info(core, index, out): what is known of one target; the indexes
 * run from 0 until CS_E_MISSING. Slots without a target give an id of 0.
 */
struct dc_target_info {
	uint64_t id;
	uint32_t slots;
	uint32_t in_flight; /* attempts of this VM */
	uint32_t leased;    /* slots that this VM holds */
	uint32_t granted;   /* slots given out, when this VM is the owner */
	uint64_t owner;	    /* entry VM, 0: none */
	int64_t service_us; /* moving average */
	bool ejected;
	bool drains;
};
int dc_target_info(
    const struct dc_core *core, uint32_t index, struct dc_target_info *out);
/* dc_quarantined(core, index, out): fingerprints in quarantine, likewise. */
int dc_quarantined(
    const struct dc_core *core, uint32_t index, uint64_t *fingerprint);

/*
 * dc_check(core): walks the whole state and returns NULL, or the text of the
 * first invariant that does not hold. For tests and the fuzzer.
 */
const char *dc_check(const struct dc_core *core);

/*
 * dc_message_fields(type), dc_event_field_count(type),
 * dc_action_field_count(type): how many 64-bit fields it has.
 * dc_message_fields() gives 0 for an unknown type.
 */
uint32_t dc_message_fields(uint64_t type);
uint32_t dc_event_field_count(enum dc_event_type type);
uint32_t dc_action_field_count(enum dc_action_type type);
const char *dc_event_text(enum dc_event_type type);
const char *dc_action_text(enum dc_action_type type);

/*
 * dc_key_token(core, own, witness, epoch, window): the witness that a token
 * issued now should name. For keys whose home is another VM (own is false)
 * that is this VM. For its own keys it is a peer, or 0 while there is none,
 * and the window is then this VM's.
 */
void dc_key_token(const struct dc_core *core, bool own, uint64_t *witness,
    uint64_t *epoch, uint64_t *window);

/*
 * Traces: one line an event, "E NOW_US NAME FIELD ...", and one an action,
 * "A NAME FIELD ...", fields in decimal. dc_trace_parse() reads an event's
 * line; CS_E_INVALID for anything else.
 */
#define DC_TRACE_LINE_BYTES_MAX 512
int dc_trace_event(const struct dc_event *event, int64_t now_us,
    char line[DC_TRACE_LINE_BYTES_MAX]);
int dc_trace_action(
    const struct dc_action *action, char line[DC_TRACE_LINE_BYTES_MAX]);
int dc_trace_parse(const char *line, struct dc_event *event, int64_t *now_us);

/* dc_reason_text(reason): its fixed name, such as "queue_full". */
const char *dc_reason_text(enum dc_reason reason);

#endif
