/*
 * TLS certificates of this process's HTTP servers: read from files, used for
 * new connections, and reloadable without affecting open ones.
 */
#ifndef BASE_HTTPD_TLS_H
#define BASE_HTTPD_TLS_H

#include <stdbool.h>

#include <glib.h>
#include <microhttpd.h>

/* Includes the end marker. */
#define HTTPD_TLS_OPTIONS 4

struct httpd_tls;

struct httpd_tls *httpd_tls_new(
    const char *certificate_file, const char *key_file, GError **);
void httpd_tls_free(struct httpd_tls *);
void httpd_tls_set_port(struct httpd_tls *, int port);
bool httpd_tls_reload(struct httpd_tls *, GError **);
void httpd_tls_options(
    struct httpd_tls *, struct MHD_OptionItem[HTTPD_TLS_OPTIONS]);

#endif
