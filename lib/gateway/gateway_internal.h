#ifndef GW_GATEWAY_INTERNAL_H
#define GW_GATEWAY_INTERNAL_H

#include <glib.h>

#include "../balance/queue.h"
#include "gateway.h"

struct gw_call;

/* One pool, and the calls of this VM that wait for it. */
struct gw_pool {
	struct bl_pool *balance;
	struct gw *gw;
	char health_path[RT_NAME_BYTES_MAX];
	uint32_t connections_max;
	struct bl_queue queue;		 /* of the calls that wait */
	struct gw_call *awaiting_probes; /* calls with pending probes */
	uv_timer_t dispatch_timer;	 /* places the waiting calls again */
	double probe_tokens;		 /* probes that may be sent now */
	int64_t probe_tokens_at_us;
};

#define GW_SUSPECTS_MAX 32 /* lost in one crash; targets run far fewer */

/* The connections to one target. */
struct gw_target_connections {
	struct gw *gw;
	struct bl_target *target;
	struct gw_connection *idle;  /* most recently used first */
	struct gw_connection *probe; /* NULL: no probe is pending */
	uint32_t open_count;
	int64_t heard_us; /* the last response; 0: none yet */
	/*
	 * Requests that were lost here. All of them count as having crashed the
	 * target once it is known to have ended: which one did is not known.
	 */
	struct gw_lost_request {
		uint64_t fingerprint;
		int64_t lost_us;
		uint32_t trials; /* see struct bl_crash */
		bool ended;	 /* the target ended the connection */
		bool dismissed;	 /* the target accepted a connection later */
	} suspects[GW_SUSPECTS_MAX];
	uint32_t suspect_count;
	struct gw_connection *check; /* NULL: no check for a crash is pending */
	int64_t check_started_us;
	uint32_t check_ticks; /* of the gateway's check_timer since then */
};

#define GW_ID_BYTES_MAX 128 /* of a request, see gw_shorten_id() */

/* One connection to a target, for one request at a time. */
struct gw_connection {
	struct h1_client_conn *h1;
	struct gw_target_connections *owner;
	struct gw_connection *next_idle;
	struct gw_call *call; /* NULL: idle, a probe or a check */
	bool probing;
	bool checking; /* shows whether the target still listens */
	int64_t last_used_us;
	int64_t idle_limit_us;
	char previous_id[GW_ID_BYTES_MAX]; /* of the previous request */
	char id[GW_ID_BYTES_MAX];
	bool reused;
	/* A late response to its request could not be told from another. */
	bool unmatchable;
};

enum gw_call_state {
	GW_CALL_FREE,
	GW_CALL_HELD,		/* until this VM has loaded its objects */
	GW_CALL_AWAITING_QUOTA, /* of its tenant */
	GW_CALL_PLACING,
	GW_CALL_PROBING,
	GW_CALL_WAITING,
	GW_CALL_SENT,
};

/* One request of a caller, with the state of its attempts. */
struct gw_call {
	struct gw *gw;
	struct h1_conn *conn;
	const struct h1_message *request; /* owned by the connection */
	struct rt_table *table;
	const struct rt_route *route;
	const struct rt_tenant *tenant; /* NULL: none; owned by the table */
	uint32_t priority;		/* of the tenant, else of the route */
	uint64_t excluded_data_centres; /* see struct bl_request */
	struct gw_quota *quota;		/* for whose answer it waits */
	int64_t quota_since_boot_us;
	struct gw_pool *pool;
	struct bl_queue_entry queued; /* its place in the pool's queue */
	struct gw_call *next;	      /* in a list of the pool or free list */
	/* A response is sent at the latest when it fires. */
	uv_timer_t deadline_timer;
	uv_timer_t step_timer; /* limits connecting and probing */
	enum gw_call_state state;
	int64_t received_us;
	int64_t objective_us;
	/*
	 * The route's timeout or the caller's deadline, whichever is earlier.
	 */
	int64_t deadline_us;
	int64_t started_us;
	/* Time in the queue, for probes and for the objects of this VM. */
	int64_t waited_us;
	int64_t wait_from_us; /* of the current wait */
	int64_t expected_us;
	uint64_t number;
	uint64_t fingerprint;
	uint32_t attempts;
	uint32_t delivered_attempts; /* attempts that a target received */
	bool overdue_probed; /* the target, since the response is overdue */
	/* No response may state that the request did not run. */
	bool may_have_run;
	/* This VM has claimed a trial for the call, see bl_poison_claim(). */
	bool is_claiming;
	uint32_t trial;		 /* its number; 0: none */
	uint32_t probes_pending; /* probes not answered yet */
	uint32_t probe_rounds;
	struct bl_target *probed_targets[BL_PROBES_MAX];
	struct bl_target *tried[BL_TRIED_MAX];
	uint32_t tried_count;
	struct bl_target *target;
	struct gw_connection *connection;
	enum bl_outcome last_outcome;
	char id[GW_ID_BYTES_MAX];
};

