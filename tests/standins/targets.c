/*
 * The targets' stand-in: several targets in one process, each with slots, a
 * queue and random service times. /control?target=I&... on the control
 * listener switches one target's faults (no target: all of them):
 *	slow=N      service takes N times as long
 *	shed=1      answers 503 at once
 *	mute=1      connections that are open now never answer again
 *	truncate=1  answers break off half way
 * A request with "kill" in its path crashes its target: all its connections
 * break, and it refuses new ones for a while. /runs counts runs by tag.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "../../lib/http/http.h"
#include "standin.h"

#define TARGETS_MAX 256
#define BODY_BYTES_MAX (32 * 1024 * 1024)
#define CRASH_MS 300

struct targets;

struct target {
	struct targets *all;
	struct ht_server *server;
	char address[CS_ADDRESS_BYTES_MAX];
	GQueue waiting; /* of struct work */
	int64_t running;
	int64_t slow;
	bool shed;
	bool truncate;
	int64_t crashed_until_us;
	int64_t mute_before_us;
	uint64_t served;
};

/* One request at a target. */
struct work {
	struct work **anchor; /* cleared when the work ends first */
	struct target *target;
	h2o_req_t *req; /* NULL once its caller is gone */
	uv_timer_t timer;
	double service_ms;
	bool started;
};

struct targets {
	uv_loop_t loop;
	struct target items[TARGETS_MAX];
	struct ht_server *control;
	struct cs_random random;
	GHashTable *runs; /* tag to count */
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
count_run(struct targets *all, h2o_req_t *req)
{
	h2o_iovec_t tag = ht_header(req, "x-tag");
	char *name;
	int runs;

	if (tag.base == NULL)
		return;
	name = g_strndup(tag.base, tag.len);
	runs = GPOINTER_TO_INT(g_hash_table_lookup(all->runs, name));
	g_hash_table_replace(all->runs, name, GINT_TO_POINTER(runs + 1));
}

/* Fills a body with bytes that depend on their position only. */
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
reply_truncated(h2o_req_t *req)
{
	static h2o_generator_t generator;
	h2o_iovec_t half = h2o_strdup(&req->pool, "half", 4);

	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = 8;
	req->http1_is_persistent = 0;
	h2o_start_response(req, &generator);
	h2o_send(req, &half, 1, H2O_SEND_STATE_ERROR);
}

static void
reply(struct work *work)
{
	h2o_req_t *req = work->req;
	h2o_iovec_t tag = ht_header(req, "x-tag");
	int64_t bytes = si_query_number(req, "size", 0);
	char text[512], *body;
	int length;

	if (bytes > 0) {
		body = make_body((size_t)bytes);
		ht_reply(req, 200, "text/plain", body, (size_t)bytes);
		g_free(body);
		return;
	}
	length = snprintf(text, sizeof(text),
	    "{\"target\":\"%s\",\"tag\":\"%.*s\",\"bytes\":%zu,"
	    "\"hash\":\"%016llx\"}\n",
	    work->target->address, (int)tag.len, tag.base, req->entity.len,
	    (unsigned long long)cs_hash(req->entity.base, req->entity.len));
	ht_reply(req, 200, "application/json", text, (size_t)length);
}

static void
end_work(struct work *work)
{
	if (work->anchor != NULL)
		*work->anchor = NULL;
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
	h2o_req_t *req = work->req;

	work->target->served++;
	if (work->anchor != NULL)
		*work->anchor = NULL;
	work->anchor = NULL;
	if (req != NULL && work->target->truncate)
		reply_truncated(req);
	else if (req != NULL)
		reply(work);
	end_work(work);
}

static void
start_next(struct target *target)
{
	struct work *work;

	if (target->running >= target->all->slots)
		return;
	work = g_queue_pop_head(&target->waiting);
	if (work == NULL)
		return;
	target->running++;
	work->started = true;
	count_run(target->all, work->req);
	uv_timer_start(&work->timer, on_work_done,
	    (uint64_t)(work->service_ms * (double)target->slow), 0);
}

static double
service_ms(struct targets *all, const h2o_req_t *req)
{
	int64_t fixed = si_query_number(req, "ms", -1);
	double unit = cs_random_unit(&all->random);

	if (fixed >= 0)
		return (double)fixed;
	if (cs_random_unit(&all->random) < all->straggler_share)
		return all->straggler_ms;
	return si_exponential(unit, all->mean_ms);
}

/* A caller that is gone cancels its work: targets accept cancellation. */
static void
on_caller_gone(void *memory)
{
	struct work *work = *(struct work **)memory;

	if (work == NULL)
		return;
	work->req = NULL;
	work->anchor = NULL;
	if (!work->started)
		end_work(work);
}

static void
crash(struct target *target)
{
	target->crashed_until_us = cs_now_us() + CRASH_MS * 1000;
	ht_server_cut(target->server);
}

static bool
is_mute(const struct target *target, const h2o_req_t *req)
{
	return (int64_t)req->conn->connected_at.tv_sec * 1000000 +
		   req->conn->connected_at.tv_usec <
	       target->mute_before_us;
}

static void
on_request(h2o_req_t *req, void *user)
{
	struct target *target = user;
	struct work *work, **anchor;

	if (cs_now_us() < target->crashed_until_us) {
		ht_server_cut(target->server);
		return;
	}
	if (is_mute(target, req))
		return;
	if (target->shed) {
		ht_reply(req, 503, "text/plain", "shed\n", 5);
		return;
	}
	/* Never queued: h2o sees no cut while it waits for an answer. */
	if (memmem(req->path.base, req->path.len, "kill", 4) != NULL) {
		count_run(target->all, req);
		crash(target);
		return;
	}
	work = g_new0(struct work, 1);
	anchor = h2o_mem_alloc_shared(&req->pool, sizeof(work), on_caller_gone);
	*anchor = work;
	work->anchor = anchor;
	work->target = target;
	work->req = req;
	work->service_ms = service_ms(target->all, req);
	uv_timer_init(&target->all->loop, &work->timer);
	work->timer.data = work;
	g_queue_push_tail(&target->waiting, work);
	start_next(target);
}

static void
set_faults(struct target *target, h2o_req_t *req)
{
	struct timeval now;

	target->slow = si_query_number(req, "slow", target->slow);
	target->shed = si_query_number(req, "shed", target->shed) != 0;
	target->truncate =
	    si_query_number(req, "truncate", target->truncate) != 0;
	if (si_query_number(req, "mute", 0) == 0)
		return;
	gettimeofday(&now, NULL);
	target->mute_before_us = (int64_t)now.tv_sec * 1000000 + now.tv_usec;
}

static void
reply_runs(struct targets *all, h2o_req_t *req)
{
	json_t *root = json_object();
	GHashTableIter iter;
	gpointer tag, runs;
	char *text;

	g_hash_table_iter_init(&iter, all->runs);
	while (g_hash_table_iter_next(&iter, &tag, &runs))
		json_object_set_new(
		    root, tag, json_integer(GPOINTER_TO_INT(runs)));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	ht_reply(req, 200, "application/json", text, strlen(text));
	free(text);
}

static void
reply_served(struct targets *all, h2o_req_t *req)
{
	json_t *root = json_object();
	char *text;
	int i;

	for (i = 0; i < all->count; i++)
		json_object_set_new(root, all->items[i].address,
		    json_integer((json_int_t)all->items[i].served));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	ht_reply(req, 200, "application/json", text, strlen(text));
	free(text);
}

static void
on_control(h2o_req_t *req, void *user)
{
	struct targets *all = user;
	int64_t wanted = si_query_number(req, "target", -1);
	int i;

	if (si_path_is(req, "/runs")) {
		reply_runs(all, req);
		return;
	}
	if (si_path_is(req, "/served")) {
		reply_served(all, req);
		return;
	}
	for (i = 0; i < all->count; i++) {
		if (wanted < 0 || wanted == i)
			set_faults(&all->items[i], req);
	}
	ht_reply(req, 200, "text/plain", "ok\n", 3);
}

static int
listen_on(
    struct targets *all, ht_request_cb cb, void *user, struct ht_server **out)
{
	struct ht_server_params params = {
	    .loop = &all->loop,
	    .body_bytes_max = BODY_BYTES_MAX,
	    .head_timeout_ms = 60000,
	    .connections_max = 4096,
	    .on_request = cb,
	    .user = user,
	};

