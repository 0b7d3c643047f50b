/*
 * The platform's stand-in: versioned objects with conditional writes and
 * watches, and the VM list. /control?outage=0|1&slow_ms=N&lose_answers=N
 * switches faults; lose_answers loses the answers of the next N writes, which
 * still take effect. /control/vm?address=A&state=S edits the VM list, and
 * /control/restore?name=N puts an object's first value back at its version.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "../../lib/http/http.h"
#include "standin.h"

#define BODY_BYTES_MAX (2 * 1024 * 1024)
#define CHECK_MS 5

struct object {
	uint64_t version;
	char *value;
	size_t bytes;
	char *first;
	uint64_t first_version;
};

/* A request that is answered later: a watch, or any in a slow spell. */
struct held {
	h2o_req_t *req; /* NULL once its caller is gone */
	bool is_watch;
	int64_t due_us;
	uint64_t after;
	char name[128];
};

struct platform {
	uv_loop_t loop;
	struct ht_server *server;
	GHashTable *objects;
	GHashTable *vms;
	GPtrArray *held;
	uv_timer_t timer;
	bool outage;
	int64_t slow_ms;
	int64_t lose_answers;
	uint64_t calls;
	uint64_t last_version;
};

static void
reply(h2o_req_t *req, int status, const char *body)
{
	ht_reply(req, status, "application/json", body, strlen(body));
}

static void
reply_object(h2o_req_t *req, int status, const struct object *object)
{
	char version[32];

	snprintf(version, sizeof(version), "%llu",
	    (unsigned long long)object->version);
	ht_add_header(req, "object-version", version);
	ht_reply(req, status, "application/json", object->value, object->bytes);
}

static void
on_held_gone(void *memory)
{
	(*(struct held **)memory)->req = NULL;
}

static struct held *
hold(struct platform *p, h2o_req_t *req, int64_t ms)
{
	struct held *held = g_new0(struct held, 1);
	struct held **anchor;

	anchor = h2o_mem_alloc_shared(&req->pool, sizeof(held), on_held_gone);
	*anchor = held;
	held->req = req;
	held->due_us = cs_now_us() + ms * 1000;
	g_ptr_array_add(p->held, held);
	return held;
}

static void
get(struct platform *p, h2o_req_t *req, const char *name)
{
	struct object *object = g_hash_table_lookup(p->objects, name);
	int64_t after = si_query_number(req, "after", -1);
	struct held *held;

	if (after >= 0 &&
	    (object == NULL || object->version == (uint64_t)after)) {
		held = hold(p, req, si_query_number(req, "wait_ms", 0));
		held->is_watch = true;
		held->after = (uint64_t)after;
		g_strlcpy(held->name, name, sizeof(held->name));
		return;
	}
	if (object == NULL)
		reply(req, 404, "{}");
	else
		reply_object(req, 200, object);
}

static void
wake_watches(struct platform *p, const char *name, const struct object *object)
{
	guint i;

	for (i = 0; i < p->held->len; i++) {
		struct held *held = g_ptr_array_index(p->held, i);

		if (held->req == NULL || !held->is_watch ||
		    strcmp(held->name, name) != 0)
			continue;
		reply_object(held->req, 200, object);
		held->req = NULL;
	}
}

static void
put(struct platform *p, h2o_req_t *req, const char *name)
{
	struct object *object = g_hash_table_lookup(p->objects, name);
	h2o_iovec_t expected = ht_header(req, "if-version");
	uint64_t version = object == NULL ? 0 : object->version;

	if (expected.base != NULL &&
	    h2o_strtosize(expected.base, expected.len) != version) {
		reply(req, 409, "{}");
		return;
	}
	if (object == NULL) {
		object = g_new0(struct object, 1);
		g_hash_table_insert(p->objects, g_strdup(name), object);
	}
	g_free(object->value);
	object->version = ++p->last_version;
	object->value = g_strndup(req->entity.base, req->entity.len);
	object->bytes = req->entity.len;
	if (object->first == NULL) {
		object->first = g_strdup(object->value);
		object->first_version = object->version;
	}
	wake_watches(p, name, object);
	if (p->lose_answers > 0) {
		p->lose_answers--;
		req->http1_is_persistent = 0;
		hold(p, req, 3600000);
		return;
	}
	reply_object(req, 200, object);
}

static void
list(struct platform *p, h2o_req_t *req)
{
	char prefix[128] = "";
	json_t *root = json_object();
	GHashTableIter iter;
	gpointer name, value;
	char *text;

	si_query(req, "prefix", prefix, sizeof(prefix));
	g_hash_table_iter_init(&iter, p->objects);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct object *object = value;

		if (!g_str_has_prefix(name, prefix))
			continue;
		json_object_set_new(root, name,
		    json_loadb(
			object->value, object->bytes, JSON_DECODE_ANY, NULL));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	reply(req, 200, text);
	free(text);
}

