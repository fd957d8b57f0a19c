#include "base/httpd_tls.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>

#include "base/httpd_internal.h"

#define CHAIN_MAX 8

/* A certificate chain and its private key. */
struct certificate {
	gnutls_pcert_st chain[CHAIN_MAX];
	unsigned int count;
	gnutls_privkey_t key;
	char *chain_text;
	char *key_text;
	TAILQ_ENTRY(certificate) entry;
};

TAILQ_HEAD(certificates, certificate);

/*
 * A server's certificates, newest first. Older ones are kept, as a handshake in
 * progress may still use them.
 */
struct httpd_tls {
	char *certificate_file;
	char *key_file;
	int port;
	struct certificates certificates;
	TAILQ_ENTRY(httpd_tls) entry;
};

/*
 * GnuTLS's callback does not get the server as an argument, so it looks up the
 * local port.
 */
static TAILQ_HEAD(servers, httpd_tls) servers = TAILQ_HEAD_INITIALIZER(servers);

/* Frees a certificate, complete or not. */
static void
certificate_free(struct certificate *certificate)
{
	for (unsigned int i = 0; i < certificate->count; i++)
		gnutls_pcert_deinit(&certificate->chain[i]);
	if (certificate->key != NULL)
		gnutls_privkey_deinit(certificate->key);
	g_free(certificate->chain_text);
	g_free(certificate->key_text);
	g_free(certificate);
}

/* Reads the chain; returns a GnuTLS code, negative on failure. */
static int
read_chain(struct certificate *certificate, const char *file)
{
	unsigned int count = CHAIN_MAX;
	gnutls_datum_t datum;
	gsize length;
	int code;

	if (!g_file_get_contents(file, &certificate->chain_text, &length, NULL))
		return GNUTLS_E_FILE_ERROR;
	datum = (gnutls_datum_t){
	    .data = (unsigned char *)certificate->chain_text,
	    .size = (unsigned int)length};
	code = gnutls_pcert_list_import_x509_raw(
	    certificate->chain, &count, &datum, GNUTLS_X509_FMT_PEM, 0);
	if (code >= 0)
		certificate->count = count;
	return code;
}

/* Reads the key; returns a GnuTLS code, negative on failure. */
static int
read_key(struct certificate *certificate, const char *file)
{
	gnutls_datum_t datum;
	gsize length;
	int code;

	if (!g_file_get_contents(file, &certificate->key_text, &length, NULL))
		return GNUTLS_E_FILE_ERROR;
	datum = (gnutls_datum_t){.data = (unsigned char *)certificate->key_text,
	    .size = (unsigned int)length};
	code = gnutls_privkey_init(&certificate->key);
	if (code < 0)
		return code;
	return gnutls_privkey_import_x509_raw(
	    certificate->key, &datum, GNUTLS_X509_FMT_PEM, NULL, 0);
}

/* Returns whether the private key matches the certificate. */
static bool
key_matches_certificate(const struct certificate *certificate)
{
	unsigned char left[64], right[64];
	size_t left_size = sizeof(left), right_size = sizeof(right);
	gnutls_pubkey_t public;
	bool same = false;

	if (gnutls_pubkey_init(&public) < 0)
		return false;
	if (gnutls_pubkey_import_privkey(public, certificate->key, 0, 0) >= 0 &&
	    gnutls_pubkey_get_key_id(
		public, GNUTLS_KEYID_USE_SHA256, left, &left_size) >= 0 &&
	    gnutls_pubkey_get_key_id(certificate->chain[0].pubkey,
		GNUTLS_KEYID_USE_SHA256, right, &right_size) >= 0)
		same = left_size == right_size &&
		    memcmp(left, right, left_size) == 0;
	gnutls_pubkey_deinit(public);
	return same;
}

/*
 * Reloads the files for new connections. On failure returns false with
 * HTTPD_ERROR_CERTIFICATE and keeps the old certificate.
 */
