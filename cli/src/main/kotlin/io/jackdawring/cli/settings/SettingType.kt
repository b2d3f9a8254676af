package io.jackdawring.cli.settings

import java.io.File

/** Form and range of the values of a [Setting]. */
sealed interface SettingType {
    /** Allowed values as shown in messages and on the reference page. */
    val range: String

    /** Name of the value in the usage text. */
    val metaVariable: String

    fun accepts(value: String): Boolean

    /** A name of 1 to 64 characters out of a small alphabet. */
    data object Name : SettingType {
        private val pattern = Regex("[A-Za-z0-9_.-]{1,64}")
        override val range = "1 to 64 characters out of A-Z a-z 0-9 _ . -"
        override val metaVariable = "NAME"

        override fun accepts(value: String): Boolean = pattern.matches(value)
    }

    /** `ip:port`; port 0 selects a free port and is only useful for listeners. */
    data class Address(
        val minPort: Int,
    ) : SettingType {
        override val range = "IP:PORT with a port from $minPort to 65535"
        override val metaVariable = "IP:PORT"

        override fun accepts(value: String): Boolean {
            val match = addressPattern.matchEntire(value) ?: return false
            val port = match.groupValues[2].toInt()
            val octets = match.groupValues[1].split('.').map { it.toInt() }
            return port in minPort..65_535 && octets.all { it <= 255 }
        }
    }

    /** `ip:port[,ip:port...]` of listeners of other processes. */
    data object AddressList : SettingType {
        private val address = Address(minPort = 1)
        override val range = "IP:PORT[,IP:PORT...] with ports from 1 to 65535"
        override val metaVariable = "ADDRESSES"

        override fun accepts(value: String): Boolean = value.split(',').all(address::accepts)
    }

    /** A bearer token (RFC 6750); the minimum length makes guessing infeasible. */
    data object BearerToken : SettingType {
        private val pattern = Regex("[A-Za-z0-9._~+/-]{16,256}=*")
        override val range = "16 to 256 characters out of A-Z a-z 0-9 . _ ~ + / -"
        override val metaVariable = "TOKEN"

        override fun accepts(value: String): Boolean = pattern.matches(value)
    }

    /** A file that this process can read. */
    data object ReadableFile : SettingType {
        override val range = "the name of a readable file"
        override val metaVariable = "FILE"

        override fun accepts(value: String): Boolean = File(value).canRead() && File(value).isFile
    }

    /** A whole number from [min] to [max]. */
    data class WholeNumber(
        val min: Long,
        val max: Long,
    ) : SettingType {
        override val range = "$min to $max"
        override val metaVariable = "N"

        override fun accepts(value: String): Boolean = value.toLongOrNull()?.let { it in min..max } ?: false
    }

    /** One of [values]. */
    data class Choice(
        val values: List<String>,
    ) : SettingType {
        override val range = values.joinToString(", ")
        override val metaVariable = "NAME"

        override fun accepts(value: String): Boolean = value in values
    }

    /** Session keys as `id:hex[,id:hex...]`; a secret has at least 16 bytes, the size of a secure HMAC-SHA256 key. */
    data object SessionKeys : SettingType {
        private val pattern = Regex("[A-Za-z0-9_-]{1,16}:([0-9a-fA-F]{2}){16,64}")
        override val range = "ID:HEX[,ID:HEX...] with 16 to 64 bytes per key and distinct ids"
        override val metaVariable = "KEYS"

        override fun accepts(value: String): Boolean {
            val keys = value.split(',')
            return keys.all { pattern.matches(it) } && keys.distinctBy { it.substringBefore(':') }.size == keys.size
        }
    }
}

private val addressPattern = Regex("""(\d{1,3}\.\d{1,3}\.\d{1,3}\.\d{1,3}):(\d{1,5})""")
