/* Counts calls in one usage account for each pair of member and route. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "report_internal.h"

#define MINUTE_US 60000000

/* Calls that met and that missed the objective in one minute. */
struct minute {
	int64_t number;
	uint32_t good;
	uint32_t bad;
};

struct account {
	char member[RP_NAME_BYTES_MAX];
	char route[RP_NAME_BYTES_MAX];
	bool idempotent;
	uint32_t weight;
	uint32_t objective_ms;
	double objective_share;
	uint64_t results[RP_RESULT_COUNT];
	struct cs_histogram latency;
	struct minute minutes[RP_LONG_MINUTES];
};

struct rp_accounts {
	uint32_t count;
	struct account *items[RP_ACCOUNTS_MAX];
	GHashTable *index; /* account_key() to the account's number + 1 */
};

static const char *const result_keys[RP_RESULT_COUNT] = {
    "served", "late", "not_run", "unknown", "cut", "left"};

struct rp_accounts *
rp_create(void)
{
	struct rp_accounts *accounts = calloc(1, sizeof(*accounts));

	if (accounts != NULL)
		accounts->index = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, g_free, NULL);
	return accounts;
}

void
rp_free(struct rp_accounts *accounts)
{
	uint32_t i;

	for (i = 0; i < accounts->count; i++)
		free(accounts->items[i]);
	g_hash_table_destroy(accounts->index);
	free(accounts);
}

static void
copy_name(char out[RP_NAME_BYTES_MAX], const char *name, uint32_t bytes)
{
	if (bytes >= RP_NAME_BYTES_MAX)
		bytes = RP_NAME_BYTES_MAX - 1;
	memcpy(out, name, bytes);
	out[bytes] = '\0';
}

static uint64_t
account_key(const char *member, const char *route)
{
	return cs_hash_pair(
	    cs_hash(member, strlen(member)), cs_hash(route, strlen(route)));
}

static struct account *
find_account(
    const struct rp_accounts *accounts, const char *member, const char *route)
{
	uint64_t key = account_key(member, route);
	guint number =
	    GPOINTER_TO_UINT(g_hash_table_lookup(accounts->index, &key));

	return number == 0 ? NULL : accounts->items[number - 1];
}

static struct account *
add_account(struct rp_accounts *accounts, const char *member, const char *route)
{
	struct account *account;
	uint64_t *key;

	if (accounts->count == RP_ACCOUNTS_MAX)
		return NULL;
	account = calloc(1, sizeof(*account));
	if (account == NULL)
		return NULL;
	strcpy(account->member, member);
	copy_name(account->route, route, (uint32_t)strlen(route));
	accounts->items[accounts->count++] = account;
	key = g_new(uint64_t, 1);
	*key = account_key(member, route);
	g_hash_table_insert(
	    accounts->index, key, GUINT_TO_POINTER(accounts->count));
	return account;
}

/*
 * Name of the account that further members of a route share once half of
 * RP_ACCOUNTS_MAX accounts exist. The other half is for these accounts.
 */
#define OTHER_MEMBERS "(others)"

static struct account *
find_or_add_account(
    struct rp_accounts *accounts, const char *member, const char *route)
{
	struct account *account = find_account(accounts, member, route);

	if (account != NULL)
		return account;
	if (accounts->count < RP_ACCOUNTS_MAX / 2)
		return add_account(accounts, member, route);
	account = find_account(accounts, OTHER_MEMBERS, route);
	return account != NULL ? account
			       : add_account(accounts, OTHER_MEMBERS, route);
}

static void
count_minute(struct account *account, enum rp_result result, int64_t now_us)
{
	int64_t number = now_us / MINUTE_US;
	struct minute *minute = &account->minutes[number % RP_LONG_MINUTES];

	if (result == RP_LEFT)
		return; /* counts neither for nor against the objective */
	if (minute->number != number)
		*minute = (struct minute){.number = number};
	if (result == RP_SERVED)
		minute->good++;
	else
		minute->bad++;
}

void
rp_add(struct rp_accounts *accounts, const struct rp_call *call, int64_t now_us)
{
	char member[RP_NAME_BYTES_MAX];
	struct account *account;

	copy_name(member, call->member, call->member_bytes);
	if (member[0] == '\0')
		strcpy(member, "-");
	account = find_or_add_account(accounts, member, call->route);
	if (account == NULL)
		return;
	account->idempotent = call->idempotent;
	account->weight = call->weight;
	account->objective_ms = call->objective_ms;
	account->objective_share = call->objective_share;
	account->results[call->result]++;
	if (call->result <= RP_LATE)
		cs_histogram_add(&account->latency, call->took_us);
	count_minute(account, call->result, now_us);
}

/* Returns the good and bad calls of the last minutes. */
static json_t *
window_json(const struct account *account, int64_t now_us, uint32_t minutes)
{
	int64_t now_number = now_us / MINUTE_US;
	uint64_t good = 0, bad = 0;
	uint32_t i;

	for (i = 0; i < RP_LONG_MINUTES; i++) {
		const struct minute *minute = &account->minutes[i];

		if (now_number - minute->number >= minutes)
			continue;
		good += minute->good;
		bad += minute->bad;
	}
	return json_pack(
	    "{s:I, s:I}", "good", (json_int_t)good, "bad", (json_int_t)bad);
}

static json_t *
account_json(const struct account *account, int64_t now_us)
{
	json_t *row;
	uint32_t i;

	row = json_pack("{s:s, s:s, s:b, s:I, s:I, s:f}", "member",
	    account->member, "route", account->route, "idempotent",
	    (int)account->idempotent, "weight", (json_int_t)account->weight,
	    "objective_ms", (json_int_t)account->objective_ms,
	    "objective_share", account->objective_share);
	for (i = 0; i < RP_RESULT_COUNT; i++)
		json_object_set_new(row, result_keys[i],
		    json_integer((json_int_t)account->results[i]));
	json_object_set_new(
	    row, "short", window_json(account, now_us, RP_SHORT_MINUTES));
	json_object_set_new(
	    row, "long", window_json(account, now_us, RP_LONG_MINUTES));
	json_object_set_new(
	    row, "latency", rp_histogram_json(&account->latency));
	return row;
}

json_t *
rp_json(struct rp_accounts *accounts, int64_t now_us)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < accounts->count; i++)
		json_array_append_new(
		    list, account_json(accounts->items[i], now_us));
	return list;
}
