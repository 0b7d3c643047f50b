/*
 * quota: the rate limit of a tenant, shared by all VMs. Without I/O: the time
 * is an argument, and advances while the VM is suspended, as cs_boot_us().
 *
 * Each region has an owner for each tenant, one of its VMs. A VM that needs
 * credit asks the owner of its region; credit is for some requests and void
 * after BL_QUOTA_CREDIT_US. The owners of the regions divide the rate in
 * proportion to the demand that they see: each lends parts of its even share to
 * the others, see quota_owner.c.
 *
 * bl_quota_take(): a request of the tenant (quota.c)
 * bl_quota_ask(): writes the question to the owner
 * bl_quota_granted(), bl_quota_retake(): its answer
 * bl_quota_grant(): answers as the owner (quota_owner.c)
 * bl_quota_tell(), bl_quota_hear(): exchange between owners of regions
 * bl_quota_is_list_due(), bl_quota_listed(): regions without VMs
 * (quota_listing.c)
 */
#ifndef BL_QUOTA_H
#define BL_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#define BL_QUOTA_REGIONS_MAX 8
/*
 * Credit is void so long after the question for it. Requests of a window may
 * use credit from before it: 5.25 s of the rate in 5 s, half of the excess of
 * 0.1 that the bound allows. The other half is for VMs without an owner.
 */
#define BL_QUOTA_CREDIT_US 250000
/* A question without an answer within this time was lost, and is repeated. */
#define BL_QUOTA_REPLY_US 50000
/* A request waits for answers no longer than this. */
#define BL_QUOTA_WAIT_US 100000
/* A process that did not run for so long may have been replaced as an owner. */
#define BL_QUOTA_PAUSE_US 1000000
/* Shares of the rate are whole numbers of this part of it. */
#define BL_QUOTA_WHOLE 10000

/*
 * The store's list of VMs tells for so long that a region has none. A shorter
 * time needs more calls to the store.
 */
#define BL_QUOTA_LISTING_US 5000000
/*
 * Nobody uses the share of a region any more so long after the store first
 * listed a VM there: no list without that VM is still valid then, and the loans
 * that were given while one was have ended.
 */
#define BL_QUOTA_SETTLE_US 8500000

/*
 * Which regions have VMs, according to the store. A region that it lists no VM
 * of has no share, and the others divide its part: see quota_listing.c.
 */
struct bl_quota_listing {
	uint32_t empty; /* regions without VMs, bit i for region i */
	int64_t at_us;	/* when that list was requested; 0: none counts */
	/*
	 * Since when this VM knows that the store lists a VM of its own region;
	 * 0: always, INT64_MAX: not yet.
	 */
	int64_t own_since_us;
	int64_t requested_us; /* the last list */
	uint32_t unanswered;  /* requests since the last list that came */
};

/* The deployment as this VM knows it. */
struct bl_quota_params {
	int64_t window_us; /* of the bound; 0: no quotas */
	/* Requests beyond rate and burst that the bound allows. */
	double excess, slack;
	uint32_t
	    node_count;	    /* VMs that may spend, of all regions; 0: unknown */
	uint64_t own_hash;  /* of this VM */
	int64_t started_us; /* this process */
	uint32_t region_count;
	uint32_t own_region;
	struct bl_quota_listing listing;
};

/* Credit that one answer gave. */
struct bl_quota_credit {
	uint32_t count;
	int64_t until_us;
};

/* What the owner of a region knows of another region. */
struct bl_quota_region {
	bool heard; /* since this VM owns the tenant */
	int64_t heard_us;
	double demand_per_s;
	/*
	 * Lent to it: as last told, and the most that it may hold until it
	 * confirms that.
	 */
	uint32_t lent, lent_max;
	uint32_t lent_stamp; /* of the change of what is lent */
	/* Borrowed from it. */
	uint32_t held;
	int64_t held_until_us;
	uint32_t stamp; /* its last one, to be echoed */
	bool has_stamp;
	int64_t told_us;
	/* Its owner has heard this one since the store lists this region. */
	bool knows_own;
	bool wants_echo; /* it has no stamp of this owner yet */
	bool lends_less; /* which this owner has not confirmed yet */
};

