/*
 * Bare keys: keys without a token, which are claimed in the store. A store that
 * comes back from an older copy begins a new era and has lost claims. Until no
 * VM can remember a key of an earlier era, a claim counts only when every other
 * VM has answered that it does not hold the key. Each VM inserts the key into
 * its own table before it claims it, so of two VMs that claim a key in two eras
 * at least one learns of the other.
 */
#include "decide_internal.h"

#define STORE_TIMEOUT_US 3000000
#define ANSWERS_TIMEOUT_US 500000 /* a link may have to be opened first */
/*
 * A VM that is considered dead may be cut off from this one only, and still
 * claim keys in the store.
 */
#define CUT_OFF_US 3600000000LL
/*
 * Longer than a bare key is remembered: DC_KEY_LIFE_US, or until the deadline
 * of its call, 600 s at most.
 */
#define SETTLED_US 660000000

/* A rise after a known era is a restore of the store. */
void
dc_bare_on_era(struct dc_core *core, uint64_t era)
{
	if (core->store_era_known && era <= core->store_era)
		return;
	core->store_restored = core->store_era_known;
	core->store_era_known = true;
	core->store_era = era;
	core->store_era_since_us = core->now_us;
}

/*
 * Keys of earlier eras were claimed before this VM first learned of this one,
 * and have expired on every VM SETTLED_US later.
 */
static bool
is_settled(const struct dc_core *core)
{
	return core->store_era == 0 ||
	       core->now_us - core->store_era_since_us >= SETTLED_US;
}

void
dc_bare_on_peer(
    struct dc_core *core, uint32_t index, const struct dc_peer_changed *event)
{
	struct dc_peer *peer = &core->peers[index];
	bool first = peer->epoch == 0;

	if (!first && peer->epoch != event->epoch) {
		peer->replaced_until_us = core->now_us + DC_KEY_LIFE_US;
		peer->clear_era = 0;
	}
	if (event->state != DC_PEER_DEAD)
		return;
	if (peer->state == DC_PEER_LEAVING)
		peer->dead_until_us = core->now_us + DC_KEY_LIFE_US;
	else if (first || peer->state == DC_PEER_ALIVE)
		peer->dead_until_us = core->now_us + CUT_OFF_US;
}

/* Returns whether another VM may have held keys that no VM can tell now. */
static bool
keys_are_lost(const struct dc_core *core)
{
	uint32_t i;

	for (i = 1; i < core->peer_count; i++) {
		const struct dc_peer *peer = &core->peers[i];

		if (core->now_us < peer->replaced_until_us ||
		    (peer->state == DC_PEER_DEAD &&
			core->now_us < peer->dead_until_us))
			return true;
	}
	return false;
}

static bool
is_held(struct dc_core *core, const struct dc_key_claim *claim)
{
	const struct dc_key_record *record =
	    dc_key_find(&core->home_keys, claim->a, claim->b, core->now_us);

	return record != NULL && record->state != DC_KEY_NOT_RUN &&
	       record->state != DC_KEY_KILLED;
}

/* Answers a peer that has claimed a bare key in the store. */
enum dc_claim_result
dc_bare_answer(struct dc_core *core, const struct dc_key_claim *claim)
{
	dc_bare_on_era(core, claim->window);
	if (is_held(core, claim))
		return DC_CLAIM_CONFLICT;
	if (is_settled(core))
		return DC_CLAIM_SETTLED;
	if (!core->store_restored)
		return DC_CLAIM_NONE_HELD;
	return keys_are_lost(core) ? DC_CLAIM_LOST : DC_CLAIM_NOT_HELD;
}

void
dc_bare_claim(struct dc_core *core, struct dc_call *call)
{
	core->counters.key_claims++;
	dc_action_add(core, DC_ACT_STORE_CLAIM)->store_claim =
	    (struct dc_call_ref){.call = call->id};
	dc_call_set_timer(core, call, core->now_us + STORE_TIMEOUT_US);
}

static void
refuse_unsure(struct dc_core *core, struct dc_call *call)
{
	call->may_have_run = true;
	dc_call_refuse(core, call, DC_REASON_KEY_UNSURE);
}

