/*
 * Membership of an entry VM: registers in the store, finds its first peers
 * there, and hands what the mesh knows to the directory and the core. Also
 * reads the VM list for draining targets.
 */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

#define LIST_INTERVAL_ALONE_MS 500 /* while no other VM is known */
#define LIST_INTERVAL_MS 30000
#define REGISTER_CHECK_INTERVAL_MS 250
#define VM_LIST_INTERVAL_MS 1000

static uint64_t
hash_name(const char *name)
{
	return cs_hash(name, strlen(name));
}

static enum dc_peer_state
core_state(enum pr_state state)
{
	switch (state) {
	case PR_ALIVE:
	case PR_SUSPECT:
		return DC_PEER_ALIVE;
	case PR_LEFT:
		return DC_PEER_LEAVING;
	case PR_DEAD:
		break;
	}
	return DC_PEER_DEAD;
}

static void
fill_node(struct sv_node *out, const struct pr_node *node)
{
	*out = (struct sv_node){
	    .id = node->id,
	    .epoch = node->epoch,
	    .state = pr_state_text(node->state),
	    .core_state = core_state(node->state),
	    .in_directory = node->state == PR_ALIVE && node->ready,
	};
	g_strlcpy(out->name, node->name, sizeof(out->name));
	g_strlcpy(out->address, node->listen, sizeof(out->address));
	g_strlcpy(out->admin, node->admin, sizeof(out->admin));
	g_strlcpy(
	    out->data_centre, node->data_centre, sizeof(out->data_centre));
	g_strlcpy(out->region, node->region, sizeof(out->region));
}

void
en_membership_changed(void *user)
{
	static struct sv_node nodes[SV_NODES_MAX];
	struct en_entry *entry = user;
	const struct pr_membership *membership =
	    pr_mesh_membership(entry->mesh);
	uint32_t i, count = pr_membership_count(membership);

	if (count > SV_NODES_MAX)
		count = SV_NODES_MAX;
	for (i = 0; i < count; i++)
		fill_node(&nodes[i], pr_membership_at(membership, i));
	sv_set_nodes(entry->server, nodes, count);
}

/* How many live nodes rank before this VM for a piece of shared work. */
static uint32_t
count_nodes_ranked_before(const struct en_entry *entry, const char *work)
{
	const struct pr_membership *membership =
	    pr_mesh_membership(entry->mesh);
	uint64_t id = hash_name(work);
	uint64_t own_rank = cs_hash_pair(id, entry->own_id);
	uint32_t i, before = 0;

	for (i = 1; i < pr_membership_count(membership); i++) {
		const struct pr_node *node = pr_membership_at(membership, i);

		if (node->state == PR_ALIVE &&
		    cs_hash_pair(id, node->id) > own_rank)
			before++;
	}
	return before;
}

bool
en_is_watcher(const struct en_entry *entry)
{
	return count_nodes_ranked_before(entry, "platform") < EN_WATCHERS;
}

static bool
is_alone(const struct en_entry *entry)
{
	const struct pr_membership *membership =
	    pr_mesh_membership(entry->mesh);
	uint32_t i;

	for (i = 1; i < pr_membership_count(membership); i++) {
		if (pr_membership_at(membership, i)->state <= PR_SUSPECT)
			return false;
	}
	return true;
}

/* Removes the registration of a VM that the mesh knows to be gone. */
static void
on_removed(const struct os_object *result, void *user)
{
	en_update_platform_state(user, result->error);
}

static void
remove_stale_registration(
    struct en_entry *entry, const char *name, json_int_t epoch)
{
	const struct pr_membership *membership =
	    pr_mesh_membership(entry->mesh);
	int number = pr_membership_find(membership, hash_name(name));
	const struct pr_node *node;

	if (number <= 0 || count_nodes_ranked_before(entry, name) != 0)
		return;
	node = pr_membership_at(membership, (uint32_t)number);
	if (node->state >= PR_DEAD && node->epoch == (uint64_t)epoch)
		os_remove(entry->objects, OB_ENTRIES, name, on_removed, entry);
}

static void
on_listed(
    int error, const struct os_listed_object *list, uint32_t count, void *user)
{
	struct en_entry *entry = user;
	uint32_t i;

	en_update_platform_state(entry, error);
	for (i = 0; i < count; i++) {
		json_t *object = json_loads(list[i].value, 0, NULL);
		const char *peer =
		    json_string_value(json_object_get(object, "peer"));

		if (peer != NULL &&
		    strcmp(list[i].name, entry->options.name) != 0) {
			pr_mesh_join(entry->mesh, peer);
			remove_stale_registration(entry, list[i].name,
			    json_integer_value(
				json_object_get(object, "epoch")));
		}
		json_decref(object);
	}
}

