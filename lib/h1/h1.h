/*
 * h1: HTTP/1.1 messages, outgoing connections and a listener on libuv streams.
 *
 * The listener reads a connection even while its request is being processed, so
 * that a disconnected client is detected. http_parser parses the messages.
 */
#ifndef H1_H1_H
#define H1_H1_H

#include <http_parser.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/base.h"
#include "../base/memory.h"

#define H1_HEADERS_MAX 64 /* of one message; clients send far fewer */
#define H1_HEAD_BYTES_MAX (64 * 1024) /* of one message, before its body */

/* A growable byte buffer; data may be NULL while length is 0. */
struct h1_bytes {
	char *data;
	size_t length;
	size_t capacity;
};

int h1_bytes_add(struct h1_bytes *bytes, const void *data, size_t length);
int h1_bytes_print(struct h1_bytes *bytes, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/*
 * h1_bytes_reserve(bytes, capacity): makes room for capacity bytes in total.
 * Returns CS_E_SYSTEM when memory runs out, as h1_bytes_add() does too.
 */
int h1_bytes_reserve(struct h1_bytes *bytes, size_t capacity);
int h1_bytes_add_text(struct h1_bytes *bytes, const char *text);
/* h1_bytes_add_header(bytes, name, value): adds one line with its CRLF. */
int h1_bytes_add_header(
    struct h1_bytes *bytes, const char *name, const char *value);
void h1_bytes_free(struct h1_bytes *bytes);

struct h1_header {
	uint32_t name; /* offsets in the head, NUL-terminated texts */
	uint32_t value;
};

/* One request or response, valid until its reader begins the next one. */
struct h1_message {
	struct h1_bytes head;
	struct h1_bytes body;
	struct h1_header headers[H1_HEADERS_MAX];
	uint32_t header_count;
	uint32_t target; /* offset in the head of the request target */
	const char *method;
	uint16_t status;
	bool keep_alive;
	bool framed; /* has a length, chunks or no body; else ends at close */
	bool expects_continue;
};

/* h1_find_header(message, name): value of a header, or NULL; ignores case. */
const char *h1_find_header(const struct h1_message *message, const char *name);
/* h1_count_headers(message, name): number of headers with this name. */
uint32_t h1_count_headers(const struct h1_message *message, const char *name);
const char *h1_header_name(const struct h1_message *message, uint32_t index);
const char *h1_header_value(const struct h1_message *message, uint32_t index);
const char *h1_target(const struct h1_message *message);
/* h1_path_is(request, path): compares the path of the request target. */
bool h1_path_is(const struct h1_message *request, const char *path);
/*
 * h1_query_param(request, name, length): returns the first value of this name
 * in the query of the request target, of *length bytes, or NULL. It is not
 * percent-decoded.
 */
const char *h1_query_param(
    const struct h1_message *request, const char *name, size_t *length);
/*
 * h1_is_hop_by_hop(message, index): true for a header that must not be
 * forwarded: a hop-by-hop header, one that Connection lists, Content-Length or
 * Expect.
 */
bool h1_is_hop_by_hop(const struct h1_message *message, uint32_t index);
/* h1_status_text(status): returns the reason phrase, never NULL. */
const char *h1_status_text(int status);

enum h1_read {
	H1_READ_MORE = 0, /* the message is not complete yet */
	H1_READ_COMPLETE = 1,
	H1_READ_MALFORMED = -1, /* not HTTP, ambiguous length, or no memory */
	/* Above h1_limits.head_bytes, also of all interim responses. */
	H1_READ_HEAD_TOO_LARGE = -2,
	H1_READ_BODY_TOO_LARGE = -3, /* above h1_limits.body_bytes */
	H1_READ_NO_MEMORY = -4,	     /* the budget has no room for the body */
};

struct h1_limits {
	uint32_t head_bytes;
	uint64_t body_bytes;
};

/* Parses consecutive messages from a byte stream. */
struct h1_reader {
	http_parser parser;
	struct h1_message message;
	struct h1_limits limits;
	/*
	 * Bodies of responses are taken from it, as a whole once the length is
	 * known. NULL: no limit.
	 */
	struct cs_memory *memory;
	uint64_t taken_bytes; /* for the body of this message */
	enum h1_read failure;
	uint32_t header_bytes;
	/*
	 * Of the interim responses before this response, which have the limit
	 * of one head together.
	 */
	uint64_t interim_bytes;
	enum h1_status_line {
		H1_LINE_START,
		H1_LINE_VERSION,
		H1_LINE_CODE,
		H1_LINE_READ,
	} status_line; /* of a response: what comes next */
	uint32_t code_digits;
	bool in_value;
	bool started; /* at least one byte of the message was received */
	bool head_complete;
	bool complete;
	bool skip_body; /* it is a response to HEAD */
};

void h1_reader_init(struct h1_reader *reader, enum http_parser_type type,
    struct h1_limits limits);
/* h1_reader_next(reader): discards the message and begins the next one. */
void h1_reader_next(struct h1_reader *reader);
/*
 * h1_reader_feed(reader, data, length, used): parses at most up to the end of
 * one message. *used is the number of bytes that belong to it. Length 0 means
 * the end of the stream, which completes a response without a length.
 */
enum h1_read h1_reader_feed(
    struct h1_reader *reader, const char *data, size_t length, size_t *used);
void h1_reader_free(struct h1_reader *reader);
/*
 * h1_take_body(message, taken_bytes): moves the body out of a message that a
 * reader holds. *taken_bytes of the reader's memory, of the kind
 * CS_MEMORY_RESPONSES, are now the caller's to return.
 */
struct h1_bytes h1_take_body(
    const struct h1_message *message, uint64_t *taken_bytes);

/* Reason for the end of an outgoing connection. */
enum h1_end {
	H1_END_CONNECT_FAILED, /* the connect failed: nothing was sent */
	H1_END_RESET,
	H1_END_TIMED_OUT, /* the server acknowledged nothing any more */
	H1_END_EOF,	  /* closed by the server before or after a response */
	H1_END_TRUNCATED, /* closed or reset in the middle of a response */
	H1_END_PROTOCOL_ERROR, /* malformed, too large, or extra bytes */
	H1_END_NO_MEMORY,      /* no room for the response in the budget */
};

const char *h1_end_text(enum h1_end end);

struct h1_client_conn;

enum h1_keep {
	H1_CLOSE,
	H1_KEEP,       /* the connection is kept and idle */
	H1_AWAIT_NEXT, /* not the response awaited: wait for the next one */
};

struct h1_client_conn_events {
	/* Connected; nothing is sent yet. May be NULL. */
	void (*on_connect)(struct h1_client_conn *conn);
	/*
	 * The head of a response is complete. Returns true to have the body
	 * passed to on_body() as it arrives instead of being buffered. NULL:
	 * responses are buffered whole.
	 */
	bool (*on_head)(
	    struct h1_client_conn *conn, const struct h1_message *response);
	void (*on_body)(
	    struct h1_client_conn *conn, const char *data, size_t length);
	/* A response is complete. Returns what to do with the connection. */
	enum h1_keep (*on_response)(
	    struct h1_client_conn *conn, const struct h1_message *response);
	/* The connection is closed; the pointer must not be used afterwards. */
	void (*on_end)(struct h1_client_conn *conn, enum h1_end end);
};

struct h1_client_conn_params {
	uv_loop_t *loop;
	struct sockaddr_in address;
	struct h1_limits limits;
	struct cs_memory *memory; /* for responses; must outlive them */
	/*
	 * For an owner that passes responses on as they arrive: less is read at
	 * a time while it is short. NULL: never.
	 */
	const struct cs_memory *relay_memory;
	/*
	 * A body that is sent is not copied: it stays valid and unchanged until
	 * the response is complete or the connection is closed.
	 */
	bool borrows_body;
	/* The connection is reset when sent data is unacknowledged so long. */
	uint32_t unacked_timeout_ms;
	/* Or after so many unanswered keep-alive probes, sent at 1 s each. */
	uint32_t keepalive_probes_max;
	const struct h1_client_conn_events *events;
	void *owner;
};

/*
 * h1_client_conn_open(params, out): starts to connect. A request may be sent at
 * once; it goes out when the connection is established. Returns CS_E_SYSTEM
 * when the connect cannot be started.
 */
int h1_client_conn_open(
    const struct h1_client_conn_params *params, struct h1_client_conn **out);
/*
 * h1_client_conn_send(conn, head, body, skip_body): sends one request; the
 * bytes are copied, except with borrows_body. skip_body: the response has no
 * body (HEAD). Returns CS_E_CONFLICT while another request is pending or the
 * connection is closed.
 */
int h1_client_conn_send(struct h1_client_conn *conn,
    const struct h1_bytes *head, const struct h1_bytes *body, bool skip_body);
/* h1_client_conn_sent(conn): some bytes of the request may have been sent. */
bool h1_client_conn_sent(const struct h1_client_conn *conn);
bool h1_client_conn_connected(const struct h1_client_conn *conn);

/* h1_client_conn_pause(conn, on): stops or resumes reading. */
void h1_client_conn_pause(struct h1_client_conn *conn, bool on);
/* h1_client_conn_close(conn): closes without a callback. */
void h1_client_conn_close(struct h1_client_conn *conn);
void *h1_client_conn_owner(const struct h1_client_conn *conn);
void h1_client_conn_set_owner(struct h1_client_conn *conn, void *owner);

/* A client that receives whole responses and keeps its own connections. */
struct h1_client;
struct h1_exchange;

struct h1_client_response {
	int error; /* CS_OK, CS_E_UNAVAILABLE (not sent) or CS_E_UNKNOWN */
	int status;
	const char *body; /* NUL terminated, valid during the callback */
	size_t body_length;
	/*
	 * For the headers; valid until the callback sends a request. NULL when
	 * there was no response.
	 */
	const struct h1_message *message;
};

struct h1_request {
	struct sockaddr_in address;
	const char *method;
	const char *path;
	const char *headers; /* further lines, each ending in CRLF, or NULL */
	const char *body;
	size_t body_length;
	uint64_t response_bytes_max;
	uint32_t timeout_ms;
	bool reuse; /* use an idle connection, and keep it for later */
	/* As in struct h1_client_conn_params; 0: the client's defaults. */
	uint32_t unacked_timeout_ms;
	uint32_t keepalive_probes_max;
	void (*on_response)(
	    const struct h1_client_response *response, void *user);
	void *user;
};

struct h1_client *h1_client_create(uv_loop_t *loop);
/* h1_client_close(client): cancels all requests, without callbacks. */
void h1_client_close(struct h1_client *client);
/*
 * h1_client_send(client, request): starts one request. on_response is called
 * once, never before this returns; the exchange is valid until then. Returns
 * NULL when memory runs out.
 */
struct h1_exchange *h1_client_send(
    struct h1_client *client, const struct h1_request *request);
/* h1_client_cancel(exchange): cancels the request, without a callback. */
void h1_client_cancel(struct h1_exchange *exchange);

struct h1_server;
struct h1_conn;

struct h1_server_events {
	/* A request is complete. It gets one response, now or later. */
	void (*on_request)(
	    struct h1_conn *conn, const struct h1_message *request);
	/*
	 * The connection closed before the response was complete. What is sent
	 * on it until then is discarded.
	 */
	void (*on_disconnect)(struct h1_conn *conn);
	/* The queued part of a streamed response is written. May be NULL. */
	void (*on_flushed)(struct h1_conn *conn);
	/*
	 * Returns the response to a request that the listener itself rejects
	 * (400, 408, 413, 431, 503). NULL, or returning NULL: a response with
	 * the status alone.
	 */
	const struct h1_response *(*error_response)(void *user, int status);
};

struct h1_server_params {
	uv_loop_t *loop;
	struct sockaddr_in address;
	struct h1_limits limits;
	/* From the first byte to the end of the head; then 408 is sent. */
	uint32_t head_timeout_ms;
	/* Without input between requests, then closes; in a body, then 408. */
	uint32_t idle_timeout_ms;
	/*
	 * When it is reached, the connection that has waited longest between or
	 * within requests is closed, or the new one if all requests are being
	 * processed. The second limit is for one client address, 0: none.
	 */
	uint32_t connections_max;
	uint32_t address_connections_max;
	struct cs_memory *memory; /* NULL: no limit; must outlive the server */
	/*
	 * Memory for the bodies of all requests, reserved as soon as a length
	 * is known. A request whose body exceeds it is rejected with 503.
	 */
	uint64_t bodies_bytes_max;
	const struct h1_server_events *events;
	void *user;
};

/*
 * h1_server_create(params, out): binds and listens. Returns CS_E_SYSTEM when
 * the address cannot be bound. h1_server_stop() closes the listening socket
 * only; connections stay open.
 */
int h1_server_create(
    const struct h1_server_params *params, struct h1_server **out);
/* Connections that the listener has closed to protect the process. */
enum h1_closed {
	H1_CLOSED_MEMORY, /* held most without progress when memory ran short */
	H1_CLOSED_STALLED, /* read nothing for the idle timeout */
	H1_CLOSED_FULL,	   /* connections_max was reached */
	H1_CLOSED_ADDRESS, /* address_connections_max was reached */
	H1_CLOSED_REASONS
};
const char *h1_closed_text(enum h1_closed reason);
uint64_t h1_server_closed(
    const struct h1_server *server, enum h1_closed reason);
void h1_server_set_limits(struct h1_server *server, struct h1_limits limits,
    uint32_t head_timeout_ms, uint32_t idle_timeout_ms);
/*
 * h1_server_drain(server): each connection closes after its next response, or
 * after that to the last request that has arrived before this call.
 */
void h1_server_drain(struct h1_server *server);
/* h1_server_close_idle(server): closes connections between requests. */
void h1_server_close_idle(struct h1_server *server);
void h1_server_stop(struct h1_server *server);
/*
 * h1_server_sweep(server, now): closes connections whose timeout has expired.
 * To be called often: timeouts are checked nowhere else.
 */
void h1_server_sweep(struct h1_server *server, int64_t now_us);
uint32_t h1_server_connections(const struct h1_server *server);
uint32_t h1_server_active_requests(const struct h1_server *server);
/*
 * h1_server_for_each_call(server, visit, arg): calls visit with the call of
 * each request that is not answered yet. visit may answer it.
 */
void h1_server_for_each_call(
    struct h1_server *server, void (*visit)(void *call, void *arg), void *arg);
/* h1_server_unsent(server): number of connections with unsent output. */
uint32_t h1_server_unsent(const struct h1_server *server);
/* h1_server_close_connections(server): closes all connections at once. */
void h1_server_close_connections(struct h1_server *server);
/* h1_server_address(server, text): writes the bound address, "IPV4:PORT". */
void h1_server_address(
    const struct h1_server *server, char text[CS_ADDRESS_BYTES_MAX]);
uint16_t h1_server_port(const struct h1_server *server);

/* A whole response. Each header line ends in CRLF. */
struct h1_response {
	int status;
	const char *headers;
	size_t headers_length;
	const char *body;
	size_t body_length;
	/*
	 * The body of this message, which a reader holds, is taken over instead
	 * of being copied. NULL: body is used.
	 */
	const struct h1_message *body_of;
	bool close;    /* close the connection after this response */
	bool unframed; /* no Content-Length: ends with the connection */
};

/* h1_conn_send_response(conn, response): responds to the pending request. */
void h1_conn_send_response(
    struct h1_conn *conn, const struct h1_response *response);
/*
 * A streamed response: h1_conn_begin_response(), any number of
 * h1_conn_send_body(), then h1_conn_end_response(), or h1_conn_abort_response()
 * so that the client cannot take it for a complete one. Without a length the
 * body is chunked, or for HTTP/1.0 ends with the connection.
 */
struct h1_response_head {
	int status;
	const char *headers; /* each line ends in CRLF */
	size_t headers_length;
	bool sized;
	uint64_t length; /* of the body, if sized */
};
void h1_conn_begin_response(
    struct h1_conn *conn, const struct h1_response_head *head);
void h1_conn_send_body(struct h1_conn *conn, const char *data, size_t length);
void h1_conn_end_response(struct h1_conn *conn);
void h1_conn_abort_response(struct h1_conn *conn);
/*
 * h1_conn_evict(conn, reason): closes a connection to protect the process;
 * unsent output ends with a reset. on_disconnect() is called later, from the
 * loop.
 */
void h1_conn_evict(struct h1_conn *conn, enum h1_closed reason);
/* h1_conn_unsent(conn): number of queued bytes that are not written yet. */
size_t h1_conn_unsent(const struct h1_conn *conn);
/* h1_conn_opened_us(conn): time at which the connection was accepted. */
int64_t h1_conn_opened_us(const struct h1_conn *conn);
/* h1_conn_client(conn): IPv4 address of the client, in network byte order. */
uint32_t h1_conn_client(const struct h1_conn *conn);
/* h1_conn_send_text(conn, status, type, text): sends a short response. */
void h1_conn_send_text(
    struct h1_conn *conn, int status, const char *type, const char *text);
void *h1_conn_user(const struct h1_conn *conn); /* the server's user */
void h1_conn_set_call(struct h1_conn *conn, void *call);
void *h1_conn_call(const struct h1_conn *conn);

#endif
