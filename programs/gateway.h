/* State and functions shared by the parts of the gateway command. */
#ifndef GA_GATEWAY_H
#define GA_GATEWAY_H

#include <glib.h>

#include "../lib/fleet/fleet.h"
#include "../lib/gateway/gateway.h"
#include "../lib/report/report.h"
#include "../lib/store/store.h"
#include "../platform/platform.h"

/* The last one is followed only where the settings have a bound for it. */
enum ga_kind { GA_CONFIG, GA_TARGETS, GA_EVACUATIONS, GA_KINDS };

#define GA_CRASH_REPORTS_MAX 32

/* Targets whose removal is remembered, the latest ones. */
#define GA_DEPARTURES_MAX 512

/* The registration of a target has ended. */
struct ga_departure {
	char id[BL_ID_BYTES_MAX];
	uint64_t process_start_ms;
	bool was_leaving;
};

/* The region's list of voters, see gateway_voters.c. */
struct ga_voters {
	struct os_objects *objects; /* NULL: no lists are used */
	bool is_pending;	    /* a call to the store */
	bool is_read;		    /* since this VM watches the store */
	bool is_closed;		    /* this VM stops, and the list is over */
	uint64_t stored_id;	    /* of the latest list in the store */
	uint64_t known_id;	    /* that was known when it was read */
	uint64_t era;
	uint64_t polled_id;
	int64_t asked_us; /* when the list was last requested */
	int64_t polled_us, next_us;
	uint32_t failures, written;
	struct fl_voters list; /* that is being read or written */
	enum fl_voters_change change;
};

struct ga_app {
	uv_loop_t loop;
	const char *settings_path;
	struct pl_settings settings;
	struct bl_topology topology;
	struct cs_memory memory; /* of all buffers of this process */
	struct gw *gw;
	struct rp_accounts *accounts; /* of this process, by route */
	struct os_client *store;
	struct os_cache *cache;
	struct fleet *fleet;
	struct h1_server *directory;
	struct h1_server *readiness;
	struct h1_server *metrics;
	uv_signal_t terminate, interrupt, reload;
	uv_timer_t tick; /* log flush, idle connections, pause detection */
	uv_timer_t stop;
	uv_timer_t relist;
	uv_timer_t first_read;

	uint64_t tick_count;
	/* Connections closed and bytes refused, as of the last log line. */
	uint64_t logged_closed, logged_refused;
	int64_t last_tick_boot_us;
	int64_t process_start_us;
	/* When the store became unreachable; 0: reachable. */
	int64_t store_lost_us;
	int64_t ignore_removals_until_us; /* removals of targets are ignored */
	int64_t stop_started_us;
	struct bl_stop_plan stop_plan; /* fixed when the stop starts */
	uint32_t region_count;

	/* Reports of crashes that are sent again, the latest ones. */
	struct {
		struct fl_suspect_request suspect;
		uint32_t repeats_left;
	} crash_reports[GA_CRASH_REPORTS_MAX];
	uint32_t crash_report_count; /* in all; the index wraps around */

	uint64_t asks; /* for permits, of owners in other regions */
	/*
	 * Owners of tenants in other regions, by hash of tenant and region, see
	 * gateway_quotas.c; NULL: none yet.
	 */
	GHashTable *quota_owners;
	int64_t next_contact_us; /* see ga_contact_regions() */
	int64_t contact_interval_us;
	/* Which regions have VMs, and the list that is being read. */
	struct bl_quota_listing quota_listing;
	struct bl_quota_list quota_list;

	/* When the store came back from an older copy; 0: never. */
	int64_t restored_us;
	uint64_t restored_era; /* that began then */
	struct ga_departure departures[GA_DEPARTURES_MAX];
	uint32_t departure_count; /* in all; the index wraps around */

	bool registered;	 /* in the store, since it was current */
	uint64_t registered_era; /* of the store at that time */
	bool targets_loaded;
	bool evacuations_loaded;
	/* The latest era of the store, and when this VM first heard of it. */
	uint64_t heard_era;
	int64_t heard_era_us;
	/* Removals of a restored copy were left out: list them again. */
	bool evacuations_kept;
	uint64_t table_parts_refused; /* of all tables taken so far */
	struct fl_proof proof;	      /* that the keys are complete */
	bool keys_fresh;
	int64_t proof_wanted_us; /* a proof is needed since then; 0: not yet */
	bool accepts_calls;	 /* has begun to, and does not cease to */
	const char *update_source; /* of the update being applied, for logs */
	enum fl_role role;
	bool has_majority; /* as last logged */
	struct ga_voters voters;
};

/* gateway_updates.c */
/*
 * ga_apply_update(app, kind, batch, snapshot, source): applies an update from
 * the store or from another VM, as source says, and passes it on.
 */
