/*
 * Self-signed certificates for 127.0.0.1.
 */
#ifndef TESTS_CERTIFICATE_H
#define TESTS_CERTIFICATE_H

void certificate_write(
    const char *certificate_file, const char *key_file, const char *name);

#endif
