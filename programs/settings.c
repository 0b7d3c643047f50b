/* Settings on GLib's option parser, with variables as a second source. */
#include "settings.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/base/base.h"

#define SETTINGS_MAX 24
#define VARIABLE_PREFIX "CHERVILSHELF_"

/* Where GLib stores what was given; texts stay in memory for good. */
struct option_values {
	char *texts[SETTINGS_MAX];
	gboolean switches[SETTINGS_MAX];
};

int
st_refuse(const char *flag, const char *value, const char *allowed)
{
	fprintf(stderr, "chervilshelf: --%s: given \"%s\", allowed: %s\n", flag,
	    value, allowed);
	return CS_E_INVALID;
}

static const char *
read_variable(const char *name)
{
	char variable[64];
	size_t i, length;

	length = (size_t)snprintf(
	    variable, sizeof(variable), "%s%s", VARIABLE_PREFIX, name);
	for (i = strlen(VARIABLE_PREFIX); i < length; i++)
		variable[i] =
		    variable[i] == '-' ? '_' : g_ascii_toupper(variable[i]);
	return getenv(variable);
}

static int
store_number(const struct st_setting *setting, const char *value)
{
	char allowed[96], *end;
	long long number = strtoll(value, &end, 10);

	if (*value == '\0' || *end != '\0' || number < setting->min ||
	    number > setting->max) {
		snprintf(allowed, sizeof(allowed),
		    "a whole number from %lld to %lld", (long long)setting->min,
		    (long long)setting->max);
		return st_refuse(setting->name, value, allowed);
	}
	*setting->number = number;
	return CS_OK;
}

static int
store_switch(const struct st_setting *setting, const char *value)
{
	if (strcmp(value, "0") != 0 && strcmp(value, "1") != 0)
		return st_refuse(setting->name, value, "0 or 1");
	*setting->flag = strcmp(value, "1") == 0;
	return CS_OK;
}

static int
store_value(const struct st_setting *setting, const char *value)
{
	switch (setting->kind) {
	case ST_TEXT:
		*setting->text = value;
		return CS_OK;
	case ST_NUMBER:
		return store_number(setting, value);
	case ST_SWITCH:
		return store_switch(setting, value);
	}
	return CS_E_INVALID;
}

static int
store_values(
    const struct st_command *command, const struct option_values *values)
{
	uint32_t i;

	for (i = 0; i < command->setting_count; i++) {
		const struct st_setting *setting = &command->settings[i];
		const char *value = values->texts[i];

		if (setting->kind == ST_SWITCH && values->switches[i])
			value = "1";
		if (value == NULL)
			value = read_variable(setting->name);
		if (value != NULL && store_value(setting, value) != CS_OK)
			return CS_E_INVALID;
		if (value == NULL && setting->required)
			return st_refuse(setting->name, "", setting->help);
	}
	return CS_OK;
}

static void
build_option_entries(const struct st_command *command,
    struct option_values *values, GOptionEntry entries[SETTINGS_MAX + 1])
{
	uint32_t i;

	for (i = 0; i < command->setting_count; i++) {
		const struct st_setting *setting = &command->settings[i];
		bool is_switch = setting->kind == ST_SWITCH;

		entries[i] = (GOptionEntry){
		    .long_name = setting->name,
		    .arg = is_switch ? G_OPTION_ARG_NONE : G_OPTION_ARG_STRING,
		    .arg_data = is_switch ? (void *)&values->switches[i]
					  : (void *)&values->texts[i],
		    .description = setting->help,
		    .arg_description = setting->argument,
		};
	}
	entries[command->setting_count] = (GOptionEntry){0};
}

static int
read_positionals(const struct st_command *command, int argc, char **argv,
    const char **positionals)
{
	int i;

	if ((uint32_t)argc - 1 != command->positional_count) {
		fprintf(stderr, "chervilshelf: usage: chervilshelf %s %s\n",
		    command->name, command->positional);
		return CS_E_INVALID;
	}
	for (i = 1; i < argc; i++)
		positionals[i - 1] = argv[i];
	return CS_OK;
}

/* GLib repeats an unknown option as it was given, with its value. */
static void
print_parse_error(const char *message)
{
	size_t length = strlen(message);

	if (g_str_has_prefix(message, "Unknown option"))
		length = strcspn(message, "=");
	fprintf(stderr, "chervilshelf: %.*s\n", (int)length, message);
}

int
st_parse(const struct st_command *command, int argc, char **argv,
    const char **positionals)
{
	GOptionEntry entries[SETTINGS_MAX + 1];
	struct option_values *values = g_new0(struct option_values, 1);
	GOptionContext *context;
	GError *error = NULL;

	build_option_entries(command, values, entries);
	context = g_option_context_new(command->positional);
	g_option_context_set_summary(context, command->summary);
	g_option_context_add_main_entries(context, entries, NULL);
	g_set_prgname(command->name);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		print_parse_error(error->message);
		g_error_free(error);
		g_option_context_free(context);
		return CS_E_INVALID;
	}
	g_option_context_free(context);
	if (read_positionals(command, argc, argv, positionals) != CS_OK)
		return CS_E_INVALID;
	return store_values(command, values);
}
