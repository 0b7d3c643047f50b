/*
 * The operators' command explain: what happened to one request, from live entry
 * VMs or from the logs of gateways. From logs it prints the request's own lines
 * in order, what its targets and its VM went through meanwhile, and the cause.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/base/base.h"
#include "../lib/gateway/gateway.h"
#include "commands.h"
#include "session.h"
#include "settings.h"

#define PATH_BYTES_MAX 256
#define LINE_BYTES_MAX 2048
#define VALUE_BYTES_MAX 160
/* Events this long before and after a request may have to do with it. */
#define RELATED_WINDOW_US 3000000

/* One line of a log. */
struct line {
	int64_t at_us; /* wall clock of its VM */
	const char *file;
	char *text; /* from "event=" on */
};

struct history {
	const char *id;
	GPtrArray *request_lines; /* lines of the request */
	GPtrArray *other_lines;	  /* every line that is about no request */
	GHashTable *target_ids;	  /* ids that the request was sent to */
};

static void
free_line(gpointer data)
{
	struct line *line = data;

	g_free(line->text);
	g_free(line);
}

/* The value of "key=" in a line; false: it has none. */
static bool
find_value(const char *text, const char *key, char out[VALUE_BYTES_MAX])
{
	size_t length = strlen(key), value_length;
	const char *at = text;

	while ((at = strstr(at, key)) != NULL) {
		if ((at == text || at[-1] == ' ') && at[length] == '=') {
			at += length + 1;
			value_length = strcspn(at, " \n");
			if (value_length >= VALUE_BYTES_MAX)
				return false;
			memcpy(out, at, value_length);
			out[value_length] = '\0';
			return true;
		}
		at += length;
	}
	return false;
}

static int64_t
find_number(const char *text, const char *key)
{
	char value[VALUE_BYTES_MAX];

	return find_value(text, key, value) ? strtoll(value, NULL, 10) : 0;
}

/* "SECONDS.MICROS LEVEL event=..."; other lines are not of a log. */
static void
add_line(struct history *history, const char *file, const char *text)
{
	const char *event = strstr(text, "event=");
	long long seconds, micros;
	char value[VALUE_BYTES_MAX];
	struct line *line;
	bool is_request;

	if (event == NULL ||
	    sscanf(text, "%lld.%6lld ", &seconds, &micros) != 2)
		return;
	is_request = find_value(event, "request", value);
	if (is_request && strcmp(value, history->id) != 0)
		return;
	line = g_new(struct line, 1);
	*line = (struct line){.at_us = seconds * 1000000 + micros,
	    .file = file,
	    .text = g_strndup(event, strcspn(event, "\n"))};
	if (!is_request) {
		g_ptr_array_add(history->other_lines, line);
		return;
	}
	g_ptr_array_add(history->request_lines, line);
	if (find_value(event, "target", value))
		g_hash_table_add(history->target_ids, g_strdup(value));
}

