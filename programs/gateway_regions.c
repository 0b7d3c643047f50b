/*
 * Regions of the settings without VMs, as the store's list of VMs tells; see
 * lib/balance/quota_listing.c. Only where tenants have quotas.
 */
#include "gateway.h"

static bool
is_needed(const struct ga_app *app)
{
	const struct rt_table *table = gw_table(app->gw);

	return app->settings.quota_window_ms > 0 && app->region_count > 1 &&
	       app->region_count <= BL_QUOTA_REGIONS_MAX && table != NULL &&
	       table->has_tenants;
}

/* Has the gateway and the other VMs of the region know it. */
static void
publish(struct ga_app *app)
{
	const struct bl_quota_listing *listing = &app->quota_listing;
	enum fl_listed listed = FL_LISTED;

	gw_set_quota_listing(app->gw, listing);
	if (listing->own_since_us == INT64_MAX)
		listed = FL_LISTED_UNKNOWN;
	else if (bl_quota_is_settled(listing, ga_boot_us()))
		listed = FL_LISTED_SETTLED;
	if (app->fleet != NULL)
		fl_set_listed(app->fleet, listed);
}

void
ga_start_listing(struct ga_app *app)
{
	if (app->settings.quota_window_ms == 0 || app->region_count < 2)
		return;
	app->quota_listing.own_since_us = INT64_MAX;
	gw_set_quota_listing(app->gw, &app->quota_listing);
}

static void
take_list(struct ga_app *app, const struct bl_quota_list *list)
{
	struct bl_quota_params params = ga_quota_params(app);

	bl_quota_listed(&app->quota_listing, &params, list, ga_boot_us());
	publish(app);
}

void
ga_note_listed(struct ga_app *app, const char *region)
{
	int index = ga_region_index(app, region);

	/* Of the list that follows a registration, which is not read whole. */
	if (app->quota_listing.own_since_us == INT64_MAX && index >= 0)
		take_list(app,
		    &(struct bl_quota_list){
			.regions = UINT32_C(1) << index, .may_lack = true});
}

static void
on_own_list(void *user, const struct os_batch *batch)
{
	struct ga_app *app = user;
	struct pl_node node;
	uint32_t i;

	if (batch == NULL)
		return;
	for (i = 0; i < batch->count; i++) {
		int region = pl_read_node(batch->changes[i].name,
				 batch->changes[i].text, &node) == CS_OK
				 ? ga_region_index(app, node.region)
				 : CS_E_MISSING;

		if (region >= 0)
			app->quota_list.regions |= UINT32_C(1) << region;
	}
	/*
	 * Pages are read at different times, and a store that has come back
	 * from a copy, in a later era than its first, may lack VMs.
	 */
	app->quota_list.may_lack |=
	    batch->more || os_client_era(app->store) > 1;
	if (!batch->more)
		take_list(app, &app->quota_list);
}

void
ga_hear_listed(struct ga_app *app)
{
	enum fl_listed listed;

	if (app->quota_listing.own_since_us != INT64_MAX)
		return;
	listed = fl_membership_find_listed(
	    fl_get_membership(app->fleet), cs_now_us());
	if (listed == FL_LISTED_UNKNOWN)
		return;
	bl_quota_told_listed(
	    &app->quota_listing, listed == FL_LISTED_SETTLED, ga_boot_us());
	publish(app);
}

void
ga_list_regions(struct ga_app *app)
{
	int64_t now_us = ga_boot_us();

	if (!is_needed(app))
		return;
	ga_hear_listed(app);
	publish(app);
	if (!bl_quota_is_list_due(&app->quota_listing,
		!ga_knows_all_regions(app), gw_quota_owner_since_us(app->gw),
		now_us))
		return;
	/* A list that is being read keeps the time of its own request. */
	if (os_client_list_own(app->store, on_own_list) == CS_OK)
		app->quota_list =
		    (struct bl_quota_list){.requested_us = now_us};
}
