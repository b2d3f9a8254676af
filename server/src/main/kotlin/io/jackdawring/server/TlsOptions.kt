package io.jackdawring.server

import java.io.File

/**
 * PEM files of a TLS listener: certificate chain and PKCS#8 private key without password.
 *
 * With [trustedCertificates], the other side must present a certificate that one of these signed. The peer listener
 * requires them, because an entry instance is both server and client there; peer certificates must contain the IP
 * address of their instance.
 */
class TlsOptions(
    val certificateChain: File,
    val privateKey: File,
    val trustedCertificates: File? = null,
)
