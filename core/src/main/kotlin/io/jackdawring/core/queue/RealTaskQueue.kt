package io.jackdawring.core.queue

import java.util.TreeMap
import java.util.TreeSet

/**
 * Task queue with one ordered set of teams per priority class and one ordered set of jobs per team and placement key.
 *
 * Jobs are grouped by placement key so that all jobs of a key without a free slot are skipped at once.
 */
internal class RealTaskQueue : TaskQueue {
    private val classes = TreeMap<Int, PriorityClass>()
    private val teams = HashMap<String, TeamState>()
    private val entries = HashMap<Long, Entry>()
    private val blockedKeys = BlockedKeys()
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
        if (dispatching) return
        blockedKeys.unblockAll()
        dispatchUnblocked(place)
    }

    override fun dispatch(
        services: Collection<String>,
        place: (QueuedJob) -> Boolean,
    ) {
        if (dispatching) return
        services.forEach(blockedKeys::unblock)
        dispatchUnblocked(place)
    }

    /** The callers skip nested dispatches, because the outer one continues until no job can place a task. */
    private fun dispatchUnblocked(place: (QueuedJob) -> Boolean) {
        dispatching = true
        try {
            for (priority in classes.keys.toList()) {
                classes[priority]?.let { dispatchClass(it, place) }
            }
        } finally {
            dispatching = false
        }
    }

    override fun taskEnded(team: String) {
        val state = teams[team] ?: return
        state.update { inFlight = maxOf(0, inFlight - 1) }
        state.classes.values.forEach(TeamClass::unpark)
    }

    override fun setQuota(
        team: String,
        maxInFlight: Int,
    ) {
        val state = team(team)
        state.maxInFlight = maxInFlight
        state.classes.values.forEach(TeamClass::unpark)
    }

    private fun dispatchClass(
        priorityClass: PriorityClass,
        place: (QueuedJob) -> Boolean,
    ) {
        while (true) {
            val next = priorityClass.teams.firstOrNull() ?: break
            val entry = if (next.team.hasQuota) next.first() else null
            if (entry == null) {
                next.park()
            } else if (!placeOne(next.team, entry, place) && entries[entry.job.sequence] === entry) {
                blockedKeys.block(entry)
            }
        }
    }

    /** Counts the placement before the call, because [place] may report the end of the task synchronously. */
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
                TeamClass(team, job.priority, classes.getOrPut(job.priority, ::PriorityClass), blockedKeys)
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

/** Quota, weight and in-flight tasks of a team over all classes. */
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

    /** Changes fields that determine the order of teams; the team is unlinked meanwhile to keep the sets consistent. */
    inline fun update(change: TeamState.() -> Unit) {
        classes.values.forEach(TeamClass::unlink)
        change()
        classes.values.forEach(TeamClass::link)
    }
}

/** Teams with unstarted tasks of one priority class; teams with equal shares alternate. */
private class PriorityClass {
    val teams = TreeSet(TEAM_ORDER)
    var pendingTasks = 0
    var expectedMillis = 0L
}

/** Jobs of one team in one class, by placement key. */
private class TeamClass(
    val team: TeamState,
    private val priority: Int,
    private val priorityClass: PriorityClass,
    private val blockedKeys: BlockedKeys,
) {
    private val jobsByKey = HashMap<Any, TreeSet<Entry>>()

    /** Whether the team is skipped until its quota or one of its placement keys may allow a start. */
    private var parked = false

    fun add(entry: Entry) {
        val jobs =
            jobsByKey.getOrPut(entry.placementKey) {
                blockedKeys.register(entry.placementKey, this)
                TreeSet(ENTRY_ORDER)
            }
        jobs += entry
        priorityClass.pendingTasks += entry.pendingTasks
        priorityClass.expectedMillis += entry.expectedMillis
        if (!blockedKeys.isBlocked(entry.placementKey, priority)) parked = false
        link()
    }

    fun remove(entry: Entry) {
        val jobs = jobsByKey.getValue(entry.placementKey)
        jobs -= entry
        if (jobs.isEmpty()) {
            jobsByKey -= entry.placementKey
            blockedKeys.unregister(entry.placementKey, this)
        }
        priorityClass.pendingTasks -= entry.pendingTasks
        priorityClass.expectedMillis -= entry.expectedMillis
        if (jobsByKey.isEmpty()) unlink()
    }

    /** The job with the fewest unstarted tasks whose placement key is not blocked. */
    fun first(): Entry? {
        var best: Entry? = null
        for ((key, jobs) in jobsByKey) {
            if (blockedKeys.isBlocked(key, priority)) continue
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
        if (!parked) return
        parked = false
        link()
    }

    fun link() {
        if (!parked && jobsByKey.isNotEmpty()) priorityClass.teams += this
    }

    fun unlink() {
        priorityClass.teams -= this
    }
}

/** Placement keys that found no free slot, and the teams that wait for each key. */
private class BlockedKeys {
    private val teams = HashMap<Any, MutableSet<TeamClass>>()

    /** Highest class (lowest number) that found no free slot, per key. */
    private val blockedFromPriority = HashMap<Any, Int>()
    private val blockedByService = HashMap<String, MutableSet<Any>>()

    fun register(
        key: Any,
        teamClass: TeamClass,
    ) {
        teams.getOrPut(key, ::HashSet) += teamClass
    }

    fun unregister(
        key: Any,
        teamClass: TeamClass,
    ) {
        val waiting = teams[key] ?: return
        waiting -= teamClass
        if (waiting.isEmpty()) teams -= key
    }

    fun isBlocked(
        key: Any,
        priority: Int,
    ): Boolean = priority >= (blockedFromPriority[key] ?: Int.MAX_VALUE)

    fun block(entry: Entry) {
        blockedFromPriority.merge(entry.placementKey, entry.job.priority, ::minOf)
        blockedByService.getOrPut(entry.job.service, ::HashSet) += entry.placementKey
    }

    fun unblock(service: String) {
        blockedByService.remove(service)?.forEach(::release)
    }

    fun unblockAll() {
        blockedFromPriority.keys.toList().forEach(::release)
        blockedByService.clear()
    }

    private fun release(key: Any) {
        blockedFromPriority -= key
        teams[key]?.forEach(TeamClass::unpark)
    }
}

/** A job with the values that determined its position when it was added. */
private class Entry(
    val job: QueuedJob,
    val teamClass: TeamClass,
) {
    val placementKey = job.placementKey
    val pendingTasks = job.pendingTasks
    val expectedMillis = job.pendingTasks * job.expectedMillisPerTask
    val sequence = job.sequence
}

// The comparators compare primitive values, because compareBy boxes both operands, which caused 30% of all bytes
// allocated by the decision core.
private val ENTRY_ORDER =
    Comparator<Entry> { a, b ->
        val byTasks = a.pendingTasks.compareTo(b.pendingTasks)
        if (byTasks != 0) byTasks else a.sequence.compareTo(b.sequence)
    }

private val TEAM_ORDER =
    Comparator<TeamClass> { a, b ->
        val byShare = a.team.share.compareTo(b.team.share)
        val byTurn = a.team.lastPlacement.compareTo(b.team.lastPlacement)
        when {
            byShare != 0 -> byShare
            byTurn != 0 -> byTurn
            else -> a.team.name.compareTo(b.team.name)
        }
    }
