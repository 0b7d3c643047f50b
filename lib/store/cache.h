/*
 * cache: the objects of the followed kinds as they are known here, with their
 * revisions, so that any VM can bring another one up to date.
 */
#ifndef OS_CACHE_H
#define OS_CACHE_H

#include "store.h"

struct os_cache;

struct os_cache *os_cache_create(void);
void os_cache_free(struct os_cache *cache);
/*
 * os_cache_snapshot(cache, kind, batch, out): the kind is now as in the batch.
 * os_cache_changes(cache, kind, batch, out): takes single changes. Both fill
 * out with what differs from before; its texts belong to the cache until the
 * next call, only its array is freed, with free(). News older than what is
 * known is dropped. A snapshot that is older as a whole returns CS_E_STALE.
 */
int os_cache_snapshot(struct os_cache *cache, uint32_t kind,
    const struct os_batch *batch, struct os_batch *out);
int os_cache_changes(struct os_cache *cache, uint32_t kind,
    const struct os_batch *batch, struct os_batch *out);
/* os_cache_revision(cache, kind): known up to here; 0: nothing. */
uint64_t os_cache_revision(const struct os_cache *cache, uint32_t kind);
/*
 * os_cache_since(cache, kind, revision, out, whole): what changed after that
 * revision. *whole tells that out is a snapshot, for one who knows too little.
 */
int os_cache_since(const struct os_cache *cache, uint32_t kind,
    uint64_t revision, struct os_batch *out, bool *is_snapshot);

#endif
