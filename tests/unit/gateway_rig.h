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

enum rig_end {
	RIG_KEEP,
	RIG_CLOSE,
	RIG_RESET,
	RIG_SILENT, /* says nothing, keeps the connection */
};

/* What a target does with one request. */
struct rig_script {
	const char *bytes; /* "%I" stands for the request's id; NULL: none */
	enum rig_end end;
	const char *later; /* sent after the caller has its answer */
	bool at_head;	   /* answers before the body is in */
};

struct rig_params {
	const struct rig_script *scripts; /* of requests, in their order */
	uint32_t script_count;		  /* the last one repeats */
	uint32_t target_count;
	bool with_table;
	bool dead_target; /* the first one refuses connections */
	uint32_t timeout_ms;
	uint32_t attempts_max;
	uint32_t connections_max; /* of a target; 0: any number */
};

struct rig;

struct rig *rig_create(const struct rig_params *params);
void rig_free(struct rig *rig);
/*
 * rig_ask(rig, bytes): sends bytes on a new connection and runs until it ends
 * or a whole answer is in; returns that text.
 */
const char *rig_ask(struct rig *rig, const char *bytes, size_t length);
/* rig_leave(rig, bytes): sends, waits for a target to have it, closes. */
void rig_leave(struct rig *rig, const char *bytes, size_t length);
/* rig_hold(rig, bytes): sends, waits for a target to have it, stays. */
void rig_hold(struct rig *rig, const char *bytes, size_t length);
/* rig_await_closes(rig, closes): runs until targets saw so many closes. */
void rig_await_closes(struct rig *rig, uint32_t closes);
uint32_t rig_requests(const struct rig *rig);
uint32_t rig_connections(const struct rig *rig);
uint32_t rig_closes(const struct rig *rig);
/* rig_last(rig): the bytes of the last whole request at a target. */
const char *rig_last(const struct rig *rig);
struct gw *rig_gateway(struct rig *rig);
const char *rig_target_id(uint32_t number);

#endif
