/* HTTP servers of the gateway for the directory, readiness and metrics. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gateway.h"

#define DIRECTORY_ADDRESSES_MAX 64 /* addresses in one response */
#define METRICS_PORT 9464	   /* also in deploy/system.toml */
#define REPORT_PATH "/report"
#define WHERE_PATH "/where"
/*
 * Connections of one listener; with the descriptors of targets, the store and
 * other VMs they stay below FILES_RESERVED in gateway_memory.c.
 */
#define DIRECTORY_CONNECTIONS_MAX 192
#define SIDE_CONNECTIONS_MAX 48
#define REQUEST_BYTES_MAX 8192
#define IDLE_TIMEOUT_MS 15000

static void
respond_directory(
    struct ga_app *app, struct h1_conn *conn, const struct h1_message *request)
{
	struct sockaddr_in addresses[DIRECTORY_ADDRESSES_MAX];
	struct fl_directory_query query;
	uint32_t count, client;
	struct bl_stop_plan plan;
	char *text;

	pl_read_directory_query(request, &query);
	client = h1_conn_client(conn);
	query.caller = cs_hash((const char *)&client, sizeof(client));
	count = fl_membership_list_addresses(fl_get_membership(app->fleet),
	    cs_now_us(), &query, addresses, DIRECTORY_ADDRESSES_MAX);
	bl_plan_stop(app->settings.grace_ms * 1000, &plan);
	if (plan.directory_ttl_ms > app->settings.directory_ttl_max_ms)
		plan.directory_ttl_ms = app->settings.directory_ttl_max_ms;
	if (count == 0) {
		h1_conn_send_text(
		    conn, 503, "text/plain", "no entry VM is ready\n");
		return;
	}
	text = pl_write_directory(addresses, count, plan.directory_ttl_ms);
	if (text == NULL)
		h1_conn_send_text(conn, 503, "text/plain", "out of memory\n");
	else
		h1_conn_send_text(conn, 200, "application/json", text);
	free(text);
}

static void
on_directory(struct h1_conn *conn, const struct h1_message *request)
{
	if (h1_path_is(request, PL_DIRECTORY_PATH))
		respond_directory(h1_conn_user(conn), conn, request);
	else
		h1_conn_send_text(conn, 404, "text/plain", "not found\n");
}

static void
on_readiness(struct h1_conn *conn, const struct h1_message *request)
{
	const struct ga_app *app = h1_conn_user(conn);

	if (!h1_path_is(request, PL_READINESS_PATH))
		h1_conn_send_text(conn, 404, "text/plain", "not found\n");
	else if (ga_is_ready(app))
		h1_conn_send_text(conn, 200, "text/plain", "ready\n");
	else
		h1_conn_send_text(conn, 503, "text/plain", "not ready\n");
}

static void
print_histogram(struct h1_bytes *out, const char *name,
    const struct cs_histogram *histogram)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
	size_t i;

	h1_bytes_print(out, "# TYPE chervilshelf_%s_seconds summary\n", name);
	for (i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		h1_bytes_print(out,
		    "chervilshelf_%s_seconds{quantile=\"%g\"} %.6f\n", name,
		    quantiles[i],
		    (double)cs_histogram_quantile(histogram, quantiles[i]) /
			1e6);
	h1_bytes_print(out,
	    "chervilshelf_%s_seconds_sum %.6f\n"
	    "chervilshelf_%s_seconds_count %llu\n",
	    name, (double)histogram->sum_us / 1e6, name,
	    (unsigned long long)histogram->count);
}

