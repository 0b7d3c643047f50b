/*
 * Tests of API keys at the gateway: who is served, under which name, and what a
 * target receives.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "../../lib/gateway/gateway_internal.h"
#include "gateway_rig.h"

#define ATTEMPT_ID "Chervilshelf-Attempt-Id: %I\r\n"
#define COMPLETE_RESPONSE                                                    \
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID "Chervilshelf-Response-Seal: s\r\n" \
	"Content-Length: 5\r\n\r\nwhole"
#define NOT_RUN_RESPONSE                                  \
	"HTTP/1.1 503 Service Unavailable\r\n" ATTEMPT_ID \
	"Chervilshelf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define REQUEST_TO(path, headers)                                        \
	"GET " path " HTTP/1.1\r\nHost: h\r\nChervilshelf-Attempt-Id: a" \
	"\r\n" headers "\r\n"
#define REQUEST(headers) REQUEST_TO("/safe/x", headers)

static const struct rig_script complete[] = {
    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};

static void
add_route(struct rt_table *table, const char *prefix, bool exempt, bool refused)
{
	struct rt_route route = {
	    .host = "h",
	    .prefix = prefix,
	    .timeout_ms = 60000,
	    .attempts_max = 2,
	    .priority = 5,
	    .auth_exempt = exempt,
	    .refused = refused,
	    .backend_count = 1,
	    .backends = {{.pool_name = "p", .weight = 1}},
	};

	assert_int_equal(rt_table_add_route(table, &route), CS_OK);
}

static void
add_tenants(struct rt_table *table)
{
	static const struct rt_tenant tenants[] = {
	    {.name = "first", .has_priority = true, .priority = 1},
	    {.name = "second"},
	    {.name = "off", .refused = true},
	};
	static const struct {
		uint32_t tenant;
		const char *key;
	} keys[] = {{0, "key-1"}, {0, "key-1b"}, {1, "key-2"}, {2, "key-off"},
	    {0, "shared"}, {1, "shared"}, {1, "\xc3\xa9"}};
	size_t i;

	table->has_tenants = true;
	for (i = 0; i < sizeof(tenants) / sizeof(tenants[0]); i++)
		assert_int_equal(
		    rt_table_add_tenant(table, &tenants[i]), CS_OK);
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		assert_int_equal(
		    rt_table_add_key(table, keys[i].tenant, keys[i].key),
		    CS_OK);
	add_route(table, "/open/", true, false);
	add_route(table, "/off/", false, true);
	add_route(table, "/open/off/", true, true);
}

static struct rig *
create_rig(const struct rig_params *more)
{
	struct rig_params params = *more;

	if (params.scripts == NULL) {
		params.scripts = complete;
		params.script_count = 1;
	}
	params.target_count =
	    params.target_count == 0 ? 1 : params.target_count;
	params.with_table = !params.late_table;
	params.timeout_ms = 60000;
	params.attempts_max = 2;
	return rig_create(&params);
}

static int
status_of(const char *response)
{
	return strncmp(response, "HTTP/1.1 ", 9) == 0 ? atoi(response + 9) : 0;
}

static const char *
ask(struct rig *rig, const char *request)
{
	return rig_ask(rig, request, strlen(request));
}

struct key_case {
	const char *request;
	int status;
	const char *seen; /* in the response, or in the request at the target */
};

#define TENANT(name) "\r\nChervilshelf-Tenant-Id: " name "\r\n"

