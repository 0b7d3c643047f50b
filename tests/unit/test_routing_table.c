/*
 * Tests which part of the operator's configuration a value that is not valid
 * affects, for each field that a table is built from.
 */
#include <glib.h>
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#include "../../platform/platform.h"

#define LIMITS                                                       \
	"\"limits\":{\"header_bytes\":16384,\"body_bytes\":1048576," \
	"\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15s\"}"

enum place { IN_RULE, IN_ACTION, IN_CLUSTER, IN_TENANT, IN_LIMITS };

/* One more member in a part that is valid without it; the last one counts. */
struct member_case {
	enum place place;
	const char *members;
	const char *field; /* that is not valid; NULL: none */
	const char *effect;
};

static const struct member_case member_cases[] = {
    {IN_RULE, "\"kind\":\"safe\"", NULL, ""},
    {IN_RULE, "\"kind\":\"unsafe\"", NULL, ""},
    {IN_RULE, "\"kind\":\"upload\"", NULL, ""},
    {IN_RULE, "\"kind\":\"Safe\"", "kind", "not_repeated"},
    {IN_RULE, "\"kind\":null", "kind", "not_repeated"},
    {IN_RULE, "\"kind\":[\"safe\"]", "kind", "not_repeated"},
    {IN_RULE, "\"kind\":1e400", "kind", "not_repeated"},
    {IN_RULE, "\"kind\":\"safe\\u0000\"", "kind", "not_repeated"},
    {IN_RULE, "\"kind\":\"\xff\"", "kind", "not_repeated"},
    {IN_RULE, "\"auth_exempt\":true", NULL, "exempt"},
    {IN_RULE, "\"auth_exempt\":false", NULL, ""},
    {IN_RULE, "\"auth_exempt\":null", NULL, ""},
    {IN_RULE, "\"auth_exempt\":\"true\"", "auth_exempt", "not_exempt"},
    {IN_RULE, "\"auth_exempt\":1", "auth_exempt", "not_exempt"},
    {IN_RULE, "\"priority\":-1", "priority", "lowest_priority"},
    {IN_RULE, "\"priority\":\"0\"", "priority", "lowest_priority"},
    {IN_RULE, "\"priority\":99999999999999999999", "priority",
	"lowest_priority"},
    {IN_RULE, "\"target_latency\":\"200\"", "target_latency", "no_objective"},
    {IN_RULE, "\"note\":1e400", NULL, ""},
    {IN_RULE, "\"match\":{\"path_prefix\":\"p\"}", "match.path_prefix",
	"route_left_out"},
    {IN_RULE, "\"match\":{\"path_prefix\":\"\xff\"}", "match.path_prefix",
	"route_left_out"},
    {IN_RULE, "\"action\":null", "action.timeout", "route_refused"},
    {IN_ACTION, "\"max_attempts\":\"2\"", "action.max_attempts", "one_attempt"},
    {IN_ACTION, "\"timeout\":\"1h\"", "action.timeout", "route_refused"},
    {IN_ACTION, "\"timeout\":1e400", "action.timeout", "route_refused"},
    {IN_ACTION, "\"service\":\"none\"", "action.service", "route_refused"},
    {IN_ACTION, "\"allowed_regions\":[\"r1\",\"r2\"]", NULL, "home"},
    {IN_ACTION, "\"allowed_regions\":[]", NULL, ""},
    {IN_ACTION, "\"allowed_regions\":null", NULL, ""},
    {IN_ACTION, "\"allowed_regions\":\"r1\"", "action.allowed_regions",
	"route_refused"},
    {IN_ACTION, "\"allowed_regions\":[\"r1\",2]", "action.allowed_regions",
	"route_refused"},
    {IN_ACTION, "\"allowed_regions\":[\"\"]", "action.allowed_regions",
	"route_refused"},
    {IN_ACTION, "\"allowed_regions\":[\"r1\",\"\xff\"]",
	"action.allowed_regions", "route_refused"},
    {IN_ACTION, "\"allowed_regions\":{}", "action.allowed_regions",
	"route_refused"},
    {IN_CLUSTER, "\"warmup\":\"3s\",\"warmup_per_s\":4.7", NULL, "cold"},
    {IN_CLUSTER, "\"warmup\":null,\"warmup_per_s\":null", NULL, ""},
    {IN_CLUSTER, "\"warmup_per_s\":0", NULL, ""},
    {IN_CLUSTER, "\"warmup\":3", "warmup", "long_warmup"},
    {IN_CLUSTER, "\"warmup\":\"-3s\"", "warmup", "long_warmup"},
    {IN_CLUSTER, "\"warmup\":\"999999999s\"", "warmup", "long_warmup"},
    {IN_CLUSTER, "\"warmup_per_s\":\"4.7\"", "warmup_per_s", "slow_warmup"},
    {IN_CLUSTER, "\"warmup_per_s\":-1", "warmup_per_s", "slow_warmup"},
    {IN_CLUSTER, "\"warmup_per_s\":1e400", "warmup_per_s", "slow_warmup"},
    {IN_CLUSTER, "\"max_conns\":\"9\"", "max_conns", "one_connection"},
    {IN_TENANT, "\"priority\":0", NULL, "priority"},
    {IN_TENANT, "\"priority\":null", NULL, ""},
    {IN_TENANT, "\"priority\":0.5", "priority", "lowest_priority"},
    {IN_TENANT, "\"rate_per_s\":2.5,\"burst\":7", NULL, "rate"},
    {IN_TENANT, "\"rate_per_s\":0,\"burst\":null", NULL, ""},
    {IN_TENANT, "\"rate_per_s\":\"2\"", "rate_per_s", "tenant_refused"},
    {IN_TENANT, "\"rate_per_s\":-1", "rate_per_s", "tenant_refused"},
    {IN_TENANT, "\"rate_per_s\":1e400", "rate_per_s", "tenant_refused"},
    {IN_TENANT, "\"rate_per_s\":true", "rate_per_s", "tenant_refused"},
    {IN_TENANT, "\"burst\":{}", "burst", "tenant_refused"},
    {IN_TENANT, "\"burst\":-0.5", "burst", "tenant_refused"},
    {IN_TENANT, "\"allowed_regions\":[\"r1\",\"r2\"]", NULL, "home"},
    {IN_TENANT, "\"allowed_regions\":[]", NULL, ""},
    {IN_TENANT, "\"allowed_regions\":7", "allowed_regions", "tenant_refused"},
    {IN_TENANT, "\"allowed_regions\":[null]", "allowed_regions",
	"tenant_refused"},
    {IN_TENANT, "\"name\":\"\"", "name", "tenant_left_out"},
    {IN_TENANT, "\"name\":5", "name", "tenant_left_out"},
    {IN_TENANT, "\"name\":\"a\\r\\nb: c\"", "name", "tenant_left_out"},
    {IN_TENANT, "\"name\":\" a\"", "name", "tenant_left_out"},
    {IN_TENANT, "\"name\":\"t2\"", "name", "tenant_refused"},
    {IN_TENANT, "\"api_keys\":\"k1\"", "api_keys", "keys_left_out"},
    {IN_TENANT, "\"api_keys\":[\"k1\",\"\"]", "api_keys", "key_left_out"},
    {IN_TENANT, "\"api_keys\":[\"k1\",1e400]", "api_keys", "key_left_out"},
    {IN_TENANT, "\"api_keys\":[\"k1\",\"k2\"]", "api_keys",
	"shared_key_left_out"},
    {IN_LIMITS, "\"header_bytes\":\"16384\"", "header_bytes", "default"},
    {IN_LIMITS, "\"body_bytes\":1e400", "body_bytes", "default"},
    {IN_LIMITS, "\"idle_timeout\":15", "idle_timeout", "default"},
};

