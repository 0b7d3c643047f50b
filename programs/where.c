/*
 * The operators' command where: asks a running VM where a request would go now,
 * and why. Nothing is sent to a target.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/base/base.h"
#include "commands.h"
#include "session.h"
#include "settings.h"

struct options {
	const char *vm, *host, *path, *tenant;
	bool json;
};

static long long
get_number(json_t *row, const char *key)
{
	return json_integer_value(json_object_get(row, key));
}

static const char *
get_text(json_t *row, const char *key)
{
	const char *value = json_string_value(json_object_get(row, key));

	return value != NULL ? value : "-";
}

static bool
is_set(json_t *row, const char *key)
{
	return json_is_true(json_object_get(row, key));
}

static void
print_verdict(json_t *root)
{
	const char *verdict = get_text(root, "verdict");
	json_t *probe;
	size_t i;

	if (is_set(root, "asks_quota"))
		printf("first:    waits for the owner of the tenant's quota\n");
	json_array_foreach(json_object_get(root, "probes"), i, probe)
	    printf("first:    probes %s\n", json_string_value(probe));
	if (strcmp(verdict, "send") == 0)
		printf("goes to:  %s, why=%s expected_us=%lld\n",
		    get_text(root, "target"), get_text(root, "reason"),
		    get_number(root, "expected_us"));
	else if (strcmp(verdict, "wait") == 0)
		printf("waits:    why=%s, %lld calls wait\n",
		    get_text(root, "reason"),
		    get_number(root, "waiting_calls"));
	else
		printf("refused:  status=%lld why=%s retry_after_us=%lld\n",
		    get_number(root, "status"), get_text(root, "reason"),
		    get_number(root, "retry_after_us"));
}

static void
print_target(json_t *row)
{
	printf("  %-20s %-12s %9lld %11lld %2lld/%lld/%lld %5lld %.2f %s%s%s",
	    get_text(row, "id"), get_text(row, "data_centre"),
	    get_number(row, "expected_us"), get_number(row, "load_age_us"),
	    get_number(row, "running"), get_number(row, "waiting"),
	    get_number(row, "slots"), get_number(row, "slow_pct"),
	    json_real_value(json_object_get(row, "failing")),
	    is_set(row, "cold") ? "cold " : "",
	    is_set(row, "limited") ? "limited " : "",
	    json_is_null(json_object_get(row, "obstacle")) ? "candidate"
							   : "not now: ");
	if (!json_is_null(json_object_get(row, "obstacle")))
		printf("%s wait_us=%lld", get_text(row, "obstacle"),
		    get_number(row, "wait_us"));
	printf("\n");
}

static void
print_answer(json_t *root)
{
	json_t *row;
	size_t i;

	printf("vm:       %s, configuration %lld\n", get_text(root, "vm"),
	    get_number(root, "config_version"));
	printf("route:    %s (%s), pool %s\n", get_text(root, "route"),
	    get_text(root, "kind"), get_text(root, "pool"));
	printf("tenant:   %s, priority %lld\n", get_text(root, "tenant"),
	    get_number(root, "priority"));
	print_verdict(root);
	printf("data centres:\n");
	json_array_foreach(json_object_get(root, "data_centres"), i, row)
	    printf("  %-20s %-12s %s%s\n", get_text(row, "name"),
		get_text(row, "region"),
		is_set(row, "allowed") ? "allowed" : "not allowed",
		is_set(row, "evacuated") ? ", evacuated" : "");
	printf("targets:\n  %-20s %-12s %9s %11s %s\n", "ID", "DATA CENTRE",
	    "EXPECT_US", "LOAD_AGE_US", "LOAD SLOW_PCT FAILING");
	json_array_foreach(json_object_get(root, "targets"), i, row)
	    print_target(row);
}

static int
print_response(const struct options *o, const struct se_response *response)
{
	json_t *root;
	char *text;

	/* What was given may be a key, by mistake. */
	if (response->error == CS_E_INVALID) {
		fprintf(stderr, "chervilshelf: --vm: IPV4:PORT is needed\n");
		return ST_EXIT_USAGE;
	}
	if (response->error != CS_OK && response->error != CS_E_MISSING) {
		fprintf(stderr, "chervilshelf: no answer from %s\n", o->vm);
		return ST_EXIT_REFUSED;
	}
	root = json_loads(response->value, 0, NULL);
	if (root == NULL || json_object_get(root, "error") != NULL ||
	    json_object_get(root, "verdict") == NULL) {
		fprintf(stderr, "chervilshelf: %s: %s\n", o->vm,
		    root == NULL ? "this VM cannot tell where requests go"
				 : get_text(root, "error"));
		json_decref(root);
		return ST_EXIT_REFUSED;
	}
	if (o->json) {
		text = json_dumps(root, JSON_INDENT(2));
		puts(text);
		free(text);
	} else {
		print_answer(root);
	}
	json_decref(root);
	return ST_EXIT_DONE;
}

static int
ask(struct se_session *session, const struct options *o)
{
	char *host = g_uri_escape_string(o->host, NULL, FALSE);
	char *path = g_uri_escape_string(o->path, NULL, FALSE);
	char *tenant = g_uri_escape_string(
	    o->tenant == NULL ? "" : o->tenant, NULL, FALSE);
	char *query = g_strdup_printf("/where?host=%s&path=%s%s%s", host, path,
	    o->tenant == NULL ? "" : "&tenant=", tenant);
	struct se_response response;
	int code;

	se_get(session, o->vm, query, &response);
	code = print_response(o, &response);
	g_free(response.value);
	g_free(query);
	g_free(tenant);
	g_free(path);
	g_free(host);
	return code;
}

int
cm_where(int argc, char **argv)
{
	struct options o = {0};
	const struct st_setting settings[] = {
	    {.name = "vm",
		.kind = ST_TEXT,
		.text = &o.vm,
		.required = true,
		.argument = "IPV4:PORT",
		.help = "metrics address of the VM"},
	    {.name = "host",
		.kind = ST_TEXT,
		.text = &o.host,
		.required = true,
		.argument = "HOST",
		.help = "host of the request"},
	    {.name = "path",
		.kind = ST_TEXT,
		.text = &o.path,
		.required = true,
		.argument = "PATH",
		.help = "path of the request"},
	    {.name = "tenant",
		.kind = ST_TEXT,
		.text = &o.tenant,
		.argument = "NAME",
		.help = "name of the tenant, never a key"},
	    ST_JSON(o),
	};
	const struct st_command command = {"where", "",
	    "Tells where a request would go now, without sending it.", settings,
	    ST_COUNT(settings), 0};
	struct se_session *session;
	int code;

	if (st_parse(&command, argc, argv, NULL) != CS_OK)
		return ST_EXIT_USAGE;
	if (se_open(NULL, &session) != CS_OK)
		return ST_EXIT_USAGE;
	code = ask(session, &o);
	se_close(session);
	return code;
}
