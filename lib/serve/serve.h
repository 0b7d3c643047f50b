/*
 * serve: the shell around the decision core. Accepts callers' requests, feeds
 * the core, and carries out its actions: upstream attempts, relayed answers,
 * refusals. Also the directory of entry VMs and the admin listener.
 */
#ifndef SV_SERVE_H
#define SV_SERVE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <uv.h>

#include "../config/config.h"
#include "../decide/decide.h"

#define SV_NAME_BYTES_MAX 64
#define SV_ENTRIES_MAX 512
#define SV_BODY_BYTES_MAX (24 * 1024 * 1024)
#define SV_BODIES_BYTES_MAX (128 * 1024 * 1024)
#define SV_CONNECTIONS_MAX 8192

/* One entry VM as the mesh knows it. */
struct sv_entry {
	uint64_t id;
	uint64_t epoch;
	char name[SV_NAME_BYTES_MAX];
	char address[SV_NAME_BYTES_MAX]; /* for callers */
	char admin[SV_NAME_BYTES_MAX];
	char data_centre[SV_NAME_BYTES_MAX];
	char region[SV_NAME_BYTES_MAX];
	const char *state;
	enum dc_peer_state core_state;
	bool listed; /* in the directory */
};

/* Adds one counter to the metrics page that is being written. */
typedef void (*sv_add_metric)(void *page, const char *name, uint64_t value);

/* What the shell needs done outside it. */
struct sv_callbacks {
	/* Delivers a message to another core; peer 0: to every live one. */
	void (*send)(
	    uint64_t peer, const struct dc_message *message, void *user);
	/* Claims a key in the store; sv_store_claimed() follows. */
	void (*claim)(
	    uint64_t call, uint64_t key_a, uint64_t key_b, void *user);
	/* Adds what others count to the metrics page. */
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
	uint64_t epoch;	      /* of this process, unlike any before it */
	uint32_t keep_ms;     /* how long callers keep a directory answer */
	uint32_t depth_max;   /* of chains of calls */
	const char *dispatch; /* "two-choices" or "leases" */
	FILE *trace; /* what the core sees and does; NULL: not written */
	struct sv_callbacks callbacks;
};

/*
 * sv_create(params, out): binds both listeners. Returns CS_E_INVALID or
 * CS_E_SYSTEM.
 */
int sv_create(const struct sv_params *params, struct sv_server **out);
/* The bound addresses, as IPV4:PORT. */
void sv_address(const struct sv_server *server, char *text);
void sv_admin_address(const struct sv_server *server, char *text);
/*
 * sv_set_config(server, config): puts a configuration in force. Takes a
 * reference. CS_E_STALE when one of the same or a higher version is in force.
 */
int sv_set_config(struct sv_server *server, struct cf_config *config);
/* sv_config(server): the configuration in force, or NULL. Not a reference. */
struct cf_config *sv_config(const struct sv_server *server);
/*
 * sv_set_entries(server, entries, count): replaces what is known of the entry
 * VMs, this one included: for the directory and for the core.
 */
void sv_set_entries(
    struct sv_server *server, const struct sv_entry *entries, uint32_t count);
/* sv_link_up(server, peer): the link to another entry VM is up. */
void sv_link_up(struct sv_server *server, uint64_t peer);
/* sv_message(server, peer, message): a message from another core. */
void sv_message(
    struct sv_server *server, uint64_t peer, const struct dc_message *message);
/* sv_store_claimed(server, call, result): answers callbacks.claim(). */
void sv_store_claimed(
    struct sv_server *server, uint64_t call, enum dc_store_result result);
/* sv_target_drains(server, address, drain): said by the VM list. */
void sv_target_drains(
    struct sv_server *server, const char *address, bool drain);
/* sv_drain(server): answers ask callers to close; calls go on. */
void sv_drain(struct sv_server *server);
/* sv_stop_accepting(server): closes the listener for callers. */
void sv_stop_accepting(struct sv_server *server);
/*
 * sv_accounts(server): the accounts of this process as JSON,
 * {"entry", "epoch", "accounts"}; the caller frees it.
 */
char *sv_accounts(struct sv_server *server);
/* sv_open_calls(server): requests whose answer is not complete. */
uint32_t sv_open_calls(const struct sv_server *server);

#endif
