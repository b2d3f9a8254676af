package io.jackdawring.load.bench

import kotlinx.serialization.Serializable
import java.util.Locale

/** Result of one benchmark: rows of named values, in the order in which they were measured. */
@Serializable
internal class BenchTable(
    val benchmark: String,
    val rows: MutableList<Map<String, String>> = mutableListOf(),
    val notes: MutableList<String> = mutableListOf(),
) {
    fun add(vararg values: Pair<String, Any>) {
        rows += values.associate { (name, value) -> name to text(value) }
    }

    /** The result as text; consecutive rows with the same columns form one table. */
    fun toText(): String =
        buildString {
            appendLine("== $benchmark")
            var columns = emptyList<String>()
            for (row in rows) {
                if (row.keys.toList() != columns) {
                    columns = row.keys.toList()
                    appendLine(columns.joinToString(" ") { it.padStart(width(it)) })
                }
                appendLine(columns.joinToString(" ") { row.getValue(it).padStart(width(it)) })
            }
            notes.forEach(::appendLine)
        }

    private fun width(column: String): Int =
        rows.filter { column in it }.maxOf { maxOf(column.length, it.getValue(column).length) }

    private fun text(value: Any): String = if (value is Double) "%.3f".format(Locale.ROOT, value) else value.toString()
}
