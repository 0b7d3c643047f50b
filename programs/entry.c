/* chervilshelf entry: runs an entry VM until it is told to stop. */
#include "entry.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include "../platform/platform.h"
#include "commands.h"
#include "session.h"
#include "settings.h"

/*
 * After the kept directory responses have lapsed, before the listener closes.
 */
#define CLOSE_DELAY_MS 1000
#define STOP_CHECK_MS 20
/* For the last save of the accounts, before the process ends. */
#define FINAL_SAVE_WAIT_MS 200
/* The default is the memory of the VM; with 512 all limits are as documented.
 */
#define MEMORY_MB_DEFAULT_MAX 512
#define MEMORY_MB_MIN 64
/* Share of the descriptors for connections that are no entry VM's (yet). */
#define STRANGERS_DIVISOR 16

static void
on_stop_check(uv_timer_t *timer)
{
	struct en_entry *entry = timer->data;

	if (cs_now_us() < entry->stop_after_us)
		return;
	sv_stop_accepting(entry->server);
	if (sv_open_calls(entry->server) != 0)
		return;
	if (!entry->final_save_started) {
		entry->final_save_started = true;
		entry->stop_after_us = cs_now_us() + FINAL_SAVE_WAIT_MS * 1000;
		en_accounts_save(entry);
		return;
	}
	uv_stop(&entry->loop);
}

static void
on_signal(uv_signal_t *handle, int number)
{
	struct en_entry *entry = handle->data;

	if (entry->stopping)
		return;
	entry->stopping = true;
	entry->stop_after_us =
	    cs_now_us() +
	    (entry->options.directory_ttl_ms + CLOSE_DELAY_MS) * 1000;
	cs_log(CS_LOG_ENTRY_STOPPING, "signal=%d", number);
	en_membership_leave(entry);
	sv_drain(entry->server);
	uv_timer_start(
	    &entry->stop_timer, on_stop_check, STOP_CHECK_MS, STOP_CHECK_MS);
}

static void
watch_signals(struct en_entry *entry)
{
	static const int numbers[] = {SIGTERM, SIGINT};
	uint32_t i;

	cs_memory_return_large_blocks();
	signal(SIGPIPE, SIG_IGN);
	uv_timer_init(&entry->loop, &entry->stop_timer);
	entry->stop_timer.data = entry;
	for (i = 0; i < 2; i++) {
		uv_signal_init(&entry->loop, &entry->signals[i]);
		entry->signals[i].data = entry;
		uv_signal_start(&entry->signals[i], on_signal, numbers[i]);
	}
}

static void
send_message(uint64_t peer, const struct dc_message *message, void *user)
{
	struct en_entry *entry = user;

	if (peer == 0)
		pr_mesh_broadcast(entry->mesh, message);
	else
		pr_mesh_send(entry->mesh, peer, message);
}

static void
on_message(uint64_t from, const struct dc_message *message, void *user)
{
	sv_receive_message(((struct en_entry *)user)->server, from, message);
}

static void
on_link_up(uint64_t peer, void *user)
{
	sv_link_up(((struct en_entry *)user)->server, peer);
}

static void
add_metrics(sv_add_metric add, void *page, void *user)
{
	struct en_entry *entry = user;
	struct pr_mesh_counters c;

	pr_mesh_counters(entry->mesh, &c);
	add(page, "peer_messages_sent_total", c.messages_sent);
	add(page, "peer_messages_received_total", c.messages_received);
	add(page, "peer_bytes_sent_total", c.bytes_sent);
	add(page, "peer_bytes_received_total", c.bytes_received);
	add(page, "platform_calls_total", os_objects_calls(entry->objects));
}

static int
parse_listen(const char *flag, const char *text, struct sockaddr_in *out)
{
	if (cs_parse_address(text, out) == CS_OK)
		return CS_OK;
	return st_refuse(flag, text, "IPV4:PORT, port 0 for any");
}

static int
open_trace(const char *path, FILE **out)
{
	*out = NULL;
	if (path == NULL)
		return CS_OK;
	*out = strcmp(path, "-") == 0 ? stdout : fopen(path, "w");
	if (*out == NULL)
		return st_refuse("trace", path, "a file that can be written");
	setvbuf(*out, NULL, _IOLBF, 0);
	return CS_OK;
}

