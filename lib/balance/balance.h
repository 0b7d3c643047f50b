/*
 * balance: load-balancing decisions: which target a request is sent to, and
 * whether it waits, is refused or is retried. The functions do no input or
 * output and take the current time as an argument, so that tests can replay a
 * load on virtual time. They are used in this order:
 *
 * bl_hold_at_start(): waits for the objects of a VM that starts (recover.c)
 * bl_place(): selects a target, or tells to wait or to refuse (place.c)
 * bl_request_started(): a request is being sent to a target (pool.c)
 * bl_request_ended(): the outcome of that request (pool.c)
 * bl_limit_ask() and so on: limits that targets name (limit.c)
 * bl_next_step(): relays the response, retries or fails (outcome.c)
 * bl_take_retry(): the retry budget (budget.c)
 * bl_is_poison(): requests that crash targets (poison.c)
 * bl_plan_stop(): the moments of a planned stop (stop.c)
 */
#ifndef BL_BALANCE_H
#define BL_BALANCE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/base.h"
#include "../routes/routes.h"

#define BL_ID_BYTES_MAX 96
#define BL_DATA_CENTRES_MAX 64
#define BL_TRIED_MAX 8
#define BL_PROBES_MAX 3

/* The data centres and their distance from this VM. */
struct bl_topology {
	uint32_t own; /* index of this VM's data centre */
	uint32_t count;
	/* Set of data centres whose targets get no new requests: bit i. */
	uint64_t evacuated;
	struct {
		char name[RT_NAME_BYTES_MAX];
		char region[RT_NAME_BYTES_MAX];
		bool same_region; /* in the region of this VM */
		/* Round-trip time, assumed from the distance. */
		int64_t rtt_us;
	} data_centres[BL_DATA_CENTRES_MAX];
};

/*
 * bl_topology_find(topology, name): returns the index of the data centre, or
 * CS_E_MISSING.
 */
int bl_topology_find(const struct bl_topology *topology, const char *name);

/* The last load report of a target, from a response or from a probe. */
struct bl_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness_pct; /* 100: as fast as usual; 0: unknown */
};

/* What a target says of itself in a response. */
struct bl_report {
	bool has_load;
	struct bl_load load;
	bool has_limit;
	/* Requests per second that it accepts from all VMs together. */
	double limit_per_s;
	bool leaving; /* it accepts no new requests */
	/* With a refusal: it accepts none from this VM for so long; 0: none. */
	int64_t pause_us;
	/* It is cold, for so long; 0: it does not say. */
	int64_t cold_left_us;
	uint32_t invalid_fields; /* present, but not valid; ignored */
};

/* A longer time until a target is warm is not valid. */
#define BL_COLD_LEFT_US_MAX INT64_C(3600000000)
/* A longer pause is not valid. */
#define BL_PAUSE_US_MAX INT64_C(86400000000)

/* A limit, or that there is none, as heard from a target at some time. */
struct bl_limit_report {
	bool has_limit;
	double per_s;
	int64_t heard_us;
};

/* What is known of the limit of a target, see limit.c. */
struct bl_limit {
	bool in_force;
	double per_s;
	int64_t heard_us; /* the value in force was last heard */
	int64_t told_us;  /* this VM last told the others */

	/* This VM last sent to the target while it was cold. */
	int64_t cold_sent_us;

	/* Permits of this VM. */
	uint32_t permits;
	int64_t permits_from_us;
	int64_t asked_us; /* the question is not answered; 0: none */
	int64_t ask_again_us;

	/* As the owner of the target: the next permit, and VMs without one. */
	int64_t next_permit_us;
	double refused;
	int64_t refused_at_us;
};

/* A question to the owner of a target. */
struct bl_ask {
	uint64_t target_process; /* see bl_target_process() */
	struct bl_limit_report limit;
	int64_t cold_left_us; /* the target is cold for so long; 0: it is not */
	uint32_t count;	      /* permits, at most */
	int64_t wait_max_us;  /* later permits are of no use */
};

