/*
 * The entry VMs known to the core, the choice of the owner of each group, and
 * messages between cores.
 */
#include "decide_internal.h"

uint32_t
dc_peer_find(const struct dc_core *core, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < core->peer_count; i++) {
		if (core->peers[i].id == id)
			return i;
	}
	return DC_NONE;
}

static uint32_t
add_peer(struct dc_core *core, uint64_t id)
{
	uint32_t i;

	if (core->peer_count < DC_PEERS_MAX) {
		core->peers[core->peer_count] = (struct dc_peer){.id = id};
		return core->peer_count++;
	}
	for (i = 1; i < DC_PEERS_MAX; i++) {
		if (core->peers[i].state == DC_PEER_DEAD) {
			core->peers[i] = (struct dc_peer){.id = id};
			return i;
		}
	}
	return DC_NONE;
}

int
dc_peer_changed(struct dc_core *core, const struct dc_peer_changed *event)
{
	uint32_t index = dc_peer_find(core, event->peer);
	struct dc_peer *peer;
	bool same_process;

	if (event->state > DC_PEER_LEAVING ||
	    (index == DC_SELF && event->state != DC_PEER_LEAVING))
		return CS_E_INVALID;
	if (index == DC_NONE)
		index = add_peer(core, event->peer);
	if (index == DC_NONE)
		return CS_E_FULL;
	peer = &core->peers[index];
	dc_bare_on_peer(core, index, event);
	same_process =
	    peer->state != DC_PEER_DEAD && peer->epoch == event->epoch;
	peer->epoch = event->epoch;
	peer->region = event->region;
	peer->state = (enum dc_peer_state)event->state;
	if (!same_process || peer->state == DC_PEER_DEAD)
		dc_owner_drop_peer(core, index);
	dc_groups_choose_owners(core);
	dc_key_choose_witness(core);
	return CS_OK;
}

/*
 * Chooses a live VM, in the group's region if in_region is set, by rendezvous
 * hashing: the highest hash wins, so that all VMs with the same view find the
 * same owner without communication.
 */
