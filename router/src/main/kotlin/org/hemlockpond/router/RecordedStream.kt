package org.hemlockpond.router

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.hemlockpond.core.ledger.RecordedAnswer

/** A streamed answer as it is recorded for replay. */
@Serializable
internal data class RecordedStream(val pieces: List<String>, val prompt: Long, val answer: Long)

internal fun recordStream(pieces: List<String>, usage: Usage): RecordedAnswer = RecordedAnswer(
    200,
    AnswerRelay.STREAM_TYPE,
    Json.encodeToString(
        RecordedStream.serializer(),
        RecordedStream(pieces.toList(), usage.promptTokens, usage.answerTokens)
    )
)