/* The owner's answer. Times are relative to its arrival. */
struct bl_permit {
	uint64_t target_process;
	struct bl_limit_report limit;
	uint32_t count;	      /* 0: none */
	int64_t wait_us;      /* until they are valid */
	int64_t ask_again_us; /* without permits: when to ask again */
};

/* Limits above this many requests per second are not valid. */
#define BL_LIMIT_PER_S_MAX 1e9

struct bl_pool;

struct bl_target {
	struct cs_ref ref;
	struct bl_pool *pool; /* NULL once removed from its pool */
	char id[BL_ID_BYTES_MAX];
	struct sockaddr_in address;
	uint32_t data_centre; /* index into the topology */
	uint32_t slots;
	/* Start of the target's process, wall-clock time. */
	uint64_t process_start_ms;
	uint64_t process; /* see bl_target_process() */
	int64_t warm_up_until_us;
	bool draining; /* receives no new requests */
	bool leaving;  /* its process said so; holds until that ends */
	/* It asked this VM to send nothing until then. */
	int64_t paused_until_us;

	struct bl_load load;
	/* Time of the last load report, 0 if there is none. */
	int64_t load_at_us;
	/* Requests of other VMs at the time of that report. */
	uint32_t other_requests;

	struct bl_limit limit;

	uint32_t in_flight; /* requests of this VM */
	/* Ratio of observed to expected latency, 1 when as expected. */
	double slowness;
	int64_t slowness_at_us;
	/* Moving average of failures, 0 to 1; recent outcomes weigh most. */
	double failure_rate;
	int64_t failure_rate_at_us;
	/* Consecutive refused connections and misdirected requests. */
	uint32_t connect_failures;
	int64_t backoff_until_us;
	/* Time of the last response. */
	int64_t last_seen_us;
	/* Time at which the last probe was sent. */
	int64_t probe_sent_us;
	bool probing;
	void *connections; /* connections, of the owner of the pool */
};

#define BL_TARGETS_MAX 2048

struct bl_budget_bucket {
	/* Number of the time interval that the bucket counts. */
	int64_t interval;
	uint32_t requests;
	uint32_t retries;
};
#define BL_BUDGET_BUCKETS 40

struct bl_budget {
	struct bl_budget_bucket buckets[BL_BUDGET_BUCKETS];
};

struct bl_pool {
	char name[RT_NAME_BYTES_MAX];
	struct bl_target **targets;
	uint32_t count, capacity;
	/* Time that one request takes on an unloaded target. */
	double service_time_us;
	/* Mean number of requests of other VMs per slot of a target. */
	double mean_other_per_slot;
	/* Mean slowness that targets report, 1 when as fast as usual. */
	double mean_slowness;
	/*
	 * Requests per second that a cold target accepts from all VMs together;
	 * 0: no limit.
	 */
	double cold_per_s;
	struct bl_budget budget;
	void *owner; /* data of the owner of the pool */
};

struct bl_pool *bl_pool_create(const char *name);
void bl_pool_free(struct bl_pool *pool);
struct bl_target *bl_pool_find(const struct bl_pool *pool, const char *id);
/*
 * bl_pool_add(pool, target): takes over the caller's reference unless it
 * returns an error: CS_E_FULL at BL_TARGETS_MAX targets, CS_E_SYSTEM without
 * memory.
 */
int bl_pool_add(struct bl_pool *pool, struct bl_target *target);
/* bl_pool_remove(pool, target): drops the pool's reference. */
void bl_pool_remove(struct bl_pool *pool, struct bl_target *target);

struct bl_target *bl_target_create(const char *id);
void bl_target_unref(struct bl_target *target);
/* bl_target_process(target): identifies the process of the target. */
uint64_t bl_target_process(const struct bl_target *target);
/* bl_target_set_process(target, start_ms): the process that has its id now. */
void bl_target_set_process(struct bl_target *target, uint64_t start_ms);
/*
 * bl_target_restarted(target): resets what is known of the target, because a
 * new process uses its id.
 */
void bl_target_restarted(struct bl_target *target);

/*
 * bl_set_draining(target, draining): takes the state of its registration, which
 * does not undo what the process said itself.
 */
