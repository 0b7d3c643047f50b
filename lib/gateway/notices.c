/*
 * What targets say of themselves in responses: their load, their limit, that
 * they leave, and that they want nothing from this VM for some time. It holds
 * for the process that said it, whatever its registration says.
 */
#include "gateway_internal.h"

static void
set_leaving(struct gw *gw, struct bl_target *target, const char *source)
{
	if (!bl_set_leaving(target))
		return;
	gw->counters.leaving_heard++;
	cs_log(CS_LOG_TARGET_SAYS_LEAVING, "target=%s in_flight=%u from=%s",
	    target->id, target->in_flight, source);
	/* Waiting calls that have no target left are refused at once. */
	gw_dispatch_after(gw_pool_of_target(target), 0);
}

static void
hear_leaving(struct gw *gw, struct bl_target *target)
{
	if (target->leaving || target->pool == NULL)
		return;
	set_leaving(gw, target, "response");
	gw->params.events->on_leaving(
	    gw->params.user, bl_target_process(target));
}

static void
hear_pause(struct gw *gw, struct bl_target *target, int64_t pause_us)
{
	if (!bl_pause(target, pause_us, cs_now_us()))
		return;
	gw->counters.pauses_heard++;
	cs_log(CS_LOG_TARGET_PAUSES, "target=%s for_us=%lld in_flight=%u",
	    target->id, (long long)pause_us, target->in_flight);
}

void
gw_hear(
    struct gw *gw, struct bl_target *target, const struct h1_message *response)
{
	struct gw_pool *pool = gw_pool_of_target(target);
	struct bl_report report;

	gw->params.header_names->read_report(response, &report);
	gw->counters.invalid_fields += report.invalid_fields;
	bl_load_reported(
	    target, report.has_load ? &report.load : NULL, cs_now_us());
	if (report.has_load && pool != NULL)
		bl_queue_heard(&pool->queue, &report.load, cs_now_us());
	if (report.leaving)
		hear_leaving(gw, target);
	if (report.cold_left_us > 0)
		gw_hear_cold(gw, target, report.cold_left_us);
	if (report.pause_us > 0)
		hear_pause(gw, target, report.pause_us);
	if (report.invalid_fields == 0)
		gw_hear_limit(gw, target, report.has_limit, report.limit_per_s);
}

void
gw_hear_leaving(struct gw *gw, const struct bl_target *target,
    const struct h1_message *response)
{
	struct bl_report report;
	GHashTableIter iter;
	gpointer value;

	gw->params.header_names->read_report(response, &report);
	if (!report.leaving)
		return;
	g_hash_table_iter_init(&iter, gw->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bl_target *other = value;

		if (other->address.sin_addr.s_addr ==
			target->address.sin_addr.s_addr &&
		    other->address.sin_port == target->address.sin_port)
			hear_leaving(gw, other);
	}
}

bool
gw_add_leaving(struct gw *gw, uint64_t process)
{
	struct bl_target *target = g_hash_table_lookup(gw->processes, &process);

	if (target == NULL || target->leaving)
		return false;
	set_leaving(gw, target, "vm");
	return true;
}

void
gw_for_each_leaving(
    const struct gw *gw, void (*visit)(void *arg, uint64_t process), void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gw->processes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bl_target *target = value;

		if (target->leaving)
			visit(arg, target->process);
	}
}
