/*
 * Stand-in for callers: many callers in one process, with open-loop Poisson
 * arrivals. Each caller requests the directory, caches the response for its
 * time to live and calls the first address, or the next one if it cannot
 * connect. Latency is measured from the intended start of a call and includes
 * the wait for the directory. Each response is checked against its request.
 * Prints a summary as JSON; --log writes a line per call.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "standin.h"

#define ENTRIES_MAX 8
#define TICK_MS 1
#define RESPONSE_BYTES_MAX (32 * 1024 * 1024)
#define CALL_TIMEOUT_MS 15000

struct caller {
	struct sockaddr_in entries[ENTRIES_MAX];
	int entry_count;
	int64_t directory_valid_until_us;
	int64_t refresh_after_us; /* then refreshes without delaying calls */
	char home[96];		  /* prefix of its keys, from the directory */
	bool directory_pending;
	GQueue pending; /* calls that wait for the directory */
};

struct call {
	struct caller *caller;
	int64_t intended_us;
	bool is_post;
	int retries;
	char tag[40];
	char key[160];
};

struct totals {
	uint64_t sent, right, wrong, not_run, unknown, lost;
	struct cs_histogram latency;
};

static struct {
	uv_loop_t loop;
	struct h1_client *http;
	uv_timer_t tick;
	struct cs_random random;
	struct caller *callers;
	struct sockaddr_in directory;
	struct totals totals;
	FILE *log;
	int64_t next_arrival_us, end_us;
	uint64_t calls_started, open_calls;
	int keys_sent;
	/* command-line options */
	char *directory_text, *log_path, *get_path, *post_path, *member;
	char *direct_text;
	double rate, seconds, post_share;
	double swing_rate, swing_from, swing_to;
	int caller_count, body_bytes;
	int api_keys; /* sent in turn: key-0, key-1 and so on; 0: none */
	int64_t seed, deadline_ms;
	gboolean ask_path; /* send the path with directory requests */
	int resends;	   /* per call whose connection was lost */
	char *body;
} g = {
    .get_path = "/profiles/1",
    .post_path = "/letters/1",
    .member = "member",
    .rate = 100,
    .seconds = 2,
    .caller_count = 32,
    .body_bytes = 200,
    .seed = 1,
};

static void send_call(struct call *call);
static void request_directory(struct caller *caller);

/* Reads the reason of a refusal from the response body; "-" if none. */
static void
read_reason(const struct h1_client_response *response, char reason[32])
{
	if (response->error != CS_OK ||
	    sscanf(response->body, "{\"reason\":\"%31[a-z_]", reason) != 1)
		strcpy(reason, "-");
}

static void
log_call(const struct call *call, const char *result,
    const struct h1_client_response *response, int64_t latency_us)
{
	char reason[32];

	if (g.log == NULL)
		return;
	read_reason(response, reason);
	fprintf(g.log, "%s %s %s %d %lld %s %d %s\n", call->tag,
	    call->is_post ? "post" : "get", result, response->status,
	    (long long)latency_us, reason, call->retries, call->key);
}

/*
 * Checks the response against the call: the target echoes the tag of the
 * request and the length and the hash of the body that it received.
 */
static bool
response_matches(
    const struct call *call, const struct h1_client_response *response)
{
	size_t bytes = call->is_post ? (size_t)g.body_bytes : 0;
	char expected[160];

	snprintf(expected, sizeof(expected),
	    "\"tag\":\"%s\",\"bytes\":%zu,\"hash\":\"%016llx\"}", call->tag,
	    bytes, (unsigned long long)cs_hash(g.body, bytes));
	return strstr(response->body, expected) != NULL;
}

static const char *
classify_response(
    const struct call *call, const struct h1_client_response *response)
{
	struct totals *t = &g.totals;
	const char *outcome;

	if (response->error != CS_OK) {
		t->lost++;
		return "lost";
	}
	outcome = h1_find_header(response->message, "chervilshelf-outcome");
	if (outcome != NULL && strcmp(outcome, "not-run") == 0) {
		t->not_run++;
		return "not-run";
	}
	if (outcome != NULL && strcmp(outcome, "unknown") == 0) {
		t->unknown++;
		return "unknown";
	}
	if (response->status == 200 && response_matches(call, response)) {
		t->right++;
		return "right";
	}
	t->wrong++;
	return "wrong";
}

