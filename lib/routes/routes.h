/*
 * routes: a table of routes and pools with an index for lookups. A table is
 * filled, sealed, and then shared by reference; after that it never changes.
 */
#ifndef RT_ROUTES_H
#define RT_ROUTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../base/base.h"

#define RT_NAME_BYTES_MAX 128
#define RT_BACKENDS_MAX 16

enum rt_kind {
	RT_IDEMPOTENT,
	RT_NON_IDEMPOTENT, /* runs at most once for each request of a caller */
};

struct rt_backend {
	char pool_name[RT_NAME_BYTES_MAX];
	uint32_t pool; /* index into the table's pools, set when sealed */
	uint32_t weight;
};

struct rt_route {
	char host[RT_NAME_BYTES_MAX]; /* lower case, without a port */
	char prefix[RT_NAME_BYTES_MAX];
	enum rt_kind kind;
	uint32_t timeout_ms;   /* time limit for a response to the caller */
	uint32_t objective_ms; /* latency objective of a response; 0: none */
	uint32_t attempts_max; /* limit of attempts that reach a target */
	uint32_t priority;     /* 0 is the highest */
	uint32_t backend_count;
	struct rt_backend backends[RT_BACKENDS_MAX];
	uint64_t hash; /* of host and prefix */
};

struct rt_pool {
	char name[RT_NAME_BYTES_MAX];
	char health_path[RT_NAME_BYTES_MAX];
	/* Connections to one target, from all VMs together; 0: no limit. */
	uint32_t connections_max;
};

struct rt_limits {
	uint32_t head_bytes;
	uint64_t body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct rt_table {
	struct cs_ref ref;
	uint64_t version;
	struct rt_limits limits;
	uint32_t route_count, route_capacity;
	uint32_t pool_count, pool_capacity;
	struct rt_route *routes;
	struct rt_pool *pools;
	/* Open-addressing hash table of route number + 1; 0: free. */
	uint32_t *index;
	uint32_t index_size;
};

struct rt_table *rt_table_create(uint64_t version);
/* rt_table_unref(table): drops a reference; table may be NULL. */
void rt_table_unref(struct rt_table *table);
/*
 * Both copy their argument. They return CS_E_INVALID for values out of range
 * and CS_E_SYSTEM when memory is short.
 */
int rt_table_add_pool(struct rt_table *table, const struct rt_pool *pool);
int rt_table_add_route(struct rt_table *table, const struct rt_route *route);
/*
 * rt_table_finalise(table): resolves the routes' pools and builds the index.
 * Returns CS_E_MISSING when a route names a pool that does not exist,
 * CS_E_CONFLICT when two routes have the same host and prefix, CS_E_SYSTEM when
 * memory is short.
 */
int rt_table_finalise(struct rt_table *table);
/*
 * rt_table_find(table, host, request_uri): returns the route of this host with
 * the longest prefix that matches the path of the URI, or NULL. A port in host
 * and the case of its letters are ignored.
 */
const struct rt_route *rt_table_find(
    const struct rt_table *table, const char *host, const char *request_uri);

#endif
