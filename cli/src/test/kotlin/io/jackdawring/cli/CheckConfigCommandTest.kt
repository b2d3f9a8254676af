package io.jackdawring.cli

import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.assertContains
import kotlin.test.assertEquals

/** Guards against scripts that send a faulty configuration because of the exit code or the output. */
class CheckConfigCommandTest {
    @TempDir
    lateinit var folder: Path

    private class Case(
        val arguments: String,
        val exitCode: ExitCode,
        val output: String,
    )

    private val cases =
        listOf(
            Case("new", ExitCode.OK, "warning: service t has no route\nversion 2 has no errors\n"),
            Case(
                "new --against old",
                ExitCode.OK,
                "warning: service t has no route\nchanged route q: timeoutMs 1500 -> 900\nversion 2 has no errors\n",
            ),
            Case(
                "new --against old --json",
                ExitCode.OK,
                """{"version":2,"findings":[{"severity":"warning","message":"service t has no route"}],""" +
                    """"differences":[{"change":"changed","route":"q","fields":""" +
                    """[{"name":"timeoutMs","before":1500,"after":900}]}]}""" + "\n",
            ),
            Case(
                "old --against old",
                ExitCode.FAILED,
                "error: version 1 is not above 1, the version in force\nno difference\n",
            ),
            Case("late", ExitCode.FAILED, "error: route q: timeoutMs is 400, but sloLatencyMs is 500\n"),
            Case(
                "broken --json",
                ExitCode.FAILED,
                """{"version":null,"findings":[{"severity":"error","message":"version is missing"}]}""" + "\n",
            ),
            Case("new --against broken", ExitCode.FAILED, "error: version in force: version is missing\n"),
            Case("absent", ExitCode.USAGE, ""),
            Case("new --against absent", ExitCode.USAGE, ""),
            Case("", ExitCode.USAGE, ""),
            Case("new old", ExitCode.USAGE, ""),
        )

    private fun configuration(
        version: Int,
        timeoutMillis: Int,
        services: String = "",
    ) = """{"version":$version,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s",""" +
        """"timeoutMs":$timeoutMillis,"sloLatencyMs":500}]$services}"""

    @TestFactory
    fun `output and exit codes`() =
        cases.map { case ->
            dynamicTest("arguments: ${case.arguments}") {
                folder.resolve("new").writeText(configuration(2, 900, ""","services":["s","t"]"""))
                folder.resolve("old").writeText(configuration(1, 1_500))
                folder.resolve("late").writeText(configuration(1, 400))
                folder.resolve("broken").writeText("{}")
                val words = case.arguments.split(' ').filter { it.isNotEmpty() }
                val arguments = words.map { if (it.startsWith("--")) it else "${folder.resolve(it)}" }
                val run = runCli("instance", "check-config", *arguments.toTypedArray())
                assertEquals(case.exitCode, run.exitCode)
                assertEquals(case.output, run.out)
                if (case.exitCode == ExitCode.USAGE) assertContains(run.err, "instance check-config: ")
            }
        }
}
