package io.jackdawring.cli.client

import java.io.File
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import javax.net.ssl.SSLHandshakeException

/** Outcome of one HTTP request of a subcommand. */
sealed interface ApiAnswer {
    data class Answered(
        val status: Int,
        val body: String,
    ) : ApiAnswer

    /** No connection was established, so nothing of the request was sent. */
    data class NotSent(
        val detail: String,
    ) : ApiAnswer

    /** The request may have been sent, but no complete response arrived. */
    data class NoResponse(
        val detail: String,
    ) : ApiAnswer
}

/** A blocking HTTP client for subcommands; each request is sent once. */
fun interface ApiClient {
    fun send(request: ApiRequest): ApiAnswer
}

/** One HTTP request; [path] contains the query. With [trusted], TLS is used and these certificates are trusted. */
data class ApiRequest(
    val method: String,
    val address: String,
    val path: String,
    val body: String? = null,
    val headers: Map<String, String> = emptyMap(),
    val timeoutMillis: Long = 5_000,
    val trusted: File? = null,
)

/** Sends requests with the JDK's client, which does not retry a POST or PUT. */
internal class RealApiClient : ApiClient {
    /** Clients by the file of the certificates that they trust; null for plain text. */
    private val clients = HashMap<File?, HttpClient>()

    private fun client(trusted: File?): HttpClient =
        clients.getOrPut(trusted) {
            val builder =
                HttpClient
                    .newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
            if (trusted != null) builder.sslContext(trustedContext(trusted))
            builder.build()
        }

    override fun send(request: ApiRequest): ApiAnswer =
        try {
            val response = client(request.trusted).send(build(request), HttpResponse.BodyHandlers.ofString())
            ApiAnswer.Answered(response.statusCode(), response.body())
        } catch (e: ConnectException) {
            ApiAnswer.NotSent(e.message ?: "connection refused")
        } catch (e: HttpConnectTimeoutException) {
            ApiAnswer.NotSent(e.message ?: "connect timed out")
        } catch (e: SSLHandshakeException) {
            // A server handles no request on a connection whose handshake failed.
            ApiAnswer.NotSent(e.message ?: "the TLS handshake failed")
        } catch (e: IOException) {
            ApiAnswer.NoResponse(e.message ?: "the connection was closed")
        }

    private fun build(request: ApiRequest): HttpRequest {
        val scheme = if (request.trusted == null) "http" else "https"
        val body = request.body?.let { HttpRequest.BodyPublishers.ofString(it) }
        val builder =
            HttpRequest
                .newBuilder(URI("$scheme://${request.address}${request.path}"))
                .timeout(Duration.ofMillis(request.timeoutMillis))
                .method(request.method, body ?: HttpRequest.BodyPublishers.noBody())
        if (body != null) builder.header("Content-Type", "application/json")
        request.headers.forEach { (name, value) -> builder.header(name, value) }
        return builder.build()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 2_000L
    }
}
