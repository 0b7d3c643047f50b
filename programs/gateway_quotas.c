/*
 * Quotas of tenants: finds the owners, of this region and of others, and
 * carries questions, answers and shares.
 */
#include <string.h>

#include "gateway.h"

/*
 * An owner in another region that is silent for longer gets datagrams by way of
 * any VM there: it hears two of them within this time.
 */
#define REMOTE_OWNER_SILENT_US 2000000
/* Seeds are asked again for VMs of other regions after between these. */
#define CONTACT_INITIAL_US 500000
#define CONTACT_MAX_US 32000000
#define REMOTE_OWNERS_MAX 4096 /* they are learned again */

/*
 * Returns the names of the regions in an order that is the same at all VMs, and
 * their number.
 */
static uint32_t
list_regions(
    const struct bl_topology *topology, const char *names[BL_DATA_CENTRES_MAX])
{
	uint32_t i, k, at, count = 0;

	for (i = 0; i < topology->count; i++) {
		const char *name = topology->data_centres[i].region;

		for (at = 0; at < count && strcmp(names[at], name) < 0; at++)
			;
		if (at < count && strcmp(names[at], name) == 0)
			continue;
		for (k = count++; k > at; k--)
			names[k] = names[k - 1];
		names[at] = name;
	}
	return count;
}

static uint64_t
hash_name(const char *name)
{
	return cs_hash(name, strlen(name));
}

struct bl_quota_params
ga_quota_params(const struct ga_app *app)
{
	const struct pl_settings *settings = &app->settings;
	const char *names[BL_DATA_CENTRES_MAX];
	struct bl_quota_params params = {
	    .window_us = settings->quota_window_ms * 1000,
	    .excess = settings->quota_excess,
	    .slack = settings->quota_slack,
	    .node_count = 1,
	    .own_hash = hash_name(settings->name),
	    .started_us = cs_boot_us(),
	    .region_count = list_regions(&app->topology, names),
	};
	uint32_t i;

	if (params.region_count > BL_QUOTA_REGIONS_MAX)
		params.region_count = BL_QUOTA_REGIONS_MAX;
	for (i = 0; i < params.region_count; i++) {
		if (strcmp(names[i], settings->region) == 0)
			params.own_region = i;
	}
	return params;
}

/* Returns the owner of the tenant in this region; NULL: this VM. */
static const struct fl_node *
find_owner(const struct ga_app *app, uint64_t tenant)
{
	return fl_membership_find_owner(
	    fl_get_membership(app->fleet), tenant, cs_now_us());
}

bool
ga_on_quota_owner(void *user, uint64_t tenant)
{
	struct ga_app *app = user;

	ga_hear_listed(app);
	/* With more regions VMs have only their allowances. */
	return app->stop_started_us == 0 &&
	       app->region_count <= BL_QUOTA_REGIONS_MAX &&
	       find_owner(app, tenant) == NULL;
}

void
ga_on_fleet_quota_grant(void *user, const struct fl_quota_grant *grant)
{
	struct ga_app *app = user;

	gw_add_quota_grant(app->gw, &(struct bl_quota_grant){
					.tenant = grant->tenant,
					.number = grant->number,
					.count = grant->count,
					.wait_us = grant->wait_us,
				    });
}

int
ga_region_index(const struct ga_app *app, const char *name)
{
	const char *names[BL_DATA_CENTRES_MAX];
	uint32_t i, count = list_regions(&app->topology, names);

	for (i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return (int)i;
	}
	return CS_E_MISSING;
}

bool
ga_knows_all_regions(const struct ga_app *app)
{
	const char *names[BL_DATA_CENTRES_MAX];
	uint32_t i, count = list_regions(&app->topology, names);

	for (i = 0; i < count; i++) {
		if (strcmp(names[i], app->settings.region) != 0 &&
		    fl_membership_find_relay(fl_get_membership(app->fleet),
			hash_name(names[i]), 0) == NULL)
			return false;
	}
	return true;
}

