#ifndef LOOM_TEST_CERTIFICATE_H
#define LOOM_TEST_CERTIFICATE_H

#include <stdbool.h>

/* Make a key and a certificate for it that signs itself and names the IP
 * address.  Both are written to files. */
bool test_certificate_write(
    const char *ip, const char *key_file, const char *cert_file);

#endif
