/* Builds, validates and searches a table of routes. */
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>

#include "routes_internal.h"

#define INITIAL_CAPACITY 16

struct rt_table *
rt_table_create(uint64_t version)
{
	struct rt_table *table = calloc(1, sizeof(*table));

	if (table == NULL)
		return NULL;
	cs_ref_init(&table->ref);
	table->version = version;
	/* Without random bytes, hashes can be predicted, but are correct. */
	if (getrandom(
		&table->key_seed, sizeof(table->key_seed), GRND_NONBLOCK) < 0)
		table->key_seed = cs_hash_pair(
		    (uint64_t)cs_now_us(), (uint64_t)(uintptr_t)table);
	return table;
}

void
rt_table_unref(struct rt_table *table)
{
	uint32_t i;

	if (table == NULL || !cs_ref_drop(&table->ref))
		return;
	for (i = 0; i < table->route_count; i++)
		rt_free_texts(&table->routes[i]);
	free(table->routes);
	free(table->pools);
	free(table->index);
	free(table->tenants);
	free(table->keys);
	free(table->key_bytes);
	free(table->key_index);
	free(table->regions);
	cs_memory_remove_objects(table->memory, table->counted_bytes);
	free(table);
}

/* Reserves memory for one more item; returns false when memory is short. */
static bool
reserve(void **items, uint32_t count, uint32_t *capacity, size_t size)
{
	uint32_t new_capacity;
	void *grown;

	if (count < *capacity)
		return true;
	new_capacity = *capacity == 0 ? INITIAL_CAPACITY : *capacity * 2;
	grown = realloc(*items, new_capacity * size);
	if (grown == NULL)
		return false;
	*items = grown;
	*capacity = new_capacity;
	return true;
}

int
rt_table_add_pool(struct rt_table *table, const struct rt_pool *pool)
{
	if (pool->name[0] == '\0')
		return CS_E_INVALID;
	if (!reserve((void **)&table->pools, table->pool_count,
		&table->pool_capacity, sizeof(*pool)))
		return CS_E_SYSTEM;
	table->pools[table->pool_count++] = *pool;
	return CS_OK;
}

#define HOST_CHUNK_BYTES 64

/* The case of the letters does not count. */
static uint64_t
hash_host(const char *host, size_t length)
{
	char chunk[HOST_CHUNK_BYTES];
	uint64_t hash = 0;
	size_t done, i, count;

	for (done = 0; done < length; done += count) {
		count = length - done < sizeof(chunk) ? length - done
						      : sizeof(chunk);
		for (i = 0; i < count; i++)
			chunk[i] = (char)tolower((unsigned char)host[done + i]);
		hash = cs_hash_seeded(chunk, count, hash);
	}
	return hash;
}

/*
 * Adds one segment of a path with its final slash, so that a lookup gets the
 * hashes of all prefixes of a path in one pass.
 */
static uint64_t
hash_segment(uint64_t hash, const char *segment, size_t length)
{
	return cs_hash_seeded(segment, length, hash);
}

static uint64_t
hash_route(const struct rt_route *route)
{
	uint64_t hash = hash_host(route->host, strlen(route->host));
	const char *at = route->prefix, *slash;

	for (; (slash = strchr(at, '/')) != NULL; at = slash + 1)
		hash = hash_segment(hash, at, (size_t)(slash - at) + 1);
	return hash;
}

static bool
is_valid(const struct rt_route *route)
{
	size_t length = strlen(route->prefix);
	uint32_t i, weight_sum = 0;

	for (i = 0; i < route->backend_count; i++)
		weight_sum += route->backends[i].weight;
	return length > 0 && route->prefix[0] == '/' &&
	       route->prefix[length - 1] == '/' && route->host[0] != '\0' &&
	       (route->refused ||
		   (route->timeout_ms > 0 && route->backend_count > 0 &&
		       weight_sum > 0));
}

int
rt_table_add_route(struct rt_table *table, const struct rt_route *route)
{
	struct rt_route *added;
	size_t prefix_bytes;

	if (!is_valid(route))
		return CS_E_INVALID;
	if (table->route_count == RT_ROUTES_MAX)
		return CS_E_FULL;
	if (!reserve((void **)&table->routes, table->route_count,
		&table->route_capacity, sizeof(*route)))
		return CS_E_SYSTEM;
	added = &table->routes[table->route_count];
	*added = *route;
	if (rt_copy_texts(added) != CS_OK)
		return CS_E_SYSTEM;
	table->route_count++;
	added->hash = hash_route(added);
	prefix_bytes = strlen(added->prefix);
	if (prefix_bytes > table->prefix_bytes_max)
		table->prefix_bytes_max = prefix_bytes;
	table->route_text_bytes += rt_text_bytes(added);
	return CS_OK;
}

