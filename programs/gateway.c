/* The gateway command: an entry VM on the platform. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "commands.h"
#include "gateway.h"
#include "settings.h"

_Static_assert(FL_NAME_BYTES_MAX >= PL_TEXT_BYTES_MAX,
    "other VMs take names that are cut for those of one VM");

#define TICK_MS 250
#define RELOAD_INTERVAL_TICKS 20 /* the file may change without a signal */
#define PAUSE_MIN_US 1000000	 /* beyond a tick: the process did not run */
/* Initial round-trip times, until samples exist. */
#define RTT_SAME_DATA_CENTRE_US 500
#define RTT_SAME_REGION_US 3000
#define RTT_OTHER_REGION_US 26000
/* One response may take an eighth of the memory. */
#define RESPONSE_MEMORY_DIVISOR 8
/* All request bodies may take a quarter of the memory. */
#define BODIES_MEMORY_DIVISOR 4
#define STOP_TICK_MS 25
/*
 * Calls that wait for longer at a VM that stops are refused, so that their
 * callers have time to turn to another VM.
 */
#define WAIT_MAX_AT_STOP_US 1000000

int64_t
ga_boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static uint32_t
count_regions(const struct bl_topology *topology)
{
	uint32_t i, k, count = 0;

	for (i = 0; i < topology->count; i++) {
		for (k = 0; k < i; k++) {
			if (strcmp(topology->data_centres[k].region,
				topology->data_centres[i].region) == 0)
				break;
		}
		count += k == i;
	}
	return count;
}

static void
fill_topology(struct ga_app *app)
{
	const struct pl_settings *settings = &app->settings;
	struct bl_topology *topology = &app->topology;
	uint32_t i;

	for (i = 0; i < settings->data_centre_count; i++) {
		bool own = strcmp(settings->data_centres[i].data_centre,
			       settings->data_centre) == 0;
		bool same_region = strcmp(settings->data_centres[i].region,
				       settings->region) == 0;

		strcpy(topology->data_centres[i].name,
		    settings->data_centres[i].data_centre);
		strcpy(topology->data_centres[i].region,
		    settings->data_centres[i].region);
		topology->data_centres[i].same_region = same_region;
		topology->data_centres[i].rtt_us = own ? RTT_SAME_DATA_CENTRE_US
						   : same_region
						       ? RTT_SAME_REGION_US
						       : RTT_OTHER_REGION_US;
		if (own)
			topology->own = i;
	}
	topology->count = settings->data_centre_count;
	app->region_count = count_regions(topology);
}

/*
 * The platform sets a latency for each route but no share of requests within
 * it.
 */
#define OBJECTIVE_SHARE 0.99

static enum rp_result
call_result(const struct gw_call_result *ended)
{
	if (ended->reason == GW_CALLER_GONE)
		return RP_LEFT;
	if (ended->reason == GW_ANSWERED)
		return ended->took_us <= ended->objective_us ? RP_SERVED
							     : RP_LATE;
	return ended->status == 503 || ended->status == 401 ||
		       ended->reason == GW_OVER_QUOTA
		   ? RP_NOT_RUN
		   : RP_UNKNOWN;
}

static void
on_call_ended(void *user, const struct gw_call_result *ended)
{
	struct ga_app *app = user;
	char route[RT_LABEL_BYTES_MAX];

	rt_route_label(ended->route, route);
	rp_add(app->accounts,
	    &(struct rp_call){
		.member = "",
		.route = route,
		.idempotent = ended->route->kind == RT_IDEMPOTENT,
		.weight = 1,
		.objective_ms = (uint32_t)(ended->objective_us / 1000),
		.objective_share = OBJECTIVE_SHARE,
		.result = call_result(ended),
		.took_us = ended->took_us,
	    },
	    cs_now_us());
}

static const struct gw_events gateway_events = {.on_call_ended = on_call_ended,
    .on_crash = ga_on_crash,
    .on_excused = ga_on_excused,
    .on_claim = ga_on_claim,
    .on_rank = ga_on_rank,
    .on_leaving = ga_on_leaving,
    .on_cold = ga_on_cold,
    .on_limit = ga_on_limit,
    .on_ask = ga_on_ask,
    .on_quota_ask = ga_on_quota_ask,
    .on_quota_owner = ga_on_quota_owner,
    .on_quota_share = ga_on_quota_share};

static struct bl_budget_params
budget_params(const struct pl_settings *settings, uint32_t node_count)
{
	int64_t window_us = settings->retry_window_ms * 1000;

	return (struct bl_budget_params){
	    .ratio = settings->retry_ratio,
	    .slack = settings->retry_slack,
	    .window_us = window_us,
	    .node_count = node_count,
	    .slack_from_us = cs_now_us() + window_us,
	};
}

