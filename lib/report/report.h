/*
 * report: accounts of the service that each member got on each route, and the
 * rate at which its objective's allowance burns. Accounts of several VMs and
 * processes merge; each process counts for itself, so nothing is counted
 * twice after a restart.
 */
#ifndef RP_REPORT_H
#define RP_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define RP_NAME_BYTES_MAX 128
#define RP_ACCOUNTS_MAX 512 /* pairs of member and route, per process */
#define RP_SHORT_MINUTES 5
#define RP_LONG_MINUTES 60

enum rp_result {
	RP_SERVED,  /* whole and in time */
	RP_LATE,    /* whole, after the objective's latency */
	RP_NOT_RUN, /* refused, surely not run */
	RP_UNKNOWN, /* refused, may have run */
	RP_CUT,	    /* the answer broke off */
	RP_LEFT,    /* the caller left first */
	RP_RESULT_COUNT,
};

struct rp_call {
	const char *member; /* need not end in NUL */
	uint32_t member_bytes;
	const char *route;
	bool idempotent;
	uint32_t weight;
	uint32_t objective_ms;
	double objective_share;
	enum rp_result result;
	int64_t took_us;
};

struct rp_accounts;

struct rp_accounts *rp_create(void);
void rp_free(struct rp_accounts *accounts);
/* rp_add(accounts, call, now): counts one call. */
void rp_add(
    struct rp_accounts *accounts, const struct rp_call *call, int64_t now_us);
/* rp_json(accounts, now): all accounts, for rp_merge(); a new reference. */
json_t *rp_json(struct rp_accounts *accounts, int64_t now_us);
/*
 * rp_merge(total, part): adds the accounts of one process to a total, which
 * starts as an empty array. CS_E_INVALID when part is not of rp_json().
 */
int rp_merge(json_t *total, const json_t *part);
/* rp_text(total): a table of the accounts; the caller frees it. */
char *rp_text(const json_t *total);
/* rp_html(total): a page with the same and plots; the caller frees it. */
char *rp_html(const json_t *total);
/*
 * rp_burn(account, minutes): how many times faster than allowed the objective
 * was missed in the last RP_SHORT_MINUTES or RP_LONG_MINUTES.
 */
double rp_burn(const json_t *account, uint32_t minutes);

#endif
