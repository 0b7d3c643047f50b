/*
 * Cache of small complete responses to calls with an idempotency key. A caller
 * that lost its response retries with the same key and gets the same response
 * instead of a second run. The oldest responses are evicted when the cache
 * exceeds its memory limit.
 */
#include <string.h>

#include "serve_internal.h"

#define CACHED_BODY_BYTES_MAX 16384

static void
free_response(struct sv_cached_response *response)
{
	h1_bytes_free(&response->headers);
	h1_bytes_free(&response->body);
	g_free(response);
}

static size_t
response_bytes(const struct sv_cached_response *response)
{
	return sizeof(*response) + response->body.capacity +
	       response->headers.capacity;
}

void
sv_response_cache_begin(struct sv_call *call, const struct h1_bytes *headers)
{
	struct sv_cached_response *response;

	if (call->key.scope == DC_KEY_NONE || call->relayed->forwarded ||
	    call->route->kind != CF_KIND_NON_IDEMPOTENT)
		return;
	response = g_new0(struct sv_cached_response, 1);
	response->key_a = call->key.a;
	response->key_b = call->key.b;
	response->status = call->relayed->status;
	call->response_copy = response;
	if (h1_bytes_add(&response->headers, headers->data, headers->length) !=
	    CS_OK)
		sv_response_cache_discard(call);
}

void
sv_response_cache_discard(struct sv_call *call)
{
	if (call->response_copy != NULL)
		free_response(call->response_copy);
	call->response_copy = NULL;
}

void
sv_response_cache_append(struct sv_call *call, const char *data, size_t length)
{
	struct sv_cached_response *response = call->response_copy;

	if (response == NULL)
		return;
	if (response->body.length + length > CACHED_BODY_BYTES_MAX ||
	    h1_bytes_add(&response->body, data, length) != CS_OK)
		sv_response_cache_discard(call);
}

static void
evict_oldest(struct sv_server *server)
{
	struct sv_cached_response *oldest =
	    g_queue_pop_head(&server->response_cache_by_age);

	server->response_cache_bytes -= response_bytes(oldest);
	if (g_hash_table_lookup(server->response_cache, &oldest->key_a) ==
	    oldest)
		g_hash_table_remove(server->response_cache, &oldest->key_a);
	free_response(oldest);
}

void
sv_response_cache_commit(struct sv_call *call)
{
	struct sv_server *server = call->server;
	struct sv_cached_response *response = call->response_copy;

	if (response == NULL)
		return;
	call->response_copy = NULL;
	server->response_cache_bytes += response_bytes(response);
	g_hash_table_replace(
	    server->response_cache, &response->key_a, response);
	g_queue_push_tail(&server->response_cache_by_age, response);
	while (server->response_cache_bytes > server->response_cache_bytes_max)
		evict_oldest(server);
}

const struct sv_cached_response *
sv_response_cache_find(const struct sv_server *server, const struct dc_key *key)
{
	const struct sv_cached_response *response =
	    g_hash_table_lookup(server->response_cache, &key->a);

	return response != NULL && response->key_b == key->b ? response : NULL;
}
