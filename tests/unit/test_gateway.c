/*
 * Tests of lib/gateway with faulty targets and malformed requests: which
 * response each caller gets.
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

#define ATTEMPT_ID "Chervilshelf-Attempt-Id: %I\r\n"
#define RESPONSE_SEAL "Chervilshelf-Response-Seal: s\r\n"
#define COMPLETE_RESPONSE                              \
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL \
	"Content-Length: 5\r\n\r\nwhole"
/* A whole response but for one line of its head. */
#define ODD_FIELD(line)                                            \
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID line "\r\n" RESPONSE_SEAL \
	"Content-Length: 5\r\n\r\nwhole"
#define NOT_RUN_RESPONSE                                  \
	"HTTP/1.1 503 Service Unavailable\r\n" ATTEMPT_ID \
	"Chervilshelf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

#define IDEMPOTENT_REQUEST                    \
	"GET /safe/x HTTP/1.1\r\nHost: h\r\n" \
	"Chervilshelf-Attempt-Id: first\r\n"  \
	"Chervilshelf-Request-Deadline: 30000\r\n\r\n"
#define NON_IDEMPOTENT_REQUEST                     \
	"POST /once/x HTTP/1.1\r\nHost: h\r\n"     \
	"Chervilshelf-Attempt-Id: first\r\n"       \
	"Chervilshelf-Request-Deadline: 30000\r\n" \
	"Content-Length: 4\r\n\r\nbody"
#define SECOND_REQUEST                        \
	"GET /safe/y HTTP/1.1\r\nHost: h\r\n" \
	"Chervilshelf-Attempt-Id: second\r\n\r\n"

#define STATUS_LINE(line) \
	line "\r\n" ATTEMPT_ID RESPONSE_SEAL "Content-Length: 5\r\n\r\nwhole"

/* Status lines that are none, see RFC 9112, 4, and RFC 9110, 15. */
static const char *const bad_status_lines[] = {
    STATUS_LINE("HTTP/1.1 000 OK"),
    STATUS_LINE("HTTP/1.1 00 OK"),
    STATUS_LINE("HTTP/1.1 2 0 OK"),
    STATUS_LINE("HTTP/1.1 099 OK"),
    STATUS_LINE("HTTP/1.1 0200 OK"),
    STATUS_LINE("HTTP/1.1 00200 OK"),
    STATUS_LINE("HTTP/1.1 200OK"),
    STATUS_LINE("HTTP/1.1  200 OK"),
    STATUS_LINE("HTTP/1.1\t200 OK"),
    STATUS_LINE("HTTP/1.1 -200 OK"),
    STATUS_LINE("HTTP/1.1 600 OK"),
    STATUS_LINE("HTTP/1.1 999 OK"),
    STATUS_LINE("HTTP/1.1 1200 OK"),
    STATUS_LINE("HTTP/1.1 65736 OK"), /* 200 in 16 bits */
    STATUS_LINE("HTTP/1.1 4294967496 OK"),
    STATUS_LINE("HTTP/1.1 101 OK"),
    STATUS_LINE("HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n"
		"Connection: upgrade"),
    STATUS_LINE("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK"),
    STATUS_LINE("\r\nHTTP/1.1 0200 OK"),
};

/* The first request gets the script, later ones a complete response. */
struct response_case {
	const char *name;
	struct rig_script script;
	int idempotent_status; /* of a request that may be retried */
	uint32_t idempotent_requests;
	int non_idempotent_status; /* of one that may not */
	uint32_t non_idempotent_requests;
};

