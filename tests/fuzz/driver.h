/*
 * driver: runs a few cores side by side under events in random order: calls
 * and resends, late and lost messages, broken links, false reports of death,
 * restarts, new tables. Checks the invariants as it goes.
 */
#ifndef FZ_DRIVER_H
#define FZ_DRIVER_H

#include <stddef.h>
#include <stdint.h>

struct fz_result {
	const char *fault; /* NULL: every invariant held */
	uint64_t steps;
	uint64_t calls;
	uint64_t runs;	  /* requests that reached a target */
	uint64_t not_run; /* refusals that said so */
	uint64_t unknown;
	uint64_t replays;
	uint64_t restarts;
};

/* fz_run_seed(seed, steps, result): draws the order from the seed. */
void fz_run_seed(uint64_t seed, uint64_t steps, struct fz_result *result);
/* fz_run_bytes(bytes, count, result): draws it from a fuzzer's input. */
void fz_run_bytes(const uint8_t *bytes, size_t count, struct fz_result *result);

#endif