void bl_set_draining(struct bl_target *target, bool draining);
/* bl_set_leaving(target): returns true if that is news. */
bool bl_set_leaving(struct bl_target *target);
/* bl_pause(target, pause_us, now_us): returns true if the pause gets longer. */
bool bl_pause(struct bl_target *target, int64_t pause_us, int64_t now_us);
/*
 * bl_wait_us(target, now_us): whether this VM may send a request to the target
 * now: 0, else the time until it may, or INT64_MAX if it never may. Every send
 * goes by this, whatever the reason for it.
 */
int64_t bl_wait_us(const struct bl_target *target, int64_t now_us);
/*
 * bl_pool_wait_us(pool, blocked, now_us): returns the shortest of these times
 * of the targets that are in the pool, without those in the data centres of the
 * set blocked.
 */
int64_t bl_pool_wait_us(
    const struct bl_pool *pool, uint64_t blocked, int64_t now_us);

/*
 * bl_load_reported(target, load, now): records a load report. A NULL load means
 * a response without a report, which only shows that the target is alive. Both
 * end the backoff of the target.
 */
void bl_load_reported(
    struct bl_target *target, const struct bl_load *load, int64_t now_us);
void bl_request_started(struct bl_target *target, int64_t now_us);

/*
 * bl_limit_heard(target, report): takes what the target said of its limit, to
 * this VM or to another. Returns true if the limit in force has changed.
 */
bool bl_limit_heard(
    struct bl_target *target, const struct bl_limit_report *report);
void bl_limit_reset(struct bl_target *target);
/*
 * bl_limit_is_cold(target, now_us): the target is cold and accepts only a few
 * requests meanwhile.
 */
bool bl_limit_is_cold(const struct bl_target *target, int64_t now_us);
/*
 * bl_limit_set_cold(target, left_us, now_us): the target is cold for so long.
 * Returns true if that is news.
 */
bool bl_limit_set_cold(
    struct bl_target *target, int64_t left_us, int64_t now_us);
/* bl_limit_applies(target, now_us): it named a limit, or is cold. */
bool bl_limit_applies(const struct bl_target *target, int64_t now_us);
/*
 * bl_limit_void(target): this VM did not run for a while. Its permits of cold
 * targets may have ended, and as an owner it may have been replaced.
 */
void bl_limit_void(struct bl_target *target);
/* bl_limit_may_send(target, now_us): there is no limit, or a valid permit. */
bool bl_limit_may_send(const struct bl_target *target, int64_t now_us);
/*
 * bl_limit_expected_permits(target, now_us): returns the number of permits that
 * this VM has or has asked for.
 */
uint32_t bl_limit_expected_permits(
    const struct bl_target *target, int64_t now_us);
/* bl_limit_may_ask(target, now_us): a permit may be asked for now. */
bool bl_limit_may_ask(const struct bl_target *target, int64_t now_us);
/*
 * bl_limit_is_trial_due(target, now_us): the limit has not been heard for some
 * seconds, so that its end may have been missed.
 */
bool bl_limit_is_trial_due(const struct bl_target *target, int64_t now_us);
/*
 * bl_limit_wait_us(target, now_us): returns the time until there may be a
 * permit.
 */
int64_t bl_limit_wait_us(const struct bl_target *target, int64_t now_us);
/*
 * bl_limit_ask(target, wait_max_us, now_us, out): writes the question to the
 * owner for permits that are valid within wait_max_us.
 */
void bl_limit_ask(struct bl_target *target, int64_t wait_max_us, int64_t now_us,
    struct bl_ask *out);
/* bl_limit_grant(target, ask, now_us, out): answers as the owner. */
void bl_limit_grant(struct bl_target *target, const struct bl_ask *ask,
    int64_t now_us, struct bl_permit *out);
/*
 * bl_limit_grant_apart(target, ask, now_us, out): the same for an owner that
 * may be cut off from most VMs, which then have another owner. It gives no
 * permits for a cold target.
 */
void bl_limit_grant_apart(struct bl_target *target, const struct bl_ask *ask,
    int64_t now_us, struct bl_permit *out);
/*
 * bl_limit_granted(target, permit, now_us): takes the owner's answer. Returns
 * true if the limit in force has changed.
 */
