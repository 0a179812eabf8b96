package org.hemlockpond.cli

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

class CommandLineTest {
    private val environment = FakeEnvironment()

    private val commands = listOf(
        "check", "key new", "apply", "status", "budget", "budget top-up", "move start",
        "move status", "move wait", "move take-back", "router declare-gone"
    )

    /** Guards against a command without help, or one whose report scripts can't read. */
    @Test
    fun everyCommandHasHelpAndJson() {
        for (command in commands) {
            assertEquals(0, run(command.split(" ") + "--help", environment), command)
            assertTrue("--json" in environment.out.last(), command)
        }
    }

    /** Guards against commands that this test and the page of the command line don't know. */
    @Test
    fun pageListsEveryCommandAndExitCode() {
        val page = Files.readString(Path.of("../docs/cli.md"))
        for (command in commands) assertTrue("`hemlockpond $command" in page, command)
        val codes = Regex("(?m)^\\| (\\d) \\|").findAll(page).map { it.groupValues[1].toInt() }
        assertEquals(ExitCode.entries.map { it.code }, codes.toList())
        environment.run("--help")
        val listed = Regex("(?m)^ {2}([a-z]+) {2,}").findAll(environment.out.last())
            .map { it.groupValues[1] }.toSet()
        assertEquals(commands.map { it.substringBefore(' ') }.toSet(), listed)
    }

    /** Guards against a release whose command line reports another version than its build. */
    @Test
    fun versionIsThatOfTheBuild() {
        assertEquals(0, environment.run("--version"))
        val pom = Files.readString(Path.of("pom.xml"))
        assertTrue(environment.out.single().endsWith(" $VERSION"))
        assertTrue("<version>$VERSION</version>" in pom)
    }

    /** Guards against wrong usage that exits with the code of a failed operation. */
    @Test
    fun wrongUsageExitsWithTwo() {
        val usages = listOf(
            listOf("chek"), listOf("check"), listOf("check", "--jso", "x"), listOf("key"),
            listOf("budget"), listOf("budget", "Kla"), listOf("budget", "top-up", "kla", "5"),
            listOf("budget", "top-up", "kla", "0", "--id", "p"),
            listOf("budget", "top-up", "kla", "5", "--id", "p 1"),
            listOf("move", "start", "r", "--to", "v"),
            listOf("move", "start", "r", "--to", "v", "--deadline", "2hours"),
            listOf("move", "start", "r", "--to", "v", "--deadline", "2026-12-04T07:59:59Z"),
            listOf("move", "wait", "r", "--timeout", "5"),
            listOf("router", "declare-gone", "authority-1/3f2a9c01"),
            listOf("router", "declare-gone", "authority-1", "--yes"),
            listOf("status", "--router", "h"), listOf("status", "--router", "ftp://h:1/")
        )
        for (args in usages) {
            assertEquals(2, environment.run(*args.toTypedArray()), "$args")
            assertTrue(environment.err.isNotEmpty() && environment.out.isEmpty(), "$args")
        }
        assertTrue(environment.store.transactions.isEmpty())
        assertEquals(2, run(listOf("apply", authority.toString()), environment))
        assertEquals(2, run(listOf("move", "status", "--store", "h"), environment))
    }

    /** Guards against usage errors that a script with `--json` can't parse. */
    @Test
    fun usageErrorsAreJsonOnRequest() {
        val json = environment.json("budget", "top-up", "kla", "x", "--id", "p")
        assertEquals(JsonPrimitive(2), json["exit"])
        assertTrue("x" in json.getValue("error").jsonPrimitive.content)
    }

    /** Guards against examples that `check` refuses, and against a check that passes everything. */
    @Test
    fun checkAcceptsExamplesAndReportsErrorsOfAllFiles() {
        for (example in listOf(authority, Path.of("../examples/ingabo"))) {
            assertEquals(0, environment.run("check", "$example"))
            val router = Files.newDirectoryStream(example.resolve("routers")).use { it.first() }
            assertEquals(0, environment.run("check", "$router"))
        }
        val copy = copyOfAuthority()
        copy.replace("contracts/embu-artisans.json", "\"rib-advice\"", "\"rib-advise\"")
        copy.replace("routers/authority-2.json", "\"ke-central-b\"", "\"ke-central-x\"")
        copy.replace("routers/authority-3.json", "\"2s\"", "\"2 s\"")
        val errors = environment.json("check", "$copy").getValue("errors").jsonArray
        val files = errors.map { it.jsonObject.getValue("file").jsonPrimitive.content }
            .map { it.substringAfterLast('/') }.toSet()
        val expected = setOf("embu-artisans.json", "authority-2.json", "authority-3.json")
        assertEquals(expected, files)
        assertEquals(2, environment.run("check", "$copy"))
    }

    /** Guards against a check that is asked for secrets and doesn't read them. */
    @Test
    fun checkReadsSecretsOnRequest() {
        val copy = copyOfAuthority()
        assertEquals(2, environment.run("check", "$copy", "--secrets"))
        val secrets = Files.createDirectory(copy.resolve("secrets"))
        for (name in listOf("peer-secret", "operator-token")) {
            Files.writeString(secrets.resolve(name), "x".repeat(32) + "\n")
        }
        assertEquals(0, environment.run("check", "$copy", "--secrets"))
    }

    /** Guards against a digest that the router wouldn't compute from the same key. */
    @Test
    fun keyHasItsDigest() {
        val json = environment.json("key", "new")
        val key = json.getValue("key").jsonPrimitive.content
        assertEquals("hp_AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8", key)
        assertEquals(digest(key), json.getValue("digest").jsonPrimitive.content)
        // The value of the SHA-256 test vector "abc" in FIPS 180-4.
        assertEquals("ba7816bf8f01cfea414140de5dae2223", digest("abc").take(32))
    }
}