struct bl_quota {
	uint64_t tenant; /* hash of its name */
	double rate_per_s, burst;

	/* Requests of this VM. */
	struct bl_quota_credit credits[2];
	uint32_t unspent; /* credit that was void before it was used */
	int64_t unspent_us;
	uint8_t number; /* of the last question */
	/* The last two questions, if not answered; 0: none. */
	int64_t asked_us[2];
	uint32_t arrived; /* since the last question */
	double arrivals_per_s;
	int64_t arrived_us;
	int64_t refused_until_us;  /* the tenant is over its quota */
	int64_t silent_until_us;   /* the owner does not answer */
	int64_t allowance_from_us; /* the next request without an owner */

	/* As the owner in this region. */
	bool owns;
	int64_t owns_since_us;
	uint32_t nonce; /* stamps of other owners mean nothing to this one */
	double tokens;
	int64_t tokens_at_us;
	double head_start;     /* given so far by this process */
	uint32_t filled_share; /* the share when the bucket was last filled */
	int64_t used_us;       /* the last question */
	double demand_per_s;
	int64_t demand_at_us;
	double refused;
	int64_t refused_at_us;
	int64_t passed_on_us; /* the last question to another region */
	uint32_t passed_on_to;
	struct bl_quota_region regions[BL_QUOTA_REGIONS_MAX];
};

enum bl_quota_verdict {
	BL_QUOTA_ADMIT,
	BL_QUOTA_WAIT,	  /* for the owner's answer */
	BL_QUOTA_OVER,	  /* over the quota */
	BL_QUOTA_UNKNOWN, /* the owner does not answer */
};

struct bl_quota_decision {
	enum bl_quota_verdict verdict;
	bool ask; /* the owner is to be asked, see bl_quota_ask() */
	int64_t retry_after_us;
};

/* A question to the owner. */
struct bl_quota_ask {
	uint64_t tenant;
	uint8_t number;
	uint32_t count;	  /* credit, at most */
	uint32_t arrived; /* requests since the last question */
	uint32_t unspent; /* credit that it gave and that is void now */
	/* The owner may have the owner in another region answer instead. */
	bool may_pass_on;
};

struct bl_quota_grant {
	uint64_t tenant;
	uint8_t number;
	uint32_t count;
	/*
	 * With less credit than asked for: when there may be more. Without both
	 * the owner cannot tell.
	 */
	int64_t wait_us;
	/* The owner in this region is to answer; -1: this is the answer. */
	int32_t region;
};

/* What the owner in a region tells the owner in another one. */
struct bl_quota_share {
	uint64_t tenant;
	uint32_t region;       /* of the sender */
	uint32_t demand_milli; /* requests in 1,000 seconds */
	uint32_t lent;	       /* of the sender's even share, to the receiver */
	uint32_t held;	       /* what the sender holds of the receiver's */
	uint32_t stamp;
	uint32_t echo; /* the last stamp of the receiver */
	bool has_echo;
};

/* bl_quota_set(quota, rate_per_s, burst): as the configuration says now. */
void bl_quota_set(struct bl_quota *quota, double rate_per_s, double burst);
/* bl_quota_take(quota, params, now_us, out): a request has arrived. */
void bl_quota_take(struct bl_quota *quota, const struct bl_quota_params *params,
    int64_t now_us, struct bl_quota_decision *out);
/*
 * bl_quota_ask(quota, waiting, now_us, out): writes the question for credit,
 * for so many waiting requests and those expected next.
 */
void bl_quota_ask(struct bl_quota *quota, uint32_t waiting, int64_t now_us,
    struct bl_quota_ask *out);
