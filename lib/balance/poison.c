/*
 * Requests that crash each target that runs them. Answers callers that send
 * such a request again and again: once it has taken down a second target it
 * reaches no further one for a while. A request that was served before is not
 * to blame when targets go down under it, however often.
 */
#include "balance_internal.h"

#define CRASH_THRESHOLD 2
#define SUSPECT_TTL_US                                        \
	60000000 /* a caller that repeats does so within this \
		  */

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
