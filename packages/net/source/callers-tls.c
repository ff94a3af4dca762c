#include <openssl/err.h>
#include <openssl/ssl.h>

#include "callers-imp.h"

SSL_CTX *
tls_create_context(const call_settings *settings, err_error *error)
{
    SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

    if (tls == NULL) {
        err_set(error, ERR_MEMORY, "give the process more memory",
                "cannot allocate the TLS context");
        return NULL;
    }
    SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(tls, settings->tls_certificate) !=
        1) {
        err_set(error, ERR_BAD_VALUE,
                "name a PEM file with the certificate and its chain",
                "cannot read the TLS certificate '%s'",
                settings->tls_certificate);
        goto failed;
    }
    if (SSL_CTX_use_PrivateKey_file(tls, settings->tls_key,
                                    SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(tls) != 1) {
        err_set(error, ERR_BAD_VALUE,
                "name the PEM file of the certificate's private key",
                "cannot use the TLS key '%s'", settings->tls_key);
        goto failed;
    }
    h2o_ssl_register_alpn_protocols(tls, h2o_alpn_protocols);
    return tls;
failed:
    ERR_clear_error();
    SSL_CTX_free(tls);
    return NULL;
}
