/*
 * Decides before a call is placed whether its route is served, which tenant it
 * is from, and whether that tenant is served. Counts the calls of each tenant.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "gateway_internal.h"

/* What is refused here changes with the next configuration. */
#define RETRY_AFTER_REFUSED_PART_US 5000000
/* Proofs are renewed about once a second. */
#define RETRY_AFTER_STALE_KEYS_US 500000

static int64_t
boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
gw_set_key_proof(struct gw *gw, int64_t proven_boot_us)
{
	gw->key_proof_boot_us = proven_boot_us;
}

int64_t
gw_key_proof_age_us(const struct gw *gw)
{
	return gw->key_proof_boot_us == 0 ? -1
					  : boot_us() - gw->key_proof_boot_us;
}

/* A proof from the future is none: the clock does not go back. */
bool
gw_keys_are_fresh(const struct gw *gw)
{
	int64_t age_us;

	if (gw->params.key_proof_age_max_us == 0)
		return true;
	age_us = gw_key_proof_age_us(gw);
	return age_us >= 0 && age_us <= gw->params.key_proof_age_max_us;
}

/*
 * Copies the key without the spaces behind it, which are not part of the value
 * of a header. Returns false unless the request has exactly one key.
 */
static bool
read_key(const struct gw_call *call, char out[RT_KEY_BYTES_MAX + 1])
{
	const char *name = call->gw->params.header_names->api_key;
	const char *key = h1_find_header(call->request, name);
	size_t length;

	if (h1_count_headers(call->request, name) != 1)
		return false;
	for (length = strlen(key); length > 0; length--) {
		if (key[length - 1] != ' ' && key[length - 1] != '\t')
			break;
	}
	if (length == 0)
		return false;
	/* A longer one belongs to no tenant, and nor does an empty text. */
	if (length > RT_KEY_BYTES_MAX)
		length = 0;
	memcpy(out, key, length);
	out[length] = '\0';
	return true;
}

static void
refuse_part(struct gw_call *call, enum gw_reason reason)
{
	gw_respond_error(call, 503, reason, RETRY_AFTER_REFUSED_PART_US);
}

/* Finds the tenant of the call. Returns false if it was refused. */
static bool
find_tenant(struct gw_call *call)
{
	char key[RT_KEY_BYTES_MAX + 1];

	if (!read_key(call, key)) {
		gw_respond_error(call, 401, GW_KEY_MISSING, 0);
		return false;
	}
	/* Before the lookup: a new key may not be known here yet. */
	if (!gw_keys_are_fresh(call->gw)) {
		gw_respond_error(
		    call, 503, GW_KEYS_STALE, RETRY_AFTER_STALE_KEYS_US);
		return false;
	}
	call->tenant = rt_table_find_key(call->table, key);
	if (call->tenant == NULL) {
		gw_respond_error(call, 401, GW_KEY_UNKNOWN, 0);
		return false;
	}
	return true;
}

bool
gw_admit(struct gw_call *call)
{
	call->tenant = NULL;
	call->priority = call->route->priority;
	if (call->route->refused) {
		refuse_part(call, GW_ROUTE_REFUSED);
		return false;
	}
	if (!call->table->has_tenants || call->route->auth_exempt)
		return true;
	if (!find_tenant(call))
		return false;
	if (call->tenant->has_priority)
		call->priority = call->tenant->priority;
	if (call->tenant->refused) {
		refuse_part(call, GW_TENANT_REFUSED);
		return false;
	}
	return true;
}

/*
 * Compares names as servers do that pass headers as variables, where '-' and
 * '_' cannot be told apart.
 */
static bool
is_name_of(const char *name, const char *header)
{
	for (; *header != '\0'; name++, header++) {
		char c = *name == '_' ? '-' : *name;

		if (g_ascii_tolower(c) != g_ascii_tolower(*header))
			return false;
	}
	return *name == '\0';
}

bool
gw_is_tenant_header(const struct gw_call *call, const char *name)
{
	const struct gw_header_names *names = call->gw->params.header_names;

	return call->table->has_tenants && (is_name_of(name, names->api_key) ||
					       is_name_of(name, names->tenant));
}

static struct gw_tenant_counters *
counters_of(struct gw *gw, const char *name)
{
	struct gw_tenant_counters *counters;

	if (gw->tenants == NULL)
		gw->tenants = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free);
	counters = g_hash_table_lookup(gw->tenants, name);
	if (counters == NULL) {
		counters = g_new0(struct gw_tenant_counters, 1);
		g_hash_table_insert(gw->tenants, g_strdup(name), counters);
	}
	return counters;
}

void
gw_count_tenant(const struct gw_call *call, int status, enum gw_reason reason)
{
	struct gw_tenant_counters *counters;

	if (call->tenant == NULL)
		return;
	counters = counters_of(call->gw, call->tenant->name);
	counters->calls++;
	if (reason == GW_ANSWERED)
		counters->answered++;
	else if (status == 503 || status == 429)
		counters->refused++;
}

void
gw_for_each_tenant(const struct gw *gw,
    void (*visit)(
	void *arg, const char *name, const struct gw_tenant_counters *counters),
    void *arg)
{
	GHashTableIter iter;
	gpointer name, counters;

	if (gw->tenants == NULL)
		return;
	g_hash_table_iter_init(&iter, gw->tenants);
	while (g_hash_table_iter_next(&iter, &name, &counters))
		visit(arg, name, counters);
}