static int64_t
default_memory_mb(void)
{
	int64_t pages = sysconf(_SC_PHYS_PAGES),
		page_bytes = sysconf(_SC_PAGESIZE);
	int64_t mb = pages * page_bytes / (1024 * 1024);

	if (pages <= 0 || page_bytes <= 0 || mb > MEMORY_MB_DEFAULT_MAX)
		return MEMORY_MB_DEFAULT_MAX;
	return mb < MEMORY_MB_MIN ? MEMORY_MB_MIN : mb;
}

/* Descriptors that this process may use. */
static uint32_t
files_max(const struct en_options *o)
{
	struct rlimit limit;
	uint64_t files = UINT32_MAX;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < files)
		files = limit.rlim_cur;
	if (o->max_fds > 0 && (uint64_t)o->max_fds < files)
		files = (uint64_t)o->max_fds;
	return (uint32_t)files;
}

static int
create_server(struct en_entry *entry)
{
	const struct en_options *o = &entry->options;
	struct sv_params params = {
	    .loop = &entry->loop,
	    .name = o->name,
	    .data_centre = o->data_centre,
	    .region = o->region,
	    .seed = entry->epoch,
	    .epoch = entry->epoch,
	    .directory_ttl_ms = (uint32_t)o->directory_ttl_ms,
	    .depth_max = (uint32_t)o->depth_max,
	    .dispatch = o->dispatch,
	    .memory_bytes_max = (uint64_t)o->memory_mb * 1024 * 1024,
	    .files_max = files_max(o),
	    .memory = &entry->memory,
	    .callbacks =
		{
		    .send = send_message,
		    .claim_key = en_claim_key,
		    .metrics = add_metrics,
		    .user = entry,
		},
	};

	if (parse_listen("listen", o->listen, &params.listen) != CS_OK ||
	    parse_listen(
		"admin-listen", o->admin_listen, &params.admin_listen) != CS_OK)
		return ST_EXIT_USAGE;
	if (open_trace(o->trace, &params.trace) != CS_OK)
		return ST_EXIT_USAGE;
	if (sv_create(&params, &entry->server) == CS_OK)
		return ST_EXIT_DONE;
	fprintf(stderr,
	    "chervilshelf: --listen %s or --admin-listen %s: the address "
	    "cannot be bound\n",
	    o->listen, o->admin_listen);
	return ST_EXIT_REFUSED;
}

static int
create_mesh(struct en_entry *entry)
{
	const struct en_options *o = &entry->options;
	struct pr_mesh_params params = {
	    .loop = &entry->loop,
	    .self = {.epoch = entry->epoch},
	    .memory = &entry->memory,
	    .strangers_max = files_max(o) / STRANGERS_DIVISOR,
	    .callbacks =
		{
		    .on_membership_change = en_membership_changed,
		    .on_message = on_message,
		    .on_link_up = on_link_up,
		    .on_config = en_config_from_peer,
		    .get_config_text = en_config_text,
		    .user = entry,
		},
	};
	struct pr_node *self = &params.self;

	if (parse_listen("peer-listen", o->peer_listen, &params.listen) !=
	    CS_OK)
		return ST_EXIT_USAGE;
	g_strlcpy(self->name, o->name, sizeof(self->name));
	g_strlcpy(self->data_centre, o->data_centre, sizeof(self->data_centre));
	g_strlcpy(self->region, o->region, sizeof(self->region));
	sv_listen_address(entry->server, self->listen);
	sv_admin_address(entry->server, self->admin);
	if (pr_mesh_create(&params, &entry->mesh) == CS_OK)
		return ST_EXIT_DONE;
	fprintf(stderr,
	    "chervilshelf: --peer-listen %s: the address cannot be bound\n",
	    o->peer_listen);
	return ST_EXIT_REFUSED;
}

static int
check_seeds(const char *text)
{
	gchar **addresses = g_strsplit(text, ",", 0);
	struct sockaddr_in parsed;
	gchar **address;
	int error = CS_OK;

	for (address = addresses; *address != NULL; address++) {
		if (cs_parse_address(*address, &parsed) != CS_OK)
			error = CS_E_INVALID;
	}
	g_strfreev(addresses);
	return error;
}

