/* Pools by name, made when they are first named. */
#include <stdlib.h>

#include "gateway_internal.h"

static struct gw_pool *
create_pool(struct gw *gw, const char *name)
{
	struct gw_pool *pool = calloc(1, sizeof(*pool));

	if (pool == NULL)
		return NULL;
	pool->gw = gw;
	pool->decide = bl_pool_create(name);
	if (pool->decide == NULL) {
		free(pool);
		return NULL;
	}
	pool->decide->waiting = pool;
	uv_timer_init(gw->params.loop, &pool->timer);
	pool->timer.data = pool;
	g_hash_table_insert(gw->pools, pool->decide->name, pool);
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
	return target->pool == NULL ? NULL : target->pool->waiting;
}
