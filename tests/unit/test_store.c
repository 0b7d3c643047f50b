/*
 * Tests lib/store against a scripted store (lists, watches, lost history,
 * refused requests), and its cache.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/h1/h1.h"
#include "../../lib/store/cache.h"
#include "../../platform/platform.h"

#define LOOP_ITERATIONS_MAX 100000 /* before a test fails as hung */
#define CALLS_MAX 32

#define ITEM(name, revision)                                          \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision \
	"},\"spec\":{\"v\":1}}"
#define LIST(items, revision) \
	"{\"items\":[" items "],\"more\":false,\"store_revision\":" revision "}"
/* A page of a list that continues. */
#define PAGE(items, revision) \
	"{\"items\":[" items "],\"more\":true,\"store_revision\":" revision "}"
#define EVENTS(events, revision) \
	"{\"events\":[" events "],\"store_revision\":" revision "}"
#define CHANGED(name, revision) \
	"{\"deleted\":false,\"object\":" ITEM(name, revision) "}"
#define DELETED(name, revision) \
	"{\"deleted\":true,\"object\":" ITEM(name, revision) "}"

/* Longer than any name that the client holds. */
#define NAME_OF_32 "n-3456789-123456789-123456789-12"
#define LONG_NAME \
	NAME_OF_32 NAME_OF_32 NAME_OF_32 NAME_OF_32 NAME_OF_32 NAME_OF_32

/* A status of a response that names the store's era. */
#define IN_ERA(era, status) ((era)*1000 + (status))

/* How the store responds to the next call for the kind. */
struct response {
	int status; /* 0: 500, then closes; -1: never responds */
	const char *body;
};

struct fixture {
	uv_loop_t loop;
	struct h1_server *server;
	struct os_client *client;
	struct os_cache *cache;
	uv_timer_t tick;
	const struct response *responses;
	uint32_t response_count;
	int check_status; /* of the response to each check */
	const char *check_body;
	uint32_t checks;
	uint32_t calls;
	char paths[CALLS_MAX][OS_PATH_BYTES_MAX];
	struct h1_conn *waiting;
	bool loses_changes; /* has no memory for them */
	char reported[512]; /* batches or results from the client, in order */
};

static void
respond(struct h1_conn *conn, const struct response *response)
{
	char headers[128];
	size_t length = (size_t)snprintf(
	    headers, sizeof(headers), "Content-Type: application/json\r\n");

	if (response->status > IN_ERA(1, 0))
		length +=
		    (size_t)snprintf(headers + length, sizeof(headers) - length,
			"Store-Era: %u\r\n", response->status / IN_ERA(1, 0));
	h1_conn_send_response(
	    conn, &(struct h1_response){
		      .status = response->status % IN_ERA(1, 0),
		      .headers = headers,
		      .headers_length = length,
		      .body = response->body,
		      .body_length = strlen(response->body),
		  });
}

static void
on_store_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct fixture *fixture = h1_conn_user(conn);
	const struct response *response;

	if (strstr(h1_target(request), "allow_stale") != NULL) {
		fixture->checks++;
		respond(conn, &(struct response){
				  fixture->check_status, fixture->check_body});
		return;
	}
	if (fixture->calls < CALLS_MAX)
		snprintf(fixture->paths[fixture->calls], OS_PATH_BYTES_MAX,
		    "%s%s%s",
		    strcmp(request->method, "GET") == 0 ? "" : request->method,
		    strcmp(request->method, "GET") == 0 ? "" : " ",
		    h1_target(request));
	response = fixture->calls < fixture->response_count
		       ? &fixture->responses[fixture->calls]
		       : NULL;
	fixture->calls++;
	if (response == NULL || response->status < 0)
		return;
	if (response->status == 0)
		h1_conn_send_response(
		    conn, &(struct h1_response){.status = 500, .close = true});
	else
		respond(conn, response);
}

static void
on_store_disconnect(struct h1_conn *conn)
{
	(void)conn;
}

/* As ERA:NUMBER, or the number alone if the store names no era. */
static const char *
revision_text(uint64_t revision)
{
	static char text[64];
	unsigned long long era = os_revision_era(revision);

	if (era == 0)
		snprintf(
		    text, sizeof(text), "%llu", (unsigned long long)revision);
	else
		snprintf(text, sizeof(text), "%llu:%llu", era,
		    (unsigned long long)os_revision_number(revision));
	return text;
}

static void
report_batch(
    struct fixture *fixture, const char *what, const struct os_batch *batch)
{
	size_t used = strlen(fixture->reported);
	uint32_t i;

	used += (size_t)snprintf(fixture->reported + used,
	    sizeof(fixture->reported) - used, "%s@%s", what,
	    revision_text(batch->revision));
	for (i = 0; i < batch->count; i++)
		used += (size_t)snprintf(fixture->reported + used,
		    sizeof(fixture->reported) - used, " %s%s",
		    batch->changes[i].deleted ? "-" : "+",
		    batch->changes[i].name);
	snprintf(
	    fixture->reported + used, sizeof(fixture->reported) - used, "; ");
}

static void
on_snapshot(void *user, uint32_t kind, const struct os_batch *batch)
{
	(void)kind;
	report_batch(user, "all", batch);
}

static void
on_changes(void *user, uint32_t kind, const struct os_batch *batch)
{
	struct fixture *fixture = user;

	report_batch(user, "new", batch);
	if (fixture->loses_changes)
		os_client_lose(fixture->client, kind);
}

static void
on_restored(void *user, uint64_t era)
{
	struct fixture *fixture = user;
	size_t used = strlen(fixture->reported);

	snprintf(fixture->reported + used, sizeof(fixture->reported) - used,
	    "era %llu; ", (unsigned long long)era);
}

static void
on_proven(void *user, uint32_t kind, uint64_t era, int64_t sent_us)
{
	struct fixture *fixture = user;
	size_t used = strlen(fixture->reported);

	(void)kind;
	snprintf(fixture->reported + used, sizeof(fixture->reported) - used,
	    "proven in %llu at %lld; ", (unsigned long long)era,
	    (long long)sent_us);
}

static void
on_reachability(void *user, bool reached, const char *reason)
{
	(void)user;
	(void)reached;
	(void)reason;
}

static void
on_tick(uv_timer_t *timer)
{
	(void)timer;
}

static void
run_until_calls(struct fixture *fixture, uint32_t calls)
{
	uint32_t iterations = 0;

	while (fixture->calls < calls) {
		if (++iterations > LOOP_ITERATIONS_MAX)
			fail_msg("hung after %u calls", fixture->calls);
		uv_run(&fixture->loop, UV_RUN_ONCE);
	}
}

static void
set_up(
    struct fixture *fixture, const struct response *responses, uint32_t count)
{
	static const struct h1_server_events server_events = {
	    .on_request = on_store_request,
	    .on_disconnect = on_store_disconnect};
	static const struct os_events events = {.on_snapshot = on_snapshot,
	    .on_changes = on_changes,
	    .on_restored = on_restored,
	    .on_proven = on_proven,
	    .on_reachability = on_reachability};
	struct h1_server_params server = {
	    .loop = &fixture->loop,
	    .limits = {65536, 65536},
	    .head_timeout_ms = 60000,
	    .idle_timeout_ms = 60000,
	    .connections_max = 64,
	    .bodies_bytes_max = 1 << 20,
	    .events = &server_events,
	    .user = fixture,
	};
	struct os_params params = {
	    .loop = &fixture->loop,
	    .codec = &pl_codec,
	    .events = &events,
	    .user = fixture,
	    .kind_count = 1,
	    .kinds = {"servers"},
	    .own_kind = "own",
	    .own_name = "vm",
	    .seed = 1,
	};

