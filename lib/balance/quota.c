/*
 * Requests of a tenant at one VM: spends credit of the region's owner, and asks
 * for more. Load pattern: most tenants send a request now and then to each VM,
 * so that credit comes with one round trip within the region; a VM that sees
 * steady demand asks before its credit is used up, and for several requests at
 * once. Without an answer the VM spends its part of a small allowance.
 */
#include <math.h>
#include <stddef.h>

#include "../base/base.h"
#include "quota.h"

/* Credit for the requests of so much time is asked for at once. */
#define ASK_AHEAD_S 0.2
/* With so many requests expected in that time credit is asked for ahead. */
#define ASK_AHEAD_MIN 2.0
/* The next question is sent when credit for less than so much time is left. */
#define ASK_LEAD_S 0.05
#define COUNT_MAX 1000
/*
 * Credit that was void before it was used is returned with the next question,
 * if that comes within this time. Later it might come back from many VMs at
 * once, and exceed the quota of a window.
 */
#define RETURN_US 500000
/* Time constant of the average of arrivals. */
#define ARRIVALS_TIME_US 300000.0
/* An owner that did not answer is asked again this often, without a wait. */
#define SILENT_US 250000
/* Half of what the bound allows beyond rate and burst is the allowance. */
#define ALLOWANCE_SHARE 0.5
#define RETRY_UNKNOWN_US 500000
/* Other VMs ask as well when there is credit again. */
#define RETRY_OVER_MIN_US 100000

void
bl_quota_set(struct bl_quota *quota, double rate_per_s, double burst)
{
	quota->rate_per_s = rate_per_s;
	quota->burst = burst;
}

static void
count_arrival(struct bl_quota *quota, int64_t now_us)
{
	double age_us = (double)(now_us - quota->arrived_us);

	quota->arrivals_per_s =
	    quota->arrivals_per_s * exp(-age_us / ARRIVALS_TIME_US) +
	    1e6 / ARRIVALS_TIME_US;
	quota->arrived_us = now_us;
	quota->arrived++;
}

static void
add_unspent(struct bl_quota *quota, const struct bl_quota_credit *credit)
{
	if (credit->count == 0)
		return;
	if (credit->until_us - quota->unspent_us > RETURN_US)
		quota->unspent = 0;
	quota->unspent += credit->count;
	quota->unspent_us = credit->until_us;
}

/* Notes the credit that is void now. */
static void
expire_credit(struct bl_quota *quota, int64_t now_us)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		if (now_us < quota->credits[i].until_us)
			continue;
		add_unspent(quota, &quota->credits[i]);
		quota->credits[i].count = 0;
	}
}

/* Returns the valid credit that expires first, or NULL. */
static struct bl_quota_credit *
find_credit(struct bl_quota *quota, int64_t now_us)
{
	struct bl_quota_credit *best = NULL;
	size_t i;

	for (i = 0; i < 2; i++) {
		struct bl_quota_credit *credit = &quota->credits[i];

		if (credit->count > 0 && now_us < credit->until_us &&
		    (best == NULL || credit->until_us < best->until_us))
			best = credit;
	}
	return best;
}

static uint32_t
valid_credit(const struct bl_quota *quota, int64_t now_us)
{
	uint32_t i, count = 0;

	for (i = 0; i < 2; i++)
		count += now_us < quota->credits[i].until_us
			     ? quota->credits[i].count
			     : 0;
	return count;
}

static bool
is_asking(const struct bl_quota *quota, int64_t now_us)
{
	int64_t asked_us = quota->asked_us[quota->number % 2];

	return asked_us != 0 && now_us - asked_us < BL_QUOTA_REPLY_US;
}

/* Returns a number from 0 to 1, always the same one for these two. */
static double
draw(uint64_t a, uint64_t b)
{
	return (double)(cs_hash_pair(a, b) >> 11) /
	       9007199254740992.0; /* 2^53 */
}

/*
 * Spends from this VM's part of the allowance for VMs without an owner. Half of
 * it may be spent at once and half in the course of a window, so that no window
 * has more. Of parts below one request, so many VMs may spend one as the
 * allowance has requests. A process may have spent it just before it restarted:
 * a new one starts to spend at a time drawn from the first window, so that
 * repeated restarts spend no more than one part in each window on average.
 */
static bool
take_allowance(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us)
{
	double window_s = (double)params->window_us / 1e6;
	double part =
	    ALLOWANCE_SHARE *
	    (params->excess * (quota->rate_per_s * window_s + quota->burst) +
		params->slack) /
	    (params->node_count > 0 ? params->node_count : 1);
	double whole = floor(part);
	double drawn = draw(params->own_hash, quota->tenant);
	double at_once, interval_us, delay_us;

	delay_us = draw(cs_hash_pair(params->own_hash, quota->tenant),
		       (uint64_t)params->started_us) *
		   (double)params->window_us;
	if (params->node_count == 0 ||
	    (double)(now_us - params->started_us) < delay_us)
		return false;
	whole += drawn < part - whole;
	if (whole < 1.0)
		return false;
	at_once = whole < 2.0 ? 1.0 : floor(whole / 2.0);
	interval_us = (double)params->window_us /
		      (whole > at_once ? whole - at_once : 1.0);
	if (quota->allowance_from_us < now_us)
		quota->allowance_from_us = now_us;
	if ((double)(quota->allowance_from_us - now_us) >
	    (at_once - 1.0) * interval_us)
		return false;
	quota->allowance_from_us += (int64_t)interval_us;
	return true;
}

