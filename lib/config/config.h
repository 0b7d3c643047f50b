/*
 * config: the configuration of routes and pools. Parses the operators' JSON
 * document, validates all of it, and keeps it as an immutable, reference
 * counted value.
 *
 * A stored document is an envelope around the operators' document:
 *	{"version": N, "writer": "ID", "config": {"routes": ..., "pools": ...}}
 * The version only ever rises. The writer identifies one apply, so that an
 * operator whose response was lost can find out whether the write took effect.
 */
#ifndef CF_CONFIG_H
#define CF_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CF_NAME_BYTES_MAX 64
#define CF_ADDRESS_BYTES_MAX 64
#define CF_ERROR_BYTES_MAX 256
#define CF_DOCUMENT_BYTES_MAX 1000000
#define CF_ROUTES_MAX 256
#define CF_POOLS_MAX 64
#define CF_TARGETS_MAX 1024 /* over all pools */
#define CF_SHARES_MAX 32    /* members with their own weight, per pool */
#define CF_METHODS_MAX 8
#define CF_SLOTS_MAX 1024
#define CF_WEIGHT_MAX 1000
#define CF_DEADLINE_MS_MAX 600000

enum cf_kind {
	CF_KIND_IDEMPOTENT,
	CF_KIND_NON_IDEMPOTENT,
};

struct cf_objective {
	uint32_t latency_ms; /* a later response counts against it */
	double share;	     /* of calls to answer in time, in (0, 1) */
};

struct cf_route {
	char name[CF_NAME_BYTES_MAX];
	char path_prefix[CF_NAME_BYTES_MAX];
	char methods[CF_METHODS_MAX][16];
	uint32_t method_count; /* 0: any method */
	enum cf_kind kind;
	uint32_t weight; /* value of one response of this route */
	struct cf_objective objective;
	uint32_t deadline_ms;
	uint32_t pool; /* index into pools */
};

struct cf_target {
	char address[CF_ADDRESS_BYTES_MAX];
	char data_centre[CF_NAME_BYTES_MAX];
	uint32_t slots;
	bool drain; /* gets no new calls */
};

struct cf_share {
	char member[CF_NAME_BYTES_MAX];
	uint32_t weight;
};

struct cf_pool {
	char name[CF_NAME_BYTES_MAX];
	uint32_t target_first; /* index into targets */
	uint32_t target_count;
	struct cf_share shares[CF_SHARES_MAX];
	uint32_t share_count;
};

struct cf_config; /* reference counted, immutable */

/*
 * cf_parse(text, length_bytes, error_text, out): parses an operators' document.
 * On CS_E_INVALID, error_text holds the path of the first error and its cause,
 * as in `routes[2].pool: no pool is named "letters"`. The version is 0.
 */
int cf_parse(const char *text, size_t length_bytes,
    char error_text[CF_ERROR_BYTES_MAX], struct cf_config **out);
/* cf_parse_stored(...): parses a stored envelope in the same way. */
int cf_parse_stored(const char *text, size_t length_bytes,
    char error_text[CF_ERROR_BYTES_MAX], struct cf_config **out);
/*
 * cf_format_stored(config, version, writer): formats the envelope as text,
 * which the caller frees. Returns NULL when memory is short.
 */
char *cf_format_stored(
    const struct cf_config *config, uint64_t version, const char *writer);
/*
 * cf_format_document(config): formats the operators' document as indented text,
 * which the caller frees.
 */
char *cf_format_document(const struct cf_config *config);
/*
 * cf_with_drain(config, address, out): makes a copy in which drain is set for
 * the target. Returns CS_E_MISSING when no pool has the target.
 */
int cf_with_drain(const struct cf_config *config, const char *address,
    struct cf_config **out);
/*
 * cf_diff(older, newer): formats the differences as text, which the caller
 * frees: one line for each route, target or pool's shares, with "- " before
 * lines of the older and "+ " before lines of the newer. Empty when equal.
 */
char *cf_diff(const struct cf_config *older, const struct cf_config *newer);

void cf_ref(struct cf_config *config);
void cf_unref(struct cf_config *config);

uint64_t cf_version(const struct cf_config *config);
const char *cf_writer(const struct cf_config *config);
uint32_t cf_route_count(const struct cf_config *config);
const struct cf_route *cf_route(const struct cf_config *config, uint32_t index);
uint32_t cf_pool_count(const struct cf_config *config);
const struct cf_pool *cf_pool(const struct cf_config *config, uint32_t index);
uint32_t cf_target_count(const struct cf_config *config);
const struct cf_target *cf_target(
    const struct cf_config *config, uint32_t index);
/*
 * cf_find_route(config, method, method_bytes, path, path_bytes): returns the
 * index of the first route that matches, or CS_E_MISSING. The strings need not
 * be NUL terminated.
 */
int cf_find_route(const struct cf_config *config, const char *method,
    size_t method_bytes, const char *path, size_t path_bytes);

#endif
