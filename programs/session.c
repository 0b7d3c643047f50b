/* Synchronous calls over the loop, for the operators' commands. */
#include "session.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "../lib/base/base.h"
#include "../lib/h1/h1.h"
#include "../platform/platform.h"
#include "objects.h"

#define URL_PREFIX "http://"
#define ADMIN_TIMEOUT_MS 1000
#define ADMIN_RESPONSE_BYTES_MAX (16 * 1024 * 1024)
#define READ_BACK_TRIES 10
#define READ_BACK_PAUSE_MS 300

struct se_session {
	uv_loop_t loop;
	struct os_objects *objects;
	struct h1_client *http;
	struct se_response *response;
	json_t *list;
	bool done;
};

int
se_parse_url(const char *text, struct sockaddr_in *out)
{
	if (strncmp(text, URL_PREFIX, strlen(URL_PREFIX)) != 0)
		return CS_E_INVALID;
	return cs_parse_address(text + strlen(URL_PREFIX), out);
}

int
se_open(const char *platform, struct se_session **out)
{
	struct se_session *session = g_new0(struct se_session, 1);
	struct sockaddr_in store;

	uv_loop_init(&session->loop);
	if (platform != NULL && se_parse_url(platform, &store) != CS_OK) {
		fprintf(stderr,
		    "chervilshelf: --platform: given \"%s\", allowed: "
		    "http://IPV4:PORT\n",
		    platform);
		g_free(session);
		return CS_E_INVALID;
	}
	if (platform != NULL)
		session->objects =
		    os_objects_create(&session->loop, &store, &pl_codec);
	session->http = h1_client_create(&session->loop);
	*out = session;
	return CS_OK;
}

void
se_close(struct se_session *session)
{
	if (session->objects != NULL)
		os_objects_close(session->objects);
	h1_client_close(session->http);
	uv_run(&session->loop, UV_RUN_DEFAULT); /* frees what was closed */
	uv_loop_close(&session->loop);
	g_free(session);
}

static void
wait_for_response(struct se_session *session)
{
	while (!session->done)
		uv_run(&session->loop, UV_RUN_ONCE);
}

static void
on_object(const struct os_object *object, void *user)
{
	struct se_session *session = user;

	*session->response = (struct se_response){
	    .error = object->error,
	    .revision = object->revision,
	    .value = g_strdup(object->value),
	};
	session->done = true;
}

static void
begin_call(struct se_session *session, struct se_response *out)
{
	session->response = out;
	session->done = false;
}

static void
on_object_list(
    int error, const struct os_listed_object *list, uint32_t count, void *user)
{
	struct se_session *session = user;
	uint32_t i;

	session->list = error == CS_OK ? json_object() : NULL;
	for (i = 0; i < count; i++)
		json_object_set_new(session->list, list[i].name,
		    json_loads(list[i].value, JSON_DECODE_ANY, NULL));
	session->done = true;
}

json_t *
se_list(struct se_session *session, const char *kind)
{
	session->done = false;
	os_list(session->objects, kind, on_object_list, session);
	wait_for_response(session);
	return session->list;
}

static void
on_admin_response(const struct h1_client_response *response, void *user)
{
	struct se_session *session = user;

	session->response->error = response->error;
	if (response->error == CS_OK && response->status == 404)
		session->response->error = CS_E_MISSING;
	session->response->value = g_strdup(response->body);
	session->done = true;
}

void
se_get(struct se_session *session, const char *address, const char *path,
    struct se_response *out)
{
	struct h1_request request = {
	    .method = "GET",
	    .path = path,
	    .response_bytes_max = ADMIN_RESPONSE_BYTES_MAX,
	    .timeout_ms = ADMIN_TIMEOUT_MS,
	    .on_response = on_admin_response,
	    .user = session,
	};

	begin_call(session, out);
	if (cs_parse_address(address, &request.address) != CS_OK) {
		*out = (struct se_response){
		    .error = CS_E_INVALID,
		    .value = g_strdup(""),
		};
		return;
	}
	h1_client_send(session->http, &request);
	wait_for_response(session);
}

static void
add_node(
    struct se_node *nodes, uint32_t *count, const char *name, const char *admin)
{
	struct se_node *node = &nodes[*count];

	if (name == NULL || admin == NULL || *count == SE_NODES_MAX)
		return;
	g_strlcpy(node->name, name, sizeof(node->name));
	g_strlcpy(node->admin, admin, sizeof(node->admin));
	(*count)++;
}

