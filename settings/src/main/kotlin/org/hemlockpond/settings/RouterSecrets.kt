/*
 * The secrets of a router, kept apart from RouterSettings so that settings can be printed, compared
 * and checked on a machine that doesn't hold them.
 */
package org.hemlockpond.settings

import java.nio.file.Path

/** The least length of the shared peer secret and of the operator token, in bytes. */
const val MIN_SECRET_BYTES = 32

private const val MAX_SECRET_BYTES = 4096

/**
 * The secrets that a router reads at start. Deliberately no data class: a generated `toString`
 * would write them to logs.
 *
 * @property peerSecret the bytes of the peer secret file without trailing line breaks
 * @property operatorToken the bearer token of the operator port
 */
class RouterSecrets(val peerSecret: ByteArray, val operatorToken: String)

/** Reads the secrets that [settings] name. Errors name the secret's file, never its content. */
fun loadRouterSecrets(settings: RouterSettings): SettingsResult<RouterSecrets> {
    val errors = mutableListOf<SettingsError>()
    val secret = readSecret(settings.peerSecretFile, "$.peerSecretFile", errors)
    val token = readSecret(settings.operatorTokenFile, "$.operatorTokenFile", errors)
        ?.let { String(it, Charsets.UTF_8) }
    if (token != null && !token.all { it in '!'..'~' }) {
        errors += SettingsError(
            settings.operatorTokenFile.toString(),
            1,
            1,
            "$.operatorTokenFile",
            "a token with other characters",
            "visible ASCII characters"
        )
    }
    val secrets = if (secret == null || token == null) null else RouterSecrets(secret, token)
    return resultOf(secrets, errors)
}

private fun readSecret(file: Path, path: String, errors: MutableList<SettingsError>): ByteArray? {
    val problems = mutableListOf<SettingsError>()
    val bytes = readBytes(file, file.toString(), problems)
    errors += problems.map { it.copy(path = path) }
    if (bytes == null) return null
    val end = bytes.indexOfLast { it != '\n'.code.toByte() && it != '\r'.code.toByte() } + 1
    if (end in MIN_SECRET_BYTES..MAX_SECRET_BYTES) return bytes.copyOf(end)
    errors += SettingsError(
        file.toString(),
        1,
        1,
        path,
        "a secret of $end bytes",
        "$MIN_SECRET_BYTES to $MAX_SECRET_BYTES bytes"
    )
    return null
}
