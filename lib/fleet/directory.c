/*
 * Which nodes the directory names to a caller, who picks one of them at random
 * for each connection. Load pattern: nodes of very unequal CPU and links; if
 * all are named alike, the smallest get as many callers as the largest, and are
 * the first to be full.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/*
 * Where capacities differ by this many steps, four times the link x CPU, only
 * a part of the nodes is named, those of more capacity more often.
 */
#define UNEQUAL_STEPS 2
/*
 * At most half are omitted, and at most so many for each node that is unlike
 * the others, so that few addresses change when the only one comes or goes.
 */
#define OMITTED_EACH 8
/*
 * At least so many are named: callers keep a response for up to 15 s, in which
 * all nodes but a few may be lost.
 */
#define NAMED_MIN 16
/* How long a silent node may still be named by one that hears no other. */
#define SILENT_RETENTION_US 30000000

/* A node that may be named, and its rank for the query. */
struct candidate {
	bool same_data_centre; /* as the query */
	const struct fl_node *node;
	double rank;
};

/* Bounded here, since a hello may contain any number. */
static uint32_t
capacity_of(const struct fl_node *node)
{
	return node->capacity < FL_CAPACITY_MAX ? node->capacity
						: FL_CAPACITY_MAX;
}

/*
 * Weighted rendezvous hashing: of the nodes with the highest ranks, each is
 * there in proportion to its weight, as far as that is possible, and a node
 * that joins or leaves changes one other address.
 */
static double
rank_of(const struct fl_node *node, uint64_t key)
{
	uint64_t hash =
	    cs_hash_pair(key, cs_hash(node->name, strlen(node->name)));
	double uniform = ((double)(hash >> 11) + 0.5) / (double)(1ULL << 53);

	/*
	 * What a node carries is bounded by its CPU or by its link, so it grows
	 * with less than their product: the weight is the root of that.
	 */
	return exp2(capacity_of(node) / 2.0) / -log(uniform);
}

static void
add_candidate(struct candidate *candidates, uint32_t *count,
    const struct fl_node *node, const struct fl_directory_query *query)
{
	candidates[(*count)++] = (struct candidate){
	    .same_data_centre =
		strcmp(node->data_centre, query->data_centre) == 0,
	    .node = node,
	};
}

static int
compare_ranks(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	return x->rank < y->rank ? 1 : x->rank > y->rank ? -1 : 0;
}

static int
compare_nearest(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->same_data_centre != y->same_data_centre)
		return x->same_data_centre ? -1 : 1;
	return compare_ranks(a, b);
}

static void
add_others(const struct fl_membership *membership, int64_t now_us,
    bool only_live, const struct fl_directory_query *query,
    struct candidate *candidates, uint32_t *count)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (node->same_region && node->ready && !node->stopping &&
		    (only_live ? fl_node_is_alive(node, now_us)
			       : now_us - node->heard_us < SILENT_RETENTION_US))
			add_candidate(candidates, count, node, query);
	}
}

/*
 * Returns how many nodes differ from the others by UNEQUAL_STEPS: those at the
 * upper end or those at the lower end, whichever are fewer.
 */
static uint32_t
count_unlike(const struct candidate *candidates, uint32_t count)
{
	uint32_t i, capacity, least = FL_CAPACITY_MAX, most = 0;
	uint32_t upper = 0, lower = 0;

	for (i = 0; i < count; i++) {
		capacity = capacity_of(candidates[i].node);
		least = capacity < least ? capacity : least;
		most = capacity > most ? capacity : most;
	}
	for (i = 0; i < count; i++) {
		capacity = capacity_of(candidates[i].node);
		upper += capacity >= least + UNEQUAL_STEPS;
		lower += capacity + UNEQUAL_STEPS <= most;
	}
	return upper < lower ? upper : lower;
}

/* Returns how many of count nodes are named. */
static uint32_t
count_named(uint32_t count, uint32_t unlike)
{
	uint32_t named = (count + 1) / 2;

	if (named < NAMED_MIN)
		named = NAMED_MIN;
	if (named > count)
		named = count;
	return count - named > OMITTED_EACH * unlike
		   ? count - OMITTED_EACH * unlike
		   : named;
}

/*
 * Orders the candidates: those in the data centre of the query first, then by
 * rank for the key. Returns how many are in that data centre.
 */
static uint32_t
order_all(struct candidate *candidates, uint32_t count, uint64_t key)
{
	uint32_t i, near = 0;

	for (i = 0; i < count; i++) {
		candidates[i].rank = rank_of(candidates[i].node, key);
		near += candidates[i].same_data_centre;
	}
	qsort(candidates, count, sizeof(candidates[0]), compare_nearest);
	return near;
}

/* Moves the nodes that are named to the front, and returns their number. */
static uint32_t
select_alike(struct candidate *candidates, uint32_t count, uint32_t max,
    const struct fl_directory_query *query)
{
	if (count > max)
		order_all(candidates, count, query->hash);
	return count < max ? count : max;
}

/*
 * As select_alike(), but names a part of those that fit: the best of the data
 * centre, then the best of the rest. The same steps apply whether all fit or
 * not, so that one node more never changes many addresses.
 */
static uint32_t
select_weighted(struct candidate *candidates, uint32_t count, uint32_t max,
    const struct fl_directory_query *query, uint32_t unlike)
{
	uint32_t named;
	uint64_t key = cs_hash_pair(query->hash, query->caller);
	uint32_t near = order_all(candidates, count, key);

	if (count > max)
		count = max;
	named = count_named(count, unlike);
	near = near < max ? near : max;
	near = count == 0 ? 0 : (near * named + count - 1) / count;
	qsort(&candidates[near], count - near, sizeof(candidates[0]),
	    compare_ranks);
	return named;
}

uint32_t
fl_membership_list_addresses(const struct fl_membership *membership,
    int64_t now_us, const struct fl_directory_query *query,
    struct sockaddr_in *out, uint32_t max)
{
	struct candidate candidates[FL_NODES_MAX + 1];
	uint32_t i, own = 0, count, unlike;
	bool cut_off;

	if (membership->self.ready && !membership->self.stopping)
		add_candidate(candidates, &own, &membership->self, query);
	count = own;
	add_others(membership, now_us, true, query, candidates, &count);
	cut_off = count == own; /* it hears no other node */
	if (cut_off)
		add_others(
		    membership, now_us, false, query, candidates, &count);
	/* One that is cut off omits none: only a few, or itself, may live. */
	unlike = cut_off ? 0 : count_unlike(candidates, count);
	count = unlike > 0
		    ? select_weighted(candidates, count, max, query, unlike)
		    : select_alike(candidates, count, max, query);
	for (i = 0; i < count; i++)
		out[i] = candidates[i].node->listen_address;
	return count;
}
