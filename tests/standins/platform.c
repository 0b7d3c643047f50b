/*
 * Stand-in for the platform: a store of versioned objects by kind and name,
 * with conditional writes, lists and watches.
 * /control?outage=0|1&slow_ms=N&lose_answers=N injects faults: no response to
 * new requests, a delay of each response, and no response to the next N writes,
 * which still take effect.
 * /control?vm=A&state=S sets a VM's state, and /control?restore=KIND/NAME sets
 * an object back to its initial value. /control?era=N sets the era that all
 * responses name from then on, as after a restore from a copy.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "standin.h"

#define BODY_BYTES_MAX (2 * 1024 * 1024)
#define TIMER_INTERVAL_MS 5
#define PATH_PREFIX "/objects/"
#define VM_KIND "vms"
#define NAME_BYTES_MAX 128

/* A stored object. A deleted one is kept so that watches see the deletion. */
struct object {
	char kind[NAME_BYTES_MAX];
	char name[NAME_BYTES_MAX];
	uint64_t revision;
	bool deleted;
	json_t *spec;
	json_t *initial_spec; /* value at its creation */
};

/* A request whose response is delayed: a watch, or any during a fault. */
struct delayed_request {
	struct h1_conn *conn; /* NULL once closed or responded to */
	const struct h1_message *request;
	bool is_watch;
	int64_t due_us;
	uint64_t after_revision;
	char kind[NAME_BYTES_MAX];
};

struct platform {
	uv_loop_t loop;
	struct h1_server *server;
	GHashTable *objects; /* KIND/NAME to struct object */
	GPtrArray *delayed_requests;
	uv_timer_t timer;
	bool outage;
	int64_t slow_ms;
	int64_t lose_answers;
	uint64_t request_count;
	uint64_t revision;
	int64_t era;
};

static void
respond(struct h1_conn *conn, int status, json_t *root)
{
	const struct platform *p = h1_conn_user(conn);
	char *text = json_dumps(root, JSON_COMPACT), headers[128];
	int length = snprintf(headers, sizeof(headers),
	    "Content-Type: application/json\r\nStore-Era: %lld\r\n",
	    (long long)p->era);

	json_decref(root);
	h1_conn_send_response(conn, &(struct h1_response){
					.status = status,
					.headers = headers,
					.headers_length = (size_t)length,
					.body = text,
					.body_length = strlen(text),
				    });
	free(text);
}

static json_t *
object_to_json(const struct object *object)
{
	return json_pack("{s:{s:s, s:I}, s:O}", "metadata", "name",
	    object->name, "revision", (json_int_t)object->revision, "spec",
	    object->spec);
}

static struct delayed_request *
delay_response(struct platform *p, struct h1_conn *conn,
    const struct h1_message *request, int64_t ms)
{
	struct delayed_request *delayed = g_new0(struct delayed_request, 1);

	delayed->conn = conn;
	delayed->request = request;
	delayed->due_us = cs_now_us() + ms * 1000;
	h1_conn_set_call(conn, delayed);
	g_ptr_array_add(p->delayed_requests, delayed);
	return delayed;
}

static void
on_disconnect(struct h1_conn *conn)
{
	struct delayed_request *delayed = h1_conn_call(conn);

	if (delayed != NULL)
		delayed->conn = NULL;
}

/* Returns the objects of a kind that changed after a revision, as events. */
static json_t *
events_since(
    const struct platform *p, const char *kind, uint64_t after_revision)
{
	json_t *events = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct object *object = value;

		if (strcmp(object->kind, kind) == 0 &&
		    object->revision > after_revision)
			json_array_append_new(
			    events, json_pack("{s:b, s:o}", "deleted",
					(int)object->deleted, "object",
					object_to_json(object)));
	}
	return events;
}

static void
send_events(struct platform *p, struct h1_conn *conn, json_t *events)
{
	respond(conn, 200,
	    json_pack("{s:o, s:I}", "events", events, "store_revision",
		(json_int_t)p->revision));
}

static void
notify_watches(struct platform *p, const char *kind)
{
	guint i;

	for (i = 0; i < p->delayed_requests->len; i++) {
		struct delayed_request *delayed =
		    g_ptr_array_index(p->delayed_requests, i);
		struct h1_conn *conn = delayed->conn;

		if (conn == NULL || !delayed->is_watch ||
		    strcmp(delayed->kind, kind) != 0)
			continue;
		delayed->conn = NULL;
		send_events(
		    p, conn, events_since(p, kind, delayed->after_revision));
	}
}

