/* Pools by name. A pool is created when its name is first used. */
#include <stdlib.h>

#include "gateway_internal.h"

static struct gw_pool *
create_pool(struct gw *gw, const char *name)
{
	struct gw_pool *pool = calloc(1, sizeof(*pool));

	if (pool == NULL)
		return NULL;
	pool->gw = gw;
	pool->balance = bl_pool_create(name);
	if (pool->balance == NULL) {
		free(pool);
		return NULL;
	}
	pool->balance->owner = pool;
	bl_queue_init(&pool->queue, false);
	uv_timer_init(gw->params.loop, &pool->dispatch_timer);
	pool->dispatch_timer.data = pool;
	g_hash_table_insert(gw->pools, pool->balance->name, pool);
	return pool;
}

struct gw_pool *
gw_pool_of(struct gw *gw, const char *name)
{
	struct gw_pool *pool = g_hash_table_lookup(gw->pools, name);

	return pool != NULL ? pool : create_pool(gw, name);
}

struct gw_pool *
gw_pool_of_target(const struct bl_target *target)
{
	return target->pool == NULL ? NULL : target->pool->owner;
}
