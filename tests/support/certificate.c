/*
 * Generates self-signed certificates for tests with GnuTLS.
 */

#include <arpa/inet.h>
#include <glib.h>
#include <gnutls/x509.h>
#include <time.h>

#include "support/certificate.h"

#define KEY_BITS GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1)
#define VALIDITY_S (24 * 60 * 60)

static bool
write_pem(const char *file, gnutls_datum_t *pem)
{
	bool ok = g_file_set_contents(
	    file, (const char *)pem->data, (gssize)pem->size, NULL);

	gnutls_free(pem->data);
	return ok;
}

static void
set_certificate_fields(
    gnutls_x509_crt_t cert, gnutls_x509_privkey_t key, const char *ip)
{
	const unsigned char serial = 1;
	struct in_addr address;
	time_t now = time(NULL);

	inet_pton(AF_INET, ip, &address);
	gnutls_x509_crt_set_version(cert, 3);
	gnutls_x509_crt_set_serial(cert, &serial, sizeof(serial));
	gnutls_x509_crt_set_dn(cert, "CN=loom test", NULL);
	gnutls_x509_crt_set_activation_time(cert, now - VALIDITY_S);
	gnutls_x509_crt_set_expiration_time(cert, now + VALIDITY_S);
	gnutls_x509_crt_set_basic_constraints(cert, 1, -1);
	gnutls_x509_crt_set_subject_alt_name(cert, GNUTLS_SAN_IPADDRESS,
	    &address, sizeof(address), GNUTLS_FSAN_SET);
	gnutls_x509_crt_set_key(cert, key);
}

bool
test_certificate_write(
    const char *ip, const char *key_file, const char *cert_file)
{
	gnutls_datum_t key_pem = { NULL, 0 }, cert_pem = { NULL, 0 };
	gnutls_x509_privkey_t key;
	gnutls_x509_crt_t cert;
	bool ok;

	gnutls_x509_privkey_init(&key);
	gnutls_x509_crt_init(&cert);
	ok = gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, KEY_BITS, 0) ==
	    GNUTLS_E_SUCCESS;
	set_certificate_fields(cert, key, ip);
	ok = ok &&
	    gnutls_x509_crt_sign2(cert, cert, key, GNUTLS_DIG_SHA256, 0) ==
		GNUTLS_E_SUCCESS &&
	    gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &key_pem) ==
		GNUTLS_E_SUCCESS &&
	    gnutls_x509_crt_export2(cert, GNUTLS_X509_FMT_PEM, &cert_pem) ==
		GNUTLS_E_SUCCESS &&
	    write_pem(key_file, &key_pem) && write_pem(cert_file, &cert_pem);
	gnutls_x509_crt_deinit(cert);
	gnutls_x509_privkey_deinit(key);
	return ok;
}
