#include <stdlib.h>
#include <string.h>

#include "roster.h"

/* Changes are repeated this long: in two or three reports of a reporter. */
#define REPEAT_US 1100000
/* Of this many nodes, one may have an age of its own in a report. */
#define NODES_FOR_AN_AGE 16
/* Heartbeats and reports that arrive make no age larger than this. */
#define FRESH_AGE_MAX (1200000 / FL_AGE_UNIT_US)
/* Reports are due every 400 ms, with a jitter. */
#define REPORT_INTERVAL_US 400000
#define REPORT_GAP_US 500000
#define REPORT_PAUSE_US 1000000
/* After a longer gap the reporter itself was noted as silent. */
#define SHORT_GAP_MAX_US 1500000
/* Ages that are too small by a pause do no harm after the longest silence. */
#define SHORT_PAUSE_LASTS_US 2100000
/* The reporter counted as dead. */
#define LONG_PAUSE_US 2000000

bool
fl_node_is_near(
    const struct fl_membership *membership, const struct fl_node *node)
{
	return node->same_region &&
	       strcmp(node->data_centre, membership->self.data_centre) == 0;
}

uint32_t
fl_node_status(
    const struct fl_membership *membership, const struct fl_node *node)
{
	const struct fl_voters *voters = &membership->voters;
	uint32_t votes = 0;

	if (node->voters_id != 0 && node->voters_id >= voters->id)
		votes = FL_STATUS_VOTES | FL_STATUS_VOTED;
	else if (node->voters_id != 0 && node->voters_id >= voters->before_id)
		votes = FL_STATUS_VOTED;
	if (node == &membership->self && node->knows_settled)
		votes |= FL_STATUS_SETTLED;
	return votes | (node->ready ? FL_STATUS_READY : 0) |
	       (node->stopping ? FL_STATUS_STOPPING : 0) |
	       (node->current ? FL_STATUS_CURRENT : 0);
}

bool
fl_node_is_proven(
    const struct fl_node *node, enum fl_roster_name name, int64_t now_us)
{
	return fl_to_age(now_us - node->proven_us[name]) < FL_AGE_MAX;
}

uint32_t
fl_to_age(int64_t us)
{
	int64_t age = (us + FL_AGE_UNIT_US - 1) / FL_AGE_UNIT_US;

	return age < 0 ? 0 : age > FL_AGE_MAX ? FL_AGE_MAX : (uint32_t)age;
}

/* The node with an index of slot_of. */
static const struct fl_node *
node_at(const struct fl_membership *membership, uint32_t index)
{
	return index == FL_NODES_MAX ? &membership->self
				     : &membership->nodes[index];
}

static bool
is_listed(const struct fl_roster *roster,
    const struct fl_membership *membership, uint32_t index, int64_t now_us)
{
	const struct fl_node *node = node_at(membership, index);

	if ((node->features & FL_FEATURE_REPORTS) == 0 || !node->same_region ||
	    (index != FL_NODES_MAX &&
		(!fl_node_is_alive(node, now_us) ||
		    !fl_node_is_proven(node, roster->name, now_us))))
		return false;
	return fl_node_is_near(membership, node) ==
	       (roster->name == FL_ROSTER_OWN);
}

static struct fl_roster_slot *
take_slot(struct fl_roster *roster, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < roster->slot_count && roster->slots[i].node != 0; i++)
		;
	if (i == FL_ROSTER_SLOTS_MAX)
		return NULL;
	if (i == roster->slot_count)
		roster->slot_count++;
	roster->slots[i].node = index + 1;
	roster->slot_of[index] = (uint16_t)(i + 1);
	return &roster->slots[i];
}

static void
change_slot(struct fl_roster *roster, struct fl_roster_slot *slot,
    bool is_record, int64_t now_us)
{
	slot->version = ++roster->version;
	if (is_record)
		slot->record_version = slot->version;
	slot->changed_us = now_us;
}

static void
update_node(struct fl_roster *roster, const struct fl_membership *membership,
    uint32_t index, int64_t now_us)
{
	const struct fl_node *node = node_at(membership, index);
	bool listed = is_listed(roster, membership, index, now_us);
	uint32_t number = roster->slot_of[index];
	struct fl_roster_slot *slot =
	    number == 0 ? NULL : &roster->slots[number - 1];
	bool is_record = slot == NULL || slot->boot != (uint32_t)node->boot;

	if (!listed) {
		if (slot == NULL)
			return;
		roster->slot_of[index] = 0;
		slot->node = 0;
		change_slot(roster, slot, true, now_us);
		return;
	}
	if (slot == NULL)
		slot = take_slot(roster, index);
	if (slot == NULL ||
	    (!is_record && slot->status == fl_node_status(membership, node)))
		return;
	slot->boot = (uint32_t)node->boot;
	slot->status = fl_node_status(membership, node);
	change_slot(roster, slot, is_record, now_us);
}

