/*
 * Responses to callers: the unchanged response of a target, or an error of the
 * gateway.
 */
#include <string.h>

#include "gateway_internal.h"

/* All targets shed the request; there may be room after some responses. */
#define RETRY_AFTER_REFUSED_US 50000

static const struct {
	const char *text;
	const char *meaning;
} reasons[] = {
#define GW_REASON(symbol, text, meaning) {text, meaning},
#include "reasons.def"
#undef GW_REASON
};

const char *
gw_reason_text(enum gw_reason reason)
{
	return reason < GW_REASONS ? reasons[reason].text : "unknown";
}

const char *
gw_reason_meaning(const char *text)
{
	size_t i;

	for (i = 0; i < GW_REASONS; i++) {
		if (strcmp(reasons[i].text, text) == 0)
			return reasons[i].meaning;
	}
	return NULL;
}

static void
drop_tried(struct gw_call *call)
{
	uint32_t i;

	for (i = 0; i < call->tried_count; i++)
		bl_target_unref(call->tried[i]);
	call->tried_count = 0;
}

/* Another trial may follow. */
static void
end_trial(struct gw_call *call)
{
	if (call->is_claiming)
		bl_poison_tried(
		    &call->gw->poison, call->fingerprint, cs_now_us());
	call->is_claiming = false;
}

void
gw_call_end(struct gw_call *call, int status, enum gw_reason reason)
{
	struct gw *gw = call->gw;
	int64_t took_us = cs_now_us() - call->received_us;
	char label[RT_LABEL_BYTES_MAX] = "-";

	if (call->route != NULL)
		rt_route_label(call->route, label);
	gw_dequeue(call);
	end_trial(call);
	gw_count_tenant(call, status, reason);
	gw_count_end(call, reason);
	gw->counters.ended[reason]++;
	if (reason == GW_ANSWERED)
		cs_histogram_add(&gw->counters.answered, took_us);
	cs_log(
	    reason == GW_ANSWERED ? CS_LOG_CALL_ANSWERED : CS_LOG_CALL_FAILED,
	    "request=%s status=%d reason=%s route=%s pool=%s version=%llu "
	    "attempts=%u last=%s waited_us=%lld took_us=%lld%s%s",
	    call->id, status, gw_reason_text(reason), label,
	    call->pool == NULL ? "-" : call->pool->balance->name,
	    call->table == NULL ? 0ULL
				: (unsigned long long)call->table->version,
	    call->attempts,
	    call->attempts == 0 ? "-" : bl_outcome_text(call->last_outcome),
	    (long long)call->waited_us, (long long)took_us,
	    call->tenant == NULL ? "" : " tenant=",
	    call->tenant == NULL ? "" : call->tenant->name);
	if (call->route != NULL)
		gw->params.events->on_call_ended(
		    gw->params.user, &(struct gw_call_result){
					 .route = call->route,
					 .reason = reason,
					 .status = status,
					 .took_us = took_us,
					 .objective_us = call->objective_us,
				     });
	uv_timer_stop(&call->deadline_timer);
	drop_tried(call);
	rt_table_unref(call->table);
	call->table = NULL;
	call->tenant = NULL;
	call->route = NULL;
	call->pool = NULL;
	call->conn = NULL;
	call->state = GW_CALL_FREE;
	call->next = gw->free_calls;
	gw->free_calls = call;
}

