#include <assert.h>
#include <malloc.h>
#include <stddef.h>

#include "memory.h"

/*
 * Larger blocks are returned to the system when they are freed. Without a fixed
 * threshold, glibc raises it to the size of the largest block that was freed,
 * and long responses then fragment the heap.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

void
cs_memory_return_large_blocks(void)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	mallopt(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES * 8);
}

/* Only small amounts use the last part of the budget. */
#define RESERVE_DIVISOR 8

uint64_t
cs_memory_limit_bytes(const struct cs_memory *memory)
{
	uint64_t excess_bytes = 0;

	if (memory->objects_bytes > memory->objects_bytes_reserved)
		excess_bytes =
		    memory->objects_bytes - memory->objects_bytes_reserved;
	if (excess_bytes > memory->bytes_max / 2)
		excess_bytes = memory->bytes_max / 2;
	return memory->bytes_max - excess_bytes;
}

/* Closes connections while buffers exceed the limit. */
static bool
fits(struct cs_memory *memory)
{
	uint64_t bytes_max = cs_memory_limit_bytes(memory);

	if (memory->used_bytes > bytes_max && memory->reclaim != NULL)
		memory->reclaim(memory, memory->used_bytes - bytes_max, 0);
	return memory->used_bytes <= bytes_max;
}

void
cs_memory_add_objects(struct cs_memory *memory, uint64_t bytes)
{
	if (memory == NULL)
		return;
	memory->objects_bytes += bytes;
	fits(memory);
}

void
cs_memory_remove_objects(struct cs_memory *memory, uint64_t bytes)
{
	if (memory == NULL)
		return;
	assert(memory->objects_bytes >= bytes);
	memory->objects_bytes -= bytes;
}

bool
cs_memory_take(
    struct cs_memory *memory, enum cs_memory_kind kind, uint64_t bytes)
{
	bool small = bytes <= CS_MEMORY_SMALL_BYTES;
	uint64_t bytes_max;

	if (memory == NULL)
		return true;
	bytes_max = cs_memory_limit_bytes(memory);
	if (!small)
		bytes_max -= bytes_max / RESERVE_DIVISOR;
	if (bytes > bytes_max) {
		memory->refused++;
		return false;
	}
	if (memory->used_bytes + bytes > bytes_max && memory->reclaim != NULL)
		memory->reclaim(memory, memory->used_bytes + bytes - bytes_max,
		    small ? 0 : CS_MEMORY_STALLED_US);
	if (memory->used_bytes + bytes > bytes_max) {
		memory->refused++;
		return false;
	}
	memory->used_bytes += bytes;
	memory->kind_bytes[kind] += bytes;
	return true;
}

void
cs_memory_return(
    struct cs_memory *memory, enum cs_memory_kind kind, uint64_t bytes)
{
	if (memory == NULL)
		return;
	assert(memory->kind_bytes[kind] >= bytes);
	memory->used_bytes -= bytes;
	memory->kind_bytes[kind] -= bytes;
}

bool
cs_memory_change(struct cs_memory *memory, enum cs_memory_kind kind,
    uint64_t *accounted, uint64_t bytes)
{
	bool grows = bytes > *accounted;

	if (memory == NULL)
		return true;
	cs_memory_return(memory, kind, *accounted);
	memory->used_bytes += bytes;
	memory->kind_bytes[kind] += bytes;
	*accounted = bytes;
	return !grows || fits(memory);
}

bool
cs_memory_is_short(const struct cs_memory *memory)
{
	return memory != NULL &&
	       memory->used_bytes > cs_memory_limit_bytes(memory) / 2;
}

const char *
cs_memory_kind_text(enum cs_memory_kind kind)
{
	switch (kind) {
	case CS_MEMORY_CONNECTIONS:
		return "connections";
	case CS_MEMORY_REQUESTS:
		return "requests";
	case CS_MEMORY_RESPONSES:
		return "responses";
	case CS_MEMORY_OUTPUT:
		return "output";
	case CS_MEMORY_LINKS:
		return "links";
	case CS_MEMORY_KINDS:
		break;
	}
	return "unknown";
}
