#include "certificate.h"

#include <string.h>
#include <time.h>

#include <glib.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#define PEM_MAX_BYTES	       8192
#define CERTIFICATE_VALIDITY_S 3600

/* Generates a key and writes it to a file. */
static gnutls_x509_privkey_t
write_key(const char *key_file)
{
	char pem[PEM_MAX_BYTES];
	size_t size = sizeof(pem);
	gnutls_x509_privkey_t key;

	gnutls_x509_privkey_init(&key);
	g_assert_cmpint(
	    gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA,
		GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1), 0),
	    ==, 0);
	g_assert_cmpint(
	    gnutls_x509_privkey_export(key, GNUTLS_X509_FMT_PEM, pem, &size),
	    ==, 0);
	g_assert_true(g_file_set_contents(key_file, pem, (gssize)size, NULL));
	return key;
}

/*
 * Writes a new key and a certificate for a common name, signed with that key.
 * If the name is NULL, writes only the key.
 */
void
certificate_write(
    const char *certificate_file, const char *key_file, const char *name)
{
	static const unsigned char serial = 1;
	static const unsigned char address[] = {127, 0, 0, 1};
	gnutls_x509_privkey_t key = write_key(key_file);
	char pem[PEM_MAX_BYTES];
	size_t size = sizeof(pem);
	gnutls_x509_crt_t crt;

	if (name != NULL) {
		gnutls_x509_crt_init(&crt);
		gnutls_x509_crt_set_version(crt, 3);
		gnutls_x509_crt_set_serial(crt, &serial, 1);
		gnutls_x509_crt_set_activation_time(crt, time(NULL) - 1);
		gnutls_x509_crt_set_expiration_time(
		    crt, time(NULL) + CERTIFICATE_VALIDITY_S);
		gnutls_x509_crt_set_dn_by_oid(crt, GNUTLS_OID_X520_COMMON_NAME,
		    0, name, (unsigned int)strlen(name));
		gnutls_x509_crt_set_subject_alt_name(crt, GNUTLS_SAN_IPADDRESS,
		    address, sizeof(address), GNUTLS_FSAN_SET);
		gnutls_x509_crt_set_key(crt, key);
		g_assert_cmpint(
		    gnutls_x509_crt_sign2(crt, crt, key, GNUTLS_DIG_SHA256, 0),
		    ==, 0);
		g_assert_cmpint(gnutls_x509_crt_export(
				    crt, GNUTLS_X509_FMT_PEM, pem, &size),
		    ==, 0);
		g_assert_true(g_file_set_contents(
		    certificate_file, pem, (gssize)size, NULL));
		gnutls_x509_crt_deinit(crt);
	}
	gnutls_x509_privkey_deinit(key);
}