static void
on_registered(const struct os_object *result, void *user)
{
	struct en_entry *entry = user;
	uint32_t ms;

	en_update_platform_state(entry, result->error);
	entry->registered = result->error == CS_OK;
	if (entry->registered)
		return;
	ms = en_backoff_ms(entry, entry->register_failures++);
	uv_timer_start(&entry->register_timer, entry->register_timer.timer_cb,
	    ms, REGISTER_CHECK_INTERVAL_MS);
}

static void
send_registration(struct en_entry *entry)
{
	const struct pr_node *self =
	    pr_membership_self(pr_mesh_membership(entry->mesh));
	json_t *root;
	char *text;

	root = json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "address",
	    self->listen, "admin", self->admin, "peer", self->peer,
	    "data_centre", self->data_centre, "region", self->region, "epoch",
	    (json_int_t)self->epoch);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	os_write(entry->objects, OB_ENTRIES, entry->options.name,
	    OS_ANY_REVISION, text, on_registered, entry);
	free(text);
}

static void
on_register_timer(uv_timer_t *timer)
{
	struct en_entry *entry = timer->data;
	int64_t interval_ms =
	    is_alone(entry) ? LIST_INTERVAL_ALONE_MS : LIST_INTERVAL_MS;
	int64_t since_us = cs_now_us() - entry->last_list_us;

	if (entry->stopping)
		return;
	if (!entry->registered) {
		send_registration(entry);
		/* Until the response says otherwise. */
		entry->registered = true;
	}
	if (since_us < interval_ms * 1000)
		return;
	entry->last_list_us = cs_now_us();
	os_list(entry->objects, OB_ENTRIES, on_listed, entry);
}

/* Whether a VM of the list is the one that runs a target. */
static bool
vm_has_target(const char *vm, const char *target)
{
	size_t length = strlen(vm);

	if (strncmp(vm, target, length) != 0)
		return false;
	return target[length] == '\0' || target[length] == ':';
}

static void
apply_vm_state(struct en_entry *entry, const char *vm, bool leaving)
{
	struct cf_config *config = sv_config(entry->server);
	uint32_t i;

	for (i = 0; config != NULL && i < cf_target_count(config); i++) {
		const char *target = cf_target(config, i)->address;

		if (vm_has_target(vm, target))
			sv_set_target_draining(entry->server, target, leaving);
	}
}

static void
on_vm_list(
    int error, const struct os_listed_object *list, uint32_t count, void *user)
{
	struct en_entry *entry = user;
	uint32_t i;

	en_update_platform_state(entry, error);
	for (i = 0; i < count; i++) {
		json_t *object = json_loads(list[i].value, 0, NULL);
		const char *state =
		    json_string_value(json_object_get(object, "state"));

		if (state != NULL)
			apply_vm_state(
			    entry, list[i].name, strcmp(state, "leaving") == 0);
		json_decref(object);
	}
}

static void
on_vm_timer(uv_timer_t *timer)
{
	struct en_entry *entry = timer->data;

	if (!entry->stopping && en_is_watcher(entry))
		os_list(entry->objects, OB_VMS, on_vm_list, entry);
}

/* Peers given as settings: a way into the mesh while the store is down. */
static void
join_seed_peers(struct en_entry *entry)
{
	gchar **addresses, **address;

	if (entry->options.seed_peers == NULL)
		return;
	addresses = g_strsplit(entry->options.seed_peers, ",", 0);
	for (address = addresses; *address != NULL; address++)
		pr_mesh_join(entry->mesh, *address);
	g_strfreev(addresses);
}

void
en_membership_start(struct en_entry *entry)
{
	join_seed_peers(entry);
	entry->last_list_us = cs_now_us() - LIST_INTERVAL_MS * 1000LL;
	en_membership_changed(entry);
	uv_timer_init(&entry->loop, &entry->register_timer);
	entry->register_timer.data = entry;
	uv_timer_start(&entry->register_timer, on_register_timer, 0,
	    REGISTER_CHECK_INTERVAL_MS);
	uv_timer_init(&entry->loop, &entry->vm_timer);
	entry->vm_timer.data = entry;
	uv_timer_start(&entry->vm_timer, on_vm_timer, VM_LIST_INTERVAL_MS,
	    VM_LIST_INTERVAL_MS);
}

void
en_membership_leave(struct en_entry *entry)
{
	pr_mesh_leave(entry->mesh);
	en_membership_changed(entry);
	os_remove(
	    entry->objects, OB_ENTRIES, entry->options.name, on_removed, entry);
}
