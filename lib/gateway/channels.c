/*
 * Connections to targets. Each carries one request at a time and is kept open
 * for reuse. A connection is closed as soon as it is uncertain which request
 * the bytes on it belong to.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gateway_internal.h"

/*
 * A connection whose bytes stay unacknowledged for this long is closed; it is
 * enough for three retransmissions between regions.
 */
#define UNACKED_TIMEOUT_MS 700
#define KEEPALIVE_PROBES_LOST_MAX 2
/* Far longer than a probe to another region takes. */
#define PROBE_TIMEOUT_US 400000
/*
 * A target may have closed an idle connection before the gateway sees it. A
 * request that is not idempotent only uses a connection that has been idle for
 * less than this.
 */
#define IDLE_NOT_IDEMPOTENT_MAX_US 1000000

static void drop_channel(struct gw_channel *channel);

static void
remove_from_idle(struct gw_channel *channel)
{
	struct gw_channel **at = &channel->owner->idle;

	while (*at != NULL && *at != channel)
		at = &(*at)->next_idle;
	if (*at == channel)
		*at = channel->next_idle;
}

static void
free_channels_if_unused(struct gw_channels *channels)
{
	struct bl_target *target = channels->target;

	if (channels->open_count > 0 || target->pool != NULL)
		return;
	target->channels = NULL;
	free(channels);
	bl_target_drop(target);
}

static struct gw_channels *
channels_of(struct gw *gw, struct bl_target *target)
{
	struct gw_channels *channels = target->channels;

	if (channels != NULL)
		return channels;
	channels = calloc(1, sizeof(*channels));
	if (channels == NULL)
		return NULL;
	channels->gw = gw;
	channels->target = target;
	cs_ref_take(&target->ref);
	target->channels = channels;
	return channels;
}

static enum h1_keep
release_channel(struct gw_channel *channel, const struct h1_message *response)
{
	struct gw_channels *owner = channel->owner;

	channel->call = NULL;
	channel->probing = false;
	if (!response->keep_alive || owner->target->leaving) {
		channel->h1 = NULL;
		drop_channel(channel);
		return H1_CLOSE;
	}
	channel->last_used_us = cs_now_us();
	channel->idle_limit_us = gw_idle_limit_us(response);
	memcpy(channel->previous_id, channel->id, sizeof(channel->previous_id));
	channel->reused = true;
	channel->next_idle = owner->idle;
	owner->idle = channel;
	return H1_KEEP;
}

static void
update_load(struct gw_channel *channel, const struct h1_message *response)
{
	const struct gw_dialect *header_names =
	    channel->owner->gw->params.dialect;
	const char *text = h1_find(response, header_names->load);
	struct bl_load load;

	if (text != NULL && header_names->parse_load(text, &load))
		bl_load_reported(channel->owner->target, &load, cs_now_us());
	else
		bl_load_reported(channel->owner->target, NULL, cs_now_us());
}

static enum h1_keep
on_probe_response(struct gw_channel *channel, const struct h1_message *response)
{
	const struct gw_dialect *header_names =
	    channel->owner->gw->params.dialect;
	struct bl_target *target = channel->owner->target;
	struct gw_pool *pool = gw_pool_of_target(target);
	enum h1_keep keep;

	if (h1_find(response, header_names->request_id) != NULL)
		/* Late response to the previous request. */
		return H1_READ_NEXT;
	update_load(channel, response);
	channel->owner->probe = NULL;
	target->probing = false;
	/* The target is unhealthy; ignores the speed that it reports. */
	if (response->status != 200)
		target->load.slowness_pct = 0;
	cs_ref_take(&target->ref);
	/*
	 * The request before the probe may still be answered a second time, so
	 * its id is kept.
	 */
	memcpy(channel->id, channel->previous_id, sizeof(channel->id));

	keep = release_channel(channel, response);
	if (pool != NULL)
		pool->gw->callbacks->probe_ended(pool, target);
	bl_target_drop(target);
	return keep;
}

static enum h1_keep
on_call_response(struct gw_channel *channel, const struct h1_message *response)
{
	const struct gw_dialect *header_names =
	    channel->owner->gw->params.dialect;
	struct gw_call *call = channel->call;
	enum bl_outcome outcome;
	enum h1_keep keep;

	switch (gw_match_response(channel, response)) {
	case GW_MATCH_PREVIOUS:
		return H1_READ_NEXT;
	case GW_MATCH_NONE:
		call->channel = NULL;
		channel->h1 = NULL;
		drop_channel(channel);
		call->gw->callbacks->attempt_ended(call, BL_GARBLED, NULL);
		return H1_CLOSE;
	case GW_MATCH_CURRENT:
		break;
	}
	outcome = gw_classify_response(header_names, response);
	update_load(channel, response);
	call->channel = NULL;
	keep = release_channel(channel, response);
	call->gw->callbacks->attempt_ended(call, outcome, response);
	return keep;
}

