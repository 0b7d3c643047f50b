/*
 * Membership and failure detection. The nodes form a ring in the order of their
 * ids. Each node monitors the next three, and keeps links to those and to the
 * nodes at distances 4, 8, 16 and so on, over which changed records are
 * flooded. A silent node becomes suspect, and dead if it stays silent. It
 * refutes either by a record with a higher incarnation.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "peer.h"

/* From the last frame of a node until it is suspect. */
#define SUSPECT_TIMEOUT_US 500000
/* From suspect, unless the node refutes it, until it is dead. */
#define DEAD_TIMEOUT_US 700000
/* How long the records of nodes that are dead or left are kept. */
#define DEAD_RETENTION_US 60000000
/* A tick this long after the previous one: this process was paused. */
#define LATE_TICK_US 300000

struct pr_membership {
	struct pr_node nodes[PR_NODES_MAX]; /* the first is this one */
	uint32_t count;
	int64_t last_tick_us;
};

struct pr_membership *
pr_membership_create(const struct pr_node *self, int64_t now_us)
{
	struct pr_membership *membership = calloc(1, sizeof(*membership));

	if (membership == NULL)
		return NULL;
	membership->nodes[0] = *self;
	membership->nodes[0].id = cs_hash(self->name, strlen(self->name));
	membership->nodes[0].state = PR_ALIVE;
	membership->nodes[0].state_changed_us = now_us;
	membership->count = 1;
	membership->last_tick_us = now_us;
	return membership;
}

void
pr_membership_free(struct pr_membership *membership)
{
	free(membership);
}

const struct pr_node *
pr_membership_self(const struct pr_membership *membership)
{
	return &membership->nodes[0];
}

uint32_t
pr_membership_count(const struct pr_membership *membership)
{
	return membership->count;
}

const struct pr_node *
pr_membership_at(const struct pr_membership *membership, uint32_t index)
{
	return &membership->nodes[index];
}

int
pr_membership_find(const struct pr_membership *membership, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		if (membership->nodes[i].id == id)
			return (int)i;
	}
	return CS_E_MISSING;
}

/*
 * A later process wins, then the state LEFT, then a later incarnation, then the
 * worse state.
 */
static bool
is_newer(const struct pr_node *record, const struct pr_node *known)
{
	if (record->epoch != known->epoch)
		return record->epoch > known->epoch;
	if (record->state == PR_LEFT || known->state == PR_LEFT)
		return record->state == PR_LEFT && known->state != PR_LEFT;
	if (record->incarnation != known->incarnation)
		return record->incarnation > known->incarnation;
	return record->state > known->state;
}

static bool
merge_own_record(struct pr_membership *membership, const struct pr_node *record)
{
	struct pr_node *self = &membership->nodes[0];

	if (record->epoch != self->epoch || record->state == PR_ALIVE ||
	    self->state == PR_LEFT)
		return false;
	/*
	 * A sender of an old record does not know the present incarnation and
	 * has to be told, but repeated old records must not raise it further.
	 */
	if (record->incarnation >= self->incarnation)
		self->incarnation = record->incarnation + 1;
	return true;
}

bool
pr_membership_merge(struct pr_membership *membership,
    const struct pr_node *record, int64_t now_us)
{
	struct pr_node *known;
	int index = pr_membership_find(membership, record->id);

	if (index == 0)
		return merge_own_record(membership, record);
	if (index > 0) {
		known = &membership->nodes[index];
		if (!is_newer(record, known))
			return false;
	} else {
		if (membership->count == PR_NODES_MAX)
			return false;
		known = &membership->nodes[membership->count++];
	}
	*known = *record;
	known->state_changed_us = now_us;
	known->heard_us = now_us;
	known->monitored = false;
	return true;
}

void
pr_membership_heard(
    struct pr_membership *membership, uint64_t id, int64_t now_us)
{
	int index = pr_membership_find(membership, id);

	if (index > 0)
		membership->nodes[index].heard_us = now_us;
}

static bool
set_state(struct pr_node *node, enum pr_state state, int64_t now_us)
{
	if (node->state == state)
		return false;
	node->state = state;
	node->state_changed_us = now_us;
	return true;
}

bool
pr_membership_suspect(
    struct pr_membership *membership, uint64_t id, int64_t now_us)
{
	int index = pr_membership_find(membership, id);

	if (index <= 0 || membership->nodes[index].state != PR_ALIVE)
		return false;
	return set_state(&membership->nodes[index], PR_SUSPECT, now_us);
}

/* The incarnation rises, so that the record replaces the known ones. */
bool
pr_membership_set_ready(struct pr_membership *membership)
{
	struct pr_node *self = &membership->nodes[0];

	if (self->ready)
		return false;
	self->ready = true;
	self->incarnation++;
	return true;
}

void
pr_membership_leave(struct pr_membership *membership, int64_t now_us)
{
	set_state(&membership->nodes[0], PR_LEFT, now_us);
}

