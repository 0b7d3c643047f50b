/* State of `chervilshelf entry`, shared by its parts. */
#ifndef EN_ENTRY_H
#define EN_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "../lib/base/base.h"
#include "../lib/base/memory.h"
#include "../lib/config/config.h"
#include "../lib/peer/peer.h"
#include "../lib/serve/serve.h"
#include "../lib/store/store.h"
#include "objects.h"

/* VMs that watch the platform for the others. */
#define EN_WATCHERS 3

struct en_options {
	const char *name;
	const char *data_centre;
	const char *region;
	const char *listen;
	const char *peer_listen;
	const char *admin_listen;
	const char *platform;
	const char *log_level;
	const char *dispatch;
	const char *trace;	/* file, "-" for standard output, NULL: none */
	const char *seed_peers; /* comma separated, NULL: none */
	int64_t directory_ttl_ms;
	int64_t depth_max;
	int64_t memory_mb;
	int64_t max_fds; /* 0: the limit of the process */
};

struct en_entry {
	struct en_options options;
	uv_loop_t loop;
	struct sv_server *server;
	struct os_objects *objects;
	struct cs_memory memory; /* of all buffers of this process */
	struct pr_mesh *mesh;
	struct cs_random random;
	uint64_t epoch;
	uint64_t own_id;
	bool platform_unreachable;
	bool store_era_known;
	uint64_t store_era; /* the highest of any response */
	bool stopping;
	bool final_save_started; /* the accounts, for the last time */
	int64_t stop_after_us;
	/* Configuration. */
	uint64_t config_revision; /* seen last in the store */
	bool watching;
	bool repairing;
	uint32_t config_failures;
	uv_timer_t config_timer;
	/* Membership. */
	bool registered;
	uint32_t register_failures;
	int64_t last_list_us; /* when the registrations were read last */
	uv_timer_t register_timer;
	uv_timer_t vm_timer;
	uv_timer_t stop_timer;
	uv_timer_t accounts_timer;
	uv_signal_t signals[2];
};

/*
 * en_update_platform_state(entry, error): logs the edges of a platform outage.
 */
void en_update_platform_state(struct en_entry *entry, int error);
/* en_backoff_ms(entry, failures): a jittered pause that doubles. */
uint32_t en_backoff_ms(struct en_entry *entry, uint32_t failures);
/* en_store_start(entry): reports the eras of the store to the core. */
void en_store_start(struct en_entry *entry);
/* en_is_watcher(entry): whether this VM watches the platform. */
bool en_is_watcher(const struct en_entry *entry);

/* entry_config.c */
void en_config_start(struct en_entry *entry);
void en_config_from_peer(const char *text, size_t bytes, void *user);
char *en_config_text(void *user);

/* entry_membership.c */
void en_membership_start(struct en_entry *entry);
void en_membership_changed(void *user);
void en_membership_leave(struct en_entry *entry);

/* entry_accounts.c */
void en_accounts_start(struct en_entry *entry);
void en_accounts_save(struct en_entry *entry);

/* entry_claims.c */
void en_claim_key(uint64_t call, uint64_t key_a, uint64_t key_b, void *user);

#endif