bool bl_limit_granted(
    struct bl_target *target, const struct bl_permit *permit, int64_t now_us);
/* bl_limit_sent(target, now_us): a request is sent with one of the permits. */
void bl_limit_sent(struct bl_target *target, int64_t now_us);

/* The outcome of one request at a target. */
enum bl_outcome {
	BL_SERVED, /* any other valid response */
	/* Response with status 5xx, 408 or 429: the request ran and failed. */
	BL_FAILED,
	/* The target states that it did not run the request. */
	BL_SHED,
	/* Status 421: another target has this address; not run. */
	BL_MISPLACED,
	BL_UNREACHED, /* no byte was sent */
	BL_LOST,      /* sent, but no complete response arrived */
	BL_GARBLED,   /* sent, but the response is not valid */
	/* Given up by this VM: the caller left or the time was over. */
	BL_CANCELLED,
};

const char *bl_outcome_text(enum bl_outcome outcome);

/*
 * bl_request_ended(target, outcome, took_us, now): records the outcome of a
 * request that was counted by bl_request_started().
 */
void bl_request_ended(struct bl_target *target, enum bl_outcome outcome,
    int64_t took_us, int64_t now_us);

/*
 * bl_expected_latency_us(topology, target, now): returns the expected time
 * until the response, in microseconds.
 */
int64_t bl_expected_latency_us(const struct bl_topology *topology,
    const struct bl_target *target, int64_t now_us);

/*
 * bl_overdue_us(expected_us): returns the time after which a response is long
 * overdue.
 */
int64_t bl_overdue_us(int64_t expected_us);
/*
 * bl_may_have_dropped(target, sent_us): by its last report the target may have
 * dropped a request of this VM that was sent at sent_us: it was full, or, as
 * reported since then, had fewer requests than this VM waits for.
 */
bool bl_may_have_dropped(const struct bl_target *target, int64_t sent_us);

enum bl_verdict {
	BL_SEND,
	/* Probe the listed targets, then place the request again. */
	BL_PROBE,
	/* All targets are full; place again when one has room. */
	BL_WAIT,
	BL_REFUSE, /* cannot be served in time */
};

/* A call at a VM that does not know its configuration and targets yet. */
struct bl_start {
	int64_t now_us;
	int64_t process_start_us;
	int64_t received_us;
	int64_t deadline_us;
	uint32_t live_nodes;  /* other VMs of the region that respond */
	uint32_t ready_nodes; /* of these, VMs that accept calls */
};

struct bl_hold {
	bool hold;
	int64_t until_us;	/* with hold: decide again at this time */
	int64_t retry_after_us; /* otherwise: refuse */
};

/* bl_hold_at_start(start, out): whether the call waits or is refused. */
void bl_hold_at_start(const struct bl_start *start, struct bl_hold *out);

struct bl_request {
	int64_t now_us;
	/* A response by this time is of full use to the caller. */
	int64_t objective_us;
	/* A response after this time is of no use to the caller. */
	int64_t deadline_us;
	bool may_probe;

	/* Probes sent for this request are not answered yet. */
	bool probes_pending;
	bool may_wait;
	/* Calls of this VM that wait for the pool, and those that go first. */
	uint32_t waiting_calls;
	uint32_t calls_ahead;
	const struct bl_target *tried[BL_TRIED_MAX];
	uint32_t tried_count;
	/* Set of data centres whose targets must not serve it: bit i. */
	uint64_t excluded_data_centres;
	uint64_t tie_breaker; /* random, decides between equal targets */

	/* While many targets are full, see queue.h. Without it all are 0. */
	double congestion;    /* share of the targets that are full */
	double worth;	      /* of an answer in time, 1 at most */
	double work_factor;   /* its work relative to the mean of the pool */
	bool is_starved;      /* its kind is served far less often than all */
	int64_t congested_us; /* for so long */
};

