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

/** Guards against counting the wrong requests and against label values chosen by callers. */
class ObjectiveCountersTest {
    private val key = ServiceKind("orders", "check")

    private fun document(vararg kinds: String): String {
        val definitions = kinds.map { KindDefinition(it, priority = 2, objective = Objective(400, 75.0)) }
        val service = ServiceDefinition("orders", "stillwater", kinds = definitions)
        return Json.encodeToString(TeamDocument.serializer(), TeamDocument("stillwater", listOf(service)))
    }

    private fun catalog() = ServiceCatalog().apply { updateFromStore("config/doc/1", document("check")) }

    @Test
    fun `a newer document of the team replaces its kinds`() {
        val catalog = catalog()
        catalog.updateFromStore("config/doc/2", document("seating"))
        catalog.updateFromStore("config/doc/3", "garbage")
        catalog.updateFromStore("claims/x", document("other"))
        assertNull(catalog.find(key))
        assertEquals(setOf(ServiceKind("orders", "seating")), catalog.all().keys)
    }

    @Test
    fun `outcomes that the caller caused do not count for the objective`() {
        val metrics = ServerMetrics(catalog())
        val millis = TimeUnit.MILLISECONDS.toNanos(1)
        val complete = Outcome.Complete(emptyList())
        metrics.jobAnswered(key, complete, 400 * millis)
        metrics.jobAnswered(key, complete, 400 * millis + 1)
        metrics.jobAnswered(key, Outcome.Refused(RefusalReason.OVERLOADED, 1), millis)
        metrics.jobAnswered(key, Outcome.Refused(RefusalReason.INVALID, null), millis)
        metrics.jobAnswered(key, Outcome.Failed(FailureReason.CANCELLED, null, true), millis)
        metrics.jobAnswered(ServiceKind("made", "up"), Outcome.Refused(RefusalReason.UNKNOWN_SERVICE, null), millis)
        val counters = metrics.counters().single()
        assertEquals(1L to 3L, counters.good to counters.total)
        assertEquals(2 to Objective(400, 75.0), counters.priority to counters.objective)
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

    /** Guards against counters that decrease, which gives negative rates, when a kind is removed and added again. */
    @Test
    fun `a kind that is added again continues its counters`() {
        val catalog = catalog()
        val metrics = ServerMetrics(catalog)
        metrics.jobAnswered(key, Outcome.Complete(emptyList()), 1)
        catalog.updateFromStore("config/doc/2", document("seating"))
        assertEquals(listOf("seating" to 0L), metrics.counters().map { it.kind to it.total })
        catalog.updateFromStore("config/doc/1", document("check"))
        metrics.jobAnswered(key, Outcome.Complete(emptyList()), 1)
        assertEquals(listOf("check" to 2L), metrics.counters().map { it.kind to it.total })
    }
}
