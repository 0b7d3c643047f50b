/* HTTP/1.1 messages, parsed incrementally as bytes arrive. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "../base/base.h"
#include "h1.h"

#define INITIAL_CAPACITY_BYTES 256 /* enough for a short head */
/*
 * Larger buffers grow by an eighth: what is reserved for a body without a
 * length is its buffer, and half of one that doubles may be unused.
 */
#define DOUBLED_BYTES_MAX (256 * 1024)

int
h1_bytes_reserve(struct h1_bytes *bytes, size_t capacity)
{
	char *grown;

	if (capacity <= bytes->capacity)
		return CS_OK;
	grown = realloc(bytes->data, capacity);
	if (grown == NULL)
		return CS_E_SYSTEM;
	bytes->data = grown;
	bytes->capacity = capacity;
	return CS_OK;
}

int
h1_bytes_add(struct h1_bytes *bytes, const void *data, size_t length)
{
	size_t capacity =
	    bytes->capacity == 0 ? INITIAL_CAPACITY_BYTES : bytes->capacity;

	if (length == 0)
		return CS_OK;
	while (capacity < bytes->length + length)
		capacity +=
		    capacity < DOUBLED_BYTES_MAX ? capacity : capacity / 8;
	if (h1_bytes_reserve(bytes, capacity) != CS_OK)
		return CS_E_SYSTEM;
	memcpy(bytes->data + bytes->length, data, length);
	bytes->length += length;
	return CS_OK;
}

int
h1_bytes_print(struct h1_bytes *bytes, const char *format, ...)
{
	char line[4096];
	va_list args;
	int length;

	va_start(args, format);
	length = vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	if (length < 0 || (size_t)length >= sizeof(line))
		return CS_E_FULL;
	return h1_bytes_add(bytes, line, (size_t)length);
}

int
h1_bytes_add_text(struct h1_bytes *bytes, const char *text)
{
	return h1_bytes_add(bytes, text, strlen(text));
}

int
h1_bytes_add_header(struct h1_bytes *bytes, const char *name, const char *value)
{
	int error = h1_bytes_add_text(bytes, name);

	error |= h1_bytes_add(bytes, ": ", 2);
	error |= h1_bytes_add_text(bytes, value);
	return error | h1_bytes_add(bytes, "\r\n", 2);
}

void
h1_bytes_free(struct h1_bytes *bytes)
{
	free(bytes->data);
	*bytes = (struct h1_bytes){.data = NULL};
}

const char *
h1_header_name(const struct h1_message *message, uint32_t index)
{
	return message->head.data + message->headers[index].name;
}

const char *
h1_header_value(const struct h1_message *message, uint32_t index)
{
	return message->head.data + message->headers[index].value;
}

const char *
h1_target(const struct h1_message *message)
{
	return message->head.data + message->target;
}

bool
h1_path_is(const struct h1_message *request, const char *path)
{
	const char *target = h1_target(request);

	return strcspn(target, "?") == strlen(path) &&
	       strncmp(target, path, strlen(path)) == 0;
}

const char *
h1_query_param(
    const struct h1_message *request, const char *name, size_t *length)
{
	size_t name_length = strlen(name);
	const char *at = strchr(h1_target(request), '?');

	for (; at != NULL; at = strchr(at, '&')) {
		at++;
		*length = strcspn(at, "&");
		if (*length > name_length && at[name_length] == '=' &&
		    strncmp(at, name, name_length) == 0) {
			*length -= name_length + 1;
			return at + name_length + 1;
		}
	}
	return NULL;
}

const char *
h1_find_header(const struct h1_message *message, const char *name)
{
	uint32_t i;

	for (i = 0; i < message->header_count; i++) {
		if (strcasecmp(h1_header_name(message, i), name) == 0)
			return h1_header_value(message, i);
	}
	return NULL;
}

uint32_t
h1_count_headers(const struct h1_message *message, const char *name)
{
	uint32_t i, count = 0;

	for (i = 0; i < message->header_count; i++)
		count += strcasecmp(h1_header_name(message, i), name) == 0;
	return count;
}

