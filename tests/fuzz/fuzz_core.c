/* libFuzzer entry point: runs the random-order driver on the fuzzer's input. */
#include <stdio.h>
#include <stdlib.h>

#include "driver.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
	struct fz_result result;

	fz_run_bytes(bytes, count, &result);
	if (result.fault != NULL) {
		fprintf(stderr, "%s\n", result.fault);
		abort();
	}
	return 0;
}
