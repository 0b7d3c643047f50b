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
/* To silent nodes of other data centres, in a round in a large region. */
#define FAR_HELLOS_MAX 8

static void
send_buffer(struct fleet *fleet, enum fl_frame_type type,
    const struct fl_buffer *buffer, const struct fl_node *node,
    const struct sockaddr_in *to)
{
	uv_buf_t datagram = uv_buf_init(buffer->data, (unsigned)buffer->length);

	fleet->counters.datagrams++;
	fleet->counters.datagram_bytes += buffer->length;
	fl_count_sent(fleet, type, node, buffer->length);
	/* A failed send counts as a lost datagram. */
	uv_udp_try_send(&fleet->udp, &datagram, 1, (const struct sockaddr *)to);
}

void
fl_send_datagram(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *to)
{
	struct fl_buffer buffer;

	if (fl_encode(frame, &buffer) != CS_OK)
		return;
	send_buffer(fleet, frame->type, &buffer,
	    fl_membership_find(&fleet->membership, to), to);
	free(buffer.data);
}

void
fl_send_encoded(struct fleet *fleet, enum fl_frame_type type,
    const struct fl_buffer *buffer, const struct fl_node *node)
{
	send_buffer(fleet, type, buffer, node, &node->fleet);
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
		.voters_id = self->voters_id,
		.knows_settled = self->knows_settled,
		.revision_sum = fl_revision_sum(fleet)},
	};
}

void
fl_send_heartbeat(struct fleet *fleet, const struct sockaddr_in *to)
{
	struct fl_frame frame = heartbeat_frame(fleet);

	fl_send_datagram(fleet, &frame, to);
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
	frame.as.hello.live_nodes =
	    fl_membership_count_alive(&fleet->membership, cs_now_us());
	return frame;
}

void
fl_send_hello(struct fleet *fleet, const struct sockaddr_in *to)
{
	struct fl_frame frame = hello_frame(fleet, true);

	fl_send_datagram(fleet, &frame, to);
}

/*
 * Picks nodes for one that relies on reports: those of its data centre in
 * rotation, and of the others those that it has to know: current nodes,
 * reporters, and nodes of earlier builds.
 */
static uint32_t
pick_near_peers(struct fleet *fleet, const struct fl_node *of,
    struct sockaddr_in peers[FL_PEERS_MAX])
{
	const struct fl_membership *membership = &fleet->membership;
	const struct fl_node *reporters[FL_FAR_REPORTERS_MAX];
	uint32_t count = 0, total = membership->count, i, found = 0;
	uint32_t first =
	    total == 0 ? 0 : (uint32_t)(fleet->peer_rotation++ % total);

	if (of->same_region)
		found = fl_pick_far_reporters(
		    membership, of->data_centre, cs_now_us(), reporters);
	for (i = 0; i < found && count < FL_PEERS_MAX / 2; i++)
		peers[count++] = reporters[i]->fleet;
	for (i = 0; i < total && count < FL_PEERS_MAX; i++) {
		const struct fl_node *node =
		    &membership->nodes[(first + i) % total];

		if (node->heard_us != 0 && node->region == of->region &&
		    (node->current ||
			(node->features & FL_FEATURE_REPORTS) == 0 ||
			strcmp(node->data_centre, of->data_centre) == 0))
			peers[count++] = node->fleet;
	}
	return count;
}

void
fl_reply_hello(
    struct fleet *fleet, const struct fl_node *node, uint32_t known_nodes)
{
	struct fl_frame frame = hello_frame(fleet, false);
	uint32_t known = count_known_nodes(fleet, node->region);
	bool relies_on_reports = known >= FL_LARGE_REGION_NODES &&
				 (node->features & FL_FEATURE_REPORTS) != 0;

	if (known_nodes < known)
		frame.as.hello.peer_count =
		    relies_on_reports
			? pick_near_peers(fleet, node, frame.as.hello.peers)
			: pick_peers(fleet, node->region, frame.as.hello.peers);
	fl_send_datagram(fleet, &frame, &node->fleet);
}

