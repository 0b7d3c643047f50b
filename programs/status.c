/* The operators' command that shows the entry VMs. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "../lib/base/base.h"
#include "commands.h"
#include "session.h"
#include "settings.h"

struct options {
	const char *platform;
	bool json;
};

static json_t *
node_status(struct se_session *session, const struct se_node *node)
{
	struct se_response response;
	json_t *root = NULL;

	se_get(session, node->admin, "/status", &response);
	if (response.error == CS_OK)
		root = json_loads(response.value, 0, NULL);
	g_free(response.value);
	if (root != NULL)
		return root;
	return json_pack(
	    "{s:s, s:s}", "name", node->name, "error", "no answer");
}

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

static void
print_table(json_t *rows)
{
	json_t *row;
	size_t i;

	printf("%-16s %-12s %-12s %8s %7s %7s %9s %8s %s\n", "NAME",
	    "DATA CENTRE", "REGION", "CONFIG", "WAITING", "RUNNING", "DONE",
	    "NOT-RUN", "");
	json_array_foreach(rows, i, row)
	{
		printf("%-16s %-12s %-12s %8lld %7lld %7lld %9lld %8lld %s\n",
		    get_text(row, "name"), get_text(row, "data_centre"),
		    get_text(row, "region"), get_number(row, "config_version"),
		    get_number(row, "waiting"), get_number(row, "running"),
		    get_number(row, "done"), get_number(row, "not_run"),
		    json_object_get(row, "error") != NULL ? "no answer" : "");
	}
}

static int
print_status(struct se_session *session, bool as_json)
{
	static struct se_node nodes[SE_NODES_MAX];
	json_t *rows = json_array();
	uint32_t i, count;
	char *text;

	if (se_list_nodes(session, nodes, &count) != CS_OK) {
		fprintf(stderr, "chervilshelf: the platform gave no answer\n");
		json_decref(rows);
		return ST_EXIT_REFUSED;
	}
	for (i = 0; i < count; i++)
		json_array_append_new(rows, node_status(session, &nodes[i]));
	if (as_json) {
		text = json_dumps(rows, JSON_INDENT(2));
		puts(text);
		free(text);
	} else {
		print_table(rows);
	}
	json_decref(rows);
	return ST_EXIT_DONE;
}

int
cm_status(int argc, char **argv)
{
	struct options o = {0};
	const struct st_setting settings[] = {
	    ST_PLATFORM(o),
	    ST_JSON(o),
	};
	const struct st_command command = {"status", "",
	    "Shows each entry VM, the version in force there and its calls.",
	    settings, 2, 0};
	struct se_session *session;
	int code;

	if (st_parse(&command, argc, argv, NULL) != CS_OK)
		return ST_EXIT_USAGE;
	if (se_open(o.platform, &session) != CS_OK)
		return ST_EXIT_USAGE;
	code = print_status(session, o.json);
	se_close(session);
	return code;
}
