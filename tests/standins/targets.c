/*
 * Stand-in for targets: several targets in one process, each with slots, a
 * queue and random service times. /control?target=I&... on the control
 * listener sets the faults of one target (of all targets if none is given):
 *	slow=N      service takes N times as long
 *	shed=1      responds with 503 at once
 *	mute=1      connections that are open now get no more responses
 *	truncate=1  responses end after half of the body
 * Complete responses with status 200 carry a seal and the target's load, as
 * those of the platform's targets do; /health gets its response at once.
 * A request with "kill" in its path crashes its target: the target closes all
 * its connections, and closes them again at each request that arrives within
 * CRASH_DURATION_MS. /runs returns the number of runs per tag, and /served the
 * number of requests that each target finished.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "standin.h"

#define TARGETS_MAX 256
#define BODY_BYTES_MAX (32 * 1024 * 1024)
#define CRASH_DURATION_MS 300
#define SWEEP_MS 250

struct target_group;

struct target {
	struct target_group *group;
	struct h1_server *server;
	char address[CS_ADDRESS_BYTES_MAX];
	GQueue waiting; /* struct work that has no slot yet */
	int64_t running;
	int64_t slow;
	bool shed;
	bool truncate;
	int64_t crashed_until_us;
	int64_t mute_before_us;
	uint64_t served;
};

/* A request that a target queues or runs. */
struct work {
	struct target *target;
	struct h1_conn *conn; /* NULL once closed or responded to */
	const struct h1_message *request;
	uv_timer_t timer;
	double service_ms;
	bool started;
};

struct target_group {
	uv_loop_t loop;
	uv_timer_t sweep;
	struct target targets[TARGETS_MAX];
	struct h1_server *control;
	struct cs_random random;
	GHashTable *runs; /* tag to number of runs */
	int count;
	int slots;
	double mean_ms;
	double straggler_share;
	double straggler_ms;
	int64_t seed;
};

static void start_next(struct target *target);

static void
on_work_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void
count_run(struct target_group *group, const struct h1_message *request)
{
	const char *tag = h1_find_header(request, "x-tag");
	int runs;

	if (tag == NULL)
		return;
	runs = GPOINTER_TO_INT(g_hash_table_lookup(group->runs, tag));
	g_hash_table_replace(
	    group->runs, g_strdup(tag), GINT_TO_POINTER(runs + 1));
}

/* Responds with the headers that gateways expect of targets. */
static void
respond(struct h1_conn *conn, const struct target *target, const char *type,
    const char *body, size_t length)
{
	char headers[256];

	snprintf(headers, sizeof(headers),
	    "Content-Type: %s\r\nChervilshelf-Response-Seal: 1\r\n"
	    "Chervilshelf-Server-Load: %lld,%u,%d,100\r\n",
	    type, (long long)target->running,
	    g_queue_get_length((GQueue *)(uintptr_t)&target->waiting),
	    target->group->slots);
	h1_conn_send_response(conn, &(struct h1_response){
					.status = 200,
					.headers = headers,
					.headers_length = strlen(headers),
					.body = body,
					.body_length = length,
				    });
}

/* Returns a new body whose bytes depend on their position only. */
static char *
make_body(size_t bytes)
{
	char *body = g_malloc(bytes + 1);
	size_t i;

	for (i = 0; i < bytes; i++)
		body[i] = (char)('a' + (i * 7 + i / 251) % 26);
	return body;
}

static void
send_truncated(struct h1_conn *conn)
{
	h1_conn_begin_response(
	    conn, &(struct h1_response_head){
		      .status = 200, .sized = true, .length = 8});
	h1_conn_send_body(conn, "half", 4);
	h1_conn_abort_response(conn);
}

static void
send_body(const struct work *work, size_t bytes)
{
	char *body = make_body(bytes);

	respond(work->conn, work->target, "text/plain", body, bytes);
	g_free(body);
}