/*
 * Retries at each address once if the connect fails. After any other failure
 * the call is sent again with the same key, up to --resends times.
 */
static bool
should_retry(const struct call *call, const struct h1_client_response *response)
{
	if (response->error == CS_E_UNAVAILABLE)
		return call->retries + 1 < call->caller->entry_count;
	return call->retries < g.resends;
}

static void
on_response(const struct h1_client_response *response, void *user)
{
	struct call *call = user;
	int64_t latency_us = cs_now_us() - call->intended_us;
	const char *result;

	if (response->error != CS_OK && should_retry(call, response)) {
		call->retries++;
		send_call(call);
		return;
	}
	result = classify_response(call, response);
	if (strcmp(result, "right") == 0)
		cs_histogram_add(&g.totals.latency, latency_us);
	log_call(call, result, response, latency_us);
	g.open_calls--;
	g_free(call);
}

static void
send_call(struct call *call)
{
	char headers[384];
	int used;

	used = snprintf(headers, sizeof(headers),
	    "X-Tag: %s\r\nChervilshelf-Member: %s\r\n", call->tag, g.member);
	if (call->is_post)
		used += snprintf(headers + used, sizeof(headers) - (size_t)used,
		    "Idempotency-Key: %s\r\n", call->key);
	if (g.api_keys > 0)
		used += snprintf(headers + used, sizeof(headers) - (size_t)used,
		    "X-Api-Key: key-%d\r\n", g.keys_sent++ % g.api_keys);
	if (g.deadline_ms > 0)
		snprintf(headers + used, sizeof(headers) - (size_t)used,
		    "Chervilshelf-Deadline-Ms: %lld\r\n",
		    (long long)g.deadline_ms);
	h1_client_send(g.http,
	    &(struct h1_request){
		.address = call->caller->entries[call->retries %
						 call->caller->entry_count],
		.method = call->is_post ? "POST" : "GET",
		.path = call->is_post ? g.post_path : g.get_path,
		.headers = headers,
		.body = g.body,
		.body_length = call->is_post ? (size_t)g.body_bytes : 0,
		.response_bytes_max = RESPONSE_BYTES_MAX,
		.timeout_ms = CALL_TIMEOUT_MS,
		.reuse = true,
		.on_response = on_response,
		.user = call,
	    });
}

/*
 * Sends the calls that waited for the directory. The key is made once per call,
 * with the home token of the entry VM that is called first, and retries keep
 * it.
 */
static void
send_pending(struct caller *caller)
{
	struct call *call;

	while ((call = g_queue_pop_head(&caller->pending)) != NULL) {
		snprintf(call->key, sizeof(call->key), "%s.%s", caller->home,
		    call->tag);
		send_call(call);
	}
}

static void
on_directory(const struct h1_client_response *response, void *user)
{
	struct caller *caller = user;
	json_t *root, *list, *row;
	const char *home;
	int64_t directory_ttl_ms;
	size_t i;

	caller->directory_pending = false;
	root = json_loads(response->body, 0, NULL);
	if (root == NULL) {
		if (!g_queue_is_empty(&caller->pending))
			request_directory(caller);
		return;
	}
	list = json_object_get(root, "entries");
	directory_ttl_ms = json_integer_value(json_object_get(root, "keep_ms"));
	row = json_array_get(list, 0);
	home = json_string_value(json_object_get(row, "home"));
	g_strlcpy(caller->home, home != NULL ? home : "", sizeof(caller->home));
	if (json_array_size(list) > 0)
		caller->entry_count = 0;
	json_array_foreach(list, i, row)
	{
		if (caller->entry_count < ENTRIES_MAX &&
		    cs_parse_address(
			json_string_value(json_object_get(row, "address")),
			&caller->entries[caller->entry_count]) == CS_OK)
			caller->entry_count++;
	}
	caller->directory_valid_until_us =
	    cs_now_us() + directory_ttl_ms * 1000;
	caller->refresh_after_us = cs_now_us() + directory_ttl_ms * 1000 / 2;
	json_decref(root);
	send_pending(caller);
}

