/*
 * Frames between VMs as msgpack arrays, the type first. Large ones travel
 * compressed, since the links of some VMs are narrow.
 */
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "fleet.h"

static void
pack_text(msgpack_packer *packer, const char *text, size_t length)
{
	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

static void
pack_address(msgpack_packer *packer, const struct sockaddr_in *address)
{
	msgpack_pack_uint64(
	    packer, (uint64_t)ntohl(address->sin_addr.s_addr) << 16 |
			ntohs(address->sin_port));
}

static void
pack_heartbeat(msgpack_packer *packer, const struct fl_frame *frame)
{
	const struct fl_member *member = &frame->as.heartbeat.member;
	uint32_t i;

	msgpack_pack_array(packer, 12 + frame->as.heartbeat.peer_count);
	msgpack_pack_int(packer, frame->type);
	pack_text(packer, member->name, strlen(member->name));
	pack_text(packer, member->data_centre, strlen(member->data_centre));
	pack_text(packer, frame->as.heartbeat.region,
	    strlen(frame->as.heartbeat.region));
	pack_address(packer, &member->fleet);
	pack_address(packer, &member->front);
	msgpack_pack_uint64(packer, member->boot);
	msgpack_pack_int(packer, member->ready | member->stopping << 1 |
				     member->current << 2 |
				     frame->as.heartbeat.asks << 3);
	msgpack_pack_uint64(packer, member->news);
	msgpack_pack_uint32(packer, member->capacity);
	msgpack_pack_uint32(packer, frame->as.heartbeat.known);
	msgpack_pack_uint32(packer, frame->as.heartbeat.peer_count);
	for (i = 0; i < frame->as.heartbeat.peer_count; i++)
		pack_address(packer, &frame->as.heartbeat.peers[i]);
}

static void
pack_pulse(msgpack_packer *packer, const struct fl_frame *frame)
{
	msgpack_pack_array(packer, 4);
	msgpack_pack_int(packer, FL_FRAME_PULSE);
	msgpack_pack_uint64(packer, frame->as.pulse.boot);
	msgpack_pack_int(packer, frame->as.pulse.ready |
				     frame->as.pulse.stopping << 1 |
				     frame->as.pulse.current << 2);
	msgpack_pack_uint64(packer, frame->as.pulse.news);
}

static void
pack_news(msgpack_packer *packer, const struct fl_news *news)
{
	uint32_t i;

	msgpack_pack_array(packer, 5 + news->batch.count * 4);
	msgpack_pack_int(packer, FL_FRAME_NEWS);
	msgpack_pack_uint32(packer, news->kind);
	msgpack_pack_int(packer, news->whole);
	msgpack_pack_uint64(packer, news->batch.revision);
	msgpack_pack_uint32(packer, news->batch.count);
	for (i = 0; i < news->batch.count; i++) {
		const struct os_change *change = &news->batch.changes[i];

		pack_text(packer, change->name, strlen(change->name));
		msgpack_pack_uint64(packer, change->revision);
		msgpack_pack_int(packer, change->gone);
		pack_text(packer, change->gone ? "" : change->text,
		    change->gone ? 0 : change->text_length);
	}
}

/* A frame that holds another one, compressed. */
#define PACKED_TYPE 6
#define PACKED_FROM_BYTES 600 /* below it hardly anything is saved */
#define UNPACKED_BYTES_MAX (8 * 1024 * 1024) /* a frame of the links */

static int
encode(const struct fl_frame *frame, struct fl_buffer *out)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	switch (frame->type) {
	case FL_FRAME_HEARTBEAT:
		pack_heartbeat(&packer, frame);
		break;
	case FL_FRAME_PULSE:
		pack_pulse(&packer, frame);
		break;
	case FL_FRAME_SUSPECT:
		msgpack_pack_array(&packer, 2);
		msgpack_pack_int(&packer, frame->type);
		msgpack_pack_uint64(&packer, frame->as.suspect.fingerprint);
		break;
	case FL_FRAME_HELLO:
		msgpack_pack_array(&packer, 1 + OS_KINDS_MAX);
		msgpack_pack_int(&packer, frame->type);
		for (i = 0; i < OS_KINDS_MAX; i++)
			msgpack_pack_uint64(
			    &packer, frame->as.hello.revisions[i]);
		break;
	case FL_FRAME_NEWS:
		pack_news(&packer, &frame->as.news);
		break;
	}
	out->data = buffer.data;
	out->length = buffer.size;
	return buffer.data == NULL ? CS_E_SYSTEM : CS_OK;
}