static enum h1_keep
on_answer(struct h1_channel *h1, const struct h1_message *response)
{
	struct gw_channel *channel = h1_channel_owner(h1);

	return channel->probing ? on_probe_response(channel, response)
				: on_call_response(channel, response);
}

/*
 * Records a crash. A target is taken to have crashed when it refuses
 * connections right after it lost a request.
 */
static void
record_crash(struct gw_channels *channels, enum h1_end end)
{
	struct gw *gw = channels->gw;
	uint64_t fingerprint = channels->suspect_fingerprint;
	uint32_t crashes;

	channels->suspect_fingerprint = 0;
	if (fingerprint == 0 || end != H1_END_UNREACHED)
		return;
	crashes = bl_poison_crashed(&gw->poison, fingerprint, cs_now_us());
	cs_log(CS_LOG_TARGET_CRASHED, "target=%s fingerprint=%llx crashes=%u",
	    channels->target->id, (unsigned long long)fingerprint, crashes);
	if (crashes > 0)
		gw->params.events->on_crash(gw->params.user, fingerprint);
}

static enum bl_outcome
outcome_of_end(const struct gw_channel *channel, enum h1_end end)
{
	if (end == H1_END_UNREACHED || !h1_channel_sent(channel->h1))
		return BL_UNREACHED;
	return end == H1_END_BAD ? BL_GARBLED : BL_LOST;
}

static void
finish_probe(struct gw_channel *channel, enum h1_end end)
{
	struct bl_target *target = channel->owner->target;
	struct gw_pool *pool = gw_pool_of_target(target);

	channel->owner->probe = NULL;
	target->probing = false;
	record_crash(channel->owner, end);
	bl_request_started(target, cs_now_us());
	bl_request_ended(target, outcome_of_end(channel, end), 0, cs_now_us());
	if (pool != NULL)
		pool->gw->callbacks->probe_ended(pool, target);
}

static void
on_end(struct h1_channel *h1, enum h1_end end)
{
	struct gw_channel *channel = h1_channel_owner(h1);
	struct gw_call *call = channel->call;
	struct bl_target *target = channel->owner->target;

	cs_ref_take(&target->ref);
	remove_from_idle(channel);
	if (channel->probing)
		finish_probe(channel, end);
	if (call != NULL) {
		enum bl_outcome outcome = outcome_of_end(channel, end);

		if (outcome == BL_LOST && end != H1_END_BROKEN)
			channel->owner->suspect_fingerprint = call->fingerprint;
		call->channel = NULL;
		channel->h1 = NULL;
		if (channel->owner->suspect_fingerprint != 0 &&
		    !target->leaving)
			gw_probe(channel->owner->gw, target);
		drop_channel(channel);
		call->gw->callbacks->attempt_ended(call, outcome, NULL);
	} else {
		channel->h1 = NULL;
		drop_channel(channel);
	}
	bl_target_drop(target);
}

static const struct h1_channel_events events = {
    .on_answer = on_answer,
    .on_end = on_end,
};

/* Frees a channel and closes its connection unless that has ended already. */
static void
drop_channel(struct gw_channel *channel)
{
	struct gw_channels *owner = channel->owner;

	remove_from_idle(channel);
	if (channel->h1 != NULL)
		h1_channel_close(channel->h1);
	owner->open_count--;
	free(channel);
	free_channels_if_unused(owner);
}

/*
 * Returns this VM's share of the connections that a target accepts, or 0 if
 * there is no limit.
 */
static uint32_t
connection_share(const struct gw_channels *channels)
{
	const struct gw_pool *pool = gw_pool_of_target(channels->target);
	uint32_t members = channels->gw->params.budget.members;

	if (pool == NULL || pool->channels_max == 0)
		return 0;
	if (members <= 1)
		return pool->channels_max;
	return pool->channels_max > members ? pool->channels_max / members : 1;
}

/*
 * Returns true if another connection may be opened. Closes an idle one to make
 * room if necessary.
 */
static bool
has_room(struct gw_channels *channels)
{
	uint32_t share = connection_share(channels);

	if (share == 0 || channels->open_count < share)
		return true;
	if (channels->idle == NULL)
		return false;
	channels->open_count++; /* prevents channels from being freed */
	drop_channel(channels->idle);
	channels->open_count--;
	return channels->open_count < share;
}

