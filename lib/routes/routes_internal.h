/* What the files of routes share. */
#ifndef RT_ROUTES_INTERNAL_H
#define RT_ROUTES_INTERNAL_H

#include "routes.h"

/*
 * rt_copy_texts(route): replaces host and prefix by copies, which
 * rt_free_texts() frees; equal hosts share one. Returns CS_E_SYSTEM when memory
 * is short; there is nothing to free then.
 */
int rt_copy_texts(struct rt_route *route);
void rt_free_texts(struct rt_route *route);
/* rt_text_bytes(route): the memory of its own that the copies take. */
uint64_t rt_text_bytes(const struct rt_route *route);

#endif