/* Builds a table with two routes, pools and tenants; the member is in one. */
static struct rt_table *
read_member_case(const struct member_case *row, struct pl_table_faults *faults)
{
	char text[4096], members[IN_LIMITS + 1][256] = {{0}};
	char error_text[PL_TEXT_BYTES_MAX];
	struct rt_table *table;

	snprintf(members[row->place], sizeof(members[0]), ",%s", row->members);
	snprintf(text, sizeof(text),
	    "{\"spec\":{\"version\":7,\"limits\":{\"header_bytes\":16384,"
	    "\"body_bytes\":1048576,\"header_timeout\":\"3000ms\","
	    "\"idle_timeout\":\"15s\"%s},\"clusters\":[{\"name\":\"a\"%s},"
	    "{\"name\":\"b\"}],\"listeners\":[{\"host\":\"h\",\"rules\":["
	    "{\"kind\":\"safe\",\"match\":{\"path_prefix\":\"/p/\"},"
	    "\"action\":{\"service\":\"a\",\"timeout\":\"1s\"%s}%s},"
	    "{\"kind\":\"safe\",\"match\":{\"path_prefix\":\"/q/\"},"
	    "\"action\":{\"service\":\"b\",\"timeout\":\"1s\"}}]}],"
	    "\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"k1\"]%s},"
	    "{\"name\":\"t2\",\"api_keys\":[\"k2\",\"k3\"]}]}}",
	    members[IN_LIMITS], members[IN_CLUSTER], members[IN_ACTION],
	    members[IN_RULE], members[IN_TENANT]);
	if (pl_read_table(text, &table, faults, error_text) != CS_OK)
		fail_msg("%s: no table: %s", row->members, error_text);
	return table;
}