/*
 * Requests the directory from a random known entry VM, or from the --directory
 * address if none is known yet.
 */
static void
request_directory(struct caller *caller)
{
	struct sockaddr_in from = g.directory;
	char path[256];

	snprintf(path, sizeof(path), "/.chervilshelf/entries%s%s",
	    g.ask_path ? "?path=" : "", g.ask_path ? g.get_path : "");
	if (caller->entry_count > 0)
		from = caller->entries[cs_random_below(
		    &g.random, (uint32_t)caller->entry_count)];
	caller->directory_pending = true;
	h1_client_send(g.http, &(struct h1_request){
				   .address = from,
				   .method = "GET",
				   .path = path,
				   .response_bytes_max = RESPONSE_BYTES_MAX,
				   .timeout_ms = 1000,
				   .reuse = true,
				   .on_response = on_directory,
				   .user = caller,
			       });
}

static void
start_call(int64_t intended_us)
{
	struct caller *caller =
	    &g.callers[cs_random_below(&g.random, (uint32_t)g.caller_count)];
	struct call *call = g_new0(struct call, 1);

	call->caller = caller;
	call->intended_us = intended_us;
	call->is_post = cs_random_unit(&g.random) < g.post_share;
	snprintf(call->tag, sizeof(call->tag), "t%lld-%llu", (long long)g.seed,
	    (unsigned long long)++g.calls_started);
	g.totals.sent++;
	g.open_calls++;
	g_queue_push_tail(&caller->pending, call);
	if (caller->directory_valid_until_us >= cs_now_us())
		send_pending(caller);
	if (caller->refresh_after_us <= cs_now_us() &&
	    !caller->directory_pending)
		request_directory(caller);
}

static void
print_summary(void)
{
	const struct totals *t = &g.totals;

	printf(
	    "{\"sent\":%llu,\"right\":%llu,\"wrong\":%llu,"
	    "\"not_run\":%llu,\"unknown\":%llu,\"lost\":%llu,"
	    "\"p50_us\":%lld,\"p95_us\":%lld,\"p98_us\":%lld,\"p99_us\":%lld,"
	    "\"p999_us\":%lld}\n",
	    (unsigned long long)t->sent, (unsigned long long)t->right,
	    (unsigned long long)t->wrong, (unsigned long long)t->not_run,
	    (unsigned long long)t->unknown, (unsigned long long)t->lost,
	    (long long)cs_histogram_quantile(&t->latency, 0.5),
	    (long long)cs_histogram_quantile(&t->latency, 0.95),
	    (long long)cs_histogram_quantile(&t->latency, 0.98),
	    (long long)cs_histogram_quantile(&t->latency, 0.99),
	    (long long)cs_histogram_quantile(&t->latency, 0.999));
}

/* Returns the arrival rate: --swing-rate from --swing-from to --swing-to. */
static double
rate_at(int64_t at_us)
{
	double second = g.seconds - (double)(g.end_us - at_us) / 1e6;

	if (g.swing_rate > 0 && second >= g.swing_from && second < g.swing_to)
		return g.swing_rate;
	return g.rate;
}

static void
on_tick(uv_timer_t *timer)
{
	int64_t now_us = cs_now_us();

	(void)timer;
	while (g.next_arrival_us <= now_us && g.next_arrival_us < g.end_us) {
		start_call(g.next_arrival_us);
		g.next_arrival_us +=
		    (int64_t)si_exponential(cs_random_unit(&g.random),
			1e6 / rate_at(g.next_arrival_us));
	}
	if (g.next_arrival_us >= g.end_us && g.open_calls == 0)
		uv_stop(&g.loop);
}

