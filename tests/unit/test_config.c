/* Contract of lib/config: each fault is refused with its path. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/base/base.h"
#include "../../lib/config/config.h"

#define POOL                                                         \
	"{\"name\":\"p\",\"targets\":[{\"address\":\"10.0.0.1:80\"," \
	"\"data_centre\":\"d\",\"slots\":4}]}"
#define ROUTE(extra, pool)                                              \
	"{\"name\":\"r\",\"match\":{\"path_prefix\":\"/a\"},"           \
	"\"kind\":\"idempotent\",\"weight\":1,\"objective\":"           \
	"{\"latency_ms\":100,\"share\":0.9},\"deadline_ms\":1000" extra \
	",\"pool\":\"" pool "\"}"
#define DOCUMENT(routes, pools) \
	"{\"routes\":[" routes "],\"pools\":[" pools "]}"

struct fault_case {
	const char *document;
	const char *fault; /* how the message begins */
};

static const struct fault_case faults[] = {
    {"", "line 1"},
    {"[]", ": must be an object"},
    {"{\"routes\":[]}", "pools: must be a list"},
    {DOCUMENT("", "") "x", "line 1"},
    {"{\"routes\":[],\"pools\":[],\"more\":1}", "more: unknown key"},
    {DOCUMENT(ROUTE("", "q"), POOL), "routes[0].pool: no pool is named \"q\""},
    {DOCUMENT(ROUTE(",\"wait\":1", "p"), POOL), "routes[0].wait: unknown key"},
    {DOCUMENT(ROUTE("", "p") "," ROUTE("", "p"), POOL),
	"routes[1]: the name r is used twice"},
    {DOCUMENT("", POOL "," POOL), "pools[1]: the name p is used twice"},
    {DOCUMENT("", "{\"name\":\"p\",\"targets\":[]}"),
	"pools[0].targets: must be a list of one target or more"},
    {DOCUMENT("", "{\"name\":\"p\",\"targets\":[{\"address\":\"10.0.0.1\","
		  "\"data_centre\":\"d\",\"slots\":4}]}"),
	"pools[0].targets[0]: address must be IPV4:PORT"},
    {DOCUMENT("", "{\"name\":\"p\",\"targets\":[{\"address\":\"10.0.0.1:80\","
		  "\"data_centre\":\"d\",\"slots\":0}]}"),
	"pools[0].targets[0].slots: must be a whole number from 1 to 1024"},
    {DOCUMENT("",
	 "{\"name\":\"p\",\"targets\":[{\"address\":\"10.0.0.1:80\","
	 "\"data_centre\":\"d\",\"slots\":4},{\"address\":\"10.0.0.1:80\","
	 "\"data_centre\":\"d\",\"slots\":4}]}"),
	"pools[0].targets[1]: address 10.0.0.1:80 is listed twice"},
};

static void
test_faults_are_refused_with_their_path(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		char fault[CF_ERROR_BYTES_MAX] = "";
		struct cf_config *config = NULL;
		const char *text = faults[i].document;

		assert_int_equal(
		    cf_parse(text, strlen(text), fault, &config), CS_E_INVALID);
		assert_null(config);
		if (strncmp(fault, faults[i].fault, strlen(faults[i].fault)))
			fail_msg("case %zu: %s", i, fault);
	}
}

static struct cf_config *
parse(const char *text)
{
	char fault[CF_ERROR_BYTES_MAX] = "";
	struct cf_config *config;

	if (cf_parse(text, strlen(text), fault, &config) != CS_OK)
		fail_msg("%s", fault);
	return config;
}

static void
test_first_matching_route_wins(void **state)
{
	struct cf_config *config = parse(DOCUMENT(ROUTE("", "p"), POOL));

	(void)state;
	assert_int_equal(cf_find_route(config, "GET", 3, "/abc", 4), 0);
	assert_int_equal(
	    cf_find_route(config, "GET", 3, "/b", 2), CS_E_MISSING);
	assert_int_equal(cf_find_route(config, "GET", 3, "/", 1), CS_E_MISSING);
	cf_unref(config);
}

static void
test_stored_envelope_keeps_version_and_writer(void **state)
{
	struct cf_config *config = parse(DOCUMENT(ROUTE("", "p"), POOL));
	struct cf_config *again;
	char fault[CF_ERROR_BYTES_MAX];
	char *text = cf_format_stored(config, 7, "w1");

	(void)state;
	assert_int_equal(
	    cf_parse_stored(text, strlen(text), fault, &again), CS_OK);
	assert_int_equal(cf_version(again), 7);
	assert_string_equal(cf_writer(again), "w1");
	free(text);
	cf_unref(config);
	cf_unref(again);
}

static void
test_drain_is_a_change_that_diff_shows(void **state)
{
	struct cf_config *config = parse(DOCUMENT(ROUTE("", "p"), POOL));
	struct cf_config *drained;
	char *diff;

	(void)state;
	assert_int_equal(
	    cf_with_drain(config, "10.9.9.9:1", &drained), CS_E_MISSING);
	assert_int_equal(cf_with_drain(config, "10.0.0.1:80", &drained), CS_OK);
	assert_true(cf_target(drained, 0)->drain);
	assert_false(cf_target(config, 0)->drain);
	diff = cf_diff(config, drained);
	assert_non_null(strstr(diff, "+ target of p:"));
	free(diff);
	diff = cf_diff(config, config);
	assert_string_equal(diff, "");
	free(diff);
	cf_unref(config);
	cf_unref(drained);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_faults_are_refused_with_their_path),
	    cmocka_unit_test(test_first_matching_route_wins),
	    cmocka_unit_test(test_stored_envelope_keeps_version_and_writer),
	    cmocka_unit_test(test_drain_is_a_change_that_diff_shows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
