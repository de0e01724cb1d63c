#ifndef LOOM_TEST_CERTIFICATE_H
#define LOOM_TEST_CERTIFICATE_H

#include <stdbool.h>

/* Generate a private key and a self-signed certificate with the IP address as
 * its subject alternative name, and write both as PEM files. */
bool test_certificate_write(
    const char *ip, const char *key_file, const char *cert_file);

#endif
