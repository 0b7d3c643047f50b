/* Responses of the listener, sent whole or streamed. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1_internal.h"

/*
 * The owner has ended its call. A failure to write the rest of the response
 * closes the connection and must not report the call to it again.
 */
static void
end_request(struct h1_conn *conn)
{
	if (conn->state == CONN_RESPONDING)
		conn->server->active_requests--;
	conn->state = CONN_READING;
	conn->call = NULL;
}

/*
 * The response is written or queued: closes the connection or reads its next
 * request.
 */
static void
end_response(struct h1_conn *conn, bool close)
{
	end_request(conn);
	if (conn->closing)
		return;
	if (close) {
		h1_conn_linger(conn);
	} else if (h1_conn_unsent(conn) > FLUSHING_BYTES_MAX) {
		conn->state = CONN_FLUSHING;
		h1_conn_release_body(conn);
		h1_bytes_free(&conn->reader.message.body);
	} else {
		h1_conn_start_next(conn);
	}
	if (!conn->closing && !h1_conn_account(conn))
		h1_conn_evict(conn, H1_CLOSED_MEMORY);
}

static bool
closes_after_response(const struct h1_conn *conn)
{
	return (conn->server->draining && conn->owed_bytes == 0) ||
	       !conn->reader.message.keep_alive;
}

static bool
omits_body(const struct h1_conn *conn, int status)
{
	const char *method = conn->reader.message.method;

	return status == 204 || status == 304 ||
	       (method != NULL && strcmp(method, "HEAD") == 0);
}

static int
write_head(struct h1_bytes *out, int status, const char *headers, size_t length)
{
	out->length = 0;
	if (h1_bytes_print(
		out, "HTTP/1.1 %d %s\r\n", status, h1_status_text(status)) != 0)
		return CS_E_SYSTEM;
	return h1_bytes_add(out, headers, length);
}

/* Larger scratch buffers are freed. */
#define OUT_BYTES_KEPT_MAX (64 * 1024)

static void
write_response(struct h1_conn *conn, const struct h1_response *response)
{
	struct h1_bytes *out = &conn->server->out;
	struct h1_bytes body = {.data = NULL};
	uint64_t taken_bytes = 0;

	if (response->body_of != NULL && !omits_body(conn, response->status))
		body = h1_take_body(response->body_of, &taken_bytes);
	h1_conn_write_body(conn, out, &body, taken_bytes);
	if (out->capacity > OUT_BYTES_KEPT_MAX)
		h1_bytes_free(out);
}

void
h1_conn_send_response(struct h1_conn *conn, const struct h1_response *response)
{
	struct h1_bytes *out = &conn->server->out;
	bool close = response->close || response->unframed ||
		     closes_after_response(conn);
	size_t body_length = response->body_of != NULL
				 ? response->body_of->body.length
				 : response->body_length;

	end_request(conn);
	if (conn->closing)
		return;
	conn->busy++;
	if (write_head(out, response->status, response->headers,
		response->headers_length) != 0 ||
	    (!response->unframed && response->status != 204 &&
		response->status != 304 &&
		h1_bytes_print(out, "Content-Length: %zu\r\n", body_length) !=
		    0) ||
	    h1_bytes_print(
		out, "%s\r\n", close ? "Connection: close\r\n" : "") != 0 ||
	    (response->body_of == NULL && !omits_body(conn, response->status) &&
		h1_bytes_add(out, response->body, response->body_length) !=
		    0)) {
		end_response(conn, true);
	} else {
		if (response->unframed)
			h1_conn_reset_on_close(conn, true);
		write_response(conn, response);
		end_response(conn, close);
	}
	conn->busy--;
}

/* The connection itself is not closed to make room for its output. */
static void
write_streamed(struct h1_conn *conn, const char *data, size_t length)
{
	conn->busy++;
	h1_conn_write(conn, data, length);
	conn->busy--;
}

void
h1_conn_begin_response(
    struct h1_conn *conn, const struct h1_response_head *head)
{
	struct h1_bytes *out = &conn->server->out;
	int error;

	if (conn->closing)
		return;
	error =
	    write_head(out, head->status, head->headers, head->headers_length);
	conn->streaming = true;
	conn->no_body = omits_body(conn, head->status);
	conn->chunked = !head->sized && !conn->no_body &&
			conn->reader.parser.http_minor > 0;
	/* HTTP/1.0 has no chunked encoding. */
	conn->close_delimited =
	    !head->sized && !conn->chunked && !conn->no_body;
	conn->close_after =
	    closes_after_response(conn) || conn->close_delimited;
	if (head->sized && head->status != 204 && head->status != 304)
		error |= h1_bytes_print(out, "Content-Length: %llu\r\n",
		    (unsigned long long)head->length);
	error |= h1_bytes_print(out, "%s%s\r\n",
	    conn->chunked ? "Transfer-Encoding: chunked\r\n" : "",
	    conn->close_after ? "Connection: close\r\n" : "");
	if (conn->close_delimited)
		h1_conn_reset_on_close(conn, true);
	if (error == CS_OK)
		write_streamed(conn, out->data, out->length);
	else
		h1_conn_drop(conn);
}

void
h1_conn_send_body(struct h1_conn *conn, const char *data, size_t length)
{
	struct h1_bytes *out = &conn->server->out;

	if (conn->no_body || conn->closing || length == 0)
		return;
	if (!conn->chunked) {
		write_streamed(conn, data, length);
		return;
	}
	out->length = 0;
	if (h1_bytes_print(out, "%zx\r\n", length) != 0 ||
	    h1_bytes_add(out, data, length) != 0 ||
	    h1_bytes_add(out, "\r\n", 2) != 0)
		h1_conn_drop(conn);
	else
		write_streamed(conn, out->data, out->length);
}

void
h1_conn_end_response(struct h1_conn *conn)
{
	static const char last_chunk[] = "0\r\n\r\n";

	conn->streaming = false;
	conn->busy++;
	end_request(conn);
	if (conn->chunked && !conn->closing)
		h1_conn_write(conn, last_chunk, sizeof(last_chunk) - 1);
	end_response(conn, conn->close_after);
	conn->busy--;
}

void
h1_conn_abort_response(struct h1_conn *conn)
{
	conn->streaming = false;
	end_request(conn); /* prevents on_disconnect() */
	h1_conn_close(conn);
}

int64_t
h1_conn_opened_us(const struct h1_conn *conn)
{
	return conn->opened_us;
}

void
h1_conn_send_text(
    struct h1_conn *conn, int status, const char *type, const char *text)
{
	char headers[128];
	int length =
	    snprintf(headers, sizeof(headers), "Content-Type: %s\r\n", type);

	h1_conn_send_response(conn, &(struct h1_response){
					.status = status,
					.headers = headers,
					.headers_length = (size_t)length,
					.body = text,
					.body_length = strlen(text),
				    });
}
