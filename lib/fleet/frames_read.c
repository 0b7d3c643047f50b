/* Decodes the frames between nodes; whatever is not a valid one is refused. */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "frames_internal.h"

#define DECOMPRESSED_BYTES_MAX (8 * 1024 * 1024) /* as link.c */

uint64_t
fl_read_number(struct fl_cursor *cursor)
{
	const msgpack_object *item;

	if (cursor->at >= cursor->array->size) {
		cursor->failed = true;
		return 0;
	}
	item = &cursor->array->ptr[cursor->at++];
	if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		cursor->failed = true;
		return 0;
	}
	return item->via.u64;
}

/* Adds the era to a revision; frames of earlier builds end before. */
void
fl_read_era(struct fl_cursor *cursor, uint64_t *revision)
{
	if (cursor->at < cursor->array->size)
		*revision = os_revision(fl_read_number(cursor), *revision);
}

static const msgpack_object_str *
read_text(struct fl_cursor *cursor)
{
	static const msgpack_object_str none = {.size = 0, .ptr = ""};
	const msgpack_object *item;

	if (cursor->at >= cursor->array->size) {
		cursor->failed = true;
		return &none;
	}
	item = &cursor->array->ptr[cursor->at++];
	if (item->type != MSGPACK_OBJECT_STR) {
		cursor->failed = true;
		return &none;
	}
	return &item->via.str;
}

void
fl_read_name(struct fl_cursor *cursor, char *out, size_t size)
{
	const msgpack_object_str *text = read_text(cursor);

	if (text->size >= size) {
		cursor->failed = true;
		return;
	}
	memcpy(out, text->ptr, text->size);
	out[text->size] = '\0';
}

struct sockaddr_in
fl_read_address(struct fl_cursor *cursor)
{
	uint64_t number = fl_read_number(cursor);

	return (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl((uint32_t)(number >> 16)),
	    .sin_port = htons((uint16_t)number),
	};
}

uint64_t
fl_read_id(struct fl_cursor *cursor)
{
	uint64_t id;

	if (cursor->at >= cursor->array->size)
		return 0;
	id = fl_read_number(cursor);
	fl_read_era(cursor, &id);
	return id;
}

static void
read_heartbeat(struct fl_cursor *cursor, struct fl_frame *out)
{
	uint64_t flags;

	out->as.heartbeat.boot = fl_read_number(cursor);
	flags = fl_read_number(cursor);
	out->as.heartbeat.ready = (flags & 1) != 0;
	out->as.heartbeat.stopping = (flags & 2) != 0;
	out->as.heartbeat.current = (flags & 4) != 0;
	out->as.heartbeat.listed = flags >> 3 & 3;
	out->as.heartbeat.knows_settled = (flags & 32) != 0;
	out->as.heartbeat.revision_sum = fl_read_number(cursor);
	out->as.heartbeat.tells_era = cursor->at < cursor->array->size;
	fl_read_era(cursor, &out->as.heartbeat.revision_sum);
	out->as.heartbeat.voters_id = fl_read_id(cursor);
}

