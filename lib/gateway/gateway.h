/*
 * gateway: forwards requests from callers to targets and relays the responses.
 * lib/balance decides where a request is sent, and whether it waits, is refused
 * or is retried.
 */
#ifndef GW_GATEWAY_H
#define GW_GATEWAY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "../balance/balance.h"
#include "../balance/quota.h"
#include "../h1/h1.h"
#include "../routes/routes.h"

/* Names of the headers, and a parser for what targets say of themselves. */
struct gw_header_names {
	const char *request_id; /* one attempt of a caller */
	/* Milliseconds left until the deadline. */
	const char *deadline;
	const char *expected_target; /* only this target may run the request */
	/* The target states that it did not run the request. */
	const char *not_run;
	/* A 2xx response without it is invalid. */
	const char *response_marker;
	const char *api_key; /* of a tenant; never forwarded */
	const char *tenant;  /* name of the tenant, only set by the gateway */
	void (*read_report)(
	    const struct h1_message *response, struct bl_report *out);
};

/* Why a call ended. The reasons are documented in docs/EVENTS.md. */
enum gw_reason {
#define GW_REASON(symbol, text, meaning) GW_##symbol,
#include "reasons.def"
#undef GW_REASON
	GW_REASONS
};

const char *gw_reason_text(enum gw_reason reason);
/*
 * gw_reason_meaning(text): returns an explanation for operators, or NULL if
 * there is no such reason.
 */
const char *gw_reason_meaning(const char *text);

struct gw_counters {
	uint64_t calls;
	uint64_t ended[GW_REASONS];
	uint64_t attempts;
	uint64_t retries;
	uint64_t overdue; /* attempts given up, see overdue.c */
	uint64_t probes;
	uint64_t connections_opened;
	uint64_t callers_gone;
	uint64_t limits_heard; /* changes of the limits of targets */
	uint64_t leaving_heard, pauses_heard, cold_heard;
	uint64_t permits_asked, permits_granted;
	uint64_t permits_given; /* as the owner of targets */
	uint64_t quota_asked, quota_granted;
	uint64_t quota_given;	 /* as the owner of tenants */
	uint64_t invalid_fields; /* of what targets say of themselves */
	/* Whole time of calls with a relayed response below 500. */
	struct cs_histogram answered;
	/* Time from arrival to the first attempt. */
	struct cs_histogram waited;
	struct cs_histogram at_target;
};

/* The result of a call that matched a route. */
struct gw_call_result {
	const struct rt_route *route;
	enum gw_reason reason;
	int status; /* 0: no response was sent */
	int64_t took_us;
	int64_t objective_us;
};

struct gw_events {
	void (*on_call_ended)(void *user, const struct gw_call_result *ended);
	/*
	 * A request crashed a target. The other VMs should be told, repeatedly
	 * where is_poison says that it crashed several.
	 */
	void (*on_crash)(
	    void *user, const struct bl_crash *crash, bool is_poison);
	/* A crash was not caused by the request. The other VMs should be told.
	 */
	void (*on_excused)(void *user, const struct bl_crash *crash);
	/*
	 * Returns the rank of this VM, from 0, among those that may try a
	 * request which is refused for its crashes.
	 */
	uint32_t (*on_rank)(void *user, uint64_t fingerprint);
	/* This VM claims a trial of a request. The other VMs should be told. */
	void (*on_claim)(void *user, uint64_t fingerprint, uint64_t ticket);
	/* A target said that it leaves. The other VMs should be told. */
	void (*on_leaving)(void *user, uint64_t process);
	/* A target is cold for so long. The other VMs should be told. */
	void (*on_cold)(void *user, uint64_t process, int64_t left_us);
	/* A target said of its limit. The other VMs should be told. */
	void (*on_limit)(
	    void *user, uint64_t process, const struct bl_limit_report *report);
	/*
	 * The owner of a target in this data centre is asked for permits. The
	 * answer goes to gw_add_permit(), also during this call.
	 */
	void (*on_ask)(
	    void *user, const struct bl_ask *ask, uint32_t data_centre);
	/*
	 * The owner of a tenant in this region is asked for credit. The answer
	 * goes to gw_add_quota_grant(), also during this call.
	 */
	void (*on_quota_ask)(void *user, const struct bl_quota_ask *ask);
	/* Returns true if this VM is the owner of the tenant in its region. */
	bool (*on_quota_owner)(void *user, uint64_t tenant);
	/* The owner of a tenant in another region is to be told. */
	void (*on_quota_share)(
	    void *user, uint32_t region, const struct bl_quota_share *share);
};