	*fixture = (struct fixture){.responses = responses,
	    .response_count = count,
	    .cache = os_cache_create(),
	    .check_status = 200,
	    .check_body = "{}"};
	uv_loop_init(&fixture->loop);
	uv_timer_init(&fixture->loop, &fixture->tick);
	uv_timer_start(&fixture->tick, on_tick, 5, 5);
	uv_ip4_addr("127.0.0.1", 0, &server.address);
	assert_int_equal(h1_server_create(&server, &fixture->server), CS_OK);
	uv_ip4_addr(
	    "127.0.0.1", h1_server_port(fixture->server), &params.address);
	params.cache = fixture->cache;
	assert_int_equal(os_client_create(&params, &fixture->client), CS_OK);
}

static void
run_until_reported(struct fixture *fixture)
{
	uint32_t iterations = 0;

	while (fixture->reported[0] == '\0') {
		if (++iterations > LOOP_ITERATIONS_MAX)
			fail_msg("hung after %u calls", fixture->calls);
		uv_run(&fixture->loop, UV_RUN_ONCE);
	}
}

struct follow_case {
	const char *name;
	struct response responses[6];
	uint32_t count;
	const char *reported;
	const char *last_path; /* of the call after the responses */
};

static const struct follow_case follow_cases[] = {
    {"lists, then watches from the list's revision",
	{{200, LIST(ITEM("a", "4"), "9")}}, 1, "all@9 +a; ",
	"/objects/servers?watch=9&wait_ms=25000"},
    {"pages form one snapshot, watched from the first page's revision",
	{{200, "{\"items\":[" ITEM("a", "4") "],\"more\":true,"
					     "\"store_revision\":9}"},
	    {200, LIST(ITEM("b", "8"), "11")}},
	2, "all@9 +a +b; ", "/objects/servers?watch=9&wait_ms=25000"},
    {"events, then watches from their revision",
	{{200, LIST("", "9")},
	    {200, EVENTS(CHANGED("a", "10") "," DELETED("b", "3"), "12")}},
	2, "all@9; new@12 +a -b; ", "/objects/servers?watch=12&wait_ms=25000"},
    {"410 (history lost): lists again",
	{{200, LIST("", "9")}, {410, "{}"}, {200, LIST(ITEM("a", "10"), "11")}},
	3, "all@9; all@11 +a; ", "/objects/servers?watch=11&wait_ms=25000"},
    {"a failed watch is not resumed: lists again",
	{{200, LIST("", "9")}, {0, NULL}}, 2, "all@9; ", "/objects/servers"},
    {"429, then 503: retries", {{429, "{}"}, {503, "{}"}, {200, LIST("", "9")}},
	3, "all@9; ", "/objects/servers?watch=9&wait_ms=25000"},
    {"not JSON: lists again", {{200, LIST("", "9")}, {200, "<html>"}}, 2,
	"all@9; ", "/objects/servers"},
    {"watch of a new era: lists again, at a lower revision",
	{{IN_ERA(1, 200), LIST(ITEM("a", "4"), "9")},
	    {IN_ERA(2, 200), EVENTS(CHANGED("b", "10"), "10")},
	    {IN_ERA(2, 200), LIST(ITEM("a", "3"), "5")}},
	3, "all@1:9 +a; era 2; all@2:5 +a; ",
	"/objects/servers?watch=5&wait_ms=25000"},
    {"410 in a new era",
	{{IN_ERA(1, 200), LIST("", "9")}, {IN_ERA(2, 410), "{}"},
	    {IN_ERA(2, 200), LIST("", "9")}},
	3, "all@1:9; era 2; all@2:9; ",
	"/objects/servers?watch=9&wait_ms=25000"},
    {"refused in a new era",
	{{IN_ERA(1, 200), LIST("", "9")}, {IN_ERA(2, 503), "{}"},
	    {IN_ERA(2, 200), LIST("", "7")}},
	3, "all@1:9; era 2; all@2:7; ",
	"/objects/servers?watch=7&wait_ms=25000"},
    {"two eras between two calls, then another",
	{{IN_ERA(1, 200), LIST("", "9")}, {IN_ERA(3, 200), EVENTS("", "9")},
	    {IN_ERA(4, 200), LIST("", "8")}, {IN_ERA(4, 200), LIST("", "6")}},
	4, "all@1:9; era 3; era 4; all@4:6; ",
	"/objects/servers?watch=6&wait_ms=25000"},
    {"pages of two eras are no list",
	{{IN_ERA(1, 200),
	     "{\"items\":[" ITEM("a", "4") "],\"more\":true,"
					   "\"store_revision\":9}"},
	    {IN_ERA(2, 200), LIST(ITEM("b", "3"), "5")},
	    {IN_ERA(2, 200), LIST(ITEM("c", "4"), "6")}},
	3, "era 2; all@2:6 +c; ", "/objects/servers?watch=6&wait_ms=25000"},
    {"a late response of the era before is no news",
	{{IN_ERA(2, 200), LIST("", "9")},
	    {IN_ERA(1, 200), EVENTS(CHANGED("a", "10"), "12")},
	    {IN_ERA(2, 200), LIST("", "9")}},
	3, "all@2:9; all@2:9; ", "/objects/servers?watch=9&wait_ms=25000"},
    {"an object without a name is skipped",
	{{200, LIST("{\"metadata\":{}}," ITEM("a", "4"), "9")}}, 1,
	"all@9 +a; ", "/objects/servers?watch=9&wait_ms=25000"},
};

static void
test_follows_store_with_list_and_watch(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(follow_cases) / sizeof(follow_cases[0]); i++) {
		const struct follow_case *row = &follow_cases[i];
		static struct fixture fixture;

		set_up(&fixture, row->responses, row->count);
		os_client_follow(fixture.client, true);
		run_until_calls(&fixture, row->count + 1);
		if (strcmp(fixture.reported, row->reported) != 0 ||
		    strcmp(fixture.paths[row->count], row->last_path) != 0)
			fail_msg("%s: reported \"%s\", then requested \"%s\"",
			    row->name, fixture.reported,
			    fixture.paths[row->count]);
		os_client_close(fixture.client);
	}
}

/* Lists of several pages: what is reported, and the paths that are requested.
 */
struct page_case {
	const char *name;
	struct response responses[4];
	uint32_t count;
	const char *reported;
	const char *paths[5]; /* with that of the call after the responses */
};

#define WATCH_OF(revision) "/objects/servers?watch=" revision "&wait_ms=25000"

