/*
 * What a VM that stops may still begin, by the moments of struct bl_stop_plan.
 */
#include "gateway_internal.h"

bool
gw_outlasts_stop(const struct gw_call *call)
{
	return call->deadline_us + GW_TIMEOUT_MARGIN_US >
	       call->gw->end_calls_us;
}

bool
gw_may_send(const struct gw_call *call)
{
	const struct gw *gw = call->gw;

	return !gw->stopping || !gw_outlasts_stop(call) ||
	       cs_now_us() < gw->long_attempts_until_us;
}
