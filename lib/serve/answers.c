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
	h1_bytes_free(&answer->headers);
	h1_bytes_free(&answer->body);
	g_free(answer);
}

static size_t
size_of(const struct sv_answer *answer)
{
	return sizeof(*answer) + answer->body.capacity +
	       answer->headers.capacity;
}

void
sv_answer_begin(struct sv_call *call, const struct h1_bytes *headers)
{
	struct sv_answer *answer;

	if (call->key.scope == DC_KEY_NONE || call->relayed->forwarded ||
	    call->route->kind != CF_KIND_NON_IDEMPOTENT)
		return;
	answer = g_new0(struct sv_answer, 1);
	answer->key_a = call->key.a;
	answer->key_b = call->key.b;
	answer->status = call->relayed->status;
	call->capture = answer;
	if (h1_bytes_add(&answer->headers, headers->data, headers->length) !=
	    CS_OK)
		sv_answer_discard(call);
}

void
sv_answer_discard(struct sv_call *call)
{
	if (call->capture != NULL)
		free_answer(call->capture);
	call->capture = NULL;
}

void
sv_answer_add(struct sv_call *call, const char *data, size_t length)
{
	struct sv_answer *answer = call->capture;

	if (answer == NULL)
		return;
	if (answer->body.length + length > ANSWER_BYTES_MAX ||
	    h1_bytes_add(&answer->body, data, length) != CS_OK)
		sv_answer_discard(call);
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

const struct sv_answer *
sv_answer_find(const struct sv_server *server, const struct dc_key *key)
{
	const struct sv_answer *answer =
	    g_hash_table_lookup(server->answers, &key->a);

	return answer != NULL && answer->key_b == key->b ? answer : NULL;
}
