/*
 * Targets and their connections. A pool is replaced when the peer may no longer
 * respond on its connections; attempts in progress keep a reference to the old
 * pool.
 */
#include <string.h>

#include "serve_internal.h"

#define IDLE_TIMEOUT_US 10000000
#define IDLE_CONNECTIONS_MAX 64
/*
 * A connection is closed after data stays unacknowledged for this long, or
 * after this many lost keep-alive probes.
 */
#define UNACKED_TIMEOUT_MS 2000
#define KEEPALIVE_PROBES_MAX 2

static struct sv_connection_pool *
pool_new(void)
{
	struct sv_connection_pool *pool = g_new0(struct sv_connection_pool, 1);

	cs_ref_init(&pool->ref);
	return pool;
}

static void
pool_unref(struct sv_connection_pool *pool)
{
	if (pool != NULL && cs_ref_drop(&pool->ref))
		g_free(pool);
}

/*
 * Closes the idle connections and gives back the target's reference.
 * Connections in use are closed when their attempts end.
 */
static void
pool_retire(struct sv_connection_pool *pool)
{
	if (pool == NULL)
		return;
	pool->retired = true;
	while (pool->idle != NULL)
		sv_connection_close(pool->idle);
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

void
sv_target_replace_pool(struct sv_target *target)
{
	struct sv_connection_pool *old = target->pool;

	target->pool = pool_new();
	pool_retire(old);
}

static void
remove_idle(struct sv_connection *connection)
{
	struct sv_connection **at = &connection->pool->idle;

	while (*at != NULL && *at != connection)
		at = &(*at)->next;
	if (*at != connection)
		return;
	*at = connection->next;
	connection->pool->idle_count--;
}

static struct sv_connection *
open_connection(struct sv_attempt *attempt)
{
	struct sv_target *target = attempt->target;
	struct sv_connection *connection = g_new0(struct sv_connection, 1);
	struct sv_server *server = target->server;
	struct h1_client_conn_params params = {
	    .loop = server->params.loop,
	    .address = target->sockaddr,
	    .limits = {H1_HEAD_BYTES_MAX, UINT64_MAX}, /* body is streamed */
	    .relay_memory = server->params.memory,
	    /* Attempts end before the request of their call is freed. */
	    .borrows_body = true,
	    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
	    .keepalive_probes_max = KEEPALIVE_PROBES_MAX,
	    .events = &sv_connection_events,
	    .owner = connection,
	};

	if (h1_client_conn_open(&params, &connection->conn) != CS_OK) {
		g_free(connection);
		return NULL;
	}
	connection->server = server;
	server->upstream_count++;
	if (!attempt->new_connection && target->pool != NULL) {
		connection->pool = target->pool;
		cs_ref_take(&connection->pool->ref);
	}
	connection->attempt = attempt;
	return connection;
}

static struct sv_connection *
take_idle(struct sv_connection_pool *pool)
{
	int64_t now_us = cs_now_us();
	struct sv_connection *connection;

	while ((connection = pool->idle) != NULL) {
		if (now_us - connection->idle_since_us < IDLE_TIMEOUT_US) {
			remove_idle(connection);
			return connection;
		}
		sv_connection_close(connection);
	}
	return NULL;
}

struct sv_connection *
sv_connection_acquire(struct sv_attempt *attempt)
{
	struct sv_connection *connection = NULL;

	if (!attempt->new_connection && attempt->target->pool != NULL)
		connection = take_idle(attempt->target->pool);
	if (connection == NULL)
		return open_connection(attempt);
	connection->attempt = attempt;
	return connection;
}

bool
sv_connection_release(struct sv_connection *connection)
{
	struct sv_connection_pool *pool = connection->pool;

	if (pool == NULL || pool->retired ||
	    pool->idle_count == IDLE_CONNECTIONS_MAX ||
	    connection->server->upstream_count >
		connection->server->connections_max)
		return false;
	connection->attempt = NULL;
	connection->idle_since_us = cs_now_us();
	connection->next = pool->idle;
	pool->idle = connection;
	pool->idle_count++;
	return true;
}

void
sv_connection_close(struct sv_connection *connection)
{
	if (connection->pool != NULL)
		remove_idle(connection);
	if (connection->conn != NULL)
		h1_client_conn_close(connection->conn);
	connection->server->upstream_count--;
	pool_unref(connection->pool);
	g_free(connection);
}
