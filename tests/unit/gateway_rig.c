#include <arpa/inet.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway_rig.h"

#define TEXT_BYTES_MAX (1024 * 1024)
#define LOOP_ITERATIONS_MAX \
	200000		     /* of the loop, before a test counts as stuck */
#define SETTLE_ITERATIONS 40 /* each ends on an event or the wake-up timer */
#define SLOTS_DEFAULT 4
#define REPORT_ITERATIONS_MAX 1000 /* each lasts up to 5 ms */
#define FILLERS 4 /* more than a socket with an empty backlog accepts */

/* Holds in every build, unlike assert(). */
static void
require(bool holds)
{
	if (!holds)
		abort();
}

struct connection {
	uv_tcp_t tcp;
	struct rig *rig;
	struct h1_bytes in;
	uint32_t target; /* number of its target */
	uint32_t script; /* of the request being read */
	bool answered;
	bool open;
	struct connection *next;
};

struct listener {
	uv_tcp_t tcp; /* must be first: handles are cast to listeners */
	struct rig *rig;
	uint32_t number; /* of the target */
};

struct rig {
	uv_loop_t loop;
	struct rig_params params;
	struct cs_memory memory;
	struct bl_topology topology;
	struct gw *gw;
	struct listener *listeners[RIG_TARGETS_MAX];
	struct sockaddr_in addresses[RIG_TARGETS_MAX];
	uint64_t process_starts[RIG_TARGETS_MAX];
	uint32_t crashes, crashing_requests, reports;
	int mute[RIG_TARGETS_MAX]; /* a socket that answers nobody; 0: none */
	int fillers[RIG_TARGETS_MAX][FILLERS];
	uint64_t reported_fingerprint, excused_fingerprint;
	bool held_caller_open;
	struct connection *target_connections;
	uv_tcp_t caller, held_caller;
	uint32_t caller_number;
	uv_connect_t connecting;
	uv_timer_t wakeup_timer;
	struct h1_bytes sent;
	struct h1_bytes got;
	struct h1_bytes last;
	struct bl_quota_ask quota_ask; /* the last one */
	uint32_t quota_asks;
	bool caller_done;
	uint32_t responses_wanted;
	bool caller_open;
	uint32_t requests, connections, closes;
	struct sockaddr_in listen_address;
};

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	static char bytes[64 * 1024];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
write_text(uv_stream_t *stream, const char *data, size_t length)
{
	size_t done = 0;

	while (done < length) {
		uv_buf_t buffer = uv_buf_init(
		    (char *)(uintptr_t)data + done, (unsigned)(length - done));
		int written = uv_try_write(stream, &buffer, 1);

		if (written == UV_EAGAIN) {
			uv_run(stream->loop, UV_RUN_NOWAIT);
			continue;
		}
		if (written < 0)
			return;
		done += (size_t)written;
	}
}