struct gw {
	struct gw_params params;
	const struct gw_callbacks *callbacks;
	struct h1_server *server;
	struct rt_table *table;
	GHashTable *pools;	   /* by name */
	GHashTable *targets;	   /* by id, without removed ones */
	GHashTable *processes;	   /* the same, by process */
	GHashTable *tenants;	   /* counters by name; NULL: none yet */
	int64_t key_proof_boot_us; /* see gw_set_key_proof(); 0: none */
	struct gw_call *free_calls;
	struct bl_poison poison;
	struct cs_random random;
	uv_timer_t sweep;
	uv_timer_t check_timer; /* runs while checks are pending */
	struct gw_counters counters;
	/* Scratch buffer for the head of a request or response. */
	struct h1_bytes head;
	uint64_t next_number;
	/* The configuration and the targets are known. */
	bool loaded;
	int64_t start_us;
	struct gw_call *held; /* in order of arrival */
	uint32_t held_count;
	uint32_t live_nodes, ready_nodes; /* see gw_set_region() */
	/* Sets of data centres of the topology, by region of the table. */
	uint64_t region_data_centres[RT_REGIONS_MAX];
	bool sees_majority;	/* see gw_set_majority() */
	int64_t boot_offset_us; /* see gw_void_after_pause() */
	GHashTable *quotas;	/* by hash of the tenant; NULL: none */
	int64_t quota_tick_us;	/* gw_tick_quotas() was last called */
	bool stopping;
	/* See struct bl_stop_plan. */
	int64_t long_attempts_until_us;
	int64_t end_calls_us;
};

/*
 * A target reports its own timeout. The gateway waits this much longer because
 * that response may still be in transit.
 */
#define GW_TIMEOUT_MARGIN_US 60000

#define GW_DEADLINE_DEFAULT_MS 60000 /* if the caller gives none */

/* What a check shows of a target that lost a request. */
enum gw_check {
	GW_CHECK_ACCEPTED,
	GW_CHECK_REFUSED,
	GW_CHECK_SILENT, /* no answer in time */
};

/*
 * Reports from the lower modules to call.c, which alone decides the order of
 * the steps that follow.
 */
struct gw_callbacks {
	/* response is NULL if there is none. */
	void (*attempt_ended)(struct gw_call *call, enum bl_outcome outcome,
	    const struct h1_message *response);
	void (*probe_ended)(struct gw_pool *pool, struct bl_target *target);
	/* A response has arrived; BL_GARBLED: to an earlier request. */
	void (*heard)(struct gw_target_connections *connections,
	    const struct h1_message *response, enum bl_outcome outcome);
	/* The connection of a call ended without a response. */
	void (*request_lost)(struct gw_target_connections *connections,
	    const struct gw_call *call, enum h1_end end);
	void (*check_ended)(
	    struct gw_target_connections *connections, enum gw_check result);
	void (*place)(struct gw_call *call); /* its wait for probes is over */
	void (*resume_held)(struct gw_call *call);
	void (*admitted)(struct gw_call *call); /* within its quota */
	/* A target of the pool may have room. */
	void (*dispatch_waiting)(struct gw_pool *pool);
};

/* call.c: one request of a caller */
extern const struct gw_callbacks gw_call_callbacks;
void gw_call_begin(
    struct gw *gw, struct h1_conn *conn, const struct h1_message *request);
void gw_call_abandon(struct gw_call *call);

/* gw_release_held_calls(gw): continues the calls that waited for objects. */
void gw_release_held_calls(struct gw *gw);

