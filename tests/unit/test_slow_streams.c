/*
 * Clients that read a streamed response slowly: which of their connections are
 * closed when memory runs short, and that the owner of the call is told once,
 * never while it or another owner writes. Requests behind such a response at a
 * listener that drains.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "../../lib/h1/h1.h"

#define CLIENTS 3
#define CHUNK_BYTES (32 * 1024)
#define CHUNKS_UNREAD 40 /* more than sockets buffer */
#define IDLE_TIMEOUT_MS 15000

struct fixture {
	uv_loop_t loop;
	struct cs_memory memory;
	struct h1_server *server;
	struct sockaddr_in address;
	struct h1_conn *conns[CLIENTS]; /* NULL: the owner knows of its end */
	int fds[CLIENTS];
	uint32_t count, disconnects;
	bool writing;
};

static void
on_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct fixture *fixture = h1_conn_user(conn);

	(void)request;
	h1_conn_set_call(conn, &fixture->conns[fixture->count]);
	fixture->conns[fixture->count++] = conn;
	h1_conn_begin_response(
	    conn, &(struct h1_response_head){.status = 200, .headers = ""});
}

static void
on_disconnect(struct h1_conn *conn)
{
	struct fixture *fixture = h1_conn_user(conn);
	struct h1_conn **at = h1_conn_call(conn);

	assert_false(fixture->writing);
	assert_ptr_equal(*at, conn);
	*at = NULL;
	fixture->disconnects++;
}

static const struct h1_server_events events = {
    .on_request = on_request, .on_disconnect = on_disconnect};

static void
run(struct fixture *fixture)
{
	int i;

	for (i = 0; i < 20; i++) {
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
}

static void
begin(struct fixture *fixture, uint64_t memory_bytes)
{
	struct h1_server_params params = {
	    .loop = &fixture->loop,
	    .limits = {16 * 1024, 0},
	    .head_timeout_ms = IDLE_TIMEOUT_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_MS,
	    .connections_max = CLIENTS,
	    .memory = &fixture->memory,
	    .events = &events,
	    .user = fixture,
	};

	*fixture = (struct fixture){.memory = {.bytes_max = memory_bytes}};
	fixture->address.sin_family = AF_INET;
	fixture->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	params.address = fixture->address;
	uv_loop_init(&fixture->loop);
	assert_int_equal(h1_server_create(&params, &fixture->server), CS_OK);
	fixture->address.sin_port = htons(h1_server_port(fixture->server));
}

static void
end(struct fixture *fixture)
{
	uint32_t i;

	for (i = 0; i < fixture->count; i++)
		close(fixture->fds[i]);
	h1_server_close_connections(fixture->server);
	h1_server_stop(fixture->server);
	run(fixture);
	assert_int_equal(fixture->memory.used_bytes, 0);
	assert_int_equal(h1_server_active_requests(fixture->server), 0);
	uv_loop_close(&fixture->loop);
	free(fixture->server);
}

/* A client whose response begins. */
static uint32_t
connect_client(struct fixture *fixture)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
	int fd = socket(AF_INET, SOCK_STREAM, 0), size = 4096;
	uint32_t number = fixture->count;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	assert_int_equal(connect(fd, (struct sockaddr *)&fixture->address,
			     sizeof(fixture->address)),
	    0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	assert_int_equal(write(fd, text, sizeof(text) - 1), sizeof(text) - 1);
	run(fixture);
	assert_int_equal(fixture->count, number + 1);
	fixture->fds[number] = fd;
	return number;
}

static void
send_chunks(struct fixture *fixture, uint32_t number, uint32_t count)
{
	static char chunk[CHUNK_BYTES];

	fixture->writing = true;
	for (; count > 0 && fixture->conns[number] != NULL; count--)
		h1_conn_send_body(fixture->conns[number], chunk, sizeof(chunk));
	fixture->writing = false;
}

/* Returns true if the response ended with a reset. */
static bool
is_reset(int fd)
{
	static char bytes[64 * 1024];
	ssize_t length;

	while ((length = read(fd, bytes, sizeof(bytes))) > 0)
		;
	return length < 0 && errno == ECONNRESET;
}

/* A process in which only responses are streamed could not free memory. */
static void
test_unread_stream_makes_room_for_others(void **state)
{
	struct fixture fixture;
	uint32_t slow, other;

	(void)state;
	begin(&fixture, CHUNKS_UNREAD * CHUNK_BYTES);
	slow = connect_client(&fixture);
	send_chunks(&fixture, slow, CHUNKS_UNREAD - 4);
	other = connect_client(&fixture);
	assert_int_equal(fixture.disconnects, 0);
	send_chunks(&fixture, other, CHUNKS_UNREAD / 2);
	assert_int_equal(h1_server_closed(fixture.server, H1_CLOSED_MEMORY), 1);
	/* The owner may still write: it does not know of the end yet. */
	assert_non_null(fixture.conns[slow]);
	send_chunks(&fixture, slow, 1);
	run(&fixture);
	assert_null(fixture.conns[slow]);
	assert_non_null(fixture.conns[other]);
	assert_int_equal(fixture.disconnects, 1);
	assert_true(is_reset(fixture.fds[slow]));
	end(&fixture);
}

/* Its target is still at work, and the client waits for that. */
static void
test_stream_that_waits_for_its_target_is_kept(void **state)
{
	struct fixture fixture;
	uint32_t waiting;

	(void)state;
	begin(&fixture, CHUNKS_UNREAD * CHUNK_BYTES);
	waiting = connect_client(&fixture);
	assert_false(cs_memory_take(
	    &fixture.memory, CS_MEMORY_RESPONSES, CHUNKS_UNREAD * CHUNK_BYTES));
	run(&fixture);
	assert_non_null(fixture.conns[waiting]);
	end(&fixture);
}

/* A response that goes on after a gap would look complete at its end. */
static void
test_stream_without_room_ends_once(void **state)
{
	struct fixture fixture;
	uint32_t number;

	(void)state;
	begin(&fixture, CHUNKS_UNREAD * CHUNK_BYTES / 2);
	number = connect_client(&fixture);
	send_chunks(&fixture, number, CHUNKS_UNREAD);
	h1_conn_end_response(fixture.conns[number]);
	fixture.conns[number] = NULL;
	run(&fixture);
	assert_int_equal(fixture.disconnects, 0);
	assert_true(is_reset(fixture.fds[number]));
	end(&fixture);
}

/*
 * A response whose client reads was cut off for a new connection. One whose
 * client has not read for a second gives way.
 */
static void
test_full_listener_keeps_streams_that_progress(void **state)
{
	struct fixture fixture;
	uint32_t i;
	int fd;

	(void)state;
	begin(&fixture, 64 * 1024 * 1024);
	for (i = 0; i < CLIENTS; i++) {
		connect_client(&fixture);
		send_chunks(&fixture, i, CHUNKS_UNREAD);
	}
	fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&fixture.address,
			     sizeof(fixture.address)),
	    0);
	run(&fixture);
	assert_int_equal(fixture.disconnects, 0);
	close(fd);
	usleep(CS_MEMORY_STALLED_US);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(connect(fd, (struct sockaddr *)&fixture.address,
			     sizeof(fixture.address)),
	    0);
	run(&fixture);
	assert_int_equal(fixture.disconnects, 1);
	assert_null(fixture.conns[0]);
	assert_true(is_reset(fixture.fds[0]));
	close(fd);
	end(&fixture);
}

