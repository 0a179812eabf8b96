/*
 * `hemlockpond key new`: makes a bearer key. Only its digest goes into a contract.
 */
package org.hemlockpond.cli

import java.security.MessageDigest
import java.util.Base64

/** 256 random bits, so that a digest without salt can't be searched for its key. */
private const val KEY_BYTES = 32
private const val KEY_PREFIX = "hp_"

internal class KeyNewCommand(environment: Environment) :
    Command(environment, "new", "Prints a random bearer key and its digest.") {
    override fun execute(): Outcome {
        val random = environment.randomBytes(KEY_BYTES)
        val key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(random)
        val digest = digest(key)
        return Outcome(
            ExitCode.SUCCESS,
            listOf("key    $key", "digest $digest"),
            jsonOf("key" to key, "digest" to digest)
        )
    }
}

/** The SHA-256 digest of a key in lower-case hex, as contracts list it. */
internal fun digest(key: String): String =
    MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        .joinToString("") { "%02x".format(it) }
