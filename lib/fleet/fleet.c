/* The sockets and timers of a fleet, and the handling of datagrams. */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

/* Nodes that are current send heartbeats at this interval. */
#define HEARTBEAT_MS 400
#define OTHERS_EVERY_TICKS 2 /* the other nodes: at twice the interval */
/* Roles are updated more often for the first second and without a leader. */
#define FAST_TICK_MS 25
#define FAST_TICKS 40
/* Seeds get hellos until a node of the region has been heard. */
#define SEED_HELLO_EVERY_TICKS 2
/* A node that is not reported gets heartbeats for this long at its request. */
#define WANTED_HEARTBEATS_US 20000000
/* Many nodes of a region may connect at once. */
#define LISTEN_BACKLOG 512

static void on_fast_tick(uv_timer_t *timer);

/*
 * Without a leader the nodes take turns at watching the store. These turns are
 * shorter than HEARTBEAT_MS, so roles are updated more often.
 */
static void
start_fast_ticks(struct fleet *fleet)
{
	fleet->fast_ticks = 0;
	if (!uv_is_active((uv_handle_t *)&fleet->fast_timer))
		uv_timer_start(&fleet->fast_timer, on_fast_tick, FAST_TICK_MS,
		    FAST_TICK_MS);
}

static void
update_role(struct fleet *fleet)
{
	const struct fl_node *leader;
	enum fl_role role =
	    fl_membership_tick(&fleet->membership, cs_now_us(), &leader);

	/* A node that watches the store gets the leader's updates as well. */
	fl_follow_leader(fleet, leader);
	if (leader == NULL && role == FL_ROLE_UNDECIDED)
		start_fast_ticks(fleet);
	if (role == fleet->role)
		return;
	fleet->role = role;
	fleet->params.events->on_role(fleet->params.user, role, leader);
}

static void
on_fast_tick(uv_timer_t *timer)
{
	struct fleet *fleet = timer->data;

	update_role(fleet);
	if (fleet->membership.first_contact_us == 0 &&
	    fleet->fast_ticks % SEED_HELLO_EVERY_TICKS == 0)
		fl_send_hello_to_seeds(fleet); /* they may start later */
	if (++fleet->fast_ticks == FAST_TICKS)
		uv_timer_stop(timer);
}

static void
on_tick(uv_timer_t *timer)
{
	struct fleet *fleet = timer->data;
	const struct fl_node *leader;

	fleet->ticks++;
	fl_beat(fleet, fleet->ticks % OTHERS_EVERY_TICKS == 0);
	fl_membership_tick(&fleet->membership, cs_now_us(), &leader);
	fl_check_source_link(fleet, leader);
	update_role(fleet);
	fl_request_voters(fleet);
}

static void
want_heartbeats(struct fleet *fleet, const struct sockaddr_in *from)
{
	struct fl_node *node = fl_membership_find(&fleet->membership, from);

	if (node != NULL)
		node->heartbeats_until_us = cs_now_us() + WANTED_HEARTBEATS_US;
}

static void
on_hello(struct fleet *fleet, struct fl_frame *frame)
{
	struct fl_node *node = &frame->as.hello.node;
	bool is_new;

	node->region =
	    cs_hash(frame->as.hello.region, strlen(frame->as.hello.region));
	node->same_region = node->region == fleet->membership.self.region;
	is_new = fl_membership_on_hello(&fleet->membership, node, cs_now_us());
	if (node->same_region &&
	    frame->as.hello.live_nodes > fleet->membership.told_nodes)
		fleet->membership.told_nodes = frame->as.hello.live_nodes;

	if (is_new || fleet->membership.node_returned)
		fleet->params.events->on_node(
		    fleet->params.user, node, !is_new);
	if (node->same_region)
		fl_hear_voters(
		    fleet, node->voters_id, node->knows_settled, &node->fleet);
	if (frame->as.hello.wants_heartbeats)
		want_heartbeats(fleet, &node->fleet);
	if (frame->as.hello.wants_reply)
		fl_reply_hello(fleet, node, frame->as.hello.known_nodes);
	fl_contact_peers(fleet, frame);
	if (node->stopping || node->current)
		update_role(fleet);
}

bool
fl_on_heartbeat(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	if (!fl_membership_on_heartbeat(
		&fleet->membership, from, frame, cs_now_us())) {
		fl_send_hello(fleet, from);
		return false;
	}
	fl_hear_voters(fleet, frame->as.heartbeat.voters_id,
	    frame->as.heartbeat.knows_settled, from);
	if (fleet->membership.node_returned)
		fleet->params.events->on_node(fleet->params.user,
		    fl_membership_find(&fleet->membership, from), true);
	if (fleet->membership.status_changed)
		update_role(fleet);
	return true;
}

