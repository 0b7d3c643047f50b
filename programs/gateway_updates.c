/*
 * Applies updates of the store's objects, received from the store or from
 * another VM, and passes them on.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway.h"

/*
 * A configuration of 725 KB (1,400 routes, 10,000 keys) takes 8.6 MB more while
 * it is read.
 */
#define READING_BYTES_PER_BYTE 12

/* A shorter outage cannot have let registrations expire. */
#define OUTAGE_MIN_US 1000000

static void
report_faults(struct ga_app *app, const struct rt_table *table,
    const struct pl_table_faults *faults)
{
	uint32_t i;

	app->table_parts_refused += faults->count;
	for (i = 0; i < faults->count && i < PL_FAULTS_MAX; i++)
		cs_log(CS_LOG_TABLE_PART_REFUSED,
		    "version=%llu part=%s field=%s effect=%s",
		    (unsigned long long)table->version, faults->first[i].part,
		    faults->first[i].field, faults->first[i].effect);
}

static void
apply_config(struct ga_app *app, const struct os_change *change)
{
	const struct rt_table *old = gw_table(app->gw);
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_table_faults faults;
	struct rt_table *table;
	uint64_t reading_bytes = change->text_length * READING_BYTES_PER_BYTE;
	int error;

	if (change->deleted || strcmp(change->name, PL_CONFIG_NAME) != 0)
		return;
	cs_memory_add_objects(&app->memory, reading_bytes);
	error = pl_read_table(change->text, &table, &faults, error_text);
	cs_memory_remove_objects(&app->memory, reading_bytes);
	fl_proof_set_refused(&app->proof, error != CS_OK);
	if (error != CS_OK) {
		cs_log(CS_LOG_TABLE_REFUSED, "revision=%llu fault=\"%s\"",
		    (unsigned long long)os_revision_number(change->revision),
		    error_text);
		return;
	}
	if (old != NULL && table->version < old->version) {
		cs_log(CS_LOG_TABLE_REFUSED,
		    "revision=%llu version=%llu fault=\"older than %llu\"",
		    (unsigned long long)os_revision_number(change->revision),
		    (unsigned long long)table->version,
		    (unsigned long long)old->version);
	} else {
		gw_set_table(app->gw, table);
		report_faults(app, table, &faults);
		cs_log(CS_LOG_TABLE_IN_FORCE,
		    "version=%llu revision=%llu routes=%u pools=%u tenants=%u "
		    "refused_parts=%u from=%s",
		    (unsigned long long)table->version,
		    (unsigned long long)os_revision_number(change->revision),
		    table->route_count, table->pool_count, table->tenant_count,
		    table->refused_parts, app->update_source);
	}
	rt_table_unref(table);
}

static void
apply_target(struct ga_app *app, const struct os_change *change)
{
	char error_text[PL_TEXT_BYTES_MAX] = "data centre";
	struct pl_target target;
	int data_centre = CS_E_MISSING;

	if (change->deleted) {
		ga_note_departure(app, change->name);
		gw_remove_target(app->gw, change->name);
		return;
	}
	if (pl_read_target(change->name, change->text, &target, error_text) ==
	    CS_OK)
		data_centre =
		    bl_topology_find(&app->topology, target.data_centre);
	if (data_centre < 0) {
		cs_log(CS_LOG_TARGET_REFUSED, "target=%s fault=\"%s\"",
		    change->name, error_text);
		gw_remove_target(app->gw, change->name);
		return;
	}
	if (ga_has_left(app, &target))
		return;
	gw_update_target(
	    app->gw, &(struct gw_target_info){
			 .id = target.id,
			 .pool = target.pool,
			 .address = target.address,
			 .data_centre = (uint32_t)data_centre,
			 .slots = target.slots,
			 .process_start_ms = target.process_start_ms,
			 .warm_up_left_ms = target.warm_up_left_ms,
			 .draining = target.draining,
		     });
}

static void
apply_changes(struct ga_app *app, uint32_t kind, const struct os_batch *update)
{
	uint32_t i;

	for (i = 0; i < update->count; i++) {
		switch ((enum ga_kind)kind) {
		case GA_CONFIG:
			apply_config(app, &update->changes[i]);
			break;
		case GA_TARGETS:
			apply_target(app, &update->changes[i]);
			break;
		case GA_EVACUATIONS:
			ga_apply_evacuation(app, &update->changes[i]);
			break;
		case GA_KINDS:
			break;
		}
	}
	if (kind == GA_TARGETS)
		app->targets_loaded = true;
	if (kind == GA_EVACUATIONS)
		app->evacuations_loaded = true;
}

