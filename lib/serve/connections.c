/*
 * Targets and their connections. A pool is replaced when its connections may
 * have gone silent; attempts under way keep the old one.
 */
#include <string.h>

#include "serve_internal.h"

#define IDLE_CONNECTION_US 10000000
#define IDLE_CONNECTIONS_MAX 64
/* Unacknowledged bytes, and lost keep-alive probes, give a connection up. */
#define SILENCE_MS 2000
#define PROBES_LOST_MAX 2

static struct sv_pool *
pool_new(void)
{
	struct sv_pool *pool = g_new0(struct sv_pool, 1);

	cs_ref_init(&pool->ref);
	return pool;
}

static void
pool_unref(struct sv_pool *pool)
{
	if (pool != NULL && cs_ref_drop(&pool->ref))
		g_free(pool);
}

/* Closes its idle connections; those in use are not kept afterwards. */
static void
pool_retire(struct sv_pool *pool)
{
	if (pool == NULL)
		return;
	pool->retired = true;
	while (pool->idle != NULL)
		sv_line_drop(pool->idle);
	pool_unref(pool);
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
		target->pool = pool_new();
	return target;
}

void
sv_target_unref(struct sv_target *target)
{
	if (!cs_ref_drop(&target->ref))
		return;
	pool_retire(target->pool);
	g_free(target);
}

/* Leaves the idle connections behind: the next call opens a new one. */
void
sv_target_flush(struct sv_target *target)
{
	struct sv_pool *old = target->pool;

	target->pool = pool_new();
	pool_retire(old);
}

static void
leave_idle(struct sv_line *line)
{
	struct sv_line **at = &line->pool->idle;

	while (*at != NULL && *at != line)
		at = &(*at)->next;
	if (*at != line)
		return;
	*at = line->next;
	line->pool->idle_count--;
}

static struct sv_line *
open_line(struct sv_attempt *attempt)
{
	struct sv_target *target = attempt->target;
	struct sv_line *line = g_new0(struct sv_line, 1);
	struct h1_channel_params params = {
	    .loop = target->server->params.loop,
	    .address = target->sockaddr,
	    .limits = {H1_HEAD_BYTES_MAX, UINT64_MAX}, /* never held whole */
	    .silence_ms = SILENCE_MS,
	    .probes_lost = PROBES_LOST_MAX,
	    .events = &sv_channel_events,
	    .owner = line,
	};

	if (h1_channel_open(&params, &line->channel) != CS_OK) {
		g_free(line);
		return NULL;
	}
	if (!attempt->fresh && target->pool != NULL) {
		line->pool = target->pool;
		cs_ref_take(&line->pool->ref);
	}
	line->attempt = attempt;
	return line;
}

static struct sv_line *
take_idle(struct sv_pool *pool)
{
	int64_t now_us = cs_now_us();
	struct sv_line *line;

	while ((line = pool->idle) != NULL) {
		if (now_us - line->idle_since_us < IDLE_CONNECTION_US) {
			leave_idle(line);
			return line;
		}
		sv_line_drop(line);
	}
	return NULL;
}

struct sv_line *
sv_line_take(struct sv_attempt *attempt)
{
	struct sv_line *line = NULL;

	if (!attempt->fresh && attempt->target->pool != NULL)
		line = take_idle(attempt->target->pool);
	if (line == NULL)
		return open_line(attempt);
	line->attempt = attempt;
	return line;
}

bool
sv_line_keep(struct sv_line *line)
{
	struct sv_pool *pool = line->pool;

	if (pool == NULL || pool->retired ||
	    pool->idle_count == IDLE_CONNECTIONS_MAX)
		return false;
	line->attempt = NULL;
	line->idle_since_us = cs_now_us();
	line->next = pool->idle;
	pool->idle = line;
	pool->idle_count++;
	return true;
}

void
sv_line_drop(struct sv_line *line)
{
	if (line->pool != NULL)
		leave_idle(line);
	if (line->channel != NULL)
		h1_channel_close(line->channel);
	pool_unref(line->pool);
	g_free(line);
}
