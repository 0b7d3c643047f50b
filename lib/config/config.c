/* Stored envelopes, accessors, route matching and comparison. */
#include "config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "config_internal.h"

static json_t *
load_json(
    const char *text, size_t length_bytes, char error_text[CF_ERROR_BYTES_MAX])
{
	json_error_t error;
	json_t *root;

	if (length_bytes > CF_DOCUMENT_BYTES_MAX) {
		snprintf(error_text, CF_ERROR_BYTES_MAX,
		    "document: longer than %d bytes", CF_DOCUMENT_BYTES_MAX);
		return NULL;
	}
	root = json_loadb(text, length_bytes, JSON_REJECT_DUPLICATES, &error);
	if (root == NULL)
		snprintf(error_text, CF_ERROR_BYTES_MAX,
		    "line %d column %d: %s", error.line, error.column,
		    error.text);
	return root;
}

int
cf_parse(const char *text, size_t length_bytes,
    char error_text[CF_ERROR_BYTES_MAX], struct cf_config **out)
{
	json_t *root = load_json(text, length_bytes, error_text);
	int error;

	if (root == NULL)
		return CS_E_INVALID;
	error = cf_from_json(root, error_text, out);
	json_decref(root);
	return error;
}

static int
read_envelope(
    json_t *root, char error_text[CF_ERROR_BYTES_MAX], struct cf_config **out)
{
	json_t *version = json_object_get(root, "version");
	json_t *writer = json_object_get(root, "writer");
	int error;

	if (!json_is_integer(version) || json_integer_value(version) < 1 ||
	    !json_is_string(writer) ||
	    json_string_length(writer) >= CF_WRITER_BYTES_MAX) {
		snprintf(error_text, CF_ERROR_BYTES_MAX,
		    "envelope: version or writer is not valid");
		return CS_E_INVALID;
	}
	error = cf_from_json(json_object_get(root, "config"), error_text, out);
	if (error != CS_OK)
		return error;
	(*out)->version = (uint64_t)json_integer_value(version);
	strcpy((*out)->writer, json_string_value(writer));
	return CS_OK;
}

int
cf_parse_stored(const char *text, size_t length_bytes,
    char error_text[CF_ERROR_BYTES_MAX], struct cf_config **out)
{
	json_t *root = load_json(text, length_bytes, error_text);
	int error;

	if (root == NULL)
		return CS_E_INVALID;
	error = read_envelope(root, error_text, out);
	json_decref(root);
	return error;
}

char *
cf_format_stored(
    const struct cf_config *config, uint64_t version, const char *writer)
{
	json_t *root;
	char *text;

	root = json_pack("{s:I, s:s, s:O}", "version", (json_int_t)version,
	    "writer", writer, "config", config->document);
	if (root == NULL)
		return NULL;
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

char *
cf_format_document(const struct cf_config *config)
{
	return json_dumps(config->document, JSON_INDENT(2));
}

static bool
set_drain(json_t *document, const char *address)
{
	json_t *pool, *target;
	size_t i, j;

	json_array_foreach(json_object_get(document, "pools"), i, pool)
	{
		json_array_foreach(json_object_get(pool, "targets"), j, target)
		{
			const char *text = json_string_value(
			    json_object_get(target, "address"));

			if (strcmp(text, address) != 0)
				continue;
			json_object_set_new(target, "drain", json_true());
			return true;
		}
	}
	return false;
}

int
cf_with_drain(
    const struct cf_config *config, const char *address, struct cf_config **out)
{
	char error_text[CF_ERROR_BYTES_MAX];
	json_t *copy = json_deep_copy(config->document);
	int error = CS_E_MISSING;

	if (copy == NULL)
		return CS_E_SYSTEM;
	if (set_drain(copy, address))
		error = cf_from_json(copy, error_text, out);
	json_decref(copy);
	return error;
}

/* A growing text; a line is left out when memory is short. */
struct text {
	char *bytes;
	size_t length;
};

static void
append_line(struct text *text, const char *sign, const char *label, json_t *row,
    const char *suffix)
{
	char *line = json_dumps(row, JSON_COMPACT | JSON_SORT_KEYS);
	size_t extra;
	char *grown;

	if (line == NULL)
		return;
	extra =
	    strlen(line) + strlen(sign) + strlen(label) + strlen(suffix) + 8;
	grown = realloc(text->bytes, text->length + extra);
	if (grown != NULL) {
		text->bytes = grown;
		text->length += (size_t)sprintf(grown + text->length,
		    "%s %s%s: %s\n", sign, label, suffix, line);
	}
	free(line);
}

static bool
contains(json_t *list, json_t *row)
{
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (json_equal(item, row))
			return true;
	}
	return false;
}

