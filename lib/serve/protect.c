/*
 * Limits that protect the process from its clients, from the memory and the
 * descriptors of its VM, and what is told of connections that were closed for
 * them.
 */
#include "serve_internal.h"

/*
 * Buffers may take half of the memory. The other half is for the state of the
 * core (8.1 MB, and 6.3 MB for keys), the records of calls (2.4 MB), the
 * responses kept for retries, the code, and what the allocator adds.
 */
#define BUDGET_DIVISOR 2
/* All request bodies may take a quarter of the memory; one always fits. */
#define BODIES_DIVISOR 4
#define RESPONSE_CACHE_DIVISOR 16
/*
 * Unsent output of one response; it frees the slot of its target when all of it
 * has arrived here.
 */
#define UNSENT_DIVISOR 16
#define RESPONSE_CACHE_BYTES_MAX (24 * 1024 * 1024)
/*
 * Descriptors for everything but calls: the admin address, other entry VMs, the
 * store. Of the rest a call takes two, as its response is passed on while it
 * arrives.
 */
#define FILES_RESERVED 600
#define FILES_RESERVED_DIVISOR 4
#define FILES_OF_CALL 2
#define ADMIN_DIVISOR 16

static uint64_t
smaller(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t
larger(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void
sv_set_limits(struct sv_server *server)
{
	const struct sv_params *params = &server->params;
	uint64_t files = params->files_max;
	uint64_t reserved =
	    smaller(FILES_RESERVED, files / FILES_RESERVED_DIVISOR);

	if (params->memory != NULL)
		params->memory->bytes_max =
		    params->memory_bytes_max / BUDGET_DIVISOR;
	server->connections_max = (uint32_t)smaller(
	    SV_CONNECTIONS_MAX, (files - reserved) / FILES_OF_CALL);
	server->unsent_bytes_max =
	    (size_t)(params->memory_bytes_max / UNSENT_DIVISOR);
	server->response_cache_bytes_max = smaller(RESPONSE_CACHE_BYTES_MAX,
	    params->memory_bytes_max / RESPONSE_CACHE_DIVISOR);
}

uint32_t
sv_admin_connections_max(const struct sv_server *server)
{
	return (uint32_t)smaller(
	    SV_ADMIN_CONNECTIONS_MAX, server->params.files_max / ADMIN_DIVISOR);
}

uint64_t
sv_bodies_bytes_max(const struct sv_server *server)
{
	return smaller(SV_BODIES_BYTES_MAX,
	    larger(SV_BODY_BYTES_MAX,
		server->params.memory_bytes_max / BODIES_DIVISOR));
}

static uint64_t
count_closed(const struct sv_server *server, enum h1_closed reason)
{
	return h1_server_closed(server->caller_listener, reason) +
	       h1_server_closed(server->admin_listener, reason);
}

void
sv_log_closed(struct sv_server *server)
{
	const struct cs_memory *memory = server->params.memory;
	uint64_t closed[H1_CLOSED_REASONS], sum = 0;
	int i;

	for (i = 0; i < H1_CLOSED_REASONS; i++)
		sum += closed[i] = count_closed(server, (enum h1_closed)i);
	if (sum == server->logged_closed &&
	    memory->refused == server->logged_refused)
		return;
	cs_log(CS_LOG_CLIENTS_CLOSED,
	    "closed=%llu refused=%llu memory=%llu stalled=%llu full=%llu "
	    "address=%llu held_bytes=%llu limit_bytes=%llu connections=%u",
	    (unsigned long long)(sum - server->logged_closed),
	    (unsigned long long)(memory->refused - server->logged_refused),
	    (unsigned long long)closed[H1_CLOSED_MEMORY],
	    (unsigned long long)closed[H1_CLOSED_STALLED],
	    (unsigned long long)closed[H1_CLOSED_FULL],
	    (unsigned long long)closed[H1_CLOSED_ADDRESS],
	    (unsigned long long)memory->used_bytes,
	    (unsigned long long)memory->bytes_max,
	    h1_server_connections(server->caller_listener));
	server->logged_closed = sum;
	server->logged_refused = memory->refused;
}

void
sv_print_memory(const struct sv_server *server, GString *page)
{
	const struct cs_memory *memory = server->params.memory;
	int i;

	for (i = 0; i < CS_MEMORY_KINDS; i++)
		g_string_append_printf(page,
		    "chervilshelf_memory_held_bytes{kind=\"%s\"} %llu\n",
		    cs_memory_kind_text((enum cs_memory_kind)i),
		    (unsigned long long)memory->kind_bytes[i]);
	g_string_append_printf(page,
	    "chervilshelf_memory_limit_bytes %llu\n"
	    "chervilshelf_memory_refused_total %llu\n",
	    (unsigned long long)memory->bytes_max,
	    (unsigned long long)memory->refused);
	for (i = 0; i < H1_CLOSED_REASONS; i++)
		g_string_append_printf(page,
		    "chervilshelf_clients_closed_total{reason=\"%s\"} %llu\n",
		    h1_closed_text((enum h1_closed)i),
		    (unsigned long long)count_closed(
			server, (enum h1_closed)i));
}
