/*
 * How the listener ends connections whose last response is not written yet: a
 * client that reads slowly gets all of it, and a response without a length that
 * is cut off ends with a reset, never like a complete one.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "../../lib/h1/h1.h"

#define BODY_BYTES (8 * 1024 * 1024) /* more than sockets buffer */
#define IDLE_TIMEOUT_MS 60000
/* Far longer than the listener waits for the client's close. */
#define LATER_US 20000000
#define ITERATIONS 50

struct fixture {
	uv_loop_t loop;
	struct h1_server *server;
	bool unframed;
	int fd; /* the client's socket */
	char *body;
};

static void
on_request(struct h1_conn *conn, const struct h1_message *request)
{
	const struct fixture *fixture = h1_conn_user(conn);

	(void)request;
	h1_conn_send_response(conn, &(struct h1_response){
					.status = 200,
					.headers = "",
					.body = fixture->body,
					.body_length = BODY_BYTES,
					.close = true,
					.unframed = fixture->unframed,
				    });
}

static void
on_disconnect(struct h1_conn *conn)
{
	(void)conn;
}

static void
run(struct fixture *fixture)
{
	int i;

	for (i = 0; i < ITERATIONS; i++) {
		uv_run(&fixture->loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
}

/* Starts a listener, and opens a connection to it. */
static void
open_connection(struct fixture *fixture, struct h1_limits limits)
{
	static const struct h1_server_events events = {
	    .on_request = on_request, .on_disconnect = on_disconnect};
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct h1_server_params params = {
	    .loop = &fixture->loop,
	    .limits = limits,
	    .head_timeout_ms = IDLE_TIMEOUT_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_MS,
	    .connections_max = 10,
	    .bodies_bytes_max = 4096,
	    .events = &events,
	    .user = fixture,
	};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	params.address = address;
	uv_loop_init(&fixture->loop);
	fixture->body = malloc(BODY_BYTES);
	memset(fixture->body, 'b', BODY_BYTES);
	assert_int_equal(h1_server_create(&params, &fixture->server), CS_OK);
	address.sin_port = htons(h1_server_port(fixture->server));
	fixture->fd = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(
	    connect(fixture->fd, (struct sockaddr *)&address, sizeof(address)),
	    0);
	fcntl(fixture->fd, F_SETFL, O_NONBLOCK);
}

static void
send_text(struct fixture *fixture, const char *text)
{
	assert_int_equal(write(fixture->fd, text, strlen(text)), strlen(text));
	run(fixture);
}

/* Sends one request and leaves its response unread. */
static void
begin(struct fixture *fixture, bool unframed)
{
	open_connection(fixture, (struct h1_limits){4096, 4096});
	fixture->unframed = unframed;
	send_text(fixture, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	assert_int_equal(h1_server_unsent(fixture->server), 1);
}

/* Reads to the end; returns the bytes read, and how the connection ended. */
static size_t
read_to_end(struct fixture *fixture, int *error)
{
	static char buffer[256 * 1024];
	size_t total = 0;
	ssize_t length;

	for (;;) {
		length = read(fixture->fd, buffer, sizeof(buffer));
		if (length > 0) {
			total += (size_t)length;
		} else if (length < 0 && errno == EAGAIN) {
			uv_run(&fixture->loop, UV_RUN_NOWAIT);
		} else {
			*error = length < 0 ? errno : 0;
			return total;
		}
	}
}

static void
end(struct fixture *fixture)
{
	close(fixture->fd);
	h1_server_stop(fixture->server);
	run(fixture);
	free(fixture->body);
}

static void
test_slow_reader_gets_the_whole_response(void **state)
{
	int i, error;

	(void)state;
	for (i = 0; i < 2; i++) {
		struct fixture fixture;

		begin(&fixture, i == 1);
		h1_server_sweep(fixture.server, cs_now_us() + LATER_US);
		assert_true(read_to_end(&fixture, &error) > BODY_BYTES);
		assert_int_equal(error, 0);
		end(&fixture);
	}
}

/* A client that reads nothing at all does not hold its response for ever. */
static void
test_stalled_reader_is_closed(void **state)
{
	struct fixture fixture;
	int error;

	(void)state;
	begin(&fixture, true);
	h1_server_sweep(fixture.server, cs_now_us());
	h1_server_sweep(
	    fixture.server, cs_now_us() + 2 * IDLE_TIMEOUT_MS * 1000);
	run(&fixture);
	assert_int_equal(h1_server_connections(fixture.server), 0);
	read_to_end(&fixture, &error);
	assert_int_equal(error, ECONNRESET);
	end(&fixture);
}

/* As when the process ends while it writes. */
static void
test_cut_response_without_length_ends_with_a_reset(void **state)
{
	struct fixture fixture;
	int error;

	(void)state;
	begin(&fixture, true);
	h1_server_close_connections(fixture.server);
	run(&fixture);
	assert_true(read_to_end(&fixture, &error) < BODY_BYTES);
	assert_int_equal(error, ECONNRESET);
	end(&fixture);
}

struct upload {
	struct h1_server *server;
	bool answered;
};

static void
on_upload(struct h1_conn *conn, const struct h1_message *request)
{
	assert_int_equal(request->body.length, BODY_BYTES);
	h1_conn_send_text(conn, 200, "text/plain", "ok");
}

static enum h1_keep
on_upload_response(
    struct h1_client_conn *conn, const struct h1_message *response)
{
	struct upload *upload = h1_client_conn_owner(conn);

	assert_int_equal(response->status, 200);
	upload->answered = true;
	return H1_KEEP;
}

static void
on_upload_end(struct h1_client_conn *conn, enum h1_end end)
{
	(void)conn;
	(void)end;
}

static size_t
allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* An idle connection to a target does not hold the last request. */
static void
test_idle_connection_holds_no_large_request(void **state)
{
	static const struct h1_server_events server_events = {
	    .on_request = on_upload, .on_disconnect = on_disconnect};
	static const struct h1_client_conn_events events = {
	    .on_response = on_upload_response, .on_end = on_upload_end};
	struct upload upload = {.answered = false};
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct h1_bytes head = {.data = NULL}, body = {.data = NULL};
	struct h1_client_conn *conn;
	size_t before;
	uv_loop_t loop;

	(void)state;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	uv_loop_init(&loop);
	assert_int_equal(h1_server_create(
			     &(struct h1_server_params){
				 .loop = &loop,
				 .address = address,
				 .limits = {4096, BODY_BYTES},
				 .head_timeout_ms = IDLE_TIMEOUT_MS,
				 .idle_timeout_ms = IDLE_TIMEOUT_MS,
				 .connections_max = 10,
				 .bodies_bytes_max = BODY_BYTES,
				 .events = &server_events,
				 .user = &upload,
			     },
			     &upload.server),
	    CS_OK);
	address.sin_port = htons(h1_server_port(upload.server));
	assert_int_equal(h1_client_conn_open(
			     &(struct h1_client_conn_params){
				 .loop = &loop,
				 .address = address,
				 .limits = {4096, 4096},
				 .unacked_timeout_ms = IDLE_TIMEOUT_MS,
				 .keepalive_probes_max = 1,
				 .events = &events,
				 .owner = &upload,
			     },
			     &conn),
	    CS_OK);
	h1_bytes_print(&head,
	    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
	    BODY_BYTES);
	assert_int_equal(h1_bytes_reserve(&body, BODY_BYTES), 0);
	memset(body.data, 'b', BODY_BYTES);
	body.length = BODY_BYTES;
	before = allocated_bytes();
	assert_int_equal(h1_client_conn_send(conn, &head, &body, false), CS_OK);
	while (!upload.answered)
		uv_run(&loop, UV_RUN_ONCE);
	uv_run(&loop, UV_RUN_NOWAIT);
	assert_true(allocated_bytes() < before + BODY_BYTES / 2);
	h1_client_conn_close(conn);
	h1_server_stop(upload.server);
	uv_run(&loop, UV_RUN_NOWAIT);
	h1_bytes_free(&head);
	h1_bytes_free(&body);
}

/*
 * Guards against requests that are refused by the limits that were in force
 * when their connection was opened, or when the request before them ended.
 */
static void
test_limits_are_those_when_the_request_begins(void **state)
{
	static const char request[] =
	    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n"
	    "12345678901234567890";
	static const struct {
		uint64_t before, after; /* limit of bodies */
		const char *status;
	} rows[] = {
	    {10, 100, "HTTP/1.1 200 "},
	    {100, 10, "HTTP/1.1 413 "},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct fixture fixture;
		char head[13];
		int error;

		open_connection(
		    &fixture, (struct h1_limits){4096, rows[i].before});
		run(&fixture);
		h1_server_set_limits(fixture.server,
		    (struct h1_limits){4096, rows[i].after}, IDLE_TIMEOUT_MS,
		    IDLE_TIMEOUT_MS);
		send_text(&fixture, request);
		assert_int_equal(read(fixture.fd, head, sizeof(head)), 13);
		assert_memory_equal(head, rows[i].status, sizeof(head));
		read_to_end(&fixture, &error);
		end(&fixture);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_slow_reader_gets_the_whole_response),
	    cmocka_unit_test(test_stalled_reader_is_closed),
	    cmocka_unit_test(
		test_cut_response_without_length_ends_with_a_reset),
	    cmocka_unit_test(test_idle_connection_holds_no_large_request),
	    cmocka_unit_test(test_limits_are_those_when_the_request_begins),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
