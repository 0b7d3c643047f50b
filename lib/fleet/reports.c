/*
 * Heartbeats between the data centres of a large region. Each node sends its
 * heartbeats to the nodes of its data centre only; a few of these, the
 * reporters, tell those of the other data centres what they hear, and tell the
 * nodes of their own data centre what they are told.
 *
 * A report says how long ago a node was heard, so a receiver knows of no
 * heartbeat that was not sent: whatever fails, a dead node is silent everywhere
 * as soon as if each node heard it directly. A node that is not reported
 * although it runs is asked for heartbeats.
 *
 * What a report of FL_ROSTER_OTHERS tells is not reported again. Each time it
 * is told it gets younger by its way, which is long where CPU is scarce, and in
 * a circle a dead node could stay alive. A reporter that was paused may take
 * the dead for alive: it reports what it has heard, not what it assumes, and
 * what it tells after a silence counts as older by that, since its clock may
 * have stood still. Its replacements go on until its ages are right again.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

/*
 * From this size on nodes report, and from that in relay.c on they rely on it.
 * Near the threshold some nodes see a larger region than others.
 */
#define REPORTED_NODES 16
/* A reporter sends each 400 ms; one that is silent this long is replaced. */
#define REPORTER_SILENCE_US 1000000
#define DATA_CENTRES_MAX 16
/* A whole roster takes a few datagrams; they may get lost. */
#define ASK_AGAIN_US 250000

bool
fl_reports_are_used(const struct fleet *fleet)
{
	return (fleet->membership.self.features & FL_FEATURE_REPORTS) != 0 &&
	       fl_membership_is_large(&fleet->membership, cs_now_us());
}

static bool
reports_before(const struct fl_node *a, const struct fl_node *b)
{
	return a->current != b->current ? b->current
					: fl_node_ranks_before(a, b);
}

static int
compare_nodes(const void *a, const void *b)
{
	const struct fl_node *const *x = a, *const *y = b;

	return reports_before(*x, *y) ? -1 : 1;
}

/*
 * The reporters of a data centre are those after the first third in rank, which
 * relay the updates, see relay.c.
 */
static uint32_t
pick_reporters(const struct fl_membership *membership, const char *data_centre,
    int64_t silence_max_us, int64_t now_us, const struct fl_node **out,
    uint32_t max)
{
	const struct fl_node *nodes[FL_NODES_MAX + 1];
	uint32_t i, count = 0, picked = 0, first;

	for (i = 0; i <= membership->count; i++) {
		const struct fl_node *node = i == membership->count
						 ? &membership->self
						 : &membership->nodes[i];

		if (node->same_region && !node->stopping &&
		    (node->features & FL_FEATURE_REPORTS) != 0 &&
		    strcmp(node->data_centre, data_centre) == 0 &&
		    (node == &membership->self ||
			fl_node_is_alive(node, now_us)))
			nodes[count++] = node;
	}
	qsort(nodes, count, sizeof(nodes[0]), compare_nodes);
	first = count < 2 * FL_REPORTERS ? 0 : (count + 2) / 3;
	for (i = 0; i < count && picked < max; i++) {
		const struct fl_node *node = nodes[(first + i) % count];

		if (node == &membership->self || silence_max_us == INT64_MAX ||
		    (now_us - node->heard_us < silence_max_us &&
			now_us >= node->late_until_us))
			out[picked++] = node;
	}
	return picked;
}

uint32_t
fl_pick_reporters(const struct fl_membership *membership, int64_t now_us,
    const struct fl_node *out[FL_REPORTERS])
{
	return pick_reporters(membership, membership->self.data_centre,
	    REPORTER_SILENCE_US, now_us, out, FL_REPORTERS);
}

