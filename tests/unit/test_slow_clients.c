/*
 * Clients that read or send slowly: which connections the listener closes when
 * memory or connections run short, that pipelined requests wait for the output
 * before them, and that a client which reads nothing meets its deadline.
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

#define CLIENTS_MAX 6
#define IDLE_TIMEOUT_MS 15000
#define LARGE_BYTES (8 * 1024 * 1024) /* more than sockets buffer */

struct fixture {
	uv_loop_t loop;
	struct cs_memory memory;
	struct h1_server *server;
	struct sockaddr_in address;
	int fds[CLIENTS_MAX];
	uint32_t client_count;
	uint32_t requests;
	uint32_t disconnects;
	bool holds;	      /* requests are not answered */
	struct h1_conn *held; /* the last one of these */
	struct h1_bytes body;
};

static void
on_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct fixture *fixture = h1_conn_user(conn);
	size_t length = strtoul(h1_target(request) + 1, NULL, 10);

	fixture->requests++;
	fixture->held = conn;
	if (fixture->holds)
		return;
	h1_conn_send_response(conn, &(struct h1_response){
					.status = 200,
					.headers = "",
					.body = fixture->body.data,
					.body_length = length,
				    });
}

static void
on_disconnect(struct h1_conn *conn)
{
	struct fixture *fixture = h1_conn_user(conn);

	fixture->disconnects++;
}

static struct h1_server_events server_events = {
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
begin(struct fixture *fixture, uint64_t memory_bytes, uint32_t connections_max,
    uint32_t address_connections_max)
{
	struct h1_server_params params = {
	    .loop = &fixture->loop,
	    .limits = {16 * 1024, LARGE_BYTES},
	    .head_timeout_ms = IDLE_TIMEOUT_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_MS,
	    .connections_max = connections_max,
	    .address_connections_max = address_connections_max,
	    .memory = &fixture->memory,
	    .bodies_bytes_max = memory_bytes / 2,
	    .events = &server_events,
	    .user = fixture,
	};

	*fixture = (struct fixture){.memory = {.bytes_max = memory_bytes}};
	fixture->address.sin_family = AF_INET;
	fixture->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	params.address = fixture->address;
	uv_loop_init(&fixture->loop);
	assert_int_equal(h1_bytes_reserve(&fixture->body, LARGE_BYTES), CS_OK);
	memset(fixture->body.data, 'b', LARGE_BYTES);
	assert_int_equal(h1_server_create(&params, &fixture->server), CS_OK);
	fixture->address.sin_port = htons(h1_server_port(fixture->server));
}

static int
connect_client(struct fixture *fixture)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0), size = 4096;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	assert_int_equal(connect(fd, (struct sockaddr *)&fixture->address,
			     sizeof(fixture->address)),
	    0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	fixture->fds[fixture->client_count++] = fd;
	run(fixture);
	return fd;
}

static void
send_text(struct fixture *fixture, int fd, const char *text)
{
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	run(fixture);
}

static int
request_bytes(struct fixture *fixture, size_t length)
{
	int fd = connect_client(fixture);
	char text[128];

	snprintf(
	    text, sizeof(text), "GET /%zu HTTP/1.1\r\nHost: h\r\n\r\n", length);
	send_text(fixture, fd, text);
	return fd;
}

static void
end(struct fixture *fixture)
{
	uint32_t i;

	for (i = 0; i < fixture->client_count; i++)
		close(fixture->fds[i]);
	h1_server_stop(fixture->server);
	h1_server_close_connections(fixture->server);
	run(fixture);
	assert_int_equal(fixture->memory.used_bytes, 0);
	h1_bytes_free(&fixture->body);
}

static bool
is_closed(int fd)
{
	char byte;
	ssize_t length;

	while ((length = recv(fd, &byte, 1, 0)) == 1)
		;
	return length == 0 || errno != EAGAIN;
}

/* Output is held as a whole, less what the socket took of it. */
static uint64_t
output_bytes(const struct fixture *fixture)
{
	return fixture->memory.kind_bytes[CS_MEMORY_OUTPUT];
}

