/* Tests of lib/config: an invalid document is refused with the path. */
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

struct error_case {
	const char *document;
	const char *error; /* prefix of the message */
};

static const struct error_case error_cases[] = {
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
test_invalid_documents_are_refused_with_the_path(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(error_cases) / sizeof(error_cases[0]); i++) {
		char error[CF_ERROR_BYTES_MAX] = "";
		struct cf_config *config = NULL;
		const char *text = error_cases[i].document;

		assert_int_equal(
		    cf_parse(text, strlen(text), error, &config), CS_E_INVALID);
		assert_null(config);
		if (strncmp(error, error_cases[i].error,
			strlen(error_cases[i].error)))
			fail_msg("case %zu: %s", i, error);
	}
}

static struct cf_config *
parse(const char *text)
{
	char error[CF_ERROR_BYTES_MAX] = "";
	struct cf_config *config;

	if (cf_parse(text, strlen(text), error, &config) != CS_OK)
		fail_msg("%s", error);
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
	struct cf_config *parsed;
	char error[CF_ERROR_BYTES_MAX];
	char *text = cf_format_stored(config, 7, "w1");

	(void)state;
	assert_int_equal(
	    cf_parse_stored(text, strlen(text), error, &parsed), CS_OK);
	assert_int_equal(cf_version(parsed), 7);
	assert_string_equal(cf_writer(parsed), "w1");
	free(text);
	cf_unref(config);
	cf_unref(parsed);
}

static void
test_drain_appears_in_the_diff(void **state)
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
	    cmocka_unit_test(test_invalid_documents_are_refused_with_the_path),
	    cmocka_unit_test(test_first_matching_route_wins),
	    cmocka_unit_test(test_stored_envelope_keeps_version_and_writer),
	    cmocka_unit_test(test_drain_appears_in_the_diff),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
