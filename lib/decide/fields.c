/* Numbers of fields and names, for traces and links between VMs. */
#include "decide_internal.h"

#define FIELDS(type) (uint32_t)(sizeof(struct type) / sizeof(uint64_t))

struct field_layout {
	const char *name;
	uint32_t fields;
};

static const struct field_layout events[DC_EV_TYPES] = {
    [DC_EV_SELF] = {"self", FIELDS(dc_self)},
    [DC_EV_TABLE_BEGIN] = {"table_begin", FIELDS(dc_table_begin)},
    [DC_EV_TABLE_POOL] = {"table_pool", FIELDS(dc_table_pool)},
    [DC_EV_TABLE_TARGET] = {"table_target", FIELDS(dc_table_target)},
    [DC_EV_TABLE_SHARE] = {"table_share", FIELDS(dc_table_share)},
    [DC_EV_TABLE_ROUTE] = {"table_route", FIELDS(dc_table_route)},
    [DC_EV_TABLE_END] = {"table_end", 0},
    [DC_EV_CALL_ARRIVED] = {"call_arrived", FIELDS(dc_call_arrived)},
    [DC_EV_CALLER_DISCONNECTED] = {"call_left", FIELDS(dc_caller_disconnected)},
    [DC_EV_ATTEMPT_SENT] = {"attempt_sent", FIELDS(dc_attempt_sent)},
    [DC_EV_ATTEMPT_HEAD] = {"attempt_head", FIELDS(dc_attempt_head)},
    [DC_EV_ATTEMPT_ENDED] = {"attempt_ended", FIELDS(dc_attempt_ended)},
    [DC_EV_STORE_CLAIMED] = {"store_claimed", FIELDS(dc_store_claimed)},
    [DC_EV_STORE_ERA] = {"store_era", FIELDS(dc_store_era)},
    [DC_EV_TARGET_DRAINING] = {"target_drains", FIELDS(dc_target_draining)},
    [DC_EV_PEER] = {"peer", FIELDS(dc_peer_changed)},
    [DC_EV_LINK] = {"link", FIELDS(dc_link_up)},
    [DC_EV_MESSAGE] = {"message", 8},
    [DC_EV_STOPPING] = {"stopping", 0},
    [DC_EV_TIMER] = {"timer", 0},
};

static const struct field_layout actions[DC_ACT_TYPES] = {
    [DC_ACT_SEND] = {"send", FIELDS(dc_send)},
    [DC_ACT_FORWARD] = {"forward", FIELDS(dc_send)},
    [DC_ACT_CANCEL] = {"cancel", FIELDS(dc_attempt_ref)},
    [DC_ACT_RELAY] = {"relay", FIELDS(dc_attempt_ref)},
    [DC_ACT_REPLAY] = {"replay", FIELDS(dc_call_ref)},
    [DC_ACT_REFUSE] = {"refuse", FIELDS(dc_refuse)},
    [DC_ACT_ABORT] = {"cut", FIELDS(dc_attempt_ref)},
    [DC_ACT_DONE] = {"done", FIELDS(dc_attempt_ref)},
    [DC_ACT_RETIRE_CONNECTIONS] = {"flush", FIELDS(dc_retire_connections)},
    [DC_ACT_STORE_CLAIM] = {"store_claim", FIELDS(dc_call_ref)},
    [DC_ACT_MESSAGE] = {"message", 8},
};

uint32_t
dc_message_field_count(uint64_t type)
{
	switch (type) {
	case DC_MSG_LEASE_DEMAND:
	case DC_MSG_LEASE_SCARCE:
	case DC_MSG_LEASE_SYNC:
	case DC_MSG_LEASE_SYNC_REQUEST:
		return FIELDS(dc_lease_group_count);
	case DC_MSG_LEASE_GRANT:
	case DC_MSG_LEASE_RETURN:
	case DC_MSG_LEASE_RECALL:
	case DC_MSG_LEASE_HELD:
		return FIELDS(dc_lease_target_count);
	case DC_MSG_KEY_WINDOW_REQUEST:
	case DC_MSG_KEY_WINDOW:
		return FIELDS(dc_key_window);
	case DC_MSG_KEY_CLAIM:
		return FIELDS(dc_key_claim);
	case DC_MSG_KEY_CLAIM_RESULT:
		return FIELDS(dc_key_claim_result);
	case DC_MSG_KEY_KILL:
		return FIELDS(dc_key_kill);
	case DC_MSG_KEY_KILL_RESULT:
		return FIELDS(dc_key_kill_result);
	case DC_MSG_SUSPECT:
		return FIELDS(dc_suspect_report);
	case DC_MSG_TARGET_DRAINING:
		return FIELDS(dc_target_draining);
	default:
		return 0;
	}
}

uint32_t
dc_event_field_count(enum dc_event_type type)
{
	return type < DC_EV_TYPES ? events[type].fields : 0;
}

uint32_t
dc_action_field_count(enum dc_action_type type)
{
	return type < DC_ACT_TYPES ? actions[type].fields : 0;
}

const char *
dc_event_text(enum dc_event_type type)
{
	return type < DC_EV_TYPES ? events[type].name : "unlisted";
}

const char *
dc_action_text(enum dc_action_type type)
{
	return type < DC_ACT_TYPES ? actions[type].name : "unlisted";
}
