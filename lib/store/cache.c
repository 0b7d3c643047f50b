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
	/* The last batch that changed it, and the index of that change. */
	uint64_t batch;
	uint32_t index;
	char *text;
	size_t text_length;
	bool seen;		  /* in the snapshot being applied */
	struct cs_memory *memory; /* that counts it, or NULL */
	uint64_t counted_bytes;
};

struct tombstone {
	char name[OS_NAME_BYTES_MAX];
	uint64_t revision;
};

struct kind {
	GHashTable *objects;
	uint64_t revision;
	uint64_t batch;		   /* number of the last applied one */
	uint64_t tombstones_since; /* later deletions all have one */
	struct tombstone tombstones[TOMBSTONES_MAX];
	uint32_t tombstone_count; /* ever added; the ring holds the last */
	struct cs_memory *memory; /* NULL: nothing is counted */
};

struct os_cache {
	struct kind kinds[OS_KINDS_MAX];
};

/* With the entry of the hash table. */
static uint64_t
bytes_of(const struct object *object)
{
	return sizeof(*object) + 4 * sizeof(void *) + object->text_length;
}

static void
free_object(gpointer data)
{
	struct object *object = data;

	cs_memory_remove_objects(object->memory, object->counted_bytes);
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
os_cache_set_memory(struct os_cache *cache, struct cs_memory *memory)
{
	uint32_t i;

	for (i = 0; i < OS_KINDS_MAX; i++)
		cache->kinds[i].memory = memory;
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

const char *
os_cache_find(const struct os_cache *cache, uint32_t kind, const char *name,
    uint64_t *revision)
{
	const struct object *object =
	    g_hash_table_lookup(cache->kinds[kind].objects, name);

	if (object == NULL)
		return NULL;
	*revision = object->revision;
	return object->text;
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

static struct os_change
change_of(const struct object *object)
{
	struct os_change change = {
	    .revision = object->revision,
	    .text = object->text,
	    .text_length = object->text_length,
	};

	memcpy(change.name, object->name, sizeof(change.name));
	return change;
}

static struct os_change
deletion_of(const char *name, uint64_t revision)
{
	struct os_change change = {.revision = revision, .deleted = true};

	cs_copy_text(change.name, sizeof(change.name), name);
	return change;
}

/*
 * Adds a change of an object to out. An earlier change of the object in the
 * same batch is overwritten: its text has been freed.
 */
static void
set_change(const struct kind *kind, struct os_batch *out, struct object *object,
    const struct os_change *change)
{
	if (object->batch != kind->batch) {
		object->batch = kind->batch;
		object->index = out->count++;
	}
	out->changes[object->index] = *change;
}

static struct object *
copy_change(const struct os_change *change)
{
	struct object *object = calloc(1, sizeof(*object));

	if (object == NULL)
		return NULL;
	object->text = malloc(change->text_length + 1);
	if (object->text == NULL) {
		free(object);
		return NULL;
	}
	memcpy(object->text, change->text, change->text_length);
	object->text[change->text_length] = '\0';
	object->text_length = change->text_length;
	object->revision = change->revision;
	memcpy(object->name, change->name, sizeof(object->name));
	return object;
}

static void
free_copies(struct object **copies, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (copies[i] != NULL)
			free_object(copies[i]);
	}
	free(copies);
}

/*
 * Copies the objects of a batch that may be newer than the known ones, before
 * any is applied: without memory for one the whole batch is to count as not
 * seen. Returns NULL then.
 */
static struct object **
copy_batch(const struct kind *kind, const struct os_batch *batch)
{
	struct object **copies = calloc(batch->count + 1, sizeof(*copies));
	uint32_t i;

	for (i = 0; copies != NULL && i < batch->count; i++) {
		const struct os_change *change = &batch->changes[i];
		const struct object *known =
		    g_hash_table_lookup(kind->objects, change->name);

		if (change->deleted ||
		    (known != NULL && change->revision <= known->revision))
			continue;
		copies[i] = copy_change(change);
		if (copies[i] == NULL) {
			free_copies(copies, i);
			return NULL;
		}
	}
	return copies;
}

/*
 * Stores the copy of an object, which is then NULL; returns true when it is
 * newer than the known one.
 */
static bool
apply_object(
    struct kind *kind, const struct os_change *change, struct object **copy)
{
	struct object *object =
	    g_hash_table_lookup(kind->objects, change->name);
	char *text;

	if (object != NULL) {
		object->seen = true;
		if (change->revision <= object->revision)
			return false;
	}
	if (*copy == NULL) /* deleted again earlier in the batch */
		return false;
	if (object == NULL) {
		object = *copy;
		*copy = NULL;
		object->seen = true;
		g_hash_table_insert(kind->objects, object->name, object);
	} else {
		text = object->text;
		object->text = (*copy)->text;
		(*copy)->text = text;
	}
	object->text_length = change->text_length;
	object->revision = change->revision;
	cs_memory_remove_objects(object->memory, object->counted_bytes);
	object->memory = kind->memory;
	object->counted_bytes = bytes_of(object);
	cs_memory_add_objects(object->memory, object->counted_bytes);
	return true;
}

static void
apply_deletion(
    struct kind *kind, const struct os_change *change, struct os_batch *out)
{
	struct object *object =
	    g_hash_table_lookup(kind->objects, change->name);
	struct os_change deletion = deletion_of(change->name, change->revision);

	if (object == NULL || object->revision > change->revision)
		return;
	add_tombstone(kind, change->name, change->revision);
	set_change(kind, out, object, &deletion);
	g_hash_table_remove(kind->objects, change->name);
}

/* Stores an object and adds it to out if it is newer than the known one. */
static void
apply_update(struct kind *kind, const struct os_change *change,
    struct object **copy, struct os_batch *out)
{
	struct os_change update;
	struct object *object;

	if (!apply_object(kind, change, copy))
		return;
	object = g_hash_table_lookup(kind->objects, change->name);
	update = change_of(object);
	set_change(kind, out, object, &update);
}

/* An object that is not known was deleted if a known revision is later. */
static bool
is_deleted_since(const struct kind *kind, const struct os_change *change)
{
	return change->revision <= kind->revision &&
	       g_hash_table_lookup(kind->objects, change->name) == NULL;
}

int
os_cache_apply_changes(struct os_cache *cache, uint32_t kind_index,
    const struct os_batch *batch, struct os_batch *out)
{
	struct kind *kind = &cache->kinds[kind_index];
	struct object **copies = copy_batch(kind, batch);
	uint32_t i;

	*out = (struct os_batch){.revision = batch->revision};
	if (copies != NULL)
		out->changes = calloc(batch->count + 1, sizeof(*out->changes));
	if (out->changes == NULL) {
		free_copies(copies, copies == NULL ? 0 : batch->count);
		return CS_E_SYSTEM;
	}
	kind->batch++;
	for (i = 0; i < batch->count; i++) {
		if (batch->changes[i].deleted)
			apply_deletion(kind, &batch->changes[i], out);
		else if (!is_deleted_since(kind, &batch->changes[i]))
			apply_update(kind, &batch->changes[i], &copies[i], out);
	}
	free_copies(copies, batch->count);
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
	struct object **copies;
	GHashTableIter iter;
	gpointer value;

	*out = (struct os_batch){.revision = batch->revision};
	if (batch->revision < kind->revision)
		return CS_E_STALE;
	copies = copy_batch(kind, batch);
	if (copies != NULL)
		out->changes =
		    calloc(batch->count + old_count + 1, sizeof(*out->changes));
	if (out->changes == NULL) {
		free_copies(copies, copies == NULL ? 0 : batch->count);
		return CS_E_SYSTEM;
	}
	g_hash_table_iter_init(&iter, kind->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct object *)value)->seen = false;
	kind->batch++;
	for (i = 0; i < batch->count; i++)
		apply_update(kind, &batch->changes[i], &copies[i], out);
	free_copies(copies, batch->count);
	g_hash_table_iter_init(&iter, kind->objects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct object *object = value;

		if (object->seen || object->revision > batch->revision)
			continue;
		out->changes[out->count++] =
		    deletion_of(object->name, batch->revision);
		add_tombstone(kind, object->name, batch->revision);
		g_hash_table_iter_remove(&iter);
	}
	if (kind->revision == 0) /* earlier deletions are unknown */
		kind->tombstones_since = batch->revision;
	kind->revision = batch->revision;
	return CS_OK;
}

int
os_cache_without_removals(const struct os_cache *cache, uint32_t kind,
    const struct os_batch *batch, struct os_batch *out)
{
	uint32_t i;

	*out = (struct os_batch){.revision = os_cache_revision(cache, kind)};
	out->changes = calloc(batch->count + 1, sizeof(*out->changes));
	if (out->changes == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < batch->count; i++) {
		if (!batch->changes[i].deleted)
			out->changes[out->count++] = batch->changes[i];
	}
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
			out->changes[out->count++] = change_of(value);
	}
	for (i = 0; !*is_snapshot && i < tombstones_kept; i++) {
		if (kind->tombstones[i].revision > revision &&
		    !g_hash_table_contains(
			kind->objects, kind->tombstones[i].name))
			out->changes[out->count++] =
			    deletion_of(kind->tombstones[i].name,
				kind->tombstones[i].revision);
	}
	return CS_OK;
}