/* Replaces a large frame by a compressed one; kept as it is on a failure. */
static void
compress_frame(struct fl_buffer *frame)
{
	uLongf length = compressBound(frame->length);
	Bytef *packed = malloc(length);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (packed == NULL ||
	    compress2(packed, &length, (const Bytef *)frame->data,
		frame->length, Z_BEST_SPEED) != Z_OK) {
		free(packed);
		return;
	}
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, PACKED_TYPE);
	msgpack_pack_uint64(&packer, frame->length);
	msgpack_pack_bin(&packer, length);
	msgpack_pack_bin_body(&packer, packed, length);
	free(packed);
	if (buffer.data == NULL)
		return;
	free(frame->data);
	frame->data = buffer.data;
	frame->length = buffer.size;
}

int
fl_encode(const struct fl_frame *frame, struct fl_buffer *out)
{
	int error = encode(frame, out);

	if (error == CS_OK && out->length >= PACKED_FROM_BYTES)
		compress_frame(out);
	return error;
}

/* Reads the items of an array one after the other. */
struct cursor {
	const msgpack_object_array *array;
	uint32_t at;
	bool bad;
};

static uint64_t
read_number(struct cursor *cursor)
{
	const msgpack_object *item;

	if (cursor->at >= cursor->array->size) {
		cursor->bad = true;
		return 0;
	}
	item = &cursor->array->ptr[cursor->at++];
	if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		cursor->bad = true;
		return 0;
	}
	return item->via.u64;
}

static const msgpack_object_str *
read_text(struct cursor *cursor)
{
	static const msgpack_object_str none = {.size = 0, .ptr = ""};
	const msgpack_object *item;

	if (cursor->at >= cursor->array->size) {
		cursor->bad = true;
		return &none;
	}
	item = &cursor->array->ptr[cursor->at++];
	if (item->type != MSGPACK_OBJECT_STR) {
		cursor->bad = true;
		return &none;
	}
	return &item->via.str;
}

static void
read_name(struct cursor *cursor, char *out, size_t size)
{
	const msgpack_object_str *text = read_text(cursor);

	if (text->size >= size) {
		cursor->bad = true;
		return;
	}
	memcpy(out, text->ptr, text->size);
	out[text->size] = '\0';
}

static struct sockaddr_in
read_address(struct cursor *cursor)
{
	uint64_t number = read_number(cursor);

	return (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl((uint32_t)(number >> 16)),
	    .sin_port = htons((uint16_t)number),
	};
}

static void
read_pulse(struct cursor *cursor, struct fl_frame *out)
{
	uint64_t flags;

	out->as.pulse.boot = read_number(cursor);
	flags = read_number(cursor);
	out->as.pulse.ready = (flags & 1) != 0;
	out->as.pulse.stopping = (flags & 2) != 0;
	out->as.pulse.current = (flags & 4) != 0;
	out->as.pulse.news = read_number(cursor);
}

static void
read_heartbeat(struct cursor *cursor, struct fl_frame *out)
{
	struct fl_member *member = &out->as.heartbeat.member;
	uint64_t flags;
	uint32_t i;

	read_name(cursor, member->name, sizeof(member->name));
	read_name(cursor, member->data_centre, sizeof(member->data_centre));
	read_name(
	    cursor, out->as.heartbeat.region, sizeof(out->as.heartbeat.region));
	member->fleet = read_address(cursor);
	member->front = read_address(cursor);
	member->boot = read_number(cursor);
	flags = read_number(cursor);
	member->ready = (flags & 1) != 0;
	member->stopping = (flags & 2) != 0;
	member->current = (flags & 4) != 0;
	out->as.heartbeat.asks = (flags & 8) != 0;

	member->news = read_number(cursor);
	member->capacity = (uint32_t)read_number(cursor);
	out->as.heartbeat.known = (uint32_t)read_number(cursor);
	out->as.heartbeat.peer_count = (uint32_t)read_number(cursor);
	if (out->as.heartbeat.peer_count > FL_PEERS_MAX) {
		cursor->bad = true;
		return;
	}
	for (i = 0; i < out->as.heartbeat.peer_count; i++)
		out->as.heartbeat.peers[i] = read_address(cursor);
}