struct bl_placement {
	enum bl_verdict verdict;
	/* With BL_REFUSE: the best target, or NULL. */
	struct bl_target *target;
	int64_t expected_us;
	uint32_t probe_count;
	struct bl_target *probes[BL_PROBES_MAX];
	/* A permit is to be asked for this target; NULL: none. */
	struct bl_target *ask;
	int64_t ask_wait_max_us;
	int64_t retry_after_us; /* only with BL_REFUSE */
	const char *reason;	/* static string */
};

void bl_place(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, struct bl_placement *out);

/* Parameters of the fleet's retry budget, of which each VM spends a share. */
struct bl_budget_params {
	double ratio; /* retries per request */
	double slack; /* further retries of the whole fleet */
	int64_t window_us;
	uint32_t node_count; /* entry VMs that share the slack */
	/*
	 * From then on this process may spend its share of the slack. Before,
	 * a former process of the VM may have spent it.
	 */
	int64_t slack_from_us;
};

void bl_count_request(struct bl_pool *pool,
    const struct bl_budget_params *params, int64_t now_us);
/* What is left of the budget in the current window. */
struct bl_budget_view {
	double requests, retries;
	double allowed; /* retries */
};

void bl_view_budget(const struct bl_pool *pool,
    const struct bl_budget_params *params, int64_t now_us,
    struct bl_budget_view *out);
/*
 * bl_take_retry(pool, params, now): returns true and counts one retry if the
 * budget allows it.
 */
bool bl_take_retry(struct bl_pool *pool, const struct bl_budget_params *params,
    int64_t now_us);

enum bl_step {
	/* Relay the target's response to the caller. */
	BL_RELAY,
	BL_RETRY,	 /* place the request again */
	BL_FAIL_NOT_RUN, /* 503: certainly not run */
	BL_FAIL_UNKNOWN, /* 502: may have run */
};

/*
 * bl_next_step(outcome, kind, attempts_left): returns the step that follows an
 * outcome. If the step is BL_RETRY and the request was delivered (see
 * bl_was_delivered()), the caller must also call bl_take_retry(). When that
 * returns false, bl_step_without_retry() gives the step instead.
 */
enum bl_step bl_next_step(
    enum bl_outcome outcome, enum rt_kind kind, bool attempts_left);
enum bl_step bl_step_without_retry(enum bl_outcome outcome);
/* bl_was_delivered(outcome): the target may have received the request. */
bool bl_was_delivered(enum bl_outcome outcome);
/* bl_may_have_run(outcome): it is not certain that the request did not run. */
bool bl_may_have_run(enum bl_outcome outcome);

/*
 * Detection of requests that crash the targets that run them. A fingerprint is
 * a hash of host, method, path and body of a request.
 */
#define BL_POISON_SUSPECTS_MAX 256
/* A request is refused from so many crashes on. */
#define BL_POISON_CRASHES_MIN 2
/* Crashes and excuses that are remembered of one request. */
#define BL_POISON_CRASHES_MAX 16
#define BL_POISON_EXCUSED_MAX 16

struct bl_crash {
	uint64_t fingerprint;
	uint64_t target_process; /* that crashed, see bl_target_process() */
	uint32_t trials; /* of the request that crashed targets, so far */
};

/* A crash that the request did not cause, since it was served later. */
struct bl_excuse {
	uint64_t target_process;
	bool told; /* the other VMs know */
};

struct bl_poison {
	struct bl_suspect {
		uint64_t fingerprint;
		/* The target processes that it crashed. */
		uint64_t crashed[BL_POISON_CRASHES_MAX];
		uint32_t crashes;
		uint32_t trials; /* that crashed a target */
		int64_t trial_after_us;
		uint64_t claim;	      /* of this VM for a trial; 0: none */
		uint64_t heard_claim; /* the last one of another VM */
		uint32_t serves;      /* here, since the last crash */
		uint64_t all_serves;  /* here */
		bool seen_here;	      /* this VM saw one of the crashes */
		bool must_tell;	      /* others may lack an excuse */
		int64_t seen_us;      /* the last crash */
		struct bl_excuse excused[BL_POISON_EXCUSED_MAX];
		uint32_t excused_count; /* ever; the ring holds the last */
	} suspects[BL_POISON_SUSPECTS_MAX];
	uint32_t suspect_count;
};

