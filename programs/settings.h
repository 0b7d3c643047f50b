/*
 * settings: flags and environment variables of the sub-commands. Each flag
 * --some-name has the variable CHERVILSHELF_SOME_NAME; the flag wins.
 */
#ifndef ST_SETTINGS_H
#define ST_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

enum st_exit {
	ST_EXIT_DONE = 0,
	ST_EXIT_REFUSED = 1,
	ST_EXIT_USAGE = 2,
	ST_EXIT_CONFLICT = 3,
	ST_EXIT_UNKNOWN = 4,
};

enum st_kind {
	ST_TEXT,
	ST_NUMBER,
	ST_SWITCH,
};

/*
 * One setting. Texts are stored in *text, numbers in *number, switches in
 * *flag; each keeps what it held when neither flag nor variable is given.
 */
struct st_setting {
	const char *name; /* without the leading dashes */
	enum st_kind kind;
	const char **text;
	int64_t *number;
	bool *flag;
	int64_t min; /* of a number */
	int64_t max;
	bool required;
	const char *argument; /* what help calls the value */
	const char *help;
};

struct st_command {
	const char *name;
	const char *positional; /* "" when it takes none */
	const char *summary;
	const struct st_setting *settings;
	uint32_t setting_count;
	uint32_t positional_count;
};

/* Settings that most commands share; the options have these members. */
#define ST_PLATFORM(o)                                                      \
	{                                                                   \
		.name = "platform", .kind = ST_TEXT, .text = &(o).platform, \
		.required = true, .argument = "URL",                        \
		.help = "the platform's address, http://IPV4:PORT"          \
	}
#define ST_JSON(o)                                                    \
	{                                                             \
		.name = "json", .kind = ST_SWITCH, .flag = &(o).json, \
		.help = "print JSON"                                  \
	}
#define ST_COUNT(array) (sizeof(array) / sizeof((array)[0]))

/*
 * st_parse(command, argc, argv, positionals): reads the settings. Returns
 * CS_OK, or CS_E_INVALID after a message on standard error that names the
 * flag, what was given and what is allowed. --help prints and exits 0.
 */
int st_parse(const struct st_command *command, int argc, char **argv,
    const char **positionals);
/*
 * st_refuse(flag, value, allowed): prints the message for a bad value.
 * Returns CS_E_INVALID.
 */
int st_refuse(const char *flag, const char *value, const char *allowed);

#endif
