/*
 * A client for whole answers: one request, one reply, on a connection that is
 * kept for the next. The time limit covers connect, request and answer.
 */
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "h1.h"

/* Shorter than servers commonly keep idle connections. */
#define IDLE_MAX_US 5000000
#define SILENCE_MS 2000 /* unacknowledged bytes: the path is cut */
#define PROBES_LOST_MAX 2

/* One connection, idle or with an exchange. */
struct line {
	struct h1_client *client;
	struct line *next;
	struct h1_channel *channel;
	struct sockaddr_in address;
	struct h1_exchange *exchange; /* NULL: idle */
	int64_t idle_since_us;
};

struct h1_exchange {
	struct h1_client *client;
	struct h1_exchange *next;
	struct line *line; /* NULL: could not be sent */
	uv_timer_t timer;
	bool reuse;
	void (*on_reply)(const struct h1_reply *reply, void *user);
	void *user;
};

struct h1_client {
	uv_loop_t *loop;
	struct line *lines;
	struct h1_exchange *exchanges;
	struct h1_bytes scratch;
};

static void
drop_line(struct line *line)
{
	struct line **at = &line->client->lines;

	while (*at != line)
		at = &(*at)->next;
	*at = line->next;
	if (line->channel != NULL)
		h1_channel_close(line->channel);
	free(line);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void
discard(struct h1_exchange *x)
{
	struct h1_exchange **at = &x->client->exchanges;

	while (*at != x)
		at = &(*at)->next;
	*at = x->next;
	uv_close((uv_handle_t *)&x->timer, on_timer_closed);
}

static void
finish(struct h1_exchange *x, const struct h1_reply *reply)
{
	void (*on_reply)(const struct h1_reply *, void *) = x->on_reply;
	void *user = x->user;

	discard(x);
	on_reply(reply, user);
}

void
h1_client_cancel(struct h1_exchange *x)
{
	if (x->line != NULL)
		drop_line(x->line);
	discard(x);
}

static void
finish_failed(struct h1_exchange *x, bool sent)
{
	finish(x,
	    &(struct h1_reply){
		.error = sent ? CS_E_UNKNOWN : CS_E_UNAVAILABLE, .body = ""});
}

static enum h1_keep
on_answer(struct h1_channel *channel, const struct h1_message *answer)
{
	struct line *line = h1_channel_owner(channel);
	struct h1_exchange *x = line->exchange;
	enum h1_keep keep = answer->keep_alive && x->reuse ? H1_KEEP : H1_CLOSE;
	struct h1_bytes body = {.data = NULL};
	struct h1_reply reply = {.status = answer->status, .answer = answer};

	line->exchange = NULL;
	line->idle_since_us = cs_now_us();
	if (keep == H1_CLOSE) {
		line->channel = NULL; /* closed when this returns */
		drop_line(line);
	}
	/* Copied: the next request may go out on this connection at once. */
	if (h1_bytes_add(&body, answer->body.data, answer->body.length) != 0 ||
	    h1_bytes_add(&body, "", 1) != 0)
		reply.error = CS_E_UNKNOWN;
	reply.body = body.data == NULL ? "" : body.data;
	reply.body_length = answer->body.length;
	finish(x, &reply);
	h1_bytes_free(&body);
	return keep;
}

static void
on_end(struct h1_channel *channel, enum h1_end end)
{
	struct line *line = h1_channel_owner(channel);
	struct h1_exchange *x = line->exchange;
	bool sent = end != H1_END_UNREACHED && h1_channel_sent(channel);

	line->channel = NULL;
	drop_line(line);
	if (x != NULL) {
		x->line = NULL;
		finish_failed(x, sent);
	}
}

static const struct h1_channel_events events = {
    .on_answer = on_answer,
    .on_end = on_end,
};

static void
on_timeout(uv_timer_t *timer)
{
	struct h1_exchange *x = timer->data;
	bool sent = x->line != NULL && h1_channel_sent(x->line->channel);

	if (x->line != NULL)
		drop_line(x->line);
	finish_failed(x, sent);
}

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static struct line *
find_idle(struct h1_client *client, const struct sockaddr_in *address)
{
	int64_t now_us = cs_now_us();
	struct line *line, *next;

	for (line = client->lines; line != NULL; line = next) {
		next = line->next;
		if (line->exchange != NULL)
			continue;
		if (now_us - line->idle_since_us > IDLE_MAX_US)
			drop_line(line);
		else if (same_address(&line->address, address))
			return line;
	}
	return NULL;
}

static struct line *
open_line(struct h1_client *client, const struct h1_request *request)
{
	struct line *line = calloc(1, sizeof(*line));
	struct h1_channel_params params = {
	    .loop = client->loop,
	    .address = request->address,
	    .limits = {H1_HEAD_BYTES_MAX, request->answer_bytes_max},
	    .silence_ms =
		request->silence_ms > 0 ? request->silence_ms : SILENCE_MS,
	    .probes_lost = request->probes_lost > 0 ? request->probes_lost
						    : PROBES_LOST_MAX,
	    .events = &events,
	    .owner = line,
	};

	if (line == NULL)
		return NULL;
	if (h1_channel_open(&params, &line->channel) != CS_OK) {
		free(line);
		return NULL;
	}
	line->client = client;
	line->address = request->address;
	line->next = client->lines;
	client->lines = line;
	return line;
}

static int
write_head(struct h1_bytes *out, const struct h1_request *request)
{
	char authority[CS_ADDRESS_BYTES_MAX];

	out->length = 0;
	cs_format_address(&request->address, authority);
	return h1_bytes_print(out,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    request->method, request->path, authority,
	    request->reuse ? "keep-alive" : "close", request->body_length,
	    request->headers != NULL ? request->headers : "");
}

static void
send_request(struct h1_exchange *x, const struct h1_request *request)
{
	struct h1_client *client = x->client;
	struct h1_bytes body = {
	    .data = (char *)(uintptr_t)request->body, /* only read */
	    .length = request->body_length};
	struct line *line = NULL;

	if (request->reuse)
		line = find_idle(client, &request->address);
	if (line == NULL)
		line = open_line(client, request);
	if (line == NULL)
		return;
	if (write_head(&client->scratch, request) != CS_OK ||
	    h1_channel_send(line->channel, &client->scratch, &body, false) !=
		CS_OK) {
		drop_line(line);
		return;
	}
	line->exchange = x;
	x->line = line;
}

struct h1_exchange *
h1_client_send(struct h1_client *client, const struct h1_request *request)
{
	struct h1_exchange *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	x->client = client;
	x->reuse = request->reuse;
	x->on_reply = request->on_reply;
	x->user = request->user;
	x->next = client->exchanges;
	client->exchanges = x;
	uv_timer_init(client->loop, &x->timer);
	x->timer.data = x;
	send_request(x, request);
	/* What could not be sent is reported from the loop, never from here. */
	uv_timer_start(&x->timer, on_timeout,
	    x->line == NULL ? 0 : request->timeout_ms, 0);
	return x;
}

struct h1_client *
h1_client_create(uv_loop_t *loop)
{
	struct h1_client *client = calloc(1, sizeof(*client));

	if (client != NULL)
		client->loop = loop;
	return client;
}

void
h1_client_close(struct h1_client *client)
{
	while (client->exchanges != NULL)
		h1_client_cancel(client->exchanges);
	while (client->lines != NULL)
		drop_line(client->lines);
	h1_bytes_free(&client->scratch);
	free(client);
}
