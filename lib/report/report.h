/*
 * report: usage accounts, which count the results of each member's calls on
 * each route, and burn rates, which show how fast the error budget of an
 * objective is used up. Accounts of several VMs and processes can be merged;
 * each process counts on its own, so that nothing is counted twice after a
 * restart.
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
	RP_SERVED,  /* complete and in time */
	RP_LATE,    /* complete, but over the objective's latency */
	RP_NOT_RUN, /* refused; certainly not run */
	RP_UNKNOWN, /* refused; may have run */
	RP_CUT,	    /* the response was truncated */
	RP_LEFT,    /* the caller left before the response was complete */
	RP_RESULT_COUNT,
};

struct rp_call {
	const char *member; /* need not be NUL terminated */
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
/* rp_add(accounts, call, now_us): counts one call. */
void rp_add(
    struct rp_accounts *accounts, const struct rp_call *call, int64_t now_us);
/*
 * rp_json(accounts, now_us): returns all accounts as input of rp_merge(), as a
 * new reference.
 */
json_t *rp_json(struct rp_accounts *accounts, int64_t now_us);
/*
 * rp_merge(total, part): adds the accounts of one process to a total, which
 * starts as an empty array. Returns CS_E_INVALID when part does not have the
 * form that rp_json() returns.
 */
int rp_merge(json_t *total, const json_t *part);
/* rp_text(total): formats a table of the accounts; the caller frees it. */
char *rp_text(const json_t *total);
/*
 * rp_html(total): formats an HTML page with the table and a bar chart of each
 * account; the caller frees it.
 */
char *rp_html(const json_t *total);
/*
 * rp_burn_rate(account, minutes): returns the burn rate over the last
 * RP_SHORT_MINUTES or RP_LONG_MINUTES: how many times more often the objective
 * was missed than it allows.
 */
double rp_burn_rate(const json_t *account, uint32_t minutes);

#endif
