/*
 * h1: HTTP/1.1 messages, outgoing channels and a listener on libuv streams.
 *
 * The listener goes on reading a connection while its request is answered, so
 * that a caller that leaves is noticed. Messages are parsed by http_parser.
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

#define H1_HEADERS_MAX 64 /* of one message: far over what callers send */
#define H1_HEAD_BYTES_MAX (64 * 1024) /* of one message, before its body */

/* A growing byte string; bytes may be NULL while length is 0. */
struct h1_bytes {
	char *data;
	size_t length;
	size_t capacity;
};

int h1_bytes_add(struct h1_bytes *bytes, const void *data, size_t length);
int h1_bytes_print(struct h1_bytes *bytes, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* h1_bytes_reserve(bytes, capacity): room for so many in all. */
int h1_bytes_reserve(struct h1_bytes *bytes, size_t capacity);
int h1_bytes_add_text(struct h1_bytes *bytes, const char *text);
/* h1_bytes_add_header(bytes, name, value): one line with its end. */
int h1_bytes_add_header(
    struct h1_bytes *bytes, const char *name, const char *value);
void h1_bytes_free(struct h1_bytes *bytes);

struct h1_header {
	uint32_t name; /* offsets into the message's head, NUL terminated */
	uint32_t value;
};

/* One request or response, valid until its owner reads the next one. */
struct h1_message {
	struct h1_bytes head;
	struct h1_bytes body;
	struct h1_header headers[H1_HEADERS_MAX];
	uint32_t header_count;
	uint32_t target; /* offset of the request's target */
	const char *method;
	uint16_t status;
	bool keep_alive;
	bool framed; /* a length, chunks or no body; else ends at close */
	bool expects_continue;
};

/* h1_find(message, name): a header's value, or NULL; case is ignored. */
const char *h1_find(const struct h1_message *message, const char *name);
/* h1_count(message, name): how many headers have this name. */
uint32_t h1_count(const struct h1_message *message, const char *name);
const char *h1_name(const struct h1_message *message, uint32_t index);
const char *h1_value(const struct h1_message *message, uint32_t index);
const char *h1_target(const struct h1_message *message);
/* h1_path_is(request, path): compares the target without its query. */
bool h1_path_is(const struct h1_message *request, const char *path);
/*
 * h1_query(request, name, length): the first value of that name in the
 * target's query, *length bytes, or NULL. Nothing is unescaped.
 */
const char *h1_query(
    const struct h1_message *request, const char *name, size_t *length);
/*
 * h1_concerns_channel(message, index): the header describes one connection
 * only (hop-by-hop) and must not be forwarded.
 */
bool h1_concerns_channel(const struct h1_message *message, uint32_t index);
/* h1_status_text(status): the reason phrase, never NULL. */
const char *h1_status_text(int status);

enum h1_read {
	H1_READ_MORE = 0, /* needs more bytes */
	H1_READ_COMPLETE = 1,
	H1_READ_MALFORMED = -1,	     /* not HTTP, or framed ambiguously */
	H1_READ_HEAD_TOO_LARGE = -2, /* over the limit of the head */
	H1_READ_BODY_TOO_LARGE = -3, /* over the limit of the body */
};

struct h1_limits {
	uint32_t head_bytes;
	uint64_t body_bytes;
};

/* Reads one message after the other from a byte stream. */
struct h1_reader {
	http_parser parser;
	struct h1_message message;
	struct h1_limits limits;
	enum h1_read failure;
	uint32_t header_bytes;
	bool in_value;
	bool started; /* a byte of the current message was read */
	bool head_complete;
	bool complete;
	bool skip_body; /* answer to HEAD */
};

void h1_reader_init(struct h1_reader *reader, enum http_parser_type type,
    struct h1_limits limits);
/* h1_reader_next(reader): forgets the message, ready for the next. */
void h1_reader_next(struct h1_reader *reader);
/*
 * h1_reader_feed(reader, data, length, used): parses up to the end of one
 * message. *used tells how many bytes belong to it. Length 0 tells the end of
 * the stream, which completes a response without a length.
 */
enum h1_read h1_reader_feed(
    struct h1_reader *reader, const char *data, size_t length, size_t *used);
void h1_reader_free(struct h1_reader *reader);

/* Why an outgoing channel ended. */
enum h1_end {
	H1_END_UNREACHED, /* never connected: nothing was sent */
	H1_END_RESET,
	H1_END_EOF,    /* closed by the other side outside an answer */
	H1_END_BROKEN, /* closed or reset in the middle of an answer */
	H1_END_BAD,    /* bytes that are no answer, or that belong to none */
};

const char *h1_end_text(enum h1_end end);

struct h1_channel;

enum h1_keep {
	H1_CLOSE,
	H1_KEEP,      /* idle again */
	H1_READ_NEXT, /* this answer was not the one waited for */
};

struct h1_channel_events {
	/* Connected, nothing is sent yet. May be NULL. */
	void (*on_connect)(struct h1_channel *channel);
	/*
	 * The head of an answer; true: its body goes to on_body() piece by
	 * piece and is not held. NULL: answers are held whole.
	 */
	bool (*on_head)(
	    struct h1_channel *channel, const struct h1_message *response);
	void (*on_body)(
	    struct h1_channel *channel, const char *data, size_t length);
	/* A whole answer; says what becomes of the channel. */
	enum h1_keep (*on_answer)(
	    struct h1_channel *channel, const struct h1_message *response);
	/* The channel is gone; the pointer must not be used afterwards. */
	void (*on_end)(struct h1_channel *channel, enum h1_end end);
};

struct h1_channel_params {
	uv_loop_t *loop;
	struct sockaddr_in address;
	struct h1_limits limits;
	uint32_t silence_ms;  /* unacknowledged bytes break the channel off */
	uint32_t probes_lost; /* keep-alive probes that do, at 1 s each */
	const struct h1_channel_events *events;
	void *owner;
};

/*
 * h1_channel_open(params, out): starts to connect. Requests may be sent at
 * once; they go out when the connection is made. Returns CS_E_SYSTEM when no
 * socket could be made.
 */
int h1_channel_open(
    const struct h1_channel_params *params, struct h1_channel **out);
/*
 * h1_channel_send(channel, head, body, skip_body): sends one request; the
 * bytes are copied. Returns CS_E_CONFLICT while another is not answered.
 */
int h1_channel_send(struct h1_channel *channel, const struct h1_bytes *head,
    const struct h1_bytes *body, bool skip_body);
/* h1_channel_sent(channel): any byte of the request may have left. */
bool h1_channel_sent(const struct h1_channel *channel);
bool h1_channel_connected(const struct h1_channel *channel);

/* h1_channel_pause(channel, on): stops or goes on reading. */
void h1_channel_pause(struct h1_channel *channel, bool on);
/* h1_channel_close(channel): closes without a callback. */
void h1_channel_close(struct h1_channel *channel);
void *h1_channel_owner(const struct h1_channel *channel);
void h1_channel_set_owner(struct h1_channel *channel, void *owner);

/* A client for whole answers, with connections of its own. */
struct h1_client;
struct h1_exchange;

struct h1_reply {
	int error; /* CS_OK, CS_E_UNAVAILABLE (not sent) or CS_E_UNKNOWN */
	int status;
	const char *body; /* NUL terminated, valid during the callback */
	size_t body_length;
	/* For its headers, until the callback sends another request. */
	const struct h1_message *answer; /* NULL with an error */
};

struct h1_request {
	struct sockaddr_in address;
	const char *method;
	const char *path;
	const char *headers; /* further lines, each ending in \r\n, or NULL */
	const char *body;
	size_t body_length;
	uint64_t answer_bytes_max;
	uint32_t timeout_ms;
	bool reuse; /* may use, and leave, an open connection */
	/* As in struct h1_channel_params; 0: the client's usual ones. */
	uint32_t silence_ms;
	uint32_t probes_lost;
	void (*on_reply)(const struct h1_reply *reply, void *user);
	void *user;
};

struct h1_client *h1_client_create(uv_loop_t *loop);
/* h1_client_close(client): cancels what is under way, without callbacks. */
void h1_client_close(struct h1_client *client);
/*
 * h1_client_send(client, request): starts one request; on_reply is called
 * once, later. The exchange is valid until then; NULL when memory ran out.
 */
struct h1_exchange *h1_client_send(
    struct h1_client *client, const struct h1_request *request);
/* h1_client_cancel(exchange): gives it up, without a callback. */
void h1_client_cancel(struct h1_exchange *exchange);

struct h1_server;
struct h1_conn;

struct h1_server_events {
	/* A whole request; it is answered once, now or later. */
	void (*on_request)(
	    struct h1_conn *conn, const struct h1_message *request);
	/* The caller left before its answer was complete. */
	void (*on_gone)(struct h1_conn *conn);
	/* All pieces of an answer so far are out. May be NULL. */
	void (*on_drained)(struct h1_conn *conn);
	/*
	 * What a request refused by the listener itself (400, 408, 413, 431,
	 * 503) is answered. NULL, or returning NULL: the status alone.
	 */
	const struct h1_answer *(*refusal)(void *user, int status);
};

struct h1_server_params {
	uv_loop_t *loop;
	struct sockaddr_in address;
	struct h1_limits limits;
	uint32_t head_timeout_ms; /* first byte to whole head, else 408 */
	uint32_t idle_timeout_ms; /* between requests, else closed */
	uint32_t connections_max;
	/*
	 * Bodies of all requests together, reserved as soon as a length is
	 * known; what does not fit is refused with 503.
	 */
	uint64_t bodies_bytes_max;
	const struct h1_server_events *events;
	void *user;
};

/*
 * h1_server_create(params, out): binds and listens. Returns CS_E_SYSTEM when
 * the address cannot be bound. h1_server_stop() closes the listener alone.
 */
int h1_server_create(
    const struct h1_server_params *params, struct h1_server **out);
void h1_server_set_limits(struct h1_server *server, struct h1_limits limits,
    uint32_t head_timeout_ms, uint32_t idle_timeout_ms);
/* h1_server_drain(server): every further answer ends its connection. */
void h1_server_drain(struct h1_server *server);
/* h1_server_close_idle(server): closes connections without a request. */
void h1_server_close_idle(struct h1_server *server);
void h1_server_stop(struct h1_server *server);
/* h1_server_sweep(server, now): closes what is over its time; call often. */
void h1_server_sweep(struct h1_server *server, int64_t now_us);
uint32_t h1_server_connections(const struct h1_server *server);
uint32_t h1_server_active_requests(const struct h1_server *server);
/* h1_server_unsent(server): connections whose answers are not out yet. */
uint32_t h1_server_unsent(const struct h1_server *server);
/* h1_server_cut(server): breaks every connection off. */
void h1_server_cut(struct h1_server *server);
/* h1_server_address(server, text): the bound address, "IPV4:PORT". */
void h1_server_address(
    const struct h1_server *server, char text[CS_ADDRESS_BYTES_MAX]);
uint16_t h1_server_port(const struct h1_server *server);

/* What is sent to a caller. The headers end in \r\n each. */
struct h1_answer {
	int status;
	const char *headers;
	size_t headers_length;
	const char *body;
	size_t body_length;
	bool close;    /* the connection ends with this answer */
	bool unframed; /* its end is the connection's end, no length is told */
};

/* h1_conn_answer(conn, response): answers the request of this connection. */
void h1_conn_answer(struct h1_conn *conn, const struct h1_answer *response);
/*
 * An answer in pieces: h1_conn_begin(), h1_conn_piece() any number of times,
 * then h1_conn_finish(), or h1_conn_abort() so that it cannot pass for whole.
 * Without a length it is sent in chunks.
 */
struct h1_answer_head {
	int status;
	const char *headers; /* end in \r\n each */
	size_t headers_length;
	bool sized;
	uint64_t length; /* of the body, when sized */
};
void h1_conn_begin(struct h1_conn *conn, const struct h1_answer_head *head);
void h1_conn_piece(struct h1_conn *conn, const char *data, size_t length);
void h1_conn_finish(struct h1_conn *conn);
void h1_conn_abort(struct h1_conn *conn);
/* h1_conn_unsent(conn): bytes of the answer that are not out yet. */
size_t h1_conn_unsent(const struct h1_conn *conn);
/* h1_conn_opened_us(conn): when the connection was accepted. */
int64_t h1_conn_opened_us(const struct h1_conn *conn);
/* h1_conn_reply(conn, status, type, text): a short answer. */
void h1_conn_reply(
    struct h1_conn *conn, int status, const char *type, const char *text);
void *h1_conn_user(const struct h1_conn *conn); /* the server's user */
void h1_conn_set_call(struct h1_conn *conn, void *call);
void *h1_conn_call(const struct h1_conn *conn);
/* h1_conn_peer(conn): the caller's IPv4 address, host byte order. */
uint32_t h1_conn_peer(const struct h1_conn *conn);

#endif