static void
send_work_response(struct work *work)
{
	const struct h1_message *request = work->request;
	const char *tag = h1_find_header(request, "x-tag");
	int64_t bytes = si_query_number(request, "size", 0);
	char text[512];

	if (bytes > 0) {
		send_body(work, (size_t)bytes);
		return;
	}
	snprintf(text, sizeof(text),
	    "{\"target\":\"%s\",\"tag\":\"%s\",\"bytes\":%zu,"
	    "\"hash\":\"%016llx\"}\n",
	    work->target->address, tag == NULL ? "" : tag, request->body.length,
	    (unsigned long long)cs_hash(
		request->body.data, request->body.length));
	respond(
	    work->conn, work->target, "application/json", text, strlen(text));
}

static void
end_work(struct work *work)
{
	if (work->conn != NULL)
		h1_conn_set_call(work->conn, NULL);
	if (work->started)
		work->target->running--;
	else
		g_queue_remove(&work->target->waiting, work);
	uv_close((uv_handle_t *)&work->timer, on_work_closed);
	start_next(work->target);
}

static void
on_work_done(uv_timer_t *timer)
{
	struct work *work = timer->data;
	struct h1_conn *conn = work->conn;

	work->target->served++;
	if (conn != NULL)
		h1_conn_set_call(conn, NULL);
	if (conn != NULL && work->target->truncate)
		send_truncated(conn);
	else if (conn != NULL)
		send_work_response(work);
	work->conn = NULL;
	end_work(work);
}

static void
start_next(struct target *target)
{
	struct work *work;

	if (target->running >= target->group->slots)
		return;
	work = g_queue_pop_head(&target->waiting);
	if (work == NULL)
		return;
	target->running++;
	work->started = true;
	count_run(target->group, work->request);
	uv_timer_start(&work->timer, on_work_done,
	    (uint64_t)(work->service_ms * (double)target->slow), 0);
}

static double
service_ms(struct target_group *group, const struct h1_message *request)
{
	int64_t fixed = si_query_number(request, "ms", -1);
	double unit = cs_random_unit(&group->random);

	if (fixed >= 0)
		return (double)fixed;
	if (cs_random_unit(&group->random) < group->straggler_share)
		return group->straggler_ms;
	return si_exponential(unit, group->mean_ms);
}

/*
 * Cancels queued work whose caller disconnected, since targets accept
 * cancellation. Work that has started runs to its end.
 */
static void
on_disconnect(struct h1_conn *conn)
{
	struct work *work = h1_conn_call(conn);

	if (work == NULL)
		return;
	work->conn = NULL;
	if (!work->started)
		end_work(work);
}

static void
crash(struct target *target)
{
	target->crashed_until_us = cs_now_us() + CRASH_DURATION_MS * 1000;
	h1_server_close_connections(target->server);
}

static void
on_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct target *target = h1_conn_user(conn);
	struct work *work;

	if (cs_now_us() < target->crashed_until_us) {
		h1_server_close_connections(target->server);
		return;
	}
	if (h1_conn_opened_us(conn) < target->mute_before_us)
		return;
	if (h1_path_is(request, "/health")) {
		respond(conn, target, "text/plain", "", 0);
		return;
	}
	if (target->shed) {
		h1_conn_send_text(conn, 503, "text/plain", "shed\n");
		return;
	}
	if (strstr(h1_target(request), "kill") != NULL) {
		count_run(target->group, request);
		crash(target);
		return;
	}
	work = g_new0(struct work, 1);
	work->target = target;
	work->conn = conn;
	work->request = request;
	work->service_ms = service_ms(target->group, request);
	h1_conn_set_call(conn, work);
	uv_timer_init(&target->group->loop, &work->timer);
	work->timer.data = work;
	g_queue_push_tail(&target->waiting, work);
	start_next(target);
}

static void
set_faults(struct target *target, const struct h1_message *request)
{
	target->slow = si_query_number(request, "slow", target->slow);
	target->shed = si_query_number(request, "shed", target->shed) != 0;
	target->truncate =
	    si_query_number(request, "truncate", target->truncate) != 0;
	if (si_query_number(request, "mute", 0) != 0)
		target->mute_before_us = cs_now_us();
}

static void
respond_json(struct h1_conn *conn, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	h1_conn_send_text(conn, 200, "application/json", text);
	free(text);
}