/*
 * Followers must know of an empty list of evacuations: without one they do not
 * serve.
 */
static bool
is_news(const struct ga_app *app, const struct fl_update *update,
    uint32_t changes, uint64_t known)
{
	return changes > 0 ||
	       (update->kind == GA_EVACUATIONS && update->snapshot &&
		   os_cache_revision(app->cache, GA_EVACUATIONS) > known);
}

void
ga_apply_update(struct ga_app *app, uint32_t kind, const struct os_batch *batch,
    bool snapshot, const char *source)
{
	struct fl_update update = {
	    .kind = kind, .snapshot = snapshot, .batch = *batch};
	uint64_t known = os_cache_revision(app->cache, kind);
	struct os_batch changed;
	int error;

	app->update_source = source;
	error = snapshot
		    ? os_cache_apply_snapshot(app->cache, kind, batch, &changed)
		    : os_cache_apply_changes(app->cache, kind, batch, &changed);

	if (error == CS_E_SYSTEM) /* else its revision would count as seen */
		os_client_lose(app->store, kind);
	if (error != CS_OK)
		return; /* older than the cached objects */
	apply_changes(app, kind, &changed);
	if (is_news(app, &update, changed.count, known))
		fl_send_update(app->fleet, &update);
	free(changed.changes);
	if (kind == GA_CONFIG)
		ga_renew_proof(app);
	ga_accept_calls(app);
	ga_publish_state(app);
	if (app->settings.quota_window_ms > 0)
		ga_discover_nodes(app); /* shares wait for the registration */
}

static bool
ignores_removals(const struct ga_app *app)
{
	return cs_now_us() < app->ignore_removals_until_us;
}

static void
apply_without_removals(
    struct ga_app *app, uint32_t kind, const struct os_batch *batch)
{
	struct os_batch remaining;
	uint32_t i;

	for (i = 0; i < batch->count; i++) {
		if (batch->changes[i].deleted)
			cs_log(CS_LOG_TARGET_MISSING, "target=%s",
			    batch->changes[i].name);
	}
	if (os_cache_without_removals(app->cache, kind, batch, &remaining) ==
	    CS_OK)
		ga_apply_update(app, kind, &remaining, false, "store");
	free(remaining.changes);
}

static void
on_relist(uv_timer_t *timer)
{
	struct ga_app *app = timer->data;

	int64_t wait_us = ga_reappear_wait_us(app);

	app->ignore_removals_until_us = 0;
	os_client_relist(app->store, GA_TARGETS);
	if (wait_us > 0)
		uv_timer_start(
		    timer, on_relist, (uint64_t)wait_us / 1000 + 1, 0);
}

static void
delay_removals(struct ga_app *app)
{
	app->ignore_removals_until_us = cs_now_us() + GA_REMOVAL_GRACE_US;
	uv_timer_start(&app->relist, on_relist, GA_REMOVAL_GRACE_US / 1000, 0);
}

static void
note_restored(struct ga_app *app, uint64_t era)
{
	uint64_t known = os_cache_revision(app->cache, GA_TARGETS);

	cs_log(CS_LOG_STORE_RESTORED, "era=%llu known_revision=%llu",
	    (unsigned long long)era,
	    (unsigned long long)os_revision_number(known));
	app->restored_us = cs_now_us();
	app->restored_era = era;
	ga_note_era(app, era);
	delay_removals(app);
}

/* This VM may have begun to follow the store only after it was restored. */
static bool
is_restored(const struct ga_app *app, uint32_t kind, uint64_t revision)
{
	uint64_t known = os_cache_revision(app->cache, kind);
	uint64_t era = os_revision_era(revision);

	return known != 0 && era > os_revision_era(known) &&
	       era > app->restored_era;
}

