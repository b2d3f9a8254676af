package io.jackdawring.core.queue

import java.util.TreeMap
import java.util.TreeSet

/**
 * Task queue with one ordered set of teams per class and one ordered set of jobs per team and need.
 *
 * Jobs are grouped by need so that a need without room is skipped as a whole instead of job by job.
 */
internal class RealTaskQueue : TaskQueue {
    private val classes = TreeMap<Int, PriorityClass>()
    private val teams = HashMap<String, TeamState>()
    private val entries = HashMap<Long, Entry>()
    private var placements = 0L
    private var dispatching = false

    override var size = 0
        private set

    override fun sizeAhead(priority: Int): Int = classes.headMap(priority, true).values.sumOf { it.pendingTasks }

    override fun expectedMillisAhead(priority: Int): Long =
        classes.headMap(priority, true).values.sumOf { it.expectedMillis }

    override fun put(job: QueuedJob) {
        entries.remove(job.sequence)?.let(::unlink)
        if (job.pendingTasks > 0) link(job)
    }

    override fun remove(job: QueuedJob) {
        entries.remove(job.sequence)?.let(::unlink)
    }

    override fun dispatch(place: (QueuedJob) -> Boolean) {
        // A nested call has nothing to add: the outer one goes on until no job can place a task.
        if (dispatching) return
        dispatching = true
        try {
            val needsWithoutRoom = HashSet<Any>()
            for (priority in classes.keys.toList()) {
                classes[priority]?.let { dispatchClass(it, needsWithoutRoom, place) }
            }
        } finally {
            dispatching = false
        }
    }

    override fun taskEnded(team: String) {
        val state = teams[team] ?: return
        state.update { inFlight = maxOf(0, inFlight - 1) }
    }

    override fun setQuota(
        team: String,
        maxInFlight: Int,
    ) {
        team(team).maxInFlight = maxInFlight
    }

    private fun dispatchClass(
        priorityClass: PriorityClass,
        needsWithoutRoom: MutableSet<Any>,
        place: (QueuedJob) -> Boolean,
    ) {
        val parked = ArrayList<TeamClass>()
        while (true) {
            val next = priorityClass.teams.firstOrNull() ?: break
            val entry = if (next.team.hasQuota) next.first(needsWithoutRoom) else null
            if (entry == null) {
                next.park()
                parked += next
            } else if (!placeOne(next.team, entry, place) && entries[entry.job.sequence] === entry) {
                needsWithoutRoom += entry.needKey
            }
        }
        parked.forEach(TeamClass::unpark)
    }

    /** Counts the placement before the call, because [place] may report the end of the task right away. */
    private fun placeOne(
        team: TeamState,
        entry: Entry,
        place: (QueuedJob) -> Boolean,
    ): Boolean {
        val previousPlacement = team.lastPlacement
        team.update {
            inFlight++
            lastPlacement = ++placements
        }
        val placed = place(entry.job)
        if (placed) {
            if (entries[entry.job.sequence] === entry) put(entry.job)
        } else {
            team.update {
                inFlight = maxOf(0, inFlight - 1)
                lastPlacement = previousPlacement
            }
        }
        return placed
    }

    private fun link(job: QueuedJob) {
        val team = team(job.team)
        if (team.weight != job.weight) team.update { weight = job.weight }
        val teamClass =
            team.classes.getOrPut(job.priority) {
                TeamClass(team, classes.getOrPut(job.priority, ::PriorityClass))
            }
        val entry = Entry(job, teamClass)
        entries[job.sequence] = entry
        teamClass.add(entry)
        size += entry.pendingTasks
    }

    private fun unlink(entry: Entry) {
        entry.teamClass.remove(entry)
        size -= entry.pendingTasks
    }

    private fun team(name: String): TeamState = teams.getOrPut(name) { TeamState(name) }

    companion object {
        val Factory = TaskQueue.Factory { RealTaskQueue() }
    }
}

/** In-flight work of a team in all classes. */
private class TeamState(
    val name: String,
) {
    val classes = HashMap<Int, TeamClass>()
    var weight = 1
    var inFlight = 0
    var maxInFlight = Int.MAX_VALUE
    var lastPlacement = 0L

    val hasQuota: Boolean get() = inFlight < maxInFlight
    val share: Double get() = inFlight.toDouble() / maxOf(1, weight)

    /** Changes fields that the order of teams depends on; the ordered sets must not hold the team meanwhile. */
    inline fun update(change: TeamState.() -> Unit) {
        classes.values.forEach(TeamClass::unlink)
        change()
        classes.values.forEach(TeamClass::link)
    }
}

/** Teams with unstarted tasks of one class; equal shares take turns. */
private class PriorityClass {
    val teams = TreeSet(compareBy<TeamClass>({ it.team.share }, { it.team.lastPlacement }, { it.team.name }))
    var pendingTasks = 0
    var expectedMillis = 0L
}

/** Jobs of one team in one class, by need. */
private class TeamClass(
    val team: TeamState,
    private val priorityClass: PriorityClass,
) {
    private val jobsByNeed = HashMap<Any, TreeSet<Entry>>()
    private var parked = false

    fun add(entry: Entry) {
        jobsByNeed.getOrPut(entry.needKey) { TreeSet(ENTRY_ORDER) } += entry
        priorityClass.pendingTasks += entry.pendingTasks
        priorityClass.expectedMillis += entry.expectedMillis
        link()
    }

    fun remove(entry: Entry) {
        val jobs = jobsByNeed.getValue(entry.needKey)
        jobs -= entry
        if (jobs.isEmpty()) jobsByNeed -= entry.needKey
        priorityClass.pendingTasks -= entry.pendingTasks
        priorityClass.expectedMillis -= entry.expectedMillis
        if (jobsByNeed.isEmpty()) unlink()
    }

    /** The job with the fewest unstarted tasks whose need is not in [needsWithoutRoom]. */
    fun first(needsWithoutRoom: Set<Any>): Entry? {
        var best: Entry? = null
        for ((need, jobs) in jobsByNeed) {
            if (need in needsWithoutRoom) continue
            val candidate = jobs.first()
            if (best == null || ENTRY_ORDER.compare(candidate, best) < 0) best = candidate
        }
        return best
    }

    fun park() {
        unlink()
        parked = true
    }

    fun unpark() {
        parked = false
        link()
    }

    fun link() {
        if (!parked && jobsByNeed.isNotEmpty()) priorityClass.teams += this
    }

    fun unlink() {
        priorityClass.teams -= this
    }
}

/** A job with the values that its position was computed from. */
private class Entry(
    val job: QueuedJob,
    val teamClass: TeamClass,
) {
    val needKey = job.needKey
    val pendingTasks = job.pendingTasks
    val expectedMillis = job.pendingTasks * job.expectedMillisPerTask
    val sequence = job.sequence
}

private val ENTRY_ORDER = compareBy<Entry>({ it.pendingTasks }, { it.sequence })