static json_t *
describe_runs(struct target_group *group)
{
	json_t *root = json_object();
	GHashTableIter iter;
	gpointer tag, runs;

	g_hash_table_iter_init(&iter, group->runs);
	while (g_hash_table_iter_next(&iter, &tag, &runs))
		json_object_set_new(
		    root, tag, json_integer(GPOINTER_TO_INT(runs)));
	return root;
}

static json_t *
describe_served(struct target_group *group)
{
	json_t *root = json_object();
	int i;

	for (i = 0; i < group->count; i++)
		json_object_set_new(root, group->targets[i].address,
		    json_integer((json_int_t)group->targets[i].served));
	return root;
}

static void
on_control(struct h1_conn *conn, const struct h1_message *request)
{
	struct target_group *group = h1_conn_user(conn);
	int64_t target_index = si_query_number(request, "target", -1);
	int i;

	if (h1_path_is(request, "/runs")) {
		respond_json(conn, describe_runs(group));
		return;
	}
	if (h1_path_is(request, "/served")) {
		respond_json(conn, describe_served(group));
		return;
	}
	for (i = 0; i < group->count; i++) {
		if (target_index < 0 || target_index == i)
			set_faults(&group->targets[i], request);
	}
	h1_conn_send_text(conn, 200, "text/plain", "ok\n");
}

static void
on_control_disconnect(struct h1_conn *conn)
{
	(void)conn; /* requests get their response at once */
}

static void
on_sweep(uv_timer_t *timer)
{
	struct target_group *group = timer->data;
	int i;

	for (i = 0; i < group->count; i++)
		h1_server_sweep(group->targets[i].server, cs_now_us());
	h1_server_sweep(group->control, cs_now_us());
}

static int
open_targets(struct target_group *group)
{
	static const struct h1_server_events events = {
	    .on_request = on_request, .on_disconnect = on_disconnect};
	static const struct h1_server_events control = {
	    .on_request = on_control, .on_disconnect = on_control_disconnect};
	char address[CS_ADDRESS_BYTES_MAX];
	int i;

	for (i = 0; i < group->count; i++) {
		struct target *target = &group->targets[i];

		target->group = group;
		target->slow = 1;
		g_queue_init(&target->waiting);
		if (si_listen(&group->loop, &events, target, BODY_BYTES_MAX,
			&target->server) != CS_OK)
			return 1;
		h1_server_address(target->server, target->address);
		printf("target %s\n", target->address);
	}
	if (si_listen(&group->loop, &control, group, BODY_BYTES_MAX,
		&group->control) != CS_OK)
		return 1;
	h1_server_address(group->control, address);
	printf("control %s\n", address);
	fflush(stdout);
	uv_timer_init(&group->loop, &group->sweep);
	group->sweep.data = group;
	uv_timer_start(&group->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	return 0;
}

int
si_targets(int argc, char **argv)
{
	static struct target_group group = {
	    .count = 1,
	    .slots = 4,
	    .mean_ms = 20,
	    .straggler_ms = 600,
	    .seed = 1,
	};
	const GOptionEntry options[] = {
	    {"count", 0, 0, G_OPTION_ARG_INT, &group.count, NULL, NULL},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &group.slots, NULL, NULL},
	    {"mean-ms", 0, 0, G_OPTION_ARG_DOUBLE, &group.mean_ms, NULL, NULL},
	    {"straggler-share", 0, 0, G_OPTION_ARG_DOUBLE,
		&group.straggler_share, NULL, NULL},
	    {"straggler-ms", 0, 0, G_OPTION_ARG_DOUBLE, &group.straggler_ms,
		NULL, NULL},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &group.seed, NULL, NULL},
	    {0},
	};
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    group.count < 1 || group.count > TARGETS_MAX)
		return 2;
	uv_loop_init(&group.loop);
	cs_random_seed(&group.random, (uint64_t)group.seed);
	group.runs = g_hash_table_new(g_str_hash, g_str_equal);
	if (open_targets(&group) != 0)
		return 1;
	uv_run(&group.loop, UV_RUN_DEFAULT);
	return 0;
}