static void
apply_from_store(struct ga_app *app, uint32_t kind,
    const struct os_batch *batch, bool snapshot)
{
	struct ga_corrected corrected;

	if (is_restored(app, kind, batch->revision))
		note_restored(app, os_revision_era(batch->revision));
	ga_note_era(app, os_revision_era(batch->revision));
	if (ga_correct_batch(app, kind, batch, &corrected) != CS_OK) {
		ga_free_corrected(&corrected);
		return;
	}
	if (kind == GA_TARGETS && ignores_removals(app) &&
	    (!snapshot || app->targets_loaded))
		apply_without_removals(app, kind, &corrected.batch);
	else if (kind == GA_EVACUATIONS)
		ga_apply_evacuations(app, &corrected.batch, snapshot, "store");
	else
		ga_apply_update(app, kind, &corrected.batch, snapshot, "store");
	ga_free_corrected(&corrected);
}

static void
on_snapshot(void *user, uint32_t kind, const struct os_batch *batch)
{
	apply_from_store(user, kind, batch, true);
}

static void
on_changes(void *user, uint32_t kind, const struct os_batch *batch)
{
	apply_from_store(user, kind, batch, false);
}

static void
on_restored(void *user, uint64_t era)
{
	note_restored(user, era);
}

static void
on_reachability(void *user, bool reached, const char *reason)
{
	struct ga_app *app = user;
	int64_t now_us = cs_now_us();

	if (!reached) {
		app->store_lost_us = now_us;
		cs_log(CS_LOG_STORE_LOST, "reason=%s", reason);
	} else {
		cs_log(CS_LOG_STORE_REACHED, "reason=%s away_us=%lld", reason,
		    app->store_lost_us == 0
			? 0LL
			: (long long)(now_us - app->store_lost_us));
		if (app->store_lost_us != 0 &&
		    now_us - app->store_lost_us > OUTAGE_MIN_US) {
			delay_removals(app);
		}
		app->store_lost_us = 0;
	}
	ga_publish_state(app);
}

const struct os_events ga_store_events = {
    .on_snapshot = on_snapshot,
    .on_changes = on_changes,
    .on_restored = on_restored,
    .on_proven = ga_on_proven,
    .on_reachability = on_reachability,
};

static const char *
role_text(enum fl_role role)
{
	switch (role) {
	case FL_ROLE_UNDECIDED:
		return "idle";
	case FL_ROLE_WATCH_STORE:
		return "watch";
	case FL_ROLE_FOLLOW_LEADER:
		return "listen";
	}
	return "unknown";
}

static void
on_role(void *user, enum fl_role role, const struct fl_node *leader)
{
	struct ga_app *app = user;

	app->role = role;
	cs_log(CS_LOG_ROLE_CHANGED, "role=%s leader=%s", role_text(role),
	    leader == NULL ? "-" : leader->name);
	os_client_follow(app->store, role == FL_ROLE_WATCH_STORE);
	ga_tend_voters(app);
	ga_publish_state(app);
}

static void
on_update(void *user, const struct fl_update *update)
{
	struct ga_app *app = user;
	struct ga_corrected corrected;

	ga_note_era(app, os_revision_era(update->batch.revision));
	/* The leader may have started after the restore and know less. */
	if (update->kind == GA_EVACUATIONS) {
		ga_apply_evacuations(
		    app, &update->batch, update->snapshot, "vm");
	} else if (update->kind != GA_CONFIG) {
		ga_apply_update(
		    app, update->kind, &update->batch, update->snapshot, "vm");
	} else {
		if (ga_correct_batch(
			app, GA_CONFIG, &update->batch, &corrected) == CS_OK)
			ga_apply_update(app, GA_CONFIG, &corrected.batch,
			    update->snapshot, "vm");
		ga_free_corrected(&corrected);
	}
}

/* Logs that this VM gives out what the region has in common, or ceases to. */
static void
note_majority(struct ga_app *app, bool has_majority)
{
	struct fl_census census =
	    fl_membership_census(fl_get_membership(app->fleet), cs_now_us());

	if (has_majority == app->has_majority)
		return;
	app->has_majority = has_majority;
	cs_log(CS_LOG_MAJORITY_CHANGED,
	    "majority=%d alive=%u in_use=%u silent=%u unheard=%u", has_majority,
	    census.alive, census.in_use, census.silent, census.unheard);
}

/*
 * Regions share the fleet's budgets evenly, and so do the VMs of a region: the
 * node count of this region times the number of regions.
 */
