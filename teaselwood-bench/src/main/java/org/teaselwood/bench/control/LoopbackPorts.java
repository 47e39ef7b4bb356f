package org.teaselwood.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds free TCP ports on the loopback interface. Stateless. */
final class LoopbackPorts {
    static final String HOST = "127.0.0.1";

    private LoopbackPorts() {}

    /** Returns distinct ports that are free at present; another process may still take them. */
    static List<Integer> free(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName(HOST)));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } finally {
            sockets.forEach(LoopbackPorts::close);
        }
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
