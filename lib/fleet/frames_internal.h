/* What the encoder and the decoder of frames have in common. */
#ifndef FL_FRAMES_INTERNAL_H
#define FL_FRAMES_INTERNAL_H

#include <msgpack.h>

#include "fleet.h"

/* Limits are sent as whole numbers of millionths. */
#define FL_LIMIT_UNIT 1e6
/* The type of a frame that holds another one, compressed with zlib. */
#define FL_COMPRESSED_TYPE 6
#define FL_DURATION_US_MAX 86400000000ULL /* a day */

/* frames.c */
void fl_pack_text(msgpack_packer *packer, const char *text, size_t length);
void fl_pack_address(msgpack_packer *packer, const struct sockaddr_in *address);
/*
 * Revisions are sent as numbers; their eras follow at the end of the frame,
 * where earlier builds do not look.
 */
void fl_pack_number(msgpack_packer *packer, uint64_t revision);
void fl_pack_era(msgpack_packer *packer, uint64_t revision);
/* fl_pack_id(packer, id): of a list of voters, as a number and an era. */
void fl_pack_id(msgpack_packer *packer, uint64_t id);
/* Of a voter in a frame: its port, address from bit 16, and lists. */
#define FL_VOTER_LISTS_SHIFT 48

/* Reads the items of an array in order. Once a read fails, failed stays set. */
struct fl_cursor {
	const msgpack_object_array *array;
	uint32_t at;
	bool failed;
};

/* frames_read.c */
uint64_t fl_read_number(struct fl_cursor *cursor);
/* Adds the era to a revision; frames of earlier builds end before. */
void fl_read_era(struct fl_cursor *cursor, uint64_t *revision);
/* fl_read_id(cursor): 0 if the frame ends here, as that of an earlier build. */
uint64_t fl_read_id(struct fl_cursor *cursor);
void fl_read_name(struct fl_cursor *cursor, char *out, size_t size);
struct sockaddr_in fl_read_address(struct fl_cursor *cursor);
/* Reads a number of up to 32 bits; a larger one makes the frame invalid. */
uint32_t fl_read_small(struct fl_cursor *cursor);

/* frames_report.c */
void fl_pack_report(msgpack_packer *packer, const struct fl_report *report);
void fl_read_report(struct fl_cursor *cursor, struct fl_report *report);

#endif
