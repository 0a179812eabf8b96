package org.hemlockpond.router.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals

class ChatParseTest {
    private fun body(extra: String = "", content: String = "hello") =
        """{"model":"m","messages":[{"role":"user","content":"$content"}]$extra}"""

    private fun valid(text: String) = assertIs<ChatParse.Valid>(parseChat(text))

    /** Guards against invalid fields that reach an engine or crash the router. */
    @Test
    fun invalidRequestsNameTheField() {
        val reasons = mapOf(
            "{" to "JSON",
            "[]" to "object",
            """{"messages":[]}""" to "model",
            """{"model":"m","messages":[{"role":"user"}]}""" to "messages",
            body(""","max_tokens":0""") to "max_tokens",
            body(""","max_tokens":"8"""") to "max_tokens",
            body(""","stream":"yes"""") to "stream",
            "[".repeat(100_000) to "JSON"
        )
        for ((text, word) in reasons) {
            val malformed = assertIs<ChatParse.Malformed>(parseChat(text))
            assertEquals(true, word in malformed.reason, "${malformed.reason} lacks $word")
        }
    }

    /** Guards against a crashing request that passes as new content when only its user changes. */
    @Test
    fun contentDigestIgnoresStreamAndUserButNotContent() {
        val plain = valid(body()).contentDigest
        assertEquals(plain, valid(body(""","stream":true,"user":"x"""")).contentDigest)
        assertNotEquals(plain, valid(body(content = "other")).contentDigest)
    }

    /** Guards against an answer limit that the reservation doesn't cover. */
    @Test
    fun newerNameOfTheAnswerLimitIsHonoured() {
        assertEquals(7, valid(body(""","max_completion_tokens":7""")).maxAnswerTokens)
    }
}
