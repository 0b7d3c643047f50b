/*
 * decide: the decision core of an entry VM. It is a deterministic state
 * machine that takes events and the current time and returns actions. It does
 * no input or output, reads no clock and takes random numbers from its seed
 * only, so the same sequence of events gives the same actions.
 *
 * A call is one request of a caller. An attempt is one transmission of a call
 * to a target, or to another entry VM when the call is forwarded.
 *
 * Pools, targets, routes, members and entry VMs are identified by 64-bit
 * hashes of their names (cs_hash()), which are the same on every VM and in
 * every version of the configuration.
 */
#ifndef DC_DECIDE_H
#define DC_DECIDE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DC_CALLS_MAX 16384 /* waiting or running */
#define DC_ROUTES_MAX 256
#define DC_POOLS_MAX 64
#define DC_TARGETS_MAX 1024 /* in all pools together */
#define DC_MEMBERS_MAX 32   /* per pool, with their own queue */
#define DC_ATTEMPTS_MAX 2   /* concurrent, per call */
#define DC_ACTIONS_MAX 1024 /* per step */
#define DC_PEERS_MAX 512    /* entry VMs */
#define DC_GROUPS_MAX 256   /* combinations of a pool and a region */
#define DC_KEYS_MAX 32768   /* keys whose home is this VM */

/* Why a call was refused or ended. The numbers must never change. */
enum dc_reason {
	DC_REASON_NONE = 0,
	DC_REASON_NO_ROUTE = 1001,	  /* no route matches */
	DC_REASON_NO_TARGET = 1002,	  /* the pool has no usable target */
	DC_REASON_QUEUE_FULL = 1003,	  /* the pool's queue is full */
	DC_REASON_WOULD_BE_LATE = 1004,	  /* unlikely to finish in time */
	DC_REASON_DEADLINE = 1005,	  /* the deadline has passed */
	DC_REASON_CONNECT_FAILED = 1006,  /* no connection to a target */
	DC_REASON_TARGET_BROKE = 1007,	  /* target closed before responding */
	DC_REASON_QUARANTINED = 1008,	  /* such requests crashed targets */
	DC_REASON_CALLS_FULL = 1009,	  /* DC_CALLS_MAX calls are open */
	DC_REASON_STOPPING = 1010,	  /* this VM is shutting down */
	DC_REASON_NO_CONFIG = 1011,	  /* no configuration is loaded yet */
	DC_REASON_TOO_DEEP = 1012,	  /* too many nested calls */
	DC_REASON_UPLOAD_MEMORY = 1013,	  /* memory for uploads is used up */
	DC_REASON_BAD_REQUEST = 1014,	  /* a request header is invalid */
	DC_REASON_BODY_TOO_LARGE = 1015,  /* the request body is too large */
	DC_REASON_ANSWER_UNFRAMED = 1016, /* the response has no length */
	DC_REASON_DISPLACED = 1017,   /* evicted for a call of more weight */
	DC_REASON_CALLER_LEFT = 1018, /* the caller disconnected */
	DC_REASON_KEY_IN_PROGRESS = 1019, /* the key's first call still runs */
	DC_REASON_KEY_RAN = 1020,	  /* ran; its response is not stored */
	DC_REASON_KEY_UNSURE = 1021,	  /* an earlier call may have run */
	DC_REASON_KEY_KILLED = 1022,	  /* killed: never ran, never will */
	DC_REASON_KEY_NO_WITNESS = 1023,  /* its witness granted no claim */
	DC_REASON_KEY_STORE = 1024,	  /* the store granted no claim */
	DC_REASON_KEY_HOME_GONE = 1025, /* its home is lost, may have run it */
	DC_REASON_KEY_NOT_HOME = 1026,	/* forwarded to the wrong process */
	DC_REASON_KEYS_FULL = 1027,	/* the table of keys is full */
};

/* Whether a refused call can have run. */
enum dc_outcome {
	DC_OUTCOME_NOT_RUN, /* no byte of it was sent to a target */
	DC_OUTCOME_UNKNOWN, /* it may have run */
};