static const struct response_case response_cases[] = {
    {"whole", {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}, 200, 1, 200, 1},
    {"whole, then closed", {COMPLETE_RESPONSE, RIG_CLOSE, NULL, false}, 200, 1,
	200, 1},
    {"in chunks",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 1, 200, 1},
    {"after an interim answer",
	{"HTTP/1.1 100 Continue\r\n\r\n" COMPLETE_RESPONSE, RIG_KEEP, NULL,
	    false},
	200, 1, 200, 1},
    {"no signature",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID "Content-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"another's id",
	{"HTTP/1.1 200 OK\r\nChervilshelf-Attempt-Id: other\r\n" RESPONSE_SEAL
	 "Content-Length: 5\r\n\r\nwrong",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"no id",
	{"HTTP/1.1 200 OK\r\n" RESPONSE_SEAL "Content-Length: 5\r\n\r\nwrong",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"cut short",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 9\r\n\r\nwhol",
	    RIG_CLOSE, NULL, false},
	200, 2, 502, 1},
    {"chunks cut short",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
	    RIG_CLOSE, NULL, false},
	200, 2, 502, 1},
    {"head cut short", {"HTTP/1.1 200 OK\r\nX", RIG_CLOSE, NULL, false}, 200, 2,
	502, 1},
    {"reset without a byte", {NULL, RIG_RESET, NULL, false}, 200, 2, 502, 1},
    {"closed without a byte", {NULL, RIG_CLOSE, NULL, false}, 200, 2, 502, 1},
    {"reset in an answer without a length",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL "\r\nwho", RIG_RESET,
	    NULL, false},
	200, 2, 502, 1},
    {"a status of two digits",
	{"HTTP/1.1 20 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a status of 0",
	{"HTTP/1.1 000 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a status of four digits",
	{"HTTP/1.1 2000 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a status with a letter",
	{"HTTP/1.1 2e2 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a blank in the name of a field",
	{ODD_FIELD("X Field: v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a blank before the colon of a field",
	{ODD_FIELD("X-Field : v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a blank before the name of the first field",
	{"HTTP/1.1 200 OK\r\n X-Field: v\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a blank in the name of a field that is not passed on",
	{ODD_FIELD("Keep-Alive : timeout=5"), RIG_KEEP, NULL, false}, 200, 2,
	502, 1},
    {"a blank behind the name of the length",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length : 3\r\n\r\nwhole",
	    RIG_CLOSE, NULL, false},
	200, 2, 502, 1},
    {"a blank in the name of the length",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content Length: 5\r\n\r\nwhole",
	    RIG_CLOSE, NULL, false},
	200, 2, 502, 1},
    {"a blank behind the name of the coding",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a tab in the name of a field",
	{ODD_FIELD("X\tField: v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a control byte in the name of a field",
	{ODD_FIELD("X\001Field: v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a carriage return in the name of a field",
	{ODD_FIELD("X\rField: v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a delete byte in the name of a field",
	{ODD_FIELD("X\177Field: v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a byte above 127 in the name of a field",
	{ODD_FIELD("X\351Field: v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a separator in the name of a field",
	{ODD_FIELD("X(Field): v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a field without a name", {ODD_FIELD(": v"), RIG_KEEP, NULL, false}, 200,
	2, 502, 1},
    {"a line without a colon", {ODD_FIELD("X-Field"), RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a control byte in the value of a field",
	{ODD_FIELD("X-Field: \001v"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a carriage return in the value of a field",
	{ODD_FIELD("X-Field: a\rb"), RIG_KEEP, NULL, false}, 200, 2, 502, 1},
    {"a blank in the name of a trailer",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	 "X Field: v\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a trailer",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	 "X-Field: v\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 1, 200, 1},
    {"each character that a name may have",
	{ODD_FIELD("aZ09!#$%&'*+-.^_`|~: v"), RIG_KEEP, NULL, false}, 200, 1,
	200, 1},
    {"no HTTP", {"HELLO\r\n\r\n", RIG_CLOSE, NULL, false}, 200, 2, 502, 1},
    {"encoded",
	{"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwhole",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"vouches that it did not run", {NOT_RUN_RESPONSE, RIG_KEEP, NULL, false},
	200, 2, 200, 2},
    {"another target has the address",
	{"HTTP/1.1 421 Misdirected Request\r\n" ATTEMPT_ID
	 "Content-Length: 0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 2, 200, 2},
    {"a bare 503 promises nothing",
	{"HTTP/1.1 503 Service Unavailable\r\n" ATTEMPT_ID
	 "Content-Length: 0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"a bare 429 promises nothing",
	{"HTTP/1.1 429 Too Many Requests\r\n" ATTEMPT_ID
	 "Content-Length: 0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 2, 502, 1},
    {"it ran in vain",
	{"HTTP/1.1 500 Internal Server Error\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	200, 2, 500, 1},
    {"a failure of the caller",
	{"HTTP/1.1 409 Conflict\r\n" ATTEMPT_ID RESPONSE_SEAL
	 "Content-Length: 0\r\n\r\n",
	    RIG_KEEP, NULL, false},
	409, 1, 409, 1},
};

static int
status_of(const char *response)
{
	return strncmp(response, "HTTP/1.1 ", 9) == 0 ? atoi(response + 9) : 0;
}

static struct rig *
make_rig(const struct rig_script *scripts, uint32_t count, uint32_t targets)
{
	return rig_create(&(struct rig_params){
	    .scripts = scripts,
	    .script_count = count,
	    .target_count = targets,
	    .with_table = true,
	    .timeout_ms = 30000,
	    .attempts_max = 3,
	});
}

static bool
check_response(const struct response_case *row, const char *request, int status,
    uint32_t requests)
{
	const struct rig_script scripts[] = {
	    row->script, {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = make_rig(scripts, 2, 3);
	int got = status_of(rig_ask(rig, request, strlen(request)));
	bool failed = false;

	if (got != status || rig_requests(rig) != requests) {
		print_error("%s: status %d, %u requests; expected %d, %u\n",
		    row->name, got, rig_requests(rig), status, requests);
		failed = true;
	}
	rig_free(rig);
	return !failed;
}

static void
test_responses_are_relayed_retried_or_failed(void **state)
{
	uint32_t failed = 0;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(response_cases) / sizeof(response_cases[0]);
	     i++) {
		const struct response_case *row = &response_cases[i];

		failed += !check_response(row, IDEMPOTENT_REQUEST,
		    row->idempotent_status, row->idempotent_requests);
		failed += !check_response(row, NON_IDEMPOTENT_REQUEST,
		    row->non_idempotent_status, row->non_idempotent_requests);
	}
	assert_int_equal(failed, 0);
}

/*
 * Guards against an answer whose status line is none, such as one with status
 * 000, that the caller gets as a response: on a new connection to the target
 * and on one that was in use before.
 */
static void
test_status_lines_that_are_none_are_no_response(void **state)
{
	const struct rig_script whole = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	const char *requests[] = {IDEMPOTENT_REQUEST, NON_IDEMPOTENT_REQUEST};
	size_t i, kept, kind, failed = 0;

	(void)state;
	for (i = 0; i < sizeof(bad_status_lines) / sizeof(*bad_status_lines);
	     i++) {
		const struct rig_script scripts[] = {
		    whole, {bad_status_lines[i], RIG_KEEP, NULL, false}, whole};

		for (kind = 0; kind < 2; kind++) {
			for (kept = 0; kept < 2; kept++) {
				const char *request = requests[kind];
				/* With another target it is tried there. */
				struct rig *rig = make_rig(
				    scripts + 1 - kept, 2 + kept, kept ? 1 : 3);
				int status;

				if (kept)
					rig_ask(rig, request, strlen(request));
				status = status_of(
				    rig_ask(rig, request, strlen(request)));
				if (status !=
				    (kind == 0 && !kept ? 200 : 502)) {
					print_error(
					    "%.30s: kept %zu, kind %zu: %d\n",
					    bad_status_lines[i], kept, kind,
					    status);
					failed++;
				}
				rig_free(rig);
			}
		}
	}
	assert_int_equal(failed, 0);
}

/* A response without a length also ends by closing to the caller. */
static void
test_response_without_length_ends_with_the_connection(void **state)
{
	const struct rig_script script = {
	    "HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL "\r\nwhole",
	    RIG_CLOSE, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);
	const char *response = rig_ask(
	    rig, NON_IDEMPOTENT_REQUEST, strlen(NON_IDEMPOTENT_REQUEST));

	(void)state;
	assert_int_equal(status_of(response), 200);
	assert_null(strstr(response, "Content-Length"));
	assert_non_null(strstr(response, "Connection: close"));
	assert_non_null(strstr(response, "\r\n\r\nwhole"));
	rig_free(rig);
}

/* A second response to request 1 arrives before that to request 2. */
static void
test_late_duplicate_response_is_discarded(void **state)
{
	const struct rig_script scripts[] = {
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false},
	    {"HTTP/1.1 200 OK\r\nChervilshelf-Attempt-Id: "
	     "first\r\n" RESPONSE_SEAL "Content-Length: 5\r\n\r\nfirst"
	     "HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	     "Content-Length: 6\r\n\r\nsecond",
		RIG_KEEP, NULL, false}};
	struct rig *rig = make_rig(scripts, 2, 1);
	const char *response;

	(void)state;
	rig_ask(rig, IDEMPOTENT_REQUEST, strlen(IDEMPOTENT_REQUEST));
	response = rig_ask(rig, SECOND_REQUEST, strlen(SECOND_REQUEST));
	assert_int_equal(status_of(response), 200);
	assert_non_null(strstr(response, "\r\n\r\nsecond"));
	assert_int_equal(rig_connections(rig), 1);
	rig_free(rig);
}

#define REFUSAL_OF(id_line)                                  \
	"HTTP/1.1 503 Service Unavailable\r\n" id_line       \
	"Chervilshelf-Not-Executed: 1\r\nRetry-After: 1\r\n" \
	"Content-Length: 0\r\n\r\n"
#define OTHER_ONCE_REQUEST                     \
	"POST /once/y HTTP/1.1\r\nHost: h\r\n" \
	"Chervilshelf-Attempt-Id: second\r\n"  \
	"Content-Length: 4\r\n\r\nbody"
#define REQUEST_WITHOUT_ID                     \
	"POST /once/z HTTP/1.1\r\nHost: h\r\n" \
	"Content-Length: 4\r\n\r\nbody"

/*
 * A target refuses one request and writes that refusal once more while it runs
 * the next one on the same connection: it says nothing of the next one, which
 * must neither be refused nor run again.
 */
static void
test_repeated_refusal_is_no_refusal_of_the_next_request(void **state)
{
	static const struct {
		const char *repeated;
		const char *request;
		int status;
	} rows[] = {
	    {REFUSAL_OF("Chervilshelf-Attempt-Id: first\r\n"),
		OTHER_ONCE_REQUEST, 200},
	    {REFUSAL_OF(""), OTHER_ONCE_REQUEST, 502},
	    {REFUSAL_OF("Chervilshelf-Attempt-Id: older\r\n"),
		OTHER_ONCE_REQUEST, 502},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		char bytes[1024];
		struct rig_script scripts[] = {
		    {NOT_RUN_RESPONSE, RIG_KEEP, NULL, false},
		    {bytes, RIG_KEEP, NULL, false},
		    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false},
		};
		struct rig *rig = make_rig(scripts, 3, 1);

		snprintf(bytes, sizeof(bytes), "%s%s", rows[i].repeated,
		    COMPLETE_RESPONSE);
		assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
				     strlen(NON_IDEMPOTENT_REQUEST))),
		    503);
		assert_int_equal(status_of(rig_ask(rig, rows[i].request,
				     strlen(rows[i].request))),
		    rows[i].status);
		assert_int_equal(rig_requests(rig), 2);
		assert_int_equal(rig_connections(rig), 1);
		rig_free(rig);
	}
}

/* Responses to these cannot be told from late ones to earlier requests. */
static void
test_requests_that_cannot_be_matched_get_connections_of_their_own(void **state)
{
	static const char *const rows[][2] = {
	    {OTHER_ONCE_REQUEST, OTHER_ONCE_REQUEST},
	    {OTHER_ONCE_REQUEST, REQUEST_WITHOUT_ID},
	    {REQUEST_WITHOUT_ID, OTHER_ONCE_REQUEST},
	    {REQUEST_WITHOUT_ID, REQUEST_WITHOUT_ID},
	};
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct rig *rig = make_rig(&script, 1, 1);

		for (k = 0; k < 2; k++)
			rig_ask(rig, rows[i][k], strlen(rows[i][k]));
		assert_int_equal(rig_requests(rig), 2);
		assert_int_equal(rig_connections(rig), 2);
		rig_free(rig);
	}
}

/* A response that ends at any byte before its last is never relayed as one. */
static void
test_response_cut_at_any_byte_is_not_relayed(void **state)
{
	static const char whole[] =
	    "HTTP/1.1 200 OK\r\nChervilshelf-Attempt-Id: "
	    "first\r\n" RESPONSE_SEAL "Content-Length: 5\r\n\r\nwhole";
	static const enum rig_end ends[] = {RIG_CLOSE, RIG_RESET};
	size_t length, i;

	(void)state;
	for (i = 0; i < 2; i++) {
		for (length = 0; length < strlen(whole); length++) {
			char cut[sizeof(whole)] = "";
			struct rig_script script = {cut, ends[i], NULL, false};
			struct rig *rig = make_rig(&script, 1, 1);

			memcpy(cut, whole, length);
			assert_int_equal(
			    status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
				strlen(NON_IDEMPOTENT_REQUEST))),
			    502);
			assert_int_equal(rig_requests(rig), 1);
			rig_free(rig);
		}
	}
}

/*
 * The target counts as full after a refusal, and no probe may be sent that
 * would show otherwise: a call that waits is placed by what is known.
 */
static void
test_waiting_call_is_placed_without_probes(void **state)
{
	const struct rig_script scripts[] = {
	    {NOT_RUN_RESPONSE, RIG_KEEP, NULL, false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = scripts,
	    .script_count = 2,
	    .target_count = 1,
	    .with_table = true,
	    .timeout_ms = 5000,
	    .attempts_max = 1,
	});

	(void)state;
	assert_int_equal(status_of(rig_ask(rig, IDEMPOTENT_REQUEST,
			     strlen(IDEMPOTENT_REQUEST))),
	    503);
	assert_int_equal(
	    status_of(rig_ask(rig, SECOND_REQUEST, strlen(SECOND_REQUEST))),
	    200);
	rig_free(rig);
}

/* The only target says that it leaves, or pauses: callers are refused at once.
 */
static void
test_notices_of_the_last_target_refuse_calls_at_once(void **state)
{
	static const struct {
		const char *response;
		int status;
	} rows[] = {
	    {"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	     "Server-Leaving: 1\r\nContent-Length: 5\r\n\r\nwhole",
		200},
	    {"HTTP/1.1 500 Internal Server Error\r\n" ATTEMPT_ID
	     "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		500},
	    {"HTTP/1.1 421 Misdirected Request\r\n" ATTEMPT_ID
	     "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		503},
	    {"HTTP/1.1 503 Service Unavailable\r\n" ATTEMPT_ID
	     "Chervilshelf-Not-Executed: 1\r\nRetry-After: 60\r\n"
	     "Content-Length: 0\r\n\r\n",
		503},
	    {"HTTP/1.1 503 Service Unavailable\r\n" ATTEMPT_ID
	     "Retry-After: 60\r\nContent-Length: 0\r\n\r\n",
		502},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct rig_script script = {
		    rows[i].response, RIG_KEEP, NULL, false};
		struct rig *rig = make_rig(&script, 1, 1);

		assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
				     strlen(NON_IDEMPOTENT_REQUEST))),
		    rows[i].status);
		assert_int_equal(status_of(rig_ask(rig, SECOND_REQUEST,
				     strlen(SECOND_REQUEST))),
		    503);
		assert_int_equal(rig_requests(rig), 1);
		rig_free(rig);
	}
}

#define LONG_US INT64_C(1000000000)

static void
stop_after(
    struct rig *rig, int64_t long_attempts_until_us, int64_t end_calls_us)
{
	gw_stop(rig_gateway(rig),
	    &(struct bl_stop_plan){
		.long_attempts_until_us = long_attempts_until_us,
		.end_calls_us = end_calls_us,
	    });
}

/*
 * A call waits for room at a VM that is stopped, and could outlast it: its
 * caller is told in time that it did not run.
 */
static void
test_waiting_call_at_a_vm_that_stops_is_answered(void **state)
{
	const struct rig_script script = {NULL, RIG_SILENT, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 1,
	    .with_table = true,
	    .timeout_ms = 30000,
	    .attempts_max = 1,
	    .slots = 1,
	});
	const char *response;

	(void)state;
	rig_hold(rig, NON_IDEMPOTENT_REQUEST, strlen(NON_IDEMPOTENT_REQUEST));
	rig_begin(rig, SECOND_REQUEST, strlen(SECOND_REQUEST));
	rig_await_waiting(rig, 1);
	stop_after(rig, 1000000, 1000000);
	gw_end_waiting(rig_gateway(rig), INT64_MAX);
	response = rig_finish(rig);
	assert_int_equal(status_of(response), 503);
	assert_non_null(strstr(response, "Retry-After"));
	assert_non_null(strstr(response, "stopping"));
	assert_int_equal(rig_requests(rig), 1);
	rig_free(rig);
}

/*
 * A request that arrives during a stop is taken only if its own deadline ends
 * it, also by its timer, before open calls are ended. Guards against requests
 * that were passed on late and then broken off (LOST).
 */
static const struct {
	int64_t stop_after_deadline_us;
	int status;
	uint32_t requests; /* at targets */
} late_cases[] = {{-300000, 503, 0}, {30000, 503, 0}, {10000000, 200, 1}};

static void
test_request_that_outlasts_the_stop_is_refused(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(late_cases) / sizeof(late_cases[0]); i++) {
		struct rig *rig = rig_create(&(struct rig_params){
		    .scripts = &script,
		    .script_count = 1,
		    .target_count = 1,
		    .with_table = true,
		    .timeout_ms = 30000,
		    .attempts_max = 1,
		});

		stop_after(rig, 30000000,
		    30000000 + late_cases[i].stop_after_deadline_us);
		assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
				     strlen(NON_IDEMPOTENT_REQUEST))),
		    late_cases[i].status);
		assert_int_equal(rig_requests(rig), late_cases[i].requests);
		rig_free(rig);
	}
}

/*
 * Late in a stop, no further attempt is made for a call that could outlast it:
 * its caller is told that it did not run, while there is time for another VM.
 * Guards against attempts that would be broken off (LOST).
 */
static const struct {
	int64_t long_attempts_until_us, end_calls_us;
	uint32_t requests; /* at targets */
} retry_cases[] = {{0, 1000000, 1}, {0, LONG_US, 2}, {LONG_US, 1000000, 2}};

static void
test_no_late_retry_of_a_call_that_outlasts_the_stop(void **state)
{
	const struct rig_script scripts[] = {
	    {NULL, RIG_SILENT, NOT_RUN_RESPONSE, false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(retry_cases) / sizeof(retry_cases[0]); i++) {
		struct rig *rig = make_rig(scripts, 2, 2);

		rig_begin(rig, NON_IDEMPOTENT_REQUEST,
		    strlen(NON_IDEMPOTENT_REQUEST));
		rig_await_requests(rig, 1);
		stop_after(rig, retry_cases[i].long_attempts_until_us,
		    retry_cases[i].end_calls_us);
		rig_send_late(rig);
		assert_int_equal(status_of(rig_finish(rig)),
		    retry_cases[i].requests == 2 ? 200 : 503);
		assert_int_equal(rig_requests(rig), retry_cases[i].requests);
		rig_free(rig);
	}
}

/* A target has the call when the VM ends: no answer says that it did not run.
 */
static void
test_call_at_a_target_is_answered_when_the_vm_ends(void **state)
{
	const struct rig_script script = {NULL, RIG_SILENT, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);

	(void)state;
	rig_begin(rig, NON_IDEMPOTENT_REQUEST, strlen(NON_IDEMPOTENT_REQUEST));
	rig_await_requests(rig, 1);
	stop_after(rig, 1000000, 1000000);
	gw_end_calls(rig_gateway(rig));
	assert_int_equal(status_of(rig_finish(rig)), 502);
	rig_free(rig);
}

/* More bytes of requests arrive than the listener buffers: it stops reading. */
static void
test_many_pipelined_requests_are_all_answered(void **state)
{
	enum { REQUESTS = 60, PADDING = 3500 };
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 3);
	struct h1_bytes bytes = {.data = NULL};
	const char *at;
	uint32_t i, count = 0;

	(void)state;
	for (i = 0; i < REQUESTS; i++)
		h1_bytes_print(&bytes,
		    "GET /safe/x HTTP/1.1\r\nHost: h\r\n"
		    "Chervilshelf-Attempt-Id: p-%u\r\nX-Padding: %0*d\r\n\r\n",
		    i, PADDING, 0);
	at = rig_ask_all(rig, bytes.data, bytes.length, REQUESTS);
	while ((at = strstr(at, "HTTP/1.1 200 OK")) != NULL) {
		at++;
		count++;
	}
	assert_int_equal(count, REQUESTS);
	h1_bytes_free(&bytes);
	rig_free(rig);
}

/* Bytes on an idle connection are dropped and the connection closed. */
static void
test_bytes_on_an_idle_connection_close_it(void **state)
{
	const struct rig_script scripts[] = {
	    {COMPLETE_RESPONSE, RIG_KEEP,
		"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
		"Content-Length: 5\r\n\r\nwrong",
		false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = make_rig(scripts, 2, 1);
	const char *response;

	(void)state;
	rig_ask(rig, IDEMPOTENT_REQUEST, strlen(IDEMPOTENT_REQUEST));
	rig_await_closes(rig, 1);
	response = rig_ask(rig, SECOND_REQUEST, strlen(SECOND_REQUEST));
	assert_int_equal(status_of(response), 200);
	assert_non_null(strstr(response, "\r\n\r\nwhole"));
	assert_int_equal(rig_connections(rig), 2);
	rig_free(rig);
}

/* A response before the end of the body: no reuse of the connection. */
static void
test_connection_is_not_reused_after_an_early_response(void **state)
{
	const struct rig_script scripts[] = {
	    {"HTTP/1.1 400 Bad Request\r\n" ATTEMPT_ID RESPONSE_SEAL
	     "Content-Length: 0\r\n\r\n",
		RIG_SILENT, NULL, true},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = make_rig(scripts, 2, 1);
	size_t body = 400 * 1024;
	char *request = calloc(1, body + 512);
	int head = snprintf(request, 512,
	    "POST /once/x HTTP/1.1\r\nHost: h\r\n"
	    "Chervilshelf-Attempt-Id: first\r\nContent-Length: %zu\r\n\r\n",
	    body);

	(void)state;
	memset(request + head, 'b', body);
	assert_int_equal(
	    status_of(rig_ask(rig, request, (size_t)head + body)), 400);
	assert_int_equal(
	    status_of(rig_ask(rig, SECOND_REQUEST, strlen(SECOND_REQUEST))),
	    200);
	free(request);
	rig_free(rig);
}

/* Refused connections are retried, even for non-idempotent requests. */
static void
test_refused_connections_are_retried(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .with_table = true,
	    .dead_target = true,
	    .timeout_ms = 30000,
	    .attempts_max = 2,
	});
	int i;

	(void)state;
	for (i = 0; i < 10; i++)
		assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
				     strlen(NON_IDEMPOTENT_REQUEST))),
		    200);
	assert_int_equal(rig_requests(rig), 10);
	rig_free(rig);
}

#define PIPELINED_REQUEST(id)                      \
	"GET /safe/" id " HTTP/1.1\r\nHost: h\r\n" \
	"Chervilshelf-Attempt-Id: " id "\r\n\r\n"
static const char pipelined_requests[] = PIPELINED_REQUEST("one")
    PIPELINED_REQUEST("two") PIPELINED_REQUEST("three");

/* Pipelined requests get their responses in the order of the requests. */
static void
test_pipelined_requests_are_answered_in_order(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 3);
	const char *got =
	    rig_ask_all(rig, pipelined_requests, strlen(pipelined_requests), 3);
	const char *one = strstr(got, "Attempt-Id: one\r\n");
	const char *two = strstr(got, "Attempt-Id: two\r\n");
	const char *three = strstr(got, "Attempt-Id: three\r\n");

	(void)state;
	assert_true(one != NULL && two != NULL && three != NULL);
	assert_true(one < two && two < three);
	assert_int_equal(rig_requests(rig), 3);
	rig_free(rig);
}

/*
 * Behind a response that closes the connection no request is passed on: its
 * caller sends it again, whatever its kind.
 */
static void
test_requests_behind_a_closing_response_are_not_sent(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 3);
	const char *got;

	(void)state;
	stop_after(rig, LONG_US, LONG_US);
	got =
	    rig_ask_all(rig, pipelined_requests, strlen(pipelined_requests), 3);
	assert_int_equal(status_of(got), 200);
	assert_non_null(strstr(got, "Attempt-Id: one\r\n"));
	assert_null(strstr(got, "Attempt-Id: two"));
	assert_non_null(strcasestr(got, "Connection: close\r\n"));
	assert_int_equal(rig_requests(rig), 1);
	rig_free(rig);
}

/* Bytes that a target sends without end; the prefix is followed by them. */
static const struct {
	const char *name;
	const char *prefix;
	const char *repeated;
} endless_cases[] = {
    {"head", "HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n"},
    {"one header", "HTTP/1.1 200 OK\r\nX-Filler: ", "aaaaaaaaaaaaaaaaaaaaaaaa"},
    {"status line", "HTTP/1.1 200 ", "aaaaaaaaaaaaaaaaaaaaaaaa"},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"interim responses with fields", "",
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
    {"empty lines", "", "\r\n"},
    {"version", "HTTP/1.", "111111111111111111111111"},
    {"name of a header", "HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaaaaaaaaaa"},
    {"body without a length",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL "\r\n",
	"aaaaaaaaaaaaaaaaaaaaaaaa"},
    {"chunks",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	"Transfer-Encoding: chunked\r\n\r\n",
	"10\r\naaaaaaaaaaaaaaaa\r\n"},
    {"chunk extension",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	"Transfer-Encoding: chunked\r\n\r\n5;",
	"aaaaaaaaaaaaaaaaaaaaaaaa"},
    {"chunk length",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	"Transfer-Encoding: chunked\r\n\r\n",
	"000000000000000000000000"},
    {"trailers",
	"HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
	"X-Filler: aaaaaaaaaaaaaaaa\r\n"},
};

#define ENDLESS_BYTES (3 * RIG_RESPONSE_BYTES_MAX)

/*
 * The target keeps its connection open and sends more than any limit: the
 * gateway closes it, and the caller does not get it as a response.
 */
static void
test_bytes_without_end_close_the_connection(void **state)
{
	static char bytes[ENDLESS_BYTES + 1024];
	size_t i, length;

	(void)state;
	for (i = 0; i < sizeof(endless_cases) / sizeof(endless_cases[0]); i++) {
		const struct rig_script script = {bytes, RIG_KEEP, NULL, false};
		struct rig *rig;
		int status;

		length = (size_t)snprintf(
		    bytes, sizeof(bytes), "%s", endless_cases[i].prefix);
		while (length < ENDLESS_BYTES)
			length += (size_t)snprintf(bytes + length,
			    sizeof(bytes) - length, "%s",
			    endless_cases[i].repeated);
		rig = make_rig(&script, 1, 1);
		status = status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
		    strlen(NON_IDEMPOTENT_REQUEST)));
		if (status != 502)
			fail_msg("%s: %d", endless_cases[i].name, status);
		rig_await_closes(rig, 1);
		rig_free(rig);
	}
}

#define INTERIM_RESPONSES_MAX 64 /* a target that works for a minute */

/* Interim responses are no part of the final one and its limit. */
static void
test_interim_responses_of_a_long_request_are_read(void **state)
{
	static char bytes[INTERIM_RESPONSES_MAX * 64 + 1024];
	const struct rig_script script = {bytes, RIG_KEEP, NULL, false};
	size_t length = 0;
	struct rig *rig;
	int i;

	(void)state;
	for (i = 0; i < INTERIM_RESPONSES_MAX; i++)
		length += (size_t)snprintf(bytes + length,
		    sizeof(bytes) - length, "HTTP/1.1 102 Processing\r\n\r\n");
	snprintf(
	    bytes + length, sizeof(bytes) - length, "%s", COMPLETE_RESPONSE);
	rig = make_rig(&script, 1, 1);
	assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
			     strlen(NON_IDEMPOTENT_REQUEST))),
	    200);
	rig_free(rig);
}

/*
 * Bodies of many connections together stay within their budget. One that has no
 * room is refused at its head, before it takes room from others.
 */
static void
test_bodies_of_all_responses_share_a_budget(void **state)
{
	static const char head[] =
	    "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n";
	static const char body[60] = {'a'};
	struct cs_memory memory = {.bytes_max = 100};
	struct h1_reader readers[2];
	size_t used;
	int i;

	(void)state;
	for (i = 0; i < 2; i++) {
		h1_reader_init(
		    &readers[i], HTTP_RESPONSE, (struct h1_limits){1024, 1024});
		readers[i].memory = &memory;
		assert_int_equal(
		    h1_reader_feed(&readers[i], head, strlen(head), &used),
		    i == 0 ? H1_READ_MORE : H1_READ_NO_MEMORY);
	}
	assert_int_equal(h1_reader_feed(&readers[0], body, sizeof(body), &used),
	    H1_READ_COMPLETE);
	assert_int_equal(memory.used_bytes, 60);
	h1_reader_next(&readers[0]);
	assert_int_equal(memory.used_bytes, 0);
	h1_reader_next(&readers[1]);
	assert_int_equal(h1_reader_feed(&readers[1], head, strlen(head), &used),
	    H1_READ_MORE);
	assert_int_equal(h1_reader_feed(&readers[1], body, sizeof(body), &used),
	    H1_READ_COMPLETE);
	for (i = 0; i < 2; i++)
		h1_reader_free(&readers[i]);
	assert_int_equal(memory.used_bytes, 0);
}

/* A VM that has just started serves the call once it knows its targets. */
static void
test_call_waits_until_the_objects_are_loaded(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .late_table = true,
	    .timeout_ms = 30000,
	    .attempts_max = 2,
	});

	(void)state;
	assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
			     strlen(NON_IDEMPOTENT_REQUEST))),
	    200);
	assert_int_equal(rig_requests(rig), 1);
	rig_free(rig);
}

/* The other VMs of the region are ready: the call is sent to one of them. */
static void
test_call_is_refused_at_a_starting_vm_if_others_are_ready(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .timeout_ms = 30000,
	    .attempts_max = 2,
	});
	const char *response;

	(void)state;
	gw_set_region(rig_gateway(rig), 4, 4);
	response = rig_ask(
	    rig, NON_IDEMPOTENT_REQUEST, strlen(NON_IDEMPOTENT_REQUEST));
	assert_int_equal(status_of(response), 503);
	assert_non_null(strstr(response, "Retry-After: 0.020"));
	assert_int_equal(rig_requests(rig), 0);
	rig_free(rig);
}

/* A VM that is stopped before it knows its targets answers its callers. */
static void
test_call_at_a_starting_vm_that_stops_is_answered(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .timeout_ms = 30000,
	    .attempts_max = 2,
	});

	(void)state;
	stop_after(rig, LONG_US, LONG_US);
	assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
			     strlen(NON_IDEMPOTENT_REQUEST))),
	    503);
	assert_int_equal(rig_requests(rig), 0);
	rig_free(rig);
}

