package org.hemlockpond.core.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds
import org.hemlockpond.core.CustomerId
import org.hemlockpond.core.RouteId

class EntryConfigTest {
    private fun route(name: String, prefix: String, vararg weights: Int) = EntryRoute(
        id = RouteId(name),
        host = "Shop.example",
        pathPrefix = prefix,
        streaming = false,
        retrySafety = RetrySafety.SAFE,
        timeout = 1.seconds,
        goal = 1.seconds,
        rank = 1,
        targets = weights.mapIndexed { i, weight -> RouteTarget(ServiceId("s$i"), weight) },
        maxAttempts = 1,
        allowsAnonymous = false
    )

    private val config = EntryConfig(
        version = 3,
        routes = listOf(route("short", "/a/", 1), route("long", "/a/b/", 9, 1)),
        services = emptyList(),
        limits = CallerLimits(1, 1, 1.seconds, 1.seconds),
        customers = listOf(EntryCustomer(CustomerId("c"), listOf("k1", "k2"), null, null))
    )

    @Test
    fun longestPrefixOfTheHostWins() {
        assertEquals("long", config.route("shop.example", "/a/b/c")?.id?.value)
        assertEquals("short", config.route("shop.example", "/a/bc")?.id?.value)
        assertNull(config.route("shop.example", "/b/"))
        assertNull(config.route("other.example", "/a/"))
    }

    @Test
    fun eachKeyNamesItsCustomer() {
        assertEquals("c", config.customer("k2")?.id?.value)
        assertNull(config.customer("k3"))
    }

    @Test
    fun targetsAreChosenByWeight() {
        val long = config.route("shop.example", "/a/b/c")!!
        val counts = (-500 until 500).groupingBy { long.target(it)!!.value }.eachCount()
        assertEquals(mapOf("s0" to 900, "s1" to 100), counts)
    }
}
