/*
 * Where a request would go now, for operators. It takes the steps of a call in
 * the same order, on copies of what they change: nothing is sent, and no permit
 * or quota is spent.
 */
#include <string.h>

#include "gateway_internal.h"

static const struct rt_tenant *
find_tenant(const struct rt_table *table, const char *name)
{
	uint32_t i;

	for (i = 0; name != NULL && i < table->tenant_count; i++) {
		if (strcmp(table->tenants[i].name, name) == 0)
			return &table->tenants[i];
	}
	return NULL;
}

static int
refuse(struct gw_where *out, int status, enum gw_reason reason)
{
	out->verdict = BL_REFUSE;
	out->status = status;
	out->reason = gw_reason_text(reason);
	return CS_OK;
}

/* Returns true if the tenant of the request is over its quota, or may be. */
static bool
is_over_quota(const struct gw *gw, struct gw_where *out)
{
	struct bl_quota_decision decision;

	if (out->tenant == NULL ||
	    !gw_view_quota(gw, out->tenant->hash, &decision))
		return false;
	switch (decision.verdict) {
	case BL_QUOTA_ADMIT:
		return false;
	case BL_QUOTA_WAIT:
		out->asks_quota = true;
		return false;
	case BL_QUOTA_OVER:
		refuse(out, 429, GW_OVER_QUOTA);
		return true;
	case BL_QUOTA_UNKNOWN:
		refuse(out, 503, GW_QUOTA_UNKNOWN);
		return true;
	}
	return false;
}

static void
place(const struct gw *gw, struct gw_pool *pool, struct gw_where *out)
{
	const struct rt_route *route = out->route;
	int64_t now_us = cs_now_us();
	int64_t deadline_us = now_us + (int64_t)route->timeout_ms * 1000;
	struct bl_queue_entry entry = {
	    .kind = route->hash,
	    .tenant = out->tenant == NULL ? 0 : out->tenant->hash,
	    .priority = out->priority,
	    .received_us = now_us,
	    .objective_us = route->objective_ms == 0
				? deadline_us
				: now_us + (int64_t)route->objective_ms * 1000,
	    .deadline_us = deadline_us,
	    .excluded_data_centres = ~out->allowed_data_centres,
	};
	struct bl_request request = {
	    .now_us = now_us,
	    .objective_us = entry.objective_us,
	    .deadline_us = deadline_us,
	    .may_probe = true,
	    .may_wait =
		bl_queue_has_room(&pool->queue, &entry, pool->balance, now_us),
	    .waiting_calls = pool->queue.count,
	    .calls_ahead = pool->queue.count,
	    .excluded_data_centres = entry.excluded_data_centres,
	    .tie_breaker = cs_hash_pair(gw->next_number, 0),
	};
	struct bl_placement *placement = &out->placement;

	bl_queue_fill_request(
	    &pool->queue, &entry, pool->balance, 1.0, &request);
	bl_place(gw->params.topology, pool->balance, &request, placement);
	if (placement->verdict == BL_PROBE) {
		out->probe_count = placement->probe_count;
		memcpy(out->probes, placement->probes, sizeof(out->probes));
		request.may_probe = false;
		bl_place(
		    gw->params.topology, pool->balance, &request, placement);
	}
	out->verdict = placement->verdict;
	out->reason = placement->reason;
	if (placement->verdict == BL_REFUSE)
		out->status = 503;
	if (placement->verdict == BL_SEND && pool->queue.first != NULL &&
	    bl_queue_must_wait(&pool->queue, &entry, pool->balance, now_us)) {
		out->verdict = BL_WAIT;
		out->reason = "others_first";
	}
}

/* Returns true if the request is refused before it is placed. */
static bool
is_refused(const struct gw *gw, struct gw_where *out)
{
	const struct rt_route *route = out->route;

	if (route->refused)
		return refuse(out, 503, GW_ROUTE_REFUSED) == CS_OK;
	if (gw->table->has_tenants && !route->auth_exempt) {
		if (out->tenant == NULL)
			return refuse(out, 401, GW_KEY_MISSING) == CS_OK;
		if (!gw_keys_are_fresh(gw))
			return refuse(out, 503, GW_KEYS_STALE) == CS_OK;
		if (out->tenant->has_priority)
			out->priority = out->tenant->priority;
		if (out->tenant->refused)
			return refuse(out, 503, GW_TENANT_REFUSED) == CS_OK;
	} else {
		out->tenant = NULL;
	}
	out->allowed_data_centres =
	    gw_allowed_data_centres(gw, route, out->tenant);
	if (out->allowed_data_centres == 0)
		return refuse(out, 503, GW_NO_REGION) == CS_OK;
	if (gw->stopping && cs_now_us() + (int64_t)route->timeout_ms * 1000 +
				    GW_TIMEOUT_MARGIN_US >
				gw->end_calls_us)
		return refuse(out, 503, GW_STOPPING) == CS_OK;
	return is_over_quota(gw, out);
}

int
gw_where(const struct gw *gw, const char *host, const char *path,
    const char *tenant, struct gw_where *out)
{
	struct gw_pool *pool;
	uint32_t backend;

	*out = (struct gw_where){.allowed_data_centres = UINT64_MAX};
	if (!gw->loaded || gw->table == NULL)
		return refuse(out, 503, GW_NO_CONFIGURATION);
	out->route = rt_table_find(gw->table, host, path);
	if (out->route == NULL)
		return CS_E_MISSING;
	out->tenant = find_tenant(gw->table, tenant);
	if (tenant != NULL && out->tenant == NULL)
		return CS_E_INVALID;
	out->priority = out->route->priority;
	if (is_refused(gw, out))
		return CS_OK;
	backend = bl_pick_backend(out->route, gw->next_number);
	pool = g_hash_table_lookup(
	    gw->pools, out->route->backends[backend].pool_name);
	if (pool == NULL)
		return refuse(out, 503, GW_NO_TARGET);
	out->pool = pool->balance;
	out->waiting = pool->queue.count;
	place(gw, pool, out);
	return CS_OK;
}

const char *
gw_where_obstacle(const struct gw *gw, const struct gw_where *where,
    const struct bl_target *target, int64_t now_us, int64_t *wait_us)
{
	uint64_t bit = UINT64_C(1) << target->data_centre;

	*wait_us = 0;
	if ((where->allowed_data_centres & bit) == 0)
		return "not_allowed";
	if ((gw->params.topology->evacuated & bit) != 0)
		return "evacuated";
	if (target->draining || target->leaving)
		return "draining";
	if (target->backoff_until_us > now_us) {
		*wait_us = target->backoff_until_us - now_us;
		return "backoff";
	}
	*wait_us = bl_wait_us(target, now_us);
	if (target->paused_until_us > now_us)
		return "paused";
	if (*wait_us > 0)
		return bl_limit_is_cold(target, now_us) ? "cold" : "limited";
	return NULL;
}
