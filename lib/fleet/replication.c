/* Replication of the store's updates over TCP, from the leader to followers. */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

#define TICKS_BEHIND_MAX 2 /* of HEARTBEAT_MS */
/*
 * A follower subscribes as soon as it is connected. Above the first number,
 * connections that have not done so in this time are closed; above the second,
 * which exceeds the followers that a region has, the oldest one in any case.
 */
#define STRANGERS_CHECKED 32
#define SUBSCRIBE_MAX_US 2000000
#define STRANGERS_MAX 160

uint64_t
fl_revision_sum(const struct fleet *fleet)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		sum += os_cache_revision(fleet->params.cache, i);
	return sum;
}

static void
on_leader_open(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	struct fl_frame subscribe = {.type = FL_FRAME_SUBSCRIBE};
	struct fl_buffer buffer;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count; i++)
		subscribe.as.subscribe.revisions[i] =
		    os_cache_revision(fleet->params.cache, i);
	subscribe.as.subscribe.follower = fleet->membership.self.fleet;
	if (fl_encode(&subscribe, &buffer) != CS_OK)
		return;
	fl_count_sent(fleet, FL_FRAME_SUBSCRIBE,
	    fl_membership_find(&fleet->membership, &fleet->leader_address),
	    buffer.length);
	fl_link_send(link, &buffer);
	free(buffer.data);
}

static void
on_leader_frame(struct fl_link *link, const struct fl_frame *frame)
{
	struct fleet *fleet = link->owner;

	if (frame->type == FL_FRAME_UPDATE &&
	    frame->as.update.kind < fleet->params.kind_count)
		fleet->params.events->on_update(
		    fleet->params.user, &frame->as.update);
}

static void
on_leader_disconnect(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	uint32_t i;

	fleet->leader_link = NULL;
	/* The leader does not count as current until its next heartbeat. */
	for (i = 0; i < fleet->membership.count; i++) {
		if (memcmp(&fleet->membership.nodes[i].fleet,
			&fleet->leader_address,
			sizeof(fleet->leader_address)) == 0)
			fleet->membership.nodes[i].current = false;
	}
}

static const struct fl_link_events leader_events = {
    .on_open = on_leader_open,
    .on_frame = on_leader_frame,
    .on_disconnect = on_leader_disconnect,
};

void
fl_follow_leader(struct fleet *fleet, const struct fl_node *leader)
{
	if (fleet->leader_link != NULL &&
	    memcmp(&fleet->leader_address, &leader->fleet,
		sizeof(leader->fleet)) == 0)
		return;
	if (fleet->leader_link != NULL)
		fl_link_close(fleet->leader_link);
	fleet->leader_address = leader->fleet;
	fleet->leader_link = fl_link_connect(
	    fleet->params.loop, &leader->fleet, &leader_events, fleet);
	if (fleet->leader_link != NULL)
		fleet->leader_link->memory = fleet->params.memory;
}

/*
 * A connection can be dead while it still counts as open: the leader's
 * heartbeats tell of newer revisions, but its updates do not arrive.
 */
void
fl_check_leader_link(struct fleet *fleet, const struct fl_node *leader)
{
	if (leader == NULL || fleet->leader_link == NULL ||
	    leader->revision_sum <= fl_revision_sum(fleet)) {
		if (leader != NULL && fleet->leader_link != NULL)
			fleet->confirmed_us = leader->heard_us;
		fleet->ticks_behind = 0;
		return;
	}
	if (++fleet->ticks_behind < TICKS_BEHIND_MAX)
		return;
	fleet->ticks_behind = 0;
	fl_link_close(fleet->leader_link);
	fleet->leader_link = NULL;
}

void
fl_free_snapshots(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < OS_KINDS_MAX; i++) {
		fl_unref_frame(fleet->snapshots[i].frame);
		fleet->snapshots[i] = (struct fl_snapshot){.revision = 0};
	}
}

/*
 * Encodes the changes of a kind after a revision. *is_snapshot is set if they
 * are a snapshot.
 */
static int
encode_changes(struct fleet *fleet, uint32_t kind, uint64_t revision,
    struct fl_buffer *out, bool *is_snapshot)
{
	struct fl_frame frame = {
	    .type = FL_FRAME_UPDATE, .as.update = {.kind = kind}};
	struct fl_update *update = &frame.as.update;
	int error = os_cache_changes_since(fleet->params.cache, kind, revision,
	    &update->batch, &update->snapshot);

	if (error != CS_OK)
		return error;
	*is_snapshot = update->snapshot;
	error = fl_encode(&frame, out);
	free(update->batch.changes); /* the cache owns the texts */
	return error;
}