static bool
list_contains(const char *list, const char *token)
{
	size_t length = strlen(token);
	const char *at = list;

	while (*at != '\0') {
		at += strspn(at, ", \t");
		if (strncasecmp(at, token, length) == 0 &&
		    strchr(", \t", at[length]) != NULL)
			return true;
		at += strcspn(at, ",");
	}
	return false;
}

bool
h1_is_hop_by_hop(const struct h1_message *message, uint32_t index)
{
	static const char *const names[] = {"connection", "keep-alive",
	    "proxy-authenticate", "proxy-authorization", "proxy-connection",
	    "te", "trailer", "transfer-encoding", "upgrade", "content-length",
	    "expect"};
	const char *name = h1_header_name(message, index);
	const char *connection = h1_find_header(message, "connection");
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	return connection != NULL && list_contains(connection, name);
}

const char *
h1_status_text(int status)
{
	switch (status) {
#define H1_STATUS(number, symbol, text) \
	case number:                    \
		return #text;
		HTTP_STATUS_MAP(H1_STATUS)
#undef H1_STATUS
	default:
		return "Status";
	}
}

static struct h1_reader *
reader_of(http_parser *parser)
{
	return parser->data;
}

static int
fail(struct h1_reader *reader, enum h1_read failure)
{
	reader->failure = failure;
	return -1;
}

static int
add_to_head(struct h1_reader *reader, const char *data, size_t length)
{
	reader->header_bytes += (uint32_t)length;
	if (reader->header_bytes > reader->limits.head_bytes)
		return fail(reader, H1_READ_HEAD_TOO_LARGE);
	if (memchr(data, '\0', length) != NULL)
		return fail(reader, H1_READ_MALFORMED);
	return h1_bytes_add(&reader->message.head, data, length) == 0
		   ? 0
		   : fail(reader, H1_READ_MALFORMED);
}

static int
terminate_text(struct h1_reader *reader)
{
	return h1_bytes_add(&reader->message.head, "", 1);
}

static int
on_url(http_parser *parser, const char *data, size_t length)
{
	return add_to_head(reader_of(parser), data, length);
}

/*
 * http_parser takes a blank for a part of a name, and with it "Content-Length "
 * for a length. The next one to read the message may not (RFC 9110, 5.6.2).
 */
static bool
is_field_name(const char *data, size_t length)
{
	static const char symbols[] = "!#$%&'*+-.^_`|~";
	size_t i;

	for (i = 0; i < length; i++) {
		unsigned char c = (unsigned char)data[i];
		bool alphanumeric = (c >= 'a' && c <= 'z') ||
				    (c >= 'A' && c <= 'Z') ||
				    (c >= '0' && c <= '9');

		if (!alphanumeric &&
		    memchr(symbols, c, sizeof(symbols) - 1) == NULL)
			return false;
	}
	return true;
}

