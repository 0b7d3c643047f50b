/*
 * The bytes that the buffers of a process hold, within one limit.
 *
 * Every buffer whose size others decide (clients, targets, other VMs) is taken
 * from the budget before it is filled, or added to it right afterwards. When it
 * runs short, a reclaim function closes connections that hold much and make no
 * progress. Objects, which operators decide, are taken in any case; beyond what
 * is reserved for them they take from the budget.
 */
#ifndef CS_MEMORY_H
#define CS_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

/* Up to this: heads, short bodies and responses of ordinary requests. */
#define CS_MEMORY_SMALL_BYTES (64 * 1024)
/*
 * For more than that, only holders that have made no progress for this long are
 * closed: others may be in the middle of a normal transfer.
 */
#define CS_MEMORY_STALLED_US 1000000

enum cs_memory_kind {
	CS_MEMORY_CONNECTIONS, /* heads and input of clients, and their state */
	CS_MEMORY_REQUESTS,    /* bodies of requests */
	CS_MEMORY_RESPONSES,   /* of targets, not relayed yet */
	CS_MEMORY_OUTPUT,      /* to clients, not sent yet */
	CS_MEMORY_LINKS,       /* to and from other VMs */
	CS_MEMORY_KINDS
};

struct cs_memory {
	uint64_t bytes_max; /* see cs_memory_limit_bytes() */
	uint64_t used_bytes;
	uint64_t kind_bytes[CS_MEMORY_KINDS];
	uint64_t refused; /* calls of cs_memory_take() that returned false */
	/*
	 * Objects of the store, what is made of them, and what reading them
	 * takes; how much of it leaves the budget as it is.
	 */
	uint64_t objects_bytes, objects_bytes_reserved;
	/*
	 * Tries to free so many bytes, from holders that have made no progress
	 * for at least stalled_us_min. NULL: nothing can be freed.
	 */
	void (*reclaim)(
	    struct cs_memory *memory, uint64_t bytes, int64_t stalled_us_min);
	void *holders; /* for reclaim */
};

/*
 * cs_memory_take(memory, kind, bytes): takes bytes before they are used. A
 * large amount leaves an eighth of the budget for small ones. Returns false if
 * there is no room, also after reclaim. memory may be NULL: no limit.
 */
bool cs_memory_take(
    struct cs_memory *memory, enum cs_memory_kind kind, uint64_t bytes);
/*
 * cs_memory_change(memory, kind, accounted, bytes): sets what is accounted for
 * a buffer that has changed its size already. Returns false if the budget is
 * exceeded, also after reclaim; the bytes count nevertheless.
 */
bool cs_memory_change(struct cs_memory *memory, enum cs_memory_kind kind,
    uint64_t *accounted, uint64_t bytes);
void cs_memory_return(
    struct cs_memory *memory, enum cs_memory_kind kind, uint64_t bytes);
/*
 * cs_memory_add_objects(memory, bytes): counts objects, and closes connections
 * where buffers now exceed the limit. memory may be NULL.
 */
void cs_memory_add_objects(struct cs_memory *memory, uint64_t bytes);
void cs_memory_remove_objects(struct cs_memory *memory, uint64_t bytes);
/*
 * cs_memory_limit_bytes(memory): what buffers may take now: bytes_max, less
 * what objects take beyond their reserve, but at least half of it.
 */
uint64_t cs_memory_limit_bytes(const struct cs_memory *memory);
/* cs_memory_is_short(memory): more than half of the budget is in use. */
bool cs_memory_is_short(const struct cs_memory *memory);
const char *cs_memory_kind_text(enum cs_memory_kind kind);

/*
 * cs_memory_return_large_blocks(): sets up the allocator of the process so that
 * large blocks are returned to the system when they are freed. Call it first.
 */
void cs_memory_return_large_blocks(void);

#endif
