/*
 * The blocks that shards have left at the engine, by the hold that owns them.
 * The admission core counts the memory and says when a hold ends; this frees
 * what stands at the engine under it.
 */
#ifndef SIDECAR_BLOCK_TABLE_H
#define SIDECAR_BLOCK_TABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "sidecar/cleanup.h"

struct block_table;

/* The engine holds nothing of this hold any more. */
typedef void block_table_freed_fn(void *data, const char *hold);

struct block_table *block_table_new(
    struct cleanup *, block_table_freed_fn *freed, void *data);
void block_table_free(struct block_table *);
void block_table_add(struct block_table *, const char *hold, const char *block);
void block_table_release(struct block_table *, const char *hold);
void block_table_clear(struct block_table *);
bool block_table_has(const struct block_table *, const char *block);
size_t block_table_count(const struct block_table *);

#endif
