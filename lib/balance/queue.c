/*
 * Orders the calls that wait for a pool, and measures how short its capacity
 * is. The order: calls that can still be in time before those that cannot, then
 * those of most worth for the work that they need, then those that must start
 * first.
 */
#include <math.h>
#include <string.h>

#include "balance_internal.h"
#include "queue.h"

/*
 * Gain of each load report, and the time in which the estimate halves without
 * any. A VM of a large fleet hears some ten reports a second, and bursts last
 * for some seconds.
 */
#define FULL_SHARE_GAIN 0.1
#define FULL_SHARE_DECAY_US 1500000.0

/*
 * Worth is relative to the highest priority in use: a deployment may use any
 * range of numbers. A VM may see a call of a rare one once in a minute.
 */
#define TOP_PRIORITY_US 60000000

/* Counts of kinds and tenants are moving sums over about this time. */
#define COUNT_DECAY_US 10000000.0
/*
 * A kind that is served less than this share as often as all calls goes first.
 * The requirement is a quarter; counts of one VM are small and lag behind.
 */
#define KIND_SERVED_SHARE_MIN 0.5
#define KIND_OFFERED_MIN 4.0
#define WORK_GAIN 0.1 /* mean of about 10 responses */

/*
 * A caller that repeats a refused call has less time left than it had at first.
 * Where most calls of a kind have the same time left, as measured while targets
 * are not full, one with less has spent the difference. Networks and clocks in
 * ms make up for the tolerance.
 */
#define USUAL_LEFT_TOLERANCE_US 25000
#define USUAL_SHARE_GAIN 0.05
#define USUAL_SHARE_MIN 0.8
#define USUAL_CONGESTION_MAX BL_CONGESTED_MIN

/*
 * From this share of full targets on, calls of less worth leave a part of the
 * probes to the others; a VM of a large fleet may send some 14 a second.
 */
#define PROBES_CONGESTION 0.2
/* A call that waits probes again when the reports are no longer fresh. */
#define PROBE_INTERVAL_US 30000

/* A call beyond the usual rate of its tenant, see surplus.c. */
#define SURPLUS_WORTH 0.25

/*
 * From this share of full targets on, of calls of equal worth the one with most
 * time left goes first: not all can be in time, and by the least time left each
 * would start so late that a slow target makes it late.
 */
#define NEWEST_FIRST_CONGESTION 0.5

static double
decay(int64_t age_us, double time_us)
{
	return age_us <= 0 ? 1.0 : exp(-(double)age_us / time_us);
}

void
bl_queue_init(struct bl_queue *queue, bool by_cost)
{
	*queue = (struct bl_queue){.by_cost = by_cost};
}

static struct bl_queue_kind *
find_kind(const struct bl_queue *queue, uint64_t kind)
{
	uint32_t i;

	for (i = 0; i < BL_QUEUE_KINDS_MAX; i++) {
		if (queue->kinds[i].kind == kind)
			return (struct bl_queue_kind *)&queue->kinds[i];
	}
	return NULL;
}

/* Returns the entry of the kind, which may replace the least recent one. */
static struct bl_queue_kind *
use_kind(struct bl_queue *queue, uint64_t kind, int64_t now_us)
{
	struct bl_queue_kind *found = find_kind(queue, kind);
	double kept;
	uint32_t i;

	if (found == NULL) {
		found = &queue->kinds[0];
		for (i = 1; i < BL_QUEUE_KINDS_MAX; i++) {
			if (queue->kinds[i].at_us < found->at_us)
				found = &queue->kinds[i];
		}
		*found = (struct bl_queue_kind){.kind = kind, .at_us = now_us};
	}
	kept = decay(now_us - found->at_us, COUNT_DECAY_US);
	found->offered *= kept;
	found->served *= kept;
	found->at_us = now_us;
	return found;
}

static void
decay_totals(struct bl_queue *queue, int64_t now_us)
{
	double kept = decay(now_us - queue->at_us, COUNT_DECAY_US);

	queue->offered *= kept;
	queue->served *= kept;
	queue->at_us = now_us;
}

