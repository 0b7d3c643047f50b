/* Functions shared by accounts.c and merge.c. */
#ifndef RP_REPORT_INTERNAL_H
#define RP_REPORT_INTERNAL_H

#include "../base/base.h"
#include "report.h"

/*
 * rp_histogram_json(histogram): returns a flat list of bucket, count, ...
 * without the empty buckets.
 */
json_t *rp_histogram_json(const struct cs_histogram *histogram);

#endif