static uint32_t
rendezvous_owner(
    const struct dc_core *core, const struct dc_group *group, bool in_region)
{
	uint64_t best_rank = 0, rank;
	uint32_t i, best = DC_NONE;

	for (i = 0; i < core->peer_count; i++) {
		const struct dc_peer *peer = &core->peers[i];

		if (peer->state != DC_PEER_ALIVE ||
		    (in_region && peer->region != group->region))
			continue;
		rank = cs_hash_pair(group->id, peer->id);
		if (best == DC_NONE || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

static void
set_owner(struct dc_core *core, struct dc_group *group, uint32_t owner)
{
	if (group->owner == owner)
		return;
	if (group->owner == DC_SELF)
		dc_owner_end(core, group);
	group->owner = owner;
	group->scarce = false;
	if (owner == DC_SELF)
		dc_owner_begin(core, group);
	dc_lease_report_held(core, group);
	dc_pool_mark_ready(&core->pools[group->pool]);
}

void
dc_groups_choose_owners(struct dc_core *core)
{
	uint32_t i, owner;

	for (i = 0; i < DC_GROUPS_MAX; i++) {
		struct dc_group *group = &core->groups[i];

		if (!group->used)
			continue;
		owner = rendezvous_owner(core, group, true);
		if (owner == DC_NONE)
			owner = rendezvous_owner(core, group, false);
		set_owner(core, group, owner);
	}
}

void
dc_peer_link_up(struct dc_core *core, uint64_t id)
{
	uint32_t i, peer = dc_peer_find(core, id);

	if (peer == DC_NONE || peer == DC_SELF)
		return;
	for (i = 0; i < DC_GROUPS_MAX; i++) {
		struct dc_group *group = &core->groups[i];

		if (!group->used || group->owner != peer)
			continue;
		dc_lease_report_held(core, group);
		dc_pool_mark_ready(&core->pools[group->pool]);
	}
	if (peer == core->witness)
		dc_key_request_window(core);
}

void
dc_peer_send(
    struct dc_core *core, uint32_t peer, const struct dc_message *message)
{
	if (peer == DC_NONE || core->actions->count == DC_ACTIONS_MAX)
		return;
	if (message->type < DC_MSG_KEY_WINDOW_REQUEST)
		core->counters.lease_messages++;
	dc_action_add(core, DC_ACT_MESSAGE)->message = (struct dc_envelope){
	    .peer = core->peers[peer].id,
	    .message = *message,
	};
}

/* Lease messages that name a group. */
static void
on_group_message(
    struct dc_core *core, uint32_t peer, const struct dc_message *message)
{
	struct dc_group *group = dc_group_find(core, message->demand.group);
	uint64_t count = message->demand.count;

	if (group == NULL)
		return;
	switch (message->type) {
	case DC_MSG_LEASE_DEMAND:
		if (group->owner == DC_SELF)
			dc_owner_on_demand(core, group, peer, (uint32_t)count);
		return;
	case DC_MSG_LEASE_SYNC:
		if (group->owner == DC_SELF)
			dc_owner_on_sync(core, group, peer, count);
		return;
	case DC_MSG_LEASE_SCARCE:
		if (group->owner == peer)
			dc_lease_on_scarce(core, group, count != 0);
		return;
	case DC_MSG_LEASE_SYNC_REQUEST:
		if (group->owner == peer)
			dc_lease_report_held(core, group);
		return;
	default:
		return;
	}
}

/* Lease messages that name a target. */
static void
on_target_message(
    struct dc_core *core, uint32_t peer, const struct dc_message *message)
{
	uint32_t index = dc_target_find(core, message->grant.target);
	struct dc_target *target;

	if (index == DC_NONE)
		return;
	target = &core->targets[index];
	switch (message->type) {
	case DC_MSG_LEASE_GRANT:
		dc_lease_on_grant(core, peer, &message->grant);
		return;
	case DC_MSG_LEASE_RETURN:
		dc_owner_on_return(core, target, peer, &message->returned);
		return;
	case DC_MSG_LEASE_HELD:
		dc_owner_on_held(core, target, peer, &message->held);
		return;
	case DC_MSG_LEASE_RECALL:
		dc_lease_on_recall(
		    core, target, (uint32_t)message->recall.count);
		return;
	default:
		return;
	}
}

static void
on_lease_message(
    struct dc_core *core, uint32_t peer, const struct dc_message *message)
{
	switch (message->type) {
	case DC_MSG_LEASE_DEMAND:
	case DC_MSG_LEASE_SYNC:
	case DC_MSG_LEASE_SCARCE:
	case DC_MSG_LEASE_SYNC_REQUEST:
		on_group_message(core, peer, message);
		return;
	default:
		on_target_message(core, peer, message);
		return;
	}
}

static void
answer_claim(
    struct dc_core *core, uint32_t peer, const struct dc_key_claim *claim)
{
	struct dc_message answer = {
	    .type = DC_MSG_KEY_CLAIM_RESULT,
	    .claim_result =
		{
		    .a = claim->a,
		    .b = claim->b,
		    .serial = claim->serial,
		    .result = claim->witness_epoch == 0
				  ? dc_bare_answer(core, claim)
				  : dc_witness_claim(core, claim),
		},
	};

	dc_peer_send(core, peer, &answer);
}

static void
answer_kill(struct dc_core *core, uint32_t peer, const struct dc_key_kill *kill)
{
	struct dc_message answer = {
	    .type = DC_MSG_KEY_KILL_RESULT,
	    .kill_result =
		{
		    .ticket = kill->ticket,
		    .result = dc_witness_kill(core, kill),
		},
	};

	dc_peer_send(core, peer, &answer);
}

static void
answer_window(struct dc_core *core, uint32_t peer)
{
	struct dc_message answer = {
	    .type = DC_MSG_KEY_WINDOW,
	    .window = {.window = dc_key_own_window(core)},
	};

	dc_peer_send(core, peer, &answer);
}

static void
on_target_draining(
    struct dc_core *core, const struct dc_target_draining *draining)
{
	uint32_t target = dc_target_find(core, draining->target);

	if (target == DC_NONE)
		return;
	core->targets[target].drain_signal = draining->drain != 0;
	dc_lease_return_idle(core, &core->targets[target]);
	dc_pool_mark_ready(&core->pools[core->targets[target].pool]);
}

int
dc_peer_message(struct dc_core *core, const struct dc_envelope *envelope)
{
	const struct dc_message *message = &envelope->message;
	uint32_t peer = dc_peer_find(core, envelope->peer);

	if (peer == DC_NONE || peer == DC_SELF)
		return CS_E_INVALID;
	switch (message->type) {
	case DC_MSG_KEY_WINDOW_REQUEST:
		answer_window(core, peer);
		return CS_OK;
	case DC_MSG_KEY_WINDOW:
		if (peer == core->witness) {
			core->witness_window = message->window.window;
			core->witness_updated_us = core->now_us;
		}
		return CS_OK;
	case DC_MSG_KEY_CLAIM:
		answer_claim(core, peer, &message->claim);
		return CS_OK;
	case DC_MSG_KEY_CLAIM_RESULT:
		dc_key_on_claim_result(core, peer, &message->claim_result);
		return CS_OK;
	case DC_MSG_KEY_KILL:
		answer_kill(core, peer, &message->kill);
		return CS_OK;
	case DC_MSG_KEY_KILL_RESULT:
		dc_forward_on_kill_result(core, &message->kill_result);
		return CS_OK;
	case DC_MSG_SUSPECT:
		dc_suspect_add(core, &message->suspect);
		return CS_OK;
	case DC_MSG_TARGET_DRAINING:
		on_target_draining(core, &message->draining);
		return CS_OK;
	default:
		if (message->type == 0 ||
		    message->type > DC_MSG_LEASE_SYNC_REQUEST)
			return CS_E_INVALID;
		on_lease_message(core, peer, message);
		return CS_OK;
	}
}