static int
create_gateway(struct ga_app *app, uint64_t seed)
{
	const struct pl_settings *settings = &app->settings;
	uint64_t memory = (uint64_t)settings->memory_mb * 1024 * 1024;
	uint32_t connections_max = ga_connections_max(settings);
	struct gw_params params = {
	    .loop = &app->loop,
	    .header_names = &pl_header_names,
	    .topology = &app->topology,
	    .budget = budget_params(settings, 1),
	    .listen_address = settings->listen_address,
	    .connections_max = connections_max,
	    .address_connections_max = GA_ADDRESS_CONNECTIONS(connections_max),
	    .memory_bytes_max = memory / BODIES_MEMORY_DIVISOR,
	    .response_bytes_max = memory / RESPONSE_MEMORY_DIVISOR,
	    .memory = &app->memory,
	    .probes_per_s = settings->probes_per_s,
	    .key_proof_age_max_us =
		settings->keys_need_proof ? settings->key_removal_ms * 1000 : 0,
	    .limit_cold_targets = settings->cold_excess > 0.0,
	    .quota = ga_quota_params(app),
	    .seed = seed,
	    .events = &gateway_events,
	    .user = app,
	};

	return gw_create(&params, &app->gw);
}

static int
create_store(struct ga_app *app, uint64_t seed)
{
	struct os_params params = {
	    .loop = &app->loop,
	    .address = app->settings.store,
	    .codec = &pl_codec,
	    .events = &ga_store_events,
	    .user = app,
	    .kind_count = ga_kind_count(app),
	    .kinds = {[GA_CONFIG] = PL_KIND_CONFIG,
		[GA_TARGETS] = PL_KIND_TARGETS,
		[GA_EVACUATIONS] = PL_KIND_EVACUATIONS},
	    .cache = app->cache,
	    .own_kind = PL_KIND_NODES,
	    .own_name = app->settings.name,
	    .seed = seed,
	};

	return os_client_create(&params, &app->store);
}

/*
 * Returns the capacity of this VM as a leader: the VM that watches the store
 * sends its updates to all others of the region, over its share of the link.
 */
static uint32_t
watch_capacity(const struct pl_settings *settings)
{
	double mbps = settings->link_mbps * settings->cpu_share;
	uint32_t capacity = 0;

	for (; mbps >= 2.0 && capacity < FL_CAPACITY_MAX; mbps /= 2)
		capacity++;
	return capacity;
}

static int
create_fleet(struct ga_app *app, uint64_t seed)
{
	const struct pl_settings *settings = &app->settings;
	struct fl_params params = {
	    .loop = &app->loop,
	    .self = {.fleet = settings->fleet,
		.listen_address = settings->listen_address,
		.capacity = watch_capacity(settings),
		.boot = seed,
		.features = FL_FEATURES |
			    (ga_uses_voters(settings) ? FL_FEATURE_VOTERS : 0)},
	    .seed_count = settings->seed_count,
	    .cache = app->cache,
	    .kind_count = ga_kind_count(app),
	    .first_start = settings->first_start,
	    .memory = &app->memory,
	    .events = &ga_fleet_events,
	    .user = app,
	};

	cs_copy_text(
	    params.self.name, sizeof(params.self.name), settings->name);
	cs_copy_text(params.self.data_centre, sizeof(params.self.data_centre),
	    settings->data_centre);
	cs_copy_text(params.region, sizeof(params.region), settings->region);
	memcpy(params.seeds, settings->seeds, sizeof(params.seeds));
	return fl_create(&params, &app->fleet);
}

static void
reload_settings(struct ga_app *app, bool by_signal)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_settings *new_settings = malloc(sizeof(*new_settings));

	if (new_settings == NULL)
		return;
	if (pl_settings_read(app->settings_path, new_settings, error_text) !=
	    CS_OK) {
		cs_log(CS_LOG_SETTINGS_REFUSED, "fault=\"%s\"", error_text);
	} else if (by_signal || memcmp(new_settings, &app->settings,
				    sizeof(*new_settings)) != 0) {
		/* Addresses and other bounds are read at start only. */
		cs_log(CS_LOG_SETTINGS_RELOADED, "asked=%d", by_signal);
		app->settings.directory_ttl_max_ms =
		    new_settings->directory_ttl_max_ms;
		app->settings.grace_ms = new_settings->grace_ms;
	}
	free(new_settings);
}

