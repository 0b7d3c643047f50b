/* chervilshelf entry: runs an entry VM until it is told to stop. */
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <uv.h>

#include "../lib/base/base.h"
#include "../lib/config/config.h"
#include "../lib/http/http.h"
#include "../lib/platform/platform.h"
#include "../lib/serve/serve.h"
#include "commands.h"
#include "settings.h"

#define REGISTER_INTERVAL_MS 1000
#define RETRY_PAUSE_MS 500
/* After the kept directory answers have lapsed, before the listener closes. */
#define LINGER_MS 500
#define STOP_CHECK_MS 20

struct options {
	const char *name;
	const char *data_centre;
	const char *region;
	const char *listen;
	const char *peer_listen;
	const char *admin_listen;
	const char *platform;
	const char *log_level;
	int64_t keep_ms;
	int64_t depth_max;
};

struct entry {
	struct options options;
	uv_loop_t loop;
	struct sv_server *server;
	struct pf_client *platform;
	uint64_t epoch;
	uint64_t config_object_version;
	bool platform_lost;
	bool leaving;
	bool deregistered;
	int64_t stop_after_us;
	uv_timer_t config_timer;
	uv_timer_t register_timer;
	uv_timer_t stop_timer;
	uv_signal_t signals[2];
	char object_name[PF_NAME_BYTES_MAX];
};

static void watch_config(struct entry *entry);

static void
note_platform(struct entry *entry, int error)
{
	bool lost = error == CS_E_UNAVAILABLE || error == CS_E_UNKNOWN;

	if (lost && !entry->platform_lost)
		cs_log(
		    CS_LOG_PLATFORM_LOST, "error=\"%s\"", cs_error_text(error));
	if (!lost && entry->platform_lost)
		cs_log(CS_LOG_PLATFORM_BACK, "url=%s", entry->options.platform);
	entry->platform_lost = lost;
}

static void
take_config(struct entry *entry, const struct pf_result *result)
{
	char fault[CF_FAULT_BYTES_MAX];
	struct cf_config *config;

	entry->config_object_version = result->version;
	if (cf_parse_stored(
		result->value, result->value_bytes, fault, &config) != CS_OK) {
		cs_log(CS_LOG_CONFIG_REFUSED, "fault=\"%s\"", fault);
		return;
	}
	if (sv_set_config(entry->server, config) == CS_OK)
		cs_log(CS_LOG_CONFIG_IN_FORCE, "version=%llu",
		    (unsigned long long)cf_version(config));
	else
		cs_log(CS_LOG_CONFIG_STALE, "version=%llu",
		    (unsigned long long)cf_version(config));
	cf_unref(config);
}

static void
on_config_timer(uv_timer_t *timer)
{
	watch_config(timer->data);
}

static void
on_config(const struct pf_result *result, void *user)
{
	struct entry *entry = user;

	note_platform(entry, result->error);
	if (result->error == CS_OK)
		take_config(entry, result);
	if (result->error == CS_OK || result->error == CS_E_STALE)
		watch_config(entry);
	else
		uv_timer_start(
		    &entry->config_timer, on_config_timer, RETRY_PAUSE_MS, 0);
}

static void
watch_config(struct entry *entry)
{
	pf_watch(entry->platform, CF_OBJECT_NAME, entry->config_object_version,
	    on_config, entry);
}

static void
copy_field(json_t *object, const char *key, char *out, size_t out_bytes)
{
	const char *value = json_string_value(json_object_get(object, key));

	g_strlcpy(out, value != NULL ? value : "", out_bytes);
}

static void
on_entries(const struct pf_result *result, void *user)
{
	static struct sv_entry entries[SV_ENTRIES_MAX];
	struct entry *entry = user;
	uint32_t count = 0;
	const char *key;
	json_t *root, *row;

	note_platform(entry, result->error);
	if (result->error != CS_OK)
		return;
	root = json_loadb(result->value, result->value_bytes, 0, NULL);
	json_object_foreach(root, key, row)
	{
		struct sv_entry *out = &entries[count];

		if (count == SV_ENTRIES_MAX)
			break;
		copy_field(row, "address", out->address, sizeof(out->address));
		copy_field(row, "data_centre", out->data_centre,
		    sizeof(out->data_centre));
		copy_field(row, "region", out->region, sizeof(out->region));
		count++;
	}
	json_decref(root);
	sv_set_entries(entry->server, entries, count);
}

