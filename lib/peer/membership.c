/*
 * Membership. Members stand on a ring in the order of their ids; each VM
 * watches its next three, and keeps links to those at distances 1, 2, 4, 8
 * and so on, over which news floods. Silence makes a suspect, silence that
 * lasts makes it dead; the VM itself contradicts with a higher incarnation.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "peer.h"

#define SILENCE_US 500000   /* without a sign of life: suspect */
#define SUSPICION_US 700000 /* without a contradiction: dead */
#define FORGET_US 60000000  /* dead records are kept that long */
#define TICK_LATE_US 300000 /* a tick that late: this VM was paused */

struct pr_members {
	struct pr_member items[PR_MEMBERS_MAX]; /* item 0 is this VM */
	uint32_t count;
	int64_t ticked_us;
};

struct pr_members *
pr_members_create(const struct pr_member *self, int64_t now_us)
{
	struct pr_members *members = calloc(1, sizeof(*members));

	if (members == NULL)
		return NULL;
	members->items[0] = *self;
	members->items[0].id = cs_hash(self->name, strlen(self->name));
	members->items[0].state = PR_ALIVE;
	members->items[0].changed_us = now_us;
	members->count = 1;
	members->ticked_us = now_us;
	return members;
}

void
pr_members_free(struct pr_members *members)
{
	free(members);
}

const struct pr_member *
pr_members_self(const struct pr_members *members)
{
	return &members->items[0];
}

uint32_t
pr_members_count(const struct pr_members *members)
{
	return members->count;
}

const struct pr_member *
pr_members_at(const struct pr_members *members, uint32_t number)
{
	return &members->items[number];
}

int
pr_members_find(const struct pr_members *members, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		if (members->items[i].id == id)
			return (int)i;
	}
	return CS_E_MISSING;
}

/* Later process first, then later incarnation, then the graver state. */
static bool
is_newer(const struct pr_member *news, const struct pr_member *known)
{
	if (news->epoch != known->epoch)
		return news->epoch > known->epoch;
	if (news->state == PR_LEFT || known->state == PR_LEFT)
		return news->state == PR_LEFT && known->state != PR_LEFT;
	if (news->incarnation != known->incarnation)
		return news->incarnation > known->incarnation;
	return news->state > known->state;
}

static bool
hear_of_self(struct pr_members *members, const struct pr_member *news)
{
	struct pr_member *self = &members->items[0];

	if (news->epoch != self->epoch || news->state == PR_ALIVE ||
	    self->state == PR_LEFT)
		return false;
	/*
	 * Whoever tells old news has not heard of the present incarnation, and
	 * is to hear of it; a repetition of that must not raise it further.
	 */
	if (news->incarnation >= self->incarnation)
		self->incarnation = news->incarnation + 1;
	return true;
}

bool
pr_members_news(
    struct pr_members *members, const struct pr_member *news, int64_t now_us)
{
	struct pr_member *known;
	int number = pr_members_find(members, news->id);

	if (number == 0)
		return hear_of_self(members, news);
	if (number > 0) {
		known = &members->items[number];
		if (!is_newer(news, known))
			return false;
	} else {
		if (members->count == PR_MEMBERS_MAX)
			return false;
		known = &members->items[members->count++];
	}
	*known = *news;
	known->changed_us = now_us;
	known->heard_us = now_us;
	known->watched = false;
	return true;
}

void
pr_members_heard(struct pr_members *members, uint64_t id, int64_t now_us)
{
	int number = pr_members_find(members, id);

	if (number > 0)
		members->items[number].heard_us = now_us;
}

static bool
set_state(struct pr_member *member, enum pr_state state, int64_t now_us)
{
	if (member->state == state)
		return false;
	member->state = state;
	member->changed_us = now_us;
	return true;
}

bool
pr_members_suspect(struct pr_members *members, uint64_t id, int64_t now_us)
{
	int number = pr_members_find(members, id);

	if (number <= 0 || members->items[number].state != PR_ALIVE)
		return false;
	return set_state(&members->items[number], PR_SUSPECT, now_us);
}

/* A higher incarnation, so that the news counts over what is known. */
bool
pr_members_ready(struct pr_members *members)
{
	struct pr_member *self = &members->items[0];

	if (self->ready)
		return false;
	self->ready = true;
	self->incarnation++;
	return true;
}

void
pr_members_leave(struct pr_members *members, int64_t now_us)
{
	set_state(&members->items[0], PR_LEFT, now_us);
}

