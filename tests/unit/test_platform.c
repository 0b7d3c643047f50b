/* Tests valid and invalid input for each document that platform/ reads. */
#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <jansson.h>

#include "../../platform/platform.h"

#define INFO                                                             \
	"\"info\":{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"z\"," \
	"\"slots\":4}"
#define STATUS                                                            \
	"\"status\":{\"state\":\"ready\",\"sequence\":4,\"warmup_left\":" \
	"\"0ms\"}"
#define SPEC(rest)                                                         \
	"{\"metadata\":{\"name\":\"i\"},\"spec\":{\"address\":\"10.0.0.9:" \
	"80\"," rest "}}"

struct target_case {
	const char *name;
	const char *object;
	const char *error_text; /* NULL: the object is valid */
};

static const struct target_case target_cases[] = {
    {"whole", SPEC(INFO "," STATUS ",\"born\":1700000000000"), NULL},
    {"status on a path of its own",
	"{\"spec\":{\"address\":\"10.0.0.9:80\"," INFO "}," STATUS "}", NULL},
    {"no born", SPEC(INFO "," STATUS), NULL},
    {"born is not a number", SPEC(INFO "," STATUS ",\"born\":\"x\""), "born"},
    {"an unknown state",
	SPEC(
	    INFO ",\"status\":{\"state\":\"sleeping\",\"warmup_left\":\"0s\"}"),
	"status.state"},
    {"no status", SPEC(INFO), "status.state"},
    {"a number as state",
	SPEC(INFO ",\"status\":{\"state\":1,\"warmup_left\":\"0s\"}"),
	"status.state"},
    {"no service", SPEC("\"info\":{\"zone\":\"z\",\"slots\":4}," STATUS),
	"info.service"},
    {"no zone", SPEC("\"info\":{\"service\":\"s\",\"slots\":4}," STATUS),
	"info.zone"},
    {"no slots", SPEC("\"info\":{\"service\":\"s\",\"zone\":\"z\"}," STATUS),
	"info.slots"},
    {"text as slots",
	SPEC("\"info\":{\"service\":\"s\",\"zone\":\"z\",\"slots\":\"4\"}"
	     "," STATUS),
	"info.slots"},
    {"negative slots",
	SPEC(
	    "\"info\":{\"service\":\"s\",\"zone\":\"z\",\"slots\":-4}," STATUS),
	"info.slots"},
    {"no port", "{\"spec\":{\"address\":\"10.0.0.9\"," INFO "," STATUS "}}",
	"address"},
    {"a name as address",
	"{\"spec\":{\"address\":\"host:80\"," INFO "," STATUS "}}", "address"},
    {"a port out of range",
	"{\"spec\":{\"address\":\"10.0.0.9:99999\"," INFO "," STATUS "}}",
	"address"},
    {"a duration without a unit",
	SPEC(INFO ",\"status\":{\"state\":\"ready\",\"warmup_left\":\"5\"}"),
	"status.warmup_left"},
    {"cut short", "{\"spec\":{\"address\":\"10.0.0.9:80\",", "info.service"},
    {"not an object", "[1]", "info.service"},
    {"empty text", "", "info.service"},
};

static void
test_read_target_reports_invalid_field(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(target_cases) / sizeof(target_cases[0]); i++) {
		const struct target_case *row = &target_cases[i];
		char error_text[PL_TEXT_BYTES_MAX] = "";
		struct pl_target target;
		int error =
		    pl_read_target("i", row->object, &target, error_text);

		if ((error == CS_OK) != (row->error_text == NULL) ||
		    (row->error_text != NULL &&
			strcmp(error_text, row->error_text) != 0))
			fail_msg("%s: %d \"%s\"", row->name, error, error_text);
	}
}

static const struct {
	const char *name;
	bool valid;
} id_cases[] = {
    {"i-7f3a91c2", true},
    {"a&b+c#d%e", true},
    {"a b", true},
    {"\xc3\xa9", true},
    {"i\r\nX-Field: v", false},
    {"i\nv", false},
    {"i\tv", false},
    {"i\x01", false},
    {"i\x7f", false},
    {" i", false},
    {"i ", false},
    {" ", false},
    {"", false},
};

