/*
 * Validates a JSON document and builds a configuration from it. The first error
 * ends the validation and is reported with its path.
 */
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "config_internal.h"

#define PATH_BYTES_MAX 96

struct reader {
	struct cf_config *config;
	char *error_text;
	char path[PATH_BYTES_MAX];
};

__attribute__((format(printf, 2, 3))) static int
fail(struct reader *r, const char *format, ...)
{
	va_list args;
	int used;

	used = snprintf(r->error_text, CF_ERROR_BYTES_MAX, "%s: ", r->path);
	va_start(args, format);
	vsnprintf(r->error_text + used, CF_ERROR_BYTES_MAX - (size_t)used,
	    format, args);
	va_end(args);
	return CS_E_INVALID;
}

__attribute__((format(printf, 2, 3))) static void
set_path(struct reader *r, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(r->path, sizeof(r->path), format, args);
	va_end(args);
}

/* Appends a key to the path; returns the old length, for pop_path(). */
static size_t
push_path(struct reader *r, const char *key)
{
	size_t length = strlen(r->path);

	snprintf(r->path + length, sizeof(r->path) - length, "%s%.40s",
	    length == 0 ? "" : ".", key);
	return length;
}

static void
pop_path(struct reader *r, size_t length)
{
	r->path[length] = '\0';
}

/* Rejects keys that are not in the NULL-terminated list. */
static int
check_keys(struct reader *r, json_t *object, const char *const *allowed)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return fail(r, "must be an object");
	json_object_foreach(object, key, value)
	{
		const char *const *name = allowed;

		while (*name != NULL && strcmp(*name, key) != 0)
			name++;
		if (*name == NULL) {
			push_path(r, key);
			return fail(r, "unknown key");
		}
	}
	return CS_OK;
}

