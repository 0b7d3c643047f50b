/*
 * The configuration of an entry VM. A few VMs watch the store and the others
 * learn of new versions from their peers. Versions only rise; when the store
 * holds an older one than is in force, it is written back.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

#define RECHECK_MS 1000

static void watch_config(struct en_entry *entry);

static uint64_t
active_version(const struct en_entry *entry)
{
	struct cf_config *config = sv_config(entry->server);

	return config == NULL ? 0 : cf_version(config);
}

/* Puts a stored text in force; CS_E_STALE when it is not newer. */
static int
apply_text(struct en_entry *entry, const char *text, size_t bytes)
{
	char error_text[CF_ERROR_BYTES_MAX];
	struct cf_config *config;
	uint64_t version;
	int error;

	if (cf_parse_stored(text, bytes, error_text, &config) != CS_OK) {
		cs_log(CS_LOG_CONFIG_REFUSED, "fault=\"%s\"", error_text);
		return CS_E_INVALID;
	}
	version = cf_version(config);
	error = sv_set_config(entry->server, config);
	cf_unref(config);
	if (error != CS_OK)
		return version < active_version(entry) ? CS_E_STALE : CS_OK;
	cs_log(CS_LOG_CONFIG_IN_FORCE, "version=%llu",
	    (unsigned long long)version);
	pr_mesh_announce_config(entry->mesh, version);
	pr_mesh_set_ready(entry->mesh);
	return CS_OK;
}

void
en_config_from_peer(const char *text, size_t bytes, void *user)
{
	apply_text(user, text, bytes);
}

char *
en_config_text(void *user)
{
	struct en_entry *entry = user;
	struct cf_config *config = sv_config(entry->server);

	if (config == NULL)
		return NULL;
	return cf_format_stored(config, cf_version(config), cf_writer(config));
}

static void
on_repair_response(const struct os_object *result, void *user)
{
	struct en_entry *entry = user;

	en_update_platform_state(entry, result->error);
	entry->repairing = false;
	if (result->error == CS_OK)
		cs_log(CS_LOG_CONFIG_REPAIRED, "version=%llu",
		    (unsigned long long)active_version(entry));
}

/* The store went back to an old copy: what was accepted is written again. */
static void
repair_stored_config(struct en_entry *entry)
{
	char *text = en_config_text(entry);

	cs_log(CS_LOG_CONFIG_STALE, "in_force=%llu",
	    (unsigned long long)active_version(entry));
	if (text == NULL || entry->repairing)
		return;
	entry->repairing = true;
	os_write(entry->objects, OB_CONFIG, OB_CONFIG_NAME,
	    entry->config_revision, text, on_repair_response, entry);
	free(text);
}

static void
on_config_timer(uv_timer_t *timer)
{
	watch_config(timer->data);
}

static void
schedule_watch(struct en_entry *entry, uint32_t ms)
{
	uv_timer_start(&entry->config_timer, on_config_timer, ms, 0);
}

static void
on_watch_response(const struct os_object *result, void *user)
{
	struct en_entry *entry = user;

	entry->watching = false;
	en_update_platform_state(entry, result->error);
	switch (result->error) {
	case CS_OK:
		entry->config_failures = 0;
		entry->config_revision = result->revision;
		if (apply_text(entry, result->value, strlen(result->value)) ==
		    CS_E_STALE)
			repair_stored_config(entry);
		schedule_watch(entry, 0);
		return;
	case CS_E_STALE:
		entry->config_failures = 0;
		schedule_watch(entry, 0);
		return;
	case CS_E_MISSING:
		entry->config_revision = OS_MUST_NOT_EXIST;
		if (active_version(entry) > 0)
			repair_stored_config(entry);
		schedule_watch(entry, RECHECK_MS);
		return;
	default:
		schedule_watch(
		    entry, en_backoff_ms(entry, entry->config_failures++));
		return;
	}
}

/* Watches, or looks again later whether it is this VM's turn to watch. */
static void
watch_config(struct en_entry *entry)
{
	if (entry->watching)
		return;
	if (!en_is_watcher(entry) && active_version(entry) > 0) {
		schedule_watch(entry, RECHECK_MS);
		return;
	}
	entry->watching = true;
	os_wait_for_change(entry->objects, OB_CONFIG, OB_CONFIG_NAME,
	    entry->config_revision, on_watch_response, entry);
}

void
en_config_start(struct en_entry *entry)
{
	uv_timer_init(&entry->loop, &entry->config_timer);
	entry->config_timer.data = entry;
	watch_config(entry);
}