void
ga_contact_regions(struct ga_app *app)
{
	const struct rt_table *table = gw_table(app->gw);
	int64_t now_us = cs_now_us();

	if (app->settings.quota_window_ms == 0 || table == NULL ||
	    !table->has_tenants || now_us < app->next_contact_us)
		return;
	if (ga_knows_all_regions(app)) {
		app->contact_interval_us = 0;
		return;
	}
	app->contact_interval_us = app->contact_interval_us == 0
				       ? CONTACT_INITIAL_US
				       : 2 * app->contact_interval_us;
	if (app->contact_interval_us > CONTACT_MAX_US)
		app->contact_interval_us = CONTACT_MAX_US;
	app->next_contact_us = now_us + app->contact_interval_us;
	fl_contact_seeds(app->fleet);
}

/* The owner of a tenant in another region, as last heard. */
struct remote_owner {
	uint64_t key; /* hash of tenant and region */
	struct sockaddr_in address;
	int64_t heard_us;
};

static void
remember_remote_owner(struct ga_app *app, uint64_t tenant, uint32_t region,
    const struct sockaddr_in *address)
{
	uint64_t key = cs_hash_pair(tenant, region);
	struct remote_owner *owner;

	if (app->quota_owners == NULL)
		app->quota_owners = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
	owner = g_hash_table_lookup(app->quota_owners, &key);
	if (owner == NULL &&
	    g_hash_table_size(app->quota_owners) >= REMOTE_OWNERS_MAX)
		g_hash_table_remove_all(app->quota_owners);
	if (owner == NULL) {
		owner = g_new0(struct remote_owner, 1);
		owner->key = key;
		g_hash_table_insert(app->quota_owners, &owner->key, owner);
	}
	owner->address = *address;
	owner->heard_us = cs_now_us();
}

/* Returns its address, or NULL if it was not heard lately. */
static const struct sockaddr_in *
find_remote_owner(const struct ga_app *app, uint64_t tenant, uint32_t region)
{
	uint64_t key = cs_hash_pair(tenant, region);
	const struct remote_owner *owner =
	    app->quota_owners == NULL
		? NULL
		: g_hash_table_lookup(app->quota_owners, &key);

	return owner != NULL &&
		       cs_now_us() - owner->heard_us < REMOTE_OWNER_SILENT_US
		   ? &owner->address
		   : NULL;
}

/*
 * Returns the address of the owner of a tenant in another region, or of any VM
 * there, which passes on what it gets; NULL: none is known.
 */
static const struct sockaddr_in *
find_way(struct ga_app *app, uint64_t tenant, uint32_t region)
{
	const char *names[BL_DATA_CENTRES_MAX];
	const struct sockaddr_in *to;
	const struct fl_node *node;
	uint64_t region_hash;

	if (region >= list_regions(&app->topology, names))
		return NULL;
	region_hash = hash_name(names[region]);
	to = find_remote_owner(app, tenant, (uint32_t)region_hash);
	if (to != NULL)
		return to;
	node = fl_membership_find_relay(
	    fl_get_membership(app->fleet), region_hash, app->asks++);
	return node == NULL ? NULL : &node->fleet;
}

static struct bl_quota_ask
ask_from_fleet(const struct fl_quota_ask *ask)
{
	return (struct bl_quota_ask){
	    .tenant = ask->tenant,
	    .number = ask->number,
	    .count = ask->count,
	    .arrived = ask->arrived,
	    .unspent = ask->unspent,
	    .may_pass_on = !ask->passed_on,
	};
}

static struct fl_quota_ask
ask_to_fleet(const struct bl_quota_ask *ask)
{
	return (struct fl_quota_ask){
	    .tenant = ask->tenant,
	    .number = ask->number,
	    .count = ask->count,
	    .arrived = ask->arrived,
	    .unspent = ask->unspent,
	};
}

/*
 * Answers as the owner. Returns false if the owner in another region has got
 * the question instead, or the tenant has no quota here.
 */
