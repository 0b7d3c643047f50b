/* What the parts of an entry VM share about the store: its loss, and pauses. */
#include "entry.h"

#define BACK_OFF_MS 250
#define BACK_OFF_DOUBLINGS_MAX 5

void
en_note_platform(struct en_entry *entry, int error)
{
	bool lost = error == CS_E_UNAVAILABLE || error == CS_E_UNKNOWN;

	if (lost && !entry->platform_lost)
		cs_log(
		    CS_LOG_PLATFORM_LOST, "error=\"%s\"", cs_error_text(error));
	if (!lost && entry->platform_lost)
		cs_log(CS_LOG_PLATFORM_BACK, "url=%s", entry->options.platform);
	entry->platform_lost = lost;
}

uint32_t
en_back_off_ms(struct en_entry *entry, uint32_t failures)
{
	uint32_t ms;

	if (failures > BACK_OFF_DOUBLINGS_MAX)
		failures = BACK_OFF_DOUBLINGS_MAX;
	ms = (uint32_t)BACK_OFF_MS << failures;
	return ms / 2 + cs_random_below(&entry->random, ms);
}
