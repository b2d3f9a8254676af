package io.jackdawring.fleet

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.test.assertEquals

/** Guards against an unexpected exception that stops the control thread. */
class ControlLoopTest {
    private val rows =
        listOf<Pair<String, (ControlLoop, () -> Unit) -> Unit>>(
            "a repeated action whose first run fails is repeated" to { loop, done ->
                var rounds = 0
                loop.repeatEvery(1) {
                    require(++rounds > 1) { "the first round fails" }
                    done()
                    false
                }
            },
            "an action that fails does not prevent later ones" to { loop, done ->
                loop.execute { require(false) { "the action fails" } }
                loop.execute(done)
            },
        )

    @TestFactory
    fun `errors on the control thread`() =
        rows.map { (name, test) ->
            DynamicTest.dynamicTest(name) {
                val executor = Executors.newSingleThreadScheduledExecutor()
                val loop = RealControlLoop(executor)
                var runs = 0
                val done = CountDownLatch(1)
                loop.execute {
                    test(loop) {
                        runs++
                        done.countDown()
                    }
                }
                done.await()
                executor.shutdown()
                assertEquals(1, runs)
            }
        }
}