/* Each request names its target in a header. */
static void
test_read_target_needs_a_name_for_a_header(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(id_cases) / sizeof(id_cases[0]); i++) {
		char error_text[PL_TEXT_BYTES_MAX] = "";
		struct pl_target target;
		int error = pl_read_target(id_cases[i].name,
		    SPEC(INFO "," STATUS), &target, error_text);

		if ((error == CS_OK) != id_cases[i].valid ||
		    (error != CS_OK && strcmp(error_text, "name") != 0))
			fail_msg("\"%s\": %d \"%s\"", id_cases[i].name, error,
			    error_text);
	}
}

static void
test_read_target_fills_fields(void **state)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_target target;

	(void)state;
	assert_int_equal(
	    pl_read_target("i",
		SPEC(INFO ",\"born\":17,\"status\":{\"state\":\"draining\","
			  "\"warmup_left\":\"2.5s\"}"),
		&target, error_text),
	    CS_OK);
	assert_string_equal(target.id, "i");
	assert_string_equal(target.pool, "s");
	assert_string_equal(target.data_centre, "z");
	assert_int_equal(ntohs(target.address.sin_port), 80);
	assert_int_equal(target.slots, 4);
	assert_int_equal(target.process_start_ms, 17);
	assert_int_equal(target.warm_up_left_ms, 2500);
	assert_true(target.draining);
}

#define LIMITS                                                       \
	"\"limits\":{\"header_bytes\":16384,\"body_bytes\":1048576," \
	"\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15s\"}"
#define CLUSTERS                                                     \
	"\"clusters\":[{\"name\":\"a\",\"health_path\":\"/health\"," \
	"\"max_conns\":220},{\"name\":\"b\",\"health_path\":\"/h\"}]"
#define RULE(kind, action)                                              \
	"{\"name\":\"r\",\"kind\":\"" kind "\",\"target_latency\":"     \
	"\"200ms\",\"priority\":2,\"match\":{\"path_prefix\":\"/p/\"}," \
	"\"action\":{" action "}}"
#define ACTION "\"service\":\"a\",\"timeout\":\"1s\",\"max_attempts\":2"
#define CONFIG(rules)                                                   \
	"{\"spec\":{\"version\":7," LIMITS ",\"listeners\":[{\"host\":" \
	"\"H.example\",\"rules\":[" rules "]}]," CLUSTERS "}}"

struct config_case {
	const char *name;
	const char *object;
	bool valid;
	const char *field; /* that is not valid in one part; NULL: none */
	bool refused;	   /* the route of /p/ */
};

static const struct config_case config_cases[] = {
    {"whole", CONFIG(RULE("safe", ACTION)), true, NULL, false},
    {"no rules", CONFIG(""), true, NULL, false},
    {"weights",
	CONFIG(RULE("unsafe",
	    "\"backends\":[{\"service\":\"a\",\"weight\":90},{\"service\":"
	    "\"b\",\"weight\":10}],\"timeout\":\"1s\",\"max_attempts\":2")),
	true, NULL, false},
    {"an unknown kind", CONFIG(RULE("often", ACTION)), true, "kind", false},
    {"no timeout", CONFIG(RULE("safe", "\"service\":\"a\"")), true,
	"action.timeout", true},
    {"an unknown cluster",
	CONFIG(RULE("safe", "\"service\":\"c\",\"timeout\":\"1s\"")), true,
	"action.service", true},
    {"one of two clusters is unknown",
	CONFIG(RULE("safe",
	    "\"backends\":[{\"service\":\"a\",\"weight\":90},{\"service\":"
	    "\"c\",\"weight\":10}],\"timeout\":\"1s\"")),
	true, "action.service", true},
    {"the same prefix twice",
	CONFIG(RULE("safe", ACTION) "," RULE("unsafe", ACTION)), true,
	"match.path_prefix", true},
    {"all weights are zero",
	CONFIG(RULE("safe", "\"backends\":[{\"service\":\"a\",\"weight\":0}],"
			    "\"timeout\":\"1s\"")),
	true, "action.service", true},
    {"no version", "{\"spec\":{" LIMITS "," CLUSTERS "}}", false, NULL, false},
    {"no limits", "{\"spec\":{\"version\":7," CLUSTERS "}}", false, NULL,
	false},
    {"clusters are no list",
	"{\"spec\":{\"version\":7," LIMITS ",\"clusters\":1e400}}", false, NULL,
	false},
    {"cut short", "{\"spec\":{\"version\":7,", false, NULL, false},
    {"cut short in a rule",
	"{\"spec\":{\"version\":7," LIMITS "," CLUSTERS
	",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"kind\":",
	false, NULL, false},
    {"brackets that do not match",
	"{\"spec\":{\"version\":7," LIMITS "," CLUSTERS
	",\"listeners\":[{\"host\":\"h\",\"rules\":[{]}]}}",
	false, NULL, false},
    {"text behind the object", CONFIG(RULE("safe", ACTION)) "}", false, NULL,
	false},
};