void ga_apply_update(struct ga_app *app, uint32_t kind,
    const struct os_batch *batch, bool snapshot, const char *source);
/*
 * ga_update_budget_share(app): recomputes this VM's share of the fleet's
 * retries and probes.
 */
void ga_update_budget_share(struct ga_app *app);
extern const struct os_events ga_store_events;
extern const struct fl_events ga_fleet_events;
/*
 * ga_discover_nodes(app): registers this VM in the store and reads the other
 * registrations, once when this VM becomes current and repeatedly, with
 * backoff, while no other node is alive. Call it on every tick.
 */
void ga_discover_nodes(struct ga_app *app);

/* gateway_state.c */
/* ga_accept_calls(app): begins to accept calls if ga_is_loaded(). */
void ga_accept_calls(struct ga_app *app);
/* ga_is_loaded(app): this VM knows all that it needs to accept calls. */
bool ga_is_loaded(const struct ga_app *app);
bool ga_is_ready(const struct ga_app *app);
/*
 * ga_publish_state(app): publishes in the membership whether this VM is ready
 * and current.
 */
void ga_publish_state(struct ga_app *app);

/*
 * Registrations expire while the store is unreachable, or are not in the copy
 * that it comes back from, and are renewed within about 2 s of its return.
 * Until then what is missing is not removed.
 */
#define GA_REMOVAL_GRACE_US 2300000

/* gateway_evacuations.c: data centres whose targets get no new requests */
/* ga_kind_count(app): the number of kinds of objects that this VM follows. */
uint32_t ga_kind_count(const struct ga_app *app);
void ga_apply_evacuation(struct ga_app *app, const struct os_change *change);
/* ga_note_era(app, era): the store is in this era, or was. */
void ga_note_era(struct ga_app *app, uint64_t era);
/*
 * ga_apply_evacuations(app, batch, snapshot, source): as ga_apply_update(), but
 * leaves out removals while the store may have come back from a copy that lacks
 * evacuations in force.
 */
void ga_apply_evacuations(struct ga_app *app, const struct os_batch *batch,
    bool snapshot, const char *source);
/*
 * ga_check_evacuations(app): has the store list them again once such removals
 * count. Call it on every tick.
 */
void ga_check_evacuations(struct ga_app *app);

/* ga_boot_us(): CLOCK_BOOTTIME, which goes on while the VM is frozen. */
int64_t ga_boot_us(void);

/* gateway_proof.c: proof that no key in force has been taken away */
void ga_start_proofs(struct ga_app *app, uint64_t seed);
/*
 * ga_renew_proof(app): asks the store or other VMs if a proof is needed and
 * due. Call it on every tick, and when there is a new configuration.
 */
void ga_renew_proof(struct ga_app *app);
/*
 * ga_awaits_proof(app): this VM could accept calls, but does not for a short
 * time, since it would refuse those with keys.
 */
bool ga_awaits_proof(const struct ga_app *app);
/* ga_needs_proof(app): the settings and the configuration ask for proofs. */
bool ga_needs_proof(const struct ga_app *app);
/* Events of the store and the fleet. */
void ga_on_proven(void *user, uint32_t kind, uint64_t era, int64_t sent_us);
void ga_on_proof_query(void *user, const struct fl_proof_query *query,
    const struct sockaddr_in *from);
void ga_on_proof(void *user, const struct fl_proof_reply *reply);

/* gateway_restored.c: a store that has come back from an older copy */
/* ga_note_departure(app, id): the registration of the target has ended. */
void ga_note_departure(struct ga_app *app, const char *id);
/* ga_has_left(app, target): its process said so, and its registration ended. */
bool ga_has_left(const struct ga_app *app, const struct pl_target *target);
/*
 * ga_reappear_wait_us(app): how long targets of the copy that were gone are
 * left out; they are to be listed again then.
 */
int64_t ga_reappear_wait_us(const struct ga_app *app);
/* Texts belong to the batch that was corrected, or are listed in copies. */
struct ga_corrected {
	struct os_batch batch;
	char **copies; /* of texts of the cache, which may free its own */
	uint32_t copy_count;
};

/*
 * ga_correct_batch(app, kind, batch, out): copies a list or changes from the
 * store without what is known to be over. The caller frees it with
 * ga_free_corrected(), also after an error.
 */
int ga_correct_batch(const struct ga_app *app, uint32_t kind,
    const struct os_batch *batch, struct ga_corrected *out);
void ga_free_corrected(struct ga_corrected *corrected);

/* gateway_crashes.c: reports of requests that crash targets */
void ga_on_crash(void *user, const struct bl_crash *crash, bool is_poison);
void ga_on_excused(void *user, const struct bl_crash *crash);
bool ga_on_fleet_excuse(void *user, const struct fl_suspect_request *excuse);
void ga_on_claim(void *user, uint64_t fingerprint, uint64_t ticket);
bool ga_on_fleet_claim(void *user, const struct fl_claim *claim);
uint32_t ga_on_rank(void *user, uint64_t fingerprint);
/* ga_on_suspect_request(): as on_suspect_request() of struct fl_events. */
bool ga_on_suspect_request(
    void *user, const struct fl_suspect_request *suspect);
