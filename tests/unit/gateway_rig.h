/*
 * A gateway between scripted targets and scripted callers, all in one process
 * on loopback. Nothing here depends on how long anything takes.
 */
#ifndef GATEWAY_RIG_H
#define GATEWAY_RIG_H

#include "../../lib/gateway/gateway.h"
#include "../../platform/platform.h"

#define RIG_SCRIPTS_MAX 8
#define RIG_TARGETS_MAX 3
#define RIG_RESPONSE_BYTES_MAX (1024 * 1024)

enum rig_end {
	RIG_KEEP,
	RIG_CLOSE,
	RIG_RESET,
	RIG_SILENT, /* sends nothing, keeps the connection */
};

/* How a target handles one request. */
struct rig_script {
	const char *bytes; /* "%I" stands for the request's id; NULL: none */
	enum rig_end end;
	const char *later; /* sent after the caller has its response */
	bool at_head;	   /* responds before the whole body arrived */
};

struct rig_params {
	const struct rig_script
	    *scripts;	       /* one per request, in order of arrival */
	uint32_t script_count; /* the last one repeats */
	uint32_t target_count;
	bool with_table;
	bool late_table;  /* set after the first request has arrived */
	bool dead_target; /* the first one refuses connections */
	uint32_t timeout_ms;
	uint32_t attempts_max;
	uint32_t connections_max; /* per target; 0: unlimited */
	uint32_t slots;		  /* per target; 0: 4 */
	bool no_health_path;
	double probes_per_s;			      /* for each target */
	void (*add_to_table)(struct rt_table *table); /* NULL: nothing */
	int64_t key_proof_age_max_us;
	/* So many crashing requests are answered before they crash targets. */
	uint32_t harmless_crashes;
	struct bl_quota_params quota; /* window_us 0: no quotas */
	/* Questions for quotas are kept, see rig_answer_quota(). */
	bool holds_quota_asks;
	/* Nobody answers at the address of a crashed target. */
	bool silent_after_crash;
	/* Connections of a crashed target fall silent; none is reset. */
	bool hangs_at_crash;
	/* A crashed target listens again at once. */
	bool restart_at_once;
	/* Target 0 is in this region, each other one in a region of its own. */
	bool many_regions;
};

struct rig;

struct rig *rig_create(const struct rig_params *params);
void rig_free(struct rig *rig);
/*
 * rig_ask(rig, bytes): sends bytes on a new connection and runs until it ends
 * or a complete response has arrived; returns the bytes received.
 */
const char *rig_ask(struct rig *rig, const char *bytes, size_t length);
/*
 * rig_ask_all(rig, bytes, length, responses): as rig_ask, until so many
 * complete responses have arrived or the connection ends.
 */
const char *rig_ask_all(
    struct rig *rig, const char *bytes, size_t length, uint32_t responses);
/* rig_set_caller(rig, number): later requests come from 127.0.0.number. */
void rig_set_caller(struct rig *rig, uint32_t number);
/* rig_leave(rig, bytes): sends, waits until a target has it, closes. */
void rig_leave(struct rig *rig, const char *bytes, size_t length);
/* rig_hold(rig, bytes): as rig_leave, but keeps the connection open. */
void rig_hold(struct rig *rig, const char *bytes, size_t length);
/* rig_begin(rig, bytes): as rig_ask, but returns once it is sent. */
void rig_begin(struct rig *rig, const char *bytes, size_t length);
/* rig_finish(rig): runs until the response to rig_begin() has arrived. */
const char *rig_finish(struct rig *rig);
/* rig_abandon(rig): closes the connection of rig_begin(). */
void rig_abandon(struct rig *rig);
/* rig_await_quota_asks(rig, asks): runs until so many questions are asked. */
void rig_await_quota_asks(struct rig *rig, uint32_t asks);
/* rig_answer_quota(rig): answers the last question that was kept. */
void rig_answer_quota(struct rig *rig);
/* rig_send_late(rig): sends the later bytes of the targets' scripts. */
void rig_send_late(struct rig *rig);
/* rig_await_requests(rig, requests): runs until targets have so many. */
void rig_await_requests(struct rig *rig, uint32_t requests);
/* rig_await_waiting(rig, calls): runs until so many calls wait for room. */
void rig_await_waiting(struct rig *rig, uint32_t calls);
/*
 * A request with "crash" in its path crashes its target: all connections of the
 * target are reset, first that of the request, and nothing listens there until
 * rig_restart_target(), which also registers the new process.
 */
void rig_restart_target(struct rig *rig, uint32_t number);
uint32_t rig_crashes(const struct rig *rig);
/* rig_remove_target(rig, number): its registration lapses. */
void rig_remove_target(struct rig *rig, uint32_t number);
/*
 * rig_add_target_at(rig, number, id): another target registers at the address.
 */
void rig_add_target_at(struct rig *rig, uint32_t number, const char *id);
/*
 * rig_await_reports(rig, count): runs until the gateway has reported so many
 * crashes; false if it does not.
 */
bool rig_await_reports(struct rig *rig, uint32_t count);
uint32_t rig_reports(const struct rig *rig);
/* rig_settle(rig): runs until nothing is left that could happen at once. */
void rig_settle(struct rig *rig);
/* The last crash that the gateway reported, or 0. */
uint64_t rig_reported_fingerprint(const struct rig *rig);
/* The last request that the gateway excused, or 0. */
uint64_t rig_excused_fingerprint(const struct rig *rig);
/* Runs until targets have seen this number of closed connections. */
void rig_await_closes(struct rig *rig, uint32_t closes);
uint32_t rig_requests(const struct rig *rig);
uint32_t rig_connections(const struct rig *rig);
uint32_t rig_closes(const struct rig *rig);
/* Returns the bytes of the last complete request at a target. */
const char *rig_last(const struct rig *rig);
struct gw *rig_gateway(struct rig *rig);
/* With many_regions: data centre i is of region "r<i>" and has target i. */
struct bl_topology *rig_topology(struct rig *rig);
const char *rig_target_id(uint32_t number);

#endif
