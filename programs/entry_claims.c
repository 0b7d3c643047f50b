/*
 * Claims of bare keys in the store: an object a key, made only if there
 * is none. Its value names the claiming call, so that a lost response is
 * settled by reading back.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

#define NAME_BYTES_MAX 64
#define VALUE_BYTES_MAX 96

struct claim {
	struct en_entry *entry;
	uint64_t call;
	bool conflict; /* the store had the object already */
	char name[NAME_BYTES_MAX];
	char value[VALUE_BYTES_MAX];
};

static void
finish_claim(
    struct claim *claim, enum dc_store_result result, uint64_t revision)
{
	sv_store_claim_done(claim->entry->server, claim->call, result,
	    os_revision_era(revision));
	free(claim);
}

static void
on_read_back_response(const struct os_object *result, void *user)
{
	struct claim *claim = user;
	bool ours;

	en_update_platform_state(claim->entry, result->error);
	/* A restore has lost the claim that was in conflict with this one. */
	if (result->error == CS_E_MISSING && claim->conflict) {
		finish_claim(claim, DC_STORE_CONFLICT, 0);
		return;
	}
	if (result->error != CS_OK) {
		finish_claim(claim, DC_STORE_UNAVAILABLE, 0);
		return;
	}
	ours = strcmp(result->value, claim->value) == 0;
	finish_claim(claim, ours ? DC_STORE_CLAIMED : DC_STORE_CONFLICT,
	    result->revision);
}

static void
on_write_response(const struct os_object *result, void *user)
{
	struct claim *claim = user;

	en_update_platform_state(claim->entry, result->error);
	switch (result->error) {
	case CS_OK:
		finish_claim(claim, DC_STORE_CLAIMED, result->revision);
		return;
	case CS_E_CONFLICT:
	case CS_E_UNKNOWN:
		claim->conflict = result->error == CS_E_CONFLICT;
		os_read(claim->entry->objects, OB_CLAIMS, claim->name,
		    on_read_back_response, claim);
		return;
	default:
		finish_claim(claim, DC_STORE_UNAVAILABLE, 0);
		return;
	}
}

void
en_claim_key(uint64_t call, uint64_t key_a, uint64_t key_b, void *user)
{
	struct claim *claim = calloc(1, sizeof(*claim));
	struct en_entry *entry = user;

	claim->entry = entry;
	claim->call = call;
	snprintf(claim->name, sizeof(claim->name), "%016" PRIx64 "%016" PRIx64,
	    key_a, key_b);
	snprintf(claim->value, sizeof(claim->value),
	    "{\"epoch\":%" PRIu64 ",\"entry\":%" PRIu64 ",\"call\":%" PRIu64
	    "}",
	    entry->epoch, entry->own_id >> 1, call);
	os_write(entry->objects, OB_CLAIMS, claim->name, OS_MUST_NOT_EXIST,
	    claim->value, on_write_response, claim);
}