/* The listed field of one part is not valid, and only the route has it. */
static bool
shows_fault(const struct config_case *row, const struct rt_table *table,
    const struct pl_table_faults *faults)
{
	const struct rt_route *route = rt_table_find(table, "h.example", "/p/");

	if (faults->count != (row->field != NULL) ||
	    table->refused_parts != faults->count)
		return false;
	if (row->field != NULL &&
	    strcmp(faults->first[0].field, row->field) != 0)
		return false;
	return route == NULL ? !row->refused : route->refused == row->refused;
}

static void
test_read_table_rejects_invalid_config(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(config_cases) / sizeof(config_cases[0]); i++) {
		const struct config_case *row = &config_cases[i];
		char error_text[PL_TEXT_BYTES_MAX] = "";
		struct rt_table *table = NULL;
		struct pl_table_faults faults;
		int error =
		    pl_read_table(row->object, &table, &faults, error_text);

		if ((error == CS_OK) != row->valid ||
		    (row->valid && !shows_fault(row, table, &faults)))
			fail_msg("%s: %d \"%s\"", row->name, error, error_text);
		rt_table_unref(table);
	}
}

static void
test_read_table_fills_fields(void **state)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_table_faults faults;
	struct rt_table *table;
	const struct rt_route *route;

	(void)state;
	assert_int_equal(pl_read_table(CONFIG(RULE("unsafe", ACTION)), &table,
			     &faults, error_text),
	    CS_OK);
	assert_int_equal(faults.count, 0);
	assert_false(table->has_tenants);
	assert_int_equal(table->version, 7);
	assert_int_equal(table->limits.head_timeout_ms, 3000);
	assert_int_equal(table->limits.idle_timeout_ms, 15000);
	route = rt_table_find(table, "h.EXAMPLE:80", "/p/x?y=/z/");
	assert_non_null(route);
	assert_int_equal(route->kind, RT_NON_IDEMPOTENT);
	assert_int_equal(route->timeout_ms, 1000);
	assert_int_equal(route->objective_ms, 200);
	assert_int_equal(route->attempts_max, 2);
	assert_int_equal(route->priority, 2);
	assert_null(rt_table_find(table, "h.example", "/p"));
	assert_null(rt_table_find(table, "g.example", "/p/x"));
	rt_table_unref(table);
}

static const char settings_text[] =
    "{\"node_name\":\"vm-1\",\"zone\":\"z1\",\"region\":\"r1\","
    "\"zones\":{\"z1\":\"r1\",\"z2\":\"r2\"},"
    "\"listen\":{\"front\":\"10.1.0.34:8548\",\"ready\":\"10.1.0.34:8542\","
    "\"directory\":\"10.1.0.34:8546\"},\"internal_ports\":[7540,7555],"
    "\"seeds\":[\"10.1.0.35:8544\",\"bad\"],\"data_dir\":null,"
    "\"limits\":{\"memory_mb\":260,\"max_fds\":4100},"
    "\"bounds\":[\"grace=6s\",\"retry_budget_ratio=0.2\",\"new=1\","
    "\"retry_budget_slack=58\",\"ttl_max=5s\",\"probes_per_s=60\"],"
    "\"platform\":{\"address\":\"10.200.1.7:8541\"}}";

static int
read_settings(const char *text, struct pl_settings *out, char *error_text)
{
	char path[] = "/tmp/chervilshelf-settings-XXXXXX";
	int file = mkstemp(path), error;

	assert_true(file >= 0);
	assert_int_equal(
	    write(file, text, strlen(text)), (ssize_t)strlen(text));
	close(file);
	error = pl_settings_read(path, out, error_text);
	unlink(path);
	return error;
}