/* gw_refuse_stopping(call): answers that this VM stops; it did not run. */
void gw_refuse_stopping(struct gw_call *call);
/* gw_end_call(call): the same for a call that a target may have. */
void gw_end_call(struct gw_call *call);

/* auth.c: routes and tenants that are served */
/*
 * gw_admit(call): finds the tenant of the call and sets its priority. Returns
 * false if it refused the call.
 */
bool gw_admit(struct gw_call *call);
/* gw_keys_are_fresh(gw): keys are proven, or need no proof. */
bool gw_keys_are_fresh(const struct gw *gw);
/*
 * gw_is_tenant_header(call, name): the header is for this VM or only set by it,
 * and must not be forwarded.
 */
bool gw_is_tenant_header(const struct gw_call *call, const char *name);
/* gw_count_tenant(call, ...): the call ends. */
void gw_count_tenant(
    const struct gw_call *call, int status, enum gw_reason reason);

/* start.c: calls at a VM that has not loaded its objects yet */
/*
 * gw_hold(call): holds the call if bl_hold_at_start() says so. Otherwise it
 * returns false and sets *retry_after_us.
 */
bool gw_hold(struct gw_call *call, int64_t *retry_after_us);

/* homes.c: the regions that may serve a call */
/* gw_match_regions(gw): matches those of the table in force to the topology. */
void gw_match_regions(struct gw *gw);
/*
 * gw_restrict_to_homes(call): sets the data centres that must not serve the
 * call, by its route and tenant. Refuses it and returns true if none may.
 */
bool gw_restrict_to_homes(struct gw_call *call);
/*
 * gw_allowed_data_centres(gw, route, tenant): the set that route and tenant,
 * which may be NULL, both allow.
 */
uint64_t gw_allowed_data_centres(const struct gw *gw,
    const struct rt_route *route, const struct rt_tenant *tenant);

/* response.c: responses to callers */
/* gw_call_end(call, status, reason): logs, counts and frees the call. */
void gw_call_end(struct gw_call *call, int status, enum gw_reason reason);
void gw_respond_error(struct gw_call *call, int status, enum gw_reason reason,
    int64_t retry_after_us);
/*
 * gw_respond(call, step, ...): sends the response that the step after an
 * attempt requires; nothing for BL_RETRY.
 */
void gw_respond(struct gw_call *call, enum bl_step step,
    enum bl_outcome outcome, const struct h1_message *response);

/* waits.c: the lists in which calls wait */
/*
 * gw_count_call(call), gw_count_end(call, reason): the call belongs to a pool
 * now, and it ends.
 */
void gw_count_call(struct gw_call *call);
void gw_count_end(struct gw_call *call, enum gw_reason reason);
/* gw_dispatch_after(pool, ms): places the waiting calls again by then. */
void gw_dispatch_after(struct gw_pool *pool, uint64_t ms);
/* gw_schedule_dispatch(pool): places the waiting calls again in a few ms. */
void gw_schedule_dispatch(struct gw_pool *pool);
/*
 * gw_dequeue(call): removes the call from the list in which it waits, if any.
 */
void gw_dequeue(struct gw_call *call);

/* placement.c: selection of a target, probes, and the wait queue */
/*
 * gw_place(call, out): asks lib/balance for a placement, and for the permit
 * that it wants. The verdict is not acted on.
 */
void gw_place(struct gw_call *call, struct bl_placement *out);
/*
 * gw_probe_for_call(call, placement): probes the targets of the placement.
 * Returns false if none could be probed.
 */
bool gw_probe_for_call(
    struct gw_call *call, const struct bl_placement *placement);
/*
 * gw_probe_for_pool(pool, placement): as gw_probe_for_call(), but no call waits
 * for the probes. Returns false if none is pending.
 */
bool gw_probe_for_pool(
    struct gw_pool *pool, const struct bl_placement *placement);
/*
 * gw_place_without_probes(call, out): as gw_place(), but by what is known of
 * the targets now.
 */
void gw_place_without_probes(struct gw_call *call, struct bl_placement *out);
/*
 * gw_place_displaced(call, out): removes the call from the queue, where another
 * takes its place, and places it without probes and without a further wait.
 */
