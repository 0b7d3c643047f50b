/* Encodes and decodes reports, see reports.c. */
#include <string.h>

#include "frames_internal.h"

#define AGE_BYTES 3 /* slot and age of an exception */
#define HEAD_ITEMS 15
#define LEADER_ITEMS 5
#define ID_ITEMS 2 /* number and era */

static uint32_t
count_items(const struct fl_roster_entry *entry)
{
	switch (entry->kind) {
	case FL_ENTRY_GONE:
		return 3;
	case FL_ENTRY_STATUS:
		return 5;
	case FL_ENTRY_RECORD:
		return 12;
	}
	return 0;
}

static void
pack_entry(msgpack_packer *packer, const struct fl_roster_entry *entry)
{
	const struct fl_node *node = &entry->node;

	msgpack_pack_uint32(packer, entry->kind);
	msgpack_pack_uint32(packer, entry->slot);
	msgpack_pack_uint32(packer, entry->version);
	if (entry->kind == FL_ENTRY_GONE)
		return;
	msgpack_pack_uint32(packer, entry->status);
	msgpack_pack_uint32(packer, entry->age);
	if (entry->kind == FL_ENTRY_STATUS)
		return;
	fl_pack_text(packer, node->name, strlen(node->name));
	fl_pack_text(packer, node->data_centre, strlen(node->data_centre));
	fl_pack_address(packer, &node->fleet);
	fl_pack_address(packer, &node->listen_address);
	msgpack_pack_uint64(packer, node->boot);
	msgpack_pack_uint32(packer, node->capacity);
	msgpack_pack_uint32(packer, node->features);
}

void
fl_pack_report(msgpack_packer *packer, const struct fl_report *report)
{
	unsigned char ages[FL_REPORT_AGES_MAX * AGE_BYTES];
	uint32_t i, items = HEAD_ITEMS + report->leader_count * LEADER_ITEMS;

	for (i = 0; i < report->entry_count; i++)
		items += count_items(&report->entries[i]);
	for (i = 0; i < report->age_count; i++) {
		ages[i * AGE_BYTES] =
		    (unsigned char)(report->ages[i].slot >> 8);
		ages[i * AGE_BYTES + 1] = (unsigned char)report->ages[i].slot;
		ages[i * AGE_BYTES + 2] = report->ages[i].age;
	}
	if (report->voters_id != 0)
		items += ID_ITEMS * (2 + report->leader_count);
	msgpack_pack_array(packer, items);
	msgpack_pack_int(packer, FL_FRAME_REPORT);
	msgpack_pack_uint32(packer, report->boot);
	msgpack_pack_uint32(packer, report->status);
	fl_pack_number(packer, report->revision_sum);
	fl_pack_era(packer, report->revision_sum);
	msgpack_pack_uint32(packer, report->roster);
	msgpack_pack_uint32(packer, report->version);
	msgpack_pack_uint32(packer, report->base);
	msgpack_pack_uint32(packer, report->slot_count);
	msgpack_pack_int(packer, report->is_part);
	msgpack_pack_uint32(packer, report->first);
	msgpack_pack_uint32(packer, report->age);
	fl_pack_text(packer, (const char *)ages, report->age_count * AGE_BYTES);
	msgpack_pack_uint32(packer, report->leader_count);
	for (i = 0; i < report->leader_count; i++) {
		fl_pack_address(packer, &report->leaders[i].fleet);
		msgpack_pack_uint32(packer, report->leaders[i].boot);
		msgpack_pack_uint32(packer, report->leaders[i].age);
		fl_pack_number(packer, report->leaders[i].revision_sum);
		fl_pack_era(packer, report->leaders[i].revision_sum);
	}
	msgpack_pack_uint32(packer, report->entry_count);
	for (i = 0; i < report->entry_count; i++)
		pack_entry(packer, &report->entries[i]);
	if (report->voters_id == 0)
		return;
	fl_pack_id(packer, report->voters_id);
	fl_pack_id(packer, report->voters_before_id);
	for (i = 0; i < report->leader_count; i++)
		fl_pack_id(packer, report->leaders[i].voters_id);
}

