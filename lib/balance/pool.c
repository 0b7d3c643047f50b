/*
 * Pools of targets and what is known of each target: its own load reports, the
 * latencies that this VM observes, failures, and missing responses. Targets
 * slow down for fractions of a second without warning.
 */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "balance_internal.h"

#define INITIAL_CAPACITY 16

int
bl_topology_find(const struct bl_topology *topology, const char *name)
{
	uint32_t i;

	for (i = 0; i < topology->count; i++) {
		if (strcmp(topology->data_centres[i].name, name) == 0)
			return (int)i;
	}
	return CS_E_MISSING;
}

struct bl_pool *
bl_pool_create(const char *name)
{
	struct bl_pool *pool = calloc(1, sizeof(*pool));

	if (pool == NULL)
		return NULL;
	cs_copy_text(pool->name, sizeof(pool->name), name);
	pool->service_time_us = BL_SERVICE_TIME_INITIAL_US;
	pool->mean_slowness = 1.0;
	return pool;
}

void
bl_pool_free(struct bl_pool *pool)
{
	while (pool->count > 0)
		bl_pool_remove(pool, pool->targets[pool->count - 1]);
	free(pool->targets);
	free(pool);
}

struct bl_target *
bl_pool_find(const struct bl_pool *pool, const char *id)
{
	uint32_t i;

	for (i = 0; i < pool->count; i++) {
		if (strcmp(pool->targets[i]->id, id) == 0)
			return pool->targets[i];
	}
	return NULL;
}

int
bl_pool_add(struct bl_pool *pool, struct bl_target *target)
{
	struct bl_target **grown;
	uint32_t capacity;

	if (pool->count == BL_TARGETS_MAX)
		return CS_E_FULL;
	if (pool->count == pool->capacity) {
		capacity =
		    pool->capacity == 0 ? INITIAL_CAPACITY : pool->capacity * 2;
		grown = realloc(pool->targets, capacity * sizeof(*grown));
		if (grown == NULL)
			return CS_E_SYSTEM;
		pool->targets = grown;
		pool->capacity = capacity;
	}
	pool->targets[pool->count++] = target;
	target->pool = pool;
	return CS_OK;
}

void
bl_pool_remove(struct bl_pool *pool, struct bl_target *target)
{
	uint32_t i;

	for (i = 0; i < pool->count; i++) {
		if (pool->targets[i] != target)
			continue;
		pool->targets[i] = pool->targets[--pool->count];
		target->pool = NULL;
		target->draining = true;
		bl_target_unref(target);
		return;
	}
}

void
bl_target_restarted(struct bl_target *target)
{
	target->load_at_us = 0;
	target->other_requests = 0;
	target->slowness = 1.0;
	target->failure_rate = 0.0;
	target->connect_failures = 0;
	target->backoff_until_us = 0;
	target->draining = target->leaving = false;
	target->paused_until_us = 0;
	bl_limit_reset(target);
}

void
bl_set_draining(struct bl_target *target, bool draining)
{
	target->draining = draining || target->leaving;
}

bool
bl_set_leaving(struct bl_target *target)
{
	bool is_news = !target->leaving;

	target->leaving = target->draining = true;
	return is_news;
}

bool
bl_pause(struct bl_target *target, int64_t pause_us, int64_t now_us)
{
	if (now_us + pause_us <= target->paused_until_us)
		return false;
	target->paused_until_us = now_us + pause_us;
	return true;
}

int64_t
bl_wait_us(const struct bl_target *target, int64_t now_us)
{
	int64_t pause_us = target->paused_until_us - now_us;
	int64_t permit_us = bl_limit_wait_us(target, now_us);

	if (target->draining)
		return INT64_MAX;
	/* A permit may be asked for now, but there is none yet. */
	if (permit_us == 0 && !bl_limit_may_send(target, now_us))
		permit_us = 1;
	if (pause_us < 0)
		pause_us = 0;
	return pause_us > permit_us ? pause_us : permit_us;
}

int64_t
bl_pool_wait_us(const struct bl_pool *pool, uint64_t blocked, int64_t now_us)
{
	int64_t min_us = INT64_MAX, wait_us;
	uint32_t i;

	for (i = 0; i < pool->count; i++) {
		if ((blocked >> pool->targets[i]->data_centre & 1) != 0)
			continue;
		wait_us = bl_wait_us(pool->targets[i], now_us);
		if (wait_us < min_us)
			min_us = wait_us;
	}
	return min_us;
}

static double
decay(int64_t age_us, double time_us)
{
	return age_us <= 0 ? 1.0 : exp(-(double)age_us / time_us);
}

void
bl_load_reported(
    struct bl_target *target, const struct bl_load *load, int64_t now_us)
{
	uint32_t busy;

	target->last_seen_us = now_us;
	target->connect_failures = 0;
	target->backoff_until_us = 0;
	if (load == NULL)
		return;
	busy = load->running + load->waiting;
	target->load = *load;
	target->load_at_us = now_us;
	target->other_requests =
	    busy > target->in_flight ? busy - target->in_flight : 0;
	if (load->slots > 0)
		target->slots = load->slots;
	if (target->pool != NULL)
		target->pool->mean_other_per_slot +=
		    BL_OTHER_REQUESTS_GAIN *
		    ((double)target->other_requests / target->slots -
			target->pool->mean_other_per_slot);
	if (target->pool != NULL && load->slowness_pct > 0)
		target->pool->mean_slowness +=
		    BL_MEAN_SLOWNESS_GAIN *
		    (load->slowness_pct / 100.0 - target->pool->mean_slowness);
}