void
gw_respond_error(struct gw_call *call, int status, enum gw_reason reason,
    int64_t retry_after_us)
{
	struct gw *gw = call->gw;
	struct h1_bytes *head = &gw->head;
	struct h1_conn *conn = call->conn;
	const char *id =
	    h1_find_header(call->request, gw->params.header_names->request_id);
	char body[128];

	/* An earlier attempt may have run, but 503 states that none did. */
	if (status == 503 && call->may_have_run) {
		status = 502;
		retry_after_us = 0;
	}
	head->length = 0;
	if (id != NULL)
		h1_bytes_print(head, "%s: %s\r\n",
		    gw->params.header_names->request_id, id);
	if (retry_after_us > 0)
		h1_bytes_print(head, "Retry-After: %.3f\r\n",
		    (double)retry_after_us / 1e6);
	h1_bytes_print(head, "Content-Type: application/json\r\n");
	snprintf(body, sizeof(body), "{\"reason\":\"%s\"}\n",
	    gw_reason_text(reason));
	gw_call_end(call, status, reason);
	h1_conn_send_response(conn, &(struct h1_response){
					.status = status,
					.headers = head->data,
					.headers_length = head->length,
					.body = body,
					.body_length = strlen(body),
				    });
}

static void
relay_response(struct gw_call *call, const struct h1_message *response)
{
	struct gw *gw = call->gw;
	struct h1_bytes *head = &gw->head;
	struct h1_conn *conn = call->conn;
	int error = CS_OK;
	uint32_t i;

	head->length = 0;
	for (i = 0; i < response->header_count; i++) {
		if (!h1_is_hop_by_hop(response, i))
			error |= h1_bytes_add_header(head,
			    h1_header_name(response, i),
			    h1_header_value(response, i));
	}
	if (error != CS_OK) {
		gw_respond_error(call, 502, GW_BAD_ANSWER, 0);
		return;
	}
	gw_call_end(call, response->status,
	    response->status >= 500 ? GW_TARGET_FAILED : GW_ANSWERED);
	h1_conn_send_response(
	    conn, &(struct h1_response){
		      .status = response->status,
		      .headers = head->data,
		      .headers_length = head->length,
		      .body_of = response,
		      /* Only the caller can tell whether it is complete. */
		      .unframed = !response->framed,
		  });
}

/*
 * Callers take these statuses to mean that the request did not run, which the
 * target did not state.
 */
static bool
implies_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static enum gw_reason
reason_of(enum bl_outcome outcome)
{
	switch (outcome) {
	case BL_SERVED:
		return GW_ANSWERED;
	case BL_FAILED:
		return GW_TARGET_FAILED;
	case BL_SHED:
		return GW_SHED;
	case BL_MISPLACED:
	case BL_UNREACHED:
		return GW_NOT_REACHED;
	case BL_LOST:
		return GW_LOST_AT_TARGET;
	case BL_GARBLED:
		return GW_BAD_ANSWER;
	case BL_CANCELLED: /* other cancelled attempts end no call */
		return GW_NO_MEMORY;
	}
	return GW_BAD_ANSWER;
}

static void
relay(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *response)
{
	if (outcome == BL_FAILED && implies_not_run(response->status))
		gw_respond_error(call, 502, GW_TARGET_FAILED, 0);
	else
		relay_response(call, response);
}

/* Returns when a call that all targets refused may come back. */
static int64_t
retry_after_us(const struct gw_call *call)
{
	uint64_t blocked =
	    call->gw->params.topology->evacuated | call->excluded_data_centres;
	int64_t wait_us =
	    bl_pool_wait_us(call->pool->balance, blocked, cs_now_us());

	return wait_us == INT64_MAX || wait_us < RETRY_AFTER_REFUSED_US
		   ? RETRY_AFTER_REFUSED_US
		   : wait_us;
}

void
gw_respond(struct gw_call *call, enum bl_step step, enum bl_outcome outcome,
    const struct h1_message *response)
{
	switch (step) {
	case BL_RELAY:
		relay(call, outcome, response);
		break;
	case BL_FAIL_NOT_RUN:
		gw_respond_error(
		    call, 503, reason_of(outcome), retry_after_us(call));
		break;
	case BL_FAIL_UNKNOWN:
		gw_respond_error(call, 502, reason_of(outcome), 0);
		break;
	case BL_RETRY: /* nothing to send yet */
		break;
	}
}