static void
read_hello(struct fl_cursor *cursor, struct fl_frame *out)
{
	struct fl_node *node = &out->as.hello.node;
	uint64_t flags;
	uint32_t i;

	fl_read_name(cursor, node->name, sizeof(node->name));
	fl_read_name(cursor, node->data_centre, sizeof(node->data_centre));
	fl_read_name(
	    cursor, out->as.hello.region, sizeof(out->as.hello.region));
	node->fleet = fl_read_address(cursor);
	node->listen_address = fl_read_address(cursor);
	node->boot = fl_read_number(cursor);
	flags = fl_read_number(cursor);
	node->ready = (flags & 1) != 0;
	node->stopping = (flags & 2) != 0;
	node->current = (flags & 4) != 0;
	out->as.hello.wants_reply = (flags & 8) != 0;
	out->as.hello.wants_heartbeats = (flags & 16) != 0;
	node->listed = flags >> 5 & 3;
	node->knows_settled = (flags & 128) != 0;

	node->revision_sum = fl_read_number(cursor);
	node->capacity = (uint32_t)fl_read_number(cursor);
	out->as.hello.known_nodes = (uint32_t)fl_read_number(cursor);
	out->as.hello.peer_count = (uint32_t)fl_read_number(cursor);
	if (out->as.hello.peer_count > FL_PEERS_MAX) {
		cursor->failed = true;
		return;
	}
	for (i = 0; i < out->as.hello.peer_count; i++)
		out->as.hello.peers[i] = fl_read_address(cursor);
	node->tells_era = cursor->at < cursor->array->size;
	fl_read_era(cursor, &node->revision_sum);
	if (cursor->at < cursor->array->size)
		node->features = (uint32_t)fl_read_number(cursor);
	if (cursor->at < cursor->array->size)
		out->as.hello.live_nodes = (uint32_t)fl_read_number(cursor);
	node->voters_id = fl_read_id(cursor);
}

static int
read_change(struct fl_cursor *cursor, struct os_change *change)
{
	const msgpack_object_str *text;

	fl_read_name(cursor, change->name, sizeof(change->name));
	change->revision = fl_read_number(cursor);
	change->deleted = fl_read_number(cursor) != 0;
	text = read_text(cursor);
	change->text = malloc(text->size + 1U);
	if (change->text == NULL)
		return CS_E_SYSTEM;
	memcpy(change->text, text->ptr, text->size);
	change->text[text->size] = '\0';
	change->text_length = text->size;
	return CS_OK;
}

static int
read_update(struct fl_cursor *cursor, struct fl_update *update)
{
	uint64_t count;
	uint32_t i;

	update->kind = (uint32_t)fl_read_number(cursor);
	update->snapshot = fl_read_number(cursor) != 0;
	update->batch = (struct os_batch){.revision = fl_read_number(cursor)};
	count = fl_read_number(cursor);
	if (cursor->failed || update->kind >= OS_KINDS_MAX ||
	    count > cursor->array->size)
		return CS_E_INVALID;
	update->batch.changes = calloc(count + 1, sizeof(struct os_change));
	if (update->batch.changes == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < count && !cursor->failed; i++) {
		if (read_change(cursor, &update->batch.changes[i]) != CS_OK)
			return CS_E_SYSTEM;
		update->batch.count = i + 1;
	}
	fl_read_era(cursor, &update->batch.revision);
	for (i = 0; i < update->batch.count; i++)
		fl_read_era(cursor, &update->batch.changes[i].revision);
	return CS_OK;
}

/* Reads a duration; one that cannot be true makes the frame invalid. */
static int64_t
read_duration_us(struct fl_cursor *cursor)
{
	uint64_t number = fl_read_number(cursor);

	if (number > FL_DURATION_US_MAX)
		cursor->failed = true;
	return (int64_t)number;
}

static void
read_limit(struct fl_cursor *cursor, struct fl_limit *limit)
{
	limit->target_process = fl_read_number(cursor);
	limit->has_limit = fl_read_number(cursor) != 0;
	limit->per_s = (double)fl_read_number(cursor) / FL_LIMIT_UNIT;
	limit->age_us = read_duration_us(cursor);
}

static void
read_ask(struct fl_cursor *cursor, struct fl_ask *ask)
{
	read_limit(cursor, &ask->limit);
	ask->count = (uint32_t)fl_read_number(cursor);
	ask->wait_max_us = read_duration_us(cursor);
	ask->passed_on = fl_read_number(cursor) != 0;
	ask->asker = fl_read_address(cursor);
	if (cursor->at < cursor->array->size)
		ask->cold_left_us = read_duration_us(cursor);
}

