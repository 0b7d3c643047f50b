/* Calls of the object API as HTTP requests. */
#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "../http/http.h"

#define CALL_TIMEOUT_MS 2000
#define URL_PREFIX "http://"
#define PATH_BYTES_MAX 256

struct pf_client {
	struct ht_client *http;
	struct sockaddr_in address;
	uint64_t calls;
};

struct call {
	pf_result_cb cb;
	void *user;
};

int
pf_create(uv_loop_t *loop, const char *url, struct pf_client **out)
{
	struct sockaddr_in address;
	struct pf_client *client;

	if (strncmp(url, URL_PREFIX, strlen(URL_PREFIX)) != 0 ||
	    cs_parse_address(url + strlen(URL_PREFIX), &address) != CS_OK)
		return CS_E_INVALID;
	client = calloc(1, sizeof(*client));
	if (client == NULL)
		return CS_E_SYSTEM;
	client->address = address;
	client->http = ht_client_create(loop);
	*out = client;
	return CS_OK;
}

void
pf_close(struct pf_client *client)
{
	ht_client_close(client->http);
	free(client);
}

uint64_t
pf_calls(const struct pf_client *client)
{
	return client->calls;
}

static int
error_of(const struct ht_response *response)
{
	if (response->error != CS_OK)
		return response->error;
	switch (response->status) {
	case 200:
		return CS_OK;
	case 304:
		return CS_E_STALE;
	case 404:
		return CS_E_MISSING;
	case 409:
		return CS_E_CONFLICT;
	case 429: /* over its rate: refused before it had any effect */
		return CS_E_UNAVAILABLE;
	default:
		return CS_E_UNKNOWN;
	}
}

static void
on_response(const struct ht_response *response, void *user)
{
	struct call *call = user;
	struct pf_result result = {
	    .error = error_of(response),
	    .version = response->version,
	    .value = response->body,
	    .value_bytes = response->body_bytes,
	};

	call->cb(&result, call->user);
	free(call);
}

static void
send_call(struct pf_client *client, struct ht_request *request, pf_result_cb cb,
    void *user)
{
	struct call *call = malloc(sizeof(*call));

	*call = (struct call){.cb = cb, .user = user};
	request->address = client->address;
	request->answer_bytes_max = 4 * PF_VALUE_BYTES_MAX;
	request->on_response = on_response;
	request->user = call;
	if (request->timeout_ms == 0)
		request->timeout_ms = CALL_TIMEOUT_MS;
	client->calls++;
	if (ht_client_send(client->http, request) != CS_OK) {
		on_response(
		    &(struct ht_response){.error = CS_E_UNAVAILABLE}, call);
	}
}

static void
object_path(char path[PATH_BYTES_MAX], const char *name)
{
	snprintf(path, PATH_BYTES_MAX, "/v1/objects/%s", name);
}

void
pf_get(struct pf_client *client, const char *name, pf_result_cb cb, void *user)
{
	char path[PATH_BYTES_MAX];

	object_path(path, name);
	send_call(client, &(struct ht_request){.method = "GET", .path = path},
	    cb, user);
}

void
pf_watch(struct pf_client *client, const char *name, uint64_t after,
    pf_result_cb cb, void *user)
{
	char path[PATH_BYTES_MAX];

	snprintf(path, sizeof(path), "/v1/objects/%s?after=%llu&wait_ms=%d",
	    name, (unsigned long long)after, PF_WATCH_MS);
	send_call(client,
	    &(struct ht_request){
		.method = "GET",
		.path = path,
		.timeout_ms = PF_WATCH_MS + CALL_TIMEOUT_MS,
	    },
	    cb, user);
}

void
pf_put(struct pf_client *client, const char *name, uint64_t expected,
    const char *value, size_t value_bytes, pf_result_cb cb, void *user)
{
	char path[PATH_BYTES_MAX], header[64];

	object_path(path, name);
	header[0] = '\0';
	if (expected != PF_ANY_VERSION)
		snprintf(header, sizeof(header), "If-Version: %llu\r\n",
		    (unsigned long long)expected);
	send_call(client,
	    &(struct ht_request){
		.method = "PUT",
		.path = path,
		.headers = header,
		.body = value,
		.body_bytes = value_bytes,
	    },
	    cb, user);
}

void
pf_delete(
    struct pf_client *client, const char *name, pf_result_cb cb, void *user)
{
	char path[PATH_BYTES_MAX];

	object_path(path, name);
	send_call(client,
	    &(struct ht_request){.method = "DELETE", .path = path}, cb, user);
}

void
pf_list(
    struct pf_client *client, const char *prefix, pf_result_cb cb, void *user)
{
	char path[PATH_BYTES_MAX];

	snprintf(path, sizeof(path), "/v1/objects?prefix=%s", prefix);
	send_call(client, &(struct ht_request){.method = "GET", .path = path},
	    cb, user);
}

void
pf_vms(struct pf_client *client, pf_result_cb cb, void *user)
{
	send_call(client,
	    &(struct ht_request){.method = "GET", .path = "/v1/vms"}, cb, user);
}