static const struct page_case page_cases[] = {
    {"the only name of a page is too long",
	{{200, PAGE(ITEM(LONG_NAME, "4"), "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	2, "all@9 +b; ",
	{"/objects/servers", "/objects/servers?after=" LONG_NAME,
	    WATCH_OF("9")}},
    {"the only name of a page is not UTF-8",
	{{200, PAGE(ITEM("a\xff&", "4"), "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	2, "all@9 +b; ",
	{"/objects/servers", "/objects/servers?after=a%FF%26", WATCH_OF("9")}},
    {"the only name of a page has a zero byte",
	{{200, PAGE(ITEM("a\\u0000+", "4"), "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	2, "all@9 +b; ",
	{"/objects/servers", "/objects/servers?after=a%00%2B", WATCH_OF("9")}},
    {"the only name of a page has half a surrogate pair",
	{{200, PAGE(ITEM("a\\uD800\\\\ud800\\ud83d\\ude00\\uDFFF", "4"), "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	2, "all@9 +b; ",
	{"/objects/servers",
	    "/objects/servers?after="
	    "a%EF%BF%BD%5Cud800%F0%9F%98%80%EF%BF%BD",
	    WATCH_OF("9")}},
    {"continues after the last name that can be read",
	{{200, PAGE(ITEM("a", "4") ","
				   "{},7",
		   "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	2, "all@9 +a +b; ",
	{"/objects/servers", "/objects/servers?after=a", WATCH_OF("9")}},
    {"a page without any name is not the end: lists again",
	{{200, PAGE("{},7", "9")}, {200, LIST(ITEM("b", "8"), "11")}}, 2,
	"all@11 +b; ",
	{"/objects/servers", "/objects/servers", WATCH_OF("11")}},
    {"a page that cannot be parsed: lists again",
	{{200, PAGE(ITEM("a", "4"), "9")}, {200, "{\"items\":[" ITEM("b", "5")},
	    {200, LIST(ITEM("c", "8"), "11")}},
	3, "all@11 +c; ",
	{"/objects/servers", "/objects/servers?after=a", "/objects/servers",
	    WATCH_OF("11")}},
    {"a page without its items: lists again",
	{{200, PAGE(ITEM("a", "4"), "9")},
	    {200, "{\"more\":false,\"store_revision\":9}"},
	    {200, LIST(ITEM("c", "8"), "11")}},
	3, "all@11 +c; ",
	{"/objects/servers", "/objects/servers?after=a", "/objects/servers",
	    WATCH_OF("11")}},
    {"the same page again: lists again",
	{{200, PAGE(ITEM("a", "4") "," ITEM("b", "5"), "9")},
	    {200, PAGE(ITEM("a", "4") "," ITEM("b", "5"), "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	3, "all@11 +b; ",
	{"/objects/servers", "/objects/servers?after=b", "/objects/servers",
	    WATCH_OF("11")}},
    {"the same name again, from another page: lists again",
	{{200, PAGE(ITEM("a", "4") "," ITEM("b", "5"), "9")},
	    {200, PAGE(ITEM("b", "5"), "9")},
	    {200, LIST(ITEM("b", "8"), "11")}},
	3, "all@11 +b; ",
	{"/objects/servers", "/objects/servers?after=b", "/objects/servers",
	    WATCH_OF("11")}},
};

/* Guards against a list that ends early: what it lacks would count as gone. */
static void
test_pages_are_read_to_the_end(void **state)
{
	uint32_t i, k;

	(void)state;
	for (i = 0; i < sizeof(page_cases) / sizeof(page_cases[0]); i++) {
		const struct page_case *row = &page_cases[i];
		static struct fixture fixture;

		set_up(&fixture, row->responses, row->count);
		os_client_follow(fixture.client, true);
		run_until_calls(&fixture, row->count + 1);
		if (strcmp(fixture.reported, row->reported) != 0)
			fail_msg(
			    "%s: reported \"%s\"", row->name, fixture.reported);
		for (k = 0; k <= row->count; k++) {
			if (strcmp(fixture.paths[k], row->paths[k]) != 0)
				fail_msg("%s: requested \"%s\"", row->name,
				    fixture.paths[k]);
		}
		os_client_close(fixture.client);
	}
}

#define CYCLE_PAGES_MAX 5

/* Runs until the list begins again; returns the number of its pages, or 0. */
static uint32_t
count_pages(struct fixture *fixture, uint32_t pages_max)
{
	uint32_t i;

	for (i = 1; i <= pages_max; i++) {
		run_until_calls(fixture, i + 1);
		if (strcmp(fixture->paths[i], "/objects/servers") == 0)
			return i;
	}
	return 0;
}

/*
 * A store that reads the names in queries wrongly sends pages again, all of
 * them or all after the first ones. No more than three times as many are read.
 */
static void
test_endless_lists_are_given_up(void **state)
{
	static const struct response pages[CYCLE_PAGES_MAX] = {
	    {200, PAGE(ITEM("a", "4"), "9")}, {200, PAGE(ITEM("b", "4"), "9")},
	    {200, PAGE(ITEM("c", "4"), "9")}, {200, PAGE(ITEM("d", "4"), "9")},
	    {200, PAGE(ITEM("e", "4"), "9")}};
	static struct response responses[CALLS_MAX];
	uint32_t length, first, i;

	(void)state;
	for (length = 1; length <= CYCLE_PAGES_MAX; length++) {
		for (first = 0; first < length; first++) {
			static struct fixture fixture;

			for (i = 0; i < length; i++)
				responses[i] = pages[i];
			for (; i < CALLS_MAX; i++)
				responses[i] = responses[i - (length - first)];
			set_up(&fixture, responses, CALLS_MAX);
			os_client_follow(fixture.client, true);
			if (count_pages(&fixture, 3 * length) == 0)
				fail_msg("%u pages, from %u on repeated: read "
					 "without end",
				    length, first);
			assert_string_equal(fixture.reported, "");
			os_client_close(fixture.client);
		}
	}
}

static void
on_own_page(void *user, const struct os_batch *batch)
{
	struct fixture *fixture = user;

	if (batch != NULL)
		report_batch(fixture, "own", batch);
	else
		strcat(fixture->reported, "failed; ");
}

/* The list of the VMs, after a registration and alone. */
static void
test_endless_lists_of_vms_are_given_up(void **state)
{
	static const struct response responses[] = {{200, ITEM("vm", "3")},
	    {200, PAGE(ITEM("a", "4"), "9")}, {200, PAGE(ITEM("a", "4"), "9")}};
	static struct fixture fixture;

	(void)state;
	set_up(&fixture, responses, 3);
	os_client_announce(fixture.client, "{}", on_own_page);
	run_until_calls(&fixture, 4); /* registers again */
	assert_string_equal(fixture.reported, "own@9 +a; failed; ");
	assert_string_equal(fixture.paths[3], "POST /objects/own");
	os_client_close(fixture.client);

	set_up(&fixture, responses + 1, 2);
	assert_int_equal(
	    os_client_list_own(fixture.client, on_own_page), CS_OK);
	run_until_calls(&fixture, 2);
	while (strstr(fixture.reported, "failed") == NULL && fixture.calls == 2)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_string_equal(fixture.reported, "own@9 +a; failed; ");
	os_client_close(fixture.client);
}

/*
 * A query that proves that nothing is missing. Guards against proofs from
 * responses that tell of changes, or of a store that has been restored.
 */
struct proof_case {
	const char *name;
	struct response response;
	const char *reported;
	const char *next_path; /* of the call after the response */
};

static const struct proof_case proof_cases[] = {
    {"no changes; the next query begins at the store's revision",
	{IN_ERA(1, 200), EVENTS("", "40")}, "all@1:9; proven in 1 at 77; ",
	"/objects/servers?watch=40&wait_ms=0"},
    {"changes are reported, and are no proof",
	{IN_ERA(1, 200), EVENTS(CHANGED("a", "12"), "12")},
	"all@1:9; new@1:12 +a; ", "/objects/servers?watch=12&wait_ms=0"},
    {"the history is lost: lists again", {IN_ERA(1, 410), "{}"}, "all@1:9; ",
	"/objects/servers"},
    {"a new era: lists again", {IN_ERA(2, 200), EVENTS("", "9")},
	"all@1:9; era 2; ", "/objects/servers"},
    {"refused", {IN_ERA(1, 503), "{}"}, "all@1:9; ",
	"/objects/servers?watch=9&wait_ms=0"},
    {"no JSON", {IN_ERA(1, 200), "<html>"}, "all@1:9; ",
	"/objects/servers?watch=9&wait_ms=0"},
};

static void
test_store_proves_that_nothing_is_missing(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(proof_cases) / sizeof(proof_cases[0]); i++) {
		const struct proof_case *row = &proof_cases[i];
		const struct response responses[] = {
		    {IN_ERA(1, 200), LIST("", "9")}, {-1, NULL}, row->response};
		static struct fixture fixture;
		uint32_t iterations = 0;

		set_up(&fixture, responses, 3);
		assert_int_equal(
		    os_client_prove(fixture.client, 0, 77), CS_E_STALE);
		os_client_follow(fixture.client, true);
		run_until_calls(&fixture, 2);
		assert_int_equal(os_client_prove(fixture.client, 0, 77), CS_OK);
		assert_int_equal(
		    os_client_prove(fixture.client, 0, 78), CS_E_CONFLICT);
		run_until_calls(&fixture, 3);
		assert_string_equal(
		    fixture.paths[2], "/objects/servers?watch=9&wait_ms=0");
		while (fixture.calls < 4 &&
		       os_client_prove(fixture.client, 0, 79) != CS_OK) {
			assert_true(++iterations < LOOP_ITERATIONS_MAX);
			uv_run(&fixture.loop, UV_RUN_ONCE);
		}
		run_until_calls(&fixture, 4);
		if (strcmp(fixture.reported, row->reported) != 0 ||
		    strcmp(fixture.paths[3], row->next_path) != 0)
			fail_msg("%s: reported \"%s\", then requested \"%s\"",
			    row->name, fixture.reported, fixture.paths[3]);
		os_client_close(fixture.client);
	}
}

/*
 * What the store reported could not be kept. Guards against proofs from a
 * revision whose objects are not known.
 */
static void
test_lost_report_is_listed_again(void **state)
{
	static const struct response responses[] = {
	    {IN_ERA(1, 200), LIST(ITEM("a", "9"), "9")},
	    {IN_ERA(1, 200), EVENTS(CHANGED("b", "12"), "12")},
	    {IN_ERA(1, 200), LIST(ITEM("b", "12"), "12")}};
	static struct fixture fixture;

	(void)state;
	set_up(&fixture, responses, 3);
	fixture.loses_changes = true;
	os_client_follow(fixture.client, true);
	run_until_calls(&fixture, 2);
	while (strstr(fixture.reported, "new@") == NULL)
		uv_run(&fixture.loop, UV_RUN_ONCE);
	assert_int_equal(os_client_prove(fixture.client, 0, 77), CS_E_STALE);
	assert_false(os_client_is_current(fixture.client));
	run_until_calls(&fixture, 4);
	assert_string_equal(fixture.paths[2], "/objects/servers");
	assert_string_equal(
	    fixture.paths[3], "/objects/servers?watch=12&wait_ms=25000");
	os_client_close(fixture.client);
}

/*
 * The connection of a watch falls silent for good while others work: checks
 * show what it should have reported. Guards against a configuration that is in
 * force only when the watch times out (CONFIG).
 */
#define CHECKS_MAX 5 /* in 2 s, the users' bound for a change in force */

struct check_case {
	const char *name;
	int check_status;
	const char *check_body;
	uint32_t checks; /* until then */
	const char *reported;
	uint32_t calls;
	const char *last_path;
};

static const struct check_case check_cases[] = {
    {"changes are reported at once, the watch may still respond", 200,
	EVENTS(CHANGED("a", "10"), "12"), 2, "all@9; new@12 +a; ", 2,
	"/objects/servers?watch=9&wait_ms=25000"},
    {"seen twice: the watch is dead, lists again", 200,
	EVENTS(CHANGED("a", "10"), "12"), 3, "all@9; new@12 +a; all@12 +a; ", 4,
	"/objects/servers?watch=12&wait_ms=25000"},
    {"the history is lost, seen twice: lists again", 410, "{}", 3,
	"all@9; all@12 +a; ", 4, "/objects/servers?watch=12&wait_ms=25000"},
    {"no changes", 200, EVENTS("", "12"), 4, "all@9; ", 2,
	"/objects/servers?watch=9&wait_ms=25000"},
    {"stale", 200, EVENTS(CHANGED("a", "7"), "8"), 4, "all@9; ", 2,
	"/objects/servers?watch=9&wait_ms=25000"},
    {"not a list of changes", 200, "{}", 4, "all@9; ", 2,
	"/objects/servers?watch=9&wait_ms=25000"},
    {"of a new era, with no changes: lists again", IN_ERA(1, 200),
	EVENTS("", "9"), 2, "all@9; era 1; all@1:12 +a; ", 4,
	"/objects/servers?watch=12&wait_ms=25000"},
    {"of a new era, without the history: lists again", IN_ERA(1, 410), "{}", 2,
	"all@9; era 1; all@1:12 +a; ", 4,
	"/objects/servers?watch=12&wait_ms=25000"},
};

static void
test_checks_find_a_watch_that_is_silent(void **state)
{
	static const struct response responses[] = {{200, LIST("", "9")},
	    {-1, NULL}, {200, LIST(ITEM("a", "10"), "12")}, {-1, NULL}};
	static const struct response restored[] = {{200, LIST("", "9")},
	    {-1, NULL}, {IN_ERA(1, 200), LIST(ITEM("a", "10"), "12")},
	    {-1, NULL}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(check_cases) / sizeof(check_cases[0]); i++) {
		const struct check_case *row = &check_cases[i];
		static struct fixture fixture;
		uint32_t iterations = 0;

		set_up(&fixture,
		    row->check_status > IN_ERA(1, 0) ? restored : responses, 4);
		fixture.check_status = row->check_status;
		fixture.check_body = row->check_body;
		os_client_follow(fixture.client, true);
		while (fixture.checks < row->checks ||
		       fixture.calls < row->calls) {
			if (++iterations > LOOP_ITERATIONS_MAX)
				fail_msg("%s: hung after %u calls", row->name,
				    fixture.calls);
			uv_run(&fixture.loop, UV_RUN_ONCE);
		}
		if (fixture.checks > CHECKS_MAX)
			fail_msg("%s: only after %u checks", row->name,
			    fixture.checks);
		if (strcmp(fixture.reported, row->reported) != 0 ||
		    fixture.calls != row->calls ||
		    strcmp(fixture.paths[row->calls - 1], row->last_path) != 0)
			fail_msg("%s: reported \"%s\", then requested \"%s\"",
			    row->name, fixture.reported,
			    fixture.paths[fixture.calls - 1]);
		os_client_close(fixture.client);
	}
}

/* Calls on objects: the responses, the reported result and the paths. */
struct object_case {
	const char *name;
	enum { READ, AWAIT, WRITE, REMOVE, LIST_ALL } call;
	uint64_t revision; /* known or expected */
	struct response responses[3];
	uint32_t count;
	const char *reported;
	const char *paths[3];
};

#define OBJECT(name, revision)                                        \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision \
	"},\"spec\":{\"v\":1}}"

#define REVISION(era, number) \
	((UINT64_C(era) << OS_REVISION_NUMBER_BITS) | UINT64_C(number))

static const struct object_case object_cases[] = {
    {"read", READ, 0, {{200, OBJECT("x", "4")}}, 1, "0@4 {\"v\":1}",
	{"/objects/k/x"}},
    {"read of a missing object", READ, 0, {{404, "{}"}}, 1, "-3@0 ",
	{"/objects/k/x"}},
    {"503: the call had no effect", READ, 0, {{503, "{}"}}, 1, "-5@0 ",
	{"/objects/k/x"}},
    {"429: the call had no effect", WRITE, 7, {{429, "{}"}}, 1, "-5@0 ",
	{"PUT /objects/k/x"}},
    {"500: the outcome is unknown", WRITE, 7, {{500, "{}"}}, 1, "-6@0 ",
	{"PUT /objects/k/x"}},
    {"a response that is not JSON", READ, 0, {{200, "<html>"}}, 1, "-6@0 ",
	{"/objects/k/x"}},
    {"update of one revision", WRITE, 7, {{200, OBJECT("x", "8")}}, 1,
	"0@8 {\"v\":1}", {"PUT /objects/k/x"}},
    {"update that conflicts with another update", WRITE, 7,
	{{409, OBJECT("x", "9")}}, 1, "-4@0 ", {"PUT /objects/k/x"}},
    {"must not exist", WRITE, OS_MUST_NOT_EXIST, {{409, OBJECT("x", "9")}}, 1,
	"-4@0 ", {"POST /objects/k"}},
    {"any revision, and the object does not exist", WRITE, OS_ANY_REVISION,
	{{404, "{}"}, {200, OBJECT("x", "3")}}, 2, "0@3 {\"v\":1}",
	{"PUT /objects/k/x", "POST /objects/k"}},
    {"remove", REMOVE, 0, {{200, "{}"}}, 1, "0@0 ", {"DELETE /objects/k/x"}},
    {"await without a known revision: reads", AWAIT, 0,
	{{200, OBJECT("x", "4")}}, 1, "0@4 {\"v\":1}", {"/objects/k/x"}},
    {"await: changes of other objects are ignored", AWAIT, 4,
	{{200, EVENTS(CHANGED("y", "6"), "6")},
	    {200, EVENTS(CHANGED("x", "8"), "8")}},
	2, "0@8 {\"v\":1}",
	{"/objects/k?watch=4&wait_ms=", "/objects/k?watch=6&wait_ms="}},
    {"await: a change under a name that is too long is ignored", AWAIT, 4,
	{{200, EVENTS(CHANGED(LONG_NAME, "6"), "6")},
	    {200, EVENTS(CHANGED("x", "8"), "8")}},
	2, "0@8 {\"v\":1}",
	{"/objects/k?watch=4&wait_ms=", "/objects/k?watch=6&wait_ms="}},
    {"await: a change without a name is ignored", AWAIT, 4,
	{{200, EVENTS("{\"deleted\":false,\"object\":7}", "6")},
	    {200, EVENTS(CHANGED("x", "8"), "8")}},
	2, "0@8 {\"v\":1}",
	{"/objects/k?watch=4&wait_ms=", "/objects/k?watch=6&wait_ms="}},
    {"await: an event without an object is ignored", AWAIT, 4,
	{{200, EVENTS("{},7", "6")}, {200, EVENTS(CHANGED("x", "8"), "8")}}, 2,
	"0@8 {\"v\":1}",
	{"/objects/k?watch=4&wait_ms=", "/objects/k?watch=6&wait_ms="}},
    {"await: no change", AWAIT, 4, {{200, EVENTS("", "6")}}, 1, "-8@0 ",
	{"/objects/k?watch=4&wait_ms="}},
    {"await: removed", AWAIT, 4, {{200, EVENTS(DELETED("x", "4"), "9")}}, 1,
	"-3@0 ", {"/objects/k?watch=4&wait_ms="}},
    {"await: 410 (history lost): reads", AWAIT, 4,
	{{410, "{}"}, {200, OBJECT("x", "9")}}, 2, "0@9 {\"v\":1}",
	{"/objects/k?watch=4&wait_ms=", "/objects/k/x"}},
    {"list, page by page", LIST_ALL, 0,
	{{200, "{\"items\":[" OBJECT("a", "4") "],\"more\":true,"
					       "\"store_revision\":9}"},
	    {200, LIST(OBJECT("b", "8"), "11")}},
	2, "0 a={\"v\":1} b={\"v\":1}", {"/objects/k", "/objects/k?after=a"}},
    {"list: a page whose only name is too long does not end it", LIST_ALL, 0,
	{{200, PAGE(OBJECT(LONG_NAME, "4"), "9")},
	    {200, LIST(OBJECT("b", "8"), "11")}},
	2, "0 b={\"v\":1}", {"/objects/k", "/objects/k?after=" LONG_NAME}},
    {"list: the same page again", LIST_ALL, 0,
	{{200, PAGE(OBJECT("a", "4"), "9")},
	    {200, PAGE(OBJECT("a", "4"), "9")}},
	2, "-6", {"/objects/k", "/objects/k?after=a"}},
    {"list: a page without any name", LIST_ALL, 0, {{200, PAGE("{},7", "9")}},
	1, "-6", {"/objects/k"}},
    {"await in a new era: reads, whatever its revision", AWAIT, REVISION(1, 4),
	{{IN_ERA(2, 200), EVENTS("", "6")}, {IN_ERA(2, 200), OBJECT("x", "4")}},
	2, "0@2:4 {\"v\":1}", {"/objects/k?watch=4&wait_ms=", "/objects/k/x"}},
    {"update in a new era: its outcome must be read back", WRITE,
	REVISION(1, 7), {{IN_ERA(2, 200), OBJECT("x", "8")}}, 1, "-6@0 ",
	{"PUT /objects/k/x"}},
    {"list: pages of two eras", LIST_ALL, 0,
	{{IN_ERA(1, 200),
	     "{\"items\":[" OBJECT("a", "4") "],\"more\":true,"
					     "\"store_revision\":9}"},
	    {IN_ERA(2, 200), LIST(OBJECT("b", "8"), "9")},
	    {IN_ERA(2, 200), LIST(OBJECT("c", "2"), "9")}},
	3, "0 c={\"v\":1}", {"/objects/k", "/objects/k?after=a", "/objects/k"}},
    {"list: 503", LIST_ALL, 0, {{503, "{}"}}, 1, "-5", {"/objects/k"}},
};

static void
on_object(const struct os_object *object, void *user)
{
	struct fixture *fixture = user;

	snprintf(fixture->reported, sizeof(fixture->reported), "%d@%s %s",
	    object->error, revision_text(object->revision), object->value);
}

static void
on_list(
    int error, const struct os_listed_object *list, uint32_t count, void *user)
{
	struct fixture *fixture = user;
	size_t used = (size_t)sprintf(fixture->reported, "%d", error);
	uint32_t i;

	for (i = 0; i < count; i++)
		used += (size_t)snprintf(fixture->reported + used,
		    sizeof(fixture->reported) - used, " %s=%s", list[i].name,
		    list[i].value);
}

static void
start_call(struct os_objects *objects, const struct object_case *row,
    struct fixture *fixture)
{
	switch (row->call) {
	case READ:
		os_read(objects, "k", "x", on_object, fixture);
		break;
	case AWAIT:
		os_wait_for_change(
		    objects, "k", "x", row->revision, on_object, fixture);
		break;
	case WRITE:
		os_write(objects, "k", "x", row->revision, "{\"v\":1}",
		    on_object, fixture);
		break;
	case REMOVE:
		os_remove(objects, "k", "x", on_object, fixture);
		break;
	case LIST_ALL:
		os_list(objects, "k", on_list, fixture);
		break;
	}
}

static void
test_object_calls_report_their_result(void **state)
{
	size_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(object_cases) / sizeof(object_cases[0]); i++) {
		const struct object_case *row = &object_cases[i];
		static struct fixture fixture;
		struct sockaddr_in address;
		struct os_objects *objects;

		set_up(&fixture, row->responses, row->count);
		uv_ip4_addr(
		    "127.0.0.1", h1_server_port(fixture.server), &address);
		objects = os_objects_create(&fixture.loop, &address, &pl_codec);
		start_call(objects, row, &fixture);
		run_until_reported(&fixture);
		if (strcmp(fixture.reported, row->reported) != 0)
			fail_msg(
			    "%s: reported \"%s\"", row->name, fixture.reported);
		assert_int_equal(fixture.calls, row->count);
		for (k = 0; k < row->count; k++) {
			if (strncmp(fixture.paths[k], row->paths[k],
				strlen(row->paths[k])) != 0)
				fail_msg("%s: requested \"%s\"", row->name,
				    fixture.paths[k]);
		}
		os_objects_close(objects);
		os_client_close(fixture.client);
	}
}

struct era_log {
	struct fixture *fixture;
	char text[64];
};

static void
on_era(uint64_t era, void *user)
{
	struct era_log *log = user;
	size_t used = strlen(log->text);

	assert_string_equal(log->fixture->reported, ""); /* before the result */
	snprintf(log->text + used, sizeof(log->text) - used, " %llu",
	    (unsigned long long)era);
}

/*
 * A VM learns of a restore from any response, also from a refusal, before it
 * acts on the response; an outage is no era.
 */
static void
test_objects_report_eras_before_results(void **state)
{
	static const struct response responses[] = {{200, OBJECT("x", "4")},
	    {IN_ERA(1, 200), OBJECT("x", "4")},
	    {IN_ERA(1, 200), OBJECT("x", "5")}, {503, "{}"},
	    {IN_ERA(2, 409), OBJECT("x", "3")}};
	static struct fixture fixture;
	struct era_log log = {.fixture = &fixture};
	struct sockaddr_in address;
	struct os_objects *objects;
	uint32_t i;

	(void)state;
	set_up(&fixture, responses, 5);
	uv_ip4_addr("127.0.0.1", h1_server_port(fixture.server), &address);
	objects = os_objects_create(&fixture.loop, &address, &pl_codec);
	os_objects_on_era(objects, on_era, &log);
	for (i = 0; i < 5; i++) {
		fixture.reported[0] = '\0';
		os_write(objects, "k", "x", OS_MUST_NOT_EXIST, "{}", on_object,
		    &fixture);
		run_until_reported(&fixture);
	}
	assert_string_equal(log.text, " 0 1 2");
	os_objects_close(objects);
	os_client_close(fixture.client);
}

/* A write without a response times out, and may have had an effect. */
static void
test_unanswered_write_ends_with_unknown_result(void **state)
{
	static const struct response no_response = {-1, NULL};
	static struct fixture fixture;
	struct sockaddr_in address;
	struct os_objects *objects;

	(void)state;
	set_up(&fixture, &no_response, 1);
	uv_ip4_addr("127.0.0.1", h1_server_port(fixture.server), &address);
	objects = os_objects_create(&fixture.loop, &address, &pl_codec);
	os_write(objects, "k", "x", 7, "{}", on_object, &fixture);
	run_until_reported(&fixture);
	assert_string_equal(fixture.reported, "-6@0 ");
	os_objects_close(objects);
	os_client_close(fixture.client);
}

/*
 * The connection of a watch falls silent for good: nothing but its timeout
 * shows it, and a change must be in force within the users' bound. Guards
 * against a configuration that `entry` learned 22 s late (CONFIG).
 */
#define IN_FORCE_MS_MAX 8000

static void
test_silent_watch_of_an_object_ends_within_the_bound(void **state)
{
	static const struct response no_response = {-1, NULL};
	static struct fixture fixture;
	struct sockaddr_in address;
	struct os_objects *objects;
	uint64_t start_ms;

	(void)state;
	set_up(&fixture, &no_response, 1);
	uv_ip4_addr("127.0.0.1", h1_server_port(fixture.server), &address);
	objects = os_objects_create(&fixture.loop, &address, &pl_codec);
	uv_update_time(&fixture.loop);
	start_ms = uv_now(&fixture.loop);
	os_wait_for_change(objects, "k", "x", 4, on_object, &fixture);
	run_until_reported(&fixture);
	assert_string_equal(fixture.reported, "-6@0 ");
	assert_true(uv_now(&fixture.loop) - start_ms < IN_FORCE_MS_MAX);
	os_objects_close(objects);
	os_client_close(fixture.client);
}

/* An overlong name is not truncated to another object's name: nothing is sent.
 */
static void
test_overlong_object_name_is_rejected_unsent(void **state)
{
	static const struct response unused_response = {200, "{}"};
	static struct fixture fixture;
	char name[OS_NAME_BYTES_MAX + 1];
	struct sockaddr_in address;
	struct os_objects *objects;

	(void)state;
	memset(name, 'x', OS_NAME_BYTES_MAX);
	name[OS_NAME_BYTES_MAX] = '\0';
	set_up(&fixture, &unused_response, 1);
	uv_ip4_addr("127.0.0.1", h1_server_port(fixture.server), &address);
	objects = os_objects_create(&fixture.loop, &address, &pl_codec);
	os_remove(objects, "k", name, on_object, &fixture);
	run_until_reported(&fixture);
	assert_string_equal(fixture.reported, "-1@0 ");
	assert_int_equal(os_objects_calls(objects), 0);
	os_objects_close(objects);
	os_client_close(fixture.client);
}

static struct os_change
make_change(const char *name, uint64_t revision, bool deleted)
{
	struct os_change change = {.revision = revision,
	    .deleted = deleted,
	    .text = "{}",
	    .text_length = 2};

	cs_copy_text(change.name, sizeof(change.name), name);
	return change;
}

static uint32_t
apply(struct os_cache *cache, bool snapshot, uint64_t revision,
    struct os_change *changes, uint32_t count)
{
	struct os_batch batch = {
	    .changes = changes, .count = count, .revision = revision};
	struct os_batch out;
	int error = snapshot ? os_cache_apply_snapshot(cache, 0, &batch, &out)
			     : os_cache_apply_changes(cache, 0, &batch, &out);
	uint32_t change_count = error == CS_OK ? out.count : 99;

	free(out.changes);
	return change_count;
}

static void
test_cache_applies_only_newer_revisions(void **state)
{
	struct os_cache *cache = os_cache_create();
	struct os_change two[] = {
	    make_change("a", 3, false), make_change("b", 4, false)};
	struct os_change old[] = {make_change("a", 2, false)};
	struct os_change newer[] = {make_change("a", 7, false)};
	struct os_change deleted[] = {make_change("b", 8, true)};
	struct os_batch since;
	bool snapshot;

	(void)state;
	assert_int_equal(apply(cache, true, 5, two, 2), 2);
	assert_int_equal(apply(cache, true, 5, two, 2), 0);
	assert_int_equal(apply(cache, false, 6, old, 1), 0);
	assert_int_equal(apply(cache, false, 7, newer, 1), 1);
	assert_int_equal(apply(cache, false, 8, deleted, 1), 1);
	assert_int_equal(apply(cache, false, 8, deleted, 1), 0);
	/* An older snapshot is rejected. */
	assert_int_equal(apply(cache, true, 5, two, 2), 99);
	assert_int_equal(os_cache_revision(cache, 0), 8);

	assert_int_equal(
	    os_cache_changes_since(cache, 0, 6, &since, &snapshot), CS_OK);
	assert_false(snapshot);
	assert_int_equal(since.count, 2); /* a changed, b was deleted */
	free(since.changes);
	/* Deletions before the first snapshot are unknown. */
	assert_int_equal(
	    os_cache_changes_since(cache, 0, 4, &since, &snapshot), CS_OK);
	assert_true(snapshot);
	assert_int_equal(since.count, 1);
	free(since.changes);

	/* An object that a snapshot lacks has been deleted. */
	assert_int_equal(apply(cache, true, 9, newer, 0), 1);
	os_cache_free(cache);
}

/*
 * The store came back from an older copy twice and gave each revision out
 * again: equal numbers are other states, and lower ones are later.
 */
static void
test_cache_orders_revisions_of_restored_stores(void **state)
{
	struct os_cache *cache = os_cache_create();
	struct os_change two[] = {make_change("a", os_revision(1, 80), false),
	    make_change("b", os_revision(1, 90), false)};
	struct os_change again[] = {
	    make_change("a", os_revision(2, 80), false)};
	struct os_change third[] = {
	    make_change("a", os_revision(3, 40), false)};
	struct os_batch since;
	bool snapshot;

	(void)state;
	assert_int_equal(apply(cache, true, os_revision(1, 90), two, 2), 2);
	/* b was created in the lost span. */
	assert_int_equal(apply(cache, true, os_revision(2, 80), again, 1), 2);
	assert_int_equal(apply(cache, false, os_revision(1, 95), two, 2), 0);
	assert_int_equal(apply(cache, true, os_revision(1, 95), two, 2), 99);
	assert_int_equal(apply(cache, false, os_revision(3, 40), third, 1), 1);
	assert_true(os_cache_revision(cache, 0) == os_revision(3, 40));
	/* A follower that missed both restores. */
	assert_int_equal(os_cache_changes_since(
			     cache, 0, os_revision(1, 90), &since, &snapshot),
	    CS_OK);
	assert_int_equal(since.count, snapshot ? 1 : 2);
	free(since.changes);
	os_cache_free(cache);
}

/* An object that is created again is not reported as deleted. */
static void
test_cache_keeps_recreated_object(void **state)
{
	struct os_cache *cache = os_cache_create();
	struct os_change first[] = {make_change("a", 3, false)};
	struct os_change recreated[] = {
	    make_change("a", 9, true), make_change("a", 8, false)};
	struct os_batch since;
	bool snapshot;

	(void)state;
	apply(cache, true, 5, first, 1);
	assert_int_equal(apply(cache, false, 9, recreated, 2), 2);
	assert_int_equal(
	    os_cache_changes_since(cache, 0, 6, &since, &snapshot), CS_OK);
	assert_int_equal(since.count, 1);
	assert_false(since.changes[0].deleted);
	free(since.changes);
	os_cache_free(cache);
}

/*
 * A watch may report several changes of an object at once: only the text of the
 * last one is still valid. From incident inc-47bf of the users' csp-coop: 143
 * configurations of a storm were refused, because freed text was read.
 */
static void
test_cache_reports_the_last_of_several_changes_of_an_object(void **state)
{
	struct os_cache *cache = os_cache_create();
	struct os_change changes[] = {make_change("a", 3, false),
	    make_change("b", 4, false), make_change("a", 5, false),
	    make_change("b", 6, true)};
	struct os_batch batch = {.changes = changes, .count = 4, .revision = 6};
	struct os_batch out;

	(void)state;
	changes[0].text = "{1}";
	changes[2].text = "{2}";
	changes[0].text_length = changes[2].text_length = 3;
	assert_int_equal(os_cache_apply_changes(cache, 0, &batch, &out), CS_OK);
	assert_int_equal(out.count, 2);
	assert_string_equal(out.changes[0].name, "a");
	assert_string_equal(out.changes[0].text, "{2}");
	assert_int_equal(out.changes[0].revision, 5);
	assert_string_equal(out.changes[1].name, "b");
	assert_true(out.changes[1].deleted);
	free(out.changes);
	os_cache_free(cache);
}

/*
 * There is no memory for one object of a batch. Guards against a revision that
 * counts as known without it: a proof that all keys are known would follow.
 */
static void
test_cache_keeps_no_revision_without_its_objects(void **state)
{
	struct os_cache *cache = os_cache_create();
	struct os_change known[] = {make_change("a", 3, false)};
	struct os_change changes[] = {
	    make_change("a", 5, false), make_change("b", 6, false)};
	struct os_batch batch = {.changes = changes, .count = 2, .revision = 7};
	struct os_batch out;
	uint64_t revision;

	(void)state;
	assert_int_equal(apply(cache, true, 4, known, 1), 1);
	changes[0].text = "{1}";
	changes[0].text_length = 3;
	changes[1].text_length = SIZE_MAX / 4; /* cannot be allocated */
	assert_int_equal(
	    os_cache_apply_changes(cache, 0, &batch, &out), CS_E_SYSTEM);
	free(out.changes);
	assert_int_equal(
	    os_cache_apply_snapshot(cache, 0, &batch, &out), CS_E_SYSTEM);
	free(out.changes);
	assert_int_equal(os_cache_revision(cache, 0), 4);
	assert_string_equal(os_cache_find(cache, 0, "a", &revision), "{}");
	assert_int_equal(revision, 3);
	changes[1].text_length = 2;
	assert_int_equal(apply(cache, false, 7, changes, 2), 2);
	assert_int_equal(os_cache_revision(cache, 0), 7);
	os_cache_free(cache);
}

/*
 * A node that lists after an outage takes no removals for a while. If it stops
 * watching meanwhile, its next leader tells it of them.
 */
static void
test_removal_that_was_ignored_comes_from_the_next_leader(void **state)
{
	struct os_cache *former = os_cache_create(),
			*leader = os_cache_create();
	struct os_change objects[] = {
	    make_change("a", 3, false), make_change("b", 4, false)};
	struct os_change remaining[] = {make_change("a", 3, false)};
	struct os_change removal[] = {make_change("b", 8, true)};
	struct os_batch before = {
	    .revision = 5, .count = 2, .changes = objects};
	struct os_batch list = {
	    .revision = 9, .count = 1, .changes = remaining};
	struct os_batch removals = {
	    .revision = 8, .count = 1, .changes = removal};
	struct os_batch out, update;
	bool is_snapshot;

	(void)state;
	os_cache_apply_snapshot(former, 0, &before, &out);
	free(out.changes);
	os_cache_apply_snapshot(leader, 0, &before, &out);
	free(out.changes);

	assert_int_equal(
	    os_cache_without_removals(former, 0, &list, &update), CS_OK);
	os_cache_apply_changes(former, 0, &update, &out);
	free(update.changes);
	free(out.changes);
	os_cache_apply_changes(leader, 0, &removals, &out);
	free(out.changes);

	assert_int_equal(
	    os_cache_changes_since(
		leader, 0, os_cache_revision(former, 0), &update, &is_snapshot),
	    CS_OK);
	assert_int_equal(update.count, 1);
	assert_string_equal(update.changes[0].name, "b");
	assert_true(update.changes[0].deleted);
	free(update.changes);
	os_cache_free(former);
	os_cache_free(leader);
}

/* Events in the order of their revisions; 0: the end of the row. */
struct removal_case {
	const char *events;
	const char *store_revision;
	uint64_t revisions[5]; /* of the changes */
};

static const struct removal_case removal_cases[] = {
    {DELETED("a", "3"), "20", {20}},
    {DELETED("a", "3") "," CHANGED("b", "8"), "20", {7, 8}},
    {CHANGED("b", "8") "," DELETED("a", "3"), "20", {8, 20}},
    {DELETED("a", "3") "," CHANGED("a", "8"), "20", {7, 8}},
    {DELETED("a", "3") "," DELETED("b", "4") "," CHANGED("a", "8") "," DELETED(
	 "c", "2") "," CHANGED("b", "12"),
	"20", {7, 7, 8, 11, 12}},
    {CHANGED("a", "8") "," DELETED("a", "8") "," CHANGED("b", "10") "," DELETED(
	 "b", "10"),
	"20", {8, 9, 10, 20}},
    /* Not in order: never before the last change of what was removed. */
    {DELETED("a", "9") "," CHANGED("b", "8"), "20", {9, 8}},
};

static struct os_batch
parse_events(const char *events, const char *store_revision)
{
	char body[2048];
	int length = snprintf(body, sizeof(body),
	    "{\"events\":[%s],\"store_revision\":%s}", events, store_revision);
	struct os_batch batch;

	assert_in_range(length, 1, sizeof(body) - 1);
	assert_int_equal(pl_codec.parse_events(
			     &(struct os_text){body, (size_t)length}, &batch),
	    CS_OK);
	return batch;
}

/*
 * Guards against removals that count as made at the store's latest revision:
 * they undo what was created again since.
 */
static void
test_removals_have_the_revision_of_their_event(void **state)
{
	size_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < sizeof(removal_cases) / sizeof(removal_cases[0]); i++) {
		const struct removal_case *row = &removal_cases[i];
		struct os_batch batch =
		    parse_events(row->events, row->store_revision);

		for (k = 0; k < batch.count; k++) {
			if (batch.changes[k].revision != row->revisions[k])
				fail_msg("row %zu, change %u: %llu", i, k,
				    (unsigned long long)batch.changes[k]
					.revision);
		}
		os_batch_free(&batch);
	}
}

/* What a cache knows, then events that it has partly seen before. */
struct replay_case {
	const char *name;
	struct os_change known[2];
	uint64_t known_revision;
	const char *events;
	const char *left; /* names of the objects afterwards */
};

#define REMOVED_AND_BACK DELETED("a", "3") "," CHANGED("a", "8")

static const struct replay_case replay_cases[] = {
    {"a watch from an older revision", {{.name = "a", .revision = 8}}, 12,
	REMOVED_AND_BACK, "a"},
    {"a second source at the same revision", {{.name = "a", .revision = 8}}, 9,
	REMOVED_AND_BACK, "a"},
    {"the list's second page was later than its first",
	{{.name = "a", .revision = 8}}, 6, REMOVED_AND_BACK, "a"},
    {"several times",
	{{.name = "a", .revision = 8}, {.name = "b", .revision = 5}}, 12,
	DELETED("a", "1") "," CHANGED("a", "3") "," DELETED(
	    "a", "3") "," DELETED("b", "2") "," CHANGED("b",
	    "5") "," CHANGED("a", "8"),
	"ab"},
    {"nothing seen", {{.name = "a", .revision = 3}}, 4, REMOVED_AND_BACK, "a"},
    {"removed at last", {{.name = "a", .revision = 8}}, 9,
	REMOVED_AND_BACK "," DELETED("a", "8"), ""},
    {"removed, with another's change after it",
	{{.name = "a", .revision = 3}, {.name = "b", .revision = 2}}, 4,
	DELETED("a", "3") "," CHANGED("b", "8"), "b"},
};

/*
 * Guards against an evacuation, or the targets of a whole region, that are lost
 * when a VM replays events from an older revision than its cache has: when it
 * begins to watch, after a check, or with a second leader.
 */
static void
test_replayed_events_keep_what_was_created_again(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(replay_cases) / sizeof(replay_cases[0]); i++) {
		const struct replay_case *row = &replay_cases[i];
		struct os_cache *cache = os_cache_create();
		struct os_batch batch = parse_events(row->events, "14"), out;
		struct os_change known[2];
		char left[3] = "";
		uint64_t revision;
		uint32_t k, count = 0;

		for (; count < 2 && row->known[count].revision > 0; count++)
			known[count] = make_change(row->known[count].name,
			    row->known[count].revision, false);
		apply(cache, true, row->known_revision, known, count);
		assert_int_equal(
		    os_cache_apply_changes(cache, 0, &batch, &out), CS_OK);
		free(out.changes);
		for (k = 0; k < 2; k++) {
			const char *name = k == 0 ? "a" : "b";

			if (os_cache_find(cache, 0, name, &revision) != NULL)
				strcat(left, name);
		}
		if (strcmp(left, row->left) != 0)
			fail_msg("%s: left \"%s\"", row->name, left);
		os_batch_free(&batch);
		os_cache_free(cache);
	}
}

/* A list of its own, then what others told, then it begins to follow. */
struct begin_case {
	const char *name;
	int status;	  /* of the list */
	uint64_t told;	  /* revision of the cache when it begins */
	const char *path; /* of the first call then */
};

static const struct begin_case begin_cases[] = {
    {"nothing newer was told", 200, 9, WATCH_OF("9")},
    {"the cache is behind its list", 200, 4, WATCH_OF("9")},
    {"others told of later changes", 200, 12, "/objects/servers"},
    {"others told of a later era", IN_ERA(1, 200),
	UINT64_C(2) << OS_REVISION_NUMBER_BITS | 3, "/objects/servers"},
};

/*
 * Guards against a VM that begins to watch from the list of its start, though
 * its cache has later changes from the leader before it.
 */
static void
test_following_begins_where_the_cache_is(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(begin_cases) / sizeof(begin_cases[0]); i++) {
		const struct begin_case *row = &begin_cases[i];
		const struct response responses[] = {
		    {row->status, LIST("", "9")}};
		static struct fixture fixture;

		set_up(&fixture, responses, 1);
		os_client_list_once(fixture.client);
		run_until_reported(&fixture);
		apply(fixture.cache, true, row->told, NULL, 0);
		os_client_follow(fixture.client, true);
		run_until_calls(&fixture, 2);
		if (strcmp(fixture.paths[1], row->path) != 0)
			fail_msg("%s: %s", row->name, fixture.paths[1]);
		os_client_close(fixture.client);
		os_cache_free(fixture.cache);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_follows_store_with_list_and_watch),
	    cmocka_unit_test(test_pages_are_read_to_the_end),
	    cmocka_unit_test(test_endless_lists_are_given_up),
	    cmocka_unit_test(test_endless_lists_of_vms_are_given_up),
	    cmocka_unit_test(test_store_proves_that_nothing_is_missing),
	    cmocka_unit_test(test_cache_keeps_no_revision_without_its_objects),
	    cmocka_unit_test(test_lost_report_is_listed_again),
	    cmocka_unit_test(test_checks_find_a_watch_that_is_silent),
	    cmocka_unit_test(test_object_calls_report_their_result),
	    cmocka_unit_test(test_objects_report_eras_before_results),
	    cmocka_unit_test(test_unanswered_write_ends_with_unknown_result),
	    cmocka_unit_test(
		test_silent_watch_of_an_object_ends_within_the_bound),
	    cmocka_unit_test(test_overlong_object_name_is_rejected_unsent),
	    cmocka_unit_test(test_cache_applies_only_newer_revisions),
	    cmocka_unit_test(test_cache_orders_revisions_of_restored_stores),
	    cmocka_unit_test(test_cache_keeps_recreated_object),
	    cmocka_unit_test(
		test_removal_that_was_ignored_comes_from_the_next_leader),
	    cmocka_unit_test(
		test_cache_reports_the_last_of_several_changes_of_an_object),
	    cmocka_unit_test(test_removals_have_the_revision_of_their_event),
	    cmocka_unit_test(test_replayed_events_keep_what_was_created_again),
	    cmocka_unit_test(test_following_begins_where_the_cache_is),
	};

	cs_log_open("error");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