static void
print_pool(void *arg, const struct bl_pool *pool, uint32_t waiting)
{
	struct h1_bytes *out = arg;
	uint32_t i, draining = 0, backing_off = 0, in_flight = 0, limited = 0,
		    paused = 0;

	for (i = 0; i < pool->count; i++) {
		draining += pool->targets[i]->draining;
		backing_off += pool->targets[i]->backoff_until_us > cs_now_us();
		in_flight += pool->targets[i]->in_flight;
		paused += pool->targets[i]->paused_until_us > cs_now_us();
		limited += pool->targets[i]->limit.in_force;
	}
	h1_bytes_print(out,
	    "chervilshelf_targets{pool=\"%s\",state=\"known\"} %u\n"
	    "chervilshelf_targets{pool=\"%s\",state=\"leaving\"} %u\n"
	    "chervilshelf_targets{pool=\"%s\",state=\"unreached\"} %u\n"
	    "chervilshelf_targets{pool=\"%s\",state=\"limited\"} %u\n"
	    "chervilshelf_targets{pool=\"%s\",state=\"paused\"} %u\n"
	    "chervilshelf_in_flight{pool=\"%s\"} %u\n"
	    "chervilshelf_waiting{pool=\"%s\"} %u\n"
	    "chervilshelf_work_seconds{pool=\"%s\"} %.6f\n",
	    pool->name, pool->count, pool->name, draining, pool->name,
	    backing_off, pool->name, limited, pool->name, paused, pool->name,
	    in_flight, pool->name, waiting, pool->name,
	    pool->service_time_us / 1e6);
}

static void
print_counter(struct h1_bytes *out, const char *name, uint64_t value)
{
	h1_bytes_print(out, "chervilshelf_%s_total %llu\n", name,
	    (unsigned long long)value);
}

static void
print_sent(struct h1_bytes *out, const struct fl_counters *counters)
{
	uint32_t type, place;

	for (type = 0; type < FL_FRAME_TYPES; type++) {
		for (place = 0; place < FL_PLACES; place++) {
			const struct fl_sent *sent =
			    &counters->sent[type][place];
			const char *to = fl_place_name((enum fl_place)place);

			if (sent->frames == 0 || fl_frame_name(type) == NULL)
				continue;
			h1_bytes_print(out,
			    "chervilshelf_fleet_sent_frames_total{type=\"%s\","
			    "to=\"%s\"} %llu\n"
			    "chervilshelf_fleet_sent_bytes_total{type=\"%s\","
			    "to=\"%s\"} %llu\n",
			    fl_frame_name(type), to,
			    (unsigned long long)sent->frames,
			    fl_frame_name(type), to,
			    (unsigned long long)sent->bytes);
		}
	}
}

static void
print_fleet(struct h1_bytes *out, const struct fl_counters *counters)
{
	print_counter(out, "fleet_datagrams", counters->datagrams);
	print_counter(out, "fleet_datagram_bytes", counters->datagram_bytes);
	print_counter(out, "fleet_news", counters->updates);
	print_counter(out, "fleet_news_bytes", counters->update_bytes);
	print_counter(out, "fleet_snapshots", counters->snapshots);
	print_sent(out, counters);
}

static void
print_counters(struct h1_bytes *out, const struct gw_counters *counters)
{
	uint32_t i;

	print_counter(out, "calls", counters->calls);
	for (i = 0; i < GW_REASONS; i++)
		h1_bytes_print(out,
		    "chervilshelf_calls_ended_total{reason=\"%s\"} %llu\n",
		    gw_reason_text((enum gw_reason)i),
		    (unsigned long long)counters->ended[i]);
	print_counter(out, "attempts", counters->attempts);
	print_counter(out, "retries", counters->retries);
	print_counter(out, "overdue", counters->overdue);
	print_counter(out, "probes", counters->probes);
	print_counter(out, "channels_opened", counters->connections_opened);
	print_counter(out, "limits_heard", counters->limits_heard);
	print_counter(out, "cold_heard", counters->cold_heard);
	print_counter(out, "leaving_heard", counters->leaving_heard);
	print_counter(out, "pauses_heard", counters->pauses_heard);
	print_counter(out, "permits_asked", counters->permits_asked);
	print_counter(out, "permits_granted", counters->permits_granted);
	print_counter(out, "permits_given", counters->permits_given);
	print_counter(out, "quota_asked", counters->quota_asked);
	print_counter(out, "quota_granted", counters->quota_granted);
	print_counter(out, "quota_given", counters->quota_given);
	print_counter(out, "invalid_fields", counters->invalid_fields);
}

/* Prints the value of a label, which may hold any text. */
static void
print_label(struct h1_bytes *out, const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text == '"' || *text == '\\')
			h1_bytes_add(out, "\\", 1);
		h1_bytes_add(out, text, 1);
	}
}