enum dc_event_type {
	DC_EV_SELF,	   /* identity of this entry VM; the first event */
	DC_EV_TABLE_BEGIN, /* start of a new configuration */
	DC_EV_TABLE_POOL,
	DC_EV_TABLE_TARGET, /* of the last DC_EV_TABLE_POOL */
	DC_EV_TABLE_SHARE,  /* of the last DC_EV_TABLE_POOL */
	DC_EV_TABLE_ROUTE,
	DC_EV_TABLE_END, /* the new configuration takes effect */
	DC_EV_CALL_ARRIVED,
	DC_EV_CALLER_DISCONNECTED, /* the connection of its caller closed */
	DC_EV_ATTEMPT_SENT,	   /* connected; the call may run from now on */
	DC_EV_ATTEMPT_HEAD,	   /* the response head was received */
	DC_EV_ATTEMPT_ENDED,
	DC_EV_STORE_CLAIMED,   /* result of DC_ACT_STORE_CLAIM */
	DC_EV_STORE_ERA,       /* a response of the store named its era */
	DC_EV_TARGET_DRAINING, /* reported by the target or the VM list */
	DC_EV_PEER,	       /* an entry VM joined, changed or left */
	DC_EV_LINK,	       /* a link to an entry VM was (re)established */
	DC_EV_MESSAGE,	       /* from the core of another entry VM */
	DC_EV_STOPPING,	       /* no further calls are accepted */
	DC_EV_TIMER,
	DC_EV_TYPES,
};

/* How an attempt ended. */
enum dc_result {
	DC_RESULT_COMPLETE,	   /* the complete response was received */
	DC_RESULT_NOT_SENT,	   /* no connection; no byte was sent */
	DC_RESULT_CONNECTION_LOST, /* after sending, before a head */
	DC_RESULT_TRUNCATED,	   /* connection lost after the head */
	DC_RESULT_NO_LENGTH,	   /* the head gives no length for the body */
	DC_RESULT_NOT_HOME, /* forwarded; that VM runs another process now */
};

/* Which process may run a call, according to its idempotency key. */
enum dc_key_scope {
	DC_KEY_NONE,  /* no key: each request is a separate call */
	DC_KEY_HOME,  /* the entry VM that the key's token names */
	DC_KEY_STORE, /* the entry VM whose claim the store accepted */
};

enum dc_store_result {
	DC_STORE_CLAIMED,     /* this call holds the key */
	DC_STORE_CONFLICT,    /* another request holds it */
	DC_STORE_UNAVAILABLE, /* no claim, or its result is not known */
};

/*
 * All fields of events, actions and messages have 64 bits, so that traces and
 * links between VMs can encode each of them as an array of numbers.
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
	int64_t objective_us; /* a response is late after this, 0: none */
};

/*
 * An idempotency key: its 128-bit hash (a, b) and, when its scope is
 * DC_KEY_HOME, the contents of its token.
 */
struct dc_key {
	uint64_t a;
	uint64_t b;
	uint64_t scope; /* enum dc_key_scope */
	uint64_t home;	/* entry VM */
	uint64_t home_epoch;
	uint64_t witness; /* entry VM, 0: none */
	uint64_t witness_epoch;
	uint64_t window; /* time window of the witness at issue */
};

struct dc_call_arrived {
	uint64_t call; /* unique and increasing, assigned by the I/O layer */
	uint64_t route;
	uint64_t member;
	uint64_t fingerprint; /* equal for identical requests */
	int64_t deadline_us;
	uint64_t forwarded; /* 1: another entry VM sent it to the key's home */
	struct dc_key key;
};

struct dc_caller_disconnected {
	uint64_t call;
};

struct dc_attempt_sent {
	uint64_t call;
	uint64_t attempt;
	uint64_t reused; /* the connection carried calls before */
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
	uint64_t era;	 /* of the store, in the response that has the claim */
};