/* No target ran the request: the gateway responds 503, Retry-After. */
static void
test_request_that_no_target_ran_is_refused(void **state)
{
	const struct rig_script script = {
	    NOT_RUN_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 3);
	const char *response = rig_ask(
	    rig, NON_IDEMPOTENT_REQUEST, strlen(NON_IDEMPOTENT_REQUEST));

	(void)state;
	assert_int_equal(status_of(response), 503);
	assert_non_null(strstr(response, "Retry-After: "));
	assert_int_equal(rig_requests(rig), 3);
	rig_free(rig);
}

/* One target may have run it, the others did not: 502, not 503. */
static void
test_lost_attempt_keeps_the_outcome_unknown(void **state)
{
	const struct rig_script scripts[] = {{NULL, RIG_RESET, NULL, false},
	    {NOT_RUN_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = make_rig(scripts, 2, 3);

	(void)state;
	assert_int_equal(status_of(rig_ask(rig, IDEMPOTENT_REQUEST,
			     strlen(IDEMPOTENT_REQUEST))),
	    502);
	assert_int_equal(rig_requests(rig), 3);
	rig_free(rig);
}

/* A refused connection does not count towards attempts_max. */
static void
test_refused_connection_does_not_count_as_attempt(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .with_table = true,
	    .dead_target = true,
	    .timeout_ms = 30000,
	    .attempts_max = 1,
	});
	int i;

	(void)state;
	for (i = 0; i < 10; i++)
		assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
				     strlen(NON_IDEMPOTENT_REQUEST))),
		    200);
	rig_free(rig);
}