/* The value of a header in raw bytes; empty when it is not there. */
static void
copy_header_value(const char *text, const char *name, char *out, size_t size)
{
	const char *at = strcasestr(text, name);
	size_t length = 0;

	out[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(name) + 2;
	while (length + 1 < size && at[length] != '\r' && at[length] != '\0')
		length++;
	memcpy(out, at, length);
	out[length] = '\0';
}

static void
send_script(struct connection *connection, const char *bytes, const char *id)
{
	struct h1_bytes out = {.data = NULL};
	const char *at = bytes, *marker;

	while ((marker = strstr(at, "%I")) != NULL) {
		h1_bytes_add(&out, at, (size_t)(marker - at));
		h1_bytes_add(&out, id, strlen(id));
		at = marker + 2;
	}
	h1_bytes_add(&out, at, strlen(at));
	write_text((uv_stream_t *)&connection->tcp, out.data, out.length);
	h1_bytes_free(&out);
}

static void
on_connection_closed(uv_handle_t *handle)
{
	((struct connection *)handle)->open = false;
}

static void
close_connection(struct connection *connection)
{
	if (!uv_is_closing((uv_handle_t *)&connection->tcp))
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
}

static void
reset_connection(struct connection *connection)
{
	struct linger linger = {.l_onoff = 1};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close_connection(connection);
}

static void listen_target(struct rig *rig, uint32_t number);

static bool
is_crashing(const struct connection *connection)
{
	const char *line_end = strstr(connection->in.data, "\r\n");
	const char *at = strstr(connection->in.data, "crash");

	return at != NULL && line_end != NULL && at < line_end;
}

/* Takes the address with a socket whose queue is full: it drops all others. */
static void
mute_target(struct rig *rig, uint32_t number)
{
	const struct sockaddr *address =
	    (const struct sockaddr *)&rig->addresses[number];
	int one = 1, i;

	rig->mute[number] = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(
	    rig->mute[number], SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	require(
	    bind(rig->mute[number], address, sizeof(struct sockaddr_in)) == 0 &&
	    listen(rig->mute[number], 0) == 0);
	for (i = 0; i < FILLERS; i++) {
		rig->fillers[number][i] =
		    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(rig->fillers[number][i], address,
		    sizeof(struct sockaddr_in));
	}
}

static void
unmute_target(struct rig *rig, uint32_t number)
{
	int i;

	if (rig->mute[number] == 0)
		return;
	for (i = 0; i < FILLERS; i++)
		close(rig->fillers[number][i]);
	close(rig->mute[number]);
	rig->mute[number] = 0;
}

static void
crash_target(struct rig *rig, struct connection *crashing)
{
	uint32_t number = crashing->target;
	struct connection *connection;

	rig->crashes++;
	uv_close((uv_handle_t *)&rig->listeners[number]->tcp, NULL);
	rig->listeners[number] = NULL;
	if (rig->params.silent_after_crash)
		mute_target(rig, number);
	if (rig->params.hangs_at_crash)
		return;
	reset_connection(crashing);
	for (connection = rig->target_connections; connection != NULL;
	     connection = connection->next) {
		if (connection->target == number)
			reset_connection(connection);
	}
	if (rig->params.restart_at_once)
		listen_target(rig, number);
}

static const struct rig_script *
script_at(const struct rig *rig, uint32_t number)
{
	uint32_t last = rig->params.script_count - 1;

	return &rig->params.scripts[number < last ? number : last];
}

static void
run_script(struct connection *connection, const struct rig_script *script)
{
	char id[512];

	copy_header_value(
	    connection->in.data, "chervilshelf-attempt-id", id, sizeof(id));
	connection->answered = true;
	if (script->bytes != NULL)
		send_script(connection, script->bytes, id);
	switch (script->end) {
	case RIG_KEEP:
	case RIG_SILENT:
		break;
	case RIG_CLOSE:
		close_connection(connection);
		break;
	case RIG_RESET:
		reset_connection(connection);
		break;
	}
}

static bool
is_probe(const struct connection *connection)
{
	return strncmp(connection->in.data, "GET /health ", 12) == 0;
}

static void
handle_request_bytes(struct connection *connection)
{
	struct rig *rig = connection->rig;
	char *head_end = connection->in.data == NULL
			     ? NULL
			     : strstr(connection->in.data, "\r\n\r\n");
	char length[32];
	size_t request_length;

	if (head_end == NULL)
		return;
	copy_header_value(
	    connection->in.data, "content-length", length, sizeof(length));
	request_length = (size_t)(head_end + 4 - connection->in.data) +
			 (size_t)strtoul(length, NULL, 10);
	if (!connection->answered && !is_probe(connection)) {
		connection->script = rig->requests++;
		rig->last.length = 0;
	}
	if (is_probe(connection)) {
		write_text((uv_stream_t *)&connection->tcp,
		    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 38);
		connection->in.length = 0;
		return;
	}
	connection->answered = true;
	if (connection->in.length < request_length &&
	    !script_at(rig, connection->script)->at_head)
		return;
	h1_bytes_add(&rig->last, connection->in.data, connection->in.length);
	h1_bytes_add(&rig->last, "", 1);
	if (is_crashing(connection) &&
	    rig->crashing_requests++ >= rig->params.harmless_crashes) {
		crash_target(rig, connection);
		return;
	}
	run_script(connection, script_at(rig, connection->script));
	connection->in.length = 0;
	connection->answered = false;
}

static void
on_target_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct connection *connection = (struct connection *)stream;

	if (length < 0) {
		connection->rig->closes++;
		close_connection(connection);
		return;
	}
	h1_bytes_add(&connection->in, buffer->base, (size_t)length);
	h1_bytes_add(&connection->in, "", 1);
	connection->in.length--;
	handle_request_bytes(connection);
}

static void
on_accept(uv_stream_t *listener, int status)
{
	const struct listener *target = (const struct listener *)listener;
	struct rig *rig = target->rig;
	struct connection *connection = calloc(1, sizeof(*connection));

	require(status == 0 && connection != NULL);
	connection->rig = rig;
	connection->target = target->number;
	connection->open = true;
	connection->next = rig->target_connections;
	rig->target_connections = connection;
	rig->connections++;
	uv_tcp_init(&rig->loop, &connection->tcp);
	uv_accept(listener, (uv_stream_t *)&connection->tcp);
	uv_read_start(
	    (uv_stream_t *)&connection->tcp, on_alloc, on_target_read);
}

/* Counts the complete responses that the caller has received. */
static uint32_t
count_responses(const struct rig *rig)
{
	const char *at = rig->got.data == NULL ? "" : rig->got.data;
	uint32_t count = 0;
	char length[32];

	for (;;) {
		const char *end = strstr(at, "\r\n\r\n");

		if (end == NULL || strncmp(at, "HTTP/1.1 100", 12) == 0)
			return count;
		copy_header_value(at, "Content-Length", length, sizeof(length));
		if (length[0] == '\0' ||
		    strlen(end + 4) < strtoul(length, NULL, 10))
			return count;
		count++;
		at = end + 4 + strtoul(length, NULL, 10);
	}
}

static void
on_caller_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct rig *rig = stream->data;

	if (length < 0) {
		rig->caller_done = true;
		return;
	}
	h1_bytes_add(&rig->got, buffer->base, (size_t)length);
	h1_bytes_add(&rig->got, "", 1);
	rig->got.length--;
	if (count_responses(rig) >= rig->responses_wanted)
		rig->caller_done = true;
}

