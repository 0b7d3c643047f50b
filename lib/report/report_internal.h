/* What counting and merging share. */
#ifndef RP_REPORT_INTERNAL_H
#define RP_REPORT_INTERNAL_H

#include "../base/base.h"
#include "report.h"

/* rp_histogram_json(histogram): pairs of bucket and count, without zeros. */
json_t *rp_histogram_json(const struct cs_histogram *histogram);

#endif
