/*
 * The retry budget: limits retries to a share of the requests of the last
 * window. Without it, the retries caused by failing targets would double the
 * load of the others. Each VM earns retries from the requests that it handles
 * and has an equal part of the slack, so the limit holds for the whole fleet
 * without any communication between VMs.
 */
#include "balance_internal.h"

/*
 * Share of the budget that may be spent. The rest covers windows that do not
 * coincide with the buckets.
 */
#define SAFETY_SHARE 0.8

static struct bl_budget_bucket *
bucket_at(struct bl_budget *budget, int64_t interval)
{
	struct bl_budget_bucket *bucket =
	    &budget->buckets[interval % BL_BUDGET_BUCKETS];

	if (bucket->interval != interval)
		*bucket = (struct bl_budget_bucket){.interval = interval};
	return bucket;
}

static int64_t
interval_of(const struct bl_budget_params *params, int64_t now_us)
{
	int64_t width_us = params->window_us / (BL_BUDGET_BUCKETS - 1);

	return now_us / (width_us > 0 ? width_us : 1);
}

void
bl_count_request(
    struct bl_pool *pool, const struct bl_budget_params *params, int64_t now_us)
{
	bucket_at(&pool->budget, interval_of(params, now_us))->requests++;
}

void
bl_view_budget(const struct bl_pool *pool,
    const struct bl_budget_params *params, int64_t now_us,
    struct bl_budget_view *out)
{
	int64_t interval = interval_of(params, now_us);
	uint32_t i,
	    node_count = params->node_count > 0 ? params->node_count : 1;

	double slack = now_us < params->slack_from_us
			   ? 0
			   : params->slack / (double)node_count;

	*out = (struct bl_budget_view){.requests = 0};
	for (i = 0; i < BL_BUDGET_BUCKETS; i++) {
		const struct bl_budget_bucket *bucket =
		    &pool->budget.buckets[i];

		if (bucket->interval <= interval - BL_BUDGET_BUCKETS)
			continue;
		out->requests += bucket->requests;
		out->retries += bucket->retries;
	}
	out->allowed = SAFETY_SHARE * (params->ratio * out->requests + slack);
}

bool
bl_take_retry(
    struct bl_pool *pool, const struct bl_budget_params *params, int64_t now_us)
{
	struct bl_budget_view view;

	bl_view_budget(pool, params, now_us, &view);
	if (view.retries + 1 > view.allowed)
		return false;
	bucket_at(&pool->budget, interval_of(params, now_us))->retries++;
	return true;
}
