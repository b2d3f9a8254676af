package io.jackdawring.fleet

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import kotlin.test.assertEquals

/** Guards against one unexpected error that ends the work of the control thread. */
class ControlLoopTest {
    private val rows =
        listOf<Pair<String, (ControlLoop, () -> Unit) -> Unit>>(
            "a series whose first round fails goes on" to { loop, done ->
                var rounds = 0
                loop.repeatEvery(1) {
                    require(++rounds > 1) { "the first round fails" }
                    done()
                    false
                }
            },
            "an action that fails does not keep later ones from running" to { loop, done ->
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