uint32_t
fl_pick_far_reporters(const struct fl_membership *membership,
    const char *data_centre, int64_t now_us,
    const struct fl_node *out[FL_FAR_REPORTERS_MAX])
{
	const char *known[DATA_CENTRES_MAX] = {NULL};
	uint32_t i, k, centres = 0, count = 0;

	for (i = 0; i <= membership->count; i++) {
		const struct fl_node *node = i == membership->count
						 ? &membership->self
						 : &membership->nodes[i];

		if (!node->same_region ||
		    strcmp(node->data_centre, data_centre) == 0 ||
		    (node->features & FL_FEATURE_REPORTS) == 0 ||
		    centres == DATA_CENTRES_MAX)
			continue;
		for (k = 0; k < centres; k++) {
			if (strcmp(known[k], node->data_centre) == 0)
				break;
		}
		if (k < centres)
			continue;
		known[centres++] = node->data_centre;
		/* One more, since they may see other nodes. */

		count += pick_reporters(membership, node->data_centre,
		    INT64_MAX, now_us, out + count, FL_REPORTERS + 1);
	}
	return count;
}

void
fl_update_reporters(struct fleet *fleet)
{
	struct fl_membership *membership = &fleet->membership;
	struct fl_reporters *reporters = &fleet->reporters;
	int64_t now_us = cs_now_us();
	uint32_t i;

	reporters->near_count = reporters->far_count = 0;
	reporters->is_reporter = false;
	if ((membership->self.features & FL_FEATURE_REPORTS) == 0 ||
	    fl_membership_count_alive(membership, now_us) < REPORTED_NODES)
		return;
	reporters->near_count =
	    fl_pick_reporters(membership, now_us, reporters->near);
	for (i = 0; i < reporters->near_count; i++)
		reporters->is_reporter |=
		    reporters->near[i] == &membership->self;
	if (reporters->is_reporter || membership->self.current)
		reporters->far_count = fl_pick_far_reporters(membership,
		    membership->self.data_centre, now_us, reporters->far);
}

static void
add_leader(struct fl_report *report, const struct fl_node *node, int64_t age_us)
{
	uint32_t i = report->leader_count;

	if (i == FL_REPORT_LEADERS_MAX)
		return;
	report->leaders[i].fleet = node->fleet;
	report->leaders[i].boot = (uint32_t)node->boot;
	report->leaders[i].age = fl_to_age(age_us);
	report->leaders[i].revision_sum = node->revision_sum;
	report->leaders[i].voters_id = node->voters_id;
	report->leader_count++;
}

/* Sets what a report tells besides its roster. */
static void
begin_report(struct fleet *fleet, struct fl_report *report,
    enum fl_roster_name name, int64_t now_us)
{
	struct fl_membership *membership = &fleet->membership;
	uint32_t i;

	membership->self.revision_sum = fl_revision_sum(fleet);
	report->boot = (uint32_t)membership->self.boot;
	report->status = fl_node_status(membership, &membership->self);
	report->revision_sum = membership->self.revision_sum;
	report->voters_id = membership->voters.id;
	report->voters_before_id = membership->voters.before_id;
	report->leader_count = 0;
	if (membership->self.current)
		add_leader(report, &membership->self, 0);
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (node->same_region && node->current && node->tells_era &&
		    fl_node_is_alive(node, now_us) &&
		    fl_node_is_proven(node, name, now_us))
			add_leader(
			    report, node, now_us - node->proven_us[name]);
	}
}

static struct fl_roster *
find_roster(struct fleet *fleet, enum fl_roster_name name)
{
	struct fl_roster *roster = fleet->rosters[name];

	if (roster == NULL) {
		roster = fleet->rosters[name] = calloc(1, sizeof(*roster));
		if (roster != NULL)
			roster->name = name;
	}
	return roster;
}

static bool
encode_report(
    struct fleet *fleet, enum fl_roster_name name, struct fl_buffer *out)
{
	struct fl_roster *roster = find_roster(fleet, name);
	int64_t now_us = cs_now_us();
	struct fl_frame frame;

	if (roster == NULL)
		return false;
	frame.type = FL_FRAME_REPORT;
	fl_roster_update(roster, &fleet->membership, now_us);
	begin_report(fleet, &frame.as.report, name, now_us);
	fl_roster_report(roster, &fleet->membership, now_us, &frame.as.report);
	return fl_encode(&frame, out) == CS_OK;
}