void gw_place_displaced(struct gw_call *call, struct bl_placement *out);
/*
 * gw_probe_settled(call, target, out): a probe of the target has ended. Returns
 * true if the call is to be placed now, as out says.
 */
bool gw_probe_settled(struct gw_call *call, const struct bl_target *target,
    struct bl_placement *out);
/*
 * gw_must_queue(call): returns true if a more urgent call is waiting for the
 * same data centres and this is the first attempt of the call.
 */
bool gw_must_queue(const struct gw_call *call);
void gw_enqueue(struct gw_call *call);
/* gw_queued_call(entry): the call that the entry is part of, or NULL. */
struct gw_call *gw_queued_call(struct bl_queue_entry *entry);
void gw_log_refusal(
    const struct gw_call *call, const struct bl_placement *placement);

/* stop.c: calls at a VM that stops */
/*
 * gw_outlasts_stop(call): the call may still be open when this VM ends all
 * calls.
 */
bool gw_outlasts_stop(const struct gw_call *call);
/*
 * gw_may_send(call): false if this VM stops and would probably have to break
 * off a further attempt.
 */
bool gw_may_send(const struct gw_call *call);

/* attempt.c: one attempt at a target */
/*
 * gw_attempt_start(call, placement): returns CS_E_SYSTEM if the request could
 * not be sent. The caller then ends the attempt as BL_UNREACHED.
 */
int gw_attempt_start(
    struct gw_call *call, const struct bl_placement *placement);
/* gw_attempt_finish(call, ...): records the end and returns the next step. */
enum bl_step gw_attempt_finish(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *response);
/* gw_attempt_drop(call, outcome): ends the attempt without a further step. */
void gw_attempt_drop(struct gw_call *call, enum bl_outcome outcome);

/* overdue.c: requests at targets that do not respond */
/* gw_watch_attempt(call): the request of the call has been sent. */
void gw_watch_attempt(struct gw_call *call);

/* connections.c: connections to targets */
#define GW_IDLE_DEFAULT_US 4000000 /* if the target states no timeout */
int gw_send(struct gw_call *call, struct bl_target *target);
/* gw_cancel(call): closes the connection of the pending attempt. */
void gw_cancel(struct gw_call *call);
/*
 * gw_probe(gw, target): requests the load of a target. Returns CS_E_CONFLICT if
 * a probe is pending already, or the target has no pool or health path.
 */
int gw_probe(struct gw *gw, struct bl_target *target);
/*
 * gw_open_check(connections): connects to the target and reports the result to
 * check_ended(). Returns false if that cannot be started.
 */
bool gw_open_check(struct gw_target_connections *connections);
void gw_target_connections_sweep(
    struct gw_target_connections *connections, int64_t now_us);
void gw_target_connections_close(struct gw_target_connections *connections);

/* crash.c: whether a target that lost requests has crashed */
/*
 * gw_suspect_crash(connections, call, end): the call was lost at the target.
 * Checks whether the target has crashed.
 */
void gw_suspect_crash(struct gw_target_connections *connections,
    const struct gw_call *call, enum h1_end end);
/*
 * gw_suspect_silence(call): the call got no response in time. If nothing was
 * heard from its target meanwhile, checks whether that is still there.
 */
void gw_suspect_silence(const struct gw_call *call);
void gw_crash_check_ended(
    struct gw_target_connections *connections, enum gw_check result);
/*
 * gw_target_replaced(connections): a new process is in place of the target,
 * which confirms what a check could not show.
 */
void gw_target_replaced(struct gw_target_connections *connections);
/*
 * gw_target_gone(connections): the registration of the target has ended, which
 * confirms a crash unless the target was there after it lost the requests.
 */
void gw_target_gone(struct gw_target_connections *connections);

/* suspects.c: requests that are refused since they crash targets */
/*
 * gw_announce_crash(gw, crash): tells the other VMs of a crash. With the crash
 * from which on a request is refused, a VM that saw one of them tells of all,
 * since others may have missed the first report.
 */
void gw_announce_crash(struct gw *gw, const struct bl_crash *crash);
/*
 * gw_is_refused_suspect(call): the call must not reach any target since it
 * crashes them, not even as a trial.
 */