/* An era rises when the store comes back from an older copy; 0: unnamed. */
struct dc_store_era {
	uint64_t era;
};

struct dc_target_draining {
	uint64_t target;
	uint64_t drain;
};

enum dc_peer_state {
	DC_PEER_DEAD,
	DC_PEER_ALIVE,
	DC_PEER_LEAVING, /* finishes its calls; is no owner or witness */
};

struct dc_peer_changed {
	uint64_t peer; /* this VM itself only with DC_PEER_LEAVING */
	uint64_t epoch;
	uint64_t region;
	uint64_t state; /* enum dc_peer_state */
};

struct dc_link_up {
	uint64_t peer;
};

/* Messages between cores. The numbers must never change. */
enum dc_message_type {
	DC_MSG_LEASE_DEMAND = 1, /* unmet demand of a holder, to the owner */
	DC_MSG_LEASE_GRANT = 2,	 /* slots of a target, to a holder */
	DC_MSG_LEASE_RETURN = 3, /* returned slots, to the owner */
	DC_MSG_LEASE_SCARCE = 4, /* slots are scarce, or spare again */
	DC_MSG_LEASE_RECALL = 5, /* return slots as they become idle */
	DC_MSG_LEASE_HELD = 6,	 /* slots that a holder holds, after a SYNC */
	DC_MSG_LEASE_SYNC = 7,	 /* reset its grants; HELD follow */
	DC_MSG_LEASE_SYNC_REQUEST = 8, /* from a new owner, to every VM */
	DC_MSG_KEY_WINDOW_REQUEST = 16,
	DC_MSG_KEY_WINDOW = 17, /* the witness's current time window */
	DC_MSG_KEY_CLAIM = 18,	/* from the home, before it sends the call */
	DC_MSG_KEY_CLAIM_RESULT = 19,
	DC_MSG_KEY_KILL = 20, /* from another VM, if the home is lost */
	DC_MSG_KEY_KILL_RESULT = 21,
	DC_MSG_SUSPECT = 32, /* a request was in flight when a target crashed */
	DC_MSG_TARGET_DRAINING = 33, /* a target starts or stops draining */
};

struct dc_lease_group_count {
	uint64_t group;
	uint64_t count;
};

/*
 * sync is the number of the holder's last SYNC. A message that was in flight
 * when the holder reported its leases again carries an older number and is
 * ignored.
 */
struct dc_lease_target_count {
	uint64_t target;
	uint64_t count;
	uint64_t sync;
};

struct dc_key_window {
	uint64_t window;
};

/*
 * For a bare key, whose claim the sender has in the store, witness_epoch is 0
 * and window is the store's era: does the recipient hold the key? A build that
 * cannot tell answers DC_CLAIM_EXPIRED, since no process has epoch 0.
 */
struct dc_key_claim {
	uint64_t a;
	uint64_t b;
	uint64_t witness_epoch;
	uint64_t window;
	uint64_t serial;     /* of this claim, unique at the home */
	uint64_t supersedes; /* earlier claim that never ran, or 0 */
};

enum dc_claim_result {
	DC_CLAIM_GRANTED,
	DC_CLAIM_KILLED,   /* killed: another VM was told that it never ran */
	DC_CLAIM_CONFLICT, /* an earlier claim of the key is in force */
	DC_CLAIM_EXPIRED,  /* token too old, or of another witness process */
	DC_CLAIM_FULL,	   /* the witness's table is full */
	/* Of a bare key, which the recipient does not hold: */
	DC_CLAIM_NOT_HELD,  /* the store was restored; ask for each key */
	DC_CLAIM_NONE_HELD, /* it holds no key of an earlier era */
	DC_CLAIM_SETTLED,   /* no VM can hold a key of an earlier era */
	DC_CLAIM_LOST,	    /* a VM that may have held it has ended */
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
	uint64_t ticket; /* chosen by the sender, returned in the result */
};

enum dc_kill_result {
	DC_KILL_DONE,	 /* the key's call never ran and never will */
	DC_KILL_CLAIMED, /* claimed: the call may have run */
	DC_KILL_UNKNOWN, /* token expired, or the table is full */
};

