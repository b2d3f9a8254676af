package io.jackdawring.server

import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.netty.handler.ssl.SslProvider

private val protocols = listOf("TLSv1.3", "TLSv1.2")

/** Context of a listener; fails with [IllegalArgumentException] if a file is missing or malformed. */
internal fun TlsOptions.serverContext(): SslContext =
    buildContext {
        SslContextBuilder
            .forServer(certificateChain, privateKey)
            .sslProvider(SslProvider.JDK)
            .protocols(protocols)
            .apply {
                if (trustedCertificates != null) {
                    trustManager(trustedCertificates)
                    clientAuth(ClientAuth.REQUIRE)
                }
            }.build()
    }

/** Context of a client that trusts listeners whose certificate one of [TlsOptions.trustedCertificates] signed. */
internal fun TlsOptions.clientContext(): SslContext {
    requireNotNull(trustedCertificates) { "TLS between entry instances needs trusted certificates" }
    return buildContext {
        SslContextBuilder
            .forClient()
            .sslProvider(SslProvider.JDK)
            .protocols(protocols)
            .keyManager(certificateChain, privateKey)
            .trustManager(trustedCertificates)
            .build()
    }
}

private inline fun TlsOptions.buildContext(build: () -> SslContext): SslContext =
    try {
        build()
    } catch (cause: Exception) {
        throw IllegalArgumentException(
            "cannot use certificate chain $certificateChain with private key $privateKey: ${cause.message}",
            cause,
        )
    }
