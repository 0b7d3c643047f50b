/*
 * What tables hold. A request that is in progress when the table is replaced
 * keeps its own route and tenant only: a whole table for each of several
 * configurations in a row would exhaust the memory.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "routes_internal.h"

int
rt_copy_texts(struct rt_route *route)
{
	char *prefix = strdup(route->prefix);

	if (prefix == NULL)
		return CS_E_SYSTEM;
	route->prefix = prefix;
	/* Thousands of routes may have one long host: it is kept once. */
	route->host = g_ref_string_new_intern(route->host);
	return CS_OK;
}

void
rt_free_texts(struct rt_route *route)
{
	g_ref_string_release((char *)(uintptr_t)route->host);
	free((char *)(uintptr_t)route->prefix);
}

uint64_t
rt_text_bytes(const struct rt_route *route)
{
	return strlen(route->prefix) + 1;
}

static uint64_t
bytes_of(const struct rt_table *table)
{
	return sizeof(*table) + table->route_capacity * sizeof(*table->routes) +
	       table->pool_capacity * sizeof(*table->pools) +
	       table->index_size * sizeof(*table->index) +
	       table->region_capacity * sizeof(*table->regions) +
	       table->tenant_capacity * sizeof(*table->tenants) +
	       table->key_capacity * sizeof(*table->keys) +
	       table->route_text_bytes + table->key_bytes_capacity +
	       table->key_index_size * sizeof(*table->key_index);
}

void
rt_table_count(struct rt_table *table, struct cs_memory *memory)
{
	if (table->memory != NULL || memory == NULL)
		return;
	table->memory = memory;
	table->counted_bytes = bytes_of(table);
	cs_memory_add_objects(memory, table->counted_bytes);
}

struct rt_table *
rt_table_excerpt(const struct rt_table *table, const struct rt_route *route,
    const struct rt_tenant *tenant)
{
	struct rt_table *excerpt = calloc(1, sizeof(*excerpt));

	if (excerpt == NULL)
		return NULL;
	cs_ref_init(&excerpt->ref);
	excerpt->version = table->version;
	excerpt->has_tenants = table->has_tenants;
	excerpt->routes = malloc(sizeof(*route));
	if (tenant != NULL)
		excerpt->tenants = malloc(sizeof(*tenant));
	if (excerpt->routes == NULL ||
	    (tenant != NULL && excerpt->tenants == NULL)) {
		rt_table_unref(excerpt);
		return NULL;
	}
	excerpt->routes[0] = *route;
	if (rt_copy_texts(&excerpt->routes[0]) != CS_OK) {
		rt_table_unref(excerpt);
		return NULL;
	}
	excerpt->route_count = excerpt->route_capacity = 1;
	excerpt->route_text_bytes = rt_text_bytes(route);
	if (tenant != NULL) {
		excerpt->tenants[0] = *tenant;
		excerpt->tenant_count = excerpt->tenant_capacity = 1;
	}
	rt_table_count(excerpt, table->memory);
	return excerpt;
}
