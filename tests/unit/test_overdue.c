/*
 * Targets that never respond to requests which they cannot queue: the request
 * must not be lost with them where it may be repeated, must never run twice
 * where it may not, and the connection must not be used again.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "gateway_rig.h"

#define RESPONSE(load)                                                     \
	"HTTP/1.1 200 OK\r\nChervilshelf-Attempt-Id: %I\r\n"               \
	"Chervilshelf-Response-Seal: s\r\nChervilshelf-Server-Load: " load \
	"\r\nContent-Length: 5\r\n\r\nwhole"
#define LIMITED_RESPONSE RESPONSE("0,0,4\r\nServer-Limit: 100")
#define FULL_RESPONSE RESPONSE("4,1,4")
#define IDLE_RESPONSE RESPONSE("0,0,4")

#define SAFE_REQUEST(id)                      \
	"GET /safe/x HTTP/1.1\r\nHost: h\r\n" \
	"Chervilshelf-Attempt-Id: " id "\r\n\r\n"
#define ONCE_REQUEST(id)                       \
	"POST /once/x HTTP/1.1\r\nHost: h\r\n" \
	"Chervilshelf-Attempt-Id: " id "\r\nContent-Length: 4\r\n\r\nbody"

struct overdue_case {
	const char *name;
	const char *first; /* response of each target before */
	const char *request;
	uint32_t attempts_max;
	uint32_t timeout_ms;
	int status;
	uint32_t requests;
};

static const struct overdue_case cases[] = {
    {"safe", FULL_RESPONSE, SAFE_REQUEST("c"), 3, 20000, 200, 4},
    {"at most once", FULL_RESPONSE, ONCE_REQUEST("c"), 3, 1500, 504, 3},
    {"no attempt left", FULL_RESPONSE, SAFE_REQUEST("c"), 1, 1500, 504, 3},
    /* A report that shows room, and the request, is no evidence. */
    {"slow, not full", RESPONSE("1,0,4"), SAFE_REQUEST("c"), 3, 1500, 504, 3},
    /* Nor is one from before the request, which it cannot show. */
    {"slow, idle before", IDLE_RESPONSE, SAFE_REQUEST("c"), 3, 1500, 504, 3},
};

/* Only there attempts are given up; the routes need no key. */
static void
add_tenant(struct rt_table *table)
{
	uint32_t i;

	table->has_tenants = true;
	for (i = 0; i < table->route_count; i++)
		table->routes[i].auth_exempt = true;
}

static int
status_of(const char *response)
{
	return strncmp(response, "HTTP/1.1 ", 9) == 0 ? atoi(response + 9) : 0;
}

static void
run_case(const struct overdue_case *row)
{
	const struct rig_script scripts[] = {
	    {row->first, RIG_KEEP, NULL, false},
	    {row->first, RIG_KEEP, NULL, false},
	    {NULL, RIG_SILENT, NULL, false},
	    {IDLE_RESPONSE, RIG_KEEP, NULL, false},
	};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = scripts,
	    .script_count = 4,
	    .target_count = 2,
	    .with_table = true,
	    .add_to_table = add_tenant,
	    .timeout_ms = row->timeout_ms,
	    .attempts_max = row->attempts_max,
	});
	int status;

	rig_ask(rig, SAFE_REQUEST("a"), strlen(SAFE_REQUEST("a")));
	rig_ask(rig, SAFE_REQUEST("b"), strlen(SAFE_REQUEST("b")));
	status = status_of(rig_ask(rig, row->request, strlen(row->request)));
	if (status != row->status || rig_requests(rig) != row->requests)
		fail_msg("%s: %d after %u requests", row->name, status,
		    rig_requests(rig));
	/* The silent connection was closed. */
	rig_await_closes(rig, 1);
	rig_free(rig);
}

static void
test_overdue_requests(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}

/*
 * Guards against placing a call again and again, without an end, while targets
 * are full and this VM may send no probe.
 */
static void
test_full_targets_without_probes(void **state)
{
	const struct rig_script script = {FULL_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .with_table = true,
	    .timeout_ms = 2000,
	    .attempts_max = 3,
	});
	char request[128];
	int i, status;

	(void)state;
	for (i = 0; i < 12; i++) {
		snprintf(request, sizeof(request),
		    "GET /safe/x HTTP/1.1\r\nHost: h\r\n"
		    "Chervilshelf-Attempt-Id: r%d\r\n\r\n",
		    i);
		status = status_of(rig_ask(rig, request, strlen(request)));
		assert_true(status == 200 || status == 503);
	}
	rig_free(rig);
}

/*
 * Guards against probes of a target with a limit, to which they count as
 * requests, where a response is overdue.
 */
static void
test_limited_target_is_not_probed(void **state)
{
	const struct rig_script scripts[] = {
	    {LIMITED_RESPONSE, RIG_KEEP, NULL, false},
	    {LIMITED_RESPONSE, RIG_KEEP, NULL, false},
	    {NULL, RIG_SILENT, NULL, false},
	};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = scripts,
	    .script_count = 3,
	    .target_count = 2,
	    .with_table = true,
	    .add_to_table = add_tenant,
	    .timeout_ms = 1500,
	    .attempts_max = 3,
	    .probes_per_s = 100,
	});
	uint64_t probes;

	(void)state;
	rig_ask(rig, SAFE_REQUEST("a"), strlen(SAFE_REQUEST("a")));
	rig_ask(rig, SAFE_REQUEST("b"), strlen(SAFE_REQUEST("b")));
	probes = gw_get_counters(rig_gateway(rig))->probes;
	assert_int_equal(status_of(rig_ask(rig, SAFE_REQUEST("c"),
			     strlen(SAFE_REQUEST("c")))),
	    504);
	assert_int_equal(gw_get_counters(rig_gateway(rig))->probes - probes, 0);
	rig_free(rig);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_overdue_requests),
	    cmocka_unit_test(test_full_targets_without_probes),
	    cmocka_unit_test(test_limited_target_is_not_probed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