struct gw_params {
	uv_loop_t *loop;
	const struct gw_header_names *header_names;
	/* Owned by the caller; must outlive the gateway. */
	const struct bl_topology *topology;
	struct bl_budget_params budget;
	struct sockaddr_in listen_address;
	uint32_t connections_max;
	uint32_t address_connections_max; /* from one address; 0: no limit */
	/* Limit of all request bodies held at the same time. */
	uint64_t memory_bytes_max;
	uint64_t response_bytes_max; /* one response of a target */
	/* For all buffers; must outlive the gateway. NULL: no limit. */
	struct cs_memory *memory;
	double probes_per_s;	      /* per target, from the whole fleet */
	bool limit_cold_targets;      /* to warm_up_per_s of their pools */
	struct bl_quota_params quota; /* window_us 0: no quotas */
	/*
	 * Calls with keys are refused while the last proof that the keys are
	 * complete, see gw_set_key_proof(), is older; 0: no proof is needed.
	 */
	int64_t key_proof_age_max_us;
	uint64_t seed;
	const struct gw_events *events;
	void *user;
};

struct gw;

int gw_create(const struct gw_params *params, struct gw **out);
/* gw_set_table(gw, table): replaces the routing table; takes a reference. */
void gw_set_table(struct gw *gw, struct rt_table *table);
const struct rt_table *gw_table(const struct gw *gw);
/*
 * gw_set_key_proof(gw, proven_boot_us): the routing table in force was complete
 * at this CLOCK_BOOTTIME, which goes on while the VM is frozen; 0: no proof.
 */
void gw_set_key_proof(struct gw *gw, int64_t proven_boot_us);
/* gw_key_proof_age_us(gw): returns -1 while there is no proof. */
int64_t gw_key_proof_age_us(const struct gw *gw);
/*
 * gw_set_loaded(gw): the routing table and the targets are known. Until then
 * calls are held or refused, see bl_hold_at_start().
 */
void gw_set_loaded(struct gw *gw);
/*
 * gw_set_region(gw, live_nodes, ready_nodes): the other VMs of the region that
 * respond, and how many of them accept calls.
 */
void gw_set_region(struct gw *gw, uint32_t live_nodes, uint32_t ready_nodes);

/* Description of one target, given by the user of the gateway. */
struct gw_target_info {
	const char *id;
	const char *pool;
	struct sockaddr_in address;
	uint32_t data_centre;
	uint32_t slots;
	uint64_t process_start_ms;
	int64_t warm_up_left_ms; /* time left until it is warmed up */
	bool draining;
};

void gw_update_target(struct gw *gw, const struct gw_target_info *info);
/*
 * gw_remove_target(gw, id): the target gets no new requests. Requests that run
 * there are completed.
 */
void gw_remove_target(struct gw *gw, const char *id);
/* What the gateway knows of a target. */
struct gw_target_state {
	uint64_t process_start_ms;
	bool leaving; /* it is registered so, or said so itself */
};

/* gw_find_target(gw, id, out): returns false if there is no such target. */
bool gw_find_target(
    const struct gw *gw, const char *id, struct gw_target_state *out);
void gw_set_node_count(struct gw *gw, uint32_t node_count);
/*
 * gw_set_quota_node_count(gw, node_count): VMs that may spend from the
 * allowance for tenants whose owner does not answer.
 */
void gw_set_quota_node_count(struct gw *gw, uint32_t node_count);
/* gw_set_quota_listing(gw, listing): which regions have VMs. */
void gw_set_quota_listing(
    struct gw *gw, const struct bl_quota_listing *listing);
/*
 * gw_quota_owner_since_us(gw): when this VM last became the owner of a tenant
 * that it owns, by cs_boot_us(); 0: it owns none.
 */
int64_t gw_quota_owner_since_us(const struct gw *gw);
/*
 * gw_add_crash(gw, crash): another VM saw a request crash a target. Returns
 * true if this VM did not know of that crash.
 */
bool gw_add_crash(struct gw *gw, const struct bl_crash *crash);
/*
 * gw_add_excuse(gw, crash): another VM knows that the request did not cause the
 * crash. Returns true if that is news.
 */
bool gw_add_excuse(struct gw *gw, const struct bl_crash *crash);
/*
 * gw_add_claim(gw, ...): another VM claims a trial of a request. Returns true
 * if that is news.
 */
bool gw_add_claim(struct gw *gw, uint64_t fingerprint, uint64_t ticket);
/*
 * gw_tell_excuses(gw): tells of requests that are served here while other VMs
 * may hold a crash against them. Call it several times a second, at a moment
 * that differs between VMs, so that one of them tells and the others need not.
 */
void gw_tell_excuses(struct gw *gw);
/*
 * gw_add_leaving(gw, process): another VM heard a target say that it leaves.
 * Returns true if that is news.
 */
bool gw_add_leaving(struct gw *gw, uint64_t process);
/* gw_for_each_leaving(gw, visit, arg): calls visit for each such target. */
void gw_for_each_leaving(
    const struct gw *gw, void (*visit)(void *arg, uint64_t process), void *arg);
/*
 * gw_add_cold(gw, process, left_us): another VM heard that a target is cold for
 * so long. Returns true if that is news.
 */
bool gw_add_cold(struct gw *gw, uint64_t process, int64_t left_us);
/*
 * gw_set_majority(gw, sees_majority): this VM hears most of those VMs of its
 * region that may be in use. Without them it gives out no permits for cold
 * targets.
 */
void gw_set_majority(struct gw *gw, bool sees_majority);
/*
 * gw_add_limit(gw, process, report): another VM heard a target say so. Returns
 * true if the limit in force has changed.
 */
