/*
 * Targets and their pools of idle connections. A pool is replaced when its
 * connections may have gone silent; attempts under way keep the old one.
 */
#include <string.h>

#include "serve_internal.h"

#define IDLE_CONNECTION_MS 10000
#define IDLE_CONNECTIONS_MAX 64
/*
 * h2o hands a connection back after the callback in which its attempt was
 * released, and a pool's own timer closes in later turns of the loop; both
 * are over after this time.
 */
#define DISPOSE_DELAY_MS 1000

static struct sv_pool *
pool_new(struct sv_target *target)
{
	struct sv_pool *pool = g_new0(struct sv_pool, 1);
	uv_loop_t *loop = target->server->params.loop;

	cs_ref_init(&pool->ref);
	pool->sockaddr = target->sockaddr;
	h2o_socketpool_init_by_address(&pool->sockets,
	    (struct sockaddr *)&pool->sockaddr, sizeof(pool->sockaddr), 0,
	    IDLE_CONNECTIONS_MAX);
	h2o_socketpool_set_timeout(&pool->sockets, loop, IDLE_CONNECTION_MS);
	uv_timer_init(loop, &pool->timer);
	pool->timer.data = pool;
	return pool;
}

static void
on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
on_free(uv_timer_t *timer)
{
	uv_close((uv_handle_t *)timer, on_timer_closed);
}

static void
on_dispose(uv_timer_t *timer)
{
	struct sv_pool *pool = timer->data;

	h2o_socketpool_dispose(&pool->sockets);
	uv_timer_start(timer, on_free, DISPOSE_DELAY_MS, 0);
}

void
sv_pool_unref(struct sv_pool *pool)
{
	if (pool == NULL || !cs_ref_drop(&pool->ref))
		return;
	uv_timer_start(&pool->timer, on_dispose, DISPOSE_DELAY_MS, 0);
}

struct sv_target *
sv_target_new(struct sv_server *server, const char *address, bool pooled)
{
	struct sv_target *target = g_new0(struct sv_target, 1);

	cs_ref_init(&target->ref);
	target->server = server;
	target->id = cs_hash(address, strlen(address));
	g_strlcpy(target->address, address, sizeof(target->address));
	cs_parse_address(address, &target->sockaddr);
	if (pooled)
		target->pool = pool_new(target);
	return target;
}

void
sv_target_unref(struct sv_target *target)
{
	if (!cs_ref_drop(&target->ref))
		return;
	sv_pool_unref(target->pool);
	g_free(target);
}

/* Leaves the idle connections behind: the next call opens a new one. */
void
sv_target_flush(struct sv_target *target)
{
	struct sv_pool *old = target->pool;

	target->pool = pool_new(target);
	sv_pool_unref(old);
}
