/* Tells the other VMs of requests that crash targets. */
#include "gateway.h"

#define REPEATS 3 /* of a report, one each tick */
/* Told to a node that has just started, at most. */
#define TOLD_MAX 32

void
ga_on_crash(void *user, const struct bl_crash *crash, bool is_poison)
{
	struct ga_app *app = user;
	struct fl_suspect_request suspect = {
	    .fingerprint = crash->fingerprint,
	    .target_process = crash->target_process,
	};
	uint32_t at = app->crash_report_count % GA_CRASH_REPORTS_MAX;

	fl_broadcast_suspect_request(app->fleet, &suspect);
	if (!is_poison)
		return;
	app->crash_reports[at].suspect = suspect;
	app->crash_reports[at].repeats_left = REPEATS;
	app->crash_report_count++;
}

void
ga_on_excused(void *user, const struct bl_crash *crash)
{
	struct ga_app *app = user;

	fl_broadcast_excuse(
	    app->fleet, &(struct fl_suspect_request){
			    .fingerprint = crash->fingerprint,
			    .target_process = crash->target_process,
			});
}

bool
ga_on_fleet_excuse(void *user, const struct fl_suspect_request *excuse)
{
	struct ga_app *app = user;

	return gw_add_excuse(
	    app->gw, &(struct bl_crash){
			 .fingerprint = excuse->fingerprint,
			 .target_process = excuse->target_process,
		     });
}

bool
ga_on_suspect_request(void *user, const struct fl_suspect_request *suspect)
{
	struct ga_app *app = user;

	return gw_add_crash(
	    app->gw, &(struct bl_crash){
			 .fingerprint = suspect->fingerprint,
			 .target_process = suspect->target_process,
		     });
}

void
ga_repeat_crash_reports(struct ga_app *app)
{
	uint32_t i;

	for (i = 0; i < GA_CRASH_REPORTS_MAX; i++) {
		if (app->crash_reports[i].repeats_left == 0)
			continue;
		app->crash_reports[i].repeats_left--;
		fl_broadcast_suspect_request(
		    app->fleet, &app->crash_reports[i].suspect);
	}
}

struct telling {
	struct fleet *fleet;
	const struct fl_node *node;
	uint32_t left;
};

static void
tell(void *arg, const struct bl_crash *crash)
{
	struct telling *telling = arg;

	if (telling->left == 0)
		return;
	telling->left--;
	fl_send_suspect_request(telling->fleet, telling->node,
	    &(struct fl_suspect_request){
		.fingerprint = crash->fingerprint,
		.target_process = crash->target_process,
	    });
}

void
ga_tell_crashes(struct ga_app *app, const struct fl_node *node)
{
	struct telling telling = {
	    .fleet = app->fleet, .node = node, .left = TOLD_MAX};

	gw_for_each_poison(app->gw, tell, &telling);
}
