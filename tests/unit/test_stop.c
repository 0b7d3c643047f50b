/*
 * The moments of a planned stop, for each grace time that a platform may give.
 * Guards against open calls that end without a response (LOST): review/5, and
 * moments that do not fit into a short grace time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"

#define MS INT64_C(1000)
/* Some callers cache a directory response for three times its TTL. */
#define CACHE_FACTOR 3

static const int64_t graces_ms[] = {
    1000, 2000, 3000, 3600, 4500, 6000, 10000, 30000};
#define GRACES (sizeof(graces_ms) / sizeof(graces_ms[0]))

static void
test_moments_are_in_order(void **state)
{
	struct bl_stop_plan plan;
	size_t i;

	(void)state;
	for (i = 0; i < GRACES; i++) {
		bl_plan_stop(graces_ms[i] * MS, &plan);
		assert_true(plan.directory_ttl_ms > 0);
		assert_true(plan.close_idle_us > 0);
		assert_true(plan.long_attempts_until_us > 0);
		assert_true(plan.long_attempts_until_us < plan.end_calls_us);
		assert_true(plan.close_idle_us <= plan.end_calls_us);
		assert_true(plan.end_calls_us < plan.exit_us);
		assert_true(plan.exit_us < graces_ms[i] * MS);
	}
}

/* A target may be interrupted only in the last sixth of the grace time. */
static void
test_targets_are_interrupted_in_the_last_sixth_only(void **state)
{
	struct bl_stop_plan plan;
	size_t i;

	(void)state;
	for (i = 0; i < GRACES; i++) {
		bl_plan_stop(graces_ms[i] * MS, &plan);
		assert_true(plan.end_calls_us * 6 >= graces_ms[i] * MS * 5);
	}
}

/* Callers have time to learn of other VMs before connections are refused. */
static void
test_cached_directory_expires_before_connections_close(void **state)
{
	struct bl_stop_plan plan;
	size_t i;

	(void)state;
	for (i = 0; i < GRACES; i++) {
		bl_plan_stop(graces_ms[i] * MS, &plan);
		assert_true(plan.directory_ttl_ms * MS * CACHE_FACTOR <
			    plan.close_idle_us);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_moments_are_in_order),
	    cmocka_unit_test(
		test_targets_are_interrupted_in_the_last_sixth_only),
	    cmocka_unit_test(
		test_cached_directory_expires_before_connections_close),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
