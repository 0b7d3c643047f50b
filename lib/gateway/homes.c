/*
 * The regions whose targets may serve a call, as its route and its tenant allow
 * them. A restriction that names only regions unknown here allows nothing.
 */
#include <string.h>

#include "gateway_internal.h"

/* Only another configuration changes what is allowed. */
#define RETRY_AFTER_NO_REGION_US 2000000

void
gw_match_regions(struct gw *gw)
{
	const struct bl_topology *topology = gw->params.topology;
	uint32_t i, k;

	for (i = 0; i < gw->table->region_count; i++) {
		gw->region_data_centres[i] = 0;
		for (k = 0; k < topology->count; k++) {
			if (strcmp(topology->data_centres[k].region,
				gw->table->regions[i]) == 0)
				gw->region_data_centres[i] |= UINT64_C(1) << k;
		}
	}
}

/* Returns the set of data centres that the restriction allows. */
static uint64_t
allowed_data_centres(const struct gw *gw, const struct rt_homes *homes)
{
	uint64_t allowed = 0;
	uint32_t i;

	if (!homes->restricted)
		return UINT64_MAX;
	for (i = 0; i < gw->table->region_count; i++) {
		if ((homes->regions >> i & 1) != 0)
			allowed |= gw->region_data_centres[i];
	}
	return allowed;
}

uint64_t
gw_allowed_data_centres(const struct gw *gw, const struct rt_route *route,
    const struct rt_tenant *tenant)
{
	uint64_t allowed = allowed_data_centres(gw, &route->homes);

	if (tenant != NULL)
		allowed &= allowed_data_centres(gw, &tenant->homes);
	return allowed;
}

bool
gw_restrict_to_homes(struct gw_call *call)
{
	uint64_t allowed =
	    gw_allowed_data_centres(call->gw, call->route, call->tenant);

	call->excluded_data_centres = ~allowed;
	if (allowed != 0)
		return false;
	gw_respond_error(call, 503, GW_NO_REGION, RETRY_AFTER_NO_REGION_US);
	return true;
}
