package io.jackdawring.cli.client

import io.jackdawring.cli.UsageException
import java.io.File
import java.security.KeyStore
import java.security.cert.CertificateException
import java.security.cert.CertificateFactory
import javax.net.ssl.SSLContext
import javax.net.ssl.TrustManagerFactory

/** A TLS context that trusts exactly the PEM certificates in [file]; fails with [UsageException] if there are none. */
internal fun trustedContext(file: File): SSLContext {
    val certificates =
        try {
            file.inputStream().use { CertificateFactory.getInstance("X.509").generateCertificates(it) }
        } catch (e: CertificateException) {
            throw UsageException("'$file' is not a file of PEM certificates: ${e.message}")
        }
    if (certificates.isEmpty()) throw UsageException("'$file' contains no PEM certificate")
    val store = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null, null) }
    certificates.forEachIndexed { index, certificate -> store.setCertificateEntry("trusted-$index", certificate) }
    val managers = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply { init(store) }
    return SSLContext.getInstance("TLS").apply { init(null, managers.trustManagers, null) }
}
