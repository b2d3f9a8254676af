package io.jackdawring.core.job

import io.jackdawring.core.AttemptId
import io.jackdawring.core.Payload
import io.jackdawring.core.Submission
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.queue.QueuedJob
import io.jackdawring.core.session.SubmissionRecord
import io.jackdawring.core.target.TaskRequirements

/** An admitted job and the progress of its tasks; [deadlineAtMillis] is in monotonic time. */
internal class Job(
    override val sequence: Long,
    val record: SubmissionRecord,
    val submission: Submission,
    private val definition: ServiceDefinition,
    private val kind: KindDefinition,
    val deadlineAtMillis: Long,
) : QueuedJob {
    private val unstarted = ArrayDeque<Int>(submission.tasks.size).apply { addAll(submission.tasks.indices) }
    private val results = arrayOfNulls<Payload>(submission.tasks.size)
    private val notStartedCounts = IntArray(submission.tasks.size)
    private var succeeded = 0
    private val hasUniformRequirements = submission.tasks.all { it.hasSameRequirementsAs(submission.tasks[0]) }
    private val firstPlacementKey = placementKeyOf(0)
    val attempts = HashMap<AttemptId, Int>()
    var ended = false

    /** Whether an attempt that has ended ran, or may have run, a task of this job. */
    private var ranTask = false

    override val team: String get() = definition.team
    override val weight: Int get() = definition.weight
    override val service: String get() = definition.service
    override val priority: Int get() = kind.priority
    override val expectedMillisPerTask: Long = meanExpectedMillis(submission, kind)
    override val pendingTasks: Int get() = unstarted.size
    override val placementKey: Any
        get() = if (hasUniformRequirements || unstarted.isEmpty()) firstPlacementKey else placementKeyOf(nextTask())

    val kindName: String get() = kind.name
    val isComplete: Boolean get() = succeeded == results.size
    val mayHaveRun: Boolean get() = ranTask || attempts.isNotEmpty()

    fun nextTask(): Int = unstarted.first()

    fun requirements(taskIndex: Int): TaskRequirements {
        val task = submission.tasks[taskIndex]
        return TaskRequirements(
            service = service,
            memoryMb = task.memoryMb,
            accelerators = task.accelerators,
            expectedMillis = task.expectedMillis ?: kind.expectedMillis,
            priority = priority,
            idempotent = kind.idempotent,
        )
    }

    private fun placementKeyOf(taskIndex: Int): PlacementKey {
        val task = submission.tasks[taskIndex]
        return PlacementKey(service, task.memoryMb, task.accelerators, priority, kind.idempotent)
    }

    fun started(attemptId: AttemptId) {
        attempts[attemptId] = unstarted.removeFirst()
    }

    fun succeeded(
        attemptId: AttemptId,
        result: Payload,
    ) {
        val taskIndex = attempts.remove(attemptId) ?: return
        check(results[taskIndex] == null) { "task $taskIndex of ${record.key} has two results" }
        ranTask = true
        results[taskIndex] = result
        succeeded++
    }

    fun failed(attemptId: AttemptId) {
        attempts.remove(attemptId)
        ranTask = true
    }

    /** Records that an attempt definitely did not start, and returns how often that happened to its task. */
    fun notStarted(attemptId: AttemptId): Int {
        val taskIndex = attempts.remove(attemptId) ?: return 0
        return ++notStartedCounts[taskIndex]
    }

    /** Makes a task that was not started pending again, ahead of the tasks that were never sent. */
    fun requeue(taskIndex: Int) = unstarted.addFirst(taskIndex)

    fun isFirstSend(taskIndex: Int): Boolean = notStartedCounts[taskIndex] == 0

    fun results(): List<Payload> = results.map { checkNotNull(it) { "job ${record.key} has a task without a result" } }
}

/** The properties that determine whether a task finds a slot; if it finds none, no task with an equal key does. */
private data class PlacementKey(
    val service: String,
    val memoryMb: Int,
    val accelerators: Int,
    val priority: Int,
    val idempotent: Boolean,
)

private fun TaskSpec.hasSameRequirementsAs(other: TaskSpec) =
    memoryMb == other.memoryMb && accelerators == other.accelerators

private fun meanExpectedMillis(
    submission: Submission,
    kind: KindDefinition,
): Long {
    val tasks = submission.tasks
    if (tasks.isEmpty()) return kind.expectedMillis
    return tasks.sumOf { it.expectedMillis ?: kind.expectedMillis } / tasks.size
}
