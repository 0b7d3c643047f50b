/*
 * balance: every decision about where a request goes, whether it waits, is
 * refused or is sent again. Nothing here does input or output; time is passed
 * in, so that loads are replayed in tests. Callers ask in this order:
 *
 *	bl_place()	which target, or wait, or refuse	place.c
 *	bl_request_started()	a request was handed to a target	pool.c
 *	bl_request_ended()	what came of it				pool.c
 *	bl_next_step()	relay, send again or fail		outcome.c
 *	bl_take_retry()	the budget of repeats			budget.c
 *	bl_is_poison()	requests that crash targets		poison.c
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
#define BL_ZONES_MAX 64
#define BL_TRIED_MAX 8
#define BL_PROBES_MAX 3

/* Data centres and how far they are from this VM. */
struct bl_topology {
	uint32_t own; /* index of this VM's data centre */
	uint32_t count;
	struct {
		char name[RT_NAME_BYTES_MAX];
		char region[RT_NAME_BYTES_MAX];
		bool near;	/* in this VM's region */
		int64_t rtt_us; /* round trip, assumed by distance */
	} places[BL_ZONES_MAX];
};

/* bl_topology_find(topology, name): its index, or CS_E_MISSING. */
int bl_topology_find(const struct bl_topology *topology, const char *name);

/* What a target last said of its load, in an answer or to a probe. */
struct bl_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness_pct; /* 100: work takes as long as usual there */
};

struct bl_pool;

struct bl_target {
	struct cs_ref ref;
	struct bl_pool *pool; /* NULL once it left */
	char id[BL_ID_BYTES_MAX];
	struct sockaddr_in address;
	uint32_t data_centre; /* index into the topology */
	uint32_t slots;
	uint64_t process_start_ms; /* start of its process, wall clock */
	int64_t warm_up_until_us;
	bool leaving; /* gets no new work */

	struct bl_load load;
	int64_t load_at_us;	 /* when it was said, 0: never */
	uint32_t other_requests; /* requests of other VMs at that time */

	uint32_t in_flight; /* requests of this VM */
	double slowness;    /* observed against expected time, 1: as usual */
	int64_t slowness_at_us;
	double failure_rate; /* share of failures, recent ones weigh most */
	int64_t failure_rate_at_us;
	uint32_t connect_failures; /* connections refused in a row */
	int64_t shut_until_us;
	int64_t last_seen_us;  /* last sign that it lives */
	int64_t probe_sent_us; /* last probe was sent */
	bool probing;
	void *channels; /* of the owner */
};

#define BL_TARGETS_MAX 2048

struct bl_budget_bucket {
	int64_t interval; /* number of the time slice */
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
	double work_us; /* time that one request takes when calm */
	double
	    mean_other_per_slot; /* requests of other VMs for each slot, mean */
	double mean_slowness;	 /* mean of what targets say, 1: as usual */
	struct bl_budget budget;
	void *owner; /* of the owner */
};

struct bl_pool *bl_pool_create(const char *name);
void bl_pool_free(struct bl_pool *pool);
struct bl_target *bl_pool_find(const struct bl_pool *pool, const char *id);
/* bl_pool_add(pool, target): takes over the caller's reference. */
int bl_pool_add(struct bl_pool *pool, struct bl_target *target);
/* bl_pool_remove(pool, target): gives the pool's reference back. */
void bl_pool_remove(struct bl_pool *pool, struct bl_target *target);

struct bl_target *bl_target_create(const char *id);
void bl_target_drop(struct bl_target *target);
/* bl_target_restarted(target): a new process has its id; all is forgotten. */
void bl_target_restarted(struct bl_target *target);

/* bl_load_reported(target, load, now): news of its load; NULL: only that it
 * lives. */
void bl_load_reported(
    struct bl_target *target, const struct bl_load *load, int64_t now_us);
void bl_request_started(struct bl_target *target, int64_t now_us);

/* What came of one request at a target. */
enum bl_outcome {
	BL_SERVED,    /* an answer of 2xx to 4xx */
	BL_FAILED,    /* an answer of 5xx: it ran, in vain */
	BL_SHED,      /* the target says that it did not run it */
	BL_MISPLACED, /* another target has the address; not run */
	BL_UNREACHED, /* no byte was sent */
	BL_LOST,      /* sent, and no whole answer came */
	BL_GARBLED,   /* sent, and the answer makes no sense */
	BL_CANCELLED, /* this side gave up: caller gone or time over */
};

const char *bl_outcome_text(enum bl_outcome outcome);

