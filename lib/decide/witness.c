/*
 * The witness of keys whose home is another VM. It stores a claim or a kill for
 * longer than the key's token is valid by the witness's own clock, and rejects
 * expired tokens, so clocks of different VMs need not agree.
 */
#include "decide_internal.h"

#define RECORD_LIFE_US 420000000 /* exceeds the validity of any token */

static bool
token_is_valid(const struct dc_core *core, uint64_t epoch, uint64_t window)
{
	return epoch == core->peers[DC_SELF].epoch &&
	       !dc_key_window_expired(core, window);
}

static struct dc_key_record *
insert(struct dc_core *core, uint64_t a, uint64_t b, enum dc_key_state state)
{
	struct dc_key_record *record;

	record = dc_key_insert(&core->witnessed, a, b,
	    core->now_us + RECORD_LIFE_US, core->now_us);
	if (record != NULL)
		record->state = state;
	return record;
}

enum dc_claim_result
dc_witness_claim(struct dc_core *core, const struct dc_key_claim *claim)
{
	struct dc_key_record *record;

	if (!token_is_valid(core, claim->witness_epoch, claim->window))
		return DC_CLAIM_EXPIRED;
	record =
	    dc_key_find(&core->witnessed, claim->a, claim->b, core->now_us);
	if (record == NULL) {
		record = insert(core, claim->a, claim->b, DC_KEY_CLAIMED);
		if (record == NULL)
			return DC_CLAIM_FULL;
		record->serial = claim->serial;
		return DC_CLAIM_GRANTED;
	}
	if (record->state == DC_KEY_KILLED)
		return DC_CLAIM_KILLED;
	if (record->serial != claim->serial &&
	    record->serial != claim->supersedes)
		return DC_CLAIM_CONFLICT;
	record->serial = claim->serial;
	return DC_CLAIM_GRANTED;
}

enum dc_kill_result
dc_witness_kill(struct dc_core *core, const struct dc_key_kill *kill)
{
	struct dc_key_record *record;

	if (!token_is_valid(core, kill->witness_epoch, kill->window))
		return DC_KILL_UNKNOWN;
	record = dc_key_find(&core->witnessed, kill->a, kill->b, core->now_us);
	if (record == NULL) {
		if (insert(core, kill->a, kill->b, DC_KEY_KILLED) == NULL)
			return DC_KILL_UNKNOWN;
		core->counters.key_kills++;
		return DC_KILL_DONE;
	}
	if (record->state == DC_KEY_KILLED)
		return DC_KILL_DONE;
	return DC_KILL_CLAIMED;
}
