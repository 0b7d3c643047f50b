/* The admin listener: readiness, status and metrics of this entry VM. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

static void
respond_json(struct h1_conn *conn, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_INDENT(2));

	json_decref(root);
	h1_conn_send_text(conn, status, SV_CONTENT_TYPE_JSON, text);
	free(text);
}

static void
respond_status(struct sv_server *server, struct h1_conn *conn)
{
	struct dc_counters c;
	json_int_t version = 0;

	dc_counters(server->core, &c);
	if (server->config != NULL)
		version = (json_int_t)cf_version(server->config);
	respond_json(conn, 200,
	    json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
		"name", server->params.name, "data_centre",
		server->params.data_centre, "region", server->params.region,
		"config_version", version, "entries",
		(json_int_t)server->entry_vm_count, "open_calls",
		(json_int_t)server->open_calls, "waiting",
		(json_int_t)c.waiting, "running", (json_int_t)c.running, "done",
		(json_int_t)c.done, "not_run", (json_int_t)c.refused_not_run));
}

static void
respond_entry_vms(struct sv_server *server, struct h1_conn *conn)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < server->entry_vm_count; i++) {
		const struct sv_node *entry = &server->entry_vms[i];

		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "name",
			entry->name, "state", entry->state, "address",
			entry->address, "admin", entry->admin, "data_centre",
			entry->data_centre, "region", entry->region));
	}
	respond_json(conn, 200, list);
}

static json_t *
describe_target(struct sv_server *server, const struct dc_target_info *info)
{
	const struct sv_target *target =
	    g_hash_table_lookup(server->targets, &info->id);
	const char *owner = "";
	uint32_t i;

	if (target == NULL)
		return NULL;
	for (i = 0; i < server->entry_vm_count; i++) {
		if (server->entry_vms[i].id == info->owner)
			owner = server->entry_vms[i].name;
	}
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:s, s:I, s:b, s:b}",
	    "address", target->address, "slots", (json_int_t)info->slots,
	    "in_flight", (json_int_t)info->in_flight, "leased",
	    (json_int_t)info->leased, "granted", (json_int_t)info->granted,
	    "owner", owner, "service_us", (json_int_t)info->service_us,
	    "ejected", (int)info->ejected, "drains", (int)info->draining);
}

static void
respond_targets(struct sv_server *server, struct h1_conn *conn)
{
	json_t *list = json_array();
	struct dc_target_info info;
	uint32_t i;

	for (i = 0; dc_target_info(server->core, i, &info) == CS_OK; i++) {
		if (info.id != 0)
			json_array_append_new(
			    list, describe_target(server, &info));
	}
	respond_json(conn, 200, list);
}

static void
append_metric(
    GString *text, const char *name, const char *kind, unsigned long long value)
{
	g_string_append_printf(text, "# TYPE chervilshelf_%s %s\n", name, kind);
	g_string_append_printf(text, "chervilshelf_%s %llu\n", name, value);
}

static void
add_counter(void *page, const char *name, uint64_t value)
{
	append_metric(page, name, "counter", value);
}

static void
respond_metrics(struct sv_server *server, struct h1_conn *conn)
{
	GString *text = g_string_new(NULL);
	struct dc_counters c;

	dc_counters(server->core, &c);
	append_metric(text, "calls_arrived_total", "counter", c.arrived);
	append_metric(text, "attempts_sent_total", "counter", c.sent);
	append_metric(text, "calls_done_total", "counter", c.done);
	append_metric(
	    text, "calls_not_run_total", "counter", c.refused_not_run);
	append_metric(
	    text, "calls_unknown_total", "counter", c.refused_unknown);
	append_metric(text, "answers_cut_total", "counter", c.aborted);
	append_metric(
	    text, "callers_left_total", "counter", c.callers_disconnected);
	append_metric(text, "retries_total", "counter", c.retries);
	append_metric(text, "hedges_total", "counter", c.hedges);
	append_metric(text, "ejections_total", "counter", c.ejections);
	append_metric(text, "quarantines_total", "counter", c.quarantines);
	append_metric(text, "silences_total", "counter", c.stale_detections);
	append_metric(text, "attempts_unleased_total", "counter", c.unleased);
	append_metric(
	    text, "lease_messages_total", "counter", c.lease_messages);
	append_metric(text, "key_claims_total", "counter", c.key_claims);
	append_metric(text, "key_kills_total", "counter", c.key_kills);
	append_metric(text, "key_questions_total", "counter", c.key_questions);
	append_metric(text, "calls_waiting", "gauge", c.waiting);
	append_metric(text, "calls_running", "gauge", c.running);
	sv_print_memory(server, text);
	server->params.callbacks.metrics(
	    add_counter, text, server->params.callbacks.user);
	h1_conn_send_text(conn, 200, "text/plain; version=0.0.4", text->str);
	g_string_free(text, TRUE);
}

static void
respond_readiness(struct sv_server *server, struct h1_conn *conn)
{
	bool is_ready = server->config != NULL && !server->draining;

	respond_json(conn, is_ready ? 200 : 503,
	    json_pack("{s:b}", "ready", (int)is_ready));
}

static void
respond_report(struct sv_server *server, struct h1_conn *conn)
{
	char *text = sv_accounts(server);

	h1_conn_send_text(conn, 200, SV_CONTENT_TYPE_JSON, text);
	free(text);
}

#define EXPLAIN_PREFIX "/explain/"

/* Returns the request id in an /explain/ path, or NULL for another path. */
static const char *
explain_request_id(const struct h1_message *request)
{
	const char *uri = h1_target(request);
	size_t skip = strlen(EXPLAIN_PREFIX);

	return strncmp(uri, EXPLAIN_PREFIX, skip) == 0 ? uri + skip : NULL;
}

static void
respond_explain(struct sv_server *server, struct h1_conn *conn, const char *id)
{
	json_t *record = sv_call_record_json(server, id);

	if (record != NULL)
		respond_json(conn, 200, record);
	else
		respond_json(
		    conn, 404, json_pack("{s:s}", "error", "not kept"));
}

void
sv_on_admin_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct sv_server *server = h1_conn_user(conn);
	const char *id = explain_request_id(request);

	if (h1_path_is(request, "/status"))
		respond_status(server, conn);
	else if (h1_path_is(request, "/metrics"))
		respond_metrics(server, conn);
	else if (h1_path_is(request, "/members"))
		respond_entry_vms(server, conn);
	else if (h1_path_is(request, "/targets"))
		respond_targets(server, conn);
	else if (h1_path_is(request, "/report"))
		respond_report(server, conn);
	else if (id != NULL)
		respond_explain(server, conn, id);
	else if (h1_path_is(request, "/ready"))
		respond_readiness(server, conn);
	else
		respond_json(
		    conn, 404, json_pack("{s:s}", "error", "not found"));
}