struct dc_key_kill_result {
	uint64_t ticket;
	uint64_t result; /* enum dc_kill_result */
};

struct dc_suspect_report {
	uint64_t fingerprint;
	uint64_t target;	 /* that crashed */
	uint64_t new_connection; /* 0: on a reused connection */
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
		struct dc_target_draining draining;
		uint64_t fields[DC_FIELDS_MAX - 2];
	};
};

/* A message with its sender (in events) or recipient (in actions). */
struct dc_envelope {
	uint64_t peer; /* 0 in an action: all other live entry VMs */
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
		struct dc_caller_disconnected disconnected;
		struct dc_attempt_sent sent;
		struct dc_attempt_head head;
		struct dc_attempt_ended ended;
		struct dc_store_claimed store_claimed;
		struct dc_store_era store_era;
		struct dc_target_draining draining;
		struct dc_peer_changed peer;
		struct dc_link_up link;
		struct dc_envelope message;
		uint64_t fields[DC_FIELDS_MAX];
	};
};

enum dc_action_type {
	DC_ACT_SEND,	/* start an attempt */
	DC_ACT_FORWARD, /* start an attempt at another entry VM */
	DC_ACT_CANCEL,	/* cancel an attempt; no event of it may follow */
	DC_ACT_RELAY,	/* relay this attempt's response to the caller */
	DC_ACT_REPLAY,	/* send the stored response of the key's first call */
	DC_ACT_REFUSE,	/* respond with an error; the call ends */
	DC_ACT_ABORT,	/* response incomplete: close the caller's connection */
	DC_ACT_DONE,	/* the complete response was relayed; the call ends */
	DC_ACT_RETIRE_CONNECTIONS, /* stop reusing present connections */
	DC_ACT_STORE_CLAIM,	   /* claim the call's key in the store */
	DC_ACT_MESSAGE,		   /* to the core of another entry VM */
	DC_ACT_TYPES,
};

struct dc_send {
	uint64_t call;
	uint64_t attempt;
	uint64_t target; /* for DC_ACT_FORWARD: an entry VM */
	int64_t deadline_us;
	uint64_t new_connection; /* 1: do not reuse a connection */
};

struct dc_attempt_ref {
	uint64_t call;
	uint64_t attempt;
};

struct dc_call_ref {
	uint64_t call;
};

struct dc_retire_connections {
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
		struct dc_attempt_ref abort;
		struct dc_attempt_ref done;
		struct dc_retire_connections retire;
		struct dc_call_ref store_claim;
		struct dc_envelope message;
		uint64_t fields[DC_FIELDS_MAX];
	};
};

struct dc_actions {
	uint32_t count;
	struct dc_action items[DC_ACTIONS_MAX];
};

/* How a target is chosen for a waiting call. */
enum dc_dispatch {
	DC_DISPATCH_TWO_CHOICES, /* less loaded of two, by local counts */
	DC_DISPATCH_LEASES,	 /* a slot that is leased from its owner */
};

struct dc_core;

/*
 * dc_core_create(seed): returns a core without a configuration, or NULL when
 * out of memory. All memory of the core is allocated here.
 */
struct dc_core *dc_core_create(uint64_t seed);
void dc_core_free(struct dc_core *core);

/*
 * dc_parameter_set(core, name, value): sets the named parameter. Returns
 * CS_E_MISSING for an unknown name and CS_E_INVALID for a value out of bounds.
 * dc_parameter_info() returns name and bounds of the parameter at an index, or
 * CS_E_MISSING past the last one.
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
 * dc_step(core, event, now_us, actions): processes one event. Overwrites
 * actions with those to be done, in order. Returns CS_E_INVALID for an event
 * that does not fit the state, such as one of an unknown attempt; the state is
 * then unchanged and there are no actions. Returns CS_E_FULL when a table that
 * the event adds to is full.
 */
int dc_step(struct dc_core *core, const struct dc_event *event, int64_t now_us,
    struct dc_actions *actions);
