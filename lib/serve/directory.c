/* The directory: which entry VMs a caller should use, best first. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

enum nearness {
	SAME_DATA_CENTRE,
	SAME_REGION,
	ELSEWHERE,
	NEARNESS_COUNT,
};

static enum nearness
nearness(const struct sv_server *server, const struct sv_entry *entry,
    h2o_iovec_t region)
{
	if (!h2o_memis(
		region.base, region.len, entry->region, strlen(entry->region)))
		return ELSEWHERE;
	if (strcmp(entry->data_centre, server->params.data_centre) == 0)
		return SAME_DATA_CENTRE;
	return SAME_REGION;
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
append_entries(struct sv_server *server, json_t *list, h2o_iovec_t region,
    enum nearness wanted)
{
	uint32_t i, offset;

	if (server->entry_count == 0)
		return;
	offset = cs_random_below(&server->random, server->entry_count);
	for (i = 0; i < server->entry_count; i++) {
		const struct sv_entry *entry =
		    &server->entries[(i + offset) % server->entry_count];

		if (entry->listed && nearness(server, entry, region) == wanted)
			append_entry(server, list, entry);
	}
}

void
sv_directory(struct sv_server *server, h2o_req_t *req)
{
	h2o_iovec_t region = ht_header(req, "chervilshelf-region");
	json_t *list = json_array();
	json_t *root;
	char *text;
	int tier;

	if (region.base == NULL)
		region = h2o_iovec_init(
		    server->params.region, strlen(server->params.region));
	for (tier = SAME_DATA_CENTRE; tier < NEARNESS_COUNT; tier++)
		append_entries(server, list, region, (enum nearness)tier);
	root = json_pack("{s:o, s:I}", "entries", list, "keep_ms",
	    (json_int_t)server->params.keep_ms);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	ht_reply(req, 200, SV_JSON, text, strlen(text));
	free(text);
}
