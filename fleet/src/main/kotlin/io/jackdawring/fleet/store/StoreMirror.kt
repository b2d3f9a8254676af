package io.jackdawring.fleet.store

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.fleet.ControlLoop

private val logger = KotlinLogging.logger("io.jackdawring.store")

/**
 * Keeps a copy of all items under [prefix] by a list and watches; belongs to the control thread.
 *
 * Changes are gathered for [gatherMillis] before the next watch, so that a prefix that changes often costs few calls.
 */
internal class StoreMirror(
    private val prefix: String,
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val gatherMillis: Long = 0,
    private val waitMillis: Long = WATCH_WAIT_MILLIS,
    private val onChange: () -> Unit,
) {
    private val copy = HashMap<String, StoreItem>()
    private var revision = 0L
    private var failuresInRow = 0

    /** Whether the first list has arrived. */
    var isLoaded = false
        private set

    val items: Collection<StoreItem> get() = copy.values

    operator fun get(key: String): StoreItem? = copy[key]

    private var running = false

    /** Counts the starts, so that results for earlier ones are told apart. */
    private var generation = 0

    /** Starts to follow the store; no effect while it does. */
    fun start() {
        if (running) return
        running = true
        generation++
        copy.clear()
        isLoaded = false
        list()
    }

    /** Stops following the store; the copy is read anew after the next start. */
    fun stop() {
        running = false
        generation++
    }

    /** Reads all items again without waiting for the next change. */
    fun reload() {
        if (!running) return
        generation++
        list()
    }

    private fun isCurrent(startedIn: Int) = running && startedIn == generation

    /** Applies [item] that was learned from a write or a peer, unless a newer one is known. */
    fun learn(item: StoreItem) {
        val known = copy[item.key]
        if (known != null && known.revision >= item.revision) return
        // The store's own changes have come this far, so the item was removed since.
        if (known == null && isLoaded && item.revision <= revision) return
        copy[item.key] = item
        onChange()
    }

    private fun list() {
        val startedIn = generation
        store.list(prefix) { result ->
            if (!isCurrent(startedIn)) return@list
            when (result) {
                is ListResult.Listed -> {
                    replace(result)
                    watch()
                    onChange()
                }

                is ListResult.Unavailable -> {
                    retry(result.detail, ::list)
                }
            }
        }
    }

    private fun replace(listed: ListResult.Listed) {
        reachable()
        val fresh = listed.items.associateBy { it.key }
        // Items written after the list was read were learned from elsewhere and are kept.
        copy.values.removeIf { it.key !in fresh && it.revision <= listed.revision }
        fresh.values.forEach { item -> if ((copy[item.key]?.revision ?: -1) < item.revision) copy[item.key] = item }
        revision = listed.revision
        isLoaded = true
    }

    private fun watch() {
        val startedIn = generation
        store.watch(prefix, revision, waitMillis) { result ->
            if (!isCurrent(startedIn)) return@watch
            when (result) {
                is WatchResult.Changed -> {
                    reachable()
                    apply(result)
                    watchAgain(startedIn)
                    if (result.events.isNotEmpty()) onChange()
                }

                is WatchResult.HistoryLost -> {
                    logger.info { "history of $prefix after revision $revision is gone; reading it again" }
                    list()
                }

                is WatchResult.Unavailable -> {
                    retry(result.detail, ::watch)
                }
            }
        }
    }

    private fun watchAgain(startedIn: Int) {
        if (gatherMillis == 0L) watch() else loop.schedule(gatherMillis) { if (isCurrent(startedIn)) watch() }
    }

    private fun apply(changed: WatchResult.Changed) {
        for (event in changed.events) {
            when (event) {
                is StoreEvent.Written -> {
                    if ((copy[event.key]?.revision ?: -1) < event.item.revision) copy[event.key] = event.item
                }

                is StoreEvent.Removed -> {
                    if ((copy[event.key]?.revision ?: -1) < event.revision) copy.remove(event.key)
                }
            }
        }
        revision = maxOf(revision, changed.revision)
    }

    private fun reachable() {
        if (failuresInRow > 0) logger.info { "store answers again for $prefix after $failuresInRow failures" }
        failuresInRow = 0
    }

    private fun retry(
        detail: String,
        action: () -> Unit,
    ) {
        if (failuresInRow++ == 0) logger.warn { "store does not answer for $prefix: $detail" }
        val delay = minOf(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS shl minOf(failuresInRow, MAX_DOUBLINGS))
        val startedIn = generation
        loop.schedule(delay) { if (isCurrent(startedIn)) action() }
    }

    private companion object {
        /** Bounds how long a connection that has gone silent hides a change; the configuration must arrive within 2 s. */
        const val WATCH_WAIT_MILLIS = 2_000L
        const val FIRST_RETRY_MILLIS = 25L
        const val MAX_RETRY_MILLIS = 400L
        const val MAX_DOUBLINGS = 4
    }
}
