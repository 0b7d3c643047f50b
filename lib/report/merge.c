/* Merges the accounts of several processes and formats the total. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "report_internal.h"

#define LINE_BYTES_MAX 512

static const char *const result_keys[] = {
    "served", "late", "not_run", "unknown", "cut", "left", NULL};

static const char *
string_field(const json_t *row, const char *key)
{
	const char *value = json_string_value(json_object_get(row, key));

	return value != NULL ? value : "";
}

static json_int_t
integer_field(const json_t *row, const char *key)
{
	return json_integer_value(json_object_get(row, key));
}

static void
add_number(json_t *into, const json_t *from, const char *key)
{
	json_object_set_new(into, key,
	    json_integer(integer_field(into, key) + integer_field(from, key)));
}

static void
add_window(json_t *into, const json_t *from, const char *key)
{
	json_t *window = json_object_get(into, key);

	add_number(window, json_object_get(from, key), "good");
	add_number(window, json_object_get(from, key), "bad");
}

json_t *
rp_histogram_json(const struct cs_histogram *histogram)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < CS_HISTOGRAM_BUCKETS_MAX; i++) {
		if (histogram->buckets[i] == 0)
			continue;
		json_array_append_new(list, json_integer(i));
		json_array_append_new(
		    list, json_integer(histogram->buckets[i]));
	}
	return list;
}

static void
read_histogram(struct cs_histogram *out, const json_t *row)
{
	const json_t *list = json_object_get(row, "latency");
	size_t i;

	for (i = 0; i + 1 < json_array_size(list); i += 2) {
		json_int_t bucket = json_integer_value(json_array_get(list, i));
		json_int_t count =
		    json_integer_value(json_array_get(list, i + 1));

		if (bucket < 0 || bucket >= CS_HISTOGRAM_BUCKETS_MAX)
			continue;
		out->buckets[bucket] += (uint32_t)count;
		out->count += (uint64_t)count;
	}
}

static void
add_account(json_t *into, const json_t *from)
{
	struct cs_histogram histogram = {0};
	uint32_t i;

	for (i = 0; result_keys[i] != NULL; i++)
		add_number(into, from, result_keys[i]);
	add_window(into, from, "short");
	add_window(into, from, "long");
	read_histogram(&histogram, into);
	read_histogram(&histogram, from);
	json_object_set_new(into, "latency", rp_histogram_json(&histogram));
}

static json_t *
find_account(json_t *total, const json_t *wanted)
{
	json_t *row;
	size_t i;

	json_array_foreach(total, i, row)
	{
		if (strcmp(string_field(row, "member"),
			string_field(wanted, "member")) == 0 &&
		    strcmp(string_field(row, "route"),
			string_field(wanted, "route")) == 0)
			return row;
	}
	return NULL;
}

int
rp_merge(json_t *total, const json_t *part)
{
	json_t *row, *into;
	size_t i;

	if (!json_is_array(part))
		return CS_E_INVALID;
	json_array_foreach(part, i, row)
	{
		if (!json_is_object(row))
			return CS_E_INVALID;
		into = find_account(total, row);
		if (into != NULL)
			add_account(into, row);
		else
			json_array_append_new(total, json_deep_copy(row));
	}
	return CS_OK;
}

double
rp_burn_rate(const json_t *account, uint32_t minutes)
{
	const char *key = minutes == RP_SHORT_MINUTES ? "short" : "long";
	const json_t *window = json_object_get(account, key);
	double good = (double)integer_field(window, "good");
	double bad = (double)integer_field(window, "bad");
	double share =
	    json_number_value(json_object_get(account, "objective_share"));

	if (good + bad == 0 || share <= 0 || share >= 1)
		return 0;
	return bad / (good + bad) / (1 - share);
}

static double
quantile_ms(const json_t *row, double q)
{
	struct cs_histogram histogram = {0};

	read_histogram(&histogram, row);
	return (double)cs_histogram_quantile(&histogram, q) / 1000.0;
}

static void
append(char **out, const char *line)
{
	size_t used = *out != NULL ? strlen(*out) : 0;
	char *grown = realloc(*out, used + strlen(line) + 1);

	if (grown == NULL)
		return;
	strcpy(grown + used, line);
	*out = grown;
}

char *
rp_text(const json_t *total)
{
	char line[LINE_BYTES_MAX], *out = NULL;
	json_t *row;
	size_t i;

	snprintf(line, sizeof(line),
	    "%-20s %-16s %9s %7s %7s %7s %6s %6s %8s %8s %7s %7s\n", "MEMBER",
	    "ROUTE", "SERVED", "LATE", "NOT-RUN", "UNKNOWN", "CUT", "LEFT",
	    "P50 MS", "P99 MS", "BURN5", "BURN60");
	append(&out, line);
	json_array_foreach(total, i, row)
	{
		snprintf(line, sizeof(line),
		    "%-20s %-16s %9lld %7lld %7lld %7lld %6lld %6lld %8.1f "
		    "%8.1f %7.2f %7.2f\n",
		    string_field(row, "member"), string_field(row, "route"),
		    integer_field(row, "served"), integer_field(row, "late"),
		    integer_field(row, "not_run"),
		    integer_field(row, "unknown"), integer_field(row, "cut"),
		    integer_field(row, "left"), quantile_ms(row, 0.5),
		    quantile_ms(row, 0.99), rp_burn_rate(row, RP_SHORT_MINUTES),
		    rp_burn_rate(row, RP_LONG_MINUTES));
		append(&out, line);
	}
	return out;
}

/* Copies text and escapes the characters that HTML reserves. */
static void
escape(char *out, size_t out_bytes, const char *in)
{
	size_t used = 0;

	for (; *in != '\0' && used + 8 < out_bytes; in++) {
		if (*in == '<' || *in == '>' || *in == '&' || *in == '"')
			used += (size_t)sprintf(
			    out + used, "&#%d;", (unsigned char)*in);
		else
			out[used++] = *in;
	}
	out[used] = '\0';
}