static void
test_settings_need_each_required_field(void **state)
{
	static const char *const required[] = {"node_name", "zone\"", "region",
	    "zones", "front", "ready", "directory", "internal_ports",
	    "address"};
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_settings settings;
	size_t i;

	(void)state;
	assert_int_equal(
	    read_settings(settings_text, &settings, error_text), CS_OK);
	assert_int_equal(settings.grace_ms, 6000);
	assert_int_equal(settings.data_centre_count, 2);
	assert_int_equal(settings.seed_count, 1);
	assert_int_equal(ntohs(settings.seeds[0].sin_port), 7540);
	assert_int_equal(ntohs(settings.fleet.sin_port), 7540);
	assert_true(settings.retry_slack == 58);
	for (i = 0; i < sizeof(required) / sizeof(required[0]); i++) {
		char text[sizeof(settings_text)], *at;

		strcpy(text, settings_text);
		at = strstr(text, required[i]);
		*at = 'X'; /* the field has another name */
		assert_int_equal(
		    read_settings(text, &settings, error_text), CS_E_INVALID);
		assert_non_null(strstr(error_text, "missing or not valid"));
	}
	assert_int_equal(
	    pl_settings_read("/tmp/none", &settings, error_text), CS_E_MISSING);
}

/* A bound that is missing or not legible leaves its feature as documented. */
static void
test_new_bounds_have_defaults(void **state)
{
	static const struct {
		const char *bound;
		struct pl_settings expected;
	} rows[] = {
	    {"new=1", {.keys_need_proof = false}},
	    {"strict_revoke=true",
		{.keys_need_proof = true, .key_removal_ms = 5000}},
	    {"strict_revoke=false", {.keys_need_proof = false}},
	    {"strict_revoke=true\",\"revoke=x",
		{.keys_need_proof = true, .key_removal_ms = 5000}},
	    {"strict_revoke=true\",\"revoke=3s",
		{.keys_need_proof = true, .key_removal_ms = 3000}},
	    {"quota_window=5s", {.quota_window_ms = 5000}},
	    {"quota_window=5s\",\"quota_excess=0.1\",\"quota_slack=20",
		{.quota_window_ms = 5000,
		    .quota_excess = 0.1,
		    .quota_slack = 20}},
	    {"quota_excess=nan\",\"quota_slack=-1", {.quota_excess = 0}},
	    {"cold_excess=1.5", {.cold_excess = 1.5}},
	    {"cold_excess=1.5\",\"cold_slack=8",
		{.cold_excess = 1.5, .cold_slack = 8}},
	    {"evacuate=5000ms", {.evacuate_ms = 5000}},
	    {"evacuate=soon", {.evacuate_ms = 0}},
	};
	char error_text[PL_TEXT_BYTES_MAX], text[2048];
	struct pl_settings settings;
	const char *at = strstr(settings_text, "new=1");
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const struct pl_settings *expected = &rows[i].expected;

		snprintf(text, sizeof(text), "%.*s%s%s",
		    (int)(at - settings_text), settings_text, rows[i].bound,
		    at + strlen("new=1"));
		assert_int_equal(
		    read_settings(text, &settings, error_text), CS_OK);
		if (settings.keys_need_proof != expected->keys_need_proof ||
		    settings.key_removal_ms != expected->key_removal_ms ||
		    settings.quota_window_ms != expected->quota_window_ms ||
		    settings.quota_excess != expected->quota_excess ||
		    settings.quota_slack != expected->quota_slack ||
		    settings.cold_excess != expected->cold_excess ||
		    settings.cold_slack != expected->cold_slack ||
		    settings.evacuate_ms != expected->evacuate_ms)
			fail_msg("%s", rows[i].bound);
	}
}

