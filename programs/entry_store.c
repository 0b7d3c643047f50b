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
