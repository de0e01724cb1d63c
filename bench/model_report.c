/*
 * What callers got, as figures.
 */

#include <stdlib.h>

#include "model_private.h"

/* Normal: this share of a bin's requests is done within one deadline, and of
 * the next bins as well. */
#define NORMAL_SHARE 0.98
#define NORMAL_BINS 5

void
tally_init(struct model *model)
{
	struct tally *tally = &model->tally;
	int i;

	tally->nbins = (uint32_t)(model->pattern->end_us / MODEL_BIN_US) + 1;
	tally->bin_offered = g_new0(uint32_t, tally->nbins);
	tally->bin_served = g_new0(uint32_t, tally->nbins);
	for (i = 0; i < LOOM_IMPORTANCE_COUNT; i++)
		tally->latency_ms[i] = g_array_new(FALSE, FALSE, sizeof(float));
}

void
tally_free(struct model *model)
{
	int i;

	g_free(model->tally.bin_offered);
	g_free(model->tally.bin_served);
	for (i = 0; i < LOOM_IMPORTANCE_COUNT; i++)
		g_array_free(model->tally.latency_ms[i], TRUE);
}

static int
compare_float(const void *a, const void *b)
{
	float x = *(const float *)a, y = *(const float *)b;

	return (x > y) - (x < y);
}

static double
p99(GArray *values)
{
	if (values->len == 0)
		return 0;
	qsort(values->data, values->len, sizeof(float), compare_float);
	return g_array_index(values, float, values->len * 99 / 100);
}

/*
 * Give capacity to the teams: the most important first, and of one importance
 * by weighted max-min, so that no team gets less of its weight than another
 * unless it asked for less.
 */
static void
share_out(const struct model *model, int importance, double *capacity,
    double due[MODEL_TEAMS])
{
	double want[MODEL_TEAMS], weight, level;
	int i, round;

	for (i = 0; i < MODEL_TEAMS; i++)
		want[i] = (double)model->tally.offered[i][importance];
	for (round = 0; round < MODEL_TEAMS; round++) {
		weight = 0;
		for (i = 0; i < MODEL_TEAMS; i++)
			weight += want[i] > 0 ? model->firm->team_share[i] : 0;
		if (weight <= 0 || *capacity <= 0)
			return;
		level = *capacity / weight;
		for (i = 0; i < MODEL_TEAMS; i++) {
			double part = level * model->firm->team_share[i];

			if (want[i] <= 0)
				continue;
			part = part < want[i] ? part : want[i];
			due[i] += part;
			want[i] -= part;
			*capacity -= part;
		}
	}
}

static double
window_capacity(const struct model *model)
{
	const struct model_pattern *pattern = model->pattern;
	double seconds = (double)(pattern->until_us - pattern->from_us) /
	    (double)LOOM_US_PER_S;
	double capacity = model->firm->capacity_per_s * seconds;

	if (pattern->capacity_factor > 0)
		capacity *= pattern->capacity_factor;
	return capacity;
}

static void
report_teams(const struct model *model, struct model_result *result)
{
	const struct tally *tally = &model->tally;
	double due[MODEL_TEAMS] = { 0 };
	double offered, served, share;
	double capacity = window_capacity(model);
	uint64_t attempts = 0, refused = 0;
	int i, j;

	for (j = 0; j < LOOM_IMPORTANCE_COUNT; j++)
		share_out(model, j, &capacity, due);
	result->worst_team = 1.0;
	for (i = 0; i < MODEL_TEAMS; i++) {
		offered = served = 0;
		for (j = 0; j < LOOM_IMPORTANCE_COUNT; j++) {
			offered += (double)tally->offered[i][j];
			served += (double)tally->served[i][j];
		}
		if (due[i] >= offered * 0.999) {
			attempts += tally->attempts[i];
			refused += tally->refused[i];
		}
		share = due[i] > 0 ? served / due[i] : 1.0;
		if (share < result->worst_team)
			result->worst_team = share;
	}
	if (attempts > 0)
		result->wrongful = (double)refused / (double)attempts;
}

static void
report_importance(const struct model *model, struct model_result *result)
{
	const struct tally *tally = &model->tally;
	double offered, served;
	int i, j;

	for (j = 0; j < LOOM_IMPORTANCE_COUNT; j++) {
		offered = served = 0;
		for (i = 0; i < MODEL_TEAMS; i++) {
			offered += (double)tally->offered[i][j];
			served += (double)tally->served[i][j];
		}
		result->requests += (uint64_t)offered;
		result->served[j] = offered > 0 ? served / offered : 1.0;
		result->p99_ms[j] = p99(tally->latency_ms[j]);
	}
}

static bool
normal_from(const struct tally *tally, uint32_t bin)
{
	uint32_t i;

	for (i = bin; i < bin + NORMAL_BINS; i++) {
		if (tally->bin_served[i] < NORMAL_SHARE * tally->bin_offered[i])
			return false;
	}
	return true;
}

static double
recovery_s(const struct model *model)
{
	uint32_t first = (uint32_t)(model->pattern->until_us / MODEL_BIN_US);
	/* Requests of the last bins have not had their time. */
	uint32_t last = model->tally.nbins - 1 - NORMAL_BINS -
	    (uint32_t)(MODEL_DEADLINE_US / MODEL_BIN_US);
	uint32_t bin;

	for (bin = first; bin < last; bin++) {
		if (normal_from(&model->tally, bin))
			return (bin - first) * (double)MODEL_BIN_US /
			    (double)LOOM_US_PER_S;
	}
	return -1;
}

void
tally_report(const struct model *model, struct model_result *result)
{
	const struct tally *tally = &model->tally;
	double possible = window_capacity(model);

	*result = (struct model_result){ 0 };
	report_teams(model, result);
	report_importance(model, result);
	if ((double)result->requests < possible)
		possible = (double)result->requests;
	result->goodput = (double)tally->done_in_window / possible;
	result->recovery_s = recovery_s(model);
	if (tally->work_us > 0)
		result->wasted = tally->wasted_us / tally->work_us;
	if (tally->steady_attempts > 0)
		result->steady_refused = (double)tally->steady_refused /
		    (double)tally->steady_attempts;
}
