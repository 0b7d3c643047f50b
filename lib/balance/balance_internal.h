#ifndef BL_BALANCE_INTERNAL_H
#define BL_BALANCE_INTERNAL_H

#include "balance.h"

/* Initial estimate, and the gains of the moving averages. */
#define BL_SERVICE_TIME_INITIAL_US 50000.0
#define BL_SERVICE_TIME_GAIN 0.02   /* mean of about 50 responses */
#define BL_SLOWNESS_GAIN 0.15	    /* about 6 responses of a target */
#define BL_OTHER_REQUESTS_GAIN 0.03 /* about 30 reports of a pool */
#define BL_MEAN_SLOWNESS_GAIN 0.01  /* about 100 reports of a pool */
#define BL_FAILURE_GAIN 0.2	    /* about 5 outcomes of a target */
/* Latencies of outliers count as at most this multiple of the usual time. */
#define BL_OUTLIER_FACTOR 4.0
#define BL_SLOWNESS_MIN 0.5
/* A target that has just started takes about twice as long. */
#define BL_WARM_UP_FACTOR 2.0

/*
 * Time constants after which an observation keeps 1/e of its weight. Load from
 * noisy neighbours of a target changes in 300 ms.
 */
#define BL_LOAD_DECAY_US 250000.0
/* A few times the service time of one request. */
#define BL_OTHER_REQUESTS_DECAY_US 150000.0
#define BL_SLOWNESS_DECAY_US 2000000.0
#define BL_FAILURE_DECAY_US 3000000.0

/*
 * Probes are usually answered within a few ms. A probe that is pending for
 * longer than this counts as a probable failure of its target.
 */
#define BL_PROBE_LATE_US 40000
#define BL_PROBE_LATE_FAILURE 0.7

/* Weights of these outcomes as parts of a failure. */
#define BL_SHED_WEIGHT 0.3
#define BL_CANCEL_WEIGHT 0.5

/* A load report at most this old arrived with the response itself. */
#define BL_SHED_LOAD_AGE_MAX_US 1000

/* Backoff after a refused connection; doubled with each further one. */
#define BL_BACKOFF_INITIAL_US 250000
#define BL_BACKOFF_MAX_US 4000000

/*
 * bl_slowness(): returns the factor by which work takes longer at the target
 * now than on an unloaded one.
 */
double bl_slowness(const struct bl_target *target, int64_t now_us);
/*
 * bl_estimated_requests(): returns the estimated number of requests at the
 * target, of this VM and of others.
 */
double bl_estimated_requests(const struct bl_target *target, int64_t now_us);
/*
 * bl_failure_probability(): returns the probability that a request fails at the
 * target.
 */
double bl_failure_probability(const struct bl_target *target, int64_t now_us);

/*
 * From this share of full targets on, capacity counts as short. With two slots
 * and a fifth of them busy, one target in twenty is full.
 */
#define BL_CONGESTED_MIN 0.2

/*
 * bl_concurrency_limit(slots): returns the number of requests that a target
 * gets at the same time: the number with the highest throughput, given that a
 * nearly full target slows down.
 */
double bl_concurrency_limit(uint32_t slots);
/*
 * bl_leaves_all_slots(worth, congestion): at this share of full targets a call
 * of this worth leaves every slot to calls that are worth more.
 */
bool bl_leaves_all_slots(double worth, double congestion);
#endif
