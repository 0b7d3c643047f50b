/*
 * Writes requests to targets and classifies their responses: which request a
 * response belongs to, whether the request ran, and how long the connection may
 * be reused.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gateway_internal.h"

#define IDLE_MARGIN_US 1500000 /* closed this long before the target does */
#define IDLE_S_MAX 86400       /* a longer timeout is not believed */
/* Part of a long id that is kept; leaves room for the hash. */
#define ID_BYTES_KEPT 100

int64_t
gw_idle_limit_us(const struct h1_message *response)
{
	const char *keep = h1_find_header(response, "keep-alive");
	const char *timeout =
	    keep == NULL ? NULL : strcasestr(keep, "timeout=");
	int64_t limit_us;
	long timeout_s;

	if (timeout == NULL)
		return GW_IDLE_DEFAULT_US;
	timeout_s = strtol(timeout + strlen("timeout="), NULL, 10);
	if (timeout_s < 0 || timeout_s > IDLE_S_MAX)
		return GW_IDLE_DEFAULT_US;
	limit_us = timeout_s * 1000000L;
	return limit_us > 2 * IDLE_MARGIN_US ? limit_us - IDLE_MARGIN_US
					     : limit_us / 2;
}

enum bl_outcome
gw_classify_response(const struct gw_header_names *header_names,
    const struct h1_message *response)
{
	if (response->status == 421)
		return BL_MISPLACED;
	if (h1_find_header(response, header_names->not_run) != NULL)
		return BL_SHED;
	if (h1_find_header(response, "content-encoding") != NULL)
		return BL_GARBLED; /* no encoding was requested */
	if (response->status / 100 == 2 &&
	    h1_find_header(response, header_names->response_marker) == NULL)
		return BL_GARBLED;
	if (response->status >= 500 || response->status == 429 ||
	    response->status == 408)
		return BL_FAILED;
	return BL_SERVED;
}

int64_t
gw_deadline_ms(const struct gw *gw, const struct h1_message *request)
{
	const char *text =
	    h1_find_header(request, gw->params.header_names->deadline);
	char *end;
	long long value;

	if (text == NULL)
		return GW_DEADLINE_DEFAULT_MS;
	value = strtoll(text, &end, 10);
	return end == text || value < 0 || value > GW_DEADLINE_DEFAULT_MS
		   ? GW_DEADLINE_DEFAULT_MS
		   : value;
}

void
gw_shorten_id(char out[GW_ID_BYTES_MAX], const char *id)
{
	size_t length = strlen(id);

	if (length < GW_ID_BYTES_MAX)
		memcpy(out, id, length + 1);
	else
		snprintf(out, GW_ID_BYTES_MAX, "%.*s~%016" PRIx64,
		    ID_BYTES_KEPT, id, cs_hash(id, length));
}

enum gw_match
gw_match_response(
    const struct gw_connection *connection, const struct h1_message *response)
{
	const struct gw_header_names *header_names =
	    connection->owner->gw->params.header_names;
	const char *echo = h1_find_header(response, header_names->request_id);
	char shortened[GW_ID_BYTES_MAX];

	/* The caller gave no id: a response with one is not to its request. */
	if (connection->id[0] == '\0')
		return echo == NULL || echo[0] == '\0' ? GW_MATCH_CURRENT
						       : GW_MATCH_PREVIOUS;
	if (echo == NULL)
		return !connection->reused && h1_find_header(response,
						  header_names->not_run) != NULL
			   ? GW_MATCH_CURRENT
			   : GW_MATCH_NONE;
	gw_shorten_id(shortened, echo);
	if (strcmp(shortened, connection->id) == 0)
		return GW_MATCH_CURRENT;
	return strcmp(shortened, connection->previous_id) == 0
		   ? GW_MATCH_PREVIOUS
		   : GW_MATCH_NONE;
}

static bool
is_rewritten(const struct gw_header_names *header_names, const char *name)
{
	return strcasecmp(name, header_names->deadline) == 0 ||
	       strcasecmp(name, header_names->expected_target) == 0;
}

int
gw_write_head(struct gw_call *call, const struct bl_target *target)
{
	const struct gw_header_names *header_names =
	    call->gw->params.header_names;
	const struct h1_message *request = call->request;
	struct h1_bytes *head = &call->gw->head;
	int64_t left_ms = (call->deadline_us - cs_now_us()) / 1000;
	int error = CS_OK;
	uint32_t i;

	head->length = 0;
	error |= h1_bytes_add_text(head, request->method);
	error |= h1_bytes_add_text(head, " ");
	error |= h1_bytes_add_text(head, h1_target(request));
	error |= h1_bytes_add_text(head, " HTTP/1.1\r\n");
	for (i = 0; i < request->header_count; i++) {
		const char *name = h1_header_name(request, i);

		if (h1_is_hop_by_hop(request, i) ||
		    is_rewritten(header_names, name) ||
		    gw_is_tenant_header(call, name))
			continue;
		error |= h1_bytes_add_header(
		    head, name, h1_header_value(request, i));
	}
	if (request->body.length > 0 ||
	    h1_find_header(request, "content-length") != NULL ||
	    h1_find_header(request, "transfer-encoding") != NULL)
		error |= h1_bytes_print(
		    head, "Content-Length: %zu\r\n", request->body.length);
	if (call->tenant != NULL)
		error |= h1_bytes_add_header(
		    head, header_names->tenant, call->tenant->name);
	error |= h1_bytes_print(head, "%s: %lld\r\n%s: %s\r\n\r\n",
	    header_names->deadline, (long long)(left_ms < 1 ? 1 : left_ms),
	    header_names->expected_target, target->id);
	return error;
}