/* Reads a number; one that is not below the limit makes the frame invalid. */
static uint32_t
read_below(struct fl_cursor *cursor, uint32_t limit)
{
	uint32_t number = fl_read_small(cursor);

	if (number < limit)
		return number;
	cursor->failed = true;
	return 0;
}

static void
read_entry(struct fl_cursor *cursor, struct fl_roster_entry *entry)
{
	struct fl_node *node = &entry->node;

	entry->kind =
	    (enum fl_entry_kind)read_below(cursor, FL_ENTRY_RECORD + 1);
	entry->slot = read_below(cursor, FL_ROSTER_SLOTS_MAX);
	entry->version = fl_read_small(cursor);
	if (entry->kind == FL_ENTRY_GONE)
		return;
	entry->status = fl_read_small(cursor);
	entry->age = read_below(cursor, FL_AGE_MAX + 1);
	if (entry->kind == FL_ENTRY_STATUS)
		return;
	*node = (struct fl_node){.same_region = true, .tells_era = true};
	fl_read_name(cursor, node->name, sizeof(node->name));
	fl_read_name(cursor, node->data_centre, sizeof(node->data_centre));
	node->fleet = fl_read_address(cursor);
	node->listen_address = fl_read_address(cursor);
	node->boot = fl_read_number(cursor);
	node->capacity = fl_read_small(cursor);
	node->features = fl_read_small(cursor);
}

static void
read_ages(struct fl_cursor *cursor, struct fl_report *report)
{
	const msgpack_object *item;
	uint32_t i;

	if (cursor->at >= cursor->array->size) {
		cursor->failed = true;
		return;
	}
	item = &cursor->array->ptr[cursor->at++];
	if (item->type != MSGPACK_OBJECT_STR ||
	    item->via.str.size > sizeof(report->ages) ||
	    item->via.str.size / AGE_BYTES > FL_REPORT_AGES_MAX) {
		cursor->failed = true;
		return;
	}
	report->age_count = item->via.str.size / AGE_BYTES;
	for (i = 0; i < report->age_count; i++) {
		const unsigned char *bytes =
		    (const unsigned char *)item->via.str.ptr + i * AGE_BYTES;

		report->ages[i].slot = (uint16_t)(bytes[0] << 8 | bytes[1]);
		report->ages[i].age = bytes[2];
	}
}

void
fl_read_report(struct fl_cursor *cursor, struct fl_report *report)
{
	uint32_t i;

	report->boot = fl_read_small(cursor);
	report->status = fl_read_small(cursor);
	report->revision_sum = fl_read_number(cursor);
	fl_read_era(cursor, &report->revision_sum);
	report->roster = (enum fl_roster_name)read_below(cursor, FL_ROSTERS);
	report->version = fl_read_small(cursor);
	report->base = fl_read_small(cursor);
	report->slot_count = read_below(cursor, FL_ROSTER_SLOTS_MAX + 1);
	report->is_part = fl_read_number(cursor) != 0;
	report->first = read_below(cursor, FL_ROSTER_SLOTS_MAX);
	report->age = read_below(cursor, FL_AGE_MAX + 1);
	read_ages(cursor, report);
	report->leader_count = read_below(cursor, FL_REPORT_LEADERS_MAX + 1);
	for (i = 0; i < report->leader_count; i++) {
		report->leaders[i].fleet = fl_read_address(cursor);
		report->leaders[i].boot = fl_read_small(cursor);
		report->leaders[i].age = read_below(cursor, FL_AGE_MAX + 1);
		report->leaders[i].revision_sum = fl_read_number(cursor);
		fl_read_era(cursor, &report->leaders[i].revision_sum);
	}
	report->entry_count = read_below(cursor, FL_REPORT_ENTRIES_MAX + 1);
	for (i = 0; i < report->entry_count && !cursor->failed; i++)
		read_entry(cursor, &report->entries[i]);
	report->voters_id = fl_read_id(cursor);
	report->voters_before_id = fl_read_id(cursor);
	for (i = 0; i < report->leader_count; i++)
		report->leaders[i].voters_id = fl_read_id(cursor);
}
