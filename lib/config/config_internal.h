/* State shared by the parser and the accessors of lib/config. */
#ifndef CF_CONFIG_INTERNAL_H
#define CF_CONFIG_INTERNAL_H

#include <jansson.h>

#include "../base/base.h"
#include "config.h"

#define CF_WRITER_BYTES_MAX 64

struct cf_config {
	struct cs_ref ref;
	uint64_t version;
	char writer[CF_WRITER_BYTES_MAX];
	json_t *document; /* the operators' document */
	uint32_t route_count;
	uint32_t pool_count;
	uint32_t target_count;
	struct cf_route routes[CF_ROUTES_MAX];
	struct cf_pool pools[CF_POOLS_MAX];
	struct cf_target targets[CF_TARGETS_MAX];
};

/*
 * cf_from_json(document, error_text, out): validates a parsed document and
 * builds the configuration from it, which holds a reference to the document.
 */
int cf_from_json(json_t *document, char error_text[CF_ERROR_BYTES_MAX],
    struct cf_config **out);

#endif