static void
append_rows_not_in(struct text *text, const char *sign, const char *label,
    json_t *from, json_t *in, const char *suffix)
{
	json_t *row;
	size_t i;

	json_array_foreach(from, i, row)
	{
		if (!contains(in, row))
			append_line(text, sign, label, row, suffix);
	}
}

static json_t *
find_pool(json_t *document, const char *name)
{
	json_t *pool;
	size_t i;

	json_array_foreach(json_object_get(document, "pools"), i, pool)
	{
		if (strcmp(json_string_value(json_object_get(pool, "name")),
			name) == 0)
			return pool;
	}
	return NULL;
}

static void
append_pools(struct text *text, const char *sign, json_t *from, json_t *in)
{
	json_t *pool;
	size_t i;

	json_array_foreach(json_object_get(from, "pools"), i, pool)
	{
		const char *name =
		    json_string_value(json_object_get(pool, "name"));
		json_t *other = find_pool(in, name);
		char suffix[CF_NAME_BYTES_MAX + 8];

		snprintf(suffix, sizeof(suffix), " of %s", name);
		append_rows_not_in(text, sign, "target",
		    json_object_get(pool, "targets"),
		    json_object_get(other, "targets"), suffix);
		if (other == NULL ||
		    !json_equal(json_object_get(pool, "shares"),
			json_object_get(other, "shares")))
			append_line(text, sign, "shares",
			    json_object_get(pool, "shares"), suffix);
	}
}

char *
cf_diff(const struct cf_config *older, const struct cf_config *newer)
{
	struct text text = {.bytes = calloc(1, 1)};
	json_t *old = older->document;
	json_t *new = newer->document;

	append_rows_not_in(&text, "-", "route", json_object_get(old, "routes"),
	    json_object_get(new, "routes"), "");
	append_rows_not_in(&text, "+", "route", json_object_get(new, "routes"),
	    json_object_get(old, "routes"), "");
	append_pools(&text, "-", old, new);
	append_pools(&text, "+", new, old);
	return text.bytes;
}

uint64_t
cf_version(const struct cf_config *config)
{
	return config->version;
}

const char *
cf_writer(const struct cf_config *config)
{
	return config->writer;
}

uint32_t
cf_route_count(const struct cf_config *config)
{
	return config->route_count;
}

const struct cf_route *
cf_route(const struct cf_config *config, uint32_t index)
{
	return &config->routes[index];
}

uint32_t
cf_pool_count(const struct cf_config *config)
{
	return config->pool_count;
}

const struct cf_pool *
cf_pool(const struct cf_config *config, uint32_t index)
{
	return &config->pools[index];
}

uint32_t
cf_target_count(const struct cf_config *config)
{
	return config->target_count;
}

const struct cf_target *
cf_target(const struct cf_config *config, uint32_t index)
{
	return &config->targets[index];
}

static bool
method_matches(
    const struct cf_route *route, const char *method, size_t method_bytes)
{
	uint32_t i;

	if (route->method_count == 0)
		return true;
	for (i = 0; i < route->method_count; i++) {
		if (strlen(route->methods[i]) == method_bytes &&
		    memcmp(route->methods[i], method, method_bytes) == 0)
			return true;
	}
	return false;
}

int
cf_find_route(const struct cf_config *config, const char *method,
    size_t method_bytes, const char *path, size_t path_bytes)
{
	uint32_t i;

	for (i = 0; i < config->route_count; i++) {
		const struct cf_route *route = &config->routes[i];
		size_t length = strlen(route->path_prefix);

		if (length <= path_bytes &&
		    memcmp(path, route->path_prefix, length) == 0 &&
		    method_matches(route, method, method_bytes))
			return (int)i;
	}
	return CS_E_MISSING;
}
