/*
 * Quotas of tenants: a call that needs credit waits for the answer of the
 * tenant's owner, and is refused if the tenant is over its quota. Answers as an
 * owner, and exchanges shares with those of other regions. lib/balance/quota.c
 * decides; who the owner is, and the way to it, is known to the user of the
 * gateway.
 */
#include <stdlib.h>
#include <string.h>

#include "../balance/quota.h"
#include "gateway_internal.h"

#define WAITING_MAX 512 /* per tenant */

struct gw_quota {
	struct bl_quota balance;
	char name[RT_NAME_BYTES_MAX];
	struct gw_call *waiting; /* for an answer, in order of arrival */
	uint32_t waiting_count;
};

static const struct bl_quota_params *
params_of(const struct gw *gw)
{
	return &gw->params.quota;
}

static bool
has_quotas(const struct gw *gw)
{
	return gw->quotas != NULL;
}

/* Returns the quota of the tenant, or NULL if it has no limit. */
static struct gw_quota *
find_quota(const struct gw *gw, uint64_t tenant)
{
	struct gw_quota *quota =
	    has_quotas(gw) ? g_hash_table_lookup(gw->quotas, &tenant) : NULL;

	return quota != NULL && quota->balance.rate_per_s > 0.0 ? quota : NULL;
}

static void
set_owned(struct gw_quota *quota, bool was_owned)
{
	if (quota->balance.owns != was_owned)
		cs_log(CS_LOG_QUOTA_OWNED, "tenant=%s owned=%d", quota->name,
		    quota->balance.owns);
}

static void
disown(struct gw_quota *quota)
{
	bool was_owned = quota->balance.owns;

	bl_quota_disown(&quota->balance);
	set_owned(quota, was_owned);
}

/* Returns true if this VM may act as the owner of the tenant. */
static bool
is_owner(struct gw *gw, struct gw_quota *quota)
{
	bool was_owned = quota->balance.owns;

	if (!gw->sees_majority || !gw->params.events->on_quota_owner(
				      gw->params.user, quota->balance.tenant)) {
		disown(quota);
		return false;
	}
	bl_quota_own(&quota->balance, params_of(gw),
	    (uint32_t)cs_random_next(&gw->random), cs_boot_us());
	set_owned(quota, was_owned);
	return true;
}

/* After a pause of this process other VMs may own what it owned. */
static void
notice_pause(struct gw *gw)
{
	int64_t now_us = cs_boot_us();
	GHashTableIter iter;
	gpointer quota;

	if (now_us - gw->quota_tick_us >= BL_QUOTA_PAUSE_US) {
		g_hash_table_iter_init(&iter, gw->quotas);
		while (g_hash_table_iter_next(&iter, NULL, &quota))
			disown(quota);
		gw->quota_tick_us = now_us;
	}
}

static void
tell_regions(struct gw *gw, struct gw_quota *quota, uint32_t heard)
{
	struct bl_quota_share share;
	uint32_t region;

	for (region = 0; region < params_of(gw)->region_count; region++) {
		if (bl_quota_tell(&quota->balance, params_of(gw), region,
			region == heard, cs_boot_us(), &share))
			gw->params.events->on_quota_share(
			    gw->params.user, region, &share);
	}
}

static void
ask(struct gw *gw, struct gw_quota *quota)
{
	struct bl_quota_ask question;

	gw->counters.quota_asked++;
	bl_quota_ask(
	    &quota->balance, quota->waiting_count, cs_boot_us(), &question);
	gw->params.events->on_quota_ask(gw->params.user, &question);
}

/* Decides on a call that waits. It has waited long enough if give_up is set. */
static void
retake(struct gw *gw, struct gw_quota *quota, bool give_up,
    struct bl_quota_decision *out)
{
	/* The tenant has no limit any more. */
	if (quota->balance.rate_per_s <= 0.0)
		*out = (struct bl_quota_decision){.verdict = BL_QUOTA_ADMIT};
	else if (give_up)
		bl_quota_give_up(
		    &quota->balance, params_of(gw), cs_boot_us(), out);
	else
		bl_quota_retake(
		    &quota->balance, params_of(gw), cs_boot_us(), out);
}