static const struct key_case key_cases[] = {
    {REQUEST("X-Api-Key: key-1\r\n"), 200, TENANT("first")},
    {REQUEST("X-Api-Key: key-1b\r\n"), 200, TENANT("first")},
    {REQUEST("x-api-KEY:key-2\r\n"), 200, TENANT("second")},
    {REQUEST("X-API-KEY: \t key-2 \t\r\n"), 200, TENANT("second")},
    {REQUEST("X-Api-Key: \xc3\xa9\r\n"), 200, TENANT("second")},
    {REQUEST("X-Api-Key: key-2\r\nchervilshelf-tenant-ID: first\r\n"), 200,
	TENANT("second")},
    {REQUEST("Chervilshelf-Tenant-Id: first\r\nX-Api-Key: key-2\r\n"
	     "Chervilshelf-Tenant-Id: first\r\n"),
	200, TENANT("second")},
    {REQUEST("Chervilshelf_Tenant_Id: first\r\nX-Api-Key: key-2\r\n"), 200,
	TENANT("second")},
    {REQUEST("X-Api-Key: key-2\r\nConnection: Chervilshelf-Tenant-Id, "
	     "X-Api-Key\r\n"),
	200, TENANT("second")},
    {"POST /once/x HTTP/1.1\r\nHost: h\r\nChervilshelf-Attempt-Id: a\r\n"
     "X-Api-Key: key-2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
     "Chervilshelf-Tenant-Id: first\r\nX-Api-Key: key-1\r\n\r\n",
	200, TENANT("second")},
    {REQUEST_TO("/open/x", ""), 200, "GET /open/x "},
    {REQUEST_TO("/open/x", "X-Api-Key: key-1\r\n"), 200, "GET /open/x "},
    {REQUEST_TO("/open/x", "Chervilshelf-Tenant-Id: first\r\n"), 200,
	"GET /open/x "},
    {REQUEST(""), 401, "key_missing"},
    {REQUEST("X-Api-Key:\r\n"), 401, "key_missing"},
    {REQUEST("X-Api-Key: \t \r\n"), 401, "key_missing"},
    {REQUEST("X-Api-Key: key-1\r\nX-Api-Key: key-1\r\n"), 401, "key_missing"},
    {REQUEST("X-Api-Key: key-1\r\nx-api-key: key-2\r\n"), 401, "key_missing"},
    {REQUEST("X-Api-Key:\r\nX-Api-Key: key-1\r\n"), 401, "key_missing"},
    {REQUEST("X_Api_Key: key-1\r\n"), 401, "key_missing"},
    {REQUEST("Chervilshelf-Tenant-Id: first\r\n"), 401, "key_missing"},
    {"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     "1\r\nx\r\n0\r\nX-Api-Key: key-1\r\n\r\n",
	401, "key_missing"},
    {REQUEST("X-Api-Key: KEY-1\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: key-\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: key-1, key-1\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: key-11\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: first\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: shared\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: \xff\xfe\xc3\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: key\t-1\r\n"), 401, "key_unknown"},
    /* Not HTTP: the parser refuses these before any key is looked at. */
    {REQUEST("X-Api-Key: key-1\x01\r\n"), 400, "close"},
    {REQUEST("X-Api-Key: \x1b[2Jkey\x7f\r\n"), 400, "close"},
    {REQUEST("X-Api-Key: %s%n%08x\r\n"), 401, "key_unknown"},
    {REQUEST("X-Api-Key: key-off\r\n"), 503, "tenant_refused"},
    {REQUEST_TO("/off/x", "X-Api-Key: key-1\r\n"), 503, "route_refused"},
    {REQUEST_TO("/off/x", ""), 503, "route_refused"},
    {REQUEST_TO("/open/off/x", ""), 503, "route_refused"},
    {REQUEST_TO("/none/x", ""), 404, "no_route"},
};

static uint32_t
count_texts(const char *text, const char *part)
{
	uint32_t count = 0;

	for (; (text = strcasestr(text, part)) != NULL; text++)
		count++;
	return count;
}

static void
check_forwarded(const struct key_case *row, const char *request)
{
	bool has_tenant = strstr(row->seen, "Tenant-Id") != NULL;

	if (strstr(request, row->seen) == NULL ||
	    count_texts(request, "tenant-id") != has_tenant ||
	    count_texts(request, "tenant_id") != 0 ||
	    count_texts(request, "api-key") != 0 ||
	    count_texts(request, "key-") != 0)
		fail_msg("%s\nbecame\n%s", row->request, request);
}

/*
 * A request must not run under another tenant's name, and no key may reach a
 * target. Odd keys must not harm the process.
 */
static void
test_only_callers_with_one_known_key_are_served(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(key_cases) / sizeof(key_cases[0]); i++) {
		const struct key_case *row = &key_cases[i];
		struct rig *rig = create_rig(
		    &(struct rig_params){.add_to_table = add_tenants});
		const char *response = ask(rig, row->request);

		if (status_of(response) != row->status)
			fail_msg("%s\ngot\n%s", row->request, response);
		assert_int_equal(rig_requests(rig), row->status == 200);
		if (row->status == 200)
			check_forwarded(row, rig_last(rig));
		else
			assert_non_null(strstr(response, row->seen));
		rig_free(rig);
	}
}

