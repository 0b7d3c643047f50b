/* Formats events and actions as lines of text, and parses events. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide_internal.h"

static int
append_fields(char *line, int used, const uint64_t *fields, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		used += snprintf(line + used,
		    DC_TRACE_LINE_BYTES_MAX - (size_t)used, " %" PRIu64,
		    fields[i]);
	return used;
}

int
dc_trace_event(const struct dc_event *event, int64_t now_us,
    char line[DC_TRACE_LINE_BYTES_MAX])
{
	int used = snprintf(line, DC_TRACE_LINE_BYTES_MAX, "E %" PRId64 " %s",
	    now_us, dc_event_text(event->type));

	return append_fields(
	    line, used, event->fields, dc_event_field_count(event->type));
}

int
dc_trace_action(
    const struct dc_action *action, char line[DC_TRACE_LINE_BYTES_MAX])
{
	int used = snprintf(line, DC_TRACE_LINE_BYTES_MAX, "A %s",
	    dc_action_text(action->type));

	return append_fields(
	    line, used, action->fields, dc_action_field_count(action->type));
}

static int
find_event(const char *name, enum dc_event_type *type)
{
	uint32_t i;

	for (i = 0; i < DC_EV_TYPES; i++) {
		if (strcmp(dc_event_text((enum dc_event_type)i), name) == 0) {
			*type = (enum dc_event_type)i;
			return CS_OK;
		}
	}
	return CS_E_INVALID;
}

int
dc_trace_parse(const char *line, struct dc_event *event, int64_t *now_us)
{
	char name[32], *end;
	const char *at;
	uint32_t i, count;
	int used = 0;

	*event = (struct dc_event){0};
	if (sscanf(line, "E %" SCNd64 " %31s%n", now_us, name, &used) != 2 ||
	    find_event(name, &event->type) != CS_OK)
		return CS_E_INVALID;
	at = line + used;
	count = dc_event_field_count(event->type);
	for (i = 0; i < count; i++) {
		event->fields[i] = strtoull(at, &end, 10);
		if (end == at)
			return CS_E_INVALID;
		at = end;
	}
	return CS_OK;
}
