package org.hemlockpond.core.ledger

import kotlin.time.Duration
import org.hemlockpond.core.FailureDomain
import org.hemlockpond.core.RouterId

/** The state that the components of one ledger share while an event is handled. */
internal class LedgerContext(
    val self: RouterId,
    domain: FailureDomain,
    val settings: LedgerSettings
) {
    val directory = Directory(self, domain)
    val actions = ArrayList<LedgerAction>()

    /** Messages of this router to itself, delivered before the current event is fully handled. */
    val loopback = ArrayDeque<LedgerMessage>()
    var now: Duration = Duration.ZERO
    var storeReachable = true

    fun emit(action: LedgerAction) {
        actions += action
    }

    fun send(to: RouterId, message: LedgerMessage) {
        when {
            to == self -> loopback += message
            directory.isLive(to) -> actions += LedgerAction.SendToPeer(to, message)
        }
    }
}
