/*
 * Requests that kill targets. A fingerprint that was in flight on a target
 * when it died is a suspect; the second death quarantines it for a while. A
 * break on a connection that was used before may just be that connection's
 * end, so at least one of the two has to be on a new one. The
 * table is a fixed array; the entry that lapses first gives way.
 */
#include "decide_internal.h"

#define QUARANTINE_CRASHES 2
#define SAME_CRASH_US 1000000
#define KNOWN_GOOD_LIFE_US 600000000

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

/* Answered not long ago: the targets that died had another reason. */
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
	/* Several calls that one death broke off are one death. */
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

/* A request that was answered does not kill: it was in bad company. */
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
