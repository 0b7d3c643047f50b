/* chervilshelf: dispatches the sub-commands. */
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "settings.h"

#ifndef CHERVILSHELF_VERSION
#define CHERVILSHELF_VERSION "unknown"
#endif

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
};

static const struct command commands[] = {
    {"entry", cm_entry, "run an entry VM"},
    {"gateway", cm_gateway, "run an entry VM on the platform"},
    {"check", cm_check, "check a configuration file"},
    {"apply", cm_apply, "activate a configuration"},
    {"get", cm_get, "print the stored configuration"},
    {"status", cm_status, "show the state of the entry VMs"},
    {"drain", cm_drain, "stop new requests to a target"},
    {"report", cm_report, "show each member's service levels"},
    {"explain", cm_explain, "show what happened to one request"},
    {"where", cm_where, "show where a request would go now"},
};

static void
print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "usage: chervilshelf COMMAND [--help]\n\n");
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		fprintf(
		    out, "  %-8s %s\n", commands[i].name, commands[i].summary);
}

int
main(int argc, char **argv)
{
	size_t i;

	if (argc < 2) {
		print_usage(stderr);
		return ST_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("chervilshelf %s\n", CHERVILSHELF_VERSION);
		return ST_EXIT_DONE;
	}
	if (strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return ST_EXIT_DONE;
	}
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	fprintf(stderr, "chervilshelf: unknown command \"%s\"\n", argv[1]);
	print_usage(stderr);
	return ST_EXIT_USAGE;
}
