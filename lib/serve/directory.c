/*
 * The directory: which entry VMs a caller should use, best first. A caller
 * that names the path it will call gets a few VMs that rank first for that
 * path's pool: the owner of its slots is one of them, so their calls need few
 * messages between VMs, however large the fleet is.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

/* VMs of one region that share the calls to a pool when paths are given. */
#define AFFINITY_MAX 3

enum nearness {
	PREFERRED, /* ranks first for the pool */
	SAME_DATA_CENTRE,
	SAME_REGION,
	ELSEWHERE,
	NEARNESS_COUNT,
};

/* What one answer is made for. */
struct asked {
	const char *region;
	uint64_t group; /* of the path's pool in that region, 0: no path */
	uint64_t preferred[AFFINITY_MAX];
};

static bool
is_in_region(const struct asked *asked, const struct sv_entry *entry)
{
	return entry->listed && strcmp(asked->region, entry->region) == 0;
}

static enum nearness
nearness(const struct sv_server *server, const struct asked *asked,
    const struct sv_entry *entry)
{
	uint32_t i;

	if (!is_in_region(asked, entry))
		return ELSEWHERE;
	for (i = 0; i < AFFINITY_MAX; i++) {
		if (asked->group != 0 && asked->preferred[i] == entry->id)
			return PREFERRED;
	}
	if (strcmp(entry->data_centre, server->params.data_centre) == 0)
		return SAME_DATA_CENTRE;
	return SAME_REGION;
}

/* The group of the pool that serves a path, as the core numbers it. */
static uint64_t
find_group(const struct sv_server *server, const struct h1_message *request,
    const char *region)
{
	size_t path_length = 0, method_length = 0;
	const char *path = h1_query(request, "path", &path_length);
	const char *method = h1_query(request, "method", &method_length);
	const char *pool;
	int route;

	if (path == NULL || server->config == NULL)
		return 0;
	if (method == NULL) {
		method = "GET";
		method_length = strlen(method);
	}
	route =
	    cf_match(server->config, method, method_length, path, path_length);
	if (route < 0)
		return 0;
	pool = cf_pool(
	    server->config, cf_route(server->config, (uint32_t)route)->pool)
		   ->name;
	return cs_hash_pair(
	    cs_hash(pool, strlen(pool)), cs_hash(region, strlen(region)));
}

/* Ranks as the core chooses owners: the highest hash first. */
static void
choose_preferred(const struct sv_server *server, struct asked *asked)
{
	uint64_t ranks[AFFINITY_MAX] = {0};
	uint32_t i, at, j;

	for (i = 0; i < server->entry_count; i++) {
		const struct sv_entry *entry = &server->entries[i];
		uint64_t rank = cs_hash_pair(asked->group, entry->id);

		if (!is_in_region(asked, entry))
			continue;
		for (at = 0; at < AFFINITY_MAX && ranks[at] > rank; at++)
			;
		if (at == AFFINITY_MAX)
			continue;
		for (j = AFFINITY_MAX - 1; j > at; j--) {
			ranks[j] = ranks[j - 1];
			asked->preferred[j] = asked->preferred[j - 1];
		}
		ranks[at] = rank;
		asked->preferred[at] = entry->id;
	}
}

static void
append_entry(
    const struct sv_server *server, json_t *list, const struct sv_entry *entry)
{
	char token[SV_TOKEN_BYTES_MAX];
	json_t *row;

	sv_format_token(server, entry, token, sizeof(token));
	row = json_pack("{s:s, s:s, s:s, s:s}", "address", entry->address,
	    "data_centre", entry->data_centre, "region", entry->region, "home",
	    token);
	json_array_append_new(list, row);
}

/* Appends those of one nearness, from a random one on, to spread callers. */
static void
append_entries(struct sv_server *server, json_t *list,
    const struct asked *asked, enum nearness wanted)
{
	uint32_t i, offset;

	if (server->entry_count == 0)
		return;
	offset = cs_random_below(&server->random, server->entry_count);
	for (i = 0; i < server->entry_count; i++) {
		const struct sv_entry *entry =
		    &server->entries[(i + offset) % server->entry_count];

		if (entry->listed && nearness(server, asked, entry) == wanted)
			append_entry(server, list, entry);
	}
}

void
sv_directory(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request)
{
	struct asked asked = {
	    .region = h1_find(request, "chervilshelf-region")};
	json_t *list = json_array();
	json_t *root;
	char *text;
	int tier;

	if (asked.region == NULL)
		asked.region = server->params.region;
	asked.group = find_group(server, request, asked.region);
	if (asked.group != 0)
		choose_preferred(server, &asked);
	for (tier = PREFERRED; tier < NEARNESS_COUNT; tier++)
		append_entries(server, list, &asked, (enum nearness)tier);
	root = json_pack("{s:o, s:I}", "entries", list, "keep_ms",
	    (json_int_t)server->params.keep_ms);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	h1_conn_reply(conn, 200, SV_JSON, text);
	free(text);
}
