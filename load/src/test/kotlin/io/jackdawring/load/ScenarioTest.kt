package io.jackdawring.load

import io.jackdawring.core.TargetPolicy
import io.jackdawring.server.http.HttpTransport
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against scenarios with another load or other faults than described, and tables that hide failures. */
class ScenarioTest {
    @Test
    fun `target speeds are evenly spread`() {
        val speeds = List(Deployment.TARGETS, Deployment::speed)
        assertEquals(Deployment.TARGETS, speeds.toSet().size)
        assertEquals(0.6 to 1.6, speeds.min() to speeds.max())
        assertEquals(1.1, speeds.average(), 1e-9)
    }

    private val modes =
        mapOf(
            Scenario.USUAL to (0 to 0),
            Scenario.SLOW_TARGETS to (3 to 0),
            Scenario.FAILING_TARGET to (0 to 1),
        )

    @TestFactory
    fun `number of slow and failing targets`() =
        modes.map { (scenario, expected) ->
            DynamicTest.dynamicTest(scenario.label) {
                val targets = List(Deployment.TARGETS) { it to scenario.targetModes(it) }
                val slow = targets.count { (index, modes) -> modes.speed < Deployment.speed(index) }
                assertEquals(expected, slow to targets.count { it.second.failEverything })
            }
        }

    @TestFactory
    fun `exit status and table`() =
        mapOf(EntryFault.NONE to 0, EntryFault.SWAPS_RESULTS to 1, EntryFault.STARTS_TWICE to 1).map { (fault, code) ->
            DynamicTest.dynamicTest(fault.name) {
                HttpTransport().use { transport ->
                    FakeEntryServers(transport, fault).use { entryServers ->
                        val options =
                            scenarioOptions {
                                deployments = listOf(Deployment.CARONI)
                                scenarios = listOf(Scenario.HALF)
                                policies = listOf(TargetPolicy.RoundRobin)
                                durationMillis = 200
                                jvmWarmUpMillis = 0
                            }
                        val out = ByteArrayOutputStream()
                        assertEquals(code, runScenarios(options, PrintStream(out), entryServers), out.toString())
                        assertContains(out.toString(), Regex("caroni +50% +RoundRobin +\\d"))
                    }
                }
            }
        }
}