bool gw_is_refused_suspect(struct gw_call *call);
/*
 * gw_stop_suspect(call): refuses such a call, or lets it wait until this VM may
 * try it. Returns false if the call may be sent.
 */
bool gw_stop_suspect(struct gw_call *call);
/* gw_excuse(call): a target ran the request of the call and responded. */
void gw_excuse(struct gw_call *call);

/* notices.c: what targets say of themselves */
/* gw_hear(gw, target, response): takes what a response of the target says. */
void gw_hear(
    struct gw *gw, struct bl_target *target, const struct h1_message *response);
/*
 * gw_hear_leaving(gw, target, response): the same for a response of another
 * target at this address, or a late one: only that the target leaves counts.
 */
void gw_hear_leaving(struct gw *gw, const struct bl_target *target,
    const struct h1_message *response);

/* cold.c: cold targets */
/* gw_hear_cold(gw, target, left_us): a response of the target says so. */
void gw_hear_cold(struct gw *gw, struct bl_target *target, int64_t left_us);
/* gw_set_cold_until(gw, target, ms): the registration of the target says so. */
void gw_set_cold_until(
    struct gw *gw, struct bl_target *target, int64_t warm_up_left_ms);
/*
 * gw_void_after_pause(gw): call it before permits for cold targets are used or
 * given. After a pause of the VM they may be those of another time.
 */
void gw_void_after_pause(struct gw *gw);

/* quota.c: quotas of tenants */
struct gw_quota;
/* gw_set_quotas(gw, table): the table is in force. */
void gw_set_quotas(struct gw *gw, const struct rt_table *table);
/*
 * gw_take_quota(call): admits the call, see admitted() of struct gw_callbacks,
 * or refuses it, at once or when the owner of its tenant has answered.
 */
void gw_take_quota(struct gw_call *call);
/*
 * gw_view_quota(gw, tenant, out): what a request of the tenant with this hash
 * would get now, without an effect. Returns false if it has no quota.
 */
bool gw_view_quota(
    const struct gw *gw, uint64_t tenant, struct bl_quota_decision *out);
/* gw_dequeue_from_quota(call): it does not wait for an answer any more. */
void gw_dequeue_from_quota(struct gw_call *call);
/* gw_tick_quotas(gw): call it several times a second. */
void gw_tick_quotas(struct gw *gw);
/* gw_for_each_awaiting_quota(): passes each list of calls that wait. */
void gw_for_each_awaiting_quota(struct gw *gw, int64_t received_before_us,
    void (*visit)(struct gw_call *call, int64_t received_before_us));

/* limits.c: limits that targets name */
/* gw_hear_limit(gw, target, ...): a response of the target says so. */
void gw_hear_limit(struct gw *gw, struct bl_target *target, bool has_limit,
    double limit_per_s);
/* gw_ask_permit(gw, target, wait_max_us): see bl_limit_ask(). */
void gw_ask_permit(
    struct gw *gw, struct bl_target *target, int64_t wait_max_us);

/* exchange.c: requests to targets and classification of their responses */
enum gw_match {
	GW_MATCH_CURRENT,
	GW_MATCH_PREVIOUS, /* another response to the previous one */
	GW_MATCH_NONE,
};
/*
 * gw_shorten_id(out, id): copies an id that fits, or its beginning and a hash.
 */
void gw_shorten_id(char out[GW_ID_BYTES_MAX], const char *id);
/* gw_deadline_ms(gw, request): the caller's deadline, from its arrival on. */
int64_t gw_deadline_ms(const struct gw *gw, const struct h1_message *request);
enum gw_match gw_match_response(
    const struct gw_connection *connection, const struct h1_message *response);
enum bl_outcome gw_classify_response(const struct gw_header_names *header_names,
    const struct h1_message *response);
/* gw_idle_limit_us(response): returns how long the connection may stay idle. */
int64_t gw_idle_limit_us(const struct h1_message *response);
/* gw_write_head(call, target): writes into the gateway's scratch buffer. */
int gw_write_head(struct gw_call *call, const struct bl_target *target);

/* pools.c: pools by name */
struct gw_pool *gw_pool_of(struct gw *gw, const char *name);
struct gw_pool *gw_pool_of_target(const struct bl_target *target);

#endif
