/* Heartbeats over UDP, and the news of the store over TCP. */
#include <stdlib.h>
#include <string.h>

#include "link.h"

#define HEARTBEAT_MS 400 /* of a VM that follows the store */
#define CALM_EVERY 2	 /* the others send every second time */
/* VMs that fell silent are called less often, so that they can return. */
#define SILENT_EVERY 6
#define EARLY_MS 25
#define EARLY_TICKS 40
#define EARLY_GREET_EVERY 2
#define BACKLOG_MAX 512
#define REGION_UNKNOWN 0 /* no peers can be named to it */
#define BEHIND_MAX 2	 /* ticks, each a heartbeat apart */

struct fleet {
	struct fl_params params;
	struct fl_members members;
	uv_udp_t udp;
	uv_tcp_t listener;
	uv_timer_t timer;
	struct fl_link *listeners; /* VMs that get news here */
	struct fl_link *source;	   /* the VM that gives news */
	struct sockaddr_in source_address;
	enum fl_role role;
	uv_timer_t early;
	uint32_t early_ticks;
	uint64_t greetings;
	uint64_t ticks;

	uint32_t behind; /* ticks for which the leader knew more */
};

static void
send_datagram(struct fleet *fleet, const struct fl_frame *frame,
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

static uint64_t
known_news(const struct fleet *fleet)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		sum += st_cache_revision(fleet->params.cache, i);
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
		.news = known_news(fleet)},
	};
}

/* Introduces this VM, and others of the receiver's region. */
static void
greet(struct fleet *fleet, const struct sockaddr_in *to, uint64_t region,
    bool asks)
{
	struct fl_frame frame = {.type = FL_FRAME_HEARTBEAT};

	fleet->members.self.news = known_news(fleet);
	frame.as.heartbeat.member = fleet->members.self;
	memcpy(frame.as.heartbeat.region, fleet->params.region,
	    sizeof(frame.as.heartbeat.region));
	frame.as.heartbeat.asks = asks;
	frame.as.heartbeat.peer_count =
	    pick_peers(fleet, region, frame.as.heartbeat.peers);
	send_datagram(fleet, &frame, to);
}

static void
greet_seeds(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->params.seed_count; i++)
		greet(fleet, &fleet->params.seeds[i], REGION_UNKNOWN, true);
}

/* Short ones to those that live, introductions to those that may return. */
static void
send_heartbeats(struct fleet *fleet)
{
	struct fl_frame pulse = pulse_of(fleet);
	int64_t now_us = cs_now_us();
	uint32_t i;

	for (i = 0; i < fleet->members.count; i++) {
		const struct fl_member *member = &fleet->members.list[i];

		if (!member->near)
			continue;
		if (fl_is_alive(member, now_us))
			send_datagram(fleet, &pulse, &member->fleet);
		else if ((fleet->ticks + i) % SILENT_EVERY == 0)
			greet(fleet, &member->fleet, member->region, true);
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
			greet(fleet, peer, fleet->members.self.region, true);
	}
}

static void judge(struct fleet *fleet);

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
		greet(fleet, &member->fleet, member->region, false);
	greet_peers(fleet, frame);
	if (member->stopping || member->current)
		judge(fleet);
}

static void
on_pulse(struct fleet *fleet, const struct fl_frame *frame,
    const struct sockaddr_in *from)
{
	if (!fl_members_pulse(&fleet->members, from, frame, cs_now_us()))
		greet(fleet, from, REGION_UNKNOWN, true);
	else if (fleet->members.changed)
		judge(fleet);
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
		fleet->params.events->on_suspect(
		    fleet->params.user, frame.as.suspect.fingerprint);
		break;
	case FL_FRAME_NEWS: /* comes over links alone */
		st_batch_free(&frame.as.news.batch);
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

/* Listening to another VM. */

static void
on_source_open(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	struct fl_frame hello = {.type = FL_FRAME_HELLO};
	struct fl_buffer buffer;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		hello.as.hello.revisions[i] =
		    st_cache_revision(fleet->params.cache, i);
	if (fl_encode(&hello, &buffer) != CS_OK)
		return;
	fl_link_send(link, &buffer);
	free(buffer.data);
}

static void
on_source_frame(struct fl_link *link, const struct fl_frame *frame)
{
	struct fleet *fleet = link->owner;

	if (frame->type == FL_FRAME_NEWS &&
	    frame->as.news.kind < fleet->params.kind_count)
		fleet->params.events->on_news(
		    fleet->params.user, &frame->as.news);
}

static void
on_source_end(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	uint32_t i;

	fleet->source = NULL;
	/* Not to be believed until its next heartbeat. */
	for (i = 0; i < fleet->members.count; i++) {
		if (memcmp(&fleet->members.list[i].fleet,
			&fleet->source_address,
			sizeof(fleet->source_address)) == 0)
			fleet->members.list[i].current = false;
	}
}

static const struct fl_link_events source_events = {
    .on_open = on_source_open,
    .on_frame = on_source_frame,
    .on_end = on_source_end,
};

static void
listen_to(struct fleet *fleet, const struct fl_member *leader)
{
	if (fleet->source != NULL &&
	    memcmp(&fleet->source_address, &leader->fleet,
		sizeof(leader->fleet)) == 0)
		return;
	if (fleet->source != NULL)
		fl_link_close(fleet->source);
	fleet->source_address = leader->fleet;
	fleet->source = fl_link_connect(
	    fleet->params.loop, &leader->fleet, &source_events, fleet);
}

/* The link is open, yet the leader's news does not arrive: it has died. */
static void
check_source(struct fleet *fleet, const struct fl_member *leader)
{
	if (leader == NULL || fleet->source == NULL ||
	    leader->news <= known_news(fleet)) {
		fleet->behind = 0;
		return;
	}
	if (++fleet->behind < BEHIND_MAX)
		return;
	fleet->behind = 0;
	fl_link_close(fleet->source);
	fleet->source = NULL;
}

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
		listen_to(fleet, leader);
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

/* Giving news to others. */

static void
send_news(struct fl_link *link, const struct fl_news *news)
{
	struct fl_frame frame = {.type = FL_FRAME_NEWS, .as.news = *news};
	struct fl_buffer buffer;

	if (fl_encode(&frame, &buffer) != CS_OK)
		return;
	fl_link_send(link, &buffer);
	free(buffer.data);
}

static void
bring_up_to_date(struct fl_link *link, const struct fl_frame *hello)
{
	struct fleet *fleet = link->owner;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count && !link->closing; i++) {
		struct fl_news news = {.kind = i};

		if (st_cache_revision(fleet->params.cache, i) == 0 ||
		    st_cache_since(fleet->params.cache, i,
			hello->as.hello.revisions[i], &news.batch,
			&news.whole) != CS_OK)
			continue;
		send_news(link, &news);
		free(news.batch.changes); /* the texts are the cache's */
	}
}