/*
 * bl_quota_granted(quota, grant, now_us): takes the owner's answer. Returns
 * false if it answers no pending question or does not tell.
 */
bool bl_quota_granted(
    struct bl_quota *quota, const struct bl_quota_grant *grant, int64_t now_us);
/*
 * bl_quota_retake(quota, params, now_us, out): decides again on a request that
 * waits, since an answer has come or is overdue.
 */
void bl_quota_retake(struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us,
    struct bl_quota_decision *out);
/* bl_quota_give_up(): the same when it has waited for BL_QUOTA_WAIT_US. */
void bl_quota_give_up(struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us,
    struct bl_quota_decision *out);

/*
 * bl_quota_grant(quota, params, ask, now_us, out): answers as the owner, or
 * names the region whose owner is to be asked, see bl_quota_pass_on().
 */
void bl_quota_grant(struct bl_quota *quota,
    const struct bl_quota_params *params, const struct bl_quota_ask *ask,
    int64_t now_us, struct bl_quota_grant *out);
/*
 * bl_quota_pass_on(ask): makes the question one that another region's owner
 * answers: it counts as demand here only, and what is returned stays here.
 */
void bl_quota_pass_on(struct bl_quota_ask *ask);
/*
 * bl_quota_own(quota, params, nonce, now_us): this VM is the owner; if it was
 * not before, it starts without credit and learns what is lent.
 */
void bl_quota_own(struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t nonce, int64_t now_us);
/* bl_quota_disown(quota): another VM is, or may be. */
void bl_quota_disown(struct bl_quota *quota);
/*
 * bl_quota_tell(quota, params, region, answers, now_us, out): returns true if
 * the owner in that region is to be told now, and writes what. answers: that
 * owner has just been heard.
 */
bool bl_quota_tell(struct bl_quota *quota, const struct bl_quota_params *params,
    uint32_t region, bool answers, int64_t now_us, struct bl_quota_share *out);
/* bl_quota_hear(quota, params, share, now_us): another owner told this. */
void bl_quota_hear(struct bl_quota *quota, const struct bl_quota_params *params,
    const struct bl_quota_share *share, int64_t now_us);
/* bl_quota_own_share(quota, params, now_us): of the rate, see BL_QUOTA_WHOLE.
 */
uint32_t bl_quota_own_share(const struct bl_quota *quota,
    const struct bl_quota_params *params, int64_t now_us);

/*
 * bl_quota_is_list_due(listing, some_unheard, owner_since_us, now_us): returns
 * true if the store is to be asked for its list of VMs now, once for each
 * request. some_unheard: this VM has heard no VM of some region yet;
 * owner_since_us: when it last became the owner of a tenant; 0: of none.
 */
bool bl_quota_is_list_due(struct bl_quota_listing *listing, bool some_unheard,
    int64_t owner_since_us, int64_t now_us);

/* A list of VMs that the store has given. */
struct bl_quota_list {
	uint32_t regions; /* that have a VM, bit i for region i */
	int64_t requested_us;
	/*
	 * Its parts were read at different times, or the store has come back
	 * from an older copy: VMs may run that it does not list.
	 */
	bool may_lack;
};

/* bl_quota_listed(listing, params, list, now_us): takes such a list. */
void bl_quota_listed(struct bl_quota_listing *listing,
    const struct bl_quota_params *params, const struct bl_quota_list *list,
    int64_t now_us);
/*
 * bl_quota_told_listed(listing, settled, now_us): another VM of this region has
 * told that the store lists the region; settled: for BL_QUOTA_SETTLE_US.
 */
void bl_quota_told_listed(
    struct bl_quota_listing *listing, bool settled, int64_t now_us);
/* bl_quota_is_settled(listing, now_us): the region has a share of its own. */
bool bl_quota_is_settled(
    const struct bl_quota_listing *listing, int64_t now_us);

#endif
