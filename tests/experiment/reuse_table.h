/* Prints the results of the model of engines that keep prompts, as a table. */
#ifndef EXPERIMENT_REUSE_TABLE_H
#define EXPERIMENT_REUSE_TABLE_H

#include <stddef.h>

void reuse_table_print(const char *sessions, const char *loads, size_t engines,
    size_t gateways, int seeds);

#endif