static bool
is_home(const struct rt_homes *homes)
{
	return homes->restricted && homes->regions == 3;
}

/* The part of the row is as the effect says, and otherwise as without it. */
static bool
shows_effect(const struct member_case *row, const struct rt_table *table)
{
	const struct rt_route *route = rt_table_find(table, "h", "/p/x");
	const struct rt_tenant *tenant = rt_table_find_key(table, "k1");
	const struct rt_pool *pool = &table->pools[0];
	const char *effect = row->effect;
	bool is_safe = strstr(row->members, "unsafe") == NULL &&
		       strstr(row->members, "upload") == NULL &&
		       strcmp(effect, "not_repeated") != 0;
	bool tenant_gone = strcmp(effect, "tenant_left_out") == 0 ||
			   strcmp(effect, "keys_left_out") == 0;
	bool is_homed = strcmp(effect, "home") == 0;

	if ((route == NULL) != (strcmp(effect, "route_left_out") == 0) ||
	    (tenant == NULL) != tenant_gone)
		return false;
	if (route != NULL &&
	    (route->refused != (strcmp(effect, "route_refused") == 0) ||
		route->kind != (is_safe ? RT_IDEMPOTENT : RT_NON_IDEMPOTENT) ||
		route->auth_exempt != (strcmp(effect, "exempt") == 0) ||
		is_home(&route->homes) !=
		    (is_homed && row->place == IN_ACTION)))
		return false;
	if (tenant != NULL &&
	    (tenant->refused != (strcmp(effect, "tenant_refused") == 0) ||
		(tenant->rate_per_s == 2.5 && tenant->burst == 7) !=
		    (strcmp(effect, "rate") == 0) ||
		is_home(&tenant->homes) !=
		    (is_homed && row->place == IN_TENANT)))
		return false;
	if (strcmp(effect, "lowest_priority") == 0 &&
	    (row->place == IN_RULE ? route->priority : tenant->priority) !=
		RT_PRIORITY_LOWEST)
		return false;
	if (tenant != NULL &&
	    tenant->has_priority !=
		(row->place == IN_TENANT && strstr(effect, "priority") != NULL))
		return false;
	if (strcmp(effect, "cold") == 0)
		return pool->warm_up_ms == 3000 && pool->warm_up_per_s == 4.7;
	return (pool->warm_up_ms > 3000) ==
		   (strcmp(effect, "long_warmup") == 0) &&
	       (pool->warm_up_per_s == 1) ==
		   (strcmp(effect, "slow_warmup") == 0) &&
	       pool->connections_max == (strcmp(effect, "one_connection") == 0);
}

