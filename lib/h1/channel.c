/* Outgoing connections, each with at most one request at a time. */
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1.h"

/*
 * TCP keep-alive probes detect a server that lost power before it sent its
 * response.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1

#define READ_BYTES_MAX (64 * 1024) /* the size that libuv suggests */

struct h1_channel {
	uv_tcp_t tcp; /* first member: handles are cast to channels */
	uv_connect_t connect_request;
	uv_write_t write_request;
	struct h1_reader reader;
	struct h1_bytes out;
	const struct h1_channel_events *events;
	void *owner;

	uint32_t unacked_timeout_ms;
	uint32_t keepalive_probes_max;
	bool connected;
	bool awaiting_response;
	bool head_delivered;
	bool streaming; /* the body goes to on_body() as it arrives */
	bool write_pending;
	bool sent;
	bool closing;
};

const char *
h1_end_text(enum h1_end end)
{
	switch (end) {
	case H1_END_UNREACHED:
		return "unreached";
	case H1_END_RESET:
		return "reset";
	case H1_END_EOF:
		return "closed";
	case H1_END_BROKEN:
		return "broken_off";
	case H1_END_BAD:
		return "not_an_answer";
	}
	return "unknown";
}

static void
on_closed(uv_handle_t *handle)
{
	struct h1_channel *channel = (struct h1_channel *)handle;

	h1_reader_free(&channel->reader);
	h1_bytes_free(&channel->out);
	free(channel);
}

void
h1_channel_close(struct h1_channel *channel)
{
	if (channel->closing)
		return;
	channel->closing = true;
	uv_close((uv_handle_t *)&channel->tcp, on_closed);
}

static void
end_channel(struct h1_channel *channel, enum h1_end why)
{
	if (channel->closing)
		return;
	h1_channel_close(channel);
	channel->events->on_end(channel, why);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	/* Shared by all channels: one loop reads one of them at a time. */
	static char bytes[READ_BYTES_MAX];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(bytes, sizeof(bytes));
}

/*
 * Passes a complete response to the owner; returns false when the channel is
 * closed afterwards. A channel is not reused after a response that is followed
 * by further bytes: these belong to no request.
 */
static bool
deliver_response(struct h1_channel *channel, bool has_trailing_bytes)
{
	struct h1_message *response = &channel->reader.message;
	bool reusable =
	    response->keep_alive && response->framed && !channel->write_pending;
	bool skip_body = channel->reader.skip_body;

	response->keep_alive = reusable && !has_trailing_bytes;
	channel->awaiting_response = false;
	switch (channel->events->on_answer(channel, response)) {
	case H1_READ_NEXT:
		channel->awaiting_response = true;
		if (!reusable) {
			end_channel(channel, H1_END_BROKEN);
			return false;
		}
		h1_reader_next(&channel->reader);
		channel->reader.skip_body = skip_body;
		return true;
	case H1_KEEP: /* the callback may have sent the next request */
		break;
	case H1_CLOSE:
		h1_channel_close(channel);
		return false;
	}
	if (channel->closing)
		return false;
	if (!channel->awaiting_response)
		h1_reader_next(&channel->reader);
	return true;
}

/*
 * Passes on the head, once, and the body received so far; returns false when
 * the channel is closed.
 */
static bool
deliver_partial_response(struct h1_channel *channel)
{
	struct h1_message *response = &channel->reader.message;

	if (channel->events->on_head == NULL || !channel->reader.head_complete)
		return true;
	if (!channel->head_delivered) {
		channel->head_delivered = true;
		channel->streaming =
		    channel->events->on_head(channel, response);
	}
	if (!channel->closing && channel->streaming &&
	    response->body.length > 0)
		channel->events->on_body(
		    channel, response->body.data, response->body.length);
	if (channel->streaming)
		response->body.length = 0;
	return !channel->closing;
}

static void
process_input(struct h1_channel *channel, const char *data, size_t length)
{
	enum h1_read read;
	size_t used;

	while (length > 0) {
		if (!channel->awaiting_response) {
			end_channel(channel, H1_END_BAD);
			return;
		}
		read = h1_reader_feed(&channel->reader, data, length, &used);
		if (read >= 0 && !deliver_partial_response(channel))
			return;
		switch (read) {
		case H1_READ_MORE:
			return;
		case H1_READ_COMPLETE:
			if (!deliver_response(channel, used < length))
				return;
			break;
		case H1_READ_MALFORMED:
		case H1_READ_HEAD_TOO_LARGE:
		case H1_READ_BODY_TOO_LARGE:
			end_channel(channel, H1_END_BAD);
			return;
		}
		data += used;
		length -= used;
	}
}

static void
on_end_of_stream(struct h1_channel *channel, bool clean)
{
	struct h1_reader *reader = &channel->reader;
	size_t used;

	if (!channel->awaiting_response || !reader->started) {
		end_channel(channel, clean ? H1_END_EOF : H1_END_RESET);
		return;
	}
	if (clean && reader->head_complete && !reader->message.framed &&
	    h1_reader_feed(reader, NULL, 0, &used) == H1_READ_COMPLETE) {
		if (deliver_response(channel, false))
			end_channel(channel, H1_END_EOF);
		return;
	}
	end_channel(channel, H1_END_BROKEN);
}

