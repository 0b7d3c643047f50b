/*
 * Connections to targets: kept while they are good, used for one request at a
 * time, and closed at any doubt about whose bytes are on them.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gateway_internal.h"

/* Unacknowledged bytes: three retransmissions between regions. */
#define SILENCE_MS 700
#define PROBES_LOST_MAX 2
/* Far over the time of a probe to another region. */
#define PROBE_TIMEOUT_US 400000
/*
 * An idle connection may have been closed by its target unseen. What must not
 * be repeated goes on one used just now only.
 */
#define IDLE_ONCE_US 1000000

static void drop_channel(struct gw_channel *channel);

static void
leave_idle(struct gw_channel *channel)
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

	if (channels->open > 0 || target->pool != NULL)
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
keep_or_close(struct gw_channel *channel, const struct h1_message *answer)
{
	struct gw_channels *owner = channel->owner;

	channel->call = NULL;
	channel->probing = false;
	if (!answer->keep_alive || owner->target->leaving) {
		channel->line = NULL;
		drop_channel(channel);
		return H1_CLOSE;
	}
	channel->used_us = cs_now_us();
	channel->idle_limit_us = gw_idle_limit_us(answer);
	memcpy(channel->last_id, channel->id, sizeof(channel->last_id));
	channel->reused = true;
	channel->next_idle = owner->idle;
	owner->idle = channel;
	return H1_KEEP;
}

static void
hear_load(struct gw_channel *channel, const struct h1_message *answer)
{
	const struct gw_dialect *dialect = channel->owner->gw->params.dialect;
	const char *text = h1_find(answer, dialect->load);
	struct bl_load load;

	if (text != NULL && dialect->parse_load(text, &load))
		bl_heard(channel->owner->target, &load, cs_now_us());
	else
		bl_heard(channel->owner->target, NULL, cs_now_us());
}

static enum h1_keep
on_probe_answer(struct gw_channel *channel, const struct h1_message *answer)
{
	const struct gw_dialect *dialect = channel->owner->gw->params.dialect;
	struct bl_target *target = channel->owner->target;
	struct gw_pool *pool = gw_pool_of_target(target);
	enum h1_keep keep;

	if (h1_find(answer, dialect->request_id) != NULL)
		return H1_READ_NEXT; /* a late one to the request before */
	hear_load(channel, answer);
	channel->owner->probe = NULL;
	target->probing = false;
	if (answer->status != 200) /* unwell: its speed is not relied on */
		target->load.slowness_pct = 0;
	cs_ref_take(&target->ref);
	/* What ran here before the probe may still be answered twice. */
	memcpy(channel->id, channel->last_id, sizeof(channel->id));

	keep = keep_or_close(channel, answer);
	if (pool != NULL)
		pool->gw->flow->probe_ended(pool, target);
	bl_target_drop(target);
	return keep;
}

static enum h1_keep
on_call_answer(struct gw_channel *channel, const struct h1_message *answer)
{
	const struct gw_dialect *dialect = channel->owner->gw->params.dialect;
	struct gw_call *call = channel->call;
	enum bl_outcome outcome;
	enum h1_keep keep;

	switch (gw_judge_echo(channel, answer)) {
	case GW_ECHO_PREVIOUS:
		return H1_READ_NEXT;
	case GW_ECHO_STRANGE:
		call->channel = NULL;
		channel->line = NULL;
		drop_channel(channel);
		call->gw->flow->attempt_ended(call, BL_GARBLED, NULL);
		return H1_CLOSE;
	case GW_ECHO_OWN:
		break;
	}
	outcome = gw_judge_answer(dialect, answer);
	hear_load(channel, answer);
	call->channel = NULL;
	keep = keep_or_close(channel, answer);
	call->gw->flow->attempt_ended(call, outcome, answer);
	return keep;
}

static enum h1_keep
on_answer(struct h1_channel *line, const struct h1_message *answer)
{
	struct gw_channel *channel = h1_channel_owner(line);

	return channel->probing ? on_probe_answer(channel, answer)
				: on_call_answer(channel, answer);
}

/* A target that refuses connections right after it lost a request crashed. */
static void
note_crash(struct gw_channels *channels, enum h1_end end)
{
	struct gw *gw = channels->gw;
	uint64_t fingerprint = channels->probe_fingerprint;
	uint32_t crashes;

	channels->probe_fingerprint = 0;
	if (fingerprint == 0 || end != H1_END_UNREACHED)
		return;
	crashes = bl_crashed(&gw->poison, fingerprint, cs_now_us());
	cs_log(CS_LOG_TARGET_CRASHED, "target=%s fingerprint=%llx crashes=%u",
	    channels->target->id, (unsigned long long)fingerprint, crashes);
	if (crashes > 0)
		gw->params.events->on_crash(gw->params.user, fingerprint);
}

static enum bl_outcome
judge_end(const struct gw_channel *channel, enum h1_end end)
{
	if (end == H1_END_UNREACHED || !h1_channel_sent(channel->line))
		return BL_UNREACHED;
	return end == H1_END_BAD ? BL_GARBLED : BL_LOST;
}

static void
end_probe(struct gw_channel *channel, enum h1_end end)
{
	struct bl_target *target = channel->owner->target;
	struct gw_pool *pool = gw_pool_of_target(target);

	channel->owner->probe = NULL;
	target->probing = false;
	note_crash(channel->owner, end);
	bl_started(target, cs_now_us());
	bl_ended(target, judge_end(channel, end), 0, cs_now_us());
	if (pool != NULL)
		pool->gw->flow->probe_ended(pool, target);
}

