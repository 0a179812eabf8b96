/*
 * The platform's format of the report that an engine gives of its load.
 */
package org.hemlockpond.router.entry

import io.netty.handler.codec.http.HttpHeaders
import org.hemlockpond.core.EndpointId
import org.hemlockpond.core.entry.EngineReport

/** How engines report their load; a platform adapter implements it. */
interface EngineReportFormat {
    /** The path of the call that returns the report. */
    val path: String

    /** Adds the headers of a call to [endpoint]. */
    fun addHeaders(headers: HttpHeaders, endpoint: EndpointId)

    fun parse(text: String): Decoded<EngineReport>
}