static void
on_caller_connected(uv_connect_t *request, int status)
{
	struct rig *rig = request->data;

	require(status == 0);
	uv_read_start((uv_stream_t *)&rig->caller, on_alloc, on_caller_read);
	write_text(
	    (uv_stream_t *)&rig->caller, rig->sent.data, rig->sent.length);
}

static void
on_caller_closed(uv_handle_t *handle)
{
	((struct rig *)handle->data)->caller_open = false;
}

static void
on_wakeup(uv_timer_t *timer)
{
	(void)timer; /* wakes the loop, so that turns go on */
}

static void set_route_table(struct rig *rig);

static void
run_once(struct rig *rig, uint32_t *iterations)
{
	require(++*iterations < LOOP_ITERATIONS_MAX);
	uv_run(&rig->loop, UV_RUN_ONCE);
	if (rig->params.late_table && gw_table(rig->gw) == NULL &&
	    gw_get_counters(rig->gw)->calls > 0) {
		set_route_table(rig);
		gw_set_loaded(rig->gw);
	}
}

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in address;

	uv_ip4_addr("127.0.0.1", port, &address);
	return address;
}

static void
bind_caller(struct rig *rig)
{
	struct sockaddr_in address = loopback(0);

	if (rig->caller_number == 0)
		return;
	address.sin_addr.s_addr = htonl(0x7f000000 | rig->caller_number);
	require(uv_tcp_bind(
		    &rig->caller, (const struct sockaddr *)&address, 0) == 0);
}

void
rig_set_caller(struct rig *rig, uint32_t number)
{
	rig->caller_number = number;
}