/* Carries out a decision on a call that does not wait any more. */
static void
apply(struct gw_call *call, const struct bl_quota_decision *decision)
{
	struct gw *gw = call->gw;

	switch (decision->verdict) {
	case BL_QUOTA_ADMIT:
		gw->callbacks->admitted(call);
		break;
	case BL_QUOTA_OVER:
		gw_respond_error(
		    call, 429, GW_OVER_QUOTA, decision->retry_after_us);
		break;
	case BL_QUOTA_UNKNOWN:
		gw_respond_error(
		    call, 503, GW_QUOTA_UNKNOWN, decision->retry_after_us);
		break;
	case BL_QUOTA_WAIT:
		break;
	}
}

/*
 * Decides again on the calls that wait, after an answer. Each call may bring
 * another one of its connection, which is appended to the list or answered.
 */
static void
serve_waiting(struct gw *gw, struct gw_quota *quota)
{
	struct bl_quota_decision decision;
	bool must_ask = false;

	while (quota->waiting != NULL) {
		struct gw_call *call = quota->waiting;

		retake(gw, quota, false, &decision);
		must_ask |= decision.ask;
		if (decision.verdict == BL_QUOTA_WAIT)
			break;
		gw_dequeue(call);
		apply(call, &decision);
	}
	if (must_ask)
		ask(gw, quota);
}

static void
on_answer_overdue(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;
	struct gw *gw = call->gw;
	struct gw_quota *quota = call->quota;
	struct bl_quota_decision decision;
	bool give_up =
	    cs_boot_us() - call->quota_since_boot_us >= BL_QUOTA_WAIT_US;

	retake(gw, quota, give_up, &decision);
	if (decision.verdict == BL_QUOTA_WAIT) {
		uv_timer_start(&call->step_timer, on_answer_overdue,
		    BL_QUOTA_REPLY_US / 1000, 0);
	} else {
		gw_dequeue(call);
		apply(call, &decision);
	}
	if (decision.ask)
		ask(gw, quota);
}

static void
enqueue(struct gw_call *call, struct gw_quota *quota)
{
	struct gw_call **at = &quota->waiting;

	while (*at != NULL)
		at = &(*at)->next;
	call->next = NULL;
	*at = call;
	quota->waiting_count++;
	call->quota = quota;
	call->quota_since_boot_us = cs_boot_us();
	call->wait_from_us = cs_now_us();
	call->state = GW_CALL_AWAITING_QUOTA;
	uv_timer_start(
	    &call->step_timer, on_answer_overdue, BL_QUOTA_REPLY_US / 1000, 0);
}

void
gw_dequeue_from_quota(struct gw_call *call)
{
	struct gw_call **at = &call->quota->waiting;

	while (*at != call)
		at = &(*at)->next;
	*at = call->next;
	call->quota->waiting_count--;
	call->quota = NULL;
}

void
gw_take_quota(struct gw_call *call)
{
	struct gw *gw = call->gw;
	struct gw_quota *quota =
	    call->tenant == NULL ? NULL : find_quota(gw, call->tenant->hash);
	struct bl_quota_decision decision;

	if (quota == NULL) {
		gw->callbacks->admitted(call);
		return;
	}
	notice_pause(gw);
	bl_quota_take(&quota->balance, params_of(gw), cs_boot_us(), &decision);
	if (decision.verdict == BL_QUOTA_WAIT &&
	    quota->waiting_count == WAITING_MAX)
		retake(gw, quota, true, &decision);
	if (decision.verdict == BL_QUOTA_WAIT)
		enqueue(call, quota);
	else
		apply(call, &decision);
	/* The answer may come during this, and end the call. */
	if (decision.ask)
		ask(gw, quota);
}

bool
gw_view_quota(
    const struct gw *gw, uint64_t tenant, struct bl_quota_decision *out)
{
	const struct gw_quota *quota = find_quota(gw, tenant);
	struct bl_quota copy;

	if (quota == NULL)
		return false;
	copy = quota->balance;
	bl_quota_take(&copy, params_of(gw), cs_boot_us(), out);
	return true;
}

int
gw_answer_quota_ask(struct gw *gw, const struct bl_quota_ask *question,
    struct bl_quota_grant *out)
{
	struct gw_quota *quota = find_quota(gw, question->tenant);

	if (quota == NULL)
		return CS_E_MISSING;
	notice_pause(gw);
	*out = (struct bl_quota_grant){.tenant = question->tenant,
	    .number = question->number,
	    .region = -1};
	if (!is_owner(gw, quota))
		return CS_OK;
	bl_quota_grant(
	    &quota->balance, params_of(gw), question, cs_boot_us(), out);
	gw->counters.quota_given += out->count;
	tell_regions(gw, quota, BL_QUOTA_REGIONS_MAX);
	return CS_OK;
}