/* A late response is not relayed to a later request without an id. */
static void
test_late_response_is_discarded_for_request_without_id(void **state)
{
	static const char request_without_id[] =
	    "GET /safe/y HTTP/1.1\r\nHost: h\r\n\r\n";
	const struct rig_script scripts[] = {
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false},
	    {"HTTP/1.1 200 OK\r\nChervilshelf-Attempt-Id: "
	     "first\r\n" RESPONSE_SEAL "Content-Length: 5\r\n\r\nfirst"
	     "HTTP/1.1 200 OK\r\n" RESPONSE_SEAL
	     "Content-Length: 6\r\n\r\nsecond",
		RIG_KEEP, NULL, false}};
	struct rig *rig = make_rig(scripts, 2, 1);
	const char *response;

	(void)state;
	rig_ask(rig, IDEMPOTENT_REQUEST, strlen(IDEMPOTENT_REQUEST));
	response = rig_ask(rig, request_without_id, strlen(request_without_id));
	assert_int_equal(status_of(response), 200);
	assert_non_null(strstr(response, "\r\n\r\nsecond"));
	rig_free(rig);
}

/*
 * A target that never responds: 504 at the route's timeout. The target may have
 * run the request, so it is not retried and the response does not say that the
 * request did not run.
 */
static void
test_unresponsive_target_times_out(void **state)
{
	const struct rig_script script = {NULL, RIG_SILENT, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script,
	    .script_count = 1,
	    .target_count = 2,
	    .with_table = true,
	    .timeout_ms = 100,
	    .attempts_max = 2,
	});

	(void)state;
	assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
			     strlen(NON_IDEMPOTENT_REQUEST))),
	    504);
	assert_int_equal(rig_requests(rig), 1);
	rig_await_closes(rig, 1);
	rig_free(rig);
}

