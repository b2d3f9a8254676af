package io.jackdawring.core

import org.junit.jupiter.api.extension.ConditionEvaluationResult
import org.junit.jupiter.api.extension.ExecutionCondition
import org.junit.jupiter.api.extension.ExtensionContext
import java.nio.file.Files
import java.nio.file.Path
import kotlin.jvm.optionals.getOrNull

/**
 * Disables the tests that KNOWN-RED.txt in the root folder lists as failing because of a known fault.
 *
 * `JACKDAWRING_KNOWN_RED=run` enables them.
 */
class KnownRedCondition : ExecutionCondition {
    override fun evaluateExecutionCondition(context: ExtensionContext): ConditionEvaluationResult {
        val method = context.testMethod.getOrNull() ?: return ENABLED
        val name = "${context.requiredTestClass.name}#${method.name}"
        if (name !in knownRed || System.getenv("JACKDAWRING_KNOWN_RED") == "run") return ENABLED
        return ConditionEvaluationResult.disabled("known red: $name")
    }

    private companion object {
        const val PREFIX = "test: "
        val ENABLED: ConditionEvaluationResult = ConditionEvaluationResult.enabled("not known red")
        val knownRed: Set<String> by lazy(::readKnownRed)

        fun readKnownRed(): Set<String> {
            val folders = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
            val file = folders.map { it.resolve("KNOWN-RED.txt") }.firstOrNull(Files::exists) ?: return emptySet()
            return Files
                .readAllLines(file)
                .filter { it.startsWith(PREFIX) }
                .map { it.removePrefix(PREFIX) }
                .toSet()
        }
    }
}