static void
check_pause(struct ga_app *app)
{
	int64_t now_us = ga_boot_us();
	int64_t gap_us = now_us - app->last_tick_boot_us;

	app->last_tick_boot_us = now_us;
	if (gap_us < PAUSE_MIN_US + TICK_MS * 1000)
		return;
	cs_log(CS_LOG_PROCESS_PAUSED, "for_us=%lld", (long long)gap_us);
	fl_note_pause(app->fleet);
	app->voters.is_read = false;
	if (app->role != FL_ROLE_WATCH_STORE)
		return;
	/* Watches may have ended unnoticed during the pause: restart them. */
	os_client_follow(app->store, false);
	os_client_follow(app->store, true);
}

static void
on_tick(uv_timer_t *timer)
{
	struct ga_app *app = timer->data;
	uint64_t dropped;

	check_pause(app);
	ga_sweep_servers(app);
	ga_log_closed(app);
	ga_publish_state(app);
	ga_discover_nodes(app);
	fl_check_silent_nodes(app->fleet);
	ga_tend_voters(app);
	ga_update_budget_share(app);
	ga_repeat_crash_reports(app);
	ga_remind_regions(app);
	ga_check_evacuations(app);
	ga_renew_proof(app);
	ga_contact_regions(app);
	ga_list_regions(app);
	gw_tell_excuses(app->gw);

	if (++app->tick_count % RELOAD_INTERVAL_TICKS == 0)
		reload_settings(app, false);
	dropped = cs_log_flush();
	if (dropped > 0)
		cs_log(CS_LOG_LINES_DROPPED, "lines=%llu",
		    (unsigned long long)dropped);
}

static void
stop_loop(struct ga_app *app)
{
	const struct fl_counters *counters = fl_get_counters(app->fleet);

	cs_log(CS_LOG_GATEWAY_STOPPED,
	    "after_us=%lld connections=%u datagram_bytes=%llu news_bytes=%llu "
	    "snapshots=%llu",
	    (long long)(cs_now_us() - app->stop_started_us),
	    gw_caller_connections(app->gw),
	    (unsigned long long)counters->datagram_bytes,
	    (unsigned long long)counters->update_bytes,
	    (unsigned long long)counters->snapshots);
	cs_log_flush();
	uv_stop(&app->loop);
}

static void
on_stop_tick(uv_timer_t *timer)
{
	struct ga_app *app = timer->data;
	const struct bl_stop_plan *plan = &app->stop_plan;
	int64_t elapsed_us = cs_now_us() - app->stop_started_us;

	gw_end_waiting(app->gw, cs_now_us() - WAIT_MAX_AT_STOP_US);
	if (elapsed_us > plan->end_calls_us)
		gw_end_calls(app->gw);
	if (elapsed_us > plan->close_idle_us)
		gw_close_idle(app->gw);
	if (elapsed_us > plan->exit_us ||
	    (elapsed_us > plan->close_idle_us && gw_is_drained(app->gw)))
		stop_loop(app);
}

static void
on_terminate(uv_signal_t *signal, int number)
{
	struct ga_app *app = signal->data;

	if (app->stop_started_us != 0)
		return;
	cs_log(CS_LOG_GATEWAY_STOPPING, "signal=%d connections=%u", number,
	    gw_caller_connections(app->gw));
	app->stop_started_us = cs_now_us();
	bl_plan_stop(app->settings.grace_ms * 1000, &app->stop_plan);
	ga_publish_state(app);
	fl_leave(app->fleet);
	gw_stop(app->gw, &app->stop_plan);
	uv_timer_start(&app->stop, on_stop_tick, STOP_TICK_MS, STOP_TICK_MS);
}

static void
on_reload(uv_signal_t *signal, int number)
{
	(void)number;
	reload_settings(signal->data, true);
}

static void
start_timers(struct ga_app *app)
{
	uv_timer_init(&app->loop, &app->tick);
	uv_timer_init(&app->loop, &app->stop);
	uv_timer_init(&app->loop, &app->relist);
	uv_timer_init(&app->loop, &app->first_read);
	app->first_read.data = app;

	uv_signal_init(&app->loop, &app->terminate);
	uv_signal_init(&app->loop, &app->interrupt);
	uv_signal_init(&app->loop, &app->reload);
	app->tick.data = app->stop.data = app->relist.data = app;
	app->terminate.data = app->interrupt.data = app->reload.data = app;
	uv_timer_start(&app->tick, on_tick, TICK_MS, TICK_MS);
	uv_signal_start(&app->terminate, on_terminate, SIGTERM);
	uv_signal_start(&app->interrupt, on_terminate, SIGINT);
	uv_signal_start(&app->reload, on_reload, SIGHUP);
}

