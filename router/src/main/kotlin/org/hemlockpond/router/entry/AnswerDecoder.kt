/*
 * Decodes the answers on one connection to an endpoint. Netty's HttpClientCodec hides how many bytes it
 * has not decoded yet, and pairs each answer with the next request, which an answer to an earlier request
 * would shift. Netty also accepts any number as a status.
 */
package org.hemlockpond.router.entry

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

internal class AnswerDecoder : HttpResponseDecoder() {
    /** The method of the current request, which decides whether its answer has a body. */
    var method: HttpMethod = HttpMethod.GET

    /** The bytes that were read and not decoded. While an answer ends, those that follow it. */
    val undecodedBytes: Int get() = actualReadableBytes()

    /** @throws IllegalArgumentException if the status can't be one; the answer is then unreadable */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[1]
        require(STATUS.matches(status)) { "status $status" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** A number from 100 to 599. */
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}