/* At connections_max no further connection is opened to a target. */
static void
test_connections_per_target_are_limited(void **state)
{
	const struct rig_script scripts[] = {{NULL, RIG_SILENT, NULL, false},
	    {COMPLETE_RESPONSE, RIG_KEEP, NULL, false}};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = scripts,
	    .script_count = 2,
	    .target_count = 1,
	    .with_table = true,
	    .timeout_ms = 30000,
	    .attempts_max = 2,
	    .connections_max = 1,
	});

	(void)state;
	rig_hold(rig, IDEMPOTENT_REQUEST, strlen(IDEMPOTENT_REQUEST));
	assert_int_equal(status_of(rig_ask(rig, NON_IDEMPOTENT_REQUEST,
			     strlen(NON_IDEMPOTENT_REQUEST))),
	    503);
	assert_int_equal(rig_connections(rig), 1);
	rig_free(rig);
}

/* A caller's disconnect closes the connection to the target. */
static void
test_request_is_cancelled_when_caller_disconnects(void **state)
{
	static const char pipelined[] =
	    NON_IDEMPOTENT_REQUEST "GET /safe/z HTTP/1.1\r\nHos";
	const struct rig_script script = {NULL, RIG_SILENT, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);

	(void)state;
	rig_leave(rig, NON_IDEMPOTENT_REQUEST, strlen(NON_IDEMPOTENT_REQUEST));
	rig_await_closes(rig, 1);
	rig_leave(rig, pipelined, strlen(pipelined));
	rig_await_closes(rig, 2);
	assert_int_equal(rig_requests(rig), 2);
	rig_free(rig);
}

