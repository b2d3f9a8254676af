package io.jackdawring.cli

import io.jackdawring.cli.settings.Setting
import io.jackdawring.cli.settings.SettingTable
import org.junit.jupiter.api.Test
import java.io.File
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ReferencePageTest {
    private val docs = File("../docs")

    /** Guards against a setting that the page omits, or documents with an outdated default or range. */
    @Test
    fun `the settings page lists exactly the settings of the binary`() {
        val rows = File(docs, "configuration.md").readLines().filter { it.startsWith("| `--") }
        assertEquals(SettingTable.all.joinToString("\n", transform = ::row), rows.joinToString("\n"))
    }

    private fun row(setting: Setting): String {
        val default = if (setting.required) "required" else setting.default ?: "unset"
        val unit = setting.unit.ifEmpty { "-" }
        val secret = if (setting.secret) "yes" else "no"
        return "| `${setting.flag}` | `${setting.variable}` | ${setting.description} | $unit | $default | " +
            "${setting.type.range} | $secret |"
    }

    /** Guards against a subcommand or exit code that the operators' page does not explain. */
    @Test
    fun `the operations page names all subcommands and exit codes`() {
        val page = File(docs, "OPERATIONS.md").readText()
        allCommands().forEach { assertContains(page, "`${it.name}`") }
        ExitCode.entries.forEach { assertContains(page, "| ${it.code} | ${it.meaning} |") }
    }
}