/* dc_next_timer_us(core): time of the next DC_EV_TIMER, INT64_MAX: none. */
int64_t dc_next_timer_us(const struct dc_core *core);

/* Counters for metrics and status. */
struct dc_counters {
	uint64_t arrived;
	uint64_t sent;
	uint64_t done;
	uint64_t refused_not_run;
	uint64_t refused_unknown;
	uint64_t aborted;
	uint64_t callers_disconnected;
	uint64_t retries;
	uint64_t hedges;
	uint64_t ejections;
	uint64_t stale_detections; /* targets with stale connections */
	uint64_t quarantines;
	uint64_t unleased; /* attempts without a lease */
	uint64_t lease_messages;
	uint64_t key_claims;
	uint64_t key_kills;
	uint64_t key_questions; /* about bare keys, to other VMs */
	uint32_t waiting;
	uint32_t running;
};
void dc_counters(const struct dc_core *core, struct dc_counters *out);

/*
 * dc_target_info(core, index, out): returns the state of one target. Indexes
 * run from 0 until CS_E_MISSING; an unused index gives an id of 0.
 */
struct dc_target_info {
	uint64_t id;
	uint32_t slots;
	uint32_t in_flight; /* attempts of this VM */
	uint32_t leased;    /* slots leased to this VM */
	uint32_t granted;   /* slots leased out, when this VM is the owner */
	uint64_t owner;	    /* entry VM, 0: none */
	int64_t service_us; /* moving average of the response time */
	bool ejected;
	bool draining;
};
int dc_target_info(
    const struct dc_core *core, uint32_t index, struct dc_target_info *out);
/* dc_call_waits(core, call): the call waits for a slot of its pool. */
bool dc_call_waits(struct dc_core *core, uint64_t call);
/*
 * dc_quarantined(core, index, fingerprint): returns one quarantined
 * fingerprint; an unused index gives 0. Indexes run as in dc_target_info().
 */
int dc_quarantined(
    const struct dc_core *core, uint32_t index, uint64_t *fingerprint);

/*
 * dc_check(core): checks the invariants of the whole state. Returns NULL, or a
 * description of the first violation. For tests and the fuzzer.
 */
const char *dc_check(const struct dc_core *core);

/*
 * dc_message_field_count(type), dc_event_field_count(type),
 * dc_action_field_count(type): return the number of 64-bit fields of the type,
 * 0 for an unknown one.
 */
uint32_t dc_message_field_count(uint64_t type);
uint32_t dc_event_field_count(enum dc_event_type type);
uint32_t dc_action_field_count(enum dc_action_type type);
const char *dc_event_text(enum dc_event_type type);
const char *dc_action_text(enum dc_action_type type);

/*
 * dc_key_token_witness(core, own, witness, epoch, window): returns the witness
 * to name in a key token that is issued now, with the witness's epoch and time
 * window. For keys whose home is another VM (own is false) the witness is this
 * VM. For keys of this VM it is a peer, or 0 while none is available; the
 * window is then that of this VM.
 */
void dc_key_token_witness(const struct dc_core *core, bool own,
    uint64_t *witness, uint64_t *epoch, uint64_t *window);

/*
 * Traces have one line per event, "E NOW_US NAME FIELD ...", and one per
 * action, "A NAME FIELD ...", with fields in decimal. dc_trace_parse() parses
 * the line of an event and returns CS_E_INVALID for any other text.
 */
#define DC_TRACE_LINE_BYTES_MAX 512
int dc_trace_event(const struct dc_event *event, int64_t now_us,
    char line[DC_TRACE_LINE_BYTES_MAX]);
int dc_trace_action(
    const struct dc_action *action, char line[DC_TRACE_LINE_BYTES_MAX]);
int dc_trace_parse(const char *line, struct dc_event *event, int64_t *now_us);

/* dc_reason_text(reason): returns its stable name, such as "queue_full". */
const char *dc_reason_text(enum dc_reason reason);

#endif