static void
connect_caller(struct rig *rig, const char *bytes, size_t length)
{
	rig->got.length = 0;
	rig->sent.length = 0;
	h1_bytes_add(&rig->sent, bytes, length);
	rig->caller_done = false;
	rig->caller_open = true;
	uv_tcp_init(&rig->loop, &rig->caller);
	bind_caller(rig);
	rig->caller.data = rig->connecting.data = rig;
	uv_tcp_connect(&rig->connecting, &rig->caller,
	    (const struct sockaddr *)&rig->listen_address, on_caller_connected);
}

static void
close_caller(struct rig *rig)
{
	uint32_t iterations = 0;

	uv_close((uv_handle_t *)&rig->caller, on_caller_closed);
	while (rig->caller_open)
		run_once(rig, &iterations);
}

static void
send_late_bytes(struct rig *rig)
{
	struct connection *connection;

	for (connection = rig->target_connections; connection != NULL;
	     connection = connection->next) {
		const char *later = script_at(rig, connection->script)->later;

		if (connection->open && later != NULL && rig->requests > 0)
			send_script(connection, later, "first");
	}
}

void
rig_send_late(struct rig *rig)
{
	send_late_bytes(rig);
}

void
rig_begin(struct rig *rig, const char *bytes, size_t length)
{
	rig->responses_wanted = 1;
	connect_caller(rig, bytes, length);
}

const char *
rig_finish(struct rig *rig)
{
	uint32_t iterations = 0;

	while (!rig->caller_done)
		run_once(rig, &iterations);
	close_caller(rig);
	return rig->got.data == NULL || rig->got.length == 0 ? ""
							     : rig->got.data;
}

void
rig_abandon(struct rig *rig)
{
	close_caller(rig);
}

void
rig_await_quota_asks(struct rig *rig, uint32_t asks)
{
	uint32_t iterations = 0;

	while (rig->quota_asks < asks)
		run_once(rig, &iterations);
}

void
rig_answer_quota(struct rig *rig)
{
	struct bl_quota_grant grant;

	if (gw_answer_quota_ask(rig->gw, &rig->quota_ask, &grant) == CS_OK)
		gw_add_quota_grant(rig->gw, &grant);
}

static void
count_waiting(void *arg, const struct bl_pool *pool, uint32_t waiting)
{
	(void)pool;
	*(uint32_t *)arg += waiting;
}

void
rig_await_waiting(struct rig *rig, uint32_t calls)
{
	uint32_t iterations = 0, waiting = 0;

	while (waiting < calls) {
		run_once(rig, &iterations);
		waiting = 0;
		gw_for_each_pool(rig->gw, count_waiting, &waiting);
	}
}

void
rig_await_requests(struct rig *rig, uint32_t requests)
{
	uint32_t iterations = 0;

	while (rig->requests < requests)
		run_once(rig, &iterations);
}

void
rig_settle(struct rig *rig)
{
	uint32_t iterations = 0;

	while (iterations < SETTLE_ITERATIONS)
		run_once(rig, &iterations);
}

uint32_t
rig_crashes(const struct rig *rig)
{
	return rig->crashes;
}

uint32_t
rig_reports(const struct rig *rig)
{
	return rig->reports;
}

uint64_t
rig_reported_fingerprint(const struct rig *rig)
{
	return rig->reported_fingerprint;
}

uint64_t
rig_excused_fingerprint(const struct rig *rig)
{
	return rig->excused_fingerprint;
}

const char *
rig_ask(struct rig *rig, const char *bytes, size_t length)
{
	return rig_ask_all(rig, bytes, length, 1);
}

const char *
rig_ask_all(
    struct rig *rig, const char *bytes, size_t length, uint32_t responses)
{
	uint32_t iterations = 0;

	rig->responses_wanted = responses;
	connect_caller(rig, bytes, length);
	while (!rig->caller_done)
		run_once(rig, &iterations);
	close_caller(rig);
	send_late_bytes(rig);
	return rig->got.data == NULL || rig->got.length == 0 ? ""
							     : rig->got.data;
}

void
rig_leave(struct rig *rig, const char *bytes, size_t length)
{
	uint32_t iterations = 0, before = rig->requests;

	connect_caller(rig, bytes, length);
	while (rig->requests == before)
		run_once(rig, &iterations);
	close_caller(rig);
}

