package org.teaselwood.settings;

import java.net.InetAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address with a TCP port. Immutable. Host names are rejected, because processes communicate by IP address.
 *
 * @param host literal IPv4 or IPv6 address, without brackets
 * @param port 0 to 65535; 0 lets the operating system assign a port to listen on
 */
public record NetworkAddress(String host, int port) {
    private static final Pattern PATTERN = Pattern.compile("(?:\\[([0-9A-Fa-f:.]+)]|([0-9.]+)):(\\d{1,5})");
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Parses {@code 10.0.0.1:7400} or {@code [::1]:7400}.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind BAD_SETTING
     */
    public static NetworkAddress parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw ValueTypes.invalidValue(
                    "'" + text + "' is not an IP address with a port, for example 127.0.0.1:7400");
        }
        String host = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
        int port = Integer.parseInt(matcher.group(3));
        if (port > MAXIMUM_PORT) {
            throw ValueTypes.invalidValue("port " + port + " is not within 0 to " + MAXIMUM_PORT);
        }
        try {
            InetAddress.ofLiteral(host);
        } catch (IllegalArgumentException exception) {
            throw ValueTypes.invalidValue("'" + host + "' is not an IP address");
        }
        return new NetworkAddress(host, port);
    }

    /** Returns whether the address is a loopback address, which only processes on the same machine can reach. */
    public boolean isLoopback() {
        return InetAddress.ofLiteral(host).isLoopbackAddress();
    }

    @Override
    public String toString() {
        return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
    }
}
