/*
 * Heartbeats over UDP: short ones between VMs that know each other,
 * introductions with the names of others where they do not.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

#define REGION_UNKNOWN 0 /* no peers can be named to it */
/* VMs that fell silent are called less often, so that they can return. */
#define SILENT_EVERY 6

void
fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to)
{
	struct fl_buffer buffer;
	uv_buf_t piece;

	if (fl_encode(frame, &buffer) != CS_OK)
		return;
	piece = uv_buf_init(buffer.data, (unsigned)buffer.length);
	/* A datagram that cannot leave is one that was lost. */
	uv_udp_try_send(&fleet->udp, &piece, 1, (const struct sockaddr *)to);
	free(buffer.data);
}

uint64_t
fl_known_news(const struct fleet *fleet)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		sum += os_cache_revision(fleet->params.cache, i);
	return sum;
}

/* Names other VMs of that region, not always the same ones. */
static uint32_t
pick_peers(struct fleet *fleet, uint64_t region,
    struct sockaddr_in peers[FL_PEERS_MAX])
{
	uint32_t count = 0, total = fleet->members.count, i;
	uint32_t first =
	    total == 0 ? 0 : (uint32_t)(fleet->greetings++ % total);

	for (i = 0; i < total && count < FL_PEERS_MAX; i++) {
		const struct fl_member *member =
		    &fleet->members.list[(first + i) % total];

		if (member->heard_us != 0 && member->region == region)
			peers[count++] = member->fleet;
	}
	return count;
}

static struct fl_frame
pulse_of(struct fleet *fleet)
{
	const struct fl_member *self = &fleet->members.self;

	return (struct fl_frame){
	    .type = FL_FRAME_PULSE,
	    .as.pulse = {.boot = self->boot,
		.ready = self->ready,
		.stopping = self->stopping,
		.current = self->current,
		.news = fl_known_news(fleet)},
	};
}

/* Introduces this VM, and others of the receiver's region. */
void
fl_greet(struct fleet *fleet, const struct sockaddr_in *to, uint64_t region,
    bool asks)
{
	struct fl_frame frame = {.type = FL_FRAME_HEARTBEAT};

	fleet->members.self.news = fl_known_news(fleet);
	frame.as.heartbeat.member = fleet->members.self;
	memcpy(frame.as.heartbeat.region, fleet->params.region,
	    sizeof(frame.as.heartbeat.region));
	frame.as.heartbeat.asks = asks;
	frame.as.heartbeat.peer_count =
	    pick_peers(fleet, region, frame.as.heartbeat.peers);
	fl_send_datagram(fleet, &frame, to);
}

void
fl_greet_seeds(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->params.seed_count; i++)
		fl_greet(fleet, &fleet->params.seeds[i], REGION_UNKNOWN, true);
}

/* Short ones to those that live, introductions to those that may return. */
void
fl_send_heartbeats(struct fleet *fleet)
{
	struct fl_frame pulse = pulse_of(fleet);
	int64_t now_us = cs_now_us();
	uint32_t i;

	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_member *member = &fleet->members.list[i];

		if (!member->near)
			continue;
		if (fl_is_alive(member, now_us))
			fl_send_datagram(fleet, &pulse, &member->fleet);
		else if ((fleet->ticks + i) % SILENT_EVERY == 0)
			fl_greet(fleet, &member->fleet, member->region, true);
	}
}

/* Addresses of VMs that another one knows; whoever answers is a member. */
static void
greet_peers(struct fleet *fleet, const struct fl_frame *frame)
{
	uint32_t i, k;

	for (i = 0; i < frame->as.heartbeat.peer_count; i++) {
		const struct sockaddr_in *peer = &frame->as.heartbeat.peers[i];

		for (k = 0; k < fleet->members.count; k++) {
			if (memcmp(&fleet->members.list[k].fleet, peer,
				sizeof(*peer)) == 0)
				break;
		}
		if (k == fleet->members.count &&
		    memcmp(peer, &fleet->members.self.fleet, sizeof(*peer)) !=
			0)
			fl_greet(fleet, peer, fleet->members.self.region, true);
	}
}

static void
on_heartbeat(struct fleet *fleet, struct fl_frame *frame)
{
	struct fl_member *member = &frame->as.heartbeat.member;
	bool is_new;

	member->region = cs_hash(
	    frame->as.heartbeat.region, strlen(frame->as.heartbeat.region));
	member->near = member->region == fleet->members.self.region;
	is_new = fl_members_heard(&fleet->members, member, cs_now_us());

	if (is_new)
		fleet->params.events->on_member(
		    fleet->params.user, member, "joined");
	if (frame->as.heartbeat.asks)
		fl_greet(fleet, &member->fleet, member->region, false);
	greet_peers(fleet, frame);
	if (member->stopping || member->current)
		fl_judge(fleet);
}

static void
on_pulse(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	if (!fl_members_pulse(&fleet->members, from, frame, cs_now_us()))
		fl_greet(fleet, from, REGION_UNKNOWN, true);
	else if (fleet->members.changed)
		fl_judge(fleet);
}

void
fl_on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
    const struct sockaddr *from, unsigned flags)
{
	struct fleet *fleet = udp->data;
	struct fl_frame frame;

	(void)flags;
	if (length <= 0 || from == NULL ||
	    fl_decode(buffer->base, (size_t)length, &frame) != CS_OK)
		return;
	switch (frame.type) {
	case FL_FRAME_HEARTBEAT:
		on_heartbeat(fleet, &frame);
		break;
	case FL_FRAME_PULSE:
		on_pulse(fleet, &frame, (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_SUSPECT:
		fleet->params.events->on_suspect(
		    fleet->params.user, frame.as.suspect.fingerprint);
		break;
	case FL_FRAME_NEWS: /* comes over links alone */
		os_batch_free(&frame.as.news.batch);
		break;
	case FL_FRAME_HELLO:
		break;
	}
}

void
fl_on_udp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[64 * 1024]; /* one loop, one read at a time */

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}