/*
 * ga_repeat_crash_reports(app): sends recent reports again, as datagrams get
 * lost. Call it on every tick.
 */
void ga_repeat_crash_reports(struct ga_app *app);
/*
 * ga_remind_regions(app): the leader tells the other regions again of requests
 * that are refused. Call it on every tick.
 */
void ga_remind_regions(struct ga_app *app);
/* ga_tell_crashes(app, node): tells a node that has just started. */
void ga_tell_crashes(struct ga_app *app, const struct fl_node *node);

/* gateway_notices.c: what targets say of themselves, and permits of owners */
void ga_on_limit(
    void *user, uint64_t process, const struct bl_limit_report *report);
void ga_on_leaving(void *user, uint64_t process);
void ga_on_cold(void *user, uint64_t process, int64_t left_us);
void ga_on_ask(void *user, const struct bl_ask *ask, uint32_t data_centre);
/* Events of the fleet, see struct fl_events. */
bool ga_on_fleet_leaving(void *user, uint64_t target_process);
bool ga_on_fleet_cold(void *user, const struct fl_cold *cold);
bool ga_on_fleet_limit(void *user, const struct fl_limit *limit);
void ga_on_fleet_ask(void *user, const struct fl_ask *ask);
void ga_on_fleet_permit(void *user, const struct fl_permit *permit);
/* ga_tell_notices(app, node): the leader tells a node that has just started. */
void ga_tell_notices(struct ga_app *app, const struct fl_node *node);

/* gateway_quotas.c: quotas of tenants */
/* ga_quota_params(app): of the settings; the topology is known. */
struct bl_quota_params ga_quota_params(const struct ga_app *app);
/*
 * ga_contact_regions(app): looks for a VM in each other region, where there are
 * quotas, with backoff. Call it on every tick.
 */
void ga_contact_regions(struct ga_app *app);
/* ga_knows_all_regions(app): it has heard a VM of each region. */
bool ga_knows_all_regions(const struct ga_app *app);
/* ga_region_index(app, name): as in quotas; CS_E_MISSING: there is none. */
int ga_region_index(const struct ga_app *app, const char *name);
/* Events of the gateway and of the fleet. */
void ga_on_quota_ask(void *user, const struct bl_quota_ask *ask);
bool ga_on_quota_owner(void *user, uint64_t tenant);
void ga_on_quota_share(
    void *user, uint32_t region, const struct bl_quota_share *share);
void ga_on_fleet_quota_ask(void *user, const struct fl_quota_ask *ask);
void ga_on_fleet_quota_grant(void *user, const struct fl_quota_grant *grant);
void ga_on_fleet_quota_share(void *user, const struct fl_quota_share *share);

/* gateway_regions.c: regions without VMs */
void ga_start_listing(struct ga_app *app);
/* ga_list_regions(app): asks the store if that is due. Call it on every tick.
 */
void ga_list_regions(struct ga_app *app);
/* ga_hear_listed(app): takes what VMs of this region know of it. */
void ga_hear_listed(struct ga_app *app);
/* ga_note_listed(app, region): the store lists a VM of the region. */
void ga_note_listed(struct ga_app *app, const char *region);

/* gateway_voters.c: the list of voters in the store */
/* ga_uses_voters(settings): VMs have something in common to give out. */
bool ga_uses_voters(const struct pl_settings *settings);
int ga_start_voters(struct ga_app *app);
/* ga_tend_voters(app): reads or writes the list if due. Call on every tick. */
void ga_tend_voters(struct ga_app *app);

/* gateway_serve.c: directory, readiness and metrics */
int ga_start_servers(struct ga_app *app);
void ga_sweep_servers(struct ga_app *app);

/* gateway_memory.c: what protects this process from its clients */
/* ga_connections_max(settings): connections of callers. */
uint32_t ga_connections_max(const struct pl_settings *settings);
/* Of one address; a quarter is left for callers at other addresses. */
#define GA_ADDRESS_CONNECTIONS(connections_max) ((connections_max) / 4 * 3)
/* ga_limit_memory(app): sets the budget; call it before anything else. */
void ga_limit_memory(struct ga_app *app);
/* ga_log_closed(app): logs what was closed or refused since the last call. */
void ga_log_closed(struct ga_app *app);
void ga_print_memory(struct h1_bytes *out, const struct ga_app *app);

/* gateway_where.c: GET /where?host=HOST&path=PATH&tenant=NAME */
void ga_respond_where(const struct ga_app *app, struct h1_conn *conn,
    const struct h1_message *request);

#endif
