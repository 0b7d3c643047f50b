/*
 * Waiting calls of a pool. Each member has a queue that is ordered by deadline.
 * The queues are served by stride scheduling with the weights of the members'
 * shares, so that a burst of one member does not use up another one's share.
 */
#include "decide_internal.h"

#define STRIDE_SCALE 1000000 /* stride of weight 1 */

uint32_t
dc_queue_add(struct dc_pool *pool, uint64_t member, uint32_t weight)
{
	struct dc_queue *queue = &pool->queues[pool->queue_count];
	uint32_t i;

	*queue = (struct dc_queue){.member = member, .weight = weight};
	for (i = 0; i < DC_CLASSES_MAX; i++)
		dc_heap_init(&queue->classes[i], DC_NODE_QUEUE);
	return pool->queue_count++;
}

void
dc_queue_add_class(struct dc_pool *pool, uint32_t weight)
{
	uint32_t i, at = 0;

	while (at < pool->class_count && pool->class_weights[at] < weight)
		at++;
	if (at < pool->class_count && pool->class_weights[at] == weight)
		return;
	if (pool->class_count == DC_CLASSES_MAX)
		return;
	for (i = pool->class_count; i > at; i--)
		pool->class_weights[i] = pool->class_weights[i - 1];
	pool->class_weights[at] = weight;
	pool->class_count++;
}

/* Returns the class of the largest weight up to the given one. */
static uint32_t
find_class(const struct dc_pool *pool, uint32_t weight)
{
	uint32_t class = 0;

	while (class + 1 < pool->class_count &&
	       pool->class_weights[class + 1] <= weight)
		class ++;
	return class;
}

/*
 * Members beyond DC_MEMBERS_MAX take over an empty queue of weight 1 or share
 * the last queue.
 */
static uint32_t
find_queue(struct dc_pool *pool, uint64_t member)
{
	uint32_t i;

	for (i = 0; i < pool->queue_count; i++) {
		if (pool->queues[i].member == member)
			return i;
	}
	if (pool->queue_count < DC_MEMBERS_MAX)
		return dc_queue_add(pool, member, 1);
	for (i = 0; i < pool->queue_count; i++) {
		if (pool->queues[i].waiting == 0 &&
		    pool->queues[i].weight == 1) {
			pool->queues[i].member = member;
			return i;
		}
	}
	return DC_MEMBERS_MAX - 1;
}

void
dc_queue_push(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = &core->pools[call->pool];
	struct dc_queue *queue;

	call->member = find_queue(pool, call->member_id);
	call->class = find_class(pool, call->weight);
	queue = &pool->queues[call->member];
	if (queue->waiting == 0 && queue->pass < pool->pass)
		queue->pass = pool->pass;
	dc_heap_push(core, &queue->classes[call->class],
	    dc_call_index(core, call), call->deadline_us);
	call->state = DC_CALL_WAITING;
	queue->waiting++;
	pool->waiting++;
	core->counters.waiting++;
}

void
dc_queue_remove(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = &core->pools[call->pool];
	struct dc_queue *queue = &pool->queues[call->member];

	dc_heap_remove(
	    core, &queue->classes[call->class], dc_call_index(core, call));
	queue->waiting--;
	pool->waiting--;
	core->counters.waiting--;
}

static struct dc_queue *
next_queue(struct dc_pool *pool)
{
	struct dc_queue *best = NULL;
	uint32_t i;

	for (i = 0; i < pool->queue_count; i++) {
		struct dc_queue *queue = &pool->queues[i];

		if (queue->waiting == 0)
			continue;
		if (best == NULL || queue->pass < best->pass)
			best = queue;
	}
	return best;
}

/* Returns the call with the earliest deadline in all classes of a queue. */
static struct dc_call *
queue_head(struct dc_core *core, const struct dc_queue *queue)
{
	struct dc_call *head = NULL;
	uint32_t i;

	for (i = 0; i < DC_CLASSES_MAX; i++) {
		struct dc_call *call;

		if (queue->classes[i].root == DC_NONE)
			continue;
		call = &core->calls[queue->classes[i].root];
		if (head == NULL || call->deadline_us < head->deadline_us)
			head = call;
	}
	return head;
}

struct dc_call *
dc_queue_head(struct dc_core *core, struct dc_pool *pool)
{
	struct dc_queue *queue = next_queue(pool);

	return queue == NULL ? NULL : queue_head(core, queue);
}

/* Removes the call that dc_queue_head() returned; charges its member. */
void
dc_queue_take(struct dc_core *core, struct dc_call *call)
{
	struct dc_pool *pool = &core->pools[call->pool];
	struct dc_queue *queue = &pool->queues[call->member];

	dc_queue_remove(core, call);
	pool->pass = queue->pass;
	queue->pass += STRIDE_SCALE / queue->weight;
}

/*
 * Returns a waiting call of the lightest class below the weight, from the
 * member with the most waiting calls; NULL when there is none.
 */
struct dc_call *
dc_queue_lightest(
    struct dc_core *core, struct dc_pool *pool, uint32_t below_weight)
{
	const struct dc_queue *longest = NULL;
	uint32_t class, i;

	for (class = 0; class < pool->class_count; class ++) {
		if (pool->class_weights[class] >= below_weight)
			return NULL;
		for (i = 0; i < pool->queue_count; i++) {
			const struct dc_queue *queue = &pool->queues[i];

			if (queue->classes[class].count == 0)
				continue;
			if (longest == NULL ||
			    queue->waiting > longest->waiting)
				longest = queue;
		}
		if (longest != NULL)
			return &core->calls[longest->classes[class].root];
	}
	return NULL;
}