/* No control bytes but tabs (RFC 9110, 5.5). */
static bool
is_field_value(const char *data, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++) {
		unsigned char c = (unsigned char)data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static int
on_field(http_parser *parser, const char *data, size_t length)
{
	struct h1_reader *reader = reader_of(parser);
	struct h1_message *message = &reader->message;

	if (!is_field_name(data, length))
		return fail(reader, H1_READ_MALFORMED);
	if (reader->head_complete)
		return 0; /* trailers are not used */
	if (reader->in_value || message->header_count == 0) {
		if (message->header_count == H1_HEADERS_MAX)
			return fail(reader, H1_READ_HEAD_TOO_LARGE);
		terminate_text(reader);
		message->headers[message->header_count++] =
		    (struct h1_header){.name = (uint32_t)message->head.length};
		reader->in_value = false;
	}
	return add_to_head(reader, data, length);
}

static int
on_value(http_parser *parser, const char *data, size_t length)
{
	struct h1_reader *reader = reader_of(parser);
	struct h1_message *message = &reader->message;

	if (!is_field_value(data, length))
		return fail(reader, H1_READ_MALFORMED);
	if (reader->head_complete)
		return 0;
	if (!reader->in_value) {
		terminate_text(reader);
		message->headers[message->header_count - 1].value =
		    (uint32_t)message->head.length;
		reader->in_value = true;
	}
	return add_to_head(reader, data, length);
}

static bool
has_no_body(const struct h1_reader *reader)
{
	int status = reader->message.status;

	return reader->skip_body || status / 100 == 1 || status == 204 ||
	       status == 304;
}

/*
 * Takes memory for a body of this length in all, and reserves the buffer. A
 * body without a known length grows by doubling, so that only the bytes that it
 * has count: the rest of its buffer is not resident.
 */
static bool
take_body_memory(struct h1_reader *reader, uint64_t length)
{
	if (reader->memory == NULL || length <= reader->taken_bytes)
		return true;
	if (!cs_memory_take(reader->memory, CS_MEMORY_RESPONSES,
		length - reader->taken_bytes))
		return false;
	reader->taken_bytes = length;
	if (reader->message.body.length > 0)
		return true;
	return h1_bytes_reserve(&reader->message.body, length) == CS_OK;
}

static void
return_body_memory(struct h1_reader *reader)
{
	cs_memory_return(
	    reader->memory, CS_MEMORY_RESPONSES, reader->taken_bytes);
	reader->taken_bytes = 0;
}

struct h1_bytes
h1_take_body(const struct h1_message *message, uint64_t *taken_bytes)
{
	/* Every message is part of a reader, which is not constant. */
	struct h1_reader *reader =
	    (struct h1_reader *)((uintptr_t)message -
				 offsetof(struct h1_reader, message));
	struct h1_bytes body = reader->message.body;

	reader->message.body = (struct h1_bytes){.data = NULL};
	*taken_bytes = reader->taken_bytes;
	reader->taken_bytes = 0;
	return body;
}

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599

/*
 * http_parser takes any number of digits for a status, and blanks before it.
 * Returns false for a status line that is none (RFC 9112, 4).
 */
static bool
check_status_line(struct h1_reader *reader, const char *data, size_t length)
{
	size_t i;

	for (i = 0; i < length && reader->status_line != H1_LINE_READ; i++) {
		bool is_end = data[i] == '\r' || data[i] == '\n';

		switch (reader->status_line) {
		case H1_LINE_START: /* empty lines are skipped */
			if (!is_end)
				reader->status_line = H1_LINE_VERSION;
			break;
		case H1_LINE_VERSION:
			if (data[i] == ' ')
				reader->status_line = H1_LINE_CODE;
			break;
		case H1_LINE_CODE:
			if (data[i] >= '0' && data[i] <= '9') {
				reader->code_digits++;
				break;
			}
			if (reader->code_digits != STATUS_DIGITS ||
			    (data[i] != ' ' && !is_end))
				return false;
			reader->status_line = H1_LINE_READ;
			break;
		case H1_LINE_READ:
			break;
		}
		if (reader->code_digits > STATUS_DIGITS)
			return false;
	}
	return true;
}

/* No request asks for another protocol: 101 answers none (RFC 9110, 15.2.2). */
static bool
is_status(unsigned int status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX && status != 101;
}

static int
on_head_complete(http_parser *parser)
{
	struct h1_reader *reader = reader_of(parser);
	struct h1_message *message = &reader->message;
	const char *expect;

	terminate_text(reader);
	reader->head_complete = true;
	message->status = (uint16_t)parser->status_code;
	if (parser->type == HTTP_RESPONSE && !is_status(parser->status_code))
		return fail(reader, H1_READ_MALFORMED);
	message->method =
	    parser->type == HTTP_REQUEST
		? http_method_str((enum http_method)parser->method)
		: "";
	message->keep_alive = http_should_keep_alive(parser) != 0;
	message->framed = parser->type == HTTP_REQUEST || has_no_body(reader) ||
			  (parser->flags & F_CHUNKED) != 0 ||
			  parser->content_length != UINT64_MAX;
	expect = h1_find_header(message, "expect");
	message->expects_continue =
	    expect != NULL && strcasecmp(expect, "100-continue") == 0;
	if (parser->content_length != UINT64_MAX && !has_no_body(reader)) {
		if (parser->content_length > reader->limits.body_bytes)
			return fail(reader, H1_READ_BODY_TOO_LARGE);
		if (!take_body_memory(reader, parser->content_length))
			return fail(reader, H1_READ_NO_MEMORY);
	}
	return parser->type == HTTP_RESPONSE && reader->skip_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t length)
{
	struct h1_reader *reader = reader_of(parser);
	struct h1_bytes *body = &reader->message.body;

	if (body->length + length > reader->limits.body_bytes)
		return fail(reader, H1_READ_BODY_TOO_LARGE);
	if (!take_body_memory(reader, body->length + length))
		return fail(reader, H1_READ_NO_MEMORY);
	return h1_bytes_add(body, data, length) == 0
		   ? 0
		   : fail(reader, H1_READ_MALFORMED);
}

static int
on_complete(http_parser *parser)
{
	reader_of(parser)->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
h1_reader_init(struct h1_reader *reader, enum http_parser_type type,
    struct h1_limits limits)
{
	*reader = (struct h1_reader){.limits = limits};
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
}

/* Larger buffers are freed; enough for the head of an ordinary message. */
#define RETAINED_BYTES_MAX (4 * 1024)

static void
clear_buffer(struct h1_bytes *bytes)
{
	if (bytes->capacity > RETAINED_BYTES_MAX)
		h1_bytes_free(bytes);
	bytes->length = 0;
}

void
h1_reader_next(struct h1_reader *reader)
{
	struct h1_message *message = &reader->message;

	return_body_memory(reader);
	clear_buffer(&message->head);
	clear_buffer(&message->body);
	message->header_count = 0;
	message->target = 0;
	message->status = 0;
	message->method = "";
	message->keep_alive = message->framed = false;
	message->expects_continue = false;
	reader->failure = H1_READ_MORE;
	reader->header_bytes = 0;
	reader->interim_bytes = 0;
	reader->status_line = H1_LINE_START;
	reader->code_digits = 0;
	reader->in_value = reader->started = reader->head_complete = false;
	reader->complete = reader->skip_body = false;
	http_parser_init(
	    &reader->parser, (enum http_parser_type)reader->parser.type);
	reader->parser.data = reader;
}

static bool
is_interim(const struct h1_reader *reader)
{
	int status = reader->message.status;

	return reader->parser.type == HTTP_RESPONSE && status / 100 == 1;
}

enum h1_read
h1_reader_feed(
    struct h1_reader *reader, const char *data, size_t length, size_t *used)
{
	bool skip_body = reader->skip_body, in_head;
	uint64_t interim_bytes;
	size_t parsed;

	*used = 0;
	for (;;) {
		reader->started |= length > 0;
		in_head = !reader->head_complete;
		if (reader->parser.type == HTTP_RESPONSE &&
		    !check_status_line(reader, data, length))
			return reader->failure = H1_READ_MALFORMED;
		parsed = http_parser_execute(
		    &reader->parser, &callbacks, data, length);
		if (in_head)
			reader->interim_bytes += parsed;
		if (reader->failure != H1_READ_MORE)
			return reader->failure;
		if (reader->complete && !is_interim(reader)) {
			*used += parsed;
			return H1_READ_COMPLETE;
		}
		if (reader->complete) { /* interim, such as 100 Continue */
			interim_bytes = reader->interim_bytes;
			h1_reader_next(reader);
			reader->skip_body = skip_body;
			reader->interim_bytes = interim_bytes;
			if (interim_bytes > reader->limits.head_bytes)
				return reader->failure = H1_READ_HEAD_TOO_LARGE;
			*used += parsed;
			data += parsed;
			length -= parsed;
			if (length > 0)
				continue;
			return H1_READ_MORE;
		}
		*used += parsed;
		if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK ||
		    reader->parser.upgrade)
			return reader->failure = H1_READ_MALFORMED;
		return H1_READ_MORE;
	}
}

void
h1_reader_free(struct h1_reader *reader)
{
	return_body_memory(reader);
	h1_bytes_free(&reader->message.head);
	h1_bytes_free(&reader->message.body);
}
