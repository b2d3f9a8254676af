package io.jackdawring.cli.settings

/**
 * One setting of the binary; flags, environment variables, messages and the reference page are derived from it.
 *
 * [default] is null for a setting that may stay unset; a [required] setting has no default. The value of a
 * [secret] setting is never printed.
 */
class Setting(
    val name: String,
    val description: String,
    val type: SettingType,
    val default: String? = null,
    val unit: String = "",
    val required: Boolean = false,
    val secret: Boolean = false,
) {
    val flag: String get() = "--$name"

    val variable: String get() = "JACKDAWRING_" + name.uppercase().replace('-', '_')

    /** Message for a [value] from [source] that is out of range. */
    fun rejection(
        value: String,
        source: String,
    ): String {
        val shown = if (secret) "the value" else "'$value'"
        val unitSuffix = if (unit.isEmpty()) "" else " $unit"
        return "$source: $shown is not allowed; allowed is ${type.range}$unitSuffix"
    }
}