static void
on_registered(const struct pf_result *result, void *user)
{
	struct entry *entry = user;

	note_platform(entry, result->error);
	pf_list(entry->platform, "entries/", on_entries, entry);
}

static void
register_entry(uv_timer_t *timer)
{
	struct entry *entry = timer->data;
	char address[HT_ADDRESS_BYTES_MAX], admin[HT_ADDRESS_BYTES_MAX];
	json_t *root;
	char *text;

	if (entry->leaving)
		return;
	sv_address(entry->server, address);
	sv_admin_address(entry->server, admin);
	root = json_pack("{s:s, s:s, s:s, s:s, s:I}", "address", address,
	    "admin", admin, "data_centre", entry->options.data_centre, "region",
	    entry->options.region, "epoch", (json_int_t)entry->epoch);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	pf_put(entry->platform, entry->object_name, 0, text, strlen(text),
	    on_registered, entry);
	free(text);
}

static void
on_stop_check(uv_timer_t *timer)
{
	struct entry *entry = timer->data;

	if (cs_now_us() < entry->stop_after_us)
		return;
	sv_stop_accepting(entry->server);
	if (sv_open_calls(entry->server) == 0)
		uv_stop(&entry->loop);
}

static void
on_deregistered(const struct pf_result *result, void *user)
{
	(void)result;
	((struct entry *)user)->deregistered = true;
}

static void
on_signal(uv_signal_t *handle, int number)
{
	struct entry *entry = handle->data;

	if (entry->leaving)
		return;
	entry->leaving = true;
	entry->stop_after_us =
	    cs_now_us() +
	    (entry->options.keep_ms + REGISTER_INTERVAL_MS + LINGER_MS) * 1000;
	cs_log(CS_LOG_ENTRY_STOPPING, "signal=%d", number);
	pf_delete(entry->platform, entry->object_name, on_deregistered, entry);
	sv_drain(entry->server);
	uv_timer_start(
	    &entry->stop_timer, on_stop_check, STOP_CHECK_MS, STOP_CHECK_MS);
}

static void
watch_signals(struct entry *entry)
{
	static const int numbers[] = {SIGTERM, SIGINT};
	uint32_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < 2; i++) {
		uv_signal_init(&entry->loop, &entry->signals[i]);
		entry->signals[i].data = entry;
		uv_signal_start(&entry->signals[i], on_signal, numbers[i]);
	}
}

static void
start_timers(struct entry *entry)
{
	uv_timer_init(&entry->loop, &entry->config_timer);
	entry->config_timer.data = entry;
	uv_timer_init(&entry->loop, &entry->register_timer);
	entry->register_timer.data = entry;
	uv_timer_init(&entry->loop, &entry->stop_timer);
	entry->stop_timer.data = entry;
	uv_timer_start(
	    &entry->register_timer, register_entry, 0, REGISTER_INTERVAL_MS);
}

static int
parse_listen(const char *flag, const char *text, struct sockaddr_in *out)
{
	if (ht_parse_address(text, out) == CS_OK)
		return CS_OK;
	return st_refuse(flag, text, "IPV4:PORT, port 0 for any");
}

static int
create_server(struct entry *entry)
{
	const struct options *o = &entry->options;
	struct sv_params params = {
	    .loop = &entry->loop,
	    .name = o->name,
	    .data_centre = o->data_centre,
	    .region = o->region,
	    .seed = entry->epoch,
	    .epoch = entry->epoch,
	    .keep_ms = (uint32_t)o->keep_ms,
	    .depth_max = (uint32_t)o->depth_max,
	    .dispatch = "two-choices",
	};

	if (parse_listen("listen", o->listen, &params.listen) != CS_OK ||
	    parse_listen(
		"admin-listen", o->admin_listen, &params.admin_listen) != CS_OK)
		return ST_EXIT_USAGE;
	if (pf_create(&entry->loop, o->platform, &entry->platform) != CS_OK) {
		st_refuse("platform", o->platform, "http://IPV4:PORT");
		return ST_EXIT_USAGE;
	}
	if (sv_create(&params, &entry->server) != CS_OK) {
		fprintf(stderr,
		    "chervilshelf: --listen %s or --admin-listen "
		    "%s: the address cannot be bound\n",
		    o->listen, o->admin_listen);
		return ST_EXIT_REFUSED;
	}
	return ST_EXIT_DONE;
}

