/*
 * serve: the input and output around the decision core. Accepts callers'
 * requests, passes events to the core, and executes its actions: upstream
 * attempts, relayed responses, refusals. Also serves the directory of entry
 * VMs and the admin listener.
 */
#ifndef SV_SERVE_H
#define SV_SERVE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <uv.h>

#include "../base/memory.h"
#include "../config/config.h"
#include "../decide/decide.h"

#define SV_NAME_BYTES_MAX 64
#define SV_NODES_MAX 512
#define SV_BODY_BYTES_MAX (24 * 1024 * 1024)
/* Together; a quarter of the memory where that is less, but at least one. */
#define SV_BODIES_BYTES_MAX (128 * 1024 * 1024)
#define SV_CONNECTIONS_MAX 8192
/* Of the admin address; a sixteenth of the descriptors where that is less. */
#define SV_ADMIN_CONNECTIONS_MAX 256

/* One entry VM, as the mesh of entry VMs reports it. */
struct sv_node {
	uint64_t id;
	uint64_t epoch;
	char name[SV_NAME_BYTES_MAX];
	char address[SV_NAME_BYTES_MAX]; /* of the listener for callers */
	char admin[SV_NAME_BYTES_MAX];
	char data_centre[SV_NAME_BYTES_MAX];
	char region[SV_NAME_BYTES_MAX];
	const char *state;
	enum dc_peer_state core_state;
	bool in_directory; /* given to callers by the directory */
};

/* Appends one counter to the metrics response that is being written. */
typedef void (*sv_add_metric)(void *page, const char *name, uint64_t value);

/* Operations that the server needs from its owner. */
struct sv_callbacks {
	/* Sends a message to a peer's core; peer 0 means every live peer. */
	void (*send)(
	    uint64_t peer, const struct dc_message *message, void *user);
	/*
	 * Claims an idempotency key in the store. The owner reports the
	 * result with sv_store_claim_done().
	 */
	void (*claim_key)(
	    uint64_t call, uint64_t key_a, uint64_t key_b, void *user);
	/* Appends the counters of other parts to the metrics response. */
	void (*metrics)(sv_add_metric add, void *page, void *user);
	void *user;
};

struct sv_server;

struct sv_params {
	uv_loop_t *loop;
	const char *name;
	const char *data_centre;
	const char *region;
	struct sockaddr_in listen;
	struct sockaddr_in admin_listen;
	uint64_t seed;
	uint64_t epoch; /* of this process; differs from all earlier ones */
	uint32_t directory_ttl_ms; /* callers cache the directory for it */
	uint32_t depth_max;	   /* limit of nested calls */
	const char *dispatch;	   /* "two-choices" or "leases" */
	FILE *trace; /* events and actions of the core; NULL: not written */
	uint64_t memory_bytes_max; /* of the process */
	uint32_t files_max;	   /* descriptors of the process */
	struct cs_memory *memory;  /* for all buffers; outlives the server */
	struct sv_callbacks callbacks;
};

/*
 * sv_create(params, out): creates the server and binds both listeners. Returns
 * CS_E_SYSTEM when a listener cannot be bound or memory is short.
 */
int sv_create(const struct sv_params *params, struct sv_server **out);
/* Write the bound addresses as IPV4:PORT. */
void sv_listen_address(const struct sv_server *server, char *text);
void sv_admin_address(const struct sv_server *server, char *text);
/*
 * sv_set_config(server, config): makes a configuration the current one and
 * takes a reference to it. Returns CS_E_STALE when the current one has the same
 * or a higher version.
 */
int sv_set_config(struct sv_server *server, struct cf_config *config);
/*
 * sv_config(server): returns the current configuration, or NULL. The caller
 * gets no reference.
 */
struct cf_config *sv_config(const struct sv_server *server);
/*
 * sv_set_nodes(server, nodes, count): replaces the list of entry VMs, which
 * includes this one. The directory and the core use it.
 */
void sv_set_nodes(
    struct sv_server *server, const struct sv_node *nodes, uint32_t count);
/*
 * sv_link_up(server, peer): reports that the link to another entry VM is
 * established.
 */
void sv_link_up(struct sv_server *server, uint64_t peer);
/*
 * sv_receive_message(server, peer, message): passes on a message from a peer's
 * core.
 */
void sv_receive_message(
    struct sv_server *server, uint64_t peer, const struct dc_message *message);
/*
 * sv_store_claim_done(server, call, result, era): completes
 * callbacks.claim_key(). era is that of the store in the response with the
 * claim.
 */
void sv_store_claim_done(struct sv_server *server, uint64_t call,
    enum dc_store_result result, uint64_t era);
/* sv_set_store_era(server, era): the era of the store in some response. */
void sv_set_store_era(struct sv_server *server, uint64_t era);
/*
 * sv_set_target_draining(server, address, drain): sets or clears the draining
 * state of a target, as the VM list reports it.
 */
void sv_set_target_draining(
    struct sv_server *server, const char *address, bool drain);
/*
 * sv_drain(server): starts draining. Responses ask callers to close their
 * connections; calls are still accepted and served.
 */
void sv_drain(struct sv_server *server);
/* sv_stop_accepting(server): closes the listener for callers. */
void sv_stop_accepting(struct sv_server *server);
/*
 * sv_accounts(server): returns the usage accounts of this process as JSON text,
 * {"entry", "epoch", "accounts"}; the caller frees it.
 */
char *sv_accounts(struct sv_server *server);
/*
 * sv_log_closed(server): logs what was closed or refused since the last call to
 * protect the process.
 */
void sv_log_closed(struct sv_server *server);
/*
 * sv_open_calls(server): returns the number of requests whose response is not
 * complete or not sent yet.
 */
uint32_t sv_open_calls(const struct sv_server *server);

#endif