static int
read_change(struct cursor *cursor, struct os_change *change)
{
	const msgpack_object_str *text;

	read_name(cursor, change->name, sizeof(change->name));
	change->revision = read_number(cursor);
	change->gone = read_number(cursor) != 0;
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
read_news(struct cursor *cursor, struct fl_news *news)
{
	uint64_t count;
	uint32_t i;

	news->kind = (uint32_t)read_number(cursor);
	news->whole = read_number(cursor) != 0;
	news->batch = (struct os_batch){.revision = read_number(cursor)};
	count = read_number(cursor);
	if (cursor->bad || news->kind >= OS_KINDS_MAX ||
	    count > cursor->array->size)
		return CS_E_INVALID;
	news->batch.changes = calloc(count + 1, sizeof(struct os_change));
	if (news->batch.changes == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < count && !cursor->bad; i++) {
		if (read_change(cursor, &news->batch.changes[i]) != CS_OK)
			return CS_E_SYSTEM;
		news->batch.count = i + 1;
	}
	return CS_OK;
}

static int
read_frame(struct cursor *cursor, struct fl_frame *out)
{
	int error = CS_OK;
	uint32_t i;

	*out =
	    (struct fl_frame){.type = (enum fl_frame_type)read_number(cursor)};
	switch (out->type) {
	case FL_FRAME_HEARTBEAT:
		read_heartbeat(cursor, out);
		break;
	case FL_FRAME_PULSE:
		read_pulse(cursor, out);
		break;
	case FL_FRAME_SUSPECT:
		out->as.suspect.fingerprint = read_number(cursor);
		break;
	case FL_FRAME_HELLO:
		for (i = 0; i < OS_KINDS_MAX; i++)
			out->as.hello.revisions[i] = read_number(cursor);
		break;
	case FL_FRAME_NEWS:
		error = read_news(cursor, &out->as.news);
		if (error != CS_OK || cursor->bad)
			os_batch_free(&out->as.news.batch);
		break;
	default:
		return CS_E_INVALID;
	}
	return cursor->bad ? CS_E_INVALID : error;
}

static int decode(
    const char *data, size_t length, bool may_be_packed, struct fl_frame *out);

static int
decompress_frame(const msgpack_object_array *array, struct fl_frame *out)
{
	uLongf length;
	Bytef *plain;
	int error = CS_E_INVALID;

	if (array->size != 3 ||
	    array->ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    array->ptr[1].via.u64 > UNPACKED_BYTES_MAX ||
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
is_packed(const msgpack_object_array *array)
{
	return array->size > 0 &&
	       array->ptr[0].type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	       array->ptr[0].via.u64 == PACKED_TYPE;
}

/* Bytes of one number or string that starts here, 0 for anything else. */
static size_t
item_length(const unsigned char *at, size_t left)
{
	static const uint8_t number_bytes[] = {1, 2, 4, 8};
	uint64_t length = 0;
	size_t head, i;

	if (at[0] <= 0x7f) /* small number */
		return 1;
	if (at[0] >= 0xa0 && at[0] <= 0xbf) /* short string */
		return 1 + (at[0] & 0x1fU);
	if (at[0] >= 0xcc && at[0] <= 0xcf) /* number of 1 to 8 bytes */
		return 1 + (size_t)number_bytes[at[0] - 0xcc];
	if (at[0] >= 0xd9 && at[0] <= 0xdb) /* string */
		head = (size_t)1 << (at[0] - 0xd9);
	else if (at[0] >= 0xc4 && at[0] <= 0xc6) /* bytes */
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
 * One array of numbers and strings, as long as it says. Anything else is
 * dropped before it is unpacked: an array's stated size is allocated at once.
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
decode(
    const char *data, size_t length, bool may_be_packed, struct fl_frame *out)
{
	struct cursor cursor = {.at = 0};
	msgpack_unpacked unpacked;
	int error = CS_E_INVALID;

	if (!is_flat_array((const unsigned char *)data, length))
		return CS_E_INVALID;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, length, NULL) ==
		MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		cursor.array = &unpacked.data.via.array;
		if (!is_packed(cursor.array))
			error = read_frame(&cursor, out);
		else if (may_be_packed)
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
