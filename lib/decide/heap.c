/*
 * Intrusive pairing heaps: the nodes are stored inside the calls, so that
 * queues and timers need no further memory.
 */
#include "decide_internal.h"

static struct dc_node *
node(struct dc_core *core, const struct dc_heap *heap, uint32_t call)
{
	return &core->calls[call].nodes[heap->kind];
}

static bool
before(struct dc_core *core, const struct dc_heap *heap, uint32_t a, uint32_t b)
{
	const struct dc_node *na = node(core, heap, a);
	const struct dc_node *nb = node(core, heap, b);

	if (na->key != nb->key)
		return na->key < nb->key;
	return core->calls[a].id < core->calls[b].id;
}

static uint32_t
meld(struct dc_core *core, const struct dc_heap *heap, uint32_t a, uint32_t b)
{
	struct dc_node *parent, *child;
	uint32_t swap;

	if (a == DC_NONE)
		return b;
	if (b == DC_NONE)
		return a;
	if (before(core, heap, b, a)) {
		swap = a;
		a = b;
		b = swap;
	}
	parent = node(core, heap, a);
	child = node(core, heap, b);
	child->next = parent->child;
	if (child->next != DC_NONE)
		node(core, heap, child->next)->previous = b;
	child->previous = a;
	parent->child = b;
	return a;
}

/* Melds a list of siblings in pairs, then the pairs from last to first. */
static uint32_t
meld_siblings(struct dc_core *core, const struct dc_heap *heap, uint32_t first)
{
	uint32_t pairs = DC_NONE, root = DC_NONE, a, b, pair;

	while (first != DC_NONE) {
		a = first;
		b = node(core, heap, a)->next;
		first = b == DC_NONE ? DC_NONE : node(core, heap, b)->next;
		node(core, heap, a)->next = DC_NONE;
		if (b != DC_NONE)
			node(core, heap, b)->next = DC_NONE;
		pair = meld(core, heap, a, b);
		node(core, heap, pair)->next = pairs;
		pairs = pair;
	}
	while (pairs != DC_NONE) {
		pair = pairs;
		pairs = node(core, heap, pair)->next;
		node(core, heap, pair)->next = DC_NONE;
		root = meld(core, heap, root, pair);
	}
	if (root != DC_NONE)
		node(core, heap, root)->previous = DC_NONE;
	return root;
}

void
dc_heap_init(struct dc_heap *heap, enum dc_node_kind kind)
{
	*heap = (struct dc_heap){.kind = kind, .root = DC_NONE};
}

void
dc_heap_push(
    struct dc_core *core, struct dc_heap *heap, uint32_t call, int64_t key)
{
	*node(core, heap, call) = (struct dc_node){
	    .key = key,
	    .child = DC_NONE,
	    .next = DC_NONE,
	    .previous = DC_NONE,
	    .linked = true,
	};
	heap->root = meld(core, heap, heap->root, call);
	heap->count++;
}

/* Removes a node that is not the root from its list of siblings. */
static void
unlink_node(struct dc_core *core, struct dc_heap *heap, uint32_t call)
{
	struct dc_node *n = node(core, heap, call);
	struct dc_node *previous = node(core, heap, n->previous);

	if (previous->child == call)
		previous->child = n->next;
	else
		previous->next = n->next;
	if (n->next != DC_NONE)
		node(core, heap, n->next)->previous = n->previous;
}

void
dc_heap_remove(struct dc_core *core, struct dc_heap *heap, uint32_t call)
{
	struct dc_node *n = node(core, heap, call);
	uint32_t children;

	children = meld_siblings(core, heap, n->child);
	if (heap->root == call) {
		heap->root = children;
	} else {
		unlink_node(core, heap, call);
		heap->root = meld(core, heap, heap->root, children);
	}
	n->linked = false;
	heap->count--;
}

uint32_t
dc_heap_pop(struct dc_core *core, struct dc_heap *heap)
{
	uint32_t call = heap->root;

	if (call != DC_NONE)
		dc_heap_remove(core, heap, call);
	return call;
}
