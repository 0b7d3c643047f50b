/*
 * Cold targets: hears that a target is cold, and voids what this VM holds of
 * their limits when its process did not run for a while. See
 * lib/balance/limit.c
 */
#include "gateway_internal.h"

/*
 * CLOCK_MONOTONIC stops while the VM is frozen and CLOCK_BOOTTIME does not. The
 * clocks are read one after the other, which takes far less than this.
 */
#define PAUSE_MIN_US 20000

static void
set_cold(struct gw *gw, struct bl_target *target, int64_t left_us,
    const char *source)
{
	gw->counters.cold_heard++;
	cs_log(CS_LOG_TARGET_COLD, "target=%s for_us=%lld from=%s", target->id,
	    (long long)left_us, source);
}

static bool
is_limited_when_cold(const struct bl_target *target)
{
	return target->pool != NULL && target->pool->cold_per_s > 0.0;
}

void
gw_hear_cold(struct gw *gw, struct bl_target *target, int64_t left_us)
{
	if (!is_limited_when_cold(target) ||
	    !bl_limit_set_cold(target, left_us, cs_now_us()))
		return;
	set_cold(gw, target, left_us, "response");
	gw->params.events->on_cold(
	    gw->params.user, bl_target_process(target), left_us);
}

bool
gw_add_cold(struct gw *gw, uint64_t process, int64_t left_us)
{
	struct bl_target *target = g_hash_table_lookup(gw->processes, &process);

	if (target == NULL || !is_limited_when_cold(target) ||
	    !bl_limit_set_cold(target, left_us, cs_now_us()))
		return false;
	set_cold(gw, target, left_us, "vm");
	return true;
}

void
gw_set_cold_until(
    struct gw *gw, struct bl_target *target, int64_t warm_up_left_ms)
{
	if (is_limited_when_cold(target)) {
		/* An older registration does not end what a probe told. */
		if (bl_limit_set_cold(
			target, warm_up_left_ms * 1000, cs_now_us()))
			set_cold(
			    gw, target, warm_up_left_ms * 1000, "registration");
		return;
	}
	target->warm_up_until_us =
	    warm_up_left_ms > 0 ? cs_now_us() + warm_up_left_ms * 1000 : 0;
}

void
gw_set_majority(struct gw *gw, bool sees_majority)
{
	gw->sees_majority = sees_majority;
}

void
gw_void_after_pause(struct gw *gw)
{
	int64_t offset_us = cs_boot_us() - cs_now_us();
	int64_t grown_us = offset_us - gw->boot_offset_us;
	GHashTableIter iter;
	gpointer value;

	if (grown_us < PAUSE_MIN_US)
		return;
	gw->boot_offset_us = offset_us;
	g_hash_table_iter_init(&iter, gw->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bl_target *target = value;

		if (is_limited_when_cold(target))
			bl_limit_void(target);
	}
}
