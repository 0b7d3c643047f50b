/*
 * Detects requests that crash every target that runs them, sent again and again
 * by their callers. A request that has crashed two targets is sent to no
 * further one for some time after its last crash, which grows with each crash.
 * A request that was served before is never blamed when targets crash while
 * they run it.
 *
 * What is known of a request is the set of target processes that it crashed, so
 * reports of VMs may arrive twice and in any order.
 */
#include "balance_internal.h"

#define CRASH_THRESHOLD 2

/*
 * How long a request is refused after its last crash, by the number of crashes.
 * A target may have been repaired meanwhile, but each trial costs the work of
 * all other requests at its target.
 */
static const int64_t refused_us[BL_POISON_CRASHES_MAX + 1] = {
    0, 0, 60000000LL, 600000000LL, 3600000000LL, 86400000000LL, 86400000000LL};

void
bl_poison_served(struct bl_poison *poison, uint64_t fingerprint)
{
	poison->served[fingerprint % BL_POISON_SERVED_MAX] = fingerprint;
}

const struct bl_suspect *
bl_poison_find(const struct bl_poison *poison, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < BL_POISON_SUSPECTS_MAX; i++) {
		if (poison->suspects[i].crashes > 0 &&
		    poison->suspects[i].fingerprint == fingerprint)
			return &poison->suspects[i];
	}
	return NULL;
}

/* Returns the entry of the request, or the oldest one, emptied for it. */
static struct bl_suspect *
take_suspect(struct bl_poison *poison, uint64_t fingerprint)
{
	struct bl_suspect *oldest = &poison->suspects[0];
	uint32_t i;

	for (i = 0; i < BL_POISON_SUSPECTS_MAX; i++) {
		if (poison->suspects[i].fingerprint == fingerprint)
			return &poison->suspects[i];
		if (poison->suspects[i].seen_us < oldest->seen_us)
			oldest = &poison->suspects[i];
	}
	*oldest = (struct bl_suspect){.fingerprint = fingerprint};
	return oldest;
}

static bool
has_crashed(const struct bl_suspect *suspect, uint64_t target_process)
{
	uint32_t i;

	for (i = 0; i < suspect->crashes; i++) {
		if (suspect->crashed[i] == target_process)
			return true;
	}
	return false;
}

bool
bl_poison_knows(const struct bl_poison *poison, const struct bl_crash *crash)
{
	const struct bl_suspect *suspect =
	    bl_poison_find(poison, crash->fingerprint);

	return suspect != NULL && has_crashed(suspect, crash->target_process);
}

uint32_t
bl_poison_crashed(
    struct bl_poison *poison, const struct bl_crash *crash, int64_t now_us)
{
	uint64_t fingerprint = crash->fingerprint;
	struct bl_suspect *suspect;

	if (poison->served[fingerprint % BL_POISON_SERVED_MAX] == fingerprint)
		return 0;
	suspect = take_suspect(poison, fingerprint);
	if (has_crashed(suspect, crash->target_process))
		return suspect->crashes;
	suspect->seen_us = now_us;
	if (suspect->crashes < BL_POISON_CRASHES_MAX)
		suspect->crashed[suspect->crashes++] = crash->target_process;
	return suspect->crashes;
}

void
bl_poison_seen_here(struct bl_poison *poison, uint64_t fingerprint)
{
	if (bl_poison_find(poison, fingerprint) != NULL)
		take_suspect(poison, fingerprint)->seen_here = true;
}

bool
bl_is_poison(
    const struct bl_poison *poison, uint64_t fingerprint, int64_t now_us)
{
	const struct bl_suspect *suspect = bl_poison_find(poison, fingerprint);

	return suspect != NULL && suspect->crashes >= CRASH_THRESHOLD &&
	       now_us - suspect->seen_us < refused_us[suspect->crashes];
}
