/*
 * driver: simulates a few decision cores that receive events in random order:
 * calls and resends of their keys, delayed and lost messages, link resets,
 * false reports that a peer is dead, restarts and new tables. It checks the
 * cores' invariants during the simulation.
 */
#ifndef FZ_DRIVER_H
#define FZ_DRIVER_H

#include <stddef.h>
#include <stdint.h>

struct fz_result {
	const char *fault; /* violated invariant, NULL if none */
	uint64_t steps;
	uint64_t calls;
	uint64_t runs;	  /* attempts sent to a target */
	uint64_t not_run; /* calls refused with outcome not-run */
	uint64_t unknown; /* calls refused with outcome unknown */
	uint64_t replays;
	uint64_t restarts;
	uint64_t restores; /* of the store */
};

/*
 * fz_run_seed(seed, steps, result): simulates that many steps; their random
 * numbers come from the seed.
 */
void fz_run_seed(uint64_t seed, uint64_t steps, struct fz_result *result);
/*
 * fz_run_bytes(bytes, count, result): takes the random numbers from the input
 * of a fuzzer, one byte each, and ends when the input is used up.
 */
void fz_run_bytes(const uint8_t *bytes, size_t count, struct fz_result *result);

#endif
