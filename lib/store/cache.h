/*
 * cache: the objects of the followed kinds as they are known here, with their
 * revisions, so that any VM can bring another one up to date.
 */
#ifndef ST_CACHE_H
#define ST_CACHE_H

#include "store.h"

struct st_cache;

struct st_cache *st_cache_create(void);
void st_cache_free(struct st_cache *cache);
/*
 * st_cache_snapshot(cache, kind, batch, out): the kind is now as in the batch.
 * st_cache_changes(cache, kind, batch, out): takes single changes. Both fill
 * out with what differs from before; its texts belong to the cache until the
 * next call, only its array is freed, with free(). News older than what is
 * known is dropped. A snapshot that is older as a whole returns CS_E_STALE.
 */
int st_cache_snapshot(struct st_cache *cache, uint32_t kind,
    const struct st_batch *batch, struct st_batch *out);
int st_cache_changes(struct st_cache *cache, uint32_t kind,
    const struct st_batch *batch, struct st_batch *out);
/* st_cache_revision(cache, kind): known up to here; 0: nothing. */
uint64_t st_cache_revision(const struct st_cache *cache, uint32_t kind);
/*
 * st_cache_since(cache, kind, revision, out, whole): what changed after that
 * revision. *whole tells that out is a snapshot, for one who knows too little.
 */
int st_cache_since(const struct st_cache *cache, uint32_t kind,
    uint64_t revision, struct st_batch *out, bool *whole);

#endif
