package io.jackdawring.server.control

import io.jackdawring.core.CallerId
import io.jackdawring.core.Effect
import io.jackdawring.core.EffectSink
import io.jackdawring.core.EntryInstance
import io.jackdawring.core.Event
import io.jackdawring.core.InstanceSnapshot
import io.jackdawring.core.OperationId
import io.jackdawring.core.RequestId
import io.jackdawring.core.StoreAnswer
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against lost events, missed timers and a decision logic that continues after a failure. */
class ControlThreadTest {
    private val handled = LinkedBlockingQueue<Event>()
    private val failed = CountDownLatch(1)

    @Volatile
    private var onEvent: (Event) -> Unit = {}

    @Volatile
    private var timerMillis: Long? = null

    private val instance =
        object : EntryInstance {
            override fun handle(
                event: Event,
                nowMillis: Long,
                effects: EffectSink,
            ) {
                if (event is Event.TimerFired) timerMillis = null
                onEvent(event)
                handled.add(event)
            }

            override fun nextTimerMillis(): Long? = timerMillis

            override fun snapshot(): InstanceSnapshot = error("not used")
        }

    private val effects =
        object : ControlEffects {
            override fun register(request: OpenRequest) = Unit

            override fun beforeEvent(event: Event) = Unit

            override fun emit(effect: Effect) = Unit
        }

    private val thread = ControlThread(instance, MonotonicClock(), effects, 2) { failed.countDown() }.apply { start() }

    @AfterEach
    fun stop() = thread.close()

    private fun session(id: Long) = Event.OpenSession(RequestId(id), CallerId("c"))

    private fun storeAnswer(id: Long) = Event.StoreAnswered(OperationId(id), StoreAnswer.Written(1))

    private fun next() = handled.poll(20, TimeUnit.SECONDS)

    @Test
    fun `a full queue refuses requests but takes every other event in order`() {
        val reached = CountDownLatch(1)
        val release = CountDownLatch(1)
        onEvent = {
            reached.countDown()
            release.await()
        }
        assertTrue(thread.offerRequest(session(1), null))
        assertTrue(reached.await(20, TimeUnit.SECONDS))
        assertEquals(listOf(true, true, false), (2L..4L).map { thread.offerRequest(session(it), null) })
        val others = (1L..100L).map(::storeAnswer)
        others.forEach(thread::add)
        release.countDown()
        assertEquals(listOf(session(1), session(2), session(3)) + others, List(103) { next() })
        assertTrue(thread.offerRequest(session(5), null))
    }

    @Test
    fun `a due timer fires without any event`() {
        timerMillis = 0
        thread.add(storeAnswer(1))
        assertEquals(setOf(storeAnswer(1), Event.TimerFired), setOf(next(), next()))
    }

    @Test
    fun `nothing is handled after a failure`() {
        onEvent = { error("broken invariant") }
        thread.add(storeAnswer(1))
        assertTrue(failed.await(20, TimeUnit.SECONDS))
        onEvent = {}
        assertFalse(thread.isRunning)
        assertFalse(thread.offerRequest(session(1), null))
        thread.add(storeAnswer(2))
        assertTrue(handled.isEmpty())
    }
}
