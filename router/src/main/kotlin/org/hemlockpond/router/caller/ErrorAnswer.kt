/*
 * Errors as callers see them. Each states whether the request ran and whether it may be sent again.
 */
package org.hemlockpond.router.caller

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.hemlockpond.core.ErrorKind

/** The JSON body of an error. */
internal fun errorBody(kind: ErrorKind, detail: String?): String = buildJsonObject {
    putJsonObject("error") {
        put("code", kind.code)
        put("type", kind.code)
        put("message", if (detail == null) kind.message else "${kind.message}: $detail")
        put("execution", kind.execution.code)
        put("retryable", kind.retryable)
    }
}.toString()
