/*
 * Results of calls to the platform store. A write whose answer is lost is `Unknown`: it may have
 * taken effect, and the writer has to read back before it tries again.
 */
package org.hemlockpond.store

/** A stored value. [revision] is the store revision of its last change. */
data class StoredValue(val key: String, val value: String, val revision: Long)

/** The result of a read. */
sealed interface ReadResult {
    /** The values found, and the store's [revision] at the time of the read. */
    data class Values(val values: List<StoredValue>, val revision: Long) : ReadResult

    /** The store could not be reached, or answered with an error. */
    data class Unavailable(val cause: String) : ReadResult
}

/** The result of reading a prefix entry by entry. */
sealed interface ScanResult {
    /** All entries were passed on; the store's [revision] is that of the start of the read. */
    data class Complete(val revision: Long) : ScanResult

    /** The store could not be reached, or answered with an error; some entries were passed on. */
    data class Unavailable(val cause: String) : ScanResult
}

/**
 * A write that applies only if the key's revision is [expectedRevision]; 0 stands for an absent key.
 *
 * @property value the new value, or null to delete the key
 * @property lease the lease that the key is bound to, or null
 */
data class ConditionalWrite(
    val key: String,
    val expectedRevision: Long,
    val value: String?,
    val lease: LeaseId? = null
)

/** The result of a write. */
sealed interface WriteResult {
    /** The write took effect at [revision]. */
    data class Applied(val revision: Long) : WriteResult

    /** Another revision was found; [current] has the values of the keys that exist. */
    data class Conflict(val current: List<StoredValue>) : WriteResult

    /** The request never left this process. */
    data class NotSent(val cause: String) : WriteResult

    /** The write may or may not have taken effect. */
    data class Unknown(val cause: String) : WriteResult
}

/** A lease of the store. */
@JvmInline
value class LeaseId(val value: String)

/** The result of a lease call. */
sealed interface LeaseResult {
    /** The lease is held for [ttlSeconds] from the time at which the request was sent. */
    data class Held(val id: LeaseId, val ttlSeconds: Long) : LeaseResult

    /** The lease has lapsed or never existed. */
    data object Lapsed : LeaseResult

    /** The store could not be reached, or answered with an error. */
    data class Unavailable(val cause: String) : LeaseResult
}

/** A change seen by a watch; [value] is null for a deletion. */
data class StoreChange(val key: String, val value: String?, val revision: Long)
