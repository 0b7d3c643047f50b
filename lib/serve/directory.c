/*
 * The directory: lists the entry VMs that a caller should use, best first. A
 * caller that names the path it will call first gets the few VMs that rank
 * highest for the pool of that path. The owner of the pool's slots is one of
 * them, so these calls need few messages between VMs, however large the fleet
 * is.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

/* VMs of one region that share the calls to a pool if callers name a path. */
#define PREFERRED_MAX 3

enum proximity {
	PREFERRED, /* one of the highest in rank for the pool */
	SAME_DATA_CENTRE,
	SAME_REGION,
	OTHER_REGION,
	PROXIMITY_COUNT,
};

/* The parameters of one directory request. */
struct query {
	const char *region;
	uint64_t group; /* of the path's pool in that region; 0: none */
	uint64_t preferred[PREFERRED_MAX];
};

static bool
is_in_region(const struct query *query, const struct sv_node *entry)
{
	return entry->in_directory && strcmp(query->region, entry->region) == 0;
}

static enum proximity
proximity(const struct sv_server *server, const struct query *query,
    const struct sv_node *entry)
{
	uint32_t i;

	if (!is_in_region(query, entry))
		return OTHER_REGION;
	for (i = 0; i < PREFERRED_MAX; i++) {
		if (query->group != 0 && query->preferred[i] == entry->id)
			return PREFERRED;
	}
	if (strcmp(entry->data_centre, server->params.data_centre) == 0)
		return SAME_DATA_CENTRE;
	return SAME_REGION;
}

/*
 * Returns the group of the pool that serves the path in the query, with the
 * core's number for it; 0 when there is no path or no route matches.
 */
static uint64_t
find_group(const struct sv_server *server, const struct h1_message *request,
    const char *region)
{
	size_t path_length = 0, method_length = 0;
	const char *path = h1_query_param(request, "path", &path_length);
	const char *method = h1_query_param(request, "method", &method_length);
	const char *pool;
	int route;

	if (path == NULL || server->config == NULL)
		return 0;
	if (method == NULL) {
		method = "GET";
		method_length = strlen(method);
	}
	route = cf_find_route(
	    server->config, method, method_length, path, path_length);
	if (route < 0)
		return 0;
	pool = cf_pool(
	    server->config, cf_route(server->config, (uint32_t)route)->pool)
		   ->name;
	return cs_hash_pair(
	    cs_hash(pool, strlen(pool)), cs_hash(region, strlen(region)));
}

/*
 * Finds the VMs that rank highest for the group. Ranks as the core does to
 * choose owners: the highest hash first.
 */
static void
choose_preferred(const struct sv_server *server, struct query *query)
{
	uint64_t ranks[PREFERRED_MAX] = {0};
	uint32_t i, at, j;

	for (i = 0; i < server->entry_vm_count; i++) {
		const struct sv_node *entry = &server->entry_vms[i];
		uint64_t rank = cs_hash_pair(query->group, entry->id);

		if (!is_in_region(query, entry))
			continue;
		for (at = 0; at < PREFERRED_MAX && ranks[at] > rank; at++)
			;
		if (at == PREFERRED_MAX)
			continue;
		for (j = PREFERRED_MAX - 1; j > at; j--) {
			ranks[j] = ranks[j - 1];
			query->preferred[j] = query->preferred[j - 1];
		}
		ranks[at] = rank;
		query->preferred[at] = entry->id;
	}
}

static void
append_entry(
    const struct sv_server *server, json_t *list, const struct sv_node *entry)
{
	char token[SV_TOKEN_BYTES_MAX];
	json_t *row;

	sv_format_key_token(server, entry, token, sizeof(token));
	row = json_pack("{s:s, s:s, s:s, s:s}", "address", entry->address,
	    "data_centre", entry->data_centre, "region", entry->region, "home",
	    token);
	json_array_append_new(list, row);
}

/*
 * Appends the entry VMs of one proximity. Starts at a random one, to spread
 * the callers.
 */
static void
append_entries(struct sv_server *server, json_t *list,
    const struct query *query, enum proximity wanted)
{
	uint32_t i, offset;

	if (server->entry_vm_count == 0)
		return;
	offset = cs_random_below(&server->random, server->entry_vm_count);
	for (i = 0; i < server->entry_vm_count; i++) {
		const struct sv_node *entry =
		    &server->entry_vms[(i + offset) % server->entry_vm_count];

		if (entry->in_directory &&
		    proximity(server, query, entry) == wanted)
			append_entry(server, list, entry);
	}
}

void
sv_respond_directory(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request)
{
	struct query query = {
	    .region = h1_find_header(request, "chervilshelf-region")};
	json_t *list = json_array();
	json_t *root;
	char *text;
	int tier;

	if (query.region == NULL)
		query.region = server->params.region;
	query.group = find_group(server, request, query.region);
	if (query.group != 0)
		choose_preferred(server, &query);
	for (tier = PREFERRED; tier < PROXIMITY_COUNT; tier++)
		append_entries(server, list, &query, (enum proximity)tier);
	root = json_pack("{s:o, s:I}", "entries", list, "keep_ms",
	    (json_int_t)server->params.directory_ttl_ms);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	h1_conn_send_text(conn, 200, SV_CONTENT_TYPE_JSON, text);
	free(text);
}
