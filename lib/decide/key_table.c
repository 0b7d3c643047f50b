/*
 * Hash tables of keys whose records expire. Each insertion also checks a few
 * slots and frees those with expired records, so that no step takes long.
 */
#include <stdlib.h>

#include "decide_internal.h"

#define SWEEP_SLOTS 8 /* per insertion */
#define MAX_LOAD_PERCENT 75

int
dc_key_table_init(struct dc_key_table *table, uint32_t size)
{
	*table = (struct dc_key_table){.size = size};
	table->records = calloc(size, sizeof(table->records[0]));
	return table->records == NULL ? CS_E_SYSTEM : CS_OK;
}

void
dc_key_table_free(struct dc_key_table *table)
{
	free(table->records);
}

static uint32_t
first_slot(const struct dc_key_table *table, uint64_t a, uint64_t b)
{
	return (uint32_t)(cs_hash_pair(a, b) % table->size);
}

/* Returns the slot that holds the key, or the free one for it. */
static uint32_t
find_slot(const struct dc_key_table *table, uint64_t a, uint64_t b)
{
	uint32_t slot = first_slot(table, a, b);

	while (table->records[slot].state != DC_KEY_FREE &&
	       (table->records[slot].a != a || table->records[slot].b != b))
		slot = (slot + 1) % table->size;
	return slot;
}

/* Frees a slot and moves back records that the gap would hide. */
static void
remove_slot(struct dc_key_table *table, uint32_t gap)
{
	uint32_t slot = gap, first;

	table->records[gap].state = DC_KEY_FREE;
	table->count--;
	for (;;) {
		slot = (slot + 1) % table->size;
		if (table->records[slot].state == DC_KEY_FREE)
			return;
		first = first_slot(
		    table, table->records[slot].a, table->records[slot].b);
		if ((slot - first + table->size) % table->size <
		    (slot - gap + table->size) % table->size)
			continue;
		table->records[gap] = table->records[slot];
		table->records[slot].state = DC_KEY_FREE;
		gap = slot;
	}
}

static void
sweep(struct dc_key_table *table, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < SWEEP_SLOTS; i++) {
		struct dc_key_record *record =
		    &table->records[table->sweep_slot];

		if (record->state != DC_KEY_FREE &&
		    record->expires_us <= now_us)
			remove_slot(table, table->sweep_slot);
		else
			table->sweep_slot =
			    (table->sweep_slot + 1) % table->size;
	}
}

struct dc_key_record *
dc_key_find(struct dc_key_table *table, uint64_t a, uint64_t b, int64_t now_us)
{
	struct dc_key_record *record = &table->records[find_slot(table, a, b)];

	if (record->state == DC_KEY_FREE || record->expires_us <= now_us)
		return NULL;
	return record;
}

struct dc_key_record *
dc_key_insert(struct dc_key_table *table, uint64_t a, uint64_t b,
    int64_t expires_us, int64_t now_us)
{
	struct dc_key_record *record;

	sweep(table, now_us);
	record = &table->records[find_slot(table, a, b)];
	if (record->state == DC_KEY_FREE) {
		if (table->count >= table->size / 100 * MAX_LOAD_PERCENT)
			return NULL;
		table->count++;
	}
	*record = (struct dc_key_record){
	    .a = a,
	    .b = b,
	    .expires_us = expires_us,
	    .state = DC_KEY_ACTIVE,
	};
	return record;
}