/* Returns the time that the caller has visibly spent before this call. */
static int64_t
spent_us(const struct bl_queue *queue, struct bl_queue_kind *kind,
    const struct bl_queue_entry *entry, int64_t now_us)
{
	int64_t left_us = entry->deadline_us - entry->received_us;
	int64_t less_us = kind->usual_left_us - left_us;
	bool is_usual = less_us <= USUAL_LEFT_TOLERANCE_US &&
			less_us >= -USUAL_LEFT_TOLERANCE_US;

	if (bl_queue_congestion(queue, now_us) <= USUAL_CONGESTION_MAX) {
		kind->usual_share +=
		    USUAL_SHARE_GAIN * (is_usual - kind->usual_share);
		if (kind->usual_share < 0.5 && !is_usual) {
			kind->usual_left_us = left_us;
			kind->usual_share = 0.5;
		}
	}
	return !is_usual && less_us > 0 && kind->usual_share >= USUAL_SHARE_MIN
		   ? less_us
		   : 0;
}

void
bl_queue_arrived(
    struct bl_queue *queue, struct bl_queue_entry *entry, int64_t now_us)
{
	struct bl_queue_kind *kind = use_kind(queue, entry->kind, now_us);

	if (entry->priority <= queue->top_priority ||
	    queue->top_priority_us == 0 ||
	    now_us - queue->top_priority_us > TOP_PRIORITY_US) {
		queue->top_priority = entry->priority;
		queue->top_priority_us = now_us;
	}
	decay_totals(queue, now_us);
	queue->offered += 1.0;
	kind->offered += 1.0;
	entry->objective_us -= spent_us(queue, kind, entry, now_us);
	entry->surplus = entry->tenant != 0 &&
			 bl_queue_count_tenant(queue, entry->tenant, now_us);
}

void
bl_queue_ended(struct bl_queue *queue, const struct bl_queue_entry *entry,
    bool served, int64_t work_us, int64_t now_us)
{
	struct bl_queue_kind *kind = use_kind(queue, entry->kind, now_us);

	if (!served)
		return;
	decay_totals(queue, now_us);
	queue->served += 1.0;
	kind->served += 1.0;
	if (work_us <= 0)
		return;
	if (kind->work_us <= 0.0)
		kind->work_us = (double)work_us;
	else
		kind->work_us += WORK_GAIN * ((double)work_us - kind->work_us);
}

void
bl_queue_heard(
    struct bl_queue *queue, const struct bl_load *load, int64_t now_us)
{
	double share = bl_queue_congestion(queue, now_us);
	double full =
	    load->running + load->waiting >= bl_concurrency_limit(load->slots)
		? 1.0
		: 0.0;

	if (load->slots == 0) /* unknown */
		return;
	share += FULL_SHARE_GAIN * (full - share);
	if (share < BL_CONGESTED_MIN)
		queue->congested_since_us = 0;
	else if (queue->congested_since_us == 0)
		queue->congested_since_us = now_us;
	queue->full_share = share;
	queue->heard_us = now_us;
}

double
bl_queue_congestion(const struct bl_queue *queue, int64_t now_us)
{
	return queue->full_share *
	       decay(now_us - queue->heard_us, FULL_SHARE_DECAY_US);
}

void
bl_queue_add(struct bl_queue *queue, struct bl_queue_entry *entry)
{
	entry->next = NULL;
	if (queue->last == NULL)
		queue->first = entry;
	else
		queue->last->next = entry;
	queue->last = entry;
	queue->count++;
	entry->is_waiting = true;
}

void
bl_queue_remove(struct bl_queue *queue, struct bl_queue_entry *entry)
{
	struct bl_queue_entry **at = &queue->first, *previous = NULL;

	while (*at != NULL && *at != entry) {
		previous = *at;
		at = &previous->next;
	}
	if (*at == NULL)
		return;
	*at = entry->next;
	if (queue->last == entry)
		queue->last = previous;
	entry->next = NULL;
	queue->count--;
	entry->is_waiting = false;
}

/* The kind is served far less often than all calls. */
static bool
is_starved(const struct bl_queue *queue, uint64_t kind)
{
	const struct bl_queue_kind *found = find_kind(queue, kind);

	return found != NULL && found->offered >= KIND_OFFERED_MIN &&
	       found->served * queue->offered <
		   KIND_SERVED_SHARE_MIN * queue->served * found->offered;
}

