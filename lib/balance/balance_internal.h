#ifndef BL_BALANCE_INTERNAL_H
#define BL_BALANCE_INTERNAL_H

#include "balance.h"

/* Before any answer was seen, and how fast later ones count. */
#define BL_SERVICE_TIME_INITIAL_US 50000.0
#define BL_SERVICE_TIME_GAIN 0.02   /* mean of about 50 answers */
#define BL_SLOWNESS_GAIN 0.15	    /* mean of about 6 answers of one target */
#define BL_OTHER_REQUESTS_GAIN 0.03 /* mean of about 30 reports of a pool */
#define BL_MEAN_SLOWNESS_GAIN 0.01  /* mean of about 100 reports of a pool */
#define BL_FAILURE_GAIN 0.2	    /* mean of about 5 outcomes of one target */
/* Stragglers count as this many times the usual work at most. */
#define BL_OUTLIER_FACTOR 4.0
#define BL_SLOWNESS_MIN 0.5
/* A target that has just started takes about twice as long. */
#define BL_WARM_UP_FACTOR 2.0

/* How long news keeps its weight (time to 1/e). */
#define BL_LOAD_DECAY_US                                     \
	250000.0 /* pressure of neighbours changes in 300 ms \
		  */
#define BL_OTHER_REQUESTS_DECAY_US \
	150000.0 /* a few times the work of one request */
#define BL_SLOWNESS_DECAY_US 2000000.0
#define BL_FAILURE_DECAY_US 3000000.0

/* Probes are answered within a few ms; one this late is a bad sign. */
#define BL_PROBE_LATE_US 40000
#define BL_PROBE_LATE_FAILURE 0.7

/* How much of a failure these are. */
#define BL_SHED_WEIGHT 0.3
#define BL_CANCEL_WEIGHT 0.5

/* A load told this long ago came with the answer itself. */
#define BL_SHED_LOAD_AGE_MAX_US 1000

/* Pause after a refused connection, doubled with each further one. */
#define BL_BACKOFF_INITIAL_US 250000
#define BL_BACKOFF_MAX_US 4000000

/* bl_slowness(): how many times the calm time work takes there, now. */
double bl_slowness(const struct bl_target *target, int64_t now_us);
/* bl_estimated_requests(): requests that are thought to be at the target. */
double bl_estimated_requests(const struct bl_target *target, int64_t now_us);
/* bl_failure_probability(): probability that a request fails there. */
double bl_failure_probability(const struct bl_target *target, int64_t now_us);

#endif