static void
read_permit(struct fl_cursor *cursor, struct fl_permit *permit)
{
	read_limit(cursor, &permit->limit);
	permit->count = (uint32_t)fl_read_number(cursor);
	permit->wait_us = read_duration_us(cursor);
	permit->ask_again_us = read_duration_us(cursor);
}

static void
read_config(struct fl_cursor *cursor, struct fl_config_state *config)
{
	config->revision = fl_read_number(cursor);
	config->revision =
	    os_revision(fl_read_number(cursor), config->revision);
	config->version = fl_read_number(cursor);
}

/* Reads a time that the asker chose and that no clock reaches if negative. */
static int64_t
read_time_us(struct fl_cursor *cursor)
{
	uint64_t number = fl_read_number(cursor);

	if (number > INT64_MAX)
		cursor->failed = true;
	return (int64_t)number;
}

static void
read_proof_query(struct fl_cursor *cursor, struct fl_proof_query *query)
{
	query->process = fl_read_number(cursor);
	query->asked_us = read_time_us(cursor);
	read_config(cursor, &query->config);
}

static void
read_proof(struct fl_cursor *cursor, struct fl_proof_reply *reply)
{
	reply->process = fl_read_number(cursor);
	reply->asked_us = read_time_us(cursor);
	reply->proven = fl_read_number(cursor) != 0;
	reply->age_us = read_duration_us(cursor);
	read_config(cursor, &reply->config);
}

/* Reads a number of up to 32 bits; a larger one makes the frame invalid. */
uint32_t
fl_read_small(struct fl_cursor *cursor)
{
	uint64_t number = fl_read_number(cursor);

	if (number > UINT32_MAX)
		cursor->failed = true;
	return (uint32_t)number;
}

static void
read_quota_ask(struct fl_cursor *cursor, struct fl_quota_ask *ask)
{
	ask->tenant = fl_read_number(cursor);
	ask->number = (uint8_t)fl_read_small(cursor);
	ask->count = fl_read_small(cursor);
	ask->arrived = fl_read_small(cursor);
	ask->unspent = fl_read_small(cursor);
	ask->passed_on = cursor->at < cursor->array->size;
	if (ask->passed_on)
		ask->asker = fl_read_address(cursor);
}

static void
read_quota_grant(struct fl_cursor *cursor, struct fl_quota_grant *grant)
{
	grant->tenant = fl_read_number(cursor);
	grant->number = (uint8_t)fl_read_small(cursor);
	grant->count = fl_read_small(cursor);
	grant->wait_us = read_duration_us(cursor);
}

static void
read_quota_share(struct fl_cursor *cursor, struct fl_quota_share *share)
{
	share->tenant = fl_read_number(cursor);
	share->region = fl_read_small(cursor);
	share->demand_milli = fl_read_small(cursor);
	share->lent = fl_read_small(cursor);
	share->held = fl_read_small(cursor);
	share->stamp = fl_read_small(cursor);
	share->echo = fl_read_small(cursor);
	share->has_echo = fl_read_number(cursor) != 0;
	share->passed_on = cursor->at < cursor->array->size;
	if (share->passed_on)
		share->sender = fl_read_address(cursor);
}

static void
read_voters(struct fl_cursor *cursor, struct fl_frame *out)
{
	struct fl_voters *voters = &out->as.voters.list;
	uint32_t i, count;

	out->as.voters.is_fresh = fl_read_number(cursor) != 0;
	voters->id = fl_read_id(cursor);
	voters->before_id = fl_read_id(cursor);
	count = fl_read_small(cursor);
	if (count > FL_VOTERS_MAX)
		cursor->failed = true;
	for (i = 0; i < count && !cursor->failed; i++) {
		uint64_t voter = fl_read_number(cursor);
		struct sockaddr_in fleet = {
		    .sin_addr.s_addr = htonl((uint32_t)(voter >> 16)),
		    .sin_port = htons((uint16_t)voter)};

		fl_voters_add(voters, &fleet,
		    voter >> FL_VOTER_LISTS_SHIFT &
			(FL_VOTER_NOW | FL_VOTER_BEFORE));
	}
}