static int
check_options(const struct en_options *o)
{
	if (strlen(o->name) >= SV_NAME_BYTES_MAX || o->name[0] == '\0' ||
	    strchr(o->name, '/') != NULL)
		return st_refuse("name", o->name, "1 to 63 bytes without /");
	if (strlen(o->data_centre) >= SV_NAME_BYTES_MAX)
		return st_refuse(
		    "data-centre", o->data_centre, "up to 63 bytes");
	if (strlen(o->region) >= SV_NAME_BYTES_MAX)
		return st_refuse("region", o->region, "up to 63 bytes");
	if (strcmp(o->dispatch, "leases") != 0 &&
	    strcmp(o->dispatch, "two-choices") != 0)
		return st_refuse(
		    "dispatch", o->dispatch, "leases or two-choices");
	if (o->seed_peers != NULL && check_seeds(o->seed_peers) != CS_OK)
		return st_refuse(
		    "seed-peer", o->seed_peers, "IPV4:PORT, comma separated");
	if (cs_log_open(o->log_level) != CS_OK)
		return st_refuse(
		    "log-level", o->log_level, "debug, info, warn or error");
	return CS_OK;
}

static void
print_addresses(struct en_entry *entry)
{
	const struct pr_node *self =
	    pr_membership_self(pr_mesh_membership(entry->mesh));

	printf("chervilshelf entry %s listen=%s peer=%s admin=%s\n", self->name,
	    self->listen, self->peer, self->admin);
	fflush(stdout);
	cs_log(CS_LOG_ENTRY_STARTED,
	    "entry=%s listen=%s peer=%s admin=%s epoch=%llx", self->name,
	    self->listen, self->peer, self->admin,
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
create_components(struct en_entry *entry)
{
	struct sockaddr_in store;
	int code;

	if (se_parse_url(entry->options.platform, &store) != CS_OK) {
		st_refuse(
		    "platform", entry->options.platform, "http://IPV4:PORT");
		return ST_EXIT_USAGE;
	}
	entry->objects = os_objects_create(&entry->loop, &store, &pl_codec);
	if (entry->objects == NULL)
		return ST_EXIT_REFUSED;
	code = create_server(entry);
	if (code != ST_EXIT_DONE)
		return code;
	return create_mesh(entry);
}

static int
run(struct en_entry *entry)
{
	int code;

	if (check_options(&entry->options) != CS_OK)
		return ST_EXIT_USAGE;
	entry->epoch = make_epoch();
	entry->own_id =
	    cs_hash(entry->options.name, strlen(entry->options.name));
	cs_random_seed(&entry->random, entry->epoch);
	uv_loop_init(&entry->loop);
	code = create_components(entry);
	if (code != ST_EXIT_DONE)
		return code;
	watch_signals(entry);
	en_store_start(entry);
	en_membership_start(entry);
	en_config_start(entry);
	en_accounts_start(entry);
	print_addresses(entry);
	uv_run(&entry->loop, UV_RUN_DEFAULT);
	cs_log(CS_LOG_ENTRY_STOPPED, "entry=%s", entry->options.name);
	cs_log_close();
	return ST_EXIT_DONE;
}

int
cm_entry(int argc, char **argv)
{
	static struct en_entry entry = {
	    .options =
		{
		    .log_level = "info",
		    .dispatch = "leases",
		    .directory_ttl_ms = 2000,
		    .depth_max = 13,
		},
	};
	struct en_options *o = &entry.options;
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
	    {.name = "dispatch",
		.kind = ST_TEXT,
		.text = &o->dispatch,
		.argument = "POLICY",
		.help = "leases or two-choices"},
	    {.name = "trace",
		.kind = ST_TEXT,
		.text = &o->trace,
		.argument = "FILE",
		.help = "write what the decision core sees and does; - for "
			"standard output"},
	    {.name = "seed-peer",
		.kind = ST_TEXT,
		.text = &o->seed_peers,
		.argument = "IP:PORT,...",
		.help = "peers to join while the platform is down"},
	    {.name = "keep-ms",
		.kind = ST_NUMBER,
		.number = &o->directory_ttl_ms,
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
	    {.name = "memory-mb",
		.kind = ST_NUMBER,
		.number = &o->memory_mb,
		.min = MEMORY_MB_MIN,
		.max = 65536,
		.argument = "MB",
		.help = "memory of this VM; buffers take half of it"},
	    {.name = "max-fds",
		.kind = ST_NUMBER,
		.number = &o->max_fds,
		.min = 0,
		.max = 1048576,
		.argument = "N",
		.help = "descriptors of this VM, 0: the limit of the process"},
	};
	const struct st_command command = {"entry", "",
	    "Runs an entry VM: serves callers until SIGTERM.", settings,
	    sizeof(settings) / sizeof(settings[0]), 0};

	o->memory_mb = default_memory_mb();
	if (st_parse(&command, argc, argv, NULL) != CS_OK)
		return ST_EXIT_USAGE;
	return run(&entry);
}
