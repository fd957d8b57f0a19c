/*
 * The KV blocks that shards have exported at the engine, by the hold (memory
 * that this sidecar reserves for a group) that owns them. The admission core
 * accounts for their memory and decides when a hold ends; this module then
 * deletes the hold's blocks at the engine.
 */
#ifndef SIDECAR_BLOCK_TABLE_H
#define SIDECAR_BLOCK_TABLE_H

#include <stdbool.h>
#include <stddef.h>

#include "sidecar/cleanup.h"

struct block_table;

/* All blocks of the hold are deleted at the engine. */
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
