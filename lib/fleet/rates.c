/*
 * Datagrams for rates that VMs share: cold targets, and quotas of tenants, with
 * questions of VMs to owners and shares among owners.
 */
#include "fleet_internal.h"

void
fl_broadcast_cold(struct fleet *fleet, const struct fl_cold *cold)
{
	struct fl_frame frame = {.type = FL_FRAME_COLD, .as.cold = *cold};

	fl_send_to_nodes(fleet, &frame, true);
	fl_send_to_nodes(fleet, &frame, false);
}

void
fl_contact_seeds(struct fleet *fleet)
{
	fl_send_hello_to_seeds(fleet);
}

void
fl_send_quota_ask(struct fleet *fleet, const struct sockaddr_in *owner,
    const struct fl_quota_ask *ask)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_QUOTA_ASK, .as.quota_ask = *ask};

	fl_send_datagram(fleet, &frame, owner);
}

void
fl_send_quota_grant(struct fleet *fleet, const struct sockaddr_in *asker,
    const struct fl_quota_grant *grant)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_QUOTA_GRANT, .as.quota_grant = *grant};

	fl_send_datagram(fleet, &frame, asker);
}

void
fl_send_quota_share(struct fleet *fleet, const struct sockaddr_in *to,
    const struct fl_quota_share *share)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_QUOTA_SHARE, .as.quota_share = *share};

	fl_send_datagram(fleet, &frame, to);
}

void
fl_on_quota_frame(
    struct fleet *fleet, struct fl_frame *frame, const struct sockaddr_in *from)
{
	const struct fl_events *events = fleet->params.events;
	void *user = fleet->params.user;

	switch (frame->type) {
	case FL_FRAME_QUOTA_ASK:
		if (!frame->as.quota_ask.passed_on)
			frame->as.quota_ask.asker = *from;
		events->on_quota_ask(user, &frame->as.quota_ask);
		break;
	case FL_FRAME_QUOTA_GRANT:
		events->on_quota_grant(user, &frame->as.quota_grant);
		break;
	case FL_FRAME_QUOTA_SHARE:
		if (!frame->as.quota_share.passed_on)
			frame->as.quota_share.sender = *from;
		events->on_quota_share(user, &frame->as.quota_share);
		break;
	default:
		break;
	}
}
