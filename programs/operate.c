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
#define IN_FORCE_WITHIN_MS 8000
#define WAIT_PAUSE_MS 100

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
load_file(const char *path, struct cf_config **out)
{
	char fault[CF_ERROR_BYTES_MAX];
	char *text;
	int error;

	if (se_read_file(path, &text) != CS_OK)
		return CS_E_MISSING;
	error = cf_parse(text, strlen(text), fault, out);
	g_free(text);
	if (error != CS_OK)
		fprintf(stderr, "chervilshelf: %s: %s\n", path, fault);
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
	if (load_file(path, &config) != CS_OK)
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
print_conflict(struct se_session *session, struct cf_config *before)
{
	struct cf_config *now;
	uint64_t revision;
	char *diff;

	if (se_stored(session, &now, &revision) != CS_OK)
		return;
	fprintf(stderr, "chervilshelf: conflict: version %llu is stored\n",
	    (unsigned long long)cf_version(now));
	if (before != NULL) {
		diff = cf_diff(before, now);
		fputs(diff, stderr);
		free(diff);
	}
	cf_unref(now);
}

static bool
node_has_version(
    struct se_session *session, const struct se_node *node, uint64_t version)
{
	struct se_response response;
	json_t *root;
	json_int_t in_force;

	se_admin(session, node->admin, "/status", &response);
	root = json_loads(response.value, 0, NULL);
	in_force = json_integer_value(json_object_get(root, "config_version"));
	json_decref(root);
	g_free(response.value);
	return response.error == CS_OK && (uint64_t)in_force >= version;
}

/* Drops from the list those that have the version; returns what is left. */
static uint32_t
drop_ready(struct se_session *session, struct se_node *nodes, uint32_t count,
    uint64_t version)
{
	uint32_t i, left = 0;

	for (i = 0; i < count; i++) {
		if (!node_has_version(session, &nodes[i], version))
			nodes[left++] = nodes[i];
	}
	return left;
}

static int
wait_in_force(struct se_session *session, uint64_t version)
{
	static struct se_node nodes[SE_NODES_MAX];
	int64_t until_us = cs_now_us() + IN_FORCE_WITHIN_MS * 1000LL;
	uint32_t i, count;

	if (se_list_nodes(session, nodes, &count) != CS_OK)
		return CS_E_UNKNOWN;
	for (;;) {
		count = drop_ready(session, nodes, count, version);
		if (count == 0)
			return CS_OK;
		if (cs_now_us() >= until_us)
			break;
		se_sleep(session, WAIT_PAUSE_MS);
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
store_over(struct se_session *session, const struct options *o,
    const struct cf_config *config, struct cf_config *before, uint64_t revision)
{
	uint64_t version = before == NULL ? 1 : cf_version(before) + 1;
	int error;

	error = se_store(session, config, version, revision);
	if (error == CS_E_CONFLICT)
		print_conflict(session, before);
	else if (error == CS_OK)
		print_applied(o, version);
	else
		fprintf(
		    stderr, "chervilshelf: apply: %s\n", cs_error_text(error));
	if (error == CS_OK && o->wait)
		error = wait_in_force(session, version);
	return error;
}

static int
apply(struct se_session *session, const struct options *o,
    struct cf_config *config)
{
	struct cf_config *before;
	uint64_t revision, found;
	int error;

	error = se_stored(session, &before, &revision);
	if (error != CS_OK && error != CS_E_MISSING)
		return error;
	found = before == NULL ? 0 : cf_version(before);
	if (o->expect_version >= 0 && found != (uint64_t)o->expect_version) {
		print_conflict(session, config);
		error = CS_E_CONFLICT;
	} else {
		error = store_over(session, o, config, before, revision);
	}
	cf_unref(before);
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
	if (load_file(path, &config) != CS_OK)
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
	error = se_stored(session, &config, &revision);
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
	struct cf_config *before, *after;
	uint64_t revision;
	int error;

	error = se_stored(session, &before, &revision);
	if (error != CS_OK)
		return error;
	error = cf_with_drain(before, target, &after);
	if (error != CS_OK) {
		fprintf(stderr, "chervilshelf: no pool has the target %s\n",
		    target);
	} else {
		error = store_over(session, o, after, before, revision);
		cf_unref(after);
	}
	cf_unref(before);
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
