/*
 * Accounts outlive their process in the store: one object for each process,
 * written once a minute and when it stops, always with its own totals, so
 * that nothing is counted twice.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry.h"

#define SAVE_INTERVAL_MS 60000

static void
on_saved(const struct os_object *result, void *user)
{
	en_update_platform_state(user, result->error);
}

void
en_accounts_save(struct en_entry *entry)
{
	char name[OS_NAME_BYTES_MAX];
	char *text = sv_accounts(entry->server);

	snprintf(name, sizeof(name), "%s-%llx", entry->options.name,
	    (unsigned long long)entry->epoch);
	os_write(entry->objects, OB_ACCOUNTS, name, OS_ANY_REVISION, text,
	    on_saved, entry);
	free(text);
}

static void
on_save_timer(uv_timer_t *timer)
{
	en_accounts_save(timer->data);
}

/*
 * The first save comes at a random time, so that the VMs do not save at once.
 */
void
en_accounts_start(struct en_entry *entry)
{
	uv_timer_init(&entry->loop, &entry->accounts_timer);
	entry->accounts_timer.data = entry;
	uv_timer_start(&entry->accounts_timer, on_save_timer,
	    SAVE_INTERVAL_MS / 2 +
		cs_random_below(&entry->random, SAVE_INTERVAL_MS / 2),
	    SAVE_INTERVAL_MS);
}