static void
print_tenant(
    void *arg, const char *name, const struct gw_tenant_counters *counters)
{
	const struct {
		const char *result;
		uint64_t value;
	} rows[] = {{"all", counters->calls}, {"answered", counters->answered},
	    {"refused", counters->refused}};
	struct h1_bytes *out = arg;
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		h1_bytes_print(
		    out, "chervilshelf_tenant_calls_total{tenant=\"");
		print_label(out, name);
		h1_bytes_print(out, "\",result=\"%s\"} %llu\n", rows[i].result,
		    (unsigned long long)rows[i].value);
	}
}

/* How long ago this VM was last known to have all changes; -1: never. */
static double
confirmed_age_s(const struct ga_app *app)
{
	int64_t confirmed_us = app->role == FL_ROLE_WATCH_STORE
				   ? os_client_confirmed_us(app->store)
				   : fl_confirmed_us(app->fleet);

	return confirmed_us == 0 ? -1
				 : (double)(cs_now_us() - confirmed_us) / 1e6;
}

static void
print_state(struct h1_bytes *out, const struct ga_app *app)
{
	const struct rt_table *table = gw_table(app->gw);

	h1_bytes_print(out,
	    "chervilshelf_ready %d\nchervilshelf_follows_store %d\n"
	    "chervilshelf_table_version %llu\n"
	    "chervilshelf_table_refused_parts %u\n"
	    "chervilshelf_table_parts_refused_total %llu\n"
	    "chervilshelf_targets_revision %llu\n"
	    "chervilshelf_store_era %llu\n"
	    "chervilshelf_objects_confirmed_age_seconds %.3f\n"
	    "chervilshelf_members %u\nchervilshelf_store_calls_total %llu\n"
	    "chervilshelf_caller_connections %u\n",
	    ga_is_ready(app), app->role == FL_ROLE_WATCH_STORE,
	    table == NULL ? 0ULL : (unsigned long long)table->version,
	    table == NULL ? 0 : table->refused_parts,
	    (unsigned long long)app->table_parts_refused,
	    (unsigned long long)os_revision_number(
		os_cache_revision(app->cache, GA_TARGETS)),
	    (unsigned long long)os_revision_era(
		os_cache_revision(app->cache, GA_TARGETS)),
	    confirmed_age_s(app),
	    fl_membership_count_alive(
		fl_get_membership(app->fleet), cs_now_us()),
	    (unsigned long long)os_client_calls(app->store),
	    gw_caller_connections(app->gw));
}

static void
print_majority(struct h1_bytes *out, const struct ga_app *app)
{
	const struct fl_membership *membership = fl_get_membership(app->fleet);
	struct fl_census census = fl_membership_census(membership, cs_now_us());

	h1_bytes_print(out,
	    "chervilshelf_majority %d\n"
	    "chervilshelf_members_in_use %u\n"
	    "chervilshelf_members_silent %u\n"
	    "chervilshelf_members_unheard %u\n",
	    fl_membership_has_majority(membership, cs_now_us()), census.in_use,
	    census.silent, census.unheard);
}

static void
print_evacuations(struct h1_bytes *out, const struct ga_app *app)
{
	const struct bl_topology *topology = &app->topology;
	uint32_t i;

	if (app->settings.evacuate_ms == 0)
		return;
	for (i = 0; i < topology->count; i++)
		h1_bytes_print(out,
		    "chervilshelf_evacuated{data_centre=\"%s\"} %d\n",
		    topology->data_centres[i].name,
		    (int)(topology->evacuated >> i & 1));
}

static void
print_proof(struct h1_bytes *out, const struct ga_app *app)
{
	int64_t age_us = fl_proof_age_us(&app->proof, ga_boot_us());

	if (ga_needs_proof(app))
		h1_bytes_print(out, "chervilshelf_key_proof_age_seconds %.3f\n",
		    age_us < 0 ? -1.0 : (double)age_us / 1e6);
}

