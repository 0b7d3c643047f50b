/*
 * What happened to recent calls, for `explain`, and the accounts of service.
 * The ring holds the latest SV_STORIES_MAX calls; older ones are forgotten.
 */
#include <stdio.h>
#include <string.h>

#include "serve_internal.h"

void
sv_format_request_id(
    const struct sv_server *server, uint64_t call, char id[SV_ID_BYTES_MAX])
{
	snprintf(id, SV_ID_BYTES_MAX, "%.60s-%llx-%llx", server->params.name,
	    (unsigned long long)server->params.epoch, (unsigned long long)call);
}

static struct sv_story *
story_of(const struct sv_call *call)
{
	struct sv_story *story =
	    &call->server->stories[call->id % SV_STORIES_MAX];

	return story->call == call->id ? story : NULL;
}

void
sv_story_begin(struct sv_call *call)
{
	struct sv_server *server = call->server;
	struct sv_story *story = &server->stories[call->id % SV_STORIES_MAX];

	*story = (struct sv_story){
	    .call = call->id,
	    .key_scope = (enum dc_key_scope)call->key.scope,
	    .end = "running",
	};
	g_strlcpy(story->member, call->member, sizeof(story->member));
	if (call->route != NULL)
		g_strlcpy(
		    story->route, call->route->name, sizeof(story->route));
}

void
sv_story_sent(const struct sv_attempt *attempt)
{
	struct sv_story *story = story_of(attempt->call);
	struct sv_story_attempt *entry;

	if (story == NULL || story->attempt_count == SV_STORY_ATTEMPTS_MAX)
		return;
	entry = &story->attempts[story->attempt_count++];
	entry->number = attempt->number;
	entry->after_us = cs_now_us() - attempt->call->arrived_us;
	entry->end = "running";
	entry->forwarded = attempt->forwarded;
	g_strlcpy(
	    entry->address, attempt->target->address, sizeof(entry->address));
}

void
sv_story_attempt_ended(
    const struct sv_call *call, uint32_t number, const char *end, int status)
{
	struct sv_story *story = story_of(call);
	uint32_t i;

	for (i = 0; story != NULL && i < story->attempt_count; i++) {
		struct sv_story_attempt *entry = &story->attempts[i];

		if (entry->number != number)
			continue;
		entry->end = end;
		entry->took_us =
		    cs_now_us() - call->arrived_us - entry->after_us;
		if (status != 0)
			entry->status = status;
	}
}

static void
count(struct sv_call *call, enum rp_result result, int64_t took_us)
{
	if (call->route == NULL || call->counted || call->forwarded)
		return;
	call->counted = true;
	rp_add(call->server->accounts,
	    &(struct rp_call){
		.member = call->member,
		.member_bytes = (uint32_t)strlen(call->member),
		.route = call->route->name,
		.idempotent = call->route->kind == CF_KIND_IDEMPOTENT,
		.weight = call->route->weight,
		.objective_ms = call->route->objective.latency_ms,
		.objective_share = call->route->objective.share,
		.result = result,
		.took_us = took_us,
	    },
	    cs_now_us());
}

static const char *
result_text(enum rp_result result)
{
	switch (result) {
	case RP_SERVED:
		return "served";
	case RP_LATE:
		return "late";
	case RP_NOT_RUN:
		return "not-run";
	case RP_UNKNOWN:
		return "unknown";
	case RP_CUT:
		return "cut";
	default:
		return "caller left";
	}
}

/* The call's end: counted once, and kept in its story. */
void
sv_story_ended(
    struct sv_call *call, enum rp_result result, enum dc_reason reason)
{
	int64_t took_us = cs_now_us() - call->arrived_us;
	struct sv_story *story = story_of(call);

	if (result == RP_SERVED && call->route != NULL &&
	    took_us > (int64_t)call->route->objective.latency_ms * 1000)
		result = RP_LATE;
	count(call, result, took_us);
	if (story == NULL || story->took_us != 0)
		return;
	story->took_us = took_us;
	story->end = result_text(result);
	story->reason = reason;
}

static const char *
scope_text(enum dc_key_scope scope)
{
	switch (scope) {
	case DC_KEY_HOME:
		return "home token";
	case DC_KEY_STORE:
		return "bare, claimed in the store";
	case DC_KEY_NONE:
		break;
	}
	return "none";
}

static json_t *
attempts_json(const struct sv_story *story)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < story->attempt_count; i++) {
		const struct sv_story_attempt *a = &story->attempts[i];

		json_array_append_new(
		    list, json_pack("{s:I, s:s, s:b, s:I, s:I, s:s, s:I}",
			      "attempt", (json_int_t)a->number, "address",
			      a->address, "forwarded", (int)a->forwarded,
			      "after_us", (json_int_t)a->after_us, "took_us",
			      (json_int_t)a->took_us, "end", a->end, "status",
			      (json_int_t)a->status));
	}
	return list;
}

/* The story of a request id "NAME-EPOCH-CALL", or NULL when not kept. */
json_t *
sv_story_json(struct sv_server *server, const char *request_id)
{
	const char *dash = strrchr(request_id, '-');
	const struct sv_story *story;
	char expected[SV_ID_BYTES_MAX];
	uint64_t call;

	if (dash == NULL)
		return NULL;
	call = strtoull(dash + 1, NULL, 16);
	sv_format_request_id(server, call, expected);
	story = &server->stories[call % SV_STORIES_MAX];
	if (strcmp(expected, request_id) != 0 || story->call != call)
		return NULL;
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:I, s:o}",
	    "request_id", request_id, "entry", server->params.name, "member",
	    story->member, "route", story->route, "key",
	    scope_text(story->key_scope), "took_us", (json_int_t)story->took_us,
	    "end", story->end, "reason_code", (json_int_t)story->reason,
	    "attempts", attempts_json(story));
}

char *
sv_accounts(struct sv_server *server)
{
	json_t *list = rp_json(server->accounts, cs_now_us());
	json_t *root =
	    json_pack("{s:s, s:I, s:o}", "entry", server->params.name, "epoch",
		(json_int_t)server->params.epoch, "accounts", list);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}
