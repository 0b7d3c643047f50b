/* What this node has sent, by type of frame and place of the receiver. */
#include <string.h>

#include "fleet_internal.h"

static enum fl_place
find_place(const struct fleet *fleet, const struct fl_node *node)
{
	if (node == NULL)
		return FL_PLACE_UNKNOWN;
	if (!node->same_region)
		return FL_PLACE_OTHER_REGION;
	if (node->data_centre[0] == '\0')
		return FL_PLACE_UNKNOWN;
	return strcmp(node->data_centre, fleet->membership.self.data_centre) ==
		       0
		   ? FL_PLACE_DATA_CENTRE
		   : FL_PLACE_REGION;
}

void
fl_count_sent(struct fleet *fleet, enum fl_frame_type type,
    const struct fl_node *node, size_t bytes)
{
	struct fl_sent *sent =
	    &fleet->counters.sent[type][find_place(fleet, node)];

	sent->frames++;
	sent->bytes += bytes;
}

const char *
fl_frame_name(uint32_t type)
{
	static const char *const names[FL_FRAME_TYPES] = {
	    [FL_FRAME_HELLO] = "hello",
	    [FL_FRAME_SUSPECT_REQUEST] = "suspect_request",
	    [FL_FRAME_SUBSCRIBE] = "subscribe",
	    [FL_FRAME_UPDATE] = "update",
	    [FL_FRAME_HEARTBEAT] = "heartbeat",
	    [FL_FRAME_LIMIT] = "limit",
	    [FL_FRAME_ASK] = "ask",
	    [FL_FRAME_PERMIT] = "permit",
	    [FL_FRAME_LEAVING] = "leaving",
	    [FL_FRAME_EXCUSE] = "excuse",
	    [FL_FRAME_CLAIM] = "claim",
	    [FL_FRAME_COLD] = "cold",
	    [FL_FRAME_QUOTA_ASK] = "quota_ask",
	    [FL_FRAME_QUOTA_GRANT] = "quota_grant",
	    [FL_FRAME_QUOTA_SHARE] = "quota_share",
	    [FL_FRAME_PROOF_QUERY] = "proof_query",
	    [FL_FRAME_PROOF] = "proof",
	    [FL_FRAME_REPORT] = "report",
	    [FL_FRAME_ROSTER_REQUEST] = "roster_request",
	    [FL_FRAME_VOTERS] = "voters",
	    [FL_FRAME_VOTERS_REQUEST] = "voters_request",
	};

	return type < FL_FRAME_TYPES ? names[type] : NULL;
}

const char *
fl_place_name(enum fl_place place)
{
	static const char *const names[FL_PLACES] = {
	    "data_centre", "region", "other_region", "unknown"};

	return names[place];
}
