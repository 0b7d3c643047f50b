/* Targets: their creation, their process and their references. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "balance_internal.h"

uint64_t
bl_target_process(const struct bl_target *target)
{
	return target->process;
}

void
bl_target_set_process(struct bl_target *target, uint64_t start_ms)
{
	target->process_start_ms = start_ms;
	target->process =
	    cs_hash_seeded(target->id, strlen(target->id), start_ms);
}

struct bl_target *
bl_target_create(const char *id)
{
	struct bl_target *target = calloc(1, sizeof(*target));

	if (target == NULL)
		return NULL;
	cs_ref_init(&target->ref);
	cs_copy_text(target->id, sizeof(target->id), id);
	target->slowness = 1.0;
	target->slots = 1;
	bl_target_set_process(target, 0);
	return target;
}

void
bl_target_unref(struct bl_target *target)
{
	if (target != NULL && cs_ref_drop(&target->ref)) {
		assert(target->connections == NULL);
		free(target);
	}
}
