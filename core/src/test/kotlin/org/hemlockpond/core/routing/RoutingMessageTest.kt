package org.hemlockpond.core.routing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.Json
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.EndpointId

class RoutingMessageTest {
    /** Guards against incompatible changes of the message format between releases. */
    @Test
    fun messagesKeepTheirNamesAndContent() {
        val endpoint = EndpointId("e")
        val messages = mapOf(
            "borrow" to RoutingMessage.BorrowRequest(endpoint, 5),
            "loan" to RoutingMessage.Loan(endpoint, 6),
            "return" to RoutingMessage.LoanReturn(endpoint, 7),
            "suspect" to RoutingMessage.Suspect("d", Verdict.REFUSED, 2),
            "claim" to RoutingMessage.ClaimAttempt("d", Claim.RUNNING),
            "isolate" to RoutingMessage.Isolate(endpoint, active = true),
            "leaving" to RoutingMessage.Leaving(endpoint, LeavingSource.HOST_LIST, leaving = true),
            "usage" to RoutingMessage.LimitUsage(mapOf(CustomerId("c") to CustomerUsage(3, 1)))
        )
        for ((name, message) in messages) {
            val text = Json.encodeToString(RoutingMessage.serializer(), message)
            assertEquals(true, text.startsWith("{\"type\":\"$name\""), text)
            assertEquals(message, Json.decodeFromString(RoutingMessage.serializer(), text))
        }
    }
}
