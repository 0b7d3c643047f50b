/* Lists the kind of this VM's own object: which VMs have registered. */
#include "store_internal.h"

#define LIST_TIMEOUT_MS 1000 /* a slow store responds in about 270 ms */

static int
request_page(struct os_client *client)
{
	char path[OS_PATH_BYTES_MAX];

	if (client->params.codec->list_path(path, client->params.own_kind,
		client->own_pages.after) != CS_OK)
		return CS_E_INVALID;
	os_call_send(&client->own_list, "GET", path, NULL, LIST_TIMEOUT_MS);
	return CS_OK;
}

static void
on_response(struct os_call *call, int status, const struct os_text *body)
{
	struct os_client *client = call->client;
	struct os_batch batch = {.count = 0};

	if (status != 200 ||
	    os_pages_read(&client->own_pages, client->params.codec,
		client->params.own_kind, body, &batch) != CS_OK) {
		client->own_list_done(client->params.user, NULL);
		return;
	}
	client->own_list_done(client->params.user, &batch);
	if (client->own_pages.after != NULL && request_page(client) != CS_OK)
		client->own_list_done(client->params.user, NULL);
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
	os_pages_reset(&client->own_pages);
	return request_page(client);
}