int
rt_table_add_region(struct rt_table *table, const char *name)
{
	uint32_t i;

	if (name[0] == '\0' || strlen(name) >= RT_NAME_BYTES_MAX)
		return CS_E_INVALID;
	for (i = 0; i < table->region_count; i++) {
		if (strcmp(table->regions[i], name) == 0)
			return (int)i;
	}
	if (table->region_count == RT_REGIONS_MAX)
		return CS_E_FULL;
	if (!reserve((void **)&table->regions, table->region_count,
		&table->region_capacity, sizeof(*table->regions)))
		return CS_E_SYSTEM;
	strcpy(table->regions[table->region_count], name);
	return (int)table->region_count++;
}

int
rt_table_add_tenant(struct rt_table *table, const struct rt_tenant *tenant)
{
	struct rt_tenant *added;

	if (tenant->name[0] == '\0')
		return CS_E_INVALID;
	if (!reserve((void **)&table->tenants, table->tenant_count,
		&table->tenant_capacity, sizeof(*tenant)))
		return CS_E_SYSTEM;
	added = &table->tenants[table->tenant_count++];
	*added = *tenant;
	added->hash = cs_hash(added->name, strlen(added->name));
	return CS_OK;
}

int
rt_table_add_key(struct rt_table *table, uint32_t tenant, const char *key)
{
	size_t length = strlen(key);
	uint32_t needed = table->key_bytes_count + (uint32_t)length;

	if (length == 0 || length > RT_KEY_BYTES_MAX ||
	    (tenant >= table->tenant_count && tenant != RT_NO_TENANT))
		return CS_E_INVALID;
	if (!reserve((void **)&table->keys, table->key_count,
		&table->key_capacity, sizeof(*table->keys)))
		return CS_E_SYSTEM;
	while (table->key_bytes_capacity < needed) {
		if (!reserve((void **)&table->key_bytes,
			table->key_bytes_capacity, &table->key_bytes_capacity,
			1))
			return CS_E_SYSTEM;
	}
	memcpy(table->key_bytes + table->key_bytes_count, key, length);
	table->keys[table->key_count++] = (struct rt_key){.tenant = tenant,
	    .offset = table->key_bytes_count,
	    .length = (uint32_t)length};
	table->key_bytes_count = needed;
	return CS_OK;
}

/* Compares in a time that depends on the lengths only. */
static bool
is_key(const struct rt_table *table, const struct rt_key *candidate,
    const char *key, size_t length)
{
	const char *bytes = table->key_bytes + candidate->offset;
	unsigned char difference = 0;
	size_t i;

	if (candidate->length != length)
		return false;
	for (i = 0; i < length; i++)
		difference |= (unsigned char)(bytes[i] ^ key[i]);
	return difference == 0;
}

static uint32_t *
find_key_slot(const struct rt_table *table, const char *key, size_t length)
{
	uint64_t hash = cs_hash_seeded(key, length, table->key_seed);
	uint32_t at = (uint32_t)hash & (table->key_index_size - 1);

	while (
	    table->key_index[at] != 0 &&
	    !is_key(table, &table->keys[table->key_index[at] - 1], key, length))
		at = (at + 1) & (table->key_index_size - 1);
	return &table->key_index[at];
}

static void
share_key(struct rt_table *table, struct rt_key *key)
{
	table->shared_key_count += key->tenant != RT_NO_TENANT;
	key->tenant = RT_NO_TENANT;
}

static int
index_keys(struct rt_table *table)
{
	uint32_t i;

	table->key_index_size = INITIAL_CAPACITY;
	while (table->key_index_size < table->key_count * 2)
		table->key_index_size *= 2;
	table->key_index =
	    calloc(table->key_index_size, sizeof(*table->key_index));
	if (table->key_index == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < table->key_count; i++) {
		struct rt_key *key = &table->keys[i];
		uint32_t *slot = find_key_slot(
		    table, table->key_bytes + key->offset, key->length);

		if (*slot == 0)
			*slot = i + 1;
		else if (table->keys[*slot - 1].tenant != key->tenant)
			share_key(table, &table->keys[*slot - 1]);
	}
	return CS_OK;
}

const struct rt_tenant *
rt_table_find_key(const struct rt_table *table, const char *key)
{
	size_t length = strlen(key);
	uint32_t *slot, tenant;

	if (table->key_count == 0 || length > RT_KEY_BYTES_MAX)
		return NULL;
	slot = find_key_slot(table, key, length);
	if (*slot == 0)
		return NULL;
	tenant = table->keys[*slot - 1].tenant;
	return tenant == RT_NO_TENANT ? NULL : &table->tenants[tenant];
}