/* Returns the encoded snapshot of a kind, or NULL if there is none. */
static struct fl_shared_frame *
find_snapshot(struct fleet *fleet, uint32_t kind)
{
	struct fl_snapshot *snapshot = &fleet->snapshots[kind];
	uint64_t revision = os_cache_revision(fleet->params.cache, kind);
	struct fl_buffer buffer;
	bool is_snapshot;

	if (snapshot->revision == revision)
		return snapshot->frame;
	fl_unref_frame(snapshot->frame);
	*snapshot = (struct fl_snapshot){.revision = 0};
	if (encode_changes(fleet, kind, 0, &buffer, &is_snapshot) != CS_OK)
		return NULL;
	snapshot->frame = fl_share_frame(fleet->params.memory, &buffer);
	free(buffer.data);
	if (snapshot->frame != NULL)
		snapshot->revision = revision;
	return snapshot->frame;
}

static void
send_encoded(
    struct fl_link *link, struct fl_shared_frame *frame, bool is_snapshot)
{
	struct fleet *fleet = link->owner;

	fleet->counters.updates++;
	fleet->counters.update_bytes += frame->length - FL_LENGTH_BYTES;
	fleet->counters.snapshots += is_snapshot;
	fl_count_sent(fleet, FL_FRAME_UPDATE,
	    fl_membership_find(&fleet->membership, &link->follower),
	    frame->length - FL_LENGTH_BYTES);
	fl_link_send_shared(link, frame);
}

static void
send_missed_updates(struct fl_link *link, const struct fl_frame *subscribe)
{
	struct fleet *fleet = link->owner;
	uint32_t i;

	for (i = 0; i < fleet->params.kind_count && !link->closing; i++) {
		uint64_t revision = subscribe->as.subscribe.revisions[i];
		struct fl_shared_frame *frame;
		struct fl_buffer buffer;
		bool is_snapshot;

		if (os_cache_revision(fleet->params.cache, i) == 0)
			continue;
		if (revision == 0) {
			frame = find_snapshot(fleet, i);
			if (frame != NULL)
				send_encoded(link, frame, true);
		} else if (encode_changes(fleet, i, revision, &buffer,
			       &is_snapshot) == CS_OK) {
			frame = fl_share_frame(fleet->params.memory, &buffer);
			free(buffer.data);
			if (frame != NULL)
				send_encoded(link, frame, is_snapshot);
			fl_unref_frame(frame);
		}
	}
}

static void
on_follower_open(struct fl_link *link)
{
	(void)link;
}

static void
on_follower_frame(struct fl_link *link, const struct fl_frame *frame)
{
	if (frame->type != FL_FRAME_SUBSCRIBE)
		return;
	link->subscribed = true;
	link->follower = frame->as.subscribe.follower;
	send_missed_updates(link, frame);
}

static void
on_follower_disconnect(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	struct fl_link **at = &fleet->followers;

	while (*at != NULL && *at != link)
		at = &(*at)->next;
	if (*at == link)
		*at = link->next;
}

static const struct fl_link_events follower_events = {
    .on_open = on_follower_open,
    .on_frame = on_follower_frame,
    .on_disconnect = on_follower_disconnect,
};

/* Closes connections that have not subscribed, if there are many of them. */
static void
close_strangers(struct fleet *fleet)
{
	int64_t accepted_max_us = cs_now_us() - SUBSCRIBE_MAX_US;
	struct fl_link *link, *next, *oldest = NULL;
	uint32_t count = 0;

	for (link = fleet->followers; link != NULL; link = link->next) {
		if (link->subscribed)
			continue;
		count++;
		oldest = link; /* new links come first */
	}
	if (count >= STRANGERS_MAX && oldest->accepted_us >= accepted_max_us) {
		fl_link_close(oldest);
		on_follower_disconnect(oldest);
	}
	if (count < STRANGERS_CHECKED)
		return;
	for (link = fleet->followers; link != NULL; link = next) {
		next = link->next;
		if (link->subscribed || link->accepted_us >= accepted_max_us)
			continue;
		fl_link_close(link);
		on_follower_disconnect(link);
	}
}

void
fl_on_accept(uv_stream_t *listener, int status)
{
	struct fleet *fleet = listener->data;
	struct fl_link *link;

	if (status < 0)
		return;
	close_strangers(fleet);
	link = fl_link_accept(listener, &follower_events, fleet);
	if (link == NULL)
		return;
	link->memory = fleet->params.memory;
	link->next = fleet->followers;
	fleet->followers = link;
}

void
fl_send_update(struct fleet *fleet, const struct fl_update *update)
{
	struct fl_frame frame = {.type = FL_FRAME_UPDATE, .as.update = *update};
	struct fl_link *link, *next;
	struct fl_shared_frame *shared;
	struct fl_buffer buffer;

	if (fleet->followers == NULL || fl_encode(&frame, &buffer) != CS_OK)
		return;
	shared = fl_share_frame(fleet->params.memory, &buffer);
	free(buffer.data);
	if (shared == NULL)
		return;
	for (link = fleet->followers; link != NULL; link = next) {
		next = link->next;
		if (!link->subscribed)
			continue;
		send_encoded(link, shared, update->snapshot);
	}
	fl_unref_frame(shared);
}
