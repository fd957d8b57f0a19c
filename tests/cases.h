/*
 * Tables of cases, each with a name, as tests.
 */
#ifndef TESTS_CASES_H
#define TESTS_CASES_H

#include <glib.h>

/* Adds one test for each case; the function gets the case's index. */
#define ADD_CASES(table, prefix, function)                         \
	do {                                                       \
		for (size_t i = 0; i < G_N_ELEMENTS(table); i++) { \
			g_autofree char *path = g_strdup_printf(   \
			    prefix "/%s", (table)[i].name);        \
                                                                   \
			g_test_add_data_func(                      \
			    path, GSIZE_TO_POINTER(i), function);  \
		}                                                  \
	} while (0)

#endif