int
rt_table_find_pool(const struct rt_table *table, const char *name)
{
	uint32_t i;

	for (i = 0; i < table->pool_count; i++) {
		if (strcmp(table->pools[i].name, name) == 0)
			return (int)i;
	}
	return CS_E_MISSING;
}

static int
resolve_pools(const struct rt_table *table, struct rt_route *route)
{
	uint32_t i;

	for (i = 0; i < route->backend_count && !route->refused; i++) {
		int pool =
		    rt_table_find_pool(table, route->backends[i].pool_name);

		if (pool < 0)
			return pool;
		route->backends[i].pool = (uint32_t)pool;
	}
	return CS_OK;
}

/* A part of a request's path that ends with a slash, below a host. */
struct place {
	const char *host, *prefix;
	size_t host_length, prefix_length;
	uint64_t hash;
};

static bool
is_route_at(const struct rt_route *route, const struct place *place)
{
	return route->hash == place->hash &&
	       strncasecmp(route->host, place->host, place->host_length) == 0 &&
	       route->host[place->host_length] == '\0' &&
	       strncmp(route->prefix, place->prefix, place->prefix_length) ==
		   0 &&
	       route->prefix[place->prefix_length] == '\0';
}

static uint32_t *
find_index_slot(const struct rt_table *table, const struct place *place)
{
	uint32_t at = (uint32_t)place->hash & (table->index_size - 1);

	while (table->index[at] != 0 &&
	       !is_route_at(&table->routes[table->index[at] - 1], place))
		at = (at + 1) & (table->index_size - 1);
	return &table->index[at];
}

/* Returns what was reserved for further routes, up to half of their memory. */
static void
trim_routes(struct rt_table *table)
{
	struct rt_route *routes;

	if (table->route_count == 0)
		return;
	routes =
	    realloc(table->routes, table->route_count * sizeof(*table->routes));
	if (routes == NULL)
		return;
	table->routes = routes;
	table->route_capacity = table->route_count;
}

int
rt_table_finalise(struct rt_table *table)
{
	uint32_t i, *slot;
	int error;

	trim_routes(table);
	table->index_size = INITIAL_CAPACITY;
	while (table->index_size < table->route_count * 2)
		table->index_size *= 2;
	table->index = calloc(table->index_size, sizeof(*table->index));
	if (table->index == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < table->route_count; i++) {
		struct rt_route *route = &table->routes[i];

		error = resolve_pools(table, route);
		if (error != CS_OK)
			return error;
		slot = find_index_slot(
		    table, &(struct place){.host = route->host,
			       .prefix = route->prefix,
			       .host_length = strlen(route->host),
			       .prefix_length = strlen(route->prefix),
			       .hash = route->hash});
		route->duplicate = *slot != 0;
		if (route->duplicate)
			table->routes[*slot - 1].refused = true;
		else
			*slot = i + 1;
	}
	return index_keys(table);
}

const struct rt_route *
rt_table_find(
    const struct rt_table *table, const char *host, const char *request_uri)
{
	struct place place = {.host = host,
	    .prefix = request_uri,
	    .host_length = strcspn(host, ":")};
	const struct rt_route *longest = NULL;
	size_t path_length = strcspn(request_uri, "?#"), at = 0;
	const char *slash;

	place.hash = hash_host(host, place.host_length);
	while (
	    (slash = memchr(request_uri + at, '/', path_length - at)) != NULL) {
		uint32_t number;

		place.prefix_length = (size_t)(slash - request_uri) + 1;
		if (place.prefix_length > table->prefix_bytes_max)
			break;
		place.hash = hash_segment(
		    place.hash, request_uri + at, place.prefix_length - at);
		at = place.prefix_length;
		number = *find_index_slot(table, &place);
		if (number != 0)
			longest = &table->routes[number - 1];
	}
	return longest;
}

void
rt_route_label(const struct rt_route *route, char out[RT_LABEL_BYTES_MAX])
{
	char hash[sizeof("~0123456789abcdef")];
	int length = snprintf(
	    out, RT_LABEL_BYTES_MAX, "%s%s", route->host, route->prefix);

	if (length < RT_LABEL_BYTES_MAX)
		return;
	snprintf(
	    hash, sizeof(hash), "~%016llx", (unsigned long long)route->hash);
	memcpy(out + RT_LABEL_BYTES_MAX - sizeof(hash), hash, sizeof(hash));
}
