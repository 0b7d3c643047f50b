/*
 * fleet_world: the fleet code of up to 473 VMs in one process on virtual time.
 * Takes the place of libuv and of the clock for lib/fleet, so that the frames
 * sent are those of the product; fleet_sim models heartbeats only. Datagrams
 * get lost; VMs are killed, frozen and cut off. A store lists targets and sends
 * changes to the VMs that watch it.
 */
#ifndef FLEET_WORLD_H
#define FLEET_WORLD_H

#include "../../lib/fleet/fleet.h"

#define FW_MS INT64_C(1000)
#define FW_SECOND (1000 * FW_MS)
#define FW_VMS_MAX 473
#define FW_REGIONS 3
#define FW_DATA_CENTRES 3 /* of a region */
#define FW_REVISIONS_MAX 8192
#define FW_START (100 * FW_SECOND)
#define FW_UDP_HEADER_BYTES 28 /* UDP and IP */
#define FW_TCP_HEADER_BYTES 40 /* TCP and IP */

/* Where the receiver of bytes is, for the bytes with their headers. */
enum fw_where { FW_SAME, FW_OTHER, FW_REGION, FW_WHERES };

struct fw_vm {
	bool alive;
	uint32_t process; /* changes with each start */
	int64_t frozen_until_us;
	int64_t stopped_us; /* for how long its clock has stood still */
	uint32_t region, data_centre;
	struct fleet *fleet;
	struct os_cache *cache;
	uv_loop_t loop;
	enum fl_role role;
	bool lists; /* is to list the store */
	bool watches;
	/* Sent with headers: frames by type, then acknowledgements. */
	uint64_t sent_bytes[FL_FRAME_TYPES][FW_WHERES];
	uint64_t ack_bytes[FW_WHERES];
	uint64_t received_bytes;
	uint64_t datagrams;
};

struct fw_event;

struct fw_world {
	struct cs_random random;
	int64_t now_us;
	uint32_t vm_count;
	double loss;
	/* cut[from][to]: datagrams and connections fail in this direction. */
	bool cut[FW_VMS_MAX][FW_VMS_MAX];
	struct fw_vm vms[FW_VMS_MAX];
	struct fw_event *heap;
	uint32_t heap_count, heap_capacity;
	uint64_t pushed;
	struct fw_connection *connections;
	struct os_cache *store;
	uint64_t revision;
	int64_t changed_us[FW_REVISIONS_MAX];
	bool registered[FW_VMS_MAX];
	/* Called before the fleet of a VM is created; may change it. */
	void (*on_params)(uint32_t vm, struct fl_params *params);
};

/* There is one world at a time. */
struct fw_world *fw_create(uint32_t vm_count, uint64_t seed);
void fw_free(struct fw_world *world);
void fw_run(struct fw_world *world, int64_t for_us);
void fw_start(struct fw_world *world, uint32_t vm);
/* fw_kill(world, vm): the VM loses power; peers see silence. */
void fw_kill(struct fw_world *world, uint32_t vm);
void fw_freeze(struct fw_world *world, uint32_t vm, int64_t for_us);
/* fw_stop(world, vm, for_us): the same for the process; its clock runs. */
void fw_stop(struct fw_world *world, uint32_t vm, int64_t for_us);
bool fw_runs(const struct fw_world *world, uint32_t vm);
/* fw_change_target(world): the store gets a changed target of 300 bytes. */
void fw_change_target(struct fw_world *world);
/* fw_lag(world, vm): for how long the VM has lacked a change of the store. */
int64_t fw_lag(const struct fw_world *world, uint32_t vm);
int64_t fw_clock(const struct fw_world *world, uint32_t vm);
/* fw_knows(world, vm, other): its entry of the other VM, or NULL. */
struct fl_node *fw_entry(
    const struct fw_world *world, uint32_t vm, uint32_t other);
/* fw_hears(world, vm, other): the other VM is alive in the view of the VM. */
bool fw_hears(const struct fw_world *world, uint32_t vm, uint32_t other);
/*
 * fw_may_name(world, vm, other): the directory of the VM may name the other; to
 * one caller it names a part of the VMs where capacities differ.
 */
bool fw_may_name(const struct fw_world *world, uint32_t vm, uint32_t other);
/* fw_record_of(world, vm): what the VM tells of itself. */
const struct fl_node *fw_record_of(const struct fw_world *world, uint32_t vm);
bool fw_is_in(const struct fw_world *world, uint32_t vm, uint32_t region,
    uint32_t data_centre);
void fw_start_all(struct fw_world *world);
struct fw_world *fw_run_large_fleet(uint32_t vms, uint64_t seed);
#define FW_UPDATES_PER_S 20
void fw_run_updates(struct fw_world *world, int64_t for_us);
/* For on_params: every second VM is as of the build before. */
void fw_clear_features(uint32_t vm, struct fl_params *params);
/*
 * fw_expect_whole(world): every VM of a region hears every other one and has
 * all objects.
 */
void fw_expect_whole(const struct fw_world *world);
/* fw_find_leader(world, region): the VM that watches the store. */
uint32_t fw_find_leader(const struct fw_world *world, uint32_t region);
/*
 * fw_find_first(world, region, data_centre, out, max): sets out to the VMs of
 * the data centre that rank first, without the leader: one of them relays the
 * updates for all others.
 */
uint32_t fw_find_first(const struct fw_world *world, uint32_t region,
    uint32_t data_centre, uint32_t *out, uint32_t max);
/* fw_reset_counters(world): the bytes sent count from now on. */
void fw_reset_counters(struct fw_world *world);

#endif
