/* Frames between entry VMs, shared by the codec and the mesh. */
#ifndef PR_PEER_INTERNAL_H
#define PR_PEER_INTERNAL_H

#include <msgpack.h>

#include "../base/base.h"
#include "peer.h"

#define PR_PROTOCOL_VERSION 1
#define PR_FRAME_HEADER_BYTES 4
#define PR_FRAME_BYTES_MAX (2 * 1024 * 1024)

enum pr_frame_type {
	PR_FRAME_HELLO = 1, /* the sender's own record; first on a link */
	PR_FRAME_PING = 2,
	PR_FRAME_PONG = 3,
	PR_FRAME_NEWS = 4,   /* a member's record */
	PR_FRAME_PULL = 5,   /* asks for the configuration in force */
	PR_FRAME_CONFIG = 6, /* the stored configuration */
	PR_FRAME_CORE = 7,   /* a message between cores */
};

struct pr_ping {
	uint64_t config_version;
	uint64_t digest; /* of the sender's membership */
};

/* The text points into the frame that was decoded. */
struct pr_config {
	const char *text;
	size_t bytes;
};

struct pr_frame {
	enum pr_frame_type type;
	union {
		struct pr_member hello;
		struct pr_ping ping; /* and pong */
		struct pr_member news;
		struct pr_config config;
		struct dc_message core;
	};
};

/* pr_encode(frame, out): appends header and payload to the buffer. */
void pr_encode(const struct pr_frame *frame, msgpack_sbuffer *out);
/*
 * pr_decode(bytes, length, unpacked, frame): reads one payload. The frame
 * may point into unpacked. CS_E_INVALID for anything unexpected.
 */
int pr_decode(const char *bytes, size_t length, msgpack_unpacked *unpacked,
    struct pr_frame *frame);

#endif
