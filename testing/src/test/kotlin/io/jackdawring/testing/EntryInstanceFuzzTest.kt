package io.jackdawring.testing

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.Tuple
import kotlin.test.assertEquals

/** Stateful fuzzing of entry instances under faults, checked by the [Oracle]. */
class EntryInstanceFuzzTest {
    /** Guards against violations of any [Invariant] under combined faults. */
    @Property(tries = TRIES, seed = "20261204", edgeCases = net.jqwik.api.EdgeCasesMode.NONE)
    fun `no schedule breaks an invariant`(
        @ForAll("schedules") steps: List<FuzzStep>,
        @ForAll seed: Long,
    ) {
        val run = FuzzRun(seed)
        run.run(steps)
        assertEquals(emptyList(), run.violations)
    }

    @Provide
    fun schedules(): Arbitrary<List<FuzzStep>> = steps().list().ofMinSize(MIN_STEPS).ofMaxSize(MAX_STEPS)

    private fun steps(): Arbitrary<FuzzStep> {
        val actions = Arbitraries.frequency(*FuzzAction.entries.map { Tuple.of(it.weight, it) }.toTypedArray())
        val index = Arbitraries.integers().between(0, MAX_INDEX)
        val millis = Arbitraries.longs().between(1, MAX_ADVANCE_MILLIS)
        return Combinators.combine(actions, index, index, millis).`as`(::FuzzStep)
    }

    private companion object {
        const val TRIES = 300
        const val MIN_STEPS = 40
        const val MAX_STEPS = 250
        const val MAX_INDEX = 1_000
        const val MAX_ADVANCE_MILLIS = 2_000L
    }
}