bool
fl_gets_report(const struct fleet *fleet, const struct fl_node *node)
{
	return fleet->reporters.is_reporter &&
	       (node->features & FL_FEATURE_REPORTS) != 0 &&
	       fl_node_is_near(&fleet->membership, node);
}

void
fl_send_reports(struct fleet *fleet)
{
	const struct fl_membership *membership = &fleet->membership;
	const struct fl_reporters *reporters = &fleet->reporters;
	int64_t now_us = cs_now_us();
	struct fl_buffer buffer;
	uint32_t i;

	if (encode_report(fleet, FL_ROSTER_OWN, &buffer)) {
		for (i = 0; i < reporters->far_count; i++)
			fl_send_encoded(
			    fleet, FL_FRAME_REPORT, &buffer, reporters->far[i]);
		free(buffer.data);
	}
	if (!encode_report(fleet, FL_ROSTER_OTHERS, &buffer))
		return;
	for (i = 0; i < membership->count; i++) {
		const struct fl_node *node = &membership->nodes[i];

		if (fl_gets_report(fleet, node) &&
		    fl_node_is_alive(node, now_us))
			fl_send_encoded(fleet, FL_FRAME_REPORT, &buffer, node);
	}
	free(buffer.data);
}

void
fl_on_roster_request(
    struct fleet *fleet, uint32_t name, const struct sockaddr_in *from)
{
	const struct fl_node *node =
	    fl_membership_find(&fleet->membership, from);
	int64_t now_us = cs_now_us();
	struct fl_roster *roster;
	struct fl_frame frame;
	uint32_t first = 0;

	if (name >= FL_ROSTERS || node == NULL || !node->same_region ||
	    !fl_node_is_alive(node, now_us))
		return;
	roster = fleet->rosters[name];
	if (roster == NULL)
		return;
	frame.type = FL_FRAME_REPORT;
	begin_report(fleet, &frame.as.report, roster->name, now_us);
	do {
		fl_roster_part(roster, &fleet->membership, now_us, first,
		    &frame.as.report);
		fl_send_datagram(fleet, &frame, from);
		first += FL_REPORT_ENTRIES_MAX;
	} while (first < roster->slot_count);
}

static void
tell_returned(struct fleet *fleet, const struct fl_node *node)
{
	fleet->params.events->on_node(fleet->params.user, node, true);
}

/* When a node was heard of which a report tells that age. */
static int64_t
heard_at(const struct fl_view *view, uint32_t age, int64_t now_us)
{
	return now_us - (int64_t)age * FL_AGE_UNIT_US -
	       (now_us < view->late_until_us ? view->late_us : 0);
}

/* Reports to the own data centre may tell what those of others have told. */
static void
set_proven(struct fl_node *node, const struct fl_view *view, int64_t heard_us)
{
	if (view->roster == FL_ROSTER_OWN &&
	    heard_us > node->proven_us[FL_ROSTER_OTHERS])
		node->proven_us[FL_ROSTER_OTHERS] = heard_us;
}

/* By which list a node votes; a process does not return to an older one. */
static uint64_t
told_vote(const struct fl_report *report, uint32_t status)
{
	if ((status & FL_STATUS_VOTES) != 0)
		return report->voters_id;
	return (status & FL_STATUS_VOTED) != 0 ? report->voters_before_id : 0;
}

static void
set_vote(struct fl_node *node, uint64_t id)
{
	if (id > node->voters_id)
		node->voters_id = id;
}

/*
 * Takes what a reporter knows of a node, if that is newer than what is known
 * here. Returns true if the choice of the leader may change.
 */
static bool
take_status(struct fleet *fleet, struct fl_node *node, uint32_t status,
    int64_t heard_us)
{
	bool current = (status & FL_STATUS_CURRENT) != 0;
	bool stopping = node->stopping || (status & FL_STATUS_STOPPING) != 0;
	bool returned, changed;

	if (heard_us <= node->heard_us || node->heard_us == 0)
		return false;
	returned = !fl_node_is_alive(node, cs_now_us());
	changed = node->current != current || node->stopping != stopping;
	node->ready = (status & FL_STATUS_READY) != 0;
	node->stopping = stopping;
	node->current = current;
	fl_node_set_heard(node, heard_us);
	if (returned && fl_node_is_alive(node, cs_now_us()))
		tell_returned(fleet, node);
	return changed;
}

