/*
 * cache: the known objects of the followed kinds with their revisions, so that
 * any VM can bring another one up to date.
 */
#ifndef OS_CACHE_H
#define OS_CACHE_H

#include "store.h"

struct os_cache;

struct os_cache *os_cache_create(void);
/*
 * os_cache_set_memory(cache, memory): counts what is cached from now on as
 * objects of memory, which outlives the cache.
 */
void os_cache_set_memory(struct os_cache *cache, struct cs_memory *memory);
void os_cache_free(struct os_cache *cache);
/*
 * os_cache_apply_snapshot(cache, kind, batch, out): replaces the objects of the
 * kind by those of the batch. os_cache_apply_changes(cache, kind, batch, out):
 * applies single changes. Both set out to the differences from the previous
 * state. The cache owns the texts of out, which are valid until the next call;
 * the caller frees only its array, with free(). Of several changes of an object
 * in one batch out has the last one. Changes older than the known
 * state are ignored; for a snapshot that is older as a whole, CS_E_STALE is
 * returned. Without memory for all of a batch nothing of it is applied, and
 * CS_E_SYSTEM is returned.
 */
int os_cache_apply_snapshot(struct os_cache *cache, uint32_t kind,
    const struct os_batch *batch, struct os_batch *out);
int os_cache_apply_changes(struct os_cache *cache, uint32_t kind,
    const struct os_batch *batch, struct os_batch *out);
/*
 * os_cache_without_removals(cache, kind, batch, out): copies a list or changes
 * without the removals in them. out keeps the revision that the cache has: what
 * is left out is still to come, from whoever knows it. The texts belong to
 * batch; the caller frees the array.
 */
int os_cache_without_removals(const struct os_cache *cache, uint32_t kind,
    const struct os_batch *batch, struct os_batch *out);
/*
 * os_cache_find(cache, kind, name, revision): returns the text of an object,
 * valid until the next change, and sets *revision; NULL if it is not known.
 */
const char *os_cache_find(const struct os_cache *cache, uint32_t kind,
    const char *name, uint64_t *revision);
/* os_cache_revision(cache, kind): the latest known revision; 0: none. */
uint64_t os_cache_revision(const struct os_cache *cache, uint32_t kind);
/*
 * os_cache_changes_since(cache, kind, revision, out, is_snapshot): sets out to
 * the changes after a revision. *is_snapshot is true when out is a snapshot
 * instead, because the revision is 0 or too old for the deletions that are
 * kept. Texts and array of out belong as above.
 */
int os_cache_changes_since(const struct os_cache *cache, uint32_t kind,
    uint64_t revision, struct os_batch *out, bool *is_snapshot);

#endif
