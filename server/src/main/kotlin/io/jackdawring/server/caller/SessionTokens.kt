package io.jackdawring.server.caller

import io.jackdawring.core.SessionClaims
import io.jackdawring.server.SessionKey
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Signs and verifies session tokens of the form `v1.<key id>.<claims>.<HMAC-SHA256>`.
 *
 * The first key signs; all keys verify, so that keys can be replaced without ending sessions.
 */
internal class SessionTokens(
    keys: List<SessionKey>,
) {
    /** Result of a verification. */
    sealed interface Verification {
        class Valid(
            val claims: SessionClaims,
        ) : Verification

        /** The key is no longer, or not yet, configured here; the session may exist at another instance. */
        data object UnknownKey : Verification

        data object Invalid : Verification
    }

    private val signingKeyId = keys.first().id
    private val secrets = keys.associate { it.id to SecretKeySpec(it.secret, ALGORITHM) }

    /** A [Mac] is not thread-safe, and looking up its algorithm takes several microseconds. */
    private val macs = ThreadLocal.withInitial { Mac.getInstance(ALGORITHM) }

    init {
        require(secrets.size == keys.size) { "two session keys have the same id" }
        keys.forEach { key ->
            require(keyIdPattern.matches(key.id)) { "session key id \"${key.id}\" must match $keyIdPattern" }
            require(key.secret.size >= MIN_SECRET_BYTES) {
                "the secret of session key \"${key.id}\" has ${key.secret.size} bytes; at least $MIN_SECRET_BYTES are needed"
            }
        }
    }

    fun sign(claims: SessionClaims): String {
        val body = base64.encodeToString(Json.encodeToString(SessionClaims.serializer(), claims).encodeToByteArray())
        val signed = "$VERSION.$signingKeyId.$body"
        return "$signed.${base64.encodeToString(mac(secrets.getValue(signingKeyId), signed))}"
    }

    fun verify(token: String): Verification {
        if (token.length > MAX_TOKEN_CHARS) return Verification.Invalid
        val parts = token.split('.')
        if (parts.size != TOKEN_PARTS || parts[0] != VERSION) return Verification.Invalid
        val key = secrets[parts[1]] ?: return Verification.UnknownKey
        return try {
            val expected = mac(key, token.substring(0, token.lastIndexOf('.')))
            if (!MessageDigest.isEqual(expected, base64Decoder.decode(parts[3]))) return Verification.Invalid
            val json = base64Decoder.decode(parts[2]).decodeToString()
            Verification.Valid(Json.decodeFromString(SessionClaims.serializer(), json))
        } catch (_: IllegalArgumentException) {
            Verification.Invalid
        } catch (_: SerializationException) {
            Verification.Invalid
        }
    }

    private fun mac(
        key: SecretKeySpec,
        text: String,
    ): ByteArray {
        val mac = macs.get()
        mac.init(key)
        return mac.doFinal(text.toByteArray(Charsets.US_ASCII))
    }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val VERSION = "v1"
        const val TOKEN_PARTS = 4
        const val MAX_TOKEN_CHARS = 2_048

        /** 128 bits; shorter secrets could be guessed offline from one token. */
        const val MIN_SECRET_BYTES = 16
        val keyIdPattern = Regex("[A-Za-z0-9_-]{1,32}")
        val base64: Base64.Encoder = Base64.getUrlEncoder().withoutPadding()
        val base64Decoder: Base64.Decoder = Base64.getUrlDecoder()
    }
}