/*
 * bl_poison_crashed(poison, crash, now_us): records a crash of a target that
 * ran the request and returns the number of such crashes. The same crash counts
 * once, whoever reports it how often; one that is excused does not count.
 */
uint32_t bl_poison_crashed(
    struct bl_poison *poison, const struct bl_crash *crash, int64_t now_us);
/*
 * bl_poison_served(poison, fingerprint): a target ran the request to its end,
 * so the crashes known so far were not its fault. Returns true if the other VMs
 * should be told of that at once, see bl_poison_tell().
 */
bool bl_poison_served(struct bl_poison *poison, uint64_t fingerprint);
/*
 * bl_poison_excuse(poison, crash): another VM knows that the request did not
 * cause the crash. Returns true if that is news.
 */
bool bl_poison_excuse(struct bl_poison *poison, const struct bl_crash *crash);
/*
 * bl_poison_tell(poison, visit, arg): calls visit for each excuse that the
 * other VMs should be told, once.
 */
void bl_poison_tell(struct bl_poison *poison,
    void (*visit)(void *arg, const struct bl_crash *crash), void *arg);
/* bl_poison_knows(poison, crash): the crash was recorded before. */
bool bl_poison_knows(
    const struct bl_poison *poison, const struct bl_crash *crash);
/* bl_poison_find(poison, fingerprint): what is known of it, or NULL. */
const struct bl_suspect *bl_poison_find(
    const struct bl_poison *poison, uint64_t fingerprint);
/* bl_poison_seen_here(poison, fingerprint): this VM saw one of its crashes. */
void bl_poison_seen_here(struct bl_poison *poison, uint64_t fingerprint);
/*
 * bl_is_poison(poison, fingerprint): the request must not be sent to another
 * target, except as a trial.
 */
bool bl_is_poison(const struct bl_poison *poison, uint64_t fingerprint);
/*
 * bl_poison_wait_us(poison, fingerprint, rank, now_us): the time until the VM
 * of this rank may try the request, from 0. VMs of low rank try first.
 */
int64_t bl_poison_wait_us(const struct bl_poison *poison, uint64_t fingerprint,
    uint32_t rank, int64_t now_us);
/*
 * One VM tries a request at a time. It claims the trial with a random ticket
 * other than 0, tells all others, and tries after BL_POISON_CLAIM_US unless a
 * lower ticket was heard: bl_poison_try() returns false then. Otherwise it sets
 * *trials to the number of this trial, for a crash that it causes. The trial
 * ends with bl_poison_tried().
 */
#define BL_POISON_CLAIM_US 100000 /* a report takes less between regions */
void bl_poison_claim(struct bl_poison *poison, uint64_t fingerprint,
    uint64_t ticket, int64_t now_us);
/* bl_poison_hear_claim(): that of another VM. Returns true if it is news. */
bool bl_poison_hear_claim(struct bl_poison *poison, uint64_t fingerprint,
    uint64_t ticket, int64_t now_us);
bool bl_poison_try(
    const struct bl_poison *poison, uint64_t fingerprint, uint32_t *trials);
void bl_poison_tried(
    struct bl_poison *poison, uint64_t fingerprint, int64_t now_us);

/*
 * The moments of a planned stop, from its signal on; the last three come in
 * this order. TTL: of directory responses, also before a stop.
 */
struct bl_stop_plan {
	int64_t directory_ttl_ms;
	/* Attempts of calls that may last beyond end_calls_us are sent. */
	int64_t long_attempts_until_us;
	/* No cached directory response names the VM any more. */
	int64_t close_idle_us;
	/* Open calls are answered, whatever their targets do. */
	int64_t end_calls_us;
	int64_t exit_us; /* the process ends by itself */
};

/*
 * bl_plan_stop(grace_us, out): grace_us is the time from the signal until the
 * platform kills the process.
 */
void bl_plan_stop(int64_t grace_us, struct bl_stop_plan *out);

/*
 * bl_pick_backend(route, count): returns the index of the backend that serves
 * the count-th request. The shares follow the weights closely over any run of
 * consecutive requests.
 */
uint32_t bl_pick_backend(const struct rt_route *route, uint64_t count);

#endif
