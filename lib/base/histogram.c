/* Log-linear histogram: 16 linear sub-buckets in each power of two. */
#include "base.h"

#define SUB_BUCKET_BITS 4
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)

static uint32_t
bucket_index(uint64_t value)
{
	uint32_t bucket, shift;

	if (value < SUB_BUCKETS)
		return (uint32_t)value;
	shift = (uint32_t)(63 - __builtin_clzll(value)) - SUB_BUCKET_BITS;
	bucket =
	    (shift + 1) * SUB_BUCKETS + ((value >> shift) & (SUB_BUCKETS - 1));
	if (bucket >= CS_HISTOGRAM_BUCKETS_MAX)
		return CS_HISTOGRAM_BUCKETS_MAX - 1;
	return bucket;
}

static int64_t
bucket_upper_bound_us(uint32_t bucket)
{
	uint32_t shift, sub_bucket;

	if (bucket < SUB_BUCKETS)
		return bucket;
	shift = bucket / SUB_BUCKETS - 1;
	sub_bucket = bucket % SUB_BUCKETS;
	return (
	    int64_t)(((uint64_t)(SUB_BUCKETS + sub_bucket + 1) << shift) - 1);
}

void
cs_histogram_add(struct cs_histogram *h, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;

	h->count++;
	h->sum_us += value;
	h->buckets[bucket_index(value)]++;
}

int64_t
cs_histogram_quantile(const struct cs_histogram *h, double q)
{
	uint64_t rank, cumulative = 0;
	uint32_t i;

	if (h->count == 0)
		return 0;
	rank = (uint64_t)(q * (double)(h->count - 1));
	for (i = 0; i < CS_HISTOGRAM_BUCKETS_MAX; i++) {
		cumulative += h->buckets[i];
		if (cumulative > rank)
			return bucket_upper_bound_us(i);
	}
	return bucket_upper_bound_us(CS_HISTOGRAM_BUCKETS_MAX - 1);
}
