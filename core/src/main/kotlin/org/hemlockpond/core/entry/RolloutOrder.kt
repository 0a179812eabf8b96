/*
 * An operator's order to move a service to a new version.
 *
 * Entry hosts don't judge versions, so they never send callers' requests to a version that is being
 * rolled out, and roll the order back. A version that fails or is slow then harms nobody.
 */
package org.hemlockpond.core.entry

import org.hemlockpond.core.VersionId

/** Moves [service] to endpoints of version [target], which run beside the others. */
data class RolloutOrder(val service: ServiceId, val target: VersionId)
