/*
 * Frames as bytes: a length of four bytes, most significant first, then a
 * msgpack array whose first item is the type.
 */
#include <string.h>

#include "peer_internal.h"

#define MEMBER_FIELDS 10
#define PING_FIELDS 2

static void
pack_text(msgpack_packer *packer, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

static void
pack_member(msgpack_packer *packer, const struct pr_member *member)
{
	pack_text(packer, member->name);
	pack_text(packer, member->data_centre);
	pack_text(packer, member->region);
	pack_text(packer, member->listen);
	pack_text(packer, member->admin);
	pack_text(packer, member->peer);
	msgpack_pack_uint64(packer, member->epoch);
	msgpack_pack_uint64(packer, member->incarnation);
	msgpack_pack_uint8(packer, (uint8_t)member->state);
	msgpack_pack_uint8(packer, member->ready);
}

static void
pack_core(msgpack_packer *packer, const struct dc_message *message)
{
	uint32_t i, count = dc_message_fields(message->type);

	msgpack_pack_array(packer, 2 + count);
	msgpack_pack_uint8(packer, PR_FRAME_CORE);
	msgpack_pack_uint64(packer, message->type);
	for (i = 0; i < count; i++)
		msgpack_pack_uint64(packer, message->fields[i]);
}

static void
pack_frame(msgpack_packer *packer, const struct pr_frame *frame)
{
	switch (frame->type) {
	case PR_FRAME_HELLO:
		msgpack_pack_array(packer, 2 + MEMBER_FIELDS);
		msgpack_pack_uint8(packer, PR_FRAME_HELLO);
		msgpack_pack_uint8(packer, PR_PROTOCOL_VERSION);
		pack_member(packer, &frame->hello);
		break;
	case PR_FRAME_NEWS:
		msgpack_pack_array(packer, 1 + MEMBER_FIELDS);
		msgpack_pack_uint8(packer, PR_FRAME_NEWS);
		pack_member(packer, &frame->news);
		break;
	case PR_FRAME_PING:
	case PR_FRAME_PONG:
		msgpack_pack_array(packer, 1 + PING_FIELDS);
		msgpack_pack_uint8(packer, (uint8_t)frame->type);
		msgpack_pack_uint64(packer, frame->ping.config_version);
		msgpack_pack_uint64(packer, frame->ping.digest);
		break;
	case PR_FRAME_PULL:
		msgpack_pack_array(packer, 1);
		msgpack_pack_uint8(packer, PR_FRAME_PULL);
		break;
	case PR_FRAME_CONFIG:
		msgpack_pack_array(packer, 2);
		msgpack_pack_uint8(packer, PR_FRAME_CONFIG);
		msgpack_pack_str(packer, frame->config.bytes);
		msgpack_pack_str_body(
		    packer, frame->config.text, frame->config.bytes);
		break;
	case PR_FRAME_CORE:
		pack_core(packer, &frame->core);
		break;
	}
}

void
pr_encode(const struct pr_frame *frame, msgpack_sbuffer *out)
{
	static const char blank[PR_FRAME_HEADER_BYTES];
	size_t start = out->size, payload;
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_sbuffer_write(out, blank, sizeof(blank));
	pack_frame(&packer, frame);
	payload = out->size - start - PR_FRAME_HEADER_BYTES;
	out->data[start] = (char)(payload >> 24);
	out->data[start + 1] = (char)(payload >> 16);
	out->data[start + 2] = (char)(payload >> 8);
	out->data[start + 3] = (char)payload;
}

/* Reads the items of an array one by one; fails for good once one fails. */
struct items {
	const msgpack_object *next;
	uint32_t left;
	bool failed;
};

static uint64_t
take_number(struct items *items)
{
	const msgpack_object *item = items->next;

	if (items->left == 0 || item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		items->failed = true;
		return 0;
	}
	items->next++;
	items->left--;
	return item->via.u64;
}

static void
take_text(struct items *items, char out[PR_TEXT_BYTES_MAX])
{
	const msgpack_object *item = items->next;

	out[0] = '\0';
	if (items->left == 0 || item->type != MSGPACK_OBJECT_STR ||
	    item->via.str.size >= PR_TEXT_BYTES_MAX) {
		items->failed = true;
		return;
	}
	memcpy(out, item->via.str.ptr, item->via.str.size);
	out[item->via.str.size] = '\0';
	items->next++;
	items->left--;
}

static void
take_member(struct items *items, struct pr_member *member)
{
	uint64_t state;

	*member = (struct pr_member){0};
	take_text(items, member->name);
	take_text(items, member->data_centre);
	take_text(items, member->region);
	take_text(items, member->listen);
	take_text(items, member->admin);
	take_text(items, member->peer);
	member->epoch = take_number(items);
	member->incarnation = take_number(items);
	state = take_number(items);
	if (state > PR_LEFT || member->name[0] == '\0')
		items->failed = true;
	member->state = (enum pr_state)state;
	member->ready = take_number(items) != 0;
	member->id = cs_hash(member->name, strlen(member->name));
}

static void
take_config(struct items *items, struct pr_config *config)
{
	const msgpack_object *item = items->next;

	if (items->left != 1 || item->type != MSGPACK_OBJECT_STR) {
		items->failed = true;
		return;
	}
	config->text = item->via.str.ptr;
	config->bytes = item->via.str.size;
	items->left = 0;
}

static void
take_core(struct items *items, struct dc_message *message)
{
	uint32_t i, count;

	*message = (struct dc_message){.type = take_number(items)};
	count = dc_message_fields(message->type);
	if (count == 0)
		items->failed = true;
	for (i = 0; i < count; i++)
		message->fields[i] = take_number(items);
}

static void
take_frame(struct items *items, struct pr_frame *frame)
{
	frame->type = (enum pr_frame_type)take_number(items);
	switch (frame->type) {
	case PR_FRAME_HELLO:
		if (take_number(items) != PR_PROTOCOL_VERSION)
			items->failed = true;
		take_member(items, &frame->hello);
		return;
	case PR_FRAME_NEWS:
		take_member(items, &frame->news);
		return;
	case PR_FRAME_PING:
	case PR_FRAME_PONG:
		frame->ping.config_version = take_number(items);
		frame->ping.digest = take_number(items);
		return;
	case PR_FRAME_PULL:
		return;
	case PR_FRAME_CONFIG:
		take_config(items, &frame->config);
		return;
	case PR_FRAME_CORE:
		take_core(items, &frame->core);
		return;
	}
	items->failed = true;
}

int
pr_decode(const char *bytes, size_t length, msgpack_unpacked *unpacked,
    struct pr_frame *frame)
{
	struct items items;
	size_t used = 0;

	*frame = (struct pr_frame){0};
	if (msgpack_unpack_next(unpacked, bytes, length, &used) !=
		MSGPACK_UNPACK_SUCCESS ||
	    used != length || unpacked->data.type != MSGPACK_OBJECT_ARRAY)
		return CS_E_INVALID;
	items = (struct items){
	    .next = unpacked->data.via.array.ptr,
	    .left = unpacked->data.via.array.size,
	};
	take_frame(&items, frame);
	if (items.failed || items.left != 0)
		return CS_E_INVALID;
	return CS_OK;
}
