/* Lists the kind of this VM's own object: which VMs have registered. */
#include <stdlib.h>

#include "store_internal.h"

#define LIST_TIMEOUT_MS 1000 /* a slow store responds in about 270 ms */

static int
request_page(struct os_client *client, const char *after)
{
	char path[OS_PATH_BYTES_MAX];

	if (client->params.codec->list_path(
		path, client->params.own_kind, after) != CS_OK)
		return CS_E_INVALID;
	os_call_send(&client->own_list, "GET", path, NULL, LIST_TIMEOUT_MS);
	return CS_OK;
}

static void
on_response(struct os_call *call, int status, const struct os_text *body)
{
	struct os_client *client = call->client;
	struct os_batch batch = {.count = 0};
	char *after;

	if (status != 200 ||
	    client->params.codec->parse_list(body, &batch, &after) != CS_OK) {
		client->own_list_done(client->params.user, NULL);
		return;
	}
	client->own_list_done(client->params.user, &batch);
	if (after != NULL && request_page(client, after) != CS_OK)
		client->own_list_done(client->params.user, NULL);
	free(after);
	os_batch_free(&batch);
}

void
os_own_list_init(struct os_client *client)
{
	os_call_init(&client->own_list, client, on_response);
}

int
os_client_list_own(struct os_client *client,
    void (*done)(void *user, const struct os_batch *batch))
{
	if (os_call_pending(&client->own_list))
		return CS_E_CONFLICT;
	client->own_list_done = done;
	return request_page(client, NULL);
}
