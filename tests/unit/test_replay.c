/*
 * Replays recorded traces and compares the actions of the core. A trace holds
 * events as `chervilshelf entry --trace` writes them. A line "A ..." after an
 * event is an action that the core must return, in order; "! NAME" states that
 * the previous step returns no action of that name. The first line may be
 * "SEED number". Lines that begin with "#" are comments.
 */
#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/base/base.h"
#include "../../lib/decide/decide.h"

#define LINE_BYTES 1024
#define PATH_BYTES 512

struct replay {
	struct dc_core *core;
	struct dc_actions actions;
	uint32_t next; /* index of the next action to compare */
	const char *file;
	int line;
};

static void
expect_action(struct replay *r, const char *expected)
{
	char line[DC_TRACE_LINE_BYTES_MAX] = "nothing";

	if (r->next < r->actions.count)
		dc_trace_action(&r->actions.items[r->next++], line);
	if (strcmp(line, expected) != 0)
		fail_msg("%s:%d: expected \"%s\", got \"%s\"", r->file, r->line,
		    expected, line);
}

static void
expect_no_action(struct replay *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < r->actions.count; i++) {
		if (strcmp(dc_action_text(r->actions.items[i].type), name) == 0)
			fail_msg("%s:%d: unexpected action %s", r->file,
			    r->line, name);
	}
}

static void
process_line(struct replay *r, const char *line)
{
	struct dc_event event;
	int64_t now_us;

	if (strncmp(line, "SEED ", 5) == 0) {
		dc_core_free(r->core);
		r->core = dc_core_create(strtoull(line + 5, NULL, 10));
	} else if (strncmp(line, "E ", 2) == 0) {
		if (dc_trace_parse(line, &event, &now_us) != CS_OK)
			fail_msg("%s:%d: not an event", r->file, r->line);
		dc_step(r->core, &event, now_us, &r->actions);
		r->next = 0;
		if (dc_check(r->core) != NULL)
			fail_msg(
			    "%s:%d: %s", r->file, r->line, dc_check(r->core));
	} else if (strncmp(line, "A ", 2) == 0) {
		expect_action(r, line);
	} else if (strncmp(line, "! ", 2) == 0) {
		expect_no_action(r, line + 2);
	}
}

static void
replay_file(const char *path)
{
	struct replay r = {.core = dc_core_create(1), .file = path};
	FILE *stream = fopen(path, "r");
	char line[LINE_BYTES];

	assert_non_null(stream);
	while (fgets(line, sizeof(line), stream) != NULL) {
		line[strcspn(line, "\n")] = '\0';
		r.line++;
		process_line(&r, line);
	}
	fclose(stream);
	dc_core_free(r.core);
}

static void
test_recorded_traces_give_expected_actions(void **state)
{
	DIR *directory = opendir(TESTS_DIR "/replay/traces");
	char path[PATH_BYTES];
	struct dirent *entry;
	int count = 0;

	(void)state;
	assert_non_null(directory);
	while ((entry = readdir(directory)) != NULL) {
		if (strstr(entry->d_name, ".trace") == NULL)
			continue;
		snprintf(path, sizeof(path), TESTS_DIR "/replay/traces/%s",
		    entry->d_name);
		replay_file(path);
		count++;
	}
	closedir(directory);
	assert_true(count > 0);
}

static void
test_events_round_trip_through_trace_lines(void **state)
{
	int type;

	(void)state;
	for (type = 0; type < DC_EV_TYPES; type++) {
		struct dc_event event = {.type = (enum dc_event_type)type};
		struct dc_event parsed;
		char line[DC_TRACE_LINE_BYTES_MAX];
		uint32_t i, count = dc_event_field_count(event.type);
		int64_t now_us;

		for (i = 0; i < count; i++)
			event.fields[i] = UINT64_MAX - i;
		dc_trace_event(&event, 77, line);
		assert_int_equal(dc_trace_parse(line, &parsed, &now_us), CS_OK);
		assert_int_equal(now_us, 77);
		assert_int_equal(parsed.type, event.type);
		assert_memory_equal(
		    parsed.fields, event.fields, count * sizeof(uint64_t));
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_recorded_traces_give_expected_actions),
	    cmocka_unit_test(test_events_round_trip_through_trace_lines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