/* Reads the store once if no other VM has sent the objects meanwhile. */
static void
on_first_read(uv_timer_t *timer)
{
	struct ga_app *app = timer->data;

	if (!ga_is_loaded(app))
		os_client_list_once(app->store);
}

static int
start(struct ga_app *app)
{
	uint64_t seed =
	    cs_hash(app->settings.name, strlen(app->settings.name)) ^
	    (uint64_t)ga_boot_us() ^ (uint64_t)getpid() << 32 ^
	    (uint64_t)time(NULL) << 16;

	fill_topology(app);
	ga_limit_memory(app);
	app->cache = os_cache_create();
	app->accounts = rp_create();
	if (app->cache != NULL)
		os_cache_set_memory(app->cache, &app->memory);
	if (app->cache == NULL || app->accounts == NULL ||
	    create_gateway(app, seed) != CS_OK ||
	    create_store(app, seed) != CS_OK ||
	    create_fleet(app, seed) != CS_OK || ga_start_voters(app) != CS_OK ||
	    ga_start_servers(app) != CS_OK)
		return CS_E_SYSTEM;
	ga_start_proofs(app, seed);
	ga_start_listing(app);
	start_timers(app);
	if (!app->settings.first_start)
		uv_timer_start(&app->first_read, on_first_read,
		    (uint64_t)fl_first_read_delay_us(
			watch_capacity(&app->settings), seed) /
			1000,
		    0);

	cs_log(CS_LOG_GATEWAY_STARTED,
	    "vm=%s data_centre=%s version=%s memory_mb=%u", app->settings.name,
	    app->settings.data_centre, CHERVILSHELF_VERSION,
	    app->settings.memory_mb);
	return CS_OK;
}

static struct ga_app *
create_app(const char *settings_path, const char *log_level)
{
	struct ga_app *app = calloc(1, sizeof(*app));
	char error_text[PL_TEXT_BYTES_MAX];

	if (app == NULL)
		return NULL;
	app->settings_path = settings_path;
	app->process_start_us = cs_now_us();
	app->last_tick_boot_us = ga_boot_us();
	if (settings_path == NULL || pl_settings_read(settings_path,
					 &app->settings, error_text) != CS_OK) {
		fprintf(stderr, "chervilshelf gateway: %s: %s\n",
		    settings_path == NULL ? "no settings file" : settings_path,
		    settings_path == NULL ? "set " PL_SETTINGS_ENV
					    " or --settings"
					  : error_text);
		free(app);
		return NULL;
	}
	if (cs_log_open(log_level) != CS_OK ||
	    cs_log_start_buffering() != CS_OK) {
		fprintf(stderr,
		    "chervilshelf gateway: --log-level is one of debug, info, "
		    "warn, error; \"%s\" was given\n",
		    log_level);
		free(app);
		return NULL;
	}
	return app;
}

int
cm_gateway(int argc, char **argv)
{
	gchar *settings_path = NULL, *log_level = NULL;
	const GOptionEntry entries[] = {
	    {"settings", 0, 0, G_OPTION_ARG_FILENAME, &settings_path,
		"settings file (environment: " PL_SETTINGS_ENV ")", "PATH"},
	    {"log-level", 0, 0, G_OPTION_ARG_STRING, &log_level,
		"debug, info, warn or error (environment: "
		"CHERVILSHELF_LOG_LEVEL)",
		"LEVEL"},
	    {NULL, 0, 0, 0, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new("");
	GError *error = NULL;
	struct ga_app *app;
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!parsed || argc > 1) {
		fprintf(stderr, "chervilshelf gateway: %s\n",
		    parsed ? "takes no arguments" : error->message);
		g_clear_error(&error);
		return ST_EXIT_USAGE;
	}
	if (log_level == NULL)
		log_level = g_strdup(getenv("CHERVILSHELF_LOG_LEVEL"));
	signal(SIGPIPE, SIG_IGN);
	app = create_app(
	    settings_path != NULL ? settings_path : getenv(PL_SETTINGS_ENV),
	    log_level != NULL ? log_level : "info");
	if (app == NULL)
		return ST_EXIT_USAGE;
	uv_loop_init(&app->loop);
	if (start(app) != CS_OK) {
		fprintf(stderr, "chervilshelf gateway: cannot start\n");
		return ST_EXIT_REFUSED;
	}
	uv_run(&app->loop, UV_RUN_DEFAULT);
	return ST_EXIT_DONE;
}