/* Sends the accounts of this process, which `report` merges. */
static void
respond_report(const struct ga_app *app, struct h1_conn *conn)
{
	json_t *root = json_pack("{s:s, s:I, s:o}", "entry", app->settings.name,
	    "epoch", (json_int_t)app->process_start_us, "accounts",
	    rp_json(app->accounts, cs_now_us()));
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	h1_conn_send_text(
	    conn, 200, "application/json", text == NULL ? "" : text);
	free(text);
}

static void
on_metrics(struct h1_conn *conn, const struct h1_message *request)
{
	const struct ga_app *app = h1_conn_user(conn);
	const struct gw_counters *counters = gw_get_counters(app->gw);
	struct h1_bytes out = {.data = NULL};

	if (h1_path_is(request, REPORT_PATH)) {
		respond_report(app, conn);
		return;
	}
	if (h1_path_is(request, WHERE_PATH)) {
		ga_respond_where(app, conn, request);
		return;
	}
	print_state(&out, app);
	print_majority(&out, app);
	print_evacuations(&out, app);
	print_proof(&out, app);
	ga_print_memory(&out, app);
	print_fleet(&out, fl_get_counters(app->fleet));
	print_counters(&out, counters);
	print_histogram(&out, "answered", &counters->answered);
	print_histogram(&out, "waited", &counters->waited);
	print_histogram(&out, "at_target", &counters->at_target);
	gw_for_each_pool(app->gw, print_pool, &out);
	gw_for_each_tenant(app->gw, print_tenant, &out);
	h1_bytes_add(&out, "", 1);
	h1_conn_send_text(
	    conn, 200, "text/plain", out.data == NULL ? "" : out.data);
	h1_bytes_free(&out);
}

static void
on_disconnect(struct h1_conn *conn)
{
	(void)conn; /* each response is sent before its handler returns */
}

static int
create_server(struct ga_app *app, struct sockaddr_in address,
    uint32_t connections_max, const struct h1_server_events *events,
    struct h1_server **out)
{
	struct h1_server_params params = {
	    .loop = &app->loop,
	    .address = address,
	    .limits = {REQUEST_BYTES_MAX, REQUEST_BYTES_MAX},
	    .head_timeout_ms = IDLE_TIMEOUT_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_MS,
	    .connections_max = connections_max,
	    .memory = &app->memory,
	    .bodies_bytes_max = (uint64_t)connections_max * REQUEST_BYTES_MAX,
	    .events = events,
	    .user = app,
	};

	return h1_server_create(&params, out);
}

int
ga_start_servers(struct ga_app *app)
{
	static const struct h1_server_events directory = {
	    .on_request = on_directory, .on_disconnect = on_disconnect};
	static const struct h1_server_events readiness = {
	    .on_request = on_readiness, .on_disconnect = on_disconnect};
	static const struct h1_server_events metrics = {
	    .on_request = on_metrics, .on_disconnect = on_disconnect};
	struct sockaddr_in address = app->settings.fleet;

	uint32_t directory_max = app->settings.files_max / 16;
	uint32_t side_max = app->settings.files_max / 64;

	if (directory_max > DIRECTORY_CONNECTIONS_MAX)
		directory_max = DIRECTORY_CONNECTIONS_MAX;
	if (side_max > SIDE_CONNECTIONS_MAX)
		side_max = SIDE_CONNECTIONS_MAX;
	address.sin_port = htons(METRICS_PORT);
	if (create_server(app, app->settings.directory, directory_max,
		&directory, &app->directory) != CS_OK ||
	    create_server(app, app->settings.readiness, side_max, &readiness,
		&app->readiness) != CS_OK)
		return CS_E_SYSTEM;
	/* The gateway runs without metrics if their port cannot be bound. */
	if (create_server(app, address, side_max, &metrics, &app->metrics) !=
	    CS_OK)
		app->metrics = NULL;
	return CS_OK;
}

void
ga_sweep_servers(struct ga_app *app)
{
	int64_t now_us = cs_now_us();

	h1_server_sweep(app->directory, now_us);
	h1_server_sweep(app->readiness, now_us);
	if (app->metrics != NULL)
		h1_server_sweep(app->metrics, now_us);
}