static void
decide_without_owner(struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us,
    struct bl_quota_decision *out)
{
	if (take_allowance(quota, params, now_us)) {
		out->verdict = BL_QUOTA_ADMIT;
		return;
	}
	out->verdict = BL_QUOTA_UNKNOWN;
	out->retry_after_us = RETRY_UNKNOWN_US;
}

/* Whether to ask ahead: the credit that is left will not last. */
static bool
is_running_short(const struct bl_quota *quota, int64_t now_us)
{
	return quota->arrivals_per_s * ASK_AHEAD_S >= ASK_AHEAD_MIN &&
	       valid_credit(quota, now_us) <
		   quota->arrivals_per_s * ASK_LEAD_S + 1.0;
}

/* Decides on a request without credit. */
static void
decide_without_credit(struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us,
    struct bl_quota_decision *out)
{
	if (now_us < quota->refused_until_us) {
		out->verdict = BL_QUOTA_OVER;
		out->retry_after_us = quota->refused_until_us - now_us;
		if (out->retry_after_us < RETRY_OVER_MIN_US)
			out->retry_after_us = RETRY_OVER_MIN_US;
		return;
	}
	out->ask = !is_asking(quota, now_us);
	if (now_us < quota->silent_until_us)
		decide_without_owner(quota, params, now_us, out);
	else
		out->verdict = BL_QUOTA_WAIT;
}

void
bl_quota_take(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us, struct bl_quota_decision *out)
{
	struct bl_quota_credit *credit = find_credit(quota, now_us);

	*out = (struct bl_quota_decision){.verdict = BL_QUOTA_ADMIT};
	count_arrival(quota, now_us);
	if (credit == NULL) {
		decide_without_credit(quota, params, now_us, out);
		return;
	}
	credit->count--;
	out->ask = !is_asking(quota, now_us) &&
		   now_us >= quota->refused_until_us &&
		   is_running_short(quota, now_us);
}

void
bl_quota_ask(struct bl_quota *quota, uint32_t waiting, int64_t now_us,
    struct bl_quota_ask *out)
{
	double ahead = quota->arrivals_per_s * ASK_AHEAD_S;
	uint32_t count = waiting;

	if (ahead >= ASK_AHEAD_MIN && ahead > waiting)
		count = (uint32_t)ceil(ahead);
	if (count > COUNT_MAX)
		count = COUNT_MAX;
	expire_credit(quota, now_us);
	if (now_us - quota->unspent_us > RETURN_US)
		quota->unspent = 0;
	quota->number++;
	quota->asked_us[quota->number % 2] = now_us;
	*out = (struct bl_quota_ask){
	    .tenant = quota->tenant,
	    .number = quota->number,
	    .count = count > 0 ? count : 1,
	    .arrived = quota->arrived,
	    .unspent = quota->unspent,
	};
	quota->arrived = quota->unspent = 0;
}

bool
bl_quota_granted(
    struct bl_quota *quota, const struct bl_quota_grant *grant, int64_t now_us)
{
	int64_t *asked_us = &quota->asked_us[grant->number % 2];
	struct bl_quota_credit *into = &quota->credits[0];
	int64_t until_us = *asked_us + BL_QUOTA_CREDIT_US;

	if (*asked_us == 0 || (uint8_t)(quota->number - grant->number) > 1)
		return false;
	/* A new owner can tell soon: it is asked again as if it were silent. */
	if (grant->count == 0 && grant->wait_us == 0)
		return false;
	*asked_us = 0;
	quota->silent_until_us = 0;
	if (grant->wait_us > 0)
		quota->refused_until_us = now_us + grant->wait_us;
	if (grant->count == 0)
		return true;
	expire_credit(quota, now_us);
	/* The credit that expires first, or is used up, gives way. */
	if (into->count > 0 && (quota->credits[1].count == 0 ||
				   quota->credits[1].until_us < into->until_us))
		into = &quota->credits[1];
	if (into->count > 0) {
		into->until_us = now_us;
		add_unspent(quota, into);
	}
	*into = (struct bl_quota_credit){
	    .count = grant->count, .until_us = until_us};
	return true;
}

void
bl_quota_retake(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us, struct bl_quota_decision *out)
{
	struct bl_quota_credit *credit = find_credit(quota, now_us);

	*out = (struct bl_quota_decision){.verdict = BL_QUOTA_ADMIT};
	if (credit != NULL)
		credit->count--;
	else
		decide_without_credit(quota, params, now_us, out);
}

void
bl_quota_give_up(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us, struct bl_quota_decision *out)
{
	bl_quota_retake(quota, params, now_us, out);
	if (out->verdict != BL_QUOTA_WAIT)
		return;
	quota->silent_until_us = now_us + SILENT_US;
	decide_without_owner(quota, params, now_us, out);
}
