package io.jackdawring.testing

import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import java.util.PriorityQueue

/**
 * The platform's key-value store on virtual time, with fault switches.
 *
 * With a callback, a call takes effect and is answered inside [call] or [advanceTo], and the callback may make further
 * calls. Without one, [call] returns the answer at once and ignores the fault switches; drivers that simulate a network
 * of their own use that.
 */
class FakeStore {
    /** Calls are answered as unavailable and have no effect. */
    var down = false

    /** Time from a call to its effect and answer; above [timeoutMillis], the caller times out but the effect happens. */
    var delayMillis = 0L

    /** Time after which a caller gives up on any call but a watch. */
    var timeoutMillis = 1_000L

    /** Whether the reply to a call is lost after the call has taken effect. */
    var losesReply: (StoreCall) -> Boolean = { false }

    /** Number of calls, for tests of the load on the store. */
    var calls = 0L
        private set

    /** Current virtual time. */
    var nowMillis = 0L
        private set

    private class Entry(
        val value: String?,
        val revision: Long,
    )

    private class Watcher(
        val call: StoreCall.Watch,
        val onAnswer: (StoreAnswer) -> Unit,
        var open: Boolean = true,
    )

    private class ScheduledAction(
        val atMillis: Long,
        val order: Long,
        val action: () -> Unit,
    )

    private val entries = HashMap<String, Entry>()
    private val histories = HashMap<String, MutableList<String>>()
    private val watchers = LinkedHashSet<Watcher>()
    private val due = PriorityQueue<ScheduledAction>(compareBy<ScheduledAction> { it.atMillis }.thenBy { it.order })
    private var scheduled = 0L
    private var revision = 0L

    /** Current value of [key], or null. */
    fun value(key: String): String? = entries[key]?.value

    /** All values that [key] ever had, oldest first. */
    fun history(key: String): List<String> = histories[key].orEmpty()

    /** Time of the next scheduled effect, answer, lease expiry or watch timeout, or null. */
    fun nextEventMillis(): Long? = due.peek()?.atMillis

    /** Makes [call]; [onAnswer] is called exactly once, at once or inside a later [advanceTo]. */
    fun call(
        call: StoreCall,
        onAnswer: (StoreAnswer) -> Unit,
    ) {
        calls++
        val isWrite = call is StoreCall.CompareAndSwap
        val timesOut = delayMillis > timeoutMillis && call !is StoreCall.Watch
        when {
            down -> onAnswer(StoreAnswer.Unavailable(mayHaveApplied = false))
            timesOut -> {
                schedule(timeoutMillis) { onAnswer(StoreAnswer.Unavailable(isWrite)) }
                schedule(delayMillis) { perform(call) {} }
            }
            losesReply(call) -> {
                schedule(delayMillis) { perform(call) {} }
                schedule(timeoutMillis) { onAnswer(StoreAnswer.Unavailable(isWrite)) }
            }
            delayMillis == 0L -> perform(call, onAnswer)
            else -> schedule(delayMillis) { perform(call, onAnswer) }
        }
    }

    /** Applies [call] at [atMillis] and returns its answer at once; a watch answers like a read. */
    fun call(
        call: StoreCall,
        atMillis: Long,
    ): StoreAnswer {
        calls++
        advanceTo(atMillis)
        return when (call) {
            is StoreCall.Get -> read(call.key)
            is StoreCall.Watch -> read(call.key)
            is StoreCall.CompareAndSwap -> swap(call)
        }
    }

    /** Advances virtual time to [targetMillis] and runs everything due until then in order. */
    fun advanceTo(targetMillis: Long) {
        while (true) {
            val next = due.peek()?.takeIf { it.atMillis <= targetMillis } ?: break
            due.remove()
            nowMillis = maxOf(nowMillis, next.atMillis)
            next.action()
        }
        nowMillis = maxOf(nowMillis, targetMillis)
    }

    /** Replaces or, with null, deletes the value of [key] unconditionally, like an operator with store access. */
    fun overwrite(
        key: String,
        value: String?,
    ) {
        write(key, value, null)
    }

    private fun schedule(
        afterMillis: Long,
        action: () -> Unit,
    ) {
        due += ScheduledAction(nowMillis + afterMillis, scheduled++, action)
    }

    private fun perform(
        call: StoreCall,
        onAnswer: (StoreAnswer) -> Unit,
    ) {
        when (call) {
            is StoreCall.Get -> onAnswer(read(call.key))
            is StoreCall.Watch -> watch(Watcher(call, onAnswer))
            is StoreCall.CompareAndSwap -> onAnswer(swap(call))
        }
    }

    private fun read(key: String): StoreAnswer.Found {
        val entry = entries[key]
        return StoreAnswer.Found(entry?.value, entry?.revision ?: 0)
    }

    private fun watch(watcher: Watcher) {
        if (read(watcher.call.key).revision > watcher.call.afterRevision) return answer(watcher)
        watchers += watcher
        schedule(watcher.call.waitMillis) { answer(watcher) }
    }

    private fun answer(watcher: Watcher) {
        if (!watcher.open) return
        watcher.open = false
        watchers -= watcher
        watcher.onAnswer(if (down) StoreAnswer.Unavailable(false) else read(watcher.call.key))
    }

    private fun swap(call: StoreCall.CompareAndSwap): StoreAnswer {
        val entry = entries[call.key]
        val present = if (entry?.value == null) 0 else entry.revision
        if (present != call.expectedRevision) return StoreAnswer.Conflict(entry?.value, entry?.revision ?: 0)
        return StoreAnswer.Written(write(call.key, call.value, call.leaseMillis))
    }

    private fun write(
        key: String,
        value: String?,
        leaseMillis: Long?,
    ): Long {
        val written = ++revision
        entries[key] = Entry(value, written)
        if (value != null) histories.getOrPut(key) { ArrayList() } += value
        if (leaseMillis != null) {
            schedule(leaseMillis) { if (entries[key]?.revision == written) write(key, null, null) }
        }
        watchers.filter { it.call.key == key && written > it.call.afterRevision }.forEach { schedule(0) { answer(it) } }
        return written
    }
}
