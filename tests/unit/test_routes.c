/*
 * Tests of lib/routes: keys, regions and conflicts of a table, and what a table
 * of the largest size takes.
 */
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <cmocka.h>

#include "../../platform/platform.h"

static struct rt_table *
table_with_tenants(uint32_t count)
{
	struct rt_table *table = rt_table_create(1);
	struct rt_tenant tenant = {.refused = false};
	uint32_t i;

	for (i = 0; i < count; i++) {
		snprintf(tenant.name, sizeof(tenant.name), "t%u", i);
		assert_int_equal(rt_table_add_tenant(table, &tenant), CS_OK);
	}
	return table;
}

static const char *
owner_of(const struct rt_table *table, const char *key)
{
	const struct rt_tenant *tenant = rt_table_find_key(table, key);

	return tenant == NULL ? "none" : tenant->name;
}

/* A part of a key, or a key with more behind it, must not pass for the key. */
static void
test_only_the_whole_key_is_found(void **state)
{
	struct rt_table *table = table_with_tenants(2);
	char key[RT_KEY_BYTES_MAX + 2];

	(void)state;
	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	assert_int_equal(rt_table_add_key(table, 0, ""), CS_E_INVALID);
	assert_int_equal(rt_table_add_key(table, 0, key), CS_E_INVALID);
	assert_int_equal(rt_table_add_key(table, 2, "k"), CS_E_INVALID);
	key[RT_KEY_BYTES_MAX] = '\0';
	assert_int_equal(rt_table_add_key(table, 0, key), CS_OK);
	assert_int_equal(rt_table_add_key(table, 0, "alpha"), CS_OK);
	assert_int_equal(rt_table_add_key(table, 1, "alphabet"), CS_OK);
	assert_int_equal(rt_table_add_key(table, 1, "\xc3\xa9\x01"), CS_OK);
	assert_int_equal(rt_table_finalise(table), CS_OK);
	assert_string_equal(owner_of(table, key), "t0");
	key[RT_KEY_BYTES_MAX] = 'k';
	assert_string_equal(owner_of(table, key), "none");
	key[RT_KEY_BYTES_MAX - 1] = '\0';
	assert_string_equal(owner_of(table, key), "none");
	assert_string_equal(owner_of(table, "alpha"), "t0");
	assert_string_equal(owner_of(table, "alphabet"), "t1");
	assert_string_equal(owner_of(table, "alphabeta"), "none");
	assert_string_equal(owner_of(table, "Alpha"), "none");
	assert_string_equal(owner_of(table, "alphb"), "none");
	assert_string_equal(owner_of(table, ""), "none");
	assert_string_equal(owner_of(table, "\xc3\xa9\x01"), "t1");
	rt_table_unref(table);
}

/* A request must not run under the name of another tenant. */
static void
test_shared_key_belongs_to_nobody(void **state)
{
	struct rt_table *table = table_with_tenants(3);
	uint32_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		assert_int_equal(rt_table_add_key(table, i, "shared"), CS_OK);
	assert_int_equal(rt_table_add_key(table, 1, "own"), CS_OK);
	assert_int_equal(rt_table_add_key(table, 1, "own"), CS_OK);
	assert_int_equal(rt_table_finalise(table), CS_OK);
	assert_string_equal(owner_of(table, "shared"), "none");
	assert_string_equal(owner_of(table, "own"), "t1");
	assert_int_equal(table->shared_key_count, 1);
	rt_table_unref(table);
}

static void
test_table_without_keys_finds_none(void **state)
{
	struct rt_table *table = table_with_tenants(1);

	(void)state;
	assert_int_equal(rt_table_finalise(table), CS_OK);
	assert_null(rt_table_find_key(table, "k"));
	assert_null(rt_table_find_key(table, ""));
	rt_table_unref(table);
}

