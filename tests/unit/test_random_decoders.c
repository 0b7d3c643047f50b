/*
 * Decoders of bytes from outside, on mutated examples: whatever they are given,
 * they return, and what they accept is within its bounds. Meant to be run under
 * AddressSanitizer and UBSan as well: make test-sanitize.
 *
 *	test_random_decoders [SEED [ROUNDS]]
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "../../platform/platform.h"

#define SEED_DEFAULT 1
#define ROUNDS_DEFAULT 20000
#define MUTATIONS_MAX 6
#define BYTES_MAX 4096

static uint64_t seed = SEED_DEFAULT;
static uint32_t rounds = ROUNDS_DEFAULT;

static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nChervilshelf-Attempt-Id: a\r\n"
    "Chervilshelf-Response-Seal: s\r\nChervilshelf-Server-Load: 3,0,8,100\r\n"
    "Server-Limit: 3.7\r\nServer-Leaving: 1\r\nKeep-Alive: timeout=5\r\n"
    "Content-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 503 X\r\nRetry-After: 2.5\r\nChervilshelf-Not-Executed: 1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n\r\nno length",
};

static const char *const requests[] = {
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    "Expect: 100-continue\r\nConnection: keep-alive, x\r\n\r\nbody",
    "GET / HTTP/1.0\r\nHost: h:80\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nbody\r\n0\r\n\r\n",
};

static const char *const documents[] = {
    "{\"store_revision\":9,\"more\":true,\"items\":[{\"metadata\":{\"name\":"
    "\"a\",\"revision\":5},\"spec\":{\"address\":\"10.0.0.1:80\",\"born\":1,"
    "\"info\":{\"service\":\"s\",\"zone\":\"z1\",\"slots\":4}},\"status\":{"
    "\"state\":\"ready\",\"warmup_left\":\"1.5s\"}},{\"metadata\":{\"name\":"
    "\"b\\u0000\"},\"spec\":[[[1e9,-2,null,true]]]}]}",
    "{\"events\":[{\"deleted\":false,\"object\":{\"metadata\":{\"name\":\"a\","
    "\"revision\":7},\"spec\":{\"x\":\"\\\\\\\"]}\"}}},{\"deleted\":true,"
    "\"object\":{\"metadata\":{\"name\":\"b\"}}}],\"store_revision\":12}",
};

/* Copies an example with some bytes changed, doubled, cut out or cut off. */
static size_t
mutate(struct cs_random *random, const char *example, char out[BYTES_MAX])
{
	static const char special[] = "\0\r\n\"\\{}[],:0-9.e \xff";
	size_t length = strlen(example);
	uint32_t i, count = cs_random_below(random, MUTATIONS_MAX + 1);

	memcpy(out, example, length);
	for (i = 0; i < count && length > 1; i++) {
		size_t at = cs_random_below(random, (uint32_t)length);
		size_t rest = length - at;
		size_t part = 1 + cs_random_below(random, (uint32_t)rest);

		switch (cs_random_below(random, 4)) {
		case 0:
			out[at] = special[cs_random_below(
			    random, sizeof(special) - 1)];
			break;
		case 1:
			out[at] = (char)cs_random_next(random);
			break;
		case 2: /* repeats a part */
			if (length + part < BYTES_MAX) {
				memmove(out + at + part, out + at, rest);
				length += part;
			}
			break;
		case 3: /* removes a part */
			memmove(out + at, out + at + part, rest - part);
			length -= part;
			break;
		}
	}
	return length;
}

/* Reads messages in pieces of random size. */
static void
read_messages(struct cs_random *random, enum http_parser_type type,
    const char *data, size_t length)
{
	struct h1_reader reader;
	enum h1_read read = H1_READ_MORE;
	struct bl_report report;

	h1_reader_init(&reader, type, (struct h1_limits){2048, 2048});
	while (length > 0 && read >= 0) {
		size_t piece = 1 + cs_random_below(random, (uint32_t)length);
		size_t used = 0;

		read = h1_reader_feed(&reader, data, piece, &used);
		assert_true(used <= piece);
		if (read == H1_READ_COMPLETE) {
			pl_header_names.read_report(&reader.message, &report);
			assert_true(report.pause_us >= 0 &&
				    report.pause_us <= BL_PAUSE_US_MAX);
			assert_true(report.limit_per_s >= 0 &&
				    report.limit_per_s <= BL_LIMIT_PER_S_MAX);
			assert_true(reader.message.body.length <= 2048);
			h1_reader_next(&reader);
		}
		data += used;
		length -= used;
		if (used == 0 && read == H1_READ_MORE)
			break;
	}
	h1_reader_free(&reader);
}

static void
read_batch(const struct os_batch *batch)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_target target;
	struct pl_node node;
	uint32_t i;

	for (i = 0; i < batch->count; i++) {
		const struct os_change *change = &batch->changes[i];

		assert_int_equal(change->text_length, strlen(change->text));
		if (pl_read_target(change->name, change->text, &target,
			error_text) == CS_OK)
			assert_true(target.slots > 0 &&
				    target.slots <= UINT16_MAX &&
				    target.address.sin_port != 0 &&
				    target.warm_up_left_ms >= 0);
		pl_read_node(change->name, change->text, &node);
	}
}

static void
test_mutated_messages_are_read_within_bounds(void **state)
{
	struct cs_random random;
	char bytes[BYTES_MAX];
	uint32_t i;

	(void)state;
	cs_random_seed(&random, seed);
	for (i = 0; i < rounds; i++) {
		size_t length = mutate(&random, responses[i % 3], bytes);

		read_messages(&random, HTTP_RESPONSE, bytes, length);
		length = mutate(&random, requests[i % 2], bytes);
		read_messages(&random, HTTP_REQUEST, bytes, length);
	}
}

static void
test_mutated_documents_are_read_within_bounds(void **state)
{
	struct cs_random random;
	char bytes[BYTES_MAX];
	uint32_t i;

	(void)state;
	cs_random_seed(&random, seed);
	for (i = 0; i < rounds; i++) {
		struct os_text text = {.data = bytes};
		struct os_batch batch = {.count = 0};
		struct os_change object;
		char *after;

		text.length = mutate(&random, documents[i % 2], bytes);
		if (pl_codec.parse_list(&text, &batch, &after) == CS_OK) {
			read_batch(&batch);
			assert_int_equal(batch.more, after != NULL);
			free(after);
			os_batch_free(&batch);
		}
		if (pl_codec.parse_events(&text, &batch) == CS_OK) {
			read_batch(&batch);
			os_batch_free(&batch);
		}
		if (pl_codec.parse_object(&text, &object) == CS_OK)
			free(object.text);
	}
}

int
main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_mutated_messages_are_read_within_bounds),
	    cmocka_unit_test(test_mutated_documents_are_read_within_bounds),
	};

	if (argc > 1)
		seed = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		rounds = (uint32_t)strtoul(argv[2], NULL, 10);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
