/*
 * What protects the process from its clients: the budget of bytes for all
 * buffers, and what is told of connections that were closed for it.
 */
#include "gateway.h"

/*
 * Buffers may take half of the memory, objects of the store a quarter: the
 * cache, the table of routes, the next one while it is read, and what calls
 * keep of earlier ones. What objects take beyond that, buffers lose. The last
 * quarter is for the code and its data (4.4 MB resident), the lines of the log
 * (256 KB, static), the state of targets, tenants and connections to targets,
 * and what the allocator adds.
 */
#define BUDGET_DIVISOR 2
#define OBJECTS_DIVISOR 4
/* File descriptors for everything except connections of callers. */
#define FILES_RESERVED 600

uint32_t
ga_connections_max(const struct pl_settings *settings)
{
	return settings->files_max > 2 * FILES_RESERVED
		   ? settings->files_max - FILES_RESERVED
		   : settings->files_max / 2;
}

void
ga_limit_memory(struct ga_app *app)
{
	uint64_t bytes = (uint64_t)app->settings.memory_mb * 1024 * 1024;

	cs_memory_return_large_blocks();
	app->memory.bytes_max = bytes / BUDGET_DIVISOR;
	app->memory.objects_bytes_reserved = bytes / OBJECTS_DIVISOR;
}

static uint64_t
count_closed(const struct ga_app *app, enum h1_closed reason)
{
	uint64_t count = h1_server_closed(gw_server(app->gw), reason) +
			 h1_server_closed(app->directory, reason) +
			 h1_server_closed(app->readiness, reason);

	return app->metrics == NULL
		   ? count
		   : count + h1_server_closed(app->metrics, reason);
}

void
ga_log_closed(struct ga_app *app)
{
	uint64_t closed[H1_CLOSED_REASONS], sum = 0;
	int i;

	for (i = 0; i < H1_CLOSED_REASONS; i++)
		sum += closed[i] = count_closed(app, (enum h1_closed)i);
	if (sum == app->logged_closed &&
	    app->memory.refused == app->logged_refused)
		return;
	cs_log(CS_LOG_CLIENTS_CLOSED,
	    "closed=%llu refused=%llu memory=%llu stalled=%llu full=%llu "
	    "address=%llu held_bytes=%llu limit_bytes=%llu connections=%u",
	    (unsigned long long)(sum - app->logged_closed),
	    (unsigned long long)(app->memory.refused - app->logged_refused),
	    (unsigned long long)closed[H1_CLOSED_MEMORY],
	    (unsigned long long)closed[H1_CLOSED_STALLED],
	    (unsigned long long)closed[H1_CLOSED_FULL],
	    (unsigned long long)closed[H1_CLOSED_ADDRESS],
	    (unsigned long long)app->memory.used_bytes,
	    (unsigned long long)cs_memory_limit_bytes(&app->memory),
	    gw_caller_connections(app->gw));
	app->logged_closed = sum;
	app->logged_refused = app->memory.refused;
}

void
ga_print_memory(struct h1_bytes *out, const struct ga_app *app)
{
	const struct cs_memory *memory = &app->memory;
	int i;

	for (i = 0; i < CS_MEMORY_KINDS; i++)
		h1_bytes_print(out,
		    "chervilshelf_memory_held_bytes{kind=\"%s\"} %llu\n",
		    cs_memory_kind_text((enum cs_memory_kind)i),
		    (unsigned long long)memory->kind_bytes[i]);
	h1_bytes_print(out,
	    "chervilshelf_memory_objects_bytes %llu\n"
	    "chervilshelf_memory_limit_bytes %llu\n"
	    "chervilshelf_memory_refused_total %llu\n",
	    (unsigned long long)memory->objects_bytes,
	    (unsigned long long)cs_memory_limit_bytes(memory),
	    (unsigned long long)memory->refused);
	for (i = 0; i < H1_CLOSED_REASONS; i++)
		h1_bytes_print(out,
		    "chervilshelf_clients_closed_total{reason=\"%s\"} %llu\n",
		    h1_closed_text((enum h1_closed)i),
		    (unsigned long long)count_closed(app, (enum h1_closed)i));
}
