/*
 * The table of result codes.  It is generated from the same .def rows as the
 * enumeration, so that every code has an HTTP status, an outcome and a text.
 */

#include <stdarg.h>

#include "loom/result.h"

static const struct loom_result_info result_table[] = {
#define LOOM_RESULT(result_name, number, status, result_outcome, sentence) \
	{                                                                  \
		.code = LOOM_##result_name,                                \
		.name = #result_name,                                      \
		.http_status = (status),                                   \
		.outcome = LOOM_OUTCOME_##result_outcome,                  \
		.text = (sentence),                                        \
	},
#include "loom/results/all.def"
#undef LOOM_RESULT
};

GQuark
loom_error_quark(void)
{
	return g_quark_from_static_string("loom-error");
}

const struct loom_result_info *
loom_result_info(enum loom_result code)
{
	const struct loom_result_info *internal = NULL;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(result_table); i++) {
		if (result_table[i].code == code)
			return &result_table[i];
		if (result_table[i].code == LOOM_INTERNAL)
			internal = &result_table[i];
	}
	return internal;
}

const struct loom_result_info *
loom_result_table(size_t *n)
{
	*n = G_N_ELEMENTS(result_table);
	return result_table;
}

const char *
loom_outcome_name(enum loom_outcome outcome)
{
	static const char *const names[] = {
		[LOOM_OUTCOME_NONE] = "none",
		[LOOM_OUTCOME_NOT_RUN] = "not-run",
		[LOOM_OUTCOME_RAN] = "ran",
		[LOOM_OUTCOME_UNKNOWN] = "unknown",
	};

	return names[outcome];
}

bool
loom_set_error(GError **error, enum loom_result code, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (error != NULL && *error == NULL)
		*error = g_error_new_valist(LOOM_ERROR, code, fmt, ap);
	va_end(ap);
	return false;
}