/* The other route and the other tenant are as without any fault. */
static bool
others_are_whole(const struct rt_table *table, const struct member_case *row)
{
	const struct rt_route *route = rt_table_find(table, "h", "/q/x");
	const struct rt_tenant *tenant = rt_table_find_key(table, "k3");
	bool shares_name = strstr(row->members, "\"t2\"") != NULL;

	return route != NULL && !route->refused && !route->homes.restricted &&
	       route->kind == RT_IDEMPOTENT && !route->auth_exempt &&
	       tenant != NULL && strcmp(tenant->name, "t2") == 0 &&
	       tenant->refused == shares_name && !tenant->homes.restricted &&
	       table->limits.head_bytes == 16384 &&
	       table->limits.body_bytes == 1048576 &&
	       table->limits.idle_timeout_ms == 15000;
}

/*
 * A value that cannot be parsed once cost the whole configuration. A route or
 * tenant whose restriction is not legible must not run without it.
 */
static void
test_fault_affects_its_part_only(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(member_cases) / sizeof(member_cases[0]); i++) {
		const struct member_case *row = &member_cases[i];
		struct pl_table_faults faults;
		struct rt_table *table = read_member_case(row, &faults);
		bool is_noted =
		    row->field == NULL
			? faults.count == 0
			: faults.count > 0 &&
			      strcmp(faults.first[0].field, row->field) == 0 &&
			      strcmp(faults.first[0].effect, row->effect) == 0;

		if (!is_noted || !shows_effect(row, table) ||
		    !others_are_whole(table, row))
			fail_msg("%s: %u faults, first %s %s %s", row->members,
			    faults.count, faults.first[0].part,
			    faults.first[0].field, faults.first[0].effect);
		rt_table_unref(table);
	}
}

#define WITH_TENANTS(tenants) \
	"{\"spec\":{\"version\":7," LIMITS ",\"tenants\":" tenants "}}"

static void
test_read_table_fills_tenants(void **state)
{
	char error_text[PL_TEXT_BYTES_MAX];
	const struct rt_tenant *tenant;
	struct pl_table_faults faults;
	struct rt_table *table;

	(void)state;
	assert_int_equal(
	    pl_read_table(
		WITH_TENANTS("[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"],"
			     "\"priority\":3,\"rate_per_s\":9.5,\"burst\":12,"
			     "\"allowed_regions\":[\"r2\"]}]"),
		&table, &faults, error_text),
	    CS_OK);
	assert_int_equal(faults.count, 0);
	assert_true(table->has_tenants);
	tenant = rt_table_find_key(table, "k2");
	assert_ptr_equal(tenant, rt_table_find_key(table, "k1"));
	assert_string_equal(tenant->name, "t1");
	assert_true(tenant->has_priority);
	assert_int_equal(tenant->priority, 3);
	assert_true(tenant->rate_per_s == 9.5 && tenant->burst == 12);
	assert_string_equal(table->regions[0], "r2");
	assert_true(tenant->homes.restricted && tenant->homes.regions == 1);
	rt_table_unref(table);
}

