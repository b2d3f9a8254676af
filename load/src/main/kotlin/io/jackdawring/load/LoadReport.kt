package io.jackdawring.load

import kotlinx.serialization.Serializable
import java.util.Locale

/**
 * Result of a load run.
 *
 * [meanSendLagMillis] and [maxSendLagMillis] are the delays of the load tool in sending jobs; response times count from
 * the intended start and include them. [wasted] and [doubleStarts] are null if the targets could not be read.
 */
@Serializable
data class LoadReport(
    val classes: List<ClassReport>,
    val tasks: Long,
    val resubmissions: Map<JobAnswer, Long>,
    val wasted: WastedMessages?,
    val wastedPerTask: Double?,
    val doubleStarts: Int?,
    val sessionsFailed: Long,
    val meanSendLagMillis: Double,
    val maxSendLagMillis: Long,
) {
    /** Whether no answer was wrong and no task started twice. */
    val correct: Boolean
        get() {
            val wrong = classes.sumOf { it.answers[JobAnswer.WRONG] ?: 0 } + (resubmissions[JobAnswer.WRONG] ?: 0)
            return wrong == 0L && (doubleStarts ?: 0) == 0
        }
}

/** Answers to the jobs of one class, without resubmissions. */
@Serializable
data class ClassReport(
    val kind: String,
    val jobs: Long,
    val answers: Map<JobAnswer, Long>,
    val slowdown: Slowdown,
)

/** The report as lines of text. */
fun LoadReport.toText(): String =
    buildString {
        appendLine("%-24s %8s %8s %8s  answers".format(Locale.ROOT, "class", "jobs", "mean", "p99"))
        classes.forEach {
            val row = "%-24s %8d %8.3f %8.3f  ".format(Locale.ROOT, it.kind, it.jobs, it.slowdown.mean, it.slowdown.p99)
            appendLine(row + describe(it.answers))
        }
        appendLine("mean and p99: response time over the ideal, complete answers only")
        if (resubmissions.isNotEmpty()) appendLine("resubmissions: ${describe(resubmissions)}")
        if (wasted != null && wastedPerTask != null) {
            appendLine(
                "wasted messages per task: %.4f (%d refusals, %d repeated sends, %d forwards, %d cancelled, %d discarded)"
                    .format(
                        Locale.ROOT,
                        wastedPerTask,
                        wasted.refusals,
                        wasted.repeatedSends,
                        wasted.forwards,
                        wasted.cancelled,
                        wasted.discarded,
                    ),
            )
        }
        appendLine("tasks: $tasks, tasks started twice: ${doubleStarts ?: "not known"}")
        appendLine("sessions that could not be opened: $sessionsFailed")
        appendLine("send lag: mean %.3f ms, worst %d ms".format(Locale.ROOT, meanSendLagMillis, maxSendLagMillis))
    }

private fun describe(answers: Map<JobAnswer, Long>): String =
    answers.entries.joinToString { "${it.key.name.lowercase()} ${it.value}" }