static void
objects(struct platform *p, h2o_req_t *req)
{
	static const char prefix[] = "/v1/objects/";
	h2o_iovec_t path = req->path_normalized;
	char name[128];

	if (path.len <= sizeof(prefix) - 1 ||
	    path.len - sizeof(prefix) + 1 >= sizeof(name)) {
		list(p, req);
		return;
	}
	snprintf(name, sizeof(name), "%.*s",
	    (int)(path.len - sizeof(prefix) + 1),
	    path.base + sizeof(prefix) - 1);
	if (h2o_memis(req->method.base, req->method.len, H2O_STRLIT("PUT"))) {
		put(p, req, name);
	} else if (h2o_memis(req->method.base, req->method.len,
		       H2O_STRLIT("DELETE"))) {
		g_hash_table_remove(p->objects, name);
		reply(req, 200, "{}");
	} else {
		get(p, req, name);
	}
}

static void
vms(struct platform *p, h2o_req_t *req)
{
	json_t *root = json_array();
	GHashTableIter iter;
	gpointer address, state;
	char *text;

	g_hash_table_iter_init(&iter, p->vms);
	while (g_hash_table_iter_next(&iter, &address, &state))
		json_array_append_new(root, json_pack("{s:s, s:s}", "address",
						address, "state", state));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	reply(req, 200, text);
	free(text);
}

static void
answer(struct platform *p, h2o_req_t *req)
{
	if (g_str_has_prefix(req->path_normalized.base, "/v1/vms"))
		vms(p, req);
	else
		objects(p, req);
}

static void
restore(struct platform *p, const char *name)
{
	struct object *object = g_hash_table_lookup(p->objects, name);

	if (object == NULL)
		return;
	g_free(object->value);
	object->value = g_strdup(object->first);
	object->bytes = strlen(object->value);
	object->version = object->first_version;
	wake_watches(p, name, object);
}

static void
control(struct platform *p, h2o_req_t *req)
{
	char text[128], state[16] = "live", body[64];

	p->outage = si_query_number(req, "outage", p->outage) != 0;
	p->slow_ms = si_query_number(req, "slow_ms", p->slow_ms);
	p->lose_answers = si_query_number(req, "lose_answers", p->lose_answers);
	if (si_query(req, "restore", text, sizeof(text)))
		restore(p, text);
	if (si_query(req, "vm", text, sizeof(text))) {
		si_query(req, "state", state, sizeof(state));
		g_hash_table_replace(p->vms, g_strdup(text), g_strdup(state));
	}
	snprintf(body, sizeof(body), "{\"calls\":%llu}",
	    (unsigned long long)p->calls);
	reply(req, 200, body);
}

static void
on_request(h2o_req_t *req, void *user)
{
	struct platform *p = user;

	if (si_path_is(req, "/control")) {
		control(p, req);
		return;
	}
	p->calls++;
	if (p->outage)
		hold(p, req, 3600000);
	else if (p->slow_ms > 0)
		hold(p, req, p->slow_ms);
	else
		answer(p, req);
}

static void
on_timer(uv_timer_t *timer)
{
	struct platform *p = timer->data;
	int64_t now_us = cs_now_us();
	guint i = 0;

	while (i < p->held->len) {
		struct held *held = g_ptr_array_index(p->held, i);

		if (held->req != NULL && held->due_us > now_us) {
			i++;
			continue;
		}
		if (held->req != NULL && held->is_watch)
			reply(held->req, 304, "");
		else if (held->req != NULL)
			answer(p, held->req);
		g_ptr_array_remove_index_fast(p->held, i);
	}
}

int
si_platform(int argc, char **argv)
{
	static struct platform p;
	struct ht_server_params params = {
	    .loop = &p.loop,
	    .body_bytes_max = BODY_BYTES_MAX,
	    .head_timeout_ms = 10000,
	    .connections_max = 4096,
	    .on_request = on_request,
	    .user = &p,
	};
	char address[CS_ADDRESS_BYTES_MAX];

	(void)argc;
	(void)argv;
	uv_loop_init(&p.loop);
	p.objects = g_hash_table_new(g_str_hash, g_str_equal);
	p.vms = g_hash_table_new(g_str_hash, g_str_equal);
	p.held = g_ptr_array_new();
	cs_parse_address("127.0.0.1:0", &params.listen);
	if (ht_server_create(&params, &p.server) != CS_OK)
		return 1;
	uv_timer_init(&p.loop, &p.timer);
	p.timer.data = &p;
	uv_timer_start(&p.timer, on_timer, CHECK_MS, CHECK_MS);
	ht_server_address(p.server, address);
	printf("platform %s\n", address);
	fflush(stdout);
	uv_run(&p.loop, UV_RUN_DEFAULT);
	return 0;
}
