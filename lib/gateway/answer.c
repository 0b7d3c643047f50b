/* What callers get: a target's answer unchanged, or one of this system. */
#include <string.h>

#include "gateway_internal.h"

void
gw_answer_relay(struct gw_call *call, const struct h1_message *answer)
{
	struct gw *gw = call->gw;
	struct h1_bytes *head = &gw->head;
	struct h1_conn *conn = call->conn;
	int error = CS_OK;
	uint32_t i;

	head->length = 0;
	for (i = 0; i < answer->header_count; i++) {
		if (!h1_concerns_channel(answer, i))
			error |= h1_bytes_add_header(
			    head, h1_name(answer, i), h1_value(answer, i));
	}
	if (error != CS_OK) {
		gw_answer_own(call, 502, GW_BAD_ANSWER, 0);
		return;
	}
	gw_call_end(call, answer->status,
	    answer->status >= 500 ? GW_TARGET_FAILED : GW_ANSWERED);
	h1_conn_answer(
	    conn, &(struct h1_answer){
		      .status = answer->status,
		      .headers = head->data,
		      .headers_length = head->length,
		      .body = answer->body.data,
		      .body_length = answer->body.length,
		      /* Whether it is whole only its reader can tell. */
		      .unframed = !answer->framed,
		  });
}

void
gw_answer_own(struct gw_call *call, int status, enum gw_reason reason,
    int64_t retry_after_us)
{
	struct gw *gw = call->gw;
	struct h1_bytes *head = &gw->head;
	struct h1_conn *conn = call->conn;
	char body[128];

	/* An earlier attempt may have run: 503 would promise that none did. */
	if (status == 503 && call->may_have_run) {
		status = 502;
		retry_after_us = 0;
	}
	head->length = 0;
	if (call->id[0] != '\0')
		h1_bytes_print(head, "%s: %s\r\n",
		    gw->params.dialect->request_id, call->id);
	if (retry_after_us > 0)
		h1_bytes_print(head, "Retry-After: %.3f\r\n",
		    (double)retry_after_us / 1e6);
	h1_bytes_print(head, "Content-Type: application/json\r\n");
	snprintf(body, sizeof(body), "{\"reason\":\"%s\"}\n",
	    gw_reason_text(reason));
	gw_call_end(call, status, reason);
	h1_conn_answer(conn, &(struct h1_answer){
				 .status = status,
				 .headers = head->data,
				 .headers_length = head->length,
				 .body = body,
				 .body_length = strlen(body),
			     });
}
