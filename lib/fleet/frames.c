/*
 * Encodes the frames between nodes: msgpack arrays whose first item is the
 * type. Large frames are compressed, since some VMs have little bandwidth.
 */

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

#include "frames_internal.h"

void
fl_pack_text(msgpack_packer *packer, const char *text, size_t length)
{
	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

void
fl_pack_address(msgpack_packer *packer, const struct sockaddr_in *address)
{
	msgpack_pack_uint64(
	    packer, (uint64_t)ntohl(address->sin_addr.s_addr) << 16 |
			ntohs(address->sin_port));
}

void
fl_pack_number(msgpack_packer *packer, uint64_t revision)
{
	msgpack_pack_uint64(packer, os_revision_number(revision));
}

void
fl_pack_era(msgpack_packer *packer, uint64_t revision)
{
	msgpack_pack_uint64(packer, os_revision_era(revision));
}

void
fl_pack_id(msgpack_packer *packer, uint64_t id)
{
	fl_pack_number(packer, id);
	fl_pack_era(packer, id);
}

static void
pack_hello(msgpack_packer *packer, const struct fl_frame *frame)
{
	const struct fl_node *node = &frame->as.hello.node;
	uint32_t i;

	msgpack_pack_array(packer,
	    15 + frame->as.hello.peer_count + (node->voters_id != 0 ? 2 : 0));
	msgpack_pack_int(packer, frame->type);
	fl_pack_text(packer, node->name, strlen(node->name));
	fl_pack_text(packer, node->data_centre, strlen(node->data_centre));
	fl_pack_text(
	    packer, frame->as.hello.region, strlen(frame->as.hello.region));
	fl_pack_address(packer, &node->fleet);
	fl_pack_address(packer, &node->listen_address);
	msgpack_pack_uint64(packer, node->boot);
	msgpack_pack_int(
	    packer, node->ready | node->stopping << 1 | node->current << 2 |
			frame->as.hello.wants_reply << 3 |
			frame->as.hello.wants_heartbeats << 4 |
			node->listed << 5 | node->knows_settled << 7);
	fl_pack_number(packer, node->revision_sum);
	msgpack_pack_uint32(packer, node->capacity);
	msgpack_pack_uint32(packer, frame->as.hello.known_nodes);
	msgpack_pack_uint32(packer, frame->as.hello.peer_count);
	for (i = 0; i < frame->as.hello.peer_count; i++)
		fl_pack_address(packer, &frame->as.hello.peers[i]);
	fl_pack_era(packer, node->revision_sum);
	msgpack_pack_uint32(packer, node->features);
	msgpack_pack_uint32(packer, frame->as.hello.live_nodes);
	if (node->voters_id != 0)
		fl_pack_id(packer, node->voters_id);
}

static void
pack_heartbeat(msgpack_packer *packer, const struct fl_frame *frame)
{
	uint64_t voters_id = frame->as.heartbeat.voters_id;

	msgpack_pack_array(packer, voters_id != 0 ? 7 : 5);
	msgpack_pack_int(packer, FL_FRAME_HEARTBEAT);
	msgpack_pack_uint64(packer, frame->as.heartbeat.boot);
	msgpack_pack_int(packer, frame->as.heartbeat.ready |
				     frame->as.heartbeat.stopping << 1 |
				     frame->as.heartbeat.current << 2 |
				     frame->as.heartbeat.listed << 3 |
				     frame->as.heartbeat.knows_settled << 5);
	fl_pack_number(packer, frame->as.heartbeat.revision_sum);
	fl_pack_era(packer, frame->as.heartbeat.revision_sum);
	if (voters_id != 0)
		fl_pack_id(packer, voters_id);
}

static void
pack_voters(msgpack_packer *packer, const struct fl_frame *frame)
{
	const struct fl_voters *voters = &frame->as.voters.list;
	uint32_t i;

	msgpack_pack_array(packer, 7 + voters->count);
	msgpack_pack_int(packer, FL_FRAME_VOTERS);
	msgpack_pack_int(packer, frame->as.voters.is_fresh);
	fl_pack_id(packer, voters->id);
	fl_pack_id(packer, voters->before_id);
	msgpack_pack_uint32(packer, voters->count);
	for (i = 0; i < voters->count; i++) {
		const struct fl_voter *voter = &voters->voters[i];

		msgpack_pack_uint64(
		    packer, (uint64_t)voter->lists << FL_VOTER_LISTS_SHIFT |
				(uint64_t)voter->host << 16 | voter->port);
	}
}

static void
pack_update(msgpack_packer *packer, const struct fl_update *update)
{
	uint32_t i;

	msgpack_pack_array(packer, 6 + update->batch.count * 5);
	msgpack_pack_int(packer, FL_FRAME_UPDATE);
	msgpack_pack_uint32(packer, update->kind);
	msgpack_pack_int(packer, update->snapshot);
	fl_pack_number(packer, update->batch.revision);
	msgpack_pack_uint32(packer, update->batch.count);
	for (i = 0; i < update->batch.count; i++) {
		const struct os_change *change = &update->batch.changes[i];

		fl_pack_text(packer, change->name, strlen(change->name));
		fl_pack_number(packer, change->revision);
		msgpack_pack_int(packer, change->deleted);
		fl_pack_text(packer, change->deleted ? "" : change->text,
		    change->deleted ? 0 : change->text_length);
	}
	fl_pack_era(packer, update->batch.revision);
	for (i = 0; i < update->batch.count; i++)
		fl_pack_era(packer, update->batch.changes[i].revision);
}

static void
pack_limit(msgpack_packer *packer, const struct fl_limit *limit)
{
	msgpack_pack_uint64(packer, limit->target_process);
	msgpack_pack_int(packer, limit->has_limit);
	msgpack_pack_uint64(packer, (uint64_t)(limit->per_s * FL_LIMIT_UNIT));
	msgpack_pack_uint64(
	    packer, limit->age_us < 0 ? 0
		    : limit->age_us > (int64_t)FL_DURATION_US_MAX
			? FL_DURATION_US_MAX
			: (uint64_t)limit->age_us);
}

static void
pack_ask(msgpack_packer *packer, const struct fl_ask *ask)
{
	msgpack_pack_array(packer, 9 + (ask->cold_left_us > 0));
	msgpack_pack_int(packer, FL_FRAME_ASK);
	pack_limit(packer, &ask->limit);
	msgpack_pack_uint32(packer, ask->count);
	msgpack_pack_uint64(packer, (uint64_t)ask->wait_max_us);
	msgpack_pack_int(packer, ask->passed_on);
	fl_pack_address(packer, &ask->asker);
	/* Earlier builds do not look here. */
	if (ask->cold_left_us > 0)
		msgpack_pack_uint64(packer, (uint64_t)ask->cold_left_us);
}

static void
pack_permit(msgpack_packer *packer, const struct fl_permit *permit)
{
	msgpack_pack_array(packer, 8);
	msgpack_pack_int(packer, FL_FRAME_PERMIT);
	pack_limit(packer, &permit->limit);
	msgpack_pack_uint32(packer, permit->count);
	msgpack_pack_uint64(packer, (uint64_t)permit->wait_us);
	msgpack_pack_uint64(packer, (uint64_t)permit->ask_again_us);
}

static void
pack_config(msgpack_packer *packer, const struct fl_config_state *config)
{
	fl_pack_number(packer, config->revision);
	fl_pack_era(packer, config->revision);
	msgpack_pack_uint64(packer, config->version);
}

static void
pack_proof_query(msgpack_packer *packer, const struct fl_proof_query *query)
{
	msgpack_pack_array(packer, 6);
	msgpack_pack_int(packer, FL_FRAME_PROOF_QUERY);
	msgpack_pack_uint64(packer, query->process);
	msgpack_pack_uint64(packer, (uint64_t)query->asked_us);
	pack_config(packer, &query->config);
}

static void
pack_proof(msgpack_packer *packer, const struct fl_proof_reply *reply)
{
	msgpack_pack_array(packer, 8);
	msgpack_pack_int(packer, FL_FRAME_PROOF);
	msgpack_pack_uint64(packer, reply->process);
	msgpack_pack_uint64(packer, (uint64_t)reply->asked_us);
	msgpack_pack_int(packer, reply->proven);
	msgpack_pack_uint64(packer, (uint64_t)reply->age_us);
	pack_config(packer, &reply->config);
}

/* The sender's address follows only where a frame is passed on. */
static void
pack_quota_ask(msgpack_packer *packer, const struct fl_quota_ask *ask)
{
	msgpack_pack_array(packer, 6 + ask->passed_on);
	msgpack_pack_int(packer, FL_FRAME_QUOTA_ASK);
	msgpack_pack_uint64(packer, ask->tenant);
	msgpack_pack_uint8(packer, ask->number);
	msgpack_pack_uint32(packer, ask->count);
	msgpack_pack_uint32(packer, ask->arrived);
	msgpack_pack_uint32(packer, ask->unspent);
	if (ask->passed_on)
		fl_pack_address(packer, &ask->asker);
}

static void
pack_quota_grant(msgpack_packer *packer, const struct fl_quota_grant *grant)
{
	msgpack_pack_array(packer, 5);
	msgpack_pack_int(packer, FL_FRAME_QUOTA_GRANT);
	msgpack_pack_uint64(packer, grant->tenant);
	msgpack_pack_uint8(packer, grant->number);
	msgpack_pack_uint32(packer, grant->count);
	msgpack_pack_uint64(packer, (uint64_t)grant->wait_us);
}

static void
pack_quota_share(msgpack_packer *packer, const struct fl_quota_share *share)
{
	msgpack_pack_array(packer, 9 + share->passed_on);
	msgpack_pack_int(packer, FL_FRAME_QUOTA_SHARE);
	msgpack_pack_uint64(packer, share->tenant);
	msgpack_pack_uint32(packer, share->region);
	msgpack_pack_uint32(packer, share->demand_milli);
	msgpack_pack_uint32(packer, share->lent);
	msgpack_pack_uint32(packer, share->held);
	msgpack_pack_uint32(packer, share->stamp);
	msgpack_pack_uint32(packer, share->echo);
	msgpack_pack_int(packer, share->has_echo);
	if (share->passed_on)
		fl_pack_address(packer, &share->sender);
}

#define COMPRESS_MIN_BYTES 600 /* smaller frames hardly shrink */

static int
encode(const struct fl_frame *frame, struct fl_buffer *out)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint32_t i;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	switch (frame->type) {
	case FL_FRAME_HELLO:
		pack_hello(&packer, frame);
		break;
	case FL_FRAME_HEARTBEAT:
		pack_heartbeat(&packer, frame);
		break;
	case FL_FRAME_SUSPECT_REQUEST:
	case FL_FRAME_EXCUSE:
		msgpack_pack_array(&packer, 4);
		msgpack_pack_int(&packer, frame->type);
		msgpack_pack_uint64(
		    &packer, frame->as.suspect_request.fingerprint);
		msgpack_pack_uint64(
		    &packer, frame->as.suspect_request.target_process);
		msgpack_pack_uint32(&packer, frame->as.suspect_request.trials);
		break;
	case FL_FRAME_CLAIM:
		msgpack_pack_array(&packer, 3);
		msgpack_pack_int(&packer, frame->type);
		msgpack_pack_uint64(&packer, frame->as.claim.fingerprint);
		msgpack_pack_uint64(&packer, frame->as.claim.ticket);
		break;
	case FL_FRAME_SUBSCRIBE:
		msgpack_pack_array(&packer, 2 + 2 * OS_KINDS_MAX);
		msgpack_pack_int(&packer, frame->type);
		for (i = 0; i < OS_KINDS_MAX; i++)
			fl_pack_number(
			    &packer, frame->as.subscribe.revisions[i]);
		for (i = 0; i < OS_KINDS_MAX; i++)
			fl_pack_era(&packer, frame->as.subscribe.revisions[i]);
		fl_pack_address(&packer, &frame->as.subscribe.follower);
		break;
	case FL_FRAME_UPDATE:
		pack_update(&packer, &frame->as.update);
		break;
	case FL_FRAME_LEAVING:
		msgpack_pack_array(&packer, 2);
		msgpack_pack_int(&packer, frame->type);
		msgpack_pack_uint64(&packer, frame->as.leaving.target_process);
		break;
	case FL_FRAME_COLD:
		msgpack_pack_array(&packer, 3);
		msgpack_pack_int(&packer, frame->type);
		msgpack_pack_uint64(&packer, frame->as.cold.target_process);
		msgpack_pack_uint64(&packer, (uint64_t)frame->as.cold.left_us);
		break;
	case FL_FRAME_LIMIT:
		msgpack_pack_array(&packer, 5);
		msgpack_pack_int(&packer, frame->type);
		pack_limit(&packer, &frame->as.limit);
		break;
	case FL_FRAME_ASK:
		pack_ask(&packer, &frame->as.ask);
		break;
	case FL_FRAME_PERMIT:
		pack_permit(&packer, &frame->as.permit);
		break;
	case FL_FRAME_PROOF_QUERY:
		pack_proof_query(&packer, &frame->as.proof_query);
		break;
	case FL_FRAME_PROOF:
		pack_proof(&packer, &frame->as.proof);
		break;
	case FL_FRAME_QUOTA_ASK:
		pack_quota_ask(&packer, &frame->as.quota_ask);
		break;
	case FL_FRAME_QUOTA_GRANT:
		pack_quota_grant(&packer, &frame->as.quota_grant);
		break;
	case FL_FRAME_QUOTA_SHARE:
		pack_quota_share(&packer, &frame->as.quota_share);
		break;
	case FL_FRAME_REPORT:
		fl_pack_report(&packer, &frame->as.report);
		break;
	case FL_FRAME_ROSTER_REQUEST:
		msgpack_pack_array(&packer, 2);
		msgpack_pack_int(&packer, frame->type);
		msgpack_pack_uint32(&packer, frame->as.roster_request.roster);
		break;
	case FL_FRAME_VOTERS:
		pack_voters(&packer, frame);
		break;
	case FL_FRAME_VOTERS_REQUEST:
		msgpack_pack_array(&packer, 1);
		msgpack_pack_int(&packer, frame->type);
		break;
	}
	out->data = buffer.data;
	out->length = buffer.size;
	return buffer.data == NULL ? CS_E_SYSTEM : CS_OK;
}

/* Replaces a frame by its compressed form; on failure it is left as it is. */
static void
compress_frame(struct fl_buffer *frame)
{
	uLongf length = compressBound(frame->length);
	Bytef *compressed = malloc(length);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	if (compressed == NULL ||
	    compress2(compressed, &length, (const Bytef *)frame->data,
		frame->length, Z_BEST_SPEED) != Z_OK) {
		free(compressed);
		return;
	}
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, FL_COMPRESSED_TYPE);
	msgpack_pack_uint64(&packer, frame->length);
	msgpack_pack_bin(&packer, length);
	msgpack_pack_bin_body(&packer, compressed, length);
	free(compressed);
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

	if (error == CS_OK && out->length >= COMPRESS_MIN_BYTES)
		compress_frame(out);
	return error;
}
