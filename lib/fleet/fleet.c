/* The fleet as a whole: its sockets, its clock, and who follows the store. */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

#define HEARTBEAT_MS 400 /* of a VM that follows the store */
#define CALM_EVERY 2	 /* the others send every second time */
/* At the start, and while nobody follows the store, roles are judged often. */
#define EARLY_MS 25
#define EARLY_TICKS 40	    /* one second */
#define EARLY_GREET_EVERY 2 /* ticks, until a VM of the region is heard */
#define BACKLOG_MAX 512	    /* several VMs of a region at once */

static void on_early(uv_timer_t *timer);

/* While nobody is known to follow the store, turns come quickly. */
static void
judge_often(struct fleet *fleet)
{
	fleet->early_ticks = 0;
	if (!uv_is_active((uv_handle_t *)&fleet->early))
		uv_timer_start(&fleet->early, on_early, EARLY_MS, EARLY_MS);
}

static void
judge(struct fleet *fleet)
{
	const struct fl_member *leader;
	enum fl_role role =
	    fl_members_tick(&fleet->members, cs_now_us(), &leader);

	/* Also one that follows the store itself hears the leader's news. */
	if (leader != NULL) {
		fl_listen_to(fleet, leader);
	} else if (fleet->source != NULL) {
		fl_link_close(fleet->source);
		fleet->source = NULL;
	}
	if (leader == NULL && role == FL_IDLE)
		judge_often(fleet);
	if (role == fleet->role)
		return;
	fleet->role = role;
	fleet->params.events->on_role(fleet->params.user, role, leader);
}

static void
on_early(uv_timer_t *timer)
{
	struct fleet *fleet = timer->data;

	judge(fleet);
	if (fleet->members.met_us == 0 &&
	    fleet->early_ticks % EARLY_GREET_EVERY == 0)
		fl_greet_seeds(fleet); /* they may have started later */
	if (++fleet->early_ticks == EARLY_TICKS)
		uv_timer_stop(timer);
}

static void
on_tick(uv_timer_t *timer)
{
	struct fleet *fleet = timer->data;
	const struct fl_member *leader;

	fleet->ticks++;
	if (fleet->members.self.current || fleet->ticks % CALM_EVERY == 0)
		fl_send_heartbeats(fleet);
	fl_members_tick(&fleet->members, cs_now_us(), &leader);
	fl_check_source(fleet, leader);
	judge(fleet);
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
		fl_answer_greeting(fleet, member, frame->as.heartbeat.known);
	fl_greet_peers(fleet, frame);
	if (member->stopping || member->current)
		judge(fleet);
}

static void
on_pulse(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	if (!fl_members_pulse(&fleet->members, from, frame, cs_now_us()))
		fl_greet(fleet, from);
	else if (fleet->members.changed)
		judge(fleet);
}

static void
tell_suspect(struct fleet *fleet, uint64_t fingerprint, bool near_only)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_SUSPECT, .as.suspect.fingerprint = fingerprint};
	uint32_t i;

	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_member *member = &fleet->members.list[i];

		if (member->near || !near_only)
			fl_send_datagram(fleet, &frame, &member->fleet);
	}
}

static void
on_suspect(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	uint64_t fingerprint = frame->as.suspect.fingerprint;

	fleet->params.events->on_suspect(fleet->params.user, fingerprint);
	/* Other regions know some VMs of this one only. */
	if (!fl_members_is_near(&fleet->members, from))
		tell_suspect(fleet, fingerprint, true);
}

static void
on_datagram(uv_udp_t *udp, ssize_t length, const uv_buf_t *buffer,
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
		on_suspect(fleet, &frame, (const struct sockaddr_in *)from);
		break;
	case FL_FRAME_NEWS: /* comes over links alone */
		os_batch_free(&frame.as.news.batch);
		break;
	case FL_FRAME_HELLO:
		break;
	}
}

static void
on_udp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[64 * 1024]; /* one loop, one read at a time */

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

void
fl_know(struct fleet *fleet, const struct fl_member *member)
{
	struct fl_member *known = fl_members_learn(&fleet->members, member);

	if (known != NULL && known->heard_us == 0 && known->near)
		fl_greet(fleet, &known->fleet);
}

void
fl_suspect(struct fleet *fleet, uint64_t fingerprint)
{
	tell_suspect(fleet, fingerprint, false);
}

void
fl_set_ready(struct fleet *fleet, bool ready)
{
	if (fleet->members.self.ready == ready)
		return;
	fleet->members.self.ready = ready;
	fl_send_heartbeats(fleet);
}

void
fl_set_current(struct fleet *fleet, bool current)
{
	if (fleet->members.self.current == current)
		return;
	fleet->members.self.current = current;
	fl_send_heartbeats(fleet);
}

void
fl_leave(struct fleet *fleet)
{
	fleet->members.self.stopping = true;
	fleet->members.self.current = false;
	fl_send_heartbeats(fleet);
	fl_send_heartbeats(fleet); /* one of them may get lost */
}

const struct fl_members *
fl_get_members(const struct fleet *fleet)
{
	return &fleet->members;
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
	    uv_listen((uv_stream_t *)&fleet->listener, BACKLOG_MAX,
		fl_on_accept) != 0)
		return CS_E_SYSTEM;
	return CS_OK;
}

int
fl_create(const struct fl_params *params, struct fleet **out)
{
	struct fleet *fleet = calloc(1, sizeof(*fleet));

	if (fleet == NULL)
		return CS_E_SYSTEM;
	fleet->params = *params;
	fl_members_init(&fleet->members, &params->self, cs_now_us());
	fleet->members.self.region =
	    cs_hash(params->region, strlen(params->region));
	uv_udp_init(params->loop, &fleet->udp);
	uv_tcp_init(params->loop, &fleet->listener);
	uv_timer_init(params->loop, &fleet->timer);
	uv_timer_init(params->loop, &fleet->early);
	fleet->early.data = fleet;

	fleet->udp.data = fleet->listener.data = fleet->timer.data = fleet;
	if (open_sockets(fleet) != CS_OK) {
		fl_close(fleet);
		return CS_E_SYSTEM;
	}
	fl_greet_seeds(fleet);
	uv_timer_start(&fleet->timer, on_tick, HEARTBEAT_MS / 4, HEARTBEAT_MS);
	uv_timer_start(&fleet->early, on_early, EARLY_MS, EARLY_MS);

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
	uv_close((uv_handle_t *)&fleet->early, NULL);

	for (link = fleet->listeners; link != NULL; link = next) {
		next = link->next;
		fl_link_close(link);
	}
	if (fleet->source != NULL)
		fl_link_close(fleet->source);
	fl_members_free(&fleet->members);
}