static int
read_string(struct reader *r, json_t *object, const char *key, char *out,
    size_t out_bytes)
{
	json_t *value = json_object_get(object, key);
	size_t path_length = push_path(r, key);

	if (!json_is_string(value))
		return fail(r, "must be a string");
	if (json_string_length(value) == 0 ||
	    json_string_length(value) >= out_bytes)
		return fail(r, "must have 1 to %zu bytes", out_bytes - 1);
	memcpy(out, json_string_value(value), json_string_length(value) + 1);
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_integer(struct reader *r, json_t *object, const char *key, uint32_t min,
    uint32_t max, uint32_t *out)
{
	json_t *value = json_object_get(object, key);
	size_t path_length = push_path(r, key);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < min || number > max)
		return fail(
		    r, "must be a whole number from %u to %u", min, max);
	*out = (uint32_t)number;
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_boolean(struct reader *r, json_t *object, const char *key, bool *out)
{
	json_t *value = json_object_get(object, key);
	size_t path_length = push_path(r, key);

	if (value != NULL && !json_is_boolean(value))
		return fail(r, "must be true or false");
	*out = json_is_true(value);
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_target_address(struct reader *r, const struct cf_target *target)
{
	char host[CF_ADDRESS_BYTES_MAX];
	struct sockaddr_in address;
	const char *colon = strrchr(target->address, ':');
	uint32_t i;
	int port;

	port = colon == NULL ? 0 : atoi(colon + 1);
	if (port < 1 || port > UINT16_MAX)
		return fail(r, "address must be IPV4:PORT");
	memcpy(host, target->address, (size_t)(colon - target->address));
	host[colon - target->address] = '\0';
	if (uv_ip4_addr(host, port, &address) != 0)
		return fail(r, "address must be IPV4:PORT");
	for (i = 0; i < r->config->target_count; i++) {
		if (strcmp(r->config->targets[i].address, target->address) == 0)
			return fail(
			    r, "address %s is listed twice", target->address);
	}
	return CS_OK;
}

static int
read_target(struct reader *r, json_t *object)
{
	static const char *const keys[] = {
	    "address", "data_centre", "slots", "drain", NULL};
	struct cf_config *config = r->config;
	struct cf_target *target;
	int error;

	if (config->target_count == CF_TARGETS_MAX)
		return fail(r, "more than %d targets", CF_TARGETS_MAX);
	target = &config->targets[config->target_count];
	error = check_keys(r, object, keys);
	if (error == CS_OK)
		error = read_string(r, object, "address", target->address,
		    sizeof(target->address));
	if (error == CS_OK)
		error = read_string(r, object, "data_centre",
		    target->data_centre, sizeof(target->data_centre));
	if (error == CS_OK)
		error = read_integer(
		    r, object, "slots", 1, CF_SLOTS_MAX, &target->slots);
	if (error == CS_OK)
		error = read_boolean(r, object, "drain", &target->drain);
	if (error == CS_OK)
		error = read_target_address(r, target);
	if (error == CS_OK)
		config->target_count++;
	return error;
}

static int
read_shares(struct reader *r, json_t *object, struct cf_pool *pool)
{
	size_t path_length = push_path(r, "shares");
	const char *member;
	json_t *value;

	if (object != NULL && !json_is_object(object))
		return fail(r, "must be an object of member: weight");
	json_object_foreach(object, member, value)
	{
		struct cf_share *share = &pool->shares[pool->share_count];

		if (pool->share_count == CF_SHARES_MAX)
			return fail(r, "more than %d members", CF_SHARES_MAX);
		if (strlen(member) >= sizeof(share->member))
			return fail(r, "a member's name is too long");
		if (read_integer(r, object, member, 1, CF_WEIGHT_MAX,
			&share->weight) != CS_OK)
			return CS_E_INVALID;
		strcpy(share->member, member);
		pool->share_count++;
	}
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_pool_targets(struct reader *r, json_t *list, const char *pool_path)
{
	json_t *item;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0) {
		push_path(r, "targets");
		return fail(r, "must be a list of one target or more");
	}
	json_array_foreach(list, i, item)
	{
		set_path(r, "%s.targets[%zu]", pool_path, i);
		if (read_target(r, item) != CS_OK)
			return CS_E_INVALID;
	}
	set_path(r, "%s", pool_path);
	return CS_OK;
}

static int
read_pool(struct reader *r, json_t *object)
{
	static const char *const keys[] = {"name", "targets", "shares", NULL};
	struct cf_config *config = r->config;
	struct cf_pool *pool;
	char path[PATH_BYTES_MAX];
	uint32_t i;

	if (config->pool_count == CF_POOLS_MAX)
		return fail(r, "more than %d pools", CF_POOLS_MAX);
	pool = &config->pools[config->pool_count];
	if (check_keys(r, object, keys) != CS_OK ||
	    read_string(r, object, "name", pool->name, sizeof(pool->name)) !=
		CS_OK)
		return CS_E_INVALID;
	for (i = 0; i < config->pool_count; i++) {
		if (strcmp(config->pools[i].name, pool->name) == 0)
			return fail(r, "the name %s is used twice", pool->name);
	}
	strcpy(path, r->path);
	pool->target_first = config->target_count;
	if (read_pool_targets(r, json_object_get(object, "targets"), path) !=
	    CS_OK)
		return CS_E_INVALID;
	pool->target_count = config->target_count - pool->target_first;
	if (read_shares(r, json_object_get(object, "shares"), pool) != CS_OK)
		return CS_E_INVALID;
	config->pool_count++;
	return CS_OK;
}

static int
read_methods(struct reader *r, json_t *list, struct cf_route *route)
{
	size_t path_length = push_path(r, "methods");
	json_t *item;
	size_t i;

	if (list != NULL && !json_is_array(list))
		return fail(r, "must be a list of strings");
	if (json_array_size(list) > CF_METHODS_MAX)
		return fail(r, "more than %d methods", CF_METHODS_MAX);
	json_array_foreach(list, i, item)
	{
		if (!json_is_string(item) || json_string_length(item) == 0 ||
		    json_string_length(item) >= sizeof(route->methods[i]))
			return fail(r, "must be a list of strings");
		strcpy(route->methods[i], json_string_value(item));
	}
	route->method_count = (uint32_t)json_array_size(list);
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_match(struct reader *r, json_t *object, struct cf_route *route)
{
	static const char *const keys[] = {"methods", "path_prefix", NULL};
	size_t path_length = push_path(r, "match");

	if (check_keys(r, object, keys) != CS_OK ||
	    read_methods(r, json_object_get(object, "methods"), route) !=
		CS_OK ||
	    read_string(r, object, "path_prefix", route->path_prefix,
		sizeof(route->path_prefix)) != CS_OK)
		return CS_E_INVALID;
	if (route->path_prefix[0] != '/') {
		push_path(r, "path_prefix");
		return fail(r, "must begin with /");
	}
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_kind(struct reader *r, json_t *object, struct cf_route *route)
{
	char text[32];

	if (read_string(r, object, "kind", text, sizeof(text)) != CS_OK)
		return CS_E_INVALID;
	if (strcmp(text, "idempotent") == 0) {
		route->kind = CF_KIND_IDEMPOTENT;
		return CS_OK;
	}
	if (strcmp(text, "non_idempotent") == 0) {
		route->kind = CF_KIND_NON_IDEMPOTENT;
		return CS_OK;
	}
	push_path(r, "kind");
	return fail(r, "must be idempotent or non_idempotent");
}

static int
read_objective(struct reader *r, json_t *object, struct cf_objective *out)
{
	static const char *const keys[] = {"latency_ms", "share", NULL};
	size_t path_length = push_path(r, "objective");
	json_t *share;

	if (check_keys(r, object, keys) != CS_OK ||
	    read_integer(r, object, "latency_ms", 1, CF_DEADLINE_MS_MAX,
		&out->latency_ms) != CS_OK)
		return CS_E_INVALID;
	share = json_object_get(object, "share");
	out->share = json_number_value(share);
	if (!json_is_number(share) || out->share <= 0 || out->share >= 1) {
		push_path(r, "share");
		return fail(r, "must be a number between 0 and 1");
	}
	pop_path(r, path_length);
	return CS_OK;
}

static int
read_pool_reference(struct reader *r, json_t *object, struct cf_route *route)
{
	char name[CF_NAME_BYTES_MAX];

	if (read_string(r, object, "pool", name, sizeof(name)) != CS_OK)
		return CS_E_INVALID;
	for (route->pool = 0; route->pool < r->config->pool_count;
	     route->pool++) {
		if (strcmp(r->config->pools[route->pool].name, name) == 0)
			return CS_OK;
	}
	push_path(r, "pool");
	return fail(r, "no pool is named \"%s\"", name);
}

static int
read_route_fields(struct reader *r, json_t *object, struct cf_route *route)
{
	if (read_string(r, object, "name", route->name, sizeof(route->name)) !=
		CS_OK ||
	    read_match(r, json_object_get(object, "match"), route) != CS_OK ||
	    read_kind(r, object, route) != CS_OK ||
	    read_integer(r, object, "weight", 1, CF_WEIGHT_MAX,
		&route->weight) != CS_OK ||
	    read_objective(r, json_object_get(object, "objective"),
		&route->objective) != CS_OK ||
	    read_integer(r, object, "deadline_ms", 1, CF_DEADLINE_MS_MAX,
		&route->deadline_ms) != CS_OK)
		return CS_E_INVALID;
	return read_pool_reference(r, object, route);
}

static int
read_route(struct reader *r, json_t *object)
{
	static const char *const keys[] = {"name", "match", "kind", "weight",
	    "objective", "deadline_ms", "pool", NULL};
	struct cf_config *config = r->config;
	struct cf_route *route;
	uint32_t i;

	if (config->route_count == CF_ROUTES_MAX)
		return fail(r, "more than %d routes", CF_ROUTES_MAX);
	route = &config->routes[config->route_count];
	if (check_keys(r, object, keys) != CS_OK ||
	    read_route_fields(r, object, route) != CS_OK)
		return CS_E_INVALID;
	for (i = 0; i < config->route_count; i++) {
		if (strcmp(config->routes[i].name, route->name) == 0)
			return fail(
			    r, "the name %s is used twice", route->name);
	}
	config->route_count++;
	return CS_OK;
}

static int
read_table(struct reader *r, json_t *document, const char *name,
    int (*read_row)(struct reader *, json_t *))
{
	json_t *list = json_object_get(document, name);
	json_t *item;
	size_t i;

	set_path(r, "%s", name);
	if (!json_is_array(list))
		return fail(r, "must be a list");
	json_array_foreach(list, i, item)
	{
		set_path(r, "%s[%zu]", name, i);
		if (read_row(r, item) != CS_OK)
			return CS_E_INVALID;
	}
	return CS_OK;
}

void
cf_ref(struct cf_config *config)
{
	cs_ref_take(&config->ref);
}

void
cf_unref(struct cf_config *config)
{
	if (config == NULL || !cs_ref_drop(&config->ref))
		return;
	json_decref(config->document);
	free(config);
}

int
cf_from_json(json_t *document, char error_text[CF_ERROR_BYTES_MAX],
    struct cf_config **out)
{
	static const char *const keys[] = {"routes", "pools", NULL};
	struct reader r = {.error_text = error_text};

	r.config = calloc(1, sizeof(*r.config));
	if (r.config == NULL)
		return CS_E_SYSTEM;
	cs_ref_init(&r.config->ref);
	r.config->document = json_incref(document);
	if (check_keys(&r, document, keys) != CS_OK ||
	    read_table(&r, document, "pools", read_pool) != CS_OK ||
	    read_table(&r, document, "routes", read_route) != CS_OK) {
		cf_unref(r.config);
		return CS_E_INVALID;
	}
	*out = r.config;
	return CS_OK;
}
