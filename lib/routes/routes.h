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
#include "../base/memory.h"

#define RT_NAME_BYTES_MAX 128
#define RT_BACKENDS_MAX 16
/*
 * Of one table. A route takes 2.3 KB, so these take 19 MB, and twice that while
 * a table replaces another one, of the 112 MB of the smallest VM.
 */
#define RT_ROUTES_MAX 8192
#define RT_REGIONS_MAX 64 /* of one table, see struct rt_homes */
#define RT_KEY_BYTES_MAX 4096
#define RT_PRIORITY_LOWEST 255 /* where the own one is not valid */

enum rt_kind {
	RT_IDEMPOTENT,
	RT_NON_IDEMPOTENT, /* runs at most once for each request of a caller */
};

/* The regions whose targets may serve the requests of a route or tenant. */
struct rt_homes {
	bool restricted;  /* false: all regions */
	uint64_t regions; /* bit i stands for regions[i] of the table */
};

struct rt_backend {
	char pool_name[RT_NAME_BYTES_MAX];
	uint32_t pool; /* index into the table's pools, set when sealed */
	uint32_t weight;
};

/*
 * Host and prefix may be of any length: a route that is left out would be
 * replaced by that of a shorter prefix. Those of a table's route belong to it.
 */
struct rt_route {
	const char *host; /* lower case, without a port */
	const char *prefix;
	enum rt_kind kind;
	uint32_t timeout_ms;   /* time limit for a response to the caller */
	uint32_t objective_ms; /* latency objective of a response; 0: none */
	uint32_t attempts_max; /* limit of attempts that reach a target */
	uint32_t priority;     /* 0 is the highest */
	struct rt_homes homes;
	bool auth_exempt; /* needs no key where the table has tenants */
	/* A part that restricts it is not valid: all requests are refused. */
	bool refused;
	bool duplicate; /* an earlier route has its host and prefix */
	uint32_t backend_count;
	struct rt_backend backends[RT_BACKENDS_MAX];
	uint64_t hash; /* of host and prefix */
};

struct rt_pool {
	char name[RT_NAME_BYTES_MAX];
	char health_path[RT_NAME_BYTES_MAX];
	/* Connections to one target, from all VMs together; 0: no limit. */
	uint32_t connections_max;
	/*
	 * A target is cold for so long after its start and accepts so many
	 * requests a second meanwhile, from all VMs together; 0: no limit.
	 */
	uint32_t warm_up_ms;
	double warm_up_per_s;
};

/* Callers that share keys, a rate limit and restrictions. */
struct rt_tenant {
	char name[RT_NAME_BYTES_MAX];
	bool has_priority; /* it takes precedence over that of routes */
	uint32_t priority;
	double rate_per_s; /* of all VMs together; 0: no limit */
	double burst;	   /* further requests after a lull */
	struct rt_homes homes;
	/* A part that restricts it is not valid: all requests are refused. */
	bool refused;
	uint64_t hash; /* of its name */
};

#define RT_NO_TENANT UINT32_MAX

struct rt_key {
	uint32_t tenant; /* index; RT_NO_TENANT: several, or one left out */
	uint32_t offset; /* into key_bytes of the table */
	uint32_t length;
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
	size_t prefix_bytes_max;   /* the longest prefix of a route */
	uint64_t route_text_bytes; /* of prefixes */
	/* Values of the configuration that are not valid. */
	uint32_t refused_parts;

	uint32_t region_count, region_capacity;
	char (*regions)[RT_NAME_BYTES_MAX];
	/* Requests need the key of a tenant, except on exempt routes. */
	bool has_tenants;
	uint32_t tenant_count, tenant_capacity;
	struct rt_tenant *tenants;
	uint32_t key_count, key_capacity;
	uint32_t shared_key_count; /* of several tenants, set when sealed */
	struct rt_key *keys;
	char *key_bytes;
	uint32_t key_bytes_count, key_bytes_capacity;
	uint64_t key_seed;   /* random, so that hashes cannot be predicted */
	uint32_t *key_index; /* as index, of key number + 1 */
	uint32_t key_index_size;
	struct cs_memory *memory; /* that counts the table, or NULL */
	uint64_t counted_bytes;
};

struct rt_table *rt_table_create(uint64_t version);
/* rt_table_unref(table): drops a reference; table may be NULL. */
void rt_table_unref(struct rt_table *table);
/*
 * rt_table_count(table, memory): counts a table that is complete as an object
 * of memory, until it is freed. Further calls change nothing.
 */
void rt_table_count(struct rt_table *table, struct cs_memory *memory);
/*
 * rt_table_excerpt(table, route, tenant): returns a new table that only has
 * this route and this tenant of another one, for a request that is in progress
 * when that is replaced. tenant may be NULL. Nothing can be looked up in it.
 * Returns NULL when memory is short.
 */
struct rt_table *rt_table_excerpt(const struct rt_table *table,
    const struct rt_route *route, const struct rt_tenant *tenant);
/*
 * Both copy their argument. They return CS_E_INVALID for values out of range,
 * CS_E_FULL for a route beyond RT_ROUTES_MAX and CS_E_SYSTEM when memory is
 * short. A refused route only needs a valid host and prefix.
 */
int rt_table_add_pool(struct rt_table *table, const struct rt_pool *pool);
int rt_table_add_route(struct rt_table *table, const struct rt_route *route);
/*
 * rt_table_add_region(table, name): returns the index of the region, which is
 * added if it is new, CS_E_FULL or CS_E_INVALID.
 */
int rt_table_add_region(struct rt_table *table, const char *name);
/*
 * rt_table_add_tenant(table, tenant): copies it; its index is tenant_count - 1
 * then. Errors as rt_table_add_route().
 */
int rt_table_add_tenant(struct rt_table *table, const struct rt_tenant *tenant);
/*
 * rt_table_add_key(table, tenant, key): gives the tenant of this index a key. A
 * key that several tenants have belongs to none, and nor does one that is added
 * for RT_NO_TENANT. Returns CS_E_INVALID for a key that is empty or too long.
 */
int rt_table_add_key(struct rt_table *table, uint32_t tenant, const char *key);
/* rt_table_find_pool(table, name): returns its index or CS_E_MISSING. */
int rt_table_find_pool(const struct rt_table *table, const char *name);
/*
 * rt_table_finalise(table): resolves the routes' pools and builds the index. Of
 * routes with the same host and prefix, the first one is refused and the others
 * are marked as duplicates. Returns CS_E_MISSING when a route that is not
 * refused names a pool that does not exist, CS_E_SYSTEM when memory is short.
 */
int rt_table_finalise(struct rt_table *table);
/*
 * rt_table_find(table, host, request_uri): returns the route of this host with
 * the longest prefix that matches the path of the URI, or NULL. A port in host
 * and the case of its letters are ignored.
 */
const struct rt_route *rt_table_find(
    const struct rt_table *table, const char *host, const char *request_uri);

#define RT_LABEL_BYTES_MAX 128
/*
 * rt_route_label(route, out): writes host and prefix, for logs and reports. A
 * label that does not fit ends with a hash of the whole.
 */
void rt_route_label(const struct rt_route *route, char out[RT_LABEL_BYTES_MAX]);

/*
 * rt_table_find_key(table, key): returns the tenant that has the key, or NULL.
 * How long it takes does not tell how much of a key is right.
 */
const struct rt_tenant *rt_table_find_key(
    const struct rt_table *table, const char *key);

#endif