void
fl_roster_update(struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < membership->count; i++)
		update_node(roster, membership, i, now_us);
	update_node(roster, membership, FL_NODES_MAX, now_us);
}

static uint32_t
age_of(const struct fl_membership *membership, enum fl_roster_name name,
    const struct fl_roster_slot *slot, int64_t now_us)
{
	const struct fl_node *node = node_at(membership, slot->node - 1);

	return node == &membership->self
		   ? 0
		   : fl_to_age(now_us - node->proven_us[name]);
}

static void
set_entry(const struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us, uint32_t number,
    bool as_record, struct fl_roster_entry *out)
{
	const struct fl_roster_slot *slot = &roster->slots[number];

	out->slot = number;
	out->version = slot->version;
	out->kind = slot->node == 0 ? FL_ENTRY_GONE
		    : as_record	    ? FL_ENTRY_RECORD
				    : FL_ENTRY_STATUS;
	if (slot->node == 0)
		return;
	out->status = slot->status;
	out->age = age_of(membership, roster->name, slot, now_us);
	if (as_record)
		out->node = *node_at(membership, slot->node - 1);
}

static int
compare_versions(const void *a, const void *b)
{
	const struct fl_roster_slot *const *x = a, *const *y = b;

	return (*x)->version > (*y)->version ? -1 : 1;
}

static void
add_changes(const struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us,
    struct fl_report *out)
{
	const struct fl_roster_slot *changed[FL_ROSTER_SLOTS_MAX] = {NULL};
	uint32_t i, count = 0;

	out->base = 0;
	for (i = 0; i < roster->slot_count; i++) {
		const struct fl_roster_slot *slot = &roster->slots[i];

		if (slot->version > 0 && now_us - slot->changed_us < REPEAT_US)
			changed[count++] = slot;
		else if (slot->version > out->base)
			out->base = slot->version;
	}
	qsort(changed, count, sizeof(changed[0]), compare_versions);
	if (count > FL_REPORT_ENTRIES_MAX) {
		if (changed[FL_REPORT_ENTRIES_MAX]->version > out->base)
			out->base = changed[FL_REPORT_ENTRIES_MAX]->version;
		count = FL_REPORT_ENTRIES_MAX;
	}
	for (i = 0; i < count; i++) {
		/* A receiver may lack the record if it is that new. */
		bool as_record = changed[i]->record_version > out->base;

		set_entry(roster, membership, now_us,
		    (uint32_t)(changed[i] - roster->slots), as_record,
		    &out->entries[i]);
	}
	out->entry_count = count;
}

static int
compare_ages(const void *a, const void *b)
{
	return *(const uint8_t *)a - *(const uint8_t *)b;
}

/*
 * One age for most nodes, and the ages of those that were heard before. Those
 * that fall silent, a whole data centre perhaps, must not make the others
 * older.
 */
static void
add_ages(const struct fl_roster *roster, const struct fl_membership *membership,
    int64_t now_us, struct fl_report *out)
{
	uint8_t ages[FL_ROSTER_SLOTS_MAX], sorted[FL_ROSTER_SLOTS_MAX];
	uint32_t i, count = 0, fresh = 0, own;

	for (i = 0; i < roster->slot_count; i++) {
		if (roster->slots[i].node == 0)
			continue;
		ages[i] = (uint8_t)age_of(
		    membership, roster->name, &roster->slots[i], now_us);
		sorted[count++] = ages[i];
		fresh += ages[i] <= FRESH_AGE_MAX;
	}
	out->age = 0;
	out->age_count = 0;
	if (count == 0)
		return;
	qsort(sorted, count, sizeof(sorted[0]), compare_ages);
	own = fresh < 2 ? 0 : fresh / NODES_FOR_AN_AGE + 1;
	own += count - fresh;
	if (own > FL_REPORT_AGES_MAX)
		own = FL_REPORT_AGES_MAX;
	out->age = own >= count ? 0 : sorted[count - 1 - own];
	for (i = 0; i < roster->slot_count; i++) {
		if (roster->slots[i].node == 0 || ages[i] <= out->age)
			continue;
		out->ages[out->age_count].slot = (uint16_t)i;
		out->ages[out->age_count++].age = ages[i];
	}
}

void
fl_roster_report(const struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us,
    struct fl_report *out)
{
	out->roster = roster->name;
	out->version = roster->version;
	out->slot_count = roster->slot_count;
	out->is_part = false;
	out->first = 0;
	add_changes(roster, membership, now_us, out);
	add_ages(roster, membership, now_us, out);
}

void
fl_roster_part(const struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us, uint32_t first,
    struct fl_report *out)
{
	uint32_t i;

