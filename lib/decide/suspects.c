/*
 * Requests that kill targets. A fingerprint that was in flight on a target
 * when it died is a suspect; the second death quarantines it for a while. The
 * table is a fixed array; the entry that lapses first gives way.
 */
#include "decide_internal.h"

#define QUARANTINE_DEATHS 2

static struct dc_suspect *
find(struct dc_core *core, uint64_t fingerprint)
{
	struct dc_suspect *oldest = &core->suspects[0];
	uint32_t i;

	for (i = 0; i < DC_SUSPECTS_MAX; i++) {
		struct dc_suspect *suspect = &core->suspects[i];

		if (suspect->fingerprint == fingerprint &&
		    suspect->until_us > core->now_us)
			return suspect;
		if (suspect->until_us < oldest->until_us)
			oldest = suspect;
	}
	*oldest = (struct dc_suspect){.fingerprint = fingerprint};
	return oldest;
}

void
dc_suspect_add(struct dc_core *core, uint64_t fingerprint)
{
	struct dc_suspect *suspect = find(core, fingerprint);

	suspect->deaths++;
	suspect->until_us = core->now_us + core->parameters[DC_P_QUARANTINE_US];
	if (suspect->until_us > core->suspects_until_us)
		core->suspects_until_us = suspect->until_us;
	if (suspect->deaths == QUARANTINE_DEATHS)
		core->counters.quarantines++;
}

bool
dc_suspect_quarantined(const struct dc_core *core, uint64_t fingerprint)
{
	uint32_t i;

	if (core->suspects_until_us <= core->now_us)
		return false;
	for (i = 0; i < DC_SUSPECTS_MAX; i++) {
		const struct dc_suspect *suspect = &core->suspects[i];

		if (suspect->fingerprint == fingerprint &&
		    suspect->until_us > core->now_us)
			return suspect->deaths >= QUARANTINE_DEATHS;
	}
	return false;
}
