/*
 * queue: the calls of one VM that wait for a pool, and which of them come first
 * when capacity is short. The functions do no input or output and take the
 * current time as an argument. See docs/design/overload.md.
 *
 * Each VM sees only its own calls, often none or one at a time, so the order of
 * its queue alone decides little. The module therefore also measures how many
 * targets are full (bl_queue_heard()), and bl_queue_fill_request() tells
 * bl_place() how much a call is worth: while many targets are full, calls of
 * less worth leave the last slots to those of all VMs that are worth more.
 */
#ifndef BL_QUEUE_H
#define BL_QUEUE_H

#include "balance.h"

/* The most recent ones; small, since a VM may have a thousand pools. */
#define BL_QUEUE_KINDS_MAX 8
#define BL_QUEUE_TENANTS_MAX 32
#define BL_QUEUE_BLOCKED_MAX 16
#define BL_QUEUE_WAITING_MAX 512

/* What of a call matters to its place; part of the call. */
struct bl_queue_entry {
	struct bl_queue_entry *next; /* in order of arrival */
	uint64_t kind;		     /* hash of its route */
	uint64_t tenant;	     /* hash of the tenant's name; 0: none */
	uint32_t priority;	     /* 0 is the highest */
	int64_t received_us;
	int64_t objective_us; /* an answer by then is of full use */
	int64_t deadline_us;
	/* See struct bl_request. */
	uint64_t excluded_data_centres;
	/* It has been at some targets, which it may not use again. */
	bool was_tried;
	bool is_waiting; /* it is in the queue */
	/* Beyond the usual rate of its tenant; set by bl_queue_arrived(). */
	bool surplus;
	uint32_t pass;	   /* the last one that placed it */
	int64_t probed_us; /* targets were last probed for it */
};

/* Calls of one route, over the last seconds. */
struct bl_queue_kind {
	uint64_t kind; /* 0: free */
	double offered, served;
	double work_us; /* time at a target; 0: not measured yet */
	/*
	 * Time that most calls have left when they arrive, and the share of
	 * those that do.
	 */
	int64_t usual_left_us;
	double usual_share;
	int64_t at_us;
};

/* Calls per second: over the last minute, and over the last seconds. */
struct bl_queue_rate {
	double usual_per_s, recent_per_s;
	int64_t since_us; /* the first call */
	int64_t at_us;
};

/* Calls of one tenant: a bucket that fills at its usual rate. */
struct bl_queue_tenant {
	uint64_t tenant; /* 0: free */
	struct bl_queue_rate rate;
	double credit;
};

struct bl_queue {
	/*
	 * Calls are weighed as described above. Otherwise they go in the order
	 * of priority and arrival, whatever is full.
	 */
	bool by_cost;
	struct bl_queue_entry *first, *last;
	uint32_t count;
	uint32_t pass;
	/* Share of the reports of targets that were full. */
	double full_share;
	int64_t heard_us;
	int64_t congested_since_us; /* 0: it is not */
	/* The highest priority of the last minute. */
	uint32_t top_priority;
	int64_t top_priority_us;
	double offered, served; /* of all kinds, over the last seconds */
	int64_t at_us;
	struct bl_queue_kind kinds[BL_QUEUE_KINDS_MAX];
	struct bl_queue_rate rate; /* of all tenants */
	struct bl_queue_tenant tenants[BL_QUEUE_TENANTS_MAX];
};

/*
 * One pass over the queue: sets of data centres that have no room now for calls
 * of at most this worth. Those worth more may use slots that others leave.
 */
struct bl_queue_scan {
	uint32_t pass;
	struct {
		uint64_t excluded_data_centres;
		double worth;
	} blocked[BL_QUEUE_BLOCKED_MAX];
	uint32_t blocked_count;
};

void bl_queue_init(struct bl_queue *queue, bool by_cost);
/*
 * bl_queue_count_tenant(queue, tenant, now_us): counts a call of the tenant.
 * Returns true if it is beyond the tenant's usual rate (surplus.c).
 */
bool bl_queue_count_tenant(
    struct bl_queue *queue, uint64_t tenant, int64_t now_us);
/*
 * bl_queue_arrived(queue, entry, now_us): counts a call, once. If the caller
 * has visibly spent some of its time elsewhere, its objective is that much
 * earlier.
 */
void bl_queue_arrived(
    struct bl_queue *queue, struct bl_queue_entry *entry, int64_t now_us);
/*
 * bl_queue_ended(queue, entry, served, work_us, now_us): a call that was
 * counted has ended. work_us is the time that it took at the target that served
 * it; 0: that tells nothing, since it failed there.
 */
void bl_queue_ended(struct bl_queue *queue, const struct bl_queue_entry *entry,
    bool served, int64_t work_us, int64_t now_us);
/* bl_queue_heard(queue, load, now_us): a target of the pool reports its load.
 */
void bl_queue_heard(
    struct bl_queue *queue, const struct bl_load *load, int64_t now_us);
/* bl_queue_congestion(queue, now_us): returns the share of full targets. */
double bl_queue_congestion(const struct bl_queue *queue, int64_t now_us);

/*
 * bl_queue_expected_us(queue, entry, pool, expected_us): returns the latency
 * that is expected of the call, where expected_us is that of the pool's calls.
 */
int64_t bl_queue_expected_us(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    int64_t expected_us);

void bl_queue_add(struct bl_queue *queue, struct bl_queue_entry *entry);
void bl_queue_remove(struct bl_queue *queue, struct bl_queue_entry *entry);
/*
 * bl_queue_has_room(queue, entry, pool, now_us): the entry may wait: it does so
 * already, or there is room, or it goes before bl_queue_last(), the entry that
 * is to be refused in its place.
 */
bool bl_queue_has_room(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    int64_t now_us);
struct bl_queue_entry *bl_queue_last(
    const struct bl_queue *queue, const struct bl_pool *pool, int64_t now_us);
/* bl_queue_begin(queue, scan): begins a pass over the queue. */
void bl_queue_begin(struct bl_queue *queue, struct bl_queue_scan *scan);
/*
 * bl_queue_next(queue, pool, scan, now_us): returns the entry to place next, or
 * NULL. The caller removes it, or passes it to bl_queue_block() if it has to
 * wait on.
 */
struct bl_queue_entry *bl_queue_next(const struct bl_queue *queue,
    const struct bl_pool *pool, const struct bl_queue_scan *scan,
    int64_t now_us);
void bl_queue_block(const struct bl_queue *queue, struct bl_queue_scan *scan,
    struct bl_queue_entry *entry);
/*
 * bl_queue_must_wait(queue, entry, pool, now_us): returns true if a call that
 * waits goes before this one, and does not leave all slots to it.
 */
bool bl_queue_must_wait(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    int64_t now_us);
/*
 * bl_queue_fill_request(queue, entry, pool, probe_share, request): sets what
 * bl_place() needs while targets are full; request->now_us is set already.
 * probe_share is the share of this VM's probes that is left, 1 at most.
 */
void bl_queue_fill_request(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    double probe_share, struct bl_request *request);

#endif