/* Makes the caller use one address without a directory, such as a target. */
static void
set_direct_address(struct caller *caller)
{
	cs_parse_address(g.direct_text, &caller->entries[0]);
	caller->entry_count = 1;
	caller->directory_valid_until_us = INT64_MAX;
	caller->refresh_after_us = INT64_MAX;
}

static void
on_startup_timer(uv_timer_t *timer)
{
	int i;

	for (i = 0; i < g.caller_count; i++) {
		if (g.direct_text != NULL)
			set_direct_address(&g.callers[i]);
		else if (g.callers[i].entry_count == 0 &&
			 !g.callers[i].directory_pending)
			request_directory(&g.callers[i]);
	}
	for (i = 0; i < g.caller_count; i++) {
		if (g.callers[i].entry_count == 0)
			return;
	}
	g.next_arrival_us = cs_now_us();
	g.end_us = g.next_arrival_us + (int64_t)(g.seconds * 1e6);
	uv_timer_start(timer, on_tick, TICK_MS, TICK_MS);
}

static void
init_state(void)
{
	int i;

	uv_loop_init(&g.loop);
	g.http = h1_client_create(&g.loop);
	cs_random_seed(&g.random, (uint64_t)g.seed);
	g.callers = g_new0(struct caller, g.caller_count);
	g.body = g_malloc((size_t)g.body_bytes + 1);
	for (i = 0; i < g.body_bytes; i++)
		g.body[i] = (char)('A' + i % 26);
	if (g.log_path != NULL)
		g.log = fopen(g.log_path, "w");
	uv_timer_init(&g.loop, &g.tick);
	uv_timer_start(&g.tick, on_startup_timer, 0, 20);
}

int
si_caller(int argc, char **argv)
{
	const GOptionEntry options[] = {
	    {"directory", 0, 0, G_OPTION_ARG_STRING, &g.directory_text, NULL,
		NULL},
	    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &g.rate, NULL, NULL},
	    {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &g.seconds, NULL, NULL},
	    {"direct", 0, 0, G_OPTION_ARG_STRING, &g.direct_text, NULL, NULL},
	    {"swing-rate", 0, 0, G_OPTION_ARG_DOUBLE, &g.swing_rate, NULL,
		NULL},
	    {"swing-from", 0, 0, G_OPTION_ARG_DOUBLE, &g.swing_from, NULL,
		NULL},
	    {"swing-to", 0, 0, G_OPTION_ARG_DOUBLE, &g.swing_to, NULL, NULL},
	    {"callers", 0, 0, G_OPTION_ARG_INT, &g.caller_count, NULL, NULL},
	    {"post-share", 0, 0, G_OPTION_ARG_DOUBLE, &g.post_share, NULL,
		NULL},
	    {"body-bytes", 0, 0, G_OPTION_ARG_INT, &g.body_bytes, NULL, NULL},
	    {"api-keys", 0, 0, G_OPTION_ARG_INT, &g.api_keys, NULL, NULL},
	    {"get-path", 0, 0, G_OPTION_ARG_STRING, &g.get_path, NULL, NULL},
	    {"post-path", 0, 0, G_OPTION_ARG_STRING, &g.post_path, NULL, NULL},
	    {"member", 0, 0, G_OPTION_ARG_STRING, &g.member, NULL, NULL},
	    {"deadline-ms", 0, 0, G_OPTION_ARG_INT64, &g.deadline_ms, NULL,
		NULL},
	    {"ask-path", 0, 0, G_OPTION_ARG_NONE, &g.ask_path, NULL, NULL},
	    {"resends", 0, 0, G_OPTION_ARG_INT, &g.resends, NULL, NULL},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &g.seed, NULL, NULL},
	    {"log", 0, 0, G_OPTION_ARG_STRING, &g.log_path, NULL, NULL},
	    {0},
	};
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    (g.directory_text == NULL && g.direct_text == NULL) ||
	    cs_parse_address(
		g.directory_text != NULL ? g.directory_text : g.direct_text,
		&g.directory) != CS_OK)
		return 2;
	init_state();
	uv_run(&g.loop, UV_RUN_DEFAULT);
	print_summary();
	if (g.log != NULL)
		fclose(g.log);
	return 0;
}
