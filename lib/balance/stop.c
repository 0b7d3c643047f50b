/*
 * The moments of a planned stop. Load pattern: callers use open connections
 * until the process is gone, and may send requests at any moment of it, of any
 * length. Replayed by test_stop and scenario_test_gateway_stop.
 */
#include "balance_internal.h"

/*
 * Targets may be interrupted in the last sixth of the grace time, and calls are
 * answered as late as that leaves time for the responses to be sent.
 */
#define END_CALLS_DIVISOR 6
#define END_CALLS_BEFORE_KILL_MAX_US 600000
#define EXIT_DIVISOR 12
#define EXIT_BEFORE_KILL_MAX_US 300000
/*
 * Only requests that were sent this early may be broken off at the end; a
 * target then has had most of the grace time for them.
 */
#define LONG_ATTEMPTS_DIVISOR 2
#define LONG_ATTEMPTS_MAX_US 3000000
/* Requests that cross the close of an idle connection are still read. */
#define CLOSE_IDLE_BEFORE_KILL_US 1100000
/* Some callers cache a directory response for three times its TTL. */
#define DIRECTORY_CACHE_FACTOR 3
#define DIRECTORY_TTL_MAX_MS 1400
#define DIRECTORY_TTL_MIN_MS 100
#define DIRECTORY_MARGIN_US 100000 /* for a response in transit */

static int64_t
smaller(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
directory_ttl_ms(int64_t grace_us)
{
	int64_t usable_us =
	    grace_us - CLOSE_IDLE_BEFORE_KILL_US - DIRECTORY_MARGIN_US;
	int64_t ttl_ms = usable_us / DIRECTORY_CACHE_FACTOR / 1000;

	if (ttl_ms < DIRECTORY_TTL_MIN_MS)
		return DIRECTORY_TTL_MIN_MS;
	return smaller(ttl_ms, DIRECTORY_TTL_MAX_MS);
}

void
bl_plan_stop(int64_t grace_us, struct bl_stop_plan *out)
{
	int64_t end_before_us =
	    smaller(grace_us / END_CALLS_DIVISOR, END_CALLS_BEFORE_KILL_MAX_US);
	int64_t exit_before_us =
	    smaller(grace_us / EXIT_DIVISOR, EXIT_BEFORE_KILL_MAX_US);

	out->directory_ttl_ms = directory_ttl_ms(grace_us);
	out->close_idle_us =
	    out->directory_ttl_ms * 1000 * DIRECTORY_CACHE_FACTOR +
	    DIRECTORY_MARGIN_US;
	out->long_attempts_until_us =
	    smaller(grace_us / LONG_ATTEMPTS_DIVISOR, LONG_ATTEMPTS_MAX_US);
	out->end_calls_us = grace_us - end_before_us;
	out->exit_us = grace_us - exit_before_us;
	if (out->close_idle_us > out->end_calls_us)
		out->close_idle_us = out->end_calls_us;
}