static void
finish(struct dc_core *core, struct dc_call *call)
{
	if (!is_settled(core) && core->store_restored &&
	    (call->unsure_if_restored || keys_are_lost(core)))
		refuse_unsure(core, call);
	else
		dc_call_enqueue(core, call);
}

/*
 * A VM that leaves may have ended already. While no restore is known, as after
 * the start of the whole fleet, calls do not wait for it.
 */
static void
ask_peers(struct dc_core *core, struct dc_call *call)
{
	const struct dc_message question = {
	    .type = DC_MSG_KEY_CLAIM,
	    .claim =
		{
		    .a = call->key.a,
		    .b = call->key.b,
		    .window = call->claim_era,
		    .serial = call->id,
		},
	};
	uint32_t i;

	for (i = 1; i < core->peer_count; i++) {
		const struct dc_peer *peer = &core->peers[i];

		if (peer->state == DC_PEER_DEAD ||
		    peer->clear_era == call->claim_era)
			continue;
		if (peer->state == DC_PEER_LEAVING && !core->store_restored) {
			call->unsure_if_restored = true;
			continue;
		}
		dc_peer_send(core, i, &question);
		core->counters.key_questions++;
		call->answers_left++;
	}
}

static void
on_claimed(struct dc_core *core, struct dc_call *call, uint64_t era)
{
	int64_t ends_us = call->arrived_us + STORE_TIMEOUT_US;

	dc_bare_on_era(core, era);
	if (era < core->store_era) {
		/* The store may have lost this claim by now. */
		dc_call_refuse(core, call, DC_REASON_KEY_STORE);
		return;
	}
	call->claim_era = era;
	if (!is_settled(core))
		ask_peers(core, call);
	if (call->answers_left == 0) {
		finish(core, call);
		return;
	}
	if (ends_us > core->now_us + ANSWERS_TIMEOUT_US)
		ends_us = core->now_us + ANSWERS_TIMEOUT_US;
	dc_call_set_timer(core, call, ends_us);
}

void
dc_bare_on_store_result(struct dc_core *core, struct dc_call *call,
    const struct dc_store_claimed *event)
{
	switch ((enum dc_store_result)event->result) {
	case DC_STORE_CLAIMED:
		on_claimed(core, call, event->era);
		return;
	case DC_STORE_CONFLICT:
		refuse_unsure(core, call);
		return;
	case DC_STORE_UNAVAILABLE:
		break;
	}
	dc_call_refuse(core, call, DC_REASON_KEY_STORE);
}

/* Learns from an answer. Returns false if the key may have run. */
static bool
apply_answer(struct dc_core *core, struct dc_call *call, uint32_t peer,
    enum dc_claim_result result)
{
	bool current = call->claim_era == core->store_era;

	switch (result) {
	case DC_CLAIM_NONE_HELD:
		core->peers[peer].clear_era = call->claim_era;
		return true;
	case DC_CLAIM_SETTLED:
		if (current)
			core->store_era_since_us = core->now_us - SETTLED_US;
		return true;
	case DC_CLAIM_NOT_HELD:
		core->store_restored |= current;
		return true;
	case DC_CLAIM_EXPIRED: /* from a build that does not know */
		call->unsure_if_restored = true;
		return true;
	case DC_CLAIM_LOST:
		core->store_restored |= current;
		return false;
	case DC_CLAIM_GRANTED:
	case DC_CLAIM_KILLED:
	case DC_CLAIM_CONFLICT:
	case DC_CLAIM_FULL:
		break;
	}
	return false;
}

void
dc_bare_on_answer(struct dc_core *core, struct dc_call *call, uint32_t peer,
    enum dc_claim_result result)
{
	if (call->answers_left == 0)
		return;
	call->answers_left--;
	if (!apply_answer(core, call, peer, result))
		refuse_unsure(core, call);
	else if (call->answers_left == 0)
		finish(core, call);
}

/*
 * The store did not grant the claim in time, so nothing was sent; or a VM that
 * may hold the key did not answer.
 */
void
dc_bare_on_timer(struct dc_core *core, struct dc_call *call)
{
	if (call->answers_left == 0)
		dc_call_refuse(core, call, DC_REASON_KEY_STORE);
	else
		refuse_unsure(core, call);
}