/* After a pause all nodes seem silent, so their timeouts are restarted. */
static void
reset_silence(struct pr_membership *membership, int64_t now_us)
{
	uint32_t i;

	for (i = 1; i < membership->count; i++) {
		membership->nodes[i].heard_us = now_us;
		if (membership->nodes[i].state == PR_SUSPECT)
			membership->nodes[i].state_changed_us = now_us;
	}
}

static void
remove_expired(struct pr_membership *membership, int64_t now_us)
{
	uint32_t i = 1;

	while (i < membership->count) {
		struct pr_node *node = &membership->nodes[i];

		if (node->state >= PR_DEAD &&
		    now_us - node->state_changed_us > DEAD_RETENTION_US)
			*node = membership->nodes[--membership->count];
		else
			i++;
	}
}

/* Nodes that become monitored start with a full suspect timeout. */
static uint32_t
update_monitored(struct pr_membership *membership,
    uint32_t indexes[PR_MONITORED], int64_t now_us)
{
	bool monitored[PR_NODES_MAX] = {false};
	uint32_t i, count = pr_membership_monitored(membership, indexes);

	for (i = 0; i < count; i++)
		monitored[indexes[i]] = true;
	for (i = 0; i < membership->count; i++) {
		struct pr_node *node = &membership->nodes[i];

		if (monitored[i] && !node->monitored)
			node->heard_us = now_us;
		node->monitored = monitored[i];
	}
	return count;
}

uint32_t
pr_membership_tick(struct pr_membership *membership, int64_t now_us,
    uint32_t *changed, uint32_t max)
{
	uint32_t monitored[PR_MONITORED], i, count, total = 0;

	if (now_us - membership->last_tick_us > LATE_TICK_US)
		reset_silence(membership, now_us);
	membership->last_tick_us = now_us;
	remove_expired(membership, now_us);
	count = update_monitored(membership, monitored, now_us);
	for (i = 0; i < count && total < max; i++) {
		struct pr_node *node = &membership->nodes[monitored[i]];

		if (node->state == PR_ALIVE &&
		    now_us - node->heard_us > SUSPECT_TIMEOUT_US &&
		    set_state(node, PR_SUSPECT, now_us))
			changed[total++] = monitored[i];
	}
	for (i = 1; i < membership->count && total < max; i++) {
		struct pr_node *node = &membership->nodes[i];

		if (node->state == PR_SUSPECT &&
		    now_us - node->state_changed_us > DEAD_TIMEOUT_US &&
		    set_state(node, PR_DEAD, now_us))
			changed[total++] = i;
	}
	return total;
}

static int
compare_ids(const void *a, const void *b)
{
	const struct pr_node *const *x = a;
	const struct pr_node *const *y = b;

	if ((*x)->id != (*y)->id)
		return (*x)->id < (*y)->id ? -1 : 1;
	return 0;
}

/* Fills indexes with the live nodes in ring order, from the one after self. */
static uint32_t
ring_order(const struct pr_membership *membership, uint32_t *indexes)
{
	const struct pr_node *sorted[PR_NODES_MAX] = {NULL};
	uint32_t i, count = 0, own = 0;

	for (i = 0; i < membership->count; i++) {
		if (i == 0 || membership->nodes[i].state <= PR_SUSPECT)
			sorted[count++] = &membership->nodes[i];
	}
	qsort(sorted, count, sizeof(sorted[0]), compare_ids);
	while (sorted[own] != &membership->nodes[0])
		own++;
	for (i = 1; i < count; i++)
		indexes[i - 1] =
		    (uint32_t)(sorted[(own + i) % count] - membership->nodes);
	return count - 1;
}

uint32_t
pr_membership_monitored(
    const struct pr_membership *membership, uint32_t indexes[PR_MONITORED])
{
	uint32_t order[PR_NODES_MAX];
	uint32_t i, count = ring_order(membership, order);

	if (count > PR_MONITORED)
		count = PR_MONITORED;
	for (i = 0; i < count; i++)
		indexes[i] = order[i];
	return count;
}

uint32_t
pr_membership_neighbours(
    const struct pr_membership *membership, uint32_t indexes[PR_NEIGHBOURS_MAX])
{
	uint32_t order[PR_NODES_MAX];
	uint32_t distance, count = ring_order(membership, order), total = 0;

	for (distance = 1; distance <= count && distance <= PR_MONITORED;
	     distance++)
		indexes[total++] = order[distance - 1];
	for (distance = 4; distance <= count && total < PR_NEIGHBOURS_MAX;
	     distance *= 2)
		indexes[total++] = order[distance - 1];
	return total;
}

uint64_t
pr_membership_digest(const struct pr_membership *membership)
{
	uint64_t digest = 0;
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct pr_node *node = &membership->nodes[i];

		if (node->state >= PR_DEAD)
			continue;
		digest ^= cs_hash_pair(cs_hash_pair(node->id, node->epoch),
		    node->incarnation * 4 + (uint64_t)node->state);
	}
	return digest;
}

const char *
pr_state_text(enum pr_state state)
{
	switch (state) {
	case PR_ALIVE:
		return "alive";
	case PR_SUSPECT:
		return "suspect";
	case PR_DEAD:
		return "dead";
	case PR_LEFT:
		return "left";
	}
	return "unlisted";
}
