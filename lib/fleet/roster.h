/*
 * Rosters: lists of nodes, each in a slot, that a reporter sends changes of;
 * and views, the copies of those at a receiver. No I/O; the time is passed in.
 */
#ifndef FL_ROSTER_H
#define FL_ROSTER_H

#include "fleet.h"

struct fl_roster_slot {
	uint32_t node; /* index in the membership + 1; 0: empty */
	uint32_t boot, status;
	/* Of the last change, and of the last one that was a record. */
	uint32_t version, record_version;
	int64_t changed_us;
};

struct fl_roster {
	enum fl_roster_name name;
	uint32_t version, slot_count;
	struct fl_roster_slot slots[FL_ROSTER_SLOTS_MAX];
	/* By index in the membership, this node last: slot + 1; 0: none. */
	uint16_t slot_of[FL_NODES_MAX + 1];
};

/* A node as a reporter listed it. */
struct fl_view_slot {
	uint32_t node; /* index in the membership + 1; 0: empty */
	uint32_t boot, status;
};

/* The roster of one reporter. */
struct fl_view {
	struct sockaddr_in reporter;
	uint32_t boot;
	enum fl_roster_name roster;
	bool is_whole; /* it has all changes up to the version */
	uint32_t version;
	uint64_t parts; /* received of the whole roster, a bit for each */
	int64_t asked_us, named_us, used_us;
	/* The reporter was paused: added to its ages until then. */
	int64_t late_us, late_until_us;
	uint32_t slot_count;
	struct fl_view_slot *slots;
};

#define FL_VIEWS_MAX 24 /* reporters change; those used last are kept */

struct fl_views {
	uint32_t count;
	struct fl_view views[FL_VIEWS_MAX];
};

bool fl_node_is_near(
    const struct fl_membership *membership, const struct fl_node *node);
/* fl_node_status(membership, node): FL_STATUS_*, as this node reports it. */
uint32_t fl_node_status(
    const struct fl_membership *membership, const struct fl_node *node);
/*
 * fl_node_is_proven(node, name, now_us): a roster may list the node: this one
 * has not only been told of it by reports that all others get as well.
 */
bool fl_node_is_proven(
    const struct fl_node *node, enum fl_roster_name name, int64_t now_us);
/* fl_to_age(us): an age in the unit of frames, rounded up. */
uint32_t fl_to_age(int64_t us);

/*
 * fl_roster_update(roster, membership, now_us): takes in what has changed among
 * the live nodes.
 */
void fl_roster_update(struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us);
/*
 * fl_roster_report(roster, membership, now_us, out): sets the part of a report
 * that is about the roster: recent changes, and ages.
 */
void fl_roster_report(const struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us,
    struct fl_report *out);
/* fl_roster_part(roster, membership, now_us, first, out): slots from first on.
 */
void fl_roster_part(const struct fl_roster *roster,
    const struct fl_membership *membership, int64_t now_us, uint32_t first,
    struct fl_report *out);

/* fl_views_find(views, reporter, report): finds or makes a view. */
struct fl_view *fl_views_find(struct fl_views *views,
    const struct sockaddr_in *reporter, const struct fl_report *report);
/*
 * fl_view_check_pause(view, reporter, now_us): a report has arrived; it may be
 * the first one after a pause of the reporter.
 */
void fl_view_check_pause(
    struct fl_view *view, const struct fl_node *reporter, int64_t now_us);
/*
 * fl_view_take(view, report): returns true if the view has all changes up to
 * the report's version once its entries are applied, so that its ages count.
 */
bool fl_view_take(struct fl_view *view, const struct fl_report *report);
/*
 * fl_view_set(view, entry, node): applies an entry; node is the index in the
 * membership of the node of a record.
 */
void fl_view_set(
    struct fl_view *view, const struct fl_roster_entry *entry, uint32_t node);
void fl_views_free(struct fl_views *views);

#endif