/* A key as long as the head may be must not overflow any buffer. */
static void
test_long_keys_are_unknown(void **state)
{
	struct rig *rig =
	    create_rig(&(struct rig_params){.add_to_table = add_tenants});
	size_t lengths[] = {128, 1024, 3500};
	char text[8192], key[4096];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
		memset(key, 'k', lengths[i]);
		key[lengths[i]] = '\0';
		snprintf(text, sizeof(text),
		    "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s\r\n\r\n",
		    key);
		assert_int_equal(status_of(ask(rig, text)), 401);
	}
	/* Longer than any head may be. */
	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	snprintf(text, sizeof(text),
	    "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s%s\r\n\r\n", key,
	    "more");
	assert_int_equal(status_of(ask(rig, text)), 431);
	assert_int_equal(rig_requests(rig), 0);
	rig_free(rig);
}

static void
test_refusal_leaves_the_connection_usable(void **state)
{
	static const char requests[] = REQUEST("") REQUEST("X-Api-Key: no\r\n")
	    REQUEST("X-Api-Key: key-off\r\n") REQUEST("X-Api-Key: key-2\r\n");
	struct rig *rig =
	    create_rig(&(struct rig_params){.add_to_table = add_tenants});
	const char *got = rig_ask_all(rig, requests, sizeof(requests) - 1, 4);

	(void)state;
	assert_int_equal(count_texts(got, "HTTP/1.1 401 Unauthorized"), 2);
	assert_int_equal(count_texts(got, "HTTP/1.1 503 "), 1);
	assert_int_equal(count_texts(got, "HTTP/1.1 200 "), 1);
	assert_int_equal(count_texts(got, "Connection: close"), 0);
	rig_free(rig);
}

/* Deployments without tenants may use these headers for their own purposes. */
static void
test_table_without_tenants_forwards_all_headers(void **state)
{
	static const char request[] = REQUEST(
	    "X-Api-Key: key-1\r\nx-api-key:\r\n"
	    "Chervilshelf-Tenant-Id: first\r\nChervilshelf_Tenant_Id: x\r\n");
	struct rig *rig = create_rig(&(struct rig_params){.late_table = false});

	(void)state;
	assert_int_equal(status_of(ask(rig, request)), 200);
	assert_int_equal(count_texts(rig_last(rig), "tenant"), 2);
	assert_int_equal(count_texts(rig_last(rig), "api-key"), 2);
	/* Names, values, order and case are those of the caller. */
	assert_non_null(
	    strstr(rig_last(rig), "X-Api-Key: key-1\r\n"
				  "x-api-key: \r\n"
				  "Chervilshelf-Tenant-Id: first\r\n"
				  "Chervilshelf_Tenant_Id: x\r\n"));
	rig_free(rig);
}

/* It arrives before the VM knows any tenant, and must not pass unchecked. */
static void
test_held_call_is_checked(void **state)
{
	static const struct {
		const char *request;
		int status;
	} rows[] = {
	    {REQUEST(""), 401},
	    {REQUEST("X-Api-Key: key-3\r\n"), 401},
	    {REQUEST("X-Api-Key: key-off\r\n"), 503},
	    {REQUEST_TO("/off/x", ""), 503},
	    {REQUEST("X-Api-Key: key-1\r\nChervilshelf-Tenant-Id: second\r\n"),
		200},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct rig *rig = create_rig(&(struct rig_params){
		    .add_to_table = add_tenants, .late_table = true});
		const char *response = ask(rig, rows[i].request);

		assert_int_equal(status_of(response), rows[i].status);
		assert_int_equal(rig_requests(rig), rows[i].status == 200);
		if (rows[i].status == 200)
			assert_non_null(strstr(rig_last(rig), TENANT("first")));
		rig_free(rig);
	}
}

