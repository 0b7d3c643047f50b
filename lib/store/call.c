/* Calls to the store, and the delays between retries. */
#include <string.h>

#include "store_internal.h"

#define RESPONSE_BYTES_MAX (4 * 1024 * 1024) /* lists reach about 1 MB */
/*
 * When sent data stays unacknowledged for longer, the network path is broken.
 */
#define UNACKED_TIMEOUT_MS 1500
/* A waiting watch sends no data: only keep-alive probes check its path. */
#define KEEPALIVE_PROBES_MAX 1

#define BACKOFF_FIRST_MS 160
/* Reconnects within the limit on the delay of a configuration. */
#define BACKOFF_MAX_MS 1500

uint32_t
os_backoff_ms(struct os_client *client, uint32_t failures)
{
	uint32_t delay_ms = BACKOFF_FIRST_MS;

	for (; failures > 1 && delay_ms < BACKOFF_MAX_MS; failures--)
		delay_ms *= 2;
	if (delay_ms > BACKOFF_MAX_MS)
		delay_ms = BACKOFF_MAX_MS;
	return delay_ms / 2 + cs_random_below(&client->random, delay_ms);
}

void
os_set_reachable(struct os_client *client, bool reachable, const char *reason)
{
	if (client->reachable == reachable)
		return;
	client->reachable = reachable;
	client->params.events->on_reachability(
	    client->params.user, reachable, reason);
}

static void
on_response(const struct h1_client_response *response, void *user)
{
	struct os_call *call = user;
	struct os_client *client = call->client;
	uint64_t era = os_response_era(client->params.codec, response);
	int status =
	    response->error == CS_OK ? response->status : OS_NO_RESPONSE;

	call->exchange = NULL;
	if (era > client->era) {
		client->era = era;
		if (client->responded && client->restart(client, call))
			return;
	} else if (era < client->era && status != OS_NO_RESPONSE) {
		status = OS_STATUS_OLD_ERA;
	}
	client->responded |= status != OS_NO_RESPONSE;
	call->done(call, status,
	    &(struct os_text){response->body, response->body_length});
}

void
os_call_init(struct os_call *call, struct os_client *client,
    void (*done)(struct os_call *, int, const struct os_text *))
{
	*call = (struct os_call){.client = client, .done = done};
}

bool
os_call_pending(const struct os_call *call)
{
	return call->exchange != NULL;
}

void
os_call_cancel(struct os_call *call)
{
	if (call->exchange != NULL)
		h1_client_cancel(call->exchange);
	call->exchange = NULL;
}

void
os_call_send(struct os_call *call, const char *method, const char *path,
    const char *body, uint32_t timeout_ms)
{
	struct os_client *client = call->client;

	client->calls++;
	call->exchange = h1_client_send(
	    client->http, &(struct h1_request){
			      .address = client->params.address,
			      .method = method,
			      .path = path,
			      .headers = "Content-Type: application/json\r\n",
			      .body = body,
			      .body_length = body == NULL ? 0 : strlen(body),
			      .response_bytes_max = RESPONSE_BYTES_MAX,
			      .timeout_ms = timeout_ms,
			      .reuse = true,
			      .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
			      .keepalive_probes_max = KEEPALIVE_PROBES_MAX,
			      .on_response = on_response,
			      .user = call,
			  });
}
