/*
 * Sends frames over UDP: heartbeats between nodes that know each other, and
 * hellos, which hold the whole record of a node and may name others.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

/*
 * Rounds of heartbeats between two hellos to a node that is not alive. Nodes
 * that fell silent may return. Nodes that were never heard get a hello more
 * often, since the first one may have got lost.
 */
#define SILENT_HELLO_EVERY 3
#define UNHEARD_HELLO_EVERY 2

void
fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to)
{
	struct fl_buffer buffer;
	uv_buf_t datagram;

	if (fl_encode(frame, &buffer) != CS_OK)
		return;
	fleet->counters.datagrams++;
	fleet->counters.datagram_bytes += buffer.length;
	datagram = uv_buf_init(buffer.data, (unsigned)buffer.length);
	/* A failed send counts as a lost datagram. */
	uv_udp_try_send(&fleet->udp, &datagram, 1, (const struct sockaddr *)to);
	free(buffer.data);
}

/* Picks heard nodes of the region in rotation, FL_PEERS_MAX at most. */
static uint32_t
pick_peers(struct fleet *fleet, uint64_t region,
    struct sockaddr_in peers[FL_PEERS_MAX])
{
	uint32_t count = 0, total = fleet->membership.count, i;
	uint32_t first =
	    total == 0 ? 0 : (uint32_t)(fleet->peer_rotation++ % total);

	for (i = 0; i < total && count < FL_PEERS_MAX; i++) {
		const struct fl_node *node =
		    &fleet->membership.nodes[(first + i) % total];

		if (node->heard_us != 0 && node->region == region)
			peers[count++] = node->fleet;
	}
	return count;
}

static struct fl_frame
heartbeat_frame(struct fleet *fleet)
{
	const struct fl_node *self = &fleet->membership.self;

	return (struct fl_frame){
	    .type = FL_FRAME_HEARTBEAT,
	    .as.heartbeat = {.boot = self->boot,
		.ready = self->ready,
		.stopping = self->stopping,
		.current = self->current,
		.listed = self->listed,
		.revision_sum = fl_revision_sum(fleet)},
	};
}

static uint32_t
count_known_nodes(const struct fleet *fleet, uint64_t region)
{
	uint32_t i, count = 0;

	for (i = 0; i < fleet->membership.count; i++)
		count += fleet->membership.nodes[i].heard_us != 0 &&
			 fleet->membership.nodes[i].region == region;
	return count;
}

static struct fl_frame
hello_frame(struct fleet *fleet, bool wants_reply)
{
	struct fl_frame frame = {.type = FL_FRAME_HELLO};

	fleet->membership.self.revision_sum = fl_revision_sum(fleet);
	frame.as.hello.node = fleet->membership.self;
	memcpy(frame.as.hello.region, fleet->params.region,
	    sizeof(frame.as.hello.region));
	frame.as.hello.wants_reply = wants_reply;
	frame.as.hello.known_nodes =
	    count_known_nodes(fleet, fleet->membership.self.region);
	return frame;
}

void
fl_send_hello(struct fleet *fleet, const struct sockaddr_in *to)
{
	struct fl_frame frame = hello_frame(fleet, true);

	fl_send_datagram(fleet, &frame, to);
}

void
fl_reply_hello(
    struct fleet *fleet, const struct fl_node *node, uint32_t known_nodes)
{
	struct fl_frame frame = hello_frame(fleet, false);

	if (known_nodes < count_known_nodes(fleet, node->region))
		frame.as.hello.peer_count =
		    pick_peers(fleet, node->region, frame.as.hello.peers);
	fl_send_datagram(fleet, &frame, &node->fleet);
}

void
fl_send_hello_to_seeds(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->params.seed_count; i++)
		fl_send_hello(fleet, &fleet->params.seeds[i]);
}

static bool
is_hello_due(const struct fleet *fleet, uint32_t index)
{
	uint32_t interval = fleet->membership.nodes[index].heard_us == 0
				? UNHEARD_HELLO_EVERY
				: SILENT_HELLO_EVERY;

	return (fleet->heartbeat_rounds + index) % interval == 0;
}

/* Sends heartbeats to live nodes of the region, hellos to the others. */
void
fl_send_heartbeats(struct fleet *fleet)
{
	struct fl_frame heartbeat = heartbeat_frame(fleet);
	int64_t now_us = cs_now_us();
	uint32_t i;

	fleet->heartbeat_rounds++;
	for (i = 0; i < fleet->membership.count; i++) {
		const struct fl_node *node = &fleet->membership.nodes[i];

		if (!node->same_region)
			continue;
		if (fl_node_is_alive(node, now_us))
			fl_send_datagram(fleet, &heartbeat, &node->fleet);
		else if (is_hello_due(fleet, i))
			fl_send_hello(fleet, &node->fleet);
	}
}

/*
 * An address counts as a node once it answers. Each new one gets a hello here,
 * and later ones from fl_send_heartbeats() until then.
 */
void
fl_contact_peers(struct fleet *fleet, const struct fl_frame *frame)
{
	struct fl_node unheard = {
	    .region = fleet->membership.self.region, .same_region = true};
	uint32_t i, before;

	for (i = 0; i < frame->as.hello.peer_count; i++) {
		unheard.fleet = frame->as.hello.peers[i];
		before = fleet->membership.count;
		fl_membership_add(&fleet->membership, &unheard);
		if (fleet->membership.count > before)
			fl_send_hello(fleet, &unheard.fleet);
	}
}
