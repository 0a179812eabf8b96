package org.hemlockpond.core.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The limits of a [RequestLedger].
 *
 * @property retryWindow how long a finished request is remembered
 * @property openWindow how long a request that never ends is remembered
 * @property claimTimeout how long the home may take to answer before the next one is asked
 * @property copyInterval how long changes are collected before a batch goes to the copy peer
 * @property copyAckTimeout how long the copy peer may take to acknowledge before it is replaced
 * @property copySilenceTimeout how long an earlier copy peer must have been silent before requests
 *   start without its confirmation that it discarded the outdated copy; an idle router sends its copy
 *   peer a batch four times within this time
 * @property repeatDelay how long an unacknowledged report waits before it is repeated
 * @property storeTimeout how long a call may wait for its run record before it is refused
 * @property storeInterval shortest time between two store calls for run records
 * @property batchSize the most entries in one message or store call
 * @property maxAnswerChars the longest body kept for a replay, in characters
 * @property maxTotalAnswerChars the most characters of bodies kept in all
 * @property maxEntries the most requests remembered; beyond it a new request is refused
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
