package io.jackdawring.server.metrics

import io.jackdawring.server.http.HttpResponseMessage
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.collections.immutable.persistentMapOf
import java.io.ByteArrayOutputStream

private const val STATUS_OK = 200

/** Registers a counter without exemplars. */
fun PrometheusRegistry.counter(
    name: String,
    help: String,
    vararg labels: String,
): Counter =
    Counter
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .withoutExemplars()
        .register(this)

/** All metrics in the Prometheus text format, as the response to a scrape. */
fun PrometheusRegistry.expose(): HttpResponseMessage {
    val body = ByteArrayOutputStream()
    PrometheusTextFormatWriter.builder().build().write(body, scrape())
    val headers = persistentMapOf("content-type" to PrometheusTextFormatWriter.CONTENT_TYPE)
    return HttpResponseMessage(STATUS_OK, headers, body.toByteArray())
}
