/* Numbered log events on log4c, one key=value line each on standard error. */
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base.h"

#define LINE_BYTES_MAX 1024
#define CATEGORY "chervilshelf"

struct event_info {
	enum cs_log_event event;
	int level;
	const char *name;
};

static const struct event_info catalogue[] = {
#define CS_LOG_EVENT(symbol, number, level, name) \
	{CS_LOG_##symbol, LOG4C_PRIORITY_##level, name},
#include "log_events.def"
#undef CS_LOG_EVENT
};

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	static char line[LINE_BYTES_MAX];

	(void)layout;
	snprintf(line, sizeof(line), "%lld.%06lld %s %s\n",
	    (long long)event->evt_timestamp.tv_sec,
	    (long long)event->evt_timestamp.tv_usec,
	    log4c_priority_to_string(event->evt_priority), event->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = {
    .name = "chervilshelf_line",
    .format = format_line,
};

int
cs_log_open(const char *threshold)
{
	log4c_category_t *category;
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	int level;

	if (strcmp(threshold, "debug") != 0 && strcmp(threshold, "info") != 0 &&
	    strcmp(threshold, "warn") != 0 && strcmp(threshold, "error") != 0)
		return CS_E_INVALID;
	if (log4c_init() != 0)
		return CS_E_SYSTEM;
	level = log4c_priority_to_int(threshold);
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("chervilshelf_line");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("stderr");
	log4c_appender_set_type(appender, log4c_appender_type_get("stream"));
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, level);
	log4c_category_set_additivity(category, 0);
	return CS_OK;
}

void
cs_log_close(void)
{
	log4c_fini();
}

void
cs_log(enum cs_log_event event, const char *format, ...)
{
	log4c_category_t *category = log4c_category_get(CATEGORY);
	char detail[LINE_BYTES_MAX / 2];
	const struct event_info *info = NULL;
	va_list args;
	size_t i;

	for (i = 0; i < sizeof(catalogue) / sizeof(catalogue[0]); i++) {
		if (catalogue[i].event == event)
			info = &catalogue[i];
	}
	if (info == NULL ||
	    !log4c_category_is_priority_enabled(category, info->level))
		return;
	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	log4c_category_log(category, info->level, "event=%d name=%s %s",
	    (int)info->event, info->name, detail);
}
