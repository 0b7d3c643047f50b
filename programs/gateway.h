/* State and functions shared by the parts of the gateway command. */
#ifndef GA_GATEWAY_H
#define GA_GATEWAY_H

#include "../lib/fleet/fleet.h"
#include "../lib/gateway/gateway.h"
#include "../lib/report/report.h"
#include "../lib/store/store.h"
#include "../platform/platform.h"

enum ga_kind { GA_CONFIG, GA_TARGETS, GA_KINDS };

struct ga_app {
	uv_loop_t loop;
	const char *settings_path;
	struct pl_settings settings;
	struct bl_topology topology;
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
	int64_t last_tick_boot_us;
	int64_t process_start_us;
	/* When the store became unreachable; 0: reachable. */
	int64_t store_lost_us;
	int64_t ignore_removals_until_us; /* removals of targets are ignored */
	int64_t stop_started_us;
	uint32_t region_count;

	bool registered; /* in the store, since it was current */
	bool targets_loaded;
	enum fl_role role;
};

/* gateway_updates.c */
/*
 * ga_apply_update(app, kind, batch, snapshot): applies an update from the store
 * or from another VM and passes it on.
 */
void ga_apply_update(struct ga_app *app, uint32_t kind,
    const struct os_batch *batch, bool snapshot);
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

bool ga_is_ready(const struct ga_app *app);
/*
 * ga_publish_state(app): publishes in the membership whether this VM is ready
 * and current.
 */
void ga_publish_state(struct ga_app *app);

/* gateway_serve.c: directory, readiness and metrics */
int ga_start_servers(struct ga_app *app);
void ga_sweep_servers(struct ga_app *app);

#endif
