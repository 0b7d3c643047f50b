/*
 * Passes the state of entry VMs, as the mesh reports it, and messages from
 * peers to the core.
 */
#include <string.h>

#include "serve_internal.h"

static uint64_t
self_id(const struct sv_server *server)
{
	return cs_hash(server->params.name, strlen(server->params.name));
}

static void
post_peer(struct sv_server *server, const struct sv_node *entry)
{
	sv_post_event(server,
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

/*
 * Returns whether an entry VM is in a data centre that had none so far, so that
 * the region of this data centre was not known.
 */
static bool
has_new_data_centre(
    const struct sv_server *server, const struct sv_node *nodes, uint32_t count)
{
	uint32_t i, j;

	for (i = 0; i < count; i++) {
		for (j = 0; j < server->entry_vm_count; j++) {
			if (strcmp(nodes[i].data_centre,
				server->entry_vms[j].data_centre) == 0)
				break;
		}
		if (j == server->entry_vm_count)
			return true;
	}
	return false;
}

static bool
is_unchanged(const struct sv_server *server, const struct sv_node *entry)
{
	uint32_t i;

	for (i = 0; i < server->entry_vm_count; i++) {
		const struct sv_node *known = &server->entry_vms[i];

		if (known->id == entry->id && known->epoch == entry->epoch &&
		    known->core_state == entry->core_state)
			return true;
	}
	return false;
}

/* Reports the entry VMs that the mesh no longer lists to the core as dead. */
static void
post_removed_peers(
    struct sv_server *server, const struct sv_node *nodes, uint32_t count)
{
	uint32_t i, j;

	for (i = 0; i < server->entry_vm_count; i++) {
		struct sv_node removed = server->entry_vms[i];

		for (j = 0; j < count; j++) {
			if (nodes[j].id == removed.id)
				break;
		}
		if (j < count || removed.core_state == DC_PEER_DEAD)
			continue;
		removed.core_state = DC_PEER_DEAD;
		post_peer(server, &removed);
	}
}

void
sv_set_nodes(
    struct sv_server *server, const struct sv_node *nodes, uint32_t count)
{
	bool reload;
	uint32_t i;

	if (count > SV_NODES_MAX)
		count = SV_NODES_MAX;
	reload =
	    server->config != NULL && has_new_data_centre(server, nodes, count);
	post_removed_peers(server, nodes, count);
	for (i = 0; i < count; i++) {
		if (nodes[i].id != self_id(server) &&
		    !is_unchanged(server, &nodes[i]))
			post_peer(server, &nodes[i]);
	}
	memcpy(server->entry_vms, nodes, count * sizeof(nodes[0]));
	server->entry_vm_count = count;
	if (reload)
		sv_load_config(server, server->config);
}

void
sv_link_up(struct sv_server *server, uint64_t peer)
{
	sv_post_event(server,
	    &(struct dc_event){.type = DC_EV_LINK, .link = {.peer = peer}});
}

void
sv_receive_message(
    struct sv_server *server, uint64_t peer, const struct dc_message *message)
{
	sv_post_event(
	    server, &(struct dc_event){
			.type = DC_EV_MESSAGE,
			.message = {.peer = peer, .message = *message},
		    });
}

void
sv_store_claim_done(struct sv_server *server, uint64_t call,
    enum dc_store_result result, uint64_t era)
{
	sv_post_event(server, &(struct dc_event){
				  .type = DC_EV_STORE_CLAIMED,
				  .store_claimed = {call, result, era},
			      });
}

void
sv_set_store_era(struct sv_server *server, uint64_t era)
{
	sv_post_event(server, &(struct dc_event){
				  .type = DC_EV_STORE_ERA,
				  .store_era = {.era = era},
			      });
}

void
sv_set_target_draining(
    struct sv_server *server, const char *address, bool drain)
{
	sv_post_event(
	    server, &(struct dc_event){
			.type = DC_EV_TARGET_DRAINING,
			.draining =
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
	h1_server_drain(server->caller_listener);
	sv_post_event(
	    server, &(struct dc_event){
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