static void
on_end(struct h1_channel *line, enum h1_end end)
{
	struct gw_channel *channel = h1_channel_owner(line);
	struct gw_call *call = channel->call;
	struct bl_target *target = channel->owner->target;

	cs_ref_take(&target->ref);
	leave_idle(channel);
	if (channel->probing)
		end_probe(channel, end);
	if (call != NULL) {
		enum bl_outcome outcome = judge_end(channel, end);

		if (outcome == BL_LOST && end != H1_END_BROKEN)
			channel->owner->probe_fingerprint = call->fingerprint;
		call->channel = NULL;
		channel->line = NULL;
		if (channel->owner->probe_fingerprint != 0 && !target->leaving)
			gw_probe(channel->owner->gw, target);
		drop_channel(channel);
		call->gw->flow->attempt_ended(call, outcome, NULL);
	} else {
		channel->line = NULL;
		drop_channel(channel);
	}
	bl_target_drop(target);
}

static const struct h1_channel_events events = {
    .on_answer = on_answer,
    .on_end = on_end,
};

/* Forgets a channel; closes its line unless that has ended. */
static void
drop_channel(struct gw_channel *channel)
{
	struct gw_channels *owner = channel->owner;

	leave_idle(channel);
	if (channel->line != NULL)
		h1_channel_close(channel->line);
	owner->open--;
	free(channel);
	free_channels_if_unused(owner);
}

/* This VM's part of the connections that a target takes; 0: any number. */
static uint32_t
share_of(const struct gw_channels *channels)
{
	const struct gw_pool *pool = gw_pool_of_target(channels->target);
	uint32_t members = channels->gw->params.budget.members;

	if (pool == NULL || pool->channels_max == 0)
		return 0;
	if (members <= 1)
		return pool->channels_max;
	return pool->channels_max > members ? pool->channels_max / members : 1;
}

/* Makes room for one more connection, if need be by closing an idle one. */
static bool
has_room(struct gw_channels *channels)
{
	uint32_t share = share_of(channels);

	if (share == 0 || channels->open < share)
		return true;
	if (channels->idle == NULL)
		return false;
	channels->open++; /* keeps channels meanwhile */
	drop_channel(channels->idle);
	channels->open--;
	return channels->open < share;
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
	    .silence_ms = SILENCE_MS,
	    .probes_lost = PROBES_LOST_MAX,
	    .events = &events,
	    .owner = channel,
	};

	if (channel == NULL)
		return NULL;
	if (h1_channel_open(&params, &channel->line) != CS_OK) {
		free(channel);
		return NULL;
	}
	channel->owner = channels;
	channels->open++;
	gw->counters.channels_opened++;
	return channel;
}

static struct gw_channel *
take_channel(struct gw_channels *channels, bool repeatable)
{
	int64_t now_us = cs_now_us();
	struct gw_channel *channel = channels->idle;
	int64_t idle_us = channel == NULL ? 0 : now_us - channel->used_us;

	if (channel != NULL && idle_us < channel->idle_limit_us &&
	    (repeatable || idle_us < IDLE_ONCE_US)) {
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
		: take_channel(channels, call->route->kind == RT_IDEMPOTENT);

	if (channel == NULL)
		return CS_E_SYSTEM;
	channel->call = call;
	call->channel = channel;
	memcpy(channel->id, call->id, sizeof(channel->id));
	if (gw_write_head(call, target) != CS_OK ||
	    h1_channel_send(channel->line, &call->gw->head,
		&call->request->body,
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
	channel = channels == NULL ? NULL : take_channel(channels, true);
	if (channel == NULL)
		return CS_E_SYSTEM;
	channel->id[0] = '\0';
	channel->probing = true;
	gw->head.length = 0;
	if (h1_bytes_print(&gw->head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
		pool->health_path, pool->decide->name) != CS_OK ||
	    h1_channel_send(channel->line, &gw->head, NULL, false) != CS_OK) {
		drop_channel(channel);
		return CS_E_SYSTEM;
	}
	channels->probe = channel;
	target->probing = true;
	target->probed_us = cs_now_us();
	gw->counters.probes++;
	return CS_OK;
}

static void
give_up_probe(struct gw_channels *channels)
{
	struct gw_channel *channel = channels->probe;

	end_probe(channel, H1_END_RESET);
	channel->probing = false;
	drop_channel(channel);
}

void
gw_channels_sweep(struct gw_channels *channels, int64_t now_us)
{
	struct gw_channel *channel = channels->idle, *next;

	if (channels->probe != NULL &&
	    now_us - channels->target->probed_us > PROBE_TIMEOUT_US) {
		give_up_probe(channels);
		return;
	}

	for (; channel != NULL; channel = next) {
		next = channel->next_idle;
		if (now_us - channel->used_us >= channel->idle_limit_us)
			drop_channel(channel);
	}
}

void
gw_channels_close(struct gw_channels *channels)
{
	struct bl_target *target = channels->target;
	struct gw_channel *channel, *next;

	if (channels->probe != NULL)
		give_up_probe(channels);
	if (target->channels == NULL)
		return;
	channel = channels->idle;
	channels->open++; /* keeps channels while they are walked */
	for (; channel != NULL; channel = next) {
		next = channel->next_idle;
		drop_channel(channel);
	}
	channels->open--;
	free_channels_if_unused(channels);
}