/* A list of tenants that is not legible must not open the service to all. */
static void
test_tenants_with_faults_of_their_own(void **state)
{
	static const struct {
		const char *object;
		bool has_tenants;
		uint32_t faults;
	} rows[] = {
	    {WITH_TENANTS("null"), false, 0},
	    {WITH_TENANTS("[]"), true, 0}, /* nobody has a key */
	    {WITH_TENANTS("{}"), true, 1},
	    {WITH_TENANTS("1e400"), true, 1},
	    {WITH_TENANTS("\"t\""), true, 1},
	    {WITH_TENANTS("[7,null,{}]"), true, 3},
	    {WITH_TENANTS("[{\"name\":\"t1\"}]"), true, 0},
	};
	char error_text[PL_TEXT_BYTES_MAX];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct pl_table_faults faults;
		struct rt_table *table;

		assert_int_equal(
		    pl_read_table(rows[i].object, &table, &faults, error_text),
		    CS_OK);
		if (table->has_tenants != rows[i].has_tenants ||
		    faults.count != rows[i].faults)
			fail_msg("row %zu: %d %u", i, table->has_tenants,
			    faults.count);
		rt_table_unref(table);
	}
}

/*
 * Whose key it is is not known if one of two entries has no valid name: the
 * request of the nameless tenant must not run as the other one.
 */
static void
test_key_of_a_nameless_tenant_is_unknown(void **state)
{
	static const char *const objects[] = {
	    WITH_TENANTS("[{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"]},"
			 "{\"name\":7,\"api_keys\":[\"k1\",\"k3\"]}]"),
	    WITH_TENANTS("[{\"name\":\" t\",\"api_keys\":[\"k1\",\"k3\"]},"
			 "{\"name\":\"t1\",\"api_keys\":[\"k1\",\"k2\"]}]"),
	};
	char error_text[PL_TEXT_BYTES_MAX];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(objects) / sizeof(objects[0]); i++) {
		struct pl_table_faults faults;
		struct rt_table *table;

		assert_int_equal(
		    pl_read_table(objects[i], &table, &faults, error_text),
		    CS_OK);
		assert_null(rt_table_find_key(table, "k1"));
		assert_null(rt_table_find_key(table, "k3"));
		assert_non_null(rt_table_find_key(table, "k2"));
		rt_table_unref(table);
	}
}

/* Many tenants once blocked a VM for the square of their number. */
static void
test_many_tenants_are_read_in_linear_time(void **state)
{
	enum { TENANTS = 60000, TENANT_BYTES = 48, CPU_S_MAX = 2 };
	char *text = malloc(TENANTS * TENANT_BYTES), *at = text;
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_table_faults faults;
	struct rt_table *table;
	clock_t start;
	uint32_t i;

	(void)state;
	assert_non_null(text);
	at += sprintf(at, "{\"spec\":{\"version\":7," LIMITS ",\"tenants\":[");
	for (i = 0; i < TENANTS; i++)
		at += sprintf(at, "%s{\"name\":\"t%u\"}", i > 0 ? "," : "", i);
	sprintf(at, "]}}");
	start = clock();
	assert_int_equal(
	    pl_read_table(text, &table, &faults, error_text), CS_OK);
	assert_true(clock() - start < CPU_S_MAX * CLOCKS_PER_SEC);
	assert_int_equal(table->tenant_count, TENANTS);
	rt_table_unref(table);
	free(text);
}

/*
 * A rule of 30 bytes takes 2.5 KB of memory: a configuration full of them must
 * not end a VM of 112 MB. One that leaves rules out would serve their requests
 * by other routes, so it is refused whole.
 */