struct caller_case {
	const char *name;
	const char *request;
	int status;
	uint32_t requests;
};

static const struct caller_case caller_cases[] = {
    {"no such route", "GET /none/x HTTP/1.1\r\nHost: h\r\n\r\n", 404, 0},
    {"no such host", "GET /safe/x HTTP/1.1\r\nHost: g\r\n\r\n", 404, 0},
    {"host with a port", "GET /safe/x HTTP/1.1\r\nHost: H:80\r\n\r\n", 200, 1},
    {"no host", "GET /safe/x HTTP/1.1\r\n\r\n", 400, 0},
    {"two hosts", "GET /safe/x HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n", 400, 0},
    {"no HTTP", "HELLO\r\n\r\n", 400, 0},
    {"length and chunks",
	"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
	"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	400, 0},
    {"two lengths",
	"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
	"Content-Length: 5\r\n\r\nbody",
	400, 0},
    {"a blank in the name of a field",
	"GET /safe/x HTTP/1.1\r\nHost: h\r\nX Field: v\r\n\r\n", 400, 0},
    {"a blank behind the name of the coding",
	"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
	"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
	400, 0},
    {"a blank in the name of a trailer",
	"POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	"\r\n4\r\nbody\r\n0\r\nX Field: v\r\n\r\n",
	400, 0},
    {"a body over the limit",
	"POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 600000\r\n\r\n",
	413, 0},
    {"a body in chunks",
	"POST /once/x HTTP/1.1\r\nHost: h\r\n"
	"Chervilshelf-Attempt-Id: first\r\n"
	"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	200, 1},
};

static void
test_requests_of_callers_are_validated(void **state)
{
	static const char response[] =
	    "HTTP/1.1 200 OK\r\n" ATTEMPT_ID RESPONSE_SEAL
	    "Content-Length: 5\r\n\r\nwhole";
	const struct rig_script script = {response, RIG_KEEP, NULL, false};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(caller_cases) / sizeof(caller_cases[0]); i++) {
		const struct caller_case *row = &caller_cases[i];
		struct rig *rig = make_rig(&script, 1, 1);
		int status =
		    status_of(rig_ask(rig, row->request, strlen(row->request)));

		if (status != row->status || rig_requests(rig) != row->requests)
			fail_msg("%s: status %d, %u requests", row->name,
			    status, rig_requests(rig));
		rig_free(rig);
	}
}

/* A caller with a 300-byte id gets its own response and the id back. */
static void
test_long_attempt_id_is_matched_and_echoed(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);
	char request[1024], echo[512];
	const char *response;
	int length;

	(void)state;
	length = snprintf(request, sizeof(request),
	    "GET /safe/x HTTP/1.1\r\nHost: h\r\n"
	    "Chervilshelf-Attempt-Id: %0300d\r\n\r\n",
	    7);
	response = rig_ask(rig, request, (size_t)length);
	assert_int_equal(status_of(response), 200);
	length = snprintf(request, sizeof(request),
	    "GET /none/x HTTP/1.1\r\nHost: h\r\n"
	    "Chervilshelf-Attempt-Id: %0300d\r\n\r\n",
	    7);
	response = rig_ask(rig, request, (size_t)length);
	assert_int_equal(status_of(response), 404);
	snprintf(echo, sizeof(echo), "Chervilshelf-Attempt-Id: %0300d\r\n", 7);
	assert_non_null(strstr(response, echo));
	rig_free(rig);
}

