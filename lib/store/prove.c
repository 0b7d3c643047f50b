/*
 * Asks the store whether everything of a kind is known: a watch that does not
 * wait, from the last known revision on.
 */
#include "store_internal.h"

#define PROOF_TIMEOUT_MS 900 /* a slow store responds in about 270 ms */

static void
on_response(struct os_call *call, int status, const struct os_text *body)
{
	struct os_client *client = call->client;
	struct os_proof *proof = &client->proof;
	struct os_batch batch;

	if (!client->following)
		return;
	if (status == OS_STATUS_HISTORY_EXPIRED) {
		os_client_relist(client, proof->kind);
		return;
	}
	/* A store that came back from a copy meanwhile proves nothing. */
	if (status != 200 || os_revision_era(proof->revision) != client->era ||
	    client->params.codec->parse_events(body, &batch) != CS_OK)
		return;
	os_batch_set_era(&batch, client->era);
	if (batch.revision > proof->revision)
		proof->revision = batch.revision;
	if (batch.count > 0)
		client->params.events->on_changes(
		    client->params.user, proof->kind, &batch);
	else
		client->params.events->on_proven(client->params.user,
		    proof->kind, client->era, proof->sent_us);
	os_batch_free(&batch);
}

void
os_proof_init(struct os_client *client)
{
	os_call_init(&client->proof.call, client, on_response);
}

int
os_client_prove(struct os_client *client, uint32_t kind, int64_t sent_us)
{
	const struct os_params *params = &client->params;
	const struct os_follow *follow = &client->follows[kind];
	struct os_proof *proof = &client->proof;
	char path[OS_PATH_BYTES_MAX];

	if (!client->following || !follow->watching || follow->revision == 0)
		return CS_E_STALE;
	if (os_call_pending(&proof->call))
		return CS_E_CONFLICT;
	/*
	 * A watch learns the revision only when it ends, after up to 25 s. The
	 * store may have dropped the history since by then.
	 */
	if (proof->kind != kind || proof->revision < follow->revision)
		proof->revision = follow->revision;
	proof->kind = kind;
	proof->sent_us = sent_us;
	if (params->codec->watch_path(path, params->kinds[kind],
		os_revision_number(proof->revision), 0) != CS_OK)
		return CS_E_INVALID;
	os_call_send(&proof->call, "GET", path, NULL, PROOF_TIMEOUT_MS);
	return CS_OK;
}