static void
test_durations_need_a_unit(void **state)
{
	int64_t ms = -1;

	(void)state;
	assert_int_equal(pl_duration_ms("1500ms", &ms), CS_OK);
	assert_int_equal(ms, 1500);
	assert_int_equal(pl_duration_ms("2.5s", &ms), CS_OK);
	assert_int_equal(ms, 2500);
	assert_int_equal(pl_duration_ms("2", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("s", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("-1s", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("1min", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("1e300s", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("nans", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("infms", &ms), CS_E_INVALID);
	assert_int_equal(pl_duration_ms("0x10s", &ms), CS_E_INVALID);
	assert_int_equal(
	    pl_duration_ms("99999999999999999999s", &ms), CS_E_INVALID);
}

#define GOOD_OBJECT(name)                                                     \
	"{\"metadata\":{\"name\":\"" name "\",\"revision\":5},\"spec\":{"     \
	"\"address\":\"10.0.0.1:80\",\"born\":1,\"info\":{\"service\":\"s\"," \
	"\"zone\":\"z1\",\"slots\":4}},\"status\":{\"state\":\"ready\","      \
	"\"warmup_left\":\"0ms\"}}"
#define ODD_OBJECT(address, slots, more)                                      \
	"{\"metadata\":{\"name\":\"odd\",\"revision\":6},\"spec\":{"          \
	"\"address\":\"" address "\",\"born\":1,\"info\":{\"service\":\"s\"," \
	"\"zone\":\"z1\",\"slots\":" slots "}},\"status\":{\"state\":"        \
	"\"ready\",\"warmup_left\":\"0ms\"}" more "}"
#define NESTING 100000

/* One change that a list or a watch has reported, by the name of its object. */
static const struct os_change *
find_change(const struct os_batch *batch, const char *name)
{
	uint32_t i;

	for (i = 0; i < batch->count; i++) {
		if (strcmp(batch->changes[i].name, name) == 0)
			return &batch->changes[i];
	}
	return NULL;
}

static bool
names_a_target(const struct os_change *change)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_target target;

	return change != NULL && pl_read_target(change->name, change->text,
				     &target, error_text) == CS_OK;
}

/* The odd entry names no target, also where it was one before. */
static void
check_odd_entry(const struct os_batch *batch)
{
	assert_int_equal(batch->revision, 9);
	assert_true(names_a_target(find_change(batch, "first")));
	assert_true(names_a_target(find_change(batch, "last")));
	assert_non_null(find_change(batch, "odd"));
	assert_false(names_a_target(find_change(batch, "odd")));
}

static void
check_list_and_watch(const char *odd, size_t odd_length)
{
	static const char list[] =
	    "{\"store_revision\":9,\"more\":false,\"items\":[";
	static const char watch[] = "{\"store_revision\":9,\"events\":["
				    "{\"deleted\":false,\"object\":";
	struct h1_bytes body = {.data = NULL};
	struct os_batch batch;
	char *after;

	h1_bytes_print(&body, "%s%s,", list, GOOD_OBJECT("first"));
	h1_bytes_add(&body, odd, odd_length);
	h1_bytes_print(&body, ",%s]}", GOOD_OBJECT("last"));
	assert_int_equal(
	    pl_codec.parse_list(
		&(struct os_text){body.data, body.length}, &batch, &after),
	    CS_OK);
	assert_null(after);
	check_odd_entry(&batch);
	os_batch_free(&batch);

	body.length = 0;
	h1_bytes_print(
	    &body, "%s%s},{\"object\":", watch, GOOD_OBJECT("first"));
	h1_bytes_add(&body, odd, odd_length);
	h1_bytes_print(&body, ",\"deleted\":false},{\"object\":%s}]}",
	    GOOD_OBJECT("last"));
	assert_int_equal(pl_codec.parse_events(
			     &(struct os_text){body.data, body.length}, &batch),
	    CS_OK);
	check_odd_entry(&batch);
	os_batch_free(&batch);
	h1_bytes_free(&body);
}

static const struct {
	const char *name;
	const char *encoded;
} name_cases[] = {
    {"front-nbo-a_1.2~", "front-nbo-a_1.2~"},
    {"a&after=b", "a%26after%3Db"},
    {"a+b", "a%2Bb"},
    {"a#b", "a%23b"},
    {"a%26", "a%2526"},
    {"a b", "a%20b"},
    {"a/b?c", "a%2Fb%3Fc"},
    {"a\r\nb", "a%0D%0Ab"},
    {"\xc3\xa9", "%C3%A9"},
};

/* Parses a page that ends with this name; returns where the list continues. */
static char *
end_page(const char *name)
{
	json_t *root =
	    json_pack("{s:i,s:b,s:[{s:{s:s,s:i}}]}", "store_revision", 9,
		"more", 1, "items", "metadata", "name", name, "revision", 5);
	char *body = json_dumps(root, 0), *after;
	struct os_batch page;

	assert_int_equal(
	    pl_codec.parse_list(
		&(struct os_text){body, strlen(body)}, &page, &after),
	    CS_OK);
	assert_non_null(after);
	os_batch_free(&page);
	free(body);
	json_decref(root);
	return after;
}

/* A name of another writer remains one name in a path and in a query. */
static void
test_names_are_encoded_in_paths(void **state)
{
	char path[OS_PATH_BYTES_MAX], expected[OS_PATH_BYTES_MAX];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(name_cases) / sizeof(name_cases[0]); i++) {
		const char *name = name_cases[i].name;
		const char *encoded = name_cases[i].encoded;
		char *after = end_page(name);

		assert_int_equal(
		    pl_codec.list_path(path, "servers", after), CS_OK);
		free(after);
		snprintf(expected, sizeof(expected),
		    "/objects/servers?after=%s", encoded);
		assert_string_equal(path, expected);
		assert_int_equal(pl_codec.object_path(path, "k", name), CS_OK);
		snprintf(expected, sizeof(expected), "/objects/k/%s", encoded);
		assert_string_equal(path, expected);
		assert_int_equal(pl_codec.check_path(path, "k", name), CS_OK);
		strcat(expected, "?allow_stale=1");
		assert_string_equal(path, expected);
	}
}

/* The longest kind and name that the client holds fit, encoded. */
static void
test_longest_names_fit_into_paths(void **state)
{
	char name[OS_NAME_BYTES_MAX], path[OS_PATH_BYTES_MAX], *after;

	(void)state;
	memset(name, '&', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	assert_int_equal(pl_codec.object_path(path, name, name), CS_OK);
	after = end_page(name);
	assert_int_equal(pl_codec.list_path(path, name, after), CS_OK);
	free(after);
	assert_int_equal(pl_codec.check_path(path, name, name), CS_OK);
}

static uint32_t allocations_left;

static void *
allocate_some(size_t size)
{
	if (size >= 64 && allocations_left-- == 0) {
		allocations_left = 0;
		return NULL;
	}
	return malloc(size);
}

/*
 * Memory runs out while events are read. Guards against a response that seems
 * to tell of no change: it would prove that all keys are known.
 */
static void
test_event_without_memory_is_no_empty_response(void **state)
{
	/* Short values: jansson itself has faults without memory for texts. */
	static const char body[] =
	    "{\"store_revision\":9,\"events\":[{\"deleted\":false,\"object\":"
	    "{\"metadata\":{\"name\":\"main\",\"revision\":9},\"spec\":{"
	    "\"b\":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21]}}}]"
	    "}";
	struct os_batch batch;
	uint32_t i, errors = 0;
	int error;

	(void)state;
	for (i = 0; i < 64; i++) {
		allocations_left = i;
		json_set_alloc_funcs(allocate_some, free);
		error = pl_codec.parse_events(
		    &(struct os_text){body, sizeof(body) - 1}, &batch);
		json_set_alloc_funcs(malloc, free);
		errors += error != CS_OK;
		if (error != CS_OK)
			continue;
		assert_int_equal(batch.count, 1);
		os_batch_free(&batch);
	}
	assert_true(errors > 0);
}

/* An entry of another writer costs that entry only. */
static void
test_odd_entry_leaves_the_others(void **state)
{
	static const char zero_byte[] =
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":\"a\0b\"");
	static const char *const rows[] = {
	    ODD_OBJECT("10.0.0.1:80", "18446744073709551616", ""),
	    ODD_OBJECT("10.0.0.1:80", "-1", ""),
	    ODD_OBJECT("10.0.0.1:80", "1e400", ""),
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":1e400"),
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":99999999999999999999"),
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":\"\\ud800\""),
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":\"\\u0000\""),
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":\"\xff\xfe\""),
	    ODD_OBJECT("10.0.0.1:80", "4", ",\"x\":\"\\\"]},\\\\\",\"y\":nul"),
	    ODD_OBJECT("10.0.0.1:70000", "4", ""),
	    ODD_OBJECT("10.0.0.1:-1", "4", ""),
	    ODD_OBJECT("10.0.0.1:99999999999999999999", "4", ""),
	    ODD_OBJECT("10.0.0.1:0", "4", ""),
	};
	struct h1_bytes nested = {.data = NULL};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		check_list_and_watch(rows[i], strlen(rows[i]));
	check_list_and_watch(zero_byte, sizeof(zero_byte) - 1);

	h1_bytes_print(&nested, "{\"metadata\":{\"name\":\"odd\"},\"spec\":");
	for (i = 0; i < NESTING; i++)
		h1_bytes_add(&nested, "[", 1);
	for (i = 0; i < NESTING; i++)
		h1_bytes_add(&nested, "]", 1);
	h1_bytes_add(&nested, "}", 1);
	check_list_and_watch(nested.data, nested.length);
	h1_bytes_free(&nested);
}

