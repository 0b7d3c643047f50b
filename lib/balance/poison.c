/*
 * Detects requests that crash every target that runs them, sent again and again
 * by their callers. A request that has crashed two targets is sent to no
 * further one until SUSPECT_TTL_US after its last crash. A request that was
 * served before is never blamed when targets crash while they run it.
 */
#include "balance_internal.h"

#define CRASH_THRESHOLD 2
/* A caller that repeats such a request does so within this time. */
#define SUSPECT_TTL_US 60000000

void
bl_poison_served(struct bl_poison *poison, uint64_t fingerprint)
{
	poison->served[fingerprint % BL_POISON_SERVED_MAX] = fingerprint;
}

uint32_t
bl_poison_crashed(
    struct bl_poison *poison, uint64_t fingerprint, int64_t now_us)
{
	uint32_t i, entry = 0;

	if (poison->served[fingerprint % BL_POISON_SERVED_MAX] == fingerprint)
		return 0;

	for (i = 0; i < BL_POISON_SUSPECTS_MAX; i++) {
		if (poison->suspects[i].fingerprint == fingerprint) {
			entry = i;
			break;
		}
		if (poison->suspects[i].seen_us <
		    poison->suspects[entry].seen_us)
			entry = i;
	}
	if (poison->suspects[entry].fingerprint != fingerprint) {
		poison->suspects[entry].fingerprint = fingerprint;
		poison->suspects[entry].crashes = 0;
	}
	poison->suspects[entry].seen_us = now_us;
	return ++poison->suspects[entry].crashes;
}

bool
bl_is_poison(
    const struct bl_poison *poison, uint64_t fingerprint, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < BL_POISON_SUSPECTS_MAX; i++) {
		if (poison->suspects[i].fingerprint == fingerprint)
			return poison->suspects[i].crashes >= CRASH_THRESHOLD &&
			       now_us - poison->suspects[i].seen_us <
				   SUSPECT_TTL_US;
	}
	return false;
}
