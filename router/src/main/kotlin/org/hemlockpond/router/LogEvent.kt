/*
 * The numbered events that the router logs. docs/events.md lists them; a test compares both.
 */
package org.hemlockpond.router

import org.slf4j.Logger
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/**
 * A kind of log event. Numbers are never reused.
 *
 * @property number the number shown as `HP` and four digits
 */
internal enum class LogEvent(val number: Int, val level: Level, val text: String) {
    ROUTER_STARTED(1001, Level.INFO, "router started"),
    ROUTER_DRAINING(1002, Level.INFO, "shutdown requested; new requests are refused"),
    ROUTER_STOPPED(1003, Level.INFO, "router stopped"),
    DRAIN_TIMEOUT(1004, Level.WARN, "requests were still open when the drain time ended"),
    FENCED(1005, Level.ERROR, "another router closed a budget slice of this router"),
    CONTROL_FAILED(1006, Level.ERROR, "a control event failed"),

    PEER_CONNECTED(1101, Level.INFO, "peer connected"),
    PEER_UNREACHABLE(1102, Level.WARN, "peer unreachable"),
    PEER_DEAD(1103, Level.WARN, "peer proven dead"),
    PEER_REFUSED(1104, Level.WARN, "a connection failed the peer handshake"),
    PEER_FRAME_REFUSED(1105, Level.WARN, "a peer frame was refused and its connection closed"),

    STORE_UNREACHABLE(1201, Level.WARN, "platform store unreachable"),
    STORE_REACHABLE(1202, Level.INFO, "platform store reachable again"),
    WATCH_STARTED(1203, Level.INFO, "this router watches the store for its failure domain"),
    WATCH_ENDED(1204, Level.INFO, "the watch of the store ended"),
    RECORD_INVALID(1205, Level.ERROR, "a stored record can't be decoded"),

    CONFIG_APPLIED(1301, Level.INFO, "configuration in force"),
    CONFIG_INVALID(1302, Level.ERROR, "a configuration entry can't be decoded; kept the last one"),

    BILL(1401, Level.INFO, "request billed"),
    REFUSED(1402, Level.INFO, "request refused"),
    INTERRUPTED(1403, Level.WARN, "answer interrupted"),
    CREDIT(1404, Level.INFO, "bill credited"),
    USAGE_OVER_RESERVATION(1405, Level.WARN, "usage was above the reservation; the excess is free"),

    ENDPOINT_FAILED(1501, Level.WARN, "endpoint attempt failed"),
    ANSWER_DROPPED(1502, Level.WARN, "an answer that belongs to no attempt was dropped"),
    ORDER_FAILED(1503, Level.WARN, "endpoint order failed"),

    MOVE_DONE(1601, Level.INFO, "version move done"),
    MOVE_ROLLED_BACK(1602, Level.WARN, "version move rolled back"),
    CONTROLLER(1603, Level.INFO, "this router controls version moves"),

    REQUEST_MALFORMED(1701, Level.DEBUG, "malformed request"),
    OPERATOR_DENIED(1702, Level.WARN, "operator call without a valid token"),

    ENTRY_STARTED(1801, Level.INFO, "entry router started"),
    ENTRY_REQUEST(1802, Level.INFO, "request ended"),
    ENTRY_REFUSED(1803, Level.INFO, "request refused before it was accepted"),
    ENTRY_ATTEMPT_FAILED(1804, Level.INFO, "attempt failed"),
    ENDPOINT_CHANGED(1805, Level.INFO, "endpoint list changed"),
    ENDPOINT_ENTRY_INVALID(
        1806,
        Level.WARN,
        "an endpoint entry can't be read; it names no endpoint"
    ),
    PAYMENT_ENTERED(1807, Level.INFO, "a payment was entered in a budget"),
    CRASH_RECORDED(1808, Level.WARN, "suspects of an endpoint crash, or sound ones, were recorded"),
    SETTINGS_RELOADED(1809, Level.INFO, "settings file read again"),
    SETTINGS_REFUSED(1810, Level.ERROR, "the changed settings file is invalid; kept the last one"),
    RUN_ENDED(1811, Level.INFO, "an earlier run on this host has ended; its use is bounded"),
    BUDGET_REFUSED(1812, Level.INFO, "request refused for lack of tokens"),
    LOAD_SHED(1813, Level.INFO, "request refused because all engines are slow"),
    ROLLOUT_REFUSED(1814, Level.WARN, "a roll-out order was rolled back without traffic"),
    ROLLOUT_INVALID(1815, Level.ERROR, "a roll-out order can't be decoded; it is ignored"),
    ENDPOINT_LIMIT(1816, Level.INFO, "an endpoint named a limit, or none any more"),
    ENDPOINT_PAUSED(1817, Level.INFO, "an endpoint refused a request and named a pause"),
    HOST_REGISTERED(1818, Level.INFO, "this host registered and found the others of its domain"),
    HOME_REFUSED(1819, Level.INFO, "the home of a customer's tokens refused a reservation"),
    ENDPOINT_SURPLUS(1820, Level.INFO, "an endpoint sent bytes that belong to no answer"),
    SECOND_ANSWER_REFUSED(
        1821,
        Level.ERROR,
        "a second answer to a request was kept from its caller"
    ),
    STORE_LIST_FULL(1822, Level.ERROR, "a list in the store has more entries than a host keeps"),
    PART_ENDED(1823, Level.ERROR, "a part of the router ended and is started again"),
    STORE_CALLS(1824, Level.INFO, "calls to the store since the last such line"),

    EVACUATIONS_CHANGED(1830, Level.INFO, "the set of evacuated failure domains changed"),
    EVACUATION_UNKNOWN(
        1831,
        Level.WARN,
        "an evacuation names a failure domain that the settings don't list"
    ),
    ENDPOINT_COLD(1832, Level.INFO, "an endpoint is cold, or cold for longer than known"),
    STORE_RETURNED(1835, Level.WARN, "the store has returned from an older copy of itself"),
    BUDGET_RESTORED(1836, Level.WARN, "a budget was written again after the store's return"),
    RESERVED_ELSEWHERE(1840, Level.INFO, "tokens reserved after the own domain refused them"),
    DOMAIN_PASSED_OVER(1841, Level.WARN, "a home of another failure domain doesn't answer"),
    ENGINE_REPORT_MISSING(1845, Level.INFO, "an engine gives no report of its load"),
    ENGINE_VIEW_USED(1846, Level.INFO, "reports of engines arrive and are used for placement"),
    ENGINE_VIEW_LOST(1847, Level.WARN, "no recent report of an engine; placement uses estimates")
    ;

    /** The identifier in the log, such as `HP1001`. */
    val id: String get() = "HP$number"
}

private val logger: Logger = LoggerFactory.getLogger("hemlockpond")

/** Logs one event with its fields. Fields never hold keys, tokens of access or request content. */
internal fun log(event: LogEvent, vararg fields: Pair<String, Any?>, cause: Throwable? = null) {
    val builder = logger.atLevel(event.level).addKeyValue("event", event.id)
    fields.forEach { (name, value) -> builder.addKeyValue(name, value) }
    if (cause != null) builder.setCause(cause)
    builder.log(event.text)
}