static int
read_nodes(struct se_session *session, const char *admin, struct se_node *nodes,
    uint32_t *count)
{
	struct se_response response;
	json_t *root, *object;
	size_t i;

	se_get(session, admin, "/members", &response);
	root = json_loads(response.value, 0, NULL);
	g_free(response.value);
	if (response.error != CS_OK || !json_is_array(root)) {
		json_decref(root);
		return CS_E_UNAVAILABLE;
	}
	json_array_foreach(root, i, object)
	{
		const char *state =
		    json_string_value(json_object_get(object, "state"));

		if (state != NULL && (strcmp(state, "alive") == 0 ||
					 strcmp(state, "suspect") == 0))
			add_node(nodes, count,
			    json_string_value(json_object_get(object, "name")),
			    json_string_value(
				json_object_get(object, "admin")));
	}
	json_decref(root);
	return CS_OK;
}

int
se_list_nodes(struct se_session *session, struct se_node nodes[SE_NODES_MAX],
    uint32_t *count)
{
	int error = CS_E_UNAVAILABLE;
	const char *key;
	json_t *root, *object;

	*count = 0;
	root = se_list(session, OB_ENTRIES);
	json_object_foreach(root, key, object)
	{
		const char *admin =
		    json_string_value(json_object_get(object, "admin"));

		if (admin == NULL)
			continue;
		error = read_nodes(session, admin, nodes, count);
		if (error == CS_OK)
			break;
	}
	json_decref(root);
	return error;
}

static void
on_sleep_timer(uv_timer_t *timer)
{
	struct se_session *session = timer->data;

	session->done = true;
}

void
se_sleep(struct se_session *session, uint32_t ms)
{
	uv_timer_t timer;

	session->done = false;
	uv_timer_init(&session->loop, &timer);
	timer.data = session;
	uv_timer_start(&timer, on_sleep_timer, ms, 0);
	wait_for_response(session);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&session->loop, UV_RUN_NOWAIT);
}

int
se_read_file(const char *path, char **out)
{
	GError *error_text = NULL;

	if (g_file_get_contents(path, out, NULL, &error_text))
		return CS_OK;
	fprintf(stderr, "chervilshelf: %s\n", error_text->message);
	g_error_free(error_text);
	return CS_E_MISSING;
}

int
se_load_config(
    struct se_session *session, struct cf_config **config, uint64_t *revision)
{
	char error_text[CF_ERROR_BYTES_MAX];
	struct se_response response;
	int error;

	*config = NULL;
	*revision = 0;
	begin_call(session, &response);
	os_read(
	    session->objects, OB_CONFIG, OB_CONFIG_NAME, on_object, session);
	wait_for_response(session);
	error = response.error;
	if (error == CS_OK) {
		error = cf_parse_stored(
		    response.value, strlen(response.value), error_text, config);
		*revision = response.revision;
		if (error != CS_OK)
			fprintf(
			    stderr, "chervilshelf: stored: %s\n", error_text);
	} else if (error != CS_E_MISSING) {
		fprintf(stderr, "chervilshelf: platform: %s\n",
		    cs_error_text(error));
	}
	g_free(response.value);
	return error;
}

static void
make_writer_id(char writer[64])
{
	uint64_t id_parts[3] = {
	    (uint64_t)getpid(), (uint64_t)cs_now_us(), (uint64_t)time(NULL)};

	snprintf(writer, 64, "apply-%016llx-%llx",
	    (unsigned long long)cs_hash(id_parts, sizeof(id_parts)),
	    (unsigned long long)id_parts[2]);
}

/* Finds out whether a write whose response was lost took effect. */
static int
read_back(struct se_session *session, const char *writer, uint64_t expected)
{
	struct cf_config *stored;
	uint64_t revision;
	uint32_t i;
	int error;

	for (i = 0; i < READ_BACK_TRIES; i++) {
		error = se_load_config(session, &stored, &revision);
		if (error == CS_OK && strcmp(cf_writer(stored), writer) == 0) {
			cf_unref(stored);
			return CS_OK;
		}
		cf_unref(stored);
		if (error == CS_OK && revision != expected)
			return CS_E_CONFLICT;
		se_sleep(session, READ_BACK_PAUSE_MS);
	}
	return CS_E_UNKNOWN;
}

int
se_store_config(struct se_session *session, const struct cf_config *config,
    uint64_t version, uint64_t expected)
{
	struct se_response response;
	char writer[64], *text;
	int error;

	make_writer_id(writer);
	text = cf_format_stored(config, version, writer);
	if (text == NULL)
		return CS_E_SYSTEM;
	begin_call(session, &response);
	os_write(session->objects, OB_CONFIG, OB_CONFIG_NAME, expected, text,
	    on_object, session);
	wait_for_response(session);
	error = response.error;
	free(text);
	g_free(response.value);
	if (error == CS_E_UNKNOWN)
		return read_back(session, writer, expected);
	return error;
}