static void
test_large_request_head_is_refused(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);
	char request[8192];
	int length = snprintf(request, sizeof(request),
	    "GET /safe/x HTTP/1.1\r\nHost: h\r\nX: %05000d\r\n\r\n", 0);

	(void)state;
	assert_int_equal(status_of(rig_ask(rig, request, (size_t)length)), 431);
	rig_free(rig);
}

/* Requests are forwarded unchanged except for hop-by-hop headers. */
static void
test_hop_by_hop_headers_are_not_forwarded(void **state)
{
	static const char request[] =
	    "PUT /once/a%20b?q=1 HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\n"
	    "Connection: keep-alive, X-Drop\r\nX-Drop: 1\r\n"
	    "Chervilshelf-Attempt-Id: first\r\n"
	    "Chervilshelf-Expected-Instance: forged\r\n"
	    "Chervilshelf-Request-Deadline: 700\r\n"
	    "Content-Length: 4\r\n\r\nbody";
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);
	const char *forwarded;

	(void)state;
	rig_ask(rig, request, strlen(request));
	forwarded = rig_last(rig);
	assert_ptr_equal(
	    strstr(forwarded, "PUT /once/a%20b?q=1 HTTP/1.1\r\n"), forwarded);
	assert_non_null(strstr(forwarded, "X-Own: 1\r\n"));
	assert_null(strstr(forwarded, "X-Drop"));
	assert_null(strstr(forwarded, "forged"));
	assert_non_null(
	    strstr(forwarded, "Chervilshelf-Expected-Instance: t-0\r\n"));
	assert_non_null(
	    strstr(forwarded, "Chervilshelf-Attempt-Id: first\r\n"));
	assert_in_range(
	    atoi(strstr(forwarded, "Request-Deadline: ") + 18), 1, 700);
	assert_non_null(strstr(forwarded, "\r\n\r\nbody"));
	rig_free(rig);
}

