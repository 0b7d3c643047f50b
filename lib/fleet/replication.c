/* The store's news over TCP: from the VM that follows it, to those that ask. */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

#define BEHIND_MAX 2 /* ticks, each a heartbeat apart */

uint64_t
fl_known_news(const struct fleet *fleet)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		sum += os_cache_revision(fleet->params.cache, i);
	return sum;
}

static void
on_source_open(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	struct fl_frame hello = {.type = FL_FRAME_HELLO};
	struct fl_buffer buffer;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		hello.as.hello.revisions[i] =
		    os_cache_revision(fleet->params.cache, i);
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

void
fl_listen_to(struct fleet *fleet, const struct fl_member *leader)
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
void
fl_check_source(struct fleet *fleet, const struct fl_member *leader)
{
	if (leader == NULL || fleet->source == NULL ||
	    leader->news <= fl_known_news(fleet)) {
		fleet->behind = 0;
		return;
	}
	if (++fleet->behind < BEHIND_MAX)
		return;
	fleet->behind = 0;
	fl_link_close(fleet->source);
	fleet->source = NULL;
}

static void
count_news(struct fleet *fleet, const struct fl_news *news,
    const struct fl_buffer *out)
{
	fleet->counters.news++;
	fleet->counters.news_bytes += out->length;
	fleet->counters.snapshots += news->whole;
}

static void
send_news(struct fl_link *link, const struct fl_news *news)
{
	struct fl_frame frame = {.type = FL_FRAME_NEWS, .as.news = *news};
	struct fl_buffer buffer;

	if (fl_encode(&frame, &buffer) != CS_OK)
		return;
	count_news(link->owner, news, &buffer);
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

		if (os_cache_revision(fleet->params.cache, i) == 0 ||
		    os_cache_since(fleet->params.cache, i,
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

void
fl_on_accept(uv_stream_t *listener, int status)
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
		if (!link->said_hello)
			continue;
		count_news(fleet, news, &buffer);
		fl_link_send(link, &buffer);
	}
	free(buffer.data);
}
