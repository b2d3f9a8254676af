package io.jackdawring.cli.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/** Effective value of a setting; [value] is null if it is unset. */
class ResolvedSetting(
    val setting: Setting,
    val value: String?,
    val source: SettingSource,
) {
    /** [value] for output, with a secret masked. */
    val displayValue: String? get() = if (setting.secret && value != null) "********" else value
}

/** Origin of a setting's value; flags take precedence over the environment. */
enum class SettingSource { FLAG, ENVIRONMENT, DEFAULT }

/** Effective values of a list of settings, all of them within their ranges. */
class ResolvedSettings private constructor(
    val values: List<ResolvedSetting>,
) {
    fun textOrNull(setting: Setting): String? = values.first { it.setting === setting }.value

    fun text(setting: Setting): String = checkNotNull(textOrNull(setting)) { "${setting.flag} has no value" }

    fun long(setting: Setting): Long = text(setting).toLong()

    fun int(setting: Setting): Int = text(setting).toInt()

    companion object {
        /** Resolves [settings] from [flags] (by setting name) and [environment], or returns every problem found. */
        fun resolve(
            settings: List<Setting>,
            flags: Map<String, String>,
            environment: Map<String, String>,
            checkRequired: Boolean = true,
        ): Either<List<String>, ResolvedSettings> {
            val values = settings.map { resolve(it, flags, environment) }
            val problems = values.mapNotNull { problem(it, checkRequired) }
            return if (problems.isEmpty()) ResolvedSettings(values).right() else problems.left()
        }

        private fun resolve(
            setting: Setting,
            flags: Map<String, String>,
            environment: Map<String, String>,
        ): ResolvedSetting {
            flags[setting.name]?.let { return ResolvedSetting(setting, it, SettingSource.FLAG) }
            environment[setting.variable]?.let { return ResolvedSetting(setting, it, SettingSource.ENVIRONMENT) }
            return ResolvedSetting(setting, setting.default, SettingSource.DEFAULT)
        }

        private fun problem(
            resolved: ResolvedSetting,
            checkRequired: Boolean,
        ): String? {
            val setting = resolved.setting
            val value = resolved.value
            return when {
                value != null && !setting.type.accepts(value) -> setting.rejection(value, sourceName(resolved))
                value == null && setting.required && checkRequired ->
                    "${setting.flag} is required (or ${setting.variable}); allowed is ${setting.type.range}"
                else -> null
            }
        }

        private fun sourceName(resolved: ResolvedSetting): String =
            when (resolved.source) {
                SettingSource.ENVIRONMENT -> "${resolved.setting.variable} (${resolved.setting.flag})"
                SettingSource.FLAG, SettingSource.DEFAULT -> resolved.setting.flag
            }
    }
}