/* Without a configuration the response is 503 with Retry-After. */
static void
test_request_without_configuration_is_refused(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &script, .script_count = 1, .timeout_ms = 30000});
	const char *response =
	    rig_ask(rig, IDEMPOTENT_REQUEST, strlen(IDEMPOTENT_REQUEST));

	(void)state;
	assert_int_equal(status_of(response), 503);
	assert_non_null(strstr(response, "Retry-After: "));
	rig_free(rig);
}

/* A removed target gets no further request. */
static void
test_removed_target_gets_no_requests(void **state)
{
	const struct rig_script script = {
	    COMPLETE_RESPONSE, RIG_KEEP, NULL, false};
	struct rig *rig = make_rig(&script, 1, 1);

	(void)state;
	assert_int_equal(status_of(rig_ask(rig, IDEMPOTENT_REQUEST,
			     strlen(IDEMPOTENT_REQUEST))),
	    200);
	gw_remove_target(rig_gateway(rig), rig_target_id(0));
	assert_int_equal(status_of(rig_ask(rig, IDEMPOTENT_REQUEST,
			     strlen(IDEMPOTENT_REQUEST))),
	    503);
	assert_int_equal(rig_requests(rig), 1);
	rig_free(rig);
}

/* An older copy of its registration says that it is ready. */
static void
test_process_that_leaves_stays_so(void **state)
{
	const struct rig_script silent = {NULL, RIG_SILENT, NULL, false};
	struct rig *rig = rig_create(&(struct rig_params){
	    .scripts = &silent,
	    .script_count = 1,
	    .target_count = 1,
	    .with_table = true,
	    .timeout_ms = 30000,
	    .attempts_max = 1,
	});
	struct gw_target_info info = {
	    .id = "t", .pool = "p", .slots = 4, .process_start_ms = 5};
	struct gw_target_state known;

	(void)state;
	uv_ip4_addr("127.0.0.1", 1, &info.address);
	gw_update_target(rig_gateway(rig), &info);
	assert_true(gw_find_target(rig_gateway(rig), "t", &known));
	assert_false(known.leaving);
	info.draining = true;
	gw_update_target(rig_gateway(rig), &info);
	info.draining = false;
	gw_update_target(rig_gateway(rig), &info);
	assert_true(gw_find_target(rig_gateway(rig), "t", &known));
	assert_true(known.leaving);
	info.process_start_ms = 6;
	gw_update_target(rig_gateway(rig), &info);
	assert_true(gw_find_target(rig_gateway(rig), "t", &known));
	assert_false(known.leaving);
	rig_free(rig);
}

/*
 * Guards against 413 and 431 by the limits of before the first configuration:
 * the one that is in force may allow what they refuse.
 */
static void
test_without_configuration_no_request_is_too_large(void **state)
{
	static const char large_body[] =
	    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000"
	    "\r\n\r\n";
	static char large_head[200000];
	const char *requests[] = {large_body, large_head};
	size_t i, length;

	(void)state;
	length = (size_t)snprintf(
	    large_head, sizeof(large_head), "GET /safe/x HTTP/1.1\r\nX: ");
	memset(large_head + length, 'x', sizeof(large_head) - length - 1);
	for (i = 0; i < 2; i++) {
		struct rig *rig =
		    rig_create(&(struct rig_params){.target_count = 1});
		const char *got =
		    rig_ask(rig, requests[i], strlen(requests[i]));

		assert_int_equal(status_of(got), 503);
		assert_non_null(strstr(got, "\r\nRetry-After: "));
		rig_free(rig);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_responses_are_relayed_retried_or_failed),
	    cmocka_unit_test(test_status_lines_that_are_none_are_no_response),
	    cmocka_unit_test(
		test_without_configuration_no_request_is_too_large),
	    cmocka_unit_test(
		test_response_without_length_ends_with_the_connection),
	    cmocka_unit_test(test_late_duplicate_response_is_discarded),
	    cmocka_unit_test(
		test_repeated_refusal_is_no_refusal_of_the_next_request),
	    cmocka_unit_test(
		test_requests_that_cannot_be_matched_get_connections_of_their_own),
	    cmocka_unit_test(test_response_cut_at_any_byte_is_not_relayed),
	    cmocka_unit_test(test_waiting_call_is_placed_without_probes),
	    cmocka_unit_test(
		test_notices_of_the_last_target_refuse_calls_at_once),
	    cmocka_unit_test(test_waiting_call_at_a_vm_that_stops_is_answered),
	    cmocka_unit_test(test_request_that_outlasts_the_stop_is_refused),
	    cmocka_unit_test(
		test_no_late_retry_of_a_call_that_outlasts_the_stop),
	    cmocka_unit_test(
		test_call_at_a_target_is_answered_when_the_vm_ends),
	    cmocka_unit_test(test_many_pipelined_requests_are_all_answered),
	    cmocka_unit_test(test_bytes_on_an_idle_connection_close_it),
	    cmocka_unit_test(
		test_connection_is_not_reused_after_an_early_response),
	    cmocka_unit_test(test_refused_connections_are_retried),
	    cmocka_unit_test(test_pipelined_requests_are_answered_in_order),
	    cmocka_unit_test(
		test_requests_behind_a_closing_response_are_not_sent),
	    cmocka_unit_test(test_bytes_without_end_close_the_connection),
	    cmocka_unit_test(test_interim_responses_of_a_long_request_are_read),
	    cmocka_unit_test(test_bodies_of_all_responses_share_a_budget),
	    cmocka_unit_test(test_call_waits_until_the_objects_are_loaded),
	    cmocka_unit_test(
		test_call_is_refused_at_a_starting_vm_if_others_are_ready),
	    cmocka_unit_test(test_call_at_a_starting_vm_that_stops_is_answered),
	    cmocka_unit_test(test_request_that_no_target_ran_is_refused),
	    cmocka_unit_test(test_lost_attempt_keeps_the_outcome_unknown),
	    cmocka_unit_test(test_refused_connection_does_not_count_as_attempt),
	    cmocka_unit_test(
		test_late_response_is_discarded_for_request_without_id),
	    cmocka_unit_test(test_unresponsive_target_times_out),
	    cmocka_unit_test(test_connections_per_target_are_limited),
	    cmocka_unit_test(test_request_is_cancelled_when_caller_disconnects),
	    cmocka_unit_test(test_requests_of_callers_are_validated),
	    cmocka_unit_test(test_long_attempt_id_is_matched_and_echoed),
	    cmocka_unit_test(test_large_request_head_is_refused),
	    cmocka_unit_test(test_hop_by_hop_headers_are_not_forwarded),
	    cmocka_unit_test(test_request_without_configuration_is_refused),
	    cmocka_unit_test(test_removed_target_gets_no_requests),
	    cmocka_unit_test(test_process_that_leaves_stays_so),
	};

	cs_log_open("error");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
