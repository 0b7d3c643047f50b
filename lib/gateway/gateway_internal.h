#ifndef GW_GATEWAY_INTERNAL_H
#define GW_GATEWAY_INTERNAL_H

#include <glib.h>

#include "gateway.h"

struct gw_call;

/* One pool with those of this VM that wait for it. */
struct gw_pool {
	struct bl_pool *balance;
	struct gw *gw;
	char health_path[RT_NAME_BYTES_MAX];
	uint32_t channels_max;
	struct gw_call *waiting; /* most urgent first */
	uint32_t waiting_count;
	struct gw_call *awaiting_probes; /* answers to probes are due */
	uv_timer_t dispatch_timer;	 /* places the waiting again */
	double probe_tokens;		 /* probes that may be sent at once */
	int64_t probe_tokens_at_us;
};

/* Open connections to one target. */
struct gw_channels {
	struct gw *gw;
	struct bl_target *target;
	struct gw_channel *idle;  /* last used first */
	struct gw_channel *probe; /* NULL: none under way */
	uint32_t open_count;
	uint64_t suspect_fingerprint; /* asked because of a crash, or 0 */
};

#define GW_ID_BYTES_MAX 128 /* of a request, as gw_shorten_id() writes it */

struct gw_channel {
	struct h1_channel *h1;
	struct gw_channels *owner;
	struct gw_channel *next_idle;
	struct gw_call *call; /* NULL: idle, or a probe */
	bool probing;
	int64_t last_used_us;
	int64_t idle_limit_us;
	char previous_id[GW_ID_BYTES_MAX]; /* of the request before */
	char id[GW_ID_BYTES_MAX];
	bool reused;
};

enum gw_call_state {
	GW_CALL_FREE,
	GW_CALL_PLACING,
	GW_CALL_PROBING,
	GW_CALL_WAITING,
	GW_CALL_SENT,
};

struct gw_call {
	struct gw *gw;
	struct h1_conn *conn;
	const struct h1_message *request; /* the connection's */
	struct rt_table *table;
	const struct rt_route *route;
	struct gw_pool *pool;
	struct gw_call *next;	   /* in a list of its pool, or free */
	uv_timer_t deadline_timer; /* the caller gets an answer by then */
	uv_timer_t step_timer;	   /* bounds connecting and asking */
	enum gw_call_state state;
	int64_t received_us;
	int64_t objective_us;
	int64_t deadline_us; /* route's time-out or the caller's deadline */
	int64_t started_us;
	int64_t waited_us; /* until the first attempt */
	int64_t expected_us;
	uint64_t number;
	uint64_t fingerprint;
	uint32_t attempts;
	uint32_t delivered_attempts; /* attempts that a target saw */
	bool may_have_run;	     /* no answer may say that it did not */
	uint32_t probes_pending;     /* probes whose answers are due */
	uint32_t probe_rounds;	     /* of probes */
	struct bl_target *probed_targets[BL_PROBES_MAX];
	struct bl_target *tried[BL_TRIED_MAX];
	uint32_t tried_count;
	struct bl_target *target;
	struct gw_channel *channel;
	enum bl_outcome last_outcome;
	char id[GW_ID_BYTES_MAX];
};

struct gw {
	struct gw_params params;
	const struct gw_callbacks *callbacks;
	struct h1_server *server;
	struct rt_table *table;
	GHashTable *pools;   /* by name */
	GHashTable *targets; /* by id, of those that are not gone */
	struct gw_call *free_calls;
	struct bl_poison poison;
	struct cs_random random;
	uv_timer_t sweep;
	struct gw_counters counters;
	struct h1_bytes head; /* scratch for a request or an answer */
	uint64_t next_number;
	bool stopping;
	int64_t stop_us;
};

/* A target tells its own time-out; its answer may still be on its way. */
#define GW_TIMEOUT_MARGIN_US 60000

/*
 * What the modules below report to call.c, which alone puts in order what
 * follows.
 */
struct gw_callbacks {
	/* answer is NULL without one. */
	void (*attempt_ended)(struct gw_call *call, enum bl_outcome outcome,
	    const struct h1_message *response);
	void (*probe_ended)(struct gw_pool *pool, struct bl_target *target);
	void (*place)(struct gw_call *call); /* it has asked long enough */
	void (*dispatch_waiting)(struct gw_pool *pool); /* there may be room */
};

