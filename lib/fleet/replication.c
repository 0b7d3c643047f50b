/* Replication of the store's updates over TCP, from the leader to followers. */
#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

#define TICKS_BEHIND_MAX 2 /* of HEARTBEAT_MS */
#define RELAY_TICKS_BEHIND_MAX 4
/* How long a source that failed is not followed, and a new place must last. */
#define AVOID_US 3000000
#define SOURCE_SETTLE_US 3000000
#define FIRST_SOURCE_WAIT_US 100000
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
on_source_open(struct fl_link *link)
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
	    fl_membership_find(&fleet->membership, &fleet->source_address),
	    buffer.length);
	fl_link_send(link, &buffer);
	free(buffer.data);
}

static void
on_source_frame(struct fl_link *link, const struct fl_frame *frame)
{
	struct fleet *fleet = link->owner;

	if (frame->type == FL_FRAME_UPDATE &&
	    frame->as.update.kind < fleet->params.kind_count)
		fleet->params.events->on_update(
		    fleet->params.user, &frame->as.update);
}

static bool
is_same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static bool
is_source_the_leader(const struct fleet *fleet)
{
	return fleet->has_leader &&
	       is_same_address(&fleet->source_address, &fleet->leader_address);
}

/*
 * The source failed. A relay is not followed again for a while; the leader does
 * not count as current until its next heartbeat.
 */
static void
on_source_disconnect(struct fl_link *link)
{
	struct fleet *fleet = link->owner;
	struct fl_node *source =
	    fl_membership_find(&fleet->membership, &fleet->source_address);

	fleet->source_link = NULL;
	if (source == NULL)
		return;
	if (is_source_the_leader(fleet))
		source->current = false;
	else
		source->avoid_until_us = cs_now_us() + AVOID_US;
}

static const struct fl_link_events source_events = {
    .on_open = on_source_open,
    .on_frame = on_source_frame,
    .on_disconnect = on_source_disconnect,
};

static void
close_source_link(struct fleet *fleet)
{
	if (fleet->source_link != NULL)
		fl_link_close(fleet->source_link);
	fleet->source_link = NULL;
}

/*
 * The ranks of nodes that join or leave shift the place of others in the tree.
 * A source that serves is kept until the new place has been the same for some
 * time.
 */
static bool
keeps_source(
    struct fleet *fleet, const struct fl_node *leader, const struct fl_node *to)
{
	const struct fl_node *source =
	    fl_membership_find(&fleet->membership, &fleet->source_address);
	int64_t now_us = cs_now_us();

	if (source == to) {
		fleet->next_source.sin_port = 0;
		return true;
	}
	if (source != leader &&
	    (source == NULL ||
		!fl_membership_may_relay(&fleet->membership, source, now_us)))
		return false;
	/* Without relays the leader that ranks first is followed at once. */
	if (to == leader && !fl_membership_is_large(&fleet->membership, now_us))
		return false;
	if (!is_same_address(&fleet->next_source, &to->fleet)) {
		fleet->next_source = to->fleet;
		fleet->next_source_us = now_us;
	}
	return now_us - fleet->next_source_us < SOURCE_SETTLE_US;
}

/*
 * A node that has just started in a large region knows the leader some round
 * trips before the relays of its data centre. All would take the leader's
 * snapshot when they start together.
 */
static bool
is_too_early(const struct fleet *fleet)
{
	const struct fl_membership *membership = &fleet->membership;
	int64_t now_us = cs_now_us();

	return membership->told_nodes >= FL_LARGE_REGION_NODES &&
	       !membership->watching && fl_revision_sum(fleet) == 0 &&
	       now_us - membership->first_contact_us < FIRST_SOURCE_WAIT_US;
}

void
fl_follow_leader(struct fleet *fleet, const struct fl_node *leader)
{
	const struct fl_node *source;

	fleet->has_leader = leader != NULL;
	if (leader == NULL) {
		close_source_link(fleet);
		return;
	}
	fleet->leader_address = leader->fleet;
	source = cs_now_us() < fleet->direct_until_us
		     ? leader
		     : fl_membership_find_source(
			   &fleet->membership, leader, cs_now_us());
	if (fleet->source_link != NULL && keeps_source(fleet, leader, source))
		return;
	if (source == leader && is_too_early(fleet))
		return;
	close_source_link(fleet);
	fleet->next_source.sin_port = 0;
	fleet->ticks_behind = 0;
	fleet->source_address = source->fleet;
	fleet->source_link = fl_link_connect(
	    fleet->params.loop, &source->fleet, &source_events, fleet);
	if (fleet->source_link != NULL)
		fleet->source_link->memory = fleet->params.memory;
}

/*
 * A connection can be dead while it still counts as open: heartbeats tell of
 * newer revisions, but the updates do not arrive. A relay that lags behind the
 * leader itself gets more time, since it replaces its own source first.
 */
void
fl_check_source_link(struct fleet *fleet, const struct fl_node *leader)
{
	uint64_t own = fl_revision_sum(fleet);
	struct fl_node *source;

	if (leader == NULL || fleet->source_link == NULL ||
	    leader->revision_sum <= own) {
		if (leader != NULL && fleet->source_link != NULL)
			fleet->confirmed_us = leader->heard_us;
		fleet->ticks_behind = 0;
		return;
	}
	source = fl_membership_find(&fleet->membership, &fleet->source_address);
	if (++fleet->ticks_behind <
	    (source != NULL && source->revision_sum > own
		    ? TICKS_BEHIND_MAX
		    : RELAY_TICKS_BEHIND_MAX))
		return;
	fleet->ticks_behind = 0;
	if (!is_source_the_leader(fleet)) {
		/* Other relays may lag for the same reason. */
		if (source != NULL && source->revision_sum > own)
			source->avoid_until_us = cs_now_us() + AVOID_US;
		else
			fleet->direct_until_us = cs_now_us() + AVOID_US;
	}
	close_source_link(fleet);
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
