/* What the parts of fleet_world have in common: events, and connections. */
#ifndef FLEET_WORLD_INTERNAL_H
#define FLEET_WORLD_INTERNAL_H

#include "../../lib/fleet/fleet_internal.h"
#include "fleet_world.h"

enum event_type {
	EVENT_TIMER,
	EVENT_DATAGRAM,
	EVENT_CONNECT,	 /* a connection reaches the listener */
	EVENT_CONNECTED, /* the answer reaches the one that connects */
	EVENT_DATA,
	EVENT_WRITTEN,
	EVENT_CLOSED,
	EVENT_BROKEN, /* the other end has closed the connection */
	EVENT_KEEPALIVE,
	EVENT_LISTED, /* the store answers */
	EVENT_CHANGED,
};

struct fw_connection {
	/* 0 is the end that connected. NULL: closed or not yet open. */
	uv_tcp_t *ends[2];
	uint32_t vms[2], processes[2];
	bool reading[2], closed[2];
	int64_t arrives_us[2]; /* the last data at this end */
	int64_t silent_since_us;
	int64_t used_us;
	uv_connect_t *request;
	uv_connect_cb connected;
	struct fw_connection *next;
};

struct fw_event {
	int64_t at_us;
	uint64_t order;
	enum event_type type;
	uint32_t vm, process;
	uint64_t number; /* of a timer's start */
	void *object;
	uint32_t end; /* of a connection */
	char *data;
	size_t length;
	struct sockaddr_in from;
	void *callback;
};

extern struct fw_world *fw_world;
extern uint32_t fw_running; /* the VM whose code runs; UINT32_MAX: none */

void fw_push(struct fw_event event);
struct sockaddr_in fw_address(uint32_t vm);
uint32_t fw_vm_at(const struct sockaddr_in *address);
enum fw_where fw_where(uint32_t from, uint32_t to);
int64_t fw_latency(uint32_t from, uint32_t to);
bool fw_is_lost(void);
/* fw_handle_uv(event): handles an event of the stand-in for libuv. */
void fw_handle_uv(struct fw_event *event);
/* fw_free_connections(): at the end of the world. */
void fw_free_connections(void);

#endif