static int
read_frame(struct fl_cursor *cursor, struct fl_frame *out)
{
	int error = CS_OK;
	uint32_t i;

	*out = (struct fl_frame){
	    .type = (enum fl_frame_type)fl_read_number(cursor)};
	switch (out->type) {
	case FL_FRAME_HELLO:
		read_hello(cursor, out);
		break;
	case FL_FRAME_HEARTBEAT:
		read_heartbeat(cursor, out);
		break;
	case FL_FRAME_SUSPECT_REQUEST:
	case FL_FRAME_EXCUSE:
		out->as.suspect_request.fingerprint = fl_read_number(cursor);
		out->as.suspect_request.target_process = fl_read_number(cursor);
		/* Earlier builds send none. */
		if (cursor->at < cursor->array->size)
			out->as.suspect_request.trials =
			    (uint32_t)fl_read_number(cursor);
		break;
	case FL_FRAME_CLAIM:
		out->as.claim.fingerprint = fl_read_number(cursor);
		out->as.claim.ticket = fl_read_number(cursor);
		break;
	case FL_FRAME_SUBSCRIBE:
		for (i = 0; i < OS_KINDS_MAX; i++)
			out->as.subscribe.revisions[i] = fl_read_number(cursor);
		for (i = 0; i < OS_KINDS_MAX; i++)
			fl_read_era(cursor, &out->as.subscribe.revisions[i]);
		if (cursor->at < cursor->array->size)
			out->as.subscribe.follower = fl_read_address(cursor);
		break;
	case FL_FRAME_UPDATE:
		error = read_update(cursor, &out->as.update);
		if (error != CS_OK || cursor->failed)
			os_batch_free(&out->as.update.batch);
		break;
	case FL_FRAME_LEAVING:
		out->as.leaving.target_process = fl_read_number(cursor);
		break;
	case FL_FRAME_COLD:
		out->as.cold.target_process = fl_read_number(cursor);
		out->as.cold.left_us = read_duration_us(cursor);
		break;
	case FL_FRAME_LIMIT:
		read_limit(cursor, &out->as.limit);
		break;
	case FL_FRAME_ASK:
		read_ask(cursor, &out->as.ask);
		break;
	case FL_FRAME_PERMIT:
		read_permit(cursor, &out->as.permit);
		break;
	case FL_FRAME_PROOF_QUERY:
		read_proof_query(cursor, &out->as.proof_query);
		break;
	case FL_FRAME_PROOF:
		read_proof(cursor, &out->as.proof);
		break;
	case FL_FRAME_QUOTA_ASK:
		read_quota_ask(cursor, &out->as.quota_ask);
		break;
	case FL_FRAME_QUOTA_GRANT:
		read_quota_grant(cursor, &out->as.quota_grant);
		break;
	case FL_FRAME_QUOTA_SHARE:
		read_quota_share(cursor, &out->as.quota_share);
		break;
	case FL_FRAME_REPORT:
		fl_read_report(cursor, &out->as.report);
		break;
	case FL_FRAME_ROSTER_REQUEST:
		out->as.roster_request.roster = fl_read_small(cursor);
		break;
	case FL_FRAME_VOTERS:
		read_voters(cursor, out);
		break;
	case FL_FRAME_VOTERS_REQUEST:
		break;
	default:
		return CS_E_INVALID;
	}
	return cursor->failed ? CS_E_INVALID : error;
}

static int decode(const char *data, size_t length, bool allow_compressed,
    struct fl_frame *out);