void
bl_request_started(struct bl_target *target, int64_t now_us)
{
	target->in_flight++;
	bl_limit_sent(target, now_us);
}

static void
record_failure(struct bl_target *target, double failed, int64_t now_us)
{
	double kept =
	    target->failure_rate *
	    decay(now_us - target->failure_rate_at_us, BL_FAILURE_DECAY_US);

	target->failure_rate = kept + BL_FAILURE_GAIN * (failed - kept);
	target->failure_rate_at_us = now_us;
}

static void
record_unreached(struct bl_target *target, int64_t now_us)
{
	int64_t pause_us = BL_BACKOFF_INITIAL_US;
	uint32_t i;

	target->connect_failures++;
	for (i = 1;
	     i < target->connect_failures && pause_us < BL_BACKOFF_MAX_US; i++)
		pause_us *= 2;
	target->backoff_until_us = now_us + pause_us;
}

static void
record_latency(struct bl_target *target, int64_t took_us, int64_t now_us)
{
	struct bl_pool *pool = target->pool;
	double slow = bl_slowness(target, now_us), unloaded_us, ratio;

	if (pool == NULL)
		return;
	unloaded_us = (double)took_us / slow;
	if (unloaded_us > BL_OUTLIER_FACTOR * pool->service_time_us)
		unloaded_us = BL_OUTLIER_FACTOR * pool->service_time_us;
	ratio = (double)took_us / (pool->service_time_us * slow);
	if (ratio > BL_OUTLIER_FACTOR)
		ratio = BL_OUTLIER_FACTOR;
	pool->service_time_us +=
	    BL_SERVICE_TIME_GAIN * (unloaded_us - pool->service_time_us);
	target->slowness += BL_SLOWNESS_GAIN * (ratio - target->slowness);
	target->slowness_at_us = now_us;
}

void
bl_request_ended(struct bl_target *target, enum bl_outcome outcome,
    int64_t took_us, int64_t now_us)
{
	assert(target->in_flight > 0);
	target->in_flight--;
	switch (outcome) {
	case BL_SERVED:
		record_latency(target, took_us, now_us);
		record_failure(target, 0.0, now_us);
		break;
	case BL_FAILED:
	case BL_LOST:
	case BL_GARBLED:
		record_failure(target, 1.0, now_us);
		break;
	case BL_SHED:
		if (now_us - target->load_at_us > BL_SHED_LOAD_AGE_MAX_US) {
			/*
			 * The target did not report its load; assumes that it
			 * is full.
			 */
			target->other_requests =
			    target->slots + target->load.waiting;
			target->load_at_us = now_us;
		}
		record_failure(target, BL_SHED_WEIGHT, now_us);
		break;
	case BL_MISPLACED:
		record_unreached(target, now_us);
		break;
	case BL_UNREACHED:
		record_unreached(target, now_us);
		record_failure(target, 1.0, now_us);
		break;
	case BL_CANCELLED:
		/*
		 * Cancelled: the request would have taken at least this long.
		 */
		if (target->pool != NULL &&
		    (double)took_us >
			target->pool->service_time_us * BL_OUTLIER_FACTOR)
			record_failure(target, BL_CANCEL_WEIGHT, now_us);
		break;
	}
}

double
bl_slowness(const struct bl_target *target, int64_t now_us)
{
	double mean = target->pool == NULL ? 1.0 : target->pool->mean_slowness;
	double reported, own, slow;

	if (target->load_at_us == 0 || target->load.slowness_pct == 0)
		reported = mean;
	else
		reported = mean + (target->load.slowness_pct / 100.0 - mean) *
				      decay(now_us - target->load_at_us,
					  BL_LOAD_DECAY_US);
	own = 1.0 +
	      (target->slowness - 1.0) *
		  decay(now_us - target->slowness_at_us, BL_SLOWNESS_DECAY_US);
	slow = reported * (own < BL_SLOWNESS_MIN ? BL_SLOWNESS_MIN : own);
	return now_us < target->warm_up_until_us ? slow * BL_WARM_UP_FACTOR
						 : slow;
}

double
bl_estimated_requests(const struct bl_target *target, int64_t now_us)
{
	double mean = target->pool == NULL
			  ? 0.0
			  : target->pool->mean_other_per_slot * target->slots;
	double other_requests =
	    target->load_at_us == 0
		? mean
		: mean + (target->other_requests - mean) *
			     decay(now_us - target->load_at_us,
				 BL_OTHER_REQUESTS_DECAY_US);

	return other_requests + target->in_flight;
}

double
bl_failure_probability(const struct bl_target *target, int64_t now_us)
{
	double failing =
	    target->failure_rate *
	    decay(now_us - target->failure_rate_at_us, BL_FAILURE_DECAY_US);

	/*
	 * A probe without an answer is more significant than an old failure
	 * rate.
	 */
	if (target->probing &&
	    now_us - target->probe_sent_us > BL_PROBE_LATE_US &&
	    failing < BL_PROBE_LATE_FAILURE)
		return BL_PROBE_LATE_FAILURE;
	return failing;
}
