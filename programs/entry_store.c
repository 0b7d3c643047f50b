/* What the parts of an entry VM share about the store: its loss, and pauses. */
#include "entry.h"

#define BACKOFF_BASE_MS 250
#define BACKOFF_DOUBLINGS_MAX 5

void
en_update_platform_state(struct en_entry *entry, int error)
{
	bool unreachable = error == CS_E_UNAVAILABLE || error == CS_E_UNKNOWN;

	if (unreachable && !entry->platform_unreachable)
		cs_log(
		    CS_LOG_PLATFORM_LOST, "error=\"%s\"", cs_error_text(error));
	if (!unreachable && entry->platform_unreachable)
		cs_log(CS_LOG_PLATFORM_BACK, "url=%s", entry->options.platform);
	entry->platform_unreachable = unreachable;
}

uint32_t
en_backoff_ms(struct en_entry *entry, uint32_t failures)
{
	uint32_t ms;

	if (failures > BACKOFF_DOUBLINGS_MAX)
		failures = BACKOFF_DOUBLINGS_MAX;
	ms = (uint32_t)BACKOFF_BASE_MS << failures;
	return ms / 2 + cs_random_below(&entry->random, ms);
}

/* An older copy may lack the registration of this VM. */
static void
on_era(uint64_t era, void *user)
{
	struct en_entry *entry = user;

	if (entry->store_era_known && era > entry->store_era) {
		cs_log(CS_LOG_STORE_RESTORED, "era=%llu previous_era=%llu",
		    (unsigned long long)era,
		    (unsigned long long)entry->store_era);
		entry->registered = false;
	}
	if (!entry->store_era_known || era > entry->store_era)
		entry->store_era = era;
	entry->store_era_known = true;
	sv_set_store_era(entry->server, era);
}

void
en_store_start(struct en_entry *entry)
{
	os_objects_on_era(entry->objects, on_era, entry);
}
