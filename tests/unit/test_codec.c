/* Encoding and decoding of frames; truncated and unknown ones are refused. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/peer/peer_internal.h"

static const struct pr_frame frames[] = {
    {.type = PR_FRAME_HELLO,
	.hello = {.name = "a", .peer = "1.2.3.4:5", .epoch = UINT64_MAX}},
    {.type = PR_FRAME_GOSSIP,
	.gossip =
	    {.name = "b", .incarnation = 7, .state = PR_LEFT, .ready = true}},
    {.type = PR_FRAME_PING, .ping = {.config_version = 9, .digest = 10}},
    {.type = PR_FRAME_PONG, .ping = {.config_version = 1, .digest = 2}},
    {.type = PR_FRAME_CONFIG_REQUEST},
    {.type = PR_FRAME_CONFIG, .config = {.text = "{}", .bytes = 2}},
    {.type = PR_FRAME_CORE_MESSAGE,
	.core_message = {.type = DC_MSG_KEY_CLAIM,
	    .claim = {1, 2, 3, 4, 5, 6}}},
};

#define FRAMES (sizeof(frames) / sizeof(frames[0]))

static int
decode(const msgpack_sbuffer *bytes, size_t length, struct pr_frame *out)
{
	msgpack_unpacked unpacked;
	int error;

	msgpack_unpacked_init(&unpacked);
	error = pr_decode(
	    bytes->data + PR_FRAME_HEADER_BYTES, length, &unpacked, out);
	msgpack_unpacked_destroy(&unpacked);
	return error;
}

static void
test_frames_decode_to_the_encoded_values(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < FRAMES; i++) {
		msgpack_sbuffer bytes;
		struct pr_frame decoded;

		msgpack_sbuffer_init(&bytes);
		pr_encode(&frames[i], &bytes);
		assert_int_equal(
		    decode(
			&bytes, bytes.size - PR_FRAME_HEADER_BYTES, &decoded),
		    CS_OK);
		assert_int_equal(decoded.type, frames[i].type);
		if (decoded.type == PR_FRAME_CORE_MESSAGE)
			assert_memory_equal(&decoded.core_message,
			    &frames[i].core_message, 7 * sizeof(uint64_t));
		if (decoded.type == PR_FRAME_GOSSIP) {
			assert_string_equal(decoded.gossip.name, "b");
			assert_int_equal(decoded.gossip.state, PR_LEFT);
			assert_true(decoded.gossip.ready);
		}
		msgpack_sbuffer_destroy(&bytes);
	}
}

static void
test_truncated_and_unknown_frames_are_refused(void **state)
{
	size_t i, length;

	(void)state;
	for (i = 0; i < FRAMES; i++) {
		msgpack_sbuffer bytes;
		struct pr_frame decoded;

		msgpack_sbuffer_init(&bytes);
		pr_encode(&frames[i], &bytes);
		for (length = 0; length < bytes.size - PR_FRAME_HEADER_BYTES;
		     length++)
			assert_int_equal(
			    decode(&bytes, length, &decoded), CS_E_INVALID);
		bytes.data[PR_FRAME_HEADER_BYTES + 1] = 99; /* no such type */
		assert_int_equal(
		    decode(
			&bytes, bytes.size - PR_FRAME_HEADER_BYTES, &decoded),
		    CS_E_INVALID);
		msgpack_sbuffer_destroy(&bytes);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_frames_decode_to_the_encoded_values),
	    cmocka_unit_test(test_truncated_and_unknown_frames_are_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