static const char pipelined[] =
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n";

/* Reads until the end of the stream, or until nothing more is there. */
static bool
reads_to_end(int fd, char *text, size_t bytes)
{
	size_t length = 0;
	ssize_t got;

	while ((got = read(fd, text + length, bytes - length - 1)) > 0)
		length += (size_t)got;
	text[length] = '\0';
	return got == 0;
}

/*
 * A listener that drains discarded requests which it had received, and a client
 * that goes on sending must not hold the connection until the process ends.
 */
static void
test_drain_answers_what_has_arrived(void **state)
{
	struct fixture fixture;
	struct h1_conn *conn;
	char text[1024];
	uint32_t number;

	(void)state;
	begin(&fixture, 1024 * 1024);
	number = connect_client(&fixture);
	conn = fixture.conns[number];
	assert_int_equal(
	    write(fixture.fds[number], pipelined, sizeof(pipelined) - 1),
	    sizeof(pipelined) - 1);
	run(&fixture);
	h1_server_drain(fixture.server);
	assert_int_equal(
	    write(fixture.fds[number], pipelined, sizeof(pipelined) - 1),
	    sizeof(pipelined) - 1);
	run(&fixture);
	h1_conn_end_response(conn);
	h1_server_close_idle(fixture.server);
	assert_int_equal(fixture.count, 2);
	assert_false(reads_to_end(fixture.fds[number], text, sizeof(text)));
	assert_null(strstr(text, "Connection: close"));
	h1_conn_end_response(conn);
	assert_int_equal(fixture.count, 3); /* the last one that had arrived */
	h1_conn_end_response(conn);
	run(&fixture);
	assert_int_equal(fixture.count, 3);
	assert_true(reads_to_end(fixture.fds[number], text, sizeof(text)));
	assert_non_null(strstr(text, "Connection: close"));
	fixture.count = 1; /* of clients */
	end(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_unread_stream_makes_room_for_others),
	    cmocka_unit_test(test_stream_that_waits_for_its_target_is_kept),
	    cmocka_unit_test(test_stream_without_room_ends_once),
	    cmocka_unit_test(test_full_listener_keeps_streams_that_progress),
	    cmocka_unit_test(test_drain_answers_what_has_arrived),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