static void
on_held_connected(uv_connect_t *request, int status)
{
	struct rig *rig = request->data;

	require(status == 0);
	write_text(
	    (uv_stream_t *)&rig->held_caller, rig->sent.data, rig->sent.length);
}

static void
on_held_closed(uv_handle_t *handle)
{
	((struct rig *)handle->data)->held_caller_open = false;
}

void
rig_hold(struct rig *rig, const char *bytes, size_t length)
{
	uint32_t iterations = 0, before = rig->requests;

	if (rig->held_caller_open)
		uv_close((uv_handle_t *)&rig->held_caller, on_held_closed);
	while (rig->held_caller_open)
		run_once(rig, &iterations);
	rig->held_caller.data = rig;
	rig->held_caller_open = true;
	rig->sent.length = 0;
	h1_bytes_add(&rig->sent, bytes, length);
	uv_tcp_init(&rig->loop, &rig->held_caller);
	rig->connecting.data = rig;
	uv_tcp_connect(&rig->connecting, &rig->held_caller,
	    (const struct sockaddr *)&rig->listen_address, on_held_connected);
	while (rig->requests == before)
		run_once(rig, &iterations);
}

void
rig_await_closes(struct rig *rig, uint32_t closes)
{
	uint32_t iterations = 0;

	while (rig->closes < closes)
		run_once(rig, &iterations);
}

static void
set_regions(struct rig *rig)
{
	uint32_t i;

	rig->topology.count = RIG_TARGETS_MAX;
	for (i = 0; i < RIG_TARGETS_MAX; i++)
		snprintf(rig->topology.data_centres[i].region,
		    sizeof(rig->topology.data_centres[i].region), "r%u", i);
}

struct bl_topology *
rig_topology(struct rig *rig)
{
	return &rig->topology;
}

static struct sockaddr_in
bound_address(const uv_tcp_t *tcp)
{
	struct sockaddr_in address;
	int length = sizeof(address);

	uv_tcp_getsockname(tcp, (struct sockaddr *)&address, &length);
	return address;
}

static void
set_route_table(struct rig *rig)
{
	static const struct {
		const char *prefix;
		enum rt_kind kind;
	} routes[] = {{"/safe/", RT_IDEMPOTENT}, {"/once/", RT_NON_IDEMPOTENT}};
	struct rt_pool pool = {
	    .name = "p", .connections_max = rig->params.connections_max};
	struct rt_table *table = rt_table_create(1);
	size_t i;

	table->limits = (struct rt_limits){
	    .head_bytes = 4096,
	    .body_bytes = 512 * 1024,
	    .head_timeout_ms = 60000,
	    .idle_timeout_ms = 60000,
	};
	if (!rig->params.no_health_path)
		strcpy(pool.health_path, "/health");
	rt_table_add_pool(table, &pool);
	for (i = 0; i < 2; i++) {
		struct rt_route route = {
		    .host = "h",
		    .prefix = routes[i].prefix,
		    .kind = routes[i].kind,
		    .timeout_ms = rig->params.timeout_ms,
		    .objective_ms = rig->params.timeout_ms,
		    .attempts_max = rig->params.attempts_max,
		    .backend_count = 1,
		    .backends = {{.pool_name = "p", .weight = 1}},
		};

		require(rt_table_add_route(table, &route) == CS_OK);
	}
	if (rig->params.add_to_table != NULL)
		rig->params.add_to_table(table);
	require(rt_table_finalise(table) == CS_OK);
	gw_set_table(rig->gw, table);
	rt_table_unref(table);
}

const char *
rig_target_id(uint32_t number)
{
	static const char *const ids[] = {"t-0", "t-1", "t-2"};

	return ids[number];
}

static void
listen_target(struct rig *rig, uint32_t number)
{
	struct listener *listener;

	if (rig->listeners[number] != NULL)
		return;
	listener = calloc(1, sizeof(*listener));
	require(listener != NULL);
	*listener = (struct listener){.rig = rig, .number = number};
	rig->listeners[number] = listener;
	uv_tcp_init(&rig->loop, &listener->tcp);
	require(uv_tcp_bind(&listener->tcp,
		    (const struct sockaddr *)&rig->addresses[number], 0) == 0);
	rig->addresses[number] = bound_address(&listener->tcp);
	if (!rig->params.dead_target || number != 0)
		require(uv_listen(
			    (uv_stream_t *)&listener->tcp, 64, on_accept) == 0);
}

