package org.hemlockpond.core.entry

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreReaderRoleTest {
    private val settings = StoreReaderSettings(minHosts = 2)

    /** Hosts of one failure domain that read, probe and tell each other as entry hosts do. */
    private inner class Domain(size: Int, seed: Int = 1) {
        inner class Host(val name: HostName) {
            val role = StoreReaderRole(name, settings) {
                hosts.mapTo(HashSet()) { it.name } - name
            }
            var hasStore = true
            var isUp = true
            var calls = 0
            var contactAt = Duration.ZERO
            private var answerAt: Duration? = Duration.ZERO
            private var nextCallAt = Duration.ZERO
            private var nextMessageAt = Duration.ZERO

            fun step() {
                if (!isUp) return
                answerAt?.takeIf { now >= it }?.let {
                    answerAt = null
                    if (hasStore) role.answered() else role.unanswered(now)
                }
                if (role.isReader(now) && hasStore) {
                    contactAt = now
                    if (now >= nextMessageAt) tellOthers()
                } else if (answerAt == null && now >= role.readAt(now)) {
                    call()
                }
                // The watches of a reader notice that the store is gone.
                if (role.isReader(now) && answerAt == null && now >= nextCallAt) call()
            }

            private fun call() {
                calls++
                answerAt = now + if (hasStore) ANSWER else TIMEOUT
                nextCallAt = now + WATCH
            }

            private fun tellOthers() {
                nextMessageAt = now + settings.messageInterval
                for (other in hosts) {
                    if (other === this || !other.isUp || random.nextDouble() < loss) continue
                    other.role.heard(name, now)
                    if (other.hasStore && other.role.isFollowing(now)) other.contactAt = now
                }
            }
        }

        private val random = Random(seed)
        var loss = 0.0
        var now = Duration.ZERO
        val hosts = ArrayList<Host>()
        val readers get() = hosts.filter { it.isUp && it.role.isReader(now) }

        init {
            repeat(size) { hosts += Host(HostName("edge-$it")) }
        }

        fun run(span: Duration, check: () -> Unit = {}) {
            val end = now + span
            while (now < end) {
                now += 25.milliseconds
                hosts.shuffled(random).forEach { it.step() }
                check()
            }
        }
    }

    /** Guards against store calls that grow with the number of hosts. */
    @Test
    fun oneHostReadsForAll() {
        for (size in listOf(1, 3, 19)) {
            val domain = Domain(size)
            domain.run(3.seconds)
            assertEquals(1, domain.readers.size, "$size hosts")
            val before = domain.hosts.sumOf { it.calls }
            domain.run(30.seconds)
            val calls = domain.hosts.sumOf { it.calls } - before
            assertTrue(calls <= 30.seconds / WATCH + 1, "$calls calls of $size hosts")
        }
    }

    /** Guards against a domain that learns nothing once its reader is gone. */
    @Test
    fun anotherHostTakesOverWithinSeconds() {
        val domain = Domain(19)
        domain.run(3.seconds)
        repeat(4) {
            domain.readers.single().isUp = false
            domain.run(1_600.milliseconds)
            assertEquals(1, domain.readers.size)
            val late = domain.hosts.filter { it.isUp && domain.now - it.contactAt > 1.seconds }
            assertTrue(late.isEmpty(), "${late.size} hosts without contact")
            domain.run(2.seconds)
        }
    }

    /** Guards against probes of every host while all have lost the store. */
    @Test
    fun hostsTakeTurnsToProbeALostStore() {
        val domain = Domain(19)
        domain.run(3.seconds)
        domain.hosts.forEach { it.hasStore = false }
        val before = domain.hosts.sumOf { it.calls }
        domain.run(8.seconds)
        val probes = domain.hosts.sumOf { it.calls } - before
        assertTrue(probes <= 60, "$probes probes")
        domain.hosts.forEach { it.hasStore = true }
        domain.run(1_500.milliseconds)
        val late = domain.hosts.filter { domain.now - it.contactAt > 1.seconds }
        assertTrue(late.isEmpty(), "${late.size} hosts without contact")
    }

    /** Guards against hosts that lose contact because only the reader has lost the store. */
    @Test
    fun hostsThatReachTheStoreStayInContact() {
        for (seed in 1..SEEDS) {
            val domain = Domain(19, seed)
            domain.loss = 0.02
            domain.run(4.seconds)
            domain.hosts.shuffled(Random(seed)).take(7).forEach { it.hasStore = false }
            val start = domain.now
            domain.run(9.seconds) {
                val late = domain.hosts.filter {
                    it.hasStore && domain.now - it.contactAt > CONTACT
                }
                val isNoticed = domain.now - start >= LOSS_NOTICED
                assertTrue(late.isEmpty() || !isNoticed, "seed $seed: ${late.map { it.name }}")
            }
            domain.hosts.forEach { it.hasStore = true }
            domain.run(6.seconds)
            assertEquals(1, domain.readers.size, "seed $seed")
        }
    }

    /** Guards against the risk of a reader where it saves next to nothing. */
    @Test
    fun hostsOfASmallDomainReadForThemselves() {
        val names = List(3) { HostName("edge-$it") }
        for (name in names) {
            val role = StoreReaderRole(name, StoreReaderSettings()) { names.toSet() - name }
            (names - name).forEach { role.heard(it, 1.seconds) }
            assertTrue(role.isReader(1.seconds))
            assertEquals(emptySet(), role.others)
        }
    }

    /** Guards against two hosts that both read on after each took the other for gone. */
    @Test
    fun readerYieldsToAnEarlierOneOnly() {
        val domain = Domain(3)
        domain.run(3.seconds)
        val first = domain.readers.single()
        val other = domain.hosts.first { it !== first }
        first.role.heard(other.name, domain.now)
        assertTrue(first.role.isReader(domain.now))
        assertFalse(other.role.isReader(domain.now))
    }

    private companion object {
        const val SEEDS = 40
        val ANSWER = 10.milliseconds
        val TIMEOUT = 700.milliseconds
        val WATCH = 2.seconds

        /** A reader's watch notices a lost store within its wait and the timeout. */
        val LOSS_NOTICED = 3.seconds

        /** Less than the time after which the platform asks a host to be in contact again. */
        val CONTACT = 3.seconds
    }
}