static void
test_regions_are_interned_up_to_the_limit(void **state)
{
	struct rt_table *table = rt_table_create(1);
	char name[RT_NAME_BYTES_MAX + 1];
	int i;

	(void)state;
	for (i = 0; i < RT_REGIONS_MAX; i++) {
		snprintf(name, sizeof(name), "r%d", i);
		assert_int_equal(rt_table_add_region(table, name), i);
	}
	assert_int_equal(rt_table_add_region(table, "r7"), 7);
	assert_int_equal(rt_table_add_region(table, "more"), CS_E_FULL);
	assert_int_equal(rt_table_add_region(table, ""), CS_E_INVALID);
	memset(name, 'r', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	assert_int_equal(rt_table_add_region(table, name), CS_E_INVALID);
	rt_table_unref(table);
}

static struct rt_route
route_at(const char *prefix, const char *pool)
{
	struct rt_route route = {.host = "h",
	    .prefix = prefix,
	    .timeout_ms = 1000,
	    .backend_count = 1,
	    .backends = {{.weight = 1}}};

	strcpy(route.backends[0].pool_name, pool);
	return route;
}

/*
 * A refused route is found, so that its requests get no answer of a shorter
 * prefix with other restrictions.
 */
static void
test_refused_and_duplicate_routes_are_found(void **state)
{
	struct rt_table *table = rt_table_create(1);
	struct rt_pool pool = {.name = "a"};
	struct rt_route refused = {
	    .host = "h", .prefix = "/x/y/", .refused = true};
	struct rt_route route = route_at("/x/", "a");

	(void)state;
	assert_int_equal(rt_table_add_pool(table, &pool), CS_OK);
	assert_int_equal(rt_table_add_route(table, &refused), CS_OK);
	assert_int_equal(rt_table_add_route(table, &route), CS_OK);
	refused.prefix = "x/y/";
	assert_int_equal(rt_table_add_route(table, &refused), CS_E_INVALID);
	route = route_at("/z/", "a");
	assert_int_equal(rt_table_add_route(table, &route), CS_OK);
	assert_int_equal(rt_table_add_route(table, &route), CS_OK);
	assert_int_equal(rt_table_finalise(table), CS_OK);
	assert_true(rt_table_find(table, "h", "/x/y/1")->refused);
	assert_false(rt_table_find(table, "h", "/x/1")->refused);
	assert_true(rt_table_find(table, "h", "/z/1")->refused);
	assert_false(table->routes[2].duplicate);
	assert_true(table->routes[3].duplicate);
	assert_int_equal(rt_table_find_pool(table, "a"), 0);
	assert_int_equal(rt_table_find_pool(table, "b"), CS_E_MISSING);
	rt_table_unref(table);
}

static void
test_route_needs_a_known_pool(void **state)
{
	struct rt_table *table = rt_table_create(1);
	struct rt_route route = route_at("/x/", "none");

	(void)state;
	assert_int_equal(rt_table_add_route(table, &route), CS_OK);
	assert_int_equal(rt_table_finalise(table), CS_E_MISSING);
	rt_table_unref(table);
}

#define LARGE_ROUTES 1400
#define LARGE_TENANTS 86
#define LARGE_POOLS 40
#define LARGE_KEYS 10000
#define LOOKUPS 1000000

static void
print_large_config(struct h1_bytes *out)
{
	uint32_t i, key;

	h1_bytes_print(out,
	    "{\"spec\":{\"version\":1,\"limits\":{\"header_bytes\":16384,"
	    "\"body_bytes\":1048576,\"header_timeout\":\"3s\","
	    "\"idle_timeout\":\"15s\"},\"clusters\":[");
	for (i = 0; i < LARGE_POOLS; i++)
		h1_bytes_print(out,
		    "%s{\"name\":\"pool-%u\",\"health_path\":\"/health\","
		    "\"max_conns\":220,\"warmup\":\"3s\",\"warmup_per_s\":4.7}",
		    i == 0 ? "" : ",", i);
	h1_bytes_print(
	    out, "],\"listeners\":[{\"host\":\"svc.example\",\"rules\":[");
	for (i = 0; i < LARGE_ROUTES; i++)
		h1_bytes_print(out,
		    "%s{\"name\":\"rule-%u\",\"kind\":\"safe\","
		    "\"target_latency\":\"250ms\",\"priority\":2,"
		    "\"auth_exempt\":false,\"match\":{\"path_prefix\":"
		    "\"/area/%u/\"},\"action\":{\"service\":\"pool-%u\","
		    "\"timeout\":\"2s\",\"max_attempts\":3,"
		    "\"allowed_regions\":[\"north\",\"south\"]}}",
		    i == 0 ? "" : ",", i, i, i % LARGE_POOLS);
	h1_bytes_print(out, "]}],\"tenants\":[");
	for (i = 0; i < LARGE_TENANTS; i++) {
		h1_bytes_print(out,
		    "%s{\"name\":\"tenant-%u\",\"priority\":1,"
		    "\"rate_per_s\":20.5,\"burst\":40,\"allowed_regions\":["
		    "\"north\"],\"api_keys\":[",
		    i == 0 ? "" : ",", i);
		for (key = i; key < LARGE_KEYS; key += LARGE_TENANTS)
			h1_bytes_print(
			    out, "%s\"key-%028u\"", key == i ? "" : ",", key);
		h1_bytes_print(out, "]}");
	}
	h1_bytes_print(out, "]}}");
	h1_bytes_add(out, "", 1);
}

static int64_t
cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_utime.tv_sec * 1000000L + usage.ru_utime.tv_usec +
	       usage.ru_stime.tv_sec * 1000000L + usage.ru_stime.tv_usec;
}

/* Peak of resident memory. */
static long
peak_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