/* Reads what a target says of itself in a response with these headers. */
static struct bl_report
read_report_of(int status, const char *headers)
{
	struct h1_reader reader;
	struct bl_report report;
	char text[1024];
	size_t used;
	int length = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d Status\r\n%sContent-Length: 0\r\n\r\n", status,
	    headers);

	h1_reader_init(&reader, HTTP_RESPONSE, (struct h1_limits){4096, 4096});
	assert_int_equal(h1_reader_feed(&reader, text, (size_t)length, &used),
	    H1_READ_COMPLETE);
	pl_header_names.read_report(&reader.message, &report);
	h1_reader_free(&reader);
	return report;
}

static struct bl_report
read_report(const char *headers)
{
	return read_report_of(200, headers);
}

#define LOAD "Chervilshelf-Server-Load: "

static void
test_load_header_needs_three_numbers(void **state)
{
	struct bl_report report;

	(void)state;
	report = read_report(LOAD "3,1,8\r\n");
	assert_true(report.has_load);
	assert_int_equal(report.load.slowness_pct, 100);
	report = read_report(LOAD "3,1,8,250\r\n");
	assert_true(report.has_load);
	assert_int_equal(report.load.slowness_pct, 250);
	assert_int_equal(report.load.waiting, 1);
	report = read_report(LOAD "3,1\r\n");
	assert_false(report.has_load);
	assert_int_equal(report.invalid_fields, 1);
	assert_false(read_report(LOAD "busy\r\n").has_load);
	assert_false(read_report(LOAD "-1,0,8\r\n").has_load);
	assert_false(read_report(LOAD "3,-1,8,100\r\n").has_load);
	assert_false(read_report(LOAD "3,1,8,-100\r\n").has_load);
	assert_false(read_report(LOAD "4294967297,0,8\r\n").has_load);
	assert_false(read_report(LOAD "3,1,99999999999999999999\r\n").has_load);
	assert_true(read_report(LOAD "3, 1, 8, 100\r\n").has_load);
	assert_true(read_report(LOAD "3,1,8,100,further\r\n").has_load);
	assert_false(read_report("").has_load);
	assert_int_equal(read_report("").invalid_fields, 0);
}