static void
on_listener_open(struct fl_link *link)
{
	(void)link;
}

static void
on_listener_frame(struct fl_link *link, const struct fl_frame *frame)
{
	if (frame->type != FL_FRAME_HELLO)
		return;
	link->said_hello = true;
	bring_up_to_date(link, frame);
}

static void
on_listener_end(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	struct fl_link **at = &fleet->listeners;

	while (*at != NULL && *at != link)
		at = &(*at)->next;
	if (*at == link)
		*at = link->next;
}

static const struct fl_link_events listener_events = {
    .on_open = on_listener_open,
    .on_frame = on_listener_frame,
    .on_end = on_listener_end,
};

static void
on_accept(uv_stream_t *listener, int status)
{
	struct fleet *fleet = listener->data;
	struct fl_link *link;

	if (status < 0)
		return;
	link = fl_link_accept(listener, &listener_events, fleet);
	if (link == NULL)
		return;
	link->next = fleet->listeners;
	fleet->listeners = link;
}

void
fl_pass_on(struct fleet *fleet, const struct fl_news *news)
{
	struct fl_frame frame = {.type = FL_FRAME_NEWS, .as.news = *news};
	struct fl_link *link, *next;
	struct fl_buffer buffer;

	if (fleet->listeners == NULL || fl_encode(&frame, &buffer) != CS_OK)
		return;
	for (link = fleet->listeners; link != NULL; link = next) {
		next = link->next;
		if (link->said_hello)
			fl_link_send(link, &buffer);
	}
	free(buffer.data);
}

static void
on_early(uv_timer_t *timer)
{
	struct fleet *fleet = timer->data;

	judge(fleet);
	if (fleet->members.met_us == 0 &&
	    fleet->early_ticks % EARLY_GREET_EVERY == 0)
		greet_seeds(fleet); /* they may have started later */
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
		send_heartbeats(fleet);
	fl_members_tick(&fleet->members, cs_now_us(), &leader);
	check_source(fleet, leader);
	judge(fleet);
}

void
fl_know(struct fleet *fleet, const struct fl_member *member)
{
	struct fl_member *known = fl_members_learn(&fleet->members, member);

	if (known != NULL && known->heard_us == 0 && known->near)
		greet(fleet, &known->fleet, fleet->members.self.region, true);
}

void
fl_suspect(struct fleet *fleet, uint64_t fingerprint)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_SUSPECT, .as.suspect.fingerprint = fingerprint};
	uint32_t i;

	for (i = 0; i < fleet->members.count; i++)
		send_datagram(fleet, &frame, &fleet->members.list[i].fleet);
}

void
fl_set_ready(struct fleet *fleet, bool ready)
{
	if (fleet->members.self.ready == ready)
		return;
	fleet->members.self.ready = ready;
	send_heartbeats(fleet);
}

void
fl_set_current(struct fleet *fleet, bool current)
{
	if (fleet->members.self.current == current)
		return;
	fleet->members.self.current = current;
	send_heartbeats(fleet);
}

void
fl_leave(struct fleet *fleet)
{
	fleet->members.self.stopping = true;
	fleet->members.self.current = false;
	send_heartbeats(fleet);
	send_heartbeats(fleet); /* one of them may get lost */
}

const struct fl_members *
fl_get_members(const struct fleet *fleet)
{
	return &fleet->members;
}

static int
open_sockets(struct fleet *fleet)
{
	const struct sockaddr *own =
	    (const struct sockaddr *)&fleet->params.self.fleet;

	if (uv_udp_bind(&fleet->udp, own, 0) != 0 ||
	    uv_udp_recv_start(&fleet->udp, on_udp_alloc, on_datagram) != 0 ||
	    uv_tcp_bind(&fleet->listener, own, 0) != 0 ||
	    uv_listen(
		(uv_stream_t *)&fleet->listener, BACKLOG_MAX, on_accept) != 0)
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
	greet_seeds(fleet);
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
