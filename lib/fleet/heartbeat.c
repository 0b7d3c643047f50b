/*
 * Heartbeats over UDP: short ones between VMs that know each other,
 * introductions with the names of others where they do not.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

/*
 * VMs that fell silent are called less often, so that they can return, and
 * those that never answered more often: the first greeting may have got lost.
 */
#define SILENT_EVERY 3
#define UNHEARD_EVERY 2

void
fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to)
{
	struct fl_buffer buffer;
	uv_buf_t piece;

	if (fl_encode(frame, &buffer) != CS_OK)
		return;
	fleet->counters.datagrams++;
	fleet->counters.datagram_bytes += buffer.length;
	piece = uv_buf_init(buffer.data, (unsigned)buffer.length);
	/* A datagram that cannot leave is one that was lost. */
	uv_udp_try_send(&fleet->udp, &piece, 1, (const struct sockaddr *)to);
	free(buffer.data);
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

static uint32_t
count_known(const struct fleet *fleet, uint64_t region)
{
	uint32_t i, count = 0;

	for (i = 0; i < fleet->members.count; i++)
		count += fleet->members.list[i].heard_us != 0 &&
			 fleet->members.list[i].region == region;
	return count;
}

static struct fl_frame
introduction(struct fleet *fleet, bool asks)
{
	struct fl_frame frame = {.type = FL_FRAME_HEARTBEAT};

	fleet->members.self.news = fl_known_news(fleet);
	frame.as.heartbeat.member = fleet->members.self;
	memcpy(frame.as.heartbeat.region, fleet->params.region,
	    sizeof(frame.as.heartbeat.region));
	frame.as.heartbeat.asks = asks;
	frame.as.heartbeat.known =
	    count_known(fleet, fleet->members.self.region);
	return frame;
}

void
fl_greet(struct fleet *fleet, const struct sockaddr_in *to)
{
	struct fl_frame frame = introduction(fleet, true);

	fl_send_datagram(fleet, &frame, to);
}

void
fl_answer_greeting(
    struct fleet *fleet, const struct fl_member *member, uint32_t known)
{
	struct fl_frame frame = introduction(fleet, false);

	if (known < count_known(fleet, member->region))
		frame.as.heartbeat.peer_count =
		    pick_peers(fleet, member->region, frame.as.heartbeat.peers);
	fl_send_datagram(fleet, &frame, &member->fleet);
}

void
fl_greet_seeds(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->params.seed_count; i++)
		fl_greet(fleet, &fleet->params.seeds[i]);
}

static bool
is_called(const struct fleet *fleet, uint32_t number)
{
	uint32_t every = fleet->members.list[number].heard_us == 0
			     ? UNHEARD_EVERY
			     : SILENT_EVERY;

	return (fleet->rounds + number) % every == 0;
}

/* Short ones to those that live, introductions to those that may return. */
void
fl_send_heartbeats(struct fleet *fleet)
{
	struct fl_frame pulse = pulse_of(fleet);
	int64_t now_us = cs_now_us();
	uint32_t i;

	fleet->rounds++;
	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_member *member = &fleet->members.list[i];

		if (!member->near)
			continue;
		if (fl_is_alive(member, now_us))
			fl_send_datagram(fleet, &pulse, &member->fleet);
		else if (is_called(fleet, i))
			fl_greet(fleet, &member->fleet);
	}
}

/*
 * Addresses of VMs that another one knows; whoever answers is a member. Each is
 * greeted once here, and again as one that is silent.
 */
void
fl_greet_peers(struct fleet *fleet, const struct fl_frame *frame)
{
	struct fl_member unheard = {
	    .region = fleet->members.self.region, .near = true};
	uint32_t i, before;

	for (i = 0; i < frame->as.heartbeat.peer_count; i++) {
		unheard.fleet = frame->as.heartbeat.peers[i];
		before = fleet->members.count;
		fl_members_learn(&fleet->members, &unheard);
		if (fleet->members.count > before)
			fl_greet(fleet, &unheard.fleet);
	}
}
