/*
 * Who is there, and who follows the store. Answers many VMs starting at once,
 * frozen and cut-off VMs, and a store that serves only some of them: the VM
 * with the lowest rank that is current is listened to; when none is, the VMs
 * try in the order of their ranks, a little apart.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/* Heartbeats that were missed before a VM counts as silent: two and more. */
#define SILENT_US 2000000	  /* of 800 ms */
#define SILENT_CURRENT_US 1300000 /* of 400 ms, from one that follows */
#define LATE_TICK_US 1000000	  /* far over a tick: this VM did not run */
#define KNOWN_US 30000000 /* how long one that fell silent is remembered */
/*
 * At the start VMs learn of one another before one begins to follow: this long
 * after the first contact, or after the start when there is none.
 */
#define SETTLE_US 250000
#define ALONE_US 500000

/*
 * Between the tries of VMs of consecutive ranks: a list takes half of it. When
 * several have tried in vain the store is probably down for all, and turns
 * come less often, so that a long outage costs few calls.
 */
#define TURN_US 120000
#define QUICK_TURNS 8
#define LATER_TURN_US 300000
/* A VM that is not current after this lets others try: three slow answers. */
#define TRY_US 900000
/* Two may follow for this long before the one of higher rank stops. */
#define OVERLAP_US 2000000

void
fl_members_init(
    struct fl_members *members, const struct fl_member *self, int64_t now_us)
{
	*members = (struct fl_members){.self = *self};
	members->self.near = true;
	members->began_us = members->ticked_us = now_us;
	members->lacking_us = now_us;
}

void
fl_members_free(struct fl_members *members)
{
	free(members->list);
	members->list = NULL;
	members->count = members->capacity = 0;
}

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static struct fl_member *
find(struct fl_members *members, const struct sockaddr_in *fleet)
{
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		if (same_address(&members->list[i].fleet, fleet))
			return &members->list[i];
	}
	return NULL;
}

struct fl_member *
fl_members_learn(struct fl_members *members, const struct fl_member *news)
{
	struct fl_member *member = find(members, &news->fleet), *grown;
	uint32_t capacity;

	if (member != NULL || same_address(&members->self.fleet, &news->fleet))
		return member;
	if (members->count == FL_MEMBERS_MAX)
		return NULL;
	if (members->count == members->capacity) {
		capacity = members->capacity == 0 ? 16 : members->capacity * 2;
		grown = realloc(members->list, capacity * sizeof(*grown));
		if (grown == NULL)
			return NULL;
		members->list = grown;
		members->capacity = capacity;
	}
	member = &members->list[members->count++];
	*member = *news;
	member->heard_us = 0;
	return member;
}

bool
fl_members_heard(
    struct fl_members *members, const struct fl_member *news, int64_t now_us)
{
	struct fl_member *member = fl_members_learn(members, news);
	bool is_new;

	if (member == NULL)
		return false;
	is_new = member->boot != news->boot || member->heard_us == 0;
	if (members->met_us == 0 && news->near)
		members->met_us = now_us;

	*member = *news;
	member->heard_us = now_us;
	return is_new;
}

bool
fl_members_pulse(struct fl_members *members, const struct sockaddr_in *from,
    const struct fl_frame *pulse, int64_t now_us)
{
	struct fl_member *member = find(members, from);

	if (member == NULL || member->boot != pulse->as.pulse.boot ||
	    member->heard_us == 0)
		return false;
	members->changed = member->current != pulse->as.pulse.current ||
			   member->stopping != pulse->as.pulse.stopping;
	member->ready = pulse->as.pulse.ready;

	member->stopping = pulse->as.pulse.stopping;
	member->current = pulse->as.pulse.current;
	member->news = pulse->as.pulse.news;
	member->heard_us = now_us;
	return true;
}

bool
fl_is_alive(const struct fl_member *member, int64_t now_us)
{
	int64_t silent_us = member->current ? SILENT_CURRENT_US : SILENT_US;

	return member->heard_us != 0 && now_us - member->heard_us < silent_us;
}

/* Larger VMs come first, then the order of their names' hashes. */
static bool
ranks_before(const struct fl_member *a, const struct fl_member *b)
{
	if (a->capacity != b->capacity)
		return a->capacity > b->capacity;
	return cs_hash(a->name, strlen(a->name)) <
	       cs_hash(b->name, strlen(b->name));
}

/* The live VM of the region with the lowest rank that is current. */
static const struct fl_member *
find_leader(const struct fl_members *members, int64_t now_us)
{
	const struct fl_member *best = NULL;
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		const struct fl_member *member = &members->list[i];

		if (member->near && member->current && !member->stopping &&
		    fl_is_alive(member, now_us) &&
		    (best == NULL || ranks_before(member, best)))
			best = member;
	}
	return best;
}

/* This VM's place among the live ones of the region, and how many they are. */
static uint32_t
place(const struct fl_members *members, int64_t now_us, uint32_t *live)
{
	uint32_t i, before = 0;

	*live = 1;
	for (i = 0; i < members->count; i++) {
		const struct fl_member *member = &members->list[i];

		if (!member->near || member->stopping ||
		    !fl_is_alive(member, now_us))
			continue;
		(*live)++;
		before += ranks_before(member, &members->self);
	}
	return before;
}

/*
 * Turns that have begun since nobody is current. None has at first: the one
 * that followed may only be listing anew.
 */
