/*
 * Detects requests that crash every target that runs them, sent again and again
 * by their callers. A request that has crashed two targets is sent to no
 * further one, except as a trial: one VM sends it once, after a wait that grows
 * with each trial that crashes a target.
 *
 * What is known of a request is the set of target processes that it crashed, so
 * reports of VMs may arrive twice and in any order. A crash loses all requests
 * at its target, so a crash is excused for a request that is served later, and
 * it is explained by another request that has crashed more.
 */
#include "balance_internal.h"

/*
 * How long a request is refused after its last crash, by the number of trials
 * that crashed a target. Each trial costs the work of all other requests at its
 * target.
 */
static const int64_t refused_us[] = {
    3000000LL, 60000000LL, 600000000LL, 86400000000LL};
#define TRIALS_MAX (sizeof(refused_us) / sizeof(refused_us[0]) - 1)

/*
 * Twice as many VMs may try a request after each step. A VM waits as long after
 * a trial without a result.
 */
#define TRIAL_STEP_US 1000000
/* How long a claim keeps other VMs from a trial that has no result. */
#define CLAIM_LIFE_US 10000000

/*
 * A request that only some targets survive must be served more often to be
 * excused: twice as often after each excuse, unless it is served so often for
 * each of them.
 */
#define SERVES_SHIFT_MAX 6
#define SERVES_PER_EXCUSE 16

const struct bl_suspect *
bl_poison_find(const struct bl_poison *poison, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < poison->suspect_count; i++) {
		if (poison->suspects[i].fingerprint == fingerprint)
			return &poison->suspects[i];
	}
	return NULL;
}

static struct bl_suspect *
find_suspect(struct bl_poison *poison, uint64_t fingerprint)
{
	const struct bl_suspect *found = bl_poison_find(poison, fingerprint);

	return found == NULL ? NULL
			     : &poison->suspects[found - poison->suspects];
}