/* Returns the index of the node of a record, FL_NODES_MAX: none. */
static uint32_t
take_record(struct fleet *fleet, const struct fl_view *view,
    const struct fl_roster_entry *entry, int64_t now_us)
{
	struct fl_membership *membership = &fleet->membership;
	struct fl_node record = entry->node, *node;
	int64_t heard_us = heard_at(view, entry->age, now_us);
	bool is_new;

	record.region = membership->self.region;
	record.ready = (entry->status & FL_STATUS_READY) != 0;
	record.stopping = (entry->status & FL_STATUS_STOPPING) != 0;
	node = fl_membership_find(membership, &record.fleet);
	if (node == NULL || node->heard_us == 0 ||
	    (node->boot != record.boot && node->heard_us < heard_us)) {
		/* Whether it is current is told with its revisions. */
		is_new = fl_membership_on_hello(membership, &record, heard_us);
		node = fl_membership_find(membership, &record.fleet);
		if (node != NULL) {
			memset(node->proven_us, 0, sizeof(node->proven_us));
			set_proven(node, view, heard_us);
		}
		if (is_new && node != NULL)
			fleet->params.events->on_node(
			    fleet->params.user, node, false);
	}
	return node == NULL ? FL_NODES_MAX
			    : (uint32_t)(node - membership->nodes);
}

static void
take_entries(struct fleet *fleet, struct fl_view *view,
    const struct fl_report *report, int64_t now_us)
{
	uint32_t i, index;

	for (i = 0; i < report->entry_count; i++) {
		const struct fl_roster_entry *entry = &report->entries[i];

		index = FL_NODES_MAX;
		if (entry->kind == FL_ENTRY_RECORD) {
			index = take_record(fleet, view, entry, now_us);
			if (index == FL_NODES_MAX) {
				/* Its ages are not of the node before. */
				view->slots[entry->slot].node = 0;
				continue;
			}
		}
		fl_view_set(view, entry, index);
	}
}

static bool
take_ages(struct fleet *fleet, const struct fl_view *view,
    const struct fl_report *report, int64_t now_us)
{
	uint8_t ages[FL_ROSTER_SLOTS_MAX];
	bool changed = false;
	uint32_t i;

	memset(ages, (int)report->age, sizeof(ages));
	for (i = 0; i < report->age_count; i++) {
		if (report->ages[i].slot < FL_ROSTER_SLOTS_MAX)
			ages[report->ages[i].slot] = report->ages[i].age;
	}
	for (i = 0; i < view->slot_count; i++) {
		const struct fl_view_slot *slot = &view->slots[i];
		struct fl_node *node;
		int64_t heard_us;

		/* Current nodes: see take_leaders(). */
		if (slot->node == 0 || (slot->status & FL_STATUS_CURRENT) != 0)
			continue;
		node = &fleet->membership.nodes[slot->node - 1];
		if ((uint32_t)node->boot != slot->boot)
			continue;
		heard_us = heard_at(view, ages[i], now_us);
		set_proven(node, view, heard_us);
		set_vote(node, told_vote(report, slot->status));
		changed |= take_status(fleet, node, slot->status, heard_us);
	}
	return changed;
}

/*
 * The revisions of a current node belong to the heartbeat that its age tells
 * of, so both are taken together.
 */