/*
 * bl_request_ended(target, outcome, took_us, now): takes what came of a request
 * that bl_request_started() announced.
 */
void bl_request_ended(struct bl_target *target, enum bl_outcome outcome,
    int64_t took_us, int64_t now_us);

/* bl_expected_latency_us(topology, target, now): time until an answer,
 * microseconds. */
int64_t bl_expected_latency_us(const struct bl_topology *topology,
    const struct bl_target *target, int64_t now_us);

enum bl_verdict {
	BL_SEND,
	BL_PROBE,  /* probe the targets named, then place again */
	BL_WAIT,   /* full at the moment; place again when that changes */
	BL_REFUSE, /* cannot be served in time */
};

struct bl_request {
	int64_t now_us;
	int64_t objective_us; /* answer by then is of full use */
	int64_t deadline_us;  /* answer by then is of any use */
	bool may_probe;

	bool probes_pending; /* answers to probes for it are still due */
	bool may_wait;
	const struct bl_target *tried[BL_TRIED_MAX];
	uint32_t tried_count;
	uint64_t tie_breaker; /* random, breaks ties between equals */
};

struct bl_placement {
	enum bl_verdict verdict;
	struct bl_target *target; /* with BL_REFUSE the best one, or NULL */
	int64_t expected_us;
	uint32_t probe_count;
	struct bl_target *probes[BL_PROBES_MAX];
	int64_t retry_after_us; /* with BL_REFUSE */
	const char *reason;	/* static */
};

void bl_place(const struct bl_topology *topology, struct bl_pool *pool,
    const struct bl_request *request, struct bl_placement *out);

/* The share of the fleet's budget of repeats that one VM may spend. */
struct bl_budget_terms {
	double ratio; /* repeats for each request */
	double slack; /* further repeats of the whole fleet */
	int64_t window_us;
	uint32_t members; /* entry VMs that share the slack */
};

void bl_count_request(
    struct bl_pool *pool, const struct bl_budget_terms *terms, int64_t now_us);
/* bl_take_retry(pool, terms, now): counts one repeat when it may be sent. */
bool bl_take_retry(
    struct bl_pool *pool, const struct bl_budget_terms *terms, int64_t now_us);

enum bl_step {
	BL_RELAY,	 /* hand the target's answer to the caller */
	BL_RETRY,	 /* place it once more */
	BL_FAIL_NOT_RUN, /* 503: surely not run */
	BL_FAIL_UNKNOWN, /* 502: may have run */
};

/*
 * bl_next_step(outcome, kind, attempts_left): what follows an outcome. The
 * caller still asks bl_take_retry() before a step BL_RETRY that follows an
 * arrival, and treats a refusal of that with bl_step_without_retry().
 */
enum bl_step bl_next_step(
    enum bl_outcome outcome, enum rt_kind kind, bool attempts_left);
enum bl_step bl_step_without_retry(enum bl_outcome outcome);
/* bl_was_delivered(outcome): the target saw the request. */
bool bl_was_delivered(enum bl_outcome outcome);
/* bl_may_have_run(outcome): nobody vouches that it did not run. */
bool bl_may_have_run(enum bl_outcome outcome);

/*
 * Requests that crash the targets that run them. A fingerprint names a
 * request by caller, method, path and body.
 */
#define BL_POISON_SUSPECTS_MAX 256
#define BL_POISON_SERVED_MAX 4096
struct bl_poison {
	uint64_t served[BL_POISON_SERVED_MAX]; /* fingerprints that ran well */
	struct {
		uint64_t fingerprint;
		uint32_t crashes;
		int64_t seen_us;
	} suspects[BL_POISON_SUSPECTS_MAX];
};

/* bl_poison_served(poison, fingerprint): a target served it. */
void bl_poison_served(struct bl_poison *poison, uint64_t fingerprint);
/*
 * bl_poison_crashed(poison, ...): a target went down on it; returns the count,
 * 0 for one that ran well before: it was there by chance.
 */
uint32_t bl_poison_crashed(
    struct bl_poison *poison, uint64_t fingerprint, int64_t now_us);
/* bl_is_poison(poison, ...): it must not reach another target. */
bool bl_is_poison(
    const struct bl_poison *poison, uint64_t fingerprint, int64_t now_us);

/*
 * bl_pick_backend(route, count): which backend serves the count-th request,
 * so that shares follow the weights closely over any stretch.
 */
uint32_t bl_pick_backend(const struct rt_route *route, uint64_t count);

#endif