/* After a pause of this VM everybody seems silent: begin to listen anew. */
static void
forgive_silence(struct pr_members *members, int64_t now_us)
{
	uint32_t i;

	for (i = 1; i < members->count; i++) {
		members->items[i].heard_us = now_us;
		if (members->items[i].state == PR_SUSPECT)
			members->items[i].changed_us = now_us;
	}
}

static void
forget_dead(struct pr_members *members, int64_t now_us)
{
	uint32_t i = 1;

	while (i < members->count) {
		struct pr_member *member = &members->items[i];

		if (member->state >= PR_DEAD &&
		    now_us - member->changed_us > FORGET_US)
			*member = members->items[--members->count];
		else
			i++;
	}
}

/* Those watched from now on begin with a full allowance of silence. */
static uint32_t
update_watched(
    struct pr_members *members, uint32_t numbers[PR_MONITORED], int64_t now_us)
{
	bool watched[PR_MEMBERS_MAX] = {false};
	uint32_t i, count = pr_members_monitored(members, numbers);

	for (i = 0; i < count; i++)
		watched[numbers[i]] = true;
	for (i = 0; i < members->count; i++) {
		struct pr_member *member = &members->items[i];

		if (watched[i] && !member->watched)
			member->heard_us = now_us;
		member->watched = watched[i];
	}
	return count;
}

uint32_t
pr_members_tick(
    struct pr_members *members, int64_t now_us, uint32_t *changed, uint32_t max)
{
	uint32_t monitored[PR_MONITORED], i, count, total = 0;

	if (now_us - members->ticked_us > TICK_LATE_US)
		forgive_silence(members, now_us);
	members->ticked_us = now_us;
	forget_dead(members, now_us);
	count = update_watched(members, monitored, now_us);
	for (i = 0; i < count && total < max; i++) {
		struct pr_member *member = &members->items[monitored[i]];

		if (member->state == PR_ALIVE &&
		    now_us - member->heard_us > SILENCE_US &&
		    set_state(member, PR_SUSPECT, now_us))
			changed[total++] = monitored[i];
	}
	for (i = 1; i < members->count && total < max; i++) {
		struct pr_member *member = &members->items[i];

		if (member->state == PR_SUSPECT &&
		    now_us - member->changed_us > SUSPICION_US &&
		    set_state(member, PR_DEAD, now_us))
			changed[total++] = i;
	}
	return total;
}

static int
compare_ids(const void *a, const void *b)
{
	const struct pr_member *const *x = a;
	const struct pr_member *const *y = b;

	if ((*x)->id != (*y)->id)
		return (*x)->id < (*y)->id ? -1 : 1;
	return 0;
}

/* The live members in ring order, beginning after this VM. */
static uint32_t
ring(const struct pr_members *members, uint32_t *numbers)
{
	const struct pr_member *sorted[PR_MEMBERS_MAX] = {NULL};
	uint32_t i, count = 0, own = 0;

	for (i = 0; i < members->count; i++) {
		if (i == 0 || members->items[i].state <= PR_SUSPECT)
			sorted[count++] = &members->items[i];
	}
	qsort(sorted, count, sizeof(sorted[0]), compare_ids);
	while (sorted[own] != &members->items[0])
		own++;
	for (i = 1; i < count; i++)
		numbers[i - 1] =
		    (uint32_t)(sorted[(own + i) % count] - members->items);
	return count - 1;
}

uint32_t
pr_members_monitored(
    const struct pr_members *members, uint32_t numbers[PR_MONITORED])
{
	uint32_t order[PR_MEMBERS_MAX];
	uint32_t i, count = ring(members, order);

	if (count > PR_MONITORED)
		count = PR_MONITORED;
	for (i = 0; i < count; i++)
		numbers[i] = order[i];
	return count;
}

uint32_t
pr_members_neighbours(
    const struct pr_members *members, uint32_t numbers[PR_NEIGHBOURS_MAX])
{
	uint32_t order[PR_MEMBERS_MAX];
	uint32_t distance, count = ring(members, order), total = 0;

	for (distance = 1; distance <= count && distance <= PR_MONITORED;
	     distance++)
		numbers[total++] = order[distance - 1];
	for (distance = 4; distance <= count && total < PR_NEIGHBOURS_MAX;
	     distance *= 2)
		numbers[total++] = order[distance - 1];
	return total;
}

uint64_t
pr_members_digest(const struct pr_members *members)
{
	uint64_t digest = 0;
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		const struct pr_member *member = &members->items[i];

		if (member->state >= PR_DEAD)
			continue;
		digest ^= cs_hash_pair(cs_hash_pair(member->id, member->epoch),
		    member->incarnation * 4 + (uint64_t)member->state);
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