/*
 * libuv reports an end of stream also when a reset follows directly after the
 * last bytes. The socket's error state distinguishes the two.
 */
static bool
was_reset(const struct h1_channel *channel)
{
	int error = 0;
	socklen_t length = sizeof(error);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&channel->tcp, &fd) != 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
		return true;
	return error != 0;
}

static void
on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct h1_channel *channel = (struct h1_channel *)stream;

	if (length > 0)
		process_input(channel, buffer->base, (size_t)length);
	else if (length < 0)
		on_end_of_stream(
		    channel, length == UV_EOF && !was_reset(channel));
}

static void
on_written(uv_write_t *request, int status)
{
	struct h1_channel *channel = request->data;

	channel->write_pending = false;
	if (status < 0 && status != UV_ECANCELED)
		end_channel(channel, H1_END_RESET);
}

static void
flush(struct h1_channel *channel)
{
	uv_stream_t *stream = (uv_stream_t *)&channel->tcp;
	uv_buf_t buffer =
	    uv_buf_init(channel->out.data, (unsigned)channel->out.length);
	int written;

	if (channel->out.length == 0)
		return;
	written = uv_try_write(stream, &buffer, 1);
	channel->sent = written > 0;
	if (written == (int)channel->out.length)
		return;
	if (written < 0 && written != UV_EAGAIN)
		return; /* nothing sent; the read callback reports the end */
	if (written > 0) {
		buffer.base += written;
		buffer.len -= (unsigned)written;
	}
	channel->sent = true;
	channel->write_request.data = channel;
	channel->write_pending = uv_write(&channel->write_request, stream,
				     &buffer, 1, on_written) == 0;
}

static void
set_socket_options(struct h1_channel *channel)
{
	unsigned unacked_timeout_ms = channel->unacked_timeout_ms;
	int one = 1, idle_s = KEEPALIVE_IDLE_S,
	    interval_s = KEEPALIVE_INTERVAL_S;
	int probes_max = (int)channel->keepalive_probes_max;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&channel->tcp, &fd) != 0)
		return;
	/* If an option fails, a dead server is only detected later. */
	uv_tcp_nodelay(&channel->tcp, 1);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPCNT, &probes_max, sizeof(probes_max));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_timeout_ms,
	    sizeof(unacked_timeout_ms));
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct h1_channel *channel = request->data;

	if (channel->closing)
		return;
	if (status < 0) {
		end_channel(channel, H1_END_UNREACHED);
		return;
	}
	channel->connected = true;
	if (channel->events->on_connect != NULL)
		channel->events->on_connect(channel);
	if (channel->closing)
		return;
	uv_read_start((uv_stream_t *)&channel->tcp, on_alloc, on_read);
	flush(channel);
}

int
h1_channel_open(const struct h1_channel_params *params, struct h1_channel **out)
{
	struct h1_channel *channel = calloc(1, sizeof(*channel));

	if (channel == NULL)
		return CS_E_SYSTEM;
	channel->events = params->events;
	channel->owner = params->owner;
	channel->unacked_timeout_ms = params->silence_ms;
	channel->keepalive_probes_max = params->probes_lost;

	h1_reader_init(&channel->reader, HTTP_RESPONSE, params->limits);
	if (uv_tcp_init_ex(params->loop, &channel->tcp, AF_INET) != 0) {
		free(channel);
		return CS_E_SYSTEM;
	}
	set_socket_options(channel);
	channel->connect_request.data = channel;
	if (uv_tcp_connect(&channel->connect_request, &channel->tcp,
		(const struct sockaddr *)&params->address, on_connect) != 0) {
		h1_channel_close(channel);
		return CS_E_SYSTEM;
	}
	*out = channel;
	return CS_OK;
}

int
h1_channel_send(struct h1_channel *channel, const struct h1_bytes *head,
    const struct h1_bytes *body, bool skip_body)
{
	if (channel->awaiting_response || channel->write_pending ||
	    channel->closing)
		return CS_E_CONFLICT;
	channel->out.length = 0;
	if (h1_bytes_reserve(&channel->out,
		head->length + (body == NULL ? 0 : body->length)) != 0 ||
	    h1_bytes_add(&channel->out, head->data, head->length) != 0 ||
	    (body != NULL &&
		h1_bytes_add(&channel->out, body->data, body->length) != 0))
		return CS_E_SYSTEM;
	h1_reader_next(&channel->reader);
	channel->awaiting_response = true;
	channel->sent = channel->head_delivered = channel->streaming = false;
	channel->reader.skip_body = skip_body;
	if (channel->connected)
		flush(channel);
	return CS_OK;
}

void
h1_channel_pause(struct h1_channel *channel, bool on)
{
	if (channel->closing || !channel->connected)
		return;
	if (on)
		uv_read_stop((uv_stream_t *)&channel->tcp);
	else
		uv_read_start((uv_stream_t *)&channel->tcp, on_alloc, on_read);
}

bool
h1_channel_sent(const struct h1_channel *channel)
{
	return channel->sent;
}

bool
h1_channel_connected(const struct h1_channel *channel)
{
	return channel->connected;
}

void *
h1_channel_owner(const struct h1_channel *channel)
{
	return channel->owner;
}

void
h1_channel_set_owner(struct h1_channel *channel, void *owner)
{
	channel->owner = owner;
}
