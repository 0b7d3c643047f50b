/*
 * The encoding of frames: a length of 4 bytes in big-endian order, then a
 * msgpack array whose first item is the type.
 */
#include <string.h>

#include "peer_internal.h"

#define NODE_FIELDS 10
#define PING_FIELDS 2

static void
pack_text(msgpack_packer *packer, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

static void
pack_node(msgpack_packer *packer, const struct pr_node *node)
{
	pack_text(packer, node->name);
	pack_text(packer, node->data_centre);
	pack_text(packer, node->region);
	pack_text(packer, node->listen);
	pack_text(packer, node->admin);
	pack_text(packer, node->peer);
	msgpack_pack_uint64(packer, node->epoch);
	msgpack_pack_uint64(packer, node->incarnation);
	msgpack_pack_uint8(packer, (uint8_t)node->state);
	msgpack_pack_uint8(packer, node->ready);
}

static void
pack_core_message(msgpack_packer *packer, const struct dc_message *message)
{
	uint32_t i, count = dc_message_field_count(message->type);

	msgpack_pack_array(packer, 2 + count);
	msgpack_pack_uint8(packer, PR_FRAME_CORE_MESSAGE);
	msgpack_pack_uint64(packer, message->type);
	for (i = 0; i < count; i++)
		msgpack_pack_uint64(packer, message->fields[i]);
}

static void
pack_frame(msgpack_packer *packer, const struct pr_frame *frame)
{
	switch (frame->type) {
	case PR_FRAME_HELLO:
		msgpack_pack_array(packer, 2 + NODE_FIELDS);
		msgpack_pack_uint8(packer, PR_FRAME_HELLO);
		msgpack_pack_uint8(packer, PR_PROTOCOL_VERSION);
		pack_node(packer, &frame->hello);
		break;
	case PR_FRAME_GOSSIP:
		msgpack_pack_array(packer, 1 + NODE_FIELDS);
		msgpack_pack_uint8(packer, PR_FRAME_GOSSIP);
		pack_node(packer, &frame->gossip);
		break;
	case PR_FRAME_PING:
	case PR_FRAME_PONG:
		msgpack_pack_array(packer, 1 + PING_FIELDS);
		msgpack_pack_uint8(packer, (uint8_t)frame->type);
		msgpack_pack_uint64(packer, frame->ping.config_version);
		msgpack_pack_uint64(packer, frame->ping.digest);
		break;
	case PR_FRAME_CONFIG_REQUEST:
		msgpack_pack_array(packer, 1);
		msgpack_pack_uint8(packer, PR_FRAME_CONFIG_REQUEST);
		break;
	case PR_FRAME_CONFIG:
		msgpack_pack_array(packer, 2);
		msgpack_pack_uint8(packer, PR_FRAME_CONFIG);
		msgpack_pack_str(packer, frame->config.bytes);
		msgpack_pack_str_body(
		    packer, frame->config.text, frame->config.bytes);
		break;
	case PR_FRAME_CORE_MESSAGE:
		pack_core_message(packer, &frame->core_message);
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

/* Reads the items of an array in order. Once a read fails, failed stays set. */
struct cursor {
	const msgpack_object *next;
	uint32_t left;
	bool failed;
};

static uint64_t
read_number(struct cursor *cursor)
{
	const msgpack_object *item = cursor->next;

	if (cursor->left == 0 ||
	    item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		cursor->failed = true;
		return 0;
	}
	cursor->next++;
	cursor->left--;
	return item->via.u64;
}

static void
read_text(struct cursor *cursor, char out[PR_TEXT_BYTES_MAX])
{
	const msgpack_object *item = cursor->next;

	out[0] = '\0';
	if (cursor->left == 0 || item->type != MSGPACK_OBJECT_STR ||
	    item->via.str.size >= PR_TEXT_BYTES_MAX) {
		cursor->failed = true;
		return;
	}
	memcpy(out, item->via.str.ptr, item->via.str.size);
	out[item->via.str.size] = '\0';
	cursor->next++;
	cursor->left--;
}

static void
read_node(struct cursor *cursor, struct pr_node *node)
{
	uint64_t state;

	*node = (struct pr_node){0};
	read_text(cursor, node->name);
	read_text(cursor, node->data_centre);
	read_text(cursor, node->region);
	read_text(cursor, node->listen);
	read_text(cursor, node->admin);
	read_text(cursor, node->peer);
	node->epoch = read_number(cursor);
	node->incarnation = read_number(cursor);
	state = read_number(cursor);
	if (state > PR_LEFT || node->name[0] == '\0')
		cursor->failed = true;
	node->state = (enum pr_state)state;
	node->ready = read_number(cursor) != 0;
	node->id = cs_hash(node->name, strlen(node->name));
}

static void
read_config(struct cursor *cursor, struct pr_config *config)
{
	const msgpack_object *item = cursor->next;

	if (cursor->left != 1 || item->type != MSGPACK_OBJECT_STR) {
		cursor->failed = true;
		return;
	}
	config->text = item->via.str.ptr;
	config->bytes = item->via.str.size;
	cursor->left = 0;
}

static void
read_core_message(struct cursor *cursor, struct dc_message *message)
{
	uint32_t i, count;

	*message = (struct dc_message){.type = read_number(cursor)};
	count = dc_message_field_count(message->type);
	if (count == 0)
		cursor->failed = true;
	for (i = 0; i < count; i++)
		message->fields[i] = read_number(cursor);
}

static void
read_frame(struct cursor *cursor, struct pr_frame *frame)
{
	frame->type = (enum pr_frame_type)read_number(cursor);
	switch (frame->type) {
	case PR_FRAME_HELLO:
		if (read_number(cursor) != PR_PROTOCOL_VERSION)
			cursor->failed = true;
		read_node(cursor, &frame->hello);
		return;
	case PR_FRAME_GOSSIP:
		read_node(cursor, &frame->gossip);
		return;
	case PR_FRAME_PING:
	case PR_FRAME_PONG:
		frame->ping.config_version = read_number(cursor);
		frame->ping.digest = read_number(cursor);
		return;
	case PR_FRAME_CONFIG_REQUEST:
		return;
	case PR_FRAME_CONFIG:
		read_config(cursor, &frame->config);
		return;
	case PR_FRAME_CORE_MESSAGE:
		read_core_message(cursor, &frame->core_message);
		return;
	}
	cursor->failed = true;
}

int
pr_decode(const char *bytes, size_t length, msgpack_unpacked *unpacked,
    struct pr_frame *frame)
{
	struct cursor cursor;
	size_t used = 0;

	*frame = (struct pr_frame){0};
	if (msgpack_unpack_next(unpacked, bytes, length, &used) !=
		MSGPACK_UNPACK_SUCCESS ||
	    used != length || unpacked->data.type != MSGPACK_OBJECT_ARRAY)
		return CS_E_INVALID;
	cursor = (struct cursor){
	    .next = unpacked->data.via.array.ptr,
	    .left = unpacked->data.via.array.size,
	};
	read_frame(&cursor, frame);
	if (cursor.failed || cursor.left != 0)
		return CS_E_INVALID;
	return CS_OK;
}