static int
decompress_frame(const msgpack_object_array *array, struct fl_frame *out)
{
	uLongf length;
	Bytef *plain;
	int error = CS_E_INVALID;

	if (array->size != 3 ||
	    array->ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    array->ptr[1].via.u64 > DECOMPRESSED_BYTES_MAX ||
	    array->ptr[2].type != MSGPACK_OBJECT_BIN)
		return CS_E_INVALID;
	length = array->ptr[1].via.u64;
	plain = malloc(length + 1);
	if (plain == NULL)
		return CS_E_SYSTEM;
	if (uncompress(plain, &length, (const Bytef *)array->ptr[2].via.bin.ptr,
		array->ptr[2].via.bin.size) == Z_OK)
		error = decode((const char *)plain, length, false, out);
	free(plain);
	return error;
}

static bool
is_compressed(const msgpack_object_array *array)
{
	return array->size > 0 &&
	       array->ptr[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       array->ptr[0].via.u64 == FL_COMPRESSED_TYPE;
}

/*
 * Returns the encoded length of the number, string or byte string that starts
 * at the given position, or 0 if the item is of another type or incomplete.
 */
static size_t
item_length(const unsigned char *at, size_t left)
{
	static const uint8_t number_bytes[] = {1, 2, 4, 8};
	uint64_t length = 0;
	size_t head, i;

	if (at[0] <= 0x7f) /* positive fixint */
		return 1;
	if (at[0] >= 0xa0 && at[0] <= 0xbf) /* fixstr */
		return 1 + (at[0] & 0x1fU);
	if (at[0] >= 0xcc && at[0] <= 0xcf) /* uint 8 to uint 64 */
		return 1 + (size_t)number_bytes[at[0] - 0xcc];
	if (at[0] >= 0xd9 && at[0] <= 0xdb) /* str 8 to str 32 */
		head = (size_t)1 << (at[0] - 0xd9);
	else if (at[0] >= 0xc4 && at[0] <= 0xc6) /* bin 8 to bin 32 */
		head = (size_t)1 << (at[0] - 0xc4);
	else
		return 0;
	if (left < 1 + head)
		return 0;
	for (i = 0; i < head; i++)
		length = length << 8 | at[1 + i];
	return 1 + head + length;
}

/*
 * Returns true if the data is exactly one array of numbers and strings that
 * holds as many items as it states. Other data must not reach the unpacker,
 * which allocates the stated size of an array at once.
 */
static bool
is_flat_array(const unsigned char *data, size_t length)
{
	uint64_t count;
	size_t at, item;

	if (length < 1)
		return false;
	if (data[0] >= 0x90 && data[0] <= 0x9f) {
		count = data[0] & 0x0fU;
		at = 1;
	} else if (data[0] == 0xdc && length >= 3) {
		count = (uint64_t)data[1] << 8 | data[2];
		at = 3;
	} else if (data[0] == 0xdd && length >= 5) {
		count = (uint64_t)data[1] << 24 | (uint64_t)data[2] << 16 |
			(uint64_t)data[3] << 8 | data[4];
		at = 5;
	} else {
		return false;
	}
	for (; count > 0; count--) {
		if (at >= length)
			return false;
		item = item_length(data + at, length - at);
		if (item == 0 || item > length - at)
			return false;
		at += item;
	}
	return at == length;
}

static int
decode(const char *data, size_t length, bool allow_compressed,
    struct fl_frame *out)
{
	struct fl_cursor cursor = {.at = 0};
	msgpack_unpacked unpacked;
	int error = CS_E_INVALID;

	if (!is_flat_array((const unsigned char *)data, length))
		return CS_E_INVALID;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, length, NULL) ==
		MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		cursor.array = &unpacked.data.via.array;
		if (!is_compressed(cursor.array))
			error = read_frame(&cursor, out);
		else if (allow_compressed)
			error = decompress_frame(cursor.array, out);
	}
	msgpack_unpacked_destroy(&unpacked);
	return error;
}

int
fl_decode(const char *data, size_t length, struct fl_frame *out)
{
	return decode(data, length, true, out);
}