/* call.c: one request from a caller */
extern const struct gw_callbacks gw_call_callbacks;
void gw_call_begin(
    struct gw *gw, struct h1_conn *conn, const struct h1_message *request);
void gw_call_abandon(struct gw_call *call);

/* answer.c: what callers get */
/* gw_call_end(call, status, reason): logs, counts and frees it. */
void gw_call_end(struct gw_call *call, int status, enum gw_reason reason);
void gw_respond_error(struct gw_call *call, int status, enum gw_reason reason,
    int64_t retry_after_us);
/* gw_respond(call, step, ...): what follows an attempt, unless BL_RETRY. */
void gw_respond(struct gw_call *call, enum bl_step step,
    enum bl_outcome outcome, const struct h1_message *response);

/* placing.c: where it goes, and waiting */
/* gw_place(call, out): asks lib/balance; does nothing about it. */
void gw_place(struct gw_call *call, struct bl_placement *out);
/* gw_probe_for_call(call, placement): probes its targets; false: none could be
 * asked. */
bool gw_probe_for_call(
    struct gw_call *call, const struct bl_placement *placement);
/* gw_probe_for_pool(pool, placement): the same without a call that waits for
 * it. */
void gw_probe_for_pool(
    struct gw_pool *pool, const struct bl_placement *placement);
/* gw_probe_settled(call, target, out): a probe is over; true: to be placed now.
 */
bool gw_probe_settled(struct gw_call *call, const struct bl_target *target,
    struct bl_placement *out);
/* gw_must_queue(call): others that are at least as urgent wait already. */
bool gw_must_queue(const struct gw_call *call);
void gw_enqueue(struct gw_call *call);
/* gw_schedule_dispatch(pool): places those that wait again in a few ms. */
void gw_schedule_dispatch(struct gw_pool *pool);
/* gw_dequeue(call): takes it out of whatever it waits in. */
void gw_dequeue(struct gw_call *call);
void gw_log_refusal(
    const struct gw_call *call, const struct bl_placement *placement);

/* attempt.c: one attempt at a target */
/* gw_attempt_start(call, placement): on an error it has ended unreached. */
int gw_attempt_start(
    struct gw_call *call, const struct bl_placement *placement);
/* gw_attempt_finish(call, ...): accounts for its end; says what follows. */
enum bl_step gw_attempt_finish(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *response);
/* gw_attempt_drop(call, outcome): ends it, nothing follows. */
void gw_attempt_drop(struct gw_call *call, enum bl_outcome outcome);

/* channels.c: connections to targets */
int gw_send(struct gw_call *call, struct bl_target *target);
/* gw_cancel(call): gives up on the attempt under way. */
void gw_cancel(struct gw_call *call);
/* gw_probe(gw, target): asks a target for its load. */
int gw_probe(struct gw *gw, struct bl_target *target);
void gw_channels_sweep(struct gw_channels *channels, int64_t now_us);
void gw_channels_close(struct gw_channels *channels);

/* exchange.c: requests to targets, and what their answers mean */
enum gw_match {
	GW_MATCH_CURRENT,
	GW_MATCH_PREVIOUS, /* a second answer to the request before */
	GW_MATCH_NONE,
};
/* gw_shorten_id(out, id): whole where it fits, or its beginning and a hash. */
void gw_shorten_id(char out[GW_ID_BYTES_MAX], const char *id);
enum gw_match gw_match_response(
    const struct gw_channel *channel, const struct h1_message *response);
enum bl_outcome gw_classify_response(
    const struct gw_dialect *header_names, const struct h1_message *response);
/* gw_idle_limit_us(answer): how long its connection may be idle. */
int64_t gw_idle_limit_us(const struct h1_message *response);
/* gw_write_head(call, target): into the gateway's scratch buffer. */
int gw_write_head(struct gw_call *call, const struct bl_target *target);

/* pools.c */
struct gw_pool *gw_pool_of(struct gw *gw, const char *name);
struct gw_pool *gw_pool_of_target(const struct bl_target *target);

#endif
