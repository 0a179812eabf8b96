/*
 * Messages between routers, encoded in CBOR.
 */
package org.hemlockpond.router.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.hemlockpond.core.budget.BudgetMessage
import org.hemlockpond.core.configuration.ConfigEntry
import org.hemlockpond.core.ledger.LedgerMessage
import org.hemlockpond.core.membership.Member
import org.hemlockpond.core.moves.MoveMessage
import org.hemlockpond.core.routing.RoutingMessage

@Serializable
internal sealed interface PeerMessage {
    @Serializable
    @SerialName("hb")
    data class Heartbeat(val member: Member, val known: List<Member>, val configRevision: Long) :
        PeerMessage

    /** Asks for the configuration entries that changed after [after]. */
    @Serializable
    @SerialName("cp")
    data class ConfigPull(val after: Long) : PeerMessage

    @Serializable
    @SerialName("ce")
    data class ConfigEntries(val entries: List<ConfigEntry>) : PeerMessage

    /** The sender has returned its slices and exits. */
    @Serializable
    @SerialName("lv")
    data object Leaving : PeerMessage

    @Serializable
    @SerialName("b")
    data class Budget(val message: BudgetMessage) : PeerMessage

    @Serializable
    @SerialName("l")
    data class Ledger(val message: LedgerMessage) : PeerMessage

    @Serializable
    @SerialName("r")
    data class Routing(val message: RoutingMessage) : PeerMessage

    @Serializable
    @SerialName("m")
    data class Moves(val message: MoveMessage) : PeerMessage
}

/** First frame of the dialing side. */
@Serializable
internal data class Hello(val member: Member, val nonce: ByteArray)

/** Answer of the accepting side, with the proof that it knows the secret. */
@Serializable
internal data class Welcome(val member: Member, val nonce: ByteArray, val proof: ByteArray)

/** The dialing side's proof. */
@Serializable
internal data class Proof(val proof: ByteArray)

@OptIn(ExperimentalSerializationApi::class)
internal val PeerCbor: Cbor = Cbor {
    // A router of an older release must read messages of a newer one during an upgrade.
    ignoreUnknownKeys = true
}