static void
test_retry_has_the_same_tenant(void **state)
{
	static const struct rig_script scripts[] = {
	    {NOT_RUN_RESPONSE, RIG_KEEP, NULL, false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = create_rig(&(struct rig_params){.scripts = scripts,
	    .script_count = 2,
	    .target_count = 2,
	    .add_to_table = add_tenants});

	(void)state;
	assert_int_equal(
	    status_of(ask(rig, REQUEST("X-Api-Key: key-2\r\n"))), 200);
	assert_int_equal(rig_requests(rig), 2);
	assert_non_null(strstr(rig_last(rig), TENANT("second")));
	assert_null(strcasestr(rig_last(rig), "key-2"));
	rig_free(rig);
}

/*
 * Repetitions of a request that crashes targets are recognised, whichever key
 * they come with; a caller with several keys could crash more otherwise.
 */
static void
test_key_is_not_part_of_the_fingerprint(void **state)
{
	uint64_t fingerprints[2];
	const char *requests[] = {
	    REQUEST_TO("/once/crash", "X-Api-Key: key-1\r\n"),
	    REQUEST_TO("/once/crash", "X-Api-Key: key-2\r\n")};
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		struct rig *rig = create_rig(
		    &(struct rig_params){.add_to_table = add_tenants});

		assert_int_equal(status_of(ask(rig, requests[i])), 502);
		assert_true(rig_await_reports(rig, 1));
		fingerprints[i] = rig_reported_fingerprint(rig);
		rig_free(rig);
	}
	assert_true(fingerprints[0] == fingerprints[1]);
}

static int64_t
boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

#define HOUR_US INT64_C(3600000000)

/* A key that was taken away must not be served by a VM that cannot know. */
static void
test_keys_need_a_fresh_proof(void **state)
{
	struct rig *rig = create_rig(&(struct rig_params){
	    .add_to_table = add_tenants, .key_proof_age_max_us = HOUR_US});
	const char *good = REQUEST("X-Api-Key: key-1\r\n"), *response;
	struct gw *gw = rig_gateway(rig);

	(void)state;
	assert_true(gw_key_proof_age_us(gw) == -1);
	response = ask(rig, good);
	assert_int_equal(status_of(response), 503);
	assert_non_null(strstr(response, "keys_stale"));
	assert_non_null(strstr(response, "Retry-After: "));
	/* The VM may not know a new key yet, but knows what is no key. */
	assert_int_equal(
	    status_of(ask(rig, REQUEST("X-Api-Key: new\r\n"))), 503);
	assert_int_equal(status_of(ask(rig, REQUEST(""))), 401);
	assert_int_equal(status_of(ask(rig, REQUEST_TO("/open/x", ""))), 200);
	gw_set_key_proof(gw, boot_us() - HOUR_US / 2);
	assert_true(gw_key_proof_age_us(gw) >= HOUR_US / 2);
	assert_int_equal(status_of(ask(rig, good)), 200);
	assert_int_equal(
	    status_of(ask(rig, REQUEST("X-Api-Key: new\r\n"))), 401);
	gw_set_key_proof(gw, boot_us() - 2 * HOUR_US);
	assert_int_equal(status_of(ask(rig, good)), 503);
	gw_set_key_proof(gw, boot_us() + HOUR_US);
	assert_int_equal(status_of(ask(rig, good)), 503);
	gw_set_key_proof(gw, boot_us());
	assert_int_equal(status_of(ask(rig, good)), 200);
	gw_set_key_proof(gw, 0);
	assert_int_equal(status_of(ask(rig, good)), 503);
	assert_int_equal(rig_requests(rig), 3);
	rig_free(rig);
}

static struct rt_table *
other_table(const struct rt_table *old)
{
	struct rt_table *table = rt_table_create(2);
	struct rt_tenant tenant = {.name = "renamed"};
	struct rt_pool pool = {.name = "p"};

	table->limits = old->limits;
	table->has_tenants = true;
	assert_int_equal(rt_table_add_pool(table, &pool), CS_OK);
	add_route(table, "/safe/", false, false);
	assert_int_equal(rt_table_add_tenant(table, &tenant), CS_OK);
	assert_int_equal(rt_table_add_key(table, 0, "key-1"), CS_OK);
	assert_int_equal(rt_table_finalise(table), CS_OK);
	return table;
}

static void
find_second(
    void *arg, const char *name, const struct gw_tenant_counters *counters)
{
	if (strcmp(name, "second") == 0)
		*(struct gw_tenant_counters *)arg = *counters;
}

/* A call at a target keeps the table that it arrived with, and its tenant. */
static void
test_call_keeps_its_tenant_when_the_table_changes(void **state)
{
	static const struct rig_script scripts[] = {
	    {NULL, RIG_SILENT, NULL, false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = create_rig(&(struct rig_params){.scripts = scripts,
	    .script_count = 2,
	    .slots = 1,
	    .add_to_table = add_tenants});
	const char *first = REQUEST("X-Api-Key: key-2\r\n");
	struct gw_tenant_counters second = {0};
	struct rt_table *table;

	(void)state;
	rig_hold(rig, first, strlen(first));
	table = other_table(gw_table(rig_gateway(rig)));
	gw_set_table(rig_gateway(rig), table);
	rt_table_unref(table);
	gw_end_calls(rig_gateway(rig));
	gw_for_each_tenant(rig_gateway(rig), find_second, &second);
	assert_int_equal(second.calls, 1);
	assert_int_equal(second.answered, 0);
	assert_int_equal(
	    status_of(ask(rig, REQUEST("X-Api-Key: key-2\r\n"))), 401);
	assert_int_equal(
	    status_of(ask(rig, REQUEST("X-Api-Key: key-1\r\n"))), 200);
	assert_non_null(strstr(rig_last(rig), TENANT("renamed")));
	rig_free(rig);
}

/* Fills what gw_admit() reads of a call that it admits. */
static uint32_t
priority_of(const char *request)
{
	struct gw gw = {.params = {.header_names = &pl_header_names}};
	struct rt_table *table = rt_table_create(1);
	struct rt_pool pool = {.name = "p"};
	struct gw_call call = {.gw = &gw, .table = table};
	struct h1_reader reader;
	size_t used;

	h1_reader_init(&reader, HTTP_REQUEST, (struct h1_limits){4096, 4096});
	assert_int_equal(
	    h1_reader_feed(&reader, request, strlen(request), &used),
	    H1_READ_COMPLETE);
	add_tenants(table);
	add_route(table, "/safe/", false, false);
	rt_table_add_pool(table, &pool);
	assert_int_equal(rt_table_finalise(table), CS_OK);
	call.request = &reader.message;
	call.route = rt_table_find(table, "h", h1_target(&reader.message));
	assert_true(gw_admit(&call));
	rt_table_unref(table);
	h1_reader_free(&reader);
	return call.priority;
}

static void
test_priority_of_the_tenant_takes_precedence(void **state)
{
	(void)state;
	assert_int_equal(priority_of(REQUEST("X-Api-Key: key-1\r\n")), 1);
	assert_int_equal(priority_of(REQUEST("X-Api-Key: key-2\r\n")), 5);
	assert_int_equal(
	    priority_of(REQUEST_TO("/open/x", "X-Api-Key: key-1\r\n")), 5);
}

static void
find_first(
    void *arg, const char *name, const struct gw_tenant_counters *counters)
{
	if (strcmp(name, "first") == 0)
		*(struct gw_tenant_counters *)arg = *counters;
	else
		assert_string_equal(name, "off");
}

static void
test_calls_are_counted_by_tenant(void **state)
{
	struct rig *rig =
	    create_rig(&(struct rig_params){.add_to_table = add_tenants});
	struct gw_tenant_counters first = {0};
	const struct gw_counters *counters = gw_get_counters(rig_gateway(rig));

	(void)state;
	ask(rig, REQUEST("X-Api-Key: key-1\r\n"));
	ask(rig, REQUEST("X-Api-Key: key-1b\r\n"));
	ask(rig, REQUEST("X-Api-Key: key-off\r\n"));
	ask(rig, REQUEST("X-Api-Key: none\r\n"));
	ask(rig, REQUEST_TO("/open/x", "X-Api-Key: key-2\r\n"));
	gw_for_each_tenant(rig_gateway(rig), find_first, &first);
	assert_int_equal(first.calls, 2);
	assert_int_equal(first.answered, 2);
	assert_int_equal(first.refused, 0);
	assert_int_equal(counters->ended[GW_KEY_UNKNOWN], 1);
	assert_int_equal(counters->ended[GW_TENANT_REFUSED], 1);
	assert_int_equal(counters->ended[GW_ANSWERED], 3);
	rig_free(rig);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_only_callers_with_one_known_key_are_served),
	    cmocka_unit_test(test_long_keys_are_unknown),
	    cmocka_unit_test(test_refusal_leaves_the_connection_usable),
	    cmocka_unit_test(test_table_without_tenants_forwards_all_headers),
	    cmocka_unit_test(test_held_call_is_checked),
	    cmocka_unit_test(test_retry_has_the_same_tenant),
	    cmocka_unit_test(test_key_is_not_part_of_the_fingerprint),
	    cmocka_unit_test(test_keys_need_a_fresh_proof),
	    cmocka_unit_test(test_call_keeps_its_tenant_when_the_table_changes),
	    cmocka_unit_test(test_priority_of_the_tenant_takes_precedence),
	    cmocka_unit_test(test_calls_are_counted_by_tenant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
