/* Revisions of a store that may come back from an older copy. */
#include <stdlib.h>

#include "store_internal.h"

#define NUMBER_MASK ((UINT64_C(1) << OS_REVISION_NUMBER_BITS) - 1)
#define ERA_MAX (UINT64_MAX >> OS_REVISION_NUMBER_BITS)

uint64_t
os_revision(uint64_t era, uint64_t number)
{
	if (era > ERA_MAX)
		era = ERA_MAX;
	return era << OS_REVISION_NUMBER_BITS | (number & NUMBER_MASK);
}

uint64_t
os_revision_era(uint64_t revision)
{
	return revision >> OS_REVISION_NUMBER_BITS;
}

uint64_t
os_revision_number(uint64_t revision)
{
	return revision & NUMBER_MASK;
}

void
os_batch_set_era(struct os_batch *batch, uint64_t era)
{
	uint32_t i;

	batch->revision = os_revision(era, batch->revision);
	for (i = 0; i < batch->count; i++)
		batch->changes[i].revision =
		    os_revision(era, batch->changes[i].revision);
}

uint64_t
os_response_era(
    const struct os_codec *codec, const struct h1_client_response *response)
{
	const char *text =
	    response->message == NULL || codec->era_header == NULL
		? NULL
		: h1_find_header(response->message, codec->era_header);

	return text == NULL ? 0 : strtoull(text, NULL, 10);
}