/* A VM of 0.1 core and 112 MB takes such a table; the figures are printed. */
static void
test_large_table_is_complete(void **state)
{
	char error_text[PL_TEXT_BYTES_MAX], key[64];
	struct h1_bytes text = {.data = NULL};
	struct pl_table_faults faults;
	struct rt_table *table;
	size_t heap_before;
	int64_t started_us;
	uint32_t i, found = 0;
	long peak_before;

	(void)state;
	print_large_config(&text);
	heap_before = mallinfo2().uordblks + mallinfo2().hblkhd;
	peak_before = peak_kb();
	started_us = cpu_us();
	assert_int_equal(
	    pl_read_table(text.data, &table, &faults, error_text), CS_OK);
	printf("table: %zu bytes of text, %lld us of CPU, %zu bytes kept, "
	       "peak +%ld KB\n",
	    text.length, (long long)(cpu_us() - started_us),
	    mallinfo2().uordblks + mallinfo2().hblkhd - heap_before,
	    peak_kb() - peak_before);
	assert_int_equal(faults.count, 0);
	assert_int_equal(table->route_count, LARGE_ROUTES);
	assert_int_equal(table->tenant_count, LARGE_TENANTS);
	assert_int_equal(table->key_count, LARGE_KEYS);
	started_us = cpu_us();
	for (i = 0; i < LOOKUPS; i++) {
		snprintf(key, sizeof(key), "key-%028u", i % (2 * LARGE_KEYS));
		found += rt_table_find_key(table, key) != NULL;
	}
	printf("key: %.3f us of CPU for one lookup, with printing the key\n",
	    (double)(cpu_us() - started_us) / LOOKUPS);
	assert_int_equal(found, LOOKUPS / 2);
	rt_table_unref(table);
	h1_bytes_free(&text);
}

/*
 * A request in progress kept the whole table that it began with, 4.4 MB for
 * each of several configurations in a row.
 */
static void
test_excerpt_outlives_its_table(void **state)
{
	struct rt_table *table = table_with_tenants(2), *excerpt;
	struct rt_route route = route_at("/b/", "p");
	struct cs_memory memory = {.bytes_max = 1024 * 1024};
	uint64_t table_bytes;

	(void)state;
	assert_int_equal(
	    rt_table_add_pool(table, &(struct rt_pool){.name = "p"}), CS_OK);
	assert_int_equal(rt_table_add_route(table, &route), CS_OK);
	assert_int_equal(rt_table_add_region(table, "r1"), 0);
	assert_int_equal(rt_table_add_key(table, 1, "alpha"), CS_OK);
	table->has_tenants = true;
	assert_int_equal(rt_table_finalise(table), CS_OK);
	rt_table_count(table, &memory);
	rt_table_count(table, &memory);
	table_bytes = memory.objects_bytes;
	excerpt = rt_table_excerpt(table, rt_table_find(table, "h", "/b/c"),
	    rt_table_find_key(table, "alpha"));
	assert_true(memory.objects_bytes > table_bytes);
	rt_table_unref(table);
	assert_in_range(memory.objects_bytes, 1, 4096);
	assert_int_equal(excerpt->version, 1);
	assert_true(excerpt->has_tenants);
	assert_string_equal(excerpt->routes->prefix, "/b/");
	assert_string_equal(excerpt->routes->backends[0].pool_name, "p");
	assert_string_equal(excerpt->tenants->name, "t1");
	rt_table_unref(excerpt);
	assert_int_equal(memory.objects_bytes, 0);
}

/* Guards against two long routes that share one label in reports. */
static void
test_labels_of_long_routes_differ(void **state)
{
	static const char *const ends[] = {"a/", "b/"};
	char prefixes[2][400], labels[2][RT_LABEL_BYTES_MAX];
	struct rt_table *table = rt_table_create(1);
	struct rt_route route = {.host = "h", .prefix = "/x/", .refused = true};
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		memset(prefixes[i], '/', sizeof(prefixes[i]));
		strcpy(prefixes[i] + 300, ends[i]);
		assert_int_equal(
		    rt_table_add_route(table, &(struct rt_route){.host = "h",
						  .prefix = prefixes[i],
						  .refused = true}),
		    CS_OK);
		rt_route_label(&table->routes[i], labels[i]);
		assert_int_equal(strlen(labels[i]), RT_LABEL_BYTES_MAX - 1);
	}
	assert_string_not_equal(labels[0], labels[1]);
	assert_memory_equal(labels[0], "h//", 3);
	rt_route_label(&route, labels[0]);
	assert_string_equal(labels[0], "h/x/");
	rt_table_unref(table);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_only_the_whole_key_is_found),
	    cmocka_unit_test(test_shared_key_belongs_to_nobody),
	    cmocka_unit_test(test_table_without_keys_finds_none),
	    cmocka_unit_test(test_regions_are_interned_up_to_the_limit),
	    cmocka_unit_test(test_refused_and_duplicate_routes_are_found),
	    cmocka_unit_test(test_route_needs_a_known_pool),
	    cmocka_unit_test(test_large_table_is_complete),
	    cmocka_unit_test(test_labels_of_long_routes_differ),
	    cmocka_unit_test(test_excerpt_outlives_its_table),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
