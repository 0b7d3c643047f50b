/* Creates the server and its listeners; sets the current configuration. */
#include "serve.h"

#include <stdlib.h>
#include <string.h>

#include "serve_internal.h"

/* From a request's first byte to its last: allows 20 MB at 1.4 Mbit/s. */
#define REQUEST_TIMEOUT_MS 120000
#define ADMIN_BODY_BYTES_MAX 65536
#define SWEEP_MS 250

static void
on_admin_client_left(struct h1_conn *conn)
{
	(void)conn; /* admin requests are answered at once: no state */
}

static int
create_listeners(struct sv_server *server)
{
	static const struct h1_server_events caller_events = {
	    .on_request = sv_on_request,
	    .on_disconnect = sv_on_caller_left,
	    .on_flushed = sv_on_output_sent,
	    .error_response = sv_refusal_response,
	};
	static const struct h1_server_events admin_events = {
	    .on_request = sv_on_admin_request,
	    .on_disconnect = on_admin_client_left,
	};
	struct h1_server_params caller_params = {
	    .loop = server->params.loop,
	    .address = server->params.listen,
	    .limits = {H1_HEAD_BYTES_MAX, SV_BODY_BYTES_MAX},
	    .head_timeout_ms = REQUEST_TIMEOUT_MS,
	    .idle_timeout_ms = REQUEST_TIMEOUT_MS,
	    .connections_max = server->connections_max,
	    .address_connections_max = server->connections_max / 4 * 3,
	    .memory = server->params.memory,
	    .bodies_bytes_max = sv_bodies_bytes_max(server),
	    .events = &caller_events,
	    .user = server,
	};
	uint32_t admin_connections_max = sv_admin_connections_max(server);
	struct h1_server_params admin_params = {
	    .loop = server->params.loop,
	    .address = server->params.admin_listen,
	    .limits = {H1_HEAD_BYTES_MAX, ADMIN_BODY_BYTES_MAX},
	    .head_timeout_ms = REQUEST_TIMEOUT_MS,
	    .idle_timeout_ms = REQUEST_TIMEOUT_MS,
	    .connections_max = admin_connections_max,
	    .memory = server->params.memory,
	    .bodies_bytes_max =
		(uint64_t)admin_connections_max * ADMIN_BODY_BYTES_MAX,
	    .events = &admin_events,
	    .user = server,
	};
	int error = h1_server_create(&caller_params, &server->caller_listener);

	if (error != CS_OK)
		return error;
	return h1_server_create(&admin_params, &server->admin_listener);
}

static void
on_sweep(uv_timer_t *timer)
{
	struct sv_server *server = timer->data;
	int64_t now_us = cs_now_us();

	h1_server_sweep(server->caller_listener, now_us);
	h1_server_sweep(server->admin_listener, now_us);
	sv_sweep_relays(server, now_us);
	sv_log_closed(server);
}

static int
dispatch_from_name(const char *name)
{
	if (strcmp(name, "two-choices") == 0)
		return DC_DISPATCH_TWO_CHOICES;
	return DC_DISPATCH_LEASES;
}

static void
init_core(struct sv_server *server)
{
	const struct sv_params *params = &server->params;

	if (params->trace != NULL)
		fprintf(params->trace, "SEED %llu\n",
		    (unsigned long long)params->seed);
	dc_parameter_set(
	    server->core, "dispatch", dispatch_from_name(params->dispatch));
	sv_post_event(server,
	    &(struct dc_event){
		.type = DC_EV_SELF,
		.self =
		    {
			.peer = cs_hash(params->name, strlen(params->name)),
			.epoch = params->epoch,
			.region =
			    cs_hash(params->region, strlen(params->region)),
		    },
	    });
}

int
sv_create(const struct sv_params *params, struct sv_server **out)
{
	struct sv_server *server = g_new0(struct sv_server, 1);
	int error;

	server->params = *params;
	sv_set_limits(server);
	server->execute_action = sv_execute_action;
	server->core = dc_core_create(params->seed);
	if (server->core == NULL)
		return CS_E_SYSTEM;
	cs_random_seed(&server->random, params->seed + 1);
	server->pending_events =
	    g_array_new(FALSE, FALSE, sizeof(struct dc_event));
	server->accounts = rp_create();
	server->call_records =
	    g_new0(struct sv_call_record, SV_CALL_RECORDS_MAX);
	server->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	server->response_cache = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&server->response_cache_by_age);
	server->targets = g_hash_table_new(g_int64_hash, g_int64_equal);
	uv_timer_init(params->loop, &server->core_timer);
	server->core_timer.data = server;
	uv_timer_init(params->loop, &server->sweep_timer);
	server->sweep_timer.data = server;
	init_core(server);
	error = create_listeners(server);
	if (error != CS_OK)
		return error;
	uv_timer_start(&server->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
	*out = server;
	return CS_OK;
}

void
sv_listen_address(const struct sv_server *server, char *text)
{
	h1_server_address(server->caller_listener, text);
}

void
sv_admin_address(const struct sv_server *server, char *text)
{
	h1_server_address(server->admin_listener, text);
}

int
sv_set_config(struct sv_server *server, struct cf_config *config)
{
	struct cf_config *old = server->config;

	if (old != NULL && cf_version(config) <= cf_version(old))
		return CS_E_STALE;
	cf_ref(config);
	server->config = config;
	sv_load_config(server, config);
	cf_unref(old);
	return CS_OK;
}

struct cf_config *
sv_config(const struct sv_server *server)
{
	return server->config;
}

void
sv_stop_accepting(struct sv_server *server)
{
	h1_server_stop(server->caller_listener);
}

uint32_t
sv_open_calls(const struct sv_server *server)
{
	return server->open_calls + h1_server_unsent(server->caller_listener);
}
