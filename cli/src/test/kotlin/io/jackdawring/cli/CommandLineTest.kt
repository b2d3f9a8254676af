package io.jackdawring.cli

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class CommandLineTest {
    private class Case(
        val line: String,
        val message: String,
    )

    /** Guards against usage errors that are executed, reported with a stack trace, or reported without a remedy. */
    @TestFactory
    fun `a usage error gives exit code 2 and a message that helps to correct it`(): List<DynamicTest> =
        listOf(
            Case("", "a subcommand is missing"),
            Case("serv", "did you mean 'serve'?"),
            Case("frobnicate", "unknown subcommand 'frobnicate'\n"),
            Case("standin platfrom", "did you mean 'standin platform'?"),
            Case("serve --lisen 127.0.0.1:1", "did you mean '--listen'?"),
            Case("serve --lisen=127.0.0.1:1", "did you mean '--listen'?"),
            Case("serve --listen", "takes an operand"),
            Case("version extra", "No argument is allowed"),
            Case(
                "scenarios --policies fastest",
                "--policies: 'fastest' is not allowed; allowed are adaptive-window",
            ),
            Case("bench --only cores", "--only: 'cores' is not allowed; allowed are core, shard, starts, control"),
            Case("load --service s --kind k --rate 0", "--rate: '0' is not allowed; allowed is 1 to 100000"),
            Case("load --service s --kind k --rate x", "\"x\" is not a valid value for \"--rate\""),
            Case("standin platform --listen x", "--listen: 'x' is not allowed; allowed is IP:PORT"),
            Case("serve", "--instance-id is required (or JACKDAWRING_INSTANCE_ID)"),
        ).map { case ->
            dynamicTest("'${case.line}'") {
                val run =
                    runCli(
                        *case.line
                            .split(' ')
                            .filter { it.isNotEmpty() }
                            .toTypedArray(),
                    )
                assertEquals(ExitCode.USAGE, run.exitCode)
                assertContains(run.err, case.message)
                assertFalse("\tat " in run.err, "stack trace")
            }
        }

    /** Guards against a subcommand without help, and against help that fails on a missing required flag. */
    @TestFactory
    fun `every subcommand has help with an example of itself`(): List<DynamicTest> =
        allCommands().map { command ->
            dynamicTest(command.name) {
                val run = runCli(*command.name.split(' ').toTypedArray(), "--help")
                assertEquals(ExitCode.OK, run.exitCode)
                assertContains(run.out, "Example: ${command.example}")
                assertContains(command.example, "jackdawring ${command.name}")
            }
        }

    /** Guards against a subcommand that is missing from the help text or the completion script. */
    @Test
    fun `help and completion name all subcommands and exit codes`() {
        val help = runCli("help").out
        val completion = runCli("completion", "bash").out
        allCommands().forEach {
            assertContains(help, "  ${it.name} ")
            assertContains(completion, "\"${it.name}")
        }
        ExitCode.entries.forEach { assertContains(help, it.meaning) }
    }

    /** Guards against a subcommand that is found under another name than its help shows. */
    @TestFactory
    fun `a subcommand is found under its own name`(): List<DynamicTest> =
        commandFactories.map { factory ->
            dynamicTest(factory.name) { assertEquals(factory.name, factory.create().name) }
        }

    /** Guards against flags without effect on a subcommand that also runs without any. */
    @Test
    fun `instance reads its settings file from the environment or from the flag`() {
        val fromVariable = runCli("instance", environment = mapOf("JACKDAWRING_NODE_FILE" to "/no/such/file"))
        assertContains(fromVariable.err, "cannot read settings file /no/such/file")
        val fromFlag = runCli("instance", "--settings", "/no/other/file")
        assertContains(fromFlag.err, "cannot read settings file /no/other/file")
        assertContains(runCli("instance").err, "neither --settings nor JACKDAWRING_NODE_FILE names a settings file")
    }

    private val serve = arrayOf("serve", "--instance-id", "e1", "--failure-domain", "a")
    private val keys = mapOf("JACKDAWRING_SESSION_KEYS" to "k1:" + "0f".repeat(16))

    /** Guards against a shutdown that skips the drain or does not report aborted requests. */
    @Test
    fun `serve drains before it closes and reports a missed time limit`() {
        val complete = FakeComponents()
        assertEquals(ExitCode.OK, runCli(*serve, environment = keys, components = complete).exitCode)
        assertEquals(listOf("entry"), complete.closed)
        val undrained = FakeComponents(drains = false)
        val run = runCli(*serve, "--drain-timeout-millis", "1000", environment = keys, components = undrained)
        assertEquals(ExitCode.FAILED, run.exitCode)
        assertContains(run.err, "not drained within 1000 ms")
        assertEquals(listOf("entry"), undrained.closed)
    }

    /** Guards against settings that are parsed but not applied. */
    @Test
    fun `serve and standin target apply their settings`() {
        val components = FakeComponents()
        runCli(*serve, "--max-connections", "7", "--target-policy=random", environment = keys, components = components)
        val options = checkNotNull(components.entryOptions)
        assertEquals("e1", options.instanceId.value)
        assertEquals(7, options.maxConnections)
        assertEquals("Random", options.targetPolicy.toString())
        assertEquals("k1", options.sessionKeys.single().id)
        assertTrue(
            options.sessionKeys
                .single()
                .secret
                .all { it == 0x0f.toByte() },
        )
        val target = "standin target --id t1 --failure-domain a --service orders --service rail --slots 3"
        assertEquals(ExitCode.OK, runCli(*target.split(' ').toTypedArray(), components = components).exitCode)
        assertEquals(listOf("orders", "rail"), components.targetOptions?.services)
        assertEquals(3, components.targetOptions?.slots)
    }

    /** Guards against a failed run that a script treats as a success. */
    @Test
    fun `load, bench and demo report failure through the exit code`() {
        val failing = FakeComponents(succeeds = false)
        assertEquals(ExitCode.FAILED, runCli("demo", components = failing).exitCode)
        assertEquals(ExitCode.FAILED, runCli("bench", components = failing).exitCode)
        assertEquals(ExitCode.FAILED, runCli("scenarios", components = failing).exitCode)
        val load = arrayOf("load", "--service", "s", "--kind", "k")
        assertEquals(ExitCode.FAILED, runCli(*load, components = failing).exitCode)
        assertEquals(ExitCode.OK, runCli(*load).exitCode)
    }
}
