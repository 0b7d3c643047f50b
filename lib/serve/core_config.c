/*
 * Passes a configuration to the core. Targets that remain in the configuration
 * keep their connections.
 */
#include <string.h>

#include "serve_internal.h"

static uint64_t
name_id(const char *name)
{
	return cs_hash(name, strlen(name));
}

static struct sv_target *
reuse_or_create_target(
    struct sv_server *server, GHashTable *new_targets, const char *address)
{
	uint64_t id = name_id(address);
	struct sv_target *target = g_hash_table_lookup(server->targets, &id);

	if (target != NULL)
		cs_ref_take(&target->ref);
	else
		target = sv_target_new(server, address, true);
	g_hash_table_insert(new_targets, &target->id, target);
	return target;
}

static void
unref_target(gpointer target)
{
	sv_target_unref(target);
}

/*
 * Returns the region of a data centre, as its entry VMs report it. A data
 * centre without entry VMs is a region of its own.
 */
static uint64_t
region_of(const struct sv_server *server, const char *data_centre)
{
	uint32_t i;

	for (i = 0; i < server->entry_vm_count; i++) {
		if (strcmp(server->entry_vms[i].data_centre, data_centre) == 0)
			return name_id(server->entry_vms[i].region);
	}
	if (strcmp(server->params.data_centre, data_centre) == 0)
		return name_id(server->params.region);
	return name_id(data_centre);
}

static void
load_pool(struct sv_server *server, GHashTable *new_targets,
    const struct cf_config *config, const struct cf_pool *pool)
{
	uint32_t i;

	sv_post_event(server, &(struct dc_event){
				  .type = DC_EV_TABLE_POOL,
				  .table_pool = {.pool = name_id(pool->name)},
			      });
	for (i = 0; i < pool->target_count; i++) {
		const struct cf_target *t =
		    cf_target(config, pool->target_first + i);
		struct sv_target *target =
		    reuse_or_create_target(server, new_targets, t->address);

		sv_post_event(server,
		    &(struct dc_event){
			.type = DC_EV_TABLE_TARGET,
			.table_target =
			    {
				.target = target->id,
				.region = region_of(server, t->data_centre),
				.slots = t->slots,
				.drain = t->drain,
			    },
		    });
	}
	for (i = 0; i < pool->share_count; i++) {
		sv_post_event(server,
		    &(struct dc_event){
			.type = DC_EV_TABLE_SHARE,
			.table_share =
			    {
				.member = name_id(pool->shares[i].member),
				.weight = pool->shares[i].weight,
			    },
		    });
	}
}

static void
load_route(struct sv_server *server, const struct cf_config *config,
    const struct cf_route *route)
{
	sv_post_event(server,
	    &(struct dc_event){
		.type = DC_EV_TABLE_ROUTE,
		.table_route =
		    {
			.route = name_id(route->name),
			.pool = name_id(cf_pool(config, route->pool)->name),
			.weight = route->weight,
			.idempotent = route->kind == CF_KIND_IDEMPOTENT,
			.objective_us =
			    (int64_t)route->objective.latency_ms * 1000,
		    },
	    });
}

void
sv_load_config(struct sv_server *server, struct cf_config *config)
{
	GHashTable *new_targets = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, unref_target);
	GHashTable *old = server->targets;
	uint32_t i;

	sv_post_event(
	    server, &(struct dc_event){
			.type = DC_EV_TABLE_BEGIN,
			.table_begin = {.version = cf_version(config)},
		    });
	for (i = 0; i < cf_pool_count(config); i++)
		load_pool(server, new_targets, config, cf_pool(config, i));
	for (i = 0; i < cf_route_count(config); i++)
		load_route(server, config, cf_route(config, i));
	server->targets = new_targets;
	sv_post_event(server, &(struct dc_event){.type = DC_EV_TABLE_END});
	g_hash_table_destroy(old);
}