void
gw_add_quota_grant(struct gw *gw, const struct bl_quota_grant *grant)
{
	struct gw_quota *quota = find_quota(gw, grant->tenant);

	if (quota == NULL ||
	    !bl_quota_granted(&quota->balance, grant, cs_boot_us()))
		return;
	gw->counters.quota_granted += grant->count;
	serve_waiting(gw, quota);
}

void
gw_hear_quota_share(struct gw *gw, const struct bl_quota_share *share)
{
	struct gw_quota *quota = find_quota(gw, share->tenant);

	if (quota == NULL)
		return;
	notice_pause(gw);
	if (!is_owner(gw, quota))
		return;
	bl_quota_hear(&quota->balance, params_of(gw), share, cs_boot_us());
	tell_regions(gw, quota, share->region);
}

void
gw_set_quota_listing(struct gw *gw, const struct bl_quota_listing *listing)
{
	gw->params.quota.listing = *listing;
}

int64_t
gw_quota_owner_since_us(const struct gw *gw)
{
	GHashTableIter iter;
	gpointer value;
	int64_t since_us = 0;

	if (!has_quotas(gw))
		return 0;
	g_hash_table_iter_init(&iter, gw->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bl_quota *quota =
		    &((const struct gw_quota *)value)->balance;

		if (quota->owns && quota->owns_since_us > since_us)
			since_us = quota->owns_since_us;
	}
	return since_us;
}

/*
 * While a region has no VM, a list of VMs counts for what this VM owns when it
 * asks for the list. So it does not wait for the first request of a tenant.
 */
static bool
may_become_owner(const struct gw *gw, const struct gw_quota *quota)
{
	return params_of(gw)->listing.empty != 0 &&
	       quota->balance.rate_per_s > 0.0;
}

void
gw_tick_quotas(struct gw *gw)
{
	GHashTableIter iter;
	gpointer value;

	if (!has_quotas(gw))
		return;
	notice_pause(gw);
	gw->quota_tick_us = cs_boot_us();
	g_hash_table_iter_init(&iter, gw->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gw_quota *quota = value;

		if ((quota->balance.owns || may_become_owner(gw, quota)) &&
		    is_owner(gw, quota))
			tell_regions(gw, quota, BL_QUOTA_REGIONS_MAX);
	}
}

static struct gw_quota *
quota_for(struct gw *gw, const struct rt_tenant *tenant)
{
	struct gw_quota *quota = g_hash_table_lookup(gw->quotas, &tenant->hash);

	if (quota != NULL)
		return quota;
	quota = calloc(1, sizeof(*quota));
	if (quota == NULL)
		return NULL;
	quota->balance.tenant = tenant->hash;
	cs_copy_text(quota->name, sizeof(quota->name), tenant->name);
	g_hash_table_insert(gw->quotas, &quota->balance.tenant, quota);
	return quota;
}

/* Frees the quotas of tenants without a limit that no call waits for. */
static gboolean
is_obsolete(gpointer key, gpointer value, gpointer arg)
{
	const struct gw_quota *quota = value;

	(void)key;
	(void)arg;
	return quota->balance.rate_per_s <= 0.0 && quota->waiting == NULL;
}

void
gw_set_quotas(struct gw *gw, const struct rt_table *table)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (params_of(gw)->window_us == 0)
		return;
	if (gw->quotas == NULL) {
		gw->quotas = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, free);
		gw->quota_tick_us = cs_boot_us();
	}
	g_hash_table_iter_init(&iter, gw->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bl_quota_set(&((struct gw_quota *)value)->balance, 0.0, 0.0);
	for (i = 0; i < table->tenant_count; i++) {
		const struct rt_tenant *tenant = &table->tenants[i];
		struct gw_quota *quota =
		    tenant->rate_per_s > 0.0 ? quota_for(gw, tenant) : NULL;

		if (quota != NULL)
			bl_quota_set(
			    &quota->balance, tenant->rate_per_s, tenant->burst);
	}
	g_hash_table_foreach_remove(gw->quotas, is_obsolete, NULL);
}

void
gw_for_each_awaiting_quota(struct gw *gw, int64_t received_before_us,
    void (*visit)(struct gw_call *call, int64_t received_before_us))
{
	GHashTableIter iter;
	gpointer value;

	if (!has_quotas(gw))
		return;
	g_hash_table_iter_init(&iter, gw->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(((struct gw_quota *)value)->waiting, received_before_us);
}
