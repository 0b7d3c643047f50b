/* Builds, validates and searches a table of routes. */
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "routes.h"

#define INITIAL_CAPACITY 16

struct rt_table *
rt_table_create(uint64_t version)
{
	struct rt_table *table = calloc(1, sizeof(*table));

	if (table == NULL)
		return NULL;
	cs_ref_init(&table->ref);
	table->version = version;
	return table;
}

void
rt_table_unref(struct rt_table *table)
{
	if (table == NULL || !cs_ref_drop(&table->ref))
		return;
	free(table->routes);
	free(table->pools);
	free(table->index);
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

static uint64_t
route_hash(const char *host, const char *prefix, size_t prefix_length)
{
	return cs_hash_seeded(
	    prefix, prefix_length, cs_hash(host, strlen(host)));
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
	       route->timeout_ms > 0 && route->backend_count > 0 &&
	       weight_sum > 0;
}

int
rt_table_add_route(struct rt_table *table, const struct rt_route *route)
{
	struct rt_route *added;

	if (!is_valid(route))
		return CS_E_INVALID;
	if (!reserve((void **)&table->routes, table->route_count,
		&table->route_capacity, sizeof(*route)))
		return CS_E_SYSTEM;
	added = &table->routes[table->route_count++];
	*added = *route;
	added->hash =
	    route_hash(added->host, added->prefix, strlen(added->prefix));
	return CS_OK;
}

static int
resolve_pools(struct rt_table *table, struct rt_route *route)
{
	uint32_t b, p;

	for (b = 0; b < route->backend_count; b++) {
		for (p = 0; p < table->pool_count; p++) {
			if (strcmp(table->pools[p].name,
				route->backends[b].pool_name) == 0)
				break;
		}
		if (p == table->pool_count)
			return CS_E_MISSING;
		route->backends[b].pool = p;
	}
	return CS_OK;
}

static uint32_t *
find_index_slot(const struct rt_table *table, const char *host,
    const char *prefix, size_t prefix_length)
{
	uint64_t hash = route_hash(host, prefix, prefix_length);
	uint32_t at = (uint32_t)hash & (table->index_size - 1);

	for (;; at = (at + 1) & (table->index_size - 1)) {
		const struct rt_route *route;

		if (table->index[at] == 0)
			return &table->index[at];
		route = &table->routes[table->index[at] - 1];
		if (route->hash == hash && strcmp(route->host, host) == 0 &&
		    strncmp(route->prefix, prefix, prefix_length) == 0 &&
		    route->prefix[prefix_length] == '\0')
			return &table->index[at];
	}
}

int
rt_table_finalise(struct rt_table *table)
{
	uint32_t i, *slot;
	int error;

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
		    table, route->host, route->prefix, strlen(route->prefix));
		if (*slot != 0)
			return CS_E_CONFLICT;
		*slot = i + 1;
	}
	return CS_OK;
}

static bool
normalise_host(const char *host, char out[RT_NAME_BYTES_MAX])
{
	size_t length = strcspn(host, ":"), i;

	if (length >= RT_NAME_BYTES_MAX)
		return false;
	for (i = 0; i < length; i++)
		out[i] = (char)tolower((unsigned char)host[i]);
	out[length] = '\0';
	return true;
}

const struct rt_route *
rt_table_find(
    const struct rt_table *table, const char *host, const char *request_uri)
{
	char normalised_host[RT_NAME_BYTES_MAX];
	size_t length = strcspn(request_uri, "?#");

	if (!normalise_host(host, normalised_host))
		return NULL;
	for (; length > 0; length--) {
		uint32_t *slot;

		if (request_uri[length - 1] != '/' ||
		    length >= RT_NAME_BYTES_MAX)
			continue;
		slot = find_index_slot(
		    table, normalised_host, request_uri, length);
		if (*slot != 0)
			return &table->routes[*slot - 1];
	}
	return NULL;
}