	out->roster = roster->name;
	out->version = roster->version;
	out->base = 0;
	out->slot_count = roster->slot_count;
	out->is_part = true;
	out->first = first;
	out->age = out->age_count = 0;
	for (i = 0; i < FL_REPORT_ENTRIES_MAX && first + i < roster->slot_count;
	     i++)
		set_entry(roster, membership, now_us, first + i, true,
		    &out->entries[i]);
	out->entry_count = i;
}

static void
clear_view(struct fl_view *view)
{
	view->is_whole = false;
	view->version = 0;
	view->parts = 0;
	if (view->slots != NULL)
		memset(
		    view->slots, 0, FL_ROSTER_SLOTS_MAX * sizeof(*view->slots));
}

struct fl_view *
fl_views_find(struct fl_views *views, const struct sockaddr_in *reporter,
    const struct fl_report *report)
{
	struct fl_view *view, *oldest = &views->views[0];
	uint32_t i;

	for (i = 0; i < views->count; i++) {
		view = &views->views[i];
		if (view->used_us < oldest->used_us)
			oldest = view;
		if (view->reporter.sin_addr.s_addr !=
			reporter->sin_addr.s_addr ||
		    view->reporter.sin_port != reporter->sin_port ||
		    view->roster != report->roster)
			continue;
		break;
	}
	if (i == views->count) {
		view = views->count < FL_VIEWS_MAX
			   ? &views->views[views->count++]
			   : oldest;
		view->asked_us = view->named_us = 0;
		view->used_us = view->late_until_us = 0;
		view->boot = report->boot + 1;
	}
	if (view->slots == NULL)
		view->slots = calloc(FL_ROSTER_SLOTS_MAX, sizeof(*view->slots));
	if (view->slots == NULL)
		return NULL;
	if (view->boot != report->boot) {
		clear_view(view);
		/* A new roster begins with version 0, without nodes. */
		view->is_whole = true;
	}
	view->reporter = *reporter;
	view->roster = report->roster;
	view->boot = report->boot;
	return view;
}

/*
 * A node that takes the place of reporters that failed was not reported for a
 * while, but it was not paused: it did not fall silent for long, and its last
 * report is much older.
 */
void
fl_view_check_pause(
    struct fl_view *view, const struct fl_node *reporter, int64_t now_us)
{
	int64_t silent_us = now_us - view->used_us;

	if (now_us < reporter->late_until_us && silent_us > REPORT_PAUSE_US &&
	    (reporter->late_us > LONG_PAUSE_US ||
		silent_us < reporter->late_us + REPORT_PAUSE_US)) {
		view->late_us = reporter->late_us;
		view->late_until_us = reporter->late_until_us;
	} else if (silent_us > REPORT_GAP_US && silent_us <= SHORT_GAP_MAX_US) {
		/* A short pause; or a report was lost, others' ages count. */
		int64_t late_us = silent_us - REPORT_INTERVAL_US;

		if (now_us >= view->late_until_us || late_us > view->late_us)
			view->late_us = late_us;
		view->late_until_us = now_us + SHORT_PAUSE_LASTS_US;
	}
	view->used_us = now_us;
}

static bool
take_part(struct fl_view *view, const struct fl_report *report)
{
	uint64_t all = report->slot_count <= FL_REPORT_ENTRIES_MAX
			   ? 1
			   : (UINT64_C(1) << ((report->slot_count - 1) /
						  FL_REPORT_ENTRIES_MAX +
					      1)) -
				 1;

	if (view->is_whole && view->version >= report->version)
		return false;
	if (view->is_whole || view->version != report->version) {
		clear_view(view);
		view->version = report->version;
	}
	view->parts |= UINT64_C(1) << (report->first / FL_REPORT_ENTRIES_MAX);
	view->is_whole = view->parts == all;
	return true;
}

bool
fl_view_take(struct fl_view *view, const struct fl_report *report)
{
	view->slot_count = report->slot_count;
	if (report->is_part)
		return take_part(view, report);
	if (!view->is_whole || view->version < report->base ||
	    view->version > report->version)
		return false;
	view->version = report->version;
	return true;
}

void
fl_view_set(
    struct fl_view *view, const struct fl_roster_entry *entry, uint32_t node)
{
	struct fl_view_slot *slot = &view->slots[entry->slot];

	slot->status = entry->status;
	if (entry->kind == FL_ENTRY_GONE)
		slot->node = 0;
	if (entry->kind != FL_ENTRY_RECORD)
		return;
	slot->node = node + 1;
	slot->boot = (uint32_t)entry->node.boot;
}

void
fl_views_free(struct fl_views *views)
{
	uint32_t i;

	for (i = 0; i < views->count; i++)
		free(views->views[i].slots);
	views->count = 0;
}
