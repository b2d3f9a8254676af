package io.jackdawring.standins

import io.jackdawring.server.http.HttpRequestMessage
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import kotlin.test.assertEquals

/** Guards against a stand-in that starts refused tasks, returns the result of another task or leaks slots. */
class StandInTargetTest {
    private class Setup(
        block: StandInTargetOptions.Builder.() -> Unit = {},
    ) {
        val http = FakeHttp()
        val timers = FakeTimers()
        val client = FakeClient()
        val target =
            RealStandInTarget(standInTargetOptions("t1", "a") { block() }, http, client, timers, timers::nowMillis)

        fun task(
            name: String,
            payload: String = "",
        ): FakeExchange = http.call("POST /tasks", payload, "jackdaw-task" to name)

        fun control(change: String) = assertEquals(200, http.call("POST /control", change).status)
    }

    private class Case(
        val name: String,
        val status: Int,
        val atMillis: Long = 0,
        val payload: String = "",
        val headers: Map<String, String?> = emptyMap(),
        val body: String? = null,
        val starts: Int = 1,
        val control: String? = null,
    )

    private val cases =
        listOf(
            Case(
                "a result carries its own task and payload",
                200,
                atMillis = 120,
                payload = """{"runMillis":120,"n":7}""",
                headers = mapOf("jackdaw-slots-in-use" to "0", "jackdaw-leaving" to null),
                body = """{"task":"s/j/0","target":"t1","payload":{"runMillis":120,"n":7}}""",
            ),
            Case("an absent payload has defaults", 200, atMillis = 100),
            Case("a payload that is not an object has defaults", 200, atMillis = 100, payload = "[1]"),
            Case("a slow target takes longer", 200, atMillis = 200, control = """{"speed":0.5}"""),
            Case("a straggler takes longer", 200, 300, control = """{"stragglerPercent":100,"stragglerFactor":3}"""),
            Case("a task fails on request", 500, atMillis = 100, payload = """{"fail":true}"""),
            Case("a target that fails everything fails at once", 500, control = """{"failEverything":true}"""),
            Case(
                "a leaving target starts nothing",
                503,
                headers = mapOf("jackdaw-not-started" to "leaving", "jackdaw-leaving" to "true"),
                starts = 0,
                control = """{"leaving":true}""",
            ),
            Case(
                "usage headers can be switched off",
                200,
                atMillis = 100,
                headers = mapOf("jackdaw-slots-in-use" to null),
                control = """{"usageHeaders":false}""",
            ),
            Case("an invalid payload is refused", 400, payload = "{", starts = 0),
        )

    @TestFactory
    fun tasks() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val setup = Setup()
                case.control?.let(setup::control)
                val task = setup.task("s/j/0", case.payload)
                if (case.atMillis > 0) {
                    setup.timers.advance(case.atMillis - 1)
                    assertEquals(0, task.status, "answered before ${case.atMillis} ms")
                    setup.timers.advance(1)
                } else {
                    setup.timers.advance(0)
                }
                assertEquals(case.status, task.status)
                case.headers.forEach { (name, value) -> assertEquals(value, task.response?.header(name), name) }
                case.body?.let { assertEquals(it, task.body) }
                assertEquals(List(case.starts) { TaskStart("s/j/0", "t1", 0) }, setup.target.starts())
            }
        }

    private class SlotCase(
        val name: String,
        val act: (Setup, FakeExchange) -> Unit,
        val counts: TargetCounts,
        val secondStatus: Int,
    )

    private val slotCases =
        listOf(
            SlotCase(
                "a full target is busy",
                { _, _ -> },
                TargetCounts(started = 1, refusedBusy = 1, running = 1, peakRunning = 1),
                503,
            ),
            SlotCase(
                "a closed connection cancels its task",
                { _, first -> first.disconnectClient() },
                TargetCounts(started = 2, cancelled = 1, running = 1, peakRunning = 1),
                0,
            ),
            SlotCase(
                "an ended task frees its slot, and a later disconnect does not count",
                { setup, first ->
                    setup.timers.advance(100)
                    first.disconnectClient()
                },
                TargetCounts(started = 2, succeeded = 1, running = 1, peakRunning = 1),
                0,
            ),
            SlotCase(
                "a frozen target neither ends nor starts tasks",
                { setup, _ ->
                    setup.control("""{"frozen":true}""")
                    setup.timers.advance(1_000)
                },
                TargetCounts(started = 1, running = 1, peakRunning = 1),
                0,
            ),
            SlotCase(
                "an unfrozen target continues",
                { setup, _ ->
                    setup.control("""{"frozen":true}""")
                    setup.timers.advance(1_000)
                    setup.control("""{"frozen":false}""")
                },
                TargetCounts(started = 2, succeeded = 1, running = 1, peakRunning = 1),
                0,
            ),
        )

    @TestFactory
    fun slots() =
        slotCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val setup = Setup { slots = 1 }
                val first = setup.task("s/j/0")
                case.act(setup, first)
                assertEquals(case.secondStatus, setup.task("s/j/1").status)
                assertEquals(case.counts, setup.target.counts())
            }
        }

    @Test
    fun `a start is in the log file and at the starts resource`() {
        val file = Files.createTempFile("starts", ".jsonl")
        val setup = Setup { startLogFile = file }
        setup.task("s/j/0")
        setup.task("s/j/0")
        val expected = "{\"task\":\"s/j/0\",\"target\":\"t1\",\"unixMillis\":0}\n".repeat(2)
        assertEquals(expected, setup.http.call("GET /starts").body)
        setup.target.close()
        assertEquals(expected, Files.readString(file))
        assertEquals(mapOf("j/0" to 2), doubleStarts(setup.target.starts()))
    }

    @Test
    fun `a target registers, renews its lease and reports that it leaves`() {
        val setup = Setup { platformAddress = "127.0.0.1:1" }
        setup.timers.advance(3_000)
        setup.control("""{"leaving":true}""")
        val line = { request: HttpRequestMessage -> "${request.method} ${request.path}" }
        assertEquals(listOf("POST /instances", "POST /instances", "PATCH /instances/t1"), setup.client.sent.map(line))
    }
}