static void
test_limit_header_is_a_decimal_number(void **state)
{
	static const struct {
		const char *headers;
		bool has_limit;
		double limit_per_s;
		uint32_t invalid_fields;
	} rows[] = {
	    {"", false, 0, 0},
	    {"Server-Limit: 3.7\r\n", true, 3.7, 0},
	    {"Chervilshelf-Server-Limit: 12\r\n", true, 12, 0},
	    {"Server-Limit: 0\r\n", true, 0, 0},
	    {"Server-Limit: 0.25\r\n", true, 0.25, 0},
	    {"Server-Limit: \r\n", false, 0, 1},
	    {"Server-Limit: .\r\n", false, 0, 1},
	    {"Server-Limit: -1\r\n", false, 0, 1},
	    {"Server-Limit: nan\r\n", false, 0, 1},
	    {"Server-Limit: inf\r\n", false, 0, 1},
	    {"Server-Limit: 1e400\r\n", false, 0, 1},
	    {"Server-Limit: 0x10\r\n", false, 0, 1},
	    {"Server-Limit: 3.7 a second\r\n", false, 0, 1},
	    {"Server-Limit: 99999999999999999999\r\n", false, 0, 1},
	    {"Server-Limit: 3\r\nServer-Limit: 9\r\n", false, 0, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct bl_report report = read_report(rows[i].headers);

		assert_int_equal(report.has_limit, rows[i].has_limit);
		assert_int_equal(report.invalid_fields, rows[i].invalid_fields);
		if (rows[i].has_limit)
			assert_true(report.limit_per_s == rows[i].limit_per_s);
	}
}

static void
test_leaving_and_pause_are_read_strictly(void **state)
{
	static const struct {
		int status;
		const char *headers;
		bool leaving;
		int64_t pause_us;
		uint32_t invalid_fields;
	} rows[] = {
	    {200, "", false, 0, 0},
	    {200, "Server-Leaving: 1\r\n", true, 0, 0},
	    {200, "Chervilshelf-Server-Leaving: 1\r\n", true, 0, 0},
	    {503, "Server-Leaving: 1\r\nRetry-After: 2\r\n", true, 2000000, 0},
	    {421, "Server-Leaving: 1\r\n", true, 0, 0},
	    {200, "Server-Leaving: 0\r\n", false, 0, 0},
	    {200, "Server-Leaving: yes\r\n", false, 0, 1},
	    {200, "Server-Leaving: \r\n", false, 0, 1},
	    {200, "Server-Leaving: 1\r\nServer-Leaving: 1\r\n", false, 0, 1},
	    {503, "Retry-After: 1.5\r\n", false, 1500000, 0},
	    {503, "Retry-After: 0\r\n", false, 0, 0},
	    {200, "Retry-After: 3\r\n", false, 0, 0},
	    {429, "Retry-After: 3\r\n", false, 0, 0},
	    {503, "Retry-After: -1\r\n", false, 0, 1},
	    {503, "Retry-After: \r\n", false, 0, 1},
	    {503, "Retry-After: soon\r\n", false, 0, 1},
	    {503, "Retry-After: 99999999999\r\n", false, 0, 1},
	    {503, "Retry-After: Sat, 05 Dec 2026 10:00:00 GMT\r\n", false, 0,
		1},
	    {503, "Retry-After: 1\r\nRetry-After: 9\r\n", false, 0, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct bl_report report =
		    read_report_of(rows[i].status, rows[i].headers);

		assert_int_equal(report.leaving, rows[i].leaving);
		assert_int_equal(report.pause_us, rows[i].pause_us);
		assert_int_equal(report.invalid_fields, rows[i].invalid_fields);
	}
}

/* A value that is not valid must not make a target cold for hours. */
static void
test_time_until_warm_is_read_strictly(void **state)
{
	static const struct {
		const char *headers;
		int64_t cold_left_us;
		uint32_t invalid_fields;
	} rows[] = {
	    {"", 0, 0},
	    {"Chervilshelf-Warmup-Remaining: 2500ms\r\n", 2500000, 0},
	    {"Chervilshelf-Warmup-Remaining: 1.5s\r\n", 1500000, 0},
	    {"Chervilshelf-Warmup-Remaining: 0s\r\n", 0, 0},
	    {"Chervilshelf-Warmup-Remaining: 2500\r\n", 0, 1},
	    {"Chervilshelf-Warmup-Remaining: -2s\r\n", 0, 1},
	    {"Chervilshelf-Warmup-Remaining: 99999999s\r\n", 0, 1},
	    {"Chervilshelf-Warmup-Remaining: soon\r\n", 0, 1},
	    {"Chervilshelf-Warmup-Remaining: 1s\r\n"
	     "Chervilshelf-Warmup-Remaining: 2s\r\n",
		0, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct bl_report report = read_report(rows[i].headers);

		assert_int_equal(report.cold_left_us, rows[i].cold_left_us);
		assert_int_equal(report.invalid_fields, rows[i].invalid_fields);
	}
}

static void
test_node_round_trips_through_object(void **state)
{
	struct pl_node node = {.data_centre = "z1", .region = "r1"}, out;
	char object[512], *spec;

	(void)state;
	uv_ip4_addr("10.1.0.3", 7540, &node.fleet);
	spec = pl_write_node(&node);
	snprintf(object, sizeof(object), "{\"spec\":%s}", spec);
	free(spec);
	assert_int_equal(pl_read_node("vm-3", object, &out), CS_OK);
	assert_string_equal(out.region, "r1");
	assert_int_equal(ntohs(out.fleet.sin_port), 7540);
	assert_int_equal(
	    pl_read_node("vm-3", "{\"spec\":{}}", &out), CS_E_INVALID);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_read_target_reports_invalid_field),
	    cmocka_unit_test(test_read_target_needs_a_name_for_a_header),
	    cmocka_unit_test(test_read_target_fills_fields),
	    cmocka_unit_test(test_read_table_rejects_invalid_config),
	    cmocka_unit_test(test_read_table_fills_fields),
	    cmocka_unit_test(test_settings_need_each_required_field),
	    cmocka_unit_test(test_new_bounds_have_defaults),
	    cmocka_unit_test(test_durations_need_a_unit),
	    cmocka_unit_test(test_event_without_memory_is_no_empty_response),
	    cmocka_unit_test(test_odd_entry_leaves_the_others),
	    cmocka_unit_test(test_names_are_encoded_in_paths),
	    cmocka_unit_test(test_longest_names_fit_into_paths),
	    cmocka_unit_test(test_load_header_needs_three_numbers),
	    cmocka_unit_test(test_limit_header_is_a_decimal_number),
	    cmocka_unit_test(test_leaving_and_pause_are_read_strictly),
	    cmocka_unit_test(test_time_until_warm_is_read_strictly),
	    cmocka_unit_test(test_node_round_trips_through_object),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