static struct gw_channel *
open_channel(struct gw_channels *channels)
{
	struct gw *gw = channels->gw;
	struct gw_channel *channel = calloc(1, sizeof(*channel));
	struct h1_channel_params params = {
	    .loop = gw->params.loop,
	    .address = channels->target->address,
	    .limits = {H1_HEAD_BYTES_MAX, gw->params.answer_bytes_max},
	    .silence_ms = UNACKED_TIMEOUT_MS,
	    .probes_lost = KEEPALIVE_PROBES_LOST_MAX,
	    .events = &events,
	    .owner = channel,
	};

	if (channel == NULL)
		return NULL;
	if (h1_channel_open(&params, &channel->h1) != CS_OK) {
		free(channel);
		return NULL;
	}
	channel->owner = channels;
	channels->open_count++;
	gw->counters.channels_opened++;
	return channel;
}

static struct gw_channel *
acquire_channel(struct gw_channels *channels, bool idempotent)
{
	int64_t now_us = cs_now_us();
	struct gw_channel *channel = channels->idle;
	int64_t idle_us = channel == NULL ? 0 : now_us - channel->last_used_us;

	if (channel != NULL && idle_us < channel->idle_limit_us &&
	    (idempotent || idle_us < IDLE_NOT_IDEMPOTENT_MAX_US)) {
		channels->idle = channel->next_idle;
		channel->next_idle = NULL;
		return channel;
	}
	return has_room(channels) ? open_channel(channels) : NULL;
}

int
gw_send(struct gw_call *call, struct bl_target *target)
{
	struct gw_channels *channels = channels_of(call->gw, target);
	struct gw_channel *channel =
	    channels == NULL
		? NULL
		: acquire_channel(channels, call->route->kind == RT_IDEMPOTENT);

	if (channel == NULL)
		return CS_E_SYSTEM;
	channel->call = call;
	call->channel = channel;
	memcpy(channel->id, call->id, sizeof(channel->id));
	if (gw_write_head(call, target) != CS_OK ||
	    h1_channel_send(channel->h1, &call->gw->head, &call->request->body,
		strcmp(call->request->method, "HEAD") == 0) != CS_OK) {
		call->channel = NULL;
		channel->call = NULL;
		drop_channel(channel);
		return CS_E_SYSTEM;
	}
	return CS_OK;
}

void
gw_cancel(struct gw_call *call)
{
	struct gw_channel *channel = call->channel;

	if (channel == NULL)
		return;
	call->channel = NULL;
	channel->call = NULL;
	drop_channel(channel);
}

int
gw_probe(struct gw *gw, struct bl_target *target)
{
	struct gw_pool *pool = gw_pool_of_target(target);
	struct gw_channels *channels;
	struct gw_channel *channel;

	if (pool == NULL || target->probing || pool->health_path[0] == '\0')
		return CS_E_CONFLICT;
	channels = channels_of(gw, target);
	channel = channels == NULL ? NULL : acquire_channel(channels, true);
	if (channel == NULL)
		return CS_E_SYSTEM;
	channel->id[0] = '\0';
	channel->probing = true;
	gw->head.length = 0;
	if (h1_bytes_print(&gw->head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
		pool->health_path, pool->balance->name) != CS_OK ||
	    h1_channel_send(channel->h1, &gw->head, NULL, false) != CS_OK) {
		drop_channel(channel);
		return CS_E_SYSTEM;
	}
	channels->probe = channel;
	target->probing = true;
	target->probe_sent_us = cs_now_us();
	gw->counters.probes++;
	return CS_OK;
}

static void
abort_probe(struct gw_channels *channels)
{
	struct gw_channel *channel = channels->probe;

	finish_probe(channel, H1_END_RESET);
	channel->probing = false;
	drop_channel(channel);
}

void
gw_channels_sweep(struct gw_channels *channels, int64_t now_us)
{
	struct gw_channel *channel = channels->idle, *next;

	if (channels->probe != NULL &&
	    now_us - channels->target->probe_sent_us > PROBE_TIMEOUT_US) {
		abort_probe(channels);
		return;
	}

	for (; channel != NULL; channel = next) {
		next = channel->next_idle;
		if (now_us - channel->last_used_us >= channel->idle_limit_us)
			drop_channel(channel);
	}
}

void
gw_channels_close(struct gw_channels *channels)
{
	struct bl_target *target = channels->target;
	struct gw_channel *channel, *next;

	if (channels->probe != NULL)
		abort_probe(channels);
	if (target->channels == NULL)
		return;
	channel = channels->idle;
	channels->open_count++; /* prevents channels from being freed */
	for (; channel != NULL; channel = next) {
		next = channel->next_idle;
		drop_channel(channel);
	}
	channels->open_count--;
	free_channels_if_unused(channels);
}