bool
httpd_tls_reload(struct httpd_tls *tls, GError **error)
{
	struct certificate *certificate = g_new0(struct certificate, 1);
	const char *file = tls->certificate_file;
	const char *why = "private key does not match the certificate";
	int code;

	code = read_chain(certificate, file);
	if (code >= 0) {
		file = tls->key_file;
		code = read_key(certificate, file);
	}
	if (code >= 0 && key_matches_certificate(certificate)) {
		TAILQ_INSERT_HEAD(&tls->certificates, certificate, entry);
		return true;
	}
	if (code < 0)
		why = gnutls_strerror(code);
	g_set_error(
	    error, HTTPD_ERROR, HTTPD_ERROR_CERTIFICATE, "%s: %s", file, why);
	certificate_free(certificate);
	return false;
}

/*
 * Reads a server's certificate and key, which may be in one file (key_file
 * NULL). Returns NULL with HTTPD_ERROR_CERTIFICATE on failure.
 */
struct httpd_tls *
httpd_tls_new(
    const char *certificate_file, const char *key_file, GError **error)
{
	struct httpd_tls *tls = g_new0(struct httpd_tls, 1);

	tls->certificate_file = g_strdup(certificate_file);
	tls->key_file = g_strdup(
	    key_file != NULL ? key_file : certificate_file);
	TAILQ_INIT(&tls->certificates);
	TAILQ_INSERT_TAIL(&servers, tls, entry);
	if (httpd_tls_reload(tls, error))
		return tls;
	httpd_tls_free(tls);
	return NULL;
}

/*
 * Frees a server's certificates; its connections must be closed. NULL is
 * allowed.
 */
void
httpd_tls_free(struct httpd_tls *tls)
{
	struct certificate *certificate, *next;

	if (tls == NULL)
		return;
	TAILQ_REMOVE(&servers, tls, entry);
	TAILQ_FOREACH_SAFE (certificate, &tls->certificates, entry, next)
		certificate_free(certificate);
	g_free(tls->certificate_file);
	g_free(tls->key_file);
	g_free(tls);
}

/* Sets the local port on which the certificates are used. */
void
httpd_tls_set_port(struct httpd_tls *tls, int port)
{
	tls->port = port;
}

/* GnuTLS's callback: selects the newest certificate of the server. */
static int
on_certificate_request(gnutls_session_t session,
    const gnutls_datum_t *authorities, int authority_count,
    const gnutls_pk_algorithm_t *algorithms, int algorithm_count,
    gnutls_pcert_st **chain, unsigned int *chain_count, gnutls_privkey_t *key)
{
	int port = httpd_local_port(gnutls_transport_get_int(session));
	struct httpd_tls *tls;

	TAILQ_FOREACH (tls, &servers, entry) {
		struct certificate *newest = TAILQ_FIRST(&tls->certificates);

		if (tls->port != port)
			continue;
		*chain = newest->chain;
		*chain_count = newest->count;
		*key = newest->key;
		return 0;
	}
	return -1;
}

/*
 * Sets the library's options for TLS. The library requires a certificate at
 * start, although it uses the one from the callback.
 */
void
httpd_tls_options(
    struct httpd_tls *tls, struct MHD_OptionItem options[HTTPD_TLS_OPTIONS])
{
	struct certificate *certificate = TAILQ_FIRST(&tls->certificates);

	options[0] = (struct MHD_OptionItem){
	    MHD_OPTION_HTTPS_MEM_CERT, 0, certificate->chain_text};
	options[1] = (struct MHD_OptionItem){
	    MHD_OPTION_HTTPS_MEM_KEY, 0, certificate->key_text};
	options[2] = (struct MHD_OptionItem){
	    MHD_OPTION_HTTPS_CERT_CALLBACK, 0, (void *)on_certificate_request};
	options[3] = (struct MHD_OptionItem){MHD_OPTION_END, 0, NULL};
}