static void
register_target(struct rig *rig, uint32_t number)
{
	gw_update_target(
	    rig->gw, &(struct gw_target_info){
			 .id = rig_target_id(number),
			 .pool = "p",
			 .address = rig->addresses[number],
			 .slots = rig->params.slots == 0 ? SLOTS_DEFAULT
							 : rig->params.slots,
			 .data_centre = rig->params.many_regions ? number : 0,
			 .process_start_ms = ++rig->process_starts[number],
		     });
}

/*
 * Each target of each process has a loopback address of its own. On a shared
 * one, the port of a target that is down could be taken by any connection of
 * another process, and the target could not listen there again.
 */
static struct sockaddr_in
target_address(uint32_t number)
{
	uint32_t pid = (uint32_t)getpid();
	struct sockaddr_in address = loopback(0);

	address.sin_addr.s_addr =
	    htonl(127u << 24 | (64 + (pid >> 14) % 64) << 16 |
		  (pid >> 6) % 256 << 8 | (pid % 64) << 2 | (number + 1));
	return address;
}

static void
add_target(struct rig *rig, uint32_t number)
{
	rig->addresses[number] = target_address(number);
	listen_target(rig, number);
	register_target(rig, number);
}

void
rig_restart_target(struct rig *rig, uint32_t number)
{
	unmute_target(rig, number);
	if (!rig->params.restart_at_once)
		listen_target(rig, number);
	register_target(rig, number);
}

void
rig_remove_target(struct rig *rig, uint32_t number)
{
	gw_remove_target(rig->gw, rig_target_id(number));
}

void
rig_add_target_at(struct rig *rig, uint32_t number, const char *id)
{
	unmute_target(rig, number);
	listen_target(rig, number);
	gw_update_target(rig->gw, &(struct gw_target_info){
				      .id = id,
				      .pool = "p",
				      .address = rig->addresses[number],
				      .slots = SLOTS_DEFAULT,
				      .process_start_ms = 1,
				  });
}

bool
rig_await_reports(struct rig *rig, uint32_t count)
{
	uint32_t iterations = 0;

	while (rig->reports < count && iterations < REPORT_ITERATIONS_MAX)
		run_once(rig, &iterations);
	return rig->reports >= count;
}

static void
on_crash(void *user, const struct bl_crash *crash, bool is_poison)
{
	struct rig *rig = user;

	(void)is_poison;

	rig->reports++;
	rig->reported_fingerprint = crash->fingerprint;
}

static void
on_excused(void *user, const struct bl_crash *crash)
{
	((struct rig *)user)->excused_fingerprint = crash->fingerprint;
}

static void
on_claim(void *user, uint64_t fingerprint, uint64_t ticket)
{
	(void)user;
	(void)fingerprint;
	(void)ticket;
}

static uint32_t
on_rank(void *user, uint64_t fingerprint)
{
	(void)user;
	(void)fingerprint;
	return 0;
}

static void
on_leaving(void *user, uint64_t process)
{
	(void)user;
	(void)process;
}

static void
on_limit(void *user, uint64_t process, const struct bl_limit_report *report)
{
	(void)user;
	(void)process;
	(void)report;
}

/* The only VM owns all targets. */
static void
on_ask(void *user, const struct bl_ask *ask, uint32_t data_centre)
{
	struct rig *rig = user;
	struct bl_permit permit;

	(void)data_centre;
	if (gw_answer_ask(rig->gw, ask, &permit) == CS_OK)
		gw_add_permit(rig->gw, &permit);
}

/* The only VM of the only region owns all tenants. */
static void
on_quota_ask(void *user, const struct bl_quota_ask *ask)
{
	struct rig *rig = user;

	rig->quota_asks++;
	rig->quota_ask = *ask;
	if (!rig->params.holds_quota_asks)
		rig_answer_quota(rig);
}

