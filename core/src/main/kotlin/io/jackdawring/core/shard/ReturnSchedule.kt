package io.jackdawring.core.shard

import java.util.TreeMap

/**
 * Gives refused jobs times at which there will be room for them, counting those given to earlier ones.
 *
 * Callers are told whole seconds, so a job can only return a whole number of seconds after its refusal. The time ahead is
 * divided into slots that hold the promised work. A job gets the first slot from which its work fits in before it would
 * miss its objective; more urgent jobs do not see the work of less urgent ones. Jobs of a priority return in the order in
 * which they were refused, to within a second. Single-threaded; all times are milliseconds of one monotonic clock.
 */
internal class ReturnSchedule {
    private class Service {
        /** Promised work by slot number and priority, in milliseconds of the service's capacity. */
        val slots = TreeMap<Long, TreeMap<Int, Double>>()

        /** Latest promised time by priority. */
        val latestByPriority = HashMap<Int, Long>()
    }

    private class Share(
        val slot: Long,
        val workMillis: Double,
    )

    private val services = HashMap<String, Service>()

    /** Number of slots with promised work. */
    val size: Int get() = services.values.sumOf { it.slots.size }

    /**
     * Time after which a job with [need] finds room, in whole seconds; at most [MAX_MILLIS].
     *
     * With [isReserved], later answers count its work.
     */
    fun retryAfterMillis(
        need: ReturnNeed,
        isReserved: Boolean,
        nowMillis: Long,
    ): Long {
        forgetPast(nowMillis)
        val service = services.getOrPut(need.service, ::Service)
        val afterMillis = maxOf(need.earliestMillis, inOrderMillis(service, need, nowMillis))
        for (millis in roundUp(afterMillis)..MAX_MILLIS step STEP_MILLIS) {
            val shares = fit(service, need, nowMillis + millis) ?: continue
            if (isReserved) {
                reserve(service, need, shares)
                // A job that few targets can run, and that waits for them, does not hold up the others.
                val isMoved = millis > roundUp(need.earliestMillis)
                if (isMoved) service.latestByPriority.merge(need.priority, nowMillis + millis, ::maxOf)
            }
            return millis
        }
        return MAX_MILLIS
    }

    /** Delay after which a job does not return a second before earlier refused ones of its priority. */
    private fun inOrderMillis(
        service: Service,
        need: ReturnNeed,
        nowMillis: Long,
    ): Long = service.latestByPriority[need.priority]?.let { it - ORDER_MILLIS + 1 - nowMillis } ?: 0

    private fun roundUp(millis: Long): Long = maxOf(1, (millis + STEP_MILLIS - 1) / STEP_MILLIS) * STEP_MILLIS

    /** The slots that the work of [need] takes from [atMillis] on, or null if that is too late for it. */
    private fun fit(
        service: Service,
        need: ReturnNeed,
        atMillis: Long,
    ): List<Share>? {
        val shares = ArrayList<Share>()
        var left = need.workMillis
        var slot = atMillis / SLOT_MILLIS
        val limitMillis = atMillis + need.patienceMillis + need.workMillis
        while (true) {
            val taken =
                service.slots[slot]
                    ?.headMap(need.priority, true)
                    ?.values
                    ?.sum() ?: 0.0
            val work = minOf(left, SLOT_MILLIS - taken)
            if (work > 0) {
                shares.add(Share(slot, work))
                left -= work
            }
            if (left <= 0) return shares
            slot++
            if (slot * SLOT_MILLIS > limitMillis) return null
        }
    }

    private fun reserve(
        service: Service,
        need: ReturnNeed,
        shares: List<Share>,
    ) {
        for (share in shares) {
            service.slots.getOrPut(share.slot, ::TreeMap).merge(need.priority, share.workMillis, Double::plus)
        }
    }

    private fun forgetPast(nowMillis: Long) {
        for (service in services.values) {
            service.slots.headMap(nowMillis / SLOT_MILLIS).clear()
            service.latestByPriority.values.removeIf { it < nowMillis }
        }
        services.values.removeIf { it.slots.isEmpty() && it.latestByPriority.isEmpty() }
    }

    companion object {
        /** Limits the schedule to 600 slots and their spill a service; also the longest time that callers are told. */
        const val MAX_MILLIS = 60_000L

        /** Resolution of the time that callers are told. */
        private const val STEP_MILLIS = 1_000L

        /**
         * By how much earlier a caller that is refused later may return.
         *
         * With 2 s, the last of a burst return a fifth sooner, but some are refused again.
         */
        private const val ORDER_MILLIS = 1_000L

        /** About the time that the shortest jobs can wait. */
        private const val SLOT_MILLIS = 100L
    }
}

/**
 * What a refused job needs when it returns.
 *
 * [workMillis] is the time in which the capacity for returning jobs does its work. It may wait [patienceMillis] and still
 * meet its objective, and there is no room for it within [earliestMillis].
 */
internal class ReturnNeed(
    val service: String,
    val priority: Int,
    val workMillis: Double,
    val patienceMillis: Long,
    val earliestMillis: Long,
)
