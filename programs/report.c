/* The operators' command report. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/base/base.h"
#include "../lib/report/report.h"
#include "commands.h"
#include "objects.h"
#include "session.h"
#include "settings.h"

struct options {
	const char *platform;
	const char *vms; /* metrics addresses of gateways, comma separated */
	const char *html;
	const char *member;
	bool json;
};

/* Which processes the total holds already. */
struct seen {
	GHashTable *processes; /* "ENTRY-EPOCH" */
};

static char *
format_process_id(const json_t *root)
{
	const char *node = json_string_value(json_object_get(root, "entry"));

	return g_strdup_printf("%s-%lld", node != NULL ? node : "",
	    (long long)json_integer_value(json_object_get(root, "epoch")));
}

static void
add_process(struct seen *seen, json_t *accounts, const json_t *root)
{
	char *process = format_process_id(root);

	if (g_hash_table_contains(seen->processes, process)) {
		g_free(process);
		return;
	}
	g_hash_table_add(seen->processes, process);
	rp_merge(accounts, json_object_get(root, "accounts"));
}

/* Asks one VM; false after a message when it gave no answer. */
static bool
add_vm(struct se_session *session, const char *address, struct seen *seen,
    json_t *accounts)
{
	struct se_response response;
	json_t *root;

	se_get(session, address, "/report", &response);
	root = json_loads(response.value, 0, NULL);
	g_free(response.value);
	if (root == NULL) {
		fprintf(stderr, "chervilshelf: no answer from %s\n", address);
		return false;
	}
	add_process(seen, accounts, root);
	json_decref(root);
	return true;
}

static uint32_t
add_gateways(struct se_session *session, const char *vms, struct seen *seen,
    json_t *accounts)
{
	gchar **addresses = g_strsplit(vms, ",", 0), **address;
	uint32_t answered = 0;

	for (address = addresses; *address != NULL; address++)
		answered += add_vm(session, *address, seen, accounts);
	g_strfreev(addresses);
	return answered;
}

static uint32_t
add_live_entries(
    struct se_session *session, struct seen *seen, json_t *accounts)
{
	static struct se_node nodes[SE_NODES_MAX];
	uint32_t i, count, answered = 0;

	if (se_list_nodes(session, nodes, &count) != CS_OK)
		return 0;
	for (i = 0; i < count; i++)
		answered += add_vm(session, nodes[i].admin, seen, accounts);
	return answered;
}

/* Stored accounts are old: their windows say nothing of now. */
static void
clear_windows(json_t *root)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(root, "accounts"), i, row)
	{
		json_object_set_new(
		    row, "short", json_pack("{s:i, s:i}", "good", 0, "bad", 0));
		json_object_set_new(
		    row, "long", json_pack("{s:i, s:i}", "good", 0, "bad", 0));
	}
}

static void
add_stored_accounts(
    struct se_session *session, struct seen *seen, json_t *accounts)
{
	json_t *root = se_list(session, OB_ACCOUNTS), *process;
	const char *key;

	json_object_foreach(root, key, process)
	{
		clear_windows(process);
		add_process(seen, accounts, process);
	}
	json_decref(root);
}

static void
filter_member(json_t *accounts, const char *member)
{
	size_t i = 0;

	while (i < json_array_size(accounts)) {
		const char *name = json_string_value(
		    json_object_get(json_array_get(accounts, i), "member"));

		if (strcmp(name, member) != 0)
			json_array_remove(accounts, i);
		else
			i++;
	}
}

static int
write_html(const char *path, const json_t *accounts)
{
	char *page = rp_html(accounts);
	GError *error = NULL;
	int code = ST_EXIT_DONE;

	if (!g_file_set_contents(path, page, -1, &error)) {
		fprintf(stderr, "chervilshelf: %s\n", error->message);
		g_error_free(error);
		code = ST_EXIT_REFUSED;
	}
	free(page);
	return code;
}

/* The accounts with their burn rates, as JSON. */
static void
print_json(json_t *accounts)
{
	json_t *row;
	char *out;
	size_t i;

	json_array_foreach(accounts, i, row)
	{
		json_object_set_new(row, "burn_short",
		    json_real(rp_burn_rate(row, RP_SHORT_MINUTES)));
		json_object_set_new(row, "burn_long",
		    json_real(rp_burn_rate(row, RP_LONG_MINUTES)));
	}
	out = json_dumps(accounts, JSON_INDENT(2));
	puts(out);
	free(out);
}

static int
print_report(const struct options *o, json_t *accounts)
{
	char *out;

	if (o->member != NULL)
		filter_member(accounts, o->member);
	if (o->html != NULL)
		return write_html(o->html, accounts);
	if (o->json) {
		print_json(accounts);
		return ST_EXIT_DONE;
	}
	out = rp_text(accounts);
	fputs(out, stdout);
	free(out);
	return ST_EXIT_DONE;
}

int
cm_report(int argc, char **argv)
{
	struct options o = {0};
	const struct st_setting settings[] = {
	    {.name = "platform",
		.kind = ST_TEXT,
		.text = &o.platform,
		.argument = "URL",
		.help = "the platform's address, http://IPV4:PORT: entry VMs"},
	    {.name = "vms",
		.kind = ST_TEXT,
		.text = &o.vms,
		.argument = "IP:PORT,...",
		.help = "metrics addresses of gateways"},
	    {.name = "member",
		.kind = ST_TEXT,
		.text = &o.member,
		.argument = "NAME",
		.help = "only this member's accounts"},
	    {.name = "html",
		.kind = ST_TEXT,
		.text = &o.html,
		.argument = "FILE",
		.help = "write a page with plots"},
	    ST_JSON(o),
	};
	const struct st_command command = {"report", "",
	    "Prints each member's service and how fast its objectives burn.",
	    settings, ST_COUNT(settings), 0};
	struct seen seen;
	struct se_session *session;
	json_t *accounts;
	uint32_t answered;
	int code;

	if (st_parse(&command, argc, argv, NULL) != CS_OK)
		return ST_EXIT_USAGE;
	if ((o.platform == NULL) == (o.vms == NULL)) {
		st_refuse("platform", o.platform == NULL ? "nothing" : "both",
		    "one of --platform and --vms");
		return ST_EXIT_USAGE;
	}
	if (se_open(o.platform, &session) != CS_OK)
		return ST_EXIT_USAGE;
	accounts = json_array();
	seen.processes = g_hash_table_new(g_str_hash, g_str_equal);
	if (o.vms != NULL) {
		answered = add_gateways(session, o.vms, &seen, accounts);
	} else {
		answered = add_live_entries(session, &seen, accounts);
		add_stored_accounts(session, &seen, accounts);
	}
	se_close(session);
	if (answered == 0)
		fprintf(stderr, "chervilshelf: no entry VM answered\n");
	code = print_report(&o, accounts);
	json_decref(accounts);
	return answered == 0 ? ST_EXIT_REFUSED : code;
}