static void
test_large_amounts_leave_a_part_for_small_ones(void **state)
{
	struct cs_memory memory = {.bytes_max = 8 * 1024 * 1024};

	(void)state;
	assert_false(cs_memory_take(
	    &memory, CS_MEMORY_RESPONSES, memory.bytes_max - 1024 * 1024 + 1));
	assert_true(cs_memory_take(
	    &memory, CS_MEMORY_RESPONSES, memory.bytes_max - 1024 * 1024));
	assert_false(cs_memory_take(
	    &memory, CS_MEMORY_RESPONSES, CS_MEMORY_SMALL_BYTES + 1));
	assert_true(cs_memory_take(
	    &memory, CS_MEMORY_RESPONSES, CS_MEMORY_SMALL_BYTES));
	assert_int_equal(memory.refused, 2);
}

/* The one that holds more for as long is closed, the other one is not. */
static void
test_worst_holder_is_closed_first(void **state)
{
	struct fixture fixture;
	int less, more;

	(void)state;
	begin(&fixture, 16 * 1024 * 1024, 10, 0);
	less = request_bytes(&fixture, 4 * 1024 * 1024);
	more = request_bytes(&fixture, 8 * 1024 * 1024);
	usleep(CS_MEMORY_STALLED_US);
	assert_true(output_bytes(&fixture) > 9 * 1024 * 1024);
	assert_true(cs_memory_take(
	    &fixture.memory, CS_MEMORY_RESPONSES, 6 * 1024 * 1024));
	run(&fixture);
	assert_int_equal(h1_server_closed(fixture.server, H1_CLOSED_MEMORY), 1);
	assert_true(is_closed(more));
	assert_false(is_closed(less));
	cs_memory_return(&fixture.memory, CS_MEMORY_RESPONSES, 6 * 1024 * 1024);
	end(&fixture);
}

/* A large configuration comes in any case: slow clients make room for it. */
static void
test_objects_beyond_their_reserve_take_from_buffers(void **state)
{
	const uint64_t unit = 1024 * 1024;
	struct fixture fixture;
	int less, more;

	(void)state;
	begin(&fixture, 16 * unit, 10, 0);
	fixture.memory.objects_bytes_reserved = 4 * unit;
	less = request_bytes(&fixture, 4 * unit);
	more = request_bytes(&fixture, 8 * unit);
	usleep(CS_MEMORY_STALLED_US); /* both have waited for about as long */
	cs_memory_add_objects(&fixture.memory, 4 * unit);
	assert_int_equal(cs_memory_limit_bytes(&fixture.memory), 16 * unit);
	run(&fixture);
	assert_int_equal(h1_server_closed(fixture.server, H1_CLOSED_MEMORY), 0);
	/* However much they take, half is left for buffers. */
	cs_memory_add_objects(&fixture.memory, 40 * unit);
	assert_int_equal(cs_memory_limit_bytes(&fixture.memory), 8 * unit);
	run(&fixture);
	assert_true(is_closed(more));
	assert_false(is_closed(less));
	cs_memory_remove_objects(&fixture.memory, 44 * unit);
	assert_int_equal(cs_memory_limit_bytes(&fixture.memory), 16 * unit);
	end(&fixture);
}

/* A transfer that has just progressed is not closed for another large one. */
static void
test_recent_progress_protects_from_large_amounts(void **state)
{
	struct fixture fixture;

	(void)state;
	begin(&fixture, 10 * 1024 * 1024, 10, 0);
	request_bytes(&fixture, 8 * 1024 * 1024);
	assert_false(cs_memory_take(
	    &fixture.memory, CS_MEMORY_RESPONSES, 4 * 1024 * 1024));
	assert_int_equal(h1_server_closed(fixture.server, H1_CLOSED_MEMORY), 0);
	end(&fixture);
}

/* Closing it would abandon work at a target. */
static void
test_request_in_process_is_not_closed(void **state)
{
	struct fixture fixture;
	int fd;

	(void)state;
	begin(&fixture, 1024 * 1024, 1, 0);
	fixture.holds = true;
	fd = request_bytes(&fixture, 0);
	assert_false(cs_memory_take(
	    &fixture.memory, CS_MEMORY_RESPONSES, 2 * 1024 * 1024));
	connect_client(&fixture); /* is refused: connections_max is 1 */
	assert_false(is_closed(fd));
	assert_true(is_closed(fixture.fds[1]));
	end(&fixture);
}

