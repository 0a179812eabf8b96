package org.hemlockpond.core.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and limits of a [RequestLedger].
 *
 * @property retryWindow how long a finished request is remembered
 * @property openWindow how long a request that doesn't end is remembered
 * @property claimTimeout how long to wait for a home's decision before the next home is asked
 * @property copyInterval how long changes are collected before they are sent to the copy peer
 * @property copyAckTimeout how long the copy peer may take to acknowledge a batch before it is
 *   replaced
 * @property copySilenceTimeout how long after the last batch to an earlier copy peer requests start
 *   without its confirmation that it discarded the outdated copy; an idle router sends its copy
 *   peer a batch four times within this time
 * @property repeatDelay the delay before an unacknowledged report or take-over is sent again
 * @property storeTimeout how long a call waits for its run record before it is refused
 * @property storeInterval minimum time between two store writes of run records
 * @property batchSize maximum number of entries in a message or store call
 * @property maxAnswerChars maximum length of an answer's body that is kept for replay, in
 *   characters
 * @property maxTotalAnswerChars maximum total length of the kept bodies, in characters
 * @property maxEntries maximum number of requests remembered; at the limit, the oldest one is
 *   evicted if it has ended; otherwise a new request is refused
 */
data class LedgerSettings(
    val retryWindow: Duration = 10.minutes,
    val openWindow: Duration = 6.hours,
    val claimTimeout: Duration = 100.milliseconds,
    val copyInterval: Duration = 5.milliseconds,
    val copyAckTimeout: Duration = 100.milliseconds,
    val copySilenceTimeout: Duration = 5.seconds,
    val repeatDelay: Duration = 500.milliseconds,
    val storeTimeout: Duration = 1.seconds,
    val storeInterval: Duration = 20.milliseconds,
    val batchSize: Int = 64,
    val maxAnswerChars: Int = 8_192,
    val maxTotalAnswerChars: Long = 16_777_216,
    val maxEntries: Int = 200_000
)
