/* Other entry VMs: what the mesh says of them, handed to the core. */
#include <string.h>

#include "serve_internal.h"

static uint64_t
self_id(const struct sv_server *server)
{
	return cs_hash(server->params.name, strlen(server->params.name));
}

static void
feed_peer(struct sv_server *server, const struct sv_entry *entry)
{
	sv_feed(server,
	    &(struct dc_event){
		.type = DC_EV_PEER,
		.peer =
		    {
			.peer = entry->id,
			.epoch = entry->epoch,
			.region = cs_hash(entry->region, strlen(entry->region)),
			.state = entry->core_state,
		    },
	    });
}

/* Whether a data centre appeared whose region was not known. */
static bool
regions_changed(const struct sv_server *server, const struct sv_entry *entries,
    uint32_t count)
{
	uint32_t i, j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < server->entry_count; j++) {
			if (strcmp(entries[i].data_centre,
				server->entries[j].data_centre) == 0)
				break;
		}
		if (j == server->entry_count)
			return true;
	}
	return false;
}

static bool
is_known(const struct sv_server *server, const struct sv_entry *entry)
{
	uint32_t i;

	for (i = 0; i < server->entry_count; i++) {
		const struct sv_entry *known = &server->entries[i];

		if (known->id == entry->id && known->epoch == entry->epoch &&
		    known->core_state == entry->core_state)
			return true;
	}
	return false;
}

/* Members that the mesh has forgotten are dead to the core. */
static void
feed_vanished(
    struct sv_server *server, const struct sv_entry *entries, uint32_t count)
{
	uint32_t i, j;

	for (i = 0; i < server->entry_count; i++) {
		struct sv_entry gone = server->entries[i];

		for (j = 0; j < count; j++) {
			if (entries[j].id == gone.id)
				break;
		}
		if (j < count || gone.core_state == DC_PEER_DEAD)
			continue;
		gone.core_state = DC_PEER_DEAD;
		feed_peer(server, &gone);
	}
}

void
sv_set_entries(
    struct sv_server *server, const struct sv_entry *entries, uint32_t count)
{
	bool reload;
	uint32_t i;

	if (count > SV_ENTRIES_MAX)
		count = SV_ENTRIES_MAX;
	reload =
	    server->config != NULL && regions_changed(server, entries, count);
	feed_vanished(server, entries, count);
	for (i = 0; i < count; i++) {
		if (entries[i].id != self_id(server) &&
		    !is_known(server, &entries[i]))
			feed_peer(server, &entries[i]);
	}
	memcpy(server->entries, entries, count * sizeof(entries[0]));
	server->entry_count = count;
	if (reload)
		sv_load_table(server, server->config);
}

void
sv_link_up(struct sv_server *server, uint64_t peer)
{
	sv_feed(server,
	    &(struct dc_event){.type = DC_EV_LINK, .link = {.peer = peer}});
}

void
sv_message(
    struct sv_server *server, uint64_t peer, const struct dc_message *message)
{
	sv_feed(server, &(struct dc_event){
			    .type = DC_EV_MESSAGE,
			    .message = {.peer = peer, .message = *message},
			});
}

void
sv_store_claimed(
    struct sv_server *server, uint64_t call, enum dc_store_result result)
{
	sv_feed(server, &(struct dc_event){
			    .type = DC_EV_STORE_CLAIMED,
			    .store_claimed = {.call = call, .result = result},
			});
}

void
sv_target_drains(struct sv_server *server, const char *address, bool drain)
{
	sv_feed(server, &(struct dc_event){
			    .type = DC_EV_TARGET_DRAINS,
			    .drains =
				{
				    .target = cs_hash(address, strlen(address)),
				    .drain = drain,
				},
			});
}

void
sv_drain(struct sv_server *server)
{
	server->draining = true;
	h1_server_drain(server->callers);
	sv_feed(server, &(struct dc_event){
			    .type = DC_EV_PEER,
			    .peer =
				{
				    .peer = self_id(server),
				    .epoch = server->params.epoch,
				    .region = cs_hash(server->params.region,
					strlen(server->params.region)),
				    .state = DC_PEER_LEAVING,
				},
			});
}