static bool
on_quota_owner(void *user, uint64_t tenant)
{
	(void)user;
	(void)tenant;
	return true;
}

static void
on_quota_share(void *user, uint32_t region, const struct bl_quota_share *share)
{
	(void)user;
	(void)region;
	(void)share;
}

static void
on_call_ended(void *user, const struct gw_call_result *ended)
{
	(void)user;
	(void)ended;
}

static uint16_t
free_port(struct rig *rig)
{
	uv_tcp_t tcp;
	struct sockaddr_in address = loopback(0);

	uv_tcp_init(&rig->loop, &tcp);
	uv_tcp_bind(&tcp, (const struct sockaddr *)&address, 0);
	address = bound_address(&tcp);
	uv_close((uv_handle_t *)&tcp, NULL);
	uv_run(&rig->loop, UV_RUN_NOWAIT);
	return ntohs(address.sin_port);
}

struct rig *
rig_create(const struct rig_params *params)
{
	static const struct gw_events events = {.on_call_ended = on_call_ended,
	    .on_crash = on_crash,
	    .on_excused = on_excused,
	    .on_claim = on_claim,
	    .on_rank = on_rank,
	    .on_leaving = on_leaving,
	    .on_limit = on_limit,
	    .on_ask = on_ask,
	    .on_quota_ask = on_quota_ask,
	    .on_quota_owner = on_quota_owner,
	    .on_quota_share = on_quota_share};
	struct rig *rig = calloc(1, sizeof(*rig));
	struct gw_params gateway = {
	    .header_names = &pl_header_names,
	    .budget = {.ratio = 1.0,
		.slack = 100,
		.window_us = 10000000,
		.node_count = 1},
	    .connections_max = 100,
	    .memory_bytes_max = 64 * 1024 * 1024,
	    .response_bytes_max = RIG_RESPONSE_BYTES_MAX,
	    .memory = &rig->memory,
	    .probes_per_s = params->probes_per_s,
	    .key_proof_age_max_us = params->key_proof_age_max_us,
	    .quota = params->quota,
	    .seed = 1,
	    .events = &events,
	};
	uint32_t i;

	require(rig != NULL);
	rig->memory.bytes_max = 8 * RIG_RESPONSE_BYTES_MAX;
	rig->params = *params;
	uv_loop_init(&rig->loop);
	uv_timer_init(&rig->loop, &rig->wakeup_timer);
	uv_timer_start(&rig->wakeup_timer, on_wakeup, 5, 5);
	rig->topology.count = 1;
	rig->topology.data_centres[0].same_region = true;
	if (params->many_regions)
		set_regions(rig);
	gateway.loop = &rig->loop;
	gateway.topology = &rig->topology;
	rig->listen_address = gateway.listen_address = loopback(free_port(rig));
	gateway.user = rig;
	require(gw_create(&gateway, &rig->gw) == CS_OK);
	if (params->with_table)
		set_route_table(rig);
	for (i = 0; i < params->target_count; i++)
		add_target(rig, i);
	if (params->with_table)
		gw_set_loaded(rig->gw);
	return rig;
}

void
rig_free(struct rig *rig)
{
	struct connection *connection, *next;

	for (connection = rig->target_connections; connection != NULL;
	     connection = next) {
		next = connection->next;
		h1_bytes_free(&connection->in);
	}
	h1_bytes_free(&rig->got);
	h1_bytes_free(&rig->sent);
	h1_bytes_free(&rig->last);
	/* The loop's handles go with the process of this one test program. */
}

uint32_t
rig_requests(const struct rig *rig)
{
	return rig->requests;
}

uint32_t
rig_connections(const struct rig *rig)
{
	return rig->connections;
}

uint32_t
rig_closes(const struct rig *rig)
{
	return rig->closes;
}

const char *
rig_last(const struct rig *rig)
{
	return rig->last.data == NULL ? "" : rig->last.data;
}

struct gw *
rig_gateway(struct rig *rig)
{
	return rig->gw;
}