/* All output of pipelined requests was queued at once. */
static void
test_pipelined_request_waits_for_output(void **state)
{
	struct fixture fixture;
	int fd;

	(void)state;
	begin(&fixture, 64 * 1024 * 1024, 10, 0);
	fd = connect_client(&fixture);
	send_text(&fixture, fd,
	    "GET /8000000 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "GET /8000000 HTTP/1.1\r\nHost: h\r\n\r\n");
	assert_int_equal(fixture.requests, 1);
	while (fixture.requests == 1) {
		char bytes[65536];

		if (recv(fd, bytes, sizeof(bytes), 0) < 0)
			uv_run(&fixture.loop, UV_RUN_NOWAIT);
	}
	end(&fixture);
}

/* Each request that is answered at once used to take a stack frame and a copy.
 */
static void
test_many_short_requests_do_not_recurse(void **state)
{
	static const char text[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	struct fixture fixture;
	int fd, i;

	(void)state;
	begin(&fixture, 64 * 1024 * 1024, 10, 0);
	fd = connect_client(&fixture);
	for (i = 0; i < 500; i++)
		assert_int_equal(
		    write(fd, text, sizeof(text) - 1), sizeof(text) - 1);
	run(&fixture);
	while (fixture.requests < 500) {
		char bytes[65536];

		if (recv(fd, bytes, sizeof(bytes), 0) < 0)
			uv_run(&fixture.loop, UV_RUN_NOWAIT);
	}
	assert_true(fixture.memory.used_bytes < 64 * 1024);
	end(&fixture);
}

/* Before, only the last response of a connection had such a deadline. */
static void
test_client_that_reads_nothing_is_closed(void **state)
{
	struct fixture fixture;
	int64_t now_us;
	int fd, slow;
	char bytes[65536];

	(void)state;
	begin(&fixture, 64 * 1024 * 1024, 10, 0);
	fd = request_bytes(&fixture, 8 * 1024 * 1024);
	slow = request_bytes(&fixture, 8 * 1024 * 1024);
	now_us = cs_now_us();
	h1_server_sweep(fixture.server, now_us);
	while (recv(slow, bytes, sizeof(bytes), 0) > 0)
		;
	run(&fixture);
	h1_server_sweep(fixture.server, now_us + IDLE_TIMEOUT_MS * 1000);
	assert_int_equal(
	    h1_server_closed(fixture.server, H1_CLOSED_STALLED), 0);
	h1_server_sweep(
	    fixture.server, now_us + (IDLE_TIMEOUT_MS + 1000) * 1000);
	assert_int_equal(
	    h1_server_closed(fixture.server, H1_CLOSED_STALLED), 1);
	run(&fixture);
	assert_true(is_closed(fd));
	assert_false(is_closed(slow));
	end(&fixture);
}

static void
test_full_listener_closes_the_oldest_idle_connection(void **state)
{
	struct fixture fixture;
	int first, second, third;

	(void)state;
	begin(&fixture, 1024 * 1024, 2, 0);
	first = connect_client(&fixture);
	second = connect_client(&fixture);
	third = connect_client(&fixture);
	assert_true(is_closed(first));
	assert_false(is_closed(second));
	assert_false(is_closed(third));
	assert_int_equal(h1_server_closed(fixture.server, H1_CLOSED_FULL), 1);
	end(&fixture);
}

static void
test_connections_of_one_address_are_limited(void **state)
{
	struct fixture fixture;
	int first;

	(void)state;
	begin(&fixture, 1024 * 1024, 10, 2);
	first = connect_client(&fixture);
	connect_client(&fixture);
	connect_client(&fixture);
	assert_true(is_closed(first));
	assert_int_equal(h1_server_connections(fixture.server), 2);
	assert_int_equal(
	    h1_server_closed(fixture.server, H1_CLOSED_ADDRESS), 1);
	end(&fixture);
}

/*
 * The owner has ended its call before it sends the response: a report of a
 * disconnect from within the send ended the call twice, and its request was
 * counted twice.
 */
static void
test_response_without_room_ends_its_request_once(void **state)
{
	struct fixture fixture;
	int fd;

	(void)state;
	begin(&fixture, 1024 * 1024, 10, 0);
	fd = request_bytes(&fixture, LARGE_BYTES);
	assert_true(is_closed(fd));
	assert_int_equal(fixture.requests, 1);
	assert_int_equal(fixture.disconnects, 0);
	assert_int_equal(h1_server_active_requests(fixture.server), 0);
	end(&fixture);
}

/*
 * Its last response was lost: the time in which the request was processed
 * counted as a wait for the client.
 */
static void
test_last_response_is_not_closed_as_the_oldest(void **state)
{
	struct fixture fixture;
	char bytes[1024];
	int last, idle, i;

	(void)state;
	begin(&fixture, 1024 * 1024, 2, 0);
	fixture.holds = true;
	last = connect_client(&fixture);
	send_text(&fixture, last,
	    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
	idle = connect_client(&fixture);
	h1_conn_send_response(fixture.held, &(struct h1_response){
						.status = 200,
						.headers = "",
						.body = fixture.body.data,
						.body_length = 20000,
					    });
	connect_client(&fixture);
	assert_true(is_closed(idle));
	for (i = 0; i < 20; i++) {
		assert_true(recv(last, bytes, sizeof(bytes), 0) > 0);
		run(&fixture);
	}
	end(&fixture);
}

/*
 * It was passed on, and then its connection was closed for the memory of its
 * head: the caller could not know that it may have run.
 */
static void
test_request_without_room_is_refused_before_it_runs(void **state)
{
	struct fixture fixture;
	char text[4096];
	uint64_t taken_bytes;
	int fd;

	(void)state;
	begin(&fixture, 1024 * 1024, 10, 0);
	fixture.holds = true;
	fd = connect_client(&fixture);
	taken_bytes = fixture.memory.bytes_max - fixture.memory.used_bytes;
	fixture.memory.used_bytes += taken_bytes;
	snprintf(text, sizeof(text),
	    "GET / HTTP/1.1\r\nHost: h\r\nX: %03000d\r\n\r\n", 0);
	send_text(&fixture, fd, text);
	assert_int_equal(fixture.requests, 0);
	assert_true(recv(fd, text, sizeof(text), 0) > 12);
	assert_memory_equal(text, "HTTP/1.1 503", 12);
	fixture.memory.used_bytes -= taken_bytes;
	end(&fixture);
}

/* An announced body kept its reservation, and small uploads were refused. */
static void
test_announced_body_gives_way_to_a_small_one(void **state)
{
	struct fixture fixture;
	int fd, small;

	(void)state;
	begin(&fixture, 4 * 1024 * 1024, 10, 0);
	fd = connect_client(&fixture);
	send_text(&fixture, fd,
	    "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n");
	small = connect_client(&fixture);
	send_text(&fixture, small,
	    "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
	assert_int_equal(fixture.requests, 1);
	assert_true(is_closed(fd));
	assert_false(is_closed(small));
	end(&fixture);
}

/*
 * A chunked body of 1.2 MB was refused where 1.5 MB are allowed, since its
 * buffer had grown to 2 MB.
 */
static void
test_chunked_body_is_not_refused_for_its_buffer(void **state)
{
	struct fixture fixture;
	size_t sent = 0, length = 1200000;
	char response[64];
	int fd;

	(void)state;
	begin(&fixture, 3 * 1024 * 1024, 10, 0);
	fd = connect_client(&fixture);
	send_text(&fixture, fd,
	    "POST /1 HTTP/1.1\r\nHost: h\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n124f80\r\n");
	while (sent < length) {
		ssize_t part = send(
		    fd, fixture.body.data + sent, length - sent, MSG_NOSIGNAL);

		assert_true(part > 0 || errno == EAGAIN);
		sent += part > 0 ? (size_t)part : 0;
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
	}
	send_text(&fixture, fd, "\r\n0\r\n\r\n");
	assert_true(recv(fd, response, sizeof(response), 0) > 12);
	assert_memory_equal(response, "HTTP/1.1 200", 12);
	end(&fixture);
}

/* As a gateway does: the body of a target's response is passed on. */
static void
on_relayed_request(struct h1_conn *conn, const struct h1_message *request)
{
	struct fixture *fixture = h1_conn_user(conn);
	size_t length = strtoul(h1_target(request) + 1, NULL, 10), used;
	struct h1_reader reader;
	char head[64];

	fixture->requests++;
	h1_reader_init(
	    &reader, HTTP_RESPONSE, (struct h1_limits){1024, LARGE_BYTES});
	reader.memory = &fixture->memory;
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", length);
	if (h1_reader_feed(&reader, head, strlen(head), &used) >= 0 &&
	    (length == 0 || h1_reader_feed(&reader, fixture->body.data, length,
				&used) >= 0))
		h1_conn_send_response(conn, &(struct h1_response){.status = 200,
						.headers = "",
						.body_of = &reader.message,
						.unframed = length % 2 == 1});
	else
		h1_conn_send_text(conn, 502, "text/plain", "no memory\n");
	h1_reader_free(&reader);
}

static void
check_accounts(const struct fixture *fixture)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < CS_MEMORY_KINDS; i++)
		sum += fixture->memory.kind_bytes[i];
	assert_int_equal(sum, fixture->memory.used_bytes);
}

#define MANY_ENDS 1500
#define MANY_CLIENTS 24

/* A count that drifts would refuse everybody in the end. */
static void
test_accounts_are_zero_after_many_ends(void **state)
{
	static const char *const texts[] = {
	    "GET /3000000 HTTP/1.1\r\nHost: h\r\n\r\n",
	    "GET /3000001 HTTP/1.1\r\nHost: h\r\n\r\n",
	    "GET /700000 HTTP/1.1\r\nHost: h\r\n\r\n"
	    "GET /700000 HTTP/1.1\r\nHost: h\r\n\r\nGET /1 HT",
	    "HEAD /500000 HTTP/1.1\r\nHost: h\r\n\r\n",
	    "GET /9 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	    "POST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nb",
	    "POST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nbb",
	    "POST /5 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	    "Expect: 100-continue\r\n\r\n4\r\nbbbb\r\n",
	    "POST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
	    "GET / HTTP/1.1\r\nHost: h\r\nX: y",
	    "not a request\r\n\r\n",
	};
	struct cs_random random;
	struct fixture fixture;
	int fds[MANY_CLIENTS], i;
	char bytes[65536];
	int64_t later_us = 0;

	(void)state;
	cs_random_seed(&random, 1);
	begin(&fixture, 6 * 1024 * 1024, MANY_CLIENTS - 4, 0);
	server_events.on_request = on_relayed_request;
	for (i = 0; i < MANY_CLIENTS; i++)
		fds[i] = -1;
	for (i = 0; i < MANY_ENDS; i++) {
		int *fd = &fds[cs_random_next(&random) % MANY_CLIENTS];
		const char *text = texts[cs_random_next(&random) %
					 (sizeof(texts) / sizeof(texts[0]))];

		switch (cs_random_next(&random) % 4) {
		case 0:
			if (*fd >= 0)
				close(*fd);
			*fd = -1;
			break;
		case 1:
			if (*fd >= 0)
				while (recv(*fd, bytes, sizeof(bytes), 0) > 0)
					uv_run(&fixture.loop, UV_RUN_NOWAIT);
			break;
		default:
			if (*fd < 0) {
				*fd = connect_client(&fixture);
				fixture.client_count = 0;
			}
			send(*fd, text, strlen(text), MSG_NOSIGNAL);
		}
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
		uv_run(&fixture.loop, UV_RUN_NOWAIT);
		check_accounts(&fixture);
		if (i % 700 == 699) {
			later_us += (IDLE_TIMEOUT_MS + 1000) * 1000;
			h1_server_sweep(fixture.server, cs_now_us() + later_us);
		}
	}
	assert_true(h1_server_closed(fixture.server, H1_CLOSED_MEMORY) > 0);
	assert_true(h1_server_closed(fixture.server, H1_CLOSED_FULL) > 0);
	assert_true(fixture.memory.refused > 0);
	for (i = 0; i < MANY_CLIENTS; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	run(&fixture);
	assert_int_equal(h1_server_connections(fixture.server), 0);
	assert_int_equal(h1_server_active_requests(fixture.server), 0);
	server_events.on_request = on_request;
	end(&fixture);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_large_amounts_leave_a_part_for_small_ones),
	    cmocka_unit_test(test_worst_holder_is_closed_first),
	    cmocka_unit_test(
		test_objects_beyond_their_reserve_take_from_buffers),
	    cmocka_unit_test(test_recent_progress_protects_from_large_amounts),
	    cmocka_unit_test(test_request_in_process_is_not_closed),
	    cmocka_unit_test(test_pipelined_request_waits_for_output),
	    cmocka_unit_test(test_many_short_requests_do_not_recurse),
	    cmocka_unit_test(test_client_that_reads_nothing_is_closed),
	    cmocka_unit_test(
		test_full_listener_closes_the_oldest_idle_connection),
	    cmocka_unit_test(test_connections_of_one_address_are_limited),
	    cmocka_unit_test(test_response_without_room_ends_its_request_once),
	    cmocka_unit_test(test_last_response_is_not_closed_as_the_oldest),
	    cmocka_unit_test(
		test_request_without_room_is_refused_before_it_runs),
	    cmocka_unit_test(test_chunked_body_is_not_refused_for_its_buffer),
	    cmocka_unit_test(test_accounts_are_zero_after_many_ends),
	    cmocka_unit_test(test_announced_body_gives_way_to_a_small_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