static uint64_t
turn_at(int64_t lacking_us)
{
	if (lacking_us < QUICK_TURNS * TURN_US)
		return (uint64_t)(lacking_us / TURN_US);
	return QUICK_TURNS +
	       (uint64_t)((lacking_us - QUICK_TURNS * TURN_US) / LATER_TURN_US);
}

/* Nobody follows the store: VMs try one after the other, again and again. */
static enum fl_role
take_turns(struct fl_members *members, int64_t now_us)
{
	uint32_t live, own = place(members, now_us, &live);
	uint64_t turn = turn_at(now_us - members->lacking_us);

	if (members->watching && live > 1 &&
	    now_us - members->tried_us > TRY_US)
		members->watching = false;
	if (!members->watching && turn > 0 && (turn - 1) % live == own &&
	    (turn != members->tried_turn || members->tried_us == 0)) {
		members->watching = true;
		members->tried_us = now_us;
		members->tried_turn = turn;
	}
	return members->watching ? FL_WATCH : FL_IDLE;
}

static void
forgive_silence(struct fl_members *members, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		if (members->list[i].heard_us != 0)
			members->list[i].heard_us = now_us;
	}
}

/* Another VM is current: this one stops unless it should lead. */
static enum fl_role
yield_to(
    struct fl_members *members, const struct fl_member *leader, int64_t now_us)
{
	members->lacking_us = members->tried_us = now_us;
	members->tried_turn = UINT64_MAX;
	if (!members->watching)
		return FL_LISTEN;
	if (members->self.current && ranks_before(&members->self, leader)) {
		members->shadowed_us = 0;
		return FL_WATCH;
	}
	if (members->shadowed_us == 0)
		members->shadowed_us = now_us;
	if (now_us - members->shadowed_us < OVERLAP_US)
		return FL_WATCH;
	members->shadowed_us = 0;
	members->watching = false;
	return FL_LISTEN;
}

static bool
has_settled(const struct fl_members *members, int64_t now_us)
{
	if (members->met_us != 0 && now_us - members->met_us >= SETTLE_US)
		return true;
	return now_us - members->began_us >= ALONE_US;
}

enum fl_role
fl_members_tick(
    struct fl_members *members, int64_t now_us, const struct fl_member **leader)
{
	if (now_us - members->ticked_us > LATE_TICK_US)
		forgive_silence(members, now_us);
	members->ticked_us = now_us;
	*leader = find_leader(members, now_us);
	if (*leader != NULL)
		return yield_to(members, *leader, now_us);
	members->shadowed_us = 0;
	if (!has_settled(members, now_us)) {
		members->lacking_us = now_us; /* turns are counted from here */
		return FL_IDLE;
	}
	if (members->watching && members->self.current) {
		members->lacking_us = members->tried_us = now_us;
		return FL_WATCH;
	}
	return take_turns(members, now_us);
}

uint32_t
fl_members_near(const struct fl_members *members, int64_t now_us)
{
	uint32_t i, count = 1;

	for (i = 0; i < members->count; i++)
		count += members->list[i].near &&
			 fl_is_alive(&members->list[i], now_us);
	return count;
}

bool
fl_members_is_near(
    const struct fl_members *members, const struct sockaddr_in *fleet)
{
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		if (same_address(&members->list[i].fleet, fleet))
			return members->list[i].near;
	}
	return false;
}

/* One VM that may be named to callers, and its rank for those that ask. */
struct listing {
	bool here; /* in the data centre of those that ask */
	uint64_t rank;
	struct sockaddr_in front;
};

static void
add_listing(struct listing *list, uint32_t *count,
    const struct fl_member *member, const struct fl_asker *asker)
{
	list[(*count)++] = (struct listing){
	    .here = strcmp(member->data_centre, asker->data_centre) == 0,
	    .rank = cs_hash_pair(
		asker->number, cs_hash(member->name, strlen(member->name))),
	    .front = member->front,
	};
}

static int
by_rank(const void *a, const void *b)
{
	const struct listing *x = a, *y = b;

	if (x->here != y->here)
		return x->here ? -1 : 1;
	return x->rank < y->rank ? 1 : x->rank > y->rank ? -1 : 0;
}

static void
list_others(const struct fl_members *members, int64_t now_us, bool only_live,
    const struct fl_asker *asker, struct listing *list, uint32_t *count)
{
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		const struct fl_member *member = &members->list[i];

		if (member->near && member->ready && !member->stopping &&
		    (only_live ? fl_is_alive(member, now_us)
			       : now_us - member->heard_us < KNOWN_US))
			add_listing(list, count, member, asker);
	}
}

uint32_t
fl_members_listed(const struct fl_members *members, int64_t now_us,
    const struct fl_asker *asker, struct sockaddr_in *out, uint32_t max)
{
	struct listing list[FL_MEMBERS_MAX + 1];
	uint32_t i, own = 0, count;

	if (members->self.ready && !members->self.stopping)
		add_listing(list, &own, &members->self, asker);
	count = own;
	list_others(members, now_us, true, asker, list, &count);
	if (count == own) /* it hears nobody: it is cut off itself */
		list_others(members, now_us, false, asker, list, &count);
	if (count > max)
		qsort(list, count, sizeof(list[0]), by_rank);
	for (i = 0; i < count && i < max; i++)
		out[i] = list[i].front;
	return i;
}
