/*
 * Idempotency keys of non-idempotent calls, at their home. The token of a key
 * names its home, the only process that may run the call, and a witness. The
 * home claims the key at the witness before it sends anything. When the home is
 * lost, another VM can therefore learn from the witness that the call never
 * ran, and kill the key: no later claim on it is granted. A key without a token
 * is claimed in the store instead of at a witness.
 */
#include "decide_internal.h"

#define CLAIM_TIMEOUT_US 300000
#define WINDOW_REQUEST_INTERVAL_US 30000000
#define WITNESS_WINDOW_MAX_AGE_US 90000000 /* an older window is not used */

uint64_t
dc_key_own_window(const struct dc_core *core)
{
	return (uint64_t)((core->now_us - core->started_us) / DC_KEY_WINDOW_US);
}

bool
dc_key_window_expired(const struct dc_core *core, uint64_t window)
{
	return dc_key_own_window(core) >= window + DC_KEY_LIFE_WINDOWS;
}

bool
dc_key_is_home(const struct dc_core *core, const struct dc_key *key)
{
	return key->home == core->peers[DC_SELF].id &&
	       key->home_epoch == core->peers[DC_SELF].epoch;
}

static void
answer_from_record(
    struct dc_core *core, uint64_t call, const struct dc_key_record *record)
{
	switch (record->state) {
	case DC_KEY_DONE:
		dc_action_add(core, DC_ACT_REPLAY)->replay =
		    (struct dc_call_ref){.call = call};
		return;
	case DC_KEY_KILLED:
		dc_refuse_id(
		    core, call, DC_REASON_KEY_KILLED, DC_OUTCOME_NOT_RUN);
		return;
	case DC_KEY_ACTIVE:
		dc_refuse_id(
		    core, call, DC_REASON_KEY_IN_PROGRESS, DC_OUTCOME_UNKNOWN);
		return;
	default:
		dc_refuse_id(
		    core, call, DC_REASON_KEY_UNSURE, DC_OUTCOME_UNKNOWN);
		return;
	}
}

/*
 * Responds to a request if its key decides the result already: the call ran, is
 * in progress, may have run, was killed, or was forwarded to the wrong process.
 * Returns false if the call has to be handled further.
 */
bool
dc_key_try_answer(struct dc_core *core, const struct dc_call_arrived *event)
{
	const struct dc_key *key = &event->key;
	struct dc_key_record *record;

	if (key->scope == DC_KEY_HOME && !dc_key_is_home(core, key)) {
		if (!event->forwarded)
			return false;
		dc_refuse_id(core, event->call, DC_REASON_KEY_NOT_HOME,
		    DC_OUTCOME_NOT_RUN);
		return true;
	}
	record = dc_key_find(&core->home_keys, key->a, key->b, core->now_us);
	if (record != NULL && record->state != DC_KEY_NOT_RUN) {
		answer_from_record(core, event->call, record);
		return true;
	}
	if (record == NULL && key->scope == DC_KEY_HOME && key->witness == 0 &&
	    dc_key_window_expired(core, key->window)) {
		dc_refuse_id(core, event->call, DC_REASON_KEY_UNSURE,
		    DC_OUTCOME_UNKNOWN);
		return true;
	}
	return false;
}

static void
claim_at_witness(
    struct dc_core *core, struct dc_call *call, uint64_t supersedes)
{
	uint32_t witness = dc_peer_find(core, call->key.witness);

	if (witness == DC_NONE || core->peers[witness].state == DC_PEER_DEAD) {
		dc_call_refuse(core, call, DC_REASON_KEY_NO_WITNESS);
		return;
	}
	core->counters.key_claims++;
	dc_peer_send(core, witness,
	    &(struct dc_message){
		.type = DC_MSG_KEY_CLAIM,
		.claim =
		    {
			.a = call->key.a,
			.b = call->key.b,
			.witness_epoch = call->key.witness_epoch,
			.window = call->key.window,
			.serial = call->id,
			.supersedes = supersedes,
		    },
	    });
	dc_call_set_timer(core, call, core->now_us + CLAIM_TIMEOUT_US);
}

/* Claims the key of an admitted call, or forwards the call to its home. */
void
dc_key_begin(struct dc_core *core, struct dc_call *call)
{
	struct dc_key *key = &call->key;
	struct dc_key_record *record;
	uint64_t supersedes = 0;
	int64_t expires_us = core->now_us + DC_KEY_LIFE_US;

	call->state = DC_CALL_CLAIMING;
	core->counters.running++;
	if (key->scope == DC_KEY_HOME && !dc_key_is_home(core, key)) {
		dc_forward_begin(core, call);
		return;
	}
	record = dc_key_find(&core->home_keys, key->a, key->b, core->now_us);
	if (record != NULL)
		supersedes = record->serial;
	/* The claim of a bare key has no age: its call must not outlive it. */
	if (key->scope == DC_KEY_STORE && call->deadline_us > expires_us)
		expires_us = call->deadline_us;
	record = dc_key_insert(
	    &core->home_keys, key->a, key->b, expires_us, core->now_us);
	if (record == NULL) {
		dc_call_refuse(core, call, DC_REASON_KEYS_FULL);
		return;
	}
	record->serial = call->id;
	if (key->scope == DC_KEY_STORE)
		dc_bare_claim(core, call);
	else if (key->witness == 0)
		dc_call_enqueue(core, call);
	else
		claim_at_witness(core, call, supersedes);
}

