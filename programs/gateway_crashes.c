/* Tells the other VMs of requests that crash targets. */
#include <string.h>

#include "gateway.h"

#define REPEATS 3 /* of a report, one each tick */
/* Regions that were cut off from each other have missed reports. */
#define REMIND_EVERY_TICKS 8 /* 2 s */
/* Told to a node that has just started, at most. */
#define TOLD_MAX 32

void
ga_on_crash(void *user, const struct bl_crash *crash, bool is_poison)
{
	struct ga_app *app = user;
	struct fl_suspect_request suspect = {
	    .fingerprint = crash->fingerprint,
	    .target_process = crash->target_process,
	    .trials = crash->trials,
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

void
ga_on_claim(void *user, uint64_t fingerprint, uint64_t ticket)
{
	struct ga_app *app = user;

	fl_broadcast_claim(app->fleet,
	    &(struct fl_claim){.fingerprint = fingerprint, .ticket = ticket});
}

bool
ga_on_fleet_claim(void *user, const struct fl_claim *claim)
{
	struct ga_app *app = user;

	return gw_add_claim(app->gw, claim->fingerprint, claim->ticket);
}

/*
 * The VMs of all regions are ranked without knowing each other: regions take
 * turns, in an order that differs by request.
 */
uint32_t
ga_on_rank(void *user, uint64_t fingerprint)
{
	const struct ga_app *app = user;
	const struct bl_topology *topology = &app->topology;
	const char *own = topology->data_centres[topology->own].region;
	uint64_t own_weight =
	    cs_hash_pair(fingerprint, cs_hash(own, strlen(own)));
	uint32_t in_region = fl_membership_rank(
	    fl_get_membership(app->fleet), fingerprint, cs_now_us());
	uint32_t i, k, regions_before = 0;

	for (i = 0; i < topology->count; i++) {
		const char *region = topology->data_centres[i].region;

		for (k = 0; k < i; k++) {
			if (strcmp(topology->data_centres[k].region, region) ==
			    0)
				break;
		}
		regions_before +=
		    k == i && cs_hash_pair(fingerprint,
				  cs_hash(region, strlen(region))) > own_weight;
	}
	return in_region * app->region_count + regions_before;
}

bool
ga_on_suspect_request(void *user, const struct fl_suspect_request *suspect)
{
	struct ga_app *app = user;

	return gw_add_crash(
	    app->gw, &(struct bl_crash){
			 .fingerprint = suspect->fingerprint,
			 .target_process = suspect->target_process,
			 .trials = suspect->trials,
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

static void
remind(void *arg, const struct bl_crash *crash)
{
	struct ga_app *app = arg;

	fl_remind_regions(app->fleet,
	    &(struct fl_suspect_request){
		.fingerprint = crash->fingerprint,
		.target_process = crash->target_process,
		.trials = crash->trials,
	    },
	    app->tick_count / REMIND_EVERY_TICKS);
}

void
ga_remind_regions(struct ga_app *app)
{
	if (app->tick_count % REMIND_EVERY_TICKS == 0 &&
	    fl_get_membership(app->fleet)->self.current)
		gw_for_each_poison(app->gw, remind, app);
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
		.trials = crash->trials,
	    });
}

void
ga_tell_crashes(struct ga_app *app, const struct fl_node *node)
{
	struct telling telling = {
	    .fleet = app->fleet, .node = node, .left = TOLD_MAX};

	gw_for_each_poison(app->gw, tell, &telling);
}
