/*
 * gateway: carries requests from callers to targets and answers back. What
 * goes where, waits, is refused or sent again is decided by lib/balance.
 */
#ifndef GW_GATEWAY_H
#define GW_GATEWAY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "../balance/balance.h"
#include "../h1/h1.h"
#include "../routes/routes.h"

/* Names of headers, and the reading of the one that has a form of its own. */
struct gw_dialect {
	const char *request_id;	     /* of one attempt of a caller */
	const char *deadline;	     /* milliseconds that are left */
	const char *expected_target; /* only this target may run it */
	const char *load;	     /* what a target says of its load */
	const char *not_run;	     /* a target vouches that it did not run */
	const char *signature;	     /* without it a 2xx is no answer */
	bool (*parse_load)(const char *text, struct bl_load *out);
};

/* Why a call ended as it did; the catalogue is docs/EVENTS.md. */
enum gw_reason {
#define GW_REASON(symbol, text, meaning) GW_##symbol,
#include "reasons.def"
#undef GW_REASON
	GW_REASONS
};

const char *gw_reason_text(enum gw_reason reason);
/* gw_reason_meaning(text): a sentence for operators, NULL: no such reason. */
const char *gw_reason_meaning(const char *text);

struct gw_counters {
	uint64_t calls;
	uint64_t ended[GW_REASONS];
	uint64_t attempts;
	uint64_t retries;
	uint64_t probes;
	uint64_t channels_opened;
	uint64_t callers_gone;
	struct cs_histogram answered; /* whole calls with a relayed answer */
	struct cs_histogram waited;   /* until handed to a target */
	struct cs_histogram at_target;
};

/* How a call on a route ended. */
struct gw_ended {
	const struct rt_route *route;
	enum gw_reason reason;
	int status; /* 0: none was sent */
	int64_t took_us;
	int64_t objective_us;
};

struct gw_events {
	void (*on_ended)(void *user, const struct gw_ended *ended);
	/* A request crashed a target: others should know. */
	void (*on_crash)(void *user, uint64_t fingerprint);
};

struct gw_params {
	uv_loop_t *loop;
	const struct gw_dialect *dialect;
	const struct bl_topology *topology; /* the caller's, for its life */
	struct bl_budget_terms budget;
	struct sockaddr_in front;
	uint32_t connections_max;
	uint64_t memory_bytes_max; /* bodies held at one time */
	uint64_t answer_bytes_max; /* one target's answer */
	double probes_per_s;	   /* of one target, from the whole fleet */
	uint64_t seed;
	const struct gw_events *events;
	void *user;
};

struct gw;

int gw_create(const struct gw_params *params, struct gw **out);
/* gw_set_table(gw, table): in force from now on; takes a reference. */
void gw_set_table(struct gw *gw, struct rt_table *table);
const struct rt_table *gw_table(const struct gw *gw);

/* What is known of one target from outside. */
struct gw_target_news {
	const char *id;
	const char *pool;
	struct sockaddr_in address;
	uint32_t place;
	uint32_t slots;
	uint64_t born_ms;
	int64_t cold_ms; /* how much longer it is slow */
	bool leaving;
};

void gw_target_seen(struct gw *gw, const struct gw_target_news *news);
/* gw_target_gone(gw, id): gets no new work; what runs there ends. */
void gw_target_gone(struct gw *gw, const char *id);
void gw_set_members(struct gw *gw, uint32_t members);
/* gw_suspect(gw, fingerprint): another VM saw it crash a target. */
void gw_suspect(struct gw *gw, uint64_t fingerprint);
/*
 * gw_stop(gw, until): answers end their connections from now on, and calls
 * that could last beyond until are refused. gw_is_done(): nothing is open.
 */
void gw_stop(struct gw *gw, int64_t until_us);
void gw_close_idle(struct gw *gw);
bool gw_is_done(const struct gw *gw);
const struct gw_counters *gw_get_counters(const struct gw *gw);
/* gw_each_pool(gw, visit, arg): for reports. */
void gw_each_pool(const struct gw *gw,
    void (*visit)(void *arg, const struct bl_pool *pool, uint32_t waiting),
    void *arg);
uint32_t gw_connections(const struct gw *gw);

#endif