static struct object *
find_object(struct platform *p, const char *kind, const char *name)
{
	char *path = g_strdup_printf("%s/%s", kind, name);
	struct object *object = g_hash_table_lookup(p->objects, path);

	g_free(path);
	return object == NULL || object->deleted ? NULL : object;
}

static struct object *
put_object(struct platform *p, const char *kind, const char *name, json_t *spec)
{
	char *path = g_strdup_printf("%s/%s", kind, name);
	struct object *object = g_hash_table_lookup(p->objects, path);

	if (object == NULL) {
		object = g_new0(struct object, 1);
		g_strlcpy(object->kind, kind, sizeof(object->kind));
		g_strlcpy(object->name, name, sizeof(object->name));
		object->initial_spec = json_incref(spec);
		g_hash_table_insert(p->objects, g_strdup(path), object);
	}
	g_free(path);
	json_decref(object->spec);
	object->spec = json_incref(spec);
	object->deleted = false;
	object->revision = ++p->revision;
	notify_watches(p, kind);
	return object;
}

/* Responds to a write, unless lose_answers says to lose the response. */
static void
respond_to_write(struct platform *p, struct h1_conn *conn,
    const struct h1_message *request, const struct object *object)
{
	if (p->lose_answers > 0) {
		p->lose_answers--;
		delay_response(p, conn, request, 3600000);
		return;
	}
	respond(conn, 200, object_to_json(object));
}

static void
write_object(struct platform *p, struct h1_conn *conn,
    const struct h1_message *request, const char *kind, const char *name)
{
	json_t *root =
	    json_loadb(request->body.data, request->body.length, 0, NULL);
	json_t *meta = json_object_get(root, "metadata");
	json_t *spec = json_object_get(root, "spec");
	json_t *expected = json_object_get(meta, "revision");
	bool is_create = strcmp(request->method, "POST") == 0;
	struct object *object;

	if (is_create)
		name = json_string_value(json_object_get(meta, "name"));
	object = name == NULL ? NULL : find_object(p, kind, name);
	if (name == NULL || spec == NULL)
		respond(conn, 400, json_object());
	else if (object == NULL && !is_create)
		respond(conn, 404, json_object());
	else if (object != NULL &&
		 (is_create ||
		     (expected != NULL && json_integer_value(expected) !=
					      (json_int_t)object->revision)))
		respond(conn, 409, object_to_json(object));
	else
		respond_to_write(
		    p, conn, request, put_object(p, kind, name, spec));
	json_decref(root);
}

static void
send_list(struct platform *p, struct h1_conn *conn, const char *kind)
{
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct object *object = value;

		if (strcmp(object->kind, kind) == 0 && !object->deleted)
			json_array_append_new(items, object_to_json(object));
	}
	respond(conn, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "more", 0,
		"store_revision", (json_int_t)p->revision));
}

static void
start_watch(struct platform *p, struct h1_conn *conn,
    const struct h1_message *request, const char *kind, uint64_t after_revision)
{
	json_t *events = events_since(p, kind, after_revision);
	struct delayed_request *delayed;

	if (json_array_size(events) > 0) {
		send_events(p, conn, events);
		return;
	}
	json_decref(events);
	delayed = delay_response(
	    p, conn, request, si_query_number(request, "wait_ms", 0));
	delayed->is_watch = true;
	delayed->after_revision = after_revision;
	g_strlcpy(delayed->kind, kind, sizeof(delayed->kind));
}

static void
read_object(struct h1_conn *conn, const struct object *object)
{
	if (object == NULL)
		respond(conn, 404, json_object());
	else
		respond(conn, 200, object_to_json(object));
}

static void
remove_object(struct platform *p, struct h1_conn *conn, struct object *object)
{
	if (object != NULL) {
		object->deleted = true;
		object->revision = ++p->revision;
		notify_watches(p, object->kind);
	}
	respond(conn, object == NULL ? 404 : 200, json_object());
}

/* Splits the path after the prefix into a kind and an optional name. */
static bool
split_path(const struct h1_message *request, char kind[NAME_BYTES_MAX],
    char name[NAME_BYTES_MAX])
{
	const char *path = h1_target(request);
	size_t length = strcspn(path, "?"), prefix_length = strlen(PATH_PREFIX);
	const char *slash;
	char *decoded;
	bool fits;

	if (length <= prefix_length ||
	    strncmp(path, PATH_PREFIX, prefix_length) != 0)
		return false;
	slash = memchr(path + prefix_length, '/', length - prefix_length);
	if (slash == NULL)
		slash = path + length;
	if ((size_t)(slash - path) - prefix_length >= NAME_BYTES_MAX)
		return false;
	snprintf(kind, NAME_BYTES_MAX, "%.*s",
	    (int)((size_t)(slash - path) - prefix_length),
	    path + prefix_length);
	name[0] = '\0';
	if (slash == path + length)
		return true;
	decoded = g_uri_unescape_segment(slash + 1, path + length, NULL);
	fits = decoded != NULL &&
	       g_strlcpy(name, decoded, NAME_BYTES_MAX) < NAME_BYTES_MAX;
	g_free(decoded);
	return fits;
}

