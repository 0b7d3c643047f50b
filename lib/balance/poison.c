/*
 * Requests that crash each target that runs them. Answers callers that send
 * such a request again and again: once it has taken down a second target it
 * reaches no further one for a while. A request that was served before is not
 * to blame when targets go down under it, however often.
 */
#include "balance_internal.h"

#define CRASHES_MAX 2
#define SUSPECT_US 60000000 /* a caller that repeats does so within this */

void
bl_ran_well(struct bl_poison *poison, uint64_t fingerprint)
{
	poison->served[fingerprint % BL_SERVED_MAX] = fingerprint;
}

uint32_t
bl_crashed(struct bl_poison *poison, uint64_t fingerprint, int64_t now_us)
{
	uint32_t i, place = 0;

	if (poison->served[fingerprint % BL_SERVED_MAX] == fingerprint)
		return 0;

	for (i = 0; i < BL_SUSPECTS_MAX; i++) {
		if (poison->suspects[i].fingerprint == fingerprint) {
			place = i;
			break;
		}
		if (poison->suspects[i].seen_us <
		    poison->suspects[place].seen_us)
			place = i;
	}
	if (poison->suspects[place].fingerprint != fingerprint) {
		poison->suspects[place].fingerprint = fingerprint;
		poison->suspects[place].crashes = 0;
	}
	poison->suspects[place].seen_us = now_us;
	return ++poison->suspects[place].crashes;
}

bool
bl_is_poison(
    const struct bl_poison *poison, uint64_t fingerprint, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < BL_SUSPECTS_MAX; i++) {
		if (poison->suspects[i].fingerprint == fingerprint)
			return poison->suspects[i].crashes >= CRASHES_MAX &&
			       now_us - poison->suspects[i].seen_us <
				   SUSPECT_US;
	}
	return false;
}
