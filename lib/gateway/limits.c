/*
 * Limits that targets name: hears them, asks the owners of the targets for
 * permits and answers as an owner. Who the owner is, and the way to it, is
 * known to the user of the gateway.
 */
#include "gateway_internal.h"

/* While a limit changes all the time, the other VMs are told this often. */
#define TELL_INTERVAL_US 100000

static void
limit_changed(struct gw *gw, const struct bl_target *target, const char *source)
{
	gw->counters.limits_heard++;
	cs_log(CS_LOG_TARGET_LIMITED, "target=%s limited=%d per_s=%g from=%s",
	    target->id, target->limit.in_force, target->limit.per_s, source);
}

void
gw_hear_limit(
    struct gw *gw, struct bl_target *target, bool has_limit, double limit_per_s)
{
	struct bl_limit_report report = {.has_limit = has_limit,
	    .per_s = limit_per_s,
	    .heard_us = cs_now_us()};
	bool was_in_force = target->limit.in_force;

	if (!bl_limit_heard(target, &report))
		return;
	limit_changed(gw, target, "response");
	if (was_in_force == has_limit &&
	    report.heard_us - target->limit.told_us < TELL_INTERVAL_US)
		return;
	target->limit.told_us = report.heard_us;
	gw->params.events->on_limit(
	    gw->params.user, bl_target_process(target), &report);
}

void
gw_ask_permit(struct gw *gw, struct bl_target *target, int64_t wait_max_us)
{
	struct bl_ask ask;

	gw->counters.permits_asked++;
	bl_limit_ask(target, wait_max_us, cs_now_us(), &ask);
	gw->params.events->on_ask(gw->params.user, &ask, target->data_centre);
}

static struct bl_target *
find_process(const struct gw *gw, uint64_t process)
{
	return g_hash_table_lookup(gw->processes, &process);
}

bool
gw_add_limit(
    struct gw *gw, uint64_t process, const struct bl_limit_report *report)
{
	struct bl_target *target = find_process(gw, process);

	if (target == NULL || !bl_limit_heard(target, report))
		return false;
	limit_changed(gw, target, "vm");
	return true;
}

int
gw_answer_ask(struct gw *gw, const struct bl_ask *ask, struct bl_permit *out)
{
	struct bl_target *target = find_process(gw, ask->target_process);

	if (target == NULL)
		return CS_E_MISSING;
	if (gw->params.limit_cold_targets)
		gw_void_after_pause(gw);
	if (gw->sees_majority)
		bl_limit_grant(target, ask, cs_now_us(), out);
	else
		bl_limit_grant_apart(target, ask, cs_now_us(), out);
	gw->counters.permits_given += out->count;
	return CS_OK;
}

void
gw_add_permit(struct gw *gw, const struct bl_permit *permit)
{
	struct bl_target *target = find_process(gw, permit->target_process);

	if (target == NULL)
		return;
	if (bl_limit_granted(target, permit, cs_now_us()))
		limit_changed(gw, target, "owner");
	gw->counters.permits_granted += permit->count;
	cs_log(CS_LOG_PERMIT_ANSWERED,
	    "target=%s permits=%u wait_us=%lld ask_again_us=%lld per_s=%g",
	    target->id, permit->count, (long long)permit->wait_us,
	    (long long)permit->ask_again_us, target->limit.per_s);
	gw_dispatch_after(
	    gw_pool_of_target(target), (uint64_t)(permit->wait_us / 1000));
}

void
gw_for_each_limit(const struct gw *gw,
    void (*visit)(
	void *arg, uint64_t process, const struct bl_limit_report *limit),
    void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gw->processes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bl_target *target = value;

		if (target->limit.in_force)
			visit(arg, target->process,
			    &(struct bl_limit_report){.has_limit = true,
				.per_s = target->limit.per_s,
				.heard_us = target->limit.heard_us});
	}
}