static void
respond_to_object_request(
    struct platform *p, struct h1_conn *conn, const struct h1_message *request)
{
	char kind[NAME_BYTES_MAX], name[NAME_BYTES_MAX];
	int64_t after_revision = si_query_number(request, "watch", -1);

	if (!split_path(request, kind, name))
		respond(conn, 404, json_object());
	else if (strcmp(request->method, "PUT") == 0 ||
		 strcmp(request->method, "POST") == 0)
		write_object(p, conn, request, kind, name);
	else if (strcmp(request->method, "DELETE") == 0)
		remove_object(p, conn, find_object(p, kind, name));
	else if (name[0] != '\0')
		read_object(conn, find_object(p, kind, name));
	else if (after_revision >= 0)
		start_watch(p, conn, request, kind, (uint64_t)after_revision);
	else
		send_list(p, conn, kind);
}

static void
restore_initial_spec(struct platform *p, const char *path)
{
	struct object *object = g_hash_table_lookup(p->objects, path);

	if (object != NULL)
		put_object(p, object->kind, object->name, object->initial_spec);
}

static void
handle_control(
    struct platform *p, struct h1_conn *conn, const struct h1_message *request)
{
	char text[NAME_BYTES_MAX], state[16] = "live";
	json_t *spec;

	p->outage = si_query_number(request, "outage", p->outage) != 0;
	p->slow_ms = si_query_number(request, "slow_ms", p->slow_ms);
	p->era = si_query_number(request, "era", p->era);
	p->lose_answers =
	    si_query_number(request, "lose_answers", p->lose_answers);
	if (si_query(request, "restore", text, sizeof(text)))
		restore_initial_spec(p, text);
	if (si_query(request, "vm", text, sizeof(text))) {
		si_query(request, "state", state, sizeof(state));
		spec = json_pack("{s:s}", "state", state);
		put_object(p, VM_KIND, text, spec);
		json_decref(spec);
	}
	respond(conn, 200,
	    json_pack("{s:I}", "calls", (json_int_t)p->request_count));
}

static void
on_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct platform *p = h1_conn_user(conn);

	if (h1_path_is(request, "/control")) {
		handle_control(p, conn, request);
		return;
	}
	p->request_count++;
	if (p->outage)
		delay_response(p, conn, request, 3600000);
	else if (p->slow_ms > 0)
		delay_response(p, conn, request, p->slow_ms);
	else
		respond_to_object_request(p, conn, request);
}

static void
finish_delayed_request(struct platform *p, struct delayed_request *delayed)
{
	struct h1_conn *conn = delayed->conn;

	if (conn == NULL)
		return;
	if (delayed->is_watch)
		send_events(p, conn, json_array());
	else
		respond_to_object_request(p, conn, delayed->request);
}

static void
on_timer(uv_timer_t *timer)
{
	struct platform *p = timer->data;
	int64_t now_us = cs_now_us();
	guint i = 0;

	h1_server_sweep(p->server, now_us);
	while (i < p->delayed_requests->len) {
		struct delayed_request *delayed =
		    g_ptr_array_index(p->delayed_requests, i);

		if (delayed->conn != NULL && delayed->due_us > now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(p->delayed_requests, i);
		finish_delayed_request(p, delayed);
		g_free(delayed);
	}
}

int
si_platform(int argc, char **argv)
{
	static const struct h1_server_events events = {
	    .on_request = on_request, .on_disconnect = on_disconnect};
	static struct platform p;
	char address[CS_ADDRESS_BYTES_MAX];

	(void)argc;
	(void)argv;
	uv_loop_init(&p.loop);
	p.objects = g_hash_table_new(g_str_hash, g_str_equal);
	p.delayed_requests = g_ptr_array_new();
	if (si_listen(&p.loop, &events, &p, BODY_BYTES_MAX, &p.server) != CS_OK)
		return 1;
	uv_timer_init(&p.loop, &p.timer);
	p.timer.data = &p;
	uv_timer_start(
	    &p.timer, on_timer, TIMER_INTERVAL_MS, TIMER_INTERVAL_MS);
	h1_server_address(p.server, address);
	printf("platform %s\n", address);
	fflush(stdout);
	uv_run(&p.loop, UV_RUN_DEFAULT);
	return 0;
}
