/*
 * Pools of targets and what is known of each: its own words about its load,
 * the times that this VM saw, failures, and silence. Answers loads in which
 * targets slow down for fractions of a second without warning.
 */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "balance_internal.h"

#define FIRST_CAPACITY 16

int
bl_topology_find(const struct bl_topology *topology, const char *name)
{
	uint32_t i;

	for (i = 0; i < topology->count; i++) {
		if (strcmp(topology->places[i].name, name) == 0)
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
	pool->work_us = BL_FIRST_WORK_US;
	pool->usual_slow = 1.0;
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
		    pool->capacity == 0 ? FIRST_CAPACITY : pool->capacity * 2;
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
		target->leaving = true;
		bl_target_drop(target);
		return;
	}
}

struct bl_target *
bl_target_create(const char *id)
{
	struct bl_target *target = calloc(1, sizeof(*target));

	if (target == NULL)
		return NULL;
	cs_ref_init(&target->ref);
	cs_copy_text(target->id, sizeof(target->id), id);
	target->slowness = 1.0;
	target->slots = 1;
	return target;
}

void
bl_target_drop(struct bl_target *target)
{
	if (target != NULL && cs_ref_drop(&target->ref)) {
		assert(target->channels == NULL);
		free(target);
	}
}

void
bl_target_restarted(struct bl_target *target)
{
	target->load_us = 0;
	target->others = 0;
	target->slowness = 1.0;
	target->failing = 0.0;
	target->unreached = 0;
	target->shut_until_us = 0;
	target->leaving = false;
}

static double
fade(int64_t age_us, double time_us)
{
	return age_us <= 0 ? 1.0 : exp(-(double)age_us / time_us);
}

void
bl_heard(struct bl_target *target, const struct bl_load *load, int64_t now_us)
{
	uint32_t busy;

	target->heard_us = now_us;
	target->unreached = 0;
	target->shut_until_us = 0;
	if (load == NULL)
		return;
	busy = load->running + load->waiting;
	target->load = *load;
	target->load_us = now_us;
	target->others =
	    busy > target->in_flight ? busy - target->in_flight : 0;
	if (load->slots > 0)
		target->slots = load->slots;
	if (target->pool != NULL)
		target->pool->usual_others +=
		    BL_OTHERS_GAIN * ((double)target->others / target->slots -
					 target->pool->usual_others);
	if (target->pool != NULL)
		target->pool->usual_slow +=
		    BL_USUAL_GAIN *
		    (load->slowness_pct / 100.0 - target->pool->usual_slow);
}

void
bl_started(struct bl_target *target, int64_t now_us)
{
	(void)now_us;
	target->in_flight++;
}

static void
note_failure(struct bl_target *target, double failed, int64_t now_us)
{
	double kept = target->failing *
		      fade(now_us - target->failing_us, BL_FAILING_FADE_US);

	target->failing = kept + BL_FAILING_GAIN * (failed - kept);
	target->failing_us = now_us;
}

static void
note_unreached(struct bl_target *target, int64_t now_us)
{
	int64_t pause_us = BL_SHUT_FIRST_US;
	uint32_t i;

	target->unreached++;
	for (i = 1; i < target->unreached && pause_us < BL_SHUT_MAX_US; i++)
		pause_us *= 2;
	target->shut_until_us = now_us + pause_us;
}

static void
note_time(struct bl_target *target, int64_t took_us, int64_t now_us)
{
	struct bl_pool *pool = target->pool;
	double slow = bl_slowness(target, now_us), calm_us, ratio;

	if (pool == NULL)
		return;
	calm_us = (double)took_us / slow;
	if (calm_us > BL_STRAGGLER_X * pool->work_us)
		calm_us = BL_STRAGGLER_X * pool->work_us;
	ratio = (double)took_us / (pool->work_us * slow);
	if (ratio > BL_STRAGGLER_X)
		ratio = BL_STRAGGLER_X;
	pool->work_us += BL_WORK_GAIN * (calm_us - pool->work_us);
	target->slowness += BL_SLOWNESS_GAIN * (ratio - target->slowness);
	target->slowness_us = now_us;
}

void
bl_ended(struct bl_target *target, enum bl_outcome outcome, int64_t took_us,
    int64_t now_us)
{
	assert(target->in_flight > 0);
	target->in_flight--;
	switch (outcome) {
	case BL_SERVED:
		note_time(target, took_us, now_us);
		note_failure(target, 0.0, now_us);
		break;
	case BL_FAILED:
	case BL_LOST:
	case BL_GARBLED:
		note_failure(target, 1.0, now_us);
		break;
	case BL_SHED:
		if (now_us - target->load_us > BL_SHED_NEWS_US) {
			/* It did not tell its load: it is taken to be full. */
			target->others = target->slots + target->load.waiting;
			target->load_us = now_us;
		}
		note_failure(target, BL_SHED_WEIGHT, now_us);
		break;
	case BL_MISPLACED:
		note_unreached(target, now_us);
		break;
	case BL_UNREACHED:
		note_unreached(target, now_us);
		note_failure(target, 1.0, now_us);
		break;
	case BL_CANCELLED:
		/* Given up on: it took at least as long as this. */
		if (target->pool != NULL &&
		    (double)took_us > target->pool->work_us * BL_STRAGGLER_X)
			note_failure(target, BL_CANCEL_WEIGHT, now_us);
		break;
	}
}

double
bl_slowness(const struct bl_target *target, int64_t now_us)
{
	double usual = target->pool == NULL ? 1.0 : target->pool->usual_slow;
	double said, own, slow;

	if (target->load_us == 0 || target->load.slowness_pct == 0)
		said = usual;
	else
		said =
		    usual + (target->load.slowness_pct / 100.0 - usual) *
				fade(now_us - target->load_us, BL_LOAD_FADE_US);
	own = 1.0 + (target->slowness - 1.0) *
			fade(now_us - target->slowness_us, BL_SLOWNESS_FADE_US);
	slow = said * (own < BL_SLOWNESS_LEAST ? BL_SLOWNESS_LEAST : own);
	return now_us < target->cold_until_us ? slow * BL_COLD_X : slow;
}

double
bl_busy(const struct bl_target *target, int64_t now_us)
{
	double usual = target->pool == NULL
			   ? 0.0
			   : target->pool->usual_others * target->slots;
	double others =
	    target->load_us == 0
		? usual
		: usual + (target->others - usual) *
			      fade(now_us - target->load_us, BL_BUSY_FADE_US);

	return others + target->in_flight;
}

double
bl_failing(const struct bl_target *target, int64_t now_us)
{
	double failing = target->failing *
			 fade(now_us - target->failing_us, BL_FAILING_FADE_US);

	/* A probe that is not answered says more than old news. */
	if (target->probing && now_us - target->probed_us > BL_PROBE_LATE_US &&
	    failing < BL_PROBE_LATE_FAILING)
		return BL_PROBE_LATE_FAILING;
	return failing;
}
