/* The operators' commands on the configuration: check, apply, get, drain. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/base/base.h"
#include "../lib/config/config.h"
#include "commands.h"
#include "session.h"
#include "settings.h"

/* An accepted configuration is in force everywhere within this time. */
#define ACTIVATION_TIMEOUT_MS 8000
#define POLL_INTERVAL_MS 100

/* What the commands share. */
struct options {
	const char *platform;
	int64_t expect_version;
	bool wait;
	bool json;
};

static int
exit_code(int error)
{
	switch (error) {
	case CS_OK:
		return ST_EXIT_DONE;
	case CS_E_CONFLICT:
		return ST_EXIT_CONFLICT;
	case CS_E_UNKNOWN:
		return ST_EXIT_UNKNOWN;
	default:
		return ST_EXIT_REFUSED;
	}
}

static int
load_config_file(const char *path, struct cf_config **out)
{
	char error_text[CF_ERROR_BYTES_MAX];
	char *text;
	int error;

	if (se_read_file(path, &text) != CS_OK)
		return CS_E_MISSING;
	error = cf_parse(text, strlen(text), error_text, out);
	g_free(text);
	if (error != CS_OK)
		fprintf(stderr, "chervilshelf: %s: %s\n", path, error_text);
	return error;
}

int
cm_check(int argc, char **argv)
{
	struct options o = {0};
	const struct st_setting settings[] = {ST_JSON(o)};
	const struct st_command command = {"check", "FILE",
	    "Checks a configuration file without a platform.", settings,
	    ST_COUNT(settings), 1};
	struct cf_config *config;
	const char *path;

	if (st_parse(&command, argc, argv, &path) != CS_OK)
		return ST_EXIT_USAGE;
	if (load_config_file(path, &config) != CS_OK)
		return ST_EXIT_REFUSED;
	printf(o.json ? "{\"routes\":%u,\"pools\":%u,\"targets\":%u}\n"
		      : "valid: %u routes, %u pools, %u targets\n",
	    cf_route_count(config), cf_pool_count(config),
	    cf_target_count(config));
	cf_unref(config);
	return ST_EXIT_DONE;
}

/* Prints what another operator changed since the version we started from. */
static void
print_conflict(struct se_session *session, struct cf_config *previous)
{
	struct cf_config *current;
	uint64_t revision;
	char *diff;

	if (se_load_config(session, &current, &revision) != CS_OK)
		return;
	fprintf(stderr, "chervilshelf: conflict: version %llu is stored\n",
	    (unsigned long long)cf_version(current));
	if (previous != NULL) {
		diff = cf_diff(previous, current);
		fputs(diff, stderr);
		free(diff);
	}
	cf_unref(current);
}

static bool
node_has_version(
    struct se_session *session, const struct se_node *node, uint64_t version)
{
	struct se_response response;
	json_t *root;
	json_int_t active_version;

	se_get(session, node->admin, "/status", &response);
	root = json_loads(response.value, 0, NULL);
	active_version =
	    json_integer_value(json_object_get(root, "config_version"));
	json_decref(root);
	g_free(response.value);
	return response.error == CS_OK && (uint64_t)active_version >= version;
}

/* Drops from the list those that have the version; returns what is left. */
static uint32_t
keep_outdated_nodes(struct se_session *session, struct se_node *nodes,
    uint32_t count, uint64_t version)
{
	uint32_t i, remaining = 0;

	for (i = 0; i < count; i++) {
		if (!node_has_version(session, &nodes[i], version))
			nodes[remaining++] = nodes[i];
	}
	return remaining;
}

static int
wait_until_active(struct se_session *session, uint64_t version)
{
	static struct se_node nodes[SE_NODES_MAX];
	int64_t deadline_us = cs_now_us() + ACTIVATION_TIMEOUT_MS * 1000LL;
	uint32_t i, count;

	if (se_list_nodes(session, nodes, &count) != CS_OK)
		return CS_E_UNKNOWN;
	for (;;) {
		count = keep_outdated_nodes(session, nodes, count, version);
		if (count == 0)
			return CS_OK;
		if (cs_now_us() >= deadline_us)
			break;
		se_sleep(session, POLL_INTERVAL_MS);
	}
	for (i = 0; i < count; i++)
		fprintf(
		    stderr, "chervilshelf: not in force: %s\n", nodes[i].name);
	return CS_E_UNKNOWN;
}

static void
print_applied(const struct options *o, uint64_t version)
{
	printf(o->json ? "{\"version\":%llu}\n" : "version %llu\n",
	    (unsigned long long)version);
}

