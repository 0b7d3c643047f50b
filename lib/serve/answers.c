/*
 * Small whole answers to keyed calls, kept for a while: a caller whose answer
 * was lost sends its key again and gets the same answer, not a second run.
 */
#include <string.h>

#include "serve_internal.h"

#define ANSWER_BYTES_MAX 16384
#define ANSWERS_BYTES_MAX (24 * 1024 * 1024)

static void
free_answer(struct sv_answer *answer)
{
	g_ptr_array_free(answer->headers, TRUE);
	g_byte_array_free(answer->body, TRUE);
	g_free(answer);
}

static size_t
size_of(const struct sv_answer *answer)
{
	return sizeof(*answer) + answer->body->len +
	       answer->headers->len * sizeof(void *) * 8;
}

static void
keep_header(struct sv_answer *answer, const h2o_header_t *header)
{
	g_ptr_array_add(
	    answer->headers, g_strndup(header->name->base, header->name->len));
	g_ptr_array_add(
	    answer->headers, g_strndup(header->value.base, header->value.len));
}

void
sv_answer_begin(struct sv_call *call)
{
	const h2o_res_t *res = &call->req->res;
	size_t i;

	if (call->key.scope == DC_KEY_NONE || call->relayed->forwarded ||
	    call->route->kind != CF_KIND_NON_IDEMPOTENT)
		return;
	call->capture = g_new0(struct sv_answer, 1);
	call->capture->key_a = call->key.a;
	call->capture->key_b = call->key.b;
	call->capture->status = res->status;
	call->capture->headers = g_ptr_array_new_with_free_func(g_free);
	call->capture->body = g_byte_array_new();
	for (i = 0; i < res->headers.size; i++)
		keep_header(call->capture, &res->headers.entries[i]);
}

void
sv_answer_discard(struct sv_call *call)
{
	if (call->capture != NULL)
		free_answer(call->capture);
	call->capture = NULL;
}

void
sv_answer_add(struct sv_call *call, h2o_iovec_t chunk)
{
	if (call->capture == NULL || chunk.len == 0)
		return;
	if (call->capture->body->len + chunk.len > ANSWER_BYTES_MAX) {
		sv_answer_discard(call);
		return;
	}
	g_byte_array_append(
	    call->capture->body, (const guint8 *)chunk.base, (guint)chunk.len);
}

static void
forget_oldest(struct sv_server *server)
{
	struct sv_answer *oldest = g_queue_pop_head(&server->answers_by_age);

	server->answers_bytes -= size_of(oldest);
	if (g_hash_table_lookup(server->answers, &oldest->key_a) == oldest)
		g_hash_table_remove(server->answers, &oldest->key_a);
	free_answer(oldest);
}

void
sv_answer_keep(struct sv_call *call)
{
	struct sv_server *server = call->server;
	struct sv_answer *answer = call->capture;

	if (answer == NULL)
		return;
	call->capture = NULL;
	server->answers_bytes += size_of(answer);
	g_hash_table_replace(server->answers, &answer->key_a, answer);
	g_queue_push_tail(&server->answers_by_age, answer);
	while (server->answers_bytes > ANSWERS_BYTES_MAX)
		forget_oldest(server);
}

void
sv_replay(struct sv_call *call)
{
	struct sv_answer *answer =
	    g_hash_table_lookup(call->server->answers, &call->key.a);
	guint i;

	if (call->req == NULL)
		return;
	if (answer == NULL || answer->key_b != call->key.b) {
		sv_refuse(call, DC_REASON_KEY_RAN, DC_OUTCOME_UNKNOWN);
		return;
	}
	sv_call_answered(call);
	for (i = 0; i + 1 < answer->headers->len; i += 2)
		ht_add_header(call->req, g_ptr_array_index(answer->headers, i),
		    g_ptr_array_index(answer->headers, i + 1));
	ht_reply_body(call->req, answer->status,
	    (const char *)answer->body->data, answer->body->len);
}