/*
 * Returns what an answer in time is worth, relative to a call of the highest
 * priority in use.
 */
static double
worth_of(const struct bl_queue *queue, const struct bl_queue_entry *entry)
{
	double below_top = entry->priority > queue->top_priority
			       ? entry->priority - queue->top_priority
			       : 0.0;
	double worth = 1.0 / (1.0 + below_top);

	if (entry->surplus)
		return worth * SURPLUS_WORTH;
	return is_starved(queue, entry->kind) ? 1.0 : worth;
}

/* Returns the work of the kind relative to the mean of the pool. */
static double
work_factor(const struct bl_queue *queue, const struct bl_queue_entry *entry,
    const struct bl_pool *pool)
{
	const struct bl_queue_kind *kind = find_kind(queue, entry->kind);
	double factor;

	if (kind == NULL || kind->work_us <= 0.0)
		return 1.0;
	factor = kind->work_us / (pool->service_time_us * pool->mean_slowness);
	/* Waits at targets are part of it; only large differences count. */
	return factor < 2.0 && factor > 0.5 ? 1.0 : factor;
}

int64_t
bl_queue_expected_us(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    int64_t expected_us)
{
	double factor = work_factor(queue, entry, pool);

	return factor > 1.0 ? (int64_t)((double)expected_us * factor)
			    : expected_us;
}

struct rank {
	bool in_time;
	double worth;	  /* for the work that it needs */
	int64_t start_us; /* at the latest, to be in time */
	bool newest_first;
};

static bool
is_newest_first(const struct bl_queue *queue, int64_t now_us)
{
	return bl_queue_congestion(queue, now_us) > NEWEST_FIRST_CONGESTION;
}

static struct rank
rank_of(const struct bl_queue *queue, const struct bl_queue_entry *entry,
    const struct bl_pool *pool, bool newest_first, int64_t now_us)
{
	double factor = work_factor(queue, entry, pool);
	int64_t work_us = (int64_t)(pool->service_time_us * factor);

	if (!queue->by_cost)
		return (struct rank){
		    .in_time = true,
		    .worth = 1.0 / (1.0 + entry->priority),
		    .start_us = entry->received_us,
		};
	return (struct rank){
	    .in_time = now_us + work_us <= entry->objective_us,
	    .worth = worth_of(queue, entry) / factor,
	    .start_us = entry->objective_us - work_us,
	    .newest_first = newest_first,
	};
}

static bool
goes_before(const struct rank *a, const struct rank *b)
{
	if (a->in_time != b->in_time)
		return a->in_time;
	if (a->worth != b->worth)
		return a->worth > b->worth;
	return a->newest_first ? a->start_us > b->start_us
			       : a->start_us < b->start_us;
}

/* What decides which slots the call may use. */
static double
slots_worth(const struct bl_queue *queue, const struct bl_queue_entry *entry)
{
	return queue->by_cost ? worth_of(queue, entry) : 1.0;
}

static bool
is_blocked(const struct bl_queue *queue, const struct bl_queue_scan *scan,
    const struct bl_queue_entry *entry)
{
	double worth = slots_worth(queue, entry);
	uint32_t i;

	if (scan->blocked_count == BL_QUEUE_BLOCKED_MAX)
		return true;
	for (i = 0; i < scan->blocked_count; i++) {
		/* It may use no slot that the blocked one may not. */
		if ((scan->blocked[i].excluded_data_centres &
			~entry->excluded_data_centres) == 0 &&
		    worth <= scan->blocked[i].worth)
			return true;
	}
	return false;
}

struct bl_queue_entry *
bl_queue_last(
    const struct bl_queue *queue, const struct bl_pool *pool, int64_t now_us)
{
	bool newest_first = is_newest_first(queue, now_us);
	struct bl_queue_entry *entry, *last = NULL;
	struct rank rank, last_rank = {0};

	for (entry = queue->first; entry != NULL; entry = entry->next) {
		rank = rank_of(queue, entry, pool, newest_first, now_us);
		if (last == NULL || !goes_before(&rank, &last_rank)) {
			last = entry;
			last_rank = rank;
		}
	}
	return last;
}