/* Appends one bar for each result, as wide as its share of the calls. */
static void
append_bar(char **out, const json_t *row)
{
	static const char *const colours[] = {
	    "#2a7", "#e90", "#888", "#c33", "#936", "#bbb"};
	json_int_t sum = 0;
	char line[LINE_BYTES_MAX];
	double x = 0, width;
	uint32_t i;

	for (i = 0; result_keys[i] != NULL; i++)
		sum += integer_field(row, result_keys[i]);
	append(out, "<svg width=\"300\" height=\"14\">");
	for (i = 0; result_keys[i] != NULL && sum > 0; i++) {
		width = 300.0 * (double)integer_field(row, result_keys[i]) /
			(double)sum;
		snprintf(line, sizeof(line),
		    "<rect x=\"%.1f\" width=\"%.1f\" height=\"14\" "
		    "fill=\"%s\"><title>%s %lld</title></rect>",
		    x, width, colours[i], result_keys[i],
		    integer_field(row, result_keys[i]));
		append(out, line);
		x += width;
	}
	append(out, "</svg>");
}

static void
append_html_row(char **out, const json_t *row)
{
	char member[RP_NAME_BYTES_MAX * 6], route[RP_NAME_BYTES_MAX * 6];
	char line[LINE_BYTES_MAX * 4];

	escape(member, sizeof(member), string_field(row, "member"));
	escape(route, sizeof(route), string_field(row, "route"));
	snprintf(line, sizeof(line),
	    "<tr><td>%s</td><td>%s</td><td>%lld</td><td>%lld</td>"
	    "<td>%.1f</td><td>%.1f</td><td>%.2f</td><td>%.2f</td><td>",
	    member, route, integer_field(row, "served"),
	    integer_field(row, "late"), quantile_ms(row, 0.5),
	    quantile_ms(row, 0.99), rp_burn_rate(row, RP_SHORT_MINUTES),
	    rp_burn_rate(row, RP_LONG_MINUTES));
	append(out, line);
	append_bar(out, row);
	append(out, "</td></tr>\n");
}

char *
rp_html(const json_t *total)
{
	char *out = NULL;
	json_t *row;
	size_t i;

	append(&out,
	    "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\">"
	    "<title>Service report</title>\n<style>body{font:14px "
	    "sans-serif;margin:2em}td,th{padding:4px 10px;text-align:left;"
	    "border-bottom:1px solid #ddd}</style>\n"
	    "<h1>Service report</h1>\n<p>Burn rate: how many times faster "
	    "than allowed the error budget of the objective was used up, over "
	    "5 and 60 minutes. "
	    "Bars: served, late, not-run, unknown, cut, left.</p>\n"
	    "<table><tr><th>Member<th>Route<th>Served<th>Late<th>p50 ms"
	    "<th>p99 ms<th>Burn 5<th>Burn 60<th>Calls</tr>\n");
	json_array_foreach(total, i, row) append_html_row(&out, row);
	append(&out, "</table></html>\n");
	return out;
}