static bool
take_leaders(struct fleet *fleet, const struct fl_view *view,
    const struct fl_report *report, int64_t now_us)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < report->leader_count; i++) {
		int64_t heard_us =
		    heard_at(view, report->leaders[i].age, now_us);
		struct fl_node *node = fl_membership_find(
		    &fleet->membership, &report->leaders[i].fleet);

		if (node == NULL ||
		    (uint32_t)node->boot != report->leaders[i].boot)
			continue;
		set_proven(node, view, heard_us);
		set_vote(node, report->leaders[i].voters_id);
		if (node->heard_us >= heard_us)
			continue;
		node->revision_sum = report->leaders[i].revision_sum;
		node->tells_era = true;
		changed |= take_status(fleet, node,
		    FL_STATUS_CURRENT | (node->ready ? FL_STATUS_READY : 0),
		    heard_us);
	}
	return changed;
}

static void
ask_for_roster(struct fleet *fleet, struct fl_view *view, int64_t now_us)
{
	struct fl_frame frame = {.type = FL_FRAME_ROSTER_REQUEST,
	    .as.roster_request = {view->roster}};

	if (view->asked_us != 0 && now_us - view->asked_us < ASK_AGAIN_US)
		return;
	view->asked_us = now_us;
	fl_send_datagram(fleet, &frame, &view->reporter);
}

/* Takes the report as a heartbeat of its sender; false: it is not known. */
static bool
take_sender(struct fleet *fleet, const struct fl_report *report,
    const struct sockaddr_in *from)
{
	const struct fl_node *node =
	    fl_membership_find(&fleet->membership, from);
	struct fl_frame heartbeat = {.type = FL_FRAME_HEARTBEAT,
	    .as.heartbeat = {.ready = (report->status & FL_STATUS_READY) != 0,
		.stopping = (report->status & FL_STATUS_STOPPING) != 0,
		.current = (report->status & FL_STATUS_CURRENT) != 0,
		.tells_era = true,
		.voters_id = told_vote(report, report->status),
		.knows_settled = (report->status & FL_STATUS_SETTLED) != 0,
		.revision_sum = report->revision_sum}};

	if (node != NULL && (uint32_t)node->boot == report->boot)
		heartbeat.as.heartbeat.boot = node->boot;
	return fl_on_heartbeat(fleet, &heartbeat, from);
}

/*
 * Others may take this node for a reporter. If not, who reports to it does not
 * know the reporters here.
 */
static bool
may_report(const struct fl_membership *membership, int64_t now_us)
{
	const struct fl_node *nodes[FL_REPORTERS + 1];
	uint32_t i,
	    count = pick_reporters(membership, membership->self.data_centre,
		INT64_MAX, now_us, nodes, FL_REPORTERS + 1);

	for (i = 0; i < count; i++) {
		if (nodes[i] == &membership->self)
			return true;
	}
	return false;
}

bool
fl_on_report(struct fleet *fleet, const struct fl_report *report,
    const struct sockaddr_in *from)
{
	const struct fl_node *sender;
	int64_t now_us = cs_now_us();
	struct fl_view *view;
	bool changed = false;

	if (!take_sender(fleet, report, from) ||
	    !fl_membership_is_same_region(&fleet->membership, from))
		return false;
	if (fleet->views == NULL)
		fleet->views = calloc(1, sizeof(*fleet->views));
	if (fleet->views == NULL)
		return false;
	view = fl_views_find(fleet->views, from, report);
	if (view == NULL)
		return false;
	sender = fl_membership_find(&fleet->membership, from);
	fl_view_check_pause(view, sender, now_us);
	if (fl_view_take(view, report)) {
		take_entries(fleet, view, report, now_us);
		if (!report->is_part)
			changed = take_ages(fleet, view, report, now_us);
	} else if (!view->is_whole || view->version < report->version) {
		ask_for_roster(fleet, view, now_us);
	}
	if (report->roster == FL_ROSTER_OWN &&
	    now_us - view->named_us > ASK_AGAIN_US) {
		view->named_us = now_us;
		if (!may_report(&fleet->membership, now_us))
			fl_name_reporters(fleet, from);
	}
	return take_leaders(fleet, view, report, now_us) || changed;
}

void
fl_free_reports(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < FL_ROSTERS; i++)
		free(fleet->rosters[i]);
	if (fleet->views != NULL)
		fl_views_free(fleet->views);
	free(fleet->views);
}