void
fl_send_to_nodes(
    struct fleet *fleet, const struct fl_frame *frame, bool same_region)
{
	uint32_t i;

	for (i = 0; i < fleet->membership.count; i++) {
		const struct fl_node *node = &fleet->membership.nodes[i];

		if (node->same_region == same_region)
			fl_send_datagram(fleet, frame, &node->fleet);
	}
}

/* Passes on what another node broadcasts. */
static void
pass_on(struct fleet *fleet, const struct fl_frame *frame, bool is_news,
    const struct sockaddr_in *from)
{
	if (!fl_membership_is_same_region(&fleet->membership, from)) {
		/* Reminders of other regions are rarely news. */
		if (is_news || frame->type != FL_FRAME_SUSPECT_REQUEST)
			fl_send_to_nodes(fleet, frame, true);
	} else if (is_news && fleet->membership.self.current) {
		fl_send_to_nodes(fleet, frame, false);
	}
}

static void
on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
    const struct sockaddr *from, unsigned flags)
{
	struct fleet *fleet = udp->data;
	const struct fl_events *events = fleet->params.events;
	void *user = fleet->params.user;
	struct fl_frame frame;

	(void)flags;
	if (length <= 0 || from == NULL ||
	    fl_decode(buffer->base, (size_t)length, &frame) != CS_OK)
		return;
	switch (frame.type) {
	case FL_FRAME_HELLO:
		on_hello(fleet, &frame);
		break;
	case FL_FRAME_HEARTBEAT:
		fl_on_heartbeat(
		    fleet, &frame, (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_SUSPECT_REQUEST:
		pass_on(fleet, &frame,
		    events->on_suspect_request(user, &frame.as.suspect_request),
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_EXCUSE:
		pass_on(fleet, &frame,
		    events->on_excuse(user, &frame.as.suspect_request),
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_CLAIM:
		pass_on(fleet, &frame, events->on_claim(user, &frame.as.claim),
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_LEAVING:
		pass_on(fleet, &frame,
		    events->on_leaving(user, frame.as.leaving.target_process),
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_COLD:
		pass_on(fleet, &frame, events->on_cold(user, &frame.as.cold),
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_LIMIT:
		pass_on(fleet, &frame, events->on_limit(user, &frame.as.limit),
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_ASK:
		if (!frame.as.ask.passed_on)
			frame.as.ask.asker = *(const struct sockaddr_in *)from;
		events->on_ask(user, &frame.as.ask);
		break;
	case FL_FRAME_PERMIT:
		events->on_permit(user, &frame.as.permit);
		break;
	case FL_FRAME_PROOF_QUERY:
		if (events->on_proof_query != NULL)
			events->on_proof_query(user, &frame.as.proof_query,
			    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_PROOF:
		if (events->on_proof != NULL)
			events->on_proof(user, &frame.as.proof);
		break;
	case FL_FRAME_QUOTA_ASK:
	case FL_FRAME_QUOTA_GRANT:
	case FL_FRAME_QUOTA_SHARE:
		fl_on_quota_frame(
		    fleet, &frame, (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_REPORT:
		if (fl_on_report(fleet, &frame.as.report,
			(const struct sockaddr_in *)from))
			update_role(fleet);
		break;
	case FL_FRAME_ROSTER_REQUEST:
		fl_on_roster_request(fleet, frame.as.roster_request.roster,
		    (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_VOTERS:
	case FL_FRAME_VOTERS_REQUEST:
		fl_on_voters_frame(
		    fleet, &frame, (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_UPDATE: /* valid on links only */
		os_batch_free(&frame.as.update.batch);
		break;
	case FL_FRAME_SUBSCRIBE:
		break;
	}
}

static void
on_udp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[64 * 1024]; /* shared: one read at a time */

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

void
fl_add_node(struct fleet *fleet, const struct fl_node *node)
{
	struct fl_node *known = fl_membership_add(&fleet->membership, node);

	if (known != NULL && known->heard_us == 0)
		fl_send_hello(fleet, &known->fleet);
}

void
fl_nodes_listed(struct fleet *fleet)
{
	fleet->membership.has_list = true;
}

void
fl_broadcast_suspect_request(
    struct fleet *fleet, const struct fl_suspect_request *suspect)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_SUSPECT_REQUEST, .as.suspect_request = *suspect};

	fl_send_to_nodes(fleet, &frame, true);
	fl_send_to_nodes(fleet, &frame, false);
}

void
fl_broadcast_excuse(
    struct fleet *fleet, const struct fl_suspect_request *excuse)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_EXCUSE, .as.suspect_request = *excuse};

	fl_send_to_nodes(fleet, &frame, true);
	fl_send_to_nodes(fleet, &frame, false);
}

void
fl_broadcast_claim(struct fleet *fleet, const struct fl_claim *claim)
{
	struct fl_frame frame = {.type = FL_FRAME_CLAIM, .as.claim = *claim};

	fl_send_to_nodes(fleet, &frame, true);
	fl_send_to_nodes(fleet, &frame, false);
}

void
fl_remind_regions(struct fleet *fleet, const struct fl_suspect_request *suspect,
    uint64_t turn)
{
	const struct fl_membership *membership = &fleet->membership;
	struct fl_frame frame = {
	    .type = FL_FRAME_SUSPECT_REQUEST, .as.suspect_request = *suspect};
	uint32_t i, k;

	for (i = 0; i < membership->count; i++) {
		uint64_t region = membership->nodes[i].region;
		const struct fl_node *relay;

		if (membership->nodes[i].same_region)
			continue;
		for (k = 0; membership->nodes[k].region != region; k++)
			;
		if (k < i) /* told already */
			continue;
		relay = fl_membership_find_relay(membership, region, turn);
		if (relay != NULL)
			fl_send_datagram(fleet, &frame, &relay->fleet);
	}
}

void
fl_send_suspect_request(struct fleet *fleet, const struct fl_node *node,
    const struct fl_suspect_request *suspect)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_SUSPECT_REQUEST, .as.suspect_request = *suspect};

	fl_send_datagram(fleet, &frame, &node->fleet);
}

void
fl_broadcast_leaving(struct fleet *fleet, uint64_t target_process)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_LEAVING, .as.leaving = {target_process}};

	fl_send_to_nodes(fleet, &frame, true);
	fl_send_to_nodes(fleet, &frame, false);
}

void
fl_send_leaving(
    struct fleet *fleet, const struct fl_node *node, uint64_t target_process)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_LEAVING, .as.leaving = {target_process}};

	fl_send_datagram(fleet, &frame, &node->fleet);
}

void
fl_broadcast_limit(struct fleet *fleet, const struct fl_limit *limit)
{
	struct fl_frame frame = {.type = FL_FRAME_LIMIT, .as.limit = *limit};

	fl_send_to_nodes(fleet, &frame, true);
	fl_send_to_nodes(fleet, &frame, false);
}

void
fl_send_limit(struct fleet *fleet, const struct fl_node *node,
    const struct fl_limit *limit)
{
	struct fl_frame frame = {.type = FL_FRAME_LIMIT, .as.limit = *limit};

	fl_send_datagram(fleet, &frame, &node->fleet);
}

void
fl_send_ask(
    struct fleet *fleet, const struct fl_node *node, const struct fl_ask *ask)
{
	struct fl_frame frame = {.type = FL_FRAME_ASK, .as.ask = *ask};

	fl_send_datagram(fleet, &frame, &node->fleet);
}

void
fl_pass_on_ask(
    struct fleet *fleet, const struct fl_node *owner, const struct fl_ask *ask)
{
	struct fl_frame frame = {.type = FL_FRAME_ASK, .as.ask = *ask};

	frame.as.ask.passed_on = true;
	fl_send_datagram(fleet, &frame, &owner->fleet);
}

void
fl_send_permit(struct fleet *fleet, const struct sockaddr_in *asker,
    const struct fl_permit *permit)
{
	struct fl_frame frame = {.type = FL_FRAME_PERMIT, .as.permit = *permit};

	fl_send_datagram(fleet, &frame, asker);
}

/* Returns the next node, in turn, that may answer, or NULL. */
static const struct fl_node *
next_to_ask(struct fleet *fleet, bool same_region)
{
	uint32_t count = fleet->membership.count, i;
	uint32_t *turn = &fleet->proof_turns[same_region];

	for (i = 0; i < count; i++) {
		const struct fl_node *node =
		    &fleet->membership.nodes[++*turn % count];

		/* Whether one of another region is alive is not known. */
		if (node->same_region == same_region &&
		    (!same_region || fl_node_is_alive(node, cs_now_us())))
			return node;
	}
	return NULL;
}

void
fl_ask_for_proof(
    struct fleet *fleet, const struct fl_proof_query *query, bool others)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_PROOF_QUERY, .as.proof_query = *query};
	const struct fl_node *node;
	int same_region;

	if (fleet->has_leader)
		fl_send_datagram(fleet, &frame, &fleet->leader_address);
	for (same_region = 0; others && same_region < 2; same_region++) {
		node = next_to_ask(fleet, same_region != 0);
		if (node != NULL)
			fl_send_datagram(fleet, &frame, &node->fleet);
	}
}

void
fl_send_proof(struct fleet *fleet, const struct sockaddr_in *asker,
    const struct fl_proof_reply *reply)
{
	struct fl_frame frame = {.type = FL_FRAME_PROOF, .as.proof = *reply};

	fl_send_datagram(fleet, &frame, asker);
}

int64_t
fl_confirmed_us(const struct fleet *fleet)
{
	return fleet->confirmed_us;
}

bool
fl_is_discovery_due(struct fleet *fleet)
{
	return fl_membership_is_discovery_due(&fleet->membership, cs_now_us());
}

void
fl_set_ready(struct fleet *fleet, bool ready)
{
	if (fleet->membership.self.ready == ready)
		return;
	fleet->membership.self.ready = ready;
	fl_beat(fleet, true);
}

void
fl_set_current(struct fleet *fleet, bool current)
{
	if (fleet->membership.self.current == current)
		return;
	fleet->membership.self.current = current;
	fl_send_heartbeats(fleet);
}

void
fl_note_pause(struct fleet *fleet)
{
	fl_membership_forget_votes(&fleet->membership);
}

void
fl_set_listed(struct fleet *fleet, enum fl_listed listed)
{
	if (fleet->membership.self.listed == listed)
		return;
	fleet->membership.self.listed = (uint8_t)listed;
	if (listed == FL_LISTED) /* what follows is no news to wait for */
		fl_send_heartbeats(fleet);
}

void
fl_leave(struct fleet *fleet)
{
	fleet->membership.self.stopping = true;
	fleet->membership.self.current = false;
	fl_send_heartbeats(fleet);
	fl_send_heartbeats(fleet); /* a datagram may get lost */
}

const struct fl_membership *
fl_get_membership(const struct fleet *fleet)
{
	return &fleet->membership;
}

const struct fl_counters *
fl_get_counters(const struct fleet *fleet)
{
	return &fleet->counters;
}

static int
open_sockets(struct fleet *fleet)
{
	const struct sockaddr *own =
	    (const struct sockaddr *)&fleet->params.self.fleet;

	if (uv_udp_bind(&fleet->udp, own, 0) != 0 ||
	    uv_udp_recv_start(&fleet->udp, on_udp_alloc, on_datagram) != 0 ||
	    uv_tcp_bind(&fleet->listener, own, 0) != 0 ||
	    uv_listen((uv_stream_t *)&fleet->listener, LISTEN_BACKLOG,
		fl_on_accept) != 0)
		return CS_E_SYSTEM;
	return CS_OK;
}

static bool
is_seed(const struct fl_params *params)
{
	const struct sockaddr_in *own = &params->self.fleet;
	uint32_t i;

	for (i = 0; i < params->seed_count; i++) {
		if (params->seeds[i].sin_addr.s_addr == own->sin_addr.s_addr &&
		    params->seeds[i].sin_port == own->sin_port)
			return true;
	}
	return false;
}

int
fl_create(const struct fl_params *params, struct fleet **out)
{
	struct fleet *fleet = calloc(1, sizeof(*fleet));

	if (fleet == NULL)
		return CS_E_SYSTEM;
	fleet->params = *params;
	fl_membership_init(&fleet->membership, &params->self, cs_now_us());
	fleet->membership.self.region =
	    cs_hash(params->region, strlen(params->region));
	fleet->membership.is_seed = is_seed(params);
	fleet->membership.may_lack_voters = params->first_start;
	uv_udp_init(params->loop, &fleet->udp);
	uv_tcp_init(params->loop, &fleet->listener);
	uv_timer_init(params->loop, &fleet->timer);
	uv_timer_init(params->loop, &fleet->fast_timer);
	fleet->fast_timer.data = fleet;

	fleet->udp.data = fleet->listener.data = fleet->timer.data = fleet;
	if (open_sockets(fleet) != CS_OK) {
		fl_close(fleet);
		return CS_E_SYSTEM;
	}
	fl_send_hello_to_seeds(fleet);
	uv_timer_start(&fleet->timer, on_tick, HEARTBEAT_MS / 4, HEARTBEAT_MS);
	uv_timer_start(
	    &fleet->fast_timer, on_fast_tick, FAST_TICK_MS, FAST_TICK_MS);

	*out = fleet;
	return CS_OK;
}

void
fl_close(struct fleet *fleet)
{
	struct fl_link *link, *next;

	uv_close((uv_handle_t *)&fleet->udp, NULL);
	uv_close((uv_handle_t *)&fleet->listener, NULL);
	uv_close((uv_handle_t *)&fleet->timer, NULL);
	uv_close((uv_handle_t *)&fleet->fast_timer, NULL);
	fl_close_checks(fleet);

	for (link = fleet->followers; link != NULL; link = next) {
		next = link->next;
		fl_link_close(link);
	}
	if (fleet->source_link != NULL)
		fl_link_close(fleet->source_link);
	fl_free_snapshots(fleet);
	fl_free_reports(fleet);
	fl_membership_free(&fleet->membership);
}