static int
read_log(struct history *history, const char *file)
{
	FILE *in = strcmp(file, "-") == 0 ? stdin : fopen(file, "r");
	char text[LINE_BYTES_MAX];

	if (in == NULL) {
		fprintf(stderr, "chervilshelf: %s cannot be read\n", file);
		return CS_E_MISSING;
	}
	while (fgets(text, sizeof(text), in) != NULL)
		add_line(history, file, text);
	if (in != stdin)
		fclose(in);
	return CS_OK;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
	const struct line *x = *(const struct line *const *)a;
	const struct line *y = *(const struct line *const *)b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static void
print_line(const struct line *line, int64_t origin_us)
{
	printf("%+10.3f ms  %s  %s\n", (double)(line->at_us - origin_us) / 1e3,
	    line->file, line->text);
}

/* Lines of others that can have to do with the request. */
static bool
is_related(const struct history *history, const struct line *line)
{
	static const char *const vm_events[] = {"process_paused", "store_lost",
	    "gateway_started", "gateway_stopping", "table_in_force",
	    "settings_reloaded", "lines_dropped", NULL};
	const struct line *first = g_ptr_array_index(history->request_lines, 0);
	const struct line *last = g_ptr_array_index(
	    history->request_lines, history->request_lines->len - 1);
	char value[VALUE_BYTES_MAX];
	size_t i;

	if (line->at_us < first->at_us - RELATED_WINDOW_US ||
	    line->at_us > last->at_us + RELATED_WINDOW_US)
		return false;
	if (find_value(line->text, "target", value))
		return g_hash_table_contains(history->target_ids, value);
	if (strcmp(line->file, last->file) != 0 ||
	    !find_value(line->text, "name", value))
		return false;
	for (i = 0; vm_events[i] != NULL; i++) {
		if (strcmp(value, vm_events[i]) == 0)
			return true;
	}
	return false;
}

/* What decided the end, in words. */
static void
print_cause(const struct history *history)
{
	const struct line *last = g_ptr_array_index(
	    history->request_lines, history->request_lines->len - 1);
	char reason[VALUE_BYTES_MAX] = "";
	const char *meaning;

	if (!find_value(last->text, "reason", reason)) {
		printf("cause: the logs end before the request does\n");
		return;
	}
	meaning = gw_reason_meaning(reason);
	printf("cause: %s: %s\n", reason,
	    meaning == NULL ? "not known to this version" : meaning);
	printf("       status %lld after %.1f ms, %lld attempts, %.1f ms of "
	       "them before the first\n",
	    (long long)find_number(last->text, "status"),
	    (double)find_number(last->text, "took_us") / 1e3,
	    (long long)find_number(last->text, "attempts"),
	    (double)find_number(last->text, "waited_us") / 1e3);
}

static void
print_history(const struct history *history)
{
	const struct line *first = g_ptr_array_index(history->request_lines, 0);
	bool heading_printed = false;
	guint i;

	printf("request %s\n", history->id);
	for (i = 0; i < history->request_lines->len; i++)
		print_line(
		    g_ptr_array_index(history->request_lines, i), first->at_us);
	for (i = 0; i < history->other_lines->len; i++) {
		const struct line *line =
		    g_ptr_array_index(history->other_lines, i);

		if (!is_related(history, line))
			continue;
		if (!heading_printed)
			printf("around it, its targets and its VM:\n");
		heading_printed = true;
		print_line(line, first->at_us);
	}
	print_cause(history);
}

static int
explain_from_logs(const char *logs, const char *id)
{
	gchar **files = g_strsplit(logs, ",", 0), **file;
	struct history history = {
	    .id = id,
	    .request_lines = g_ptr_array_new_with_free_func(free_line),
	    .other_lines = g_ptr_array_new_with_free_func(free_line),
	    .target_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
	int code = ST_EXIT_DONE;

	for (file = files; *file != NULL; file++) {
		if (read_log(&history, *file) != CS_OK)
			code = ST_EXIT_REFUSED;
	}
	g_ptr_array_sort(history.request_lines, compare_times);
	g_ptr_array_sort(history.other_lines, compare_times);
	if (history.request_lines->len > 0) {
		print_history(&history);
	} else {
		fprintf(stderr, "chervilshelf: no line is about %s\n", id);
		code = ST_EXIT_REFUSED;
	}
	g_ptr_array_free(history.request_lines, TRUE);
	g_ptr_array_free(history.other_lines, TRUE);
	g_hash_table_destroy(history.target_ids);
	g_strfreev(files);
	return code;
}

/* Asks the entry VMs, which keep their latest calls. */
static int
explain_from_entries(struct se_session *session, const char *id)
{
	static struct se_node nodes[SE_NODES_MAX];
	char path[PATH_BYTES_MAX];
	uint32_t i, count;

	if (se_list_nodes(session, nodes, &count) != CS_OK) {
		fprintf(stderr, "chervilshelf: no entry VM answered\n");
		return ST_EXIT_REFUSED;
	}
	snprintf(path, sizeof(path), "/explain/%s", id);
	for (i = 0; i < count; i++) {
		struct se_response response;
		bool found;

		se_get(session, nodes[i].admin, path, &response);
		found = response.error == CS_OK;
		if (found)
			puts(response.value);
		g_free(response.value);
		if (found)
			return ST_EXIT_DONE;
	}
	fprintf(stderr, "chervilshelf: no live entry VM keeps %s\n", id);
	return ST_EXIT_REFUSED;
}

static int
explain_from_platform(const char *platform, const char *id)
{
	struct se_session *session;
	int code;

	if (se_open(platform, &session) != CS_OK)
		return ST_EXIT_USAGE;
	code = explain_from_entries(session, id);
	se_close(session);
	return code;
}

int
cm_explain(int argc, char **argv)
{
	const char *platform = NULL, *logs = NULL, *id;
	const struct st_setting settings[] = {
	    {.name = "platform",
		.kind = ST_TEXT,
		.text = &platform,
		.argument = "URL",
		.help = "ask the live entry VMs, http://IPV4:PORT"},
	    {.name = "logs",
		.kind = ST_TEXT,
		.text = &logs,
		.argument = "FILE,...",
		.help = "read what gateways wrote, one file a VM; - for "
			"standard input"},
	};
	const struct st_command command = {"explain", "ID",
	    "Tells what happened to one request, by its id.", settings,
	    ST_COUNT(settings), 1};

	if (st_parse(&command, argc, argv, &id) != CS_OK)
		return ST_EXIT_USAGE;
	if ((platform == NULL) == (logs == NULL)) {
		st_refuse("platform", platform == NULL ? "nothing" : "both",
		    "one of --platform and --logs");
		return ST_EXIT_USAGE;
	}
	return platform != NULL ? explain_from_platform(platform, id)
				: explain_from_logs(logs, id);
}
