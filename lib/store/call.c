/* One call to the store after the other on a connection that is kept. */
#include <stdio.h>
#include <string.h>

#include "store_internal.h"

#define REPLY_BYTES_MAX (4 * 1024 * 1024) /* lists end at about 1 MB */
#define SILENCE_MS 1500 /* unacknowledged bytes: the path is cut */

static void
finish(struct os_call *call, int status, const char *body)
{
	uv_timer_stop(&call->timer);
	call->busy = false;
	call->done(call, status, body);
}

static enum h1_keep
on_answer(struct h1_channel *channel, const struct h1_message *answer)
{
	struct os_call *call = h1_channel_owner(channel);
	bool keep = answer->keep_alive;
	struct h1_bytes body = {.data = NULL};

	if (!keep)
		call->channel = NULL;
	/* Copied: the next call may reuse the channel's buffer. */
	h1_bytes_add(&body, answer->body.data, answer->body.length);
	h1_bytes_add(&body, "", 1);
	finish(call, answer->status, body.data == NULL ? "" : body.data);
	h1_bytes_free(&body);
	return keep ? H1_KEEP : H1_CLOSE;
}

static void
on_end(struct h1_channel *channel, enum h1_end end)
{
	struct os_call *call = h1_channel_owner(channel);

	(void)end;
	call->channel = NULL;
	if (call->busy)
		finish(call, OS_NO_REPLY, "");
}

static const struct h1_channel_events events = {
    .on_answer = on_answer,
    .on_end = on_end,
};

static void
on_timeout(uv_timer_t *timer)
{
	struct os_call *call = timer->data;

	os_call_cancel(call);
	call->done(call, OS_NO_REPLY, "");
}

void
os_call_init(struct os_call *call, struct os_client *client,
    void (*done)(struct os_call *, int, const char *))
{
	call->client = client;
	call->done = done;
	uv_timer_init(client->params.loop, &call->timer);
	call->timer.data = call;
}

void
os_call_cancel(struct os_call *call)
{
	uv_timer_stop(&call->timer);
	call->busy = false;
	if (call->channel != NULL)
		h1_channel_close(call->channel);
	call->channel = NULL;
}

static int
open_channel(struct os_call *call)
{
	const struct os_params *params = &call->client->params;
	struct h1_channel_params channel = {
	    .loop = params->loop,
	    .address = params->address,
	    .limits = {H1_HEAD_BYTES_MAX, REPLY_BYTES_MAX},
	    .silence_ms = SILENCE_MS,
	    .probes_lost = 1, /* a watch waits; its path must prove itself */
	    .events = &events,
	    .owner = call,
	};

	return h1_channel_open(&channel, &call->channel);
}

void
os_call_send(struct os_call *call, const char *method, const char *path,
    const char *body, uint32_t timeout_ms)
{
	struct h1_bytes head = {.data = NULL};
	struct h1_bytes content = {.data = NULL};
	size_t length = body == NULL ? 0 : strlen(body);
	int error = CS_OK;

	call->busy = true;
	call->client->calls++;
	uv_timer_start(&call->timer, on_timeout, timeout_ms, 0);
	if (call->channel == NULL)
		error = open_channel(call);
	if (error == CS_OK)
		error = h1_bytes_print(&head,
		    "%s %s HTTP/1.1\r\nHost: store\r\n"
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    method, path, length);
	if (error == CS_OK)
		error = h1_bytes_add(&content, body, length);
	if (error == CS_OK)
		error = h1_channel_send(call->channel, &head, &content, false);
	h1_bytes_free(&head);
	h1_bytes_free(&content);
	if (error != CS_OK) /* reported by the timer, never from here */
		uv_timer_start(&call->timer, on_timeout, 0, 0);
}

void
os_call_close(struct os_call *call)
{
	os_call_cancel(call);
	uv_close((uv_handle_t *)&call->timer, NULL);
}