static void
test_too_many_routes_are_refused_whole(void **state)
{
	enum { RULE_BYTES = 48 };
	char *text = malloc((RT_ROUTES_MAX + 2) * RULE_BYTES + 1024);
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_table_faults faults;
	struct rt_table *table = NULL;
	uint32_t excess, i;

	(void)state;
	assert_non_null(text);
	for (excess = 0; excess <= 1; excess++) {
		char *at = text;

		at +=
		    sprintf(at, "{\"spec\":{\"version\":7," LIMITS
				",\"listeners\":[{\"host\":\"h\",\"rules\":[");
		for (i = 0; i < RT_ROUTES_MAX + excess; i++)
			at += sprintf(at,
			    "%s{\"match\":{\"path_prefix\":\"/%x/\"}}",
			    i > 0 ? "," : "", i);
		sprintf(at, "]}]}}");
		assert_int_equal(
		    pl_read_table(text, &table, &faults, error_text),
		    excess == 0 ? CS_OK : CS_E_INVALID);
		if (excess == 0)
			rt_table_unref(table);
	}
	assert_string_equal(error_text, "too many routes");
	free(text);
}

/* Writes a prefix of this length below /p/: segments of segment_bytes. */
static void
write_prefix(char *out, size_t length, size_t segment_bytes)
{
	size_t i;

	memset(out, 'x', length);
	memcpy(out, "/p/", 3);
	for (i = 3 + segment_bytes; i < length; i += segment_bytes + 1)
		out[i] = '/';
	out[length - 1] = '/';
	out[length] = '\0';
}

/* A safe rule for /p/, and below it one that must not be repeated. */
static struct rt_table *
read_nested_rules(const char *host, const char *prefix)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_table_faults faults;
	struct rt_table *table;
	char *text = NULL;

	assert_true(
	    asprintf(&text,
		"{\"spec\":{\"version\":7," LIMITS
		",\"clusters\":[{\"name\":\"a\"},{\"name\":\"b\"}],"
		"\"listeners\":[{\"host\":\"%s\",\"rules\":["
		"{\"kind\":\"safe\",\"match\":{\"path_prefix\":\"/p/\"},"
		"\"action\":{\"service\":\"a\",\"timeout\":\"1s\"}},"
		"{\"kind\":\"unsafe\",\"match\":{\"path_prefix\":\"%s\"},"
		"\"action\":{\"service\":\"b\",\"timeout\":\"1s\"}}]}]}}",
		host, prefix) > 0);
	assert_int_equal(
	    pl_read_table(text, &table, &faults, error_text), CS_OK);
	assert_int_equal(faults.count, 0);
	free(text);
	return table;
}

/*
 * Guards against requests of a rule with a long prefix, or below a long host,
 * that were served by the rule of a shorter prefix, and repeated as its.
 */
static void
test_long_prefix_and_host_keep_their_rule(void **state)
{
	static const struct {
		size_t prefix_bytes, segment_bytes, host_bytes;
	} rows[] = {
	    {100, 20, 1},
	    {127, 200, 1},
	    {128, 20, 1},
	    {128, 200, 1},
	    {129, 1, 1},
	    {300, 20, 253},
	    {9000, 5000, 1},
	    {16000, 1, 1},
	    {20, 20, 127},
	    {20, 20, 128},
	    {20, 20, 9000},
	};
	static char prefix[16384], path[16384], host[16384];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		const struct rt_route *inner, *outer, *beside;
		struct rt_table *table, *excerpt;

		memset(host, 'h', rows[i].host_bytes);
		host[rows[i].host_bytes] = '\0';
		write_prefix(
		    prefix, rows[i].prefix_bytes, rows[i].segment_bytes);
		table = read_nested_rules(host, prefix);
		snprintf(path, sizeof(path), "%sq?x=/", prefix);
		memset(host, 'H', rows[i].host_bytes / 2);
		inner = rt_table_find(table, host, path);
		path[rows[i].prefix_bytes - 1] = 'y';
		beside = rt_table_find(table, host, path);
		outer = rt_table_find(table, host, "/p/q");
		if (inner == NULL || inner->kind != RT_NON_IDEMPOTENT ||
		    strcmp(inner->prefix, prefix) != 0 || inner->refused ||
		    outer == NULL || outer->kind != RT_IDEMPOTENT ||
		    beside != outer)
			fail_msg("row %zu: %s, %s", i,
			    inner == NULL ? "none" : inner->prefix,
			    outer == NULL ? "none" : outer->prefix);
		host[0] = 'g';
		assert_null(rt_table_find(table, host, path));
		excerpt = rt_table_excerpt(table, inner, NULL);
		rt_table_unref(table);
		assert_string_equal(excerpt->routes->prefix, prefix);
		rt_table_unref(excerpt);
	}
}