/* Returns the entry of the request, or the oldest one, emptied for it. */
static struct bl_suspect *
take_suspect(struct bl_poison *poison, uint64_t fingerprint)
{
	struct bl_suspect *suspect = find_suspect(poison, fingerprint);
	uint32_t i;

	if (suspect != NULL)
		return suspect;
	if (poison->suspect_count < BL_POISON_SUSPECTS_MAX) {
		suspect = &poison->suspects[poison->suspect_count++];
	} else {
		suspect = &poison->suspects[0];
		for (i = 1; i < poison->suspect_count; i++) {
			if (poison->suspects[i].seen_us < suspect->seen_us)
				suspect = &poison->suspects[i];
		}
	}
	*suspect = (struct bl_suspect){.fingerprint = fingerprint};
	return suspect;
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

static uint32_t
excused_kept(const struct bl_suspect *suspect)
{
	return suspect->excused_count < BL_POISON_EXCUSED_MAX
		   ? suspect->excused_count
		   : BL_POISON_EXCUSED_MAX;
}

static bool
is_excused(const struct bl_suspect *suspect, uint64_t target_process)
{
	uint32_t i;

	for (i = 0; i < excused_kept(suspect); i++) {
		if (suspect->excused[i].target_process == target_process)
			return true;
	}
	return false;
}

/* A full set takes no further crash, so that reports of it come to an end. */
static bool
knows_crash(const struct bl_suspect *suspect, uint64_t target_process)
{
	return suspect->crashes == BL_POISON_CRASHES_MAX ||
	       has_crashed(suspect, target_process) ||
	       is_excused(suspect, target_process);
}

bool
bl_poison_knows(const struct bl_poison *poison, const struct bl_crash *crash)
{
	const struct bl_suspect *suspect =
	    bl_poison_find(poison, crash->fingerprint);

	return suspect != NULL && suspect->trials >= crash->trials &&
	       knows_crash(suspect, crash->target_process);
}

static void
excuse(struct bl_suspect *suspect, uint64_t target_process, bool told)
{
	suspect->excused[suspect->excused_count++ % BL_POISON_EXCUSED_MAX] =
	    (struct bl_excuse){.target_process = target_process, .told = told};
}

static bool
has_untold_excuses(const struct bl_suspect *suspect)
{
	uint32_t i;

	for (i = 0; i < excused_kept(suspect); i++) {
		if (!suspect->excused[i].told)
			return true;
	}
	return false;
}

uint32_t
bl_poison_crashed(
    struct bl_poison *poison, const struct bl_crash *crash, int64_t now_us)
{
	struct bl_suspect *suspect = take_suspect(poison, crash->fingerprint);

	if (crash->trials > suspect->trials) {
		suspect->trials =
		    crash->trials < TRIALS_MAX ? crash->trials : TRIALS_MAX;
		suspect->seen_us = now_us;
	}
	if (knows_crash(suspect, crash->target_process))
		return suspect->crashes;
	suspect->seen_us = now_us;
	suspect->serves = 0;
	suspect->crashed[suspect->crashes++] = crash->target_process;
	/* Others may count this crash beside one that is excused here. */
	suspect->must_tell = has_untold_excuses(suspect);
	return suspect->crashes;
}

/* The number of serves since the last crash that excuses a request. */
static uint32_t
serves_needed(const struct bl_suspect *suspect)
{
	uint64_t earned = suspect->all_serves / SERVES_PER_EXCUSE;
	uint64_t shift = suspect->excused_count > earned
			     ? suspect->excused_count - earned
			     : 0;

	return 1U << (shift < SERVES_SHIFT_MAX ? shift : SERVES_SHIFT_MAX);
}

bool
bl_poison_served(struct bl_poison *poison, uint64_t fingerprint)
{
	struct bl_suspect *suspect = find_suspect(poison, fingerprint);
	uint32_t i;

	if (suspect == NULL)
		return false;
	suspect->all_serves++;
	if (suspect->crashes == 0 || ++suspect->serves < serves_needed(suspect))
		return false;
	for (i = 0; i < suspect->crashes; i++)
		excuse(suspect, suspect->crashed[i], false);
	suspect->must_tell |= suspect->crashes >= BL_POISON_CRASHES_MIN;
	suspect->crashes = suspect->trials = 0;
	return suspect->must_tell;
}

bool
bl_poison_excuse(struct bl_poison *poison, const struct bl_crash *crash)
{
	struct bl_suspect *suspect = take_suspect(poison, crash->fingerprint);
	uint32_t i;

	for (i = 0; i < excused_kept(suspect); i++) {
		if (suspect->excused[i].target_process != crash->target_process)
			continue;
		suspect->excused[i].told = true;
		suspect->must_tell &= has_untold_excuses(suspect);
		return false;
	}
	excuse(suspect, crash->target_process, true);
	for (i = 0; i < suspect->crashes; i++) {
		if (suspect->crashed[i] == crash->target_process)
			suspect->crashed[i] =
			    suspect->crashed[--suspect->crashes];
	}
	if (suspect->crashes < BL_POISON_CRASHES_MIN)
		suspect->trials = 0;
	return true;
}

void
bl_poison_tell(struct bl_poison *poison,
    void (*visit)(void *arg, const struct bl_crash *crash), void *arg)
{
	uint32_t i, k;

	for (i = 0; i < poison->suspect_count; i++) {
		struct bl_suspect *suspect = &poison->suspects[i];

		if (!suspect->must_tell)
			continue;
		suspect->must_tell = false;
		for (k = 0; k < excused_kept(suspect); k++) {
			if (suspect->excused[k].told)
				continue;
			suspect->excused[k].told = true;
			visit(arg, &(struct bl_crash){
				       .fingerprint = suspect->fingerprint,
				       .target_process =
					   suspect->excused[k].target_process,
				   });
		}
	}
}

void
bl_poison_seen_here(struct bl_poison *poison, uint64_t fingerprint)
{
	struct bl_suspect *suspect = find_suspect(poison, fingerprint);

	if (suspect != NULL)
		suspect->seen_here = true;
}

static bool
has_crashed_more(const struct bl_suspect *a, const struct bl_suspect *b)
{
	if (a->trials != b->trials)
		return a->trials > b->trials;
	return a->crashes > b->crashes;
}

static bool
is_explained(const struct bl_poison *poison, const struct bl_suspect *suspect,
    uint64_t target_process)
{
	uint32_t i;

	for (i = 0; i < poison->suspect_count; i++) {
		const struct bl_suspect *other = &poison->suspects[i];

		if (has_crashed_more(other, suspect) &&
		    has_crashed(other, target_process))
			return true;
	}
	return false;
}

bool
bl_is_poison(const struct bl_poison *poison, uint64_t fingerprint)
{
	const struct bl_suspect *suspect = bl_poison_find(poison, fingerprint);
	uint32_t unexplained = 0, i;

	if (suspect == NULL || suspect->crashes < BL_POISON_CRASHES_MIN)
		return false;
	for (i = 0; i < suspect->crashes; i++)
		unexplained +=
		    !is_explained(poison, suspect, suspect->crashed[i]);
	return unexplained >= BL_POISON_CRASHES_MIN;
}

/* The steps after which the VM of this rank may try a request. */
static int64_t
steps_of(uint32_t rank)
{
	int64_t steps = 0;

	for (; rank > 0; rank >>= 1)
		steps++;
	return steps;
}

int64_t
bl_poison_wait_us(const struct bl_poison *poison, uint64_t fingerprint,
    uint32_t rank, int64_t now_us)
{
	const struct bl_suspect *suspect = bl_poison_find(poison, fingerprint);
	int64_t until_us;

	if (suspect == NULL)
		return 0;
	until_us = suspect->seen_us + refused_us[suspect->trials] +
		   steps_of(rank) * TRIAL_STEP_US;
	if (until_us < suspect->trial_after_us)
		until_us = suspect->trial_after_us;
	return until_us > now_us ? until_us - now_us : 0;
}

void
bl_poison_claim(struct bl_poison *poison, uint64_t fingerprint, uint64_t ticket,
    int64_t now_us)
{
	struct bl_suspect *suspect = find_suspect(poison, fingerprint);

	if (suspect == NULL)
		return;
	suspect->claim = ticket;
	suspect->trial_after_us = now_us + CLAIM_LIFE_US;
}

bool
bl_poison_hear_claim(struct bl_poison *poison, uint64_t fingerprint,
    uint64_t ticket, int64_t now_us)
{
	struct bl_suspect *suspect = find_suspect(poison, fingerprint);

	if (suspect == NULL || suspect->heard_claim == ticket)
		return false;
	suspect->heard_claim = ticket;
	if (suspect->claim != 0 && suspect->claim <= ticket)
		return true;
	suspect->claim = 0;
	suspect->trial_after_us = now_us + CLAIM_LIFE_US;
	return true;
}

bool
bl_poison_try(
    const struct bl_poison *poison, uint64_t fingerprint, uint32_t *trials)
{
	const struct bl_suspect *suspect = bl_poison_find(poison, fingerprint);

	if (suspect == NULL || suspect->claim == 0)
		return false;
	*trials = suspect->trials + 1;
	return true;
}

void
bl_poison_tried(struct bl_poison *poison, uint64_t fingerprint, int64_t now_us)
{
	struct bl_suspect *suspect = find_suspect(poison, fingerprint);

	if (suspect == NULL || suspect->claim == 0)
		return;
	suspect->claim = 0;
	suspect->trial_after_us = now_us + TRIAL_STEP_US;
}