bool
bl_queue_has_room(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    int64_t now_us)
{
	bool newest_first = is_newest_first(queue, now_us);
	struct rank rank, last_rank;

	if (entry->is_waiting || queue->count < BL_QUEUE_WAITING_MAX)
		return true;
	if (!queue->by_cost)
		return false;
	rank = rank_of(queue, entry, pool, newest_first, now_us);
	last_rank = rank_of(queue, bl_queue_last(queue, pool, now_us), pool,
	    newest_first, now_us);
	return goes_before(&rank, &last_rank);
}

void
bl_queue_begin(struct bl_queue *queue, struct bl_queue_scan *scan)
{
	*scan = (struct bl_queue_scan){.pass = ++queue->pass};
}

void
bl_queue_block(const struct bl_queue *queue, struct bl_queue_scan *scan,
    struct bl_queue_entry *entry)
{
	uint32_t at = scan->blocked_count;

	entry->pass = scan->pass;
	/* Others may use the targets at which it has been. */
	if (entry->was_tried || at == BL_QUEUE_BLOCKED_MAX)
		return;
	scan->blocked[at].excluded_data_centres = entry->excluded_data_centres;
	scan->blocked[at].worth = slots_worth(queue, entry);
	scan->blocked_count++;
}

struct bl_queue_entry *
bl_queue_next(const struct bl_queue *queue, const struct bl_pool *pool,
    const struct bl_queue_scan *scan, int64_t now_us)
{
	bool newest_first = is_newest_first(queue, now_us);
	struct bl_queue_entry *entry, *best = NULL;
	struct rank rank, best_rank = {0};

	for (entry = queue->first; entry != NULL; entry = entry->next) {
		if (entry->pass == scan->pass)
			continue;
		rank = rank_of(queue, entry, pool, newest_first, now_us);
		/* One that is late is to be refused even if others wait. */
		if (rank.in_time && is_blocked(queue, scan, entry))
			continue;
		if (best == NULL || goes_before(&rank, &best_rank)) {
			best = entry;
			best_rank = rank;
		}
	}
	return best;
}

bool
bl_queue_must_wait(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    int64_t now_us)
{
	bool newest_first = is_newest_first(queue, now_us);
	struct rank rank = rank_of(queue, entry, pool, newest_first, now_us),
		    other;
	double congestion = bl_queue_congestion(queue, now_us);
	const struct bl_queue_entry *at;

	for (at = queue->first; at != NULL; at = at->next) {
		if (at == entry || (at->excluded_data_centres &
				       ~entry->excluded_data_centres) != 0)
			continue;
		if (bl_leaves_all_slots(slots_worth(queue, at), congestion))
			continue;
		other = rank_of(queue, at, pool, newest_first, now_us);
		if (goes_before(&other, &rank))
			return true;
	}
	return false;
}

void
bl_queue_fill_request(const struct bl_queue *queue,
    const struct bl_queue_entry *entry, const struct bl_pool *pool,
    double probe_share, struct bl_request *request)
{
	if (!queue->by_cost)
		return;
	request->congestion = bl_queue_congestion(queue, request->now_us);
	request->worth = worth_of(queue, entry);
	request->work_factor = work_factor(queue, entry, pool);
	request->is_starved = !entry->surplus && is_starved(queue, entry->kind);
	if (queue->congested_since_us != 0)
		request->congested_us =
		    request->now_us - queue->congested_since_us;
	/* Without what the caller has spent elsewhere. */
	if (request->congestion >= BL_CONGESTED_MIN)
		request->objective_us = entry->objective_us;
	/* One that waits probes again, but not at each pass. */
	if (request->congestion >= BL_CONGESTED_MIN && entry->probed_us != 0)
		request->may_probe =
		    request->now_us - entry->probed_us >= PROBE_INTERVAL_US;
	/* Probes for calls of less worth leave some to the others. */
	if (request->congestion > PROBES_CONGESTION &&
	    probe_share < 1.0 - request->worth)
		request->may_probe = false;
}
