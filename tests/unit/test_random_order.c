/* Runs a million random steps over three cores; each invariant must hold. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "../fuzz/driver.h"

#define SEEDS 10
#define STEPS_PER_SEED 100000

static void
test_invariants_hold_in_any_order(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct fz_result r;

		fz_run_seed(seed, STEPS_PER_SEED, &r);
		printf("seed %llu: %llu calls, %llu runs, %llu not-run, "
		       "%llu unknown, %llu replays, %llu restarts, "
		       "%llu restores\n",
		    (unsigned long long)seed, (unsigned long long)r.calls,
		    (unsigned long long)r.runs, (unsigned long long)r.not_run,
		    (unsigned long long)r.unknown,
		    (unsigned long long)r.replays,
		    (unsigned long long)r.restarts,
		    (unsigned long long)r.restores);
		if (r.fault != NULL)
			fail_msg("seed %llu step %llu: %s",
			    (unsigned long long)seed,
			    (unsigned long long)r.steps, r.fault);
	}
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_invariants_hold_in_any_order),
	};
	struct fz_result r;

	/* With a seed as argument, runs just that seed. */
	if (argc == 2) {
		fz_run_seed(strtoull(argv[1], NULL, 10), STEPS_PER_SEED, &r);
		puts(r.fault != NULL ? r.fault : "ok");
		return r.fault != NULL;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
