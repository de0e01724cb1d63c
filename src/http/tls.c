/*
 * Loads and checks a TLS key and its certificate.
 */

#include <gnutls/gnutls.h>
#include <sodium.h>
#include <string.h>

#include "loom/tls.h"

static char *
read_pem(const char *file, GError **error)
{
	GError *cause = NULL;
	char *text = NULL;

	if (g_file_get_contents(file, &text, NULL, &cause))
		return text;
	loom_set_error(error, LOOM_FILE_UNREADABLE, "%s", cause->message);
	g_error_free(cause);
	return NULL;
}

static gnutls_datum_t
to_datum(char *text)
{
	return (gnutls_datum_t){
		.data = (unsigned char *)text,
		.size = (unsigned)strlen(text),
	};
}

/* GnuTLS parses both and checks that the key belongs to the certificate. */
static bool
check_pair(const struct loom_tls_pair *pair, const char *key_file,
    const char *cert_file, GError **error)
{
	const gnutls_datum_t key = to_datum(pair->key);
	const gnutls_datum_t cert = to_datum(pair->cert);
	gnutls_certificate_credentials_t credentials;
	int status;

	status = gnutls_certificate_allocate_credentials(&credentials);
	if (status == GNUTLS_E_SUCCESS) {
		status = gnutls_certificate_set_x509_key_mem(
		    credentials, &cert, &key, GNUTLS_X509_FMT_PEM);
		gnutls_certificate_free_credentials(credentials);
	}
	if (status >= 0)
		return true;
	return loom_set_error(error, LOOM_TLS_PAIR, "%s and %s: %s", key_file,
	    cert_file, gnutls_strerror(status));
}

bool
loom_tls_load(const char *key_file, const char *cert_file,
    struct loom_tls_pair *pair, GError **error)
{
	*pair = (struct loom_tls_pair){ .key = NULL };
	if (key_file == NULL && cert_file == NULL)
		return true;
	if (key_file == NULL || cert_file == NULL)
		return loom_set_error(error, LOOM_SETTING_MISSING,
		    "tls_key_file and tls_cert_file must be set together");
	pair->key = read_pem(key_file, error);
	if (pair->key == NULL)
		goto error;
	pair->cert = read_pem(cert_file, error);
	if (pair->cert == NULL)
		goto error;
	if (!check_pair(pair, key_file, cert_file, error))
		goto error;
	return true;

error:
	loom_tls_clear(pair);
	return false;
}

void
loom_tls_clear(struct loom_tls_pair *pair)
{
	if (pair->key != NULL)
		sodium_memzero(pair->key, strlen(pair->key));
	g_free(pair->key);
	g_free(pair->cert);
	*pair = (struct loom_tls_pair){ .key = NULL };
}
