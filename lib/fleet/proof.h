/*
 * proof: until when a VM knows that its configuration was complete, so that
 * keys which were taken away are not served. Pure logic: the time is an
 * argument.
 *
 * A VM that watches the store proves it by a query that the store answers
 * without changes: everything acknowledged before the query was sent is known.
 * The others ask such a VM by datagram. The answer echoes the time of the query
 * and tells how old the proof of the VM is, so that delay, freezes and repeated
 * datagrams only make a proof older.
 *
 * All times are CLOCK_BOOTTIME of this VM, which goes on while it is frozen.
 */
#ifndef FL_PROOF_H
#define FL_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/* The configuration that a VM has in force. */
struct fl_config_state {
	uint64_t revision; /* of the store; 0: none */
	uint64_t version;  /* given by the operator, never goes back */
};

struct fl_proof_query {
	uint64_t process; /* of the asker, random */
	int64_t asked_us; /* by the asker's clock */
	struct fl_config_state config;
};

struct fl_proof_reply {
	uint64_t process; /* of the query */
	int64_t asked_us; /* of the query */
	bool proven;
	int64_t age_us; /* of the proof, when it was sent */
	struct fl_config_state config;
};

/* Why the last answer was of no use. */
enum fl_proof_fault {
	FL_PROOF_OK,
	FL_PROOF_NO_ANSWER,
	FL_PROOF_UNPROVEN, /* the VM that was asked has no fresh proof */
	FL_PROOF_BEHIND,   /* the configuration here is older */
	FL_PROOF_LOST,	   /* the store has lost a later configuration */
	FL_PROOF_SETTLING, /* the store has just come back from a copy */
	FL_PROOF_REFUSED,  /* the latest configuration could not be read */
};

struct fl_proof {
	int64_t age_max_us;
	uint64_t process;
	int64_t created_us;
	int64_t proven_us; /* 0: never */
	int64_t asked_us;  /* the last query to VMs; 0: none yet */
	int64_t asked_store_us;
	/* A version that was in force elsewhere and that the store lacks. */
	uint64_t lost_version;
	bool refused; /* see fl_proof_set_refused() */
	uint64_t era; /* of the store, at its last answer; 0: none yet */
	/* In a new era, proofs of the store count only from then on. */
	int64_t settled_us;
	enum fl_proof_fault fault;
};

void fl_proof_init(struct fl_proof *proof, int64_t age_max_us, uint64_t process,
    int64_t now_us);
bool fl_proof_is_fresh(const struct fl_proof *proof, int64_t now_us);
/*
 * fl_proof_set_refused(proof, refused): whether the latest configuration could
 * not be read. Which keys it took away is not known then, so nothing proves
 * that those in force are complete.
 */
void fl_proof_set_refused(struct fl_proof *proof, bool refused);
/* fl_proof_age_us(proof, now_us): returns -1 without a proof. */
int64_t fl_proof_age_us(const struct fl_proof *proof, int64_t now_us);
/* fl_proof_why_stale(proof): why there is no later proof, for the log. */
const char *fl_proof_why_stale(const struct fl_proof *proof);

/*
 * fl_proof_is_store_due(proof, now_us): a VM that watches the store is to query
 * it now. Returns true once for each query.
 */
bool fl_proof_is_store_due(struct fl_proof *proof, int64_t now_us);
/*
 * fl_proof_by_store(proof, config, era, sent_us): the store, which is in this
 * era, has told of no change in answer to a query sent then. Returns true if
 * that is a proof.
 */
bool fl_proof_by_store(struct fl_proof *proof,
    const struct fl_config_state *config, uint64_t era, int64_t sent_us);

/*
 * fl_proof_is_query_due(proof, now_us): other VMs are to be asked now. The
 * leader is asked in any case, others only if fl_proof_needs_others().
 */
bool fl_proof_is_query_due(const struct fl_proof *proof, int64_t now_us);
bool fl_proof_needs_others(const struct fl_proof *proof, int64_t now_us);
void fl_proof_ask(struct fl_proof *proof, const struct fl_config_state *config,
    int64_t now_us, struct fl_proof_query *out);
/* fl_proof_answer(): any VM answers, with the proof that it has. */
void fl_proof_answer(struct fl_proof *proof,
    const struct fl_config_state *config, const struct fl_proof_query *query,
    int64_t now_us, struct fl_proof_reply *out);
/* fl_proof_take(proof, config, reply, now_us): returns true if it is a proof.
 */
bool fl_proof_take(struct fl_proof *proof, const struct fl_config_state *config,
    const struct fl_proof_reply *reply, int64_t now_us);

#endif