static void
announce(struct entry *entry)
{
	char address[HT_ADDRESS_BYTES_MAX], admin[HT_ADDRESS_BYTES_MAX];

	sv_address(entry->server, address);
	sv_admin_address(entry->server, admin);
	printf("chervilshelf entry %s listen=%s admin=%s\n",
	    entry->options.name, address, admin);
	fflush(stdout);
	cs_log(CS_LOG_ENTRY_STARTED, "entry=%s listen=%s admin=%s epoch=%llx",
	    entry->options.name, address, admin,
	    (unsigned long long)entry->epoch);
}

/* Unlike that of any earlier process of the same name. */
static uint64_t
make_epoch(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static int
run(struct entry *entry)
{
	int code;

	if (cs_log_open(entry->options.log_level) != CS_OK) {
		st_refuse("log-level", entry->options.log_level,
		    "debug, info, warn or error");
		return ST_EXIT_USAGE;
	}
	entry->epoch = make_epoch();
	uv_loop_init(&entry->loop);
	code = create_server(entry);
	if (code != ST_EXIT_DONE)
		return code;
	snprintf(entry->object_name, sizeof(entry->object_name), "entries/%s",
	    entry->options.name);
	start_timers(entry);
	watch_signals(entry);
	watch_config(entry);
	announce(entry);
	uv_run(&entry->loop, UV_RUN_DEFAULT);
	cs_log(CS_LOG_ENTRY_STOPPED, "entry=%s", entry->options.name);
	cs_log_close();
	return ST_EXIT_DONE;
}

int
cm_entry(int argc, char **argv)
{
	static struct entry entry = {
	    .options =
		{
		    .log_level = "info",
		    .keep_ms = 2000,
		    .depth_max = 13,
		},
	};
	struct options *o = &entry.options;
	const struct st_setting settings[] = {
	    {.name = "name",
		.kind = ST_TEXT,
		.text = &o->name,
		.required = true,
		.argument = "N",
		.help = "this VM's name, unlike any other's"},
	    {.name = "data-centre",
		.kind = ST_TEXT,
		.text = &o->data_centre,
		.required = true,
		.argument = "DC",
		.help = "its data centre"},
	    {.name = "region",
		.kind = ST_TEXT,
		.text = &o->region,
		.required = true,
		.argument = "R",
		.help = "its region"},
	    {.name = "listen",
		.kind = ST_TEXT,
		.text = &o->listen,
		.required = true,
		.argument = "IP:PORT",
		.help = "for callers, IPV4:PORT"},
	    {.name = "peer-listen",
		.kind = ST_TEXT,
		.text = &o->peer_listen,
		.required = true,
		.argument = "IP:PORT",
		.help = "for other entry VMs, IPV4:PORT"},
	    {.name = "admin-listen",
		.kind = ST_TEXT,
		.text = &o->admin_listen,
		.required = true,
		.argument = "IP:PORT",
		.help = "for operators, IPV4:PORT"},
	    {.name = "platform",
		.kind = ST_TEXT,
		.text = &o->platform,
		.required = true,
		.argument = "URL",
		.help = "the platform's address, http://IPV4:PORT"},
	    {.name = "log-level",
		.kind = ST_TEXT,
		.text = &o->log_level,
		.argument = "LEVEL",
		.help = "debug, info, warn or error"},
	    {.name = "keep-ms",
		.kind = ST_NUMBER,
		.number = &o->keep_ms,
		.min = 100,
		.max = 60000,
		.argument = "MS",
		.help = "how long callers keep a directory answer"},
	    {.name = "depth-max",
		.kind = ST_NUMBER,
		.number = &o->depth_max,
		.min = 1,
		.max = 100,
		.argument = "N",
		.help = "longest chain of calls"},
	};
	const struct st_command command = {"entry", "",
	    "Runs an entry VM: serves callers until SIGTERM.", settings,
	    sizeof(settings) / sizeof(settings[0]), 0};

	if (st_parse(&command, argc, argv, NULL) != CS_OK)
		return ST_EXIT_USAGE;
	return run(&entry);
}