/* Writes a configuration over the one it was made from. */
static int
store_next_version(struct se_session *session, const struct options *o,
    const struct cf_config *config, struct cf_config *previous,
    uint64_t revision)
{
	uint64_t version = previous == NULL ? 1 : cf_version(previous) + 1;
	int error;

	error = se_store_config(session, config, version, revision);
	if (error == CS_E_CONFLICT)
		print_conflict(session, previous);
	else if (error == CS_OK)
		print_applied(o, version);
	else
		fprintf(
		    stderr, "chervilshelf: apply: %s\n", cs_error_text(error));
	if (error == CS_OK && o->wait)
		error = wait_until_active(session, version);
	return error;
}

static int
apply(struct se_session *session, const struct options *o,
    struct cf_config *config)
{
	struct cf_config *previous;
	uint64_t revision, stored_version;
	int error;

	error = se_load_config(session, &previous, &revision);
	if (error != CS_OK && error != CS_E_MISSING)
		return error;
	stored_version = previous == NULL ? 0 : cf_version(previous);
	if (o->expect_version >= 0 &&
	    stored_version != (uint64_t)o->expect_version) {
		print_conflict(session, config);
		error = CS_E_CONFLICT;
	} else {
		error =
		    store_next_version(session, o, config, previous, revision);
	}
	cf_unref(previous);
	return error;
}

int
cm_apply(int argc, char **argv)
{
	struct options o = {.expect_version = -1};
	const struct st_setting settings[] = {
	    ST_PLATFORM(o),
	    {.name = "expect-version",
		.kind = ST_NUMBER,
		.number = &o.expect_version,
		.max = INT64_MAX,
		.argument = "V",
		.help = "refuse unless this version is stored (0: none)"},
	    {.name = "wait",
		.kind = ST_SWITCH,
		.flag = &o.wait,
		.help = "return once every entry VM has it in force"},
	    ST_JSON(o),
	};
	const struct st_command command = {"apply", "FILE",
	    "Checks a configuration and puts it in force.", settings,
	    ST_COUNT(settings), 1};
	struct se_session *session;
	struct cf_config *config;
	const char *path;
	int error;

	if (st_parse(&command, argc, argv, &path) != CS_OK)
		return ST_EXIT_USAGE;
	if (load_config_file(path, &config) != CS_OK)
		return ST_EXIT_REFUSED;
	if (se_open(o.platform, &session) != CS_OK)
		return ST_EXIT_USAGE;
	error = apply(session, &o, config);
	cf_unref(config);
	se_close(session);
	return exit_code(error);
}

int
cm_get(int argc, char **argv)
{
	struct options o = {0};
	const struct st_setting settings[] = {ST_PLATFORM(o), ST_JSON(o)};
	const struct st_command command = {"get", "",
	    "Prints the stored configuration; its version goes to standard "
	    "error.",
	    settings, ST_COUNT(settings), 0};
	struct se_session *session;
	struct cf_config *config;
	uint64_t revision;
	char *text;
	int error;

	if (st_parse(&command, argc, argv, NULL) != CS_OK)
		return ST_EXIT_USAGE;
	if (se_open(o.platform, &session) != CS_OK)
		return ST_EXIT_USAGE;
	error = se_load_config(session, &config, &revision);
	se_close(session);
	if (error == CS_E_MISSING)
		fprintf(stderr, "chervilshelf: nothing is stored\n");
	if (error != CS_OK)
		return ST_EXIT_REFUSED;
	text = o.json ? cf_format_stored(
			    config, cf_version(config), cf_writer(config))
		      : cf_format_document(config);
	fprintf(
	    stderr, "version %llu\n", (unsigned long long)cf_version(config));
	puts(text);
	free(text);
	cf_unref(config);
	return ST_EXIT_DONE;
}

static int
drain(struct se_session *session, const struct options *o, const char *target)
{
	struct cf_config *previous, *updated;
	uint64_t revision;
	int error;

	error = se_load_config(session, &previous, &revision);
	if (error != CS_OK)
		return error;
	error = cf_with_drain(previous, target, &updated);
	if (error != CS_OK) {
		fprintf(stderr, "chervilshelf: no pool has the target %s\n",
		    target);
	} else {
		error =
		    store_next_version(session, o, updated, previous, revision);
		cf_unref(updated);
	}
	cf_unref(previous);
	return error;
}

int
cm_drain(int argc, char **argv)
{
	struct options o = {0};
	const struct st_setting settings[] = {
	    ST_PLATFORM(o),
	    {.name = "wait",
		.kind = ST_SWITCH,
		.flag = &o.wait,
		.help = "return once every entry VM has it in force"},
	    ST_JSON(o),
	};
	const struct st_command command = {"drain", "TARGET",
	    "Marks a target (IPV4:PORT) so that it gets no new work.", settings,
	    ST_COUNT(settings), 1};
	struct se_session *session;
	const char *target;
	int error;

	if (st_parse(&command, argc, argv, &target) != CS_OK)
		return ST_EXIT_USAGE;
	if (se_open(o.platform, &session) != CS_OK)
		return ST_EXIT_USAGE;
	error = drain(session, &o, target);
	se_close(session);
	return exit_code(error);
}
