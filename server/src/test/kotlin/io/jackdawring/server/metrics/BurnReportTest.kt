package io.jackdawring.server.metrics

import io.jackdawring.core.FailureReason
import io.jackdawring.core.Outcome
import io.jackdawring.core.RefusalReason
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.Objective
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.configuration.TeamDocument
import kotlinx.serialization.json.Json
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against burn rates over the wrong window and against labels that callers can invent. */
class BurnReportTest {
    private val key = ServiceKind("orders", "check")

    private fun document(vararg kinds: String): String {
        val definitions = kinds.map { KindDefinition(it, priority = 2, objective = Objective(400, 75.0)) }
        val service = ServiceDefinition("orders", "stillwater", kinds = definitions)
        return Json.encodeToString(TeamDocument.serializer(), TeamDocument("stillwater", listOf(service)))
    }

    private fun catalog() = ServiceCatalog().apply { learnStoreValue("config/doc/1", document("check")) }

    @Test
    fun `rates cover exactly their windows`() {
        var minutes = 0L
        val report = BurnReport { TimeUnit.MINUTES.toNanos(minutes) }
        repeat(50) { report.add(key, isGood = true) }
        repeat(50) { report.add(key, isGood = false) }

        fun windows() =
            report
                .rows(catalog())
                .single()
                .windows
                .map { it.total to it.burnRate }
        val all = 100L to 2.0
        assertEquals(listOf(all, all, all), windows())
        val none = 0L to null
        val expected = mapOf(4L to listOf(all, all, all), 5L to listOf(none, all, all), 60L to listOf(none, none, all))
        for ((at, rates) in expected + (359L to listOf(none, none, all)) + (360L to listOf(none, none, none))) {
            minutes = at
            assertEquals(rates, windows(), "after $at minutes")
        }
        report.add(key, isGood = true)
        assertEquals(listOf(1L to 0.0, 1L to 0.0, 1L to 0.0), windows())
    }

    @Test
    fun `a newer document of the team replaces its kinds`() {
        val catalog = catalog()
        catalog.learnStoreValue("config/doc/2", document("seating"))
        catalog.learnStoreValue("config/doc/3", "garbage")
        catalog.learnStoreValue("claims/x", document("other"))
        assertNull(catalog.find(key))
        assertEquals(setOf(ServiceKind("orders", "seating")), catalog.all().keys)
    }

    @Test
    fun `only requests that the service can answer count for the objective`() {
        val metrics = ServerMetrics(catalog())
        val millis = TimeUnit.MILLISECONDS.toNanos(1)
        val complete = Outcome.Complete(emptyList())
        metrics.jobAnswered(key, complete, 400 * millis)
        metrics.jobAnswered(key, complete, 400 * millis + 1)
        metrics.jobAnswered(key, Outcome.Refused(RefusalReason.OVERLOADED, 1), millis)
        metrics.jobAnswered(key, Outcome.Refused(RefusalReason.INVALID, null), millis)
        metrics.jobAnswered(key, Outcome.Failed(FailureReason.CANCELLED, null, true), millis)
        metrics.jobAnswered(ServiceKind("made", "up"), Outcome.Refused(RefusalReason.UNKNOWN_SERVICE, null), millis)
        val window =
            metrics
                .burnRows()
                .single()
                .windows
                .first()
        assertEquals(1L to 3L, window.good to window.total)
        val text = metrics.exposition().decodeToString()
        assertTrue(
            """jackdawring_objective_requests_total{kind="check",priority="2",service="orders"} 3.0""" in text,
            text,
        )
        assertTrue(
            """jackdawring_objective_good_requests_total{kind="check",priority="2",service="orders"} 1.0""" in text,
            text,
        )
        assertTrue("made" !in text, text)
    }
}
