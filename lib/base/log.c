/*
 * Numbered log events on log4c, one key=value line each: written directly to
 * standard error, or buffered and written to standard output without blocking.
 */
#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

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

/* Buffer of the lines between two flushes. */
#define LINE_BUFFER_BYTES_MAX (256 * 1024)
/*
 * Lines of levels info and debug in one second. Those above the limit are
 * dropped and counted.
 */
#define INFO_LINES_PER_S_MAX 2000

static struct {
	char data[LINE_BUFFER_BYTES_MAX];
	size_t length;
	uint64_t dropped;
	int64_t rate_second;
	uint32_t info_lines;
} line_buffer;

static bool
exceeds_info_rate(const log4c_logging_event_t *event)
{
	int64_t current_second = cs_now_us() / 1000000;

	if (event->evt_priority < LOG4C_PRIORITY_INFO)
		return false;
	if (current_second != line_buffer.rate_second) {
		line_buffer.rate_second = current_second;
		line_buffer.info_lines = 0;
	}
	return ++line_buffer.info_lines > INFO_LINES_PER_S_MAX;
}

static int
append_to_buffer(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	size_t length = strlen(event->evt_rendered_msg);

	(void)appender;
	if (exceeds_info_rate(event) ||
	    line_buffer.length + length > sizeof(line_buffer.data)) {
		line_buffer.dropped++;
		return 0;
	}
	memcpy(line_buffer.data + line_buffer.length, event->evt_rendered_msg,
	    length);
	line_buffer.length += length;
	return 0;
}

static const log4c_appender_type_t buffer_appender_type = {
    .name = "chervilshelf_gather",
    .append = append_to_buffer,
};

uint64_t
cs_log_flush(void)
{
	uint64_t dropped = line_buffer.dropped;
	ssize_t written;

	if (line_buffer.length == 0)
		return 0;
	written = write(STDOUT_FILENO, line_buffer.data, line_buffer.length);
	/* Discards the lines when the output cannot be written at all. */
	if (written < 0 && errno != EAGAIN && errno != EINTR)
		written = (ssize_t)line_buffer.length;
	if (written <= 0)
		return 0;
	memmove(line_buffer.data, line_buffer.data + written,
	    line_buffer.length - (size_t)written);
	line_buffer.length -= (size_t)written;
	line_buffer.dropped = 0;
	return dropped;
}

int
cs_log_start_buffering(void)
{
	log4c_appender_t *appender;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	/* If this fails, a slow reader of the output can block the process. */
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	log4c_appender_type_set(&buffer_appender_type);
	appender = log4c_appender_get("gather");
	log4c_appender_set_type(appender, &buffer_appender_type);
	log4c_appender_set_layout(
	    appender, log4c_layout_get("chervilshelf_line"));
	log4c_category_set_appender(log4c_category_get(CATEGORY), appender);
	return CS_OK;
}

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

/* Names of other writers must not begin a line. */
static void
replace_control_bytes(char *text)
{
	for (; *text != '\0'; text++) {
		if ((unsigned char)*text < ' ' || *text == '\x7f')
			*text = '?';
	}
}

void
cs_log(enum cs_log_event event, const char *format, ...)
{
	log4c_category_t *category = log4c_category_get(CATEGORY);
	char fields[LINE_BYTES_MAX / 2];
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
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	replace_control_bytes(fields);
	log4c_category_log(category, info->level, "event=%d name=%s %s",
	    (int)info->event, info->name, fields);
}