static bool
answer(struct ga_app *app, const struct bl_quota_ask *question,
    const struct sockaddr_in *asker, struct bl_quota_grant *out)
{
	struct bl_quota_ask elsewhere = *question;
	struct fl_quota_ask passed_on;
	const struct sockaddr_in *to;

	if (gw_answer_quota_ask(app->gw, question, out) != CS_OK)
		return false;
	if (out->region < 0)
		return true;
	to = find_way(app, question->tenant, (uint32_t)out->region);
	if (to != NULL) {
		bl_quota_pass_on(&elsewhere);
		passed_on = ask_to_fleet(&elsewhere);
		passed_on.passed_on = true;
		passed_on.asker = *asker;
		fl_send_quota_ask(app->fleet, to, &passed_on);
	}
	return false;
}

void
ga_on_quota_ask(void *user, const struct bl_quota_ask *ask)
{
	struct ga_app *app = user;
	const struct fl_node *owner = find_owner(app, ask->tenant);
	struct fl_quota_ask to_owner = ask_to_fleet(ask);
	struct bl_quota_ask question = *ask;
	struct bl_quota_grant grant;

	question.may_pass_on = true;
	if (owner != NULL)
		fl_send_quota_ask(app->fleet, &owner->fleet, &to_owner);
	else if (answer(app, &question, &app->settings.fleet, &grant))
		gw_add_quota_grant(app->gw, &grant);
}

/*
 * The node that received the question first may see another owner than the one
 * that asks; it passes it on once.
 */
void
ga_on_fleet_quota_ask(void *user, const struct fl_quota_ask *ask)
{
	struct ga_app *app = user;
	const struct fl_node *owner = find_owner(app, ask->tenant);
	struct fl_quota_ask passed_on = *ask;
	struct bl_quota_ask question = ask_from_fleet(ask);
	struct bl_quota_grant grant;

	if (owner != NULL && !ask->passed_on) {
		passed_on.passed_on = true;
		fl_send_quota_ask(app->fleet, &owner->fleet, &passed_on);
	} else if (answer(app, &question, &ask->asker, &grant)) {
		fl_send_quota_grant(app->fleet, &ask->asker,
		    &(struct fl_quota_grant){
			.tenant = grant.tenant,
			.number = grant.number,
			.count = grant.count,
			.wait_us = grant.wait_us,
		    });
	}
}

void
ga_on_quota_share(
    void *user, uint32_t region, const struct bl_quota_share *share)
{
	struct ga_app *app = user;
	const struct sockaddr_in *to = find_way(app, share->tenant, region);

	if (to != NULL)
		fl_send_quota_share(app->fleet, to,
		    &(struct fl_quota_share){
			.tenant = share->tenant,
			.region = (uint32_t)hash_name(app->settings.region),
			.demand_milli = share->demand_milli,
			.lent = share->lent,
			.held = share->held,
			.stamp = share->stamp,
			.echo = share->echo,
			.has_echo = share->has_echo,
		    });
}

/* Any VM of the region may get it; it passes it on to the owner. */
void
ga_on_fleet_quota_share(void *user, const struct fl_quota_share *share)
{
	struct ga_app *app = user;
	const struct fl_node *owner = find_owner(app, share->tenant);
	const char *names[BL_DATA_CENTRES_MAX];
	struct fl_quota_share passed_on = *share;
	uint32_t count, region;

	if (owner != NULL) {
		passed_on.passed_on = true;
		if (!share->passed_on)
			fl_send_quota_share(
			    app->fleet, &owner->fleet, &passed_on);
		return;
	}
	count = list_regions(&app->topology, names);
	for (region = 0; region < count; region++) {
		if ((uint32_t)hash_name(names[region]) == share->region)
			break;
	}
	if (region < count)
		remember_remote_owner(
		    app, share->tenant, share->region, &share->sender);
	/* An unknown region is ignored there. */
	gw_hear_quota_share(app->gw, &(struct bl_quota_share){
					 .tenant = share->tenant,
					 .region = region,
					 .demand_milli = share->demand_milli,
					 .lent = share->lent,
					 .held = share->held,
					 .stamp = share->stamp,
					 .echo = share->echo,
					 .has_echo = share->has_echo,
				     });
}