/* Records how the call with this key ended. */
void
dc_key_record_end(
    struct dc_core *core, struct dc_call *call, enum dc_key_state state)
{
	struct dc_key_record *record;

	if (call->key.scope == DC_KEY_NONE || call->state == DC_CALL_FORWARDING)
		return;
	record = dc_key_find(
	    &core->home_keys, call->key.a, call->key.b, core->now_us);
	if (record == NULL || record->serial != call->id ||
	    record->state != DC_KEY_ACTIVE)
		return;
	record->state = state;
}

static void
set_record_state(
    struct dc_core *core, const struct dc_call *call, enum dc_key_state state)
{
	struct dc_key_record *record = dc_key_find(
	    &core->home_keys, call->key.a, call->key.b, core->now_us);

	if (record != NULL)
		record->state = state;
}

void
dc_key_on_claim_result(struct dc_core *core, uint32_t peer,
    const struct dc_key_claim_result *result)
{
	struct dc_call *call = dc_call_find(core, result->serial);

	if (call == NULL || call->state != DC_CALL_CLAIMING ||
	    call->key.a != result->a || call->key.b != result->b)
		return;
	if (call->key.scope == DC_KEY_STORE) {
		dc_bare_on_answer(
		    core, call, peer, (enum dc_claim_result)result->result);
		return;
	}
	switch ((enum dc_claim_result)result->result) {
	case DC_CLAIM_GRANTED:
		dc_call_enqueue(core, call);
		return;
	case DC_CLAIM_KILLED:
		set_record_state(core, call, DC_KEY_KILLED);
		dc_call_refuse(core, call, DC_REASON_KEY_KILLED);
		return;
	case DC_CLAIM_CONFLICT:
	case DC_CLAIM_EXPIRED:
		call->may_have_run = true;
		dc_call_refuse(core, call, DC_REASON_KEY_UNSURE);
		return;
	case DC_CLAIM_FULL:
	case DC_CLAIM_NOT_HELD: /* the rest is about bare keys only */
	case DC_CLAIM_NONE_HELD:
	case DC_CLAIM_SETTLED:
	case DC_CLAIM_LOST:
		break;
	}
	dc_call_refuse(core, call, DC_REASON_KEY_NO_WITNESS);
}

/* No claim was granted in time. Nothing was sent: the call did not run. */
void
dc_key_on_timer(struct dc_core *core, struct dc_call *call)
{
	if (call->key.scope == DC_KEY_STORE)
		dc_bare_on_timer(core, call);
	else
		dc_call_refuse(core, call, DC_REASON_KEY_NO_WITNESS);
}

/*
 * Chooses a live VM by rendezvous hashing, so that the choice is stable: one of
 * the same region if there is one.
 */
void
dc_key_choose_witness(struct dc_core *core)
{
	const struct dc_peer *self = &core->peers[DC_SELF];
	uint64_t best_rank = 0;
	uint32_t i, best = DC_NONE;
	bool best_is_local = false;

	for (i = 1; i < core->peer_count; i++) {
		const struct dc_peer *peer = &core->peers[i];
		uint64_t rank = cs_hash_pair(self->id, peer->id);
		bool is_local = peer->region == self->region;

		if (peer->state != DC_PEER_ALIVE ||
		    (best_is_local && !is_local))
			continue;
		if (best == DC_NONE || (is_local && !best_is_local) ||
		    rank > best_rank) {
			best = i;
			best_rank = rank;
			best_is_local = is_local;
		}
	}
	if (best == core->witness)
		return;
	core->witness = best;
	core->witness_updated_us = 0;
	dc_key_request_window(core);
}

void
dc_key_request_window(struct dc_core *core)
{
	core->next_window_request_us =
	    core->now_us + WINDOW_REQUEST_INTERVAL_US;
	dc_peer_send(core, core->witness,
	    &(struct dc_message){.type = DC_MSG_KEY_WINDOW_REQUEST});
}

void
dc_key_token_witness(const struct dc_core *core, bool own, uint64_t *witness,
    uint64_t *epoch, uint64_t *window)
{
	const struct dc_peer *self = &core->peers[DC_SELF];

	*witness = own ? 0 : self->id;
	*epoch = own ? 0 : self->epoch;
	*window = dc_key_own_window(core);
	if (!own || core->witness == DC_NONE || core->witness_updated_us == 0 ||
	    core->now_us - core->witness_updated_us > WITNESS_WINDOW_MAX_AGE_US)
		return;
	*witness = core->peers[core->witness].id;
	*epoch = core->peers[core->witness].epoch;
	*window = core->witness_window;
}
