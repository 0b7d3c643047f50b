/*
 * Lists that come in pages. A store that reads a name in a query in another way
 * than it was meant sends pages again that it has sent before, without end.
 */
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

void
os_pages_reset(struct os_pages *pages)
{
	free(pages->after);
	free(pages->mark);
	*pages = (struct os_pages){.count = 0};
}

/*
 * Brent's algorithm: compares each name with that of the last page whose number
 * is a power of two. Any cycle is found within three times its pages and those
 * before it.
 */
static bool
repeats(struct os_pages *pages)
{
	char *mark;

	if (pages->mark != NULL && strcmp(pages->after, pages->mark) == 0)
		return true;
	pages->count++;
	if ((pages->count & (pages->count - 1)) != 0)
		return false;
	mark = strdup(pages->after);
	if (mark == NULL)
		return false; /* compares with the one before */
	free(pages->mark);
	pages->mark = mark;
	return false;
}

int
os_pages_read(struct os_pages *pages, const struct os_codec *codec,
    const char *kind, const struct os_text *body, struct os_batch *page)
{
	char *after;
	int error = codec->parse_list(body, page, &after);

	if (error != CS_OK) {
		os_pages_reset(pages);
		return error;
	}
	free(pages->after);
	pages->after = after;
	if (after == NULL) {
		os_pages_reset(pages);
		return CS_OK;
	}
	if (!repeats(pages))
		return CS_OK;
	cs_log(CS_LOG_STORE_LIST_REPEATED, "kind=%s pages=%u after=%s", kind,
	    pages->count, after);
	os_batch_free(page);
	os_pages_reset(pages);
	return CS_E_STALE;
}