void
fl_name_reporters(struct fleet *fleet, const struct sockaddr_in *to)
{
	struct fl_frame frame = hello_frame(fleet, false);
	const struct fl_node *reporters[FL_REPORTERS];
	uint32_t i, count = fl_pick_reporters(
			&fleet->membership, cs_now_us(), reporters);

	for (i = 0; i < count; i++)
		frame.as.hello.peers[i] = reporters[i]->fleet;
	frame.as.hello.peer_count = count;
	fl_send_datagram(fleet, &frame, to);
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

void
fl_send_heartbeats(struct fleet *fleet)
{
	struct fl_frame heartbeat = heartbeat_frame(fleet);
	int64_t now_us = cs_now_us();
	struct fl_buffer buffer;
	uint32_t i;

	if (fl_encode(&heartbeat, &buffer) != CS_OK)
		return;
	fleet->heartbeat_rounds++;
	for (i = 0; i < fleet->membership.count; i++) {
		const struct fl_node *node = &fleet->membership.nodes[i];

		if (!node->same_region)
			continue;
		if (fl_node_is_alive(node, now_us))
			fl_send_encoded(
			    fleet, FL_FRAME_HEARTBEAT, &buffer, node);
		else if (is_hello_due(fleet, i))
			fl_send_hello(fleet, &node->fleet);
	}
	free(buffer.data);
}

/* The node hears of this one by reports. */
static bool
is_told_by_reports(
    const struct fleet *fleet, const struct fl_node *node, int64_t now_us)
{
	return (node->features & FL_FEATURE_REPORTS) != 0 &&
	       !fl_node_is_near(&fleet->membership, node) &&
	       now_us >= node->heartbeats_until_us;
}

static bool
is_reporter(const struct fleet *fleet, const struct fl_node *node)
{
	const struct fl_reporters *reporters = &fleet->reporters;
	uint32_t i;

	for (i = 0; i < reporters->near_count; i++) {
		if (reporters->near[i] == node)
			return true;
	}
	/* Those of other data centres hear the leader itself. */
	for (i = 0; i < reporters->far_count; i++) {
		if (reporters->far[i] == node)
			return fleet->membership.self.current;
	}
	return false;
}

static bool
is_heartbeat_due(const struct fleet *fleet, const struct fl_node *node,
    bool is_round, int64_t now_us)
{
	if (fl_gets_report(fleet, node))
		return false;
	if (is_reporter(fleet, node))
		return true;
	if (is_told_by_reports(fleet, node, now_us))
		return false;
	return is_round || (fleet->membership.self.current &&
			       (node->features & FL_FEATURE_REPORTS) == 0);
}

/*
 * Greets a node that is not alive here. One of another data centre that runs
 * may just not be reported, so it is asked for heartbeats. If many are silent,
 * their data centre is cut off: reporters greet them all, the others some.
 */
static void
greet_silent(struct fleet *fleet, uint32_t index, uint32_t *greeted)
{
	const struct fl_node *node = &fleet->membership.nodes[index];
	struct fl_frame frame;

	if (!is_hello_due(fleet, index))
		return;
	if (fl_node_is_near(&fleet->membership, node)) {
		fl_send_hello(fleet, &node->fleet);
		return;
	}
	if (!fleet->reporters.is_reporter && (*greeted)++ >= FAR_HELLOS_MAX)
		return;
	frame = hello_frame(fleet, true);
	frame.as.hello.wants_heartbeats = node->heard_us != 0;
	fl_send_datagram(fleet, &frame, &node->fleet);
}

static void
beat_in_large_region(struct fleet *fleet, bool is_round)
{
	struct fl_frame heartbeat = heartbeat_frame(fleet);
	uint32_t i, count = fleet->membership.count, greeted = 0;
	int64_t now_us = cs_now_us();
	struct fl_buffer buffer;

	if (fl_encode(&heartbeat, &buffer) != CS_OK)
		return;
	fleet->heartbeat_rounds += is_round;
	for (i = 0; i < count; i++) {
		/* Begins with another node in each round. */
		uint32_t index =
		    (uint32_t)((i + fleet->heartbeat_rounds * FAR_HELLOS_MAX) %
			       count);
		const struct fl_node *node = &fleet->membership.nodes[index];

		if (!node->same_region)
			continue;
		if (!fl_node_is_alive(node, now_us)) {
			if (is_round)
				greet_silent(fleet, index, &greeted);
		} else if (is_heartbeat_due(fleet, node, is_round, now_us)) {
			fl_send_encoded(
			    fleet, FL_FRAME_HEARTBEAT, &buffer, node);
		}
	}
	free(buffer.data);
}

void
fl_beat(struct fleet *fleet, bool is_round)
{
	fl_update_reporters(fleet);
	if (fl_reports_are_used(fleet))
		beat_in_large_region(fleet, is_round);
	else if (is_round || fleet->membership.self.current)
		fl_send_heartbeats(fleet);
	if (fleet->reporters.is_reporter)
		fl_send_reports(fleet);
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
