/*
 * Everything outside the process that commands use, so that tests can replace it.
 */
package org.hemlockpond.cli

import java.net.InetSocketAddress
import java.security.SecureRandom
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

internal interface Environment {
    fun now(): Instant

    fun sleep(span: Duration)

    fun randomBytes(count: Int): ByteArray

    fun openStore(addresses: List<InetSocketAddress>): Store

    fun out(line: String)

    fun err(line: String)
}

internal object SystemEnvironment : Environment {
    private val random = SecureRandom()

    override fun now(): Instant = Clock.System.now()

    override fun sleep(span: Duration) = Thread.sleep(span.inWholeMilliseconds)

    override fun randomBytes(count: Int) = ByteArray(count).also(random::nextBytes)

    override fun openStore(addresses: List<InetSocketAddress>): Store = PlatformStore(addresses)

    override fun out(line: String) = println(line)

    override fun err(line: String) = System.err.println(line)
}
