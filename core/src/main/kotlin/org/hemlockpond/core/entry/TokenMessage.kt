/*
 * Messages by which entry hosts share the slices of token homes, within a failure domain and between
 * domains.
 */
package org.hemlockpond.core.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.ErrorKind

/** The name of an entry host, which stays the same when its process starts again. */
@JvmInline
@Serializable
value class HostName(val value: String) {
    override fun toString(): String = value
}

/**
 * A message between two entry hosts. Each may be lost, delayed, repeated or overtaken.
 *
 * [ask] identifies a reservation among those that one run of the asking host has asked for.
 */
@Serializable
sealed interface TokenMessage {
    val ask: Long

    /**
     * Asks the home of [customer] to reserve [tokens].
     *
     * @property holdMillis how long the reservation is needed at most, in milliseconds
     * @property sliceOnly whether the home uses only its present slice and calls the store for nothing
     */
    @Serializable
    @SerialName("reserve")
    data class Reserve(
        override val ask: Long,
        val customer: CustomerId,
        val tokens: Long,
        val holdMillis: Long,
        val sliceOnly: Boolean = false
    ) : TokenMessage

    /** The home has the request and waits for tokens from the store. */
    @Serializable
    @SerialName("pending")
    data class Pending(override val ask: Long) : TokenMessage

    /** The tokens are reserved. */
    @Serializable
    @SerialName("reserved")
    data class Reserved(override val ask: Long) : TokenMessage

    /**
     * No tokens are reserved.
     *
     * @property isCutOff whether the home has lost the store, so that another host may still get tokens
     * @property holders other hosts whose slices probably cover the request, the largest first
     */
    @Serializable
    @SerialName("refused")
    data class Refused(
        override val ask: Long,
        val kind: ErrorKind,
        val isCutOff: Boolean = false,
        val holders: List<HostName> = emptyList()
    ) : TokenMessage

    /** The request has ended or goes elsewhere; it used [used] tokens of the reservation. */
    @Serializable
    @SerialName("settle")
    data class Settle(override val ask: Long, val used: Long) : TokenMessage

    /** Confirms a [Settle]. */
    @Serializable
    @SerialName("settled")
    data class Settled(override val ask: Long) : TokenMessage
}
