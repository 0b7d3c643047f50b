/*
 * The Idempotency-Key header. A key "h1-HOME-EPOCH-WITNESS-EPOCH-WINDOW.REST"
 * begins with a token from the directory, whose numbers are hexadecimal. Any
 * other text is a bare key, which is claimed in the store.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "serve_internal.h"

#define KEY_HASH_B_SEED 0x6b65792d62ULL

static void
parse_token(const char *text, struct dc_key *key)
{
	int used = 0;

	if (sscanf(text,
		"h1-%16" SCNx64 "-%16" SCNx64 "-%16" SCNx64 "-%16" SCNx64
		"-%16" SCNx64 ".%n",
		&key->home, &key->home_epoch, &key->witness,
		&key->witness_epoch, &key->window, &used) == 5 &&
	    used > 0 && text[used] != '\0')
		key->scope = DC_KEY_HOME;
}

int
sv_parse_key(const char *text, struct dc_key *key)
{
	size_t length = text == NULL ? 0 : strlen(text);

	*key = (struct dc_key){.scope = DC_KEY_NONE};
	if (text == NULL)
		return CS_OK;
	if (length == 0 || length > SV_KEY_BYTES_MAX)
		return CS_E_INVALID;
	key->scope = DC_KEY_STORE;
	parse_token(text, key);
	key->a = cs_hash(text, length);
	key->b = cs_hash_seeded(text, length, KEY_HASH_B_SEED);
	return CS_OK;
}

/*
 * Writes the token for keys of calls to one entry VM. In tokens of other VMs
 * this VM is the witness, since it knows its own window; in its own token the
 * witness is a peer, if there is one.
 */
void
sv_format_key_token(const struct sv_server *server, const struct sv_node *entry,
    char *text, size_t bytes)
{
	uint64_t self =
	    cs_hash(server->params.name, strlen(server->params.name));
	uint64_t witness, epoch, window;

	dc_key_token_witness(
	    server->core, entry->id == self, &witness, &epoch, &window);
	snprintf(text, bytes,
	    "h1-%" PRIx64 "-%" PRIx64 "-%" PRIx64 "-%" PRIx64 "-%" PRIx64,
	    entry->id, entry->epoch, witness, epoch, window);
}
