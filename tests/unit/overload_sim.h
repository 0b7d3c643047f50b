/*
 * A simulation of overloads on virtual time: many VMs, each of which sees only
 * its own calls, targets that slow down when nearly full and for noisy
 * neighbours, and callers that repeat a refused call once.
 */
#ifndef OVERLOAD_SIM_H
#define OVERLOAD_SIM_H

#include "../../lib/balance/queue.h"

#define MS INT64_C(1000)
#define STEP_US (1 * MS)
#define CALLS_MAX 8192
#define TARGETS_MAX 98
#define VMS_MAX 141
#define TENANTS_MAX 86
#define KINDS_MAX 3
#define REGIONS 3
#define DURATION_MS 30000
#define OVERLOAD_FROM_MS 20000
#define PROBE_US (3 * MS)
#define DISPATCH_US (10 * MS)
#define PROBE_ROUNDS_MAX 2
#define PROBES_PER_TARGET_S 20.0
#define KNEE_SHARE 0.8
#define KNEE_SLOWDOWN 1.6
#define LATE_WORTH 0.1
#define RETRY_WAIT_SHARE 3 /* callers wait a third of their time at most */

struct kind {
	double share; /* of the calls */
	uint32_t priority;
	double worth;
	int64_t objective_ms, deadline_ms;
	double work_ms;
};

struct load_case {
	const char *name;
	uint32_t targets, slots, vms;
	double calls_per_s;
	struct kind kinds[KINDS_MAX];
	int64_t overload_ms; /* from OVERLOAD_FROM_MS on */
	double burst_factor;
	double gone_share; /* of the targets, during the overload */
	double slow_share_during;
	double slow_x_during;
	double neighbour_share; /* of the time, for each target */
	double neighbour_x;
	double hot_factor;     /* on the calls of tenant 0 */
	bool retries_at_once;  /* callers ignore Retry-After */
	bool restarts;	       /* all VMs, when the overload begins */
	bool one_region;       /* its data centres are 1 ms apart */
	bool callers_move;     /* from one data centre's VMs to another's */
	bool replaces_targets; /* one after the other; they are cold then */
	bool callers_return;   /* at the Retry-After, several times */
	bool is_unresponsive;  /* targets drop what they cannot queue */
	uint32_t target_queue; /* requests that wait at a target */
	/* Bounds with lib/balance/queue.c, during the overload. */
	double first_gain_min; /* of the share in time of the first kind */
	double worth_gain_min; /* of the worth of all answers */
};

enum order {
	ORDER_ARRIVAL,
	ORDER_PRIORITY,
	ORDER_DEADLINE, /* the earliest one that can still be met */
	ORDER_COST,
	ORDER_IDEAL, /* see overload_ideal.c */
	ORDERS
};

enum call_state { FREE, NEW, PROBING, WAITING, SENT, AWAY };

struct call {
	enum call_state state;
	struct bl_queue_entry entry;
	uint32_t kind, tenant, vm, target, attempts;
	uint32_t probe_rounds;
	int64_t first_us;   /* sent by the caller */
	int64_t refused_us; /* for the first time; 0: not refused */
	int64_t resume_us;  /* PROBING, AWAY */
	int64_t started_us;
	int64_t overdue_us; /* looked at again */
	double work_left_us;
	bool queued, lost;
	const struct bl_target *tried[BL_TRIED_MAX];
	uint32_t tried_count;
};

struct vm {
	struct bl_pool *pool;
	struct bl_target *targets[TARGETS_MAX];
	struct bl_topology topology;
	struct bl_queue queue;
	int64_t dispatch_us;
	double probe_tokens, probe_tokens_max;
};

struct target_state {
	double slow;
	bool gone;
	int64_t changes_us;
	uint32_t running, queued;
};

struct tally {
	uint32_t calls, in_time, late, refused, lost;
	double refused_after_ms;
};

#define RETURN_ATTEMPTS 4
#define RETURN_BIN_MS 100

/* Calls that were refused during the overload and came back. */
struct returns {
	uint32_t calls, served; /* attempts after the first one */
	uint32_t bins[DURATION_MS / RETURN_BIN_MS];
	/* By the half of the overload in which they were first refused. */
	uint32_t refused[2], served_at_last[2];
};

struct simulation {
	const struct load_case *load;
	enum order order;
	struct cs_random random;
	struct vm vms[VMS_MAX];
	struct target_state targets[TARGETS_MAX];
	struct call calls[CALLS_MAX];
	int64_t now_us, start_us;
	double next_us;		       /* the next call arrives */
	struct tally kinds[KINDS_MAX]; /* calls sent during the overload */
	struct tally tenants[TENANTS_MAX];
	struct tally all;
	double worth[DURATION_MS / 1000], worth_max[DURATION_MS / 1000];
	double tenant_weights[TENANTS_MAX];
	double busy_ms, free_ms; /* of slots, during the overload */
	struct returns returns;
	uint32_t probes;
	uint32_t sent, abandoned;
};

/* overload_simulate(simulation, load, order, seed): runs the whole load. */
void overload_simulate(struct simulation *simulation,
    const struct load_case *load, enum order order, uint64_t seed);

/* overload_is_on(simulation, time_us): it is the time of the overload. */
bool overload_is_on(const struct simulation *simulation, int64_t time_us);
/* overload_update_targets(simulation): sets which are there, and how fast. */
void overload_update_targets(struct simulation *simulation);
uint32_t overload_choose_tenant(struct simulation *simulation, bool overload);
uint32_t overload_choose_vm(struct simulation *simulation);
/* overload_dispatch_ideal(simulation): one step of ORDER_IDEAL. */
void overload_dispatch_ideal(struct simulation *simulation);
/* overload_draw_work(simulation, call): the time that it takes at a target. */
void overload_draw_work(struct simulation *simulation, struct call *call);
/* overload_refuse(simulation, call, retry_after_us) */
void overload_refuse(
    struct simulation *simulation, struct call *call, int64_t retry_after_us);

#endif
