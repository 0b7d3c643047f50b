/* The gateway command: what its parts share. */
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
	struct rp_accounts *accounts; /* by route, of this process */
	struct os_client *store;
	struct os_cache *cache;
	struct fleet *fleet;
	struct h1_server *directory;
	struct h1_server *readiness;
	struct h1_server *metrics;
	uv_signal_t terminate, interrupt, reload;
	uv_timer_t tick; /* logs, limits of connections, pauses */
	uv_timer_t stop;
	uv_timer_t relist;
	uv_timer_t first_read;

	uint64_t tick_count;
	int64_t last_tick_boot_us;
	int64_t process_start_us;
	int64_t store_lost_us; /* since when the store is not reached */
	int64_t ignore_removals_until_us; /* removals are not believed */
	int64_t stop_started_us;
	uint32_t region_count;

	bool registered;	   /* while it follows the store */
	int64_t next_discovery_us; /* next look for others, when alone */
	int64_t discovery_interval_us;
	bool targets_loaded;
	enum fl_role role;
};

/* gateway_updates.c: what the store says, from wherever it came */
void ga_apply_update(struct ga_app *app, uint32_t kind,
    const struct os_batch *batch, bool snapshot);
/* ga_update_budget_share(app): this VM's part of the fleet's repeats and
 * probes. */
void ga_update_budget_share(struct ga_app *app);
extern const struct os_events ga_store_events;
extern const struct fl_events ga_fleet_events;
/*
 * ga_discover_nodes(app): registers this VM in the store and looks there for
 * others, when it follows the store or knows nobody. Call often.
 */
void ga_discover_nodes(struct ga_app *app);

bool ga_is_ready(const struct ga_app *app);
/*
 * ga_publish_state(app): tells the fleet whether this VM is ready, current.
 */
void ga_publish_state(struct ga_app *app);

/* gateway_serve.c: directory, readiness and metrics */
int ga_start_servers(struct ga_app *app);
void ga_sweep_servers(struct ga_app *app);

#endif