/*
 * Guards against requests below a prefix without its final slash that are
 * served by the rule of a shorter prefix.
 */
static void
test_prefix_without_final_slash_is_refused(void **state)
{
	struct pl_table_faults faults;
	char error_text[PL_TEXT_BYTES_MAX];
	struct rt_table *table;

	(void)state;
	assert_int_equal(
	    pl_read_table(
		"{\"spec\":{\"version\":7," LIMITS
		",\"clusters\":[{\"name\":\"a\"}],\"listeners\":[{\"host\":"
		"\"h\",\"rules\":[{\"kind\":\"safe\",\"match\":{"
		"\"path_prefix\":\"/p/\"},\"action\":{\"service\":\"a\","
		"\"timeout\":\"1s\"}},{\"kind\":\"unsafe\",\"match\":{"
		"\"path_prefix\":\"/p/q\"},\"action\":{\"service\":\"a\","
		"\"timeout\":\"1s\"}}]}]}}",
		&table, &faults, error_text),
	    CS_OK);
	assert_int_equal(faults.count, 1);
	assert_string_equal(faults.first[0].effect, "route_refused");
	assert_true(rt_table_find(table, "h", "/p/q/1")->refused);
	assert_false(rt_table_find(table, "h", "/p/r/1")->refused);
	rt_table_unref(table);
}

#define LONG_HOST_BYTES 200000
#define MANY_RULES 2000

/* Guards against a long host that each of its rules keeps a copy of. */
static void
test_rules_share_a_long_host(void **state)
{
	char error_text[PL_TEXT_BYTES_MAX], *host = malloc(LONG_HOST_BYTES + 1);
	GString *text = g_string_new(
	    "{\"spec\":{\"version\":7," LIMITS ",\"listeners\":[{\"host\":\"");
	struct pl_table_faults faults;
	struct rt_table *table;
	size_t heap_before;
	uint32_t i;

	(void)state;
	memset(host, 'h', LONG_HOST_BYTES);
	host[LONG_HOST_BYTES] = '\0';
	g_string_append_printf(text, "%s\",\"rules\":[", host);
	for (i = 0; i < MANY_RULES; i++)
		g_string_append_printf(text,
		    "%s{\"match\":{\"path_prefix\":\"/%u/\"}}",
		    i == 0 ? "" : ",", i);
	g_string_append(text, "]}]}}");
	heap_before = mallinfo2().uordblks + mallinfo2().hblkhd;
	assert_int_equal(
	    pl_read_table(text->str, &table, &faults, error_text), CS_OK);
	assert_int_equal(table->route_count, MANY_RULES);
	assert_true(mallinfo2().uordblks + mallinfo2().hblkhd - heap_before <
		    MANY_RULES * 4096);
	assert_non_null(rt_table_find(table, host, "/7/x"));
	rt_table_unref(table);
	g_string_free(text, TRUE);
	free(host);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_too_many_routes_are_refused_whole),
	    cmocka_unit_test(test_many_tenants_are_read_in_linear_time),
	    cmocka_unit_test(test_key_of_a_nameless_tenant_is_unknown),
	    cmocka_unit_test(test_fault_affects_its_part_only),
	    cmocka_unit_test(test_read_table_fills_tenants),
	    cmocka_unit_test(test_tenants_with_faults_of_their_own),
	    cmocka_unit_test(test_long_prefix_and_host_keep_their_rule),
	    cmocka_unit_test(test_prefix_without_final_slash_is_refused),
	    cmocka_unit_test(test_rules_share_a_long_host),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
