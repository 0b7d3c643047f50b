/*
 * Quarantine of requests that crash targets. A request, identified by its
 * fingerprint, that was in flight on a target when it crashed is a suspect. The
 * second crash quarantines it for quarantine_us. A reused connection may end
 * for other reasons than a crash, so at least one of the two attempts must have
 * used a new connection. The table is a fixed array; the entry that expires
 * first is evicted.
 */
#include "decide_internal.h"

#define QUARANTINE_CRASHES 2
/* Reports about one target within this time belong to one crash. */
#define SAME_CRASH_US 1000000
#define KNOWN_GOOD_LIFE_US 600000000 /* after a complete response */

static struct dc_suspect *
find_or_evict(struct dc_core *core, uint64_t fingerprint)
{
	struct dc_suspect *oldest = &core->suspects[0];
	uint32_t i;

	for (i = 0; i < DC_SUSPECTS_MAX; i++) {
		struct dc_suspect *suspect = &core->suspects[i];

		if (suspect->fingerprint == fingerprint &&
		    suspect->expires_us > core->now_us)
			return suspect;
		if (suspect->expires_us < oldest->expires_us)
			oldest = suspect;
	}
	*oldest = (struct dc_suspect){.fingerprint = fingerprint};
	return oldest;
}

/*
 * Returns whether the request got a complete response recently: then targets
 * crashed for another reason.
 */
static bool
is_known_good(const struct dc_core *core, uint64_t fingerprint)
{
	const struct dc_known_good *slot =
	    &core->known_good[fingerprint % DC_KNOWN_GOOD_MAX];

	return slot->fingerprint == fingerprint &&
	       slot->expires_us > core->now_us;
}

static bool
is_quarantined(const struct dc_suspect *suspect)
{
	return suspect->crashes >= QUARANTINE_CRASHES &&
	       suspect->new_connection_crashes > 0;
}

void
dc_suspect_add(struct dc_core *core, const struct dc_suspect_report *report)
{
	struct dc_suspect *suspect;
	bool was_quarantined;

	if (is_known_good(core, report->fingerprint))
		return;
	suspect = find_or_evict(core, report->fingerprint);
	was_quarantined = is_quarantined(suspect);
	/* Several calls that were in flight at one crash count once. */
	if (suspect->crashes > 0 && suspect->target == report->target &&
	    core->now_us - suspect->crashed_us < SAME_CRASH_US)
		return;
	suspect->target = report->target;
	suspect->crashed_us = core->now_us;
	suspect->crashes++;
	suspect->new_connection_crashes += report->new_connection != 0;
	suspect->expires_us =
	    core->now_us + core->parameters[DC_P_QUARANTINE_US];
	if (suspect->expires_us > core->suspects_expire_us)
		core->suspects_expire_us = suspect->expires_us;
	if (!was_quarantined && is_quarantined(suspect))
		core->counters.quarantines++;
}

static struct dc_known_good *
known_good_slot(struct dc_core *core, uint64_t fingerprint)
{
	return &core->known_good[fingerprint % DC_KNOWN_GOOD_MAX];
}

/*
 * A request that got a complete response does not crash targets: another one
 * in flight at the same time did.
 */
void
dc_suspect_clear(struct dc_core *core, uint64_t fingerprint)
{
	uint32_t i;

	*known_good_slot(core, fingerprint) = (struct dc_known_good){
	    .fingerprint = fingerprint,
	    .expires_us = core->now_us + KNOWN_GOOD_LIFE_US,
	};
	if (core->suspects_expire_us <= core->now_us)
		return;
	for (i = 0; i < DC_SUSPECTS_MAX; i++) {
		if (core->suspects[i].fingerprint == fingerprint)
			core->suspects[i].expires_us = 0;
	}
}

bool
dc_suspect_quarantined(const struct dc_core *core, uint64_t fingerprint)
{
	uint32_t i;

	if (core->suspects_expire_us <= core->now_us)
		return false;
	for (i = 0; i < DC_SUSPECTS_MAX; i++) {
		const struct dc_suspect *suspect = &core->suspects[i];

		if (suspect->fingerprint == fingerprint &&
		    suspect->expires_us > core->now_us)
			return is_quarantined(suspect);
	}
	return false;
}
