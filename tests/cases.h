/* Registers the cases of a table as tests, each under its name. */
#ifndef TESTS_CASES_H
#define TESTS_CASES_H

#include <glib.h>

/*
 * Adds one test for each element of the table, whose member 'name' completes
 * the path; the function gets the element's index.
 */
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
