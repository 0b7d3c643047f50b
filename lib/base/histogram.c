/* Log-linear histogram: 16 linear steps in each power of two. */
#include "base.h"

#define STEP_BITS 4
#define STEPS (1 << STEP_BITS)

static uint32_t
bucket_of(uint64_t value)
{
	uint32_t bucket, shift;

	if (value < STEPS)
		return (uint32_t)value;
	shift = (uint32_t)(63 - __builtin_clzll(value)) - STEP_BITS;
	bucket = (shift + 1) * STEPS + ((value >> shift) & (STEPS - 1));
	if (bucket >= CS_HISTOGRAM_BUCKETS_MAX)
		return CS_HISTOGRAM_BUCKETS_MAX - 1;
	return bucket;
}

static int64_t
bucket_upper_us(uint32_t bucket)
{
	uint32_t shift, step;

	if (bucket < STEPS)
		return bucket;
	shift = bucket / STEPS - 1;
	step = bucket % STEPS;
	return (int64_t)(((uint64_t)(STEPS + step + 1) << shift) - 1);
}

void
cs_histogram_add(struct cs_histogram *h, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;

	h->count++;
	h->sum_us += value;
	h->buckets[bucket_of(value)]++;
}

int64_t
cs_histogram_quantile(const struct cs_histogram *h, double q)
{
	uint64_t rank, seen = 0;
	uint32_t i;

	if (h->count == 0)
		return 0;
	rank = (uint64_t)(q * (double)(h->count - 1));
	for (i = 0; i < CS_HISTOGRAM_BUCKETS_MAX; i++) {
		seen += h->buckets[i];
		if (seen > rank)
			return bucket_upper_us(i);
	}
	return bucket_upper_us(CS_HISTOGRAM_BUCKETS_MAX - 1);
}