void
ga_update_budget_share(struct ga_app *app)
{
	const struct fl_membership *membership = fl_get_membership(app->fleet);
	int64_t now_us = cs_now_us();
	bool has_majority = fl_membership_has_majority(membership, now_us);

	gw_set_node_count(
	    app->gw, fl_membership_count_sharing(membership, now_us) *
			 app->region_count);
	gw_set_quota_node_count(
	    app->gw, fl_membership_count_spending(membership, now_us) *
			 app->region_count);
	gw_set_majority(app->gw, has_majority);
	note_majority(app, has_majority);
	gw_set_region(app->gw,
	    fl_membership_count_alive(membership, now_us) - 1,
	    fl_membership_count_ready(membership, now_us));
}

static void
on_node(void *user, const struct fl_node *node, bool returned)
{
	struct ga_app *app = user;

	cs_log(CS_LOG_NODE_CHANGED, "member=%s what=%s boot=%llx", node->name,
	    returned ? "returned" : "joined", (unsigned long long)node->boot);
	/* Both sides may have missed reports: the leader passes them on. */
	if (!returned || node->current ||
	    fl_get_membership(app->fleet)->self.current)
		ga_tell_crashes(app, node);
	ga_tell_notices(app, node);
	ga_update_budget_share(app);
}

const struct fl_events ga_fleet_events = {
    .on_role = on_role,
    .on_update = on_update,
    .on_suspect_request = ga_on_suspect_request,
    .on_excuse = ga_on_fleet_excuse,
    .on_claim = ga_on_fleet_claim,
    .on_leaving = ga_on_fleet_leaving,
    .on_cold = ga_on_fleet_cold,
    .on_limit = ga_on_fleet_limit,
    .on_ask = ga_on_fleet_ask,
    .on_permit = ga_on_fleet_permit,
    .on_proof_query = ga_on_proof_query,
    .on_proof = ga_on_proof,
    .on_quota_ask = ga_on_fleet_quota_ask,
    .on_quota_grant = ga_on_fleet_quota_grant,
    .on_quota_share = ga_on_fleet_quota_share,
    .on_node = on_node,
};

static void
add_stored_node(struct ga_app *app, const struct os_change *change)
{
	struct fl_node node = {.ready = false};
	struct pl_node stored;

	if (pl_read_node(change->name, change->text, &stored) != CS_OK)
		return;
	cs_copy_text(node.name, sizeof(node.name), stored.name);
	cs_copy_text(
	    node.data_centre, sizeof(node.data_centre), stored.data_centre);
	node.fleet = stored.fleet;
	node.region = cs_hash(stored.region, strlen(stored.region));
	ga_note_listed(app, stored.region);
	node.same_region =
	    node.region == fl_get_membership(app->fleet)->self.region;
	fl_add_node(app->fleet, &node);
}

static void
on_nodes_listed(void *user, const struct os_batch *batch)
{
	struct ga_app *app = user;
	uint32_t i;

	for (i = 0; batch != NULL && i < batch->count; i++)
		add_stored_node(app, &batch->changes[i]);
	if (batch != NULL)
		fl_nodes_listed(app->fleet);
}

static void
register_node(struct ga_app *app)
{
	struct pl_node node = {.fleet = app->settings.fleet};
	char *text;

	cs_copy_text(node.data_centre, sizeof(node.data_centre),
	    app->settings.data_centre);
	cs_copy_text(node.region, sizeof(node.region), app->settings.region);
	text = pl_write_node(&node);
	if (text != NULL)
		os_client_announce(app->store, text, on_nodes_listed);
	free(text);
}

static uint64_t
store_era(const struct ga_app *app)
{
	uint64_t era =
	    os_revision_era(os_cache_revision(app->cache, GA_CONFIG));

	return era > app->restored_era ? era : app->restored_era;
}

void
ga_discover_nodes(struct ga_app *app)
{
	bool is_due = fl_is_discovery_due(app->fleet);

	/* A registration of before a restore may be lost. */
	if (fl_get_membership(app->fleet)->self.current &&
	    (!app->registered || app->registered_era < store_era(app)))
		is_due = true;
	if (!is_due)
		return;
	if (fl_get_membership(app->fleet)->self.current) {
		app->registered = true;
		app->registered_era = store_era(app);
	}
	register_node(app);
}