	cs_parse_address("127.0.0.1:0", &params.listen);
	return ht_server_create(&params, out);
}

static int
open_targets(struct targets *all)
{
	char address[CS_ADDRESS_BYTES_MAX];
	int i;

	for (i = 0; i < all->count; i++) {
		struct target *target = &all->items[i];

		target->all = all;
		target->slow = 1;
		g_queue_init(&target->waiting);
		if (listen_on(all, on_request, target, &target->server) !=
		    CS_OK)
			return 1;
		ht_server_address(target->server, target->address);
		printf("target %s\n", target->address);
	}
	if (listen_on(all, on_control, all, &all->control) != CS_OK)
		return 1;
	ht_server_address(all->control, address);
	printf("control %s\n", address);
	fflush(stdout);
	return 0;
}

int
si_targets(int argc, char **argv)
{
	static struct targets all = {
	    .count = 1,
	    .slots = 4,
	    .mean_ms = 20,
	    .straggler_ms = 600,
	    .seed = 1,
	};
	const GOptionEntry options[] = {
	    {"count", 0, 0, G_OPTION_ARG_INT, &all.count, NULL, NULL},
	    {"slots", 0, 0, G_OPTION_ARG_INT, &all.slots, NULL, NULL},
	    {"mean-ms", 0, 0, G_OPTION_ARG_DOUBLE, &all.mean_ms, NULL, NULL},
	    {"straggler-share", 0, 0, G_OPTION_ARG_DOUBLE, &all.straggler_share,
		NULL, NULL},
	    {"straggler-ms", 0, 0, G_OPTION_ARG_DOUBLE, &all.straggler_ms, NULL,
		NULL},
	    {"seed", 0, 0, G_OPTION_ARG_INT64, &all.seed, NULL, NULL},
	    {0},
	};
	GOptionContext *context = g_option_context_new(NULL);

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    all.count < 1 || all.count > TARGETS_MAX)
		return 2;
	uv_loop_init(&all.loop);
	cs_random_seed(&all.random, (uint64_t)all.seed);
	all.runs = g_hash_table_new(g_str_hash, g_str_equal);
	if (open_targets(&all) != 0)
		return 1;
	uv_run(&all.loop, UV_RUN_DEFAULT);
	return 0;
}
