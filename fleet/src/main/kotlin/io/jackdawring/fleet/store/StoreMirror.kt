package io.jackdawring.fleet.store

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jackdawring.fleet.ControlLoop

private val logger = KotlinLogging.logger("io.jackdawring.store")

/**
 * Caches all items under [prefix] by a list followed by watches; confined to the control thread.
 *
 * The next watch starts [batchDelayMillis] after a result, so that a prefix that changes often costs few calls.
 */
internal class StoreMirror(
    private val prefix: String,
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val batchDelayMillis: Long = 0,
    private val waitMillis: Long = WATCH_WAIT_MILLIS,
    private val onChange: () -> Unit,
) {
    private val cache = HashMap<String, StoreItem>()

    /** Revision of the store up to which the mirror has all changes. */
    var revision = 0L
        private set
    private var failureCount = 0

    /** Time at which the store was last asked for what the mirror has by now; null before its first answer. */
    var confirmedAtMillis: Long? = null
        private set

    /** Former value of [confirmedAtMillis]: time of the question whose answer lacked what the last answer has. */
    var confirmedBeforeMillis: Long? = null
        private set

    /** Whether the first list is complete. */
    var isLoaded = false
        private set

    val items: Collection<StoreItem> get() = cache.values

    operator fun get(key: String): StoreItem? = cache[key]

    private var running = false

    /** Changes with each start, stop and reload, so that results of earlier calls are ignored. */
    private var generation = 0

    /** Starts listing and watching; does nothing if already started. */
    fun start() {
        if (running) return
        running = true
        generation++
        cache.clear()
        isLoaded = false
        list()
    }

    /** Stops watching; the next start discards the cached items and lists again. */
    fun stop() {
        running = false
        generation++
    }

    /** Lists all items again without waiting for the next change. */
    fun reload() {
        if (!running) return
        generation++
        list()
    }

    private fun isCurrent(startedIn: Int) = running && startedIn == generation

    /** Caches [item], which was received from a write or a peer, unless a newer revision is known. */
    fun applyIfNewer(item: StoreItem) {
        val known = cache[item.key]
        if (known != null && known.revision >= item.revision) return
        // The watch has passed this revision, so the item was removed since.
        if (known == null && isLoaded && item.revision <= revision) return
        cache[item.key] = item
        onChange()
    }

    private fun list() {
        val startedIn = generation
        val askedAtMillis = loop.nowMillis()
        store.list(prefix) { result ->
            if (!isCurrent(startedIn)) return@list
            when (result) {
                is ListResult.Listed -> {
                    replace(result)
                    onConfirmed(askedAtMillis)
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
        onReachable()
        val fresh = listed.items.associateBy { it.key }
        // Items with a later revision than the list came from a write or a peer and stay.
        cache.values.removeIf { it.key !in fresh && it.revision <= listed.revision }
        fresh.values.forEach { item -> if ((cache[item.key]?.revision ?: -1) < item.revision) cache[item.key] = item }
        revision = listed.revision
        isLoaded = true
    }

    private fun watch() {
        val startedIn = generation
        val askedAtMillis = loop.nowMillis()
        store.watch(prefix, revision, waitMillis) { result ->
            if (!isCurrent(startedIn)) return@watch
            when (result) {
                is WatchResult.Changed -> {
                    onReachable()
                    apply(result)
                    onConfirmed(askedAtMillis)
                    watchAgain(startedIn)
                    if (result.events.isNotEmpty()) onChange()
                }

                is WatchResult.HistoryCompacted -> {
                    logger.info { "watch of $prefix: history after revision $revision is compacted; listing again" }
                    list()
                }

                is WatchResult.Unavailable -> {
                    retry(result.detail, ::watch)
                }
            }
        }
    }

    private fun watchAgain(startedIn: Int) {
        if (batchDelayMillis == 0L) watch() else loop.schedule(batchDelayMillis) { if (isCurrent(startedIn)) watch() }
    }

    private fun apply(changed: WatchResult.Changed) {
        for (event in changed.events) {
            when (event) {
                is StoreEvent.Written -> {
                    if ((cache[event.key]?.revision ?: -1) < event.item.revision) cache[event.key] = event.item
                }

                is StoreEvent.Removed -> {
                    if ((cache[event.key]?.revision ?: -1) < event.revision) cache.remove(event.key)
                }
            }
        }
        revision = maxOf(revision, changed.revision)
    }

    private fun onConfirmed(askedAtMillis: Long) {
        confirmedBeforeMillis = confirmedAtMillis
        confirmedAtMillis = askedAtMillis
    }

    private fun onReachable() {
        if (failureCount > 0) logger.info { "store is reachable again for $prefix after $failureCount failures" }
        failureCount = 0
    }

    private fun retry(
        detail: String,
        action: () -> Unit,
    ) {
        if (failureCount++ == 0) logger.warn { "store is unreachable for $prefix: $detail" }
        val delay = minOf(MAX_RETRY_MILLIS, FIRST_RETRY_MILLIS shl minOf(failureCount, MAX_DOUBLINGS))
        val startedIn = generation
        loop.schedule(delay) { if (isCurrent(startedIn)) action() }
    }

    private companion object {
        /** Bounds by how much a broken connection delays a change; the configuration must arrive within 2 s. */
        const val WATCH_WAIT_MILLIS = 2_000L
        const val FIRST_RETRY_MILLIS = 25L
        const val MAX_RETRY_MILLIS = 400L
        const val MAX_DOUBLINGS = 4
    }
}
