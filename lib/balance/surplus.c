/*
 * Finds the calls of tenants that send far more often than usual. A VM sees few
 * calls of most tenants; only those that send often are told apart here.
 */
#include <math.h>

#include "queue.h"

/*
 * A tenant that sends more than twice as often as usual, while the others do
 * not, harms itself first: calls beyond that and a burst are surplus. The
 * recent rate follows a burst of some seconds, the usual one hardly does.
 */
#define USUAL_RATE_DECAY_US 60000000.0
#define RECENT_RATE_DECAY_US 2000000.0
#define USUAL_RATE_FACTOR 2.0
#define USUAL_BURST 4.0
/* So long after a tenant's first call its usual rate is not known. */
#define USUAL_RATE_KNOWN_US 5000000
/* The others' rise counts as at most this much. */
#define RISE_MAX 4.0

static double
decay(int64_t age_us, double time_us)
{
	return age_us <= 0 ? 1.0 : exp(-(double)age_us / time_us);
}

static void
count_rate(struct bl_queue_rate *rate, int64_t now_us)
{
	int64_t age_us = now_us - rate->at_us;

	if (rate->since_us == 0)
		rate->since_us = now_us;
	rate->usual_per_s =
	    rate->usual_per_s * decay(age_us, USUAL_RATE_DECAY_US) +
	    1e6 / USUAL_RATE_DECAY_US;
	rate->recent_per_s =
	    rate->recent_per_s * decay(age_us, RECENT_RATE_DECAY_US) +
	    1e6 / RECENT_RATE_DECAY_US;
	rate->at_us = now_us;
}

/* Returns the usual rate; its average starts at the first call. */
static double
usual_rate(const struct bl_queue_rate *rate)
{
	double share =
	    1.0 - decay(rate->at_us - rate->since_us, USUAL_RATE_DECAY_US);

	return share > 0.0 ? rate->usual_per_s / share : rate->recent_per_s;
}

/* Returns how much more often than usual the other tenants send. */
static double
rise_of_others(
    const struct bl_queue *queue, const struct bl_queue_tenant *tenant)
{
	double usual = usual_rate(&queue->rate) - usual_rate(&tenant->rate);
	double recent = queue->rate.recent_per_s - tenant->rate.recent_per_s;

	if (usual <= 0.0 || recent <= usual)
		return 1.0;
	return recent < RISE_MAX * usual ? recent / usual : RISE_MAX;
}

/* Returns the tenant, which may replace the least recent one. */
static struct bl_queue_tenant *
use_tenant(struct bl_queue *queue, uint64_t tenant)
{
	struct bl_queue_tenant *oldest = &queue->tenants[0];
	uint32_t i;

	for (i = 0; i < BL_QUEUE_TENANTS_MAX; i++) {
		if (queue->tenants[i].tenant == tenant)
			return &queue->tenants[i];
		if (queue->tenants[i].rate.at_us < oldest->rate.at_us)
			oldest = &queue->tenants[i];
	}
	*oldest = (struct bl_queue_tenant){
	    .tenant = tenant,
	    .credit = USUAL_BURST,
	};
	return oldest;
}

bool
bl_queue_count_tenant(struct bl_queue *queue, uint64_t number, int64_t now_us)
{
	struct bl_queue_tenant *tenant = use_tenant(queue, number);
	int64_t before_us = tenant->rate.at_us;

	/* Calls that waited before are counted after later ones. */
	if (now_us < queue->rate.at_us)
		now_us = queue->rate.at_us;
	count_rate(&queue->rate, now_us);
	count_rate(&tenant->rate, now_us);
	if (before_us != 0)
		tenant->credit += (double)(now_us - before_us) / 1e6 *
				  usual_rate(&tenant->rate) *
				  USUAL_RATE_FACTOR *
				  rise_of_others(queue, tenant);
	if (tenant->credit > USUAL_BURST)
		tenant->credit = USUAL_BURST;
	if (tenant->credit >= 1.0) {
		tenant->credit -= 1.0;
		return false;
	}
	return now_us - tenant->rate.since_us > USUAL_RATE_KNOWN_US;
}
