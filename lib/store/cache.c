/* Objects by kind and name, and tombstones of recently deleted ones. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cache.h"

/* Deletions remembered of a kind; older ones require a snapshot. */
#define TOMBSTONES_MAX 256

struct object {
	char name[OS_NAME_BYTES_MAX];
	uint64_t revision;
	char *text;
	size_t text_length;
	bool seen; /* in the snapshot being applied */
};

struct tombstone {
	char name[OS_NAME_BYTES_MAX];
	uint64_t revision;
};

struct kind {
	GHashTable *objects;
	uint64_t revision;
	uint64_t tombstones_since; /* later deletions all have one */
	struct tombstone tombstones[TOMBSTONES_MAX];
	uint32_t tombstone_count; /* ever added; the ring holds the last */
};

struct os_cache {
	struct kind kinds[OS_KINDS_MAX];
};

static void
free_object(gpointer data)
{
	struct object *object = data;

	free(object->text);
	free(object);
}

struct os_cache *
os_cache_create(void)
{
	struct os_cache *cache = calloc(1, sizeof(*cache));
	uint32_t i;

	for (i = 0; cache != NULL && i < OS_KINDS_MAX; i++)
		cache->kinds[i].objects = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, free_object);
	return cache;
}

void
os_cache_free(struct os_cache *cache)
{
	uint32_t i;

	for (i = 0; i < OS_KINDS_MAX; i++)
		g_hash_table_destroy(cache->kinds[i].objects);
	free(cache);
}

uint64_t
os_cache_revision(const struct os_cache *cache, uint32_t kind)
{
	return cache->kinds[kind].revision;
}

static void
add_tombstone(struct kind *kind, const char *name, uint64_t revision)
{
	struct tombstone *slot =
	    &kind->tombstones[kind->tombstone_count % TOMBSTONES_MAX];

	if (kind->tombstone_count >= TOMBSTONES_MAX &&
	    slot->revision > kind->tombstones_since)
		kind->tombstones_since = slot->revision;
	cs_copy_text(slot->name, sizeof(slot->name), name);
	slot->revision = revision;
	kind->tombstone_count++;
}

static void
append_change(struct os_batch *out, const struct object *object)
{
	struct os_change *change = &out->changes[out->count++];

	*change = (struct os_change){
	    .revision = object->revision,
	    .text = object->text,
	    .text_length = object->text_length,
	};
	memcpy(change->name, object->name, sizeof(change->name));
}

static void
append_deletion(struct os_batch *out, const char *name, uint64_t revision)
{
	struct os_change *change = &out->changes[out->count++];

	*change = (struct os_change){.revision = revision, .deleted = true};
	cs_copy_text(change->name, sizeof(change->name), name);
}

/* Stores an object; returns true when it is newer than the known one. */
static bool
apply_object(struct kind *kind, const struct os_change *change)
{
	struct object *object =
	    g_hash_table_lookup(kind->objects, change->name);
	char *text;

	if (object != NULL) {
		object->seen = true;
		if (change->revision <= object->revision)
			return false;
	}
	text = malloc(change->text_length + 1);
	if (text == NULL)
		return false;
	memcpy(text, change->text, change->text_length);
	text[change->text_length] = '\0';
	if (object == NULL) {
		object = calloc(1, sizeof(*object));
		if (object == NULL) {
			free(text);
			return false;
		}
		memcpy(object->name, change->name, sizeof(object->name));
		object->seen = true;
		g_hash_table_insert(kind->objects, object->name, object);
	}
	free(object->text);
	object->text = text;
	object->text_length = change->text_length;
	object->revision = change->revision;
	return true;
}

static bool
apply_deletion(struct kind *kind, const struct os_change *change)
{
	struct object *object =
	    g_hash_table_lookup(kind->objects, change->name);

	if (object == NULL || object->revision > change->revision)
		return false;
	add_tombstone(kind, change->name, change->revision);
	g_hash_table_remove(kind->objects, change->name);
	return true;
}

int
os_cache_apply_changes(struct os_cache *cache, uint32_t kind_index,
    const struct os_batch *batch, struct os_batch *out)
{
	struct kind *kind = &cache->kinds[kind_index];
	uint32_t i;

	*out = (struct os_batch){.revision = batch->revision};
	out->changes = calloc(batch->count + 1, sizeof(*out->changes));
	if (out->changes == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < batch->count; i++) {
		const struct os_change *change = &batch->changes[i];

		if (change->deleted && apply_deletion(kind, change))
			append_deletion(out, change->name, change->revision);
		if (!change->deleted && apply_object(kind, change))
			append_change(out,
			    g_hash_table_lookup(kind->objects, change->name));
	}
	if (batch->revision > kind->revision)
		kind->revision = batch->revision;
	return CS_OK;
}

int
os_cache_apply_snapshot(struct os_cache *cache, uint32_t kind_index,
    const struct os_batch *batch, struct os_batch *out)
{
	struct kind *kind = &cache->kinds[kind_index];
	uint32_t old_count = g_hash_table_size(kind->objects), i;
	GHashTableIter iter;
	gpointer value;

	*out = (struct os_batch){.revision = batch->revision};
	if (batch->revision < kind->revision)
		return CS_E_STALE;
	out->changes =
	    calloc(batch->count + old_count + 1, sizeof(*out->changes));
	if (out->changes == NULL)
		return CS_E_SYSTEM;
	g_hash_table_iter_init(&iter, kind->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct object *)value)->seen = false;
	for (i = 0; i < batch->count; i++) {
		if (apply_object(kind, &batch->changes[i]))
			append_change(out, g_hash_table_lookup(kind->objects,
					       batch->changes[i].name));
	}
	g_hash_table_iter_init(&iter, kind->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct object *object = value;

		if (object->seen || object->revision > batch->revision)
			continue;
		append_deletion(out, object->name, batch->revision);
		add_tombstone(kind, object->name, batch->revision);
		g_hash_table_iter_remove(&iter);
	}
	if (kind->revision == 0) /* earlier deletions are unknown */
		kind->tombstones_since = batch->revision;
	kind->revision = batch->revision;
	return CS_OK;
}

int
os_cache_changes_since(const struct os_cache *cache, uint32_t kind_index,
    uint64_t revision, struct os_batch *out, bool *is_snapshot)
{
	const struct kind *kind = &cache->kinds[kind_index];
	uint32_t tombstones_kept = kind->tombstone_count < TOMBSTONES_MAX
				       ? kind->tombstone_count
				       : TOMBSTONES_MAX;
	uint32_t size = g_hash_table_size(kind->objects), i;
	GHashTableIter iter;
	gpointer value;

	*is_snapshot = revision < kind->tombstones_since || revision == 0;
	*out = (struct os_batch){.revision = kind->revision};
	out->changes =
	    calloc(size + tombstones_kept + 1, sizeof(*out->changes));
	if (out->changes == NULL)
		return CS_E_SYSTEM;
	g_hash_table_iter_init(&iter, kind->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (*is_snapshot ||
		    ((struct object *)value)->revision > revision)
			append_change(out, value);
	}
	for (i = 0; !*is_snapshot && i < tombstones_kept; i++) {
		if (kind->tombstones[i].revision > revision &&
		    !g_hash_table_contains(
			kind->objects, kind->tombstones[i].name))
			append_deletion(out, kind->tombstones[i].name,
			    kind->tombstones[i].revision);
	}
	return CS_OK;
}
