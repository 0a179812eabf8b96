/*
 * The result of reading settings. Every error names the place in the input, what stands there and
 * what was expected, so that an operator can fix all errors of a directory in one pass.
 */
package org.hemlockpond.settings

/** Settings that were read, or every error that was found in them. */
sealed interface SettingsResult<out T> {
    data class Valid<T>(val value: T) : SettingsResult<T>

    /** @property errors at least one error, in the order of files and positions */
    data class Invalid(val errors: List<SettingsError>) : SettingsResult<Nothing>
}

/**
 * An error at one place of one file.
 *
 * @property file the file as the caller named it, or below the directory that the caller named
 * @property line the line, from 1
 * @property column the column in UTF-16 code units, from 1
 * @property path the JSON path, such as `$.endpoints[2].domain`
 * @property found what the input holds
 * @property expected what the input must hold
 */
data class SettingsError(
    val file: String,
    val line: Int,
    val column: Int,
    val path: String,
    val found: String,
    val expected: String
) {
    override fun toString(): String = "$file:$line:$column: $path: found $found; expected $expected"
}

internal fun <T : Any> resultOf(value: T?, errors: List<SettingsError>): SettingsResult<T> =
    if (errors.isEmpty() && value != null) {
        SettingsResult.Valid(value)
    } else {
        SettingsResult.Invalid(
            errors.sortedWith(compareBy({ it.file }, { it.line }, { it.column }))
        )
    }
