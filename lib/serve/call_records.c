/*
 * Records recent calls for `explain`, and counts them in the usage accounts.
 * The ring holds the last SV_CALL_RECORDS_MAX calls; older ones are
 * overwritten.
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

static struct sv_call_record *
find_record(const struct sv_call *call)
{
	struct sv_call_record *record =
	    &call->server->call_records[call->id % SV_CALL_RECORDS_MAX];

	return record->call == call->id ? record : NULL;
}

void
sv_record_call_started(struct sv_call *call)
{
	struct sv_server *server = call->server;
	struct sv_call_record *record =
	    &server->call_records[call->id % SV_CALL_RECORDS_MAX];

	*record = (struct sv_call_record){
	    .call = call->id,
	    .key_scope = (enum dc_key_scope)call->key.scope,
	    .end = "running",
	};
	g_strlcpy(record->member, call->member, sizeof(record->member));
	if (call->route != NULL)
		g_strlcpy(
		    record->route, call->route->name, sizeof(record->route));
}

void
sv_record_attempt_started(const struct sv_attempt *attempt)
{
	struct sv_call_record *record = find_record(attempt->call);
	struct sv_attempt_record *attempt_record;

	if (record == NULL || record->attempt_count == SV_ATTEMPT_RECORDS_MAX)
		return;
	attempt_record = &record->attempts[record->attempt_count++];
	attempt_record->number = attempt->number;
	attempt_record->after_us = cs_now_us() - attempt->call->arrived_us;
	attempt_record->end = "running";
	attempt_record->forwarded = attempt->forwarded;
	g_strlcpy(attempt_record->address, attempt->target->address,
	    sizeof(attempt_record->address));
}

void
sv_record_attempt_ended(
    const struct sv_call *call, uint32_t number, const char *end, int status)
{
	struct sv_call_record *record = find_record(call);
	uint32_t i;

	for (i = 0; record != NULL && i < record->attempt_count; i++) {
		struct sv_attempt_record *attempt_record = &record->attempts[i];

		if (attempt_record->number != number)
			continue;
		attempt_record->end = end;
		attempt_record->took_us =
		    cs_now_us() - call->arrived_us - attempt_record->after_us;
		if (status != 0)
			attempt_record->status = status;
	}
}

static void
count_call(struct sv_call *call, enum rp_result result, int64_t took_us)
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

/* Records the end of a call. Each call is counted once. */
void
sv_record_call_ended(
    struct sv_call *call, enum rp_result result, enum dc_reason reason)
{
	int64_t took_us = cs_now_us() - call->arrived_us;
	struct sv_call_record *record = find_record(call);

	if (result == RP_SERVED && call->route != NULL &&
	    took_us > (int64_t)call->route->objective.latency_ms * 1000)
		result = RP_LATE;
	count_call(call, result, took_us);
	if (record == NULL || record->took_us != 0)
		return;
	record->took_us = took_us;
	record->end = result_text(result);
	record->reason = reason;
}

static const char *
key_scope_text(enum dc_key_scope scope)
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
attempts_json(const struct sv_call_record *record)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < record->attempt_count; i++) {
		const struct sv_attempt_record *attempt = &record->attempts[i];

		json_array_append_new(list,
		    json_pack("{s:I, s:s, s:b, s:I, s:I, s:s, s:I}", "attempt",
			(json_int_t)attempt->number, "address",
			attempt->address, "forwarded", (int)attempt->forwarded,
			"after_us", (json_int_t)attempt->after_us, "took_us",
			(json_int_t)attempt->took_us, "end", attempt->end,
			"status", (json_int_t)attempt->status));
	}
	return list;
}

/*
 * Returns the record of a request id "NAME-EPOCH-CALL", or NULL when there is
 * none.
 */
json_t *
sv_call_record_json(struct sv_server *server, const char *request_id)
{
	const char *dash = strrchr(request_id, '-');
	const struct sv_call_record *record;
	char expected[SV_ID_BYTES_MAX];
	uint64_t call;

	if (dash == NULL)
		return NULL;
	call = strtoull(dash + 1, NULL, 16);
	sv_format_request_id(server, call, expected);
	record = &server->call_records[call % SV_CALL_RECORDS_MAX];
	if (strcmp(expected, request_id) != 0 || record->call != call)
		return NULL;
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:s, s:I, s:o}",
	    "request_id", request_id, "entry", server->params.name, "member",
	    record->member, "route", record->route, "key",
	    key_scope_text(record->key_scope), "took_us",
	    (json_int_t)record->took_us, "end", record->end, "reason_code",
	    (json_int_t)record->reason, "attempts", attempts_json(record));
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