bool gw_add_limit(
    struct gw *gw, uint64_t process, const struct bl_limit_report *report);
/* gw_for_each_limit(gw, visit, arg): calls visit for each limit in force. */
void gw_for_each_limit(const struct gw *gw,
    void (*visit)(
	void *arg, uint64_t process, const struct bl_limit_report *limit),
    void *arg);
/*
 * gw_answer_ask(gw, ask, out): answers as the owner of the target. Returns
 * CS_E_MISSING if there is no such target.
 */
int gw_answer_ask(
    struct gw *gw, const struct bl_ask *ask, struct bl_permit *out);
/* gw_add_permit(gw, permit): takes the answer of an owner. */
void gw_add_permit(struct gw *gw, const struct bl_permit *permit);
/*
 * gw_answer_quota_ask(gw, ask, out): answers as the owner of the tenant in this
 * region. Returns CS_E_MISSING if the tenant has no quota here. The owner of
 * another region is to answer instead if out->region names one.
 */
int gw_answer_quota_ask(
    struct gw *gw, const struct bl_quota_ask *ask, struct bl_quota_grant *out);
/* gw_add_quota_grant(gw, grant): takes the answer of an owner. */
void gw_add_quota_grant(struct gw *gw, const struct bl_quota_grant *grant);
/* gw_hear_quota_share(gw, share): another region's owner told this one. */
void gw_hear_quota_share(struct gw *gw, const struct bl_quota_share *share);
/*
 * gw_for_each_poison(gw, visit, arg): calls visit for each crash of each
 * request that is refused for its crashes.
 */
void gw_for_each_poison(const struct gw *gw,
    void (*visit)(void *arg, const struct bl_crash *crash), void *arg);
/*
 * gw_stop(gw, plan): a stop starts now. Each response closes its connection,
 * and calls whose own deadline does not end them before gw_end_calls() is due
 * are refused. gw_is_drained() returns true when no connection is open.
 */
void gw_stop(struct gw *gw, const struct bl_stop_plan *plan);
/*
 * gw_end_waiting(gw, received_before_us): refuses the calls received before
 * then that no target has yet; they did not run, and another VM may serve them.
 */
void gw_end_waiting(struct gw *gw, int64_t received_before_us);
/*
 * gw_end_calls(gw): answers all calls that are still open, just before the
 * process ends. Those at a target may have run.
 */
void gw_end_calls(struct gw *gw);
void gw_close_idle(struct gw *gw);
bool gw_is_drained(const struct gw *gw);
const struct gw_counters *gw_get_counters(const struct gw *gw);
/* gw_for_each_pool(gw, visit, arg): calls visit for each pool, for reports. */
void gw_for_each_pool(const struct gw *gw,
    void (*visit)(void *arg, const struct bl_pool *pool, uint32_t waiting),
    void *arg);
/* The calls of one tenant that have ended. */
struct gw_tenant_counters {
	uint64_t calls;
	uint64_t answered;
	uint64_t refused; /* not run */
};

/* gw_for_each_tenant(gw, visit, arg): calls visit for each that had calls. */
void gw_for_each_tenant(const struct gw *gw,
    void (*visit)(
	void *arg, const char *name, const struct gw_tenant_counters *counters),
    void *arg);
/* Where a request would go now, and why. */
struct gw_where {
	const struct rt_route *route;	/* NULL: not loaded yet */
	const struct rt_tenant *tenant; /* NULL: none, or the route is exempt */
	uint32_t priority;		/* the effective one */
	uint64_t allowed_data_centres;	/* set, see struct bl_request */
	const struct bl_pool *pool;	/* NULL: refused before, or no target */
	uint32_t waiting;		/* calls that wait for the pool */
	bool asks_quota; /* it would first wait for the owner of the quota */
	enum bl_verdict verdict; /* never BL_PROBE */
	int status;		 /* with BL_REFUSE */
	const char *reason;	 /* static string */
	/* What is known now, without the probes. */
	struct bl_placement placement;
	uint32_t probe_count; /* targets that would be probed first */
	struct bl_target *probes[BL_PROBES_MAX];
};

/*
 * gw_where(gw, host, path, tenant, out): decides as for a request that arrives
 * now, without sending or changing anything. tenant is a name or NULL. Returns
 * CS_E_MISSING without a route and CS_E_INVALID for an unknown tenant. What out
 * points to is valid until the loop runs again.
 */
int gw_where(const struct gw *gw, const char *host, const char *path,
    const char *tenant, struct gw_where *out);
/*
 * gw_where_obstacle(gw, where, target, now_us, wait_us): returns why the target
 * is no candidate, or NULL; *wait_us is the time until it may be one, if known.
 */
const char *gw_where_obstacle(const struct gw *gw, const struct gw_where *where,
    const struct bl_target *target, int64_t now_us, int64_t *wait_us);
uint32_t gw_caller_connections(const struct gw *gw);
/* gw_server(gw): the listener for callers. */
const struct h1_server *gw_server(const struct gw *gw);

#endif
