/*
 * The configuration as an immutable, reference-counted snapshot: decoded from a
 * ConfigDocument and indexed by id. Readers always use one whole snapshot; a
 * newer version replaces it as a whole.
 */
#ifndef CONFIG_CONFIG_H
#define CONFIG_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "heatherturn/v1/operator.pb-c.h"

#define CONFIG_ERROR (config_error_quark())

enum config_error {
	CONFIG_ERROR_MALFORMED, /* not an encoded ConfigDocument */
	CONFIG_ERROR_INVALID, /* a setting has an invalid value */
};

struct config;

GQuark config_error_quark(void);
struct config *config_new_empty(void);
struct config *config_decode(const uint8_t *, size_t, GError **);
GByteArray *config_encode(const struct config *);
struct config *config_ref(struct config *);
void config_unref(struct config *);

uint64_t config_version(const struct config *);
const Heatherturn__V1__ConfigDocument *config_document(const struct config *);
const Heatherturn__V1__Organisation *config_find_organisation(
    const struct config *, const char *id);
const Heatherturn__V1__Organisation *config_find_organisation_by_api_key(
    const struct config *, const char *api_key);
const Heatherturn__V1__Service *config_find_service(
    const struct config *, const char *id);
const Heatherturn__V1__Service *config_find_service_by_path(
    const struct config *, const char *path);
const Heatherturn__V1__FailureDomain *config_find_failure_domain(
    const struct config *, const char *id);
const Heatherturn__V1__Rollout *config_find_rollout(
    const struct config *, const char *service);
const Heatherturn__V1__Upstream *config_find_upstream(
    const struct config *, const char *id);
const Heatherturn__V1__Upstream *const *config_service_upstreams(
    const struct config *, const char *service, size_t *count);
bool config_upstream_accepts_work(
    const struct config *, const Heatherturn__V1__Upstream *);

#endif
